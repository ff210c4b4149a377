// Updates from the store in one failure domain that is cut off from all others,
// while its nodes are killed, frozen and refused by the store in any order: as long
// as some node could watch the store, updates reach each running node within a
// bound.
//
// The model, in steps of 50 ms: a node takes others for alive until 900 ms after
// their last report; the first two that it takes for alive are the domain's
// bridges. Four times a second nodes report to bridges, and bridges to all, how old
// their data is and whether they reach the store. An open watch delivers updates at
// once, and its end confirms that there were none.
#include "tests/props.h"

#include <vector>

extern "C" {
#include "core/watch_policy.h"
}

namespace {

constexpr int64_t STEP_MS = 50;
constexpr int64_t REACHABLE_MS = 900; // after a node's last report
constexpr int64_t REPORT_MS = 250;
constexpr int64_t MEMBERS_MS = 1000; // between reports that include other nodes
constexpr int64_t RETRY_MS = 500;    // of a node that the store refused
// Time in which nodes stop watching: a watch, the report of its end, and the delay
// after which the missing watch was noticed.
constexpr int64_t STOP_MS = 4500;
constexpr int64_t FAULTS_END_MS = 12000;
constexpr int64_t END_MS = 20000;
constexpr int BRIDGES = 2;
constexpr int NODES_MAX = 9;

struct Node {
    bool alive = true, store_refuses = false;
    int64_t frozen_until_ms = 0;
    int64_t started_ms = 0;
    int64_t confirmed_ms = 0;     // its data was up to date then; -1: no data
    int64_t watch_opened_ms = -1; // -1: no watch is open
    int64_t retry_ms = 0;
    bool watches = false;
    std::vector<int64_t> last_report_ms;
    std::vector<bool> reported_reachable; // nodes that reach the store
    int64_t store_answered_ms = -1;       // last time; -1: never
    int64_t update_ms = 0;                // last time an update could reach it
    int64_t can_watch_since_ms = 0;
    int64_t running_since_ms = 0;
};

// The nodes of the domain; nodes with lower indexes come first as bridges and
// watchers.
struct Domain {
    std::vector<Node> nodes;
    int64_t now_ms = 0;

    bool is_running(size_t i) const
    {
        return nodes[i].alive && now_ms >= nodes[i].frozen_until_ms;
    }
    bool can_watch(size_t i) const
    {
        return is_running(i) && !nodes[i].store_refuses;
    }
    bool receives_from(size_t i, size_t j) const
    {
        return i == j || now_ms - nodes[i].last_report_ms[j] < REACHABLE_MS;
    }
    bool store_reachable(size_t i) const
    {
        const Node &n = nodes[i];
        return n.watches && !n.store_refuses && n.store_answered_ms >= 0 &&
               now_ms - n.store_answered_ms < RK_WATCH_POLICY_STALE_MS;
    }
    bool has_preceding_watch(size_t i) const
    {
        for (size_t j = 0; j < i; j++)
            if (receives_from(i, j) && nodes[i].reported_reachable[j])
                return true;
        return false;
    }
    int nodes_before(size_t i) const
    {
        int count = 0;
        for (size_t j = 0; j < i; j++)
            count += receives_from(i, j);
        return count;
    }
    bool is_bridge(size_t i) const
    {
        return nodes_before(i) < BRIDGES;
    }
};

Domain domain_of(size_t len)
{
    Domain d;
    d.nodes.resize(len);
    for (Node &n : d.nodes) {
        n.last_report_ms.assign(len, 0);
        n.reported_reachable.assign(len, false);
    }
    return d;
}

Domain any_domain()
{
    return domain_of(*rc::gen::inRange<size_t>(2, NODES_MAX + 1));
}

void start_node(Domain *d, Node *n)
{
    const Node old = *n;
    *n = Node();
    n->store_refuses = old.store_refuses;
    n->started_ms = n->update_ms = n->can_watch_since_ms = n->running_since_ms =
        d->now_ms;
    n->confirmed_ms = -1; // until a peer or the store sends it data
    n->last_report_ms.assign(d->nodes.size(), d->now_ms);
    n->reported_reachable.assign(d->nodes.size(), false);
}

// Kills, starts or freezes a node, or makes the store refuse it or accept it again.
void inject_fault(Domain *d)
{
    Node &n = d->nodes[*rc::gen::inRange<size_t>(0, d->nodes.size())];
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        n.alive = false;
        n.watch_opened_ms = -1;
        break;
    case 1:
        if (!n.alive)
            start_node(d, &n);
        break;
    case 2:
        n.store_refuses = true;
        n.watch_opened_ms = -1;
        break;
    case 3:
        n.store_refuses = false;
        break;
    case 4:
        n.frozen_until_ms = d->now_ms + *rc::gen::inRange(100, 4000);
        break;
    }
}

