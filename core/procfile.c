#include "core/procfile.h"

#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "core/json_lines.h"

#define MAX_FILE_BYTES (4 * 1024 * 1024)
#define PLACE_MAX      (RK_ID_MAX + 16) /* line number and key */

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

/* The file that is being read. */
struct reader {
    const char *path;
    struct rk_jsonlines *lines;
    const struct rk_procfile *in_force; /* NULL: none */
    struct rk_procfile *out;
};

/* Formats LINE: /KEY, without the line of a key that the file lacks. */
static void format_place(const struct reader *r, const char *key, char *out,
                         size_t size)
{
    char json_path[RK_ID_MAX + 1];
    snprintf(json_path, sizeof(json_path), "/%.*s", RK_ID_MAX - 1, key);
    int line = rk_jsonlines_find(r->lines, json_path);
    if (line)
        snprintf(out, size, "%d: %s", line, json_path);
    else
        snprintf(out, size, " %s", json_path);
}

/* Fails on the value of a key: FILE:LINE: /KEY: why. */
static enum rk_status fail_at(const struct reader *r, const char *key,
                              const char *why)
{
    char place[PLACE_MAX];
    format_place(r, key, place, sizeof(place));
    return rk_fail(RK_EINVAL, "%s:%s: %s", r->path, place, why);
}

static void add_problem(const struct reader *r, const char *key, const char *fmt,
                        ...) __attribute__((format(printf, 3, 4)));

static void add_problem(const struct reader *r, const char *key, const char *fmt,
                        ...)
{
    if (r->out->problems_len == RK_PROCFILE_PROBLEMS)
        return;
    char place[PLACE_MAX], why[RK_PROCFILE_PROBLEM_MAX - PLACE_MAX - 2];
    va_list args;
    va_start(args, fmt);
    vsnprintf(why, sizeof(why), fmt, args);
    va_end(args);
    format_place(r, key, place, sizeof(place));
    snprintf(r->out->problems[r->out->problems_len++], RK_PROCFILE_PROBLEM_MAX,
             "%s: %s", place, why);
}

/* Returns how a message names a value: a number as it is, others by their type. */
static const char *describe(struct json_object *v)
{
    enum json_type type = json_object_get_type(v);
    return type == json_type_int || type == json_type_double
               ? json_object_to_json_string(v)
               : json_type_to_name(type);
}

static void parse_peers(const struct reader *r, struct json_object *v)
{
    struct rk_procfile *out = r->out;
    if (!json_object_is_type(v, json_type_array)) {
        add_problem(r, "peers", "expected a list of ip:port");
        return;
    }
    size_t len = json_object_array_length(v);
    if (len > RK_MAX_PEERS) {
        add_problem(r, "peers", "expected at most %d ip:port; the rest is ignored",
                    RK_MAX_PEERS);
        len = RK_MAX_PEERS;
    }
    for (size_t i = 0; i < len; i++) {
        struct json_object *item = json_object_array_get_idx(v, i);
        if (json_object_is_type(item, json_type_string) &&
            rk_strcpy(out->peers[out->peers_len], RK_ADDR_MAX,
                      json_object_get_string(item)))
            out->peers_len++;
        else
            add_problem(r, "peers", "expected ip:port; entry %zu is ignored", i);
    }
}

static enum rk_status parse_text(const struct reader *r, const struct field *f,
                                 struct json_object *v)
{
    char why[64];
    if (json_object_is_type(v, json_type_null)) {
        add_problem(r, f->name, "expected a string, found null");
        return RK_OK;
    }
    if (json_object_is_type(v, json_type_string) &&
        rk_strcpy((char *)r->out + f->offset, f->size, json_object_get_string(v)))
        return RK_OK;
    snprintf(why, sizeof(why), "expected a string of at most %zu characters",
             f->size - 1);
    return fail_at(r, f->name, why);
}

static void parse_bool(const struct reader *r, const struct field *f,
                       struct json_object *v)
{
    bool *member = (bool *)((char *)r->out + f->offset);
    if (json_object_is_type(v, json_type_boolean)) {
        *member = json_object_get_boolean(v);
        return;
    }
    *member = r->in_force && *(const bool *)((const char *)r->in_force + f->offset);
    add_problem(r, f->name, "expected true or false, found %.40s; %s is used",
                describe(v), *member ? "true" : "false");
}

static double get_figure(const struct rk_procfile *file, const struct field *f)
{
    const char *member = (const char *)file + f->offset;
    return f->type == FIELD_REAL ? *(const double *)member
                                 : (double)*(const int64_t *)member;
}

static void set_figure(struct rk_procfile *file, const struct field *f,
                       double value)
{
    char *member = (char *)file + f->offset;
    if (f->type == FIELD_REAL)
        *(double *)member = value;
    else
        *(int64_t *)member = (int64_t)value;
}

