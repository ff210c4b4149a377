/* The list of nodes in the store: this node writes itself there at its start and
 * reads once who else is there; the rest is told by peers. */
#include <json-c/json.h>
#include <stdio.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "node/mesh_impl.h"
#include "objects/store.h"

#define NODES_KIND      "rillknot-nodes"
#define REGISTER_MIN_MS 200
#define REGISTER_MAX_MS 2000
#define SPEC_MAX        192
#define LISTS           3    /* read at the first start: others enrol meanwhile */
#define LIST_MS         1500 /* between them */
#define LOOK_AGAIN_MS   8000 /* the same, after nodes were forgotten */
#define TOGETHER_MS     350  /* in which nodes of one start have all begun */
#define SEEDS_MIN       3 /* addresses a node is told, unless the fleet is smaller */
#define LOST_MS         60000 /* for so long */
#define TURN_LOOK_MS    100   /* between looks whether peers told it all */

static void build_spec(const struct rk_mesh *m, char spec[SPEC_MAX])
{
    snprintf(spec, SPEC_MAX, "{\"addr\":\"%s\",\"domain\":\"%s\",\"capacity\":%d}",
             rk_mesh_addr(m), m->n->file.failure_domain, (int)rk_mesh_capacity(m));
}

static void enrol_later(struct rk_mesh *m)
{
    uint32_t jitter = rk_rng_below(&m->n->rng, (uint32_t)m->enrol_ms + 1);
    rk_timer_start(m->n->loop, &m->enrol, m->enrol_ms / 2 + jitter);
    m->enrol_ms =
        m->enrol_ms * 2 < REGISTER_MAX_MS ? m->enrol_ms * 2 : REGISTER_MAX_MS;
}

/* A node of the list. One that was silent so long that it was forgotten may still
 * be cut off, but isn't counted until it is heard. */
static void learn(struct rk_mesh *m, const struct rk_store_object *o)
{
    const char *addr = rk_json_str(o->spec, "addr");
    if (!addr[0] || rk_mesh_is_self(m, o->name, addr))
        return;
    bool known = rk_mesh_find(m, o->name) != NULL;
    struct member *k = rk_mesh_learn(m, o->name, addr);
    if (!k->domain[0])
        rk_strcpy(k->domain, sizeof(k->domain), rk_json_str(o->spec, "domain"));
    if (!k->capacity)
        k->capacity = rk_json_int(o->spec, "capacity", 0);
    if (!known)
        k->unproven = m->forgotten_ms != 0;
}

static void list_later(struct rk_mesh *m)
{
    m->lists_left = rk_mesh_count(m) < RK_MESH_DIRECT ? m->lists_left - 1 : 0;
    int64_t wait_ms = m->lists_left > 0 ? LIST_MS : LOOK_AGAIN_MS;
    int64_t jitter = rk_rng_below(&m->n->rng, LIST_MS);
    rk_timer_start(m->n->loop, &m->enrol, wait_ms + jitter);
}

static void create_entry(struct rk_mesh *m);

/* Does the list have this node, as it is now? */
static bool has_own(const struct rk_mesh *m, const struct rk_store_object *objects,
                    size_t len)
{
    for (size_t i = 0; i < len; i++)
        if (!strcmp(objects[i].name, m->n->file.id))
            return !strcmp(rk_json_str(objects[i].spec, "addr"), rk_mesh_addr(m));
    return false;
}

static void on_nodes(void *ctx, enum rk_status st,
                     const struct rk_store_object *objects, size_t len, int64_t at)
{
    (void)at;
    struct rk_mesh *m = ctx;
    if (st != RK_OK) {
        enrol_later(m);
        return;
    }
    m->enrol_ms = REGISTER_MIN_MS;
    m->enrolled = m->enrolled || has_own(m, objects, len);
    if (!m->enrolled) {
        create_entry(m); /* new here, or the list is older than this node */
        return;
    }
    m->listed = true;
    for (size_t i = 0; i < len; i++)
        learn(m, &objects[i]);
    RK_EVENT("mesh.enrolled", RK_N("nodes", (int64_t)len));
    rk_mesh_elect(m, rk_mono_ms());
    rk_mesh_dial(m, rk_mono_ms());
    list_later(m);
}

static void list_nodes(struct rk_mesh *m, bool stale)
{
    struct rk_store *store = m->n->store;
    store->ops->list(store, NODES_KIND, stale, on_nodes, m);
}

