// Properties of the core's smaller parts: whatever the order of rows, tokens,
// changes and waiters, what the brief promises of each holds.
#include "tests/props.h"

#include <cstring>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/admit.h"
#include "core/changes.h"
#include "core/lease.h"
#include "core/members.h"
#include "core/shards.h"
#include "core/stream.h"
#include "core/verdict.h"
}

namespace {

template <typename T> T pick(int low, int high)
{
    return static_cast<T>(*rc::gen::inRange(low, high));
}

// ---- verdicts ----

void verdicts_are_true()
{
    struct rk_attempt_end end = {};
    end.handed = *rc::gen::arbitrary<bool>();
    end.answered = end.handed && *rc::gen::arbitrary<bool>();
    end.http_status = end.answered ? *rc::gen::element(200, 404, 429, 500, 503) : 0;
    struct rk_refusal_contract contract = {*rc::gen::arbitrary<bool>()};
    enum rk_verdict v = rk_verdict_of(&end, &contract);
    bool refusal = end.http_status == 429 || end.http_status == 503;
    RC_ASSERT((v == RK_NOT_RUN) ==
              (!end.handed || (refusal && contract.refusal_not_run)));
    RC_ASSERT(v != RK_RAN || (end.answered && !refusal));
    RC_ASSERT(!rk_verdict_allows_retry(v, false) || v == RK_NOT_RUN);
    RC_ASSERT(!rk_verdict_allows_retry(RK_RAN, true));
}

// ---- streams ----

// Attempts give tokens from where they were asked, with repeats and gaps; the
// caller gets 0..n-1 once, in order.
void streams_are_whole()
{
    struct rk_stream s = {};
    std::vector<int64_t> got;
    int attempts = *rc::gen::inRange(1, 8);
    for (int a = 0; a < attempts; a++) {
        int64_t at = s.next - (s.next ? *rc::gen::inRange<int64_t>(0, s.next) : 0);
        int len = *rc::gen::inRange(0, 30);
        for (int i = 0; i < len; i++) {
            int64_t index = at++;
            if (*rc::gen::inRange(0, 10) == 0)
                at += *rc::gen::inRange(-1, 3);
            enum rk_token_fate f = rk_stream_take(&s, index);
            if (f == RK_TOKEN_DELIVER)
                got.push_back(index);
            if (f == RK_TOKEN_GAP)
                break;
            if (at < 0)
                at = 0;
        }
    }
    for (size_t i = 0; i < got.size(); i++)
        RC_ASSERT(got[i] == static_cast<int64_t>(i));
}

bool collect(void *ctx, const char *text)
{
    static_cast<std::vector<std::string> *>(ctx)->push_back(text);
    return true;
}

// However the bytes are cut, the events are the same.
void sse_is_cut_anywhere()
{
    auto words = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 100000));
    std::string bytes;
    for (int w : words)
        bytes +=
            "data: {\"w\":" + std::to_string(w) + "}\r\n\r\n: comment\nid: 4\n";
    struct rk_sse whole = {}, cut = {};
    std::vector<std::string> a, b;
    rk_sse_feed(&whole, bytes.data(), bytes.size(), collect, &a);
    for (size_t at = 0; at < bytes.size();) {
        size_t n = *rc::gen::inRange<size_t>(1, 50);
        if (n > bytes.size() - at)
            n = bytes.size() - at;
        rk_sse_feed(&cut, bytes.data() + at, n, collect, &b);
        at += n;
    }
    rk_sse_free(&whole);
    rk_sse_free(&cut);
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

// Two nodes that get the same vm rows in different orders believe the same, and
// a vm that was leaving is never live again in that incarnation.
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
    std::vector<uint64_t> worst(4 * 4, 0);
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

// Deltas: a peer that gets every delta in turn ends with the same rows.
void deltas_bring_everything()
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
        mark = delta.next_mark;
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

// A node said to be dead refutes it; everybody believes the refutation.
void the_living_refute()
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

