/* Watches the objects of one kind in the platform's store: a list first, then long
 * polls ("watches") for changes since its revision. A watch that is cut off,
 * doesn't return in time or has lost its history is started again. Control thread
 * only. */
#ifndef RK_NODE_STORE_WATCH_H
#define RK_NODE_STORE_WATCH_H

#include "common/loop.h"
#include "node/state.h"
#include "objects/store.h"

struct rk_store_watch {
    /* Set by the caller. */
    struct rk_node *n;
    const char *kind;
    /* Applies objects from the store, valid during the call. all: they are the
     * whole list, else changes. at: the store's revision that they lead up to. */
    void (*apply)(void *ctx, const struct rk_store_object *objects, size_t len,
                  bool all, int64_t at);
    void (*on_answer)(void *ctx); /* the store answered; called before apply */
    void *ctx;
    /* Few but large objects: listing the newest of each costs less than receiving
     * all their changes. */
    bool list_when_behind;
    bool list_texts; /* thousands of objects: lists bring their specs as texts */
    int64_t
        min_interval_ms; /* delay after changes arrived, to collect more; 0: none */
    /* Read by the caller. */
    int64_t revision;    /* the store's revision that is known; 0: none yet */
    int64_t answered_ms; /* the last answer was up to date then; 0: never */
    bool lost;           /* the store's last answer was an error or a time-out */
    bool enabled;        /* watching, by rk_store_watch_enable() */
    /* Private. */
    bool busy, listing;      /* a call is in progress; it is a list */
    bool history_gone;       /* no watch was answered since the last 410 */
    int64_t call_started_ms; /* when that call was made */
    int64_t since;           /* revision that it refers to; 0: a list */
    int64_t retry_ms;        /* next delay after an error */
    struct rk_timer timer;   /* for the next call */
};

/* The caller has set its members before; all others are zero. */
void rk_store_watch_init(struct rk_store_watch *f);
/* Starts or stops watching. A call in progress is not interrupted. */
void rk_store_watch_enable(struct rk_store_watch *f, bool on);
/* Skips changes up to a revision of the store, as a peer sent them. */
void rk_store_watch_skip_to(struct rk_store_watch *f, int64_t at);
/* Makes the next call a list, for a kind with list_when_behind and unless a call is
 * in progress: peers have newer objects, of a revision that isn't known here. */
void rk_store_watch_relist(struct rk_store_watch *f);
/* Stops the timer. A call to the store may still be in progress. */
void rk_store_watch_destroy(struct rk_store_watch *f);

#endif