/* Nodes that start together enrol first: then one list tells each of them who there
 * is, and in a large fleet nobody needs another, nor to follow the store. */
static void list_first(struct rk_mesh *m)
{
    bool together = m->n->file.first_start && m->n->file.peers_len >= SEEDS_MIN;
    int64_t jitter = rk_rng_below(&m->n->rng, TOGETHER_MS);
    if (together)
        rk_timer_start(m->n->loop, &m->enrol, TOGETHER_MS + jitter);
    else
        list_nodes(m, false);
}

static void on_enrolled(void *ctx, enum rk_status st,
                        const struct rk_store_object *object)
{
    struct rk_mesh *m = ctx;
    struct rk_store *store = m->n->store;
    if (st == RK_ECONFLICT && object && !m->enrolled) {
        /* Of an earlier life of this node. */
        char spec[SPEC_MAX];
        build_spec(m, spec);
        m->enrolled = true;
        if (strcmp(rk_json_str(object->spec, "addr"), rk_mesh_addr(m)) != 0) {
            store->ops->replace(store, NODES_KIND, m->n->file.id, object->revision,
                                spec, on_enrolled, m);
            return;
        }
    } else if (st != RK_OK) {
        m->enrolled = false;
        enrol_later(m);
        return;
    }
    m->enrolled = true;
    list_first(m);
}

static void create_entry(struct rk_mesh *m)
{
    struct rk_store *store = m->n->store;
    char spec[SPEC_MAX];
    build_spec(m, spec);
    store->ops->create(store, NODES_KIND, m->n->file.id, spec, on_enrolled, m);
}

/* After the first readings the list is read only while nodes may be cut off, by
 * those who would reach them. */
static void tend_list(struct rk_mesh *m)
{
    bool lost = m->forgotten_ms && rk_mono_ms() - m->forgotten_ms < LOST_MS;
    if (!m->listed || m->lists_left > 0 || (lost && (m->direct || m->bridge)))
        list_nodes(m, m->listed && !m->lists_left);
    else
        rk_timer_start(m->n->loop, &m->enrol, LOOK_AGAIN_MS);
}

static void on_own_entry(void *ctx, enum rk_status st,
                         const struct rk_store_object *object)
{
    struct rk_mesh *m = ctx;
    bool own = st == RK_OK && object &&
               !strcmp(rk_json_str(object->spec, "addr"), rk_mesh_addr(m));
    if (own) {
        m->enrolled = m->listed = true;
        m->enrol_ms = REGISTER_MIN_MS;
        RK_EVENT("mesh.told", RK_N("nodes", (int64_t)rk_mesh_count(m) + 1));
        list_later(m);
    } else if (st == RK_OK || st == RK_ENOTFOUND) {
        create_entry(m); /* new here, or moved */
    } else {
        enrol_later(m);
    }
}

/* Who was told of all by peers only looks whether it is listed itself. */
static void read_own_entry(struct rk_mesh *m)
{
    struct rk_store *store = m->n->store;
    store->ops->read(store, NODES_KIND, m->n->file.id, true, on_own_entry, m);
}

/* A node with an earlier life is on the list, and an old list will do. It waits for
 * its turn to read it, if peers don't tell it before. */
static void enrol_again(struct rk_mesh *m)
{
    int64_t wait_ms = rk_returning_wait_left_ms(m->n);
    if (rk_returning_is_told(m->n))
        read_own_entry(m);
    else if (wait_ms > 0)
        rk_timer_start(m->n->loop, &m->enrol,
                       wait_ms < TURN_LOOK_MS ? wait_ms : TURN_LOOK_MS);
    else
        list_nodes(m, true);
}

static void on_enrol(void *ctx)
{
    struct rk_mesh *m = ctx;
    if (m->enrolled)
        tend_list(m);
    else if (m->n->file.first_start)
        create_entry(m);
    else
        enrol_again(m);
}

void rk_mesh_turn(struct rk_mesh *m)
{
    if (!m->enrolled && m->enrol.slot)
        rk_timer_start(m->n->loop, &m->enrol, 0);
}

void rk_enrol_init(struct rk_mesh *m)
{
    m->enrol_ms = REGISTER_MIN_MS;
    m->lists_left = m->n->file.first_start ? LISTS : 1;
    m->enrol = (struct rk_timer){.fn = on_enrol, .ctx = m};
}

void rk_enrol_start(struct rk_mesh *m)
{
    rk_timer_start(m->n->loop, &m->enrol, 0);
}