// Only the shards of the node that left change hands.
void shards_move_little()
{
    Table a = table("n0");
    int n = *rc::gen::inRange(2, 12);
    for (int i = 1; i < n; i++) {
        char id[16];
        snprintf(id, sizeof(id), "n%d", i);
        struct rk_member m = member(id, i % 3 ? "d0" : "d1");
        rk_members_merge(a.get(), &m, -1, 0);
    }
    std::vector<std::string> before;
    for (uint32_t s = 0; s < 64; s++)
        before.push_back(rk_members_at(a.get(), rk_shard_owner(a.get(), s))->id);
    struct rk_member gone = *rk_members_at(a.get(), pick<size_t>(1, n));
    gone.state = RK_MEMBER_DEAD;
    bool last_of_domain = true;
    for (size_t i = 0; i < rk_members_count(a.get()); i++) {
        const struct rk_member *m = rk_members_at(a.get(), i);
        if (strcmp(m->id, gone.id) && !strcmp(m->domain, gone.domain))
            last_of_domain = false;
    }
    rk_members_merge(a.get(), &gone, -1, 1);
    for (uint32_t s = 0; s < 64; s++) {
        const char *now = rk_members_at(a.get(), rk_shard_owner(a.get(), s))->id;
        RC_ASSERT(strcmp(now, gone.id) != 0);
        if (before[s] != gone.id && !last_of_domain)
            RC_ASSERT(before[s] == now);
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

// Nodes that learn of changes in any order, with repeats and gaps, end with the
// same tree, and no head ever falls.
void settings_never_revert()
{
    std::vector<std::string> log;
    int n = *rc::gen::inRange(1, 12);
    for (int i = 0; i < n; i++)
        log.push_back(
            change(i, *rc::gen::inRange(0, 4), *rc::gen::inRange(-3, 12)));
    struct rk_changelog *straight = rk_changelog_create();
    for (int i = 0; i < n; i++)
        rk_changelog_take(straight, i + 1, log[i].c_str());
    struct rk_changelog *node = rk_changelog_create();
    int64_t head = 0;
    auto order = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, n));
    for (int i : order) {
        rk_changelog_take(node, i + 1, log[i].c_str());
        RC_ASSERT(rk_changelog_head(node) >= head);
        head = rk_changelog_head(node);
    }
    if (*rc::gen::arbitrary<bool>()) {
        char *snapshot = rk_changelog_snapshot(straight);
        rk_changelog_restore(node, snapshot);
        free(snapshot);
    }
    for (int i = 0; i < n; i++)
        rk_changelog_take(node, i + 1, log[i].c_str());
    char *a = rk_changelog_snapshot(straight), *b = rk_changelog_snapshot(node);
    bool same = !strcmp(a, b);
    free(a);
    free(b);
    rk_changelog_destroy(straight);
    rk_changelog_destroy(node);
    RC_ASSERT(same);
}

// ---- leases ----

struct rk_lease new_life(int node, int life)
{
    struct rk_lease l = {};
    snprintf(l.holder, sizeof(l.holder), "h%d/%d", node, life);
    l.life_ms = 1000;
    return l;
}

