/* Splits an event stream into whole events, byte for byte, so that an answer can
 * go on at another vm behind the last event its caller got whole. Pure. */
#ifndef RK_CORE_EVENTS_H
#define RK_CORE_EVENTS_H

#include <stdbool.h>
#include <stddef.h>

#include "common/util.h"

#define RK_EVENT_ID_MAX 32
#define RK_EVENT_MAX    (256 * 1024)

struct rk_events {
    struct rk_buf part; /* an event that is not whole yet */
    char last_id[RK_EVENT_ID_MAX];
    bool failed; /* an event was longer than RK_EVENT_MAX */
};

/* Gets one whole event with its end, and its id ("" when it has none). */
typedef void rk_event_fn(void *ctx, const char *data, size_t len, const char *id);

/* Feed bytes; fn is called for each event that they complete. */
void rk_events_feed(struct rk_events *e, const char *data, size_t len,
                    rk_event_fn *fn, void *ctx);

/* Another vm's stream begins: what was not whole is dropped. */
void rk_events_restart(struct rk_events *e);
void rk_events_free(struct rk_events *e);

#endif
