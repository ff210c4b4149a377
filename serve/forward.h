/* Calls handed from node to node over links of the traffic threads: out, one
 * link for each peer; in, a listener whose calls become exchanges here. */
#ifndef RK_SERVE_FORWARD_H
#define RK_SERVE_FORWARD_H

#include <stdbool.h>
#include <stdint.h>

#include "core/call.h"

struct rk_traffic;
struct rk_forwards;
struct rk_exchange;
struct rk_member;

/* NULL when the address can't be bound. */
struct rk_forwards *rk_forwards_create(struct rk_traffic *t, const char *addr);
void rk_forwards_destroy(struct rk_forwards *f);
const char *rk_forwards_addr(const struct rk_forwards *f);

/* Hand a call to a peer; parts and end come to the exchange under `id`. False:
 * nothing was sent. */
bool rk_forwards_send(struct rk_forwards *f, const struct rk_member *peer,
                      uint64_t id, const struct rk_request *request,
                      int64_t deadline_left_ms);

/* The exchange doesn't wait any more; the peer is told. */
void rk_forwards_cancel(struct rk_forwards *f, const char *peer, uint64_t id);

#endif
