#include "common/loop.h"

#include <assert.h>
#include <ck_ring.h>
#include <dlfcn.h>
#include <errno.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <time.h>
#include <unistd.h>

#include "common/arena.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/process.h"
#include "common/stderr.h"
#include "common/tsan.h"
#include "common/util.h"

#define DISPATCH_SLOTS  4096 /* ck_ring requires a power of two */
#define EVENT_BATCH_MAX 64
#define IDLE_WAIT_MS    60000

/* A loop spins if so many turns in a row, within the time below, have the same
 * cause only. */
#define SPIN_TURNS              4000
#define SPIN_MS                 2000
#define SPIN_REPORT_INTERVAL_MS 10000

/* Interval at which watches that the kernel had no room for are added again. */
#define REWATCH_INTERVAL_MS          50
#define UNWATCHED_REPORT_INTERVAL_MS 10000

/* How long a new loop waits while the kernel is short of files or memory. */
#define SHORTAGE_MAX_MS   10000
#define SHORTAGE_RETRY_MS 50

struct dispatch_entry {
    rk_callback_fn *fn;
    void *ctx;
};

struct watch {
    rk_fd_fn *fn;
    void *ctx;
    uint32_t events;
    bool unwatched; /* the kernel had no room for it: not in the epoll set */
};

/* What a turn of the loop was for: a descriptor, or else a timer. */
struct cause {
    int fd; /* -1: a timer */
    uint32_t events;
    void *fn; /* NULL: nothing, or several things */
};

CK_RING_PROTOTYPE(dispatch, dispatch_entry)

struct rk_loop {
    int epfd;
    int wakefd; /* eventfd that ends a wait in epoll */
    atomic_bool stopping;
    struct watch *watches; /* indexed by fd */
    size_t watches_len;
    size_t unwatched;              /* watches that are not in the epoll set */
    struct rk_timer rewatch;       /* runs while there are any */
    int64_t unwatched_reported_ms; /* 0: never */
    struct rk_timer **heap;        /* min-heap by due_ms */
    size_t heap_len, heap_cap;
    rk_callback_fn *before_batch, *after_batch;
    void *hook_ctx;
    ck_ring_t ring;
    struct dispatch_entry *ring_buf;
    struct rk_arena *scratch;
    bool progressed;   /* in this turn */
    struct cause last; /* of the last turn */
    int same_turns;    /* turns in a row of that cause */
    int64_t same_since_ms, spin_reported_ms;
};

static void on_rewatch(void *ctx);
static void on_wake(void *ctx, int fd, uint32_t events);

static int open_epoll(void)
{
    return epoll_create1(EPOLL_CLOEXEC);
}

static int open_eventfd(void)
{
    return eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
}

/* Returns a descriptor that a call of this name opens. While the kernel is short of
 * files or memory, which all processes share, the call is repeated. Ends the
 * process if it fails otherwise, or for too long. */
static int open_fd(int (*open)(void), const char *call)
{
    const struct timespec pause = {.tv_nsec = SHORTAGE_RETRY_MS * 1000000L};
    int64_t deadline_ms = rk_mono_ms() + SHORTAGE_MAX_MS;
    int fd;
    while ((fd = open()) < 0 && (errno == ENFILE || errno == ENOMEM) &&
           rk_mono_ms() < deadline_ms)
        nanosleep(&pause, NULL);
    if (fd >= 0)
        return fd;
    rk_stderr_printf("%s: %s\n", call, strerror(errno));
    rk_process_end(EXIT_FAILURE);
}

struct rk_loop *rk_loop_create(void)
{
    struct rk_loop *l = rk_alloc(1, sizeof(*l));
    l->epfd = open_fd(open_epoll, "epoll_create1");
    l->wakefd = open_fd(open_eventfd, "eventfd");
    l->ring_buf = rk_alloc(DISPATCH_SLOTS, sizeof(*l->ring_buf));
    ck_ring_init(&l->ring, DISPATCH_SLOTS);
    l->scratch = rk_arena_create();
    l->rewatch = (struct rk_timer){.fn = on_rewatch, .ctx = l};
    rk_loop_watch(l, l->wakefd, EPOLLIN, on_wake, l);
    return l;
}

void rk_loop_destroy(struct rk_loop *l)
{
    if (!l)
        return;
    close(l->epfd);
    close(l->wakefd);
    free(l->watches);
    free(l->heap);
    free(l->ring_buf);
    rk_arena_destroy(l->scratch);
    free(l);
}

struct rk_arena *rk_loop_scratch(struct rk_loop *l)
{
    return l->scratch;
}

static void wake(struct rk_loop *l)
{
    uint64_t one = 1;
    ssize_t n = write(l->wakefd, &one, sizeof(one));
    (void)n; /* if the eventfd's counter is full, a wake-up is pending already */
}

void rk_loop_stop(struct rk_loop *l)
{
    atomic_store(&l->stopping, true);
    wake(l);
}

