/* Where a routed call runs: the upstream vms of the fleet, what is in hand at
 * each by this node and by its peers, and the choice by predicted time to the
 * first byte. Deterministic but for the seed; one thread's. */
#ifndef RK_CORE_PLACE_H
#define RK_CORE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/rollout.h"
#include "core/speeds.h"
#include "core/vm_signals.h"

#define RK_PLACE_PARTS    16
#define RK_PLACE_EXCLUDED 4

/* A vm as the platform's list tells it. */
struct rk_vm_row {
    char id[RK_ID_MAX];
    int64_t
        born_ms; /* when this life of it was started, by its clock; 0: not told */
    char addr[RK_ADDR_MAX];
    char service[RK_ID_MAX];
    char domain[RK_ID_MAX];
    int64_t slots;
    bool leaving;
    bool reclaimable;
    int64_t leaves_in_ms;          /* of a leaving one, -1: not told */
    char version[RK_VERSION_TEXT]; /* of its software */
    int64_t cold_ms; /* it is slow for so long after its start, when it was told */
    bool barred;     /* of a version that nobody ordered, as far as is known */
};

/* What nodes have in hand at a vm, and how it served them. */
struct rk_vm_load {
    char id[RK_ID_MAX];
    uint32_t life; /* of rk_vm_life(); 0: not told */
    uint32_t running;
    double waiting_tokens; /* of prompts not begun */
    struct rk_pace pace;   /* as it counts when this is told */
};

/* One vm. Readable for all, written by place.c. */
struct rk_place_vm {
    struct rk_vm_row row;
    struct rk_place_vm *next;
    struct rk_place_vm *next_busy;
    bool is_busy;
    uint64_t hash;
    uint32_t service_hash;
    struct rk_vm_signal *signal; /* what it says of itself; NULL: nothing yet */
    bool listed;
    bool over; /* it was started again since: kept for the calls in hand */
    int calls; /* of this node, in hand: kept until none is left */
    int running;
    int unbegun; /* of these, the ones without a first byte */
    double waiting_tokens;
    uint32_t peers_running;
    double peers_waiting_tokens;
    int failures; /* in a row */
    int64_t paused_until_ms;
    struct rk_speed *speed;          /* of its service */
    struct rk_pace pace, peers_pace; /* as this node's calls, as its peers' show */
    const struct rk_place_rollout *rollout; /* of its service; NULL: none */
    int64_t left_ms;      /* when it was told to leave; 0: it wasn't */
    bool is_new;          /* of the version that the roll-out is to */
    bool gets_new;        /* it is among those that try it now */
    int64_t warm_from_ms; /* it is slow until then */
};

/* A roll-out as this node goes by it, and what its calls showed. */
struct rk_place_rollout {
    struct rk_rollout_rule rule; /* without a service: free */
    bool is_fresh; /* the rule was told lately; else nothing new is tried */
    struct rk_trial_rows seen;
};

struct rk_place_part {
    uint64_t chain; /* hash of this part and all before it */
    uint32_t tokens;
};

/* A call to place. */
struct rk_place_query {
    const char *service;
    bool engine;
    struct rk_place_part parts[RK_PLACE_PARTS];
    size_t parts_len;
    double tokens_in;
    uint64_t request;  /* a hash: spreads calls that share little */
    const char *route; /* its name; valid as long as the call */
    bool tries;        /* it goes to a new version where there is one */
    uint64_t excluded[RK_PLACE_EXCLUDED]; /* hashes of vms that failed it */
    size_t excluded_len;
};

/* Is it another life of the same vm? */
bool rk_vm_is_reborn(const struct rk_vm_row *before, const struct rk_vm_row *now);
/* A hash that tells its lives apart. */
uint64_t rk_vm_life(const struct rk_vm_row *row);

struct rk_place;

struct rk_place *rk_place_create(const char *domain, uint64_t seed);
void rk_place_destroy(struct rk_place *p);

/* The list as it stands now. */
void rk_place_set_vms(struct rk_place *p, const struct rk_vm_row *rows, size_t len,
                      int64_t now_ms);
/* What changed of it: vms by their ids that are off it, then rows that are new or
 * other than before. Costs by what changed. */
void rk_place_change_vms(struct rk_place *p, const struct rk_vm_row *rows,
                         size_t len, const char (*gone)[RK_ID_MAX], size_t gone_len,
                         int64_t now_ms);
/* Roll-outs as they stand now. What calls showed of one that goes on is kept. */
void rk_place_set_rollouts(struct rk_place *p, const struct rk_rollout_rule *rules,
                           size_t len, bool is_fresh);
const struct rk_place_rollout *
rk_place_rollouts(const struct rk_place *p); /* all */

/* Is a vm of a version that is only tried yet? */
bool rk_place_is_trial(const struct rk_place_vm *vm);

/* Calls in hand at vms that a roll-out moves away from, of all nodes. */
double rk_place_old_running(const struct rk_place_rollout *r,
                            const struct rk_place *p);

/* The holder's word is old, and the old vms may be gone meanwhile: may the query go
 * to a new one, as no other can take it? */
bool rk_place_may_move(const struct rk_place *p, const struct rk_place_query *q);

/* Does the query try a new version? Asked once a call, that all its attempts agree.
 */
bool rk_place_tries(const struct rk_place *p, const struct rk_place_query *q);

