#include "serve/forward.h"

#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/loop.h"
#include "core/members.h"
#include "peers/link.h"
#include "serve/exchange.h"
#include "serve/exchange_impl.h"
#include "serve/traffic.h"
#include "serve/view.h"

/* A peer that does not acknowledge a call within this time counts as lost for that
 * call. */
#define ACK_TIMEOUT_MS 500

/* A forwarded call that has not ended. */
struct outbound {
    uint64_t id;
    struct rk_forwards *f;
    struct peer *peer;
    struct rk_timer ack_timer;
    struct outbound *next;
};

/* Link to one peer. It is freed when the link goes down. */
struct peer {
    char id[RK_ID_MAX];
    struct rk_forwards *f;
    struct rk_link *link;
    struct outbound *calls;
    struct peer *next;
};

/* A call received from a peer. */
struct inbound {
    uint64_t id;
    struct conn *conn;
    /* id of the exchange, which a shutdown may have aborted without an outcome */
    uint64_t exchange;
    struct inbound *next;
};

/* A link opened by a peer. */
struct conn {
    struct rk_forwards *f;
    struct rk_link *link;
    struct inbound *calls;
    struct conn *next;
};

struct rk_forwards {
    struct rk_traffic *t;
    struct rk_listener *listener;
    struct peer *peers;
    struct conn *conns;
};

/* ---- outbound ---- */

static struct outbound **find_outbound(struct peer *p, uint64_t id)
{
    struct outbound **o = &p->calls;
    while (*o && (*o)->id != id)
        o = &(*o)->next;
    return o;
}

static bool remove_outbound(struct peer *p, uint64_t id)
{
    struct outbound **o = find_outbound(p, id), *removed = *o;
    if (!removed)
        return false;
    *o = removed->next;
    rk_timer_stop(p->f->t->loop, &removed->ack_timer);
    free(removed);
    return true;
}

/* Handles a forwarded call whose outcome never arrived from the peer: it ends, or
 * goes on here. */
static void fail_call(struct rk_forwards *f, uint64_t id, bool may_have_left,
                      const char *detail)
{
    struct rk_exchange *x = rk_exchange_find(f->t, id);
    if (!x)
        return;
    const struct rk_outcome o = {
        .status = 502,
        .verdict = may_have_left ? RK_MAY_HAVE_RUN : RK_NOT_RUN,
        .not_sent = !may_have_left,
        .detail = detail,
    };
    rk_exchange_on_peer_end(x, &o, true);
}

static void send_cancel(struct peer *p, uint64_t id)
{
    Rillknot__ForwardCancel c = RILLKNOT__FORWARD_CANCEL__INIT;
    c.id = id;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_FORWARD_CANCEL;
    frame.forward_cancel = &c;
    rk_link_send(p->link, &frame);
}

static void on_outbound_frame(void *ctx, struct rk_link *link,
                              const Rillknot__Frame *frame)
{
    (void)link;
    struct peer *p = ctx;
    struct rk_traffic *t = p->f->t;
    if (frame->body_case == RILLKNOT__FRAME__BODY_FORWARD_ACK) {
        struct outbound *o = *find_outbound(p, frame->forward_ack->id);
        if (o)
            rk_timer_stop(t->loop, &o->ack_timer);
    } else if (frame->body_case == RILLKNOT__FRAME__BODY_FORWARD_DATA) {
        const Rillknot__ForwardData *d = frame->forward_data;
        struct rk_exchange *x = rk_exchange_find(t, d->id);
        if (!x || !*find_outbound(p, d->id))
            return;
        const struct rk_answer_piece part = {.status = (int)d->status,
                                             .content_type = d->content_type,
                                             .index = d->index,
                                             .data = (const char *)d->data.data,
                                             .len = d->data.len};
        rk_exchange_on_peer_part(x, &part);
    } else if (frame->body_case == RILLKNOT__FRAME__BODY_FORWARD_END) {
        const Rillknot__ForwardEnd *e = frame->forward_end;
        struct rk_exchange *x = rk_exchange_find(t, e->id);
        if (!remove_outbound(p, e->id) || !x)
            return;
        const struct rk_outcome o = {.status = (int)e->status,
                                     .verdict = e->verdict <= RK_RAN
                                                    ? (enum rk_verdict)e->verdict
                                                    : RK_MAY_HAVE_RUN,
                                     .whole = e->whole,
                                     .not_sent = e->not_sent,
                                     .replayed = e->replayed,
                                     .resume = e->resume,
                                     .retry_after_ms = e->retry_after_ms,
                                     .detail = e->detail};
        rk_exchange_on_peer_end(x, &o, e->not_ready);
    }
}

