/* Forwards calls to peers that reach the VMs, when this node does not, and takes
 * such calls from peers. A forwarded call is an HTTP request to the peer's listener
 * for such calls, with the caller's headers and one more: the version of the routes
 * by which it was admitted, and its attempts so far. The peer routes it, and passes
 * the VM's answer back; it does not forward it once more. */
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "common/retry_after.h"
#include "serve/relay_call_impl.h"

/* Header of the answer to a call that the peer does not take; see
 * refusal_names. */
#define HEADER_REFUSED     "Rillknot-Forward-Refused"
#define HEADER_RETRY_AFTER "Retry-After"
#define ATTEMPTS_MAX       1000 /* as of a route's maxAttempts */
#define CONNECT_TIMEOUT_MS 100
#define MAX_CONNS          256 /* to one peer */
/* How long a peer gets no calls after it was unreachable or silent, and no calls of
 * a service after it refused one because it reaches no VM of it. */
#define PEER_DOWN_MS    1000
#define PEER_REFUSED_MS 2000 /* longest, if the peer says how long */
/* Peers without room that a call is forwarded to; then it is rejected. */
#define MAX_WITHOUT_ROOM 2
/* Longest silence of a peer. It may send the call to two VMs, one after the other,
 * when the first one is silent. */
#define PLAIN_SILENCE_MS        400
#define REFUSED_HEADERS_MAX_LEN 128

static const char *const refusal_names[] = {
    [RK_FORWARD_NO_VM] = "no-vm",
    [RK_FORWARD_NO_ROOM] = "no-room",
    [RK_FORWARD_BEHIND] = "behind",
    [RK_FORWARD_STOPS] = "stops",
};

struct forward_peer {
    struct rk_forward_peer row;
    uint64_t hash; /* of its id */
    int64_t down_until_ms;
    /* It refused a call of this service. */
    char refused_service[RK_ID_MAX];
    int64_t refused_until_ms;
};

struct rk_forward_table {
    struct forward_peer peers[RK_FORWARD_PEERS_MAX];
    size_t len;
};

void rk_relay_forwards_init(struct rk_relay *r)
{
    r->forwards = rk_alloc(1, sizeof(*r->forwards));
}

void rk_relay_forwards_free(struct rk_relay *r)
{
    free(r->forwards);
}

/* Returns an entry of the peer, which may have several; NULL if there is none. What
 * is known of the peer is the same in all of them. */
static const struct forward_peer *find_peer(const struct rk_forward_table *t,
                                            const char *id)
{
    for (size_t i = 0; i < t->len; i++)
        if (!strcmp(t->peers[i].row.id, id))
            return &t->peers[i];
    return NULL;
}

void rk_relay_forwards_set(struct rk_relay *r, const struct rk_forward_peer *peers,
                           size_t len)
{
    struct rk_forward_table next = {.len = len};
    for (size_t i = 0; i < len; i++) {
        const struct forward_peer *known = find_peer(r->forwards, peers[i].id);
        if (known)
            next.peers[i] = *known;
        next.peers[i].row = peers[i];
        next.peers[i].hash = rk_hash_str(0, peers[i].id);
    }
    *r->forwards = next;
}

/* ---- choice of a peer ---- */

static bool was_tried(const struct rk_relay_call *x, const struct forward_peer *p)
{
    for (size_t i = 0; i < x->tried_peers_len; i++)
        if (x->tried_peers[i] == p->hash)
            return true;
    return false;
}

static bool may_take(const struct rk_relay_call *x, const struct forward_peer *p,
                     int64_t now_ms)
{
    bool refused = now_ms < p->refused_until_ms &&
                   !strcmp(p->refused_service, x->query.service);
    bool other_service =
        p->row.service[0] && strcmp(p->row.service, x->query.service) != 0;
    return now_ms >= p->down_until_ms && !refused && !other_service &&
           !was_tried(x, p);
}

/* Orders peers that may take the call; the highest one is the best. Peers that
 * share brittle VMs of its service come first, then those of this failure domain.
 * After a peer of this domain has refused the call, those of other domains come
 * first: the domain may be cut off. */
static int preference(const struct rk_relay_call *x, const struct forward_peer *p)
{
    int near = p->row.same_domain == !x->tried_peers_len;
    return p->row.service[0] ? 2 + near : near;
}

/* Returns a random one of the best peers for the call; NULL if there is none. */
static struct forward_peer *choose_peer(struct rk_relay_call *x)
{
    struct rk_forward_table *t = x->r->forwards;
    struct forward_peer *best = NULL;
    int64_t now_ms = rk_mono_ms();
    size_t start = t->len ? rk_rng_below(&x->r->rng, (uint32_t)t->len) : 0;
    for (size_t i = 0; i < t->len; i++) {
        struct forward_peer *p = &t->peers[(start + i) % t->len];
        if (may_take(x, p, now_ms) &&
            (!best || preference(x, p) > preference(x, best)))
            best = p;
    }
    return best;
}

