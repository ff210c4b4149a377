#include "core/verdict.h"

#include <string.h>

#define HTTP_TOO_MANY     429
#define HTTP_UNAVAILABLE  503
#define HTTP_SERVER_ERROR 500

static const char *const names[] = {
    [RK_NOT_RUN] = "not-run",
    [RK_MAY_HAVE_RUN] = "may-have-run",
    [RK_RAN] = "ran",
};

int64_t rk_attempt_cooldown_ms(long http_status, int64_t requested_ms)
{
    bool refused = http_status == HTTP_UNAVAILABLE || http_status == HTTP_TOO_MANY;
    return refused && requested_ms > 0 ? requested_ms : 0;
}

const char *rk_verdict_str(enum rk_verdict v)
{
    return names[v];
}

enum rk_verdict rk_verdict_parse(const char *s)
{
    if (s && !strcmp(s, names[RK_NOT_RUN]))
        return RK_NOT_RUN;
    if (s && !strcmp(s, names[RK_RAN]))
        return RK_RAN;
    return RK_MAY_HAVE_RUN;
}

enum rk_verdict rk_verdict_of(const struct rk_attempt_end *end,
                              const struct rk_refusal_contract *contract)
{
    if (!end->may_have_reached)
        return RK_NOT_RUN;
    bool refusal =
        end->http_status == HTTP_TOO_MANY || end->http_status == HTTP_UNAVAILABLE;
    if (refusal && contract->refusal_not_run)
        return RK_NOT_RUN;
    /* A refusal that the settings guarantee nothing about proves nothing, nor does
     * a server error, although both are answers. */
    if (end->answered && !refusal && end->http_status < HTTP_SERVER_ERROR)
        return RK_RAN;
    return RK_MAY_HAVE_RUN;
}

enum rk_verdict rk_verdict_worst(enum rk_verdict a, enum rk_verdict b)
{
    return a > b ? a : b;
}

bool rk_verdict_allows_retry(enum rk_verdict v, bool repeatable)
{
    return v == RK_NOT_RUN || (repeatable && v == RK_MAY_HAVE_RUN);
}
