/* Keeps a node's settings up to date. It reads the change log from the platform at
 * start-up and watches it while the node is a bridge of its failure domain. Other
 * nodes receive later changes from their peers. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "common/json.h"

#include "common/eventlog.h"
#include "control/state.h"
#include "objects/objects.h"

#define WATCH_WAIT_MS        25000 /* longest time that a watch waits */
#define RETRY_DELAY_MS       500
#define CHANGES_PER_SNAPSHOT 64 /* changes between two snapshots */

struct rk_settings_sync {
    struct rk_control *c;
    struct rk_timer retry_timer;
    bool reading;             /* a read, list or watch is in flight */
    bool caught_up;           /* the log has been read to its end */
    int64_t watch_revision;   /* revision of the platform to watch from */
    int64_t snapshot_head;    /* last change in the stored snapshot */
    int64_t snapshot_version; /* of the stored snapshot; 0: there is none */
    bool writing_snapshot;
};

static void list_changes(struct rk_settings_sync *s);

static void schedule_retry(struct rk_settings_sync *s)
{
    s->reading = false;
    rk_timer_start(s->c->loop, &s->retry_timer, RETRY_DELAY_MS);
}

/* Applies changes in order. Returns false if one before the last is missing. */
static bool apply_changes(struct rk_settings_sync *s,
                          const struct rk_object *objects, size_t len)
{
    struct rk_changelog *log = s->c->changelog;
    int64_t before = rk_changelog_head(log);
    bool gap = false;
    for (size_t i = 0; i < len; i++) {
        int64_t n = rk_change_number(objects[i].name);
        gap = gap || n > rk_changelog_head(log) + 1;
        rk_changelog_append(log, n, objects[i].value);
    }
    if (rk_changelog_head(log) > before) {
        rk_control_apply_settings(s->c);
        /* Peers read older changes themselves; only those from the watch are new to
         * them. */
        if (s->caught_up)
            rk_gossip_push_change(s->c->gossip, before + 1);
    }
    return !gap;
}

/* Handles the result of a list or a watch. relist: lists the log if a change is
 * missing. */
static void on_changes(struct rk_settings_sync *s, enum rk_status st,
                       const struct rk_object *objects, size_t len,
                       int64_t revision, bool relist)
{
    if (st != RK_OK) {
        schedule_retry(s);
        return;
    }
    s->reading = false;
    bool complete = apply_changes(s, objects, len);
    if (revision > s->watch_revision)
        s->watch_revision = revision;
    if (!complete && relist) {
        list_changes(s);
        return;
    }
    s->caught_up = true;
    rk_settings_sync_tick(s);
}

static void on_watch(void *ctx, enum rk_status st, const struct rk_object *objects,
                     size_t len, int64_t revision)
{
    on_changes(ctx, st, objects, len, revision, true);
}

static void on_list(void *ctx, enum rk_status st, const struct rk_object *objects,
                    size_t len, int64_t revision)
{
    on_changes(ctx, st, objects, len, revision, false);
}

static void list_changes(struct rk_settings_sync *s)
{
    char after[RK_CHANGE_NAME_MAX];
    rk_change_name(after, rk_changelog_head(s->c->changelog));
    s->reading = true;
    rk_objects_list(s->c->objects, RK_CHANGES_PREFIX, after, on_list, s);
}

/* Returns the number of the last change that a snapshot includes. */
static int64_t parse_head(const char *value)
{
    struct json_object *o = json_tokener_parse(value);
    int64_t head = rk_json_int(o, "head", 0);
    json_object_put(o);
    return head;
}

static void on_snapshot(void *ctx, enum rk_status st, const struct rk_object *o)
{
    struct rk_settings_sync *s = ctx;
    if (st != RK_OK && st != RK_ENOTFOUND) {
        schedule_retry(s);
        return;
    }
    if (st == RK_OK) {
        s->snapshot_version = o->version;
        s->snapshot_head = parse_head(o->value);
        if (rk_changelog_restore(s->c->changelog, o->value) == RK_OK)
            rk_control_apply_settings(s->c);
    }
    list_changes(s);
}

/* Reads the snapshot, then the changes that follow it. */
static void read_snapshot(struct rk_settings_sync *s)
{
    s->reading = true;
    rk_objects_read(s->c->objects, RK_SNAPSHOT_NAME, on_snapshot, s);
}

static void on_retry(void *ctx)
{
    struct rk_settings_sync *s = ctx;
    rk_settings_sync_tick(s);
}

static void on_snapshot_written(void *ctx, enum rk_status st, int64_t version)
{
    struct rk_settings_sync *s = ctx;
    s->writing_snapshot = false;
    if (st == RK_OK)
        s->snapshot_version = version;
    else
        s->caught_up = false; /* another node may have written it: read it again */
}

/* Writes a snapshot if CHANGES_PER_SNAPSHOT changes follow the stored one, which
 * limits how many changes a starting node has to read. */
static void write_snapshot_if_due(struct rk_settings_sync *s)
{
    int64_t head = rk_changelog_head(s->c->changelog);
    if (s->writing_snapshot || head - s->snapshot_head < CHANGES_PER_SNAPSHOT)
        return;
    char *text = rk_changelog_snapshot(s->c->changelog);
    s->writing_snapshot = true;
    s->snapshot_head = head;
    rk_objects_write(s->c->objects, RK_SNAPSHOT_NAME, s->snapshot_version, text,
                     on_snapshot_written, s);
    free(text);
}

void rk_settings_sync_tick(struct rk_settings_sync *s)
{
    if (s->reading || s->retry_timer.slot)
        return;
    if (!s->caught_up) {
        read_snapshot(s);
        return;
    }
    if (!rk_control_is_bridge(s->c))
        return;
    write_snapshot_if_due(s);
    s->reading = true;
    rk_objects_watch(s->c->objects, RK_CHANGES_PREFIX, s->watch_revision,
                     WATCH_WAIT_MS, on_watch, s);
}

struct rk_settings_sync *rk_settings_sync_create(struct rk_control *c)
{
    struct rk_settings_sync *s = rk_alloc(1, sizeof(*s));
    s->c = c;
    s->retry_timer = (struct rk_timer){.fn = on_retry, .ctx = s};
    return s;
}

void rk_settings_sync_destroy(struct rk_settings_sync *s)
{
    free(s);
}

void rk_settings_sync_start(struct rk_settings_sync *s)
{
    rk_settings_sync_tick(s);
}
