/* Calls in flight at the VMs, from this node and from its peers, and the health
 * of the VMs that these calls show. The cost of each function grows with the
 * number of active VMs, for the means also with that of services, but not with that
 * of all VMs. */
#include <stdlib.h>
#include <string.h>

#include "core/place_impl.h"

/* A VM without calls in flight is reported, and kept active, only while its health
 * record holds at least this many calls, after decay. */
#define MIN_REPORTED_CALLS 0.05

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

/* Clears the peers' loads and takes VMs off the list of active VMs that only
 * those had kept there. */
static void clear_peer_loads(struct rk_place *p, int64_t now_ms)
{
    for (struct rk_place_vm **at = &p->active; *at;) {
        struct rk_place_vm *v = *at;
        v->peers_running = 0;
        v->peers_waiting_tokens = 0;
        v->peers_health = (struct rk_vm_health){.at_ms = now_ms};
        struct rk_vm_health health = rk_vm_health_decayed(&v->health, now_ms);
        if (!v->calls && rk_vm_health_weight(&health) < MIN_REPORTED_CALLS)
            remove_active(p, at);
        else
            at = &v->next_active;
    }
}

/* ---- loads ---- */

/* Updates the mean latency ratio of each service over all its VMs. A single VM
 * counts as slow only relative to this mean. */
static void update_mean_log_ratios(struct rk_place *p, int64_t now_ms)
{
    for (struct rk_service_speed *s = p->speeds.first; s; s = s->next) {
        double log_sum = 0, calls = 0;
        for (const struct rk_place_vm *v = p->active; v; v = v->next_active) {
            if (v->speed != s)
                continue;
            struct rk_vm_health all =
                rk_vm_health_combined(&v->health, &v->peers_health, now_ms);
            log_sum += all.log_sum;
            calls += all.calls;
        }
        s->mean_log_ratio = calls > 0 ? log_sum / calls : 0;
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
    update_mean_log_ratios(p, now_ms);
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
