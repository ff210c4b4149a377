#include "serve/relay_call_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/http1.h"
#include "core/rank.h"

#define LINE_MAX_LEN      192
#define PROBLEM_MAX       256
#define CONNECT_PLAIN_MS  150
#define CONNECT_STREAM_MS 400
#define REST_ONCE_MS      1500 /* rested longer, one may close under such a call */
#define REST_ANY_MS       12000
#define SILENT_PLAIN_MS   150 /* then another vm is tried, if it may be repeated */
#define MAX_CHOICES       4   /* vms tried that could not even be connected to */
#define MAX_CONNS_DEFAULT 64
#define URGENT_RANK       0
#define LATE_URGENT       1.5 /* times its target, a predicted first byte may come */
#define LATE_OTHERS       1.0
#define DOUBTS            2.0 /* standard errors: one in forty is worse */

/* ---- life ---- */

bool rk_call_repeatable(const struct rk_relay_call *x)
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
    rk_call_move_free(x);
    rk_events_free(&x->events);
    rk_routes_unref(x->routes);
    free(x);
}

/* The vm is done with the attempt. */
void rk_call_end_attempt(struct rk_relay_call *x, enum rk_place_end end)
{
    if (!x->vm)
        return;
    rk_place_ended(x->r->place, x->vm, &x->job, end, rk_mono_ms());
    x->vm = NULL;
}

void rk_call_cancel_attempt(struct rk_relay_call *x, enum rk_place_end end)
{
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    rk_call_end_attempt(x, end);
}

