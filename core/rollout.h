/* The course of a roll-out: an operator orders that a service's calls move to vms
 * of another version within a time. Few calls try it, then a vm of it at full load,
 * then all new calls move while what runs on the old vms ends; or it is given back.
 * What each node does of it is a rule that the holder of the duties tells. Pure. */
#ifndef RK_CORE_ROLLOUT_H
#define RK_CORE_ROLLOUT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/trial.h"

#define RK_ROLLOUTS 4 /* services at once */
#define RK_ROLLOUT_ALL                                                             \
    10000 /* a share of all calls, in hundredths of a percent                      \
           */
#define RK_VERSION_TEXT 32

enum rk_rollout_phase {
    RK_ROLLOUT_TRIAL,
    RK_ROLLOUT_LOAD,       /* one vm gets as many calls as an old one does */
    RK_ROLLOUT_SHIFT,      /* all new calls move; old vms end what they run */
    RK_ROLLOUT_TAKEN,      /* for good: the old vms are gone */
    RK_ROLLOUT_GIVEN_BACK, /* for good: the new version gets no call */
};

/* As the operator ordered it and the store records its state. */
enum rk_rollout_state {
    RK_ROLLOUT_ORDERED,
    RK_ROLLOUT_RUNNING,
    RK_ROLLOUT_DONE,
    RK_ROLLOUT_UNDONE,
};
struct rk_rollout_order {
    char service[RK_ID_MAX];
    char version[RK_VERSION_TEXT];
    int64_t duration_ms;
    enum rk_rollout_state state; /* of this very version */
};

/* What bounds a version that turns out to be bad; from the process file. */
struct rk_rollout_bounds {
    double share;       /* of the service's calls that it may get */
    double slack;       /* and so many on top */
    int64_t give_up_ms; /* after its 50th bad answer it gets none */
};

/* What the nodes do for one service. */
struct rk_rollout_rule {
    char service[RK_ID_MAX];
    char version[RK_VERSION_TEXT]; /* the new one */
    enum rk_rollout_phase phase;
    uint32_t share;   /* of new calls, of RK_ROLLOUT_ALL */
    uint32_t vms;     /* of the new version that get them; 0: all */
    uint32_t turn;    /* which ones: others with each number */
    int64_t revision; /* rises with each change of the rule */
};

/* What calls to both versions showed, as nodes tell each other. */
struct rk_rollout_seen {
    char service[RK_ID_MAX];
    char version[RK_VERSION_TEXT];
    struct rk_trial_rows rows;
    double old_running; /* calls in hand at old vms, of all nodes */
};

/* What the holder sees when it decides. */
struct rk_rollout_view {
    int64_t now_ms;
    size_t old_vms, new_vms; /* that take calls */
    size_t new_domains;      /* that have new ones */
    double old_running;      /* calls in hand there */
    const struct rk_trial_rows *seen;
};

struct rk_rollout {
    struct rk_rollout_order order;
    struct rk_rollout_bounds bounds;
    struct rk_rollout_rule rule;
    int64_t begun_ms;  /* when it was ordered, as far as is known */
    int64_t turned_ms; /* when the vms changed that try it */
    int64_t phase_ms;  /* when the phase began */
    bool loaded;       /* RK_ROLLOUT_LOAD is over */
    struct rk_trial_finding finding;
};

/* Each roll-out that calls were counted for. */
struct rk_rollout_seen *rk_rollout_seen_of(struct rk_rollout_seen *all, size_t len,
                                           const char *service,
                                           const char *version);
/* The rule of a service; NULL: there is none. */
const struct rk_rollout_rule *
rk_rollout_rule_find(const struct rk_rollout_rule *rules, size_t len,
                     const char *service);
/* Add rows to a sum; those that can't be are left out, and counted. */
size_t rk_rollout_add(struct rk_trial_rows *sum, const struct rk_trial_rows *more);

/* passed_ms: of its time, already. */
void rk_rollout_begin(struct rk_rollout *r, const struct rk_rollout_order *order,
                      const struct rk_rollout_bounds *bounds, int64_t now_ms,
                      int64_t passed_ms);

/* The order was taken back. */
void rk_rollout_drop(struct rk_rollout *r, int64_t now_ms);

/* Decide; r->rule is what to tell. True: it changed. */
bool rk_rollout_step(struct rk_rollout *r, const struct rk_rollout_view *view);

/* What the store should record now. */
enum rk_rollout_state rk_rollout_state_of(const struct rk_rollout *r);

/* Does the call with this hash try the new version under a rule? */
bool rk_rollout_tries(const struct rk_rollout_rule *rule, uint64_t request);

const char *rk_rollout_phase_str(enum rk_rollout_phase phase);

#endif
