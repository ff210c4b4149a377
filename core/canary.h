/* Canary analysis: decides whether a new version of a service is worse than the one
 * in service. Both versions are compared by calls of the same time, so that what
 * affects both (a failure domain that is down, an overload) is not blamed on the
 * new one. Pure: no I/O, no clock.
 *
 * Method: Wald's sequential probability ratio test ("Sequential Analysis", 1947) on
 * the share of failed calls and on the logarithm of their latency, per route and
 * over all routes. The results of the old version over the same time take the
 * place of the known parameter, and their uncertainty widens the variance. */
#ifndef RK_CORE_CANARY_H
#define RK_CORE_CANARY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_CANARY_ROWS 96 /* routes times domains, for both versions */

/* Results of calls. All members are sums, so those of several nodes can be added
 * up. */
struct rk_canary_stats {
    double calls, failed;
    double timed;   /* calls whose time to first byte is known */
    double log_sum; /* sum of ln(observed / expected time to first byte) */
    double log_sq;  /* sum of the squares of those logarithms */
};

/* Results of calls of one route to VMs of one version in one failure domain. */
struct rk_canary_row {
    char route[RK_ID_MAX];
    char domain[RK_ID_MAX];
    bool of_new_version; /* VMs of the new version */
    struct rk_canary_stats stats;
};

/* Results of a rollout, per route, domain and version. All zero: empty. */
struct rk_canary_rows {
    struct rk_canary_row rows[RK_CANARY_ROWS];
    size_t len;
};

/* Returns the row, added if it is new, or NULL if the table is full. */
struct rk_canary_row *rk_canary_get_row(struct rk_canary_rows *t, const char *route,
                                        const char *domain, bool of_new_version);
/* Counts a call, with its observed and its expected time to first byte. */
void rk_canary_add_time(struct rk_canary_stats *s, double observed_ms,
                        double expected_ms);
/* Counts a failed call. timed: it failed after its first byte, so
 * rk_canary_add_time() has counted it already. */
void rk_canary_add_failure(struct rk_canary_stats *s, bool timed);
/* Adds more to sum. */
void rk_canary_merge(struct rk_canary_stats *sum,
                     const struct rk_canary_stats *more);
/* Returns the sum of one version's rows of a route ("": all routes), leaving out
 * one domain ("": none). */
struct rk_canary_stats rk_canary_sum(const struct rk_canary_rows *t,
                                     const char *route, bool of_new_version,
                                     const char *without);
/* Returns the geometric mean of observed / expected time in percent; 0 if no time
 * is known. */
int64_t rk_canary_latency_pct(const struct rk_canary_stats *s);
/* Returns whether the values are possible. A peer may send anything. */
bool rk_canary_is_valid(const struct rk_canary_stats *s);

/* Verdict on the new version so far. */
enum rk_canary_verdict {
    RK_CANARY_UNDECIDED, /* too little evidence so far */
    RK_CANARY_SUSPECT,   /* bad in one domain only, not confirmed by others */
    RK_CANARY_GOOD,
    RK_CANARY_BAD,
};

/* The strongest evidence against the new version, for the log. */
struct rk_canary_finding {
    enum rk_canary_verdict verdict;
    double evidence;       /* ln of the likelihood ratio of bad to good */
    char route[RK_ID_MAX]; /* "": all routes */
    bool by_time;          /* evidence from latency; false: from failures */
    struct rk_canary_stats new_stats, old_stats; /* results on that route */
};

/* Judges the new version. domains: number of failure domains with VMs of the new
 * version. at_cutover: the results when all calls moved to it, which are left out
 * of its times; NULL: both versions get calls. */
struct rk_canary_finding rk_canary_judge(const struct rk_canary_rows *rows,
                                         const struct rk_canary_rows *at_cutover,
                                         size_t domains);

#endif
