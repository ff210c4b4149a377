/* What one node does for all: it holds a lease in the store, reports usage and
 * orders vms under the lease's epoch as fencing token.
 *
 * A window's counts are first written to the store, created only if absent, and
 * then reported exactly as the store has them: whoever takes over reports the
 * same numbers again, never its own. */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/duties.h"
#include "common/eventlog.h"
#include "core/lease.h"
#include "node/state.h"
#include "objects/store.h"

#define TICK_MS         200
#define LOOK_MS         5 /* after news: for those that come together */
#define LEASE_KIND      "rillknot-leases"
#define LEASE_NAME      "duties"
#define USAGE_KIND      "rillknot-usage"
#define UNLISTED_MS     2000 /* then it stands without knowing who the others are */
#define STAND_JITTER_MS 1200 /* candidates don't all try at once */
#define LOST_WAIT_MS    5000 /* who lost the lease stands again later than others */
#define STRAGGLERS_MS   1500 /* after a window's end: reports on their way */
#define SILENT_WAIT_MS  4000 /* the same while a node is silent */
/* After taking the duties over: bridges tell their domain's counts each second, to
 * the holder alone, and learn within a second more who that is. A window was
 * reported with 36% of its calls without it. */
#define TOLD_ALL_MS    2500
#define LAST_CALL_MS   1000 /* before a report is late it is made as it is */
#define USAGE_RETRY_MS 400
#define WINDOWS        8  /* looked back at */
#define KEPT_WINDOWS   30 /* in the store */

/* A window's report on its way. */
enum window_state {
    WINDOW_NEW,
    WINDOW_WRITING, /* to the store */
    WINDOW_KEPT,    /* in the store */
    WINDOW_SENDING,
    WINDOW_DONE,
};

struct window {
    struct rk_duty_keeper *k;
    int64_t number;
    enum window_state state;
    int64_t again_ms; /* not before */
    char *counts;     /* JSON text, as the store has it */
};

struct rk_duty_keeper {
    struct rk_node *n;
    struct rk_lease lease;
    char holder[RK_ID_MAX];
    bool busy; /* a call about the lease is under way */
    bool must_read;
    bool was_held;
    int64_t taken_ms, lost_ms; /* when it last was */
    int64_t jitter_ms;
    struct rk_timer tick;
    char value[RK_LEASE_VALUE_MAX];      /* of the write that stood last */
    char seen_value[RK_LEASE_VALUE_MAX]; /* of another holder */
    struct window windows[WINDOWS];
    struct rk_orders *orders;
    int64_t first_window; /* none before is due */
    int64_t started_ms;
};

/* ---- the lease ---- */

static void note_lease(struct rk_duty_keeper *k)
{
    int64_t epoch;
    bool held = rk_lease_valid(&k->lease, rk_mono_ms(), &epoch);
    if (held == k->was_held)
        return;
    k->was_held = held;
    if (held)
        k->taken_ms = rk_mono_ms();
    else
        k->lost_ms = rk_mono_ms();
    RK_EVENT(held ? "lease.taken" : "lease.lost",
             RK_N("epoch", k->lease.held_epoch),
             RK_S("seen_holder", k->lease.seen_holder),
             RK_N("seen_epoch", k->lease.epoch));
}

static void seen(struct rk_duty_keeper *k, const struct rk_store_object *o)
{
    const char *value = o && o->spec ? json_object_to_json_string(o->spec) : "{}";
    rk_lease_seen(&k->lease, o ? o->revision : 0, value, rk_mono_ms());
    rk_strcpy(k->seen_value, sizeof(k->seen_value), o ? value : "");
    k->must_read = false;
}

static void on_read(void *ctx, enum rk_status st, const struct rk_store_object *o)
{
    struct rk_duty_keeper *k = ctx;
    k->busy = false;
    if (st == RK_OK && o)
        seen(k, o);
    else if (st == RK_ENOTFOUND)
        seen(k, NULL);
    note_lease(k);
}

