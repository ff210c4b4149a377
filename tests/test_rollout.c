/* Tests of rollouts against simulated VMs: the strategy in use, and two others to
 * compare it with, run on good versions and on versions with each known kind of
 * fault.
 *
 * An operator gives a new version 12 s, on a service with 3 VMs and 113 calls a
 * second, and on one with 60 VMs and 270. A bad version fails a share of its calls
 * or takes several times as long, from the start or later, only at full load, or
 * only on one route. It may get a tenth of the calls and 50 more, and none later
 * than 5 s after its 50th bad answer. */
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
#define LAG_MS      500 /* until the leader has received the results of calls */
#define LAG_STEPS   (LAG_MS / STEP_MS)
#define RULE_MS     300 /* until all nodes apply a new rule */
#define RULE_STEPS  (RULE_MS / STEP_MS)
#define DURATION_MS 12000
#define STEPS       (DURATION_MS / STEP_MS)
#define ROUTES      5
#define DOMAINS     3

/* How a new version differs from the old one. */
struct new_version {
    const char *name;
    double failed;   /* share of calls that fail because of it */
    double slowdown; /* factor on the time of calls */
    /* The version is bad only on this route (-1: on all), from this time on, and at
     * VMs that get at least this multiple of an old VM's load. */
    int route;
    int64_t from_ms;
    double load;
    int failing_domain; /* VMs of both versions fail there; -1: none */
};

struct service {
    double per_s;           /* calls */
    int vms;                /* of each version */
    double shares[ROUTES];  /* of its calls, by route */
    double failing[ROUTES]; /* share of calls that fail at any version, by route */
    double spread;          /* standard deviation of the logarithm of call times */
    /* From this time on, calls at both versions take so many times as long; 0: as
     * before. */
    int64_t slower_from_ms;
    double slower;
};

static const struct service plain_service = {.per_s = 113,
                                             .vms = 3,
                                             .shares = {0.81, 0.19},
                                             .failing = {0.004, 0.14},
                                             .spread = 0.6};
static const struct service engine_service = {.per_s = 270,
                                              .vms = 60,
                                              .shares = {0.21, 0.5, 0.29},
                                              .failing = {0.01, 0.01, 0.01},
                                              .spread = 0.7};

static const struct new_version good = {"good", 0, 1, -1, 0, 0, -1};

/* How a rollout ends, and how many calls the new version got until then. */
struct outcome {
    bool committed, rolled_back;
    int64_t ended_ms;
    double calls, new_calls; /* of both versions, of the new one */
    double bad_answers;
    double after_50th; /* new_calls later than 5 s after the 50th bad answer */
};

/* A simulated service during a rollout. */
struct world {
    const struct service *service;
    const struct new_version *version;
    struct rk_rng rng;
    /* The last results, which reach the leader after LAG_MS. */
    struct rk_canary_rows rows[LAG_STEPS + 1];
    struct rk_canary_rows results; /* of all calls so far */
    /* The last rules, which reach the nodes after RULE_MS. */
    uint32_t shares[RULE_STEPS + 1], vms[RULE_STEPS + 1];
    int64_t fiftieth_ms; /* when the 50th bad answer came; 0: not yet */
    struct outcome out;
};

/* Returns a uniformly distributed number between 0 and 1, both exclusive. */
static double uniform(struct world *w)
{
    return (rk_rng_below(&w->rng, 1u << 24) + 0.5) / (1u << 24);
}

/* Returns a normally distributed number of mean 0 and deviation 1. */
static double normal(struct world *w)
{
    return sqrt(-2 * log(uniform(w))) * cos(6.283185307 * uniform(w));
}

/* Returns a random route by the service's shares. */
static int random_route(struct world *w)
{
    double at = uniform(w);
    for (int i = 0; i < ROUTES; i++) {
        at -= w->service->shares[i];
        if (at < 0)
            return i;
    }
    return 0;
}

/* Is the new version bad for a call? load: of its VM, relative to an old VM. */
static bool is_bad(const struct new_version *version, int route, double load,
                   int64_t now_ms)
{
    return (version->route < 0 || version->route == route) &&
           now_ms >= version->from_ms && load >= version->load;
}

/* Simulates a call. share: of the calls that go to the new version; vms: of the new
 * version that get them, 0: all. */
