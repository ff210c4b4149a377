/* Canary analysis: decides whether a new version of a service is worse than the one
 * in service. Both versions are compared by calls of the same time, so that what
 * affects both (a failure domain that is down, an overload) is not blamed on the
 * new one. Pure: no I/O, no clock.
 *
 * Method: Wald's sequential probability ratio test ("Sequential Analysis", 1947) on
 * the share of failed calls and on the logarithm of their latency, per route and
 * over all routes. The results of the old version over the same time take the
 * place of the known parameter, and their uncertainty widens the variance. */
#ifndef RK_CORE_TRIAL_H
#define RK_CORE_TRIAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_TRIAL_ROWS 96 /* routes times domains, for both versions */

/* Results of calls. All members are sums, so those of several nodes can be added
 * up. */
struct rk_trial_seen {
    double calls, failed;
    double timed;   /* calls whose time to first byte is known */
    double log_sum; /* sum of ln(observed / expected time to first byte) */
    double log_sq;  /* sum of the squares of those logarithms */
};

/* Results of calls of one route to VMs of one version in one failure domain. */
struct rk_trial_row {
    char route[RK_ID_MAX];
    char domain[RK_ID_MAX];
    bool of_new_version; /* VMs of the new version */
    struct rk_trial_seen stats;
};

/* Results of a rollout, per route, domain and version. All zero: empty. */
struct rk_trial_rows {
    struct rk_trial_row rows[RK_TRIAL_ROWS];
    size_t len;
};

/* Returns the row, added if it is new, or NULL if the table is full. */
struct rk_trial_row *rk_trial_row_at(struct rk_trial_rows *t, const char *route,
                                     const char *domain, bool of_new_version);
/* Counts a call, with its observed and its expected time to first byte. */
void rk_trial_note_time(struct rk_trial_seen *s, double seen_ms,
                        double expected_ms);
/* Counts a failed call. timed: it failed after its first byte, so
 * rk_trial_note_time() has counted it already. */
void rk_trial_note_failure(struct rk_trial_seen *s, bool timed);
/* Adds more to sum. */
void rk_trial_add(struct rk_trial_seen *sum, const struct rk_trial_seen *more);
/* Returns the sum of one version's rows of a route ("": all routes), leaving out
 * one domain ("": none). */
struct rk_trial_seen rk_trial_sum(const struct rk_trial_rows *t, const char *route,
                                  bool of_new_version, const char *without);
/* Returns the geometric mean of observed / expected time in percent; 0 if no time
 * is known. */
int64_t rk_trial_pace_pct(const struct rk_trial_seen *s);
/* Returns whether the values are possible. A peer may send anything. */
bool rk_trial_is_sound(const struct rk_trial_seen *s);

/* Outcome so far. RK_TRIAL_OPEN: not decided yet. */
enum rk_trial_verdict {
    RK_TRIAL_OPEN,
    RK_TRIAL_SUSPECT, /* bad in one domain only; other domains have to confirm it */
    RK_TRIAL_GOOD,
    RK_TRIAL_BAD,
};

/* The strongest evidence against the new version, for the log. */
struct rk_trial_finding {
    enum rk_trial_verdict verdict;
    double evidence;       /* ln of the likelihood ratio of bad to good */
    char route[RK_ID_MAX]; /* "": all routes */
    bool by_time;          /* evidence from latency; false: from failures */
    struct rk_trial_seen new_stats, old_stats; /* results on that route */
};

/* Judges the new version. domains: number of failure domains with VMs of the new
 * version. */
struct rk_trial_finding rk_trial_judge(const struct rk_trial_rows *rows,
                                       size_t domains);

#endif
