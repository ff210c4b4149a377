#include "control/control.h"

#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/http.h"
#include "control/state.h"
#include "core/shards.h"
#include "objects/objects.h"

#define PUBLISH_DELAY_MS        500 /* for what changes often, such as loads */
#define PUBLISH_URGENT_DELAY_MS 1

bool rk_control_is_bridge(const struct rk_control *c)
{
    return rk_member_is_bridge(c->members, rk_members_self(c->members));
}

/* ---- views for the traffic threads ---- */

static void copy_vms(const struct rk_control *c, struct rk_view *v)
{
    size_t n = rk_members_vm_count(c->members);
    v->vms = rk_alloc(n + 1, sizeof(*v->vms));
    for (size_t i = 0; i < n; i++) {
        const struct rk_vm *vm = rk_members_vm_at(c->members, i);
        if (!strcmp(vm->domain, v->domain))
            v->vms[v->vms_len++] = *vm;
    }
}

/* Copies the peers that are not dead. Sets peer_index[i] to the index of member i
 * among the peers, or to -1 if it is none. */
static void copy_peers(const struct rk_control *c, struct rk_view *v,
                       int *peer_index)
{
    size_t n = rk_members_count(c->members);
    v->peers = rk_alloc(n + 1, sizeof(*v->peers));
    for (size_t i = 0; i < n; i++) {
        const struct rk_member *m = rk_members_at(c->members, i);
        bool peer = i > 0 && m->state != RK_MEMBER_DEAD;
        peer_index[i] = peer ? (int)v->peers_len : -1;
        if (peer)
            v->peers[v->peers_len++] = *m;
    }
}

static struct rk_view *build_view(struct rk_control *c)
{
    struct rk_view *v = rk_alloc(1, sizeof(*v));
    const struct rk_member *self = rk_members_self(c->members);
    static int peer_index[RK_MAX_MEMBERS];
    v->serial = ++c->last_view_serial;
    v->config = rk_config_ref(c->config);
    rk_strcpy(v->self, sizeof(v->self), self->id);
    rk_strcpy(v->domain, sizeof(v->domain), self->domain);
    v->leaving = self->leaving;
    copy_vms(c, v);
    copy_peers(c, v, peer_index);
    for (uint32_t s = 0; s < RK_MAX_SHARDS; s++)
        v->shard_owner[s] = (int64_t)s < v->config->claim_shards
                                ? peer_index[rk_shard_target(c->members, s)]
                                : -1;
    return v;
}

static void publish(void *ctx)
{
    struct rk_control *c = ctx;
    rk_view_publish(c->opt.view_cell, build_view(c));
    for (size_t i = 0; i < c->traffic_len; i++)
        rk_traffic_view_changed(c->traffic[i]);
}

void rk_control_schedule_publish(struct rk_control *c, bool urgent)
{
    int64_t delay_ms = urgent ? PUBLISH_URGENT_DELAY_MS : PUBLISH_DELAY_MS;
    if (c->publish_timer.slot && c->publish_timer.due_ms <= rk_mono_ms() + delay_ms)
        return;
    rk_timer_start(c->loop, &c->publish_timer, delay_ms);
}

void rk_control_apply_settings(struct rk_control *c)
{
    int64_t head = rk_changelog_head(c->changelog);
    rk_config_destroy(c->config);
    c->config = rk_config_create(rk_changelog_tree(c->changelog), head);
    rk_members_set_applied_version(c->members, head);
    RK_EVENT("settings.in_force", RK_N("head", head),
             RK_N("skipped", rk_changelog_skipped(c->changelog)));
    rk_control_schedule_publish(c, true);
}

/* ---- life cycle ---- */

struct rk_control *rk_control_create(const struct rk_control_options *opt)
{
    struct rk_control *c = rk_alloc(1, sizeof(*c));
    c->opt = *opt;
    c->rng.state = opt->rng_seed;
    c->loop = rk_loop_create();
    c->http = rk_http_create(c->loop);
    c->objects = rk_objects_create(c->http, opt->platform);
    c->changelog = rk_changelog_create();
    c->config = rk_config_create(rk_changelog_tree(c->changelog), 0);
    c->publish_timer = (struct rk_timer){.fn = publish, .ctx = c};
    c->gossip = rk_gossip_create(c);
    struct rk_member self = {.incarnation = (uint64_t)rk_wall_ms()};
    rk_strcpy(self.id, sizeof(self.id), opt->id);
    rk_strcpy(self.domain, sizeof(self.domain), opt->domain);
    rk_strcpy(self.control_addr, sizeof(self.control_addr),
              opt->control_advertise[0] ? opt->control_advertise
                                        : rk_gossip_addr(c->gossip));
    rk_strcpy(self.forward_addr, sizeof(self.forward_addr), opt->forward_advertise);
    c->members = rk_members_create(&self);
    c->settings_sync = rk_settings_sync_create(c);
    c->vms_sync = rk_vms_sync_create(c);
    c->claims_io = rk_claims_io_create(c);
    return c;
}

void rk_control_destroy(struct rk_control *c)
{
    if (!c)
        return;
    rk_http_destroy(c->http);
    rk_gossip_destroy(c->gossip);
    rk_settings_sync_destroy(c->settings_sync);
    rk_vms_sync_destroy(c->vms_sync);
    rk_claims_io_destroy(c->claims_io);
    rk_objects_destroy(c->objects);
    rk_changelog_destroy(c->changelog);
    rk_config_destroy(c->config);
    rk_members_destroy(c->members);
    rk_loop_destroy(c->loop);
    free(c);
}

void rk_control_set_traffic(struct rk_control *c, struct rk_traffic **traffic,
                            size_t n)
{
    memcpy(c->traffic, traffic, n * sizeof(*traffic));
    c->traffic_len = n;
}

struct rk_claim_port rk_control_claim_port(struct rk_control *c)
{
    return rk_claims_io_port(c->claims_io);
}

const char *rk_control_addr(const struct rk_control *c)
{
    return rk_gossip_addr(c->gossip);
}

void rk_control_start(struct rk_control *c)
{
    publish(c);
    rk_gossip_start(c->gossip);
    rk_settings_sync_start(c->settings_sync);
    rk_vms_sync_start(c->vms_sync);
}

void rk_control_run(struct rk_control *c)
{
    rk_loop_run(c->loop);
}

void rk_control_stop(struct rk_control *c)
{
    rk_loop_stop(c->loop);
}

static void on_leave(void *ctx)
{
    struct rk_control *c = ctx;
    rk_members_set_leaving(c->members);
    rk_gossip_push(c->gossip);
    rk_control_schedule_publish(c, true);
}

void rk_control_leave(struct rk_control *c)
{
    rk_loop_post(c->loop, on_leave, c);
}