static void on_written(void *ctx, enum rk_status st,
                       const struct rk_store_object *o)
{
    struct rk_duty_keeper *k = ctx;
    k->busy = false;
    if (st == RK_OK && !o)
        st = RK_EUNKNOWN;
    rk_lease_written(&k->lease, st, o ? o->revision : 0, rk_mono_ms());
    if (st == RK_ECONFLICT && o)
        seen(k, o);
    else if (st != RK_OK)
        k->must_read = true;
    note_lease(k);
}

static void read_lease(struct rk_duty_keeper *k)
{
    struct rk_store *store = k->n->store;
    k->busy = true;
    store->ops->read(store, LEASE_KIND, LEASE_NAME, false, on_read, k);
}

/* How long this node waits for a sign of the holder. */
static int64_t patience_ms(const struct rk_duty_keeper *k)
{
    int64_t ms = (int64_t)k->n->file.lease_ms;
    if (k->lease.held)
        return ms;
    ms += k->jitter_ms;
    if (k->lost_ms && rk_mono_ms() - k->lost_ms < 2 * LOST_WAIT_MS)
        ms += LOST_WAIT_MS;
    return ms;
}

/* In a large fleet bridges stand for the lease; others only when it seems that no
 * bridge does. */
static bool may_stand(const struct rk_duty_keeper *k)
{
    int64_t since_ms = k->lease.seen_ms ? k->lease.seen_ms : k->started_ms;
    bool listed =
        rk_mesh_is_listed(k->n->mesh) || rk_mono_ms() - k->started_ms > UNLISTED_MS;
    return k->was_held || (listed && rk_mesh_stands(k->n->mesh)) ||
           rk_mono_ms() - since_ms > 3 * (int64_t)k->n->file.lease_ms;
}

static void tend_lease(struct rk_duty_keeper *k)
{
    struct rk_store *store = k->n->store;
    if (k->busy || !may_stand(k))
        return;
    if (!k->lease.seen_ms || k->must_read) {
        read_lease(k);
        return;
    }
    char value[RK_LEASE_VALUE_MAX];
    int64_t expect;
    k->lease.life_ms = patience_ms(k);
    bool wants = rk_lease_wants(&k->lease, rk_mono_ms(), value, &expect);
    k->lease.life_ms = (int64_t)k->n->file.lease_ms;
    if (!wants || (k->n->leaving && !k->was_held))
        return;
    k->busy = true;
    rk_strcpy(k->value, sizeof(k->value), value);
    if (expect)
        store->ops->replace(store, LEASE_KIND, LEASE_NAME, expect, value,
                            on_written, k);
    else
        store->ops->create(store, LEASE_KIND, LEASE_NAME, value, on_written, k);
}

bool rk_duty_keeper_lease(const struct rk_duty_keeper *k, int64_t *version,
                          const char **value)
{
    int64_t epoch;
    if (!rk_lease_valid(&k->lease, rk_mono_ms(), &epoch))
        return false;
    *version = k->lease.version;
    *value = k->value;
    return true;
}

void rk_duty_keeper_seen(struct rk_duty_keeper *k, int64_t version,
                         const char *value)
{
    if (!k->busy) {
        bool newer = version > k->lease.version;
        rk_lease_seen(&k->lease, version, value, rk_mono_ms());
        if (newer)
            rk_strcpy(k->seen_value, sizeof(k->seen_value), value);
    }
    note_lease(k);
}

bool rk_duty_keeper_newest(const struct rk_duty_keeper *k, int64_t *version,
                           const char **value)
{
    if (rk_duty_keeper_lease(k, version, value))
        return true;
    *version = k->lease.version;
    *value = k->seen_value;
    return k->lease.version && k->seen_value[0];
}

void rk_duty_keeper_holder(const struct rk_duty_keeper *k, char id[RK_ID_MAX])
{
    rk_strcpy(id, RK_ID_MAX, k->lease.seen_holder);
    id[strcspn(id, "/")] = '\0';
}

/* Another holder acted: this token is worth nothing any more. */
static void refused(struct rk_duty_keeper *k, const char *duty, const char *detail)
{
    RK_WARN("duty.refused", RK_S("duty", duty), RK_N("epoch", k->lease.held_epoch),
            RK_S("detail", detail));
    k->lease.held = false;
    k->lease.held_epoch = -1;
    k->must_read = true;
    note_lease(k);
}

