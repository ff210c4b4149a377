#include "core/quarantine_impl.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* A suspect that does not recur within this time starts anew. Callers retry within
 * seconds; an hour for stopped requests also covers retries by an operator or from
 * a queue. */
#define SUSPECT_EXPIRY_MS (10 * 60 * RK_MS_PER_S)
#define STOPPED_EXPIRY_MS (60 * 60 * RK_MS_PER_S)
/* After a minute the VMs may run another version, which may not survive what its
 * predecessor did. */
#define HARMLESS_MS (60 * RK_MS_PER_S)

uint64_t rk_quarantine_hash(const struct rk_request_identity *parts)
{
    const char *const texts[] = {parts->org, parts->method, parts->host,
                                 parts->target};
    uint64_t h = 0;
    for (size_t i = 0; i < RK_ARRAY_LEN(texts); i++)
        h = rk_hash(h, texts[i], strlen(texts[i]) + 1);
    h = rk_hash(h, parts->body, parts->body_len);
    return h ? h : 1;
}

void rk_quarantine_format(uint64_t request, char out[RK_QUARANTINE_NAME_MAX])
{
    snprintf(out, RK_QUARANTINE_NAME_MAX, "%016" PRIx64, request);
}

struct rk_quarantine_row *rk_quarantine_find(struct rk_quarantine *q,
                                             uint64_t request)
{
    for (size_t i = 0; i < q->len; i++)
        if (q->rows[i].request == request)
            return &q->rows[i];
    return NULL;
}

/* ---- eviction ---- */

bool rk_quarantine_is_expired(const struct rk_quarantine_row *row, int64_t now_ms)
{
    int64_t last_ms =
        row->requested_ms > row->changed_ms ? row->requested_ms : row->changed_ms;
    return now_ms - last_ms >
           (row->stopped ? STOPPED_EXPIRY_MS : SUSPECT_EXPIRY_MS);
}

static void remove_row(struct rk_quarantine *q, struct rk_quarantine_row *row)
{
    *row = q->rows[--q->len];
}

void rk_quarantine_expire(struct rk_quarantine *q, int64_t now_ms)
{
    for (size_t i = q->len; i-- > 0;)
        if (rk_quarantine_is_expired(&q->rows[i], now_ms))
            remove_row(q, &q->rows[i]);
}

#define BUCKETS 64 /* organisations are counted by hash */

static size_t bucket_of(const struct rk_quarantine_row *row)
{
    return rk_hash_str(0, row->org) % BUCKETS;
}

/* Returns whether to evict a before b: suspects before stopped requests, then the
 * least recently changed. */
static bool evicts_before(const struct rk_quarantine_row *a,
                          const struct rk_quarantine_row *b)
{
    if (a->stopped != b->stopped)
        return b->stopped;
    return a->changed_ms < b->changed_ms;
}

/* Evicts a row of the organisation with the most rows, so an organisation that
 * sends many such requests displaces only its own. */
static void evict_row(struct rk_quarantine *q)
{
    struct rk_quarantine_row *victim = NULL;
    size_t rows[BUCKETS] = {0}, most = 0;
    for (size_t i = 0; i < q->len; i++)
        rows[bucket_of(&q->rows[i])]++;
    for (size_t i = 0; i < q->len; i++) {
        struct rk_quarantine_row *row = &q->rows[i];
        size_t n = rows[bucket_of(row)];
        if (n > most || (n == most && evicts_before(row, victim))) {
            most = n;
            victim = row;
        }
    }
    remove_row(q, victim);
}

static struct rk_quarantine_row *find_or_add(struct rk_quarantine *q,
                                             const struct rk_quarantine_row *names,
                                             int64_t now_ms)
{
    struct rk_quarantine_row *row = rk_quarantine_find(q, names->request);
    if (row)
        return row;
    rk_quarantine_expire(q, now_ms);
    if (q->len == RK_QUARANTINE_ROWS)
        evict_row(q);
    row = &q->rows[q->len++];
    *row =
        (struct rk_quarantine_row){.request = names->request, .changed_ms = now_ms};
    rk_strcpy(row->org, sizeof(row->org), names->org);
    rk_strcpy(row->route, sizeof(row->route), names->route);
    rk_strcpy(row->segment, sizeof(row->segment), names->segment);
    rk_strcpy(row->service, sizeof(row->service), names->service);
    return row;
}

/* ---- evidence ---- */

const struct rk_vm_end *rk_quarantine_find_end(const struct rk_quarantine_row *row,
                                               uint32_t vm)
{
    for (size_t i = 0; i < row->ends_len; i++)
        if (row->ends[i].vm == vm)
            return &row->ends[i];
    return NULL;
}

/* Returns the slot for a new end, or NULL if all recorded ends weigh at least as
 * much. */
static struct rk_vm_end *slot_for(struct rk_quarantine_row *row,
                                  enum rk_suspicion suspicion)
{
    if (row->ends_len < RK_QUARANTINE_ENDS)
        return &row->ends[row->ends_len++];
    for (size_t i = 0; i < row->ends_len; i++)
        if (row->ends[i].suspicion < suspicion)
            return &row->ends[i];
    return NULL;
}