// Delivers one report; a bridge's includes other nodes once in MEMBERS_MS.
void send_report(Domain *d, size_t from, size_t to)
{
    Node &n = d->nodes[to];
    n.last_report_ms[from] = d->now_ms;
    n.reported_reachable[from] = d->store_reachable(from);
    for (size_t k = 0; d->now_ms % MEMBERS_MS == 0 && k < d->nodes.size(); k++)
        if (d->is_bridge(from) && k != from && k != to)
            n.reported_reachable[k] = d->nodes[from].reported_reachable[k];
    if (d->nodes[from].confirmed_ms > n.confirmed_ms)
        n.confirmed_ms = d->nodes[from].confirmed_ms;
}

void send_reports(Domain *d)
{
    for (size_t i = 0; i < d->nodes.size(); i++)
        for (size_t j = 0; j < d->nodes.size(); j++)
            if (i != j && d->is_running(i) && d->is_running(j) &&
                (d->is_bridge(i) || !d->receives_from(i, j) || d->is_bridge(j)))
                send_report(d, i, j);
}

// Asks the policy under test whether a node should watch.
void decide_watch(Domain *d, size_t i)
{
    Node &n = d->nodes[i];
    rk_watch_policy_input f = {};
    f.up_ms = d->now_ms - n.started_ms;
    f.listed = true;
    f.ready = n.confirmed_ms >= 0;
    const int nodes_before = d->nodes_before(i);
    f.nodes_before = nodes_before ? nodes_before : -1;
    f.age_ms = f.ready ? d->now_ms - n.confirmed_ms : -1;
    f.has_preceding_watch = d->has_preceding_watch(i);
    f.watches = n.watches;
    n.watches = rk_watch_policy_is_needed(&f);
}

// Ends a node's watch when its time is over, and opens one if the node should
// watch.
void run_watch(Domain *d, size_t i)
{
    Node &n = d->nodes[i];
    if (n.watch_opened_ms >= 0 &&
        d->now_ms - n.watch_opened_ms >= RK_WATCH_POLICY_TIMEOUT_MS) {
        // An answer without updates confirms the data.
        n.store_answered_ms = n.confirmed_ms = d->now_ms;
        n.watch_opened_ms = -1;
    }
    if (n.watch_opened_ms >= 0 || !n.watches || d->now_ms < n.retry_ms)
        return;
    if (d->can_watch(i))
        n.watch_opened_ms = d->now_ms;
    else
        n.retry_ms = d->now_ms + RETRY_MS;
}

// Records which nodes an update would reach now: those that watch, and all others
// if a node watches and a bridge runs.
void record_updates(Domain *d)
{
    bool watched = false, bridged = false;
    for (size_t i = 0; i < d->nodes.size(); i++) {
        if (!d->is_running(i))
            continue;
        watched = watched || d->nodes[i].watch_opened_ms >= 0;
        bridged = bridged || d->is_bridge(i);
    }
    for (size_t i = 0; i < d->nodes.size(); i++) {
        Node &n = d->nodes[i];
        if (!d->is_running(i))
            n.running_since_ms = n.update_ms = d->now_ms;
        if (!d->can_watch(i))
            n.can_watch_since_ms = d->now_ms;
        if (n.watch_opened_ms >= 0 || (watched && bridged))
            n.update_ms = d->now_ms;
    }
}

