/* Nodes that come back all at once, and what they ask of the store, without a
 * network.
 *
 * The pattern: all of a fleet of up to 3,552 nodes are killed and start within a
 * second. What one reads (nodes, settings, vms) grows with the fleet; together they
 * read its square. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>

#include "common/util.h"
#include "core/returning.h"

#define LARGE         1000
#define SMALL         120
#define LINK_PER_MS   125000.0 /* bytes that the store's link carries */
#define NODE_BYTES    250.0    /* of its row in the list */
#define VM_BYTES      300.0
#define VMS_A_NODE    1
#define SETTING_BYTES 200000.0
#define FIRST_BYTE_MS 1500 /* a call that is not answered by then is made again */
#define TOLD_MS       900  /* by then who read first has told the others */

static double bytes_each(int nodes)
{
    return nodes * (NODE_BYTES + VMS_A_NODE * VM_BYTES) + SETTING_BYTES;
}

/* Longest that a reader waits for the store's link, in ms, when those read whose
 * turn comes before they are told. */
static double longest_ms(int nodes, int large)
{
    struct rk_fleet_size size = {0};
    struct rk_rng rng = {.state = 7};
    int readers[8000] = {0}; /* by ms */
    for (int i = 0; i < nodes; i++)
        rk_fleet_size_add(&size, i < large ? LARGE : SMALL);
    assert_int_equal(size.nodes, nodes);
    assert_int_equal(size.largest, large);
    for (int i = 0; i < nodes; i++) {
        double draw = rk_rng_below(&rng, 1000) / 1000.0;
        int64_t wait_ms =
            rk_returning_wait_ms(&size, i < large ? LARGE : SMALL, draw);
        readers[wait_ms < 7999 ? wait_ms : 7999]++;
    }
    double queue = 0, longest = 0;
    for (int ms = 0; ms < TOLD_MS; ms++) {
        queue += readers[ms] * bytes_each(nodes);
        longest = queue / LINK_PER_MS > longest ? queue / LINK_PER_MS : longest;
        queue = queue > LINK_PER_MS ? queue - LINK_PER_MS : 0;
    }
    return longest;
}

/* All at once at 985: 5 s of the link. */
static void a_large_fleet_is_answered_in_time(void **state)
{
    (void)state;
    assert_true(985 * bytes_each(985) / LINK_PER_MS > 3 * FIRST_BYTE_MS);
    assert_true(longest_ms(985, 50) < FIRST_BYTE_MS / 2);
    assert_true(longest_ms(1776, 90) < FIRST_BYTE_MS);
}

static void alike_nodes_are_answered_in_time(void **state)
{
    (void)state;
    assert_true(longest_ms(100, 100) < FIRST_BYTE_MS / 4);
    assert_true(longest_ms(300, 300) < FIRST_BYTE_MS / 2);
}

static void a_small_fleet_waits_for_nothing(void **state)
{
    (void)state;
    struct rk_fleet_size size = {0};
    assert_int_equal(rk_returning_wait_ms(&size, SMALL, 1), 0); /* not known */
    for (int i = 0; i < 12; i++)
        rk_fleet_size_add(&size, SMALL);
    assert_int_equal(rk_returning_wait_ms(&size, SMALL, 1), 0);
}

/* Nobody waits for ever for others that may not come back. */
static void each_gets_a_turn(void **state)
{
    (void)state;
    struct rk_fleet_size size = {.nodes = 985, .largest = 50, .capacity = LARGE};
    assert_true(rk_returning_wait_ms(&size, LARGE, 1) <= 200);
    assert_true(rk_returning_wait_ms(&size, SMALL, 0) >= 1000);
    assert_true(rk_returning_wait_ms(&size, SMALL, 1) <= 5000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_large_fleet_is_answered_in_time),
        cmocka_unit_test(alike_nodes_are_answered_in_time),
        cmocka_unit_test(a_small_fleet_waits_for_nothing),
        cmocka_unit_test(each_gets_a_turn),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
