// Properties of the plan of how many VMs each failure domain holds. For any running
// VMs, any need and any domains without reclaimable capacity, each domain keeps its
// on-demand minimum, no domain is ordered more VMs than the platform allows, except
// for on-demand substitutes that wait for their replacements, and a plan that has
// been carried out does not change.
#include "tests/props.h"

#include <algorithm>
#include <cstdio>

extern "C" {
#include "core/sizing.h"
#include "core/reclaims.h"
}

namespace {

constexpr int MAX_VMS = 40;
// Within this number of steps a plan must stop changing. Also the number of random
// losses, refusals and grants.
constexpr int STEPS = 60;

rk_sizing_input any_input()
{
    rk_sizing_input in = {};
    in.domains_len = *rc::gen::inRange<size_t>(1, 6);
    for (size_t i = 0; i < in.domains_len; i++) {
        rk_sizing_domain &d = in.domains[i];
        snprintf(d.name, sizeof(d.name), "domain-%zu", i);
        d.price = *rc::gen::inRange(5, 20) / 10.0;
        d.on_demand = *rc::gen::inRange(0, MAX_VMS / 2);
        d.booting = *rc::gen::inRange(0, MAX_VMS / 4);
        d.reclaimable = *rc::gen::inRange(0, MAX_VMS / 4);
        d.no_reclaimable = *rc::gen::arbitrary<bool>();
    }
    in.min_vms = *rc::gen::inRange(0, 3);
    in.max_vms = MAX_VMS;
    in.spot_price = *rc::gen::element(0.0, 0.2, 0.6, 1.0);
    in.need = *rc::gen::inRange(0, 1500) / 10.0;
    in.need_fast = in.need * *rc::gen::inRange(0, 11) / 10.0;
    in.all_exhausted = *rc::gen::arbitrary<bool>();
    in.idle = *rc::gen::arbitrary<bool>();
    in.may_shrink = *rc::gen::arbitrary<bool>();
    in.keep_all = *rc::gen::arbitrary<bool>();
    return in;
}

// Guards against a domain left without an on-demand VM when all reclaimable ones
// are taken back, and against orders that the platform refuses as above max_vms.
void every_domain_keeps_its_floor_and_its_limit()
{
    rk_sizing_input in = any_input();
    rk_sizing_target t[RK_SIZING_DOMAINS];
    rk_sizing_plan(&in, t);
    for (size_t i = 0; i < in.domains_len; i++) {
        RC_ASSERT(t[i].on_demand >= std::max(1, in.min_vms));
        RC_ASSERT(t[i].reclaimable >= 0);
        int reclaimable =
            in.all_exhausted ? std::min(t[i].reclaimable, in.domains[i].reclaimable)
                             : t[i].reclaimable;
        bool waits_for_replacement =
            t[i].on_demand <= in.domains[i].on_demand + in.domains[i].booting;
        RC_ASSERT(waits_for_replacement || t[i].on_demand + reclaimable <= MAX_VMS);
        RC_ASSERT(t[i].reclaimable <= MAX_VMS);
    }
}

// Guards against a plan that orders more reclaimable VMs in a domain that has no
// reclaimable capacity now.
void nothing_more_is_ordered_in_an_exhausted_domain()
{
    rk_sizing_input in = any_input();
    rk_sizing_target t[RK_SIZING_DOMAINS];
    rk_sizing_plan(&in, t);
    for (size_t i = 0; i < in.domains_len; i++)
        if (in.domains[i].no_reclaimable)
            RC_ASSERT(t[i].reclaimable <= in.domains[i].reclaimable);
}

// Guards against plans that keep starting and stopping VMs: carried out repeatedly
// with no other change, a plan must stop changing within STEPS.
void a_plan_converges()
{
    rk_sizing_input in = any_input();
    rk_sizing_target t[RK_SIZING_DOMAINS];
    in.may_shrink = true;
    bool unchanged = false;
    for (int step = 0; step < STEPS && !unchanged; step++) {
        rk_sizing_plan(&in, t);
        unchanged = true;
        for (size_t i = 0; i < in.domains_len; i++) {
            rk_sizing_domain &d = in.domains[i];
            unchanged = unchanged && d.on_demand == t[i].on_demand && !d.booting &&
                        d.reclaimable == t[i].reclaimable;
            d.booting = 0;
            d.on_demand = t[i].on_demand;
            d.reclaimable = t[i].reclaimable;
        }
    }
    RC_ASSERT(unchanged);
}

// For any order of losses, refusals and grants: once a domain has granted VMs, not
// all are exhausted and the others may be asked at once; a domain that refused is
// not asked again within 500 ms, and may be asked 10 s later.
void an_exhausted_domain_is_retried_at_intervals()
{
    rk_reclaims_domain d[3] = {};
    int64_t now_ms = 1000;
    for (int step = 0; step < STEPS; step++) {
        now_ms += *rc::gen::inRange(50, 2000);
        size_t index = *rc::gen::inRange<size_t>(0, 3);
        switch (*rc::gen::inRange(0, 3)) {
        case 0:
            rk_reclaims_refused(&d[index], now_ms);
            RC_ASSERT(!rk_reclaims_may_order(&d[index], now_ms + 500));
            RC_ASSERT(rk_reclaims_may_order(&d[index], now_ms + 10000));
            break;
        case 1:
            rk_reclaims_granted(d, 3, index);
            RC_ASSERT(!rk_reclaims_all_exhausted(d, 3));
            RC_ASSERT(rk_reclaims_may_order(&d[(index + 1) % 3], now_ms));
            break;
        default:
            rk_reclaims_observe(&d[index], *rc::gen::inRange(0, 20),
                                *rc::gen::inRange(-1, 20), now_ms);
        }
    }
}

} // namespace

int main()
{
    static const Property properties[] = {
        {"every_domain_keeps_its_floor_and_its_limit",
         every_domain_keeps_its_floor_and_its_limit},
        {"nothing_more_is_ordered_in_an_exhausted_domain",
         nothing_more_is_ordered_in_an_exhausted_domain},
        {"a_plan_converges", a_plan_converges},
        {"an_exhausted_domain_is_retried_at_intervals",
         an_exhausted_domain_is_retried_at_intervals},
    };
    return run_properties(properties);
}
