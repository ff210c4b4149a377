#include "serve/exchange.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "common/loop.h"
#include "core/completion.h"
#include "core/shards.h"
#include "core/stream.h"
#include "engines/attempt.h"
#include "serve/forward.h"
#include "serve/traffic.h"
#include "serve/view.h"
#include "services/attempt.h"

#define MAX_ATTEMPTS      8
#define MAX_SPILLS        2
#define ID_BUCKETS        4096
#define COLLECT_MAX       (1024 * 1024)
#define KEPT_ANSWER_MAX   (64 * 1024)
#define MOVE_MARGIN_MS    500 /* before a reclaim, for the move itself */
#define OVERLOAD_RETRY_MS 1000
#define DETACHED_MS       60000 /* how long a call runs on without its caller */
#define DETAIL_MAX        160
#define SPARE_EVERY_MS    100
#define RECHECK_MS        25

enum state {
    X_CLAIMING,
    X_QUEUED,
    X_SENT,      /* at an upstream */
    X_FORWARDED, /* at a peer */
};

struct rk_exchange {
    struct rk_traffic *t;
    uint64_t id;
    struct rk_exchange *next, **prev; /* among all */
    struct rk_exchange *next_by_id;
    struct rk_request req;
    const struct rk_sink *sink; /* NULL: nobody listens any more */
    void *sink_ctx;
    struct rk_policy policy;
    struct rk_completion completion;
    struct rk_prompt prompt;
    struct rk_job job;
    enum state state;
    struct rk_timer deadline;
    int64_t started_ms, deadline_ms;
    bool claimed;      /* this node holds the key's claim */
    bool claim_wanted; /* the call must be claimed before it runs */
    struct rk_claim_key key;
    uint32_t shard;
    int attempts, spills;
    bool no_owner;           /* the owner couldn't be reached: claim here */
    enum rk_verdict verdict; /* of all attempts so far */
    bool ever_sent;
    struct rk_stream stream;
    bool part_sent; /* the sink got something */
    bool moving;    /* the attempt is being left on purpose */
    struct rk_engine_attempt *engine;
    struct rk_service_attempt *service;
    char peer[RK_ID_MAX];
    struct rk_buf collected; /* text of an answer that isn't streamed */
    char kept_type[RK_CTYPE_MAX];
    struct rk_buf kept; /* a claimed call's answer, for repeats */
    int kept_status;
    char detail[DETAIL_MAX];
};

static void run(struct rk_exchange *x);
static void queue_or_spill(struct rk_exchange *x);
static void leave_domain(struct rk_exchange *x, bool reached);

/* ---- table ---- */

static struct rk_exchange **bucket(struct rk_traffic *t, uint64_t id)
{
    if (!t->by_id)
        t->by_id = rk_alloc(ID_BUCKETS, sizeof(struct rk_exchange *));
    return &t->by_id[id % ID_BUCKETS];
}

struct rk_exchange *rk_exchange_find(struct rk_traffic *t, uint64_t id)
{
    struct rk_exchange *x = *bucket(t, id);
    while (x && x->id != id)
        x = x->next_by_id;
    return x;
}

static void link_exchange(struct rk_exchange *x)
{
    struct rk_traffic *t = x->t;
    x->next = t->exchanges;
    x->prev = &t->exchanges;
    if (x->next)
        x->next->prev = &x->next;
    t->exchanges = x;
    struct rk_exchange **b = bucket(t, x->id);
    x->next_by_id = *b;
    *b = x;
    t->exchanges_len++;
}

static void free_exchange(struct rk_exchange *x)
{
    struct rk_traffic *t = x->t;
    *x->prev = x->next;
    if (x->next)
        x->next->prev = x->prev;
    struct rk_exchange **p = bucket(t, x->id);
    while (*p != x)
        p = &(*p)->next_by_id;
    *p = x->next_by_id;
    t->exchanges_len--;
    rk_timer_stop(t->loop, &x->deadline);
    rk_request_free(&x->req);
    free(x->completion.upstream_body);
    rk_buf_free(&x->collected);
    rk_buf_free(&x->kept);
    free(x);
}

/* ---- ending ---- */

static void count_end(const struct rk_outcome *o)
{
    if (o->whole)
        rk_count(RK_C_ANSWERS_OK, 1);
    else if (o->verdict == RK_NOT_RUN)
        rk_count(RK_C_REFUSED_NOT_RUN, 1);
    else
        rk_count(RK_C_REFUSED_MAYBE, 1);
}

