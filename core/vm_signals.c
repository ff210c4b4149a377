#include "core/vm_signals.h"

#include <json-c/linkhash.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>

#define INITIAL_ROWS 16
/* How long a record is kept after the last answer of the VM or report about it. */
#define RETENTION_MS (120 * RK_MS_PER_S)
/* Requests per second to a VM with a lower limit. Some are sent all the same,
 * because only an answer shows that the limit was raised. */
#define PROBE_RATE_PER_S 0.1
/* Senders in addition to the requests per second, because some may have no
 * callers. */
#define EXTRA_SENDERS 3
/* A limit that was not confirmed for so long may have been lifted. */
#define LIMIT_STALE_MS 1000
/* Requests at the limit, of at most one a second, without an answer that confirms
 * it, after which nodes without a share ask the VM. The nodes that share the limit
 * get an answer to each request. */
#define UNCONFIRMED_REQUESTS 5
/* Of the refusals that a brittle VM stands, the part that nodes may cause. */
#define REFUSALS_USED_SHARE 0.5
/* Bounds of the time for which a node sends a brittle VM nothing after a refusal.
 */
#define REFUSED_WAIT_MIN_MS 200
#define REFUSED_WAIT_MAX_MS 10000

static void free_row(struct lh_entry *e)
{
    free(lh_entry_v(e));
}

/* Returns the table key of an incarnation: the hash itself in the place of a
 * pointer. */
static void *table_key(uint64_t incarnation)
{
    return (void *)(uintptr_t)incarnation;
}

struct rk_vm_signal *rk_vm_signals_find(const struct rk_vm_signals *s,
                                        uint64_t incarnation)
{
    void *row = NULL;
    if (s->by_incarnation)
        lh_table_lookup_ex(s->by_incarnation, table_key(incarnation), &row);
    return row;
}

/* Returns true unless the value is one of the two that mark free slots in the
 * table. */
static bool is_usable_key(uint64_t incarnation)
{
    return table_key(incarnation) != LH_EMPTY && table_key(incarnation) != LH_FREED;
}

struct rk_vm_signal *rk_vm_signals_get_or_add(struct rk_vm_signals *s,
                                              uint64_t incarnation,
                                              const char *domain, int64_t now_ms)
{
    struct rk_vm_signal *v = rk_vm_signals_find(s, incarnation);
    if (v)
        return v;
    if (!is_usable_key(incarnation) || rk_vm_signals_len(s) >= RK_VM_SIGNALS_MAX)
        return NULL;
    if (!s->by_incarnation)
        s->by_incarnation = lh_kptr_table_new(INITIAL_ROWS, free_row);
    v = rk_alloc(1, sizeof(*v));
    v->incarnation = incarnation;
    v->last_received_ms = now_ms;
    v->brittle_senders = RK_SENDERS_UNKNOWN;
    rk_strcpy(v->domain, sizeof(v->domain), domain);
    lh_table_insert(s->by_incarnation, table_key(incarnation), v);
    return v;
}

/* ---- limits ---- */

static int sender_count(double limit_per_s, int nodes)
{
    if (limit_per_s + EXTRA_SENDERS >= nodes)
        return nodes;
    return (int)limit_per_s + EXTRA_SENDERS;
}

static uint64_t node_weight(const struct rk_vm_signal *v, uint64_t node)
{
    return rk_hash(v->incarnation, &node, sizeof(node));
}

/* Senders are the nodes of the highest weight, by rendezvous hashing. */
int rk_vm_limit_senders(const struct rk_vm_signal *v, uint64_t own,
                        const uint64_t *others, size_t len)
{
    uint64_t own_weight = node_weight(v, own);
    int senders = sender_count(v->limit_per_s, (int)len + 1), ranked_before = 0;
    for (size_t i = 0; i < len && ranked_before < senders; i++)
        ranked_before += node_weight(v, others[i]) > own_weight;
    return ranked_before < senders ? senders : 0;
}

/* A share taken over from another node begins now, because that node may just have
 * sent a request. */
void rk_vm_signal_set_senders(struct rk_vm_signal *v, int senders, int64_t now_ms)
{
    if (senders > 0 && v->senders == 0)
        v->share_from_ms = now_ms;
    v->senders = senders;
}

bool rk_vm_signal_blocks(const struct rk_vm_signal *v)
{
    return v->limited && v->senders <= 0;
}

