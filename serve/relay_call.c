#include "serve/relay_call.h"

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
#include "services/upstream.h"

#define REQUEST_ID_MAX    96
#define LINE_MAX_LEN      192
#define PROBLEM_MAX       256
#define CONNECT_PLAIN_MS  150
#define CONNECT_STREAM_MS 400
#define REST_ONCE_MS                                                               \
    1500 /* an older connection may close under a call that                        \
            must not be lost */
#define REST_ANY_MS 12000
#define SILENT_PLAIN_MS                                                            \
    150 /* a repeatable call that has no answer so long is                         \
           tried at another vm */
#define SILENT_STREAM_MS  1500
#define RETRY_AFTER_MS    300 /* told with a refusal when nothing better is known */
#define MAX_CHOICES       4   /* vms tried that could not even be connected to */
#define MAX_CONNS_DEFAULT 64
#define URGENT_RANK       0
#define LATE_URGENT       1.5 /* times its target, a predicted first byte may come */
#define LATE_OTHERS       1.0
#define LOGGED_ONE_IN     16 /* of calls that ended well */
#define STOP_TAKES_MS                                                              \
    2700 /* after a stop began, calls of any length are taken:                     \
            the balancer may not know yet */
#define UNSENT_MAX (4 * 1024 * 1024) /* bytes kept for a slow caller */

enum {
    HTTP_BAD_REQUEST = 400,
    HTTP_UNKNOWN_KEY = 401,
    HTTP_NO_ROUTE = 404,
    HTTP_TIMEOUT = 408,
    HTTP_MISDIRECTED = 421,
    HTTP_QUOTA = 429,
    HTTP_BROKEN = 502,
    HTTP_REFUSED = 503,
    HTTP_TOO_LATE = 504,
};

/* What becomes of the answer that an attempt is getting. */
enum fate {
    FATE_NONE,    /* no head yet */
    FATE_PASS,    /* goes to the caller */
    FATE_NOT_RUN, /* proves that the call did not run */
    FATE_REPEAT,  /* a failure, but the call may be repeated */
};

struct rk_relay_call {
    struct rk_relay *r;
    struct rk_relay_call *next, **prev;
    struct rk_client *client; /* NULL: gone */
    char id[REQUEST_ID_MAX];
    struct rk_routes *routes; /* the version it is served by */
    const struct rk_route *route;
    const struct rk_service_info *service;
    const struct rk_org_info *org; /* NULL: none */
    struct rk_place_query query;
    double units; /* of the organisation's quota */
    int64_t started_ms, end_ms;
    struct rk_timer end;    /* the deadline or the route's timeout */
    struct rk_timer silent; /* the vm says nothing */
    /* The attempt under way. */
    struct rk_upstream_call *up;
    struct rk_place_vm *vm;
    double unread_tokens;
    enum fate fate;
    int64_t sent_wall_ms;
    bool counted; /* this attempt's beginning, in usage */
    /* All attempts. */
    int attempts;
    bool may_have_run;
    bool ran;   /* it counts for the quota */
    bool begun; /* the caller has got the head */
    bool got_bytes;
    struct rk_events events;
    int64_t first_ms; /* to the first byte; -1 */
};

static void send_to_vm(struct rk_relay_call *x);

/* ---- life ---- */

static bool repeatable(const struct rk_relay_call *x)
{
    return x->route->kind == RK_CALL_REPEATABLE ||
           (x->route->kind == RK_CALL_STREAM && x->route->resumable);
}

static void free_call(struct rk_relay_call *x)
{
    rk_timer_stop(x->r->loop, &x->end);
    rk_timer_stop(x->r->loop, &x->silent);
    *x->prev = x->next;
    if (x->next)
        x->next->prev = x->prev;
    x->r->calls_len--;
    rk_events_free(&x->events);
    rk_routes_unref(x->routes);
    free(x);
}

