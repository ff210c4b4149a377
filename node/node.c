#include "node/node.h"

#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "cloud/leader_api.h"
#include "common/conn.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http.h"
#include "common/http1.h"
#include "common/latency.h"
#include "common/listen.h"
#include "common/memory.h"
#include "common/process.h"
#include "core/revision.h"
#include "node/metric_label.h"
#include "node/state.h"
#include "objects/store.h"

#define ADMIN_HEADER_BYTES 8192
#define ADMIN_IDLE_MS      10000
#define ADMIN_CLIENTS      32
#define STOP_CHECK_MS      50
#define METRICS_RETRY_MS   1000
/* Time until the load balancer in front has noticed that this node isn't ready, and
 * sends no more connections to it. */
#define BALANCER_DRAIN_MS 2600
/* After BALANCER_DRAIN_MS, time during which idle connections are closed before the
 * node may stop. */
#define IDLE_CLOSE_MS 400
/* A stop ends this long before the platform kills the process after stop_s. */
#define STOP_MARGIN_MS 700
/* Callers that still wait are answered this long before the end of a stop, so that
 * the answers are sent. */
#define ANSWER_MARGIN_MS 150
/* A stop that goes on this long before that time hangs. */
#define HANG_MARGIN_MS 400
/* Time from the end of the control loop to the end of the process. */
#define END_TIMEOUT_MS 1000

static const struct rk_server_limits admin_limits = {
    .header_bytes = ADMIN_HEADER_BYTES,
    .header_ms = ADMIN_IDLE_MS,
    .idle_ms = ADMIN_IDLE_MS,
    .max_clients = ADMIN_CLIENTS,
};

/* ---- HTTP endpoints for the load balancer and for operators ---- */

static bool has_path(struct rk_client *client, const char *path)
{
    const char *target = rk_head_target(rk_client_head(client));
    size_t len = strlen(path);
    return !strncmp(target, path, len) && (!target[len] || target[len] == '?');
}

/* Returns whether both control and the relay have routes and VMs. */
static bool is_ready(const struct rk_node *n)
{
    return rk_sync_ready(n->sync) && n->report && n->report->routes_version &&
           n->report->vms_known;
}

static void on_ready_request(void *ctx, struct rk_client *client)
{
    struct rk_node *n = ctx;
    int status = 404;
    if (has_path(client, n->platform->dialect->ready_path))
        status = is_ready(n) && !n->leaving ? 200 : 503;
    rk_client_answer(client, status, "", "", 0);
}

static void render_gauges(struct rk_node *n, struct rk_buf *out)
{
    const struct {
        const char *name;
        int64_t value;
    } gauges[] = {
        {"settings_version", n->report ? n->report->routes_version : 0},
        {"settings_age_ms", rk_sync_age_ms(n->sync)},
        {"settings_behind_ms", rk_sync_behind_ms(n->sync)},
        {"list_revision", rk_revision_number(rk_sync_list_revision(n->sync))},
        {"store_era", rk_revision_era(rk_sync_list_revision(n->sync))},
        {"nodes_heard", rk_mesh_reachable_count(n->mesh)},
        {"nodes_known", rk_mesh_total(n->mesh)},
        {"vms_listed", (int64_t)rk_sync_vms_len(n->sync)},
        {"calls_in_hand", n->report ? (int64_t)n->report->busy_count : 0},
        {"requests_stopped", (int64_t)rk_quarantines_stopped(n->quarantines)},
        {"segments_stopped",
         (int64_t)rk_quarantines_stopped_segments(n->quarantines)},
        {"vms_limited", (int64_t)rk_signals_limited(n->signals)},
        {"vms_say_leaving", (int64_t)rk_signals_leaving(n->signals)},
        {"vms_resting", n->report ? (int64_t)n->report->vms_in_cooldown : 0},
        {"vms_unreachable", n->report ? (int64_t)n->report->vms_unreachable : 0},
        {"buffered_bytes", (int64_t)rk_memory_used()},
        {"heap_bytes", (int64_t)rk_process_heap_bytes()},
        {"caller_connections", n->report ? (int64_t)n->report->connections : 0},
        {"leaving", n->leaving},
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(gauges); i++)
        rk_buf_printf(out, "# TYPE rillknot_%s gauge\nrillknot_%s %" PRId64 "\n",
                      gauges[i].name, gauges[i].name, gauges[i].value);
}

