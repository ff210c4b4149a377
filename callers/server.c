#include "callers/server.h"

#include <errno.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>
#include <arpa/inet.h>

#include "callers/client.h"
#include "common/acceptor.h"
#include "common/conn.h"
#include "common/http1.h"
#include "common/listen.h"
#include "common/loop.h"
#include "common/memory.h"
#include "common/status.h"
#include "common/util.h"

#define BODY_RETAINED_MAX     2048 /* largest buffer to keep for the next body */
#define ROOM_RETRY_AFTER      "Retry-After: 1\r\n"
#define CONTINUE              "HTTP/1.1 100 Continue\r\n\r\n"
#define EVICTION_TRIES        8           /* idle connections tried to make room */
#define PIPELINED_PAUSE_BYTES (64 * 1024) /* beyond it, reading is paused */
/* Beyond so many unsent bytes of answers, no further request is read. */
#define UNSENT_PAUSE_BYTES (64 * 1024)

static void feed_pipelined(struct rk_client *c);

/* ---- closing a connection ---- */

static void free_client(void *ctx)
{
    struct rk_client *c = ctx;
    rk_http1_free(&c->reader);
    rk_buf_free(&c->body);
    rk_buf_free(&c->pipelined);
    rk_memory_charge(&c->charged, 0);
    free(c);
}

/* Removes the client from the server's lists. Its functions may be on the stack, so
 * its memory is freed in the loop's next iteration. */
static void unlink_and_free_later(struct rk_client *c)
{
    rk_client_leave_accounts(c);
    *c->prev = c->next;
    if (c->next)
        c->next->prev = c->prev;
    c->s->clients_len--;
    rk_server_update_receive_buffer(c->s);
    c->closed = true;
    c->timer.fn = free_client;
    rk_timer_start(c->s->loop, &c->timer, 0);
}

static void close_client(struct rk_client *c)
{
    rk_conn_close(c->conn);
    unlink_and_free_later(c);
}

/* Closes the connection unless it has unread bytes, and returns whether it did.
 * rk_conn_close() would discard a request that crosses the close, and its caller
 * would get no reset. Callers lost requests that way where other links were
 * saturated and a close took a second. */
static bool close_idle(struct rk_client *c)
{
    if (!rk_conn_close_idle(c->conn))
        return false;
    unlink_and_free_later(c);
    return true;
}

static void abort_client(struct rk_client *c)
{
    rk_conn_abort(c->conn);
    unlink_and_free_later(c);
}

/* Waits for the next request for as long as the idle time-out. */
static void wait_for_request(struct rk_client *c)
{
    c->state = CLIENT_READING;
    rk_client_set_idle(c, true);
    rk_timer_start(c->s->loop, &c->timer, c->limits.idle_ms);
}

/* ---- ends of responses ---- */

/* Goes on to the next request, a part or all of which may be buffered already. */
static void next_request(struct rk_client *c)
{
    c->body.len = 0;
    if (c->body.cap > BODY_RETAINED_MAX)
        rk_buf_free(&c->body);
    c->user = NULL;
    c->head_accepted = false;
    c->announced = 0;
    c->body_until_ms = 0;
    rk_http1_next(&c->reader);
    wait_for_request(c);
    rk_client_update_accounts(c);
    if (!c->feeding)
        feed_pipelined(c);
}

void rk_client_end(struct rk_client *c)
{
    rk_client_end_body(c);
    if (c->close_after_answer)
        close_client(c);
    else
        next_request(c);
}

void rk_client_abort(struct rk_client *c)
{
    abort_client(c);
}

void rk_client_answer(struct rk_client *c, int status, const char *headers,
                      const char *body, size_t len)
{
    rk_client_begin(c, status, headers, (int64_t)len);
    if (len)
        rk_client_data(c, body, len);
    rk_client_end(c);
}

size_t rk_client_unsent_len(const struct rk_client *c)
{
    return rk_conn_unsent_len(c->conn);
}

const struct rk_head *rk_client_head(const struct rk_client *c)
{
    return &c->reader.head;
}

const char *rk_client_body(const struct rk_client *c, size_t *len)
{
    *len = c->body.len;
    return c->body.data ? c->body.data : "";
}

