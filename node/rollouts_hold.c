/* Roll-outs at the holder of the duties: it follows what operators order, decides
 * by what all nodes saw of both versions, and records the state. */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "core/holding.h"
#include "node/rollouts_impl.h"
#include "objects/store.h"

#define BEGUN_KIND                                                                 \
    "rillknot-rollouts" /* when each was ordered, by the wall clock */
#define RETRY_MS 400    /* between tries to write */

/* ---- the holder: orders ---- */

static struct course *course_of(struct rk_rollouts *r, const char *name)
{
    struct course *free_one = NULL;
    for (size_t i = 0; i < RK_ROLLOUTS; i++) {
        struct course *c = &r->courses[i];
        if (c->used && !strcmp(c->name, name))
            return c;
        if (!c->used && !c->busy && !free_one)
            free_one = c;
    }
    return free_one;
}

/* Where an earlier holder was, by its last word. */
static void go_on(struct course *c)
{
    const struct rk_rollout_rule *told =
        rk_rollout_rule_of(&c->r->word, c->rollout.order.service);
    struct rk_rollout *r = &c->rollout;
    if (!told || strcmp(told->version, r->order.version) != 0)
        return;
    r->rule.turn = told->turn;
    r->rule.revision = told->revision + 1;
    if (told->phase >= RK_ROLLOUT_SHIFT && told->phase > r->rule.phase) {
        r->rule.phase = told->phase;
        r->rule.share = told->share;
    }
}

/* Its rule until more is known: by the state that was recorded and the last word,
 * and while it is tried nobody tries it. */
static void start_course(struct course *c, int64_t passed_ms)
{
    const struct rk_procfile *f = &c->r->n->file;
    const struct rk_rollout_bounds bounds = {.share = f->trial_share,
                                             .slack = f->trial_slack,
                                             .give_up_ms =
                                                 (int64_t)f->trial_give_up_ms};
    struct rk_rollout_order order = c->rollout.order;
    order.state = c->recorded;
    rk_rollout_begin(&c->rollout, &order, &bounds, rk_mono_ms(), passed_ms);
    go_on(c);
}

/* An order is taken back: its version gets nothing more, unless it was taken. */
static void drop_order(struct course *c)
{
    RK_EVENT("rollout.dropped", RK_S("service", c->rollout.order.service),
             RK_S("version", c->rollout.order.version));
    c->used = c->rollout.rule.phase != RK_ROLLOUT_TAKEN;
    c->dropped = true;
    rk_rollout_drop(&c->rollout, rk_mono_ms());
}

static void note_order(struct rk_rollouts *r, const struct rk_store_object *o)
{
    struct rk_rollout_order order;
    struct course *c = course_of(r, o->name);
    if (o->gone) {
        if (c && c->used && !c->dropped)
            drop_order(c);
        return;
    }
    if (!r->n->platform->parse_rollout(o->spec, o->status, &order)) {
        RK_WARN("rollout.rejected", RK_S("name", o->name));
        return;
    }
    if (!c) {
        RK_WARN("rollout.too_many", RK_S("service", order.service));
        return;
    }
    bool same = c->used && !c->dropped &&
                !strcmp(c->rollout.order.version, order.version) &&
                !strcmp(c->rollout.order.service, order.service);
    c->revision = o->revision;
    c->recorded = order.state;
    if (same)
        return;
    *c = (struct course){.r = r,
                         .used = true,
                         .busy = c->busy,
                         .revision = o->revision,
                         .recorded = order.state,
                         .rollout = c->rollout};
    rk_strcpy(c->name, sizeof(c->name), o->name);
    c->heard_wall_ms = rk_wall_ms();
    c->rollout.order = order;
    start_course(c, 0);
}

static void apply_orders(void *ctx, const struct rk_store_object *objects,
                         size_t len, bool all, int64_t at)
{
    struct rk_rollouts *r = ctx;
    (void)at;
    for (size_t i = 0; all && i < RK_ROLLOUTS; i++) {
        bool there = false;
        for (size_t j = 0; j < len; j++)
            there = there || !strcmp(objects[j].name, r->courses[i].name);
        if (r->courses[i].used && !r->courses[i].dropped && !there)
            drop_order(&r->courses[i]);
    }
    for (size_t i = 0; i < len; i++)
        note_order(r, &objects[i]);
}