/* VMs with a speed of 100% are left out: of thousands, nearly all have it. */
static void render_speeds(const struct rk_node *n, struct rk_buf *out)
{
    const struct rk_relay_report *report = n->report;
    rk_buf_addstr(out, "# TYPE rillknot_vm_speed_pct gauge\n");
    for (size_t i = 0; report && i < report->speeds_len; i++) {
        rk_buf_addstr(out, "rillknot_vm_speed_pct{");
        rk_metric_put_label(out, "vm", report->speeds[i].vm);
        rk_buf_printf(out, "} %d\n", report->speeds[i].factor_pct);
    }
}

static void on_metrics_request(void *ctx, struct rk_client *client)
{
    struct rk_node *n = ctx;
    if (!has_path(client, "/metrics")) {
        rk_client_answer(client, 404, "", "", 0);
        return;
    }
    struct rk_buf b = {0};
    rk_counters_render(&b);
    rk_latency_render(&b);
    render_gauges(n, &b);
    render_speeds(n, &b);
    rk_rollouts_render(n->rollouts, &b);
    rk_client_answer(client, 200, "Content-Type: text/plain; version=0.0.4\r\n",
                     b.data, b.len);
    rk_buf_free(&b);
}

static void on_admin_client_gone(void *ctx, void *user)
{
    (void)ctx;
    (void)user;
}

static const struct rk_server_ops ready_ops = {
    .on_request = on_ready_request, .on_disconnect = on_admin_client_gone};
static const struct rk_server_ops metrics_ops = {
    .on_request = on_metrics_request, .on_disconnect = on_admin_client_gone};

/* ---- the relay's reports ---- */

struct report_message {
    struct rk_node *n;
    struct rk_relay_report *report;
};

static void apply_report(void *ctx)
{
    struct report_message *m = ctx;
    struct rk_node *n = m->n;
    if (n->report)
        rk_relay_report_free(n->report);
    n->report = m->report;
    for (size_t i = 0; i < n->report->usage_len; i++)
        rk_usage_merge(&n->usage, &n->report->usage[i]);
    rk_quarantines_merge(n->quarantines, n->report->suspects,
                         n->report->suspects_len, true);
    rk_signals_merge(n->signals, n->report->signals, n->report->signals_len);
    rk_signals_tick(n->signals);
    rk_stream_records_tick(n->stream_records, n->report);
    rk_mesh_schedule_report(n->mesh);
    free(m);
}

/* On the relay's thread. */
static void on_report(void *ctx, struct rk_relay_report *report)
{
    struct report_message *m = rk_alloc(1, sizeof(*m));
    *m = (struct report_message){.n = ctx, .report = report};
    if (rk_loop_post(m->n->loop, apply_report, m))
        return;
    /* The control loop's queue is full. The next report includes all of this. */
    rk_relay_report_free(report);
    free(m);
}

static void check_store(void *ctx)
{
    struct rk_node *n = ctx;
    rk_sync_check_store(n->sync);
}

/* On the relay's thread. A question that is not sent is given up by its asker. */
static void on_check_wanted(void *ctx)
{
    struct rk_node *n = ctx;
    rk_loop_post(n->loop, check_store, n);
}

/* ---- planned stop ---- */

static void on_node_removed(void *ctx, enum rk_status st,
                            const struct rk_store_object *o)
{
    (void)ctx;
    (void)st;
    (void)o;
}

static void finish_stop(struct rk_node *n)
{
    RK_EVENT("node.stopped",
             RK_N("in_hand", n->report ? (int64_t)n->report->busy_count : 0),
             RK_N("took_ms", rk_mono_ms() - n->leaving_since_ms));
    atomic_store(&n->stopped_ms, rk_mono_ms());
    rk_relay_stop(n->relay);
    rk_loop_stop(n->loop);
}

static void handle_stopped(void *ctx)
{
    finish_stop(ctx);
}

/* On the relay's thread. */
static void on_stopped(void *ctx)
{
    struct rk_node *n = ctx;
    rk_loop_post(n->loop, handle_stopped, n);
}

/* Returns the longest duration of a stop, in ms. */
static int64_t stop_limit_ms(const struct rk_node *n)
{
    return rk_s_to_ms(n->file.stop_s) - STOP_MARGIN_MS;
}

