// Properties of a rollout, for any results of calls at any time: it only moves
// forward, its final state is kept, a version that was rolled back gets no calls,
// and the calls of a canary are bounded as configured.
#include "tests/props.h"

#include <cstdio>

extern "C" {
#include "core/rollout.h"
}

namespace {

constexpr int STEPS = 120;

rk_rollout any_rollout(int64_t now_ms)
{
    rk_rollout r = {};
    rk_rollout_order order = {};
    snprintf(order.service, sizeof(order.service), "s");
    snprintf(order.version, sizeof(order.version), "v2");
    order.duration_ms = *rc::gen::inRange(0, 30000);
    const rk_rollout_bounds bounds = {*rc::gen::inRange(0, 30) / 100.0,
                                      static_cast<double>(*rc::gen::inRange(0, 80)),
                                      5000};
    rk_rollout_begin(&r, &order, &bounds, now_ms, *rc::gen::inRange(0, 10000));
    return r;
}

// Adds random calls to one version, of which some failed.
void add_calls(rk_canary_rows *rows)
{
    const char *route = *rc::gen::arbitrary<bool>() ? "r" : "s";
    const char *domain = *rc::gen::arbitrary<bool>() ? "a" : "b";
    rk_canary_row *row =
        rk_canary_get_row(rows, route, domain, *rc::gen::arbitrary<bool>());
    const double calls = *rc::gen::inRange(0, 40);
    rk_canary_stats more = {};
    more.calls = calls;
    more.failed = calls * *rc::gen::inRange(0, 11) / 10.0;
    more.timed = calls;
    more.log_sum = calls * *rc::gen::inRange(-20, 21) / 10.0;
    more.log_sq = more.log_sum * more.log_sum / (calls > 0 ? calls : 1);
    rk_canary_merge(&row->stats, &more);
}

rk_rollout_input any_input(int64_t now_ms, const rk_canary_rows *rows)
{
    rk_rollout_input v = {};
    v.now_ms = now_ms;
    v.old_vms = *rc::gen::inRange<size_t>(0, 60);
    v.new_vms = *rc::gen::inRange<size_t>(0, 60);
    v.new_domains = *rc::gen::inRange<size_t>(0, 4);
    v.old_running = *rc::gen::inRange(0, 3);
    v.canary_rows = rows;
    return v;
}

// Guards against a rollout that goes back to an earlier phase, leaves its final
// state or changes its rule without a new revision, so that nodes miss the change.
void a_rollout_only_moves_forward()
{
    int64_t now_ms = 1000;
    rk_rollout r = any_rollout(now_ms);
    static rk_canary_rows rows;
    rows.len = 0;
    for (int i = 0; i < STEPS; i++) {
        const rk_rollout_rule before = r.rule;
        now_ms += *rc::gen::inRange(0, 600);
        add_calls(&rows);
        const rk_rollout_input v = any_input(now_ms, &rows);
        const bool changed = rk_rollout_step(&r, &v);
        RC_ASSERT(r.rule.phase >= before.phase);
        RC_ASSERT(changed == (r.rule.revision > before.revision));
        RC_ASSERT(r.rule.share <= RK_ROLLOUT_SHARE_ALL);
        if (before.phase >= RK_ROLLOUT_COMMITTED)
            RC_ASSERT(!changed && r.rule.phase == before.phase);
        if (r.rule.phase == RK_ROLLOUT_ROLLED_BACK)
            RC_ASSERT(r.rule.share == 0u);
    }
}

// Guards against a canary that gets more calls than its bounds allow a bad version
// while it is still undecided.
void a_canary_stays_within_its_share()
{
    int64_t now_ms = 1000;
    rk_rollout r = any_rollout(now_ms);
    static rk_canary_rows rows;
    rows.len = 0;
    rk_canary_row *old_row = rk_canary_get_row(&rows, "r", "a", false);
    rk_canary_row *new_row = rk_canary_get_row(&rows, "r", "a", true);
    for (int i = 0; i < STEPS && r.rule.phase == RK_ROLLOUT_CANARY; i++) {
        rk_canary_stats more = {};
        more.calls = more.timed = *rc::gen::inRange(0, 30);
        rk_canary_merge(&old_row->stats, &more);
        const rk_rollout_input v = any_input(now_ms, &rows);
        rk_rollout_step(&r, &v);
        const double allowed =
            r.bounds.share * (old_row->stats.calls + new_row->stats.calls) +
            r.bounds.slack;
        if (r.rule.phase == RK_ROLLOUT_CANARY && new_row->stats.calls >= allowed)
            RC_ASSERT(r.rule.share == 0u);
        more.calls = more.timed = r.rule.share ? *rc::gen::inRange(0, 5) : 0;
        rk_canary_merge(&new_row->stats, &more);
        now_ms += 200;
    }
}

// Guards against a rollout that never ends: it must be done after its duration and
// 3 s more, in which calls on the old VMs may end.
void a_rollout_ends_in_its_time()
{
    int64_t now_ms = 1000;
    rk_rollout r = any_rollout(now_ms);
    static rk_canary_rows rows;
    rows.len = 0;
    const int64_t ends_ms = r.ordered_ms + r.order.duration_ms;
    while (now_ms < ends_ms) {
        const rk_rollout_input v = any_input(now_ms, &rows);
        rk_rollout_step(&r, &v);
        now_ms += 200;
    }
    for (int i = 0; i < 15; i++, now_ms += 200) {
        const rk_rollout_input v = any_input(now_ms, &rows);
        rk_rollout_step(&r, &v);
    }
    RC_ASSERT(rk_rollout_state_of(&r) >= RK_ROLLOUT_DONE);
}

// The choice depends only on the call's hash, so that all nodes make the same one,
// and the share of calls that use the new version is about the configured one.
void calls_choose_the_version_by_their_hash()
{
    rk_rollout_rule rule = {};
    snprintf(rule.version, sizeof(rule.version), "v2");
    rule.share = *rc::gen::inRange(0u, RK_ROLLOUT_SHARE_ALL + 1u);
    const uint64_t seed = *rc::gen::arbitrary<uint64_t>();
    int new_version_calls = 0;
    for (uint64_t i = 0; i < 2000; i++)
        new_version_calls += rk_rollout_uses_new(&rule, seed + i);
    const double expected = 2000.0 * rule.share / RK_ROLLOUT_SHARE_ALL;
    RC_ASSERT(new_version_calls > expected - 150 &&
              new_version_calls < expected + 150);
}

} // namespace

int main()
{
    static const Property properties[] = {
        {"a_rollout_only_moves_forward", a_rollout_only_moves_forward},
        {"a_canary_stays_within_its_share", a_canary_stays_within_its_share},
        {"a_rollout_ends_in_its_time", a_rollout_ends_in_its_time},
        {"calls_choose_the_version_by_their_hash",
         calls_choose_the_version_by_their_hash},
    };
    return run_properties(properties);
}
