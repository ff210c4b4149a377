#include "serve/relay.h"

#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/eventlog.h"
#include "serve/relay_call.h"
#include "services/upstream.h"

#define REPORT_INTERVAL_MS  200
#define ACCEPT_DELAY_MAX_MS 400 /* longest delay of new connections at start */
#define USAGE_WINDOWS_KEPT  6   /* reported besides the current one */
/* Bytes that a forwarding peer may add to the headers of a call. */
#define FORWARD_HEADER_BYTES 1024
/* How long a changed quarantine row is repeated in reports. */
#define SUSPECT_REPORT_MS         1000
#define SIGNAL_EXPIRY_INTERVAL_MS 10000

/* Used until the first routes arrive. */
static const struct rk_server_limits default_limits = {
    .header_bytes = 16 * 1024,
    .body_bytes = 4 * 1024 * 1024,
    .header_ms = 3000,
    .idle_ms = 15000,
};

const struct rk_service_load *
rk_service_load_find(const struct rk_service_load *services, size_t len,
                     const char *service)
{
    for (size_t i = 0; i < len; i++)
        if (!strcmp(services[i].service, service))
            return &services[i];
    return NULL;
}

void rk_relay_report_free(struct rk_relay_report *r)
{
    free(r->loads);
    free(r->quota_usage);
    free(r->usage);
    free(r->services);
    free(r->canaries);
    free(r->suspects);
    free(r->signals);
    free(r->speeds);
    free(r->only_versions);
    free(r);
}

void rk_relay_peers_free(struct rk_relay_peers *p)
{
    free(p->loads);
    free(p->quota_usage_added);
    free(p->quota_history);
    rk_org_demands_free(&p->quota_demand);
    free(p->services);
    free(p);
}

/* ---- reports ---- */

/* Fills the usage of an organisation that is to be persisted in the store. */
static void fill_persisted_usage(const struct rk_relay *r, struct rk_quota_org *o,
                                 struct rk_org_use *use)
{
    const struct rk_org_info *org =
        r->routes ? rk_routes_org(r->routes, o->name) : NULL;
    double rate = org ? org->rate : 0, burst = org ? org->burst : 0;
    double quota = rate * (double)r->quota.window_ms / RK_MS_PER_S + burst;
    rk_quota_persist(&r->quota, o, quota, rate, use->persisted_slices,
                     rk_mono_ms());
}

static void fill_quota_usage(struct rk_relay *r, struct rk_relay_report *report)
{
    report->quota_usage =
        rk_alloc(r->quota.orgs_len + 1, sizeof(*report->quota_usage));
    for (size_t i = 0; i < r->quota.orgs_len; i++) {
        struct rk_org_use *use = &report->quota_usage[report->quota_usage_len++];
        rk_strcpy(use->org, sizeof(use->org), r->quota.orgs[i].name);
        use->units = r->quota.orgs[i].own_net_units;
        rk_class_demand_per_s(&r->quota.orgs[i].demand, rk_mono_ms(),
                              use->class_demand_per_s);
        use->demand_per_s = rk_quota_class_sum(use->class_demand_per_s);
        rk_quota_report(&r->quota, &r->quota.orgs[i], use->used_slices,
                        rk_mono_ms());
        fill_persisted_usage(r, &r->quota.orgs[i], use);
    }
}

static void fill_usage_counts(struct rk_relay *r, struct rk_relay_report *report)
{
    int64_t window = rk_wall_ms() / r->opt.bounds.usage_window_ms;
    rk_usage_remove_before(&r->usage, window - USAGE_WINDOWS_KEPT);
    report->usage = rk_alloc(r->usage.len + 1, sizeof(*report->usage));
    if (r->usage.len)
        memcpy(report->usage, r->usage.rows, r->usage.len * sizeof(*r->usage.rows));
    report->usage_len = r->usage.len;
}

static void fill_services(const struct rk_relay *r, struct rk_relay_report *report)
{
    report->services = rk_alloc(r->services_len + 1, sizeof(*report->services));
    for (size_t i = 0; i < r->services_len; i++) {
        struct rk_service_load *use = &report->services[report->services_len++];
        rk_strcpy(use->service, sizeof(use->service), r->services[i].name);
        use->demand_tokens = r->services[i].uncached_prompt_tokens;
        use->engine = rk_engine_get_estimate(
            &rk_place_service_speed(r->place, use->service)->engine);
        struct rk_place_in_flight in_flight =
            rk_place_in_flight(r->place, use->service);
        use->running = in_flight.running;
        use->begun = in_flight.first_byte_received;
    }
}

