/* Tests of the learnt speed of VMs: the record of a VM, and its use in a placement
 * that gets the reports of its peers. For a whole fleet see test_speed_fleet.c. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/place.h"

/* ---- the record ---- */

/* Notes calls at an even rate, each of which takes ratio times as long as expected,
 * and observes them at each interval, up to to_ms. */
static void observe_calls(struct rk_vm_speed *s, struct rk_vm_health *recent,
                          int64_t from_ms, int64_t to_ms, int64_t interval_ms,
                          double ratio)
{
    for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += 50) {
        rk_vm_health_note_time(recent, 100 * ratio, 100, now_ms);
        if (now_ms % interval_ms)
            continue;
        struct rk_vm_health now = rk_vm_health_decayed(recent, now_ms);
        rk_vm_speed_observe(s, &now, now_ms);
    }
}

/* Guards against calls that count several times, because they are in several
 * reports, or that count more often the more reports there are. 20 calls a second
 * leave 20 * 10 / ln 2 = 289 in sums with a half-life of 10 s. */
static void each_call_counts_once(void **state)
{
    (void)state;
    static const int64_t intervals_ms[] = {50, 150, 250, 500, 1000};
    for (size_t i = 0; i < RK_ARRAY_LEN(intervals_ms); i++) {
        struct rk_vm_speed s = {0};
        struct rk_vm_health recent = {0};
        observe_calls(&s, &recent, 1000, 101000, intervals_ms[i], 2);
        assert_true(fabs(s.calls - 288.5) < 0.05 * 288.5);
        assert_true(fabs(s.log_sum / s.calls - log(2)) < 0.01);
        struct rk_vm_speed again = s;
        rk_vm_speed_observe(&again, &recent, s.at_ms);
        assert_memory_equal(&again, &s, sizeof(s));
    }
}

/* Guards against calls that never were: after a gap in the reports, the sums of the
 * last seconds say nothing of the time before. */
static void a_gap_in_reports_adds_no_calls(void **state)
{
    (void)state;
    struct rk_vm_speed s = {0};
    struct rk_vm_health recent = {0};
    observe_calls(&s, &recent, 1000, 61000, 50, 2);
    double before = s.calls, calls_per_s = 20;
    rk_vm_speed_observe(&s, &recent, s.at_ms + 30000);
    assert_true(s.calls < before / 8 + 1.1 * calls_per_s);
    struct rk_vm_speed first = {0}; /* a node that has just started */
    rk_vm_speed_observe(&first, &recent, 1000000);
    assert_true(first.calls > 0.9 * calls_per_s && first.calls < 1.1 * calls_per_s);
}

/* Guards against factors from chance, factors out of bounds, and factors that grow
 * although the evidence shrinks. */
static void the_factor_needs_evidence(void **state)
{
    (void)state;
    assert_true(rk_vm_speed_factor(&(struct rk_vm_speed){0}, 0) == 1);
    double last = 1;
    for (double calls = 1; calls < 1000; calls *= 1.3) {
        struct rk_vm_speed slow = {.log_sum = calls * log(2.4), .calls = calls};
        struct rk_vm_speed fast = {.log_sum = -slow.log_sum, .calls = calls};
        double factor = rk_vm_speed_factor(&slow, 0);
        assert_true(factor >= last && factor < 2.4);
        assert_true(fabs(rk_vm_speed_factor(&fast, 0) * factor - 1) < 1e-9);
        last = factor;
        /* Within chance: less than 1.5 / sqrt(calls). */
        struct rk_vm_speed alike = {.log_sum = 1.4 * sqrt(calls), .calls = calls};
        assert_true(rk_vm_speed_factor(&alike, 0) == 1);
    }
    assert_true(last > 2);
    struct rk_vm_speed few = {.log_sum = 3 * log(2.4), .calls = 3};
    assert_true(rk_vm_speed_factor(&few, 0) < 1.1);
    struct rk_vm_speed stuck = {.log_sum = 2.5e5, .calls = 1e5};
    assert_true(fabs(rk_vm_speed_factor(&stuck, 0) - 4) < 1e-9);
    assert_true(fabs(rk_vm_speed_factor(&stuck, 5) - 0.25) < 1e-9);
}

/* Guards against factors that change when all VMs become slow: their cause is
 * load. */
static void the_factor_is_relative_to_the_mean(void **state)
{
    (void)state;
    struct rk_vm_speed slow = {.log_sum = 100 * log(2.4), .calls = 100};
    double factor = rk_vm_speed_factor(&slow, 0.2);
    slow.log_sum += 100 * log(3);
    assert_true(fabs(rk_vm_speed_factor(&slow, 0.2 + log(3)) - factor) < 1e-9);
}

