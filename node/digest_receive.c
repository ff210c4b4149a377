/* Received digests. In a larger fleet the bridges of a failure domain receive its
 * nodes' reports, send the sum to the bridges of the other domains, and send the
 * sum over the fleet to the nodes of their own domain. Of each such sum a node
 * counts one source at a time. Whenever it counts it moves the baselines of all
 * sources, so that nothing is counted twice or lost when another one takes over. */
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

/* Age up to which a digest is counted. The second one is for digests of the fleet,
 * while there is no newer one. */
#define SOURCE_MAX_AGE_MS 900
#define FLEET_MAX_AGE_MS  2500

/* ---- choice of the source ---- */

/* Returns whether `a` is a better source than `b`, which may be NULL: it reaches
 * more nodes or, among equals, has the lower id. */
static bool is_better(const struct member *a, const struct member *b)
{
    if (!b || a->digest.nodes_reachable != b->digest.nodes_reachable)
        return !b || a->digest.nodes_reachable > b->digest.nodes_reachable;
    return strcmp(a->id, b->id) < 0;
}

/* Ages up to which a member may be a source: of its last digest, and of the last
 * one with content. */
struct max_age {
    int64_t received_ms, content_ms;
};

static const struct member *best_source(const struct rk_mesh *m, const char *domain,
                                        bool fleet, int64_t now_ms,
                                        struct max_age max)
{
    const struct member *best = NULL;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->digest.has_content &&
            now_ms - k->digest.received_ms < max.received_ms &&
            now_ms - k->digest.content_ms < max.content_ms &&
            k->digest.fleet == fleet && !strcmp(k->domain, domain) &&
            is_better(k, best))
            best = k;
    return best;
}

const struct member *rk_digest_reachability_source(const struct rk_mesh *m,
                                                   int64_t now_ms)
{
    if (m->bridge)
        return NULL;
    const char *domain = m->n->file.failure_domain;
    const struct member *k = best_source(
        m, domain, true, now_ms, (struct max_age){SOURCE_MAX_AGE_MS, INT64_MAX});
    return k ? k
             : best_source(m, domain, true, now_ms,
                           (struct max_age){FLEET_MAX_AGE_MS, INT64_MAX});
}

const struct member *rk_digest_fleet_source(const struct rk_mesh *m, int64_t now_ms)
{
    if (m->bridge)
        return NULL;
    const char *domain = m->n->file.failure_domain;
    const struct member *k =
        best_source(m, domain, true, now_ms,
                    (struct max_age){SOURCE_MAX_AGE_MS, SOURCE_MAX_AGE_MS});
    return k ? k : rk_digest_reachability_source(m, now_ms);
}

const struct member *rk_digest_domain_source(const struct rk_mesh *m,
                                             const char *domain, int64_t now_ms)
{
    return best_source(m, domain, false, now_ms,
                       (struct max_age){SOURCE_MAX_AGE_MS, INT64_MAX});
}

bool rk_digest_is_counted(const struct member *k, int64_t now_ms)
{
    return k->digest.received_ms && !rk_mesh_is_same_domain(k) &&
           rk_digest_domain_source(k->m, k->domain, now_ms) == k;
}

/* ---- counting ---- */

static void set_baseline(struct digest *d)
{
    d->has_baseline = true;
    d->baseline_ms = d->content_ms;
    rk_totals_clear(&d->baseline_uses);
    rk_totals_clear(&d->baseline_reads);
    for (size_t i = 0; i < d->uses.len; i++)
        *rk_totals_get(&d->baseline_uses, d->uses.rows[i].org) =
            d->uses.rows[i].units;
    for (size_t i = 0; i < d->services_len; i++)
        *rk_totals_get(&d->baseline_reads, d->services[i].service) =
            d->services[i].demand_tokens;
}

/* Moves the baselines of all sources of the same sum, as all of them are counted up
 * to now. Those whose counters are not known get none. */
static void set_baselines(struct rk_mesh *m, const struct member *counted,
                          int64_t now_ms)
{
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        if (!k->digest.has_content || k->digest.fleet != counted->digest.fleet ||
            strcmp(k->domain, counted->domain) != 0)
            continue;
        set_baseline(&k->digest);
        k->digest.counted_ms = now_ms;
    }
}

