#include "core/routes.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

struct rk_routes *rk_routes_create(void)
{
    struct rk_routes *r = rk_alloc(1, sizeof(*r));
    atomic_store(&r->refs, 1);
    return r;
}

/* Appends a zeroed row of size bytes to an array, which may move, and returns the
 * array. */
static void *append_row(void *items, size_t *len, size_t *cap, size_t size)
{
    if (*len == *cap) {
        *cap = *cap ? *cap * 2 : 8;
        items = rk_realloc(items, *cap * size);
    }
    memset((char *)items + *len * size, 0, size);
    (*len)++;
    return items;
}

struct rk_route *rk_routes_add_route(struct rk_routes *r)
{
    r->routes =
        append_row(r->routes, &r->routes_len, &r->routes_cap, sizeof(*r->routes));
    return &r->routes[r->routes_len - 1];
}

struct rk_service_info *rk_routes_add_service(struct rk_routes *r)
{
    r->services = append_row(r->services, &r->services_len, &r->services_cap,
                             sizeof(*r->services));
    return &r->services[r->services_len - 1];
}

struct rk_org_info *rk_routes_add_org(struct rk_routes *r)
{
    r->orgs = append_row(r->orgs, &r->orgs_len, &r->orgs_cap, sizeof(*r->orgs));
    r->keys_required = true;
    return &r->orgs[r->orgs_len - 1];
}

struct rk_org_key *rk_routes_add_key(struct rk_routes *r)
{
    r->keys = append_row(r->keys, &r->keys_len, &r->keys_cap, sizeof(*r->keys));
    return &r->keys[r->keys_len - 1];
}

struct rk_routes *rk_routes_ref(struct rk_routes *r)
{
    atomic_fetch_add(&r->refs, 1);
    return r;
}

void rk_routes_unref(struct rk_routes *r)
{
    if (!r || atomic_fetch_sub(&r->refs, 1) > 1)
        return;
    free(r->routes);
    free(r->services);
    free(r->orgs);
    rk_name_index_free(&r->org_names);
    free(r->keys);
    free(r);
}

/* Returns the hash of a host name in lower case, without its port. */
static uint32_t host_hash(const char *host)
{
    char lower[RK_ROUTE_TEXT_MAX];
    size_t n = 0;
    while (host[n] && host[n] != ':' && n < sizeof(lower) - 1) {
        char c = host[n];
        lower[n++] = (char)(c >= 'A' && c <= 'Z' ? c - 'A' + 'a' : c);
    }
    return (uint32_t)rk_hash(0, lower, n);
}

static int compare_key_hashes(const void *a, const void *b)
{
    uint64_t x = ((const struct rk_org_key *)a)->hash;
    uint64_t y = ((const struct rk_org_key *)b)->hash;
    return x < y ? -1 : x > y;
}

static enum rk_status check_route(const struct rk_routes *r, struct rk_route *route)
{
    if (!route->host[0] || route->prefix[0] != '/')
        return rk_fail(RK_EINVAL, "route %s: expected a host and a path prefix",
                       route->name);
    if (!route->shares_len)
        return rk_fail(RK_EINVAL, "route %s: expected a service", route->name);
    for (size_t i = 0; i < route->shares_len; i++)
        if (!rk_routes_service(r, route->shares[i].service))
            return rk_fail(RK_EINVAL, "route %s: no service %s", route->name,
                           route->shares[i].service);
    if (route->timeout_ms <= 0 || route->max_attempts < 1)
        return rk_fail(RK_EINVAL, "route %s: expected a timeout and attempts",
                       route->name);
    return RK_OK;
}

enum rk_status rk_routes_finish(struct rk_routes *r)
{
    const struct rk_caller_limits *l = &r->limits;
    if (l->header_bytes <= 0 || l->body_bytes < 0 || l->header_ms <= 0 ||
        l->idle_ms <= 0)
        return rk_fail(RK_EINVAL, "limits: expected positive numbers");
    for (size_t i = 0; i < r->routes_len; i++) {
        struct rk_route *route = &r->routes[i];
        enum rk_status st = check_route(r, route);
        if (st != RK_OK)
            return st;
        route->host_hash = host_hash(route->host);
        route->prefix_len = strlen(route->prefix);
    }
    for (size_t i = 0; i < r->orgs_len; i++)
        rk_name_index_add(&r->org_names, r->orgs, sizeof(*r->orgs), i);
    for (size_t i = 0; i < r->keys_len; i++)
        r->keys[i].hash = rk_hash_str(0, r->keys[i].key);
    if (r->keys_len)
        qsort(r->keys, r->keys_len, sizeof(*r->keys), compare_key_hashes);
    return RK_OK;
}

/* Compares without case; host may have a port. */
static bool same_host(const char *route_host, const char *host)
{
    size_t len = strlen(route_host);
    return !strncasecmp(route_host, host, len) &&
           (host[len] == '\0' || host[len] == ':');
}

