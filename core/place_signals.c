/* Signals that VMs advertise in their answers, applied to the placement. */
#include <stdlib.h>
#include <string.h>

#include <json-c/linkhash.h>

#include "core/place_impl.h"

/* How long rk_place_copy_signals() repeats a change, because a copy may be lost
 * on its way. */
#define CHANGE_REPORT_MS 1000
#define PERMILLE         1000 /* resolution of a random part of an interval */

static void apply_leaving(struct rk_place_vm *v, int64_t now_ms)
{
    if (!rk_place_advertises_leaving(v) || v->row.leaving)
        return;
    v->row.leaving = true;
    v->leaving_since_ms = now_ms;
}

unsigned rk_place_apply_signals(struct rk_place *p, struct rk_place_vm *vm,
                                const struct rk_vm_advertised *advertised,
                                int64_t now_ms)
{
    bool has_signals = advertised->limited || advertised->leaving ||
                       advertised->brittle || advertised->cooldown_ms > 0;
    if (!vm->signal && !has_signals)
        return 0;
    if (!vm->signal)
        vm->signal =
            rk_vm_signals_get_or_add(&p->signals, vm->hash, vm->row.domain, now_ms);
    if (!vm->signal)
        return 0;
    unsigned changed = rk_vm_signal_apply(vm->signal, advertised, now_ms);
    if (vm->signal->senders == RK_SENDERS_UNKNOWN && p->nodes > 0)
        rk_vm_signal_set_senders(vm->signal, p->nodes, now_ms);
    apply_leaving(vm, now_ms);
    return changed;
}

void rk_place_set_node_count(struct rk_place *p, int nodes)
{
    p->nodes = nodes;
}

/* Updates each VM's pointer to its signals, after records were added or removed. */
static void relink_signals(struct rk_place *p, int64_t now_ms)
{
    for (struct rk_place_vm *v = p->vms; v; v = v->next) {
        v->signal = rk_vm_signals_find(&p->signals, v->hash);
        apply_leaving(v, now_ms);
    }
}

void rk_place_set_signals(struct rk_place *p, const struct rk_vm_signal *rows,
                          size_t len, int64_t now_ms)
{
    size_t before = rk_vm_signals_len(&p->signals);
    unsigned changed = 0;
    for (size_t i = 0; i < len; i++) {
        struct rk_vm_signal *v = rk_vm_signals_get_or_add(
            &p->signals, rows[i].incarnation, rows[i].domain, now_ms);
        if (!v)
            continue;
        changed |= rk_vm_signal_merge(v, &rows[i], now_ms);
        rk_vm_signal_set_senders(v, rows[i].senders, now_ms);
        v->brittle_senders = rows[i].brittle_senders;
        if (rows[i].is_probe_share)
            rk_vm_signal_advance_share(v, rk_rng_below(&p->rng, PERMILLE) /
                                              (double)PERMILLE);
    }
    if (rk_vm_signals_len(&p->signals) != before || changed & RK_VM_LEAVING_CHANGED)
        relink_signals(p, now_ms);
}

size_t rk_place_copy_signals(const struct rk_place *p, int64_t now_ms,
                             struct rk_vm_signal **out)
{
    size_t len = 0;
    struct lh_entry *e;
    *out = rk_alloc(rk_vm_signals_len(&p->signals) + 1, sizeof(**out));
    if (!p->signals.by_incarnation)
        return 0;
    lh_foreach (p->signals.by_incarnation, e) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        if (v->limited || v->brittle || now_ms - v->changed_ms < CHANGE_REPORT_MS)
            (*out)[len++] = *v;
    }
    return len;
}

size_t rk_place_cooldown_len(const struct rk_place *p, int64_t now_ms)
{
    size_t len = 0;
    struct lh_entry *e;
    if (!p->signals.by_incarnation)
        return 0;
    lh_foreach (p->signals.by_incarnation, e) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        len += v->cooldown_until_ms > now_ms;
    }
    return len;
}

int rk_place_sharing_nodes(const struct rk_place *p, const struct rk_place_vm *vm,
                           bool engine)
{
    if (!engine && vm->signal->brittle_senders != RK_SENDERS_UNKNOWN)
        return vm->signal->brittle_senders;
    return p->nodes > 0 ? p->nodes : 1;
}

