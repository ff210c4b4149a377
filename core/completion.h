/* What routing needs to know of a completion request, and the body the engine
 * gets. The rest of the body is passed on as it came. Pure. */
#ifndef RK_CORE_COMPLETION_H
#define RK_CORE_COMPLETION_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

struct rk_prompt;

#define RK_DEFAULT_MAX_TOKENS 16

struct rk_completion {
    char model[RK_ID_MAX];
    int64_t max_tokens;
    bool stream;
    char *upstream_body; /* owned by the caller: the body with "stream": true */
};

/* RK_EINVAL with a message for the caller when the body is no completion. */
enum rk_status rk_completion_parse(const char *body, size_t len, bool chat,
                                   struct rk_prompt *prompt,
                                   struct rk_completion *out);

/* The body of an answer that isn't streamed. */
void rk_completion_answer(struct rk_buf *out, const char *id, const char *model,
                          bool chat, const char *text, int64_t prompt_tokens,
                          int64_t tokens);

#endif
