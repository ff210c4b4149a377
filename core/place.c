#include "core/place_impl.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* ---- costs of a VM in ms, added to its predicted time to the first byte ---- */

/* A VM of another failure domain: the round trip, and the price of the traffic. */
#define CROSS_DOMAIN_COST_MS 4.0
/* A paused VM, which is used only when there is no other. */
#define PAUSED_COST_MS 5000.0
/* A VM whose slots are all taken. */
#define FULL_COST_MS 3000.0
/* A VM that fails every call. A failure costs the time until the relay notices it:
 * a silent stream is detected after 2.5 s, a silent plain call after 0.15 s. */
#define FAILURE_COST_MS 1200.0
/* A VM that refuses every call. A refusal costs one attempt and a retry. */
#define REFUSAL_COST_MS 1500.0
/* Subtracted for a VM whose advertised limit may have been lifted: only an answer
 * to a request shows whether it was. */
#define STALE_LIMIT_BONUS_MS 300.0
/* Upper bound of the random cost that keeps nodes from all choosing the same VM. */
#define JITTER_US 2000
#define US_PER_MS 1000.0

/* Cost of a VM that is not preferred, in multiples of the fixed part of the time to
 * the first token. A VM that is better than the preferred ones by less than this is
 * not used, because the loads that peers reported are old and all nodes act on the
 * same reports. */
#define NON_PREFERRED_FACTOR 3.0
/* Weight of the call's own uncached prompt tokens when VMs are compared: while the
 * engine reads them, all other calls there are held up. This weight and the next
 * were found by measurements on two sites. */
#define UNREAD_WEIGHT 1.5
/* Weight of the prompt tokens of other calls that wait at the VM. All of them
 * count, because the reported figure is old. */
#define WAITING_WEIGHT 1.0
/* Initial size of the index of VMs; a power of two. */
#define INDEX_INITIAL_SLOTS 64

struct rk_place *rk_place_create(const char *domain, uint64_t seed)
{
    struct rk_place *p = rk_alloc(1, sizeof(*p));
    rk_strcpy(p->domain, sizeof(p->domain), domain);
    p->rng.state = seed;
    return p;
}

void rk_place_destroy(struct rk_place *p)
{
    for (struct rk_place_vm *v = p->vms, *next; v; v = next) {
        next = v->next;
        free(v);
    }
    free(p->index);
    rk_place_reaches_free(p);
    rk_service_speeds_free(&p->speeds);
    rk_vm_signals_free(&p->signals);
    free(p);
}

const struct rk_place_vm *rk_place_vms(const struct rk_place *p)
{
    return p->vms;
}

struct rk_service_speed *rk_place_service_speed(struct rk_place *p,
                                                const char *service)
{
    return rk_service_speeds_get(&p->speeds, service);
}

/* ---- rows ---- */

/* Returns the index slot that holds the VM, or the free slot where it would be
 * inserted. */
static size_t index_slot(const struct rk_place *p, const char *id, uint64_t hash)
{
    size_t at = hash & (p->index_len - 1);
    while (p->index[at] && strcmp(p->index[at]->row.id, id) != 0)
        at = (at + 1) & (p->index_len - 1);
    return at;
}

static void index_insert(struct rk_place *p, struct rk_place_vm *v)
{
    p->index[index_slot(p, v->row.id, rk_hash_str(0, v->row.id))] = v;
}

static void index_rebuild(struct rk_place *p)
{
    memset(p->index, 0, p->index_len * sizeof(struct rk_place_vm *));
    for (struct rk_place_vm *v = p->vms; v; v = v->next)
        if (!v->superseded)
            index_insert(p, v);
}

/* Makes room in the index for one more VM. */
static void index_reserve(struct rk_place *p)
{
    if (p->index_len && (p->vms_len + 1) * 2 <= p->index_len)
        return;
    p->index_len = p->index_len ? p->index_len * 2 : INDEX_INITIAL_SLOTS;
    p->index = rk_realloc(p->index, p->index_len * sizeof(struct rk_place_vm *));
    index_rebuild(p);
}

struct rk_place_vm *rk_place_find(struct rk_place *p, const char *id)
{
    return p->index_len ? p->index[index_slot(p, id, rk_hash_str(0, id))] : NULL;
}

