/* Measures the vm plan (core/plan.h) over a price and reclaim trace of a user:
 * cost at the latency target against two baselines, and recomputed tokens with
 * and without moves, by when long deferrable work is moved. Simulated time, one
 * process, the seed is the trace's. Prints one JSON line a case. */
#include <argp.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/util.h"
#include "core/plan.h"

#define STEP_S       5
#define DAY_S        86400
#define MAX_HELD     64
#define START_S      90 /* from the order until a vm serves */
#define SLOTS        4
#define DOMAINS      3
#define TOKENS_IN_VM 3000.0 /* of contexts in a busy vm's slots, each */
#define LONG_SHARE   0.25   /* of slots run long deferrable work */
#define LONG_TOKENS  9000.0
#define KV_TOKENS_S  800.0 /* a context's tokens exported and imported a second */
#define MTOKEN_PRICE 3.0   /* what a million recomputed tokens costs in vm time */

enum policy { PLAN, ALL_ON_DEMAND, CHEAPEST_FIRST };
static const char *const policy_names[] = {"plan", "all on-demand",
                                           "cheapest first"};

/* A user's day, modelled (no trace of theirs is here): demand by hour, prices by
 * class and hour, waves. */
struct user {
    const char *name;
    double weight_cost, weight_recompute;
    double base_slots, peak_slots; /* demand of one failure domain */
    double urgent_share;
    double spot_price, spot_swing, spare_price, spare_swing, on_demand_price;
    double waves_per_day;        /* of one domain: all reclaimable vms of a class */
    double spare_reclaims_ratio; /* the dearer spot class is reclaimed less */
    uint64_t seed;
};

static const struct user users[] = {
    {"hospital", 1.0, 0.3, 8, 26, 0.45, 0.90, 0.35, 1.30, 0.15, 2.40, 6, 0.25, 11},
    {"taxi", 0.3, 1.0, 6, 30, 0.55, 0.80, 0.30, 1.05, 0.15, 2.10, 8, 0.2, 23},
};

struct held {
    int cls; /* -1: free place */
    int64_t ready_s;
    int64_t reclaim_s; /* -1: no notice */
};

struct domain {
    struct held vms[MAX_HELD];
    double demand;
};

struct result {
    double cost, met, missed, urgent_missed, recomputed, recomputed_kv;
    double recomputed_long_first, recomputed_long_last;
    int waves, refused;
};

static double demand_at(const struct user *u, int64_t s, int domain)
{
    double hour = (double)(s % DAY_S) / 3600.0;
    double bump =
        exp(-pow(hour - 9.5, 2) / 8) + 0.8 * exp(-pow(hour - 18.0 - domain, 2) / 5);
    return u->base_slots + (u->peak_slots - u->base_slots) * fmin(1.0, bump);
}

static void fill_classes(const struct user *u, struct rk_plan_class *c, int64_t s,
                         int domain)
{
    double hour = (double)s / 3600.0 + domain * 2.7;
    rk_strcpy(c[0].name, RK_ID_MAX, "spot");
    c[0].price = u->spot_price * (1 + u->spot_swing * sin(hour * 0.9));
    c[0].reclaimable = true;
    c[0].reclaims_per_hour = u->waves_per_day / 24;
    rk_strcpy(c[1].name, RK_ID_MAX, "spot-spare");
    c[1].price = u->spare_price * (1 + u->spare_swing * sin(hour * 0.7 + 1));
    c[1].reclaimable = true;
    c[1].reclaims_per_hour = u->waves_per_day / 24 * u->spare_reclaims_ratio;
    rk_strcpy(c[2].name, RK_ID_MAX, "on-demand");
    c[2].price = u->on_demand_price;
}

static int count_held(const struct domain *d, int cls, int64_t s, bool ready_only)
{
    int n = 0;
    for (int i = 0; i < MAX_HELD; i++)
        n += d->vms[i].cls == cls && d->vms[i].reclaim_s < 0 &&
             (!ready_only || d->vms[i].ready_s <= s);
    return n;
}

static double ready_slots(const struct domain *d, int64_t s)
{
    double slots = 0;
    for (int i = 0; i < MAX_HELD; i++)
        slots += d->vms[i].cls >= 0 && d->vms[i].ready_s <= s ? SLOTS : 0;
    return slots;
}

static void start(struct domain *d, int cls, int64_t s)
{
    for (int i = 0; i < MAX_HELD; i++)
        if (d->vms[i].cls < 0) {
            d->vms[i] =
                (struct held){.cls = cls, .ready_s = s + START_S, .reclaim_s = -1};
            return;
        }
}

static void stop(struct domain *d, int cls)
{
    for (int i = MAX_HELD - 1; i >= 0; i--)
        if (d->vms[i].cls == cls && d->vms[i].reclaim_s < 0) {
            d->vms[i].cls = -1;
            return;
        }
}

