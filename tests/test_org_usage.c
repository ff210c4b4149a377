/* Tests of the quota usage that nodes of a large fleet report to a bridge: a report
 * has only the rows that changed, and no usage is lost or counted twice. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/org_usage.h"

#define ORGS           333
#define REPORTS        400 /* a quarter of a second apart */
#define UNITS_PER_CALL 4000.0

struct node {
    struct rk_org_use uses[ORGS];
    struct rk_totals reported; /* units last sent to bridges */
    struct rk_rng rng;
};

/* Initialises a node without usage. */
static void init_node(struct node *n, uint64_t seed)
{
    *n = (struct node){.rng.state = seed};
    for (int i = 0; i < ORGS; i++)
        snprintf(n->uses[i].org, sizeof(n->uses[i].org), "org-%d", i);
}

/* Simulates the calls between two reports: half a call a second, each of a random
 * organisation; one of twenty is a refund instead. */
static void run_calls(struct node *n)
{
    for (int i = 0; i < ORGS; i++)
        n->uses[i].demand_per_s *=
            0.78; /* decay of a rate smoothed over a second */
    if (rk_rng_below(&n->rng, 8))
        return;
    struct rk_org_use *use = &n->uses[rk_rng_below(&n->rng, ORGS)];
    use->units += rk_rng_below(&n->rng, 20) ? UNITS_PER_CALL : -UNITS_PER_CALL;
    use->demand_per_s += UNITS_PER_CALL;
}

/* Sends a report with the changed rows to a bridge or, if all is set, one with each
 * row that has usage, as a new bridge receives it. Adds the units by which the
 * bridge's totals grow to *increase. Returns the number of rows. */
static int report(struct node *n, struct rk_org_uses *bridge, bool all,
                  double *increase)
{
    int rows = 0;
    rk_org_uses_begin(bridge);
    for (int i = 0; i < ORGS; i++) {
        const struct rk_org_use *use = &n->uses[i];
        bool changed = rk_org_use_changed(use, &n->reported);
        if (!changed && !(all && use->units != 0))
            continue;
        *increase += rk_org_uses_set_units(bridge, use->org, use->units);
        rk_org_uses_get(bridge, use->org)->demand_per_s = use->demand_per_s;
        rows++;
    }
    return rows;
}

/* Returns the units that all organisations used at a node. */
static double total_units(const struct node *n)
{
    double sum = 0;
    for (int i = 0; i < ORGS; i++)
        sum += n->uses[i].units;
    return sum;
}

/* Guards against reports of unchanged rows: each of 207 nodes of a domain sent each
 * bridge the rows of all organisations with any usage, four times a second. */
static void a_report_has_only_changed_rows(void **state)
{
    (void)state;
    struct node n;
    struct rk_org_uses bridge = {0};
    double increase = 0;
    int rows = 0;
    init_node(&n, 1);
    for (int i = 0; i < REPORTS; i++) {
        run_calls(&n);
        rows += report(&n, &bridge, false, &increase);
        for (int j = 0; j < ORGS; j++) {
            const struct rk_org_use *received =
                rk_org_use_find(bridge.rows, bridge.len, n.uses[j].org);
            double demand = received ? received->demand_per_s : 0;
            assert_true(n.uses[j].demand_per_s - demand < 1.0);
            assert_true(demand <= n.uses[j].demand_per_s);
        }
    }
    assert_true(increase == total_units(&n));
    assert_true(rows < 6 * REPORTS); /* a full report has 333 */
    rk_org_uses_free(&bridge);
    rk_totals_free(&n.reported);
}

/* Guards against a new bridge that loses usage or counts it twice: its first report
 * has all rows, and later ones add only what was used since. */
static void a_new_bridge_counts_all_usage_once(void **state)
{
    (void)state;
    struct node n;
    struct rk_org_uses old_bridge = {0}, new_bridge = {0};
    double increase = 0, initial = 0;
    init_node(&n, 2);
    for (int i = 0; i < REPORTS; i++) {
        run_calls(&n);
        report(&n, &old_bridge, false, &increase);
    }
    report(&n, &new_bridge, true, &initial);
    assert_true(initial == total_units(&n));
    increase = 0;
    for (int i = 0; i < REPORTS; i++) {
        run_calls(&n);
        report(&n, &new_bridge, false, &increase);
    }
    assert_true(initial + increase == total_units(&n));
    rk_org_uses_clear(&new_bridge);
    assert_int_equal(new_bridge.len, 0);
    assert_true(rk_org_uses_set_units(&new_bridge, "org-1", 5) == 5);
    rk_org_uses_free(&old_bridge);
    rk_org_uses_free(&new_bridge);
    rk_totals_free(&n.reported);
}

/* Guards against peers' demand that stays at an organisation which its peers no
 * longer request from, and against demand of a class that outlives the report that
 * had it. */
static void demand_ends_with_the_reports_that_had_it(void **state)
{
    (void)state;
    struct rk_quota q;
    struct rk_quota_decision decision;
    struct rk_org_uses uses = {0};
    struct rk_org_demands sum = {0}, none = {0};
    rk_quota_init(&q, 0, 0, 0);
    rk_quota_admit(&q, "a", 0, 0, 1, 0, 100000, &decision);
    struct rk_org_use *row = rk_org_uses_get(&uses, "a");
    row->demand_per_s = 9;
    row->class_demand_per_s[1] = 9;
    rk_org_demands_add(&sum, uses.rows, uses.len, 1);
    rk_org_demands_add(&sum, uses.rows, uses.len, 1);
    rk_org_demands_apply(&sum, &q);
    assert_true(q.orgs[0].peers_demand[1] == 18 && q.orgs[0].peers_demand[0] == 0);
    rk_org_demands_apply(&none, &q);
    assert_true(q.orgs[0].peers_demand[1] == 0);
    rk_org_uses_begin(&uses);
    rk_org_demands_add(&none, uses.rows, uses.len, 1);
    assert_int_equal(none.len, 0);
    assert_true(uses.rows[0].class_demand_per_s[1] == 0);
    rk_quota_free(&q);
    rk_org_uses_free(&uses);
    rk_org_demands_free(&sum);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_report_has_only_changed_rows),
        cmocka_unit_test(a_new_bridge_counts_all_usage_once),
        cmocka_unit_test(demand_ends_with_the_reports_that_had_it),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
