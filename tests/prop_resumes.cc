// Streams that are taken up at any node while versions join and leave, and while
// nodes are frozen, cut off or killed in any order, with lists of VMs that arrive
// late: no stream goes on at another version than the one that began it, and most
// go on.
//
// The model, in steps of 20 ms: nodes have known one version for long. A node takes
// a peer for alive until 900 ms after its last report, of which there are four a
// second. It hears of a change of the list after a delay of its own; a node that
// was out of step hears of all that it has missed at once. What it is told while it
// is frozen waits; what is sent to a node that is cut off or has ended is lost.
#include "tests/props.h"

#include <random>
#include <string>
#include <vector>

extern "C" {
#include "core/stream_versions.h"
}

namespace {

constexpr int64_t STEP_MS = 20;
constexpr int64_t REACHABLE_MS = 900; // after a node's last report
constexpr int64_t REPORT_MS = 240;
constexpr int64_t TELL_MS = 200;     // between rounds of streams that are pending
constexpr int64_t CONFIRM_MS = 1000; // between answers of the store
constexpr int64_t LIFETIME_MS = 20000;
constexpr int64_t END_MS = 8000;
constexpr int64_t LIST_DELAY_MAX_MS = 300;
constexpr int NODES_MIN = 2, NODES_MAX = 9, DOMAINS_MAX = 3;
constexpr size_t TAKEN_UP_MAX = 12; // of the newest streams, each second

const char *const SERVICE = "llm";

struct Change {
    int64_t at_ms;
    std::string version;
    bool joins;
};

struct Stream {
    uint64_t hash;
    std::string version;
    size_t origin;
};

struct Told {
    uint64_t stream;
    std::string version;
};

struct Node {
    struct rk_stream_versions table = {};
    std::string id;
    uint64_t hash = 0, domain = 0;
    bool alive = true;
    int64_t frozen_until_ms = 0, cut_until_ms = 0;
    int64_t list_delay_ms = 0;
    size_t changes_known = 0;
    std::vector<std::string> listed;
    std::vector<int64_t> heard_ms; // from each node
    std::vector<Told> waiting;     // told while it was frozen
};

struct Counts {
    int taken_up = 0, went_on = 0, joined = 0;
};

class Fleet {
  public:
    explicit Fleet(uint32_t seed) : rng(seed)
    {
        nodes.resize(static_cast<size_t>(random(NODES_MIN, NODES_MAX)));
        int domains = random(1, DOMAINS_MAX);
        for (size_t i = 0; i < nodes.size(); i++)
            init(i, domains);
        changes.push_back({0, "v1", true});
        for (Node &n : nodes)
            apply_changes(n, true);
    }
    ~Fleet()
    {
        for (Node &n : nodes)
            rk_stream_versions_free(&n.table);
    }
    Fleet(const Fleet &) = delete;
    Fleet &operator=(const Fleet &) = delete;

    Counts run()
    {
        for (now_ms = STEP_MS; now_ms < END_MS; now_ms += STEP_MS) {
            change_versions();
            disturb();
            for (size_t i = 0; i < nodes.size(); i++)
                step(i);
            begin_stream();
            if (random(0, 9) == 0)
                take_up_newest();
        }
        return counts;
    }

  private:
    int random(int low, int high)
    {
        return std::uniform_int_distribution<int>(low, high)(rng);
    }

    void init(size_t i, int domains)
    {
        Node &n = nodes[i];
        n.id = "node-" + std::to_string(i);
        n.hash = rk_hash_str(0, n.id.c_str());
        n.domain = 1 + i % static_cast<size_t>(domains);
        n.list_delay_ms = random(0, LIST_DELAY_MAX_MS);
        n.heard_ms.assign(nodes.size(), 0);
        rk_stream_versions_init(&n.table, 0, true);
        rk_stream_versions_set_lifetime(&n.table, LIFETIME_MS);
    }

    bool is_running(const Node &n) const
    {
        return n.alive && now_ms >= n.frozen_until_ms;
    }
    bool is_in_touch(const Node &n) const
    {
        return is_running(n) && now_ms >= n.cut_until_ms;
    }
    bool hears(const Node &n, size_t peer) const
    {
        return now_ms - n.heard_ms[peer] < REACHABLE_MS;
    }

    // ---- versions ----

    void change_versions()
    {
        static const char *const VERSIONS[] = {"v1", "v2", "v3"};
        if (random(0, 99) > 1)
            return;
        std::string version = VERSIONS[random(0, 2)];
        bool listed = false;
        int others = 0;
        for (const std::string &v : newest_list()) {
            listed = listed || v == version;
            others += v != version;
        }
        if (!listed || others)
            changes.push_back({now_ms, version, !listed});
    }

