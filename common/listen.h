/* Opens the listening sockets of a process. At a start, an address may still be
 * held by the process before, while that stops, or as the local port of a client's
 * connection. IPv4 only. */
#ifndef RK_COMMON_LISTEN_H
#define RK_COMMON_LISTEN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

struct rk_listen_socket {
    const char *name; /* of the listener, in the log */
    const char *addr; /* "ip:port"; the kernel chooses the port if it is 0 */
    int fd;           /* set by rk_listen_wait() */
    bool waiting;     /* of listen.c */
};

/* Listens at addr. Returns the socket; or -1 with *st set to RK_EINVAL if addr is
 * malformed, RK_ECONFLICT if it is taken, this machine doesn't have it or the
 * kernel is short of files or memory, and to RK_ESYSTEM if the system fails
 * otherwise; rk_last_error() names the address. */
int rk_listen_open(const char *addr, enum rk_status *st);

/* Listens at the address of a socket that this process has opened; the kernel
 * divides the connections among them. Returns -1 and sets rk_last_error() if the
 * system fails. No other process can join. */
int rk_listen_open_shared(int first_fd);

/* Writes the address that a socket is bound to. */
void rk_listen_addr(int fd, char addr[RK_ADDR_MAX]);

/* Returns the moment, by the monotonic clock, until which a process that starts now
 * waits for its addresses. stop_ms: longest planned stop of the process before. */
int64_t rk_listen_deadline_ms(int64_t stop_ms);

/* Listens at all of the addresses, and waits for those where rk_listen_open() fails
 * with RK_ECONFLICT. None accepts connections before all are bound. Logs each that
 * is waited for, and when it is free. Main thread, before others run. Closes all
 * and fails with rk_last_error() naming the address: RK_EINVAL and RK_ESYSTEM at
 * once, see rk_listen_open(), RK_ECONFLICT at the deadline, and RK_EGONE when the
 * process is told to stop. */
enum rk_status rk_listen_wait(struct rk_listen_socket *sockets, size_t len,
                              int64_t deadline_ms);

#endif
