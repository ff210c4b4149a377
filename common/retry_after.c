#include "common/retry_after.h"

#include <math.h>
#include <stdlib.h>

#include "common/util.h"

bool rk_parse_decimal(const char *text, double *out)
{
    char *end;
    *out = strtod(text, &end);
    return end != text && !*end && isfinite(*out) && *out >= 0;
}

int64_t rk_retry_after_ms(const char *text)
{
    double s;
    if (!rk_parse_decimal(text, &s))
        return -1;
    return s * RK_MS_PER_S < RK_RETRY_AFTER_MAX_MS ? rk_s_to_ms(s)
                                                   : RK_RETRY_AFTER_MAX_MS;
}
