/* Internals of an exchange, shared by exchange.c, exchange_attempts.c and
 * exchange_placement.c: its struct and the steps that one file calls in another.
 * Traffic thread only. */
#ifndef RK_SERVE_EXCHANGE_IMPL_H
#define RK_SERVE_EXCHANGE_IMPL_H

#include "common/loop.h"
#include "core/completion.h"
#include "core/token_stream.h"
#include "serve/exchange.h"
#include "serve/traffic.h"

#define RK_OVERLOAD_RETRY_MS 1000 /* Retry-After of a refusal */
#define RK_DETAIL_MAX        160  /* bytes of a reason, with its NUL */

struct rk_engine_attempt;
struct rk_service_attempt;
struct rk_attempt_end;
struct rk_member;

enum exchange_state {
    X_CLAIMING,  /* waits for the decision on its claim */
    X_QUEUED,    /* at the router */
    X_IMPORTING, /* waits for the KV cache to be copied to the next VM */
    X_SENT,      /* at an upstream VM */
    X_FORWARDED, /* at a peer node */
};

struct rk_exchange {
    struct rk_traffic *t;
    uint64_t id;
    struct rk_exchange *next, **prev; /* list of all exchanges of the thread */
    struct rk_exchange *next_by_id;
    struct rk_request req;
    /* NULL once the outcome is reported or the caller is gone */
    const struct rk_answer_sink *sink;
    void *sink_ctx;
    struct rk_policy policy;
    struct rk_completion completion;
    struct rk_prompt prompt;
    struct rk_job job;
    enum exchange_state state;
    struct rk_timer deadline_timer;
    int64_t started_ms, deadline_ms;
    bool claimed;      /* this node holds the claim of the key */
    bool claim_wanted; /* the call must not run before it is claimed */
    struct rk_claim_key key;
    uint32_t shard;
    /* spills: forwards to other failure domains, failed ones included */
    int attempts, spills;
    /* attempts that broke off at a VM that had not announced its end */
    int unannounced_losses;
    bool owner_unreachable;  /* no answer from the shard's owner: claim here */
    enum rk_verdict verdict; /* joined over all attempts so far */
    bool ever_sent;          /* an upstream may have received it */
    struct rk_token_stream stream;
    bool sink_has_data; /* a part was delivered */
    /* VM that still has the stream's KV cache; "": none */
    char kv_source_addr[RK_ADDR_MAX];
    bool kv_imported;           /* the current attempt's VM has fetched it */
    int64_t kv_source_until_ms; /* monotonic time at which that VM is reclaimed */
    struct rk_engine_attempt *engine;
    struct rk_service_attempt *service;
    char peer[RK_ID_MAX];      /* the peer it was forwarded to last */
    struct rk_buf answer_text; /* of a completion that is not streamed */
    char replay_type[RK_CONTENT_TYPE_MAX];
    /* answer of a claimed call, kept for repeats of its key */
    struct rk_buf replay_body;
    int replay_status;
    char detail[RK_DETAIL_MAX]; /* reason of the last failure */
};

/* ---- ends, in exchange.c ----
 *
 * The exchange is freed by rk_exchange_finish(), by rk_exchange_give_up(), and by
 * every function that calls one of them. */

/* Settles the claim, reports the outcome to the sink and frees the exchange. */
void rk_exchange_finish(struct rk_exchange *x, const struct rk_outcome *outcome);

/* Ends the call with an error status and the joined verdict. If its key needs a
 * claim that this node has not obtained, the verdict is "may have run", since an
 * earlier arrival of the key may have run. retry_after_ms 0: no Retry-After. */
void rk_exchange_give_up(struct rk_exchange *x, int status, int64_t retry_after_ms,
                         const char *detail);

/* exchange.c: deliver a part, or a whole body, of the answer to the sink. Answers
 * of claimed calls are also recorded for repeats of the key. */
void rk_exchange_deliver_part(struct rk_exchange *x,
                              const struct rk_answer_piece *part);
void rk_exchange_deliver_body(struct rk_exchange *x, int status, const char *type,
                              const char *body, size_t len);

/* exchange.c: claims the call if that is required, else queues it. */
void rk_exchange_claim_or_queue(struct rk_exchange *x);

/* exchange_attempts.c: handles a failed attempt at an upstream: the call is
 * retried, resumed, rerouted or ended. detail is copied. */
void rk_exchange_attempt_failed(struct rk_exchange *x,
                                const struct rk_attempt_end *end,
                                const char *detail);

/* exchange_placement.c: queues the call here. When the router refuses it for want
 * of a VM or of time, it is forwarded to another failure domain or ended. */
void rk_exchange_queue(struct rk_exchange *x);

/* exchange_placement.c: handles a call that no VM of this failure domain can take.
 * It is forwarded to another domain with free slots. Failing that, a repeatable
 * call may go again to VMs that failed it, if reached is true (the failed VM had
 * been reached). Otherwise the call ends now instead of waiting for its deadline.
 */
void rk_exchange_reroute(struct rk_exchange *x, bool reached);

/* exchange_placement.c: forwards the call to a peer. to_owner: the peer is the
 * owner of the key's shard and is to claim the key. Returns false if nothing was
 * sent. */
bool rk_exchange_forward(struct rk_exchange *x, const struct rk_member *peer,
                         bool to_owner);

#endif