void rk_call_answer_problem(struct rk_client *client, int status,
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
void rk_call_give_up(struct rk_relay_call *x, int status, int64_t retry_after_ms,
                     const char *why)
{
    struct rk_client *client = x->client;
    bool begun = x->begun;
    rk_call_log_end(x, status, why);
    rk_call_observe(x, !x->client        ? "gone"
                       : x->may_have_run ? "failed"
                                         : "refused");
    rk_count(x->may_have_run ? RK_C_REFUSED_MAYBE : RK_C_REFUSED_NOT_RUN, 1);
    if (x->org && !x->ran && !x->may_have_run)
        rk_quota_refund(&x->r->quota, x->org->name, x->units, rk_mono_ms());
    free_call(x);
    if (!client)
        return;
    if (begun)
        rk_client_cut(client);
    else
        rk_call_answer_problem(client, status, retry_after_ms, why);
}

/* Where all vms of its service can't take it for what they say of themselves, till
 * one of them can. */
static int64_t retry_after_ms(const struct rk_relay_call *x)
{
    int64_t wait_ms = rk_place_wait_ms(x->r->place, &x->query, rk_mono_ms());
    return wait_ms > 0 ? wait_ms : RETRY_AFTER_MS;
}

/* No attempt is left: the truth about whether it may have run decides. */
static void give_up_sending(struct rk_relay_call *x, const char *why)
{
    if (x->may_have_run)
        rk_call_give_up(x, HTTP_BROKEN, 0, why);
    else
        rk_call_give_up(x, HTTP_REFUSED, retry_after_ms(x), why);
}

/* VMs ended under the same request: it goes to no other. */
static void give_up_stopped(struct rk_relay_call *x)
{
    rk_count(RK_C_STOPPED, 1);
    rk_call_give_up(x, x->may_have_run ? HTTP_BROKEN : HTTP_REFUSED,
                    x->may_have_run ? 0 : STOPPED_RETRY_AFTER_MS,
                    "vms ended under this request");
}

/* The caller has got the vm's whole answer, a success or a failure of the vm's. */
void rk_call_finish(struct rk_relay_call *x)
{
    struct rk_client *client = x->client;
    bool served = x->status < HTTP_BAD_REQUEST;
    if (served)
        rk_count(RK_C_ANSWERS_OK, 1);
    rk_call_log_end(x, x->status, "");
    rk_call_observe(x, served ? "served" : "failed");
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

void rk_call_earn_retries(struct rk_relay_call *x)
{
    const struct rk_relay_bounds *bounds = &x->r->opt.bounds;
    struct rk_budget *b = budget(x);
    rk_budget_set_share(b, bounds->retry_burst, x->r->quota.nodes_total,
                        bounds->first_start);
    rk_budget_earn(b, bounds->retry_pct);
}

bool rk_call_take_retry(struct rk_relay_call *x)
{
    if (!rk_budget_spend(budget(x))) {
        rk_count(RK_C_RETRY_DENIED, 1);
        return false;
    }
    rk_count(RK_C_RETRIES, 1);
    return true;
}

/* May the call be sent to one more vm? Takes a retry from the budget. */
static bool may_send_again(struct rk_relay_call *x)
{
    return x->attempts < x->route->max_attempts && rk_call_take_retry(x);
}

static void exclude_vm(struct rk_relay_call *x)
{
    /* A caller is not made to try a new version twice. */
    if (x->vm && rk_place_is_trial(x->vm))
        x->query.tries = false;
    if (x->vm && x->query.excluded_len < RK_PLACE_EXCLUDED)
        x->query.excluded[x->query.excluded_len++] = x->vm->hash;
}

/* An attempt is over without a final answer; its upstream call is gone. */
void rk_call_attempt_failed(struct rk_relay_call *x, bool sent,
                            enum rk_place_end end, const char *what)
{
    rk_call_log_attempt(x, what, sent);
    rk_call_move_free(x);
    exclude_vm(x);
    rk_call_end_attempt(x, end);
    rk_timer_stop(x->r->loop, &x->silent);
    x->fate = FATE_NONE;
    if (!sent)
        x->attempts--; /* it never arrived */
    else
        x->may_have_run = true;
    if (!x->client) {
        rk_call_give_up(x, 0, 0, what);
        return;
    }
    bool again = !sent || (rk_call_repeatable(x) && may_send_again(x));
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
    rk_call_send(x);
}

/* The vm proved that the call did not run there. */
void rk_call_attempt_not_run(struct rk_relay_call *x, const char *what)
{
    rk_call_log_attempt(x, what, true);
    exclude_vm(x);
    rk_call_end_attempt(x, RK_PLACE_REFUSED);
    rk_timer_stop(x->r->loop, &x->silent);
    x->fate = FATE_NONE;
    if (x->client && may_send_again(x))
        rk_call_send(x);
    else
        give_up_sending(x, what);
}

/* ---- sending ---- */

static void add_line(struct rk_buf *b, const char *name, const char *value)
{
    rk_buf_printf(b, "%s: %s\r\n", name, value);
}

/* Does a header that the caller sent go to the vm? Connection may name headers
 * that concern only the connection; not those by which the vm knows the call. */
static bool is_passed_on(const struct rk_relay_call *x, const char *connection,
                         const char *name)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    switch (rk_dialect_owner(d, name)) {
    case RK_HEADER_OURS:
        return false;
    case RK_HEADER_CALLERS:
        /* This node says where to go on, once a vm has sent an event. */
        return !(x->begun && x->events.last_id[0] &&
                 !strcasecmp(name, d->resume_after));
    case RK_HEADER_OTHER:
        break;
    }
    return !rk_call_is_hop_header(name) && !rk_call_is_nominated(connection, name);
}

static void copy_headers(const struct rk_relay_call *x, const struct rk_head *head,
                         struct rk_buf *b)
{
    const char *connection = rk_head_get(head, "Connection");
    for (size_t i = 0; i < head->lines_len; i++) {
        const char *name = rk_head_name(head, i);
        if (is_passed_on(x, connection, name))
            add_line(b, name, rk_head_value(head, i));
    }
}

static int promised_rank(const struct rk_relay_call *x)
{
    return x->org && x->org->rank >= 0 ? x->org->rank : x->route->rank;
}

/* A stream that goes on is waited for already: its size doesn't count. */
static int rank(const struct rk_relay_call *x)
{
    return rk_rank(promised_rank(x), x->begun ? 0 : x->job.load.unread);
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
    const struct rk_place_vm *source =
        x->service->moves
            ? rk_place_source(x->r->place, &x->query, x->vm, rk_mono_ms())
            : NULL;
    if (source)
        add_line(b, d->fetch_from, source->row.addr);
    if (x->moved_from[0])
        add_line(b, d->go_on_from, x->moved_from);
    if (x->begun && x->events.last_id[0])
        add_line(b, d->resume_after, x->events.last_id);
    if (body_len || head->body_length >= 0 || head->chunked)
        rk_buf_printf(b, "Content-Length: %zu\r\n", body_len);
    rk_buf_addstr(b, "\r\n");
}

int rk_call_max_conns(const struct rk_relay_call *x)
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
        .max_idle_ms = rk_call_repeatable(x) ? REST_ANY_MS : REST_ONCE_MS,
        .connect_ms = stream ? CONNECT_STREAM_MS : CONNECT_PLAIN_MS,
        .max_conns = rk_call_max_conns(x),
        .ops = &rk_call_upstream_ops,
        .ctx = x,
    };
    x->up = rk_upstream_start(x->r->upstreams, &spec);
    rk_buf_free(&head);
    return x->up != NULL;
}

