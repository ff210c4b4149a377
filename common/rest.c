#include "common/rest.h"

#include <stdlib.h>
#include <string.h>

#include "common/http.h"
#include "common/util.h"

#define CONNECT_TIMEOUT_MS 500
#define CALL_TIMEOUT_MS    2000
#define BODY_MAX_BYTES     (16 * 1024 * 1024)
#define HTTP_NOT_FOUND     404
#define HTTP_CONFLICT      409
#define HTTP_PRECONDITION  412

struct op {
    rk_rest_fn *fn;
    void *ctx;
    struct rk_rest_response response;
    struct rk_buf body;
};

static void on_header(void *ctx, const char *name, const char *value)
{
    struct op *op = ctx;
    if (!strcmp(name, "etag"))
        op->response.version = strtoll(value, NULL, 10);
    else if (!strcmp(name, "x-revision"))
        op->response.revision = strtoll(value, NULL, 10);
}

static bool on_data(void *ctx, const char *data, size_t len)
{
    struct op *op = ctx;
    return rk_buf_add(&op->body, data, len);
}

static enum rk_status status_from_result(const struct rk_http_result *res)
{
    if (res->curl_code)
        return res->may_have_reached ? RK_EUNKNOWN : RK_EUNAVAILABLE;
    if (res->status >= 200 && res->status < 300)
        return RK_OK;
    if (res->status == HTTP_NOT_FOUND)
        return RK_ENOTFOUND;
    if (res->status == HTTP_PRECONDITION || res->status == HTTP_CONFLICT)
        return RK_ECONFLICT;
    /* A 5xx may come from a proxy in front of a store that applied the write. */
    return RK_EUNKNOWN;
}

static void on_done(void *ctx, const struct rk_http_result *res)
{
    struct op *op = ctx;
    op->response.status = status_from_result(res);
    op->response.http_status = res->status;
    op->response.body = op->body.data ? op->body.data : "";
    op->fn(op->ctx, &op->response);
    rk_buf_free(&op->body);
    free(op);
}

void rk_rest_start(struct rk_http *http, const struct rk_rest_call *call,
                   rk_rest_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.fn = fn, .ctx = ctx, .body.max = BODY_MAX_BYTES};
    const char *headers[3] = {0};
    size_t n = 0;
    if (call->condition_header)
        headers[n++] = call->condition_header;
    if (call->body)
        headers[n++] = "Content-Type: application/json";
    struct rk_http_spec spec = {
        .method = call->method,
        .url = call->url,
        .headers = headers,
        .body = call->body,
        .body_len = call->body ? strlen(call->body) : 0,
        .connect_timeout_ms = CONNECT_TIMEOUT_MS,
        /* A write that libcurl sent again would conflict with the first one. */
        .no_resend = strcmp(call->method, "GET") != 0,
        .timeout_ms = call->call_timeout_ms ? call->call_timeout_ms
                                            : CALL_TIMEOUT_MS + call->wait_ms,
        .handlers = {.on_header = on_header,
                     .on_data = on_data,
                     .on_done = on_done},
        .ctx = op,
    };
    rk_http_start(http, &spec);
}
