/* Quotas of organisations over many nodes: nothing is refused within them, and they
 * hold through cuts, kills and bursts. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/quota.h"

#define WINDOW_MS 8000

/* A quota of a test, freed where it goes out of scope. */
#define SCOPED __attribute__((cleanup(rk_quota_free)))

static struct rk_quota copy_of(const struct rk_quota *q)
{
    struct rk_quota copy = *q;
    copy.orgs = rk_alloc(q->orgs_cap + 1, sizeof(*copy.orgs));
    copy.names = (struct rk_names){0};
    for (size_t i = 0; i < q->orgs_len; i++) {
        copy.orgs[i] = q->orgs[i];
        rk_names_add(&copy.names, copy.orgs, sizeof(*copy.orgs), i);
    }
    return copy;
}

static double admit_for(struct rk_quota *q, double rate, double burst,
                        int64_t from_ms, int64_t to_ms, int64_t step_ms,
                        double units)
{
    double sum = 0;
    struct rk_quota_answer answer;
    for (int64_t t = from_ms; t < to_ms; t += step_ms)
        if (rk_quota_admit(q, "org", rate, burst, units, t, &answer))
            sum += units;
    return sum;
}

static struct rk_quota lone_quota(int64_t forgot_ms)
{
    struct rk_quota q;
    rk_quota_init(&q, WINDOW_MS, 0, forgot_ms);
    q.nodes_total = 1;
    return q;
}

static void a_window_admits_its_quota(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(0);
    double first = admit_for(&q, 100, 100, 100000, 108000, 10, 5);
    assert_in_range((int)first, 880, 900);
    double second = admit_for(&q, 100, 100, 108000, 116000, 10, 5);
    assert_in_range((int)second, 700, 900);
}

/* Seen: with 333 organisations, a node held the first 64 that it heard of to their
 * quotas and admitted all calls of the others: its table had no more places. */
static void each_of_many_organisations_is_held_to_its_quota(void **state)
{
    (void)state;
    const int orgs = 2 * 333;
    SCOPED struct rk_quota q = lone_quota(0);
    struct rk_quota_answer answer;
    char org[RK_ID_MAX];
    for (int i = 0; i < orgs; i++) {
        double admitted = 0;
        snprintf(org, sizeof(org), "org-%d", i);
        for (int64_t t = 100000; t < 108000; t += 100)
            if (rk_quota_admit(&q, org, 100, 100, 50, t, &answer))
                admitted += 50;
        assert_in_range((int)admitted, 850, 900);
    }
}

static void a_node_that_hears_few_holds_to_their_part(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(0);
    q.nodes_total = 4;
    q.nodes_heard = 1;
    assert_in_range((int)admit_for(&q, 100, 100, 100000, 108000, 10, 1), 215, 226);
}

/* All sides together stay within what is forgiven. */
static void sides_use_what_is_forgiven(void **state)
{
    (void)state;
    double sum = 0;
    for (int side = 1; side <= 6; side += 5) {
        SCOPED struct rk_quota q = lone_quota(0);
        q.overrun = 0.1;
        q.nodes_total = 7;
        q.nodes_heard = side;
        struct rk_quota_answer answer;
        assert_true(rk_quota_admit(&q, "org", 100, 100, 1, 100000, &answer));
        assert_true(answer.limit > 900.0 * side / 7);
        sum += answer.limit;
    }
    assert_true(sum <= 900 * 1.1);
}

/* One side of a cut, as one node that speaks for all of it: so many of 295 nodes
 * are heard, and before the cut all used a part of the rate for a whole window. */
#define CUT_MS    20000
#define CUT_RATE  240000.0
#define CUT_NODES 295
#define CUT_SLACK 72000
#define CUT_UNITS 1000.0

static struct rk_quota side_of_a_cut(int nodes, double load)
{
    struct rk_quota q;
    struct rk_quota_answer answer;
    rk_quota_init(&q, WINDOW_MS, CUT_SLACK, 0);
    q.overrun = 0.1;
    rk_quota_hear(&q, CUT_NODES, CUT_NODES, CUT_MS - WINDOW_MS);
    rk_quota_admit(&q, "org", CUT_RATE, CUT_RATE, 0, CUT_MS - WINDOW_MS, &answer);
    for (int ms = CUT_MS - WINDOW_MS; ms < CUT_MS; ms += 250)
        rk_quota_add(&q, "org", load * CUT_RATE / 4, ms);
    rk_quota_hear(&q, nodes, CUT_NODES, CUT_MS);
    return q;
}

