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
#include "core/changelog.h"
#include "core/config.h"
#include "core/lease.h"
#include "core/members.h"
#include "core/plan.h"
#include "core/procfile.h"
#include "engines/management.h"
#include "objects/objects.h"
#include "peers/link.h"
#include "peers/rows.h"

#define ORDER_LOAD_MODEL             "load"
#define TICK_INTERVAL_MS             500
#define ENTRY_QUERY_INTERVAL_MS      1000 /* candidate, holder, or no settings yet */
#define ENTRY_QUERY_IDLE_INTERVAL_MS 10000 /* otherwise */
#define PLAN_INTERVAL_MS             1000
#define HEADROOM                     0.25   /* share of slots kept free */
#define DEMAND_EWMA_WEIGHT           0.2    /* weight of the newest load */
#define URGENT_DEMAND_SHARE          0.5    /* of the demand; an assumption */
#define TOKENS_PER_RECLAIM           8000.0 /* recomputed per lost engine VM */
#define PRICE_PER_MTOKEN             1.0    /* in units of the VM prices */
#define MAX_SERVICES                 64
#define MAX_PENDING_STARTS           64
#define START_TIMEOUT_MS             120000 /* from request to listed VM */
#define MAX_SENT_ORDERS              4096

/* A service with its VMs in this failure domain. */
struct service {
    char name[RK_ID_MAX];
    struct rk_plan_class classes[RK_PLAN_CLASSES];
    size_t classes_len;
    double demand; /* running and queued calls, smoothed */
};

/* State of a slot for a VM start. */
enum start_state {
    START_FREE,      /* the slot is free */
    START_IN_FLIGHT, /* the request is in flight */
    START_UNKNOWN,   /* the response was lost: resend with the same token */
    START_ACCEPTED,  /* the VM was granted, but its row is not known yet */
};

/* A VM start in progress. Its token yields the same VM however often it is sent. */
struct pending_start {
    struct rk_keeper *k;
    enum start_state state;
    struct rk_vm_start_request request;
    char vm[RK_ID_MAX]; /* VM id, "" until accepted */
    int64_t since_ms;   /* time of the first request */
};

/* The last order sent to a VM. Epoch 0: it has to be sent again. */
struct sent_order {
    char vm[RK_ID_MAX];
    uint64_t incarnation;
    int64_t epoch;
};

struct rk_keeper {
    struct rk_loop *loop;
    const struct rk_procfile *procfile;
    struct rk_http *http;
    struct rk_objects *objects;
    struct rk_lease lease; /* makes one keeper of the failure domain active */
    char lease_name[RK_OBJECT_NAME_MAX];
    bool lease_call_pending;
    struct rk_timer tick_timer;
    int64_t last_plan_ms;
    struct rk_link *entry_link; /* NULL while not connected */
    int64_t queried_ms;         /* time of the last query to the entry node */
    char entry_id[RK_ID_MAX];   /* "" until its first message */
    char member_id[RK_ID_MAX];  /* of this keeper among the members */
    struct rk_members *members;
    struct rk_changelog *changelog;
    struct rk_config *config; /* NULL until settings are known */
    struct service services[MAX_SERVICES];
    size_t services_len;
    struct pending_start pending_starts[MAX_PENDING_STARTS];
    struct sent_order *sent_orders;
    size_t sent_orders_len;
    uint64_t tokens_used; /* number of the last start token */
};

/* ---- state from the entry node ---- */

/* Merges the rows of members and VMs that the entry node sent. */
static void merge_rows(struct rk_keeper *k, const Rillknot__Gossip *g)
{
    int64_t now = rk_mono_ms();
    rk_strcpy(k->entry_id, sizeof(k->entry_id), g->from);
    struct rk_member m;
    struct rk_vm v;
    for (size_t i = 0; i < g->n_members; i++)
        if (rk_rows_decode_member(g->members[i], &m))
            rk_members_merge(k->members, &m, -1, now);
    for (size_t i = 0; i < g->n_vms; i++)
        if (rk_rows_decode_vm(g->vms[i], &v))
            rk_members_merge_vm(k->members, &v, -1, now);
}

