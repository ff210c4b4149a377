#include "common/json_text.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "common/status.h"
#include "common/util.h"

/* Bytes that json-c takes for an object and an array, with their first members, and
 * for any other value with its slot. */
#define OBJECT_BYTES 800
#define ARRAY_BYTES  400
#define VALUE_BYTES  64
/* Parts that take less memory are not worth leaving out. */
#define PART_MIN_BYTES (64 * 1024)
#define PARTS_MIN_CAP  16
#define NO_LEVEL       0 /* no value is at it */
/* Name of the member whose own members count as parts, instead of itself. */
#define METADATA "\"metadata\""

/* A place in a text, behind the token that was read last. */
struct scan {
    const char *text;
    size_t len;
    size_t at;
    char token;         /* a bracket or a comma; 0: the end of the text */
    size_t string;      /* where the last string began */
    size_t string_len;  /* its length, with its quotes */
    int level;          /* objects and arrays around the place */
    size_t parsed_size; /* of the text up to the place, once it is parsed */
};

static void skip_string(struct scan *s)
{
    s->string = s->at - 1;
    while (s->at < s->len && s->text[s->at] != '"')
        s->at += s->text[s->at] == '\\' ? 2 : 1;
    s->at = s->at < s->len ? s->at + 1 : s->len;
    s->string_len = s->at - s->string;
}

static bool is_token(char c)
{
    return c == '{' || c == '}' || c == '[' || c == ']' || c == ',';
}

/* Goes on to the next bracket or comma. Returns false at the end of the text. */
static bool next_token(struct scan *s)
{
    size_t before = s->at;
    s->token = 0;
    while (s->at < s->len && !s->token) {
        char c = s->text[s->at++];
        if (c == '"')
            skip_string(s);
        else if (is_token(c))
            s->token = c;
    }
    s->parsed_size += s->at - before;
    if (s->token == '{' || s->token == '[') {
        s->level++;
        s->parsed_size += s->token == '{' ? OBJECT_BYTES : ARRAY_BYTES;
    } else if (s->token == '}' || s->token == ']') {
        s->level--;
    } else if (s->token == ',') {
        s->parsed_size += VALUE_BYTES;
    }
    return s->token != 0;
}

static bool is_opening(const struct scan *s)
{
    return s->token == '{' || s->token == '[';
}

static bool is_closing(const struct scan *s)
{
    return s->token == '}' || s->token == ']';
}

size_t rk_json_parsed_size(const char *text, size_t len)
{
    struct scan s = {.text = text, .len = len};
    while (next_token(&s))
        ;
    return s.parsed_size;
}

/* Puts 0 in the place of a value. */
static void blank(char *text, size_t begin, size_t end)
{
    memset(text + begin, ' ', end - begin);
    text[begin] = '0';
}

static void blank_too_deep(char *text, size_t len)
{
    struct scan s = {.text = text, .len = len};
    size_t begin = 0;
    while (next_token(&s)) {
        if (is_opening(&s) && s.level == RK_JSON_NESTING_MAX + 1)
            begin = s.at - 1;
        else if (is_closing(&s) && s.level == RK_JSON_NESTING_MAX)
            blank(text, begin, s.at);
    }
}

/* An object or array of a text. */
struct part {
    size_t begin, end;
    size_t parsed_size;
};

struct parts {
    struct part *all;
    size_t len, cap;
};

static void add_part(struct parts *p, struct part part)
{
    if (part.parsed_size < PART_MIN_BYTES)
        return;
    if (p->len == p->cap) {
        p->cap = p->cap ? p->cap * 2 : PARTS_MIN_CAP;
        p->all = rk_realloc(p->all, p->cap * sizeof(*p->all));
    }
    p->all[p->len++] = part;
}

/* Finds the parts at a level; see rk_json_trim(). */
static void find_parts(const char *text, size_t len, int level, struct parts *parts)
{
    struct scan s = {.text = text, .len = len};
    struct part part = {0};
    size_t size_before = 0;
    int part_level = level;
    while (next_token(&s)) {
        if (is_opening(&s) && s.level == level)
            part_level = s.string_len == strlen(METADATA) &&
                                 !memcmp(text + s.string, METADATA, s.string_len)
                             ? level + 1
                             : level;
        if (is_opening(&s) && s.level == part_level) {
            part.begin = s.at - 1;
            size_before = s.parsed_size;
        } else if (is_closing(&s) && s.level == part_level - 1) {
            part.end = s.at;
            part.parsed_size = s.parsed_size - size_before;
            add_part(parts, part);
        }
    }
}

static int by_size_descending(const void *a, const void *b)
{
    const struct part *x = a, *y = b;
    return (x->parsed_size < y->parsed_size) - (x->parsed_size > y->parsed_size);
}

size_t rk_json_trim(char *text, size_t len, int level, size_t max)
{
    blank_too_deep(text, len);
    size_t size = rk_json_parsed_size(text, len);
    if (size <= max)
        return size;
    struct parts parts = {0};
    find_parts(text, len, level, &parts);
    if (parts.len)
        qsort(parts.all, parts.len, sizeof(*parts.all), by_size_descending);
    for (size_t i = 0; i < parts.len && size > max; i++) {
        blank(text, parts.all[i].begin, parts.all[i].end);
        size -= parts.all[i].parsed_size;
    }
    free(parts.all);
    return size;
}

struct json_object *rk_json_parse_trimmed(const char *text, size_t len)
{
    struct json_tokener *t = json_tokener_new_ex(RK_JSON_NESTING_MAX + 2);
    struct json_object *o = json_tokener_parse_ex(t, text, (int)len);
    if (!o)
        rk_fail(RK_EINVAL, "expected JSON: %s",
                json_tokener_error_desc(json_tokener_get_error(t)));
    json_tokener_free(t);
    return o;
}

struct json_object *rk_json_parse_list(const char *text, size_t len, int level)
{
    struct json_object *o = NULL;
    char *copy = memcpy(rk_alloc(1, len + 1), text, len);
    if (rk_json_trim(copy, len, level, RK_JSON_PARSED_MAX_BYTES) <=
        RK_JSON_PARSED_MAX_BYTES)
        o = rk_json_parse_trimmed(copy, len);
    else
        rk_fail(RK_EINVAL, "expected a text of at most %d MB once it is parsed",
                RK_JSON_PARSED_MAX_BYTES / (1024 * 1024));
    free(copy);
    return o;
}

struct json_object *rk_json_parse(const char *text, size_t len)
{
    return rk_json_parse_list(text, len, NO_LEVEL);
}
