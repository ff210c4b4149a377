/* Chooses the peers that take this node's calls when it has no path to the VMs:
 * some of its own failure domain and some of the others, by rendezvous hashing, so
 * that nodes which lose their paths together choose different ones. Peers that
 * share brittle VMs are listed by service.
 *
 * Also chooses the peers that keep the versions of streams: in a large fleet some
 * of each failure domain, the same ones at all nodes. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

uint32_t rk_mesh_forward_port(const struct rk_mesh *m)
{
    const char *addr = rk_relay_forward_addr(m->n->relay);
    const char *colon = strrchr(addr, ':');
    return colon ? (uint32_t)strtoul(colon + 1, NULL, 10) : 0;
}

void rk_peer_group_offer(struct rk_peer_group *g, const char *id, uint64_t weight)
{
    for (size_t i = 0; i < g->len; i++)
        if (!strcmp(g->ids[i], id))
            return;
    size_t at = rk_ranks_insert(g->weights, &g->len, RK_PEER_GROUP_MAX, weight);
    if (at == RK_PEER_GROUP_MAX)
        return;
    memmove(&g->ids[at + 1], &g->ids[at], (g->len - 1 - at) * sizeof(g->ids[0]));
    rk_strcpy(g->ids[at], sizeof(g->ids[at]), id);
}

bool rk_mesh_may_take_calls(const struct member *k, int64_t now_ms)
{
    return k->id[0] && k->forward_port && !k->leaving && strchr(k->addr, ':') &&
           rk_mesh_is_alive(k, now_ms);
}

/* Writes the address of a peer's listener for forwarded calls. */
static void forward_addr(const struct member *k, char addr[RK_ADDR_MAX])
{
    int host_len = (int)(strrchr(k->addr, ':') - k->addr);
    snprintf(addr, RK_ADDR_MAX, "%.*s:%u", host_len, k->addr, k->forward_port);
}

/* Adds the peers of a group that may take calls now. service: of these calls; "":
 * any. */
static void put_group(const struct rk_mesh *m, const struct rk_peer_group *g,
                      const char *service, struct rk_relay_peers *p, int64_t now_ms)
{
    for (size_t i = 0; i < g->len; i++) {
        const struct member *k = rk_mesh_find(m, g->ids[i]);
        if (!k || !rk_mesh_may_take_calls(k, now_ms) ||
            p->forward_peers_len == RK_FORWARD_PEERS_MAX)
            continue;
        struct rk_forward_peer *out = &p->forward_peers[p->forward_peers_len++];
        rk_strcpy(out->id, sizeof(out->id), k->id);
        rk_strcpy(out->service, sizeof(out->service), service);
        forward_addr(k, out->addr);
        out->same_domain = rk_mesh_is_same_domain(k);
    }
}

void rk_mesh_fill_forward_peers(const struct rk_mesh *m, struct rk_relay_peers *p,
                                int64_t now_ms)
{
    struct rk_peer_group near = {0}, far = {0};
    const struct rk_brittle_services *brittle =
        rk_signals_brittle_services(m->n->signals);
    uint64_t own = rk_hash_str(0, m->n->file.id);
    for (const struct member *k = m->members; k; k = k->next)
        if (rk_mesh_may_take_calls(k, now_ms))
            rk_peer_group_offer(rk_mesh_is_same_domain(k) ? &near : &far, k->id,
                                rk_hash(own, &k->hash, sizeof(k->hash)));
    put_group(m, &near, "", p, now_ms);
    put_group(m, &far, "", p, now_ms);
    for (size_t i = 0; i < brittle->len; i++) {
        const struct rk_brittle_service *row = &brittle->rows[i];
        put_group(m, &row->near, row->service, p, now_ms);
        put_group(m, &row->far, row->service, p, now_ms);
    }
}

/* ---- peers that keep the versions of streams ---- */

/* Most failure domains from which peers are chosen. */
#define STREAM_DOMAINS_MAX (RK_STREAM_ASKED_MAX / RK_STREAM_ASKED_PER_DOMAIN)

