/* Tests of the plan that sizes an engine service: how many VMs of which kind to
 * hold in each failure domain. They check single plans, and simulate the plan under
 * reclaims that come in waves. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "core/sizing.h"
#include "core/reclaims.h"

/* ---- the plan ---- */

static struct rk_sizing_input three_domain_input(void)
{
    return (struct rk_sizing_input){
        .domains = {{.name = "a", .price = 0.85, .on_demand = 1, .reclaimable = 1},
                    {.name = "b", .price = 1.2, .on_demand = 1, .reclaimable = 1},
                    {.name = "c", .price = 1.0, .on_demand = 1, .reclaimable = 1}},
        .domains_len = 3,
        .min_vms = 1,
        .max_vms = 6,
        .spot_price = 0.2,
        .may_shrink = true};
}

static int total_of(const struct rk_sizing_target *targets, bool reclaimable)
{
    int sum = 0;
    for (int i = 0; i < 3; i++)
        sum += reclaimable ? targets[i].reclaimable : targets[i].on_demand;
    return sum;
}

/* Guards against a domain without an on-demand VM, and against a plan beyond
 * max_vms. */
static void the_floor_is_one_on_demand_vm_per_domain(void **state)
{
    (void)state;
    struct rk_sizing_target t[RK_SIZING_DOMAINS];
    struct rk_sizing_input in = three_domain_input();
    rk_sizing_plan(&in, t);
    for (int i = 0; i < 3; i++)
        assert_true(t[i].on_demand == 1 && t[i].reclaimable == 2);
    in.need = 8.2;
    rk_sizing_plan(&in, t);
    assert_int_equal(total_of(t, false), 3);
    assert_int_equal(total_of(t, true), 6);
    in.need = 100; /* more than the platform's limit */
    rk_sizing_plan(&in, t);
    for (int i = 0; i < 3; i++)
        assert_int_equal(t[i].on_demand + t[i].reclaimable, 6);
}

/* Guards against replacing idle VMs one for one: 9,695 VMs were held for 385
 * streams a second. Before the first call, as many reclaimable VMs were ordered in
 * addition, and all of those were kept. Quotas bound what callers may demand, and
 * so the VMs needed. */
static void idle_vms_beyond_all_quotas_are_not_replaced(void **state)
{
    (void)state;
    /* Prompt tokens/s that a VM is assumed to prefill before this is measured. */
    const double vm_tokens_per_s = 50000;
    struct rk_sizing_target t[RK_SIZING_DOMAINS];
    struct rk_sizing_input in = {
        .domains_len = 5, .min_vms = 61, .max_vms = 3879, .spot_price = 0.22};
    in.need = in.need_fast =
        fmin(9695, rk_sizing_max_need(333 * 18000.0, vm_tokens_per_s));
    in.idle = in.may_shrink = true;
    for (size_t i = 0; i < in.domains_len; i++)
        in.domains[i] = (struct rk_sizing_domain){.price = 1, .on_demand = 1939};
    rk_sizing_plan(&in, t);
    int reclaimable = 0;
    for (size_t i = 0; i < in.domains_len; i++)
        reclaimable += t[i].reclaimable;
    assert_true(reclaimable < 1000);
    assert_true(reclaimable + 5 * 61 >= ceil(in.need));
    /* Where quotas are twice the demand, or there are none, the bound exceeds the
     * VMs that are held. */
    assert_true(rk_sizing_max_need(245000, vm_tokens_per_s) > 9);
    assert_true(rk_sizing_max_need(INFINITY, vm_tokens_per_s) > 9695);
}

/* Guards against a lack of VMs while no reclaimable ones are available, and just
 * after: on-demand VMs substitute for them, and are released in steps as
 * reclaimable ones become ready again. */
