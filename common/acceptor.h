/* Accepts connections of a listening socket on an event loop. While the process has
 * no descriptor left, it pauses, as the waiting connections would raise the loop's
 * event again and again. All functions run on the loop's thread. */
#ifndef RK_COMMON_ACCEPTOR_H
#define RK_COMMON_ACCEPTOR_H

#include <stdbool.h>
#include <stdint.h>

#include "common/loop.h"
#include "common/util.h"

/* Embedded in its owner's struct; the members belong to acceptor.c. */
struct rk_acceptor {
    struct rk_loop *loop;
    int fd;
    char addr[RK_ADDR_MAX];
    /* Takes ownership of an accepted, non-blocking socket. */
    void (*on_accept)(void *ctx, int fd);
    /* Closes a connection that can be spared. Returns false if there is none. */
    bool (*make_room)(void *ctx);
    void *ctx;
    bool on;
    struct rk_timer pause;
    uint64_t failures;   /* since the last event was logged */
    int64_t reported_ms; /* when that was; 0: never */
};

/* Takes ownership of the listening socket fd and begins to accept. addr names the
 * listener in the log; make_room may be NULL. */
void rk_acceptor_start(struct rk_acceptor *a, struct rk_loop *loop, int fd,
                       const char *addr, void (*on_accept)(void *ctx, int fd),
                       bool (*make_room)(void *ctx), void *ctx);
/* Stops (false) or resumes accepting; connections wait in the kernel meanwhile. */
void rk_acceptor_set_on(struct rk_acceptor *a, bool on);
/* Closes the socket. */
void rk_acceptor_close(struct rk_acceptor *a);

#endif
