#include "core/holding.h"

#include <math.h>
#include <stdbool.h>
#include <string.h>

/* Of what a vm can do, planned with, as calls come in clumps. By measurement on
 * three sites: 0.6 and more of reading is within noise, 0.55 of slots costs 0.05 of
 * worth. */
#define READ_SHARE      0.48
#define RUNNING_SHARE   0.35 /* of its slots */
#define RECLAIMABLE_MIN 2    /* a domain, where that kind is cheaper */
#define STAND_IN_SHARE  0.8  /* of the need that on-demand vms stand in for */
#define UNMEASURED      4.0  /* times slower than taken for an engine may be */
#define GIVEN_UP_SHARE  0.5  /* of the stand-ins that are not needed, at a time */

double rk_holding_need(double read_per_s, double vm_per_s, double running,
                       double slots)
{
    double by_reading = read_per_s / (vm_per_s * READ_SHARE);
    double by_running = slots > 0 ? running / (slots * RUNNING_SHARE) : 0;
    return by_reading > by_running ? by_reading : by_running;
}

double rk_holding_most(double quotas_per_s, double vm_per_s)
{
    return rk_holding_need(quotas_per_s, vm_per_s, 0, 0) * UNMEASURED;
}

double rk_holding_smooth(double before, double now, int64_t passed_ms,
                         double halved_ms)
{
    double left = before * exp2(-(double)passed_ms / halved_ms);
    return now > left ? now : left;
}

static int max(int a, int b)
{
    return a > b ? a : b;
}

static int min(int a, int b)
{
    return a < b ? a : b;
}

/* How many more the platform lets a domain have. Reclaimable vms that can't be had
 * take no room. */
static int room(const struct rk_holding_input *in,
                const struct rk_holding_target *targets, size_t i)
{
    int reclaimable = targets[i].reclaimable;
    if (in->none)
        reclaimable = min(reclaimable, in->domains[i].reclaimable);
    return in->max_vms - targets[i].on_demand - reclaimable;
}

/* Would one more reclaimable vm there have to be got? */
static bool is_closed(const struct rk_holding_input *in,
                      const struct rk_holding_target *targets, size_t i)
{
    return in->domains[i].closed &&
           targets[i].reclaimable >= in->domains[i].reclaimable;
}

/* The domain for one more reclaimable vm: the fewest, then the cheapest. */
static int next_reclaimable(const struct rk_holding_input *in,
                            const struct rk_holding_target *targets)
{
    int best = -1;
    for (size_t i = 0; i < in->domains_len; i++) {
        if (targets[i].on_demand + targets[i].reclaimable >= in->max_vms ||
            is_closed(in, targets, i))
            continue;
        if (best < 0 || targets[i].reclaimable < targets[best].reclaimable ||
            (targets[i].reclaimable == targets[best].reclaimable &&
             in->domains[i].price < in->domains[best].price))
            best = (int)i;
    }
    return best;
}

/* The domain for one more on-demand vm: one that has it already, else the
 * cheapest with room. */
static int next_on_demand(const struct rk_holding_input *in,
                          const struct rk_holding_target *targets)
{
    int best = -1;
    bool best_held = false;
    for (size_t i = 0; i < in->domains_len; i++) {
        const struct rk_holding_domain *d = &in->domains[i];
        bool held = targets[i].on_demand < d->on_demand + d->booting;
        if (room(in, targets, i) <= 0 && !held)
            continue;
        if (best < 0 || held > best_held ||
            (held == best_held && d->price < in->domains[best].price)) {
            best = (int)i;
            best_held = held;
        }
    }
    return best;
}

static int planned(const struct rk_holding_input *in,
                   const struct rk_holding_target *targets)
{
    int sum = 0;
    for (size_t i = 0; i < in->domains_len; i++)
        sum += targets[i].on_demand + targets[i].reclaimable;
    return sum;
}

static int sum_reclaimable(const struct rk_holding_input *in,
                           const struct rk_holding_target *targets)
{
    int sum = 0;
    for (size_t i = 0; i < in->domains_len; i++)
        sum += targets[i].reclaimable;
    return sum;
}