static void tell_end(struct rk_exchange *x, const struct rk_outcome *o)
{
    if (!x->sink)
        return;
    count_end(o);
    RK_EVENT("call.end", RK_S("request", x->req.id),
             RK_S("service", x->policy.service), RK_S("organisation", x->req.org),
             RK_S("class", x->req.cls), RK_N("status", o->status),
             RK_S("verdict", rk_verdict_str(o->verdict)), RK_N("whole", o->whole),
             RK_N("attempts", x->attempts),
             RK_N("took_ms", rk_mono_ms() - x->started_ms),
             RK_S("detail", o->detail ? o->detail : ""));
    const struct rk_sink *sink = x->sink;
    x->sink = NULL;
    sink->end(x->sink_ctx, o);
}

static void settle_claim(struct rk_exchange *x, const struct rk_outcome *o)
{
    if (!x->claimed)
        return;
    struct rk_answer answer = {
        .status = x->kept_status, .body = x->kept.data, .len = x->kept.len};
    rk_strcpy(answer.content_type, sizeof(answer.content_type), x->kept_type);
    bool keep = o->whole && x->kept.data;
    x->t->opt.claims.finish(x->t->opt.claims.ctx, x->shard, x->key, o->verdict,
                            keep ? &answer : NULL, o->retry_after_ms);
}

/* The exchange is over; x is gone after this. */
static void finish(struct rk_exchange *x, const struct rk_outcome *outcome)
{
    struct rk_traffic *t = x->t;
    if (x->state == X_CLAIMING && x->claim_wanted && !x->claimed)
        t->opt.claims.cancel(t->opt.claims.ctx, t->opt.index, x->id, x->shard);
    rk_router_end(t->router, &x->job, false, rk_mono_ms());
    settle_claim(x, outcome);
    tell_end(x, outcome);
    free_exchange(x);
}

/* Is the call one whose key an earlier arrival may have run, for all this node
 * knows? Before its settings are found (or without them) any keyed call is. */
static bool key_is_unknown(const struct rk_exchange *x)
{
    if (!x->req.key[0] || x->req.claimed || x->claimed || x->ever_sent)
        return false;
    return x->claim_wanted || !x->policy.service[0];
}

/* Refuse or give up with a verdict. A keyed call that was not claimed here
 * can't say "not run" for its key. */
static void give_up(struct rk_exchange *x, int status, int64_t retry_after_ms,
                    const char *detail)
{
    struct rk_outcome o = {
        .status = status,
        .verdict = key_is_unknown(x) ? RK_MAY_HAVE_RUN : x->verdict,
        .not_sent = !x->ever_sent,
        .retry_after_ms = retry_after_ms,
        .detail = detail,
    };
    finish(x, &o);
}

static void finish_whole(struct rk_exchange *x, int status)
{
    struct rk_outcome o = {.status = status, .verdict = RK_RAN, .whole = true};
    finish(x, &o);
}

/* ---- answers ---- */

static void keep_part(struct rk_exchange *x, const struct rk_part *part)
{
    if (!x->claimed)
        return;
    x->kept.max = KEPT_ANSWER_MAX;
    x->kept_status = part->status;
    rk_strcpy(x->kept_type, sizeof(x->kept_type), part->content_type);
    if (!rk_buf_add(&x->kept, part->data, part->len))
        rk_buf_free(&x->kept);
}

static void give_part(struct rk_exchange *x, const struct rk_part *part)
{
    keep_part(x, part);
    x->part_sent = true;
    if (x->sink)
        x->sink->part(x->sink_ctx, part);
}

static void give_body(struct rk_exchange *x, int status, const char *type,
                      const char *body, size_t len)
{
    struct rk_part part = {.status = status,
                           .content_type = type,
                           .index = -1,
                           .data = body,
                           .len = len};
    give_part(x, &part);
}

static void finish_completion(struct rk_exchange *x)
{
    if (!x->req.stream) {
        struct rk_buf b = {0};
        rk_completion_answer(&b, x->req.id, x->policy.model, x->req.chat,
                             x->collected.data ? x->collected.data : "",
                             x->prompt.tokens, x->stream.next);
        give_body(x, 200, "application/json", b.data, b.len);
        rk_buf_free(&b);
    }
    finish_whole(x, 200);
}

