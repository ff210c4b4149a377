/* The known nodes, their reachability, and the election of each failure domain's
 * bridges. The nodes with the largest processor share are elected, and among equals
 * those with the lowest hash of their id. A slow node counts with a quarter of
 * its share. */
#include <json-c/linkhash.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

#include "common/addr.h"
#include "common/eventlog.h"
#include "core/quota.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define INDEX_SIZE     64  /* initial size of the index by id */
#define UNREACHABLE_MS 900 /* silence after which a node is unreachable */
/* Age at which a bridge's report that it reaches a node expires: for a node of this
 * domain, and for one of another domain, as those are reported more seldom to nodes
 * that aren't bridges. A bridge uses the first one for all. */
#define NEAR_REPORT_MS 2500
#define FAR_REPORT_MS  6500
#define GRACE_MS       1500  /* time for which a newly added node counts as alive */
#define REMOVE_MS      15000 /* silence after which a member is removed */
#define MILLI          1000.0
#define SLOW_DIVISOR   4 /* divides the capacity of a slow node */

size_t rk_mesh_count(const struct rk_mesh *m)
{
    return m->members_len;
}

bool rk_mesh_is_reachable_directly(const struct member *k, int64_t now_ms)
{
    return k->last_received_ms && now_ms - k->last_received_ms < UNREACHABLE_MS;
}

/* A bridge's report is used if it came after the member had become unreachable from
 * here.
 * At a node that isn't a bridge its age is measured against the last member list,
 * so that it doesn't expire while no bridge sends one. */
bool rk_mesh_is_alive(const struct member *k, int64_t now_ms)
{
    if (rk_mesh_is_reachable_directly(k, now_ms))
        return true;
    if (!k->last_received_ms && !k->reported_ms)
        return now_ms - k->added_ms < GRACE_MS;
    if (k->reported_ms <= k->last_received_ms + UNREACHABLE_MS)
        return false;
    if (k->m->bridge)
        return k->reported_ms > now_ms - NEAR_REPORT_MS;
    return k->reported_ms >
           k->m->fleet_members_ms -
               (rk_mesh_is_same_domain(k) ? NEAR_REPORT_MS : FAR_REPORT_MS);
}

bool rk_mesh_is_same_domain(const struct member *k)
{
    return !strcmp(k->domain, k->m->n->file.failure_domain);
}

struct member *rk_mesh_find(const struct rk_mesh *m, const char *id)
{
    void *k = NULL;
    lh_table_lookup_ex(m->by_id, id, &k);
    return k;
}

static void clear_id(struct member *k)
{
    if (k->id[0])
        lh_table_delete(k->m->by_id, k->id);
    k->id[0] = '\0';
}

static void set_id(struct member *k, const char *id)
{
    if (!id[0] || !strcmp(k->id, id))
        return;
    clear_id(k);
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
    k->added_ms = rk_mono_ms();
    set_id(k, id);
    rk_strcpy(k->addr, sizeof(k->addr), addr);
    k->next = m->members;
    m->members = k;
    m->members_len++;
    return k;
}

bool rk_mesh_accepts_incarnation(struct member *k, uint64_t incarnation)
{
    size_t len = k->past_len < PAST_INCARNATIONS ? k->past_len : PAST_INCARNATIONS;
    if (k->last_incarnation == incarnation)
        return true;
    for (size_t i = 0; i < len; i++)
        if (k->past_incarnations[i] == incarnation)
            return false;
    if (k->last_incarnation)
        k->past_incarnations[k->past_len++ % PAST_INCARNATIONS] =
            k->last_incarnation;
    k->last_incarnation = incarnation;
    return true;
}

void rk_mesh_add_contact(struct member *k)
{
    if (k->is_contact)
        return;
    k->is_contact = true;
    k->next_contact = k->m->contacts;
    k->m->contacts = k;
}

