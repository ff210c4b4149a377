/* Calls in flight at the VMs, from this node and from its peers, and the health
 * of the VMs that these calls show. The cost of each function grows with the
 * number of active VMs, for the means also with that of services, but not with that
 * of all VMs. */
#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "core/place_impl.h"

/* Least time between two reports of a change of the same VM's speed. */
#define SPEED_REPORT_INTERVAL_MS 5000
/* A factor of 1. */
#define PERCENT 100

/* A VM without calls in flight is reported, and kept active, only while its health
 * record holds at least this many calls, after decay. */
#define MIN_REPORTED_CALLS 0.05

/* Part of the mean calls of its service's VMs that a slow VM gets at least. With
 * fewer, its speed is measured by trials: more of them once these show that it is
 * less slow than it was. */
#define TRIAL_SHARE          0.1
#define TRIAL_SHARE_IMPROVED 0.8
/* Least growth of the recent calls that shows a new one. */
#define NEW_CALL 0.5
/* Part of the logarithm of its factor below which its recent calls, of this number
 * at least, show that. */
#define IMPROVED_LOG_SHARE 0.5
#define IMPROVED_MIN_CALLS 1
/* Failed or refused calls, decaying, from which on a slow VM gets no trials: one
 * keeps them away for 1.5 s. */
#define TRIAL_MAX_FAILED_SLOW 0.5
/* The same of a VM that is avoided only because of its failed calls: one keeps them
 * away for 5 s. */
#define TRIAL_MAX_FAILED 0.1

/* ---- active VMs ---- */

void rk_place_mark_active(struct rk_place *p, struct rk_place_vm *vm)
{
    if (vm->is_active)
        return;
    vm->is_active = true;
    vm->next_active = p->active;
    p->active = vm;
    p->active_len++;
}

size_t rk_place_active_len(const struct rk_place *p)
{
    return p->active_len;
}

static void remove_active(struct rk_place *p, struct rk_place_vm **at)
{
    struct rk_place_vm *v = *at;
    *at = v->next_active;
    v->is_active = false;
    p->active_len--;
}

void rk_place_prune_active(struct rk_place *p)
{
    for (struct rk_place_vm **at = &p->active; *at;) {
        if (rk_place_is_removable(*at))
            remove_active(p, at);
        else
            at = &(*at)->next_active;
    }
}

/* Returns true if the VM stays active without peers' loads. A VM whose speed factor
 * is not 1 stays, because only the records of active VMs decay: it would count as
 * slow for good. One that is avoided stays, because only active VMs get trials. */
static bool stays_active(const struct rk_place_vm *v, int64_t now_ms)
{
    struct rk_vm_health health = rk_vm_health_decayed(&v->health, now_ms);
    return v->calls || rk_vm_health_weight(&health) >= MIN_REPORTED_CALLS ||
           v->speed_factor != 1 || rk_place_is_avoided(&health);
}

/* Clears the peers' loads and takes VMs off the list of active VMs that only
 * those had kept there. */
static void clear_peer_loads(struct rk_place *p, int64_t now_ms)
{
    for (struct rk_place_vm **at = &p->active; *at;) {
        struct rk_place_vm *v = *at;
        v->peers_running = 0;
        v->peers_waiting_tokens = 0;
        v->peers_health = (struct rk_vm_health){.at_ms = now_ms};
        if (stays_active(v, now_ms))
            at = &v->next_active;
        else
            remove_active(p, at);
    }
}

/* ---- loads ---- */

static double calls_in_flight(const struct rk_place_vm *v)
{
    return v->running + (double)v->peers_running;
}

/* Updates the recent calls of all nodes and adds them to the long-term records. */
static void observe_speeds(struct rk_place *p, int64_t now_ms)
{
    for (struct rk_place_vm *v = p->active; v; v = v->next_active) {
        double before = rk_vm_health_decayed(&v->recent, now_ms).calls;
        v->recent = rk_vm_health_combined(&v->health, &v->peers_health, now_ms);
        if (calls_in_flight(v) > 0 || v->recent.calls >= before + NEW_CALL)
            v->called_ms = now_ms;
        rk_vm_speed_observe(&v->lasting_speed, &v->recent, now_ms);
    }
}

