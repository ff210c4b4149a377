/* Tests of the quarantine of prompt segments: how prompts are parsed, which segment
 * is to blame for the ends of VMs, what clears one, and what protects those that
 * many prompts share. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <cmocka.h>

#include "core/quarantine.h"

#define START_MS 100000 /* long after the node has started */
#define RUN_MS   50     /* from the begin of a run to the end of its VM */
#define LATER_MS 5000   /* by then all ends count */

enum { CRASHING = 71, COMMON = 72, THIRD = 73 };

static struct rk_quarantine table, other;

static struct rk_quarantine_row make_row(uint64_t key)
{
    struct rk_quarantine_row row = {.request = key};
    rk_strcpy(row.org, sizeof(row.org), "clinic");
    rk_strcpy(row.segment, sizeof(row.segment), "dead0001");
    rk_strcpy(row.service, sizeof(row.service), "llm");
    return row;
}

/* Records that a VM ended at a time, just after it had begun a request with a
 * segment. */
static void note_end(struct rk_quarantine *q, uint64_t key, uint32_t vm,
                     uint32_t request, int64_t at_ms)
{
    const struct rk_quarantine_row names = make_row(key);
    const struct rk_vm_end end = {.vm = vm,
                                  .suspicion = RK_HAD_JUST_BEGUN,
                                  .carrier = request,
                                  .began_ms = at_ms - RUN_MS,
                                  .at_ms = at_ms};
    rk_quarantine_add_end(q, &names, end, at_ms);
}

/* Records ends of VMs, one after the other, each under another request. */
static void note_ends(struct rk_quarantine *q, uint64_t key, uint32_t ends)
{
    for (uint32_t i = 1; i <= ends; i++)
        note_end(q, key, i, 100 + i, START_MS + (int64_t)i * 2 * RUN_MS);
}

static bool is_stopped(struct rk_quarantine *q, uint64_t key)
{
    rk_quarantine_judge_segments(q, START_MS + LATER_MS);
    return rk_quarantine_is_stopped(q, key, START_MS + LATER_MS);
}

static int reset_tables(void **state)
{
    (void)state;
    memset(&table, 0, sizeof(table));
    memset(&other, 0, sizeof(other));
    return 0;
}

/* Guards against a segment that crashes VMs under ever new requests: three ends,
 * one after the other, must stop it. */
static void three_ends_in_a_row_stop_a_segment(void **state)
{
    (void)state;
    note_ends(&table, CRASHING, 2);
    assert_false(is_stopped(&table, CRASHING));
    note_ends(&table, CRASHING, 3);
    assert_true(is_stopped(&table, CRASHING));
}

/* Guards against a segment that is blamed for a request that crashes VMs by its own
 * segment, however often its caller sends that. */
static void ends_under_one_request_do_not_stop_its_segments(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= 6; vm++)
        note_end(&table, CRASHING, vm, 100, START_MS + (int64_t)vm * 2 * RUN_MS);
    assert_false(is_stopped(&table, CRASHING));
}

/* Guards against a segment whose calls were at many VMs when these ended at once,
 * as those of a failure domain that loses its power. */
static void ends_at_once_do_not_stop_a_segment(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= 8; vm++)
        note_end(&table, CRASHING, vm, 100 + vm, START_MS + vm);
    assert_false(is_stopped(&table, CRASHING));
}

/* Guards against stopping a segment on which a VM has answered since its first end:
 * no VM survives a crashing one. */
static void a_vm_that_answers_and_lives_clears_a_segment(void **state)
{
    (void)state;
    note_ends(&table, COMMON, 2);
    rk_quarantine_segment_survived(&table, COMMON, START_MS + 3 * RUN_MS,
                                   START_MS + 4 * RUN_MS);
    note_end(&table, COMMON, 3, 103, START_MS + 6 * RUN_MS);
    note_end(&table, COMMON, 4, 104, START_MS + 8 * RUN_MS);
    assert_false(is_stopped(&table, COMMON));
}

/* Guards against a survivor that is known before the ends are: the check whether
 * the VM has ended takes time, and peers tell theirs late. */
static void a_known_survivor_clears_ends_before_it(void **state)
{
    (void)state;
    note_ends(&other, COMMON, 3);
    rk_quarantine_segment_survived(&table, COMMON, START_MS + 4 * RUN_MS,
                                   START_MS + 5 * RUN_MS);
    rk_quarantine_merge(&table, rk_quarantine_find(&other, COMMON), false,
                        START_MS + 10 * RUN_MS);
    assert_false(is_stopped(&table, COMMON));
}

