/* Reading of a model's answer: the parser of the server-sent events in which an
 * engine streams it, and the check by which the caller gets each token once and in
 * order, also when several attempts produce the answer. Does no I/O. */
#ifndef RK_CORE_TOKEN_STREAM_H
#define RK_CORE_TOKEN_STREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

#define RK_SSE_LINE_MAX (64 * 1024) /* bytes */

/* How to handle a received token. */
enum rk_token_action {
    RK_TOKEN_DELIVER, /* it is the next one: pass it on */
    RK_TOKEN_REPEAT,  /* the caller already has it: drop it */
    RK_TOKEN_GAP,     /* tokens before it are missing: give up the attempt */
};

/* Position of a caller in a stream of tokens. */
struct rk_token_stream {
    int64_t next; /* index of the next token to send to the caller */
    bool ended;   /* the end mark was received, and no token is missing */
};

/* Decides on a received token by its index, and steps on if it is the next one. */
enum rk_token_action rk_token_stream_accept(struct rk_token_stream *s,
                                            int64_t index);

/* A parser of server-sent events; zeroed, it is ready for use. */
struct rk_sse_parser {
    struct rk_buf line; /* a line that is not complete yet */
    bool failed;        /* feeding failed; further bytes are ignored */
};

/* Adds bytes of the stream, and calls fn(ctx, text) for each complete "data:" line.
 * Returns false, now and at all later calls, once a line was longer than
 * RK_SSE_LINE_MAX or fn returned false. */
bool rk_sse_parser_feed(struct rk_sse_parser *sse, const char *data, size_t len,
                        bool (*fn)(void *ctx, const char *text), void *ctx);
/* Frees the buffer; the struct itself is the caller's. */
void rk_sse_parser_free(struct rk_sse_parser *sse);

/* One chunk of a completion stream, as the engines send it. */
struct rk_chunk {
    bool done;          /* it is the end mark; the other members are unset */
    char id[RK_ID_MAX]; /* id of the request that it answers */
    int64_t index;      /* index of its token; -1: the engine sends none */
    char text[256];     /* its generated text, for answers that aren't streamed */
};

/* Parses the data of one event. Returns RK_EPROTO if it is no chunk with an id, or
 * if its id or text is too long for *out. */
enum rk_status rk_chunk_parse(const char *data, struct rk_chunk *out);

#endif
