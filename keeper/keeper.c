#include "keeper/keeper.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/cloud.h"
#include "common/eventlog.h"
#include "common/http.h"
#include "common/loop.h"
#include "common/util.h"
#include "core/changes.h"
#include "core/config.h"
#include "core/lease.h"
#include "core/members.h"
#include "core/plan.h"
#include "core/procfile.h"
#include "engines/side.h"
#include "objects/objects.h"
#include "peers/link.h"
#include "peers/rows.h"

#define LOAD_ORDER       "load"
#define TICK_MS          500
#define ASK_MS           1000 /* between questions to the entry node */
#define ASK_IDLE_MS      10000
#define PLAN_EVERY_MS    1000
#define HEADROOM         0.25
#define DEMAND_EWMA      0.2
#define URGENT_SHARE     0.5 /* of the demand, when nothing says better */
#define TOKENS_A_RECLAIM 8000.0
#define PRICE_A_MTOKEN   1.0
#define MAX_SERVICES     64
#define MAX_STARTING     64
#define STARTING_MS      120000 /* a start that never shows is forgotten after */
#define MAX_ORDERED      4096

/* One service's holdings here. */
struct holding {
    char service[RK_ID_MAX];
    struct rk_plan_class classes[RK_PLAN_CLASSES];
    size_t classes_len;
    double demand;
};

enum start_state {
    START_FREE,     /* the place is free */
    START_SENT,     /* asked for, no answer yet */
    START_UNKNOWN,  /* the answer was lost: ask again under the same token */
    START_ACCEPTED, /* granted, but its row hasn't come yet */
};

/* A start under way: its token gives the same vm however often it is sent. */
struct starting {
    struct rk_keeper *k;
    enum start_state state;
    struct rk_vm_order order;
    char vm[RK_ID_MAX]; /* once accepted */
    int64_t since_ms;
};

/* A vm that was ordered under an epoch. */
struct ordered {
    char vm[RK_ID_MAX];
    uint64_t incarnation;
    int64_t epoch;
};

struct rk_keeper {
    struct rk_loop *loop;
    const struct rk_procfile *file;
    struct rk_http *http;
    struct rk_objects *objects;
    struct rk_lease lease;
    char lease_name[RK_OBJECT_NAME_MAX];
    bool lease_busy;
    struct rk_timer tick;
    int64_t planned_ms;
    struct rk_link *entry;
    int64_t asked_ms;
    char entry_id[RK_ID_MAX];
    struct rk_members *members;
    struct rk_changelog *changes;
    struct rk_config *config;
    struct holding holdings[MAX_SERVICES];
    size_t holdings_len;
    struct starting starting[MAX_STARTING];
    struct ordered *ordered;
    size_t ordered_len;
    uint64_t tokens;
};

/* ---- what the entry node tells ---- */

static void take_rows(struct rk_keeper *k, const Rillknot__Gossip *g)
{
    int64_t now = rk_mono_ms();
    rk_strcpy(k->entry_id, sizeof(k->entry_id), g->from);
    struct rk_member m;
    struct rk_vm v;
    for (size_t i = 0; i < g->n_members; i++)
        if (rk_rows_member(g->members[i], &m))
            rk_members_merge(k->members, &m, -1, now);
    for (size_t i = 0; i < g->n_vms; i++)
        if (rk_rows_vm(g->vms[i], &v))
            rk_members_merge_vm(k->members, &v, -1, now);
}

static void take_changes(struct rk_keeper *k, const Rillknot__Changes *c)
{
    int64_t before = rk_changelog_head(k->changes);
    if (c->snapshot[0])
        rk_changelog_restore(k->changes, c->snapshot);
    for (size_t i = 0; i < c->n_items; i++)
        rk_changelog_take(k->changes, c->items[i]->number, c->items[i]->text);
    int64_t head = rk_changelog_head(k->changes);
    if (head == before)
        return;
    rk_config_destroy(k->config);
    k->config = rk_config_create(rk_changelog_tree(k->changes), head);
}

static void on_frame(void *ctx, struct rk_link *link, const Rillknot__Frame *frame)
{
    (void)link;
    struct rk_keeper *k = ctx;
    if (frame->body_case == RILLKNOT__FRAME__BODY_GOSSIP)
        take_rows(k, frame->gossip);
    else if (frame->body_case == RILLKNOT__FRAME__BODY_CHANGES)
        take_changes(k, frame->changes);
}

