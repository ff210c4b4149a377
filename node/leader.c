/* The leader's duties. The leader is the node that holds a lease in the store. It
 * reports usage to the platform and orders VMs, with the lease's epoch as fencing
 * token.
 *
 * A window's counts are first written to the store, unless it already has counts of
 * that window, and then reported exactly as the store has them. A new leader
 * therefore repeats the numbers of the previous one and never reports different
 * ones. */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/leader_api.h"
#include "common/eventlog.h"
#include "core/lease.h"
#include "core/restores.h"
#include "core/revision.h"
#include "node/state.h"
#include "objects/store.h"

#define TICK_MS 200
/* Delay of a scheduled tick, so that changes that arrive together are handled in
 * one tick. */
#define CHANGE_DELAY_MS 5
#define LEASE_KIND      "rillknot-leases"
#define LEASE_NAME      "duties"
#define USAGE_KIND      "rillknot-usage"
/* A node that still has no list of the other nodes after this time becomes a
 * candidate for the lease nevertheless. */
#define NODE_LIST_WAIT_MS 2000
/* Candidates add up to this much to their waiting time, so that they don't all
 * write at once. */
#define LEASE_JITTER_MS 1200
/* A node that lost the lease waits this much longer than other candidates. */
#define LEASE_LOST_BACKOFF_MS 5000
/* Delay of a report after its window's end, for counts that are still on their way
 * to the leader; the second one applies while a node is unreachable. */
#define REPORT_DELAY_MS             1500
#define REPORT_DELAY_UNREACHABLE_MS 4000
/* Largest difference between the wall clocks of two nodes that is allowed for. */
#define CLOCK_DIFFERENCE_MS 500
/* Time after which a new leader has the counts of all domains: bridges send them to
 * the leader alone, twice a second, and learn within a second who it is.
 * Without this, a window was reported with 36% of its calls. */
#define COUNTS_COLLECTED_MS 2500
/* A report is made this long before it would be late, with the counts received by
 * then. */
#define REPORT_MARGIN_MS 1000
#define USAGE_RETRY_MS   400
#define RECENT_WINDOWS   8  /* windows whose reports are tracked */
#define STORED_WINDOWS   30 /* windows whose counts the store keeps */

/* State of the report of one window. */
enum window_state {
    WINDOW_NEW,
    WINDOW_STORING, /* the counts are being written to the store */
    WINDOW_STORED,
    WINDOW_REPORTING,
    WINDOW_REPORTED,
};

struct window {
    struct rk_leader *k; /* NULL: the slot has held no window yet */
    int64_t number;      /* wall time divided by the size of a window */
    enum window_state state;
    int64_t retry_at_ms; /* no attempt before this time */
    char *counts;        /* JSON text, as the store has it */
    bool must_rewrite;   /* the store may have lost the counts in a restore */
    bool rewriting;      /* they are being written again */
};

struct rk_leader {
    struct rk_node *n;
    struct rk_lease lease;
    bool lease_busy; /* a read or write of the lease is in flight */
    bool must_read;  /* the lease has to be read before the next write */
    bool was_held;   /* as of the last update_held() */
    int64_t acquired_ms, lost_ms; /* when was_held changed last; 0: never */
    int64_t jitter_ms;
    struct rk_timer tick;
    char own_value[RK_LEASE_VALUE_MAX];  /* of this node's last write */
    char read_value[RK_LEASE_VALUE_MAX]; /* as read or reported last */
    struct window windows[RECENT_WINDOWS];
    struct rk_orders *orders;
    int64_t first_window;        /* number of the first window to report */
    struct rk_restores restores; /* of the store */
    int64_t started_ms;
};

/* ---- the lease ---- */

/* Updates was_held, and logs when this node has acquired or lost the lease. */
static void update_held(struct rk_leader *k)
{
    int64_t epoch;
    bool held = rk_lease_valid(&k->lease, rk_mono_ms(), &epoch);
    if (held == k->was_held)
        return;
    k->was_held = held;
    if (held)
        k->acquired_ms = rk_mono_ms();
    else
        k->lost_ms = rk_mono_ms();
    RK_EVENT(held ? "lease.taken" : "lease.lost",
             RK_N("epoch", k->lease.held_epoch),
             RK_S("seen_holder", k->lease.observed_holder.name),
             RK_S("seen_addr", k->lease.observed_holder.addr),
             RK_N("seen_epoch", k->lease.epoch));
}

