/* Small HTTP calls whose response is collected in memory. The clients of the
 * platform's APIs and of the engines' auxiliary paths are built on it. Loop thread
 * only. */
#ifndef RK_COMMON_REST_H
#define RK_COMMON_REST_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct rk_http;

/* The response, or the reason why there is none. */
struct rk_rest_response {
    /* RK_OK: a 2xx status. RK_ENOTFOUND: 404. RK_ECONFLICT: 409 or 412.
     * RK_EUNAVAILABLE: the call was not sent and can't have taken effect.
     * RK_EUNKNOWN: any other case; the call may have taken effect. */
    enum rk_status status;
    long http_status; /* 0: no response */
    int64_t version;  /* number in the ETag header; 0: none */
    int64_t revision; /* number in the X-Revision header; 0: none */
    const char *body; /* never NULL; valid during the callback */
};

typedef void rk_rest_fn(void *ctx, const struct rk_rest_response *response);

/* A call. Nothing that it points to is used after rk_rest_start() returns. */
struct rk_rest_call {
    const char *method;
    const char *url;
    const char
        *condition_header; /* a conditional header line such as If-Match, or NULL */
    const char *body;      /* JSON, or NULL */
    int64_t wait_ms;       /* how long the peer may delay the response (a watch) */
    int64_t call_timeout_ms; /* time-out of the whole call; 0: 2 s plus wait_ms */
};

/* Starts a call. fn is called exactly once, never before this returns. A response
 * body of more than 16 MiB fails the call. */
void rk_rest_start(struct rk_http *http, const struct rk_rest_call *call,
                   rk_rest_fn *fn, void *ctx);

#endif