/* The vm is done with the attempt. */
static void end_attempt(struct rk_relay_call *x, enum rk_place_end end)
{
    if (!x->vm)
        return;
    rk_place_ended(x->r->place, x->vm, x->unread_tokens, end, rk_mono_ms());
    x->vm = NULL;
    x->unread_tokens = 0;
}

static void cancel_attempt(struct rk_relay_call *x, enum rk_place_end end)
{
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    end_attempt(x, end);
}

static void log_end(const struct rk_relay_call *x, int status, const char *why)
{
    bool well = status && status < HTTP_BAD_REQUEST && !why[0];
    if (well && rk_hash_str(0, x->id) % LOGGED_ONE_IN)
        return;
    RK_EVENT("call.end", RK_S("request", x->id), RK_S("route", x->route->name),
             RK_N("version", x->routes->version), RK_N("status", status),
             RK_S("why", why), RK_N("attempts", x->attempts),
             RK_N("may_have_run", x->may_have_run), RK_N("first_ms", x->first_ms),
             RK_N("took_ms", rk_mono_ms() - x->started_ms));
}

/* The call's end in the histograms. */
static void observe(const struct rk_relay_call *x, const char *outcome)
{
    if (x->first_ms >= 0)
        rk_latency_observe(RK_LATENCY_FIRST, x->query.service, outcome,
                           x->first_ms);
    rk_latency_observe(RK_LATENCY_WHOLE, x->query.service, outcome,
                       rk_mono_ms() - x->started_ms);
}

static void answer_problem(struct rk_client *client, int status,
                           int64_t retry_after_ms, const char *why)
{
    char headers[LINE_MAX_LEN], body[PROBLEM_MAX];
    int n = snprintf(headers, sizeof(headers),
                     "Content-Type: application/problem+json\r\n");
    if (retry_after_ms > 0)
        snprintf(headers + n, sizeof(headers) - (size_t)n,
                 "Retry-After: %" PRId64 ".%03d\r\n", retry_after_ms / RK_MS_PER_S,
                 (int)(retry_after_ms % RK_MS_PER_S));
    int len = snprintf(body, sizeof(body), "{\"status\":%d,\"detail\":\"%s\"}\n",
                       status, why);
    rk_client_answer(client, status, headers, body, (size_t)len);
}

/* The call's own final answer; nothing runs for it any more. */
static void give_up(struct rk_relay_call *x, int status, int64_t retry_after_ms,
                    const char *why)
{
    struct rk_client *client = x->client;
    bool begun = x->begun;
    log_end(x, status, why);
    observe(x, !x->client ? "gone" : x->may_have_run ? "failed" : "refused");
    rk_count(x->may_have_run ? RK_C_REFUSED_MAYBE : RK_C_REFUSED_NOT_RUN, 1);
    if (x->org && !x->ran && !x->may_have_run)
        rk_quota_refund(&x->r->quota, x->org->name, x->units, rk_mono_ms());
    free_call(x);
    if (!client)
        return;
    if (begun)
        rk_client_cut(client);
    else
        answer_problem(client, status, retry_after_ms, why);
}

/* No attempt is left: the truth about whether it may have run decides. */
static void give_up_sending(struct rk_relay_call *x, const char *why)
{
    if (x->may_have_run)
        give_up(x, HTTP_BROKEN, 0, why);
    else
        give_up(x, HTTP_REFUSED, RETRY_AFTER_MS, why);
}

static void finish_well(struct rk_relay_call *x, int status)
{
    struct rk_client *client = x->client;
    rk_count(RK_C_ANSWERS_OK, 1);
    log_end(x, status, "");
    observe(x, "served");
    free_call(x);
    if (client)
        rk_client_end(client);
}

/* ---- retries ---- */

static struct rk_relay_service *service_of(struct rk_relay *r, const char *name)
{
    for (size_t i = 0; i < r->services_len; i++)
        if (!strcmp(r->services[i].name, name))
            return &r->services[i];
    if (r->services_len == RK_RELAY_SERVICES)
        r->services_len = 0; /* services come and go with configurations */
    struct rk_relay_service *s = &r->services[r->services_len++];
    *s = (struct rk_relay_service){0};
    rk_strcpy(s->name, sizeof(s->name), name);
    return s;
}

