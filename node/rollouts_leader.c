/* Rollouts at the leader: watches the operators' orders, judges each new version by
 * the calls of all nodes and records the state in the store. */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "common/number_field.h"
#include "core/sizing.h"
#include "node/rollouts_impl.h"
#include "objects/store.h"

/* Objects with the wall time at which a leader received each order. A new leader
 * reads them. */
#define ORDER_TIME_KIND "rillknot-rollouts"
#define STORE_RETRY_MS  400

static const struct rk_number_field order_time = {.name = "wall_ms", .max = 9e15};

/* ---- orders ---- */

/* Returns the run of an order's object, or a free slot; NULL: there is none. */
static struct rollout_run *get_run(struct rk_rollouts *r, const char *name)
{
    struct rollout_run *free_slot = NULL;
    for (size_t i = 0; i < RK_ROLLOUTS; i++) {
        struct rollout_run *run = &r->runs[i];
        if (run->used && !strcmp(run->name, name))
            return run;
        if (!run->used && !run->busy && !free_slot)
            free_slot = run;
    }
    return free_slot;
}

/* Continues where the previous leader was by its last announcement. */
static void resume_rule(struct rollout_run *run)
{
    const struct rk_rollout_rule *last = rk_rollout_announced_rule(
        &run->r->announcement, run->rollout.order.service);
    struct rk_rollout *r = &run->rollout;
    if (!last || strcmp(last->version, r->order.version) != 0)
        return;
    r->rule.rotation = last->rotation;
    r->rule.revision = last->revision + 1;
    if (last->phase >= RK_ROLLOUT_CUTOVER && last->phase > r->rule.phase) {
        r->rule.phase = last->phase;
        r->rule.share = last->share;
    }
}

/* Sets up the rule by the recorded state and the last announcement. In the canary
 * phase the new version gets no calls before the first step. passed_ms is the time
 * since the order. */
static void set_up_rule(struct rollout_run *run, int64_t passed_ms)
{
    const struct rk_procfile *f = &run->r->n->file;
    const struct rk_rollout_bounds bounds = {.share = f->trial_share,
                                             .slack = f->trial_slack,
                                             .rollback_ms =
                                                 (int64_t)f->trial_give_up_ms};
    struct rk_rollout_order order = run->rollout.order;
    order.state = run->recorded_state;
    rk_rollout_begin(&run->rollout, &order, &bounds, rk_mono_ms(), passed_ms);
    resume_rule(run);
}

/* Handles the withdrawal of an order: the new version gets no more calls, unless it
 * was committed. */
static void cancel_run(struct rollout_run *run)
{
    RK_EVENT("rollout.dropped", RK_S("service", run->rollout.order.service),
             RK_S("version", run->rollout.order.version));
    run->used = run->rollout.rule.phase != RK_ROLLOUT_COMMITTED;
    run->cancelled = true;
    rk_rollout_cancel(&run->rollout, rk_mono_ms());
}

static void apply_order(struct rk_rollouts *r, const struct rk_store_object *o)
{
    struct rk_rollout_order order;
    struct rollout_run *run = get_run(r, o->name);
    if (o->removed) {
        if (run && run->used && !run->cancelled)
            cancel_run(run);
        return;
    }
    if (!r->n->platform->parse_rollout(o->spec, o->status, &order)) {
        RK_WARN("rollout.rejected", RK_S("name", o->name));
        return;
    }
    if (!run) {
        RK_WARN("rollout.too_many", RK_S("service", order.service));
        return;
    }
    bool is_same = run->used && !run->cancelled &&
                   !strcmp(run->rollout.order.version, order.version) &&
                   !strcmp(run->rollout.order.service, order.service);
    run->revision = o->revision;
    run->recorded_state = order.state;
    if (is_same)
        return;
    *run = (struct rollout_run){.r = r,
                                .used = true,
                                .busy = run->busy,
                                .revision = o->revision,
                                .recorded_state = order.state,
                                .rollout = run->rollout};
    rk_strcpy(run->name, sizeof(run->name), o->name);
    run->received_wall_ms = rk_wall_ms();
    run->rollout.order = order;
    set_up_rule(run, 0);
}

