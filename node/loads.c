/* Calls in flight, VMs' health and demand at the other nodes. They come from the
 * reports of each of them, or from a bridge's digest of the fleet, which includes
 * this node's own share. */
#include <math.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"

void rk_loads_encode(Rillknot__VmUse *out, struct rk_vm_load *load)
{
    rillknot__vm_use__init(out);
    out->id = load->id;
    out->running = load->running;
    out->waiting_tokens = load->waiting_tokens;
    out->pace_log_sum = (float)load->health.log_sum;
    out->pace_failed = (float)load->health.failed;
    out->pace_calls = (float)load->health.calls;
    out->pace_refused = (float)load->health.refused;
    out->life = load->incarnation;
}

static struct rk_vm_health decode_health(const Rillknot__VmUse *from)
{
    const struct rk_vm_health health = {.log_sum = from->pace_log_sum,
                                        .failed = from->pace_failed,
                                        .calls = from->pace_calls,
                                        .refused = from->pace_refused};
    if (rk_vm_health_is_valid(&health))
        return health;
    RK_WARN("pace.rejected", RK_S("vm", from->id));
    return (struct rk_vm_health){0};
}

void rk_loads_decode(struct rk_vm_load **loads, size_t *len, Rillknot__VmUse **from,
                     size_t from_len)
{
    *loads = rk_realloc(*loads, (from_len + 1) * sizeof(**loads));
    *len = from_len;
    for (size_t i = 0; i < from_len; i++) {
        struct rk_vm_load *load = &(*loads)[i];
        *load = (struct rk_vm_load){.incarnation = from[i]->life,
                                    .running = from[i]->running,
                                    .waiting_tokens = from[i]->waiting_tokens,
                                    .health = decode_health(from[i])};
        rk_strcpy(load->id, sizeof(load->id), from[i]->id);
    }
}

void rk_loads_sum(struct rk_vm_load *sum, const struct rk_vm_load *more)
{
    sum->running += more->running;
    sum->waiting_tokens += more->waiting_tokens;
    rk_vm_health_accumulate(&sum->health, &more->health);
}

static void append_loads(struct rk_relay_peers *p, const struct rk_vm_load *loads,
                         size_t len)
{
    p->loads = rk_realloc(p->loads, (p->loads_len + len + 1) * sizeof(*p->loads));
    if (len)
        memcpy(p->loads + p->loads_len, loads, len * sizeof(*loads));
    p->loads_len += len;
}

/* Subtracts this node's share from a sum, down to 0: the sum may be older than the
 * share. */
static void subtract(struct rk_vm_load *sum, const struct rk_vm_load *own)
{
    sum->running -= own->running < sum->running ? own->running : sum->running;
    sum->waiting_tokens = fmax(0, sum->waiting_tokens - own->waiting_tokens);
    sum->health.calls = fmax(0, sum->health.calls - own->health.calls);
    sum->health.failed = fmax(0, sum->health.failed - own->health.failed);
    sum->health.refused = fmax(0, sum->health.refused - own->health.refused);
    sum->health.log_sum =
        sum->health.calls > 0 ? sum->health.log_sum - own->health.log_sum : 0;
}

static void subtract_own(const struct rk_mesh *m, struct rk_relay_peers *p)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->loads_len; i++) {
        const struct rk_vm_load *own = &r->loads[i];
        for (size_t j = 0; j < p->loads_len; j++) {
            struct rk_vm_load *sum = &p->loads[j];
            if (strcmp(sum->id, own->id) != 0)
                continue;
            subtract(sum, own);
        }
    }
}

/* Returns whether a member's own report is counted for load and demand. For quota
 * usage, see rk_report_is_counted(). */
static bool is_report_counted(const struct member *k, int64_t now_ms)
{
    return rk_mesh_is_reachable_directly(k, now_ms) &&
           (k->m->direct || rk_mesh_is_same_domain(k));
}

void rk_loads_fill(const struct rk_mesh *m, struct rk_relay_peers *p,
                   int64_t now_ms)
{
    const struct member *source = rk_digest_fleet_source(m, now_ms);
    if (source) {
        append_loads(p, source->digest.loads, source->digest.loads_len);
        subtract_own(m, p);
        return;
    }
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (is_report_counted(k, now_ms))
            append_loads(p, k->loads, k->loads_len);
        else if (!m->direct && rk_digest_is_counted(k, now_ms))
            append_loads(p, k->digest.loads, k->digest.loads_len);
    }
}

static struct rk_in_flight in_flight_of(const struct rk_service_load *services,
                                        size_t len, const char *service)
{
    const struct rk_service_load *use =
        rk_service_load_find(services, len, service);
    return use ? (struct rk_in_flight){use->running, use->begun}
               : (struct rk_in_flight){0};
}

static void add_in_flight(struct rk_in_flight *sum, struct rk_in_flight more)
{
    sum->running += more.running;
    sum->begun += more.begun;
}

static uint32_t saturating_sub(uint32_t all, uint32_t own)
{
    return all > own ? all - own : 0;
}

struct rk_in_flight rk_loads_in_flight(const struct rk_mesh *m, const char *service,
                                       int64_t now_ms)
{
    const struct rk_relay_report *r = m->n->report;
    const struct member *source = rk_digest_fleet_source(m, now_ms);
    struct rk_in_flight sum = {0};
    if (source) {
        struct rk_in_flight own = {0};
        sum = in_flight_of(source->digest.services, source->digest.services_len,
                           service);
        if (r)
            own = in_flight_of(r->services, r->services_len, service);
        return (struct rk_in_flight){saturating_sub(sum.running, own.running),
                                     saturating_sub(sum.begun, own.begun)};
    }
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (is_report_counted(k, now_ms))
            add_in_flight(&sum,
                          in_flight_of(k->services, k->services_len, service));
        else if (!m->direct && rk_digest_is_counted(k, now_ms))
            add_in_flight(&sum, in_flight_of(k->digest.services,
                                             k->digest.services_len, service));
    }
    return sum;
}

void rk_loads_add_demand(const struct rk_mesh *m, bool fleet,
                         struct rk_org_demands *sum, int64_t now_ms)
{
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (is_report_counted(k, now_ms))
            rk_org_demands_add(sum, k->uses.rows, k->uses.len, 1);
        else if (fleet && !m->direct && rk_digest_is_counted(k, now_ms))
            rk_org_demands_add(sum, k->digest.uses.rows, k->digest.uses.len, 1);
    }
}

void rk_loads_add_peer_demand(const struct rk_mesh *m, struct rk_org_demands *sum,
                              int64_t now_ms)
{
    const struct rk_relay_report *r = m->n->report;
    const struct member *source = rk_digest_fleet_source(m, now_ms);
    if (!source) {
        rk_loads_add_demand(m, true, sum, now_ms);
        return;
    }
    rk_org_demands_add(sum, source->digest.uses.rows, source->digest.uses.len, 1);
    if (r)
        rk_org_demands_add(sum, r->quota_usage, r->quota_usage_len, -1);
    rk_org_demands_clamp(sum); /* own demand may have risen since that digest */
}

void rk_mesh_add_demand(const struct rk_mesh *m, struct rk_org_demands *sum)
{
    const struct rk_relay_report *r = m->n->report;
    rk_loads_add_peer_demand(m, sum, rk_mono_ms());
    if (r)
        rk_org_demands_add(sum, r->quota_usage, r->quota_usage_len, 1);
}
