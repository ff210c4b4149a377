// Simulated fleets in which requests, or prompt segments, crash VMs, with the
// nodes' quarantine tables.
//
// In steps of 10 ms: VMs have calls that wait, begin and run; a crashing request
// ends its VM 60 ms after it began, and is sent again to a random node; requests
// with a crashing segment do so, too, and no two are alike; updates reach other
// nodes up to 1 s later; nodes are cut off for 4 s or restarted; VMs end for other
// reasons, many at once. A VM runs again after 4 s.
#ifndef RK_TESTS_QUARANTINE_FLEET_H
#define RK_TESTS_QUARANTINE_FLEET_H

#include <algorithm>
#include <cstdint>
#include <cstring>
#include <memory>
#include <random>
#include <vector>

extern "C" {
#include "core/quarantine.h"
}

inline struct rk_quarantine_row make_row(uint64_t request)
{
    rk_quarantine_row row{};
    row.request = request;
    std::strcpy(row.org, "clinic");
    std::strcpy(row.route, "r");
    return row;
}

using Tables = std::vector<std::unique_ptr<rk_quarantine>>;

inline Tables make_tables(size_t n)
{
    Tables tables;
    for (size_t i = 0; i < n; i++)
        tables.push_back(std::make_unique<rk_quarantine>());
    return tables;
}

inline void send_all_rows(const rk_quarantine &from, rk_quarantine &to)
{
    for (size_t i = 0; i < from.len; i++)
        rk_quarantine_merge(&to, &from.rows[i], false, 1);
}

constexpr int STEP_MS = 10;
constexpr int END_MS = 20000;
constexpr int CRASH_AFTER_MS = 60; // of a crashing request's run
constexpr int RESTART_MS = 4000;   // until an ended VM runs again
constexpr int RESEND_MS = 300;     // between sends of a crashing request
constexpr int ATTEMPTS = 2;        // VMs that one try may use
constexpr int JUDGE_MS = 250;      // between judgements of segments
constexpr int PARTITION_MS = 4000;
constexpr int PROPAGATION_MS = 3000; // until all nodes must know
constexpr int JUST_BEGUN_MS = 250;   // a call that ran no longer is most suspect
constexpr int LONG_RUN_MS = 1000;    // a call that ran longer is no suspect
constexpr size_t WAVE_VMS = 17;      // most VMs that end at once for other reasons

// Segments of sound prompts: one of the first kind, then one of the second.
constexpr uint64_t FIRST_SEGMENTS = 3, SECOND_SEGMENTS = 20;
constexpr uint64_t SEGMENT_KEYS = 1000000; // keys of segments begin here
constexpr uint64_t TURNING_SEGMENT = SEGMENT_KEYS + FIRST_SEGMENTS;
constexpr uint64_t CRASHING_KEYS = 2000000;    // keys of crashing ones
constexpr uint64_t SEGMENT_REQUESTS = 3000000; // requests with crashing segments

// What a simulated fleet meets.
struct Scenario {
    size_t nodes, vms;
    size_t requests; // crashing requests
    size_t segments; // crashing segments
    bool waves;      // VMs end for other reasons, many at once
    bool every_end_counts;
    bool prompts;         // all prompts have segments
    bool sound_at_first;  // the crashing segment is a sound one that turns bad
    int segments_from_ms; // from when on segments crash VMs
};

struct Call {
    uint64_t request;
    size_t node;
    int begins_ms, ends_ms;
    int attempts, tries; // VMs used in this try; sends by its caller
    bool crashes_vm;
    uint64_t segments[2]; // of its prompt; 0: none
};

struct Vm {
    uint32_t incarnation = 0;
    int up_from_ms = 0;
    int dies_ms = INT32_MAX;
    std::vector<Call> calls;
};

// A row on its way to a node.
struct Update {
    int at_ms;
    size_t node;
    std::shared_ptr<const rk_quarantine_row> row;
};

struct Outcome {
    // other: calls that crash no VM; late_sends: see count_late().
    int other_calls = 0, vms_crashed = 0, other_lost = 0, other_stopped = 0,
        late_sends = 0, late_segments = 0, sound_stopped = 0;
};

class Fleet {
  public:
    Fleet(const Scenario &s, uint32_t seed)
        : nodes_(make_tables(s.nodes)), cut_until_ms_(s.nodes, 0), vms_(s.vms),
          crash_counts_(s.requests, 0), third_crash_ms_(s.requests, -1),
          segment_crashes_(s.segments, 0), fifth_crash_ms_(s.segments, -1),
          waves_(s.waves), every_end_counts_(s.every_end_counts),
          prompts_(s.prompts), sound_at_first_(s.sound_at_first),
          segments_from_ms_(s.segments_from_ms), rng_(seed)
    {
        for (Vm &vm : vms_)
            vm.incarnation = ++last_incarnation_;
    }

