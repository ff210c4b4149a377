/* Orders for VMs of autoscaled services. Every node tracks demand, so that a new
 * leader knows it at once; only the leader compares the planned counts with the VM
 * list and orders the difference. An order is the count that a domain is to have,
 * so repeating one does no harm. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/leader_api.h"
#include "common/eventlog.h"
#include "core/sizing.h"
#include "core/reclaims.h"
#include "node/state.h"

#define MAX_SERVICES       8
#define DEMAND_INTERVAL_MS 3000 /* over which demand is measured */
/* Half-lives by which the need decays after demand has fallen. The short one
 * applies to on-demand VMs, which are expensive. */
#define NEED_HALF_LIFE_MS      60000.0
#define NEED_FAST_HALF_LIFE_MS 8000.0
/* Time past a VM's boot after which an order that wasn't fulfilled is repeated. */
#define ORDER_REPEAT_MS 3000
/* Least time between two orders that give up on-demand VMs. */
#define SHRINK_INTERVAL_MS 4000
/* A service without calls for this long is idle; longer than the start of all nodes
 * takes. */
#define IDLE_MS 4000
/* After its start, a node gets the VM list within this time and orders nothing. */
#define START_DELAY_MS 2000
/* A restarted node gives up no VM for this long: nodes get each other's reports
 * within 3 s, and callers whose calls were lost retry within a few seconds more.
 * Without this, 72 VMs were given up at once after all nodes of a fleet of 86 had
 * been killed. */
#define RESTART_KEEP_MS 10000
/* After the deployment's first start, VMs register during this time. Orders for
 * on-demand VMs wait for it: they would give some of them up by an incomplete list.
 * Reclaimable VMs are ordered at once, as they take seconds to boot. */
#define VM_REGISTRATION_MS 4500
/* If no call arrives within this time, the initial number of VMs is no longer an
 * estimate of the need. */
#define INITIAL_ESTIMATE_MS 30000

/* The last order for one kind of VMs in one domain. */
struct order {
    struct service *s;
    size_t domain; /* index */
    bool reclaimable;
    bool busy;        /* the call to the platform is in flight */
    bool is_increase; /* the target exceeded the VMs held */
    int target;       /* count ordered last; -1: none */
    int max_held;     /* largest number of VMs held since the order */
    int64_t ordered_ms;
};

/* Sums of a plan over all domains, logged when they change. */
struct plan {
    int on_demand, reclaimable;
    bool all_exhausted; /* no reclaimable VMs are to be had in any domain */
};

struct service {
    struct rk_orders *o;
    char name[RK_ID_MAX];
    double last_tokens; /* tokens read, as of measured_ms */
    int64_t measured_ms;
    /* Number of VMs needed, smoothed. need decays slowly and applies to reclaimable
     * VMs, which are cheap and not always to be had; need_fast applies to on-demand
     * VMs. */
    double need, need_fast;
    int64_t last_busy_ms; /* when calls ran last */
    bool had_calls;
    int initial_on_demand; /* on-demand VMs before the first calls */
    int64_t tracked_since_ms;
    int64_t last_shrink_ms; /* when on-demand VMs were given up last */
    struct rk_reclaims_domain reclaims[RK_SIZING_DOMAINS];
    size_t domains_len;
    struct plan plan;                          /* as logged last */
    struct order orders[RK_SIZING_DOMAINS][2]; /* [1]: of reclaimable VMs */
};

struct rk_orders {
    struct rk_node *n;
    struct service services[MAX_SERVICES];
    size_t services_len;
};

/* Returns the state of a service, added if needed; NULL: there are MAX_SERVICES
 * others. */
static struct service *get_service(struct rk_orders *o, const char *name)
{
    for (size_t i = 0; i < o->services_len; i++)
        if (!strcmp(o->services[i].name, name))
            return &o->services[i];
    if (o->services_len == MAX_SERVICES)
        return NULL;
    struct service *s = &o->services[o->services_len++];
    *s = (struct service){.o = o, .last_busy_ms = rk_mono_ms()};
    rk_strcpy(s->name, sizeof(s->name), name);
    for (size_t i = 0; i < RK_SIZING_DOMAINS; i++)
        for (int kind = 0; kind < 2; kind++)
            s->orders[i][kind] = (struct order){
                .s = s, .domain = i, .reclaimable = kind == 1, .target = -1};
    return s;
}

/* ---- demand ---- */

