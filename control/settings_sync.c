/* How a node keeps its settings in step: it reads the log of changes from the
 * platform when it starts, watches it while it is one of its failure domain's
 * watchers, and otherwise hears of changes from peers. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "common/json.h"

#include "common/eventlog.h"
#include "control/state.h"
#include "objects/objects.h"

#define WATCH_MS       25000
#define RETRY_MS       500
#define SNAPSHOT_EVERY 64 /* changes between snapshots */

struct rk_settings_sync {
    struct rk_control *c;
    struct rk_timer retry;
    bool busy;        /* a list or a watch is out */
    bool caught_up;   /* the log was read to its end once */
    int64_t revision; /* of the platform, to watch from */
    int64_t snapshot_head;
    int64_t snapshot_version;
    bool writing_snapshot;
};

static void list(struct rk_settings_sync *s);

static void again(struct rk_settings_sync *s)
{
    s->busy = false;
    rk_timer_start(s->c->loop, &s->retry, RETRY_MS);
}

/* Take changes in order; false when one is missing before the last. */
static bool take(struct rk_settings_sync *s, const struct rk_object *os, size_t len)
{
    struct rk_changelog *log = s->c->changes;
    int64_t before = rk_changelog_head(log);
    bool gap = false;
    for (size_t i = 0; i < len; i++) {
        int64_t n = rk_change_number(os[i].name);
        gap = gap || n > rk_changelog_head(log) + 1;
        rk_changelog_take(log, n, os[i].value);
    }
    if (rk_changelog_head(log) > before) {
        rk_control_settings_moved(s->c);
        /* Only what came by the watch is news to the others. */
        if (s->caught_up)
            rk_gossip_push_change(s->c->gossip, before + 1);
    }
    return !gap;
}

/* Rows of a list or a watch. relist: read the log when a change is missing. */
static void on_rows(struct rk_settings_sync *s, enum rk_status st,
                    const struct rk_object *os, size_t len, int64_t revision,
                    bool relist)
{
    if (st != RK_OK) {
        again(s);
        return;
    }
    s->busy = false;
    bool whole = take(s, os, len);
    if (revision > s->revision)
        s->revision = revision;
    if (!whole && relist) {
        list(s);
        return;
    }
    s->caught_up = true;
    rk_settings_sync_tick(s);
}

static void on_watch(void *ctx, enum rk_status st, const struct rk_object *os,
                     size_t len, int64_t revision)
{
    on_rows(ctx, st, os, len, revision, true);
}

static void on_list(void *ctx, enum rk_status st, const struct rk_object *os,
                    size_t len, int64_t revision)
{
    on_rows(ctx, st, os, len, revision, false);
}

static void list(struct rk_settings_sync *s)
{
    char after[RK_CHANGE_NAME_MAX];
    rk_change_name(after, rk_changelog_head(s->c->changes));
    s->busy = true;
    rk_objects_list(s->c->objects, RK_CHANGES_PREFIX, after, on_list, s);
}

static int64_t snapshot_number(const char *value)
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
        again(s);
        return;
    }
    if (st == RK_OK) {
        s->snapshot_version = o->version;
        s->snapshot_head = snapshot_number(o->value);
        if (rk_changelog_restore(s->c->changes, o->value) == RK_OK)
            rk_control_settings_moved(s->c);
    }
    list(s);
}

static void read_all(struct rk_settings_sync *s)
{
    s->busy = true;
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
        s->caught_up = false; /* somebody else wrote it: read it again */
}

static void maybe_snapshot(struct rk_settings_sync *s)
{
    int64_t head = rk_changelog_head(s->c->changes);
    if (s->writing_snapshot || head - s->snapshot_head < SNAPSHOT_EVERY)
        return;
    char *text = rk_changelog_snapshot(s->c->changes);
    s->writing_snapshot = true;
    s->snapshot_head = head;
    rk_objects_write(s->c->objects, RK_SNAPSHOT_NAME, s->snapshot_version, text,
                     on_snapshot_written, s);
    free(text);
}

/* Go on: read the log when it was never read, watch it as a watcher. */
void rk_settings_sync_tick(struct rk_settings_sync *s)
{
    if (s->busy || s->retry.slot)
        return;
    if (!s->caught_up) {
        read_all(s);
        return;
    }
    if (!rk_control_is_watcher(s->c))
        return;
    maybe_snapshot(s);
    s->busy = true;
    rk_objects_watch(s->c->objects, RK_CHANGES_PREFIX, s->revision, WATCH_MS,
                     on_watch, s);
}

struct rk_settings_sync *rk_settings_sync_create(struct rk_control *c)
{
    struct rk_settings_sync *s = rk_alloc(1, sizeof(*s));
    s->c = c;
    s->retry = (struct rk_timer){.fn = on_retry, .ctx = s};
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
