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

static void enrol_later(struct rk_mesh *m)
{
    uint32_t jitter = rk_rng_below(&m->n->rng, (uint32_t)m->enrol_ms + 1);
    rk_timer_start(m->n->loop, &m->enrol, m->enrol_ms / 2 + jitter);
    m->enrol_ms =
        m->enrol_ms * 2 < REGISTER_MAX_MS ? m->enrol_ms * 2 : REGISTER_MAX_MS;
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
    m->listed = true;
    for (size_t i = 0; i < len; i++) {
        const char *addr = rk_json_str(objects[i].spec, "addr");
        if (addr[0] && !rk_mesh_is_self(m, objects[i].name, addr))
            rk_mesh_learn(m, objects[i].name, addr);
    }
    RK_EVENT("mesh.enrolled", RK_N("nodes", (int64_t)len));
    rk_mesh_dial(m, rk_mono_ms());
}

static void list_nodes(struct rk_mesh *m)
{
    struct rk_store *store = m->n->store;
    store->ops->list(store, NODES_KIND, on_nodes, m);
}

static void on_enrolled(void *ctx, enum rk_status st,
                        const struct rk_store_object *object)
{
    struct rk_mesh *m = ctx;
    struct rk_store *store = m->n->store;
    if (st == RK_ECONFLICT && object && !m->enrolled) {
        /* Of an earlier life of this node. */
        char spec[RK_ADDR_MAX + 32];
        snprintf(spec, sizeof(spec), "{\"addr\":\"%s\"}", rk_mesh_addr(m));
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
    list_nodes(m);
}

static void on_enrol(void *ctx)
{
    struct rk_mesh *m = ctx;
    struct rk_store *store = m->n->store;
    if (m->enrolled) {
        list_nodes(m);
        return;
    }
    char spec[RK_ADDR_MAX + 32];
    snprintf(spec, sizeof(spec), "{\"addr\":\"%s\"}", rk_mesh_addr(m));
    store->ops->create(store, NODES_KIND, m->n->file.id, spec, on_enrolled, m);
}

void rk_enrol_init(struct rk_mesh *m)
{
    m->enrol_ms = REGISTER_MIN_MS;
    m->enrol = (struct rk_timer){.fn = on_enrol, .ctx = m};
}

void rk_enrol_start(struct rk_mesh *m)
{
    rk_timer_start(m->n->loop, &m->enrol, 0);
}
