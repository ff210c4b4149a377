// Properties of verdicts, token streams, the member table, settings changes, leases
// and fair queueing, each with rows, tokens, changes or requests in random order.
#include "tests/props.h"

#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/fair_queue.h"
#include "core/changelog.h"
#include "core/lease.h"
#include "core/revision.h"
#include "core/members.h"
#include "core/shards.h"
#include "core/token_stream.h"
#include "core/verdict.h"
}

namespace {

template <typename T> T pick(int low, int high)
{
    return static_cast<T>(*rc::gen::inRange(low, high));
}

// ---- verdicts ----

// Guards against a call that is reported as not run although its upstream may have
// run it, and against one that is sent again although it ran, or may have run and
// is not repeatable.
void verdicts_match_what_happened()
{
    struct rk_attempt_end end = {};
    end.may_have_reached = *rc::gen::arbitrary<bool>();
    end.answered = end.may_have_reached && *rc::gen::arbitrary<bool>();
    end.http_status = end.answered ? *rc::gen::element(200, 404, 429, 500, 503) : 0;
    struct rk_refusal_contract contract = {*rc::gen::arbitrary<bool>()};
    enum rk_verdict v = rk_verdict_of(&end, &contract);
    bool refusal = end.http_status == 429 || end.http_status == 503;
    RC_ASSERT((v == RK_NOT_RUN) ==
              (!end.may_have_reached || (refusal && contract.refusal_not_run)));
    RC_ASSERT(v != RK_RAN || (end.answered && !refusal));
    RC_ASSERT(!rk_verdict_allows_retry(v, false) || v == RK_NOT_RUN);
    RC_ASSERT(!rk_verdict_allows_retry(RK_RAN, true));
}

// ---- streams ----

// Guards against tokens that a caller gets twice, out of order or not at all when a
// stream is resumed: each attempt starts at or before the next token, repeats some
// and skips some, and the caller still gets 0..n-1 once each, in order.
void stream_tokens_are_delivered_once_in_order()
{
    struct rk_token_stream s = {};
    std::vector<int64_t> delivered;
    int attempts = *rc::gen::inRange(1, 8);
    for (int a = 0; a < attempts; a++) {
        int64_t at = s.next - (s.next ? *rc::gen::inRange<int64_t>(0, s.next) : 0);
        int len = *rc::gen::inRange(0, 30);
        for (int i = 0; i < len; i++) {
            int64_t index = at++;
            if (*rc::gen::inRange(0, 10) == 0)
                at += *rc::gen::inRange(-1, 3);
            enum rk_token_action f = rk_token_stream_accept(&s, index);
            if (f == RK_TOKEN_DELIVER)
                delivered.push_back(index);
            if (f == RK_TOKEN_GAP)
                break;
            if (at < 0)
                at = 0;
        }
    }
    for (size_t i = 0; i < delivered.size(); i++)
        RC_ASSERT(delivered[i] == static_cast<int64_t>(i));
}

bool collect(void *ctx, const char *text)
{
    static_cast<std::vector<std::string> *>(ctx)->push_back(text);
    return true;
}

// Guards against a parser that depends on where reads end: the same bytes in pieces
// of any size must give the same events.
void sse_events_do_not_depend_on_read_sizes()
{
    auto words = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100000));
    std::string bytes;
    for (int w : words)
        bytes +=
            "data: {\"w\":" + std::to_string(w) + "}\r\n\r\n: comment\nid: 4\n";
    struct rk_sse_parser whole = {}, cut = {};
    std::vector<std::string> a, b;
    rk_sse_parser_feed(&whole, bytes.data(), bytes.size(), collect, &a);
    for (size_t at = 0; at < bytes.size();) {
        size_t n = *rc::gen::inRange<size_t>(1, 50);
        if (n > bytes.size() - at)
            n = bytes.size() - at;
        rk_sse_parser_feed(&cut, bytes.data() + at, n, collect, &b);
        at += n;
    }
    rk_sse_parser_free(&whole);
    rk_sse_parser_free(&cut);
    RC_ASSERT(a.size() == words.size());
    RC_ASSERT(a == b);
}

