/* Gossip between entry nodes. Once a second, a node sends one peer of its failure
 * domain the rows that changed since its last message to that peer; the peer
 * replies likewise. Each round is also a probe: a peer that does not reply becomes
 * suspect. Bridges gossip with other domains, too. Urgent changes go to the whole
 * failure domain at once. */
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "control/state.h"
#include "peers/link.h"
#include "peers/rows.h"
#include "serve/traffic.h"

#define ROUND_INTERVAL_MS  1000
#define REPLY_TIMEOUT_MS   1000   /* a peer that has not replied becomes suspect */
#define SUSPECT_TIMEOUT_MS 3000   /* a suspected peer counts as dead after this */
#define ROW_RETENTION_MS   600000 /* of dead members and gone VMs */
#define ROUNDS_PER_SEED    5 /* rounds per contact to a seed and a dead member */
#define ROUNDS_PER_BRIDGE  2 /* rounds per contact to another failure domain */
#define MAX_MISMATCHES     3 /* see struct sent_state */

#define MAX_CHANGES_PER_FRAME 64

/* State of what has been sent to a peer. The first message to a peer has this
 * node's own row and the digests of its tables. If the peer's digests differ, all
 * rows are sent: at once after the first message from the peer, later only after
 * MAX_MISMATCHES messages in a row, since rows in flight make digests differ
 * often. */
struct sent_state {
    uint64_t high_water; /* rows that changed up to here were sent; 0: send all */
    bool received;       /* a message from the peer has arrived */
    int mismatches;      /* consecutive messages with other digests */
};

/* A link that this node opened to a peer's control thread. */
struct outbound {
    struct rk_gossip *g;
    char addr[RK_ADDR_MAX];
    char id[RK_ID_MAX]; /* "" until its first message */
    struct rk_link *link;
    struct sent_state sent;
    struct rk_timer reply_timer;
    struct outbound *next;
};

/* A link that a peer opened to this node. */
struct inbound {
    struct rk_gossip *g;
    struct rk_link *link;
    char id[RK_ID_MAX];     /* "" until its first message */
    struct sent_state sent; /* used while there is no outbound link to the peer */
    struct inbound *next;
};

struct rk_gossip {
    struct rk_control *c;
    struct rk_listener *listener;
    struct outbound *outbound;
    struct inbound *inbound;
    struct rk_timer round_timer;
    uint64_t rounds;
    size_t next_member; /* index of the member to gossip with next */
    struct rk_delta delta;
};

/* ---- frames ---- */

/* Sends a frame and counts its bytes and those of its 4-byte length. */
static bool send_frame(struct rk_link *link, Rillknot__Frame *frame)
{
    rk_counter_add(RK_C_PEER_BYTES, rillknot__frame__get_packed_size(frame) + 4);
    return rk_link_send(link, frame);
}

/* Sends the rows that the peer lacks. A peer that has sent nothing yet gets at
 * least this node's own row. peer_id is "" if not known. */
static void send_rows(struct rk_gossip *g, struct rk_link *link,
                      const char *peer_id, struct sent_state *sent, bool reply)
{
    const struct rk_members *m = g->c->members;
    const struct rk_member *self = rk_members_self(m);
    int peer = peer_id[0] ? rk_members_index(m, peer_id) : -1;
    const struct rk_member *to = peer >= 0 ? rk_members_at(m, (size_t)peer) : NULL;
    rk_members_delta(m, sent->high_water, peer, rk_mono_ms(), &g->delta);
    if (!sent->received && !g->delta.members_len)
        g->delta.members[g->delta.members_len++] = 0;
    struct rk_digest digest = rk_members_digest(m);
    struct rk_rows rows;
    /* VM rows are not sent to other failure domains. */
    rk_rows_encode(&rows, m, &g->delta, !to || !strcmp(to->domain, self->domain));
    rows.gossip.from = (char *)self->id;
    rows.gossip.from_addr = (char *)self->control_addr;
    rows.gossip.reply = reply;
    rows.gossip.head = rk_changelog_head(g->c->changelog);
    rows.gossip.members_digest = digest.members;
    rows.gossip.vms_digest = digest.vms;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_GOSSIP;
    frame.gossip = &rows.gossip;
    if (send_frame(link, &frame))
        sent->high_water = g->delta.next_high_water;
    rk_rows_free(&rows);
}

static void request_changes(struct rk_gossip *g, struct rk_link *link)
{
    Rillknot__ChangesWanted w = RILLKNOT__CHANGES_WANTED__INIT;
    w.after = rk_changelog_head(g->c->changelog);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_CHANGES_WANTED;
    frame.changes_wanted = &w;
    send_frame(link, &frame);
}

