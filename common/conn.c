#include "common/conn.h"

#include <errno.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/addr.h"
#include "common/counters.h"
#include "common/loop.h"
#include "common/memory.h"
#include "common/util.h"

#define READ_BLOCK_LEN (32 * 1024)
/* The same while memory is scarce. */
#define SCARCE_BLOCK_LEN (4 * 1024 - 1)
/* Largest output buffer to keep after its bytes are sent: holds a usual head. */
#define RETAINED_MAX 2048
/* Bytes that the kernel buffers for an accepted connection besides those in flight.
 * Otherwise it takes megabytes for each peer that doesn't read. */
#define KERNEL_UNSENT_MAX (256 * 1024)
/* Time for the peer to read some of the last bytes, or to close after them. */
#define LINGER_MS 1000
/* The connection has failed when sent bytes stay unacknowledged for so long. */
#define USER_TIMEOUT_MS 3000
/* What a connection may carry at once before its buffer in the kernel is bounded.
 */
#define LONG_MESSAGE_BYTES ((size_t)64 * 1024)

struct rk_conn {
    struct rk_loop *loop;
    const struct rk_conn_ops *ops; /* NULL: no further callbacks */
    void *ctx;
    int fd;
    bool connecting;
    bool paused;
    bool held;      /* paused without noticing the peer's close */
    bool lingering; /* closed by the owner: sends the rest, waits for the peer */
    bool fin_sent;
    bool has_sent;
    int send_error; /* errno of a failed send; 0: none */
    bool is_receive_bounded;
    size_t read_since_write;
    bool released;           /* the timer will free the memory */
    uint32_t watched_events; /* epoll events */
    struct rk_buf out;       /* bytes to send */
    size_t out_pos;          /* how many of them the kernel has taken */
    size_t undelivered;      /* at the last check while lingering */
    size_t charged;          /* bytes of out in the account of memory */
    struct rk_timer timer;   /* limits the connect or the lingering, or reports a
                              * failed send */
    TAILQ_ENTRY(rk_conn) lingering_entry;
};

static _Atomic int linger_max;
/* Closed connections of this thread, the one that waits longest first. */
static _Thread_local TAILQ_HEAD(, rk_conn) lingering;
static _Thread_local int lingering_len;

static void free_conn(void *ctx)
{
    struct rk_conn *c = ctx;
    rk_buf_free(&c->out);
    rk_memory_charge(&c->charged, 0);
    free(c);
}

/* Closes the socket. The memory is freed by a timer, as functions that use c may
 * still be on the call stack. */
static void release(struct rk_conn *c)
{
    if (c->lingering) {
        c->lingering = false;
        lingering_len--;
        TAILQ_REMOVE(&lingering, c, lingering_entry);
    }
    if (c->fd >= 0) {
        rk_loop_watch(c->loop, c->fd, 0, NULL, NULL);
        close(c->fd);
        c->fd = -1;
    }
    c->released = true;
    c->timer.fn = free_conn;
    rk_timer_start(c->loop, &c->timer, 0);
}

static void on_event(void *ctx, int fd, uint32_t events);

static void update_watch(struct rk_conn *c)
{
    uint32_t events = c->held ? 0 : EPOLLRDHUP;
    if (!c->paused && !c->held && !c->connecting)
        events |= EPOLLIN;
    if (c->connecting || rk_conn_unsent_len(c))
        events |= EPOLLOUT;
    if (events == c->watched_events)
        return;
    c->watched_events = events;
    rk_loop_watch(c->loop, c->fd, events, on_event, c);
}

/* Notifies the owner, once, that the connection has ended. error is an errno, or 0
 * if the kernel reports an orderly close. It does so, too, if a failed send has
 * taken the error of a reset from the socket; but after EPIPE the close was
 * orderly: the peer closed before it reset the connection because of what was sent.
 */
static void notify_end(struct rk_conn *c, int error)
{
    const struct rk_conn_ops *ops = c->ops;
    if (!error && c->send_error != EPIPE)
        error = c->send_error;
    if (!ops) {
        release(c);
        return;
    }
    c->ops = NULL;
    rk_loop_watch(c->loop, c->fd, 0, NULL, NULL);
    c->watched_events = 0;
    if (error)
        ops->on_error(c->ctx, error);
    else
        ops->on_eof(c->ctx);
}

static void shutdown_if_sent(struct rk_conn *c)
{
    if (rk_conn_unsent_len(c) || c->fin_sent)
        return;
    c->fin_sent = true;
    shutdown(c->fd, SHUT_WR);
}

/* Empties the output buffer, and frees it if it is large: a node has hundreds of
 * idle connections, and each that once carried a long prompt would keep memory for
 * it. */
