/* Is a new version of a service worse than the one that serves? Judged by what
 * calls to both showed at the same time, so that what any version shows (a dark
 * domain, an overload) isn't blamed on the new one. Pure.
 *
 * Method: Wald's sequential probability ratio test ("Sequential Analysis", 1947) on
 * the share of calls that fail and on the logarithm of how long they took, by route
 * and over all routes. The old version's figures of the same time take the place of
 * the known parameter; their own uncertainty widens the spread. */
#ifndef RK_CORE_TRIAL_H
#define RK_CORE_TRIAL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_TRIAL_ROWS 96 /* routes times domains, of both versions */

/* What calls of one route showed. Sums: those of several nodes add up. */
struct rk_trial_seen {
    double calls, failed;
    double timed;   /* calls whose time to the first byte is known */
    double log_sum; /* of the logarithms of seen by expected times */
    double log_sq;  /* of their squares */
};

/* The same of one version at vms of one failure domain. */
struct rk_trial_row {
    char route[RK_ID_MAX];
    char domain[RK_ID_MAX];
    bool tried; /* of the new version */
    struct rk_trial_seen seen;
};

struct rk_trial_rows {
    struct rk_trial_row rows[RK_TRIAL_ROWS];
    size_t len;
};

/* The row, made if there is room; NULL: there is none. */
struct rk_trial_row *rk_trial_row_at(struct rk_trial_rows *t, const char *route,
                                     const char *domain, bool tried);
/* A call to a vm got its first byte. */
void rk_trial_note_time(struct rk_trial_seen *s, double seen_ms,
                        double expected_ms);
/* A call failed; timed: after its first byte. */
void rk_trial_note_failure(struct rk_trial_seen *s, bool timed);
void rk_trial_add(struct rk_trial_seen *sum, const struct rk_trial_seen *more);
/* Sum of one version's rows of a route ("": of all), without a domain ("": with
 * all). */
struct rk_trial_seen rk_trial_sum(const struct rk_trial_rows *t, const char *route,
                                  bool tried, const char *without);
/* Mean of seen by expected times, in hundredths; 0: none is known. */
int64_t rk_trial_pace_pct(const struct rk_trial_seen *s);
/* Can it be one? A peer may tell anything. */
bool rk_trial_is_sound(const struct rk_trial_seen *s);

enum rk_trial_verdict {
    RK_TRIAL_OPEN,
    RK_TRIAL_SUSPECT, /* bad at vms of one domain: it has to be seen at others */
    RK_TRIAL_GOOD,
    RK_TRIAL_BAD,
};

/* What speaks against the new version most, for the log. */
struct rk_trial_finding {
    enum rk_trial_verdict verdict;
    double evidence;       /* logarithm of the likelihood ratio of bad to good */
    char route[RK_ID_MAX]; /* "": all */
    bool by_time;          /* else by failures */
    struct rk_trial_seen tried, serving; /* of that route */
};

/* domains: that have vms of the new version. */
struct rk_trial_finding rk_trial_judge(const struct rk_trial_rows *rows,
                                       size_t domains);

#endif
