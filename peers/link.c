#include "peers/link.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/ioctl.h>
#include <sys/socket.h>
#include <linux/sockios.h>
#include <unistd.h>

#include "common/acceptor.h"
#include "common/addr.h"
#include "common/arena.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/listen.h"
#include "common/loop.h"
#include "common/memory.h"
#include "common/util.h"
#include "peers/frame_bounds.h"

#define LENGTH_PREFIX_BYTES 4
#define SEND_BUFFER_MAX     (8 * 1024 * 1024)
#define READ_CHUNK_BYTES    (64 * 1024)
#define ODD_LOG_INTERVAL_MS 1000 /* between log lines on odd numbers of a peer */
/* Largest buffer to keep when it is empty. */
#define RETAINED_MAX (8 * 1024)
/* Of the account of memory, for the buffers of all links. */
#define BUDGET_SHARES 4
/* The least that this share is: two of the longest frames fit into half of it. */
#define SHARE_BYTES_MIN ((size_t)4 * RK_FRAME_MAX)
/* A link takes so much beyond that share. */
#define ALWAYS_BUFFERED_MAX (64 * 1024)
/* Longest part of a frame that a link may hold for as long as it likes. */
#define PART_BYTES_MAX (4 * 1024)
/* Beyond half of the share, links are closed whose longer frames aren't whole
 * after: */
#define PART_TIMEOUT_MS        1000
#define PART_CHECK_INTERVAL_MS 250

/* Time without progress after which a path counts as broken. A link that is merely
 * saturated sends something within it. */
#define STALL_TIMEOUT_MS 500
/* TCP_USER_TIMEOUT: the kernel ends a connection whose bytes were not acknowledged
 * for this long. */
#define UNACKED_TIMEOUT_MS 2500

struct rk_link {
    struct rk_loop *loop;
    int fd;
    const struct rk_link_ops *ops;
    void *ctx;
    bool up, was_up, down;
    /* If rk_link_destroy() is called in a callback, the link is freed after it. */
    bool in_callback, destroyed;
    struct rk_buf in, out;
    size_t charged;             /* bytes of both in the account of memory */
    struct rk_timer part_timer; /* runs while a long frame is not whole */
    int64_t part_since_ms;
    uint64_t queued_total; /* bytes of all frames so far */
    /* At the last call of rk_link_queued_len(): bytes that waited, and those that
     * had been acknowledged. */
    size_t sampled_waiting;
    uint64_t sampled_acked;
    int64_t progress_ms; /* when that call last saw progress, or nothing waiting */
    bool progressed;     /* that call saw progress */
    int64_t odd_logged_ms; /* last log line on an odd number of the peer */
};

/* Bytes that all links buffer. */
static _Atomic size_t buffered;

struct rk_listener {
    struct rk_loop *loop;
    struct rk_acceptor acceptor;
    const struct rk_link_ops *ops;
    void (*on_accept)(void *ctx, struct rk_link *l);
    void *ctx;
    char addr[RK_ADDR_MAX];
};

static void on_part_timer(void *ctx);

/* Frees large buffers that are empty, and brings the accounts up to date. */
static void update_accounts(struct rk_link *l)
{
    if (!l->in.len && l->in.cap > RETAINED_MAX)
        rk_buf_free(&l->in);
    if (!l->out.len && l->out.cap > RETAINED_MAX)
        rk_buf_free(&l->out);
    size_t bytes = l->in.cap + l->out.cap;
    /* Unsigned wrap-around subtracts. */
    atomic_fetch_add_explicit(&buffered, bytes - l->charged, memory_order_relaxed);
    rk_memory_charge(&l->charged, bytes);
}

/* Returns whether all links buffer less than a fraction of their share. */
static bool is_within_share(size_t further, size_t fraction)
{
    size_t budget = rk_memory_budget(), share = budget / BUDGET_SHARES;
    size_t held = atomic_load_explicit(&buffered, memory_order_relaxed);
    if (share < SHARE_BYTES_MIN)
        share = SHARE_BYTES_MIN;
    return !budget || held + further <= share / fraction;
}

static struct rk_link *make_link(struct rk_loop *loop, int fd,
                                 const struct rk_link_ops *ops, void *ctx)
{
    struct rk_link *l = rk_alloc(1, sizeof(*l));
    *l = (struct rk_link){.loop = loop, .fd = fd, .ops = ops, .ctx = ctx};
    l->in.max = RK_FRAME_MAX + LENGTH_PREFIX_BYTES + READ_CHUNK_BYTES;
    l->out.max = SEND_BUFFER_MAX;
    l->part_timer = (struct rk_timer){.fn = on_part_timer, .ctx = l};
    int one = 1, limit = UNACKED_TIMEOUT_MS;
    setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    setsockopt(fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof(limit));
    return l;
}