static struct rk_budget *budget(struct rk_relay_call *x)
{
    return &service_of(x->r, x->query.service)->budget;
}

static void earn_retries(struct rk_relay_call *x)
{
    struct rk_budget *b = budget(x);
    int nodes = x->r->quota.nodes_total > 0 ? x->r->quota.nodes_total : 1;
    int64_t burst = x->r->opt.bounds.retry_burst / (2 * (int64_t)nodes);
    b->burst = burst > 0 ? burst : 1;
    rk_budget_earn(b, x->r->opt.bounds.retry_pct);
}

/* May the call be sent to one more vm? Takes a retry from the budget. */
static bool may_send_again(struct rk_relay_call *x)
{
    if (x->attempts >= x->route->max_attempts)
        return false;
    if (!rk_budget_spend(budget(x))) {
        rk_count(RK_C_RETRY_DENIED, 1);
        return false;
    }
    rk_count(RK_C_RETRIES, 1);
    return true;
}

static void exclude_vm(struct rk_relay_call *x)
{
    if (x->vm && x->query.excluded_len < RK_PLACE_EXCLUDED)
        x->query.excluded[x->query.excluded_len++] = x->vm->hash;
}

static void log_attempt(const struct rk_relay_call *x, const char *what, bool sent)
{
    RK_EVENT("call.attempt_failed", RK_S("request", x->id),
             RK_S("vm", x->vm ? x->vm->row.id : ""), RK_S("what", what),
             RK_N("sent", sent), RK_N("attempt", x->attempts),
             RK_N("begun", x->begun),
             RK_N("after_ms", rk_mono_ms() - x->started_ms));
}

/* An attempt is over without a final answer; its upstream call is gone. */
static void attempt_failed(struct rk_relay_call *x, bool sent,
                           enum rk_place_end end, const char *what)
{
    log_attempt(x, what, sent);
    exclude_vm(x);
    end_attempt(x, end);
    rk_timer_stop(x->r->loop, &x->silent);
    x->fate = FATE_NONE;
    if (!sent)
        x->attempts--; /* it never arrived */
    else
        x->may_have_run = true;
    if (!x->client) {
        give_up(x, 0, 0, what);
        return;
    }
    bool again = !sent || (repeatable(x) && may_send_again(x));
    if (x->begun && !x->route->resumable)
        again = false;
    if (!again) {
        give_up_sending(x, what);
        return;
    }
    if (x->begun) {
        rk_count(RK_C_RESUMES, 1);
        rk_events_restart(&x->events);
    }
    send_to_vm(x);
}

/* The vm proved that the call did not run there. */
static void attempt_not_run(struct rk_relay_call *x, const char *what)
{
    log_attempt(x, what, true);
    exclude_vm(x);
    end_attempt(x, RK_PLACE_REFUSED);
    rk_timer_stop(x->r->loop, &x->silent);
    x->fate = FATE_NONE;
    if (x->client && may_send_again(x))
        send_to_vm(x);
    else
        give_up_sending(x, what);
}

/* ---- the answer ---- */

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

