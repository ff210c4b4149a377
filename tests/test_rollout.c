/* Roll-outs without a network: versions that are good, and bad in every way that is
 * known of, tried before simple vms by the course as it stands and by two others.
 *
 * The pattern: an operator gives a new version 12 s, on a service with 3 vms and
 * 113 calls a second, and on one with 60 vms and 270. Bad versions fail a part of
 * their calls or take several times as long, at once or later, at full load only,
 * or on one route only. A bad one may get a tenth of the calls and 50 more, and
 * nothing 5 s after its 50th bad answer. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/rollout.h"

#define STEP_MS     50
#define LAG_MS      500 /* until the holder knows what calls showed */
#define LAG_STEPS   (LAG_MS / STEP_MS)
#define RULE_MS     300 /* until all nodes know a rule */
#define RULE_STEPS  (RULE_MS / STEP_MS)
#define DURATION_MS 12000
#define STEPS       (DURATION_MS / STEP_MS)
#define ROUTES      5
#define DOMAINS     3

struct bad {
    const char *name;
    double failed, slower;
    int route;       /* only there; -1: all */
    int64_t from_ms; /* only later */
    double load;     /* only at vms that get as much of an old one's load */
    int grey_domain; /* vms of both versions fail there; -1: none */
};

struct service {
    double per_s;
    int vms;                /* of each version */
    double shares[ROUTES];  /* of its calls */
    double failing[ROUTES]; /* whatever the version */
    double spread;          /* of the logarithm of times */
};

static const struct service slots = {.per_s = 113,
                                     .vms = 3,
                                     .shares = {0.81, 0.19},
                                     .failing = {0.004, 0.14},
                                     .spread = 0.6};
static const struct service engines = {.per_s = 270,
                                       .vms = 60,
                                       .shares = {0.21, 0.5, 0.29},
                                       .failing = {0.01, 0.01, 0.01},
                                       .spread = 0.7};

static const struct bad good = {"good", 0, 1, -1, 0, 0, -1};

/* How a course ends, and what it cost. */
struct outcome {
    bool taken, given_back;
    int64_t ended_ms;
    double all, tried, bad_answers;
    double after_50th; /* calls tried later than 5 s after the 50th bad answer */
};

struct world {
    const struct service *service;
    const struct bad *bad;
    struct rk_rng rng;
    struct rk_trial_rows rows[LAG_STEPS + 1]; /* as the holder will know them */
    struct rk_trial_rows seen;
    uint32_t shares[RULE_STEPS + 1], vms[RULE_STEPS + 1];
    int64_t fiftieth_ms;
    struct outcome out;
};

static double uniform(struct world *w)
{
    return (rk_rng_below(&w->rng, 1u << 24) + 0.5) / (1u << 24);
}

static double normal(struct world *w)
{
    return sqrt(-2 * log(uniform(w))) * cos(6.283185307 * uniform(w));
}

static int any_route(struct world *w)
{
    double at = uniform(w);
    for (int i = 0; i < ROUTES; i++) {
        at -= w->service->shares[i];
        if (at < 0)
            return i;
    }
    return 0;
}

/* Is the new version bad for this call? load: of a vm that tries it, in old ones'.
 */
static bool is_bad(const struct bad *bad, int route, double load, int64_t now_ms)
{
    return (bad->route < 0 || bad->route == route) && now_ms >= bad->from_ms &&
           load >= bad->load;
}

