#include "core/quarantine.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

/* A suspect that isn't seen again for so long begins anew. Callers ask again within
 * seconds; an hour covers those that an operator or a queue sends again. */
#define SUSPECT_KEPT_MS (10 * 60 * RK_MS_PER_S)
#define STOPPED_KEPT_MS (60 * 60 * RK_MS_PER_S)
/* Later, VMs of another version may not survive what their predecessors did. */
#define SOUND_MS (60 * RK_MS_PER_S)

uint64_t rk_quarantine_request(const struct rk_request_parts *parts)
{
    const char *const texts[] = {parts->org, parts->method, parts->host,
                                 parts->target};
    uint64_t h = 0;
    for (size_t i = 0; i < RK_ARRAY_LEN(texts); i++)
        h = rk_hash(h, texts[i], strlen(texts[i]) + 1);
    h = rk_hash(h, parts->body, parts->body_len);
    return h ? h : 1;
}

void rk_quarantine_name(uint64_t request, char out[RK_QUARANTINE_NAME])
{
    snprintf(out, RK_QUARANTINE_NAME, "%016" PRIx64, request);
}

struct rk_quarantine_row *rk_quarantine_find(struct rk_quarantine *q,
                                             uint64_t request)
{
    for (size_t i = 0; i < q->len; i++)
        if (q->rows[i].request == request)
            return &q->rows[i];
    return NULL;
}

/* ---- room ---- */

bool rk_quarantine_is_over(const struct rk_quarantine_row *row, int64_t now_ms)
{
    int64_t last_ms =
        row->asked_ms > row->changed_ms ? row->asked_ms : row->changed_ms;
    return now_ms - last_ms > (row->stopped ? STOPPED_KEPT_MS : SUSPECT_KEPT_MS);
}

static void remove_row(struct rk_quarantine *q, struct rk_quarantine_row *row)
{
    *row = q->rows[--q->len];
}

void rk_quarantine_expire(struct rk_quarantine *q, int64_t now_ms)
{
    for (size_t i = q->len; i-- > 0;)
        if (rk_quarantine_is_over(&q->rows[i], now_ms))
            remove_row(q, &q->rows[i]);
}

#define BUCKETS 64 /* organisations are counted by hash */

static size_t bucket_of(const struct rk_quarantine_row *row)
{
    return rk_hash_str(0, row->org) % BUCKETS;
}

/* Should a go before b? A suspect goes before one that is stopped. */
static bool goes_before(const struct rk_quarantine_row *a,
                        const struct rk_quarantine_row *b)
{
    if (a->stopped != b->stopped)
        return b->stopped;
    return a->changed_ms < b->changed_ms;
}

