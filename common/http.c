#include "common/http.h"

#include <assert.h>
#include <ctype.h>
#include <curl/curl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>

#include "common/http1.h"
#include "common/loop.h"
#include "common/util.h"

#define HEADER_NAME_MAX  64
#define HEADER_VALUE_MAX 512
/* Of a response's headers, with those of interim responses and its trailers:
 * libcurl keeps all trailers. */
#define HEADERS_MAX_BYTES   ((size_t)64 * 1024)
#define IDLE_CONNS_MAX      64L
#define IDLE_CONN_MAX_AGE_S 20L

struct rk_http {
    struct rk_loop *loop;
    CURLM *multi;
    struct rk_timer timer;
    struct rk_http_req *reqs; /* all in flight */
};

struct rk_http_req {
    struct rk_http *http;
    struct rk_http_req *next, **prev;
    CURL *easy;
    struct curl_slist *headers;
    char *body;
    struct rk_http_handlers handlers;
    void *ctx;
    bool may_have_reached;
    bool no_resend;
    size_t header_bytes;        /* received so far */
    bool head_ended;            /* the empty line after the head was received */
    struct rk_timer inactivity; /* time-out of the wait for the next byte */
    int64_t stall_ms;
    char error[CURL_ERROR_SIZE];
};

void rk_http_add_escaped(struct rk_buf *url, const char *text, size_t len)
{
    if (!len) /* which curl_easy_escape() takes for a text that ends with NUL */
        return;
    char *escaped = curl_easy_escape(NULL, text, (int)len);
    assert(escaped);
    rk_buf_addstr(url, escaped);
    curl_free(escaped);
}

static void free_req(struct rk_http_req *r)
{
    if (r->prev)
        *r->prev = r->next;
    if (r->next)
        r->next->prev = r->prev;
    rk_timer_stop(r->http->loop, &r->inactivity);
    curl_multi_remove_handle(r->http->multi, r->easy);
    curl_easy_cleanup(r->easy);
    curl_slist_free_all(r->headers);
    free(r->body);
    free(r);
}

static void finish(struct rk_http_req *r, CURLcode code)
{
    struct rk_http_result res = {
        .curl_code = (int)code,
        .may_have_reached = r->may_have_reached,
        .timed_out = code == CURLE_OPERATION_TIMEDOUT,
        .error = r->error[0] ? r->error : curl_easy_strerror(code),
    };
    curl_easy_getinfo(r->easy, CURLINFO_RESPONSE_CODE, &res.status);
    /* libcurl takes a head that the server broke off for a whole answer. */
    if (code == CURLE_OK && !r->head_ended) {
        res.curl_code = CURLE_RECV_ERROR;
        res.error = "the answer ends inside its head";
    }
    r->handlers.on_done(r->ctx, &res);
    free_req(r);
}

static void finish_completed(struct rk_http *h)
{
    CURLMsg *msg;
    int remaining;
    while ((msg = curl_multi_info_read(h->multi, &remaining))) {
        if (msg->msg != CURLMSG_DONE)
            continue;
        struct rk_http_req *r = NULL;
        CURLcode code = msg->data.result;
        curl_easy_getinfo(msg->easy_handle, CURLINFO_PRIVATE, &r);
        finish(r, code);
    }
}

static void on_fd(void *ctx, int fd, uint32_t events)
{
    struct rk_http *h = ctx;
    int bits = 0;
    if (events & (EPOLLIN | EPOLLHUP))
        bits |= CURL_CSELECT_IN;
    if (events & EPOLLOUT)
        bits |= CURL_CSELECT_OUT;
    if (events & EPOLLERR)
        bits |= CURL_CSELECT_ERR;
    int running;
    curl_multi_socket_action(h->multi, fd, bits, &running);
    finish_completed(h);
}

static void on_timer(void *ctx)
{
    struct rk_http *h = ctx;
    int running;
    curl_multi_socket_action(h->multi, CURL_SOCKET_TIMEOUT, 0, &running);
    finish_completed(h);
}

static int set_timer_cb(CURLM *multi, long ms, void *ctx)
{
    (void)multi;
    struct rk_http *h = ctx;
    if (ms < 0)
        rk_timer_stop(h->loop, &h->timer);
    else
        rk_timer_start(h->loop, &h->timer, ms);
    return 0;
}