static void on_down(void *ctx, struct rk_link *link)
{
    struct rk_keeper *k = ctx;
    rk_link_destroy(link);
    k->entry = NULL;
}

static const struct rk_link_ops entry_ops = {.on_frame = on_frame,
                                             .on_down = on_down};

static void ask_entry(struct rk_keeper *k)
{
    if (!k->entry)
        k->entry = rk_link_connect(k->loop, k->file->entry, &entry_ops, k);
    if (!k->entry)
        return;
    k->asked_ms = rk_mono_ms();
    Rillknot__StateWanted w = RILLKNOT__STATE_WANTED__INIT;
    w.head = rk_changelog_head(k->changes);
    w.from = k->lease.holder;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STATE_WANTED;
    frame.state_wanted = &w;
    rk_link_send(k->entry, &frame);
}

/* ---- the lease ---- */

static void on_lease_read(void *ctx, enum rk_status st, const struct rk_object *o)
{
    struct rk_keeper *k = ctx;
    k->lease_busy = false;
    if (st == RK_OK)
        rk_lease_seen(&k->lease, o->version, o->value, rk_mono_ms());
    else if (st == RK_ENOTFOUND)
        rk_lease_seen(&k->lease, 0, "", rk_mono_ms());
}

static void on_lease_written(void *ctx, enum rk_status st, int64_t version)
{
    struct rk_keeper *k = ctx;
    bool had = k->lease.held;
    k->lease_busy = false;
    rk_lease_written(&k->lease, st, version, rk_mono_ms());
    if (!had && k->lease.held)
        RK_EVENT("lease.taken", RK_N("epoch", k->lease.held_epoch));
    else if (had && !k->lease.held)
        RK_WARN("lease.lost", RK_N("epoch", k->lease.held_epoch));
}

/* Keepers of the failure domain's first nodes stand by; the rest cost nothing. */
static bool is_candidate(const struct rk_keeper *k)
{
    const struct rk_member *m = rk_members_find(k->members, k->entry_id);
    return m && rk_member_is_bridge(k->members, m);
}

static void tend_lease(struct rk_keeper *k)
{
    if (k->lease_busy || !(k->lease.held || is_candidate(k)))
        return;
    char value[RK_LEASE_VALUE_MAX];
    int64_t expect;
    k->lease.life_ms = k->config ? k->config->lease_ms : k->lease.life_ms;
    k->lease_busy = true;
    if (rk_lease_wants(&k->lease, rk_mono_ms(), value, &expect))
        rk_objects_write(k->objects, k->lease_name, expect, value, on_lease_written,
                         k);
    else if (!k->lease.held)
        rk_objects_read(k->objects, k->lease_name, on_lease_read, k);
    else
        k->lease_busy = false;
}

/* ---- holdings ---- */

static struct holding *holding_of(struct rk_keeper *k, const char *service)
{
    for (size_t i = 0; i < k->holdings_len; i++)
        if (!strcmp(k->holdings[i].service, service))
            return &k->holdings[i];
    if (k->holdings_len == MAX_SERVICES)
        return NULL;
    struct holding *h = &k->holdings[k->holdings_len++];
    *h = (struct holding){0};
    rk_strcpy(h->service, sizeof(h->service), service);
    return h;
}

static struct rk_plan_class *class_of(struct holding *h, const char *name)
{
    for (size_t i = 0; i < h->classes_len; i++)
        if (!strcmp(h->classes[i].name, name))
            return &h->classes[i];
    return NULL;
}

