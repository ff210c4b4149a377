/* Tests of quotas while parts of a fleet are killed and come back, also beside a
 * domain that is cut off: no window may hold more than the quota, its overrun and
 * the slack. A fleet without a network, whose nodes report to each other, restart
 * with what the store has, and merge their peers' histories. SHOW_FIGURES=1 prints
 * the worst window of each kind of kill. */
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

#define STEP_MS    10
#define WINDOW_MS  8000
#define START_MS   100000
#define RUN_MS     30000
#define STEPS      (RUN_MS / STEP_MS)
#define FAULT_MS   10000 /* first kill, at a quota that is used up */
#define FAULTS_MAX 3
#define DOMAINS    4
#define NODES_MAX  40
#define REPORT_MS  250
#define SILENCE_MS 900 /* after which a peer is unreachable */
#define PERSIST_MS 300
#define CATCH_UP_MS                                                                \
    500 /* from the first report of a peer that has lived for long */
#define CONNECT_MS  150 /* from a node's start to its first report */
#define CALLS_PER_S 500
#define SEEDS       12
#define PATIENCE_MS 100 /* for which callers wait while no node is up */

#define RATE    800000.0
#define QUOTA   (RATE * WINDOW_MS / 1000 + RATE / 10)
#define SLACK   72000.0
#define OVERRUN 0.1
#define ALLOWED (QUOTA * (1 + OVERRUN) + SLACK)
/* Demand, as a multiple of the rate: of the organisation that exceeds its quota,
 * and of one that does not. */
#define EXCESS 6.0
#define NORMAL 0.6
/* Part of the calls of the organisation within its quota that may be refused in a
 * run. */
#define REFUSED_MAX 0.05

enum org { GREEDY, CALM, ORGS };
static const char *const org_names[ORGS] = {"greedy", "calm"};

/* A kill of a part of the nodes, or a cut of a domain. */
struct fault {
    int at_ms, for_ms;
    double share; /* of the nodes that are killed; 0: a domain is cut off */
};

/* A node as a peer last received it. */
struct peer {
    int incarnation; /* 0: not heard yet */
    int heard_ms;    /* time of the last report; -1: never */
    int since_ms;    /* time of the first one */
    double units[ORGS], demand[ORGS];
};

struct node {
    struct rk_quota q;
    int incarnation;
    int domain;
    bool up;
    int started_ms; /* of this incarnation */
    int back_ms;    /* when it starts again, while it is down */
    struct peer peers[NODES_MAX];
    int merge_at_ms; /* when to merge a history once more; 0: not due */
};

struct record {
    int written_ms; /* -1: there is none */
    double used[ORGS][RK_QUOTA_SLICES], demand[ORGS];
    double shares[RK_QUOTA_SLICES];
};

struct fleet {
    int nodes;
    struct node node[NODES_MAX];
    int cut_domain; /* -1: none */
    struct record record;
    struct rk_rng rng;
    double pending[ORGS];
    double total[ORGS][STEPS]; /* units admitted up to each step */
    int calm_calls, calm_refused;
};

static double draw(struct fleet *f)
{
    return rk_rng_below(&f->rng, 1 << 20) / (double)(1 << 20);
}

static int64_t time_of(int ms)
{
    return START_MS + ms;
}

static void init_node(struct fleet *f, int i, int ms, bool restarted)
{
    struct node *n = &f->node[i];
    rk_quota_init(&n->q, WINDOW_MS, SLACK, restarted ? time_of(ms) : 0);
    n->q.overrun = OVERRUN;
    n->q.nodes_total = f->nodes;
    n->q.lag_ms = REPORT_MS;
    n->q.rng.state = f->rng.state + (uint64_t)i + 1;
    n->incarnation++;
    n->up = true;
    n->started_ms = ms;
    n->merge_at_ms = 0;
    memset(n->peers, 0, sizeof(n->peers));
    for (int k = 0; k < f->nodes; k++)
        n->peers[k].heard_ms = -1;
}