static void watch_silence(struct rk_relay_call *x)
{
    if (!rk_call_repeatable(x) || x->attempts >= x->route->max_attempts)
        return;
    bool stream = x->route->kind == RK_CALL_STREAM;
    rk_timer_start(x->r->loop, &x->silent,
                   stream ? SILENT_STREAM_MS + x->route->target_ms
                          : SILENT_PLAIN_MS);
}

/* Would a first attempt get its first byte so late that the answer is worth little?
 * Then others are served better without it, and its caller may come back. In doubt
 * it is tried: engines are known only by what was sent to them. */
static bool comes_too_late(const struct rk_relay_call *x)
{
    double target_ms = (double)x->route->target_ms;
    if (!x->query.engine || x->attempts || x->begun || target_ms <= 0)
        return false;
    double slack = promised_rank(x) <= URGENT_RANK ? LATE_URGENT : LATE_OTHERS;
    return x->forecast.ms - DOUBTS * x->forecast.doubt_ms > target_ms * slack;
}

/* What is asked of a service counts once a call, however often it is sent and
 * whether it can be served or not: what is read again, or comes back, because vms
 * are missing is no demand for more of them. */
static void note_asked(struct rk_relay_call *x, double tokens)
{
    if (x->asked || x->resumes)
        return;
    x->asked = true;
    service_of(x->r, x->query.service)->read_tokens += tokens;
}

static void refuse_late(struct rk_relay_call *x)
{
    note_asked(x, rk_place_unread(x->r->place, &x->query, x->vm, rk_mono_ms()));
    x->vm = NULL;
    rk_count(RK_C_LATE_REFUSED, 1);
    rk_call_give_up(x, HTTP_REFUSED,
                    (int64_t)x->forecast.ms - x->route->target_ms / 2,
                    "its first byte would come too late");
}

static void note_sent(struct rk_relay_call *x)
{
    note_asked(x, x->job.load.unread);
    x->attempts++;
    x->move_tried = false;
    x->silence_noted = false;
    x->vm_head_ms = x->vm_first_ms = 0;
    rk_count(RK_C_ATTEMPTS, 1);
    rk_call_log_sent(x);
    watch_silence(x);
}

/* A vm of the version that the call goes to; where none of a new version can take
 * it, one of the old, and the other way round only where the old may be gone. */
static struct rk_place_vm *choose(struct rk_relay_call *x, int64_t now_ms)
{
    struct rk_place *p = x->r->place;
    struct rk_place_vm *vm = rk_place_choose(p, &x->query, now_ms, &x->forecast);
    if (vm || (!x->query.tries && !rk_place_may_move(p, &x->query)))
        return vm;
    x->query.tries = !x->query.tries;
    return rk_place_choose(p, &x->query, now_ms, &x->forecast);
}

void rk_call_send(struct rk_relay_call *x)
{
    if (rk_call_is_stopped(x)) {
        give_up_stopped(x);
        return;
    }
    for (int i = 0; i < MAX_CHOICES; i++) {
        int64_t now_ms = rk_mono_ms();
        x->vm = choose(x, now_ms);
        if (!x->vm)
            break;
        if (comes_too_late(x)) {
            refuse_late(x);
            return;
        }
        rk_place_sent(x->r->place, x->vm, &x->query, now_ms, &x->job);
        x->job.odd = x->begun || x->resumes;
        x->sent_wall_ms = rk_wall_ms();
        if (start_attempt(x)) {
            note_sent(x);
            return;
        }
        exclude_vm(x);
        rk_call_end_attempt(x, RK_PLACE_CALLED_OFF);
    }
    note_asked(x, x->query.tokens_in);
    give_up_sending(x, "no vm can take it");
}