    Outcome run()
    {
        for (now_ = 0; now_ < END_MS; now_ += STEP_MS)
            step();
        return out_;
    }

  private:
    int below(int n)
    {
        return static_cast<int>(rng_() % static_cast<uint32_t>(n));
    }

    void step()
    {
        deliver_updates();
        if (now_ % JUDGE_MS == 0)
            for (size_t i = 0; i < nodes_.size(); i++)
                judge(i);
        inject_faults();
        for (Vm &vm : vms_)
            run_vm(vm);
        const int per_s = static_cast<int>(vms_.size()) * 12; // 12 for each VM
        for (int i = 0; i < per_s; i++)
            if (below(1000 / STEP_MS) == 0)
                start_sound_call();
        if (now_ % RESEND_MS == 0)
            for (size_t g = 0; g < crash_counts_.size(); g++)
                start_call({g + 1, pick_node(), 0, 0, 0, 0, true, {0, 0}});
        if (now_ % RESEND_MS == 0 && now_ >= segments_from_ms_ && !sound_at_first_)
            for (size_t g = 0; g < segment_crashes_.size(); g++)
                start_segment_call(g);
    }

    void judge(size_t node)
    {
        rk_quarantine *t = nodes_[node].get();
        if (!rk_quarantine_judge_segments(t, now_ + 1))
            return;
        for (size_t i = 0; i < t->len; i++)
            if (t->rows[i].stopped && t->rows[i].changed_ms == now_ + 1)
                send_update(node, t->rows[i]);
    }

    // Picks a sound segment of the first or the second kind.
    uint64_t pick_segment(int position)
    {
        const uint64_t count = position ? SECOND_SEGMENTS : FIRST_SEGMENTS;
        const uint64_t key = SEGMENT_KEYS + (position ? FIRST_SEGMENTS : 0);
        return key + static_cast<uint64_t>(below(static_cast<int>(count)));
    }

    void start_sound_call()
    {
        Call call{100000 + last_request_++, pick_node(), 0, 0, 0, 0, false, {0, 0}};
        if (prompts_) {
            call.segments[0] = pick_segment(0);
            call.segments[1] = pick_segment(1);
        }
        if (sound_at_first_ && call.segments[1] == TURNING_SEGMENT)
            call.segments[1] = CRASHING_KEYS;
        start_call(call);
    }

    // Sends a new request with a crashing segment, before or after a sound one.
    void start_segment_call(size_t g)
    {
        Call call{SEGMENT_REQUESTS + last_request_++,
                  pick_node(),
                  0,
                  0,
                  0,
                  0,
                  true,
                  {0, 0}};
        const int at = below(2);
        call.segments[at] = CRASHING_KEYS + g;
        call.segments[1 - at] = pick_segment(1 - at);
        start_call(call);
    }

    size_t pick_node()
    {
        return static_cast<size_t>(below(static_cast<int>(nodes_.size())));
    }

    // A tenth of the nodes is cut off at 8 s for PARTITION_MS, and another tenth is
    // restarted at 15 s with empty tables. A restarted node gets a peer's rows
    // after 1 s and updates after PROPAGATION_MS. With waves, up to WAVE_VMS VMs,
    // but no more than a third of all, end every 5 s.
    void inject_faults()
    {
        const size_t some = std::max<size_t>(1, nodes_.size() / 10);
        if (now_ == 8000)
            for (size_t i = 0; i < some; i++)
                cut_until_ms_[i] = now_ + PARTITION_MS;
        if (now_ == 8000 + PARTITION_MS || now_ == 15000 + 1000)
            for (size_t i = 0; i < 2 * some && i < nodes_.size(); i++)
                send_all_rows(*nodes_.back(), *nodes_[i]); // peers resend all rows
        if (now_ == 15000)
            for (size_t i = some; i < 2 * some && i + 1 < nodes_.size(); i++) {
                *nodes_[i] = rk_quarantine{};
                nodes_[i]->started_ms = now_;
                cut_until_ms_[i] = now_ + PROPAGATION_MS;
            }
        if (waves_ && now_ % 5000 == 2500)
            for (size_t i = 0; i < WAVE_VMS && i < vms_.size() / 3; i++)
                end_vm(vms_[static_cast<size_t>(
                    below(static_cast<int>(vms_.size())))]);
    }

