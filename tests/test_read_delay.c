/* Tests of the delay before a restarting node reads the store, against a simulated
 * store link.
 *
 * It guards against this overload: all of a fleet of up to 3,552 nodes are killed
 * and start within a second. Each reads the lists of nodes and VMs and the
 * settings, which grow with the fleet, so that the total grows with its square. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>

#include "common/util.h"
#include "core/read_delay.h"

/* Capacities of nodes, in thousandths of a core. */
#define LARGE_CAPACITY 1000
#define SMALL_CAPACITY 120

#define LINK_BYTES_PER_MS 125000.0 /* of the store's link */
#define NODE_BYTES        250.0    /* a node's row in the node list */
#define VM_BYTES          300.0
#define VMS_PER_NODE      1
#define SETTINGS_BYTES    200000.0

/* A read of the store without a first byte by then is repeated. */
#define FIRST_BYTE_TIMEOUT_MS 1500
/* By then the nodes that read first have sent the data to the others. */
#define PEERS_ANSWER_MS 900

/* Returns the bytes that each node reads. */
static double bytes_per_node(int nodes)
{
    return nodes * (NODE_BYTES + VMS_PER_NODE * VM_BYTES) + SETTINGS_BYTES;
}

/* Returns the longest wait for the store's link, in ms. A node reads if its delay
 * ends before its peers send it the data. large: number of nodes with
 * LARGE_CAPACITY; the others have SMALL_CAPACITY. */
static double longest_wait_ms(int nodes, int large)
{
    struct rk_fleet_size size = {0};
    struct rk_rng rng = {.state = 7};
    int readers[8000] = {0}; /* by the ms in which they start to read */
    for (int i = 0; i < nodes; i++)
        rk_fleet_size_add(&size, i < large ? LARGE_CAPACITY : SMALL_CAPACITY);
    assert_int_equal(size.nodes, nodes);
    assert_int_equal(size.largest, large);
    for (int i = 0; i < nodes; i++) {
        double draw = rk_rng_below(&rng, 1000) / 1000.0;
        int64_t wait_ms = rk_read_delay_ms(
            &size, i < large ? LARGE_CAPACITY : SMALL_CAPACITY, draw);
        readers[wait_ms < 7999 ? wait_ms : 7999]++;
    }
    double queue = 0, longest = 0;
    for (int ms = 0; ms < PEERS_ANSWER_MS; ms++) {
        queue += readers[ms] * bytes_per_node(nodes);
        longest = queue / LINK_BYTES_PER_MS > longest ? queue / LINK_BYTES_PER_MS
                                                      : longest;
        queue = queue > LINK_BYTES_PER_MS ? queue - LINK_BYTES_PER_MS : 0;
    }
    return longest;
}

/* Guards against a store that cannot answer the reads in time: without delays,
 * those of 985 nodes would take its link more than 5 s. */
static void a_large_fleet_is_answered_in_time(void **state)
{
    (void)state;
    assert_true(985 * bytes_per_node(985) / LINK_BYTES_PER_MS >
                3 * FIRST_BYTE_TIMEOUT_MS);
    assert_true(longest_wait_ms(985, 50) < FIRST_BYTE_TIMEOUT_MS / 2);
    assert_true(longest_wait_ms(1776, 90) < FIRST_BYTE_TIMEOUT_MS);
}

/* Guards against an overload of the store by a fleet of equal machines, where none
 * are larger than others and read before them. */
static void equally_large_nodes_are_answered_in_time(void **state)
{
    (void)state;
    assert_true(longest_wait_ms(100, 100) < FIRST_BYTE_TIMEOUT_MS / 4);
    assert_true(longest_wait_ms(300, 300) < FIRST_BYTE_TIMEOUT_MS / 2);
}

/* Guards against a needless delay in a small fleet, or before its size is known. */
static void a_small_fleet_reads_without_delay(void **state)
{
    (void)state;
    struct rk_fleet_size size = {0};
    /* The size of the fleet is unknown. */
    assert_int_equal(rk_read_delay_ms(&size, SMALL_CAPACITY, 1), 0);
    for (int i = 0; i < 12; i++)
        rk_fleet_size_add(&size, SMALL_CAPACITY);
    assert_int_equal(rk_read_delay_ms(&size, SMALL_CAPACITY, 1), 0);
}

/* Guards against nodes that wait indefinitely for others that may never restart,
 * and against small nodes that read in the first second, when the large ones do. */
static void each_delay_is_bounded(void **state)
{
    (void)state;
    struct rk_fleet_size size = {
        .nodes = 985, .largest = 50, .capacity = LARGE_CAPACITY};
    assert_true(rk_read_delay_ms(&size, LARGE_CAPACITY, 1) <= 200);
    assert_true(rk_read_delay_ms(&size, SMALL_CAPACITY, 0) >= 1000);
    assert_true(rk_read_delay_ms(&size, SMALL_CAPACITY, 1) <= 5000);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_large_fleet_is_answered_in_time),
        cmocka_unit_test(equally_large_nodes_are_answered_in_time),
        cmocka_unit_test(a_small_fleet_reads_without_delay),
        cmocka_unit_test(each_delay_is_bounded),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
