/* Collects a node's own information on upstream VMs: the platform's VM list and
 * reclaim notices while the node is a bridge of its failure domain, and the load of
 * the engines that it is assigned to poll. All else arrives from peers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/cloud.h"
#include "common/eventlog.h"
#include "control/state.h"
#include "core/shards.h"
#include "engines/management.h"
#include "vmlist/vmlist.h"

#define WATCH_WAIT_MS           25000 /* longest time that a watch waits */
#define RETRY_DELAY_MS          500
#define MIN_POLL_INTERVAL_MS    1000
#define POLL_INTERVAL_PER_VM_MS 24 /* slows polls in large failure domains */

struct rk_vms_sync {
    struct rk_control *c;
    struct rk_timer list_retry_timer, notices_retry_timer, poll_timer;
    bool list_in_flight, notices_in_flight;
    int64_t list_revision; /* of the VM list, to watch from; 0: none yet */
    int64_t last_notice_seq;
};

/* ---- VM list ---- */

/* Merges a row and logs it. Returns whether something changed that this node acts
 * on. */
static bool merge_row(struct rk_vms_sync *s, const struct rk_vm *row,
                      const char *by)
{
    if (!rk_members_merge_vm(s->c->members, row, -1, rk_mono_ms()))
        return false;
    RK_EVENT("vm.changed", RK_S("vm", row->id), RK_N("state", row->state),
             RK_S("by", by));
    return true;
}

/* Publishes changed rows to the traffic threads and to peers. */
static void publish_rows(struct rk_vms_sync *s, bool changed)
{
    if (!changed)
        return;
    rk_control_schedule_publish(s->c, true);
    rk_gossip_push(s->c->gossip);
}

static void on_list(void *ctx, enum rk_status st, const struct rk_vm *vms,
                    size_t len, int64_t revision)
{
    struct rk_vms_sync *s = ctx;
    s->list_in_flight = false;
    if (st != RK_OK) {
        rk_timer_start(s->c->loop, &s->list_retry_timer, RETRY_DELAY_MS);
        return;
    }
    bool changed = false;
    for (size_t i = 0; i < len; i++)
        if (!strcmp(vms[i].domain, s->c->opt.domain))
            changed = merge_row(s, &vms[i], "list") || changed;
    if (revision > s->list_revision)
        s->list_revision = revision;
    publish_rows(s, changed);
    rk_vms_sync_tick(s);
}

/* ---- reclaim notices ---- */

/* Marks the VM of a notice as leaving. Ignores unknown VMs and other
 * incarnations. */
static bool merge_notice(struct rk_vms_sync *s, const struct rk_reclaim_notice *n)
{
    const struct rk_vm *known = rk_members_find_vm(s->c->members, n->vm);
    if (!known || known->incarnation != n->incarnation)
        return false;
    struct rk_vm row = *known;
    row.state = RK_VM_LEAVING;
    row.leave_at_ms = (uint64_t)(rk_wall_ms() + n->remaining_ms);
    return merge_row(s, &row, "notice");
}

static void on_notices(void *ctx, enum rk_status st,
                       const struct rk_reclaim_notice *notices, size_t len)
{
    struct rk_vms_sync *s = ctx;
    s->notices_in_flight = false;
    if (st != RK_OK) {
        rk_timer_start(s->c->loop, &s->notices_retry_timer, RETRY_DELAY_MS);
        return;
    }
    bool changed = false;
    for (size_t i = 0; i < len; i++) {
        changed = merge_notice(s, &notices[i]) || changed;
        if (notices[i].seq > s->last_notice_seq)
            s->last_notice_seq = notices[i].seq;
    }
    publish_rows(s, changed);
    rk_vms_sync_tick(s);
}

static void on_retry(void *ctx)
{
    rk_vms_sync_tick(ctx);
}

