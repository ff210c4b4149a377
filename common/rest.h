/* One small HTTP call whose whole answer is wanted: what the adapters of the
 * platform's APIs and of the engines' side paths build on. Loop thread only. */
#ifndef RK_COMMON_REST_H
#define RK_COMMON_REST_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct rk_http;

struct rk_rest_answer {
    /* RK_EUNKNOWN: the call may have taken effect; RK_EUNAVAILABLE: it can't
     * have; RK_ENOTFOUND, RK_ECONFLICT: the peer's own word. */
    enum rk_status status;
    long http_status; /* 0: no answer */
    int64_t version;  /* of ETag */
    int64_t revision; /* of X-Revision */
    const char *body; /* never NULL; valid during the callback */
};

typedef void rk_rest_fn(void *ctx, const struct rk_rest_answer *answer);

struct rk_rest_call {
    const char *method;
    const char *url;
    const char *match; /* a conditional header line, or NULL */
    const char *body;  /* JSON, or NULL */
    int64_t wait_ms;   /* how long the peer may hold the call (a watch) */
    int64_t limit_ms;  /* longest time in all; 0: the usual */
};

/* fn is called exactly once, never before this returns. */
void rk_rest_start(struct rk_http *http, const struct rk_rest_call *call,
                   rk_rest_fn *fn, void *ctx);

#endif