static void on_heard(void *ctx)
{
    (void)ctx; /* what the store answers of other kinds tells how fresh they are */
}

/* ---- the holder: when it began ---- */

static void begin(struct course *c, int64_t wall_ms)
{
    const struct rk_rollout_order order = c->rollout.order;
    int64_t passed_ms = rk_wall_ms() - wall_ms;
    if (passed_ms < 0 || passed_ms > order.duration_ms)
        passed_ms = passed_ms < 0 ? 0 : order.duration_ms;
    start_course(c, passed_ms);
    c->begun = true;
    RK_EVENT("rollout.begun", RK_S("service", order.service),
             RK_S("version", order.version), RK_N("duration_ms", order.duration_ms),
             RK_N("passed_ms", passed_ms),
             RK_S("phase", rk_rollout_phase_str(c->rollout.rule.phase)));
}

static bool awaits_begin(const struct course *c)
{
    return c->used && !c->begun && !c->dropped;
}

static void on_begun_written(void *ctx, enum rk_status st,
                             const struct rk_store_object *o)
{
    struct course *c = ctx;
    (void)o;
    c->busy = false;
    c->again_ms = rk_mono_ms() + RETRY_MS;
    if (st == RK_OK && awaits_begin(c))
        begin(c, c->heard_wall_ms);
}

static void on_begun_read(void *ctx, enum rk_status st,
                          const struct rk_store_object *o)
{
    struct course *c = ctx;
    struct rk_store *store = c->r->n->store;
    c->busy = false;
    c->again_ms = rk_mono_ms() + RETRY_MS;
    if (!awaits_begin(c) || (st != RK_OK && st != RK_ENOTFOUND))
        return;
    const char *version = c->rollout.order.version;
    if (st == RK_OK && o && !strcmp(rk_json_str(o->spec, "version"), version)) {
        begin(c, rk_json_int(o->spec, "wall_ms", 0));
        return;
    }
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "{\"version\":");
    rk_buf_json_str(&b, version);
    rk_buf_printf(&b, ",\"wall_ms\":%" PRId64 "}", c->heard_wall_ms);
    c->busy = true;
    if (st == RK_OK && o)
        store->ops->replace(store, BEGUN_KIND, c->name, o->revision, b.data,
                            on_begun_written, c);
    else
        store->ops->create(store, BEGUN_KIND, c->name, b.data, on_begun_written, c);
    rk_buf_free(&b);
}

static void read_begun(struct course *c)
{
    struct rk_store *store = c->r->n->store;
    /* What is over needs no beginning. */
    if (c->recorded >= RK_ROLLOUT_DONE) {
        begin(c, rk_wall_ms());
        return;
    }
    c->busy = true;
    store->ops->read(store, BEGUN_KIND, c->name, false, on_begun_read, c);
}

/* ---- the holder: deciding ---- */

static void log_finding(const struct rk_rollout *r)
{
    const struct rk_trial_finding *f = &r->finding;
    RK_EVENT("rollout.phase", RK_S("service", r->order.service),
             RK_S("version", r->order.version),
             RK_S("phase", rk_rollout_phase_str(r->rule.phase)),
             RK_N("evidence_hundredths", (int64_t)(f->evidence * 100)),
             RK_S("by", f->by_time ? "time" : "failures"), RK_S("route", f->route),
             RK_N("new_calls", (int64_t)f->tried.calls),
             RK_N("new_failed", (int64_t)f->tried.failed),
             RK_N("new_pace_pct", rk_trial_pace_pct(&f->tried)),
             RK_N("old_calls", (int64_t)f->serving.calls),
             RK_N("old_failed", (int64_t)f->serving.failed),
             RK_N("old_pace_pct", rk_trial_pace_pct(&f->serving)));
}

