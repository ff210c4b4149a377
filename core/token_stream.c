#include "common/json.h"
#include "core/token_stream.h"

#include <string.h>

#define END_MARK "[DONE]"

enum rk_token_action rk_token_stream_accept(struct rk_token_stream *s,
                                            int64_t index)
{
    if (index < s->next)
        return RK_TOKEN_REPEAT;
    if (index > s->next)
        return RK_TOKEN_GAP;
    s->next++;
    return RK_TOKEN_DELIVER;
}

/* Passes a complete line to fn if it is a "data:" line, and empties the buffer. */
static bool finish_line(struct rk_sse_parser *sse,
                        bool (*fn)(void *ctx, const char *text), void *ctx)
{
    char *line = sse->line.data ? sse->line.data : "";
    size_t len = sse->line.len;
    if (len && line[len - 1] == '\r')
        line[--len] = '\0';
    bool ok = true;
    if (!strncmp(line, "data:", 5))
        ok = fn(ctx, line + 5 + (line[5] == ' '));
    sse->line.len = 0;
    if (sse->line.data)
        sse->line.data[0] = '\0';
    return ok;
}

bool rk_sse_parser_feed(struct rk_sse_parser *sse, const char *data, size_t len,
                        bool (*fn)(void *ctx, const char *text), void *ctx)
{
    sse->line.max = RK_SSE_LINE_MAX;
    while (len && !sse->failed) {
        const char *nl = memchr(data, '\n', len);
        size_t part = nl ? (size_t)(nl - data) : len;
        if (!rk_buf_add(&sse->line, data, part))
            sse->failed = true;
        else if (nl && !finish_line(sse, fn, ctx))
            sse->failed = true;
        data += part + (nl ? 1 : 0);
        len -= part + (nl ? 1 : 0);
    }
    return !sse->failed;
}

void rk_sse_parser_free(struct rk_sse_parser *sse)
{
    rk_buf_free(&sse->line);
}

/* Returns the text of a chunk, whether of a chat or of a plain completion; "":
 * none. */
static const char *chunk_text(struct json_object *o)
{
    struct json_object *choices = rk_json_get(o, "choices");
    if (!json_object_is_type(choices, json_type_array) ||
        !json_object_array_length(choices))
        return "";
    struct json_object *first = json_object_array_get_idx(choices, 0);
    struct json_object *v = rk_json_get(rk_json_get(first, "delta"), "content");
    if (!v)
        v = rk_json_get(first, "text");
    return v ? json_object_get_string(v) : "";
}

enum rk_status rk_chunk_parse(const char *data, struct rk_chunk *out)
{
    *out = (struct rk_chunk){.index = -1};
    if (!strcmp(data, END_MARK)) {
        out->done = true;
        return RK_OK;
    }
    struct json_object *o = json_tokener_parse(data);
    enum rk_status st = RK_OK;
    struct json_object *id = rk_json_get(o, "id"),
                       *index = rk_json_get(o, "rk_index");
    if (!json_object_is_type(id, json_type_string) ||
        !rk_strcpy(out->id, sizeof(out->id), json_object_get_string(id)))
        st = rk_fail(RK_EPROTO, "a chunk without a usable id");
    if (index)
        out->index = json_object_get_int64(index);
    if (st == RK_OK && !rk_strcpy(out->text, sizeof(out->text), chunk_text(o)))
        st = rk_fail(RK_EPROTO, "a chunk with an overlong token");
    json_object_put(o);
    return st;
}
