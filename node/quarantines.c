/* Requests under which VMs ended, as all nodes know them: what this node's relay
 * saw and what peers told, told on to the relay. Those that are stopped are written
 * to the platform's store, an object each, as all nodes may be killed at once; an
 * operator lets one through again by removing its object. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "node/state.h"
#include "objects/store.h"

#define KIND           "rillknot-quarantine"
#define READ_WITHIN_MS 600 /* of the start: nodes start together */
/* Tries to read, doubled: all nodes may have started while the store is away, and
 * peers tell what is stopped, too. */
#define READ_AGAIN_MS  500
#define READ_SELDOM_MS 8000
#define WRITE_AGAIN_MS 1000 /* after the store took none */
/* Who stopped it writes; if that ends first, others do after this and a random
 * time, so that one of them does for all. */
#define OTHERS_WRITE_MS 2000
#define LOOK_MS         10000 /* between looks whether an operator removed one */
/* Lists that cost the store little are this old at the most. */
#define LIST_OLD_MS 20000

struct rk_quarantines {
    struct rk_node *n;
    struct rk_quarantine table;
    struct rk_timer read;
    int64_t read_again_ms; /* the wait after the next try that fails */
    bool busy;             /* an object is being written or removed */
    uint64_t in_hand;      /* whose object that is */
    bool removes;          /* it is being removed */
    int64_t again_ms;      /* not before that is another written */
    int64_t others_ms;     /* this node's wait for who stopped one */
    bool looks;            /* a list is asked for */
    int64_t looked_ms;
};

const struct rk_quarantine *rk_quarantines_table(const struct rk_quarantines *q)
{
    return &q->table;
}

size_t rk_quarantines_stopped(const struct rk_quarantines *q)
{
    size_t n = 0;
    for (size_t i = 0; i < q->table.len; i++)
        n += q->table.rows[i].stopped;
    return n;
}

/* ---- what is learnt ---- */

static void tell_relay(struct rk_quarantines *q,
                       const struct rk_quarantine_row *row)
{
    struct rk_quarantine_row *copy = rk_alloc(1, sizeof(*copy));
    *copy = *row;
    rk_relay_set_suspects(q->n->relay, copy, 1);
}

static void log_change(const struct rk_quarantine_row *row)
{
    char name[RK_QUARANTINE_NAME];
    rk_quarantine_name(row->request, name);
    RK_WARN(row->stopped ? "request.stopped" : "request.let_through",
            RK_S("fingerprint", name), RK_S("organisation", row->org),
            RK_S("route", row->route), RK_N("vms", (int64_t)row->ends_len),
            RK_N("seen_here", row->own));
}

void rk_quarantines_take(struct rk_quarantines *q,
                         const struct rk_quarantine_row *rows, size_t len, bool own)
{
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < len; i++) {
        const struct rk_quarantine_row *row =
            rk_quarantine_find(&q->table, rows[i].request);
        bool stopped = row && row->stopped;
        if (!rk_quarantine_merge(&q->table, &rows[i], own, now_ms))
            continue;
        row = rk_quarantine_find(&q->table, rows[i].request);
        if (row->stopped != stopped)
            log_change(row);
        if (!own || row->stopped != rows[i].stopped)
            tell_relay(q, row);
    }
}

/* ---- the store ---- */

static void on_changed(void *ctx, enum rk_status st,
                       const struct rk_store_object *o)
{
    (void)o;
    struct rk_quarantines *q = ctx;
    struct rk_quarantine_row *row = rk_quarantine_find(&q->table, q->in_hand);
    /* In conflict: another node wrote it. Not found: another removed it. */
    bool done = st == RK_OK || st == RK_ECONFLICT || st == RK_ENOTFOUND;
    q->busy = false;
    if (!done)
        q->again_ms = rk_mono_ms() + WRITE_AGAIN_MS;
    if (!row || !done)
        return;
    row->stored = !q->removes;
    row->changed_ms = rk_mono_ms(); /* peers are told */
    row->own = true;
}

static void write_row(struct rk_quarantines *q, const struct rk_quarantine_row *row)
{
    struct rk_store *store = q->n->store;
    struct rk_buf b = {0};
    char name[RK_QUARANTINE_NAME];
    rk_quarantine_name(row->request, name);
    rk_buf_addstr(&b, "{\"organisation\":");
    rk_buf_json_str(&b, row->org);
    rk_buf_addstr(&b, ",\"route\":");
    rk_buf_json_str(&b, row->route);
    rk_buf_printf(
        &b, ",\"vms\":%zu,\"cleared\":%" PRIu32 ",\"wall_ms\":%" PRId64 ",\"by\":",
        row->ends_len, row->cleared, rk_wall_ms());
    rk_buf_json_str(&b, q->n->file.id);
    rk_buf_addstr(&b, "}");
    store->ops->create(store, KIND, name, b.data, on_changed, q);
    rk_buf_free(&b);
}

static void remove_row(struct rk_quarantines *q,
                       const struct rk_quarantine_row *row)
{
    struct rk_store *store = q->n->store;
    char name[RK_QUARANTINE_NAME];
    rk_quarantine_name(row->request, name);
    store->ops->remove(store, KIND, name, on_changed, q);
}

