/* A model's answer as the caller must get it: each token once, in order, from
 * this attempt's upstream, until an explicit end. And the reader of server-sent
 * events it comes in. Pure. */
#ifndef RK_CORE_STREAM_H
#define RK_CORE_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

#define RK_SSE_LINE_MAX (64 * 1024)

enum rk_token_fate {
    RK_TOKEN_DELIVER, /* the next one: pass it on */
    RK_TOKEN_REPEAT,  /* the caller has it: drop it */
    RK_TOKEN_GAP,     /* tokens are missing: give the attempt up */
};

struct rk_stream {
    int64_t next; /* index the caller is owed */
    bool ended;   /* the end mark came, with nothing missing */
};

enum rk_token_fate rk_stream_take(struct rk_stream *s, int64_t index);

/* The reader: feed bytes, get the data of each event. */
struct rk_sse {
    struct rk_buf line; /* a part line */
    bool failed;
};

/* For each "data:" line calls fn(ctx, text). False when a line is longer than
 * RK_SSE_LINE_MAX or fn returned false; no more is read then. */
bool rk_sse_feed(struct rk_sse *sse, const char *data, size_t len,
                 bool (*fn)(void *ctx, const char *text), void *ctx);
void rk_sse_free(struct rk_sse *sse);

/* One chunk of a completion stream, as the engines send it. */
struct rk_chunk {
    bool done;          /* the end mark */
    char id[RK_ID_MAX]; /* of the request it belongs to */
    int64_t index;      /* of its token; -1: the engine gives none */
    char text[256];     /* content, for answers that aren't streamed */
};

/* RK_EPROTO when it is not a chunk. */
enum rk_status rk_chunk_parse(const char *data, struct rk_chunk *out);

#endif
