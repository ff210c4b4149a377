/* Writes stacks to standard error, to find out where a process hangs or which fault
 * ends it. Takes no lock and allocates nothing, as the threads that hang may hold
 * any lock. Lines have the form "PROGRAM(+OFFSET)[ADDRESS]", for addr2line. */
#ifndef RK_COMMON_STACK_DUMP_H
#define RK_COMMON_STACK_DUMP_H

/* Installs the handlers of the signal that asks a thread for its stack, SIGUSR2,
 * and of the signals by which the process would end without a word (SIGABRT,
 * SIGBUS, SIGFPE, SIGILL and SIGSEGV): the signal, the thread and its stack are
 * written, and the process ends by the signal. With a sanitizer, which has handlers
 * of its own, these stay. To be called before other threads start. */
void rk_stack_dump_init(void);

/* Gives the calling thread a second stack, on which the handlers of fatal signals
 * run: the first one may have overflowed. It is never freed. */
void rk_stack_dump_init_thread(void);

/* Writes a line, and the name and the stack of each other thread. Of a thread that
 * doesn't run its handler in time, only the name is written. Nothing is written
 * while standard error would block. */
void rk_stack_dump_others(const char *heading);

#endif
