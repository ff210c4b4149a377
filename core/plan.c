#include "core/plan.h"

#include <math.h>
#include <string.h>

#define BACKOFF_MS     5000
#define BACKOFF_MAX_MS 120000
#define STOP_SLACK     1    /* VMs held beyond the plan before any is stopped */
#define SWAP_RATIO     1.25 /* price ratio above which a VM is replaced */

double rk_plan_effective_price(const struct rk_plan_input *in,
                               const struct rk_plan_class *c)
{
    double recompute =
        c->reclaims_per_hour * in->tokens_per_reclaim / 1e6 * in->price_per_mtoken;
    return in->weight_cost * c->price + in->weight_recompute * recompute;
}

static int vms_for_slots(const struct rk_plan_input *in, double slots)
{
    double with_headroom = slots / (1.0 - in->headroom);
    return (int)ceil(with_headroom / in->slots_per_vm - 1e-9);
}

/* Returns the cheapest class that may be started, of the on-demand ones or of all;
 * -1: none. */
static int cheapest(const struct rk_plan_input *in, bool on_demand)
{
    int best = -1;
    for (size_t i = 0; i < in->classes_len; i++) {
        const struct rk_plan_class *c = &in->classes[i];
        if ((on_demand && c->reclaimable) || c->refused_until_ms > in->now_ms)
            continue;
        if (best < 0 || rk_plan_effective_price(in, c) <
                            rk_plan_effective_price(in, &in->classes[best]))
            best = (int)i;
    }
    return best;
}

static void add_action(struct rk_plan *out, enum rk_plan_kind kind, int cls,
                       int count)
{
    if (cls < 0 || count <= 0 || out->len == RK_PLAN_ACTIONS)
        return;
    out->actions[out->len++] =
        (struct rk_plan_action){.kind = kind, .cls = (size_t)cls, .count = count};
}

/* Plans stops of VMs beyond the target, the most expensive first, but never below
 * the floor. */
static void plan_stops(const struct rk_plan_input *in, struct rk_plan *out,
                       int ready, int on_demand)
{
    int excess = ready - out->want_total - STOP_SLACK;
    bool done[RK_PLAN_CLASSES] = {0};
    while (excess > 0) {
        int costliest = -1;
        for (size_t i = 0; i < in->classes_len; i++)
            if (!done[i] && in->classes[i].ready &&
                (costliest < 0 ||
                 rk_plan_effective_price(in, &in->classes[i]) >
                     rk_plan_effective_price(in, &in->classes[costliest])))
                costliest = (int)i;
        if (costliest < 0)
            return;
        done[costliest] = true;
        const struct rk_plan_class *c = &in->classes[costliest];
        int n = c->ready < excess ? c->ready : excess;
        if (!c->reclaimable && on_demand - n < out->want_floor)
            n = on_demand - out->want_floor;
        if (n <= 0)
            continue;
        add_action(out, RK_PLAN_STOP, costliest, n);
        excess -= n;
    }
}

/* If a VM is much more expensive than another class, plans starts in that class, to
 * one VM more than plan_stops() tolerates; once they are ready, it stops the most
 * expensive one. */
static void plan_swap(const struct rk_plan_input *in, struct rk_plan *out, int held,
                      int on_demand)
{
    int cheap = cheapest(in, false);
    if (cheap < 0 || held > out->want_total + STOP_SLACK)
        return;
    double price = rk_plan_effective_price(in, &in->classes[cheap]) * SWAP_RATIO;
    for (size_t i = 0; i < in->classes_len; i++) {
        const struct rk_plan_class *c = &in->classes[i];
        bool may_go = c->ready && (c->reclaimable || on_demand > out->want_floor);
        if (!may_go || rk_plan_effective_price(in, c) <= price)
            continue;
        add_action(out, RK_PLAN_START, cheap,
                   out->want_total + STOP_SLACK + 1 - held);
        return;
    }
}

void rk_plan_make(const struct rk_plan_input *in, struct rk_plan *out)
{
    *out = (struct rk_plan){0};
    int held = 0, ready = 0, on_demand = 0;
    for (size_t i = 0; i < in->classes_len; i++) {
        held += in->classes[i].held;
        ready += in->classes[i].ready;
        on_demand += in->classes[i].reclaimable ? 0 : in->classes[i].held;
    }
    double urgent = in->urgent_slots - in->elsewhere_slots;
    out->want_floor = urgent > 0 ? vms_for_slots(in, urgent) : 0;
    out->want_total = vms_for_slots(in, in->demand_slots);
    if (out->want_total < in->min_vms)
        out->want_total = in->min_vms;
    if (out->want_total < out->want_floor)
        out->want_total = out->want_floor;
    int floor_missing = out->want_floor - on_demand;
    if (floor_missing > 0) {
        add_action(out, RK_PLAN_START, cheapest(in, true), floor_missing);
        held += floor_missing;
    }
    if (held < out->want_total)
        add_action(out, RK_PLAN_START, cheapest(in, false), out->want_total - held);
    else
        plan_stops(in, out, ready, on_demand);
    if (!out->len && held)
        plan_swap(in, out, held, on_demand);
}

void rk_plan_start_refused(struct rk_plan_class *c, int64_t now_ms)
{
    int64_t backoff_ms = BACKOFF_MS;
    for (int i = 0; i < c->refusals && backoff_ms < BACKOFF_MAX_MS; i++)
        backoff_ms *= 2;
    c->refusals++;
    c->refused_until_ms =
        now_ms + (backoff_ms < BACKOFF_MAX_MS ? backoff_ms : BACKOFF_MAX_MS);
}

void rk_plan_start_granted(struct rk_plan_class *c)
{
    c->refusals = 0;
    c->refused_until_ms = 0;
}
