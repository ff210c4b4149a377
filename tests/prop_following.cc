// News of the store in one failure domain that hears no other, while its nodes are
// killed, frozen and turned away by the store in any order: as long as some node
// could follow the store, each node that runs hears of news within a bound.
//
// The model, in steps of 50 ms: a node hears who is alive 900 ms late; the two
// first that it takes for alive bridge the domain; nodes tell bridges, and bridges
// all, four times a second, how old what they know is, and whether they hear the
// store. A watch that stands brings news at once, and says that there are none when
// it ends.
#include "tests/props.h"

#include <vector>

extern "C" {
#include "core/following.h"
}

namespace {

constexpr int64_t STEP_MS = 50;
constexpr int64_t HEARD_MS = 900; // a node silent for longer is not heard
constexpr int64_t TELL_MS = 250;
constexpr int64_t MEMBERS_MS = 1000; // between words on what others told
constexpr int64_t RETRY_MS = 500;    // of a node that the store turned away
constexpr int64_t LET_GO_MS =
    4500; // a watch, its word, and what it took to miss it
constexpr int64_t EVENTS_END_MS = 12000;
constexpr int64_t END_MS = 20000;
constexpr int BRIDGES = 2;
constexpr int NODES_MAX = 9;

struct Node {
    bool alive = true, refused = false;
    int64_t frozen_until = 0;
    int64_t began_ms = 0;     // this life
    int64_t confirmed_ms = 0; // what it knows was the newest then
    int64_t watch_ms = -1;    // its watch stands since; -1: none does
    int64_t retry_ms = 0;
    bool follows = false;
    std::vector<int64_t> heard_ms;
    std::vector<bool>
        told_hears;           // who told, or was told of, that it hears the store
    int64_t answered_ms = -1; // by the store, last
    int64_t news_ms = 0;      // news could last reach it then
    int64_t able_ms = 0;      // it could follow ever since
    int64_t usable_ms = 0;    // it runs ever since
};

struct Domain {
    std::vector<Node> nodes;
    int64_t now_ms = 0;

