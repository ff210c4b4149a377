#include "core/totals.h"

#include <stdlib.h>
#include <string.h>

static struct rk_totals_row *find(const struct rk_totals *t, const char *name)
{
    size_t at = rk_name_index_find(&t->index, t->rows, sizeof(*t->rows), name);
    return at == RK_NO_ROW ? NULL : &t->rows[at];
}

double *rk_totals_get(struct rk_totals *t, const char *name)
{
    struct rk_totals_row *row = find(t, name);
    if (row)
        return &row->total;
    t->rows = rk_name_index_append(&t->index, t->rows, &t->len, &t->cap,
                                   sizeof(*t->rows), name);
    return &t->rows[t->len - 1].total;
}

double rk_totals_value(const struct rk_totals *t, const char *name)
{
    const struct rk_totals_row *row = find(t, name);
    return row ? row->total : 0;
}

double rk_totals_set(struct rk_totals *t, const char *name, double now)
{
    double *total = rk_totals_get(t, name);
    double rise = now - *total;
    *total = now;
    return rise;
}

void rk_totals_clear(struct rk_totals *t)
{
    t->len = 0;
    rk_name_index_clear(&t->index);
}

void rk_totals_free(struct rk_totals *t)
{
    free(t->rows);
    rk_name_index_free(&t->index);
    *t = (struct rk_totals){0};
}
