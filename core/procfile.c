#include "core/procfile.h"

#include <errno.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/json_lines.h"

#define MAX_FILE_BYTES (4 * 1024 * 1024)

enum field_type { FIELD_TEXT, FIELD_NUMBER, FIELD_REAL, FIELD_BOOL };

/* The keys of the file but "peers": each is stored in the member of its name. */
static const struct field {
    const char *name;
    enum field_type type;
    size_t offset, size;
    bool required;
    int64_t min, max, fallback;
} fields[] = {
#define TEXT(n, req)                                                               \
    {                                                                              \
        .name = #n, .type = FIELD_TEXT, .offset = offsetof(struct rk_procfile, n), \
        .size = sizeof(((struct rk_procfile *)0)->n), .required = req              \
    }
#define NUMBER(n, lo, hi, def)                                                     \
    {                                                                              \
        .name = #n, .type = FIELD_NUMBER,                                          \
        .offset = offsetof(struct rk_procfile, n), .min = lo, .max = hi,           \
        .fallback = def                                                            \
    }
#define REAL(n, lo, hi, def)                                                       \
    {                                                                              \
        .name = #n, .type = FIELD_REAL, .offset = offsetof(struct rk_procfile, n), \
        .min = lo, .max = hi, .fallback = def                                      \
    }
#define BOOL(n)                                                                    \
    {                                                                              \
        .name = #n, .type = FIELD_BOOL, .offset = offsetof(struct rk_procfile, n)  \
    }
    TEXT(id, true),
    TEXT(failure_domain, true),
    TEXT(platform, true),
    TEXT(listen, false),
    TEXT(control_listen, false),
    TEXT(forward_listen, false),
    TEXT(control_advertise, false),
    TEXT(forward_advertise, false),
    TEXT(entry, false),
    NUMBER(traffic_threads, 1, 16, 1),
    NUMBER(notice_ms, 0, 600000, 20000),
    NUMBER(max_body, 1024, 1024 * 1024, 1024 * 1024),
    NUMBER(max_connections, 1, 100000, 4000),
    TEXT(dialect, false),
    TEXT(cloud, false),
    TEXT(ready_listen, false),
    TEXT(metrics_listen, false),
    BOOL(first_start),
    REAL(stop_s, 1, 3600, 20),
    REAL(lease_ms, 100, 600000, 3000),
    REAL(usage_window_s, 1, 86400, 5),
    REAL(usage_late_s, 1, 86400, 10),
    REAL(quota_window_s, 1, 3600, 8),
    REAL(quota_slack, 0, 1000000000, 0),
    REAL(quota_overrun, 0, 1, 0),
    REAL(retry_burst, 0, 1000000, 20),
    REAL(retry_ratio, 0, 1, 0),
    REAL(cpu_share, 0, 1024, 1),
    REAL(memory_mb, 16, 1000000000, 256),
    REAL(max_fds, 16, 1000000000, 1000000),
    REAL(trial_share, 0, 1, 0),
    REAL(trial_slack, 0, 1000000, 0),
    REAL(trial_give_up_ms, 100, 600000, 5000),
};

char *rk_read_file(const char *path)
{
    FILE *f = fopen(path, "rb");
    if (!f) {
        rk_fail(RK_ENOTFOUND, "%s: %s", path, strerror(errno));
        return NULL;
    }
    struct rk_buf b = {.max = MAX_FILE_BYTES};
    char chunk[4096];
    size_t n;
    bool fits = rk_buf_addstr(&b, "");
    while (fits && (n = fread(chunk, 1, sizeof(chunk), f)) > 0)
        fits = rk_buf_add(&b, chunk, n);
    fclose(f);
    if (fits)
        return b.data;
    rk_buf_free(&b);
    rk_fail(RK_EFULL, "%s: larger than %d bytes", path, MAX_FILE_BYTES);
    return NULL;
}

static enum rk_status parse_peers(struct rk_procfile *out, struct json_object *v)
{
    if (!json_object_is_type(v, json_type_array) ||
        json_object_array_length(v) > RK_MAX_PEERS)
        return rk_fail(RK_EINVAL, "expected a list of at most %d ip:port",
                       RK_MAX_PEERS);
    for (size_t i = 0; i < json_object_array_length(v); i++) {
        const char *s = json_object_get_string(json_object_array_get_idx(v, i));
        if (!s || !rk_strcpy(out->peers[out->peers_len++], RK_ADDR_MAX, s))
            return rk_fail(RK_EINVAL, "expected ip:port in the list");
    }
    return RK_OK;
}