static void on_stop_check(void *ctx)
{
    struct rk_node *n = ctx;
    int64_t elapsed_ms = rk_mono_ms() - n->leaving_since_ms;
    if (elapsed_ms >= stop_limit_ms(n)) {
        finish_stop(n);
        return;
    }
    bool ends_now = elapsed_ms >= stop_limit_ms(n) - ANSWER_MARGIN_MS;
    if (ends_now)
        rk_relay_end_calls(n->relay);
    if (ends_now || elapsed_ms >= BALANCER_DRAIN_MS)
        rk_relay_close_idle_clients(n->relay);
    if (ends_now || elapsed_ms >= BALANCER_DRAIN_MS + IDLE_CLOSE_MS)
        rk_relay_stop_if_idle(n->relay);
    rk_timer_start(n->loop, &n->stop, STOP_CHECK_MS);
}

static void begin_stop(void *ctx)
{
    struct rk_node *n = ctx;
    if (n->leaving)
        return;
    n->leaving = true;
    n->leaving_since_ms = rk_mono_ms();
    RK_EVENT("node.leaving", RK_N("notice_ms", rk_s_to_ms(n->file.stop_s)));
    rk_relay_begin_stop(n->relay, stop_limit_ms(n) - ANSWER_MARGIN_MS);
    rk_mesh_schedule_report(n->mesh);
    n->store->ops->remove(n->store, "rillknot-nodes", n->file.id, on_node_removed,
                          n);
    rk_timer_start(n->loop, &n->stop, STOP_CHECK_MS);
}

void rk_node_begin_stop(struct rk_node *n)
{
    atomic_store(&n->stop_requested_ms, rk_mono_ms());
    rk_loop_post(n->loop, begin_stop, n);
}

bool rk_node_stop_hangs(const struct rk_node *n)
{
    int64_t now_ms = rk_mono_ms();
    int64_t requested_ms = atomic_load(&n->stop_requested_ms);
    int64_t stopped_ms = atomic_load(&n->stopped_ms);
    int64_t limit_ms = atomic_load(&n->stop_ms) - HANG_MARGIN_MS;
    return (requested_ms && now_ms - requested_ms >= limit_ms) ||
           (stopped_ms && now_ms - stopped_ms >= END_TIMEOUT_MS);
}

/* Returns the retry budget in percent of the calls. */
static int64_t retry_pct(const struct rk_procfile *file)
{
    return (int64_t)(file->retry_ratio * 100);
}

static struct rk_relay_bounds relay_bounds(const struct rk_procfile *file)
{
    return (struct rk_relay_bounds){
        .retry_pct = retry_pct(file),
        .retry_burst = (int64_t)file->retry_burst,
        .quota_window_ms = rk_s_to_ms(file->quota_window_s),
        .quota_slack = file->quota_slack,
        .quota_overrun = file->quota_overrun,
        .usage_window_ms = rk_s_to_ms(file->usage_window_s),
        .first_start = file->first_start};
}

struct reload_message {
    struct rk_node *n;
    struct rk_procfile file;
};

static void apply_reload(void *ctx)
{
    struct reload_message *m = ctx;
    struct rk_procfile *file = &m->n->file;
    file->stop_s = m->file.stop_s;
    atomic_store(&m->n->stop_ms, rk_s_to_ms(file->stop_s));
    file->usage_late_s = m->file.usage_late_s;
    file->lease_ms = m->file.lease_ms;
    file->quota_slack = m->file.quota_slack;
    file->quota_overrun = m->file.quota_overrun;
    file->retry_ratio = m->file.retry_ratio;
    file->retry_burst = m->file.retry_burst;
    struct rk_relay_bounds bounds = relay_bounds(file);
    rk_relay_set_bounds(m->n->relay, &bounds);
    RK_EVENT("node.reloaded", RK_N("stop_ms", rk_s_to_ms(file->stop_s)),
             RK_N("retry_pct", retry_pct(file)),
             RK_N("quota_slack", (int64_t)file->quota_slack));
    free(m);
}

void rk_node_reload(struct rk_node *n, const struct rk_procfile *file)
{
    struct reload_message *m = rk_alloc(1, sizeof(*m));
    *m = (struct reload_message){.n = n, .file = *file};
    if (!rk_loop_post(n->loop, apply_reload, m))
        free(m);
}

/* ---- creation ---- */

enum listener { LISTEN_CALLERS, LISTEN_CONTROL, LISTEN_READY, LISTEN_FORWARD };
#define LISTENERS_LEN (LISTEN_FORWARD + 1)

