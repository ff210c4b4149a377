#include "core/duration.h"

#include <math.h>

/* Weights of the newest call. */
#define MEAN_WEIGHT      (1.0 / 8)
#define DEVIATION_WEIGHT (1.0 / 4)
/* Weight of a shorter call in the longest duration. */
#define LONGEST_WEIGHT (1.0 / 1024)
/* Mean deviations above the mean that are expected at most. */
#define DEVIATIONS 3

void rk_duration_add(struct rk_duration *d, int64_t ms)
{
    if ((double)ms >= d->longest_ms)
        d->longest_ms = (double)ms;
    else
        d->longest_ms += LONGEST_WEIGHT * ((double)ms - d->longest_ms);
    if (d->count++ == 0) {
        d->mean_ms = (double)ms;
        return;
    }
    double error_ms = (double)ms - d->mean_ms;
    d->mean_ms += MEAN_WEIGHT * error_ms;
    d->deviation_ms += DEVIATION_WEIGHT * (fabs(error_ms) - d->deviation_ms);
}

int64_t rk_duration_expected_ms(const struct rk_duration *d)
{
    if (!d->count)
        return -1;
    return (int64_t)ceil(
        fmin(d->mean_ms + DEVIATIONS * d->deviation_ms, d->longest_ms));
}
