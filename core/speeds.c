#include "core/speeds.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PLAIN_PRIOR_MS 30.0 /* between the services measured: 15 and 60 */
#define PLAIN_SHARE    0.05 /* weight of a new call */
#define PLAIN_CUT      4.0  /* a slow call counts as so many times the expected */
#define PACE_CUT       2.5  /* of the logarithm: 12 times as slow or as fast */
/* A call counts half as much after so long. A vm that turned four times as slow is
 * given fewer calls after a second; one that is no longer used is tried again after
 * some seconds. */
#define PACE_HALVED_MS 1500.0
#define PACE_PRIOR     3.0 /* calls as expected that are added: few say little */
/* A mean of logarithms counts as far as it is more than 1.5 / sqrt(calls) off: what
 * waits at a vm, unseen, makes single calls vary by a factor of 1.8. With 0.6,
 * engines that are as fast as the others but loaded to 0.9 were passed over (p99 of
 * the first token 1,312 instead of 1,060 ms, 295 nodes before 160 engines). */
#define PACE_DOUBT 1.5
/* A vm that turns calls away is tried again after some seconds. */
#define REFUSED_HALVED_MS 2000.0
#define REFUSED_MAX       2.0 /* of a node: many at once are one sign */
#define REFUSED_PRIOR     1.0 /* calls that were taken, added: a refusal is certain */
#define PACE_CALLS_MAX    1e6 /* what is told above it is no count of calls */
#define EXPECTED_MIN_MS   5.0 /* below it, ratios are noise */

struct rk_speed *rk_speeds_of(struct rk_speeds *s, const char *service)
{
    for (struct rk_speed *at = s->first; at; at = at->next)
        if (!strcmp(at->service, service))
            return at;
    struct rk_speed *speed = rk_alloc(1, sizeof(*speed));
    rk_strcpy(speed->service, sizeof(speed->service), service);
    rk_engine_init(&speed->engine);
    speed->plain_ms = PLAIN_PRIOR_MS;
    speed->next = s->first;
    s->first = speed;
    return speed;
}

void rk_speeds_free(struct rk_speeds *s)
{
    for (struct rk_speed *at = s->first, *next; at; at = next) {
        next = at->next;
        free(at);
    }
    s->first = NULL;
}

double rk_speed_plain(const struct rk_speed *s, double in_hand_per_slot)
{
    return s->plain_ms * (1 + in_hand_per_slot);
}

void rk_speed_plain_learn(struct rk_speed *s, double in_hand_per_slot,
                          double took_ms)
{
    double alone_ms = took_ms / (1 + in_hand_per_slot);
    alone_ms = fmin(alone_ms, s->plain_ms * PLAIN_CUT);
    s->plain_ms += PLAIN_SHARE * (alone_ms - s->plain_ms);
    s->plain_ms = fmax(s->plain_ms, 1);
}

double rk_pace_weight(const struct rk_pace *p)
{
    return p->calls + p->refused;
}

static double left_of(const struct rk_pace *p, double halved_ms, int64_t now_ms)
{
    return exp2(-(double)(now_ms - p->at_ms) / halved_ms);
}

struct rk_pace rk_pace_at(const struct rk_pace *p, int64_t now_ms)
{
    struct rk_pace now = {.at_ms = now_ms};
    if (p->calls > 0) {
        double left = left_of(p, PACE_HALVED_MS, now_ms);
        now.log_sum = p->log_sum * left;
        now.failed = p->failed * left;
        now.calls = p->calls * left;
    }
    if (p->refused > 0)
        now.refused = p->refused * left_of(p, REFUSED_HALVED_MS, now_ms);
    return now;
}

void rk_pace_sum(struct rk_pace *sum, const struct rk_pace *more)
{
    sum->log_sum += more->log_sum;
    sum->failed += more->failed;
    sum->calls += more->calls;
    sum->refused += more->refused;
}

struct rk_pace rk_pace_add(const struct rk_pace *a, const struct rk_pace *b,
                           int64_t now_ms)
{
    struct rk_pace sum = rk_pace_at(a, now_ms);
    struct rk_pace more = rk_pace_at(b, now_ms);
    rk_pace_sum(&sum, &more);
    return sum;
}

bool rk_pace_is_sound(const struct rk_pace *p)
{
    return p->calls >= 0 && p->calls <= PACE_CALLS_MAX && p->failed >= 0 &&
           p->failed <= PACE_CALLS_MAX && p->refused >= 0 &&
           p->refused <= PACE_CALLS_MAX && fabs(p->log_sum) <= PACE_CALLS_MAX;
}

double rk_pace_factor(const struct rk_pace *p, double mean)
{
    double calls = p->calls + PACE_PRIOR;
    double log_mean = (p->log_sum - mean * p->calls) / calls;
    double doubt = PACE_DOUBT / sqrt(calls);
    return exp(copysign(fmax(0, fabs(log_mean) - doubt), log_mean));
}

double rk_pace_failing(const struct rk_pace *p)
{
    return p->failed / (p->calls + PACE_PRIOR);
}

double rk_pace_refusing(const struct rk_pace *p)
{
    double refused = p->refused * p->refused; /* what is left of one says little */
    return refused / (refused + p->calls + REFUSED_PRIOR);
}

static double log_ratio(double seen_ms, double expected_ms)
{
    double ratio =
        fmax(seen_ms, EXPECTED_MIN_MS) / fmax(expected_ms, EXPECTED_MIN_MS);
    return fmax(-PACE_CUT, fmin(PACE_CUT, log(ratio)));
}

void rk_pace_learn(struct rk_pace *p, double seen_ms, double expected_ms,
                   int64_t now_ms)
{
    *p = rk_pace_at(p, now_ms);
    p->log_sum += log_ratio(seen_ms, expected_ms);
    p->calls += 1;
}

void rk_pace_fail(struct rk_pace *p, double seen_ms, double expected_ms,
                  int64_t now_ms)
{
    *p = rk_pace_at(p, now_ms);
    p->log_sum += fmax(0, log_ratio(seen_ms, expected_ms));
    p->failed += 1;
    p->calls += 1;
}

void rk_pace_refuse(struct rk_pace *p, int64_t now_ms)
{
    *p = rk_pace_at(p, now_ms);
    p->refused = fmin(p->refused + 1, REFUSED_MAX);
}
