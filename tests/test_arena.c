/* Tests of the arena allocator, and of decoding peer messages into an arena. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdalign.h>
#include <string.h>

#include "common/arena.h"
#include "peers/link.h"

#define ITEMS 2000

/* Returns sizes from 0 bytes to more than an arena block holds. */
static size_t alloc_len(int number)
{
    return (size_t)number * 31 % 700 + (number % 500 ? 0 : 100000);
}

/* Guards against allocations that are misaligned or overlap, also after a reset has
 * made the memory available again. */
static void allocations_are_aligned_and_do_not_overlap(void **state)
{
    (void)state;
    static unsigned char *allocs[ITEMS];
    struct rk_arena *a = rk_arena_create();
    for (int round = 0; round < 3; round++) {
        for (int i = 0; i < ITEMS; i++) {
            allocs[i] = rk_arena_alloc(a, alloc_len(i));
            assert_int_equal((uintptr_t)allocs[i] % alignof(max_align_t), 0);
            memset(allocs[i], i % 251, alloc_len(i));
        }
        for (int i = 0; i < ITEMS; i++)
            for (size_t j = 0; j < alloc_len(i); j++)
                assert_int_equal(allocs[i][j], i % 251);
        rk_arena_reset(a);
    }
    rk_arena_destroy(a);
}

/* Guards against frames that differ after decoding into an arena, before or after a
 * reset. Decoding must return 0 for a frame that lacks its last byte. */
static void a_frame_is_unchanged_by_decoding_into_an_arena(void **state)
{
    (void)state;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT, *got;
    Rillknot__Digest digest = RILLKNOT__DIGEST__INIT;
    Rillknot__OrgUse uses[ITEMS], *ptrs[ITEMS];
    for (int i = 0; i < ITEMS; i++) {
        rillknot__org_use__init(&uses[i]);
        uses[i].org = "organisation";
        uses[i].units = i;
        ptrs[i] = &uses[i];
    }
    digest.uses = ptrs;
    digest.n_uses = ITEMS;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &digest;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    struct rk_arena *a = rk_arena_create();
    for (int round = 0; round < 2; round++) {
        assert_int_equal(rk_frame_decode_in(packed.data, packed.len - 1, a, &got),
                         0);
        assert_int_equal(rk_frame_decode_in(packed.data, packed.len, a, &got),
                         packed.len);
        assert_int_equal(got->digest->n_uses, ITEMS);
        for (int i = 0; i < ITEMS; i++) {
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
        cmocka_unit_test(allocations_are_aligned_and_do_not_overlap),
        cmocka_unit_test(a_frame_is_unchanged_by_decoding_into_an_arena),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
