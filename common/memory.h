/* Account of the bytes that the process buffers for callers, VMs and peers. Owners
 * of buffers charge what they allocate, and ask before they take more. The
 * functions may be called from any thread, if nothing else is said. */
#ifndef RK_COMMON_MEMORY_H
#define RK_COMMON_MEMORY_H

#include <stdbool.h>
#include <stddef.h>

/* Sets how many bytes may be buffered; 0, the initial value: no limit. */
void rk_memory_set_budget(size_t bytes);

/* Sets an owner's charge to the number of bytes that it holds now. *charged belongs
 * to the owner and starts at 0. */
void rk_memory_charge(size_t *charged, size_t bytes);

/* Sets how many bytes an owner will hold beyond its charge, as its peer has
 * announced them. *expected belongs to the owner and starts at 0. */
void rk_memory_expect(size_t *expected, size_t bytes);

/* Returns how many bytes may be buffered; 0: no limit. */
size_t rk_memory_budget(void);

/* Returns how many bytes are charged. */
size_t rk_memory_used(void);

/* Returns whether this many further bytes fit into the budget. */
bool rk_memory_has_room(size_t bytes);

/* Returns whether this many further bytes fit into the budget beside those that
 * other owners expect. */
bool rk_memory_has_unclaimed(size_t bytes);

/* Returns whether more than half of the budget is used: connections buffer less. */
bool rk_memory_is_scarce(void);

/* Returns how many bytes the kernel may hold unread for a connection that carries
 * much, as SO_RCVBUF has it; 0: no limit. */
size_t rk_memory_receive_bytes(void);

/* Counts a request that was refused for want of room. */
void rk_memory_count_refusal(void);

/* Logs when requests begin to be refused, and when there is room again. Called now
 * and then, by one thread. */
void rk_memory_log_changes(void);

#endif
