/* Making digests and telling them: the sum of this node's domain to the bridges of
 * the others, the sum of the fleet to the nodes of its own. */
#include <stdlib.h>
#include <string.h>

#include "node/mesh_impl.h"
#include "peers/link.h"

#define DIGEST_MS    250
#define MEMBERS_EACH 4 /* digests, one tells who the members are */
/* Of these, one tells a domain's nodes also of the nodes of others that bridge
 * none: they need only know that those exist. */
#define FAR_EACH 4
/* The first of a process tell the members each time: after a kill of all, who is
 * heard changes fast, and others know nobody. */
#define FIRST_DIGESTS 8
/* More vms are told in fewer of the digests. At 160 engines, loads that are 500
 * instead of 250 ms apart make the slowest first tokens of a hundred 12% later, 28%
 * under load. */
#define VMS_AT_ONCE  300
#define VMS_EACH_MAX 8 /* at least one of so many */
/* Who comes second in its domain tells the domain's nodes each second time only
 * that it is there: they count the first one's, and need but half a second's news
 * when that falls silent. */
#define SECOND_EACH 2

/* A node that knows only this one's address is told who there is: 25 KB at 295
 * nodes, so not with each of its reports. */
#define ANSWER_AGAIN_MS 2000

/* A digest in the making. */
struct making {
    Rillknot__Digest digest;
    Rillknot__LeaseRow lease;
    struct rk_vm_load *loads; /* a row for each node and vm, then for each vm */
    size_t loads_len;
    struct rk_tally in_hand; /* calls, by service */
    struct rk_tally begun;   /* of these, the ones whose answers have begun */
    struct rk_tally asking;  /* units of quotas a second */
    Rillknot__VmUse *vms, **vm_ptrs;
    Rillknot__OrgUse *uses, **use_ptrs;
    uint64_t *known;
    Rillknot__ServiceUse *services, **service_ptrs;
    Rillknot__EngineEstimate *engines;
    Rillknot__NodeRow *members, **member_ptrs;
};

static void add_loads(struct making *p, const struct rk_vm_load *loads, size_t len)
{
    p->loads = rk_realloc(p->loads, (p->loads_len + len + 1) * sizeof(*p->loads));
    if (len)
        memcpy(p->loads + p->loads_len, loads, len * sizeof(*loads));
    p->loads_len += len;
}

static int by_vm(const void *a, const void *b)
{
    const struct rk_vm_load *x = a, *y = b;
    int order = strcmp(x->id, y->id);
    return order ? order : (x->life > y->life) - (x->life < y->life);
}

/* One row for each life of a vm. */
static void sum_loads(struct making *p)
{
    size_t len = 0;
    qsort(p->loads, p->loads_len, sizeof(*p->loads), by_vm);
    for (size_t i = 0; i < p->loads_len; i++) {
        if (len && !by_vm(&p->loads[len - 1], &p->loads[i]))
            rk_loads_sum(&p->loads[len - 1], &p->loads[i]);
        else
            p->loads[len++] = p->loads[i];
    }
    p->loads_len = len;
}

static void add_in_hand(struct making *p, const struct rk_service_use *services,
                        size_t len)
{
    for (size_t i = 0; i < len; i++) {
        *rk_tally_at(&p->in_hand, services[i].service) += services[i].running;
        *rk_tally_at(&p->begun, services[i].service) += services[i].begun;
    }
}

/* Sum what runs at the nodes of this domain, and of the others if fleet. */
static void add_nodes(struct making *p, const struct rk_mesh *m, bool fleet)
{
    const struct rk_relay_report *r = m->n->report;
    int64_t now_ms = rk_mono_ms();
    p->digest.nodes_heard = 1;
    if (r) {
        add_loads(p, r->loads, r->loads_len);
        add_in_hand(p, r->services, r->services_len);
    }
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (rk_mesh_is_near(k) && rk_mesh_is_heard(k, now_ms)) {
            p->digest.nodes_heard++;
            add_loads(p, k->loads, k->loads_len);
            add_in_hand(p, k->services, k->services_len);
        } else if (fleet && rk_digest_counts(k, now_ms)) {
            p->digest.nodes_heard += (uint32_t)k->digest.nodes_heard;
            add_loads(p, k->digest.loads, k->digest.loads_len);
            add_in_hand(p, k->digest.services, k->digest.services_len);
        }
    }
}

