/* Which upstream vm a job goes to (the rule is in core/router.h), and the
 * baselines it is measured against. */
#include <string.h>

#include "core/router_impl.h"
#include "core/shards.h"

#define LOAD_TRUST_MS     20000 /* age at which a load row counts for nothing */
#define BOUNDED_LOAD      1.25  /* of the mean share of prefixes a vm may get */
#define HOLDER_OVERCOMMIT 2     /* calls that may wait at a full holder */
#define HOLDER_SHARE      0.75 /* of its slots a prefix may fill before it is copied */

double rk_router_load(const struct vm *v, int64_t now_ms)
{
    double trust = 1.0 - (double)(now_ms - v->others_ms) / LOAD_TRUST_MS;
    return v->in_flight + (trust > 0 ? v->others * trust : 0);
}

bool rk_router_excluded(const struct rk_job *job, int vm)
{
    for (size_t i = 0; i < job->excluded_len; i++)
        if (job->excluded[i] == vm)
            return true;
    return false;
}

static bool is_candidate(const struct rk_router *r, const struct rk_job *job,
                         size_t i, int64_t now_ms)
{
    const struct vm *v = &r->vms[i];
    return v->used && v->live && v->svc == job->svc &&
           v->paused_until_ms <= now_ms && !rk_router_excluded(job, (int)i);
}

static bool has_room(const struct vm *v, int64_t now_ms)
{
    return rk_router_load(v, now_ms) < v->limit;
}

static double first_token_ms(const struct vm *v, uint32_t uncached)
{
    const struct rk_policy *p = &v->svc->policy;
    return (p->prefill_base_ms + p->prefill_token_ms * uncached) * v->slow;
}

/* Mean prefilled tokens of the candidates: what a fair share is measured by. */
static double mean_clock(const struct rk_router *r, const struct rk_job *job,
                         int64_t now_ms)
{
    double sum = 0;
    size_t n = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        if (!is_candidate(r, job, i, now_ms))
            continue;
        sum += (double)r->clocks[i];
        n++;
    }
    return n ? sum / (double)n : 0;
}

/* A place for a prefix nobody holds, or for one more copy: rendezvous hashing
 * with bounded loads, so that nodes that know nothing of each other agree. */
static int place_copy(const struct rk_router *r, const struct rk_job *job,
                      int64_t now_ms)
{
    double bound = mean_clock(r, job, now_ms) * BOUNDED_LOAD + job->prompt->tokens;
    int best = -1, fallback = -1;
    uint64_t best_weight = 0;
    double least = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        if (!is_candidate(r, job, i, now_ms) || !has_room(&r->vms[i], now_ms))
            continue;
        if (r->cached[i] * 2 >= job->prompt->blocks_len * RK_BLOCK_WORDS)
            continue; /* holds most of it already */
        double load = rk_router_load(&r->vms[i], now_ms);
        if (fallback < 0 || load < least) {
            fallback = (int)i;
            least = load;
        }
        uint64_t weight = rk_rendezvous(job->prompt->root, r->vms[i].id);
        if ((double)r->clocks[i] + job->prompt->tokens <= bound &&
            (best < 0 || weight > best_weight)) {
            best = (int)i;
            best_weight = weight;
        }
    }
    return best >= 0 ? best : fallback;
}

struct holders {
    int best;     /* the one with room that answers first; -1 */
    int nearest;  /* the least loaded, with room or without; -1 */
    double slots; /* slots of all that hold most of the prompt */
};

