/* Messages about requests and prompt segments under which VMs ended. A row that
 * just changed is sent at once and a few times. Rows of requests that are stopped,
 * or close to it, are sent once a second for as long as they hold, so that nodes
 * that were cut off or restarted get them. A row has 40 to 90 bytes, or up to 500
 * for a segment; most of the time there is none. */
#include <stdlib.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

/* Time for which a changed row is sent with each tick of the mesh: four times, as a
 * link may be down. */
#define CHANGED_FOR_MS     1100
#define REPEAT_INTERVAL_MS 1000 /* for rows of requests stopped or close to it */
/* Changed rows per message: under 6 KB, sent four times after the end of a VM. */
#define CHANGED_ROWS_MAX 64
#define REPEAT_ROWS_MAX  16 /* repeated rows of each kind per message */

#define ROWS_MAX (CHANGED_ROWS_MAX + 2 * REPEAT_ROWS_MAX)

/* A message being built. */
struct message {
    Rillknot__Quarantine msg;
    Rillknot__QuarantineRow rows[ROWS_MAX], *row_ptrs[ROWS_MAX];
    uint32_t just_begun[ROWS_MAX][RK_QUARANTINE_ENDS];
    uint32_t may_have_begun[ROWS_MAX][RK_QUARANTINE_ENDS];
    Rillknot__SegmentEnd ends[ROWS_MAX][RK_QUARANTINE_ENDS],
        *end_ptrs[ROWS_MAX][RK_QUARANTINE_ENDS];
};

/* Encodes the ends of a segment's row. Clocks of nodes differ, so times are sent as
 * ages. */
static void encode_segment_ends(struct message *p, size_t at,
                                const struct rk_quarantine_row *row, int64_t now_ms)
{
    Rillknot__QuarantineRow *out = &p->rows[at];
    out->segment_ends = p->end_ptrs[at];
    out->n_segment_ends = row->ends_len;
    for (size_t i = 0; i < row->ends_len; i++) {
        const struct rk_vm_end *from = &row->ends[i];
        Rillknot__SegmentEnd *end = p->end_ptrs[at][i] = &p->ends[at][i];
        rillknot__segment_end__init(end);
        end->vm = from->vm;
        end->suspicion = from->suspicion;
        end->carrier = from->carrier;
        end->age_ms = (uint32_t)(now_ms - from->at_ms);
        end->ran_ms = (uint32_t)(from->at_ms - from->began_ms);
    }
}

static void encode_request_ends(struct message *p, size_t at,
                                const struct rk_quarantine_row *row)
{
    Rillknot__QuarantineRow *out = &p->rows[at];
    out->just_begun = p->just_begun[at];
    out->may_have_begun = p->may_have_begun[at];
    for (size_t i = 0; i < row->ends_len; i++) {
        if (row->ends[i].suspicion == RK_HAD_JUST_BEGUN)
            out->just_begun[out->n_just_begun++] = row->ends[i].vm;
        else
            out->may_have_begun[out->n_may_have_begun++] = row->ends[i].vm;
    }
}

static void encode_row(struct message *p, const struct rk_quarantine_row *row,
                       int64_t now_ms)
{
    size_t at = p->msg.n_rows++;
    Rillknot__QuarantineRow *out = p->row_ptrs[at] = &p->rows[at];
    rillknot__quarantine_row__init(out);
    out->request = row->request;
    out->org = (char *)row->org;
    out->route = (char *)row->route;
    out->cleared = row->generation;
    out->stopped = row->stopped;
    out->stored = row->stored;
    out->stored_era = (uint64_t)row->stored_era;
    out->segment = (char *)row->segment;
    out->service = (char *)row->service;
    out->was_sound = row->was_sound;
    if (rk_quarantine_is_segment(row))
        encode_segment_ends(p, at, row, now_ms);
    else
        encode_request_ends(p, at, row);
}

/* Returns whether to send a row as just changed. Bridges forward all rows; other
 * nodes send those that they observed themselves. */
static bool is_changed(const struct rk_mesh *m, const struct rk_quarantine_row *row,
                       int64_t now_ms)
{
    return now_ms - row->changed_ms < CHANGED_FOR_MS && (row->own || m->bridge);
}

/* Rows that still fit into a message. */
struct room {
    size_t changed, repeated;
};

