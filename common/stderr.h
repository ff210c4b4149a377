/* Writes to standard error, without waiting for a pipe or terminal that nobody
 * reads: what it doesn't take at once is dropped. Safe in signal handlers, except
 * rk_stderr_printf(). */
#ifndef RK_COMMON_STDERR_H
#define RK_COMMON_STDERR_H

/* To be called once the descriptors 0 to 2 are open. Optional: without it, a write
 * to a terminal may wait. */
void rk_stderr_init(void);
void rk_stderr_write(const char *text);
/* Truncates the text to 1,023 bytes. */
void rk_stderr_printf(const char *fmt, ...) __attribute__((format(printf, 1, 2)));
/* Writes a stack as backtrace() returns it, one frame a line. */
void rk_stderr_write_stack(void *const *frames, int len);

#endif
