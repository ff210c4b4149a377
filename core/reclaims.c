#include "core/reclaims.h"

/* Of a domain's vms, lost within a moment, that are a reclaim rather than crashes:
 * reclaims take all of a domain, crashes a quarter or less. */
#define LOST_SHARE     0.5
#define LOST_MIN       2
#define LOST_WITHIN_MS 1000 /* vms write one by one that they leave */

/* Between two tries in a dry domain. A call costs little beside the on-demand vms
 * that stand in meanwhile. */
#define ASK_AGAIN_MS 3000

static void run_dry(struct rk_reclaims_domain *d, int64_t now_ms)
{
    d->dry = true;
    d->ask_from_ms = now_ms + ASK_AGAIN_MS;
}

void rk_reclaims_seen(struct rk_reclaims_domain *d, int held, int ordered,
                      int64_t now_ms)
{
    if (held >= d->most || now_ms - d->most_ms > LOST_WITHIN_MS) {
        d->most = held;
        d->most_ms = now_ms;
        return;
    }
    int lost = d->most - held;
    if (lost >= LOST_MIN && lost >= d->most * LOST_SHARE && held < ordered)
        run_dry(d, now_ms);
}

void rk_reclaims_refused(struct rk_reclaims_domain *d, int64_t now_ms)
{
    run_dry(d, now_ms);
}

void rk_reclaims_granted(struct rk_reclaims_domain *domains, size_t len, size_t at)
{
    domains[at].dry = false;
    for (size_t i = 0; i < len; i++)
        domains[i].ask_from_ms = 0;
}

bool rk_reclaims_may_ask(const struct rk_reclaims_domain *d, int64_t now_ms)
{
    return now_ms >= d->ask_from_ms;
}

bool rk_reclaims_none(const struct rk_reclaims_domain *domains, size_t len)
{
    for (size_t i = 0; i < len; i++)
        if (!domains[i].dry)
            return false;
    return len > 0;
}
