/* Writes the stacks of all threads to standard error, to find out where a process
 * hangs. Takes no lock and allocates nothing, as the threads that hang may hold any
 * lock. Lines have the form "PROGRAM(+OFFSET)[ADDRESS]", for addr2line. */
#ifndef RK_COMMON_STACK_DUMP_H
#define RK_COMMON_STACK_DUMP_H

/* Installs the handler of the signal that asks a thread for its stack, SIGUSR2.
 * To be called before other threads start. */
void rk_stack_dump_init(void);

/* Writes a line, and the name and the stack of each other thread. Of a thread that
 * doesn't run its handler in time, only the name is written. Nothing is written
 * while standard error would block. */
void rk_stack_dump_others(const char *heading);

#endif
