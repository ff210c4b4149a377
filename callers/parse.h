/* A caller's request line and headers, checked and turned into a request. */
#ifndef RK_CALLERS_PARSE_H
#define RK_CALLERS_PARSE_H

struct rk_request;
struct rk_buf;

enum rk_parse {
    RK_PARSE_CALL, /* a call: its body is still to come */
    RK_PARSE_PAGE, /* a page of our own */
    RK_PARSE_BAD,  /* malformed: rk_last_error() says how */
};

/* header(ctx, name) gives a header's value or NULL. query: "" or "?...". */
enum rk_parse rk_parse_request(struct rk_request *r, const char *method,
                               const char *path, const char *query,
                               const char *(*header)(void *ctx, const char *name),
                               void *ctx);

/* Append s percent-encoded for a query. */
void rk_parse_escape(struct rk_buf *b, const char *s);

#endif
