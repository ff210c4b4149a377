#include "core/quota_classes.h"

#include <math.h>
#include <string.h>

/* A class with less than this part of an organisation's demand does not count as
 * present. Demand decays exponentially and never becomes 0; this is reached 7 s
 * after the last call of a class. */
#define PRESENT_MIN 0.001

/* Part of a limit that urgent classes may request to be admitted by the known
 * usage, and that is kept for plain calls. */
#define SMALL_SHARE 0.02

#define DRAW_RANGE   65536  /* resolution of the random admission draw */
#define RETRY_MAX_MS 2000.0 /* longest mean delay while a share is admitted */
/* A retry delay is drawn between this many times its mean and 1 more. */
#define RETRY_SPREAD_MIN 0.5
/* Part by which the time until units are free is varied. */
#define DELAY_VARIATION 0.25

int rk_quota_class(bool engine, int route_rank)
{
    if (!engine)
        return 0;
    if (route_rank <= 0)
        return 1;
    return route_rank == 1 ? 2 : RK_QUOTA_LAST_CLASS;
}

/* Returns the factor by which demand has decayed since its last update. */
static double decay(const struct rk_class_demand *d, int64_t now_ms)
{
    return exp(-(double)(now_ms - d->at_ms) / RK_QUOTA_DEMAND_TAU_MS);
}

void rk_class_demand_add(struct rk_class_demand *d, int call_class, double units,
                         int64_t now_ms)
{
    double factor = decay(d, now_ms);
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
        d->units[c] *= factor;
    d->units[call_class] += units;
    d->at_ms = now_ms;
}

void rk_class_demand_per_s(const struct rk_class_demand *d, int64_t now_ms,
                           double per_s[RK_QUOTA_CLASSES])
{
    double factor = decay(d, now_ms);
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
        per_s[c] = d->units[c] * factor * RK_MS_PER_S / RK_QUOTA_DEMAND_TAU_MS;
}

bool rk_quota_class_draw(struct rk_rng *rng, double share, int64_t *retry_after_ms)
{
    double admitted = share * DRAW_RANGE;
    if (share >= 1)
        return true;
    double drawn = rk_rng_below(rng, DRAW_RANGE);
    if (drawn < admitted)
        return true;
    double wait_ms = fmin(RK_QUOTA_RETRY_MIN_MS / share, RETRY_MAX_MS);
    /* The draws that refuse are uniform between admitted and DRAW_RANGE, so no
     * second random number is needed. */
    double position = (drawn - admitted) / (DRAW_RANGE - admitted);
    *retry_after_ms = (int64_t)(wait_ms * (RETRY_SPREAD_MIN + position));
    return false;
}

bool rk_quota_class_fits(const double demand[RK_QUOTA_CLASSES], int call_class,
                         double limit, double free_units, int64_t blind_ms)
{
    double per_s = 0;
    if (!rk_quota_classes_mixed(demand))
        return false;
    for (int c = 0; c <= call_class; c++)
        per_s += demand[c];
    double unknown = per_s * (double)blind_ms / RK_MS_PER_S;
    double kept = limit * SMALL_SHARE;
    return unknown <= kept && unknown <= free_units - kept;
}

double rk_quota_class_reserve(const double demand[RK_QUOTA_CLASSES], int call_class,
                              double limit, double reserve_s)
{
    return call_class > 0 ? fmin(demand[0] * reserve_s, limit * SMALL_SHARE) : 0;
}

int64_t rk_quota_vary_delay(struct rk_rng *rng, int64_t delay_ms)
{
    double part = rk_rng_below(rng, DRAW_RANGE) / (double)DRAW_RANGE;
    return (int64_t)((double)delay_ms *
                     (1 - DELAY_VARIATION + 2 * DELAY_VARIATION * part));
}

double rk_quota_class_sum(const double demand[RK_QUOTA_CLASSES])
{
    double sum = 0;
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
        sum += demand[c];
    return sum;
}

/* Each class takes what is left except the floors of the less urgent ones. This
 * grants the same as giving all classes their floors first and the remainder in
 * order, and with demand in one class only its share is exactly
 * free_units / demand. */
void rk_quota_class_shares(const double demand[RK_QUOTA_CLASSES], double free_units,
                           double share[RK_QUOTA_CLASSES])
{
    double sum = rk_quota_class_sum(demand), left = free_units, later = sum;
    bool covered = free_units >= sum;
    double floor_share = covered ? 1 : RK_QUOTA_CLASS_FLOOR * (free_units / sum);
    bool exhausted = false;
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++) {
        later -= demand[c];
        double available = left - later * floor_share;
        share[c] = covered ? 1 : floor_share;
        if (covered || exhausted)
            continue;
        exhausted = demand[c] > available;
        share[c] = exhausted ? fmax(available / demand[c], floor_share) : 1;
        left -= demand[c];
    }
}

void rk_quota_class_scale(double demand[RK_QUOTA_CLASSES], double total,
                          int call_class)
{
    double sum = rk_quota_class_sum(demand);
    for (size_t c = 0; sum > 0 && c < RK_QUOTA_CLASSES; c++)
        demand[c] = demand[c] / sum * total;
    if (sum <= 0)
        demand[call_class] = total;
}

bool rk_quota_classes_mixed(const double demand[RK_QUOTA_CLASSES])
{
    double min = rk_quota_class_sum(demand) * PRESENT_MIN;
    int present = 0;
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
        present += demand[c] > min;
    return present > 1;
}

size_t rk_quota_class_encode(const double demand[RK_QUOTA_CLASSES],
                             float out[RK_QUOTA_CLASSES])
{
    size_t len = 0;
    bool known = false;
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++) {
        out[c] = (float)demand[c];
        if (out[c] > 0)
            len = c + 1;
        known = known || (out[c] > 0 && c < RK_QUOTA_LAST_CLASS);
    }
    return known ? len : 0;
}

static bool is_demand(double units_per_s)
{
    return isfinite(units_per_s) && units_per_s >= 0;
}

bool rk_quota_class_decode(double sum, const float *classes, size_t len,
                           double demand[RK_QUOTA_CLASSES])
{
    bool valid = is_demand(sum);
    memset(demand, 0, RK_QUOTA_CLASSES * sizeof(*demand));
    if (!valid)
        return false;
    for (size_t c = 0; c < len; c++)
        valid = valid && is_demand((double)classes[c]);
    if (!valid || !len)
        demand[RK_QUOTA_LAST_CLASS] = sum;
    for (size_t c = 0; valid && c < len; c++)
        demand[c < RK_QUOTA_CLASSES ? c : RK_QUOTA_LAST_CLASS] +=
            (double)classes[c];
    return valid;
}
