/* rillknot-entry: the process of an entry node. Traffic threads accept callers'
 * requests, forward them to upstreams and answer them. The main thread runs the
 * control loop. A signal thread waits for SIGTERM or SIGINT and then carries out
 * the planned stop. */
#include <argp.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "callers/callers.h"
#include "common/eventlog.h"
#include "common/listen.h"
#include "common/loop.h"
#include "common/process.h"
#include "common/stderr.h"
#include "common/util.h"
#include "control/control.h"
#include "core/procfile.h"
#include "serve/traffic.h"
#include "serve/view.h"

#define IDLE_TIMEOUT_S    20
#define UPLOAD_TIMEOUT_MS 20000
#define MAX_PENDING_BYTES (1024 * 1024)
#define DRAIN_POLL_MS     50
#define FORWARDS_POLL_MS  2
#define ID_PREFIX_LEN     24 /* most characters of the node's id in request ids */
/* A stopping node reports "leaving" at /health for at least this long, and waits
 * until no call has been in flight for this long, so that the external balancer
 * notices. */
#define MIN_LEAVING_MS 500
/* Resumable streams are ended this long before the notice time is over, so that
 * callers can resume them at another node. */
#define HANDOVER_LEAD_MS 1000
/* Callers that still wait are answered this long before the notice time is over, so
 * that their answers can be sent. */
#define ANSWER_MARGIN_MS 150

struct worker {
    pthread_t thread;
    struct rk_traffic *traffic;
    struct rk_frontend *callers;
    char id_prefix[RK_ID_MAX];
    /* Calls in flight and responses not yet written in full, as last counted by the
     * traffic thread. A call may be counted twice. */
    _Atomic size_t in_flight;
    _Atomic bool refuses_forwards;
};

struct node {
    struct rk_procfile file;
    struct rk_view_cell *views;
    struct rk_control *control;
    struct worker workers[RK_MAX_TRAFFIC_THREADS];
    size_t workers_len;
};

static struct {
    const char *procfile;
    enum rk_route_policy policy;
    enum rk_log_level level;
} args = {.level = RK_LOG_INFO};

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'q':
        args.level = RK_LOG_WARN;
        return 0;
    case 'r':
        if (!rk_route_policy_parse(arg, &args.policy))
            argp_error(state, "unknown routing policy '%s'", arg);
        return 0;
    case ARGP_KEY_ARG:
        if (args.procfile)
            argp_usage(state);
        args.procfile = arg;
        return 0;
    case ARGP_KEY_END:
        if (!args.procfile)
            argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"quiet", 'q', NULL, 0, "Log warnings and errors only", 0},
    {"routing", 'r', "POLICY", 0,
     "adaptive (default), or a baseline to measure against: round-robin, "
     "least-loaded, sticky",
     0},
    {0},
};

static const struct argp argp = {
    options,
    parse_opt,
    "SETTINGS-FILE",
    "Take calls, route them to upstreams, and answer them.\v"
    "SETTINGS-FILE says who this process is and where it listens. Events go to "
    "standard output, a JSON object per line. SIGTERM begins a planned stop.",
    0,
    0,
    0};

static void *run_worker(void *arg)
{
    struct worker *w = arg;
    rk_traffic_run(w->traffic);
    return NULL;
}

/* Falls back to the time and a stack address if /dev/urandom can't be read. */
static uint64_t random_seed(void)
{
    uint64_t seed = (uint64_t)rk_wall_ms() ^ (uint64_t)(uintptr_t)&seed;
    FILE *f = fopen("/dev/urandom", "rb");
    if (f) {
        if (fread(&seed, sizeof(seed), 1, f) != 1)
            seed ^= 1;
        fclose(f);
    }
    return seed;
}

/* ---- planned stop ---- */

/* Runs on the traffic thread. */
static void update_in_flight(void *ctx)
{
    struct worker *w = ctx;
    atomic_store(&w->in_flight, rk_traffic_in_flight(w->traffic) +
                                    rk_frontend_active_requests(w->callers));
}