/* Sends the changes that follow change `after`, MAX_CHANGES_PER_FRAME at most, or a
 * snapshot if this node no longer keeps the first of them. */
static void send_changes(struct rk_gossip *g, struct rk_link *link, int64_t after)
{
    const struct rk_changelog *log = g->c->changelog;
    Rillknot__Changes msg = RILLKNOT__CHANGES__INIT;
    Rillknot__Change rows[MAX_CHANGES_PER_FRAME], *ptrs[MAX_CHANGES_PER_FRAME];
    char *snapshot = NULL;
    if (!rk_changelog_text(log, after + 1) && rk_changelog_head(log) > after) {
        snapshot = rk_changelog_snapshot(log);
        msg.snapshot = snapshot;
    }
    for (int64_t n = after + 1; !snapshot && msg.n_items < MAX_CHANGES_PER_FRAME;
         n++) {
        const char *text = rk_changelog_text(log, n);
        if (!text)
            break;
        Rillknot__Change *row = &rows[msg.n_items];
        *row = (Rillknot__Change)RILLKNOT__CHANGE__INIT;
        row->number = n;
        row->text = (char *)text;
        ptrs[msg.n_items++] = row;
    }
    msg.items = ptrs;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_CHANGES;
    frame.changes = &msg;
    send_frame(link, &frame);
    free(snapshot);
}

/* ---- received messages ---- */

static void merge_member(struct rk_gossip *g, const Rillknot__MemberRow *row,
                         int from)
{
    struct rk_member m;
    if (!rk_rows_decode_member(row, &m))
        return;
    if (!rk_members_merge(g->c->members, &m, from, rk_mono_ms())) {
        /* The number of the member's free slots may have changed. */
        rk_control_schedule_publish(g->c, false);
        return;
    }
    RK_EVENT("member.changed", RK_S("member", m.id), RK_N("state", m.state),
             RK_N("leaving", m.leaving));
    rk_control_schedule_publish(g->c, true);
}

static void merge_vm(struct rk_gossip *g, const Rillknot__VmRow *row, int from)
{
    struct rk_vm v;
    if (!rk_rows_decode_vm(row, &v))
        return;
    if (!rk_members_merge_vm(g->c->members, &v, from, rk_mono_ms())) {
        rk_control_schedule_publish(g->c, false);
        return;
    }
    RK_EVENT("vm.changed", RK_S("vm", v.id), RK_N("state", v.state),
             RK_S("by", "peer"));
    rk_control_schedule_publish(g->c, true);
}

/* Merges a peer's rows and requests settings changes if the peer has newer ones. */
static void handle_gossip(struct rk_gossip *g, struct rk_link *link,
                          const Rillknot__Gossip *msg)
{
    int from = rk_members_index(g->c->members, msg->from);
    int64_t now = rk_mono_ms();
    rk_members_responded(g->c->members, msg->from, now);
    for (size_t i = 0; i < msg->n_members; i++)
        merge_member(g, msg->members[i], from);
    for (size_t i = 0; i < msg->n_vms; i++)
        merge_vm(g, msg->vms[i], from);
    for (size_t i = 0; i < msg->n_loads; i++) {
        const Rillknot__VmLoad *l = msg->loads[i];
        rk_members_merge_load(g->c->members, l->id_hash, l->load_seq, l->running,
                              l->queued, from, now);
    }
    if (msg->n_loads)
        rk_control_schedule_publish(g->c, false);
    if (msg->head > rk_changelog_head(g->c->changelog))
        request_changes(g, link);
}

static void handle_changes(struct rk_gossip *g, struct rk_link *link,
                           const Rillknot__Changes *msg)
{
    struct rk_changelog *log = g->c->changelog;
    int64_t before = rk_changelog_head(log);
    if (msg->snapshot[0])
        rk_changelog_restore(log, msg->snapshot);
    for (size_t i = 0; i < msg->n_items; i++)
        rk_changelog_append(log, msg->items[i]->number, msg->items[i]->text);
    if (rk_changelog_head(log) > before)
        rk_control_apply_settings(g->c);
    /* A change was pushed that can't be applied before the missing ones. */
    if (msg->n_items && msg->items[0]->number > rk_changelog_head(log) + 1)
        request_changes(g, link);
    if (msg->n_items == MAX_CHANGES_PER_FRAME)
        request_changes(g, link);
}

