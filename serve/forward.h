/* Forwards calls between traffic threads of different nodes. Outbound: one link per
 * peer. Inbound: a listener whose calls are started as exchanges of this thread.
 * Traffic thread only. */
#ifndef RK_SERVE_FORWARD_H
#define RK_SERVE_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "core/call.h"

struct rk_traffic;
struct rk_forwards;
struct rk_exchange;
struct rk_member;

/* Takes calls at listen_fd, a listening socket that it owns from then on. */
struct rk_forwards *rk_forwards_create(struct rk_traffic *t, int listen_fd);
/* Closes all links. Outbound calls are ended as lost, inbound calls are
 * cancelled. */
void rk_forwards_destroy(struct rk_forwards *f);
/* Returns the bound address, with the port chosen by the kernel. Owned by f. */
const char *rk_forwards_addr(const struct rk_forwards *f);

/* Forwards a call to a peer. Parts and end are delivered to the exchange with this
 * id. The request is copied. Returns false if nothing was sent. */
bool rk_forwards_send(struct rk_forwards *f, const struct rk_member *peer,
                      uint64_t id, const struct rk_request *request,
                      int64_t deadline_left_ms);

/* Cancels a forwarded call and notifies the peer. No callback follows. */
void rk_forwards_cancel(struct rk_forwards *f, const char *peer, uint64_t id);

#endif
