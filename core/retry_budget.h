/* Retry budget (token bucket): bounds retries to a percentage of the calls plus a
 * burst, instead of a count per call, so that retries can't amplify an overload.
 * Does no I/O and reads no clock. A zeroed struct rk_retry_budget is a valid start.
 */
#ifndef RK_CORE_RETRY_BUDGET_H
#define RK_CORE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/* Burst in retries where rk_retry_budget_set_share() is not used. */
#define RK_RETRY_BUDGET_BURST 10

/* A token pays for one retry. Amounts are in hundredths of a token, so that a call
 * earns as many of them as the configured percentage says. */
struct rk_retry_budget {
    int64_t tokens_x100; /* tokens times 100 */
    int64_t cap_x100; /* most that can be saved; 0: RK_RETRY_BUDGET_BURST tokens */
    bool started;     /* the initial tokens were given */
};

#define RK_RETRY_BUDGET_COST 100 /* hundredths of a token */

/* Returns the most that can be saved, in hundredths of a token. */
static inline int64_t rk_retry_budget_cap(const struct rk_retry_budget *b)
{
    return b->cap_x100 ? b->cap_x100 : RK_RETRY_BUDGET_BURST * RK_RETRY_BUDGET_COST;
}

/* Sets the cap to this node's share of burst, the retries that all nodes together
 * may send beyond the percentage of calls; a node's share is at least one retry.
 * At the first call, a node of a first start gets the whole share. A restarted node
 * gets nothing, because its previous incarnation may have used the share: so all
 * nodes together keep to the burst, whichever of them are killed. */
static inline void rk_retry_budget_set_share(struct rk_retry_budget *b,
                                             int64_t burst, int nodes,
                                             bool first_start)
{
    b->cap_x100 = burst * RK_RETRY_BUDGET_COST / (nodes > 0 ? nodes : 1);
    if (b->cap_x100 < RK_RETRY_BUDGET_COST)
        b->cap_x100 = RK_RETRY_BUDGET_COST;
    if (!b->started)
        b->tokens_x100 = first_start ? b->cap_x100 : 0;
    b->started = true;
}

static inline void rk_retry_budget_add(struct rk_retry_budget *b, int64_t x100)
{
    b->tokens_x100 += x100;
    if (b->tokens_x100 > rk_retry_budget_cap(b))
        b->tokens_x100 = rk_retry_budget_cap(b);
}

/* Credits one call with pct hundredths of a token. Without
 * rk_retry_budget_set_share(), the first call also gives the whole cap, unless pct
 * is 0. */
static inline void rk_retry_budget_earn(struct rk_retry_budget *b, int64_t pct)
{
    if (!b->started) {
        b->started = true;
        b->tokens_x100 = pct ? rk_retry_budget_cap(b) : 0;
    }
    rk_retry_budget_add(b, pct);
}

/* Returns whether the budget covers a retry; takes nothing. */
static inline bool rk_retry_budget_has(const struct rk_retry_budget *b)
{
    return b->tokens_x100 >= RK_RETRY_BUDGET_COST;
}

/* Takes the tokens of one retry. Returns false, and takes nothing, when the budget
 * doesn't cover it: the retry must not be sent. */
static inline bool rk_retry_budget_spend(struct rk_retry_budget *b)
{
    if (!rk_retry_budget_has(b))
        return false;
    b->tokens_x100 -= RK_RETRY_BUDGET_COST;
    return true;
}

/* Gives back the tokens of a retry that was not sent. */
static inline void rk_retry_budget_refund(struct rk_retry_budget *b)
{
    rk_retry_budget_add(b, RK_RETRY_BUDGET_COST);
}

#endif