static void note_lease_value(struct rk_leader *k, int64_t version,
                             const char *value)
{
    if (!rk_lease_read_done(&k->lease, version, value, rk_mono_ms()))
        RK_WARN("lease.rejected", RK_S("field", "epoch"), RK_N("version", version),
                RK_S("value", value));
}

static void apply_lease_object(struct rk_leader *k, const struct rk_store_object *o)
{
    const char *value = o && o->spec ? json_object_to_json_string(o->spec) : "{}";
    note_lease_value(k, o ? o->revision : 0, value);
    rk_strcpy(k->read_value, sizeof(k->read_value), o ? value : "");
    k->must_read = false;
}

static void on_lease_read(void *ctx, enum rk_status st,
                          const struct rk_store_object *o)
{
    struct rk_leader *k = ctx;
    k->lease_busy = false;
    if (st == RK_OK && o)
        apply_lease_object(k, o);
    else if (st == RK_ENOTFOUND)
        apply_lease_object(k, NULL);
    update_held(k);
}

static void on_lease_written(void *ctx, enum rk_status st,
                             const struct rk_store_object *o)
{
    struct rk_leader *k = ctx;
    k->lease_busy = false;
    if (st == RK_OK && !o)
        st = RK_EUNKNOWN;
    rk_lease_write_done(&k->lease, st, o ? o->revision : 0, rk_mono_ms());
    if (st == RK_ECONFLICT && o)
        apply_lease_object(k, o);
    else if (st != RK_OK)
        k->must_read = true;
    update_held(k);
}

static void read_lease(struct rk_leader *k)
{
    struct rk_store *store = k->n->store;
    k->lease_busy = true;
    store->ops->read(store, LEASE_KIND, LEASE_NAME, false, on_lease_read, k);
}

/* Returns how long the lease has to stay unchanged before this node may take it; at
 * the leader, the lease's duration. */
static int64_t takeover_wait_ms(const struct rk_leader *k)
{
    int64_t ms = (int64_t)k->n->file.lease_ms;
    if (k->lease.held)
        return ms;
    ms += k->jitter_ms;
    if (k->lost_ms && rk_mono_ms() - k->lost_ms < 2 * LEASE_LOST_BACKOFF_MS)
        ms += LEASE_LOST_BACKOFF_MS;
    return ms;
}

/* Returns whether this node is a candidate for the lease. In a large fleet only the
 * bridges are, unless the lease has stayed unchanged for three lease durations, as
 * if there were no bridge. */
static bool is_candidate(const struct rk_leader *k)
{
    int64_t since_ms = k->lease.observed_ms ? k->lease.observed_ms : k->started_ms;
    bool listed = rk_mesh_has_node_list(k->n->mesh) ||
                  rk_mono_ms() - k->started_ms > NODE_LIST_WAIT_MS;
    return k->was_held || (listed && rk_mesh_is_candidate(k->n->mesh)) ||
           rk_mono_ms() - since_ms > 3 * (int64_t)k->n->file.lease_ms;
}

/* Reads, renews or takes the lease if that is due. */
static void update_lease(struct rk_leader *k)
{
    struct rk_store *store = k->n->store;
    rk_lease_set_era(&k->lease, store->era);
    if (k->lease_busy || !is_candidate(k))
        return;
    if (!k->lease.observed_ms || k->must_read) {
        read_lease(k);
        return;
    }
    char value[RK_LEASE_VALUE_MAX];
    int64_t expect;
    /* Only the decision to write depends on the longer waiting time. */
    k->lease.ttl_ms = takeover_wait_ms(k);
    bool must_write = rk_lease_next_write(&k->lease, rk_mono_ms(), value, &expect);
    k->lease.ttl_ms = (int64_t)k->n->file.lease_ms;
    if (!must_write || (k->n->leaving && !k->was_held))
        return;
    k->lease_busy = true;
    rk_strcpy(k->own_value, sizeof(k->own_value), value);
    if (expect)
        store->ops->replace(store, LEASE_KIND, LEASE_NAME, expect, value,
                            on_lease_written, k);
    else
        store->ops->create(store, LEASE_KIND, LEASE_NAME, value, on_lease_written,
                           k);
}