/* Returns whether the end is new or weighs more than it was recorded with. */
static bool add_end(struct rk_quarantine_row *row, struct rk_vm_end end)
{
    const struct rk_vm_end *known = rk_quarantine_find_end(row, end.vm);
    if (known && known->suspicion >= end.suspicion)
        return false;
    struct rk_vm_end *to =
        known ? &row->ends[known - row->ends] : slot_for(row, end.suspicion);
    if (!to)
        return false;
    *to = end;
    return true;
}

/* Returns whether a segment accounts for all ends of VMs that had just begun a
 * request, and for more. The segment may then be why the request was stopped. */
static bool accounts_for(const struct rk_quarantine_row *segment,
                         const struct rk_quarantine_row *request)
{
    size_t common = 0;
    for (size_t i = 0; i < request->ends_len; i++) {
        if (request->ends[i].suspicion < RK_HAD_JUST_BEGUN)
            continue;
        const struct rk_vm_end *end =
            rk_quarantine_find_end(segment, request->ends[i].vm);
        if (!end || end->suspicion < RK_HAD_JUST_BEGUN)
            return false;
        common++;
    }
    return segment->ends_len > common;
}

static bool explains(const struct rk_quarantine_row *other,
                     const struct rk_quarantine_row *row,
                     const struct rk_vm_end *end)
{
    const struct rk_vm_end *cause = rk_quarantine_find_end(other, end->vm);
    if (!cause || cause->suspicion < RK_HAD_JUST_BEGUN)
        return false;
    return rk_quarantine_is_segment(other) || !rk_quarantine_is_segment(row) ||
           !accounts_for(row, other);
}

bool rk_quarantine_is_explained(const struct rk_quarantine *q,
                                const struct rk_quarantine_row *row,
                                const struct rk_vm_end *end)
{
    for (size_t i = 0; i < q->len; i++) {
        const struct rk_quarantine_row *other = &q->rows[i];
        if (other != row && other->stopped && explains(other, row, end))
            return true;
    }
    return false;
}

static int evidence(struct rk_quarantine *q, const struct rk_quarantine_row *row)
{
    int sum = 0;
    for (size_t i = 0; i < row->ends_len; i++)
        if (!rk_quarantine_is_explained(q, row, &row->ends[i]))
            sum += (int)row->ends[i].suspicion;
    return sum;
}

/* If the row is full, removes the ends that other requests explain. */
static void drop_explained(struct rk_quarantine *q, struct rk_quarantine_row *row)
{
    if (row->ends_len < RK_QUARANTINE_ENDS)
        return;
    for (size_t i = row->ends_len; i-- > 0;)
        if (rk_quarantine_is_explained(q, row, &row->ends[i]))
            row->ends[i] = row->ends[--row->ends_len];
}

/* Counts the other requests with at least two ends of VMs that had just begun
 * them. */
static int count_other_suspects(const struct rk_quarantine *q,
                                const struct rk_quarantine_row *except)
{
    int count = 0;
    for (size_t i = 0; i < q->len; i++) {
        const struct rk_quarantine_row *row = &q->rows[i];
        int ends = 0;
        for (size_t j = 0; j < row->ends_len; j++)
            ends += row->ends[j].suspicion == RK_HAD_JUST_BEGUN;
        count += row != except && !rk_quarantine_is_segment(row) && ends >= 2;
    }
    return count;
}

/* Returns the suspicion at which a row is stopped. */
static int limit(const struct rk_quarantine *q, const struct rk_quarantine_row *row)
{
    bool crowded = count_other_suspects(q, row) >= RK_QUARANTINE_CROWD_MIN;
    return RK_QUARANTINE_LIMIT + (crowded ? RK_HAD_JUST_BEGUN : 0);
}

static bool request_is_to_blame(struct rk_quarantine *q,
                                const struct rk_quarantine_row *row)
{
    int sum = evidence(q, row);
    return sum >= RK_QUARANTINE_LIMIT && sum >= limit(q, row);
}

/* Stops the request or segment if its evidence suffices; returns whether it did. */
static bool judge(struct rk_quarantine *q, struct rk_quarantine_row *row,
                  int64_t now_ms)
{
    if (row->stopped)
        return false;
    row->stopped = rk_quarantine_is_segment(row)
                       ? rk_quarantine_segment_is_to_blame(q, row, now_ms)
                       : request_is_to_blame(q, row);
    return row->stopped;
}

static bool is_harmless(const struct rk_quarantine *q, uint64_t request,
                        int64_t now_ms)
{
    const struct rk_harmless_request *s =
        &q->harmless[request % RK_QUARANTINE_HARMLESS];
    return s->request == request && now_ms - s->completed_ms < HARMLESS_MS;
}

