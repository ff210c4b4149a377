/* What VMs say of themselves: what is kept of it, for how long, and which answer
 * decides. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/vm_signals.h"

#define LIFE      0x5eedULL
#define MINUTE_MS (60 * RK_MS_PER_S)

static const struct rk_vm_said nothing = {.unlimited = true};
static const struct rk_vm_said ten = {.limited = true, .limit_per_s = 10};
static const struct rk_vm_said leaves = {.leaving = true};
static const struct rk_vm_said rests = {.rest_ms = 3000};

static struct rk_vm_signals table;

static int empty(void **state)
{
    (void)state;
    rk_vm_signals_free(&table);
    return 0;
}

static struct rk_vm_signal *row(int64_t now_ms)
{
    return rk_vm_signals_at(&table, LIFE, "a-hall", now_ms);
}

static void the_last_answer_decides_on_the_limit(void **state)
{
    (void)state;
    struct rk_vm_signal *v = row(0);
    assert_int_equal(rk_vm_signal_hear(v, &ten, 10), RK_VM_LIMIT_CHANGED);
    assert_true(v->limited);
    assert_int_equal(rk_vm_signal_hear(v, &ten, 20), 0);
    assert_int_equal(v->limit_ms, 20);
    assert_int_equal(rk_vm_signal_hear(v, &nothing, 30), RK_VM_LIMIT_CHANGED);
    assert_false(v->limited);
}

/* An answer that can't be told to be the VM's says nothing about its limit. */
static void an_answer_of_nobody_ends_no_limit(void **state)
{
    (void)state;
    const struct rk_vm_said nobody = {0};
    struct rk_vm_signal *v = row(0);
    rk_vm_signal_hear(v, &ten, 10);
    assert_int_equal(rk_vm_signal_hear(v, &nobody, 20), 0);
    assert_true(v->limited);
}

static void leaving_is_for_good(void **state)
{
    (void)state;
    struct rk_vm_signal *v = row(0);
    assert_int_equal(rk_vm_signal_hear(v, &leaves, 10), RK_VM_LEAVING_CHANGED);
    assert_int_equal(rk_vm_signal_hear(v, &nothing, 20), 0);
    assert_true(v->leaving);
}

static void a_rest_lasts_until_the_latest_end_asked_for(void **state)
{
    (void)state;
    const struct rk_vm_said shorter = {.rest_ms = 100};
    struct rk_vm_signal *v = row(0);
    assert_int_equal(rk_vm_signal_hear(v, &rests, 10), RK_VM_REST_CHANGED);
    assert_int_equal(rk_vm_signal_hear(v, &shorter, 20), 0);
    assert_int_equal(v->rest_until_ms, 3010);
}

static void it_is_kept_for_two_minutes_and_through_a_rest(void **state)
{
    (void)state;
    const struct rk_vm_said long_rest = {.rest_ms = 10 * MINUTE_MS};
    rk_vm_signal_hear(row(0), &leaves, 0);
    rk_vm_signals_forget(&table, 2 * MINUTE_MS);
    assert_non_null(rk_vm_signals_find(&table, LIFE));
    rk_vm_signals_forget(&table, 2 * MINUTE_MS + 1);
    assert_null(rk_vm_signals_find(&table, LIFE));
    rk_vm_signal_hear(row(0), &long_rest, 0);
    rk_vm_signals_forget(&table, 9 * MINUTE_MS);
    assert_non_null(rk_vm_signals_find(&table, LIFE));
}

static void it_is_bounded(void **state)
{
    (void)state;
    for (uint64_t life = 1; life <= RK_VM_SIGNALS_MAX; life++)
        assert_non_null(rk_vm_signals_at(&table, life, "", 0));
    assert_null(rk_vm_signals_at(&table, RK_VM_SIGNALS_MAX + 1, "", 0));
    assert_int_equal(rk_vm_signals_len(&table), RK_VM_SIGNALS_MAX);
}

/* The table marks free places by two values that a peer could tell. */
static void no_life_can_pass_for_a_free_place(void **state)
{
    (void)state;
    assert_null(rk_vm_signals_at(&table, UINT64_MAX, "", 0));
    assert_null(rk_vm_signals_at(&table, UINT64_MAX - 1, "", 0));
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, empty, empty)

int main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(the_last_answer_decides_on_the_limit),
        TEST(an_answer_of_nobody_ends_no_limit),
        TEST(leaving_is_for_good),
        TEST(a_rest_lasts_until_the_latest_end_asked_for),
        TEST(it_is_kept_for_two_minutes_and_through_a_rest),
        TEST(it_is_bounded),
        TEST(no_life_can_pass_for_a_free_place),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
