#include "core/sizing.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* Shares of a VM's capacity to plan with, as calls arrive in bursts. On three
 * sites, 0.6 and more of the reading capacity made no difference beyond noise, and
 * 0.55 of the slots cost 0.05 of the value of the calls. */
#define READ_SHARE      0.48 /* of the reading capacity */
#define RUNNING_SHARE   0.35 /* of the slots */
#define RECLAIMABLE_MIN 2    /* per domain, if that kind is cheaper */
/* Share of the need that on-demand substitutes cover. */
#define SUBSTITUTE_SHARE 0.8
#define SLOWDOWN_MAX     4.0 /* maximum slowdown of an engine against assumptions */
#define STOP_SHARE       0.5 /* of the surplus substitutes, stopped at a time */

double rk_sizing_need(double read_per_s, double vm_per_s, double running,
                      double slots)
{
    double by_reading = read_per_s / (vm_per_s * READ_SHARE);
    double by_running = slots > 0 ? running / (slots * RUNNING_SHARE) : 0;
    return by_reading > by_running ? by_reading : by_running;
}

double rk_sizing_max_need(double quotas_per_s, double vm_per_s)
{
    return rk_sizing_need(quotas_per_s, vm_per_s, 0, 0) * SLOWDOWN_MAX;
}

double rk_sizing_smooth(double before, double now, int64_t passed_ms,
                        double halved_ms)
{
    double remaining = before * exp2(-(double)passed_ms / halved_ms);
    return now > remaining ? now : remaining;
}

static int max(int a, int b)
{
    return a > b ? a : b;
}

static int min(int a, int b)
{
    return a < b ? a : b;
}

/* Returns how many more VMs the platform allows in a domain. Reclaimable VMs that
 * cannot be had do not count against its limit. */
static int free_vms(const struct rk_sizing_input *in,
                    const struct rk_sizing_target *targets, size_t i)
{
    int reclaimable = targets[i].reclaimable;
    if (in->all_exhausted)
        reclaimable = min(reclaimable, in->domains[i].reclaimable);
    return in->max_vms - targets[i].on_demand - reclaimable;
}

/* Returns whether one more reclaimable VM would have to be started in a domain that
 * has none to give. */
static bool is_exhausted(const struct rk_sizing_input *in,
                         const struct rk_sizing_target *targets, size_t i)
{
    return in->domains[i].no_reclaimable &&
           targets[i].reclaimable >= in->domains[i].reclaimable;
}

/* Returns the domain for one more reclaimable VM: the one with the fewest, then the
 * cheapest; -1: none. */
static int next_reclaimable(const struct rk_sizing_input *in,
                            const struct rk_sizing_target *targets)
{
    int best = -1;
    for (size_t i = 0; i < in->domains_len; i++) {
        if (targets[i].on_demand + targets[i].reclaimable >= in->max_vms ||
            is_exhausted(in, targets, i))
            continue;
        if (best < 0 || targets[i].reclaimable < targets[best].reclaimable ||
            (targets[i].reclaimable == targets[best].reclaimable &&
             in->domains[i].price < in->domains[best].price))
            best = (int)i;
    }
    return best;
}

/* Returns the domain for one more on-demand VM: one that already holds or boots it,
 * or else the cheapest with room; -1: none. */
static int next_on_demand(const struct rk_sizing_input *in,
                          const struct rk_sizing_target *targets)
{
    int best = -1;
    bool best_held = false;
    for (size_t i = 0; i < in->domains_len; i++) {
        const struct rk_sizing_domain *d = &in->domains[i];
        bool held = targets[i].on_demand < d->on_demand + d->booting;
        if (free_vms(in, targets, i) <= 0 && !held)
            continue;
        if (best < 0 || held > best_held ||
            (held == best_held && d->price < in->domains[best].price)) {
            best = (int)i;
            best_held = held;
        }
    }
    return best;
}

static int planned_vms(const struct rk_sizing_input *in,
                       const struct rk_sizing_target *targets)
{
    int sum = 0;
    for (size_t i = 0; i < in->domains_len; i++)
        sum += targets[i].on_demand + targets[i].reclaimable;
    return sum;
}

static int sum_reclaimable(const struct rk_sizing_input *in,
                           const struct rk_sizing_target *targets)
{
    int sum = 0;
    for (size_t i = 0; i < in->domains_len; i++)
        sum += targets[i].reclaimable;
    return sum;
}

