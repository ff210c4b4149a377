/* Parses the header in which a caller says how many tokens its prompt has and how
 * many it wants at most, "PROMPT,OUTPUT" or "PROMPT". Does no I/O. */
#ifndef RK_CORE_TOKEN_USAGE_H
#define RK_CORE_TOKEN_USAGE_H

#include <stdbool.h>

/* Larger counts are cut to this. Sums over all calls of a node stay exact. */
#define RK_CALL_TOKENS_MAX 1e9

struct rk_token_usage {
    double prompt, output;
};

/* Returns false, with both counts 0, if a count is negative or no number. */
bool rk_token_usage_parse(const char *text, struct rk_token_usage *out);

#endif