void rk_loop_set_hooks(struct rk_loop *l, rk_callback_fn *before_batch,
                       rk_callback_fn *after_batch, void *ctx)
{
    l->before_batch = before_batch;
    l->after_batch = after_batch;
    l->hook_ctx = ctx;
}

bool rk_loop_post(struct rk_loop *l, rk_callback_fn *fn, void *ctx)
{
    struct dispatch_entry e = {.fn = fn, .ctx = ctx};
    if (atomic_load(&l->stopping))
        return false;
    RK_TSAN_RELEASE(&l->ring);
    if (!CK_RING_ENQUEUE_MPSC(dispatch, &l->ring, l->ring_buf, &e))
        return false;
    wake(l);
    return true;
}

static void run_dispatched(struct rk_loop *l)
{
    uint64_t count;
    ssize_t n = read(l->wakefd, &count, sizeof(count));
    (void)n;
    struct dispatch_entry e;
    while (CK_RING_DEQUEUE_MPSC(dispatch, &l->ring, l->ring_buf, &e)) {
        RK_TSAN_ACQUIRE(&l->ring);
        e.fn(e.ctx);
    }
}

static void on_wake(void *ctx, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    run_dispatched(ctx);
}

/* Brings the epoll set in line with a watch. Returns false if the kernel has no
 * room for it. */
static bool update_epoll(struct rk_loop *l, int fd, int op, uint32_t events)
{
    struct epoll_event ev = {.events = events, .data.fd = fd};
    if (epoll_ctl(l->epfd, op, fd, &ev) == 0 || op == EPOLL_CTL_DEL)
        return true;
    /* If the fd was closed without ending its watch and its number was reused,
     * epoll and the table disagree on whether it is registered. */
    if (errno == EEXIST)
        op = EPOLL_CTL_MOD;
    else if (errno == ENOENT)
        op = EPOLL_CTL_ADD;
    else
        return errno != ENOSPC && errno != ENOMEM;
    return epoll_ctl(l->epfd, op, fd, &ev) == 0 ||
           (errno != ENOSPC && errno != ENOMEM);
}

static void set_unwatched(struct rk_loop *l, struct watch *w, bool unwatched)
{
    l->unwatched += (size_t)unwatched - (size_t)w->unwatched;
    w->unwatched = unwatched;
    if (!l->unwatched)
        rk_timer_stop(l, &l->rewatch);
    else if (!l->rewatch.slot)
        rk_timer_start(l, &l->rewatch, REWATCH_INTERVAL_MS);
}

static void report_unwatched(struct rk_loop *l)
{
    int64_t now_ms = rk_mono_ms();
    if (l->unwatched_reported_ms &&
        now_ms - l->unwatched_reported_ms < UNWATCHED_REPORT_INTERVAL_MS)
        return;
    l->unwatched_reported_ms = now_ms;
    RK_WARN("loop.watch_failed", RK_N("watches", (int64_t)l->unwatched));
}

static void on_rewatch(void *ctx)
{
    struct rk_loop *l = ctx;
    report_unwatched(l);
    for (size_t i = 0; i < l->watches_len && l->unwatched; i++) {
        struct watch *w = &l->watches[i];
        if (w->unwatched && update_epoll(l, (int)i, EPOLL_CTL_ADD, w->events))
            set_unwatched(l, w, false);
    }
    if (l->unwatched)
        rk_timer_start(l, &l->rewatch, REWATCH_INTERVAL_MS);
}

void rk_loop_watch(struct rk_loop *l, int fd, uint32_t events, rk_fd_fn *fn,
                   void *ctx)
{
    assert(fd >= 0);
    if ((size_t)fd >= l->watches_len) {
        size_t len = (size_t)fd * 2 + 16;
        l->watches = rk_realloc(l->watches, len * sizeof(*l->watches));
        for (size_t i = l->watches_len; i < len; i++)
            l->watches[i] = (struct watch){0};
        l->watches_len = len;
    }
    struct watch *w = &l->watches[fd];
    int op = EPOLL_CTL_ADD;
    if (!events)
        op = EPOLL_CTL_DEL;
    else if (w->events)
        op = EPOLL_CTL_MOD;
    bool done = update_epoll(l, fd, op, events);
    w->fn = fn;
    w->ctx = ctx;
    w->events = events;
    set_unwatched(l, w, !done);
}

static void heap_set(struct rk_loop *l, size_t i, struct rk_timer *t)
{
    l->heap[i] = t;
    t->slot = i + 1;
}