static void fill_vms(struct making *p)
{
    size_t len = p->loads_len;
    p->vms = rk_alloc(len + 1, sizeof(*p->vms));
    p->vm_ptrs = rk_alloc(len + 1, sizeof(*p->vm_ptrs));
    for (size_t i = 0; i < len; i++) {
        rk_loads_put(&p->vms[i], &p->loads[i]);
        p->vm_ptrs[i] = &p->vms[i];
    }
    p->digest.n_vms = len;
    p->digest.vms = p->vm_ptrs;
    p->digest.vms_told = true;
}

/* Are vms told with this digest? */
static bool tells_vms(const struct rk_mesh *m, size_t vms)
{
    size_t each = 1 + vms / VMS_AT_ONCE;
    return m->digests % (each < VMS_EACH_MAX ? each : VMS_EACH_MAX) == 0;
}

static void fill_known(struct making *p, const struct rk_mesh *m, size_t row)
{
    const struct rk_relay_report *r = m->n->report;
    const struct rk_org_use *own =
        r ? rk_org_use_find(r->uses, r->uses_len, p->uses[row].org) : NULL;
    uint64_t *known = &p->known[row * RK_QUOTA_PARTS];
    if (!own)
        return;
    for (size_t j = 0; j < RK_QUOTA_PARTS; j++)
        known[j] = (uint64_t)own->known[j];
    p->uses[row].known = known;
    p->uses[row].n_known = RK_QUOTA_PARTS;
}

/* What callers ask for at the nodes that the digest tells of. */
static void add_asking(struct making *p, const struct rk_mesh *m, bool fleet)
{
    const struct rk_relay_report *r = m->n->report;
    rk_loads_add_asking(m, fleet, &p->asking, rk_mono_ms());
    for (size_t i = 0; r && i < r->uses_len; i++)
        *rk_tally_at(&p->asking, r->uses[i].org) += r->uses[i].asking;
}

static void fill_uses(struct making *p, const struct rk_mesh *m, bool fleet,
                      bool known)
{
    const struct rk_tally *uses = fleet ? &m->fleet_uses : &m->domain_uses;
    p->uses = rk_alloc(uses->len + 1, sizeof(*p->uses));
    p->use_ptrs = rk_alloc(uses->len + 1, sizeof(*p->use_ptrs));
    p->known = rk_alloc(uses->len * RK_QUOTA_PARTS + 1, sizeof(*p->known));
    add_asking(p, m, fleet);
    for (size_t i = 0; i < uses->len; i++) {
        rillknot__org_use__init(&p->uses[i]);
        p->uses[i].org = uses->rows[i].name;
        p->uses[i].units = uses->rows[i].total;
        p->uses[i].asking = (float)rk_tally_total(&p->asking, p->uses[i].org);
        if (known)
            fill_known(p, m, i);
        p->use_ptrs[i] = &p->uses[i];
    }
    p->digest.n_uses = uses->len;
    p->digest.uses = p->use_ptrs;
}

static void fill_services(struct making *p, const struct rk_mesh *m, bool fleet)
{
    const struct rk_tally *reads = fleet ? &m->fleet_reads : &m->domain_reads;
    p->engines = rk_alloc(reads->len + 1, sizeof(*p->engines));
    p->services = rk_alloc(reads->len + 1, sizeof(*p->services));
    p->service_ptrs = rk_alloc(reads->len + 1, sizeof(*p->service_ptrs));
    for (size_t i = 0; i < reads->len; i++) {
        Rillknot__ServiceUse *use = &p->services[i];
        rillknot__service_use__init(use);
        use->service = reads->rows[i].name;
        use->read_tokens = reads->rows[i].total;
        use->running = (uint32_t)rk_tally_total(&p->in_hand, use->service);
        use->begun = (uint32_t)rk_tally_total(&p->begun, use->service);
        struct rk_engine_estimate e = rk_engines_of(m, use->service, fleet);
        if (e.samples > 0) {
            rk_engines_put(&p->engines[i], &e);
            use->engine = &p->engines[i];
        }
        p->service_ptrs[i] = use;
    }
    p->digest.n_services = reads->len;
    p->digest.services = p->service_ptrs;
}

/* Is a member told as heard? A bridge speaks for its own domain from what it hears
 * itself; the rest is what was told here. */
static bool is_told_of(const struct member *k, int64_t now_ms)
{
    if (rk_mesh_is_near(k) && k->m->bridge)
        return rk_mesh_is_heard(k, now_ms);
    return (k->told_ms || k->heard_ms) && rk_mesh_is_alive(k, now_ms);
}

/* Which members a digest tells of. */
enum members { NO_MEMBERS, SOME_MEMBERS, ALL_MEMBERS };

