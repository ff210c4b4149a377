/* Quota usage in node reports. In a large fleet a node reports to the bridges of
 * its domain. It sends only the rows that changed, unless a bridge is new or lacks
 * rows. A bridge that has restarted requests the quota history of another node: the
 * use by all nodes within the quota's window. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"

#define REQUEST_RETRY_MS 600 /* longer than a reply takes */

/* ---- sending ---- */

/* Returns whether changed rows suffice for all peers that get the report. */
static bool changes_suffice(const struct rk_mesh *m)
{
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (rk_mesh_reports_to(k) && rk_mesh_link_is_ready(k->link) &&
            (!k->accepts_changes || !k->link_state.uses_sent))
            return false;
    return true;
}

static void put_history(struct rk_report *p, size_t row,
                        const struct rk_org_use *use)
{
    uint64_t *slices = &p->known[row * RK_QUOTA_SLICES];
    for (size_t j = 0; j < RK_QUOTA_SLICES; j++)
        slices[j] = (uint64_t)use->used_slices[j];
    p->uses[row].n_known = RK_QUOTA_SLICES;
    p->uses[row].known = slices;
}

void rk_report_put_demand(Rillknot__OrgUse *out,
                          const double demand[RK_QUOTA_CLASSES], float *classes)
{
    out->asking = (float)rk_quota_class_sum(demand);
    out->n_asking_classes = rk_quota_class_encode(demand, classes);
    out->asking_classes = classes;
}

size_t rk_report_put_shares(const struct rk_relay_report *r,
                            float out[RK_QUOTA_SLICES])
{
    for (size_t i = 0; i < RK_QUOTA_SLICES; i++)
        out[i] = (float)r->quota_history_shares[i];
    return RK_QUOTA_SLICES;
}

void rk_report_receive_shares(double shares[RK_QUOTA_SLICES], const float *in,
                              size_t len)
{
    for (size_t i = 0; i < RK_QUOTA_SLICES; i++) {
        double share = i < len ? (double)in[i] : 0;
        shares[i] = share > 0 && share <= 1 ? share : 0;
    }
}

static void put_row(struct rk_report *p, const struct rk_org_use *use)
{
    Rillknot__OrgUse *row = &p->uses[p->report.n_uses];
    rillknot__org_use__init(row);
    row->org = (char *)use->org;
    row->units = use->units;
    rk_report_put_demand(row, use->class_demand_per_s,
                         &p->class_demand[p->report.n_uses * RK_QUOTA_CLASSES]);
    p->use_ptrs[p->report.n_uses++] = row;
}

void rk_report_fill_uses(struct rk_report *p, struct rk_mesh *m,
                         const struct rk_relay_report *r)
{
    bool with_history = m->direct || m->history_requested;
    bool all = with_history || m->uses_requested || !changes_suffice(m);
    p->uses = rk_alloc(r->quota_usage_len + 1, sizeof(*p->uses));
    p->known =
        rk_alloc(r->quota_usage_len * RK_QUOTA_SLICES + 1, sizeof(*p->known));
    p->class_demand = rk_alloc(r->quota_usage_len * RK_QUOTA_CLASSES + 1,
                               sizeof(*p->class_demand));
    p->use_ptrs = rk_alloc(r->quota_usage_len + 1, sizeof(*p->use_ptrs));
    for (size_t i = 0; i < r->quota_usage_len; i++) {
        const struct rk_org_use *use = &r->quota_usage[i];
        bool changed = rk_org_use_changed(use, &m->uses_reported);
        if (!changed && !with_history && !(all && use->units != 0))
            continue;
        put_row(p, use);
        if (with_history)
            put_history(p, p->report.n_uses - 1, use);
    }
    p->report.uses = p->use_ptrs;
    p->report.uses_changed = !all;
    p->report.knows = with_history;
    m->uses_requested = m->history_requested = false;
}

void rk_report_uses_sent(struct rk_mesh *m, const struct rk_report *p)
{
    bool all = m->n->report && !p->report.uses_changed;
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        if (!rk_mesh_reports_to(k))
            continue;
        bool sent = rk_mesh_link_is_ready(k->link);
        k->link_state.uses_sent = sent && (all || k->link_state.uses_sent);
    }
}