static struct fleet *create_fleet(int nodes, uint64_t seed)
{
    struct fleet *f = rk_alloc(1, sizeof(*f));
    f->nodes = nodes;
    f->rng.state = seed;
    f->cut_domain = -1;
    f->record.written_ms = -1;
    for (int i = 0; i < nodes; i++) {
        f->node[i].domain = i % DOMAINS;
        init_node(f, i, 0, false);
    }
    return f;
}

static void destroy_fleet(struct fleet *f)
{
    for (int i = 0; i < f->nodes; i++)
        if (f->node[i].up)
            rk_quota_free(&f->node[i].q);
    free(f);
}

static struct rk_quota_org *find_org(struct rk_quota *q, enum org org)
{
    for (size_t i = 0; i < q->orgs_len; i++)
        if (!strcmp(q->orgs[i].name, org_names[org]))
            return &q->orgs[i];
    return NULL;
}

/* ---- reports ---- */

static bool is_connected(const struct fleet *f, const struct node *a,
                         const struct node *b)
{
    return a->up && b->up &&
           (a->domain == f->cut_domain) == (b->domain == f->cut_domain);
}

static bool is_heard(const struct peer *p, int ms)
{
    return p->heard_ms >= 0 && ms - p->heard_ms < SILENCE_MS;
}

/* Counts a node and the peers that it hears. */
static int count_heard(const struct fleet *f, const struct node *n, int ms)
{
    int heard = 1;
    for (int k = 0; k < f->nodes; k++)
        heard += &f->node[k] != n && is_heard(&n->peers[k], ms);
    return heard;
}

/* Returns whether a peer that is heard for the first time started at about the same
 * time, so that all it used counts. */
static bool started_together(const struct node *to, const struct node *from, int ms)
{
    int64_t age_ms = rk_quota_history_ms(&to->q, time_of(ms));
    int64_t peer_ms = rk_quota_history_ms(&from->q, time_of(ms));
    return rk_quota_started_together(age_ms, peer_ms, WINDOW_MS);
}

static void receive_units(struct node *to, struct peer *p, struct node *from,
                          enum org org, int ms)
{
    struct rk_quota_org *o = find_org(&from->q, org);
    double units = o ? o->own_net_units : 0;
    bool counted = p->heard_ms >= 0 || started_together(to, from, ms);
    double before = p->incarnation == from->incarnation ? p->units[org] : 0;
    if (counted && units != before)
        rk_quota_add_peers(&to->q, org_names[org], units - before, time_of(ms));
    p->units[org] = units;
    p->demand[org] = o ? rk_quota_demand(o, time_of(ms)) : 0;
}

static void merge_history(struct node *to, struct node *from, int ms)
{
    double shares[RK_QUOTA_SLICES];
    rk_quota_report_shares(&from->q, shares, time_of(ms));
    rk_quota_merge_shares(&to->q, shares, 0, time_of(ms));
    for (enum org org = 0; org < ORGS; org++) {
        double slices[RK_QUOTA_SLICES];
        struct rk_quota_org *o = find_org(&from->q, org);
        if (!o)
            continue;
        rk_quota_report(&from->q, o, slices, time_of(ms));
        rk_quota_merge(&to->q, org_names[org], slices, time_of(ms));
    }
}

static void receive_history(struct node *to, struct node *from, int ms)
{
    int64_t history_ms = rk_quota_history_ms(&from->q, time_of(ms));
    if (history_ms >= WINDOW_MS && to->q.unknown_before_ms)
        merge_history(to, from, ms);
    rk_quota_peer_history(&to->q, history_ms);
}

static void receive_report(struct fleet *f, int to, int from, int ms)
{
    struct node *n = &f->node[to], *sender = &f->node[from];
    struct peer *p = &n->peers[from];
    for (enum org org = 0; org < ORGS; org++)
        receive_units(n, p, sender, org, ms);
    if (p->heard_ms < 0) {
        p->since_ms = ms;
        if (rk_quota_history_ms(&sender->q, time_of(ms)) >= WINDOW_MS)
            n->merge_at_ms = ms + CATCH_UP_MS;
    }
    p->incarnation = sender->incarnation;
    p->heard_ms = ms;
    rk_quota_set_reachable(&n->q, count_heard(f, n, ms), f->nodes, time_of(ms));
    receive_history(n, sender, ms);
}