/* Runs on the traffic thread. */
static void hand_over_streams(void *ctx)
{
    struct worker *w = ctx;
    rk_traffic_end_resumable_streams(w->traffic);
}

/* Runs on the traffic thread. */
static void refuse_forwards(void *ctx)
{
    struct worker *w = ctx;
    rk_traffic_refuse_forwards(w->traffic);
    update_in_flight(w);
    atomic_store(&w->refuses_forwards, true);
}

/* Runs on the traffic thread. */
static void end_calls(void *ctx)
{
    struct worker *w = ctx;
    rk_traffic_end_calls(w->traffic);
}

static void post_to_all(struct node *n, void (*fn)(void *ctx))
{
    for (size_t i = 0; i < n->workers_len; i++)
        rk_loop_post(n->workers[i].traffic->loop, fn, &n->workers[i]);
}

/* Returns the sum of the threads' last counts, and requests a new count from each
 * thread. */
static size_t total_in_flight(struct node *n)
{
    size_t in_flight = 0;
    for (size_t i = 0; i < n->workers_len; i++) {
        rk_loop_post(n->workers[i].traffic->loop, update_in_flight, &n->workers[i]);
        in_flight += atomic_load(&n->workers[i].in_flight);
    }
    return in_flight;
}

static void sleep_ms(int64_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&ts, NULL);
}

static bool all_refuse_forwards(struct node *n)
{
    for (size_t i = 0; i < n->workers_len; i++)
        if (!atomic_load(&n->workers[i].refuses_forwards))
            return false;
    return true;
}

/* Steps of a planned stop that have been taken. */
struct stop_steps {
    bool streams_handed_over, calls_ended, forwards_refused;
};

/* Shortly before the notice time is over, ends resumable streams, so that callers
 * resume them at another node, and then all other calls. */
static void end_late_calls(struct node *n, struct stop_steps *done, int64_t left_ms)
{
    if (!done->streams_handed_over && left_ms < HANDOVER_LEAD_MS) {
        done->streams_handed_over = true;
        post_to_all(n, hand_over_streams);
    }
    if (!done->calls_ended && left_ms < ANSWER_MARGIN_MS) {
        done->calls_ended = true;
        post_to_all(n, end_calls);
    }
}

/* Drains the node. Health reports "leaving", but new calls are still served. Once
 * no call has been in flight for MIN_LEAVING_MS, calls of peers, which may not know
 * yet that this node leaves, are refused, and those that came since the last count
 * are waited for: an exit amid a claim would leave its key in doubt. Returns at the
 * latest when the notice time is over. */
static void planned_stop(struct node *n)
{
    int64_t start_ms = rk_mono_ms(), end_ms = start_ms + n->file.notice_ms;
    int64_t now_ms, idle_since_ms = start_ms;
    struct stop_steps done = {0};
    RK_EVENT("node.leaving", RK_N("notice_ms", n->file.notice_ms));
    rk_control_leave(n->control);
    for (size_t i = 0; i < n->workers_len; i++)
        atomic_store(&n->workers[i].in_flight, 1);
    while ((now_ms = rk_mono_ms()) < end_ms) {
        /* Counts from before the refusals say nothing. */
        bool counts_are_final = all_refuse_forwards(n);
        if (total_in_flight(n))
            idle_since_ms = now_ms;
        else if (counts_are_final)
            break;
        if (!done.forwards_refused && now_ms - idle_since_ms >= MIN_LEAVING_MS) {
            done.forwards_refused = true;
            post_to_all(n, refuse_forwards);
        }
        end_late_calls(n, &done, end_ms - now_ms);
        sleep_ms(done.forwards_refused ? FORWARDS_POLL_MS : DRAIN_POLL_MS);
    }
    RK_EVENT("node.stopped", RK_N("in_hand", (int64_t)total_in_flight(n)),
             RK_N("took_ms", rk_mono_ms() - start_ms));
}

static void *run_signal_thread(void *arg)
{
    struct node *n = arg;
    rk_process_wait_stop_signal();
    planned_stop(n);
    for (size_t i = 0; i < n->workers_len; i++)
        rk_loop_stop(n->workers[i].traffic->loop);
    for (size_t i = 0; i < n->workers_len; i++)
        pthread_join(n->workers[i].thread, NULL);
    rk_control_stop(n->control);
    return NULL;
}

