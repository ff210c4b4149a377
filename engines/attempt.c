#include "engines/attempt.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/http.h"
#include "common/loop.h"
#include "common/retry_after.h"
#include "common/util.h"
#include "core/token_stream.h"

#define URL_MAX    256
#define HEADER_MAX 96
#define HTTP_OK    200

struct rk_engine_attempt {
    struct rk_loop *loop;
    struct rk_http_req *req;
    struct rk_engine_handlers handlers;
    void *ctx;
    char request_id[RK_ID_MAX];
    struct rk_sse_parser sse;
    struct rk_timer idle_timer;
    int64_t idle_timeout_ms;
    int64_t cooldown_ms; /* from Retry-After; 0: none; -1: unreadable */
    bool wrong_request;  /* the response belongs to another request */
    bool complete;       /* the end marker came */
    bool rejected;       /* on_chunk returned false */
};

static void free_attempt(struct rk_engine_attempt *a)
{
    rk_timer_stop(a->loop, &a->idle_timer);
    rk_sse_parser_free(&a->sse);
    free(a);
}

static void on_header(void *ctx, const char *name, const char *value)
{
    struct rk_engine_attempt *a = ctx;
    if (!strcmp(name, "x-request-id") && strcmp(value, a->request_id) != 0)
        a->wrong_request = true;
    else if (!strcmp(name, "retry-after"))
        a->cooldown_ms = rk_retry_after_ms(value);
}

/* Handles one server-sent event. Returns false to abort the request. */
static bool on_event(void *ctx, const char *text)
{
    struct rk_engine_attempt *a = ctx;
    struct rk_chunk chunk;
    if (rk_chunk_parse(text, &chunk) != RK_OK)
        return false;
    if (chunk.done) {
        a->complete = true;
        return true;
    }
    if (strcmp(chunk.id, a->request_id) != 0) {
        a->wrong_request = true;
        return false;
    }
    if (a->handlers.on_chunk(a->ctx, &chunk, text))
        return true;
    a->rejected = true;
    return false;
}

static bool on_data(void *ctx, const char *data, size_t len)
{
    struct rk_engine_attempt *a = ctx;
    if (a->wrong_request)
        return false;
    rk_timer_start(a->loop, &a->idle_timer, a->idle_timeout_ms);
    return rk_sse_parser_feed(&a->sse, data, len, on_event, a);
}

static void finish(struct rk_engine_attempt *a, const struct rk_attempt_end *e,
                   bool complete, const char *detail)
{
    if (a->wrong_request)
        rk_counter_add(RK_C_MISMATCHED, 1);
    a->handlers.on_end(a->ctx, e, complete, detail);
    free_attempt(a);
}

static void on_http_done(void *ctx, const struct rk_http_result *res)
{
    struct rk_engine_attempt *a = ctx;
    bool complete = !res->curl_code && res->status == HTTP_OK && a->complete &&
                    !a->wrong_request;
    struct rk_attempt_end e = {
        .may_have_reached = res->may_have_reached,
        .answered = complete || (!res->curl_code && res->status != HTTP_OK &&
                                 !a->wrong_request),
        .http_status = (int)res->status,
        .cooldown_ms = rk_attempt_cooldown_ms(res->status, a->cooldown_ms),
    };
    const char *detail = a->wrong_request ? "an answer to another request"
                         : a->rejected    ? "a gap in the tokens"
                                          : res->error;
    finish(a, &e, complete, complete ? "whole" : detail);
}

static void on_idle_timeout(void *ctx)
{
    struct rk_engine_attempt *a = ctx;
    struct rk_attempt_end e = {.may_have_reached = rk_http_cancel(a->req)};
    finish(a, &e, false, "silent for too long");
}

struct rk_engine_attempt *
rk_engine_attempt_start(struct rk_loop *loop, struct rk_http *http,
                        const struct rk_engine_spec *spec,
                        const struct rk_engine_handlers *h, void *ctx)
{
    struct rk_engine_attempt *a = rk_alloc(1, sizeof(*a));
    *a = (struct rk_engine_attempt){.loop = loop,
                                    .handlers = *h,
                                    .ctx = ctx,
                                    .idle_timeout_ms = spec->inactivity_timeout_ms};
    rk_strcpy(a->request_id, sizeof(a->request_id), spec->request_id);
    a->idle_timer = (struct rk_timer){.fn = on_idle_timeout, .ctx = a};
    char url[URL_MAX], id[HEADER_MAX], attempt[HEADER_MAX], priority[HEADER_MAX],
        resume[HEADER_MAX];
    snprintf(url, sizeof(url), "http://%s%s", spec->addr, spec->path);
    snprintf(id, sizeof(id), "X-Request-Id: %s", spec->request_id);
    snprintf(attempt, sizeof(attempt), "X-Attempt: %d", spec->attempt);
    snprintf(priority, sizeof(priority), "X-Priority: %d", spec->priority);
    snprintf(resume, sizeof(resume), "X-Resume-From: %" PRId64, spec->resume_from);
    const char *headers[] = {
        id, attempt, priority, "Content-Type: application/json", resume, NULL};
    struct rk_http_spec http_spec = {
        .method = "POST",
        .url = url,
        .headers = headers,
        .body = spec->body,
        .body_len = strlen(spec->body),
        .connect_timeout_ms = spec->connect_ms,
        .dedicated_conn = spec->once,
        .handlers = {.on_header = on_header,
                     .on_data = on_data,
                     .on_done = on_http_done},
        .ctx = a,
    };
    a->req = rk_http_start(http, &http_spec);
    rk_timer_start(loop, &a->idle_timer, spec->inactivity_timeout_ms);
    return a;
}

void rk_engine_attempt_cancel(struct rk_engine_attempt *a)
{
    rk_http_cancel(a->req);
    free_attempt(a);
}
