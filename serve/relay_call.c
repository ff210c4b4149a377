#include "serve/relay_call_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "common/memory.h"

/* Bytes of the headers and of the body of an error answer. */
#define LINE_MAX_LEN              192
#define PROBLEM_MAX               256
#define CONNECT_TIMEOUT_PLAIN_MS  150
#define CONNECT_TIMEOUT_STREAM_MS 400
/* Longest idle time of a connection that is reused. Calls that must not run twice
 * get fresher ones, because the VM may close an idle connection just when the call
 * is sent. */
#define MAX_IDLE_ONCE_MS       1500
#define MAX_IDLE_REPEATABLE_MS 12000
/* Time without an answer after which another VM is tried, if the call is
 * repeatable. */
#define PLAIN_SILENCE_MS 150
/* How many VMs are tried for one attempt if their connection limits are reached or
 * connecting fails at once. */
#define MAX_CONNECT_TRIES 4
/* Attempts of one call that may fail before a byte is sent: after these, a peer is
 * asked first, and none is made any more. */
#define MAX_UNSENT_BEFORE_PEERS 2
#define MAX_UNSENT              4
#define MAX_CONNS_DEFAULT       64 /* per VM */
#define URGENT_RANK             0  /* the most urgent rank */
/* Multiple of the route's target that the predicted time to first byte may
 * reach. */
#define LATENESS_URGENT 1.5
#define LATENESS_OTHERS 1.0
/* Standard errors subtracted from a prediction; the true time is lower still in 1
 * of 40 cases. */
#define CONFIDENCE_STDERRS 2.0

/* ---- life cycle ---- */

bool rk_call_repeatable(const struct rk_relay_call *x)
{
    return x->route->kind == RK_CALL_REPEATABLE ||
           (x->route->kind == RK_CALL_STREAM && x->route->resumable);
}

static void free_call(struct rk_relay_call *x)
{
    rk_timer_stop(x->r->loop, &x->deadline_timer);
    rk_timer_stop(x->r->loop, &x->silence_timer);
    *x->prev = x->next;
    if (x->next)
        x->next->prev = x->prev;
    x->r->calls_len--;
    rk_call_move_free(x);
    rk_call_ask_free(x);
    rk_call_end_check_free(x);
    rk_event_splitter_free(&x->events);
    rk_prompt_segments_free(&x->segments);
    rk_memory_charge(&x->segments_charged, 0);
    rk_routes_unref(x->routes);
    free(x);
}

void rk_call_end_attempt(struct rk_relay_call *x, enum rk_place_outcome end)
{
    x->peer[0] = '\0';
    if (!x->vm)
        return;
    rk_call_end_check_free(x);
    rk_place_note_end(x->r->place, x->vm, &x->job, end, rk_mono_ms());
    x->vm = NULL;
}

void rk_call_cancel_attempt(struct rk_relay_call *x, enum rk_place_outcome end)
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

void rk_call_give_up(struct rk_relay_call *x, int status, int64_t retry_after_ms,
                     const char *why)
{
    struct rk_client *client = x->client;
    bool begun = x->begun;
    rk_call_log_end(x, status, why);
    rk_call_record_latency(x, !x->client        ? "gone"
                              : x->may_have_run ? "failed"
                                                : "refused");
    rk_counter_add(
        x->may_have_run ? RK_C_REFUSED_MAY_HAVE_RUN : RK_C_REFUSED_NOT_RUN, 1);
    if (x->org && !x->ran && !x->may_have_run)
        rk_quota_refund(&x->r->quota, x->org->name, x->units, rk_mono_ms());
    free_call(x);
    if (!client)
        return;
    if (begun)
        rk_client_abort(client);
    else
        rk_call_answer_problem(client, status, retry_after_ms, why);
}

/* Returns the time until a VM of the service can take the call again, if all of
 * them refuse calls for now (rate limit or cooldown); otherwise the default. */
static int64_t retry_after_ms(const struct rk_relay_call *x)
{
    int64_t wait_ms = rk_place_retry_after_ms(x->r->place, &x->query, rk_mono_ms());
    return wait_ms > 0 ? wait_ms : RETRY_AFTER_MS;
}

/* Ends the call after its last attempt. The status depends on whether it may have
 * run. */
