/* HTTP client on an event loop, built on libcurl's multi interface. The clients of
 * engines, services, the object store and the cloud API use it; retries are theirs.
 *
 * A result says whether the request may have left this process. libcurl's
 * pre-request callback, which runs once a connection is established and before the
 * first byte is sent, records it. When a reused connection fails, libcurl sends the
 * request again by itself, which runs that callback a second time; with no_resend
 * it is refused. */
#ifndef RK_COMMON_HTTP_H
#define RK_COMMON_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_buf;
struct rk_loop;
struct rk_http;
struct rk_http_req;

struct rk_http_result {
    int curl_code; /* a CURLcode; CURLE_OK if a whole response was received */
    long status;   /* HTTP status; 0 if no response head was received */
    bool may_have_reached; /* the request may have been sent; false proves that it
                              was not */
    bool timed_out;
    const char *error; /* text for logs; valid during the callback */
};

/* Callbacks of a request, called on the loop's thread. on_done is the last one; the
 * request is freed when it returns. */
struct rk_http_handlers {
    /* Called for each header line of the response. name is in lower case, cut to 63
     * bytes; value is cut to 511 bytes. May be NULL. */
    void (*on_header)(void *ctx, const char *name, const char *value);
    /* Called for each piece of the body. Returns false to abort the request;
     * on_done is still called. May be NULL. */
    bool (*on_data)(void *ctx, const char *data, size_t len);
    void (*on_done)(void *ctx, const struct rk_http_result *res);
};

/* A request. Nothing that it points to is used after rk_http_start() returns,
 * except ctx. */
struct rk_http_spec {
    const char *method;
    const char *url;
    const char *const *headers; /* "Name: value", NULL-terminated; may be NULL */
    const char *body;           /* may be NULL */
    size_t body_len;
    long connect_timeout_ms; /* 0: libcurl's default */
    long timeout_ms;         /* of the whole request; 0: none */
    /* Time-outs of the wait for the response's first byte, which includes the
     * connect, and of any pause after it. 0: none. */
    long first_byte_timeout_ms, stall_timeout_ms;
    bool no_resend;      /* libcurl must not send the request again by itself */
    bool dedicated_conn; /* implies no_resend; uses a new connection, which can't be
                  stale, and closes it afterwards */
    struct rk_http_handlers handlers;
    void *ctx; /* passed to the handlers */
};

/* Appends a text to a URL, with all but unreserved characters percent-encoded. */
void rk_http_add_escaped(struct rk_buf *url, const char *text, size_t len);

/* Creates a client on the loop. Never returns NULL. All functions of a client run
 * on the loop's thread. */
struct rk_http *rk_http_create(struct rk_loop *loop);
/* Aborts all requests in flight, calling on_done of each, and frees the client.
 * http may be NULL. */
void rk_http_destroy(struct rk_http *http);

/* Starts a request; no handler is called before this returns. Never returns NULL.
 * The result is valid until on_done returns. */
struct rk_http_req *rk_http_start(struct rk_http *http,
                                  const struct rk_http_spec *spec);

/* Aborts and frees a request; none of its handlers is called any more. Returns
 * whether the request may have been sent. */
bool rk_http_cancel(struct rk_http_req *req);

#endif