static void fill_rows(struct message *p, const struct rk_mesh *m, bool segments,
                      bool stopped, struct room *left, int64_t now_ms)
{
    const struct rk_quarantine *q = rk_quarantines_table(m->n->quarantines);
    for (size_t i = q->len; i-- > 0;) {
        const struct rk_quarantine_row *row = &q->rows[i];
        if (rk_quarantine_is_segment(row) != segments || row->stopped != stopped)
            continue;
        if (rk_quarantine_is_near_limit(row) && left->repeated) {
            left->repeated--;
            encode_row(p, row, now_ms);
        } else if (is_changed(m, row, now_ms) && left->changed) {
            left->changed--;
            encode_row(p, row, now_ms);
        }
    }
}

/* Segments come first: they are few, and one of them may account for the ends of
 * many requests. Of each kind, what is stopped comes before what is suspected. */
static void fill(struct message *p, const struct rk_mesh *m, bool repeat,
                 int64_t now_ms)
{
    struct room left = {.changed = CHANGED_ROWS_MAX,
                        .repeated = repeat ? REPEAT_ROWS_MAX : 0};
    rillknot__quarantine__init(&p->msg);
    p->msg.rows = p->row_ptrs;
    fill_rows(p, m, true, true, &left, now_ms);
    fill_rows(p, m, true, false, &left, now_ms);
    left.repeated = repeat ? REPEAT_ROWS_MAX : 0;
    fill_rows(p, m, false, true, &left, now_ms);
    fill_rows(p, m, false, false, &left, now_ms);
}

void rk_quarantine_send(struct rk_mesh *m, int64_t now_ms)
{
    if (!rk_quarantines_table(m->n->quarantines)->len)
        return;
    bool repeat = now_ms - m->quarantine_sent_ms >= REPEAT_INTERVAL_MS;
    if (repeat)
        m->quarantine_sent_ms = now_ms;
    struct message *p = rk_alloc(1, sizeof(*p));
    fill(p, m, repeat, now_ms);
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_QUARANTINE;
    frame.quarantine = &p->msg;
    if (p->msg.n_rows)
        rk_mesh_send(m, &frame, rk_mesh_forwards_to, NULL);
    free(p);
}

static void decode_ends(struct rk_quarantine_row *row, const uint32_t *vms,
                        size_t len, enum rk_suspicion suspicion)
{
    for (size_t i = 0; i < len && row->ends_len < RK_QUARANTINE_ENDS; i++)
        row->ends[row->ends_len++] =
            (struct rk_vm_end){.vm = vms[i], .suspicion = suspicion};
}

static void decode_segment_ends(struct rk_quarantine_row *row,
                                const Rillknot__QuarantineRow *from, int64_t now_ms)
{
    for (size_t i = 0; i < from->n_segment_ends && i < RK_QUARANTINE_ENDS; i++) {
        const Rillknot__SegmentEnd *end = from->segment_ends[i];
        int64_t at_ms = now_ms - (int64_t)end->age_ms;
        row->ends[row->ends_len++] = (struct rk_vm_end){
            .vm = end->vm,
            .suspicion = end->suspicion >= RK_HAD_JUST_BEGUN ? RK_HAD_JUST_BEGUN
                                                             : RK_MAY_HAVE_BEGUN,
            .carrier = end->carrier,
            .began_ms = at_ms - (int64_t)end->ran_ms,
            .at_ms = at_ms};
    }
}

void rk_quarantine_receive(struct rk_mesh *m, const Rillknot__Quarantine *msg)
{
    for (size_t i = 0; i < msg->n_rows; i++) {
        const Rillknot__QuarantineRow *from = msg->rows[i];
        struct rk_quarantine_row row = {.request = from->request,
                                        .generation = from->cleared,
                                        .stopped = from->stopped,
                                        .stored = from->stored,
                                        .stored_era = (int64_t)from->stored_era,
                                        .was_sound = from->was_sound};
        rk_strcpy(row.org, sizeof(row.org), from->org);
        rk_strcpy(row.route, sizeof(row.route), from->route);
        rk_strcpy(row.segment, sizeof(row.segment), from->segment);
        rk_strcpy(row.service, sizeof(row.service), from->service);
        decode_segment_ends(&row, from, rk_mono_ms());
        decode_ends(&row, from->just_begun, from->n_just_begun, RK_HAD_JUST_BEGUN);
        decode_ends(&row, from->may_have_begun, from->n_may_have_begun,
                    RK_MAY_HAVE_BEGUN);
        rk_quarantines_merge(m->n->quarantines, &row, 1, false);
    }
}
