/* Retry budget: retries may be a share of calls, not a count a call, so that an
 * overload is not amplified. Pure. */
#ifndef RK_CORE_BUDGET_H
#define RK_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RK_BUDGET_BURST 10 /* retries allowed from standing */

struct rk_budget {
    int64_t hundredths; /* tokens times 100 */
    int64_t cap;        /* the same, at most; 0: RK_BUDGET_BURST retries */
    bool started;
};

#define RK_BUDGET_RETRY 100 /* hundredths */

static inline int64_t rk_budget_cap(const struct rk_budget *b)
{
    return b->cap ? b->cap : RK_BUDGET_BURST * RK_BUDGET_RETRY;
}

/* This node's part of the retries that all nodes together may send from standing. A
 * node that starts again begins with none, as its earlier life may have used them:
 * so all of them never send more, whoever is killed. */
static inline void rk_budget_set_share(struct rk_budget *b, int64_t burst,
                                       int nodes, bool first_start)
{
    b->cap = burst * RK_BUDGET_RETRY / (nodes > 0 ? nodes : 1);
    if (b->cap < RK_BUDGET_RETRY)
        b->cap = RK_BUDGET_RETRY;
    if (!b->started)
        b->hundredths = first_start ? b->cap : 0;
    b->started = true;
}

/* A call came: it earns pct hundredths of a retry. */
static inline void rk_budget_earn(struct rk_budget *b, int64_t pct)
{
    if (!b->started) {
        b->started = true;
        b->hundredths = pct ? rk_budget_cap(b) : 0;
    }
    b->hundredths += pct;
    if (b->hundredths > rk_budget_cap(b))
        b->hundredths = rk_budget_cap(b);
}

/* Is there a retry left? */
static inline bool rk_budget_has(const struct rk_budget *b)
{
    return b->hundredths >= RK_BUDGET_RETRY;
}

/* May a retry be sent? Takes its token. */
static inline bool rk_budget_spend(struct rk_budget *b)
{
    if (!rk_budget_has(b))
        return false;
    b->hundredths -= RK_BUDGET_RETRY;
    return true;
}

#endif
