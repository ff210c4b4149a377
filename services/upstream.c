#include "services/upstream.h"

#include <stdlib.h>
#include <string.h>

#include "common/conn.h"
#include "common/http1.h"
#include "common/loop.h"
#include "common/util.h"

#define HEAD_MAX_BYTES (64 * 1024)
/* Assumed keep-alive time of a VM that sends no Keep-Alive header. */
#define KEEP_ALIVE_DEFAULT_MS 8000
/* Idle connections are used for this much less time than the VM advertises. */
#define KEEP_ALIVE_MARGIN_MS 1200
/* Longer times that a VM advertises are cut to this. */
#define KEEP_ALIVE_MAX_S  3600
#define SWEEP_INTERVAL_MS 1000
/* A response that is discarded is read to its end, so that its connection can be
 * reused, unless it has more bytes or takes longer. */
#define DISCARDED_MAX_BYTES (64 * 1024)
#define DISCARD_TIMEOUT_MS  100
/* Limits of the responses to other requests that a call skips. */
#define SKIPPED_MAX_BYTES (1024 * 1024)
#define SKIPPED_MAX       8

/* A connection to a VM. It is idle in its pool, or serves a call. */
struct pooled_conn {
    struct pool *pool;
    struct rk_conn *tcp;
    struct rk_http1 reader;
    struct rk_upstream_call *call;    /* NULL: idle */
    struct pooled_conn *next, **prev; /* in the idle list of the pool */
    int64_t idle_since_ms;
    int64_t keep_alive_ms;      /* how long it can be used after it became idle */
    bool has_served;            /* has served an earlier call */
    bool reusable;              /* the responses so far allow keep-alive */
    enum rk_head_action action; /* for the current response */
    int skipped_len;            /* responses that the current call has skipped */
    size_t unused_bytes; /* of bodies that the current call skips or discards */
    bool is_closed_by_vm;
    bool released; /* aborted; freed in the loop's next iteration */
    struct rk_timer
        timer; /* ends a discarded response; frees a released connection */
};

/* The connections to one address of a VM. */
struct pool {
    struct rk_upstream_pools *u;
    struct pool *next;
    char vm_id[RK_ID_MAX];
    char addr[RK_ADDR_MAX];
    struct pooled_conn *idle; /* last used first */
    int open;                 /* idle connections and those with a call */
};

struct rk_upstream_pools {
    struct rk_loop *loop;
    struct pool *pools;
    struct rk_timer sweep;
};

struct rk_upstream_call {
    struct pooled_conn *conn;
    const struct rk_upstream_ops *ops;
    void *ctx;
    bool no_body;
    bool reused;
};

/* ---- connections ---- */

static void unlink_idle(struct pooled_conn *c)
{
    if (!c->prev)
        return;
    *c->prev = c->next;
    if (c->next)
        c->next->prev = c->prev;
    c->prev = NULL;
}

static void free_conn(void *ctx)
{
    struct pooled_conn *c = ctx;
    rk_http1_free(&c->reader);
    free(c);
}

/* Aborts a connection: nobody needs the bytes in flight any more. Its functions may
 * be on the stack, so its memory is freed in the loop's next iteration. */
static void release_conn(struct pooled_conn *c)
{
    if (c->released)
        return;
    c->released = true;
    rk_timer_stop(c->pool->u->loop, &c->timer);
    rk_conn_abort(c->tcp);
    unlink_idle(c);
    c->pool->open--;
    c->timer = (struct rk_timer){.fn = free_conn, .ctx = c};
    rk_timer_start(c->pool->u->loop, &c->timer, 0);
}

/* Frees the call, ends its connection and reports the failure. */
static void fail_call(struct pooled_conn *c, int error, const char *what)
{
    struct rk_upstream_call *call = c->call;
    const struct rk_upstream_failure failure = {.may_have_reached =
                                                    rk_upstream_may_have_sent(call),
                                                .reused = call->reused,
                                                .error = error,
                                                .cause = what};
    const struct rk_upstream_ops *ops = call->ops;
    void *ctx = call->ctx;
    c->call = NULL;
    release_conn(c);
    free(call);
    ops->on_fail(ctx, &failure);
}