/* Updates the mean latency ratios of each service over all its VMs. A single VM
 * counts as slow only relative to these means. */
static void update_mean_log_ratios(struct rk_place *p)
{
    for (struct rk_service_speed *s = p->speeds.first; s; s = s->next) {
        double log_sum = 0, calls = 0;
        size_t vms = 0;
        double lasting_log_sum = 0, lasting_calls = 0;
        for (const struct rk_place_vm *v = p->active; v; v = v->next_active) {
            if (v->speed != s)
                continue;
            log_sum += v->recent.log_sum;
            calls += v->recent.calls;
            vms++;
            lasting_log_sum += v->lasting_speed.log_sum;
            lasting_calls += v->lasting_speed.calls;
        }
        s->mean_log_ratio = calls > 0 ? log_sum / calls : 0;
        s->calls_per_vm = vms > 0 ? calls / (double)vms : 0;
        s->mean_lasting_log_ratio =
            lasting_calls > 0 ? lasting_log_sum / lasting_calls : 0;
        struct rk_engine_estimate estimate = rk_engine_get_estimate(&s->engine);
        s->read_per_ms = rk_engine_read_per_s(&estimate) / RK_MS_PER_S;
    }
}

static void update_speed_factors(struct rk_place *p)
{
    for (struct rk_place_vm *v = p->active; v; v = v->next_active) {
        v->speed_factor =
            rk_vm_speed_factor(&v->lasting_speed, v->speed->mean_lasting_log_ratio);
        v->speed_step = rk_vm_speed_step(v->speed_factor);
    }
}

static bool has_improved(const struct rk_place_vm *v)
{
    double log_max =
        v->speed->mean_log_ratio + IMPROVED_LOG_SHARE * log(v->speed_factor);
    return v->recent.calls >= IMPROVED_MIN_CALLS &&
           v->recent.log_sum < log_max * v->recent.calls;
}

/* Returns true if the VM's part of the calls is below this share of the mean: by
 * its recent calls or, while those still hold many from before it was avoided, by
 * the time since the last one. */
static bool is_called_rarely(const struct rk_place_vm *v, double share,
                             int64_t now_ms)
{
    double calls = share * v->speed->calls_per_vm;
    double interval_ms = calls > 0 ? RK_VM_HEALTH_MEAN_MS / calls : INFINITY;
    return v->recent.calls + calls_in_flight(v) < calls ||
           (calls_in_flight(v) <= 0 &&
            (double)(now_ms - v->called_ms) > interval_ms);
}

/* Returns true if the VM counts as slow, or calls failed there some time ago, and
 * it gets too few calls to show whether that is still so. A VM that fails or
 * refuses calls now is not tried. */
static bool needs_trial(const struct rk_place_vm *v, int64_t now_ms)
{
    const struct rk_vm_health *recent = &v->recent;
    bool slow = v->speed_factor > 1;
    if (!slow && recent->failed <= 0)
        return false;
    double max_failed = slow ? TRIAL_MAX_FAILED_SLOW : TRIAL_MAX_FAILED;
    double share = slow && has_improved(v) ? TRIAL_SHARE_IMPROVED : TRIAL_SHARE;
    return recent->failed < max_failed && recent->refused < max_failed &&
           is_called_rarely(v, share, now_ms);
}

/* Calls of a trial are known to peers a report later. Until then other nodes may
 * begin one, too: the fleet begins one in the time of two reports, on average. */
static void schedule_trials(struct rk_place *p, int64_t now_ms)
{
    uint32_t nodes = p->nodes > 0 ? (uint32_t)p->nodes : 1;
    for (struct rk_place_vm *v = p->active; v; v = v->next_active) {
        if (!needs_trial(v, now_ms))
            v->trial_due = false;
        else if (!rk_rng_below(&p->rng, 2 * nodes))
            v->trial_due = true;
    }
}

/* Returns the incarnation as reported to peers, or 0 if the VM's incarnations
 * can't be told apart. */
static uint32_t reported_incarnation(const struct rk_place_vm *v)
{
    return v->row.started_ms ? (uint32_t)v->hash : 0;
}

