#include "cloud/cloud.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>

#include "common/counters.h"
#include "common/json.h"
#include "common/rest.h"

#define URL_MAX          256
#define HTTP_UNAVAILABLE 503 /* no capacity for the VM */

/* A call in flight; either on_notices or on_vm is set. */
struct op {
    rk_reclaim_notices_fn *on_notices;
    rk_cloud_vm_fn *on_vm;
    void *ctx;
};

static void parse_notice(struct json_object *o, struct rk_reclaim_notice *n)
{
    n->seq = rk_json_int(o, "seq", 0);
    n->incarnation = (uint64_t)rk_json_int(o, "incarnation", 0);
    n->remaining_ms = rk_json_int(o, "in_ms", 0);
    rk_strcpy(n->vm, sizeof(n->vm), rk_json_str(o, "id"));
}

static void finish_notices(struct op *op, const struct rk_rest_response *response)
{
    enum rk_status st = response->status;
    struct json_object *array =
        st == RK_OK ? json_tokener_parse(response->body) : NULL;
    if (st == RK_OK && !json_object_is_type(array, json_type_array))
        st = RK_EPROTO;
    size_t len = st == RK_OK ? json_object_array_length(array) : 0;
    struct rk_reclaim_notice *notices = rk_alloc(len + 1, sizeof(*notices));
    for (size_t i = 0; i < len; i++)
        parse_notice(json_object_array_get_idx(array, i), &notices[i]);
    op->on_notices(op->ctx, st, notices, len);
    free(notices);
    json_object_put(array);
}

static void finish_vm_call(struct op *op, const struct rk_rest_response *response)
{
    struct json_object *o = json_tokener_parse(response->body);
    bool refused = response->http_status == HTTP_UNAVAILABLE;
    op->on_vm(op->ctx, refused ? RK_EUNAVAILABLE : response->status,
              rk_json_str(o, "id"));
    json_object_put(o);
}

static void on_response(void *ctx, const struct rk_rest_response *response)
{
    struct op *op = ctx;
    if (op->on_notices)
        finish_notices(op, response);
    else
        finish_vm_call(op, response);
    free(op);
}

void rk_cloud_watch_notices(struct rk_http *http, const char *base,
                            int64_t after_seq, int64_t wait_ms,
                            rk_reclaim_notices_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_notices = fn, .ctx = ctx};
    char url[URL_MAX];
    snprintf(url, sizeof(url),
             "%s/cloud/notices?after=%" PRId64 "&wait_ms=%" PRId64, base, after_seq,
             wait_ms);
    const struct rk_rest_call call = {
        .method = "GET", .url = url, .wait_ms = wait_ms};
    rk_counter_add(RK_C_OBJECT_READS, 1);
    rk_rest_start(http, &call, on_response, op);
}

void rk_cloud_start_vm(struct rk_http *http, const char *base,
                       const struct rk_vm_start_request *request,
                       rk_cloud_vm_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_vm = fn, .ctx = ctx};
    char url[URL_MAX], body[URL_MAX * 2];
    snprintf(url, sizeof(url), "%s/cloud/vms", base);
    snprintf(body, sizeof(body),
             "{\"vm_class\":\"%s\",\"failure_domain\":\"%s\",\"service\":\"%s\","
             "\"token\":\"%s\"}",
             request->vm_class, request->domain, request->service, request->token);
    const struct rk_rest_call call = {.method = "POST", .url = url, .body = body};
    rk_rest_start(http, &call, on_response, op);
}

void rk_cloud_stop_vm(struct rk_http *http, const char *base, const char *vm,
                      rk_cloud_vm_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_vm = fn, .ctx = ctx};
    char url[URL_MAX];
    snprintf(url, sizeof(url), "%s/cloud/vms/%s", base, vm);
    const struct rk_rest_call call = {.method = "DELETE", .url = url};
    rk_rest_start(http, &call, on_response, op);
}