static void give_up_sending(struct rk_relay_call *x, const char *why)
{
    if (x->may_have_run)
        rk_call_give_up(x, HTTP_BAD_GATEWAY, 0, why);
    else
        rk_call_give_up(x, HTTP_UNAVAILABLE, retry_after_ms(x), why);
}

/* Returns true if this node may use some of what VMs take, though not now. */
static bool has_share(const struct rk_relay_call *x)
{
    const struct rk_place *p = x->r->place;
    return x->lacks_conns ||
           rk_place_brittle_share(p, &x->query) == RK_PLACE_HAS_SHARE ||
           rk_place_limit_share(p, &x->query) == RK_PLACE_HAS_SHARE;
}

/* Ends a call that no VM can take, as far as this node knows. */
static void give_up_unplaced(struct rk_relay_call *x)
{
    struct rk_client *client = x->client;
    if (!x->is_forwarded || x->may_have_run || x->begun || !client) {
        give_up_sending(x, "no vm can take it");
        return;
    }
    RK_EVENT("forward.refused", RK_S("request", x->id),
             RK_S("service", x->query.service));
    enum rk_forward_refusal why =
        has_share(x) ? RK_FORWARD_NO_ROOM : RK_FORWARD_NO_VM;
    int64_t wait_ms = rk_place_retry_after_ms(x->r->place, &x->query, rk_mono_ms());
    free_call(x);
    rk_call_refuse_forwarded(client, why, wait_ms);
}

/* Ends a call whose request is quarantined; it is sent to no further VM. */
static void give_up_quarantined(struct rk_relay_call *x)
{
    rk_counter_add(RK_C_QUARANTINED, 1);
    rk_call_give_up(x, x->may_have_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE,
                    x->may_have_run ? 0 : QUARANTINE_RETRY_AFTER_MS,
                    "vms ended under this request");
}

void rk_call_finish(struct rk_relay_call *x)
{
    struct rk_client *client = x->client;
    bool served = x->status < HTTP_BAD_REQUEST;
    if (served)
        rk_counter_add(RK_C_ANSWERS_OK, 1);
    rk_call_log_end(x, x->status, "");
    rk_call_record_latency(x, served ? "served" : "failed");
    if (served)
        rk_relay_note_duration(x->r, x->query.service, x->route->kind,
                               rk_mono_ms() - x->started_ms);
    free_call(x);
    if (client)
        rk_client_end(client);
}

/* ---- retries ---- */

static struct rk_retry_budget *retry_budget(struct rk_relay_call *x)
{
    return &rk_relay_get_service(x->r, x->query.service)->budget;
}

/* Credits the service's retry budget for a call, where it is sent to a VM first. */
static void earn_retries(struct rk_relay_call *x)
{
    const struct rk_relay_bounds *bounds = &x->r->opt.bounds;
    struct rk_retry_budget *b = retry_budget(x);
    if (x->retries_earned)
        return;
    x->retries_earned = true;
    rk_retry_budget_set_share(b, bounds->retry_burst, x->r->quota.nodes_total,
                              bounds->first_start);
    rk_retry_budget_earn(b, bounds->retry_pct);
}

bool rk_call_has_retry(struct rk_relay_call *x)
{
    return rk_retry_budget_has(retry_budget(x));
}

bool rk_call_take_retry(struct rk_relay_call *x)
{
    if (!rk_retry_budget_spend(retry_budget(x))) {
        rk_counter_add(RK_C_RETRY_DENIED, 1);
        return false;
    }
    rk_counter_add(RK_C_RETRIES, 1);
    return true;
}

void rk_call_return_retry(struct rk_relay_call *x)
{
    rk_retry_budget_refund(retry_budget(x));
}

bool rk_call_take_attempt(struct rk_relay_call *x)
{
    return x->attempts < x->route->max_attempts && rk_call_take_retry(x);
}

/* Keeps the call's next attempts away from its current VM. */
static void exclude_vm(struct rk_relay_call *x)
{
    /* A call is sent to a canary version at most once. */
    if (x->vm && rk_place_is_canary(x->vm))
        x->query.wants_new_version = false;
    if (x->vm && x->query.excluded_len < RK_PLACE_MAX_EXCLUDED)
        x->query.excluded[x->query.excluded_len++] = x->vm->hash;
}

