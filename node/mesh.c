/* Links to the other nodes, and the dispatch of messages. Each node sends a report
 * a few times a second: a heartbeat with its calls in flight, its quota usage, and
 * its versions of the store's data. In a small fleet each node reports to each. In
 * a larger one each reports to the bridges of its failure domain, and these
 * exchange digests. A node with older data requests the newer from the sender. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "core/quota.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define REPORT_MS 250 /* between reports, and between ticks */
/* Mean age of the other nodes' data that comes by bridges. */
#define BRIDGED_LAG_MS 450
/* Delay of the relay's update after a peer's report, to combine reports that arrive
 * together. It is longer at a bridge, which gets a report every few ms. */
#define RELAY_DELAY_MS           20
#define BRIDGE_RELAY_DELAY_MS    100
#define REPORT_DELAY_MS          5   /* before a report ahead of the regular one */
#define RECONNECT_MS             500 /* between attempts to connect to a node */
#define CONNECT_TIMEOUT_MS       1000
#define IDLE_LINK_MS             5000 /* for which an unneeded link is kept */
#define LIST_REQUEST_RETRY_MS    300
#define REVISION_LOG_INTERVAL_MS 1000 /* between log lines on implausible ones */
/* Weight of a tick in the smoothed delay: a node is slow after half a second of
 * late ticks. */
#define LATENESS_WEIGHT 0.4
/* Delays of ticks above which a node becomes slow, and below which it stops being
 * so. Usually ticks are a few ms late; at a node that runs at a fifth of its speed,
 * they are late by all its work between two ticks. A delay of 100 ms makes digests
 * half as old again. */
#define SLOW_ABOVE_MS 100.0
#define SLOW_BELOW_MS 30.0

/* ---- sending ---- */

bool rk_mesh_link_is_ready(const struct rk_link *link)
{
    return link && rk_link_was_up(link) &&
           rk_link_unsent_len(link) < RK_MESH_UNSENT_MAX;
}

bool rk_mesh_reports_to(const struct member *k)
{
    const struct rk_mesh *m = k->m;
    return m->direct || (rk_mesh_is_same_domain(k) && k->bridge);
}

void rk_mesh_send(struct rk_mesh *m, const Rillknot__Frame *frame,
                  bool (*wants)(const struct member *k, const void *ctx),
                  const void *ctx)
{
    struct rk_packed_frame packed = {0};
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        if (!wants(k, ctx) || !rk_mesh_link_is_ready(k->link))
            continue;
        if (!packed.len)
            packed = rk_frame_pack(frame);
        rk_link_send_packed(k->link, &packed);
    }
    rk_packed_frame_free(&packed);
}

bool rk_mesh_forwards_to(const struct member *k, const void *ctx)
{
    const struct rk_mesh *m = k->m;
    (void)ctx;
    if (m->direct)
        return true;
    return rk_mesh_is_same_domain(k) ? k->bridge || m->bridge
                                     : k->bridge && m->bridge;
}

static bool wants_report(const struct member *k, const void *ctx)
{
    (void)ctx;
    return rk_mesh_reports_to(k);
}

static void send_report(struct rk_mesh *m)
{
    struct rk_report p;
    m->report_sent_ms = rk_mono_ms();
    rk_report_fill(&p, m);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_NODE_REPORT;
    frame.node_report = &p.report;
    rk_mesh_send(m, &frame, wants_report, NULL);
    rk_report_uses_sent(m, &p);
    rk_report_free(&p);
}

static void on_report_timer(void *ctx)
{
    send_report(ctx);
}

void rk_mesh_schedule_report(struct rk_mesh *m)
{
    if (!m->report_timer.slot)
        rk_timer_start(m->n->loop, &m->report_timer, REPORT_DELAY_MS);
}

/* ---- VM list changes and requests ---- */

static bool wants_list_change(const struct member *k, const void *ctx)
{
    const bool *from_store = ctx;
    return rk_mesh_is_same_domain(k) || (*from_store && k->bridge);
}

void rk_mesh_push_list(struct rk_mesh *m, const Rillknot__StoreText *text,
                       bool from_store)
{
    if (!m->bridge)
        return;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_TEXT;
    frame.store_text = (Rillknot__StoreText *)text;
    rk_mesh_send(m, &frame, wants_list_change, &from_store);
}