/* Ask a side for units; what it admitted. */
static double ask_side(struct rk_quota *q, double per_s, int from_ms, int to_ms)
{
    struct rk_quota_answer answer;
    double owed = 0, admitted = 0;
    for (int ms = from_ms; ms < to_ms; ms += 10)
        for (owed += per_s / 100; owed >= CUT_UNITS; owed -= CUT_UNITS)
            if (rk_quota_admit(q, "org", CUT_RATE, CUT_RATE, CUT_UNITS, ms,
                               &answer))
                admitted += CUT_UNITS;
    return admitted;
}

/* Seen: a domain of 59 of 295 nodes that was cut off refused all calls for four
 * seconds, and nodes that hear nobody all calls for as long as they do. What all
 * had used before the cut was counted whole against the part of one side. */
static void a_side_that_is_cut_off_goes_on_serving_its_part(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = side_of_a_cut(59, 0.55);
    double per_s = 0.55 * CUT_RATE * 59 / CUT_NODES;
    double admitted = ask_side(&q, per_s, CUT_MS, CUT_MS + 6000);
    assert_true(admitted >= per_s * 6 - 2 * CUT_UNITS);
}

/* And both sides together stay within what is allowed, however they are pressed. */
static void sides_that_are_pressed_stay_within_the_quota(void **state)
{
    (void)state;
    const double loads[] = {0, 0.55, 0.9};
    for (size_t i = 0; i < RK_ARRAY_LEN(loads); i++) {
        SCOPED struct rk_quota a = side_of_a_cut(59, loads[i]);
        SCOPED struct rk_quota b = side_of_a_cut(CUT_NODES - 59, loads[i]);
        for (int ms = 1000; ms <= WINDOW_MS; ms += 1000) {
            SCOPED struct rk_quota x = copy_of(&a), y = copy_of(&b);
            double used = loads[i] * CUT_RATE * (WINDOW_MS - ms) / 1000;
            used += ask_side(&x, 8 * CUT_RATE, CUT_MS, CUT_MS + ms);
            used += ask_side(&y, 8 * CUT_RATE, CUT_MS, CUT_MS + ms);
            assert_true(used < CUT_RATE * 9 * 1.1 + CUT_SLACK);
        }
    }
}

/* Seen: for a second after a cut all calls of the smaller organisations were
 * refused. What the other side had used in it came at once, and was taken for a
 * rate. */
static void what_comes_with_the_end_of_a_cut_is_no_rate(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = side_of_a_cut(59, 0.55);
    double per_s = 0.55 * CUT_RATE * 59 / CUT_NODES;
    ask_side(&q, per_s, CUT_MS, CUT_MS + 6000);
    rk_quota_hear(&q, CUT_NODES, CUT_NODES, CUT_MS + 6000);
    rk_quota_add(&q, "org", 0.55 * CUT_RATE * 6 * (CUT_NODES - 59) / CUT_NODES,
                 CUT_MS + 6000);
    double admitted = ask_side(&q, per_s, CUT_MS + 6000, CUT_MS + 7000);
    assert_true(admitted >= per_s - 2 * CUT_UNITS);
}

static void before_it_knows_the_nodes_a_node_takes_them_to_be_many(void **state)
{
    (void)state;
    SCOPED struct rk_quota q;
    rk_quota_init(&q, WINDOW_MS, 0, 0);
    double most = 900.0 / RK_UNKNOWN_NODES + 1;
    assert_true(admit_for(&q, 100, 100, 100000, 108000, 10, 1) <= most);
}

/* Killed in the middle of a window, all nodes together: what was used before and
 * what is admitted after stay within the bound of one window. */
static void a_restart_does_not_double_a_quota(void **state)
{
    (void)state;
    for (int64_t used_ms = 500; used_ms < WINDOW_MS; used_ms += 500) {
        SCOPED struct rk_quota before = lone_quota(0);
        double spent =
            admit_for(&before, 100, 100, 100000, 100000 + used_ms, 10, 1);
        int64_t start = 100000 + used_ms + 800; /* down meanwhile */
        SCOPED struct rk_quota after = lone_quota(start);
        double more = admit_for(&after, 100, 100, start, 100000 + WINDOW_MS, 10, 1);
        assert_true(spent + more <= 900 * 1.1);
    }
}