// ---- members ----

struct rk_member member(const char *id, const char *domain)
{
    struct rk_member m = {};
    strcpy(m.id, id);
    strcpy(m.domain, domain);
    m.incarnation = 1;
    return m;
}

using Table = std::unique_ptr<struct rk_members, decltype(&rk_members_destroy)>;

Table table(const char *id)
{
    struct rk_member self = member(id, "d0");
    return Table(rk_members_create(&self), rk_members_destroy);
}

// Two nodes that receive the same VM rows in different orders must end with the
// same table, and a VM that was leaving is never live again in that incarnation.
void vm_rows_converge()
{
    std::vector<struct rk_vm> rows;
    int n = *rc::gen::inRange(1, 40);
    for (int i = 0; i < n; i++) {
        struct rk_vm v = {};
        snprintf(v.id, sizeof(v.id), "vm%d", *rc::gen::inRange(0, 4));
        v.incarnation = pick<uint64_t>(1, 4);
        v.state = pick<enum rk_vm_state>(0, 2);
        rows.push_back(v);
    }
    Table a = table("a"), b = table("b");
    std::vector<uint64_t> highest_state(4 * 4, 0);
    for (auto &v : rows) {
        rk_members_merge_vm(a.get(), &v, -1, 1);
        const struct rk_vm *now = rk_members_find_vm(a.get(), v.id);
        RC_ASSERT(now->incarnation > v.incarnation ||
                  (now->incarnation == v.incarnation && now->state >= v.state));
    }
    for (size_t i = rows.size(); i-- > 0;)
        rk_members_merge_vm(b.get(), &rows[i], -1, 1);
    RC_ASSERT(rk_members_vm_count(a.get()) == rk_members_vm_count(b.get()));
    for (size_t i = 0; i < rk_members_vm_count(a.get()); i++) {
        const struct rk_vm *x = rk_members_vm_at(a.get(), i);
        const struct rk_vm *y = rk_members_find_vm(b.get(), x->id);
        RC_ASSERT(y && x->incarnation == y->incarnation && x->state == y->state);
    }
}

// Guards against rows or loads that a delta leaves out: a peer that receives every
// delta in order must end with the same rows.
void deltas_carry_every_row()
{
    Table a = table("a"), b = table("b");
    uint64_t mark = 0;
    static struct rk_delta delta;
    int rounds = *rc::gen::inRange(1, 20);
    for (int r = 0; r < rounds; r++) {
        int n = *rc::gen::inRange(0, 6);
        for (int i = 0; i < n; i++) {
            struct rk_vm v = {};
            snprintf(v.id, sizeof(v.id), "vm%d", *rc::gen::inRange(0, 6));
            v.incarnation = pick<uint64_t>(1, 3);
            v.state = pick<enum rk_vm_state>(0, 2);
            v.load_seq = pick<uint64_t>(0, 50);
            v.running = pick<uint32_t>(0, 9);
            rk_members_merge_vm(a.get(), &v, -1, r);
        }
        rk_members_delta(a.get(), mark, -1, r, &delta);
        mark = delta.next_high_water;
        for (size_t i = 0; i < delta.vms_len; i++)
            rk_members_merge_vm(b.get(), rk_members_vm_at(a.get(), delta.vms[i]),
                                -1, r);
        for (size_t i = 0; i < delta.loads_len; i++) {
            const struct rk_vm *v = rk_members_vm_at(a.get(), delta.loads[i]);
            rk_members_merge_load(b.get(), v->id_hash, v->load_seq, v->running,
                                  v->queued, -1, r);
        }
    }
    for (size_t i = 0; i < rk_members_vm_count(a.get()); i++) {
        const struct rk_vm *x = rk_members_vm_at(a.get(), i);
        const struct rk_vm *y = rk_members_find_vm(b.get(), x->id);
        RC_ASSERT(y && x->incarnation == y->incarnation && x->state == y->state);
        RC_ASSERT(x->running == y->running);
    }
}