/* One organisation that sends many such requests pushes out its own. */
static void make_room(struct rk_quarantine *q)
{
    struct rk_quarantine_row *victim = NULL;
    size_t rows[BUCKETS] = {0}, most = 0;
    for (size_t i = 0; i < q->len; i++)
        rows[bucket_of(&q->rows[i])]++;
    for (size_t i = 0; i < q->len; i++) {
        struct rk_quarantine_row *row = &q->rows[i];
        size_t n = rows[bucket_of(row)];
        if (n > most || (n == most && goes_before(row, victim))) {
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
        make_room(q);
    row = &q->rows[q->len++];
    *row =
        (struct rk_quarantine_row){.request = names->request, .changed_ms = now_ms};
    rk_strcpy(row->org, sizeof(row->org), names->org);
    rk_strcpy(row->route, sizeof(row->route), names->route);
    return row;
}

/* ---- evidence ---- */

static struct rk_vm_end *find_end(struct rk_quarantine_row *row, uint32_t vm)
{
    for (size_t i = 0; i < row->ends_len; i++)
        if (row->ends[i].vm == vm)
            return &row->ends[i];
    return NULL;
}

/* Where an end that isn't known goes; NULL: all that are known say as much. */
static struct rk_vm_end *place_for(struct rk_quarantine_row *row,
                                   enum rk_suspicion suspicion)
{
    if (row->ends_len < RK_QUARANTINE_ENDS)
        return &row->ends[row->ends_len++];
    for (size_t i = 0; i < row->ends_len; i++)
        if (row->ends[i].suspicion < suspicion)
            return &row->ends[i];
    return NULL;
}

/* True if it was not known, or spoke less against the request. */
static bool add_end(struct rk_quarantine_row *row, struct rk_vm_end end)
{
    struct rk_vm_end *known = find_end(row, end.vm);
    if (known && known->suspicion >= end.suspicion)
        return false;
    struct rk_vm_end *to = known ? known : place_for(row, end.suspicion);
    if (!to)
        return false;
    *to = end;
    return true;
}

/* Did a VM end under a request that is stopped, and had just begun it? Then no
 * other is to be suspected. */
static bool is_explained(struct rk_quarantine *q,
                         const struct rk_quarantine_row *but, uint32_t vm)
{
    for (size_t i = 0; i < q->len; i++) {
        struct rk_quarantine_row *row = &q->rows[i];
        if (row == but || !row->stopped)
            continue;
        const struct rk_vm_end *end = find_end(row, vm);
        if (end && end->suspicion == RK_HAD_JUST_BEGUN)
            return true;
    }
    return false;
}

static int evidence(struct rk_quarantine *q, const struct rk_quarantine_row *row)
{
    int sum = 0;
    for (size_t i = 0; i < row->ends_len; i++)
        if (!is_explained(q, row, row->ends[i].vm))
            sum += (int)row->ends[i].suspicion;
    return sum;
}

/* Where there is no room for another end, those go that speak against others. */
static void drop_explained(struct rk_quarantine *q, struct rk_quarantine_row *row)
{
    if (row->ends_len < RK_QUARANTINE_ENDS)
        return;
    for (size_t i = row->ends_len; i-- > 0;)
        if (is_explained(q, row, row->ends[i].vm))
            row->ends[i] = row->ends[--row->ends_len];
}

/* Other requests that two VMs or more ended under. */
static int count_beside(const struct rk_quarantine *q,
                        const struct rk_quarantine_row *but)
{
    int count = 0;
    for (size_t i = 0; i < q->len; i++) {
        const struct rk_quarantine_row *row = &q->rows[i];
        int ends = 0;
        for (size_t j = 0; j < row->ends_len; j++)
            ends += row->ends[j].suspicion == RK_HAD_JUST_BEGUN;
        count += row != but && ends >= 2;
    }
    return count;
}

/* What the ends under a request have to come to. */
static int limit(const struct rk_quarantine *q, const struct rk_quarantine_row *row)
{
    bool crowded = count_beside(q, row) >= RK_QUARANTINE_CROWD;
    return RK_QUARANTINE_LIMIT + (crowded ? RK_HAD_JUST_BEGUN : 0);
}

/* True if it is stopped from now on. */
static bool judge(struct rk_quarantine *q, struct rk_quarantine_row *row)
{
    int sum = row->stopped ? 0 : evidence(q, row);
    if (sum < RK_QUARANTINE_LIMIT || sum < limit(q, row))
        return false;
    row->stopped = true;
    return true;
}

static bool is_sound(const struct rk_quarantine *q, uint64_t request,
                     int64_t now_ms)
{
    const struct rk_sound_request *s = &q->sound[request % RK_QUARANTINE_SOUND];
    return s->request == request && now_ms - s->ran_ms < SOUND_MS;
}

bool rk_quarantine_note(struct rk_quarantine *q,
                        const struct rk_quarantine_row *names, struct rk_vm_end end,
                        int64_t now_ms)
{
    if (is_sound(q, names->request, now_ms))
        return false;
    struct rk_quarantine_row *row = find_or_add(q, names, now_ms);
    drop_explained(q, row);
    if (!add_end(row, end))
        return false;
    row->changed_ms = now_ms;
    row->own = true;
    return judge(q, row);
}

bool rk_quarantine_stops(struct rk_quarantine *q, uint64_t request, int64_t now_ms)
{
    struct rk_quarantine_row *row = rk_quarantine_find(q, request);
    if (!row || !row->stopped)
        return false;
    row->asked_ms = now_ms;
    return true;
}

static void reset_row(struct rk_quarantine_row *row, uint32_t cleared)
{
    row->cleared = cleared;
    row->stopped = false;
    row->ends_len = 0;
}

void rk_quarantine_clear(struct rk_quarantine *q, uint64_t request, int64_t now_ms)
{
    struct rk_quarantine_row *row = rk_quarantine_find(q, request);
    if (!row || (!row->ends_len && !row->stopped))
        return;
    reset_row(row, row->cleared + 1);
    row->changed_ms = now_ms;
    row->own = true;
}

void rk_quarantine_ran(struct rk_quarantine *q, uint64_t request, int64_t now_ms)
{
    q->sound[request % RK_QUARANTINE_SOUND] =
        (struct rk_sound_request){.request = request, .ran_ms = now_ms};
    rk_quarantine_clear(q, request, now_ms);
}

bool rk_quarantine_is_near(const struct rk_quarantine_row *row)
{
    int sum = 0;
    for (size_t i = 0; i < row->ends_len; i++)
        sum += (int)row->ends[i].suspicion;
    return row->stopped || 2 * sum >= RK_QUARANTINE_LIMIT;
}

/* Take over what a row of the same generation tells; true if some of it is news. */
static bool take_evidence(struct rk_quarantine_row *row,
                          const struct rk_quarantine_row *told)
{
    bool news = (told->stopped && !row->stopped) || (told->stored && !row->stored);
    row->stopped = row->stopped || told->stopped;
    row->stored = row->stored || told->stored;
    for (size_t i = 0; i < told->ends_len; i++)
        news = add_end(row, told->ends[i]) || news;
    return news;
}

bool rk_quarantine_merge(struct rk_quarantine *q,
                         const struct rk_quarantine_row *row, bool own,
                         int64_t now_ms)
{
    struct rk_quarantine_row *known = rk_quarantine_find(q, row->request);
    bool says_nothing = !row->ends_len && !row->stopped;
    if (known ? row->cleared < known->cleared : says_nothing)
        return false; /* of before it was cleared, or nothing */
    known = find_or_add(q, row, now_ms);
    bool news = row->cleared > known->cleared;
    if (news) {
        reset_row(known, row->cleared);
        known->stored = false; /* who cleared it sees to the store */
    }
    news = take_evidence(known, row) || news;
    bool found = judge(q, known);
    if (news || found) {
        known->changed_ms = now_ms;
        known->own = own || found;
    }
    /* The others don't know that it ran here. */
    if (is_sound(q, row->request, now_ms))
        rk_quarantine_clear(q, row->request, now_ms);
    return news || found;
}
