/* Interface to the platform's object store: named objects of a kind, each with a
 * revision that rises with every change, also when the store comes back from an
 * older copy (see core/revision.h). Objects are read, watched, and written on
 * condition of their revision. A platform driver implements the operations. Loop
 * thread only. */
#ifndef RK_OBJECTS_STORE_H
#define RK_OBJECTS_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct json_object;
struct rk_store;

/* Longest JSON text of a spec in a list of texts; a longer one is reported as "{}".
 */
#define RK_STORE_TEXT_MAX_BYTES (64 * 1024)

/* An object as the store returned it; valid during the callback only. */
struct rk_store_object {
    const char *name;
    int64_t revision;
    bool removed;             /* the object was removed; set by watches only */
    struct json_object *spec; /* desired state; borrowed, may be NULL */
    const char *spec_text;    /* its JSON text; set by list_texts only, else NULL */
    struct json_object *status; /* reported state; borrowed, may be NULL */
};

/* Results of the operations below. Each callback runs exactly once, never before
 * the call returns.
 * RK_EUNAVAILABLE: the call took no effect.
 * RK_EUNKNOWN: the call may have taken effect, or may do so later.
 * RK_EGONE: the store no longer has the requested history, or has lost it in a
 * restore.
 * RK_ECONFLICT: the condition of a write does not hold.
 * RK_ENOTFOUND: there is no such object. */

/* at is the store's revision that the list reflects. */
typedef void rk_store_list_fn(void *ctx, enum rk_status st,
                              const struct rk_store_object *objects, size_t len,
                              int64_t at);
/* object is the current object, with RK_ECONFLICT, too; NULL if it is not known. */
typedef void rk_store_object_fn(void *ctx, enum rk_status st,
                                const struct rk_store_object *object);

struct rk_store_ops {
    /* Lists all objects of a kind. stale accepts a result that is seconds old,
     * which costs the store less. */
    void (*list)(struct rk_store *s, const char *kind, bool stale,
                 rk_store_list_fn *fn, void *ctx);
    /* Like list, for kinds with thousands of objects: each has only spec_text,
     * neither spec nor status. Parsed objects take over ten times the memory of
     * their text. */
    void (*list_texts)(struct rk_store *s, const char *kind, rk_store_list_fn *fn,
                       void *ctx);
    /* Reports changes after the revision since, as soon as there are any; reports
     * an empty list after wait_ms without a change. */
    void (*watch)(struct rk_store *s, const char *kind, int64_t since,
                  int64_t wait_ms, rk_store_list_fn *fn, void *ctx);
    /* Reads one object. stale: as for list. */
    void (*read)(struct rk_store *s, const char *kind, const char *name, bool stale,
                 rk_store_object_fn *fn, void *ctx);
    /* Creates an object from spec, a JSON text. RK_ECONFLICT: it exists. */
    void (*create)(struct rk_store *s, const char *kind, const char *name,
                   const char *spec, rk_store_object_fn *fn, void *ctx);
    /* Replaces the spec. RK_ECONFLICT: the object has another revision. */
    void (*replace)(struct rk_store *s, const char *kind, const char *name,
                    int64_t revision, const char *spec, rk_store_object_fn *fn,
                    void *ctx);
    /* Replaces only the status. RK_ECONFLICT: the object has another revision. */
    void (*replace_status)(struct rk_store *s, const char *kind, const char *name,
                           int64_t revision, const char *status,
                           rk_store_object_fn *fn, void *ctx);
    /* Removes the object, whatever its revision. */
    void (*remove)(struct rk_store *s, const char *kind, const char *name,
                   rk_store_object_fn *fn, void *ctx);
    /* Notes an era of the store that earlier processes have believed. */
    void (*note_era)(struct rk_store *s, int64_t era);
    void (*destroy)(struct rk_store *s);
};

/* Base of a platform driver's own struct. */
struct rk_store {
    const struct rk_store_ops *ops;
    /* While a callback runs: the monotonic time at which the first byte of its
     * response arrived, or 0 if none did. */
    int64_t first_byte_at_ms;
    /* Newest era of the store that this process has seen; 0: none, or the store has
     * no eras. */
    int64_t era;
};

#endif