/* ---- attempts ---- */

static void log_attempt(const struct rk_exchange *x, const char *event,
                        const char *at, const char *verdict, const char *detail)
{
    RK_EVENT(event, RK_S("request", x->req.id), RK_N("attempt", x->attempts),
             RK_S("at", at), RK_S("verdict", verdict),
             RK_N("next_token", x->stream.next), RK_S("detail", detail));
}

/* After a failed attempt: may another one go out? */
static bool may_retry(struct rk_exchange *x, enum rk_verdict v, bool overload)
{
    if (x->attempts >= MAX_ATTEMPTS ||
        !rk_verdict_allows_retry(v, x->policy.repeatable))
        return false;
    /* A lost vm asks for no budget: its work must go somewhere. A refusal or a
     * silence does: a retry there adds load to load. */
    if (!overload || rk_budget_spend(&x->t->budget))
        return true;
    rk_count(RK_C_RETRY_DENIED, 1);
    return false;
}

static void attempt_failed(struct rk_exchange *x, const struct rk_attempt_end *end,
                           const char *detail)
{
    const struct rk_refusal_contract contract = {.refusal_not_run =
                                                     x->policy.refusal_not_run};
    enum rk_verdict v = rk_verdict_of(end, &contract);
    const char *at = rk_router_vm_id(x->t->router, x->job.vm);
    log_attempt(x, "attempt.failed", at, rk_verdict_str(v), detail);
    snprintf(x->detail, sizeof(x->detail), "%s", detail);
    x->verdict = rk_verdict_join(x->verdict, v);
    bool leaving = rk_router_vm_leaving(x->t->router, x->job.vm);
    bool overload =
        end->http_status || (end->handed && !leaving && !x->stream.next);
    if (!x->sink && v != RK_NOT_RUN) {
        give_up(x, 504, 0, x->detail);
        return;
    }
    if (!may_retry(x, v, overload)) {
        int64_t after =
            v == RK_NOT_RUN || x->policy.repeatable ? OVERLOAD_RETRY_MS : 0;
        give_up(x, end->http_status == 429 || end->http_status == 503 ? 503 : 502,
                after, x->detail);
        return;
    }
    rk_count(RK_C_RETRIES, 1);
    rk_router_retry(x->t->router, &x->job, rk_mono_ms());
    x->state = X_QUEUED;
    if (!rk_router_can_serve(x->t->router, &x->job))
        leave_domain(x, end->handed);
}

static bool on_chunk(void *ctx, const struct rk_chunk *chunk, const char *raw)
{
    struct rk_exchange *x = ctx;
    rk_router_first(x->t->router, &x->job, rk_mono_ms());
    int64_t index = chunk->index >= 0 ? chunk->index : x->stream.next;
    enum rk_token_fate fate = rk_stream_take(&x->stream, index);
    if (fate == RK_TOKEN_REPEAT)
        return true;
    if (fate == RK_TOKEN_GAP)
        return false;
    rk_count(RK_C_TOKENS, 1);
    if (!x->req.stream) {
        x->collected.max = COLLECT_MAX;
        return rk_buf_addstr(&x->collected, chunk->text);
    }
    struct rk_part part = {.status = 200,
                           .content_type = "text/event-stream",
                           .index = index,
                           .data = raw,
                           .len = strlen(raw)};
    give_part(x, &part);
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
        give_up(x, end->http_status, 0, "the engine rejected the request");
    } else {
        attempt_failed(x, end, detail);
    }
    rk_exchange_dispatch(t);
}

static void on_service_end(void *ctx, const struct rk_service_answer *a)
{
    struct rk_exchange *x = ctx;
    struct rk_traffic *t = x->t;
    x->service = NULL;
    rk_router_first(t->router, &x->job, rk_mono_ms());
    int status = a->end.http_status;
    bool refusal = status == 429 || (status >= 502 && status <= 504);
    if (a->end.answered && !refusal) {
        const struct rk_refusal_contract contract = {0};
        enum rk_verdict v = rk_verdict_of(&a->end, &contract);
        log_attempt(x, "attempt.whole", rk_router_vm_id(t->router, x->job.vm),
                    rk_verdict_str(v), "");
        give_body(x, status, a->content_type, a->body, a->len);
        struct rk_outcome o = {.status = status, .verdict = v, .whole = true};
        finish(x, &o);
    } else {
        attempt_failed(x, &a->end, a->detail);
    }
    rk_exchange_dispatch(t);
}