static void an_organisation_that_uses_little_is_served_after_a_restart(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(100000);
    double got = admit_for(&q, 100, 100, 100050, 108050, 20, 1); /* 50 a second */
    assert_true(got >= 390);
}

static void a_lowered_quota_counts_after_a_window(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(0);
    admit_for(&q, 100, 100, 100000, 104000, 10, 1);
    double soon = admit_for(&q, 10, 10, 104000, 108000, 10, 1);
    assert_true(soon > 300);
    assert_int_equal((int)admit_for(&q, 10, 10, 112500, 113500, 10, 1), 0);
    double later = admit_for(&q, 10, 10, 125000, 133000, 10, 1);
    assert_in_range((int)later, 80, 90);
}

static void what_peers_used_and_probably_use_counts(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(0);
    struct rk_quota_answer answer;
    rk_quota_admit(&q, "org", 100, 100, 1, 100000, &answer);
    rk_quota_add(&q, "org", 300, 100150);
    rk_quota_add(&q, "org", 300, 100250);
    assert_false(rk_quota_admit(&q, "org", 100, 100, 10, 100260, &answer));
    assert_true(answer.retry_after_ms > 0);
}

/* A fleet that hears of itself in digests: each node is told four times a second
 * what all had admitted a while before. */
#define FLEET       40
#define LARGE_FLEET 86
#define STEP_MS     10
#define DIGEST_MS   250
#define TOLD_AGE_MS 350
#define AGE_STEPS   (TOLD_AGE_MS / STEP_MS)
#define RUN_MS      30000

/* Of today, twice the sites that were met first, and in two years. */
static const int large_fleets[] = {LARGE_FLEET, 295, 1776};

struct fleet_node {
    struct rk_quota q;
    double own, told;
    double own_then[AGE_STEPS + 1], asking_then[AGE_STEPS + 1];
};

struct fleet {
    int nodes;
    struct fleet_node *node;
    double total[RUN_MS / STEP_MS];  /* admitted by all, up to each step */
    double asking[RUN_MS / STEP_MS]; /* units a second, of all */
};

static struct fleet *new_fleet(int nodes, double slack)
{
    struct fleet *f = rk_alloc(1, sizeof(*f));
    f->nodes = nodes;
    f->node = rk_alloc((size_t)nodes, sizeof(*f->node));
    for (int i = 0; i < nodes; i++) {
        struct rk_quota *q = &f->node[i].q;
        rk_quota_init(q, WINDOW_MS, slack, 0);
        q->nodes_heard = q->nodes_total = nodes;
        q->lag_ms = TOLD_AGE_MS;
        q->rng.state = (uint64_t)i + 1;
    }
    return f;
}

static void free_fleet(struct fleet *f)
{
    for (int i = 0; i < f->nodes; i++)
        rk_quota_free(&f->node[i].q);
    free(f->node);
    free(f);
}

/* Ask a node for units; the step's total is reckoned by this. */
static void ask_fleet(struct fleet *f, int step, int node, double rate,
                      double burst, double units)
{
    struct rk_quota_answer answer;
    if (!rk_quota_admit(&f->node[node].q, "org", rate, burst, units,
                        100000 + step * STEP_MS, &answer))
        return;
    f->node[node].own += units;
    f->total[step] += units;
}

static void end_step(struct fleet *f, int step)
{
    for (int i = 0; i < f->nodes; i++) {
        struct fleet_node *n = &f->node[i];
        int at = step % (AGE_STEPS + 1);
        n->own_then[at] = n->own;
        n->asking_then[at] =
            n->q.orgs_len ? rk_quota_asking(&n->q.orgs[0], 100000 + step * STEP_MS)
                          : 0;
        f->asking[step] += n->asking_then[at];
    }
}

/* Admitted by all in the window that ends with a step. */
static double in_window(const struct fleet *f, int step)
{
    int before = step - WINDOW_MS / STEP_MS;
    return f->total[step] - (before >= 0 ? f->total[before] : 0);
}

