/* Links to the other nodes and who is told what. Each node tells a report a few
 * times a second: its heartbeat, what it has in hand, what it used of quotas, what
 * it knows of the store. In a small fleet each tells each; in a larger one each
 * tells the bridges of its failure domain, who tell digests on. Whoever knows less
 * of the store asks for it. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "core/quota.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define REPORT_MS      250
#define BRIDGED_LAG_MS 450 /* age of what bridges tell of other nodes */
#define RELAY_SOON_MS  20  /* after a peer's report: for those that come together */
#define RELAY_PACE_MS  100 /* the same at a bridge: reports come each few ms */
#define REPORT_SOON_MS 5   /* after news of the store */
#define DIAL_MS        500 /* between tries to reach a node */
#define CONNECT_MS     1000
#define UNWANTED_MS    5000 /* a link that nobody needs is kept for so long */
#define ASK_AGAIN_MS   300
#define LATE_SHARE     0.4 /* weight of a tick: slow after half a second of it */
/* Ticks come a few ms late; a node that runs at a fifth of its speed is behind by
 * all it does in between. Digests that are so much later are half as old again. */
#define LATE_MS      100.0
#define LATE_OVER_MS 30.0 /* it isn't slow any more */

/* ---- reports out ---- */

bool rk_mesh_takes(const struct rk_link *link)
{
    return link && rk_link_was_up(link) && rk_link_unsent(link) < RK_MESH_BEHIND;
}

bool rk_mesh_is_told(const struct member *k)
{
    const struct rk_mesh *m = k->m;
    return m->direct || (rk_mesh_is_near(k) && k->bridge);
}

void rk_mesh_send(struct rk_mesh *m, const Rillknot__Frame *frame,
                  bool (*wants)(const struct member *k, const void *ctx),
                  const void *ctx)
{
    struct rk_packed_frame packed = {0};
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        if (!wants(k, ctx) || !rk_mesh_takes(k->link))
            continue;
        if (!packed.len)
            packed = rk_frame_pack(frame);
        rk_link_send_packed(k->link, &packed);
    }
    rk_packed_frame_free(&packed);
}

bool rk_mesh_passes_on(const struct member *k, const void *ctx)
{
    const struct rk_mesh *m = k->m;
    (void)ctx;
    if (m->direct)
        return true;
    return rk_mesh_is_near(k) ? k->bridge || m->bridge : k->bridge && m->bridge;
}

static bool wants_report(const struct member *k, const void *ctx)
{
    (void)ctx;
    return rk_mesh_is_told(k);
}

static void tell(struct rk_mesh *m)
{
    struct rk_report p;
    m->told_ms = rk_mono_ms();
    rk_report_fill(&p, m);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_NODE_REPORT;
    frame.node_report = &p.report;
    rk_mesh_send(m, &frame, wants_report, NULL);
    rk_report_note_uses(m, &p);
    rk_report_free(&p);
}

static void on_soon(void *ctx)
{
    tell(ctx);
}

void rk_mesh_report(struct rk_mesh *m)
{
    if (!m->soon.slot)
        rk_timer_start(m->n->loop, &m->soon, REPORT_SOON_MS);
}

/* ---- changes of the list ---- */

static bool wants_change(const struct member *k, const void *ctx)
{
    const bool *from_store = ctx;
    return rk_mesh_is_near(k) || (*from_store && k->bridge);
}

void rk_mesh_push(struct rk_mesh *m, const Rillknot__StoreText *text,
                  bool from_store)
{
    if (!m->bridge)
        return;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_TEXT;
    frame.store_text = (Rillknot__StoreText *)text;
    rk_mesh_send(m, &frame, wants_change, &from_store);
}

void rk_mesh_ask_if_behind(struct rk_mesh *m, struct rk_link *link,
                           const struct link_told *told, int64_t settings_version,
                           int64_t list_revision)
{
    Rillknot__StoreWanted w = RILLKNOT__STORE_WANTED__INIT;
    int64_t now_ms = rk_mono_ms();
    w.settings = rk_tell_should_ask(m, told, settings_version, now_ms);
    w.list = list_revision > rk_sync_list_revision(m->n->sync) &&
             now_ms - m->asked_ms >= ASK_AGAIN_MS;
    w.list_since = rk_sync_list_revision(m->n->sync);
    if (!w.settings && !w.list)
        return;
    if (w.list)
        m->asked_ms = now_ms;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_WANTED;
    frame.store_wanted = &w;
    rk_link_send(link, &frame);
}

