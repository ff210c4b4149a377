#include "core/event_splitter.h"

#include <string.h>

void rk_event_position_add(struct rk_event_position *p, const char *data,
                           size_t len)
{
    for (const char *at = data; at < data + len; at++) {
        if (*at == '\r')
            continue;
        if (*at != '\n') {
            p->in_comment = p->in_line ? p->in_comment : *at == ':';
            p->in_line = true;
            continue;
        }
        if (p->in_line && !p->in_comment)
            p->in_event = true;
        if (!p->in_line && p->in_event) {
            p->in_event = false;
            p->has_events = true;
        }
        p->in_line = false;
    }
}

bool rk_event_position_is_inside(const struct rk_event_position *p)
{
    return p->in_line || p->in_event;
}

/* Returns the length of the first whole event, the empty line at its end included;
 * 0: there is none. An empty line at the very start doesn't end an event. */
static size_t event_length(const char *data, size_t len)
{
    size_t line = 0;
    for (size_t i = 0; i < len; i++) {
        if (data[i] != '\n')
            continue;
        size_t chars = i - line;
        if (chars && data[i - 1] == '\r')
            chars--;
        if (!chars && line)
            return i + 1;
        line = i + 1;
    }
    return 0;
}

/* Copies the value of an event's last "id:" line that fits; "": there is none. */
static void find_id(const char *data, size_t len, char id[RK_EVENT_ID_MAX])
{
    id[0] = '\0';
    for (const char *line = data, *end = data + len; line < end;) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        if (!stop)
            return;
        size_t chars = (size_t)(stop - line);
        if (chars && line[chars - 1] == '\r')
            chars--;
        if (chars > 3 && !memcmp(line, "id:", 3)) {
            const char *v = line + 3;
            size_t n = chars - 3;
            if (*v == ' ') {
                v++;
                n--;
            }
            if (n < RK_EVENT_ID_MAX) {
                memcpy(id, v, n);
                id[n] = '\0';
            }
        }
        line = stop + 1;
    }
}

void rk_event_splitter_feed(struct rk_event_splitter *e, const char *data,
                            size_t len, rk_event_splitter_fn *fn, void *ctx)
{
    if (e->failed)
        return;
    e->partial.max = RK_EVENT_MAX;
    if (!rk_buf_add(&e->partial, data, len)) {
        e->failed = true;
        return;
    }
    size_t at = 0, n;
    while ((n = event_length(e->partial.data + at, e->partial.len - at))) {
        char id[RK_EVENT_ID_MAX];
        find_id(e->partial.data + at, n, id);
        if (id[0])
            rk_strcpy(e->last_id, sizeof(e->last_id), id);
        fn(ctx, e->partial.data + at, n, id);
        at += n;
    }
    rk_buf_consume(&e->partial, at);
}

void rk_event_splitter_restart(struct rk_event_splitter *e)
{
    e->partial.len = 0;
    e->failed = false;
}

void rk_event_splitter_free(struct rk_event_splitter *e)
{
    rk_buf_free(&e->partial);
}
