/* The memory and the threads of a process, how it is told to stop, and its end. */
#ifndef RK_COMMON_PROCESS_H
#define RK_COMMON_PROCESS_H

#include <pthread.h>
#include <signal.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

/* Makes the allocator give large buffers back to the system when they are freed,
 * and keeps its overhead small. Called before the first thread is started. */
void rk_process_tune_allocator(void);
/* Returns the bytes that are allocated, without what the allocator holds free.
 * Takes the allocator's locks, and time with each free block: for reports only. 0
 * with the sanitizers, which have allocators of their own. */
size_t rk_process_heap_bytes(void);
/* Makes a write that the system refuses fail, with EPIPE or EFBIG, instead of
 * ending the process: its log may be a pipe that is closed or a file that may not
 * grow. */
void rk_process_ignore_write_signals(void);
/* Opens those of the descriptors 0, 1 and 2 that are closed, at /dev/null, so that
 * no connection gets the number that the log is written to. Called before anything
 * else is opened. */
void rk_process_open_standard_files(void);
/* Returns a descriptor for writing to what fd refers to without waiting: a terminal
 * or pipe opened again, as the flags of fd are shared with other processes. Returns
 * fd itself if that is something else or can't be opened. */
int rk_process_open_nonblocking(int fd);
/* Makes room for the main thread's stack, up to the hard limit. Returns RK_ESYSTEM
 * and sets rk_last_error() if that is too low. */
enum rk_status rk_process_prepare_stack(void);
/* Waits for one of the signals of the set, which all threads have blocked, and
 * returns it; 0: none has come. If the system ends the wait too early, pauses, so
 * that callers that wait again and again don't spin. */
int rk_process_wait_signal(const sigset_t *set, int64_t timeout_ms);
/* Waits for SIGTERM or SIGINT, which all threads have blocked. */
void rk_process_wait_stop_signal(void);
/* Waits for them at most timeout_ms. Returns whether one came. */
bool rk_process_wait_stop_signal_for(int timeout_ms);
/* Starts a thread that calls run(arg), with a stack whose size doesn't depend on
 * the limits of the process. name: at most 15 characters. Returns RK_ESYSTEM and
 * sets rk_last_error() if the system creates none. */
enum rk_status rk_process_start_thread(pthread_t *out, const char *name,
                                       void *(*run)(void *arg), void *arg);
/* Ends the process without the functions that libraries run at the exit: other
 * threads may still use those libraries, and on a busy disk it takes seconds to
 * load code that has not run before. */
_Noreturn void rk_process_end(int status);

#endif
