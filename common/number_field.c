#include "common/number_field.h"

#include <math.h>
#include <stdio.h>

#include "common/eventlog.h"
#include "common/json.h"

#define NUMBER_TEXT_MAX 32 /* bytes of a number in the log */

static void log_bounded(const char *kind, const struct rk_number_field *f,
                        double value, double used)
{
    char value_text[NUMBER_TEXT_MAX], used_text[NUMBER_TEXT_MAX];
    snprintf(value_text, sizeof(value_text), "%.10g", value);
    snprintf(used_text, sizeof(used_text), "%.10g", used);
    RK_WARN("object.number_bounded", RK_S("kind", kind), RK_S("field", f->name),
            RK_S("value", value_text), RK_S("used", used_text));
}

double rk_field_value(struct json_object *value, const char *kind,
                      const struct rk_number_field *f)
{
    if (!value)
        return f->fallback;
    double number = json_object_get_double(value);
    double used = isnan(number) ? f->fallback : fmin(fmax(number, f->min), f->max);
    if (used != number)
        log_bounded(kind, f, number, used);
    return used;
}

double rk_field_real(struct json_object *o, const char *kind,
                     const struct rk_number_field *f)
{
    return rk_field_value(rk_json_get(o, f->name), kind, f);
}

int64_t rk_field_int(struct json_object *o, const char *kind,
                     const struct rk_number_field *f)
{
    return (int64_t)rk_field_real(o, kind, f);
}
