/* Registration in the store's node list. At its start, a node writes its own entry
 * and reads the list to find its peers. Peers report later changes. */
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "common/number_field.h"
#include "node/mesh_impl.h"
#include "objects/store.h"

#define NODES_KIND      "rillknot-nodes"
#define REGISTER_MIN_MS 200
#define REGISTER_MAX_MS 2000
#define SPEC_MAX        192 /* bytes of an entry */
/* Number of reads of the list after the deployment's first start, as other nodes
 * register meanwhile, and the time between them. */
#define LIST_READS       3
#define LIST_INTERVAL_MS 1500
/* Interval of the checks whether the list has to be read again, as members were
 * removed. */
#define LIST_CHECK_MS 8000
/* Nodes that are started together have all started within this time. */
#define JOINT_START_MS 350
/* A node's process file names at least this many peers, unless the fleet is
 * smaller. */
#define SEEDS_MIN 3
/* The list is read again for this long after a member was removed as unresponsive,
 * as it may only have been cut off. */
#define REMOVED_MEMBER_MS 60000
/* Interval of checks, in the read delay, whether peers have reported the nodes. */
#define READ_DELAY_CHECK_MS 100

static const struct rk_number_field capacity_field = {.name = "capacity",
                                                      .max = 1e6};

static void build_spec(const struct rk_mesh *m, char spec[SPEC_MAX])
{
    snprintf(spec, SPEC_MAX, "{\"addr\":\"%s\",\"domain\":\"%s\",\"capacity\":%d}",
             rk_mesh_addr(m), m->n->file.failure_domain, (int)rk_mesh_capacity(m));
}

static void retry_registration(struct rk_mesh *m)
{
    uint32_t jitter =
        rk_rng_below(&m->n->rng, (uint32_t)m->registration_retry_ms + 1);
    rk_timer_start(m->n->loop, &m->registration_timer,
                   m->registration_retry_ms / 2 + jitter);
    m->registration_retry_ms = m->registration_retry_ms * 2 < REGISTER_MAX_MS
                                   ? m->registration_retry_ms * 2
                                   : REGISTER_MAX_MS;
}

/* Adds a node of the list to the members. Once a member has been removed as
 * unresponsive, a node that the list adds may be the same one, still cut off: it
 * isn't counted until it is known to be reachable. */
static void add_listed_node(struct rk_mesh *m, const struct rk_store_object *o)
{
    const char *addr = rk_json_str(o->spec, "addr");
    if (rk_mesh_is_self(m, o->name, addr))
        return;
    if (!o->name[0] || !rk_mesh_is_identity(o->name, addr)) {
        RK_WARN("mesh.entry_rejected", RK_S("node", o->name), RK_S("addr", addr));
        return;
    }
    bool known = rk_mesh_find(m, o->name) != NULL;
    struct member *k = rk_mesh_find_or_add(m, o->name, addr);
    if (!k->domain[0])
        rk_strcpy(k->domain, sizeof(k->domain), rk_json_str(o->spec, "domain"));
    if (!k->capacity)
        k->capacity = rk_field_int(o->spec, NODES_KIND, &capacity_field);
    if (!known)
        k->unconfirmed = m->member_removed_ms != 0;
}

static void schedule_list(struct rk_mesh *m)
{
    m->lists_left = rk_mesh_count(m) < RK_MESH_DIRECT_MAX ? m->lists_left - 1 : 0;
    int64_t wait_ms = m->lists_left > 0 ? LIST_INTERVAL_MS : LIST_CHECK_MS;
    int64_t jitter = rk_rng_below(&m->n->rng, LIST_INTERVAL_MS);
    rk_timer_start(m->n->loop, &m->registration_timer, wait_ms + jitter);
}

static void create_entry(struct rk_mesh *m);

/* Returns whether the list has this node with its current address. */
static bool has_own_entry(const struct rk_mesh *m,
                          const struct rk_store_object *objects, size_t len)
{
    for (size_t i = 0; i < len; i++)
        if (!strcmp(objects[i].name, m->n->file.id))
            return !strcmp(rk_json_str(objects[i].spec, "addr"), rk_mesh_addr(m));
    return false;
}

static void on_node_list(void *ctx, enum rk_status st,
                         const struct rk_store_object *objects, size_t len,
                         int64_t revision)
{
    (void)revision;
    struct rk_mesh *m = ctx;
    if (st != RK_OK) {
        retry_registration(m);
        return;
    }
    m->registration_retry_ms = REGISTER_MIN_MS;
    m->registered = m->registered || has_own_entry(m, objects, len);
    if (!m->registered) {
        create_entry(m); /* a new node, or the list is stale */
        return;
    }
    m->has_node_list = true;
    for (size_t i = 0; i < len; i++)
        add_listed_node(m, &objects[i]);
    RK_EVENT("mesh.enrolled", RK_N("nodes", (int64_t)len));
    rk_mesh_elect(m, rk_mono_ms());
    rk_mesh_connect(m, rk_mono_ms());
    schedule_list(m);
}