// A node that learns that it was declared dead must announce itself under a newer
// incarnation, and its peers must accept that. Otherwise it stays excluded.
void a_live_node_refutes_its_death()
{
    Table a = table("a"), b = table("b");
    struct rk_member row = member("a", "d0");
    rk_members_merge(b.get(), &row, -1, 0);
    uint64_t before = rk_members_self(a.get())->incarnation;
    row.state = RK_MEMBER_DEAD;
    row.incarnation = before + pick<uint64_t>(0, 3);
    rk_members_merge(b.get(), &row, -1, 1);
    rk_members_merge(a.get(), &row, -1, 1);
    const struct rk_member *self = rk_members_self(a.get());
    RC_ASSERT(self->incarnation > row.incarnation &&
              self->state == RK_MEMBER_ALIVE);
    rk_members_merge(b.get(), self, -1, 2);
    RC_ASSERT(rk_members_find(b.get(), "a")->state == RK_MEMBER_ALIVE);
}

// When a node leaves, only its own shards move, unless it was the last of its
// failure domain.
void only_shards_of_a_lost_node_move()
{
    Table a = table("n0");
    int n = *rc::gen::inRange(2, 12);
    for (int i = 1; i < n; i++) {
        char id[16];
        snprintf(id, sizeof(id), "n%d", i);
        struct rk_member m = member(id, i % 3 ? "d0" : "d1");
        rk_members_merge(a.get(), &m, -1, 0);
    }
    std::vector<std::string> owners_before;
    for (uint32_t s = 0; s < 64; s++)
        owners_before.push_back(
            rk_members_at(a.get(), rk_shard_target(a.get(), s))->id);
    struct rk_member lost = *rk_members_at(a.get(), pick<size_t>(1, n));
    lost.state = RK_MEMBER_DEAD;
    bool last_of_domain = true;
    for (size_t i = 0; i < rk_members_count(a.get()); i++) {
        const struct rk_member *m = rk_members_at(a.get(), i);
        if (strcmp(m->id, lost.id) && !strcmp(m->domain, lost.domain))
            last_of_domain = false;
    }
    rk_members_merge(a.get(), &lost, -1, 1);
    for (uint32_t s = 0; s < 64; s++) {
        const char *now = rk_members_at(a.get(), rk_shard_target(a.get(), s))->id;
        RC_ASSERT(strcmp(now, lost.id) != 0);
        if (owners_before[s] != lost.id && !last_of_domain)
            RC_ASSERT(owners_before[s] == now);
    }
}

// ---- settings ----

std::string change(int n, int path, int value)
{
    static const char *paths[] = {"/deadline_ms", "/classes/a/rank",
                                  "/claim_shards", "/organisations/x/weight"};
    return "{\"id\":\"" + std::to_string(n) + "\",\"set\":{\"" + paths[path % 4] +
           "\":" + std::to_string(value) + "}}";
}

// Guards against settings that go back to an older version: nodes that receive the
// changes in any order, with repeats and gaps, must end with the same tree, and the
// version in force never falls.
void settings_never_revert()
{
    std::vector<std::string> log;
    int n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; i++)
        log.push_back(
            change(i, *rc::gen::inRange(0, 4), *rc::gen::inRange(-3, 12)));
    struct rk_changelog *in_order = rk_changelog_create();
    for (int i = 0; i < n; i++)
        rk_changelog_append(in_order, i + 1, log[i].c_str());
    struct rk_changelog *node = rk_changelog_create();
    int64_t head = 0;
    auto order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, n));
    for (int i : order) {
        rk_changelog_append(node, i + 1, log[i].c_str());
        RC_ASSERT(rk_changelog_head(node) >= head);
        head = rk_changelog_head(node);
    }
    if (*rc::gen::arbitrary<bool>()) {
        char *snapshot = rk_changelog_snapshot(in_order);
        rk_changelog_restore(node, snapshot);
        free(snapshot);
    }
    for (int i = 0; i < n; i++)
        rk_changelog_append(node, i + 1, log[i].c_str());
    char *a = rk_changelog_snapshot(in_order), *b = rk_changelog_snapshot(node);
    bool same = !strcmp(a, b);
    free(a);
    free(b);
    rk_changelog_destroy(in_order);
    rk_changelog_destroy(node);
    RC_ASSERT(same);
}