/* Applies settings changes that the entry node sent. */
static void apply_changes(struct rk_keeper *k, const Rillknot__Changes *c)
{
    int64_t before = rk_changelog_head(k->changelog);
    if (c->snapshot[0])
        rk_changelog_restore(k->changelog, c->snapshot);
    for (size_t i = 0; i < c->n_items; i++)
        rk_changelog_append(k->changelog, c->items[i]->number, c->items[i]->text);
    int64_t head = rk_changelog_head(k->changelog);
    if (head == before)
        return;
    rk_config_destroy(k->config);
    k->config = rk_config_create(rk_changelog_tree(k->changelog), head);
}

static void on_frame(void *ctx, struct rk_link *link, const Rillknot__Frame *frame)
{
    (void)link;
    struct rk_keeper *k = ctx;
    if (frame->body_case == RILLKNOT__FRAME__BODY_GOSSIP)
        merge_rows(k, frame->gossip);
    else if (frame->body_case == RILLKNOT__FRAME__BODY_CHANGES)
        apply_changes(k, frame->changes);
}

static void on_down(void *ctx, struct rk_link *link)
{
    struct rk_keeper *k = ctx;
    rk_link_destroy(link);
    k->entry_link = NULL;
}

static const struct rk_link_ops entry_ops = {.on_frame = on_frame,
                                             .on_down = on_down};

/* Requests all rows and newer settings from the entry node. */
static void query_entry(struct rk_keeper *k)
{
    if (!k->entry_link)
        k->entry_link = rk_link_connect(k->loop, k->procfile->entry, &entry_ops, k);
    if (!k->entry_link)
        return;
    k->queried_ms = rk_mono_ms();
    Rillknot__StateWanted w = RILLKNOT__STATE_WANTED__INIT;
    w.head = rk_changelog_head(k->changelog);
    w.from = k->member_id;
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_STATE_WANTED;
    frame.state_wanted = &w;
    rk_link_send(k->entry_link, &frame);
}

/* ---- the lease ---- */

static void on_lease_read(void *ctx, enum rk_status st, const struct rk_object *o)
{
    struct rk_keeper *k = ctx;
    k->lease_call_pending = false;
    if (st == RK_OK)
        rk_lease_read_done(&k->lease, o->version, o->value, rk_mono_ms());
    else if (st == RK_ENOTFOUND)
        rk_lease_read_done(&k->lease, 0, "", rk_mono_ms());
}

static void on_lease_written(void *ctx, enum rk_status st, int64_t version)
{
    struct rk_keeper *k = ctx;
    bool was_held = k->lease.held;
    k->lease_call_pending = false;
    rk_lease_write_done(&k->lease, st, version, rk_mono_ms());
    if (!was_held && k->lease.held)
        RK_EVENT("lease.taken", RK_N("epoch", k->lease.held_epoch));
    else if (was_held && !k->lease.held)
        RK_WARN("lease.lost", RK_N("epoch", k->lease.held_epoch));
}

/* Returns whether this keeper may take the lease. Only the keepers of the failure
 * domain's bridges do; the others put no load on the platform. */
static bool is_candidate(const struct rk_keeper *k)
{
    const struct rk_member *m = rk_members_find(k->members, k->entry_id);
    return m && rk_member_is_bridge(k->members, m);
}

/* Takes or renews the lease if that is due, else reads it unless it is held here.
 */
static void maintain_lease(struct rk_keeper *k)
{
    if (k->lease_call_pending || !(k->lease.held || is_candidate(k)))
        return;
    char value[RK_LEASE_VALUE_MAX];
    int64_t expect;
    k->lease.ttl_ms = k->config ? k->config->lease_ms : k->lease.ttl_ms;
    k->lease_call_pending = true;
    if (rk_lease_next_write(&k->lease, rk_mono_ms(), value, &expect))
        rk_objects_write(k->objects, k->lease_name, expect, value, on_lease_written,
                         k);
    else if (!k->lease.held)
        rk_objects_read(k->objects, k->lease_name, on_lease_read, k);
    else
        k->lease_call_pending = false;
}