static bool is_hop_header(const char *name)
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
static bool is_nominated(const char *connection, const char *name)
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
        if (!is_hop_header(name) && !is_nominated(connection, name))
            rk_buf_printf(&b, "%s: %s\r\n", name, rk_head_value(head, i));
    }
    x->begun = true;
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
    bool more = x->attempts < x->route->max_attempts && repeatable(x);
    return head->status >= 500 && more ? FATE_REPEAT : FATE_PASS;
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
    rk_timer_stop(x->r->loop, &x->silent);
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

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_relay_call *x = ctx;
    if (x->fate != FATE_PASS)
        return;
    if (x->unread_tokens > 0) {
        rk_place_first(x->vm, x->unread_tokens);
        x->unread_tokens = 0;
    }
    count_beginning(x, rk_wall_ms());
    if (x->route->kind == RK_CALL_STREAM)
        rk_timer_start(x->r->loop, &x->silent, SILENT_STREAM_MS);
    if (!x->client)
        return;
    if (rk_client_unsent(x->client) > UNSENT_MAX) {
        cancel_attempt(x, RK_PLACE_CALLED_OFF);
        give_up(x, HTTP_BROKEN, 0, "the caller reads too slowly");
        return;
    }
    if (x->route->resumable)
        rk_events_feed(&x->events, data, len, on_event, x);
    else
        rk_client_data(x->client, data, len);
}

static void on_end(void *ctx)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    switch (x->fate) {
    case FATE_NOT_RUN:
        attempt_not_run(x, "the vm did not run it");
        return;
    case FATE_REPEAT:
        attempt_failed(x, true, RK_PLACE_ERROR, "the vm answered a failure");
        return;
    case FATE_NONE:
    case FATE_PASS:
        break;
    }
    /* What follows the last whole event belongs to the answer, too. */
    if (x->events.part.len && x->client)
        rk_client_data(x->client, x->events.part.data, x->events.part.len);
    end_attempt(x, RK_PLACE_DONE);
    finish_well(x, 200);
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    if (x->fate == FATE_NOT_RUN)
        attempt_not_run(x, "the vm did not run it");
    else
        attempt_failed(x, f->sent, RK_PLACE_LOST, f->what);
}

static const struct rk_upstream_ops upstream_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};

/* ---- sending ---- */

static void add_line(struct rk_buf *b, const char *name, const char *value)
{
    rk_buf_printf(b, "%s: %s\r\n", name, value);
}

/* Headers that this node sets itself, or that are not for the vm. */
static bool is_own_header(const struct rk_dialect *d, const char *name)
{
    const char *const names[] = {d->key,  d->organisation, d->vm_id,
                                 d->rank, d->deadline_ms,  "Expect"};
    for (size_t i = 0; i < RK_ARRAY_LEN(names); i++)
        if (!strcasecmp(names[i], name))
            return true;
    return false;
}

static void copy_headers(const struct rk_relay_call *x, const struct rk_head *head,
                         struct rk_buf *b)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    const char *connection = rk_head_get(head, "Connection");
    for (size_t i = 0; i < head->lines_len; i++) {
        const char *name = rk_head_name(head, i);
        if (is_hop_header(name) || is_nominated(connection, name) ||
            is_own_header(d, name))
            continue;
        if (x->begun && !strcasecmp(name, d->resume_after))
            continue;
        add_line(b, name, rk_head_value(head, i));
    }
}

static int rank(const struct rk_relay_call *x)
{
    return x->org && x->org->rank >= 0 ? x->org->rank : x->route->rank;
}

static void build_head(const struct rk_relay_call *x, size_t body_len,
                       struct rk_buf *b)
{
    const struct rk_head *head = rk_client_head(x->client);
    const struct rk_dialect *d = x->r->opt.dialect;
    int64_t left_ms = x->end_ms - rk_mono_ms();
    rk_buf_printf(b, "%s %s HTTP/1.1\r\n", http_method_str(head->method),
                  rk_head_target(head));
    copy_headers(x, head, b);
    rk_buf_printf(b, "%s: %" PRId64 "\r\n", d->deadline_ms,
                  left_ms > 1 ? left_ms : 1);
    add_line(b, d->vm_id, x->vm->row.id);
    if (x->org)
        add_line(b, d->organisation, x->org->name);
    if (x->service->engine)
        rk_buf_printf(b, "%s: %d\r\n", d->rank, rank(x));
    if (x->begun && x->events.last_id[0])
        add_line(b, d->resume_after, x->events.last_id);
    if (body_len || head->body_length >= 0 || head->chunked)
        rk_buf_printf(b, "Content-Length: %zu\r\n", body_len);
    rk_buf_addstr(b, "\r\n");
}

