/* Tests of the event loop's report of a loop that spins. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/counters.h"
#include "common/loop.h"

#define SPINNING_TURNS 5000

struct fixture {
    struct rk_loop *loop;
    struct rk_timer timer;
    int fd;
    int calls;
};

static void on_ready(void *ctx, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    struct fixture *f = ctx;
    f->calls++;
}

static void on_timer(void *ctx)
{
    struct fixture *f = ctx;
    f->calls++;
    rk_timer_start(f->loop, &f->timer, 1);
}

static struct fixture create(void)
{
    struct fixture f = {.loop = rk_loop_create(), .fd = eventfd(1, EFD_NONBLOCK)};
    assert_true(f.fd >= 0);
    return f;
}

static uint64_t spins_in(struct fixture *f, int turns)
{
    uint64_t before = rk_counter_value(RK_C_LOOP_SPINS);
    for (int i = 0; i < turns; i++)
        rk_loop_step(f->loop, 1000);
    rk_loop_destroy(f->loop);
    close(f->fd);
    return rk_counter_value(RK_C_LOOP_SPINS) - before;
}

/* Guards against a descriptor that stays ready and of which nothing tells. */
static void a_descriptor_that_stays_ready_is_reported(void **state)
{
    (void)state;
    struct fixture f = create();
    uint64_t turns = rk_counter_value(RK_C_LOOP_TURNS);
    rk_loop_watch(f.loop, f.fd, EPOLLIN, on_ready, &f);
    assert_int_equal(spins_in(&f, SPINNING_TURNS), 1);
    assert_int_equal(f.calls, SPINNING_TURNS);
    assert_int_equal(rk_counter_value(RK_C_LOOP_TURNS) - turns, SPINNING_TURNS);
}

/* A timer that fires each millisecond waits in between: 4,000 turns take 4 s. */
static void a_timer_that_waits_is_not_reported(void **state)
{
    (void)state;
    struct fixture f = create();
    f.timer = (struct rk_timer){.fn = on_timer, .ctx = &f};
    rk_timer_start(f.loop, &f.timer, 1);
    assert_int_equal(spins_in(&f, SPINNING_TURNS), 0);
}

static void on_read(void *ctx, int fd, uint32_t events)
{
    struct fixture *f = ctx;
    on_ready(ctx, fd, events);
    rk_loop_note_progress(f->loop);
}

/* A connection that always has bytes to read makes its loop busy, not spin. */
static void a_loop_that_reads_is_not_reported(void **state)
{
    (void)state;
    struct fixture f = create();
    rk_loop_watch(f.loop, f.fd, EPOLLIN, on_read, &f);
    assert_int_equal(spins_in(&f, SPINNING_TURNS), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_descriptor_that_stays_ready_is_reported),
        cmocka_unit_test(a_timer_that_waits_is_not_reported),
        cmocka_unit_test(a_loop_that_reads_is_not_reported),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