/* Returns the use of a service by all nodes. */
static struct rk_service_load total_use(const struct rk_node *n,
                                        const char *service)
{
    struct rk_service_load sum = rk_mesh_service_use(n->mesh, service);
    for (size_t i = 0; n->report && i < n->report->services_len; i++) {
        const struct rk_service_load *own = &n->report->services[i];
        if (strcmp(own->service, service) != 0)
            continue;
        sum.demand_tokens += own->demand_tokens;
        sum.running += own->running;
        sum.begun += own->begun;
    }
    return sum;
}

static int count_on_demand(const struct rk_node *n, const char *service)
{
    const struct rk_vm_row *row;
    int count = 0;
    for (size_t i = 0; (row = rk_sync_vm_at(n->sync, i)); i++)
        count +=
            !row->leaving && !row->reclaimable && !strcmp(row->service, service);
    return count;
}

/* Until the first calls arrive, takes the initial number of on-demand VMs as the
 * need, up to what the quotas of all organisations allow. Without this limit, each
 * of thousands of idle VMs would be ordered a second time. */
static void apply_initial_estimate(struct service *s, int64_t now_ms)
{
    const struct rk_node *n = s->o->n;
    if (!s->tracked_since_ms)
        s->tracked_since_ms = now_ms;
    if (s->had_calls || now_ms - s->tracked_since_ms > INITIAL_ESTIMATE_MS)
        return;
    int count = count_on_demand(n, s->name);
    if (count > s->initial_on_demand)
        s->initial_on_demand = count;
    const struct rk_service_load use = rk_mesh_service_use(n->mesh, s->name);
    double most =
        rk_sizing_max_need(rk_routes_quota_tokens_per_s(rk_sync_routes(n->sync)),
                           rk_engine_read_per_s(&use.engine));
    double expected = fmin(s->initial_on_demand, ceil(most));
    if (s->need < expected)
        s->need = s->need_fast = expected;
}

static void measure_demand(struct service *s, const struct rk_service_info *info)
{
    int64_t now_ms = rk_mono_ms(), passed_ms = now_ms - s->measured_ms;
    if (passed_ms < DEMAND_INTERVAL_MS) {
        apply_initial_estimate(s, now_ms);
        return;
    }
    struct rk_service_load use = total_use(s->o->n, s->name);
    double read = use.demand_tokens - s->last_tokens;
    /* The sum falls when a node restarts, as its counter then begins at 0. */
    bool known = s->measured_ms && read >= 0;
    double per_s = known ? read * RK_MS_PER_S / (double)passed_ms : 0;
    double need = rk_sizing_need(per_s, rk_engine_read_per_s(&use.engine),
                                 use.begun, (double)info->slots);
    s->had_calls = s->had_calls || need > 0;
    s->need = rk_sizing_smooth(s->need, need, passed_ms, NEED_HALF_LIFE_MS);
    s->need_fast =
        rk_sizing_smooth(s->need_fast, need, passed_ms, NEED_FAST_HALF_LIFE_MS);
    s->last_tokens = use.demand_tokens;
    s->measured_ms = now_ms;
    apply_initial_estimate(s, now_ms);
}

void rk_orders_track_demand(struct rk_orders *o)
{
    const struct rk_routes *routes = rk_sync_routes(o->n->sync);
    for (size_t i = 0; routes && i < routes->services_len; i++) {
        const struct rk_service_info *info = &routes->services[i];
        struct service *s = info->autoscaled ? get_service(o, info->name) : NULL;
        if (s)
            measure_demand(s, info);
    }
}

/* ---- orders ---- */

static void on_ordered(void *ctx, enum rk_status st, const char *detail)
{
    struct order *order = ctx;
    order->busy = false;
    RK_EVENT("vms.ordered", RK_S("service", order->s->name),
             RK_N("domain", (int64_t)order->domain),
             RK_N("reclaimable", order->reclaimable), RK_N("count", order->target),
             RK_S("status", rk_status_str(st)), RK_S("detail", detail));
    if (st == RK_OK) {
        if (order->reclaimable && order->is_increase)
            rk_reclaims_granted(order->s->reclaims, order->s->domains_len,
                                order->domain);
        return;
    }
    order->target = -1; /* orders again, by the plan of that time */
    order->ordered_ms = rk_mono_ms();
    if (st == RK_ECONFLICT && order->reclaimable) {
        rk_reclaims_refused(&order->s->reclaims[order->domain], rk_mono_ms());
        rk_leader_schedule_tick(order->s->o->n->leader);
    }
}

