/* Signals that VMs advertise, merged from this node's relay and its peers, and the
 * choice of the nodes that share a VM's limit: nodes of the VM's failure domain, by
 * rendezvous hashing. Callers in that domain use the VM first, and its nodes get
 * each other's messages themselves, so that they soon agree on which of them are
 * reachable. If the domain has no nodes, all nodes are considered. A limit that
 * nobody confirms any more is probed by the nodes of the other domains. */
#include <json-c/linkhash.h>
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

#define EXPIRE_INTERVAL_MS 10000 /* between removals of old rows */
/* Probes of an unconfirmed limit take at most one part in this many of it, as the
 * nodes of the VM's domain may still use all of it. */
#define PROBE_DIVISOR 2

struct rk_signals {
    struct rk_node *n;
    struct rk_vm_signals table;
    uint64_t possible_hash; /* at the last computation of shares */
    bool changed;           /* a signal has changed since */
    int64_t list_revision;  /* of the VM list then */
    struct rk_brittle_services brittle;
    int64_t expired_ms;
};

const struct rk_brittle_services *
rk_signals_brittle_services(const struct rk_signals *s)
{
    return &s->brittle;
}

const struct rk_vm_signals *rk_signals_table(const struct rk_signals *s)
{
    return &s->table;
}

static bool is_limited(const struct rk_vm_signal *v)
{
    return v->limited;
}

static bool is_leaving(const struct rk_vm_signal *v)
{
    return v->leaving;
}

static size_t count(const struct rk_signals *s,
                    bool (*has)(const struct rk_vm_signal *v))
{
    struct lh_entry *e;
    size_t len = 0;
    if (!s->table.by_incarnation)
        return 0;
    lh_foreach (s->table.by_incarnation, e)
        len += has(lh_entry_v(e));
    return len;
}

size_t rk_signals_limited(const struct rk_signals *s)
{
    return count(s, is_limited);
}

size_t rk_signals_leaving(const struct rk_signals *s)
{
    return count(s, is_leaving);
}

void rk_signals_merge(struct rk_signals *s, const struct rk_vm_signal *rows,
                      size_t len)
{
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < len; i++) {
        struct rk_vm_signal *v = rk_vm_signals_get_or_add(
            &s->table, rows[i].incarnation, rows[i].domain, now_ms);
        if (!v || !rk_vm_signal_merge(v, &rows[i], now_ms))
            continue;
        v->senders = RK_SENDERS_UNKNOWN;
        s->changed = true;
    }
}

/* ---- shares of limits ---- */

/* Hashes of the other nodes that may share a limit. */
struct possible_senders {
    uint64_t *near, *all; /* nodes of this failure domain; of all domains */
    size_t near_len, all_len;
    uint64_t hash; /* of all these, and of whether this node may share one */
};

static bool may_send(const struct member *k, int64_t now_ms)
{
    return k->id[0] && !k->leaving && rk_mesh_is_alive(k, now_ms);
}

static struct possible_senders find_possible_senders(const struct rk_mesh *m,
                                                     int64_t now_ms)
{
    struct possible_senders c = {.hash = (uint64_t)m->has_node_list << 1 |
                                         m->n->leaving};
    c.near = rk_alloc(rk_mesh_count(m) + 1, sizeof(*c.near));
    c.all = rk_alloc(rk_mesh_count(m) + 1, sizeof(*c.all));
    for (const struct member *k = m->members; k; k = k->next) {
        if (!may_send(k, now_ms))
            continue;
        c.all[c.all_len++] = k->hash;
        c.hash += rk_hash_str(k->hash ^ k->forward_port, k->domain);
        if (rk_mesh_is_same_domain(k))
            c.near[c.near_len++] = k->hash;
    }
    return c;
}

static void free_possible_senders(struct possible_senders *c)
{
    free(c->near);
    free(c->all);
}

static bool has_nodes(const struct rk_mesh *m, const char *domain)
{
    const struct member *k = m->members;
    while (k && (!k->id[0] || strcmp(k->domain, domain) != 0))
        k = k->next;
    return k != NULL;
}

