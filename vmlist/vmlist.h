/* Client of the platform's VM list: which upstream VMs are live and which are
 * leaving. The list lags behind reclaim notices; the merge rules of core/members.h
 * keep an outdated row from making a leaving VM live again. */
#ifndef RK_VMLIST_VMLIST_H
#define RK_VMLIST_VMLIST_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "core/members.h"

struct rk_http;

/* Receives the changed rows, valid during the callback only, and the revision to
 * continue from. len is 0 unless st is RK_OK. */
typedef void rk_vmlist_fn(void *ctx, enum rk_status st, const struct rk_vm *vms,
                          size_t len, int64_t revision);

/* Waits up to wait_ms for rows that changed after the revision since; -1 requests
 * all rows at once. base is the platform's URL, "http://ip:port". fn is called
 * exactly once, after this returns. Loop thread only. */
void rk_vmlist_watch(struct rk_http *http, const char *base, int64_t since,
                     int64_t wait_ms, rk_vmlist_fn *fn, void *ctx);

#endif
