/* How a process allocates memory, how it is told to stop, and its end. */
#ifndef RK_COMMON_PROCESS_H
#define RK_COMMON_PROCESS_H

/* Makes the allocator give large buffers back to the system when they are freed,
 * and keeps its overhead small. Called before the first thread is started. */
void rk_process_tune_allocator(void);
/* Waits for SIGTERM or SIGINT, which all threads have blocked. */
void rk_process_wait_stop_signal(void);
/* Ends the process without the functions that libraries run at the exit: other
 * threads may still use those libraries, and on a busy disk it takes seconds to
 * load code that has not run before. */
_Noreturn void rk_process_end(int status);

#endif
