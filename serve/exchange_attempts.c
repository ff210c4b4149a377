/* Attempts of an exchange at upstreams. An attempt starts when the router has
 * chosen a VM and ends with a verdict, which decides whether the call is retried,
 * resumed or ended. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "engines/attempt.h"
#include "engines/management.h"
#include "serve/exchange_impl.h"
#include "services/attempt.h"

#define MAX_ATTEMPTS 8 /* per call */
/* A call whose attempts ended with the unannounced loss of this many VMs may itself
 * crash them. It is not retried further, since each crash also breaks the VM's
 * other calls. */
#define UNANNOUNCED_LOSSES_MAX 3
/* An answer with this HTTP status or above does not count as the loss of a VM. */
#define FIRST_ERROR_STATUS     300
#define ANSWER_TEXT_MAX        (1024 * 1024) /* bytes */
#define FREE_SLOTS_INTERVAL_MS 100
#define RECHECK_INTERVAL_MS    25

static void finish_ok(struct rk_exchange *x, int status)
{
    struct rk_outcome o = {.status = status, .verdict = RK_RAN, .whole = true};
    rk_exchange_finish(x, &o);
}

static void finish_completion(struct rk_exchange *x)
{
    if (!x->req.stream) {
        struct rk_buf b = {0};
        rk_completion_answer(&b, x->req.id, x->policy.model, x->req.chat,
                             x->answer_text.data ? x->answer_text.data : "",
                             x->prompt.tokens, x->stream.next);
        rk_exchange_deliver_body(x, 200, "application/json", b.data, b.len);
        rk_buf_free(&b);
    }
    finish_ok(x, 200);
}

static void log_attempt(const struct rk_exchange *x, const char *event,
                        const char *vm_id, const char *verdict, const char *detail)
{
    RK_EVENT(event, RK_S("request", x->req.id), RK_N("attempt", x->attempts),
             RK_S("at", vm_id), RK_S("verdict", verdict),
             RK_N("next_token", x->stream.next), RK_S("detail", detail));
}

/* Returns true if another attempt may follow a failed one. Takes a retry from the
 * budget where one is needed. */
static bool may_retry(struct rk_exchange *x, enum rk_verdict v, bool overload)
{
    if (x->attempts >= MAX_ATTEMPTS ||
        x->unannounced_losses >= UNANNOUNCED_LOSSES_MAX ||
        !rk_verdict_allows_retry(v, x->policy.repeatable))
        return false;
    /* A retry after the loss of a VM is free, because the work has to run
     * somewhere. It costs budget if the failure may be due to an overload, to which
     * it would add. */
    if (!overload || rk_retry_budget_spend(&x->t->budget))
        return true;
    rk_counter_add(RK_C_RETRY_DENIED, 1);
    return false;
}

void rk_exchange_attempt_failed(struct rk_exchange *x,
                                const struct rk_attempt_end *end,
                                const char *detail)
{
    const struct rk_refusal_contract contract = {.refusal_not_run =
                                                     x->policy.refusal_not_run};
    enum rk_verdict v = rk_verdict_of(end, &contract);
    const char *vm_id = rk_router_vm_id(x->t->router, x->job.vm);
    log_attempt(x, "attempt.failed", vm_id, rk_verdict_str(v), detail);
    if (end->cooldown_ms > 0)
        rk_router_set_cooldown(x->t->router, &x->job, end->cooldown_ms,
                               rk_mono_ms());
    snprintf(x->detail, sizeof(x->detail), "%s", detail);
    x->verdict = rk_verdict_worst(x->verdict, v);
    bool leaving = rk_router_vm_leaving(x->t->router, x->job.vm);
    /* Refusals, and failures before the first token at a VM that is not leaving,
     * because they may be time-outs. A stream that breaks off after its answer's
     * head was received counts, too. */
    bool overload =
        end->http_status || (end->may_have_reached && !leaving && !x->stream.next);
    bool refused = end->http_status >= FIRST_ERROR_STATUS;
    x->unannounced_losses +=
        end->may_have_reached && !end->answered && !refused && !leaving;
    if (!x->sink && v != RK_NOT_RUN) {
        rk_exchange_give_up(x, 504, 0, x->detail);
        return;
    }
    if (!may_retry(x, v, overload)) {
        int64_t after =
            v == RK_NOT_RUN || x->policy.repeatable ? RK_OVERLOAD_RETRY_MS : 0;
        rk_exchange_give_up(
            x, end->http_status == 429 || end->http_status == 503 ? 503 : 502,
            after, x->detail);
        return;
    }
    rk_counter_add(RK_C_RETRIES, 1);
    rk_router_requeue(x->t->router, &x->job, rk_mono_ms());
    x->state = X_QUEUED;
    if (!rk_router_can_serve(x->t->router, &x->job))
        rk_exchange_reroute(x, end->may_have_reached);
}

