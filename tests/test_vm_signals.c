/* Tests of the table of signals that VMs advertise in their answers: limits,
 * leaving and cooldowns. They check which answer counts, how long signals are
 * kept, and how nodes share a limit. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>

#include <cmocka.h>

#include "core/vm_signals.h"

#define INCARNATION 0x5eedULL
#define MINUTE_MS   (60 * RK_MS_PER_S)

static const struct rk_vm_advertised no_limit = {.unlimited = true};
static const struct rk_vm_advertised ten_per_s = {.limited = true,
                                                  .limit_per_s = 10};
static const struct rk_vm_advertised leaves = {.leaving = true};
static const struct rk_vm_advertised cooldown = {.cooldown_ms = 3000};

static struct rk_vm_signals table;

/* Empties the table before and after each test. */
static int reset_table(void **state)
{
    (void)state;
    rk_vm_signals_free(&table);
    return 0;
}

static struct rk_vm_signal *get_row(int64_t now_ms)
{
    return rk_vm_signals_get_or_add(&table, INCARNATION, "a-hall", now_ms);
}

/* Guards against an old limit that stays in force, and against a change that is not
 * reported. */
static void the_last_answer_sets_the_limit(void **state)
{
    (void)state;
    struct rk_vm_signal *v = get_row(0);
    assert_int_equal(rk_vm_signal_apply(v, &ten_per_s, 10), RK_VM_LIMIT_CHANGED);
    assert_true(v->limited);
    assert_int_equal(rk_vm_signal_apply(v, &ten_per_s, 20), 0);
    assert_int_equal(v->limit_confirmed_ms, 20);
    assert_int_equal(rk_vm_signal_apply(v, &no_limit, 30), RK_VM_LIMIT_CHANGED);
    assert_false(v->limited);
}

/* Guards against a limit that is ended by an answer of something else than the VM,
 * such as a proxy: only an answer that is known to be the VM's can end it. */
static void an_unidentified_answer_ends_no_limit(void **state)
{
    (void)state;
    const struct rk_vm_advertised unidentified = {0};
    struct rk_vm_signal *v = get_row(0);
    rk_vm_signal_apply(v, &ten_per_s, 10);
    assert_int_equal(rk_vm_signal_apply(v, &unidentified, 20), 0);
    assert_true(v->limited);
}

/* ---- limits ---- */

/* Returns a row with a limit of per_s requests per second. senders: number of nodes
 * that share it, this one included; 0: this one has no share. */
static struct rk_vm_signal *limited_row(double per_s, int senders, int64_t now_ms)
{
    const struct rk_vm_advertised signals = {.limited = true, .limit_per_s = per_s};
    struct rk_vm_signal *v = get_row(now_ms);
    rk_vm_signal_apply(v, &signals, now_ms);
    rk_vm_signal_set_senders(v, senders, now_ms);
    return v;
}

/* Guards against bursts of the nodes that share a limit: if two share two requests
 * per second, each sends one per second, and the first one a second after the limit
 * is known. */
static void senders_space_their_requests_evenly(void **state)
{
    (void)state;
    struct rk_vm_signal *v = limited_row(2, 2, 0);
    assert_int_equal(rk_vm_signal_wait_ms(v, 0), 1000);
    assert_int_equal(rk_vm_signal_wait_ms(v, 1000), 0);
    rk_vm_signal_note_sent(v, 1500);
    assert_int_equal(rk_vm_signal_wait_ms(v, 1600), 900);
    assert_int_equal(rk_vm_signal_wait_ms(v, 2500), 0);
}

/* Guards against a limit that is exceeded when a node takes over a share: the node
 * that had it before may just have sent a request, so the new one waits one
 * interval. */
static void a_share_taken_over_is_used_after_one_interval(void **state)
{
    (void)state;
    struct rk_vm_signal *v = limited_row(1, 0, 0);
    assert_true(rk_vm_signal_blocks(v));
    rk_vm_signal_set_senders(v, 1, 5000);
    assert_false(rk_vm_signal_blocks(v));
    assert_int_equal(rk_vm_signal_wait_ms(v, 5000), 1000);
}

/* Guards against a limit of 0 that never ends: only an answer can end it, so a
 * request is sent each ten seconds. */
