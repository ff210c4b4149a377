/* What nodes tell each other: making a report of this node, and taking in what
 * another one says of itself. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

static void fill_vms(struct rk_report *p, const struct rk_relay_report *r)
{
    p->vms = rk_alloc(r->loads_len + 1, sizeof(*p->vms));
    p->vm_ptrs = rk_alloc(r->loads_len + 1, sizeof(*p->vm_ptrs));
    for (size_t i = 0; i < r->loads_len; i++) {
        rk_loads_put(&p->vms[i], &r->loads[i]);
        p->vm_ptrs[i] = &p->vms[i];
    }
    p->report.n_vms = r->loads_len;
    p->report.vms = p->vm_ptrs;
}

static void fill_uses(struct rk_report *p, const struct rk_relay_report *r)
{
    p->uses = rk_alloc(r->uses_len + 1, sizeof(*p->uses));
    p->known = rk_alloc(r->uses_len * RK_QUOTA_PARTS + 1, sizeof(*p->known));
    p->use_ptrs = rk_alloc(r->uses_len + 1, sizeof(*p->use_ptrs));
    for (size_t i = 0; i < r->uses_len; i++) {
        rillknot__org_use__init(&p->uses[i]);
        p->uses[i].org = r->uses[i].org;
        p->uses[i].units = r->uses[i].units;
        p->uses[i].asking = (float)r->uses[i].asking;
        for (size_t j = 0; j < RK_QUOTA_PARTS; j++)
            p->known[i * RK_QUOTA_PARTS + j] = (uint64_t)r->uses[i].known[j];
        p->uses[i].n_known = RK_QUOTA_PARTS;
        p->uses[i].known = &p->known[i * RK_QUOTA_PARTS];
        p->use_ptrs[i] = &p->uses[i];
    }
    p->report.n_uses = r->uses_len;
    p->report.uses = p->use_ptrs;
}

static void fill_services(struct rk_report *p, const struct rk_relay_report *r)
{
    p->services = rk_alloc(r->services_len + 1, sizeof(*p->services));
    p->service_ptrs = rk_alloc(r->services_len + 1, sizeof(*p->service_ptrs));
    p->engines = rk_alloc(r->services_len + 1, sizeof(*p->engines));
    for (size_t i = 0; i < r->services_len; i++) {
        rillknot__service_use__init(&p->services[i]);
        p->services[i].service = r->services[i].service;
        p->services[i].read_tokens = r->services[i].read_tokens;
        p->services[i].running = r->services[i].running;
        p->services[i].begun = r->services[i].begun;
        if (r->services[i].engine.samples > 0) {
            rk_engines_put(&p->engines[i], &r->services[i].engine);
            p->services[i].engine = &p->engines[i];
        }
        p->service_ptrs[i] = &p->services[i];
    }
    p->report.n_services = r->services_len;
    p->report.services = p->service_ptrs;
}

/* Who else is there; in a larger fleet bridges tell. */
static void fill_peers(struct rk_report *p, const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    if (!m->direct)
        return;
    p->peers = rk_alloc(rk_mesh_count(m) + 1, sizeof(*p->peers));
    for (struct member *k = m->members; k; k = k->next)
        if (k->id[0] && rk_mesh_is_heard(k, now_ms))
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
    p->report.hears_store = rk_sync_hears_store(m->n->sync);
    p->report.store_age_ms = rk_sync_age_ms(n->sync);
    p->report.capacity = rk_mesh_capacity(m);
    const char *value;
    if (rk_duty_keeper_lease(n->duty_keeper, &p->lease.version, &value)) {
        p->lease.value = (char *)value;
        p->report.lease = &p->lease;
    }
    fill_peers(p, m);
    if (!n->report)
        return;
    p->report.remembers_ms = n->report->remembers_ms;
    fill_vms(p, n->report);
    fill_uses(p, n->report);
    rk_usage_fill_report(p, m);
    fill_services(p, n->report);
}

void rk_report_free(struct rk_report *p)
{
    free(p->vms);
    free(p->vm_ptrs);
    free(p->uses);
    free(p->known);
    free(p->use_ptrs);
    free(p->usage);
    free(p->usage_ptrs);
    free(p->services);
    free(p->service_ptrs);
    free(p->engines);
    free(p->peers);
}