static enum members members_due(const struct rk_mesh *m)
{
    if (m->digests && m->digests < FIRST_DIGESTS)
        return SOME_MEMBERS;
    if (m->digests % MEMBERS_EACH != 0)
        return NO_MEMBERS;
    return m->digests % (MEMBERS_EACH * FAR_EACH) ? SOME_MEMBERS : ALL_MEMBERS;
}

static bool tells_of(const struct member *k, bool fleet, enum members which)
{
    if (!k->id[0] || !k->domain[0])
        return false;
    if (rk_mesh_is_near(k))
        return true;
    return fleet && (k->bridge || which == ALL_MEMBERS);
}

static void fill_members(struct making *p, const struct rk_mesh *m, bool fleet,
                         enum members which)
{
    int64_t now_ms = rk_mono_ms();
    size_t len = rk_mesh_count(m);
    p->members = rk_alloc(len + 1, sizeof(*p->members));
    p->member_ptrs = rk_alloc(len + 1, sizeof(*p->member_ptrs));
    for (struct member *k = m->members; k; k = k->next) {
        if (!tells_of(k, fleet, which))
            continue;
        Rillknot__NodeRow *row = &p->members[p->digest.n_members];
        rillknot__node_row__init(row);
        row->id = k->id;
        row->addr = k->addr;
        row->domain = k->domain;
        row->capacity = k->capacity;
        row->heard = is_told_of(k, now_ms);
        row->leaving = k->leaving;
        row->slow = k->slow;
        row->hears_store = k->hears_store;
        p->member_ptrs[p->digest.n_members++] = row;
    }
    p->digest.members = p->member_ptrs;
}

/* brief: a heartbeat; what runs where and what was used is as it was. */
static void fill(struct making *p, struct rk_mesh *m, bool fleet, bool brief,
                 enum members members)
{
    struct rk_node *n = m->n;
    *p = (struct making){0};
    rillknot__digest__init(&p->digest);
    rillknot__lease_row__init(&p->lease);
    p->digest.id = n->file.id;
    p->digest.addr = (char *)rk_mesh_addr(m);
    p->digest.domain = n->file.failure_domain;
    p->digest.incarnation = n->incarnation;
    p->digest.fleet = fleet;
    p->digest.capacity = rk_mesh_capacity(m);
    p->digest.slow = m->slow;
    p->digest.takes_changes = true;
    p->digest.hears_store = rk_sync_hears_store(n->sync);
    p->digest.settings_version = rk_sync_version(n->sync);
    p->digest.list_revision = rk_sync_list_revision(n->sync);
    p->digest.store_age_ms = rk_sync_age_ms(n->sync);
    p->digest.nodes_total = (uint32_t)rk_mesh_total(m);
    p->digest.remembers_ms = n->report ? n->report->remembers_ms : 0;
    const char *value;
    if (rk_duty_keeper_newest(n->duty_keeper, &p->lease.version, &value)) {
        p->lease.value = (char *)value;
        p->digest.lease = &p->lease;
    }
    add_nodes(p, m, fleet);
    p->digest.brief = brief;
    if (brief)
        return;
    sum_loads(p);
    if (tells_vms(m, p->loads_len))
        fill_vms(p);
    fill_uses(p, m, fleet, members != NO_MEMBERS);
    fill_services(p, m, fleet);
    if (members != NO_MEMBERS)
        fill_members(p, m, fleet, members);
}

static void free_making(struct making *p)
{
    free(p->loads);
    rk_tally_free(&p->in_hand);
    rk_tally_free(&p->begun);
    rk_tally_free(&p->asking);
    free(p->vms);
    free(p->vm_ptrs);
    free(p->uses);
    free(p->use_ptrs);
    free(p->known);
    free(p->services);
    free(p->engines);
    free(p->service_ptrs);
    free(p->members);
    free(p->member_ptrs);
}

/* ---- telling one ---- */

/* Add to a bridge's counters what this node used and read since the last time. */
static void add_own(struct rk_mesh *m)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->uses_len; i++) {
        const char *org = r->uses[i].org;
        double rise = rk_tally_rise(&m->own_uses, org, r->uses[i].units);
        *rk_tally_at(&m->domain_uses, org) += rise;
        *rk_tally_at(&m->fleet_uses, org) += rise;
    }
    for (size_t i = 0; r && i < r->services_len; i++) {
        const char *service = r->services[i].service;
        double rise =
            rk_tally_rise(&m->own_reads, service, r->services[i].read_tokens);
        *rk_tally_at(&m->domain_reads, service) += rise;
        *rk_tally_at(&m->fleet_reads, service) += rise;
    }
}

