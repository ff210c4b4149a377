/* Client of the engines' management endpoints: load reports, transfer of KV caches
 * and fenced orders. Calls are asynchronous; a callback runs exactly once, never
 * before the call returns. Loop thread only. */
#ifndef RK_ENGINES_MANAGEMENT_H
#define RK_ENGINES_MANAGEMENT_H

#include <stdint.h>

#include "common/status.h"

struct rk_http;

/* Receives the numbers of running and queued calls, which are valid only if st is
 * RK_OK. */
typedef void rk_engine_load_fn(void *ctx, enum rk_status st, uint32_t running,
                               uint32_t queued);

/* Queries the load of the engine at addr, "ip:port". */
void rk_engine_get_load(struct rk_http *http, const char *addr,
                        rk_engine_load_fn *fn, void *ctx);

typedef void rk_engine_kv_fn(void *ctx, enum rk_status st);

/* Makes the engine at addr fetch a stream's KV cache from the engine at from, so
 * that the stream can be resumed at addr without computing its prompt again. body
 * is the JSON text of the completion; wait_ms limits the whole call. */
void rk_engine_kv_import(struct rk_http *http, const char *addr, const char *from,
                         const char *request_id, const char *body, int64_t wait_ms,
                         rk_engine_kv_fn *fn, void *ctx);

/* RK_ECONFLICT: the engine has accepted an order with a newer epoch, so the sender
 * is no longer the lease holder and must give the lease up. */
typedef void rk_engine_order_fn(void *ctx, enum rk_status st);

/* Sends an order under the fencing epoch of the sender's lease. */
void rk_engine_send_order(struct rk_http *http, const char *addr, const char *order,
                          const char *argument, int64_t epoch,
                          rk_engine_order_fn *fn, void *ctx);

#endif
