/* Decides where an exchange runs: in the local queue, at the peer that owns the
 * shard of its key, or at a peer in another failure domain with free slots. */
#include <stdio.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "serve/exchange_impl.h"
#include "serve/forward.h"
#include "serve/view.h"

/* A call that was forwarded to other failure domains this often, failed tries
 * included, is not forwarded there again. */
#define MAX_SPILLS 2

/* ---- peers ---- */

bool rk_exchange_forward(struct rk_exchange *x, const struct rk_member *peer,
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
    rk_counter_add(RK_C_FORWARDS, 1);
    RK_EVENT("forward.start", RK_S("request", x->req.id), RK_S("peer", peer->id),
             RK_N("to_owner", to_owner));
    return true;
}

/* Forwards the call to a live peer in another failure domain that reports free
 * slots. Returns false if there is none. */
static bool spill(struct rk_exchange *x)
{
    const struct rk_view *v = rk_traffic_view(x->t);
    if (x->spills >= MAX_SPILLS || x->req.hops >= RK_MAX_HOPS || !v->peers_len)
        return false;
    uint32_t start = rk_rng_below(&x->t->rng, (uint32_t)v->peers_len);
    for (size_t i = 0; i < v->peers_len; i++) {
        const struct rk_member *p = &v->peers[(start + i) % v->peers_len];
        if (p->state != RK_MEMBER_ALIVE || p->leaving || !p->free_slots ||
            !strcmp(p->domain, v->domain) || !strcmp(p->id, x->peer))
            continue;
        x->spills++;
        if (rk_exchange_forward(x, p, false))
            return true;
    }
    return false;
}

void rk_exchange_on_peer_part(struct rk_exchange *x,
                              const struct rk_answer_piece *part)
{
    if (part->index >= 0 &&
        rk_token_stream_accept(&x->stream, part->index) != RK_TOKEN_DELIVER)
        return;
    rk_exchange_deliver_part(x, part);
}

void rk_exchange_on_peer_end(struct rk_exchange *x, const struct rk_outcome *o,
                             bool lost)
{
    struct rk_traffic *t = x->t;
    RK_EVENT("forward.end", RK_S("request", x->req.id), RK_S("peer", x->peer),
             RK_S("verdict", rk_verdict_str(o->verdict)), RK_N("lost", lost),
             RK_S("detail", o->detail ? o->detail : ""));
    snprintf(x->detail, sizeof(x->detail), "%s", o->detail ? o->detail : "");
    bool to_owner = x->claim_wanted && !x->claimed;
    if (o->whole || x->sink_has_data) {
        if (!o->whole && x->policy.repeatable && x->stream.next && x->sink &&
            !o->resume) {
            rk_exchange_queue(x); /* resume the stream here */
            rk_exchange_dispatch(t);
            return;
        }
        rk_exchange_finish(x, o);
    } else if (to_owner && lost) {
        /* The store fences claims, so claiming here is safe even if the owner
         * received the call and runs it. */
        x->owner_unreachable = true;
        rk_exchange_claim_or_queue(x);
    } else if (!to_owner &&
               rk_verdict_allows_retry(o->verdict, x->policy.repeatable)) {
        x->verdict = rk_verdict_worst(x->verdict, o->verdict);
        rk_exchange_queue(x);
    } else {
        x->verdict = rk_verdict_worst(x->verdict, o->verdict);
        x->ever_sent = x->ever_sent || !o->not_sent;
        rk_exchange_finish(x, o);
    }
    rk_exchange_dispatch(t);
}

/* ---- queue ---- */

void rk_exchange_reroute(struct rk_exchange *x, bool reached)
{
    struct rk_router *router = x->t->router;
    if (x->spills < MAX_SPILLS) {
        rk_router_end(router, &x->job, false, rk_mono_ms());
        if (spill(x))
            return;
        rk_router_clear_excluded(&x->job);
        if (reached && x->policy.repeatable) {
            rk_exchange_queue(x);
            return;
        }
    }
    rk_exchange_give_up(x, x->verdict == RK_NOT_RUN ? 503 : 502,
                        RK_OVERLOAD_RETRY_MS, x->detail);
}

void rk_exchange_queue(struct rk_exchange *x)
{
    int64_t retry_after_ms;
    x->state = X_QUEUED;
    rk_router_end(x->t->router, &x->job, false, rk_mono_ms());
    enum rk_submit s =
        rk_router_submit(x->t->router, &x->job, rk_mono_ms(), &retry_after_ms);
    switch (s) {
    case RK_SUBMIT_QUEUED:
        return;
    case RK_SUBMIT_ORG_LIMIT:
        rk_exchange_give_up(x, 429, retry_after_ms,
                            "the organisation's limit is reached");
        return;
    case RK_SUBMIT_NO_SERVICE:
        rk_exchange_give_up(x, 404, 0, "the service is gone from the settings");
        return;
    case RK_SUBMIT_WAIT_TOO_LONG:
    case RK_SUBMIT_NO_VM:
        if (spill(x))
            return;
        rk_exchange_give_up(x, 503, retry_after_ms,
                            s == RK_SUBMIT_WAIT_TOO_LONG
                                ? "it would miss its deadline"
                                : "no upstream vm is live");
        return;
    }
}