static void on_demand_substitutes_are_released_in_steps(void **state)
{
    (void)state;
    struct rk_sizing_target t[RK_SIZING_DOMAINS];
    struct rk_sizing_input in = three_domain_input();
    for (int i = 0; i < 3; i++)
        in.domains[i].reclaimable = 0;
    in.need = in.need_fast = 7.5;
    in.max_vms = 4; /* reclaimable VMs that are missing must not count against it */
    rk_sizing_plan(&in, t);
    assert_int_equal(total_of(t, false), 3); /* reclaimable VMs are on order */
    in.all_exhausted = true;
    rk_sizing_plan(&in, t);
    assert_int_equal(total_of(t, false), 6);
    assert_int_equal(t[0].on_demand, 4); /* in the cheapest domain */
    in.domains[0].on_demand = 4;
    in.all_exhausted = false;
    rk_sizing_plan(&in, t);
    assert_int_equal(t[0].on_demand, 4); /* nothing replaces them yet */
    in.domains[0].reclaimable = in.domains[1].reclaimable = 2;
    in.domains[2].reclaimable = 1; /* one is missing */
    rk_sizing_plan(&in, t);
    assert_int_equal(t[0].on_demand, 3);
    in.may_shrink = false;
    rk_sizing_plan(&in, t);
    assert_int_equal(t[0].on_demand, 4);
    in.idle = true;
    rk_sizing_plan(&in, t);
    assert_int_equal(t[0].on_demand, 1);
}

/* Guards against substitutes that are kept after all reclaimable VMs are ready. */
static void substitutes_are_released_when_all_are_replaced(void **state)
{
    (void)state;
    struct rk_sizing_target t[RK_SIZING_DOMAINS];
    struct rk_sizing_input in = three_domain_input();
    in.need = in.need_fast = 7.5;
    in.may_shrink = false;
    in.domains[0].on_demand = 4;
    for (int i = 0; i < 3; i++)
        in.domains[i].reclaimable = 2;
    rk_sizing_plan(&in, t);
    assert_int_equal(total_of(t, false), 3);
}

/* Guards against a slow release of many substitutes: at one in 4 s, sixty would
 * take four minutes. Each step of this test represents 4 s. */
static void many_substitutes_are_released_within_a_minute(void **state)
{
    (void)state;
    struct rk_sizing_target t[RK_SIZING_DOMAINS];
    struct rk_sizing_input in = three_domain_input();
    in.max_vms = 40;
    in.need = in.need_fast = 45;
    for (int i = 0; i < 3; i++) {
        in.domains[i].on_demand = 20;
        in.domains[i].reclaimable = 14;
    }
    for (int step = 0; step < 12; step++) {
        rk_sizing_plan(&in, t);
        for (int i = 0; i < 3; i++)
            in.domains[i].on_demand = t[i].on_demand;
    }
    assert_int_equal(total_of(t, false), 3);
}

/* Guards against a need that follows a rise of demand late or drops in a short
 * pause, and against one that ignores faster VMs or the slots per VM. */
static void demand_rises_at_once_and_falls_slowly(void **state)
{
    (void)state;
    double need = rk_sizing_need(60000, 20000, 10, 128);
    assert_true(need > 5 && need < 7);
    assert_true(rk_sizing_need(60000, 80000, 10, 128) < need / 3);
    assert_true(rk_sizing_need(0, 20000, 100, 32) >
                rk_sizing_need(0, 20000, 100, 128));
    assert_true(rk_sizing_smooth(2, 6, 1000, 20000) == 6);
    double later = rk_sizing_smooth(6, 1, 1000, 20000);
    assert_true(later > 5 && later < 6);
    assert_true(rk_sizing_smooth(6, 1, 100000, 20000) == 1);
}

/* ---- waves of reclaims ----
 *
 * All reclaimable VMs of a domain get notice and are gone 2.4 s later. Other
 * domains follow within seconds, and for many seconds no domain has reclaimable
 * capacity. Each one-day trace of the largest customers has such waves. */

#define STEP_MS    200
#define NOTICE_MS  2400
#define BOOT_MS    4000
#define DRAIN_MS   3000
#define NEEDED_VMS 25.0 /* VMs, as given to the plan */
#define BUSY_VMS   15.0 /* VMs that the load keeps busy all the time */
#define SPOT_PRICE 0.22
#define VMS_MAX    2000

struct vm {
    int domain;
    bool reclaimable;
    /* When it serves, gets notice and is gone; INT64_MAX: not known yet. */
    int64_t ready_ms, leaving_ms, gone_ms;
};

struct wave {
    int64_t at_ms;
    int domain;
    int64_t exhausted_ms; /* how long no reclaimable capacity is left */
    bool everywhere;      /* in all domains, not just in this one */
};