/* The baselines' wish: the same headroom, one kind of class. */
static void baseline(const struct rk_plan_input *in, enum policy p,
                     struct rk_plan *out)
{
    *out = (struct rk_plan){0};
    int held = 0,
        want = (int)ceil(in->demand_slots / (1 - in->headroom) / SLOTS - 1e-9);
    size_t cls = 2;
    for (size_t i = 0; i < in->classes_len; i++)
        held += in->classes[i].held;
    for (size_t i = 0; i < in->classes_len && p == CHEAPEST_FIRST; i++)
        if (in->classes[i].refused_until_ms <= in->now_ms &&
            in->classes[i].price < in->classes[cls].price)
            cls = i;
    if (want > held)
        out->actions[out->len++] =
            (struct rk_plan_action){RK_PLAN_START, cls, want - held};
    for (size_t i = in->classes_len; i-- > 0 && want + 1 < held;) {
        int n = held - want - 1 < in->classes[i].held ? held - want - 1
                                                      : in->classes[i].held;
        if (n <= 0)
            continue;
        out->actions[out->len++] = (struct rk_plan_action){RK_PLAN_STOP, i, n};
        held -= n;
    }
}

struct world {
    const struct user *u;
    enum policy policy;
    struct domain domains[DOMAINS];
    struct rk_plan_class classes[DOMAINS][3];
    int64_t refuse_until_s[DOMAINS];
    struct rk_rng rng;
    struct result r;
};

static double uniform(struct rk_rng *rng)
{
    return (double)(rk_rng_next(rng) >> 11) / (double)(1ULL << 53);
}

/* A wave takes every vm of a class (or all reclaimable ones) on 5 to 30 s, and
 * starts are refused for minutes after. */
static void maybe_wave(struct world *w, int dom, int64_t s)
{
    const struct user *u = w->u;
    double chance = u->waves_per_day * STEP_S / DAY_S;
    double dice = uniform(&w->rng), whole = uniform(&w->rng),
           notice = uniform(&w->rng);
    if (dice > chance)
        return;
    w->r.waves++;
    struct domain *d = &w->domains[dom];
    for (int i = 0; i < MAX_HELD; i++) {
        struct held *v = &d->vms[i];
        bool taken =
            v->cls == 0 || (v->cls == 1 && whole < u->spare_reclaims_ratio);
        if (taken && v->reclaim_s < 0)
            v->reclaim_s = s + 5 + (int64_t)(notice * 25);
    }
    w->refuse_until_s[dom] = s + 120 + (int64_t)(notice * 240);
}

/* What a reclaimed vm's contexts cost again. A context moved as KV in time costs
 * nothing; in which order they move decides which make it. */
static void count_recompute(struct world *w, const struct held *v, double busy)
{
    double notice = (double)(v->reclaim_s % 26) + 5;
    double longs = busy * LONG_SHARE, shorts = busy - longs;
    double all = longs * LONG_TOKENS + shorts * TOKENS_IN_VM;
    double room = notice * KV_TOKENS_S;
    double long_first =
        room < longs * LONG_TOKENS ? all - room : fmax(0, all - room);
    /* Long last: shorts fill the time; a long context that doesn't fit whole is
     * lost whole. */
    double left = room - shorts * TOKENS_IN_VM;
    double long_last = left < 0 ? all - room
                                : all - shorts * TOKENS_IN_VM -
                                      floor(left / LONG_TOKENS) * LONG_TOKENS;
    w->r.recomputed += all;
    w->r.recomputed_kv += fmax(0, all - room);
    w->r.recomputed_long_first += long_first;
    w->r.recomputed_long_last += fmax(0, long_last);
}

static void take_reclaimed(struct world *w, int dom, int64_t s)
{
    struct domain *d = &w->domains[dom];
    double slots = ready_slots(d, s);
    double busy = slots > 0 ? fmin(1, d->demand / slots) * SLOTS : 0;
    for (int i = 0; i < MAX_HELD; i++) {
        struct held *v = &d->vms[i];
        if (v->cls < 0 || v->reclaim_s < 0 || v->reclaim_s > s)
            continue;
        if (v->ready_s <= s)
            count_recompute(w, v, busy);
        v->cls = -1;
    }
}