static void tell_fleet(struct fleet *f, int step)
{
    int then = step - AGE_STEPS, at = then % (AGE_STEPS + 1);
    f->total[step] = step ? f->total[step - 1] : 0;
    for (int i = 0; i < f->nodes && then >= 0; i++) {
        struct fleet_node *n = &f->node[i];
        if ((step * STEP_MS + i * 37) % DIGEST_MS >= STEP_MS)
            continue;
        double peers = f->total[then] - n->own_then[at];
        rk_quota_add(&n->q, "org", peers - n->told, 100000 + step * STEP_MS);
        n->q.orgs[0].peers_asking = f->asking[then] - n->asking_then[at];
        n->told = peers;
    }
}

/* An organisation that suddenly sends ten times its rate gets no more than its
 * quota, a tenth and the slack in any window, and no less than its quota. */
static void a_fleet_holds_a_quota_through_a_burst(void **state)
{
    (void)state;
    const double rate = 240000, burst = 600000, units = 3000, slack = 72000;
    struct fleet *f = new_fleet(FLEET, slack);
    struct rk_rng rng = {.state = 7};
    double owed = 0, most = 0, window = rate * WINDOW_MS / 1000 + burst;
    for (int step = 0; step < RUN_MS / STEP_MS; step++) {
        double per_s = step * STEP_MS < 10000 ? rate / 2 : rate * 8;
        tell_fleet(f, step);
        for (owed += per_s * STEP_MS / 1000; owed > 0; owed -= units)
            ask_fleet(f, step, (int)rk_rng_below(&rng, FLEET), rate, burst, units);
        end_step(f, step);
        most = in_window(f, step) > most ? in_window(f, step) : most;
    }
    assert_true(most > window * 0.95);
    assert_true(most < window * 1.1 + slack);
    free_fleet(f);
}

/* Presses a large fleet with eleven times the rate. Sizes differ, as tokens do. */
static void press(int nodes, uint64_t seed)
{
    const double sizes[] = {200,  200,  200,  700,   1300,
                            2500, 4700, 7000, 11000, 18000};
    const double rate = 240000, burst = 600000, slack = 72000;
    double window = rate * WINDOW_MS / 1000 + burst;
    struct fleet *f = new_fleet(nodes, slack);
    struct rk_rng rng = {.state = seed};
    double owed = 0, most = 0;
    for (int step = 0; step < RUN_MS / STEP_MS; step++) {
        double per_s = step * STEP_MS < 10000 ? rate / 2 : rate * 11;
        tell_fleet(f, step);
        for (owed += per_s * STEP_MS / 1000; owed > 0;) {
            double units = sizes[rk_rng_below(&rng, 10)];
            int node = (int)rk_rng_below(&rng, (uint32_t)nodes);
            ask_fleet(f, step, node, rate, burst, units);
            owed -= units;
        }
        end_step(f, step);
        most = in_window(f, step) > most ? in_window(f, step) : most;
    }
    int last = RUN_MS / STEP_MS - 1, two = 2 * WINDOW_MS / STEP_MS;
    assert_true(most < window * 1.1 + slack);
    assert_true(f->total[last] - f->total[last - two] > 2 * window * 0.9);
    free_fleet(f);
}

/* Each of many nodes serves a call or two, or none, in the time that news takes:
 * when some of a quota gets free, all see it at once. */
static void a_large_fleet_holds_a_quota_that_is_pressed(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 5; seed++)
        press(LARGE_FLEET, seed);
}

/* Seen at 1.08 and 1.20 of what is allowed, in such a fleet: each node was given a
 * share of what is free, and a call larger than that was owed, for 2 s at most. At
 * 1,776 nodes a share is 150 units, and a call of each node every 2 s is 13 times
 * the rate. */
static void a_quota_holds_however_many_nodes_there_are(void **state)
{
    (void)state;
    press(295, 1);
    press(1776, 1);
}

/* Calls of many sizes, at random nodes, that ask for so many units a second. */
struct asking {
    struct rk_rng rng;
    double rate; /* of the organisation's quota */
    double per_s;
    double owed, asked;
};

