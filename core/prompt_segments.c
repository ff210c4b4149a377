#include "core/prompt_segments.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static uint64_t hash_segment(const char *org, const char *service, const char *id,
                             size_t id_len)
{
    uint64_t h = rk_hash(0, org, strlen(org) + 1);
    h = rk_hash(h, service, strlen(service) + 1);
    h = rk_hash(h, id, id_len);
    return h ? h : 1;
}

bool rk_segment_text_next(const char **text, struct rk_segment_text *out)
{
    const char *at = *text;
    if (!*at)
        return false;
    *out = (struct rk_segment_text){.id = at, .id_len = strcspn(at, ":,")};
    at += out->id_len;
    long tokens = *at == ':' ? strtol(at + 1, NULL, 10) : 0;
    out->tokens = tokens > 0 ? (uint32_t)tokens : 0;
    at += strcspn(at, ",");
    *text = *at ? at + 1 : at;
    return true;
}

static size_t count_segments(const char *text)
{
    struct rk_segment_text segment;
    size_t n = 0;
    while (rk_segment_text_next(&text, &segment))
        n++;
    return n;
}

struct rk_prompt_segments
rk_prompt_segments_parse(const char *org, const char *service, const char *text)
{
    struct rk_prompt_segments s = {0};
    struct rk_segment_text segment;
    size_t count = count_segments(text);
    if (count < 2)
        return s;
    s.items = rk_alloc(count - 1, sizeof(*s.items));
    while (s.len < count - 1 && rk_segment_text_next(&text, &segment)) {
        struct rk_prompt_segment *item = &s.items[s.len++];
        item->key = hash_segment(org, service, segment.id, segment.id_len);
        snprintf(item->id, sizeof(item->id), "%.*s", (int)segment.id_len,
                 segment.id);
    }
    return s;
}

void rk_prompt_segments_free(struct rk_prompt_segments *s)
{
    free(s->items);
    *s = (struct rk_prompt_segments){0};
}

struct rk_prompt_segments
rk_prompt_segments_copy(const struct rk_prompt_segments *s)
{
    struct rk_prompt_segments copy = {.len = s->len};
    if (!s->len)
        return copy;
    copy.items = rk_alloc(s->len, sizeof(*copy.items));
    memcpy(copy.items, s->items, s->len * sizeof(*copy.items));
    return copy;
}

void rk_prompt_segments_format(const struct rk_prompt_segments *s, char *out,
                               size_t size)
{
    size_t used = 0;
    out[0] = '\0';
    for (size_t i = 0; i < s->len && used < size; i++) {
        int n =
            snprintf(out + used, size - used, "%s%s", i ? "," : "", s->items[i].id);
        used += (size_t)n;
    }
}