/* Classes the service runs on here: those its vms are of. */
static void count_vms(struct rk_keeper *k, struct holding *h, double *load)
{
    for (size_t i = 0; i < h->classes_len; i++)
        h->classes[i].held = h->classes[i].ready = 0;
    for (size_t i = 0; i < rk_members_vm_count(k->members); i++) {
        const struct rk_vm *v = rk_members_vm_at(k->members, i);
        if (strcmp(v->service, h->service) != 0 ||
            strcmp(v->domain, k->file->failure_domain) != 0)
            continue;
        struct rk_plan_class *c = class_of(h, v->vm_class);
        if (!c && h->classes_len < RK_PLAN_CLASSES) {
            c = &h->classes[h->classes_len++];
            *c = (struct rk_plan_class){0};
            rk_strcpy(c->name, sizeof(c->name), v->vm_class);
        }
        if (!c)
            continue;
        c->ready += v->state == RK_VM_LIVE;
        c->held += v->state == RK_VM_LIVE;
        *load += v->state == RK_VM_GONE ? 0 : v->running + v->queued;
    }
}

/* Has its row come, or will it never? */
static bool is_over(const struct rk_keeper *k, const struct starting *s)
{
    if (s->state == START_ACCEPTED && rk_members_find_vm(k->members, s->vm))
        return true;
    return s->state != START_SENT && rk_mono_ms() - s->since_ms > STARTING_MS;
}

static void count_starting(struct rk_keeper *k, struct holding *h)
{
    for (size_t i = 0; i < MAX_STARTING; i++) {
        struct starting *s = &k->starting[i];
        if (s->state == START_FREE || strcmp(s->order.service, h->service) != 0)
            continue;
        struct rk_plan_class *c = class_of(h, s->order.vm_class);
        if (is_over(k, s))
            s->state = START_FREE;
        else if (c)
            c->held++;
    }
}

static void fill_prices(const struct rk_keeper *k, struct holding *h)
{
    for (size_t i = 0; i < h->classes_len; i++)
        for (size_t n = 0; n < k->config->vm_classes_len; n++)
            if (!strcmp(k->config->vm_classes[n].name, h->classes[i].name)) {
                h->classes[i].price = k->config->vm_classes[n].price;
                h->classes[i].reclaimable = k->config->vm_classes[n].reclaimable;
            }
}

/* ---- starts and stops ---- */

static void on_started(void *ctx, enum rk_status st, const char *vm)
{
    struct starting *s = ctx;
    struct holding *h = holding_of(s->k, s->order.service);
    struct rk_plan_class *c = h ? class_of(h, s->order.vm_class) : NULL;
    RK_EVENT("vm.start", RK_S("service", s->order.service),
             RK_S("vm_class", s->order.vm_class), RK_S("token", s->order.token),
             RK_S("vm", vm), RK_S("status", rk_status_str(st)));
    if (st == RK_EUNKNOWN) {
        s->state = START_UNKNOWN;
    } else if (st == RK_OK) {
        s->state = START_ACCEPTED;
        rk_strcpy(s->vm, sizeof(s->vm), vm);
        if (c)
            rk_plan_started(c);
    } else {
        s->state = START_FREE;
        if (c)
            rk_plan_refused(c, rk_mono_ms());
    }
}

static void send_start(struct starting *s)
{
    s->state = START_SENT;
    rk_cloud_start_vm(s->k->http, s->k->file->platform, &s->order, on_started, s);
}

static void start_vm(struct rk_keeper *k, const struct holding *h,
                     const char *vm_class, int64_t epoch)
{
    struct starting *s = NULL;
    for (size_t i = 0; i < MAX_STARTING && !s; i++)
        if (k->starting[i].state == START_FREE)
            s = &k->starting[i];
    if (!s)
        return;
    *s = (struct starting){.k = k, .since_ms = rk_mono_ms()};
    rk_strcpy(s->order.vm_class, RK_ID_MAX, vm_class);
    rk_strcpy(s->order.domain, RK_ID_MAX, k->file->failure_domain);
    rk_strcpy(s->order.service, RK_ID_MAX, h->service);
    snprintf(s->order.token, RK_ID_MAX, "%.20s-%" PRId64 "-%" PRIu64,
             k->file->failure_domain, epoch, ++k->tokens);
    send_start(s);
}

static void on_stopped(void *ctx, enum rk_status st, const char *vm)
{
    (void)ctx;
    (void)vm;
    RK_EVENT("vm.stop", RK_S("status", rk_status_str(st)));
}