static void a_limit_of_zero_allows_a_request_each_ten_seconds(void **state)
{
    (void)state;
    struct rk_vm_signal *v = limited_row(0, 1, 0);
    assert_int_equal(rk_vm_signal_wait_ms(v, 0), 10000);
}

/* Guards against an update of a peer that replaces a newer limit, and against one
 * that does not end an older limit. */
static void the_later_of_two_limits_counts(void **state)
{
    (void)state;
    struct rk_vm_signal update = *limited_row(3, 1, 100);
    struct rk_vm_signal *v = limited_row(10, 1, 200);
    assert_int_equal(rk_vm_signal_merge(v, &update, 300), 0);
    assert_true(v->limit_per_s == 10);
    update.limit_confirmed_ms = 250;
    update.limited = false;
    update.limit_per_s = 0;
    assert_int_equal(rk_vm_signal_merge(v, &update, 300), RK_VM_LIMIT_CHANGED);
    assert_int_equal(rk_vm_signal_wait_ms(v, 300), 0);
}

/* Guards against nodes that disagree on which of them share a limit, or on how
 * many: together they would exceed it or leave it unused. There are a few more
 * senders than requests per second, but no more than nodes. */
static void nodes_agree_on_who_shares_a_limit(void **state)
{
    (void)state;
    const uint64_t nodes[] = {11, 22, 33, 44, 55, 66};
    const double limits[] = {0.2, 1, 2.9, 6, 50};
    const int expected[] = {3, 4, 5, 6, 6};
    for (size_t l = 0; l < RK_ARRAY_LEN(limits); l++) {
        const struct rk_vm_signal v = {.incarnation = INCARNATION,
                                       .limit_per_s = limits[l]};
        int sharing = 0;
        for (size_t i = 0; i < RK_ARRAY_LEN(nodes); i++) {
            uint64_t others[RK_ARRAY_LEN(nodes)];
            size_t len = 0;
            for (size_t j = 0; j < RK_ARRAY_LEN(nodes); j++)
                if (j != i)
                    others[len++] = nodes[j];
            int senders = rk_vm_limit_senders(&v, nodes[i], others, len);
            assert_true(senders == 0 || senders == expected[l]);
            sharing += senders > 0;
        }
        assert_int_equal(sharing, expected[l]);
    }
}

/* Guards against a VM that nodes without a share never use again: those that knew
 * of the end of its limit may have ended, too. Probes begin after the time of five
 * requests at the limit and are spread over the send interval. */
static void an_unconfirmed_limit_is_probed(void **state)
{
    (void)state;
    const struct rk_vm_advertised one_in_five_s = {.limited = true,
                                                   .limit_per_s = 0.2};
    struct rk_vm_signal *v = get_row(0);
    rk_vm_signal_apply(v, &ten_per_s, 10);
    assert_false(rk_vm_limit_is_unconfirmed(v, 5009));
    assert_true(rk_vm_limit_is_unconfirmed(v, 5010));
    rk_vm_signal_apply(v, &ten_per_s, 5010);
    assert_false(rk_vm_limit_is_unconfirmed(v, 10000));
    rk_vm_signal_apply(v, &one_in_five_s, 5010);
    assert_false(rk_vm_limit_is_unconfirmed(v, 30009));
    assert_true(rk_vm_limit_is_unconfirmed(v, 30010));
    rk_vm_signal_set_senders(v, 0, 30010);
    rk_vm_signal_set_senders(v, 4, 30010);
    assert_int_equal(rk_vm_signal_wait_ms(v, 30010), 20000);
    rk_vm_signal_advance_share(v, 0.75);
    assert_int_equal(rk_vm_signal_wait_ms(v, 30010), 5000);
    rk_vm_signal_apply(v, &no_limit, 30020);
    assert_false(rk_vm_limit_is_unconfirmed(v, 90000));
}

/* ---- leaving and cooldown ---- */

/* Guards against new calls at a VM that advertised that it leaves, and then
 * answered without that signal. */
static void leaving_is_final(void **state)
{
    (void)state;
    struct rk_vm_signal *v = get_row(0);
    assert_int_equal(rk_vm_signal_apply(v, &leaves, 10), RK_VM_LEAVING_CHANGED);
    assert_int_equal(rk_vm_signal_apply(v, &no_limit, 20), 0);
    assert_true(v->leaving);
}

