/* The nodes that are known, who of them is heard, and who bridges each failure
 * domain: the nodes with the most processor time, by a hash among equals; one that
 * runs late gives way to an equal. */
#include <json-c/linkhash.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "core/quota.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define FIRST_IDS 64
#define HEARD_MS  900  /* a node silent for longer is not heard */
#define TOLD_MS   2500 /* a bridge's word that it hears a node, the same */
#define FAR_MS                                                                     \
    6500 /* the same, of other domains: told to those who bridge none              \
          */
#define NEW_MS    1500 /* a node that was just learnt of is taken to live */
#define FORGET_MS 15000
#define MILLI     1000.0
#define SLOW_PART 4

size_t rk_mesh_count(const struct rk_mesh *m)
{
    return m->members_len;
}

bool rk_mesh_is_heard(const struct member *k, int64_t now_ms)
{
    return k->heard_ms && now_ms - k->heard_ms < HEARD_MS;
}

/* What a bridge told counts if it is younger than what was heard here. While no
 * bridge tells anything, its last word stands. */
bool rk_mesh_is_alive(const struct member *k, int64_t now_ms)
{
    if (rk_mesh_is_heard(k, now_ms))
        return true;
    if (!k->heard_ms && !k->told_ms)
        return now_ms - k->known_ms < NEW_MS;
    if (k->told_ms <= k->heard_ms + HEARD_MS)
        return false;
    if (k->m->bridge)
        return k->told_ms > now_ms - TOLD_MS;
    return k->told_ms > k->m->fleet_ms - (rk_mesh_is_near(k) ? TOLD_MS : FAR_MS);
}

bool rk_mesh_is_near(const struct member *k)
{
    return !strcmp(k->domain, k->m->n->file.failure_domain);
}

struct member *rk_mesh_find(const struct rk_mesh *m, const char *id)
{
    void *k = NULL;
    lh_table_lookup_ex(m->by_id, id, &k);
    return k;
}

static void forget_id(struct member *k)
{
    if (k->id[0])
        lh_table_delete(k->m->by_id, k->id);
    k->id[0] = '\0';
}

static void set_id(struct member *k, const char *id)
{
    if (!id[0] || !strcmp(k->id, id))
        return;
    forget_id(k);
    rk_strcpy(k->id, sizeof(k->id), id);
    k->hash = rk_hash_str(0, id);
    lh_table_insert(k->m->by_id, k->id, k);
}

struct member *rk_mesh_find_addr(const struct rk_mesh *m, const char *addr)
{
    struct member *k = m->members;
    while (k && strcmp(k->addr, addr) != 0)
        k = k->next;
    return k;
}

static struct member *add_member(struct rk_mesh *m, const char *id,
                                 const char *addr)
{
    struct member *k = rk_alloc(1, sizeof(*k));
    k->m = m;
    k->known_ms = rk_mono_ms();
    set_id(k, id);
    rk_strcpy(k->addr, sizeof(k->addr), addr);
    k->next = m->members;
    m->members = k;
    m->members_len++;
    return k;
}

bool rk_mesh_hears_life(struct member *k, uint64_t incarnation)
{
    size_t kept = k->ended_len < ENDED_LIVES ? k->ended_len : ENDED_LIVES;
    if (k->life == incarnation)
        return true;
    for (size_t i = 0; i < kept; i++)
        if (k->ended[i] == incarnation)
            return false;
    if (k->life)
        k->ended[k->ended_len++ % ENDED_LIVES] = k->life;
    k->life = incarnation;
    return true;
}

void rk_mesh_meet(struct member *k)
{
    if (k->is_contact)
        return;
    k->is_contact = true;
    k->next_contact = k->m->contacts;
    k->m->contacts = k;
}

static void drop_contact(struct member *k)
{
    struct member **at = &k->m->contacts;
    while (*at && *at != k)
        at = &(*at)->next_contact;
    if (*at)
        *at = k->next_contact;
}

static void free_member(struct member *k)
{
    if (k->m->catch_up == k)
        k->m->catch_up = NULL;
    drop_contact(k);
    k->m->members_len--;
    forget_id(k);
    rk_link_destroy(k->link);
    free(k->loads);
    rk_org_uses_free(&k->uses);
    free(k->services);
    free(k->trials);
    rk_digest_free(&k->digest);
    free(k);
}

void rk_mesh_init_members(struct rk_mesh *m)
{
    m->by_id = lh_kchar_table_new(FIRST_IDS, NULL);
}

void rk_mesh_free_members(struct rk_mesh *m)
{
    while (m->members) {
        struct member *k = m->members;
        m->members = k->next;
        free_member(k);
    }
    lh_table_free(m->by_id);
}

