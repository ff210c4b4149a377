/* Queue of the calls that wait for a slot of one service. Lower ranks go first;
 * within a rank, organisations share the slot time by weight (weighted fair
 * queueing); within an organisation, the earliest deadline goes first. Deferrable
 * calls only use slots that are left over, until their deadline is near.
 *
 * The queue has no length limit. The router bounds it by time: a call that can't
 * meet its deadline is refused when it arrives, and its caller is told when to
 * retry. One queue per service and traffic thread; does no I/O, and time comes from
 * the caller. */
#ifndef RK_CORE_FAIR_QUEUE_H
#define RK_CORE_FAIR_QUEUE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_RANKS         8 /* ranks 0 to 7; 0 is the most urgent */
#define RK_PROMOTED_RANK 1 /* at worst, of a deferrable call near its deadline */

/* A waiting call, embedded in the router's job. The caller owns it, fills it, and
 * leaves it unchanged while it is queued. */
struct rk_waiter {
    char org[RK_ID_MAX];
    int64_t weight;     /* of the organisation; at least 1 */
    int rank;           /* the queue lowers it when it promotes a deferrable call */
    bool deferrable;    /* the queue clears it when it promotes the call */
    int64_t promote_ms; /* time before the deadline at which it is promoted */
    int64_t deadline_ms; /* on the clock of now_ms */
    int64_t cost_ms;     /* estimated time in a slot, for fair shares */
    /* Set by the queue. */
    size_t heap_index; /* index in its heap plus one; 0: not queued */
    bool in_deferred;  /* in the heap of deferrable calls */
    struct rk_org_queue *queue;
};

struct rk_fair_queue;

struct rk_fair_queue *rk_fair_queue_create(void);
/* Frees the queue, which must be empty. NULL is allowed. */
void rk_fair_queue_destroy(struct rk_fair_queue *a);

/* Queues w, which must not be queued. */
void rk_fair_queue_push(struct rk_fair_queue *a, struct rk_waiter *w);
/* Takes w out without charging its organisation; does nothing if w isn't queued. */
void rk_fair_queue_remove(struct rk_fair_queue *a, struct rk_waiter *w);

/* Returns the call that goes next and leaves it in the queue; NULL: none may go.
 * Promotes the deferrable calls whose deadline is near. deferred: whether
 * deferrable calls that were not promoted may go, too; they go only if no other
 * call waits. */
struct rk_waiter *rk_fair_queue_peek(struct rk_fair_queue *a, bool deferred,
                                     int64_t now_ms);

/* Takes w out and charges its organisation with w->cost_ms. */
void rk_fair_queue_serve(struct rk_fair_queue *a, struct rk_waiter *w);

/* Returns the number of queued calls, deferrable ones included. */
size_t rk_fair_queue_len(const struct rk_fair_queue *a);

/* Returns the summed cost in ms of the queued calls of this rank and of more urgent
 * ones, without deferrable calls that were not promoted. */
int64_t rk_fair_queue_cost_ms(const struct rk_fair_queue *a, int rank);

#endif