void rk_mesh_request_if_behind(struct rk_mesh *m, struct rk_link *link,
                               const struct link_state *state,
                               int64_t settings_version, int64_t list_revision)
{
    Rillknot__StoreWanted request = RILLKNOT__STORE_WANTED__INIT;
    int64_t now_ms = rk_mono_ms();
    request.settings =
        rk_transfer_should_request(m, state, settings_version, now_ms);
    request.list = list_revision > rk_sync_list_revision(m->n->sync) &&
                   now_ms - m->list_requested_ms >= LIST_REQUEST_RETRY_MS;
    request.list_since = rk_sync_list_revision(m->n->sync);
    if (!request.settings && !request.list)
        return;
    if (request.list)
        m->list_requested_ms = now_ms;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_WANTED;
    frame.store_wanted = &request;
    rk_link_send(link, &frame);
}

static void handle_request(struct rk_mesh *m, struct rk_link *link,
                           struct link_state *state,
                           const Rillknot__StoreWanted *request)
{
    if (request->settings)
        rk_transfer_on_settings_request(m, state);
    if (request->uses) {
        m->uses_requested = true;
        m->history_requested = m->history_requested || request->known;
        rk_mesh_schedule_report(m);
    }
    if (request->list)
        rk_transfer_on_list_request(m, link, state, request->list_since);
}

/* ---- receiving ---- */

static bool is_plausible(const struct rk_mesh *m, int64_t revision)
{
    return rk_sync_is_plausible(m->n->sync, revision);
}

/* Returns whether all revisions of a frame are plausible. */
static bool has_plausible_revisions(const struct rk_mesh *m,
                                    const Rillknot__Frame *frame)
{
    switch (frame->body_case) {
    case RILLKNOT__FRAME__BODY_NODE_REPORT: {
        const Rillknot__NodeReport *r = frame->node_report;
        return is_plausible(m, r->list_revision) &&
               (!r->lease || is_plausible(m, r->lease->version));
    }
    case RILLKNOT__FRAME__BODY_DIGEST: {
        const Rillknot__Digest *d = frame->digest;
        return is_plausible(m, d->list_revision) &&
               (!d->lease || is_plausible(m, d->lease->version));
    }
    case RILLKNOT__FRAME__BODY_ROLLOUT_WORD:
        return is_plausible(m, frame->rollout_word->epoch) &&
               is_plausible(m, frame->rollout_word->known_at);
    default:
        return true; /* of a list, sync_list.c checks each row */
    }
}

/* Returns the id of a frame's sender, or its failure domain. */
static const char *frame_sender(const Rillknot__Frame *frame)
{
    if (frame->body_case == RILLKNOT__FRAME__BODY_NODE_REPORT)
        return frame->node_report->id;
    return frame->body_case == RILLKNOT__FRAME__BODY_DIGEST
               ? frame->digest->id
               : frame->rollout_word->domain;
}

static bool accepts_revisions(struct rk_mesh *m, const Rillknot__Frame *frame)
{
    int64_t now_ms = rk_mono_ms();
    if (has_plausible_revisions(m, frame))
        return true;
    if (now_ms - m->revision_logged_ms >= REVISION_LOG_INTERVAL_MS) {
        m->revision_logged_ms = now_ms;
        RK_WARN("peer.revision_rejected", RK_N("message", frame->body_case),
                RK_S("from", frame_sender(frame)),
                RK_N("known", rk_sync_list_revision(m->n->sync)));
    }
    return false;
}

static void schedule_relay_update(struct rk_mesh *m)
{
    if (!m->relay_timer.slot)
        rk_timer_start(m->n->loop, &m->relay_timer,
                       m->bridge ? BRIDGE_RELAY_DELAY_MS : RELAY_DELAY_MS);
}

static void receive_lease(struct rk_mesh *m, const Rillknot__LeaseRow *lease)
{
    if (lease)
        rk_leader_note_lease(m->n->leader, lease->version, lease->value);
}

