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
#include "node/state.h"
#include "objects/store.h"
#include "peers/link.h"

#define REPORT_MS       250
#define RELAY_SOON_MS   20 /* after a peer's report: for those that come together */
#define REPORT_SOON_MS  5  /* after news of the store */
#define HEARD_MS        900 /* a node silent for longer is not heard */
#define FORGET_MS       15000
#define FANOUT          12  /* peers told at once; of more, some in turn */
#define DIAL_MS         500 /* between tries to reach a node */
#define CONNECT_MS      1000
#define ASK_AGAIN_MS    300
#define NODES_KIND      "rillknot-nodes"
#define REGISTER_MIN_MS 200
#define REGISTER_MAX_MS 2000
#define USAGE_WINDOWS   4 /* told of, the current one included */

struct member {
    struct rk_mesh *m;
    struct member *next;
    char id[RK_ID_MAX]; /* "": a seed that has not told its name */
    char addr[RK_ADDR_MAX];
    char domain[RK_ID_MAX];
    uint64_t incarnation;
    struct rk_link *link; /* that this node opened */
    int64_t dialled_ms;
    int64_t heard_ms;
    int64_t known_ms; /* since when it is a member */
    bool heard;       /* as told last */
    bool leaving;
    int64_t remembers_ms;
    struct rk_vm_load *loads;
    size_t loads_len;
    struct rk_org_use *uses; /* since its start, as told last */
    size_t uses_len;
    struct rk_service_use *services; /* the same */
    size_t services_len;
};

/* A link that a peer opened. */
struct guest {
    struct rk_mesh *m;
    struct rk_link *link;
    struct guest *next;
};

struct rk_mesh {
    struct rk_node *n;
    struct rk_listener *listener;
    struct member *members;
    struct guest *guests;
    struct rk_timer tick, soon, relay_soon, enrol;
    int64_t told_ms; /* the peers, last */
    bool urgent;     /* all are told with the next telling */
    size_t turn;     /* where telling some in turn goes on */
    int64_t enrol_ms;
    bool enrolled, listed;
    int64_t asked_ms;
    /* Used by peers since the relay was told. */
    struct rk_org_use *news;
    size_t news_len;
};

/* ---- members ---- */

static size_t count_members(const struct rk_mesh *m)
{
    size_t count = 0;
    for (const struct member *k = m->members; k; k = k->next)
        count++;
    return count;
}

/* Rounds of reports until a node has told each other. */
static int64_t rounds(const struct rk_mesh *m)
{
    int64_t count = (int64_t)count_members(m);
    return count > FANOUT ? (count + FANOUT - 1) / FANOUT : 1;
}

static bool is_heard(const struct member *k, int64_t now_ms)
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
static struct member *learn(struct rk_mesh *m, const char *id, const char *addr)
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

static bool is_self(const struct rk_mesh *m, const char *id, const char *addr)
{
    return !strcmp(id, m->n->file.id) ||
           !strcmp(addr, rk_listener_addr(m->listener));
}

int rk_mesh_heard(const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    int count = 1;
    for (const struct member *k = m->members; k; k = k->next)
        count += is_heard(k, now_ms);
    return count;
}

/* A node that said that it leaves is gone once it is silent. */
int rk_mesh_total(const struct rk_mesh *m)
{
    int count = 1;
    int64_t now_ms = rk_mono_ms();
    for (const struct member *k = m->members; k; k = k->next)
        count += k->id[0] && (!k->leaving || is_heard(k, now_ms));
    return m->listed || count > RK_UNKNOWN_NODES ? count : RK_UNKNOWN_NODES;
}

