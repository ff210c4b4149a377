/* How many vms of an engine service to hold in each failure domain, and of which
 * kind. One on-demand vm a domain is the floor: a domain that is cut off serves
 * its own, and the loss of all reclaimable vms at once leaves something. What
 * demand asks for above that is reclaimable, spread over the domains. While none
 * of that kind can be had, on-demand vms stand in; they go again half at a time,
 * once reclaimable ones serve in their place.
 *
 * While none can be had, those that are left don't count: waves of reclaims go from
 * domain to domain within seconds, an on-demand vm boots in four. Pure. */
#ifndef RK_CORE_HOLDING_H
#define RK_CORE_HOLDING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_HOLDING_DOMAINS 16

/* One failure domain as the list shows it. */
struct rk_holding_domain {
    char name[RK_ID_MAX];
    double price;    /* of an on-demand vm */
    int on_demand;   /* held, not leaving */
    int booting;     /* on-demand ones on top that were ordered and will come */
    int reclaimable; /* held, not leaving, of the other kind */
    bool closed;     /* no more reclaimable ones can be had there now */
};

struct rk_holding_input {
    struct rk_holding_domain domains[RK_HOLDING_DOMAINS];
    size_t domains_len;
    int min_vms, max_vms; /* a domain, both kinds together */
    double spot_price;    /* of a reclaimable vm, in prices of the others */
    double need;          /* vms, from rk_holding_need(), forgotten slowly */
    double need_now;      /* the same, forgotten soon: for the dear ones */
    bool none;            /* no reclaimable vms can be had anywhere */
    bool idle;            /* nothing runs: vms may go all at once */
    bool settled;         /* the last on-demand vm went long enough ago */
    bool keep;            /* what stands stays: too little is known to do without */
};

struct rk_holding_target {
    int on_demand, reclaimable;
};

/* What demand asks for, in vms. read_per_s: prompt tokens to be read; vm_per_s:
 * what one vm reads; running: calls in hand. */
double rk_holding_need(double read_per_s, double vm_per_s, double running,
                       double slots);

/* Vms beyond which nothing can be asked for, however it comes: all organisations
 * together get no more than their quotas. quotas_per_s: tokens, INFINITY if some
 * have none; vm_per_s: what a vm is taken to read before any was measured. */
double rk_holding_most(double quotas_per_s, double vm_per_s);

/* Smooth: up at once, down slowly. passed_ms: since `before` was made; halved_ms:
 * in which what is gone is forgotten by half. */
double rk_holding_smooth(double before, double now, int64_t passed_ms,
                         double halved_ms);

/* targets[i] is domains[i]'s. */
void rk_holding_plan(const struct rk_holding_input *in,
                     struct rk_holding_target targets[RK_HOLDING_DOMAINS]);

#endif