static void look(const struct course *c, struct rk_rollout_view *v)
{
    const struct rk_node *n = c->r->n;
    const struct rk_rollout_order *order = &c->rollout.order;
    const struct rk_vm_row *row;
    const struct rk_rollout_seen *own =
        n->report ? rk_rollout_seen_of(n->report->trials, n->report->trials_len,
                                       order->service, order->version)
                  : NULL;
    v->old_running = own ? own->old_running : 1; /* until it is known */
    char domains[RK_HOLDING_DOMAINS][RK_ID_MAX];
    for (size_t i = 0; (row = rk_sync_vm_at(n->sync, i)); i++) {
        if (strcmp(row->service, order->service) != 0)
            continue;
        bool is_new = !strcmp(row->version, order->version);
        v->old_vms += !is_new && !row->leaving;
        if (!is_new || row->leaving)
            continue;
        v->new_vms++;
        size_t at = 0;
        while (at < v->new_domains && strcmp(domains[at], row->domain) != 0)
            at++;
        if (at == v->new_domains && at < RK_HOLDING_DOMAINS)
            rk_strcpy(domains[v->new_domains++], RK_ID_MAX, row->domain);
    }
}

static void decide(struct course *c)
{
    struct rk_rollout_seen *seen = rk_alloc(1, sizeof(*seen));
    rk_strcpy(seen->service, sizeof(seen->service), c->rollout.order.service);
    rk_strcpy(seen->version, sizeof(seen->version), c->rollout.order.version);
    rk_mesh_add_trials(c->r->n->mesh, seen);
    struct rk_rollout_view view = {.now_ms = rk_mono_ms(), .seen = &seen->rows};
    look(c, &view);
    enum rk_rollout_phase before = c->rollout.rule.phase;
    rk_rollout_step(&c->rollout, &view);
    if (c->rollout.rule.phase != before)
        log_finding(&c->rollout);
    free(seen);
}

static void on_recorded(void *ctx, enum rk_status st,
                        const struct rk_store_object *o)
{
    struct course *c = ctx;
    struct rk_rollout_order order;
    c->busy = false;
    c->again_ms = st == RK_OK ? 0 : rk_mono_ms() + RETRY_MS;
    if (!o || !c->used)
        return;
    c->revision = o->revision;
    /* As it is there now, also if somebody else wrote it. */
    if (c->r->n->platform->parse_rollout(o->spec, o->status, &order) &&
        !strcmp(order.version, c->rollout.order.version))
        c->recorded = order.state;
}

static void record(struct course *c)
{
    struct rk_store *store = c->r->n->store;
    enum rk_rollout_state state = rk_rollout_state_of(&c->rollout);
    struct rk_buf b = {0};
    if (c->recorded == state || c->dropped)
        return;
    c->r->n->platform->rollout_status(c->rollout.order.version, state, &b);
    RK_EVENT("rollout.record", RK_S("service", c->rollout.order.service),
             RK_S("status", b.data));
    c->busy = true;
    store->ops->replace_status(store, c->r->n->platform->rollouts_kind, c->name,
                               c->revision, b.data, on_recorded, c);
    rk_buf_free(&b);
}

static void tend_course(struct course *c)
{
    bool may_call = !c->busy && rk_mono_ms() >= c->again_ms;
    if (!c->begun) {
        if (may_call)
            read_begun(c);
        return;
    }
    decide(c);
    if (may_call)
        record(c);
}

void rk_rollouts_hold(struct rk_rollouts *r)
{
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        if (r->courses[i].used && !r->courses[i].dropped)
            tend_course(&r->courses[i]);
}

void rk_rollouts_begin_holding(struct rk_rollouts *r)
{
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        r->courses[i].used = false;
    r->orders.at = 0;
}

void rk_rollouts_init_orders(struct rk_rollouts *r)
{
    r->orders = (struct rk_follow){.n = r->n,
                                   .kind = r->n->platform->rollouts_kind,
                                   .apply = apply_orders,
                                   .heard = on_heard,
                                   .ctx = r};
    rk_follow_init(&r->orders);
}
