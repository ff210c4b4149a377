/* Unit tests of the reachability of VMs: which get calls, when the path to a
 * service counts as lost, and which VMs are probed. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <string.h>

#include "core/place.h"

#define VMS 9

/* A placement with VMS VMs of one service and one of another. */
static struct rk_place *create(void)
{
    struct rk_place *p = rk_place_create("here", 1);
    struct rk_vm_row rows[VMS + 1] = {{.slots = 8, .leaves_in_ms = -1}};
    for (int i = 0; i <= VMS; i++) {
        rows[i] = rows[0];
        snprintf(rows[i].id, sizeof(rows[i].id), "vm-%d", i);
        rk_strcpy(rows[i].service, RK_ID_MAX, i < VMS ? "plain" : "other");
        rk_strcpy(rows[i].domain, RK_ID_MAX, "here");
    }
    rk_place_set_vms(p, rows, VMS + 1, 0);
    return p;
}

static struct rk_place_vm *vm(struct rk_place *p, int number)
{
    char id[RK_ID_MAX];
    snprintf(id, sizeof(id), "vm-%d", number);
    return rk_place_find(p, id);
}

static int count_probes(struct rk_place *p, int64_t now_ms)
{
    int count = 0;
    while (rk_place_next_probe(p, now_ms))
        count++;
    return count;
}

/* Guards against a VM that gets calls again after a pause, although no connect to
 * it has succeeded: each of its calls would wait for a time-out. */
static void an_unreachable_vm_gets_no_calls_until_a_connect_succeeds(void **state)
{
    (void)state;
    struct rk_place *p = create();
    struct rk_place_query q = {.service = "plain"};
    struct rk_engine_forecast forecast;
    rk_place_note_unreachable(p, vm(p, 0), 100);
    for (int i = 0; i < 1000; i++)
        assert_ptr_not_equal(rk_place_choose(p, &q, 100 + i * 60, &forecast),
                             vm(p, 0));
    rk_place_note_heard(vm(p, 0), false, 60200); /* an old connection */
    assert_int_equal(rk_place_unreachable_len(p), 1);
    rk_place_note_heard(vm(p, 0), true, 60300);
    assert_int_equal(rk_place_unreachable_len(p), 0);
    rk_place_destroy(p);
}

/* Guards against a node that takes the end of a few VMs for the loss of its own
 * path, and against one that waits until every VM has failed. */
static void a_service_is_lost_when_vms_fail_without_a_success(void **state)
{
    (void)state;
    struct rk_place *p = create();
    for (int i = 0; i < 3; i++)
        rk_place_note_unreachable(p, vm(p, i), 100);
    assert_true(rk_place_reaches_service(p, "plain"));
    rk_place_note_heard(vm(p, 5), true, 200);
    rk_place_note_unreachable(p, vm(p, 3), 300);
    assert_true(rk_place_reaches_service(p, "plain"));
    for (int i = 4; i < 7; i++)
        rk_place_note_unreachable(p, vm(p, i), 400);
    assert_false(rk_place_reaches_service(p, "plain"));
    assert_true(rk_place_reaches_service(p, "other"));
    rk_place_note_heard(vm(p, 8), true, 500);
    assert_true(rk_place_reaches_service(p, "plain"));
    rk_place_destroy(p);
}

/* Guards against a service with few VMs that never counts as lost. */
static void a_service_is_lost_when_its_only_vm_fails(void **state)
{
    (void)state;
    struct rk_place *p = create();
    rk_place_note_unreachable(p, vm(p, VMS), 100);
    assert_false(rk_place_reaches_service(p, "other"));
    assert_string_equal(rk_place_next_reach_change(p)->service, "other");
    assert_null(rk_place_next_reach_change(p));
    rk_place_destroy(p);
}

/* Guards against a service that stays lost for ever: all of its VMs were replaced
 * while they were unreachable, and nobody probes the new ones. */
static void a_lost_service_is_reached_when_its_vms_are_replaced(void **state)
{
    (void)state;
    struct rk_place *p = create();
    struct rk_vm_row row = {.slots = 8, .leaves_in_ms = -1};
    const char removed[1][RK_ID_MAX] = {"vm-9"};
    rk_strcpy(row.id, sizeof(row.id), "vm-new");
    rk_strcpy(row.service, sizeof(row.service), "other");
    rk_place_note_unreachable(p, vm(p, VMS), 100);
    rk_place_change_vms(p, NULL, 0, removed, 1, 200);
    assert_null(rk_place_next_probe(p, 300));
    rk_place_change_vms(p, &row, 1, NULL, 0, 400);
    assert_true(rk_place_reaches_service(p, "other"));
    rk_place_destroy(p);
}