bool rk_quarantine_add_end(struct rk_quarantine *q,
                           const struct rk_quarantine_row *names,
                           struct rk_vm_end end, int64_t now_ms)
{
    if (is_harmless(q, names->request, now_ms))
        return false;
    struct rk_quarantine_row *row = find_or_add(q, names, now_ms);
    drop_explained(q, row);
    if (!add_end(row, end))
        return false;
    row->changed_ms = now_ms;
    row->own = true;
    if (rk_quarantine_is_segment(row))
        rk_quarantine_apply_sound(q, row, now_ms);
    return judge(q, row, now_ms);
}

bool rk_quarantine_judge_segments(struct rk_quarantine *q, int64_t now_ms)
{
    bool stops = false;
    for (size_t i = 0; i < q->len; i++) {
        struct rk_quarantine_row *row = &q->rows[i];
        if (!rk_quarantine_is_segment(row) || !judge(q, row, now_ms))
            continue;
        row->changed_ms = now_ms;
        row->own = true;
        stops = true;
    }
    return stops;
}

bool rk_quarantine_is_stopped(struct rk_quarantine *q, uint64_t request,
                              int64_t now_ms)
{
    struct rk_quarantine_row *row = rk_quarantine_find(q, request);
    if (!row || !row->stopped)
        return false;
    row->requested_ms = now_ms;
    return true;
}

void rk_quarantine_reset_row(struct rk_quarantine_row *row, uint32_t generation)
{
    row->generation = generation;
    row->stopped = false;
    row->ends_len = 0;
}

void rk_quarantine_reset(struct rk_quarantine *q, uint64_t request, int64_t now_ms)
{
    struct rk_quarantine_row *row = rk_quarantine_find(q, request);
    if (!row || (!row->ends_len && !row->stopped))
        return;
    rk_quarantine_reset_row(row, row->generation + 1);
    row->changed_ms = now_ms;
    row->own = true;
}

void rk_quarantine_completed(struct rk_quarantine *q, uint64_t request,
                             int64_t now_ms)
{
    q->harmless[request % RK_QUARANTINE_HARMLESS] =
        (struct rk_harmless_request){.request = request, .completed_ms = now_ms};
    rk_quarantine_reset(q, request, now_ms);
}

bool rk_quarantine_is_near_limit(const struct rk_quarantine_row *row)
{
    int sum = 0;
    for (size_t i = 0; i < row->ends_len; i++)
        sum += (int)row->ends[i].suspicion;
    return row->stopped || 2 * sum >= RK_QUARANTINE_LIMIT;
}

void rk_quarantine_set_stored(struct rk_quarantine_row *row, bool stored,
                              int64_t era)
{
    row->stored = stored;
    row->stored_era = era;
}

/* Takes over that the store has a row's object. Peers keep sending what they knew
 * before a restore of the store, which says nothing of the restored one. Returns
 * whether anything changed. */
static bool merge_stored(struct rk_quarantine_row *row,
                         const struct rk_quarantine_row *remote)
{
    bool outdated = remote->stored_era < row->stored_era;
    bool known = row->stored && remote->stored_era == row->stored_era;
    if (!remote->stored || outdated || known)
        return false;
    rk_quarantine_set_stored(row, true, remote->stored_era);
    return true;
}

/* Merges the evidence of a row of the same generation; returns whether anything
 * changed. */
static bool merge_evidence(struct rk_quarantine_row *row,
                           const struct rk_quarantine_row *remote)
{
    bool changed = merge_stored(row, remote);
    changed = (remote->was_sound && !row->was_sound) || changed;
    row->was_sound = row->was_sound || remote->was_sound;
    changed = (remote->stopped && !row->stopped) || changed;
    row->stopped = row->stopped || remote->stopped;
    for (size_t i = 0; i < remote->ends_len; i++)
        changed = add_end(row, remote->ends[i]) || changed;
    return changed;
}

bool rk_quarantine_merge(struct rk_quarantine *q,
                         const struct rk_quarantine_row *row, bool own,
                         int64_t now_ms)
{
    struct rk_quarantine_row *known = rk_quarantine_find(q, row->request);
    bool is_empty = !row->ends_len && !row->stopped;
    if (known ? row->generation < known->generation : is_empty)
        return false; /* older than the last reset, or empty */
    known = find_or_add(q, row, now_ms);
    bool changed = row->generation > known->generation;
    if (changed) {
        rk_quarantine_reset_row(known, row->generation);
        known->stored = false; /* the node that reset it updates the store */
    }
    changed = merge_evidence(known, row) || changed;
    if (changed) {
        known->changed_ms = now_ms;
        known->own = own;
    }
    if (rk_quarantine_is_segment(known))
        changed = rk_quarantine_apply_sound(q, known, now_ms) || changed;
    bool newly_stopped = judge(q, known, now_ms);
    if (newly_stopped) {
        known->changed_ms = now_ms;
        known->own = true;
    }
    /* The peers do not know that the request completed here. */
    if (is_harmless(q, row->request, now_ms))
        rk_quarantine_reset(q, row->request, now_ms);
    return changed || newly_stopped;
}
