/* Settings and the VM list. A few nodes of each failure domain watch them in the
 * store and send the changes to the others; a node that gets none watches the store
 * itself. This file decides whether to watch, tracks the age of settings and list,
 * and exchanges both with peers. */
#include <stdlib.h>

#include "common/eventlog.h"
#include "core/revision.h"
#include "core/watch_policy.h"
#include "node/sync_impl.h"

/* In a large fleet, least time from an answer with changes to the next watch. */
#define WATCH_INTERVAL_MS 200
/* As WATCH_INTERVAL_MS, at a node without the list of nodes: longer than the time
 * until it decides again whether it should watch. */
#define WATCH_INTERVAL_UNLISTED_MS (RK_WATCH_POLICY_CHECK_MS + 50)
/* The store had an outage if it answered no node for this long. */
#define STORE_OUTAGE_MS 2600

/* ---- peers ---- */

void rk_sync_fill_reply(struct rk_sync *s, const Rillknot__StoreWanted *request,
                        Rillknot__StoreText *out)
{
    rillknot__store_text__init(out);
    if (request->settings && s->routes)
        rk_sync_fill_settings(s, out);
    if (request->list && s->list_known)
        rk_sync_fill_list(s, request->list_since, out);
}

void rk_sync_receive(struct rk_sync *s, const Rillknot__StoreText *text)
{
    if (text->settings_zip.len && text->settings_revision > rk_sync_version(s))
        rk_sync_receive_settings(s, text);
    rk_sync_receive_list(s, text);
}

/* ---- freshness ---- */

/* Notes an answer of the store at at_ms, to this node or to a peer. As peers'
 * answers count, the store has no outage while it rejects only this node. */
static void note_store_answer(struct rk_sync *s, int64_t at_ms)
{
    bool lost = s->settings.lost || s->vms.lost;
    if (lost && s->answered_ms && at_ms - s->answered_ms > STORE_OUTAGE_MS) {
        s->recovered_ms = rk_mono_ms();
        RK_EVENT("store.was_away", RK_N("ms", at_ms - s->answered_ms));
    }
    if (at_ms > s->answered_ms)
        s->answered_ms = at_ms;
}

static void on_store_answer(void *ctx)
{
    note_store_answer(ctx, rk_mono_ms());
}

static int64_t later(int64_t a_ms, int64_t b_ms)
{
    return a_ms > b_ms ? a_ms : b_ms;
}

/* Notes a settings version that a peer reported. If it is newer, this node is
 * behind until it has that version, even if other peers report older ones. */
static void note_reported_version(struct rk_sync *s, int64_t version)
{
    if (version > s->newest_reported)
        s->newest_reported = version;
    if (s->newest_reported > rk_sync_version(s) && !s->behind_since_ms)
        s->behind_since_ms = rk_mono_ms();
}

/* A peer's confirmation counts here only if this node's settings, or its list, are
 * at least as new as the peer's. Without this, nodes with old settings took them
 * for confirmed and did not ask the store for 18 s, while their peers' messages
 * with large settings were lost on full links. */
void rk_sync_confirm(struct rk_sync *s, int64_t age_ms, int64_t settings_version,
                     int64_t list_revision)
{
    int64_t at_ms = rk_mono_ms() - age_ms;
    note_reported_version(s, settings_version);
    s->newest_list_reported = later(s->newest_list_reported, list_revision);
    if (age_ms < 0)
        return;
    note_store_answer(s, at_ms);
    if (rk_sync_version(s) >= settings_version)
        s->settings_confirmed_ms = later(s->settings_confirmed_ms, at_ms);
    if (rk_sync_list_revision(s) >= list_revision)
        s->list_confirmed_ms = later(s->list_confirmed_ms, at_ms);
}

int64_t rk_sync_list_confirmed_ms(const struct rk_sync *s)
{
    return later(s->vms.answered_ms, s->list_confirmed_ms);
}

int64_t rk_sync_age_ms(const struct rk_sync *s)
{
    int64_t settings_ms = later(s->settings.answered_ms, s->settings_confirmed_ms);
    int64_t list_ms = rk_sync_list_confirmed_ms(s);
    int64_t first_ms = settings_ms < list_ms ? settings_ms : list_ms;
    return first_ms ? rk_mono_ms() - first_ms : -1;
}

bool rk_sync_store_reachable(const struct rk_sync *s)
{
    return s->vms.enabled && !s->vms.lost &&
           rk_mono_ms() - s->vms.answered_ms < RK_WATCH_POLICY_STALE_MS;
}

int64_t rk_sync_behind_ms(const struct rk_sync *s)
{
    return s->behind_since_ms ? rk_mono_ms() - s->behind_since_ms : 0;
}