// Simulates one step of STEP_MS.
void step(Domain *d)
{
    if (d->now_ms % REPORT_MS == 0)
        send_reports(d);
    for (size_t i = 0; i < d->nodes.size(); i++) {
        if (!d->is_running(i))
            continue;
        if (d->now_ms % RK_WATCH_POLICY_CHECK_MS == 0)
            decide_watch(d, i);
        run_watch(d, i);
    }
    record_updates(d);
}

// The bound on the age of data, if `nodes_before` nodes come before the first one
// that can watch: the age at which that node begins, plus one decision tick, one
// retry after a refusal, one report, and the time to notice that bridges are gone.
int64_t bound_ms(size_t nodes_before)
{
    return RK_WATCH_POLICY_STALE_MS +
           static_cast<int64_t>(nodes_before) * RK_WATCH_POLICY_STAGGER_MS +
           RK_WATCH_POLICY_CHECK_MS + RETRY_MS + REPORT_MS + REACHABLE_MS;
}

// Checks the bound for all nodes, once some node was able to watch for that long.
void check_bound(const Domain &d)
{
    size_t first = 0;
    while (first < d.nodes.size() &&
           d.now_ms - d.nodes[first].can_watch_since_ms < bound_ms(first))
        first++;
    if (first == d.nodes.size())
        return;
    for (const Node &n : d.nodes)
        RC_ASSERT(d.now_ms - n.update_ms <= bound_ms(first));
}

// Once the first node can watch again, the others stop: they watch only as long as
// they have to.
void check_others_stop(const Domain &d)
{
    if (d.now_ms - d.nodes[0].can_watch_since_ms < STOP_MS)
        return;
    for (size_t i = 1; i < d.nodes.size(); i++)
        if (d.now_ms - d.nodes[i].running_since_ms >= STOP_MS)
            RC_ASSERT(!d.nodes[i].watches);
}

// Guards against a domain in which no node watches the store although one could,
// and against nodes that keep watching when they no longer need to.
void updates_reach_all_nodes_in_time()
{
    Domain d = any_domain();
    int64_t next_fault_ms = *rc::gen::inRange(0, 2000);
    for (; d.now_ms < END_MS; d.now_ms += STEP_MS) {
        if (d.now_ms >= next_fault_ms && d.now_ms < FAULTS_END_MS) {
            inject_fault(&d);
            next_fault_ms = d.now_ms + *rc::gen::inRange(50, 1500);
        }
        step(&d);
        check_bound(d);
        check_others_stop(d);
    }
}

// Guards against needless load on the store: without faults only the first node of
// a domain watches it.
void only_one_node_watches_without_faults()
{
    Domain d = any_domain();
    for (; d.now_ms < END_MS; d.now_ms += STEP_MS) {
        step(&d);
        for (size_t i = 0; i < d.nodes.size(); i++)
            RC_ASSERT(d.nodes[i].watches == (i == 0));
    }
}

// Guards against gaps between watches when the store refuses the first nodes of a
// domain. A node that watched for want of reports stopped as soon as the store had
// answered, because its data was fresh then, and began again only 2.2 s later. In a
// fleet no node of a domain watched for 3.7 s, and a VM that had announced its
// leave got calls for 0.3 s longer than allowed; here no update could arrive for
// 0.44 of the time after the first 5 s.
void updates_arrive_while_the_first_nodes_are_refused()
{
    Domain d = domain_of(NODES_MAX);
    d.nodes[0].store_refuses = d.nodes[1].store_refuses = true;
    int64_t without_updates_ms = 0, counted_ms = 0;
    for (; d.now_ms < 60000; d.now_ms += STEP_MS) {
        step(&d);
        if (d.now_ms < 5000)
            continue;
        counted_ms += STEP_MS;
        without_updates_ms += d.nodes[8].update_ms == d.now_ms ? 0 : STEP_MS;
    }
    RC_ASSERT(without_updates_ms * 100 < counted_ms);
}

} // namespace

int main()
{
    const Property properties[] = {
        {"updates_reach_all_nodes_in_time", updates_reach_all_nodes_in_time},
        {"only_one_node_watches_without_faults",
         only_one_node_watches_without_faults},
        {"updates_arrive_while_the_first_nodes_are_refused",
         updates_arrive_while_the_first_nodes_are_refused},
    };
    return run_properties(properties);
}
