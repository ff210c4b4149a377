#include "core/vm_signals.h"

#include <json-c/linkhash.h>
#include <stdlib.h>

#define FIRST_ROWS 16
#define KEEP_MS    (120 * RK_MS_PER_S) /* after a VM was heard last */

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

static bool hear_limit(struct rk_vm_signal *v, const struct rk_vm_said *said,
                       int64_t now_ms)
{
    if (!said->limited && !said->unlimited)
        return false;
    double limit_per_s = said->limited ? said->limit_per_s : 0;
    bool changed = v->limited != said->limited || v->limit_per_s != limit_per_s;
    v->limited = said->limited;
    v->limit_per_s = limit_per_s;
    v->limit_ms = now_ms;
    return changed;
}

unsigned rk_vm_signal_hear(struct rk_vm_signal *v, const struct rk_vm_said *said,
                           int64_t now_ms)
{
    unsigned changed = 0;
    v->heard_ms = now_ms;
    if (hear_limit(v, said, now_ms))
        changed |= RK_VM_LIMIT_CHANGED;
    if (said->leaving && !v->leaving)
        changed |= RK_VM_LEAVING_CHANGED;
    v->leaving = v->leaving || said->leaving;
    if (said->rest_ms > 0) {
        if (v->rest_until_ms <= now_ms)
            changed |= RK_VM_REST_CHANGED;
        if (v->rest_until_ms < now_ms + said->rest_ms)
            v->rest_until_ms = now_ms + said->rest_ms;
    }
    return changed;
}

void rk_vm_signals_forget(struct rk_vm_signals *s, int64_t now_ms)
{
    struct lh_entry *e, *next;
    if (!s->by_life)
        return;
    lh_foreach_safe(s->by_life, e, next)
    {
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