/* The peers of a failure domain, those with the highest ranks first. */
struct stream_domain {
    uint64_t hash;
    uint64_t ranks[RK_STREAM_PEERS_MAX];
    const struct member *members[RK_STREAM_PEERS_MAX];
    size_t len;
};

/* Returns the entry of a failure domain, which is added if there is room; else
 * NULL. */
static struct stream_domain *get_stream_domain(struct stream_domain *domains,
                                               size_t *len, uint64_t hash)
{
    for (size_t i = 0; i < *len; i++)
        if (domains[i].hash == hash)
            return &domains[i];
    if (*len == STREAM_DOMAINS_MAX)
        return NULL;
    domains[*len].hash = hash;
    return &domains[(*len)++];
}

/* All nodes rank a peer alike, by its id only. */
static void offer_stream_peer(struct stream_domain *d, const struct member *k)
{
    size_t at = rk_ranks_insert(d->ranks, &d->len, RK_STREAM_PEERS_MAX, k->hash);
    if (at == RK_STREAM_PEERS_MAX)
        return;
    memmove(&d->members[at + 1], &d->members[at],
            (d->len - 1 - at) * sizeof(d->members[0]));
    d->members[at] = k;
}

/* Collects the failure domains, this node's first. is_alive: only of members that
 * may take calls now. Returns their number. */
static size_t collect_domains(const struct rk_mesh *m, int64_t now_ms,
                              bool is_alive,
                              struct stream_domain domains[STREAM_DOMAINS_MAX])
{
    size_t len = 0;
    get_stream_domain(domains, &len, rk_hash_str(0, m->n->file.failure_domain));
    for (const struct member *k = m->members; k; k = k->next) {
        if (!k->domain[0] || (is_alive && !rk_mesh_may_take_calls(k, now_ms)))
            continue;
        struct stream_domain *d =
            get_stream_domain(domains, &len, rk_hash_str(0, k->domain));
        if (d)
            offer_stream_peer(d, k);
    }
    return len;
}

/* Returns the number of members of this node's domain with a higher rank. */
static size_t count_better(const struct rk_mesh *m, const struct stream_domain *own)
{
    uint64_t hash = rk_hash_str(0, m->n->file.id);
    size_t n = 0;
    while (n < own->len && own->ranks[n] > hash)
        n++;
    return n;
}

bool rk_mesh_keeps_streams(const struct rk_mesh *m)
{
    struct stream_domain domains[STREAM_DOMAINS_MAX] = {0};
    size_t len = collect_domains(m, rk_mono_ms(), false, domains);
    return count_better(m, &domains[0]) < RK_STREAM_PEERS_MAX / len;
}

/* Chooses the node that writes the record of this node's domain: the one with the
 * highest rank. Of the others, only those that are told of streams send it theirs.
 */
static void fill_stream_writer(const struct rk_mesh *m,
                               const struct stream_domain *own, size_t most,
                               struct rk_relay_peers *p)
{
    const struct member *best = own->members[0];
    size_t better = count_better(m, own);
    p->writes_stream_record = better == 0;
    if (best && better && better < most)
        forward_addr(best, p->stream_writer);
}

void rk_mesh_fill_stream_peers(const struct rk_mesh *m, struct rk_relay_peers *p,
                               int64_t now_ms)
{
    struct stream_domain domains[STREAM_DOMAINS_MAX] = {0};
    size_t domains_len = collect_domains(m, now_ms, true, domains);
    fill_stream_writer(m, &domains[0], RK_STREAM_PEERS_MAX / domains_len, p);
    for (size_t i = 0; i < domains_len; i++) {
        size_t most = RK_STREAM_PEERS_MAX / domains_len;
        for (size_t n = 0; n < domains[i].len && n < most; n++) {
            const struct member *k = domains[i].members[n];
            struct rk_stream_peer *out = &p->stream_peers[p->stream_peers_len++];
            *out = (struct rk_stream_peer){.hash = k->hash,
                                           .domain_hash = domains[i].hash};
            forward_addr(k, out->addr);
        }
    }
}
