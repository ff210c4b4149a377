#include "core/router.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "core/router_impl.h"

/* Failures in a row after which a VM is paused. The pause doubles with each further
 * failure. */
#define FAILURES_TO_PAUSE 2
#define PAUSE_INITIAL_MS  1000
#define PAUSE_MAX_MS      16000
/* Weight of a new sample in the smoothed means. */
#define EWMA_WEIGHT 0.1
/* A VM's limit is multiplied by this when a first token took longer than the
 * target, but only once per interval. */
#define LIMIT_CUT_FACTOR      0.8
#define LIMIT_CUT_INTERVAL_MS 500
/* Share of a service's slots that deferrable calls may fill. */
#define DEFERRABLE_MAX_SHARE 0.75
#define MIN_RETRY_AFTER_MS   100
/* Share of the expected time that a call is assumed to take at least, when it is
 * judged whether it can still meet its deadline. */
#define MIN_TIME_SHARE 0.8
/* Time that a call occupies a slot, until calls of the service were measured. */
#define INITIAL_MEAN_MS 50.0

bool rk_route_policy_parse(const char *name, enum rk_route_policy *out)
{
    static const char *const names[] = {
        [RK_ROUTE_ADAPTIVE] = "adaptive",
        [RK_ROUTE_ROUND_ROBIN] = "round-robin",
        [RK_ROUTE_LEAST_LOADED] = "least-loaded",
        [RK_ROUTE_STICKY] = "sticky",
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(names); i++)
        if (!strcmp(names[i], name)) {
            *out = (enum rk_route_policy)i;
            return true;
        }
    return false;
}

struct rk_router *rk_router_create(uint64_t seed, enum rk_route_policy policy)
{
    struct rk_router *r = rk_alloc(1, sizeof(*r));
    r->policy = policy;
    r->nodes = 1;
    r->rng.state = seed;
    r->prefixes = rk_prefix_index_create();
    return r;
}

void rk_router_destroy(struct rk_router *r)
{
    if (!r)
        return;
    for (size_t i = 0; i < r->services_len; i++)
        rk_fair_queue_destroy(r->services[i].queue);
    rk_prefix_index_destroy(r->prefixes);
    free(r);
}

/* ---- rows ---- */

static struct rk_service *find_service(struct rk_router *r, const char *name)
{
    for (size_t i = 0; i < r->services_len; i++)
        if (!strcmp(r->services[i].policy.service, name))
            return &r->services[i];
    return NULL;
}

static void update_services(struct rk_router *r, const struct rk_config *cfg)
{
    for (size_t i = 0; i < r->services_len; i++) {
        r->services[i].used = false;
        r->services[i].live_vms = 0;
    }
    for (size_t i = 0; i < cfg->policies_len; i++) {
        const struct rk_policy *p = &cfg->policies[i];
        if (p->call[0])
            continue;
        struct rk_service *s = find_service(r, p->service);
        if (!s) {
            if (r->services_len == MAX_SERVICES)
                continue;
            s = &r->services[r->services_len++];
            s->queue = rk_fair_queue_create();
            s->mean_ms = INITIAL_MEAN_MS;
            s->slot_time_ratio = 1;
        }
        s->policy = *p;
        s->used = true;
    }
}

/* Returns the slot of the VM's incarnation, or a free one (used is false), or NULL
 * if all are taken. */
static struct vm *find_vm(struct rk_router *r, const struct rk_vm *row)
{
    struct vm *free_slot = NULL;
    for (size_t i = 0; i < r->vms_len; i++) {
        struct vm *v = &r->vms[i];
        if (v->used && v->incarnation == row->incarnation &&
            !strcmp(v->id, row->id))
            return v;
        if (!v->used && !free_slot)
            free_slot = v;
    }
    if (!free_slot && r->vms_len < RK_ROUTER_MAX_VMS)
        free_slot = &r->vms[r->vms_len++];
    return free_slot;
}

