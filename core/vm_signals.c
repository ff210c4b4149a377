#include "core/vm_signals.h"

#include <json-c/linkhash.h>
#include <math.h>
#include <stdlib.h>

#define FIRST_ROWS 16
#define KEEP_MS    (120 * RK_MS_PER_S) /* after a VM was heard last */
/* A VM that takes less is tried at this pace, as only an answer tells that its
 * limit has risen. */
#define TRY_PER_S 0.1
/* Senders beyond requests a second: one of them may have no callers. */
#define SENDERS_MORE 3
#define STALE_MS     1000

static void free_row(struct lh_entry *e)
{
    free(lh_entry_v(e));
}

/* The table's keys are the lives themselves. */
static void *key_of(uint64_t life)
{
    return (void *)(uintptr_t)life;
}

struct rk_vm_signal *rk_vm_signals_find(const struct rk_vm_signals *s,
                                        uint64_t life)
{
    void *row = NULL;
    if (s->by_life)
        lh_table_lookup_ex(s->by_life, key_of(life), &row);
    return row;
}

/* Two values mark free places of the table. */
static bool is_key(uint64_t life)
{
    return key_of(life) != LH_EMPTY && key_of(life) != LH_FREED;
}

struct rk_vm_signal *rk_vm_signals_at(struct rk_vm_signals *s, uint64_t life,
                                      const char *domain, int64_t now_ms)
{
    struct rk_vm_signal *v = rk_vm_signals_find(s, life);
    if (v)
        return v;
    if (!is_key(life) || rk_vm_signals_len(s) >= RK_VM_SIGNALS_MAX)
        return NULL;
    if (!s->by_life)
        s->by_life = lh_kptr_table_new(FIRST_ROWS, free_row);
    v = rk_alloc(1, sizeof(*v));
    v->life = life;
    v->heard_ms = now_ms;
    rk_strcpy(v->domain, sizeof(v->domain), domain);
    lh_table_insert(s->by_life, key_of(life), v);
    return v;
}

/* ---- the limit ---- */

static int senders_of(double limit_per_s, int nodes)
{
    if (limit_per_s + SENDERS_MORE >= nodes)
        return nodes;
    return (int)limit_per_s + SENDERS_MORE;
}

static uint64_t weight(const struct rk_vm_signal *v, uint64_t node)
{
    return rk_hash(v->life, &node, sizeof(node));
}

/* By rendezvous hashing: the nodes of the greatest weight. */
int rk_vm_limit_part(const struct rk_vm_signal *v, uint64_t own,
                     const uint64_t *others, size_t len)
{
    uint64_t own_weight = weight(v, own);
    int senders = senders_of(v->limit_per_s, (int)len + 1), before = 0;
    for (size_t i = 0; i < len && before < senders; i++)
        before += weight(v, others[i]) > own_weight;
    return before < senders ? senders : 0;
}

void rk_vm_signal_set_senders(struct rk_vm_signal *v, int senders, int64_t now_ms)
{
    if (senders > 0 && v->senders == 0)
        v->part_from_ms = now_ms; /* of another node, that may just have sent */
    v->senders = senders;
}

bool rk_vm_signal_bars(const struct rk_vm_signal *v)
{
    return v->limited && v->senders <= 0;
}

/* Between two requests of one of the nodes that share the limit. */
static int64_t pace_ms(const struct rk_vm_signal *v)
{
    double limit_per_s = v->limit_per_s > TRY_PER_S ? v->limit_per_s : TRY_PER_S;
    int senders = v->senders > 0 ? v->senders : 1;
    return (int64_t)ceil(senders * RK_MS_PER_S / limit_per_s);
}

static int64_t limit_wait_ms(const struct rk_vm_signal *v, int64_t now_ms)
{
    if (!v->limited)
        return 0;
    if (v->senders == 0)
        return pace_ms(v);
    int64_t last_ms = v->sent_ms > v->part_from_ms ? v->sent_ms : v->part_from_ms;
    int64_t wait_ms = last_ms + pace_ms(v) - now_ms;
    if (v->senders == RK_SENDERS_UNKNOWN && wait_ms < 1)
        return 1;
    return wait_ms > 0 ? wait_ms : 0;
}