/* Guards against steps that are not powers of the square root of 2. */
static void steps_are_rounded(void **state)
{
    (void)state;
    static const struct {
        double factor;
        int step;
    } cases[] = {{1, 0}, {1.18, 0},  {0.85, 0},  {1.2, 1},  {1.41, 1}, {2, 2},
                 {4, 4}, {0.71, -1}, {0.25, -4}, {1.67, 1}, {1.7, 2},  {0.83, -1}};
    for (size_t i = 0; i < RK_ARRAY_LEN(cases); i++)
        assert_int_equal(rk_vm_speed_step(cases[i].factor), cases[i].step);
}

/* ---- placement ---- */

#define VMS          12
#define REPORT_MS    250
#define REPORT_CALLS 20 /* calls in the recent sums of each VM that is used */

/* Makes the list of VMs, all of the same service and domain. */
static void make_rows(struct rk_vm_row rows[VMS])
{
    for (int i = 0; i < VMS; i++) {
        rows[i] = (struct rk_vm_row){.service = "llm",
                                     .domain = "here",
                                     .slots = 32,
                                     .started_ms = 1,
                                     .leaves_in_ms = -1};
        snprintf(rows[i].id, sizeof(rows[i].id), "vm-%d", i);
    }
}

static struct rk_place *create_place(const struct rk_vm_row rows[VMS])
{
    struct rk_place *p = rk_place_create("here", 1);
    rk_place_set_vms(p, rows, VMS, 0);
    return p;
}

/* Reports calls of peers at all VMs for some time. ratios: actual over expected
 * time by VM; 0: no calls. */
static void report_calls(struct rk_place *p, const struct rk_vm_row rows[VMS],
                         const double ratios[VMS], int64_t from_ms, int64_t to_ms)
{
    for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += REPORT_MS) {
        struct rk_vm_load loads[VMS] = {0};
        size_t len = 0;
        for (int i = 0; i < VMS; i++) {
            if (ratios[i] <= 0)
                continue;
            struct rk_vm_load *load = &loads[len++];
            rk_strcpy(load->id, sizeof(load->id), rows[i].id);
            load->incarnation = (uint32_t)rk_vm_incarnation_hash(&rows[i]);
            load->health.calls = REPORT_CALLS;
            load->health.log_sum = REPORT_CALLS * log(ratios[i]);
        }
        rk_place_set_loads(p, loads, len, now_ms);
    }
}

static void set_all(double ratios[VMS], double ratio)
{
    for (int i = 0; i < VMS; i++)
        ratios[i] = ratio;
}

static struct rk_place_query prefix_query(int prefix)
{
    struct rk_place_query q = {
        .service = "llm", .engine = true, .prompt_tokens = 4050};
    char parts[64];
    snprintf(parts, sizeof(parts), "p%d:4000,own%d:50", prefix, prefix);
    rk_place_parse_segments(&q, parts);
    return q;
}

/* Returns the number of the first preferred VM of a prefix. */
static int first_preferred(struct rk_place *p, const struct rk_vm_row rows[VMS],
                           int prefix)
{
    const struct rk_place_query q = prefix_query(prefix);
    for (int i = 0; i < VMS; i++)
        if (!rk_place_preferred_index(p, &q, rk_place_find(p, rows[i].id)))
            return i;
    return -1;
}

/* Guards against weights that are ignored, or that move prefixes between VMs whose
 * speed is not known to differ. A VM that takes twice as long is the first
 * preferred one of half as many prefixes as each other VM. */
static void a_slow_vm_is_preferred_by_fewer_prefixes(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS];
    double ratios[VMS];
    int before = 0, after = 0;
    make_rows(rows);
    struct rk_place *p = create_place(rows), *fresh = create_place(rows);
    set_all(ratios, 1);
    ratios[0] = 2.4;
    report_calls(p, rows, ratios, 1000, 61000);
    assert_int_equal(rk_place_find(p, "vm-0")->speed_step, 2);
    for (int i = 0; i < 3000; i++) {
        int old = first_preferred(fresh, rows, i),
            new = first_preferred(p, rows, i);
        assert_true(old == new || old == 0);
        before += old == 0;
        after += new == 0;
    }
    /* 1 / 12 of all prefixes, and 0.5 / 11.5 of them. */
    print_message("first preferred of %d and %d of 3000 prefixes\n", before, after);
    assert_true(before > 220 && before < 280);
    assert_true(after > 100 && after < 160);
    rk_place_destroy(p);
    rk_place_destroy(fresh);
}