static void ask_one_step(struct fleet *f, struct asking *a, int step)
{
    static const double sizes[] = {70,   200,  700,  1300, 2500,
                                   2500, 4700, 7000, 9000, 11000};
    for (a->owed += a->per_s * STEP_MS / 1000; a->owed > 0;) {
        double units = sizes[rk_rng_below(&a->rng, 10)];
        int node = (int)rk_rng_below(&a->rng, (uint32_t)f->nodes);
        ask_fleet(f, step, node, a->rate, a->rate, units);
        a->owed -= units;
        a->asked += units;
    }
}

/* Asks a large fleet for a part of an organisation's rate, spread over all its
 * nodes. Returns the part of that which was refused. */
static double refused_within_quota(int nodes, double load)
{
    const double rate = 240000, slack = 72000;
    struct fleet *f = new_fleet(nodes, slack);
    struct asking a = {.rng.state = 3, .rate = rate, .per_s = rate * load};
    for (int step = 0; step < RUN_MS / STEP_MS; step++) {
        tell_fleet(f, step);
        ask_one_step(f, &a, step);
        end_step(f, step);
    }
    double refused = 1 - f->total[RUN_MS / STEP_MS - 1] / a.asked;
    free_fleet(f);
    return refused;
}

static void a_large_fleet_refuses_nothing_at_the_planned_load(void **state)
{
    (void)state;
    assert_true(refused_within_quota(LARGE_FLEET, 0.55) == 0);
}

/* Seen: 2.7% of what is asked refused at this load, 5.4% at 295 nodes, 6.5% at
 * 1,776. Each node was paced by its share of what is free, though a fifth of the
 * quota was; the share of one node is less than a call. */
static void a_large_fleet_refuses_nothing_within_its_quota(void **state)
{
    (void)state;
    for (size_t i = 0; i < RK_ARRAY_LEN(large_fleets); i++)
        assert_true(refused_within_quota(large_fleets[i], 0.8) == 0);
}

/* All nodes of a fleet come back at once with what the store kept, and hear each
 * other after a second. Returns the part of what is asked meanwhile that is
 * refused; *most is what all admitted in it. */
static double refused_after_a_kill_of_all(double load, double rate, double *most)
{
    const int nodes = 295, age_ms = 1500, start_ms = 100000;
    double parts[RK_QUOTA_PARTS], used = load * rate;
    struct fleet *f = new_fleet(nodes, 72000);
    struct asking a = {.rng.state = 3, .rate = rate, .per_s = rate * load};
    if (used > rate * 9 / 8)
        used = rate * 9 / 8; /* of a quota of nine seconds' rate in eight */
    for (size_t i = 0; i < RK_QUOTA_PARTS; i++)
        parts[i] = used;
    for (int i = 0; i < nodes; i++) {
        struct rk_quota *q = &f->node[i].q;
        rk_quota_init(q, WINDOW_MS, 72000, start_ms);
        q->nodes_total = nodes;
        q->rng.state = (uint64_t)i + 1;
        rk_quota_restore(q, "org", parts, load * rate, age_ms, start_ms);
        rk_quota_restored(q, age_ms);
    }
    for (int step = 0; step < 1000 / STEP_MS; step++)
        ask_one_step(f, &a, step);
    *most = 0;
    for (int step = 0; step < 1000 / STEP_MS; step++)
        *most += f->total[step];
    free_fleet(f);
    return 1 - *most / a.asked;
}

/* Seen: after a kill of all, 295 nodes refused 81 to 100% of the calls of all but
 * the largest organisations, well within their quotas, for a second. Each heard
 * nobody yet and held to its part of the quota, which is less than one call. */
static void a_fleet_that_comes_back_refuses_nothing_within_its_quotas(void **state)
{
    (void)state;
    double most;
    assert_true(refused_after_a_kill_of_all(0.55, 240000, &most) == 0);
    assert_true(refused_after_a_kill_of_all(0.55, 18000, &most) == 0);
}

/* Nor do they use it each for itself: what leaves the window in the time that they
 * were away, and in this second, is what there is. */
static void a_fleet_that_comes_back_holds_a_quota_that_is_pressed(void **state)
{
    (void)state;
    double most;
    assert_true(refused_after_a_kill_of_all(4, 240000, &most) > 0);
    assert_true(most < 2.5 * 240000 * 9 / 8 + 72000);
}