/* Guards against a cooldown that a later, shorter one cuts off. */
static void the_latest_end_of_cooldowns_counts(void **state)
{
    (void)state;
    const struct rk_vm_advertised shorter_cooldown = {.cooldown_ms = 100};
    struct rk_vm_signal *v = get_row(0);
    assert_int_equal(rk_vm_signal_apply(v, &cooldown, 10), RK_VM_COOLDOWN_CHANGED);
    assert_int_equal(rk_vm_signal_apply(v, &shorter_cooldown, 20), 0);
    assert_int_equal(v->cooldown_until_ms, 3010);
}

/* Guards against rows that are kept forever or removed too early: they expire two
 * minutes after the last answer or report of a peer, but not during a cooldown. */
static void rows_expire_after_two_minutes_and_any_cooldown(void **state)
{
    (void)state;
    const struct rk_vm_advertised long_cooldown = {.cooldown_ms = 10 * MINUTE_MS};
    rk_vm_signal_apply(get_row(0), &leaves, 0);
    rk_vm_signals_expire(&table, 2 * MINUTE_MS);
    assert_non_null(rk_vm_signals_find(&table, INCARNATION));
    rk_vm_signals_expire(&table, 2 * MINUTE_MS + 1);
    assert_null(rk_vm_signals_find(&table, INCARNATION));
    rk_vm_signal_apply(get_row(0), &long_cooldown, 0);
    rk_vm_signals_expire(&table, 9 * MINUTE_MS);
    assert_non_null(rk_vm_signals_find(&table, INCARNATION));
}

/* Guards against a table that grows without bound when peers send many
 * incarnations. */
static void the_table_is_bounded(void **state)
{
    (void)state;
    for (uint64_t hash = 1; hash <= RK_VM_SIGNALS_MAX; hash++)
        assert_non_null(rk_vm_signals_get_or_add(&table, hash, "", 0));
    assert_null(rk_vm_signals_get_or_add(&table, RK_VM_SIGNALS_MAX + 1, "", 0));
    assert_int_equal(rk_vm_signals_len(&table), RK_VM_SIGNALS_MAX);
}

/* Guards against a corrupted table: two values of the key mark free slots, and a
 * peer could send them as incarnations. */
static void incarnations_that_mark_free_slots_are_refused(void **state)
{
    (void)state;
    assert_null(rk_vm_signals_get_or_add(&table, UINT64_MAX, "", 0));
    assert_null(rk_vm_signals_get_or_add(&table, UINT64_MAX - 1, "", 0));
}

/* ---- brittle VMs ---- */

static const struct rk_vm_advertised brittle = {.brittle = true,
                                                .refusals_per_s = 10};
static const struct rk_vm_advertised sturdy = {.sturdy = true};

/* Guards against a VM that counts as brittle for ever, or is taken for sturdy by an
 * answer of something else than the VM. */
static void the_last_answer_says_whether_a_vm_is_brittle(void **state)
{
    (void)state;
    const struct rk_vm_advertised unidentified = {0};
    struct rk_vm_signal *v = get_row(0);
    assert_int_equal(rk_vm_signal_apply(v, &brittle, 10), RK_VM_BRITTLE_CHANGED);
    assert_int_equal(rk_vm_signal_apply(v, &unidentified, 20), 0);
    assert_true(v->brittle);
    assert_int_equal(rk_vm_signal_apply(v, &sturdy, 30), RK_VM_BRITTLE_CHANGED);
    assert_false(v->brittle);
}

/* Guards against an older report of a peer that undoes what the VM itself said. */
static void an_older_report_does_not_make_a_vm_brittle(void **state)
{
    (void)state;
    struct rk_vm_signal *v = get_row(0);
    struct rk_vm_signal report = {
        .brittle = true, .refusals_per_s = 10, .brittle_confirmed_ms = 20};
    rk_vm_signal_apply(v, &sturdy, 30);
    assert_int_equal(rk_vm_signal_merge(v, &report, 40), 0);
    report.brittle_confirmed_ms = 35;
    assert_int_equal(rk_vm_signal_merge(v, &report, 40), RK_VM_BRITTLE_CHANGED);
}

/* Guards against nodes that together make a brittle VM refuse more than it stands:
 * four nodes that send whenever they may, and are refused each time. */
