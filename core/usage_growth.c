#include "core/usage_growth.h"

#include <math.h>

void rk_usage_growth_note(struct rk_usage_growth *g, int64_t window,
                          const struct rk_totals *counts)
{
    size_t slot = (size_t)window % RK_USAGE_GROWTH_WINDOWS;
    struct rk_totals *known = &g->windows[slot].counts;
    if (g->windows[slot].window != window)
        rk_totals_clear(known);
    g->windows[slot].window = window;
    for (size_t i = 0; i < counts->len; i++) {
        const struct rk_totals_row *row = &counts->rows[i];
        if (row->total > rk_totals_value(known, row->name))
            *rk_totals_get(&g->counted, row->name) +=
                rk_totals_set(known, row->name, row->total);
    }
}

void rk_usage_growth_snapshot(struct rk_usage_growth *g, int64_t now_ms)
{
    struct rk_totals *to = &g->snapshots[g->next_snapshot].counted;
    rk_totals_clear(to);
    for (size_t i = 0; i < g->counted.len; i++)
        *rk_totals_get(to, g->counted.rows[i].name) = g->counted.rows[i].total;
    g->snapshots[g->next_snapshot].at_ms = now_ms;
    g->next_snapshot = (g->next_snapshot + 1) % RK_USAGE_GROWTH_SNAPSHOTS;
}

double rk_usage_growth_value(const struct rk_usage_growth *g, const char *org,
                             int64_t span_ms, int64_t now_ms)
{
    const struct rk_totals *then = NULL;
    int64_t age_ms = INT64_MAX;
    for (size_t i = 0; i < RK_USAGE_GROWTH_SNAPSHOTS; i++) {
        int64_t at_ms = g->snapshots[i].at_ms, age = now_ms - at_ms;
        if (!at_ms || age < span_ms || age >= age_ms)
            continue;
        age_ms = age;
        then = &g->snapshots[i].counted;
    }
    if (!then)
        return -1;
    double counted = rk_totals_value(&g->counted, org) - rk_totals_value(then, org);
    return fmax(0, counted) * (double)span_ms / (double)age_ms;
}

void rk_usage_growth_free(struct rk_usage_growth *g)
{
    for (size_t i = 0; i < RK_USAGE_GROWTH_WINDOWS; i++)
        rk_totals_free(&g->windows[i].counts);
    for (size_t i = 0; i < RK_USAGE_GROWTH_SNAPSHOTS; i++)
        rk_totals_free(&g->snapshots[i].counted);
    rk_totals_free(&g->counted);
    *g = (struct rk_usage_growth){0};
}
