/* What the files of an exchange share: its struct, and the steps one file asks
 * of another. Not for others. Traffic thread only. */
#ifndef RK_SERVE_EXCHANGE_IMPL_H
#define RK_SERVE_EXCHANGE_IMPL_H

#include "common/loop.h"
#include "core/completion.h"
#include "core/stream.h"
#include "serve/exchange.h"
#include "serve/traffic.h"

#define RK_OVERLOAD_RETRY_MS 1000 /* when to come back after a refusal */
#define RK_DETAIL_MAX        160

struct rk_engine_attempt;
struct rk_service_attempt;
struct rk_attempt_end;
struct rk_member;

enum state {
    X_CLAIMING,
    X_QUEUED,
    X_MOVING,    /* its KV cache is on its way to the next upstream */
    X_SENT,      /* at an upstream */
    X_FORWARDED, /* at a peer */
};

struct rk_exchange {
    struct rk_traffic *t;
    uint64_t id;
    struct rk_exchange *next, **prev; /* among all */
    struct rk_exchange *next_by_id;
    struct rk_request req;
    const struct rk_sink *sink; /* NULL: nobody listens any more */
    void *sink_ctx;
    struct rk_policy policy;
    struct rk_completion completion;
    struct rk_prompt prompt;
    struct rk_job job;
    enum state state;
    struct rk_timer deadline;
    int64_t started_ms, deadline_ms;
    bool claimed;      /* this node holds the key's claim */
    bool claim_wanted; /* the call must be claimed before it runs */
    struct rk_claim_key key;
    uint32_t shard;
    int attempts, spills;
    int lost_vms;  /* that broke off while they had it, and weren't told to leave */
    bool no_owner; /* the owner couldn't be reached: claim here */
    enum rk_verdict verdict; /* of all attempts so far */
    bool ever_sent;
    struct rk_stream stream;
    bool part_sent;               /* the sink got something */
    char moved_from[RK_ADDR_MAX]; /* whence its KV cache can be fetched; "" */
    bool kv_came;                 /* to the vm it is sent to now */
    int64_t move_by_ms;           /* when that vm goes, monotonic */
    struct rk_engine_attempt *engine;
    struct rk_service_attempt *service;
    char peer[RK_ID_MAX];
    struct rk_buf collected; /* text of an answer that isn't streamed */
    char kept_type[RK_CTYPE_MAX];
    struct rk_buf kept; /* a claimed call's answer, for repeats */
    int kept_status;
    char detail[RK_DETAIL_MAX];
};

/* exchange.c: ends. The exchange is gone after rk_exchange_finish(),
 * rk_exchange_give_up(), and what calls them. */
void rk_exchange_finish(struct rk_exchange *x, const struct rk_outcome *outcome);

/* Refuse or give up with a verdict. A keyed call that was not claimed here can't
 * say "not run" for its key. */
void rk_exchange_give_up(struct rk_exchange *x, int status, int64_t retry_after_ms,
                         const char *detail);

/* exchange.c: parts of the answer on their way to the sink. */
void rk_exchange_give_part(struct rk_exchange *x, const struct rk_part *part);
void rk_exchange_give_body(struct rk_exchange *x, int status, const char *type,
                           const char *body, size_t len);

/* exchange.c: claim the call if it must be, then queue it. */
void rk_exchange_run(struct rk_exchange *x);

/* attempts.c: an attempt at an upstream failed; retry, resume or give up. */
void rk_exchange_attempt_failed(struct rk_exchange *x,
                                const struct rk_attempt_end *end,
                                const char *detail);

/* placement.c: queue the call here, or hand it to another failure domain. */
void rk_exchange_queue(struct rk_exchange *x);

/* placement.c: no vm here can take the call: another failure domain does, or a vm
 * that failed it once gets another try (reached: the failure was not one of
 * reaching it), or it ends at once, not at its deadline. */
void rk_exchange_leave_domain(struct rk_exchange *x, bool reached);

/* placement.c: hand the call to a peer. False: nothing was sent. */
bool rk_exchange_forward(struct rk_exchange *x, const struct rk_member *peer,
                         bool to_owner);

#endif
