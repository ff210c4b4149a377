/* How fast services answer, by what this node saw of its own calls: of a service as
 * a whole, and of each vm beside it (slow, cold or of another generation). Pure. */
#ifndef RK_CORE_SPEEDS_H
#define RK_CORE_SPEEDS_H

#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/engine.h"

/* Of a service. */
struct rk_speed {
    char service[RK_ID_MAX];
    struct rk_speed *next;
    struct rk_engine engine; /* to the first token */
    double plain_ms;         /* of a plain call that waits for nothing */
};

struct rk_speeds {
    struct rk_speed *first;
};

/* The service's; made when it is new. Valid until rk_speeds_free(). */
struct rk_speed *rk_speeds_of(struct rk_speeds *s, const char *service);
void rk_speeds_free(struct rk_speeds *s);

/* Expected time of a plain call, of a vm with so many in hand for each slot. */
double rk_speed_plain(const struct rk_speed *s, double in_hand_per_slot);
void rk_speed_plain_learn(struct rk_speed *s, double in_hand_per_slot,
                          double took_ms);

/* Of one vm, against what its service's speed lets expect. */
struct rk_pace {
    double log_ratio; /* smoothed logarithm of seen by expected time */
    int64_t at_ms;    /* when it was */
};

/* Times the expected time: 1 for a vm like the others, or long unused. */
double rk_pace_factor(const struct rk_pace *p, int64_t now_ms);
void rk_pace_learn(struct rk_pace *p, double seen_ms, double expected_ms,
                   int64_t now_ms);

#endif
