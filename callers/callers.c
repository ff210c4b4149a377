#include "callers/callers.h"

#include <inttypes.h>
#include <microhttpd.h>
#include <netinet/in.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "callers/pages.h"
#include "callers/parse.h"
#include "common/addr.h"
#include "common/counters.h"
#include "common/loop.h"
#include "common/status.h"
#include "common/util.h"
#include "core/call.h"
#include "serve/exchange.h"
#include "serve/traffic.h"

#define HEADER_MEMORY (16 * 1024) /* for one connection's head */
#define STREAM_BLOCK  4096
#define VALUE_MAX     64

struct rk_callers {
    struct rk_traffic *t;
    struct rk_callers_options opt;
    struct MHD_Daemon *daemon;
    int epoll_fd;
    struct rk_timer timer; /* MHD's own timeouts, and resumed connections */
    uint64_t next_id;
    size_t open;
    uint16_t port;
};

/* One exchange with a caller. */
struct conn {
    struct rk_callers *c;
    struct MHD_Connection *mhd;
    struct rk_request req;
    struct rk_buf body;
    int64_t started_ms;
    bool parsed, begun, suspended;
    bool ready; /* the answer can be begun */
    bool ended; /* nothing more comes */
    struct rk_exchange *exchange;
    int status;
    char content_type[RK_CTYPE_MAX];
    struct rk_buf out;
    size_t out_pos;
    struct rk_outcome outcome;
    char detail[256];
};

/* ---- running MHD on the loop ---- */

