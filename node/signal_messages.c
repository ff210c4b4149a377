/* Messages about the signals that VMs advertise in their answers. A signal that
 * just changed is sent at once and a few times. A limit is sent once a second for
 * as long as it holds, and that a VM is brittle likewise, so that nodes that were
 * cut off or restarted get it. A row has 40 bytes; most of the time there is none.
 */
#include <json-c/linkhash.h>
#include <math.h>
#include <stdlib.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

/* Time for which a changed signal is sent with each tick of the mesh: four times,
 * as a link may be down. */
#define CHANGED_FOR_MS     1100
#define REPEAT_INTERVAL_MS 1000 /* for limits */
#define ROWS_MAX           64   /* per message, of each kind */

/* A message being built. */
struct message {
    Rillknot__VmSignals msg;
    Rillknot__VmSignal rows[2 * ROWS_MAX], *row_ptrs[2 * ROWS_MAX];
};

static void add_row(struct message *p, const struct rk_vm_signal *v, int64_t now_ms)
{
    Rillknot__VmSignal *out = p->row_ptrs[p->msg.n_rows] = &p->rows[p->msg.n_rows];
    p->msg.n_rows++;
    rillknot__vm_signal__init(out);
    out->life = v->incarnation;
    out->domain = (char *)v->domain;
    out->leaving = v->leaving;
    out->limit_known = v->limit_confirmed_ms > 0;
    if (out->limit_known) {
        out->limited = v->limited;
        out->limit_per_s = v->limit_per_s;
        out->limit_age_ms = (uint32_t)(now_ms - v->limit_confirmed_ms);
    }
    out->brittle_known = v->brittle_confirmed_ms > 0;
    if (out->brittle_known) {
        out->brittle = v->brittle;
        out->refusals_per_s = v->refusals_per_s;
        out->brittle_age_ms = (uint32_t)(now_ms - v->brittle_confirmed_ms);
    }
}

/* Bridges forward all signals; other nodes send those that they got from VMs. */
static bool is_sent_here(const struct rk_mesh *m, const struct rk_vm_signal *v)
{
    return v->is_own || m->bridge;
}

static void add_changed(struct message *p, const struct rk_mesh *m, int64_t now_ms)
{
    struct lh_entry *e;
    size_t left = ROWS_MAX;
    lh_foreach (rk_signals_table(m->n->signals)->by_incarnation, e) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        if (!left || now_ms - v->changed_ms >= CHANGED_FOR_MS ||
            !is_sent_here(m, v))
            continue;
        left--;
        add_row(p, v, now_ms);
    }
}

/* Adds limits that hold, and brittle VMs. If they don't fit into one message,
 * successive messages continue with the next ones. */
static void add_limits(struct message *p, struct rk_mesh *m, int64_t now_ms)
{
    struct lh_entry *e;
    size_t at = 0, left = ROWS_MAX;
    lh_foreach (rk_signals_table(m->n->signals)->by_incarnation, e) {
        const struct rk_vm_signal *v = lh_entry_v(e);
        if ((!v->limited && !v->brittle) ||
            now_ms - v->changed_ms < CHANGED_FOR_MS || !is_sent_here(m, v))
            continue;
        if (at++ < m->limits_offset || !left)
            continue;
        left--;
        add_row(p, v, now_ms);
    }
    m->limits_offset = left ? 0 : m->limits_offset + ROWS_MAX;
}

void rk_signal_send(struct rk_mesh *m, int64_t now_ms)
{
    if (!rk_vm_signals_len(rk_signals_table(m->n->signals)))
        return;
    struct message *p = rk_alloc(1, sizeof(*p));
    rillknot__vm_signals__init(&p->msg);
    p->msg.rows = p->row_ptrs;
    add_changed(p, m, now_ms);
    if (now_ms - m->limits_sent_ms >= REPEAT_INTERVAL_MS) {
        m->limits_sent_ms = now_ms;
        add_limits(p, m, now_ms);
    }
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_VM_SIGNALS;
    frame.vm_signals = &p->msg;
    if (p->msg.n_rows)
        rk_mesh_send(m, &frame, rk_mesh_forwards_to, NULL);
    free(p);
}

void rk_signal_receive(struct rk_mesh *m, const Rillknot__VmSignals *msg)
{
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < msg->n_rows; i++) {
        const Rillknot__VmSignal *from = msg->rows[i];
        struct rk_vm_signal v = {.incarnation = from->life,
                                 .limited = from->limited,
                                 .limit_per_s = from->limit_per_s,
                                 .leaving = from->leaving,
                                 .brittle = from->brittle,
                                 .refusals_per_s = from->refusals_per_s};
        if (from->limit_known)
            v.limit_confirmed_ms = now_ms - from->limit_age_ms;
        if (from->brittle_known)
            v.brittle_confirmed_ms = now_ms - from->brittle_age_ms;
        if (!isfinite(v.limit_per_s) || v.limit_per_s < 0 ||
            !isfinite(v.refusals_per_s) || v.refusals_per_s < 0) {
            RK_WARN("signal.rejected", RK_S("domain", from->domain));
            continue;
        }
        rk_strcpy(v.domain, sizeof(v.domain), from->domain);
        rk_signals_merge(m->n->signals, &v, 1);
    }
    rk_signals_tick(m->n->signals);
}
