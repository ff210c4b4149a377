/* Callers' side: HTTP through libmicrohttpd, driven by a traffic thread's event
 * loop, so that no caller, however slow or malformed, takes a thread.
 *
 *   POST /v1/completions, /v1/chat/completions    model calls, SSE when asked
 *   ANY  /services/SERVICE/CALL[/...][?...]       plain service calls
 *   GET  /health  /metrics  /status               for the balancer and operators
 *
 * Request headers: Rillknot-Organisation (needed), Rillknot-Class,
 * Rillknot-Deadline-Ms, Idempotency-Key, Last-Event-ID (resumes a stream).
 * Answer headers: Rillknot-Request-Id, Rillknot-Verdict, Rillknot-Arrival:
 * not-sent when this arrival went to no upstream, Retry-After, Idempotent-Replay.
 * Failures are application/problem+json. */
#ifndef RK_CALLERS_CALLERS_H
#define RK_CALLERS_CALLERS_H

#include <stddef.h>
#include <stdint.h>

struct rk_callers;
struct rk_traffic;

struct rk_callers_options {
    const char *listen;    /* "ip:port"; port 0: the kernel picks */
    const char *id_prefix; /* of request ids: unique to this process's run */
    size_t max_body;       /* bytes */
    unsigned max_connections;
    unsigned idle_s;       /* silence after which a caller is cut */
    int64_t max_upload_ms; /* longest time a request may take to come in */
    size_t max_unread;     /* bytes of a stream kept for a slow caller */
};

/* Traffic thread (or before it runs). NULL: see rk_last_error(). */
struct rk_callers *rk_callers_create(struct rk_traffic *t,
                                     const struct rk_callers_options *opt);
void rk_callers_destroy(struct rk_callers *c);

uint16_t rk_callers_port(const struct rk_callers *c);

/* Answers still to be given or being written. */
size_t rk_callers_open(const struct rk_callers *c);

#endif
