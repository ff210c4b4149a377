#include "core/token_usage.h"

#include <math.h>
#include <stdlib.h>

/* Parses a count and sets *end behind it. */
static bool parse_count(const char *text, char **end, double *out)
{
    double count = strtod(text, end);
    if (*end == text || !(count >= 0))
        return false;
    *out = fmin(count, RK_CALL_TOKENS_MAX);
    return true;
}

bool rk_token_usage_parse(const char *text, struct rk_token_usage *out)
{
    struct rk_token_usage usage = {0};
    char *end;
    *out = usage;
    if (!parse_count(text, &end, &usage.prompt))
        return false;
    if (*end == ',' && !parse_count(end + 1, &end, &usage.output))
        return false;
    *out = usage;
    return true;
}
