#include "common/memory.h"

#include <stdatomic.h>
#include <stdint.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "common/util.h"

/* Without a refusal for so long, there is room again. */
#define QUIET_MS 5000
/* Of the budget, for the kernel's buffer of one connection that carries much. */
#define RECEIVE_SHARES 1024
/* What Linux gives a connection at first, in terms of SO_RCVBUF. */
#define RECEIVE_BYTES_MIN ((size_t)64 * 1024)

static _Atomic size_t budget;
static _Atomic size_t used;
static _Atomic size_t expected_bytes;

void rk_memory_set_budget(size_t bytes)
{
    atomic_store_explicit(&budget, bytes, memory_order_relaxed);
}

size_t rk_memory_budget(void)
{
    return atomic_load_explicit(&budget, memory_order_relaxed);
}

/* Replaces an owner's share of a total. */
static void set_share(_Atomic size_t *total, size_t *share, size_t bytes)
{
    if (*share == bytes)
        return;
    /* Unsigned wrap-around subtracts when the share shrinks. */
    atomic_fetch_add_explicit(total, bytes - *share, memory_order_relaxed);
    *share = bytes;
}

void rk_memory_charge(size_t *charged, size_t bytes)
{
    set_share(&used, charged, bytes);
}

void rk_memory_expect(size_t *expected, size_t bytes)
{
    set_share(&expected_bytes, expected, bytes);
}

size_t rk_memory_used(void)
{
    return atomic_load_explicit(&used, memory_order_relaxed);
}

static bool fits(size_t taken, size_t bytes)
{
    size_t most = rk_memory_budget();
    return !most || (taken <= most && bytes <= most - taken);
}

bool rk_memory_has_room(size_t bytes)
{
    return fits(rk_memory_used(), bytes);
}

bool rk_memory_has_unclaimed(size_t bytes)
{
    size_t claimed = atomic_load_explicit(&expected_bytes, memory_order_relaxed);
    return fits(rk_memory_used() + claimed, bytes);
}

bool rk_memory_is_scarce(void)
{
    size_t most = rk_memory_budget();
    return most && rk_memory_used() > most / 2;
}

size_t rk_memory_receive_bytes(void)
{
    size_t most = rk_memory_budget();
    size_t share = most / RECEIVE_SHARES;
    if (!most)
        return 0;
    return share > RECEIVE_BYTES_MIN ? share : RECEIVE_BYTES_MIN;
}

void rk_memory_count_refusal(void)
{
    rk_counter_add(RK_C_MEMORY_REFUSED, 1);
}

void rk_memory_log_changes(void)
{
    static uint64_t logged, seen;
    static int64_t refused_ms;
    static bool is_full;
    uint64_t refused = rk_counter_value(RK_C_MEMORY_REFUSED);
    int64_t now_ms = rk_mono_ms();
    if (refused != seen)
        refused_ms = now_ms;
    seen = refused;
    bool full = refused != logged && now_ms - refused_ms < QUIET_MS;
    if (full == is_full)
        return;
    is_full = full;
    RK_WARN(full ? "memory.full" : "memory.back",
            RK_N("buffered", (int64_t)rk_memory_used()),
            RK_N("budget", (int64_t)rk_memory_budget()),
            RK_N("refused", (int64_t)(refused - logged)));
    if (!full)
        logged = refused;
}
