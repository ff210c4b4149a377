/* Messages of the control thread to a relay. Each is posted to the relay's loop and
 * applied on its thread; it owns what its pointers lead to. */
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "serve/relay_call.h"
#include "services/upstream.h"

/* Time-out of peers' connections between calls. */
#define FORWARD_IDLE_MS 15000

struct message {
    struct rk_relay *r;
    struct rk_routes *routes;
    struct rk_vm_row *rows;
    size_t rows_len;
    char (*removed)[RK_ID_MAX];
    size_t removed_len;
    int64_t revision;
    struct rk_relay_peers *peers;
    struct rk_org_use *uses;
    size_t uses_len;
    struct rk_service_load *services;
    size_t services_len;
    struct rk_rollout_rule *rules;
    size_t rules_len;
    struct rk_quarantine_row *suspects;
    size_t suspects_len;
    struct rk_vm_signal *signals;
    size_t signals_len;
    struct rk_only_version *only_versions;
    size_t only_versions_len;
    struct rk_stream_record *streams;
    size_t streams_len;
    struct rk_vm_row vm;
    int64_t asked_ms;
    bool is_fresh;
    double shares[RK_QUOTA_SLICES];
    int64_t age_ms;
    struct rk_relay_bounds bounds;
};

/* Sends a copy of m to the relay's thread. Returns false if its queue is full. */
static bool post(struct rk_relay *r, rk_callback_fn *fn, const struct message *m)
{
    struct message *copy = rk_alloc(1, sizeof(*copy));
    *copy = *m;
    copy->r = r;
    if (rk_loop_post(r->loop, fn, copy))
        return true;
    free(copy);
    return false;
}

void rk_relay_start_accepting(void *ctx)
{
    struct rk_relay *r = ctx;
    rk_timer_stop(r->loop, &r->accept_timer);
    rk_server_set_accepting(r->server, true);
}

/* Until routes, VMs and quotas have arrived, a few tens of ms after the start,
 * calls could only be refused. New connections wait in the listen queue
 * meanwhile. */
static void accept_if_ready(struct rk_relay *r)
{
    if (r->accept_timer.slot && r->routes && r->vms_known && r->quotas_restored)
        rk_relay_start_accepting(r);
}

static void apply_routes(void *ctx)
{
    struct message *m = ctx;
    struct rk_relay *r = m->r;
    const struct rk_caller_limits *l = &m->routes->limits;
    struct rk_server_limits limits = {
        .header_bytes = (size_t)l->header_bytes,
        .body_bytes = (size_t)l->body_bytes,
        .header_ms = l->header_ms,
        .idle_ms = l->idle_ms,
        .max_clients = r->opt.max_clients,
        .unfinished_bytes = rk_relay_unfinished_max(r, false),
        .unread_bytes = rk_relay_unread_max(r, false),
    };
    rk_server_set_limits(r->server, &limits);
    limits.header_bytes += RK_FORWARD_HEADER_BYTES;
    limits.idle_ms = FORWARD_IDLE_MS;
    limits.max_clients = INT_MAX;
    limits.unfinished_bytes = rk_relay_unfinished_max(r, true);
    limits.unread_bytes = rk_relay_unread_max(r, true);
    if (r->forward_server)
        rk_server_set_limits(r->forward_server, &limits);
    rk_routes_unref(r->routes);
    r->routes = m->routes;
    rk_relay_versions_set_routes(r, r->routes);
    rk_relay_remove_services(r);
    accept_if_ready(r);
    free(m);
}

bool rk_relay_set_routes(struct rk_relay *r, struct rk_routes *routes)
{
    if (post(r, apply_routes, &(struct message){.routes = routes}))
        return true;
    rk_routes_unref(routes);
    return false;
}

/* Closes idle connections to VMs that have restarted: they lead to an earlier
 * incarnation. */
