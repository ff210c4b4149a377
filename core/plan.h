/* Which vms to hold for one service in one failure domain. A pure plan: from
 * demand, vms held, prices, refused starts and reclaim history to a few starts
 * and stops.
 *
 * The floor: work that must answer now is carried by vms that can't all be
 * reclaimed at once. Every reclaimable vm of a failure domain may go in one
 * wave, so the floor is on-demand, less what other failure domains have spare.
 * All above the floor goes to the class of the least effective price, which
 * counts the tokens that its reclaims make us compute again. Prices move: a vm
 * that became much dearer than another class is replaced, one at a time. */
#ifndef RK_CORE_PLAN_H
#define RK_CORE_PLAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_PLAN_CLASSES 16
#define RK_PLAN_ACTIONS 32

/* A vm class as the plan sees it. */
struct rk_plan_class {
    char name[RK_ID_MAX];
    double price; /* of a vm hour */
    bool reclaimable;
    double reclaims_per_hour; /* of one vm, from history */
    int held;                 /* live and starting, not leaving */
    int ready;                /* live, not leaving */
    int64_t refused_until_ms; /* no start is tried before */
    int refusals;             /* in a row */
};

struct rk_plan_input {
    struct rk_plan_class classes[RK_PLAN_CLASSES];
    size_t classes_len;
    int slots_per_vm;
    double demand_slots;    /* all work in hand, smoothed */
    double urgent_slots;    /* the part that must answer now */
    double elsewhere_slots; /* spare in other failure domains, for a wave */
    int min_vms;
    double headroom; /* share of slots kept free, e.g. 0.25 */
    double weight_cost, weight_recompute;
    double tokens_per_reclaim; /* recomputed when a busy vm goes */
    double price_per_mtoken;   /* of recomputed tokens, in vm prices */
    int64_t now_ms;
};

enum rk_plan_kind { RK_PLAN_START, RK_PLAN_STOP };

struct rk_plan_action {
    enum rk_plan_kind kind;
    size_t cls; /* index into classes */
    int count;
};

struct rk_plan {
    struct rk_plan_action actions[RK_PLAN_ACTIONS];
    size_t len;
    int want_floor; /* on-demand vms wanted */
    int want_total;
};

/* What one hour of a class costs, reclaims weighed in. */
double rk_plan_price(const struct rk_plan_input *in, const struct rk_plan_class *c);

void rk_plan_make(const struct rk_plan_input *in, struct rk_plan *out);

/* A start was refused: back off from the class, doubling. */
void rk_plan_refused(struct rk_plan_class *c, int64_t now_ms);
void rk_plan_started(struct rk_plan_class *c);

#endif
