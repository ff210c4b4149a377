#include "core/org_usage.h"

#include <stdlib.h>
#include <string.h>

#define DEMAND_MIN 1.0 /* units/s; less changes no peer's decision */

const struct rk_org_use *rk_org_use_find(const struct rk_org_use *uses, size_t len,
                                         const char *org)
{
    for (size_t i = 0; i < len; i++)
        if (!strcmp(uses[i].org, org))
            return &uses[i];
    return NULL;
}

/* Units change only when calls are admitted or refunded, so a record with unchanged
 * units holds no update. Demand decays without an event and is sent until it is
 * below DEMAND_MIN. */
bool rk_org_use_changed(const struct rk_org_use *use, struct rk_totals *sent_units)
{
    bool changed = use->units != rk_totals_value(sent_units, use->org);
    if (changed)
        *rk_totals_get(sent_units, use->org) = use->units;
    return changed || use->demand_per_s >= DEMAND_MIN;
}

void rk_org_uses_begin(struct rk_org_uses *u)
{
    for (size_t i = 0; i < u->len; i++)
        u->rows[i].demand_per_s = 0;
}

bool rk_org_uses_has(const struct rk_org_uses *u, const char *org)
{
    return rk_name_index_find(&u->names, u->rows, sizeof(*u->rows), org) !=
           RK_NO_ROW;
}

struct rk_org_use *rk_org_uses_get(struct rk_org_uses *u, const char *org)
{
    size_t at = rk_name_index_find(&u->names, u->rows, sizeof(*u->rows), org);
    if (at != RK_NO_ROW)
        return &u->rows[at];
    u->rows = rk_name_index_append(&u->names, u->rows, &u->len, &u->cap,
                                   sizeof(*u->rows), org);
    return &u->rows[u->len - 1];
}

double rk_org_uses_set_units(struct rk_org_uses *u, const char *org, double units)
{
    struct rk_org_use *row = rk_org_uses_get(u, org);
    double rise = units - row->units;
    row->units = units;
    return rise;
}

void rk_org_uses_clear(struct rk_org_uses *u)
{
    u->len = 0;
    rk_name_index_clear(&u->names);
}

void rk_org_uses_free(struct rk_org_uses *u)
{
    free(u->rows);
    rk_name_index_free(&u->names);
    *u = (struct rk_org_uses){0};
}
