/* Internal state of the placement, shared by place.c, place_jobs.c,
 * place_loads.c, place_signals.c and place_rollouts.c. Not to be included by
 * other files. */
#ifndef RK_CORE_PLACE_IMPL_H
#define RK_CORE_PLACE_IMPL_H

#include "core/place.h"

/* Number of entries in the prefix cache; a power of two. */
#define PREFIX_CACHE_SLOTS 8192

/* Entry of the prefix cache: a prompt with this prefix was sent to the VM. */
struct prefix_entry {
    uint64_t prefix_hash, vm;
    int64_t at_ms;
};

struct rk_place {
    char domain[RK_ID_MAX];
    struct rk_rng rng;
    struct rk_place_vm *vms;
    size_t vms_len;
    struct rk_place_vm *active; /* linked list by next_active */
    size_t active_len;
    struct rk_service_speeds speeds;
    struct rk_vm_signals signals;
    int nodes; /* nodes of the fleet; 0: not known yet */
    struct rk_place_rollout rollouts[RK_ROLLOUTS];
    /* Some VMs may point to an entry of rollouts. */
    bool has_marked_vms;
    /* Open-addressing hash table of VMs by id; NULL: free slot. */
    struct rk_place_vm **index;
    size_t index_len; /* a power of two, at least twice vms_len */
    struct prefix_entry prefix_cache[PREFIX_CACHE_SLOTS];
};

/* Puts the VM on the list of active VMs: those with a call in flight, here or at
 * a peer, now or recently. A node of a large fleet calls a few of thousands of
 * VMs, so work that is done several times a second goes over this list only. */
void rk_place_mark_active(struct rk_place *p, struct rk_place_vm *vm);
/* Removes the VMs that rk_place_sweep() is about to free from the list of active
 * VMs. */
void rk_place_prune_active(struct rk_place *p);

/* Returns true if the VM is no longer listed and no call of this node needs its
 * record. */
static inline bool rk_place_is_removable(const struct rk_place_vm *vm)
{
    return !vm->listed && !vm->calls;
}

/* Frees VMs that are no longer listed and have no call of this node in flight. */
void rk_place_sweep(struct rk_place *p);

/* Returns true if all slots of the VM are taken, as far as this node knows. */
static inline bool rk_place_is_full(const struct rk_place_vm *vm)
{
    return vm->row.slots > 0 &&
           vm->running + (int64_t)vm->peers_running >= vm->row.slots;
}

/* Returns true if the VM itself has advertised that it leaves, whatever the list
 * says. */
static inline bool rk_place_advertises_leaving(const struct rk_place_vm *vm)
{
    return vm->signal && vm->signal->leaving;
}

/* Updates for each VM its rollout, whether it is of the new version, and whether
 * it gets the calls of the rollout. */
void rk_place_mark_versions(struct rk_place *p);

/* Returns the statistics in which calls of the route at the VM are counted, or
 * NULL if they are not counted. Calls to a VM that is still slow after its start
 * are not counted. */
struct rk_canary_stats *rk_place_canary_stats(const struct rk_place_vm *vm,
                                              const char *route, int64_t now_ms);

#endif
