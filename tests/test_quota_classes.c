/* Tests of priority classes within an organisation's quota, in fleets without a
 * network in which one organisation requests five times its quota. SHOW_FIGURES=1
 * prints what each fleet served. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/quota.h"

/* ---- fleets ----
 *
 * Four times a second, each node receives a digest of what all nodes together had
 * admitted and requested REPORT_AGE_MS before. The calls are those of the large
 * deployment (docs/hard-load.md, A). One organisation requests half of its rate,
 * then five times its rate for 6 s, then half again. */
#define STEP_MS            10
#define WINDOW_MS          8000
#define DIGEST_INTERVAL_MS 250
#define REPORT_AGE_MS      350
#define AGE_STEPS          (REPORT_AGE_MS / STEP_MS)
#define START_MS           100000
#define BURST_MS           10000 /* start of the burst */
#define BURST_END_MS       16000
#define RUN_MS             24000
#define STEPS              (RUN_MS / STEP_MS)
/* Interval of the figures of a run. A node's shares change with each digest, so a
 * longer one would mix times in which the quota is short with others. */
#define INTERVAL_MS 100
#define FAULT_MS    13000 /* in the middle of the burst */
/* Time until nodes notice that others are unreachable, and drop their demand. */
#define NOTICE_MS 900
/* All nodes are killed at FAULT_MS. They serve again RESTART_MS later, and reach
 * each other CONNECT_MS after that. The usage in the store is PERSISTED_MS old
 * then. */
#define RESTART_MS   500
#define CONNECT_MS   500
#define PERSISTED_MS 1000

#define RATE  1340000.0 /* units/s: of the organisation with the burst in A */
#define QUOTA (RATE * WINDOW_MS / 1000 + RATE)
#define SLACK (0.3 * RATE)
#define FLOOR 0.25 /* stated apart from the constant that is tested */

enum kind { PLAIN, SHORT, LONG, KINDS };

/* Calls in the proportions of A; the long ones have 12,000 tokens on average. */
static const struct {
    const char *name;
    double calls_per_s, units;
    int call_class;
} kinds[KINDS] = {
    [PLAIN] = {"plain", 226, 200, 0},
    [SHORT] = {"short", 520, 2400, 1},
    [LONG] = {"long", 127, 12000, 3},
};

/* OLD_NODES: half of the nodes, and ALL_OLD: all nodes, know no classes. */
enum fault { NO_FAULT, PARTITION, RESTART, OLD_NODES, ALL_OLD };

struct node {
    struct rk_quota q;
    bool old; /* of an earlier version: knows and sends no classes */
    int side;
    double own;     /* units admitted here */
    double seen[2]; /* units admitted by the nodes of a side, by the last digest */
    double seen_own;
    double past_own[AGE_STEPS + 1];
    double past_demand[AGE_STEPS + 1][RK_QUOTA_CLASSES];
};

/* Units at nodes that know classes, while the quota is short: by interval of
 * INTERVAL_MS, of calls for which the window has room. */
struct interval {
    double urgent_requested, urgent_admitted; /* plain and short calls */
    double long_admitted, long_floor;
};

struct outcome {
    double requested[KINDS], admitted[KINDS]; /* calls in the burst */
    /* Plain calls in the burst, at nodes that know classes, for which the window
     * has room. */
    double plain_requested, plain_admitted;
    double refused_before; /* calls refused before the burst */
    double most;           /* units admitted in any window */
    /* Sums over the intervals: units of plain and short calls for which the quota
     * has room beside the floor of the long ones, and what they and the long ones
     * got. */
    double urgent_room, urgent_admitted, long_admitted, long_floor;
};

struct fleet {
    int nodes;
    enum fault fault;
    struct node *node;
    struct rk_rng rng;
    double pending[KINDS];
    /* By side: units admitted up to each step, and demand as received from the
     * nodes. */
    double total[2][STEPS];
    double demand[2][STEPS][RK_QUOTA_CLASSES];
    double persisted[RK_QUOTA_SLICES], persisted_demand;
    struct interval intervals[RUN_MS / INTERVAL_MS];
    struct outcome out;
};

