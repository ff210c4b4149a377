/* Priority classes of calls within an organisation's quota. When the organisation
 * requests more than is free, calls of more urgent classes are admitted before
 * others, and each class keeps a part of the quota. core/quota.c uses the shares to
 * admit calls; node/ sends and receives demand per class. Pure: no I/O, no clock,
 * no state. */
#ifndef RK_CORE_QUOTA_CLASSES_H
#define RK_CORE_QUOTA_CLASSES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

/* In order of priority: calls to plain services, then calls to engines on routes of
 * rank 0, of rank 1, and of rank 2 or more. */
#define RK_QUOTA_CLASSES 4
/* Demand whose class is not known counts in the least urgent class. */
#define RK_QUOTA_LAST_CLASS (RK_QUOTA_CLASSES - 1)
/* Part of the share without classes that each class keeps. A caller retries once,
 * so with less than a quarter hardly any call of the class would be answered. */
#define RK_QUOTA_CLASS_FLOOR 0.25

#define RK_QUOTA_DEMAND_TAU_MS 1000.0 /* decay time constant of a node's demand */
#define RK_QUOTA_RETRY_MIN_MS  250    /* shortest mean delay of a refused call */

/* Units requested per class, decaying exponentially. All zero: none. */
struct rk_class_demand {
    double units[RK_QUOTA_CLASSES];
    int64_t at_ms; /* when units were last updated */
};

/* Returns the class of a call. engine: the call is for an engine, not for a plain
 * service. route_rank: 0 is the most urgent. */
int rk_quota_class(bool engine, int route_rank);

/* Fills share with the probability of admission per class. demand: units requested
 * per class until the next reports arrive. free_units: units that are free until
 * then, at least 0. The sum of share times demand does not exceed free_units. No
 * class has a smaller share than a less urgent one. */
void rk_quota_class_shares(const double demand[RK_QUOTA_CLASSES], double free_units,
                           double share[RK_QUOTA_CLASSES]);

/* Counts a requested call, also if it is refused. */
void rk_class_demand_add(struct rk_class_demand *d, int call_class, double units,
                         int64_t now_ms);
/* Fills per_s with the units/s requested per class. */
void rk_class_demand_per_s(const struct rk_class_demand *d, int64_t now_ms,
                           double per_s[RK_QUOTA_CLASSES]);

/* Draws whether a call is among the share of calls that are admitted. If it is not,
 * sets its retry delay. The delay varies by half, so that callers that were refused
 * at the same time do not all return at once. */
bool rk_quota_class_draw(struct rk_rng *rng, double share, int64_t *retry_after_ms);

/* Returns whether a call is admitted by the usage that is known, without an
 * estimate of what peers have not reported. demand: units/s per class; free_units:
 * units that the limit leaves beside the known usage; blind_ms: time until the next
 * reports. That is so if all that the call's class and more urgent ones request in
 * that time is a small part of the limit and fits beside as much that stays free
 * for a partition that is not known yet. The estimate follows bursts of costlier
 * classes, which are refused by then: with it a third of the plain calls was
 * refused although they need a hundredth of the quota (67 nodes, five times the
 * quota requested). */
bool rk_quota_class_fits(const double demand[RK_QUOTA_CLASSES], int call_class,
                         double limit, double free_units, int64_t blind_ms);

/* Returns the units of the limit that calls of the class leave to plain calls: what
 * those request in reserve_s seconds, at most a small part of the limit. Otherwise
 * usage that is assumed after a restart or a partition fills the window for all
 * classes. */
double rk_quota_class_reserve(const double demand[RK_QUOTA_CLASSES], int call_class,
                              double limit, double reserve_s);

/* Returns the delay varied by up to a quarter, so that callers for whom the window
 * has no room do not all return at once either. */
int64_t rk_quota_vary_delay(struct rk_rng *rng, int64_t delay_ms);

/* Returns the sum over the classes. */
double rk_quota_class_sum(const double demand[RK_QUOTA_CLASSES]);

/* Scales demand so that its sum becomes total. If it is 0, the total counts in
 * call_class. */
void rk_quota_class_scale(double demand[RK_QUOTA_CLASSES], double total,
                          int call_class);

/* Returns whether more than one class has a demand worth sharing for. */
bool rk_quota_classes_mixed(const double demand[RK_QUOTA_CLASSES]);

/* Fills out with the demand per class as it is sent to peers and returns the number
 * of values; classes after the last value have no demand. 0: the demand is wholly
 * in the last class, or there is none. */
size_t rk_quota_class_encode(const double demand[RK_QUOTA_CLASSES],
                             float out[RK_QUOTA_CLASSES]);

/* Fills demand from a received row: its sum and its len values per class. Without
 * such values, or if one of them is invalid, the sum counts in the last class;
 * values beyond the known classes are added to the last one. An invalid sum counts
 * as 0. Returns false if any value is negative or not finite. */
bool rk_quota_class_decode(double sum, const float *classes, size_t len,
                           double demand[RK_QUOTA_CLASSES]);

#endif
