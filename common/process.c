#include "common/process.h"

#include <errno.h>
#include <fcntl.h>
#include <malloc.h>
#include <signal.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/stat.h>
#include <time.h>
#include <unistd.h>

#include "common/stack_dump.h"
#include "common/util.h"

/* Buffers from this size on are mapped on their own. Without a fixed value, the
 * allocator raises it to the size of the largest buffer that was freed. */
#define MMAP_THRESHOLD (128 * 1024)
#define ARENAS_MAX     2 /* the relay's, and one for all other threads */
#define FD_PATH_MAX    32
#define STOP_WAIT_MS   60000 /* of one wait for a signal to stop */
/* Pause after a wait for a signal that the system ended too early. */
#define EARLY_PAUSE_MS 50
/* Of each thread. The sanitizers' frames are larger. */
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
#define STACK_BYTES (8 * 1024 * 1024)
#else
#define STACK_BYTES (1024 * 1024)
#endif

void rk_process_tune_allocator(void)
{
    mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD);
    mallopt(M_ARENA_MAX, ARENAS_MAX);
}

size_t rk_process_heap_bytes(void)
{
    struct mallinfo2 info = mallinfo2();
    return info.uordblks + info.hblkhd;
}

void rk_process_ignore_write_signals(void)
{
    signal(SIGPIPE, SIG_IGN);
    signal(SIGXFSZ, SIG_IGN);
}

void rk_process_open_standard_files(void)
{
    int fd;
    do { /* open() returns the lowest number that is free */
        fd = open("/dev/null", O_RDWR);
        if (fd < 0)
            fd = open("/", O_RDONLY);
    } while (fd >= 0 && fd <= STDERR_FILENO);
    if (fd >= 0)
        close(fd);
}

int rk_process_open_nonblocking(int fd)
{
    struct stat given, opened;
    char path[FD_PATH_MAX];
    if (fstat(fd, &given) != 0 || !(S_ISFIFO(given.st_mode) || isatty(fd)))
        return fd;
    snprintf(path, sizeof(path), "/proc/self/fd/%d", fd);
    int own = open(path, O_WRONLY | O_NONBLOCK | O_NOCTTY | O_CLOEXEC);
    if (own < 0)
        return fd;
    if (fstat(own, &opened) == 0 && opened.st_dev == given.st_dev &&
        opened.st_ino == given.st_ino)
        return own;
    close(own);
    return fd;
}

static sigset_t stop_signals(void)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    return set;
}

int rk_process_wait_signal(const sigset_t *set, int64_t timeout_ms)
{
    const struct timespec timeout = {.tv_sec = timeout_ms / RK_MS_PER_S,
                                     .tv_nsec = timeout_ms % RK_MS_PER_S * 1000000};
    int64_t end_ms = rk_mono_ms() + timeout_ms;
    int sig = sigtimedwait(set, NULL, &timeout);
    if (sig > 0)
        return sig;
    int64_t left_ms = end_ms - rk_mono_ms();
    if (left_ms > 0)
        usleep((useconds_t)(left_ms < EARLY_PAUSE_MS ? left_ms : EARLY_PAUSE_MS) *
               1000);
    return 0;
}

void rk_process_wait_stop_signal(void)
{
    const sigset_t set = stop_signals();
    while (!rk_process_wait_signal(&set, STOP_WAIT_MS))
        ;
}

bool rk_process_wait_stop_signal_for(int timeout_ms)
{
    const sigset_t set = stop_signals();
    return rk_process_wait_signal(&set, timeout_ms) > 0;
}

enum rk_status rk_process_prepare_stack(void)
{
    struct rlimit limit;
    if (getrlimit(RLIMIT_STACK, &limit) != 0 || limit.rlim_cur >= STACK_BYTES)
        return RK_OK; /* RLIM_INFINITY is the largest number */
    if (limit.rlim_max < STACK_BYTES)
        return rk_fail(RK_ESYSTEM, "stack limit: %ju bytes, at least %d are needed",
                       (uintmax_t)limit.rlim_max, STACK_BYTES);
    limit.rlim_cur = STACK_BYTES;
    if (setrlimit(RLIMIT_STACK, &limit) != 0)
        return rk_fail(RK_ESYSTEM, "stack limit: %s", strerror(errno));
    return RK_OK;
}

struct thread_start {
    void *(*run)(void *arg);
    void *arg;
};

static void *run_thread(void *ctx)
{
    const struct thread_start start = *(struct thread_start *)ctx;
    free(ctx);
    rk_stack_dump_init_thread();
    return start.run(start.arg);
}

enum rk_status rk_process_start_thread(pthread_t *out, const char *name,
                                       void *(*run)(void *arg), void *arg)
{
    pthread_attr_t attr;
    pthread_attr_init(&attr);
    pthread_attr_setstacksize(&attr, STACK_BYTES);
    struct thread_start *start = rk_alloc(1, sizeof(*start));
    *start = (struct thread_start){run, arg};
    int err = pthread_create(out, &attr, run_thread, start);
    pthread_attr_destroy(&attr);
    if (err)
        free(start);
    if (err)
        return rk_fail(RK_ESYSTEM, "thread %s: %s", name, strerror(err));
    pthread_setname_np(*out, name);
    return RK_OK;
}

void rk_process_end(int status)
{
#ifdef __SANITIZE_ADDRESS__
    exit(status); /* leaks are looked for at the exit */
#endif
    _exit(status);
}
