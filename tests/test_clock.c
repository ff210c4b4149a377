/* Tests of clock, timers and leases on a machine that is suspended for a minute.
 * CLOCK_MONOTONIC stops during a suspension, so everything that expires must use
 * CLOCK_BOOTTIME. This file replaces clock_gettime() to simulate the suspension. */
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
/* Longest window of the process file. */
#define WINDOW_MAX_MS (86400 * RK_MS_PER_S)

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

/* Guards against a clock that stops during a suspension. */
static void the_clock_counts_suspended_time(void **state)
{
    (void)state;
    int64_t before_ms = rk_mono_ms();
    suspend();
    int64_t passed_ms = rk_mono_ms() - before_ms;
    assert_in_range(passed_ms, SUSPENDED_S * RK_MS_PER_S,
                    SUSPENDED_S * RK_MS_PER_S + SLACK_MS);
}

/* Guards against a clock near 0, where 0 can't stand for "never" and a time minus a
 * window is negative. */
static void
the_clock_is_far_from_zero_on_a_machine_that_has_just_booted(void **state)
{
    (void)state;
    struct timespec ts;
    syscall(SYS_clock_gettime, CLOCK_BOOTTIME, &ts);
    time_t before_s = suspended_s;
    suspended_s = -ts.tv_sec;
    int64_t now_ms = rk_mono_ms();
    suspended_s = before_s;
    assert_true(now_ms > WINDOW_MAX_MS);
}

static void on_deadline(void *ctx)
{
    int64_t *fired_ms = ctx;
    *fired_ms = rk_mono_ms();
}

static void stop(void *ctx)
{
    rk_loop_stop(ctx);
}

static void on_suspend(void *ctx)
{
    (void)ctx;
    suspend();
}

/* Guards against deadlines that are late by the length of a suspension: one that
 * passes meanwhile must fire at the next iteration of the event loop. */
static void a_timer_due_during_a_suspension_fires_on_resume(void **state)
{
    (void)state;
    int64_t fired_ms = 0;
    struct rk_loop *loop = rk_loop_create();
    struct rk_timer deadline = {.fn = on_deadline, .ctx = &fired_ms};
    struct rk_timer suspend_timer = {.fn = on_suspend};
    struct rk_timer stop_timer = {.fn = stop, .ctx = loop};
    rk_timer_start(loop, &deadline, SUSPENDED_S * RK_MS_PER_S / 2);
    rk_timer_start(loop, &suspend_timer, 10);
    rk_timer_start(loop, &stop_timer, SUSPENDED_S * RK_MS_PER_S);
    rk_loop_run(loop);
    assert_true(fired_ms);
    rk_loop_destroy(loop);
}

/* Guards against a leader that is suspended, loses its lease to another node and
 * still acts as leader after it resumes. */
static void a_lease_expires_during_a_suspension(void **state)
{
    (void)state;
    struct rk_lease l = {.self = {.name = "node-1"}, .ttl_ms = LEASE_MS};
    char value[RK_LEASE_VALUE_MAX];
    int64_t expect, epoch;
    rk_lease_read_done(&l, 0, "", rk_mono_ms());
    assert_true(rk_lease_next_write(&l, rk_mono_ms(), value, &expect));
    rk_lease_write_done(&l, RK_OK, 1, rk_mono_ms());
    assert_true(rk_lease_valid(&l, rk_mono_ms(), &epoch));
    suspend();
    assert_false(rk_lease_valid(&l, rk_mono_ms(), &epoch));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(the_clock_counts_suspended_time),
        cmocka_unit_test(
            the_clock_is_far_from_zero_on_a_machine_that_has_just_booted),
        cmocka_unit_test(a_lease_expires_during_a_suspension),
        cmocka_unit_test(a_timer_due_during_a_suspension_fires_on_resume),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
