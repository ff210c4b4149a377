/* Gossip: once a second with one peer, rows that changed since it was last
 * told; what is urgent goes to the whole failure domain at once. A round is
 * also the probe that finds dead peers. */
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "control/state.h"
#include "peers/link.h"
#include "peers/rows.h"
#include "serve/traffic.h"

#define ROUND_MS        1000
#define REPLY_MS        1000 /* silence that makes a peer suspect */
#define SUSPECT_MS      3000 /* suspicion that makes it dead */
#define FORGET_MS       600000
#define SEED_EVERY      5 /* rounds between words to a seed or a dead member */
#define BRIDGE_EVERY    2 /* rounds between a bridge's words to other domains */
#define DIFFERS_LIMIT   3 /* messages with other digests before all is told */
#define CHANGES_A_FRAME 64

/* What a peer was told. A peer begins with this node's own row and the digests;
 * if its rows differ it is sent all, at once when it is new to us, later only if
 * they differ for a while (rows are on their way all the time). */
struct told {
    uint64_t mark; /* rows up to here */
    bool known;    /* it has answered since */
    int differs;   /* messages in a row with other digests */
};

/* A link to a peer's control thread. */
struct contact {
    struct rk_gossip *g;
    char addr[RK_ADDR_MAX];
    char id[RK_ID_MAX]; /* "" until it told */
    struct rk_link *link;
    struct told told;
    struct rk_timer reply;
    struct contact *next;
};

/* A link a peer opened. */
struct guest {
    struct rk_gossip *g;
    struct rk_link *link;
    char id[RK_ID_MAX]; /* "" until it told */
    struct told told;   /* while we have no contact */
    struct guest *next;
};

struct rk_gossip {
    struct rk_control *c;
    struct rk_listener *listener;
    struct contact *contacts;
    struct guest *guests;
    struct rk_timer round;
    uint64_t rounds;
    size_t turn; /* where the walk over the members is */
    struct rk_delta delta;
};

/* ---- frames ---- */

static bool send_frame(struct rk_link *link, Rillknot__Frame *frame)
{
    rk_count(RK_C_PEER_BYTES, rillknot__frame__get_packed_size(frame) + 4);
    return rk_link_send(link, frame);
}

/* Send what the peer hasn't been told, and this node's own row to who is new. */
static void send_rows(struct rk_gossip *g, struct rk_link *link,
                      const char *peer_id, struct told *told, bool reply)
{
    const struct rk_members *m = g->c->members;
    const struct rk_member *self = rk_members_self(m);
    int peer = peer_id[0] ? rk_members_index(m, peer_id) : -1;
    const struct rk_member *to = peer >= 0 ? rk_members_at(m, (size_t)peer) : NULL;
    rk_members_delta(m, told->mark, peer, rk_mono_ms(), &g->delta);
    if (!told->known && !g->delta.members_len)
        g->delta.members[g->delta.members_len++] = 0;
    struct rk_digest digest = rk_members_digest(m);
    struct rk_rows rows;
    /* Rows of vms stay in their failure domain. */
    rk_rows_fill(&rows, m, &g->delta, !to || !strcmp(to->domain, self->domain));
    rows.gossip.from = (char *)self->id;
    rows.gossip.from_addr = (char *)self->control_addr;
    rows.gossip.reply = reply;
    rows.gossip.head = rk_changelog_head(g->c->changes);
    rows.gossip.members_digest = digest.members;
    rows.gossip.vms_digest = digest.vms;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_GOSSIP;
    frame.gossip = &rows.gossip;
    if (send_frame(link, &frame))
        told->mark = g->delta.next_mark;
    rk_rows_free(&rows);
}

static void ask_changes(struct rk_gossip *g, struct rk_link *link)
{
    Rillknot__ChangesWanted w = RILLKNOT__CHANGES_WANTED__INIT;
    w.after = rk_changelog_head(g->c->changes);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_CHANGES_WANTED;
    frame.changes_wanted = &w;
    send_frame(link, &frame);
}

