#include "core/canary.h"

#include <math.h>
#include <string.h>

/* A bad version fails this share of its calls in addition to the old version's
 * share. For shares in between, either verdict is acceptable. */
#define FAILED_SHARE_RISE 0.1
#define FAILED_SHARE_MAX  0.95
/* Assumed minimum failure share of any version, as connections are cut now and
 * then. */
#define FAILED_SHARE_MIN 0.004

/* A bad version is slower by this factor; below its square root a version counts as
 * good. */
#define SLOWDOWN 2.5
/* After the cutover, the times of the old version are of the past. Calls may take
 * longer by this factor at any version since, as load has risen or a dependency is
 * slow. */
#define DRIFT         1.6
#define LOG_RATIO_MAX 2.5 /* clip of the logarithm: a factor of 12 either way */
/* Minimum variance of the logarithms, as a few calls may show hardly any. */
#define LOG_VARIANCE_MIN 0.25
#define CALLS_MAX        1e9 /* larger reported counts are invalid */

/* Thresholds on the logarithm of the likelihood ratio. One good version in 100,000
 * may be judged bad; that threshold allows for 12 tests, as each route is tested
 * for failures and for latency. One bad version in a hundred may be judged good
 * during the canary phase, which lasts its minimum time in any case. */
#define BAD_THRESHOLD  14.0 /* ln(100,000 x 12 tests) */
#define GOOD_THRESHOLD 4.6  /* ln(100) */

/* A single VM or domain may have problems of its own. Without any one domain, the
 * others must still have this share of the evidence that is required, from at least
 * this many calls. */
#define OTHERS_EVIDENCE_SHARE 0.3
#define OTHERS_CALLS_MIN      5
/* This many failures are conclusive wherever they occurred. */
#define FAILURES_CONCLUSIVE 25

struct rk_canary_row *rk_canary_get_row(struct rk_canary_rows *t, const char *route,
                                        const char *domain, bool of_new_version)
{
    for (size_t i = 0; i < t->len; i++) {
        struct rk_canary_row *row = &t->rows[i];
        if (row->of_new_version == of_new_version && !strcmp(row->route, route) &&
            !strcmp(row->domain, domain))
            return row;
    }
    if (t->len == RK_CANARY_ROWS)
        return NULL;
    struct rk_canary_row *row = &t->rows[t->len++];
    *row = (struct rk_canary_row){.of_new_version = of_new_version};
    rk_strcpy(row->route, sizeof(row->route), route);
    rk_strcpy(row->domain, sizeof(row->domain), domain);
    return row;
}

void rk_canary_add_time(struct rk_canary_stats *s, double observed_ms,
                        double expected_ms)
{
    double log_ratio = log(fmax(observed_ms, 1) / fmax(expected_ms, 1));
    log_ratio = fmax(-LOG_RATIO_MAX, fmin(LOG_RATIO_MAX, log_ratio));
    s->calls++;
    s->timed++;
    s->log_sum += log_ratio;
    s->log_sq += log_ratio * log_ratio;
}

void rk_canary_add_failure(struct rk_canary_stats *s, bool timed)
{
    s->calls += !timed;
    s->failed++;
}

void rk_canary_merge(struct rk_canary_stats *sum,
                     const struct rk_canary_stats *more)
{
    sum->calls += more->calls;
    sum->failed += more->failed;
    sum->timed += more->timed;
    sum->log_sum += more->log_sum;
    sum->log_sq += more->log_sq;
}

int64_t rk_canary_latency_pct(const struct rk_canary_stats *s)
{
    return s->timed > 0 ? (int64_t)(exp(s->log_sum / s->timed) * 100) : 0;
}

bool rk_canary_is_valid(const struct rk_canary_stats *s)
{
    return s->calls >= 0 && s->calls <= CALLS_MAX && s->failed >= 0 &&
           s->failed <= s->calls && s->timed >= 0 && s->timed <= s->calls &&
           fabs(s->log_sum) <= s->timed * LOG_RATIO_MAX + 1 && s->log_sq >= 0 &&
           s->log_sq <= s->timed * LOG_RATIO_MAX * LOG_RATIO_MAX + 1;
}

/* ---- evidence ---- */

static double failure_evidence(const struct rk_canary_stats *new_stats,
                               const struct rk_canary_stats *old_stats)
{
    double p0 = (old_stats->failed + 0.5) / (old_stats->calls + 1);
    p0 = fmax(FAILED_SHARE_MIN, fmin(p0, FAILED_SHARE_MAX - FAILED_SHARE_RISE));
    double p1 = p0 + FAILED_SHARE_RISE;
    double succeeded = new_stats->calls - new_stats->failed;
    return new_stats->failed * log(p1 / p0) + succeeded * log((1 - p1) / (1 - p0));
}

static double variance(const struct rk_canary_stats *s)
{
    if (s->timed < 2)
        return LOG_VARIANCE_MIN;
    double mean = s->log_sum / s->timed;
    return fmax(LOG_VARIANCE_MIN, s->log_sq / s->timed - mean * mean);
}

