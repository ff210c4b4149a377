#include "common/json_text.h"

#include "common/status.h"

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

struct json_object *rk_json_parse(const char *text, size_t len)
{
    if (rk_json_parsed_size(text, len) > RK_JSON_PARSED_MAX_BYTES) {
        rk_fail(RK_EINVAL, "expected a text of at most %d MB once it is parsed",
                RK_JSON_PARSED_MAX_BYTES / (1024 * 1024));
        return NULL;
    }
    struct json_tokener *t = json_tokener_new_ex(RK_JSON_NESTING_MAX);
    struct json_object *o = json_tokener_parse_ex(t, text, (int)len);
    if (!o)
        rk_fail(RK_EINVAL, "expected JSON: %s",
                json_tokener_error_desc(json_tokener_get_error(t)));
    json_tokener_free(t);
    return o;
}