bool rk_leader_own_lease(const struct rk_leader *k, int64_t *version,
                         const char **value)
{
    int64_t epoch;
    if (!rk_lease_valid(&k->lease, rk_mono_ms(), &epoch))
        return false;
    *version = k->lease.version;
    *value = k->own_value;
    return true;
}

void rk_leader_note_lease(struct rk_leader *k, int64_t version, const char *value)
{
    if (!k->lease_busy && rk_revision_is_valid(version)) {
        bool newer = version > k->lease.version;
        note_lease_value(k, version, value);
        if (newer)
            rk_strcpy(k->read_value, sizeof(k->read_value), value);
    }
    update_held(k);
}

bool rk_leader_newest_lease(const struct rk_leader *k, int64_t *version,
                            const char **value)
{
    if (rk_leader_own_lease(k, version, value))
        return true;
    *version = k->lease.version;
    *value = k->read_value;
    return k->lease.version && k->read_value[0];
}

void rk_leader_id(const struct rk_leader *k, char id[RK_ID_MAX])
{
    rk_strcpy(id, RK_ID_MAX, k->lease.observed_holder.name);
}

/* The platform has seen a higher fencing token, so there is a newer leader: gives
 * the lease up. */
static void handle_refusal(struct rk_leader *k, const char *action,
                           const char *detail)
{
    RK_WARN("duty.refused", RK_S("duty", action),
            RK_N("epoch", k->lease.held_epoch), RK_S("detail", detail));
    k->lease.held = false;
    k->lease.held_epoch = -1;
    k->must_read = true;
    update_held(k);
}

static bool get_token(const struct rk_leader *k, struct rk_leader_token *out)
{
    out->leader = k->n->file.id;
    return rk_lease_valid(&k->lease, rk_mono_ms(), &out->fence);
}

/* ---- usage ---- */

/* Returns a window's counts by organisation as JSON text, owned by the caller. */
static char *format_counts(const struct rk_leader *k, int64_t window)
{
    const struct rk_routes *routes = rk_sync_routes(k->n->sync);
    struct rk_buf b = {0};
    struct rk_totals sums = {0};
    rk_usage_sums(&k->n->usage, window, &sums);
    rk_buf_addstr(&b, "{");
    for (size_t i = 0; routes && i < routes->orgs_len; i++) {
        const char *org = routes->orgs[i].name;
        rk_buf_addstr(&b, i ? "," : "");
        rk_buf_json_str(&b, org);
        rk_buf_printf(&b, ":%.0f", rk_totals_value(&sums, org));
    }
    rk_buf_addstr(&b, "}");
    rk_totals_free(&sums);
    return b.data;
}

static void on_usage_reported(void *ctx, enum rk_status st, const char *detail)
{
    struct window *w = ctx;
    struct rk_leader *k = w->k;
    RK_EVENT("usage.reported", RK_N("window", w->number),
             RK_S("status", rk_status_str(st)), RK_S("counts", w->counts));
    w->state = st == RK_OK ? WINDOW_REPORTED : WINDOW_STORED;
    w->retry_at_ms = rk_mono_ms() + USAGE_RETRY_MS;
    if (st == RK_ECONFLICT)
        handle_refusal(k, "usage", detail);
}

static void report_window(struct window *w)
{
    struct rk_leader *k = w->k;
    struct rk_leader_api *api = k->n->leader_api;
    struct rk_leader_token t;
    if (!get_token(k, &t))
        return;
    w->state = WINDOW_REPORTING;
    api->ops->report_usage(api, &t, w->number, w->counts, on_usage_reported, w);
}