struct member *rk_mesh_learn(struct rk_mesh *m, const char *id, const char *addr)
{
    struct member *k = id[0] ? rk_mesh_find(m, id) : NULL;
    if (!k)
        k = rk_mesh_find_addr(m, addr);
    if (!k)
        k = add_member(m, id, addr);
    set_id(k, id);
    if (strcmp(k->addr, addr) != 0) {
        rk_strcpy(k->addr, sizeof(k->addr), addr);
        rk_link_destroy(k->link);
        k->link = NULL;
        k->told = (struct link_told){0};
    }
    return k;
}

bool rk_mesh_is_self(const struct rk_mesh *m, const char *id, const char *addr)
{
    return !strcmp(id, m->n->file.id) || !strcmp(addr, rk_mesh_addr(m));
}

static int count_heard(const struct rk_mesh *m, int64_t now_ms)
{
    int count = 1;
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (m->direct || rk_mesh_is_near(k))
            count += rk_mesh_is_heard(k, now_ms);
        else if (rk_digest_counts(k, now_ms))
            count += k->digest.nodes_heard;
    }
    return count;
}

int rk_mesh_heard(const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    const struct member *source = rk_digest_of_fleet(m, now_ms);
    return source ? source->digest.nodes_heard : count_heard(m, now_ms);
}

/* A node that said that it leaves is gone once it is silent. */
static bool is_of_fleet(const struct member *k, int64_t now_ms)
{
    return k->id[0] && !k->unproven && (!k->leaving || rk_mesh_is_alive(k, now_ms));
}

static int count_total(const struct rk_mesh *m, int64_t now_ms)
{
    int count = 1;
    for (const struct member *k = m->members; k; k = k->next)
        count += is_of_fleet(k, now_ms);
    return count;
}

int rk_mesh_told_total(const struct rk_mesh *m)
{
    const struct member *source = rk_digest_of_fleet(m, rk_mono_ms());
    return source ? source->digest.nodes_total : 0;
}

struct rk_fleet_size rk_mesh_size(const struct rk_mesh *m)
{
    struct rk_fleet_size size = {0};
    int64_t now_ms = rk_mono_ms();
    if (!m->listed)
        return size;
    rk_fleet_size_add(&size, rk_mesh_capacity(m));
    for (const struct member *k = m->members; k; k = k->next)
        if (is_of_fleet(k, now_ms))
            rk_fleet_size_add(&size, k->capacity);
    return size;
}

int rk_mesh_total(const struct rk_mesh *m)
{
    int count = m->direct ? count_total(m, rk_mono_ms()) : m->total;
    return m->listed || count > RK_UNKNOWN_NODES ? count : RK_UNKNOWN_NODES;
}

/* Does this node hear a member itself, where all is well? Of the others it hears by
 * bridges, whose logs tell who came and went. */
static bool is_own_peer(const struct member *k)
{
    const struct rk_mesh *m = k->m;
    if (rk_mesh_count(m) < RK_MESH_DIRECT) /* also before the first election */
        return true;
    return rk_mesh_is_near(k) ? m->bridge || k->bridge : m->bridge && k->bridge;
}

static void log_peer(const struct member *k, const char *event)
{
    if (is_own_peer(k))
        RK_EVENT(event, RK_S("peer", k->id), RK_S("addr", k->addr),
                 RK_S("domain", k->domain), RK_N("leaving", k->leaving));
}

void rk_mesh_review(struct rk_mesh *m, int64_t now_ms)
{
    for (struct member **at = &m->members; *at;) {
        struct member *k = *at;
        bool heard = (k->heard_ms || k->told_ms) && rk_mesh_is_alive(k, now_ms);
        if (heard != k->heard) {
            k->heard = heard;
            log_peer(k, heard ? "peer.heard" : "peer.silent");
        }
        int64_t since = k->heard_ms > k->told_ms ? k->heard_ms : k->told_ms;
        if (k->known_ms > since)
            since = k->known_ms;
        if (now_ms - since < FORGET_MS) {
            at = &k->next;
            continue;
        }
        log_peer(k, "peer.forgotten");
        *at = k->next;
        m->forgotten_ms = now_ms;
        free_member(k);
    }
}

/* ---- who bridges a domain ---- */

struct candidate {
    int64_t capacity;
    uint64_t hash;
};

/* The first nodes of a domain. */
struct first {
    char domain[RK_ID_MAX];
    struct candidate nodes[RK_MESH_BRIDGES];
    size_t len;
};

/* One that runs late counts for a part of its machine, and not for less: where the
 * large machines of a domain run late, small ones would only do worse. */