static void list_nodes(struct rk_mesh *m, bool stale)
{
    struct rk_store *store = m->n->store;
    store->ops->list(store, NODES_KIND, stale, on_node_list, m);
}

/* Reads the list for the first time. Nodes that start together wait until all of
 * them have registered. In a large fleet each of them then gets all nodes by a
 * single read and needn't watch the store itself for lack of known peers. */
static void read_first_list(struct rk_mesh *m)
{
    bool started_jointly =
        m->n->file.first_start && m->n->file.peers_len >= SEEDS_MIN;
    int64_t jitter = rk_rng_below(&m->n->rng, JOINT_START_MS);
    if (started_jointly)
        rk_timer_start(m->n->loop, &m->registration_timer, JOINT_START_MS + jitter);
    else
        list_nodes(m, false);
}

static void on_registered(void *ctx, enum rk_status st,
                          const struct rk_store_object *object)
{
    struct rk_mesh *m = ctx;
    struct rk_store *store = m->n->store;
    if (st == RK_ECONFLICT && object && !m->registered) {
        /* The entry was written by an earlier incarnation of this node. */
        char spec[SPEC_MAX];
        build_spec(m, spec);
        m->registered = true;
        if (strcmp(rk_json_str(object->spec, "addr"), rk_mesh_addr(m)) != 0) {
            store->ops->replace(store, NODES_KIND, m->n->file.id, object->revision,
                                spec, on_registered, m);
            return;
        }
    } else if (st != RK_OK) {
        m->registered = false;
        retry_registration(m);
        return;
    }
    m->registered = true;
    read_first_list(m);
}

static void create_entry(struct rk_mesh *m)
{
    struct rk_store *store = m->n->store;
    char spec[SPEC_MAX];
    build_spec(m, spec);
    store->ops->create(store, NODES_KIND, m->n->file.id, spec, on_registered, m);
}

/* After the first reads, the list is read again only while removed members may be
 * cut off, and only by nodes that would connect to them. */
static void check_list(struct rk_mesh *m)
{
    bool may_be_cut_off = m->member_removed_ms &&
                          rk_mono_ms() - m->member_removed_ms < REMOVED_MEMBER_MS;
    if (!m->has_node_list || m->lists_left > 0 ||
        (may_be_cut_off && (m->direct || m->bridge)))
        list_nodes(m, m->has_node_list && !m->lists_left);
    else
        rk_timer_start(m->n->loop, &m->registration_timer, LIST_CHECK_MS);
}

static void on_own_entry(void *ctx, enum rk_status st,
                         const struct rk_store_object *object)
{
    struct rk_mesh *m = ctx;
    bool own = st == RK_OK && object &&
               !strcmp(rk_json_str(object->spec, "addr"), rk_mesh_addr(m));
    if (own) {
        m->registered = m->has_node_list = true;
        m->registration_retry_ms = REGISTER_MIN_MS;
        RK_EVENT("mesh.told", RK_N("nodes", (int64_t)rk_mesh_count(m) + 1));
        schedule_list(m);
    } else if (st == RK_OK || st == RK_ENOTFOUND) {
        create_entry(m); /* a new node, or its address has changed */
    } else {
        retry_registration(m);
    }
}

/* Reads only this node's entry, as peers have reported the other nodes. */
static void read_own_entry(struct rk_mesh *m)
{
    struct rk_store *store = m->n->store;
    store->ops->read(store, NODES_KIND, m->n->file.id, true, on_own_entry, m);
}

/* A restarted node is already on the list, and a stale copy of the list is good
 * enough. The node reads it when its read delay is over, unless a peer reports most
 * of the nodes before that. */
static void register_restarted(struct rk_mesh *m)
{
    int64_t wait_ms = rk_read_delay_left_ms(m->n);
    if (rk_read_delay_has_digests(m->n))
        read_own_entry(m);
    else if (wait_ms > 0)
        rk_timer_start(m->n->loop, &m->registration_timer,
                       wait_ms < READ_DELAY_CHECK_MS ? wait_ms
                                                     : READ_DELAY_CHECK_MS);
    else
        list_nodes(m, true);
}

static void on_registration_timer(void *ctx)
{
    struct rk_mesh *m = ctx;
    if (m->registered)
        check_list(m);
    else if (m->n->file.first_start)
        create_entry(m);
    else
        register_restarted(m);
}

void rk_mesh_read_delay_changed(struct rk_mesh *m)
{
    if (!m->registered && m->registration_timer.slot)
        rk_timer_start(m->n->loop, &m->registration_timer, 0);
}

void rk_registration_init(struct rk_mesh *m)
{
    m->registration_retry_ms = REGISTER_MIN_MS;
    m->lists_left = m->n->file.first_start ? LIST_READS : 1;
    m->registration_timer =
        (struct rk_timer){.fn = on_registration_timer, .ctx = m};
}

void rk_registration_start(struct rk_mesh *m)
{
    rk_timer_start(m->n->loop, &m->registration_timer, 0);
}
