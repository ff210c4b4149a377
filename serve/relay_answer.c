/* Handles a VM's answer to a relayed call and decides what of it the caller
 * receives. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "common/latency.h"
#include "common/memory.h"
#include "serve/relay_call_impl.h"

#define EVENT_STREAM_TYPE "text/event-stream"
#define UNSENT_MAX_BYTES  (64 * 1024) /* buffered for a slow caller */
/* The same while memory is scarce. */
#define UNSENT_SCARCE_BYTES (4 * 1024)

/* Records the attempt's time to first byte and the error of its prediction. */
static void record_first_byte(struct rk_relay_call *x)
{
    if (x->job.got_first_byte)
        return;
    int64_t now_ms = rk_mono_ms(), observed_ms = now_ms - x->job.sent_ms;
    int64_t late_ms = observed_ms - (int64_t)x->job.expected_ms;
    rk_place_note_first_byte(x->vm, &x->job, now_ms);
    rk_latency_observe(RK_LATENCY_FIRST_BYTE_ERROR, x->query.service,
                       late_ms > 0 ? "late" : "early",
                       late_ms > 0 ? late_ms : -late_ms);
    rk_call_log_first_byte(x, observed_ms);
}

/* Counts the request in its organisation's usage. A request counts once, however
 * often it is sent: a stream at its first token, or at an answer with an error
 * status, and any other call at its first answer that does not prove that it did
 * not run, in the window in which it was sent. When each run was counted, a service
 * whose VMs failed a third of its calls for 4 s made a usage window wrong by 8%. */
static void count_usage(struct rk_relay_call *x, int64_t wall_ms)
{
    if (x->usage_counted)
        return;
    x->usage_counted = true;
    x->ran = true;
    if (x->org)
        rk_usage_count(&x->r->usage, x->r->opt.node_hash,
                       wall_ms / x->r->opt.bounds.usage_window_ms, x->org->name);
}

bool rk_call_is_hop_header(const char *name)
{
    static const char *const names[] = {
        "Connection",         "Keep-Alive", "Proxy-Connection",
        "Proxy-Authenticate", "TE",         "Trailer",
        "Transfer-Encoding",  "Upgrade",    "Content-Length"};
    for (size_t i = 0; i < RK_ARRAY_LEN(names); i++)
        if (!strcasecmp(names[i], name))
            return true;
    return false;
}

bool rk_call_is_nominated(const char *connection, const char *name)
{
    size_t len = strlen(name);
    for (const char *at = connection; at && *at;) {
        at += strspn(at, " \t,");
        size_t n = strcspn(at, ",");
        size_t name_len = n;
        while (name_len && (at[name_len - 1] == ' ' || at[name_len - 1] == '\t'))
            name_len--;
        if (name_len == len && !strncasecmp(at, name, len))
            return true;
        at += n;
    }
    return false;
}

void rk_call_begin_answer(struct rk_relay_call *x, const struct rk_head *head)
{
    struct rk_buf b = {0};
    const char *connection = rk_head_get(head, "Connection");
    for (size_t i = 0; i < head->lines_len; i++) {
        const char *name = rk_head_name(head, i);
        if (!rk_call_is_hop_header(name) &&
            !rk_call_is_nominated(connection, name) &&
            strcasecmp(name, RK_HEADER_STREAM_VERSION) != 0)
            rk_buf_printf(&b, "%s: %s\r\n", name, rk_head_value(head, i));
    }
    if (x->is_forwarded && x->query.version[0])
        rk_buf_printf(&b, RK_HEADER_STREAM_VERSION ": %s\r\n", x->query.version);
    x->begun = true;
    x->status = head->status;
    if (x->first_ms < 0)
        x->first_ms = rk_mono_ms() - x->started_ms;
    if (x->client)
        rk_client_begin(x->client, head->status, b.data ? b.data : "",
                        head->body_length);
    rk_buf_free(&b);
}

