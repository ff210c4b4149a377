/* Tests of what is left of a thread whose stack has overflowed. */
#include <setjmp.h>
#include <signal.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/process.h"
#include "common/stack_dump.h"

#define TEXT_MAX_BYTES 8192
#define FRAME_BYTES    4096

static int recurse(volatile int depth)
{
    volatile char frame[FRAME_BYTES];
    frame[0] = (char)depth;
    return depth < 0 ? frame[0] : recurse(depth + 1) + frame[0];
}

static void *overflow(void *arg)
{
    (void)arg;
    recurse(0);
    return NULL;
}

static void run_child(int err_fd)
{
    const struct rlimit no_core = {0};
    pthread_t thread;
    setrlimit(RLIMIT_CORE, &no_core);
    dup2(err_fd, STDERR_FILENO);
    rk_stack_dump_init();
    if (rk_process_start_thread(&thread, "deep", overflow, NULL) == RK_OK)
        pthread_join(thread, NULL);
    _exit(0);
}

/* Guards against a node that ends by SIGSEGV and leaves no line, as the handler of
 * the signal has no stack to run on. */
static void an_overflow_of_a_stack_is_told(void **state)
{
    (void)state;
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
    skip(); /* the sanitizers have handlers of their own */
#endif
    int fds[2], status;
    char text[TEXT_MAX_BYTES] = "";
    size_t len = 0;
    assert_int_equal(pipe(fds), 0);
    pid_t child = fork();
    if (!child)
        run_child(fds[1]);
    close(fds[1]);
    for (ssize_t n = 1; n > 0 && len < sizeof(text) - 1; len += (size_t)n)
        if ((n = read(fds[0], text + len, sizeof(text) - 1 - len)) < 0)
            n = 0;
    assert_int_equal(waitpid(child, &status, 0), child);
    assert_true(WIFSIGNALED(status) && WTERMSIG(status) == SIGSEGV);
    assert_non_null(strstr(text, "fatal signal 11 (SIGSEGV), thread "));
    assert_non_null(strstr(text, "(deep)"));
    close(fds[0]);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_overflow_of_a_stack_is_told),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