static void apply_orders(void *ctx, const struct rk_store_object *objects,
                         size_t len, bool all, int64_t revision)
{
    struct rk_rollouts *r = ctx;
    (void)revision;
    for (size_t i = 0; all && i < RK_ROLLOUTS; i++) {
        bool listed = false;
        for (size_t j = 0; j < len; j++)
            listed = listed || !strcmp(objects[j].name, r->runs[i].name);
        if (r->runs[i].used && !r->runs[i].cancelled && !listed)
            cancel_run(&r->runs[i]);
    }
    for (size_t i = 0; i < len; i++)
        apply_order(r, &objects[i]);
}

/* Only the watches of settings and VMs track how fresh the store's answers are. */
static void on_orders_answered(void *ctx)
{
    (void)ctx;
}

/* ---- the time of an order ---- */

static void start_run(struct rollout_run *run, int64_t wall_ms)
{
    const struct rk_rollout_order order = run->rollout.order;
    int64_t passed_ms = rk_wall_ms() - wall_ms;
    if (passed_ms < 0 || passed_ms > order.duration_ms)
        passed_ms = passed_ms < 0 ? 0 : order.duration_ms;
    set_up_rule(run, passed_ms);
    run->started = true;
    RK_EVENT("rollout.begun", RK_S("service", order.service),
             RK_S("version", order.version), RK_N("duration_ms", order.duration_ms),
             RK_N("passed_ms", passed_ms),
             RK_S("phase", rk_rollout_phase_str(run->rollout.rule.phase)));
}

static bool awaits_start(const struct rollout_run *run)
{
    return run->used && !run->started && !run->cancelled;
}

static void on_order_time_written(void *ctx, enum rk_status st,
                                  const struct rk_store_object *o)
{
    struct rollout_run *run = ctx;
    (void)o;
    run->busy = false;
    run->retry_at_ms = rk_mono_ms() + STORE_RETRY_MS;
    if (st == RK_OK && awaits_start(run))
        start_run(run, run->received_wall_ms);
}

static void on_order_time_read(void *ctx, enum rk_status st,
                               const struct rk_store_object *o)
{
    struct rollout_run *run = ctx;
    struct rk_store *store = run->r->n->store;
    run->busy = false;
    run->retry_at_ms = rk_mono_ms() + STORE_RETRY_MS;
    if (!awaits_start(run) || (st != RK_OK && st != RK_ENOTFOUND))
        return;
    const char *version = run->rollout.order.version;
    if (st == RK_OK && o && !strcmp(rk_json_str(o->spec, "version"), version)) {
        start_run(run, rk_field_int(o->spec, ORDER_TIME_KIND, &order_time));
        return;
    }
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "{\"version\":");
    rk_buf_json_str(&b, version);
    rk_buf_printf(&b, ",\"wall_ms\":%" PRId64 "}", run->received_wall_ms);
    run->busy = true;
    if (st == RK_OK && o)
        store->ops->replace(store, ORDER_TIME_KIND, run->name, o->revision, b.data,
                            on_order_time_written, run);
    else
        store->ops->create(store, ORDER_TIME_KIND, run->name, b.data,
                           on_order_time_written, run);
    rk_buf_free(&b);
}

/* Reads the time of the order. on_order_time_read() writes it if there is none. */
static void read_order_time(struct rollout_run *run)
{
    struct rk_store *store = run->r->n->store;
    /* A finished rollout doesn't depend on the time of its order. */
    if (run->recorded_state >= RK_ROLLOUT_DONE) {
        start_run(run, rk_wall_ms());
        return;
    }
    run->busy = true;
    store->ops->read(store, ORDER_TIME_KIND, run->name, false, on_order_time_read,
                     run);
}

/* ---- running a rollout ---- */

static void log_phase(const struct rk_rollout *r)
{
    const struct rk_canary_finding *f = &r->finding;
    RK_EVENT("rollout.phase", RK_S("service", r->order.service),
             RK_S("version", r->order.version),
             RK_S("phase", rk_rollout_phase_str(r->rule.phase)),
             RK_N("evidence_hundredths", (int64_t)(f->evidence * 100)),
             RK_S("by", f->by_time ? "time" : "failures"), RK_S("route", f->route),
             RK_N("new_calls", (int64_t)f->new_stats.calls),
             RK_N("new_failed", (int64_t)f->new_stats.failed),
             RK_N("new_pace_pct", rk_canary_latency_pct(&f->new_stats)),
             RK_N("old_calls", (int64_t)f->old_stats.calls),
             RK_N("old_failed", (int64_t)f->old_stats.failed),
             RK_N("old_pace_pct", rk_canary_latency_pct(&f->old_stats)));
}

