/* Parser and validator of a caller's request line and headers. Its result is a
 * struct rk_request. It has no state and does no I/O. */
#ifndef RK_CALLERS_PARSE_H
#define RK_CALLERS_PARSE_H

struct rk_request;
struct rk_buf;

enum rk_parse_result {
    RK_PARSE_CALL, /* a valid call; its body has not been read yet */
    RK_PARSE_PAGE, /* not a call; the path may be a page of the node (pages.h) */
    RK_PARSE_MALFORMED, /* malformed; rk_last_error() has the reason */
};

/* Fills r, which must be zeroed, from a request line and its headers. `query` is ""
 * or starts with "?" and is percent-encoded. `header` returns the value of the
 * named header, or NULL if there is none; it is called with ctx. The contents of r
 * are unspecified unless RK_PARSE_CALL is returned. */
enum rk_parse_result
rk_parse_request(struct rk_request *r, const char *method, const char *path,
                 const char *query,
                 const char *(*header)(void *ctx, const char *name), void *ctx);

/* Appends s to b, percent-encoded for use in a query string. */
void rk_percent_encode(struct rk_buf *b, const char *s);

#endif
