#include "core/reclaims.h"

/* Share of a domain's VMs which, lost at once, indicates a reclaim rather than
 * crashes: reclaims take all VMs of a domain, crashes a quarter or less. */
#define LOST_SHARE     0.5
#define LOST_MIN       2
#define LOST_WITHIN_MS 1000 /* VMs announce one by one that they are leaving */

/* Time between attempts in an exhausted domain. A request costs little compared
 * with the on-demand substitutes that run meanwhile. */
#define RETRY_MS 3000

static void mark_exhausted(struct rk_reclaims_domain *d, int64_t now_ms)
{
    d->exhausted = true;
    d->retry_at_ms = now_ms + RETRY_MS;
}

void rk_reclaims_observe(struct rk_reclaims_domain *d, int held, int ordered,
                         int64_t now_ms)
{
    if (held >= d->peak || now_ms - d->peak_ms > LOST_WITHIN_MS) {
        d->peak = held;
        d->peak_ms = now_ms;
        return;
    }
    int lost = d->peak - held;
    if (lost >= LOST_MIN && lost >= d->peak * LOST_SHARE && held < ordered)
        mark_exhausted(d, now_ms);
}

void rk_reclaims_refused(struct rk_reclaims_domain *d, int64_t now_ms)
{
    mark_exhausted(d, now_ms);
}

void rk_reclaims_granted(struct rk_reclaims_domain *domains, size_t len, size_t at)
{
    domains[at].exhausted = false;
    for (size_t i = 0; i < len; i++)
        domains[i].retry_at_ms = 0;
}

bool rk_reclaims_may_order(const struct rk_reclaims_domain *d, int64_t now_ms)
{
    return now_ms >= d->retry_at_ms;
}

bool rk_reclaims_all_exhausted(const struct rk_reclaims_domain *domains, size_t len)
{
    for (size_t i = 0; i < len; i++)
        if (!domains[i].exhausted)
            return false;
    return len > 0;
}
