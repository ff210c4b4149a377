/* Client of the platform's object API, and of what else the platform shows by
 * versions and waiting watches. Thin: names, versions, values in; status out.
 * The dialect lives here and nowhere else. Loop thread only. */
#ifndef RK_OBJECTS_OBJECTS_H
#define RK_OBJECTS_OBJECTS_H

#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct rk_http;
struct rk_objects;

#define RK_OBJECT_NAME_MAX 160

struct rk_object {
    char name[RK_OBJECT_NAME_MAX];
    int64_t version;
    const char *value; /* valid during the callback */
};

/* Ends of calls. RK_EUNKNOWN: the call may have taken effect; RK_EUNAVAILABLE:
 * it did not. */
typedef void rk_object_read_fn(void *ctx, enum rk_status st,
                               const struct rk_object *o);
typedef void rk_object_list_fn(void *ctx, enum rk_status st,
                               const struct rk_object *os, size_t len,
                               int64_t revision);
typedef void rk_object_write_fn(void *ctx, enum rk_status st, int64_t version);

/* base: "http://ip:port" */
struct rk_objects *rk_objects_create(struct rk_http *http, const char *base);
void rk_objects_destroy(struct rk_objects *o);

void rk_objects_read(struct rk_objects *o, const char *name, rk_object_read_fn *fn,
                     void *ctx);

/* All objects under a prefix, after a name ("" for all), in order of names. */
void rk_objects_list(struct rk_objects *o, const char *prefix, const char *after,
                     rk_object_list_fn *fn, void *ctx);

/* Wait until something under the prefix changes after a revision. */
void rk_objects_watch(struct rk_objects *o, const char *prefix, int64_t since,
                      int64_t wait_ms, rk_object_list_fn *fn, void *ctx);

/* expect 0: only if absent. RK_ECONFLICT when another version is there. */
void rk_objects_write(struct rk_objects *o, const char *name, int64_t expect,
                      const char *value, rk_object_write_fn *fn, void *ctx);

#endif