/* Returns true if the answer proves that the call did not run. */
static bool proves_not_run(const struct rk_relay_call *x,
                           const struct rk_head *head)
{
    return head->status == HTTP_MISDIRECTED_REQUEST ||
           rk_head_get(head, x->r->opt.dialect->not_run) != NULL;
}

bool rk_call_implies_not_run(int status)
{
    return status == HTTP_TOO_MANY_REQUESTS || status == HTTP_UNAVAILABLE ||
           status == HTTP_REQUEST_TIMEOUT || status == HTTP_MISDIRECTED_REQUEST;
}

static enum answer_class classify_answer(struct rk_relay_call *x,
                                         const struct rk_head *head)
{
    bool success = head->status / 100 == 2;
    if (proves_not_run(x, head))
        return ANSWER_NOT_RUN;
    if (success && !rk_head_get(head, x->r->opt.dialect->signature))
        return ANSWER_RETRY;
    if (x->begun)
        return success ? ANSWER_PASS : ANSWER_RETRY;
    if (success)
        return ANSWER_PASS;
    /* The caller would conclude that the call did not run, which this VM has not
     * proved. */
    if (rk_call_implies_not_run(head->status))
        return ANSWER_RETRY;
    bool retry_left = x->attempts < x->route->max_attempts && rk_call_repeatable(x);
    return head->status >= HTTP_SERVER_ERROR && retry_left ? ANSWER_RETRY
                                                           : ANSWER_PASS;
}

/* Returns true if the answer's body consists of events. */
static bool is_event_stream(const struct rk_relay_call *x,
                            const struct rk_head *head)
{
    if (x->route->kind != RK_CALL_STREAM || head->status / 100 != 2 ||
        rk_client_head(x->client)->method == HTTP_HEAD)
        return false;
    const char *type = rk_head_get(head, "Content-Type");
    return !type ||
           !strncasecmp(type, EVENT_STREAM_TYPE, strlen(EVENT_STREAM_TYPE));
}

/* Returns how the answer's body ends. That of a HEAD request has none. */
static enum rk_framing get_framing(const struct rk_relay_call *x,
                                   const struct rk_head *head)
{
    bool no_body = x->client && rk_client_head(x->client)->method == HTTP_HEAD;
    return no_body ? RK_FRAMING_LENGTH : rk_head_framing(head);
}

static enum rk_head_action on_head(void *ctx, const struct rk_head *head)
{
    struct rk_relay_call *x = ctx;
    const char *id = rk_head_get(head, x->r->opt.dialect->request_id);
    if (id && strcmp(id, x->id) != 0) {
        rk_counter_add(RK_C_MISMATCHED, 1);
        RK_EVENT("call.crossed", RK_S("request", x->id), RK_S("answer_of", id),
                 RK_S("vm", x->vm->row.id));
        return RK_HEAD_SKIP;
    }
    rk_relay_note_heard(x->r, x->vm, !rk_upstream_is_reused(x->up));
    rk_call_read_signals(x, head);
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->vm_head_ms = rk_mono_ms();
    x->framing = get_framing(x, head);
    x->is_event_stream = is_event_stream(x, head);
    x->position = (struct rk_event_position){0};
    x->answer_class = classify_answer(x, head);
    /* Without an id, an answer can't be matched to the request. Only refusals have
     * none. A late copy of one would be taken for the answer to the next request on
     * this connection, and that it did not run. */
    if (!id && x->answer_class == ANSWER_PASS)
        x->answer_class = ANSWER_RETRY;
    if (!id)
        rk_upstream_close_after(x->up);
    if (x->answer_class == ANSWER_NOT_RUN)
        return RK_HEAD_DISCARD;
    bool stream = x->route->kind == RK_CALL_STREAM;
    if (!stream || head->status / 100 != 2)
        count_usage(x, x->sent_wall_ms);
    if (x->answer_class != ANSWER_PASS)
        return RK_HEAD_DISCARD;
    if (stream)
        rk_timer_start(x->r->loop, &x->silence_timer, STREAM_SILENCE_MS);
    /* The peer has to know the version before the first event. */
    if (x->is_forwarded && x->is_event_stream)
        rk_call_bind_version(x);
    if (!x->begun)
        rk_call_begin_answer(x, head);
    return RK_HEAD_ACCEPT;
}