static void push_idle(struct pooled_conn *c)
{
    struct pool *p = c->pool;
    c->idle_since_ms = rk_mono_ms();
    c->next = p->idle;
    c->prev = &p->idle;
    if (c->next)
        c->next->prev = &c->next;
    p->idle = c;
}

/* Returns how long an idle connection can be used, in ms. The header has the form
 * "Keep-Alive: timeout=N", with N in seconds. */
static int64_t parse_keep_alive_ms(const struct rk_head *h)
{
    const char *value = rk_head_get(h, "Keep-Alive");
    const char *timeout = value ? strstr(value, "timeout=") : NULL;
    if (!timeout)
        return KEEP_ALIVE_DEFAULT_MS;
    int64_t s = strtol(timeout + strlen("timeout="), NULL, 10);
    if (s <= 0)
        return 0;
    if (s > KEEP_ALIVE_MAX_S)
        s = KEEP_ALIVE_MAX_S;
    return s * RK_MS_PER_S - KEEP_ALIVE_MARGIN_MS;
}

/* ---- responses ---- */

static bool on_head(void *ctx, const struct rk_head *head)
{
    struct pooled_conn *c = ctx;
    struct rk_upstream_call *call = c->call;
    if (!call)
        return true; /* cancelled while this input is parsed */
    c->action = call->ops->on_head(call->ctx, head);
    if (c->released || !c->call)
        return true;
    bool skipped = c->action == RK_HEAD_SKIP;
    c->reusable = c->reusable && head->keep_alive && !skipped;
    c->keep_alive_ms = parse_keep_alive_ms(head);
    if (c->action == RK_HEAD_DISCARD)
        rk_timer_start(c->pool->u->loop, &c->timer, DISCARD_TIMEOUT_MS);
    return skipped || !call->no_body;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct pooled_conn *c = ctx;
    if (c->call && c->action == RK_HEAD_ACCEPT)
        c->call->ops->on_body(c->call->ctx, data, len);
    else
        c->unused_bytes += len;
}

static void on_end(void *ctx)
{
    (void)ctx; /* feed() checks reader.ended */
}

static const struct rk_http1_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};

/* Ends a call whose response is complete, or is not needed any more. reusable: its
 * connection has nothing but that response. */
static void complete_call(struct pooled_conn *c, bool reusable)
{
    struct rk_upstream_call *call = c->call;
    const struct rk_upstream_ops *ops = call->ops;
    void *ctx = call->ctx;
    c->call = NULL;
    free(call);
    rk_timer_stop(c->pool->u->loop, &c->timer);
    /* A connection with unsent bytes of this request can't be reused. */
    bool keep = c->reusable && reusable && !c->is_closed_by_vm &&
                !rk_conn_unsent_len(c->tcp) && c->keep_alive_ms > 0;
    rk_conn_set_held(c->tcp, false); /* the response may have ended while it was */
    if (keep) {
        rk_http1_next(&c->reader);
        c->has_served = true;
        push_idle(c);
    } else {
        release_conn(c);
    }
    ops->on_end(ctx);
}

static void on_discard_timeout(void *ctx)
{
    complete_call(ctx, false);
}

/* Returns whether a response that the call doesn't need exceeds its limits. */
static bool is_unused_too_long(const struct pooled_conn *c)
{
    if (c->action == RK_HEAD_DISCARD)
        return c->unused_bytes > DISCARDED_MAX_BYTES;
    return c->unused_bytes > SKIPPED_MAX_BYTES || c->skipped_len > SKIPPED_MAX;
}

/* Ends the call if a response that it doesn't need is too long. Returns whether it
 * has ended. */
static bool end_if_too_long(struct pooled_conn *c)
{
    if (!is_unused_too_long(c))
        return false;
    if (c->action == RK_HEAD_DISCARD)
        complete_call(c, false);
    else
        fail_call(c, 0, "the vm answers other requests only");
    return true;
}

/* Parses responses until the call's own is complete. */
static void feed(struct pooled_conn *c, const char *data, size_t len)
{
    while (len && c->call && !c->released) {
        size_t n = rk_http1_feed(&c->reader, data, len);
        if (c->released || !c->call)
            return;
        if (c->reader.failed) {
            fail_call(c, 0, "the answer is no HTTP");
            return;
        }
        data += n;
        len -= n;
        if (c->reader.ended && c->action != RK_HEAD_SKIP) {
            complete_call(c, len == 0);
            return;
        }
        c->skipped_len += c->reader.ended;
        if (end_if_too_long(c) || !c->reader.ended)
            return;
        rk_http1_next(&c->reader);
        c->action = RK_HEAD_ACCEPT;
    }
}