static void remove_contact(struct member *k)
{
    struct member **at = &k->m->contacts;
    while (*at && *at != k)
        at = &(*at)->next_contact;
    if (*at)
        *at = k->next_contact;
}

static void free_member(struct member *k)
{
    if (k->m->catch_up_source == k)
        k->m->catch_up_source = NULL;
    remove_contact(k);
    k->m->members_len--;
    clear_id(k);
    rk_link_destroy(k->link);
    free(k->loads);
    rk_org_uses_free(&k->uses);
    free(k->services);
    free(k->canary_stats);
    rk_digest_free(&k->digest);
    free(k);
}

void rk_mesh_init_members(struct rk_mesh *m)
{
    m->by_id = lh_kchar_table_new(INDEX_SIZE, NULL);
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

struct member *rk_mesh_find_or_add(struct rk_mesh *m, const char *id,
                                   const char *addr)
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
        k->link_state = (struct link_state){0};
    }
    return k;
}

bool rk_mesh_is_identity(const char *id, const char *addr)
{
    struct sockaddr_in sin;
    return strlen(id) < RK_ID_MAX && strlen(addr) < RK_ADDR_MAX &&
           rk_addr_parse(addr, &sin) && sin.sin_port;
}

bool rk_mesh_is_self(const struct rk_mesh *m, const char *id, const char *addr)
{
    return !strcmp(id, m->n->file.id) || !strcmp(addr, rk_mesh_addr(m));
}

static int count_reachable(const struct rk_mesh *m, int64_t now_ms)
{
    int count = 1;
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (m->direct || rk_mesh_is_same_domain(k))
            count += rk_mesh_is_reachable_directly(k, now_ms);
        else if (rk_digest_is_counted(k, now_ms))
            count += k->digest.nodes_reachable;
    }
    return count;
}

int rk_mesh_reachable_count(const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    const struct member *source = rk_digest_reachability_source(m, now_ms);
    return source ? source->digest.nodes_reachable : count_reachable(m, now_ms);
}

/* Returns whether a member counts as a node of the fleet. One in a planned stop
 * counts until it is unreachable. */
static bool is_of_fleet(const struct member *k, int64_t now_ms)
{
    return k->id[0] && !k->unconfirmed &&
           (!k->leaving || rk_mesh_is_alive(k, now_ms));
}

static int count_total(const struct rk_mesh *m, int64_t now_ms)
{
    int count = 1;
    for (const struct member *k = m->members; k; k = k->next)
        count += is_of_fleet(k, now_ms);
    return count;
}

int rk_mesh_reported_total(const struct rk_mesh *m)
{
    const struct member *source = rk_digest_reachability_source(m, rk_mono_ms());
    return source ? source->digest.nodes_total : 0;
}

struct rk_fleet_size rk_mesh_fleet_size(const struct rk_mesh *m)
{
    struct rk_fleet_size size = {0};
    int64_t now_ms = rk_mono_ms();
    if (!m->has_node_list)
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
    return m->has_node_list || count > RK_ASSUMED_NODES ? count : RK_ASSUMED_NODES;
}

/* Returns whether this node normally gets messages from the member itself. The
 * changes of other members are logged by bridges. */
static bool is_direct_peer(const struct member *k)
{
    const struct rk_mesh *m = k->m;
    if (rk_mesh_count(m) <
        RK_MESH_DIRECT_MAX) /* m->direct may not be elected yet */
        return true;
    return rk_mesh_is_same_domain(k) ? m->bridge || k->bridge
                                     : m->bridge && k->bridge;
}

static void log_peer(const struct member *k, const char *event)
{
    if (is_direct_peer(k))
        RK_EVENT(event, RK_S("peer", k->id), RK_S("addr", k->addr),
                 RK_S("domain", k->domain), RK_N("leaving", k->leaving));
}

