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

/* What an event says of its place in the stream. */
struct event_id {
    bool is_event;  /* it has more than comments */
    bool has_id;    /* it has an "id:" line */
    const char *id; /* value of the last of them */
    size_t len;
};

static void parse_line(const char *line, size_t len, struct event_id *out)
{
    out->is_event = out->is_event || (len && line[0] != ':');
    if (len <= 3 || memcmp(line, "id:", 3) != 0)
        return;
    size_t skip = line[3] == ' ' ? 4 : 3;
    out->has_id = true;
    out->id = line + skip;
    out->len = len - skip;
}

static struct event_id parse_event(const char *data, size_t len)
{
    struct event_id out = {0};
    for (const char *line = data, *end = data + len; line < end;) {
        const char *stop = memchr(line, '\n', (size_t)(end - line));
        if (!stop)
            break;
        size_t chars = (size_t)(stop - line);
        if (chars && line[chars - 1] == '\r')
            chars--;
        parse_line(line, chars, &out);
        line = stop + 1;
    }
    return out;
}

/* Returns whether an id can be sent to a VM as the value of a header. */
static bool is_usable_id(const struct event_id *event)
{
    for (size_t i = 0; i < event->len; i++)
        if ((unsigned char)event->id[i] < ' ' || event->id[i] == '\x7f')
            return false;
    return event->len < RK_EVENT_ID_MAX;
}

/* Notes an event that is passed on. An id that is too long is not cut, as its
 * beginning would be another event's: the stream then can't be resumed. */
static void note_event(struct rk_event_splitter *e, const struct event_id *event)
{
    e->has_events = e->has_events || event->is_event;
    if (!event->has_id)
        return;
    size_t len = is_usable_id(event) ? event->len : 0;
    memcpy(e->last_id, event->id, len);
    e->last_id[len] = '\0';
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
        const struct event_id event = parse_event(e->partial.data + at, n);
        note_event(e, &event);
        fn(ctx, e->partial.data + at, n);
        at += n;
    }
    rk_buf_consume(&e->partial, at);
}

bool rk_event_splitter_may_resume(const struct rk_event_splitter *e)
{
    return !e->has_events || e->last_id[0];
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
