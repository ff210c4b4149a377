#include "engines/management.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/json.h"
#include "common/rest.h"
#include "common/util.h"

#define URL_MAX  256
#define BODY_MAX 256

/* A call in flight; one of the callbacks is set. */
struct op {
    rk_engine_load_fn *on_load;
    rk_engine_order_fn *on_order;
    rk_engine_kv_fn *on_kv;
    void *ctx;
};

static void on_response(void *ctx, const struct rk_rest_response *response)
{
    struct op *op = ctx;
    if (op->on_order) {
        op->on_order(op->ctx, response->status);
    } else if (op->on_kv) {
        op->on_kv(op->ctx, response->status);
    } else {
        struct json_object *o = json_tokener_parse(response->body);
        enum rk_status st = response->status;
        if (st == RK_OK && !json_object_is_type(o, json_type_object))
            st = RK_EPROTO;
        op->on_load(op->ctx, st, (uint32_t)rk_json_int(o, "running", 0),
                    (uint32_t)rk_json_int(o, "queued", 0));
        json_object_put(o);
    }
    free(op);
}

void rk_engine_get_load(struct rk_http *http, const char *addr,
                        rk_engine_load_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_load = fn, .ctx = ctx};
    char url[URL_MAX];
    snprintf(url, sizeof(url), "http://%s/load", addr);
    const struct rk_rest_call call = {.method = "GET", .url = url};
    rk_rest_start(http, &call, on_response, op);
}

void rk_engine_kv_import(struct rk_http *http, const char *addr, const char *from,
                         const char *request_id, const char *body, int64_t wait_ms,
                         rk_engine_kv_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_kv = fn, .ctx = ctx};
    char url[URL_MAX];
    struct rk_buf b = {0};
    snprintf(url, sizeof(url), "http://%s/kv/import", addr);
    rk_buf_printf(&b, "{\"from\":\"%s\",\"request_id\":\"%s\",\"completion\":%s}",
                  from, request_id, body);
    const struct rk_rest_call call = {
        .method = "POST", .url = url, .body = b.data, .call_timeout_ms = wait_ms};
    rk_rest_start(http, &call, on_response, op);
    rk_buf_free(&b);
}

void rk_engine_send_order(struct rk_http *http, const char *addr, const char *order,
                          const char *argument, int64_t epoch,
                          rk_engine_order_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_order = fn, .ctx = ctx};
    char url[URL_MAX], body[BODY_MAX];
    snprintf(url, sizeof(url), "http://%s/orders", addr);
    snprintf(body, sizeof(body),
             "{\"order\":\"%s\",\"argument\":\"%s\",\"epoch\":%" PRId64 "}", order,
             argument, epoch);
    const struct rk_rest_call call = {.method = "POST", .url = url, .body = body};
    rk_rest_start(http, &call, on_response, op);
}
