/* The interface of a platform's driver: the platform's header names, the kinds of
 * its store's objects, parsers of their contents, and clients of its store and of
 * its cloud API. A driver only translates. It makes no decisions and holds no state
 * besides that of the clients. */
#ifndef RK_NODE_PLATFORM_H
#define RK_NODE_PLATFORM_H

#include "core/dialect.h"
#include "core/place.h"
#include "core/rollout.h"
#include "core/routes.h"

struct json_object;
struct rk_http;
struct rk_store;
struct rk_leader_api;

struct rk_platform {
    const char *name; /* value of "dialect" in the process file */
    const struct rk_dialect *dialect;
    const char *settings_kind, *settings_name; /* of the object with the routes */
    const char *vms_kind;                      /* one object for each VM */
    const char *rollouts_kind; /* one object for each service, named after it */
    /* Parses the contents of the settings object. The caller owns *out. Returns
     * RK_EINVAL and sets rk_last_error() if they are invalid. */
    enum rk_status (*parse_routes)(struct json_object *spec,
                                   struct rk_routes **out);
    /* Parses a VM's object. Returns RK_EINVAL and sets rk_last_error() if it
     * doesn't describe a usable VM. */
    enum rk_status (*parse_vm)(const char *name, struct json_object *spec,
                               struct rk_vm_row *out);
    /* Parses a rollout order and its recorded state. Returns false if they are
     * invalid. */
    bool (*parse_rollout)(struct json_object *spec, struct json_object *status,
                          struct rk_rollout_order *out);
    /* Appends the JSON text that records a rollout's state to out. */
    void (*format_rollout_status)(const char *version, enum rk_rollout_state state,
                                  struct rk_buf *out);
    /* Create clients for the address "ip:port"; the caller destroys them by their
     * ops->destroy. */
    struct rk_store *(*create_store)(struct rk_http *http, const char *addr);
    struct rk_leader_api *(*create_leader_api)(struct rk_http *http,
                                               const char *addr);
};

/* Returns the driver with a name, statically allocated; NULL: there is none. */
const struct rk_platform *rk_platform_find(const char *name);

#endif