static void call(struct world *w, uint32_t share, uint32_t vms, int64_t now_ms)
{
    static const char *const domains[] = {"a", "b", "c"};
    char route_name[8];
    int route = any_route(w);
    bool tried = uniform(w) * RK_ROLLOUT_ALL < share;
    /* Those that try it change by turns: here, any. */
    int domain = (int)rk_rng_below(&w->rng, DOMAINS);
    double load = (double)share / RK_ROLLOUT_ALL * w->service->vms /
                  (vms ? vms : (uint32_t)w->service->vms);
    bool bad = tried && is_bad(w->bad, route, load, now_ms);
    double failing = w->service->failing[route] + (bad ? w->bad->failed : 0);
    if (domain == w->bad->grey_domain)
        failing = 0.5;
    snprintf(route_name, sizeof(route_name), "r%d", route);
    struct rk_trial_row *row =
        rk_trial_row_at(&w->seen, route_name, domains[domain], tried);
    bool fails = uniform(w) < failing;
    if (fails)
        rk_trial_note_failure(&row->seen, false);
    else
        rk_trial_note_time(&row->seen,
                           100 * exp(normal(w) * w->service->spread) *
                               (bad ? w->bad->slower : 1),
                           100);
    bool bad_answer = bad && (fails || w->bad->slower > 1);
    w->out.all++;
    w->out.tried += tried;
    w->out.bad_answers += bad_answer;
    if (w->out.bad_answers == 50 && !w->fiftieth_ms)
        w->fiftieth_ms = now_ms;
    w->out.after_50th += tried && w->fiftieth_ms && now_ms > w->fiftieth_ms + 5000;
}

/* A course decides by what is known, and says what share of the calls tries it. */
struct course {
    struct rk_rollout r;                 /* of the product */
    int step;                            /* of the fixed steps */
    double good, bad, old_good, old_bad; /* of the bandit */
};
typedef void decide_fn(struct course *c, struct world *w,
                       const struct rk_trial_rows *known, int64_t now_ms,
                       uint32_t *share, uint32_t *vms);

static void begin(struct world *w, const struct service *s, const struct bad *bad,
                  uint64_t seed)
{
    memset(w, 0, sizeof(*w));
    w->service = s;
    w->bad = bad;
    w->rng.state = seed;
}

static struct outcome play(const struct service *s, const struct bad *bad,
                           decide_fn *decide, uint64_t seed)
{
    static struct world w;
    struct course c = {0};
    begin(&w, s, bad, seed);
    for (int step = 0; step < STEPS; step++) {
        int64_t now_ms = (int64_t)step * STEP_MS;
        double calls = s->per_s * STEP_MS / 1000 + uniform(&w) - 0.5;
        uint32_t share = w.shares[(step + 1) % (RULE_STEPS + 1)];
        uint32_t vms = w.vms[(step + 1) % (RULE_STEPS + 1)];
        for (int i = 0; i < (int)(calls + 0.5); i++)
            call(&w, share, vms, now_ms);
        const struct rk_trial_rows *known = &w.rows[(step + 1) % (LAG_STEPS + 1)];
        uint32_t *new_share = &w.shares[step % (RULE_STEPS + 1)];
        uint32_t *new_vms = &w.vms[step % (RULE_STEPS + 1)];
        decide(&c, &w, known, now_ms, new_share, new_vms);
        w.rows[step % (LAG_STEPS + 1)] = w.seen;
        bool over = w.out.taken || w.out.given_back;
        if (over && !w.out.ended_ms)
            w.out.ended_ms = now_ms;
    }
    return w.out;
}

/* ---- the course as it stands ---- */

static void sequential(struct course *c, struct world *w,
                       const struct rk_trial_rows *known, int64_t now_ms,
                       uint32_t *share, uint32_t *vms)
{
    const struct rk_rollout_order order = {
        .service = "s", .version = "v2", .duration_ms = DURATION_MS};
    const struct rk_rollout_bounds bounds = {0.1, 50, 5000};
    if (!now_ms)
        rk_rollout_begin(&c->r, &order, &bounds, now_ms, 0);
    const struct rk_rollout_view view = {
        .now_ms = now_ms,
        .old_vms = (size_t)w->service->vms,
        .new_vms = now_ms >= 1000 ? (size_t)w->service->vms : 0,
        .new_domains = DOMAINS,
        .old_running = now_ms - c->r.phase_ms < 1000,
        .seen = known};
    rk_rollout_step(&c->r, &view);
    *share = c->r.rule.share;
    *vms = c->r.rule.vms;
    w->out.taken = c->r.rule.phase == RK_ROLLOUT_TAKEN;
    w->out.given_back = c->r.rule.phase == RK_ROLLOUT_GIVEN_BACK;
}

