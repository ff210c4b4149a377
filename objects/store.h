/* The platform's store of objects, as the product asks of it: named objects of a
 * kind, each with a revision that rises with every change, read and watched, and
 * written under a condition. A driver of the platform's dialect fills the
 * operations. Loop thread only. */
#ifndef RK_OBJECTS_STORE_H
#define RK_OBJECTS_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct json_object;
struct rk_store;

struct rk_store_object {
    const char *name;
    int64_t revision;
    bool gone;                  /* of a watch: it was removed */
    struct json_object *spec;   /* its contents, borrowed; may be NULL */
    struct json_object *status; /* what became of it, the same way */
};

/* Each callback comes exactly once, never before the call returned. Statuses:
 * RK_EUNAVAILABLE: nothing was done; RK_EUNKNOWN: it may have been done, or be
 * done later; RK_EGONE: the history asked for is forgotten; RK_ECONFLICT,
 * RK_ENOTFOUND. at: the store's revision that the answer is true of. */
typedef void rk_store_list_fn(void *ctx, enum rk_status st,
                              const struct rk_store_object *objects, size_t len,
                              int64_t at);
/* object: as it is now, also with RK_ECONFLICT; NULL when not told. */
typedef void rk_store_one_fn(void *ctx, enum rk_status st,
                             const struct rk_store_object *object);

struct rk_store_ops {
    /* stale: an answer that is seconds old will do, and costs the store less. */
    void (*list)(struct rk_store *s, const char *kind, bool stale,
                 rk_store_list_fn *fn, void *ctx);
    /* Changes after a revision, as soon as there are any; empty after wait_ms. */
    void (*watch)(struct rk_store *s, const char *kind, int64_t since,
                  int64_t wait_ms, rk_store_list_fn *fn, void *ctx);
    void (*read)(struct rk_store *s, const char *kind, const char *name, bool stale,
                 rk_store_one_fn *fn, void *ctx);
    /* Conflict if it is there. spec: JSON text. */
    void (*create)(struct rk_store *s, const char *kind, const char *name,
                   const char *spec, rk_store_one_fn *fn, void *ctx);
    /* Conflict if its revision is another. */
    void (*replace)(struct rk_store *s, const char *kind, const char *name,
                    int64_t revision, const char *spec, rk_store_one_fn *fn,
                    void *ctx);
    /* Replaces only what became of it. Conflict if its revision is another. */
    void (*replace_status)(struct rk_store *s, const char *kind, const char *name,
                           int64_t revision, const char *status,
                           rk_store_one_fn *fn, void *ctx);
    void (*remove)(struct rk_store *s, const char *kind, const char *name,
                   rk_store_one_fn *fn, void *ctx);
    void (*destroy)(struct rk_store *s);
};

struct rk_store {
    const struct rk_store_ops *ops;
    /* While a callback runs: when the first byte of its answer came; 0: none did.
     */
    int64_t began_ms;
};

#endif