static void sift_up(struct rk_loop *l, size_t i)
{
    struct rk_timer *t = l->heap[i];
    while (i > 0 && l->heap[(i - 1) / 2]->due_ms > t->due_ms) {
        heap_set(l, i, l->heap[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
    heap_set(l, i, t);
}

static void sift_down(struct rk_loop *l, size_t i)
{
    struct rk_timer *t = l->heap[i];
    for (;;) {
        size_t child = i * 2 + 1;
        if (child >= l->heap_len)
            break;
        if (child + 1 < l->heap_len &&
            l->heap[child + 1]->due_ms < l->heap[child]->due_ms)
            child++;
        if (l->heap[child]->due_ms >= t->due_ms)
            break;
        heap_set(l, i, l->heap[child]);
        i = child;
    }
    heap_set(l, i, t);
}

void rk_timer_stop(struct rk_loop *l, struct rk_timer *t)
{
    if (!t->slot)
        return;
    size_t i = t->slot - 1;
    t->slot = 0;
    struct rk_timer *last = l->heap[--l->heap_len];
    if (last == t)
        return;
    heap_set(l, i, last);
    sift_up(l, i);
    sift_down(l, last->slot - 1);
}

void rk_timer_start(struct rk_loop *l, struct rk_timer *t, int64_t delay_ms)
{
    rk_timer_stop(l, t);
    if (l->heap_len == l->heap_cap) {
        l->heap_cap = l->heap_cap ? l->heap_cap * 2 : 32;
        l->heap = rk_realloc(l->heap, l->heap_cap * sizeof(struct rk_timer *));
    }
    t->due_ms = rk_mono_ms() + (delay_ms > 0 ? delay_ms : 0);
    heap_set(l, l->heap_len, t);
    sift_up(l, l->heap_len++);
}

/* Adds a callback to the causes of a turn. */
static void add_cause(struct cause *c, bool *is_first, int fd, uint32_t events,
                      void *fn)
{
    if (*is_first)
        *c = (struct cause){.fd = fd, .events = events, .fn = fn};
    else if (c->fd != fd || c->fn != fn)
        c->fn = NULL;
    *is_first = false;
}

void rk_loop_note_progress(struct rk_loop *l)
{
    l->progressed = true;
}

static void report_spin(struct rk_loop *l, int64_t now_ms)
{
    Dl_info info = {0};
    char offset[32];
    rk_counter_add(RK_C_LOOP_SPINS, 1);
    if (l->spin_reported_ms &&
        now_ms - l->spin_reported_ms < SPIN_REPORT_INTERVAL_MS)
        return;
    l->spin_reported_ms = now_ms;
    dladdr(l->last.fn, &info);
    snprintf(offset, sizeof(offset), "+0x%zx",
             (size_t)((char *)l->last.fn - (char *)info.dli_fbase));
    RK_WARN("loop.spins", RK_N("turns", l->same_turns),
            RK_N("ms", now_ms - l->same_since_ms), RK_N("fd", l->last.fd),
            RK_N("events", l->last.events), RK_S("callback", offset));
}

/* Counts a turn, and reports a loop that goes round for one cause: nothing is done
 * about it, so that it comes up again at once. */
static void note_turn(struct rk_loop *l, const struct cause *c)
{
    rk_counter_add(RK_C_LOOP_TURNS, 1);
    bool same = !l->progressed && c->fn && c->fn == l->last.fn &&
                c->fd == l->last.fd && c->events == l->last.events;
    if (same && ++l->same_turns < SPIN_TURNS)
        return;
    int64_t now_ms = same ? rk_mono_ms() : 0;
    if (same && now_ms - l->same_since_ms <= SPIN_MS)
        report_spin(l, now_ms);
    l->last = *c;
    l->same_turns = 0;
    l->same_since_ms = rk_mono_ms();
}

static void run_timers(struct rk_loop *l, struct cause *cause, bool *is_first)
{
    int64_t now = rk_mono_ms();
    while (l->heap_len && l->heap[0]->due_ms <= now) {
        struct rk_timer *t = l->heap[0];
        add_cause(cause, is_first, -1, 0, (void *)t->fn);
        rk_timer_stop(l, t);
        t->fn(t->ctx);
    }
}

static int epoll_timeout_ms(struct rk_loop *l, int max_ms)
{
    if (!l->heap_len)
        return max_ms;
    int64_t left_ms = l->heap[0]->due_ms - rk_mono_ms();
    if (left_ms <= 0)
        return 0;
    return left_ms < max_ms ? (int)left_ms : max_ms;
}

void rk_loop_step(struct rk_loop *l, int max_ms)
{
    struct epoll_event ready[EVENT_BATCH_MAX];
    struct cause cause = {.fd = -1};
    l->progressed = false;
    bool is_first = true;
    int n =
        epoll_wait(l->epfd, ready, EVENT_BATCH_MAX, epoll_timeout_ms(l, max_ms));
    if (l->before_batch)
        l->before_batch(l->hook_ctx);
    for (int i = 0; i < n; i++) {
        int fd = ready[i].data.fd;
        struct watch w = l->watches[fd];
        /* Posted functions are no sign of a loop that spins. */
        add_cause(&cause, &is_first, fd, ready[i].events,
                  fd == l->wakefd ? NULL : (void *)w.fn);
        if (w.events)
            w.fn(w.ctx, fd, ready[i].events);
    }
    run_timers(l, &cause, &is_first);
    if (l->after_batch)
        l->after_batch(l->hook_ctx);
    note_turn(l, &cause);
}

void rk_loop_run(struct rk_loop *l)
{
    while (!atomic_load(&l->stopping))
        rk_loop_step(l, IDLE_WAIT_MS);
}
