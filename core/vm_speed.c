#include "core/vm_speed.h"

#include <math.h>

/* Time after which a call counts half as much. A VM is known as slow after a few
 * seconds, and one that was slow for some seconds only is used as before within ten
 * seconds. */
#define HALF_LIFE_MS 10000.0
/* Most time that an observation stands for. A short-term record tells nothing of
 * the time before a gap in the reports; without the limit, a gap adds calls that
 * never were. */
#define MAX_ELAPSED_MS 1000.0
/* Calls with the mean result that are added, so that a few calls have little
 * effect. */
#define PRIOR_CALLS 3.0
/* A mean log ratio counts only as far as it exceeds 1.5 / sqrt(calls), the same as
 * in service_speed.c. */
#define LOG_RATIO_DEADBAND 1.5
/* A factor nearer to 1 than this counts as 1. Among VMs that are alike and each
 * slow for 600 ms at a time, 15% of the time, factors of up to 1.07 were seen:
 * calls within one slow period are no independent samples. */
#define MIN_FACTOR 1.1

void rk_vm_speed_observe(struct rk_vm_speed *s, const struct rk_vm_health *recent,
                         int64_t now_ms)
{
    double elapsed_ms = (double)(now_ms - s->at_ms);
    if (elapsed_ms <= 0)
        return;
    /* A call stays in the short-term sums for RK_VM_HEALTH_MEAN_MS on average. */
    double share = fmin(elapsed_ms, MAX_ELAPSED_MS) / RK_VM_HEALTH_MEAN_MS;
    double keep = exp2(-elapsed_ms / HALF_LIFE_MS);
    s->log_sum = s->log_sum * keep + recent->log_sum * share;
    s->calls = s->calls * keep + recent->calls * share;
    s->at_ms = now_ms;
}

double rk_vm_speed_factor(const struct rk_vm_speed *s, double mean_log_ratio)
{
    double calls = s->calls + PRIOR_CALLS;
    double log_mean = (s->log_sum - mean_log_ratio * s->calls) / calls;
    double excess = fabs(log_mean) - LOG_RATIO_DEADBAND / sqrt(calls);
    if (!(excess >= log(MIN_FACTOR)))
        return 1;
    return exp(copysign(fmin(excess, log(RK_VM_SPEED_FACTOR_MAX)), log_mean));
}

int rk_vm_speed_step(double factor)
{
    return (int)lround(2 * log2(factor));
}