/* Does what a member tells of itself count here? In a larger fleet the bridges of
 * its domain count it, and the others hear of it by their digests. */
static bool counts(const struct member *k)
{
    return k->m->direct || (k->m->bridge && rk_mesh_is_near(k));
}

static double used_before(const struct member *k, const char *org)
{
    const struct rk_org_use *before = rk_org_use_find(k->uses, k->uses_len, org);
    return before ? before->units : 0;
}

static void count_use(struct member *k, const char *org, double rise)
{
    struct rk_mesh *m = k->m;
    if (!counts(k) || rise == 0)
        return;
    rk_mesh_add_news(m, org, rise);
    *rk_tally_at(&m->domain_uses, org) += rise;
    *rk_tally_at(&m->fleet_uses, org) += rise;
}

/* What the node used since its last report goes to the relay with the next. What a
 * node heard for the first time used before is among what peers remember. */
static void take_uses(struct member *k, const Rillknot__NodeReport *r, bool first)
{
    struct rk_org_use *uses = rk_alloc(r->n_uses + 1, sizeof(*uses));
    for (size_t i = 0; i < r->n_uses; i++) {
        rk_strcpy(uses[i].org, sizeof(uses[i].org), r->uses[i]->org);
        uses[i].units = r->uses[i]->units;
        uses[i].asking = rk_report_asking(r->uses[i]);
        for (size_t j = 0; j < r->uses[i]->n_known && j < RK_QUOTA_PARTS; j++)
            uses[i].known[j] = (double)r->uses[i]->known[j];
        double before = first ? uses[i].units : used_before(k, uses[i].org);
        count_use(k, uses[i].org, uses[i].units - before);
    }
    free(k->uses);
    k->uses = uses;
    k->uses_len = r->n_uses;
}

double rk_report_asking(const Rillknot__OrgUse *told)
{
    if (isfinite(told->asking) && told->asking >= 0)
        return (double)told->asking;
    RK_WARN("quota.rejected", RK_S("organisation", told->org));
    return 0;
}

static double read_before(const struct member *k, const char *service)
{
    const struct rk_service_use *before =
        rk_service_use_find(k->services, k->services_len, service);
    return before ? before->read_tokens : 0;
}

static void count_read(struct member *k, const char *service, double rise)
{
    struct rk_mesh *m = k->m;
    if (!counts(k) || rise <= 0)
        return;
    *rk_tally_at(&m->peer_reads, service) += rise;
    *rk_tally_at(&m->domain_reads, service) += rise;
    *rk_tally_at(&m->fleet_reads, service) += rise;
}

static void take_services(struct member *k, const Rillknot__NodeReport *r,
                          bool first)
{
    struct rk_service_use *services =
        rk_alloc(r->n_services + 1, sizeof(*services));
    for (size_t i = 0; i < r->n_services; i++) {
        struct rk_service_use *use = &services[i];
        rk_strcpy(use->service, sizeof(use->service), r->services[i]->service);
        use->read_tokens = r->services[i]->read_tokens;
        use->running = r->services[i]->running;
        use->begun = r->services[i]->begun;
        use->engine = rk_engines_get(r->services[i]->engine);
        double before = first ? use->read_tokens : read_before(k, use->service);
        count_read(k, use->service, use->read_tokens - before);
    }
    free(k->services);
    k->services = services;
    k->services_len = r->n_services;
}

void rk_report_take(struct member *k, const Rillknot__NodeReport *r)
{
    bool first = !k->incarnation;
    if (k->incarnation != r->incarnation) {
        k->incarnation = r->incarnation;
        k->uses_len = 0; /* it counts from its start */
        k->services_len = 0;
    }
    rk_strcpy(k->domain, sizeof(k->domain), r->domain);
    k->capacity = r->capacity;
    k->heard_ms = rk_mono_ms();
    k->unproven = false;
    k->leaving = r->leaving;
    k->slow = r->slow;
    k->hears_store = r->hears_store;
    k->remembers_ms = r->remembers_ms;
    take_uses(k, r, first);
    rk_loads_take(&k->loads, &k->loads_len, r->vms, r->n_vms);
    take_services(k, r, first);
    rk_usage_take(k->m->n, r->usage, r->n_usage);
}
