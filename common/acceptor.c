#include "common/acceptor.h"

#include <errno.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/eventlog.h"

#define BATCH_MAX          64 /* connections accepted per loop iteration */
#define PAUSE_MS           50
#define REPORT_INTERVAL_MS 10000

static void on_event(void *ctx, int fd, uint32_t events);

static void watch(struct rk_acceptor *a)
{
    bool wanted = a->on && !a->pause.slot;
    rk_loop_watch(a->loop, a->fd, wanted ? EPOLLIN : 0, on_event, a);
}

static void on_pause_end(void *ctx)
{
    watch(ctx);
}

/* Returns whether accept() failed for want of descriptors or memory. */
static bool is_shortage(int error)
{
    return error == EMFILE || error == ENFILE || error == ENOBUFS ||
           error == ENOMEM;
}

static void report(struct rk_acceptor *a, int error)
{
    int64_t now_ms = rk_mono_ms();
    a->failures++;
    if (a->reported_ms && now_ms - a->reported_ms < REPORT_INTERVAL_MS)
        return;
    RK_WARN("accept.paused", RK_S("listen", a->addr), RK_S("why", strerror(error)),
            RK_N("times", (int64_t)a->failures));
    a->failures = 0;
    a->reported_ms = now_ms;
}

static void pause_accepting(struct rk_acceptor *a, int error)
{
    report(a, error);
    rk_timer_start(a->loop, &a->pause, PAUSE_MS);
    watch(a);
}

static void on_event(void *ctx, int fd, uint32_t events)
{
    (void)events;
    struct rk_acceptor *a = ctx;
    int accepted = 0, error = 0;
    for (int i = 0; i < BATCH_MAX && a->on; i++) {
        int conn = accept4(fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
        if (conn >= 0) {
            accepted++;
            rk_loop_note_progress(a->loop);
            a->on_accept(a->ctx, conn);
            continue;
        }
        error = errno;
        if (error == EAGAIN)
            return;
        if (is_shortage(error) && !(a->make_room && a->make_room(a->ctx))) {
            pause_accepting(a, error);
            return;
        }
        /* Other errors are those of a single connection, which is gone now. */
    }
    /* The errors are not of single connections if nothing else comes. */
    if (error && !accepted && a->on)
        pause_accepting(a, error);
}

void rk_acceptor_start(struct rk_acceptor *a, struct rk_loop *loop, int fd,
                       const char *addr, void (*on_accept)(void *ctx, int fd),
                       bool (*make_room)(void *ctx), void *ctx)
{
    *a = (struct rk_acceptor){.loop = loop,
                              .fd = fd,
                              .on_accept = on_accept,
                              .make_room = make_room,
                              .ctx = ctx,
                              .on = true};
    a->pause = (struct rk_timer){.fn = on_pause_end, .ctx = a};
    rk_strcpy(a->addr, sizeof(a->addr), addr);
    watch(a);
}

void rk_acceptor_set_on(struct rk_acceptor *a, bool on)
{
    a->on = on;
    watch(a);
}

void rk_acceptor_close(struct rk_acceptor *a)
{
    rk_timer_stop(a->loop, &a->pause);
    rk_loop_watch(a->loop, a->fd, 0, NULL, NULL);
    close(a->fd);
    a->fd = -1;
}
