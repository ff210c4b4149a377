/* Client of the cloud API: reclaim notices, and starting and stopping vms. */
#ifndef RK_CLOUD_CLOUD_H
#define RK_CLOUD_CLOUD_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

struct rk_http;

struct rk_notice {
    int64_t seq;
    char vm[RK_ID_MAX];
    uint64_t incarnation;
    int64_t in_ms; /* time left when it was sent */
};

typedef void rk_notices_fn(void *ctx, enum rk_status st,
                           const struct rk_notice *notices, size_t len);

/* Wait for notices after a sequence number. fn is called once. */
void rk_cloud_notices(struct rk_http *http, const char *base, int64_t after,
                      int64_t wait_ms, rk_notices_fn *fn, void *ctx);

/* vm: the id of the vm started, "" without one. RK_EUNAVAILABLE: refused or not
 * reached; RK_EUNKNOWN: the same token must be used again, it gives the same vm. */
typedef void rk_cloud_fn(void *ctx, enum rk_status st, const char *vm);

struct rk_vm_order {
    char vm_class[RK_ID_MAX];
    char domain[RK_ID_MAX];
    char service[RK_ID_MAX];
    char token[RK_ID_MAX]; /* makes a repeated start harmless */
};

void rk_cloud_start_vm(struct rk_http *http, const char *base,
                       const struct rk_vm_order *order, rk_cloud_fn *fn, void *ctx);
void rk_cloud_stop_vm(struct rk_http *http, const char *base, const char *vm,
                      rk_cloud_fn *fn, void *ctx);

#endif