static void send_order(struct order *order, const struct rk_service_info *info,
                       const struct rk_leader_token *token, int held, int count)
{
    struct rk_leader_api *api = order->s->o->n->leader_api;
    const struct rk_vm_target target = {.service = order->s->name,
                                        .domain =
                                            info->prices[order->domain].domain,
                                        .count = count,
                                        .reclaimable = order->reclaimable};
    order->busy = true;
    order->is_increase = count > held;
    order->max_held = 0;
    order->target = count;
    order->ordered_ms = rk_mono_ms();
    api->ops->set_vm_count(api, token, &target, on_ordered, order);
}

/* Returns whether VMs of the last order may still be booting. */
static bool may_be_booting(const struct order *order,
                           const struct rk_service_info *info)
{
    return order->target >= 0 &&
           rk_mono_ms() - order->ordered_ms < info->boot_ms + ORDER_REPEAT_MS;
}

/* Places an order if the VMs held differ from the target and no earlier order is
 * going to change that. */
static void update_order(struct order *order, const struct rk_service_info *info,
                         const struct rk_leader_token *token, int held, int target)
{
    int64_t now_ms = rk_mono_ms();
    bool lost = held < order->max_held; /* VMs have left since the order */
    bool waiting = order->target == target && !lost && may_be_booting(order, info);
    if (held > order->max_held)
        order->max_held = held;
    if (order->busy || held == target || waiting)
        return;
    if (!order->reclaimable && target < held)
        order->s->last_shrink_ms = now_ms;
    send_order(order, info, token, held, target);
}

/* Counts the VMs held by domain and kind. VMs of the new version of a rollout in
 * progress are counted in canaries[d] instead: they are no capacity for the plan
 * yet, but the platform's counts include them. */
static void count_held(const struct rk_node *n, const struct rk_service_info *info,
                       struct rk_sizing_input *in,
                       struct rk_sizing_target canaries[RK_SIZING_DOMAINS])
{
    const struct rk_rollout_rule *active_rule =
        rk_rollouts_active_rule(n->rollouts, info->name);
    const struct rk_vm_row *row;
    memset(canaries, 0, RK_SIZING_DOMAINS * sizeof(*canaries));
    for (size_t i = 0; (row = rk_sync_vm_at(n->sync, i)); i++) {
        if (row->leaving || strcmp(row->service, info->name) != 0)
            continue;
        bool is_canary = active_rule && !strcmp(row->version, active_rule->version);
        for (size_t d = 0; d < in->domains_len; d++) {
            struct rk_sizing_domain *to = &in->domains[d];
            if (strcmp(to->name, row->domain) != 0)
                continue;
            if (row->reclaimable)
                *(is_canary ? &canaries[d].reclaimable : &to->reclaimable) += 1;
            else
                *(is_canary ? &canaries[d].on_demand : &to->on_demand) += 1;
        }
    }
}

/* Notes where VMs were reclaimed, and fills in which domains have no reclaimable
 * capacity. */
static void update_reclaims(struct service *s, struct rk_sizing_input *in)
{
    int64_t now_ms = rk_mono_ms();
    s->domains_len = in->domains_len;
    for (size_t i = 0; i < in->domains_len; i++) {
        struct rk_sizing_domain *d = &in->domains[i];
        rk_reclaims_observe(&s->reclaims[i], d->reclaimable, s->orders[i][1].target,
                            now_ms);
        d->no_reclaimable = !rk_reclaims_may_order(&s->reclaims[i], now_ms);
    }
    in->all_exhausted = rk_reclaims_all_exhausted(s->reclaims, in->domains_len);
}

/* Fills in the on-demand VMs that were ordered and are still booting. A plan that
 * left them out would cancel their order. */
static void count_booting(struct service *s, const struct rk_service_info *info,
                          struct rk_sizing_input *in,
                          const struct rk_sizing_target *canaries)
{
    for (size_t i = 0; i < in->domains_len; i++) {
        const struct order *order = &s->orders[i][0];
        struct rk_sizing_domain *d = &in->domains[i];
        int present = d->on_demand + canaries[i].on_demand;
        if (may_be_booting(order, info) && order->target > present)
            d->booting = order->target - present;
    }
}

/* Returns whether no call has run for IDLE_MS. This time is counted from when this
 * node first saw the service, as it doesn't know at first what runs elsewhere. */