static void init_vm(struct rk_router *r, struct vm *v, const struct rk_vm *row,
                    struct rk_service *svc)
{
    size_t i = (size_t)(v - r->vms);
    *v = (struct vm){.used = true, .svc = svc, .incarnation = row->incarnation};
    v->limit = (double)svc->policy.slots;
    v->latency_ratio = 1;
    rk_strcpy(v->id, sizeof(v->id), row->id);
    rk_strcpy(v->addr, sizeof(v->addr), row->addr);
    rk_prefix_index_remove_vm(r->prefixes, (uint16_t)i);
    r->prefilled_tokens[i] = 0;
}

/* The row counts the calls of all nodes; those of this router are subtracted. */
static void apply_load(struct vm *v, const struct rk_vm *row)
{
    if (row->load_seq <= v->load_seq)
        return;
    v->load_seq = row->load_seq;
    v->peer_calls_ms = row->load_ms;
    int total = (int)(row->running + row->queued);
    v->peer_calls = total > v->in_flight ? total - v->in_flight : 0;
}

void rk_router_update(struct rk_router *r, const struct rk_config *cfg,
                      const struct rk_vm *vms, size_t len, const char *domain,
                      int64_t now_ms)
{
    (void)now_ms;
    update_services(r, cfg);
    for (size_t i = 0; i < r->vms_len; i++)
        r->vms[i].present = false;
    for (size_t i = 0; i < len; i++) {
        struct rk_service *svc = find_service(r, vms[i].service);
        if (!svc || !svc->used || strcmp(vms[i].domain, domain) != 0)
            continue;
        struct vm *v = find_vm(r, &vms[i]);
        if (!v)
            continue;
        if (!v->used)
            init_vm(r, v, &vms[i], svc);
        v->present = true;
        v->live = vms[i].state == RK_VM_LIVE;
        if (v->limit > (double)svc->policy.slots)
            v->limit = (double)svc->policy.slots;
        r->cache_tokens[v - r->vms] = (uint64_t)svc->policy.cache_tokens;
        apply_load(v, &vms[i]);
        svc->live_vms += v->live;
    }
    for (size_t i = 0; i < r->vms_len; i++) {
        struct vm *v = &r->vms[i];
        if (v->present)
            continue;
        v->live = false;
        if (!v->in_flight)
            v->used = false;
    }
}

/* ---- counts of outstanding calls ---- */

struct prefix_calls *rk_router_prefix_calls(struct rk_router *r,
                                            const struct rk_job *job)
{
    if (!job->prompt || !job->prompt->root)
        return NULL;
    struct prefix_calls *b = &r->prefix_calls[job->prompt->root % PREFIX_COUNTERS];
    if (b->hash == job->prompt->root)
        return b;
    if (b->outstanding)
        return NULL; /* another prefix has the slot: this one is not counted */
    b->hash = job->prompt->root;
    return b;
}

static void add_outstanding(struct rk_router *r, const struct rk_job *job, int n)
{
    struct prefix_calls *b = rk_router_prefix_calls(r, job);
    if (b && b->outstanding + n >= 0)
        b->outstanding += n;
}

/* Returns the record of the organisation, in a new or idle slot if needed, or NULL
 * if all slots have outstanding calls. */
static struct org *find_org(struct rk_router *r, const char *name)
{
    struct org *idle = NULL;
    for (size_t i = 0; i < r->orgs_len; i++) {
        if (!strcmp(r->orgs[i].name, name))
            return &r->orgs[i];
        if (!r->orgs[i].outstanding && !idle)
            idle = &r->orgs[i];
    }
    if (r->orgs_len < RK_ARRAY_LEN(r->orgs))
        idle = &r->orgs[r->orgs_len++];
    if (idle) {
        idle->outstanding = 0;
        rk_strcpy(idle->name, sizeof(idle->name), name);
    }
    return idle;
}

/* ---- lifecycle of a job ---- */

/* Returns the time in ms that the job is expected to occupy a slot. */
static double expected_slot_ms(const struct rk_job *job)
{
    const struct rk_policy *p = &job->svc->policy;
    if (!job->prompt)
        return job->svc->mean_ms;
    return (p->prefill_base_ms + p->token_ms * (double)job->max_tokens) *
           job->svc->slot_time_ratio;
}

static double total_limit(const struct rk_router *r, const struct rk_service *svc)
{
    double limit = 0;
    for (size_t i = 0; i < r->vms_len; i++)
        if (r->vms[i].used && r->vms[i].live && r->vms[i].svc == svc)
            limit += r->vms[i].limit;
    return limit;
}