static const struct rk_engine_handlers engine_handlers = {
    .on_chunk = on_chunk,
    .on_end = on_engine_end,
};

static void start_engine(struct rk_exchange *x)
{
    if (x->stream.next) {
        rk_count(RK_C_RESUMES, 1);
        rk_count(RK_C_RECOMPUTED,
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
        .silence_ms = x->policy.attempt_ms,
        .once = !x->policy.repeatable,
    };
    x->engine =
        rk_engine_attempt_start(x->t->loop, x->t->http, &spec, &engine_handlers, x);
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
        .silence_ms = x->policy.attempt_ms,
        .once = !x->policy.repeatable,
    };
    x->service =
        rk_service_attempt_start(x->t->loop, x->t->http, &spec, on_service_end, x);
}

static void send_attempt(struct rk_exchange *x)
{
    /* A pause may have come between the decision and now: past its deadline a
     * claimed key may be forgotten elsewhere, so nothing is sent any more. */
    if (rk_mono_ms() >= x->deadline_ms) {
        give_up(x, 504, 0, "the deadline passed before it was sent");
        return;
    }
    if (!x->attempts && !rk_router_in_time(&x->job, rk_mono_ms())) {
        give_up(x, 503, OVERLOAD_RETRY_MS, "it would miss its deadline");
        return;
    }
    x->state = X_SENT;
    x->attempts++;
    x->ever_sent = true;
    rk_count(RK_C_ATTEMPTS, 1);
    log_attempt(x, "attempt.start", rk_router_vm_id(x->t->router, x->job.vm), "",
                "");
    if (x->policy.engine)
        start_engine(x);
    else
        start_service(x);
}

static void publish_spare(struct rk_traffic *t, int64_t now_ms)
{
    if (now_ms - t->spare_ms < SPARE_EVERY_MS)
        return;
    t->spare_ms = now_ms;
    atomic_store_explicit(&t->spare, rk_router_spare(t->router),
                          memory_order_relaxed);
}

void rk_exchange_dispatch(struct rk_traffic *t)
{
    struct rk_job *job;
    publish_spare(t, rk_mono_ms());
    while ((job = rk_router_next(t->router, rk_mono_ms())))
        send_attempt((struct rk_exchange *)((char *)job -
                                            offsetof(struct rk_exchange, job)));
    if (!t->recheck.slot && rk_router_waiting(t->router))
        rk_timer_start(t->loop, &t->recheck, RECHECK_MS);
}

/* ---- peers ---- */

static bool forward_to(struct rk_exchange *x, const struct rk_member *peer,
                       bool to_owner)
{
    struct rk_request r = x->req;
    r.hops++;
    r.to_owner = to_owner;
    r.claimed = x->claimed || (x->req.claimed && !to_owner);
    r.resume_from = x->stream.next;
    if (!rk_forwards_send(x->t->forwards, peer, x->id, &r,
                          x->deadline_ms - rk_mono_ms()))
        return false;
    rk_strcpy(x->peer, sizeof(x->peer), peer->id);
    x->state = X_FORWARDED;
    rk_count(RK_C_FORWARDS, 1);
    RK_EVENT("forward.start", RK_S("request", x->req.id), RK_S("peer", peer->id),
             RK_N("to_owner", to_owner));
    return true;
}

/* Another failure domain with room, while this one has none. */
static bool spill(struct rk_exchange *x)
{
    const struct rk_view *v = rk_traffic_view(x->t);
    if (x->spills >= MAX_SPILLS || x->req.hops >= RK_MAX_HOPS || !v->peers_len)
        return false;
    uint32_t at = rk_rng_below(&x->t->rng, (uint32_t)v->peers_len);
    for (size_t i = 0; i < v->peers_len; i++) {
        const struct rk_member *p = &v->peers[(at + i) % v->peers_len];
        if (p->state != RK_MEMBER_ALIVE || p->leaving || !p->spare ||
            !strcmp(p->domain, v->domain) || !strcmp(p->id, x->peer))
            continue;
        x->spills++;
        if (forward_to(x, p, false))
            return true;
    }
    return false;
}

