#include "objects/objects.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/json.h"
#include "common/json_text.h"
#include "common/rest.h"
#include "common/util.h"

#define URL_MAX 768
/* Level of JSON at which a row of a list has its members. */
#define ROW_MEMBER_LEVEL 3

struct rk_objects {
    struct rk_http *http;
    char base[RK_ADDR_MAX * 2];
};

/* A call in flight; one of the callbacks is set. */
struct op {
    rk_object_read_fn *on_read;
    rk_object_list_fn *on_list;
    rk_object_write_fn *on_write;
    void *ctx;
    char name[RK_OBJECT_NAME_MAX];
};

struct rk_objects *rk_objects_create(struct rk_http *http, const char *base)
{
    struct rk_objects *o = rk_alloc(1, sizeof(*o));
    o->http = http;
    rk_strcpy(o->base, sizeof(o->base), base);
    return o;
}

void rk_objects_destroy(struct rk_objects *o)
{
    free(o);
}

static void finish_list(struct op *op, const struct rk_rest_response *response)
{
    enum rk_status st = response->status;
    struct json_object *array =
        st == RK_OK ? rk_json_parse_list(response->body, strlen(response->body),
                                         ROW_MEMBER_LEVEL)
                    : NULL;
    if (st == RK_OK && !json_object_is_type(array, json_type_array))
        st = RK_EPROTO;
    size_t len = st == RK_OK ? json_object_array_length(array) : 0;
    struct rk_object *objects = rk_alloc(len + 1, sizeof(*objects));
    for (size_t i = 0; i < len; i++) {
        struct json_object *row = json_object_array_get_idx(array, i);
        rk_strcpy(objects[i].name, sizeof(objects[i].name),
                  rk_json_str(row, "name"));
        objects[i].version = rk_json_int(row, "version", 0);
        objects[i].value = rk_json_str(row, "value");
    }
    op->on_list(op->ctx, st, objects, len, response->revision);
    free(objects);
    json_object_put(array);
}

static void on_done(void *ctx, const struct rk_rest_response *response)
{
    struct op *op = ctx;
    if (op->on_write) {
        op->on_write(op->ctx, response->status, response->version);
    } else if (op->on_list) {
        finish_list(op, response);
    } else {
        struct rk_object o = {.version = response->version,
                              .value = response->body};
        rk_strcpy(o.name, sizeof(o.name), op->name);
        op->on_read(op->ctx, response->status, &o);
    }
    free(op);
}

static void get(struct rk_objects *o, struct op *op, const char *url,
                int64_t wait_ms)
{
    const struct rk_rest_call call = {
        .method = "GET", .url = url, .wait_ms = wait_ms};
    rk_counter_add(RK_C_OBJECT_READS, 1);
    rk_rest_start(o->http, &call, on_done, op);
}

void rk_objects_read(struct rk_objects *o, const char *name, rk_object_read_fn *fn,
                     void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_read = fn, .ctx = ctx};
    rk_strcpy(op->name, sizeof(op->name), name);
    char url[URL_MAX];
    snprintf(url, sizeof(url), "%s/objects/%s", o->base, name);
    get(o, op, url, 0);
}

void rk_objects_list(struct rk_objects *o, const char *prefix, const char *after,
                     rk_object_list_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_list = fn, .ctx = ctx};
    char url[URL_MAX];
    snprintf(url, sizeof(url), "%s/objects?prefix=%s&after=%s", o->base, prefix,
             after);
    get(o, op, url, 0);
}

void rk_objects_watch(struct rk_objects *o, const char *prefix, int64_t since,
                      int64_t wait_ms, rk_object_list_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_list = fn, .ctx = ctx};
    char url[URL_MAX];
    snprintf(url, sizeof(url),
             "%s/objects?prefix=%s&since=%" PRId64 "&wait_ms=%" PRId64, o->base,
             prefix, since, wait_ms);
    get(o, op, url, wait_ms);
}

void rk_objects_write(struct rk_objects *o, const char *name,
                      int64_t expected_version, const char *value,
                      rk_object_write_fn *fn, void *ctx)
{
    struct op *op = rk_alloc(1, sizeof(*op));
    *op = (struct op){.on_write = fn, .ctx = ctx};
    char url[URL_MAX], match[64];
    snprintf(url, sizeof(url), "%s/objects/%s", o->base, name);
    if (expected_version)
        snprintf(match, sizeof(match), "If-Match: %" PRId64, expected_version);
    else
        snprintf(match, sizeof(match), "If-None-Match: *");
    const struct rk_rest_call call = {
        .method = "PUT", .url = url, .condition_header = match, .body = value};
    rk_counter_add(RK_C_OBJECT_WRITES, 1);
    rk_rest_start(o->http, &call, on_done, op);
}
