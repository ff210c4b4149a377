#include "common/status.h"

#include <stdarg.h>
#include <stdio.h>

#define ERROR_MAX_BYTES 512

static _Thread_local char last_error[ERROR_MAX_BYTES];

static const char *const status_names[] = {
    [RK_OK] = "ok",
    [RK_EINVAL] = "invalid",
    [RK_ENOTFOUND] = "not-found",
    [RK_ECONFLICT] = "conflict",
    [RK_EUNAVAILABLE] = "unavailable",
    [RK_EUNKNOWN] = "unknown-outcome",
    [RK_EFULL] = "full",
    [RK_EPROTO] = "protocol-error",
    [RK_EGONE] = "gone",
    [RK_ESYSTEM] = "system-error",
};

const char *rk_status_str(enum rk_status st)
{
    return status_names[st];
}

enum rk_status rk_fail(enum rk_status st, const char *fmt, ...)
{
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(last_error, sizeof(last_error), fmt, ap);
    va_end(ap);
    return st;
}

const char *rk_last_error(void)
{
    return last_error;
}
