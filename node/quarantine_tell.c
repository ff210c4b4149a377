/* Requests under which VMs ended, told to peers: what was just learnt at once and a
 * few times; those that are near being stopped, or are, once a second for good, so
 * that who was cut off or starts again learns of them. A row is 40 to 90 bytes;
 * most of the time there is none. */
#include <stdlib.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define FRESH_MS  1100 /* four times, as a link may be down */
#define STAYS_MS  1000
#define FRESH_MAX 64 /* rows a message: under 6 KB, four times after a VM's end */
#define STAYS_MAX 16

/* A message in the making. */
struct making {
    Rillknot__Quarantine told;
    Rillknot__QuarantineRow rows[FRESH_MAX + STAYS_MAX],
        *row_ptrs[FRESH_MAX + STAYS_MAX];
    uint32_t just_begun[FRESH_MAX + STAYS_MAX][RK_QUARANTINE_ENDS];
    uint32_t may_have_begun[FRESH_MAX + STAYS_MAX][RK_QUARANTINE_ENDS];
};

static void put_row(struct making *p, const struct rk_quarantine_row *row)
{
    size_t at = p->told.n_rows++;
    Rillknot__QuarantineRow *out = p->row_ptrs[at] = &p->rows[at];
    rillknot__quarantine_row__init(out);
    out->request = row->request;
    out->org = (char *)row->org;
    out->route = (char *)row->route;
    out->cleared = row->cleared;
    out->stopped = row->stopped;
    out->stored = row->stored;
    out->just_begun = p->just_begun[at];
    out->may_have_begun = p->may_have_begun[at];
    for (size_t i = 0; i < row->ends_len; i++) {
        if (row->ends[i].suspicion == RK_HAD_JUST_BEGUN)
            out->just_begun[out->n_just_begun++] = row->ends[i].vm;
        else
            out->may_have_begun[out->n_may_have_begun++] = row->ends[i].vm;
    }
}

/* Bridges pass on what they hear; others tell what they saw. */
static bool is_fresh(const struct rk_mesh *m, const struct rk_quarantine_row *row,
                     int64_t now_ms)
{
    return now_ms - row->changed_ms < FRESH_MS && (row->own || m->bridge);
}

static void fill(struct making *p, const struct rk_mesh *m, bool stays,
                 int64_t now_ms)
{
    const struct rk_quarantine *q = rk_quarantines_table(m->n->quarantines);
    size_t fresh_left = FRESH_MAX, stays_left = stays ? STAYS_MAX : 0;
    rillknot__quarantine__init(&p->told);
    p->told.rows = p->row_ptrs;
    for (size_t i = q->len; i-- > 0;) {
        const struct rk_quarantine_row *row = &q->rows[i];
        bool near = rk_quarantine_is_near(row);
        if (near && stays_left) {
            stays_left--;
            put_row(p, row);
        } else if (is_fresh(m, row, now_ms) && fresh_left) {
            fresh_left--;
            put_row(p, row);
        }
    }
}

void rk_quarantine_tell(struct rk_mesh *m, int64_t now_ms)
{
    if (!rk_quarantines_table(m->n->quarantines)->len)
        return;
    bool stays = now_ms - m->quarantine_ms >= STAYS_MS;
    if (stays)
        m->quarantine_ms = now_ms;
    struct making *p = rk_alloc(1, sizeof(*p));
    fill(p, m, stays, now_ms);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_QUARANTINE;
    frame.quarantine = &p->told;
    if (p->told.n_rows)
        rk_mesh_send(m, &frame, rk_mesh_passes_on, NULL);
    free(p);
}

static void read_ends(struct rk_quarantine_row *row, const uint32_t *vms,
                      size_t len, enum rk_suspicion suspicion)
{
    for (size_t i = 0; i < len && row->ends_len < RK_QUARANTINE_ENDS; i++)
        row->ends[row->ends_len++] =
            (struct rk_vm_end){.vm = vms[i], .suspicion = suspicion};
}

void rk_quarantine_take(struct rk_mesh *m, const Rillknot__Quarantine *told)
{
    for (size_t i = 0; i < told->n_rows; i++) {
        const Rillknot__QuarantineRow *from = told->rows[i];
        struct rk_quarantine_row row = {.request = from->request,
                                        .cleared = from->cleared,
                                        .stopped = from->stopped,
                                        .stored = from->stored};
        rk_strcpy(row.org, sizeof(row.org), from->org);
        rk_strcpy(row.route, sizeof(row.route), from->route);
        read_ends(&row, from->just_begun, from->n_just_begun, RK_HAD_JUST_BEGUN);
        read_ends(&row, from->may_have_begun, from->n_may_have_begun,
                  RK_MAY_HAVE_BEGUN);
        rk_quarantines_take(m->n->quarantines, &row, 1, false);
    }
}