static int max_conns(const struct rk_relay_call *x)
{
    int nodes = x->r->quota.nodes_total > 0 ? x->r->quota.nodes_total : 1;
    int64_t share = x->service->max_conns / nodes;
    return share > 0 ? (int)share : MAX_CONNS_DEFAULT;
}

/* Hand the call to x->vm. False: no byte can leave. */
static bool start_attempt(struct rk_relay_call *x)
{
    size_t body_len;
    const char *body = rk_client_body(x->client, &body_len);
    struct rk_buf head = {0};
    build_head(x, body_len, &head);
    bool stream = x->route->kind == RK_CALL_STREAM;
    const struct rk_upstream_spec spec = {
        .vm_id = x->vm->row.id,
        .addr = x->vm->row.addr,
        .head = head.data,
        .head_len = head.len,
        .body = body,
        .body_len = body_len,
        .no_body = rk_client_head(x->client)->method == HTTP_HEAD,
        .max_idle_ms = repeatable(x) ? REST_ANY_MS : REST_ONCE_MS,
        .connect_ms = stream ? CONNECT_STREAM_MS : CONNECT_PLAIN_MS,
        .max_conns = max_conns(x),
        .ops = &upstream_ops,
        .ctx = x,
    };
    x->up = rk_upstream_start(x->r->upstreams, &spec);
    rk_buf_free(&head);
    return x->up != NULL;
}

static void watch_silence(struct rk_relay_call *x)
{
    if (!repeatable(x) || x->attempts >= x->route->max_attempts)
        return;
    bool stream = x->route->kind == RK_CALL_STREAM;
    rk_timer_start(x->r->loop, &x->silent,
                   stream ? SILENT_STREAM_MS + x->route->target_ms
                          : SILENT_PLAIN_MS);
}

/* Would a first attempt get its first byte so late that the answer is worth little?
 * Then others are served better without it, and its caller may come back. */
static bool comes_too_late(const struct rk_relay_call *x, double first_ms)
{
    double target_ms = (double)x->route->target_ms;
    if (!x->query.engine || x->attempts || x->begun || target_ms <= 0)
        return false;
    double slack = rank(x) <= URGENT_RANK ? LATE_URGENT : LATE_OTHERS;
    return first_ms > target_ms * slack;
}

static void send_to_vm(struct rk_relay_call *x)
{
    double first_ms;
    for (int i = 0; i < MAX_CHOICES; i++) {
        int64_t now_ms = rk_mono_ms();
        x->vm = rk_place_choose(x->r->place, &x->query, now_ms, &first_ms);
        if (!x->vm)
            break;
        if (comes_too_late(x, first_ms)) {
            x->vm = NULL;
            rk_count(RK_C_LATE_REFUSED, 1);
            give_up(x, HTTP_REFUSED, (int64_t)first_ms - x->route->target_ms / 2,
                    "its first byte would come too late");
            return;
        }
        x->unread_tokens = rk_place_sent(x->r->place, x->vm, &x->query, now_ms);
        x->sent_wall_ms = rk_wall_ms();
        x->counted = false;
        if (start_attempt(x)) {
            service_of(x->r, x->query.service)->read_tokens += x->unread_tokens;
            x->attempts++;
            rk_count(RK_C_ATTEMPTS, 1);
            watch_silence(x);
            return;
        }
        exclude_vm(x);
        end_attempt(x, RK_PLACE_CALLED_OFF);
    }
    give_up_sending(x, "no vm can take it");
}

/* ---- timers ---- */

static void on_time_over(void *ctx)
{
    struct rk_relay_call *x = ctx;
    if (x->up && rk_upstream_sent(x->up) && x->fate != FATE_NOT_RUN)
        x->may_have_run = true;
    cancel_attempt(x, x->begun ? RK_PLACE_CALLED_OFF : RK_PLACE_LOST);
    rk_count(RK_C_EXPIRED, 1);
    give_up(x, HTTP_TOO_LATE, 0, "its time is over");
}

