/* A traffic thread: its event loop, router, links to upstreams and peers, and the
 * exchanges in flight. It reads the control thread's view (an immutable snapshot),
 * requests claims from control by messages, and takes no lock that control holds.
 *
 * Unless stated otherwise, functions must be called on the traffic thread. */
#ifndef RK_SERVE_TRAFFIC_H
#define RK_SERVE_TRAFFIC_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/loop.h"
#include "core/retry_budget.h"
#include "core/call.h"
#include "core/claims.h"
#include "core/router.h"

struct rk_http;
struct rk_view;
struct rk_view_cell;
struct rk_view_reader;
struct rk_exchange;
struct rk_forwards;

/* Interface of the claims that the control thread manages. The functions may be
 * called from any thread. */
struct rk_claim_port {
    void *ctx;
    /* Requests the claim of a key. The decision arrives by
     * rk_traffic_claim_decided() with the same ticket. local: the claim may be
     * granted from memory if the platform does not answer. Returns false if
     * control's queue is full; no decision follows. */
    bool (*acquire)(void *ctx, unsigned thread, uint64_t ticket, uint32_t shard,
                    struct rk_claim_key key, bool local);
    /* Withdraws a request whose decision has not arrived. */
    void (*cancel)(void *ctx, unsigned thread, uint64_t ticket, uint32_t shard);
    /* Reports the outcome of a granted claim. answer may be NULL and is copied. */
    void (*finish)(void *ctx, uint32_t shard, struct rk_claim_key key,
                   enum rk_verdict verdict, const struct rk_answer *answer,
                   int64_t retry_after_ms);
};

/* Decision on a claim, sent by control to a traffic thread. */
struct rk_claim_reply {
    uint64_t ticket;
    uint32_t shard;
    struct rk_claim_key key;
    enum rk_claim_decision decision;
    enum rk_verdict verdict;
    int64_t retry_after_ms;
    const char *detail; /* string literal */
    bool has_answer;
    struct rk_answer answer; /* owns its body */
};

/* Options of a traffic thread. views must outlive it. */
struct rk_traffic_options {
    unsigned index; /* of the thread within its process */
    int forward_fd; /* listening socket for calls forwarded by peers; owned */
    uint64_t seed;
    enum rk_route_policy policy;
    struct rk_view_cell *views;
    struct rk_claim_port claims;
};

/* Accessed by the files of serve/ and, where noted, by control. */
struct rk_traffic {
    struct rk_traffic_options opt;
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_router *router;
    struct rk_view_reader *views;
    uint64_t view_serial;
    struct rk_forwards *forwards;
    struct rk_retry_budget budget;
    struct rk_rng rng;
    struct rk_exchange *exchanges; /* all calls in flight */
    size_t exchanges_len;
    uint64_t next_id;
    struct rk_exchange **by_id; /* hash table of exchanges; NULL until first used */
    _Atomic uint32_t free_slots; /* free slots reported to peers; read by control */
    int64_t free_slots_ms;       /* last update of free_slots, monotonic */
    struct rk_timer recheck_timer; /* runs while jobs are queued */
    bool refuses_forwards; /* a planned stop ends: peers' calls are refused */
    bool ends_calls;       /* a planned stop ends: new calls are refused */
};

/* Creates the thread's state; the caller starts the thread. */
struct rk_traffic *rk_traffic_create(const struct rk_traffic_options *opt);
/* Ends all calls without notifying their sinks. Call it after the thread has
 * ended. */
void rk_traffic_destroy(struct rk_traffic *t);

/* Returns the address that peers forward to, with the port chosen by the kernel.
 * Any thread. */
const char *rk_traffic_forward_addr(const struct rk_traffic *t);

/* Runs the event loop until rk_loop_stop() is called on it. */
void rk_traffic_run(struct rk_traffic *t);

/* Control thread: announces a new view. Does not block. */
void rk_traffic_view_changed(struct rk_traffic *t);
/* Control thread: delivers the decision on a claim. *reply is copied; ownership of
 * the answer's body passes to this function. */
void rk_traffic_claim_decided(struct rk_traffic *t,
                              const struct rk_claim_reply *reply);

/* Returns the view that is valid for the current batch of loop events; never
 * NULL. */
const struct rk_view *rk_traffic_view(struct rk_traffic *t);

/* Returns the number of calls in flight. A planned stop waits until it is 0. */
size_t rk_traffic_in_flight(const struct rk_traffic *t);

/* Ends streams that can be resumed at another node. Used shortly before the end of
 * the reclaim notice. */
void rk_traffic_end_resumable_streams(struct rk_traffic *t);

/* Refuses calls that peers forward from now on. Their peers handle them instead. */
void rk_traffic_refuse_forwards(struct rk_traffic *t);

/* Ends all calls, and refuses those that come later. Used right before the end of a
 * planned stop. */
void rk_traffic_end_calls(struct rk_traffic *t);

#endif
