/* What the other nodes have in hand, and are asked for, as far as this one is told:
 * by each of them, or by a bridge in one sum that holds this node's own part, too.
 */
#include <math.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/mesh_impl.h"

void rk_loads_put(Rillknot__VmUse *out, struct rk_vm_load *load)
{
    rillknot__vm_use__init(out);
    out->id = load->id;
    out->running = load->running;
    out->waiting_tokens = load->waiting_tokens;
    out->pace_log_sum = (float)load->pace.log_sum;
    out->pace_failed = (float)load->pace.failed;
    out->pace_calls = (float)load->pace.calls;
    out->pace_refused = (float)load->pace.refused;
    out->life = load->life;
}

static struct rk_pace read_pace(const Rillknot__VmUse *told)
{
    const struct rk_pace pace = {.log_sum = told->pace_log_sum,
                                 .failed = told->pace_failed,
                                 .calls = told->pace_calls,
                                 .refused = told->pace_refused};
    if (rk_pace_is_sound(&pace))
        return pace;
    RK_WARN("pace.rejected", RK_S("vm", told->id));
    return (struct rk_pace){0};
}

void rk_loads_take(struct rk_vm_load **loads, size_t *len, Rillknot__VmUse **told,
                   size_t told_len)
{
    *loads = rk_realloc(*loads, (told_len + 1) * sizeof(**loads));
    *len = told_len;
    for (size_t i = 0; i < told_len; i++) {
        struct rk_vm_load *load = &(*loads)[i];
        *load = (struct rk_vm_load){.life = told[i]->life,
                                    .running = told[i]->running,
                                    .waiting_tokens = told[i]->waiting_tokens,
                                    .pace = read_pace(told[i])};
        rk_strcpy(load->id, sizeof(load->id), told[i]->id);
    }
}

void rk_loads_sum(struct rk_vm_load *sum, const struct rk_vm_load *more)
{
    sum->running += more->running;
    sum->waiting_tokens += more->waiting_tokens;
    rk_pace_sum(&sum->pace, &more->pace);
}

static void add(struct rk_relay_peers *p, const struct rk_vm_load *loads,
                size_t len)
{
    p->loads = rk_realloc(p->loads, (p->loads_len + len + 1) * sizeof(*p->loads));
    if (len)
        memcpy(p->loads + p->loads_len, loads, len * sizeof(*loads));
    p->loads_len += len;
}

/* What was told may be older than what is taken out of it. */
static void take_out(struct rk_vm_load *sum, const struct rk_vm_load *own)
{
    sum->running -= own->running < sum->running ? own->running : sum->running;
    sum->waiting_tokens = fmax(0, sum->waiting_tokens - own->waiting_tokens);
    sum->pace.calls = fmax(0, sum->pace.calls - own->pace.calls);
    sum->pace.failed = fmax(0, sum->pace.failed - own->pace.failed);
    sum->pace.refused = fmax(0, sum->pace.refused - own->pace.refused);
    sum->pace.log_sum =
        sum->pace.calls > 0 ? sum->pace.log_sum - own->pace.log_sum : 0;
}

/* Take this node's own part out of a sum. */
static void take_out_own(const struct rk_mesh *m, struct rk_relay_peers *p)
{
    const struct rk_relay_report *r = m->n->report;
    for (size_t i = 0; r && i < r->loads_len; i++) {
        const struct rk_vm_load *own = &r->loads[i];
        for (size_t j = 0; j < p->loads_len; j++) {
            struct rk_vm_load *sum = &p->loads[j];
            if (strcmp(sum->id, own->id) != 0)
                continue;
            take_out(sum, own);
        }
    }
}

/* Does a member's own report count here? */
static bool counts(const struct member *k, int64_t now_ms)
{
    return rk_mesh_is_heard(k, now_ms) && (k->m->direct || rk_mesh_is_near(k));
}

void rk_loads_fill(const struct rk_mesh *m, struct rk_relay_peers *p,
                   int64_t now_ms)
{
    const struct member *source = rk_digest_of_fleet(m, now_ms);
    if (source) {
        add(p, source->digest.loads, source->digest.loads_len);
        take_out_own(m, p);
        return;
    }
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (counts(k, now_ms))
            add(p, k->loads, k->loads_len);
        else if (!m->direct && rk_digest_counts(k, now_ms))
            add(p, k->digest.loads, k->digest.loads_len);
    }
}

static struct rk_in_hand in_hand(const struct rk_service_use *services, size_t len,
                                 const char *service)
{
    const struct rk_service_use *use = rk_service_use_find(services, len, service);
    return use ? (struct rk_in_hand){use->running, use->begun}
               : (struct rk_in_hand){0};
}

static void add_in_hand(struct rk_in_hand *sum, struct rk_in_hand more)
{
    sum->running += more.running;
    sum->begun += more.begun;
}

static uint32_t less(uint32_t all, uint32_t own)
{
    return all > own ? all - own : 0;
}

struct rk_in_hand rk_loads_in_hand(const struct rk_mesh *m, const char *service,
                                   int64_t now_ms)
{
    const struct rk_relay_report *r = m->n->report;
    const struct member *source = rk_digest_of_fleet(m, now_ms);
    struct rk_in_hand sum = {0};
    if (source) {
        struct rk_in_hand own = {0};
        sum =
            in_hand(source->digest.services, source->digest.services_len, service);
        if (r)
            own = in_hand(r->services, r->services_len, service);
        return (struct rk_in_hand){less(sum.running, own.running),
                                   less(sum.begun, own.begun)};
    }
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (counts(k, now_ms))
            add_in_hand(&sum, in_hand(k->services, k->services_len, service));
        else if (!m->direct && rk_digest_counts(k, now_ms))
            add_in_hand(
                &sum, in_hand(k->digest.services, k->digest.services_len, service));
    }
    return sum;
}

static void add_asking(struct rk_tally *sum, const struct rk_org_use *uses,
                       size_t len, double sign)
{
    for (size_t i = 0; i < len; i++)
        if (uses[i].asking > 0)
            *rk_tally_at(sum, uses[i].org) += sign * uses[i].asking;
}

void rk_loads_add_asking(const struct rk_mesh *m, bool fleet, struct rk_tally *sum,
                         int64_t now_ms)
{
    for (const struct member *k = m->contacts; k; k = k->next_contact) {
        if (counts(k, now_ms))
            add_asking(sum, k->uses.rows, k->uses.len, 1);
        else if (fleet && !m->direct && rk_digest_counts(k, now_ms))
            add_asking(sum, k->digest.uses.rows, k->digest.uses.len, 1);
    }
}

void rk_loads_peers_asking(const struct rk_mesh *m, struct rk_tally *sum,
                           int64_t now_ms)
{
    const struct rk_relay_report *r = m->n->report;
    const struct member *source = rk_digest_of_fleet(m, now_ms);
    if (!source) {
        rk_loads_add_asking(m, true, sum, now_ms);
        return;
    }
    add_asking(sum, source->digest.uses.rows, source->digest.uses.len, 1);
    if (r)
        add_asking(sum, r->uses, r->uses_len, -1);
    for (size_t i = 0; i < sum->len; i++)
        if (sum->rows[i].total < 0)
            sum->rows[i].total = 0; /* asked here since that was told */
}

void rk_mesh_add_asking(const struct rk_mesh *m, struct rk_tally *sum)
{
    const struct rk_relay_report *r = m->n->report;
    rk_loads_peers_asking(m, sum, rk_mono_ms());
    if (r)
        add_asking(sum, r->uses, r->uses_len, 1);
}
