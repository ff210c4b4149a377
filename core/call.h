/* A call as the system carries it: from a caller or a peer, to an upstream or a
 * peer. Input sides (callers/, peers/) fill struct rk_request and implement
 * struct rk_sink; the exchange in serve/ does the rest. */
#ifndef RK_CORE_CALL_H
#define RK_CORE_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "common/util.h"
#include "core/verdict.h"

#define RK_PATH_MAX  512
#define RK_KEY_MAX   128
#define RK_CTYPE_MAX 96
#define RK_MAX_HOPS  2

struct rk_request {
    char id[RK_ID_MAX];
    char org[RK_ID_MAX];
    char cls[RK_ID_MAX];     /* "": the organisation's default */
    char service[RK_ID_MAX]; /* "": found by the model in the body */
    char call[RK_ID_MAX];
    char method[12];
    char path[RK_PATH_MAX]; /* as the upstream gets it */
    char key[RK_KEY_MAX];   /* idempotency key; "" for none */
    char content_type[RK_CTYPE_MAX];
    char *body; /* owned; freed by rk_request_free() */
    size_t body_len;
    int64_t deadline_in_ms; /* 0: the settings' */
    int64_t resume_from;    /* first token index wanted */
    bool completion;        /* one of the model paths */
    bool chat;              /* the chat one of them */
    bool stream;
    unsigned hops; /* forwards behind it */
    bool to_owner; /* a peer says this node owns the key's shard */
    bool claimed;  /* a peer holds the key's claim: just run it */
};

/* A part of an answer. For streams one part is one token's chunk. */
struct rk_part {
    int status; /* set in the first part */
    const char *content_type;
    int64_t index; /* of the token; -1: not a stream */
    const char *data;
    size_t len;
};

/* How a call ended. */
struct rk_outcome {
    int status; /* HTTP status for the caller when nothing was sent yet */
    enum rk_verdict verdict;
    bool whole;    /* the caller has the whole answer */
    bool not_sent; /* this arrival went to no upstream, whatever the key did */
    bool replayed; /* the answer is of an earlier call with the same key */
    bool resume;   /* a stream that may be resumed at a peer */
    int64_t retry_after_ms; /* 0: coming back doesn't help */
    const char *detail;
};

struct rk_sink {
    void (*part)(void *ctx, const struct rk_part *part);
    void (*end)(void *ctx, const struct rk_outcome *outcome); /* once */
};

/* Free the body. */
static inline void rk_request_free(struct rk_request *r)
{
    free(r->body);
    r->body = NULL;
}

#endif