void rk_exchange_peer_part(struct rk_exchange *x, const struct rk_part *part)
{
    if (part->index >= 0 &&
        rk_stream_take(&x->stream, part->index) != RK_TOKEN_DELIVER)
        return;
    give_part(x, part);
}

void rk_exchange_peer_end(struct rk_exchange *x, const struct rk_outcome *o,
                          bool lost)
{
    struct rk_traffic *t = x->t;
    RK_EVENT("forward.end", RK_S("request", x->req.id), RK_S("peer", x->peer),
             RK_S("verdict", rk_verdict_str(o->verdict)), RK_N("lost", lost),
             RK_S("detail", o->detail ? o->detail : ""));
    snprintf(x->detail, sizeof(x->detail), "%s", o->detail ? o->detail : "");
    bool to_owner = x->claim_wanted && !x->claimed;
    if (o->whole || x->part_sent) {
        if (!o->whole && x->policy.repeatable && x->stream.next && x->sink &&
            !o->resume) {
            queue_or_spill(x); /* resume it here */
            rk_exchange_dispatch(t);
            return;
        }
        finish(x, o);
    } else if (to_owner && lost) {
        /* Claims are fenced by the store, so asking again here is safe even if
         * the owner got the call and runs it. */
        x->no_owner = true;
        run(x);
    } else if (!to_owner &&
               rk_verdict_allows_retry(o->verdict, x->policy.repeatable)) {
        x->verdict = rk_verdict_join(x->verdict, o->verdict);
        queue_or_spill(x);
    } else {
        x->verdict = rk_verdict_join(x->verdict, o->verdict);
        x->ever_sent = x->ever_sent || !o->not_sent;
        finish(x, o);
    }
    rk_exchange_dispatch(t);
}

/* ---- queue ---- */

static void fill_job(struct rk_exchange *x)
{
    const struct rk_config *cfg = rk_traffic_view(x->t)->config;
    const struct rk_org *org = rk_config_org(cfg, x->req.org);
    const struct rk_class *cls = rk_config_class(cfg, x->req.cls);
    struct rk_job *j = &x->job;
    rk_strcpy(j->service, sizeof(j->service), x->policy.service);
    rk_strcpy(j->org, sizeof(j->org), x->req.org);
    j->org_weight = org ? org->weight : 1;
    j->org_max = org ? org->max_in_flight : 1;
    j->rank = cls ? cls->rank : RK_RANKS / 2;
    j->deferrable = cls && cls->deferrable;
    j->promote_ms = cls ? cls->promote_ms : 0;
    j->queue_ms = cls ? cls->queue_ms : x->policy.deadline_ms;
    j->deadline_ms = x->deadline_ms;
    j->prompt = x->policy.engine ? &x->prompt : NULL;
    j->max_tokens = x->policy.engine ? x->completion.max_tokens : 0;
}

/* No vm here can take the call: another failure domain does, or a vm that failed
 * it once gets another try, or it ends at once, not at its deadline. */
static void leave_domain(struct rk_exchange *x, bool reached)
{
    struct rk_router *router = x->t->router;
    if (x->spills < MAX_SPILLS) {
        rk_router_end(router, &x->job, false, rk_mono_ms());
        if (spill(x))
            return;
        rk_router_forgive(&x->job);
        if (reached && x->policy.repeatable) {
            queue_or_spill(x);
            return;
        }
    }
    give_up(x, x->verdict == RK_NOT_RUN ? 503 : 502, OVERLOAD_RETRY_MS, x->detail);
}

static void queue_or_spill(struct rk_exchange *x)
{
    int64_t retry_after_ms;
    x->state = X_QUEUED;
    rk_router_end(x->t->router, &x->job, false, rk_mono_ms());
    enum rk_submit s =
        rk_router_submit(x->t->router, &x->job, rk_mono_ms(), &retry_after_ms);
    switch (s) {
    case RK_SUBMIT_QUEUED:
        return;
    case RK_SUBMIT_ORG_FULL:
        give_up(x, 429, retry_after_ms, "the organisation's limit is reached");
        return;
    case RK_SUBMIT_NO_SERVICE:
        give_up(x, 404, 0, "the service is gone from the settings");
        return;
    case RK_SUBMIT_REFUSED:
    case RK_SUBMIT_NO_VM:
        if (spill(x))
            return;
        give_up(x, 503, retry_after_ms,
                s == RK_SUBMIT_REFUSED ? "it would miss its deadline"
                                       : "no upstream vm is live");
        return;
    }
}