/* Counts the VMs of both versions, and the calls in flight at the old ones. */
static void fill_input(const struct rollout_run *run, struct rk_rollout_input *in)
{
    const struct rk_node *n = run->r->n;
    const struct rk_rollout_order *order = &run->rollout.order;
    const struct rk_vm_row *row;
    const struct rk_rollout_stats *own =
        n->report
            ? rk_rollout_stats_find(n->report->canaries, n->report->canaries_len,
                                    order->service, order->version)
            : NULL;
    in->old_running = own ? own->old_running : 1; /* not 0 before it is known */
    char domains[RK_SIZING_DOMAINS][RK_ID_MAX];
    for (size_t i = 0; (row = rk_sync_vm_at(n->sync, i)); i++) {
        if (strcmp(row->service, order->service) != 0)
            continue;
        bool is_new = !strcmp(row->version, order->version);
        in->old_vms += !is_new && !row->leaving;
        if (!is_new || row->leaving)
            continue;
        in->new_vms++;
        size_t d = 0;
        while (d < in->new_domains && strcmp(domains[d], row->domain) != 0)
            d++;
        if (d == in->new_domains && d < RK_SIZING_DOMAINS)
            rk_strcpy(domains[in->new_domains++], RK_ID_MAX, row->domain);
    }
}

static void step_run(struct rollout_run *run)
{
    struct rk_rollout_stats *stats = rk_alloc(1, sizeof(*stats));
    rk_strcpy(stats->service, sizeof(stats->service), run->rollout.order.service);
    rk_strcpy(stats->version, sizeof(stats->version), run->rollout.order.version);
    rk_mesh_sum_canary_stats(run->r->n->mesh, stats);
    struct rk_rollout_input input = {.now_ms = rk_mono_ms(),
                                     .canary_rows = &stats->rows};
    fill_input(run, &input);
    enum rk_rollout_phase old_phase = run->rollout.rule.phase;
    rk_rollout_step(&run->rollout, &input);
    if (run->rollout.rule.phase != old_phase)
        log_phase(&run->rollout);
    free(stats);
}

static void on_state_recorded(void *ctx, enum rk_status st,
                              const struct rk_store_object *o)
{
    struct rollout_run *run = ctx;
    struct rk_rollout_order order;
    run->busy = false;
    run->retry_at_ms = st == RK_OK ? 0 : rk_mono_ms() + STORE_RETRY_MS;
    if (!o || !run->used)
        return;
    run->revision = o->revision;
    /* The state as the store has it now, even if another node wrote it. */
    if (run->r->n->platform->parse_rollout(o->spec, o->status, &order) &&
        !strcmp(order.version, run->rollout.order.version))
        run->recorded_state = order.state;
}

static void record_state(struct rollout_run *run)
{
    struct rk_store *store = run->r->n->store;
    enum rk_rollout_state state = rk_rollout_state_of(&run->rollout);
    struct rk_buf b = {0};
    if (run->recorded_state == state || run->cancelled)
        return;
    run->r->n->platform->format_rollout_status(run->rollout.order.version, state,
                                               &b);
    RK_EVENT("rollout.record", RK_S("service", run->rollout.order.service),
             RK_S("status", b.data));
    run->busy = true;
    store->ops->replace_status(store, run->r->n->platform->rollouts_kind, run->name,
                               run->revision, b.data, on_state_recorded, run);
    rk_buf_free(&b);
}

static void update_run(struct rollout_run *run)
{
    bool may_call = !run->busy && rk_mono_ms() >= run->retry_at_ms;
    if (!run->started) {
        if (may_call)
            read_order_time(run);
        return;
    }
    step_run(run);
    if (may_call)
        record_state(run);
}

void rk_rollouts_update_runs(struct rk_rollouts *r)
{
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        if (r->runs[i].used && !r->runs[i].cancelled)
            update_run(&r->runs[i]);
}

void rk_rollouts_begin_leading(struct rk_rollouts *r)
{
    for (size_t i = 0; i < RK_ROLLOUTS; i++)
        r->runs[i].used = false;
    r->orders.revision = 0;
}

void rk_rollouts_init_order_watch(struct rk_rollouts *r)
{
    r->orders = (struct rk_store_watch){.n = r->n,
                                        .kind = r->n->platform->rollouts_kind,
                                        .apply = apply_orders,
                                        .on_answer = on_orders_answered,
                                        .ctx = r};
    rk_store_watch_init(&r->orders);
}