// Holders that sleep or start again, writes that are lost or land: no two ever hold
// a valid lease at once, and epochs only rise.
void leases_exclude()
{
    constexpr int kHolders = 3;
    struct rk_lease l[kHolders];
    for (int i = 0; i < kHolders; i++)
        l[i] = new_life(i, 0);
    int64_t version = 0, now = 1, last_epoch = 0;
    std::string value;
    int steps = *rc::gen::inRange(10, 200);
    for (int s = 0; s < steps; s++) {
        int who = *rc::gen::inRange(0, kHolders);
        struct rk_lease *x = &l[who];
        now += *rc::gen::inRange(0, 400);
        int what = *rc::gen::inRange(0, 8);
        if (what == 7)
            *x = new_life(who, s + 1); // killed and started again
        what %= 3;
        char text[RK_LEASE_VALUE_MAX];
        int64_t expect;
        if (what == 0) {
            rk_lease_seen(x, version, value.c_str(), now);
        } else if (rk_lease_wants(x, now, text, &expect)) {
            bool stands = expect == version;
            int fate = *rc::gen::inRange(0, 4);
            if (fate == 3)
                stands = false; // never got there
            if (stands) {
                version++;
                value = text;
            }
            now += *rc::gen::inRange(0, 300); // the holder may sleep here
            rk_lease_written(x,
                             fate >= 2 ? RK_EUNKNOWN
                             : stands  ? RK_OK
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

// Who held it is back before anybody else may take it.
void a_holder_that_starts_again_goes_on()
{
    struct rk_lease before = new_life(0, 1), after = new_life(0, 2),
                    other = new_life(1, 1);
    char text[RK_LEASE_VALUE_MAX];
    int64_t expect, epoch, now = *rc::gen::inRange(1, 1000);
    rk_lease_seen(&before, 0, "", now);
    RC_ASSERT(rk_lease_wants(&before, now, text, &expect));
    std::string value = text;
    now += *rc::gen::inRange(0, 900);
    rk_lease_seen(&after, 1, value.c_str(), now);
    rk_lease_seen(&other, 1, value.c_str(), now);
    RC_ASSERT(!rk_lease_wants(&other, now, text, &expect));
    RC_ASSERT(rk_lease_wants(&after, now, text, &expect) && expect == 1);
    rk_lease_written(&after, RK_OK, 2, now);
    RC_ASSERT(rk_lease_valid(&after, now, &epoch) && epoch == 2);
}

// ---- admission ----

// Under steady demand organisations get slot time by weight, whatever each asks.
void shares_follow_weights()
{
    struct rk_admit *a = rk_admit_create();
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
        rk_admit_push(a, w);
    }
    int64_t total = 0;
    for (int n = 0; n < 150; n++) {
        struct rk_waiter *w = rk_admit_peek(a, true, 0);
        rk_admit_take(a, w);
        used[w->org[1] - '0'] += w->cost_ms;
        total += w->cost_ms;
    }
    for (auto &w : waiters)
        rk_admit_remove(a, &w);
    rk_admit_destroy(a);
    int64_t sum = weights[0] + weights[1] + weights[2];
    for (int i = 0; i < 3; i++) {
        double share = static_cast<double>(total) * weights[i] / sum;
        RC_ASSERT(used[i] > share - 110 && used[i] < share + 110);
    }
}

// Higher ranks go first; deferred work waits for its time and then goes.
void ranks_and_promotion()
{
    struct rk_admit *a = rk_admit_create();
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
    rk_admit_push(a, &deferred);
    rk_admit_push(a, &normal);
    rk_admit_push(a, &urgent);
    RC_ASSERT(rk_admit_peek(a, true, 0) == &urgent);
    rk_admit_take(a, &urgent);
    RC_ASSERT(rk_admit_peek(a, true, 0) == &normal);
    RC_ASSERT(rk_admit_peek(a, true, deadline - 500) == &deferred);
    rk_admit_remove(a, &normal);
    rk_admit_take(a, &deferred);
    rk_admit_destroy(a);
}

} // namespace

int main()
{
    static const Property properties[] = {
        {"verdicts_are_true", verdicts_are_true},
        {"streams_are_whole", streams_are_whole},
        {"sse_is_cut_anywhere", sse_is_cut_anywhere},
        {"vm_rows_converge", vm_rows_converge},
        {"deltas_bring_everything", deltas_bring_everything},
        {"the_living_refute", the_living_refute},
        {"shards_move_little", shards_move_little},
        {"settings_never_revert", settings_never_revert},
        {"leases_exclude", leases_exclude},
        {"a_holder_that_starts_again_goes_on", a_holder_that_starts_again_goes_on},
        {"shares_follow_weights", shares_follow_weights},
        {"ranks_and_promotion", ranks_and_promotion},
    };
    return run_properties(properties);
}