/* ---- VMs by service and class ---- */

/* Returns the service, added on first use; NULL if the table is full. */
static struct service *get_service(struct rk_keeper *k, const char *service)
{
    for (size_t i = 0; i < k->services_len; i++)
        if (!strcmp(k->services[i].name, service))
            return &k->services[i];
    if (k->services_len == MAX_SERVICES)
        return NULL;
    struct service *svc = &k->services[k->services_len++];
    *svc = (struct service){0};
    rk_strcpy(svc->name, sizeof(svc->name), service);
    return svc;
}

static struct rk_plan_class *find_class(struct service *svc, const char *name)
{
    for (size_t i = 0; i < svc->classes_len; i++)
        if (!strcmp(svc->classes[i].name, name))
            return &svc->classes[i];
    return NULL;
}

/* Counts the service's live VMs in this failure domain by class, and adds up the
 * load of these and of the leaving ones. The classes are those of the VMs seen so
 * far. */
static void count_vms(struct rk_keeper *k, struct service *svc, double *load)
{
    for (size_t i = 0; i < svc->classes_len; i++)
        svc->classes[i].held = svc->classes[i].ready = 0;
    for (size_t i = 0; i < rk_members_vm_count(k->members); i++) {
        const struct rk_vm *v = rk_members_vm_at(k->members, i);
        if (strcmp(v->service, svc->name) != 0 ||
            strcmp(v->domain, k->procfile->failure_domain) != 0)
            continue;
        struct rk_plan_class *c = find_class(svc, v->vm_class);
        if (!c && svc->classes_len < RK_PLAN_CLASSES) {
            c = &svc->classes[svc->classes_len++];
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

/* Returns whether a start is finished: the VM's row has arrived, or the start timed
 * out. */
static bool is_finished(const struct rk_keeper *k, const struct pending_start *s)
{
    if (s->state == START_ACCEPTED && rk_members_find_vm(k->members, s->vm))
        return true;
    return s->state != START_IN_FLIGHT &&
           rk_mono_ms() - s->since_ms > START_TIMEOUT_MS;
}

/* Counts pending starts as held VMs and frees the slots of finished starts. */
static void count_pending_starts(struct rk_keeper *k, struct service *svc)
{
    for (size_t i = 0; i < MAX_PENDING_STARTS; i++) {
        struct pending_start *s = &k->pending_starts[i];
        if (s->state == START_FREE || strcmp(s->request.service, svc->name) != 0)
            continue;
        struct rk_plan_class *c = find_class(svc, s->request.vm_class);
        if (is_finished(k, s))
            s->state = START_FREE;
        else if (c)
            c->held++;
    }
}

/* Copies the prices of the VM classes from the settings. */
static void fill_prices(const struct rk_keeper *k, struct service *svc)
{
    for (size_t i = 0; i < svc->classes_len; i++)
        for (size_t n = 0; n < k->config->vm_classes_len; n++)
            if (!strcmp(k->config->vm_classes[n].name, svc->classes[i].name)) {
                svc->classes[i].price = k->config->vm_classes[n].price;
                svc->classes[i].reclaimable = k->config->vm_classes[n].reclaimable;
            }
}

/* ---- starts and stops ---- */

static void on_start_done(void *ctx, enum rk_status st, const char *vm)
{
    struct pending_start *s = ctx;
    struct service *svc = get_service(s->k, s->request.service);
    struct rk_plan_class *c = svc ? find_class(svc, s->request.vm_class) : NULL;
    RK_EVENT("vm.start", RK_S("service", s->request.service),
             RK_S("vm_class", s->request.vm_class), RK_S("token", s->request.token),
             RK_S("vm", vm), RK_S("status", rk_status_str(st)));
    if (st == RK_EUNKNOWN) {
        s->state = START_UNKNOWN;
    } else if (st == RK_OK) {
        s->state = START_ACCEPTED;
        rk_strcpy(s->vm, sizeof(s->vm), vm);
        if (c)
            rk_plan_start_granted(c);
    } else {
        s->state = START_FREE;
        if (c)
            rk_plan_start_refused(c, rk_mono_ms());
    }
}

static void send_start_request(struct pending_start *s)
{
    s->state = START_IN_FLIGHT;
    rk_cloud_start_vm(s->k->http, s->k->procfile->platform, &s->request,
                      on_start_done, s);
}

static void start_vm(struct rk_keeper *k, const struct service *svc,
                     const char *vm_class, int64_t epoch)
{
    struct pending_start *s = NULL;
    for (size_t i = 0; i < MAX_PENDING_STARTS && !s; i++)
        if (k->pending_starts[i].state == START_FREE)
            s = &k->pending_starts[i];
    if (!s)
        return;
    *s = (struct pending_start){.k = k, .since_ms = rk_mono_ms()};
    rk_strcpy(s->request.vm_class, RK_ID_MAX, vm_class);
    rk_strcpy(s->request.domain, RK_ID_MAX, k->procfile->failure_domain);
    rk_strcpy(s->request.service, RK_ID_MAX, svc->name);
    snprintf(s->request.token, sizeof(s->request.token), "%s-%" PRId64 "-%" PRIu64,
             k->procfile->failure_domain, epoch, ++k->tokens_used);
    send_start_request(s);
}

static void on_stop_done(void *ctx, enum rk_status st, const char *vm)
{
    (void)ctx;
    (void)vm;
    RK_EVENT("vm.stop", RK_S("status", rk_status_str(st)));
}

/* Stops an idle VM of a class; does nothing if all are busy. */
static void stop_idle_vm(struct rk_keeper *k, const struct service *svc,
                         const char *vm_class)
{
    const struct rk_vm *least = NULL;
    for (size_t i = 0; i < rk_members_vm_count(k->members); i++) {
        const struct rk_vm *v = rk_members_vm_at(k->members, i);
        bool matches = v->state == RK_VM_LIVE && !strcmp(v->service, svc->name) &&
                       !strcmp(v->vm_class, vm_class) &&
                       !strcmp(v->domain, k->procfile->failure_domain);
        if (matches &&
            (!least || v->running + v->queued < least->running + least->queued))
            least = v;
    }
    if (least && !least->running && !least->queued)
        rk_cloud_stop_vm(k->http, k->procfile->platform, least->id, on_stop_done,
                         k);
}

/* Executes a plan while the lease is valid. */
static void execute_plan(struct rk_keeper *k, struct service *svc,
                         const struct rk_plan *plan)
{
    for (size_t i = 0; i < plan->len; i++) {
        const struct rk_plan_action *a = &plan->actions[i];
        for (int n = 0; n < a->count; n++) {
            /* The lease may expire between two actions. */
            int64_t epoch;
            if (!rk_lease_valid(&k->lease, rk_mono_ms(), &epoch))
                return;
            if (a->kind == RK_PLAN_START)
                start_vm(k, svc, svc->classes[a->cls].name, epoch);
            else
                stop_idle_vm(k, svc, svc->classes[a->cls].name);
        }
    }
}

/* Returns how many more calls the nodes of other failure domains could take. */
static double free_slots_in_other_domains(const struct rk_keeper *k)
{
    double free_slots = 0;
    for (size_t i = 0; i < rk_members_count(k->members); i++) {
        const struct rk_member *m = rk_members_at(k->members, i);
        if (m->state == RK_MEMBER_ALIVE && !m->leaving &&
            strcmp(m->domain, k->procfile->failure_domain) != 0)
            free_slots += m->free_slots;
    }
    return free_slots;
}

/* Plans the VMs of a service and executes the plan. */
static void plan_service(struct rk_keeper *k, const struct rk_policy *p)
{
    struct service *svc = get_service(k, p->service);
    double load = 0;
    if (!svc)
        return;
    count_vms(k, svc, &load);
    count_pending_starts(k, svc);
    fill_prices(k, svc);
    svc->demand += DEMAND_EWMA_WEIGHT * (load - svc->demand);
    struct rk_plan_input in = {
        .classes_len = svc->classes_len,
        .slots_per_vm = (int)p->slots,
        .demand_slots = svc->demand,
        .urgent_slots = svc->demand * URGENT_DEMAND_SHARE,
        .elsewhere_slots = free_slots_in_other_domains(k),
        .min_vms = (int)p->min_vms,
        .headroom = HEADROOM,
        .weight_cost = k->config->weight_cost,
        .weight_recompute = k->config->weight_recompute,
        .tokens_per_reclaim = p->engine ? TOKENS_PER_RECLAIM : 0,
        .price_per_mtoken = PRICE_PER_MTOKEN,
        .now_ms = rk_mono_ms(),
    };
    memcpy(in.classes, svc->classes, sizeof(in.classes));
    struct rk_plan plan;
    rk_plan_make(&in, &plan);
    execute_plan(k, svc, &plan);
}

/* ---- orders to engines ---- */

/* An order in flight. */
struct order_call {
    struct rk_keeper *k;
    char vm[RK_ID_MAX];
    int64_t epoch;
};

static struct sent_order *find_sent_order(struct rk_keeper *k, const char *vm)
{
    for (size_t i = 0; i < k->sent_orders_len; i++)
        if (!strcmp(k->sent_orders[i].vm, vm))
            return &k->sent_orders[i];
    return NULL;
}

/* Handles the result of an order. A conflict means that another keeper has a newer
 * epoch, so this one gives up the lease. */
static void on_order_done(void *ctx, enum rk_status st)
{
    struct order_call *call = ctx;
    RK_EVENT("engine.order", RK_S("order", ORDER_LOAD_MODEL), RK_S("vm", call->vm),
             RK_N("epoch", call->epoch), RK_S("status", rk_status_str(st)));
    struct sent_order *o = find_sent_order(call->k, call->vm);
    if (st == RK_ECONFLICT) {
        RK_WARN("lease.fenced", RK_S("vm", call->vm), RK_N("epoch", call->epoch));
        call->k->lease.held = false;
    } else if (st != RK_OK && o) {
        o->epoch = 0; /* to be sent again */
    }
    free(call);
}

/* Orders an engine to load its model, once per incarnation and epoch. The order
 * does no harm when it is repeated or late. Therefore engines that check no fencing
 * epochs get it, too; they get no other order. */
static void order_model_load(struct rk_keeper *k, const struct rk_vm *v,
                             const struct rk_policy *p, int64_t epoch)
{
    struct sent_order *o = find_sent_order(k, v->id);
    if (o && o->incarnation == v->incarnation && o->epoch == epoch)
        return;
    if (!o) {
        if (k->sent_orders_len == MAX_SENT_ORDERS)
            return;
        o = &k->sent_orders[k->sent_orders_len++];
    }
    *o = (struct sent_order){.incarnation = v->incarnation, .epoch = epoch};
    rk_strcpy(o->vm, sizeof(o->vm), v->id);
    struct order_call *call = rk_alloc(1, sizeof(*call));
    *call = (struct order_call){.k = k, .epoch = epoch};
    rk_strcpy(call->vm, sizeof(call->vm), v->id);
    rk_engine_send_order(k->http, v->addr, ORDER_LOAD_MODEL, p->model, epoch,
                         on_order_done, call);
}

static void order_model_loads(struct rk_keeper *k)
{
    for (size_t i = 0; i < rk_members_vm_count(k->members); i++) {
        const struct rk_vm *v = rk_members_vm_at(k->members, i);
        const struct rk_policy *p = rk_config_policy(k->config, v->service, "");
        int64_t epoch;
        if (!p || !p->engine || v->state != RK_VM_LIVE ||
            strcmp(v->domain, k->procfile->failure_domain) != 0)
            continue;
        if (rk_lease_valid(&k->lease, rk_mono_ms(), &epoch))
            order_model_load(k, v, p, epoch);
    }
}

/* ---- the tick ---- */

/* Resends the starts whose response was lost. */
static void resend_unknown_starts(struct rk_keeper *k)
{
    for (size_t i = 0; i < MAX_PENDING_STARTS; i++)
        if (k->pending_starts[i].state == START_UNKNOWN)
            send_start_request(&k->pending_starts[i]);
}

static void on_tick(void *ctx)
{
    struct rk_keeper *k = ctx;
    rk_timer_start(k->loop, &k->tick_timer, TICK_INTERVAL_MS);
    /* A keeper that has the settings and is no candidate only has to notice when it
     * becomes one, so it queries its entry node less often. */
    bool candidate = k->lease.held || !k->config || is_candidate(k);
    if (rk_mono_ms() - k->queried_ms >=
        (candidate ? ENTRY_QUERY_INTERVAL_MS : ENTRY_QUERY_IDLE_INTERVAL_MS))
        query_entry(k);
    maintain_lease(k);
    int64_t epoch, now = rk_mono_ms();
    if (!k->config || now - k->last_plan_ms < PLAN_INTERVAL_MS ||
        !rk_lease_valid(&k->lease, now, &epoch))
        return;
    k->last_plan_ms = now;
    resend_unknown_starts(k);
    order_model_loads(k);
    /* Policies of single calls are skipped: they share the VMs of their service. */
    for (size_t i = 0; i < k->config->policies_len; i++)
        if (!k->config->policies[i].call[0])
            plan_service(k, &k->config->policies[i]);
}

struct rk_keeper *rk_keeper_create(struct rk_loop *loop,
                                   const struct rk_procfile *procfile,
                                   uint64_t seed)
{
    struct rk_keeper *k = rk_alloc(1, sizeof(*k));
    k->loop = loop;
    k->procfile = procfile;
    k->http = rk_http_create(loop);
    k->objects = rk_objects_create(k->http, procfile->platform);
    k->changelog = rk_changelog_create();
    k->sent_orders = rk_alloc(MAX_SENT_ORDERS, sizeof(*k->sent_orders));
    k->lease.ttl_ms = 6000; /* until the settings are known */
    /* The incarnation differs between runs, so that the lease of an earlier run is
     * never taken for this one's. A keeper has no listener, and hence no address.
     */
    rk_strcpy(k->lease.self.name, sizeof(k->lease.self.name), procfile->id);
    k->lease.self.incarnation = seed;
    snprintf(k->member_id, sizeof(k->member_id), "keeper-%016" PRIx64, seed);
    snprintf(k->lease_name, sizeof(k->lease_name), "leases/%s",
             procfile->failure_domain);
    /* Leaving, so that this row is not counted when bridges are determined. */
    struct rk_member self = {.state = RK_MEMBER_ALIVE, .leaving = true};
    rk_strcpy(self.id, sizeof(self.id), k->member_id);
    rk_strcpy(self.domain, sizeof(self.domain), procfile->failure_domain);
    k->members = rk_members_create(&self);
    k->tick_timer = (struct rk_timer){.fn = on_tick, .ctx = k};
    return k;
}

void rk_keeper_destroy(struct rk_keeper *k)
{
    if (!k)
        return;
    rk_timer_stop(k->loop, &k->tick_timer);
    rk_link_destroy(k->entry_link);
    rk_http_destroy(k->http);
    rk_objects_destroy(k->objects);
    rk_changelog_destroy(k->changelog);
    rk_config_destroy(k->config);
    rk_members_destroy(k->members);
    free(k->sent_orders);
    free(k);
}

void rk_keeper_start(struct rk_keeper *k)
{
    on_tick(k);
}