/* A cloud with three domains, and the state of the node that orders VMs there. */
struct cloud {
    struct vm vms[VMS_MAX];
    size_t vms_len;
    const struct wave *waves;
    size_t waves_len;
    int64_t now_ms;
    struct rk_reclaims_domain reclaims[3];
    int granted[3];         /* reclaimable VMs by the last order that was granted */
    int64_t reduced_ms;     /* when fewer on-demand VMs were planned last */
    double cost;            /* VM-seconds, weighted by price */
    double served, elapsed; /* seconds, weighted by the share served; all seconds */
    double worst_second;    /* least share served in a second */
    /* worst_second, from when substitutes ordered at the first notice are ready. */
    double worst_booted;
    double second_served; /* share served in the current second so far */
    int orders, refused;
};

static bool is_held(const struct cloud *c, const struct vm *v, int domain,
                    bool reclaimable)
{
    return v->domain == domain && v->reclaimable == reclaimable &&
           c->now_ms < v->leaving_ms;
}

/* Counts the VMs held; if ready is set, only those that have booted. */
static int count_vms(const struct cloud *c, int domain, bool reclaimable,
                     bool ready)
{
    int n = 0;
    for (size_t i = 0; i < c->vms_len; i++)
        n += is_held(c, &c->vms[i], domain, reclaimable) &&
             (!ready || c->vms[i].ready_ms <= c->now_ms);
    return n;
}

/* Is no reclaimable capacity left in a domain? */
static bool is_exhausted(const struct cloud *c, int domain)
{
    for (size_t i = 0; i < c->waves_len; i++) {
        const struct wave *w = &c->waves[i];
        bool matches = w->everywhere || w->domain == domain;
        if (matches && c->now_ms >= w->at_ms &&
            c->now_ms < w->at_ms + w->exhausted_ms)
            return true;
    }
    return false;
}

/* Gives notice to all reclaimable VMs of a domain. */
static void reclaim_all(struct cloud *c, int domain)
{
    for (size_t i = 0; i < c->vms_len; i++) {
        struct vm *v = &c->vms[i];
        if (!is_held(c, v, domain, true))
            continue;
        v->leaving_ms = c->now_ms;
        v->gone_ms = c->now_ms + NOTICE_MS;
    }
}

static void add_vm(struct cloud *c, int domain, bool reclaimable, int64_t boot_ms)
{
    assert_true(c->vms_len < VMS_MAX);
    c->vms[c->vms_len++] = (struct vm){.domain = domain,
                                       .reclaimable = reclaimable,
                                       .ready_ms = c->now_ms + boot_ms,
                                       .leaving_ms = INT64_MAX,
                                       .gone_ms = INT64_MAX};
}

/* Starts or stops VMs of a kind until wanted ones are held. Returns false if no
 * reclaimable capacity is left for that. */
static bool order_vms(struct cloud *c, int domain, bool reclaimable, int wanted)
{
    int held = count_vms(c, domain, reclaimable, false);
    c->orders++;
    if (wanted > held && reclaimable && is_exhausted(c, domain)) {
        c->refused++;
        return false;
    }
    for (; held < wanted; held++)
        add_vm(c, domain, reclaimable, BOOT_MS);
    for (size_t i = c->vms_len; held > wanted && i-- > 0;) {
        struct vm *v = &c->vms[i];
        if (!is_held(c, v, domain, reclaimable))
            continue;
        v->leaving_ms = c->now_ms;
        v->gone_ms = c->now_ms + DRAIN_MS;
        held--;
    }
    return true;
}

/* Orders reclaimable VMs, if the number changed or some were lost, and records the
 * outcome. */
static void order_reclaimable(struct cloud *c, int domain, int wanted)
{
    if (wanted == c->granted[domain] && count_vms(c, domain, true, false) >= wanted)
        return;
    bool more = wanted > count_vms(c, domain, true, true);
    if (!order_vms(c, domain, true, wanted)) {
        rk_reclaims_refused(&c->reclaims[domain], c->now_ms);
        return;
    }
    c->granted[domain] = wanted;
    if (more)
        rk_reclaims_granted(c->reclaims, 3, (size_t)domain);
}