static void on_event(void *ctx, const char *data, size_t len)
{
    struct rk_relay_call *x = ctx;
    rk_call_bind_version(x);
    if (x->client)
        rk_client_data(x->client, data, len);
}

/* Returns true if the stream may continue at another VM. It is then passed on in
 * complete events, so that it can continue after the last one. */
static bool delivers_complete_events(const struct rk_relay_call *x)
{
    return x->route->kind == RK_CALL_STREAM &&
           (x->route->resumable || x->service->can_move_kv);
}

/* Updates the longest pause in the answer. */
static void record_pause(struct rk_relay_call *x)
{
    int64_t now_ms = rk_mono_ms();
    if (x->last_data_ms && now_ms - x->last_data_ms > x->pause_ms)
        x->pause_ms = now_ms - x->last_data_ms;
    x->last_data_ms = now_ms;
}

/* Stops reading from the VM until a slow caller has taken what there is. Otherwise
 * the node would buffer all that a VM sends, for each such caller. */
static void hold_for_slow_caller(struct rk_relay_call *x)
{
    size_t max = rk_memory_is_scarce() ? UNSENT_SCARCE_BYTES : UNSENT_MAX_BYTES;
    if (!x->up || rk_client_unsent_len(x->client) <= max)
        return;
    x->is_held = true;
    rk_upstream_set_held(x->up, true);
    rk_timer_stop(x->r->loop, &x->silence_timer);
}

void rk_relay_call_resume_reading(struct rk_relay_call *x)
{
    if (!x->is_held || !x->up)
        return;
    x->is_held = false;
    rk_upstream_set_held(x->up, false);
    if (x->route->kind == RK_CALL_STREAM)
        rk_timer_start(x->r->loop, &x->silence_timer,
                       x->peer[0] ? STREAM_PEER_SILENCE_MS : STREAM_SILENCE_MS);
}

/* Ends an attempt whose stream can't be passed on. Another VM may continue the
 * stream after its last whole event. */
static void fail_stream(struct rk_relay_call *x, const char *why)
{
    rk_upstream_cancel(x->up);
    x->up = NULL;
    rk_call_attempt_failed(x, true, RK_PLACE_ERROR, why);
}

bool rk_call_pass_body(struct rk_relay_call *x, const char *data, size_t len)
{
    record_pause(x);
    if (!x->client)
        return true;
    if (!delivers_complete_events(x)) {
        rk_client_data(x->client, data, len);
        hold_for_slow_caller(x);
        return true;
    }
    rk_event_splitter_feed(&x->events, data, len, on_event, x);
    if (x->events.failed) {
        fail_stream(x, "an event of the stream is too long");
        return false;
    }
    hold_for_slow_caller(x);
    return true;
}

/* Returns true if only the close of the VM's connection ends the answer. */
static bool is_unframed(const struct rk_relay_call *x)
{
    return x->framing == RK_FRAMING_CLOSE;
}

static bool is_unframed_stream(const struct rk_relay_call *x)
{
    return is_unframed(x) && x->is_event_stream;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_relay_call *x = ctx;
    if (!x->vm_first_ms)
        x->vm_first_ms = rk_mono_ms();
    rk_relay_note_heard(x->r, x->vm, false);
    rk_call_check_survival(x);
    record_first_byte(x);
    count_usage(x, rk_wall_ms());
    if (is_unframed_stream(x))
        rk_event_position_add(&x->position, data, len);
    if (x->route->kind == RK_CALL_STREAM)
        rk_timer_start(x->r->loop, &x->silence_timer, STREAM_SILENCE_MS);
    if (rk_call_pass_body(x, data, len) && x->client)
        rk_call_try_move(x);
}