static void on_window_stored(void *ctx, enum rk_status st,
                             const struct rk_store_object *o)
{
    struct window *w = ctx;
    bool stored = (st == RK_OK || st == RK_ECONFLICT) && o && o->spec;
    w->state = WINDOW_NEW;
    if (!stored) {
        w->retry_at_ms = rk_mono_ms() + USAGE_RETRY_MS;
        return;
    }
    free(w->counts);
    w->counts = rk_strdup(json_object_to_json_string(o->spec));
    w->state = WINDOW_STORED;
    report_window(w);
}

static void on_window_removed(void *ctx, enum rk_status st,
                              const struct rk_store_object *o)
{
    (void)ctx;
    (void)st;
    (void)o; /* an object that could not be removed does no harm */
}

/* Handles the read of a window's counts that another leader may have reported. */
static void on_window_read(void *ctx, enum rk_status st,
                           const struct rk_store_object *o)
{
    struct window *w = ctx;
    if (st != RK_ENOTFOUND) {
        on_window_stored(w, st, o);
        return;
    }
    RK_WARN("usage.skipped", RK_N("window", w->number));
    w->state = WINDOW_REPORTED;
}

static int64_t window_end_ms(const struct window *w)
{
    return (w->number + 1) * rk_s_to_ms(w->k->n->file.usage_window_s);
}

/* Returns whether another leader may have reported a window with counts that the
 * store has lost. */
static bool may_be_reported(const struct window *w)
{
    return rk_restores_may_be_lost(&w->k->restores, window_end_ms(w));
}

/* Writes a window's counts to the store, and removes those of an old window. */
static void store_window(struct window *w)
{
    struct rk_store *store = w->k->n->store;
    char name[RK_ID_MAX];
    snprintf(name, sizeof(name), "%" PRId64, w->number);
    if (may_be_reported(w)) {
        w->state = WINDOW_STORING;
        store->ops->read(store, USAGE_KIND, name, false, on_window_read, w);
        return;
    }
    char *counts = format_counts(w->k, w->number);
    w->state = WINDOW_STORING;
    store->ops->create(store, USAGE_KIND, name, counts, on_window_stored, w);
    free(counts);
    if (w->number - STORED_WINDOWS < w->k->first_window)
        return;
    snprintf(name, sizeof(name), "%" PRId64, w->number - STORED_WINDOWS);
    store->ops->remove(store, USAGE_KIND, name, on_window_removed, NULL);
}

/* Returns the slot of a window; NULL: an older window still uses it. */
static struct window *window_slot(struct rk_leader *k, int64_t number)
{
    struct window *w = &k->windows[(size_t)number % RECENT_WINDOWS];
    if (w->k && w->number == number)
        return w;
    if (w->state == WINDOW_STORING || w->state == WINDOW_REPORTING || w->rewriting)
        return NULL; /* the callback of a call in flight refers to this slot */
    free(w->counts);
    *w = (struct window){.k = k, .number = number};
    return w;
}

/* Returns the least delay in ms between a window's end and its report. */
static int64_t report_wait_ms(const struct rk_node *n)
{
    bool unreachable = rk_mesh_reachable_count(n->mesh) < rk_mesh_total(n->mesh);
    return unreachable ? REPORT_DELAY_UNREACHABLE_MS : REPORT_DELAY_MS;
}

/* Returns whether to report a window that ended since_end_ms ago. Reports wait for
 * counts that are still on their way, but not until they would be late. */
static bool is_due(const struct rk_leader *k, int64_t since_end_ms)
{
    const struct rk_node *n = k->n;
    if (since_end_ms >= rk_s_to_ms(n->file.usage_late_s) - REPORT_MARGIN_MS)
        return since_end_ms >= 0;
    return since_end_ms >= report_wait_ms(n) &&
           rk_mono_ms() - k->acquired_ms >= COUNTS_COLLECTED_MS;
}

/* Returns the least delay in ms between a window's end and its report at any node,
 * by the clock of any other. */
static int64_t least_report_delay_ms(const struct rk_node *n)
{
    int64_t late_ms = rk_s_to_ms(n->file.usage_late_s) - REPORT_MARGIN_MS;
    int64_t delay_ms = late_ms < REPORT_DELAY_MS ? late_ms : REPORT_DELAY_MS;
    return delay_ms > CLOCK_DIFFERENCE_MS ? delay_ms - CLOCK_DIFFERENCE_MS : 0;
}

