/* Parses the value of a Retry-After header. Only a number of seconds, with or
 * without a fraction, is read; a date (RFC 9110 allows one) is not. */
#ifndef RK_COMMON_RETRY_AFTER_H
#define RK_COMMON_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

/* Longer delays are cut to this. */
#define RK_RETRY_AFTER_MAX_MS (24 * 3600 * 1000)

/* Parses a finite number of at least 0 as strtod() does. Returns false if text is
 * anything else; *out is then not to be used. */
bool rk_parse_decimal(const char *text, double *out);
/* Returns the delay in milliseconds; -1 if text is no valid number of seconds. */
int64_t rk_retry_after_ms(const char *text);

#endif
