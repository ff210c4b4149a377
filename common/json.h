/* Lookups in json-c objects. A missing member or a NULL object is no error: the
 * functions return a default then. */
#ifndef RK_COMMON_JSON_H
#define RK_COMMON_JSON_H

#include <json-c/json.h>
#include <stdint.h>
#include <string.h>

/* Returns the member; NULL if there is none. The object keeps the reference. */
static inline struct json_object *rk_json_get(struct json_object *o,
                                              const char *name)
{
    struct json_object *v = NULL;
    return json_object_object_get_ex(o, name, &v) ? v : NULL;
}

/* Returns the member as text, which the object owns; "" if there is none or it is
 * null. A member of another type is returned as its JSON text. */
static inline const char *rk_json_str(struct json_object *o, const char *name)
{
    struct json_object *v = rk_json_get(o, name);
    return v ? json_object_get_string(v) : "";
}

/* Returns the text of a string, which v owns; NULL if v is none, or has a NUL,
 * where the text would be cut. */
static inline const char *rk_json_text(struct json_object *v)
{
    if (!json_object_is_type(v, json_type_string))
        return NULL;
    const char *text = json_object_get_string(v);
    return strlen(text) == (size_t)json_object_get_string_len(v) ? text : NULL;
}

/* Returns the member as an integer; fallback if there is none. */
static inline int64_t rk_json_int(struct json_object *o, const char *name,
                                  int64_t fallback)
{
    struct json_object *v = rk_json_get(o, name);
    return v ? json_object_get_int64(v) : fallback;
}

/* Returns the length of an array; 0 if list is not an array. */
static inline size_t rk_json_len(struct json_object *list)
{
    return json_object_is_type(list, json_type_array)
               ? json_object_array_length(list)
               : 0;
}

/* Returns the member as a number; 0 if there is none. */
static inline double rk_json_real(struct json_object *o, const char *name)
{
    return json_object_get_double(rk_json_get(o, name));
}

#endif