static void report_due_windows(struct rk_leader *k)
{
    struct rk_node *n = k->n;
    struct rk_leader_token t;
    if (!rk_sync_routes(n->sync) || !get_token(k, &t) || !k->restores.record_read)
        return;
    int64_t size_ms = rk_s_to_ms(n->file.usage_window_s);
    int64_t wall_ms = rk_wall_ms(), now_ms = rk_mono_ms();
    int64_t current = wall_ms / size_ms;
    for (int64_t number = current - RECENT_WINDOWS + 1; number < current;
         number++) {
        if (number < k->first_window ||
            !is_due(k, wall_ms - (number + 1) * size_ms))
            continue;
        struct window *w = window_slot(k, number);
        if (!w || now_ms < w->retry_at_ms)
            continue;
        if (w->state == WINDOW_NEW)
            store_window(w);
        else if (w->state == WINDOW_STORED)
            report_window(w);
    }
}

/* ---- restores of the store ---- */

static void on_window_rewritten(void *ctx, enum rk_status st,
                                const struct rk_store_object *o)
{
    struct window *w = ctx;
    (void)o;
    w->rewriting = false;
    w->must_rewrite = st != RK_OK && st != RK_ECONFLICT;
}

/* Returns how long ago a window ended, in ms; negative: it has not ended yet. */
static int64_t since_end_ms(const struct window *w)
{
    return rk_wall_ms() - window_end_ms(w);
}

/* Writes counts that the store lacks, so that the next leader reports the same
 * ones. This node need not be the leader any more. */
static void rewrite_windows(struct rk_leader *k)
{
    struct rk_store *store = k->n->store;
    char name[RK_ID_MAX];
    for (size_t i = 0; i < RECENT_WINDOWS; i++) {
        struct window *w = &k->windows[i];
        if (!w->must_rewrite || w->rewriting || since_end_ms(w) < REPORT_DELAY_MS)
            continue;
        if (!w->counts)
            w->counts = format_counts(k, w->number);
        w->rewriting = true;
        snprintf(name, sizeof(name), "%" PRId64, w->number);
        store->ops->create(store, USAGE_KIND, name, w->counts, on_window_rewritten,
                           w);
    }
}

/* Returns whether no other node can have reported a window since this node became
 * the leader: its lease has to expire before another one takes it, which then
 * collects the counts. */
static bool was_only_leader(const struct rk_leader *k)
{
    return k->acquired_ms && rk_mono_ms() - k->lease.renewed_ms <
                                 k->lease.ttl_ms + COUNTS_COLLECTED_MS;
}

/* Makes the slots of the windows that ended before a restore and that only this
 * node can have reported. */
static void prepare_windows(struct rk_leader *k)
{
    int64_t size_ms = rk_s_to_ms(k->n->file.usage_window_s);
    int64_t last = k->restores.noticed_ms / size_ms - 1;
    for (int64_t number = last - RECENT_WINDOWS + 2; number <= last; number++) {
        bool safe = !rk_restores_may_be_lost(&k->restores, (number + 1) * size_ms);
        struct window *w = safe ? window_slot(k, number) : NULL;
        if (w && w->state == WINDOW_NEW)
            w->must_rewrite = true;
    }
}

/* Notices a new era of the store. */
static void check_era(struct rk_leader *k)
{
    bool only_leader = was_only_leader(k);
    int64_t now_ms = rk_wall_ms();
    int64_t since_ms = only_leader ? now_ms - (rk_mono_ms() - k->acquired_ms) : 0;
    if (!rk_restores_note_era(&k->restores, k->n->store->era, since_ms, now_ms))
        return;
    if (only_leader)
        prepare_windows(k);
    for (size_t i = 0; i < RECENT_WINDOWS; i++)
        k->windows[i].must_rewrite =
            k->windows[i].must_rewrite ||
            (k->windows[i].counts && k->windows[i].state != WINDOW_STORING);
}

const struct rk_restores *rk_leader_restores(const struct rk_leader *k)
{
    return &k->restores;
}