/* Merges the history of the peer that has been heard for the longest time, when
 * that is due. */
static void catch_up(struct fleet *f, struct node *n, int ms)
{
    struct node *source = NULL;
    int since_ms = RUN_MS;
    if (!n->merge_at_ms || ms < n->merge_at_ms)
        return;
    n->merge_at_ms = 0;
    for (int k = 0; k < f->nodes; k++) {
        const struct peer *p = &n->peers[k];
        struct node *candidate = &f->node[k];
        if (is_heard(p, ms) && candidate->up && p->since_ms < since_ms &&
            rk_quota_history_ms(&candidate->q, time_of(ms)) >= WINDOW_MS) {
            since_ms = p->since_ms;
            source = candidate;
        }
    }
    if (source)
        merge_history(n, source, ms);
}

/* Sums up what the peers that a node hears requested. */
static void set_demand(struct fleet *f, struct node *n, int ms)
{
    for (enum org org = 0; org < ORGS; org++) {
        struct rk_quota_org *o = find_org(&n->q, org);
        double demand = 0;
        for (int k = 0; k < f->nodes; k++)
            if (is_heard(&n->peers[k], ms))
                demand += n->peers[k].demand[org];
        if (o)
            o->peers_demand[0] = demand;
    }
    n->q.last_report_ms = 0;
    for (int k = 0; k < f->nodes; k++)
        if (n->peers[k].heard_ms >= 0 &&
            time_of(n->peers[k].heard_ms) > n->q.last_report_ms)
            n->q.last_report_ms = time_of(n->peers[k].heard_ms);
    rk_quota_set_reachable(&n->q, count_heard(f, n, ms), f->nodes, time_of(ms));
}

static void send_reports(struct fleet *f, int ms)
{
    for (int i = 0; i < f->nodes; i++) {
        struct node *n = &f->node[i];
        if (!n->up || ms - n->started_ms < CONNECT_MS ||
            (ms + i * 37) % REPORT_MS >= STEP_MS)
            continue;
        for (int k = 0; k < f->nodes; k++)
            if (k != i && is_connected(f, n, &f->node[k]))
                receive_report(f, k, i, ms);
        set_demand(f, n, ms);
        catch_up(f, n, ms);
    }
}

/* ---- the store ---- */

/* Returns the node that writes the record: the first one outside the cut domain
 * that knows a whole window. */
static struct node *find_writer(struct fleet *f, int ms)
{
    for (int i = 0; i < f->nodes; i++)
        if (f->node[i].up && f->node[i].domain != f->cut_domain &&
            rk_quota_is_complete(&f->node[i].q, time_of(ms)))
            return &f->node[i];
    return NULL;
}

static void write_record(struct fleet *f, int ms)
{
    struct node *n = ms % PERSIST_MS < STEP_MS ? find_writer(f, ms) : NULL;
    if (!n)
        return;
    f->record.written_ms = ms;
    rk_quota_report_shares(&n->q, f->record.shares, time_of(ms));
    for (enum org org = 0; org < ORGS; org++) {
        struct rk_quota_org *o = find_org(&n->q, org);
        memset(f->record.used[org], 0, sizeof(f->record.used[org]));
        f->record.demand[org] = 0;
        if (!o)
            continue;
        rk_quota_persist(&n->q, o, QUOTA, RATE, f->record.used[org], time_of(ms));
        f->record.demand[org] =
            rk_quota_demand(o, time_of(ms)) + o->peers_demand[0];
    }
}

static void restore(struct fleet *f, struct node *n, int ms)
{
    int age_ms = ms - f->record.written_ms;
    for (enum org org = 0; org < ORGS; org++)
        rk_quota_restore(&n->q, org_names[org], f->record.used[org],
                         f->record.demand[org], age_ms, time_of(ms));
    rk_quota_merge_shares(&n->q, f->record.shares, age_ms, time_of(ms));
    rk_quota_restore_done(&n->q, age_ms);
}

/* ---- faults ---- */

