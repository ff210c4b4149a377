/* Chooses the peers that take this node's calls when it has no path to the VMs:
 * some of its own failure domain and some of the others, by rendezvous hashing, so
 * that nodes which lose their paths together choose different ones. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

/* Half of the peers are of this failure domain, half of others. */
#define PEERS_PER_GROUP (RK_FORWARD_PEERS_MAX / 2)

/* The peers of a group with the highest weights, highest first. */
struct group {
    const struct member *members[PEERS_PER_GROUP];
    uint64_t weights[PEERS_PER_GROUP];
    size_t len;
};

uint32_t rk_mesh_forward_port(const struct rk_mesh *m)
{
    const char *addr = rk_relay_forward_addr(m->n->relay);
    const char *colon = strrchr(addr, ':');
    return colon ? (uint32_t)strtoul(colon + 1, NULL, 10) : 0;
}

static void insert(struct group *g, const struct member *k, uint64_t weight)
{
    size_t at = g->len;
    while (at > 0 && weight > g->weights[at - 1])
        at--;
    if (at == PEERS_PER_GROUP)
        return;
    if (g->len < PEERS_PER_GROUP)
        g->len++;
    size_t moved = g->len - 1 - at;
    memmove(&g->members[at + 1], &g->members[at], moved * sizeof(g->members[0]));
    memmove(&g->weights[at + 1], &g->weights[at], moved * sizeof(g->weights[0]));
    g->members[at] = k;
    g->weights[at] = weight;
}

static void put_group(const struct group *g, struct rk_relay_peers *p)
{
    for (size_t i = 0; i < g->len; i++) {
        const struct member *k = g->members[i];
        struct rk_forward_peer *out = &p->forward_peers[p->forward_peers_len++];
        int host_len = (int)(strrchr(k->addr, ':') - k->addr);
        rk_strcpy(out->id, sizeof(out->id), k->id);
        snprintf(out->addr, sizeof(out->addr), "%.*s:%u", host_len, k->addr,
                 k->forward_port);
        out->same_domain = rk_mesh_is_same_domain(k);
    }
}

void rk_mesh_fill_forward_peers(const struct rk_mesh *m, struct rk_relay_peers *p,
                                int64_t now_ms)
{
    struct group near = {0}, far = {0};
    uint64_t own = rk_hash_str(0, m->n->file.id);
    for (const struct member *k = m->members; k; k = k->next) {
        if (!k->id[0] || !k->forward_port || k->leaving || !strchr(k->addr, ':') ||
            !rk_mesh_is_alive(k, now_ms))
            continue;
        insert(rk_mesh_is_same_domain(k) ? &near : &far, k,
               rk_hash(own, &k->hash, sizeof(k->hash)));
    }
    put_group(&near, p);
    put_group(&far, p);
}