/* Returns the expected wait for a slot, in ms, of a job of this rank. */
static int64_t expected_wait_ms(const struct rk_router *r, const struct rk_job *job,
                                int64_t now_ms)
{
    double limit = 0, busy = 0;
    for (size_t i = 0; i < r->vms_len; i++) {
        const struct vm *v = &r->vms[i];
        if (!v->used || !v->live || v->svc != job->svc)
            continue;
        double load = rk_router_load(v, now_ms);
        limit += v->limit;
        busy += load < v->limit ? load : v->limit;
    }
    if (limit < 1)
        limit = 1;
    double ahead = (double)rk_fair_queue_cost_ms(job->svc->queue, job->rank);
    if (busy + 1 <= limit && ahead <= 0)
        return 0;
    /* The slots in use become free one after the other. */
    double free_ms = (limit - busy) * job->svc->mean_ms;
    double wait = ahead + job->svc->mean_ms - free_ms;
    return wait > 0 ? (int64_t)(wait / limit) : 0;
}

/* Returns how long in ms the job may wait: until its deadline can just be met, and
 * no longer than queue_ms. It may be negative. */
static int64_t allowed_wait_ms(const struct rk_job *job, int64_t now_ms)
{
    int64_t slack = job->deadline_ms - now_ms - (int64_t)expected_slot_ms(job);
    return slack < job->queue_ms ? slack : job->queue_ms;
}

static void fill_waiter(struct rk_job *job)
{
    job->waiter = (struct rk_waiter){
        .weight = job->org_weight > 0 ? job->org_weight : 1,
        .rank = job->rank,
        .deferrable = job->deferrable,
        .promote_ms = job->promote_ms,
        .deadline_ms = job->deadline_ms,
        .cost_ms = (int64_t)expected_slot_ms(job),
    };
    rk_strcpy(job->waiter.org, sizeof(job->waiter.org), job->org);
}

enum rk_submit rk_router_submit(struct rk_router *r, struct rk_job *job,
                                int64_t now_ms, int64_t *retry_after_ms)
{
    *retry_after_ms = MIN_RETRY_AFTER_MS;
    job->svc = find_service(r, job->service);
    if (!job->svc || !job->svc->used)
        return RK_SUBMIT_NO_SERVICE;
    if (!rk_router_can_serve(r, job)) {
        *retry_after_ms = RK_MS_PER_S;
        return RK_SUBMIT_NO_VM;
    }
    struct org *org = find_org(r, job->org);
    if (!org || org->outstanding >= job->org_max) {
        *retry_after_ms = (int64_t)job->svc->mean_ms + MIN_RETRY_AFTER_MS;
        return RK_SUBMIT_ORG_LIMIT;
    }
    int64_t wait =
        r->policy == RK_ROUTE_ADAPTIVE ? expected_wait_ms(r, job, now_ms) : 0;
    int64_t allowed = allowed_wait_ms(job, now_ms);
    if (!job->is_retry && wait > (allowed > 0 ? allowed : 0)) {
        *retry_after_ms = wait - (allowed > 0 ? allowed : 0) + MIN_RETRY_AFTER_MS;
        return RK_SUBMIT_WAIT_TOO_LONG;
    }
    org->outstanding++;
    add_outstanding(r, job, 1);
    fill_waiter(job);
    job->submitted_ms = now_ms;
    job->vm = -1;
    job->first_byte_seen = false;
    rk_fair_queue_push(job->svc->queue, &job->waiter);
    job->state = RK_JOB_QUEUED;
    return RK_SUBMIT_QUEUED;
}

