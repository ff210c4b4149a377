/* One attempt to run a completion at one model engine. Sends the request, reads
 * the streamed response, checks that every chunk belongs to this request, and
 * reports the chunks and the end. core/token_stream.h decides which tokens the
 * caller still needs. Loop thread only. */
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

/* Parameters of an attempt; copied. */
struct rk_engine_spec {
    const char *addr; /* ip:port */
    const char *path; /* /v1/completions or /v1/chat/completions */
    const char *request_id;
    int attempt;                   /* number of this attempt, sent to the engine */
    int priority;                  /* 0 is the highest */
    const char *body;              /* JSON with "stream": true */
    int64_t resume_from;           /* index of the first token to generate */
    int64_t connect_ms;            /* connect time-out */
    int64_t inactivity_timeout_ms; /* longest time without a body byte, the first
                                      included */
    bool once; /* send on a new connection, so that libcurl never resends */
};

struct rk_engine_handlers {
    /* Receives a chunk and its JSON text, both valid during the call only. Returns
     * false to abort the attempt, because tokens are missing before this chunk;
     * on_end still follows. */
    bool (*on_chunk)(void *ctx, const struct rk_chunk *chunk, const char *raw);
    /* Receives the end of the attempt, which is freed after the call. complete: the
     * whole stream was received, its end marker included. detail is the reason of
     * the end, for logs; valid during the call only. */
    void (*on_end)(void *ctx, const struct rk_attempt_end *end, bool complete,
                   const char *detail);
};

/* Starts an attempt. No handler runs before this returns. */
struct rk_engine_attempt *
rk_engine_attempt_start(struct rk_loop *loop, struct rk_http *http,
                        const struct rk_engine_spec *spec,
                        const struct rk_engine_handlers *h, void *ctx);

/* Cancels the attempt and frees it. No handler runs any more. */
void rk_engine_attempt_cancel(struct rk_engine_attempt *a);

#endif
