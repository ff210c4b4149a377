#include "common/process.h"

#include <malloc.h>
#include <signal.h>
#include <stdlib.h>
#include <unistd.h>

/* Buffers from this size on are mapped on their own. Without a fixed value, the
 * allocator raises it to the size of the largest buffer that was freed. */
#define MMAP_THRESHOLD (128 * 1024)
#define ARENAS_MAX     2 /* the relay's, and one for all other threads */

void rk_process_tune_allocator(void)
{
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
    mallopt(M_ARENA_MAX, ARENAS_MAX);
}

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
