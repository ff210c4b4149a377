/* Incremental reader of HTTP/1.1 messages, built on http-parser. It passes on each
 * head as it was sent, header lines in order, and the body in pieces as they
 * arrive. It stops at the end of each message, so that the caller sees which bytes
 * follow it. */
#ifndef RK_COMMON_HTTP1_H
#define RK_COMMON_HTTP1_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_HEAD_LINES_MAX 96 /* most header lines of a head */
#define RK_INTERIM_MAX    16 /* most interim responses (1xx) before a response */
#define RK_STATUS_LEN     12 /* "HTTP/1.1 200" */

/* How the end of a response's body is marked. */
enum rk_framing {
    RK_FRAMING_LENGTH,  /* by Content-Length, or a status that allows no body */
    RK_FRAMING_CHUNKED, /* by a last chunk */
    RK_FRAMING_CLOSE,   /* only by the end of the connection */
};

/* The head of a message: the start line and the header lines. */
struct rk_head {
    struct rk_buf text; /* the NUL-terminated strings of the head */
    size_t target;      /* offset in text of a request's target */
    size_t lines_len;
    struct {
        size_t name, value; /* offsets in text */
    } lines[RK_HEAD_LINES_MAX];
    enum http_method method; /* of a request */
    int status;              /* of a response */
    int major, minor;        /* HTTP/major.minor */
    int64_t body_length;     /* by Content-Length; -1: chunked or not given */
    bool chunked;
    bool keep_alive; /* the connection may be reused */
};

/* Returns the value of the first header line with this name, compared without
 * regard to case; NULL if there is none. All strings of a head are owned by it, and
 * valid until its reader begins another message. */
const char *rk_head_get(const struct rk_head *h, const char *name);
/* Return the name and the value of a header line; line is below lines_len. */
const char *rk_head_name(const struct rk_head *h, size_t line);
const char *rk_head_value(const struct rk_head *h, size_t line);
/* Returns how the body of a response is framed. Of a response to a HEAD request it
 * is meaningless. */
enum rk_framing rk_head_framing(const struct rk_head *h);
/* Returns "length", "chunked" or "close". */
const char *rk_framing_name(enum rk_framing framing);
/* Returns a request's target, as it was sent. */
const char *rk_head_target(const struct rk_head *h);

struct rk_http1_ops {
    /* Called when the head is complete; not for interim responses (1xx). Returns
     * whether a body may follow: false for the response to a HEAD request, which
     * has none whatever its head says. */
    bool (*on_head)(void *ctx, const struct rk_head *head);
    void (*on_body)(void *ctx, const char *data, size_t len);
    void (*on_end)(void *ctx); /* the message is complete */
};

/* A reader. Its owner may read head, ended, failed, too_large and head_done. */
struct rk_http1 {
    http_parser parser;
    const struct rk_http1_ops *ops;
    void *ctx;
    struct rk_head head;
    bool in_value;   /* part of the last line's value was read */
    bool head_done;  /* the head of this message is complete */
    bool ended;      /* the message is complete; rk_http1_next() begins another */
    bool failed;     /* the data is no valid message, or asks for an upgrade */
    bool too_large;  /* failed because the head exceeds its limits */
    size_t head_max; /* limit of head_len */
    /* The beginning of a response's first line, with the byte after its status. */
    char status_line[RK_STATUS_LEN + 1];
    size_t status_line_len;
    /* Bytes of the head read so far. Of the start line, only the target counts. */
    size_t head_len;
    int interim_len; /* interim responses that preceded this message */
    bool is_interim; /* the response that has ended is one */
};

/* Initialises a reader of requests or, if requests is false, of responses. A head
 * of more than head_max bytes or RK_HEAD_LINES_MAX lines fails as too large, and so
 * does a response after more than RK_INTERIM_MAX interim ones. */
void rk_http1_init(struct rk_http1 *r, bool requests, size_t head_max,
                   const struct rk_http1_ops *ops, void *ctx);
/* Frees what the reader allocated; r itself is the caller's. */
void rk_http1_free(struct rk_http1 *r);

/* Returns whether a text is a token, as names of headers are (RFC 9110, 5.6.2). */
bool rk_http1_is_token(const char *text, size_t len);

/* Returns whether a response's first line, of which the byte after the status is
 * needed, has a version of HTTP/1 and a status of three digits from 100 to 599. */
bool rk_http1_is_status_line(const char *line, size_t len);

/* Reads data and calls the callbacks. Returns how many bytes were used: fewer than
 * len if a message ended before the last byte, or if reading failed. */
size_t rk_http1_feed(struct rk_http1 *r, const char *data, size_t len);

/* Call this when the peer has closed the connection in order. It ends a response
 * whose length is given by the close; any other incomplete message fails. */
void rk_http1_eof(struct rk_http1 *r);

/* Prepares for the next message after one has ended. */
void rk_http1_next(struct rk_http1 *r);

/* Returns whether any byte of the current message was read. */
bool rk_http1_has_begun(const struct rk_http1 *r);

#endif
