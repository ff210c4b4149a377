/* Event loop of one thread: file descriptors watched by epoll, timers, and a
 * bounded queue of functions that other threads post to run on the loop's thread.
 * Functions without a note on threads may be called on the loop's thread only. */
#ifndef RK_COMMON_LOOP_H
#define RK_COMMON_LOOP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_arena;
struct rk_loop;

/* Callback for a file descriptor. events: the epoll bits that are ready (EPOLLIN,
 * EPOLLOUT, EPOLLERR, EPOLLHUP, EPOLLRDHUP). */
typedef void rk_fd_fn(void *ctx, int fd, uint32_t events);
/* Callback of a timer, a hook or a posted function. */
typedef void rk_callback_fn(void *ctx);

/* A one-shot timer, embedded in its owner's struct. Zero-initialise it and set fn
 * and ctx before the first start. The owner must stop it before it frees its
 * memory. */
struct rk_timer {
    rk_callback_fn *fn;
    void *ctx;
    int64_t due_ms; /* by rk_mono_ms() */
    size_t slot;    /* index in the loop's heap plus one; 0 while stopped */
};

/* Never returns NULL. Ends the process, with a line on standard error, if the
 * system gives it no descriptor. */
struct rk_loop *rk_loop_create(void);
/* Functions still in the queue are not called any more. loop may be NULL. */
void rk_loop_destroy(struct rk_loop *loop);

/* Returns the loop's arena for memory that is used only while one event is handled:
 * whoever uses it resets it before the event's handler returns. */
struct rk_arena *rk_loop_scratch(struct rk_loop *loop);

/* Handles events until rk_loop_stop() is called. */
void rk_loop_run(struct rk_loop *loop);

/* Waits for events until the next timer is due, but at most max_ms, which must not
 * be negative. Handles one batch of events and the timers that are due. */
void rk_loop_step(struct rk_loop *loop, int max_ms);

/* Makes rk_loop_run() return after its current batch, and rk_loop_post() refuse
 * further functions. Any thread; also safe in a signal handler. */
void rk_loop_stop(struct rk_loop *loop);

/* Sets functions to call before and after each batch of events and due timers, for
 * instance to enter and leave a read section of a shared snapshot. Either may be
 * NULL. */
void rk_loop_set_hooks(struct rk_loop *loop, rk_callback_fn *before_batch,
                       rk_callback_fn *after_batch, void *ctx);

/* Calls fn(ctx, ...) whenever one of the events is ready on fd, in place of an
 * earlier watch of fd. events 0 ends the watch. */
void rk_loop_watch(struct rk_loop *loop, int fd, uint32_t events, rk_fd_fn *fn,
                   void *ctx);

/* Notes that the current callback has read bytes or accepted a connection. A loop
 * that wakes thousands of times for one event, and for nothing, is reported as
 * loop.spins. */
void rk_loop_note_progress(struct rk_loop *loop);

/* Starts the timer, or restarts it if it is running. It fires once, after delay_ms;
 * a delay below 0 counts as 0. */
void rk_timer_start(struct rk_loop *loop, struct rk_timer *t, int64_t delay_ms);
/* Does nothing if the timer isn't running. */
void rk_timer_stop(struct rk_loop *loop, struct rk_timer *t);

/* Queues fn(ctx) to run on the loop's thread. Any thread. Returns false if the
 * queue is full or the loop was stopped: fn is not called, and ctx remains the
 * caller's. */
bool rk_loop_post(struct rk_loop *loop, rk_callback_fn *fn, void *ctx);

#endif