/* ---- claims ---- */

static void ask_claim(struct rk_exchange *x)
{
    x->state = X_CLAIMING;
    struct rk_claim_port *port = &x->t->opt.claims;
    if (!port->ask(port->ctx, x->t->opt.index, x->id, x->shard, x->key,
                   x->policy.claims_local)) {
        x->state = X_QUEUED; /* nothing to cancel */
        give_up(x, 503, OVERLOAD_RETRY_MS, "too many claims wait");
    }
}

static void replay(struct rk_exchange *x, const struct rk_claim_reply *r)
{
    if (!r->has_answer) {
        struct rk_outcome o = {.status = 409,
                               .verdict = RK_RAN,
                               .not_sent = true,
                               .replayed = true,
                               .detail =
                                   "the key ran; its answer is no longer kept"};
        finish(x, &o);
        return;
    }
    rk_count(RK_C_CLAIM_REPLAYS, 1);
    struct rk_outcome o = {.status = r->answer.status,
                           .verdict = RK_RAN,
                           .whole = true,
                           .not_sent = true,
                           .replayed = true};
    give_body(x, r->answer.status, r->answer.content_type, r->answer.body,
              r->answer.len);
    finish(x, &o);
}

void rk_exchange_claim_decided(struct rk_exchange *x,
                               const struct rk_claim_reply *r)
{
    struct rk_traffic *t = x->t;
    if (x->state != X_CLAIMING)
        return;
    x->state = X_QUEUED;
    switch (r->decision) {
    case RK_CLAIM_GRANTED:
        x->claimed = true;
        rk_count(RK_C_CLAIMS, 1);
        RK_EVENT("claim.granted", RK_S("request", x->req.id),
                 RK_N("shard", x->shard));
        queue_or_spill(x);
        break;
    case RK_CLAIM_REPLAY:
        replay(x, r);
        break;
    case RK_CLAIM_MISMATCH:
        give_up(x, 422, 0, r->detail);
        break;
    case RK_CLAIM_FOREIGN:
        give_up(x, 409, 0, r->detail);
        break;
    case RK_CLAIM_REFUSED: {
        struct rk_outcome o = {.status = 503,
                               .verdict = r->verdict,
                               .not_sent = true,
                               .retry_after_ms = r->retry_after_ms,
                               .detail = r->detail};
        finish(x, &o);
        break;
    }
    }
    rk_exchange_dispatch(t);
}

/* The key's owner is asked first; this node if it is the owner, or if the owner
 * can't be reached. */
static void claim_or_forward(struct rk_exchange *x)
{
    const struct rk_view *v = rk_traffic_view(x->t);
    int owner = v->shard_owner[x->shard % RK_MAX_SHARDS];
    bool here = owner < 0 || x->no_owner || x->req.hops >= RK_MAX_HOPS;
    if (x->req.to_owner)
        here =
            here || !strcmp(v->peers[owner].domain, v->domain) || x->req.hops > 1;
    if (!here && forward_to(x, &v->peers[owner], true))
        return;
    ask_claim(x);
}

static void run(struct rk_exchange *x)
{
    if (x->claim_wanted)
        claim_or_forward(x);
    else
        queue_or_spill(x);
}

/* ---- beginning ---- */

/* Stop what is under way and end with what can be said for sure. */
static void abandon(struct rk_exchange *x, int status, const char *detail)
{
    struct rk_traffic *t = x->t;
    bool sent = x->engine || x->service || x->state == X_FORWARDED;
    if (x->engine)
        rk_engine_attempt_cancel(x->engine);
    if (x->service)
        rk_service_attempt_cancel(x->service);
    if (x->state == X_FORWARDED)
        rk_forwards_cancel(t->forwards, x->peer, x->id);
    x->ever_sent = x->ever_sent || sent;
    if (sent)
        x->verdict = rk_verdict_join(x->verdict, RK_MAY_HAVE_RUN);
    give_up(x, status, 0, detail);
    rk_exchange_dispatch(t);
}

