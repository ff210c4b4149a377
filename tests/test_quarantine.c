/* Which requests are stopped because VMs ended under them: what counts against one,
 * what speaks for it, and how tables of several nodes agree. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/quarantine.h"

#define MINUTE_MS (60 * RK_MS_PER_S)

static struct rk_quarantine table, other;

static struct rk_quarantine_row named(uint64_t request, const char *org)
{
    struct rk_quarantine_row row = {.request = request, .route = "r"};
    rk_strcpy(row.org, sizeof(row.org), org);
    return row;
}

static bool note(uint64_t request, uint32_t vm, enum rk_suspicion suspicion)
{
    const struct rk_quarantine_row names = named(request, "clinic");
    const struct rk_vm_end end = {.vm = vm, .suspicion = suspicion};
    return rk_quarantine_note(&table, &names, end, 1);
}

static bool is_stopped(uint64_t request)
{
    return rk_quarantine_stops(&table, request, 1);
}

static int empty(void **state)
{
    (void)state;
    memset(&table, 0, sizeof(table));
    memset(&other, 0, sizeof(other));
    return 0;
}

static void the_third_vm_that_had_just_begun_it_stops_it(void **state)
{
    (void)state;
    assert_false(note(7, 1, RK_HAD_JUST_BEGUN));
    assert_false(note(7, 2, RK_HAD_JUST_BEGUN));
    assert_false(is_stopped(7));
    assert_true(note(7, 3, RK_HAD_JUST_BEGUN));
    assert_true(is_stopped(7));
    assert_false(is_stopped(8));
}

/* Seen (tests/prop_quarantine.cc): while ten requests ended VMs of 86 nodes, one or
 * two others were stopped that had just begun at three of these. */
static void it_takes_four_while_several_requests_end_vms(void **state)
{
    (void)state;
    for (uint64_t request = 1; request <= RK_QUARANTINE_CROWD; request++) {
        note(request, (uint32_t)(10 * request), RK_HAD_JUST_BEGUN);
        note(request, (uint32_t)(10 * request + 1), RK_HAD_JUST_BEGUN);
    }
    for (uint32_t vm = 1; vm <= 3; vm++)
        assert_false(note(7, vm, RK_HAD_JUST_BEGUN));
    assert_false(is_stopped(7));
    assert_true(note(7, 4, RK_HAD_JUST_BEGUN));
    assert_true(is_stopped(7));
}

static void one_end_counts_once(void **state)
{
    (void)state;
    for (int i = 0; i < 5; i++) {
        note(7, 1, RK_HAD_JUST_BEGUN);
        note(7, 2, RK_HAD_JUST_BEGUN);
    }
    assert_false(is_stopped(7));
}

/* Where VMs end before anything of an answer is seen: three beyond the third. */
static void the_sixth_vm_that_may_have_begun_it_stops_it(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= 5; vm++)
        assert_false(note(7, vm, RK_MAY_HAVE_BEGUN));
    assert_true(note(7, 6, RK_MAY_HAVE_BEGUN));
}

static void a_whole_answer_clears_it(void **state)
{
    (void)state;
    note(7, 1, RK_HAD_JUST_BEGUN);
    note(7, 2, RK_HAD_JUST_BEGUN);
    rk_quarantine_clear(&table, 7, 1);
    note(7, 3, RK_HAD_JUST_BEGUN);
    assert_false(is_stopped(7));
    note(7, 4, RK_HAD_JUST_BEGUN);
    assert_true(note(7, 5, RK_HAD_JUST_BEGUN));
    rk_quarantine_ran(&table, 7, 1); /* it was at work elsewhere meanwhile */
    assert_false(is_stopped(7));
}

/* Two VMs ended under both, but the first request is known to have ended them. */
/* Asked for by many, it runs at several VMs that end at once. */
static void what_ran_to_its_end_here_is_not_suspected(void **state)
{
    (void)state;
    rk_quarantine_ran(&table, 7, 1);
    for (uint32_t vm = 1; vm <= 6; vm++)
        assert_false(note(7, vm, RK_HAD_JUST_BEGUN));
    assert_null(rk_quarantine_find(&table, 7));
    /* Nor does a peer's word stop it, and the peer is told. */
    struct rk_quarantine_row row = named(7, "clinic");
    row.stopped = true;
    rk_quarantine_merge(&other, &row, false, 1);
    assert_true(rk_quarantine_merge(&table, &row, false, 1));
    assert_false(is_stopped(7));
    rk_quarantine_merge(&other, rk_quarantine_find(&table, 7), false, 1);
    assert_false(rk_quarantine_stops(&other, 7, 1));
}

/* VMs of a new version may end under what the old ones ran. */
static void what_ran_long_ago_is_suspected(void **state)
{
    (void)state;
    rk_quarantine_ran(&table, 7, 1 - 2 * MINUTE_MS);
    for (uint32_t vm = 1; vm <= 3; vm++)
        note(7, vm, RK_HAD_JUST_BEGUN);
    assert_true(is_stopped(7));
}

static void an_end_that_is_explained_speaks_against_no_other(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= 3; vm++)
        note(7, vm, RK_HAD_JUST_BEGUN);
    for (uint32_t vm = 1; vm <= 4; vm++)
        note(8, vm, RK_HAD_JUST_BEGUN);
    assert_false(is_stopped(8));
    note(8, 5, RK_HAD_JUST_BEGUN);
    assert_true(note(8, 6, RK_HAD_JUST_BEGUN));
}

