/* The segments of a prompt that other prompts may share: all but the last one,
 * which is the request's own. They are told apart by organisation and service, so
 * that no caller can act on the segments of another organisation, whatever ids it
 * sends.
 *
 * Pure: no I/O and no clock. */
#ifndef RK_CORE_PROMPT_SEGMENTS_H
#define RK_CORE_PROMPT_SEGMENTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

/* A segment in the text "ID:TOKENS,...", the segments of a prompt in order. */
struct rk_segment_text {
    const char *id; /* within the text, not NUL-terminated */
    size_t id_len;
    uint32_t tokens; /* 0: not given, or not positive */
};
/* Reads the segment that *text points to, and sets *text to the next one. Returns
 * false at the end of the text. */
bool rk_segment_text_next(const char **text, struct rk_segment_text *out);

/* Size of a segment's id for logs and the store, the terminating NUL included. A
 * longer id is cut there; its key tells it apart all the same. */
#define RK_SEGMENT_ID_MAX 40

struct rk_prompt_segment {
    uint64_t key; /* hash of organisation, service and id; never 0 */
    char id[RK_SEGMENT_ID_MAX];
};

/* All zero: none. */
struct rk_prompt_segments {
    struct rk_prompt_segment *items;
    size_t len;
};

/* Parses "ID:TOKENS,...", the segments of a prompt in order, as many as there are.
 * Free the result with rk_prompt_segments_free(). */
struct rk_prompt_segments
rk_prompt_segments_parse(const char *org, const char *service, const char *text);
void rk_prompt_segments_free(struct rk_prompt_segments *s);
/* Returns a copy, to be freed as well. */
struct rk_prompt_segments
rk_prompt_segments_copy(const struct rk_prompt_segments *s);

/* Formats the ids for a log, separated by commas; cut if the text is too long. */
void rk_prompt_segments_format(const struct rk_prompt_segments *s, char *out,
                               size_t size);

#endif
