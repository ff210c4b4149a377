/* Whether reclaimable vms of a service can be had, domain by domain, by what the
 * list shows and how orders end. Two signs count: a domain loses at once vms that
 * nobody ordered away (a reclaim), and an order ends with "none to be had". Pure.
 */
#ifndef RK_CORE_RECLAIMS_H
#define RK_CORE_RECLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/* One failure domain. All zero at the start. */
struct rk_reclaims_domain {
    int most;            /* vms not leaving, the most lately */
    int64_t most_ms;     /* when that was */
    bool dry;            /* reclaimed, or refused more, and none granted since */
    int64_t ask_from_ms; /* of a dry one: not asked before */
};

/* held: vms not leaving; ordered: how many there should be, by the last order that
 * was granted; -1: none was. */
void rk_reclaims_seen(struct rk_reclaims_domain *d, int held, int ordered,
                      int64_t now_ms);

void rk_reclaims_refused(struct rk_reclaims_domain *d, int64_t now_ms);

/* An order for more was granted in one domain: the others may have some, too. */
void rk_reclaims_granted(struct rk_reclaims_domain *domains, size_t len, size_t at);

/* Is it worth asking for more there now? */
bool rk_reclaims_may_ask(const struct rk_reclaims_domain *d, int64_t now_ms);

/* Is there none to be had anywhere? */
bool rk_reclaims_none(const struct rk_reclaims_domain *domains, size_t len);

#endif
