#include "serve/exchange.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "core/shards.h"
#include "engines/attempt.h"
#include "serve/exchange_impl.h"
#include "serve/forward.h"
#include "serve/view.h"
#include "services/attempt.h"

#define STOP_DETAIL     "this node stops"
#define ID_BUCKETS      4096
#define REPLAY_BODY_MAX (64 * 1024) /* bytes */
#define MOVE_MARGIN_MS  500         /* time reserved for the move itself */
/* How long a call may run after its caller has left or got the final answer. */
#define DETACHED_TIMEOUT_MS 60000

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
    rk_timer_stop(t->loop, &x->deadline_timer);
    rk_request_free(&x->req);
    free(x->completion.upstream_body);
    rk_buf_free(&x->answer_text);
    rk_buf_free(&x->replay_body);
    free(x);
}

/* ---- ending ---- */

static void count_end(const struct rk_outcome *o)
{
    if (o->whole)
        rk_counter_add(RK_C_ANSWERS_OK, 1);
    else if (o->verdict == RK_NOT_RUN)
        rk_counter_add(RK_C_REFUSED_NOT_RUN, 1);
    else
        rk_counter_add(RK_C_REFUSED_MAY_HAVE_RUN, 1);
}

static void report_outcome(struct rk_exchange *x, const struct rk_outcome *o)
{
    if (!x->sink)
        return;
    count_end(o);
    RK_EVENT("call.end", RK_S("request", x->req.id),
             RK_S("service", x->policy.service), RK_S("organisation", x->req.org),
             RK_S("class", x->req.priority_class), RK_N("status", o->status),
             RK_S("verdict", rk_verdict_str(o->verdict)), RK_N("whole", o->whole),
             RK_N("attempts", x->attempts),
             RK_N("took_ms", rk_mono_ms() - x->started_ms),
             RK_S("detail", o->detail ? o->detail : ""));
    const struct rk_answer_sink *sink = x->sink;
    x->sink = NULL;
    sink->on_answer_end(x->sink_ctx, o);
}

/* Reports the call's outcome to the claim of its key, with the answer to
 * replay. */
static void finish_claim(struct rk_exchange *x, const struct rk_outcome *o)
{
    if (!x->claimed)
        return;
    struct rk_answer answer = {.status = x->replay_status,
                               .body = x->replay_body.data,
                               .len = x->replay_body.len};
    rk_strcpy(answer.content_type, sizeof(answer.content_type), x->replay_type);
    bool keep = o->whole && x->replay_body.data;
    x->t->opt.claims.finish(x->t->opt.claims.ctx, x->shard, x->key, o->verdict,
                            keep ? &answer : NULL, o->retry_after_ms);
}

void rk_exchange_finish(struct rk_exchange *x, const struct rk_outcome *outcome)
{
    struct rk_traffic *t = x->t;
    if (x->state == X_CLAIMING && x->claim_wanted && !x->claimed)
        t->opt.claims.cancel(t->opt.claims.ctx, t->opt.index, x->id, x->shard);
    rk_router_end(t->router, &x->job, false, rk_mono_ms());
    finish_claim(x, outcome);
    report_outcome(x, outcome);
    free_exchange(x);
}

/* Returns true if an earlier arrival of the call's key may have run, as far as this
 * node can tell. That holds for any keyed call whose service is not determined
 * yet. */
static bool key_state_unknown(const struct rk_exchange *x)
{
    if (!x->req.key[0] || x->req.claimed || x->claimed || x->ever_sent)
        return false;
    return x->claim_wanted || !x->policy.service[0];
}

void rk_exchange_give_up(struct rk_exchange *x, int status, int64_t retry_after_ms,
                         const char *detail)
{
    struct rk_outcome o = {
        .status = status,
        .verdict = key_state_unknown(x) ? RK_MAY_HAVE_RUN : x->verdict,
        .not_sent = !x->ever_sent,
        .retry_after_ms = retry_after_ms,
        .detail = detail,
    };
    rk_exchange_finish(x, &o);
}