/* Returns the interval in ms between two requests of one sender. */
static int64_t send_interval_ms(const struct rk_vm_signal *v)
{
    double limit_per_s =
        v->limit_per_s > PROBE_RATE_PER_S ? v->limit_per_s : PROBE_RATE_PER_S;
    int senders = v->senders > 0 ? v->senders : 1;
    return (int64_t)ceil(senders * RK_MS_PER_S / limit_per_s);
}

bool rk_vm_limit_is_unconfirmed(const struct rk_vm_signal *v, int64_t now_ms)
{
    double per_s = fmin(1, fmax(v->limit_per_s, PROBE_RATE_PER_S));
    double unconfirmed_ms = (double)(now_ms - v->limit_confirmed_ms);
    return v->limited &&
           unconfirmed_ms >= UNCONFIRMED_REQUESTS * RK_MS_PER_S / per_s;
}

void rk_vm_signal_advance_share(struct rk_vm_signal *v, double part)
{
    v->share_from_ms -= (int64_t)(part * (double)send_interval_ms(v));
}

static int64_t limit_wait_ms(const struct rk_vm_signal *v, int64_t now_ms)
{
    if (!v->limited)
        return 0;
    if (v->senders == 0)
        return send_interval_ms(v);
    int64_t last_ms = v->sent_ms > v->share_from_ms ? v->sent_ms : v->share_from_ms;
    int64_t wait_ms = last_ms + send_interval_ms(v) - now_ms;
    if (v->senders == RK_SENDERS_UNKNOWN && wait_ms < 1)
        return 1;
    return wait_ms > 0 ? wait_ms : 0;
}

/* ---- brittle VMs ---- */

size_t rk_vm_brittle_senders_max(const struct rk_vm_signal *v, int64_t slots)
{
    if (slots <= 0)
        return 0;
    double max = (double)slots + floor(v->refusals_per_s * REFUSALS_USED_SHARE);
    return (size_t)fmin(max, RK_BRITTLE_SENDERS_MAX);
}

/* The nodes of the highest weight, by rendezvous hashing. */
size_t rk_vm_brittle_senders(const struct rk_vm_signal *v, const uint64_t *nodes,
                             size_t len, size_t max, size_t *out)
{
    uint64_t weights[RK_BRITTLE_SENDERS_MAX];
    size_t chosen = 0;
    for (size_t i = 0; i < len; i++) {
        size_t at =
            rk_ranks_insert(weights, &chosen, max, node_weight(v, nodes[i]));
        if (at == max)
            continue;
        memmove(&out[at + 1], &out[at], (chosen - 1 - at) * sizeof(*out));
        out[at] = i;
    }
    return chosen;
}

void rk_vm_signal_note_refused(struct rk_vm_signal *v, int nodes, int64_t now_ms)
{
    if (!v->brittle)
        return;
    double per_s =
        v->refusals_per_s * REFUSALS_USED_SHARE / (nodes > 0 ? nodes : 1);
    double wait_ms = per_s > 0 ? RK_MS_PER_S / per_s : REFUSED_WAIT_MAX_MS;
    wait_ms = fmin(fmax(wait_ms, REFUSED_WAIT_MIN_MS), REFUSED_WAIT_MAX_MS);
    v->refused_until_ms = now_ms + (int64_t)wait_ms;
}

int64_t rk_vm_signal_wait_ms(const struct rk_vm_signal *v, int64_t now_ms)
{
    int64_t wait_ms = limit_wait_ms(v, now_ms);
    int64_t cooldown_ms = v->cooldown_until_ms - now_ms;
    int64_t refused_ms = v->brittle ? v->refused_until_ms - now_ms : 0;
    if (cooldown_ms > wait_ms)
        wait_ms = cooldown_ms;
    return refused_ms > wait_ms ? refused_ms : wait_ms;
}

void rk_vm_signal_note_sent(struct rk_vm_signal *v, int64_t now_ms)
{
    v->sent_ms = now_ms;
}

bool rk_vm_signal_is_stale(const struct rk_vm_signal *v, int64_t now_ms)
{
    return v->limited && now_ms - v->limit_confirmed_ms >= LIMIT_STALE_MS;
}

/* This node's share of a newly advertised limit is not known yet. The send
 * interval begins now. */
static bool set_limit(struct rk_vm_signal *v, bool limited, double limit_per_s,
                      int64_t answer_ms, int64_t now_ms)
{
    v->limit_confirmed_ms = answer_ms;
    if (v->limited == limited && v->limit_per_s == limit_per_s)
        return false;
    if (limited && !v->limited) {
        v->senders = RK_SENDERS_UNKNOWN;
        v->share_from_ms = now_ms;
    }
    v->limited = limited;
    v->limit_per_s = limit_per_s;
    v->changed_ms = now_ms;
    return true;
}

