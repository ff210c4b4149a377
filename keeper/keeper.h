/* The keeper: decides how many VMs of each service its failure domain runs. A
 * lease makes one keeper of the domain active. That one starts and stops VMs
 * through the cloud API as core/plan.h plans, and sends fenced orders to engines.
 * It fetches VM rows and settings from its entry node. Entry nodes serve without
 * a keeper. */
#ifndef RK_KEEPER_KEEPER_H
#define RK_KEEPER_KEEPER_H

#include <stdint.h>

struct rk_keeper;
struct rk_loop;
struct rk_procfile;

/* All functions run on the loop's thread. */

/* Creates a keeper. loop and procfile are borrowed and must outlive it. The low 32
 * bits of seed must differ between runs: they become part of the name under which
 * the lease is held. */
struct rk_keeper *rk_keeper_create(struct rk_loop *loop,
                                   const struct rk_procfile *procfile,
                                   uint64_t seed);
void rk_keeper_destroy(struct rk_keeper *k);

/* Starts the periodic work. */
void rk_keeper_start(struct rk_keeper *k);

#endif
