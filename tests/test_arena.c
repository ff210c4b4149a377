/* Pieces of memory that go together, and messages that are decoded into them. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdalign.h>
#include <string.h>

#include "common/arena.h"
#include "peers/link.h"

#define PIECES 2000

/* Sizes from nothing to more than a block holds. */
static size_t piece_len(int number)
{
    return (size_t)number * 31 % 700 + (number % 500 ? 0 : 100000);
}

static void pieces_are_apart_until_all_go(void **state)
{
    (void)state;
    static unsigned char *pieces[PIECES];
    struct rk_arena *a = rk_arena_create();
    for (int round = 0; round < 3; round++) {
        for (int i = 0; i < PIECES; i++) {
            pieces[i] = rk_arena_take(a, piece_len(i));
            assert_int_equal((uintptr_t)pieces[i] % alignof(max_align_t), 0);
            memset(pieces[i], i % 251, piece_len(i));
        }
        for (int i = 0; i < PIECES; i++)
            for (size_t j = 0; j < piece_len(i); j++)
                assert_int_equal(pieces[i][j], i % 251);
        rk_arena_reset(a);
    }
    rk_arena_destroy(a);
}

static void a_message_is_the_same_in_an_arena(void **state)
{
    (void)state;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT, *got;
    Rillknot__Digest digest = RILLKNOT__DIGEST__INIT;
    Rillknot__OrgUse uses[PIECES], *ptrs[PIECES];
    for (int i = 0; i < PIECES; i++) {
        rillknot__org_use__init(&uses[i]);
        uses[i].org = "organisation";
        uses[i].units = i;
        ptrs[i] = &uses[i];
    }
    digest.uses = ptrs;
    digest.n_uses = PIECES;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &digest;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    struct rk_arena *a = rk_arena_create();
    for (int round = 0; round < 2; round++) {
        assert_int_equal(rk_frame_decode_in(packed.data, packed.len - 1, a, &got),
                         0);
        assert_int_equal(rk_frame_decode_in(packed.data, packed.len, a, &got),
                         packed.len);
        assert_int_equal(got->digest->n_uses, PIECES);
        for (int i = 0; i < PIECES; i++) {
            assert_string_equal(got->digest->uses[i]->org, "organisation");
            assert_true(got->digest->uses[i]->units == i);
        }
        rk_arena_reset(a);
    }
    rk_arena_destroy(a);
    rk_packed_frame_free(&packed);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(pieces_are_apart_until_all_go),
        cmocka_unit_test(a_message_is_the_same_in_an_arena),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
