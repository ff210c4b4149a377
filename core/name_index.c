#include "core/name_index.h"

#include <stdlib.h>
#include <string.h>

#include "common/util.h"

#define INITIAL_SLOTS 32 /* a power of two */
#define INITIAL_ROWS  16

static const char *name_at(const void *rows, size_t row_size, size_t at)
{
    return (const char *)rows + at * row_size;
}

/* Returns the slot of a name, or the free slot where it belongs. */
static size_t slot_of(const struct rk_name_index *n, const void *rows,
                      size_t row_size, const char *name)
{
    size_t slot = rk_hash_str(0, name) & (n->cap - 1);
    while (n->slots[slot] &&
           strcmp(name_at(rows, row_size, n->slots[slot] - 1), name) != 0)
        slot = (slot + 1) & (n->cap - 1);
    return slot;
}

size_t rk_name_index_find(const struct rk_name_index *n, const void *rows,
                          size_t row_size, const char *name)
{
    if (!n->len)
        return RK_NO_ROW;
    uint32_t entry = n->slots[slot_of(n, rows, row_size, name)];
    return entry ? entry - 1 : RK_NO_ROW;
}

static void insert(struct rk_name_index *n, const void *rows, size_t row_size,
                   size_t at)
{
    const char *name = name_at(rows, row_size, at);
    n->slots[slot_of(n, rows, row_size, name)] = (uint32_t)at + 1;
}

/* Doubles the table and indexes all rows again. At most half of the slots are used,
 * so that each search ends at a free one. */
static void grow(struct rk_name_index *n, const void *rows, size_t row_size)
{
    free(n->slots);
    n->cap = n->cap ? n->cap * 2 : INITIAL_SLOTS;
    n->slots = rk_alloc(n->cap, sizeof(*n->slots));
    for (size_t i = 0; i < n->len; i++)
        insert(n, rows, row_size, i);
}

void rk_name_index_add(struct rk_name_index *n, const void *rows, size_t row_size,
                       size_t at)
{
    if ((n->len + 1) * 2 > n->cap)
        grow(n, rows, row_size);
    insert(n, rows, row_size, at);
    n->len++;
}

void *rk_name_index_append(struct rk_name_index *n, void *rows, size_t *len,
                           size_t *cap, size_t row_size, const char *name)
{
    if (*len == *cap) {
        *cap = *cap ? *cap * 2 : INITIAL_ROWS;
        rows = rk_realloc(rows, *cap * row_size);
    }
    char *row = (char *)rows + *len * row_size;
    memset(row, 0, row_size);
    rk_strcpy(row, RK_ID_MAX, name);
    rk_name_index_add(n, rows, row_size, (*len)++);
    return rows;
}

void rk_name_index_clear(struct rk_name_index *n)
{
    if (n->len)
        memset(n->slots, 0, n->cap * sizeof(*n->slots));
    n->len = 0;
}

void rk_name_index_free(struct rk_name_index *n)
{
    free(n->slots);
    *n = (struct rk_name_index){0};
}
