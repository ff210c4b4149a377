#include "serve/traffic.h"

#include <stdlib.h>
#include <string.h>

#include "common/http.h"
#include "serve/exchange.h"
#include "serve/forward.h"
#include "serve/view.h"

/* A claim decision sent by control; freed on the traffic thread. */
struct message {
    struct rk_traffic *t;
    struct rk_claim_reply reply;
};

static void enter_batch(void *ctx)
{
    struct rk_traffic *t = ctx;
    rk_view_enter(t->views);
}

static void leave_batch(void *ctx)
{
    struct rk_traffic *t = ctx;
    rk_view_leave(t->views);
}

static void on_recheck(void *ctx)
{
    rk_exchange_dispatch(ctx);
}

struct rk_traffic *rk_traffic_create(const struct rk_traffic_options *opt)
{
    struct rk_traffic *t = rk_alloc(1, sizeof(*t));
    t->opt = *opt;
    t->rng.state = opt->seed + opt->index;
    t->loop = rk_loop_create();
    t->http = rk_http_create(t->loop);
    t->router = rk_router_create(t->rng.state, opt->policy);
    t->views = rk_view_reader_create(opt->views);
    t->recheck_timer = (struct rk_timer){.fn = on_recheck, .ctx = t};
    rk_loop_set_hooks(t->loop, enter_batch, leave_batch, t);
    t->forwards = rk_forwards_create(t, opt->forward_fd);
    return t;
}

void rk_traffic_destroy(struct rk_traffic *t)
{
    if (!t)
        return;
    rk_view_enter(t->views);
    while (t->exchanges)
        rk_exchange_abort(t->exchanges);
    rk_forwards_destroy(t->forwards);
    rk_view_leave(t->views);
    rk_http_destroy(t->http);
    rk_view_reader_destroy(t->views);
    rk_router_destroy(t->router);
    rk_loop_destroy(t->loop);
    free(t->by_id);
    free(t);
}

const char *rk_traffic_forward_addr(const struct rk_traffic *t)
{
    return rk_forwards_addr(t->forwards);
}

void rk_traffic_run(struct rk_traffic *t)
{
    rk_loop_run(t->loop);
}

const struct rk_view *rk_traffic_view(struct rk_traffic *t)
{
    return rk_view_get(t->views);
}

size_t rk_traffic_in_flight(const struct rk_traffic *t)
{
    return t->exchanges_len;
}

void rk_traffic_end_resumable_streams(struct rk_traffic *t)
{
    rk_exchange_end_resumable(t);
}

void rk_traffic_refuse_forwards(struct rk_traffic *t)
{
    t->refuses_forwards = true;
}

void rk_traffic_end_calls(struct rk_traffic *t)
{
    t->ends_calls = true;
    rk_exchange_end_resumable(t);
    rk_exchange_end_all(t);
}

/* Counts this node and the peers of its failure domain that are not leaving. */
static int serving_nodes(const struct rk_view *v)
{
    int nodes = 1;
    for (size_t i = 0; i < v->peers_len; i++)
        nodes += !strcmp(v->peers[i].domain, v->domain) && !v->peers[i].leaving;
    return nodes;
}

static void on_view_changed(void *ctx)
{
    struct rk_traffic *t = ctx;
    const struct rk_view *v = rk_traffic_view(t);
    if (v->serial == t->view_serial)
        return;
    t->view_serial = v->serial;
    rk_router_set_node_count(t->router, serving_nodes(v));
    rk_router_update(t->router, v->config, v->vms, v->vms_len, v->domain,
                     rk_mono_ms());
    rk_exchange_view_changed(t);
}

void rk_traffic_view_changed(struct rk_traffic *t)
{
    /* If the queue is full the message is dropped, which is harmless: the next view
     * contains the same changes. */
    rk_loop_post(t->loop, on_view_changed, t);
}

/* Releases a claim that was granted but cannot be used by its call: the key was not
 * run and may be claimed again. */
static void release_claim(struct rk_traffic *t, const struct rk_claim_reply *r)
{
    if (r->decision == RK_CLAIM_GRANTED)
        t->opt.claims.finish(t->opt.claims.ctx, r->shard, r->key, RK_NOT_RUN, NULL,
                             0);
}

static void on_claim_decided(void *ctx)
{
    struct message *m = ctx;
    struct rk_exchange *x = rk_exchange_find(m->t, m->reply.ticket);
    if (x)
        rk_exchange_claim_decided(x, &m->reply);
    else
        release_claim(m->t, &m->reply);
    free(m->reply.answer.body);
    free(m);
}

void rk_traffic_claim_decided(struct rk_traffic *t,
                              const struct rk_claim_reply *reply)
{
    struct message *m = rk_alloc(1, sizeof(*m));
    *m = (struct message){.t = t, .reply = *reply};
    if (rk_loop_post(t->loop, on_claim_decided, m))
        return;
    /* The queue is full. The call ends at its deadline, and a granted claim is
     * released now. */
    release_claim(t, reply);
    free(m->reply.answer.body);
    free(m);
}
