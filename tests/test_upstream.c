/* The pool of connections to VMs: what one call leaves behind on a connection must
 * not reach the next one. */
#include <netinet/in.h>
#include <pthread.h>
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/http1.h"
#include "common/loop.h"
#include "common/util.h"
#include "services/upstream.h"

#define REQUEST  "GET / HTTP/1.1\r\n\r\n"
#define RESPONSE "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello"
#define LIMIT_MS 3000 /* of a test, which fails by then */

/* Answers each request on one connection until the peer closes. */
static void *run_vm(void *arg)
{
    int fd = accept(*(int *)arg, NULL, NULL);
    char buf[256];
    size_t have = 0;
    ssize_t n;
    while ((n = read(fd, buf + have, sizeof(buf) - have)) > 0) {
        have += (size_t)n;
        if (have < sizeof(REQUEST) - 1)
            continue;
        have = 0;
        if (write(fd, RESPONSE, sizeof(RESPONSE) - 1) < 0)
            break;
    }
    close(fd);
    return NULL;
}

/* Two calls to one VM, one after the other. */
struct calls {
    struct rk_loop *loop;
    struct rk_upstream_pools *pools;
    struct rk_upstream_call *current;
    struct rk_upstream_spec spec;
    enum rk_head_action action; /* for the responses */
    bool holds;                 /* the first call stops reading amid its response */
    int ended, failed, reused;
    size_t body_len;
};

static void start_call(struct calls *t)
{
    t->current = rk_upstream_start(t->pools, &t->spec);
    assert_non_null(t->current);
    t->reused += rk_upstream_is_reused(t->current);
}

static enum rk_head_action on_head(void *ctx, const struct rk_head *head)
{
    struct calls *t = ctx;
    assert_int_equal(head->status, 200);
    return t->action;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    (void)data;
    struct calls *t = ctx;
    t->body_len += len;
    if (t->holds && !t->ended)
        rk_upstream_set_held(t->current, true);
}

static void on_end(void *ctx)
{
    struct calls *t = ctx;
    if (++t->ended == 1)
        start_call(t);
    else
        rk_loop_stop(t->loop);
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    (void)f;
    struct calls *t = ctx;
    t->failed++;
    rk_loop_stop(t->loop);
}

static void stop(void *ctx)
{
    rk_loop_stop(ctx);
}

static const struct rk_upstream_ops ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};

static int listen_any(char addr[RK_ADDR_MAX])
{
    struct sockaddr_in sin = {.sin_family = AF_INET,
                              .sin_addr.s_addr = htonl(INADDR_LOOPBACK)};
    socklen_t len = sizeof(sin);
    int fd = socket(AF_INET, SOCK_STREAM, 0);
    assert_int_equal(bind(fd, (struct sockaddr *)&sin, len), 0);
    assert_int_equal(listen(fd, 4), 0);
    getsockname(fd, (struct sockaddr *)&sin, &len);
    snprintf(addr, RK_ADDR_MAX, "127.0.0.1:%d", ntohs(sin.sin_port));
    return fd;
}

/* Makes both calls, and returns the time that they took in ms. */
static int64_t run_calls(struct calls *t)
{
    char addr[RK_ADDR_MAX];
    int fd = listen_any(addr);
    pthread_t vm;
    pthread_create(&vm, NULL, run_vm, &fd);
    t->loop = rk_loop_create();
    t->pools = rk_upstream_pools_create(t->loop);
    t->spec = (struct rk_upstream_spec){.vm_id = "vm",
                                        .addr = addr,
                                        .head = REQUEST,
                                        .head_len = sizeof(REQUEST) - 1,
                                        .max_idle_ms = 1000,
                                        .connect_ms = 1000,
                                        .max_conns = 4,
                                        .ops = &ops,
                                        .ctx = t};
    struct rk_timer limit = {.fn = stop, .ctx = t->loop};
    rk_timer_start(t->loop, &limit, LIMIT_MS);
    int64_t started_ms = rk_mono_ms();
    start_call(t);
    rk_loop_run(t->loop);
    int64_t took_ms = rk_mono_ms() - started_ms;
    rk_timer_stop(t->loop, &limit);
    if (t->ended < 2 && !t->failed)
        rk_upstream_cancel(t->current);
    rk_upstream_pools_destroy(t->pools);
    rk_loop_step(t->loop, 1); /* frees the connections, and then what they own */
    rk_loop_step(t->loop, 1);
    pthread_join(vm, NULL);
    rk_loop_destroy(t->loop);
    close(fd);
    return took_ms;
}

/* Guards against a kept connection that stays unread, as the answer ended while it
 * was held for a slow caller: the next call there waited until its deadline. */
static void a_connection_that_was_held_is_read_by_the_next_call(void **state)
{
    (void)state;
    struct calls t = {.action = RK_HEAD_ACCEPT, .holds = true};
    run_calls(&t);
    assert_int_equal(t.ended, 2);
    assert_int_equal(t.reused, 1);
    assert_int_equal(t.body_len, 10);
}

/* Guards against a short answer that is discarded and costs its connection, or ends
 * only by the time-out. */
static void a_discarded_answer_keeps_its_connection(void **state)
{
    (void)state;
    struct calls t = {.action = RK_HEAD_DISCARD};
    run_calls(&t);
    assert_int_equal(t.ended, 2);
    assert_int_equal(t.reused, 1);
    assert_int_equal(t.body_len, 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_connection_that_was_held_is_read_by_the_next_call),
        cmocka_unit_test(a_discarded_answer_keeps_its_connection),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
