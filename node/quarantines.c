/* Requests and prompt segments under which VMs ended, merged from this node's
 * relay, peers and the store, and sent on to the relay. Each one that is stopped is
 * also written to the platform's store as an object, as all nodes may be killed at
 * once. An operator lets it through again by removing its object. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "core/revision.h"
#include "node/state.h"
#include "objects/store.h"

#define KIND "rillknot-quarantine"
/* The first read is at a random time up to this after the start, as nodes start
 * together. */
#define FIRST_READ_MAX_MS 600
/* First and largest delay between attempts to read, doubled each time, as all nodes
 * may have started while the store doesn't answer. A late read does little harm:
 * peers send stopped requests, too. */
#define READ_RETRY_MIN_MS 500
#define READ_RETRY_MAX_MS 8000
#define WRITE_RETRY_MS    1000 /* after a failed write or removal */
/* The node that stopped a request writes it. If that node ends before, others do so
 * after this delay plus a random one, so that usually only one of them writes. */
#define OTHERS_WRITE_DELAY_MS 2000
#define CHECK_INTERVAL_MS     10000 /* for objects that operators removed */
/* Maximum age of the lists that the store may answer from a cache. */
#define LIST_MAX_AGE_MS 20000

struct rk_quarantines {
    struct rk_node *n;
    struct rk_quarantine table;
    struct rk_timer read;
    int64_t read_retry_ms;   /* delay after the next failed attempt to read */
    bool busy;               /* an object is being written or removed */
    uint64_t busy_request;   /* the request of that object */
    bool removing;           /* the object is being removed */
    int64_t next_write_ms;   /* earliest time of the next write or removal */
    int64_t others_delay_ms; /* delay before writing rows of other nodes */
    bool checking;           /* a list for the check is in progress */
    int64_t checked_ms;      /* when it was requested last */
};

const struct rk_quarantine *rk_quarantines_table(const struct rk_quarantines *q)
{
    return &q->table;
}

static size_t count_stopped(const struct rk_quarantines *q, bool segments)
{
    size_t n = 0;
    for (size_t i = 0; i < q->table.len; i++) {
        const struct rk_quarantine_row *row = &q->table.rows[i];
        n += row->stopped && rk_quarantine_is_segment(row) == segments;
    }
    return n;
}

size_t rk_quarantines_stopped(const struct rk_quarantines *q)
{
    return count_stopped(q, false);
}

size_t rk_quarantines_stopped_segments(const struct rk_quarantines *q)
{
    return count_stopped(q, true);
}

/* ---- merging ---- */

static void send_to_relay(struct rk_quarantines *q,
                          const struct rk_quarantine_row *row)
{
    struct rk_quarantine_row *copy = rk_alloc(1, sizeof(*copy));
    *copy = *row;
    rk_relay_set_suspects(q->n->relay, copy, 1);
}

static void log_segment_change(const struct rk_quarantine_row *row)
{
    RK_WARN(row->stopped ? "segment.stopped" : "segment.let_through",
            RK_S("segment", row->segment), RK_S("organisation", row->org),
            RK_S("service", row->service), RK_N("vms", (int64_t)row->ends_len),
            RK_N("was_sound", row->was_sound), RK_N("seen_here", row->own));
}

static void log_change(const struct rk_quarantine_row *row)
{
    char name[RK_QUARANTINE_NAME_MAX];
    if (rk_quarantine_is_segment(row)) {
        log_segment_change(row);
        return;
    }
    rk_quarantine_format(row->request, name);
    RK_WARN(row->stopped ? "request.stopped" : "request.let_through",
            RK_S("fingerprint", name), RK_S("organisation", row->org),
            RK_S("route", row->route), RK_N("vms", (int64_t)row->ends_len),
            RK_N("seen_here", row->own));
}

void rk_quarantines_merge(struct rk_quarantines *q,
                          const struct rk_quarantine_row *rows, size_t len,
                          bool own)
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
            send_to_relay(q, row);
    }
}

/* ---- the store ---- */

static void log_write(const struct rk_quarantines *q, enum rk_status st)
{
    char name[RK_QUARANTINE_NAME_MAX];
    rk_quarantine_format(q->busy_request, name);
    RK_EVENT(q->removing ? "quarantine.removed" : "quarantine.written",
             RK_S("fingerprint", name), RK_S("status", rk_status_str(st)));
}

