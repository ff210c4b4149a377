/* Interface to those calls of the platform's cloud API that only one node, the
 * leader, may make at a time: usage reports and VM counts. Each call carries the
 * leader's name and its fencing token, by which the platform rejects an outdated
 * leader. A platform driver implements the operations. Loop thread only. */
#ifndef RK_CLOUD_LEADER_API_H
#define RK_CLOUD_LEADER_API_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct rk_leader_api;

/* Identifies the leader and its term. */
struct rk_leader_token {
    const char *leader; /* node id of the leader; borrowed */
    int64_t fence;      /* fencing token, rises with every change of leader */
};

/* Number of VMs of a service that a failure domain should have. */
struct rk_vm_target {
    const char *service;
    const char *domain;
    int64_t count;
    bool reclaimable; /* counts reclaimable VMs; false: on-demand VMs */
};

/* Receives the result of a call, exactly once. detail is the text of the response,
 * "" if there is none, and valid during the callback only.
 * RK_ECONFLICT: the platform has seen a higher fencing token or, for VM counts, has
 * no capacity now.
 * RK_EUNAVAILABLE: the call took no effect.
 * RK_EUNKNOWN: the call may have taken effect, or may do so later. */
typedef void rk_leader_api_fn(void *ctx, enum rk_status st, const char *detail);

struct rk_leader_api_ops {
    /* Reports the usage of a window. counts is the text of a JSON object that maps
     * organisation to count; it is sent unchanged. */
    void (*report_usage)(struct rk_leader_api *d,
                         const struct rk_leader_token *token, int64_t window,
                         const char *counts, rk_leader_api_fn *fn, void *ctx);
    /* Sets the number of VMs of one service and kind in one failure domain. */
    void (*set_vm_count)(struct rk_leader_api *d,
                         const struct rk_leader_token *token,
                         const struct rk_vm_target *target, rk_leader_api_fn *fn,
                         void *ctx);
    void (*destroy)(struct rk_leader_api *d);
};

/* Base of a platform driver's own struct. */
struct rk_leader_api {
    const struct rk_leader_api_ops *ops;
};

#endif