/* Updates and logs whether a member is reachable. */
static void update_reachable(struct member *k, int64_t now_ms)
{
    bool reachable =
        (k->last_received_ms || k->reported_ms) && rk_mesh_is_alive(k, now_ms);
    if (reachable == k->was_reachable)
        return;
    k->was_reachable = reachable;
    log_peer(k, reachable ? "peer.heard" : "peer.silent");
}

/* Returns when a member was last known to be alive, or was added. */
static int64_t last_alive_ms(const struct member *k)
{
    int64_t last_ms = k->last_received_ms > k->last_alive_ms ? k->last_received_ms
                                                             : k->last_alive_ms;
    return k->added_ms > last_ms ? k->added_ms : last_ms;
}

void rk_mesh_expire_members(struct rk_mesh *m, int64_t now_ms)
{
    int removed = 0;
    for (struct member **at = &m->members; *at;) {
        struct member *k = *at;
        update_reachable(k, now_ms);
        rk_mesh_note_silence(m, k, last_alive_ms(k), now_ms);
        if (now_ms - last_alive_ms(k) < REMOVE_MS) {
            at = &k->next;
            continue;
        }
        log_peer(k, "peer.forgotten");
        *at = k->next;
        m->member_removed_ms = now_ms;
        free_member(k);
        removed++;
    }
    rk_mesh_expire_silent(m, now_ms);
    /* The number of members sets this node's part of each quota. */
    if (removed)
        RK_EVENT("mesh.shrunk", RK_N("removed", removed),
                 RK_N("members", (int64_t)m->members_len));
}

/* ---- election of bridges ---- */

struct rank_key {
    int64_t capacity;
    uint64_t hash;
};

/* The bridges of a domain, in order of precedence. */
struct bridges {
    char domain[RK_ID_MAX];
    bool alive; /* it has candidates that are alive */
    struct rank_key nodes[RK_MESH_BRIDGES];
    size_t len;
};

/* A slow node counts with a part of its capacity, but not with none: if the large
 * machines of a domain are slow, much smaller ones would only do worse. */
static struct rank_key rank_key_of(int64_t capacity, bool slow, uint64_t hash)
{
    return (struct rank_key){.capacity = slow ? capacity / SLOW_DIVISOR : capacity,
                             .hash = hash};
}

static bool precedes(struct rank_key a, struct rank_key b)
{
    if (a.capacity != b.capacity)
        return a.capacity > b.capacity;
    return a.hash < b.hash;
}

static void insert_node(struct bridges *b, struct rank_key c)
{
    size_t at = b->len;
    while (at > 0 && precedes(c, b->nodes[at - 1]))
        at--;
    if (at == RK_MESH_BRIDGES)
        return;
    if (b->len < RK_MESH_BRIDGES)
        b->len++;
    memmove(&b->nodes[at + 1], &b->nodes[at],
            (b->len - 1 - at) * sizeof(b->nodes[0]));
    b->nodes[at] = c;
}

static bool is_elected(const struct bridges *b, uint64_t hash)
{
    for (size_t i = 0; i < b->len; i++)
        if (b->nodes[i].hash == hash)
            return true;
    return false;
}

static struct bridges *bridges_of(struct bridges *all, size_t *len,
                                  const char *domain)
{
    for (size_t i = 0; i < *len; i++)
        if (!strcmp(all[i].domain, domain))
            return &all[i];
    if (*len == RK_DOMAIN_PRICES_MAX)
        return NULL;
    struct bridges *b = &all[(*len)++];
    *b = (struct bridges){0};
    rk_strcpy(b->domain, sizeof(b->domain), domain);
    return b;
}

static bool may_bridge(const struct member *k)
{
    return k->id[0] && k->domain[0] && !k->leaving;
}

/* Elects the bridges of all domains among the members that are alive. In a domain
 * that is silent as a whole, all members are candidates: it may be cut off, and is
 * reached again by links to its bridges. */
