/* Which prompt segment brings down VMs.
 *
 * A segment is suspected by each end of a VM that had just begun a request with it.
 * Most suspects are innocent: the VM was running other requests, and the crashing
 * segment has neighbours in its own prompt. It differs from them in two ways:
 *
 * - No VM lives that begins to answer on it. One that does so after the first of a
 *   segment's ends clears the segment.
 * - It accounts for all of the ends. A segment is not stopped while another suspect
 *   accounts for nearly all of its ends as well and is the more likely cause.
 *
 * Ends that come at once may have one other cause, such as a failure domain that
 * lost its power. So ends are counted in rounds: a round is an end of a VM that had
 * begun the request after the end of the round before. And they must not all be
 * under one request, as that may crash VMs by its own segment. */
#include "core/quarantine_impl.h"

/* What it takes to stop a segment. */
struct threshold {
    int suspicion;   /* sum over its ends */
    size_t carriers; /* different requests */
    size_t rounds;
    int64_t age_ms; /* ends count from this age on */
};

/* A segment on which no VM is known to have answered. */
static const struct threshold unknown_segment = {
    .suspicion = RK_QUARANTINE_LIMIT, .carriers = 2, .rounds = 3, .age_ms = 500};
/* One on which VMs have answered before. It is probably a common segment whose
 * requests are lost along with others, but it may have begun to crash VMs. By the
 * time that its ends count, peers have told of other suspects of the same ends, and
 * of VMs that answered on it and lived. */
static const struct threshold once_sound_segment = {
    .suspicion = 5 * RK_HAD_JUST_BEGUN, .carriers = 3, .rounds = 5, .age_ms = 1500};

/* A node that has started only now knows of no VM that answered on anything. */
#define LEARNING_MS 2000

/* How long an entry of a sound segment keeps its slot from others. */
#define SOUND_SLOT_MS 2000

/* For how long an answer on a segment shows that the segment was sound. */
#define SOUND_MS (10 * 60 * RK_MS_PER_S)

/* ---- the evidence against a segment ---- */

/* Ends of VMs under a segment that no stopped segment explains, by time. */
struct evidence {
    const struct rk_vm_end *ends[RK_QUARANTINE_ENDS];
    size_t len;
    int suspicion;
};

static int sum_suspicion(const struct rk_quarantine_row *row)
{
    int sum = 0;
    for (size_t i = 0; i < row->ends_len; i++)
        sum += (int)row->ends[i].suspicion;
    return sum;
}

static struct evidence collect_evidence(const struct rk_quarantine *q,
                                        const struct rk_quarantine_row *row,
                                        int64_t until_ms)
{
    struct evidence ev = {0};
    for (size_t i = 0; i < row->ends_len; i++) {
        const struct rk_vm_end *end = &row->ends[i];
        if (end->at_ms > until_ms || rk_quarantine_is_explained(q, row, end))
            continue;
        size_t at = ev.len++;
        for (; at > 0 && ev.ends[at - 1]->at_ms > end->at_ms; at--)
            ev.ends[at] = ev.ends[at - 1];
        ev.ends[at] = end;
        ev.suspicion += (int)end->suspicion;
    }
    return ev;
}

static size_t count_carriers(const struct evidence *ev)
{
    size_t count = 0;
    for (size_t i = 0; i < ev->len; i++) {
        size_t same = 0;
        while (ev->ends[same]->carrier != ev->ends[i]->carrier)
            same++;
        count += same == i;
    }
    return count;
}

static size_t count_rounds(const struct evidence *ev)
{
    size_t count = 0;
    int64_t last_end_ms = 0;
    for (size_t i = 0; i < ev->len; i++) {
        if (count && ev->ends[i]->began_ms <= last_end_ms)
            continue;
        last_end_ms = ev->ends[i]->at_ms;
        count++;
    }
    return count;
}

static bool reaches(const struct evidence *ev, const struct threshold *t)
{
    return ev->suspicion >= t->suspicion && count_carriers(ev) >= t->carriers &&
           count_rounds(ev) >= t->rounds;
}

/* ---- other suspects ---- */

/* Returns whether a segment accounts for at least three quarters of the ends of
 * another one. The node of a request may miss that its VM has ended. */
static bool covers(const struct rk_quarantine_row *row, const struct evidence *of)
{
    size_t covered = 0;
    for (size_t i = 0; i < of->len; i++)
        covered += rk_quarantine_find_end(row, of->ends[i]->vm) != NULL;
    return 4 * covered >= 3 * of->len;
}

/* Returns the number of answers on a segment that this node has observed. */
static uint32_t count_answers(const struct rk_quarantine *q,
                              const struct rk_quarantine_row *row)
{
    const struct rk_sound_segment *s =
        &q->sound[row->request % RK_QUARANTINE_SOUND];
    return s->key == row->request ? s->answers : 0;
}