static struct fleet *create_fleet(int nodes, enum fault fault)
{
    struct fleet *f = rk_alloc(1, sizeof(*f));
    f->nodes = nodes;
    f->fault = fault;
    f->rng.state = 7;
    f->node = rk_alloc((size_t)nodes, sizeof(*f->node));
    for (int i = 0; i < nodes; i++) {
        struct node *n = &f->node[i];
        rk_quota_init(&n->q, WINDOW_MS, SLACK, 0);
        n->q.nodes_reachable = n->q.nodes_total = nodes;
        n->q.lag_ms = REPORT_AGE_MS;
        n->q.rng.state = (uint64_t)i + 1;
        n->side = i % 3 == 0; /* a third of the nodes is cut off */
        n->old = fault == ALL_OLD || (fault == OLD_NODES && i % 2);
    }
    return f;
}

static void destroy_fleet(struct fleet *f)
{
    for (int i = 0; i < f->nodes; i++)
        rk_quota_free(&f->node[i].q);
    free(f->node);
    free(f);
}

static int64_t time_of(int step)
{
    return START_MS + (int64_t)step * STEP_MS;
}

/* ---- digests ---- */

static int side_size(const struct fleet *f, int side)
{
    int size = 0;
    for (int i = 0; i < f->nodes; i++)
        size += f->node[i].side == side;
    return size;
}

/* Returns whether a node gets the digest of a side: not of the other one in a
 * partition. */
static bool is_connected(const struct fleet *f, const struct node *n, int side,
                         int step)
{
    return f->fault != PARTITION || n->side == side || step * STEP_MS < FAULT_MS;
}

/* Adds the demand of a side as it was reported, without the node's own. */
static void add_peers_demand(const struct fleet *f, const struct node *n, int side,
                             int then, double demand[RK_QUOTA_CLASSES])
{
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++) {
        demand[c] += f->demand[side][then][c];
        if (n->side == side)
            demand[c] -= n->past_demand[then % (AGE_STEPS + 1)][c];
        demand[c] = fmax(0, demand[c]);
    }
}

static void deliver_digest(struct fleet *f, struct node *n, int step)
{
    int then = step - AGE_STEPS;
    double peers = 0, demand[RK_QUOTA_CLASSES] = {0};
    for (int side = 0; side < 2; side++) {
        if (is_connected(f, n, side, step)) {
            peers += f->total[side][then] - n->seen[side];
            n->seen[side] = f->total[side][then];
            add_peers_demand(f, n, side, then, demand);
        } else if (step * STEP_MS < FAULT_MS + NOTICE_MS) {
            add_peers_demand(f, n, side, FAULT_MS / STEP_MS - 1, demand);
        }
    }
    double own = n->past_own[then % (AGE_STEPS + 1)];
    rk_quota_add_peers(&n->q, "org", peers - (own - n->seen_own), time_of(step));
    n->seen_own = own;
    if (n->old) { /* exactly the behaviour without classes: one class only */
        demand[0] = rk_quota_class_sum(demand);
        memset(demand + 1, 0, sizeof(demand) - sizeof(*demand));
    }
    memcpy(n->q.orgs[0].peers_demand, demand, sizeof(demand));
    n->q.last_report_ms = time_of(step);
}

static bool is_connecting(const struct fleet *f, int ms)
{
    return f->fault == RESTART && ms >= FAULT_MS &&
           ms < FAULT_MS + RESTART_MS + CONNECT_MS + REPORT_AGE_MS;
}

