/* Node reports: building the report of this node and applying those of its peers. A
 * report holds a node's state, its load by VM, its use of quotas and its counts of
 * calls. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

/* From the first report of a node until its peers have counted what it used. */
#define CATCH_UP_MS 500

static void fill_vms(struct rk_report *p, const struct rk_relay_report *r)
{
    p->vms = rk_alloc(r->loads_len + 1, sizeof(*p->vms));
    p->vm_ptrs = rk_alloc(r->loads_len + 1, sizeof(*p->vm_ptrs));
    for (size_t i = 0; i < r->loads_len; i++) {
        rk_loads_encode(&p->vms[i], &r->loads[i]);
        p->vm_ptrs[i] = &p->vms[i];
    }
    p->report.n_vms = r->loads_len;
    p->report.vms = p->vm_ptrs;
}

static void fill_services(struct rk_report *p, const struct rk_relay_report *r)
{
    p->services = rk_alloc(r->services_len + 1, sizeof(*p->services));
    p->service_ptrs = rk_alloc(r->services_len + 1, sizeof(*p->service_ptrs));
    p->engines = rk_alloc(r->services_len + 1, sizeof(*p->engines));
    for (size_t i = 0; i < r->services_len; i++) {
        rillknot__service_use__init(&p->services[i]);
        p->services[i].service = r->services[i].service;
        p->services[i].read_tokens = r->services[i].demand_tokens;
        p->services[i].running = r->services[i].running;
        p->services[i].begun = r->services[i].begun;
        if (r->services[i].engine.samples > 0) {
            rk_engines_encode(&p->engines[i], &r->services[i].engine);
            p->services[i].engine = &p->engines[i];
        }
        p->service_ptrs[i] = &p->services[i];
    }
    p->report.n_services = r->services_len;
    p->report.services = p->service_ptrs;
}

/* In a small fleet, fills in the addresses of reachable nodes. In a large one, the
 * digests of bridges have them. */
static void fill_peers(struct rk_report *p, const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    if (!m->direct)
        return;
    p->peers = rk_alloc(rk_mesh_count(m) + 1, sizeof(*p->peers));
    for (struct member *k = m->contacts; k; k = k->next_contact)
        if (k->id[0] && rk_mesh_is_reachable_directly(k, now_ms))
            p->peers[p->report.n_peers++] = k->addr;
    p->report.peers = p->peers;
}

void rk_report_fill(struct rk_report *p, struct rk_mesh *m)
{
    struct rk_node *n = m->n;
    *p = (struct rk_report){0};
    rillknot__node_report__init(&p->report);
    rillknot__lease_row__init(&p->lease);
    p->report.id = n->file.id;
    p->report.domain = n->file.failure_domain;
    p->report.addr = (char *)rk_mesh_addr(m);
    p->report.incarnation = n->incarnation;
    p->report.settings_version = rk_sync_version(n->sync);
    p->report.list_revision = rk_sync_list_revision(n->sync);
    p->report.leaving = n->leaving;
    p->report.slow = m->slow;
    p->report.hears_store = rk_sync_store_reachable(m->n->sync);
    p->report.store_age_ms = rk_sync_age_ms(n->sync);
    p->report.capacity = rk_mesh_capacity(m);
    p->report.takes_changes = true;
    p->report.takes_brief = true;
    p->report.forward_port = rk_mesh_forward_port(m);
    const char *value;
    if (rk_leader_own_lease(n->leader, &p->lease.version, &value)) {
        p->lease.value = (char *)value;
        p->report.lease = &p->lease;
    }
    fill_peers(p, m);
    if (!n->report)
        return;
    p->report.remembers_ms = n->report->quota_history_ms;
    p->report.known_shares = p->known_shares;
    p->report.n_known_shares = rk_report_put_shares(n->report, p->known_shares);
    fill_vms(p, n->report);
    rk_report_fill_uses(p, m, n->report);
    rk_usage_fill_report(p, m);
    fill_services(p, n->report);
}

void rk_report_free(struct rk_report *p)
{
    free(p->vms);
    free(p->vm_ptrs);
    free(p->uses);
    free(p->known);
    free(p->class_demand);
    free(p->use_ptrs);
    free(p->usage);
    free(p->usage_ptrs);
    free(p->services);
    free(p->service_ptrs);
    free(p->engines);
    free(p->peers);
}

