/* Splits a stream of server-sent events into whole events and keeps their bytes
 * unchanged. As a caller gets only whole events, its answer can be continued at
 * another VM after the last of them. Does no I/O. */
#ifndef RK_CORE_EVENT_SPLITTER_H
#define RK_CORE_EVENT_SPLITTER_H

#include <stdbool.h>
#include <stddef.h>

#include "common/util.h"

#define RK_EVENT_ID_MAX 256          /* bytes, the NUL included */
#define RK_EVENT_MAX    (256 * 1024) /* bytes */

/* A splitter; zeroed, it is ready for use. */
struct rk_event_splitter {
    struct rk_buf partial; /* bytes of an event that is not complete yet */
    /* Id of the last event that had one; "": none had, or that id is too long or
     * has control characters. */
    char last_id[RK_EVENT_ID_MAX];
    bool has_events; /* an event was passed on; comments are none */
    bool failed;     /* the buffer would have exceeded RK_EVENT_MAX */
};

/* Where a stream stands between its events, byte by byte. Lines end with LF or
 * CRLF. Zeroed, it is at the start of a stream. */
struct rk_event_position {
    bool in_line;    /* the last line has not ended */
    bool in_comment; /* that line is a comment */
    bool in_event;   /* a line of an event came after the last empty line */
    bool has_events; /* an event was complete */
};

/* Adds bytes of the stream. */
void rk_event_position_add(struct rk_event_position *p, const char *data,
                           size_t len);

/* Returns true if the stream must not end here: an event or a line is not complete.
 * Empty lines and comments belong to no event. */
bool rk_event_position_is_inside(const struct rk_event_position *p);

/* Takes one whole event of len bytes, its empty line included. data is borrowed for
 * the call. */
typedef void rk_event_splitter_fn(void *ctx, const char *data, size_t len);

/* Adds bytes of the stream, and calls fn for each event that they complete. Once
 * e->failed is set, further bytes are ignored. */
void rk_event_splitter_feed(struct rk_event_splitter *e, const char *data,
                            size_t len, rk_event_splitter_fn *fn, void *ctx);

/* Returns whether another VM can continue the stream without repeating an event:
 * none was passed on, or the last id is known. */
bool rk_event_splitter_may_resume(const struct rk_event_splitter *e);

/* Drops an incomplete event, because the stream of another VM begins. */
void rk_event_splitter_restart(struct rk_event_splitter *e);
/* Frees the buffer; the struct itself is the caller's. */
void rk_event_splitter_free(struct rk_event_splitter *e);

#endif
