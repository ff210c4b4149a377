/* Chooses the upstream VM of a job by the rule in core/router.h, or by one of
 * the baseline policies that it is measured against. */
#include <string.h>

#include "core/router_impl.h"
#include "core/shards.h"

/* Age at which the reported calls of others no longer count. Their weight falls
 * linearly until then. */
#define LOAD_MAX_AGE_MS 20000
/* Prefixes are placed on a VM until it has prefilled this multiple of the mean over
 * all candidates. */
#define BOUNDED_LOAD_FACTOR 1.25
/* Calls above its limit that may be sent to a VM that holds the prefix. */
#define HOLDER_OVERCOMMIT 2
/* Share of the slots of its holders that the calls of a prefix may fill before
 * the prefix is copied to another VM. */
#define COPY_THRESHOLD_SHARE 0.75

double rk_router_load(const struct vm *v, int64_t now_ms)
{
    double trust = 1.0 - (double)(now_ms - v->peer_calls_ms) / LOAD_MAX_AGE_MS;
    return v->in_flight + (trust > 0 ? v->peer_calls * trust : 0);
}

bool rk_router_is_excluded(const struct rk_job *job, int vm)
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
           v->paused_until_ms <= now_ms && !rk_router_is_excluded(job, (int)i);
}

static bool has_room(const struct vm *v, int64_t now_ms)
{
    return rk_router_load(v, now_ms) < v->limit;
}

static double expected_first_token_ms(const struct vm *v, uint32_t uncached)
{
    const struct rk_policy *p = &v->svc->policy;
    return (p->prefill_base_ms + p->prefill_token_ms * uncached) * v->latency_ratio;
}

/* Returns the mean number of tokens prefilled at the candidates, from which the
 * bound on a VM's share of prefixes is derived. */
static double mean_prefilled_tokens(const struct rk_router *r,
                                    const struct rk_job *job, int64_t now_ms)
{
    double sum = 0;
    size_t n = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        if (!is_candidate(r, job, i, now_ms))
            continue;
        sum += (double)r->prefilled_tokens[i];
        n++;
    }
    return n ? sum / (double)n : 0;
}

/* Returns the VM for a prefix that none holds, or for one more copy; -1 if there
 * is none. Uses rendezvous hashing with bounded loads, so that nodes agree
 * without knowing of each other. If all VMs with room are above the bound, it is
 * the least loaded of them. */
static int choose_copy_target(const struct rk_router *r, const struct rk_job *job,
                              int64_t now_ms)
{
    double bound = mean_prefilled_tokens(r, job, now_ms) * BOUNDED_LOAD_FACTOR +
                   job->prompt->tokens;
    int best = -1, fallback = -1;
    uint64_t best_weight = 0;
    double least_load = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        if (!is_candidate(r, job, i, now_ms) || !has_room(&r->vms[i], now_ms))
            continue;
        if (r->cached[i] * 2 >= job->prompt->blocks_len * RK_BLOCK_WORDS)
            continue; /* it holds most of the prompt already */
        double load = rk_router_load(&r->vms[i], now_ms);
        if (fallback < 0 || load < least_load) {
            fallback = (int)i;
            least_load = load;
        }
        uint64_t weight = rk_rendezvous_weight(job->prompt->root, r->vms[i].id);
        if ((double)r->prefilled_tokens[i] + job->prompt->tokens <= bound &&
            (best < 0 || weight > best_weight)) {
            best = (int)i;
            best_weight = weight;
        }
    }
    return best >= 0 ? best : fallback;
}

/* The VMs that hold most of a prompt. */
struct holders {
    int best;         /* VM with room that answers first; -1: none */
    int least_loaded; /* least loaded VM, with room or without; -1: none */
    double slots;     /* total limit of all VMs that hold most of the prompt */
};

static struct holders find_holders(const struct rk_router *r,
                                   const struct rk_job *job, int64_t now_ms)
{
    struct holders h = {.best = -1, .least_loaded = -1};
    double best_ms = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        const struct vm *v = &r->vms[i];
        if (!is_candidate(r, job, i, now_ms))
            continue;
        if (r->cached[i] * 2 < job->prompt->blocks_len * RK_BLOCK_WORDS)
            continue;
        h.slots += v->limit;
        if (h.least_loaded < 0 ||
            rk_router_load(v, now_ms) <
                rk_router_load(&r->vms[h.least_loaded], now_ms))
            h.least_loaded = (int)i;
        if (!has_room(v, now_ms))
            continue;
        double ms = expected_first_token_ms(v, job->prompt->tokens - r->cached[i]) +
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
    rk_prefix_index_match(r->prefixes, job->prompt, r->prefilled_tokens,
                          r->cache_tokens, r->cached, r->vms_len);
    struct holders h = find_holders(r, job, now_ms);
    struct prefix_calls *prefix = rk_router_prefix_calls(r, job);
    /* Each of the other nodes is assumed to have as many calls of this prefix. */
    int demand = (prefix ? prefix->outstanding : 1) * r->nodes;
    /* One more copy pays off only when the calls of this prefix fill its
     * holders. Where other calls fill them, a slot is soon free. */
    bool crowded = h.least_loaded >= 0 && demand > h.slots * COPY_THRESHOLD_SHARE &&
                   demand > r->vms[h.least_loaded].limit;
    if (crowded) {
        int copy = choose_copy_target(r, job, now_ms);
        if (copy >= 0)
            return copy;
    }
    if (h.best >= 0)
        return h.best;
    if (h.least_loaded >= 0 && !crowded) {
        const struct vm *v = &r->vms[h.least_loaded];
        if (rk_router_load(v, now_ms) < v->limit + HOLDER_OVERCOMMIT)
            return h.least_loaded;
    }
    return choose_copy_target(r, job, now_ms);
}

/* limited: considers only VMs below their limit. Equal loads are decided by
 * rendezvous hashing. */
static int choose_least_loaded(const struct rk_router *r, const struct rk_job *job,
                               bool limited, int64_t now_ms)
{
    int best = -1;
    double best_load = 0;
    uint64_t best_weight = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        const struct vm *v = &r->vms[i];
        if (!is_candidate(r, job, i, now_ms) || (limited && !has_room(v, now_ms)))
            continue;
        double load = rk_router_load(v, now_ms);
        uint64_t weight = rk_rendezvous_weight((uint64_t)job->submitted_ms, v->id);
        if (best < 0 || load < best_load ||
            (load == best_load && weight > best_weight)) {
            best = (int)i;
            best_load = load;
            best_weight = weight;
        }
    }
    return best;
}

static int choose_round_robin(struct rk_router *r, const struct rk_job *job,
                              int64_t now_ms)
{
    for (size_t n = 0; n < r->vms_len; n++) {
        size_t i = job->svc->round_robin_next++ % r->vms_len;
        if (is_candidate(r, job, i, now_ms))
            return (int)i;
    }
    return -1;
}

/* Ranks the VMs by rendezvous hashing of the prefix alone. */
static int choose_sticky(const struct rk_router *r, const struct rk_job *job,
                         int64_t now_ms)
{
    uint64_t root = job->prompt ? job->prompt->root : 0, best_weight = 0;
    int best = -1;
    for (size_t i = 0; i < r->vms_len; i++) {
        uint64_t weight = rk_rendezvous_weight(root, r->vms[i].id);
        if (is_candidate(r, job, i, now_ms) && (best < 0 || weight > best_weight)) {
            best = (int)i;
            best_weight = weight;
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
