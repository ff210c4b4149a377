/* Client of the platform's cloud API: watches reclaim notices, starts and stops
 * VMs. Every call is asynchronous; its callback runs exactly once, on the loop
 * thread, and never before the call returns. */
#ifndef RK_CLOUD_CLOUD_H
#define RK_CLOUD_CLOUD_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

struct rk_http;

/* Announces that the platform will reclaim a VM. */
struct rk_reclaim_notice {
    int64_t seq;          /* sequence number, rises with every notice */
    char vm[RK_ID_MAX];   /* VM id */
    uint64_t incarnation; /* incarnation of the VM that is reclaimed */
    int64_t remaining_ms; /* from sending the notice until the reclaim */
};

/* Receives the notices, which are valid during the callback only. len is 0 unless
 * st is RK_OK. */
typedef void rk_reclaim_notices_fn(void *ctx, enum rk_status st,
                                   const struct rk_reclaim_notice *notices,
                                   size_t len);

/* Waits up to wait_ms for notices with a sequence number above after_seq. base is
 * the API's URL, "http://ip:port". */
void rk_cloud_watch_notices(struct rk_http *http, const char *base,
                            int64_t after_seq, int64_t wait_ms,
                            rk_reclaim_notices_fn *fn, void *ctx);

/* Receives the result of a start or a stop. vm is the VM's id, or "" if the
 * response names none; it is valid during the callback only.
 * RK_EUNAVAILABLE: the API refused for lack of capacity or was not reached.
 * RK_EUNKNOWN: the call may have taken effect. A start must then be repeated with
 * the same token, which returns the same VM. */
typedef void rk_cloud_vm_fn(void *ctx, enum rk_status st, const char *vm);

/* Size of a start token: a failure domain's name and two numbers of up to 20
 * digits, each with a separator. */
#define RK_START_TOKEN_MAX (RK_ID_MAX + 2 * 21)

/* Parameters of a VM start. */
struct rk_vm_start_request {
    char vm_class[RK_ID_MAX];
    char domain[RK_ID_MAX]; /* failure domain */
    char service[RK_ID_MAX];
    /* Idempotency token, unique among all failure domains: a repeated start is
     * harmless. */
    char token[RK_START_TOKEN_MAX];
};

/* Starts a VM. The request is copied. */
void rk_cloud_start_vm(struct rk_http *http, const char *base,
                       const struct rk_vm_start_request *request,
                       rk_cloud_vm_fn *fn, void *ctx);

/* Stops the VM with the id vm. */
void rk_cloud_stop_vm(struct rk_http *http, const char *base, const char *vm,
                      rk_cloud_vm_fn *fn, void *ctx);

#endif
