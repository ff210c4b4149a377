/* Transfer of settings and whole VM lists to the peers that lack them: the newest
 * version, to one peer after the other, while few bytes wait on this node's links.
 * A bridge that sent large settings to all nodes of its domain at once filled its
 * link for 7 s (28 nodes, 317 KB, 10 Mbit/s). Nodes that received nothing from it
 * in that time took it for dead and became bridges in its place; they had older
 * settings and sent those to all nodes in turn. */
#include "node/mesh_impl.h"
#include "peers/link.h"

/* Bytes that may wait on all links together: 0.1 s of a link of 10 Mbit/s. */
#define WAITING_MAX_BYTES (128 * 1024)
#define PASS_INTERVAL_MS  5 /* between passes while some peers are left */
/* Delay before the first request. Bridges, which request newer settings at
 * once, usually send them unrequested within this time. */
#define FIRST_REQUEST_MS 300
#define REQUEST_RETRY_MS 1000
/* Retry delay for the same peer: longer, so that another one is asked first. */
#define SAME_PEER_RETRY_MS 1500

/* ---- requests to peers ---- */

bool rk_transfer_should_request(struct rk_mesh *m, const struct link_state *from,
                                int64_t version, int64_t now_ms)
{
    if (version <= rk_sync_version(m->n->sync))
        return false;
    /* Bridges send newer settings to the other nodes unrequested. */
    bool at_once = m->direct || m->bridge || !rk_sync_version(m->n->sync);
    if (!at_once && rk_sync_behind_ms(m->n->sync) < FIRST_REQUEST_MS)
        return false;
    int64_t retry_ms =
        from == m->settings_source ? SAME_PEER_RETRY_MS : REQUEST_RETRY_MS;
    if (m->settings_requested_ms && now_ms - m->settings_requested_ms < retry_ms)
        return false;
    m->settings_requested_ms = now_ms;
    m->settings_source = from;
    return true;
}

/* ---- transfers to peers ---- */

static void add_queue(struct rk_send_queues *queues, struct rk_link *link)
{
    size_t waiting = rk_link_queued_len(link);
    rk_send_queues_add(queues, waiting, rk_link_has_progressed(link));
}

size_t rk_mesh_waiting_bytes(const struct rk_mesh *m)
{
    struct rk_send_queues queues = {0};
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (k->link)
            add_queue(&queues, k->link);
    for (const struct inbound_link *in = m->inbound; in; in = in->next)
        add_queue(&queues, in->link);
    return rk_send_queues_waiting(&queues);
}

/* Returns whether the peer requested the settings and this version isn't already in
 * transit to it. */
static bool is_requested(const struct link_state *state, struct rk_link *link,
                         int64_t version)
{
    return state->settings_requested &&
           (state->settings_sent < version || !rk_link_queued_len(link));
}

/* Returns whether to send the settings to a member now. The first bridge of a
 * domain sends them to its nodes unrequested, the second one only on request. */
static bool is_due(const struct member *k, int64_t version)
{
    const struct rk_mesh *m = k->m;
    if (k->settings_version >= version || !rk_mesh_link_is_ready(k->link))
        return false;
    if (is_requested(&k->link_state, k->link, version))
        return true;
    return m->bridge && !m->rank && rk_mesh_is_same_domain(k) &&
           k->link_state.settings_sent < version;
}

/* One pass over the peers that may lack something. */
struct pass {
    struct rk_mesh *m;
    int64_t version;
    size_t waiting;  /* bytes on all links */
    bool incomplete; /* some peers were left for the next pass */
};

static void send_settings(struct pass *p, struct rk_link *link,
                          struct link_state *state)
{
    const Rillknot__StoreWanted settings = {.settings = true};
    Rillknot__StoreText text;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    if (p->waiting >= WAITING_MAX_BYTES) {
        p->incomplete = true;
        return;
    }
    rk_sync_fill_reply(p->m->n->sync, &settings, &text);
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_TEXT;
    frame.store_text = &text;
    if (!text.settings_zip.len || !rk_link_send(link, &frame))
        return;
    p->waiting += text.settings_zip.len;
    state->settings_requested = false;
    state->settings_sent = text.settings_revision;
}

/* Returns the number of bytes sent. */
static size_t send_list_since(struct rk_mesh *m, struct rk_link *link,
                              int64_t since)
{
    const Rillknot__StoreWanted list = {.list = true, .list_since = since};
    Rillknot__StoreText text;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    rk_sync_fill_reply(m->n->sync, &list, &text);
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_TEXT;
    frame.store_text = &text;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    size_t len = rk_link_send_packed(link, &packed) ? packed.len : 0;
    rk_packed_frame_free(&packed);
    return len;
}

/* A peer that repeats its request while the list is in transit gets it once. */
static void send_list(struct pass *p, struct rk_link *link,
                      struct link_state *state)
{
    if (!state->list_requested || !rk_mesh_link_is_ready(link))
        return;
    if (p->waiting >= WAITING_MAX_BYTES) {
        p->incomplete = true;
        return;
    }
    state->list_requested = false;
    if (state->list_sent && rk_link_queued_len(link))
        return;
    state->list_sent = true;
    p->waiting += send_list_since(p->m, link, 0);
}

/* Sends to the members that are bridges, or to those that aren't. Bridges come
 * first, as they pass the data on. */
static void send_to_members(struct pass *p, bool bridges)
{
    for (struct member *k = p->m->contacts; k; k = k->next_contact) {
        if (k->bridge != bridges)
            continue;
        if (is_due(k, p->version))
            send_settings(p, k->link, &k->link_state);
        send_list(p, k->link, &k->link_state);
    }
}

static void send_to_inbound(struct pass *p)
{
    for (struct inbound_link *in = p->m->inbound; in; in = in->next) {
        if (is_requested(&in->state, in->link, p->version))
            send_settings(p, in->link, &in->state);
        send_list(p, in->link, &in->state);
    }
}

static void run_pass(void *ctx)
{
    struct rk_mesh *m = ctx;
    struct pass p = {.m = m, .version = rk_sync_version(m->n->sync)};
    p.waiting = rk_mesh_waiting_bytes(m);
    send_to_members(&p, true);
    send_to_inbound(&p);
    send_to_members(&p, false);
    if (p.incomplete)
        rk_timer_start(m->n->loop, &m->transfer_timer, PASS_INTERVAL_MS);
}

void rk_transfer_schedule(struct rk_mesh *m)
{
    if (!m->transfer_timer.slot)
        rk_timer_start(m->n->loop, &m->transfer_timer, 0);
}

void rk_transfer_on_settings_request(struct rk_mesh *m, struct link_state *state)
{
    state->settings_requested = true;
    rk_transfer_schedule(m);
}

void rk_transfer_on_list_request(struct rk_mesh *m, struct rk_link *link,
                                 struct link_state *state, int64_t since)
{
    if (since) {
        if (rk_mesh_link_is_ready(link))
            send_list_since(m, link, since);
        return;
    }
    state->list_requested = true;
    rk_transfer_schedule(m);
}

void rk_mesh_send_settings(struct rk_mesh *m)
{
    m->settings_requested_ms = 0;
    rk_transfer_schedule(m);
}

void rk_transfer_init(struct rk_mesh *m)
{
    m->transfer_timer = (struct rk_timer){.fn = run_pass, .ctx = m};
}
