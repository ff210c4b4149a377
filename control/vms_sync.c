/* What a node learns of upstream vms itself: the platform's VM list and reclaim
 * notices while it is a watcher of its failure domain, and the load of the
 * engines it is assigned to poll. The rest it hears from peers. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "cloud/cloud.h"
#include "common/eventlog.h"
#include "control/state.h"
#include "core/shards.h"
#include "engines/side.h"
#include "vmlist/vmlist.h"

#define WATCH_MS       25000
#define RETRY_MS       500
#define POLL_MS        1000
#define POLL_MS_PER_VM 24 /* polls slow down with the domain's size */

struct rk_vms_sync {
    struct rk_control *c;
    struct rk_timer retry_list, retry_notices, poll;
    bool list_busy, notices_busy;
    int64_t revision;
    int64_t notice;
};

/* ---- VM list ---- */

static bool take_row(struct rk_vms_sync *s, const struct rk_vm *row, const char *by)
{
    if (!rk_members_merge_vm(s->c->members, row, -1, rk_mono_ms()))
        return false;
    RK_EVENT("vm.changed", RK_S("vm", row->id), RK_N("state", row->state),
             RK_S("by", by));
    return true;
}

static void news(struct rk_vms_sync *s, bool any)
{
    if (!any)
        return;
    rk_control_dirty(s->c, true);
    rk_gossip_push(s->c->gossip);
}

static void on_list(void *ctx, enum rk_status st, const struct rk_vm *vms,
                    size_t len, int64_t revision)
{
    struct rk_vms_sync *s = ctx;
    s->list_busy = false;
    if (st != RK_OK) {
        rk_timer_start(s->c->loop, &s->retry_list, RETRY_MS);
        return;
    }
    bool any = false;
    for (size_t i = 0; i < len; i++)
        if (!strcmp(vms[i].domain, s->c->opt.domain))
            any = take_row(s, &vms[i], "list") || any;
    if (revision > s->revision)
        s->revision = revision;
    news(s, any);
    rk_vms_sync_tick(s);
}

/* ---- notices ---- */

static bool take_notice(struct rk_vms_sync *s, const struct rk_notice *n)
{
    const struct rk_vm *known = rk_members_find_vm(s->c->members, n->vm);
    if (!known || known->incarnation != n->incarnation)
        return false;
    struct rk_vm row = *known;
    row.state = RK_VM_LEAVING;
    row.leave_at_ms = (uint64_t)(rk_wall_ms() + n->in_ms);
    return take_row(s, &row, "notice");
}

static void on_notices(void *ctx, enum rk_status st,
                       const struct rk_notice *notices, size_t len)
{
    struct rk_vms_sync *s = ctx;
    s->notices_busy = false;
    if (st != RK_OK) {
        rk_timer_start(s->c->loop, &s->retry_notices, RETRY_MS);
        return;
    }
    bool any = false;
    for (size_t i = 0; i < len; i++) {
        any = take_notice(s, &notices[i]) || any;
        if (notices[i].seq > s->notice)
            s->notice = notices[i].seq;
    }
    news(s, any);
    rk_vms_sync_tick(s);
}

static void on_retry(void *ctx)
{
    rk_vms_sync_tick(ctx);
}

void rk_vms_sync_tick(struct rk_vms_sync *s)
{
    struct rk_control *c = s->c;
    if (!rk_control_is_watcher(c))
        return;
    if (!s->list_busy && !s->retry_list.slot) {
        s->list_busy = true;
        /* The whole list first: it says what this node doesn't know. */
        rk_vmlist_watch(c->http, c->opt.platform, s->revision ? s->revision : -1,
                        s->revision ? WATCH_MS : 0, on_list, s);
    }
    /* Notices speak of vms by id: their rows come first. */
    if (s->revision && !s->notices_busy && !s->retry_notices.slot) {
        s->notices_busy = true;
        rk_cloud_notices(c->http, c->opt.platform, s->notice, WATCH_MS, on_notices,
                         s);
    }
}

/* ---- load ---- */

struct poll {
    struct rk_vms_sync *s;
    uint32_t id_hash;
};

static void on_load(void *ctx, enum rk_status st, uint32_t running, uint32_t queued)
{
    struct poll *p = ctx;
    struct rk_control *c = p->s->c;
    if (st == RK_OK) {
        rk_members_polled(c->members, p->id_hash, (uint64_t)rk_wall_ms(), running,
                          queued, rk_mono_ms());
        rk_control_dirty(c, false);
    }
    free(p);
}

/* One node of the failure domain polls a vm: the first by rendezvous. */
static bool polls(const struct rk_control *c, const struct rk_vm *vm)
{
    const struct rk_members *m = c->members;
    const struct rk_member *self = rk_members_self(m);
    uint64_t mine = rk_rendezvous(vm->id_hash, self->id);
    for (size_t i = 1; i < rk_members_count(m); i++) {
        const struct rk_member *o = rk_members_at(m, i);
        if (o->state != RK_MEMBER_DEAD && !strcmp(o->domain, self->domain) &&
            rk_rendezvous(vm->id_hash, o->id) > mine)
            return false;
    }
    return true;
}

static void on_poll(void *ctx)
{
    struct rk_vms_sync *s = ctx;
    struct rk_control *c = s->c;
    size_t len = rk_members_vm_count(c->members);
    int64_t pause = (int64_t)len * POLL_MS_PER_VM;
    rk_timer_start(c->loop, &s->poll, pause > POLL_MS ? pause : POLL_MS);
    for (size_t i = 0; i < len; i++) {
        const struct rk_vm *vm = rk_members_vm_at(c->members, i);
        const struct rk_policy *p = rk_config_policy(c->config, vm->service, "");
        if (!p || !p->engine || vm->state == RK_VM_GONE || !polls(c, vm))
            continue;
        struct poll *poll = rk_alloc(1, sizeof(*poll));
        *poll = (struct poll){.s = s, .id_hash = vm->id_hash};
        rk_engine_load(c->http, vm->addr, on_load, poll);
    }
}

/* ---- making ---- */

struct rk_vms_sync *rk_vms_sync_create(struct rk_control *c)
{
    struct rk_vms_sync *s = rk_alloc(1, sizeof(*s));
    s->c = c;
    s->retry_list = (struct rk_timer){.fn = on_retry, .ctx = s};
    s->retry_notices = (struct rk_timer){.fn = on_retry, .ctx = s};
    s->poll = (struct rk_timer){.fn = on_poll, .ctx = s};
    return s;
}

void rk_vms_sync_destroy(struct rk_vms_sync *s)
{
    free(s);
}

void rk_vms_sync_start(struct rk_vms_sync *s)
{
    rk_vms_sync_tick(s);
    rk_timer_start(s->c->loop, &s->poll, POLL_MS);
}
