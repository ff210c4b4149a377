/* One attempt of a call at a plain service: the whole answer, or the proof or
 * doubt that is left without one. */
#ifndef RK_SERVICES_ATTEMPT_H
#define RK_SERVICES_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/verdict.h"

struct rk_http;
struct rk_loop;
struct rk_service_attempt;

struct rk_service_spec {
    const char *addr; /* ip:port */
    const char *method;
    const char *path;
    const char *request_id;
    int attempt;
    const char *key;          /* "" for none */
    const char *content_type; /* "" for none */
    const char *body;
    size_t body_len;
    int64_t connect_ms;
    int64_t silence_ms; /* longest time until the answer, and between bytes */
    bool once;          /* may not be repeated: never sent twice */
};

struct rk_service_answer {
    struct rk_attempt_end end;
    const char *content_type;
    const char *body; /* whole when end.answered */
    size_t len;
    const char *detail; /* for logs */
};

/* The attempt is gone after the callback. */
typedef void rk_service_end_fn(void *ctx, const struct rk_service_answer *answer);

struct rk_service_attempt *
rk_service_attempt_start(struct rk_loop *loop, struct rk_http *http,
                         const struct rk_service_spec *spec, rk_service_end_fn *fn,
                         void *ctx);

/* Give it up: no callback comes any more. True if it may have left. */
bool rk_service_attempt_cancel(struct rk_service_attempt *a);

#endif
