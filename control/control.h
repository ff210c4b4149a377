/* The control thread of an entry node: keeps settings, members, upstream VMs and
 * claims up to date. It publishes an immutable snapshot of them to the traffic
 * threads and never waits for those. */
#ifndef RK_CONTROL_CONTROL_H
#define RK_CONTROL_CONTROL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "serve/traffic.h"

struct rk_control;
struct rk_view_cell;

#define RK_MAX_TRAFFIC_THREADS 16 /* traffic threads */
#define RK_MAX_SEEDS           64 /* seed addresses */

struct rk_control_options {
    char id[RK_ID_MAX];                    /* node id */
    char domain[RK_ID_MAX];                /* failure domain */
    int listen_fd;                         /* listening socket for gossip; owned */
    char control_advertise[RK_ADDR_MAX];   /* "": the address bound */
    char forward_advertise[RK_ADDR_MAX];   /* sent to peers; must not be "" */
    char platform[RK_ADDR_MAX * 2];        /* "http://ip:port" */
    char seeds[RK_MAX_SEEDS][RK_ADDR_MAX]; /* nodes to join through */
    size_t seeds_len;
    uint64_t rng_seed;              /* seeds the random number generator */
    struct rk_view_cell *view_cell; /* borrowed; receives the snapshots */
};

/* Creates the control thread's state. opt is copied. */
struct rk_control *rk_control_create(const struct rk_control_options *opt);
void rk_control_destroy(struct rk_control *c);

/* Sets the n traffic threads to notify; the array is copied, its elements are
 * borrowed. Must be called before the threads start. */
void rk_control_set_traffic(struct rk_control *c, struct rk_traffic **traffic,
                            size_t n);

/* Returns the functions by which traffic threads request claims. They may be
 * called from any thread while c exists. */
struct rk_claim_port rk_control_claim_port(struct rk_control *c);

/* Returns the control address with the port that was bound; valid while c
 * exists. */
const char *rk_control_addr(const struct rk_control *c);

/* Publishes the first snapshot and starts gossip and watches. To be called on the
 * control thread, or before that is started. */
void rk_control_start(struct rk_control *c);

/* Runs the loop until rk_control_stop(). This is the control thread. */
void rk_control_run(struct rk_control *c);

/* Makes rk_control_run() return. Any thread. */
void rk_control_stop(struct rk_control *c);

/* Marks this node as leaving and informs its peers at once. Any thread. */
void rk_control_leave(struct rk_control *c);

#endif
