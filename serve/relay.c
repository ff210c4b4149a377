#include "serve/relay.h"

#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/conn.h"
#include "common/eventlog.h"
#include "common/memory.h"
#include "serve/relay_call.h"
#include "services/upstream.h"

#define REPORT_INTERVAL_MS  200
#define ACCEPT_DELAY_MAX_MS 400 /* longest delay of new connections at start */
#define USAGE_WINDOWS_KEPT  6   /* reported besides the current one */
/* Eighths of the buffers' budget that requests which are not whole may hold: of
 * callers and, one, of peers. Half is left for calls in flight. */
#define UNFINISHED_SHARES        8
#define UNFINISHED_CALLER_SHARES 3
/* Of a size as large as the budget, for what the kernel holds unread. */
#define UNREAD_SHARES        4
#define UNREAD_CALLER_SHARES 3
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
    free(r->stream_record);
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

size_t rk_relay_busy_count(const struct rk_relay *r)
{
    size_t forwarded =
        r->forward_server ? rk_server_busy_count(r->forward_server) : 0;
    return r->calls_len + rk_server_busy_count(r->server) + forwarded +
           rk_conn_flushing_count();
}

static void on_report(void *ctx)
{
    struct rk_relay *r = ctx;
    rk_place_sweep(r->place);
    expire_signals(r, rk_mono_ms());
    rk_relay_versions_tell_pending(r);
    rk_timer_start(r->loop, &r->report_timer, REPORT_INTERVAL_MS);
    struct rk_relay_report *report = rk_alloc(1, sizeof(*report));
    report->loads_len = rk_place_own_loads(r->place, rk_mono_ms(), &report->loads);
    fill_quota_usage(r, report);
    fill_usage_counts(r, report);
    fill_services(r, report);
    fill_canaries(r, report);
    if (rk_quarantine_judge_segments(&r->quarantine, rk_mono_ms()))
        rk_relay_cancel_quarantined(r);
    fill_suspects(r, report);
    report->signals_len =
        rk_place_copy_signals(r->place, rk_mono_ms(), &report->signals);
    report->speeds_len = rk_place_copy_speeds(r->place, &report->speeds);
    report->only_versions_len =
        rk_relay_versions_copy_only(r, &report->only_versions);
    report->stream_record = rk_relay_versions_record(r);
    report->vms_in_cooldown = rk_place_cooldown_len(r->place, rk_mono_ms());
    report->vms_unreachable = rk_place_unreachable_len(r->place);
    report->quota_history_complete = rk_quota_is_complete(&r->quota, rk_mono_ms());
    report->quota_history_ms = rk_quota_history_ms(&r->quota, rk_mono_ms());
    rk_quota_report_shares(&r->quota, report->quota_history_shares, rk_mono_ms());
    report->routes_version = r->routes ? r->routes->version : 0;
    report->vms_known = r->vms_known;
    report->vms_revision = r->vms_revision;
    report->busy_count = rk_relay_busy_count(r);
    report->connections = rk_server_client_count(r->server);
    rk_memory_log_changes();
    r->opt.on_report(r->opt.ctx, report);
}

/* ---- create and destroy ---- */

static void on_request(void *ctx, struct rk_client *client)
{
    rk_relay_call_start(ctx, client);
}

static bool on_head(void *ctx, struct rk_client *client)
{
    return rk_relay_call_accept_head(ctx, client);
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

static void on_client_drained(void *ctx, void *user)
{
    (void)ctx;
    if (user)
        rk_relay_call_resume_reading(user);
}

static const struct rk_server_ops server_ops = {.on_head = on_head,
                                                .on_request = on_request,
                                                .on_disconnect = on_client_gone,
                                                .on_drained = on_client_drained};

static const struct rk_server_ops forward_server_ops = {
    .on_request = on_forwarded_request,
    .on_disconnect = on_client_gone,
    .on_drained = on_client_drained};

size_t rk_relay_unread_max(const struct rk_relay *r, bool forwarded)
{
    size_t share = r->opt.buffer_bytes / UNREAD_SHARES;
    return forwarded ? share : (UNREAD_CALLER_SHARES * share);
}

size_t rk_relay_unfinished_max(const struct rk_relay *r, bool forwarded)
{
    size_t share = r->opt.buffer_bytes / UNFINISHED_SHARES;
    return forwarded ? share : (UNFINISHED_CALLER_SHARES * share);
}

static void create_servers(struct rk_relay *r)
{
    const struct rk_relay_options *opt = &r->opt;
    struct rk_server_limits limits = default_limits;
    limits.max_clients = opt->max_clients;
    limits.unfinished_bytes = rk_relay_unfinished_max(r, false);
    limits.unread_bytes = rk_relay_unread_max(r, false);
    r->server = rk_server_create(r->loop, opt->listen_fd, &limits, &server_ops, r);
    if (opt->forward_fd < 0)
        return;
    limits.header_bytes += RK_FORWARD_HEADER_BYTES;
    limits.max_clients = INT_MAX; /* see has_room_for_forwarded() */
    limits.unfinished_bytes = rk_relay_unfinished_max(r, true);
    limits.unread_bytes = rk_relay_unread_max(r, true);
    r->forward_server =
        rk_server_create(r->loop, opt->forward_fd, &limits, &forward_server_ops, r);
}

struct rk_relay *rk_relay_create(const struct rk_relay_options *opt)
{
    struct rk_relay *r = rk_alloc(1, sizeof(*r));
    r->opt = *opt;
    r->loop = rk_loop_create();
    create_servers(r);
    r->upstreams = rk_upstream_pools_create(r->loop);
    r->place = rk_place_create(opt->domain, opt->seed);
    r->rng.state = opt->seed + 1;
    r->quarantine.started_ms = rk_mono_ms();
    rk_quota_init(&r->quota, opt->bounds.quota_window_ms, opt->bounds.quota_slack,
                  opt->bounds.first_start ? 0 : rk_mono_ms());
    r->quota.overrun = opt->bounds.quota_overrun;
    r->quota.rng.state = opt->seed + 2;
    r->usage.since_ms = rk_wall_ms();
    r->quotas_restored = opt->bounds.first_start;
    r->accept_timer = (struct rk_timer){.fn = rk_relay_start_accepting, .ctx = r};
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
    free(r->services);
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