static void fill_canaries(const struct rk_relay *r, struct rk_relay_report *report)
{
    const struct rk_place_rollout *rollouts = rk_place_rollouts(r->place);
    for (size_t i = 0; i < RK_ROLLOUTS; i++) {
        const struct rk_place_rollout *from = &rollouts[i];
        if (!from->rule.service[0])
            continue;
        report->canaries =
            rk_realloc(report->canaries,
                       (report->canaries_len + 1) * sizeof(*report->canaries));
        struct rk_rollout_stats *stats = &report->canaries[report->canaries_len++];
        *stats = (struct rk_rollout_stats){
            .rows = from->canary_rows,
            .old_running = rk_place_old_version_running(from, r->place)};
        rk_strcpy(stats->service, sizeof(stats->service), from->rule.service);
        rk_strcpy(stats->version, sizeof(stats->version), from->rule.version);
    }
}

/* A report may be dropped, so each changed row is repeated in the reports of one
 * second. */
static void fill_suspects(const struct rk_relay *r, struct rk_relay_report *report)
{
    int64_t now_ms = rk_mono_ms();
    report->suspects = rk_alloc(r->quarantine.len + 1, sizeof(*report->suspects));
    for (size_t i = 0; i < r->quarantine.len; i++) {
        const struct rk_quarantine_row *row = &r->quarantine.rows[i];
        if (row->own && now_ms - row->changed_ms < SUSPECT_REPORT_MS)
            report->suspects[report->suspects_len++] = *row;
    }
}

static void expire_signals(struct rk_relay *r, int64_t now_ms)
{
    if (now_ms - r->signals_expired_ms < SIGNAL_EXPIRY_INTERVAL_MS)
        return;
    r->signals_expired_ms = now_ms;
    rk_place_expire_signals(r->place, now_ms);
}

static size_t busy_count(const struct rk_relay *r)
{
    size_t forwarded =
        r->forward_server ? rk_server_busy_count(r->forward_server) : 0;
    return r->calls_len + rk_server_busy_count(r->server) + forwarded;
}

static void on_report(void *ctx)
{
    struct rk_relay *r = ctx;
    expire_signals(r, rk_mono_ms());
    rk_relay_versions_tell_pending(r);
    rk_timer_start(r->loop, &r->report_timer, REPORT_INTERVAL_MS);
    struct rk_relay_report *report = rk_alloc(1, sizeof(*report));
    report->loads_len = rk_place_own_loads(r->place, rk_mono_ms(), &report->loads);
    fill_quota_usage(r, report);
    fill_usage_counts(r, report);
    fill_services(r, report);
    fill_canaries(r, report);
    fill_suspects(r, report);
    report->signals_len =
        rk_place_copy_signals(r->place, rk_mono_ms(), &report->signals);
    report->speeds_len = rk_place_copy_speeds(r->place, &report->speeds);
    report->only_versions_len =
        rk_relay_versions_copy_only(r, &report->only_versions);
    report->vms_in_cooldown = rk_place_cooldown_len(r->place, rk_mono_ms());
    report->vms_unreachable = rk_place_unreachable_len(r->place);
    report->quota_history_complete = rk_quota_is_complete(&r->quota, rk_mono_ms());
    report->quota_history_ms = rk_quota_history_ms(&r->quota, rk_mono_ms());
    rk_quota_report_shares(&r->quota, report->quota_history_shares, rk_mono_ms());
    report->routes_version = r->routes ? r->routes->version : 0;
    report->vms_known = r->vms_known;
    report->busy_count = busy_count(r);
    r->opt.on_report(r->opt.ctx, report);
}

/* ---- messages from control ---- */

struct message {
    struct rk_relay *r;
    struct rk_routes *routes;
    struct rk_vm_row *rows;
    size_t rows_len;
    char (*removed)[RK_ID_MAX];
    size_t removed_len;
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

static void start_accepting(void *ctx)
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
        start_accepting(r);
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
    };
    rk_server_set_limits(r->server, &limits);
    limits.header_bytes += FORWARD_HEADER_BYTES;
    limits.idle_ms = default_limits.idle_ms;
    if (r->forward_server)
        rk_server_set_limits(r->forward_server, &limits);
    rk_routes_unref(r->routes);
    r->routes = m->routes;
    rk_relay_versions_set_routes(r, r->routes);
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
    accept_if_ready(m->r);
    free(m->rows);
    free(m);
}

bool rk_relay_set_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len)
{
    if (post(r, apply_vms, &(struct message){.rows = rows, .rows_len = len}))
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
    free(m->rows);
    free(m->removed);
    free(m);
}