/* Changes after a number, or a snapshot for who is too far behind. */
static void send_changes(struct rk_gossip *g, struct rk_link *link, int64_t after)
{
    const struct rk_changelog *log = g->c->changes;
    Rillknot__Changes msg = RILLKNOT__CHANGES__INIT;
    Rillknot__Change rows[CHANGES_A_FRAME], *ptrs[CHANGES_A_FRAME];
    char *snapshot = NULL;
    if (!rk_changelog_text(log, after + 1) && rk_changelog_head(log) > after) {
        snapshot = rk_changelog_snapshot(log);
        msg.snapshot = snapshot;
    }
    for (int64_t n = after + 1; !snapshot && msg.n_items < CHANGES_A_FRAME; n++) {
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

/* ---- taking in ---- */

static void take_member(struct rk_gossip *g, const Rillknot__MemberRow *row,
                        int from)
{
    struct rk_member m;
    if (!rk_rows_member(row, &m))
        return;
    if (!rk_members_merge(g->c->members, &m, from, rk_mono_ms())) {
        rk_control_dirty(g->c, false); /* its spare may have moved */
        return;
    }
    RK_EVENT("member.changed", RK_S("member", m.id), RK_N("state", m.state),
             RK_N("leaving", m.leaving));
    rk_control_dirty(g->c, true);
}

static void take_vm(struct rk_gossip *g, const Rillknot__VmRow *row, int from)
{
    struct rk_vm v;
    if (!rk_rows_vm(row, &v))
        return;
    if (!rk_members_merge_vm(g->c->members, &v, from, rk_mono_ms())) {
        rk_control_dirty(g->c, false);
        return;
    }
    RK_EVENT("vm.changed", RK_S("vm", v.id), RK_N("state", v.state),
             RK_S("by", "peer"));
    rk_control_dirty(g->c, true);
}

static void take_gossip(struct rk_gossip *g, struct rk_link *link,
                        const Rillknot__Gossip *msg)
{
    int from = rk_members_index(g->c->members, msg->from);
    int64_t now = rk_mono_ms();
    rk_members_heard(g->c->members, msg->from, now);
    for (size_t i = 0; i < msg->n_members; i++)
        take_member(g, msg->members[i], from);
    for (size_t i = 0; i < msg->n_vms; i++)
        take_vm(g, msg->vms[i], from);
    for (size_t i = 0; i < msg->n_loads; i++) {
        const Rillknot__VmLoad *l = msg->loads[i];
        rk_members_merge_load(g->c->members, l->id_hash, l->load_seq, l->running,
                              l->queued, from, now);
    }
    if (msg->n_loads)
        rk_control_dirty(g->c, false);
    if (msg->head > rk_changelog_head(g->c->changes))
        ask_changes(g, link);
}

static void take_changes(struct rk_gossip *g, struct rk_link *link,
                         const Rillknot__Changes *msg)
{
    struct rk_changelog *log = g->c->changes;
    int64_t before = rk_changelog_head(log);
    if (msg->snapshot[0])
        rk_changelog_restore(log, msg->snapshot);
    for (size_t i = 0; i < msg->n_items; i++)
        rk_changelog_take(log, msg->items[i]->number, msg->items[i]->text);
    if (rk_changelog_head(log) > before)
        rk_control_settings_moved(g->c);
    /* A gap: a change was pushed that we can't take yet. */
    if (msg->n_items && msg->items[0]->number > rk_changelog_head(log) + 1)
        ask_changes(g, link);
    if (msg->n_items == CHANGES_A_FRAME)
        ask_changes(g, link);
}

/* Frames both ends of a link understand. True if this was one. */
static bool take_common(struct rk_gossip *g, struct rk_link *link,
                        const Rillknot__Frame *frame)
{
    switch (frame->body_case) {
    case RILLKNOT__FRAME__BODY_GOSSIP:
        take_gossip(g, link, frame->gossip);
        return true;
    case RILLKNOT__FRAME__BODY_CHANGES_WANTED:
        send_changes(g, link, frame->changes_wanted->after);
        return true;
    case RILLKNOT__FRAME__BODY_CHANGES:
        take_changes(g, link, frame->changes);
        return true;
    default:
        return false;
    }
}

static bool in_domain(const struct rk_gossip *g, const struct rk_member *m)
{
    return !strcmp(m->domain, rk_members_self(g->c->members)->domain);
}

/* ---- what a peer was told ---- */

static struct told fresh(const struct rk_gossip *g)
{
    return (struct told){.mark = rk_members_mark(g->c->members)};
}

/* After its rows were taken in: does the peer still lack some of ours, or we of
 * its? Then tell it all; it does the same. */
static void compare_rows(struct rk_gossip *g, struct told *told,
                         const Rillknot__Gossip *msg)
{
    const struct rk_member *peer = rk_members_find(g->c->members, msg->from);
    struct rk_digest mine = rk_members_digest(g->c->members);
    bool same = msg->members_digest == mine.members;
    if (peer && in_domain(g, peer))
        same = same && msg->vms_digest == mine.vms;
    bool first = !told->known;
    told->known = true;
    told->differs = same ? 0 : told->differs + 1;
    if (same || (!first && told->differs < DIFFERS_LIMIT))
        return;
    told->differs = 0;
    told->mark = 0;
}

/* ---- contacts ---- */

static struct guest *find_guest(struct rk_gossip *g, const char *id)
{
    struct guest *guest = g->guests;
    while (guest && strcmp(guest->id, id) != 0)
        guest = guest->next;
    return guest;
}

static void free_contact(struct contact *k)
{
    rk_timer_stop(k->g->c->loop, &k->reply);
    rk_link_destroy(k->link);
    free(k);
}

static void drop_contact(struct contact *k)
{
    struct contact **p = &k->g->contacts;
    while (*p != k)
        p = &(*p)->next;
    *p = k->next;
    struct guest *guest = k->id[0] ? find_guest(k->g, k->id) : NULL;
    if (guest)
        guest->told.mark = 0; /* what was sent last may be lost */
    free_contact(k);
}

static void suspect(struct contact *k)
{
    struct rk_gossip *g = k->g;
    if (k->id[0]) {
        const struct rk_member *m = rk_members_find(g->c->members, k->id);
        if (m && m->state == RK_MEMBER_ALIVE) {
            RK_EVENT("member.suspect", RK_S("member", k->id));
            rk_members_suspect(g->c->members, k->id, rk_mono_ms());
            rk_control_dirty(g->c, true);
        }
    }
    drop_contact(k);
}

static void on_contact_frame(void *ctx, struct rk_link *link,
                             const Rillknot__Frame *frame)
{
    struct contact *k = ctx;
    if (frame->body_case == RILLKNOT__FRAME__BODY_GOSSIP) {
        rk_timer_stop(k->g->c->loop, &k->reply);
        rk_strcpy(k->id, sizeof(k->id), frame->gossip->from);
    }
    take_common(k->g, link, frame);
    if (frame->body_case == RILLKNOT__FRAME__BODY_GOSSIP)
        compare_rows(k->g, &k->told, frame->gossip);
}

static void on_contact_down(void *ctx, struct rk_link *link)
{
    (void)link;
    suspect(ctx);
}

static void on_reply_late(void *ctx)
{
    suspect(ctx);
}

static const struct rk_link_ops contact_ops = {.on_frame = on_contact_frame,
                                               .on_down = on_contact_down};

static struct contact *contact(struct rk_gossip *g, const char *addr,
                               const char *id)
{
    struct contact *k = g->contacts;
    while (k && strcmp(k->addr, addr) != 0)
        k = k->next;
    if (k)
        return k;
    k = rk_alloc(1, sizeof(*k));
    k->g = g;
    k->reply = (struct rk_timer){.fn = on_reply_late, .ctx = k};
    rk_strcpy(k->addr, sizeof(k->addr), addr);
    rk_strcpy(k->id, sizeof(k->id), id);
    k->link = rk_link_connect(g->c->loop, addr, &contact_ops, k);
    if (!k->link) {
        free(k);
        return NULL;
    }
    struct guest *guest = id[0] ? find_guest(g, id) : NULL;
    k->told = guest ? guest->told : fresh(g);
    k->next = g->contacts;
    g->contacts = k;
    return k;
}

static struct contact *find_contact(struct rk_gossip *g, const char *id)
{
    struct contact *k = g->contacts;
    while (k && strcmp(k->id, id) != 0)
        k = k->next;
    return k;
}

static void talk_to(struct rk_gossip *g, const char *addr, const char *id)
{
    struct contact *k = contact(g, addr, id);
    if (!k)
        return;
    send_rows(g, k->link, k->id, &k->told, false);
    rk_count(RK_C_GOSSIP_ROUNDS, 1);
    if (!k->reply.slot)
        rk_timer_start(g->c->loop, &k->reply, REPLY_MS);
}

/* ---- guests ---- */

static void on_guest_frame(void *ctx, struct rk_link *link,
                           const Rillknot__Frame *frame)
{
    struct guest *guest = ctx;
    struct rk_gossip *g = guest->g;
    if (frame->body_case == RILLKNOT__FRAME__BODY_STATE_WANTED) {
        struct told nothing = {.known = true};
        send_rows(g, link, "", &nothing, true);
        int64_t head = frame->state_wanted->head;
        if (head < rk_changelog_head(g->c->changes))
            send_changes(g, link, head);
        return;
    }
    take_common(g, link, frame);
    if (frame->body_case != RILLKNOT__FRAME__BODY_GOSSIP || frame->gossip->reply)
        return;
    /* Answer over the same link, from the mark of our own contact there. */
    rk_strcpy(guest->id, sizeof(guest->id), frame->gossip->from);
    struct contact *k = find_contact(g, guest->id);
    struct told *told = k ? &k->told : &guest->told;
    compare_rows(g, told, frame->gossip);
    send_rows(g, link, guest->id, told, true);
}

static void on_guest_down(void *ctx, struct rk_link *link)
{
    struct guest *guest = ctx;
    struct guest **p = &guest->g->guests;
    while (*p != guest)
        p = &(*p)->next;
    *p = guest->next;
    /* What we answered last may not have come through: tell it all again. */
    struct contact *k = guest->id[0] ? find_contact(guest->g, guest->id) : NULL;
    if (k)
        k->told.mark = 0;
    rk_link_destroy(link);
    free(guest);
}

static const struct rk_link_ops guest_ops = {.on_frame = on_guest_frame,
                                             .on_down = on_guest_down};

static void on_accept(void *ctx, struct rk_link *link)
{
    struct rk_gossip *g = ctx;
    struct guest *guest = rk_alloc(1, sizeof(*guest));
    *guest =
        (struct guest){.g = g, .link = link, .told = fresh(g), .next = g->guests};
    g->guests = guest;
    rk_link_set_ctx(link, guest);
}

/* ---- rounds ---- */

/* Walk the members in turn, so that each is probed within one lap. */
static void talk_in_domain(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    for (size_t n = rk_members_count(m); n; n--) {
        const struct rk_member *row =
            rk_members_at(m, g->turn++ % rk_members_count(m));
        if (row == rk_members_self(m) || row->state == RK_MEMBER_DEAD ||
            !in_domain(g, row))
            continue;
        talk_to(g, row->control_addr, row->id);
        return;
    }
}

static void talk_across(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    if (!rk_control_is_watcher(g->c))
        return;
    size_t len = rk_members_count(m), at = rk_rng_below(&g->c->rng, (uint32_t)len);
    for (size_t n = 0; n < len; n++) {
        const struct rk_member *row = rk_members_at(m, (at + n) % len);
        if (row->state == RK_MEMBER_DEAD || in_domain(g, row) ||
            !rk_member_is_bridge(m, row))
            continue;
        talk_to(g, row->control_addr, row->id);
        return;
    }
}

/* A seed or a member thought dead: how cut-off parts find each other again. */
static void talk_to_lost(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    size_t len = rk_members_count(m), at = rk_rng_below(&g->c->rng, (uint32_t)len);
    for (size_t n = 0; n < len; n++) {
        const struct rk_member *row = rk_members_at(m, (at + n) % len);
        if (row->state != RK_MEMBER_DEAD)
            continue;
        talk_to(g, row->control_addr, row->id);
        break;
    }
    if (!g->c->opt.seeds_len)
        return;
    const char *seed =
        g->c->opt.seeds[rk_rng_below(&g->c->rng, (uint32_t)g->c->opt.seeds_len)];
    if (strcmp(seed, rk_members_self(m)->control_addr) != 0)
        talk_to(g, seed, "");
}

static uint32_t total_spare(const struct rk_control *c)
{
    uint32_t spare = 0;
    for (size_t i = 0; i < c->traffic_len; i++)
        spare += atomic_load_explicit(&c->traffic[i]->spare, memory_order_relaxed);
    return spare;
}

static void on_round(void *ctx)
{
    struct rk_gossip *g = ctx;
    struct rk_control *c = g->c;
    rk_timer_start(c->loop, &g->round, ROUND_MS);
    rk_members_set_spare(c->members, total_spare(c));
    if (rk_members_expire(c->members, SUSPECT_MS, rk_mono_ms())) {
        RK_EVENT("member.dead",
                 RK_N("members", (int64_t)rk_members_count(c->members)));
        rk_control_dirty(c, true);
    }
    rk_members_forget(c->members, FORGET_MS, rk_mono_ms());
    talk_in_domain(g);
    if (g->rounds % BRIDGE_EVERY == 0)
        talk_across(g);
    if (g->rounds++ % SEED_EVERY == 0 || rk_members_count(c->members) == 1)
        talk_to_lost(g);
    rk_settings_sync_tick(c->settings);
    rk_vms_sync_tick(c->vms);
}

void rk_gossip_push(struct rk_gossip *g)
{
    const struct rk_members *m = g->c->members;
    for (size_t i = 1; i < rk_members_count(m); i++) {
        const struct rk_member *row = rk_members_at(m, i);
        if (row->state != RK_MEMBER_DEAD && in_domain(g, row))
            talk_to(g, row->control_addr, row->id);
    }
    talk_across(g);
}

void rk_gossip_push_change(struct rk_gossip *g, int64_t number)
{
    const struct rk_members *m = g->c->members;
    for (size_t i = 1; i < rk_members_count(m); i++) {
        const struct rk_member *row = rk_members_at(m, i);
        if (row->state == RK_MEMBER_DEAD || !in_domain(g, row))
            continue;
        struct contact *k = contact(g, row->control_addr, row->id);
        if (k)
            send_changes(g, k->link, number - 1);
    }
}

/* ---- making ---- */

struct rk_gossip *rk_gossip_create(struct rk_control *c)
{
    struct rk_gossip *g = rk_alloc(1, sizeof(*g));
    g->c = c;
    g->round = (struct rk_timer){.fn = on_round, .ctx = g};
    g->listener = rk_listener_create(c->loop, c->opt.control_listen, false,
                                     &guest_ops, on_accept, g);
    if (!g->listener) {
        free(g);
        return NULL;
    }
    return g;
}

void rk_gossip_destroy(struct rk_gossip *g)
{
    if (!g)
        return;
    rk_timer_stop(g->c->loop, &g->round);
    rk_listener_destroy(g->listener);
    for (struct contact *k = g->contacts, *next; k; k = next) {
        next = k->next;
        free_contact(k);
    }
    for (struct guest *guest = g->guests, *next; guest; guest = next) {
        next = guest->next;
        rk_link_destroy(guest->link);
        free(guest);
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
