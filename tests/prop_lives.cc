// VMs that are restarted under the same ids: in whatever order and however often
// nodes learn of a VM's incarnations, each node ends with the newest one and
// carries nothing over from earlier ones.
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
constexpr int INCARNATIONS = 4;

rk_vm_row make_row(int id, int incarnation, bool leaving)
{
    rk_vm_row row{};
    snprintf(row.id, sizeof(row.id), "i-%d", id);
    snprintf(row.addr, sizeof(row.addr), "10.0.%d.%d:80", id, incarnation);
    std::strcpy(row.service, "s");
    std::strcpy(row.domain, "z");
    row.started_ms = 1000 + incarnation;
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

// A call placed at a VM; vm: NULL once it has ended.
struct Call {
    rk_place_vm *vm;
    rk_place_job job;
};

// Guards against a node that keeps the address, the age or the leaving state of a
// VM's past incarnation because the list entry arrived late or twice.
void each_node_ends_with_the_newest_incarnation()
{
    const auto reported =
        *rc::gen::container<std::vector<std::tuple<int, int, bool>>>(rc::gen::tuple(
            rc::gen::inRange(0, IDS), rc::gen::inRange(0, INCARNATIONS),
            rc::gen::arbitrary<bool>()));
    // By VM: its newest incarnation, and whether that was reported to leave.
    std::map<int, std::pair<int, bool>> newest;
    for (const auto &[id, incarnation, leaving] : reported) {
        auto &n = newest.try_emplace(id, -1, false).first->second;
        if (incarnation > n.first)
            n = {incarnation, leaving};
        else if (incarnation == n.first)
            n.second = n.second || leaving;
    }
    for (size_t node = 0; node < NODES; node++) {
        auto order = reported;
        const size_t offset = reported.empty() ? 0 : node * 7 % reported.size();
        std::rotate(order.begin(), order.begin() + static_cast<long>(offset),
                    order.end());
        rk_place *p = rk_place_create("z", node);
        std::map<int, rk_vm_row> rows;
        std::vector<Call> calls;
        int64_t now_ms = 1;
        for (const auto &[id, incarnation, leaving] : order) {
            rows[id] = make_row(id, incarnation, leaving);
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
            rk_place_note_sent(p, vm, &q, now_ms, &call.job);
            calls.push_back(call);
            if (calls.size() % 3 == 0) { // a late end, of any incarnation
                Call &ended = calls[calls.size() / 2];
                if (ended.vm)
                    rk_place_note_end(p, ended.vm, &ended.job, RK_PLACE_LOST,
                                      ++now_ms);
                ended.vm = nullptr;
            }
        }
        for (const auto &[id, n] : newest) {
            const rk_vm_row expected = make_row(id, n.first, false);
            const rk_place_vm *vm = rk_place_find(p, expected.id);
            RC_ASSERT(vm && vm->row.started_ms == expected.started_ms);
            RC_ASSERT(std::string(vm->row.addr) == expected.addr);
            RC_ASSERT(vm->row.leaving == n.second);
        }
        for (Call &call : calls)
            if (call.vm)
                rk_place_note_end(p, call.vm, &call.job, RK_PLACE_LOST, ++now_ms);
        rk_place_destroy(p);
    }
}

// Guards against a restarted VM that is paused or avoided for the lost calls of its
// past incarnation.
void late_failures_count_for_their_own_incarnation()
{
    rk_place *p = rk_place_create("z", 1);
    const rk_vm_row past = make_row(0, 0, false), current = make_row(0, 1, false);
    rk_place_set_vms(p, &past, 1, 1);
    rk_place_query q = query();
    rk_engine_forecast first;
    std::vector<Call> calls;
    const int n = *rc::gen::inRange(1, 5);
    for (int i = 0; i < n; i++) {
        Call call{rk_place_choose(p, &q, 2, &first), {}};
        RC_ASSERT(call.vm);
        rk_place_note_sent(p, call.vm, &q, 2, &call.job);
        calls.push_back(call);
    }
    rk_place_set_vms(p, &current, 1, 3);
    for (Call &call : calls)
        rk_place_note_end(p, call.vm, &call.job, RK_PLACE_LOST, 4);
    rk_place_sweep(p);
    const rk_place_vm *vm = rk_place_find(p, current.id);
    RC_ASSERT(vm->losses_in_row == 0 && vm->paused_until_ms == 0 &&
              vm->running == 0);
    RC_ASSERT(!vm->superseded && vm->health.failed == 0);
    size_t rows = 0;
    for (const rk_place_vm *v = rk_place_vms(p); v; v = v->next)
        rows++;
    RC_ASSERT(rows == 1u);
    rk_place_destroy(p);
}

constexpr Property properties[] = {
    {"each_node_ends_with_the_newest_incarnation",
     each_node_ends_with_the_newest_incarnation},
    {"late_failures_count_for_their_own_incarnation",
     late_failures_count_for_their_own_incarnation},
};

} // namespace

int main()
{
    return run_properties(properties);
}
