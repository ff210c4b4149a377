/* Completion requests of an OpenAI-style API: reads what routing needs of the body,
 * makes the body for the engine, which always streams, and makes the body of an
 * answer that isn't streamed. All other members of a request are passed on as they
 * came. */
#ifndef RK_CORE_COMPLETION_H
#define RK_CORE_COMPLETION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

struct rk_prompt;

#define RK_DEFAULT_MAX_TOKENS 16 /* of a request without "max_tokens" */

/* The parsed members of a completion request. */
struct rk_completion {
    char model[RK_ID_MAX];
    int64_t max_tokens;  /* most tokens to generate */
    bool stream;         /* whether the caller wants a stream */
    char *upstream_body; /* the body with "stream": true; the caller frees it */
};

/* Parses a request body, and reads its prompt into *prompt. chat: the prompt is in
 * "messages" instead of "prompt". Returns RK_EINVAL, with a message for the caller
 * in rk_last_error(), if the body is no valid completion request. */
enum rk_status rk_completion_parse(const char *body, size_t len, bool chat,
                                   struct rk_prompt *prompt,
                                   struct rk_completion *out);

/* Appends the JSON body of an answer that isn't streamed to out. text is the whole
 * generated text; tokens is the number of generated tokens. */
void rk_completion_answer(struct rk_buf *out, const char *id, const char *model,
                          bool chat, const char *text, int64_t prompt_tokens,
                          int64_t tokens);

#endif