/* A brittle VM gets at most as many calls as it has slots. The calls that peers
 * sent since their last reports are not known, so each node uses its share of the
 * slots, and of those that seem free. */
bool rk_place_has_room(const struct rk_place *p, const struct rk_place_vm *vm,
                       bool engine)
{
    if (!vm->signal || !vm->signal->brittle || vm->row.slots <= 0)
        return true;
    int64_t nodes = rk_place_sharing_nodes(p, vm, engine);
    int64_t free_slots = vm->row.slots - vm->running - (int64_t)vm->peers_running;
    if (!nodes || free_slots <= 0)
        return false;
    int64_t share = (vm->row.slots + free_slots) / nodes;
    return vm->running < (share > 0 ? share : 1);
}

/* Returns the share in a service's VMs, with one more VM that `senders` nodes
 * share, as in struct rk_vm_signal. */
static enum rk_place_share add_share(enum rk_place_share share, int senders)
{
    if (senders > 0)
        return RK_PLACE_HAS_SHARE;
    return share == RK_PLACE_NOT_SHARED ? RK_PLACE_LACKS_SHARE : share;
}

enum rk_place_share rk_place_brittle_share(const struct rk_place *p,
                                           const struct rk_place_query *q)
{
    enum rk_place_share share = RK_PLACE_NOT_SHARED;
    if (q->engine || !rk_vm_signals_len(&p->signals))
        return RK_PLACE_NOT_SHARED;
    uint32_t service_hash = (uint32_t)rk_hash_str(0, q->service);
    for (const struct rk_place_vm *v = p->vms; v; v = v->next) {
        if (!rk_place_is_usable(v) || v->unreachable_since_ms ||
            v->service_hash != service_hash ||
            strcmp(v->row.service, q->service) != 0)
            continue;
        bool shared = v->signal && v->signal->brittle &&
                      v->signal->brittle_senders != RK_SENDERS_UNKNOWN;
        if (!shared)
            return RK_PLACE_NOT_SHARED;
        share = add_share(share, v->signal->brittle_senders);
    }
    return share;
}

enum rk_place_share rk_place_limit_share(const struct rk_place *p,
                                         const struct rk_place_query *q)
{
    enum rk_place_share share = RK_PLACE_NOT_SHARED;
    if (!rk_vm_signals_len(&p->signals) || p->nodes < 2)
        return RK_PLACE_NOT_SHARED;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next) {
        if (!rk_place_is_usable(v) || strcmp(v->row.service, q->service) != 0)
            continue;
        if (!v->signal || !v->signal->limited)
            return RK_PLACE_NOT_SHARED;
        share = add_share(share, v->signal->senders);
    }
    return share;
}

bool rk_place_may_send(const struct rk_place_vm *vm, int64_t now_ms)
{
    return !vm->signal || !rk_vm_signal_wait_ms(vm->signal, now_ms);
}

int64_t rk_place_retry_after_ms(const struct rk_place *p,
                                const struct rk_place_query *q, int64_t now_ms)
{
    int64_t wait_ms = 0;
    if (!rk_vm_signals_len(&p->signals))
        return 0;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next) {
        if (!rk_place_is_usable(v) || strcmp(v->row.service, q->service) != 0)
            continue;
        int64_t ms = v->signal ? rk_vm_signal_wait_ms(v->signal, now_ms) : 0;
        if (!ms)
            return 0;
        if (!wait_ms || ms < wait_ms)
            wait_ms = ms;
    }
    return wait_ms;
}

/* Limits, leaving and brittle signals of listed VMs don't expire. */
void rk_place_expire_signals(struct rk_place *p, int64_t now_ms)
{
    if (!rk_vm_signals_len(&p->signals))
        return;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next)
        if (v->listed && v->signal &&
            (v->signal->limited || v->signal->leaving || v->signal->brittle))
            v->signal->last_received_ms = now_ms;
    rk_vm_signals_expire(&p->signals, now_ms);
    relink_signals(p, now_ms);
}