static struct rk_place_vm *add_vm(struct rk_place *p, const struct rk_vm_row *row,
                                  int64_t now_ms)
{
    struct rk_place_vm *v = rk_alloc(1, sizeof(*v));
    index_reserve(p);
    v->row = *row;
    v->hash = rk_vm_incarnation_hash(row);
    v->cold_until_ms = now_ms + row->cold_ms;
    v->service_hash = (uint32_t)rk_hash_str(0, row->service);
    v->speed = rk_service_speeds_get(&p->speeds, row->service);
    v->speed->vms++;
    v->reach = rk_place_reach_get(p, row->service);
    v->reach->vms++;
    v->signal = rk_vm_signals_find(&p->signals, v->hash);
    v->speed_factor = 1;
    v->next = p->vms;
    p->vms = v;
    p->vms_len++;
    index_insert(p, v);
    return v;
}

bool rk_vm_is_restarted(const struct rk_vm_row *before, const struct rk_vm_row *now)
{
    return before->started_ms && now->started_ms > before->started_ms;
}

uint64_t rk_vm_incarnation_hash(const struct rk_vm_row *row)
{
    uint64_t hash = rk_hash_str(0, row->id);
    return row->started_ms
               ? rk_hash(hash, &row->started_ms, sizeof(row->started_ms))
               : hash;
}

/* Replaces a VM by its new incarnation. Of the past incarnation only the calls
 * in flight are kept. */
static struct rk_place_vm *start_incarnation(struct rk_place *p,
                                             struct rk_place_vm *before,
                                             const struct rk_vm_row *row,
                                             int64_t now_ms)
{
    before->superseded = true;
    before->listed = false;
    before->row.leaving = true;
    index_rebuild(p);
    return add_vm(p, row, now_ms);
}

static void sweep(struct rk_place *p)
{
    size_t before = p->vms_len;
    p->has_removable = false;
    rk_place_prune_active(p);
    for (struct rk_place_vm **at = &p->vms; *at;) {
        struct rk_place_vm *v = *at;
        if (!rk_place_is_removable(v)) {
            at = &v->next;
            continue;
        }
        *at = v->next;
        p->vms_len--;
        v->speed->vms--;
        v->reach->vms--;
        free(v);
    }
    if (p->vms_len == before)
        return;
    index_rebuild(p);
    rk_service_speeds_trim(&p->speeds);
    rk_place_reaches_trim(p);
}

void rk_place_sweep(struct rk_place *p)
{
    if (p->has_removable)
        sweep(p);
}

/* Adds or updates the VM of a list row. Returns true if this ended an
 * incarnation of the VM. */
static bool upsert_row(struct rk_place *p, const struct rk_vm_row *row,
                       int64_t now_ms)
{
    struct rk_place_vm *v = rk_place_find(p, row->id);
    if (!v)
        v = add_vm(p, row, now_ms);
    bool restarted = rk_vm_is_restarted(&v->row, row);
    if (restarted)
        v = start_incarnation(p, v, row, now_ms);
    v->listed = true;
    if (rk_vm_is_restarted(row, &v->row))
        return false; /* the row is of a past incarnation */
    bool leaving = v->row.leaving || row->leaving || rk_place_advertises_leaving(v);
    if (leaving && !v->leaving_since_ms)
        v->leaving_since_ms = now_ms;
    v->row = *row;
    v->row.leaving = leaving; /* leaving is final */
    return restarted;
}

void rk_place_set_vms(struct rk_place *p, const struct rk_vm_row *rows, size_t len,
                      int64_t now_ms)
{
    for (struct rk_place_vm *v = p->vms; v; v = v->next)
        v->listed = false;
    for (size_t i = 0; i < len; i++)
        upsert_row(p, &rows[i], now_ms);
    sweep(p);
    rk_place_mark_versions(p);
}

void rk_place_change_vms(struct rk_place *p, const struct rk_vm_row *rows,
                         size_t len, const char (*removed)[RK_ID_MAX],
                         size_t removed_len, int64_t now_ms)
{
    bool incarnation_ended = removed_len > 0;
    for (size_t i = 0; i < removed_len; i++) {
        struct rk_place_vm *v = rk_place_find(p, removed[i]);
        if (v)
            v->listed = false;
    }
    for (size_t i = 0; i < len; i++)
        incarnation_ended = upsert_row(p, &rows[i], now_ms) || incarnation_ended;
    if (incarnation_ended)
        sweep(p);
    rk_place_mark_versions(p);
}

/* ---- choice ---- */

static bool is_excluded(const struct rk_place_query *q, const struct rk_place_vm *v)
{
    for (size_t i = 0; i < q->excluded_len; i++)
        if (q->excluded[i] == v->hash)
            return true;
    return false;
}

/* During a rollout, calls that use the new version and the other calls go to
 * separate VMs. A stream that has begun stays at its version, unless that was
 * rolled back. */