/* Its row is full of ends that another request explains: there is room for others.
 */
static void explained_ends_take_no_room(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= RK_QUARANTINE_ENDS; vm++) {
        note(7, vm, RK_HAD_JUST_BEGUN);
        note(8, vm, RK_MAY_HAVE_BEGUN);
    }
    note(8, 21, RK_HAD_JUST_BEGUN);
    note(8, 22, RK_HAD_JUST_BEGUN);
    assert_false(is_stopped(8));
    assert_true(note(8, 23, RK_HAD_JUST_BEGUN));
}

static void what_nodes_saw_adds_up(void **state)
{
    (void)state;
    struct rk_quarantine_row row = named(7, "clinic");
    note(7, 1, RK_HAD_JUST_BEGUN);
    row.ends[0] = (struct rk_vm_end){.vm = 2, .suspicion = RK_HAD_JUST_BEGUN};
    row.ends[1] = (struct rk_vm_end){.vm = 3, .suspicion = RK_HAD_JUST_BEGUN};
    row.ends_len = 2;
    assert_true(rk_quarantine_merge(&table, &row, false, 1));
    assert_true(is_stopped(7));
    assert_true(rk_quarantine_find(&table, 7)->own); /* it was found out here */
    assert_false(rk_quarantine_merge(&table, &row, false, 1));
}

static void what_was_known_before_it_was_cleared_does_not_count(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= 3; vm++)
        note(7, vm, RK_HAD_JUST_BEGUN);
    struct rk_quarantine_row old = *rk_quarantine_find(&table, 7);
    rk_quarantine_clear(&table, 7, 1);
    assert_false(rk_quarantine_merge(&table, &old, false, 1));
    assert_false(is_stopped(7));
    /* A node that had stopped it is told. */
    rk_quarantine_merge(&other, &old, false, 1);
    rk_quarantine_merge(&other, rk_quarantine_find(&table, 7), false, 1);
    assert_false(rk_quarantine_stops(&other, 7, 1));
}

/* One organisation sends thousands of them; that of another stays stopped. */
static void one_organisation_does_not_push_others_out(void **state)
{
    (void)state;
    struct rk_quarantine_row names = named(1, "rank");
    for (uint32_t vm = 1; vm <= 3; vm++)
        rk_quarantine_note(&table, &names,
                           (struct rk_vm_end){vm, RK_HAD_JUST_BEGUN}, 1);
    for (uint32_t i = 0; i < 20 * RK_QUARANTINE_ROWS; i++)
        note(100 + i, 10 + i, RK_HAD_JUST_BEGUN);
    assert_true(is_stopped(1));
    assert_int_equal(table.len, RK_QUARANTINE_ROWS);
}

static void it_is_forgotten_an_hour_after_it_was_asked_for(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= 3; vm++)
        note(7, vm, RK_HAD_JUST_BEGUN);
    note(8, 1, RK_MAY_HAVE_BEGUN);
    assert_true(rk_quarantine_stops(&table, 7, 50 * MINUTE_MS));
    rk_quarantine_expire(&table, 100 * MINUTE_MS);
    assert_true(is_stopped(7));
    assert_null(rk_quarantine_find(&table, 8));
    rk_quarantine_expire(&table, 200 * MINUTE_MS);
    assert_false(is_stopped(7));
}

static void each_part_makes_another_request(void **state)
{
    (void)state;
    const struct rk_request_parts parts = {.org = "clinic",
                                           .method = "POST",
                                           .host = "api.example",
                                           .target = "/a/b",
                                           .body = "x",
                                           .body_len = 1};
    struct rk_request_parts more = parts;
    uint64_t request = rk_quarantine_request(&parts);
    assert_int_equal(request, rk_quarantine_request(&more));
    more.body_len = 0;
    assert_int_not_equal(request, rk_quarantine_request(&more));
    more = parts;
    more.org = "rank";
    assert_int_not_equal(request, rk_quarantine_request(&more));
    more = parts;
    more.host = "api.example/a"; /* the parts don't run into each other */
    more.target = "/b";
    assert_int_not_equal(request, rk_quarantine_request(&more));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(the_third_vm_that_had_just_begun_it_stops_it, empty),
        cmocka_unit_test_setup(it_takes_four_while_several_requests_end_vms, empty),
        cmocka_unit_test_setup(one_end_counts_once, empty),
        cmocka_unit_test_setup(the_sixth_vm_that_may_have_begun_it_stops_it, empty),
        cmocka_unit_test_setup(a_whole_answer_clears_it, empty),
        cmocka_unit_test_setup(what_ran_to_its_end_here_is_not_suspected, empty),
        cmocka_unit_test_setup(what_ran_long_ago_is_suspected, empty),
        cmocka_unit_test_setup(an_end_that_is_explained_speaks_against_no_other,
                               empty),
        cmocka_unit_test_setup(explained_ends_take_no_room, empty),
        cmocka_unit_test_setup(what_nodes_saw_adds_up, empty),
        cmocka_unit_test_setup(what_was_known_before_it_was_cleared_does_not_count,
                               empty),
        cmocka_unit_test_setup(one_organisation_does_not_push_others_out, empty),
        cmocka_unit_test_setup(it_is_forgotten_an_hour_after_it_was_asked_for,
                               empty),
        cmocka_unit_test_setup(each_part_makes_another_request, empty),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