/* Guards against a segment that is never stopped because VMs answered on it before
 * it began to crash them. */
static void a_segment_that_was_sound_before_needs_five_ends(void **state)
{
    (void)state;
    rk_quarantine_segment_survived(&table, CRASHING, START_MS - 1000, START_MS - 1);
    note_ends(&table, CRASHING, 4);
    assert_false(is_stopped(&table, CRASHING));
    note_ends(&table, CRASHING, 5);
    assert_true(is_stopped(&table, CRASHING));
}

/* Guards against stopping a common segment that stands beside the crashing one in
 * all its prompts: the one on which VMs have answered is the less likely cause. */
static void a_common_neighbour_is_not_stopped(void **state)
{
    (void)state;
    rk_quarantine_segment_survived(&table, COMMON, START_MS - 1000, START_MS - 1);
    note_ends(&table, COMMON, 7);
    note_ends(&table, CRASHING, 7);
    assert_true(is_stopped(&table, CRASHING));
    assert_false(is_stopped(&table, COMMON));
}

/* Guards against stopping a frequent segment for a rare one, if both were sound
 * before and at the same ends. */
static void the_rarer_of_two_segments_is_stopped(void **state)
{
    (void)state;
    for (int i = 0; i < 50; i++)
        rk_quarantine_segment_survived(&table, CRASHING, START_MS - 1000,
                                       START_MS - 1);
    rk_quarantine_segment_survived(&table, COMMON, START_MS - 1000, START_MS - 1);
    note_ends(&table, COMMON, 6);
    note_ends(&table, CRASHING, 6);
    assert_false(is_stopped(&table, CRASHING));
    assert_true(is_stopped(&table, COMMON));
}

/* Guards against a segment that is present at some ends of VMs that another segment
 * crashes. */
static void a_segment_at_some_of_the_ends_is_not_stopped(void **state)
{
    (void)state;
    note_ends(&table, CRASHING, 6);
    note_ends(&table, THIRD, 3);
    assert_true(is_stopped(&table, CRASHING));
    assert_false(is_stopped(&table, THIRD));
}

/* Guards against ends at different nodes that never come together: one each
 * suffices where the rows are merged. */
static void ends_at_several_nodes_add_up(void **state)
{
    (void)state;
    for (uint32_t vm = 1; vm <= 3; vm++) {
        memset(&other, 0, sizeof(other));
        note_end(&other, CRASHING, vm, 100 + vm,
                 START_MS + (int64_t)vm * 2 * RUN_MS);
        rk_quarantine_merge(&table, rk_quarantine_find(&other, CRASHING), false,
                            START_MS + 1000);
    }
    assert_true(is_stopped(&table, CRASHING));
}

/* Guards against a common segment that stays stopped after a node that didn't know
 * it had stopped it. */
static void a_node_that_knows_a_segment_as_sound_lets_it_through(void **state)
{
    (void)state;
    note_ends(&other, COMMON, 3);
    assert_true(is_stopped(&other, COMMON));
    rk_quarantine_segment_survived(&table, COMMON, START_MS - 1000, START_MS - 1);
    rk_quarantine_merge(&table, rk_quarantine_find(&other, COMMON), false,
                        START_MS + LATER_MS);
    assert_false(is_stopped(&table, COMMON));
    rk_quarantine_merge(&other, rk_quarantine_find(&table, COMMON), false,
                        START_MS + LATER_MS);
    assert_false(is_stopped(&other, COMMON));
}

/* Guards against a segment that a node lets through again because it knows only
 * from the platform's store, which keeps no ends, that it is stopped. */
static void a_segment_stopped_in_the_store_stays_stopped(void **state)
{
    (void)state;
    struct rk_quarantine_row stored = make_row(CRASHING);
    stored.stopped = true;
    rk_quarantine_segment_survived(&table, CRASHING, START_MS - 1000, START_MS - 1);
    rk_quarantine_merge(&table, &stored, false, START_MS);
    assert_true(is_stopped(&table, CRASHING));
}

/* Guards against a node that has just started, and stops common segments because it
 * has seen no VM answer on them yet. */
