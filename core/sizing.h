/* Sizing of an engine service: how many VMs to hold in each failure domain, and of
 * which kind. The floor is one on-demand VM per domain, so a domain that is cut off
 * can serve its own calls, and the loss of all reclaimable VMs at once leaves some
 * capacity. Demand above the floor is served by reclaimable VMs, spread over the
 * domains. While the platform has no reclaimable VMs, on-demand substitutes are
 * started. Those no longer needed are stopped half at a time, or all at once when
 * all planned reclaimable VMs are in service.
 *
 * While no reclaimable VMs can be had, those still running are not counted as
 * capacity: waves of reclaims go from domain to domain within seconds, and an
 * on-demand VM boots in four seconds. Pure: no I/O, no clock. */
#ifndef RK_CORE_SIZING_H
#define RK_CORE_SIZING_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_SIZING_DOMAINS 16

/* State of one failure domain, by the platform's VM list and the orders. */
struct rk_sizing_domain {
    char name[RK_ID_MAX];
    double price;        /* of an on-demand VM */
    int on_demand;       /* on-demand VMs held, not leaving */
    int booting;         /* on-demand VMs ordered and not listed yet */
    int reclaimable;     /* reclaimable VMs held, not leaving */
    bool no_reclaimable; /* no more reclaimable VMs can be had there now */
};

struct rk_sizing_input {
    struct rk_sizing_domain domains[RK_SIZING_DOMAINS];
    size_t domains_len;
    int min_vms, max_vms; /* per domain, both kinds together */
    double spot_price;  /* price of a reclaimable VM relative to an on-demand one */
    double need;        /* VMs, from rk_sizing_need(), decaying slowly */
    double need_fast;   /* the same, decaying fast; for on-demand substitutes */
    bool all_exhausted; /* no domain has reclaimable VMs to give */
    bool idle;       /* no calls run, so surplus VMs may be stopped all at once */
    bool may_shrink; /* the last on-demand VM was stopped long enough ago */
    bool keep_all;   /* stop no VM, as too little is known of the demand */
};

/* VMs to hold in one domain. */
struct rk_sizing_target {
    int on_demand, reclaimable;
};

/* Returns the VMs needed for the demand. read_per_s: prompt tokens/s to be read;
 * vm_per_s: prompt tokens/s that one VM reads; running: calls in flight; slots:
 * calls that one VM runs at once, 0: unknown. */
double rk_sizing_need(double read_per_s, double vm_per_s, double running,
                      double slots);

/* Returns the VMs beyond which there can be no demand, as all organisations
 * together get no more than their quotas. quotas_per_s: tokens/s, INFINITY if some
 * organisation has no quota; vm_per_s: tokens/s that a VM is assumed to read before
 * this has been measured. */
double rk_sizing_max_need(double quotas_per_s, double vm_per_s);

/* Smooths the need: follows a rise at once and lets a fall decay. passed_ms: time
 * since `before` was computed; halved_ms: half-life of the decay. */
double rk_sizing_smooth(double before, double now, int64_t passed_ms,
                        double halved_ms);

/* Computes the targets; targets[i] belongs to in->domains[i]. */
void rk_sizing_plan(const struct rk_sizing_input *in,
                    struct rk_sizing_target targets[RK_SIZING_DOMAINS]);

#endif