/* Begins a step, and delivers the digests that are due in it. */
static void deliver_digests(struct fleet *f, int step)
{
    for (int side = 0; side < 2; side++)
        f->total[side][step] = step ? f->total[side][step - 1] : 0;
    if (step < AGE_STEPS || is_connecting(f, step * STEP_MS))
        return;
    for (int i = 0; i < f->nodes; i++)
        if ((step * STEP_MS + i * 37) % DIGEST_INTERVAL_MS < STEP_MS)
            deliver_digest(f, &f->node[i], step);
}

/* Records each node's units and its demand as peers receive it. */
static void end_step(struct fleet *f, int step)
{
    int at = step % (AGE_STEPS + 1);
    for (int i = 0; i < f->nodes; i++) {
        struct node *n = &f->node[i];
        double demand[RK_QUOTA_CLASSES] = {0};
        float classes[RK_QUOTA_CLASSES];
        if (n->q.orgs_len)
            rk_class_demand_per_s(&n->q.orgs[0].demand, time_of(step), demand);
        size_t len = n->old ? 0 : rk_quota_class_encode(demand, classes);
        assert_true(rk_quota_class_decode(rk_quota_class_sum(demand), classes, len,
                                          n->past_demand[at]));
        n->past_own[at] = n->own;
        for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
            f->demand[n->side][step][c] += n->past_demand[at][c];
    }
}

/* ---- faults ---- */

static void persist(struct fleet *f, int step)
{
    struct rk_quota *q = &f->node[0].q;
    rk_quota_persist(q, &q->orgs[0], QUOTA, RATE, f->persisted, time_of(step));
    for (int side = 0; side < 2; side++)
        f->persisted_demand +=
            rk_quota_class_sum(f->demand[side][step - AGE_STEPS]);
}

static void restart_nodes(struct fleet *f, int step)
{
    int64_t now_ms = time_of(step);
    for (int i = 0; i < f->nodes; i++) {
        struct node *n = &f->node[i];
        rk_quota_free(&n->q);
        rk_quota_init(&n->q, WINDOW_MS, SLACK, now_ms);
        n->q.nodes_total = f->nodes;
        n->q.lag_ms = REPORT_AGE_MS;
        n->q.rng.state = (uint64_t)i + 1;
        rk_quota_restore(&n->q, "org", f->persisted, f->persisted_demand,
                         PERSISTED_MS, now_ms);
        rk_quota_restore_done(&n->q, PERSISTED_MS);
        memset(n->past_demand, 0, sizeof(n->past_demand));
        for (int at = 0; at <= AGE_STEPS; at++)
            n->past_own[at] = n->own;
        n->seen[0] = f->total[0][step];
        n->seen[1] = f->total[1][step];
        n->seen_own = n->own;
    }
}

static void set_reachable(struct fleet *f, int step, bool all)
{
    for (int i = 0; i < f->nodes; i++) {
        struct node *n = &f->node[i];
        int reachable = all ? f->nodes : side_size(f, n->side);
        rk_quota_set_reachable(&n->q, reachable, f->nodes, time_of(step));
    }
}

static void apply_fault(struct fleet *f, int step)
{
    int ms = step * STEP_MS;
    if (f->fault == PARTITION && ms == FAULT_MS + NOTICE_MS)
        set_reachable(f, step, false);
    if (f->fault != RESTART)
        return;
    if (ms == FAULT_MS + RESTART_MS - PERSISTED_MS)
        persist(f, step);
    if (ms == FAULT_MS + RESTART_MS)
        restart_nodes(f, step);
    if (ms == FAULT_MS + RESTART_MS + CONNECT_MS)
        set_reachable(f, step, true);
}

static bool is_down(const struct fleet *f, int step)
{
    int ms = step * STEP_MS;
    return f->fault == RESTART && ms >= FAULT_MS && ms < FAULT_MS + RESTART_MS;
}

/* ---- calls ---- */

/* Smallest and largest long call, as multiples of the mean: 60,000 tokens are five
 * times the mean, and with a density of 1 / size^2 the smallest follows. */
