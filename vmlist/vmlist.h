/* Client of the platform's VM list: which upstream vms live and which are
 * leaving. It lags; core/members.h guards against what that could undo. */
#ifndef RK_VMLIST_VMLIST_H
#define RK_VMLIST_VMLIST_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "core/members.h"

struct rk_http;

typedef void rk_vmlist_fn(void *ctx, enum rk_status st, const struct rk_vm *vms,
                          size_t len, int64_t revision);

/* Wait for rows changed after a revision (-1: all rows, at once). fn is called
 * once. Loop thread only. */
void rk_vmlist_watch(struct rk_http *http, const char *base, int64_t since,
                     int64_t wait_ms, rk_vmlist_fn *fn, void *ctx);

#endif