    void deliver_updates()
    {
        for (size_t i = updates_.size(); i-- > 0;) {
            if (updates_[i].at_ms > now_)
                continue;
            rk_quarantine_merge(nodes_[updates_[i].node].get(),
                                updates_[i].row.get(), false, now_ + 1);
            updates_[i] = updates_.back();
            updates_.pop_back();
        }
    }

    // Sends a row to all nodes that are not cut off; it arrives 250 to 1000 ms
    // later.
    void send_update(size_t from, const rk_quarantine_row &row)
    {
        if (now_ < cut_until_ms_[from])
            return;
        const auto sent = std::make_shared<const rk_quarantine_row>(row);
        for (size_t i = 0; i < nodes_.size(); i++)
            if (i != from && now_ >= cut_until_ms_[i])
                updates_.push_back({now_ + 250 + below(750), i, sent});
    }

    // A caller sends a request, or sends it again.
    void start_call(Call call)
    {
        out_.other_calls += !call.crashes_vm && !call.tries;
        call.tries++;
        call.attempts = 0;
        send_to_vm(call);
    }

    // Returns whether the node refuses the request for one of its segments.
    bool has_stopped_segment(const Call &call)
    {
        bool stopped = false;
        for (uint64_t key : call.segments) {
            const bool is_stopped =
                key &&
                rk_quarantine_is_stopped(nodes_[call.node].get(), key, now_ + 1);
            out_.sound_stopped += is_stopped && key < CRASHING_KEYS;
            stopped = stopped || is_stopped;
        }
        return stopped;
    }

    // Sends a call to a VM that runs, unless the request or a segment is stopped.
    void send_to_vm(Call call)
    {
        if (has_stopped_segment(call))
            return;
        if (rk_quarantine_is_stopped(nodes_[call.node].get(), call.request,
                                     now_ + 1)) {
            out_.other_stopped += !call.crashes_vm;
            return;
        }
        std::vector<Vm *> up;
        for (int i = 0; i < 8; i++) {
            Vm &vm =
                vms_[static_cast<size_t>(below(static_cast<int>(vms_.size())))];
            if (now_ >= vm.up_from_ms)
                up.push_back(&vm);
        }
        if (up.empty())
            return;
        call.begins_ms = now_ + 20 + below(400);
        if (sound_at_first_ && call.segments[1] == CRASHING_KEYS)
            turn_bad(call);
        if (call.crashes_vm)
            count_late(call);
        call.attempts++;
        call.ends_ms = call.begins_ms + 100 + below(3000);
        up[0]->calls.push_back(call);
    }

    void turn_bad(Call &call)
    {
        if (call.crashes_vm || call.begins_ms < segments_from_ms_)
            return;
        call.crashes_vm = true;
        call.request += SEGMENT_REQUESTS;
    }

    // Counts sends of a crashing request that its node should have stopped by then.
    void count_late(const Call &call)
    {
        if (call.request >= SEGMENT_REQUESTS) {
            const int fifth_crash_ms = fifth_crash_ms_[crashing_segment(call)];
            if (fifth_crash_ms >= 0 && now_ > fifth_crash_ms + PROPAGATION_MS &&
                now_ > cut_until_ms_[call.node])
                out_.late_segments++;
            return;
        }
        const int third_crash_ms = third_crash_ms_[call.request - 1];
        if (third_crash_ms >= 0 && now_ > third_crash_ms + PROPAGATION_MS &&
            now_ > cut_until_ms_[call.node])
            out_.late_sends++;
    }

    static size_t crashing_segment(const Call &call)
    {
        return std::max(call.segments[0], call.segments[1]) - CRASHING_KEYS;
    }

    void count_crash(const Call &call)
    {
        out_.vms_crashed++;
        if (call.request >= SEGMENT_REQUESTS) {
            const size_t g = crashing_segment(call);
            if (++segment_crashes_[g] == 5)
                fifth_crash_ms_[g] = now_;
            return;
        }
        const size_t g = call.request - 1;
        if (++crash_counts_[g] == 3)
            third_crash_ms_[g] = now_;
    }

    void clear_segments(const Call &call)
    {
        for (uint64_t key : call.segments) {
            rk_quarantine *t = nodes_[call.node].get();
            const rk_quarantine_row *row =
                key ? rk_quarantine_find(t, key) : nullptr;
            const uint32_t generation = row ? row->generation : 0;
            if (!key)
                continue;
            rk_quarantine_segment_survived(t, key, call.begins_ms + 1, now_ + 1);
            if (row && row->generation != generation)
                send_update(call.node, *row);
        }
    }