void rk_client_close_after_answer(struct rk_client *c)
{
    c->close_after_answer = true;
}

void rk_client_limit_body_time(struct rk_client *c, int64_t timeout_ms)
{
    int64_t idle_ms = c->limits.idle_ms;
    c->body_until_ms = rk_mono_ms() + (timeout_ms > idle_ms ? timeout_ms : idle_ms);
}

void rk_client_announce(struct rk_client *c, size_t bytes)
{
    c->announced = bytes;
    rk_client_update_accounts(c);
}

void rk_client_set_user(struct rk_client *c, void *user)
{
    c->user = user;
}

/* ---- requests ---- */

/* Responds with a status and closes the connection, because the end of the refused
 * request, and so the start of the next one, is not known. */
static void refuse_request(struct rk_client *c, int status, const char *headers)
{
    rk_timer_stop(c->s->loop, &c->timer);
    c->close_after_answer = true;
    c->reader.head.minor = 1;
    rk_client_answer(c, status, headers, "", 0);
}

/* Refuses the largest requests that are not whole until the others keep within
 * their limit. */
static void limit_unfinished(struct rk_server *s)
{
    size_t most = s->limits.unfinished_bytes;
    while (most && s->unfinished_bytes > most) {
        rk_memory_count_refusal();
        refuse_request(rk_server_largest_unfinished(s), 503, ROOM_RETRY_AFTER);
    }
}

static bool on_head(void *ctx, const struct rk_head *head)
{
    struct rk_client *c = ctx;
    if (head->major != 1)
        c->refuse_status = 505;
    else if (head->body_length > (int64_t)c->limits.body_bytes)
        c->refuse_status = 413;
    return true;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_client *c = ctx;
    if (c->refuse_status)
        return;
    c->body.max = c->reader.head.body_length > 0
                      ? (size_t)c->reader.head.body_length
                      : c->limits.body_bytes;
    if (len && !rk_buf_add(&c->body, data, len))
        c->refuse_status = 413;
}

static void on_end(void *ctx)
{
    (void)ctx; /* feed() checks reader.ended */
}

static const struct rk_http1_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};

static size_t unread_len(const struct rk_client *c)
{
    return c->pipelined.len - c->pipelined_pos;
}

/* Returns how many bytes are read of the requests after the current one. */
static size_t pipelined_max(void)
{
    return rk_memory_is_scarce() ? 0 : PIPELINED_PAUSE_BYTES;
}

/* Returns whether the next request can be read. Otherwise a caller that sends
 * requests and reads no answer would fill the memory with answers. */
static bool is_ready_for_request(const struct rk_client *c)
{
    return c->state == CLIENT_READING &&
           rk_conn_unsent_len(c->conn) <= UNSENT_PAUSE_BYTES;
}

/* Buffers bytes that follow the current request. Reading is paused while there are
 * too many. */
static void save_pipelined(struct rk_client *c, const char *data, size_t len)
{
    if (!len || c->closed)
        return;
    rk_buf_add(&c->pipelined, data, len);
    rk_client_update_accounts(c);
    if (unread_len(c) > pipelined_max())
        rk_conn_set_paused(c->conn, true);
}

/* Asks the owner, once, whether to read the rest of a body. Returns false if the
 * request was answered instead. */
static bool accept_head(struct rk_client *c)
{
    const char *expect = rk_head_get(&c->reader.head, "Expect");
    if (c->head_accepted)
        return true;
    if (c->s->ops->on_head && !c->s->ops->on_head(c->s->ctx, c))
        return false;
    c->head_accepted = true;
    if (expect && !strcasecmp(expect, "100-continue"))
        rk_conn_write(c->conn, CONTINUE, sizeof(CONTINUE) - 1);
    return true;
}

/* Returns how long to wait for more of a body, in ms. */
static int64_t body_wait_ms(const struct rk_client *c)
{
    int64_t left_ms = c->body_until_ms - rk_mono_ms();
    if (!c->body_until_ms || left_ms > c->limits.idle_ms)
        return c->limits.idle_ms;
    return left_ms > 0 ? left_ms : 0;
}