/* Returns the number of nodes that share the VM's limit, this one included; 0: this
 * node has no share. */
static int count_senders(const struct rk_mesh *m, const struct rk_vm_signal *v,
                         const struct possible_senders *c)
{
    uint64_t own = rk_hash_str(0, m->n->file.id);
    if (!v->limited || !m->has_node_list || m->n->leaving)
        return 0;
    if (!strcmp(m->n->file.failure_domain, v->domain))
        return rk_vm_limit_senders(v, own, c->near, c->near_len);
    if (has_nodes(m, v->domain))
        return v->is_probe_share ? PROBE_DIVISOR * (int)(c->all_len + 1) : 0;
    return rk_vm_limit_senders(v, own, c->all, c->all_len);
}

/* ---- updates of the relay ---- */

/* Notes whether the limit has to be probed. Returns whether that changed. */
static bool update_probing(struct rk_vm_signal *v, int64_t now_ms)
{
    bool before = v->is_probe_share;
    v->is_probe_share = rk_vm_limit_is_unconfirmed(v, now_ms);
    return v->is_probe_share != before;
}

/* Updates the shares of brittle VMs if the nodes, the list of VMs or a signal has
 * changed. */
static void update_brittle_shares(struct rk_signals *s, bool nodes_changed)
{
    int64_t revision = rk_sync_list_revision(s->n->sync);
    if (!nodes_changed && !s->changed && revision == s->list_revision)
        return;
    s->changed = false;
    s->list_revision = revision;
    rk_brittle_share(s->n, &s->table, &s->brittle);
}

/* Collects the rows whose signals or shares differ from what the relay has. */
static size_t collect(struct rk_signals *s, struct rk_vm_signal *out,
                      const struct possible_senders *c, int64_t now_ms)
{
    struct lh_entry *e;
    size_t len = 0;
    bool all = c->hash != s->possible_hash;
    s->possible_hash = c->hash;
    update_brittle_shares(s, all);
    lh_foreach (s->table.by_incarnation, e) {
        struct rk_vm_signal *v = lh_entry_v(e);
        bool probing_changed = update_probing(v, now_ms);
        if (v->senders != RK_SENDERS_UNKNOWN && !all && !probing_changed)
            continue;
        int senders = count_senders(s->n->mesh, v, c);
        if (senders == v->senders)
            continue;
        v->senders = senders;
        out[len++] = *v;
    }
    return len;
}

/* Makes the next tick send all rows again, as the relay's queue was full. */
static void reset_senders(struct rk_signals *s)
{
    struct lh_entry *e;
    lh_foreach (s->table.by_incarnation, e)
        ((struct rk_vm_signal *)lh_entry_v(e))->senders = RK_SENDERS_UNKNOWN;
}

void rk_signals_tick(struct rk_signals *s)
{
    int64_t now_ms = rk_mono_ms();
    size_t len = rk_vm_signals_len(&s->table);
    if (!len)
        return;
    struct possible_senders possible = find_possible_senders(s->n->mesh, now_ms);
    struct rk_vm_signal *rows = rk_alloc(len, sizeof(*rows));
    len = collect(s, rows, &possible, now_ms);
    free_possible_senders(&possible);
    if (!len)
        free(rows);
    else if (!rk_relay_set_signals(s->n->relay, rows, len))
        reset_senders(s);
    if (now_ms - s->expired_ms < EXPIRE_INTERVAL_MS)
        return;
    s->expired_ms = now_ms;
    rk_vm_signals_expire(&s->table, now_ms);
}

/* ---- creation ---- */

struct rk_signals *rk_signals_create(struct rk_node *n)
{
    struct rk_signals *s = rk_alloc(1, sizeof(*s));
    s->n = n;
    return s;
}

void rk_signals_destroy(struct rk_signals *s)
{
    rk_vm_signals_free(&s->table);
    free(s);
}