static void close_stale_connections(struct rk_relay *r,
                                    const struct rk_vm_row *rows, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        const struct rk_place_vm *vm = rk_place_find(r->place, rows[i].id);
        if (vm && rk_vm_is_restarted(&vm->row, &rows[i]))
            rk_upstream_pools_close_idle(r->upstreams, rows[i].id);
    }
}

static void apply_vms(void *ctx)
{
    struct message *m = ctx;
    close_stale_connections(m->r, m->rows, m->rows_len);
    rk_place_set_vms(m->r->place, m->rows, m->rows_len, rk_mono_ms());
    rk_relay_versions_update_list(m->r);
    m->r->vms_known = true;
    m->r->vms_revision = m->revision;
    accept_if_ready(m->r);
    free(m->rows);
    free(m);
}

bool rk_relay_set_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len,
                      int64_t revision)
{
    const struct message m = {.rows = rows, .rows_len = len, .revision = revision};
    if (post(r, apply_vms, &m))
        return true;
    free(rows);
    return false;
}

static void apply_vm_changes(void *ctx)
{
    struct message *m = ctx;
    close_stale_connections(m->r, m->rows, m->rows_len);
    rk_place_change_vms(m->r->place, m->rows, m->rows_len, m->removed,
                        m->removed_len, rk_mono_ms());
    rk_relay_versions_update_list(m->r);
    m->r->vms_revision = m->revision;
    free(m->rows);
    free(m->removed);
    free(m);
}

bool rk_relay_update_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len,
                         char (*removed)[RK_ID_MAX], size_t removed_len,
                         int64_t revision)
{
    const struct message m = {.rows = rows,
                              .rows_len = len,
                              .revision = revision,
                              .removed = removed,
                              .removed_len = removed_len};
    if (post(r, apply_vm_changes, &m))
        return true;
    free(rows);
    free(removed);
    return false;
}

static void apply_checked(void *ctx)
{
    struct message *m = ctx;
    rk_relay_versions_note_checked(m->r, m->asked_ms);
    free(m);
}

bool rk_relay_note_checked(struct rk_relay *r, int64_t asked_ms)
{
    return post(r, apply_checked, &(struct message){.asked_ms = asked_ms});
}

static void apply_past_vm(void *ctx)
{
    struct message *m = ctx;
    rk_relay_versions_note_past_vm(m->r, &m->vm);
    free(m);
}

bool rk_relay_note_past_vm(struct rk_relay *r, const struct rk_vm_row *vm)
{
    return post(r, apply_past_vm, &(struct message){.vm = *vm});
}

/* Uses the estimates learned by other nodes as the starting point of this
 * node's. */
static void set_engine_priors(struct rk_relay *r,
                              const struct rk_service_load *services, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        struct rk_service_speed *speed =
            rk_place_service_speed(r->place, services[i].service);
        rk_engine_set_prior(&speed->engine, &services[i].engine);
    }
}