/* ---- answers ---- */

static void record_for_replay(struct rk_exchange *x,
                              const struct rk_answer_piece *part)
{
    if (!x->claimed)
        return;
    x->replay_body.max = REPLAY_BODY_MAX;
    x->replay_status = part->status;
    rk_strcpy(x->replay_type, sizeof(x->replay_type), part->content_type);
    if (!rk_buf_add(&x->replay_body, part->data, part->len))
        rk_buf_free(&x->replay_body);
}

void rk_exchange_deliver_part(struct rk_exchange *x,
                              const struct rk_answer_piece *part)
{
    record_for_replay(x, part);
    x->sink_has_data = true;
    if (x->sink)
        x->sink->on_answer_piece(x->sink_ctx, part);
}

void rk_exchange_deliver_body(struct rk_exchange *x, int status, const char *type,
                              const char *body, size_t len)
{
    struct rk_answer_piece part = {.status = status,
                                   .content_type = type,
                                   .index = -1,
                                   .data = body,
                                   .len = len};
    rk_exchange_deliver_part(x, &part);
}

/* ---- claims ---- */

static void request_claim(struct rk_exchange *x)
{
    x->state = X_CLAIMING;
    struct rk_claim_port *port = &x->t->opt.claims;
    if (!port->acquire(port->ctx, x->t->opt.index, x->id, x->shard, x->key,
                       x->policy.claims_local)) {
        x->state = X_QUEUED; /* there is no claim request to cancel */
        rk_exchange_give_up(x, 503, RK_OVERLOAD_RETRY_MS, "too many claims wait");
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
        rk_exchange_finish(x, &o);
        return;
    }
    rk_counter_add(RK_C_CLAIM_REPLAYS, 1);
    struct rk_outcome o = {.status = r->answer.status,
                           .verdict = RK_RAN,
                           .whole = true,
                           .not_sent = true,
                           .replayed = true};
    rk_exchange_deliver_body(x, r->answer.status, r->answer.content_type,
                             r->answer.body, r->answer.len);
    rk_exchange_finish(x, &o);
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
        rk_counter_add(RK_C_CLAIMS, 1);
        RK_EVENT("claim.granted", RK_S("request", x->req.id),
                 RK_N("shard", x->shard));
        rk_exchange_queue(x);
        break;
    case RK_CLAIM_REPLAY:
        replay(x, r);
        break;
    case RK_CLAIM_MISMATCH:
        rk_exchange_give_up(x, 422, 0, r->detail);
        break;
    case RK_CLAIM_IN_DOUBT:
        rk_exchange_give_up(x, 409, 0, r->detail);
        break;
    case RK_CLAIM_REFUSED: {
        struct rk_outcome o = {.status = 503,
                               .verdict = r->verdict,
                               .not_sent = true,
                               .retry_after_ms = r->retry_after_ms,
                               .detail = r->detail};
        rk_exchange_finish(x, &o);
        break;
    }
    }
    rk_exchange_dispatch(t);
}

/* Asks the owner of the key's shard for the claim by forwarding the call to it. The
 * claim is made here if this node is the owner, the owner cannot be reached, or the
 * call may not be forwarded any more. A call that was forwarded here as to the
 * owner is forwarded again only once, and only to an owner in another failure
 * domain. */
static void claim_or_forward(struct rk_exchange *x)
{
    const struct rk_view *v = rk_traffic_view(x->t);
    int owner = v->shard_owner[x->shard % RK_MAX_SHARDS];
    bool here = owner < 0 || x->owner_unreachable || x->req.hops >= RK_MAX_HOPS;
    if (x->req.to_owner)
        here =
            here || !strcmp(v->peers[owner].domain, v->domain) || x->req.hops > 1;
    if (!here && rk_exchange_forward(x, &v->peers[owner], true))
        return;
    request_claim(x);
}

void rk_exchange_claim_or_queue(struct rk_exchange *x)
{
    if (x->claim_wanted)
        claim_or_forward(x);
    else
        rk_exchange_queue(x);
}

