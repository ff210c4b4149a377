/* The other nodes of a hosted deployment. Each node tells each other a report a
 * few times a second: its heartbeat, what it has in hand, what it used of quotas,
 * what it knows of the store. Whoever knows less of the store asks for it. */
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "core/quota.h"
#include "node/mesh_impl.h"
#include "objects/store.h"
#include "peers/link.h"

#define REPORT_MS      250
#define RELAY_SOON_MS  20  /* after a peer's report: for those that come together */
#define REPORT_SOON_MS 5   /* after news of the store */
#define HEARD_MS       900 /* a node silent for longer is not heard */
#define FORGET_MS      15000
#define FANOUT         12  /* peers told at once; of more, some in turn */
#define DIAL_MS        500 /* between tries to reach a node */
#define CONNECT_MS     1000
#define ASK_AGAIN_MS   300

/* ---- members ---- */

size_t rk_mesh_count(const struct rk_mesh *m)
{
    size_t count = 0;
    for (const struct member *k = m->members; k; k = k->next)
        count++;
    return count;
}

/* Rounds of reports until a node has told each other. */
static int64_t rounds(const struct rk_mesh *m)
{
    int64_t count = (int64_t)rk_mesh_count(m);
    return count > FANOUT ? (count + FANOUT - 1) / FANOUT : 1;
}

bool rk_mesh_is_heard(const struct member *k, int64_t now_ms)
{
    return k->heard_ms && now_ms - k->heard_ms < HEARD_MS * rounds(k->m);
}

static struct member *find_by_id(struct rk_mesh *m, const char *id)
{
    struct member *k = m->members;
    while (k && strcmp(k->id, id) != 0)
        k = k->next;
    return k;
}

static struct member *find_by_addr(struct rk_mesh *m, const char *addr)
{
    struct member *k = m->members;
    while (k && strcmp(k->addr, addr) != 0)
        k = k->next;
    return k;
}

static struct member *add_member(struct rk_mesh *m, const char *id,
                                 const char *addr)
{
    struct member *k = rk_alloc(1, sizeof(*k));
    k->m = m;
    k->known_ms = rk_mono_ms();
    rk_strcpy(k->id, sizeof(k->id), id);
    rk_strcpy(k->addr, sizeof(k->addr), addr);
    k->next = m->members;
    m->members = k;
    return k;
}

static void free_member(struct member *k)
{
    rk_link_destroy(k->link);
    free(k->loads);
    free(k->uses);
    free(k->services);
    free(k);
}

/* A node at an address; it may be known by that address only. */
struct member *rk_mesh_learn(struct rk_mesh *m, const char *id, const char *addr)
{
    struct member *k = id[0] ? find_by_id(m, id) : NULL;
    if (!k)
        k = find_by_addr(m, addr);
    if (!k)
        k = add_member(m, id, addr);
    if (id[0])
        rk_strcpy(k->id, sizeof(k->id), id);
    if (strcmp(k->addr, addr) != 0) {
        rk_strcpy(k->addr, sizeof(k->addr), addr);
        rk_link_destroy(k->link);
        k->link = NULL;
    }
    return k;
}

bool rk_mesh_is_self(const struct rk_mesh *m, const char *id, const char *addr)
{
    return !strcmp(id, m->n->file.id) ||
           !strcmp(addr, rk_listener_addr(m->listener));
}

int rk_mesh_heard(const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    int count = 1;
    for (const struct member *k = m->members; k; k = k->next)
        count += rk_mesh_is_heard(k, now_ms);
    return count;
}

/* A node that said that it leaves is gone once it is silent. */
int rk_mesh_total(const struct rk_mesh *m)
{
    int count = 1;
    int64_t now_ms = rk_mono_ms();
    for (const struct member *k = m->members; k; k = k->next)
        count += k->id[0] && (!k->leaving || rk_mesh_is_heard(k, now_ms));
    return m->listed || count > RK_UNKNOWN_NODES ? count : RK_UNKNOWN_NODES;
}