/* Frees a peer whose link is down and ends the calls that were forwarded over
 * it. */
static void free_peer(struct peer *p)
{
    struct rk_forwards *f = p->f;
    bool may_have_left = rk_link_was_up(p->link);
    struct outbound *calls = p->calls;
    rk_link_destroy(p->link);
    free(p);
    for (struct outbound *next; calls; calls = next) {
        next = calls->next;
        uint64_t id = calls->id;
        rk_timer_stop(f->t->loop, &calls->ack_timer);
        free(calls);
        fail_call(f, id, may_have_left,
                  may_have_left ? "the link to the peer broke"
                                : "the peer can't be reached");
    }
}

static void drop_peer(struct peer *p)
{
    struct peer **at = &p->f->peers;
    while (*at != p)
        at = &(*at)->next;
    *at = p->next;
    free_peer(p);
}

static void on_outbound_down(void *ctx, struct rk_link *link)
{
    (void)link;
    drop_peer(ctx);
}

static void on_ack_timeout(void *ctx)
{
    struct outbound *o = ctx;
    struct peer *p = o->peer;
    uint64_t id = o->id;
    if (!rk_link_was_up(p->link)) {
        /* What waits for the connection would still be sent once it is up. */
        drop_peer(p);
        return;
    }
    send_cancel(p, id);
    remove_outbound(p, id);
    fail_call(p->f, id, true, "the peer doesn't answer");
}

static const struct rk_link_ops outbound_ops = {.on_frame = on_outbound_frame,
                                                .on_down = on_outbound_down};

/* Returns the link to a peer, opened if there is none yet; NULL on failure. */
static struct peer *connect_peer(struct rk_forwards *f, const struct rk_member *m)
{
    struct peer *p = f->peers;
    while (p && strcmp(p->id, m->id) != 0)
        p = p->next;
    if (p)
        return p;
    p = rk_alloc(1, sizeof(*p));
    p->f = f;
    rk_strcpy(p->id, sizeof(p->id), m->id);
    p->link = rk_link_connect(f->t->loop, m->forward_addr, &outbound_ops, p);
    if (!p->link) {
        free(p);
        return NULL;
    }
    p->next = f->peers;
    f->peers = p;
    return p;
}

bool rk_forwards_send(struct rk_forwards *f, const struct rk_member *m, uint64_t id,
                      const struct rk_request *r, int64_t deadline_left_ms)
{
    struct peer *p = connect_peer(f, m);
    if (!p)
        return false;
    Rillknot__ForwardBegin b = RILLKNOT__FORWARD_BEGIN__INIT;
    b.id = id;
    b.request_id = (char *)r->id;
    b.organisation = (char *)r->org;
    b.class_ = (char *)r->priority_class;
    b.service = (char *)r->service;
    b.call = (char *)r->call;
    b.method = (char *)r->method;
    b.path = (char *)r->path;
    b.key = (char *)r->key;
    b.content_type = (char *)r->content_type;
    b.body.data = (uint8_t *)r->body;
    b.body.len = r->body_len;
    b.deadline_left_ms = deadline_left_ms;
    b.resume_from = r->resume_from;
    b.hops = r->hops;
    b.to_owner = r->to_owner;
    b.stream = r->stream;
    b.claimed = r->claimed;
    b.completion = r->completion;
    b.chat = r->chat;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_FORWARD_BEGIN;
    frame.forward_begin = &b;
    if (!rk_link_send(p->link, &frame))
        return false;
    struct outbound *o = rk_alloc(1, sizeof(*o));
    *o = (struct outbound){.id = id, .f = f, .peer = p, .next = p->calls};
    o->ack_timer = (struct rk_timer){.fn = on_ack_timeout, .ctx = o};
    p->calls = o;
    rk_timer_start(f->t->loop, &o->ack_timer, ACK_TIMEOUT_MS);
    return true;
}