/* Guards against a VM that is never used again: it was unreachable when its calls
 * were stopped, so that its probes ended, and gets calls again later. */
static void a_vm_that_is_used_again_is_not_unreachable(void **state)
{
    (void)state;
    struct rk_place *p = create();
    struct rk_vm_row row = vm(p, 0)->row;
    rk_place_note_unreachable(p, vm(p, 0), 100);
    row.blocked = true;
    rk_place_change_vms(p, &row, 1, NULL, 0, 200);
    assert_int_equal(count_probes(p, 1000), 3); /* others, after the failure */
    row.blocked = false;
    rk_place_change_vms(p, &row, 1, NULL, 0, 1100);
    assert_int_equal(rk_place_unreachable_len(p), 0);
    rk_place_destroy(p);
}

/* Guards against a storm of probes, and against a lost path that is found out call
 * by call: the first failure probes the VM itself and three others. */
static void the_first_failure_probes_three_other_vms(void **state)
{
    (void)state;
    struct rk_place *p = create();
    assert_int_equal(count_probes(p, 1000), 0);
    rk_place_note_unreachable(p, vm(p, 0), 1000);
    assert_int_equal(count_probes(p, 1000), 4);
    assert_int_equal(count_probes(p, 1100), 0);
    assert_int_equal(count_probes(p, 1500), 1); /* the unreachable one again */
    rk_place_note_heard(vm(p, 0), true, 1510);
    assert_int_equal(count_probes(p, 3000), 0);
    rk_place_destroy(p);
}

/* Guards against probes at a constant rate of a VM that has been away for long. */
static void probes_become_rarer(void **state)
{
    (void)state;
    struct rk_place *p = create();
    int count = 0;
    rk_place_note_unreachable(p, vm(p, VMS), 1000);
    for (int64_t now_ms = 60000; now_ms < 80000; now_ms += 100)
        count += count_probes(p, now_ms);
    assert_in_range(count, 9, 11);
    rk_place_destroy(p);
}

/* Guards against a node without a path that reports its VMs as failing to its
 * peers, which would avoid them. */
static void calls_lost_with_the_path_do_not_count_in_a_vms_health(void **state)
{
    (void)state;
    struct rk_place *p = create();
    struct rk_place_query q = {.service = "other"};
    struct rk_place_job job;
    struct rk_place_vm *v = vm(p, VMS);
    rk_place_note_sent(p, v, &q, 100, &job);
    rk_place_note_unreachable(p, v, 150);
    rk_place_note_end(p, v, &job, RK_PLACE_LOST, 200);
    assert_true(rk_vm_health_failure_share(&v->health) == 0);
    rk_place_destroy(p);
}

/* Guards against a node that takes the loss of its path for the end of a VM: it has
 * to hear from another VM of the same service, if there is one. */
static void another_vm_of_the_service_shows_that_the_path_is_there(void **state)
{
    (void)state;
    struct rk_place *p = create();
    rk_place_note_heard(vm(p, VMS), false, 150);
    assert_false(rk_place_heard_other(p, vm(p, 0), 100));
    rk_place_note_heard(vm(p, 1), false, 150);
    assert_true(rk_place_heard_other(p, vm(p, 0), 100));
    assert_false(rk_place_heard_other(p, vm(p, 0), 200));
    assert_true(rk_place_heard_other(p, vm(p, VMS), 100));
    rk_place_destroy(p);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_unreachable_vm_gets_no_calls_until_a_connect_succeeds),
        cmocka_unit_test(a_service_is_lost_when_vms_fail_without_a_success),
        cmocka_unit_test(a_service_is_lost_when_its_only_vm_fails),
        cmocka_unit_test(a_lost_service_is_reached_when_its_vms_are_replaced),
        cmocka_unit_test(a_vm_that_is_used_again_is_not_unreachable),
        cmocka_unit_test(the_first_failure_probes_three_other_vms),
        cmocka_unit_test(probes_become_rarer),
        cmocka_unit_test(calls_lost_with_the_path_do_not_count_in_a_vms_health),
        cmocka_unit_test(another_vm_of_the_service_shows_that_the_path_is_there),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
