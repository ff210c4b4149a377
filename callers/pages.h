/* The node's own pages (/health, /metrics, /status) and problem+json bodies. */
#ifndef RK_CALLERS_PAGES_H
#define RK_CALLERS_PAGES_H

#include <stdbool.h>

struct rk_buf;
struct rk_outcome;
struct rk_traffic;

/* False: no such page. *type is a literal. Traffic thread. */
bool rk_page_render(struct rk_buf *out, struct rk_traffic *t, const char *path,
                    int *status, const char **type);

/* The body of a failure (RFC 9457), one line. */
void rk_page_problem(struct rk_buf *out, const struct rk_outcome *o,
                     const char *request_id);

#endif
