/* Orders for vms: demand is followed at every node, so that whoever takes the
 * duties over knows it; the holder compares the plan with the list and orders the
 * difference. Orders are counts, so a repeated one does no harm. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/duties.h"
#include "common/eventlog.h"
#include "core/holding.h"
#include "core/reclaims.h"
#include "node/state.h"

#define SERVICES       8
#define DEMAND_MS      3000    /* over which demand is measured */
#define KEPT_HALVED_MS 60000.0 /* in which past demand is forgotten by half */
#define HALVED_MS      8000.0  /* the same, as far as dear vms are kept for it */
#define ORDER_AGAIN_MS 3000    /* past a vm's boot: the order is repeated */
#define SHRINK_MS      4000    /* between on-demand vms that are given up */
#define IDLE_MS        4000 /* without a call: longer than a start of all takes */
#define SETTLE_MS      2000 /* after its start a node looks at the list first */
/* After a start with an earlier life no vm is ordered away for so long: nodes hear
 * of each other within 3 s, callers whose calls were lost come back within seconds
 * more. On a fleet of 86 nodes all of which were killed, 72 vms went at once
 * without it. */
#define MEASURED_MS 10000
/* At the first start of all, vms enrol for so long. None is ordered away by a list
 * that is not whole; reclaimable ones, which boot for seconds, are ordered already.
 */
#define ENROL_MS 4500
/* Without a call for so long, what stood there at first is no estimate any more. */
#define ESTIMATE_MS 30000

/* An order of one kind in one domain. */
struct order {
    struct service *s;
    size_t domain;
    bool reclaimable;
    bool busy;
    bool more;  /* than are held: it asks for new ones */
    int target; /* ordered last; -1: none */
    int held;   /* when it was ordered, or the most since */
    int64_t at_ms;
};

/* What the last plan held, to be logged when it changes. */
struct plan {
    int on_demand, reclaimable;
    bool none;
};

struct service {
    struct rk_orders *o;
    char name[RK_ID_MAX];
    double read_before;
    int64_t measured_ms;
    double need,
        need_now;        /* smoothed: reclaimable vms are kept for a while, as they
                            are cheap and at times can't be had; others go soon */
    int64_t busy_ms;     /* calls ran last */
    bool asked;          /* calls came */
    int at_first;        /* on-demand vms that stood there then */
    int64_t followed_ms; /* since when demand is followed */
    int64_t shrunk_ms;   /* an on-demand vm was given up last */
    struct rk_reclaims_domain reclaims[RK_HOLDING_DOMAINS];
    size_t domains_len;
    struct plan plan;
    struct order orders[RK_HOLDING_DOMAINS][2];
};

struct rk_orders {
    struct rk_node *n;
    struct service services[SERVICES];
    size_t services_len;
};

static struct service *service_of(struct rk_orders *o, const char *name)
{
    for (size_t i = 0; i < o->services_len; i++)
        if (!strcmp(o->services[i].name, name))
            return &o->services[i];
    if (o->services_len == SERVICES)
        return NULL;
    struct service *s = &o->services[o->services_len++];
    *s = (struct service){.o = o, .busy_ms = rk_mono_ms()};
    rk_strcpy(s->name, sizeof(s->name), name);
    for (size_t i = 0; i < RK_HOLDING_DOMAINS; i++)
        for (int kind = 0; kind < 2; kind++)
            s->orders[i][kind] = (struct order){
                .s = s, .domain = i, .reclaimable = kind == 1, .target = -1};
    return s;
}

/* ---- demand ---- */

