#include "core/usage.h"

#include <stdlib.h>
#include <string.h>

static struct rk_usage_row *find(struct rk_usage *u, uint64_t node, int64_t window,
                                 const char *org)
{
    for (size_t i = u->len; i-- > 0;) {
        struct rk_usage_row *row = &u->rows[i];
        if (row->window == window && row->node == node && !strcmp(row->org, org))
            return row;
    }
    if (u->len == u->cap) {
        u->cap = u->cap ? u->cap * 2 : 64;
        u->rows = rk_realloc(u->rows, u->cap * sizeof(*u->rows));
    }
    struct rk_usage_row *row = &u->rows[u->len++];
    *row = (struct rk_usage_row){.node = node, .window = window};
    rk_strcpy(row->org, sizeof(row->org), org);
    return row;
}

void rk_usage_count(struct rk_usage *u, uint64_t node, int64_t window,
                    const char *org)
{
    find(u, node, window, org)->count++;
}

void rk_usage_merge(struct rk_usage *u, const struct rk_usage_row *row)
{
    struct rk_usage_row *mine = find(u, row->node, row->window, row->org);
    if (row->count > mine->count)
        mine->count = row->count;
}

uint64_t rk_usage_sum(const struct rk_usage *u, int64_t window, const char *org)
{
    uint64_t sum = 0;
    for (size_t i = 0; i < u->len; i++)
        if (u->rows[i].window == window && !strcmp(u->rows[i].org, org))
            sum += u->rows[i].count;
    return sum;
}

void rk_usage_forget(struct rk_usage *u, int64_t window)
{
    size_t kept = 0;
    for (size_t i = 0; i < u->len; i++)
        if (u->rows[i].window >= window)
            u->rows[kept++] = u->rows[i];
    u->len = kept;
}

void rk_usage_free(struct rk_usage *u)
{
    free(u->rows);
    *u = (struct rk_usage){0};
}