static void on_written(void *ctx, enum rk_status st,
                       const struct rk_store_object *o)
{
    struct rk_quarantines *q = ctx;
    struct rk_quarantine_row *row = rk_quarantine_find(&q->table, q->busy_request);
    /* A conflict: another node wrote it. Not found: another node removed it. */
    bool done = st == RK_OK || st == RK_ECONFLICT || st == RK_ENOTFOUND;
    q->busy = false;
    log_write(q, st);
    if (!done)
        q->next_write_ms = rk_mono_ms() + WRITE_RETRY_MS;
    if (!row || !done)
        return;
    int64_t era = o ? rk_revision_era(o->revision) : q->n->store->era;
    rk_quarantine_set_stored(row, !q->removing, era);
    row->changed_ms = rk_mono_ms(); /* so that it is sent to peers */
    row->own = true;
}

static void write_row(struct rk_quarantines *q, const struct rk_quarantine_row *row)
{
    struct rk_store *store = q->n->store;
    struct rk_buf b = {0};
    char name[RK_QUARANTINE_NAME_MAX];
    rk_quarantine_format(row->request, name);
    rk_buf_addstr(&b, "{\"organisation\":");
    rk_buf_json_str(&b, row->org);
    if (rk_quarantine_is_segment(row)) {
        rk_buf_addstr(&b, ",\"service\":");
        rk_buf_json_str(&b, row->service);
        rk_buf_addstr(&b, ",\"segment\":");
        rk_buf_json_str(&b, row->segment);
    } else {
        rk_buf_addstr(&b, ",\"route\":");
        rk_buf_json_str(&b, row->route);
    }
    rk_buf_printf(
        &b, ",\"vms\":%zu,\"cleared\":%" PRIu32 ",\"wall_ms\":%" PRId64 ",\"by\":",
        row->ends_len, row->generation, rk_wall_ms());
    rk_buf_json_str(&b, q->n->file.id);
    rk_buf_addstr(&b, "}");
    store->ops->create(store, KIND, name, b.data, on_written, q);
    rk_buf_free(&b);
}

static void remove_row(struct rk_quarantines *q,
                       const struct rk_quarantine_row *row)
{
    struct rk_store *store = q->n->store;
    char name[RK_QUARANTINE_NAME_MAX];
    rk_quarantine_format(row->request, name);
    store->ops->remove(store, KIND, name, on_written, q);
}

/* Returns whether this node should write or remove a row's object now. */
static bool is_due(const struct rk_quarantines *q,
                   const struct rk_quarantine_row *row, int64_t now_ms)
{
    bool expired = rk_quarantine_is_expired(row, now_ms);
    bool should_store = row->stopped && !expired;
    if (should_store == row->stored)
        return false;
    return row->own || (rk_mesh_is_candidate(q->n->mesh) &&
                        now_ms - row->changed_ms > q->others_delay_ms);
}

void rk_quarantines_tick(struct rk_quarantines *q)
{
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < q->table.len && !q->busy && now_ms >= q->next_write_ms;
         i++) {
        const struct rk_quarantine_row *row = &q->table.rows[i];
        if (!is_due(q, row, now_ms))
            continue;
        q->busy = true;
        q->busy_request = row->request;
        q->removing = row->stored;
        if (q->removing)
            remove_row(q, row);
        else
            write_row(q, row);
    }
}

static struct rk_quarantine_row parse(const struct rk_store_object *o, int64_t era)
{
    struct rk_quarantine_row row = {
        .request = strtoull(o->name, NULL, 16),
        .generation = (uint32_t)rk_json_int(o->spec, "cleared", 0),
        .stopped = true};
    rk_quarantine_set_stored(&row, true, era);
    rk_strcpy(row.org, sizeof(row.org), rk_json_str(o->spec, "organisation"));
    rk_strcpy(row.route, sizeof(row.route), rk_json_str(o->spec, "route"));
    rk_strcpy(row.service, sizeof(row.service), rk_json_str(o->spec, "service"));
    rk_strcpy(row.segment, sizeof(row.segment), rk_json_str(o->spec, "segment"));
    return row;
}

static void retry_read(struct rk_quarantines *q)
{
    int64_t wait_ms = q->read_retry_ms;
    int64_t jitter_ms = rk_rng_below(&q->n->rng, (uint32_t)wait_ms);
    rk_timer_start(q->n->loop, &q->read, wait_ms + jitter_ms);
    if (wait_ms < READ_RETRY_MAX_MS)
        q->read_retry_ms = wait_ms * 2;
}