void rk_forwards_cancel(struct rk_forwards *f, const char *peer, uint64_t id)
{
    struct peer *p = f->peers;
    while (p && strcmp(p->id, peer) != 0)
        p = p->next;
    if (!p || !remove_outbound(p, id))
        return;
    send_cancel(p, id);
}

/* ---- inbound ---- */

static void remove_inbound(struct inbound *in)
{
    struct inbound **p = &in->conn->calls;
    while (*p != in)
        p = &(*p)->next;
    *p = in->next;
    free(in);
}

static void inbound_part(void *ctx, const struct rk_answer_piece *part)
{
    struct inbound *in = ctx;
    Rillknot__ForwardData d = RILLKNOT__FORWARD_DATA__INIT;
    d.id = in->id;
    d.status = (uint32_t)part->status;
    d.content_type = (char *)part->content_type;
    d.index = part->index;
    d.data.data = (uint8_t *)part->data;
    d.data.len = part->len;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_FORWARD_DATA;
    frame.forward_data = &d;
    rk_link_send(in->conn->link, &frame);
}

static void inbound_end(void *ctx, const struct rk_outcome *o)
{
    struct inbound *in = ctx;
    Rillknot__ForwardEnd e = RILLKNOT__FORWARD_END__INIT;
    e.id = in->id;
    e.status = (uint32_t)o->status;
    e.verdict = o->verdict;
    e.retry_after_ms = o->retry_after_ms;
    e.detail = (char *)(o->detail ? o->detail : "");
    e.whole = o->whole;
    e.not_sent = o->not_sent;
    e.replayed = o->replayed;
    e.resume = o->resume;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_FORWARD_END;
    frame.forward_end = &e;
    rk_link_send(in->conn->link, &frame);
    remove_inbound(in);
}

static const struct rk_answer_sink inbound_sink = {.on_answer_piece = inbound_part,
                                                   .on_answer_end = inbound_end};

static void send_ack(struct conn *c, uint64_t id)
{
    Rillknot__ForwardAck ack = RILLKNOT__FORWARD_ACK__INIT;
    ack.id = id;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_FORWARD_ACK;
    frame.forward_ack = &ack;
    rk_link_send(c->link, &frame);
}

/* Refuses a call that this node can't claim or run. Nothing was done with its key
 * here, so that the sender can claim it. */
static void refuse_call(struct conn *c, const Rillknot__ForwardBegin *b,
                        const char *detail)
{
    Rillknot__ForwardEnd e = RILLKNOT__FORWARD_END__INIT;
    e.id = b->id;
    e.status = 503;
    e.verdict = b->to_owner ? RK_MAY_HAVE_RUN : RK_NOT_RUN;
    e.retry_after_ms = RK_OVERLOAD_RETRY_MS;
    e.detail = (char *)detail;
    e.not_sent = true;
    e.not_ready = true;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_FORWARD_END;
    frame.forward_end = &e;
    rk_link_send(c->link, &frame);
}