static void on_deadline(void *ctx)
{
    struct rk_exchange *x = ctx;
    rk_count(RK_C_EXPIRED, 1);
    if (!x->service || x->policy.repeatable || !x->sink) {
        abandon(x, 504, "the deadline passed");
        return;
    }
    /* The caller gets its final answer now; the call runs on, so that a repeat
     * of its key can be told what became of it. */
    struct rk_outcome o = {.status = 504,
                           .verdict = RK_MAY_HAVE_RUN,
                           .detail = "the deadline passed; it may have run"};
    tell_end(x, &o);
    rk_timer_start(x->t->loop, &x->deadline, DETACHED_MS);
}

/* Refuse before anything was looked up or claimed. */
static struct rk_exchange *reject(struct rk_exchange *x, int status,
                                  const char *detail)
{
    rk_count(RK_C_BAD_INPUT, 1);
    give_up(x, status, 0, detail);
    return NULL;
}

static const struct rk_policy *find_policy(struct rk_exchange *x, const char **why)
{
    const struct rk_config *cfg = rk_traffic_view(x->t)->config;
    *why = "no such service";
    if (!x->req.completion)
        return rk_config_policy(cfg, x->req.service, x->req.call);
    if (rk_completion_parse(x->req.body, x->req.body_len, x->req.chat, &x->prompt,
                            &x->completion) != RK_OK) {
        snprintf(x->detail, sizeof(x->detail), "%s", rk_last_error());
        *why = x->detail;
        return NULL;
    }
    x->req.stream = x->completion.stream;
    rk_count(RK_C_PROMPT_TOKENS, x->prompt.tokens);
    *why = "no service has this model";
    return rk_config_model(cfg, x->completion.model);
}

static void choose_class(struct rk_exchange *x, const struct rk_org *org)
{
    if (!x->req.cls[0])
        rk_strcpy(x->req.cls, sizeof(x->req.cls), org->default_class);
}

static void set_deadline(struct rk_exchange *x, const struct rk_class *cls)
{
    int64_t limit =
        cls && cls->deadline_ms ? cls->deadline_ms : x->policy.deadline_ms;
    int64_t in_ms = x->req.deadline_in_ms;
    if (in_ms <= 0 || in_ms > limit)
        in_ms = limit;
    x->deadline_ms = x->started_ms + in_ms;
    rk_timer_start(x->t->loop, &x->deadline, in_ms);
}

static void prepare_claim(struct rk_exchange *x)
{
    if (x->policy.repeatable || !x->req.key[0] || x->req.claimed)
        return;
    const struct rk_config *cfg = rk_traffic_view(x->t)->config;
    x->claim_wanted = true;
    x->shard = rk_shard_of(x->req.org, x->policy.service, x->req.key,
                           (uint32_t)cfg->claim_shards);
    x->key = rk_claim_key_make(x->req.org, x->policy.service, x->req.key,
                               x->req.path, x->req.body, x->req.body_len);
}

struct rk_exchange *rk_exchange_start(struct rk_traffic *t,
                                      struct rk_request *request,
                                      const struct rk_sink *sink, void *ctx)
{
    struct rk_exchange *x = rk_alloc(1, sizeof(*x));
    *x = (struct rk_exchange){
        .t = t, .sink = sink, .sink_ctx = ctx, .state = X_QUEUED};
    x->id = ++t->next_id;
    x->req = *request;
    x->started_ms = rk_mono_ms();
    x->deadline = (struct rk_timer){.fn = on_deadline, .ctx = x};
    x->stream.next = request->resume_from;
    link_exchange(x);
    rk_count(RK_C_CALLS, 1);
    RK_EVENT("call.start", RK_S("request", x->req.id), RK_S("path", x->req.path),
             RK_S("organisation", x->req.org), RK_N("hops", x->req.hops));
    const struct rk_config *cfg = rk_traffic_view(t)->config;
    if ((int64_t)t->exchanges_len > cfg->max_calls) {
        give_up(x, 503, OVERLOAD_RETRY_MS, "this node has all the calls it takes");
        return NULL;
    }
    if (!cfg->head) {
        give_up(x, 503, OVERLOAD_RETRY_MS, "this node has no settings yet");
        return NULL;
    }
    const char *why;
    const struct rk_policy *policy = find_policy(x, &why);
    if (!policy)
        return reject(x, why == x->detail ? 400 : 404, why);
    x->policy = *policy;
    prepare_claim(x);
    if (x->policy.engine != x->req.completion)
        return reject(x, 404, "engine services are called by the completion paths");
    const struct rk_org *org = rk_config_org(cfg, x->req.org);
    if (!org)
        return reject(x, 403, "unknown organisation");
    choose_class(x, org);
    const struct rk_class *cls = rk_config_class(cfg, x->req.cls);
    if (x->req.cls[0] && !cls)
        return reject(x, 400, "unknown priority class");
    if (x->policy.key_required && !x->req.key[0])
        return reject(x, 428, "calls of this service need an Idempotency-Key");
    set_deadline(x, cls);
    fill_job(x);
    rk_budget_earn(&t->budget, cfg->retry_budget_pct);
    uint64_t id = x->id;
    run(x);
    rk_exchange_dispatch(t);
    return rk_exchange_find(t, id);
}

