/* Digests that a bridge sends: the sum over its own domain to the bridges of the
 * other domains, and the sum over the fleet to the nodes of its own. */
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"
#include "peers/link.h"

#define DIGEST_MS 250 /* between rounds */
/* One of this many rounds has the member list. */
#define MEMBERS_ROUNDS 4
/* One of this many member lists for the nodes of this domain has all nodes of the
 * other domains. The rest of the lists have only the bridges there, as nodes only
 * need to know that the others exist. */
#define ALL_MEMBERS_LISTS 4
/* The first rounds of a process all have the member list. After a kill of all nodes
 * reachability changes fast, and restarted nodes know no others. */
#define FIRST_ROUNDS 8
/* The more VMs there are, the fewer rounds have their loads: one round of
 * 1 + VMs / VMS_PER_ROUND, and at least one of VMS_ROUNDS_MAX. At 160 engines,
 * loads every 500 ms instead of every 250 ms made the 99th percentile of the time
 * to the first token 12% longer, and 28% longer under load. */
#define VMS_PER_ROUND  300
#define VMS_ROUNDS_MAX 8
/* The second bridge of a domain sends only heartbeats to the domain's nodes in
 * every other round. They count the first bridge's digests; if those stop, digests
 * that are half a second apart are enough. */
#define SECOND_BRIDGE_ROUNDS 2

/* Minimum interval between member lists to a node that knows only this one's
 * address. One has 25 KB at 295 nodes, too much for an answer to each report. */
#define MEMBERS_RETRY_MS 2000

/* A digest being built. */
struct digest_builder {
    Rillknot__Digest digest;
    Rillknot__LeaseRow lease;
    struct rk_vm_load *loads; /* by node and VM; by VM after sum_loads() */
    size_t loads_len;
    struct rk_totals in_flight; /* calls in flight, by service */
    struct rk_totals begun;     /* of these, calls whose answers have begun */
    struct rk_org_demands demand;
    Rillknot__VmUse *vms, **vm_ptrs;
    Rillknot__OrgUse *uses, **use_ptrs;
    uint64_t *known;
    float known_shares[RK_QUOTA_SLICES];
    float *class_demand;
    Rillknot__ServiceUse *services, **service_ptrs;
    Rillknot__EngineEstimate *engines;
    Rillknot__NodeRow *members, **member_ptrs;
};

static void add_loads(struct digest_builder *p, const struct rk_vm_load *loads,
                      size_t len)
{
    p->loads = rk_realloc(p->loads, (p->loads_len + len + 1) * sizeof(*p->loads));
    if (len)
        memcpy(p->loads + p->loads_len, loads, len * sizeof(*loads));
    p->loads_len += len;
}

static int by_vm(const void *a, const void *b)
{
    const struct rk_vm_load *x = a, *y = b;
    int order = strcmp(x->id, y->id);
    return order ? order
                 : (x->incarnation > y->incarnation) -
                       (x->incarnation < y->incarnation);
}

/* Merges the loads into one row for each incarnation of a VM. */
static void sum_loads(struct digest_builder *p)
{
    size_t len = 0;
    if (p->loads_len)
        qsort(p->loads, p->loads_len, sizeof(*p->loads), by_vm);
    for (size_t i = 0; i < p->loads_len; i++) {
        if (len && !by_vm(&p->loads[len - 1], &p->loads[i]))
            rk_loads_sum(&p->loads[len - 1], &p->loads[i]);
        else
            p->loads[len++] = p->loads[i];
    }
    p->loads_len = len;
}

static void add_in_flight(struct digest_builder *p,
                          const struct rk_service_load *services, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        *rk_totals_get(&p->in_flight, services[i].service) += services[i].running;
        *rk_totals_get(&p->begun, services[i].service) += services[i].begun;
    }
}

