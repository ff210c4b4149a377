/* Asks the store whether the settings and the VM list are current, when the relay
 * wants to know it as of now. The watches tell of changes, but a node that was
 * frozen or cut off has old ones until their next answer, and an answer that waited
 * in the kernel meanwhile is older than its arrival. What counts is when the
 * question was sent. */
#include "common/eventlog.h"
#include "core/revision.h"
#include "node/sync_impl.h"

/* Least time between two checks, and before a failed one is repeated; it grows with
 * the number of nodes, which share the store. */
#define INTERVAL_MIN_MS      50
#define INTERVAL_MAX_MS      300
#define INTERVAL_PER_NODE_MS 4
/* A check that has failed is repeated for so long. */
#define CHECK_WANTED_MS 300
/* The changes that are asked for have been made already. */
#define WATCH_WAIT_MS 1

static int64_t interval_ms(const struct rk_node *n)
{
    int64_t ms = INTERVAL_PER_NODE_MS * (int64_t)rk_mesh_total(n->mesh);
    if (ms > INTERVAL_MAX_MS)
        return INTERVAL_MAX_MS;
    return ms > INTERVAL_MIN_MS ? ms : INTERVAL_MIN_MS;
}

static void schedule_check(struct rk_sync_check *c)
{
    int64_t now_ms = rk_mono_ms();
    int64_t next_ms = c->asked_ms + interval_ms(c->sync->n);
    if (!c->pending && now_ms < c->wanted_until_ms)
        rk_timer_start(c->sync->n->loop, &c->timer,
                       next_ms > now_ms ? next_ms - now_ms : 0);
}

/* Called once for each of the two answers. Those of a store that is behind what
 * peers have seen are not current. */
static void finish_answer(struct rk_sync_check *c, bool is_current)
{
    struct rk_sync *s = c->sync;
    c->failed = c->failed || !is_current;
    if (--c->pending)
        return;
    RK_EVENT("store.checked", RK_N("current", !c->failed),
             RK_N("took_ms", rk_mono_ms() - c->asked_ms),
             RK_N("revision", rk_revision_number(rk_sync_list_revision(s))));
    if (c->failed || !s->published || !rk_sync_repeat_past_vms(s) ||
        !rk_relay_note_checked(s->n->relay, c->asked_ms))
        schedule_check(c);
    else
        c->wanted_until_ms = 0;
}

static void on_settings(void *ctx, enum rk_status st,
                        const struct rk_store_object *objects, size_t len,
                        int64_t at)
{
    struct rk_sync_check *c = ctx;
    struct rk_sync *s = c->sync;
    if (st == RK_OK)
        rk_sync_apply_settings(s, objects, len, !c->settings_since, at);
    finish_answer(c, st == RK_OK && rk_sync_version(s) >= s->newest_reported);
}

static void on_list(void *ctx, enum rk_status st,
                    const struct rk_store_object *objects, size_t len, int64_t at)
{
    struct rk_sync_check *c = ctx;
    struct rk_sync *s = c->sync;
    bool is_current =
        st == RK_OK && at >= s->vms.revision && at >= s->newest_list_reported;
    if (is_current) {
        rk_sync_apply_list(s, objects, len, false, at);
        rk_store_watch_skip_to(&s->vms, at);
    } else if (st == RK_EGONE) {
        rk_sync_note_past_vm(s, NULL);
    }
    finish_answer(c, is_current);
}

static void start_check(void *ctx)
{
    struct rk_sync_check *c = ctx;
    struct rk_sync *s = c->sync;
    struct rk_store *store = s->n->store;
    c->asked_ms = rk_mono_ms();
    c->failed = false;
    c->pending = 2;
    c->settings_since = s->settings.revision;
    if (c->settings_since)
        store->ops->watch(store, s->settings.kind, c->settings_since, WATCH_WAIT_MS,
                          on_settings, c);
    else
        store->ops->list(store, s->settings.kind, false, on_settings, c);
    store->ops->watch(store, s->vms.kind, s->vms.revision, WATCH_WAIT_MS, on_list,
                      c);
}

void rk_sync_check_store(struct rk_sync *s)
{
    struct rk_sync_check *c = &s->check;
    if (!s->vms.revision)
        return;
    c->wanted_until_ms = rk_mono_ms() + CHECK_WANTED_MS;
    schedule_check(c);
}

void rk_sync_check_init(struct rk_sync *s)
{
    s->check = (struct rk_sync_check){.sync = s};
    s->check.timer = (struct rk_timer){.fn = start_check, .ctx = &s->check};
}

void rk_sync_check_stop(struct rk_sync *s)
{
    rk_timer_stop(s->n->loop, &s->check.timer);
}
