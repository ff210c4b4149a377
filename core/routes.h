/* One version of a deployment's routing table: the service that a request goes to,
 * whether the request may be sent again, its time limits, and the organisations
 * with their API keys and quotas. Immutable after rk_routes_finish(); threads share
 * it by reference count. */
#ifndef RK_CORE_ROUTES_H
#define RK_CORE_ROUTES_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "core/name_index.h"
#include "common/util.h"

#define RK_ROUTE_SHARES_MAX  8   /* services of a route */
#define RK_ROUTE_TEXT_MAX    256 /* bytes of a text, the NUL included */
#define RK_DOMAIN_PRICES_MAX 16  /* failure domains with a price */

/* How often a call may run. */
enum rk_call_kind {
    RK_CALL_REPEATABLE, /* more than once */
    RK_CALL_ONCE,       /* at most once per request id */
    RK_CALL_STREAM,     /* a stream of events: once, unless it is resumable */
    RK_CALL_KINDS
};

/* A service that gets a share of a route's calls. */
struct rk_route_share {
    char service[RK_ID_MAX];
    uint32_t weight;
};

struct rk_route {
    char name[RK_ID_MAX];
    char host[RK_ROUTE_TEXT_MAX];
    char prefix[RK_ROUTE_TEXT_MAX]; /* of the path */
    uint32_t host_hash;             /* set by rk_routes_finish() */
    size_t prefix_len;              /* set by rk_routes_finish() */
    enum rk_call_kind kind;
    bool resumable;     /* a stream may be continued at another VM */
    bool anonymous;     /* calls need no API key */
    int64_t timeout_ms; /* longest time that a call may take */
    int64_t
        target_first_byte_ms; /* target for the time to the first byte; 0: none */
    int64_t
        target_gap_ms; /* target for the longest pause between events; 0: none */
    int rank;          /* 0 is the most urgent */
    int max_attempts;  /* VMs that one request may be sent to */
    struct rk_route_share shares[RK_ROUTE_SHARES_MAX];
    size_t shares_len;
};

/* The price of a service's VMs in a failure domain. */
struct rk_domain_price {
    char domain[RK_ID_MAX];
    double price;
};

/* A service, and how this system scales it. */
struct rk_service_info {
    char name[RK_ID_MAX];
    char health_path[RK_ROUTE_TEXT_MAX]; /* at which a VM tells its state; "": none
                                          */
    int64_t max_conns; /* connections that one VM accepts from all nodes */
    bool engine;       /* its VMs are model engines */
    int64_t slots;     /* calls that an engine runs at once */
    int64_t kv_tokens; /* tokens that fit an engine's KV cache */
    bool can_move_kv; /* its engines copy each other's KV caches: of prompt segments
                   and of streams that move */
    bool autoscaled;  /* this system orders its VMs */
    int64_t min_vms, max_vms; /* per failure domain */
    int64_t boot_ms;          /* time that a VM takes to start */
    double spot_price_ratio;  /* of a reclaimable VM, relative to an on-demand VM */
    struct rk_domain_price prices[RK_DOMAIN_PRICES_MAX];
    size_t prices_len;
};

/* An organisation and its quota. */
struct rk_org_info {
    char name[RK_ID_MAX]; /* must be the first member, for org_names */
    int rank;             /* of its calls; -1: that of the route */
    double rate;          /* quota in units/s; 0: no limit */
    double burst;         /* units above the rate */
    bool counts_tokens;   /* units are tokens; otherwise each request is one unit */
    int64_t default_units; /* units of a request that doesn't state its tokens */
};

/* An API key of an organisation. */
struct rk_org_key {
    char key[RK_ROUTE_TEXT_MAX];
    uint64_t hash; /* of the key; set by rk_routes_finish() */
    size_t org;    /* index in orgs */
};

/* Limits on what a caller may send. */
struct rk_caller_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_ms; /* longest time until the whole header is received */
    int64_t idle_ms;   /* longest silence between requests and within a body */
};

/* A routing table. Its arrays are filled by rk_routes_add_route() and the like. */
struct rk_routes {
    atomic_int refs;
    int64_t version; /* of the settings it was made from */
    struct rk_caller_limits limits;
    struct rk_route *routes;
    size_t routes_len, routes_cap;
    struct rk_service_info *services;
    size_t services_len, services_cap;
    struct rk_org_info *orgs;
    size_t orgs_len, orgs_cap;
    struct rk_name_index
        org_names;           /* index of orgs; filled by rk_routes_finish() */
    struct rk_org_key *keys; /* rk_routes_finish() sorts them by hash */
    size_t keys_len, keys_cap;
    bool keys_required; /* there are organisations: calls need an API key, unless
                   their route is anonymous */
};

/* Returns an empty table with one reference: the caller adds and fills rows, sets
 * limits and version, and calls rk_routes_finish(). */
struct rk_routes *rk_routes_create(void);
/* Each of these appends a zeroed row and returns it. The pointer is valid until the
 * next row of the same kind is added. */
struct rk_route *rk_routes_add_route(struct rk_routes *r);
struct rk_service_info *rk_routes_add_service(struct rk_routes *r);
struct rk_org_info *rk_routes_add_org(struct rk_routes *r);
struct rk_org_key *rk_routes_add_key(struct rk_routes *r);

/* Checks the table and builds its indices. Returns RK_EINVAL, with rk_last_error()
 * set, if the table can't be used. */
enum rk_status rk_routes_finish(struct rk_routes *r);

/* Adds a reference and returns r. Any thread. */
struct rk_routes *rk_routes_ref(struct rk_routes *r);
/* Drops a reference and frees the table with the last one. Any thread; NULL is
 * allowed. */
void rk_routes_unref(struct rk_routes *r);

/* Returns the route of a host with the longest prefix that the path begins with;
 * NULL: none. A port after the host name is ignored. This look-up and those below
 * return pointers into the table. */
const struct rk_route *rk_routes_find(const struct rk_routes *r, const char *host,
                                      const char *path);

/* Returns a service by name; NULL: unknown. */
const struct rk_service_info *rk_routes_service(const struct rk_routes *r,
                                                const char *name);

/* Returns the organisation that an API key belongs to; NULL: unknown key. */
const struct rk_org_info *rk_routes_org_of_key(const struct rk_routes *r,
                                               const char *key);
/* Returns an organisation by name; NULL: unknown. */
const struct rk_org_info *rk_routes_org(const struct rk_routes *r,
                                        const char *name);
/* Returns the sum of all organisations' quotas in tokens/s; INFINITY if an
 * organisation has no quota or one that counts requests, or if there are no
 * organisations. */
double rk_routes_quota_tokens_per_s(const struct rk_routes *r);

/* Returns the service for one call, chosen in proportion to the weights. pick: a
 * random number or a hash; equal numbers give the same service. */
const char *rk_route_pick_service(const struct rk_route *route, uint32_t pick);

/* Returns a hash for each of r->services, from 0 to INT64_MAX, of which requests
 * for streams that can be taken up go there, and of which would if another route
 * was gone. 0: none do. The caller frees the array. */
uint64_t *rk_routes_resumable_hashes(const struct rk_routes *r);

#endif