/* Forget who was silent for long, and log who came and went. */
static void review_members(struct rk_mesh *m, int64_t now_ms)
{
    for (struct member **at = &m->members; *at;) {
        struct member *k = *at;
        bool heard = rk_mesh_is_heard(k, now_ms);
        if (heard != k->heard) {
            k->heard = heard;
            RK_EVENT(heard ? "peer.heard" : "peer.silent", RK_S("peer", k->id),
                     RK_S("domain", k->domain), RK_N("leaving", k->leaving));
        }
        int64_t since = k->heard_ms ? k->heard_ms : k->known_ms;
        if (now_ms - since < FORGET_MS) {
            at = &k->next;
            continue;
        }
        RK_EVENT("peer.forgotten", RK_S("peer", k->id), RK_S("addr", k->addr));
        *at = k->next;
        free_member(k);
    }
}

/* ---- reports out ---- */

/* Tell up to `most` peers, going on where the last telling ended. */
static void tell(struct rk_mesh *m, size_t most)
{
    struct rk_report p;
    size_t count = rk_mesh_count(m), at = 0;
    m->told_ms = rk_mono_ms();
    rk_report_fill(&p, m);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_NODE_REPORT;
    frame.node_report = &p.report;
    for (struct member *k = m->members; k; k = k->next, at++) {
        bool in_turn = (at + count - m->turn % count) % count < most;
        if (in_turn && k->link && rk_link_was_up(k->link))
            rk_link_send(k->link, &frame);
    }
    if (count)
        m->turn = (m->turn + most) % count;
    rk_report_free(&p);
}

static void on_soon(void *ctx)
{
    struct rk_mesh *m = ctx;
    tell(m, m->urgent ? rk_mesh_count(m) : FANOUT);
    m->urgent = false;
}

void rk_mesh_report(struct rk_mesh *m, bool urgent)
{
    m->urgent = m->urgent || urgent;
    if (!m->soon.slot)
        rk_timer_start(m->n->loop, &m->soon, REPORT_SOON_MS);
}

/* ---- reports in ---- */

struct rk_service_use rk_mesh_service_use(const struct rk_mesh *m,
                                          const char *service)
{
    struct rk_service_use sum = {0};
    int64_t now_ms = rk_mono_ms();
    rk_strcpy(sum.service, sizeof(sum.service), service);
    for (const struct member *k = m->members; k; k = k->next)
        for (size_t i = 0; i < k->services_len; i++) {
            if (strcmp(k->services[i].service, service) != 0)
                continue;
            sum.read_tokens += k->services[i].read_tokens;
            if (rk_mesh_is_heard(k, now_ms))
                sum.running += k->services[i].running;
        }
    return sum;
}

/* Ask a peer that knows more of the store. */
static void ask_if_behind(struct rk_mesh *m, struct rk_link *link,
                          const Rillknot__NodeReport *r)
{
    Rillknot__StoreWanted w = RILLKNOT__STORE_WANTED__INIT;
    w.settings = r->settings_version > rk_sync_version(m->n->sync);
    w.list = r->list_revision > rk_sync_list_revision(m->n->sync);
    int64_t now_ms = rk_mono_ms();
    if ((!w.settings && !w.list) || now_ms - m->asked_ms < ASK_AGAIN_MS)
        return;
    m->asked_ms = now_ms;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_WANTED;
    frame.store_wanted = &w;
    rk_link_send(link, &frame);
}

static void take_report(struct rk_mesh *m, struct rk_link *link,
                        const Rillknot__NodeReport *r)
{
    if (rk_mesh_is_self(m, r->id, r->addr))
        return;
    struct member *k = rk_mesh_learn(m, r->id, r->addr);
    rk_report_take(k, r);
    if (!m->relay_soon.slot)
        rk_timer_start(m->n->loop, &m->relay_soon, RELAY_SOON_MS);
    if (r->lease)
        rk_duty_keeper_seen(m->n->duty_keeper, r->lease->version, r->lease->value);
    for (size_t i = 0; i < r->n_peers; i++)
        if (!rk_mesh_is_self(m, "", r->peers[i]) && !find_by_addr(m, r->peers[i]))
            add_member(m, "", r->peers[i]);
    ask_if_behind(m, link, r);
}