/* The least of a domain. */
static int first_reclaimable(const struct rk_holding_input *in,
                             const struct rk_holding_target *targets, size_t i)
{
    int least = min(RECLAIMABLE_MIN, room(in, targets, i));
    return in->domains[i].closed ? min(least, in->domains[i].reclaimable) : least;
}

/* A domain whose vms were taken gets some again: until they serve, no other domain
 * gives up those that stand in for them. */
static void keep_until_replaced(const struct rk_holding_input *in,
                                struct rk_holding_target *targets)
{
    int held = 0, wanted = sum_reclaimable(in, targets);
    for (size_t i = 0; i < in->domains_len; i++)
        held += in->domains[i].reclaimable;
    for (size_t i = 0; held < wanted && i < in->domains_len; i++) {
        int kept =
            min(in->domains[i].reclaimable, in->max_vms - targets[i].on_demand);
        targets[i].reclaimable = max(targets[i].reclaimable, kept);
    }
}

/* On-demand vms above the floor. Once all reclaimable ones that are planned serve,
 * those that stood in go at once: 25 of them for 8 s more cost a hundredth of what
 * a minute's calls are worth. */
static int stand_ins(const struct rk_holding_input *in, int floor,
                     int planned_reclaimable, bool cheaper)
{
    int on_demand = 0, reclaimable = 0;
    for (size_t i = 0; i < in->domains_len; i++) {
        on_demand += in->domains[i].on_demand + in->domains[i].booting;
        reclaimable += in->domains[i].reclaimable;
    }
    int held = on_demand > floor ? on_demand - floor : 0;
    int left = in->none ? 0 : reclaimable;
    int wanted = (int)ceil(in->need_now * STAND_IN_SHARE) - floor - left;
    if (wanted < 0)
        wanted = 0;
    if (wanted >= held)
        return in->none || !cheaper ? wanted : held;
    if (in->idle || (!in->none && reclaimable >= planned_reclaimable))
        return wanted;
    int given_up = (int)((held - wanted) * GIVEN_UP_SHARE);
    return in->settled ? held - (given_up > 1 ? given_up : 1) : held;
}

/* It was ordered for a demand that this process hasn't seen, or a version moves. */
static void keep_what_stands(const struct rk_holding_input *in,
                             struct rk_holding_target *targets)
{
    for (size_t i = 0; i < in->domains_len; i++) {
        const struct rk_holding_domain *d = &in->domains[i];
        int on_demand = max(targets[i].on_demand, d->on_demand);
        int reclaimable = max(targets[i].reclaimable, d->reclaimable);
        /* What comes on top gives way where the platform allows no more. */
        int over = max(on_demand + reclaimable - in->max_vms, 0);
        int less = min(over, on_demand - d->on_demand);
        targets[i].on_demand = on_demand - less;
        targets[i].reclaimable = max(reclaimable - (over - less), d->reclaimable);
    }
}

void rk_holding_plan(const struct rk_holding_input *in,
                     struct rk_holding_target targets[RK_HOLDING_DOMAINS])
{
    bool cheaper = in->spot_price > 0 && in->spot_price < 1;
    int total = (int)ceil(in->need), floor = 0;
    memset(targets, 0, RK_HOLDING_DOMAINS * sizeof(*targets));
    for (size_t i = 0; i < in->domains_len; i++) {
        targets[i].on_demand = in->min_vms > 1 ? in->min_vms : 1;
        floor += targets[i].on_demand;
        if (cheaper)
            targets[i].reclaimable = first_reclaimable(in, targets, i);
    }
    for (int at; cheaper && planned(in, targets) < total;) {
        if ((at = next_reclaimable(in, targets)) < 0)
            break;
        targets[at].reclaimable++;
    }
    if (cheaper)
        keep_until_replaced(in, targets);
    int reclaimable = sum_reclaimable(in, targets);
    for (int more = stand_ins(in, floor, reclaimable, cheaper), at; more > 0;
         more--) {
        if ((at = next_on_demand(in, targets)) < 0)
            break;
        targets[at].on_demand++;
    }
    if (in->keep)
        keep_what_stands(in, targets);
}