static void call(struct world *w, uint32_t share, uint32_t vms, int64_t now_ms)
{
    static const char *const domains[] = {"a", "b", "c"};
    char route_name[8];
    int route = random_route(w);
    bool is_new = uniform(w) * RK_ROLLOUT_SHARE_ALL < share;
    /* The VMs that get new calls rotate; any domain will do here. */
    int domain = (int)rk_rng_below(&w->rng, DOMAINS);
    double load = (double)share / RK_ROLLOUT_SHARE_ALL * w->service->vms /
                  (vms ? vms : (uint32_t)w->service->vms);
    bool bad = is_new && is_bad(w->version, route, load, now_ms);
    double failing = w->service->failing[route] + (bad ? w->version->failed : 0);
    if (domain == w->version->failing_domain)
        failing = 0.5;
    snprintf(route_name, sizeof(route_name), "r%d", route);
    struct rk_canary_row *row =
        rk_canary_get_row(&w->results, route_name, domains[domain], is_new);
    bool fails = uniform(w) < failing;
    bool slower = w->service->slower > 0 && now_ms >= w->service->slower_from_ms;
    if (fails)
        rk_canary_add_failure(&row->stats, false);
    else
        rk_canary_add_time(&row->stats,
                           100 * exp(normal(w) * w->service->spread) *
                               (bad ? w->version->slowdown : 1) *
                               (slower ? w->service->slower : 1),
                           100);
    bool bad_answer = bad && (fails || w->version->slowdown > 1);
    w->out.calls++;
    w->out.new_calls += is_new;
    w->out.bad_answers += bad_answer;
    if (w->out.bad_answers == 50 && !w->fiftieth_ms)
        w->fiftieth_ms = now_ms;
    w->out.after_50th += is_new && w->fiftieth_ms && now_ms > w->fiftieth_ms + 5000;
}

/* State of a strategy. */
struct strategy {
    struct rk_rollout r;                 /* of sequential() */
    int step;                            /* of fixed_steps(): index of the share */
    double good, bad, old_good, old_bad; /* of bandit() */
};
/* A strategy decides by the results that the leader has received. Sets the share of
 * the calls that go to the new version and the number of VMs that get them, 0: all,
 * and w->out when the rollout ends. */
typedef void decide_fn(struct strategy *st, struct world *w,
                       const struct rk_canary_rows *received, int64_t now_ms,
                       uint32_t *share, uint32_t *vms);

static void init_world(struct world *w, const struct service *s,
                       const struct new_version *version, uint64_t seed)
{
    memset(w, 0, sizeof(*w));
    w->service = s;
    w->version = version;
    w->rng.state = seed;
}

/* Simulates a rollout and the calls during its time. */
static struct outcome simulate(const struct service *s,
                               const struct new_version *version, decide_fn *decide,
                               uint64_t seed)
{
    static struct world w;
    struct strategy st = {0};
    init_world(&w, s, version, seed);
    for (int step = 0; step < STEPS; step++) {
        int64_t now_ms = (int64_t)step * STEP_MS;
        double calls = s->per_s * STEP_MS / 1000 + uniform(&w) - 0.5;
        uint32_t share = w.shares[(step + 1) % (RULE_STEPS + 1)];
        uint32_t vms = w.vms[(step + 1) % (RULE_STEPS + 1)];
        for (int i = 0; i < (int)(calls + 0.5); i++)
            call(&w, share, vms, now_ms);
        const struct rk_canary_rows *received =
            &w.rows[(step + 1) % (LAG_STEPS + 1)];
        uint32_t *new_share = &w.shares[step % (RULE_STEPS + 1)];
        uint32_t *new_vms = &w.vms[step % (RULE_STEPS + 1)];
        decide(&st, &w, received, now_ms, new_share, new_vms);
        w.rows[step % (LAG_STEPS + 1)] = w.results;
        bool ended = w.out.committed || w.out.rolled_back;
        if (ended && !w.out.ended_ms)
            w.out.ended_ms = now_ms;
    }
    return w.out;
}

/* ---- sequential: the strategy in use ---- */

static void sequential(struct strategy *st, struct world *w,
                       const struct rk_canary_rows *received, int64_t now_ms,
                       uint32_t *share, uint32_t *vms)
{
    const struct rk_rollout_order order = {
        .service = "s", .version = "v2", .duration_ms = DURATION_MS};
    const struct rk_rollout_bounds bounds = {0.1, 50, 5000};
    if (!now_ms)
        rk_rollout_begin(&st->r, &order, &bounds, now_ms, 0);
    const struct rk_rollout_input input = {
        .now_ms = now_ms,
        .old_vms = (size_t)w->service->vms,
        .new_vms = now_ms >= 1000 ? (size_t)w->service->vms : 0,
        .new_domains = DOMAINS,
        .old_running = now_ms - st->r.phase_ms < 1000,
        .canary_rows = received};
    rk_rollout_step(&st->r, &input);
    *share = st->r.rule.share;
    *vms = st->r.rule.vms;
    w->out.committed = st->r.rule.phase == RK_ROLLOUT_COMMITTED;
    w->out.rolled_back = st->r.rule.phase == RK_ROLLOUT_ROLLED_BACK;
}

