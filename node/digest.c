/* Taking digests in. In a larger fleet the bridges of a failure domain hear its
 * nodes, tell their sum to the bridges of the other domains, and tell the fleet's
 * sum to the nodes of their own. A node counts one source at a time and notes what
 * the others say meanwhile, so that nothing is counted twice or lost when one takes
 * over. */
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

#define FRESH_MS  900  /* a source that is silent for longer has gone */
#define LINGER_MS 2500 /* a fleet's sum counts for so long without a newer one */

/* ---- whose digest counts ---- */

/* Is a a better source than b? It hears more nodes; among equals by id. */
static bool is_better(const struct member *a, const struct member *b)
{
    if (!b || a->digest.nodes_heard != b->digest.nodes_heard)
        return !b || a->digest.nodes_heard > b->digest.nodes_heard;
    return strcmp(a->id, b->id) < 0;
}

static const struct member *source(const struct rk_mesh *m, const char *domain,
                                   bool fleet, int64_t now_ms, int64_t age_ms)
{
    const struct member *best = NULL;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->digest.is_told && now_ms - k->digest.heard_ms < age_ms &&
            k->digest.fleet == fleet && !strcmp(k->domain, domain) &&
            is_better(k, best))
            best = k;
    return best;
}

const struct member *rk_digest_of_fleet(const struct rk_mesh *m, int64_t now_ms)
{
    if (m->bridge)
        return NULL;
    const char *domain = m->n->file.failure_domain;
    const struct member *k = source(m, domain, true, now_ms, FRESH_MS);
    return k ? k : source(m, domain, true, now_ms, LINGER_MS);
}

const struct member *rk_digest_of_domain(const struct rk_mesh *m,
                                         const char *domain, int64_t now_ms)
{
    return source(m, domain, false, now_ms, FRESH_MS);
}

bool rk_digest_counts(const struct member *k, int64_t now_ms)
{
    return k->digest.heard_ms && !rk_mesh_is_near(k) &&
           rk_digest_of_domain(k->m, k->domain, now_ms) == k;
}

/* ---- counting one ---- */

static void rebase(struct digest *d)
{
    d->based = true;
    rk_tally_clear(&d->base_uses);
    rk_tally_clear(&d->base_reads);
    for (size_t i = 0; i < d->uses.len; i++)
        *rk_tally_at(&d->base_uses, d->uses.rows[i].org) = d->uses.rows[i].units;
    for (size_t i = 0; i < d->services_len; i++)
        *rk_tally_at(&d->base_reads, d->services[i].service) =
            d->services[i].read_tokens;
}

/* All sources of the same kind are counted up to now. */
static void rebase_all(struct rk_mesh *m, const struct member *counted)
{
    for (struct member *k = m->contacts; k; k = k->next_contact)
        if (k->digest.heard_ms && k->digest.fleet == counted->digest.fleet &&
            !strcmp(k->domain, counted->domain))
            rebase(&k->digest);
}

static double own_read(const struct rk_mesh *m, const char *service)
{
    const struct rk_relay_report *r = m->n->report;
    const struct rk_service_use *own =
        r ? rk_service_use_find(r->services, r->services_len, service) : NULL;
    return own ? own->read_tokens : 0;
}

/* A fleet's sum holds this node's own use, too, which the relay counts itself. */
static void take_out_own(struct rk_mesh *m, const struct digest *d)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->uses_len; i++) {
        const struct rk_org_use *own = &r->uses[i];
        if (rk_org_uses_has(&d->uses, own->org))
            rk_mesh_add_news(m, own->org,
                             -rk_tally_rise(&m->based_uses, own->org, own->units));
    }
}

static void count_uses(struct rk_mesh *m, const struct digest *d)
{
    for (size_t i = 0; i < d->uses.len; i++) {
        const struct rk_org_use *use = &d->uses.rows[i];
        double rise = use->units - rk_tally_total(&d->base_uses, use->org);
        if (!d->fleet)
            *rk_tally_at(&m->fleet_uses, use->org) += rise;
        rk_mesh_add_news(m, use->org, rise);
    }
    if (d->fleet)
        take_out_own(m, d);
}

static void count_reads(struct rk_mesh *m, const struct digest *d)
{
    for (size_t i = 0; i < d->services_len; i++) {
        const struct rk_service_use *use = &d->services[i];
        double rise =
            use->read_tokens - rk_tally_total(&d->base_reads, use->service);
        if (d->fleet)
            rise -= rk_tally_rise(&m->based_reads, use->service,
                                  own_read(m, use->service));
        else
            *rk_tally_at(&m->fleet_reads, use->service) += rise;
        *rk_tally_at(&m->peer_reads, use->service) += rise;
    }
}

static void base_own(struct rk_mesh *m)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->uses_len; i++)
        rk_tally_rise(&m->based_uses, r->uses[i].org, r->uses[i].units);
    for (size_t i = 0; r && i < r->services_len; i++)
        rk_tally_rise(&m->based_reads, r->services[i].service,
                      r->services[i].read_tokens);
}