static bool is_idle(struct service *s)
{
    int64_t now_ms = rk_mono_ms();
    if (total_use(s->o->n, s->name).running)
        s->last_busy_ms = now_ms;
    return now_ms - s->last_busy_ms >= IDLE_MS;
}

static void log_plan(struct service *s, const struct rk_sizing_input *in,
                     const struct rk_sizing_target *targets)
{
    struct plan plan = {.all_exhausted = in->all_exhausted};
    for (size_t i = 0; i < in->domains_len; i++) {
        plan.on_demand += targets[i].on_demand;
        plan.reclaimable += targets[i].reclaimable;
    }
    if (plan.all_exhausted == s->plan.all_exhausted &&
        plan.on_demand == s->plan.on_demand &&
        plan.reclaimable == s->plan.reclaimable)
        return;
    s->plan = plan;
    RK_EVENT(
        "vms.plan", RK_S("service", s->name), RK_N("on_demand", plan.on_demand),
        RK_N("reclaimable", plan.reclaimable), RK_N("none", plan.all_exhausted),
        RK_N("need", (int64_t)ceil(in->need)),
        RK_N("need_now", (int64_t)ceil(in->need_fast)), RK_N("idle", in->idle));
}

static bool are_vms_registering(const struct rk_node *n)
{
    return n->file.first_start && rk_mono_ms() - n->started_ms < VM_REGISTRATION_MS;
}

static void update_service(struct service *s, const struct rk_service_info *info,
                           const struct rk_leader_token *token)
{
    struct rk_sizing_input in = {.min_vms = (int)info->min_vms,
                                 .max_vms = (int)info->max_vms,
                                 .spot_price = info->spot_price_ratio,
                                 .need = s->need,
                                 .need_fast = s->need_fast,
                                 .idle = is_idle(s)};
    int64_t now_ms = rk_mono_ms();
    /* During a rollout, a smaller order might remove VMs of either version. */
    in.keep_all = rk_rollouts_active_rule(s->o->n->rollouts, s->name) ||
                  (!s->o->n->file.first_start &&
                   now_ms - s->o->n->started_ms < RESTART_KEEP_MS);
    in.may_shrink = now_ms - s->last_shrink_ms >= SHRINK_INTERVAL_MS;
    for (size_t i = 0; i < info->prices_len && i < RK_SIZING_DOMAINS; i++) {
        struct rk_sizing_domain *d = &in.domains[in.domains_len++];
        rk_strcpy(d->name, sizeof(d->name), info->prices[i].domain);
        d->price = info->prices[i].price;
    }
    struct rk_sizing_target canaries[RK_SIZING_DOMAINS];
    count_held(s->o->n, info, &in, canaries);
    update_reclaims(s, &in);
    count_booting(s, info, &in, canaries);
    struct rk_sizing_target targets[RK_SIZING_DOMAINS];
    rk_sizing_plan(&in, targets);
    log_plan(s, &in, targets);
    for (size_t i = 0; i < in.domains_len; i++) {
        if (!are_vms_registering(s->o->n))
            update_order(&s->orders[i][0], info, token,
                         in.domains[i].on_demand + canaries[i].on_demand,
                         targets[i].on_demand + canaries[i].on_demand);
        update_order(&s->orders[i][1], info, token,
                     in.domains[i].reclaimable + canaries[i].reclaimable,
                     targets[i].reclaimable + canaries[i].reclaimable);
    }
}

void rk_orders_tick(struct rk_orders *o, const struct rk_leader_token *token)
{
    const struct rk_routes *routes = rk_sync_routes(o->n->sync);
    rk_orders_track_demand(o);
    /* The delay is counted from the node's start: a node that becomes the leader
     * later already knows the list, and orders missing VMs at once. */
    if (!token || !routes || !rk_sync_ready(o->n->sync) ||
        rk_mono_ms() - o->n->started_ms < START_DELAY_MS)
        return;
    for (size_t i = 0; i < routes->services_len; i++) {
        const struct rk_service_info *info = &routes->services[i];
        struct service *s = info->autoscaled ? get_service(o, info->name) : NULL;
        if (s)
            update_service(s, info, token);
    }
}

struct rk_orders *rk_orders_create(struct rk_node *n)
{
    struct rk_orders *o = rk_alloc(1, sizeof(*o));
    o->n = n;
    return o;
}

void rk_orders_destroy(struct rk_orders *o)
{
    free(o);
}