/* Stop the least busy vm of a class. */
static void stop_vm(struct rk_keeper *k, const struct holding *h,
                    const char *vm_class)
{
    const struct rk_vm *least = NULL;
    for (size_t i = 0; i < rk_members_vm_count(k->members); i++) {
        const struct rk_vm *v = rk_members_vm_at(k->members, i);
        bool ours = v->state == RK_VM_LIVE && !strcmp(v->service, h->service) &&
                    !strcmp(v->vm_class, vm_class) &&
                    !strcmp(v->domain, k->file->failure_domain);
        if (ours &&
            (!least || v->running + v->queued < least->running + least->queued))
            least = v;
    }
    if (least && !least->running && !least->queued)
        rk_cloud_stop_vm(k->http, k->file->platform, least->id, on_stopped, k);
}

static void carry_out(struct rk_keeper *k, struct holding *h,
                      const struct rk_plan *plan)
{
    for (size_t i = 0; i < plan->len; i++) {
        const struct rk_plan_action *a = &plan->actions[i];
        for (int n = 0; n < a->count; n++) {
            /* The lease is looked at before each order. */
            int64_t epoch;
            if (!rk_lease_valid(&k->lease, rk_mono_ms(), &epoch))
                return;
            if (a->kind == RK_PLAN_START)
                start_vm(k, h, h->classes[a->cls].name, epoch);
            else
                stop_vm(k, h, h->classes[a->cls].name);
        }
    }
}

static double spare_elsewhere(const struct rk_keeper *k)
{
    double spare = 0;
    for (size_t i = 0; i < rk_members_count(k->members); i++) {
        const struct rk_member *m = rk_members_at(k->members, i);
        if (m->state == RK_MEMBER_ALIVE && !m->leaving &&
            strcmp(m->domain, k->file->failure_domain) != 0)
            spare += m->spare;
    }
    return spare;
}

static void plan_service(struct rk_keeper *k, const struct rk_policy *p)
{
    struct holding *h = holding_of(k, p->service);
    double load = 0;
    if (!h)
        return;
    count_vms(k, h, &load);
    count_starting(k, h);
    fill_prices(k, h);
    h->demand += DEMAND_EWMA * (load - h->demand);
    struct rk_plan_input in = {
        .classes_len = h->classes_len,
        .slots_per_vm = (int)p->slots,
        .demand_slots = h->demand,
        .urgent_slots = h->demand * URGENT_SHARE,
        .elsewhere_slots = spare_elsewhere(k),
        .min_vms = (int)p->min_vms,
        .headroom = HEADROOM,
        .weight_cost = k->config->weight_cost,
        .weight_recompute = k->config->weight_recompute,
        .tokens_per_reclaim = p->engine ? TOKENS_A_RECLAIM : 0,
        .price_per_mtoken = PRICE_A_MTOKEN,
        .now_ms = rk_mono_ms(),
    };
    memcpy(in.classes, h->classes, sizeof(in.classes));
    struct rk_plan plan;
    rk_plan_make(&in, &plan);
    carry_out(k, h, &plan);
}

/* ---- orders to engines ---- */

struct order_op {
    struct rk_keeper *k;
    char vm[RK_ID_MAX];
    int64_t epoch;
};

static struct ordered *find_ordered(struct rk_keeper *k, const char *vm)
{
    for (size_t i = 0; i < k->ordered_len; i++)
        if (!strcmp(k->ordered[i].vm, vm))
            return &k->ordered[i];
    return NULL;
}

static void on_ordered(void *ctx, enum rk_status st)
{
    struct order_op *op = ctx;
    RK_EVENT("engine.order", RK_S("order", LOAD_ORDER), RK_S("vm", op->vm),
             RK_N("epoch", op->epoch), RK_S("status", rk_status_str(st)));
    struct ordered *o = find_ordered(op->k, op->vm);
    if (st == RK_ECONFLICT) {
        RK_WARN("lease.fenced", RK_S("vm", op->vm), RK_N("epoch", op->epoch));
        op->k->lease.held = false;
    } else if (st != RK_OK && o) {
        o->epoch = 0; /* send it again */
    }
    free(op);
}

/* Loading is harmless when repeated or late: engines that check no fences get
 * that order too. Nothing else is sent to those. */