void rk_digest_begin(struct rk_mesh *m)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->uses_len; i++)
        rk_tally_rise(&m->own_uses, r->uses[i].org, r->uses[i].units);
    for (size_t i = 0; r && i < r->services_len; i++)
        rk_tally_rise(&m->own_reads, r->services[i].service,
                      r->services[i].read_tokens);
    for (struct member *k = m->contacts; k; k = k->next_contact) {
        k->incarnation = 0; /* its next report is where counting begins */
        k->uses_based = false;
        k->digest.based = false;
    }
}

/* The sum of the fleet. */
static struct rk_packed_frame pack(struct rk_mesh *m, bool brief,
                                   enum members members)
{
    struct making p;
    fill(&p, m, true, brief, members);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &p.digest;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    free_making(&p);
    return packed;
}

static bool wants_domain(const struct member *k, const void *ctx)
{
    (void)ctx;
    return !rk_mesh_is_near(k) && k->bridge;
}

/* The sum of this domain, to the bridges of the others. */
static void tell_bridges(struct rk_mesh *m, enum members members)
{
    struct making p;
    fill(&p, m, false, false, members);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &p.digest;
    rk_mesh_send(m, &frame, wants_domain, NULL);
    free_making(&p);
}

/* Who was told a whole digest longest ago comes first, and who takes no other. */
static int by_digest(const void *a, const void *b)
{
    const struct member *x = *(struct member *const *)a,
                        *y = *(struct member *const *)b;
    if (x->takes_brief != y->takes_brief)
        return x->takes_brief - y->takes_brief;
    return (x->told.digest > y->told.digest) - (x->told.digest < y->told.digest);
}

/* The nodes of this domain that are told the fleet's sum. */
static size_t list_told(const struct rk_mesh *m, struct member **told)
{
    size_t len = 0;
    for (struct member *k = m->contacts; k; k = k->next_contact)
        if (rk_mesh_is_near(k) && !k->bridge && rk_mesh_takes(k->link))
            told[len++] = k;
    qsort(told, len, sizeof(*told), by_digest);
    return len;
}

/* Tell whole digests to the first of them, as many as may be; returns how many. */
static size_t tell_whole(struct rk_mesh *m, struct member **told, size_t len,
                         size_t most, enum members members)
{
    size_t at = 0, sent = 0;
    if (!len || (!most && told[0]->takes_brief))
        return 0;
    /* Where each is told now and then only, it is told who there is each time. */
    if (m->whole.narrow && members == NO_MEMBERS)
        members = SOME_MEMBERS;
    struct rk_packed_frame frame = pack(m, false, members);
    for (; at < len; at++) {
        struct member *k = told[at];
        if (k->takes_brief && sent + frame.len > most)
            break;
        rk_link_send_packed(k->link, &frame);
        k->told.digest = m->digests;
        sent += frame.len;
    }
    rk_send_budget_note(&m->whole, sent);
    rk_packed_frame_free(&frame);
    return at;
}

/* The sum of the fleet, to the nodes of this domain: as many as the link carries in
 * time are told all, in turn, and the others that this node is there. */
static void tell_domain(struct rk_mesh *m, enum members members)
{
    struct member **told = rk_alloc(rk_mesh_count(m) + 1, sizeof(struct member *));
    size_t len = list_told(m, told);
    bool second = m->preceded && m->digests % SECOND_EACH;
    size_t most = second ? 0 : rk_send_budget_begin(&m->whole, rk_mesh_waiting(m));
    size_t at = tell_whole(m, told, len, most, members);
    struct rk_packed_frame frame = {0};
    if (at < len)
        frame = pack(m, true, NO_MEMBERS);
    for (; at < len; at++)
        rk_link_send_packed(told[at]->link, &frame);
    rk_packed_frame_free(&frame);
    free(told);
}

void rk_digest_tell(struct rk_mesh *m)
{
    int64_t now_ms = rk_mono_ms();
    if (!m->bridge || now_ms - m->digest_ms < DIGEST_MS)
        return;
    enum members members = members_due(m);
    m->digest_ms = now_ms;
    add_own(m);
    tell_bridges(m, members);
    tell_domain(m, members);
    m->digests++;
}

void rk_digest_answer(struct rk_mesh *m, struct rk_link *link,
                      struct link_told *told)
{
    int64_t now_ms = rk_mono_ms();
    bool answered = told->members_ms && now_ms - told->members_ms < ANSWER_AGAIN_MS;
    if (answered || !rk_mesh_takes(link))
        return;
    told->members_ms = now_ms;
    struct rk_packed_frame frame = pack(m, false, ALL_MEMBERS);
    rk_link_send_packed(link, &frame);
    rk_packed_frame_free(&frame);
}