/* ---- start ---- */

/* Returns addr, or any free port on loopback if addr is empty. */
static const char *addr_or_any(const char *addr)
{
    return addr[0] ? addr : "127.0.0.1:0";
}

static void create_control(struct node *n, int listen_fd, uint64_t seed)
{
    struct rk_control_options opt = {
        .rng_seed = seed, .view_cell = n->views, .listen_fd = listen_fd};
    const char *forward_addr = rk_traffic_forward_addr(n->workers[0].traffic);
    const struct rk_procfile *f = &n->file;
    rk_strcpy(opt.id, sizeof(opt.id), f->id);
    rk_strcpy(opt.domain, sizeof(opt.domain), f->failure_domain);
    rk_strcpy(opt.platform, sizeof(opt.platform), f->platform);
    rk_strcpy(opt.control_advertise, RK_ADDR_MAX, f->control_advertise);
    rk_strcpy(opt.forward_advertise, RK_ADDR_MAX,
              f->forward_advertise[0] ? f->forward_advertise : forward_addr);
    memcpy(opt.seeds, f->peers, sizeof(opt.seeds));
    opt.seeds_len = f->peers_len;
    n->control = rk_control_create(&opt);
}

static bool create_worker(struct node *n, size_t i, int listen_fd, int forward_fd,
                          uint64_t seed)
{
    struct worker *w = &n->workers[i];
    const struct rk_traffic_options opt = {.index = (unsigned)i,
                                           .forward_fd = forward_fd,
                                           .seed = seed,
                                           .policy = args.policy,
                                           .views = n->views};
    w->traffic = rk_traffic_create(&opt);
    /* The time, modulo 2^24 ms, keeps request ids from repeating after a restart.
     */
    char id[ID_PREFIX_LEN + 1];
    rk_strcpy(id, sizeof(id), n->file.id);
    snprintf(w->id_prefix, sizeof(w->id_prefix), "%s-%x%u", id,
             (unsigned)(rk_wall_ms() & 0xffffff), (unsigned)i);
    const struct rk_frontend_options caller_opt = {
        .listen_fd = listen_fd,
        .id_prefix = w->id_prefix,
        .max_body = (size_t)n->file.max_body,
        .max_connections = (unsigned)n->file.max_connections,
        .idle_timeout_s = IDLE_TIMEOUT_S,
        .max_upload_ms = UPLOAD_TIMEOUT_MS,
        .max_response_buffer = MAX_PENDING_BYTES,
    };
    w->callers = rk_frontend_create(w->traffic, &caller_opt);
    if (!w->callers)
        return false;
    n->workers_len++;
    return true;
}

enum listener { LISTEN_CALLERS, LISTEN_FORWARD, LISTEN_CONTROL, LISTENERS_LEN };

static enum rk_status listen_all(const struct rk_procfile *f,
                                 struct rk_listen_socket sockets[LISTENERS_LEN])
{
    const struct rk_listen_socket all[LISTENERS_LEN] = {
        [LISTEN_CALLERS] = {.name = "callers", .addr = addr_or_any(f->listen)},
        [LISTEN_FORWARD] = {.name = "forward",
                            .addr = addr_or_any(f->forward_listen)},
        [LISTEN_CONTROL] = {.name = "control",
                            .addr = addr_or_any(f->control_listen)}};
    memcpy(sockets, all, sizeof(all));
    return rk_listen_wait(sockets, LISTENERS_LEN,
                          rk_listen_deadline_ms(f->notice_ms));
}