/* Returns the part of the increase over the baseline that was not counted yet. A
 * source that sent only heartbeats for a while has an old baseline, and what
 * another source reported since is counted already. */
static double uncounted_part(const struct digest *d, int64_t now_ms)
{
    double span_ms = (double)(now_ms - d->baseline_ms);
    double gap_ms = (double)(now_ms - d->counted_ms);
    return gap_ms < span_ms ? gap_ms / span_ms : 1;
}

static double own_read_tokens(const struct rk_mesh *m, const char *service)
{
    const struct rk_relay_report *r = m->n->report;
    const struct rk_service_load *own =
        r ? rk_service_load_find(r->services, r->services_len, service) : NULL;
    return own ? own->demand_tokens : 0;
}

/* Subtracts this node's own usage: a digest of the fleet includes it, and the relay
 * counts it itself. */
static void subtract_own(struct rk_mesh *m, const struct digest *d)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->quota_usage_len; i++) {
        const struct rk_org_use *own = &r->quota_usage[i];
        if (rk_org_uses_has(&d->uses, own->org))
            rk_mesh_add_peer_use(
                m, own->org,
                -rk_totals_set(&m->baseline_uses, own->org, own->units));
    }
}

static void count_uses(struct rk_mesh *m, const struct digest *d, double part)
{
    for (size_t i = 0; i < d->uses.len; i++) {
        const struct rk_org_use *use = &d->uses.rows[i];
        double increase =
            (use->units - rk_totals_value(&d->baseline_uses, use->org)) * part;
        if (!d->fleet)
            *rk_totals_get(&m->fleet_uses, use->org) += increase;
        rk_mesh_add_peer_use(m, use->org, increase);
    }
    if (d->fleet)
        subtract_own(m, d);
}

static void count_reads(struct rk_mesh *m, const struct digest *d, double part)
{
    for (size_t i = 0; i < d->services_len; i++) {
        const struct rk_service_load *use = &d->services[i];
        double increase = (use->demand_tokens -
                           rk_totals_value(&d->baseline_reads, use->service)) *
                          part;
        if (d->fleet)
            increase -= rk_totals_set(&m->baseline_reads, use->service,
                                      own_read_tokens(m, use->service));
        else
            *rk_totals_get(&m->fleet_reads, use->service) += increase;
        *rk_totals_get(&m->peer_reads, use->service) += increase;
    }
}

static void set_own_baseline(struct rk_mesh *m)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->quota_usage_len; i++)
        rk_totals_set(&m->baseline_uses, r->quota_usage[i].org,
                      r->quota_usage[i].units);
    for (size_t i = 0; r && i < r->services_len; i++)
        rk_totals_set(&m->baseline_reads, r->services[i].service,
                      r->services[i].demand_tokens);
}

void rk_digest_note_gap(struct rk_mesh *m, int64_t now_ms)
{
    if (m->fleet_counted_ms)
        m->usage_gap_ms = now_ms - m->fleet_counted_ms;
}

static void count_digest(struct member *k, int64_t now_ms)
{
    struct rk_mesh *m = k->m;
    if (k->digest.has_baseline) {
        double part = uncounted_part(&k->digest, now_ms);
        count_uses(m, &k->digest, part);
        count_reads(m, &k->digest, part);
    } else {
        k->digest.needs_catch_up = true;
        if (k->digest.fleet) {
            rk_digest_note_gap(m, now_ms);
            set_own_baseline(m);
        }
    }
    if (k->digest.fleet)
        m->fleet_counted_ms = now_ms;
    set_baselines(m, k, now_ms);
}

/* ---- receiving ---- */

/* The quota history comes only with some of the digests. Between them the last one
 * is kept. */
static void apply_uses(struct digest *to, const Rillknot__Digest *d)
{
    rk_org_uses_begin(&to->uses);
    for (size_t i = 0; i < d->n_uses; i++) {
        const Rillknot__OrgUse *from = d->uses[i];
        struct rk_org_use *row = rk_org_uses_get(&to->uses, from->org);
        row->units = from->units;
        rk_report_receive_demand(row, from);
        for (size_t j = 0; j < from->n_known && j < RK_QUOTA_SLICES; j++)
            row->used_slices[j] = (double)from->known[j];
    }
}