static void free_link(struct rk_link *l)
{
    rk_timer_stop(l->loop, &l->part_timer);
    rk_buf_free(&l->in);
    rk_buf_free(&l->out);
    update_accounts(l);
    free(l);
}

static void close_fd(struct rk_link *l)
{
    if (l->fd < 0)
        return;
    rk_loop_watch(l->loop, l->fd, 0, NULL, NULL);
    close(l->fd);
    l->fd = -1;
}

static void mark_down(struct rk_link *l)
{
    if (l->down)
        return;
    l->down = true;
    l->up = false;
    rk_timer_stop(l->loop, &l->part_timer);
    close_fd(l);
    if (!l->destroyed)
        l->ops->on_down(l->ctx, l);
}

/* Ends links whose frames don't become whole while others need the memory. */
static void on_part_timer(void *ctx)
{
    struct rk_link *l = ctx;
    bool is_late = rk_mono_ms() - l->part_since_ms >= PART_TIMEOUT_MS;
    if (is_late && !is_within_share(0, 2))
        mark_down(l);
    else
        rk_timer_start(l->loop, &l->part_timer, PART_CHECK_INTERVAL_MS);
}

/* Watches over a frame that is not whole and takes much memory. was_len: the bytes
 * of it before this input; 0: none, or it has become whole. */
static void watch_part(struct rk_link *l, size_t was_len)
{
    if (l->in.len <= PART_BYTES_MAX) {
        rk_timer_stop(l->loop, &l->part_timer);
    } else if (was_len <= PART_BYTES_MAX || l->in.len <= was_len) {
        l->part_since_ms = rk_mono_ms();
        rk_timer_start(l->loop, &l->part_timer, PART_CHECK_INTERVAL_MS);
    }
}

static void on_socket_event(void *ctx, int fd, uint32_t events);

/* Waits for writability, too, while connecting or with bytes to send. */
static void update_events(struct rk_link *l)
{
    if (l->fd < 0)
        return;
    uint32_t events = EPOLLIN;
    if (!l->up || l->out.len)
        events |= EPOLLOUT;
    rk_loop_watch(l->loop, l->fd, events, on_socket_event, l);
}

/* Sends as much of the buffer as the kernel takes. Returns false on an error. */
static bool flush(struct rk_link *l)
{
    while (l->out.len) {
        ssize_t n = send(l->fd, l->out.data, l->out.len, MSG_NOSIGNAL);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return true;
        if (n <= 0)
            return false;
        rk_buf_consume(&l->out, (size_t)n);
    }
    return true;
}

/* ProtobufCAllocator's functions for frames in an arena. */
static void *alloc_in_arena(void *ctx, size_t len)
{
    return rk_arena_alloc(ctx, len);
}

static void free_in_arena(void *ctx, void *piece)
{
    (void)ctx;
    (void)piece; /* the arena is reset as a whole */
}

static long decode(const uint8_t *data, size_t len, ProtobufCAllocator *allocator,
                   Rillknot__Frame **frame)
{
    *frame = NULL;
    if (len < LENGTH_PREFIX_BYTES)
        return 0;
    size_t body = ((size_t)data[0] << 24) | ((size_t)data[1] << 16) |
                  ((size_t)data[2] << 8) | data[3];
    if (!body || body > RK_FRAME_MAX)
        return -1;
    if (len < LENGTH_PREFIX_BYTES + body)
        return 0;
    *frame = rillknot__frame__unpack(allocator, body, data + LENGTH_PREFIX_BYTES);
    return *frame ? (long)(LENGTH_PREFIX_BYTES + body) : -1;
}

long rk_frame_decode(const uint8_t *data, size_t len, Rillknot__Frame **frame)
{
    return decode(data, len, NULL, frame);
}

long rk_frame_decode_in(const uint8_t *data, size_t len, struct rk_arena *arena,
                        Rillknot__Frame **frame)
{
    ProtobufCAllocator allocator = {
        .alloc = alloc_in_arena, .free = free_in_arena, .allocator_data = arena};
    return decode(data, len, &allocator, frame);
}

