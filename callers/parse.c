#include "callers/parse.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "common/status.h"
#include "core/call.h"

#define SERVICES_PREFIX "/services/"
#define MAX_DEADLINE_MS 86400000LL
#define MAX_TOKEN_INDEX 100000000LL

void rk_parse_escape(struct rk_buf *b, const char *s)
{
    for (; *s; s++) {
        if (isalnum((unsigned char)*s) || strchr("-_.~", *s))
            rk_buf_add(b, s, 1);
        else
            rk_buf_printf(b, "%%%02X", (unsigned char)*s);
    }
}

static bool is_name(const char *s)
{
    if (!*s)
        return false;
    for (; *s; s++)
        if (!isalnum((unsigned char)*s) && !strchr("-_.", *s))
            return false;
    return true;
}

/* Visible ASCII only, and none of the characters of `but`. */
static bool is_plain(const char *s, const char *but)
{
    for (; *s; s++)
        if (*s <= 0x20 || *s > 0x7e || strchr(but, *s))
            return false;
    return true;
}

/* A visible-ASCII value that fits. */
static bool copy_value(char *dst, size_t size, const char *src)
{
    for (const char *p = src; *p; p++)
        if (*p < 0x20 || *p > 0x7e)
            return false;
    return rk_strcpy(dst, size, src);
}

static bool parse_number(const char *s, int64_t min, int64_t max, int64_t *out)
{
    char *end;
    *out = strtoll(s, &end, 10);
    return *s && !*end && *out >= min && *out <= max;
}

/* "/services/SERVICE/CALL/..." into service, call and the upstream's path. */
static bool parse_service_path(struct rk_request *r, const char *path,
                               const char *query)
{
    const char *p = path + strlen(SERVICES_PREFIX);
    const char *slash = strchr(p, '/');
    size_t len = slash ? (size_t)(slash - p) : strlen(p);
    if (!len || len >= sizeof(r->service))
        return false;
    memcpy(r->service, p, len);
    r->service[len] = '\0';
    const char *rest = slash ? slash : "/";
    size_t call_len = strcspn(rest + 1, "/");
    if (call_len >= sizeof(r->call))
        return false;
    memcpy(r->call, rest + 1, call_len);
    r->call[call_len] = '\0';
    if (!is_name(r->service) || (r->call[0] && !is_name(r->call)))
        return false;
    /* A dot segment would reach another call under this one's policy. */
    if (!is_plain(rest, "#?%") || !is_plain(query, "#") || strstr(rest, "/."))
        return false;
    return rk_strcpy(r->path, sizeof(r->path), rest) &&
           strlen(r->path) + strlen(query) < sizeof(r->path) &&
           strcat(r->path, query);
}

static enum rk_parse bad(const char *what)
{
    rk_fail(RK_EINVAL, "%s", what);
    return RK_PARSE_BAD;
}

static enum rk_parse
parse_headers(struct rk_request *r,
              const char *(*header)(void *ctx, const char *name), void *ctx)
{
    const char *v = header(ctx, "Rillknot-Organisation");
    if (!v || !copy_value(r->org, sizeof(r->org), v) || !is_name(r->org))
        return bad("Rillknot-Organisation: expected the name of an organisation");
    if ((v = header(ctx, "Rillknot-Class")) &&
        (!copy_value(r->cls, sizeof(r->cls), v) || !is_name(r->cls)))
        return bad("Rillknot-Class: expected the name of a priority class");
    if ((v = header(ctx, "Idempotency-Key")) &&
        (!*v || !copy_value(r->key, sizeof(r->key), v)))
        return bad("Idempotency-Key: expected 1 to 127 visible characters");
    if ((v = header(ctx, "Content-Type")) &&
        !copy_value(r->content_type, sizeof(r->content_type), v))
        return bad("Content-Type: expected at most 95 visible characters");
    if ((v = header(ctx, "Rillknot-Deadline-Ms")) &&
        !parse_number(v, 1, MAX_DEADLINE_MS, &r->deadline_in_ms))
        return bad("Rillknot-Deadline-Ms: expected 1 to 86400000");
    int64_t last;
    if ((v = header(ctx, "Last-Event-ID"))) {
        if (!parse_number(v, 0, MAX_TOKEN_INDEX, &last))
            return bad("Last-Event-ID: expected the id of the last event received");
        r->resume_from = last + 1;
    }
    return RK_PARSE_CALL;
}

enum rk_parse rk_parse_request(struct rk_request *r, const char *method,
                               const char *path, const char *query,
                               const char *(*header)(void *ctx, const char *name),
                               void *ctx)
{
    bool chat = !strcmp(path, "/v1/chat/completions");
    if (chat || !strcmp(path, "/v1/completions")) {
        if (strcmp(method, "POST") != 0)
            return bad("completions: expected POST");
        r->completion = true;
        r->chat = chat;
        rk_strcpy(r->path, sizeof(r->path), path);
    } else if (!strncmp(path, SERVICES_PREFIX, strlen(SERVICES_PREFIX))) {
        if (!parse_service_path(r, path, query))
            return bad("path: expected /services/SERVICE/CALL of plain characters");
    } else {
        return RK_PARSE_PAGE;
    }
    if (!rk_strcpy(r->method, sizeof(r->method), method))
        return bad("method: expected a usual one");
    return parse_headers(r, header, ctx);
}
