/* How long calls take, learned from those that have ended: a moving average of
 * their durations and of the deviations from it.
 *
 * Pure: no I/O and no clock. Not thread-safe. */
#ifndef RK_CORE_DURATION_H
#define RK_CORE_DURATION_H

#include <stdint.h>

/* Zero-initialise. */
struct rk_duration {
    double mean_ms, deviation_ms;
    double longest_ms; /* it decays with each shorter call */
    int64_t count;     /* of the calls that were added */
};

void rk_duration_add(struct rk_duration *d, int64_t ms);

/* Returns a time that few calls exceed; -1: no call was added. */
int64_t rk_duration_expected_ms(const struct rk_duration *d);

#endif