/* Forget who was silent for long, and log who came and went. */
static void review_members(struct rk_mesh *m, int64_t now_ms)
{
    for (struct member **at = &m->members; *at;) {
        struct member *k = *at;
        bool heard = is_heard(k, now_ms);
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

struct report_parts {
    Rillknot__NodeReport report;
    Rillknot__LeaseRow lease;
    Rillknot__VmUse *vms, **vm_ptrs;
    Rillknot__OrgUse *uses, **use_ptrs;
    uint64_t *known;
    Rillknot__UsageRow *usage, **usage_ptrs;
    Rillknot__ServiceUse *services, **service_ptrs;
    char **peers;
};

static void fill_vms(struct report_parts *p, const struct rk_relay_report *r)
{
    p->vms = rk_alloc(r->loads_len + 1, sizeof(*p->vms));
    p->vm_ptrs = rk_alloc(r->loads_len + 1, sizeof(*p->vm_ptrs));
    for (size_t i = 0; i < r->loads_len; i++) {
        rillknot__vm_use__init(&p->vms[i]);
        p->vms[i].id = r->loads[i].id;
        p->vms[i].running = r->loads[i].running;
        p->vms[i].waiting_tokens = r->loads[i].waiting_tokens;
        p->vm_ptrs[i] = &p->vms[i];
    }
    p->report.n_vms = r->loads_len;
    p->report.vms = p->vm_ptrs;
}

static void fill_uses(struct report_parts *p, const struct rk_relay_report *r)
{
    p->uses = rk_alloc(r->uses_len + 1, sizeof(*p->uses));
    p->known = rk_alloc(r->uses_len * RK_QUOTA_PARTS + 1, sizeof(*p->known));
    p->use_ptrs = rk_alloc(r->uses_len + 1, sizeof(*p->use_ptrs));
    for (size_t i = 0; i < r->uses_len; i++) {
        rillknot__org_use__init(&p->uses[i]);
        p->uses[i].org = r->uses[i].org;
        p->uses[i].units = r->uses[i].units;
        for (size_t j = 0; j < RK_QUOTA_PARTS; j++)
            p->known[i * RK_QUOTA_PARTS + j] = (uint64_t)r->uses[i].known[j];
        p->uses[i].n_known = RK_QUOTA_PARTS;
        p->uses[i].known = &p->known[i * RK_QUOTA_PARTS];
        p->use_ptrs[i] = &p->uses[i];
    }
    p->report.n_uses = r->uses_len;
    p->report.uses = p->use_ptrs;
}

static void fill_usage(struct report_parts *p, const struct rk_relay_report *r,
                       int64_t oldest)
{
    p->usage = rk_alloc(r->usage_len + 1, sizeof(*p->usage));
    p->usage_ptrs = rk_alloc(r->usage_len + 1, sizeof(*p->usage_ptrs));
    size_t n = 0;
    for (size_t i = 0; i < r->usage_len; i++) {
        if (r->usage[i].window < oldest)
            continue;
        rillknot__usage_row__init(&p->usage[n]);
        p->usage[n].node = r->usage[i].node;
        p->usage[n].window = r->usage[i].window;
        p->usage[n].org = r->usage[i].org;
        p->usage[n].count = r->usage[i].count;
        p->usage_ptrs[n] = &p->usage[n];
        n++;
    }
    p->report.n_usage = n;
    p->report.usage = p->usage_ptrs;
}

static void fill_services(struct report_parts *p, const struct rk_relay_report *r)
{
    p->services = rk_alloc(r->services_len + 1, sizeof(*p->services));
    p->service_ptrs = rk_alloc(r->services_len + 1, sizeof(*p->service_ptrs));
    for (size_t i = 0; i < r->services_len; i++) {
        rillknot__service_use__init(&p->services[i]);
        p->services[i].service = r->services[i].service;
        p->services[i].read_tokens = r->services[i].read_tokens;
        p->services[i].running = r->services[i].running;
        p->service_ptrs[i] = &p->services[i];
    }
    p->report.n_services = r->services_len;
    p->report.services = p->service_ptrs;
}

static void fill_peers(struct report_parts *p, const struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    p->peers = rk_alloc(count_members(m) + 1, sizeof(*p->peers));
    for (struct member *k = m->members; k; k = k->next)
        if (k->id[0] && is_heard(k, now_ms))
            p->peers[p->report.n_peers++] = k->addr;
    p->report.peers = p->peers;
}

static void fill_report(struct report_parts *p, struct rk_mesh *m)
{
    struct rk_node *n = m->n;
    *p = (struct report_parts){0};
    rillknot__node_report__init(&p->report);
    rillknot__lease_row__init(&p->lease);
    p->report.id = n->file.id;
    p->report.domain = n->file.failure_domain;
    p->report.addr = (char *)rk_listener_addr(m->listener);
    p->report.incarnation = n->incarnation;
    p->report.settings_version = rk_sync_version(n->sync);
    p->report.list_revision = rk_sync_list_revision(n->sync);
    p->report.leaving = n->leaving;
    const char *value;
    if (rk_duty_keeper_lease(n->duty_keeper, &p->lease.version, &value)) {
        p->lease.value = (char *)value;
        p->report.lease = &p->lease;
    }
    fill_peers(p, m);
    if (!n->report)
        return;
    int64_t window = rk_wall_ms() / rk_s_to_ms(n->file.usage_window_s);
    p->report.remembers_ms = n->report->remembers_ms;
    fill_vms(p, n->report);
    fill_uses(p, n->report);
    fill_usage(p, n->report, window - USAGE_WINDOWS + 1);
    fill_services(p, n->report);
}

static void free_report(struct report_parts *p)
{
    free(p->vms);
    free(p->vm_ptrs);
    free(p->uses);
    free(p->known);
    free(p->use_ptrs);
    free(p->usage);
    free(p->usage_ptrs);
    free(p->services);
    free(p->service_ptrs);
    free(p->peers);
}

/* Tell up to `most` peers, going on where the last telling ended. */
static void tell(struct rk_mesh *m, size_t most)
{
    struct report_parts p;
    size_t count = count_members(m), at = 0;
    m->told_ms = rk_mono_ms();
    fill_report(&p, m);
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
    free_report(&p);
}

static void on_soon(void *ctx)
{
    struct rk_mesh *m = ctx;
    tell(m, m->urgent ? count_members(m) : FANOUT);
    m->urgent = false;
}

void rk_mesh_report(struct rk_mesh *m, bool urgent)
{
    m->urgent = m->urgent || urgent;
    if (!m->soon.slot)
        rk_timer_start(m->n->loop, &m->soon, REPORT_SOON_MS);
}

/* ---- reports in ---- */

/* What the node used since its last report goes to the relay with the next. What a
 * node heard for the first time used before is among what peers remember. */
static void take_uses(struct member *k, const Rillknot__NodeReport *r, bool first)
{
    struct rk_mesh *m = k->m;
    struct rk_org_use *uses = rk_alloc(r->n_uses + 1, sizeof(*uses));
    m->news = rk_realloc(m->news, (m->news_len + r->n_uses + 1) * sizeof(*m->news));
    for (size_t i = 0; i < r->n_uses; i++) {
        rk_strcpy(uses[i].org, sizeof(uses[i].org), r->uses[i]->org);
        uses[i].units = r->uses[i]->units;
        for (size_t j = 0; j < r->uses[i]->n_known && j < RK_QUOTA_PARTS; j++)
            uses[i].known[j] = (double)r->uses[i]->known[j];
        double before = first ? uses[i].units : 0;
        for (size_t j = 0; j < k->uses_len; j++)
            if (!strcmp(k->uses[j].org, uses[i].org))
                before = k->uses[j].units;
        struct rk_org_use *news = &m->news[m->news_len];
        *news = uses[i];
        news->units -= before;
        if (news->units != 0)
            m->news_len++;
    }
    free(k->uses);
    k->uses = uses;
    k->uses_len = r->n_uses;
}

static void take_loads(struct member *k, const Rillknot__NodeReport *r)
{
    k->loads = rk_realloc(k->loads, (r->n_vms + 1) * sizeof(*k->loads));
    k->loads_len = r->n_vms;
    for (size_t i = 0; i < r->n_vms; i++) {
        rk_strcpy(k->loads[i].id, sizeof(k->loads[i].id), r->vms[i]->id);
        k->loads[i].running = r->vms[i]->running;
        k->loads[i].waiting_tokens = r->vms[i]->waiting_tokens;
    }
}

static void take_services(struct member *k, const Rillknot__NodeReport *r)
{
    k->services =
        rk_realloc(k->services, (r->n_services + 1) * sizeof(*k->services));
    k->services_len = r->n_services;
    for (size_t i = 0; i < r->n_services; i++) {
        struct rk_service_use *use = &k->services[i];
        rk_strcpy(use->service, sizeof(use->service), r->services[i]->service);
        use->read_tokens = r->services[i]->read_tokens;
        use->running = r->services[i]->running;
    }
}

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
            if (is_heard(k, now_ms))
                sum.running += k->services[i].running;
        }
    return sum;
}

