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

static size_t count_commas(const char *text)
{
    size_t n = 0;
    for (; *text; text++)
        n += *text == ',';
    return n;
}

struct rk_prompt_segments
rk_prompt_segments_parse(const char *org, const char *service, const char *text)
{
    struct rk_prompt_segments s = {0};
    size_t shared = count_commas(text); /* one segment less than there are */
    if (!shared)
        return s;
    s.items = rk_alloc(shared, sizeof(*s.items));
    for (; s.len < shared; s.len++) {
        struct rk_prompt_segment *item = &s.items[s.len];
        size_t id_len = strcspn(text, ":,");
        item->key = hash_segment(org, service, text, id_len);
        snprintf(item->id, sizeof(item->id), "%.*s", (int)id_len, text);
        text += strcspn(text, ",") + 1;
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
