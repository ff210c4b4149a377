/* Tests of core/store_era.h: which eras that a store names are believed. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
/* cmocka.h needs the headers above. */
#include <cmocka.h>

#include "core/revision.h"
#include "core/store_era.h"

/* Sends a request and receives its answer at once. */
static bool ask(struct rk_store_era *e, int64_t named, int64_t now_ms)
{
    return rk_store_era_receive(e, rk_store_era_send(e), named, now_ms);
}

static struct rk_store_era in_era(int64_t era)
{
    struct rk_store_era e;
    rk_store_era_init(&e);
    assert_true(ask(&e, era, 0));
    return e;
}

/* Guards against one odd answer after which all true ones are rejected. */
static void one_answer_raises_no_era(void **state)
{
    (void)state;
    for (int64_t odd = 3; odd < RK_REVISION_ERA_MAX; odd *= 7) {
        struct rk_store_era e = in_era(2);
        assert_false(ask(&e, odd, 1));
        assert_true(ask(&e, 2, 2));
        assert_false(ask(&e, odd, 3));
        assert_int_equal(e.newest, 2);
    }
}

/* Guards against restores that go unnoticed. */
static void a_second_answer_raises_the_era(void **state)
{
    (void)state;
    struct rk_store_era e = in_era(2);
    int64_t before = rk_store_era_send(&e), late = rk_store_era_send(&e);
    assert_false(ask(&e, 3, 1));
    /* Both requests were sent before that answer: they confirm and disprove
     * nothing. */
    assert_false(rk_store_era_receive(&e, before, 3, 2));
    assert_true(rk_store_era_receive(&e, late, 2, 2));
    assert_int_equal(e.newest, 2);
    assert_true(ask(&e, 3, 3));
    assert_int_equal(e.newest, 3);
}

/* Guards against belief in late answers of the store as it was before a restore. */
static void late_answers_lower_no_era(void **state)
{
    (void)state;
    struct rk_store_era e = in_era(2);
    int64_t late[10];
    for (int i = 0; i < 10; i++)
        late[i] = rk_store_era_send(&e);
    assert_false(ask(&e, 3, 1));
    assert_true(ask(&e, 3, 2));
    for (int i = 0; i < 10; i++)
        assert_false(rk_store_era_receive(&e, late[i], 2, 3 + i * 1000));
    assert_int_equal(e.newest, 3);
    assert_true(ask(&e, 3, 20000));
    assert_int_equal(e.shift, 0);
}

/* Guards against a lower era that is believed while the newest one is named too. */
static void answers_of_both_eras_lower_none(void **state)
{
    (void)state;
    struct rk_store_era e = in_era(3);
    for (int i = 0; i < 100; i++)
        assert_true(ask(&e, i % 10 ? 2 : 3, i * 100) == (i % 10 == 0));
    assert_int_equal(e.shift, 0);
}

/* Guards against an era far ahead that is never left, and against revisions that go
 * back when it is. */
static void a_wrong_era_is_left_under_a_higher_number(void **state)
{
    (void)state;
    struct rk_store_era e = in_era(2);
    ask(&e, 1000, 0);
    assert_true(ask(&e, 1000, 1));
    int64_t now_ms = 2;
    while (!ask(&e, 2, now_ms))
        now_ms += 100;
    assert_in_range(now_ms, 3000, 3200);
    assert_int_equal(e.newest, 1001);
    /* The store's next restore counts on. */
    assert_false(ask(&e, 3, now_ms));
    assert_true(ask(&e, 3, now_ms));
    assert_int_equal(e.newest, 1002);
}

/* Guards against revisions that peers take for too far ahead, and against a store
 * without eras that is left for one that names an era once. */
static void an_era_far_ahead_is_counted_as_the_next(void **state)
{
    (void)state;
    for (int64_t era = 0; era < 3; era++) {
        struct rk_store_era e = in_era(era);
        assert_false(ask(&e, 4000000, 0));
        assert_true(ask(&e, era, 0));
        assert_false(ask(&e, 4000000, 0));
        assert_true(ask(&e, 4000000, 0));
        assert_int_equal(e.newest, era + 1);
        assert_false(ask(&e, 4000001, 0));
        assert_true(ask(&e, 4000001, 0));
        assert_int_equal(e.newest, era + 2);
        for (int64_t now_ms = 0; now_ms < 3000; now_ms += 100)
            assert_false(ask(&e, era, now_ms));
        assert_true(ask(&e, era, 3000));
        assert_int_equal(e.newest, era + 3);
    }
}

/* Guards against two answers of an odd era from which a few later ones, in a burst,
 * are enough to leave it. */
static void a_burst_lowers_no_era(void **state)
{
    (void)state;
    struct rk_store_era e = in_era(3);
    for (int i = 0; i < 1000; i++)
        assert_false(ask(&e, 2, i));
    assert_int_equal(e.newest, 3);
}

static void leave(struct rk_store_era *e, int64_t named)
{
    for (int64_t now_ms = 0; now_ms <= 4000; now_ms += 500)
        ask(e, named, now_ms);
}

static void check_agreement(int64_t odd, int64_t agreed)
{
    struct rk_store_era a = in_era(1), b = in_era(1), c = in_era(1);
    ask(&a, odd, 0), ask(&a, odd, 1);
    ask(&b, odd, 0), ask(&b, odd, 1);
    rk_store_era_refer(&c, a.newest);
    /* It confirms by itself what it knows from a peer. */
    ask(&c, odd, 0), ask(&c, odd, 1);
    assert_int_equal(c.newest, a.newest);
    leave(&a, 1);
    rk_store_era_refer(&b, a.newest);
    leave(&b, 1);
    leave(&c, 1);
    for (int i = 0; i < 3; i++) {
        int64_t highest = c.newest > b.newest ? c.newest : b.newest;
        highest = highest > a.newest ? highest : a.newest;
        rk_store_era_refer(&a, highest), leave(&a, 1);
        rk_store_era_refer(&b, highest), leave(&b, 1);
        rk_store_era_refer(&c, highest), leave(&c, 1);
    }
    assert_int_equal(a.newest, agreed);
    assert_int_equal(b.newest, agreed);
    assert_int_equal(c.newest, agreed);
    assert_true(ask(&a, 1, 0) && ask(&b, 1, 0) && ask(&c, 1, 0));
}

/* Guards against processes that drive each other's eras up without end: each hears
 * of the other's number, and leaves the wrong era at another moment. */
static void processes_agree_on_the_number_of_an_era(void **state)
{
    (void)state;
    check_agreement(9, 10);
    check_agreement(4000000, 3);
}

/* Guards against eras beyond those that a revision can hold. */
static void the_last_era_is_not_passed(void **state)
{
    (void)state;
    struct rk_store_era e = in_era(RK_REVISION_ERA_MAX);
    leave(&e, 1);
    assert_int_equal(e.newest, RK_REVISION_ERA_MAX);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(one_answer_raises_no_era),
        cmocka_unit_test(a_second_answer_raises_the_era),
        cmocka_unit_test(late_answers_lower_no_era),
        cmocka_unit_test(answers_of_both_eras_lower_none),
        cmocka_unit_test(a_wrong_era_is_left_under_a_higher_number),
        cmocka_unit_test(an_era_far_ahead_is_counted_as_the_next),
        cmocka_unit_test(a_burst_lowers_no_era),
        cmocka_unit_test(processes_agree_on_the_number_of_an_era),
        cmocka_unit_test(the_last_era_is_not_passed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