static void apply_services(struct digest *to, const Rillknot__Digest *d)
{
    to->services =
        rk_realloc(to->services, (d->n_services + 1) * sizeof(*to->services));
    to->services_len = d->n_services;
    for (size_t i = 0; i < d->n_services; i++) {
        const Rillknot__ServiceUse *use = d->services[i];
        to->services[i] =
            (struct rk_service_load){.demand_tokens = use->read_tokens,
                                     .running = use->running,
                                     .begun = use->begun,
                                     .engine = rk_engines_decode(use->engine)};
        rk_strcpy(to->services[i].service, sizeof(to->services[i].service),
                  use->service);
    }
}

/* Applies a bridge's member list: of its own domain, or of the fleet. Nodes that it
 * doesn't reach lose its earlier report that they are reachable. */
static void apply_members(struct rk_mesh *m, const Rillknot__Digest *d)
{
    for (size_t i = 0; i < d->n_members; i++) {
        const Rillknot__NodeRow *row = d->members[i];
        if (rk_mesh_is_self(m, row->id, row->addr))
            continue;
        struct member *k = rk_mesh_find(m, row->id);
        if (k && !row->heard)
            k->reported_ms = 0;
        if (!row->heard)
            continue;
        if (!k || strcmp(k->addr, row->addr) != 0)
            k = rk_mesh_find_or_add(m, row->id, row->addr);
        rk_strcpy(k->domain, sizeof(k->domain), row->domain);
        if (row->capacity > 0) /* 0: the bridge doesn't know it either */
            k->capacity = row->capacity;
        k->reported_ms = k->last_alive_ms = rk_mono_ms();
        k->unconfirmed = false;
        k->leaving = row->leaving;
        k->slow = row->slow;
        k->store_reachable = row->hears_store;
        if (row->forward_port) /* 0: the bridge doesn't know it either */
            k->forward_port = row->forward_port;
    }
}

static void apply_sender(struct member *k, const Rillknot__Digest *d,
                         int64_t now_ms)
{
    rk_mesh_add_contact(k);
    rk_strcpy(k->domain, sizeof(k->domain), d->domain);
    k->forward_port = d->forward_port;
    if (d->capacity > 0) /* 0: a node of an earlier version */
        k->capacity = d->capacity;
    k->slow = d->slow;
    k->store_reachable = d->hears_store;
    k->accepts_changes = d->takes_changes;
    k->last_received_ms = now_ms;
    k->unconfirmed = false;
}

bool rk_digest_receive(struct member *k, const Rillknot__Digest *d)
{
    struct digest *to = &k->digest;
    int64_t now_ms = rk_mono_ms();
    apply_sender(k, d, now_ms);
    if (to->incarnation != d->incarnation || to->fleet != d->fleet) {
        to->incarnation = d->incarnation;
        to->has_baseline = false; /* its counters start from 0 */
        to->has_content = false;
        rk_org_uses_clear(&to->uses);
    }
    to->received_ms = now_ms;
    to->fleet = d->fleet;
    to->nodes_reachable = (int)d->nodes_heard;
    to->nodes_total = (int)d->nodes_total;
    if (d->brief)
        return false;
    to->has_content = true;
    to->content_ms = now_ms;
    if (d->fleet && d->n_members)
        k->m->fleet_members_ms = now_ms;
    if (d->n_members) {
        to->quota_history_ms = d->remembers_ms;
        rk_report_receive_shares(to->quota_history_shares, d->known_shares,
                                 d->n_known_shares);
    }
    if (d->vms_told)
        rk_loads_decode(&to->loads, &to->loads_len, d->vms, d->n_vms);
    apply_uses(to, d);
    apply_services(to, d);
    apply_members(k->m, d);
    const struct member *counted =
        to->fleet ? rk_digest_fleet_source(k->m, now_ms)
                  : rk_digest_domain_source(k->m, k->domain, now_ms);
    if (counted != k || (!to->fleet && !k->m->bridge))
        return false;
    count_digest(k, now_ms);
    /* Usage of the time without a counted source is in this one's quota history. */
    if (to->needs_catch_up && d->n_members) {
        to->needs_catch_up = false;
        k->m->catch_up_source = k;
    }
    return true;
}

void rk_digest_free(struct digest *d)
{
    free(d->loads);
    rk_org_uses_free(&d->uses);
    free(d->services);
    rk_totals_free(&d->baseline_uses);
    rk_totals_free(&d->baseline_reads);
}
