/* Estimates of the engines' speed by service. Nodes report theirs with their use of
 * the service; the estimates are merged here and passed to the relay, which uses
 * them until its own calls have given it better ones. */
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"

void rk_engines_encode(Rillknot__EngineEstimate *out,
                       const struct rk_engine_estimate *e)
{
    rillknot__engine_estimate__init(out);
    out->fixed_ms = (float)e->fixed_ms;
    out->ktoken_ms = (float)e->ktoken_ms;
    out->calm_ktoken_ms = (float)e->unloaded_ktoken_ms;
    out->running_ms = (float)e->running_ms;
    out->error_ms = (float)e->error_ms;
    out->samples = (float)e->samples;
}

struct rk_engine_estimate rk_engines_decode(const Rillknot__EngineEstimate *in)
{
    struct rk_engine_estimate e = {0};
    if (!in)
        return e;
    e = (struct rk_engine_estimate){.fixed_ms = in->fixed_ms,
                                    .ktoken_ms = in->ktoken_ms,
                                    .unloaded_ktoken_ms = in->calm_ktoken_ms,
                                    .running_ms = in->running_ms,
                                    .error_ms = in->error_ms,
                                    .samples = in->samples};
    if (rk_engine_is_valid(&e))
        return e;
    RK_WARN("engines.rejected", RK_S("from", "peer"));
    return (struct rk_engine_estimate){0};
}

static void merge_service(struct rk_engine_estimate *sum,
                          const struct rk_service_load *services, size_t len,
                          const char *service)
{
    const struct rk_service_load *use =
        rk_service_load_find(services, len, service);
    if (use)
        rk_engine_merge(sum, &use->engine);
}

/* Merges the estimates of this node and of the reachable nodes of its domain; in a
 * small fleet, of all reachable nodes. */
static void merge_domain(struct rk_engine_estimate *sum, const struct rk_mesh *m,
                         const char *service, int64_t now_ms)
{
    const struct rk_relay_report *r = m->n->report;
    if (r)
        merge_service(sum, r->services, r->services_len, service);
    for (const struct member *k = m->contacts; k; k = k->next_contact)
        if (rk_mesh_is_reachable_directly(k, now_ms) &&
            (m->direct || rk_mesh_is_same_domain(k)))
            merge_service(sum, k->services, k->services_len, service);
}

struct rk_engine_estimate rk_engines_mean(const struct rk_mesh *m,
                                          const char *service, bool fleet)
{
    struct rk_engine_estimate sum = {0};
    int64_t now_ms = rk_mono_ms();
    const struct member *source = fleet ? rk_digest_fleet_source(m, now_ms) : NULL;
    if (source) {
        merge_service(&sum, source->digest.services, source->digest.services_len,
                      service);
        return sum;
    }
    merge_domain(&sum, m, service, now_ms);
    for (const struct member *k = m->contacts; k && fleet && !m->direct;
         k = k->next_contact)
        if (!rk_mesh_is_same_domain(k) && rk_digest_is_counted(k, now_ms))
            merge_service(&sum, k->digest.services, k->digest.services_len,
                          service);
    return sum;
}

void rk_engines_fill(const struct rk_mesh *m, struct rk_relay_peers *p)
{
    const struct rk_routes *routes = rk_sync_routes(m->n->sync);
    size_t len = routes ? routes->services_len : 0;
    p->services = rk_alloc(len + 1, sizeof(*p->services));
    for (size_t i = 0; i < len; i++) {
        if (!routes->services[i].engine)
            continue;
        struct rk_service_load *use = &p->services[p->services_len++];
        rk_strcpy(use->service, sizeof(use->service), routes->services[i].name);
        use->engine = rk_engines_mean(m, use->service, true);
    }
}
