/* Arena allocator: many small allocations that are all freed at once by a reset,
 * such as those for decoding one message. An arena is not thread-safe. */
#ifndef RK_COMMON_ARENA_H
#define RK_COMMON_ARENA_H

#include <stddef.h>

struct rk_arena;

struct rk_arena *rk_arena_create(void);
void rk_arena_destroy(struct rk_arena *a);

/* Returns len bytes, not zeroed, aligned for any type and valid until the next
 * reset. Never returns NULL: the process aborts when memory runs out. */
void *rk_arena_alloc(struct rk_arena *a, size_t len);
/* Frees all allocations. Keeps as much memory for later ones as the arena had, or
 * 16 KiB if that was 256 KiB or more. */
void rk_arena_reset(struct rk_arena *a);

#endif