#define LONG_MIN 0.35
#define LONG_MAX 5.0

/* Returns the units of a call. */
static double draw_units(struct fleet *f, enum kind kind)
{
    if (kind != LONG)
        return kinds[kind].units;
    double u = rk_rng_below(&f->rng, 65536) / 65536.0;
    return LONG_MIN * kinds[kind].units / (1 - u * (1 - LONG_MIN / LONG_MAX));
}

/* Counts a call of the burst at a node that knows classes. Calls that the window
 * has no room for are refused whatever their class. */
static void count_call(struct fleet *f, int step, enum kind kind, double units,
                       bool admitted, const struct rk_quota_decision *d)
{
    struct interval *n = &f->intervals[step * STEP_MS / INTERVAL_MS];
    double got = admitted ? units : 0;
    if (d->used + d->used_before_restart + units > d->limit)
        return;
    if (kind == PLAIN) {
        f->out.plain_requested++;
        f->out.plain_admitted += admitted;
    }
    if (d->share >= 1)
        return;
    if (kind == LONG) {
        n->long_admitted += got;
        n->long_floor += FLOOR * d->share * units;
    } else {
        n->urgent_requested += units;
        n->urgent_admitted += got;
    }
}

static void request(struct fleet *f, int step, enum kind kind)
{
    int ms = step * STEP_MS;
    struct node *n = &f->node[rk_rng_below(&f->rng, (uint32_t)f->nodes)];
    struct rk_quota_decision decision;
    double units = draw_units(f, kind);
    if (is_down(f, step))
        return;
    int call_class = n->old ? 0 : kinds[kind].call_class;
    bool admitted = rk_quota_admit(&n->q, "org", RATE, RATE, units, call_class,
                                   time_of(step), &decision);
    if (admitted) {
        n->own += units;
        f->total[n->side][step] += units;
    }
    if (ms < BURST_MS)
        f->out.refused_before += !admitted;
    if (ms < BURST_MS || ms >= BURST_END_MS)
        return;
    f->out.requested[kind]++;
    f->out.admitted[kind] += admitted;
    if (!n->old)
        count_call(f, step, kind, units, admitted, &decision);
}

/* Sends the calls of a step; load: the requested units as a multiple of the rate.
 */
static void request_all(struct fleet *f, int step, double load)
{
    double all = 0;
    for (int k = 0; k < KINDS; k++)
        all += kinds[k].calls_per_s * kinds[k].units;
    for (int k = 0; k < KINDS; k++) {
        f->pending[k] += kinds[k].calls_per_s * load * RATE / all * STEP_MS / 1000;
        for (; f->pending[k] >= 1; f->pending[k]--)
            request(f, step, (enum kind)k);
    }
}

static double admitted_up_to(const struct fleet *f, int step)
{
    return step < 0 ? 0 : f->total[0][step] + f->total[1][step];
}

static void sum_intervals(struct fleet *f)
{
    struct outcome *o = &f->out;
    for (size_t i = 0; i < RK_ARRAY_LEN(f->intervals); i++) {
        const struct interval *n = &f->intervals[i];
        double room = n->urgent_admitted + n->long_admitted - n->long_floor;
        o->urgent_room += fmax(0, fmin(room, n->urgent_requested));
        o->urgent_admitted += n->urgent_admitted;
        o->long_admitted += n->long_admitted;
        o->long_floor += n->long_floor;
    }
}

static struct outcome run(int nodes, enum fault fault)
{
    struct fleet *f = create_fleet(nodes, fault);
    for (int step = 0; step < STEPS; step++) {
        int ms = step * STEP_MS;
        apply_fault(f, step);
        deliver_digests(f, step);
        request_all(f, step, ms >= BURST_MS && ms < BURST_END_MS ? 5 : 0.5);
        end_step(f, step);
        double window =
            admitted_up_to(f, step) - admitted_up_to(f, step - WINDOW_MS / STEP_MS);
        f->out.most = fmax(f->out.most, window);
    }
    sum_intervals(f);
    struct outcome out = f->out;
    destroy_fleet(f);
    return out;
}