/* Adds the loads of this domain's nodes and, if fleet, of the other domains. */
static void add_nodes(struct digest_builder *p, const struct rk_mesh *m, bool fleet)
{
    const struct rk_relay_report *r = m->n->report;
    int64_t now_ms = rk_mono_ms();
    p->digest.nodes_heard = 1;
    if (r) {
        add_loads(p, r->loads, r->loads_len);
        add_in_flight(p, r->services, r->services_len);
    }
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (rk_mesh_is_same_domain(k) && rk_mesh_is_reachable_directly(k, now_ms)) {
            p->digest.nodes_heard++;
            add_loads(p, k->loads, k->loads_len);
            add_in_flight(p, k->services, k->services_len);
        } else if (fleet && rk_digest_is_counted(k, now_ms)) {
            p->digest.nodes_heard += (uint32_t)k->digest.nodes_reachable;
            add_loads(p, k->digest.loads, k->digest.loads_len);
            add_in_flight(p, k->digest.services, k->digest.services_len);
        }
    }
}

static void fill_vms(struct digest_builder *p)
{
    size_t len = p->loads_len;
    p->vms = rk_alloc(len + 1, sizeof(*p->vms));
    p->vm_ptrs = rk_alloc(len + 1, sizeof(*p->vm_ptrs));
    for (size_t i = 0; i < len; i++) {
        rk_loads_encode(&p->vms[i], &p->loads[i]);
        p->vm_ptrs[i] = &p->vms[i];
    }
    p->digest.n_vms = len;
    p->digest.vms = p->vm_ptrs;
    p->digest.vms_told = true;
}

/* Returns whether this round's digests have the VMs' loads. */
static bool is_vms_round(const struct rk_mesh *m, size_t vms)
{
    size_t rounds = 1 + vms / VMS_PER_ROUND;
    return m->digest_rounds % (rounds < VMS_ROUNDS_MAX ? rounds : VMS_ROUNDS_MAX) ==
           0;
}

static void fill_history(struct digest_builder *p, const struct rk_mesh *m,
                         size_t row)
{
    const struct rk_relay_report *r = m->n->report;
    const struct rk_org_use *own =
        r ? rk_org_use_find(r->quota_usage, r->quota_usage_len, p->uses[row].org)
          : NULL;
    uint64_t *known = &p->known[row * RK_QUOTA_SLICES];
    if (!own)
        return;
    for (size_t j = 0; j < RK_QUOTA_SLICES; j++)
        known[j] = (uint64_t)own->used_slices[j];
    p->uses[row].known = known;
    p->uses[row].n_known = RK_QUOTA_SLICES;
}

/* Sums the demand at the nodes that the digest covers. */
static void add_demand(struct digest_builder *p, const struct rk_mesh *m,
                       bool fleet)
{
    const struct rk_relay_report *r = m->n->report;
    rk_loads_add_demand(m, fleet, &p->demand, rk_mono_ms());
    if (r)
        rk_org_demands_add(&p->demand, r->quota_usage, r->quota_usage_len, 1);
}

static void fill_demand(struct digest_builder *p, size_t row)
{
    const struct rk_org_demand *demand =
        rk_org_demands_find(&p->demand, p->uses[row].org);
    if (demand)
        rk_report_put_demand(&p->uses[row], demand->per_s,
                             &p->class_demand[row * RK_QUOTA_CLASSES]);
}

static void fill_uses(struct digest_builder *p, const struct rk_mesh *m, bool fleet,
                      bool with_history)
{
    const struct rk_totals *uses = fleet ? &m->fleet_uses : &m->domain_uses;
    p->uses = rk_alloc(uses->len + 1, sizeof(*p->uses));
    p->use_ptrs = rk_alloc(uses->len + 1, sizeof(*p->use_ptrs));
    p->known = rk_alloc(uses->len * RK_QUOTA_SLICES + 1, sizeof(*p->known));
    p->class_demand =
        rk_alloc(uses->len * RK_QUOTA_CLASSES + 1, sizeof(*p->class_demand));
    add_demand(p, m, fleet);
    for (size_t i = 0; i < uses->len; i++) {
        rillknot__org_use__init(&p->uses[i]);
        p->uses[i].org = uses->rows[i].name;
        p->uses[i].units = uses->rows[i].total;
        fill_demand(p, i);
        if (with_history)
            fill_history(p, m, i);
        p->use_ptrs[i] = &p->uses[i];
    }
    p->digest.n_uses = uses->len;
    p->digest.uses = p->use_ptrs;
}

