/* Calls to the platform's cloud API that are the duty of one node at a time, as
 * the product asks for them. Each carries the holder's name and its fencing
 * token. A driver of the platform's dialect fills the operations. Loop thread
 * only. */
#ifndef RK_CLOUD_DUTIES_H
#define RK_CLOUD_DUTIES_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct rk_duties;

struct rk_duty_token {
    const char *holder;
    int64_t fence;
};

/* How many vms of a service a failure domain shall have. */
struct rk_vm_target {
    const char *service;
    const char *domain;
    int64_t count;
    bool reclaimable; /* of the kind that may be taken away */
};

/* RK_ECONFLICT: a higher token was seen, or, for vms, none can be had now;
 * RK_EUNAVAILABLE: nothing was done; RK_EUNKNOWN: it may be done, maybe later. */
typedef void rk_duty_fn(void *ctx, enum rk_status st, const char *detail);

struct rk_duties_ops {
    /* counts: JSON text of organisation to number; told exactly as it is. */
    void (*report_usage)(struct rk_duties *d, const struct rk_duty_token *token,
                         int64_t window, const char *counts, rk_duty_fn *fn,
                         void *ctx);
    void (*order_vms)(struct rk_duties *d, const struct rk_duty_token *token,
                      const struct rk_vm_target *target, rk_duty_fn *fn, void *ctx);
    void (*destroy)(struct rk_duties *d);
};

struct rk_duties {
    const struct rk_duties_ops *ops;
};

#endif