/* ---- fixed steps: shares of 1, 5, 10, 25 and 100 in 100, a test at each ---- */

/* Adds up the results of one version over all routes and domains. */
static void sum_results(const struct rk_canary_rows *t, bool is_new,
                        struct rk_canary_stats *sum)
{
    *sum = (struct rk_canary_stats){0};
    for (size_t i = 0; i < t->len; i++)
        if (t->rows[i].of_new_version == is_new)
            rk_canary_merge(sum, &t->rows[i].stats);
}

static void fixed_steps(struct strategy *st, struct world *w,
                        const struct rk_canary_rows *received, int64_t now_ms,
                        uint32_t *share, uint32_t *vms)
{
    static const uint32_t steps[] = {100, 500, 1000, 2500, RK_ROLLOUT_SHARE_ALL};
    struct rk_canary_stats new, old;
    sum_results(received, true, &new);
    sum_results(received, false, &old);
    *vms = 0;
    if (now_ms >= (st->step + 1) * DURATION_MS / 6 && !w->out.rolled_back) {
        double more_failures =
            new.failed / fmax(1, new.calls) - old.failed / fmax(1, old.calls);
        double slowdown_log =
            new.log_sum / fmax(1, new.timed) - old.log_sum / fmax(1, old.timed);
        w->out.rolled_back =
            new.calls >= 5 && (more_failures > 0.05 || slowdown_log > log(2));
        if (!w->out.rolled_back && st->step < 4)
            st->step++;
        else if (!w->out.rolled_back)
            w->out.committed = true;
    }
    *share = w->out.rolled_back ? 0 : steps[st->step];
}

/* ---- a multi-armed bandit: Thompson sampling of the share of good answers ---- */

/* Draws a share of good answers from its distribution after so many good and failed
 * ones. */
static double sample(struct world *w, double good_calls, double failed)
{
    double n = good_calls + failed + 2, mean = (good_calls + 1) / n;
    return mean + normal(w) * sqrt(mean * (1 - mean) / n);
}

static void bandit(struct strategy *st, struct world *w,
                   const struct rk_canary_rows *received, int64_t now_ms,
                   uint32_t *share, uint32_t *vms)
{
    struct rk_canary_stats new, old;
    int wins = 0;
    (void)st;
    sum_results(received, true, &new);
    sum_results(received, false, &old);
    for (int i = 0; i < 100; i++)
        wins += sample(w, new.calls - new.failed, new.failed) >=
                sample(w, old.calls - old.failed, old.failed);
    *vms = 0;
    if (now_ms >= DURATION_MS * 6 / 10 && !w->out.rolled_back &&
        !w->out.committed) {
        w->out.rolled_back = wins < 10;
        w->out.committed = !w->out.rolled_back;
    }
    *share = w->out.rolled_back ? 0
             : w->out.committed ? RK_ROLLOUT_SHARE_ALL
                                : (uint32_t)(wins * 50);
}

/* ---- comparison and bounds ---- */