static void run_mhd(void *ctx)
{
    struct rk_callers *c = ctx;
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

static void resume(struct conn *k)
{
    if (!k->suspended)
        return;
    k->suspended = false;
    MHD_resume_connection(k->mhd);
    /* MHD sees it in its next run: soon, and once for many. */
    rk_timer_start(k->c->t->loop, &k->c->timer, 0);
}

static void suspend(struct conn *k)
{
    k->suspended = true;
    MHD_suspend_connection(k->mhd);
}

/* ---- the exchange's sink ---- */

static void on_part(void *ctx, const struct rk_part *part)
{
    struct conn *k = ctx;
    k->status = part->status;
    rk_strcpy(k->content_type, sizeof(k->content_type), part->content_type);
    bool fits;
    if (part->index >= 0) {
        fits = rk_buf_printf(&k->out, "id: %" PRId64 "\ndata: ", part->index) &&
               rk_buf_add(&k->out, part->data, part->len) &&
               rk_buf_addstr(&k->out, "\n\n");
        k->ready = true;
    } else {
        fits = rk_buf_add(&k->out, part->data, part->len);
    }
    if (!fits) {
        /* It doesn't read: what it misses would leave a hole, so it is cut. */
        snprintf(k->detail, sizeof(k->detail), "the caller reads too slowly");
        k->ended = true;
        k->outcome.whole = false;
    }
    if (k->ready)
        resume(k);
}

static void end_stream(struct conn *k)
{
    if (k->outcome.whole) {
        rk_buf_addstr(&k->out, "data: [DONE]\n\n");
        return;
    }
    rk_buf_addstr(&k->out, k->outcome.resume ? "event: resume\ndata: "
                                             : "event: error\ndata: ");
    rk_page_problem(&k->out, &k->outcome, k->req.id);
    rk_buf_addstr(&k->out, "\n\n");
}

static void on_end(void *ctx, const struct rk_outcome *o)
{
    struct conn *k = ctx;
    k->exchange = NULL;
    if (k->ended)
        return;
    k->outcome = *o;
    snprintf(k->detail, sizeof(k->detail), "%s", o->detail ? o->detail : "");
    k->outcome.detail = k->detail;
    k->out.max = 0; /* the end always fits */
    if (k->ready) {
        end_stream(k);
    } else if (o->whole) {
        if (!k->out.data)
            rk_buf_addstr(&k->out, "");
    } else {
        rk_buf_free(&k->out);
        k->status = o->status;
        rk_strcpy(k->content_type, sizeof(k->content_type),
                  "application/problem+json");
        rk_page_problem(&k->out, &k->outcome, k->req.id);
    }
    k->ended = true;
    k->ready = true;
    resume(k);
}

static const struct rk_sink sink = {.part = on_part, .end = on_end};

/* ---- answers ---- */

static ssize_t read_stream(void *cls, uint64_t pos, char *buf, size_t max)
{
    (void)pos;
    struct conn *k = cls;
    size_t left = k->out.len - k->out_pos;
    if (left) {
        size_t n = left < max ? left : max;
        memcpy(buf, k->out.data + k->out_pos, n);
        k->out_pos += n;
        if (k->out_pos == k->out.len) {
            rk_buf_consume(&k->out, k->out_pos);
            k->out_pos = 0;
        }
        return (ssize_t)n;
    }
    if (k->ended)
        return MHD_CONTENT_READER_END_OF_STREAM;
    suspend(k);
    return 0;
}

static void add_headers(struct MHD_Response *r, const struct conn *k)
{
    char value[VALUE_MAX];
    MHD_add_response_header(r, "Rillknot-Request-Id", k->req.id);
    if (k->content_type[0])
        MHD_add_response_header(r, "Content-Type", k->content_type);
    if (!k->ended)
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

static enum MHD_Result answer(struct conn *k)
{
    struct MHD_Response *r;
    if (k->ended && !k->req.stream)
        r = MHD_create_response_from_buffer(
            k->out.len, k->out.data ? k->out.data : "", MHD_RESPMEM_MUST_COPY);
    else
        r = MHD_create_response_from_callback(MHD_SIZE_UNKNOWN, STREAM_BLOCK,
                                              read_stream, k, NULL);
    add_headers(r, k);
    enum MHD_Result ret = MHD_queue_response(k->mhd, (unsigned)k->status, r);
    MHD_destroy_response(r);
    return ret;
}

static enum MHD_Result answer_page(struct conn *k, int status, const char *type)
{
    k->status = status;
    rk_strcpy(k->content_type, sizeof(k->content_type), type);
    struct MHD_Response *r = MHD_create_response_from_buffer(
        k->out.len, k->out.data ? k->out.data : "", MHD_RESPMEM_MUST_COPY);
    MHD_add_response_header(r, "Content-Type", type);
    enum MHD_Result ret = MHD_queue_response(k->mhd, (unsigned)status, r);
    MHD_destroy_response(r);
    return ret;
}

/* ---- requests ---- */

static const char *header_of(void *ctx, const char *name)
{
    struct conn *k = ctx;
    return MHD_lookup_connection_value(k->mhd, MHD_HEADER_KIND, name);
}

static enum MHD_Result refuse_input(struct conn *k, int status, const char *detail)
{
    rk_count(RK_C_BAD_INPUT, 1);
    /* An earlier arrival of the key may have run, well-formed as it was. */
    bool keyed = header_of(k, "Idempotency-Key") != NULL;
    const struct rk_outcome o = {.status = status,
                                 .verdict = keyed ? RK_MAY_HAVE_RUN : RK_NOT_RUN,
                                 .not_sent = true,
                                 .detail = detail};
    on_end(k, &o);
    return answer(k);
}

static enum MHD_Result add_query(void *cls, enum MHD_ValueKind kind,
                                 const char *key, const char *value)
{
    (void)kind;
    struct rk_buf *b = cls;
    rk_buf_addstr(b, b->len ? "&" : "?");
    rk_parse_escape(b, key);
    if (value) {
        rk_buf_addstr(b, "=");
        rk_parse_escape(b, value);
    }
    return MHD_YES;
}

static enum MHD_Result begin(struct conn *k)
{
    struct rk_callers *c = k->c;
    k->begun = true;
    k->req.body = k->body.data;
    k->req.body_len = k->body.len;
    k->body = (struct rk_buf){0};
    k->out.max = c->opt.max_unread;
    struct rk_request req = k->req;
    k->req.body = NULL;
    struct rk_exchange *x = rk_exchange_start(c->t, &req, &sink, k);
    if (!k->ended)
        k->exchange = x;
    k->req.stream = k->req.stream || (x && rk_exchange_is_stream(x));
    if (k->ready)
        return answer(k);
    suspend(k);
    return MHD_YES;
}

static enum MHD_Result serve_page(struct conn *k, const char *url)
{
    int status;
    const char *type;
    if (rk_page_render(&k->out, k->c->t, url, &status, &type))
        return answer_page(k, status, type);
    return refuse_input(k, 404, "no such path");
}

static enum MHD_Result first_look(struct conn *k, const char *url,
                                  const char *method)
{
    struct rk_buf query = {0};
    MHD_get_connection_values(k->mhd, MHD_GET_ARGUMENT_KIND, add_query, &query);
    enum rk_parse p = rk_parse_request(&k->req, method, url,
                                       query.data ? query.data : "", header_of, k);
    rk_buf_free(&query);
    snprintf(k->req.id, sizeof(k->req.id), "%s-%" PRIu64, k->c->opt.id_prefix,
             ++k->c->next_id);
    k->parsed = true;
    switch (p) {
    case RK_PARSE_CALL:
        return MHD_YES; /* the body comes next */
    case RK_PARSE_PAGE:
        return serve_page(k, url);
    case RK_PARSE_BAD:
        return refuse_input(k, 400, rk_last_error());
    }
    return MHD_NO;
}

static enum MHD_Result on_access(void *cls, struct MHD_Connection *mhd,
                                 const char *url, const char *method,
                                 const char *version, const char *data, size_t *len,
                                 void **con_cls)
{
    (void)version;
    struct rk_callers *c = cls;
    struct conn *k = *con_cls;
    if (!k) {
        k = rk_alloc(1, sizeof(*k));
        *k = (struct conn){.c = c, .mhd = mhd, .started_ms = rk_mono_ms()};
        k->body.max = c->opt.max_body;
        *con_cls = k;
        c->open++;
        return first_look(k, url, method);
    }
    if (*len) {
        size_t n = *len;
        *len = 0;
        if (k->ended)
            return MHD_YES; /* refused already: swallow the rest */
        if (rk_mono_ms() - k->started_ms > c->opt.max_upload_ms)
            return MHD_NO;
        if (!rk_buf_add(&k->body, data, n)) {
            k->body.max = 1; /* keep no more of it */
            rk_buf_free(&k->body);
            k->status = 413;
        }
        return MHD_YES;
    }
    if (k->begun)
        return k->ready ? answer(k) : MHD_YES;
    if (k->status == 413)
        return refuse_input(k, 413, "the body is too large");
    return begin(k);
}

static void on_completed(void *cls, struct MHD_Connection *mhd, void **con_cls,
                         enum MHD_RequestTerminationCode code)
{
    (void)mhd;
    (void)code;
    struct rk_callers *c = cls;
    struct conn *k = *con_cls;
    if (!k)
        return;
    c->open--;
    if (k->exchange)
        rk_exchange_cancel(k->exchange);
    rk_request_free(&k->req);
    rk_buf_free(&k->body);
    rk_buf_free(&k->out);
    free(k);
    *con_cls = NULL;
}

/* ---- making ---- */

struct rk_callers *rk_callers_create(struct rk_traffic *t,
                                     const struct rk_callers_options *opt)
{
    struct sockaddr_in addr;
    if (!rk_addr_parse(opt->listen, &addr)) {
        rk_fail(RK_EINVAL, "%s: expected ip:port", opt->listen);
        return NULL;
    }
    struct rk_callers *c = rk_alloc(1, sizeof(*c));
    c->t = t;
    c->opt = *opt;
    c->timer = (struct rk_timer){.fn = run_mhd, .ctx = c};
    c->daemon = MHD_start_daemon(
        MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, ntohs(addr.sin_port), NULL, NULL,
        on_access, c, MHD_OPTION_SOCK_ADDR, &addr, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, c, MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U,
        MHD_OPTION_CONNECTION_TIMEOUT, opt->idle_s, MHD_OPTION_CONNECTION_LIMIT,
        opt->max_connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
        (size_t)HEADER_MEMORY, MHD_OPTION_LISTEN_BACKLOG_SIZE, 1024U,
        MHD_OPTION_END);
    if (!c->daemon) {
        rk_fail(RK_ESYSTEM, "%s: can't listen", opt->listen);
        free(c);
        return NULL;
    }
    c->epoll_fd =
        MHD_get_daemon_info(c->daemon, MHD_DAEMON_INFO_EPOLL_FD)->epoll_fd;
    c->port = MHD_get_daemon_info(c->daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
    rk_loop_watch(t->loop, c->epoll_fd, EPOLLIN, on_epoll, c);
    rk_timer_start(t->loop, &c->timer, 0);
    return c;
}

void rk_callers_destroy(struct rk_callers *c)
{
    if (!c)
        return;
    rk_loop_watch(c->t->loop, c->epoll_fd, 0, NULL, NULL);
    rk_timer_stop(c->t->loop, &c->timer);
    MHD_stop_daemon(c->daemon);
    free(c);
}

uint16_t rk_callers_port(const struct rk_callers *c)
{
    return c->port;
}

size_t rk_callers_open(const struct rk_callers *c)
{
    return c->open;
}