static struct holders find_holders(const struct rk_router *r,
                                   const struct rk_job *job, int64_t now_ms)
{
    struct holders h = {.best = -1, .nearest = -1};
    double best_ms = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        const struct vm *v = &r->vms[i];
        if (!is_candidate(r, job, i, now_ms))
            continue;
        if (r->cached[i] * 2 < job->prompt->blocks_len * RK_BLOCK_WORDS)
            continue;
        h.slots += v->limit;
        if (h.nearest < 0 ||
            rk_router_load(v, now_ms) < rk_router_load(&r->vms[h.nearest], now_ms))
            h.nearest = (int)i;
        if (!has_room(v, now_ms))
            continue;
        double ms = first_token_ms(v, job->prompt->tokens - r->cached[i]) +
                    rk_router_load(v, now_ms) * v->svc->policy.token_ms;
        if (h.best < 0 || ms < best_ms) {
            h.best = (int)i;
            best_ms = ms;
        }
    }
    return h;
}

static int choose_by_prefix(struct rk_router *r, struct rk_job *job, int64_t now_ms)
{
    rk_prefixes_match(r->prefixes, job->prompt, r->clocks, r->cache_tokens,
                      r->cached, r->vms_len);
    struct holders h = find_holders(r, job, now_ms);
    struct root *root = rk_router_root(r, job);
    /* The other nodes have as many of the prefix's calls in hand. */
    int demand = (root ? root->in_hand : 1) * r->nodes;
    /* One more copy pays when the prefix's own calls fill its holders; when
     * others' calls do, a slot there is soon free. */
    bool crowded = h.nearest >= 0 && demand > h.slots * HOLDER_SHARE &&
                   demand > r->vms[h.nearest].limit;
    if (crowded) {
        int copy = place_copy(r, job, now_ms);
        if (copy >= 0)
            return copy;
    }
    if (h.best >= 0)
        return h.best;
    if (h.nearest >= 0 && !crowded) {
        const struct vm *v = &r->vms[h.nearest];
        if (rk_router_load(v, now_ms) < v->limit + HOLDER_OVERCOMMIT)
            return h.nearest;
    }
    return place_copy(r, job, now_ms);
}

static int choose_least_loaded(const struct rk_router *r, const struct rk_job *job,
                               bool limited, int64_t now_ms)
{
    int best = -1;
    double least = 0;
    uint64_t tie = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        const struct vm *v = &r->vms[i];
        if (!is_candidate(r, job, i, now_ms) || (limited && !has_room(v, now_ms)))
            continue;
        double load = rk_router_load(v, now_ms);
        uint64_t w = rk_rendezvous((uint64_t)job->submitted_ms, v->id);
        if (best < 0 || load < least || (load == least && w > tie)) {
            best = (int)i;
            least = load;
            tie = w;
        }
    }
    return best;
}

static int choose_round_robin(struct rk_router *r, const struct rk_job *job,
                              int64_t now_ms)
{
    for (size_t n = 0; n < r->vms_len; n++) {
        size_t i = job->svc->turn++ % r->vms_len;
        if (is_candidate(r, job, i, now_ms))
            return (int)i;
    }
    return -1;
}

static int choose_sticky(const struct rk_router *r, const struct rk_job *job,
                         int64_t now_ms)
{
    uint64_t root = job->prompt ? job->prompt->root : 0, best_weight = 0;
    int best = -1;
    for (size_t i = 0; i < r->vms_len; i++) {
        uint64_t w = rk_rendezvous(root, r->vms[i].id);
        if (is_candidate(r, job, i, now_ms) && (best < 0 || w > best_weight)) {
            best = (int)i;
            best_weight = w;
        }
    }
    return best;
}

int rk_router_choose(struct rk_router *r, struct rk_job *job, int64_t now_ms)
{
    switch (r->policy) {
    case RK_ROUTE_ROUND_ROBIN:
        return choose_round_robin(r, job, now_ms);
    case RK_ROUTE_LEAST_LOADED:
        return choose_least_loaded(r, job, false, now_ms);
    case RK_ROUTE_STICKY:
        return choose_sticky(r, job, now_ms);
    case RK_ROUTE_ADAPTIVE:
        break;
    }
    if (job->prompt && job->prompt->root)
        return choose_by_prefix(r, job, now_ms);
    return choose_least_loaded(r, job, true, now_ms);
}