/* Returns whether one number of answers is larger than another beyond chance. */
static bool is_clearly_more(uint32_t answers, uint32_t than)
{
    return answers > 2 * than + 4;
}

/* Returns whether `other`, which accounts for the ends of `row`, is the more likely
 * cause. Of two segments that were at the same ends, a frequent one is more likely
 * to have been there by chance. All nodes have to decide alike, so that they don't
 * stop both. */
static bool is_likelier(const struct rk_quarantine *q,
                        const struct rk_quarantine_row *other,
                        const struct rk_quarantine_row *row,
                        const struct evidence *ev, int64_t until_ms)
{
    if (other->was_sound != row->was_sound)
        return row->was_sound;
    uint32_t other_answers = count_answers(q, other);
    uint32_t answers = count_answers(q, row);
    if (is_clearly_more(answers, other_answers))
        return true;
    if (is_clearly_more(other_answers, answers))
        return false;
    int suspicion = collect_evidence(q, other, until_ms).suspicion;
    if (suspicion != ev->suspicion)
        return suspicion > ev->suspicion;
    return other->request < row->request;
}

static bool has_likelier_cause(const struct rk_quarantine *q,
                               const struct rk_quarantine_row *row,
                               const struct evidence *ev, int64_t until_ms)
{
    for (size_t i = 0; i < q->len; i++) {
        const struct rk_quarantine_row *other = &q->rows[i];
        if (other != row && rk_quarantine_is_segment(other) && !other->stopped &&
            covers(other, ev) && is_likelier(q, other, row, ev, until_ms))
            return true;
    }
    return false;
}

bool rk_quarantine_segment_is_to_blame(const struct rk_quarantine *q,
                                       const struct rk_quarantine_row *row,
                                       int64_t now_ms)
{
    const struct threshold *t =
        row->was_sound ? &once_sound_segment : &unknown_segment;
    if (sum_suspicion(row) < t->suspicion || now_ms - q->started_ms < LEARNING_MS)
        return false;
    int64_t until_ms = now_ms - t->age_ms;
    const struct evidence ev = collect_evidence(q, row, until_ms);
    return reaches(&ev, t) && !has_likelier_cause(q, row, &ev, until_ms);
}

/* ---- segments on which VMs answered and lived ---- */

static int64_t first_end_ms(const struct rk_quarantine_row *row)
{
    int64_t first_ms = row->ends[0].at_ms;
    for (size_t i = 1; i < row->ends_len; i++)
        if (row->ends[i].at_ms < first_ms)
            first_ms = row->ends[i].at_ms;
    return first_ms;
}

/* Notes that the segment was sound before its ends. If the segment was stopped by a
 * node that didn't know this, the evidence has to suffice once more. The platform's
 * store keeps no evidence; what is known only from there stays stopped. */
static void note_was_sound(const struct rk_quarantine *q,
                           struct rk_quarantine_row *row, int64_t now_ms)
{
    row->was_sound = true;
    if (!row->stopped || !row->ends_len ||
        rk_quarantine_segment_is_to_blame(q, row, now_ms))
        return;
    row->stopped = false;
    row->generation++;
}

bool rk_quarantine_apply_sound(const struct rk_quarantine *q,
                               struct rk_quarantine_row *row, int64_t now_ms)
{
    const struct rk_sound_segment *s =
        &q->sound[row->request % RK_QUARANTINE_SOUND];
    if (s->key != row->request || now_ms - s->seen_ms > SOUND_MS)
        return false;
    bool cleared = row->ends_len && s->began_ms > first_end_ms(row);
    if (!cleared && row->was_sound)
        return false;
    if (cleared) {
        rk_quarantine_reset_row(row, row->generation + 1);
        row->was_sound = true;
    } else {
        note_was_sound(q, row, now_ms);
    }
    row->changed_ms = now_ms;
    row->own = true;
    return true;
}

void rk_quarantine_segment_survived(struct rk_quarantine *q, uint64_t key,
                                    int64_t began_ms, int64_t now_ms)
{
    struct rk_sound_segment *s = &q->sound[key % RK_QUARANTINE_SOUND];
    if (s->key != key && s->key && now_ms - s->seen_ms < SOUND_SLOT_MS)
        return;
    if (s->key != key)
        *s = (struct rk_sound_segment){.key = key};
    s->answers++;
    if (began_ms > s->began_ms)
        s->began_ms = began_ms;
    s->seen_ms = now_ms;
    struct rk_quarantine_row *row = rk_quarantine_find(q, key);
    if (row)
        rk_quarantine_apply_sound(q, row, now_ms);
}
