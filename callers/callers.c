#include "callers/callers.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "callers/pages.h"
#include "callers/parse.h"
#include "common/counters.h"
#include "common/loop.h"
#include "common/status.h"
#include "common/util.h"
#include "core/call.h"
#include "serve/exchange.h"
#include "serve/traffic.h"

/* MHD's memory per connection, which limits a request's head. */
#define CONNECTION_MEMORY_BYTES (16 * 1024)
#define STREAM_BLOCK_BYTES      4096 /* bytes that MHD reads at a time */
#define HEADER_VALUE_MAX        64

struct rk_frontend {
    struct rk_traffic *t;
    struct rk_frontend_options opt;
    struct MHD_Daemon *daemon;
    int epoll_fd;
    struct rk_timer timer; /* runs MHD for its time-outs and resumed connections */
    uint64_t next_id;
    size_t requests_len; /* requests that MHD has not completed */
};

/* A caller's request and its response. MHD's per-request pointer refers to it. */
struct caller_request {
    struct rk_frontend *c;
    struct MHD_Connection *mhd;
    struct rk_request req;
    struct rk_buf body;
    int64_t started_ms;
    bool head_parsed, exchange_started, suspended;
    bool can_answer;   /* the response's status and headers can be sent */
    bool answer_ended; /* the response is complete, or was given up */
    struct rk_exchange *exchange; /* NULL before its start and after its end */
    int status;
    char content_type[RK_CONTENT_TYPE_MAX];
    struct rk_buf pending; /* of the response; MHD has read up to pending_pos */
    size_t pending_pos;
    struct rk_outcome outcome;
    char detail[256]; /* what outcome.detail points to */
};

/* ---- MHD on the event loop ---- */

static void run_mhd(void *ctx)
{
    struct rk_frontend *c = ctx;
    MHD_run(c->daemon);
    MHD_UNSIGNED_LONG_LONG ms;
    if (MHD_get_timeout(c->daemon, &ms) == MHD_YES)
        rk_timer_start(c->t->loop, &c->timer, (int64_t)ms);
}

static void on_epoll(void *ctx, int fd, uint32_t events)
{
    (void)fd;
    (void)events;
    run_mhd(ctx);
}

static void resume_connection(struct caller_request *k)
{
    if (!k->suspended)
        return;
    k->suspended = false;
    MHD_resume_connection(k->mhd);
    /* MHD handles resumed connections in its next run. The timer makes one run in
     * the loop's next iteration serve all connections resumed until then. */
    rk_timer_start(k->c->t->loop, &k->c->timer, 0);
}

static void suspend_connection(struct caller_request *k)
{
    k->suspended = true;
    MHD_suspend_connection(k->mhd);
}

/* ---- the exchange's answer sink ---- */

static void on_answer_piece(void *ctx, const struct rk_answer_piece *part)
{
    struct caller_request *k = ctx;
    k->status = part->status;
    rk_strcpy(k->content_type, sizeof(k->content_type), part->content_type);
    bool has_room;
    if (part->index >= 0) {
        has_room =
            rk_buf_printf(&k->pending, "id: %" PRId64 "\ndata: ", part->index) &&
            rk_buf_add(&k->pending, part->data, part->len) &&
            rk_buf_addstr(&k->pending, "\n\n");
        k->can_answer = true;
    } else {
        has_room = rk_buf_add(&k->pending, part->data, part->len);
    }
    if (!has_room) {
        /* The caller does not keep up with its response. Dropping a piece would
         * leave a gap, so the response stops here, without an end marker. */
        snprintf(k->detail, sizeof(k->detail), "the caller reads too slowly");
        k->answer_ended = true;
        k->outcome.whole = false;
    }
    if (k->can_answer)
        resume_connection(k);
}

static void append_stream_end(struct caller_request *k)
{
    if (k->outcome.whole) {
        rk_buf_addstr(&k->pending, "data: [DONE]\n\n");
        return;
    }
    rk_buf_addstr(&k->pending, k->outcome.resume ? "event: resume\ndata: "
                                                 : "event: error\ndata: ");
    rk_problem_render(&k->pending, &k->outcome, k->req.id);
    rk_buf_addstr(&k->pending, "\n\n");
}

static void on_answer_end(void *ctx, const struct rk_outcome *o)
{
    struct caller_request *k = ctx;
    k->exchange = NULL;
    if (k->answer_ended)
        return;
    k->outcome = *o;
    snprintf(k->detail, sizeof(k->detail), "%s", o->detail ? o->detail : "");
    k->outcome.detail = k->detail;
    k->pending.max = 0; /* no limit: the end must always fit */
    if (k->can_answer) {
        append_stream_end(k);
    } else if (o->whole) {
        if (!k->pending.data)
            rk_buf_addstr(&k->pending, "");
    } else {
        rk_buf_free(&k->pending);
        k->status = o->status;
        rk_strcpy(k->content_type, sizeof(k->content_type),
                  "application/problem+json");
        rk_problem_render(&k->pending, &k->outcome, k->req.id);
    }
    k->answer_ended = true;
    k->can_answer = true;
    resume_connection(k);
}