static void answer_wanted(struct rk_mesh *m, struct rk_link *link,
                          struct link_told *told,
                          const Rillknot__StoreWanted *wanted)
{
    if (wanted->settings)
        rk_tell_wanted(m, told);
    if (wanted->uses) {
        m->uses_wanted = true;
        m->known_wanted = m->known_wanted || wanted->known;
        rk_mesh_report(m);
    }
    if (wanted->list)
        rk_tell_list_wanted(m, link, told, wanted->list_since);
}

/* ---- frames in ---- */

static void relay_soon(struct rk_mesh *m)
{
    if (!m->relay_soon.slot)
        rk_timer_start(m->n->loop, &m->relay_soon,
                       m->bridge ? RELAY_PACE_MS : RELAY_SOON_MS);
}

static void take_lease(struct rk_mesh *m, const Rillknot__LeaseRow *lease)
{
    if (lease)
        rk_duty_keeper_seen(m->n->duty_keeper, lease->version, lease->value);
}

void rk_mesh_want_uses(struct rk_link *link, bool known)
{
    Rillknot__StoreWanted w = RILLKNOT__STORE_WANTED__INIT;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    w.uses = true;
    w.known = known;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_WANTED;
    frame.store_wanted = &w;
    rk_link_send(link, &frame);
}

static void take_report(struct rk_mesh *m, struct rk_link *link,
                        struct link_told *told, const Rillknot__NodeReport *r)
{
    if (rk_mesh_is_self(m, r->id, r->addr))
        return;
    struct member *k = rk_mesh_learn(m, r->id, r->addr);
    if (!rk_report_take(k, r))
        return;
    k->settings_version = r->settings_version;
    if (r->settings_version < rk_sync_version(m->n->sync))
        rk_tell_soon(m);
    rk_sync_confirm(m->n->sync, r->store_age_ms, r->settings_version,
                    r->list_revision);
    if (rk_report_counts(k))
        relay_soon(m);
    take_lease(m, r->lease);
    for (size_t i = 0; i < r->n_peers; i++)
        if (!rk_mesh_is_self(m, "", r->peers[i]) &&
            !rk_mesh_find_addr(m, r->peers[i]))
            rk_mesh_learn(m, "", r->peers[i]);
    if (!m->direct && !r->settings_version)
        rk_digest_answer(m, link, told);
    if (rk_report_lacks_uses(k, rk_mono_ms()))
        rk_mesh_want_uses(link, false);
    rk_mesh_ask_if_behind(m, link, told, r->settings_version, r->list_revision);
}

static void take_digest(struct rk_mesh *m, struct rk_link *link,
                        const struct link_told *told, const Rillknot__Digest *d)
{
    if (rk_mesh_is_self(m, d->id, d->addr))
        return;
    struct member *k = rk_mesh_learn(m, d->id, d->addr);
    if (!rk_mesh_hears_life(k, d->incarnation))
        return;
    if (rk_digest_take(k, d))
        relay_soon(m);
    rk_sync_confirm(m->n->sync, d->store_age_ms, d->settings_version,
                    d->list_revision);
    take_lease(m, d->lease);
    rk_mesh_ask_if_behind(m, link, told, d->settings_version, d->list_revision);
}

