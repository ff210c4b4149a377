/* Small helpers: clocks, hashing, a seeded random number generator, bounded string
 * copies and growable buffers. The module has no global state; its functions may be
 * called on any thread. */
#ifndef RK_COMMON_UTIL_H
#define RK_COMMON_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RK_ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

/* Buffer sizes in bytes, terminating NUL included: RK_ID_MAX for an identifier (of
 * a VM, an organisation, a service or a request), RK_ADDR_MAX for an "ip:port". */
#define RK_ID_MAX   48
#define RK_ADDR_MAX 32

#define RK_MS_PER_S  1000
#define RK_NS_PER_MS 1000000LL

/* Converts seconds, which must not be negative, to milliseconds, rounded. */
static inline int64_t rk_s_to_ms(double s)
{
    return (int64_t)(s * RK_MS_PER_S + 0.5);
}

/* Returns the monotonic clock in milliseconds (rk_mono_us(): in microseconds). It
 * goes on while the machine is suspended, so that leases and deadlines expire
 * during that time, as they do while the process is stopped. Loop timers that fall
 * due meanwhile run in the loop's next iteration. The clock begins 100 days before
 * the machine's boot, so that 0 can stand for "never", and a time minus a window is
 * positive. */
int64_t rk_mono_ms(void);
/* Returns the wall clock: milliseconds since the Unix epoch. */
int64_t rk_wall_ms(void);
int64_t rk_mono_us(void);

/* Returns the FNV-1a hash of len bytes, with a final bit mix. h is the seed: 0, or
 * the result of an earlier call, to hash several pieces in a row. */
uint64_t rk_hash(uint64_t h, const void *data, size_t len);
/* Returns rk_hash() of the bytes of s without its NUL. */
uint64_t rk_hash_str(uint64_t h, const char *s);

/* SplitMix64 random number generator. The caller holds the state and sets it to a
 * seed, so that a run can be repeated. Not for secrets. */
struct rk_rng {
    uint64_t state;
};
uint64_t rk_rng_next(struct rk_rng *rng);
/* Returns a number from 0 to bound - 1; bound must not be 0. */
uint32_t rk_rng_below(struct rk_rng *rng, uint32_t bound);

/* Inserts a rank into a list of the max highest ones, highest first, after equal
 * ones. Returns its index, or max if it is not among them. */
size_t rk_ranks_insert(uint64_t *ranks, size_t *len, size_t max, uint64_t rank);

/* Copies src into the size bytes at dst, truncated to size - 1 bytes and always
 * NUL-terminated. Returns false if src was truncated. */
bool rk_strcpy(char *dst, size_t size, const char *src);

/* Returns whether a text has no control characters, so that a header can carry it.
 */
bool rk_is_header_text(const char *s);

/* Allocate like calloc(), realloc() and strdup(), but abort the process when memory
 * runs out. The caller frees the result with free(). */
void *rk_alloc(size_t n, size_t size);
void *rk_realloc(void *p, size_t size);
char *rk_strdup(const char *s);

/* Growable byte buffer with an optional limit. Zero-initialise it and release it
 * with rk_buf_free(). data is NULL until something is added, NUL-terminated from
 * then on, and moves when the buffer grows. */
struct rk_buf {
    char *data;
    size_t len; /* bytes in use, without the NUL */
    size_t cap; /* bytes allocated */
    size_t max; /* limit of len; 0: none */
};
/* The functions that append to a buffer return false, and append nothing, if len
 * would exceed max. */
bool rk_buf_add(struct rk_buf *b, const void *data, size_t len);
bool rk_buf_addstr(struct rk_buf *b, const char *s);
bool rk_buf_printf(struct rk_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
/* Removes the first len bytes; len must not exceed the buffer's. */
void rk_buf_consume(struct rk_buf *b, size_t len);
/* Frees the memory. The buffer is empty then, keeps its max and may be reused. */
void rk_buf_free(struct rk_buf *b);

/* Appends s as a quoted JSON string; bytes from 0x80 up are copied unchanged.
 * Returns false if len would exceed max; part of the string may have been appended
 * then. */
bool rk_buf_json_str(struct rk_buf *b, const char *s);

#endif