static void kill_nodes(struct fleet *f, const struct fault *fault)
{
    int left = (int)lround(fault->share * f->nodes);
    for (int i = 0; i < f->nodes && left > 0; i++) {
        int rest = f->nodes - i;
        struct node *n = &f->node[i];
        if ((int)rk_rng_below(&f->rng, (uint32_t)rest) >= left)
            continue;
        left--;
        if (n->up)
            rk_quota_free(&n->q);
        n->up = false;
        n->back_ms = fault->at_ms + fault->for_ms + (int)(draw(f) * 150);
    }
}

static void apply_fault(struct fleet *f, const struct fault *fault, int ms)
{
    if (fault->share > 0 && ms == fault->at_ms)
        kill_nodes(f, fault);
    if (fault->share > 0 || !fault->for_ms)
        return;
    if (ms == fault->at_ms)
        f->cut_domain = (int)rk_rng_below(&f->rng, DOMAINS);
    if (ms == fault->at_ms + fault->for_ms)
        f->cut_domain = -1;
}

static void start_nodes(struct fleet *f, int ms)
{
    for (int i = 0; i < f->nodes; i++) {
        struct node *n = &f->node[i];
        if (n->up || ms < n->back_ms)
            continue;
        init_node(f, i, ms, true);
        restore(f, n, ms);
    }
}

/* ---- calls ---- */

/* Sends a call to a node that is up. Callers wait while there is none. */
static bool request(struct fleet *f, enum org org, double units, int step)
{
    struct rk_quota_decision decision;
    int first = (int)rk_rng_below(&f->rng, (uint32_t)f->nodes);
    for (int i = 0; i < f->nodes; i++) {
        struct node *n = &f->node[(first + i) % f->nodes];
        if (!n->up)
            continue;
        bool admitted =
            rk_quota_admit(&n->q, org_names[org], RATE, RATE / 10, units, 0,
                           time_of(step * STEP_MS), &decision);
        f->total[org][step] += admitted ? units : 0;
        f->calm_calls += org == CALM;
        f->calm_refused += org == CALM && !admitted;
        return true;
    }
    return false;
}

static void send_calls(struct fleet *f, enum org org, int step)
{
    bool burst = step * STEP_MS >= WINDOW_MS / 4;
    double load = org == CALM || !burst ? NORMAL : EXCESS;
    double mean = RATE / CALLS_PER_S;
    if (step)
        f->total[org][step] = f->total[org][step - 1];
    f->pending[org] += load * RATE * STEP_MS / 1000;
    f->pending[org] = fmin(f->pending[org], load * RATE * PATIENCE_MS / 1000);
    while (f->pending[org] > 0) {
        double units = mean * (0.1 + 1.8 * draw(f));
        if (!request(f, org, units, step))
            return;
        f->pending[org] -= units;
    }
}

/* ---- runs ---- */

static double worst_window(const struct fleet *f, enum org org)
{
    double most = 0;
    for (int step = 0; step < STEPS; step++) {
        int before = step - WINDOW_MS / STEP_MS;
        double used =
            f->total[org][step] - (before >= 0 ? f->total[org][before] : 0);
        most = fmax(most, used);
    }
    return most;
}

static struct fleet *run(int nodes, uint64_t seed, const struct fault *faults)
{
    struct fleet *f = create_fleet(nodes, seed);
    for (int step = 0; step < STEPS; step++) {
        int ms = step * STEP_MS;
        for (int i = 0; i < FAULTS_MAX; i++)
            apply_fault(f, &faults[i], ms);
        start_nodes(f, ms);
        send_reports(f, ms);
        write_record(f, ms);
        for (enum org org = 0; org < ORGS; org++)
            send_calls(f, org, step);
    }
    return f;
}

/* A series of faults. Times are relative to FAULT_MS; each run moves them by up to
 * a second. */
struct series {
    const char *name;
    struct fault faults[FAULTS_MAX];
};

static void shift_faults(struct fault out[FAULTS_MAX], const struct series *s,
                         uint64_t seed)
{
    int shift_ms = (int)(seed * 7919 % 100) * STEP_MS;
    memcpy(out, s->faults, sizeof(s->faults));
    for (int i = 0; i < FAULTS_MAX; i++)
        out[i].at_ms += FAULT_MS + shift_ms;
}