static void clear_output(struct rk_conn *c)
{
    c->out.len = 0;
    c->out_pos = 0;
    if (c->out.cap > RETAINED_MAX)
        rk_buf_free(&c->out);
    rk_memory_charge(&c->charged, c->out.cap);
}

/* Returns whether a send failed as the connection has ended, which an epoll event
 * reports after what was received has been read. */
static bool has_ended(int error)
{
    return error == EPIPE || error == ECONNRESET || error == ECONNABORTED ||
           error == ETIMEDOUT || error == EHOSTUNREACH || error == ENETUNREACH;
}

/* Drops what was to be sent. The owner, which may be in a write, is told from the
 * event loop. */
static void fail_send(struct rk_conn *c, int error)
{
    c->out_pos = c->out.len;
    c->send_error = error;
    if (!has_ended(error) && !c->lingering)
        rk_timer_start(c->loop, &c->timer, 0);
}

static void flush(struct rk_conn *c)
{
    while (rk_conn_unsent_len(c)) {
        ssize_t n = send(c->fd, c->out.data + c->out_pos, rk_conn_unsent_len(c),
                         MSG_NOSIGNAL);
        if (n < 0) {
            if (errno == EAGAIN || errno == EINTR)
                break;
            fail_send(c, errno);
            break;
        }
        c->has_sent = true;
        c->out_pos += (size_t)n;
    }
    if (!rk_conn_unsent_len(c))
        clear_output(c);
    if (c->lingering)
        shutdown_if_sent(c);
    update_watch(c);
}

static int socket_error(const struct rk_conn *c)
{
    int error = 0;
    socklen_t len = sizeof(error);
    getsockopt(c->fd, SOL_SOCKET, SO_ERROR, &error, &len);
    return error;
}

static void finish_connect(struct rk_conn *c)
{
    int error = socket_error(c);
    if (error) {
        notify_end(c, error);
        return;
    }
    c->connecting = false;
    rk_timer_stop(c->loop, &c->timer);
    if (c->ops && c->ops->on_connected)
        c->ops->on_connected(c->ctx);
    if (!c->released)
        flush(c);
}

/* Keeps the kernel's buffer from growing with a long message. Otherwise it takes
 * megabytes from a peer that goes on sending when reading is paused. Short messages
 * don't make it grow. */
static void bound_receiving(struct rk_conn *c)
{
    int bytes = (int)rk_memory_receive_bytes();
    if (c->is_receive_bounded || !bytes)
        return;
    c->is_receive_bounded = true;
    setsockopt(c->fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    rk_counter_add(RK_C_RECEIVE_BOUNDED, 1);
}

/* Reads one block. epoll is level-triggered: unread bytes raise the event again. */
static void read_block(struct rk_conn *c)
{
    static _Thread_local char block[READ_BLOCK_LEN];
    size_t max = rk_memory_is_scarce() ? SCARCE_BLOCK_LEN : sizeof(block);
    ssize_t n = recv(c->fd, block, max, 0);
    if (n < 0) {
        if (errno != EAGAIN && errno != EINTR)
            notify_end(c, errno);
        return;
    }
    if (n == 0) {
        notify_end(c, 0);
        return;
    }
    rk_loop_note_progress(c->loop);
    c->read_since_write += (size_t)n;
    if (c->read_since_write >= LONG_MESSAGE_BYTES)
        bound_receiving(c);
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
    /* Not after flush(): it drops the queue, and the owner of an empty queue goes
     * on to answer what it has received. */
    if (c->paused && (events & (EPOLLERR | EPOLLHUP))) {
        notify_end(c, socket_error(c));
        return;
    }
    if (events & EPOLLOUT) {
        bool had_unsent = rk_conn_unsent_len(c) > 0;
        flush(c);
        if (!c->released && c->ops && had_unsent && !rk_conn_unsent_len(c) &&
            c->ops->on_drained)
            c->ops->on_drained(c->ctx);
    }
    bool readable = events & (EPOLLIN | EPOLLERR | EPOLLHUP);
    if (!c->released && readable && !c->paused)
        read_block(c);
    else if (!c->released && c->ops && c->paused && (events & EPOLLRDHUP))
        notify_end(c, 0);
}

/* Returns how many written bytes the peer has not acknowledged. The kernel takes
 * more of them only in large steps, so that a slow peer's progress shows in what it
 * still holds. */
static size_t undelivered_len(const struct rk_conn *c)
{
    int in_kernel = 0;
    if (ioctl(c->fd, SIOCOUTQ, &in_kernel) < 0)
        in_kernel = 0;
    return rk_conn_unsent_len(c) + (size_t)in_kernel;
}

/* Goes on lingering as long as the peer reads. */
static void check_lingering(struct rk_conn *c)
{
    size_t left = undelivered_len(c);
    bool goes_on = rk_conn_unsent_len(c) && left < c->undelivered;
    c->undelivered = left;
    if (goes_on)
        rk_timer_start(c->loop, &c->timer, LINGER_MS);
    else
        release(c);
}

static void on_timer(void *ctx)
{
    struct rk_conn *c = ctx;
    if (c->lingering)
        check_lingering(c);
    else if (c->ops)
        notify_end(c, c->send_error ? c->send_error : ETIMEDOUT);
}

static struct rk_conn *create(struct rk_loop *loop, int fd,
                              const struct rk_conn_ops *ops, void *ctx)
{
    int one = 1, timeout_ms = USER_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms, sizeof(timeout_ms));
    struct rk_conn *c = rk_alloc(1, sizeof(*c));
    *c = (struct rk_conn){.loop = loop, .ops = ops, .ctx = ctx, .fd = fd};
    c->timer = (struct rk_timer){.fn = on_timer, .ctx = c};
    return c;
}

