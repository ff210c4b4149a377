#include "core/service_speed.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Assumed time of a plain call before any was measured. Measured services took
 * 15 to 60 ms. */
#define PLAIN_INITIAL_MS  30.0
#define PLAIN_EWMA_WEIGHT 0.05 /* weight of a new call in the smoothed time */
/* A slow call counts as at most this multiple of the expected time. */
#define PLAIN_MAX_RATIO 4.0
/* Bounds the log ratio: 12 times as slow or as fast. */
#define MAX_LOG_RATIO 2.5
/* Calls with the expected result that are added to the sums, so that a few calls
 * have little effect. */
#define PRIOR_CALLS 3.0
/* A mean log ratio counts only as far as it exceeds 1.5 / sqrt(calls): calls
 * that wait at a VM without this node's knowledge make the times of single calls
 * vary by a factor of 1.8. With 0.6, engines that were as fast as the others,
 * but loaded to 0.9, were avoided (p99 of the first token 1,312 ms instead of
 * 1,060 ms, 295 nodes in front of 160 engines). */
#define LOG_RATIO_DEADBAND 1.5
/* Time after which a refusal counts half as much. A VM that refuses calls is tried
 * again after some seconds. */
#define REFUSED_HALF_LIFE_MS 2000.0
/* Most refusals that a node counts: many at once have the same cause. */
#define REFUSED_MAX 2.0
/* Accepted calls that are added. It is lower than PRIOR_CALLS because a refusal
 * is unambiguous. */
#define PRIOR_ACCEPTED_CALLS 1.0
#define REPORTED_SUM_MAX     1e6 /* larger sums in a report are invalid */
/* Shorter times are raised to this, because ratios of them are noise. */
#define RATIO_MIN_MS 5.0

struct rk_service_speed *rk_service_speeds_get(struct rk_service_speeds *s,
                                               const char *service)
{
    for (struct rk_service_speed *at = s->first; at; at = at->next)
        if (!strcmp(at->service, service))
            return at;
    struct rk_service_speed *speed = rk_alloc(1, sizeof(*speed));
    rk_strcpy(speed->service, sizeof(speed->service), service);
    rk_engine_init(&speed->engine);
    speed->plain_ms = PLAIN_INITIAL_MS;
    speed->next = s->first;
    s->first = speed;
    return speed;
}

/* The newest records are first. */
void rk_service_speeds_trim(struct rk_service_speeds *s)
{
    size_t idle = 0;
    for (struct rk_service_speed **at = &s->first; *at;) {
        struct rk_service_speed *speed = *at;
        if (speed->vms || ++idle <= RK_IDLE_SERVICES_MAX) {
            at = &speed->next;
            continue;
        }
        *at = speed->next;
        free(speed);
    }
}

void rk_service_speeds_free(struct rk_service_speeds *s)
{
    for (struct rk_service_speed *at = s->first, *next; at; at = next) {
        next = at->next;
        free(at);
    }
    s->first = NULL;
}

double rk_service_speed_plain_ms(const struct rk_service_speed *s,
                                 double in_flight_per_slot)
{
    return s->plain_ms * (1 + in_flight_per_slot);
}

void rk_service_speed_note_plain(struct rk_service_speed *s,
                                 double in_flight_per_slot, double took_ms)
{
    double alone_ms = took_ms / (1 + in_flight_per_slot);
    alone_ms = fmin(alone_ms, s->plain_ms * PLAIN_MAX_RATIO);
    s->plain_ms += PLAIN_EWMA_WEIGHT * (alone_ms - s->plain_ms);
    s->plain_ms = fmax(s->plain_ms, 1);
}

double rk_vm_health_weight(const struct rk_vm_health *p)
{
    return p->calls + p->refused;
}

static double decay_factor(const struct rk_vm_health *p, double half_life_ms,
                           int64_t now_ms)
{
    return exp2(-(double)(now_ms - p->at_ms) / half_life_ms);
}

struct rk_vm_health rk_vm_health_decayed(const struct rk_vm_health *p,
                                         int64_t now_ms)
{
    struct rk_vm_health now = {.at_ms = now_ms};
    if (p->calls > 0) {
        double factor = decay_factor(p, RK_VM_HEALTH_HALF_LIFE_MS, now_ms);
        now.log_sum = p->log_sum * factor;
        now.failed = p->failed * factor;
        now.calls = p->calls * factor;
    }
    if (p->refused > 0)
        now.refused = p->refused * decay_factor(p, REFUSED_HALF_LIFE_MS, now_ms);
    return now;
}

void rk_vm_health_accumulate(struct rk_vm_health *sum,
                             const struct rk_vm_health *more)
{
    sum->log_sum += more->log_sum;
    sum->failed += more->failed;
    sum->calls += more->calls;
    sum->refused += more->refused;
}

struct rk_vm_health rk_vm_health_combined(const struct rk_vm_health *a,
                                          const struct rk_vm_health *b,
                                          int64_t now_ms)
{
    struct rk_vm_health sum = rk_vm_health_decayed(a, now_ms);
    struct rk_vm_health more = rk_vm_health_decayed(b, now_ms);
    rk_vm_health_accumulate(&sum, &more);
    return sum;
}

bool rk_vm_health_is_valid(const struct rk_vm_health *p)
{
    return p->calls >= 0 && p->calls <= REPORTED_SUM_MAX && p->failed >= 0 &&
           p->failed <= REPORTED_SUM_MAX && p->refused >= 0 &&
           p->refused <= REPORTED_SUM_MAX && fabs(p->log_sum) <= REPORTED_SUM_MAX;
}

double rk_vm_health_slowdown(const struct rk_vm_health *p, double mean)
{
    double calls = p->calls + PRIOR_CALLS;
    double log_mean = (p->log_sum - mean * p->calls) / calls;
    double deadband = LOG_RATIO_DEADBAND / sqrt(calls);
    return exp(copysign(fmax(0, fabs(log_mean) - deadband), log_mean));
}

double rk_vm_health_failure_share(const struct rk_vm_health *p)
{
    return p->failed / (p->calls + PRIOR_CALLS);
}

double rk_vm_health_refusal_share(const struct rk_vm_health *p)
{
    /* Squared: the rest of a single refusal says little. */
    double refused = p->refused * p->refused;
    return refused / (refused + p->calls + PRIOR_ACCEPTED_CALLS);
}

/* Returns the logarithm of actual over expected time, within MAX_LOG_RATIO. */
static double log_ratio(double took_ms, double expected_ms)
{
    double ratio = fmax(took_ms, RATIO_MIN_MS) / fmax(expected_ms, RATIO_MIN_MS);
    return fmax(-MAX_LOG_RATIO, fmin(MAX_LOG_RATIO, log(ratio)));
}

void rk_vm_health_note_time(struct rk_vm_health *p, double took_ms,
                            double expected_ms, int64_t now_ms)
{
    *p = rk_vm_health_decayed(p, now_ms);
    p->log_sum += log_ratio(took_ms, expected_ms);
    p->calls += 1;
}

void rk_vm_health_note_failure(struct rk_vm_health *p, double took_ms,
                               double expected_ms, int64_t now_ms)
{
    *p = rk_vm_health_decayed(p, now_ms);
    p->log_sum += fmax(0, log_ratio(took_ms, expected_ms));
    p->failed += 1;
    p->calls += 1;
}

void rk_vm_health_note_refusal(struct rk_vm_health *p, int64_t now_ms)
{
    *p = rk_vm_health_decayed(p, now_ms);
    p->refused = fmin(p->refused + 1, REFUSED_MAX);
}