static void fill_services(struct digest_builder *p, const struct rk_mesh *m,
                          bool fleet)
{
    const struct rk_totals *reads = fleet ? &m->fleet_reads : &m->domain_reads;
    p->engines = rk_alloc(reads->len + 1, sizeof(*p->engines));
    p->services = rk_alloc(reads->len + 1, sizeof(*p->services));
    p->service_ptrs = rk_alloc(reads->len + 1, sizeof(*p->service_ptrs));
    for (size_t i = 0; i < reads->len; i++) {
        Rillknot__ServiceUse *use = &p->services[i];
        rillknot__service_use__init(use);
        use->service = reads->rows[i].name;
        use->read_tokens = reads->rows[i].total;
        use->running = (uint32_t)rk_totals_value(&p->in_flight, use->service);
        use->begun = (uint32_t)rk_totals_value(&p->begun, use->service);
        struct rk_engine_estimate e = rk_engines_mean(m, use->service, fleet);
        if (e.samples > 0) {
            rk_engines_encode(&p->engines[i], &e);
            use->engine = &p->engines[i];
        }
        p->service_ptrs[i] = use;
    }
    p->digest.n_services = reads->len;
    p->digest.services = p->service_ptrs;
}

/* Returns whether to report a member as reachable. For its own domain a bridge
 * reports what it observed itself, for other domains what it received. */
static bool is_reported_reachable(const struct member *k, int64_t now_ms)
{
    if (rk_mesh_is_same_domain(k) && k->m->bridge)
        return rk_mesh_is_reachable_directly(k, now_ms);
    return (k->reported_ms || k->last_received_ms) && rk_mesh_is_alive(k, now_ms);
}

/* Which members a digest lists. Of other domains, SOME_MEMBERS has only bridges. */
enum members { NO_MEMBERS, SOME_MEMBERS, ALL_MEMBERS };

static enum members members_of_round(const struct rk_mesh *m)
{
    if (m->digest_rounds && m->digest_rounds < FIRST_ROUNDS)
        return SOME_MEMBERS;
    if (m->digest_rounds % MEMBERS_ROUNDS != 0)
        return NO_MEMBERS;
    return m->digest_rounds % (MEMBERS_ROUNDS * ALL_MEMBERS_LISTS) ? SOME_MEMBERS
                                                                   : ALL_MEMBERS;
}

static bool includes_member(const struct member *k, bool fleet,
                            enum members members)
{
    if (!k->id[0] || !k->domain[0])
        return false;
    if (rk_mesh_is_same_domain(k))
        return true;
    return fleet && (k->bridge || members == ALL_MEMBERS);
}

static void fill_members(struct digest_builder *p, const struct rk_mesh *m,
                         bool fleet, enum members members)
{
    int64_t now_ms = rk_mono_ms();
    size_t len = rk_mesh_count(m);
    p->members = rk_alloc(len + 1, sizeof(*p->members));
    p->member_ptrs = rk_alloc(len + 1, sizeof(*p->member_ptrs));
    for (struct member *k = m->members; k; k = k->next) {
        if (!includes_member(k, fleet, members))
            continue;
        Rillknot__NodeRow *row = &p->members[p->digest.n_members];
        rillknot__node_row__init(row);
        row->id = k->id;
        row->addr = k->addr;
        row->domain = k->domain;
        row->capacity = k->capacity;
        row->heard = is_reported_reachable(k, now_ms);
        row->leaving = k->leaving;
        row->slow = k->slow;
        row->hears_store = k->store_reachable;
        row->forward_port = k->forward_port;
        p->member_ptrs[p->digest.n_members++] = row;
    }
    p->digest.members = p->member_ptrs;
}

/* Fills in a digest. brief: it is only a heartbeat, without loads, usage and
 * members. */
