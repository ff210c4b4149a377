/* A traffic thread: its event loop, router, connections to upstreams and peers,
 * and the exchanges it has in hand. It reads control's view, asks control for
 * claims by messages, and takes no lock of control's.
 *
 * Unless said otherwise, functions belong to the traffic thread. */
#ifndef RK_SERVE_TRAFFIC_H
#define RK_SERVE_TRAFFIC_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/loop.h"
#include "core/budget.h"
#include "core/call.h"
#include "core/claims.h"
#include "core/router.h"

struct rk_http;
struct rk_view;
struct rk_view_cell;
struct rk_view_reader;
struct rk_exchange;
struct rk_forwards;

/* How traffic reaches the claims that control keeps. Any thread. */
struct rk_claim_port {
    void *ctx;
    /* False: control's queue is full; no decision will come. */
    bool (*ask)(void *ctx, unsigned thread, uint64_t ticket, uint32_t shard,
                struct rk_claim_key key, bool local);
    void (*cancel)(void *ctx, unsigned thread, uint64_t ticket, uint32_t shard);
    /* answer may be NULL; copied. */
    void (*finish)(void *ctx, uint32_t shard, struct rk_claim_key key,
                   enum rk_verdict verdict, const struct rk_answer *answer,
                   int64_t retry_after_ms);
};

/* A decision on its way from control to a traffic thread. */
struct rk_claim_reply {
    uint64_t ticket;
    uint32_t shard;
    struct rk_claim_key key;
    enum rk_claim_decision decision;
    enum rk_verdict verdict;
    int64_t retry_after_ms;
    const char *detail; /* a literal */
    bool has_answer;
    struct rk_answer answer; /* body owned */
};

struct rk_traffic_options {
    unsigned index;
    const char *forward_addr; /* where peers' calls come in */
    uint64_t seed;
    enum rk_route_policy policy;
    struct rk_view_cell *views;
    struct rk_claim_port claims;
};

/* Shared by the files of serve/; opaque to the rest. */
struct rk_traffic {
    struct rk_traffic_options opt;
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_router *router;
    struct rk_view_reader *views;
    uint64_t view_serial;
    struct rk_forwards *forwards;
    struct rk_budget budget;
    struct rk_rng rng;
    struct rk_exchange *exchanges; /* all in hand */
    size_t exchanges_len;
    uint64_t next_id;
    struct rk_exchange **by_id; /* hash buckets */
    _Atomic uint32_t spare;     /* calls it could take; read by control */
    int64_t spare_ms;
    struct rk_timer recheck; /* while jobs wait */
};

/* NULL when the forward address can't be bound: see rk_last_error(). */
struct rk_traffic *rk_traffic_create(const struct rk_traffic_options *opt);
void rk_traffic_destroy(struct rk_traffic *t);

/* The address peers forward to, with the kernel's port. Any thread. */
const char *rk_traffic_forward_addr(const struct rk_traffic *t);

/* Runs until rk_loop_stop() on its loop. */
void rk_traffic_run(struct rk_traffic *t);

/* Control thread: the view changed; a claim was decided (reply is copied, the
 * answer's body is taken over). */
void rk_traffic_view_changed(struct rk_traffic *t);
void rk_traffic_claim_decided(struct rk_traffic *t,
                              const struct rk_claim_reply *reply);

/* The view of the batch of events being handled; never NULL. */
const struct rk_view *rk_traffic_view(struct rk_traffic *t);

/* Calls in hand: what a planned stop waits for. */
size_t rk_traffic_in_hand(const struct rk_traffic *t);

/* End streams that can be resumed elsewhere: the notice is nearly over. */
void rk_traffic_hand_over(struct rk_traffic *t);

#endif
