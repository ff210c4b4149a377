// Promise 4, in the core: two owners of one shard over a store that loses
// answers, drops writes, lets them land late; owners restart and sleep. Whatever
// the order, a key runs at most once and no refusal is false.
#include "tests/props.h"

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

extern "C" {
#include "core/claims.h"
}

namespace {

constexpr int kOwners = 3;
constexpr int kKeys = 120; // more than the ring below takes
constexpr int64_t kRetentionMs = 1000000;

struct Slot {
    int64_t version = 0;
    std::string value;
};

struct Op {
    enum { None, ReadRing, Write, ReadSlot } kind = None;
    unsigned slot = 0;
    int64_t expect = 0;
    std::string value;
};

struct World;

struct Owner {
    World *world = nullptr;
    int id = 0;
    struct rk_claims *claims = nullptr;
    Op op;
    std::map<int, bool> running; // keys granted here: was it sent?
};

struct World {
    std::map<unsigned, Slot> store;
    std::vector<Op> late;
    std::vector<std::unique_ptr<Owner>> owners;
    std::map<uint64_t, int> ticket_key;
    int runs[kKeys] = {};
    int64_t now = 1;
    uint64_t tickets = 0, seeds = 0;
    bool send_at_once = true;
    int granted = 0;
};

struct rk_claim_key key_of(int k)
{
    std::string name = "k" + std::to_string(k);
    return rk_claim_key_make("org", "svc", name.c_str(), "/confirm", "b", 1);
}

void read_ring(void *ctx, uint32_t)
{
    static_cast<Owner *>(ctx)->op = Op{Op::ReadRing, 0, 0, ""};
}

void write_slot(void *ctx, uint32_t, unsigned slot, int64_t expect,
                const char *value)
{
    static_cast<Owner *>(ctx)->op = Op{Op::Write, slot, expect, value};
}

void read_slot(void *ctx, uint32_t, unsigned slot)
{
    static_cast<Owner *>(ctx)->op = Op{Op::ReadSlot, slot, 0, ""};
}

void send(Owner *o, int k)
{
    RC_ASSERT(++o->world->runs[k] <= 1);
    o->running[k] = true;
}

void decided(void *ctx, uint64_t ticket, const struct rk_claim_result *r)
{
    Owner *o = static_cast<Owner *>(ctx);
    World *w = o->world;
    int k = w->ticket_key.at(ticket);
    if (r->decision == RK_CLAIM_GRANTED) {
        w->granted++;
        o->running[k] = false;
        if (w->send_at_once)
            send(o, k);
    } else {
        RC_ASSERT(!(r->verdict == RK_NOT_RUN && w->runs[k]));
        RC_ASSERT(!(r->verdict == RK_RAN && !w->runs[k]));
    }
}

const struct rk_claims_ops kOps = {read_ring, write_slot, read_slot, decided};

void make(Owner *o)
{
    static const char *names[kOwners] = {"a", "b", "c"};
    struct rk_claims_config cfg = {};
    cfg.owner = names[o->id];
    cfg.retention_ms = kRetentionMs;
    cfg.patience_ms = 100;
    cfg.answer_bytes = 1000;
    cfg.max_tickets = 100;
    cfg.slot_keys = 3; // so that slots fill, seal, and the ring comes round
    cfg.seed = ++o->world->seeds * 7919;
    o->claims = rk_claims_create(&cfg, &kOps, o);
    o->op = Op{};
    o->running.clear();
}

bool apply(World &w, const Op &op, int64_t *version)
{
    Slot &s = w.store[op.slot];
    if (s.version != op.expect)
        return false;
    s.value = op.value;
    *version = ++s.version;
    return true;
}

enum Fate { Good, LoseAnswer, Drop, Later };

void answer(Owner *o, Fate fate)
{
    World &w = *o->world;
    Op op = o->op;
    o->op = Op{};
    bool lost = fate != Good;
    if (op.kind == Op::Write) {
        int64_t version = 0;
        if (fate == Drop || fate == Later) {
            if (fate == Later)
                w.late.push_back(op);
            rk_claims_on_written(o->claims, RK_EUNKNOWN, 0, w.now, w.now);
            return;
        }
        bool ok = apply(w, op, &version);
        rk_claims_on_written(o->claims,
                             lost ? RK_EUNKNOWN
                             : ok ? RK_OK
                                  : RK_ECONFLICT,
                             version, w.now, w.now);
    } else if (op.kind == Op::ReadRing) {
        std::vector<struct rk_slot_read> slots;
        for (auto &e : w.store)
            if (e.second.version)
                slots.push_back(
                    {e.first, e.second.version, e.second.value.c_str()});
        rk_claims_on_ring(o->claims, lost ? RK_EUNKNOWN : RK_OK, slots.data(),
                          slots.size(), w.now, w.now);
    } else if (op.kind == Op::ReadSlot) {
        Slot &s = w.store[op.slot];
        enum rk_status st = lost ? RK_EUNKNOWN : s.version ? RK_OK : RK_ENOTFOUND;
        rk_claims_on_slot(o->claims, st, s.version, s.value.c_str(), w.now, w.now);
    }
}

// End one of the calls this owner has granted.
void finish(Owner *o, int which, int how)
{
    if (o->running.empty())
        return;
    auto it = std::next(o->running.begin(), which % o->running.size());
    int k = it->first;
    bool sent = it->second;
    if (!sent && how != 0) {
        send(o, k); // a call that was late to go out
        sent = true;
    }
    o->running.erase(it);
    enum rk_verdict v = sent ? (how == 1 ? RK_RAN : RK_MAY_HAVE_RUN) : RK_NOT_RUN;
    struct rk_answer a = {};
    a.status = 200;
    a.body = const_cast<char *>("done");
    a.len = 4;
    rk_claims_finish(o->claims, key_of(k), v, v == RK_RAN ? &a : nullptr, 5);
}

void restart(Owner *o)
{
    if (o->op.kind == Op::Write)
        o->world->late.push_back(o->op);
    rk_claims_destroy(o->claims);
    make(o);
}

void step(World &w, int what, int who, int arg)
{
    Owner *o = w.owners[who % kOwners].get();
    switch (what % 12) {
    case 0:
    case 1:
    case 2: {
        uint64_t t = ++w.tickets;
        w.ticket_key[t] = arg % kKeys;
        rk_claims_ask(o->claims, t, key_of(arg % kKeys), false, w.now);
        rk_claims_tick(o->claims, w.now, w.now);
        break;
    }
    case 3:
    case 4:
    case 5:
        answer(o, Good);
        break;
    case 6:
        answer(o, static_cast<Fate>(1 + arg % 3));
        break;
    case 7:
        w.now += arg % 150;
        rk_claims_tick(o->claims, w.now, w.now);
        break;
    case 8:
        finish(o, arg / 3, arg % 3);
        break;
    case 9:
        if (!w.late.empty()) {
            int64_t version;
            Op op = w.late.back();
            w.late.pop_back();
            apply(w, op, &version);
        }
        break;
    case 10:
        if (arg % 4 == 0)
            restart(o);
        break;
    default:
        if (w.tickets)
            rk_claims_cancel(o->claims, 1 + arg % w.tickets);
        break;
    }
}

World *make_world(bool send_at_once)
{
    World *w = new World;
    w->send_at_once = send_at_once;
    for (int i = 0; i < kOwners; i++) {
        w->owners.emplace_back(new Owner);
        w->owners.back()->world = w;
        w->owners.back()->id = i;
        make(w->owners.back().get());
    }
    return w;
}

void destroy_world(World *w)
{
    for (auto &o : w->owners)
        rk_claims_destroy(o->claims);
    delete w;
}

struct Guard {
    World *w;
    explicit Guard(World *world) : w(world)
    {
    }
    ~Guard()
    {
        destroy_world(w);
    }
};

using Steps = std::vector<std::tuple<int, int, int>>;

void run_steps(const Steps &steps, bool send_at_once)
{
    Guard g(make_world(send_at_once));
    for (const auto &s : steps)
        step(*g.w, std::get<0>(s), std::get<1>(s), std::get<2>(s));
}

rc::Gen<Steps> steps_gen()
{
    auto one = rc::gen::tuple(rc::gen::inRange(0, 12), rc::gen::inRange(0, kOwners),
                              rc::gen::inRange(0, 3000));
    return rc::gen::resize(600, rc::gen::container<Steps>(one));
}

} // namespace

int main()
{
    bool ok = report("at_most_once_sent_at_once",
                     rc::check("a key runs at most once",
                               [] { run_steps(*steps_gen(), true); }));
    ok = report("at_most_once_sent_late",
                rc::check("also when the owner sleeps between grant and send",
                          [] { run_steps(*steps_gen(), false); })) &&
         ok;
    ok = report("a_lone_owner_serves_every_key",
                rc::check("without faults each new key is granted",
                          [] {
                              Guard g(make_world(true));
                              int n = *rc::gen::inRange(1, 3 * RK_CLAIM_SLOTS);
                              for (int k = 0; k < n; k++) {
                                  step(*g.w, 0, 0, k);
                                  while (g.w->owners[0]->op.kind != Op::None)
                                      answer(g.w->owners[0].get(), Good);
                              }
                              RC_ASSERT(g.w->granted == n);
                          })) &&
         ok;
    return ok ? 0 : 1;
}