static void create_relay(struct rk_node *n, const struct rk_listen_socket *sockets)
{
    const struct rk_procfile *f = &n->file;
    const struct rk_resources *resources = &n->resources;
    struct rk_relay_options opt = {
        .dialect = n->platform->dialect,
        .listen_fd = sockets[LISTEN_CALLERS].fd,
        .forward_fd = sockets[LISTEN_FORWARD].fd,
        .node_hash = n->hash,
        .seed = rk_rng_next(&n->rng),
        .max_clients = resources->callers,
        .max_forward_clients = resources->forwards,
        .buffer_bytes = (size_t)resources->buffer_bytes,
        .bounds = relay_bounds(f),
        .on_report = on_report,
        .on_check_wanted = on_check_wanted,
        .on_stopped = on_stopped,
        .ctx = n,
    };
    rk_strcpy(opt.domain, sizeof(opt.domain), f->failure_domain);
    rk_memory_set_budget((size_t)resources->buffer_bytes);
    rk_conn_set_linger_max(resources->lingering);
    n->relay = rk_relay_create(&opt);
}

static bool create_metrics_server(struct rk_node *n)
{
    enum rk_status st;
    int fd = rk_listen_open(n->file.metrics_listen, &st);
    if (fd < 0)
        return false;
    n->metrics_server =
        rk_server_create(n->loop, fd, &admin_limits, &metrics_ops, n);
    return true;
}

static void on_metrics_retry(void *ctx)
{
    struct rk_node *n = ctx;
    if (create_metrics_server(n))
        RK_EVENT("listener.free", RK_S("listener", "metrics"),
                 RK_S("addr", rk_server_addr(n->metrics_server)),
                 RK_N("waited_ms", rk_mono_ms() - n->started_ms));
    else
        rk_timer_start(n->loop, &n->metrics_retry, METRICS_RETRY_MS);
}

/* A node serves without its metrics. */
static void start_metrics(struct rk_node *n)
{
    if (!n->file.metrics_listen[0] || create_metrics_server(n))
        return;
    RK_WARN("listener.waiting", RK_S("listener", "metrics"),
            RK_S("addr", n->file.metrics_listen), RK_S("why", rk_last_error()));
    rk_timer_start(n->loop, &n->metrics_retry, METRICS_RETRY_MS);
}

static uint64_t random_seed(void)
{
    uint64_t seed = (uint64_t)rk_wall_ms() ^ (uint64_t)rk_mono_us() << 20;
    FILE *f = fopen("/dev/urandom", "rb");
    if (!f)
        return seed;
    uint64_t noise = 0;
    if (fread(&noise, sizeof(noise), 1, f) == 1)
        seed ^= noise;
    fclose(f);
    return seed;
}

static void create_components(struct rk_node *n,
                              const struct rk_listen_socket *sockets)
{
    n->loop = rk_loop_create();
    n->http = rk_http_create(n->loop);
    n->store = n->platform->create_store(n->http, n->file.platform);
    n->leader_api = n->platform->create_leader_api(n->http, n->file.cloud);
    n->sync = rk_sync_create(n);
    n->persist = rk_persist_create(n);
    n->rollouts = rk_rollouts_create(n);
    n->quarantines = rk_quarantines_create(n);
    n->stream_records = rk_stream_records_create(n);
    n->signals = rk_signals_create(n);
    n->leader = rk_leader_create(n);
    create_relay(n, sockets);
    n->mesh = rk_mesh_create(n, sockets[LISTEN_CONTROL].fd);
    n->ready_server = rk_server_create(n->loop, sockets[LISTEN_READY].fd,
                                       &admin_limits, &ready_ops, n);
    start_metrics(n);
}

static enum rk_status listen_all(const struct rk_procfile *file,
                                 struct rk_listen_socket sockets[LISTENERS_LEN])
{
    const struct rk_listen_socket all[LISTENERS_LEN] = {
        [LISTEN_CALLERS] = {.name = "callers", .addr = file->listen},
        [LISTEN_CONTROL] = {.name = "control", .addr = file->control_listen},
        [LISTEN_READY] = {.name = "ready", .addr = file->ready_listen},
        [LISTEN_FORWARD] = {
            .name = "forward", .addr = file->forward_listen, .fd = -1}};
    memcpy(sockets, all, sizeof(all));
    size_t len = file->forward_listen[0] ? LISTENERS_LEN : LISTEN_FORWARD;
    return rk_listen_wait(sockets, len,
                          rk_listen_deadline_ms(rk_s_to_ms(file->stop_s)));
}