/* Returns whether another attempt is allowed after what the caller has received: no
 * part of an answer, or a part that another VM can continue. */
static bool may_continue(const struct rk_relay_call *x)
{
    return !x->begun ||
           (x->route->resumable && rk_event_splitter_may_resume(&x->events));
}

void rk_call_attempt_failed(struct rk_relay_call *x, bool sent,
                            enum rk_place_outcome end, const char *what)
{
    rk_call_log_attempt_failed(x, what, sent);
    rk_call_move_free(x);
    exclude_vm(x);
    rk_call_end_attempt(x, end);
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->answer_class = ANSWER_PENDING;
    if (!sent) {
        x->attempts--; /* it never reached a VM */
        x->unsent++;
    } else {
        x->may_have_run = true;
    }
    if (!x->client) {
        rk_call_give_up(x, 0, 0, what);
        return;
    }
    bool again = may_continue(x) &&
                 (!sent || (rk_call_repeatable(x) && rk_call_take_attempt(x)));
    if (!again) {
        give_up_sending(x, what);
        return;
    }
    if (x->begun) {
        rk_counter_add(RK_C_RESUMES, 1);
        rk_event_splitter_restart(&x->events);
    }
    rk_call_send(x);
}

void rk_call_attempt_not_run(struct rk_relay_call *x, const char *what)
{
    rk_call_log_attempt_failed(x, what, true);
    exclude_vm(x);
    rk_call_end_attempt(x, RK_PLACE_REFUSED);
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->answer_class = ANSWER_PENDING;
    if (x->client && may_continue(x) && rk_call_take_attempt(x))
        rk_call_send(x);
    else
        give_up_sending(x, what);
}

/* ---- sending ---- */

int rk_relay_max_conns(const struct rk_relay *r,
                       const struct rk_service_info *service)
{
    int nodes = r->quota.nodes_total > 0 ? r->quota.nodes_total : 1;
    int64_t share = service->max_conns / nodes;
    return share > 0 ? (int)share : MAX_CONNS_DEFAULT;
}

int rk_call_max_conns(const struct rk_relay_call *x)
{
    return rk_relay_max_conns(x->r, x->service);
}

bool rk_call_start_upstream(struct rk_relay_call *x, struct rk_upstream_spec *spec,
                            struct rk_buf *head)
{
    spec->head = head->data;
    spec->head_len = head->len;
    spec->body = rk_client_body(x->client, &spec->body_len);
    spec->no_body = rk_client_head(x->client)->method == HTTP_HEAD;
    spec->max_idle_ms =
        rk_call_repeatable(x) ? MAX_IDLE_REPEATABLE_MS : MAX_IDLE_ONCE_MS;
    spec->ctx = x;
    x->is_held = false;
    x->up = rk_upstream_start(x->r->upstreams, spec);
    rk_buf_free(head);
    return x->up != NULL;
}

/* Sends the call to x->vm. Returns false if no byte can have been sent. */
static bool start_attempt(struct rk_relay_call *x)
{
    bool stream = x->route->kind == RK_CALL_STREAM;
    struct rk_buf head = {0};
    struct rk_upstream_spec spec = {
        .vm_id = x->vm->row.id,
        .addr = x->vm->row.addr,
        .connect_ms = stream ? CONNECT_TIMEOUT_STREAM_MS : CONNECT_TIMEOUT_PLAIN_MS,
        .max_conns = rk_call_max_conns(x),
        .ops = &rk_call_upstream_ops,
    };
    rk_call_build_head(x, &head);
    return rk_call_start_upstream(x, &spec, &head);
}

void rk_call_start_silence_timer(struct rk_relay_call *x, int64_t plain_ms,
                                 int64_t stream_ms)
{
    if (!rk_call_repeatable(x) || x->attempts >= x->route->max_attempts)
        return;
    bool stream = x->route->kind == RK_CALL_STREAM;
    rk_timer_start(x->r->loop, &x->silence_timer,
                   stream ? stream_ms + x->route->target_first_byte_ms : plain_ms);
}