static enum rk_status parse_field(struct rk_procfile *out, const struct field *f,
                                  struct json_object *v)
{
    void *member = (char *)out + f->offset;
    if (f->type == FIELD_TEXT) {
        if (!json_object_is_type(v, json_type_string) ||
            !rk_strcpy(member, f->size, json_object_get_string(v)))
            return rk_fail(RK_EINVAL, "expected a string of at most %zu characters",
                           f->size - 1);
        return RK_OK;
    }
    if (f->type == FIELD_BOOL) {
        if (!json_object_is_type(v, json_type_boolean))
            return rk_fail(RK_EINVAL, "expected true or false");
        *(bool *)member = json_object_get_boolean(v);
        return RK_OK;
    }
    if (f->type == FIELD_REAL) {
        double d = json_object_get_double(v);
        if (!json_object_is_type(v, json_type_double) &&
            !json_object_is_type(v, json_type_int))
            return rk_fail(RK_EINVAL, "expected a number");
        if (!(d >= (double)f->min && d <= (double)f->max))
            return rk_fail(RK_EINVAL, "expected a number from %lld to %lld",
                           (long long)f->min, (long long)f->max);
        *(double *)member = d;
        return RK_OK;
    }
    int64_t n = json_object_get_int64(v);
    if (!json_object_is_type(v, json_type_int) || n < f->min || n > f->max)
        return rk_fail(RK_EINVAL, "expected a number from %lld to %lld",
                       (long long)f->min, (long long)f->max);
    *(int64_t *)member = n;
    return RK_OK;
}

static enum rk_status parse_key(struct rk_procfile *out, const char *key,
                                struct json_object *v)
{
    if (!strcmp(key, "peers"))
        return parse_peers(out, v);
    for (size_t i = 0; i < RK_ARRAY_LEN(fields); i++)
        if (!strcmp(fields[i].name, key))
            return parse_field(out, &fields[i], v);
    return rk_fail(RK_EINVAL, "expected a known key");
}

static enum rk_status check_required(const struct rk_procfile *out,
                                     const char *path)
{
    for (size_t i = 0; i < RK_ARRAY_LEN(fields); i++)
        if (fields[i].required && !*((const char *)out + fields[i].offset))
            return rk_fail(RK_EINVAL, "%s: /%s: expected a value", path,
                           fields[i].name);
    return RK_OK;
}

enum rk_status rk_procfile_load(const char *path, struct rk_procfile *out)
{
    *out = (struct rk_procfile){0};
    for (size_t i = 0; i < RK_ARRAY_LEN(fields); i++)
        if (fields[i].type == FIELD_NUMBER)
            *(int64_t *)((char *)out + fields[i].offset) = fields[i].fallback;
        else if (fields[i].type == FIELD_REAL)
            *(double *)((char *)out + fields[i].offset) =
                (double)fields[i].fallback;
    char *text = rk_read_file(path);
    if (!text)
        return RK_ENOTFOUND;
    enum rk_status st = RK_OK;
    struct rk_jsonlines *lines = NULL;
    enum json_tokener_error err;
    struct json_object *root = json_tokener_parse_verbose(text, &err);
    if (!json_object_is_type(root, json_type_object)) {
        st = rk_fail(RK_EINVAL, "%s: expected a JSON object: %s", path,
                     json_tokener_error_desc(err));
        goto done;
    }
    lines = rk_jsonlines_create(text);
    json_object_object_foreach(root, key, v)
    {
        st = parse_key(out, key, v);
        if (st != RK_OK) {
            char where[RK_ID_MAX + 1], why[256];
            snprintf(where, sizeof(where), "/%.*s", RK_ID_MAX - 1, key);
            rk_strcpy(why, sizeof(why), rk_last_error());
            rk_fail(st, "%s:%d: %s: %s", path, rk_jsonlines_find(lines, where),
                    where, why);
            goto done;
        }
    }
    st = check_required(out, path);
done:
    rk_jsonlines_destroy(lines);
    json_object_put(root);
    free(text);
    return st;
}
