#include "core/trial.h"

#include <math.h>
#include <string.h>

/* Failures of a bad version come on top of those of the old one. In between, which
 * is right to be said doesn't matter much. */
#define FAILED_MORE 0.1
#define FAILED_MAX  0.95
#define FAILED_MIN                                                                 \
    0.004 /* of calls to any version: a cut connection now and then */

/* A bad version is so many times slower; under the root of it, it counts as good.
 */
#define SLOWER   2.5
#define TIME_CUT 2.5 /* of a logarithm: 12 times as slow or as fast */
#define TIME_VAR                                                                   \
    0.25 /* least variance of the logarithms, whatever few calls show */
#define CALLS_MAX 1e9 /* what is told above it is no count of calls */

/* One good version in 100,000 may be taken for bad, one bad one in a hundred for
 * good while the trial lasts, which goes on to its end anyway. Bad is tested for
 * each route, failures and times. */
#define BAD_AT  14.0 /* ln(100,000 x 12 tests) */
#define GOOD_AT 4.6  /* ln(100) */

/* One vm or one domain may be in trouble by itself: without the worst domain, the
 * others must speak against the version, too, and have been tried. */
#define REST_SHARE 0.3
#define REST_CALLS 5
/* So many failures are enough wherever they were seen. */
#define FAILED_ENOUGH 25

struct rk_trial_row *rk_trial_row_at(struct rk_trial_rows *t, const char *route,
                                     const char *domain, bool tried)
{
    for (size_t i = 0; i < t->len; i++) {
        struct rk_trial_row *row = &t->rows[i];
        if (row->tried == tried && !strcmp(row->route, route) &&
            !strcmp(row->domain, domain))
            return row;
    }
    if (t->len == RK_TRIAL_ROWS)
        return NULL;
    struct rk_trial_row *row = &t->rows[t->len++];
    *row = (struct rk_trial_row){.tried = tried};
    rk_strcpy(row->route, sizeof(row->route), route);
    rk_strcpy(row->domain, sizeof(row->domain), domain);
    return row;
}

void rk_trial_note_time(struct rk_trial_seen *s, double seen_ms, double expected_ms)
{
    double x = log(fmax(seen_ms, 1) / fmax(expected_ms, 1));
    x = fmax(-TIME_CUT, fmin(TIME_CUT, x));
    s->calls++;
    s->timed++;
    s->log_sum += x;
    s->log_sq += x * x;
}

void rk_trial_note_failure(struct rk_trial_seen *s, bool timed)
{
    s->calls += !timed;
    s->failed++;
}

void rk_trial_add(struct rk_trial_seen *sum, const struct rk_trial_seen *more)
{
    sum->calls += more->calls;
    sum->failed += more->failed;
    sum->timed += more->timed;
    sum->log_sum += more->log_sum;
    sum->log_sq += more->log_sq;
}

int64_t rk_trial_pace_pct(const struct rk_trial_seen *s)
{
    return s->timed > 0 ? (int64_t)(exp(s->log_sum / s->timed) * 100) : 0;
}

bool rk_trial_is_sound(const struct rk_trial_seen *s)
{
    return s->calls >= 0 && s->calls <= CALLS_MAX && s->failed >= 0 &&
           s->failed <= s->calls && s->timed >= 0 && s->timed <= s->calls &&
           fabs(s->log_sum) <= s->timed * TIME_CUT + 1 && s->log_sq >= 0 &&
           s->log_sq <= s->timed * TIME_CUT * TIME_CUT + 1;
}

/* ---- evidence ---- */

static double by_failures(const struct rk_trial_seen *tried,
                          const struct rk_trial_seen *serving)
{
    double p0 = (serving->failed + 0.5) / (serving->calls + 1);
    p0 = fmax(FAILED_MIN, fmin(p0, FAILED_MAX - FAILED_MORE));
    double p1 = p0 + FAILED_MORE;
    double well = tried->calls - tried->failed;
    return tried->failed * log(p1 / p0) + well * log((1 - p1) / (1 - p0));
}