/* Plans for the VMs that are held now, and orders what the plan changes. */
static void plan_and_order(struct cloud *c)
{
    static const double prices[] = {1.0, 0.8, 1.25};
    struct rk_sizing_input in = {.domains_len = 3,
                                 .min_vms = 1,
                                 .max_vms = 40,
                                 .spot_price = SPOT_PRICE,
                                 .need = NEEDED_VMS,
                                 .need_fast = NEEDED_VMS,
                                 .may_shrink = c->now_ms - c->reduced_ms >= 4000};
    struct rk_sizing_target t[RK_SIZING_DOMAINS];
    for (int i = 0; i < 3; i++) {
        struct rk_sizing_domain *d = &in.domains[i];
        *d = (struct rk_sizing_domain){.price = prices[i],
                                       .on_demand = count_vms(c, i, false, true),
                                       .reclaimable = count_vms(c, i, true, true)};
        d->booting = count_vms(c, i, false, false) - d->on_demand;
        rk_reclaims_observe(&c->reclaims[i], d->reclaimable, c->granted[i],
                            c->now_ms);
        d->no_reclaimable = !rk_reclaims_may_order(&c->reclaims[i], c->now_ms);
    }
    in.all_exhausted = rk_reclaims_all_exhausted(c->reclaims, 3);
    rk_sizing_plan(&in, t);
    for (int i = 0; i < 3; i++) {
        if (t[i].on_demand < in.domains[i].on_demand)
            c->reduced_ms = c->now_ms;
        if (t[i].on_demand != count_vms(c, i, false, false))
            order_vms(c, i, false, t[i].on_demand);
        order_reclaimable(c, i, t[i].reclaimable);
    }
}

/* Adds up the cost of a step, and the share of the load that its VMs can serve. */
static void account_step(struct cloud *c)
{
    static const double prices[] = {1.0, 0.8, 1.25};
    double serving = 0, step_s = STEP_MS / 1000.0;
    for (size_t i = 0; i < c->vms_len; i++) {
        const struct vm *v = &c->vms[i];
        if (c->now_ms >= v->gone_ms)
            continue;
        c->cost += step_s * prices[v->domain] * (v->reclaimable ? SPOT_PRICE : 1);
        serving += c->now_ms >= v->ready_ms;
    }
    double share = fmin(1, serving / BUSY_VMS);
    c->served += share * step_s;
    c->elapsed += step_s;
    c->second_served += share * step_s;
    if ((c->now_ms + STEP_MS) % 1000)
        return;
    c->worst_second = fmin(c->worst_second, c->second_served);
    if (c->waves_len && c->now_ms > c->waves[0].at_ms + BOOT_MS + 1000)
        c->worst_booted = fmin(c->worst_booted, c->second_served);
    c->second_served = 0;
}

/* Simulates the waves until ends_ms. At the start, as many VMs as NEEDED_VMS asks
 * for are ready. */
static void simulate(struct cloud *c, const struct wave *waves, size_t len,
                     int64_t ends_ms)
{
    *c = (struct cloud){
        .waves = waves, .waves_len = len, .worst_second = 1, .worst_booted = 1};
    for (int i = 0; i < 3; i++) {
        add_vm(c, i, false, 0);
        for (int j = 0; j < 8; j++)
            add_vm(c, i, true, 0);
        c->granted[i] = 8;
    }
    for (; c->now_ms < ends_ms; c->now_ms += STEP_MS) {
        for (size_t i = 0; i < len; i++)
            if (waves[i].at_ms == c->now_ms)
                reclaim_all(c, waves[i].domain);
        plan_and_order(c);
        account_step(c);
    }
}

/* Guards against substitutes that are ordered too late: three domains lost their
 * VMs within 6 s, and in seconds 14 to 20 only four of ten calls were in time. The
 * first substitutes were ordered 3 s after the first notice and 29 of 40 after 6 s,
 * because the reclaimable VMs of the remaining domains counted in full. Booting
 * takes 4 s. */
static void three_domains_are_reclaimed_and_all_are_exhausted(void **state)
{
    (void)state;
    static const struct wave waves[] = {
        {10000, 2, 14000, true}, {13000, 1, 14000, true}, {16000, 0, 14000, true}};
    static struct cloud c;
    simulate(&c, waves, 3, 60000);
    assert_true(c.served / c.elapsed > 0.97);
    /* The first domain is lost before any substitute has booted. */
    assert_true(c.worst_second > 0.6);
    assert_true(c.worst_booted > 0.99);
    assert_true(c.refused < 40);
    /* The least cost, known in hindsight: reclaimable VMs until they are gone at
     * 12, 15 and 18 s, and again from 34 s, when new ones have booted. In between,
     * substitutes in the cheapest domain, from 12 s, when the first VMs are gone.
     */
    double floor = 60 * (1.0 + 0.8 + 1.25);
    double reclaimable =
        SPOT_PRICE * 8 * (1.25 * 12 + 0.8 * 15 + 1.0 * 18 + 3.05 * 26);
    double substitutes = 0.8 * (BUSY_VMS - 3) * (34 - 12);
    assert_true(c.cost < 1.4 * (floor + reclaimable + substitutes));
}

