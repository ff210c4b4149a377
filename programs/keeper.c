/* rillknot-keeper: the process of a keeper, which runs beside an entry node. While
 * it holds its failure domain's lease, it starts and stops VMs through the cloud
 * API and sends orders to engines. */
#include <argp.h>
#include <curl/curl.h>
#include <signal.h>
#include <stdio.h>
#include <sys/random.h>
#include <sys/signalfd.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "common/eventlog.h"
#include "common/loop.h"
#include "common/process.h"
#include "common/stderr.h"
#include "core/procfile.h"
#include "keeper/keeper.h"

static const char *procfile;

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case ARGP_KEY_ARG:
        if (procfile)
            argp_usage(state);
        procfile = arg;
        return 0;
    case ARGP_KEY_END:
        if (!procfile)
            argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp argp = {
    NULL,
    parse_opt,
    "SETTINGS-FILE",
    "Manage the vms of a failure domain and order its engines.\v"
    "SETTINGS-FILE names the platform and the entry node beside it (entry). One "
    "keeper of a failure domain is active at a time, by a lease.",
    0,
    0,
    0};

static void on_stop_signal(void *ctx, int fd, uint32_t events)
{
    (void)events;
    struct signalfd_siginfo info;
    ssize_t n = read(fd, &info, sizeof(info));
    (void)n;
    rk_loop_stop(ctx);
}

/* Stops the loop on SIGTERM or SIGINT. Returns the signalfd, which the caller
 * closes after the loop has ended. */
static int watch_stop_signals(struct rk_loop *loop)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigprocmask(SIG_BLOCK, &set, NULL);
    int fd = signalfd(-1, &set, SFD_CLOEXEC | SFD_NONBLOCK);
    rk_loop_watch(loop, fd, EPOLLIN, on_stop_signal, loop);
    return fd;
}

int main(int argc, char **argv)
{
    static struct rk_procfile file;
    rk_process_open_standard_files();
    rk_stderr_init();
    rk_process_ignore_write_signals();
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    if (rk_procfile_load(procfile, NULL, &file) != RK_OK) {
        rk_stderr_printf("rillknot-keeper: %s\n", rk_last_error());
        return 2;
    }
    if (!file.entry[0]) {
        rk_stderr_printf("rillknot-keeper: %s: /entry: expected ip:port\n",
                         procfile);
        return 2;
    }
    uint64_t seed = 0;
    if (getrandom(&seed, sizeof(seed), 0) != sizeof(seed))
        seed = (uint64_t)getpid();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    rk_log_init(file.id, file.failure_domain, RK_LOG_INFO);
    rk_procfile_log_problems(&file, procfile);
    if (rk_process_prepare_stack() != RK_OK) {
        rk_stderr_printf("rillknot-keeper: %s\n", rk_last_error());
        return 1;
    }
    struct rk_loop *loop = rk_loop_create();
    int signal_fd = watch_stop_signals(loop);
    struct rk_keeper *keeper = rk_keeper_create(loop, &file, seed);
    RK_EVENT("keeper.started", RK_S("entry", file.entry));
    rk_keeper_start(keeper);
    rk_loop_run(loop);
    RK_EVENT("keeper.stopped", RK_S("entry", file.entry));
    rk_keeper_destroy(keeper);
    close(signal_fd);
    rk_loop_destroy(loop);
    rk_log_shutdown();
    rk_process_end(0);
}