static void dispatch(struct rk_router *r, struct rk_job *job, int i, int64_t now_ms)
{
    struct vm *v = &r->vms[i];
    rk_fair_queue_serve(job->svc->queue, &job->waiter);
    job->state = RK_JOB_SENT;
    job->vm = i;
    job->sent_ms = now_ms;
    job->first_byte_seen = false;
    v->in_flight++;
    job->svc->in_flight++;
    if (!job->prompt)
        return;
    if (r->policy != RK_ROUTE_ADAPTIVE)
        rk_prefix_index_match(r->prefixes, job->prompt, r->prefilled_tokens,
                              r->cache_tokens, r->cached, r->vms_len);
    uint32_t cached = job->prompt->blocks_len ? r->cached[i] : 0;
    job->uncached_tokens = job->prompt->tokens - cached;
    r->prefilled_tokens[i] += job->uncached_tokens;
    rk_prefix_index_insert(r->prefixes, job->prompt, (uint16_t)i,
                           r->prefilled_tokens[i]);
}

static struct rk_job *job_of_waiter(struct rk_waiter *w)
{
    return (struct rk_job *)((char *)w - offsetof(struct rk_job, waiter));
}

/* Returns true if a deferrable call may be sent. Slots are kept free for urgent
 * calls that may arrive. */
static bool has_room_for_deferrable(const struct rk_router *r,
                                    const struct rk_service *svc)
{
    return svc->in_flight < total_limit(r, svc) * DEFERRABLE_MAX_SHARE;
}

struct rk_job *rk_router_next(struct rk_router *r, int64_t now_ms)
{
    for (size_t n = 0; n < r->services_len; n++) {
        struct rk_service *svc = &r->services[n];
        if (!rk_fair_queue_len(svc->queue))
            continue;
        bool allow_deferrable =
            r->policy != RK_ROUTE_ADAPTIVE || has_room_for_deferrable(r, svc);
        struct rk_waiter *w =
            rk_fair_queue_peek(svc->queue, allow_deferrable, now_ms);
        if (!w)
            continue;
        struct rk_job *job = job_of_waiter(w);
        int vm = rk_router_choose(r, job, now_ms);
        if (vm < 0)
            continue;
        dispatch(r, job, vm, now_ms);
        return job;
    }
    return NULL;
}

/* Additive increase, multiplicative decrease: the limit grows by about one for each
 * round of calls that meet the target. */
static void adapt_limit(struct vm *v, int64_t took_ms, int64_t now_ms)
{
    double slots = (double)v->svc->policy.slots;
    if (took_ms > v->svc->policy.target_first_ms) {
        if (now_ms - v->limit_cut_ms < LIMIT_CUT_INTERVAL_MS)
            return;
        v->limit_cut_ms = now_ms;
        v->limit =
            v->limit * LIMIT_CUT_FACTOR > 1 ? v->limit * LIMIT_CUT_FACTOR : 1;
    } else if (v->limit < slots) {
        v->limit =
            v->limit + 1 / v->limit < slots ? v->limit + 1 / v->limit : slots;
    }
}

void rk_router_note_first_byte(struct rk_router *r, struct rk_job *job,
                               int64_t now_ms)
{
    if (job->state != RK_JOB_SENT || job->first_byte_seen)
        return;
    job->first_byte_seen = true;
    struct vm *v = &r->vms[job->vm];
    int64_t took = now_ms - job->sent_ms;
    adapt_limit(v, took, now_ms);
    v->failures = 0;
    if (!job->prompt)
        return;
    const struct rk_policy *p = &v->svc->policy;
    double expected = p->prefill_base_ms +
                      p->prefill_token_ms * job->uncached_tokens + p->token_ms;
    double ratio = (double)took / expected;
    ratio = ratio < 0.5 ? 0.5 : ratio > 4 ? 4 : ratio;
    v->latency_ratio += EWMA_WEIGHT * (ratio - v->latency_ratio);
}

static void note_failure(struct vm *v, int64_t now_ms)
{
    if (++v->failures < FAILURES_TO_PAUSE)
        return;
    int64_t pause = PAUSE_INITIAL_MS;
    for (int i = FAILURES_TO_PAUSE; i < v->failures && pause < PAUSE_MAX_MS; i++)
        pause *= 2;
    if (v->paused_until_ms < now_ms + pause)
        v->paused_until_ms = now_ms + pause;
}

static void update_slot_time(struct rk_job *job, double took_ms)
{
    struct rk_service *svc = job->svc;
    svc->mean_ms += EWMA_WEIGHT * (took_ms - svc->mean_ms);
    if (!job->prompt)
        return;
    double ratio = took_ms * svc->slot_time_ratio / (expected_slot_ms(job) + 1);
    ratio = ratio < 0.2 ? 0.2 : ratio > 5 ? 5 : ratio;
    svc->slot_time_ratio += EWMA_WEIGHT * (ratio - svc->slot_time_ratio);
}