/* ---- the request ---- */

static const struct rk_upstream_ops forward_ops;

/* Returns the attempts that the peer has to count as made, so that it sends the
 * call to one VM. This node counts that as one attempt: the peer may fall silent,
 * and how many VMs it tried would not be known. */
static int attempts_to_count(const struct rk_relay_call *x)
{
    int all_but_one = x->route->max_attempts - 1;
    return x->attempts > all_but_one ? x->attempts : all_but_one;
}

static bool start(struct rk_relay_call *x, const struct forward_peer *p)
{
    struct rk_buf head = {0};
    struct rk_upstream_spec spec = {
        .vm_id = p->row.id,
        .addr = p->row.addr,
        .connect_ms = CONNECT_TIMEOUT_MS,
        .max_conns = MAX_CONNS,
        .ops = &forward_ops,
    };
    rk_call_begin_head(x, true, &head);
    rk_buf_printf(&head, RK_HEADER_FORWARDED ": %" PRId64 " %d %d %s\r\n",
                  x->routes->version, attempts_to_count(x), x->retries_earned,
                  x->query.service);
    if (x->query.version[0])
        rk_buf_printf(&head, RK_HEADER_STREAM_VERSION ": %s\r\n", x->query.version);
    rk_call_end_head(x, &head);
    return rk_call_start_upstream(x, &spec, &head);
}

static void start_silence_timer(struct rk_relay_call *x)
{
    rk_call_start_silence_timer(x, PLAIN_SILENCE_MS, STREAM_PEER_SILENCE_MS);
}

bool rk_call_forward(struct rk_relay_call *x)
{
    if (x->is_forwarded || !x->client || x->peers_without_room >= MAX_WITHOUT_ROOM)
        return false;
    while (x->tried_peers_len < MAX_FORWARDS) {
        struct forward_peer *p = choose_peer(x);
        if (!p)
            return false;
        x->tried_peers[x->tried_peers_len++] = p->hash;
        if (!start(x, p))
            continue;
        rk_strcpy(x->peer, sizeof(x->peer), p->row.id);
        x->attempts++;
        x->vm_head_ms = x->vm_first_ms = 0;
        x->last_vm[0] = x->last_vm_domain[0] = '\0';
        rk_counter_add(RK_C_FORWARDS, 1);
        rk_call_log_forwarded(x);
        start_silence_timer(x);
        return true;
    }
    return false;
}

/* ---- the answer ---- */

static void note_peer_down(struct rk_relay_call *x)
{
    struct rk_forward_table *t = x->r->forwards;
    for (size_t i = 0; i < t->len; i++)
        if (!strcmp(t->peers[i].row.id, x->peer))
            t->peers[i].down_until_ms = rk_mono_ms() + PEER_DOWN_MS;
}

/* Returns for how long a peer that refused a call gets no other of its service. */
static int64_t refused_for_ms(const struct rk_head *head, const char *why)
{
    if (!strcmp(why, refusal_names[RK_FORWARD_NO_VM]) ||
        !strcmp(why, refusal_names[RK_FORWARD_STOPS]))
        return PEER_REFUSED_MS;
    const char *retry_after = rk_head_get(head, HEADER_RETRY_AFTER);
    int64_t ms = retry_after ? rk_retry_after_ms(retry_after) : 0;
    if (strcmp(why, refusal_names[RK_FORWARD_NO_ROOM]) != 0 || ms < 0)
        return 0;
    return ms < PEER_REFUSED_MS ? ms : PEER_REFUSED_MS;
}

static void note_peer_refused(struct rk_relay_call *x, const struct rk_head *head,
                              const char *why)
{
    struct rk_forward_table *t = x->r->forwards;
    int64_t wait_ms = refused_for_ms(head, why);
    rk_counter_add(RK_C_FORWARDS_REFUSED, 1);
    if (!strcmp(why, refusal_names[RK_FORWARD_NO_ROOM]))
        x->peers_without_room++;
    if (!wait_ms)
        return;
    for (size_t i = 0; i < t->len; i++) {
        struct forward_peer *p = &t->peers[i];
        if (strcmp(p->row.id, x->peer) != 0)
            continue;
        rk_strcpy(p->refused_service, sizeof(p->refused_service), x->query.service);
        p->refused_until_ms = rk_mono_ms() + wait_ms;
    }
}

