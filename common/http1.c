#include "common/http1.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define HEAD_SLACK        64 /* bytes of a head that are not part of its strings */
#define HEAD_RETAINED_MAX 4096 /* largest buffer to keep for the next head */

const char *rk_head_name(const struct rk_head *h, size_t line)
{
    return h->text.data + h->lines[line].name;
}

const char *rk_head_value(const struct rk_head *h, size_t line)
{
    return h->text.data + h->lines[line].value;
}

const char *rk_head_target(const struct rk_head *h)
{
    return h->text.data + h->target;
}

const char *rk_head_get(const struct rk_head *h, const char *name)
{
    for (size_t i = 0; i < h->lines_len; i++)
        if (!strcasecmp(rk_head_name(h, i), name))
            return rk_head_value(h, i);
    return NULL;
}

/* Returns true for responses that have no body, whatever their length says: that of
 * a 304 is the length of the body that was not sent. */
static bool is_bodiless(int status)
{
    return status == 204 || status == 304;
}

enum rk_framing rk_head_framing(const struct rk_head *h)
{
    if (is_bodiless(h->status))
        return RK_FRAMING_LENGTH;
    if (h->chunked)
        return RK_FRAMING_CHUNKED;
    return h->body_length >= 0 ? RK_FRAMING_LENGTH : RK_FRAMING_CLOSE;
}

const char *rk_framing_name(enum rk_framing framing)
{
    static const char *const names[] = {
        [RK_FRAMING_LENGTH] = "length",
        [RK_FRAMING_CHUNKED] = "chunked",
        [RK_FRAMING_CLOSE] = "close",
    };
    return names[framing];
}

static struct rk_http1 *reader_of(http_parser *p)
{
    return p->data;
}

/* Appends to the current string. Returns -1, which ends the parse, if the head
 * exceeds its limit or s contains a NUL. */
static int append_text(struct rk_http1 *r, const char *s, size_t len)
{
    r->head_len += len;
    if (r->head_len > r->head_max || memchr(s, 0, len)) {
        r->too_large = r->head_len > r->head_max;
        return -1;
    }
    rk_buf_add(&r->head.text, s, len);
    return 0;
}

/* Ends the current string and returns the offset of the next one. */
static size_t begin_string(struct rk_http1 *r)
{
    rk_buf_add(&r->head.text, "", 1);
    return r->head.text.len;
}

static int on_begin(http_parser *p)
{
    struct rk_http1 *r = reader_of(p);
    r->head.text.len = 0;
    r->head.lines_len = 0;
    r->head_len = 0;
    r->in_value = false;
    r->head_done = false;
    r->head.target = begin_string(r);
    return 0;
}

/* Returns whether a text has control characters other than tabs. */
static bool has_control(const char *s, size_t len)
{
    for (size_t i = 0; i < len; i++)
        if (s[i] != '\t' && ((unsigned char)s[i] < ' ' || s[i] == 0x7f))
            return true;
    return false;
}

static int on_url(http_parser *p, const char *s, size_t len)
{
    return append_text(reader_of(p), s, len);
}

/* Called for parts of the reason phrase. */
static int on_reason(http_parser *p, const char *s, size_t len)
{
    (void)p;
    return has_control(s, len) ? -1 : 0;
}

static int on_field(http_parser *p, const char *s, size_t len)
{
    struct rk_http1 *r = reader_of(p);
    struct rk_head *h = &r->head;
    if (r->head_done)
        return 0; /* a trailer */
    if (r->in_value || !h->lines_len) {
        if (h->lines_len == RK_HEAD_LINES_MAX) {
            r->too_large = true;
            return -1;
        }
        h->lines[h->lines_len].name = begin_string(r);
        h->lines[h->lines_len].value = 0;
        h->lines_len++;
        r->in_value = false;
        r->head_len += 4; /* colon, space, CR and LF */
    }
    return append_text(r, s, len);
}

