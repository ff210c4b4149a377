/* Small helpers: clocks, hashing, a seeded generator, bounded strings and
 * growable buffers. No global state. */
#ifndef RK_COMMON_UTIL_H
#define RK_COMMON_UTIL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define RK_ARRAY_LEN(a) (sizeof(a) / sizeof((a)[0]))

/* Identifiers (vm, organisation, service, request) fit in this many bytes. */
#define RK_ID_MAX   48
#define RK_ADDR_MAX 32

#define RK_MS_PER_S  1000
#define RK_NS_PER_MS 1000000LL

/* Seconds as whole milliseconds. */
static inline int64_t rk_s_to_ms(double s)
{
    return (int64_t)(s * RK_MS_PER_S + 0.5);
}

/* Monotonic and wall clock, in milliseconds. The monotonic one counts the time in
 * which the machine is suspended: for all that expires that is like a process that
 * was stopped. Timers of the loop that are due by then run at its next turn. */
int64_t rk_mono_ms(void);
int64_t rk_wall_ms(void);
int64_t rk_mono_us(void);

/* FNV-1a over len bytes, finished with an avalanche; h chains calls. */
uint64_t rk_hash(uint64_t h, const void *data, size_t len);
uint64_t rk_hash_str(uint64_t h, const char *s);

/* splitmix64 generator: the state is the caller's, so runs repeat. */
struct rk_rng {
    uint64_t state;
};
uint64_t rk_rng_next(struct rk_rng *rng);
uint32_t rk_rng_below(struct rk_rng *rng, uint32_t bound); /* bound > 0 */

/* Copy src, cut to size - 1 bytes and terminated. True if all of it fitted. */
bool rk_strcpy(char *dst, size_t size, const char *src);

/* calloc() that ends the process when memory runs out. */
void *rk_alloc(size_t n, size_t size);
void *rk_realloc(void *p, size_t size);
char *rk_strdup(const char *s);

/* Growable byte buffer with an upper limit. Always NUL-terminated once
 * something was added. Zero-initialise it; free with rk_buf_free(). */
struct rk_buf {
    char *data;
    size_t len;
    size_t cap;
    size_t max; /* 0: no limit */
};
bool rk_buf_add(struct rk_buf *b, const void *data, size_t len);
bool rk_buf_addstr(struct rk_buf *b, const char *s);
bool rk_buf_printf(struct rk_buf *b, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));
void rk_buf_consume(struct rk_buf *b, size_t len);
void rk_buf_free(struct rk_buf *b);

/* Append s as a quoted JSON string. */
bool rk_buf_json_str(struct rk_buf *b, const char *s);

#endif
