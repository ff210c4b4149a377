/* Moves a stream from an engine that is leaving to another one, together with its
 * KV cache. The engine is ordered to stop the run and copy the KV cache; the call
 * then continues at the other engine after the last event that the caller has
 * received.
 *
 * Compared with a resume, the prompt need not be computed again at a time when
 * engines are scarce, and the caller's pause is that of the copy instead of several
 * hundred ms. If any step fails, the call stays where it is or is resumed. If the
 * run has stopped and the other engine has no room, a stream that may run again is
 * resumed at a third one: its own engine would soon cut it off. Any other stream
 * goes on at its own engine. */
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "serve/relay_call_impl.h"

/* Delay from the time a VM was told to leave. Reclaims give at least 2.2 s of
 * notice, planned ends at least 2 s. Most streams end within the delay. Without it
 * all of them moved at once, and chats reached 0.903 instead of 0.907 of the value
 * they have if all are served in time. */
#define MOVE_DELAY_MS      1300
#define CONNECT_TIMEOUT_MS 150
/* Time-out of the order's answer. Copies queue behind each other; after this time
 * the move is given up, and the prompt is computed again when the call resumes
 * elsewhere. */
#define ORDER_TIMEOUT_MS 800
/* Longest time from the order's answer until the stopped stream has ended. */
#define STREAM_END_TIMEOUT_MS 300
#define BODY_MAX              4096 /* bytes of the order's answer */

/* A move in progress. */
struct rk_call_move {
    struct rk_relay_call *x;
    struct rk_upstream_call *up; /* the order to the engine */
    struct rk_timer timer;
    char to_id[RK_ID_MAX]; /* the VM that is to receive the copy */
    int status;
    struct rk_buf body;
    /* of the copy; "": the order is not answered yet */
    char handle[RK_MOVE_HANDLE_MAX];
    bool stream_ended;    /* the VM's stream has ended */
    bool stream_complete; /* it ended like a complete answer */
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

/* ---- end of a move ---- */

static void log_move(const struct rk_call_move *m, const char *what)
{
    RK_EVENT("call.moved", RK_S("request", m->x->id), RK_S("what", what),
             RK_S("from", m->x->vm ? m->x->vm->row.id : ""), RK_S("to", m->to_id),
             RK_N("status", m->status),
             RK_N("took_ms", rk_mono_ms() - m->began_ms));
}

/* Goes on with a call whose old run has stopped: at the VM that has the copy or, if
 * that one had no room for it, at another VM or where it was. */
static void resume(struct rk_call_move *m)
{
    struct rk_relay_call *x = m->x;
    char handle[RK_MOVE_HANDLE_MAX], from[RK_ADDR_MAX], to[RK_ID_MAX];
    bool copied = m->status == HTTP_OK;
    rk_strcpy(handle, sizeof(handle), m->handle);
    rk_strcpy(from, sizeof(from), x->vm->row.addr);
    rk_strcpy(to, sizeof(to), m->to_id);
    log_move(m, copied ? "copied" : "no room");
    rk_call_move_free(x);
    if (copied)
        rk_counter_add(RK_C_KV_MOVES, 1);
    rk_event_splitter_restart(&x->events);
    if (!copied && rk_call_resume_elsewhere(x, to))
        return;
    rk_call_resume_moved(x, copied ? to : x->vm->row.id, from, handle);
}

/* Ends a move without a copy. If the stream has ended meanwhile, it is complete or
 * is handled like any broken stream. Otherwise the run goes on where it is, and the
 * retry of the move is left. */
static void end_without_copy(struct rk_call_move *m, const char *what)
{
    struct rk_relay_call *x = m->x;
    bool stream_ended = m->stream_ended, stream_complete = m->stream_complete;
    log_move(m, what);
    rk_call_move_free(x);
    if (!x->may_be_stopped)
        rk_call_return_retry(x);
    if (stream_complete)
        rk_call_answer_ended(x);
    else if (stream_ended)
        rk_call_attempt_failed(x, true, RK_PLACE_CANCELLED, "the vm left");
}

static void on_timer(void *ctx)
{
    struct rk_call_move *m = ctx;
    struct rk_relay_call *x = m->x;
    if (!m->handle[0]) {
        end_without_copy(m, "no answer");
        return;
    }
    /* The run has stopped, but its connection has not been closed. */
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    resume(m);
}

bool rk_call_move_stream_ended(struct rk_relay_call *x, bool stream_complete)
{
    struct rk_call_move *m = x->move;
    if (!m)
        return false;
    m->stream_ended = true;
    m->stream_complete = stream_complete;
    if (m->handle[0])
        resume(m);
    return true;
}

/* ---- the order to the engine ---- */

static enum rk_head_action on_head(void *ctx, const struct rk_head *head)
{
    struct rk_call_move *m = ctx;
    m->status = head->status;
    return RK_HEAD_ACCEPT;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_call_move *m = ctx;
    rk_buf_add(&m->body, data, len); /* a body that is too long yields no handle */
}

static void on_end(void *ctx)
{
    struct rk_call_move *m = ctx;
    const struct rk_dialect *d = m->x->r->opt.dialect;
    m->up = NULL;
    rk_timer_stop(m->x->r->loop, &m->timer);
    bool stopped = d->move_handle(m->body.data ? m->body.data : "", m->handle);
    if (!stopped) {
        /* Of a copy that was made, only the handle can't be used. */
        m->x->may_be_stopped = m->status == HTTP_OK;
        end_without_copy(m, "refused");
    } else if (m->stream_ended) {
        resume(m);
    } else {
        rk_timer_start(m->x->r->loop, &m->timer, STREAM_END_TIMEOUT_MS);
    }
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_call_move *m = ctx;
    m->up = NULL;
    m->x->may_be_stopped = f->may_have_reached;
    end_without_copy(m, f->cause);
}

static const struct rk_upstream_ops move_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};

static bool send_order(struct rk_call_move *m, const struct rk_place_vm *to)
{
    struct rk_relay_call *x = m->x;
    const struct rk_dialect *d = x->r->opt.dialect;
    struct rk_buf head = {0}, body = {0};
    d->move_body(x->id, to->row.addr, &body);
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
                                          .connect_ms = CONNECT_TIMEOUT_MS,
                                          .max_conns = rk_call_max_conns(x),
                                          .ops = &move_ops,
                                          .ctx = m};
    m->up = rk_upstream_start(x->r->upstreams, &spec);
    rk_buf_free(&head);
    rk_buf_free(&body);
    return m->up != NULL;
}

/* Returns true if the stream can be moved and a move is worthwhile. */
static bool can_move(const struct rk_relay_call *x)
{
    return x->service->can_move_kv && x->vm && x->vm->leaving_since_ms && x->up &&
           x->begun && rk_mono_ms() - x->vm->leaving_since_ms >= MOVE_DELAY_MS &&
           !x->move_tried && x->client && x->events.last_id[0];
}

void rk_call_try_move(struct rk_relay_call *x)
{
    struct rk_engine_forecast forecast;
    if (!can_move(x))
        return;
    struct rk_place_vm *to =
        rk_place_choose(x->r->place, &x->query, rk_mono_ms(), &forecast);
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
    x->may_be_stopped = send_order(m, to);
    if (x->may_be_stopped)
        rk_timer_start(x->r->loop, &m->timer, ORDER_TIMEOUT_MS);
    else
        end_without_copy(m, "no connection");
}