static void fill(struct digest_builder *p, struct rk_mesh *m, bool fleet,
                 bool brief, enum members members)
{
    struct rk_node *n = m->n;
    *p = (struct digest_builder){0};
    rillknot__digest__init(&p->digest);
    rillknot__lease_row__init(&p->lease);
    p->digest.id = n->file.id;
    p->digest.addr = (char *)rk_mesh_addr(m);
    p->digest.domain = n->file.failure_domain;
    p->digest.forward_port = rk_mesh_forward_port(m);
    p->digest.incarnation = n->incarnation;
    p->digest.fleet = fleet;
    p->digest.capacity = rk_mesh_capacity(m);
    p->digest.slow = m->slow;
    p->digest.takes_changes = true;
    p->digest.hears_store = rk_sync_store_reachable(n->sync);
    p->digest.settings_version = rk_sync_version(n->sync);
    p->digest.list_revision = rk_sync_list_revision(n->sync);
    p->digest.store_age_ms = rk_sync_age_ms(n->sync);
    p->digest.nodes_total = (uint32_t)rk_mesh_total(m);
    p->digest.remembers_ms = n->report ? n->report->quota_history_ms : 0;
    p->digest.known_shares = p->known_shares;
    if (n->report && members != NO_MEMBERS)
        p->digest.n_known_shares = rk_report_put_shares(n->report, p->known_shares);
    const char *value;
    if (rk_leader_newest_lease(n->leader, &p->lease.version, &value)) {
        p->lease.value = (char *)value;
        p->digest.lease = &p->lease;
    }
    add_nodes(p, m, fleet);
    p->digest.brief = brief;
    if (brief)
        return;
    sum_loads(p);
    if (is_vms_round(m, p->loads_len))
        fill_vms(p);
    fill_uses(p, m, fleet, members != NO_MEMBERS);
    fill_services(p, m, fleet);
    if (members != NO_MEMBERS)
        fill_members(p, m, fleet, members);
}

static void free_builder(struct digest_builder *p)
{
    free(p->loads);
    rk_totals_free(&p->in_flight);
    rk_totals_free(&p->begun);
    rk_org_demands_free(&p->demand);
    free(p->vms);
    free(p->vm_ptrs);
    free(p->uses);
    free(p->use_ptrs);
    free(p->known);
    free(p->class_demand);
    free(p->services);
    free(p->engines);
    free(p->service_ptrs);
    free(p->members);
    free(p->member_ptrs);
}

/* ---- sending ---- */

/* Adds what this node used and read since the last call to a bridge's counters. */
static void add_own(struct rk_mesh *m)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->quota_usage_len; i++) {
        const char *org = r->quota_usage[i].org;
        double increase =
            rk_totals_set(&m->included_uses, org, r->quota_usage[i].units);
        *rk_totals_get(&m->domain_uses, org) += increase;
        *rk_totals_get(&m->fleet_uses, org) += increase;
    }
    for (size_t i = 0; r && i < r->services_len; i++) {
        const char *service = r->services[i].service;
        double increase = rk_totals_set(&m->included_reads, service,
                                        r->services[i].demand_tokens);
        *rk_totals_get(&m->domain_reads, service) += increase;
        *rk_totals_get(&m->fleet_reads, service) += increase;
    }
}

void rk_digest_start_counting(struct rk_mesh *m)
{
    rk_digest_note_gap(m, rk_mono_ms());
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->quota_usage_len; i++)
        rk_totals_set(&m->included_uses, r->quota_usage[i].org,
                      r->quota_usage[i].units);
    for (size_t i = 0; r && i < r->services_len; i++)
        rk_totals_set(&m->included_reads, r->services[i].service,
                      r->services[i].demand_tokens);
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        k->incarnation = 0; /* its next report becomes the baseline */
        k->has_all_uses = false;
        k->digest.has_baseline = false;
    }
}

/* Packs a digest of the fleet. The caller frees it. */
static struct rk_packed_frame pack_fleet(struct rk_mesh *m, bool brief,
                                         enum members members)
{
    struct digest_builder p;
    fill(&p, m, true, brief, members);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &p.digest;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    free_builder(&p);
    return packed;
}

static bool wants_domain_digest(const struct member *k, const void *ctx)
{
    (void)ctx;
    return !rk_mesh_is_same_domain(k) && k->bridge;
}

/* Sends a digest of this domain to the bridges of the others. */
static void send_to_bridges(struct rk_mesh *m, enum members members)
{
    struct digest_builder p;
    fill(&p, m, false, false, members);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &p.digest;
    rk_mesh_send(m, &frame, wants_domain_digest, NULL);
    free_builder(&p);
}

