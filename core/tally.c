#include "core/tally.h"

#include <stdlib.h>
#include <string.h>

static struct rk_tally_row *find(const struct rk_tally *t, const char *name)
{
    size_t at = rk_names_find(&t->index, t->rows, sizeof(*t->rows), name);
    return at == RK_NO_ROW ? NULL : &t->rows[at];
}

double *rk_tally_at(struct rk_tally *t, const char *name)
{
    struct rk_tally_row *row = find(t, name);
    if (row)
        return &row->total;
    t->rows = rk_names_append(&t->index, t->rows, &t->len, &t->cap,
                              sizeof(*t->rows), name);
    return &t->rows[t->len - 1].total;
}

double rk_tally_total(const struct rk_tally *t, const char *name)
{
    const struct rk_tally_row *row = find(t, name);
    return row ? row->total : 0;
}

double rk_tally_rise(struct rk_tally *t, const char *name, double now)
{
    double *total = rk_tally_at(t, name);
    double rise = now - *total;
    *total = now;
    return rise;
}

void rk_tally_clear(struct rk_tally *t)
{
    t->len = 0;
    rk_names_clear(&t->index);
}

void rk_tally_free(struct rk_tally *t)
{
    free(t->rows);
    rk_names_free(&t->index);
    *t = (struct rk_tally){0};
}