static void start_silence_timer(struct rk_relay_call *x)
{
    rk_call_start_silence_timer(x, PLAIN_SILENCE_MS, STREAM_SILENCE_MS);
}

/* Returns true if the predicted first byte is so late that the answer is worth
 * little. Refusing the call then leaves capacity for others, and its caller may
 * come back. If the prediction is uncertain the call is sent, because engine speed
 * is only learned from calls that are sent. */
static bool misses_target(const struct rk_relay_call *x)
{
    double target_ms = (double)x->route->target_first_byte_ms;
    if (!x->query.engine || x->attempts || x->begun || target_ms <= 0)
        return false;
    double slack =
        rk_call_base_rank(x) <= URGENT_RANK ? LATENESS_URGENT : LATENESS_OTHERS;
    return x->forecast.ms - CONFIDENCE_STDERRS * x->forecast.std_error_ms >
           target_ms * slack;
}

/* Adds the call to the demand for its service. Each call counts once, however often
 * it is sent and whether or not it can be served. Otherwise retries and resumes
 * after a loss of VMs would look like demand for more VMs. */
static void count_demand(struct rk_relay_call *x, double tokens)
{
    if (x->demand_counted || x->is_resume)
        return;
    x->demand_counted = true;
    rk_relay_get_service(x->r, x->query.service)->uncached_prompt_tokens += tokens;
}

/* Refuses a call whose answer would come too late. If this node reaches only some
 * VMs of the service, the others may have room: a peer is asked first. */
static void refuse_late(struct rk_relay_call *x)
{
    if (rk_place_has_unreachable(x->r->place, x->query.service)) {
        struct rk_place_vm *vm = x->vm;
        x->vm = NULL;
        if (rk_call_forward(x))
            return;
        x->vm = vm;
    }
    count_demand(
        x, rk_place_unread_tokens(x->r->place, &x->query, x->vm, rk_mono_ms()));
    x->vm = NULL;
    rk_counter_add(RK_C_LATE_REFUSED, 1);
    rk_call_give_up(x, HTTP_UNAVAILABLE,
                    (int64_t)x->forecast.ms - x->route->target_first_byte_ms / 2,
                    "its first byte would come too late");
}

static void record_sent(struct rk_relay_call *x)
{
    count_demand(x, x->job.load.uncached_tokens);
    earn_retries(x);
    x->attempts++;
    x->move_tried = false;
    x->may_be_stopped = false;
    x->silence_reported = false;
    x->vm_head_ms = x->vm_first_ms = 0;
    x->segments_cleared = false;
    rk_strcpy(x->last_vm, sizeof(x->last_vm), x->vm->row.id);
    rk_strcpy(x->last_vm_domain, sizeof(x->last_vm_domain), x->vm->row.domain);
    rk_counter_add(RK_C_ATTEMPTS, 1);
    rk_call_log_sent(x);
    if (x->job.resumes_stream)
        rk_call_log_resumed(x);
    start_silence_timer(x);
}

/* Chooses a VM of the version that the call is assigned to. If no VM of a canary
 * version can take it, a VM of the old version is chosen. The reverse applies only
 * where the old VMs may be gone. */
static struct rk_place_vm *choose_vm(struct rk_relay_call *x, int64_t now_ms)
{
    struct rk_place *p = x->r->place;
    struct rk_place_vm *vm = rk_place_choose(p, &x->query, now_ms, &x->forecast);
    if (vm || (!x->query.wants_new_version &&
               !rk_place_may_use_new_version(p, &x->query)))
        return vm;
    x->query.wants_new_version = !x->query.wants_new_version;
    return rk_place_choose(p, &x->query, now_ms, &x->forecast);
}

/* Sends the call to a VM, or ends it because its answer would come too late.
 * Returns false if no VM can take it. */
static bool send_to_vm(struct rk_relay_call *x)
{
    for (int i = 0; i < MAX_CONNECT_TRIES; i++) {
        int64_t now_ms = rk_mono_ms();
        x->vm = choose_vm(x, now_ms);
        if (!x->vm)
            break;
        if (misses_target(x)) {
            refuse_late(x);
            return true;
        }
        rk_place_note_sent(x->r->place, x->vm, &x->query, now_ms, &x->job);
        x->job.resumes_stream = x->begun || x->is_resume;
        x->sent_wall_ms = rk_wall_ms();
        x->sent_ms = now_ms;
        if (start_attempt(x)) {
            record_sent(x);
            return true;
        }
        x->lacks_conns = true;
        exclude_vm(x);
        rk_call_end_attempt(x, RK_PLACE_CANCELLED);
    }
    return false;
}