static void take_usage(struct rk_node *n, const Rillknot__NodeReport *r)
{
    for (size_t i = 0; i < r->n_usage; i++) {
        struct rk_usage_row row = {.node = r->usage[i]->node,
                                   .window = r->usage[i]->window,
                                   .count = r->usage[i]->count};
        rk_strcpy(row.org, sizeof(row.org), r->usage[i]->org);
        rk_usage_merge(&n->usage, &row);
    }
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
    if (is_self(m, r->id, r->addr))
        return;
    struct member *k = learn(m, r->id, r->addr);
    bool first = !k->incarnation;
    if (k->incarnation != r->incarnation) {
        k->incarnation = r->incarnation;
        k->uses_len = 0; /* it counts from its start */
    }
    rk_strcpy(k->domain, sizeof(k->domain), r->domain);
    k->heard_ms = rk_mono_ms();
    k->leaving = r->leaving;
    k->remembers_ms = r->remembers_ms;
    take_uses(k, r, first);
    take_loads(k, r);
    take_services(k, r);
    take_usage(m->n, r);
    if (!m->relay_soon.slot)
        rk_timer_start(m->n->loop, &m->relay_soon, RELAY_SOON_MS);
    if (r->lease)
        rk_duty_keeper_seen(m->n->duty_keeper, r->lease->version, r->lease->value);
    for (size_t i = 0; i < r->n_peers; i++)
        if (!is_self(m, "", r->peers[i]) && !find_by_addr(m, r->peers[i]))
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
static void dial_members(struct rk_mesh *m, int64_t now_ms)
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
        if (is_heard(k, now_ms) && (!best || k->remembers_ms > best->remembers_ms))
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
        loads += is_heard(k, now_ms) ? k->loads_len : 0;
    p->loads = rk_alloc(loads + 1, sizeof(*p->loads));
    for (struct member *k = m->members; k; k = k->next) {
        if (!is_heard(k, now_ms) || !k->loads_len)
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
    dial_members(m, now_ms);
    if (now_ms - m->told_ms >= REPORT_MS)
        tell(m, FANOUT); /* else the relay's reports set the pace */
    tell_relay(m, now_ms);
}

static void on_relay_soon(void *ctx)
{
    tell_relay(ctx, rk_mono_ms());
}

/* ---- the list of nodes in the store ---- */

static void enrol_later(struct rk_mesh *m)
{
    uint32_t jitter = rk_rng_below(&m->n->rng, (uint32_t)m->enrol_ms + 1);
    rk_timer_start(m->n->loop, &m->enrol, m->enrol_ms / 2 + jitter);
    m->enrol_ms =
        m->enrol_ms * 2 < REGISTER_MAX_MS ? m->enrol_ms * 2 : REGISTER_MAX_MS;
}

static void on_nodes(void *ctx, enum rk_status st,
                     const struct rk_store_object *objects, size_t len, int64_t at)
{
    (void)at;
    struct rk_mesh *m = ctx;
    if (st != RK_OK) {
        enrol_later(m);
        return;
    }
    m->listed = true;
    for (size_t i = 0; i < len; i++) {
        const char *addr = rk_json_str(objects[i].spec, "addr");
        if (addr[0] && !is_self(m, objects[i].name, addr))
            learn(m, objects[i].name, addr);
    }
    RK_EVENT("mesh.enrolled", RK_N("nodes", (int64_t)len));
    dial_members(m, rk_mono_ms());
}

static void list_nodes(struct rk_mesh *m)
{
    struct rk_store *store = m->n->store;
    store->ops->list(store, NODES_KIND, on_nodes, m);
}

static void on_enrolled(void *ctx, enum rk_status st,
                        const struct rk_store_object *object)
{
    struct rk_mesh *m = ctx;
    struct rk_store *store = m->n->store;
    if (st == RK_ECONFLICT && object && !m->enrolled) {
        /* Of an earlier life of this node. */
        char spec[RK_ADDR_MAX + 32];
        snprintf(spec, sizeof(spec), "{\"addr\":\"%s\"}",
                 rk_listener_addr(m->listener));
        m->enrolled = true;
        if (strcmp(rk_json_str(object->spec, "addr"),
                   rk_listener_addr(m->listener)) != 0) {
            store->ops->replace(store, NODES_KIND, m->n->file.id, object->revision,
                                spec, on_enrolled, m);
            return;
        }
    } else if (st != RK_OK) {
        m->enrolled = false;
        enrol_later(m);
        return;
    }
    m->enrolled = true;
    list_nodes(m);
}

static void on_enrol(void *ctx)
{
    struct rk_mesh *m = ctx;
    struct rk_store *store = m->n->store;
    if (m->enrolled) {
        list_nodes(m);
        return;
    }
    char spec[RK_ADDR_MAX + 32];
    snprintf(spec, sizeof(spec), "{\"addr\":\"%s\"}",
             rk_listener_addr(m->listener));
    store->ops->create(store, NODES_KIND, m->n->file.id, spec, on_enrolled, m);
}

/* ---- making ---- */

struct rk_mesh *rk_mesh_create(struct rk_node *n)
{
    struct rk_mesh *m = rk_alloc(1, sizeof(*m));
    m->n = n;
    m->enrol_ms = REGISTER_MIN_MS;
    m->tick = (struct rk_timer){.fn = on_tick, .ctx = m};
    m->relay_soon = (struct rk_timer){.fn = on_relay_soon, .ctx = m};
    m->soon = (struct rk_timer){.fn = on_soon, .ctx = m};
    m->enrol = (struct rk_timer){.fn = on_enrol, .ctx = m};
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
        if (!is_self(m, "", addr) && !find_by_addr(m, addr))
            add_member(m, "", addr);
    }
    rk_timer_start(m->n->loop, &m->tick, 0);
    rk_timer_start(m->n->loop, &m->enrol, 0);
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