/* ---- start and abort ---- */

/* Cancels the attempt in progress. If it was sent, the call's verdict is at best
 * that it may have run. */
static void cancel_attempt(struct rk_exchange *x)
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
        x->verdict = rk_verdict_worst(x->verdict, RK_MAY_HAVE_RUN);
}

/* Cancels the attempt in progress and ends the call. */
static void abandon(struct rk_exchange *x, int status, const char *detail)
{
    struct rk_traffic *t = x->t;
    cancel_attempt(x);
    rk_exchange_give_up(x, status, 0, detail);
    rk_exchange_dispatch(t);
}

static void on_deadline(void *ctx)
{
    struct rk_exchange *x = ctx;
    rk_counter_add(RK_C_EXPIRED, 1);
    if (!x->service || x->policy.repeatable || !x->sink) {
        abandon(x, 504, "the deadline passed");
        return;
    }
    /* The caller gets its final answer now. The call keeps running, so that a
     * repeat of its key can be answered with the outcome. */
    struct rk_outcome o = {.status = 504,
                           .verdict = RK_MAY_HAVE_RUN,
                           .detail = "the deadline passed; it may have run"};
    report_outcome(x, &o);
    rk_timer_start(x->t->loop, &x->deadline_timer, DETACHED_TIMEOUT_MS);
}

/* Ends a call with an input error, before it is claimed or queued. */
static struct rk_exchange *reject(struct rk_exchange *x, int status,
                                  const char *detail)
{
    rk_counter_add(RK_C_BAD_INPUT, 1);
    rk_exchange_give_up(x, status, 0, detail);
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
    rk_counter_add(RK_C_PROMPT_TOKENS, x->prompt.tokens);
    *why = "no service has this model";
    return rk_config_policy_of_model(cfg, x->completion.model);
}

static void apply_default_class(struct rk_exchange *x, const struct rk_org *org)
{
    if (!x->req.priority_class[0])
        rk_strcpy(x->req.priority_class, sizeof(x->req.priority_class),
                  org->default_class);
}

static void set_deadline(struct rk_exchange *x, const struct rk_class *cls)
{
    int64_t limit =
        cls && cls->deadline_ms ? cls->deadline_ms : x->policy.deadline_ms;
    int64_t in_ms = x->req.deadline_in_ms;
    if (in_ms <= 0 || in_ms > limit)
        in_ms = limit;
    x->deadline_ms = x->started_ms + in_ms;
    rk_timer_start(x->t->loop, &x->deadline_timer, in_ms);
}

static void fill_job(struct rk_exchange *x)
{
    const struct rk_config *cfg = rk_traffic_view(x->t)->config;
    const struct rk_org *org = rk_config_org(cfg, x->req.org);
    const struct rk_class *cls = rk_config_class(cfg, x->req.priority_class);
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
                                      const struct rk_answer_sink *sink, void *ctx)
{
    struct rk_exchange *x = rk_alloc(1, sizeof(*x));
    *x = (struct rk_exchange){
        .t = t, .sink = sink, .sink_ctx = ctx, .state = X_QUEUED};
    x->id = ++t->next_id;
    x->req = *request;
    x->started_ms = rk_mono_ms();
    x->deadline_timer = (struct rk_timer){.fn = on_deadline, .ctx = x};
    x->stream.next = request->resume_from;
    link_exchange(x);
    rk_counter_add(RK_C_CALLS, 1);
    RK_EVENT("call.start", RK_S("request", x->req.id), RK_S("path", x->req.path),
             RK_S("organisation", x->req.org), RK_N("hops", x->req.hops));
    const struct rk_config *cfg = rk_traffic_view(t)->config;
    if (t->ends_calls) {
        rk_exchange_give_up(x, 503, RK_OVERLOAD_RETRY_MS, STOP_DETAIL);
        return NULL;
    }
    if ((int64_t)t->exchanges_len > cfg->max_calls) {
        rk_exchange_give_up(x, 503, RK_OVERLOAD_RETRY_MS,
                            "this node has all the calls it takes");
        return NULL;
    }
    if (!cfg->head) {
        rk_exchange_give_up(x, 503, RK_OVERLOAD_RETRY_MS,
                            "this node has no settings yet");
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
    apply_default_class(x, org);
    const struct rk_class *cls = rk_config_class(cfg, x->req.priority_class);
    if (x->req.priority_class[0] && !cls)
        return reject(x, 400, "unknown priority class");
    if (x->policy.key_required && !x->req.key[0])
        return reject(x, 428, "calls of this service need an Idempotency-Key");
    set_deadline(x, cls);
    fill_job(x);
    rk_retry_budget_earn(&t->budget, cfg->retry_budget_pct);
    uint64_t id = x->id;
    rk_exchange_claim_or_queue(x);
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
        rk_timer_start(t->loop, &x->deadline_timer, DETACHED_TIMEOUT_MS);
        return;
    }
    abandon(x, 499, "the caller is gone");
}

