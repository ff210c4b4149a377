/* Chooses the peers that take this node's calls when it has no path to the VMs:
 * some of its own failure domain and some of the others, by rendezvous hashing, so
 * that nodes which lose their paths together choose different ones. Peers that
 * share brittle VMs are listed by service. */
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
        int host_len = (int)(strrchr(k->addr, ':') - k->addr);
        rk_strcpy(out->id, sizeof(out->id), k->id);
        rk_strcpy(out->service, sizeof(out->service), service);
        snprintf(out->addr, sizeof(out->addr), "%.*s:%u", host_len, k->addr,
                 k->forward_port);
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