/* Handles the frames that may arrive at either end of a link. Returns false for any
 * other. */
static bool handle_common_frame(struct rk_gossip *g, struct rk_link *link,
                                const Rillknot__Frame *frame)
{
    switch (frame->body_case) {
    case RILLKNOT__FRAME__BODY_GOSSIP:
        handle_gossip(g, link, frame->gossip);
        return true;
    case RILLKNOT__FRAME__BODY_CHANGES_WANTED:
        send_changes(g, link, frame->changes_wanted->after);
        return true;
    case RILLKNOT__FRAME__BODY_CHANGES:
        handle_changes(g, link, frame->changes);
        return true;
    default:
        return false;
    }
}

static bool in_domain(const struct rk_gossip *g, const struct rk_member *m)
{
    return !strcmp(m->domain, rk_members_self(g->c->members)->domain);
}

/* ---- what has been sent to a peer ---- */

/* Returns the state for a new peer, which is sent only rows that change from now
 * on. */
static struct sent_state initial_sent_state(const struct rk_gossip *g)
{
    return (struct sent_state){.high_water = rk_members_high_water(g->c->members)};
}

/* Compares a peer's digests with this node's, after the peer's rows were merged. If
 * they differ, one of the two lacks rows: unless rows may just be in flight, the
 * next message sends all rows. The peer does the same. */
static void compare_digests(struct rk_gossip *g, struct sent_state *sent,
                            const Rillknot__Gossip *msg)
{
    const struct rk_member *peer = rk_members_find(g->c->members, msg->from);
    struct rk_digest own = rk_members_digest(g->c->members);
    bool same = msg->members_digest == own.members;
    if (peer && in_domain(g, peer))
        same = same && msg->vms_digest == own.vms;
    bool first = !sent->received;
    sent->received = true;
    sent->mismatches = same ? 0 : sent->mismatches + 1;
    if (same || (!first && sent->mismatches < MAX_MISMATCHES))
        return;
    sent->mismatches = 0;
    sent->high_water = 0;
}

/* ---- outbound links ---- */

static struct inbound *find_inbound(struct rk_gossip *g, const char *id)
{
    struct inbound *in = g->inbound;
    while (in && strcmp(in->id, id) != 0)
        in = in->next;
    return in;
}

static void free_outbound(struct outbound *out)
{
    rk_timer_stop(out->g->c->loop, &out->reply_timer);
    rk_link_destroy(out->link);
    free(out);
}

static void drop_outbound(struct outbound *out)
{
    struct outbound **p = &out->g->outbound;
    while (*p != out)
        p = &(*p)->next;
    *p = out->next;
    struct inbound *in = out->id[0] ? find_inbound(out->g, out->id) : NULL;
    /* The rows sent last may be lost: send all rows again. */
    if (in)
        in->sent.high_water = 0;
    free_outbound(out);
}

/* Handles a peer that did not reply or whose link broke. */
static void suspect_and_drop(struct outbound *out)
{
    struct rk_gossip *g = out->g;
    if (out->id[0]) {
        const struct rk_member *m = rk_members_find(g->c->members, out->id);
        if (m && m->state == RK_MEMBER_ALIVE) {
            RK_EVENT("member.suspect", RK_S("member", out->id));
            rk_members_suspect(g->c->members, out->id, rk_mono_ms());
            rk_control_schedule_publish(g->c, true);
        }
    }
    drop_outbound(out);
}

static void on_outbound_frame(void *ctx, struct rk_link *link,
                              const Rillknot__Frame *frame)
{
    struct outbound *out = ctx;
    if (frame->body_case == RILLKNOT__FRAME__BODY_GOSSIP) {
        rk_timer_stop(out->g->c->loop, &out->reply_timer);
        rk_strcpy(out->id, sizeof(out->id), frame->gossip->from);
    }
    handle_common_frame(out->g, link, frame);
    if (frame->body_case == RILLKNOT__FRAME__BODY_GOSSIP)
        compare_digests(out->g, &out->sent, frame->gossip);
}

static void on_outbound_down(void *ctx, struct rk_link *link)
{
    (void)link;
    suspect_and_drop(ctx);
}

static void on_reply_timeout(void *ctx)
{
    suspect_and_drop(ctx);
}

static const struct rk_link_ops outbound_ops = {.on_frame = on_outbound_frame,
                                                .on_down = on_outbound_down};