static void answer_wanted(struct rk_mesh *m, struct rk_link *link,
                          const Rillknot__StoreWanted *wanted)
{
    Rillknot__StoreText text;
    rk_sync_tell(m->n->sync, wanted, &text);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_TEXT;
    frame.store_text = &text;
    rk_link_send(link, &frame);
}

static void take_frame(struct rk_mesh *m, struct rk_link *link,
                       const Rillknot__Frame *frame)
{
    switch (frame->body_case) {
    case RILLKNOT__FRAME__BODY_NODE_REPORT:
        take_report(m, link, frame->node_report);
        return;
    case RILLKNOT__FRAME__BODY_STORE_WANTED:
        answer_wanted(m, link, frame->store_wanted);
        return;
    case RILLKNOT__FRAME__BODY_STORE_TEXT:
        rk_sync_take(m->n->sync, frame->store_text);
        return;
    default:
        return; /* of another kind of deployment */
    }
}

/* ---- links ---- */

static void on_member_frame(void *ctx, struct rk_link *link,
                            const Rillknot__Frame *frame)
{
    struct member *k = ctx;
    take_frame(k->m, link, frame);
}

static void on_member_down(void *ctx, struct rk_link *link)
{
    struct member *k = ctx;
    rk_link_destroy(link);
    k->link = NULL;
}

static void on_member_up(void *ctx, struct rk_link *link)
{
    (void)link;
    struct member *k = ctx;
    rk_mesh_report(k->m, false);
}

static const struct rk_link_ops member_ops = {
    .on_frame = on_member_frame, .on_up = on_member_up, .on_down = on_member_down};

static void on_guest_frame(void *ctx, struct rk_link *link,
                           const Rillknot__Frame *frame)
{
    struct guest *g = ctx;
    take_frame(g->m, link, frame);
}

static void on_guest_down(void *ctx, struct rk_link *link)
{
    struct guest *g = ctx;
    struct guest **at = &g->m->guests;
    while (*at != g)
        at = &(*at)->next;
    *at = g->next;
    rk_link_destroy(link);
    free(g);
}

static const struct rk_link_ops guest_ops = {.on_frame = on_guest_frame,
                                             .on_down = on_guest_down};

static void on_accept(void *ctx, struct rk_link *link)
{
    struct rk_mesh *m = ctx;
    struct guest *g = rk_alloc(1, sizeof(*g));
    *g = (struct guest){.m = m, .link = link, .next = m->guests};
    m->guests = g;
    rk_link_set_ctx(link, g);
}

/* Keep a link to each member. */
void rk_mesh_dial(struct rk_mesh *m, int64_t now_ms)
{
    for (struct member *k = m->members; k; k = k->next) {
        bool stuck = k->link && !rk_link_was_up(k->link) &&
                     now_ms - k->dialled_ms > CONNECT_MS;
        if (stuck) {
            rk_link_destroy(k->link);
            k->link = NULL;
        }
        if (k->link || (k->dialled_ms && now_ms - k->dialled_ms < DIAL_MS))
            continue;
        k->dialled_ms = now_ms;
        k->link = rk_link_connect(m->n->loop, k->addr, &member_ops, k);
    }
}

/* ---- the relay's view of the peers ---- */