static void a_peer_with_a_memory_lifts_the_caution(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(100000);
    struct rk_quota_answer answer;
    assert_false(rk_quota_admit(&q, "org", 100, 100, 100, 100100, &answer));
    const double parts[RK_QUOTA_PARTS] = {300};
    rk_quota_know(&q, "org", parts, 100200);
    rk_quota_remind(&q, WINDOW_MS);
    assert_in_range((int)admit_for(&q, 100, 100, 100250, 100260, 1, 100), 600, 600);
}

/* A node killed just after a burst takes over when it was: as long as its peers
 * count it, it counts it, too. */
static void a_burst_is_taken_over_with_its_time(void **state)
{
    (void)state;
    SCOPED struct rk_quota peer = lone_quota(0), fresh = lone_quota(101500);
    struct rk_quota_answer answer;
    double parts[RK_QUOTA_PARTS];
    for (int i = 0; i < 80; i++)
        rk_quota_admit(&peer, "org", 100, 100, 10, 100000 + i * 10, &answer);
    rk_quota_tell(&peer, &peer.orgs[0], parts, 101600);
    rk_quota_know(&fresh, "org", parts, 101600);
    rk_quota_remind(&fresh, WINDOW_MS);
    for (int64_t t = 102000; t < 107500; t += 500) {
        rk_quota_admit(&fresh, "org", 100, 100, 0, t, &answer);
        assert_true(answer.used >= 799);
    }
    rk_quota_admit(&fresh, "org", 100, 100, 0, 110000, &answer);
    assert_true(answer.used < 1);
}

/* A whole quota used in one second, then all nodes are killed: what the store kept
 * counts until that second leaves the window. */
static void what_the_store_kept_holds_after_a_restart(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(100000);
    const double parts[RK_QUOTA_PARTS] = {880};
    rk_quota_restore(&q, "org", parts, 0, 1000, 100000);
    rk_quota_restored(&q, 1000);
    double soon = admit_for(&q, 100, 100, 100000, 106000, 10, 1);
    assert_true(880 + soon <= 900 + 1);
    assert_true(admit_for(&q, 100, 100, 107600, 108600, 10, 1) > 50);
}

/* What was used evenly leaves the window evenly, and room that was left is used. */
static void what_was_kept_is_gone_by_after_a_restart(void **state)
{
    (void)state;
    const double parts[RK_QUOTA_PARTS] = {50, 50, 50, 50, 50, 50, 50, 50};
    SCOPED struct rk_quota q = lone_quota(100000);
    rk_quota_restore(&q, "org", parts, 0, 1000, 100000);
    rk_quota_restored(&q, 1000);
    double at_once = admit_for(&q, 100, 100, 100000, 100100, 1, 10);
    assert_true(at_once > 350 && at_once < 900 - 350);
    assert_true(admit_for(&q, 100, 100, 104000, 104100, 1, 10) > 100);
}

/* Killed twice: what was restored is kept again; what is not all isn't taken for
 * it. */
static void what_was_restored_is_kept_again(void **state)
{
    (void)state;
    double parts[RK_QUOTA_PARTS] = {880};
    SCOPED struct rk_quota q = lone_quota(100000);
    assert_false(rk_quota_knows_all(&q, 100000));
    rk_quota_restore(&q, "org", parts, 0, 500, 100000);
    rk_quota_restored(&q, 500);
    assert_true(rk_quota_knows_all(&q, 100000));
    rk_quota_tell(&q, &q.orgs[0], parts, 101000);
    assert_true(parts[0] + parts[1] + parts[2] == 0); /* peers have it themselves */
    rk_quota_keep(&q, &q.orgs[0], 900, 100, parts, 101000);
    assert_true(parts[1] + parts[2] >= 880);
    SCOPED struct rk_quota second = lone_quota(101500);
    rk_quota_restore(&second, "org", parts, 0, 500, 101500);
    rk_quota_restored(&second, 500);
    assert_true(admit_for(&second, 100, 100, 101500, 105500, 10, 1) <= 21);
}

/* Seen: the store was away for some seconds before a kill of all nodes, so what it
 * had kept was too old; nothing was kept then for a window, and a second kill 4 s
 * later found the same old record: 1.01 to 1.05 of the quota ran, in 7 of 7 plays.
 */
