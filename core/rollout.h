/* Progress of a rollout. An operator orders that a service's calls move to VMs of
 * another version within a given time. First a few calls go to the new version
 * (canary). Then one of its VMs gets full load. Then all new calls move, while the
 * old VMs finish what they are running. A version that turns out to be bad is
 * rolled back.
 *
 * The leader decides and publishes a rule, which every node applies to its calls.
 * Pure: no I/O, no clock. Not thread-safe. */
#ifndef RK_CORE_ROLLOUT_H
#define RK_CORE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/canary.h"

#define RK_ROLLOUTS 4 /* services rolled out at the same time, at most */
/* All calls, in the unit of shares: hundredths of a percent. */
#define RK_ROLLOUT_SHARE_ALL 10000
#define RK_VERSION_MAX       32 /* bytes, including the NUL */

/* Phases, in their order. RK_ROLLOUT_CANARY: a small share of the calls goes to the
 * new version. RK_ROLLOUT_LOAD_TEST may be skipped. */
enum rk_rollout_phase {
    RK_ROLLOUT_CANARY,
    RK_ROLLOUT_LOAD_TEST,   /* one VM gets as many calls as an old one */
    RK_ROLLOUT_CUTOVER,     /* all new calls move; old VMs finish their calls */
    RK_ROLLOUT_COMMITTED,   /* final: the old VMs are gone */
    RK_ROLLOUT_ROLLED_BACK, /* final: the new version gets no calls */
};

/* State of an order, as recorded in the store. */
enum rk_rollout_state {
    RK_ROLLOUT_ORDERED,
    RK_ROLLOUT_RUNNING,
    RK_ROLLOUT_DONE,
    RK_ROLLOUT_REVERTED,
};
/* An operator's order. */
struct rk_rollout_order {
    char service[RK_ID_MAX];
    char version[RK_VERSION_MAX];
    int64_t duration_ms;
    enum rk_rollout_state state; /* state of this version */
};

/* Limits on the damage by a bad version, from the process file. */
struct rk_rollout_bounds {
    double share; /* share of the service's calls that it may get */
    double slack; /* calls that it may get in addition */
    /* Time in ms from its 50th bad response until it must get no more calls. */
    int64_t rollback_ms;
};

/* Rule of a rollout that all nodes apply to the calls of its service. */
struct rk_rollout_rule {
    char service[RK_ID_MAX];
    char version[RK_VERSION_MAX]; /* the new version */
    enum rk_rollout_phase phase;
    uint32_t share;    /* of new calls, in units of 1 / RK_ROLLOUT_SHARE_ALL */
    uint32_t vms;      /* number of new VMs that get them; 0: all */
    uint32_t rotation; /* selects which VMs; each number selects others */
    int64_t revision;  /* incremented with every change of the rule */
};

/* Results of calls to both versions, as nodes report them to each other. */
struct rk_rollout_stats {
    char service[RK_ID_MAX];
    char version[RK_VERSION_MAX];
    struct rk_canary_rows rows;
    double old_running; /* calls in flight on old VMs, over all nodes */
};

/* Input of the leader's decisions on a rollout. */
struct rk_rollout_input {
    int64_t now_ms;
    size_t old_vms, new_vms; /* VMs that accept calls */
    size_t new_domains;      /* failure domains with new VMs */
    double old_running;      /* calls in flight on old VMs */
    const struct rk_canary_rows *canary_rows;
};

/* A rollout at the leader. */
struct rk_rollout {
    struct rk_rollout_order order;
    struct rk_rollout_bounds bounds;
    struct rk_rollout_rule rule;
    int64_t ordered_ms;               /* when it was ordered, as far as known */
    int64_t rotated_ms;               /* when the canary VMs were last changed */
    int64_t phase_ms;                 /* when the phase began */
    bool load_tested;                 /* RK_ROLLOUT_LOAD_TEST was entered already */
    struct rk_canary_rows at_cutover; /* results when the cutover began */
    struct rk_canary_finding finding;
};

/* Returns the results for a service and version among len entries, or NULL. */
struct rk_rollout_stats *rk_rollout_stats_find(struct rk_rollout_stats *all,
                                               size_t len, const char *service,
                                               const char *version);
/* Returns the rule of a service among len rules, or NULL. */
const struct rk_rollout_rule *
rk_rollout_rule_find(const struct rk_rollout_rule *rules, size_t len,
                     const char *service);
/* Adds rows to a sum. Skips invalid rows and rows without room; returns how many
 * were skipped. */
size_t rk_rollout_add(struct rk_canary_rows *sum,
                      const struct rk_canary_rows *more);

/* Starts a rollout, or resumes it. elapsed_ms: time since it was ordered. Continues
 * the revisions of r->rule, so *r must be zeroed or hold an earlier rollout. */
void rk_rollout_begin(struct rk_rollout *r, const struct rk_rollout_order *order,
                      const struct rk_rollout_bounds *bounds, int64_t now_ms,
                      int64_t elapsed_ms);

/* Rolls back after the operator cancelled the order, unless the rollout is over. */
void rk_rollout_cancel(struct rk_rollout *r, int64_t now_ms);

/* Updates r->rule, which the caller publishes; returns whether it changed. */
bool rk_rollout_step(struct rk_rollout *r, const struct rk_rollout_input *view);

/* Returns the state that the store should record now. */
enum rk_rollout_state rk_rollout_state_of(const struct rk_rollout *r);

/* Returns whether a rule sends the call with this hash to the new version. */
bool rk_rollout_uses_new(const struct rk_rollout_rule *rule, uint64_t request);

/* Returns the name of a phase, as logged. Static. */
const char *rk_rollout_phase_str(enum rk_rollout_phase phase);

#endif