/* What the peer with the longest memory knows of quotas. */
static void fill_known(const struct rk_mesh *m, struct rk_relay_peers *p,
                       int64_t now_ms)
{
    const struct member *best = NULL;
    for (const struct member *k = m->members; k; k = k->next)
        if (rk_mesh_is_heard(k, now_ms) &&
            (!best || k->remembers_ms > best->remembers_ms))
            best = k;
    if (!best)
        return;
    p->remembers_ms = best->remembers_ms;
    p->known = rk_alloc(best->uses_len + 1, sizeof(*p->known));
    p->known_len = best->uses_len;
    for (size_t i = 0; i < best->uses_len; i++)
        p->known[i] = best->uses[i];
}

static void tell_relay(struct rk_mesh *m, int64_t now_ms)
{
    struct rk_relay_peers *p = rk_alloc(1, sizeof(*p));
    size_t loads = 0;
    for (struct member *k = m->members; k; k = k->next)
        loads += rk_mesh_is_heard(k, now_ms) ? k->loads_len : 0;
    p->loads = rk_alloc(loads + 1, sizeof(*p->loads));
    for (struct member *k = m->members; k; k = k->next) {
        if (!rk_mesh_is_heard(k, now_ms) || !k->loads_len)
            continue;
        memcpy(p->loads + p->loads_len, k->loads, k->loads_len * sizeof(*k->loads));
        p->loads_len += k->loads_len;
    }
    fill_known(m, p, now_ms);
    p->uses = m->news;
    p->uses_len = m->news_len;
    m->news = NULL;
    m->news_len = 0;
    p->nodes_heard = rk_mesh_heard(m);
    p->nodes_total = rk_mesh_total(m);
    p->lag_ms = REPORT_MS * rounds(m);
    rk_relay_set_peers(m->n->relay, p);
}

static void on_tick(void *ctx)
{
    struct rk_mesh *m = ctx;
    int64_t now_ms = rk_mono_ms();
    rk_timer_start(m->n->loop, &m->tick, REPORT_MS);
    rk_log_flush();
    review_members(m, now_ms);
    rk_mesh_dial(m, now_ms);
    if (now_ms - m->told_ms >= REPORT_MS)
        tell(m, FANOUT); /* else the relay's reports set the pace */
    tell_relay(m, now_ms);
}

static void on_relay_soon(void *ctx)
{
    tell_relay(ctx, rk_mono_ms());
}

/* ---- making ---- */

struct rk_mesh *rk_mesh_create(struct rk_node *n)
{
    struct rk_mesh *m = rk_alloc(1, sizeof(*m));
    m->n = n;
    m->tick = (struct rk_timer){.fn = on_tick, .ctx = m};
    m->relay_soon = (struct rk_timer){.fn = on_relay_soon, .ctx = m};
    m->soon = (struct rk_timer){.fn = on_soon, .ctx = m};
    rk_enrol_init(m);
    m->listener = rk_listener_create(n->loop, n->file.control_listen, &guest_ops,
                                     on_accept, m);
    if (m->listener)
        return m;
    free(m);
    return NULL;
}

const char *rk_mesh_addr(const struct rk_mesh *m)
{
    return rk_listener_addr(m->listener);
}

void rk_mesh_start(struct rk_mesh *m)
{
    for (size_t i = 0; i < m->n->file.peers_len; i++) {
        const char *addr = m->n->file.peers[i];
        if (!rk_mesh_is_self(m, "", addr) && !find_by_addr(m, addr))
            add_member(m, "", addr);
    }
    rk_timer_start(m->n->loop, &m->tick, 0);
    rk_enrol_start(m);
}

void rk_mesh_destroy(struct rk_mesh *m)
{
    rk_timer_stop(m->n->loop, &m->tick);
    rk_timer_stop(m->n->loop, &m->soon);
    rk_timer_stop(m->n->loop, &m->relay_soon);
    rk_timer_stop(m->n->loop, &m->enrol);
    while (m->members) {
        struct member *k = m->members;
        m->members = k->next;
        free_member(k);
    }
    while (m->guests) {
        struct guest *g = m->guests;
        m->guests = g->next;
        rk_link_destroy(g->link);
        free(g);
    }
    rk_listener_destroy(m->listener);
    free(m->news);
    free(m);
}