    std::vector<std::string> newest_list() const
    {
        std::vector<std::string> list;
        for (const Change &c : changes)
            apply(list, c);
        return list;
    }

    static void apply(std::vector<std::string> &list, const Change &c)
    {
        for (size_t i = 0; i < list.size(); i++)
            if (list[i] == c.version)
                list.erase(list.begin() + static_cast<ptrdiff_t>(i));
        if (c.joins)
            list.push_back(c.version);
    }

    // Applies what the store has; all: also what it would hear of later.
    void apply_changes(Node &n, bool all)
    {
        bool changed = false;
        while (n.changes_known < changes.size()) {
            const Change &c = changes[n.changes_known];
            if (!all && c.at_ms + n.list_delay_ms > now_ms)
                break;
            apply(n.listed, c);
            if (!c.joins)
                rk_stream_versions_note_past(&n.table, SERVICE, c.version.c_str(),
                                             now_ms);
            n.changes_known++;
            changed = true;
        }
        if (!changed)
            return;
        rk_stream_versions_begin_list(&n.table);
        for (const std::string &v : n.listed)
            rk_stream_versions_note_listed(&n.table, SERVICE, v.c_str());
        rk_stream_versions_end_list(&n.table, now_ms);
    }

    // ---- nodes ----

    void disturb()
    {
        if (random(0, 99) > 3)
            return;
        Node &n = nodes[static_cast<size_t>(random(0, (int)nodes.size() - 1))];
        int64_t until_ms = now_ms + random(100, 3000);
        switch (random(0, 3)) {
        case 0:
            n.frozen_until_ms = until_ms;
            break;
        case 1:
            n.cut_until_ms = until_ms;
            break;
        case 2:
            end(n);
            break;
        default: // several at once, right after one is back
            for (Node &k : nodes)
                if (&k != &n && random(0, 1))
                    end(k);
            n.frozen_until_ms = n.cut_until_ms = 0;
            break;
        }
    }

    void end(Node &n)
    {
        int running = 0;
        for (const Node &k : nodes)
            running += k.alive;
        if (running > 1)
            n.alive = false;
    }

    void step(size_t i)
    {
        Node &n = nodes[i];
        if (!is_running(n))
            return;
        for (const Told &t : n.waiting)
            rk_stream_versions_note(&n.table, t.stream, nullptr, t.version.c_str(),
                                    LIFETIME_MS, now_ms);
        n.waiting.clear();
        if (now_ms % REPORT_MS == 0)
            report(i);
        if (is_in_touch(n))
            apply_changes(n, false);
        if (is_in_touch(n) && now_ms % CONFIRM_MS == 0)
            rk_stream_versions_confirm_list(&n.table, now_ms - STEP_MS);
        if (now_ms % TELL_MS == 0)
            tell_pending(n);
    }

    void report(size_t i)
    {
        if (!is_in_touch(nodes[i]))
            return;
        for (Node &k : nodes)
            if (is_in_touch(k))
                k.heard_ms[i] = now_ms;
    }

    std::vector<struct rk_stream_peer> peers_of(const Node &n) const
    {
        std::vector<struct rk_stream_peer> peers;
        for (size_t i = 0; i < nodes.size(); i++) {
            if (&nodes[i] == &n || !hears(n, i))
                continue;
            struct rk_stream_peer p = {};
            p.hash = nodes[i].hash;
            p.domain_hash = nodes[i].domain;
            peers.push_back(p);
        }
        return peers;
    }

    Node &node_of(const struct rk_stream_peer *peer)
    {
        for (Node &n : nodes)
            if (n.hash == peer->hash)
                return n;
        abort();
    }

    // ---- streams ----

    void tell(Node &n, struct rk_stream_version *row)
    {
        std::vector<struct rk_stream_peer> peers = peers_of(n);
        const struct rk_stream_peer *holders[RK_STREAM_HOLDERS];
        size_t len = rk_stream_holders(peers.data(), peers.size(), row->stream,
                                       n.domain, holders);
        row->is_told = len > 0;
        for (size_t i = 0; i < len; i++) {
            Node &k = node_of(holders[i]);
            if (!k.alive || now_ms < k.cut_until_ms || now_ms < n.cut_until_ms)
                continue;
            if (is_running(k))
                rk_stream_versions_note(&k.table, row->stream, nullptr,
                                        row->version, LIFETIME_MS, now_ms);
            else
                k.waiting.push_back({row->stream, row->version});
        }
    }

    void tell_pending(Node &n)
    {
        size_t at = 0;
        while (struct rk_stream_version *row =
                   rk_stream_versions_next_pending(&n.table, &at, now_ms)) {
            tell(n, row);
            if (!row->is_told)
                break;
        }
    }