static bool matches_version(const struct rk_place_query *q,
                            const struct rk_place_vm *v)
{
    if (q->version[0] && strcmp(q->version, v->row.version) != 0)
        return false;
    if (!v->rollout)
        return true;
    if (q->version[0])
        return !v->is_new || (v->gets_rollout_calls &&
                              v->rollout->rule.phase != RK_ROLLOUT_ROLLED_BACK);
    return v->is_new ? q->wants_new_version && v->gets_rollout_calls
                     : !q->wants_new_version;
}

bool rk_place_is_eligible(const struct rk_place_query *q, uint32_t service_hash,
                          const struct rk_place_vm *v)
{
    return rk_place_is_usable(v) && !v->unreachable_since_ms &&
           v->service_hash == service_hash &&
           !(v->signal && rk_vm_signal_blocks(v->signal)) &&
           matches_version(q, v) && !is_excluded(q, v) &&
           !strcmp(v->row.service, q->service);
}

static double failure_cost_ms(const struct rk_vm_health *health)
{
    return rk_vm_health_failure_share(health) * FAILURE_COST_MS;
}

bool rk_place_is_avoided(const struct rk_vm_health *health)
{
    return failure_cost_ms(health) > JITTER_US / US_PER_MS;
}

/* Returns the costs that are due to the VM's failures, refusals, pause and full
 * slots, less the bonus for a limit that may have been lifted. */
static double health_penalty_ms(const struct rk_place_vm *v,
                                const struct rk_vm_health *health, int64_t now_ms)
{
    double ms = failure_cost_ms(health) +
                rk_vm_health_refusal_share(health) * REFUSAL_COST_MS;
    if (now_ms < v->paused_until_ms)
        ms += PAUSED_COST_MS;
    if (rk_place_is_full(v))
        ms += FULL_COST_MS;
    if (v->signal && rk_vm_signal_is_stale(v->signal, now_ms))
        ms -= STALE_LIMIT_BONUS_MS;
    return ms;
}

/* Returns the load that an engine call meets at the VM, from the calls of all
 * nodes. share: part of the shared prefix that is assumed to be cached there. */
static struct rk_engine_load expected_load(struct rk_place *p,
                                           const struct rk_place_query *q,
                                           const struct rk_place_vm *v,
                                           double share, int64_t now_ms)
{
    double unread =
        q->prompt_tokens - rk_place_cached_tokens(p, q, v, share, now_ms);
    return (struct rk_engine_load){
        .uncached_tokens = unread > 0 ? unread : 0,
        .waiting_tokens = v->waiting_tokens + rk_place_peers_waiting(p, v, now_ms),
        .running = v->running + (double)v->peers_running};
}

/* Returns the cost of sending an engine call to the VM, for the call and for
 * others: the time to the first token, predicted with other weights. All waiting
 * tokens are added to those that must be read (the model itself counts a part of
 * them), because the reported figure is old. The call's own tokens count more,
 * because reading them holds up other calls. */
static double engine_cost_ms(const struct rk_place_vm *v,
                             const struct rk_engine_load *load)
{
    const struct rk_engine_load weighted = {
        .uncached_tokens = load->uncached_tokens * UNREAD_WEIGHT +
                           load->waiting_tokens * WAITING_WEIGHT,
        .running = load->running};
    return rk_engine_predict_ms(&v->speed->engine, &weighted);
}

static double in_flight_per_slot(const struct rk_place_vm *v)
{
    double slots = v->row.slots > 0 ? (double)v->row.slots : 1;
    return (v->running + (double)v->peers_running) / slots;
}

/* Returns the factor by which times at the VM exceed those of a mean VM of its
 * service now. The short-term slowdown is taken relative to the lasting factor, so
 * that no call counts twice. */
static double current_slowdown(const struct rk_place_vm *v,
                               const struct rk_vm_health *health)
{
    double mean = v->speed->mean_log_ratio + log(v->speed_factor);
    return rk_vm_health_slowdown(health, mean) * v->speed_factor;
}

/* Returns the predicted time to the first byte at the VM and stores the cost by
 * which VMs are compared in *cost_ms. */
