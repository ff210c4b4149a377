/* State of the choice of vms, shared by place.c, place_loads.c, place_jobs.c and
 * place_versions.c.
 * Not for others. */
#ifndef RK_CORE_PLACE_IMPL_H
#define RK_CORE_PLACE_IMPL_H

#include "core/place.h"

#define MEMO_SLOTS 8192 /* a power of two */

/* A part was read at a vm. */
struct memo {
    uint64_t chain, vm;
    int64_t at_ms;
};

struct rk_place {
    char domain[RK_ID_MAX];
    struct rk_rng rng;
    struct rk_place_vm *vms;
    size_t vms_len;
    struct rk_place_vm *busy; /* a list by ->next_busy */
    size_t busy_len;
    struct rk_speeds speeds;
    struct rk_vm_signals signals;
    int nodes; /* of the fleet; 0: not told yet */
    struct rk_place_rollout rollouts[RK_ROLLOUTS];
    bool marked;                /* vms may point to one of them */
    struct rk_place_vm **index; /* hash table of vms; NULL: free */
    size_t index_len;           /* a power of two, twice vms_len or more */
    struct memo memos[MEMO_SLOTS];
};

/* A vm has a call in hand, here or at a peer, or had one lately. A node of a large
 * fleet calls a few of thousands, and what is done some times a second goes over
 * these only. */
void rk_place_note_busy(struct rk_place *p, struct rk_place_vm *vm);
/* Those that are to be swept are not busy. */
void rk_place_forget_busy(struct rk_place *p);

/* Is a vm off the list, without a call that needs its row? */
static inline bool rk_place_is_done(const struct rk_place_vm *vm)
{
    return !vm->listed && !vm->calls;
}

/* Forget vms that are off the list and have no call. */
void rk_place_sweep(struct rk_place *p);

/* As far as known here, all its slots are taken. */
static inline bool rk_place_is_full(const struct rk_place_vm *vm)
{
    return vm->row.slots > 0 &&
           vm->running + (int64_t)vm->peers_running >= vm->row.slots;
}

/* By its own word, whatever the list has. */
static inline bool rk_place_says_leaving(const struct rk_place_vm *vm)
{
    return vm->signal && vm->signal->leaving;
}

/* Which vms are of the new version of their service, and which of them try it. */
void rk_place_mark_versions(struct rk_place *p);

/* Where what a call of a route to a vm shows counts; NULL: nowhere. A vm that is
 * slow from its start shows nothing. */
struct rk_trial_seen *rk_place_trial_of(const struct rk_place_vm *vm,
                                        const char *route, int64_t now_ms);

#endif