static void plan_domain(struct world *w, int dom, int64_t s)
{
    struct domain *d = &w->domains[dom];
    struct rk_plan_class *classes = w->classes[dom];
    fill_classes(w->u, classes, s, dom);
    double elsewhere = 0;
    for (int k = 0; k < DOMAINS; k++)
        if (k != dom)
            elsewhere +=
                fmax(0, ready_slots(&w->domains[k], s) - w->domains[k].demand);
    struct rk_plan_input in = {
        .classes_len = 3,
        .slots_per_vm = SLOTS,
        .demand_slots = d->demand,
        .urgent_slots = d->demand * w->u->urgent_share,
        .elsewhere_slots = elsewhere,
        .headroom = 0.2,
        .weight_cost = w->u->weight_cost,
        .weight_recompute = w->u->weight_recompute,
        .tokens_per_reclaim =
            SLOTS * (LONG_SHARE * LONG_TOKENS + (1 - LONG_SHARE) * TOKENS_IN_VM),
        .price_per_mtoken = MTOKEN_PRICE * 10,
        .now_ms = s * 1000,
    };
    for (int c = 0; c < 3; c++) {
        classes[c].held = count_held(d, c, s, false);
        classes[c].ready = count_held(d, c, s, true);
    }
    memcpy(in.classes, classes, 3 * sizeof(*classes));
    struct rk_plan plan;
    if (w->policy == PLAN)
        rk_plan_make(&in, &plan);
    else
        baseline(&in, w->policy, &plan);
    for (size_t i = 0; i < plan.len; i++) {
        const struct rk_plan_action *a = &plan.actions[i];
        for (int n = 0; n < a->count; n++) {
            if (a->kind == RK_PLAN_STOP) {
                stop(d, (int)a->cls);
            } else if (classes[a->cls].reclaimable && s < w->refuse_until_s[dom]) {
                w->r.refused++;
                rk_plan_refused(&classes[a->cls], s * 1000);
                break;
            } else {
                rk_plan_started(&classes[a->cls]);
                start(d, (int)a->cls, s);
            }
        }
    }
}

static void account(struct world *w, int64_t s)
{
    double spare = 0, short_urgent = 0, short_all = 0;
    for (int dom = 0; dom < DOMAINS; dom++) {
        struct domain *d = &w->domains[dom];
        double slots = ready_slots(d, s), urgent = d->demand * w->u->urgent_share;
        for (int i = 0; i < MAX_HELD; i++)
            if (d->vms[i].cls >= 0)
                w->r.cost += w->classes[dom][d->vms[i].cls].price * STEP_S / 3600;
        spare += fmax(0, slots - d->demand);
        short_urgent += fmax(0, urgent - slots);
        short_all += fmax(0, d->demand - slots);
        w->r.met += d->demand * STEP_S;
    }
    /* Overflow crosses to other failure domains; what finds no slot misses. */
    double miss = fmax(0, short_all - spare);
    w->r.missed += miss * STEP_S;
    w->r.met -= miss * STEP_S;
    w->r.urgent_missed += fmax(0, short_urgent - spare) * STEP_S;
}

static struct result simulate(const struct user *u, enum policy policy)
{
    struct world w = {.u = u, .policy = policy, .rng.state = u->seed};
    for (int dom = 0; dom < DOMAINS; dom++)
        for (int i = 0; i < MAX_HELD; i++)
            w.domains[dom].vms[i].cls = -1;
    for (int64_t s = 0; s < DAY_S; s += STEP_S) {
        for (int dom = 0; dom < DOMAINS; dom++) {
            w.domains[dom].demand = demand_at(u, s, dom);
            maybe_wave(&w, dom, s);
            take_reclaimed(&w, dom, s);
            plan_domain(&w, dom, s);
        }
        if (s > 600) /* past the first starts */
            account(&w, s);
    }
    return w.r;
}

static void print(const struct user *u, const char *what, const struct result *r)
{
    printf(
        "{\"user\":\"%s\",\"policy\":\"%s\",\"cost\":%.2f,"
        "\"cost_per_1000_slot_s_met\":%.4f,\"missed_pct\":%.3f,"
        "\"urgent_missed_pct\":%.4f,\"recomputed_no_kv\":%.0f,\"recomputed_kv\":%."
        "0f,"
        "\"recomputed_long_first\":%.0f,\"recomputed_long_last\":%.0f,\"waves\":%d,"
        "\"refused\":%d}\n",
        u->name, what, r->cost, r->cost / r->met * 1000,
        100 * r->missed / (r->met + r->missed),
        100 * r->urgent_missed / (r->met + r->missed), r->recomputed,
        r->recomputed_kv, r->recomputed_long_first, r->recomputed_long_last,
        r->waves, r->refused);
}

static const struct argp argp = {
    NULL, NULL, NULL, "Measure the vm plan over both users' days.", 0, 0, 0};

int main(int argc, char **argv)
{
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    for (size_t i = 0; i < RK_ARRAY_LEN(users); i++) {
        for (int p = PLAN; p <= CHEAPEST_FIRST; p++) {
            struct result r = simulate(&users[i], (enum policy)p);
            print(&users[i], policy_names[p], &r);
        }
        /* The other user's weights on this day: do they matter? */
        struct user swapped = users[i];
        swapped.weight_cost = users[1 - i].weight_cost;
        swapped.weight_recompute = users[1 - i].weight_recompute;
        struct result r = simulate(&swapped, PLAN);
        print(&users[i], "plan, other user's weights", &r);
    }
    return 0;
}
