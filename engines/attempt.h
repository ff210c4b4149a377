/* One attempt of a completion at one model engine: sends it as a stream, checks
 * that each chunk is this request's, and reports tokens and the end. Which
 * tokens the caller still needs is decided above (core/stream.h). */
#ifndef RK_ENGINES_ATTEMPT_H
#define RK_ENGINES_ATTEMPT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/verdict.h"

struct rk_http;
struct rk_loop;
struct rk_engine_attempt;
struct rk_chunk;

struct rk_engine_spec {
    const char *addr; /* ip:port */
    const char *path; /* /v1/completions or /v1/chat/completions */
    const char *request_id;
    int attempt;
    int priority;        /* 0 first */
    const char *body;    /* JSON with "stream": true */
    int64_t resume_from; /* first token index wanted */
    int64_t connect_ms;
    int64_t silence_ms; /* longest time between bytes */
    bool once;          /* never sent twice by the library */
};

struct rk_engine_handlers {
    /* False: the attempt is no longer wanted (a gap): on_end still comes. */
    bool (*on_chunk)(void *ctx, const struct rk_chunk *chunk, const char *raw);
    /* whole: the end mark came. detail: for logs. The attempt is gone after. */
    void (*on_end)(void *ctx, const struct rk_attempt_end *end, bool whole,
                   const char *detail);
};

struct rk_engine_attempt *
rk_engine_attempt_start(struct rk_loop *loop, struct rk_http *http,
                        const struct rk_engine_spec *spec,
                        const struct rk_engine_handlers *h, void *ctx);

/* Give it up: no callback comes any more. */
void rk_engine_attempt_cancel(struct rk_engine_attempt *a);

#endif
