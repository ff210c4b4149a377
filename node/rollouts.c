/* Rollouts of service versions. The leader watches the operators' orders, judges
 * new versions by the calls of all nodes, records the state in the store and sends
 * rollout announcements; the other nodes apply these. VMs get no calls while their
 * version neither serves already, nor was ordered, nor is known to be the
 * platform's own replacement. */
#include <stdlib.h>
#include <string.h>

#include "cloud/leader_api.h"
#include "common/eventlog.h"
#include "node/rollouts_impl.h"
#include "objects/store.h"

/* When its newest announcement is older than this, a node sends no calls to a
 * version that isn't judged yet. The leader sends four announcements a second; each
 * passes two bridges at most. */
#define ANNOUNCEMENT_FRESH_MS 1500
/* Without an announcement for this long, a node queries the store for the outcome
 * of a rollout. */
#define ANNOUNCEMENT_LOST_MS    3000
#define STORE_QUERY_INTERVAL_MS 2000

bool rk_rollouts_are_enabled(const struct rk_rollouts *r)
{
    return r->n->file.trial_share > 0;
}

const struct rk_rollout_announcement *
rk_rollouts_announcement(const struct rk_rollouts *r)
{
    return r->announcement.number ? &r->announcement : NULL;
}

/* ---- usable versions ---- */

static struct serving *find_serving(struct rk_rollouts *r, const char *service)
{
    for (size_t i = 0; i < r->serving_len; i++)
        if (!strcmp(r->serving[i].service, service))
            return &r->serving[i];
    return NULL;
}

const char *rk_rollouts_previous_version(const struct rk_rollouts *r,
                                         const char *service, const char *version)
{
    const struct serving *s = find_serving((struct rk_rollouts *)r, service);
    if (!s)
        return "";
    return strcmp(s->version, version) != 0 ? s->version : s->previous;
}

static size_t count_version(const struct rk_vm_row *rows, size_t len,
                            const struct rk_vm_row *like)
{
    size_t count = 0;
    for (size_t i = 0; i < len; i++)
        count += !strcmp(rows[i].service, like->service) &&
                 !strcmp(rows[i].version, like->version);
    return count;
}

/* Returns the VM of a service that was started first; NULL: the start of one of
 * them is not known. */
static const struct rk_vm_row *find_oldest(const struct rk_vm_row *rows, size_t len,
                                           const char *service)
{
    const struct rk_vm_row *oldest = NULL;
    for (size_t i = 0; i < len; i++) {
        if (strcmp(rows[i].service, service) != 0)
            continue;
        if (!rows[i].started_ms)
            return NULL;
        if (!oldest || rows[i].started_ms < oldest->started_ms)
            oldest = &rows[i];
    }
    return oldest;
}

/* Returns a VM of the version that most VMs of a service have. */
static const struct rk_vm_row *find_most_common(const struct rk_vm_row *rows,
                                                size_t len,
                                                const struct rk_vm_row *first)
{
    const struct rk_vm_row *most = first;
    for (size_t i = 0; i < len; i++)
        if (!strcmp(rows[i].service, first->service) &&
            strcmp(rows[i].version, most->version) != 0 &&
            count_version(rows, len, &rows[i]) > count_version(rows, len, most))
            most = &rows[i];
    return most;
}

/* Takes the oldest VM's version as the one that serves a service seen for the first
 * time. The most common one is used only if the oldest isn't known, since during a
 * rollout as many VMs may have the new version. */
static void init_serving(struct rk_rollouts *r, const struct rk_vm_row *rows,
                         size_t len, const struct rk_vm_row *row)
{
    if (find_serving(r, row->service) || r->serving_len == RK_ROLLOUTS_MAX_SERVICES)
        return;
    const struct rk_vm_row *like = find_oldest(rows, len, row->service);
    if (!like)
        like = find_most_common(rows, len, row);
    struct serving *s = &r->serving[r->serving_len++];
    rk_strcpy(s->service, sizeof(s->service), row->service);
    rk_strcpy(s->version, sizeof(s->version), like->version);
}

const struct rk_rollout_rule *
rk_rollout_announced_rule(const struct rk_rollout_announcement *announcement,
                          const char *service)
{
    return rk_rollout_rule_find(announcement->rules, announcement->len, service);
}

const struct rk_rollout_rule *rk_rollouts_active_rule(const struct rk_rollouts *r,
                                                      const char *service)
{
    const struct rk_rollout_rule *rule =
        rk_rollout_announced_rule(&r->announcement, service);
    return rule && rule->phase < RK_ROLLOUT_COMMITTED ? rule : NULL;
}