void rk_mesh_request_uses(struct rk_link *link, bool with_history)
{
    Rillknot__StoreWanted request = RILLKNOT__STORE_WANTED__INIT;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    request.uses = true;
    request.known = with_history;
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_WANTED;
    frame.store_wanted = &request;
    rk_link_send(link, &frame);
}

static void receive_report(struct rk_mesh *m, struct rk_link *link,
                           struct link_state *state, const Rillknot__NodeReport *r)
{
    if (rk_mesh_is_self(m, r->id, r->addr))
        return;
    struct member *k = rk_mesh_find_or_add(m, r->id, r->addr);
    uint64_t incarnation_before = k->last_incarnation;
    if (!rk_report_receive(k, r))
        return;
    /* A restarted node relies on what its peers know of versions if their lists
     * were confirmed after its start. A large fleet would ask the store too often.
     */
    if (m->direct && incarnation_before && incarnation_before != r->incarnation)
        rk_sync_check_store(m->n->sync);
    k->settings_version = r->settings_version;
    if (r->settings_version < rk_sync_version(m->n->sync))
        rk_transfer_schedule(m);
    rk_sync_confirm(m->n->sync, r->store_age_ms, r->settings_version,
                    r->list_revision);
    if (rk_report_is_counted(k))
        schedule_relay_update(m);
    receive_lease(m, r->lease);
    for (size_t i = 0; i < r->n_peers; i++)
        if (!rk_mesh_is_self(m, "", r->peers[i]) &&
            !rk_mesh_find_addr(m, r->peers[i]))
            rk_mesh_find_or_add(m, "", r->peers[i]);
    if (!m->direct && !r->settings_version)
        rk_digest_send_members(m, link, state);
    if (rk_report_lacks_uses(k, rk_mono_ms()))
        rk_mesh_request_uses(link, false);
    rk_mesh_request_if_behind(m, link, state, r->settings_version,
                              r->list_revision);
}

static void receive_digest(struct rk_mesh *m, struct rk_link *link,
                           const struct link_state *state,
                           const Rillknot__Digest *d)
{
    if (rk_mesh_is_self(m, d->id, d->addr))
        return;
    struct member *k = rk_mesh_find_or_add(m, d->id, d->addr);
    if (!rk_mesh_accepts_incarnation(k, d->incarnation))
        return;
    if (rk_digest_receive(k, d))
        schedule_relay_update(m);
    rk_sync_confirm(m->n->sync, d->store_age_ms, d->settings_version,
                    d->list_revision);
    receive_lease(m, d->lease);
    rk_mesh_request_if_behind(m, link, state, d->settings_version,
                              d->list_revision);
}

static void receive_frame(struct rk_mesh *m, struct rk_link *link,
                          struct link_state *state, const Rillknot__Frame *frame)
{
    if (!accepts_revisions(m, frame))
        return;
    switch (frame->body_case) {
    case RILLKNOT__FRAME__BODY_NODE_REPORT:
        receive_report(m, link, state, frame->node_report);
        return;
    case RILLKNOT__FRAME__BODY_DIGEST:
        receive_digest(m, link, state, frame->digest);
        return;
    case RILLKNOT__FRAME__BODY_USAGE_COUNTS:
        rk_usage_receive(m->n, frame->usage_counts->rows,
                         frame->usage_counts->n_rows);
        return;
    case RILLKNOT__FRAME__BODY_ROLLOUT_WORD:
        rk_rollout_receive_announcement(m, frame->rollout_word);
        return;
    case RILLKNOT__FRAME__BODY_ROLLOUT_SEEN:
        rk_rollout_receive_stats(m, frame->rollout_seen);
        return;
    case RILLKNOT__FRAME__BODY_QUARANTINE:
        rk_quarantine_receive(m, frame->quarantine);
        return;
    case RILLKNOT__FRAME__BODY_VM_SIGNALS:
        rk_signal_receive(m, frame->vm_signals);
        return;
    case RILLKNOT__FRAME__BODY_STORE_WANTED:
        handle_request(m, link, state, frame->store_wanted);
        return;
    case RILLKNOT__FRAME__BODY_STORE_TEXT:
        rk_sync_receive(m->n->sync, frame->store_text);
        return;
    default:
        return; /* used only by another kind of deployment */
    }
}