static void take_frame(struct rk_mesh *m, struct rk_link *link,
                       struct link_told *told, const Rillknot__Frame *frame)
{
    switch (frame->body_case) {
    case RILLKNOT__FRAME__BODY_NODE_REPORT:
        take_report(m, link, told, frame->node_report);
        return;
    case RILLKNOT__FRAME__BODY_DIGEST:
        take_digest(m, link, told, frame->digest);
        return;
    case RILLKNOT__FRAME__BODY_USAGE_COUNTS:
        rk_usage_take(m->n, frame->usage_counts->rows, frame->usage_counts->n_rows);
        return;
    case RILLKNOT__FRAME__BODY_ROLLOUT_WORD:
        rk_rollout_tell_take_word(m, frame->rollout_word);
        return;
    case RILLKNOT__FRAME__BODY_ROLLOUT_SEEN:
        rk_rollout_tell_take_seen(m, frame->rollout_seen);
        return;
    case RILLKNOT__FRAME__BODY_QUARANTINE:
        rk_quarantine_take(m, frame->quarantine);
        return;
    case RILLKNOT__FRAME__BODY_VM_SIGNALS:
        rk_signal_take(m, frame->vm_signals);
        return;
    case RILLKNOT__FRAME__BODY_STORE_WANTED:
        answer_wanted(m, link, told, frame->store_wanted);
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
    take_frame(k->m, link, &k->told, frame);
}

static void on_member_down(void *ctx, struct rk_link *link)
{
    struct member *k = ctx;
    rk_link_destroy(link);
    k->link = NULL;
    k->told = (struct link_told){0};
}

static void on_member_up(void *ctx, struct rk_link *link)
{
    (void)link;
    struct member *k = ctx;
    rk_mesh_report(k->m);
}

static const struct rk_link_ops member_ops = {
    .on_frame = on_member_frame, .on_up = on_member_up, .on_down = on_member_down};

static void on_guest_frame(void *ctx, struct rk_link *link,
                           const Rillknot__Frame *frame)
{
    struct guest *g = ctx;
    take_frame(g->m, link, &g->told, frame);
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

/* Does this node have to reach a member? */
static bool is_needed(const struct member *k)
{
    const struct rk_mesh *m = k->m;
    if (rk_mesh_is_told(k) || !k->id[0])
        return true;
    return m->bridge && (rk_mesh_is_near(k) || k->bridge || !k->domain[0]);
}

static void hang_up(struct member *k)
{
    rk_link_destroy(k->link);
    k->link = NULL;
    k->told = (struct link_told){0};
}

/* Keep a link to each member that has to be reached. */
void rk_mesh_dial(struct rk_mesh *m, int64_t now_ms)
{
    for (struct member *k = m->members; k; k = k->next) {
        if (is_needed(k))
            k->wanted_ms = now_ms;
        bool wanted = k->wanted_ms && now_ms - k->wanted_ms < UNWANTED_MS;
        bool stuck = k->link && !rk_link_was_up(k->link) &&
                     now_ms - k->dialled_ms > CONNECT_MS;
        if (k->link && (stuck || !wanted))
            hang_up(k);
        if (k->link || !wanted ||
            (k->dialled_ms && now_ms - k->dialled_ms < DIAL_MS))
            continue;
        k->dialled_ms = now_ms;
        rk_mesh_meet(k);
        k->link = rk_link_connect(m->n->loop, k->addr, &member_ops, k);
    }
}

/* ---- the relay's view of the peers ---- */

void rk_mesh_add_news(struct rk_mesh *m, const char *org, double units)
{
    if (units == 0)
        return;
    m->news = rk_realloc(m->news, (m->news_len + 1) * sizeof(*m->news));
    struct rk_org_use *news = &m->news[m->news_len++];
    *news = (struct rk_org_use){.units = units};
    rk_strcpy(news->org, sizeof(news->org), org);
}

struct rk_service_use rk_mesh_service_use(const struct rk_mesh *m,
                                          const char *service)
{
    int64_t now_ms = rk_mono_ms();
    struct rk_service_use sum = {.read_tokens =
                                     rk_tally_total(&m->peer_reads, service)};
    rk_strcpy(sum.service, sizeof(sum.service), service);
    struct rk_in_hand peers = rk_loads_in_hand(m, service, now_ms);
    sum.running = peers.running;
    sum.begun = peers.begun;
    sum.engine = rk_engines_of(m, service, true);
    return sum;
}

/* What the peer with the longest memory knows of quotas. */
static void fill_known(struct rk_mesh *m, struct rk_relay_peers *p, int64_t now_ms)
{
    p->catch_up = m->catch_up != NULL;
    const struct rk_org_use *uses = NULL;
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (!k->knows || !rk_mesh_is_heard(k, now_ms) ||
            (uses && k->remembers_ms <= p->remembers_ms))
            continue;
        p->remembers_ms = k->remembers_ms;
        p->known_len = k->uses.len;
        uses = k->uses.rows;
    }
    const struct member *source =
        m->catch_up ? m->catch_up : rk_digest_of_fleet(m, now_ms);
    if (source &&
        (m->catch_up || !uses || source->digest.remembers_ms > p->remembers_ms)) {
        p->remembers_ms = source->digest.remembers_ms;
        p->known_len = source->digest.uses.len;
        uses = source->digest.uses.rows;
    }
    p->known = rk_alloc(p->known_len + 1, sizeof(*p->known));
    m->catch_up = NULL;
    if (uses && p->known_len)
        memcpy(p->known, uses, p->known_len * sizeof(*p->known));
}

/* Since a peer told something; -1: none did ever. */
static int64_t silent_ms(const struct rk_mesh *m, int64_t now_ms)
{
    int64_t last_ms = 0;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->heard_ms > last_ms)
            last_ms = k->heard_ms;
    return last_ms ? now_ms - last_ms : -1;
}