/* first_revision: the store's revision at which the VM was first seen. */
static bool is_blocked(struct rk_rollouts *r, const struct rk_vm_row *row,
                       int64_t first_revision)
{
    const struct serving *s = find_serving(r, row->service);
    const struct rk_rollout_rule *rule =
        rk_rollout_announced_rule(&r->announcement, row->service);
    if (!s || !strcmp(s->version, row->version))
        return false;
    if (rule && !strcmp(rule->version, row->version))
        return rule->phase == RK_ROLLOUT_ROLLED_BACK;
    /* If no order for the service was there when the VM appeared, the platform has
     * replaced the version itself, and the VM may be used. */
    return rule || r->announcement.orders_revision < first_revision;
}

void rk_rollouts_mark_blocked(struct rk_rollouts *r, struct rk_vm_row *rows,
                              const int64_t *since, size_t len)
{
    if (!rk_rollouts_are_enabled(r))
        return;
    for (size_t i = 0; i < len; i++)
        init_serving(r, rows, len, &rows[i]);
    r->any_blocked = false;
    for (size_t i = 0; i < len; i++) {
        rows[i].blocked = is_blocked(r, &rows[i], since[i]);
        r->any_blocked = r->any_blocked || rows[i].blocked;
    }
}

/* ---- applying announcements ---- */

static bool is_fresh(const struct rk_rollouts *r)
{
    return r->announcement.number &&
           rk_mono_ms() - r->announcement.announced_ms < ANNOUNCEMENT_FRESH_MS;
}

/* Takes over the versions of committed rollouts as those that serve. */
static void update_serving(struct rk_rollouts *r)
{
    for (size_t i = 0; i < r->announcement.len; i++) {
        const struct rk_rollout_rule *rule = &r->announcement.rules[i];
        struct serving *s = find_serving(r, rule->service);
        if (!s || rule->phase != RK_ROLLOUT_COMMITTED ||
            !strcmp(s->version, rule->version))
            continue;
        rk_strcpy(s->previous, sizeof(s->previous), s->version);
        rk_strcpy(s->version, sizeof(s->version), rule->version);
    }
}

/* Sends the rules to the relay if it lacks them, or if the announcement has become
 * fresh or stale. */
static void update_relay(struct rk_rollouts *r)
{
    bool fresh = is_fresh(r);
    if (r->relay_updated && fresh == r->was_fresh)
        return;
    struct rk_rollout_rule *rules =
        rk_alloc(r->announcement.len + 1, sizeof(struct rk_rollout_rule));
    memcpy(rules, r->announcement.rules, r->announcement.len * sizeof(*rules));
    bool queued =
        rk_relay_set_rollouts(r->n->relay, rules, r->announcement.len, fresh);
    r->relay_updated = queued;
    r->was_fresh = fresh;
    update_serving(r);
}

static bool same_rules(const struct rk_rollout_announcement *a,
                       const struct rk_rollout_announcement *b)
{
    if (a->len != b->len)
        return false;
    for (size_t i = 0; i < a->len; i++)
        if (a->rules[i].revision != b->rules[i].revision ||
            strcmp(a->rules[i].service, b->rules[i].service) != 0)
            return false;
    return true;
}

static void log_rules(const struct rk_rollouts *r, const char *from)
{
    for (size_t i = 0; i < r->announcement.len; i++) {
        const struct rk_rollout_rule *rule = &r->announcement.rules[i];
        RK_EVENT("rollout.rule", RK_S("service", rule->service),
                 RK_S("version", rule->version),
                 RK_S("phase", rk_rollout_phase_str(rule->phase)),
                 RK_N("share", rule->share), RK_N("vms", rule->vms),
                 RK_N("turn", rule->rotation), RK_N("epoch", r->announcement.epoch),
                 RK_S("from", from));
    }
}

static void set_announcement(struct rk_rollouts *r,
                             const struct rk_rollout_announcement *announcement,
                             const char *from)
{
    bool changed = r->announcement.epoch != announcement->epoch ||
                   !same_rules(&r->announcement, announcement);
    bool revision_changed = announcement->orders_revision != r->marked_revision;
    r->announcement = *announcement;
    r->marked_revision = announcement->orders_revision;
    if (changed) {
        log_rules(r, from);
        r->relay_updated = false;
    }
    update_relay(r);
    if (changed || (revision_changed && r->any_blocked))
        rk_sync_publish(r->n->sync);
}

