/* HTTP/1.1 client for calls to upstream VMs. It sends requests byte for byte as
 * given, and keeps idle connections to each VM for reuse. It never retries: it
 * reports whether a byte of the request may have been sent and whether the response
 * is complete, and leaves the decision to its user. All functions are called on the
 * loop's thread. */
#ifndef RK_SERVICES_UPSTREAM_H
#define RK_SERVICES_UPSTREAM_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_loop;
struct rk_head;
struct rk_upstream_pools;
struct rk_upstream_call;

/* How to handle a response, decided by its head. */
enum rk_head_action {
    RK_HEAD_ACCEPT, /* it answers the call */
    RK_HEAD_SKIP, /* it answers another request: discard it and read the next one */
    /* It answers the call, whose user needs no body. The call ends with the
     * response, or without its end if that is late or far. */
    RK_HEAD_DISCARD,
};

struct rk_upstream_failure {
    bool may_have_reached; /* a byte of the request may have reached the VM */
    bool reused;           /* the connection had served an earlier call */
    int error;         /* errno; 0: closed by the VM too early, or invalid HTTP */
    const char *cause; /* description; valid during the callback */
};

/* Exactly one of on_end() and on_fail() ends a call, unless it is cancelled. The
 * call may be cancelled in on_head() and on_body(), and must not be used in or
 * after on_end() and on_fail(). on_body() gets the body in pieces, without chunk
 * framing; it is not called for a response that is discarded or skipped. A call
 * fails if the responses that are skipped don't end. */
struct rk_upstream_ops {
    enum rk_head_action (*on_head)(void *ctx, const struct rk_head *head);
    void (*on_body)(void *ctx, const char *data, size_t len);
    void (*on_end)(void *ctx);
    void (*on_fail)(void *ctx, const struct rk_upstream_failure *failure);
};

struct rk_upstream_spec {
    const char *vm_id;
    const char *addr; /* "ip:port" of the VM */
    const char *head; /* request line and headers, with the empty line */
    size_t head_len;
    const char *body;
    size_t body_len;
    bool no_body; /* the response has no body whatever its head says (HEAD) */
    int64_t max_idle_ms; /* connections that were idle for this long are not used */
    int64_t connect_ms;  /* time-out of connecting */
    int max_conns;       /* limit of open connections to this address of the VM */
    const struct rk_upstream_ops *ops;
    void *ctx;
};

/* Creates an empty set of connection pools on a loop, which must outlive it. */
struct rk_upstream_pools *rk_upstream_pools_create(struct rk_loop *loop);

/* Closes all idle connections and frees u. No call may be in flight. */
void rk_upstream_pools_destroy(struct rk_upstream_pools *u);

/* Sends a request on an idle connection or on a new one. Copies what it needs of
 * *spec; spec->ops must outlive the call. Returns NULL if max_conns is reached or
 * no connection can be opened: nothing was sent then, and no callback is called.
 * Never calls back before it returns. */
struct rk_upstream_call *rk_upstream_start(struct rk_upstream_pools *u,
                                           const struct rk_upstream_spec *spec);

/* Closes the idle connections to a VM. Used when the VM was restarted. */
void rk_upstream_pools_close_idle(struct rk_upstream_pools *u, const char *vm_id);
/* Takes one of the max_conns connections to an address of the VM for other use. If
 * all are open, closes an idle one. Returns false if all have calls. */
bool rk_upstream_reserve_conn(struct rk_upstream_pools *u, const char *vm_id,
                              const char *addr, int max_conns);
/* Gives it back. */
void rk_upstream_release_conn(struct rk_upstream_pools *u, const char *vm_id,
                              const char *addr);

/* Stops (true) or resumes reading the response. */
void rk_upstream_set_held(struct rk_upstream_call *call, bool held);

/* Closes the connection after the response that on_head() is called for, whatever
 * its head says. */
void rk_upstream_close_after(struct rk_upstream_call *call);

/* Cancels and frees a call and resets its connection. No callback is called. */
void rk_upstream_cancel(struct rk_upstream_call *call);

/* Returns whether a byte of the request may have been sent. This is always true on
 * a reused connection. */
bool rk_upstream_may_have_sent(const struct rk_upstream_call *call);

/* Returns whether the connection of the call had served an earlier call. */
bool rk_upstream_is_reused(const struct rk_upstream_call *call);

#endif