/* A run that stopped elsewhere goes on at a vm that has got its memory; if it
 * can't, as after any other break. */
void rk_call_send_moved(struct rk_relay_call *x, const char *vm_id,
                        const char *from_addr, const char *handle)
{
    int64_t now_ms = rk_mono_ms();
    struct rk_place_vm *from = x->vm;
    rk_timer_stop(x->r->loop, &x->silent);
    x->fate = FATE_NONE;
    struct rk_place_vm *to = rk_place_find(x->r->place, vm_id);
    if (to != from)
        exclude_vm(x);
    rk_call_end_attempt(x, RK_PLACE_CALLED_OFF);
    if (!to || (to != from && to->row.leaving) || !rk_place_may_send(to, now_ms)) {
        rk_call_attempt_failed(x, true, RK_PLACE_CALLED_OFF, "the copy is gone");
        return;
    }
    x->vm = to;
    rk_place_sent(x->r->place, x->vm, &x->query, now_ms, &x->job);
    x->job.odd = true;
    snprintf(x->moved_from, sizeof(x->moved_from), "%s/%s", from_addr, handle);
    bool sent = start_attempt(x);
    x->moved_from[0] = '\0'; /* it serves once */
    if (!sent) {
        rk_call_attempt_failed(x, true, RK_PLACE_CALLED_OFF, "no connection");
        return;
    }
    note_sent(x);
    x->attempts--;              /* the same run goes on: the one before has ended */
    x->move_tried = to == from; /* it went back for want of room elsewhere */
}

/* ---- timers ---- */

void rk_call_time_over(void *ctx)
{
    struct rk_relay_call *x = ctx;
    if (x->up && rk_upstream_sent(x->up) && x->fate != FATE_NOT_RUN)
        x->may_have_run = true;
    rk_call_cancel_attempt(x, x->begun ? RK_PLACE_CALLED_OFF : RK_PLACE_LOST);
    rk_count(RK_C_EXPIRED, 1);
    rk_call_give_up(x, HTTP_TOO_LATE, 0, "its time is over");
}

/* Is there a vm beside the one that has the call? */
static bool has_other_vm(const struct rk_relay_call *x)
{
    struct rk_place_query other = x->query;
    struct rk_engine_forecast first;
    if (x->vm && other.excluded_len < RK_PLACE_EXCLUDED)
        other.excluded[other.excluded_len++] = x->vm->hash;
    const struct rk_place_vm *vm =
        rk_place_choose(x->r->place, &other, rk_mono_ms(), &first);
    return vm && vm != x->vm;
}

static void wait_on(struct rk_relay_call *x)
{
    if (x->vm && !x->silence_noted)
        rk_place_silent(x->vm, &x->job, rk_mono_ms());
    x->silence_noted = true;
    watch_silence(x);
}

/* It is called off only where it goes on elsewhere: a vm that is slow may answer
 * yet. Under load, when retries run out, 73 of 300 calls at once were failed while
 * they ran. */
void rk_call_silent(void *ctx)
{
    struct rk_relay_call *x = ctx;
    if (!rk_call_repeatable(x) || x->attempts >= x->route->max_attempts)
        return;
    if (!rk_budget_has(budget(x)) || !has_other_vm(x)) {
        wait_on(x);
        return;
    }
    bool sent = !x->up || rk_upstream_sent(x->up);
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    rk_call_attempt_failed(x, sent, RK_PLACE_LOST, "the vm is silent");
}

void rk_relay_call_gone(struct rk_relay_call *x)
{
    bool runs_on = x->route->kind == RK_CALL_ONCE && x->up;
    if (runs_on)
        rk_call_request(x); /* while its caller's bytes are there */
    x->client = NULL;
    if (runs_on)
        return; /* it runs on: nobody may learn too late that it was cut off */
    rk_call_cancel_attempt(x, RK_PLACE_CALLED_OFF);
    rk_call_log_end(x, 0, "the caller is gone");
    rk_call_observe(x, "gone");
    free_call(x);
}

void rk_relay_call_abort(struct rk_relay_call *x)
{
    struct rk_client *client = x->client;
    rk_call_cancel_attempt(x, RK_PLACE_CALLED_OFF);
    rk_call_log_end(x, 0, "this node ends");
    free_call(x);
    if (client)
        rk_client_cut(client);
}
