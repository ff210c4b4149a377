/* rillknot-node: the process of an entry node in a deployment whose routes, VM list
 * and leader duties are held by the users' platform. The main thread runs the
 * control loop and a second thread the traffic. A third waits for signals and polls
 * the process file for changes. */
#include <argp.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "common/eventlog.h"
#include "common/process.h"
#include "common/stack_dump.h"
#include "common/status.h"
#include "core/procfile.h"
#include "node/node.h"

#define PROCFILE_VARIABLE "RILLKNOT_CONFIG"
#define PROCFILE_POLL_S   2 /* interval between checks for a changed process file */
#define STOP_POLL_US      (100 * 1000) /* between checks whether a stop hangs */

static struct {
    const char *procfile;
    enum rk_log_level level;
    bool check;
} args = {.level = RK_LOG_INFO};

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'q':
        args.level = RK_LOG_WARN;
        return 0;
    case 'c':
        args.check = true;
        return 0;
    case ARGP_KEY_ARG:
        if (args.procfile)
            argp_usage(state);
        args.procfile = arg;
        return 0;
    case ARGP_KEY_END:
        if (!args.procfile)
            args.procfile = getenv(PROCFILE_VARIABLE);
        if (!args.procfile)
            argp_error(state, "expected a process file, or %s", PROCFILE_VARIABLE);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"quiet", 'q', NULL, 0, "Log warnings and errors only", 0},
    {"check", 'c', NULL, 0, "Check the process file and exit", 0},
    {0},
};

static const struct argp argp = {
    options,
    parse_opt,
    "[PROCESS-FILE]",
    "Relay calls by the routes in the platform's store.\v"
    "PROCESS-FILE says who this process is and where it listens; without it, the "
    "variable RILLKNOT_CONFIG names it. Events go to standard output, a JSON "
    "object per line. SIGTERM begins a planned stop; PROCESS-FILE is read again on "
    "SIGHUP and when it has changed.",
    0,
    0,
    0};

/* Reads the process file again. If it is invalid, the node keeps its old values. */
static void reload(struct rk_node *node)
{
    struct rk_procfile file;
    if (rk_procfile_load(args.procfile, &file) == RK_OK)
        rk_node_reload(node, &file);
    else
        RK_WARN("node.reload_failed", RK_S("why", rk_last_error()));
}

/* Returns whether the process file's modification time differs from *last_mtime,
 * and updates *last_mtime. */
static bool procfile_changed(struct timespec *last_mtime)
{
    struct stat st;
    if (stat(args.procfile, &st) != 0)
        return false; /* being replaced: the next poll sees the new file */
    bool changed = st.st_mtim.tv_sec != last_mtime->tv_sec ||
                   st.st_mtim.tv_nsec != last_mtime->tv_nsec;
    *last_mtime = st.st_mtim;
    return changed;
}

static void *run_reload_thread(void *arg)
{
    struct rk_node *node = arg;
    const struct timespec poll_interval = {.tv_sec = PROCFILE_POLL_S};
    struct timespec last_mtime = {0};
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    procfile_changed(&last_mtime);
    for (;;) {
        int sig = sigtimedwait(&set, NULL, &poll_interval);
        if (procfile_changed(&last_mtime) || sig == SIGHUP)
            reload(node);
    }
    return NULL;
}

/* A reload may block, as it reads a file. Only this thread waits for the signal to
 * stop, so that nothing else delays a stop. */
static void *run_stop_thread(void *arg)
{
    struct rk_node *node = arg;
    rk_process_wait_stop_signal();
    rk_node_begin_stop(node);
    while (!rk_node_stop_hangs(node))
        usleep(STOP_POLL_US);
    /* Not an event: a thread that hangs may hold the log's lock. */
    rk_stack_dump_others("rillknot-node: the stop hangs\n");
    _exit(1);
}

static void block_signals(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
}

int main(int argc, char **argv)
{
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    static struct rk_procfile file;
    if (rk_procfile_load(args.procfile, &file) != RK_OK) {
        fprintf(stderr, "rillknot-node: %s\n", rk_last_error());
        return 2;
    }
    if (args.check) {
        printf("%s: ok\n", args.procfile);
        return 0;
    }
    rk_process_tune_allocator();
    block_signals();
    rk_stack_dump_init();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    rk_log_init(file.id, file.failure_domain, args.level);
    struct rk_node *node;
    if (rk_node_create(&file, &node) != RK_OK) {
        fprintf(stderr, "rillknot-node: %s\n", rk_last_error());
        return 1;
    }
    pthread_t reload_thread, stop_thread;
    pthread_create(&reload_thread, NULL, run_reload_thread, node);
    pthread_create(&stop_thread, NULL, run_stop_thread, node);
    pthread_setname_np(reload_thread, "reload");
    pthread_setname_np(stop_thread, "stop");
    rk_node_run(node);
    /* These threads still use the node and the log, so neither is freed. */
    rk_log_flush();
    rk_process_end(0);
}