static void log_odd_number(struct rk_link *l, const struct rk_odd_number *odd,
                           bool whole_frame, size_t removed)
{
    struct sockaddr_in sa = {0};
    socklen_t len = sizeof(sa);
    char value[32], ip[INET_ADDRSTRLEN] = "";
    int64_t now_ms = rk_mono_ms();
    if (l->odd_logged_ms && now_ms - l->odd_logged_ms < ODD_LOG_INTERVAL_MS)
        return;
    l->odd_logged_ms = now_ms;
    if (!getpeername(l->fd, (struct sockaddr *)&sa, &len))
        inet_ntop(AF_INET, &sa.sin_addr, ip, sizeof(ip));
    snprintf(value, sizeof(value), "%.10g", odd->value);
    RK_WARN("peer.number_rejected", RK_S("ip", ip),
            RK_N("port", ntohs(sa.sin_port)), RK_S("message", odd->message),
            RK_S("field", odd->field), RK_S("value", value),
            RK_N("whole_frame", whole_frame), RK_N("rows", (int64_t)removed));
}

/* Removes what a frame says with odd numbers. Returns whether to use the rest. */
static bool check_numbers(struct rk_link *l, Rillknot__Frame *f)
{
    struct rk_odd_number odd = {0};
    size_t removed = 0;
    bool usable = rk_message_check_numbers(&f->base, &removed, &odd);
    if (odd.message)
        log_odd_number(l, &odd, !usable, removed);
    return usable;
}

/* Passes all complete frames in the input buffer on. Returns false if the input is
 * malformed. */
static bool dispatch_frames(struct rk_link *l)
{
    struct rk_arena *arena = rk_loop_scratch(l->loop);
    size_t used = 0;
    while (!l->destroyed && !l->down) {
        Rillknot__Frame *f;
        long n = rk_frame_decode_in((uint8_t *)l->in.data + used, l->in.len - used,
                                    arena, &f);
        if (n > 0 && check_numbers(l, f))
            l->ops->on_frame(l->ctx, l, f);
        rk_arena_reset(arena);
        if (n < 0)
            return false;
        if (n == 0)
            break;
        used += (size_t)n;
    }
    if (!l->destroyed)
        rk_buf_consume(&l->in, used);
    return true;
}

/* Reads and dispatches what the socket has. Returns false if the peer closed the
 * connection, on an error, and on malformed input. */
static bool read_available(struct rk_link *l)
{
    static _Thread_local char chunk[READ_CHUNK_BYTES];
    for (;;) {
        ssize_t n = recv(l->fd, chunk, sizeof(chunk), 0);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            return true;
        if (n <= 0)
            return false;
        rk_loop_note_progress(l->loop);
        size_t was_len = l->in.len;
        if (!rk_buf_add(&l->in, chunk, (size_t)n) || !dispatch_frames(l))
            return false;
        if (l->destroyed || l->down)
            return true;
        if (l->in.len > PART_BYTES_MAX && !is_within_share((size_t)n, 1))
            return false;
        watch_part(l, was_len);
        if ((size_t)n < sizeof(chunk))
            return true;
    }
}

/* Returns false if the connection attempt failed. */
static bool finish_connect(struct rk_link *l)
{
    int err = 0;
    socklen_t len = sizeof(err);
    getsockopt(l->fd, SOL_SOCKET, SO_ERROR, &err, &len);
    if (err)
        return false;
    l->up = l->was_up = true;
    if (l->ops->on_up)
        l->ops->on_up(l->ctx, l);
    return true;
}

static void on_socket_event(void *ctx, int fd, uint32_t events)
{
    (void)fd;
    struct rk_link *l = ctx;
    l->in_callback = true;
    bool ok = true;
    if (!l->up)
        ok = !(events & (EPOLLERR | EPOLLHUP)) && finish_connect(l);
    if (ok && !l->destroyed && (events & (EPOLLIN | EPOLLHUP | EPOLLERR)))
        ok = read_available(l);
    if (ok && !l->destroyed && !l->down)
        ok = flush(l);
    if (!ok)
        mark_down(l);
    else if (!l->destroyed)
        update_events(l);
    l->in_callback = false;
    if (l->destroyed)
        free_link(l);
    else
        update_accounts(l);
}

struct rk_link *rk_link_connect(struct rk_loop *loop, const char *addr,
                                const struct rk_link_ops *ops, void *ctx)
{
    struct sockaddr_in sa;
    if (!rk_addr_parse(addr, &sa))
        return NULL;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return NULL;
    if (connect(fd, (struct sockaddr *)&sa, sizeof(sa)) < 0 &&
        errno != EINPROGRESS) {
        close(fd);
        return NULL;
    }
    struct rk_link *l = make_link(loop, fd, ops, ctx);
    update_events(l);
    return l;
}