static bool token(const struct rk_duty_keeper *k, struct rk_duty_token *out)
{
    out->holder = k->n->file.id;
    return rk_lease_valid(&k->lease, rk_mono_ms(), &out->fence);
}

/* ---- usage ---- */

static char *counts_of(const struct rk_duty_keeper *k, int64_t window)
{
    const struct rk_routes *routes = rk_sync_routes(k->n->sync);
    struct rk_buf b = {0};
    struct rk_tally sums = {0};
    rk_usage_sums(&k->n->usage, window, &sums);
    rk_buf_addstr(&b, "{");
    for (size_t i = 0; routes && i < routes->orgs_len; i++) {
        const char *org = routes->orgs[i].name;
        rk_buf_addstr(&b, i ? "," : "");
        rk_buf_json_str(&b, org);
        rk_buf_printf(&b, ":%.0f", rk_tally_total(&sums, org));
    }
    rk_buf_addstr(&b, "}");
    rk_tally_free(&sums);
    return b.data;
}

static void on_reported(void *ctx, enum rk_status st, const char *detail)
{
    struct window *w = ctx;
    struct rk_duty_keeper *k = w->k;
    RK_EVENT("usage.reported", RK_N("window", w->number),
             RK_S("status", rk_status_str(st)), RK_S("counts", w->counts));
    w->state = st == RK_OK ? WINDOW_DONE : WINDOW_KEPT;
    w->again_ms = rk_mono_ms() + USAGE_RETRY_MS;
    if (st == RK_ECONFLICT)
        refused(k, "usage", detail);
}

static void report(struct window *w)
{
    struct rk_duty_keeper *k = w->k;
    struct rk_duties *duties = k->n->duties;
    struct rk_duty_token t;
    if (!token(k, &t))
        return;
    w->state = WINDOW_SENDING;
    duties->ops->report_usage(duties, &t, w->number, w->counts, on_reported, w);
}

static void on_kept(void *ctx, enum rk_status st, const struct rk_store_object *o)
{
    struct window *w = ctx;
    bool kept = (st == RK_OK || st == RK_ECONFLICT) && o && o->spec;
    w->state = WINDOW_NEW;
    if (!kept) {
        w->again_ms = rk_mono_ms() + USAGE_RETRY_MS;
        return;
    }
    free(w->counts);
    w->counts = rk_strdup(json_object_to_json_string(o->spec));
    w->state = WINDOW_KEPT;
    report(w);
}

static void on_removed(void *ctx, enum rk_status st,
                       const struct rk_store_object *o)
{
    (void)ctx;
    (void)st;
    (void)o; /* one that stays costs nothing but its place */
}

static void keep(struct window *w)
{
    struct rk_store *store = w->k->n->store;
    char name[RK_ID_MAX];
    snprintf(name, sizeof(name), "%" PRId64, w->number);
    char *counts = counts_of(w->k, w->number);
    w->state = WINDOW_WRITING;
    store->ops->create(store, USAGE_KIND, name, counts, on_kept, w);
    free(counts);
    if (w->number - KEPT_WINDOWS < w->k->first_window)
        return;
    snprintf(name, sizeof(name), "%" PRId64, w->number - KEPT_WINDOWS);
    store->ops->remove(store, USAGE_KIND, name, on_removed, NULL);
}

static struct window *window_slot(struct rk_duty_keeper *k, int64_t number)
{
    struct window *w = &k->windows[(size_t)number % WINDOWS];
    if (w->number == number)
        return w;
    if (w->state == WINDOW_WRITING || w->state == WINDOW_SENDING)
        return NULL; /* its call comes back to this place */
    free(w->counts);
    *w = (struct window){.k = k, .number = number};
    return w;
}

/* How long after its end a window is reported at the earliest. */
static int64_t report_wait_ms(const struct rk_node *n)
{
    bool silent = rk_mesh_heard(n->mesh) < rk_mesh_total(n->mesh);
    return silent ? SILENT_WAIT_MS : STRAGGLERS_MS;
}

/* Is the report of a window that ended so long ago due? Counts that are still on
 * their way are waited for while there is time. */