static double last_read_tokens(const struct member *k, const char *service)
{
    const struct rk_service_load *last =
        rk_service_load_find(k->services, k->services_len, service);
    return last ? last->demand_tokens : 0;
}

/* Adds the prompt tokens that engines read for a member since its last report. */
static void add_read_tokens(struct member *k, const char *service, double increase)
{
    struct rk_mesh *m = k->m;
    if (!rk_report_is_counted(k) || increase <= 0)
        return;
    *rk_totals_get(&m->peer_reads, service) += increase;
    *rk_totals_get(&m->domain_reads, service) += increase;
    *rk_totals_get(&m->fleet_reads, service) += increase;
}

/* first: there is no earlier report to count from. */
static void receive_services(struct member *k, const Rillknot__NodeReport *r,
                             bool first)
{
    struct rk_service_load *services =
        rk_alloc(r->n_services + 1, sizeof(*services));
    for (size_t i = 0; i < r->n_services; i++) {
        struct rk_service_load *use = &services[i];
        rk_strcpy(use->service, sizeof(use->service), r->services[i]->service);
        use->demand_tokens = r->services[i]->read_tokens;
        use->running = r->services[i]->running;
        use->begun = r->services[i]->begun;
        use->engine = rk_engines_decode(r->services[i]->engine);
        double last =
            first ? use->demand_tokens : last_read_tokens(k, use->service);
        add_read_tokens(k, use->service, use->demand_tokens - last);
    }
    free(k->services);
    k->services = services;
    k->services_len = r->n_services;
}

/* Returns whether all that a new peer used since its start counts. */
static bool started_together(const struct member *k, const Rillknot__NodeReport *r)
{
    const struct rk_node *n = k->m->n;
    int64_t own_ms = n->report ? n->report->quota_history_ms : 0;
    return k->m->direct && !r->uses_changed &&
           rk_quota_started_together(own_ms, r->remembers_ms,
                                     rk_s_to_ms(n->file.quota_window_s));
}

/* Schedules the merge of a peer's quota history after the first report of a node
 * that has lived for long: a partition has ended that began before this node
 * started, and what that node used meanwhile was never counted here. */
static void schedule_catch_up(struct member *k, const Rillknot__NodeReport *r)
{
    struct rk_mesh *m = k->m;
    k->reports_since_ms = rk_mono_ms();
    if (m->direct && r->remembers_ms >= rk_s_to_ms(m->n->file.quota_window_s))
        m->catch_up_at_ms = rk_mono_ms() + CATCH_UP_MS;
}

bool rk_report_receive(struct member *k, const Rillknot__NodeReport *r)
{
    bool first = !k->incarnation;
    /* Counts of calls carry their incarnation, so those of a past one are valid. */
    rk_usage_receive(k->m->n, r->usage, r->n_usage);
    if (!rk_mesh_accepts_incarnation(k, r->incarnation))
        return false;
    rk_mesh_add_contact(k);
    if (!k->reports_since_ms)
        schedule_catch_up(k, r);
    if (k->incarnation != r->incarnation) {
        k->incarnation = r->incarnation;
        rk_org_uses_clear(&k->uses); /* its counters began at 0 */
        k->has_all_uses = !first || started_together(k, r);
        k->has_quota_history = false;
        k->services_len = 0;
    }
    rk_strcpy(k->domain, sizeof(k->domain), r->domain);
    k->capacity = r->capacity;
    k->last_received_ms = rk_mono_ms();
    k->unconfirmed = false;
    k->leaving = r->leaving;
    k->slow = r->slow;
    k->store_reachable = r->hears_store;
    k->accepts_changes = r->takes_changes;
    k->accepts_brief = r->takes_brief;
    k->forward_port = r->forward_port;
    k->quota_history_ms = r->remembers_ms;
    rk_report_receive_shares(k->quota_history_shares, r->known_shares,
                             r->n_known_shares);
    rk_report_receive_uses(k, r);
    rk_loads_decode(&k->loads, &k->loads_len, r->vms, r->n_vms);
    receive_services(k, r, first);
    return true;
}