/* Returns the link to addr, opened if there is none; NULL if addr is malformed. */
static struct outbound *get_outbound(struct rk_gossip *g, const char *addr,
                                     const char *id)
{
    struct outbound *out = g->outbound;
    while (out && strcmp(out->addr, addr) != 0)
        out = out->next;
    if (out)
        return out;
    out = rk_alloc(1, sizeof(*out));
    out->g = g;
    out->reply_timer = (struct rk_timer){.fn = on_reply_timeout, .ctx = out};
    rk_strcpy(out->addr, sizeof(out->addr), addr);
    rk_strcpy(out->id, sizeof(out->id), id);
    out->link = rk_link_connect(g->c->loop, addr, &outbound_ops, out);
    if (!out->link) {
        free(out);
        return NULL;
    }
    struct inbound *in = id[0] ? find_inbound(g, id) : NULL;
    out->sent = in ? in->sent : initial_sent_state(g);
    out->next = g->outbound;
    g->outbound = out;
    return out;
}

static struct outbound *find_outbound(struct rk_gossip *g, const char *id)
{
    struct outbound *out = g->outbound;
    while (out && strcmp(out->id, id) != 0)
        out = out->next;
    return out;
}

/* Sends rows to a peer and expects a reply. id is "" if not known. */
static void gossip_with(struct rk_gossip *g, const char *addr, const char *id)
{
    struct outbound *out = get_outbound(g, addr, id);
    if (!out)
        return;
    send_rows(g, out->link, out->id, &out->sent, false);
    rk_counter_add(RK_C_GOSSIP_ROUNDS, 1);
    if (!out->reply_timer.slot)
        rk_timer_start(g->c->loop, &out->reply_timer, REPLY_TIMEOUT_MS);
}

/* ---- inbound links ---- */

static void on_inbound_frame(void *ctx, struct rk_link *link,
                             const Rillknot__Frame *frame)
{
    struct inbound *in = ctx;
    struct rk_gossip *g = in->g;
    if (frame->body_case == RILLKNOT__FRAME__BODY_STATE_WANTED) {
        struct sent_state nothing = {.received = true};
        send_rows(g, link, "", &nothing, true);
        int64_t head = frame->state_wanted->head;
        if (head < rk_changelog_head(g->c->changelog))
            send_changes(g, link, head);
        return;
    }
    handle_common_frame(g, link, frame);
    if (frame->body_case != RILLKNOT__FRAME__BODY_GOSSIP || frame->gossip->reply)
        return;
    /* Reply over the same link, but continue from what the outbound link to the
     * same peer has sent, if there is one. */
    rk_strcpy(in->id, sizeof(in->id), frame->gossip->from);
    struct outbound *out = find_outbound(g, in->id);
    struct sent_state *sent = out ? &out->sent : &in->sent;
    compare_digests(g, sent, frame->gossip);
    send_rows(g, link, in->id, sent, true);
}

static void on_inbound_down(void *ctx, struct rk_link *link)
{
    struct inbound *in = ctx;
    struct inbound **p = &in->g->inbound;
    while (*p != in)
        p = &(*p)->next;
    *p = in->next;
    /* The last reply may be lost: send all rows again. */
    struct outbound *out = in->id[0] ? find_outbound(in->g, in->id) : NULL;
    if (out)
        out->sent.high_water = 0;
    rk_link_destroy(link);
    free(in);
}

static const struct rk_link_ops inbound_ops = {.on_frame = on_inbound_frame,
                                               .on_down = on_inbound_down};

static void on_accept(void *ctx, struct rk_link *link)
{
    struct rk_gossip *g = ctx;
    struct inbound *in = rk_alloc(1, sizeof(*in));
    *in = (struct inbound){
        .g = g, .link = link, .sent = initial_sent_state(g), .next = g->inbound};
    g->inbound = in;
    rk_link_set_ctx(link, in);
}

/* ---- rounds ---- */

/* Gossips with the next member of the failure domain that is not dead. Going
 * through all in turn bounds the time between two probes of a member. */
static void gossip_in_domain(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    for (size_t n = rk_members_count(m); n; n--) {
        const struct rk_member *row =
            rk_members_at(m, g->next_member++ % rk_members_count(m));
        if (row == rk_members_self(m) || row->state == RK_MEMBER_DEAD ||
            !in_domain(g, row))
            continue;
        gossip_with(g, row->control_addr, row->id);
        return;
    }
}