/* Returns the minimum number of reclaimable VMs of a domain. */
static int min_reclaimable(const struct rk_sizing_input *in,
                           const struct rk_sizing_target *targets, size_t i)
{
    int minimum = min(RECLAIMABLE_MIN, free_vms(in, targets, i));
    return in->domains[i].no_reclaimable ? min(minimum, in->domains[i].reclaimable)
                                         : minimum;
}

/* While fewer reclaimable VMs are in service than planned, no domain stops any: VMs
 * that make up for a reclaim in another domain stay until that domain's
 * replacements are in service. */
static void keep_until_replaced(const struct rk_sizing_input *in,
                                struct rk_sizing_target *targets)
{
    int held = 0, needed = sum_reclaimable(in, targets);
    for (size_t i = 0; i < in->domains_len; i++)
        held += in->domains[i].reclaimable;
    for (size_t i = 0; held < needed && i < in->domains_len; i++) {
        int kept =
            min(in->domains[i].reclaimable, in->max_vms - targets[i].on_demand);
        targets[i].reclaimable = max(targets[i].reclaimable, kept);
    }
}

/* Returns the on-demand VMs to hold above the floor. Once all planned reclaimable
 * VMs are in service, the substitutes are stopped at once: 25 of them for 8 s more
 * cost a hundredth of the value of a minute's calls. */
static int substitutes(const struct rk_sizing_input *in, int floor,
                       int planned_reclaimable, bool cheaper)
{
    int on_demand = 0, reclaimable = 0;
    for (size_t i = 0; i < in->domains_len; i++) {
        on_demand += in->domains[i].on_demand + in->domains[i].booting;
        reclaimable += in->domains[i].reclaimable;
    }
    int held = on_demand > floor ? on_demand - floor : 0;
    int remaining = in->all_exhausted ? 0 : reclaimable;
    int needed = (int)ceil(in->need_fast * SUBSTITUTE_SHARE) - floor - remaining;
    if (needed < 0)
        needed = 0;
    if (needed >= held)
        return in->all_exhausted || !cheaper ? needed : held;
    if (in->idle || (!in->all_exhausted && reclaimable >= planned_reclaimable))
        return needed;
    int to_stop = (int)((held - needed) * STOP_SHARE);
    return in->may_shrink ? held - (to_stop > 1 ? to_stop : 1) : held;
}

/* Raises the targets to what is held. The VMs were ordered for a demand that this
 * process has not observed, or a rollout is moving calls. */
static void keep_held(const struct rk_sizing_input *in,
                      struct rk_sizing_target *targets)
{
    for (size_t i = 0; i < in->domains_len; i++) {
        const struct rk_sizing_domain *d = &in->domains[i];
        int on_demand = max(targets[i].on_demand, d->on_demand);
        int reclaimable = max(targets[i].reclaimable, d->reclaimable);
        /* Where the platform allows no more, additions are dropped rather than VMs
         * that are held. */
        int excess = max(on_demand + reclaimable - in->max_vms, 0);
        int dropped = min(excess, on_demand - d->on_demand);
        targets[i].on_demand = on_demand - dropped;
        targets[i].reclaimable =
            max(reclaimable - (excess - dropped), d->reclaimable);
    }
}

void rk_sizing_plan(const struct rk_sizing_input *in,
                    struct rk_sizing_target targets[RK_SIZING_DOMAINS])
{
    bool cheaper = in->spot_price > 0 && in->spot_price < 1;
    int total = (int)ceil(in->need), floor = 0;
    memset(targets, 0, RK_SIZING_DOMAINS * sizeof(*targets));
    for (size_t i = 0; i < in->domains_len; i++) {
        targets[i].on_demand = in->min_vms > 1 ? in->min_vms : 1;
        floor += targets[i].on_demand;
        if (cheaper)
            targets[i].reclaimable = min_reclaimable(in, targets, i);
    }
    for (int at; cheaper && planned_vms(in, targets) < total;) {
        if ((at = next_reclaimable(in, targets)) < 0)
            break;
        targets[at].reclaimable++;
    }
    if (cheaper)
        keep_until_replaced(in, targets);
    int reclaimable = sum_reclaimable(in, targets);
    for (int extra = substitutes(in, floor, reclaimable, cheaper), at; extra > 0;
         extra--) {
        if ((at = next_on_demand(in, targets)) < 0)
            break;
        targets[at].on_demand++;
    }
    if (in->keep_all)
        keep_held(in, targets);
}
