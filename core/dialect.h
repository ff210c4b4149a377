/* The dialect of a deployment's platform: the names of the headers in which callers
 * and upstreams state what this system has to know, who may set each of them, and
 * the engines' interface for moving a stream. The code uses the members of struct
 * rk_dialect; the texts belong to the platform. */
#ifndef RK_CORE_DIALECT_H
#define RK_CORE_DIALECT_H

#include <stdbool.h>
#include <stddef.h>

#include "common/util.h"

#define RK_MOVE_HANDLE_MAX 96

/* Members without another comment are names of headers. All texts are static. */
struct rk_dialect {
    /* Headers of requests, set by callers. */
    const char *request_id;
    const char *deadline_ms;  /* time left; upstreams get the remaining time */
    const char *api_key;      /* API key of an organisation; never passed on */
    const char *model;        /* name of a model */
    const char *tokens;       /* "IN,OUT": tokens of the prompt, most to generate */
    const char *prefix;       /* "ID:TOKENS,...": prompt segments, in order */
    const char *resume_after; /* id of the last event that the caller received */
    /* Request id of the caller's attempt that brought the first event of the stream
     * that it takes up. */
    const char *resumes;
    /* Headers of requests, set for upstreams; values that callers sent are
     * dropped. */
    const char *organisation;
    const char *vm_id;     /* the VM meant; any other must not run the request */
    const char *rank;      /* urgency for an engine; 0 is the most urgent */
    const char *kv_source; /* address of an engine that has a part of the prompt in
                               its KV cache: it is copied instead of computed */
    const char *kv_moved_from; /* "ADDRESS/HANDLE": the engine on which the run was
                               stopped, and the handle of its copied KV cache */
    /* The request that makes an engine stop a run and copy its KV cache to another
     * engine. move_order() appends the body to body. move_handle() reads the handle
     * of the copy from an answer; it returns false if the answer has none. */
    const char *move_path;
    void (*move_body)(const char *request_id, const char *to_addr,
                      struct rk_buf *body);
    bool (*move_handle)(const char *body, char handle[RK_MOVE_HANDLE_MAX]);
    /* Headers that make an upstream set memory aside, keep it, or send copies of
     * it. Callers may not set them, and this system doesn't send them. */
    const char *const *reserved_headers;
    size_t reserved_headers_len;
    /* Headers of answers. */
    const char *signature;    /* names the upstream that made the body */
    const char *not_run;      /* proves that the request did not run */
    const char *rate_limit;   /* requests/s that the VM accepts from all nodes */
    const char *leaving;      /* "1": the VM is about to end */
    const char *brittle;      /* refusals/s for want of room that the VM stands */
    const char *answering_vm; /* the VM that sent an answer */
    /* Path at which the balancer asks whether this node takes new connections. */
    const char *ready_path;
};

/* Whether a header of a caller's request goes to the upstream. */
enum rk_header_owner {
    RK_HEADER_CALLER,   /* meant for the upstream: always passed on */
    RK_HEADER_RESERVED, /* reserved for this system: dropped */
    RK_HEADER_OTHER,    /* passed on, unless it concerns only the connection */
};

/* Returns to whom a request header belongs; name is compared without case. */
enum rk_header_owner rk_dialect_header_owner(const struct rk_dialect *d,
                                             const char *name);

#endif