/* The worst of several runs. */
struct outcome {
    double used; /* in a window, as a share of what is allowed */
    int seed;    /* of that run */
    double refused;
};

static void add_run(struct outcome *worst, const struct series *s, int nodes,
                    uint64_t seed)
{
    struct fault faults[FAULTS_MAX];
    shift_faults(faults, s, seed);
    struct fleet *f = run(nodes, seed, faults);
    double used = worst_window(f, GREEDY) / ALLOWED;
    if (used > worst->used) {
        worst->used = used;
        worst->seed = (int)seed;
    }
    worst->refused = fmax(worst->refused, f->calm_refused / (double)f->calm_calls);
    destroy_fleet(f);
}

static void check_series(const struct series *s)
{
    static const int sizes[] = {7, 24};
    for (size_t i = 0; i < RK_ARRAY_LEN(sizes); i++) {
        struct outcome worst = {0};
        for (uint64_t seed = 1; seed <= SEEDS; seed++)
            add_run(&worst, s, sizes[i], seed);
        if (getenv("SHOW_FIGURES"))
            printf("%-18s %2d nodes: at most %.3f of what is allowed (seed %d), "
                   "%.4f refused of the organisation within its quota\n",
                   s->name, sizes[i], worst.used, worst.seed, worst.refused);
        assert_true(worst.used <= 1);
        assert_true(worst.refused <= REFUSED_MAX);
    }
}

/* Guards against a quota that is used twice by nodes that were killed and those
 * that were not: by usage that no node knows any more, or by what is free and both
 * sides take at once. */
static void kills_of_any_share_keep_the_quota(void **state)
{
    (void)state;
    static const struct series series[] = {
        {"a third", {{0, 2000, 0.33}}},
        {"half", {{0, 2000, 0.55}}},
        {"most", {{0, 1500, 0.8}}},
        {"all", {{0, 1000, 1.0}}},
        {"a third twice", {{0, 1000, 0.33}, {2500, 1000, 0.33}}},
        {"half, then all", {{0, 1500, 0.5}, {3000, 1000, 1.0}}},
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(series); i++)
        check_series(&series[i]);
}

/* Guards against a quota that is used twice, or an organisation within its quota
 * that is refused for a window, when the persisted usage is older by the seconds in
 * which there was no node. */
static void kills_of_all_for_seconds_keep_the_quota(void **state)
{
    (void)state;
    check_series(&(struct series){"all for 2.6 s", {{0, 2600, 1.0}}});
}

/* The same for longer, and beside another kill. */
static void long_kills_of_all_keep_the_quota(void **state)
{
    (void)state;
    static const struct series series[] = {
        {"all for 3.5 s", {{0, 3500, 1.0}}},
        {"half, then all for 3 s", {{0, 1500, 0.5}, {3000, 3000, 1.0}}},
        {"all for 3 s, then for 1 s", {{0, 3000, 1.0}, {4500, 1000, 1.0}}},
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(series); i++)
        check_series(&series[i]);
}

/* Guards against an organisation within its quota that is refused for seconds when
 * all nodes are killed soon after a partition: what the other side had used came in
 * one piece and was taken for a rate. A quarter of its calls was refused. */
static void a_kill_after_a_cut_refuses_few_calls(void **state)
{
    (void)state;
    check_series(
        &(struct series){"all after a cut", {{-3000, 5500, 0}, {4000, 1000, 1.0}}});
}

/* Guards against nodes restarted inside a partition that never learn what the other
 * side used in it. */
static void kills_inside_a_cut_keep_the_quota(void **state)
{
    (void)state;
    check_series(
        &(struct series){"half inside a cut", {{-3000, 6000, 0}, {0, 2000, 0.5}}});
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(kills_of_any_share_keep_the_quota),
        cmocka_unit_test(kills_of_all_for_seconds_keep_the_quota),
        cmocka_unit_test(long_kills_of_all_keep_the_quota),
        cmocka_unit_test(a_kill_after_a_cut_refuses_few_calls),
        cmocka_unit_test(kills_inside_a_cut_keep_the_quota),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
