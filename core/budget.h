/* Retry budget: retries may be a share of calls, not a count a call, so that an
 * overload is not amplified. Pure. */
#ifndef RK_CORE_BUDGET_H
#define RK_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RK_BUDGET_BURST 10 /* retries allowed from standing */

struct rk_budget {
    int64_t hundredths; /* tokens times 100 */
    int64_t burst;      /* retries from standing; 0: RK_BUDGET_BURST */
    bool started;
};

static inline int64_t rk_budget_cap(const struct rk_budget *b)
{
    return (b->burst ? b->burst : RK_BUDGET_BURST) * 100;
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

/* May a retry be sent? Takes its token. */
static inline bool rk_budget_spend(struct rk_budget *b)
{
    if (b->hundredths < 100)
        return false;
    b->hundredths -= 100;
    return true;
}

#endif