// ---- leases ----

struct rk_lease new_lease(int node, int incarnation)
{
    struct rk_lease l = {};
    snprintf(l.self.name, sizeof(l.self.name), "h%d", node);
    snprintf(l.self.addr, sizeof(l.self.addr), "127.0.0.%d:7600", node + 1);
    l.self.incarnation = (uint64_t)incarnation;
    l.ttl_ms = 1000;
    return l;
}

// Guards against two valid leases at once and against epochs that fall, while
// holders pause or restart and writes or their answers are lost.
void at_most_one_lease_is_valid()
{
    constexpr int kHolders = 3;
    struct rk_lease l[kHolders];
    for (int i = 0; i < kHolders; i++)
        l[i] = new_lease(i, 0);
    int64_t version = 0, now = 1, last_epoch = 0;
    std::string value;
    int steps = *rc::gen::inRange(10, 200);
    for (int s = 0; s < steps; s++) {
        int index = *rc::gen::inRange(0, kHolders);
        struct rk_lease *x = &l[index];
        now += *rc::gen::inRange(0, 400);
        int action = *rc::gen::inRange(0, 8);
        if (action == 7)
            *x = new_lease(index, s + 1); // it was killed and restarted
        action %= 3;
        char text[RK_LEASE_VALUE_MAX];
        int64_t expect;
        if (action == 0) {
            rk_lease_read_done(x, version, value.c_str(), now);
        } else if (rk_lease_next_write(x, now, text, &expect)) {
            bool applied = expect == version;
            int fate = *rc::gen::inRange(0, 4);
            if (fate == 3)
                applied = false; // the write is lost
            if (applied) {
                version++;
                value = text;
            }
            now += *rc::gen::inRange(0, 300); // the holder may be paused here
            rk_lease_write_done(x,
                                fate >= 2 ? RK_EUNKNOWN
                                : applied ? RK_OK
                                          : RK_ECONFLICT,
                                version, now);
        }
        int valid = 0;
        int64_t epoch = 0;
        for (auto &h : l)
            valid += rk_lease_valid(&h, now, &epoch);
        RC_ASSERT(valid <= 1);
        if (valid) {
            RC_ASSERT(epoch >= last_epoch);
            last_epoch = epoch;
        }
    }
}

// A store with one object, which can come back from an older copy of itself.
struct restorable_store {
    struct state {
        int64_t number = 0; // of the last write; 0: there is no object
        std::string value;
    };
    int64_t era = 1, last_number = 0;
    state now, copy;

    int64_t revision() const
    {
        return rk_revision_make(era, now.number);
    }

    // A write on condition of a number; 0: there must be no object. The condition
    // may be of an older era, which the store can't tell.
    bool write(int64_t expected_number, const char *value)
    {
        if (expected_number != now.number)
            return false;
        now = {++last_number, value};
        return true;
    }

    void restore()
    {
        now = copy;
        last_number = copy.number;
        era++;
    }
};

// A holder of the lease and the rules of its caller: after an unknown outcome it
// reads first, and conditions of an era that is known to be over are not sent.
struct restorable_holder {
    struct rk_lease lease;
    bool must_read = false;

    void read(const restorable_store &store, int64_t now_ms)
    {
        rk_lease_set_era(&lease, store.era);
        rk_lease_read_done(&lease, store.revision(), store.now.value.c_str(),
                           now_ms);
        must_read = false;
    }

