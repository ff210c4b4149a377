#include "common/arena.h"

#include <stdalign.h>
#include <stdlib.h>

#include "common/util.h"

#define BLOCK_LEN (16 * 1024)  /* bytes, at least */
#define KEPT_MAX  (256 * 1024) /* bytes between two uses */

struct block {
    struct block *before;
    size_t len, used;
    alignas(max_align_t) char data[];
};

struct rk_arena {
    struct block *blocks; /* the newest first; there is always one */
};

static struct block *make_block(size_t len, struct block *before)
{
    struct block *b = rk_alloc(1, sizeof(*b) + len);
    b->before = before;
    b->len = len;
    return b;
}

static size_t free_blocks(struct rk_arena *a)
{
    size_t len = 0;
    while (a->blocks) {
        struct block *b = a->blocks;
        a->blocks = b->before;
        len += b->len;
        free(b);
    }
    return len;
}

struct rk_arena *rk_arena_create(void)
{
    struct rk_arena *a = rk_alloc(1, sizeof(*a));
    a->blocks = make_block(BLOCK_LEN, NULL);
    return a;
}

void rk_arena_destroy(struct rk_arena *a)
{
    free_blocks(a);
    free(a);
}

void *rk_arena_take(struct rk_arena *a, size_t len)
{
    size_t align = alignof(max_align_t);
    size_t whole = (len + align - 1) / align * align;
    if (whole > a->blocks->len - a->blocks->used)
        a->blocks = make_block(whole > BLOCK_LEN ? whole : BLOCK_LEN, a->blocks);
    void *piece = a->blocks->data + a->blocks->used;
    a->blocks->used += whole;
    return piece;
}

void rk_arena_reset(struct rk_arena *a)
{
    if (a->blocks->before) {
        size_t len = free_blocks(a);
        a->blocks = make_block(len < KEPT_MAX ? len : BLOCK_LEN, NULL);
    }
    a->blocks->used = 0;
}