/* ---- links ---- */

static void on_member_frame(void *ctx, struct rk_link *link,
                            const Rillknot__Frame *frame)
{
    struct member *k = ctx;
    receive_frame(k->m, link, &k->link_state, frame);
}

static void on_member_down(void *ctx, struct rk_link *link)
{
    struct member *k = ctx;
    rk_link_destroy(link);
    k->link = NULL;
    k->link_state = (struct link_state){0};
}

static void on_member_up(void *ctx, struct rk_link *link)
{
    (void)link;
    struct member *k = ctx;
    rk_mesh_schedule_report(k->m);
}

static const struct rk_link_ops member_ops = {
    .on_frame = on_member_frame, .on_up = on_member_up, .on_down = on_member_down};

static void on_inbound_frame(void *ctx, struct rk_link *link,
                             const Rillknot__Frame *frame)
{
    struct inbound_link *in = ctx;
    receive_frame(in->m, link, &in->state, frame);
}

static void on_inbound_down(void *ctx, struct rk_link *link)
{
    struct inbound_link *in = ctx;
    struct inbound_link **at = &in->m->inbound;
    while (*at != in)
        at = &(*at)->next;
    *at = in->next;
    rk_link_destroy(link);
    free(in);
}

static const struct rk_link_ops inbound_ops = {.on_frame = on_inbound_frame,
                                               .on_down = on_inbound_down};

static void on_accept(void *ctx, struct rk_link *link)
{
    struct rk_mesh *m = ctx;
    struct inbound_link *in = rk_alloc(1, sizeof(*in));
    *in = (struct inbound_link){.m = m, .link = link, .next = m->inbound};
    m->inbound = in;
    rk_link_set_ctx(link, in);
}

/* Returns whether this node needs a link to a member. */
static bool is_needed(const struct member *k)
{
    const struct rk_mesh *m = k->m;
    if (rk_mesh_reports_to(k) || !k->id[0])
        return true;
    return m->bridge && (rk_mesh_is_same_domain(k) || k->bridge || !k->domain[0]);
}

static void close_link(struct member *k)
{
    rk_link_destroy(k->link);
    k->link = NULL;
    k->link_state = (struct link_state){0};
}

void rk_mesh_connect(struct rk_mesh *m, int64_t now_ms)
{
    for (struct member *k = m->members; k; k = k->next) {
        if (is_needed(k))
            k->needed_ms = now_ms;
        bool needed = k->needed_ms && now_ms - k->needed_ms < IDLE_LINK_MS;
        bool timed_out = k->link && !rk_link_was_up(k->link) &&
                         now_ms - k->connect_started_ms > CONNECT_TIMEOUT_MS;
        if (k->link && (timed_out || !needed))
            close_link(k);
        if (k->link || !needed ||
            (k->connect_started_ms &&
             now_ms - k->connect_started_ms < RECONNECT_MS))
            continue;
        k->connect_started_ms = now_ms;
        rk_mesh_add_contact(k);
        k->link = rk_link_connect(m->n->loop, k->addr, &member_ops, k);
    }
}

/* ---- updates of the relay ---- */

void rk_mesh_add_peer_use(struct rk_mesh *m, const char *org, double units)
{
    if (units == 0)
        return;
    m->peer_uses =
        rk_realloc(m->peer_uses, (m->peer_uses_len + 1) * sizeof(*m->peer_uses));
    struct rk_org_use *use = &m->peer_uses[m->peer_uses_len++];
    *use = (struct rk_org_use){.units = units};
    rk_strcpy(use->org, sizeof(use->org), org);
}

struct rk_service_load rk_mesh_service_use(const struct rk_mesh *m,
                                           const char *service)
{
    int64_t now_ms = rk_mono_ms();
    struct rk_service_load sum = {.demand_tokens =
                                      rk_totals_value(&m->peer_reads, service)};
    rk_strcpy(sum.service, sizeof(sum.service), service);
    struct rk_in_flight peers = rk_loads_in_flight(m, service, now_ms);
    sum.running = peers.running;
    sum.begun = peers.begun;
    sum.engine = rk_engines_mean(m, service, true);
    return sum;
}

