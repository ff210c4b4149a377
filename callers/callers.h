/* HTTP front end of an entry node: parses callers' requests, starts an exchange for
 * each and writes its response. It uses libmicrohttpd, driven by the event loop of
 * a traffic thread, so that a slow caller or a malformed request never blocks a
 * thread.
 *
 *   POST /v1/completions, /v1/chat/completions    model calls; SSE on request
 *   ANY  /services/SERVICE/CALL[/...][?...]       plain service calls
 *   GET  /health  /metrics  /status               for load balancers and operators
 *
 * Request headers: Rillknot-Organisation (required), Rillknot-Class,
 * Rillknot-Deadline-Ms, Idempotency-Key, Last-Event-ID (resumes a stream).
 * Response headers: Rillknot-Request-Id, Rillknot-Verdict, Rillknot-Arrival (with
 * the value not-sent if this request was not sent to any upstream), Retry-After,
 * Rillknot-Retry-After-Ms, Idempotent-Replay.
 * Failures have a body of type application/problem+json. In a stream that has
 * begun, the same JSON is the data of a last event named error or resume. */
#ifndef RK_CALLERS_CALLERS_H
#define RK_CALLERS_CALLERS_H

#include <stddef.h>
#include <stdint.h>

struct rk_frontend;
struct rk_traffic;

struct rk_frontend_options {
    int listen_fd;         /* listening socket; owned by the front end */
    const char *id_prefix; /* start of request ids; unique to this run and thread;
                              must stay valid until destroy */
    size_t max_body;       /* largest request body, bytes */
    unsigned max_connections;
    unsigned idle_timeout_s; /* inactivity after which a connection is closed, s */
    int64_t max_upload_ms;   /* time limit for receiving a request body */
    size_t max_response_buffer; /* most response bytes buffered for a caller */
};

/* Serves requests on the loop of `t`, which must outlive the result. Copies *opt,
 * but not the strings that it points to. Returns NULL and sets rk_last_error() if
 * the server can't be started.
 *
 * This and the other functions are called on the traffic thread of `t`, or before
 * it runs. */
struct rk_frontend *rk_frontend_create(struct rk_traffic *t,
                                       const struct rk_frontend_options *opt);

/* Closes the listener and all connections, cancels their exchanges and frees c.
 * Does nothing if c is NULL. */
void rk_frontend_destroy(struct rk_frontend *c);

/* Returns the number of open requests: their heads were received, their responses
 * are not completely written. */
size_t rk_frontend_active_requests(const struct rk_frontend *c);

#endif