static void apply_peers(void *ctx)
{
    struct message *m = ctx;
    struct rk_relay *r = m->r;
    const struct rk_relay_peers *p = m->peers;
    int64_t now_ms = rk_mono_ms();
    rk_place_set_report_lag(r->place, p->report_lag_ms);
    rk_place_set_loads(r->place, p->loads, p->loads_len, now_ms);
    rk_relay_log_speed_changes(r, now_ms);
    rk_quota_set_reachable(&r->quota, p->nodes_reachable, p->nodes_total, now_ms);
    rk_place_set_node_count(r->place, p->nodes_total);
    rk_relay_forwards_set(r, p->forward_peers, p->forward_peers_len);
    rk_relay_versions_set_peers(r, p);
    if (p->usage_gap_ms)
        rk_quota_fill_gap(&r->quota, p->usage_gap_ms, now_ms);
    for (size_t i = 0; i < p->quota_usage_added_len; i++)
        rk_quota_add_peers(&r->quota, p->quota_usage_added[i].org,
                           p->quota_usage_added[i].units, now_ms);
    /* Usage from a peer's history is added once after a restart, and once after a
     * gap in the digests. If it were added with every message, the same usage
     * could be counted in two slices of the window. */
    bool complete = p->quota_history_ms >= r->quota.window_ms;
    bool apply_history =
        p->backfill_history || (complete && r->quota.unknown_before_ms);
    for (size_t i = 0; apply_history && i < p->quota_history_len; i++)
        rk_quota_merge(&r->quota, p->quota_history[i].org,
                       p->quota_history[i].used_slices, now_ms);
    if (apply_history)
        rk_quota_merge_shares(&r->quota, p->quota_history_shares, 0, now_ms);
    rk_org_demands_apply(&p->quota_demand, &r->quota);
    set_engine_priors(r, p->services, p->services_len);
    rk_quota_peer_history(&r->quota, p->quota_history_ms);
    r->quota.lag_ms = p->report_lag_ms;
    r->quota.last_report_ms =
        p->since_report_ms >= 0 ? now_ms - p->since_report_ms : 0;
    rk_relay_peers_free(m->peers);
    free(m);
}

bool rk_relay_set_peers(struct rk_relay *r, struct rk_relay_peers *peers)
{
    if (post(r, apply_peers, &(struct message){.peers = peers}))
        return true;
    rk_relay_peers_free(peers);
    return false;
}

static void apply_rollouts(void *ctx)
{
    struct message *m = ctx;
    rk_place_set_rollouts(m->r->place, m->rules, m->rules_len, m->is_fresh);
    free(m->rules);
    free(m);
}

bool rk_relay_set_rollouts(struct rk_relay *r, struct rk_rollout_rule *rules,
                           size_t len, bool is_fresh)
{
    const struct message m = {
        .rules = rules, .rules_len = len, .is_fresh = is_fresh};
    if (post(r, apply_rollouts, &m))
        return true;
    free(rules);
    return false;
}

static void apply_bounds(void *ctx)
{
    struct message *m = ctx;
    struct rk_relay *r = m->r;
    r->opt.bounds.retry_pct = m->bounds.retry_pct;
    r->opt.bounds.retry_burst = m->bounds.retry_burst;
    r->quota.slack = m->bounds.quota_slack;
    r->quota.overrun = m->bounds.quota_overrun;
    free(m);
}

bool rk_relay_set_bounds(struct rk_relay *r, const struct rk_relay_bounds *bounds)
{
    return post(r, apply_bounds, &(struct message){.bounds = *bounds});
}

static void apply_restored_quotas(void *ctx)
{
    struct message *m = ctx;
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < m->uses_len; i++)
        rk_quota_restore(&m->r->quota, m->uses[i].org, m->uses[i].used_slices,
                         m->uses[i].demand_per_s, m->age_ms, now_ms);
    rk_quota_merge_shares(&m->r->quota, m->shares, m->age_ms, now_ms);
    rk_quota_restore_done(&m->r->quota, m->age_ms);
    m->r->quotas_restored = true;
    accept_if_ready(m->r);
    free(m->uses);
    free(m);
}

bool rk_relay_restore_quota_usage(struct rk_relay *r, struct rk_org_use *uses,
                                  size_t len, const double shares[RK_QUOTA_SLICES],
                                  int64_t age_ms)
{
    struct message m = {.uses = uses, .uses_len = len, .age_ms = age_ms};
    memcpy(m.shares, shares, sizeof(m.shares));
    if (post(r, apply_restored_quotas, &m))
        return true;
    free(uses);
    return false;
}

static void apply_only_versions(void *ctx)
{
    struct message *m = ctx;
    for (size_t i = 0; i < m->only_versions_len; i++)
        rk_relay_versions_note_only(m->r, &m->only_versions[i]);
    free(m->only_versions);
    free(m);
}