/* Guards against on-demand VMs that are ordered while other domains still have
 * reclaimable capacity. */
static void one_domain_is_reclaimed_and_others_have_capacity(void **state)
{
    (void)state;
    static const struct wave waves[] = {{10000, 1, 14000, false}};
    static struct cloud c;
    simulate(&c, waves, 1, 60000);
    for (size_t i = 0; i < c.vms_len; i++)
        assert_true(c.vms[i].reclaimable || !c.vms[i].ready_ms);
    assert_true(c.served / c.elapsed > 0.97);
}

/* Guards against a plan that is not stable: in an hour without reclaims it may send
 * hardly any orders. */
static void without_reclaims_hardly_any_orders_are_sent(void **state)
{
    (void)state;
    static struct cloud c;
    simulate(&c, NULL, 0, 3600 * 1000);
    assert_true(c.orders < 12);
    assert_int_equal(c.refused, 0);
    assert_true(c.worst_second > 0.99);
}

/* Guards against a crash of one or two VMs that is taken for a reclaim. */
static void crashes_are_not_taken_for_a_reclaim(void **state)
{
    (void)state;
    struct rk_reclaims_domain d = {0};
    rk_reclaims_observe(&d, 8, 8, 1000);
    rk_reclaims_observe(&d, 6, 8, 1200);
    assert_true(rk_reclaims_may_order(&d, 1200));
    rk_reclaims_observe(&d, 3, 8, 1400);
    assert_false(rk_reclaims_may_order(&d, 1400));
    assert_true(rk_reclaims_may_order(&d, 5000));
}

/* Guards against VMs stopped by an order that are taken for reclaimed ones. */
static void stopped_vms_are_not_taken_for_a_reclaim(void **state)
{
    (void)state;
    struct rk_reclaims_domain d = {0};
    rk_reclaims_observe(&d, 8, 2, 1000);
    rk_reclaims_observe(&d, 2, 2, 1200);
    assert_true(rk_reclaims_may_order(&d, 1200));
}

/* Guards against domains that are not asked again after another one granted an
 * order: they may have capacity again, too. */
static void a_grant_in_one_domain_ends_the_wait_in_all(void **state)
{
    (void)state;
    struct rk_reclaims_domain d[2] = {0};
    assert_false(rk_reclaims_all_exhausted(d, 2));
    rk_reclaims_refused(&d[0], 1000);
    assert_false(rk_reclaims_all_exhausted(d, 2));
    rk_reclaims_refused(&d[1], 1100);
    assert_true(rk_reclaims_all_exhausted(d, 2));
    assert_false(rk_reclaims_may_order(&d[0], 1200));
    rk_reclaims_granted(d, 2, 1);
    assert_false(rk_reclaims_all_exhausted(d, 2));
    assert_true(rk_reclaims_may_order(&d[0], 1300));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_floor_is_one_on_demand_vm_per_domain),
        cmocka_unit_test(idle_vms_beyond_all_quotas_are_not_replaced),
        cmocka_unit_test(on_demand_substitutes_are_released_in_steps),
        cmocka_unit_test(substitutes_are_released_when_all_are_replaced),
        cmocka_unit_test(many_substitutes_are_released_within_a_minute),
        cmocka_unit_test(demand_rises_at_once_and_falls_slowly),
        cmocka_unit_test(three_domains_are_reclaimed_and_all_are_exhausted),
        cmocka_unit_test(one_domain_is_reclaimed_and_others_have_capacity),
        cmocka_unit_test(without_reclaims_hardly_any_orders_are_sent),
        cmocka_unit_test(crashes_are_not_taken_for_a_reclaim),
        cmocka_unit_test(stopped_vms_are_not_taken_for_a_reclaim),
        cmocka_unit_test(a_grant_in_one_domain_ends_the_wait_in_all),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