    // delay_ms passes between the write's arrival and its answer's.
    void write(restorable_store &store, int64_t &now_ms, int64_t delay_ms,
               bool answered)
    {
        char text[RK_LEASE_VALUE_MAX];
        int64_t expect;
        if (!rk_lease_next_write(&lease, now_ms, text, &expect))
            return;
        bool applied = store.write(rk_revision_number(expect), text);
        bool of_other_era = expect && rk_revision_era(expect) != store.era;
        int64_t version = store.revision();
        now_ms += delay_ms;
        enum rk_status st = !answered || (applied && of_other_era) ? RK_EUNKNOWN
                            : applied                              ? RK_OK
                                                                   : RK_ECONFLICT;
        must_read = st != RK_OK;
        rk_lease_write_done(&lease, st, version, now_ms);
    }
};

// Guards against a fencing token of two holders, and two valid leases at once,
// after the store has come back from an older copy. Its lease was of an earlier
// holder, and the next one took the epoch again that another had had.
void no_epoch_has_two_holders_over_restores()
{
    constexpr int kHolders = 3;
    restorable_store store;
    restorable_holder holders[kHolders];
    for (int i = 0; i < kHolders; i++)
        holders[i].lease = new_lease(i, 0);
    std::map<int64_t, std::string> holder_of;
    int64_t now = 1;
    int steps = *rc::gen::inRange(50, 400);
    for (int s = 0; s < steps; s++) {
        int index = *rc::gen::inRange(0, kHolders),
            action = *rc::gen::inRange(0, 40);
        restorable_holder &x = holders[index];
        now += *rc::gen::inRange(0, 400);
        if (action == 0)
            store.restore();
        else if (action <= 3)
            store.copy = store.now;
        else if (action == 4)
            x = {new_lease(index, s + 1), false}; // it was killed and restarted
        else if (action < 15 || x.must_read || !x.lease.observed_ms)
            x.read(store, now);
        else
            x.write(store, now, *rc::gen::inRange(0, 300),
                    *rc::gen::inRange(0, 4) != 0);
        int valid = 0;
        for (auto &h : holders) {
            int64_t epoch;
            if (!rk_lease_valid(&h.lease, now, &epoch))
                continue;
            valid++;
            std::string holder = h.lease.self.name + std::string("/") +
                                 std::to_string(h.lease.self.incarnation);
            auto known = holder_of.emplace(epoch, holder).first;
            RC_ASSERT(known->second == holder);
        }
        RC_ASSERT(valid <= 1);
    }
}

// A restarted holder must get its lease back before another node may take it.
// Otherwise each restart leaves the lease without a holder until it expires.
void a_restarted_holder_renews_its_lease()
{
    struct rk_lease before = new_lease(0, 1), after = new_lease(0, 2),
                    other = new_lease(1, 1);
    char text[RK_LEASE_VALUE_MAX];
    int64_t expect, epoch, now = *rc::gen::inRange(1, 1000);
    rk_lease_read_done(&before, 0, "", now);
    RC_ASSERT(rk_lease_next_write(&before, now, text, &expect));
    std::string value = text;
    now += *rc::gen::inRange(0, 900);
    rk_lease_read_done(&after, 1, value.c_str(), now);
    rk_lease_read_done(&other, 1, value.c_str(), now);
    RC_ASSERT(!rk_lease_next_write(&other, now, text, &expect));
    RC_ASSERT(rk_lease_next_write(&after, now, text, &expect) && expect == 1);
    rk_lease_write_done(&after, RK_OK, 2, now);
    RC_ASSERT(rk_lease_valid(&after, now, &epoch) && epoch == 2);
}

// ---- admission ----