/* Guards against a VM that counts as fast and is not preferred more, and against
 * ranks that overflow for it. */
static void a_fast_vm_is_preferred_by_more_prefixes(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS];
    double ratios[VMS];
    int first = 0;
    make_rows(rows);
    struct rk_place *p = create_place(rows);
    set_all(ratios, 1);
    ratios[3] = 0.05;
    report_calls(p, rows, ratios, 1000, 61000);
    assert_int_equal(rk_place_find(p, "vm-3")->speed_step, -RK_VM_SPEED_STEP_MAX);
    for (int i = 0; i < 1000; i++)
        first += first_preferred(p, rows, i) == 3;
    print_message("first preferred of %d of 1000 prefixes\n", first);
    assert_true(first > 220 && first < 310); /* 4 / 15 of them */
    rk_place_destroy(p);
}

/* Guards against a slowdown that counts twice, in the lasting factor and in the
 * short-term one: the predicted time is that of the mean VM times the factor. */
static void a_lasting_slowdown_counts_once(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS];
    double ratios[VMS];
    make_rows(rows);
    struct rk_place *p = create_place(rows);
    struct rk_place_query q = {
        .service = "llm", .engine = true, .prompt_tokens = 1000};
    struct rk_engine_forecast mean, slow;
    set_all(ratios, 1);
    ratios[0] = 2.4;
    for (int i = 0; i < 3; i++)
        q.excluded[q.excluded_len++] = rk_place_find(p, rows[i].id)->hash;
    report_calls(p, rows, ratios, 1000, 61000);
    assert_non_null(rk_place_choose(p, &q, 61000, &mean));
    for (int i = 3; i < VMS; i++) {
        rows[i].leaving = true;
        q.excluded_len = 0;
    }
    rows[1].leaving = rows[2].leaving = true;
    rk_place_set_vms(p, rows, VMS, 61000);
    const struct rk_place_vm *vm = rk_place_choose(p, &q, 61000, &slow);
    assert_string_equal(vm->row.id, "vm-0");
    print_message("predicted ratio %.3f, factor %.3f\n", slow.ms / mean.ms,
                  vm->speed_factor);
    assert_true(vm->speed_factor > 1.8 && vm->speed_factor < 2.4);
    assert_true(slow.ms / mean.ms > 0.99 * vm->speed_factor);
    assert_true(slow.ms / mean.ms < 2.4);
    rk_place_destroy(p);
}

/* Guards against a service's estimate that becomes that of the slow VM, so that it
 * counts once more there and is wrong everywhere else. */
static void the_model_learns_the_times_of_a_mean_vm(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS];
    double ratios[VMS];
    make_rows(rows);
    struct rk_place *p = create_place(rows);
    struct rk_place_query q = {
        .service = "llm", .engine = true, .prompt_tokens = 1000};
    set_all(ratios, 1);
    ratios[0] = 2.4;
    report_calls(p, rows, ratios, 1000, 61000);
    struct rk_place_vm *vm = rk_place_find(p, "vm-0");
    for (int i = 0; i < 300; i++) {
        struct rk_place_job job;
        rk_place_note_sent(p, vm, &q, 61000 + i, &job);
        rk_place_note_first_byte(vm, &job,
                                 61000 + i + (int64_t)(100 * vm->speed_factor));
        rk_place_note_end(p, vm, &job, RK_PLACE_DONE, 61000 + i + 500);
    }
    struct rk_engine_load load = {.uncached_tokens = 1000};
    double ms = rk_engine_predict_ms(&vm->speed->engine, &load);
    print_message("estimate %.1f ms\n", ms);
    assert_true(ms > 95 && ms < 105);
    rk_place_destroy(p);
}

/* Guards against VMs that count as slow because all are: the factors are relative
 * to a mean of the long-term records, which rises with them. */
static void all_vms_slow_at_once_changes_no_factor(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS];
    double ratios[VMS];
    make_rows(rows);
    struct rk_place *p = create_place(rows);
    set_all(ratios, 1);
    ratios[0] = 2.4;
    report_calls(p, rows, ratios, 1000, 61000);
    double before = rk_place_find(p, "vm-0")->speed_factor;
    set_all(ratios, 3);
    ratios[0] = 3 * 2.4;
    for (int64_t at_ms = 61000; at_ms < 81000; at_ms += 1000) {
        report_calls(p, rows, ratios, at_ms, at_ms + 1000);
        assert_true(fabs(rk_place_find(p, "vm-0")->speed_factor - before) < 0.01);
        for (int i = 1; i < VMS; i++)
            assert_true(rk_place_find(p, rows[i].id)->speed_factor == 1);
    }
    rk_place_destroy(p);
}

