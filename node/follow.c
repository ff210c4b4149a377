#include "node/follow.h"

#include "common/eventlog.h"
#include "core/following.h"

#define WATCH_LOST_MS  200 /* its end tells soon that the store is back */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS   500 /* with WATCH_LOST_MS: back within 2 s, as entries are */
#define BURST_MS       200 /* before a list, when changes come faster than answers */

static void next(struct rk_follow *f);

/* When what an answer tells was the newest: it may take seconds to arrive. */
static int64_t known_at_ms(const struct rk_follow *f)
{
    int64_t began_ms = f->n->store->began_ms;
    return began_ms && !f->listing ? began_ms : f->began_ms;
}

static void note_store(struct rk_follow *f, enum rk_status st)
{
    bool lost = st != RK_OK && st != RK_EGONE;
    if (!lost) {
        f->heard_ms = known_at_ms(f);
        f->heard(f->ctx);
    }
    if (lost == f->lost)
        return;
    f->lost = lost;
    RK_EVENT(lost ? "store.lost" : "store.back", RK_S("kind", f->kind),
             RK_S("status", rk_status_str(st)), RK_N("at", f->at));
}

static void retry_later(struct rk_follow *f)
{
    int64_t jitter = rk_rng_below(&f->n->rng, (uint32_t)f->retry_ms + 1);
    rk_timer_start(f->n->loop, &f->again, f->retry_ms / 2 + jitter);
    f->retry_ms = f->retry_ms * 2 < RETRY_MAX_MS ? f->retry_ms * 2 : RETRY_MAX_MS;
}

/* A watch that missed changes is told each of them, again after each try that took
 * too long: 25 versions of settings with 1,400 routes are 8 MB, which a node with a
 * link of 10 Mbit/s did not get until the store forgot its history, 20 s later. */
static void list_next(struct rk_follow *f)
{
    if (f->list_when_behind)
        f->at = 0;
}

static void on_answer(void *ctx, enum rk_status st,
                      const struct rk_store_object *objects, size_t len, int64_t at)
{
    struct rk_follow *f = ctx;
    f->busy = false;
    note_store(f, st);
    if (st == RK_EGONE) {
        RK_EVENT("store.history_gone", RK_S("kind", f->kind), RK_N("at", f->at));
        f->at = 0;
        next(f);
        return;
    }
    if (st != RK_OK) {
        if (st == RK_EUNKNOWN && f->n->store->began_ms)
            list_next(
                f); /* cut off: what it missed takes longer than it may last */
        retry_later(f);
        return;
    }
    f->retry_ms = RETRY_FIRST_MS;
    /* A peer may have told more meanwhile. */
    if (at >= f->at) {
        f->apply(f->ctx, objects, len, f->listing, at);
        f->at = at;
    }
    bool burst = f->list_when_behind && !f->listing && len > 1;
    if (burst)
        list_next(f);
    int64_t pace_ms = burst && f->pace_ms < BURST_MS ? BURST_MS : f->pace_ms;
    if (len && pace_ms)
        rk_timer_start(f->n->loop, &f->again, pace_ms);
    else
        next(f);
}

static int64_t watch_ms(const struct rk_follow *f)
{
    return f->lost ? WATCH_LOST_MS : RK_FOLLOWING_WATCH_MS;
}

static void next(struct rk_follow *f)
{
    struct rk_store *store = f->n->store;
    if (f->busy || !f->on)
        return;
    rk_timer_stop(f->n->loop, &f->again);
    f->busy = true;
    f->listing = !f->at;
    f->began_ms = rk_mono_ms();
    if (f->listing)
        store->ops->list(store, f->kind, false, on_answer, f);
    else
        store->ops->watch(store, f->kind, f->at, watch_ms(f), on_answer, f);
}

static void on_again(void *ctx)
{
    next(ctx);
}

void rk_follow_init(struct rk_follow *f)
{
    f->retry_ms = RETRY_FIRST_MS;
    f->again = (struct rk_timer){.fn = on_again, .ctx = f};
}

void rk_follow_set(struct rk_follow *f, bool on)
{
    if (f->on == on)
        return;
    f->on = on;
    if (on)
        next(f);
    else
        rk_timer_stop(f->n->loop, &f->again);
}

void rk_follow_skip(struct rk_follow *f, int64_t at)
{
    if (at > f->at)
        f->at = at;
}

void rk_follow_forget(struct rk_follow *f)
{
    if (!f->busy)
        list_next(f);
}

void rk_follow_destroy(struct rk_follow *f)
{
    rk_timer_stop(f->n->loop, &f->again);
}
