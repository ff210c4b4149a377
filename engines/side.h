/* The engines' side paths: load reports and fenced orders. */
#ifndef RK_ENGINES_SIDE_H
#define RK_ENGINES_SIDE_H

#include <stdint.h>

#include "common/status.h"

struct rk_http;

typedef void rk_engine_load_fn(void *ctx, enum rk_status st, uint32_t running,
                               uint32_t queued);
void rk_engine_load(struct rk_http *http, const char *addr, rk_engine_load_fn *fn,
                    void *ctx);

/* Have the engine at addr fetch a stream's KV cache from the one at from, before
 * the stream is resumed there. body is the completion's; wait_ms bounds it. */
typedef void rk_engine_kv_fn(void *ctx, enum rk_status st);
void rk_engine_kv_import(struct rk_http *http, const char *addr, const char *from,
                         const char *request_id, const char *body, int64_t wait_ms,
                         rk_engine_kv_fn *fn, void *ctx);

/* An order under a fencing epoch. RK_ECONFLICT: the engine has obeyed a newer
 * holder; step down. */
typedef void rk_engine_order_fn(void *ctx, enum rk_status st);
void rk_engine_order(struct rk_http *http, const char *addr, const char *order,
                     const char *argument, int64_t epoch, rk_engine_order_fn *fn,
                     void *ctx);

#endif