    // Ends the calls of a VM that are over, and the VM if one of them crashes it.
    void run_vm(Vm &vm)
    {
        if (now_ < vm.up_from_ms)
            return;
        for (size_t i = vm.calls.size(); i-- > 0;) {
            Call &call = vm.calls[i];
            if (call.crashes_vm && now_ >= call.begins_ms + CRASH_AFTER_MS) {
                count_crash(call);
                end_vm(vm);
                return;
            }
            if (now_ == call.begins_ms + LONG_RUN_MS + STEP_MS)
                clear_segments(call);
            if (!call.crashes_vm && now_ >= call.ends_ms) {
                rk_quarantine_reset(nodes_[call.node].get(), call.request,
                                    now_ + 1);
                clear_segments(call);
                vm.calls[i] = vm.calls.back();
                vm.calls.pop_back();
            }
        }
    }

    // How suspect a call is when its VM ends, by how long it had run, or most
    // suspect in any case if every end counts alike.
    rk_suspicion suspicion(const Call &call) const
    {
        if (every_end_counts_)
            return RK_HAD_JUST_BEGUN;
        if (now_ < call.begins_ms)
            return RK_MAY_HAVE_BEGUN;
        const int ran_ms = now_ - call.begins_ms;
        if (ran_ms > LONG_RUN_MS)
            return RK_NOT_SUSPECT;
        return ran_ms <= JUST_BEGUN_MS ? RK_HAD_JUST_BEGUN : RK_MAY_HAVE_BEGUN;
    }

    // Ends a VM. Its calls are sent to another VM. After ATTEMPTS VMs their callers
    // send them again at a random node, until each was sent three times, or twice
    // if it has a crashing segment; step() sends crashing requests again.
    void end_vm(Vm &vm)
    {
        std::vector<Call> lost_calls;
        lost_calls.swap(vm.calls);
        const uint32_t incarnation = vm.incarnation;
        vm.incarnation = ++last_incarnation_;
        vm.up_from_ms = now_ + RESTART_MS;
        for (const Call &call : lost_calls)
            record_end(call, incarnation);
        for (Call &call : lost_calls) {
            out_.other_lost += !call.crashes_vm;
            if (call.attempts < ATTEMPTS) {
                send_to_vm(call);
            } else if (call.tries < (call.crashes_vm ? 2 : 3) &&
                       (!call.crashes_vm || call.request >= SEGMENT_REQUESTS)) {
                call.node = pick_node();
                start_call(call);
            }
        }
    }

    // Records at the call's node that a VM ended under it, and sends the row to the
    // other nodes, to which callers may send the request next. A call that ran too
    // long to be the cause clears its row instead.
    void record_end(const Call &call, uint32_t incarnation)
    {
        const rk_suspicion s = suspicion(call);
        rk_quarantine *t = nodes_[call.node].get();
        if (s == RK_NOT_SUSPECT) {
            rk_quarantine_completed(t, call.request, now_ + 1);
            return;
        }
        for (uint64_t key : call.segments)
            if (key)
                record_segment_end(call, key, incarnation, s);
        const rk_quarantine_row names = make_row(call.request);
        rk_quarantine_add_end(t, &names, {incarnation, s, 0, 0, 0}, now_ + 1);
        const rk_quarantine_row *row = rk_quarantine_find(t, call.request);
        if (row && (call.crashes_vm || call.tries > 0))
            send_update(call.node, *row);
    }

    void record_segment_end(const Call &call, uint64_t key, uint32_t incarnation,
                            rk_suspicion suspicion)
    {
        rk_quarantine *t = nodes_[call.node].get();
        rk_quarantine_row names = make_row(key);
        std::strcpy(names.segment, "s");
        std::strcpy(names.service, "llm");
        const rk_vm_end end = {incarnation, suspicion,
                               static_cast<uint32_t>(call.request),
                               std::min(call.begins_ms, now_) + 1, now_ + 1};
        rk_quarantine_add_end(t, &names, end, now_ + 1);
        const rk_quarantine_row *row = rk_quarantine_find(t, key);
        if (row)
            send_update(call.node, *row);
    }

    int now_ = 0;
    Tables nodes_;
    std::vector<int> cut_until_ms_;
    std::vector<Vm> vms_;
    std::vector<int> crash_counts_, third_crash_ms_; // of crashing requests
    std::vector<int> segment_crashes_, fifth_crash_ms_;
    std::vector<Update> updates_;
    bool waves_, every_end_counts_, prompts_, sound_at_first_;
    int segments_from_ms_;
    std::mt19937 rng_;
    uint32_t last_incarnation_ = 0;
    uint64_t last_request_ = 0;
    Outcome out_;
};

#endif