/* Sorts nodes that accept only full digests first, then by the age of the last full
 * digest that they got, the oldest first. */
static int by_digest_round(const void *a, const void *b)
{
    const struct member *x = *(struct member *const *)a,
                        *y = *(struct member *const *)b;
    if (x->accepts_brief != y->accepts_brief)
        return x->accepts_brief - y->accepts_brief;
    return (x->link_state.digest_round > y->link_state.digest_round) -
           (x->link_state.digest_round < y->link_state.digest_round);
}

/* Collects the nodes of this domain to which the digest of the fleet is sent. */
static size_t collect_receivers(const struct rk_mesh *m, struct member **nodes)
{
    size_t len = 0;
    for (struct member *k = m->contacts; k; k = k->next_contact)
        if (rk_mesh_is_same_domain(k) && !k->bridge &&
            rk_mesh_link_is_ready(k->link))
            nodes[len++] = k;
    qsort(nodes, len, sizeof(*nodes), by_digest_round);
    return len;
}

/* Sends full digests to the first nodes of the list, up to about max_bytes, and
 * returns the number of nodes. Nodes that accept only full digests get one in any
 * case. */
static size_t send_full(struct rk_mesh *m, struct member **nodes, size_t len,
                        size_t max_bytes, enum members members)
{
    size_t at = 0, sent = 0;
    if (!len || (!max_bytes && nodes[0]->accepts_brief))
        return 0;
    /* On a narrow link a node gets full digests only now and then. Each of them has
     * the member list, so that the node gets that often enough. */
    if (m->full_digest_budget.is_link_narrow && members == NO_MEMBERS)
        members = SOME_MEMBERS;
    struct rk_packed_frame frame = pack_fleet(m, false, members);
    for (; at < len; at++) {
        struct member *k = nodes[at];
        if (k->accepts_brief && sent + frame.len > max_bytes)
            break;
        rk_link_send_packed(k->link, &frame);
        k->link_state.digest_round = m->digest_rounds;
        sent += frame.len;
    }
    rk_send_budget_note_sent(&m->full_digest_budget, sent);
    rk_packed_frame_free(&frame);
    return at;
}

/* Sends digests of the fleet to the nodes of this domain. As many nodes as the link
 * can serve in time get full ones, in turn; the others get a heartbeat. */
static void send_to_domain(struct rk_mesh *m, enum members members)
{
    struct member **nodes = rk_alloc(rk_mesh_count(m) + 1, sizeof(struct member *));
    size_t len = collect_receivers(m, nodes);
    bool heartbeats_only = m->rank && m->digest_rounds % SECOND_BRIDGE_ROUNDS;
    size_t max_bytes = heartbeats_only
                           ? 0
                           : rk_send_budget_begin(&m->full_digest_budget,
                                                  rk_mesh_waiting_bytes(m));
    size_t at = send_full(m, nodes, len, max_bytes, members);
    struct rk_packed_frame frame = {0};
    if (at < len)
        frame = pack_fleet(m, true, NO_MEMBERS);
    for (; at < len; at++)
        rk_link_send_packed(nodes[at]->link, &frame);
    rk_packed_frame_free(&frame);
    free(nodes);
}

void rk_digest_send(struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    if (!m->bridge || now_ms - m->digest_sent_ms < DIGEST_MS)
        return;
    enum members members = members_of_round(m);
    m->digest_sent_ms = now_ms;
    add_own(m);
    send_to_bridges(m, members);
    send_to_domain(m, members);
    m->digest_rounds++;
}

void rk_digest_send_members(struct rk_mesh *m, struct rk_link *link,
                            struct link_state *state)
{
    int64_t now_ms = rk_mono_ms();
    bool sent_recently = state->members_sent_ms &&
                         now_ms - state->members_sent_ms < MEMBERS_RETRY_MS;
    if (sent_recently || !rk_mesh_link_is_ready(link))
        return;
    state->members_sent_ms = now_ms;
    struct rk_packed_frame frame = pack_fleet(m, false, ALL_MEMBERS);
    rk_link_send_packed(link, &frame);
    rk_packed_frame_free(&frame);
}
