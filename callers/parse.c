#include "callers/parse.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "common/status.h"
#include "core/call.h"

#define SERVICES_PREFIX "/services/"
#define DEADLINE_MAX_MS 86400000LL /* one day */
#define TOKEN_INDEX_MAX 100000000LL

void rk_percent_encode(struct rk_buf *b, const char *s)
{
    for (; *s; s++) {
        if (isalnum((unsigned char)*s) || strchr("-_.~", *s))
            rk_buf_add(b, s, 1);
        else
            rk_buf_printf(b, "%%%02X", (unsigned char)*s);
    }
}

/* Returns true if s has one or more of the characters A-Z a-z 0-9 - _ . and no
 * others. */
static bool is_name(const char *s)
{
    if (!*s)
        return false;
    for (; *s; s++)
        if (!isalnum((unsigned char)*s) && !strchr("-_.", *s))
            return false;
    return true;
}

/* Returns true if s has only visible ASCII characters (no space), and none of those
 * in `excluded`. */
static bool is_visible_ascii(const char *s, const char *excluded)
{
    for (; *s; s++)
        if (*s <= 0x20 || *s > 0x7e || strchr(excluded, *s))
            return false;
    return true;
}

/* Copies src if it consists of printable ASCII characters (space included) and fits
 * into `size` bytes. Returns false otherwise. */
static bool copy_printable(char *dst, size_t size, const char *src)
{
    for (const char *p = src; *p; p++)
        if (*p < 0x20 || *p > 0x7e)
            return false;
    return rk_strcpy(dst, size, src);
}

/* Parses the whole of s as a decimal number from min to max. */
static bool parse_int_in_range(const char *s, int64_t min, int64_t max,
                               int64_t *out)
{
    char *end;
    *out = strtoll(s, &end, 10);
    return *s && !*end && *out >= min && *out <= max;
}

/* Splits "/services/SERVICE/CALL/..." into r->service, r->call and r->path. r->path
 * is what the upstream gets: "/CALL/..." and the query. */
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
    /* An upstream that resolves dot segments would run another call than the one
     * whose policy is applied here. */
    if (!is_visible_ascii(rest, "#?%") || !is_visible_ascii(query, "#") ||
        strstr(rest, "/."))
        return false;
    return rk_strcpy(r->path, sizeof(r->path), rest) &&
           strlen(r->path) + strlen(query) < sizeof(r->path) &&
           strcat(r->path, query);
}

/* Sets the last error. */
static enum rk_parse_result fail_parse(const char *what)
{
    rk_fail(RK_EINVAL, "%s", what);
    return RK_PARSE_MALFORMED;
}

static enum rk_parse_result
parse_headers(struct rk_request *r,
              const char *(*header)(void *ctx, const char *name), void *ctx)
{
    const char *v = header(ctx, "Rillknot-Organisation");
    if (!v || !copy_printable(r->org, sizeof(r->org), v) || !is_name(r->org))
        return fail_parse(
            "Rillknot-Organisation: expected the name of an organisation");
    if ((v = header(ctx, "Rillknot-Class")) &&
        (!copy_printable(r->priority_class, sizeof(r->priority_class), v) ||
         !is_name(r->priority_class)))
        return fail_parse("Rillknot-Class: expected the name of a priority class");
    if ((v = header(ctx, "Idempotency-Key")) &&
        (!*v || !copy_printable(r->key, sizeof(r->key), v)))
        return fail_parse("Idempotency-Key: expected 1 to 127 visible characters");
    if ((v = header(ctx, "Content-Type")) &&
        !copy_printable(r->content_type, sizeof(r->content_type), v))
        return fail_parse("Content-Type: expected at most 95 visible characters");
    if ((v = header(ctx, "Rillknot-Deadline-Ms")) &&
        !parse_int_in_range(v, 1, DEADLINE_MAX_MS, &r->deadline_in_ms))
        return fail_parse("Rillknot-Deadline-Ms: expected 1 to 86400000");
    int64_t last;
    if ((v = header(ctx, "Last-Event-ID"))) {
        if (!parse_int_in_range(v, 0, TOKEN_INDEX_MAX, &last))
            return fail_parse(
                "Last-Event-ID: expected the id of the last event received");
        r->resume_from = last + 1;
    }
    return RK_PARSE_CALL;
}

enum rk_parse_result
rk_parse_request(struct rk_request *r, const char *method, const char *path,
                 const char *query,
                 const char *(*header)(void *ctx, const char *name), void *ctx)
{
    bool chat = !strcmp(path, "/v1/chat/completions");
    if (chat || !strcmp(path, "/v1/completions")) {
        if (strcmp(method, "POST") != 0)
            return fail_parse("completions: expected POST");
        r->completion = true;
        r->chat = chat;
        rk_strcpy(r->path, sizeof(r->path), path);
    } else if (!strncmp(path, SERVICES_PREFIX, strlen(SERVICES_PREFIX))) {
        if (!parse_service_path(r, path, query))
            return fail_parse(
                "path: expected /services/SERVICE/CALL of plain characters");
    } else {
        return RK_PARSE_PAGE;
    }
    if (!rk_strcpy(r->method, sizeof(r->method), method))
        return fail_parse("method: expected a usual one");
    return parse_headers(r, header, ctx);
}