static int on_value(http_parser *p, const char *s, size_t len)
{
    struct rk_http1 *r = reader_of(p);
    if (r->head_done)
        return 0;
    if (!r->in_value) {
        r->head.lines[r->head.lines_len - 1].value = begin_string(r);
        r->in_value = true;
    }
    return append_text(r, s, len);
}

bool rk_http1_is_token(const char *text, size_t len)
{
    size_t i = 0;
    while (i < len && text[i] &&
           (isalnum((unsigned char)text[i]) || strchr("!#$%&'*+-.^_`|~", text[i])))
        i++;
    return len && i == len;
}

static bool is_word(const char *text, size_t len, const char *word)
{
    return len == strlen(word) && !strncasecmp(text, word, len);
}

/* Returns whether the body has no other transfer coding than chunked. Another one
 * would be passed on without its name. */
static bool has_known_coding(const struct rk_head *h)
{
    int codings = 0;
    for (size_t i = 0; i < h->lines_len; i++) {
        if (strcasecmp(rk_head_name(h, i), "Transfer-Encoding") != 0)
            continue;
        const char *value = rk_head_value(h, i);
        size_t len = strlen(value);
        while (len && (value[len - 1] == ' ' || value[len - 1] == '\t'))
            len--;
        codings++;
        if (!is_word(value, len, "chunked") && !is_word(value, len, "identity"))
            return false;
    }
    return codings <= 1;
}

/* Returns false for heads that http-parser accepts though they are malformed. A VM
 * that ignores a blank before the colon would read another header than this node
 * has checked, and so would a caller. */
static bool is_well_formed(const struct rk_head *h)
{
    for (size_t i = 0; i < h->lines_len; i++)
        if (!rk_http1_is_token(rk_head_name(h, i), strlen(rk_head_name(h, i))) ||
            has_control(rk_head_value(h, i), strlen(rk_head_value(h, i))))
            return false;
    const char *target = rk_head_target(h);
    return rk_is_header_text(target) && !strchr(target, ' ') && has_known_coding(h);
}

/* http-parser accepts any number below 1000, and several blanks before it. */
bool rk_http1_is_status_line(const char *line, size_t len)
{
    static const char version[] = "HTTP/1.";
    if (len <= RK_STATUS_LEN || memcmp(line, version, sizeof(version) - 1) != 0)
        return false;
    const char *minor = line + sizeof(version) - 1;
    const char *status = line + RK_STATUS_LEN - 3;
    return isdigit((unsigned char)*minor) && minor[1] == ' ' && status[0] >= '1' &&
           status[0] <= '5' && isdigit((unsigned char)status[1]) &&
           isdigit((unsigned char)status[2]) &&
           (status[3] == ' ' || status[3] == '\r' || status[3] == '\n');
}

/* Keeps the beginning of a response's first line. Like http-parser, it passes over
 * empty lines before that. */
static void keep_status_line(struct rk_http1 *r, const char *data, size_t len)
{
    for (size_t i = 0; i < len && r->status_line_len <= RK_STATUS_LEN; i++)
        if (r->status_line_len || (data[i] != '\r' && data[i] != '\n'))
            r->status_line[r->status_line_len++] = data[i];
}

static int on_head(http_parser *p)
{
    struct rk_http1 *r = reader_of(p);
    struct rk_head *h = &r->head;
    begin_string(r);
    r->head_done = true;
    if (!is_well_formed(h) ||
        (p->type == HTTP_RESPONSE &&
         !rk_http1_is_status_line(r->status_line, r->status_line_len)))
        return -1;
    h->method = (enum http_method)p->method;
    h->status = p->status_code;
    h->major = p->http_major;
    h->minor = p->http_minor;
    h->chunked = p->flags & F_CHUNKED;
    h->body_length = h->chunked || p->content_length == UINT64_MAX
                         ? -1
                         : (int64_t)p->content_length;
    h->keep_alive = http_should_keep_alive(p);
    if (p->type == HTTP_RESPONSE && h->status == HTTP_STATUS_SWITCHING_PROTOCOLS)
        return -1; /* no request asks for that */
    if (p->type == HTTP_RESPONSE && h->status / 100 == 1)
        return 1; /* has no body, whatever its headers say */
    bool has_body = r->ops->on_head(r->ctx, h);
    return has_body && !is_bodiless(h->status) ? 0 : 1;
}