static void refusals_stay_below_what_a_brittle_vm_stands(void **state)
{
    (void)state;
    struct rk_vm_signal nodes[4] = {{0}};
    int refused = 0;
    for (int n = 0; n < 4; n++)
        rk_vm_signal_apply(&nodes[n], &brittle, 0);
    for (int64_t now_ms = 1000; now_ms < 2000; now_ms++)
        for (int n = 0; n < 4; n++) {
            if (rk_vm_signal_wait_ms(&nodes[n], now_ms))
                continue;
            rk_vm_signal_note_refused(&nodes[n], 4, now_ms);
            refused++;
        }
    assert_in_range(refused, 1, 10);
}

/* Guards against nodes that disagree on which of them share a brittle VM, or that
 * are more than may. */
static void nodes_agree_on_who_shares_a_brittle_vm(void **state)
{
    (void)state;
    uint64_t nodes[30];
    size_t chosen[RK_BRITTLE_SENDERS_MAX], again[RK_BRITTLE_SENDERS_MAX];
    struct rk_vm_signal *v = get_row(0);
    rk_vm_signal_apply(v, &brittle, 0);
    assert_int_equal(rk_vm_brittle_senders_max(v, 6), 6 + 5);
    assert_int_equal(rk_vm_brittle_senders_max(v, 1000), RK_BRITTLE_SENDERS_MAX);
    assert_int_equal(rk_vm_brittle_senders_max(v, 0), 0);
    for (size_t i = 0; i < RK_ARRAY_LEN(nodes); i++)
        nodes[i] = rk_hash(0, &i, sizeof(i));
    assert_int_equal(
        rk_vm_brittle_senders(v, nodes, RK_ARRAY_LEN(nodes), 11, chosen), 11);
    for (size_t i = 0; i < RK_ARRAY_LEN(nodes) / 2; i++) {
        uint64_t other = nodes[i];
        nodes[i] = nodes[RK_ARRAY_LEN(nodes) - 1 - i];
        nodes[RK_ARRAY_LEN(nodes) - 1 - i] = other;
    }
    assert_int_equal(
        rk_vm_brittle_senders(v, nodes, RK_ARRAY_LEN(nodes), 11, again), 11);
    for (size_t i = 0; i < 11; i++)
        assert_int_equal(again[i], RK_ARRAY_LEN(nodes) - 1 - chosen[i]);
    assert_int_equal(rk_vm_brittle_senders(v, nodes, 3, 11, chosen), 3);
}

/* Guards against refusals of a VM that is not brittle keeping calls from it. */
static void a_refusal_of_a_sturdy_vm_causes_no_wait(void **state)
{
    (void)state;
    struct rk_vm_signal *v = get_row(0);
    rk_vm_signal_apply(v, &sturdy, 10);
    rk_vm_signal_note_refused(v, 4, 20);
    assert_int_equal(rk_vm_signal_wait_ms(v, 20), 0);
}

#define TEST(f) cmocka_unit_test_setup_teardown(f, reset_table, reset_table)

int main(void)
{
    const struct CMUnitTest tests[] = {
        TEST(the_last_answer_says_whether_a_vm_is_brittle),
        TEST(an_older_report_does_not_make_a_vm_brittle),
        TEST(refusals_stay_below_what_a_brittle_vm_stands),
        TEST(nodes_agree_on_who_shares_a_brittle_vm),
        TEST(a_refusal_of_a_sturdy_vm_causes_no_wait),
        TEST(the_last_answer_sets_the_limit),
        TEST(an_unidentified_answer_ends_no_limit),
        TEST(senders_space_their_requests_evenly),
        TEST(a_share_taken_over_is_used_after_one_interval),
        TEST(a_limit_of_zero_allows_a_request_each_ten_seconds),
        TEST(the_later_of_two_limits_counts),
        TEST(nodes_agree_on_who_shares_a_limit),
        TEST(an_unconfirmed_limit_is_probed),
        TEST(leaving_is_final),
        TEST(the_latest_end_of_cooldowns_counts),
        TEST(rows_expire_after_two_minutes_and_any_cooldown),
        TEST(the_table_is_bounded),
        TEST(incarnations_that_mark_free_slots_are_refused),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