static void accept_call(struct conn *c, const Rillknot__ForwardBegin *b)
{
    if (!rk_traffic_view(c->f->t)->config->head) {
        refuse_call(c, b, "the peer has no settings yet");
        return;
    }
    if (c->f->t->refuses_forwards) {
        refuse_call(c, b, "the peer stops");
        return;
    }
    struct rk_request r = {
        .deadline_in_ms = b->deadline_left_ms,
        .resume_from = b->resume_from,
        .completion = b->completion,
        .chat = b->chat,
        .stream = b->stream,
        .hops = b->hops,
        .to_owner = b->to_owner,
        .claimed = b->claimed,
    };
    rk_strcpy(r.id, sizeof(r.id), b->request_id);
    rk_strcpy(r.org, sizeof(r.org), b->organisation);
    rk_strcpy(r.priority_class, sizeof(r.priority_class), b->class_);
    rk_strcpy(r.service, sizeof(r.service), b->service);
    rk_strcpy(r.call, sizeof(r.call), b->call);
    rk_strcpy(r.method, sizeof(r.method), b->method);
    rk_strcpy(r.path, sizeof(r.path), b->path);
    rk_strcpy(r.key, sizeof(r.key), b->key);
    rk_strcpy(r.content_type, sizeof(r.content_type), b->content_type);
    r.body = rk_alloc(1, b->body.len + 1);
    if (b->body.len)
        memcpy(r.body, b->body.data, b->body.len);
    r.body_len = b->body.len;
    struct inbound *in = rk_alloc(1, sizeof(*in));
    *in = (struct inbound){.id = b->id, .conn = c, .next = c->calls};
    c->calls = in;
    rk_counter_add(RK_C_FORWARDED_IN, 1);
    send_ack(c, b->id);
    struct rk_exchange *x = rk_exchange_start(c->f->t, &r, &inbound_sink, in);
    if (x)
        in->exchange = rk_exchange_id(x);
}

static void cancel_inbound(struct inbound *in)
{
    struct rk_exchange *x = rk_exchange_find(in->conn->f->t, in->exchange);
    if (x)
        rk_exchange_cancel(x);
}

static void on_inbound_frame(void *ctx, struct rk_link *link,
                             const Rillknot__Frame *frame)
{
    (void)link;
    struct conn *c = ctx;
    if (frame->body_case == RILLKNOT__FRAME__BODY_FORWARD_BEGIN) {
        accept_call(c, frame->forward_begin);
    } else if (frame->body_case == RILLKNOT__FRAME__BODY_FORWARD_CANCEL) {
        struct inbound *in = c->calls;
        while (in && in->id != frame->forward_cancel->id)
            in = in->next;
        if (!in)
            return;
        cancel_inbound(in);
        remove_inbound(in);
    }
}

static void free_conn(struct conn *c)
{
    struct inbound *in = c->calls;
    c->calls = NULL;
    for (struct inbound *next; in; in = next) {
        next = in->next;
        cancel_inbound(in);
        free(in);
    }
    rk_link_destroy(c->link);
    free(c);
}

static void on_inbound_down(void *ctx, struct rk_link *link)
{
    (void)link;
    struct conn *c = ctx;
    struct conn **p = &c->f->conns;
    while (*p != c)
        p = &(*p)->next;
    *p = c->next;
    free_conn(c);
}

static const struct rk_link_ops inbound_ops = {.on_frame = on_inbound_frame,
                                               .on_down = on_inbound_down};

static void on_accept(void *ctx, struct rk_link *link)
{
    struct rk_forwards *f = ctx;
    struct conn *c = rk_alloc(1, sizeof(*c));
    *c = (struct conn){.f = f, .link = link, .next = f->conns};
    f->conns = c;
    rk_link_set_ctx(link, c);
}

/* ---- create and destroy ---- */

struct rk_forwards *rk_forwards_create(struct rk_traffic *t, int listen_fd)
{
    struct rk_forwards *f = rk_alloc(1, sizeof(*f));
    f->t = t;
    f->listener =
        rk_listener_create(t->loop, listen_fd, &inbound_ops, on_accept, f);
    return f;
}

void rk_forwards_destroy(struct rk_forwards *f)
{
    if (!f)
        return;
    rk_listener_destroy(f->listener);
    for (struct conn *c = f->conns, *next; c; c = next) {
        next = c->next;
        free_conn(c);
    }
    for (struct peer *p = f->peers, *next; p; p = next) {
        next = p->next;
        free_peer(p);
    }
    free(f);
}

const char *rk_forwards_addr(const struct rk_forwards *f)
{
    return rk_listener_addr(f->listener);
}