/* ---- receiving ---- */

bool rk_report_is_counted(const struct member *k)
{
    return k->m->direct || (k->m->bridge && rk_mesh_is_same_domain(k));
}

void rk_report_receive_demand(struct rk_org_use *row, const Rillknot__OrgUse *in)
{
    if (!rk_quota_class_decode((double)in->asking, in->asking_classes,
                               in->n_asking_classes, row->class_demand_per_s))
        RK_WARN("quota.rejected", RK_S("organisation", in->org));
    row->demand_per_s = rk_quota_class_sum(row->class_demand_per_s);
}

/* Adds units that a member used to the sums for the relay and for digests. */
static void count_use(struct member *k, const char *org, double increase)
{
    struct rk_mesh *m = k->m;
    if (!rk_report_is_counted(k) || increase == 0)
        return;
    rk_mesh_add_peer_use(m, org, increase);
    *rk_totals_get(&m->domain_uses, org) += increase;
    *rk_totals_get(&m->fleet_uses, org) += increase;
}

static void receive_history(struct rk_org_use *row, const Rillknot__OrgUse *in)
{
    for (size_t j = 0; j < in->n_known && j < RK_QUOTA_SLICES; j++)
        row->used_slices[j] = (double)in->known[j];
}

/* Applies the usage rows of a report. What the member used since its last report
 * goes to the relay with the next update of peers. At a member's first report
 * nothing is counted: what it used before is part of the peers' quota histories. */
void rk_report_receive_uses(struct member *k, const Rillknot__NodeReport *r)
{
    bool all = !r->uses_changed;
    if (!all && !k->has_all_uses)
        return; /* changes to rows that are missing here: all will be requested */
    rk_org_uses_begin(&k->uses);
    for (size_t i = 0; i < r->n_uses; i++) {
        const Rillknot__OrgUse *in = r->uses[i];
        double increase = rk_org_uses_set_units(&k->uses, in->org, in->units);
        struct rk_org_use *row = rk_org_uses_get(&k->uses, in->org);
        rk_report_receive_demand(row, in);
        receive_history(row, in);
        if (k->has_all_uses)
            count_use(k, in->org, increase);
    }
    k->has_all_uses = k->has_all_uses || all;
    /* Nodes of earlier versions send the history with each report. */
    k->has_quota_history = k->has_quota_history || r->knows || !r->takes_changes;
}

bool rk_report_lacks_uses(struct member *k, int64_t now_ms)
{
    bool pending =
        k->uses_requested_ms && now_ms - k->uses_requested_ms < REQUEST_RETRY_MS;
    if (k->has_all_uses || pending || !rk_report_is_counted(k))
        return false;
    k->uses_requested_ms = now_ms;
    return true;
}

/* Returns whether this node, a bridge, has a shorter quota history than the window
 * and has not received a complete one from a reachable member either. */
static bool lacks_history(const struct rk_mesh *m, int64_t window_ms)
{
    int64_t now_ms = rk_mono_ms();
    if (!m->bridge || !m->n->report || m->n->report->quota_history_ms >= window_ms)
        return false;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->has_quota_history && rk_mesh_is_reachable_directly(k, now_ms) &&
            k->quota_history_ms >= window_ms)
            return false;
    return true;
}

void rk_report_request_history(struct rk_mesh *m, int64_t now_ms)
{
    int64_t window_ms = rk_s_to_ms(m->n->file.quota_window_s);
    bool pending = m->history_requested_ms &&
                   now_ms - m->history_requested_ms < REQUEST_RETRY_MS;
    if (pending || !lacks_history(m, window_ms))
        return;
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        bool has_history = rk_mesh_is_same_domain(k) &&
                           rk_mesh_is_reachable_directly(k, now_ms) &&
                           k->quota_history_ms >= window_ms;
        if (!has_history || !rk_mesh_link_is_ready(k->link))
            continue;
        m->history_requested_ms = now_ms;
        rk_mesh_request_uses(k->link, true);
        return;
    }
}