/* The first thread gets the sockets; each other one opens its own beside them. */
static bool create_workers(struct node *n, const struct rk_listen_socket *sockets,
                           uint64_t seed)
{
    int listen_fd = sockets[LISTEN_CALLERS].fd;
    int forward_fd = sockets[LISTEN_FORWARD].fd;
    if (!create_worker(n, 0, listen_fd, forward_fd, seed))
        return false;
    for (size_t i = 1; i < (size_t)n->file.traffic_threads; i++) {
        int own_listen_fd = rk_listen_open_shared(listen_fd);
        int own_forward_fd = rk_listen_open_shared(forward_fd);
        if (own_listen_fd < 0 || own_forward_fd < 0 ||
            !create_worker(n, i, own_listen_fd, own_forward_fd, seed))
            return false;
    }
    return true;
}

static void log_listening(struct node *n, int listen_fd)
{
    char addr[RK_ADDR_MAX];
    rk_listen_addr(listen_fd, addr);
    RK_EVENT("listening", RK_N("port", strtol(strrchr(addr, ':') + 1, NULL, 10)),
             RK_S("control", rk_control_addr(n->control)),
             RK_S("forward", rk_traffic_forward_addr(n->workers[0].traffic)));
}

static enum rk_status create_node(struct node *n)
{
    uint64_t seed = random_seed();
    struct rk_listen_socket sockets[LISTENERS_LEN];
    enum rk_status st = listen_all(&n->file, sockets);
    if (st != RK_OK)
        return st;
    n->views = rk_view_cell_create();
    if (!create_workers(n, sockets, seed))
        return RK_ESYSTEM;
    create_control(n, sockets[LISTEN_CONTROL].fd, seed);
    struct rk_traffic *traffic[RK_MAX_TRAFFIC_THREADS];
    for (size_t i = 0; i < n->workers_len; i++) {
        traffic[i] = n->workers[i].traffic;
        traffic[i]->opt.claims = rk_control_claim_port(n->control);
    }
    rk_control_set_traffic(n->control, traffic, n->workers_len);
    log_listening(n, sockets[LISTEN_CALLERS].fd);
    return RK_OK;
}

/* Returns false if the system doesn't create one of them. */
static bool start_threads(struct node *n, pthread_t *signal_thread)
{
    for (size_t i = 0; i < n->workers_len; i++)
        if (rk_process_start_thread(&n->workers[i].thread, "traffic", run_worker,
                                    &n->workers[i]) != RK_OK)
            return false;
    return rk_process_start_thread(signal_thread, "signal", run_signal_thread, n) ==
           RK_OK;
}

static void destroy_node(struct node *n)
{
    for (size_t i = 0; i < n->workers_len; i++) {
        rk_view_enter(n->workers[i].traffic->views);
        rk_frontend_destroy(n->workers[i].callers);
        rk_view_leave(n->workers[i].traffic->views);
        rk_traffic_destroy(n->workers[i].traffic);
    }
    rk_control_destroy(n->control);
    rk_view_cell_destroy(n->views);
}

int main(int argc, char **argv)
{
    rk_process_open_standard_files();
    rk_stderr_init();
    rk_process_ignore_write_signals();
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    static struct node n;
    if (rk_procfile_load(args.procfile, NULL, &n.file) != RK_OK) {
        rk_stderr_printf("rillknot-entry: %s\n", rk_last_error());
        return 2;
    }
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    /* The "listening" event is logged even with --quiet: it carries the ports. */
    rk_log_init(n.file.id, n.file.failure_domain, RK_LOG_INFO);
    rk_procfile_log_problems(&n.file, args.procfile);
    enum rk_status st = rk_process_prepare_stack();
    if (st == RK_OK)
        st = create_node(&n);
    if (st != RK_OK) {
        rk_stderr_printf("rillknot-entry: %s\n", rk_last_error());
        rk_log_flush();
        return st == RK_EGONE ? 0 : 1; /* RK_EGONE: told to stop */
    }
    rk_log_set_level(args.level);
    rk_control_start(n.control);
    pthread_t signal_thread;
    if (!start_threads(&n, &signal_thread)) {
        rk_stderr_printf("rillknot-entry: %s\n", rk_last_error());
        rk_log_flush();
        rk_process_end(1);
    }
    rk_control_run(n.control);
    pthread_join(signal_thread, NULL);
    destroy_node(&n);
    rk_log_shutdown();
    rk_process_end(0);
}