/* Frees the job's slot at its VM. */
static void release_vm(struct rk_router *r, struct rk_job *job, bool failed,
                       int64_t now_ms)
{
    struct vm *v = &r->vms[job->vm];
    v->in_flight--;
    job->svc->in_flight--;
    if (failed)
        note_failure(v, now_ms);
    else
        update_slot_time(job, (double)(now_ms - job->sent_ms));
    if (!v->in_flight && !v->present)
        v->used = false;
}

void rk_router_end(struct rk_router *r, struct rk_job *job, bool failed,
                   int64_t now_ms)
{
    if (job->state == RK_JOB_NEW || job->state == RK_JOB_ENDED)
        return;
    if (job->state == RK_JOB_SENT)
        release_vm(r, job, failed, now_ms);
    else
        rk_fair_queue_remove(job->svc->queue, &job->waiter);
    struct org *org = find_org(r, job->org);
    if (org && org->outstanding)
        org->outstanding--;
    add_outstanding(r, job, -1);
    job->state = RK_JOB_ENDED;
}

void rk_router_set_cooldown(struct rk_router *r, const struct rk_job *job,
                            int64_t rest_ms, int64_t now_ms)
{
    struct vm *v = &r->vms[job->vm];
    if (v->paused_until_ms < now_ms + rest_ms)
        v->paused_until_ms = now_ms + rest_ms;
}

void rk_router_requeue(struct rk_router *r, struct rk_job *job, int64_t now_ms)
{
    assert(job->state == RK_JOB_SENT);
    if (job->excluded_len < RK_ROUTER_MAX_EXCLUDED)
        job->excluded[job->excluded_len++] = job->vm;
    release_vm(r, job, true, now_ms);
    job->is_retry = true;
    fill_waiter(job);
    /* The job has waited in the queue once, so it is not deferred again, even if it
     * is deferrable. */
    job->waiter.deferrable = false;
    rk_fair_queue_push(job->svc->queue, &job->waiter);
    job->state = RK_JOB_QUEUED;
}

const char *rk_router_vm_addr(const struct rk_router *r, int vm)
{
    return r->vms[vm].addr;
}

const char *rk_router_vm_id(const struct rk_router *r, int vm)
{
    return r->vms[vm].id;
}

bool rk_router_vm_leaving(const struct rk_router *r, int vm)
{
    return !r->vms[vm].live;
}

bool rk_router_can_serve(const struct rk_router *r, const struct rk_job *job)
{
    for (size_t i = 0; i < r->vms_len; i++) {
        const struct vm *v = &r->vms[i];
        if (v->used && v->live && v->svc == job->svc &&
            !rk_router_is_excluded(job, (int)i))
            return true;
    }
    return false;
}

void rk_router_set_node_count(struct rk_router *r, int nodes)
{
    r->nodes = nodes > 0 ? nodes : 1;
}

uint32_t rk_router_free_slots(const struct rk_router *r)
{
    double least = UINT32_MAX;
    bool any = false;
    for (size_t n = 0; n < r->services_len; n++) {
        const struct rk_service *svc = &r->services[n];
        if (!svc->used || !svc->live_vms)
            continue;
        double free_slots = total_limit(r, svc) - svc->in_flight;
        if (free_slots < least)
            least = free_slots;
        any = true;
    }
    return any && least > 0 ? (uint32_t)least : 0;
}

size_t rk_router_queued_len(const struct rk_router *r)
{
    size_t n = 0;
    for (size_t i = 0; i < r->services_len; i++)
        n += rk_fair_queue_len(r->services[i].queue);
    return n;
}

bool rk_router_can_meet_deadline(const struct rk_job *job, int64_t now_ms)
{
    return now_ms + (int64_t)(expected_slot_ms(job) * MIN_TIME_SHARE) <
           job->deadline_ms;
}

void rk_router_clear_excluded(struct rk_job *job)
{
    job->excluded_len = 0;
}
