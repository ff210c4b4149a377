#include "core/fair_queue.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#define VTIME_SCALE 1000 /* virtual time units per ms, for weights up to 1000 */

struct heap {
    struct rk_waiter **items;
    size_t len, cap;
    bool by_rank; /* ordered by rank, then deadline; otherwise by deadline alone */
};

/* The waiting calls of one organisation, and its virtual time. */
struct rk_org_queue {
    char org[RK_ID_MAX];
    struct heap ready, deferred;
    int64_t vtime; /* virtual time: slot time charged, divided by weight */
};

struct rk_fair_queue {
    struct rk_org_queue **orgs;
    size_t orgs_len, orgs_cap;
    int64_t vtime; /* at which new organisations start; never falls */
    size_t len;
    int64_t queued_cost_ms[RK_RANKS]; /* of the calls in the ready heaps */
};

/* ---- heap ---- */

static bool goes_before(const struct heap *h, const struct rk_waiter *a,
                        const struct rk_waiter *b)
{
    if (h->by_rank && a->rank != b->rank)
        return a->rank < b->rank;
    return a->deadline_ms < b->deadline_ms;
}

static void heap_set(struct heap *h, size_t i, struct rk_waiter *w)
{
    h->items[i] = w;
    w->heap_index = i + 1;
}

static void sift_up(struct heap *h, size_t i)
{
    struct rk_waiter *w = h->items[i];
    while (i && goes_before(h, w, h->items[(i - 1) / 2])) {
        heap_set(h, i, h->items[(i - 1) / 2]);
        i = (i - 1) / 2;
    }
    heap_set(h, i, w);
}

static void sift_down(struct heap *h, size_t i)
{
    struct rk_waiter *w = h->items[i];
    for (;;) {
        size_t c = 2 * i + 1;
        if (c >= h->len)
            break;
        if (c + 1 < h->len && goes_before(h, h->items[c + 1], h->items[c]))
            c++;
        if (!goes_before(h, h->items[c], w))
            break;
        heap_set(h, i, h->items[c]);
        i = c;
    }
    heap_set(h, i, w);
}

static void heap_push(struct heap *h, struct rk_waiter *w)
{
    if (h->len == h->cap) {
        h->cap = h->cap ? h->cap * 2 : 16;
        h->items = rk_realloc(h->items, h->cap * sizeof(struct rk_waiter *));
    }
    heap_set(h, h->len, w);
    sift_up(h, h->len++);
}

static void heap_remove(struct heap *h, struct rk_waiter *w)
{
    size_t i = w->heap_index - 1;
    assert(h->items[i] == w);
    w->heap_index = 0;
    struct rk_waiter *last = h->items[--h->len];
    if (last == w)
        return;
    heap_set(h, i, last);
    sift_up(h, i);
    sift_down(h, last->heap_index - 1);
}

/* ---- organisations ---- */

static struct rk_org_queue *find_or_add_org(struct rk_fair_queue *a,
                                            const char *org)
{
    for (size_t i = 0; i < a->orgs_len; i++)
        if (!strcmp(a->orgs[i]->org, org))
            return a->orgs[i];
    if (a->orgs_len == a->orgs_cap) {
        a->orgs_cap = a->orgs_cap ? a->orgs_cap * 2 : 16;
        a->orgs = rk_realloc(a->orgs, a->orgs_cap * sizeof(struct rk_org_queue *));
    }
    struct rk_org_queue *q = rk_alloc(1, sizeof(*q));
    rk_strcpy(q->org, sizeof(q->org), org);
    q->ready.by_rank = true;
    q->vtime = a->vtime; /* idle time earns no credit */
    a->orgs[a->orgs_len++] = q;
    return q;
}

static void org_queue_free(struct rk_org_queue *q)
{
    free(q->ready.items);
    free(q->deferred.items);
    free(q);
}

/* Drops organisations without waiting calls, but not before the queue's virtual
 * time has reached theirs: otherwise an organisation could clear its usage by
 * letting its queue run empty for a moment. */
