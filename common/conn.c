#include "common/conn.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/addr.h"
#include "common/loop.h"
#include "common/util.h"

#define READ_BLOCK (32 * 1024)
#define KEPT_BYTES 2048 /* of a buffer whose bytes are all sent: a usual head */
#define LINGER_MS  1000 /* for the peer to read the last bytes and close */
#define USER_TIMEOUT_MS                                                            \
    3000 /* unacknowledged bytes for so long: the path is gone */

struct rk_conn {
    struct rk_loop *loop;
    const struct rk_conn_ops *ops; /* NULL: no callbacks any more */
    void *ctx;
    int fd;
    bool connecting;
    bool paused;
    bool lingering; /* ended in order; only flushes and waits */
    bool fin_sent;
    bool has_sent;
    bool dead; /* freed in the loop's next turn */
    uint32_t watched;
    struct rk_buf out;
    size_t out_pos;
    struct rk_timer timer; /* of the connect, or of lingering */
};

static void free_conn(void *ctx)
{
    struct rk_conn *c = ctx;
    rk_buf_free(&c->out);
    free(c);
}

/* Its functions may be on the stack: memory goes when they have returned. */
static void release(struct rk_conn *c)
{
    if (c->fd >= 0) {
        rk_loop_watch(c->loop, c->fd, 0, NULL, NULL);
        close(c->fd);
        c->fd = -1;
    }
    c->dead = true;
    c->timer.fn = free_conn;
    rk_timer_start(c->loop, &c->timer, 0);
}

static void on_event(void *ctx, int fd, uint32_t events);

static void watch(struct rk_conn *c)
{
    uint32_t want = EPOLLRDHUP;
    if (!c->paused && !c->connecting)
        want |= EPOLLIN;
    if (c->connecting || rk_conn_unsent(c))
        want |= EPOLLOUT;
    if (want == c->watched)
        return;
    c->watched = want;
    rk_loop_watch(c->loop, c->fd, want, on_event, c);
}

/* The connection is over: tell its owner once. error 0: closed in order. */
static void end(struct rk_conn *c, int error)
{
    const struct rk_conn_ops *ops = c->ops;
    if (!ops) {
        release(c);
        return;
    }
    c->ops = NULL;
    rk_loop_watch(c->loop, c->fd, 0, NULL, NULL);
    c->watched = 0;
    if (error)
        ops->on_error(c->ctx, error);
    else
        ops->on_eof(c->ctx);
}

static void finish_lingering(struct rk_conn *c)
{
    if (rk_conn_unsent(c) || c->fin_sent)
        return;
    c->fin_sent = true;
    shutdown(c->fd, SHUT_WR);
}

/* A node keeps hundreds of connections at rest: what a long prompt needed once
 * isn't kept for each of them. */
static void forget_sent(struct rk_conn *c)
{
    c->out.len = 0;
    c->out_pos = 0;
    if (c->out.cap > KEPT_BYTES)
        rk_buf_free(&c->out);
}

static void flush(struct rk_conn *c)
{
    while (rk_conn_unsent(c)) {
        ssize_t n =
            send(c->fd, c->out.data + c->out_pos, rk_conn_unsent(c), MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EAGAIN || errno == EINTR)
                break;
            c->out_pos = c->out.len; /* lost; the event that follows tells why */
            break;
        }
        c->has_sent = true;
        c->out_pos += (size_t)n;
    }
    if (!rk_conn_unsent(c))
        forget_sent(c);
    if (c->lingering)
        finish_lingering(c);
    watch(c);
}

static void finish_connect(struct rk_conn *c)
{
    int error = 0;
    socklen_t len = sizeof(error);
    getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
    if (error) {
        end(c, error);
        return;
    }
    c->connecting = false;
    rk_timer_stop(c->loop, &c->timer);
    if (c->ops && c->ops->on_up)
        c->ops->on_up(c->ctx);
    if (!c->dead)
        flush(c);
}

/* One block; what is left raises the event again. */
static void take(struct rk_conn *c)
{
    static _Thread_local char block[READ_BLOCK];
    ssize_t n = recv(c->fd, block, sizeof(block), 0);
    if (n < 0) {
        if (errno != EAGAIN && errno != EINTR)
            end(c, errno);
        return;
    }
    if (n == 0) {
        end(c, 0);
        return;
    }
    if (c->ops)
        c->ops->on_data(c->ctx, block, (size_t)n);
}