static void show(const char *title, int nodes, const struct outcome *o)
{
    if (!getenv("SHOW_FIGURES"))
        return;
    printf("%s, %d nodes: %.3f of the quota in a window; share of calls admitted:",
           title, nodes, o->most / QUOTA);
    for (int k = 0; k < KINDS; k++)
        printf(" %s %.3f", kinds[k].name, o->admitted[k] / o->requested[k]);
    if (o->urgent_room > 0)
        printf("; with room: plain %.3f (of %.3f), urgent units %.3f; long %.2f of "
               "its floor",
               o->plain_admitted / o->plain_requested,
               o->plain_requested / o->requested[PLAIN],
               o->urgent_admitted / o->urgent_room,
               o->long_admitted / o->long_floor);
    printf("\n");
}

static const int fleet_sizes[] = {6, 67, 295};

/* Runs fleets of different sizes through a fault, and checks that the quota holds
 * and is used, that 95 of 100 of the plain calls and of the units of plain and
 * short calls for which the quota has room are served, and that the long calls get
 * their floor. The room of a call is what the window leaves free, as the node that
 * decides knows it; the classes do not change that. */
static void check_fleets(const char *title, enum fault fault)
{
    for (size_t i = 0; i < RK_ARRAY_LEN(fleet_sizes); i++) {
        struct outcome o = run(fleet_sizes[i], fault);
        show(title, fleet_sizes[i], &o);
        assert_true(o.most < QUOTA * 1.1 + SLACK);
        assert_true(o.most > QUOTA * 0.9);
        assert_true(o.refused_before == 0);
        assert_true(o.plain_admitted >= o.plain_requested * 0.95);
        assert_true(o.urgent_admitted >= o.urgent_room * 0.95);
        assert_true(o.long_admitted >= o.long_floor * 0.8);
    }
}

/* Guards against plain and short calls that are refused to make room for long ones,
 * and against long calls that are all refused: all calls were refused with the same
 * probability while an organisation requested five times its quota. */
static void urgent_calls_are_served_in_a_burst(void **state)
{
    (void)state;
    check_fleets("burst", NO_FAULT);
    for (size_t i = 0; i < RK_ARRAY_LEN(fleet_sizes); i++) {
        struct outcome with = run(fleet_sizes[i], NO_FAULT);
        struct outcome without = run(fleet_sizes[i], ALL_OLD);
        show("without classes", fleet_sizes[i], &without);
        assert_true(with.admitted[PLAIN] > 2 * without.admitted[PLAIN]);
        assert_true(with.admitted[SHORT] > 1.1 * without.admitted[SHORT]);
    }
}

/* Guards against sides of a partition that exceed the quota together, or ignore the
 * classes of the demand that they can reach. */
static void sides_of_a_partition_keep_the_classes(void **state)
{
    (void)state;
    check_fleets("partition", PARTITION);
}

/* Guards against restarted nodes that know no demand per class of their peers yet,
 * and then exceed the quota or serve long calls first. */
static void restarted_nodes_keep_the_classes(void **state)
{
    (void)state;
    check_fleets("restart", RESTART);
}

/* Guards against a rolling upgrade in which demand without classes makes nodes
 * exceed the quota: the demand of old nodes counts as the least urgent, and the old
 * nodes still admit all calls alike. */
static void nodes_of_two_versions_hold_the_quota(void **state)
{
    (void)state;
    check_fleets("half without classes", OLD_NODES);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(urgent_calls_are_served_in_a_burst),
        cmocka_unit_test(sides_of_a_partition_keep_the_classes),
        cmocka_unit_test(restarted_nodes_keep_the_classes),
        cmocka_unit_test(nodes_of_two_versions_hold_the_quota),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