static int on_body(http_parser *p, const char *s, size_t len)
{
    struct rk_http1 *r = reader_of(p);
    r->ops->on_body(r->ctx, s, len);
    return 0;
}

static int on_complete(http_parser *p)
{
    struct rk_http1 *r = reader_of(p);
    if (p->type == HTTP_RESPONSE && r->head.status / 100 == 1) {
        /* The final response follows. */
        r->too_large = ++r->interim_len > RK_INTERIM_MAX;
        r->is_interim = true;
        http_parser_pause(p, 1);
        return r->too_large ? -1 : 0;
    }
    r->ended = true;
    http_parser_pause(p, 1);
    return 0;
}

static const http_parser_settings settings = {
    .on_message_begin = on_begin,
    .on_url = on_url,
    .on_status = on_reason,
    .on_header_field = on_field,
    .on_header_value = on_value,
    .on_headers_complete = on_head,
    .on_body = on_body,
    .on_message_complete = on_complete,
};

void rk_http1_init(struct rk_http1 *r, bool requests, size_t head_max,
                   const struct rk_http1_ops *ops, void *ctx)
{
    *r = (struct rk_http1){.ops = ops, .ctx = ctx, .head_max = head_max};
    http_parser_init(&r->parser, requests ? HTTP_REQUEST : HTTP_RESPONSE);
    r->parser.data = r;
    /* http-parser's own limit is process-wide and counts every byte of a head. It
     * is set well above head_max, which append_text() enforces. */
    http_parser_set_max_header_size((uint32_t)(head_max + HEAD_SLACK) * 2);
}

void rk_http1_free(struct rk_http1 *r)
{
    rk_buf_free(&r->head.text);
}

/* Returns how many bytes were used. is_interim: they end with an interim response.
 * The callback that ends a message may free the reader. */
static size_t execute(struct rk_http1 *r, const char *data, size_t len,
                      bool *is_interim)
{
    size_t used = http_parser_execute(&r->parser, &settings, data, len);
    enum http_errno err = HTTP_PARSER_ERRNO(&r->parser);
    if (err == HPE_HEADER_OVERFLOW)
        r->too_large = true;
    if (err != HPE_OK && err != HPE_PAUSED)
        r->failed = true;
    if (r->parser.upgrade)
        r->failed = true; /* CONNECT and Upgrade are not supported */
    *is_interim = r->is_interim && !r->failed;
    if (r->ended)
        r->ops->on_end(r->ctx);
    return used;
}

/* Goes on to the response that follows an interim one. */
static void leave_interim(struct rk_http1 *r)
{
    if (!r->is_interim)
        return;
    r->is_interim = false;
    r->status_line_len = 0;
    http_parser_pause(&r->parser, 0);
}

size_t rk_http1_feed(struct rk_http1 *r, const char *data, size_t len)
{
    size_t used = 0;
    bool goes_on = !r->ended && !r->failed;
    while (goes_on && used < len) {
        leave_interim(r);
        keep_status_line(r, data + used, len - used);
        used += execute(r, data + used, len - used, &goes_on);
    }
    return used;
}

void rk_http1_eof(struct rk_http1 *r)
{
    bool is_interim;
    leave_interim(r);
    if (!r->ended && !r->failed)
        execute(r, "", 0, &is_interim);
}

void rk_http1_next(struct rk_http1 *r)
{
    r->ended = false;
    r->head_done = false;
    r->head_len = 0;
    r->interim_len = 0;
    r->is_interim = false;
    r->status_line_len = 0;
    r->head.text.len = 0;
    if (r->head.text.cap > HEAD_RETAINED_MAX)
        rk_buf_free(&r->head.text);
    http_parser_pause(&r->parser, 0);
}

bool rk_http1_has_begun(const struct rk_http1 *r)
{
    return r->parser.nread > 0 || r->head.text.len > 0;
}