/* Reads a number, or a string that is one. Returns false if v is neither. */
static bool read_figure(struct json_object *v, double *out)
{
    if (json_object_is_type(v, json_type_string)) {
        const char *s = json_object_get_string(v);
        char *end;
        *out = strtod(s, &end);
        return *s && !*end && !isnan(*out);
    }
    *out = json_object_get_double(v);
    return (json_object_is_type(v, json_type_int) ||
            json_object_is_type(v, json_type_double)) &&
           !isnan(*out);
}

/* Returns what stands in for a number that is out of range, or not whole where
 * whole numbers are expected. 0 and less count as not given. */
static double replace_figure(const struct field *f, double value)
{
    if (value > (double)f->max)
        return (double)f->max;
    if (value >= (double)f->min)
        return (double)(int64_t)value;
    return f->type == FIELD_REAL && value > 0 ? (double)f->min
                                              : (double)f->fallback;
}

static void parse_figure(const struct reader *r, const struct field *f,
                         struct json_object *v)
{
    double value, used;
    bool is_number = read_figure(v, &value);
    if (is_number && value >= (double)f->min && value <= (double)f->max &&
        (f->type == FIELD_REAL || value == (double)(int64_t)value)) {
        set_figure(r->out, f, value);
        return;
    }
    if (r->in_force)
        used = get_figure(r->in_force, f);
    else
        used = is_number ? replace_figure(f, value) : (double)f->fallback;
    set_figure(r->out, f, used);
    add_problem(r, f->name,
                "expected a %snumber from %" PRId64 " to %" PRId64
                ", found %.40s; %g is used",
                f->type == FIELD_REAL ? "" : "whole ", f->min, f->max, describe(v),
                used);
}

static enum rk_status parse_key(const struct reader *r, const char *key,
                                struct json_object *v)
{
    if (!strcmp(key, "peers")) {
        parse_peers(r, v);
        return RK_OK;
    }
    const struct field *f = fields, *end = fields + RK_ARRAY_LEN(fields);
    while (f < end && strcmp(f->name, key) != 0)
        f++;
    if (f == end)
        add_problem(r, key, "expected a known key; it is ignored");
    else if (f->type == FIELD_TEXT)
        return parse_text(r, f, v);
    else if (f->type == FIELD_BOOL)
        parse_bool(r, f, v);
    else
        parse_figure(r, f, v);
    return RK_OK;
}

static enum rk_status check_required(const struct reader *r)
{
    for (size_t i = 0; i < RK_ARRAY_LEN(fields); i++)
        if (fields[i].required && !*((const char *)r->out + fields[i].offset))
            return fail_at(r, fields[i].name, "expected a value");
    return RK_OK;
}

static enum rk_status parse_object(const struct reader *r, struct json_object *root)
{
    json_object_object_foreach(root, key, v)
    {
        if (parse_key(r, key, v) != RK_OK)
            return RK_EINVAL;
    }
    return check_required(r);
}

static enum rk_status parse_file(struct reader *r, const char *text)
{
    struct json_tokener *tok = json_tokener_new();
    struct json_object *root = json_tokener_parse_ex(tok, text, -1);
    enum rk_status st;
    if (json_object_is_type(root, json_type_object)) {
        r->lines = rk_jsonlines_create(text);
        st = parse_object(r, root);
        rk_jsonlines_destroy(r->lines);
    } else {
        st = rk_fail(RK_EINVAL, "%s:%d: expected a JSON object: %s", r->path,
                     rk_jsonlines_line_at(text, json_tokener_get_parse_end(tok)),
                     json_tokener_error_desc(json_tokener_get_error(tok)));
    }
    json_object_put(root);
    json_tokener_free(tok);
    return st;
}

enum rk_status rk_procfile_load(const char *path,
                                const struct rk_procfile *in_force,
                                struct rk_procfile *out)
{
    *out = (struct rk_procfile){0};
    for (size_t i = 0; i < RK_ARRAY_LEN(fields); i++)
        if (fields[i].type == FIELD_NUMBER || fields[i].type == FIELD_REAL)
            set_figure(out, &fields[i], (double)fields[i].fallback);
    char *text = rk_read_file(path);
    if (!text)
        return RK_ENOTFOUND;
    struct reader r = {.path = path, .in_force = in_force, .out = out};
    enum rk_status st = parse_file(&r, text);
    free(text);
    return st;
}

void rk_procfile_log_problems(const struct rk_procfile *file, const char *path)
{
    for (size_t i = 0; i < file->problems_len; i++)
        RK_WARN("procfile.problem", RK_S("file", path),
                RK_S("what", file->problems[i]));
}