static bool set_brittle(struct rk_vm_signal *v, bool brittle, double refusals_per_s,
                        int64_t answer_ms, int64_t now_ms)
{
    v->brittle_confirmed_ms = answer_ms;
    if (v->brittle == brittle && v->refusals_per_s == refusals_per_s)
        return false;
    v->brittle = brittle;
    v->refusals_per_s = refusals_per_s;
    v->changed_ms = now_ms;
    return true;
}

/* ---- received signals ---- */

/* Leaving is final for an incarnation. */
static bool set_leaving(struct rk_vm_signal *v, bool own, int64_t now_ms)
{
    if (v->leaving)
        return false;
    v->leaving = true;
    v->is_own = v->is_own || own;
    v->changed_ms = now_ms;
    return true;
}

static bool apply_advertised_limit(struct rk_vm_signal *v,
                                   const struct rk_vm_advertised *advertised,
                                   int64_t now_ms)
{
    if (!advertised->limited && !advertised->unlimited)
        return false;
    double limit_per_s = advertised->limited ? advertised->limit_per_s : 0;
    bool changed = set_limit(v, advertised->limited, limit_per_s, now_ms, now_ms);
    v->is_own = v->is_own || changed;
    return changed;
}

static bool apply_advertised_brittle(struct rk_vm_signal *v,
                                     const struct rk_vm_advertised *advertised,
                                     int64_t now_ms)
{
    if (!advertised->brittle && !advertised->sturdy)
        return false;
    double refusals_per_s = advertised->brittle ? advertised->refusals_per_s : 0;
    bool changed =
        set_brittle(v, advertised->brittle, refusals_per_s, now_ms, now_ms);
    v->is_own = v->is_own || changed;
    return changed;
}

unsigned rk_vm_signal_apply(struct rk_vm_signal *v,
                            const struct rk_vm_advertised *advertised,
                            int64_t now_ms)
{
    unsigned changed = 0;
    v->last_received_ms = now_ms;
    if (apply_advertised_limit(v, advertised, now_ms))
        changed |= RK_VM_LIMIT_CHANGED;
    if (apply_advertised_brittle(v, advertised, now_ms))
        changed |= RK_VM_BRITTLE_CHANGED;
    if (advertised->leaving && set_leaving(v, true, now_ms))
        changed |= RK_VM_LEAVING_CHANGED;
    if (advertised->cooldown_ms > 0) {
        if (v->cooldown_until_ms <= now_ms)
            changed |= RK_VM_COOLDOWN_CHANGED;
        if (v->cooldown_until_ms < now_ms + advertised->cooldown_ms)
            v->cooldown_until_ms = now_ms + advertised->cooldown_ms;
    }
    return changed;
}

unsigned rk_vm_signal_merge(struct rk_vm_signal *v,
                            const struct rk_vm_signal *reported, int64_t now_ms)
{
    unsigned changed = 0;
    v->last_received_ms = now_ms;
    if (reported->limit_confirmed_ms > v->limit_confirmed_ms &&
        set_limit(v, reported->limited, reported->limit_per_s,
                  reported->limit_confirmed_ms, now_ms)) {
        v->is_own = reported->is_own;
        changed |= RK_VM_LIMIT_CHANGED;
    }
    if (reported->brittle_confirmed_ms > v->brittle_confirmed_ms &&
        set_brittle(v, reported->brittle, reported->refusals_per_s,
                    reported->brittle_confirmed_ms, now_ms)) {
        v->is_own = reported->is_own;
        changed |= RK_VM_BRITTLE_CHANGED;
    }
    if (reported->leaving && set_leaving(v, reported->is_own, now_ms))
        changed |= RK_VM_LEAVING_CHANGED;
    return changed;
}

/* ---- table ---- */

void rk_vm_signals_expire(struct rk_vm_signals *s, int64_t now_ms)
{
    struct lh_entry *e, *next;
    if (!s->by_incarnation)
        return;
    lh_foreach_safe (s->by_incarnation, e, next) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        if (now_ms - v->last_received_ms > RETENTION_MS &&
            now_ms >= v->cooldown_until_ms)
            lh_table_delete_entry(s->by_incarnation, e);
    }
}

size_t rk_vm_signals_len(const struct rk_vm_signals *s)
{
    return s->by_incarnation ? (size_t)lh_table_length(s->by_incarnation) : 0;
}

void rk_vm_signals_free(struct rk_vm_signals *s)
{
    if (s->by_incarnation)
        lh_table_free(s->by_incarnation);
    s->by_incarnation = NULL;
}
