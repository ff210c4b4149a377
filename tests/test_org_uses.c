/* The use of quotas as nodes of a large fleet tell it to a bridge: only what
 * changed, and nothing is lost or counted twice. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>

#include "core/org_uses.h"

#define ORGS     333
#define REPORTS  400 /* a quarter of a second apart */
#define PER_CALL 4000.0

struct node {
    struct rk_org_use uses[ORGS];
    struct rk_tally told;
    struct rk_rng rng;
};

static void start(struct node *n, uint64_t seed)
{
    *n = (struct node){.rng.state = seed};
    for (int i = 0; i < ORGS; i++)
        snprintf(n->uses[i].org, sizeof(n->uses[i].org), "org-%d", i);
}

/* Half a call a second, each of another organisation, and now and then one that is
 * given back. */
static void serve(struct node *n)
{
    for (int i = 0; i < ORGS; i++)
        n->uses[i].asking *= 0.78; /* of a second, smoothed */
    if (rk_rng_below(&n->rng, 8))
        return;
    struct rk_org_use *use = &n->uses[rk_rng_below(&n->rng, ORGS)];
    use->units += rk_rng_below(&n->rng, 20) ? PER_CALL : -PER_CALL;
    use->asking += PER_CALL;
}

/* What a report brings a bridge; all: each row, as one that just began is told.
 * Returns how many rows it had. */
static int tell(struct node *n, struct rk_org_uses *bridge, bool all, double *rises)
{
    int rows = 0;
    rk_org_uses_begin(bridge);
    for (int i = 0; i < ORGS; i++) {
        const struct rk_org_use *use = &n->uses[i];
        bool news = rk_org_use_is_news(use, &n->told);
        if (!news && !(all && use->units != 0))
            continue;
        *rises += rk_org_uses_rise(bridge, use->org, use->units);
        rk_org_uses_at(bridge, use->org)->asking = use->asking;
        rows++;
    }
    return rows;
}

static double units_of(const struct node *n)
{
    double sum = 0;
    for (int i = 0; i < ORGS; i++)
        sum += n->uses[i].units;
    return sum;
}

/* Seen: each of 207 nodes of a domain told each bridge the rows of all
 * organisations that anybody had used, four times a second. */
static void a_report_has_the_rows_that_changed(void **state)
{
    (void)state;
    struct node n;
    struct rk_org_uses bridge = {0};
    double rises = 0;
    int rows = 0;
    start(&n, 1);
    for (int i = 0; i < REPORTS; i++) {
        serve(&n);
        rows += tell(&n, &bridge, false, &rises);
        for (int j = 0; j < ORGS; j++) {
            const struct rk_org_use *heard =
                rk_org_use_find(bridge.rows, bridge.len, n.uses[j].org);
            double asking = heard ? heard->asking : 0;
            assert_true(n.uses[j].asking - asking < 1.0);
            assert_true(asking <= n.uses[j].asking);
        }
    }
    assert_true(rises == units_of(&n));
    assert_true(rows < 6 * REPORTS); /* of 333 each */
    rk_org_uses_free(&bridge);
    rk_tally_free(&n.told);
}

/* One that begins to bridge starts from all rows, which count as used before. */
static void a_new_bridge_counts_from_where_it_begins(void **state)
{
    (void)state;
    struct node n;
    struct rk_org_uses first = {0}, second = {0};
    double rises = 0, before = 0;
    start(&n, 2);
    for (int i = 0; i < REPORTS; i++) {
        serve(&n);
        tell(&n, &first, false, &rises);
    }
    tell(&n, &second, true, &before);
    assert_true(before == units_of(&n));
    rises = 0;
    for (int i = 0; i < REPORTS; i++) {
        serve(&n);
        tell(&n, &second, false, &rises);
    }
    assert_true(before + rises == units_of(&n));
    rk_org_uses_clear(&second);
    assert_int_equal(second.len, 0);
    assert_true(rk_org_uses_rise(&second, "org-1", 5) == 5);
    rk_org_uses_free(&first);
    rk_org_uses_free(&second);
    rk_tally_free(&n.told);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_report_has_the_rows_that_changed),
        cmocka_unit_test(a_new_bridge_counts_from_where_it_begins),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