static void on_silent(void *ctx)
{
    struct rk_relay_call *x = ctx;
    if (!repeatable(x) || x->attempts >= x->route->max_attempts)
        return;
    bool sent = !x->up || rk_upstream_sent(x->up);
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    attempt_failed(x, sent, RK_PLACE_LOST, "the vm is silent");
}

/* ---- arrival ---- */

static void refuse(struct rk_relay *r, struct rk_client *client, int status,
                   int64_t retry_after_ms, const char *why)
{
    const char *id =
        rk_head_get(rk_client_head(client), r->opt.dialect->request_id);
    RK_EVENT("call.refused", RK_S("request", id ? id : ""), RK_N("status", status),
             RK_S("why", why), RK_N("version", r->routes ? r->routes->version : 0));
    rk_count(RK_C_BAD_INPUT, 1);
    answer_problem(client, status, retry_after_ms, why);
}

static const struct rk_route *find_route(struct rk_relay *r,
                                         struct rk_client *client)
{
    const struct rk_head *head = rk_client_head(client);
    const char *host = rk_head_get(head, "Host");
    char path[RK_ROUTE_TEXT * 4];
    rk_strcpy(path, sizeof(path), rk_head_target(head));
    path[strcspn(path, "?#")] = '\0';
    return host ? rk_routes_find(r->routes, host, path) : NULL;
}

/* The organisation of the request's key. False: it may not call the route. */
static bool find_org(struct rk_relay *r, const struct rk_route *route,
                     const struct rk_head *head, const struct rk_org_info **org)
{
    *org = NULL;
    if (!r->routes->keyed || route->anonymous)
        return true;
    const char *key = rk_head_get(head, r->opt.dialect->key);
    *org = key ? rk_routes_org_of_key(r->routes, key) : NULL;
    return *org != NULL;
}

static void parse_tokens(struct rk_relay_call *x, const struct rk_head *head)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    const char *tokens = rk_head_get(head, d->tokens);
    const char *prefix = rk_head_get(head, d->prefix);
    double out = 0;
    if (tokens) {
        char *end;
        x->query.tokens_in = strtod(tokens, &end);
        out = *end == ',' ? strtod(end + 1, NULL) : 0;
    }
    if (prefix)
        rk_place_parse_parts(&x->query, prefix);
    if (x->org && x->org->counts_tokens)
        x->units = tokens ? x->query.tokens_in + out : (double)x->org->plain_units;
    else
        x->units = 1;
}

static int64_t time_left(const struct rk_relay *r, const struct rk_route *route,
                         const struct rk_head *head)
{
    const char *deadline = rk_head_get(head, r->opt.dialect->deadline_ms);
    int64_t ms = deadline ? strtoll(deadline, NULL, 10) : route->timeout_ms;
    return ms < route->timeout_ms ? ms : route->timeout_ms;
}

static struct rk_relay_call *create_call(struct rk_relay *r,
                                         struct rk_client *client,
                                         const struct rk_route *route,
                                         const struct rk_org_info *org)
{
    const struct rk_head *head = rk_client_head(client);
    struct rk_relay_call *x = rk_alloc(1, sizeof(*x));
    *x = (struct rk_relay_call){.r = r,
                                .client = client,
                                .routes = rk_routes_ref(r->routes),
                                .route = route,
                                .org = org,
                                .started_ms = rk_mono_ms(),
                                .first_ms = -1};
    rk_strcpy(x->id, sizeof(x->id), rk_head_get(head, r->opt.dialect->request_id));
    x->query.service = rk_route_service(route, (uint32_t)rk_hash_str(0, x->id));
    x->service = rk_routes_service(r->routes, x->query.service);
    x->query.engine = x->service->engine;
    x->end = (struct rk_timer){.fn = on_time_over, .ctx = x};
    x->silent = (struct rk_timer){.fn = on_silent, .ctx = x};
    x->next = r->calls;
    x->prev = &r->calls;
    if (x->next)
        x->next->prev = &x->next;
    r->calls = x;
    r->calls_len++;
    parse_tokens(x, head);
    rk_client_set_user(client, x);
    return x;
}

