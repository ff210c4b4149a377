#include "common/json_text.h"

#include <stdlib.h>
#include <string.h>

#include "common/status.h"
#include "common/util.h"

/* Bytes that json-c takes for an object and an array, with their first members, and
 * for any other value with its slot. */
#define OBJECT_BYTES 800
#define ARRAY_BYTES  400
#define VALUE_BYTES  64

size_t rk_json_parsed_size(const char *text, size_t len)
{
    size_t size = len;
    for (size_t i = 0; i < len; i++) {
        if (text[i] == '{')
            size += OBJECT_BYTES;
        else if (text[i] == '[')
            size += ARRAY_BYTES;
        else if (text[i] == ',')
            size += VALUE_BYTES;
    }
    return size;
}

/* Returns the end of a string that begins at text[at], behind its closing quote. */
static size_t skip_string(const char *text, size_t len, size_t at)
{
    for (at++; at < len && text[at] != '"'; at++)
        at += text[at] == '\\';
    return at + 1;
}

/* Returns a copy of the text in which 0 stands for each object and array that is
 * nested too deep; NULL if there is none. */
static char *cut_too_deep(const char *text, size_t len)
{
    char *copy = NULL;
    size_t begin = 0;
    int level = 0;
    for (size_t i = 0; i < len; i++) {
        if (text[i] == '"') {
            i = skip_string(text, len, i) - 1;
        } else if (text[i] == '{' || text[i] == '[') {
            if (++level == RK_JSON_NESTING_MAX + 1)
                begin = i;
        } else if (text[i] == '}' || text[i] == ']') {
            if (level-- != RK_JSON_NESTING_MAX + 1)
                continue;
            if (!copy)
                copy = memcpy(rk_alloc(1, len + 1), text, len);
            memset(copy + begin, ' ', i + 1 - begin);
            copy[begin] = '0';
        }
    }
    return copy;
}

static struct json_object *parse(const char *text, size_t len)
{
    if (rk_json_parsed_size(text, len) > RK_JSON_PARSED_MAX_BYTES) {
        rk_fail(RK_EINVAL, "expected a text of at most %d MB once it is parsed",
                RK_JSON_PARSED_MAX_BYTES / (1024 * 1024));
        return NULL;
    }
    struct json_tokener *t = json_tokener_new_ex(RK_JSON_NESTING_MAX + 2);
    struct json_object *o = json_tokener_parse_ex(t, text, (int)len);
    if (!o)
        rk_fail(RK_EINVAL, "expected JSON: %s",
                json_tokener_error_desc(json_tokener_get_error(t)));
    json_tokener_free(t);
    return o;
}

struct json_object *rk_json_parse(const char *text, size_t len)
{
    char *cut = cut_too_deep(text, len);
    struct json_object *o = parse(cut ? cut : text, len);
    free(cut);
    return o;
}