static void a_node_that_has_just_started_stops_nothing(void **state)
{
    (void)state;
    table.started_ms = START_MS;
    note_ends(&table, CRASHING, 3);
    rk_quarantine_judge_segments(&table, START_MS + 1000);
    assert_false(rk_quarantine_is_stopped(&table, CRASHING, START_MS + 1000));
    assert_true(is_stopped(&table, CRASHING));
}

/* Guards against crashing segments that are overlooked for their place in the
 * prompt, and against blaming the last one, which is the request's own. */
static void all_segments_but_the_last_are_parsed(void **state)
{
    (void)state;
    char text[1000] = "", ids[1000];
    for (int i = 0; i < 40; i++)
        snprintf(text + strlen(text), sizeof(text) - strlen(text), "%sid%d:%d",
                 i ? "," : "", i, i);
    struct rk_prompt_segments s = rk_prompt_segments_parse("clinic", "llm", text);
    assert_int_equal(39, s.len);
    assert_string_equal("id38", s.items[38].id);
    rk_prompt_segments_format(&s, ids, 12);
    assert_string_equal("id0,id1,id2", ids);
    rk_prompt_segments_free(&s);
    s = rk_prompt_segments_parse("clinic", "llm", "id0:5");
    assert_int_equal(0, s.len);
    rk_prompt_segments_free(&s);
}

/* Guards against a request's own segment that is taken for a shared one because a
 * comma follows it. */
static void a_trailing_comma_begins_no_segment(void **state)
{
    (void)state;
    struct rk_prompt_segments s =
        rk_prompt_segments_parse("clinic", "llm", "id0:5,id1:5,");
    assert_int_equal(1, s.len);
    assert_string_equal("id0", s.items[0].id);
    rk_prompt_segments_free(&s);
}

/* Guards against an organisation that has a segment of another one stopped, by
 * sending its id. */
static void segments_differ_by_organisation_service_and_id(void **state)
{
    (void)state;
    static const char *const texts[][3] = {{"clinic", "llm", "aa:1,b:1"},
                                           {"rank", "llm", "aa:1,b:1"},
                                           {"clinic", "plain", "aa:1,b:1"},
                                           {"clinic", "llm", "ab:1,b:1"}};
    uint64_t keys[RK_ARRAY_LEN(texts)];
    for (size_t i = 0; i < RK_ARRAY_LEN(texts); i++) {
        struct rk_prompt_segments s =
            rk_prompt_segments_parse(texts[i][0], texts[i][1], texts[i][2]);
        keys[i] = s.items[0].key;
        rk_prompt_segments_free(&s);
        for (size_t j = 0; j < i; j++)
            assert_int_not_equal(keys[i], keys[j]);
    }
    struct rk_prompt_segments again =
        rk_prompt_segments_parse("clinic", "llm", "aa:9,other:1");
    assert_int_equal(keys[0], again.items[0].key);
    rk_prompt_segments_free(&again);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test_setup(three_ends_in_a_row_stop_a_segment, reset_tables),
        cmocka_unit_test_setup(ends_under_one_request_do_not_stop_its_segments,
                               reset_tables),
        cmocka_unit_test_setup(ends_at_once_do_not_stop_a_segment, reset_tables),
        cmocka_unit_test_setup(a_vm_that_answers_and_lives_clears_a_segment,
                               reset_tables),
        cmocka_unit_test_setup(a_known_survivor_clears_ends_before_it,
                               reset_tables),
        cmocka_unit_test_setup(a_segment_that_was_sound_before_needs_five_ends,
                               reset_tables),
        cmocka_unit_test_setup(a_common_neighbour_is_not_stopped, reset_tables),
        cmocka_unit_test_setup(the_rarer_of_two_segments_is_stopped, reset_tables),
        cmocka_unit_test_setup(a_segment_at_some_of_the_ends_is_not_stopped,
                               reset_tables),
        cmocka_unit_test_setup(ends_at_several_nodes_add_up, reset_tables),
        cmocka_unit_test_setup(a_node_that_knows_a_segment_as_sound_lets_it_through,
                               reset_tables),
        cmocka_unit_test_setup(a_segment_stopped_in_the_store_stays_stopped,
                               reset_tables),
        cmocka_unit_test_setup(a_node_that_has_just_started_stops_nothing,
                               reset_tables),
        cmocka_unit_test(all_segments_but_the_last_are_parsed),
        cmocka_unit_test(a_trailing_comma_begins_no_segment),
        cmocka_unit_test(segments_differ_by_organisation_service_and_id),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
