/* A machine that is suspended for seconds: its steady clock stands still meanwhile,
 * so what expires must go by another. The clocks are this file's. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/syscall.h>
#include <time.h>
#include <unistd.h>

#include <cmocka.h>

#include "common/loop.h"
#include "common/util.h"
#include "core/lease.h"

#define SUSPENDED_S 60
#define LEASE_MS    3000
#define SLACK_MS    5000

static time_t suspended_s;

int clock_gettime(clockid_t id, struct timespec *ts)
{
    long result = syscall(SYS_clock_gettime, id, ts);
    if (id != CLOCK_MONOTONIC)
        ts->tv_sec += suspended_s;
    return (int)result;
}

static void suspend(void)
{
    suspended_s += SUSPENDED_S;
}

static void time_in_suspension_counts(void **state)
{
    (void)state;
    int64_t before_ms = rk_mono_ms();
    suspend();
    int64_t passed_ms = rk_mono_ms() - before_ms;
    assert_in_range(passed_ms, SUSPENDED_S * RK_MS_PER_S,
                    SUSPENDED_S * RK_MS_PER_S + SLACK_MS);
}

static void on_timer(void *ctx)
{
    int64_t *fired_ms = ctx;
    *fired_ms = rk_mono_ms();
}

static void stop(void *ctx)
{
    rk_loop_stop(ctx);
}

static void on_soon(void *ctx)
{
    (void)ctx;
    suspend();
}

/* A deadline that passed meanwhile is over at the next turn of the loop. */
static void a_timer_that_is_due_after_it_runs_at_once(void **state)
{
    (void)state;
    int64_t fired_ms = 0;
    struct rk_loop *loop = rk_loop_create();
    struct rk_timer deadline = {.fn = on_timer, .ctx = &fired_ms};
    struct rk_timer soon = {.fn = on_soon};
    struct rk_timer end = {.fn = stop, .ctx = loop};
    rk_timer_start(loop, &deadline, SUSPENDED_S * RK_MS_PER_S / 2);
    rk_timer_start(loop, &soon, 10);
    rk_timer_start(loop, &end, SUSPENDED_S * RK_MS_PER_S);
    rk_loop_run(loop);
    assert_true(fired_ms);
    rk_loop_destroy(loop);
}

static void a_holder_that_was_suspended_acts_no_more(void **state)
{
    (void)state;
    struct rk_lease l = {.holder = "node-1", .life_ms = LEASE_MS};
    char value[RK_LEASE_VALUE_MAX];
    int64_t expect, epoch;
    rk_lease_seen(&l, 0, "", rk_mono_ms());
    assert_true(rk_lease_wants(&l, rk_mono_ms(), value, &expect));
    rk_lease_written(&l, RK_OK, 1, rk_mono_ms());
    assert_true(rk_lease_valid(&l, rk_mono_ms(), &epoch));
    suspend();
    assert_false(rk_lease_valid(&l, rk_mono_ms(), &epoch));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(time_in_suspension_counts),
        cmocka_unit_test(a_holder_that_was_suspended_acts_no_more),
        cmocka_unit_test(a_timer_that_is_due_after_it_runs_at_once),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
