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

const struct rk_org_demand *rk_org_demands_find(const struct rk_org_demands *d,
                                                const char *org)
{
    size_t at = rk_name_index_find(&d->names, d->rows, sizeof(*d->rows), org);
    return at == RK_NO_ROW ? NULL : &d->rows[at];
}

static struct rk_org_demand *get_demand(struct rk_org_demands *d, const char *org)
{
    size_t at = rk_name_index_find(&d->names, d->rows, sizeof(*d->rows), org);
    if (at != RK_NO_ROW)
        return &d->rows[at];
    d->rows = rk_name_index_append(&d->names, d->rows, &d->len, &d->cap,
                                   sizeof(*d->rows), org);
    return &d->rows[d->len - 1];
}

void rk_org_demands_add(struct rk_org_demands *d, const struct rk_org_use *uses,
                        size_t len, double sign)
{
    for (size_t i = 0; i < len; i++) {
        if (uses[i].demand_per_s <= 0)
            continue;
        struct rk_org_demand *sum = get_demand(d, uses[i].org);
        for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
            sum->per_s[c] += sign * uses[i].class_demand_per_s[c];
    }
}

void rk_org_demands_clamp(struct rk_org_demands *d)
{
    for (size_t i = 0; i < d->len; i++)
        for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
            if (d->rows[i].per_s[c] < 0)
                d->rows[i].per_s[c] = 0;
}

void rk_org_demands_apply(const struct rk_org_demands *d, struct rk_quota *q)
{
    static const struct rk_org_demand none;
    for (size_t i = 0; i < q->orgs_len; i++) {
        struct rk_quota_org *o = &q->orgs[i];
        const struct rk_org_demand *row = rk_org_demands_find(d, o->name);
        memcpy(o->peers_demand, (row ? row : &none)->per_s,
               sizeof(o->peers_demand));
    }
}

void rk_org_demands_free(struct rk_org_demands *d)
{
    free(d->rows);
    rk_name_index_free(&d->names);
    *d = (struct rk_org_demands){0};
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
    for (size_t i = 0; i < u->len; i++) {
        u->rows[i].demand_per_s = 0;
        memset(u->rows[i].class_demand_per_s, 0,
               sizeof(u->rows[i].class_demand_per_s));
    }
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
