/* What a vm answers to a relayed call, and what of it the caller gets. */
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
#include "serve/relay_call_impl.h"

#define UNSENT_MAX (4 * 1024 * 1024) /* bytes kept for a slow caller */

/* The vm's first byte: what was predicted is compared with it. */
static void note_first(struct rk_relay_call *x)
{
    if (x->job.first)
        return;
    int64_t now_ms = rk_mono_ms(), seen_ms = now_ms - x->job.sent_ms;
    int64_t late_ms = seen_ms - (int64_t)x->job.expected_ms;
    rk_place_first(x->vm, &x->job, now_ms);
    rk_latency_observe(RK_LATENCY_MISS, x->query.service,
                       late_ms > 0 ? "late" : "early",
                       late_ms > 0 ? late_ms : -late_ms);
    rk_call_log_first(x, seen_ms);
}

/* A request counts once for usage, from its first run on, however often it is sent
 * again; of a stream by its first token, unless it fails before. Counted for each
 * run, a service whose vms failed a third of its calls for 4 s put a window off by
 * 8%. */
static void count_beginning(struct rk_relay_call *x, int64_t wall_ms)
{
    if (x->counted)
        return;
    x->counted = true;
    x->ran = true;
    if (x->org)
        rk_usage_count(&x->r->usage, x->r->opt.node,
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

/* Is the header named in the Connection header? */
bool rk_call_is_nominated(const char *connection, const char *name)
{
    size_t len = strlen(name);
    for (const char *at = connection; at && *at;) {
        at += strspn(at, " \t,");
        size_t n = strcspn(at, ",");
        size_t word = n;
        while (word && (at[word - 1] == ' ' || at[word - 1] == '\t'))
            word--;
        if (word == len && !strncasecmp(at, name, len))
            return true;
        at += n;
    }
    return false;
}

static void begin_answer(struct rk_relay_call *x, const struct rk_head *head)
{
    struct rk_buf b = {0};
    const char *connection = rk_head_get(head, "Connection");
    for (size_t i = 0; i < head->lines_len; i++) {
        const char *name = rk_head_name(head, i);
        if (!rk_call_is_hop_header(name) && !rk_call_is_nominated(connection, name))
            rk_buf_printf(&b, "%s: %s\r\n", name, rk_head_value(head, i));
    }
    x->begun = true;
    x->status = head->status;
    if (x->first_ms < 0)
        x->first_ms = rk_mono_ms() - x->started_ms;
    if (x->client)
        rk_client_begin(x->client, head->status, b.data ? b.data : "",
                        head->body_length);
    rk_buf_free(&b);
}

/* Does the answer say that the call did not run? */
static bool says_not_run(const struct rk_relay_call *x, const struct rk_head *head)
{
    return head->status == HTTP_MISDIRECTED ||
           rk_head_get(head, x->r->opt.dialect->not_run) != NULL;
}

/* Statuses that promise the caller what this vm did not prove. */
static bool promises_not_run(int status)
{
    return status == HTTP_QUOTA || status == HTTP_REFUSED ||
           status == HTTP_TIMEOUT || status == HTTP_MISDIRECTED;
}

static enum fate judge(struct rk_relay_call *x, const struct rk_head *head)
{
    bool well = head->status / 100 == 2;
    if (says_not_run(x, head))
        return FATE_NOT_RUN;
    if (well && !rk_head_get(head, x->r->opt.dialect->signature))
        return FATE_REPEAT;
    if (x->begun)
        return well ? FATE_PASS : FATE_REPEAT;
    if (well)
        return FATE_PASS;
    if (promises_not_run(head->status))
        return FATE_REPEAT;
    bool more = x->attempts < x->route->max_attempts && rk_call_repeatable(x);
    return head->status >= HTTP_SERVER_ERROR && more ? FATE_REPEAT : FATE_PASS;
}

static enum rk_head_fate on_head(void *ctx, const struct rk_head *head)
{
    struct rk_relay_call *x = ctx;
    const char *id = rk_head_get(head, x->r->opt.dialect->request_id);
    if (id && strcmp(id, x->id) != 0) {
        rk_count(RK_C_CROSSED, 1);
        RK_EVENT("call.crossed", RK_S("request", x->id), RK_S("answer_of", id),
                 RK_S("vm", x->vm->row.id));
        return RK_HEAD_SKIP;
    }
    rk_call_hear_vm(x, head);
    rk_timer_stop(x->r->loop, &x->silent);
    x->vm_head_ms = rk_mono_ms();
    x->fate = judge(x, head);
    if (!id && x->fate == FATE_PASS && head->status / 100 == 2)
        x->fate = FATE_REPEAT; /* nothing shows whose it is */
    if (x->fate == FATE_NOT_RUN)
        return RK_HEAD_TAKE;
    bool stream = x->route->kind == RK_CALL_STREAM;
    if (!stream || head->status / 100 != 2)
        count_beginning(x, x->sent_wall_ms);
    if (x->fate != FATE_PASS)
        return RK_HEAD_TAKE;
    if (stream)
        rk_timer_start(x->r->loop, &x->silent, SILENT_STREAM_MS);
    if (!x->begun)
        begin_answer(x, head);
    return RK_HEAD_TAKE;
}

static void on_event(void *ctx, const char *data, size_t len, const char *id)
{
    (void)id;
    struct rk_relay_call *x = ctx;
    if (x->client)
        rk_client_data(x->client, data, len);
}

/* May it go on at another vm behind the last whole event? */
static bool goes_by_events(const struct rk_relay_call *x)
{
    return x->route->kind == RK_CALL_STREAM &&
           (x->route->resumable || x->service->moves);
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_relay_call *x = ctx;
    if (!x->vm_first_ms)
        x->vm_first_ms = rk_mono_ms();
    if (x->fate != FATE_PASS)
        return;
    note_first(x);
    count_beginning(x, rk_wall_ms());
    if (x->route->kind == RK_CALL_STREAM)
        rk_timer_start(x->r->loop, &x->silent, SILENT_STREAM_MS);
    if (!x->client)
        return;
    if (rk_client_unsent(x->client) > UNSENT_MAX) {
        rk_call_cancel_attempt(x, RK_PLACE_CALLED_OFF);
        rk_call_give_up(x, HTTP_BROKEN, 0, "the caller reads too slowly");
        return;
    }
    if (goes_by_events(x))
        rk_events_feed(&x->events, data, len, on_event, x);
    else
        rk_client_data(x->client, data, len);
    rk_call_move(x);
}

void rk_call_end_whole(struct rk_relay_call *x)
{
    /* What follows the last whole event belongs to the answer, too. */
    if (x->events.part.len && x->client)
        rk_client_data(x->client, x->events.part.data, x->events.part.len);
    bool failed = x->status >= HTTP_SERVER_ERROR;
    rk_call_acquit(x);
    rk_call_end_attempt(x, failed ? RK_PLACE_ERROR : RK_PLACE_DONE);
    rk_call_finish(x);
}

static void on_end(void *ctx)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    switch (x->fate) {
    case FATE_NOT_RUN:
        rk_call_attempt_not_run(x, "the vm did not run it");
        return;
    case FATE_REPEAT:
        rk_call_attempt_failed(x, true, RK_PLACE_ERROR,
                               "the vm answered a failure");
        return;
    case FATE_NONE:
    case FATE_PASS:
        break;
    }
    if (!rk_call_move_takes_end(x, true))
        rk_call_end_whole(x);
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    if (x->fate != FATE_NOT_RUN && f->sent)
        rk_call_suspect(x);
    if (x->fate == FATE_NOT_RUN)
        rk_call_attempt_not_run(x, "the vm did not run it");
    else if (!rk_call_move_takes_end(x, false))
        rk_call_attempt_failed(x, f->sent, RK_PLACE_LOST, f->what);
}

const struct rk_upstream_ops rk_call_upstream_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};
