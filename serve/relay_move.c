/* A stream moves from an engine that leaves to another, with the memory of what it
 * has read and made: the engine is asked to stop the run and copy its memory, and
 * the same call goes on at the other one behind the last event that the caller has.
 *
 * It buys what a resume costs: the prompt isn't read again, just when the engines
 * are fewest, and the caller sees a pause of the copy instead of one of some
 * hundred ms. Whatever fails leaves the call as it was, or to the resume. */
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "serve/relay_call_impl.h"

/* From when a vm was told to leave: reclaims give 2.2 s and more, planned ends 2 s
 * and more. Most streams end meanwhile; all of them moved at once, chats were
 * served less often in time (0.903 instead of 0.907 of what they are worth). */
#define STAY_MS    1300
#define CONNECT_MS 150
#define ANSWER_MS  800 /* copies wait for each other; then it is read again */
#define CLOSE_MS   300 /* from the answer until the stopped stream has ended */
#define BODY_MAX   4096

struct rk_call_move {
    struct rk_relay_call *x;
    struct rk_upstream_call *up; /* the order */
    struct rk_timer timer;
    char to_id[RK_ID_MAX]; /* the vm that gets the copy */
    int status;
    struct rk_buf body;
    char handle[RK_MOVE_HANDLE_MAX]; /* "": not answered yet */
    bool closed;                     /* the stream has ended, without its end */
    bool whole;                      /* the stream has ended as if it was whole */
    int64_t began_ms;
};

void rk_call_move_free(struct rk_relay_call *x)
{
    struct rk_call_move *m = x->move;
    if (!m)
        return;
    if (m->up)
        rk_upstream_cancel(m->up);
    rk_timer_stop(x->r->loop, &m->timer);
    rk_buf_free(&m->body);
    free(m);
    x->move = NULL;
}

/* ---- how it ends ---- */

static void log_move(const struct rk_call_move *m, const char *what)
{
    RK_EVENT("call.moved", RK_S("request", m->x->id), RK_S("what", what),
             RK_S("from", m->x->vm ? m->x->vm->row.id : ""), RK_S("to", m->to_id),
             RK_N("status", m->status),
             RK_N("took_ms", rk_mono_ms() - m->began_ms));
}

/* The stream stopped and its memory is there. */
static void go_on(struct rk_call_move *m)
{
    struct rk_relay_call *x = m->x;
    char handle[RK_MOVE_HANDLE_MAX], from[RK_ADDR_MAX], to[RK_ID_MAX];
    rk_strcpy(handle, sizeof(handle), m->handle);
    rk_strcpy(from, sizeof(from), x->vm->row.addr);
    rk_strcpy(to, sizeof(to), m->to_id);
    log_move(m, "copied");
    rk_call_move_free(x);
    rk_count(RK_C_KV_MOVES, 1);
    rk_events_restart(&x->events);
    rk_call_send_moved(x, to, from, handle);
}

/* Nothing was copied. A stream that has ended meanwhile is whole, or goes on as
 * after any other break. */
static void fail(struct rk_call_move *m, const char *what)
{
    struct rk_relay_call *x = m->x;
    bool closed = m->closed, whole = m->whole;
    log_move(m, what);
    rk_call_move_free(x);
    if (whole)
        rk_call_end_whole(x);
    else if (closed)
        rk_call_attempt_failed(x, true, RK_PLACE_CALLED_OFF, "the vm left");
}

static void on_timer(void *ctx)
{
    struct rk_call_move *m = ctx;
    struct rk_relay_call *x = m->x;
    if (!m->handle[0]) {
        fail(m, "no answer");
        return;
    }
    /* Stopped, but its connection says nothing. */
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    go_on(m);
}

bool rk_call_move_takes_end(struct rk_relay_call *x, bool whole)
{
    struct rk_call_move *m = x->move;
    if (!m)
        return false;
    m->closed = true;
    m->whole = whole;
    if (m->handle[0])
        go_on(m);
    return true;
}

/* ---- the order ---- */

static enum rk_head_fate on_head(void *ctx, const struct rk_head *head)
{
    struct rk_call_move *m = ctx;
    m->status = head->status;
    return RK_HEAD_TAKE;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_call_move *m = ctx;
    rk_buf_add(&m->body, data, len); /* what is too long can't be read */
}

static void on_end(void *ctx)
{
    struct rk_call_move *m = ctx;
    const struct rk_dialect *d = m->x->r->opt.dialect;
    m->up = NULL;
    rk_timer_stop(m->x->r->loop, &m->timer);
    bool stopped = d->move_handle(m->body.data ? m->body.data : "", m->handle);
    /* It stopped, but there is no room: it goes on where it was, while that serves.
     */
    if (stopped && m->status != 200)
        rk_strcpy(m->to_id, sizeof(m->to_id), m->x->vm->row.id);
    if (!stopped) {
        fail(m, "refused");
    } else if (m->closed) {
        go_on(m);
    } else {
        rk_timer_start(m->x->r->loop, &m->timer, CLOSE_MS);
    }
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_call_move *m = ctx;
    m->up = NULL;
    fail(m, f->what);
}

static const struct rk_upstream_ops move_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};

static bool send_order(struct rk_call_move *m, const struct rk_place_vm *to)
{
    struct rk_relay_call *x = m->x;
    const struct rk_dialect *d = x->r->opt.dialect;
    struct rk_buf head = {0}, body = {0};
    d->move_order(x->id, to->row.addr, &body);
    rk_buf_printf(&head,
                  "POST %s HTTP/1.1\r\nHost: %s\r\n"
                  "Content-Type: application/json\r\nContent-Length: %zu\r\n\r\n",
                  d->move_path, x->vm->row.addr, body.len);
    const struct rk_upstream_spec spec = {.vm_id = x->vm->row.id,
                                          .addr = x->vm->row.addr,
                                          .head = head.data,
                                          .head_len = head.len,
                                          .body = body.data,
                                          .body_len = body.len,
                                          .connect_ms = CONNECT_MS,
                                          .max_conns = rk_call_max_conns(x),
                                          .ops = &move_ops,
                                          .ctx = m};
    m->up = rk_upstream_start(x->r->upstreams, &spec);
    rk_buf_free(&head);
    rk_buf_free(&body);
    return m->up != NULL;
}

/* Is there something to be moved, and worth it? */
static bool may_move(const struct rk_relay_call *x)
{
    return x->service->moves && x->vm && x->vm->left_ms && x->up && x->begun &&
           rk_mono_ms() - x->vm->left_ms >= STAY_MS && !x->move_tried &&
           x->client && x->events.last_id[0];
}

void rk_call_move(struct rk_relay_call *x)
{
    struct rk_engine_forecast first;
    if (!may_move(x))
        return;
    struct rk_place_vm *to =
        rk_place_choose(x->r->place, &x->query, rk_mono_ms(), &first);
    if (!to || to == x->vm || !rk_call_take_retry(x))
        return;
    struct rk_call_move *m = rk_alloc(1, sizeof(*m));
    *m = (struct rk_call_move){.x = x,
                               .timer = {.fn = on_timer, .ctx = m},
                               .body.max = BODY_MAX,
                               .began_ms = rk_mono_ms()};
    rk_strcpy(m->to_id, sizeof(m->to_id), to->row.id);
    x->move = m;
    x->move_tried = true;
    if (send_order(m, to))
        rk_timer_start(x->r->loop, &m->timer, ANSWER_MS);
    else
        rk_call_move_free(x);
}
