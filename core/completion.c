#include "common/json.h"
#include "core/completion.h"

#include <inttypes.h>
#include <string.h>

#include "core/prefix_index.h"

#define MAX_TOKENS_LIMIT 1000000 /* of a request's "max_tokens" */

/* Adds the contents of all messages to the prompt, separated by blanks. */
static enum rk_status read_messages(struct json_object *o,
                                    struct rk_prompt_builder *r)
{
    struct json_object *messages = rk_json_get(o, "messages");
    if (!json_object_is_type(messages, json_type_array) ||
        !json_object_array_length(messages))
        return rk_fail(RK_EINVAL, "messages: expected a list of messages");
    for (size_t i = 0; i < json_object_array_length(messages); i++) {
        struct json_object *content =
            rk_json_get(json_object_array_get_idx(messages, i), "content");
        if (!json_object_is_type(content, json_type_string))
            return rk_fail(RK_EINVAL, "messages[%zu].content: expected a string",
                           i);
        rk_prompt_add(r, json_object_get_string(content),
                      (size_t)json_object_get_string_len(content));
        rk_prompt_add(r, " ", 1);
    }
    return RK_OK;
}

static enum rk_status read_prompt(struct json_object *o,
                                  struct rk_prompt_builder *r)
{
    struct json_object *prompt = rk_json_get(o, "prompt");
    if (!json_object_is_type(prompt, json_type_string))
        return rk_fail(RK_EINVAL, "prompt: expected a string");
    rk_prompt_add(r, json_object_get_string(prompt),
                  (size_t)json_object_get_string_len(prompt));
    return RK_OK;
}

static enum rk_status read_options(struct json_object *o, struct rk_completion *out)
{
    struct json_object *model = rk_json_get(o, "model"),
                       *max = rk_json_get(o, "max_tokens");
    if (!json_object_is_type(model, json_type_string) ||
        !rk_strcpy(out->model, sizeof(out->model), json_object_get_string(model)))
        return rk_fail(RK_EINVAL, "model: expected the name of a model");
    out->max_tokens = RK_DEFAULT_MAX_TOKENS;
    if (max) {
        out->max_tokens = json_object_get_int64(max);
        if (!json_object_is_type(max, json_type_int) || out->max_tokens < 1 ||
            out->max_tokens > MAX_TOKENS_LIMIT)
            return rk_fail(RK_EINVAL, "max_tokens: expected a number from 1 to %d",
                           MAX_TOKENS_LIMIT);
    }
    out->stream = json_object_get_boolean(rk_json_get(o, "stream"));
    return RK_OK;
}

enum rk_status rk_completion_parse(const char *body, size_t len, bool chat,
                                   struct rk_prompt *prompt,
                                   struct rk_completion *out)
{
    *out = (struct rk_completion){0};
    struct json_tokener *tok = json_tokener_new();
    struct json_object *o = json_tokener_parse_ex(tok, body ? body : "", (int)len);
    bool parsed = json_tokener_get_error(tok) == json_tokener_success;
    json_tokener_free(tok);
    enum rk_status st = RK_OK;
    if (!parsed || !json_object_is_type(o, json_type_object)) {
        st = rk_fail(RK_EINVAL, "body: expected a JSON object");
        goto done;
    }
    struct rk_prompt_builder reader;
    rk_prompt_begin(&reader, prompt);
    st = read_options(o, out);
    if (st == RK_OK)
        st = chat ? read_messages(o, &reader) : read_prompt(o, &reader);
    if (st != RK_OK)
        goto done;
    rk_prompt_end(&reader);
    json_object_object_add(o, "stream", json_object_new_boolean(1));
    out->upstream_body = rk_strdup(json_object_to_json_string(o));
done:
    json_object_put(o);
    return st;
}

void rk_completion_answer(struct rk_buf *out, const char *id, const char *model,
                          bool chat, const char *text, int64_t prompt_tokens,
                          int64_t tokens)
{
    rk_buf_printf(out, "{\"id\":\"%s\",\"object\":\"%s\",\"model\":", id,
                  chat ? "chat.completion" : "text_completion");
    rk_buf_json_str(out, model);
    rk_buf_addstr(out, ",\"choices\":[{\"index\":0,\"finish_reason\":\"stop\",");
    rk_buf_addstr(out, chat ? "\"message\":{\"role\":\"assistant\",\"content\":"
                            : "\"text\":");
    rk_buf_json_str(out, text);
    rk_buf_printf(out,
                  "%s}],\"usage\":{\"prompt_tokens\":%" PRId64
                  ",\"completion_tokens\":%" PRId64 "}}\n",
                  chat ? "}" : "", prompt_tokens, tokens);
}