static void on_data(void *ctx, const char *data, size_t len)
{
    struct pooled_conn *c = ctx;
    if (!c->call) {
        release_conn(c); /* bytes without a request */
        return;
    }
    feed(c, data, len);
}

/* Returns whether the VM's close would end a success that has no other end while a
 * part of the request is unsent. A VM that ends amid the request closes like that,
 * and one that has answered early reads the rest before it closes. */
static bool is_closed_amid_request(const struct pooled_conn *c)
{
    const struct rk_head *head = &c->reader.head;
    return c->reader.head_done && head->status / 100 == 2 &&
           rk_head_framing(head) == RK_FRAMING_CLOSE &&
           !rk_conn_has_sent_all(c->tcp);
}

static void on_eof(void *ctx)
{
    struct pooled_conn *c = ctx;
    if (!c->call) {
        release_conn(c);
        return;
    }
    if (is_closed_amid_request(c)) {
        fail_call(c, 0, "the vm closed before it had read the request");
        return;
    }
    c->is_closed_by_vm = true;
    rk_http1_eof(&c->reader);
    if (!c->released && c->call) {
        if (c->reader.ended && c->action != RK_HEAD_SKIP)
            complete_call(c, true);
        else
            fail_call(c, 0, "the vm closed before its answer was whole");
    }
}

static void on_error(void *ctx, int error)
{
    struct pooled_conn *c = ctx;
    if (!c->call)
        release_conn(c);
    else
        fail_call(c, error, strerror(error));
}

static const struct rk_conn_ops conn_ops = {
    .on_data = on_data, .on_eof = on_eof, .on_error = on_error};

/* ---- pools ---- */

/* Closes the connections whose keep-alive time is over. */
static void sweep_idle(struct pool *p, int64_t now_ms)
{
    for (struct pooled_conn *c = p->idle, *next; c; c = next) {
        next = c->next;
        if (now_ms - c->idle_since_ms >= c->keep_alive_ms)
            release_conn(c);
    }
}

/* Closes expired connections and frees pools without connections. */
static void on_sweep(void *ctx)
{
    struct rk_upstream_pools *u = ctx;
    int64_t now_ms = rk_mono_ms();
    for (struct pool **at = &u->pools; *at;) {
        struct pool *p = *at;
        sweep_idle(p, now_ms);
        if (p->open) {
            at = &p->next;
            continue;
        }
        *at = p->next;
        free(p);
    }
    rk_timer_start(u->loop, &u->sweep, SWEEP_INTERVAL_MS);
}

struct rk_upstream_pools *rk_upstream_pools_create(struct rk_loop *loop)
{
    struct rk_upstream_pools *u = rk_alloc(1, sizeof(*u));
    u->loop = loop;
    u->sweep = (struct rk_timer){.fn = on_sweep, .ctx = u};
    rk_timer_start(loop, &u->sweep, SWEEP_INTERVAL_MS);
    return u;
}

void rk_upstream_pools_destroy(struct rk_upstream_pools *u)
{
    rk_timer_stop(u->loop, &u->sweep);
    while (u->pools) {
        struct pool *p = u->pools;
        u->pools = p->next;
        while (p->idle)
            release_conn(p->idle);
        free(p);
    }
    free(u);
}

/* Returns the pool of a VM's address, and creates it if there is none. A restarted
 * VM may have a new address while calls are still in flight at its old one, so each
 * address has a pool of its own. */
static struct pool *get_pool(struct rk_upstream_pools *u, const char *vm_id,
                             const char *addr)
{
    struct pool *p = u->pools;
    while (p && (strcmp(p->vm_id, vm_id) != 0 || strcmp(p->addr, addr) != 0))
        p = p->next;
    if (p)
        return p;
    p = rk_alloc(1, sizeof(*p));
    p->u = u;
    rk_strcpy(p->vm_id, sizeof(p->vm_id), vm_id);
    rk_strcpy(p->addr, sizeof(p->addr), addr);
    p->next = u->pools;
    u->pools = p;
    return p;
}

/* Returns the most recently used idle connection, or NULL if there is none or it
 * was idle for too long. */