const struct rk_route *rk_routes_find(const struct rk_routes *r, const char *host,
                                      const char *path)
{
    const struct rk_route *best = NULL;
    uint32_t hash = host_hash(host);
    for (size_t i = 0; i < r->routes_len; i++) {
        const struct rk_route *route = &r->routes[i];
        if (route->host_hash != hash ||
            (best && best->prefix_len >= route->prefix_len))
            continue;
        if (!strncmp(path, route->prefix, route->prefix_len) &&
            same_host(route->host, host))
            best = route;
    }
    return best;
}

const struct rk_service_info *rk_routes_service(const struct rk_routes *r,
                                                const char *name)
{
    for (size_t i = 0; i < r->services_len; i++)
        if (!strcmp(r->services[i].name, name))
            return &r->services[i];
    return NULL;
}

const struct rk_org_info *rk_routes_org_of_key(const struct rk_routes *r,
                                               const char *key)
{
    uint64_t hash = rk_hash_str(0, key);
    size_t low = 0, high = r->keys_len;
    while (low < high) {
        size_t mid = (low + high) / 2;
        if (r->keys[mid].hash < hash)
            low = mid + 1;
        else
            high = mid;
    }
    for (; low < r->keys_len && r->keys[low].hash == hash; low++)
        if (!strcmp(r->keys[low].key, key))
            return &r->orgs[r->keys[low].org];
    return NULL;
}

const struct rk_org_info *rk_routes_org(const struct rk_routes *r, const char *name)
{
    size_t at = rk_name_index_find(&r->org_names, r->orgs, sizeof(*r->orgs), name);
    return at == RK_NO_ROW ? NULL : &r->orgs[at];
}

double rk_routes_quota_tokens_per_s(const struct rk_routes *r)
{
    double sum = r->orgs_len ? 0 : INFINITY;
    for (size_t i = 0; i < r->orgs_len; i++) {
        const struct rk_org_info *org = &r->orgs[i];
        sum += org->rate > 0 && org->counts_tokens ? org->rate : INFINITY;
    }
    return sum;
}

const char *rk_route_pick_service(const struct rk_route *route, uint32_t pick)
{
    uint64_t total = 0;
    for (size_t i = 0; i < route->shares_len; i++)
        total += route->shares[i].weight;
    if (!total)
        return route->shares[0].service;
    uint64_t at = pick % total;
    for (size_t i = 0; i < route->shares_len; i++) {
        if (at < route->shares[i].weight)
            return route->shares[i].service;
        at -= route->shares[i].weight;
    }
    return route->shares[0].service;
}

static bool is_resumable(const struct rk_route *route)
{
    return route->kind == RK_CALL_STREAM && route->resumable;
}

static bool same_hosts(const struct rk_route *a, const struct rk_route *b)
{
    return a->host_hash == b->host_hash && !strcasecmp(a->host, b->host);
}

/* Returns whether no request reaches a route, because an earlier one has the same
 * host and prefix. */
static bool is_shadowed(const struct rk_routes *r, const struct rk_route *route)
{
    for (const struct rk_route *earlier = r->routes; earlier < route; earlier++)
        if (same_hosts(earlier, route) && !strcmp(earlier->prefix, route->prefix))
            return true;
    return false;
}

/* Returns whether requests of a route would go to another one if it was gone. */
static bool falls_back_to(const struct rk_route *route,
                          const struct rk_route *other)
{
    size_t len = strlen(other->prefix);
    return other != route && same_hosts(other, route) &&
           !strncmp(route->prefix, other->prefix, len) && route->prefix[len];
}

static uint64_t hash_shares(uint64_t hash, const struct rk_route *route)
{
    for (size_t i = 0; i < route->shares_len; i++) {
        const struct rk_route_share *share = &route->shares[i];
        hash = rk_hash_str(hash, share->service);
        hash = rk_hash(hash, &share->weight, sizeof(share->weight));
    }
    return hash;
}

/* Adds to the hashes of the services of a route. Sums, as the order in which routes
 * are listed has no meaning. */
static void add_to_services(const struct rk_routes *r, const struct rk_route *route,
                            uint64_t value, uint64_t *hashes)
{
    for (size_t i = 0; i < route->shares_len; i++) {
        const struct rk_service_info *service =
            rk_routes_service(r, route->shares[i].service);
        if (service)
            hashes[service - r->services] += value;
    }
}

uint64_t *rk_routes_resumable_hashes(const struct rk_routes *r)
{
    uint64_t *hashes = rk_alloc(r->services_len + 1, sizeof(*hashes));
    for (size_t i = 0; i < r->routes_len; i++) {
        const struct rk_route *route = &r->routes[i];
        if (!is_resumable(route) || is_shadowed(r, route))
            continue;
        uint64_t requests = rk_hash_str(rk_hash_str(0, route->host), route->prefix);
        add_to_services(r, route, hash_shares(requests, route), hashes);
        for (size_t j = 0; j < r->routes_len; j++)
            if (is_resumable(&r->routes[j]) && falls_back_to(route, &r->routes[j]))
                add_to_services(r, &r->routes[j], requests, hashes);
    }
    for (size_t i = 0; i < r->services_len; i++)
        hashes[i] &= INT64_MAX;
    return hashes;
}