static void on_event(void *ctx, int fd, uint32_t events)
{
    (void)fd;
    struct rk_conn *c = ctx;
    if (c->connecting) {
        finish_connect(c);
        return;
    }
    if (events & EPOLLOUT) {
        bool had = rk_conn_unsent(c) > 0;
        flush(c);
        if (!c->dead && c->ops && had && !rk_conn_unsent(c) && c->ops->on_drained)
            c->ops->on_drained(c->ctx);
    }
    bool readable = events & (EPOLLIN | EPOLLERR | EPOLLHUP);
    if (!c->dead && readable && (!c->paused || !(events & EPOLLIN)))
        take(c);
    else if (!c->dead && c->ops && c->paused && (events & EPOLLRDHUP))
        end(c, 0);
}

static void on_timer(void *ctx)
{
    struct rk_conn *c = ctx;
    if (c->lingering)
        release(c);
    else
        end(c, ETIMEDOUT);
}

static struct rk_conn *create(struct rk_loop *loop, int fd,
                              const struct rk_conn_ops *ops, void *ctx)
{
    int one = 1, limit = USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    struct rk_conn *c = rk_alloc(1, sizeof(*c));
    *c = (struct rk_conn){.loop = loop, .ops = ops, .ctx = ctx, .fd = fd};
    c->timer = (struct rk_timer){.fn = on_timer, .ctx = c};
    return c;
}

struct rk_conn *rk_conn_connect(struct rk_loop *loop, const char *addr,
                                int64_t limit_ms, const struct rk_conn_ops *ops,
                                void *ctx)
{
    struct sockaddr_in sin;
    if (!rk_addr_parse(addr, &sin))
        return NULL;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return NULL;
    if (connect(fd, (struct sockaddr *)&sin, sizeof(sin)) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    struct rk_conn *c = create(loop, fd, ops, ctx);
    c->connecting = true;
    watch(c);
    rk_timer_start(loop, &c->timer, limit_ms);
    return c;
}

struct rk_conn *rk_conn_adopt(struct rk_loop *loop, int fd,
                              const struct rk_conn_ops *ops, void *ctx)
{
    struct rk_conn *c = create(loop, fd, ops, ctx);
    watch(c);
    return c;
}

void rk_conn_set_owner(struct rk_conn *c, const struct rk_conn_ops *ops, void *ctx)
{
    c->ops = ops;
    c->ctx = ctx;
}

void rk_conn_write(struct rk_conn *c, const void *data, size_t len)
{
    if (c->dead || c->fd < 0 || !len)
        return;
    rk_buf_add(&c->out, data, len);
    if (c->connecting)
        return;
    flush(c);
}

size_t rk_conn_unsent(const struct rk_conn *c)
{
    return c->out.len - c->out_pos;
}

bool rk_conn_has_sent(const struct rk_conn *c)
{
    return c->has_sent;
}

void rk_conn_pause(struct rk_conn *c, bool paused)
{
    if (c->dead || !c->ops || c->paused == paused)
        return;
    c->paused = paused;
    watch(c);
}

/* What still comes in is dropped. */
static void drop_data(void *ctx, const char *data, size_t len)
{
    (void)ctx;
    (void)data;
    (void)len;
}

static void linger_over(void *ctx)
{
    release(ctx);
}

static void linger_failed(void *ctx, int error)
{
    (void)error;
    release(ctx);
}

static const struct rk_conn_ops linger_ops = {
    .on_data = drop_data, .on_eof = linger_over, .on_error = linger_failed};

void rk_conn_close(struct rk_conn *c)
{
    if (!c->ops || c->connecting) {
        release(c); /* over already, or nothing was sent */
        return;
    }
    rk_conn_set_owner(c, &linger_ops, c);
    c->lingering = true;
    rk_conn_pause(c, false);
    rk_timer_start(c->loop, &c->timer, LINGER_MS);
    flush(c);
}

bool rk_conn_close_idle(struct rk_conn *c)
{
    char byte;
    if (c->fd >= 0 && recv(c->fd, &byte, 1, MSG_PEEK) > 0)
        return false;
    c->ops = NULL;
    release(c);
    return true;
}

void rk_conn_abort(struct rk_conn *c)
{
    const struct linger hard = {.l_onoff = 1, .l_linger = 0};
    if (c->fd >= 0)
        setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &hard, sizeof(hard));
    c->ops = NULL;
    release(c);
}
