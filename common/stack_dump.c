#include "common/stack_dump.h"

#include <errno.h>
#include <execinfo.h>
#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <stdatomic.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/syscall.h>
#include <unistd.h>

#include "common/stderr.h"
#include "common/util.h"

#define FRAMES_MAX         64
#define ANSWER_MS          100 /* time for a thread to write its stack */
#define POLL_MS            2
#define NAME_MAX_LEN       32
#define LINE_MAX_LEN       128
#define DIR_BYTES          4096
#define SECOND_STACK_BYTES (64 * 1024)

/* Entry of the kernel's getdents64(): readdir() would allocate memory. */
struct kernel_dirent {
    uint64_t inode;
    int64_t offset;
    uint16_t len;
    uint8_t type;
    char name[];
};

static atomic_bool answered; /* by the thread that was asked last */

static void on_asked(int sig)
{
    (void)sig;
    int saved_errno = errno;
    void *frames[FRAMES_MAX];
    int len = backtrace(frames, FRAMES_MAX);
    rk_stderr_write_stack(frames, len);
    atomic_store(&answered, true);
    errno = saved_errno;
}

/* Reads the name of a thread of this process. */
static void read_name(const char *tid, char name[NAME_MAX_LEN])
{
    char path[LINE_MAX_LEN];
    snprintf(path, sizeof(path), "/proc/self/task/%s/comm", tid);
    int fd = open(path, O_RDONLY | O_CLOEXEC);
    ssize_t len = fd >= 0 ? read(fd, name, NAME_MAX_LEN - 1) : 0;
    name[len > 0 ? len : 0] = '\0';
    name[strcspn(name, "\n")] = '\0';
    if (fd >= 0)
        close(fd);
}

/* The disposition is the default one again, so that the signal, which is blocked
 * until the handler returns, ends the process then. */
static void on_fatal_signal(int sig)
{
    char tid[NAME_MAX_LEN], name[NAME_MAX_LEN], line[LINE_MAX_LEN];
    void *frames[FRAMES_MAX];
    snprintf(tid, sizeof(tid), "%ld", syscall(SYS_gettid));
    read_name(tid, name);
    snprintf(line, sizeof(line), "fatal signal %d (SIG%s), thread %s (%s):\n", sig,
             sigabbrev_np(sig), tid, name);
    rk_stderr_write(line);
    int len = backtrace(frames, FRAMES_MAX);
    rk_stderr_write_stack(frames, len);
    raise(sig);
}

static void handle_fatal_signals(void)
{
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    static const int signals[] = {SIGABRT, SIGBUS, SIGFPE, SIGILL, SIGSEGV};
    struct sigaction action = {.sa_handler = on_fatal_signal,
                               .sa_flags = SA_RESETHAND | SA_ONSTACK};
    for (size_t i = 0; i < RK_ARRAY_LEN(signals); i++)
        sigaction(signals[i], &action, NULL);
#else
    (void)on_fatal_signal;
#endif
}

void rk_stack_dump_init_thread(void)
{
#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
    stack_t old, second = {.ss_size = SECOND_STACK_BYTES};
    if (sigaltstack(NULL, &old) != 0 || !(old.ss_flags & SS_DISABLE))
        return; /* a library has set one */
    second.ss_sp = rk_alloc(1, second.ss_size);
    sigaltstack(&second, NULL);
#endif
}

void rk_stack_dump_init(void)
{
    void *frame;
    struct sigaction action = {.sa_handler = on_asked, .sa_flags = SA_RESTART};
    backtrace(&frame, 1); /* its first call loads a library */
    sigaction(SIGUSR2, &action, NULL);
    handle_fatal_signals();
    rk_stack_dump_init_thread();
}

static void dump_thread(const char *tid)
{
    char name[NAME_MAX_LEN], line[LINE_MAX_LEN];
    read_name(tid, name);
    snprintf(line, sizeof(line), "thread %s (%s):\n", tid, name);
    rk_stderr_write(line);
    atomic_store(&answered, false);
    if (syscall(SYS_tgkill, getpid(), atoi(tid), SIGUSR2) != 0)
        return; /* the thread has ended */
    int64_t end_ms = rk_mono_ms() + ANSWER_MS;
    while (!atomic_load(&answered) && rk_mono_ms() < end_ms)
        poll(NULL, 0, POLL_MS);
    if (!atomic_load(&answered))
        rk_stderr_write("no answer\n");
}

void rk_stack_dump_others(const char *heading)
{
    _Alignas(struct kernel_dirent) char entries[DIR_BYTES];
    long own = syscall(SYS_gettid), len;
    int dir = open("/proc/self/task", O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    rk_stderr_write(heading);
    if (dir < 0)
        return;
    while ((len = syscall(SYS_getdents64, dir, entries, sizeof(entries))) > 0) {
        for (long at = 0; at < len;) {
            const struct kernel_dirent *e =
                (const struct kernel_dirent *)(entries + at);
            at += e->len;
            if (e->name[0] != '.' && atol(e->name) != own)
                dump_thread(e->name);
        }
    }
    close(dir);
}