bool rk_call_may_use_vms(const struct rk_relay_call *x)
{
    const struct rk_place *p = x->r->place;
    return rk_place_reaches_service(p, x->query.service) &&
           rk_place_brittle_share(p, &x->query) != RK_PLACE_LACKS_SHARE;
}

/* Returns true if peers may take a call that this node can't send. What VMs take is
 * shared by all nodes, whichever of them the callers use. */
static bool may_peers_have_room(const struct rk_relay_call *x)
{
    const struct rk_place *p = x->r->place;
    return has_share(x) ||
           rk_place_limit_share(p, &x->query) == RK_PLACE_LACKS_SHARE ||
           rk_place_has_unreachable(p, x->query.service);
}

void rk_call_send(struct rk_relay_call *x)
{
    if (rk_call_is_quarantined(x)) {
        give_up_quarantined(x);
        return;
    }
    bool usable = rk_call_may_use_vms(x);
    bool peers_first = !usable || x->unsent >= MAX_UNSENT_BEFORE_PEERS;
    if (peers_first && rk_call_forward(x))
        return;
    if (usable && x->unsent < MAX_UNSENT && send_to_vm(x))
        return;
    if (!peers_first && may_peers_have_room(x) && rk_call_forward(x))
        return;
    count_demand(x, x->query.prompt_tokens);
    give_up_unplaced(x);
}

void rk_call_resume_moved(struct rk_relay_call *x, const char *vm_id,
                          const char *from_addr, const char *handle)
{
    int64_t now_ms = rk_mono_ms();
    struct rk_place_vm *from = x->vm;
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->answer_class = ANSWER_PENDING;
    struct rk_place_vm *to = rk_place_find(x->r->place, vm_id);
    if (to != from)
        exclude_vm(x);
    rk_call_end_attempt(x, RK_PLACE_CANCELLED);
    if (!to || (to != from && to->row.leaving) ||
        strcmp(to->row.version, x->query.version) != 0 ||
        !rk_place_may_send(to, now_ms)) {
        rk_call_attempt_failed(x, true, RK_PLACE_CANCELLED, "the copy is gone");
        return;
    }
    x->vm = to;
    rk_place_note_sent(x->r->place, x->vm, &x->query, now_ms, &x->job);
    x->job.resumes_stream = true;
    snprintf(x->kv_source, sizeof(x->kv_source), "%s/%s", from_addr, handle);
    bool sent = start_attempt(x);
    x->kv_source[0] = '\0'; /* used for this attempt only */
    if (!sent) {
        rk_call_attempt_failed(x, true, RK_PLACE_CANCELLED, "no connection");
        return;
    }
    record_sent(x);
    x->attempts--; /* the same run continues; this is not another attempt */
    /* If no other VM had room, the run returned to its own VM. */
    x->move_tried = to == from;
}

/* Returns true if a VM other than the current one can take the call. */
static bool has_other_vm(const struct rk_relay_call *x)
{
    struct rk_place_query other = x->query;
    struct rk_engine_forecast forecast;
    if (x->vm && other.excluded_len < RK_PLACE_MAX_EXCLUDED)
        other.excluded[other.excluded_len++] = x->vm->hash;
    const struct rk_place_vm *vm =
        rk_place_choose(x->r->place, &other, rk_mono_ms(), &forecast);
    return vm && vm != x->vm;
}

bool rk_call_resume_elsewhere(struct rk_relay_call *x, const char *full_id)
{
    struct rk_place_query *q = &x->query;
    const struct rk_place_vm *full = rk_place_find(x->r->place, full_id);
    size_t excluded_before = q->excluded_len;
    if (!rk_call_repeatable(x) || x->attempts >= x->route->max_attempts ||
        !may_continue(x))
        return false;
    if (full && q->excluded_len < RK_PLACE_MAX_EXCLUDED)
        q->excluded[q->excluded_len++] = full->hash;
    if (!has_other_vm(x)) {
        q->excluded_len = excluded_before;
        return false;
    }
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->answer_class = ANSWER_PENDING;
    x->may_have_run = true;
    exclude_vm(x);
    rk_call_end_attempt(x, RK_PLACE_CANCELLED);
    rk_counter_add(RK_C_RESUMES, 1);
    rk_call_send(x);
    return true;
}