/* Guards against a new incarnation that is taken for the slow one before it, also
 * while reports of that one still arrive. */
static void a_new_incarnation_starts_at_1(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS], old[VMS];
    double ratios[VMS];
    make_rows(rows);
    struct rk_place *p = create_place(rows);
    set_all(ratios, 1);
    ratios[0] = 2.4;
    report_calls(p, rows, ratios, 1000, 31000);
    assert_true(rk_place_find(p, "vm-0")->speed_factor > 1.5);
    memcpy(old, rows, sizeof(old));
    rows[0].started_ms = 2;
    rk_place_set_vms(p, rows, VMS, 31000);
    assert_true(rk_place_find(p, "vm-0")->speed_factor == 1);
    report_calls(p, old, ratios, 31000, 33000);
    assert_true(rk_place_find(p, "vm-0")->speed_factor == 1);
    ratios[0] = 1;
    report_calls(p, rows, ratios, 33000, 63000);
    assert_true(rk_place_find(p, "vm-0")->speed_factor == 1);
    rk_place_destroy(p);
}

/* Guards against a VM that counts as slow for good because nobody calls it any
 * more: its record decays. Also guards against VMs that stay on the list of active
 * ones when that is done. */
static void the_factor_of_an_unused_vm_returns_to_1(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS];
    double ratios[VMS];
    make_rows(rows);
    struct rk_place *p = create_place(rows);
    set_all(ratios, 1);
    ratios[0] = 2.4;
    report_calls(p, rows, ratios, 1000, 31000);
    double before = rk_place_find(p, "vm-0")->speed_factor;
    ratios[0] = 0;
    report_calls(p, rows, ratios, 31000, 51000);
    double later = rk_place_find(p, "vm-0")->speed_factor;
    assert_true(later < before);
    assert_int_equal(rk_place_active_len(p), VMS);
    report_calls(p, rows, ratios, 51000, 91000);
    assert_true(rk_place_find(p, "vm-0")->speed_factor == 1);
    assert_int_equal(rk_place_active_len(p), VMS - 1);
    rk_place_destroy(p);
}

/* Guards against a log line for each report, and against changes that are not
 * logged. */
static void a_change_of_speed_is_returned_once_in_5_s(void **state)
{
    (void)state;
    struct rk_vm_row rows[VMS];
    double ratios[VMS];
    int changes = 0;
    int64_t last_ms = 0;
    make_rows(rows);
    struct rk_place *p = create_place(rows);
    set_all(ratios, 1);
    ratios[0] = 4;
    for (int64_t now_ms = 1000; now_ms < 61000; now_ms += REPORT_MS) {
        report_calls(p, rows, ratios, now_ms, now_ms + REPORT_MS);
        const struct rk_place_vm *vm = rk_place_next_speed_change(p, now_ms);
        if (!vm)
            continue;
        assert_string_equal(vm->row.id, "vm-0");
        assert_null(rk_place_next_speed_change(p, now_ms));
        assert_true(!last_ms || now_ms - last_ms >= 5000);
        last_ms = now_ms;
        changes++;
    }
    assert_true(changes >= 2 && changes <= 4); /* 4 steps or fewer, one at a time */
    assert_int_equal(rk_place_find(p, "vm-0")->reported_step,
                     rk_place_find(p, "vm-0")->speed_step);
    struct rk_place_speed *speeds;
    assert_int_equal(rk_place_copy_speeds(p, &speeds), 1);
    assert_string_equal(speeds[0].vm, "vm-0");
    assert_true(speeds[0].factor_pct > 250 && speeds[0].factor_pct <= 400);
    free(speeds);
    rk_place_destroy(p);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_call_counts_once),
        cmocka_unit_test(a_gap_in_reports_adds_no_calls),
        cmocka_unit_test(the_factor_needs_evidence),
        cmocka_unit_test(the_factor_is_relative_to_the_mean),
        cmocka_unit_test(steps_are_rounded),
        cmocka_unit_test(a_slow_vm_is_preferred_by_fewer_prefixes),
        cmocka_unit_test(a_fast_vm_is_preferred_by_more_prefixes),
        cmocka_unit_test(a_lasting_slowdown_counts_once),
        cmocka_unit_test(the_model_learns_the_times_of_a_mean_vm),
        cmocka_unit_test(all_vms_slow_at_once_changes_no_factor),
        cmocka_unit_test(a_new_incarnation_starts_at_1),
        cmocka_unit_test(the_factor_of_an_unused_vm_returns_to_1),
        cmocka_unit_test(a_change_of_speed_is_returned_once_in_5_s),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