static void elect_members(const struct rk_mesh *m, struct bridges *all, size_t *len,
                          int64_t now_ms)
{
    struct bridges *b;
    for (const struct member *k = m->members; k; k = k->next) {
        if (!may_bridge(k) || !rk_mesh_is_alive(k, now_ms) ||
            !(b = bridges_of(all, len, k->domain)))
            continue;
        b->alive = true;
        insert_node(b, rank_key_of(k->capacity, k->slow, k->hash));
    }
    for (const struct member *k = m->members; k; k = k->next)
        if (may_bridge(k) && !rk_mesh_is_same_domain(k) &&
            (b = bridges_of(all, len, k->domain)) && !b->alive)
            insert_node(b, rank_key_of(k->capacity, k->slow, k->hash));
}

int64_t rk_mesh_capacity(const struct rk_mesh *m)
{
    return (int64_t)(m->n->file.cpu_share * MILLI);
}

void rk_mesh_elect(struct rk_mesh *m, int64_t now_ms)
{
    const struct rank_key self =
        rank_key_of(rk_mesh_capacity(m), m->slow, rk_hash_str(0, m->n->file.id));
    struct bridges all[RK_DOMAIN_PRICES_MAX];
    size_t len = 0;
    struct bridges *b = bridges_of(all, &len, m->n->file.failure_domain);
    b->alive = true;
    bool was_direct = m->direct;
    m->direct = rk_mesh_count(m) < RK_MESH_DIRECT_MAX;
    m->total = count_total(m, now_ms);
    m->rank = 0;
    m->has_store_watch = false;
    if (!m->n->leaving)
        insert_node(b, self);
    elect_members(m, all, &len, now_ms);
    for (const struct member *k = m->members; k; k = k->next) {
        if (!may_bridge(k) || !rk_mesh_is_same_domain(k) ||
            !rk_mesh_is_alive(k, now_ms) ||
            !precedes(rank_key_of(k->capacity, k->slow, k->hash), self))
            continue;
        m->rank++;
        m->has_store_watch = m->has_store_watch || k->store_reachable;
    }
    for (struct member *k = m->members; k; k = k->next) {
        b = may_bridge(k) ? bridges_of(all, &len, k->domain) : NULL;
        k->bridge = !m->direct && b && is_elected(b, k->hash);
    }
    bool bridge = !m->direct && is_elected(&all[0], self.hash);
    if ((bridge && !m->bridge) || (m->direct && !was_direct))
        rk_digest_start_counting(m);
    if (bridge != m->bridge)
        RK_EVENT("mesh.bridge", RK_N("on", bridge), RK_N("preceded", m->rank));
    m->bridge = bridge;
}

int rk_mesh_rank(const struct rk_mesh *m)
{
    return m->direct || (m->bridge && !m->rank) ? -1 : m->rank;
}

bool rk_mesh_has_store_watch(const struct rk_mesh *m)
{
    return m->has_store_watch;
}

bool rk_mesh_has_node_list(const struct rk_mesh *m)
{
    return m->has_node_list;
}

bool rk_mesh_is_direct(const struct rk_mesh *m)
{
    return m->direct;
}

bool rk_mesh_is_bridge(const struct rk_mesh *m)
{
    return m->bridge;
}

bool rk_mesh_is_candidate(const struct rk_mesh *m)
{
    return m->direct || m->bridge;
}

bool rk_mesh_is_reachable(const struct rk_mesh *m, const char *id)
{
    const struct member *k = id[0] ? rk_mesh_find(m, id) : NULL;
    return k && (k->last_received_ms || k->reported_ms) &&
           rk_mesh_is_alive(k, rk_mono_ms());
}

bool rk_mesh_is_acting_leader(const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    uint64_t own = rk_hash_str(0, m->n->file.id);
    if (!rk_mesh_is_candidate(m) ||
        2 * rk_mesh_reachable_count(m) <= rk_mesh_total(m))
        return false;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if ((m->direct || k->bridge) && !k->leaving && k->hash < own &&
            rk_mesh_is_reachable_directly(k, now_ms))
            return false;
    return true;
}