    enum rk_service_versions state_of(Node &n)
    {
        const char *only;
        return rk_stream_versions_of_service(&n.table, SERVICE, &only, now_ms);
    }

    // Begins a stream at a version that its node has on its list.
    void begin_stream()
    {
        size_t i = static_cast<size_t>(random(0, (int)nodes.size() - 1));
        Node &n = nodes[i];
        if (!is_running(n) || n.listed.empty())
            return;
        std::string version =
            n.listed[static_cast<size_t>(random(0, (int)n.listed.size() - 1))];
        uint64_t hash =
            rk_stream_hash("", SERVICE, std::to_string(streams.size()).c_str());
        struct rk_stream_version *row = rk_stream_versions_note(
            &n.table, hash, SERVICE, version.c_str(), LIFETIME_MS, now_ms);
        if (state_of(n) != RK_VERSIONS_ONE)
            tell(n, row);
        streams.push_back({hash, version, i});
    }

    void take_up_newest()
    {
        size_t first =
            streams.size() > TAKEN_UP_MAX ? streams.size() - TAKEN_UP_MAX : 0;
        for (size_t s = first; s < streams.size(); s++) {
            Node &n = nodes[static_cast<size_t>(random(0, (int)nodes.size() - 1))];
            if (!is_running(n) || nodes[streams[s].origin].alive)
                continue;
            std::string version = take_up(n, streams[s].hash);
            counts.taken_up++;
            counts.went_on += !version.empty();
            counts.joined += !version.empty() && version != streams[s].version;
        }
    }

    // Returns the version at which a stream goes on; "": it is rejected.
    std::string take_up(Node &n, uint64_t stream)
    {
        struct rk_stream_version *known =
            rk_stream_versions_find(&n.table, stream, now_ms);
        if (known)
            return known->version;
        struct rk_stream_inquiry q = {};
        q.arrived_ms = now_ms;
        std::vector<struct rk_stream_peer> peers = peers_of(n);
        const struct rk_stream_peer *asked[RK_STREAM_ASKED_MAX];
        size_t len =
            rk_stream_peers_to_ask(peers.data(), peers.size(), stream, asked);
        for (size_t i = 0; i < len; i++) {
            std::string version = ask(n, node_of(asked[i]), stream, &q);
            if (!version.empty())
                return version;
        }
        return decide(n, &q);
    }

    std::string ask(const Node &n, Node &peer, uint64_t stream,
                    struct rk_stream_inquiry *q)
    {
        if (!is_in_touch(peer) || now_ms < n.cut_until_ms)
            return "";
        struct rk_stream_version *known =
            rk_stream_versions_find(&peer.table, stream, now_ms);
        if (known)
            return known->version;
        const char *only;
        enum rk_service_versions state =
            rk_stream_versions_of_service(&peer.table, SERVICE, &only, now_ms);
        q->saw_several = q->saw_several || state == RK_VERSIONS_SEVERAL;
        if (state == RK_VERSIONS_ONE)
            rk_strcpy(q->only, sizeof(q->only), only);
        return "";
    }

    std::string decide(Node &n, const struct rk_stream_inquiry *q)
    {
        const char *only;
        enum rk_stream_verdict verdict =
            rk_stream_versions_judge(&n.table, SERVICE, q, &only, now_ms);
        if (verdict == RK_STREAM_UNCHECKED && now_ms >= n.cut_until_ms) {
            apply_changes(n, true);
            rk_stream_versions_note_checked(&n.table, now_ms);
            verdict = rk_stream_versions_judge(&n.table, SERVICE, q, &only, now_ms);
        }
        return verdict == RK_STREAM_GOES_ON ? only : "";
    }

    std::mt19937 rng;
    std::vector<Node> nodes;
    std::vector<Change> changes;
    std::vector<Stream> streams;
    Counts counts;
    int64_t now_ms = 0;
};

// Guards against streams that go on at another version because a node was out of
// step while that version joined, and takes what it has not heard for what has not
// been.
void no_stream_is_joined_of_two_versions()
{
    uint32_t seed = *rc::gen::arbitrary<uint32_t>();
    Counts counts = Fleet(seed).run();
    RC_LOG() << counts.joined << " joined, " << counts.went_on << " of "
             << counts.taken_up << " went on, seed " << seed;
    RC_ASSERT(counts.joined == 0);
}

const Property properties[] = {
    {"prop_resumes.no_stream_is_joined_of_two_versions",
     no_stream_is_joined_of_two_versions},
};

} // namespace

int main()
{
    return run_properties(properties);
}
