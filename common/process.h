/* How a process is told to stop, and its end. */
#ifndef RK_COMMON_PROCESS_H
#define RK_COMMON_PROCESS_H

#include <stdbool.h>

/* Waits for SIGTERM or SIGINT, which all threads have blocked. */
void rk_process_wait_stop_signal(void);
/* Waits for them at most timeout_ms, below 1,000. Returns whether one came. */
bool rk_process_wait_stop_signal_for(int timeout_ms);
/* Ends the process without the functions that libraries run at the exit: other
 * threads may still use those libraries, and on a busy disk it takes seconds to
 * load code that has not run before. */
_Noreturn void rk_process_end(int status);

#endif
