/* Checks a record that says which services have had one software version only. VMs
 * of another version may have come after it was written and left again before this
 * node started: what the store remembers of the VM list since the record tells.
 * Without that history the record is not believed. In a large fleet, only the nodes
 * that keep streams read it; others ask them. */
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "core/revision.h"
#include "node/platform.h"
#include "node/state.h"
#include "objects/store.h"

#define RETRY_MS 100 /* after a failed read, and until the nodes are known */
/* The changes wanted have been made already. */
#define WATCH_WAIT_MS 1

struct rk_version_history {
    struct rk_node *n;
    struct rk_timer timer;
    struct rk_only_version *rows; /* NULL: nothing to check */
    size_t len;
    int64_t since;    /* revision of the VM list that they reflect */
    int64_t until_ms; /* they are not believed later */
};

static void drop_rows(struct rk_version_history *h)
{
    free(h->rows);
    h->rows = NULL;
    h->len = 0;
}

/* Removes the rows of services for which the VM's object shows another version.
 * Returns false if the object doesn't tell. */
static bool apply_object(struct rk_version_history *h,
                         const struct rk_store_object *o)
{
    struct rk_vm_row vm;
    /* VMs whose entries can't be read are not used, but a removal may lack it. */
    if (h->n->platform->parse_vm(o->name, o->spec, &vm) != RK_OK)
        return !o->removed;
    size_t kept = 0;
    for (size_t i = 0; i < h->len; i++)
        if (strcmp(h->rows[i].service, vm.service) != 0 ||
            !strcmp(h->rows[i].version, vm.version))
            h->rows[kept++] = h->rows[i];
    h->len = kept;
    return true;
}

static void on_changes(void *ctx, enum rk_status st,
                       const struct rk_store_object *objects, size_t len,
                       int64_t at)
{
    struct rk_version_history *h = ctx;
    (void)at;
    if (st != RK_OK && st != RK_EGONE) {
        rk_timer_start(h->n->loop, &h->timer, RETRY_MS);
        return;
    }
    bool is_known = st == RK_OK;
    size_t before = h->len;
    for (size_t i = 0; i < len && is_known; i++)
        is_known = apply_object(h, &objects[i]);
    RK_EVENT("versions.restored", RK_N("known", is_known),
             RK_N("services", is_known ? (int64_t)h->len : 0),
             RK_N("of", (int64_t)before), RK_N("changes", (int64_t)len),
             RK_N("since", rk_revision_number(h->since)));
    if (is_known) {
        rk_relay_restore_only_versions(h->n->relay, h->rows, h->len);
        h->rows = NULL;
    }
    drop_rows(h);
}

static void read_changes(void *ctx)
{
    struct rk_version_history *h = ctx;
    struct rk_node *n = h->n;
    bool has_nodes = rk_mesh_has_node_list(n->mesh) || rk_read_delay_has_digests(n);
    if (rk_mono_ms() >= h->until_ms ||
        (has_nodes && !rk_mesh_keeps_streams(n->mesh)))
        drop_rows(h);
    else if (!has_nodes)
        rk_timer_start(n->loop, &h->timer, RETRY_MS);
    else
        n->store->ops->watch(n->store, n->platform->vms_kind, h->since,
                             WATCH_WAIT_MS, on_changes, h);
}

void rk_version_history_check(struct rk_version_history *h,
                              struct rk_only_version *rows, size_t len,
                              int64_t since, int64_t for_ms)
{
    if (h->rows || !len || since <= 0) {
        free(rows);
        return;
    }
    h->rows = rows;
    h->len = len;
    h->since = since;
    h->until_ms = rk_mono_ms() + for_ms;
    rk_timer_start(h->n->loop, &h->timer, 0);
}

struct rk_version_history *rk_version_history_create(struct rk_node *n)
{
    struct rk_version_history *h = rk_alloc(1, sizeof(*h));
    h->n = n;
    h->timer = (struct rk_timer){.fn = read_changes, .ctx = h};
    return h;
}

void rk_version_history_destroy(struct rk_version_history *h)
{
    rk_timer_stop(h->n->loop, &h->timer);
    drop_rows(h);
    free(h);
}