int64_t rk_vm_signal_wait_ms(const struct rk_vm_signal *v, int64_t now_ms)
{
    int64_t rest_ms = v->rest_until_ms - now_ms;
    int64_t wait_ms = limit_wait_ms(v, now_ms);
    return rest_ms > wait_ms ? rest_ms : wait_ms;
}

void rk_vm_signal_sent(struct rk_vm_signal *v, int64_t now_ms)
{
    v->sent_ms = now_ms;
}

bool rk_vm_signal_is_stale(const struct rk_vm_signal *v, int64_t now_ms)
{
    return v->limited && now_ms - v->limit_ms >= STALE_MS;
}

/* The part of a limit that was named just now is not known yet; its pace begins
 * now. */
static bool set_limit(struct rk_vm_signal *v, bool limited, double limit_per_s,
                      int64_t heard_ms, int64_t now_ms)
{
    v->limit_ms = heard_ms;
    if (v->limited == limited && v->limit_per_s == limit_per_s)
        return false;
    if (limited && !v->limited) {
        v->senders = RK_SENDERS_UNKNOWN;
        v->part_from_ms = now_ms;
    }
    v->limited = limited;
    v->limit_per_s = limit_per_s;
    v->changed_ms = now_ms;
    return true;
}

/* ---- what is heard ---- */

/* It never comes back. */
static bool set_leaving(struct rk_vm_signal *v, bool own, int64_t now_ms)
{
    if (v->leaving)
        return false;
    v->leaving = true;
    v->own = v->own || own;
    v->changed_ms = now_ms;
    return true;
}

static bool hear_limit(struct rk_vm_signal *v, const struct rk_vm_said *said,
                       int64_t now_ms)
{
    if (!said->limited && !said->unlimited)
        return false;
    double limit_per_s = said->limited ? said->limit_per_s : 0;
    bool changed = set_limit(v, said->limited, limit_per_s, now_ms, now_ms);
    v->own = v->own || changed;
    return changed;
}

unsigned rk_vm_signal_hear(struct rk_vm_signal *v, const struct rk_vm_said *said,
                           int64_t now_ms)
{
    unsigned changed = 0;
    v->heard_ms = now_ms;
    if (hear_limit(v, said, now_ms))
        changed |= RK_VM_LIMIT_CHANGED;
    if (said->leaving && set_leaving(v, true, now_ms))
        changed |= RK_VM_LEAVING_CHANGED;
    if (said->rest_ms > 0) {
        if (v->rest_until_ms <= now_ms)
            changed |= RK_VM_REST_CHANGED;
        if (v->rest_until_ms < now_ms + said->rest_ms)
            v->rest_until_ms = now_ms + said->rest_ms;
    }
    return changed;
}

unsigned rk_vm_signal_merge(struct rk_vm_signal *v, const struct rk_vm_signal *told,
                            int64_t now_ms)
{
    unsigned changed = 0;
    v->heard_ms = now_ms;
    if (told->limit_ms > v->limit_ms &&
        set_limit(v, told->limited, told->limit_per_s, told->limit_ms, now_ms)) {
        v->own = told->own;
        changed |= RK_VM_LIMIT_CHANGED;
    }
    if (told->leaving && set_leaving(v, told->own, now_ms))
        changed |= RK_VM_LEAVING_CHANGED;
    return changed;
}

/* ---- the table ---- */

void rk_vm_signals_forget(struct rk_vm_signals *s, int64_t now_ms)
{
    struct lh_entry *e, *next;
    if (!s->by_life)
        return;
    lh_foreach_safe (s->by_life, e, next) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        if (now_ms - v->heard_ms > KEEP_MS && now_ms >= v->rest_until_ms)
            lh_table_delete_entry(s->by_life, e);
    }
}

size_t rk_vm_signals_len(const struct rk_vm_signals *s)
{
    return s->by_life ? (size_t)lh_table_length(s->by_life) : 0;
}

void rk_vm_signals_free(struct rk_vm_signals *s)
{
    if (s->by_life)
        lh_table_free(s->by_life);
    s->by_life = NULL;
}