/* ---- fixed steps: 1, 5, 10, 25, 100 in 100, a test at each ---- */

static void totals(const struct rk_trial_rows *t, bool tried,
                   struct rk_trial_seen *sum)
{
    *sum = (struct rk_trial_seen){0};
    for (size_t i = 0; i < t->len; i++)
        if (t->rows[i].tried == tried)
            rk_trial_add(sum, &t->rows[i].seen);
}

static void fixed_steps(struct course *c, struct world *w,
                        const struct rk_trial_rows *known, int64_t now_ms,
                        uint32_t *share, uint32_t *vms)
{
    static const uint32_t steps[] = {100, 500, 1000, 2500, RK_ROLLOUT_ALL};
    struct rk_trial_seen new, old;
    totals(known, true, &new);
    totals(known, false, &old);
    *vms = 0;
    if (now_ms >= (c->step + 1) * DURATION_MS / 6 && !w->out.given_back) {
        double more =
            new.failed / fmax(1, new.calls) - old.failed / fmax(1, old.calls);
        double slower =
            new.log_sum / fmax(1, new.timed) - old.log_sum / fmax(1, old.timed);
        w->out.given_back = new.calls >= 5 && (more > 0.05 || slower > log(2));
        if (!w->out.given_back && c->step < 4)
            c->step++;
        else if (!w->out.given_back)
            w->out.taken = true;
    }
    *share = w->out.given_back ? 0 : steps[c->step];
}

/* ---- a bandit: Thompson's sampling of the share that is well ---- */

static double sample(struct world *w, double well, double bad)
{
    double n = well + bad + 2, mean = (well + 1) / n;
    return mean + normal(w) * sqrt(mean * (1 - mean) / n);
}

static void bandit(struct course *c, struct world *w,
                   const struct rk_trial_rows *known, int64_t now_ms,
                   uint32_t *share, uint32_t *vms)
{
    struct rk_trial_seen new, old;
    int wins = 0;
    (void)c;
    totals(known, true, &new);
    totals(known, false, &old);
    for (int i = 0; i < 100; i++)
        wins += sample(w, new.calls - new.failed, new.failed) >=
                sample(w, old.calls - old.failed, old.failed);
    *vms = 0;
    if (now_ms >= DURATION_MS * 6 / 10 && !w->out.given_back && !w->out.taken) {
        w->out.given_back = wins < 10;
        w->out.taken = !w->out.given_back;
    }
    *share = w->out.given_back ? 0
             : w->out.taken    ? RK_ROLLOUT_ALL
                               : (uint32_t)(wins * 50);
}

/* ---- the figures ---- */

static const struct bad bads[] = {
    {"2 in 100 fail", 0.02, 1, -1, 0, 0, -1},
    {"10 in 100 fail", 0.10, 1, -1, 0, 0, -1},
    {"50 in 100 fail", 0.50, 1, -1, 0, 0, -1},
    {"1.5 times as slow", 0, 1.5, -1, 0, 0, -1},
    {"3 times as slow", 0, 3, -1, 0, 0, -1},
    {"8 times as slow", 0, 8, -1, 0, 0, -1},
    {"half fail on one route", 0.5, 1, 0, 0, 0, -1},
    {"half fail after 4 s", 0.5, 1, -1, 4000, 0, -1},
    {"8 times as slow under load", 0, 8, -1, 0, 0.5, -1},
    {"half fail under load", 0.5, 1, -1, 0, 0.5, -1},
    {"half fail, a domain fails too", 0.5, 1, -1, 0, 0, 1},
};

struct figures {
    double given_back, taken, ended_s, share, bad_answers, over;
};

static struct figures measure(const struct service *s, const struct bad *bad,
                              decide_fn *decide, int runs)
{
    struct figures f = {0};
    for (int i = 0; i < runs; i++) {
        struct outcome o = play(s, bad, decide, 1000 + (uint64_t)i);
        f.given_back += o.given_back;
        f.taken += o.taken;
        f.ended_s += (double)o.ended_ms / 1000;
        f.share += o.tried / o.all;
        f.bad_answers += o.bad_answers;
        f.over += o.tried > 0.1 * o.all + 50 || o.after_50th > 0;
    }
    f.given_back /= runs, f.taken /= runs, f.ended_s /= runs;
    f.share /= runs, f.bad_answers /= runs, f.over /= runs;
    return f;
}