static int watch_socket_cb(CURL *easy, curl_socket_t fd, int what, void *ctx,
                           void *sock)
{
    (void)easy;
    (void)sock;
    static const uint32_t epoll_events[] = {
        [CURL_POLL_NONE] = 0,       [CURL_POLL_IN] = EPOLLIN,
        [CURL_POLL_OUT] = EPOLLOUT, [CURL_POLL_INOUT] = EPOLLIN | EPOLLOUT,
        [CURL_POLL_REMOVE] = 0,
    };
    struct rk_http *h = ctx;
    rk_loop_watch(h->loop, fd, epoll_events[what], on_fd, h);
    return 0;
}

struct rk_http *rk_http_create(struct rk_loop *loop)
{
    struct rk_http *h = rk_alloc(1, sizeof(*h));
    h->loop = loop;
    h->timer = (struct rk_timer){.fn = on_timer, .ctx = h};
    h->multi = curl_multi_init();
    assert(h->multi);
    curl_multi_setopt(h->multi, CURLMOPT_SOCKETFUNCTION, watch_socket_cb);
    curl_multi_setopt(h->multi, CURLMOPT_SOCKETDATA, h);
    curl_multi_setopt(h->multi, CURLMOPT_TIMERFUNCTION, set_timer_cb);
    curl_multi_setopt(h->multi, CURLMOPT_TIMERDATA, h);
    curl_multi_setopt(h->multi, CURLMOPT_MAXCONNECTS, IDLE_CONNS_MAX);
    return h;
}

void rk_http_destroy(struct rk_http *h)
{
    if (!h)
        return;
    /* on_done may start further requests, which are aborted as well. */
    while (h->reqs) {
        struct rk_http_req *r = h->reqs;
        h->reqs = r->next;
        if (r->next)
            r->next->prev = &h->reqs;
        r->next = NULL;
        r->prev = NULL;
        finish(r, CURLE_ABORTED_BY_CALLBACK);
    }
    curl_multi_cleanup(h->multi);
    rk_timer_stop(h->loop, &h->timer);
    free(h);
}

static int prereq_cb(void *ctx, char *remote, char *local, int rport, int lport)
{
    (void)remote;
    (void)local;
    (void)rport;
    (void)lport;
    struct rk_http_req *r = ctx;
    if (r->may_have_reached && r->no_resend)
        return CURL_PREREQFUNC_ABORT;
    r->may_have_reached = true;
    return CURL_PREREQFUNC_OK;
}

static void on_inactivity(void *ctx)
{
    finish(ctx, CURLE_OPERATION_TIMEDOUT);
}

/* Called whenever bytes of the response were received. */
static void restart_inactivity(struct rk_http_req *r)
{
    if (r->stall_ms)
        rk_timer_start(r->http->loop, &r->inactivity, r->stall_ms);
    else
        rk_timer_stop(r->http->loop, &r->inactivity);
}

static size_t write_cb(char *data, size_t size, size_t n, void *ctx)
{
    struct rk_http_req *r = ctx;
    rk_loop_note_progress(r->http->loop);
    restart_inactivity(r);
    if (r->handlers.on_data && !r->handlers.on_data(r->ctx, data, size * n))
        return 0;
    return size * n;
}

/* Passes a header line on. */
static void pass_header(const struct rk_http_req *r, const char *line, size_t len,
                        const char *colon)
{
    char name[HEADER_NAME_MAX] = "", value[HEADER_VALUE_MAX] = "";
    size_t name_len = (size_t)(colon - line);
    for (size_t i = 0; i < name_len && i < sizeof(name) - 1; i++)
        name[i] = (char)tolower((unsigned char)line[i]);
    const char *v = colon + 1, *end = line + len;
    while (v < end && *v == ' ')
        v++;
    while (end > v && (end[-1] == '\r' || end[-1] == '\n'))
        end--;
    size_t value_len = (size_t)(end - v);
    if (value_len >= sizeof(value))
        value_len = sizeof(value) - 1;
    memcpy(value, v, value_len);
    r->handlers.on_header(r->ctx, name, value);
}

/* Called for each line of a head, its status line and the empty line included, and
 * for trailers. Returning 0 ends the request. */
