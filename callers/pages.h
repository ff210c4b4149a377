/* Pages that a node answers itself (/health, /metrics and /status), and the
 * application/problem+json bodies of failed calls. */
#ifndef RK_CALLERS_PAGES_H
#define RK_CALLERS_PAGES_H

#include <stdbool.h>

struct rk_buf;
struct rk_outcome;
struct rk_traffic;

/* Appends the page at `path` to out and sets its HTTP status and content type (a
 * string literal). Returns false if there is no such page; out is unchanged then.
 * Traffic thread only. */
bool rk_page_render(struct rk_buf *out, struct rk_traffic *t, const char *path,
                    int *status, const char **type);

/* Appends the problem details (RFC 9457) of a failed call to out, as JSON on one
 * line, so that they also fit into one SSE data field. */
void rk_problem_render(struct rk_buf *out, const struct rk_outcome *o,
                       const char *request_id);

#endif
