#include "services/upstream.h"

#include <stdlib.h>
#include <string.h>

#include "common/conn.h"
#include "common/http1.h"
#include "common/loop.h"
#include "common/util.h"

#define HEAD_MAX        (64 * 1024)
#define IDLE_DEFAULT_MS 8000 /* when the vm doesn't tell how long it keeps one */
#define IDLE_MARGIN_MS  1200 /* less than what it tells */
#define SWEEP_MS        1000

/* A connection to a vm: idle in its pool, or with a call. */
struct link {
    struct pool *pool;
    struct rk_conn *conn;
    struct rk_http1 reader;
    struct rk_upstream_call *call; /* NULL: idle */
    struct link *next, **prev;     /* among the pool's idle ones */
    int64_t idle_since_ms;
    int64_t keep_ms; /* how long the vm keeps it when idle */
    bool used;       /* it has served a call */
    bool reusable;
    bool skipping; /* an answer that is not the call's */
    bool gone;     /* its connection is over */
    bool dropped;  /* freed in the loop's next turn */
    struct rk_timer timer;
};

struct pool {
    struct rk_upstreams *u;
    struct pool *next;
    char vm_id[RK_ID_MAX];
    char addr[RK_ADDR_MAX];
    struct link *idle;
    int open;
};

struct rk_upstreams {
    struct rk_loop *loop;
    struct pool *pools;
    struct rk_timer sweep;
};

struct rk_upstream_call {
    struct link *link;
    const struct rk_upstream_ops *ops;
    void *ctx;
    bool no_body;
    bool reused;
};

/* ---- links ---- */

static void unlink_idle(struct link *l)
{
    if (!l->prev)
        return;
    *l->prev = l->next;
    if (l->next)
        l->next->prev = l->prev;
    l->prev = NULL;
}

static void free_link(void *ctx)
{
    struct link *l = ctx;
    rk_http1_free(&l->reader);
    free(l);
}

/* Abort: what is in flight is nobody's any more. Its functions may be on the
 * stack: memory goes when they have returned. */
static void drop_link(struct link *l)
{
    if (l->dropped)
        return;
    l->dropped = true;
    rk_conn_abort(l->conn);
    unlink_idle(l);
    l->pool->open--;
    l->timer = (struct rk_timer){.fn = free_link, .ctx = l};
    rk_timer_start(l->pool->u->loop, &l->timer, 0);
}

static void fail_call(struct link *l, int error, const char *what)
{
    struct rk_upstream_call *call = l->call;
    const struct rk_upstream_failure failure = {.sent = rk_upstream_sent(call),
                                                .reused = call->reused,
                                                .error = error,
                                                .what = what};
    const struct rk_upstream_ops *ops = call->ops;
    void *ctx = call->ctx;
    l->call = NULL;
    drop_link(l);
    free(call);
    ops->on_fail(ctx, &failure);
}

static void make_idle(struct link *l)
{
    struct pool *p = l->pool;
    l->idle_since_ms = rk_mono_ms();
    l->next = p->idle;
    l->prev = &p->idle;
    if (l->next)
        l->next->prev = &l->next;
    p->idle = l;
}

/* "timeout=N" of a Keep-Alive header, in ms. */
static int64_t keep_alive_ms(const struct rk_head *h)
{
    const char *value = rk_head_get(h, "Keep-Alive");
    const char *timeout = value ? strstr(value, "timeout=") : NULL;
    if (!timeout)
        return IDLE_DEFAULT_MS;
    int64_t ms = strtol(timeout + strlen("timeout="), NULL, 10) * RK_MS_PER_S;
    return ms - IDLE_MARGIN_MS;
}

/* ---- reading ---- */

static bool on_head(void *ctx, const struct rk_head *head)
{
    struct link *l = ctx;
    struct rk_upstream_call *call = l->call;
    if (!call)
        return true; /* cancelled in this very block */
    l->skipping = call->ops->on_head(call->ctx, head) == RK_HEAD_SKIP;
    if (l->dropped || !l->call)
        return true;
    l->reusable = l->reusable && head->keep_alive && !l->skipping;
    l->keep_ms = keep_alive_ms(head);
    return l->skipping || !call->no_body;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct link *l = ctx;
    if (l->call && !l->skipping)
        l->call->ops->on_body(l->call->ctx, data, len);
}

static void on_end(void *ctx)
{
    (void)ctx; /* the feeding function looks at reader.ended */
}

static const struct rk_http1_ops reader_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end};

/* The call's answer is whole; surplus: bytes came behind it. */
static void finish_call(struct link *l, bool surplus)
{
    struct rk_upstream_call *call = l->call;
    const struct rk_upstream_ops *ops = call->ops;
    void *ctx = call->ctx;
    l->call = NULL;
    free(call);
    /* A request that is not all out leaves a connection nobody can use. */
    bool keep = l->reusable && !surplus && !l->gone && !rk_conn_unsent(l->conn) &&
                l->keep_ms > 0;
    if (keep) {
        rk_http1_next(&l->reader);
        l->used = true;
        make_idle(l);
    } else {
        drop_link(l);
    }
    ops->on_end(ctx);
}