// Guards against an organisation that gets more than its share by its deadlines or
// by the size of its requests: under steady demand slot time follows the weights.
void shares_follow_weights()
{
    struct rk_fair_queue *a = rk_fair_queue_create();
    int64_t weights[3], used[3] = {};
    for (auto &w : weights)
        w = *rc::gen::inRange(1, 6);
    std::vector<struct rk_waiter> waiters(600);
    for (size_t i = 0; i < waiters.size(); i++) {
        struct rk_waiter *w = &waiters[i];
        *w = {};
        snprintf(w->org, sizeof(w->org), "o%zu", i % 3);
        w->weight = weights[i % 3];
        w->rank = 3;
        w->deadline_ms = *rc::gen::inRange(0, 1000);
        w->cost_ms = *rc::gen::inRange(1, 50);
        rk_fair_queue_push(a, w);
    }
    int64_t total = 0;
    for (int n = 0; n < 150; n++) {
        struct rk_waiter *w = rk_fair_queue_peek(a, true, 0);
        rk_fair_queue_serve(a, w);
        used[w->org[1] - '0'] += w->cost_ms;
        total += w->cost_ms;
    }
    for (auto &w : waiters)
        rk_fair_queue_remove(a, &w);
    rk_fair_queue_destroy(a);
    int64_t sum = weights[0] + weights[1] + weights[2];
    for (int i = 0; i < 3; i++) {
        double share = static_cast<double>(total) * weights[i] / sum;
        RC_ASSERT(used[i] > share - 110 && used[i] < share + 110);
    }
}

// Requests with a lower rank number go first. Deferrable work goes last until
// promote_ms before its deadline and ahead of normal work from then on, or it would
// starve.
void ranks_and_promotion()
{
    struct rk_fair_queue *a = rk_fair_queue_create();
    struct rk_waiter urgent = {}, normal = {}, deferred = {};
    int64_t deadline = *rc::gen::inRange(1000, 5000);
    strcpy(urgent.org, "u");
    strcpy(normal.org, "n");
    strcpy(deferred.org, "d");
    urgent.weight = normal.weight = deferred.weight = 1;
    normal.rank = 4;
    deferred.rank = 6;
    deferred.deferrable = true;
    deferred.promote_ms = 500;
    deferred.deadline_ms = deadline;
    rk_fair_queue_push(a, &deferred);
    rk_fair_queue_push(a, &normal);
    rk_fair_queue_push(a, &urgent);
    RC_ASSERT(rk_fair_queue_peek(a, true, 0) == &urgent);
    rk_fair_queue_serve(a, &urgent);
    RC_ASSERT(rk_fair_queue_peek(a, true, 0) == &normal);
    RC_ASSERT(rk_fair_queue_peek(a, true, deadline - 500) == &deferred);
    rk_fair_queue_remove(a, &normal);
    rk_fair_queue_serve(a, &deferred);
    rk_fair_queue_destroy(a);
}

} // namespace

int main()
{
    static const Property properties[] = {
        {"verdicts_match_what_happened", verdicts_match_what_happened},
        {"stream_tokens_are_delivered_once_in_order",
         stream_tokens_are_delivered_once_in_order},
        {"sse_events_do_not_depend_on_read_sizes",
         sse_events_do_not_depend_on_read_sizes},
        {"vm_rows_converge", vm_rows_converge},
        {"deltas_carry_every_row", deltas_carry_every_row},
        {"a_live_node_refutes_its_death", a_live_node_refutes_its_death},
        {"only_shards_of_a_lost_node_move", only_shards_of_a_lost_node_move},
        {"settings_never_revert", settings_never_revert},
        {"at_most_one_lease_is_valid", at_most_one_lease_is_valid},
        {"no_epoch_has_two_holders_over_restores",
         no_epoch_has_two_holders_over_restores},
        {"a_restarted_holder_renews_its_lease",
         a_restarted_holder_renews_its_lease},
        {"shares_follow_weights", shares_follow_weights},
        {"ranks_and_promotion", ranks_and_promotion},
    };
    return run_properties(properties);
}