    bool runs(size_t i) const
    {
        return nodes[i].alive && now_ms >= nodes[i].frozen_until;
    }
    bool able(size_t i) const
    {
        return runs(i) && !nodes[i].refused;
    }
    bool hears(size_t i, size_t j) const
    {
        return i == j || now_ms - nodes[i].heard_ms[j] < HEARD_MS;
    }
    bool hears_store(size_t i) const
    {
        const Node &n = nodes[i];
        return n.follows && !n.refused && n.answered_ms >= 0 &&
               now_ms - n.answered_ms < RK_FOLLOWING_STALE_MS;
    }
    bool served(size_t i) const
    {
        for (size_t j = 0; j < i; j++)
            if (hears(i, j) && nodes[i].told_hears[j])
                return true;
        return false;
    }
    int before(size_t i) const
    {
        int count = 0;
        for (size_t j = 0; j < i; j++)
            count += hears(i, j);
        return count;
    }
    bool bridges(size_t i) const
    {
        return before(i) < BRIDGES;
    }
};

Domain domain_of(size_t len)
{
    Domain d;
    d.nodes.resize(len);
    for (Node &n : d.nodes) {
        n.heard_ms.assign(len, 0);
        n.told_hears.assign(len, false);
    }
    return d;
}

Domain any_domain()
{
    return domain_of(*rc::gen::inRange<size_t>(2, NODES_MAX + 1));
}

void start(Domain *d, Node *n)
{
    const Node old = *n;
    *n = Node();
    n->refused = old.refused;
    n->began_ms = n->news_ms = n->able_ms = n->usable_ms = d->now_ms;
    n->confirmed_ms = -1; // nothing, until a peer or the store tells it
    n->heard_ms.assign(d->nodes.size(), d->now_ms);
    n->told_hears.assign(d->nodes.size(), false);
}

void trouble(Domain *d)
{
    Node &n = d->nodes[*rc::gen::inRange<size_t>(0, d->nodes.size())];
    switch (*rc::gen::inRange(0, 5)) {
    case 0:
        n.alive = false;
        n.watch_ms = -1;
        break;
    case 1:
        if (!n.alive)
            start(d, &n);
        break;
    case 2:
        n.refused = true;
        n.watch_ms = -1;
        break;
    case 3:
        n.refused = false;
        break;
    case 4:
        n.frozen_until = d->now_ms + *rc::gen::inRange(100, 4000);
        break;
    }
}

void tell(Domain *d, size_t from, size_t to)
{
    Node &n = d->nodes[to];
    n.heard_ms[from] = d->now_ms;
    n.told_hears[from] = d->hears_store(from);
    for (size_t k = 0; d->now_ms % MEMBERS_MS == 0 && k < d->nodes.size(); k++)
        if (d->bridges(from) && k != from && k != to)
            n.told_hears[k] = d->nodes[from].told_hears[k];
    if (d->nodes[from].confirmed_ms > n.confirmed_ms)
        n.confirmed_ms = d->nodes[from].confirmed_ms;
}

void tell_all(Domain *d)
{
    for (size_t i = 0; i < d->nodes.size(); i++)
        for (size_t j = 0; j < d->nodes.size(); j++)
            if (i != j && d->runs(i) && d->runs(j) &&
                (d->bridges(i) || !d->hears(i, j) || d->bridges(j)))
                tell(d, i, j);
}

void decide(Domain *d, size_t i)
{
    Node &n = d->nodes[i];
    rk_following f = {};
    f.up_ms = d->now_ms - n.began_ms;
    f.listed = true;
    f.ready = n.confirmed_ms >= 0;
    const int before = d->before(i);
    f.before = before ? before : -1;
    f.age_ms = f.ready ? d->now_ms - n.confirmed_ms : -1;
    f.served = d->served(i);
    f.follows = n.follows;
    n.follows = rk_following_should(&f);
}

void watch(Domain *d, size_t i)
{
    Node &n = d->nodes[i];
    if (n.watch_ms >= 0 && d->now_ms - n.watch_ms >= RK_FOLLOWING_WATCH_MS) {
        n.answered_ms = n.confirmed_ms =
            d->now_ms; // the answer says that there is nothing new
        n.watch_ms = -1;
    }
    if (n.watch_ms >= 0 || !n.follows || d->now_ms < n.retry_ms)
        return;
    if (d->able(i))
        n.watch_ms = d->now_ms;
    else
        n.retry_ms = d->now_ms + RETRY_MS;
}

// Whom news reach now: who watches, and all by way of a bridge.
void spread(Domain *d)
{
    bool watched = false, bridged = false;
    for (size_t i = 0; i < d->nodes.size(); i++) {
        if (!d->runs(i))
            continue;
        watched = watched || d->nodes[i].watch_ms >= 0;
        bridged = bridged || d->bridges(i);
    }
    for (size_t i = 0; i < d->nodes.size(); i++) {
        Node &n = d->nodes[i];
        if (!d->runs(i))
            n.usable_ms = n.news_ms = d->now_ms;
        if (!d->able(i))
            n.able_ms = d->now_ms;
        if (n.watch_ms >= 0 || (watched && bridged))
            n.news_ms = d->now_ms;
    }
}

// All that happens in one step.
void step(Domain *d)
{
    if (d->now_ms % TELL_MS == 0)
        tell_all(d);
    for (size_t i = 0; i < d->nodes.size(); i++) {
        if (!d->runs(i))
            continue;
        if (d->now_ms % RK_FOLLOWING_TICK_MS == 0)
            decide(d, i);
        watch(d, i);
    }
    spread(d);
}

// The bound, if the node with `before` nodes in front of it is the first that can
// follow the store: the age at which it does, decided once in a tick, tried again
// once it was turned away; bridges that are gone are noticed first.
int64_t bound_ms(size_t before)
{
    return RK_FOLLOWING_STALE_MS +
           static_cast<int64_t>(before) * RK_FOLLOWING_STAGGER_MS +
           RK_FOLLOWING_TICK_MS + RETRY_MS + TELL_MS + HEARD_MS;
}

void check(const Domain &d)
{
    size_t first = 0;
    while (first < d.nodes.size() &&
           d.now_ms - d.nodes[first].able_ms < bound_ms(first))
        first++;
    if (first == d.nodes.size())
        return;
    for (const Node &n : d.nodes)
        RC_ASSERT(d.now_ms - n.news_ms <= bound_ms(first));
}

// Once the first node follows again, the others let go: they follow for as long as
// they have to, not for good.
void check_the_others_let_go(const Domain &d)
{
    if (d.now_ms - d.nodes[0].able_ms < LET_GO_MS)
        return;
    for (size_t i = 1; i < d.nodes.size(); i++)
        if (d.now_ms - d.nodes[i].usable_ms >= LET_GO_MS)
            RC_ASSERT(!d.nodes[i].follows);
}

void news_reach_all_in_time()
{
    Domain d = any_domain();
    int64_t next_ms = *rc::gen::inRange(0, 2000);
    for (; d.now_ms < END_MS; d.now_ms += STEP_MS) {
        if (d.now_ms >= next_ms && d.now_ms < EVENTS_END_MS) {
            trouble(&d);
            next_ms = d.now_ms + *rc::gen::inRange(50, 1500);
        }
        step(&d);
        check(d);
        check_the_others_let_go(d);
    }
}

// In a domain where nothing happens one node follows the store.
void one_follows_in_quiet()
{
    Domain d = any_domain();
    for (; d.now_ms < END_MS; d.now_ms += STEP_MS) {
        step(&d);
        for (size_t i = 0; i < d.nodes.size(); i++)
            RC_ASSERT(d.nodes[i].follows == (i == 0));
    }
}

// Seen: for 3.7 s nobody of a domain followed the store, and a vm that had said
// that it leaves got calls for 0.3 s longer than it may.
//
// How it came about: the store turned the first nodes of the domain away. Cause: a
// node that followed because it was told nothing stopped as soon as the store had
// answered it, as what it knew was new then; 2.2 s later it began again. Proof: of
// the time after the first 5 s here 0.44 brought no news.
void news_flow_while_the_first_are_turned_away()
{
    Domain d = domain_of(NODES_MAX);
    d.nodes[0].refused = d.nodes[1].refused = true;
    int64_t deaf_ms = 0, counted_ms = 0;
    for (; d.now_ms < 60000; d.now_ms += STEP_MS) {
        step(&d);
        if (d.now_ms < 5000)
            continue;
        counted_ms += STEP_MS;
        deaf_ms += d.nodes[8].news_ms == d.now_ms ? 0 : STEP_MS;
    }
    RC_ASSERT(deaf_ms * 100 < counted_ms);
}

} // namespace

int main()
{
    const Property properties[] = {
        {"news_reach_all_in_time", news_reach_all_in_time},
        {"one_follows_in_quiet", one_follows_in_quiet},
        {"news_flow_while_the_first_are_turned_away",
         news_flow_while_the_first_are_turned_away},
    };
    return run_properties(properties);
}