/* drift: the factor by which all calls may take longer since the old version's. */
static double time_evidence(const struct rk_canary_stats *new_stats,
                            const struct rk_canary_stats *old_stats, double drift)
{
    if (new_stats->timed < 1 || old_stats->timed < 1)
        return 0;
    double log_difference = new_stats->log_sum / new_stats->timed -
                            old_stats->log_sum / old_stats->timed;
    double sample_size =
        new_stats->timed * old_stats->timed / (new_stats->timed + old_stats->timed);
    double log_slowdown = log(SLOWDOWN);
    double max_variance = fmax(variance(new_stats), variance(old_stats));
    return sample_size * log_slowdown / max_variance *
           (log_difference - log(drift) - log_slowdown / 2);
}

struct rk_canary_stats rk_canary_sum(const struct rk_canary_rows *t,
                                     const char *route, bool of_new_version,
                                     const char *without)
{
    struct rk_canary_stats sum = {0};
    for (size_t i = 0; i < t->len; i++) {
        const struct rk_canary_row *row = &t->rows[i];
        bool matches = row->of_new_version == of_new_version &&
                       (!route[0] || !strcmp(row->route, route)) &&
                       (!without[0] || strcmp(row->domain, without) != 0);
        if (matches)
            rk_canary_merge(&sum, &row->stats);
    }
    return sum;
}

/* What is judged; see rk_canary_judge(). */
struct results {
    const struct rk_canary_rows *rows, *at_cutover;
};

static void subtract_times(struct rk_canary_stats *s,
                           const struct rk_canary_stats *less)
{
    s->timed -= less->timed;
    s->log_sum -= less->log_sum;
    s->log_sq -= less->log_sq;
}

static double evidence(const struct results *t, const char *route, bool is_time,
                       const char *without)
{
    struct rk_canary_stats new_stats = rk_canary_sum(t->rows, route, true, without);
    struct rk_canary_stats old_stats =
        rk_canary_sum(t->rows, route, false, without);
    /* If the old version got no calls of the route, its results over all routes are
     * used. */
    if (!old_stats.calls)
        old_stats = rk_canary_sum(t->rows, "", false, without);
    if (!is_time)
        return failure_evidence(&new_stats, &old_stats);
    if (!t->at_cutover)
        return time_evidence(&new_stats, &old_stats, 1);
    struct rk_canary_stats before =
        rk_canary_sum(t->at_cutover, route, true, without);
    subtract_times(&new_stats, &before);
    return time_evidence(&new_stats, &old_stats, DRIFT);
}

static void update_worst(const struct results *t, const char *route, bool is_time,
                         struct rk_canary_finding *worst)
{
    double value = evidence(t, route, is_time, "");
    if (value <= worst->evidence)
        return;
    worst->evidence = value;
    worst->by_time = is_time;
    rk_strcpy(worst->route, sizeof(worst->route), route);
    worst->new_stats = rk_canary_sum(t->rows, route, true, "");
    worst->old_stats = rk_canary_sum(t->rows, route, false, "");
}

/* Returns whether the evidence holds without any single domain, or the failures are
 * conclusive by their number. */
static bool confirmed_elsewhere(const struct results *t,
                                const struct rk_canary_finding *worst)
{
    if (worst->new_stats.failed >= FAILURES_CONCLUSIVE)
        return true;
    for (size_t i = 0; i < t->rows->len; i++) {
        const char *domain = t->rows->rows[i].domain;
        struct rk_canary_stats others =
            rk_canary_sum(t->rows, worst->route, true, domain);
        if (!t->rows->rows[i].of_new_version)
            continue;
        if (others.calls < OTHERS_CALLS_MIN ||
            evidence(t, worst->route, worst->by_time, domain) <
                BAD_THRESHOLD * OTHERS_EVIDENCE_SHARE)
            return false;
    }
    return true;
}

static bool is_good(const struct results *t)
{
    return evidence(t, "", false, "") <= -GOOD_THRESHOLD &&
           evidence(t, "", true, "") <= -GOOD_THRESHOLD;
}

struct rk_canary_finding rk_canary_judge(const struct rk_canary_rows *rows,
                                         const struct rk_canary_rows *at_cutover,
                                         size_t domains)
{
    const struct results t = {.rows = rows, .at_cutover = at_cutover};
    struct rk_canary_finding worst = {.evidence = -INFINITY};
    for (int is_time = 0; is_time < 2; is_time++) {
        update_worst(&t, "", is_time, &worst);
        for (size_t i = 0; i < rows->len; i++)
            if (rows->rows[i].of_new_version)
                update_worst(&t, rows->rows[i].route, is_time, &worst);
    }
    if (worst.evidence >= BAD_THRESHOLD)
        worst.verdict = domains < 2 || confirmed_elsewhere(&t, &worst)
                            ? RK_CANARY_BAD
                            : RK_CANARY_SUSPECT;
    else if (is_good(&t))
        worst.verdict = RK_CANARY_GOOD;
    return worst;
}