static void print_figures(const char *course, const struct service *s,
                          const struct bad *bad, const struct figures *f)
{
    print_message("| %s | %s | %s | %.3f | %.1f | %.3f | %.0f | %.3f |\n", course,
                  s == &slots ? "3 vms" : "60 vms", bad->name, f->given_back,
                  f->ended_s, f->share, f->bad_answers, f->over);
}

static const struct service *const services[] = {&slots, &engines};

/* Set to have the other ways played, too: their figures are for a page. */
#define COMPARE "RILLKNOT_COMPARE"

static void the_ways_compared(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        decide_fn *decide;
    } ways[] = {{"sequential", sequential},
                {"fixed steps", fixed_steps},
                {"bandit", bandit}};
    if (!getenv(COMPARE))
        return;
    for (size_t k = 0; k < RK_ARRAY_LEN(ways); k++)
        for (size_t j = 0; j < RK_ARRAY_LEN(services); j++) {
            struct figures f = measure(services[j], &good, ways[k].decide, 10000);
            print_figures(ways[k].name, services[j], &good, &f);
            for (size_t i = 0; i < RK_ARRAY_LEN(bads); i++) {
                f = measure(services[j], &bads[i], ways[k].decide, 200);
                print_figures(ways[k].name, services[j], &bads[i], &f);
            }
        }
}

#define RUNS 30 /* of each version */

/* What is several times as bad is found within what it may get. A tenth more
 * failures, or half as slow again, can't be found by so few calls; two in a hundred
 * even less. */
static void a_bad_version_is_given_back_within_its_bounds(void **state)
{
    (void)state;
    for (size_t j = 0; j < RK_ARRAY_LEN(services); j++)
        for (size_t i = 0; i < RK_ARRAY_LEN(bads); i++) {
            bool far_worse = bads[i].failed >= 0.5 || bads[i].slower >= 3;
            struct figures f = measure(services[j], &bads[i], sequential, RUNS);
            if (!far_worse)
                continue;
            if (f.given_back < 0.9 || f.over > 0.05)
                print_figures("sequential", services[j], &bads[i], &f);
            assert_true(f.given_back >= 0.9);
            assert_true(f.over <= 0.05);
        }
}

static void a_good_version_is_taken_in_its_time(void **state)
{
    (void)state;
    for (size_t j = 0; j < RK_ARRAY_LEN(services); j++) {
        struct figures f = measure(services[j], &good, sequential, 300);
        assert_true(f.taken >= 0.97);
        assert_true(f.ended_s < 0.9 * DURATION_MS / 1000);
    }
}

/* Vms of both versions fail in one domain: the new one isn't blamed for it. */
static void a_dark_domain_is_not_blamed_on_the_version(void **state)
{
    (void)state;
    static const struct bad dark = {"good, a domain fails", 0, 1, -1, 0, 0, 1};
    for (size_t j = 0; j < RK_ARRAY_LEN(services); j++)
        assert_true(measure(services[j], &dark, sequential, RUNS).taken >= 0.9);
}

/* The only domain that has the new version is enough to find it bad. */
static void a_version_in_one_domain_is_judged_there(void **state)
{
    (void)state;
    static struct rk_trial_rows rows;
    rows.len = 0;
    struct rk_trial_row *old = rk_trial_row_at(&rows, "r", "a", false);
    struct rk_trial_row *new = rk_trial_row_at(&rows, "r", "a", true);
    for (int i = 0; i < 100; i++)
        rk_trial_note_time(&old->seen, 50, 50);
    for (int i = 0; i < 12; i++)
        rk_trial_note_failure(&new->seen, false);
    assert_int_equal(rk_trial_judge(&rows, 1).verdict, RK_TRIAL_BAD);
    assert_int_equal(rk_trial_judge(&rows, 2).verdict, RK_TRIAL_SUSPECT);
}