/* On a bridge, gossips with a random bridge of another failure domain. */
static void gossip_across_domains(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    if (!rk_control_is_bridge(g->c))
        return;
    size_t len = rk_members_count(m),
           start = rk_rng_below(&g->c->rng, (uint32_t)len);
    for (size_t n = 0; n < len; n++) {
        const struct rk_member *row = rk_members_at(m, (start + n) % len);
        if (row->state == RK_MEMBER_DEAD || in_domain(g, row) ||
            !rk_member_is_bridge(m, row))
            continue;
        gossip_with(g, row->control_addr, row->id);
        return;
    }
}

/* Gossips with a random dead member and a random seed, so that the two sides of a
 * network partition find each other again. */
static void gossip_with_lost(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    size_t len = rk_members_count(m),
           start = rk_rng_below(&g->c->rng, (uint32_t)len);
    for (size_t n = 0; n < len; n++) {
        const struct rk_member *row = rk_members_at(m, (start + n) % len);
        if (row->state != RK_MEMBER_DEAD)
            continue;
        gossip_with(g, row->control_addr, row->id);
        break;
    }
    if (!g->c->opt.seeds_len)
        return;
    const char *seed =
        g->c->opt.seeds[rk_rng_below(&g->c->rng, (uint32_t)g->c->opt.seeds_len)];
    if (strcmp(seed, rk_members_self(m)->control_addr) != 0)
        gossip_with(g, seed, "");
}

/* Returns how many more calls the traffic threads could take. */
static uint32_t total_free_slots(const struct rk_control *c)
{
    uint32_t free_slots = 0;
    for (size_t i = 0; i < c->traffic_len; i++)
        free_slots +=
            atomic_load_explicit(&c->traffic[i]->free_slots, memory_order_relaxed);
    return free_slots;
}

static void on_round(void *ctx)
{
    struct rk_gossip *g = ctx;
    struct rk_control *c = g->c;
    rk_timer_start(c->loop, &g->round_timer, ROUND_INTERVAL_MS);
    rk_members_set_free_slots(c->members, total_free_slots(c));
    if (rk_members_expire(c->members, SUSPECT_TIMEOUT_MS, rk_mono_ms())) {
        RK_EVENT("member.dead",
                 RK_N("members", (int64_t)rk_members_count(c->members)));
        rk_control_schedule_publish(c, true);
    }
    rk_members_remove_old(c->members, ROW_RETENTION_MS, rk_mono_ms());
    gossip_in_domain(g);
    if (g->rounds % ROUNDS_PER_BRIDGE == 0)
        gossip_across_domains(g);
    if (g->rounds++ % ROUNDS_PER_SEED == 0 || rk_members_count(c->members) == 1)
        gossip_with_lost(g);
    rk_settings_sync_tick(c->settings_sync);
    rk_vms_sync_tick(c->vms_sync);
}

void rk_gossip_push(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    for (size_t i = 1; i < rk_members_count(m); i++) {
        const struct rk_member *row = rk_members_at(m, i);
        if (row->state != RK_MEMBER_DEAD && in_domain(g, row))
            gossip_with(g, row->control_addr, row->id);
    }
    gossip_across_domains(g);
}

void rk_gossip_push_change(struct rk_gossip *g, int64_t number)
{
    const struct rk_members *m = g->c->members;
    for (size_t i = 1; i < rk_members_count(m); i++) {
        const struct rk_member *row = rk_members_at(m, i);
        if (row->state == RK_MEMBER_DEAD || !in_domain(g, row))
            continue;
        struct outbound *out = get_outbound(g, row->control_addr, row->id);
        if (out)
            send_changes(g, out->link, number - 1);
    }
}

/* ---- life cycle ---- */

struct rk_gossip *rk_gossip_create(struct rk_control *c)
{
    struct rk_gossip *g = rk_alloc(1, sizeof(*g));
    g->c = c;
    g->round_timer = (struct rk_timer){.fn = on_round, .ctx = g};
    g->listener =
        rk_listener_create(c->loop, c->opt.listen_fd, &inbound_ops, on_accept, g);
    return g;
}

void rk_gossip_destroy(struct rk_gossip *g)
{
    if (!g)
        return;
    rk_timer_stop(g->c->loop, &g->round_timer);
    rk_listener_destroy(g->listener);
    for (struct outbound *out = g->outbound, *next; out; out = next) {
        next = out->next;
        free_outbound(out);
    }
    for (struct inbound *in = g->inbound, *next; in; in = next) {
        next = in->next;
        rk_link_destroy(in->link);
        free(in);
    }
    free(g);
}

const char *rk_gossip_addr(const struct rk_gossip *g)
{
    return rk_listener_addr(g->listener);
}

void rk_gossip_start(struct rk_gossip *g)
{
    on_round(g);
}
