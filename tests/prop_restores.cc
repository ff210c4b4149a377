// Usage windows over restores of the store from an older copy, beside kills of some
// or all processes. The model has the store, the platform that takes the reports,
// and processes that follow the leader's rules; core/restores.h decides.
#include "tests/props.h"

#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

extern "C" {
#include "core/restores.h"
}

namespace {

constexpr int kProcesses = 3;
constexpr int64_t kTickMs = 100;
constexpr int64_t kWindowMs = 1000;
constexpr int64_t kReportDelayMs = 300; // from a window's end until its report
constexpr int64_t kRecentWindows = 8;   // windows that a leader may still report
constexpr int64_t kLeaseMs = 500;       // without a leader before another one
constexpr int64_t kMaxCopyAgeMs = 7000;
constexpr int64_t kMaxAwayMs = 6000;
constexpr int64_t kMaxDownMs = 4000;
constexpr int64_t kSettledMs = 6000; // without faults, at the end of a run

struct Contents {
    std::optional<rk_restores_record> record;
    std::map<int64_t, int64_t> counts; // by window, as written first
};

struct Process {
    bool alive = false;
    int64_t starts_ms = 0; // when it is started next, unless it is alive
    int incarnation = 0;
    int64_t started_ms = 0;
    int64_t leader_since_ms = 0; // 0: not the leader
    rk_restores restores{};
    std::map<int64_t, int64_t> reported; // counts by window, in this incarnation
    std::set<int64_t> skipped;
    std::map<int64_t, int64_t> to_rewrite;
};

struct Fleet {
    int64_t now_ms = 1000000;
    int64_t era = 1;
    bool away = false;
    int64_t returns_ms = 0, copy_ms = 0;
    Contents store;
    std::vector<std::pair<int64_t, Contents>> copies; // by time
    std::vector<Process> processes = std::vector<Process>(kProcesses);
    int64_t without_leader_since_ms = 0;
    int incarnations = 0;
    std::map<int64_t, std::set<int64_t>> reports; // counts by window
};

void start(Fleet &f, Process &p, bool first_start)
{
    p = {};
    p.alive = true;
    p.started_ms = f.now_ms;
    p.incarnation = ++f.incarnations;
    rk_restores_init(&p.restores, first_start, kReportDelayMs);
}

void kill(Fleet &f, Process &p, int64_t down_ms)
{
    if (p.leader_since_ms)
        f.without_leader_since_ms = f.now_ms;
    p = {};
    p.starts_ms = f.now_ms + down_ms;
}

// The counts that a process has of a window: no two processes have the same ones.
int64_t own_counts(const Process &p, int64_t window)
{
    return window * 1000 + p.incarnation;
}

void note_era(Fleet &f, Process &p)
{
    if (!rk_restores_note_era(&p.restores, f.era, p.leader_since_ms, f.now_ms))
        return;
    p.to_rewrite = p.reported;
    if (p.leader_since_ms)
        f.without_leader_since_ms = f.now_ms; // a lease ends with its era
    p.leader_since_ms = 0;
}

void report(Fleet &f, Process &p, int64_t window)
{
    if (p.reported.count(window) || p.skipped.count(window))
        return;
    const int64_t end_ms = (window + 1) * kWindowMs;
    if (!rk_restores_may_be_lost(&p.restores, end_ms))
        f.store.counts.emplace(window, own_counts(p, window));
    const auto stored = f.store.counts.find(window);
    if (stored == f.store.counts.end()) {
        p.skipped.insert(window);
        return;
    }
    p.reported[window] = stored->second;
    f.reports[window].insert(stored->second);
}

void report_due_windows(Fleet &f, Process &p)
{
    const int64_t current = f.now_ms / kWindowMs;
    for (int64_t w = current - kRecentWindows; w < current; w++)
        if ((w + 1) * kWindowMs + kReportDelayMs <= f.now_ms)
            report(f, p, w);
}

void read_record(Fleet &f, Process &p)
{
    const rk_restores_record *record = f.store.record ? &*f.store.record : nullptr;
    rk_restores_note_record(&p.restores, record, f.era, f.now_ms);
}

void write_record(Fleet &f, const Process &p)
{
    if (p.restores.record_read)
        f.store.record = rk_restores_record{f.era, p.restores.noticed_ms};
}

// One round of a process that reaches the store. draw: which of its calls are made.
void tick(Fleet &f, Process &p, int draw)
{
    note_era(f, p);
    for (const auto &[window, counts] : p.to_rewrite)
        f.store.counts.emplace(window, counts);
    p.to_rewrite.clear();
    if (!p.restores.record_read && draw & 1)
        read_record(f, p);
    if (p.leader_since_ms && p.restores.record_read && draw & 2)
        report_due_windows(f, p);
    /* Another node acts for a missing leader. */
    if ((p.leader_since_ms || f.without_leader_since_ms) && draw & 4)
        write_record(f, p);
}

void elect(Fleet &f, int first)
{
    if (!f.without_leader_since_ms ||
        f.now_ms - f.without_leader_since_ms < kLeaseMs)
        return;
    for (int i = 0; i < kProcesses; i++) {
        Process &p = f.processes[(first + i) % kProcesses];
        if (!p.alive || p.restores.era != f.era)
            continue;
        p.leader_since_ms = f.now_ms;
        f.without_leader_since_ms = 0;
        return;
    }
}

void start_restore(Fleet &f, int64_t copy_age_ms, int64_t away_ms)
{
    f.away = true;
    f.returns_ms = f.now_ms + away_ms;
    f.copy_ms = f.now_ms - copy_age_ms;
}

void end_restore(Fleet &f)
{
    f.away = false;
    f.era++;
    f.store = {};
    for (const auto &[at_ms, contents] : f.copies)
        if (at_ms <= f.copy_ms)
            f.store = contents;
}

void add_fault(Fleet &f, int kind)
{
    if (kind == 0 && !f.away)
        start_restore(f, *rc::gen::inRange<int64_t>(0, kMaxCopyAgeMs),
                      *rc::gen::inRange<int64_t>(0, kMaxAwayMs));
    if (kind == 1 || kind == 2) {
        const int64_t down_ms = *rc::gen::inRange<int64_t>(0, kMaxDownMs);
        const int victim = *rc::gen::inRange(0, kProcesses);
        for (int i = 0; i < kProcesses; i++)
            if (kind == 1 || i == victim)
                kill(f, f.processes[i], down_ms);
    }
}

void advance(Fleet &f, int draw)
{
    f.now_ms += kTickMs;
    if (f.away && f.now_ms >= f.returns_ms)
        end_restore(f);
    for (Process &p : f.processes)
        if (!p.alive && f.now_ms >= p.starts_ms)
            start(f, p, false);
    if (f.away)
        return;
    for (int i = 0; i < kProcesses; i++)
        if (f.processes[i].alive)
            tick(f, f.processes[i], draw >> (3 * i));
    elect(f, draw % kProcesses);
    f.copies.emplace_back(f.now_ms, f.store);
}

// Guards against a usage window that is reported with two counts: a process that
// started beside a restore could not read the record, took it for absent, and wrote
// the window anew. Windows of calm times must be reported all the same.
void no_window_has_two_counts()
{
    Fleet f;
    for (Process &p : f.processes)
        start(f, p, true);
    f.without_leader_since_ms = f.now_ms;
    const int ticks = *rc::gen::inRange(50, 300);
    for (int i = 0; i < ticks; i++) {
        add_fault(f, *rc::gen::inRange(0, 40));
        advance(f, *rc::gen::inRange(0, 512));
    }
    while (f.away)
        advance(f, *rc::gen::inRange(0, 512));
    for (Process &p : f.processes)
        if (!p.alive)
            start(f, p, false);
    const int64_t settled_ms = f.now_ms;
    for (int64_t ms = 0; ms < kSettledMs; ms += kTickMs)
        advance(f, 511);
    for (const auto &[window, counts] : f.reports)
        RC_ASSERT(counts.size() == 1U);
    const int64_t last = (f.now_ms - kReportDelayMs) / kWindowMs - 2;
    for (int64_t w = settled_ms / kWindowMs + 2; w <= last; w++)
        RC_ASSERT(f.reports.count(w));
}

// Guards against windows that are skipped although no restore can have lost their
// counts: by the only leader that lived through it, and by a process that read the
// record of a store that was never restored, or has none. A window that ended just
// before the restore was noticed has not been reported.
void windows_are_skipped_only_after_a_restore()
{
    const int64_t now = 100000, since = *rc::gen::inRange<int64_t>(1, now);
    const int64_t delay = *rc::gen::inRange<int64_t>(0, 2000);
    struct rk_restores leader, restarted, late;
    rk_restores_init(&leader, true, 0);
    RC_ASSERT(!rk_restores_note_era(&leader, 1, 0, now));
    RC_ASSERT(rk_restores_note_era(&leader, 2, since, now));
    RC_ASSERT(!rk_restores_note_era(&leader, 2, 0, now + 1));
    RC_ASSERT(!rk_restores_may_be_lost(&leader, since));
    RC_ASSERT(rk_restores_may_be_lost(&leader, since - 1));
    const struct rk_restores_record record = {2, leader.noticed_ms};
    rk_restores_init(&restarted, false, delay);
    rk_restores_note_record(&restarted, &record, 2, now + 5000);
    RC_ASSERT(rk_restores_may_be_lost(&restarted, now - delay - 1));
    RC_ASSERT(!rk_restores_may_be_lost(&restarted, now - delay));
    for (int64_t era = 0; era <= 1; era++) {
        const struct rk_restores_record of_era = {era, 0};
        rk_restores_init(&late, false, 0);
        rk_restores_note_record(&late, &of_era, 1, now);
        RC_ASSERT(!rk_restores_may_be_lost(&late, now - 1));
        rk_restores_init(&late, false, 0);
        rk_restores_note_record(&late, nullptr, era, now);
        RC_ASSERT(late.record_read && !rk_restores_may_be_lost(&late, now - 1));
    }
}

} // namespace

int main()
{
    static const Property properties[] = {
        {"no_window_has_two_counts", no_window_has_two_counts},
        {"windows_are_skipped_only_after_a_restore",
         windows_are_skipped_only_after_a_restore},
    };
    return run_properties(properties);
}
