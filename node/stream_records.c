/* Records of the versions at which streams began, in the platform's store, one
 * object for each failure domain: nothing else is left of them once all nodes have
 * been killed. The object is written by one node of the domain; two that take
 * themselves for the writer meet conflicts and merge. A node that keeps streams
 * reads the objects of all domains after a restart. Calls do not wait for that.
 *
 * An object that was written in another era of the store is not believed. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "core/revision.h"
#include "core/stream_records.h"
#include "node/state.h"
#include "objects/store.h"

#define KIND           "rillknot-streams"
#define NAME_MAX_BYTES 24
/* First and largest delay between attempts to read, doubled each time, with up to
 * as much added at random. */
#define READ_RETRY_MIN_MS 100
#define READ_RETRY_MAX_MS 2000
/* A node that can't tell for so long whether it keeps streams doesn't read. */
#define READ_UNTIL_MS  (60 * RK_MS_PER_S)
#define WRITE_RETRY_MS 500 /* after a failed write */

struct rk_stream_records {
    struct rk_node *n;
    char name[NAME_MAX_BYTES]; /* of the domain's object */
    struct rk_timer read;
    int64_t read_retry_ms; /* delay after the next failed read */
    char *pending;         /* members of the object to be written; NULL: none */
    char *in_flight;       /* those that are being written; NULL: none */
    int64_t next_write_ms; /* earliest time of the next write */
    int64_t revision;      /* in the store; 0: not known, or no object */
};

/* Sends the streams of an object to the relay. */
static void restore(struct rk_stream_records *s, const struct rk_store_object *o)
{
    struct rk_stream_record *rows;
    size_t skipped;
    int64_t era = rk_revision_era(o->revision);
    int64_t wall_ms = rk_json_int(o->spec, "wall_ms", 0);
    int64_t age_ms = rk_wall_ms() - (wall_ms > 0 ? wall_ms : 0);
    bool is_current = rk_json_int(o->spec, "era", -1) == s->n->store->era;
    if (!is_current) {
        RK_EVENT("streams.record_ignored", RK_S("object", o->name),
                 RK_N("age_ms", age_ms), RK_N("era", era));
        return;
    }
    size_t len = rk_stream_records_unpack(rk_json_get(o->spec, "groups"), age_ms,
                                          &rows, &skipped);
    if (skipped)
        RK_WARN("streams.record_rejected", RK_S("object", o->name),
                RK_N("groups", (int64_t)skipped));
    RK_EVENT("streams.restored", RK_S("object", o->name),
             RK_N("streams", (int64_t)len), RK_N("age_ms", age_ms));
    rk_relay_restore_streams(s->n->relay, rows, len);
}

/* ---- writing ---- */

static void on_written(void *ctx, enum rk_status st,
                       const struct rk_store_object *o)
{
    struct rk_stream_records *s = ctx;
    char *written = s->in_flight;
    s->in_flight = NULL;
    if ((st == RK_OK || st == RK_ECONFLICT) && o)
        s->revision = o->revision;
    else if (st == RK_ENOTFOUND)
        s->revision = 0;
    if (st == RK_ECONFLICT && o) {
        /* Another node wrote it. The relay sends a record that has both. */
        restore(s, o);
    } else if (st != RK_OK) {
        s->next_write_ms = rk_mono_ms() + WRITE_RETRY_MS;
        if (!s->pending) {
            s->pending = written;
            return;
        }
    }
    free(written);
}

static void write_object(struct rk_stream_records *s)
{
    struct rk_store *store = s->n->store;
    struct rk_buf b = {0};
    rk_buf_printf(&b, "{\"era\":%" PRId64 ",\"domain\":", store->era);
    rk_buf_json_str(&b, s->n->file.failure_domain);
    rk_buf_addstr(&b, ",");
    rk_buf_addstr(&b, s->pending);
    rk_buf_addstr(&b, "}");
    s->in_flight = s->pending;
    s->pending = NULL;
    if (s->revision)
        store->ops->replace(store, KIND, s->name, s->revision, b.data, on_written,
                            s);
    else
        store->ops->create(store, KIND, s->name, b.data, on_written, s);
    rk_buf_free(&b);
}

void rk_stream_records_tick(struct rk_stream_records *s,
                            struct rk_relay_report *report)
{
    if (report->stream_record) {
        free(s->pending);
        s->pending = report->stream_record;
        report->stream_record = NULL;
    }
    if (s->pending && !s->in_flight && rk_mono_ms() >= s->next_write_ms)
        write_object(s);
}

/* ---- reading ---- */

static void retry_read(struct rk_stream_records *s)
{
    int64_t wait_ms = s->read_retry_ms;
    int64_t jitter_ms = rk_rng_below(&s->n->rng, (uint32_t)wait_ms);
    rk_timer_start(s->n->loop, &s->read, wait_ms + jitter_ms);
    s->read_retry_ms =
        wait_ms * 2 < READ_RETRY_MAX_MS ? wait_ms * 2 : READ_RETRY_MAX_MS;
}

static void on_read(void *ctx, enum rk_status st,
                    const struct rk_store_object *objects, size_t len, int64_t at)
{
    struct rk_stream_records *s = ctx;
    (void)at;
    if (st != RK_OK) {
        retry_read(s);
        return;
    }
    for (size_t i = 0; i < len; i++) {
        if (!strcmp(objects[i].name, s->name) && !s->revision)
            s->revision = objects[i].revision;
        restore(s, &objects[i]);
    }
}

/* Returns whether the list of nodes is known, as far as this node gets it. */
static bool has_nodes(const struct rk_node *n)
{
    return rk_mesh_has_node_list(n->mesh) || rk_read_delay_has_digests(n);
}

static void read_objects(void *ctx)
{
    struct rk_stream_records *s = ctx;
    struct rk_node *n = s->n;
    if (has_nodes(n) && rk_mesh_keeps_streams(n->mesh))
        n->store->ops->list(n->store, KIND, false, on_read, s);
    else if (!has_nodes(n) && rk_mono_ms() - n->started_ms < READ_UNTIL_MS)
        rk_timer_start(n->loop, &s->read, READ_RETRY_MIN_MS);
}

void rk_stream_records_start(struct rk_stream_records *s)
{
    if (!s->n->file.first_start)
        rk_timer_start(s->n->loop, &s->read, 0);
}

struct rk_stream_records *rk_stream_records_create(struct rk_node *n)
{
    struct rk_stream_records *s = rk_alloc(1, sizeof(*s));
    s->n = n;
    s->read_retry_ms = READ_RETRY_MIN_MS;
    s->read = (struct rk_timer){.fn = read_objects, .ctx = s};
    snprintf(s->name, sizeof(s->name), "%016" PRIx64,
             rk_hash_str(0, n->file.failure_domain));
    return s;
}

void rk_stream_records_destroy(struct rk_stream_records *s)
{
    rk_timer_stop(s->n->loop, &s->read);
    free(s->pending);
    free(s->in_flight);
    free(s);
}