static const struct rk_answer_sink answer_sink = {
    .on_answer_piece = on_answer_piece, .on_answer_end = on_answer_end};

/* ---- responses ---- */

/* MHD_ContentReaderCallback: copies pending bytes of a streamed response to buf. */
static ssize_t read_pending(void *cls, uint64_t pos, char *buf, size_t max)
{
    (void)pos;
    struct caller_request *k = cls;
    size_t left = k->pending.len - k->pending_pos;
    if (left) {
        size_t n = left < max ? left : max;
        memcpy(buf, k->pending.data + k->pending_pos, n);
        k->pending_pos += n;
        if (k->pending_pos == k->pending.len) {
            rk_buf_consume(&k->pending, k->pending_pos);
            k->pending_pos = 0;
        }
        return (ssize_t)n;
    }
    if (k->answer_ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
    suspend_connection(k);
    return 0;
}

static void add_answer_headers(struct MHD_Response *r,
                               const struct caller_request *k)
{
    char value[HEADER_VALUE_MAX];
    MHD_add_response_header(r, "Rillknot-Request-Id", k->req.id);
    if (k->content_type[0])
        MHD_add_response_header(r, "Content-Type", k->content_type);
    if (!k->answer_ended)
        return;
    const struct rk_outcome *o = &k->outcome;
    MHD_add_response_header(r, "Rillknot-Verdict", rk_verdict_str(o->verdict));
    if (o->not_sent)
        MHD_add_response_header(r, "Rillknot-Arrival", "not-sent");
    if (o->replayed)
        MHD_add_response_header(r, "Idempotent-Replay", "true");
    if (o->whole || !o->retry_after_ms)
        return;
    snprintf(value, sizeof(value), "%" PRId64,
             (o->retry_after_ms + RK_MS_PER_S - 1) / RK_MS_PER_S);
    MHD_add_response_header(r, "Retry-After", value);
    snprintf(value, sizeof(value), "%" PRId64, o->retry_after_ms);
    MHD_add_response_header(r, "Rillknot-Retry-After-Ms", value);
}

/* Hands the response to MHD, which reads a stream piece by piece as it comes in. */
static enum MHD_Result queue_answer(struct caller_request *k)
{
    struct MHD_Response *r;
    if (k->answer_ended && !k->req.stream)
        r = MHD_create_response_from_buffer(k->pending.len,
                                            k->pending.data ? k->pending.data : "",
                                            MHD_RESPMEM_MUST_COPY);
    else
        r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES,
                                              read_pending, k, NULL);
    add_answer_headers(r, k);
    enum MHD_Result ret = MHD_queue_response(k->mhd, (unsigned)k->status, r);
    MHD_destroy_response(r);
    return ret;
}

static enum MHD_Result queue_page(struct caller_request *k, int status,
                                  const char *type)
{
    k->status = status;
    rk_strcpy(k->content_type, sizeof(k->content_type), type);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        k->pending.len, k->pending.data ? k->pending.data : "",
        MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(r, "Content-Type", type);
    enum MHD_Result ret = MHD_queue_response(k->mhd, (unsigned)status, r);
    MHD_destroy_response(r);
    return ret;
}

/* ---- requests ---- */

static const char *lookup_header(void *ctx, const char *name)
{
    struct caller_request *k = ctx;
    return MHD_lookup_connection_value(k->mhd, MHD_HEADER_KIND, name);
}

/* Responds with a problem document to a request that starts no exchange: it is
 * malformed, its path is unknown or its body is too large. */
static enum MHD_Result reject_request(struct caller_request *k, int status,
                                      const char *detail)
{
    rk_counter_add(RK_C_BAD_INPUT, 1);
    /* An earlier request with the same key may have been valid and have run. */
    bool keyed = lookup_header(k, "Idempotency-Key") != NULL;
    const struct rk_outcome o = {.status = status,
                                 .verdict = keyed ? RK_MAY_HAVE_RUN : RK_NOT_RUN,
                                 .not_sent = true,
                                 .detail = detail};
    on_answer_end(k, &o);
    return queue_answer(k);
}

/* MHD_KeyValueIterator: appends one decoded query argument to the rk_buf at cls,
 * percent-encoded. */
static enum MHD_Result append_query_arg(void *cls, enum MHD_ValueKind kind,
                                        const char *key, const char *value)
{
    (void)kind;
    struct rk_buf *b = cls;
    rk_buf_addstr(b, b->len ? "&" : "?");
    rk_percent_encode(b, key);
    if (value) {
        rk_buf_addstr(b, "=");
        rk_percent_encode(b, value);
    }
    return MHD_YES;
}

static enum MHD_Result start_exchange(struct caller_request *k)
{
    struct rk_frontend *c = k->c;
    k->exchange_started = true;
    k->req.body = k->body.data;
    k->req.body_len = k->body.len;
    k->body = (struct rk_buf){0};
    k->pending.max = c->opt.max_response_buffer;
    struct rk_request req = k->req;
    k->req.body = NULL;
    struct rk_exchange *x = rk_exchange_start(c->t, &req, &answer_sink, k);
    if (!k->answer_ended)
        k->exchange = x;
    k->req.stream = k->req.stream || (x && rk_exchange_is_stream(x));
    if (k->can_answer)
        return queue_answer(k);
    suspend_connection(k);
    return MHD_YES;
}