void rk_leader_note_record(struct rk_leader *k,
                           const struct rk_restores_record *record)
{
    int64_t known_ms = k->restores.noticed_ms;
    rk_restores_note_record(&k->restores, record, k->n->store->era, rk_wall_ms());
    RK_EVENT("usage.record_read", RK_N("found", record != NULL),
             RK_N("written_in_era", record ? record->era : 0),
             RK_N("era", k->n->store->era),
             RK_N("shows_restore", k->restores.noticed_ms > known_ms));
}

/* ---- the tick ---- */

/* Returns whether another node is the leader, as far as is known here: it is
 * reachable and has renewed its lease lately. A leader renews it three times in a
 * lease's duration. */
static bool has_reachable_leader(const struct rk_leader *k)
{
    char id[RK_ID_MAX];
    rk_leader_id(k, id);
    int64_t since_renewal_ms = rk_mono_ms() - k->lease.observed_ms;
    return rk_mesh_is_reachable(k->n->mesh, id) &&
           since_renewal_ms < k->lease.ttl_ms * 2 / 3;
}

/* Returns the number of the current window. If the wall clock was set back beyond
 * the first window to report, that becomes the current one, at each node: any of
 * them may be the next leader. */
static int64_t note_window(struct rk_leader *k)
{
    int64_t window = rk_wall_ms() / rk_s_to_ms(k->n->file.usage_window_s);
    if (window < k->first_window)
        k->first_window = window;
    return window;
}

static void on_tick(void *ctx)
{
    struct rk_leader *k = ctx;
    int64_t window = note_window(k);
    rk_timer_start(k->n->loop, &k->tick, TICK_MS);
    check_era(k);
    rewrite_windows(k);
    update_lease(k);
    update_held(k);
    report_due_windows(k);
    struct rk_leader_token t;
    bool held = get_token(k, &t);
    rk_orders_tick(k->orders, held ? &t : NULL);
    rk_rollouts_tick(k->n->rollouts, held ? &t : NULL);
    if (held) {
        rk_persist_tick(k->n->persist);
        rk_quarantines_check_store(k->n->quarantines);
    } else if (!has_reachable_leader(k) && rk_mesh_is_acting_leader(k->n->mesh)) {
        rk_persist_tick_acting(k->n->persist);
    }
    rk_usage_remove_before(&k->n->usage, window - RECENT_WINDOWS);
}

void rk_leader_schedule_tick(struct rk_leader *k)
{
    if (k->was_held)
        rk_timer_start(k->n->loop, &k->tick, CHANGE_DELAY_MS);
}

/* ---- creation ---- */

struct rk_leader *rk_leader_create(struct rk_node *n)
{
    struct rk_leader *k = rk_alloc(1, sizeof(*k));
    k->n = n;
    k->orders = rk_orders_create(n);
    k->started_ms = rk_mono_ms();
    rk_restores_init(&k->restores, n->file.first_start, least_report_delay_ms(n));
    k->tick = (struct rk_timer){.fn = on_tick, .ctx = k};
    k->lease.self.incarnation = n->incarnation;
    rk_strcpy(k->lease.self.name, sizeof(k->lease.self.name), n->file.id);
    k->lease.ttl_ms = (int64_t)n->file.lease_ms;
    k->jitter_ms = rk_rng_below(&n->rng, LEASE_JITTER_MS);
    k->first_window =
        rk_wall_ms() / rk_s_to_ms(n->file.usage_window_s) - RECENT_WINDOWS;
    if (n->file.first_start)
        k->first_window += RECENT_WINDOWS;
    if (k->first_window < 0)
        k->first_window = 0; /* the wall clock has not been set yet */
    return k;
}

void rk_leader_start(struct rk_leader *k)
{
    /* The address is known once the listener has been created. */
    rk_strcpy(k->lease.self.addr, sizeof(k->lease.self.addr),
              rk_mesh_addr(k->n->mesh));
    rk_timer_start(k->n->loop, &k->tick, k->jitter_ms);
}

void rk_leader_destroy(struct rk_leader *k)
{
    rk_timer_stop(k->n->loop, &k->tick);
    for (size_t i = 0; i < RECENT_WINDOWS; i++)
        free(k->windows[i].counts);
    rk_orders_destroy(k->orders);
    free(k);
}
