/* Writes responses. */
#include <inttypes.h>
#include <stdio.h>
#include <string.h>

#include "callers/client.h"
#include "common/conn.h"

#define HEADER_LINE_MAX           128
#define KEEP_ALIVE_ADVERTISED_PCT 80 /* percent of the idle time-out */

static const char *reason_phrase(int status)
{
    switch (status) {
#define REASON(num, name, string)                                                  \
    case num:                                                                      \
        return #string;
        HTTP_STATUS_MAP(REASON)
#undef REASON
    default:
        return "Unknown";
    }
}

static void write_str(struct rk_client *c, const char *s)
{
    rk_conn_write(c->conn, s, strlen(s));
}

/* Writes the header that delimits the body. Without one (HTTP/1.0 and an unknown
 * length) the end of the connection does. */
static void write_framing(struct rk_client *c, int64_t length)
{
    char line[HEADER_LINE_MAX];
    if (c->no_body && length < 0)
        return;
    if (length >= 0) {
        snprintf(line, sizeof(line), "Content-Length: %" PRId64 "\r\n", length);
        write_str(c, line);
    } else if (c->reader.head.minor > 0) {
        c->chunked = true;
        write_str(c, "Transfer-Encoding: chunked\r\n");
    } else {
        c->close_after_answer = true;
    }
}

/* Advertises a shorter keep-alive time than the connection is kept, so that no
 * request crosses its close. The header has whole seconds, so an idle time-out of
 * less than 1.25 s can't be advertised. */
static void write_keep_alive(struct rk_client *c)
{
    char line[HEADER_LINE_MAX];
    int64_t advertised_s =
        c->limits.idle_ms * KEEP_ALIVE_ADVERTISED_PCT / 100 / 1000;
    if (c->close_after_answer) {
        write_str(c, "Connection: close\r\n");
    } else if (advertised_s > 0) {
        snprintf(line, sizeof(line), "Keep-Alive: timeout=%" PRId64 "\r\n",
                 advertised_s);
        write_str(c, line);
    }
}

void rk_client_begin(struct rk_client *c, int status, const char *headers,
                     int64_t length)
{
    char line[HEADER_LINE_MAX];
    c->state = CLIENT_ANSWERING;
    c->chunked = false;
    c->no_body =
        c->reader.head.method == HTTP_HEAD || status == 204 || status == 304;
    /* Requests that were received behind this one are answered before their
     * connection closes. */
    bool closes = c->s->closing && c->pipelined.len == c->pipelined_pos;
    c->close_after_answer =
        c->close_after_answer || closes || !c->reader.head.keep_alive ||
        !c->reader.ended; /* the start of the next request is not known */
    snprintf(line, sizeof(line), "HTTP/1.1 %d %s\r\n", status,
             reason_phrase(status));
    write_str(c, line);
    write_str(c, headers);
    write_framing(c, length);
    write_keep_alive(c);
    write_str(c, "\r\n");
}

void rk_client_data(struct rk_client *c, const char *data, size_t len)
{
    if (c->no_body || !len)
        return;
    char line[HEADER_LINE_MAX];
    if (c->chunked) {
        snprintf(line, sizeof(line), "%zx\r\n", len);
        write_str(c, line);
    }
    rk_conn_write(c->conn, data, len);
    if (c->chunked)
        write_str(c, "\r\n");
}

void rk_client_end_body(struct rk_client *c)
{
    if (c->chunked && !c->no_body)
        write_str(c, "0\r\n\r\n");
}
