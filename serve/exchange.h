/* One call from its arrival to its end: claim, queue, attempts, retries,
 * resumes, forwards, and the one outcome its sink gets. Traffic thread only. */
#ifndef RK_SERVE_EXCHANGE_H
#define RK_SERVE_EXCHANGE_H

#include <stdbool.h>

#include "core/call.h"

struct rk_traffic;
struct rk_exchange;
struct rk_claim_reply;

/* Takes the request's body over. The sink is told the end exactly once, maybe
 * before this returns (then NULL is returned). */
struct rk_exchange *rk_exchange_start(struct rk_traffic *t,
                                      struct rk_request *request,
                                      const struct rk_sink *sink, void *ctx);

/* Whoever asked is gone: the sink is not called any more. A call that may not
 * be repeated and is under way runs on, so that its end is known. */
void rk_exchange_cancel(struct rk_exchange *x);

/* Does its caller get the answer as a stream? */
bool rk_exchange_is_stream(const struct rk_exchange *x);

/* For traffic.c. */
void rk_exchange_abort(struct rk_exchange *x); /* the node ends */
void rk_exchange_claim_decided(struct rk_exchange *x,
                               const struct rk_claim_reply *r);
void rk_exchange_view_changed(struct rk_traffic *t);
void rk_exchange_hand_over(struct rk_traffic *t);
void rk_exchange_dispatch(struct rk_traffic *t);
uint64_t rk_exchange_id(const struct rk_exchange *x);
struct rk_exchange *rk_exchange_find(struct rk_traffic *t, uint64_t id);

/* For forward.c: what came back of a call handed to a peer. lost: the link
 * broke, the outcome's verdict says whether the call may have left. */
void rk_exchange_peer_part(struct rk_exchange *x, const struct rk_part *part);
void rk_exchange_peer_end(struct rk_exchange *x, const struct rk_outcome *outcome,
                          bool lost);

#endif