/* What the peers have in hand; a vm may be told of more than once. */
void rk_place_set_loads(struct rk_place *p, const struct rk_vm_load *loads,
                        size_t len, int64_t now_ms);
/* What this node has in hand, to be told to peers. Returns how many rows; *out is
 * the caller's to free. */
size_t rk_place_own_loads(const struct rk_place *p, int64_t now_ms,
                          struct rk_vm_load **out);
/* Calls of this node in hand at the vms of a service. */
struct rk_place_in_hand {
    uint32_t running;
    uint32_t begun; /* of these, the ones with a first byte */
};
struct rk_place_in_hand rk_place_in_hand(const struct rk_place *p,
                                         const char *service);
/* Vms that calls are in hand at, here or at peers, or were lately. */
size_t rk_place_busy_len(const struct rk_place *p);

/* NULL: it isn't known. */
struct rk_place_vm *rk_place_find(struct rk_place *p, const char *id);

/* Parse "ID:TOKENS,..." into the query's parts. */
void rk_place_parse_parts(struct rk_place_query *q, const char *text);

/* The best vm, or NULL when none can take the call. first: predicted time to its
 * first byte there, without what speaks against the vm itself. */
struct rk_place_vm *rk_place_choose(struct rk_place *p,
                                    const struct rk_place_query *q, int64_t now_ms,
                                    struct rk_engine_forecast *first);

/* Tokens of the query's prompt that a vm would have to read. */
double rk_place_unread(struct rk_place *p, const struct rk_place_query *q,
                       const struct rk_place_vm *vm, int64_t now_ms);

/* Another vm that is likely to keep the query's prefix, from which vm can copy what
 * it lacks; NULL: none, or there is little to copy. */
const struct rk_place_vm *rk_place_source(const struct rk_place *p,
                                          const struct rk_place_query *q,
                                          const struct rk_place_vm *vm,
                                          int64_t now_ms);

/* Which of the homes of the query's prefix a vm is; -1: none. */
int rk_place_home(const struct rk_place *p, const struct rk_place_query *q,
                  const struct rk_place_vm *vm);

/* A call's attempt at a vm, from when it is sent until it ends. */
struct rk_place_job {
    struct rk_engine_load load; /* what it met there; of an engine */
    double in_hand_per_slot;    /* the same, of a plain service */
    double expected_ms;         /* to its first byte, by the service's speed */
    int64_t sent_ms;
    bool engine;
    bool first;        /* it has got its first byte */
    bool odd;          /* it goes on with a stream: no measure of the vm's speed */
    const char *route; /* of a trial that what it shows counts for; NULL: of none */
};

void rk_place_sent(struct rk_place *p, struct rk_place_vm *vm,
                   const struct rk_place_query *q, int64_t now_ms,
                   struct rk_place_job *job);
/* Its first byte came; only the first time counts. */
void rk_place_first(struct rk_place_vm *vm, struct rk_place_job *job,
                    int64_t now_ms);

enum rk_place_end {
    RK_PLACE_DONE,
    RK_PLACE_ERROR,   /* it answered that it failed */
    RK_PLACE_LOST,    /* unreachable, reset, silent */
    RK_PLACE_REFUSED, /* it proved that it did not run the call */
    RK_PLACE_CALLED_OFF,
};

/* A job's vm says nothing, and the job waits on: others had better go elsewhere. */
void rk_place_silent(struct rk_place_vm *vm, const struct rk_place_job *job,
                     int64_t now_ms);

void rk_place_ended(struct rk_place *p, struct rk_place_vm *vm,
                    struct rk_place_job *job, enum rk_place_end end,
                    int64_t now_ms);

/* What is known of a service's speed. */
struct rk_speed *rk_place_speed_of(struct rk_place *p, const char *service);

/* An answer of a vm, which came now, says something of the vm itself. Returns what
 * changed, as rk_vm_signal_hear(). */
unsigned rk_place_hear(struct rk_place *p, struct rk_place_vm *vm,
                       const struct rk_vm_said *said, int64_t now_ms);
/* What control knows of them, and of this node's part in their limits. */
void rk_place_set_signals(struct rk_place *p, const struct rk_vm_signal *rows,
                          size_t len, int64_t now_ms);
/* Nodes of the fleet: all have an equal part in a limit that was just named, until
 * control tells another. */
void rk_place_set_nodes(struct rk_place *p, int nodes);
/* Copies of what was said lately, and of all limits. Returns how many; *out is the
 * caller's to free. */
size_t rk_place_copy_signals(const struct rk_place *p, int64_t now_ms,
                             struct rk_vm_signal **out);
/* May a call go to the vm now, by what the vm says of itself? */
bool rk_place_may_send(const struct rk_place_vm *vm, int64_t now_ms);
/* Until a vm of the query's service may take a call that none may now, by what they
 * say of themselves; 0: it isn't that, or nobody can say. */
int64_t rk_place_wait_ms(const struct rk_place *p, const struct rk_place_query *q,
                         int64_t now_ms);
/* Vms that want nothing from this node now. */
size_t rk_place_resting(const struct rk_place *p, int64_t now_ms);
/* Forget what vms said that weren't heard for long. */
void rk_place_forget_signals(struct rk_place *p, int64_t now_ms);

/* All vms, a list by ->next. */
const struct rk_place_vm *rk_place_vms(const struct rk_place *p);

#endif
