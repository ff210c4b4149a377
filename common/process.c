#include "common/process.h"

#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

void rk_process_wait_stop_signal(void)
{
    sigset_t set;
    int sig;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    sigwait(&set, &sig);
}

void rk_process_end(int status)
{
#ifdef __SANITIZE_ADDRESS__
    exit(status); /* leaks are looked for at the exit */
#endif
    _exit(status);
}
