/* Tests of connections whose system calls fail. This file replaces send(). */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <errno.h>
#include <sys/socket.h>
#include <sys/syscall.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/conn.h"
#include "common/loop.h"
#include "common/util.h"

#define STEP_MS 100

static int send_error; /* errno; 0: bytes are sent */

ssize_t send(int fd, const void *data, size_t len, int flags)
{
    if (!send_error)
        return syscall(SYS_sendto, fd, data, len, flags, NULL, 0);
    errno = send_error;
    return -1;
}

struct owner {
    int error, errors, ends;
};

static void on_data(void *ctx, const char *data, size_t len)
{
    (void)ctx;
    (void)data;
    (void)len;
}

static void on_eof(void *ctx)
{
    struct owner *o = ctx;
    o->ends++;
}

static void on_error(void *ctx, int error)
{
    struct owner *o = ctx;
    o->error = error;
    o->errors++;
}

static const struct rk_conn_ops ops = {
    .on_data = on_data, .on_eof = on_eof, .on_error = on_error};

/* Guards against a connection that waits for ever after a send that failed without
 * an event, and against an owner that is called during its own write. */
static void a_failed_send_is_reported(void **state)
{
    (void)state;
    static const int errors[] = {ENOBUFS, ENOMEM, EPERM};
    for (size_t i = 0; i < RK_ARRAY_LEN(errors); i++) {
        int fds[2];
        assert_int_equal(
            socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds),
            0);
        struct rk_loop *loop = rk_loop_create();
        struct owner owner = {0};
        struct rk_conn *c = rk_conn_adopt(loop, fds[0], &ops, &owner);
        send_error = errors[i];
        rk_conn_write(c, "x", 1);
        assert_int_equal(owner.errors, 0);
        send_error = 0;
        rk_loop_step(loop, STEP_MS);
        assert_int_equal(owner.errors, 1);
        assert_int_equal(owner.error, errors[i]);
        rk_conn_abort(c);
        rk_loop_step(loop, STEP_MS);
        assert_int_equal(owner.errors + owner.ends, 1);
        rk_loop_destroy(loop);
        close(fds[1]);
    }
}

/* Guards against a failed send that is reported after its owner ended the
 * connection. */
static void a_connection_ended_after_a_failed_send_is_not_reported(void **state)
{
    (void)state;
    int fds[2];
    assert_int_equal(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds), 0);
    struct rk_loop *loop = rk_loop_create();
    struct owner owner = {0};
    struct rk_conn *c = rk_conn_adopt(loop, fds[0], &ops, &owner);
    send_error = ENOBUFS;
    rk_conn_write(c, "x", 1);
    send_error = 0;
    rk_conn_close(c);
    close(fds[1]);
    rk_loop_step(loop, STEP_MS);
    rk_loop_step(loop, STEP_MS);
    assert_int_equal(owner.errors + owner.ends, 0);
    rk_loop_destroy(loop);
}

/* Guards against a message with a hole, after one of its sends failed. */
static void nothing_is_sent_after_a_failed_send(void **state)
{
    (void)state;
    int fds[2];
    char received;
    assert_int_equal(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds), 0);
    struct rk_loop *loop = rk_loop_create();
    struct owner owner = {0};
    struct rk_conn *c = rk_conn_adopt(loop, fds[0], &ops, &owner);
    send_error = ENOBUFS;
    rk_conn_write(c, "head", 4);
    send_error = 0;
    rk_conn_write(c, "body", 4);
    assert_int_equal(recv(fds[1], &received, 1, 0), -1);
    rk_conn_abort(c);
    rk_loop_step(loop, STEP_MS);
    rk_loop_destroy(loop);
    close(fds[1]);
}

/* Guards against a connection that waits for ever after a send that a filter of
 * system calls or a security module refused with an error of its own choice. */
static void a_send_refused_with_any_error_is_reported(void **state)
{
    (void)state;
    static const int errors[] = {EACCES, EIO, ENOSYS, EINVAL};
    for (size_t i = 0; i < RK_ARRAY_LEN(errors); i++) {
        int fds[2];
        assert_int_equal(
            socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds),
            0);
        struct rk_loop *loop = rk_loop_create();
        struct owner owner = {0};
        struct rk_conn *c = rk_conn_adopt(loop, fds[0], &ops, &owner);
        send_error = errors[i];
        rk_conn_write(c, "x", 1);
        send_error = 0;
        rk_loop_step(loop, STEP_MS);
        assert_int_equal(owner.errors, 1);
        assert_int_equal(owner.error, errors[i]);
        rk_conn_abort(c);
        rk_loop_step(loop, STEP_MS);
        rk_loop_destroy(loop);
        close(fds[1]);
    }
}

/* Guards against a record that is freed while its owner still has it, when an event
 * reports the end before the failed send is reported. */
static void an_end_before_a_failed_send_is_reported_once(void **state)
{
    (void)state;
    int fds[2];
    assert_int_equal(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds), 0);
    struct rk_loop *loop = rk_loop_create();
    struct owner owner = {0};
    struct rk_conn *c = rk_conn_adopt(loop, fds[0], &ops, &owner);
    close(fds[1]);
    send_error = ENOBUFS;
    rk_conn_write(c, "x", 1);
    send_error = 0;
    rk_loop_step(loop, STEP_MS);
    rk_loop_step(loop, STEP_MS);
    assert_int_equal(owner.errors + owner.ends, 1);
    rk_conn_abort(c);
    rk_loop_step(loop, STEP_MS);
    rk_loop_destroy(loop);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_failed_send_is_reported),
        cmocka_unit_test(a_send_refused_with_any_error_is_reported),
        cmocka_unit_test(nothing_is_sent_after_a_failed_send),
        cmocka_unit_test(an_end_before_a_failed_send_is_reported_once),
        cmocka_unit_test(a_connection_ended_after_a_failed_send_is_not_reported),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
