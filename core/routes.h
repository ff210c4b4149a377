/* One version of a deployment's routes: which service a request goes to, what
 * may be repeated, how long it may take, whose keys are known. Immutable once
 * finished; shared by reference between threads. */
#ifndef RK_CORE_ROUTES_H
#define RK_CORE_ROUTES_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "core/names.h"
#include "common/util.h"

#define RK_ROUTE_SHARES  8
#define RK_ROUTE_TEXT    128
#define RK_DOMAIN_PRICES 16

/* What may be repeated. */
enum rk_call_kind {
    RK_CALL_REPEATABLE, /* may run more than once */
    RK_CALL_ONCE,       /* at most once for each request id */
    RK_CALL_STREAM,     /* events; at most once unless it may be resumed */
};

/* A part of a route's calls goes to a service. */
struct rk_route_share {
    char service[RK_ID_MAX];
    uint32_t weight;
};

struct rk_route {
    char name[RK_ID_MAX];
    char host[RK_ROUTE_TEXT];
    char prefix[RK_ROUTE_TEXT]; /* of the path */
    uint32_t host_hash;
    size_t prefix_len;
    enum rk_call_kind kind;
    bool resumable; /* a stream may go on at another vm */
    bool anonymous; /* needs no key */
    int64_t timeout_ms;
    int64_t target_ms; /* to the first byte */
    int64_t gap_ms;    /* longest pause between events in time; 0: none told */
    int rank;          /* 0 is the most urgent */
    int max_attempts;  /* vms that one request may be sent to */
    struct rk_route_share shares[RK_ROUTE_SHARES];
    size_t shares_len;
};

/* What vms of a service cost in a failure domain. */
struct rk_domain_price {
    char domain[RK_ID_MAX];
    double price;
};

struct rk_service_info {
    char name[RK_ID_MAX];
    int64_t max_conns; /* that one vm takes from all callers */
    bool engine;
    int64_t slots;     /* calls at once, of an engine */
    int64_t kv_tokens; /* its memory */
    bool moves;        /* its engines copy each other's memory: parts and runs */
    bool scaled;       /* its vms are ordered by this system */
    int64_t min_vms, max_vms; /* a failure domain */
    int64_t boot_ms;
    double spot_price; /* of a reclaimable vm, in prices of the others */
    struct rk_domain_price prices[RK_DOMAIN_PRICES];
    size_t prices_len;
};

/* An organisation and its quota. */
struct rk_org_info {
    char name[RK_ID_MAX]; /* first: see core/names.h */
    int rank;             /* -1: the route's counts */
    double rate;          /* units a second; 0: no limit */
    double burst;         /* units on top */
    bool counts_tokens;   /* else a request is one unit */
    int64_t plain_units;  /* of a request that names no tokens */
};

struct rk_org_key {
    char key[RK_ROUTE_TEXT];
    uint64_t hash;
    size_t org;
};

/* What a caller may send, and how long it may take. */
struct rk_caller_limits {
    int64_t header_bytes;
    int64_t body_bytes;
    int64_t header_ms;
    int64_t idle_ms;
};

struct rk_routes {
    atomic_int refs;
    int64_t version;
    struct rk_caller_limits limits;
    struct rk_route *routes;
    size_t routes_len, routes_cap;
    struct rk_service_info *services;
    size_t services_len, services_cap;
    struct rk_org_info *orgs;
    size_t orgs_len, orgs_cap;
    struct rk_names org_names; /* of orgs, once finished */
    struct rk_org_key *keys;   /* sorted by hash once finished */
    size_t keys_len, keys_cap;
    bool keyed; /* organisations exist, so keys are asked for */
};

/* Making: add, then finish. Pointers are valid until the next add. */
struct rk_routes *rk_routes_create(void);
struct rk_route *rk_routes_add(struct rk_routes *r);
struct rk_service_info *rk_routes_add_service(struct rk_routes *r);
struct rk_org_info *rk_routes_add_org(struct rk_routes *r);
struct rk_org_key *rk_routes_add_key(struct rk_routes *r);

/* Check and index. RK_EINVAL with a last message when it can't be used. */
enum rk_status rk_routes_finish(struct rk_routes *r);

struct rk_routes *rk_routes_ref(struct rk_routes *r);
void rk_routes_unref(struct rk_routes *r); /* NULL is allowed */

/* The route of a host (a port behind it is passed over) whose prefix is the
 * longest that begins the path; NULL: none. */
const struct rk_route *rk_routes_find(const struct rk_routes *r, const char *host,
                                      const char *path);

const struct rk_service_info *rk_routes_service(const struct rk_routes *r,
                                                const char *name);

/* Who holds a key; NULL: nobody. */
const struct rk_org_info *rk_routes_org_of_key(const struct rk_routes *r,
                                               const char *key);
const struct rk_org_info *rk_routes_org(const struct rk_routes *r,
                                        const char *name);
/* Tokens a second that the quotas of all organisations come to; INFINITY: some have
 * none, or count requests. */
double rk_routes_quotas_per_s(const struct rk_routes *r);

/* The service for one call, by the shares' weights. pick: any number. */
const char *rk_route_service(const struct rk_route *route, uint32_t pick);

#endif
