/* Names of the headers by which callers and upstreams of a deployment say what
 * the product has to know, and who may set each. The product's code goes by the
 * members; the texts belong to the deployment's platform. */
#ifndef RK_CORE_DIALECT_H
#define RK_CORE_DIALECT_H

#include <stdbool.h>
#include <stddef.h>

#include "common/util.h"

#define RK_MOVE_HANDLE_MAX 96

struct rk_dialect {
    /* Of requests, set by callers. */
    const char *request_id;
    const char *deadline_ms; /* how long the caller waits; told on to upstreams */
    const char *key;         /* of an organisation; never passed on */
    const char *model;
    const char *tokens;       /* "IN,OUT": of the prompt, and the most generated */
    const char *prefix;       /* "ID:TOKENS,...": parts of the prompt in order */
    const char *resume_after; /* id of the last event the caller has */
    /* Of requests, set for upstreams whatever the caller sent. */
    const char *organisation;
    const char *vm_id;      /* another vm must not run the request */
    const char *rank;       /* urgency at an engine, 0 first */
    const char *fetch_from; /* another engine's address, that keeps a part of the
                               prompt: it is copied instead of read again */
    const char *go_on_from; /* "ADDRESS/HANDLE": where a run stopped whose memory
                               the engine has got */
    /* An order to an engine to stop a request's run and copy its memory to another
     * engine: its path, its body, and the handle in its answer (false: there is
     * none).
     */
    const char *move_path;
    void (*move_order)(const char *request_id, const char *to_addr,
                       struct rk_buf *body);
    bool (*move_handle)(const char *body, char handle[RK_MOVE_HANDLE_MAX]);
    /* Orders to an upstream that only this system may give: memory set aside or
     * kept, copies of memory sent. Those of this list are never sent by it. */
    const char *const *orders;
    size_t orders_len;
    /* Of answers. */
    const char *signature; /* of the upstream that made the body */
    const char *not_run;   /* proves that the request did not run */
    const char *limit;     /* requests a second that it takes from all nodes */
    const char *leaving;   /* "1": the upstream is about to end */
    /* Where the balancer asks whether this node takes new connections. */
    const char *ready_path;
};

/* Whose a header of a request is. */
enum rk_header_owner {
    RK_HEADER_CALLERS, /* the caller's word for the upstream: always passed on */
    RK_HEADER_OURS,    /* this system's alone: what the caller sent is dropped */
    RK_HEADER_OTHER,   /* passed on, unless it concerns only the connection */
};

/* name: in any case. */
enum rk_header_owner rk_dialect_owner(const struct rk_dialect *d, const char *name);

#endif