static enum MHD_Result serve_page(struct caller_request *k, const char *url)
{
    int status;
    const char *type;
    if (rk_page_render(&k->pending, k->c->t, url, &status, &type))
        return queue_page(k, status, type);
    return reject_request(k, 404, "no such path");
}

static enum MHD_Result on_request_head(struct caller_request *k, const char *url,
                                       const char *method)
{
    struct rk_buf query = {0};
    MHD_get_connection_values(k->mhd, MHD_GET_ARGUMENT_KIND, append_query_arg,
                              &query);
    enum rk_parse_result p = rk_parse_request(
        &k->req, method, url, query.data ? query.data : "", lookup_header, k);
    rk_buf_free(&query);
    snprintf(k->req.id, sizeof(k->req.id), "%s-%" PRIu64, k->c->opt.id_prefix,
             ++k->c->next_id);
    k->head_parsed = true;
    switch (p) {
    case RK_PARSE_CALL:
        return MHD_YES; /* MHD reads the body next */
    case RK_PARSE_PAGE:
        return serve_page(k, url);
    case RK_PARSE_MALFORMED:
        return reject_request(k, 400, rk_last_error());
    }
    return MHD_NO;
}

/* MHD_AccessHandlerCallback: called first for the head of a request, then for each
 * piece of its body, then with *len 0 at its end and when it was resumed. */
static enum MHD_Result on_request_progress(void *cls, struct MHD_Connection *mhd,
                                           const char *url, const char *method,
                                           const char *version, const char *data,
                                           size_t *len, void **request_slot)
{
    (void)version;
    struct rk_frontend *c = cls;
    struct caller_request *k = *request_slot;
    if (!k) {
        k = rk_alloc(1, sizeof(*k));
        *k =
            (struct caller_request){.c = c, .mhd = mhd, .started_ms = rk_mono_ms()};
        k->body.max = c->opt.max_body;
        *request_slot = k;
        c->requests_len++;
        return on_request_head(k, url, method);
    }
    if (*len) {
        size_t n = *len;
        *len = 0;
        if (k->answer_ended)
            return MHD_YES; /* already rejected: discard the rest of the body */
        if (rk_mono_ms() - k->started_ms > c->opt.max_upload_ms)
            return MHD_NO;
        if (!rk_buf_add(&k->body, data, n)) {
            k->body.max = 1; /* buffer no more of the body */
            rk_buf_free(&k->body);
            k->status = 413;
        }
        return MHD_YES;
    }
    if (k->exchange_started)
        return k->can_answer ? queue_answer(k) : MHD_YES;
    if (k->status == 413)
        return reject_request(k, 413, "the body is too large");
    return start_exchange(k);
}

static void on_request_completed(void *cls, struct MHD_Connection *mhd,
                                 void **request_slot,
                                 enum MHD_RequestTerminationCode code)
{
    (void)mhd;
    (void)code;
    struct rk_frontend *c = cls;
    struct caller_request *k = *request_slot;
    if (!k)
        return;
    c->requests_len--;
    if (k->exchange)
        rk_exchange_cancel(k->exchange);
    rk_request_free(&k->req);
    rk_buf_free(&k->body);
    rk_buf_free(&k->pending);
    free(k);
    *request_slot = NULL;
}

/* ---- creation ---- */

struct rk_frontend *rk_frontend_create(struct rk_traffic *t,
                                       const struct rk_frontend_options *opt)
{
    struct rk_frontend *c = rk_alloc(1, sizeof(*c));
    c->t = t;
    c->opt = *opt;
    c->timer = (struct rk_timer){.fn = run_mhd, .ctx = c};
    c->daemon =
        MHD_start_daemon(MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL,
                         on_request_progress, c, MHD_OPTION_LISTEN_SOCKET,
                         opt->listen_fd, MHD_OPTION_NOTIFY_COMPLETED,
                         on_request_completed, c, MHD_OPTION_CONNECTION_TIMEOUT,
                         opt->idle_timeout_s, MHD_OPTION_CONNECTION_LIMIT,
                         opt->max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
                         (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_END);
    if (!c->daemon) {
        rk_fail(RK_ESYSTEM, "the HTTP server can't be started");
        free(c);
        return NULL;
    }
    c->epoll_fd =
        MHD_get_daemon_info(c->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    rk_loop_watch(t->loop, c->epoll_fd, EPOLLIN, on_epoll, c);
    rk_timer_start(t->loop, &c->timer, 0);
    return c;
}

void rk_frontend_destroy(struct rk_frontend *c)
{
    if (!c)
        return;
    rk_loop_watch(c->t->loop, c->epoll_fd, 0, NULL, NULL);
    rk_timer_stop(c->t->loop, &c->timer);
    MHD_stop_daemon(c->daemon);
    free(c);
}

size_t rk_frontend_active_requests(const struct rk_frontend *c)
{
    return c->requests_len;
}