static bool should_watch(const struct rk_sync *s)
{
    const struct rk_node *n = s->n;
    const struct rk_watch_policy_input f = {
        .first_start = n->file.first_start,
        .up_ms = rk_mono_ms() - n->started_ms,
        .listed = rk_mesh_has_node_list(n->mesh),
        .ready = rk_sync_ready(s),
        .waits_for_slot = rk_read_delay_left_ms(n) > 0,
        .nodes_before = rk_mesh_rank(n->mesh),
        .has_preceding_watch = rk_mesh_has_store_watch(n->mesh),
        .watches = s->vms.enabled,
        .age_ms = rk_sync_age_ms(s)};
    return rk_watch_policy_is_needed(&f);
}

/* A node without the list of nodes waits past its next tick before it watches
 * again: when a large fleet restarts at once, most nodes need just one list of each
 * kind and no watch. */
static void set_watch_intervals(struct rk_sync *s)
{
    bool listed = rk_mesh_has_node_list(s->n->mesh);
    s->settings.min_interval_ms = listed ? 0 : WATCH_INTERVAL_UNLISTED_MS;
    s->vms.min_interval_ms = !listed ? WATCH_INTERVAL_UNLISTED_MS
                             : rk_mesh_is_direct(s->n->mesh) ? 0
                                                             : WATCH_INTERVAL_MS;
}

static void on_tick(void *ctx)
{
    struct rk_sync *s = ctx;
    int64_t delay_ms = rk_read_delay_left_ms(s->n);
    bool ends_soon = delay_ms > 0 && delay_ms < RK_WATCH_POLICY_CHECK_MS;
    rk_timer_start(s->n->loop, &s->tick,
                   ends_soon ? delay_ms : RK_WATCH_POLICY_CHECK_MS);
    bool watch = should_watch(s);
    set_watch_intervals(s);
    if (watch != s->vms.enabled)
        RK_EVENT("store.following", RK_N("on", watch),
                 RK_N("age_ms", rk_sync_age_ms(s)),
                 RK_N("rank", rk_mesh_rank(s->n->mesh)));
    if (!s->settings.enabled && rk_sync_behind_ms(s))
        rk_store_watch_relist(&s->settings);
    rk_store_watch_enable(&s->settings, watch);
    rk_store_watch_enable(&s->vms, watch);
}

/* ---- creation ---- */

struct rk_sync *rk_sync_create(struct rk_node *n)
{
    struct rk_sync *s = rk_alloc(1, sizeof(*s));
    s->n = n;
    s->settings = (struct rk_store_watch){.n = n,
                                          .kind = n->platform->settings_kind,
                                          .apply = rk_sync_apply_settings,
                                          .list_when_behind = true,
                                          .on_answer = on_store_answer,
                                          .ctx = s};
    s->vms = (struct rk_store_watch){.n = n,
                                     .kind = n->platform->vms_kind,
                                     .list_texts = true,
                                     .apply = rk_sync_apply_list,
                                     .on_answer = on_store_answer,
                                     .ctx = s};
    rk_store_watch_init(&s->settings);
    rk_store_watch_init(&s->vms);
    s->tick = (struct rk_timer){.fn = on_tick, .ctx = s};
    rk_sync_list_init(s);
    rk_sync_check_init(s);
    return s;
}

void rk_sync_destroy(struct rk_sync *s)
{
    rk_timer_stop(s->n->loop, &s->tick);
    rk_sync_check_stop(s);
    rk_store_watch_destroy(&s->settings);
    rk_store_watch_destroy(&s->vms);
    rk_sync_list_free(s);
    rk_buf_free(&s->settings_zip);
    rk_routes_unref(s->routes);
    free(s);
}

void rk_sync_start(struct rk_sync *s)
{
    on_tick(s);
}

void rk_sync_read_delay_changed(struct rk_sync *s)
{
    rk_timer_start(s->n->loop, &s->tick, 0);
}

bool rk_sync_ready(const struct rk_sync *s)
{
    return s->routes && s->list_known;
}

int64_t rk_sync_version(const struct rk_sync *s)
{
    return s->routes ? s->routes->version : 0;
}

int64_t rk_sync_list_revision(const struct rk_sync *s)
{
    return s->list_known ? s->list_revision : 0;
}

bool rk_sync_is_plausible(const struct rk_sync *s, int64_t revision)
{
    int64_t known = rk_sync_list_revision(s), era = s->n->store->era;
    if (rk_revision_era(known) > era)
        era = rk_revision_era(known);
    return rk_revision_is_plausible(revision, known, era);
}

int64_t rk_sync_relay_revision(const struct rk_sync *s, int64_t applied)
{
    return s->list_known && applied == s->published_revision ? s->list_revision
                                                             : applied;
}

const struct rk_routes *rk_sync_routes(const struct rk_sync *s)
{
    return s->routes;
}

size_t rk_sync_vms_len(const struct rk_sync *s)
{
    return s->entries_len;
}

const struct rk_vm_row *rk_sync_vm_at(const struct rk_sync *s, size_t i)
{
    return i < s->entries_len ? &s->entries[i]->row : NULL;
}