static bool on_chunk(void *ctx, const struct rk_chunk *chunk, const char *raw)
{
    struct rk_exchange *x = ctx;
    rk_router_note_first_byte(x->t->router, &x->job, rk_mono_ms());
    int64_t index = chunk->index >= 0 ? chunk->index : x->stream.next;
    enum rk_token_action fate = rk_token_stream_accept(&x->stream, index);
    if (fate == RK_TOKEN_REPEAT)
        return true;
    if (fate == RK_TOKEN_GAP)
        return false;
    rk_counter_add(RK_C_TOKENS, 1);
    if (!x->req.stream) {
        x->answer_text.max = ANSWER_TEXT_MAX;
        return rk_buf_addstr(&x->answer_text, chunk->text);
    }
    struct rk_answer_piece part = {.status = 200,
                                   .content_type = "text/event-stream",
                                   .index = index,
                                   .data = raw,
                                   .len = strlen(raw)};
    rk_exchange_deliver_part(x, &part);
    return true;
}

static void on_engine_end(void *ctx, const struct rk_attempt_end *end, bool whole,
                          const char *detail)
{
    struct rk_exchange *x = ctx;
    struct rk_traffic *t = x->t;
    x->engine = NULL;
    bool rejected = end->answered && end->http_status >= 400 &&
                    end->http_status < 500 && end->http_status != 429;
    if (whole) {
        log_attempt(x, "attempt.whole", rk_router_vm_id(t->router, x->job.vm),
                    "ran", "");
        finish_completion(x);
    } else if (rejected) {
        x->verdict = RK_RAN;
        rk_exchange_give_up(x, end->http_status, 0,
                            "the engine rejected the request");
    } else {
        rk_exchange_attempt_failed(x, end, detail);
    }
    rk_exchange_dispatch(t);
}

static void on_service_end(void *ctx, const struct rk_service_answer *a)
{
    struct rk_exchange *x = ctx;
    struct rk_traffic *t = x->t;
    x->service = NULL;
    rk_router_note_first_byte(t->router, &x->job, rk_mono_ms());
    int status = a->end.http_status;
    bool refusal = status == 429 || (status >= 502 && status <= 504);
    if (a->end.answered && !refusal) {
        const struct rk_refusal_contract contract = {0};
        enum rk_verdict v = rk_verdict_of(&a->end, &contract);
        log_attempt(x, "attempt.whole", rk_router_vm_id(t->router, x->job.vm),
                    rk_verdict_str(v), "");
        rk_exchange_deliver_body(x, status, a->content_type, a->body, a->len);
        struct rk_outcome o = {.status = status, .verdict = v, .whole = true};
        rk_exchange_finish(x, &o);
    } else {
        rk_exchange_attempt_failed(x, &a->end, a->detail);
    }
    rk_exchange_dispatch(t);
}

static const struct rk_engine_handlers engine_handlers = {
    .on_chunk = on_chunk,
    .on_end = on_engine_end,
};

static void start_engine(struct rk_exchange *x)
{
    if (x->stream.next)
        rk_counter_add(RK_C_RESUMES, 1);
    if (x->stream.next && x->kv_imported) {
        rk_counter_add(RK_C_KV_MOVES, 1);
    } else if (x->stream.next) {
        rk_counter_add(RK_C_RECOMPUTED,
                       x->job.uncached_tokens + (uint64_t)x->stream.next);
    }
    const struct rk_engine_spec spec = {
        .addr = rk_router_vm_addr(x->t->router, x->job.vm),
        .path = x->req.path,
        .request_id = x->req.id,
        .attempt = x->attempts,
        .priority = x->job.waiter.rank,
        .body = x->completion.upstream_body,
        .resume_from = x->stream.next,
        .connect_ms = x->policy.connect_ms,
        .inactivity_timeout_ms = x->policy.attempt_ms,
        .once = !x->policy.repeatable,
    };
    x->engine =
        rk_engine_attempt_start(x->t->loop, x->t->http, &spec, &engine_handlers, x);
}

