/* Retry budget: retries may be a share of calls, not a count a call, so that an
 * overload is not amplified. Pure. */
#ifndef RK_CORE_BUDGET_H
#define RK_CORE_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#define RK_BUDGET_BURST 10 /* retries allowed from standing */

struct rk_budget {
    int64_t hundredths; /* tokens times 100 */
    bool started;
};

/* A call came: it earns pct hundredths of a retry. */
static inline void rk_budget_earn(struct rk_budget *b, int64_t pct)
{
    if (!b->started) {
        b->started = true;
        b->hundredths = pct ? RK_BUDGET_BURST * 100 : 0;
    }
    b->hundredths += pct;
    if (b->hundredths > RK_BUDGET_BURST * 100)
        b->hundredths = RK_BUDGET_BURST * 100;
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