static struct pooled_conn *pop_idle(struct pool *p, int64_t max_idle_ms)
{
    struct pooled_conn *c = p->idle;
    if (!c)
        return NULL;
    int64_t idle_ms = rk_mono_ms() - c->idle_since_ms;
    if (idle_ms >= max_idle_ms || idle_ms >= c->keep_alive_ms)
        return NULL;
    unlink_idle(c);
    return c;
}

/* Closes the connection that has been idle for longest, if there is one. */
static void close_oldest_idle(struct pool *p)
{
    struct pooled_conn *c = p->idle;
    while (c && c->next)
        c = c->next;
    if (c)
        release_conn(c);
}

/* Returns whether a connection may be opened without exceeding the limit. At the
 * limit, closes an idle one. */
static bool make_room(struct pool *p, int max_conns)
{
    if (p->open >= max_conns)
        close_oldest_idle(p);
    return p->open < max_conns;
}

bool rk_upstream_reserve_conn(struct rk_upstream_pools *u, const char *vm_id,
                              const char *addr, int max_conns)
{
    struct pool *p = get_pool(u, vm_id, addr);
    if (!make_room(p, max_conns))
        return false;
    p->open++;
    return true;
}

void rk_upstream_release_conn(struct rk_upstream_pools *u, const char *vm_id,
                              const char *addr)
{
    get_pool(u, vm_id, addr)->open--;
}

/* Returns a new connection, or NULL if the limit is reached or connecting fails. At
 * the limit, the new connection replaces an idle one that is too old for the call:
 * otherwise idle connections left by a burst would block the VM for seconds. */
static struct pooled_conn *open_conn(struct pool *p,
                                     const struct rk_upstream_spec *spec)
{
    if (!make_room(p, spec->max_conns))
        return NULL;
    struct pooled_conn *c = rk_alloc(1, sizeof(*c));
    c->tcp = rk_conn_connect(p->u->loop, p->addr, spec->connect_ms, &conn_ops, c);
    if (!c->tcp) {
        free(c);
        return NULL;
    }
    c->pool = p;
    c->reusable = true;
    c->timer = (struct rk_timer){.fn = on_discard_timeout, .ctx = c};
    rk_http1_init(&c->reader, false, HEAD_MAX_BYTES, &reader_ops, c);
    p->open++;
    return c;
}

struct rk_upstream_call *rk_upstream_start(struct rk_upstream_pools *u,
                                           const struct rk_upstream_spec *spec)
{
    struct pool *p = get_pool(u, spec->vm_id, spec->addr);
    struct pooled_conn *c = pop_idle(p, spec->max_idle_ms);
    if (!c)
        c = open_conn(p, spec);
    if (!c)
        return NULL;
    struct rk_upstream_call *call = rk_alloc(1, sizeof(*call));
    *call = (struct rk_upstream_call){.conn = c,
                                      .ops = spec->ops,
                                      .ctx = spec->ctx,
                                      .no_body = spec->no_body,
                                      .reused = c->has_served};
    c->call = call;
    c->action = RK_HEAD_ACCEPT;
    c->skipped_len = 0;
    c->unused_bytes = 0;
    rk_conn_write(c->tcp, spec->head, spec->head_len);
    rk_conn_write(c->tcp, spec->body, spec->body_len);
    return call;
}

void rk_upstream_pools_close_idle(struct rk_upstream_pools *u, const char *vm_id)
{
    for (struct pool *p = u->pools; p; p = p->next)
        while (!strcmp(p->vm_id, vm_id) && p->idle)
            release_conn(p->idle);
}

bool rk_upstream_may_have_sent(const struct rk_upstream_call *call)
{
    return call->reused || rk_conn_has_sent(call->conn->tcp);
}

bool rk_upstream_is_reused(const struct rk_upstream_call *call)
{
    return call->reused;
}

void rk_upstream_set_held(struct rk_upstream_call *call, bool held)
{
    rk_conn_set_held(call->conn->tcp, held);
}

void rk_upstream_close_after(struct rk_upstream_call *call)
{
    call->conn->reusable = false;
}

void rk_upstream_cancel(struct rk_upstream_call *call)
{
    struct pooled_conn *c = call->conn;
    c->call = NULL;
    free(call);
    release_conn(c);
}
