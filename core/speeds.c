#include "core/speeds.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define PLAIN_PRIOR_MS  30.0 /* between the services measured: 15 and 60 */
#define PLAIN_SHARE     0.05 /* weight of a new call */
#define PLAIN_CUT       4.0  /* a slow call counts as so many times the expected */
#define PACE_SHARE      0.15 /* weight of a new call: half after four of them */
#define PACE_CUT        1.5  /* of the logarithm: 4.5 times as slow or as fast */
#define PACE_HALVED_MS  4000.0 /* forgotten by half, so that a vm is tried again */
#define EXPECTED_MIN_MS 5.0    /* below it, ratios are noise */

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

static double faded(const struct rk_pace *p, int64_t now_ms)
{
    return p->log_ratio * exp2(-(double)(now_ms - p->at_ms) / PACE_HALVED_MS);
}

double rk_pace_factor(const struct rk_pace *p, int64_t now_ms)
{
    return p->log_ratio != 0 ? exp(faded(p, now_ms)) : 1;
}

void rk_pace_learn(struct rk_pace *p, double seen_ms, double expected_ms,
                   int64_t now_ms)
{
    double ratio =
        fmax(seen_ms, EXPECTED_MIN_MS) / fmax(expected_ms, EXPECTED_MIN_MS);
    double log_ratio = fmax(-PACE_CUT, fmin(PACE_CUT, log(ratio)));
    double before = faded(p, now_ms);
    p->log_ratio = before + PACE_SHARE * (log_ratio - before);
    p->at_ms = now_ms;
}