void rk_exchange_cancel(struct rk_exchange *x)
{
    struct rk_traffic *t = x->t;
    x->sink = NULL;
    RK_EVENT("call.cancelled", RK_S("request", x->req.id));
    bool runs_on = (x->service || x->state == X_FORWARDED) && !x->policy.repeatable;
    if (runs_on) {
        rk_timer_start(t->loop, &x->deadline, DETACHED_MS);
        return;
    }
    abandon(x, 499, "the caller is gone");
}

bool rk_exchange_is_stream(const struct rk_exchange *x)
{
    return x->req.stream;
}

void rk_exchange_abort(struct rk_exchange *x)
{
    x->sink = NULL;
    abandon(x, 499, "this node stops");
}

/* ---- the world changes ---- */

/* Would the rest of the answer come too late for the vm's reclaim? */
static bool must_move(const struct rk_exchange *x, const struct rk_vm *row,
                      int64_t wall_ms)
{
    if (!x->engine || !x->policy.repeatable || !row->leave_at_ms)
        return false;
    int64_t left = x->completion.max_tokens - x->stream.next;
    int64_t needs = (int64_t)(x->policy.token_ms * (double)left) + MOVE_MARGIN_MS;
    return wall_ms + needs > (int64_t)row->leave_at_ms;
}

static void move(struct rk_exchange *x)
{
    rk_engine_attempt_cancel(x->engine);
    x->engine = NULL;
    struct rk_attempt_end end = {.handed = true};
    attempt_failed(x, &end, "moved before a reclaim");
}

static const struct rk_vm *find_row(const struct rk_view *v, const char *id)
{
    for (size_t i = 0; i < v->vms_len; i++)
        if (!strcmp(v->vms[i].id, id))
            return &v->vms[i];
    return NULL;
}

void rk_exchange_view_changed(struct rk_traffic *t)
{
    const struct rk_view *v = rk_traffic_view(t);
    int64_t wall_ms = rk_wall_ms();
    for (struct rk_exchange *x = t->exchanges, *next; x; x = next) {
        next = x->next;
        if (x->state == X_SENT && rk_router_vm_leaving(t->router, x->job.vm)) {
            const struct rk_vm *row =
                find_row(v, rk_router_vm_id(t->router, x->job.vm));
            if (row && must_move(x, row, wall_ms))
                move(x);
        } else if (x->state == X_QUEUED && x->job.svc) {
            /* The last vm of its service may have left. */
            if (!rk_router_can_serve(t->router, &x->job)) {
                snprintf(x->detail, sizeof(x->detail), "no upstream vm is live");
                leave_domain(x, false);
            }
        }
    }
    rk_exchange_dispatch(t);
}

void rk_exchange_hand_over(struct rk_traffic *t)
{
    for (struct rk_exchange *x = t->exchanges, *next; x; x = next) {
        next = x->next;
        if (!x->req.stream || !x->policy.repeatable || !x->sink)
            continue;
        if (x->engine)
            rk_engine_attempt_cancel(x->engine);
        if (x->state == X_FORWARDED)
            rk_forwards_cancel(t->forwards, x->peer, x->id);
        x->engine = NULL;
        struct rk_outcome o = {.status = 503,
                               .verdict =
                                   x->ever_sent ? RK_MAY_HAVE_RUN : RK_NOT_RUN,
                               .resume = true,
                               .retry_after_ms = 1,
                               .detail = "this node stops; resume at another"};
        finish(x, &o);
    }
}
