/* What a platform's driver gives a node: names of headers, where settings and
 * vms lie in the store, how they are read, and clients of the store and of the
 * cloud API. It translates; it decides nothing and keeps nothing. */
#ifndef RK_NODE_PLATFORM_H
#define RK_NODE_PLATFORM_H

#include "core/dialect.h"
#include "core/place.h"
#include "core/rollout.h"
#include "core/routes.h"

struct json_object;
struct rk_http;
struct rk_store;
struct rk_duties;

struct rk_platform {
    const char *name; /* word of the process file */
    const struct rk_dialect *dialect;
    const char *settings_kind, *settings_name; /* the object with the routes */
    const char *vms_kind;
    const char *rollouts_kind; /* an object a service, by its name */
    /* RK_EINVAL with a last message when it can't be used. */
    enum rk_status (*parse_routes)(struct json_object *spec,
                                   struct rk_routes **out);
    /* The same, when the entry names no vm that can be used. */
    enum rk_status (*parse_vm)(const char *name, struct json_object *spec,
                               struct rk_vm_row *out);
    bool (*parse_rollout)(struct json_object *spec, struct json_object *status,
                          struct rk_rollout_order *out);
    void (*rollout_status)(const char *version, enum rk_rollout_state state,
                           struct rk_buf *out);
    struct rk_store *(*create_store)(struct rk_http *http, const char *addr);
    struct rk_duties *(*create_duties)(struct rk_http *http, const char *addr);
};

/* The driver of a name; NULL: there is none. */
const struct rk_platform *rk_platform_find(const char *name);

#endif
