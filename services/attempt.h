/* One attempt of a call at a plain service over HTTP. It ends either with a
 * complete response, or with what is known about whether the request may have
 * reached the upstream. All functions are called on the loop's thread. */
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
    const char *addr; /* "ip:port" of the VM */
    const char *method;
    const char *path; /* starts with "/"; may have a query */
    const char *request_id;
    int attempt;              /* number of the attempt, sent as X-Attempt */
    const char *key;          /* idempotency key; "" for none */
    const char *content_type; /* "" for none */
    const char *body;
    size_t body_len;
    int64_t connect_ms;            /* time-out of connecting */
    int64_t inactivity_timeout_ms; /* time-out of the first body byte and between
                                      body bytes */
    bool non_repeatable; /* not repeatable: use a new connection, never resend */
};

struct rk_service_answer {
    struct rk_attempt_end end;
    const char *content_type;
    const char *body; /* complete if end.answered */
    size_t len;
    const char *detail; /* text for logs */
};

/* Called once at the end of an attempt, unless it is cancelled. *answer is valid
 * only during the call; the attempt is freed after it. */
typedef void rk_service_end_fn(void *ctx, const struct rk_service_answer *answer);

/* Sends a request. Copies what it needs of *spec. Never calls fn before it returns.
 * The attempt is valid until fn was called or it is cancelled. */
struct rk_service_attempt *
rk_service_attempt_start(struct rk_loop *loop, struct rk_http *http,
                         const struct rk_service_spec *spec, rk_service_end_fn *fn,
                         void *ctx);

/* Cancels and frees an attempt; its callback is not called. Returns whether a byte
 * of the request may have been sent. */
bool rk_service_attempt_cancel(struct rk_service_attempt *a);

#endif