bool rk_relay_restore_only_versions(struct rk_relay *r,
                                    struct rk_only_version *rows, size_t len)
{
    const struct message m = {.only_versions = rows, .only_versions_len = len};
    if (post(r, apply_only_versions, &m))
        return true;
    free(rows);
    return false;
}

static void apply_streams(void *ctx)
{
    struct message *m = ctx;
    rk_relay_versions_restore(m->r, m->streams, m->streams_len);
    free(m->streams);
    free(m);
}

bool rk_relay_restore_streams(struct rk_relay *r, struct rk_stream_record *rows,
                              size_t len)
{
    if (post(r, apply_streams,
             &(struct message){.streams = rows, .streams_len = len}))
        return true;
    free(rows);
    return false;
}

static void apply_engine_priors(void *ctx)
{
    struct message *m = ctx;
    set_engine_priors(m->r, m->services, m->services_len);
    free(m->services);
    free(m);
}

bool rk_relay_set_engine_priors(struct rk_relay *r,
                                struct rk_service_load *services, size_t len)
{
    const struct message m = {.services = services, .services_len = len};
    if (post(r, apply_engine_priors, &m))
        return true;
    free(services);
    return false;
}

static void apply_suspects(void *ctx)
{
    struct message *m = ctx;
    for (size_t i = 0; i < m->suspects_len; i++)
        rk_quarantine_merge(&m->r->quarantine, &m->suspects[i], false,
                            rk_mono_ms());
    rk_relay_cancel_quarantined(m->r);
    free(m->suspects);
    free(m);
}

bool rk_relay_set_suspects(struct rk_relay *r, struct rk_quarantine_row *rows,
                           size_t len)
{
    const struct message m = {.suspects = rows, .suspects_len = len};
    if (post(r, apply_suspects, &m))
        return true;
    free(rows);
    return false;
}

static void apply_signals(void *ctx)
{
    struct message *m = ctx;
    rk_place_set_signals(m->r->place, m->signals, m->signals_len, rk_mono_ms());
    free(m->signals);
    free(m);
}

bool rk_relay_set_signals(struct rk_relay *r, struct rk_vm_signal *rows, size_t len)
{
    const struct message m = {.signals = rows, .signals_len = len};
    if (post(r, apply_signals, &m))
        return true;
    free(rows);
    return false;
}

static void apply_close(void *ctx)
{
    struct rk_relay *r = ctx;
    rk_server_set_closing(r->server);
    if (r->forward_server)
        rk_server_set_closing(r->forward_server);
}

void rk_relay_begin_stop(struct rk_relay *r, int64_t ends_in_ms)
{
    int64_t now_ms = rk_mono_ms();
    atomic_store(&r->stop_ends_ms, now_ms + ends_in_ms);
    atomic_store(&r->stop_began_ms, now_ms);
    rk_loop_post(r->loop, apply_close, r);
}

static void apply_end_calls(void *ctx)
{
    rk_relay_calls_end_for_stop(ctx);
}

void rk_relay_end_calls(struct rk_relay *r)
{
    rk_loop_post(r->loop, apply_end_calls, r);
}

static void apply_close_idle(void *ctx)
{
    struct rk_relay *r = ctx;
    rk_server_close_idle(r->server);
    if (r->forward_server)
        rk_server_close_idle(r->forward_server);
}

void rk_relay_close_idle_clients(struct rk_relay *r)
{
    rk_loop_post(r->loop, apply_close_idle, r);
}

static void apply_stop_idle(void *ctx)
{
    struct rk_relay *r = ctx;
    if (rk_relay_busy_count(r))
        return;
    rk_loop_stop(r->loop);
    r->opt.on_stopped(r->opt.ctx);
}

void rk_relay_stop_if_idle(struct rk_relay *r)
{
    rk_loop_post(r->loop, apply_stop_idle, r);
}

void rk_relay_stop(struct rk_relay *r)
{
    rk_loop_stop(r->loop);
}
