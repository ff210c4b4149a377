/* Calls to upstream vms over HTTP/1.1, byte for byte, on connections kept for
 * each vm. It decides nothing; it tells exactly what is known: whether a byte of
 * the request may have left, and whether the answer is whole. Loop thread only. */
#ifndef RK_SERVICES_UPSTREAM_H
#define RK_SERVICES_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_loop;
struct rk_head;
struct rk_upstreams;
struct rk_upstream_call;

enum rk_head_fate {
    RK_HEAD_TAKE,
    RK_HEAD_SKIP, /* of another request: the own answer may follow */
};

struct rk_upstream_failure {
    bool sent;   /* a byte of the request may have reached the vm */
    bool reused; /* on a connection that had served before */
    int error;   /* errno; 0: closed in order too early, or no HTTP */
    const char *what;
};

/* Exactly one of on_end and on_fail ends a call, unless it is cancelled. The call
 * may be cancelled in on_head and on_body. */
struct rk_upstream_ops {
    enum rk_head_fate (*on_head)(void *ctx, const struct rk_head *head);
    void (*on_body)(void *ctx, const char *data, size_t len);
    void (*on_end)(void *ctx);
    void (*on_fail)(void *ctx, const struct rk_upstream_failure *failure);
};

struct rk_upstream_spec {
    const char *vm_id;
    const char *addr;
    const char *head; /* request line and headers, with the empty line */
    size_t head_len;
    const char *body;
    size_t body_len;
    bool no_body;        /* the answer has none whatever its head says */
    int64_t max_idle_ms; /* a kept connection that rested longer isn't used */
    int64_t connect_ms;
    int max_conns; /* open ones to this vm */
    const struct rk_upstream_ops *ops;
    void *ctx;
};

struct rk_upstreams *rk_upstreams_create(struct rk_loop *loop);
void rk_upstreams_destroy(struct rk_upstreams *u);

/* NULL: no connection may or can be opened; nothing was sent and no callback
 * comes. Callbacks never come before this returns. */
struct rk_upstream_call *rk_upstream_start(struct rk_upstreams *u,
                                           const struct rk_upstream_spec *spec);

/* Close the connections to a vm that have no call: it was started again. */
void rk_upstreams_forget(struct rk_upstreams *u, const char *vm_id);

/* Give up: the connection is closed, no callback comes. */
void rk_upstream_cancel(struct rk_upstream_call *call);

/* Has a byte of the request left? */
bool rk_upstream_sent(const struct rk_upstream_call *call);

#endif
