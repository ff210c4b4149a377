/* Event loop of one thread: file descriptors by epoll, timers, and a bounded
 * dispatch queue through which other threads run functions on this one. */
#ifndef RK_COMMON_LOOP_H
#define RK_COMMON_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_arena;
struct rk_loop;

/* events: EPOLLIN, EPOLLOUT, EPOLLERR, EPOLLHUP bits that are ready. */
typedef void rk_fd_fn(void *ctx, int fd, uint32_t events);
typedef void rk_call_fn(void *ctx);

/* A timer embedded in its owner's struct. Zero-initialise; set fn and ctx
 * before the first start. The owner stops it before it frees itself. */
struct rk_timer {
    rk_call_fn *fn;
    void *ctx;
    int64_t due_ms;
    size_t slot; /* place in the heap plus one; 0 while stopped */
};

struct rk_loop *rk_loop_create(void);
void rk_loop_destroy(struct rk_loop *loop);

/* Memory that no event keeps beyond its handling. Loop thread only. */
struct rk_arena *rk_loop_scratch(struct rk_loop *loop);

/* Run until rk_loop_stop(). */
void rk_loop_run(struct rk_loop *loop);

/* Wait for at most one batch of events (0 <= max_ms) and handle it. */
void rk_loop_step(struct rk_loop *loop, int max_ms);

/* Callable from any thread, also from a signal handler. */
void rk_loop_stop(struct rk_loop *loop);

/* Called before and after each batch of events: a place for per-thread read
 * sections. Loop thread only. */
void rk_loop_set_hooks(struct rk_loop *loop, rk_call_fn *before, rk_call_fn *after,
                       void *ctx);

/* Watch fd for events (0: forget it). Loop thread only. */
void rk_loop_watch(struct rk_loop *loop, int fd, uint32_t events, rk_fd_fn *fn,
                   void *ctx);

/* Start or restart; fires once. Loop thread only. */
void rk_timer_start(struct rk_loop *loop, struct rk_timer *t, int64_t delay_ms);
void rk_timer_stop(struct rk_loop *loop, struct rk_timer *t);

/* Queue fn(ctx) to run on the loop's thread. Any thread. False when the queue is
 * full or the loop was stopped: the caller keeps ctx and answers for it. */
bool rk_loop_post(struct rk_loop *loop, rk_call_fn *fn, void *ctx);

#endif
