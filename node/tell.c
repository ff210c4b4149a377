/* Settings and whole lists of vms, told to those who lack them: the newest, to one
 * peer after the other, while little waits on this node's links. A bridge that sent
 * large settings to all nodes of its domain at once filled its link for 7 s (28
 * nodes, 317 KB, 10 Mbit/s); who heard nothing from it meanwhile took it for dead
 * and bridged in its place, with older settings, which it told all nodes in turn.
 */
#include "node/mesh_impl.h"
#include "peers/link.h"

#define WAITING_MAX                                                                \
    (128 * 1024)         /* bytes on all links: 0.1 s of a link of 10 Mbit/s */
#define PUMP_MS      5   /* between looks while some are left */
#define ASK_FIRST_MS 300 /* a bridge tells meanwhile; it hears itself at once */
#define ASK_AGAIN_MS 1000
#define ASK_SAME_MS  1500 /* the same peer: another one is asked before */

/* ---- asking ---- */

bool rk_tell_should_ask(struct rk_mesh *m, const struct link_told *from,
                        int64_t version, int64_t now_ms)
{
    if (version <= rk_sync_version(m->n->sync))
        return false;
    /* Where there are bridges, they tell the other nodes unasked. */
    bool soon = m->direct || m->bridge || !rk_sync_version(m->n->sync);
    if (!soon && rk_sync_behind_ms(m->n->sync) < ASK_FIRST_MS)
        return false;
    int64_t pause_ms = from == m->asked_last ? ASK_SAME_MS : ASK_AGAIN_MS;
    if (m->wanted_ms && now_ms - m->wanted_ms < pause_ms)
        return false;
    m->wanted_ms = now_ms;
    m->asked_last = from;
    return true;
}

/* ---- telling ---- */

size_t rk_mesh_waiting(const struct rk_mesh *m)
{
    size_t bytes = 0;
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        bytes += k->link ? rk_link_waiting(k->link) : 0;
    for (const struct guest *g = m->guests; g; g = g->next)
        bytes += rk_link_waiting(g->link);
    return bytes;
}

/* Asked for, and not on its way already. */
static bool is_wanted(const struct link_told *told, struct rk_link *link,
                      int64_t version)
{
    return told->wanted && (told->sent_version < version || !rk_link_waiting(link));
}

/* The first bridge of a domain tells its nodes unasked; the second tells who asks.
 */
static bool is_due(const struct member *k, int64_t version)
{
    const struct rk_mesh *m = k->m;
    if (k->settings_version >= version || !rk_mesh_takes(k->link))
        return false;
    if (is_wanted(&k->told, k->link, version))
        return true;
    return m->bridge && !m->preceded && rk_mesh_is_near(k) &&
           k->told.sent_version < version;
}

/* One look at who lacks something. */
struct pass {
    struct rk_mesh *m;
    int64_t version;
    size_t waiting; /* bytes, on all links */
    bool left;      /* somebody has to wait */
};

static void send_settings(struct pass *p, struct rk_link *link,
                          struct link_told *told)
{
    const Rillknot__StoreWanted settings = {.settings = true};
    Rillknot__StoreText text;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    if (p->waiting >= WAITING_MAX) {
        p->left = true;
        return;
    }
    rk_sync_tell(p->m->n->sync, &settings, &text);
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_TEXT;
    frame.store_text = &text;
    if (!text.settings_zip.len || !rk_link_send(link, &frame))
        return;
    p->waiting += text.settings_zip.len;
    told->wanted = false;
    told->sent_version = text.settings_revision;
}

/* Returns the bytes sent. */
static size_t send_list_since(struct rk_mesh *m, struct rk_link *link,
                              int64_t since)
{
    const Rillknot__StoreWanted list = {.list = true, .list_since = since};
    Rillknot__StoreText text;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    rk_sync_tell(m->n->sync, &list, &text);
    frame.body_case = RILLKNOT__FRAME__BODY_STORE_TEXT;
    frame.store_text = &text;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    size_t len = rk_link_send_packed(link, &packed) ? packed.len : 0;
    rk_packed_frame_free(&packed);
    return len;
}

/* Who asks again while it is on its way isn't told twice. */
static void send_list(struct pass *p, struct rk_link *link, struct link_told *told)
{
    if (!told->list_wanted || !rk_mesh_takes(link))
        return;
    if (p->waiting >= WAITING_MAX) {
        p->left = true;
        return;
    }
    told->list_wanted = false;
    if (told->list_sent && rk_link_waiting(link))
        return;
    told->list_sent = true;
    p->waiting += send_list_since(p->m, link, 0);
}

/* Bridges first: they are who answers others. */
static void tell_members(struct pass *p, bool bridges)
{
    for (struct member *k = p->m->contacts; k; k = k->next_contact) {
        if (k->bridge != bridges)
            continue;
        if (is_due(k, p->version))
            send_settings(p, k->link, &k->told);
        send_list(p, k->link, &k->told);
    }
}

static void tell_guests(struct pass *p)
{
    for (struct guest *g = p->m->guests; g; g = g->next) {
        if (is_wanted(&g->told, g->link, p->version))
            send_settings(p, g->link, &g->told);
        send_list(p, g->link, &g->told);
    }
}

static void pump(void *ctx)
{
    struct rk_mesh *m = ctx;
    struct pass p = {.m = m, .version = rk_sync_version(m->n->sync)};
    p.waiting = rk_mesh_waiting(m);
    tell_members(&p, true);
    tell_guests(&p);
    tell_members(&p, false);
    if (p.left)
        rk_timer_start(m->n->loop, &m->tell, PUMP_MS);
}

void rk_tell_soon(struct rk_mesh *m)
{
    if (!m->tell.slot)
        rk_timer_start(m->n->loop, &m->tell, 0);
}

void rk_tell_wanted(struct rk_mesh *m, struct link_told *told)
{
    told->wanted = true;
    rk_tell_soon(m);
}

void rk_tell_list_wanted(struct rk_mesh *m, struct rk_link *link,
                         struct link_told *told, int64_t since)
{
    if (since) {
        if (rk_mesh_takes(link))
            send_list_since(m, link, since);
        return;
    }
    told->list_wanted = true;
    rk_tell_soon(m);
}

void rk_mesh_tell_settings(struct rk_mesh *m)
{
    m->wanted_ms = 0;
    rk_tell_soon(m);
}

void rk_tell_init(struct rk_mesh *m)
{
    m->tell = (struct rk_timer){.fn = pump, .ctx = m};
}
