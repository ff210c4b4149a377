#include "node/store_watch.h"

#include "common/eventlog.h"
#include "core/revision.h"
#include "core/watch_policy.h"

/* Duration of a watch while the store doesn't answer. It is short, so that the end
 * of the watch soon shows that the store has recovered. */
#define WATCH_LOST_MS 200
/* Least duration of a watch without changes. */
#define WATCH_MIN_MS   (WATCH_LOST_MS / 2)
#define RETRY_FIRST_MS 100
/* Together with WATCH_LOST_MS it lets a node notice a recovered store within 2 s,
 * the time in which VMs renew their entries there. */
#define RETRY_MAX_MS 500
/* Delay before a list after an answer with several changes: they come faster than
 * the answers arrive. */
#define BURST_MS 200

static void call_store(struct rk_store_watch *f);

/* Returns the time at which the current answer was up to date. Receiving it may
 * take seconds: a watch's answer counts from its first byte, a list from its
 * request. */
static int64_t answer_time_ms(const struct rk_store_watch *f)
{
    int64_t first_byte_ms = f->n->store->first_byte_at_ms;
    return first_byte_ms && !f->listing ? first_byte_ms : f->call_started_ms;
}

static void note_answer(struct rk_store_watch *f, enum rk_status st)
{
    bool lost = st != RK_OK && st != RK_EGONE;
    if (!lost) {
        f->answered_ms = answer_time_ms(f);
        f->on_answer(f->ctx);
    }
    if (lost == f->lost)
        return;
    f->lost = lost;
    RK_EVENT(lost ? "store.lost" : "store.back", RK_S("kind", f->kind),
             RK_S("status", rk_status_str(st)),
             RK_N("at", rk_revision_number(f->revision)));
}

static void retry_later(struct rk_store_watch *f)
{
    int64_t jitter = rk_rng_below(&f->n->rng, (uint32_t)f->retry_ms + 1);
    rk_timer_start(f->n->loop, &f->timer, f->retry_ms / 2 + jitter);
    f->retry_ms = f->retry_ms * 2 < RETRY_MAX_MS ? f->retry_ms * 2 : RETRY_MAX_MS;
}

/* Makes the next call a list, if that is cheaper than catching up by a watch. A
 * watch sends every missed change, and all of them again after a time-out: 25
 * versions of settings with 1,400 routes are 8 MB, which a node with a link of 10
 * Mbit/s did not receive until the store dropped that history, 20 s later. */
static void list_next(struct rk_store_watch *f)
{
    if (f->list_when_behind)
        f->revision = 0;
}

/* Lists the objects again: at once, or after a delay if the last list has not
 * helped either. A store that has no history would otherwise get thousands of calls
 * a second from each node. */
static void on_history_gone(struct rk_store_watch *f)
{
    RK_EVENT("store.history_gone", RK_S("kind", f->kind),
             RK_N("at", rk_revision_number(f->revision)));
    bool again = f->history_gone;
    f->history_gone = true;
    f->revision = 0;
    if (again)
        retry_later(f);
    else
        call_store(f);
}

static void on_answer(void *ctx, enum rk_status st,
                      const struct rk_store_object *objects, size_t len, int64_t at)
{
    struct rk_store_watch *f = ctx;
    f->busy = false;
    note_answer(f, st);
    if (st == RK_EGONE) {
        on_history_gone(f);
        return;
    }
    if (st != RK_OK) {
        if (st == RK_EUNKNOWN && f->n->store->first_byte_at_ms)
            list_next(f); /* cut off midway: the answer is too long for the link */
        /* An object that can't be parsed stays in the changes since then, also
         * after it was replaced, but not in the list. */
        if (st == RK_EPROTO)
            f->revision = 0;
        retry_later(f);
        return;
    }
    /* The store ends watches at once, instead of waiting for changes. */
    bool not_held =
        !f->listing && !len && rk_mono_ms() - f->call_started_ms < WATCH_MIN_MS;
    if (!f->listing)
        f->history_gone = false;
    /* The next call would get the same answer at once. */
    bool no_progress = !at || at < f->since || (len && at == f->since);
    if (!f->history_gone && !not_held && !no_progress)
        f->retry_ms = RETRY_FIRST_MS;
    /* Peers may have sent newer changes in the meantime. */
    if (at >= f->revision) {
        f->apply(f->ctx, objects, len, f->listing, at);
        f->revision = at;
    }
    bool burst = f->list_when_behind && !f->listing && len > 1;
    if (burst)
        list_next(f);
    int64_t delay_ms =
        burst && f->min_interval_ms < BURST_MS ? BURST_MS : f->min_interval_ms;
    if (not_held || no_progress)
        retry_later(f);
    else if (len && delay_ms)
        rk_timer_start(f->n->loop, &f->timer, delay_ms);
    else
        call_store(f);
}

static int64_t watch_duration_ms(const struct rk_store_watch *f)
{
    return f->lost ? WATCH_LOST_MS : RK_WATCH_POLICY_TIMEOUT_MS;
}

static void call_store(struct rk_store_watch *f)
{
    struct rk_store *store = f->n->store;
    if (f->busy || !f->enabled)
        return;
    rk_timer_stop(f->n->loop, &f->timer);
    f->busy = true;
    f->since = f->revision;
    f->listing = !f->since;
    f->call_started_ms = rk_mono_ms();
    if (f->listing && f->list_texts)
        store->ops->list_texts(store, f->kind, on_answer, f);
    else if (f->listing)
        store->ops->list(store, f->kind, false, on_answer, f);
    else
        store->ops->watch(store, f->kind, f->revision, watch_duration_ms(f),
                          on_answer, f);
}

static void on_timer(void *ctx)
{
    call_store(ctx);
}

void rk_store_watch_init(struct rk_store_watch *f)
{
    f->retry_ms = RETRY_FIRST_MS;
    f->timer = (struct rk_timer){.fn = on_timer, .ctx = f};
}

void rk_store_watch_enable(struct rk_store_watch *f, bool on)
{
    if (f->enabled == on)
        return;
    f->enabled = on;
    if (on)
        call_store(f);
    else
        rk_timer_stop(f->n->loop, &f->timer);
}

void rk_store_watch_skip_to(struct rk_store_watch *f, int64_t at)
{
    if (at > f->revision)
        f->revision = at;
}

void rk_store_watch_relist(struct rk_store_watch *f)
{
    if (!f->busy)
        list_next(f);
}

void rk_store_watch_destroy(struct rk_store_watch *f)
{
    rk_timer_stop(f->n->loop, &f->timer);
}
