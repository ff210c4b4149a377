/* What VMs say of themselves, told to peers: what was just heard at once and a few
 * times, limits that stand once a second, so that who was cut off or starts again
 * learns of them. A row is 40 bytes; most of the time there is none. */
#include <json-c/linkhash.h>
#include <math.h>
#include <stdlib.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define FRESH_MS 1100 /* four times, as a link may be down */
#define STAYS_MS 1000
#define ROWS_MAX 64 /* a message, of each kind */

/* A message in the making. */
struct making {
    Rillknot__VmSignals told;
    Rillknot__VmSignal rows[2 * ROWS_MAX], *row_ptrs[2 * ROWS_MAX];
};

static void put_row(struct making *p, const struct rk_vm_signal *v, int64_t now_ms)
{
    Rillknot__VmSignal *out = p->row_ptrs[p->told.n_rows] =
        &p->rows[p->told.n_rows];
    p->told.n_rows++;
    rillknot__vm_signal__init(out);
    out->life = v->life;
    out->domain = (char *)v->domain;
    out->leaving = v->leaving;
    out->limit_known = v->limit_ms > 0;
    if (!out->limit_known)
        return;
    out->limited = v->limited;
    out->limit_per_s = v->limit_per_s;
    out->limit_age_ms = (uint32_t)(now_ms - v->limit_ms);
}

/* Bridges pass on what they hear; others tell what they heard of VMs themselves. */
static bool is_told_here(const struct rk_mesh *m, const struct rk_vm_signal *v)
{
    return v->own || m->bridge;
}

static void put_fresh(struct making *p, const struct rk_mesh *m, int64_t now_ms)
{
    struct lh_entry *e;
    size_t left = ROWS_MAX;
    lh_foreach (rk_signals_table(m->n->signals)->by_life, e) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        if (!left || now_ms - v->changed_ms >= FRESH_MS || !is_told_here(m, v))
            continue;
        left--;
        put_row(p, v, now_ms);
    }
}

/* Where there are many, some at a time, in turn. */
static void put_standing(struct making *p, struct rk_mesh *m, int64_t now_ms)
{
    struct lh_entry *e;
    size_t at = 0, left = ROWS_MAX;
    lh_foreach (rk_signals_table(m->n->signals)->by_life, e) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        if (!v->limited || now_ms - v->changed_ms < FRESH_MS || !is_told_here(m, v))
            continue;
        if (at++ < m->limits_from || !left)
            continue;
        left--;
        put_row(p, v, now_ms);
    }
    m->limits_from = left ? 0 : m->limits_from + ROWS_MAX;
}

void rk_signal_tell(struct rk_mesh *m, int64_t now_ms)
{
    if (!rk_vm_signals_len(rk_signals_table(m->n->signals)))
        return;
    struct making *p = rk_alloc(1, sizeof(*p));
    rillknot__vm_signals__init(&p->told);
    p->told.rows = p->row_ptrs;
    put_fresh(p, m, now_ms);
    if (now_ms - m->limits_ms >= STAYS_MS) {
        m->limits_ms = now_ms;
        put_standing(p, m, now_ms);
    }
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_VM_SIGNALS;
    frame.vm_signals = &p->told;
    if (p->told.n_rows)
        rk_mesh_send(m, &frame, rk_mesh_passes_on, NULL);
    free(p);
}

void rk_signal_take(struct rk_mesh *m, const Rillknot__VmSignals *told)
{
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < told->n_rows; i++) {
        const Rillknot__VmSignal *from = told->rows[i];
        struct rk_vm_signal v = {.life = from->life,
                                 .limited = from->limited,
                                 .limit_per_s = from->limit_per_s,
                                 .leaving = from->leaving};
        if (from->limit_known)
            v.limit_ms = now_ms - from->limit_age_ms;
        if (!isfinite(v.limit_per_s) || v.limit_per_s < 0) {
            RK_WARN("signal.rejected", RK_S("domain", from->domain));
            continue;
        }
        rk_strcpy(v.domain, sizeof(v.domain), from->domain);
        rk_signals_take(m->n->signals, &v, 1);
    }
    rk_signals_tick(m->n->signals);
}
