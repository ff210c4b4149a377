/* How much a node sends in a round over links of any width, without a network.
 *
 * The pattern: all machines of a domain that have a wide link are lost, and one
 * with 20 Mbit/s has to tell some 200 nodes of 19 KB four times a second: 15 MB/s.
 */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>

#include "core/send_budget.h"

#define ROUNDS   400
#define ROUND_MS 250
#define WANTED   (207 * 19 * 1024)
#define HEARD_MS 900 /* a node that is silent for longer isn't heard */
#define SETTLED  20  /* rounds */
#define MB       1000000L

struct link {
    size_t per_round; /* bytes that it carries */
    size_t waiting;
    struct rk_send_budget budget;
    size_t sent; /* in all */
};

/* One round; returns how long what is sent in it is under way, in ms. */
static size_t play(struct link *l)
{
    size_t may = rk_send_budget_begin(&l->budget, l->waiting);
    size_t sent = may < WANTED ? may : WANTED;
    rk_send_budget_note(&l->budget, sent);
    l->waiting += sent;
    l->sent += sent;
    size_t under_way_ms = l->waiting * ROUND_MS / l->per_round;
    l->waiting -= l->waiting < l->per_round ? l->waiting : l->per_round;
    return under_way_ms;
}

static struct link make_link(size_t bytes_per_s)
{
    return (struct link){.per_round = bytes_per_s * ROUND_MS / 1000};
}

static void a_wide_link_carries_all(void **state)
{
    (void)state;
    struct link l = make_link(125 * MB);
    for (int i = 0; i < ROUNDS; i++) {
        size_t before = l.sent;
        play(&l);
        if (i >= SETTLED)
            assert_int_equal(l.sent - before, WANTED);
    }
}

/* Heartbeats come in time, and most of the link is used. */
static void a_narrow_link_is_used_and_not_filled(void **state)
{
    (void)state;
    for (size_t per_s = MB; per_s <= 16 * MB; per_s = per_s * 5 / 4) {
        struct link l = make_link(per_s);
        for (int i = 0; i < ROUNDS; i++) {
            size_t under_way_ms = play(&l);
            if (i >= SETTLED)
                assert_true(under_way_ms < HEARD_MS - 2 * ROUND_MS);
        }
        size_t could = l.per_round * ROUNDS;
        could = could < (size_t)WANTED * ROUNDS ? could : (size_t)WANTED * ROUNDS;
        assert_true(l.sent > could / 2);
    }
}

/* Before it knows the link it doesn't fill it for long either. */
static void the_first_rounds_are_small(void **state)
{
    (void)state;
    struct link l = make_link(5 * MB / 2);
    for (int i = 0; i < SETTLED; i++)
        assert_true(play(&l) < HEARD_MS);
}

/* Peers that take nothing leave some waiting, also in a fleet whose rounds are
 * smaller than that. */
static void peers_that_are_stuck_cost_the_others_nothing(void **state)
{
    (void)state;
    struct rk_send_budget b = {0};
    for (int i = 0; i < ROUNDS; i++) {
        assert_true(rk_send_budget_begin(&b, 100 * 1024) >= 10 * 1024);
        rk_send_budget_note(&b, 10 * 1024);
    }
}

/* A link that gets narrower, and wide again. */
static void it_follows_the_link(void **state)
{
    (void)state;
    struct link l = make_link(125 * MB);
    for (int i = 0; i < SETTLED; i++)
        play(&l);
    l.per_round = 5 * MB / 2 * ROUND_MS / 1000;
    for (int i = 0; i < ROUNDS; i++) {
        size_t under_way_ms = play(&l);
        if (i >= SETTLED)
            assert_true(under_way_ms < HEARD_MS - 2 * ROUND_MS);
    }
    l.per_round = 0; /* it stands still */
    for (int i = 0; i < 4; i++)
        rk_send_budget_begin(&l.budget, l.waiting);
    l.per_round = 125 * MB * ROUND_MS / 1000;
    size_t before = 0;
    for (int i = 0; i < 2 * SETTLED; i++) {
        before = l.sent;
        play(&l);
    }
    assert_int_equal(l.sent - before, WANTED);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_wide_link_carries_all),
        cmocka_unit_test(a_narrow_link_is_used_and_not_filled),
        cmocka_unit_test(the_first_rounds_are_small),
        cmocka_unit_test(peers_that_are_stuck_cost_the_others_nothing),
        cmocka_unit_test(it_follows_the_link),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