static void what_may_have_been_used_before_is_kept_too(void **state)
{
    (void)state;
    double parts[RK_QUOTA_PARTS] = {50};
    SCOPED struct rk_quota first = lone_quota(100000);
    rk_quota_restore(&first, "org", parts, 0, 4700, 100000);
    rk_quota_restored(&first, 4700);
    assert_true(rk_quota_knows_all(&first, 101000));
    double used = admit_for(&first, 100, 100, 100000, 104000, 10, 1);
    rk_quota_keep(&first, &first.orgs[0], 900, 100, parts, 103900);
    SCOPED struct rk_quota second = lone_quota(105000);
    rk_quota_restore(&second, "org", parts, 0, 1100, 105000);
    rk_quota_restored(&second, 1100);
    /* All of the quota may have been used just before the first start: within a
     * window of that no more runs than then, at four fifths of its rate. */
    used += admit_for(&second, 100, 100, 105000, 107900, 10, 1);
    assert_true(used <= 0.8 * 100 * 4.1);
}

/* What was kept long before says nothing of what was used last. */
static void what_was_kept_long_ago_is_a_floor(void **state)
{
    (void)state;
    const double parts[RK_QUOTA_PARTS] = {50, 50, 50, 50, 50, 50, 50, 50};
    SCOPED struct rk_quota q = lone_quota(100000);
    rk_quota_restore(&q, "org", parts, 0, 5000, 100000);
    rk_quota_restored(&q, 5000);
    assert_true(admit_for(&q, 100, 100, 100000, 100100, 1, 10) < 50);
}

static void a_refund_is_no_use(void **state)
{
    (void)state;
    SCOPED struct rk_quota q = lone_quota(0);
    struct rk_quota_answer answer;
    assert_true(rk_quota_admit(&q, "org", 10, 10, 90, 100000, &answer));
    assert_false(rk_quota_admit(&q, "org", 10, 10, 90, 100010, &answer));
    rk_quota_refund(&q, "org", 90, 100020);
    assert_true(rk_quota_admit(&q, "org", 10, 10, 90, 100030, &answer));
    assert_true(rk_quota_known(&q.orgs[0]) == 90);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_window_admits_its_quota),
        cmocka_unit_test(each_of_many_organisations_is_held_to_its_quota),
        cmocka_unit_test(a_node_that_hears_few_holds_to_their_part),
        cmocka_unit_test(sides_use_what_is_forgiven),
        cmocka_unit_test(a_side_that_is_cut_off_goes_on_serving_its_part),
        cmocka_unit_test(sides_that_are_pressed_stay_within_the_quota),
        cmocka_unit_test(what_comes_with_the_end_of_a_cut_is_no_rate),
        cmocka_unit_test(before_it_knows_the_nodes_a_node_takes_them_to_be_many),
        cmocka_unit_test(a_restart_does_not_double_a_quota),
        cmocka_unit_test(
            an_organisation_that_uses_little_is_served_after_a_restart),
        cmocka_unit_test(a_lowered_quota_counts_after_a_window),
        cmocka_unit_test(what_peers_used_and_probably_use_counts),
        cmocka_unit_test(a_fleet_holds_a_quota_through_a_burst),
        cmocka_unit_test(a_large_fleet_holds_a_quota_that_is_pressed),
        cmocka_unit_test(a_quota_holds_however_many_nodes_there_are),
        cmocka_unit_test(a_large_fleet_refuses_nothing_at_the_planned_load),
        cmocka_unit_test(a_large_fleet_refuses_nothing_within_its_quota),
        cmocka_unit_test(a_fleet_that_comes_back_refuses_nothing_within_its_quotas),
        cmocka_unit_test(a_fleet_that_comes_back_holds_a_quota_that_is_pressed),
        cmocka_unit_test(a_peer_with_a_memory_lifts_the_caution),
        cmocka_unit_test(a_burst_is_taken_over_with_its_time),
        cmocka_unit_test(what_the_store_kept_holds_after_a_restart),
        cmocka_unit_test(what_was_kept_is_gone_by_after_a_restart),
        cmocka_unit_test(what_was_restored_is_kept_again),
        cmocka_unit_test(what_may_have_been_used_before_is_kept_too),
        cmocka_unit_test(what_was_kept_long_ago_is_a_floor),
        cmocka_unit_test(a_refund_is_no_use),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
