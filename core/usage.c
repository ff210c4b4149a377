#include "core/usage.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#define FIRST_ROWS 64 /* must be a power of two */

static uint64_t key_of(uint64_t node, int64_t window, const char *org)
{
    return rk_hash_str(node ^ (uint64_t)window * 0x9e3779b97f4a7c15ULL, org);
}

static bool is_row(const struct rk_usage_row *row, uint64_t node, int64_t window,
                   const char *org)
{
    return row->window == window && row->node == node && !strcmp(row->org, org);
}

/* The index has two slots per possible row, so a slot is always free. */
static size_t index_mask(const struct rk_usage *u)
{
    return u->cap * 2 - 1;
}

/* Returns the index slot of a row, or the free slot where it belongs. */
static size_t slot_of(const struct rk_usage *u, uint64_t node, int64_t window,
                      const char *org)
{
    size_t at = key_of(node, window, org) & index_mask(u);
    while (u->index[at] && !is_row(&u->rows[u->index[at] - 1], node, window, org))
        at = (at + 1) & index_mask(u);
    return at;
}

static void index_rows(struct rk_usage *u)
{
    memset(u->index, 0, u->cap * 2 * sizeof(*u->index));
    for (size_t i = 0; i < u->len; i++) {
        const struct rk_usage_row *row = &u->rows[i];
        u->index[slot_of(u, row->node, row->window, row->org)] = (uint32_t)i + 1;
    }
}

static void grow(struct rk_usage *u)
{
    u->cap = u->cap ? u->cap * 2 : FIRST_ROWS;
    u->rows = rk_realloc(u->rows, u->cap * sizeof(*u->rows));
    u->index = rk_realloc(u->index, u->cap * 2 * sizeof(*u->index));
    index_rows(u);
}

static struct rk_usage_row *find_or_add(struct rk_usage *u, uint64_t node,
                                        int64_t window, const char *org)
{
    if (u->len == u->cap)
        grow(u);
    size_t at = slot_of(u, node, window, org);
    if (u->index[at])
        return &u->rows[u->index[at] - 1];
    struct rk_usage_row *row = &u->rows[u->len++];
    *row = (struct rk_usage_row){.node = node, .window = window};
    rk_strcpy(row->org, sizeof(row->org), org);
    u->index[at] = (uint32_t)u->len;
    return row;
}

void rk_usage_count(struct rk_usage *u, uint64_t node, int64_t window,
                    const char *org)
{
    struct rk_usage_row *row = find_or_add(u, node, window, org);
    row->since_ms = u->since_ms;
    row->count++;
}

void rk_usage_merge(struct rk_usage *u, const struct rk_usage_row *row)
{
    struct rk_usage_row *known = find_or_add(u, row->node, row->window, row->org);
    bool newer = row->node == RK_USAGE_PERSISTED && row->since_ms > known->since_ms;
    if (newer || row->count > known->count)
        known->count = row->count;
    if (newer || !known->since_ms)
        known->since_ms = row->since_ms;
}

static const struct rk_usage_row *persisted_row(const struct rk_usage *u,
                                                int64_t window, const char *org)
{
    if (!u->cap)
        return NULL;
    uint32_t at = u->index[slot_of(u, RK_USAGE_PERSISTED, window, org)];
    return at ? &u->rows[at - 1] : NULL;
}

static bool is_persisted(const struct rk_usage_row *row)
{
    return row->node == RK_USAGE_PERSISTED;
}

void rk_usage_sums(const struct rk_usage *u, int64_t window, struct rk_totals *sums)
{
    struct rk_totals later = {0}; /* calls of nodes that started after the record */
    for (size_t i = 0; i < u->len; i++) {
        const struct rk_usage_row *row = &u->rows[i];
        if (row->window != window || is_persisted(row))
            continue;
        const struct rk_usage_row *record = persisted_row(u, window, row->org);
        *rk_totals_get(sums, row->org) += (double)row->count;
        if (record && row->since_ms > record->since_ms)
            *rk_totals_get(&later, row->org) += (double)row->count;
    }
    for (size_t i = 0; i < u->len; i++) {
        const struct rk_usage_row *row = &u->rows[i];
        if (row->window != window || !is_persisted(row))
            continue;
        double all = (double)row->count + rk_totals_value(&later, row->org);
        double *reported = rk_totals_get(sums, row->org);
        *reported = all > *reported ? all : *reported;
    }
    rk_totals_free(&later);
}

uint64_t rk_usage_sum(const struct rk_usage *u, int64_t window, const char *org)
{
    struct rk_totals sums = {0};
    rk_usage_sums(u, window, &sums);
    uint64_t sum = (uint64_t)rk_totals_value(&sums, org);
    rk_totals_free(&sums);
    return sum;
}

void rk_usage_remove_before(struct rk_usage *u, int64_t window)
{
    size_t remaining = 0;
    for (size_t i = 0; i < u->len; i++)
        if (u->rows[i].window >= window)
            u->rows[remaining++] = u->rows[i];
    if (remaining == u->len)
        return;
    u->len = remaining;
    index_rows(u);
}

void rk_usage_free(struct rk_usage *u)
{
    free(u->rows);
    free(u->index);
    *u = (struct rk_usage){0};
}
