#include "common/stderr.h"

#include <execinfo.h>
#include <poll.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/process.h"

#define TEXT_MAX_BYTES 1024

static int err_fd = STDERR_FILENO;

void rk_stderr_init(void)
{
    err_fd = rk_process_open_nonblocking(STDERR_FILENO);
}

static bool is_writable(void)
{
    struct pollfd out = {.fd = err_fd, .events = POLLOUT};
    return poll(&out, 1, 0) == 1 && (out.revents & POLLOUT);
}

void rk_stderr_write(const char *text)
{
    if (is_writable() && write(err_fd, text, strlen(text)) < 0)
        return; /* there is no other place to report to */
}

void rk_stderr_printf(const char *fmt, ...)
{
    char text[TEXT_MAX_BYTES];
    va_list args;
    va_start(args, fmt);
    vsnprintf(text, sizeof(text), fmt, args);
    va_end(args);
    rk_stderr_write(text);
}

void rk_stderr_write_stack(void *const *frames, int len)
{
    for (int i = 0; i < len && is_writable(); i++)
        backtrace_symbols_fd(&frames[i], 1, err_fd);
}
