/* rillknot-node: an entry VM of a deployment whose routes, vms and duties live on
 * the users' platform. The main thread runs control state, another one traffic, a
 * third waits for signals. */
#include <argp.h>
#include <curl/curl.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <time.h>

#include "common/eventlog.h"
#include "common/status.h"
#include "core/procfile.h"
#include "node/node.h"

#define SETTINGS_VARIABLE "RILLKNOT_CONFIG"
#define FILE_LOOK_S       2 /* between looks at the process file */

static struct {
    const char *settings;
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
        if (args.settings)
            argp_usage(state);
        args.settings = arg;
        return 0;
    case ARGP_KEY_END:
        if (!args.settings)
            args.settings = getenv(SETTINGS_VARIABLE);
        if (!args.settings)
            argp_error(state, "expected a process file, or %s", SETTINGS_VARIABLE);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"quiet", 'q', NULL, 0, "Log warnings and errors only", 0},
    {"check", 'c', NULL, 0, "Check the process file and end", 0},
    {0},
};

static const struct argp argp = {
    options,
    parse_opt,
    "[PROCESS-FILE]",
    "Relay calls by the routes in the platform's store.\v"
    "PROCESS-FILE says who this process is and where it listens; without it, the "
    "variable RILLKNOT_CONFIG names it. Events go to standard output, a JSON "
    "object "
    "a line. SIGTERM begins a planned stop; PROCESS-FILE is read again on SIGHUP "
    "and "
    "when it has changed.",
    0,
    0,
    0};

static void reload(struct rk_node *n)
{
    struct rk_procfile file;
    if (rk_procfile_load(args.settings, &file) == RK_OK)
        rk_node_reload(n, &file);
    else
        RK_WARN("node.reload_failed", RK_S("why", rk_last_error()));
}

/* Did the process file change since it was looked at last? */
static bool file_changed(struct timespec *seen)
{
    struct stat st;
    if (stat(args.settings, &st) != 0)
        return false; /* being replaced: the next look tells */
    bool changed =
        st.st_mtim.tv_sec != seen->tv_sec || st.st_mtim.tv_nsec != seen->tv_nsec;
    *seen = st.st_mtim;
    return changed;
}

static void *wait_for_signals(void *arg)
{
    struct rk_node *n = arg;
    const struct timespec look = {.tv_sec = FILE_LOOK_S};
    struct timespec seen = {0};
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigaddset(&set, SIGHUP);
    file_changed(&seen);
    for (;;) {
        int sig = sigtimedwait(&set, NULL, &look);
        if (sig == SIGTERM || sig == SIGINT)
            rk_node_leave(n);
        else if (file_changed(&seen) || sig == SIGHUP)
            reload(n);
    }
    return NULL;
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
    if (rk_procfile_load(args.settings, &file) != RK_OK) {
        fprintf(stderr, "rillknot-node: %s\n", rk_last_error());
        return 2;
    }
    if (args.check) {
        printf("%s: ok\n", args.settings);
        return 0;
    }
    block_signals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    rk_log_init(file.id, file.failure_domain, args.level);
    struct rk_node *n;
    if (rk_node_create(&file, &n) != RK_OK) {
        fprintf(stderr, "rillknot-node: %s\n", rk_last_error());
        return 1;
    }
    pthread_t signals;
    pthread_create(&signals, NULL, wait_for_signals, n);
    pthread_detach(signals);
    rk_node_run(n);
    /* The signals' thread still holds the node: the process ends as a whole. */
    rk_log_shutdown();
    return 0;
}
