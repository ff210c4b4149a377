/* Waits at the start of a node for its listening addresses. The process before it
 * may still hold them while it stops, and a client of another process may have been
 * given one of the ports. Used by the main thread before others run. */
#ifndef RK_NODE_LISTEN_WAIT_H
#define RK_NODE_LISTEN_WAIT_H

#include <stdint.h>

#include "common/status.h"

struct rk_procfile;

/* Returns the moment, by the monotonic clock, until which a node that starts now
 * waits for its addresses: longer than the process before it may take to stop. */
int64_t rk_listen_deadline_ms(const struct rk_procfile *file);

/* Waits until the addresses for callers, peers and readiness checks are all free.
 * Logs each that isn't, and when it is. Fails with rk_last_error() naming the
 * address: RK_EINVAL at once if it is malformed, RK_ESYSTEM at once if the system
 * fails, RK_ECONFLICT at the deadline, and RK_EGONE when the process is told to
 * stop. */
enum rk_status rk_listen_wait(const struct rk_procfile *file, int64_t deadline_ms);

#endif