/* A peer's quota history, which belongs to the member that it came from. */
struct history {
    const struct rk_org_uses *uses; /* NULL: there is none */
    const double *shares;
    int64_t length_ms;
};

static struct history history_of_member(const struct member *k)
{
    return (struct history){.uses = &k->uses,
                            .shares = k->quota_history_shares,
                            .length_ms = k->quota_history_ms};
}

static struct history history_of_digest(const struct member *k)
{
    return (struct history){.uses = &k->digest.uses,
                            .shares = k->digest.quota_history_shares,
                            .length_ms = k->digest.quota_history_ms};
}

/* Returns the longest quota history of a peer. After a time without a counted
 * digest that of the new source is taken, whatever its length. */
static struct history longest_history(const struct rk_mesh *m, int64_t now_ms)
{
    struct history longest = {0};
    if (m->catch_up_source)
        return history_of_digest(m->catch_up_source);
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->has_quota_history && rk_mesh_is_reachable_directly(k, now_ms) &&
            (!longest.uses || k->quota_history_ms > longest.length_ms))
            longest = history_of_member(k);
    const struct member *source = rk_digest_fleet_source(m, now_ms);
    if (source &&
        (!longest.uses || source->digest.quota_history_ms > longest.length_ms))
        longest = history_of_digest(source);
    return longest;
}

/* Returns the whole quota history of the peer that has sent reports for the longest
 * time, as it was on this node's side of a partition, once that is due. */
static struct history due_catch_up(struct rk_mesh *m, int64_t now_ms)
{
    const struct member *oldest = NULL;
    if (!m->catch_up_at_ms || now_ms < m->catch_up_at_ms)
        return (struct history){0};
    m->catch_up_at_ms = 0;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->has_quota_history && rk_mesh_is_reachable_directly(k, now_ms) &&
            k->quota_history_ms >= rk_s_to_ms(m->n->file.quota_window_s) &&
            (!oldest || k->reports_since_ms < oldest->reports_since_ms))
            oldest = k;
    return oldest ? history_of_member(oldest) : (struct history){0};
}

static void fill_quota_history(struct rk_mesh *m, struct rk_relay_peers *p,
                               int64_t now_ms)
{
    struct history history = due_catch_up(m, now_ms);
    p->backfill_history = history.uses || m->catch_up_source;
    if (!history.uses)
        history = longest_history(m, now_ms);
    m->catch_up_source = NULL;
    size_t len = history.uses ? history.uses->len : 0;
    p->quota_history = rk_alloc(len + 1, sizeof(*p->quota_history));
    p->quota_history_len = len;
    if (!history.uses)
        return;
    p->quota_history_ms = history.length_ms;
    memcpy(p->quota_history_shares, history.shares,
           sizeof(p->quota_history_shares));
    if (len)
        memcpy(p->quota_history, history.uses->rows,
               len * sizeof(*p->quota_history));
}

/* Returns when a member last reported usage; 0: never. Most digests of a second
 * bridge, or on a narrow link, are heartbeats. */
static int64_t usage_reported_ms(const struct member *k)
{
    return k->digest.received_ms ? k->digest.content_ms : k->last_received_ms;
}

/* Returns the time in ms since any peer last reported usage; -1: none did. */
static int64_t since_reported_ms(const struct rk_mesh *m, int64_t now_ms)
{
    int64_t last_ms = 0;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (usage_reported_ms(k) > last_ms)
            last_ms = usage_reported_ms(k);
    return last_ms ? now_ms - last_ms : -1;
}

static void update_relay(struct rk_mesh *m, int64_t now_ms)
{
    struct rk_relay_peers *p = rk_alloc(1, sizeof(*p));
    rk_loads_fill(m, p, now_ms);
    fill_quota_history(m, p, now_ms);
    rk_loads_add_peer_demand(m, &p->quota_demand, now_ms);
    rk_engines_fill(m, p);
    p->quota_usage_added = m->peer_uses;
    p->quota_usage_added_len = m->peer_uses_len;
    m->peer_uses = NULL;
    m->peer_uses_len = 0;
    p->usage_gap_ms = m->usage_gap_ms;
    m->usage_gap_ms = 0;
    if (m->direct || m->bridge)
        m->fleet_counted_ms = now_ms;
    rk_mesh_fill_forward_peers(m, p, now_ms);
    rk_mesh_fill_stream_peers(m, p, now_ms);
    p->nodes_reachable = rk_mesh_reachable_count(m);
    p->nodes_total = rk_mesh_total(m);
    p->silent_since_ms = rk_mesh_silent_since_ms(m);
    p->list_confirmed_ms = rk_sync_list_confirmed_ms(m->n->sync);
    p->report_lag_ms = m->direct ? REPORT_MS : BRIDGED_LAG_MS;
    p->since_report_ms = since_reported_ms(m, now_ms);
    rk_relay_set_peers(m->n->relay, p);
}