static void order_engine(struct rk_keeper *k, const struct rk_vm *v,
                         const struct rk_policy *p, int64_t epoch)
{
    struct ordered *o = find_ordered(k, v->id);
    if (o && o->incarnation == v->incarnation && o->epoch == epoch)
        return;
    if (!o) {
        if (k->ordered_len == MAX_ORDERED)
            return;
        o = &k->ordered[k->ordered_len++];
    }
    *o = (struct ordered){.incarnation = v->incarnation, .epoch = epoch};
    rk_strcpy(o->vm, sizeof(o->vm), v->id);
    struct order_op *op = rk_alloc(1, sizeof(*op));
    *op = (struct order_op){.k = k, .epoch = epoch};
    rk_strcpy(op->vm, sizeof(op->vm), v->id);
    rk_engine_order(k->http, v->addr, LOAD_ORDER, p->model, epoch, on_ordered, op);
}

static void order_engines(struct rk_keeper *k)
{
    for (size_t i = 0; i < rk_members_vm_count(k->members); i++) {
        const struct rk_vm *v = rk_members_vm_at(k->members, i);
        const struct rk_policy *p = rk_config_policy(k->config, v->service, "");
        int64_t epoch;
        if (!p || !p->engine || v->state != RK_VM_LIVE ||
            strcmp(v->domain, k->file->failure_domain) != 0)
            continue;
        if (rk_lease_valid(&k->lease, rk_mono_ms(), &epoch))
            order_engine(k, v, p, epoch);
    }
}

/* ---- the tick ---- */

static void resend_unknown(struct rk_keeper *k)
{
    for (size_t i = 0; i < MAX_STARTING; i++)
        if (k->starting[i].state == START_UNKNOWN)
            send_start(&k->starting[i]);
}

static void on_tick(void *ctx)
{
    struct rk_keeper *k = ctx;
    rk_timer_start(k->loop, &k->tick, TICK_MS);
    /* Who doesn't stand for the lease only has to notice when it should. */
    bool stands = k->lease.held || !k->config || is_candidate(k);
    if (rk_mono_ms() - k->asked_ms >= (stands ? ASK_MS : ASK_IDLE_MS))
        ask_entry(k);
    tend_lease(k);
    int64_t epoch, now = rk_mono_ms();
    if (!k->config || now - k->planned_ms < PLAN_EVERY_MS ||
        !rk_lease_valid(&k->lease, now, &epoch))
        return;
    k->planned_ms = now;
    resend_unknown(k);
    order_engines(k);
    for (size_t i = 0; i < k->config->policies_len; i++)
        if (!k->config->policies[i].call[0])
            plan_service(k, &k->config->policies[i]);
}

struct rk_keeper *rk_keeper_create(struct rk_loop *loop,
                                   const struct rk_procfile *file, uint64_t seed)
{
    struct rk_keeper *k = rk_alloc(1, sizeof(*k));
    k->loop = loop;
    k->file = file;
    k->http = rk_http_create(loop);
    k->objects = rk_objects_create(k->http, file->platform);
    k->changes = rk_changelog_create();
    k->ordered = rk_alloc(MAX_ORDERED, sizeof(*k->ordered));
    k->lease.life_ms = 6000;
    /* Unlike any earlier run's: a lease is never mistaken for our own. */
    snprintf(k->lease.holder, sizeof(k->lease.holder), "%.28s-%08x", file->id,
             (unsigned)seed);
    snprintf(k->lease_name, sizeof(k->lease_name), "leases/%s",
             file->failure_domain);
    struct rk_member self = {.state = RK_MEMBER_ALIVE, .leaving = true};
    rk_strcpy(self.id, sizeof(self.id), k->lease.holder);
    rk_strcpy(self.domain, sizeof(self.domain), file->failure_domain);
    k->members = rk_members_create(&self);
    k->tick = (struct rk_timer){.fn = on_tick, .ctx = k};
    return k;
}

void rk_keeper_destroy(struct rk_keeper *k)
{
    if (!k)
        return;
    rk_timer_stop(k->loop, &k->tick);
    rk_link_destroy(k->entry);
    rk_http_destroy(k->http);
    rk_objects_destroy(k->objects);
    rk_changelog_destroy(k->changes);
    rk_config_destroy(k->config);
    rk_members_destroy(k->members);
    free(k->ordered);
    free(k);
}

void rk_keeper_start(struct rk_keeper *k)
{
    on_tick(k);
}