static const struct new_version bad_versions[] = {
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

/* Means over several runs. */
struct figures {
    double rolled_back, committed; /* shares of the runs */
    double ended_s;                /* when the rollout ended */
    double share;                  /* of the calls that the new version got */
    double bad_answers;
    double exceeded; /* share of the runs that exceeded a bound of calls */
};

static struct figures measure(const struct service *s,
                              const struct new_version *version, decide_fn *decide,
                              int runs)
{
    struct figures f = {0};
    for (int i = 0; i < runs; i++) {
        struct outcome o = simulate(s, version, decide, 1000 + (uint64_t)i);
        f.rolled_back += o.rolled_back;
        f.committed += o.committed;
        f.ended_s += (double)o.ended_ms / 1000;
        f.share += o.new_calls / o.calls;
        f.bad_answers += o.bad_answers;
        f.exceeded += o.new_calls > 0.1 * o.calls + 50 || o.after_50th > 0;
    }
    f.rolled_back /= runs, f.committed /= runs, f.ended_s /= runs;
    f.share /= runs, f.bad_answers /= runs, f.exceeded /= runs;
    return f;
}

static void print_figures(const char *strategy, const struct service *s,
                          const struct new_version *version,
                          const struct figures *f)
{
    print_message("| %s | %s | %s | %.3f | %.1f | %.3f | %.0f | %.3f |\n", strategy,
                  s == &plain_service ? "3 vms" : "60 vms", version->name,
                  f->rolled_back, f->ended_s, f->share, f->bad_answers,
                  f->exceeded);
}

static const struct service *const services[] = {&plain_service, &engine_service};

/* If this environment variable is set, the strategies are compared and the results
 * printed as rows of a table. */
#define COMPARE_ENV "RILLKNOT_COMPARE"

/* Compares the strategy in use with the two others. Checks nothing. */
static void compare_strategies(void **state)
{
    (void)state;
    static const struct {
        const char *name;
        decide_fn *decide;
    } strategies[] = {{"sequential", sequential},
                      {"fixed steps", fixed_steps},
                      {"bandit", bandit}};
    if (!getenv(COMPARE_ENV))
        return;
    for (size_t k = 0; k < RK_ARRAY_LEN(strategies); k++)
        for (size_t j = 0; j < RK_ARRAY_LEN(services); j++) {
            struct figures f =
                measure(services[j], &good, strategies[k].decide, 10000);
            print_figures(strategies[k].name, services[j], &good, &f);
            for (size_t i = 0; i < RK_ARRAY_LEN(bad_versions); i++) {
                f = measure(services[j], &bad_versions[i], strategies[k].decide,
                            200);
                print_figures(strategies[k].name, services[j], &bad_versions[i],
                              &f);
            }
        }
}

#define RUNS 30 /* simulated runs of each version */

/* Guards against a far worse version that is not found within the calls that it may
 * get. So few calls cannot reveal a version that fails 10 in 100 calls or takes
 * 1.5 times as long, still less one that fails 2 in 100. */
static void a_bad_version_is_rolled_back_within_its_bounds(void **state)
{
    (void)state;
    for (size_t j = 0; j < RK_ARRAY_LEN(services); j++)
        for (size_t i = 0; i < RK_ARRAY_LEN(bad_versions); i++) {
            bool far_worse =
                bad_versions[i].failed >= 0.5 || bad_versions[i].slowdown >= 3;
            struct figures f =
                measure(services[j], &bad_versions[i], sequential, RUNS);
            if (!far_worse)
                continue;
            if (f.rolled_back < 0.9 || f.exceeded > 0.05)
                print_figures("sequential", services[j], &bad_versions[i], &f);
            assert_true(f.rolled_back >= 0.9);
            assert_true(f.exceeded <= 0.05);
        }
}

/* Guards against a good version that is rolled back, or committed only at the end
 * of its time. */
static void a_good_version_is_committed_in_its_time(void **state)
{
    (void)state;
    for (size_t j = 0; j < RK_ARRAY_LEN(services); j++) {
        struct figures f = measure(services[j], &good, sequential, 300);
        assert_true(f.committed >= 0.97);
        assert_true(f.ended_s < 0.9 * DURATION_MS / 1000);
    }
}

/* Guards against a good version that is rolled back as all calls take longer after
 * its cutover. Old VMs get no calls by then, so that what the new version shows now
 * was compared with what the old one had shown before. */
static void a_service_that_slows_down_at_the_cutover_keeps_its_version(void **state)
{
    (void)state;
    for (size_t j = 0; j < RK_ARRAY_LEN(services); j++)
        for (int64_t from_ms = 6000; from_ms <= 9000; from_ms += 500) {
            struct service s = *services[j];
            s.slower_from_ms = from_ms;
            s.slower = 2;
            struct figures f = measure(&s, &good, sequential, RUNS);
            if (f.committed < 0.9)
                print_figures("sequential", &s, &good, &f);
            assert_true(f.committed >= 0.9);
        }
}

/* Guards against a version that is rolled back because VMs of both versions fail in
 * one domain. */
static void a_failing_domain_is_not_blamed_on_the_version(void **state)
{
    (void)state;
    static const struct new_version good_in_failing_domain = {
        "good, a domain fails", 0, 1, -1, 0, 0, 1};
    for (size_t j = 0; j < RK_ARRAY_LEN(services); j++)
        assert_true(measure(services[j], &good_in_failing_domain, sequential, RUNS)
                        .committed >= 0.9);
}

/* Guards against a bad version that stays undecided because only one domain has VMs
 * of it. With VMs in two domains, those of one may fail for another reason. */
static void a_version_in_one_domain_is_judged_by_that_domain(void **state)
{
    (void)state;
    static struct rk_canary_rows rows;
    rows.len = 0;
    struct rk_canary_row *old = rk_canary_get_row(&rows, "r", "a", false);
    struct rk_canary_row *new = rk_canary_get_row(&rows, "r", "a", true);
    for (int i = 0; i < 100; i++)
        rk_canary_add_time(&old->stats, 50, 50);
    for (int i = 0; i < 12; i++)
        rk_canary_add_failure(&new->stats, false);
    assert_int_equal(rk_canary_judge(&rows, NULL, 1).verdict, RK_CANARY_BAD);
    assert_int_equal(rk_canary_judge(&rows, NULL, 2).verdict, RK_CANARY_SUSPECT);
}

/* Returns the time, in ms, at which a version is committed if it gets too few calls
 * to be found good, and the old VMs always have a call in flight. */
static int64_t committed_after_ms(int64_t duration_ms)
{
    const struct rk_rollout_order order = {
        .service = "s", .version = "v2", .duration_ms = duration_ms};
    const struct rk_rollout_bounds bounds = {0.1, 50, 5000};
    static struct rk_canary_rows rows;
    struct rk_rollout r = {0};
    rows.len = 0;
    struct rk_canary_row *old = rk_canary_get_row(&rows, "r", "a", false);
    struct rk_canary_row *new = rk_canary_get_row(&rows, "r", "a", true);
    for (int i = 0; i < 20; i++)
        rk_canary_add_time(&old->stats, 50, 50);
    for (int i = 0; i < 11; i++)
        rk_canary_add_time(&new->stats, 50, 50);
    rk_rollout_begin(&r, &order, &bounds, 0, 0);
    for (int64_t now_ms = 0; now_ms < 2 * duration_ms; now_ms += STEP_MS) {
        const struct rk_rollout_input input = {.now_ms = now_ms,
                                               .old_vms = 3,
                                               .new_vms = 3,
                                               .new_domains = DOMAINS,
                                               .old_running = 1,
                                               .canary_rows = &rows};
        rk_rollout_step(&r, &input);
        assert_int_not_equal(r.rule.phase, RK_ROLLOUT_ROLLED_BACK);
        if (r.rule.phase == RK_ROLLOUT_COMMITTED)
            return now_ms;
    }
    return 2 * duration_ms;
}

/* Guards against short rollouts that end late: of 96 with 9 s, 3 were recorded as
 * completed up to 0.3 s late, on a machine with twice the load that it could carry.
 * A canary without a verdict took a fixed share of the time, 5.85 s; then came 1 s
 * at full load and 1.5 s for the old VMs' calls to end. That left 0.65 s for the
 * leader's writes to the store, which took 0.9 s. Enough must be left whatever the
 * time: here, 9 s end at 8.4 s and 8 s at 7.7 s. */
static void a_short_rollout_leaves_time_for_the_store(void **state)
{
    (void)state;
    for (int64_t duration_ms = 7000; duration_ms <= 20000; duration_ms += 500)
        assert_true(committed_after_ms(duration_ms) <=
                    duration_ms - 1000 + 2 * STEP_MS);
    assert_true(committed_after_ms(6000) <= 6000 - 500 + 2 * STEP_MS);
}

/* Guards against a version that is committed although its rollout has a time of 0:
 * this happened one time in eight, when the leader decided in the same millisecond
 * in which the rollout began, so that the canary was at its end and the time was
 * not over. */
static void a_rollout_without_time_is_rolled_back(void **state)
{
    (void)state;
    struct rk_canary_rows rows = {0};
    const struct rk_rollout_order order = {.service = "s", .version = "v2"};
    const struct rk_rollout_bounds bounds = {.share = 0.1, .slack = 50};
    const struct rk_rollout_input input = {
        .old_vms = 3, .new_vms = 3, .new_domains = 3, .canary_rows = &rows};
    struct rk_rollout r = {0};
    rk_rollout_begin(&r, &order, &bounds, 0, 0);
    rk_rollout_step(&r, &input);
    assert_int_equal(r.rule.phase, RK_ROLLOUT_ROLLED_BACK);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(compare_strategies),
        cmocka_unit_test(a_bad_version_is_rolled_back_within_its_bounds),
        cmocka_unit_test(a_good_version_is_committed_in_its_time),
        cmocka_unit_test(a_failing_domain_is_not_blamed_on_the_version),
        cmocka_unit_test(
            a_service_that_slows_down_at_the_cutover_keeps_its_version),
        cmocka_unit_test(a_version_in_one_domain_is_judged_by_that_domain),
        cmocka_unit_test(a_short_rollout_leaves_time_for_the_store),
        cmocka_unit_test(a_rollout_without_time_is_rolled_back),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