/* Parses input up to the end of one request and passes a complete one on. Returns
 * the number of bytes that were read. */
static size_t feed(struct rk_client *c, const char *data, size_t len)
{
    bool is_first_byte = !rk_http1_has_begun(&c->reader);
    rk_client_set_idle(c, false);
    size_t n = rk_http1_feed(&c->reader, data, len);
    if (c->reader.failed || c->refuse_status) {
        int status = c->refuse_status      ? c->refuse_status
                     : c->reader.too_large ? 431
                                           : 400;
        refuse_request(c, status, "");
        return len;
    }
    if (!c->reader.ended) {
        rk_client_update_accounts(c);
        limit_unfinished(c->s);
        if (c->closed)
            return len;
        if (c->reader.head_done && !accept_head(c))
            return len;
        if (c->reader.head_done)
            rk_timer_start(c->s->loop, &c->timer, body_wait_ms(c));
        else if (is_first_byte)
            rk_timer_start(c->s->loop, &c->timer, c->limits.header_ms);
        return n;
    }
    rk_timer_stop(c->s->loop, &c->timer);
    c->state = CLIENT_IN_FLIGHT;
    rk_client_update_accounts(c);
    c->s->ops->on_request(c->s->ctx, c);
    return n;
}

/* Goes through the buffered bytes until a request waits for its response, or the
 * caller has to read earlier ones first; on_drained() goes on then. Requests
 * that are answered at once are taken one after the other here, and not by each
 * one's end, as a caller may send thousands of them in one block. */
static void feed_pipelined(struct rk_client *c)
{
    c->feeding = true;
    while (!c->closed && is_ready_for_request(c) && unread_len(c))
        c->pipelined_pos +=
            feed(c, c->pipelined.data + c->pipelined_pos, unread_len(c));
    c->feeding = false;
    if (c->closed)
        return;
    rk_buf_consume(&c->pipelined, c->pipelined_pos);
    c->pipelined_pos = 0;
    if (!c->pipelined.len)
        rk_buf_free(&c->pipelined);
    rk_client_update_accounts(c);
    bool waits_for_caller = c->state == CLIENT_READING && !is_ready_for_request(c);
    rk_conn_set_paused(c->conn,
                       waits_for_caller || c->pipelined.len > pipelined_max());
}

static void on_data(void *ctx, const char *data, size_t len)
{
    struct rk_client *c = ctx;
    size_t n = 0;
    if (is_ready_for_request(c) && !unread_len(c))
        n = feed(c, data, len);
    save_pipelined(c, data + n, len - n);
    if (!c->closed && c->state == CLIENT_READING)
        feed_pipelined(c);
}

/* Ends a connection that was closed or reset by the caller, or that the server
 * gives up. Reports the disconnect if a request is in flight. */
static void drop_disconnected(struct rk_client *c)
{
    bool in_flight = c->state != CLIENT_READING;
    struct rk_server *s = c->s;
    void *user = c->user;
    abort_client(c);
    if (in_flight)
        s->ops->on_disconnect(s->ctx, user);
}

static void on_eof(void *ctx)
{
    drop_disconnected(ctx);
}

static void on_error(void *ctx, int error)
{
    (void)error;
    drop_disconnected(ctx);
}

static void on_drained(void *ctx)
{
    struct rk_client *c = ctx;
    if (c->state == CLIENT_READING)
        feed_pipelined(c);
    else if (c->state == CLIENT_ANSWERING && c->s->ops->on_drained)
        c->s->ops->on_drained(c->s->ctx, c->user);
}

static const struct rk_conn_ops conn_ops = {.on_data = on_data,
                                            .on_eof = on_eof,
                                            .on_error = on_error,
                                            .on_drained = on_drained};

static void on_timer(void *ctx)
{
    struct rk_client *c = ctx;
    if (c->state != CLIENT_READING)
        return;
    if (rk_http1_has_begun(&c->reader))
        refuse_request(c, 408, "");
    else if (rk_conn_unsent_len(c->conn))
        wait_for_request(c); /* the last response is not sent yet */
    else
        close_idle(c);
}

