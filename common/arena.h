/* Memory for one thing at a time that takes many small pieces, such as a message
 * that is decoded: all are given back at once. One thread's. */
#ifndef RK_COMMON_ARENA_H
#define RK_COMMON_ARENA_H

#include <stddef.h>

struct rk_arena;

struct rk_arena *rk_arena_create(void);
void rk_arena_destroy(struct rk_arena *a);

/* Valid until the reset; zeroed only where it was never used. Never NULL. */
void *rk_arena_take(struct rk_arena *a, size_t len);
/* Give all back. As much room as was used is kept for the next, within bounds. */
void rk_arena_reset(struct rk_arena *a);

#endif