static void on_read(void *ctx, enum rk_status st,
                    const struct rk_store_object *objects, size_t len, int64_t at)
{
    struct rk_quarantines *q = ctx;
    if (st != RK_OK) {
        retry_read(q);
        return;
    }
    for (size_t i = 0; i < len; i++) {
        const struct rk_quarantine_row row =
            parse(&objects[i], rk_revision_era(at));
        if (row.request)
            rk_quarantines_merge(q, &row, 1, false);
        else
            RK_WARN("quarantine.rejected", RK_S("object", objects[i].name));
    }
}

static void read_store(void *ctx)
{
    struct rk_quarantines *q = ctx;
    q->n->store->ops->list(q->n->store, KIND, false, on_read, q);
}

void rk_quarantines_start(struct rk_quarantines *q)
{
    if (!q->n->file.first_start)
        rk_timer_start(q->n->loop, &q->read,
                       rk_rng_below(&q->n->rng, FIRST_READ_MAX_MS));
}

/* ---- requests that operators let through ---- */

static bool is_listed(uint64_t request, const struct rk_store_object *objects,
                      size_t len)
{
    char name[RK_QUARANTINE_NAME_MAX];
    rk_quarantine_format(request, name);
    for (size_t i = 0; i < len; i++)
        if (!strcmp(objects[i].name, name))
            return true;
    return false;
}

static void let_through(struct rk_quarantines *q, struct rk_quarantine_row *row,
                        int64_t era)
{
    rk_quarantine_set_stored(row, false, era);
    rk_quarantine_reset(&q->table, row->request, rk_mono_ms());
    log_change(row);
    send_to_relay(q, row);
}

/* Has an object written again that the store has lost. */
static void write_again(struct rk_quarantine_row *row, int64_t era)
{
    rk_quarantine_set_stored(row, false, era);
    row->own = true;
}

static void log_missing(const struct rk_quarantine_row *row, bool lost)
{
    char name[RK_QUARANTINE_NAME_MAX];
    rk_quarantine_format(row->request, name);
    RK_EVENT("quarantine.missing", RK_S("fingerprint", name),
             RK_S("taken_for", lost ? "lost" : "removed"),
             RK_N("since_change_ms", rk_mono_ms() - row->changed_ms));
}

/* Handles a row whose object is not in a list that the store gave in an era. */
static void handle_missing(struct rk_quarantines *q, struct rk_quarantine_row *row,
                           int64_t era)
{
    bool lost = row->stored_era && row->stored_era < era;
    bool settled = rk_mono_ms() - row->changed_ms > LIST_MAX_AGE_MS;
    if (!row->stopped || !row->stored || (!lost && !settled))
        return;
    log_missing(row, lost);
    if (lost)
        write_again(row, era);
    else
        let_through(q, row, era);
}

static void on_check(void *ctx, enum rk_status st,
                     const struct rk_store_object *objects, size_t len, int64_t at)
{
    struct rk_quarantines *q = ctx;
    int64_t era = rk_revision_era(at);
    q->checking = false;
    for (size_t i = 0; st == RK_OK && i < q->table.len; i++) {
        struct rk_quarantine_row *row = &q->table.rows[i];
        if (!is_listed(row->request, objects, len))
            handle_missing(q, row, era);
        else if (row->stored && row->stored_era < era)
            rk_quarantine_set_stored(row, true, era);
    }
}

void rk_quarantines_check_store(struct rk_quarantines *q)
{
    int64_t now_ms = rk_mono_ms();
    bool has_stopped =
        rk_quarantines_stopped(q) || rk_quarantines_stopped_segments(q);
    if (q->checking || !has_stopped || now_ms - q->checked_ms < CHECK_INTERVAL_MS)
        return;
    q->checking = true;
    q->checked_ms = now_ms;
    q->n->store->ops->list(q->n->store, KIND, true, on_check, q);
}

/* ---- creation ---- */

struct rk_quarantines *rk_quarantines_create(struct rk_node *n)
{
    struct rk_quarantines *q = rk_alloc(1, sizeof(*q));
    q->n = n;
    q->table.started_ms = rk_mono_ms();
    q->read = (struct rk_timer){.fn = read_store, .ctx = q};
    q->read_retry_ms = READ_RETRY_MIN_MS;
    q->others_delay_ms =
        OTHERS_WRITE_DELAY_MS + rk_rng_below(&n->rng, OTHERS_WRITE_DELAY_MS);
    return q;
}

void rk_quarantines_destroy(struct rk_quarantines *q)
{
    rk_timer_stop(q->n->loop, &q->read);
    free(q);
}