/* ---- accepting connections ---- */

static bool is_idle(const struct rk_client *c)
{
    return c->state == CLIENT_READING && !rk_http1_has_begun(&c->reader) &&
           !rk_conn_unsent_len(c->conn);
}

/* Closes the connection that has been idle for longest. Returns false if none was
 * found. */
static bool close_oldest_idle(void *ctx)
{
    struct rk_server *s = ctx;
    for (int i = 0; i < EVICTION_TRIES && !TAILQ_EMPTY(&s->idle); i++) {
        struct rk_client *c = TAILQ_FIRST(&s->idle);
        if (is_idle(c) && close_idle(c))
            return true;
        rk_client_set_idle(c, true); /* the next try begins with another one */
    }
    return false;
}

/* Refuses the request that has not been whole for longest. Returns false if there
 * is none. The connection's descriptor may stay open while it lingers. */
static bool refuse_oldest_unfinished(struct rk_server *s)
{
    if (TAILQ_EMPTY(&s->begun))
        return false;
    refuse_request(TAILQ_FIRST(&s->begun), 503, ROOM_RETRY_AFTER);
    return true;
}

static void add_client(void *ctx, int fd)
{
    struct rk_server *s = ctx;
    if (s->clients_len >= (size_t)s->limits.max_clients && !close_oldest_idle(s) &&
        !refuse_oldest_unfinished(s)) {
        close(fd);
        return;
    }
    struct rk_client *c = rk_alloc(1, sizeof(*c));
    c->s = s;
    c->limits = s->limits;
    c->timer = (struct rk_timer){.fn = on_timer, .ctx = c};
    c->next = s->clients;
    c->prev = &s->clients;
    if (c->next)
        c->next->prev = &c->next;
    s->clients = c;
    s->clients_len++;
    rk_http1_init(&c->reader, true, c->limits.header_bytes, &reader_ops, c);
    c->conn = rk_conn_adopt(s->loop, fd, &conn_ops, c);
    if (s->is_crowded)
        rk_conn_keep_receive_buffer(c->conn);
    rk_server_update_receive_buffer(s);
    wait_for_request(c);
}

struct rk_server *rk_server_create(struct rk_loop *loop, int fd,
                                   const struct rk_server_limits *limits,
                                   const struct rk_server_ops *ops, void *ctx)
{
    struct rk_server *s = rk_alloc(1, sizeof(*s));
    *s =
        (struct rk_server){.loop = loop, .limits = *limits, .ops = ops, .ctx = ctx};
    TAILQ_INIT(&s->idle);
    TAILQ_INIT(&s->begun);
    for (int i = 0; i < RK_CLIENT_SIZE_CLASSES; i++)
        TAILQ_INIT(&s->unfinished[i]);
    rk_server_init_receive_buffer(s, fd);
    rk_listen_addr(fd, s->addr);
    rk_acceptor_start(&s->acceptor, loop, fd, s->addr, add_client,
                      close_oldest_idle, s);
    return s;
}

void rk_server_destroy(struct rk_server *s)
{
    if (!s)
        return;
    rk_acceptor_close(&s->acceptor);
    while (s->clients)
        drop_disconnected(s->clients);
    free(s);
}

const char *rk_server_addr(const struct rk_server *s)
{
    return s->addr;
}

void rk_server_set_limits(struct rk_server *s, const struct rk_server_limits *l)
{
    s->limits = *l;
}

void rk_server_set_accepting(struct rk_server *s, bool on)
{
    rk_acceptor_set_on(&s->acceptor, on);
}

void rk_server_set_closing(struct rk_server *s)
{
    s->closing = true;
}

void rk_server_close_idle(struct rk_server *s)
{
    for (struct rk_client *c = s->clients, *next; c; c = next) {
        next = c->next;
        if (is_idle(c))
            close_idle(c);
    }
}

size_t rk_server_busy_count(const struct rk_server *s)
{
    size_t busy = 0;
    for (const struct rk_client *c = s->clients; c; c = c->next)
        busy += !is_idle(c);
    return busy;
}

size_t rk_server_client_count(const struct rk_server *s)
{
    return s->clients_len;
}
