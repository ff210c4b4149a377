/* Reader of HTTP/1.1 messages, over http-parser: heads as they were sent, in
 * order, and bodies as they come. It stops behind each message, so that what
 * follows is told from what belongs to it. */
#ifndef RK_COMMON_HTTP1_H
#define RK_COMMON_HTTP1_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_HEAD_LINES 96

/* One head. Text is in one buffer; lines hold offsets into it. */
struct rk_head {
    struct rk_buf text;
    size_t target; /* of a request */
    size_t lines_len;
    struct {
        size_t name, value;
    } lines[RK_HEAD_LINES];
    enum http_method method;
    int status;          /* of an answer */
    int major, minor;    /* HTTP/major.minor */
    int64_t body_length; /* -1: none was given */
    bool chunked;
    bool keep_alive; /* the connection may be used again */
};

/* The value of a header by its name, in any case of letters; NULL: none. */
const char *rk_head_get(const struct rk_head *h, const char *name);
const char *rk_head_name(const struct rk_head *h, size_t line);
const char *rk_head_value(const struct rk_head *h, size_t line);
const char *rk_head_target(const struct rk_head *h);

struct rk_http1_ops {
    /* False: no body follows, whatever the head says (answers to HEAD). */
    bool (*on_head)(void *ctx, const struct rk_head *head);
    void (*on_body)(void *ctx, const char *data, size_t len);
    void (*on_end)(void *ctx); /* the message is whole */
};

struct rk_http1 {
    http_parser parser;
    const struct rk_http1_ops *ops;
    void *ctx;
    struct rk_head head;
    bool in_value;  /* the last line's value was begun */
    bool head_done; /* on_head was called for this message */
    bool ended;     /* a whole message was read; rk_http1_next() goes on */
    bool failed;    /* the bytes are no message */
    bool too_large; /* failed: the head is over its limit */
    size_t head_max;
    size_t head_len;
};

/* requests: reads requests, else answers. head_max: bytes a head may have. */
void rk_http1_init(struct rk_http1 *r, bool requests, size_t head_max,
                   const struct rk_http1_ops *ops, void *ctx);
void rk_http1_free(struct rk_http1 *r);

/* Read; returns the bytes used, fewer than len behind a whole message or where
 * reading failed. */
size_t rk_http1_feed(struct rk_http1 *r, const char *data, size_t len);

/* The peer closed in order: ends a message without a length. */
void rk_http1_eof(struct rk_http1 *r);

/* Begin the next message. */
void rk_http1_next(struct rk_http1 *r);

/* Has a byte of the message come? */
bool rk_http1_begun(const struct rk_http1 *r);

#endif
