/* What VMs say of themselves, as this node and its peers heard it, and which nodes
 * share the limit of a VM: those of the VM's failure domain, by rendezvous hashing.
 * Callers there meet it first, and these nodes hear each other themselves, so that
 * they agree soon on who is there. All nodes take the place of a domain that has
 * none. */
#include <json-c/linkhash.h>
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"

#define FORGET_EVERY_MS 10000

struct rk_signals {
    struct rk_node *n;
    struct rk_vm_signals table;
    uint64_t nodes; /* others.hash when parts were worked out last */
    int64_t forgot_ms;
};

const struct rk_vm_signals *rk_signals_table(const struct rk_signals *s)
{
    return &s->table;
}

static bool is_limited(const struct rk_vm_signal *v)
{
    return v->limited;
}

static bool says_leaving(const struct rk_vm_signal *v)
{
    return v->leaving;
}

static size_t count(const struct rk_signals *s,
                    bool (*has)(const struct rk_vm_signal *v))
{
    struct lh_entry *e;
    size_t len = 0;
    if (!s->table.by_life)
        return 0;
    lh_foreach (s->table.by_life, e)
        len += has(lh_entry_v(e));
    return len;
}

size_t rk_signals_limited(const struct rk_signals *s)
{
    return count(s, is_limited);
}

size_t rk_signals_leaving(const struct rk_signals *s)
{
    return count(s, says_leaving);
}

void rk_signals_take(struct rk_signals *s, const struct rk_vm_signal *rows,
                     size_t len)
{
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < len; i++) {
        struct rk_vm_signal *v =
            rk_vm_signals_at(&s->table, rows[i].life, rows[i].domain, now_ms);
        if (v && rk_vm_signal_merge(v, &rows[i], now_ms))
            v->senders = RK_SENDERS_UNKNOWN;
    }
}

/* ---- who shares a limit ---- */

/* Other nodes that may: of this failure domain, and of all. */
struct others {
    uint64_t *near, *all;
    size_t near_len, all_len;
    uint64_t hash; /* of these and of whether this node may */
};

static bool may_send(const struct member *k, int64_t now_ms)
{
    return k->id[0] && !k->leaving && rk_mesh_is_alive(k, now_ms);
}

static struct others find_others(const struct rk_mesh *m, int64_t now_ms)
{
    struct others o = {.hash = (uint64_t)m->listed << 1 | m->n->leaving};
    o.near = rk_alloc(rk_mesh_count(m) + 1, sizeof(*o.near));
    o.all = rk_alloc(rk_mesh_count(m) + 1, sizeof(*o.all));
    for (const struct member *k = m->members; k; k = k->next) {
        if (!may_send(k, now_ms))
            continue;
        o.all[o.all_len++] = k->hash;
        o.hash += rk_hash_str(k->hash, k->domain);
        if (rk_mesh_is_near(k))
            o.near[o.near_len++] = k->hash;
    }
    return o;
}

static void free_others(struct others *o)
{
    free(o->near);
    free(o->all);
}

static bool has_nodes(const struct rk_mesh *m, const char *domain)
{
    const struct member *k = m->members;
    while (k && (!k->id[0] || strcmp(k->domain, domain) != 0))
        k = k->next;
    return k != NULL;
}

/* This node's part, as rk_vm_limit_part(). */
static int part(const struct rk_mesh *m, const struct rk_vm_signal *v,
                const struct others *o)
{
    uint64_t own = rk_hash_str(0, m->n->file.id);
    if (!v->limited || !m->listed || m->n->leaving)
        return 0;
    if (!strcmp(m->n->file.failure_domain, v->domain))
        return rk_vm_limit_part(v, own, o->near, o->near_len);
    if (has_nodes(m, v->domain))
        return 0;
    return rk_vm_limit_part(v, own, o->all, o->all_len);
}

/* ---- the relay ---- */

/* Rows whose limit, or whose part of it here, isn't what the relay was told. */
static size_t collect(struct rk_signals *s, struct rk_vm_signal *out,
                      const struct others *o)
{
    struct lh_entry *e;
    size_t len = 0;
    bool all = o->hash != s->nodes;
    s->nodes = o->hash;
    lh_foreach (s->table.by_life, e) {
        struct rk_vm_signal *v = lh_entry_v(e);
        if (v->senders != RK_SENDERS_UNKNOWN && !all)
            continue;
        int now = part(s->n->mesh, v, o);
        if (now == v->senders)
            continue;
        v->senders = now;
        out[len++] = *v;
    }
    return len;
}

/* What the relay is told may be lost: it is told anew. */
static void tell_again(struct rk_signals *s)
{
    struct lh_entry *e;
    lh_foreach (s->table.by_life, e)
        ((struct rk_vm_signal *)lh_entry_v(e))->senders = RK_SENDERS_UNKNOWN;
}

void rk_signals_tick(struct rk_signals *s)
{
    int64_t now_ms = rk_mono_ms();
    size_t len = rk_vm_signals_len(&s->table);
    if (!len)
        return;
    struct others others = find_others(s->n->mesh, now_ms);
    struct rk_vm_signal *rows = rk_alloc(len, sizeof(*rows));
    len = collect(s, rows, &others);
    free_others(&others);
    if (!len)
        free(rows);
    else if (!rk_relay_set_signals(s->n->relay, rows, len))
        tell_again(s);
    if (now_ms - s->forgot_ms < FORGET_EVERY_MS)
        return;
    s->forgot_ms = now_ms;
    rk_vm_signals_forget(&s->table, now_ms);
}

/* ---- making ---- */

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
