/* Tests of connections whose system calls fail. This file replaces send(). */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
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

/* A connection and its peer's socket. */
struct fixture {
    struct rk_loop *loop;
    struct rk_conn *conn;
    struct owner owner;
    int peer;
};

static void connect_pair(struct fixture *f)
{
    int fds[2];
    assert_int_equal(
        socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, fds), 0);
    *f = (struct fixture){.loop = rk_loop_create(), .peer = fds[1]};
    f->conn = rk_conn_adopt(f->loop, fds[0], &ops, &f->owner);
}

static void write_failing(struct fixture *f, const char *text, int error)
{
    send_error = error;
    rk_conn_write(f->conn, text, strlen(text));
    send_error = 0;
}

static void step(struct fixture *f)
{
    rk_loop_step(f->loop, STEP_MS);
}

/* Ends the loop after what was freed later is free. */
static void end(struct fixture *f)
{
    step(f);
    rk_loop_destroy(f->loop);
    close(f->peer);
}

/* Checks that the owner is told of a failed send, after its own write. */
static void check_reported(int error)
{
    struct fixture f;
    connect_pair(&f);
    write_failing(&f, "x", error);
    assert_int_equal(f.owner.errors, 0);
    step(&f);
    assert_int_equal(f.owner.errors, 1);
    assert_int_equal(f.owner.error, error);
    rk_conn_abort(f.conn);
    end(&f);
    assert_int_equal(f.owner.errors + f.owner.ends, 1);
}

/* Guards against a connection that waits for ever after a send that failed without
 * an event, and against an owner that is called during its own write. */
static void a_failed_send_is_reported(void **state)
{
    (void)state;
    static const int errors[] = {ENOBUFS, ENOMEM, EPERM};
    for (size_t i = 0; i < RK_ARRAY_LEN(errors); i++)
        check_reported(errors[i]);
}

/* Guards against a connection that waits for ever after a send that a filter of
 * system calls or a security module refused with an error of its own choice. */
static void a_send_refused_with_any_error_is_reported(void **state)
{
    (void)state;
    static const int errors[] = {EACCES, EIO, ENOSYS, EINVAL};
    for (size_t i = 0; i < RK_ARRAY_LEN(errors); i++)
        check_reported(errors[i]);
}

/* Guards against a message with a hole, after one of its sends failed. */
static void nothing_is_sent_after_a_failed_send(void **state)
{
    (void)state;
    struct fixture f;
    char received;
    connect_pair(&f);
    write_failing(&f, "head", ENOBUFS);
    rk_conn_write(f.conn, "body", 4);
    assert_int_equal(recv(f.peer, &received, 1, 0), -1);
    rk_conn_abort(f.conn);
    end(&f);
}

/* Guards against a record that is freed while its owner still has it, when an event
 * reports the end before the failed send is reported. */
static void an_end_before_a_failed_send_is_reported_once(void **state)
{
    (void)state;
    struct fixture f;
    connect_pair(&f);
    shutdown(f.peer, SHUT_RDWR);
    write_failing(&f, "x", ENOBUFS);
    step(&f);
    step(&f);
    assert_int_equal(f.owner.errors + f.owner.ends, 1);
    rk_conn_abort(f.conn);
    end(&f);
}

/* Guards against a failed send that is reported after its owner ended the
 * connection. */
static void a_connection_ended_after_a_failed_send_is_not_reported(void **state)
{
    (void)state;
    struct fixture f;
    connect_pair(&f);
    write_failing(&f, "x", ENOBUFS);
    rk_conn_close(f.conn);
    shutdown(f.peer, SHUT_RDWR);
    step(&f);
    step(&f);
    assert_int_equal(f.owner.errors + f.owner.ends, 0);
    end(&f);
}

/* Ends a connection whose send failed, as the kernel does after a reset: its error
 * is gone with the send, and reading tells of an orderly close. */
static struct owner end_after_failed_send(int error)
{
    struct fixture f;
    connect_pair(&f);
    write_failing(&f, "x", error);
    shutdown(f.peer, SHUT_RDWR);
    step(&f);
    step(&f);
    struct owner owner = f.owner;
    rk_conn_abort(f.conn);
    end(&f);
    return owner;
}

/* Guards against a reset that a send meets first and that is then taken for an
 * orderly close, which ends an answer without a length. */
static void a_reset_that_a_send_met_is_no_orderly_close(void **state)
{
    (void)state;
    static const int errors[] = {ECONNRESET, ECONNABORTED, ETIMEDOUT, EHOSTUNREACH};
    for (size_t i = 0; i < RK_ARRAY_LEN(errors); i++) {
        struct owner owner = end_after_failed_send(errors[i]);
        assert_int_equal(owner.ends, 0);
        assert_int_equal(owner.errors, 1);
        assert_int_equal(owner.error, errors[i]);
    }
    assert_int_equal(end_after_failed_send(EPIPE).ends, 1);
}

#define QUEUED_BYTES (1024 * 1024)
#define READ_BYTES   (20 * 1024)
#define READ_WAIT_MS 40

/* Closes a connection with queued bytes. Returns how many of them a peer receives
 * that reads in steps, or nothing for the first silent_ms. */
static size_t read_closed(int silent_ms)
{
    static char block[READ_BYTES];
    struct fixture f;
    char *text = rk_alloc(1, QUEUED_BYTES);
    size_t received = 0;
    ssize_t n = 1;
    connect_pair(&f);
    rk_conn_write(f.conn, text, QUEUED_BYTES);
    rk_conn_close(f.conn);
    for (int waited = 0; n; waited += READ_WAIT_MS) {
        usleep(READ_WAIT_MS * RK_MS_PER_S);
        rk_loop_step(f.loop, 0);
        if (waited < silent_ms)
            continue;
        n = recv(f.peer, block, sizeof(block), 0);
        received += n > 0 ? (size_t)n : 0;
    }
    assert_int_equal(rk_conn_flushing_count(), 0);
    free(text);
    end(&f);
    return received;
}

/* Guards against a closed connection whose last bytes are dropped after a second
 * though its peer reads on, and against one that waits for a peer that does not. */
static void a_closed_connection_sends_as_long_as_its_peer_reads(void **state)
{
    (void)state;
    assert_int_equal(read_closed(0), QUEUED_BYTES);
    assert_true(read_closed(2500) < QUEUED_BYTES);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_failed_send_is_reported),
        cmocka_unit_test(a_send_refused_with_any_error_is_reported),
        cmocka_unit_test(nothing_is_sent_after_a_failed_send),
        cmocka_unit_test(an_end_before_a_failed_send_is_reported_once),
        cmocka_unit_test(a_connection_ended_after_a_failed_send_is_not_reported),
        cmocka_unit_test(a_reset_that_a_send_met_is_no_orderly_close),
        cmocka_unit_test(a_closed_connection_sends_as_long_as_its_peer_reads),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
