// VMs that start again under their ids: whatever nodes are told of which life, in
// which order and how often, each ends with the newest, and knows nothing of
// before.
#include "tests/props.h"

#include <algorithm>
#include <cstdio>
#include <cstring>
#include <map>
#include <vector>

extern "C" {
#include "core/place.h"
}

namespace {

constexpr size_t NODES = 3;
constexpr int IDS = 3;
constexpr int LIVES = 4;

rk_vm_row make_row(int id, int life, bool leaving)
{
    rk_vm_row row{};
    snprintf(row.id, sizeof(row.id), "i-%d", id);
    snprintf(row.addr, sizeof(row.addr), "10.0.%d.%d:80", id, life);
    std::strcpy(row.service, "s");
    std::strcpy(row.domain, "z");
    row.born_ms = 1000 + life;
    row.slots = 4;
    row.leaving = leaving;
    row.leaves_in_ms = -1;
    return row;
}

struct rk_place_query query()
{
    rk_place_query q{};
    q.service = "s";
    q.route = "r";
    return q;
}

// A call at some vm, if it can be placed; it ends later, or never.
struct Call {
    rk_place_vm *vm;
    rk_place_job job;
};

void each_node_ends_with_the_newest_life()
{
    const auto told = *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(
        rc::gen::tuple(rc::gen::inRange(0, IDS), rc::gen::inRange(0, LIVES),
                       rc::gen::arbitrary<bool>()));
    std::map<int, std::pair<int, bool>> newest; // life, was it told to leave
    for (const auto &[id, life, leaving] : told) {
        auto &n = newest.try_emplace(id, -1, false).first->second;
        if (life > n.first)
            n = {life, leaving};
        else if (life == n.first)
            n.second = n.second || leaving;
    }
    for (size_t node = 0; node < NODES; node++) {
        auto order = told;
        const size_t turn = told.empty() ? 0 : node * 7 % told.size();
        std::rotate(order.begin(), order.begin() + static_cast<long>(turn),
                    order.end());
        rk_place *p = rk_place_create("z", node);
        std::map<int, rk_vm_row> rows;
        std::vector<Call> calls;
        int64_t now_ms = 1;
        for (const auto &[id, life, leaving] : order) {
            rows[id] = make_row(id, life, leaving);
            std::vector<rk_vm_row> list;
            for (const auto &[key, row] : rows)
                list.push_back(row);
            rk_place_set_vms(p, list.data(), list.size(), ++now_ms);
            rk_place_query q = query();
            rk_engine_forecast first;
            rk_place_vm *vm = rk_place_choose(p, &q, now_ms, &first);
            if (!vm)
                continue;
            Call call{vm, {}};
            rk_place_sent(p, vm, &q, now_ms, &call.job);
            calls.push_back(call);
            if (calls.size() % 3 == 0) { // an answer of some life, late
                Call &late = calls[calls.size() / 2];
                if (late.vm)
                    rk_place_ended(p, late.vm, &late.job, RK_PLACE_LOST, ++now_ms);
                late.vm = nullptr;
            }
        }
        for (const auto &[id, n] : newest) {
            const rk_vm_row expected = make_row(id, n.first, false);
            const rk_place_vm *vm = rk_place_find(p, expected.id);
            RC_ASSERT(vm && vm->row.born_ms == expected.born_ms);
            RC_ASSERT(std::string(vm->row.addr) == expected.addr);
            RC_ASSERT(vm->row.leaving == n.second);
        }
        for (Call &call : calls)
            if (call.vm)
                rk_place_ended(p, call.vm, &call.job, RK_PLACE_LOST, ++now_ms);
        rk_place_destroy(p);
    }
}

// Failures of calls that the life before had in hand say nothing of the next.
void what_ends_late_speaks_against_its_own_life()
{
    rk_place *p = rk_place_create("z", 1);
    const rk_vm_row before = make_row(0, 0, false), after = make_row(0, 1, false);
    rk_place_set_vms(p, &before, 1, 1);
    rk_place_query q = query();
    rk_engine_forecast first;
    std::vector<Call> calls;
    const int n = *rc::gen::inRange(1, 5);
    for (int i = 0; i < n; i++) {
        Call call{rk_place_choose(p, &q, 2, &first), {}};
        RC_ASSERT(call.vm);
        rk_place_sent(p, call.vm, &q, 2, &call.job);
        calls.push_back(call);
    }
    rk_place_set_vms(p, &after, 1, 3);
    for (Call &call : calls)
        rk_place_ended(p, call.vm, &call.job, RK_PLACE_LOST, 4);
    const rk_place_vm *vm = rk_place_find(p, after.id);
    RC_ASSERT(vm->failures == 0 && vm->paused_until_ms == 0 && vm->running == 0);
    RC_ASSERT(!vm->over && vm->pace.failed == 0);
    size_t rows = 0;
    for (const rk_place_vm *v = rk_place_vms(p); v; v = v->next)
        rows++;
    RC_ASSERT(rows == 1u);
    rk_place_destroy(p);
}

constexpr Property properties[] = {
    {"each_node_ends_with_the_newest_life", each_node_ends_with_the_newest_life},
    {"what_ends_late_speaks_against_its_own_life",
     what_ends_late_speaks_against_its_own_life},
};

} // namespace

int main()
{
    return run_properties(properties);
}
