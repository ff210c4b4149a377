#include "core/tally.h"

#include <stdlib.h>
#include <string.h>

#define FIRST_ROWS 16

static struct rk_tally_row *find(const struct rk_tally *t, const char *name)
{
    for (size_t i = 0; i < t->len; i++)
        if (!strcmp(t->rows[i].name, name))
            return &t->rows[i];
    return NULL;
}

double *rk_tally_at(struct rk_tally *t, const char *name)
{
    struct rk_tally_row *row = find(t, name);
    if (row)
        return &row->total;
    if (t->len == t->cap) {
        t->cap = t->cap ? t->cap * 2 : FIRST_ROWS;
        t->rows = rk_realloc(t->rows, t->cap * sizeof(*t->rows));
    }
    row = &t->rows[t->len++];
    *row = (struct rk_tally_row){0};
    rk_strcpy(row->name, sizeof(row->name), name);
    return &row->total;
}

double rk_tally_total(const struct rk_tally *t, const char *name)
{
    const struct rk_tally_row *row = find(t, name);
    return row ? row->total : 0;
}

void rk_tally_copy(struct rk_tally *to, const struct rk_tally *from)
{
    rk_tally_clear(to);
    for (size_t i = 0; i < from->len; i++)
        *rk_tally_at(to, from->rows[i].name) = from->rows[i].total;
}

void rk_tally_clear(struct rk_tally *t)
{
    t->len = 0;
}

void rk_tally_free(struct rk_tally *t)
{
    free(t->rows);
    *t = (struct rk_tally){0};
}