void rk_vms_sync_tick(struct rk_vms_sync *s)
{
    struct rk_control *c = s->c;
    if (!rk_control_is_bridge(c))
        return;
    if (!s->list_in_flight && !s->list_retry_timer.slot) {
        s->list_in_flight = true;
        /* The first call lists all VMs, the others wait for changes. */
        rk_vmlist_watch(c->http, c->opt.platform,
                        s->list_revision ? s->list_revision : -1,
                        s->list_revision ? WATCH_WAIT_MS : 0, on_list, s);
    }
    /* A notice has only its VM's id and incarnation, so the VM's row has to be
     * known first. */
    if (s->list_revision && !s->notices_in_flight && !s->notices_retry_timer.slot) {
        s->notices_in_flight = true;
        rk_cloud_watch_notices(c->http, c->opt.platform, s->last_notice_seq,
                               WATCH_WAIT_MS, on_notices, s);
    }
}

/* ---- load ---- */

/* A load query in flight. */
struct load_poll {
    struct rk_vms_sync *s;
    uint32_t id_hash;
};

static void on_load(void *ctx, enum rk_status st, uint32_t running, uint32_t queued)
{
    struct load_poll *p = ctx;
    struct rk_control *c = p->s->c;
    if (st == RK_OK) {
        rk_members_load_polled(c->members, p->id_hash, (uint64_t)rk_wall_ms(),
                               running, queued, rk_mono_ms());
        rk_control_schedule_publish(c, false);
    }
    free(p);
}

/* Returns whether this node polls the VM: it does if its rendezvous weight is the
 * highest among the nodes of the failure domain that are not dead. */
static bool is_poller(const struct rk_control *c, const struct rk_vm *vm)
{
    const struct rk_members *m = c->members;
    const struct rk_member *self = rk_members_self(m);
    uint64_t own_weight = rk_rendezvous_weight(vm->id_hash, self->id);
    for (size_t i = 1; i < rk_members_count(m); i++) {
        const struct rk_member *o = rk_members_at(m, i);
        if (o->state != RK_MEMBER_DEAD && !strcmp(o->domain, self->domain) &&
            rk_rendezvous_weight(vm->id_hash, o->id) > own_weight)
            return false;
    }
    return true;
}

static void on_poll_timer(void *ctx)
{
    struct rk_vms_sync *s = ctx;
    struct rk_control *c = s->c;
    size_t len = rk_members_vm_count(c->members);
    int64_t interval_ms = (int64_t)len * POLL_INTERVAL_PER_VM_MS;
    rk_timer_start(c->loop, &s->poll_timer,
                   interval_ms > MIN_POLL_INTERVAL_MS ? interval_ms
                                                      : MIN_POLL_INTERVAL_MS);
    for (size_t i = 0; i < len; i++) {
        const struct rk_vm *vm = rk_members_vm_at(c->members, i);
        const struct rk_policy *p = rk_config_policy(c->config, vm->service, "");
        if (!p || !p->engine || vm->state == RK_VM_GONE || !is_poller(c, vm))
            continue;
        struct load_poll *poll = rk_alloc(1, sizeof(*poll));
        *poll = (struct load_poll){.s = s, .id_hash = vm->id_hash};
        rk_engine_get_load(c->http, vm->addr, on_load, poll);
    }
}

/* ---- life cycle ---- */

struct rk_vms_sync *rk_vms_sync_create(struct rk_control *c)
{
    struct rk_vms_sync *s = rk_alloc(1, sizeof(*s));
    s->c = c;
    s->list_retry_timer = (struct rk_timer){.fn = on_retry, .ctx = s};
    s->notices_retry_timer = (struct rk_timer){.fn = on_retry, .ctx = s};
    s->poll_timer = (struct rk_timer){.fn = on_poll_timer, .ctx = s};
    return s;
}

void rk_vms_sync_destroy(struct rk_vms_sync *s)
{
    free(s);
}

void rk_vms_sync_start(struct rk_vms_sync *s)
{
    rk_vms_sync_tick(s);
    rk_timer_start(s->c->loop, &s->poll_timer, MIN_POLL_INTERVAL_MS);
}
