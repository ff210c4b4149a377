/* Chooses the nodes that share each brittle VM of a plain service, and for the
 * other nodes the peers to which they forward its calls. If more nodes used such a
 * VM than it has slots, one call of each would already be too much, and no node
 * knows what the others have sent since their last reports. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

/* A node that may share a brittle VM. */
struct node_entry {
    uint64_t hash;
    const struct member *member; /* NULL: this node */
};

/* The nodes that may share VMs, and the result. */
struct shares {
    const struct rk_mesh *m;
    struct node_entry *nodes; /* this node is the first one */
    size_t nodes_len;
    uint64_t *hashes; /* of the nodes that are considered for a VM */
    size_t *indexes;  /* of these in nodes */
    struct rk_brittle_services *services;
};

/* Nodes that take no forwarded calls, or whose port is not known yet, are left out:
 * they may use the VMs, but none of the others could rely on them. */
static void find_nodes(struct shares *s, int64_t now_ms)
{
    size_t cap = rk_mesh_count(s->m) + 1;
    s->nodes = rk_alloc(cap, sizeof(*s->nodes));
    s->hashes = rk_alloc(cap, sizeof(*s->hashes));
    s->indexes = rk_alloc(cap, sizeof(*s->indexes));
    s->nodes[s->nodes_len++].hash = rk_hash_str(0, s->m->n->file.id);
    for (const struct member *k = s->m->members; k; k = k->next)
        if (rk_mesh_may_take_calls(k, now_ms))
            s->nodes[s->nodes_len++] =
                (struct node_entry){.hash = k->hash, .member = k};
}

static const char *domain_of(const struct shares *s, size_t node)
{
    const struct member *k = s->nodes[node].member;
    return k ? k->domain : s->m->n->file.failure_domain;
}

/* Chooses up to max of the nodes in the VM's domain or, with in_domain false, of
 * the others; their indexes are written to out. */
static size_t choose_in(struct shares *s, const struct rk_vm_signal *v,
                        bool in_domain, size_t max, size_t *out)
{
    size_t len = 0;
    for (size_t i = 0; i < s->nodes_len; i++) {
        if (!strcmp(domain_of(s, i), v->domain) != in_domain)
            continue;
        s->hashes[len] = s->nodes[i].hash;
        s->indexes[len++] = i;
    }
    len = rk_vm_brittle_senders(v, s->hashes, len, max, out);
    for (size_t i = 0; i < len; i++)
        out[i] = s->indexes[out[i]];
    return len;
}

/* ---- peers ---- */

/* Returns NULL if there are too many such services. */
static struct rk_brittle_service *get_service(struct rk_brittle_services *s,
                                              const char *name)
{
    for (size_t i = 0; i < s->len; i++)
        if (!strcmp(s->rows[i].service, name))
            return &s->rows[i];
    if (s->len == RK_BRITTLE_SERVICES_MAX)
        return NULL;
    struct rk_brittle_service *row = &s->rows[s->len++];
    *row = (struct rk_brittle_service){0};
    rk_strcpy(row->service, sizeof(row->service), name);
    return row;
}

/* Offers the nodes that share a VM as peers for the calls of its service. Nodes
 * prefer different ones. */
static void offer_peers(const struct shares *s, struct rk_brittle_service *row,
                        const size_t *chosen, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        const struct member *k = s->nodes[chosen[i]].member;
        if (k)
            rk_peer_group_offer(
                rk_mesh_is_same_domain(k) ? &row->near : &row->far, k->id,
                rk_hash(s->nodes[0].hash, &k->hash, sizeof(k->hash)));
    }
}

/* ---- shares ---- */

static bool is_plain(const struct rk_node *n, const char *service)
{
    const struct rk_routes *routes = rk_sync_routes(n->sync);
    const struct rk_service_info *info =
        routes ? rk_routes_service(routes, service) : NULL;
    return info && !info->engine;
}

/* Returns the value of the VM's brittle_senders. */
static int choose_senders(struct shares *s, const struct rk_vm_signal *v,
                          const struct rk_vm_row *vm)
{
    size_t chosen[RK_BRITTLE_SENDERS_MAX];
    size_t max = rk_vm_brittle_senders_max(v, vm->slots);
    if (!max || s->nodes_len <= max)
        return RK_SENDERS_UNKNOWN;
    struct rk_brittle_service *row = get_service(s->services, vm->service);
    if (!row)
        return RK_SENDERS_UNKNOWN;
    size_t len = choose_in(s, v, true, max, chosen);
    len += choose_in(s, v, false, max - len, chosen + len);
    offer_peers(s, row, chosen, len);
    for (size_t i = 0; i < len; i++)
        if (chosen[i] == 0)
            return (int)len;
    return 0;
}

void rk_brittle_share(struct rk_node *n, struct rk_vm_signals *table,
                      struct rk_brittle_services *services)
{
    struct shares s = {.m = n->mesh, .services = services};
    *services = (struct rk_brittle_services){0};
    bool takes_calls = rk_mesh_forward_port(n->mesh) != 0;
    find_nodes(&s, rk_mono_ms());
    for (size_t i = 0; i < rk_sync_vms_len(n->sync); i++) {
        const struct rk_vm_row *vm = rk_sync_vm_at(n->sync, i);
        struct rk_vm_signal *v =
            rk_vm_signals_find(table, rk_vm_incarnation_hash(vm));
        if (!v || !v->brittle)
            continue;
        int senders = takes_calls && is_plain(n, vm->service)
                          ? choose_senders(&s, v, vm)
                          : RK_SENDERS_UNKNOWN;
        if (senders == v->brittle_senders)
            continue;
        v->brittle_senders = senders;
        v->senders = RK_SENDERS_UNKNOWN; /* the relay gets the row again */
    }
    free(s.nodes);
    free(s.hashes);
    free(s.indexes);
}
