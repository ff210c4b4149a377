/* The value of a Retry-After header, as upstreams write it: seconds, fractions too.
 */
#ifndef RK_COMMON_RETRY_AFTER_H
#define RK_COMMON_RETRY_AFTER_H

#include <stdbool.h>
#include <stdint.h>

#define RK_RETRY_AFTER_MAX_MS (24 * 3600 * 1000) /* longer: taken as this */

/* A number of 0 or more with nothing behind it. False: it is none. */
bool rk_parse_decimal(const char *text, double *out);
/* In milliseconds; -1: it can't be read. */
int64_t rk_retry_after_ms(const char *text);

#endif
