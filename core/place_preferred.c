/* Prefix caches of the VMs, and the preferred VMs of each prefix: those that all
 * nodes try first for it, so that few VMs read the same prefix. */
#include "core/place_impl.h"
#include "core/prompt_segments.h"

#include <math.h>
#include <string.h>

/* How long in ms a prompt segment is assumed to stay in the cache of a VM. */
#define PREFIX_CACHE_TTL_MS 12000
/* Calls that share fewer prompt tokens than this are spread over all VMs. */
#define SHARED_MIN_TOKENS 1000

/* Share of a shared prefix that is assumed to be cached at each of its preferred
 * VMs, in their order. The later ones are used only while the first are busy. */
static const double cached_shares[PLACE_MAX_PREFERRED] = {0.95, 0.7, 0.5, 0.35};

/* ---- prefix cache ---- */

void rk_place_parse_segments(struct rk_place_query *q, const char *text)
{
    struct rk_segment_text segment;
    uint64_t prefix_hash = 0;
    q->segments_len = 0;
    while (q->segments_len < RK_PLACE_MAX_SEGMENTS &&
           rk_segment_text_next(&text, &segment)) {
        prefix_hash = rk_hash(prefix_hash, segment.id, segment.id_len);
        q->segments[q->segments_len++] = (struct rk_place_segment){
            .prefix_hash = prefix_hash, .tokens = segment.tokens};
    }
}

static struct prefix_entry *prefix_slot(struct rk_place *p, uint64_t prefix_hash,
                                        uint64_t vm)
{
    return &p->prefix_cache[(prefix_hash ^ vm * 0x9e3779b97f4a7c15ULL) &
                            (PREFIX_CACHE_SLOTS - 1)];
}

/* Returns true if a prompt with this prefix was sent to the VM recently. */
static bool is_cached(struct rk_place *p, uint64_t prefix_hash, uint64_t vm,
                      int64_t now_ms)
{
    const struct prefix_entry *e = prefix_slot(p, prefix_hash, vm);
    return e->prefix_hash == prefix_hash && e->vm == vm &&
           now_ms - e->at_ms < PREFIX_CACHE_TTL_MS;
}

/* Returns the key that keeps calls with a common prefix together: the hash of
 * all segments but the last, which is the call's own, or of the only segment. */
static uint64_t affinity_key(const struct rk_place_query *q)
{
    if (q->segments_len >= 2)
        return q->segments[q->segments_len - 2].prefix_hash;
    return q->segments_len ? q->segments[0].prefix_hash : 0;
}

static double shared_prefix_tokens(const struct rk_place_query *q)
{
    double sum = 0;
    for (size_t i = 0; i + 1 < q->segments_len; i++)
        sum += q->segments[i].tokens;
    return sum;
}

double rk_place_cached_tokens(struct rk_place *p, const struct rk_place_query *q,
                              const struct rk_place_vm *v, double share,
                              int64_t now_ms)
{
    double sum = 0;
    for (size_t i = 0; i < q->segments_len; i++) {
        if (!is_cached(p, q->segments[i].prefix_hash, v->hash, now_ms))
            break;
        sum += q->segments[i].tokens;
    }
    double assumed = shared_prefix_tokens(q) * share;
    return sum > assumed ? sum : assumed;
}

/* ---- preferred VMs ---- */

/* Number of values of a hash: 2^64. */
#define HASH_VALUES 18446744073709551616.0

/* Returns the VM's rank for the key in weighted rendezvous hashing: the highest one
 * is first. The chance to be first is proportional to the VM's weight, 1 / factor.
 * The factor is rounded to its step, so that nodes agree. A VM of step 0 is ranked
 * by its hash, of which the rank u^(1 / weight) is a generalisation (Schindelhauer
 * and Schomaker, "Weighted Distributed Hash Tables", 2005). */
static uint64_t rank_of(const struct rk_place_vm *v, uint64_t key)
{
    uint64_t hash = rk_hash(key, &v->hash, sizeof(v->hash));
    if (!v->speed_step)
        return hash;
    double u = ((double)hash + 0.5) / HASH_VALUES;
    double rank = pow(u, exp2(v->speed_step / 2.0)) * HASH_VALUES;
    return rank < HASH_VALUES ? (uint64_t)rank : UINT64_MAX;
}

/* Inserts the VM, in the order of ranks, if it is among the highest ranked. */
static void offer_preferred(struct rk_place_preferred *h,
                            const struct rk_place_vm *v, uint64_t rank)
{
    size_t at = rk_ranks_insert(h->ranks, &h->len, PLACE_MAX_PREFERRED, rank);
    if (at == PLACE_MAX_PREFERRED)
        return;
    memmove(&h->vms[at + 1], &h->vms[at], (h->len - 1 - at) * sizeof(h->vms[0]));
    h->vms[at] = v;
}

void rk_place_find_preferred(const struct rk_place *p,
                             const struct rk_place_query *q, uint32_t service_hash,
                             struct rk_place_preferred *h)
{
    *h = (struct rk_place_preferred){.shared = shared_prefix_tokens(q) >=
                                               SHARED_MIN_TOKENS};
    uint64_t key = h->shared ? affinity_key(q) : q->request_hash;
    if (!q->engine)
        return;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next)
        if (rk_place_is_eligible(q, service_hash, v))
            offer_preferred(h, v, rank_of(v, key));
}

int rk_place_preferred_position(const struct rk_place_preferred *h,
                                const struct rk_place_vm *v)
{
    for (size_t i = 0; i < h->len; i++)
        if (h->vms[i] == v)
            return (int)i;
    return -1;
}

double rk_place_cached_share(const struct rk_place_preferred *h,
                             const struct rk_place_vm *v)
{
    int at = rk_place_preferred_position(h, v);
    return h->shared && at >= 0 ? cached_shares[at] : 0;
}

int rk_place_preferred_index(const struct rk_place *p,
                             const struct rk_place_query *q,
                             const struct rk_place_vm *vm)
{
    struct rk_place_preferred preferred;
    rk_place_find_preferred(p, q, vm->service_hash, &preferred);
    return rk_place_preferred_position(&preferred, vm);
}

/* A leaving VM may be the source, because it keeps its cache until it is gone.
 * VMs that were started recently may rank before others, but have no prefixes
 * cached yet. */
const struct rk_place_vm *rk_place_copy_source(const struct rk_place *p,
                                               const struct rk_place_query *q,
                                               const struct rk_place_vm *vm,
                                               int64_t now_ms)
{
    const struct rk_place_vm *best = NULL;
    uint64_t key = affinity_key(q), best_rank = 0;
    if (shared_prefix_tokens(q) < SHARED_MIN_TOKENS)
        return NULL;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next) {
        uint64_t rank = rank_of(v, key);
        if (v == vm || !v->listed || v->service_hash != vm->service_hash ||
            strcmp(v->row.version, vm->row.version) != 0 ||
            now_ms < v->paused_until_ms || (best && rank <= best_rank))
            continue;
        best = v;
        best_rank = rank;
    }
    return best;
}

void rk_place_cache_segments(struct rk_place *p, const struct rk_place_vm *vm,
                             const struct rk_place_query *q, int64_t now_ms)
{
    for (size_t i = 0; i < q->segments_len; i++)
        *prefix_slot(p, q->segments[i].prefix_hash, vm->hash) =
            (struct prefix_entry){.prefix_hash = q->segments[i].prefix_hash,
                                  .vm = vm->hash,
                                  .at_ms = now_ms};
}