bool rk_rollouts_receive(struct rk_rollouts *r,
                         const struct rk_rollout_announcement *announcement)
{
    bool newer = announcement->epoch > r->announcement.epoch ||
                 (announcement->epoch == r->announcement.epoch &&
                  announcement->number > r->announcement.number);
    if (!newer || r->is_leader || !rk_rollouts_are_enabled(r))
        return false;
    set_announcement(r, announcement, "peer");
    return true;
}

/* ---- querying the store ---- */

static void on_order_read(void *ctx, enum rk_status st,
                          const struct rk_store_object *o)
{
    struct rk_rollouts *r = ctx;
    struct rk_rollout_order order;
    r->querying = false;
    if (st != RK_OK || !o || is_fresh(r) || r->is_leader ||
        !r->n->platform->parse_rollout(o->spec, o->status, &order))
        return;
    struct rk_rollout_announcement announcement = r->announcement;
    for (size_t i = 0; i < announcement.len; i++) {
        struct rk_rollout_rule *rule = &announcement.rules[i];
        if (strcmp(rule->service, order.service) != 0 ||
            strcmp(rule->version, order.version) != 0 ||
            order.state < RK_ROLLOUT_DONE)
            continue;
        rule->phase = order.state == RK_ROLLOUT_DONE ? RK_ROLLOUT_COMMITTED
                                                     : RK_ROLLOUT_ROLLED_BACK;
        rule->share = order.state == RK_ROLLOUT_DONE ? RK_ROLLOUT_SHARE_ALL : 0;
        rule->vms = 0;
        rule->revision++;
    }
    if (!same_rules(&announcement, &r->announcement))
        set_announcement(r, &announcement, "store");
}

/* Reads the state of a rollout in progress if there were no announcements for long.
 * A node that is cut off from its peers but not from the store thus learns whether
 * the rollout was committed and the old VMs are gone. */
static void query_store(struct rk_rollouts *r)
{
    int64_t now_ms = rk_mono_ms();
    if (r->querying || r->is_leader || !r->announcement.number ||
        now_ms - r->announcement.announced_ms < ANNOUNCEMENT_LOST_MS ||
        now_ms - r->queried_ms < STORE_QUERY_INTERVAL_MS)
        return;
    for (size_t i = 0; i < r->announcement.len; i++) {
        const struct rk_rollout_rule *rule = &r->announcement.rules[i];
        if (rule->phase >= RK_ROLLOUT_COMMITTED)
            continue;
        r->querying = true;
        r->queried_ms = now_ms;
        r->n->store->ops->read(r->n->store, r->n->platform->rollouts_kind,
                               rule->service, false, on_order_read, r);
        return;
    }
}

/* Makes and sends an announcement. It has a rule for each known order, also before
 * its run has started: without a rule, the new version would be taken for the
 * platform's own replacement. */
static void announce(struct rk_rollouts *r)
{
    struct rk_rollout_announcement announcement = {
        .epoch = r->epoch,
        .number =
            r->announcement.epoch == r->epoch ? r->announcement.number + 1 : 1,
        .announced_ms = rk_mono_ms(),
        .orders_revision = r->orders.revision};
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        if (r->runs[i].used)
            announcement.rules[announcement.len++] = r->runs[i].rollout.rule;
    set_announcement(r, &announcement, "self");
    rk_mesh_announce_rollouts(r->n->mesh);
}

static void set_leader(struct rk_rollouts *r, const struct rk_leader_token *token)
{
    r->is_leader = token != NULL;
    r->epoch = token ? token->fence : 0;
    if (!token)
        return;
    /* The orders known from an earlier time as leader may be outdated. */
    rk_rollouts_begin_leading(r);
}

void rk_rollouts_tick(struct rk_rollouts *r, const struct rk_leader_token *token)
{
    if (!rk_rollouts_are_enabled(r))
        return;
    if (r->is_leader != (token != NULL) || (token && token->fence != r->epoch))
        set_leader(r, token);
    rk_store_watch_enable(&r->orders, r->is_leader);
    update_relay(r);
    query_store(r);
    if (!r->is_leader || !r->orders.revision || !rk_sync_ready(r->n->sync))
        return;
    rk_rollouts_update_runs(r);
    announce(r);
}

/* ---- creation ---- */

struct rk_rollouts *rk_rollouts_create(struct rk_node *n)
{
    struct rk_rollouts *r = rk_alloc(1, sizeof(*r));
    r->n = n;
    rk_rollouts_init_order_watch(r);
    return r;
}

void rk_rollouts_destroy(struct rk_rollouts *r)
{
    rk_store_watch_destroy(&r->orders);
    free(r);
}