static struct rk_engine_forecast predict(struct rk_place *p,
                                         const struct rk_place_query *q,
                                         const struct rk_place_vm *v,
                                         const struct rk_place_preferred *preferred,
                                         int64_t now_ms, double *cost_ms)
{
    struct rk_vm_health health =
        rk_vm_health_combined(&v->health, &v->peers_health, now_ms);
    double slowdown = current_slowdown(v, &health);
    double penalty_ms = health_penalty_ms(v, &health, now_ms);
    struct rk_engine_forecast f = {0};
    if (!q->engine) {
        f.ms =
            rk_service_speed_plain_ms(v->speed, in_flight_per_slot(v)) * slowdown;
        *cost_ms = f.ms + penalty_ms;
        return f;
    }
    struct rk_engine_load load =
        expected_load(p, q, v, rk_place_cached_share(preferred, v), now_ms);
    f = rk_engine_predict(&v->speed->engine, &load);
    f.ms *= slowdown;
    f.std_error_ms *= v->speed_factor;
    *cost_ms = engine_cost_ms(v, &load) * slowdown + penalty_ms;
    if (rk_place_preferred_position(preferred, v) < 0)
        *cost_ms += NON_PREFERRED_FACTOR * v->speed->engine.coef[0];
    return f;
}

double rk_place_unread_tokens(struct rk_place *p, const struct rk_place_query *q,
                              const struct rk_place_vm *vm, int64_t now_ms)
{
    struct rk_place_preferred preferred;
    rk_place_find_preferred(p, q, vm->service_hash, &preferred);
    return expected_load(p, q, vm, rk_place_cached_share(&preferred, vm), now_ms)
        .uncached_tokens;
}

/* Returns true if the call may measure the VM: it is the call's first attempt and
 * its first byte comes in time there. */
static bool may_try(const struct rk_place_query *q, const struct rk_place_vm *v,
                    const struct rk_engine_forecast *f, int64_t now_ms)
{
    return v->trial_due && !q->excluded_len && now_ms >= v->paused_until_ms &&
           !rk_place_is_full(v) && q->target_ms > 0 && f->ms <= q->target_ms;
}

struct rk_place_vm *rk_place_choose(struct rk_place *p,
                                    const struct rk_place_query *q, int64_t now_ms,
                                    struct rk_engine_forecast *first)
{
    uint32_t service_hash = (uint32_t)rk_hash_str(0, q->service);
    struct rk_place_preferred preferred;
    struct rk_place_vm *best = NULL;
    double best_ms = INFINITY;
    *first = (struct rk_engine_forecast){0};
    rk_place_find_preferred(p, q, service_hash, &preferred);
    for (struct rk_place_vm *v = p->vms; v; v = v->next) {
        if (!rk_place_is_eligible(q, service_hash, v) ||
            !rk_place_may_send(v, now_ms) || !rk_place_has_room(p, v, q->engine))
            continue;
        double ms;
        struct rk_engine_forecast f = predict(p, q, v, &preferred, now_ms, &ms);
        if (strcmp(v->row.domain, p->domain) != 0)
            ms += CROSS_DOMAIN_COST_MS;
        ms += rk_rng_below(&p->rng, JITTER_US) / US_PER_MS;
        if (may_try(q, v, &f, now_ms))
            ms = -INFINITY;
        if (ms < best_ms) {
            best_ms = ms;
            *first = f;
            best = v;
        }
    }
    return best;
}

void rk_place_note_sent(struct rk_place *p, struct rk_place_vm *vm,
                        const struct rk_place_query *q, int64_t now_ms,
                        struct rk_place_job *job)
{
    *job = (struct rk_place_job){.engine = q->engine, .sent_ms = now_ms};
    if (q->engine) {
        struct rk_place_preferred preferred;
        rk_place_find_preferred(p, q, vm->service_hash, &preferred);
        /* The VMs of a canary have not read any prefixes yet, so that none of their
         * prefixes is assumed to be cached. */
        double share =
            rk_place_is_canary(vm) ? 0 : rk_place_cached_share(&preferred, vm);
        job->load = expected_load(p, q, vm, share, now_ms);
        job->expected_ms = rk_engine_predict_ms(&vm->speed->engine, &job->load);
        rk_place_cache_segments(p, vm, q, now_ms);
        vm->waiting_tokens += job->load.uncached_tokens;
    } else {
        job->in_flight_per_slot = in_flight_per_slot(vm);
        job->expected_ms =
            rk_service_speed_plain_ms(vm->speed, job->in_flight_per_slot);
    }
    if (rk_place_canary_stats(vm, q->route, now_ms))
        job->canary_route = q->route;
    if (vm->signal)
        rk_vm_signal_note_sent(vm->signal, now_ms);
    rk_place_mark_active(p, vm);
    vm->trial_due = false;
    vm->calls++;
    vm->running++;
    vm->awaiting_first_byte++;
}