enum rk_status rk_node_create(const struct rk_procfile *file, struct rk_node **out)
{
    const struct rk_platform *platform = rk_platform_find(file->dialect);
    if (!platform)
        return rk_fail(RK_EINVAL, "/dialect: expected a known platform, not '%s'",
                       file->dialect);
    struct rk_listen_socket sockets[LISTENERS_LEN];
    enum rk_status st = listen_all(file, sockets);
    if (st != RK_OK)
        return st;
    struct rk_node *n = rk_alloc(1, sizeof(*n));
    n->file = *file;
    n->resources = rk_resources_get(file);
    atomic_store(&n->stop_ms, rk_s_to_ms(file->stop_s));
    n->platform = platform;
    n->rng.state = random_seed();
    n->incarnation = rk_rng_next(&n->rng);
    n->hash = rk_hash(n->incarnation, file->id, strlen(file->id));
    n->started_ms = rk_mono_ms();
    n->stop = (struct rk_timer){.fn = on_stop_check, .ctx = n};
    n->metrics_retry = (struct rk_timer){.fn = on_metrics_retry, .ctx = n};
    create_components(n, sockets);
    *out = n;
    return RK_OK;
}

void rk_node_destroy(struct rk_node *n)
{
    rk_timer_stop(n->loop, &n->stop);
    rk_timer_stop(n->loop, &n->metrics_retry);
    rk_server_destroy(n->ready_server);
    rk_server_destroy(n->metrics_server);
    rk_relay_destroy(n->relay);
    rk_http_destroy(n->http);
    rk_mesh_destroy(n->mesh);
    rk_leader_destroy(n->leader);
    rk_persist_destroy(n->persist);
    rk_rollouts_destroy(n->rollouts);
    rk_quarantines_destroy(n->quarantines);
    rk_stream_records_destroy(n->stream_records);
    rk_signals_destroy(n->signals);
    rk_sync_destroy(n->sync);
    n->leader_api->ops->destroy(n->leader_api);
    n->store->ops->destroy(n->store);
    if (n->report)
        rk_relay_report_free(n->report);
    rk_usage_free(&n->usage);
    rk_loop_destroy(n->loop);
    free(n);
}

static void *run_relay(void *arg)
{
    rk_relay_run(arg);
    return NULL;
}

static void log_started(struct rk_node *n)
{
    const struct rk_resources *r = &n->resources;
    int64_t address_space = r->address_space_limit;
    const char *metrics =
        n->metrics_server ? rk_server_addr(n->metrics_server) : "";
    RK_EVENT(
        "node.started", RK_S("listen", rk_relay_addr(n->relay)),
        RK_S("ready", rk_server_addr(n->ready_server)),
        RK_S("control", rk_mesh_addr(n->mesh)),
        RK_S("control_bound", rk_mesh_bound(n->mesh)),
        RK_S("forward", rk_relay_forward_addr(n->relay)), RK_S("metrics", metrics),
        RK_N("first_start", n->file.first_start),
        RK_N("descriptors", r->descriptor_limit),
        RK_N("address_space_kb", address_space < 0 ? -1 : address_space / 1024),
        RK_N("cpu_share_pct", (int64_t)(n->file.cpu_share * 100)),
        RK_N("stop_ms", rk_s_to_ms(n->file.stop_s)));
}

static void log_resources(const struct rk_node *n)
{
    const struct rk_resources *r = &n->resources;
    RK_EVENT("node.resources", RK_N("descriptors", r->descriptors),
             RK_N("callers", r->callers), RK_N("forwards", r->forwards),
             RK_N("buffer_bytes", r->buffer_bytes));
}

enum rk_status rk_node_run(struct rk_node *n)
{
    pthread_t traffic;
    enum rk_status st =
        rk_process_start_thread(&traffic, "relay", run_relay, n->relay);
    if (st != RK_OK)
        return st;
    log_started(n);
    log_resources(n);
    rk_read_delay_start(n);
    rk_persist_start(n->persist);
    rk_quarantines_start(n->quarantines);
    rk_stream_records_start(n->stream_records);
    rk_sync_start(n->sync);
    rk_mesh_start(n->mesh);
    rk_leader_start(n->leader);
    rk_loop_run(n->loop);
    pthread_join(traffic, NULL);
    return RK_OK;
}
