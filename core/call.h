/* A call on its way from a caller or a peer to an upstream or a peer. The code that
 * receives calls (callers/ from callers, serve/forward.c from peers) fills struct
 * rk_request and implements struct rk_answer_sink; the exchange in serve/ runs the
 * call and passes its answer to the sink. */
#ifndef RK_CORE_CALL_H
#define RK_CORE_CALL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <stdlib.h>

#include "common/util.h"
#include "core/verdict.h"

/* Sizes in bytes, the terminating NUL included. */
#define RK_PATH_MAX         512
#define RK_KEY_MAX          128
#define RK_CONTENT_TYPE_MAX 96

#define RK_MAX_HOPS 2 /* forwards between peers that a call may make */

/* A request. Texts are NUL-terminated; the body is not. */
struct rk_request {
    char id[RK_ID_MAX];
    char org[RK_ID_MAX];
    char priority_class[RK_ID_MAX]; /* priority class; "": the organisation's
                                       default */
    char service[RK_ID_MAX]; /* "": to be looked up by the model in the body */
    char call[RK_ID_MAX];
    char method[12];
    char path[RK_PATH_MAX]; /* as it is sent to the upstream */
    char key[RK_KEY_MAX];   /* idempotency key; "" for none */
    char content_type[RK_CONTENT_TYPE_MAX];
    char *body; /* owned by the request; see rk_request_free() */
    size_t body_len;
    int64_t deadline_in_ms; /* from arrival; 0: as the settings say */
    int64_t resume_from;    /* index of the first token to send */
    bool completion;        /* came on a completion path */
    bool chat;              /* came on the chat completion path */
    bool stream;            /* the answer is to be streamed */
    unsigned hops;          /* forwards between peers so far */
    bool to_owner;          /* forwarded to this node as owner of the key's shard */
    bool claimed; /* a peer holds the claim on the key: run without another claim */
};

/* A piece of an answer, valid only while the sink's part() runs. In a stream, each
 * piece is the chunk of one token. */
struct rk_answer_piece {
    int status; /* HTTP status; set in the first piece */
    const char *content_type;
    int64_t index; /* index of the token; -1: not a stream */
    const char *data;
    size_t len;
};

/* How a call ended. */
struct rk_outcome {
    int status; /* HTTP status, used if nothing was sent to the caller yet */
    enum rk_verdict verdict;
    bool whole;    /* the sink got the whole answer */
    bool not_sent; /* this request was sent to no upstream; others with its key may
                      have been */
    bool replayed; /* the answer is that of an earlier call with the same key */
    bool resume;   /* the stream ended early and may be resumed at a peer */
    int64_t retry_after_ms; /* 0: none is sent, as waiting would not help */
    const char *detail;     /* one line for the caller; may be NULL */
};

/* Receiver of an answer: part() is called for each piece, in order, then end()
 * once. Neither is called after the call was cancelled. */
struct rk_answer_sink {
    void (*on_answer_piece)(void *ctx, const struct rk_answer_piece *part);
    void (*on_answer_end)(void *ctx, const struct rk_outcome *outcome);
};

/* Frees the body; the struct itself is the caller's. */
static inline void rk_request_free(struct rk_request *r)
{
    free(r->body);
    r->body = NULL;
}

#endif