/* ---- timers ---- */

/* Notes that a VM may have got the request of the attempt in progress. */
static void note_may_have_run(struct rk_relay_call *x)
{
    if (x->up && rk_upstream_may_have_sent(x->up) &&
        x->answer_class != ANSWER_NOT_RUN)
        x->may_have_run = true;
}

void rk_call_on_deadline(void *ctx)
{
    struct rk_relay_call *x = ctx;
    note_may_have_run(x);
    rk_call_cancel_attempt(x, x->begun ? RK_PLACE_CANCELLED : RK_PLACE_LOST);
    rk_counter_add(RK_C_EXPIRED, 1);
    rk_call_give_up(x, HTTP_GATEWAY_TIMEOUT, 0, "its time is over");
}

/* Reports the unresponsive VM to placement, once per attempt, and waits on. */
static void keep_waiting(struct rk_relay_call *x)
{
    if (x->vm && !x->silence_reported)
        rk_place_note_unresponsive(x->vm, &x->job, rk_mono_ms());
    x->silence_reported = true;
    start_silence_timer(x);
}

/* Cancels the attempt only if a retry is left and another VM can take the call,
 * because a slow VM may still answer. Without this, 73 of 300 concurrent calls
 * failed while they were running, after the retries were used up under load. */
void rk_call_on_silence(void *ctx)
{
    struct rk_relay_call *x = ctx;
    if (!rk_call_repeatable(x) || x->attempts >= x->route->max_attempts)
        return;
    if (x->peer[0]) {
        rk_call_forward_silent(x);
        return;
    }
    if (x->vm)
        rk_relay_suspect_vm(x->r, x->vm);
    if (!rk_call_has_retry(x) || !has_other_vm(x)) {
        keep_waiting(x);
        return;
    }
    bool sent = !x->up || rk_upstream_may_have_sent(x->up);
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    rk_call_attempt_failed(x, sent, RK_PLACE_LOST, "the vm is silent");
}

void rk_relay_call_caller_gone(struct rk_relay_call *x)
{
    bool runs_on = x->route->kind == RK_CALL_ONCE && x->up;
    /* The fingerprint needs the request, which is freed with the client. */
    if (runs_on)
        rk_call_fingerprint(x);
    x->client = NULL;
    /* Cutting off a non-repeatable call would leave its outcome unknown. */
    if (runs_on) {
        rk_relay_call_resume_reading(x);
        return;
    }
    rk_call_cancel_attempt(x, RK_PLACE_CANCELLED);
    rk_call_log_end(x, 0, "the caller is gone");
    rk_call_record_latency(x, "gone");
    free_call(x);
}

static void end_for_stop(struct rk_relay_call *x)
{
    struct rk_client *client = x->client;
    if (!client)
        return;
    note_may_have_run(x);
    rk_call_cancel_attempt(x, RK_PLACE_CANCELLED);
    if (!x->is_forwarded || x->may_have_run || x->begun) {
        rk_call_give_up(x, x->may_have_run ? HTTP_BAD_GATEWAY : HTTP_UNAVAILABLE,
                        x->may_have_run ? 0 : RETRY_AFTER_MS, "this node stops");
        return;
    }
    free_call(x);
    rk_call_refuse_forwarded(client, RK_FORWARD_STOPS, 0);
}

void rk_relay_calls_end_for_stop(struct rk_relay *r)
{
    for (struct rk_relay_call *x = r->calls, *next; x; x = next) {
        next = x->next;
        end_for_stop(x);
    }
}

void rk_relay_call_abort(struct rk_relay_call *x)
{
    struct rk_client *client = x->client;
    rk_call_cancel_attempt(x, RK_PLACE_CANCELLED);
    rk_call_log_end(x, 0, "this node ends");
    free_call(x);
    if (client)
        rk_client_abort(client);
}