/* Messages in the bytes, until the call's own is whole. */
static void feed(struct link *l, const char *data, size_t len)
{
    while (len && l->call && !l->dropped) {
        size_t n = rk_http1_feed(&l->reader, data, len);
        if (l->dropped || !l->call)
            return;
        if (l->reader.failed) {
            fail_call(l, 0, "the answer is no HTTP");
            return;
        }
        data += n;
        len -= n;
        if (!l->reader.ended)
            return;
        if (!l->skipping) {
            finish_call(l, len > 0);
            return;
        }
        rk_http1_next(&l->reader);
        l->skipping = false;
    }
}

static void on_data(void *ctx, const char *data, size_t len)
{
    struct link *l = ctx;
    if (!l->call) {
        drop_link(l); /* bytes that no call asked for */
        return;
    }
    feed(l, data, len);
}

static void on_eof(void *ctx)
{
    struct link *l = ctx;
    if (!l->call) {
        drop_link(l);
        return;
    }
    l->gone = true;
    rk_http1_eof(&l->reader);
    if (!l->dropped && l->call) {
        if (l->reader.ended && !l->skipping)
            finish_call(l, false);
        else
            fail_call(l, 0, "the vm closed before its answer was whole");
    }
}

static void on_error(void *ctx, int error)
{
    struct link *l = ctx;
    if (!l->call)
        drop_link(l);
    else
        fail_call(l, error, strerror(error));
}

static const struct rk_conn_ops conn_ops = {
    .on_data = on_data, .on_eof = on_eof, .on_error = on_error};

/* ---- pools ---- */

static void sweep_idle(struct pool *p, int64_t now_ms)
{
    for (struct link *l = p->idle, *next; l; l = next) {
        next = l->next;
        if (now_ms - l->idle_since_ms >= l->keep_ms)
            drop_link(l);
    }
}

static void on_sweep(void *ctx)
{
    struct rk_upstreams *u = ctx;
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
    rk_timer_start(u->loop, &u->sweep, SWEEP_MS);
}

struct rk_upstreams *rk_upstreams_create(struct rk_loop *loop)
{
    struct rk_upstreams *u = rk_alloc(1, sizeof(*u));
    u->loop = loop;
    u->sweep = (struct rk_timer){.fn = on_sweep, .ctx = u};
    rk_timer_start(loop, &u->sweep, SWEEP_MS);
    return u;
}

void rk_upstreams_destroy(struct rk_upstreams *u)
{
    rk_timer_stop(u->loop, &u->sweep);
    while (u->pools) {
        struct pool *p = u->pools;
        u->pools = p->next;
        while (p->idle)
            drop_link(p->idle);
        free(p);
    }
    free(u);
}

/* A vm that starts again may do so at another address while calls are still in hand
 * at the old one. */
static struct pool *pool_of(struct rk_upstreams *u, const char *vm_id,
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

/* The idle link used last, if it rested for less than the limit. */
static struct link *take_idle(struct pool *p, int64_t max_idle_ms)
{
    struct link *l = p->idle;
    if (!l)
        return NULL;
    int64_t rest_ms = rk_mono_ms() - l->idle_since_ms;
    if (rest_ms >= max_idle_ms || rest_ms >= l->keep_ms)
        return NULL;
    unlink_idle(l);
    return l;
}

static struct link *open_link(struct pool *p, const struct rk_upstream_spec *spec)
{
    if (p->open >= spec->max_conns)
        return NULL;
    struct link *l = rk_alloc(1, sizeof(*l));
    l->conn = rk_conn_connect(p->u->loop, p->addr, spec->connect_ms, &conn_ops, l);
    if (!l->conn) {
        free(l);
        return NULL;
    }
    l->pool = p;
    l->reusable = true;
    rk_http1_init(&l->reader, false, HEAD_MAX, &reader_ops, l);
    p->open++;
    return l;
}

struct rk_upstream_call *rk_upstream_start(struct rk_upstreams *u,
                                           const struct rk_upstream_spec *spec)
{
    struct pool *p = pool_of(u, spec->vm_id, spec->addr);
    struct link *l = take_idle(p, spec->max_idle_ms);
    if (!l)
        l = open_link(p, spec);
    if (!l)
        return NULL;
    struct rk_upstream_call *call = rk_alloc(1, sizeof(*call));
    *call = (struct rk_upstream_call){.link = l,
                                      .ops = spec->ops,
                                      .ctx = spec->ctx,
                                      .no_body = spec->no_body,
                                      .reused = l->used};
    l->call = call;
    rk_conn_write(l->conn, spec->head, spec->head_len);
    rk_conn_write(l->conn, spec->body, spec->body_len);
    return call;
}

void rk_upstreams_forget(struct rk_upstreams *u, const char *vm_id)
{
    for (struct pool *p = u->pools; p; p = p->next)
        while (!strcmp(p->vm_id, vm_id) && p->idle)
            drop_link(p->idle);
}

bool rk_upstream_sent(const struct rk_upstream_call *call)
{
    return call->reused || rk_conn_has_sent(call->link->conn);
}

void rk_upstream_cancel(struct rk_upstream_call *call)
{
    struct link *l = call->link;
    l->call = NULL;
    free(call);
    drop_link(l);
}
