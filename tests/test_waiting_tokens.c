/* Tests of how much of the prompt tokens that peers reported as waiting at an
 * engine still count when the report is some time old. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>
#include <stdio.h>

#include "core/place_impl.h"

#define VMS          12
#define NOW_MS       10000
#define BRIDGED_MS   450  /* age of a report that came by bridges */
#define FAST_MS      9.0  /* per 1,000 tokens: 111 tokens per ms */
#define SLOW_MS      31.0 /* 32 tokens per ms */
#define FIXED_MS     40.0
#define LEARNT_CALLS 400

static struct rk_vm_row rows[VMS];

/* Creates a placement of one service whose engines take ktoken_ms for 1,000 tokens,
 * as learnt from calls. */
static struct rk_place *create(double ktoken_ms)
{
    struct rk_place *p = rk_place_create("here", 1);
    for (int i = 0; i < VMS; i++) {
        rows[i] = (struct rk_vm_row){
            .service = "llm", .domain = "here", .slots = 64, .leaves_in_ms = -1};
        snprintf(rows[i].id, sizeof(rows[i].id), "vm-%d", i);
    }
    rk_place_set_vms(p, rows, VMS, 0);
    struct rk_engine *engine = &rk_place_service_speed(p, "llm")->engine;
    for (int i = 0; i < LEARNT_CALLS; i++) {
        const struct rk_engine_load load = {.uncached_tokens = 500 + i % 7 * 1500};
        rk_engine_learn(engine, &load,
                        FIXED_MS + load.uncached_tokens / 1000 * ktoken_ms);
    }
    return p;
}

static void report(struct rk_place *p, const char *id, double waiting_tokens)
{
    struct rk_vm_load load = {.running = 1, .waiting_tokens = waiting_tokens};
    rk_strcpy(load.id, sizeof(load.id), id);
    rk_place_set_loads(p, &load, 1, NOW_MS);
}

static struct rk_place_query query(void)
{
    struct rk_place_query q = {
        .service = "llm", .engine = true, .prompt_tokens = 6000};
    rk_place_parse_segments(&q, "aa:500,bb:5000,cc:500");
    return q;
}

/* Guards against the load of 88 nodes that all avoid the engines which were busy
 * half a second ago, and meet at those which were idle: an engine that reads 111
 * tokens per ms has read 30,000 tokens by then, so the preferred VM of a prefix is
 * still chosen. */
static void a_queue_that_was_read_since_is_no_load(void **state)
{
    (void)state;
    struct rk_place_query q = query();
    struct rk_engine_forecast forecast;
    struct rk_place *p = create(FAST_MS);
    const struct rk_place_vm *preferred = rk_place_choose(p, &q, NOW_MS, &forecast);
    rk_place_set_report_lag(p, BRIDGED_MS);
    report(p, preferred->row.id, 30000);
    assert_float_equal(rk_place_peers_waiting(p, preferred, NOW_MS), 0, 0.001);
    assert_ptr_equal(rk_place_choose(p, &q, NOW_MS, &forecast), preferred);
    rk_place_destroy(p);
}

/* Guards against a long queue at a slow engine that is taken for read: of 30,000
 * tokens an engine with 32 per ms has read about 14,000 in 450 ms, and calls go
 * elsewhere. */
static void a_queue_at_a_slow_engine_still_counts(void **state)
{
    (void)state;
    struct rk_place_query q = query();
    struct rk_engine_forecast forecast;
    struct rk_place *p = create(SLOW_MS);
    const struct rk_place_vm *preferred = rk_place_choose(p, &q, NOW_MS, &forecast);
    rk_place_set_report_lag(p, BRIDGED_MS);
    report(p, preferred->row.id, 30000);
    double left = rk_place_peers_waiting(p, preferred, NOW_MS);
    assert_true(left > 12000 && left < 20000);
    assert_ptr_not_equal(rk_place_choose(p, &q, NOW_MS, &forecast), preferred);
    assert_true(rk_place_peers_waiting(p, preferred, NOW_MS + 200) < left);
    assert_float_equal(rk_place_peers_waiting(p, preferred, NOW_MS + 2000), 0,
                       0.001);
    rk_place_destroy(p);
}

/* Guards against a VM that is lastingly slow and counts as if it had read as fast
 * as the mean. */
static void a_slow_vm_has_read_less(void **state)
{
    (void)state;
    struct rk_place *p = create(SLOW_MS);
    struct rk_place_vm *vm = rk_place_find(p, "vm-3");
    report(p, "vm-3", 30000);
    double mean = 30000 - rk_place_peers_waiting(p, vm, NOW_MS + 100);
    vm->speed_factor = 2;
    double slow = 30000 - rk_place_peers_waiting(p, vm, NOW_MS + 100);
    assert_float_equal(slow, mean / 2, 0.001);
    rk_place_destroy(p);
}

/* Guards against reports that are forgotten when none follow: a node that is cut
 * off from its peers must not count below 0 what they had waiting. */
static void without_reports_nothing_waits_after_a_while(void **state)
{
    (void)state;
    struct rk_place *p = create(FAST_MS);
    report(p, "vm-0", 5000);
    assert_float_equal(
        rk_place_peers_waiting(p, rk_place_find(p, "vm-0"), NOW_MS + 60000), 0,
        0.001);
    rk_place_destroy(p);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_queue_that_was_read_since_is_no_load),
        cmocka_unit_test(a_queue_at_a_slow_engine_still_counts),
        cmocka_unit_test(a_slow_vm_has_read_less),
        cmocka_unit_test(without_reports_nothing_waits_after_a_while),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