/* Is it this node's to write what the store should have of a row? */
static bool is_due(const struct rk_quarantines *q,
                   const struct rk_quarantine_row *row, int64_t now_ms)
{
    bool over = rk_quarantine_is_over(row, now_ms);
    bool wanted = row->stopped && !over;
    if (wanted == row->stored)
        return false;
    return row->own ||
           (rk_mesh_stands(q->n->mesh) && now_ms - row->changed_ms > q->others_ms);
}

void rk_quarantines_tick(struct rk_quarantines *q)
{
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < q->table.len && !q->busy && now_ms >= q->again_ms; i++) {
        const struct rk_quarantine_row *row = &q->table.rows[i];
        if (!is_due(q, row, now_ms))
            continue;
        q->busy = true;
        q->in_hand = row->request;
        q->removes = row->stored;
        if (q->removes)
            remove_row(q, row);
        else
            write_row(q, row);
    }
}

static struct rk_quarantine_row parse(const struct rk_store_object *o)
{
    struct rk_quarantine_row row = {
        .request = strtoull(o->name, NULL, 16),
        .cleared = (uint32_t)rk_json_int(o->spec, "cleared", 0),
        .stopped = true,
        .stored = true};
    rk_strcpy(row.org, sizeof(row.org), rk_json_str(o->spec, "organisation"));
    rk_strcpy(row.route, sizeof(row.route), rk_json_str(o->spec, "route"));
    return row;
}

static void read_later(struct rk_quarantines *q)
{
    int64_t wait_ms = q->read_again_ms;
    int64_t jitter_ms = rk_rng_below(&q->n->rng, (uint32_t)wait_ms);
    rk_timer_start(q->n->loop, &q->read, wait_ms + jitter_ms);
    if (wait_ms < READ_SELDOM_MS)
        q->read_again_ms = wait_ms * 2;
}

static void on_read(void *ctx, enum rk_status st,
                    const struct rk_store_object *objects, size_t len, int64_t at)
{
    (void)at;
    struct rk_quarantines *q = ctx;
    if (st != RK_OK) {
        read_later(q);
        return;
    }
    for (size_t i = 0; i < len; i++) {
        const struct rk_quarantine_row row = parse(&objects[i]);
        if (row.request)
            rk_quarantines_take(q, &row, 1, false);
        else
            RK_WARN("quarantine.rejected", RK_S("object", objects[i].name));
    }
}

static void read_now(void *ctx)
{
    struct rk_quarantines *q = ctx;
    q->n->store->ops->list(q->n->store, KIND, false, on_read, q);
}

void rk_quarantines_start(struct rk_quarantines *q)
{
    if (!q->n->file.first_start)
        rk_timer_start(q->n->loop, &q->read,
                       rk_rng_below(&q->n->rng, READ_WITHIN_MS));
}

/* ---- what operators let through ---- */

static bool is_listed(uint64_t request, const struct rk_store_object *objects,
                      size_t len)
{
    char name[RK_QUARANTINE_NAME];
    rk_quarantine_name(request, name);
    for (size_t i = 0; i < len; i++)
        if (!strcmp(objects[i].name, name))
            return true;
    return false;
}

static void let_through(struct rk_quarantines *q, struct rk_quarantine_row *row)
{
    row->stored = false;
    rk_quarantine_clear(&q->table, row->request, rk_mono_ms());
    log_change(row);
    tell_relay(q, row);
}

static void on_looked(void *ctx, enum rk_status st,
                      const struct rk_store_object *objects, size_t len, int64_t at)
{
    (void)at;
    struct rk_quarantines *q = ctx;
    int64_t now_ms = rk_mono_ms();
    q->looks = false;
    for (size_t i = 0; st == RK_OK && i < q->table.len; i++) {
        struct rk_quarantine_row *row = &q->table.rows[i];
        bool known =
            row->stopped && row->stored && now_ms - row->changed_ms > LIST_OLD_MS;
        if (known && !is_listed(row->request, objects, len))
            let_through(q, row);
    }
}

void rk_quarantines_hold(struct rk_quarantines *q)
{
    int64_t now_ms = rk_mono_ms();
    if (q->looks || !rk_quarantines_stopped(q) || now_ms - q->looked_ms < LOOK_MS)
        return;
    q->looks = true;
    q->looked_ms = now_ms;
    q->n->store->ops->list(q->n->store, KIND, true, on_looked, q);
}

/* ---- making ---- */

struct rk_quarantines *rk_quarantines_create(struct rk_node *n)
{
    struct rk_quarantines *q = rk_alloc(1, sizeof(*q));
    q->n = n;
    q->read = (struct rk_timer){.fn = read_now, .ctx = q};
    q->read_again_ms = READ_AGAIN_MS;
    q->others_ms = OTHERS_WRITE_MS + rk_rng_below(&n->rng, OTHERS_WRITE_MS);
    return q;
}

void rk_quarantines_destroy(struct rk_quarantines *q)
{
    rk_timer_stop(q->n->loop, &q->read);
    free(q);
}