static struct candidate candidate(int64_t capacity, bool slow, uint64_t hash)
{
    return (struct candidate){.capacity = slow ? capacity / SLOW_PART : capacity,
                              .hash = hash};
}

static bool precedes(struct candidate a, struct candidate b)
{
    if (a.capacity != b.capacity)
        return a.capacity > b.capacity;
    return a.hash < b.hash;
}

static void offer(struct first *f, struct candidate c)
{
    size_t at = f->len;
    while (at > 0 && precedes(c, f->nodes[at - 1]))
        at--;
    if (at == RK_MESH_BRIDGES)
        return;
    if (f->len < RK_MESH_BRIDGES)
        f->len++;
    memmove(&f->nodes[at + 1], &f->nodes[at],
            (f->len - 1 - at) * sizeof(f->nodes[0]));
    f->nodes[at] = c;
}

static bool is_first(const struct first *f, uint64_t hash)
{
    for (size_t i = 0; i < f->len; i++)
        if (f->nodes[i].hash == hash)
            return true;
    return false;
}

static struct first *first_of(struct first *all, size_t *len, const char *domain)
{
    for (size_t i = 0; i < *len; i++)
        if (!strcmp(all[i].domain, domain))
            return &all[i];
    if (*len == RK_DOMAIN_PRICES)
        return NULL;
    struct first *f = &all[(*len)++];
    *f = (struct first){0};
    rk_strcpy(f->domain, sizeof(f->domain), domain);
    return f;
}

static bool may_bridge(const struct member *k, int64_t now_ms)
{
    return k->id[0] && k->domain[0] && !k->leaving && rk_mesh_is_alive(k, now_ms);
}

int64_t rk_mesh_capacity(const struct rk_mesh *m)
{
    return (int64_t)(m->n->file.cpu_share * MILLI);
}

void rk_mesh_elect(struct rk_mesh *m, int64_t now_ms)
{
    const struct candidate self =
        candidate(rk_mesh_capacity(m), m->slow, rk_hash_str(0, m->n->file.id));
    struct first all[RK_DOMAIN_PRICES];
    size_t len = 0;
    struct first *f = first_of(all, &len, m->n->file.failure_domain);
    bool was_direct = m->direct;
    m->direct = rk_mesh_count(m) < RK_MESH_DIRECT;
    m->total = count_total(m, now_ms);
    m->preceded = 0;
    m->served = false;
    if (!m->n->leaving)
        offer(f, self);
    for (struct member *k = m->members; k; k = k->next) {
        const struct candidate c = candidate(k->capacity, k->slow, k->hash);
        if (!may_bridge(k, now_ms))
            continue;
        if ((f = first_of(all, &len, k->domain)))
            offer(f, c);
        if (!rk_mesh_is_near(k) || !precedes(c, self))
            continue;
        m->preceded++;
        m->served = m->served || k->hears_store;
    }
    for (struct member *k = m->members; k; k = k->next) {
        f = may_bridge(k, now_ms) ? first_of(all, &len, k->domain) : NULL;
        k->bridge = !m->direct && f && is_first(f, k->hash);
    }
    bool bridge = !m->direct && is_first(&all[0], self.hash);
    if ((bridge && !m->bridge) || (m->direct && !was_direct))
        rk_digest_begin(m);
    if (bridge != m->bridge)
        RK_EVENT("mesh.bridge", RK_N("on", bridge), RK_N("preceded", m->preceded));
    m->bridge = bridge;
}

int rk_mesh_rank(const struct rk_mesh *m)
{
    return m->direct || (m->bridge && !m->preceded) ? -1 : m->preceded;
}

bool rk_mesh_is_served(const struct rk_mesh *m)
{
    return m->served;
}

bool rk_mesh_is_listed(const struct rk_mesh *m)
{
    return m->listed;
}

bool rk_mesh_is_direct(const struct rk_mesh *m)
{
    return m->direct;
}

bool rk_mesh_is_bridge(const struct rk_mesh *m)
{
    return m->bridge;
}

bool rk_mesh_stands(const struct rk_mesh *m)
{
    return m->direct || m->bridge;
}

bool rk_mesh_hears(const struct rk_mesh *m, const char *id)
{
    const struct member *k = id[0] ? rk_mesh_find(m, id) : NULL;
    return k && (k->heard_ms || k->told_ms) && rk_mesh_is_alive(k, rk_mono_ms());
}

bool rk_mesh_is_first(const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    uint64_t own = rk_hash_str(0, m->n->file.id);
    if (!rk_mesh_stands(m) || 2 * rk_mesh_heard(m) <= rk_mesh_total(m))
        return false;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if ((m->direct || k->bridge) && !k->leaving && k->hash < own &&
            rk_mesh_is_heard(k, now_ms))
            return false;
    return true;
}