static struct rk_service_use use_of(const struct rk_node *n, const char *service)
{
    struct rk_service_use sum = rk_mesh_service_use(n->mesh, service);
    for (size_t i = 0; n->report && i < n->report->services_len; i++) {
        const struct rk_service_use *own = &n->report->services[i];
        if (strcmp(own->service, service) != 0)
            continue;
        sum.read_tokens += own->read_tokens;
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

/* Until the first calls come, the on-demand vms that stood there are the best
 * estimate of what will be asked, but for those beyond what organisations may ask
 * for: of thousands that stood idle each would be ordered once more. */
static void estimate(struct service *s, int64_t now_ms)
{
    const struct rk_node *n = s->o->n;
    if (!s->followed_ms)
        s->followed_ms = now_ms;
    if (s->asked || now_ms - s->followed_ms > ESTIMATE_MS)
        return;
    int count = count_on_demand(n, s->name);
    if (count > s->at_first)
        s->at_first = count;
    const struct rk_service_use use = rk_mesh_service_use(n->mesh, s->name);
    double most = rk_holding_most(rk_routes_quotas_per_s(rk_sync_routes(n->sync)),
                                  rk_engine_read_per_s(&use.engine));
    double expected = fmin(s->at_first, ceil(most));
    if (s->need < expected)
        s->need = s->need_now = expected;
}

static void measure(struct service *s, const struct rk_service_info *info)
{
    int64_t now_ms = rk_mono_ms(), passed_ms = now_ms - s->measured_ms;
    if (passed_ms < DEMAND_MS) {
        estimate(s, now_ms);
        return;
    }
    struct rk_service_use use = use_of(s->o->n, s->name);
    double read = use.read_tokens - s->read_before;
    /* A node that started again counts from nothing. */
    bool known = s->measured_ms && read >= 0;
    double per_s = known ? read * RK_MS_PER_S / (double)passed_ms : 0;
    double need = rk_holding_need(per_s, rk_engine_read_per_s(&use.engine),
                                  use.begun, (double)info->slots);
    s->asked = s->asked || need > 0;
    s->need = rk_holding_smooth(s->need, need, passed_ms, KEPT_HALVED_MS);
    s->need_now = rk_holding_smooth(s->need_now, need, passed_ms, HALVED_MS);
    s->read_before = use.read_tokens;
    s->measured_ms = now_ms;
    estimate(s, now_ms);
}

void rk_orders_watch(struct rk_orders *o)
{
    const struct rk_routes *routes = rk_sync_routes(o->n->sync);
    for (size_t i = 0; routes && i < routes->services_len; i++) {
        const struct rk_service_info *info = &routes->services[i];
        struct service *s = info->scaled ? service_of(o, info->name) : NULL;
        if (s)
            measure(s, info);
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
        if (order->reclaimable && order->more)
            rk_reclaims_granted(order->s->reclaims, order->s->domains_len,
                                order->domain);
        return;
    }
    order->target = -1; /* again, with what is known then */
    order->at_ms = rk_mono_ms();
    if (st == RK_ECONFLICT && order->reclaimable) {
        rk_reclaims_refused(&order->s->reclaims[order->domain], rk_mono_ms());
        rk_duty_keeper_look(order->s->o->n->duty_keeper);
    }
}

static void send_order(struct order *order, const struct rk_service_info *info,
                       const struct rk_duty_token *token, int held, int count)
{
    struct rk_duties *duties = order->s->o->n->duties;
    const struct rk_vm_target target = {.service = order->s->name,
                                        .domain =
                                            info->prices[order->domain].domain,
                                        .count = count,
                                        .reclaimable = order->reclaimable};
    order->busy = true;
    order->more = count > held;
    order->held = 0;
    order->target = count;
    order->at_ms = rk_mono_ms();
    duties->ops->order_vms(duties, token, &target, on_ordered, order);
}

/* May what was ordered last still be on its way? */
static bool is_awaited(const struct order *order,
                       const struct rk_service_info *info)
{
    return order->target >= 0 &&
           rk_mono_ms() - order->at_ms < info->boot_ms + ORDER_AGAIN_MS;
}

static void tend_order(struct order *order, const struct rk_service_info *info,
                       const struct rk_duty_token *token, int held, int target)
{
    int64_t now_ms = rk_mono_ms();
    bool lost = held < order->held; /* vms left since it was ordered */
    bool waiting = order->target == target && !lost && is_awaited(order, info);
    if (held > order->held)
        order->held = held;
    if (order->busy || held == target || waiting)
        return;
    if (!order->reclaimable && target < held)
        order->s->shrunk_ms = now_ms;
    send_order(order, info, token, held, target);
}

/* beside[d]: vms of a version that is only tried, by kind. The platform counts
 * them, too, but they don't serve yet. */
static void count_held(const struct rk_node *n, const struct rk_service_info *info,
                       struct rk_holding_input *in,
                       struct rk_holding_target beside[RK_HOLDING_DOMAINS])
{
    const struct rk_rollout_rule *moving =
        rk_rollouts_moving(n->rollouts, info->name);
    const struct rk_vm_row *row;
    memset(beside, 0, RK_HOLDING_DOMAINS * sizeof(*beside));
    for (size_t i = 0; (row = rk_sync_vm_at(n->sync, i)); i++) {
        if (row->leaving || strcmp(row->service, info->name) != 0)
            continue;
        bool tried = moving && !strcmp(row->version, moving->version);
        for (size_t d = 0; d < in->domains_len; d++) {
            struct rk_holding_domain *to = &in->domains[d];
            if (strcmp(to->name, row->domain) != 0)
                continue;
            if (row->reclaimable)
                *(tried ? &beside[d].reclaimable : &to->reclaimable) += 1;
            else
                *(tried ? &beside[d].on_demand : &to->on_demand) += 1;
        }
    }
}

/* Where reclaimable vms were taken, and whether others can be had. */
static void look_for_reclaims(struct service *s, struct rk_holding_input *in)
{
    int64_t now_ms = rk_mono_ms();
    s->domains_len = in->domains_len;
    for (size_t i = 0; i < in->domains_len; i++) {
        struct rk_holding_domain *d = &in->domains[i];
        rk_reclaims_seen(&s->reclaims[i], d->reclaimable, s->orders[i][1].target,
                         now_ms);
        d->closed = !rk_reclaims_may_ask(&s->reclaims[i], now_ms);
    }
    in->none = rk_reclaims_none(s->reclaims, in->domains_len);
}

/* On-demand vms that were ordered and boot: a plan that forgot them would order
 * them away again. */
static void count_booting(struct service *s, const struct rk_service_info *info,
                          struct rk_holding_input *in,
                          const struct rk_holding_target *beside)
{
    for (size_t i = 0; i < in->domains_len; i++) {
        const struct order *order = &s->orders[i][0];
        struct rk_holding_domain *d = &in->domains[i];
        int there = d->on_demand + beside[i].on_demand;
        if (is_awaited(order, info) && order->target > there)
            d->booting = order->target - there;
    }
}

/* Nothing runs. Just after a start that is not known. */
static bool is_idle(struct service *s)
{
    int64_t now_ms = rk_mono_ms();
    if (use_of(s->o->n, s->name).running)
        s->busy_ms = now_ms;
    return now_ms - s->busy_ms >= IDLE_MS;
}

static void log_plan(struct service *s, const struct rk_holding_input *in,
                     const struct rk_holding_target *targets)
{
    struct plan plan = {.none = in->none};
    for (size_t i = 0; i < in->domains_len; i++) {
        plan.on_demand += targets[i].on_demand;
        plan.reclaimable += targets[i].reclaimable;
    }
    if (plan.none == s->plan.none && plan.on_demand == s->plan.on_demand &&
        plan.reclaimable == s->plan.reclaimable)
        return;
    s->plan = plan;
    RK_EVENT("vms.plan", RK_S("service", s->name),
             RK_N("on_demand", plan.on_demand),
             RK_N("reclaimable", plan.reclaimable), RK_N("none", plan.none),
             RK_N("need", (int64_t)ceil(in->need)),
             RK_N("need_now", (int64_t)ceil(in->need_now)), RK_N("idle", in->idle));
}

static bool is_enrolling(const struct rk_node *n)
{
    return n->file.first_start && rk_mono_ms() - n->started_ms < ENROL_MS;
}

static void tend_service(struct service *s, const struct rk_service_info *info,
                         const struct rk_duty_token *token)
{
    struct rk_holding_input in = {.min_vms = (int)info->min_vms,
                                  .max_vms = (int)info->max_vms,
                                  .spot_price = info->spot_price,
                                  .need = s->need,
                                  .need_now = s->need_now,
                                  .idle = is_idle(s)};
    int64_t now_ms = rk_mono_ms();
    /* What an order takes away while a version moves may be of either. */
    in.keep =
        rk_rollouts_moving(s->o->n->rollouts, s->name) ||
        (!s->o->n->file.first_start && now_ms - s->o->n->started_ms < MEASURED_MS);
    in.settled = now_ms - s->shrunk_ms >= SHRINK_MS;
    for (size_t i = 0; i < info->prices_len && i < RK_HOLDING_DOMAINS; i++) {
        struct rk_holding_domain *d = &in.domains[in.domains_len++];
        rk_strcpy(d->name, sizeof(d->name), info->prices[i].domain);
        d->price = info->prices[i].price;
    }
    struct rk_holding_target beside[RK_HOLDING_DOMAINS];
    count_held(s->o->n, info, &in, beside);
    look_for_reclaims(s, &in);
    count_booting(s, info, &in, beside);
    struct rk_holding_target targets[RK_HOLDING_DOMAINS];
    rk_holding_plan(&in, targets);
    log_plan(s, &in, targets);
    for (size_t i = 0; i < in.domains_len; i++) {
        if (!is_enrolling(s->o->n))
            tend_order(&s->orders[i][0], info, token,
                       in.domains[i].on_demand + beside[i].on_demand,
                       targets[i].on_demand + beside[i].on_demand);
        tend_order(&s->orders[i][1], info, token,
                   in.domains[i].reclaimable + beside[i].reclaimable,
                   targets[i].reclaimable + beside[i].reclaimable);
    }
}

void rk_orders_tick(struct rk_orders *o, const struct rk_duty_token *token)
{
    const struct rk_routes *routes = rk_sync_routes(o->n->sync);
    rk_orders_watch(o);
    /* Who takes the duties over knows the list, and the vms that are missing are
     * missing now. */
    if (!token || !routes || !rk_sync_ready(o->n->sync) ||
        rk_mono_ms() - o->n->started_ms < SETTLE_MS)
        return;
    for (size_t i = 0; i < routes->services_len; i++) {
        const struct rk_service_info *info = &routes->services[i];
        struct service *s = info->scaled ? service_of(o, info->name) : NULL;
        if (s)
            tend_service(s, info, token);
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