/* When a good version is taken that so few calls try that it is never found good,
 * and whose old vms never stop to run something. */
static int64_t taken_after_ms(int64_t duration_ms)
{
    const struct rk_rollout_order order = {
        .service = "s", .version = "v2", .duration_ms = duration_ms};
    const struct rk_rollout_bounds bounds = {0.1, 50, 5000};
    static struct rk_trial_rows rows;
    struct rk_rollout r = {0};
    rows.len = 0;
    struct rk_trial_row *old = rk_trial_row_at(&rows, "r", "a", false);
    struct rk_trial_row *new = rk_trial_row_at(&rows, "r", "a", true);
    for (int i = 0; i < 20; i++)
        rk_trial_note_time(&old->seen, 50, 50);
    for (int i = 0; i < 11; i++)
        rk_trial_note_time(&new->seen, 50, 50);
    rk_rollout_begin(&r, &order, &bounds, 0, 0);
    for (int64_t now_ms = 0; now_ms < 2 * duration_ms; now_ms += STEP_MS) {
        const struct rk_rollout_view view = {.now_ms = now_ms,
                                             .old_vms = 3,
                                             .new_vms = 3,
                                             .new_domains = DOMAINS,
                                             .old_running = 1,
                                             .seen = &rows};
        rk_rollout_step(&r, &view);
        assert_int_not_equal(r.rule.phase, RK_ROLLOUT_GIVEN_BACK);
        if (r.rule.phase == RK_ROLLOUT_TAKEN)
            return now_ms;
    }
    return 2 * duration_ms;
}

/* Seen: of 96 roll-outs of 9 s, 3 were recorded as completed up to 0.3 s too late,
 * by nodes on a machine with twice the work that it could do.
 *
 * How it came about: the calls had shown too little for a verdict, so the trial
 * took its part of the time, 5.85 s; then a vm was tried at full load for 1 s and
 * the old vms had 1.5 s to end what they ran. That left 0.65 s for the holder's
 * calls to the store, which took 0.9 s. Cause: the trial's end was a part of the
 * time, and what comes after it isn't. Proof: here 9 s end at 8.4 s, and 8 s at 7.7
 * s. */
static void a_short_time_leaves_some_for_the_store(void **state)
{
    (void)state;
    for (int64_t duration_ms = 7000; duration_ms <= 20000; duration_ms += 500)
        assert_true(taken_after_ms(duration_ms) <=
                    duration_ms - 1000 + 2 * STEP_MS);
    assert_true(taken_after_ms(6000) <= 6000 - 500 + 2 * STEP_MS);
}

/* Seen: a version ordered for no time at all was taken, one of eight times. Cause:
 * the holder decided in the very millisecond in which the order began, when none of
 * its time had passed but the trial's end was reached. */
static void no_time_at_all_is_over_at_once(void **state)
{
    (void)state;
    struct rk_trial_rows seen = {0};
    const struct rk_rollout_order order = {.service = "s", .version = "v2"};
    const struct rk_rollout_bounds bounds = {.share = 0.1, .slack = 50};
    const struct rk_rollout_view view = {
        .old_vms = 3, .new_vms = 3, .new_domains = 3, .seen = &seen};
    struct rk_rollout r = {0};
    rk_rollout_begin(&r, &order, &bounds, 0, 0);
    rk_rollout_step(&r, &view);
    assert_int_equal(r.rule.phase, RK_ROLLOUT_GIVEN_BACK);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_ways_compared),
        cmocka_unit_test(a_bad_version_is_given_back_within_its_bounds),
        cmocka_unit_test(a_good_version_is_taken_in_its_time),
        cmocka_unit_test(a_dark_domain_is_not_blamed_on_the_version),
        cmocka_unit_test(a_version_in_one_domain_is_judged_there),
        cmocka_unit_test(a_short_time_leaves_some_for_the_store),
        cmocka_unit_test(no_time_at_all_is_over_at_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
