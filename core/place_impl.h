/* Internal state of the placement, shared by place.c, place_jobs.c, place_loads.c,
 * place_preferred.c, place_reach.c, place_signals.c and place_rollouts.c. Not to be
 * included by other files. */
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
    bool has_removable; /* some VMs may be removable, see rk_place_is_removable() */
    struct rk_place_vm *active; /* linked list by next_active */
    size_t active_len;
    struct rk_service_speeds speeds;
    struct rk_place_reach *reaches; /* linked list by next, one per service */
    int64_t loads_ms;               /* when the peers' loads were received */
    int64_t report_lag_ms;
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
/* Removes the VMs that a sweep is about to free from the list of active VMs. */
void rk_place_prune_active(struct rk_place *p);

/* Returns true if the VM is no longer listed and no call of this node needs its
 * record. */
static inline bool rk_place_is_removable(const struct rk_place_vm *vm)
{
    return !vm->listed && !vm->calls;
}

/* Returns the record of the service, which is created if needed. p owns it. */
struct rk_place_reach *rk_place_reach_get(struct rk_place *p, const char *service);
/* Frees the records of services without VMs, but for RK_IDLE_SERVICES_MAX. */
void rk_place_reaches_trim(struct rk_place *p);
void rk_place_reaches_free(struct rk_place *p);

/* Returns the prompt tokens of peers' calls that still wait at the engine: those
 * that they reported, less what the engine has read since. */
double rk_place_peers_waiting(const struct rk_place *p,
                              const struct rk_place_vm *vm, int64_t now_ms);

/* Returns true if the VM may get calls, as far as the list of VMs says. */
static inline bool rk_place_is_usable(const struct rk_place_vm *vm)
{
    return vm->listed && !vm->row.leaving && !vm->row.blocked;
}

/* Returns true if a VM with this record gets no calls while others are as fast,
 * because of its failed calls. */
bool rk_place_is_avoided(const struct rk_vm_health *health);

/* Returns true if all slots of the VM are taken, as far as this node knows. */
static inline bool rk_place_is_full(const struct rk_place_vm *vm)
{
    return vm->row.slots > 0 &&
           vm->running + (int64_t)vm->peers_running >= vm->row.slots;
}

/* Returns the number of nodes that share a brittle VM's slots, 0 if this node has
 * no share. All nodes share an engine: its calls last longer than reports take, so
 * that its free slots are known, and fewer nodes for each engine would read more
 * prefixes twice. The VM must have a signal. */
int rk_place_sharing_nodes(const struct rk_place *p, const struct rk_place_vm *vm,
                           bool engine);
/* Returns true unless the VM is brittle and this node's share of its slots is
 * taken. engine: it is an engine. */
bool rk_place_has_room(const struct rk_place *p, const struct rk_place_vm *vm,
                       bool engine);

/* Returns true if the VM itself has advertised that it leaves, whatever the list
 * says. */
static inline bool rk_place_advertises_leaving(const struct rk_place_vm *vm)
{
    return vm->signal && vm->signal->leaving;
}

/* Returns true if the VM may get the call, apart from limits and cooldowns that end
 * by themselves. */
bool rk_place_is_eligible(const struct rk_place_query *q, uint32_t service_hash,
                          const struct rk_place_vm *v);

/* Number of preferred VMs of a prefix. */
#define PLACE_MAX_PREFERRED 4

/* The VMs that all nodes try first for a prefix: the highest ranked ones by
 * rendezvous hashing, which is weighted by their learnt speed. */
struct rk_place_preferred {
    const struct rk_place_vm *vms[PLACE_MAX_PREFERRED];
    uint64_t ranks[PLACE_MAX_PREFERRED];
    size_t len;
    bool shared; /* ranked for a shared prefix, not for a single request */
};

/* Finds the preferred VMs of the query's prefix, or of the request if its shared
 * prefix is short. Finds none for plain services. */
void rk_place_find_preferred(const struct rk_place *p,
                             const struct rk_place_query *q, uint32_t service_hash,
                             struct rk_place_preferred *h);
/* Returns the VM's index among the preferred VMs, or -1. */
int rk_place_preferred_position(const struct rk_place_preferred *h,
                                const struct rk_place_vm *v);
/* Returns the share of the shared prefix that is assumed to be cached at the VM. */
double rk_place_cached_share(const struct rk_place_preferred *h,
                             const struct rk_place_vm *v);
/* Returns the prompt tokens that the VM need not read: those of segments
 * recently sent there, or the given share of the shared prefix if that is more. */
double rk_place_cached_tokens(struct rk_place *p, const struct rk_place_query *q,
                              const struct rk_place_vm *v, double share,
                              int64_t now_ms);
/* Records that all segments of the prompt were sent to the VM. */
void rk_place_cache_segments(struct rk_place *p, const struct rk_place_vm *vm,
                             const struct rk_place_query *q, int64_t now_ms);

/* Updates for each VM its rollout, whether it is of the new version, and whether
 * it gets the calls of the rollout. */
void rk_place_mark_versions(struct rk_place *p);

/* Returns the statistics in which calls of the route at the VM are counted, or
 * NULL if they are not counted. Calls to a VM that is still slow after its start
 * are not counted. */
struct rk_canary_stats *rk_place_canary_stats(const struct rk_place_vm *vm,
                                              const char *route, int64_t now_ms);

#endif