/* Updates whether this node is slow. A node that gets too little processor time
 * receives, sums and sends late; others are preferred to it as bridges. */
static void update_lateness(struct rk_mesh *m, int64_t now_ms)
{
    double late_ms = m->next_tick_ms ? (double)(now_ms - m->next_tick_ms) : 0;
    m->next_tick_ms = now_ms + REPORT_MS;
    m->late_ms += LATENESS_WEIGHT * (late_ms - m->late_ms);
    bool slow = m->late_ms > (m->slow ? SLOW_BELOW_MS : SLOW_ABOVE_MS);
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
    update_lateness(m, now_ms);
    rk_log_flush();
    rk_mesh_expire_members(m, now_ms);
    rk_mesh_elect(m, now_ms);
    rk_mesh_connect(m, now_ms);
    /* Usually the relay's reports trigger them often enough. */
    if (now_ms - m->report_sent_ms >= REPORT_MS)
        send_report(m);
    rk_digest_send(m);
    rk_report_request_history(m, now_ms);
    rk_usage_send_to_leader(m, now_ms);
    rk_rollout_send_stats(m, now_ms);
    rk_quarantines_tick(m->n->quarantines);
    rk_quarantine_send(m, now_ms);
    rk_signals_tick(m->n->signals);
    rk_signal_send(m, now_ms);
    update_relay(m, now_ms);
}

static void on_relay_timer(void *ctx)
{
    update_relay(ctx, rk_mono_ms());
}

/* ---- creation ---- */

struct rk_mesh *rk_mesh_create(struct rk_node *n, int listen_fd)
{
    struct rk_mesh *m = rk_alloc(1, sizeof(*m));
    m->n = n;
    m->direct = true;
    m->tick = (struct rk_timer){.fn = on_tick, .ctx = m};
    m->relay_timer = (struct rk_timer){.fn = on_relay_timer, .ctx = m};
    m->report_timer = (struct rk_timer){.fn = on_report_timer, .ctx = m};
    rk_mesh_init_members(m);
    rk_registration_init(m);
    rk_transfer_init(m);
    m->listener =
        rk_listener_create(n->loop, listen_fd, &inbound_ops, on_accept, m);
    return m;
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
            rk_mesh_find_or_add(m, "", addr);
    }
    rk_timer_start(m->n->loop, &m->tick, 0);
    rk_registration_start(m);
}

void rk_mesh_destroy(struct rk_mesh *m)
{
    rk_timer_stop(m->n->loop, &m->tick);
    rk_timer_stop(m->n->loop, &m->report_timer);
    rk_timer_stop(m->n->loop, &m->relay_timer);
    rk_timer_stop(m->n->loop, &m->registration_timer);
    rk_timer_stop(m->n->loop, &m->transfer_timer);
    rk_mesh_free_members(m);
    while (m->inbound) {
        struct inbound_link *in = m->inbound;
        m->inbound = in->next;
        rk_link_destroy(in->link);
        free(in);
    }
    rk_listener_destroy(m->listener);
    struct rk_totals *const all[] = {&m->peer_reads,     &m->domain_uses,
                                     &m->fleet_uses,     &m->domain_reads,
                                     &m->fleet_reads,    &m->included_uses,
                                     &m->included_reads, &m->baseline_uses,
                                     &m->baseline_reads, &m->uses_reported};
    for (size_t i = 0; i < RK_ARRAY_LEN(all); i++)
        rk_totals_free(all[i]);
    free(m->peer_uses);
    free(m->silent);
    free(m);
}
