/* Number of calls by organisation that were counted lately. The leader uses it to
 * estimate the calls that it has not received yet: as many as in an equally long
 * time before. Pure: no I/O, no clock. */
#ifndef RK_CORE_USAGE_GROWTH_H
#define RK_CORE_USAGE_GROWTH_H

#include <stdint.h>

#include "core/totals.h"

#define RK_USAGE_GROWTH_WINDOWS   4 /* reporting windows whose counts may rise */
#define RK_USAGE_GROWTH_SNAPSHOTS 5

/* All zero: nothing was counted. */
struct rk_usage_growth {
    struct {
        int64_t window;
        struct rk_totals counts;
    } windows[RK_USAGE_GROWTH_WINDOWS];
    struct rk_totals counted; /* calls of all windows */
    struct {
        int64_t at_ms; /* 0: unused */
        struct rk_totals counted;
    } snapshots[RK_USAGE_GROWTH_SNAPSHOTS];
    size_t next_snapshot;
};

/* Notes the counts of a window. A count below the last one is ignored. */
void rk_usage_growth_note(struct rk_usage_growth *g, int64_t window,
                          const struct rk_totals *counts);

/* Ends a round of rk_usage_growth_note() calls, one for each window. now_ms is
 * later than that of the last round. */
void rk_usage_growth_snapshot(struct rk_usage_growth *g, int64_t now_ms);

/* Returns the number of an organisation's calls that were counted in the last
 * span_ms, from the rounds so far; -1: there are too few of them. */
double rk_usage_growth_value(const struct rk_usage_growth *g, const char *org,
                             int64_t span_ms, int64_t now_ms);

/* Frees what g owns and resets it. */
void rk_usage_growth_free(struct rk_usage_growth *g);

#endif
