/* How fast services answer, by what this node saw of its own calls: of a service as
 * a whole, and of each vm beside it (slow, cold or of another generation). Pure. */
#ifndef RK_CORE_SPEEDS_H
#define RK_CORE_SPEEDS_H

#include <stdbool.h>
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
    double pace_mean;        /* of all its vms: mean of rk_pace's logarithms */
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

/* What calls to one vm showed lately: how long they took, against what its
 * service's speed lets expect, and how many failed. Each call counts for less as
 * time passes. Sums of several nodes add up. */
struct rk_pace {
    double log_sum; /* of the logarithms of seen by expected times */
    double failed;  /* calls that failed */
    double calls;   /* all of them, but those that the vm turned away */
    double refused; /* these, a few of each node at the most */
    int64_t at_ms;  /* when the sums were reckoned */
};

/* A call took so long. */
void rk_pace_learn(struct rk_pace *p, double seen_ms, double expected_ms,
                   int64_t now_ms);
/* A call failed after so long: late, it shows a slow vm, too. */
void rk_pace_fail(struct rk_pace *p, double seen_ms, double expected_ms,
                  int64_t now_ms);

/* The vm turned a call away. */
void rk_pace_refuse(struct rk_pace *p, int64_t now_ms);

/* The sums as they count now. */
struct rk_pace rk_pace_at(const struct rk_pace *p, int64_t now_ms);
/* Those of two, the same way. */
struct rk_pace rk_pace_add(const struct rk_pace *a, const struct rk_pace *b,
                           int64_t now_ms);
/* Add sums that were reckoned at about the same time. */
void rk_pace_sum(struct rk_pace *sum, const struct rk_pace *more);
/* Can it be one? A peer may tell anything. */
bool rk_pace_is_sound(const struct rk_pace *p);

/* Times the expected time, of a vm whose service's vms take exp(mean) times it in
 * the mean: 1 for a vm like the others, or long unused. Where all of them got slow,
 * none of them is: that is load. */
double rk_pace_factor(const struct rk_pace *p, double mean);
/* Share of its calls that fail; 0 while hardly any is known. */
double rk_pace_failing(const struct rk_pace *p);
/* The same, that the vm turned away. */
double rk_pace_refusing(const struct rk_pace *p);
/* How many calls the sums hold. */
double rk_pace_weight(const struct rk_pace *p);

#endif