void rk_place_set_loads(struct rk_place *p, const struct rk_vm_load *loads,
                        size_t len, int64_t now_ms)
{
    clear_peer_loads(p, now_ms);
    p->loads_ms = now_ms;
    for (size_t i = 0; i < len; i++) {
        struct rk_place_vm *v = rk_place_find(p, loads[i].id);
        if (!v || (loads[i].incarnation &&
                   loads[i].incarnation != reported_incarnation(v)))
            continue;
        rk_place_mark_active(p, v);
        v->peers_running += loads[i].running;
        v->peers_waiting_tokens += loads[i].waiting_tokens;
        v->peers_health.at_ms = now_ms;
        rk_vm_health_accumulate(&v->peers_health, &loads[i].health);
    }
    observe_speeds(p, now_ms);
    update_mean_log_ratios(p);
    update_speed_factors(p);
    schedule_trials(p, now_ms);
}

void rk_place_set_report_lag(struct rk_place *p, int64_t lag_ms)
{
    p->report_lag_ms = lag_ms;
}

/* An engine reads what waits within less time than a report takes. When the
 * reported tokens counted in full, all nodes avoided the same busy engines and met
 * at the same idle ones: bursts of 60,000 tokens within 0.4 s were twice as
 * frequent as with engines chosen at random (88 nodes, 60 engines). */
double rk_place_peers_waiting(const struct rk_place *p,
                              const struct rk_place_vm *vm, int64_t now_ms)
{
    double age_ms = (double)(now_ms - p->loads_ms + p->report_lag_ms);
    double read = vm->speed->read_per_ms * age_ms / vm->speed_factor;
    return fmax(0, vm->peers_waiting_tokens - read);
}

size_t rk_place_own_loads(const struct rk_place *p, int64_t now_ms,
                          struct rk_vm_load **out)
{
    size_t len = 0;
    *out = rk_alloc(p->active_len + 1, sizeof(**out));
    for (const struct rk_place_vm *v = p->active; v; v = v->next_active) {
        struct rk_vm_health health = rk_vm_health_decayed(&v->health, now_ms);
        if (v->superseded ||
            (v->running <= 0 && rk_vm_health_weight(&health) < MIN_REPORTED_CALLS))
            continue;
        struct rk_vm_load *load = &(*out)[len++];
        rk_strcpy(load->id, sizeof(load->id), v->row.id);
        load->incarnation = reported_incarnation(v);
        load->running = (uint32_t)v->running;
        load->waiting_tokens = v->waiting_tokens;
        load->health = health;
    }
    return len;
}

/* ---- speeds ---- */

int rk_place_speed_pct(const struct rk_place_vm *vm)
{
    return (int)lround(vm->speed_factor * PERCENT);
}

size_t rk_place_copy_speeds(const struct rk_place *p, struct rk_place_speed **out)
{
    size_t len = 0;
    *out = rk_alloc(p->active_len + 1, sizeof(**out));
    for (const struct rk_place_vm *v = p->active; v; v = v->next_active) {
        int pct = rk_place_speed_pct(v);
        if (v->superseded || !v->listed || pct == PERCENT)
            continue;
        struct rk_place_speed *speed = &(*out)[len++];
        rk_strcpy(speed->vm, sizeof(speed->vm), v->row.id);
        speed->factor_pct = pct;
    }
    return len;
}

const struct rk_place_vm *rk_place_next_speed_change(struct rk_place *p,
                                                     int64_t now_ms)
{
    for (struct rk_place_vm *v = p->active; v; v = v->next_active) {
        if (v->superseded || !v->listed || v->speed_step == v->reported_step ||
            (v->step_reported_ms &&
             now_ms - v->step_reported_ms < SPEED_REPORT_INTERVAL_MS))
            continue;
        v->reported_step = v->speed_step;
        v->step_reported_ms = now_ms;
        return v;
    }
    return NULL;
}

/* ---- calls of this node ---- */

struct rk_place_in_flight rk_place_in_flight(const struct rk_place *p,
                                             const char *service)
{
    struct rk_place_in_flight sum = {0};
    for (const struct rk_place_vm *v = p->active; v; v = v->next_active) {
        if (strcmp(v->row.service, service) != 0)
            continue;
        sum.running += (uint32_t)v->running;
        sum.first_byte_received += (uint32_t)(v->running - v->awaiting_first_byte);
    }
    return sum;
}