static enum rk_head_action on_head(void *ctx, const struct rk_head *head)
{
    struct rk_relay_call *x = ctx;
    const struct rk_dialect *d = x->r->opt.dialect;
    const char *refused = rk_head_get(head, HEADER_REFUSED);
    const char *version = rk_head_get(head, RK_HEADER_STREAM_VERSION);
    bool success = head->status / 100 == 2;
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->vm_head_ms = rk_mono_ms();
    x->framing = rk_head_framing(head);
    rk_strcpy(x->peer_version, sizeof(x->peer_version), version ? version : "");
    if (refused) {
        note_peer_refused(x, head, refused);
        x->answer_class = ANSWER_NOT_RUN;
        return RK_HEAD_DISCARD;
    }
    bool not_run =
        rk_call_implies_not_run(head->status) && !rk_head_get(head, d->signature);
    /* The peer's own failure means that its attempt failed. A stream that has begun
     * can only go on with a success, and a call that may have run at a VM of this
     * node must not be reported as not run. */
    bool failed =
        head->status == HTTP_BAD_GATEWAY && !rk_head_get(head, d->signature);
    if (failed || (x->begun && !success) || (x->may_have_run && not_run)) {
        x->answer_class = ANSWER_RETRY;
        return RK_HEAD_DISCARD;
    }
    x->answer_class = ANSWER_PASS;
    x->ran = !not_run;
    if (x->peer_version[0])
        rk_call_bind_version(x);
    if (x->org && not_run)
        rk_quota_refund(&x->r->quota, x->org->name, x->units, rk_mono_ms());
    if (x->route->kind == RK_CALL_STREAM)
        rk_timer_start(x->r->loop, &x->silence_timer, STREAM_PEER_SILENCE_MS);
    if (!x->begun)
        rk_call_begin_answer(x, head);
    return RK_HEAD_ACCEPT;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_relay_call *x = ctx;
    if (x->route->kind == RK_CALL_STREAM)
        rk_timer_start(x->r->loop, &x->silence_timer, STREAM_PEER_SILENCE_MS);
    rk_call_pass_body(x, data, len);
}

/* The peer has not taken the call: it is as if it had not been forwarded. */
static void try_next(struct rk_relay_call *x)
{
    x->attempts--;
    x->answer_class = ANSWER_PENDING;
    x->peer[0] = '\0';
    rk_timer_stop(x->r->loop, &x->silence_timer);
    if (x->client)
        rk_call_send(x);
    else
        rk_call_give_up(x, 0, 0, "the caller is gone");
}

static void on_end(void *ctx)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    switch (x->answer_class) {
    case ANSWER_NOT_RUN:
        try_next(x);
        return;
    case ANSWER_RETRY:
        rk_call_attempt_failed(x, true, RK_PLACE_ERROR,
                               "the peer answered a failure");
        return;
    case ANSWER_PENDING:
    case ANSWER_PASS:
        break;
    }
    rk_call_end_attempt(x, RK_PLACE_DONE);
    rk_call_finish_answer(x);
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_relay_call *x = ctx;
    x->up = NULL;
    if (x->answer_class == ANSWER_NOT_RUN) {
        try_next(x);
        return;
    }
    if (!f->may_have_reached)
        note_peer_down(x);
    rk_call_attempt_failed(x, f->may_have_reached, RK_PLACE_LOST, f->cause);
}

static const struct rk_upstream_ops forward_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};

void rk_call_forward_silent(struct rk_relay_call *x)
{
    if (!rk_call_has_retry(x)) {
        start_silence_timer(x);
        return;
    }
    bool sent = !x->up || rk_upstream_may_have_sent(x->up);
    note_peer_down(x);
    if (x->up)
        rk_upstream_cancel(x->up);
    x->up = NULL;
    rk_call_attempt_failed(x, sent, RK_PLACE_LOST, "the peer is silent");
}

/* ---- calls of peers ---- */

void rk_call_refuse_forwarded(struct rk_client *client, enum rk_forward_refusal why,
                              int64_t retry_after_ms)
{
    char headers[REFUSED_HEADERS_MAX_LEN];
    int len = snprintf(headers, sizeof(headers), HEADER_REFUSED ": %s\r\n",
                       refusal_names[why]);
    if (retry_after_ms > 0)
        snprintf(headers + len, sizeof(headers) - (size_t)len,
                 HEADER_RETRY_AFTER ": %.3f\r\n",
                 (double)retry_after_ms / RK_MS_PER_S);
    rk_client_answer(client, HTTP_UNAVAILABLE, headers, "", 0);
}

bool rk_call_parse_forwarded(const struct rk_head *head, struct rk_forwarded *out)
{
    const char *text = rk_head_get(head, RK_HEADER_FORWARDED);
    int earned = 0, service_at = 0;
    int fields = text ? sscanf(text, "%" SCNd64 " %d %d %n", &out->routes_version,
                               &out->attempts, &earned, &service_at)
                      : 0;
    out->service[0] = '\0';
    if (service_at &&
        !rk_strcpy(out->service, sizeof(out->service), text + service_at))
        return false;
    out->retries_earned = earned;
    return fields >= 2 && out->attempts >= 0 && out->attempts <= ATTEMPTS_MAX;
}