void rk_call_finish_answer(struct rk_relay_call *x)
{
    /* Bytes after the last complete event belong to the answer, too. */
    if (x->events.partial.len && x->client)
        rk_client_data(x->client, x->events.partial.data, x->events.partial.len);
    rk_call_finish(x);
}

static void finish_attempt(struct rk_relay_call *x)
{
    bool failed = x->status >= HTTP_SERVER_ERROR;
    rk_call_clear_suspicion(x);
    rk_call_end_attempt(x, failed ? RK_PLACE_ERROR : RK_PLACE_DONE);
    rk_call_finish_answer(x);
}

void rk_call_answer_ended(struct rk_relay_call *x)
{
    if (x->may_be_stopped && is_unframed_stream(x)) {
        rk_call_attempt_failed(x, true, RK_PLACE_CANCELLED,
                               "the vm may have stopped it for a move");
        return;
    }
    if (!is_unframed(x) || !rk_call_start_end_check(x))
        finish_attempt(x);
}

/* A reset may come from the VM itself, because of the call; a probe tells. */
static void note_failed_connection(struct rk_relay_call *x,
                                   const struct rk_upstream_failure *f)
{
    if (!f->error)
        return;
    if (f->may_have_reached)
        rk_relay_suspect_vm(x->r, x->vm);
    else
        rk_relay_note_unreachable(x->r, x->vm);
}

/* Handles an answer that was broken off, or did not come. */
static void lose_answer(struct rk_relay_call *x,
                        const struct rk_upstream_failure *f)
{
    note_failed_connection(x, f);
    if (x->answer_class != ANSWER_NOT_RUN && f->may_have_reached)
        rk_call_suspect(x);
    if (x->answer_class == ANSWER_NOT_RUN)
        rk_call_attempt_not_run(x, "the vm did not run it");
    else if (!rk_call_move_stream_ended(x, false))
        rk_call_attempt_failed(
            x, f->may_have_reached,
            f->may_have_reached ? RK_PLACE_LOST : RK_PLACE_UNREACHED, f->cause);
}

void rk_call_end_checked(struct rk_relay_call *x, bool vm_lives)
{
    const struct rk_upstream_failure broken = {
        .may_have_reached = true, .cause = "the vm closed and does not answer"};
    if (vm_lives)
        finish_attempt(x);
    else
        lose_answer(x, &broken);
}

/* Returns true if a VM that ended its answer in order has broken it off.
 * Connections of a crashed process are closed in order, too. Without framing, only
 * the stream itself then tells: it ends inside an event, or has none. */
static bool is_broken_off(const struct rk_relay_call *x)
{
    if (!is_unframed_stream(x))
        return false;
    bool is_continued = x->is_resume || x->events.last_id[0];
    return rk_event_position_is_inside(&x->position) ||
           (!x->position.has_events && !is_continued);
}

static void on_end(void *ctx)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    switch (x->answer_class) {
    case ANSWER_NOT_RUN:
        rk_call_attempt_not_run(x, "the vm did not run it");
        return;
    case ANSWER_RETRY:
        rk_call_attempt_failed(x, true, RK_PLACE_ERROR,
                               "the vm answered a failure");
        return;
    case ANSWER_PENDING:
    case ANSWER_PASS:
        break;
    }
    if (is_broken_off(x)) {
        const struct rk_upstream_failure broken = {
            .may_have_reached = true, .cause = "the vm closed inside an event"};
        lose_answer(x, &broken);
        return;
    }
    if (!rk_call_move_stream_ended(x, true))
        rk_call_answer_ended(x);
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    lose_answer(x, f);
}

const struct rk_upstream_ops rk_call_upstream_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};