void rk_link_destroy(struct rk_link *l)
{
    if (!l)
        return;
    l->destroyed = true;
    close_fd(l);
    if (!l->in_callback)
        free_link(l);
}

struct rk_packed_frame rk_frame_pack(const Rillknot__Frame *frame)
{
    struct rk_packed_frame p = {0};
    size_t len = rillknot__frame__get_packed_size(frame);
    if (len > RK_FRAME_MAX)
        return p;
    p.len = len + LENGTH_PREFIX_BYTES;
    p.data = rk_alloc(1, p.len);
    for (int i = 0; i < LENGTH_PREFIX_BYTES; i++)
        p.data[i] = (uint8_t)(len >> (8 * (LENGTH_PREFIX_BYTES - 1 - i)));
    rillknot__frame__pack(frame, p.data + LENGTH_PREFIX_BYTES);
    return p;
}

void rk_packed_frame_free(struct rk_packed_frame *p)
{
    free(p->data);
    *p = (struct rk_packed_frame){0};
}

bool rk_link_send_packed(struct rk_link *l, const struct rk_packed_frame *p)
{
    size_t waiting = l->out.len + p->len;
    if (l->down || l->destroyed || !p->len || waiting > SEND_BUFFER_MAX ||
        (waiting > ALWAYS_BUFFERED_MAX && !is_within_share(p->len, 1)))
        return false;
    rk_buf_add(&l->out, p->data, p->len);
    l->queued_total += p->len;
    rk_counter_add(RK_C_LINK_BYTES, p->len);
    /* If sending fails, the socket's next event reports it: callbacks must not run
     * from here. */
    if (l->up)
        flush(l);
    update_events(l);
    update_accounts(l);
    return true;
}

bool rk_link_send(struct rk_link *l, const Rillknot__Frame *frame)
{
    struct rk_packed_frame p = rk_frame_pack(frame);
    bool sent = rk_link_send_packed(l, &p);
    rk_packed_frame_free(&p);
    return sent;
}

size_t rk_link_unsent_len(const struct rk_link *l)
{
    return l->out.len;
}

size_t rk_link_queued_len(struct rk_link *l)
{
    int queued = 0;
    int64_t now_ms = rk_mono_ms();
    if (l->fd < 0 || ioctl(l->fd, SIOCOUTQ, &queued) < 0)
        queued = 0; /* not known: count only the own buffer */
    size_t waiting = l->out.len + (size_t)queued;
    uint64_t acked = l->queued_total - waiting;
    l->progressed = acked > l->sampled_acked;
    if (!l->sampled_waiting || l->progressed)
        l->progress_ms = now_ms;
    l->sampled_waiting = waiting;
    l->sampled_acked = acked;
    return now_ms - l->progress_ms < STALL_TIMEOUT_MS ? waiting : 0;
}

bool rk_link_has_progressed(const struct rk_link *l)
{
    return l->progressed;
}

bool rk_link_was_up(const struct rk_link *l)
{
    return l->was_up;
}

void rk_link_set_ctx(struct rk_link *l, void *ctx)
{
    l->ctx = ctx;
}

static void on_socket_accepted(void *ctx, int fd)
{
    struct rk_listener *l = ctx;
    struct rk_link *link = make_link(l->loop, fd, l->ops, NULL);
    link->up = link->was_up = true;
    l->on_accept(l->ctx, link);
    update_events(link);
}

struct rk_listener *
rk_listener_create(struct rk_loop *loop, int fd, const struct rk_link_ops *ops,
                   void (*on_accept)(void *ctx, struct rk_link *l), void *ctx)
{
    struct rk_listener *l = rk_alloc(1, sizeof(*l));
    *l = (struct rk_listener){
        .loop = loop, .ops = ops, .on_accept = on_accept, .ctx = ctx};
    rk_listen_addr(fd, l->addr);
    rk_acceptor_start(&l->acceptor, loop, fd, l->addr, on_socket_accepted, NULL, l);
    return l;
}

void rk_listener_destroy(struct rk_listener *l)
{
    if (!l)
        return;
    rk_acceptor_close(&l->acceptor);
    free(l);
}

const char *rk_listener_addr(const struct rk_listener *l)
{
    return l->addr;
}
