/* VM planning for one service in one failure domain. Computes a few starts and
 * stops from demand, VMs held, prices, refused starts and the history of reclaims.
 * Pure: no I/O, no clock.
 *
 * The floor: work that must be answered now runs on VMs that cannot all be
 * reclaimed at once. All reclaimable VMs of a failure domain may go in one wave, so
 * the floor is on-demand VMs, less the free slots of other failure domains.
 * Everything above the floor goes to the class with the lowest effective price,
 * which includes the tokens that have to be computed again after reclaims. Prices
 * change: a VM that has become much more expensive than another class is replaced,
 * one VM at a time. */
#ifndef RK_CORE_PLAN_H
#define RK_CORE_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_PLAN_CLASSES 16
#define RK_PLAN_ACTIONS 32

/* A VM class as input of the plan. */
struct rk_plan_class {
    char name[RK_ID_MAX];
    double price; /* per VM hour */
    bool reclaimable;
    double reclaims_per_hour; /* per VM, from history */
    int held;                 /* VMs in service or starting, not leaving */
    int ready;                /* VMs in service, not leaving */
    int64_t refused_until_ms; /* no start is attempted before this time */
    int refusals;             /* consecutive refused starts */
};

/* Input of a plan. Work is counted in slots: a slot runs one call. */
struct rk_plan_input {
    struct rk_plan_class classes[RK_PLAN_CLASSES];
    size_t classes_len;
    int slots_per_vm;
    double demand_slots;    /* all work in flight, smoothed */
    double urgent_slots;    /* work that must be answered now */
    double elsewhere_slots; /* free in other failure domains, for a wave of
                               reclaims */
    int min_vms;
    double headroom;                      /* share of slots kept free, e.g. 0.25 */
    double weight_cost, weight_recompute; /* of the two parts of the price */
    double tokens_per_reclaim; /* tokens computed again when a busy VM goes */
    /* Price per million of these tokens, in the currency of VM prices. */
    double price_per_mtoken;
    int64_t now_ms;
};

enum rk_plan_kind { RK_PLAN_START, RK_PLAN_STOP };

/* Starts or stops of VMs of one class. */
struct rk_plan_action {
    enum rk_plan_kind kind;
    size_t cls; /* index into classes */
    int count;
};

/* Result of a plan: at most RK_PLAN_ACTIONS actions, and the targets behind
 * them. */
struct rk_plan {
    struct rk_plan_action actions[RK_PLAN_ACTIONS];
    size_t len;
    int want_floor; /* on-demand VMs wanted */
    int want_total;
};

/* Returns the effective price of a VM hour of a class: the weighted sum of its
 * price and the cost of its reclaims. */
double rk_plan_effective_price(const struct rk_plan_input *in,
                               const struct rk_plan_class *c);

/* Computes a plan into *out, which it overwrites. */
void rk_plan_make(const struct rk_plan_input *in, struct rk_plan *out);

/* Notes a refused start: no start of the class is attempted for a time that doubles
 * with each refusal, up to two minutes. */
void rk_plan_start_refused(struct rk_plan_class *c, int64_t now_ms);
/* Notes a successful start: ends the backoff. */
void rk_plan_start_granted(struct rk_plan_class *c);

#endif