static double variance(const struct rk_trial_seen *s)
{
    if (s->timed < 2)
        return TIME_VAR;
    double mean = s->log_sum / s->timed;
    return fmax(TIME_VAR, s->log_sq / s->timed - mean * mean);
}

static double by_time(const struct rk_trial_seen *tried,
                      const struct rk_trial_seen *serving)
{
    if (tried->timed < 1 || serving->timed < 1)
        return 0;
    double more = tried->log_sum / tried->timed - serving->log_sum / serving->timed;
    double calls = tried->timed * serving->timed / (tried->timed + serving->timed);
    double slower = log(SLOWER);
    double spread = fmax(variance(tried), variance(serving));
    return calls * slower / spread * (more - slower / 2);
}

struct rk_trial_seen rk_trial_sum(const struct rk_trial_rows *t, const char *route,
                                  bool tried, const char *without)
{
    struct rk_trial_seen sum = {0};
    for (size_t i = 0; i < t->len; i++) {
        const struct rk_trial_row *row = &t->rows[i];
        bool wanted = row->tried == tried &&
                      (!route[0] || !strcmp(row->route, route)) &&
                      (!without[0] || strcmp(row->domain, without) != 0);
        if (wanted)
            rk_trial_add(&sum, &row->seen);
    }
    return sum;
}

static double evidence(const struct rk_trial_rows *t, const char *route,
                       bool is_time, const char *without)
{
    struct rk_trial_seen tried = rk_trial_sum(t, route, true, without);
    struct rk_trial_seen serving = rk_trial_sum(t, route, false, without);
    /* A route that the old version doesn't get is measured against all. */
    if (!serving.calls)
        serving = rk_trial_sum(t, "", false, without);
    return is_time ? by_time(&tried, &serving) : by_failures(&tried, &serving);
}

static void consider(const struct rk_trial_rows *t, const char *route, bool is_time,
                     struct rk_trial_finding *worst)
{
    double found = evidence(t, route, is_time, "");
    if (found <= worst->evidence)
        return;
    worst->evidence = found;
    worst->by_time = is_time;
    rk_strcpy(worst->route, sizeof(worst->route), route);
    worst->tried = rk_trial_sum(t, route, true, "");
    worst->serving = rk_trial_sum(t, route, false, "");
}

/* Do the vms of each domain but the worst speak against it? */
static bool is_general(const struct rk_trial_rows *t,
                       const struct rk_trial_finding *worst)
{
    if (worst->tried.failed >= FAILED_ENOUGH)
        return true;
    for (size_t i = 0; i < t->len; i++) {
        const char *domain = t->rows[i].domain;
        struct rk_trial_seen rest = rk_trial_sum(t, worst->route, true, domain);
        if (!t->rows[i].tried)
            continue;
        if (rest.calls < REST_CALLS ||
            evidence(t, worst->route, worst->by_time, domain) < BAD_AT * REST_SHARE)
            return false;
    }
    return true;
}

static bool is_good(const struct rk_trial_rows *t)
{
    return evidence(t, "", false, "") <= -GOOD_AT &&
           evidence(t, "", true, "") <= -GOOD_AT;
}

struct rk_trial_finding rk_trial_judge(const struct rk_trial_rows *t,
                                       size_t domains)
{
    struct rk_trial_finding worst = {.evidence = -INFINITY};
    for (int is_time = 0; is_time < 2; is_time++) {
        consider(t, "", is_time, &worst);
        for (size_t i = 0; i < t->len; i++)
            if (t->rows[i].tried)
                consider(t, t->rows[i].route, is_time, &worst);
    }
    if (worst.evidence >= BAD_AT)
        worst.verdict =
            domains < 2 || is_general(t, &worst) ? RK_TRIAL_BAD : RK_TRIAL_SUSPECT;
    else if (is_good(t))
        worst.verdict = RK_TRIAL_GOOD;
    return worst;
}