/* A KV cache import in progress. The exchange may end meanwhile, so it is looked up
 * by id. */
struct kv_import {
    struct rk_traffic *t;
    uint64_t id;
};

static void on_kv_imported(void *ctx, enum rk_status st)
{
    struct kv_import *i = ctx;
    struct rk_exchange *x = rk_exchange_find(i->t, i->id);
    if (x && x->state == X_IMPORTING) {
        x->kv_imported = st == RK_OK;
        RK_EVENT("kv.moved", RK_S("request", x->req.id),
                 RK_N("whole", x->kv_imported));
        x->state = X_SENT;
        start_engine(x);
    }
    free(i);
}

/* Makes the new VM fetch the stream's KV cache from the VM that is about to be
 * reclaimed, then resumes the stream, whether or not the import succeeded. */
static void start_kv_import(struct rk_exchange *x)
{
    struct kv_import *i = rk_alloc(1, sizeof(*i));
    *i = (struct kv_import){.t = x->t, .id = x->id};
    x->state = X_IMPORTING;
    rk_engine_kv_import(x->t->http, rk_router_vm_addr(x->t->router, x->job.vm),
                        x->kv_source_addr, x->req.id, x->completion.upstream_body,
                        x->kv_source_until_ms - rk_mono_ms(), on_kv_imported, i);
    x->kv_source_addr[0] = '\0';
}

static void start_service(struct rk_exchange *x)
{
    const struct rk_service_spec spec = {
        .addr = rk_router_vm_addr(x->t->router, x->job.vm),
        .method = x->req.method,
        .path = x->req.path,
        .request_id = x->req.id,
        .attempt = x->attempts,
        .key = x->req.key,
        .content_type = x->req.content_type,
        .body = x->req.body,
        .body_len = x->req.body_len,
        .connect_ms = x->policy.connect_ms,
        .inactivity_timeout_ms = x->policy.attempt_ms,
        .non_repeatable = !x->policy.repeatable,
    };
    x->service =
        rk_service_attempt_start(x->t->loop, x->t->http, &spec, on_service_end, x);
}

static void send_attempt(struct rk_exchange *x)
{
    /* The thread may have been paused since the router's decision. After the
     * deadline the claim of a key may have expired at other nodes, so nothing is
     * sent. */
    if (rk_mono_ms() >= x->deadline_ms) {
        rk_exchange_give_up(x, 504, 0, "the deadline passed before it was sent");
        return;
    }
    if (!x->attempts && !rk_router_can_meet_deadline(&x->job, rk_mono_ms())) {
        rk_exchange_give_up(x, 503, RK_OVERLOAD_RETRY_MS,
                            "it would miss its deadline");
        return;
    }
    x->state = X_SENT;
    x->attempts++;
    x->ever_sent = true;
    rk_counter_add(RK_C_ATTEMPTS, 1);
    log_attempt(x, "attempt.start", rk_router_vm_id(x->t->router, x->job.vm), "",
                "");
    x->kv_imported = false;
    if (x->policy.engine && x->kv_source_addr[0] &&
        x->kv_source_until_ms > rk_mono_ms())
        start_kv_import(x);
    else if (x->policy.engine)
        start_engine(x);
    else
        start_service(x);
}

static void publish_free_slots(struct rk_traffic *t, int64_t now_ms)
{
    if (now_ms - t->free_slots_ms < FREE_SLOTS_INTERVAL_MS)
        return;
    t->free_slots_ms = now_ms;
    atomic_store_explicit(&t->free_slots, rk_router_free_slots(t->router),
                          memory_order_relaxed);
}

void rk_exchange_dispatch(struct rk_traffic *t)
{
    struct rk_job *job;
    publish_free_slots(t, rk_mono_ms());
    while ((job = rk_router_next(t->router, rk_mono_ms())))
        send_attempt((struct rk_exchange *)((char *)job -
                                            offsetof(struct rk_exchange, job)));
    if (!t->recheck_timer.slot && rk_router_queued_len(t->router))
        rk_timer_start(t->loop, &t->recheck_timer, RECHECK_INTERVAL_MS);
}
