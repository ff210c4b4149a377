/* The control thread of an entry node: settings, members, upstream vms, claims.
 * It publishes a view to the traffic threads and never waits for them. */
#ifndef RK_CONTROL_CONTROL_H
#define RK_CONTROL_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "serve/traffic.h"

struct rk_control;
struct rk_view_cell;

#define RK_MAX_TRAFFIC 16
#define RK_MAX_SEEDS   64

struct rk_control_options {
    char id[RK_ID_MAX];
    char domain[RK_ID_MAX];
    char control_listen[RK_ADDR_MAX];
    char control_advertise[RK_ADDR_MAX]; /* "": the address bound */
    char forward_advertise[RK_ADDR_MAX]; /* "": the first traffic thread's */
    char platform[RK_ADDR_MAX * 2];      /* "http://ip:port" */
    char seeds[RK_MAX_SEEDS][RK_ADDR_MAX];
    size_t seeds_len;
    uint64_t seed;
    struct rk_view_cell *views;
};

/* NULL when the control address can't be bound: see rk_last_error(). */
struct rk_control *rk_control_create(const struct rk_control_options *opt);
void rk_control_destroy(struct rk_control *c);

/* Before the threads start. */
void rk_control_set_traffic(struct rk_control *c, struct rk_traffic **traffic,
                            size_t n);
struct rk_claim_port rk_control_claim_port(struct rk_control *c);
const char *rk_control_addr(const struct rk_control *c);

/* Publish the first view and start gossip and watches. Control thread, or
 * before it runs. */
void rk_control_start(struct rk_control *c);

/* Runs until rk_control_stop(). */
void rk_control_run(struct rk_control *c);

/* Any thread. leave: this node stops soon; peers are told at once. */
void rk_control_stop(struct rk_control *c);
void rk_control_leave(struct rk_control *c);

#endif