uint64_t rk_exchange_id(const struct rk_exchange *x)
{
    return x->id;
}

bool rk_exchange_is_stream(const struct rk_exchange *x)
{
    return x->req.stream;
}

void rk_exchange_abort(struct rk_exchange *x)
{
    x->sink = NULL;
    abandon(x, 499, STOP_DETAIL);
}

/* ---- view changes and shutdown ---- */

/* Returns true if the VM will be reclaimed before the remaining tokens are
 * generated. */
static bool outlasts_vm(const struct rk_exchange *x, const struct rk_vm *row,
                        int64_t wall_ms)
{
    if (!x->engine || !x->policy.repeatable || !row->leave_at_ms)
        return false;
    int64_t tokens_left = x->completion.max_tokens - x->stream.next;
    int64_t needed_ms =
        (int64_t)(x->policy.token_ms * (double)tokens_left) + MOVE_MARGIN_MS;
    return wall_ms + needed_ms > (int64_t)row->leave_at_ms;
}

/* Cancels the attempt and resumes the stream at another VM, which may fetch the KV
 * cache from the old one until that is reclaimed. */
static void move_before_reclaim(struct rk_exchange *x, const struct rk_vm *row,
                                int64_t wall_ms)
{
    if (x->policy.kv_move)
        rk_strcpy(x->kv_source_addr, sizeof(x->kv_source_addr), row->addr);
    x->kv_source_until_ms = rk_mono_ms() + (int64_t)row->leave_at_ms - wall_ms;
    rk_engine_attempt_cancel(x->engine);
    x->engine = NULL;
    struct rk_attempt_end end = {.may_have_reached = true};
    rk_exchange_attempt_failed(x, &end, "moved before a reclaim");
}

static const struct rk_vm *find_vm_row(const struct rk_view *v, const char *id)
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
                find_vm_row(v, rk_router_vm_id(t->router, x->job.vm));
            if (row && outlasts_vm(x, row, wall_ms))
                move_before_reclaim(x, row, wall_ms);
        } else if (x->state == X_QUEUED && x->job.svc) {
            /* The last VM of the service may have left. */
            if (!rk_router_can_serve(t->router, &x->job)) {
                snprintf(x->detail, sizeof(x->detail), "no upstream vm is live");
                rk_exchange_reroute(x, false);
            }
        }
    }
    rk_exchange_dispatch(t);
}

void rk_exchange_end_resumable(struct rk_traffic *t)
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
        rk_exchange_finish(x, &o);
    }
}

void rk_exchange_end_all(struct rk_traffic *t)
{
    for (struct rk_exchange *x = t->exchanges, *next; x; x = next) {
        next = x->next;
        if (!x->sink)
            continue;
        /* Without dispatching: the calls that wait have to stay unsent. */
        cancel_attempt(x);
        bool not_run = x->verdict == RK_NOT_RUN;
        rk_exchange_give_up(x, not_run ? 503 : 502,
                            not_run ? RK_OVERLOAD_RETRY_MS : 0, STOP_DETAIL);
    }
}
