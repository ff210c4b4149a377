#include "services/attempt.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/http.h"
#include "common/loop.h"
#include "common/retry_after.h"
#include "common/util.h"
#include "core/call.h"

#define URL_MAX          (RK_PATH_MAX + 64)
#define HEADER_LINE_MAX  192
#define ANSWER_MAX_BYTES (4 * 1024 * 1024) /* a longer one fails the attempt */

struct rk_service_attempt {
    struct rk_loop *loop;
    struct rk_http_req *req;
    rk_service_end_fn *fn;
    void *ctx;
    char request_id[RK_ID_MAX];
    char content_type[RK_CONTENT_TYPE_MAX];
    struct rk_buf body;
    struct rk_timer inactivity_timer;
    int64_t inactivity_timeout_ms;
    int64_t retry_after_ms; /* from the response; -1: unreadable; 0: none */
    bool is_mismatched;     /* the response has the id of another request */
};

static void free_attempt(struct rk_service_attempt *a)
{
    rk_timer_stop(a->loop, &a->inactivity_timer);
    rk_buf_free(&a->body);
    free(a);
}

static void on_header(void *ctx, const char *name, const char *value)
{
    struct rk_service_attempt *a = ctx;
    if (!strcmp(name, "x-request-id") && strcmp(value, a->request_id) != 0)
        a->is_mismatched = true;
    else if (!strcmp(name, "content-type"))
        rk_strcpy(a->content_type, sizeof(a->content_type), value);
    else if (!strcmp(name, "retry-after"))
        a->retry_after_ms = rk_retry_after_ms(value);
}

static bool on_data(void *ctx, const char *data, size_t len)
{
    struct rk_service_attempt *a = ctx;
    if (a->is_mismatched)
        return false;
    rk_timer_start(a->loop, &a->inactivity_timer, a->inactivity_timeout_ms);
    return rk_buf_add(&a->body, data, len);
}

static void on_done(void *ctx, const struct rk_http_result *res)
{
    struct rk_service_attempt *a = ctx;
    if (a->is_mismatched)
        rk_counter_add(RK_C_MISMATCHED, 1);
    struct rk_service_answer answer = {
        .end = {.may_have_reached = res->may_have_reached,
                .answered = !res->curl_code && !a->is_mismatched,
                .http_status = (int)res->status,
                .cooldown_ms =
                    rk_attempt_cooldown_ms(res->status, a->retry_after_ms)},
        .content_type = a->content_type,
        .body = a->body.data ? a->body.data : "",
        .len = a->body.len,
        .detail = a->is_mismatched ? "an answer to another request" : res->error,
    };
    a->fn(a->ctx, &answer);
    free_attempt(a);
}

static void on_inactivity(void *ctx)
{
    struct rk_service_attempt *a = ctx;
    struct rk_service_answer answer = {
        .end = {.may_have_reached = rk_http_cancel(a->req)},
        .content_type = "",
        .body = "",
        .detail = "silent for too long",
    };
    a->fn(a->ctx, &answer);
    free_attempt(a);
}

struct rk_service_attempt *
rk_service_attempt_start(struct rk_loop *loop, struct rk_http *http,
                         const struct rk_service_spec *spec, rk_service_end_fn *fn,
                         void *ctx)
{
    struct rk_service_attempt *a = rk_alloc(1, sizeof(*a));
    *a = (struct rk_service_attempt){.loop = loop,
                                     .fn = fn,
                                     .ctx = ctx,
                                     .inactivity_timeout_ms =
                                         spec->inactivity_timeout_ms};
    a->body.max = ANSWER_MAX_BYTES;
    rk_strcpy(a->request_id, sizeof(a->request_id), spec->request_id);
    a->inactivity_timer = (struct rk_timer){.fn = on_inactivity, .ctx = a};
    char url[URL_MAX], id[HEADER_LINE_MAX], attempt[HEADER_LINE_MAX],
        key[HEADER_LINE_MAX], type[HEADER_LINE_MAX];
    snprintf(url, sizeof(url), "http://%s%s", spec->addr, spec->path);
    snprintf(id, sizeof(id), "X-Request-Id: %s", spec->request_id);
    snprintf(attempt, sizeof(attempt), "X-Attempt: %d", spec->attempt);
    const char *headers[6] = {id, attempt};
    size_t n = 2;
    if (spec->key[0]) {
        snprintf(key, sizeof(key), "Idempotency-Key: %s", spec->key);
        headers[n++] = key;
    }
    if (spec->content_type[0]) {
        snprintf(type, sizeof(type), "Content-Type: %s", spec->content_type);
        headers[n++] = type;
    }
    struct rk_http_spec http_spec = {
        .method = spec->method,
        .url = url,
        .headers = headers,
        .body = spec->body_len ? spec->body : NULL,
        .body_len = spec->body_len,
        .connect_timeout_ms = spec->connect_ms,
        .dedicated_conn = spec->non_repeatable,
        .handlers = {.on_header = on_header,
                     .on_data = on_data,
                     .on_done = on_done},
        .ctx = a,
    };
    a->req = rk_http_start(http, &http_spec);
    rk_timer_start(loop, &a->inactivity_timer, spec->inactivity_timeout_ms);
    return a;
}

bool rk_service_attempt_cancel(struct rk_service_attempt *a)
{
    bool handed = rk_http_cancel(a->req);
    free_attempt(a);
    return handed;
}