static bool is_due(const struct rk_duty_keeper *k, int64_t past_ms)
{
    const struct rk_node *n = k->n;
    if (past_ms >= rk_s_to_ms(n->file.usage_late_s) - LAST_CALL_MS)
        return past_ms >= 0;
    return past_ms >= report_wait_ms(n) &&
           rk_mono_ms() - k->taken_ms >= TOLD_ALL_MS;
}

static void tend_usage(struct rk_duty_keeper *k)
{
    struct rk_node *n = k->n;
    struct rk_duty_token t;
    if (!rk_sync_routes(n->sync) || !token(k, &t) ||
        !rk_remember_is_read(n->remember))
        return;
    int64_t size_ms = rk_s_to_ms(n->file.usage_window_s);
    int64_t wall_ms = rk_wall_ms(), now_ms = rk_mono_ms();
    int64_t current = wall_ms / size_ms;
    for (int64_t number = current - WINDOWS + 1; number < current; number++) {
        if (number < k->first_window ||
            !is_due(k, wall_ms - (number + 1) * size_ms))
            continue;
        struct window *w = window_slot(k, number);
        if (!w || now_ms < w->again_ms)
            continue;
        if (w->state == WINDOW_NEW)
            keep(w);
        else if (w->state == WINDOW_KEPT)
            report(w);
    }
}

/* ---- making ---- */

/* Is there another node that holds the duties, as far as is known here? It lives,
 * and renewed its lease lately: it does so three times in a lease. */
static bool hears_holder(const struct rk_duty_keeper *k)
{
    char id[RK_ID_MAX];
    rk_duty_keeper_holder(k, id);
    int64_t silent_ms = rk_mono_ms() - k->lease.seen_ms;
    return rk_mesh_hears(k->n->mesh, id) && silent_ms < k->lease.life_ms * 2 / 3;
}

static void on_tick(void *ctx)
{
    struct rk_duty_keeper *k = ctx;
    rk_timer_start(k->n->loop, &k->tick, TICK_MS);
    tend_lease(k);
    note_lease(k);
    tend_usage(k);
    struct rk_duty_token t;
    bool held = token(k, &t);
    rk_orders_tick(k->orders, held ? &t : NULL);
    rk_rollouts_tick(k->n->rollouts, held ? &t : NULL);
    if (held) {
        rk_remember_tick(k->n->remember);
        rk_quarantines_hold(k->n->quarantines);
    } else if (!hears_holder(k) && rk_mesh_is_first(k->n->mesh)) {
        rk_remember_stand_in(k->n->remember);
    }
    int64_t window = rk_wall_ms() / rk_s_to_ms(k->n->file.usage_window_s);
    rk_usage_forget(&k->n->usage, window - WINDOWS);
}

void rk_duty_keeper_look(struct rk_duty_keeper *k)
{
    if (k->was_held)
        rk_timer_start(k->n->loop, &k->tick, LOOK_MS);
}

struct rk_duty_keeper *rk_duty_keeper_create(struct rk_node *n)
{
    struct rk_duty_keeper *k = rk_alloc(1, sizeof(*k));
    k->n = n;
    k->orders = rk_orders_create(n);
    k->started_ms = rk_mono_ms();
    k->tick = (struct rk_timer){.fn = on_tick, .ctx = k};
    snprintf(k->holder, sizeof(k->holder), "%.30s/%08x", n->file.id,
             (unsigned)n->incarnation);
    rk_strcpy(k->lease.holder, sizeof(k->lease.holder), k->holder);
    k->lease.life_ms = (int64_t)n->file.lease_ms;
    k->jitter_ms = rk_rng_below(&n->rng, STAND_JITTER_MS);
    k->first_window = rk_wall_ms() / rk_s_to_ms(n->file.usage_window_s) - WINDOWS;
    if (n->file.first_start)
        k->first_window += WINDOWS;
    return k;
}

void rk_duty_keeper_start(struct rk_duty_keeper *k)
{
    rk_timer_start(k->n->loop, &k->tick, k->jitter_ms);
}

void rk_duty_keeper_destroy(struct rk_duty_keeper *k)
{
    rk_timer_stop(k->n->loop, &k->tick);
    for (size_t i = 0; i < WINDOWS; i++)
        free(k->windows[i].counts);
    rk_orders_destroy(k->orders);
    free(k);
}
