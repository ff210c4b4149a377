/* Life cycle of one call on a traffic thread: it is claimed if required, queued,
 * attempted, retried, resumed or forwarded to a peer, and its sink gets exactly one
 * outcome.
 *
 * Traffic thread only. */
#ifndef RK_SERVE_EXCHANGE_H
#define RK_SERVE_EXCHANGE_H

#include <stdbool.h>

#include "core/call.h"

struct rk_traffic;
struct rk_exchange;
struct rk_claim_reply;

/* Starts a call. Takes ownership of the request's body. The sink's end() is called
 * exactly once, possibly before this function returns; it then returns NULL. The
 * exchange frees itself when the call ends. */
struct rk_exchange *rk_exchange_start(struct rk_traffic *t,
                                      struct rk_request *request,
                                      const struct rk_answer_sink *sink, void *ctx);

/* Detaches the sink because the caller is gone; no sink callback comes any more. A
 * non-repeatable call that is at a plain service or at a peer keeps running for up
 * to 60 s, so that its outcome is recorded for its key. Any other call ends at
 * once. */
void rk_exchange_cancel(struct rk_exchange *x);

/* Returns true if the caller receives the answer as a stream. */
bool rk_exchange_is_stream(const struct rk_exchange *x);

/* ---- used by traffic.c ---- */
/* Ends the call without notifying its sink, because the traffic thread shuts
 * down. */
void rk_exchange_abort(struct rk_exchange *x);
/* Continues a call that waits for its claim with the decision in r. Ignored when
 * the call no longer waits for one. r stays the caller's. */
void rk_exchange_claim_decided(struct rk_exchange *x,
                               const struct rk_claim_reply *r);
/* Applies a new view to all calls of the thread: moves repeatable engine calls away
 * from VMs that will be reclaimed before they end, and reroutes queued calls whose
 * service has no live VM left that has not failed them. */
void rk_exchange_view_changed(struct rk_traffic *t);
/* Ends all repeatable streams with an outcome that lets the caller resume them at
 * another node. */
void rk_exchange_end_resumable(struct rk_traffic *t);
/* Ends all calls whose callers wait with an outcome that tells whether they may
 * have run. */
void rk_exchange_end_all(struct rk_traffic *t);
/* Sends every queued call that the router can place now. */
void rk_exchange_dispatch(struct rk_traffic *t);
/* Returns the call's id, which is unique within the thread. */
uint64_t rk_exchange_id(const struct rk_exchange *x);
/* Returns the exchange with this id, or NULL if it has ended. */
struct rk_exchange *rk_exchange_find(struct rk_traffic *t, uint64_t id);

/* ---- used by forward.c ---- */
/* Delivers a part of the answer that a peer sent for a forwarded call. */
void rk_exchange_on_peer_part(struct rk_exchange *x,
                              const struct rk_answer_piece *part);
/* Ends a forwarded call, or claims or queues it here. lost: the link to the peer
 * broke or the peer did not acknowledge the call; the verdict of the outcome then
 * says whether the call may have reached the peer. */
void rk_exchange_on_peer_end(struct rk_exchange *x,
                             const struct rk_outcome *outcome, bool lost);

#endif
