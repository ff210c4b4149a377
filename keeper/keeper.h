/* The keeper: one active for each failure domain, by a lease. It holds vms
 * through the cloud API as core/plan.h says, and sends fenced orders to
 * engines. What it knows of vms and settings it asks of its entry node. Entry
 * nodes serve without it. */
#ifndef RK_KEEPER_KEEPER_H
#define RK_KEEPER_KEEPER_H

#include <stdint.h>

struct rk_keeper;
struct rk_loop;
struct rk_procfile;

/* All on the loop's thread. */
struct rk_keeper *rk_keeper_create(struct rk_loop *loop,
                                   const struct rk_procfile *file, uint64_t seed);
void rk_keeper_destroy(struct rk_keeper *k);
void rk_keeper_start(struct rk_keeper *k);

#endif