static void drop_idle_orgs(struct rk_fair_queue *a)
{
    for (size_t i = 0; i < a->orgs_len;) {
        struct rk_org_queue *q = a->orgs[i];
        if (!q->ready.len && !q->deferred.len && q->vtime <= a->vtime) {
            org_queue_free(q);
            a->orgs[i] = a->orgs[--a->orgs_len];
        } else {
            i++;
        }
    }
}

struct rk_fair_queue *rk_fair_queue_create(void)
{
    return rk_alloc(1, sizeof(struct rk_fair_queue));
}

void rk_fair_queue_destroy(struct rk_fair_queue *a)
{
    if (!a)
        return;
    assert(!a->len);
    for (size_t i = 0; i < a->orgs_len; i++)
        org_queue_free(a->orgs[i]);
    free(a->orgs);
    free(a);
}

static void push_ready(struct rk_fair_queue *a, struct rk_org_queue *q,
                       struct rk_waiter *w)
{
    heap_push(&q->ready, w);
    w->in_deferred = false;
    a->queued_cost_ms[w->rank] += w->cost_ms;
}

void rk_fair_queue_push(struct rk_fair_queue *a, struct rk_waiter *w)
{
    assert(!w->heap_index && w->rank >= 0 && w->rank < RK_RANKS);
    struct rk_org_queue *q = find_or_add_org(a, w->org);
    w->queue = q;
    a->len++;
    if (!w->deferrable) {
        push_ready(a, q, w);
        return;
    }
    heap_push(&q->deferred, w);
    w->in_deferred = true;
}

void rk_fair_queue_remove(struct rk_fair_queue *a, struct rk_waiter *w)
{
    if (!w->heap_index)
        return;
    if (w->in_deferred) {
        heap_remove(&w->queue->deferred, w);
    } else {
        heap_remove(&w->queue->ready, w);
        a->queued_cost_ms[w->rank] -= w->cost_ms;
    }
    a->len--;
}

/* Moves the deferrable calls whose deadline is within their promote_ms to the ready
 * heap. */
static void promote_due(struct rk_fair_queue *a, struct rk_org_queue *q,
                        int64_t now_ms)
{
    while (q->deferred.len) {
        struct rk_waiter *w = q->deferred.items[0];
        if (w->deadline_ms - now_ms > w->promote_ms)
            return;
        heap_remove(&q->deferred, w);
        if (w->rank > RK_PROMOTED_RANK)
            w->rank = RK_PROMOTED_RANK;
        w->deferrable = false;
        push_ready(a, q, w);
    }
}

struct rk_waiter *rk_fair_queue_peek(struct rk_fair_queue *a, bool deferred,
                                     int64_t now_ms)
{
    struct rk_org_queue *best = NULL, *best_deferred = NULL;
    for (size_t i = 0; i < a->orgs_len; i++) {
        struct rk_org_queue *q = a->orgs[i];
        promote_due(a, q, now_ms);
        if (q->ready.len) {
            int rank = q->ready.items[0]->rank;
            int best_rank = best ? best->ready.items[0]->rank : RK_RANKS;
            if (!best || rank < best_rank ||
                (rank == best_rank && q->vtime < best->vtime))
                best = q;
        }
        if (q->deferred.len && (!best_deferred || q->vtime < best_deferred->vtime))
            best_deferred = q;
    }
    if (best)
        return best->ready.items[0];
    return deferred && best_deferred ? best_deferred->deferred.items[0] : NULL;
}

void rk_fair_queue_serve(struct rk_fair_queue *a, struct rk_waiter *w)
{
    struct rk_org_queue *q = w->queue;
    rk_fair_queue_remove(a, w);
    if (q->vtime > a->vtime)
        a->vtime = q->vtime;
    q->vtime += (w->cost_ms + 1) * VTIME_SCALE / w->weight;
    drop_idle_orgs(a);
}

size_t rk_fair_queue_len(const struct rk_fair_queue *a)
{
    return a->len;
}

int64_t rk_fair_queue_cost_ms(const struct rk_fair_queue *a, int rank)
{
    int64_t ms = 0;
    for (int r = 0; r <= rank; r++)
        ms += a->queued_cost_ms[r];
    return ms;
}