struct rk_conn *rk_conn_connect(struct rk_loop *loop, const char *addr,
                                int64_t timeout_ms, const struct rk_conn_ops *ops,
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
    update_watch(c);
    rk_timer_start(loop, &c->timer, timeout_ms);
    return c;
}

struct rk_conn *rk_conn_adopt(struct rk_loop *loop, int fd,
                              const struct rk_conn_ops *ops, void *ctx)
{
    int unsent = KERNEL_UNSENT_MAX;
    setsockopt(fd, IPPROTO_TCP, TCP_NOTSENT_LOWAT, &unsent, sizeof(unsent));
    struct rk_conn *c = create(loop, fd, ops, ctx);
    update_watch(c);
    return c;
}

void rk_conn_set_owner(struct rk_conn *c, const struct rk_conn_ops *ops, void *ctx)
{
    c->ops = ops;
    c->ctx = ctx;
}

void rk_conn_write(struct rk_conn *c, const void *data, size_t len)
{
    if (c->released || c->fd < 0 || c->send_error || !len)
        return;
    c->read_since_write = 0;
    rk_buf_add(&c->out, data, len);
    rk_memory_charge(&c->charged, c->out.cap);
    if (c->connecting)
        return;
    flush(c);
}

size_t rk_conn_unsent_len(const struct rk_conn *c)
{
    return c->out.len - c->out_pos;
}

bool rk_conn_has_sent_all(const struct rk_conn *c)
{
    return !c->send_error && !rk_conn_unsent_len(c);
}

bool rk_conn_has_sent(const struct rk_conn *c)
{
    return c->has_sent;
}

void rk_conn_set_paused(struct rk_conn *c, bool paused)
{
    if (c->released || !c->ops || c->paused == paused)
        return;
    c->paused = paused;
    update_watch(c);
}

void rk_conn_set_held(struct rk_conn *c, bool held)
{
    if (c->released || !c->ops || c->held == held)
        return;
    c->held = held;
    update_watch(c);
}

void rk_conn_keep_receive_buffer(struct rk_conn *c)
{
    c->is_receive_bounded = true;
}

static void discard_data(void *ctx, const char *data, size_t len)
{
    (void)ctx;
    (void)data;
    (void)len;
}

static void on_linger_eof(void *ctx)
{
    release(ctx);
}

static void on_linger_error(void *ctx, int error)
{
    (void)error;
    release(ctx);
}

static const struct rk_conn_ops linger_ops = {
    .on_data = discard_data, .on_eof = on_linger_eof, .on_error = on_linger_error};

void rk_conn_set_linger_max(int count)
{
    atomic_store_explicit(&linger_max, count, memory_order_relaxed);
}

static void add_lingering(struct rk_conn *c)
{
    int most = atomic_load_explicit(&linger_max, memory_order_relaxed);
    if (!lingering_len)
        TAILQ_INIT(&lingering);
    c->lingering = true;
    lingering_len++;
    TAILQ_INSERT_TAIL(&lingering, c, lingering_entry);
    if (most && lingering_len > most)
        release(TAILQ_FIRST(&lingering));
}

size_t rk_conn_flushing_count(void)
{
    size_t count = 0;
    struct rk_conn *c;
    if (!lingering_len)
        return 0;
    TAILQ_FOREACH(c, &lingering, lingering_entry)
    count += rk_conn_unsent_len(c) > 0;
    return count;
}

void rk_conn_close(struct rk_conn *c)
{
    if (!c->ops || c->connecting) {
        release(c); /* already ended, or nothing was sent */
        return;
    }
    rk_conn_set_owner(c, &linger_ops, c);
    add_lingering(c);
    rk_conn_set_paused(c, false);
    rk_timer_start(c->loop, &c->timer, LINGER_MS);
    flush(c);
    c->undelivered = undelivered_len(c);
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
    const struct linger reset = {.l_onoff = 1, .l_linger = 0};
    if (c->fd >= 0)
        setsockopt(c->fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    c->ops = NULL;
    release(c);
}
