/* Tracks in which failure domains reclaimable VMs of a service are available, from
 * the VM list and the results of orders. A domain counts as exhausted if it
 * suddenly loses VMs that nobody ordered to stop (a reclaim), or if the platform
 * refuses an order because it has none to give. Pure: no I/O, no clock. */
#ifndef RK_CORE_RECLAIMS_H
#define RK_CORE_RECLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* State of one failure domain. All zero at the start. */
struct rk_reclaims_domain {
    int peak;            /* highest recent number of VMs not leaving */
    int64_t peak_ms;     /* when peak was observed */
    bool exhausted;      /* reclaimed or refused, and no order granted since */
    int64_t retry_at_ms; /* earliest time of the next order while exhausted */
};

/* Updates a domain from the VM list. held: reclaimable VMs not leaving; ordered:
 * target of the last granted order, -1: none. */
void rk_reclaims_observe(struct rk_reclaims_domain *d, int held, int ordered,
                         int64_t now_ms);

/* Notes that the platform refused an order for more VMs. */
void rk_reclaims_refused(struct rk_reclaims_domain *d, int64_t now_ms);

/* Notes that an order for more VMs was granted in domain `at`. The other domains
 * may be tried again at once, as they may have VMs, too. */
void rk_reclaims_granted(struct rk_reclaims_domain *domains, size_t len, size_t at);

/* Returns whether an order for more VMs may be sent now. */
bool rk_reclaims_may_order(const struct rk_reclaims_domain *d, int64_t now_ms);

/* Returns whether all domains are exhausted. */
bool rk_reclaims_all_exhausted(const struct rk_reclaims_domain *domains,
                               size_t len);

#endif
