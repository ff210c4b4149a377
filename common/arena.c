#include "common/arena.h"

#include <stdalign.h>
#include <stdlib.h>

#include "common/util.h"

#define MIN_BLOCK_LEN (16 * 1024)
#define RETAINED_MAX  (256 * 1024) /* a reset retains fewer bytes than this */

struct block {
    struct block *prev;
    size_t len, used;
    alignas(max_align_t) char data[];
};

struct rk_arena {
    /* Newest first, at least one. Allocations come from the newest. */
    struct block *blocks;
};

static struct block *create_block(size_t len, struct block *prev)
{
    struct block *b = rk_alloc(1, sizeof(*b) + len);
    b->prev = prev;
    b->len = len;
    return b;
}

/* Returns how many bytes the blocks had together. */
static size_t free_blocks(struct rk_arena *a)
{
    size_t len = 0;
    while (a->blocks) {
        struct block *b = a->blocks;
        a->blocks = b->prev;
        len += b->len;
        free(b);
    }
    return len;
}

struct rk_arena *rk_arena_create(void)
{
    struct rk_arena *a = rk_alloc(1, sizeof(*a));
    a->blocks = create_block(MIN_BLOCK_LEN, NULL);
    return a;
}

void rk_arena_destroy(struct rk_arena *a)
{
    free_blocks(a);
    free(a);
}

void *rk_arena_alloc(struct rk_arena *a, size_t len)
{
    size_t align = alignof(max_align_t);
    size_t padded_len = (len + align - 1) / align * align;
    if (padded_len > a->blocks->len - a->blocks->used)
        a->blocks = create_block(
            padded_len > MIN_BLOCK_LEN ? padded_len : MIN_BLOCK_LEN, a->blocks);
    void *p = a->blocks->data + a->blocks->used;
    a->blocks->used += padded_len;
    return p;
}

void rk_arena_reset(struct rk_arena *a)
{
    if (a->blocks->prev) {
        size_t len = free_blocks(a);
        a->blocks = create_block(len < RETAINED_MAX ? len : MIN_BLOCK_LEN, NULL);
    }
    a->blocks->used = 0;
}
