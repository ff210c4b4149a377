/* What the relay knows of the services that calls were made to, beside their VMs.
 */
#include <string.h>

#include "serve/relay_call.h"

/* A service that leaves the settings and returns gets no new burst of retries
 * within this time. */
#define SERVICE_KEPT_MS 60000

static struct rk_relay_service *find_service(const struct rk_relay *r,
                                             const char *name)
{
    for (size_t i = 0; i < r->services_len; i++)
        if (!strcmp(r->services[i].name, name))
            return &r->services[i];
    return NULL;
}

struct rk_relay_service *rk_relay_get_service(struct rk_relay *r, const char *name)
{
    struct rk_relay_service *found = find_service(r, name);
    if (found)
        return found;
    if (r->services_len == r->services_cap) {
        r->services_cap = r->services_cap ? r->services_cap * 2 : 8;
        r->services =
            rk_realloc(r->services, r->services_cap * sizeof(*r->services));
    }
    struct rk_relay_service *s = &r->services[r->services_len++];
    *s = (struct rk_relay_service){0};
    rk_strcpy(s->name, sizeof(s->name), name);
    return s;
}

int64_t rk_relay_expected_duration_ms(const struct rk_relay *r,
                                      const struct rk_route *route)
{
    int64_t longest_ms = -1;
    for (size_t i = 0; i < route->shares_len; i++) {
        const struct rk_relay_service *s =
            find_service(r, route->shares[i].service);
        int64_t ms = s ? rk_duration_expected_ms(&s->durations[route->kind]) : -1;
        if (ms > longest_ms)
            longest_ms = ms;
    }
    return longest_ms;
}

void rk_relay_note_duration(struct rk_relay *r, const char *service,
                            enum rk_call_kind kind, int64_t ms)
{
    rk_duration_add(&rk_relay_get_service(r, service)->durations[kind], ms);
}

void rk_relay_remove_services(struct rk_relay *r)
{
    int64_t now_ms = rk_mono_ms();
    size_t kept = 0;
    for (size_t i = 0; i < r->services_len; i++) {
        struct rk_relay_service s = r->services[i];
        if (rk_routes_service(r->routes, s.name))
            s.left_ms = 0;
        else if (!s.left_ms)
            s.left_ms = now_ms;
        if (!s.left_ms || now_ms - s.left_ms < SERVICE_KEPT_MS)
            r->services[kept++] = s;
    }
    r->services_len = kept;
}
