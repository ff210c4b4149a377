/* Client of the platform's object API: reads, lists, watches and conditionally
 * writes named, versioned objects. Only this module knows the API's URLs and
 * conditions of writes; common/rest.h reads the versions in the response headers.
 * Calls are asynchronous; a callback runs exactly once, never before the
 * call returns. Loop thread only. */
#ifndef RK_OBJECTS_OBJECTS_H
#define RK_OBJECTS_OBJECTS_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct rk_http;
struct rk_objects;

#define RK_OBJECT_NAME_MAX 160 /* bytes, with the terminating NUL */

struct rk_object {
    char name[RK_OBJECT_NAME_MAX];
    int64_t version;
    const char *value; /* valid during the callback only */
};

/* Results of the calls below. RK_EUNAVAILABLE: the call took no effect.
 * RK_EUNKNOWN: it may have taken effect. */

/* o is never NULL. RK_ENOTFOUND: there is no such object. */
typedef void rk_object_read_fn(void *ctx, enum rk_status st,
                               const struct rk_object *o);
/* objects is valid during the callback only; revision is the one to watch from. */
typedef void rk_object_list_fn(void *ctx, enum rk_status st,
                               const struct rk_object *objects, size_t len,
                               int64_t revision);
/* version is the object's new version if st is RK_OK. */
typedef void rk_object_write_fn(void *ctx, enum rk_status st, int64_t version);

/* base is the API's URL, "http://ip:port"; it is copied. http is borrowed. */
struct rk_objects *rk_objects_create(struct rk_http *http, const char *base);

/* Frees the client. Calls in flight are not cancelled; they do not use it. */
void rk_objects_destroy(struct rk_objects *o);

/* Reads one object. */
void rk_objects_read(struct rk_objects *o, const char *name, rk_object_read_fn *fn,
                     void *ctx);

/* Lists the objects under a prefix in order of their names, from the first name
 * that sorts after the name `after` ("" lists all). */
void rk_objects_list(struct rk_objects *o, const char *prefix, const char *after,
                     rk_object_list_fn *fn, void *ctx);

/* Waits up to wait_ms for objects under a prefix that changed after the revision
 * since, and reports those. */
void rk_objects_watch(struct rk_objects *o, const char *prefix, int64_t since,
                      int64_t wait_ms, rk_object_list_fn *fn, void *ctx);

/* Writes an object if its version is still expected_version, or if it does not
 * exist and expected_version is 0. RK_ECONFLICT: the condition does not hold. */
void rk_objects_write(struct rk_objects *o, const char *name,
                      int64_t expected_version, const char *value,
                      rk_object_write_fn *fn, void *ctx);

#endif
