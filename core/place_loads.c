/* What is in hand at the vms, by this node and by its peers, and what their calls
 * show of the vms. Its cost goes by the vms that are busy. */
#include <stdlib.h>
#include <string.h>

#include "core/place_impl.h"

#define TOLD_CALLS 0.05 /* calls that still count; less isn't told */

/* ---- busy vms ---- */

void rk_place_note_busy(struct rk_place *p, struct rk_place_vm *vm)
{
    if (vm->is_busy)
        return;
    vm->is_busy = true;
    vm->next_busy = p->busy;
    p->busy = vm;
    p->busy_len++;
}

size_t rk_place_busy_len(const struct rk_place *p)
{
    return p->busy_len;
}

static void drop_busy(struct rk_place *p, struct rk_place_vm **at)
{
    struct rk_place_vm *v = *at;
    *at = v->next_busy;
    v->is_busy = false;
    p->busy_len--;
}

void rk_place_forget_busy(struct rk_place *p)
{
    for (struct rk_place_vm **at = &p->busy; *at;) {
        if (rk_place_is_done(*at))
            drop_busy(p, at);
        else
            at = &(*at)->next_busy;
    }
}

/* Forget what the peers had in hand, and the vms that nothing else is known of. */
static void clear_peers(struct rk_place *p, int64_t now_ms)
{
    for (struct rk_place_vm **at = &p->busy; *at;) {
        struct rk_place_vm *v = *at;
        v->peers_running = 0;
        v->peers_waiting_tokens = 0;
        v->peers_pace = (struct rk_pace){.at_ms = now_ms};
        struct rk_pace pace = rk_pace_at(&v->pace, now_ms);
        if (!v->calls && rk_pace_weight(&pace) < TOLD_CALLS)
            drop_busy(p, at);
        else
            at = &v->next_busy;
    }
}

/* ---- loads ---- */

/* What all vms of each service show together, against which one of them is slow. */
static void take_means(struct rk_place *p, int64_t now_ms)
{
    for (struct rk_speed *s = p->speeds.first; s; s = s->next) {
        double log_sum = 0, calls = 0;
        for (const struct rk_place_vm *v = p->busy; v; v = v->next_busy) {
            if (v->speed != s)
                continue;
            struct rk_pace all = rk_pace_add(&v->pace, &v->peers_pace, now_ms);
            log_sum += all.log_sum;
            calls += all.calls;
        }
        s->pace_mean = calls > 0 ? log_sum / calls : 0;
    }
}

/* As peers are told; 0: its lives can't be told apart. */
static uint32_t life_told(const struct rk_place_vm *v)
{
    return v->row.born_ms ? (uint32_t)v->hash : 0;
}

void rk_place_set_loads(struct rk_place *p, const struct rk_vm_load *loads,
                        size_t len, int64_t now_ms)
{
    clear_peers(p, now_ms);
    for (size_t i = 0; i < len; i++) {
        struct rk_place_vm *v = rk_place_find(p, loads[i].id);
        if (!v || (loads[i].life && loads[i].life != life_told(v)))
            continue;
        rk_place_note_busy(p, v);
        v->peers_running += loads[i].running;
        v->peers_waiting_tokens += loads[i].waiting_tokens;
        v->peers_pace.at_ms = now_ms;
        rk_pace_sum(&v->peers_pace, &loads[i].pace);
    }
    take_means(p, now_ms);
}

size_t rk_place_own_loads(const struct rk_place *p, int64_t now_ms,
                          struct rk_vm_load **out)
{
    size_t len = 0;
    *out = rk_alloc(p->busy_len + 1, sizeof(**out));
    for (const struct rk_place_vm *v = p->busy; v; v = v->next_busy) {
        struct rk_pace pace = rk_pace_at(&v->pace, now_ms);
        if (v->over || (v->running <= 0 && rk_pace_weight(&pace) < TOLD_CALLS))
            continue;
        struct rk_vm_load *load = &(*out)[len++];
        rk_strcpy(load->id, sizeof(load->id), v->row.id);
        load->life = life_told(v);
        load->running = (uint32_t)v->running;
        load->waiting_tokens = v->waiting_tokens;
        load->pace = pace;
    }
    return len;
}

struct rk_place_in_hand rk_place_in_hand(const struct rk_place *p,
                                         const char *service)
{
    struct rk_place_in_hand sum = {0};
    for (const struct rk_place_vm *v = p->busy; v; v = v->next_busy) {
        if (strcmp(v->row.service, service) != 0)
            continue;
        sum.running += (uint32_t)v->running;
        sum.begun += (uint32_t)(v->running - v->unbegun);
    }
    return sum;
}