bool rk_relay_update_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len,
                         char (*removed)[RK_ID_MAX], size_t removed_len)
{
    const struct message m = {.rows = rows,
                              .rows_len = len,
                              .removed = removed,
                              .removed_len = removed_len};
    if (post(r, apply_vm_changes, &m))
        return true;
    free(rows);
    free(removed);
    return false;
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
    rk_relay_versions_set_peers(r, p->stream_peers, p->stream_peers_len);
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
        rk_relay_versions_vouch(m->r, &m->only_versions[i]);
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
    if (busy_count(r))
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

/* ---- create and destroy ---- */

static void on_request(void *ctx, struct rk_client *client)
{
    rk_relay_call_start(ctx, client);
}

static void on_forwarded_request(void *ctx, struct rk_client *client)
{
    if (rk_relay_versions_is_request(client)) {
        rk_relay_versions_answer(ctx, client);
        return;
    }
    rk_relay_call_start_forwarded(ctx, client);
}

static void on_client_gone(void *ctx, void *user)
{
    (void)ctx;
    if (user)
        rk_relay_call_caller_gone(user);
}

static const struct rk_server_ops server_ops = {.on_request = on_request,
                                                .on_disconnect = on_client_gone};

static const struct rk_server_ops forward_server_ops = {
    .on_request = on_forwarded_request, .on_disconnect = on_client_gone};

/* Returns false if an address can't be bound. */
static bool create_servers(struct rk_relay *r)
{
    const struct rk_relay_options *opt = &r->opt;
    struct rk_server_limits limits = default_limits;
    limits.max_clients = opt->max_clients;
    r->server =
        rk_server_create(r->loop, opt->listen_addr, &limits, &server_ops, r);
    if (!r->server || !opt->forward_addr || !opt->forward_addr[0])
        return r->server != NULL;
    limits.header_bytes += FORWARD_HEADER_BYTES;
    r->forward_server = rk_server_create(r->loop, opt->forward_addr, &limits,
                                         &forward_server_ops, r);
    return r->forward_server != NULL;
}

struct rk_relay *rk_relay_create(const struct rk_relay_options *opt)
{
    struct rk_relay *r = rk_alloc(1, sizeof(*r));
    r->opt = *opt;
    r->loop = rk_loop_create();
    if (!create_servers(r)) {
        rk_server_destroy(r->server);
        rk_loop_destroy(r->loop);
        free(r);
        return NULL;
    }
    r->upstreams = rk_upstream_pools_create(r->loop);
    r->place = rk_place_create(opt->domain, opt->seed);
    r->rng.state = opt->seed + 1;
    rk_quota_init(&r->quota, opt->bounds.quota_window_ms, opt->bounds.quota_slack,
                  opt->bounds.first_start ? 0 : rk_mono_ms());
    r->quota.overrun = opt->bounds.quota_overrun;
    r->quota.rng.state = opt->seed + 2;
    r->usage.since_ms = rk_wall_ms();
    r->quotas_restored = opt->bounds.first_start;
    r->accept_timer = (struct rk_timer){.fn = start_accepting, .ctx = r};
    rk_server_set_accepting(r->server, false);
    rk_timer_start(r->loop, &r->accept_timer, ACCEPT_DELAY_MAX_MS);
    rk_relay_probes_init(r);
    rk_relay_forwards_init(r);
    rk_relay_versions_init(r);
    r->report_timer = (struct rk_timer){.fn = on_report, .ctx = r};
    rk_timer_start(r->loop, &r->report_timer, REPORT_INTERVAL_MS);
    return r;
}

void rk_relay_destroy(struct rk_relay *r)
{
    while (r->calls)
        rk_relay_call_abort(r->calls);
    rk_relay_vm_checks_free(r);
    rk_relay_probes_free(r);
    rk_relay_forwards_free(r);
    rk_relay_versions_free(r);
    rk_server_destroy(r->server);
    rk_server_destroy(r->forward_server);
    rk_upstream_pools_destroy(r->upstreams);
    rk_place_destroy(r->place);
    rk_quota_free(&r->quota);
    rk_usage_free(&r->usage);
    rk_routes_unref(r->routes);
    rk_loop_destroy(r->loop);
    free(r);
}

void rk_relay_run(struct rk_relay *r)
{
    rk_loop_run(r->loop);
}

const char *rk_relay_addr(const struct rk_relay *r)
{
    return rk_server_addr(r->server);
}

const char *rk_relay_forward_addr(const struct rk_relay *r)
{
    return r->forward_server ? rk_server_addr(r->forward_server) : "";
}
