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
#include "common/stderr.h"
#include "core/procfile.h"
#include "node/node.h"

#define PROCFILE_VARIABLE "RILLKNOT_CONFIG"
#define PROCFILE_POLL_MS  2000 /* between checks for a changed process file */
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

/* The process file as last read. Owned by the reload thread once that runs. */
static struct rk_procfile in_force;

/* Reads the process file again. The node keeps its old values if the file is
 * invalid, and the old value of each figure that is. */
static void reload(struct rk_node *node)
{
    static struct rk_procfile file;
    if (rk_procfile_load(args.procfile, &in_force, &file) != RK_OK) {
        RK_WARN("node.reload_failed", RK_S("why", rk_last_error()));
        return;
    }
    rk_procfile_log_problems(&file, args.procfile);
    in_force = file;
    rk_node_reload(node, &file);
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
    struct timespec last_mtime = {0};
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    procfile_changed(&last_mtime);
    for (;;) {
        int sig = rk_process_wait_signal(&set, PROCFILE_POLL_MS);
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

/* SIGHUP would end a process that has not yet read its file. */
static void block_reload_signal(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGHUP);
    sigprocmask(SIG_BLOCK, &set, NULL);
}

static void block_signals(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
}

static void log_start_failed(int status)
{
    RK_LOG(RK_LOG_ERROR, "node.start_failed", RK_S("why", rk_last_error()),
           RK_N("status", status));
}

/* Ends a process whose start failed. st: RK_EGONE if it was told to stop. */
static _Noreturn void end_start(enum rk_status st)
{
    int status = st == RK_EGONE ? 0 : 1;
    rk_stderr_printf("rillknot-node: %s\n", rk_last_error());
    log_start_failed(status);
    rk_log_flush();
    rk_process_end(status);
}

/* Prints the result of --check and returns the exit status. */
static int print_check(void)
{
    for (size_t i = 0; i < in_force.problems_len; i++)
        fprintf(stderr, "rillknot-node: %s:%s\n", args.procfile,
                in_force.problems[i]);
    if (in_force.problems_len)
        return 2;
    printf("%s: ok\n", args.procfile);
    return 0;
}

int main(int argc, char **argv)
{
    rk_process_open_standard_files();
    rk_stderr_init();
    rk_process_ignore_write_signals();
    block_reload_signal();
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    if (rk_procfile_load(args.procfile, NULL, &in_force) != RK_OK) {
        rk_stderr_printf("rillknot-node: %s\n", rk_last_error());
        if (!args.check) {
            rk_log_init("", "", args.level);
            log_start_failed(2);
            rk_log_shutdown();
        }
        return 2;
    }
    if (args.check)
        return print_check();
    rk_process_tune_allocator();
    block_signals();
    rk_stack_dump_init();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    rk_log_init(in_force.id, in_force.failure_domain, args.level);
    rk_procfile_log_problems(&in_force, args.procfile);
    struct rk_node *node;
    enum rk_status st = rk_process_prepare_stack();
    if (st == RK_OK)
        st = rk_node_create(&in_force, &node);
    if (st != RK_OK)
        end_start(st);
    pthread_t reload_thread, stop_thread;
    st = rk_process_start_thread(&stop_thread, "stop", run_stop_thread, node);
    if (st != RK_OK)
        end_start(st);
    if (rk_process_start_thread(&reload_thread, "reload", run_reload_thread,
                                node) != RK_OK)
        RK_WARN("node.reload_unavailable", RK_S("why", rk_last_error()));
    st = rk_node_run(node);
    if (st != RK_OK)
        end_start(st);
    /* These threads still use the node and the log, so neither is freed. */
    rk_log_flush();
    rk_process_end(0);
}