/* Would the call outlast this process, which stops? */
static bool outlasts_stop(struct rk_relay *r, int64_t left_ms)
{
    int64_t began_ms = atomic_load(&r->close_began_ms), now_ms = rk_mono_ms();
    if (!began_ms || now_ms - began_ms < STOP_TAKES_MS)
        return false;
    return now_ms + left_ms > atomic_load(&r->close_ends_ms);
}

/* Does its organisation's quota allow the call? If not, it is refused. */
static bool admit(struct rk_relay_call *x)
{
    struct rk_quota *q = &x->r->quota;
    struct rk_quota_answer answer;
    if (!x->org || rk_quota_admit(q, x->org->name, x->org->rate, x->org->burst,
                                  x->units, x->started_ms, &answer))
        return true;
    rk_count(RK_C_QUOTA_REFUSED, 1);
    RK_EVENT(
        "quota.refused", RK_S("request", x->id), RK_S("organisation", x->org->name),
        RK_N("units", (int64_t)x->units), RK_N("used", (int64_t)answer.used),
        RK_N("before", (int64_t)answer.before),
        RK_N("limit", (int64_t)answer.limit), RK_N("nodes_heard", q->nodes_heard),
        RK_N("nodes_total", q->nodes_total));
    x->units = 0;
    give_up(x, HTTP_QUOTA, answer.retry_after_ms,
            "the organisation's quota is used up");
    return false;
}

void rk_relay_call_start(struct rk_relay *r, struct rk_client *client)
{
    const struct rk_head *head = rk_client_head(client);
    const char *id = rk_head_get(head, r->opt.dialect->request_id);
    const struct rk_org_info *org;
    rk_count(RK_C_CALLS, 1);
    if (!r->routes) {
        refuse(r, client, HTTP_REFUSED, RETRY_AFTER_MS, "no routes are known yet");
        return;
    }
    const struct rk_route *route = find_route(r, client);
    if (!route) {
        refuse(r, client, HTTP_NO_ROUTE, 0, "no such route");
        return;
    }
    if (!find_org(r, route, head, &org)) {
        refuse(r, client, HTTP_UNKNOWN_KEY, 0, "the key is not known");
        return;
    }
    if (!id || strlen(id) >= REQUEST_ID_MAX) {
        refuse(r, client, HTTP_BAD_REQUEST, 0, "expected a request id");
        return;
    }
    int64_t left_ms = time_left(r, route, head);
    if (left_ms <= 0) {
        refuse(r, client, HTTP_TIMEOUT, 0, "the deadline has passed");
        return;
    }
    if (outlasts_stop(r, left_ms)) {
        refuse(r, client, HTTP_REFUSED, 1, "this node stops");
        return;
    }
    struct rk_relay_call *x = create_call(r, client, route, org);
    x->end_ms = x->started_ms + left_ms;
    rk_timer_start(r->loop, &x->end, left_ms);
    if (!admit(x))
        return;
    earn_retries(x);
    send_to_vm(x);
}

void rk_relay_call_gone(struct rk_relay_call *x)
{
    x->client = NULL;
    if (x->route->kind == RK_CALL_ONCE && x->up)
        return; /* it runs on: nobody may learn too late that it was cut off */
    cancel_attempt(x, RK_PLACE_CALLED_OFF);
    log_end(x, 0, "the caller is gone");
    observe(x, "gone");
    free_call(x);
}

void rk_relay_call_abort(struct rk_relay_call *x)
{
    struct rk_client *client = x->client;
    cancel_attempt(x, RK_PLACE_CALLED_OFF);
    log_end(x, 0, "this node ends");
    free_call(x);
    if (client)
        rk_client_cut(client);
}
