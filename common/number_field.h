/* Numbers of JSON objects with their bounds. Each number is bounded once,
 * where it is parsed, so that no other code has to allow for sums that overflow. */
#ifndef RK_COMMON_NUMBER_FIELD_H
#define RK_COMMON_NUMBER_FIELD_H

#include <json-c/json.h>
#include <stdint.h>

/* A number of an object. Bounds are at most 2^53, up to which doubles represent all
 * integers. */
struct rk_number_field {
    const char *name;
    double min, max;
    double fallback; /* of a missing member and of one that is not a number */
};

/* Reads a value as a number from f->min to f->max; the nearest bound replaces a
 * value beyond them, which is logged. A value of another type is read as json-c
 * converts it. value: NULL if the member is missing. kind: of the object, for the
 * log. */
double rk_field_value(struct json_object *value, const char *kind,
                      const struct rk_number_field *f);
/* Reads the member of an object like rk_field_value(). */
double rk_field_real(struct json_object *o, const char *kind,
                     const struct rk_number_field *f);
/* Reads the member without its fraction. */
int64_t rk_field_int(struct json_object *o, const char *kind,
                     const struct rk_number_field *f);

#endif
