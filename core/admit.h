/* The queue of calls that wait for one service: organisations share by weight
 * inside a priority class, the nearest deadline goes first inside an
 * organisation, and deferrable calls fill gaps until their deadline is near.
 *
 * Bounded by time: a call that can't make its deadline is refused when it
 * comes, with when to come back. Pure; one per service and traffic thread. */
#ifndef RK_CORE_ADMIT_H
#define RK_CORE_ADMIT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_RANKS         8
#define RK_PROMOTED_RANK 1 /* of deferred work whose deadline is near */

/* One waiting call; embedded in the router's job. */
struct rk_waiter {
    char org[RK_ID_MAX];
    int64_t weight;
    int rank;
    bool deferrable;
    int64_t promote_ms; /* before the deadline */
    int64_t deadline_ms;
    int64_t cost_ms; /* estimated time in a slot, for fair shares */
    /* Set by the queue. */
    size_t heap_slot; /* place plus one; 0: not waiting */
    bool in_deferred;
    struct rk_org_queue *queue;
};

struct rk_admit;

struct rk_admit *rk_admit_create(void);
void rk_admit_destroy(struct rk_admit *a); /* must be empty */

void rk_admit_push(struct rk_admit *a, struct rk_waiter *w);
void rk_admit_remove(struct rk_admit *a, struct rk_waiter *w);

/* The waiter that goes next (it stays), promoting those whose time has come.
 * deferred: whether deferrable calls may go, too. NULL: none. */
struct rk_waiter *rk_admit_peek(struct rk_admit *a, bool deferred, int64_t now_ms);

/* Take w out and charge its organisation. */
void rk_admit_take(struct rk_admit *a, struct rk_waiter *w);

size_t rk_admit_len(const struct rk_admit *a);

/* Slot time asked for by waiters at or above a rank; deferred ones excluded. */
int64_t rk_admit_ahead_ms(const struct rk_admit *a, int rank);

#endif
