/* The end of a process. */
#ifndef RK_COMMON_PROCESS_H
#define RK_COMMON_PROCESS_H

/* Ends the process without the functions that libraries run at the exit: other
 * threads may still use those libraries, and on a busy disk it takes seconds to
 * load code that has not run before. */
_Noreturn void rk_process_end(int status);

#endif