static void tell_relay(struct rk_mesh *m, int64_t now_ms)
{
    struct rk_relay_peers *p = rk_alloc(1, sizeof(*p));
    rk_loads_fill(m, p, now_ms);
    fill_known(m, p, now_ms);
    rk_loads_peers_asking(m, &p->asking, now_ms);
    rk_engines_fill(m, p);
    p->uses = m->news;
    p->uses_len = m->news_len;
    m->news = NULL;
    m->news_len = 0;
    p->nodes_heard = rk_mesh_heard(m);
    p->nodes_total = rk_mesh_total(m);
    p->lag_ms = m->direct ? REPORT_MS : BRIDGED_LAG_MS;
    p->silent_ms = silent_ms(m, now_ms);
    rk_relay_set_peers(m->n->relay, p);
}

/* A node that gets little of its processor hears, sums and tells others late: it is
 * no bridge while others can be. */
static void note_lateness(struct rk_mesh *m, int64_t now_ms)
{
    double late_ms = m->due_ms ? (double)(now_ms - m->due_ms) : 0;
    m->due_ms = now_ms + REPORT_MS;
    m->late_ms += LATE_SHARE * (late_ms - m->late_ms);
    bool slow = m->late_ms > (m->slow ? LATE_OVER_MS : LATE_MS);
    if (slow != m->slow)
        RK_EVENT("node.slow", RK_N("on", slow),
                 RK_N("late_ms", (int64_t)m->late_ms));
    m->slow = slow;
}

static void on_tick(void *ctx)
{
    struct rk_mesh *m = ctx;
    int64_t now_ms = rk_mono_ms();
    rk_timer_start(m->n->loop, &m->tick, REPORT_MS);
    note_lateness(m, now_ms);
    rk_log_flush();
    rk_mesh_review(m, now_ms);
    rk_mesh_elect(m, now_ms);
    rk_mesh_dial(m, now_ms);
    if (now_ms - m->told_ms >= REPORT_MS)
        tell(m); /* else the relay's reports set the pace */
    rk_digest_tell(m);
    rk_report_ask_known(m, now_ms);
    rk_usage_tell_holder(m, now_ms);
    rk_rollout_tell_seen(m, now_ms);
    rk_quarantines_tick(m->n->quarantines);
    rk_quarantine_tell(m, now_ms);
    rk_signals_tick(m->n->signals);
    rk_signal_tell(m, now_ms);
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
    m->direct = true;
    m->tick = (struct rk_timer){.fn = on_tick, .ctx = m};
    m->relay_soon = (struct rk_timer){.fn = on_relay_soon, .ctx = m};
    m->soon = (struct rk_timer){.fn = on_soon, .ctx = m};
    rk_mesh_init_members(m);
    rk_enrol_init(m);
    rk_tell_init(m);
    m->listener = rk_listener_create(n->loop, n->file.control_listen, false,
                                     &guest_ops, on_accept, m);
    if (m->listener)
        return m;
    rk_mesh_free_members(m);
    free(m);
    return NULL;
}

const char *rk_mesh_bound(const struct rk_mesh *m)
{
    return rk_listener_addr(m->listener);
}

const char *rk_mesh_addr(const struct rk_mesh *m)
{
    const char *advertised = m->n->file.control_advertise;
    return advertised[0] ? advertised : rk_mesh_bound(m);
}

void rk_mesh_start(struct rk_mesh *m)
{
    for (size_t i = 0; i < m->n->file.peers_len; i++) {
        const char *addr = m->n->file.peers[i];
        if (!rk_mesh_is_self(m, "", addr) && !rk_mesh_find_addr(m, addr))
            rk_mesh_learn(m, "", addr);
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
    rk_timer_stop(m->n->loop, &m->tell);
    rk_mesh_free_members(m);
    while (m->guests) {
        struct guest *g = m->guests;
        m->guests = g->next;
        rk_link_destroy(g->link);
        free(g);
    }
    rk_listener_destroy(m->listener);
    struct rk_tally *const tallies[] = {
        &m->peer_reads,  &m->domain_uses, &m->fleet_uses, &m->domain_reads,
        &m->fleet_reads, &m->own_uses,    &m->own_reads,  &m->based_uses,
        &m->based_reads, &m->uses_told};
    for (size_t i = 0; i < RK_ARRAY_LEN(tallies); i++)
        rk_tally_free(tallies[i]);
    free(m->news);
    free(m);
}