static void count(struct member *k)
{
    struct rk_mesh *m = k->m;
    if (k->digest.based) {
        count_uses(m, &k->digest);
        count_reads(m, &k->digest);
    } else {
        k->digest.catch_up = true;
        if (k->digest.fleet)
            base_own(m);
    }
    rebase_all(m, k);
}

/* ---- taking one in ---- */

/* What all used is told now and then: kept until it is told again. */
static void take_uses(struct digest *to, const Rillknot__Digest *d)
{
    rk_org_uses_begin(&to->uses);
    for (size_t i = 0; i < d->n_uses; i++) {
        const Rillknot__OrgUse *told = d->uses[i];
        struct rk_org_use *row = rk_org_uses_at(&to->uses, told->org);
        row->units = told->units;
        row->asking = rk_report_asking(told);
        for (size_t j = 0; j < told->n_known && j < RK_QUOTA_PARTS; j++)
            row->known[j] = (double)told->known[j];
    }
}

static void take_services(struct digest *to, const Rillknot__Digest *d)
{
    to->services =
        rk_realloc(to->services, (d->n_services + 1) * sizeof(*to->services));
    to->services_len = d->n_services;
    for (size_t i = 0; i < d->n_services; i++) {
        const Rillknot__ServiceUse *use = d->services[i];
        to->services[i] =
            (struct rk_service_use){.read_tokens = use->read_tokens,
                                    .running = use->running,
                                    .begun = use->begun,
                                    .engine = rk_engines_get(use->engine)};
        rk_strcpy(to->services[i].service, sizeof(to->services[i].service),
                  use->service);
    }
}

/* A bridge's word on the nodes of its own domain, or on all if it tells of the
 * fleet: those it doesn't hear are not told by it any more. */
static void take_members(struct rk_mesh *m, const Rillknot__Digest *d)
{
    for (size_t i = 0; i < d->n_members; i++) {
        const Rillknot__NodeRow *row = d->members[i];
        if (rk_mesh_is_self(m, row->id, row->addr))
            continue;
        struct member *k = rk_mesh_find(m, row->id);
        if (k && !row->heard)
            k->told_ms = 0;
        if (!row->heard)
            continue;
        if (!k || strcmp(k->addr, row->addr) != 0)
            k = rk_mesh_learn(m, row->id, row->addr);
        rk_strcpy(k->domain, sizeof(k->domain), row->domain);
        if (row->capacity > 0) /* else the bridge doesn't know it either */
            k->capacity = row->capacity;
        k->told_ms = rk_mono_ms();
        k->unproven = false;
        k->leaving = row->leaving;
        k->slow = row->slow;
        k->hears_store = row->hears_store;
    }
}

static void take_sender(struct member *k, const Rillknot__Digest *d, int64_t now_ms)
{
    rk_mesh_meet(k);
    rk_strcpy(k->domain, sizeof(k->domain), d->domain);
    if (d->capacity > 0) /* nodes of an earlier version don't tell it */
        k->capacity = d->capacity;
    k->slow = d->slow;
    k->hears_store = d->hears_store;
    k->takes_changes = d->takes_changes;
    k->heard_ms = now_ms;
    k->unproven = false;
}

bool rk_digest_take(struct member *k, const Rillknot__Digest *d)
{
    struct digest *to = &k->digest;
    int64_t now_ms = rk_mono_ms();
    take_sender(k, d, now_ms);
    if (to->incarnation != d->incarnation || to->fleet != d->fleet) {
        to->incarnation = d->incarnation;
        to->based = false; /* it counts from nothing */
        to->is_told = false;
        rk_org_uses_clear(&to->uses);
    }
    to->heard_ms = now_ms;
    to->fleet = d->fleet;
    to->nodes_heard = (int)d->nodes_heard;
    to->nodes_total = (int)d->nodes_total;
    if (d->brief)
        return false;
    to->is_told = true;
    if (d->fleet && d->n_members)
        k->m->fleet_ms = now_ms;
    if (d->n_members)
        to->remembers_ms = d->remembers_ms;
    if (d->vms_told)
        rk_loads_take(&to->loads, &to->loads_len, d->vms, d->n_vms);
    take_uses(to, d);
    take_services(to, d);
    take_members(k->m, d);
    const struct member *counts =
        to->fleet ? rk_digest_of_fleet(k->m, now_ms)
                  : rk_digest_of_domain(k->m, k->domain, now_ms);
    if (counts != k || (!to->fleet && !k->m->bridge))
        return false;
    count(k);
    /* What was used while no source counted is in what this one knows. */
    if (to->catch_up && d->n_members) {
        to->catch_up = false;
        k->m->catch_up = k;
    }
    return true;
}

void rk_digest_free(struct digest *d)
{
    free(d->loads);
    rk_org_uses_free(&d->uses);
    free(d->services);
    rk_tally_free(&d->base_uses);
    rk_tally_free(&d->base_reads);
}