static size_t header_cb(char *line, size_t size, size_t n, void *ctx)
{
    struct rk_http_req *r = ctx;
    size_t len = size * n;
    restart_inactivity(r);
    r->header_bytes += len;
    if (r->header_bytes > HEADERS_MAX_BYTES)
        return 0;
    if (*line == '\r' || *line == '\n') {
        r->head_ended = true;
        return len;
    }
    const char *colon = memchr(line, ':', len);
    if (colon && rk_http1_is_token(line, (size_t)(colon - line))) {
        if (r->handlers.on_header)
            pass_header(r, line, len, colon);
        return len;
    }
    if (!rk_http1_is_status_line(line, len))
        return 0;
    r->head_ended = false;
    return len;
}

struct rk_http_req *rk_http_start(struct rk_http *http,
                                  const struct rk_http_spec *spec)
{
    struct rk_http_req *r = rk_alloc(1, sizeof(*r));
    r->http = http;
    r->next = http->reqs;
    r->prev = &http->reqs;
    if (r->next)
        r->next->prev = &r->next;
    http->reqs = r;
    r->handlers = spec->handlers;
    r->ctx = spec->ctx;
    r->no_resend = spec->no_resend || spec->dedicated_conn;
    r->stall_ms = spec->stall_timeout_ms;
    r->inactivity = (struct rk_timer){.fn = on_inactivity, .ctx = r};
    if (spec->first_byte_timeout_ms)
        rk_timer_start(http->loop, &r->inactivity, spec->first_byte_timeout_ms);
    CURL *e = r->easy = curl_easy_init();
    assert(e);
    for (size_t i = 0; spec->headers && spec->headers[i]; i++)
        r->headers = curl_slist_append(r->headers, spec->headers[i]);
    /* An empty Expect header keeps libcurl from waiting for "100 Continue": on a
     * refusal it would send the request a second time. */
    r->headers = curl_slist_append(r->headers, "Expect:");
    curl_easy_setopt(e, CURLOPT_PRIVATE, r);
    curl_easy_setopt(e, CURLOPT_ERRORBUFFER, r->error);
    curl_easy_setopt(e, CURLOPT_URL, spec->url);
    curl_easy_setopt(e, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(e, CURLOPT_PROXY, "");
    curl_easy_setopt(e, CURLOPT_FOLLOWLOCATION, 0L);
    curl_easy_setopt(e, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(e, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(e, CURLOPT_HTTPHEADER, r->headers);
    curl_easy_setopt(e, CURLOPT_CONNECTTIMEOUT_MS, spec->connect_timeout_ms);
    curl_easy_setopt(e, CURLOPT_TIMEOUT_MS, spec->timeout_ms);
    curl_easy_setopt(e, CURLOPT_MAXAGE_CONN, IDLE_CONN_MAX_AGE_S);
    curl_easy_setopt(e, CURLOPT_PREREQFUNCTION, prereq_cb);
    curl_easy_setopt(e, CURLOPT_PREREQDATA, r);
    curl_easy_setopt(e, CURLOPT_WRITEFUNCTION, write_cb);
    curl_easy_setopt(e, CURLOPT_WRITEDATA, r);
    curl_easy_setopt(e, CURLOPT_HEADERFUNCTION, header_cb);
    curl_easy_setopt(e, CURLOPT_HEADERDATA, r);
    if (spec->body) {
        r->body = rk_alloc(1, spec->body_len + 1);
        memcpy(r->body, spec->body, spec->body_len);
        curl_easy_setopt(e, CURLOPT_POSTFIELDSIZE_LARGE,
                         (curl_off_t)spec->body_len);
        curl_easy_setopt(e, CURLOPT_POSTFIELDS, r->body);
    }
    if (!strcmp(spec->method, "HEAD"))
        curl_easy_setopt(e, CURLOPT_NOBODY, 1L);
    curl_easy_setopt(e, CURLOPT_CUSTOMREQUEST, spec->method);
    if (spec->dedicated_conn) {
        curl_easy_setopt(e, CURLOPT_FRESH_CONNECT, 1L);
        curl_easy_setopt(e, CURLOPT_FORBID_REUSE, 1L);
    }
    curl_multi_add_handle(http->multi, e);
    return r;
}

bool rk_http_cancel(struct rk_http_req *r)
{
    bool may_have_reached = r->may_have_reached;
    free_req(r);
    return may_have_reached;
}
