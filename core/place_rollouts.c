/* Rollouts in the placement: which version a call goes to, and the statistics of
 * calls to both versions. */
#include <string.h>

#include "core/place_impl.h"

static struct rk_place_rollout *find_rollout(struct rk_place *p,
                                             const char *service)
{
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        if (p->rollouts[i].rule.service[0] &&
            !strcmp(p->rollouts[i].rule.service, service))
            return &p->rollouts[i];
    return NULL;
}

/* Returns how many VMs of the rollout's new version that aren't leaving rank before
 * this one by rendezvous hashing. All nodes agree by this on the VMs that get
 * calls, and each new rotation selects other VMs. */
static size_t count_ranked_before(const struct rk_place *p,
                                  const struct rk_place_vm *v)
{
    uint64_t rotation = v->rollout->rule.rotation,
             own = rk_hash(rotation, &v->hash, sizeof(v->hash));
    size_t count = 0;
    for (const struct rk_place_vm *o = p->vms; o; o = o->next)
        count += o->rollout == v->rollout && o->is_new && !o->row.leaving &&
                 rk_hash(rotation, &o->hash, sizeof(o->hash)) > own;
    return count;
}

static bool has_rollouts(const struct rk_place *p)
{
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        if (p->rollouts[i].rule.service[0])
            return true;
    return false;
}

void rk_place_mark_versions(struct rk_place *p)
{
    bool has_any = has_rollouts(p);
    if (!has_any && !p->has_marked_vms)
        return;
    p->has_marked_vms = has_any;
    for (struct rk_place_vm *v = p->vms; v; v = v->next) {
        v->rollout = find_rollout(p, v->row.service);
        v->is_new = v->rollout && !strcmp(v->row.version, v->rollout->rule.version);
    }
    for (struct rk_place_vm *v = p->vms; v; v = v->next) {
        uint32_t vms = v->is_new ? v->rollout->rule.vms : 0;
        v->gets_rollout_calls =
            v->is_new && (!vms || count_ranked_before(p, v) < vms);
    }
}

static void set_rollout(struct rk_place *p, const struct rk_rollout_rule *rule,
                        bool is_fresh)
{
    struct rk_place_rollout *r = find_rollout(p, rule->service);
    for (size_t i = 0; !r && i < RK_ROLLOUTS; i++)
        if (!p->rollouts[i].rule.service[0])
            r = &p->rollouts[i];
    if (!r)
        return;
    if (strcmp(r->rule.version, rule->version) != 0)
        r->canary_rows.len = 0; /* statistics of an earlier rollout */
    r->rule = *rule;
    r->is_fresh = is_fresh;
}

void rk_place_set_rollouts(struct rk_place *p, const struct rk_rollout_rule *rules,
                           size_t len, bool is_fresh)
{
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        if (!rk_rollout_rule_find(rules, len, p->rollouts[i].rule.service))
            p->rollouts[i].rule = (struct rk_rollout_rule){0};
    for (size_t i = 0; i < len; i++)
        set_rollout(p, &rules[i], is_fresh);
    rk_place_mark_versions(p);
}

const struct rk_place_rollout *rk_place_rollouts(const struct rk_place *p)
{
    return p->rollouts;
}

double rk_place_old_version_running(const struct rk_place_rollout *r,
                                    const struct rk_place *p)
{
    double sum = 0;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next)
        if (v->rollout == r && !v->is_new)
            sum += v->running + (double)v->peers_running;
    return sum;
}

/* Returns true while only a share of the calls or a single VM tries the new
 * version. */
static bool is_limited_phase(const struct rk_rollout_rule *rule)
{
    return rule->phase == RK_ROLLOUT_CANARY || rule->phase == RK_ROLLOUT_LOAD_TEST;
}

bool rk_place_is_canary(const struct rk_place_vm *vm)
{
    return vm->is_new && is_limited_phase(&vm->rollout->rule);
}

bool rk_place_may_use_new_version(const struct rk_place *p,
                                  const struct rk_place_query *q)
{
    const struct rk_place_rollout *r =
        find_rollout((struct rk_place *)p, q->service);
    return r && !r->is_fresh && r->rule.phase != RK_ROLLOUT_ROLLED_BACK;
}

bool rk_place_wants_new_version(const struct rk_place *p,
                                const struct rk_place_query *q)
{
    const struct rk_place_rollout *r =
        find_rollout((struct rk_place *)p, q->service);
    if (!r)
        return false;
    /* While only a few calls use the new version, a node without a fresh rollout
     * announcement sends it none. */
    return (r->is_fresh || !is_limited_phase(&r->rule)) &&
           rk_rollout_uses_new(&r->rule, q->request_hash);
}

struct rk_canary_stats *rk_place_canary_stats(const struct rk_place_vm *vm,
                                              const char *route, int64_t now_ms)
{
    struct rk_place_rollout *r = (struct rk_place_rollout *)vm->rollout;
    if (!r || !route || now_ms < vm->cold_until_ms ||
        r->rule.phase == RK_ROLLOUT_COMMITTED ||
        r->rule.phase == RK_ROLLOUT_ROLLED_BACK)
        return NULL;
    struct rk_canary_row *row =
        rk_canary_get_row(&r->canary_rows, route, vm->row.domain, vm->is_new);
    return row ? &row->stats : NULL;
}
