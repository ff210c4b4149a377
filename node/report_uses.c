/* The use of quotas in nodes' reports. In a large fleet a node tells the bridges of
 * its domain only the rows that changed, and all of them to one that just became
 * one. What it knows of the use of all it tells to a bridge that asks: one that
 * started again and remembers less. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"

#define ASK_AGAIN_MS 600 /* longer than it takes to be told */

/* ---- telling ---- */

/* Can each peer that is told the report do with the rows that changed? */
static bool changes_do(const struct rk_mesh *m)
{
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (rk_mesh_is_told(k) && rk_mesh_takes(k->link) &&
            (!k->takes_changes || !k->told.has_uses))
            return false;
    return true;
}

static void put_known(struct rk_report *p, size_t row, const struct rk_org_use *use)
{
    uint64_t *known = &p->known[row * RK_QUOTA_PARTS];
    for (size_t j = 0; j < RK_QUOTA_PARTS; j++)
        known[j] = (uint64_t)use->known[j];
    p->uses[row].n_known = RK_QUOTA_PARTS;
    p->uses[row].known = known;
}

static void put_use(struct rk_report *p, const struct rk_org_use *use)
{
    Rillknot__OrgUse *row = &p->uses[p->report.n_uses];
    rillknot__org_use__init(row);
    row->org = (char *)use->org;
    row->units = use->units;
    row->asking = (float)use->asking;
    p->use_ptrs[p->report.n_uses++] = row;
}

void rk_report_fill_uses(struct rk_report *p, struct rk_mesh *m,
                         const struct rk_relay_report *r)
{
    bool known = m->direct || m->known_wanted;
    bool all = known || m->uses_wanted || !changes_do(m);
    p->uses = rk_alloc(r->uses_len + 1, sizeof(*p->uses));
    p->known = rk_alloc(r->uses_len * RK_QUOTA_PARTS + 1, sizeof(*p->known));
    p->use_ptrs = rk_alloc(r->uses_len + 1, sizeof(*p->use_ptrs));
    for (size_t i = 0; i < r->uses_len; i++) {
        const struct rk_org_use *use = &r->uses[i];
        bool news = rk_org_use_is_news(use, &m->uses_told);
        if (!news && !known && !(all && use->units != 0))
            continue;
        put_use(p, use);
        if (known)
            put_known(p, p->report.n_uses - 1, use);
    }
    p->report.uses = p->use_ptrs;
    p->report.uses_changed = !all;
    p->report.knows = known;
    m->uses_wanted = m->known_wanted = false;
}

void rk_report_note_uses(struct rk_mesh *m, const struct rk_report *p)
{
    bool all = m->n->report && !p->report.uses_changed;
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        if (!rk_mesh_is_told(k))
            continue;
        bool sent = rk_mesh_takes(k->link);
        k->told.has_uses = sent && (all || k->told.has_uses);
    }
}

/* ---- hearing ---- */

bool rk_report_counts(const struct member *k)
{
    return k->m->direct || (k->m->bridge && rk_mesh_is_near(k));
}

double rk_report_asking(const Rillknot__OrgUse *told)
{
    if (isfinite(told->asking) && told->asking >= 0)
        return (double)told->asking;
    RK_WARN("quota.rejected", RK_S("organisation", told->org));
    return 0;
}

static void count_use(struct member *k, const char *org, double rise)
{
    struct rk_mesh *m = k->m;
    if (!rk_report_counts(k) || rise == 0)
        return;
    rk_mesh_add_news(m, org, rise);
    *rk_tally_at(&m->domain_uses, org) += rise;
    *rk_tally_at(&m->fleet_uses, org) += rise;
}

static void take_known(struct rk_org_use *row, const Rillknot__OrgUse *told)
{
    for (size_t j = 0; j < told->n_known && j < RK_QUOTA_PARTS; j++)
        row->known[j] = (double)told->known[j];
}

/* What the node used since its last report goes to the relay with the next. What a
 * node heard for the first time used before is among what peers remember. */
void rk_report_take_uses(struct member *k, const Rillknot__NodeReport *r,
                         bool first)
{
    bool all = !r->uses_changed;
    if (!all && !k->uses_based)
        return; /* changes of what isn't known here: it is asked for all */
    rk_org_uses_begin(&k->uses);
    for (size_t i = 0; i < r->n_uses; i++) {
        const Rillknot__OrgUse *told = r->uses[i];
        double rise = rk_org_uses_rise(&k->uses, told->org, told->units);
        struct rk_org_use *row = rk_org_uses_at(&k->uses, told->org);
        row->asking = rk_report_asking(told);
        take_known(row, told);
        if (k->uses_based && !first)
            count_use(k, told->org, rise);
    }
    k->uses_based = k->uses_based || all;
    /* Nodes of an earlier version tell it each time. */
    k->knows = k->knows || r->knows || !r->takes_changes;
}

bool rk_report_lacks_uses(struct member *k, int64_t now_ms)
{
    bool asked = k->uses_asked_ms && now_ms - k->uses_asked_ms < ASK_AGAIN_MS;
    if (k->uses_based || asked || !rk_report_counts(k))
        return false;
    k->uses_asked_ms = now_ms;
    return true;
}

/* Does this node know less of the use of quotas than it could be told? */
static bool lacks_known(const struct rk_mesh *m, int64_t window_ms)
{
    int64_t now_ms = rk_mono_ms();
    if (!m->bridge || !m->n->report || m->n->report->remembers_ms >= window_ms)
        return false;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->knows && rk_mesh_is_heard(k, now_ms) && k->remembers_ms >= window_ms)
            return false;
    return true;
}

void rk_report_ask_known(struct rk_mesh *m, int64_t now_ms)
{
    int64_t window_ms = rk_s_to_ms(m->n->file.quota_window_s);
    bool asked = m->known_asked_ms && now_ms - m->known_asked_ms < ASK_AGAIN_MS;
    if (asked || !lacks_known(m, window_ms))
        return;
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        bool can_tell = rk_mesh_is_near(k) && rk_mesh_is_heard(k, now_ms) &&
                        k->remembers_ms >= window_ms;
        if (!can_tell || !rk_mesh_takes(k->link))
            continue;
        m->known_asked_ms = now_ms;
        rk_mesh_want_uses(k->link, true);
        return;
    }
}
