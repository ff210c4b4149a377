/* Persisted state: what has to survive a kill of all nodes at once, that is the use
 * of quotas, the counts of windows that aren't reported yet, and the estimates of
 * the engines' speed. The leader writes it to the store; a restarted node reads it
 * once, as soon as the store answers. "Could not be read" is not "there is none":
 * the record is the only witness of a restore of the store for a process that
 * starts after it (core/restores.h), so a node neither replaces a record nor
 * reports windows before it has read it.
 *
 * There may be no leader for longer than a lease's duration, after the leader has
 * ended or the store has come back. One other node then acts for the leader and
 * writes the use of quotas. Without that, two kills of all nodes 4 s apart let an
 * organisation use up to 1.32 of its quota, as its use between the kills was not
 * persisted. The acting node writes the counts of windows as the store had them
 * last, since only the leader receives new ones. */
#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "common/number_field.h"
#include "core/restores.h"
#include "core/revision.h"
#include "core/usage_growth.h"
#include "node/state.h"
#include "objects/store.h"

#define QUOTAS_KIND  "rillknot-quotas"
#define ENGINES_KIND "rillknot-engines"
#define OBJECT_NAME  "recent"
/* Intervals of writes. After a restart, the use of quotas since the last write is
 * estimated. An engine estimate remembers the calls of some seconds at a busy
 * node, so it depends little on calls before the previous write. */
#define QUOTAS_INTERVAL_MS  300
#define ENGINES_INTERVAL_MS 10000
/* An organisation that used less than this share of its quota is left out. */
#define MIN_QUOTA_SHARE 0.02
/* An estimate made of fewer calls is too uncertain to be persisted. */
#define MIN_SAMPLES 20
/* Versions may have come and gone since an older object was written. */
#define ONLY_VERSION_MAX_AGE_MS 5000
#define USAGE_WINDOWS           4 /* persisted; older ones are reported already */
/* Calls counted lately may be this many times fewer than the mean by chance:
 * bridges send counts twice a second. */
#define GROWTH_MARGIN 3.0
/* First and largest delay between attempts to read, doubled each time, with up to
 * as much added at random: all nodes may have started while the store doesn't
 * answer. */
#define READ_RETRY_MIN_MS 150
#define READ_RETRY_MAX_MS 500

#define WALL_MAX_MS 9e15 /* of any time in a record */
#define COUNT_MAX   1e15 /* of calls, or of units of a quota */
/* A record with more organisations or services is restored up to here. */
#define ORGS_MAX       20000
#define SERVICES_MAX   2000
#define USAGE_ROWS_MAX (4 * ORGS_MAX)
/* Older windows are not reported any more. */
#define RESTORED_WINDOWS 8

#define NUMBER(n, hi)                                                              \
    {                                                                              \
        .name = n, .max = hi                                                       \
    }

static const struct {
    struct rk_number_field wall_ms, usage_wall_ms, era, restored_wall_ms, count,
        slice, demand;
} record_fields = {
    .wall_ms = NUMBER("wall_ms", WALL_MAX_MS),
    .usage_wall_ms = NUMBER("usage_wall_ms", WALL_MAX_MS),
    .era = NUMBER("era", (double)RK_REVISION_ERA_MAX),
    .restored_wall_ms = NUMBER("restored_wall_ms", WALL_MAX_MS),
    .count = NUMBER("usage", COUNT_MAX),
    .slice = NUMBER("used", COUNT_MAX),
    .demand = NUMBER("asking", COUNT_MAX),
};

/* An object of the store with persisted state. */
struct persisted_object {
    struct rk_persist *m;
    const char *kind;
    int64_t interval_ms;
    bool allow_stale; /* it may be read from a copy that is seconds old */
    /* Appends the contents to b. Returns false if there is nothing to persist. */
    bool (*build)(struct rk_persist *m, struct rk_buf *b);
    /* spec NULL: there is no object. */
    void (*restore)(struct rk_persist *m, struct json_object *spec);
    bool is_read;          /* the store has answered a read, or none is needed */
    int64_t read_retry_ms; /* delay after the next failed read */
    struct rk_timer retry;
    int64_t revision;   /* in the store; 0: not known, or no object */
    int64_t written_ms; /* start of the last write; 0: write as soon as possible */
    bool busy;          /* a write is in flight */
};

struct rk_persist {
    struct rk_node *n;
    struct persisted_object quotas, engines;
    bool is_leader; /* as of the current write */
    /* Counts of windows as the store's object had them last, and the wall time of
     * these counts; NULL: not known. */
    char *usage;
    int64_t usage_wall_ms;
    struct rk_usage_growth growth; /* of the counts, at the leader */
    struct rk_version_history *versions;
};

/* ---- writing ---- */

/* Returns an organisation's quota in units per window. */
static double quota_units(const struct rk_node *n, const struct rk_org_info *org)
{
    return org->rate * n->file.quota_window_s + org->burst;
}

/* Returns the units that all nodes used within the quota's window. */
static double used_units(const struct rk_org_use *use)
{
    double sum = 0;
    for (size_t i = 0; i < RK_QUOTA_SLICES; i++)
        sum += use->persisted_slices[i];
    return sum;
}

static void append_slices(struct rk_buf *b, const struct rk_org_use *use)
{
    for (size_t i = 0; i < RK_QUOTA_SLICES; i++)
        rk_buf_printf(b, "%s%.0f", i ? "," : "[", use->persisted_slices[i]);
    rk_buf_addstr(b, "]");
}

/* Returns whether enough of the quota was used to persist the row. */
static bool is_significant(const struct rk_node *n, const struct rk_org_use *use)
{
    const struct rk_org_info *org =
        rk_routes_org(rk_sync_routes(n->sync), use->org);
    return org && org->rate > 0 &&
           used_units(use) >= quota_units(n, org) * MIN_QUOTA_SHARE;
}

/* Counts of one window and of the previous one. */
struct window_counts {
    int64_t window;
    struct rk_totals totals, previous;
};

/* Returns the expected number of an organisation's calls in a window at the time of
 * a kill. In the current window, calls are taken to continue at their mean rate
 * since the start of the previous one, for the age of the counts received here and
 * half of the interval between writes. Nothing is added for callers that have
 * stopped, and little where far fewer calls were counted lately. */
static double expected_count(const struct rk_persist *m,
                             const struct window_counts *c, const char *org)
{
    const struct rk_node *n = m->n;
    int64_t size_ms = rk_s_to_ms(n->file.usage_window_s), wall_ms = rk_wall_ms();
    double count = rk_totals_value(&c->totals, org);
    if (c->window != wall_ms / size_ms)
        return count;
    double previous = rk_totals_value(&c->previous, org);
    double passed_ms = (double)(size_ms + wall_ms % size_ms);
    int64_t lag_ms = rk_mesh_usage_lag_ms(n->mesh) + QUOTAS_INTERVAL_MS / 2;
    double mean = (count + previous) * (double)lag_ms / passed_ms;
    double recent = rk_usage_growth_value(&m->growth, org, lag_ms, rk_mono_ms());
    return floor(count + (recent >= 0 ? fmin(recent * GROWTH_MARGIN, mean) : mean));
}

/* Appends a window's counts as a member. Returns false if all of them are 0. */
static bool append_window(const struct rk_persist *m, const struct window_counts *c,
                          struct rk_buf *b)
{
    const struct rk_routes *routes = rk_sync_routes(m->n->sync);
    bool any = false;
    rk_buf_printf(b, "\"%" PRId64 "\":{", c->window);
    for (size_t i = 0; i < routes->orgs_len; i++) {
        double count = expected_count(m, c, routes->orgs[i].name);
        if (count <= 0)
            continue;
        rk_buf_addstr(b, any ? "," : "");
        rk_buf_json_str(b, routes->orgs[i].name);
        rk_buf_printf(b, ":%.0f", count);
        any = true;
    }
    rk_buf_addstr(b, "}");
    return any;
}

/* Appends the counts of the last windows as members. Returns false if all of them
 * are 0. */
static bool append_windows(struct rk_persist *m, struct rk_buf *b)
{
    const struct rk_node *n = m->n;
    int64_t current = rk_wall_ms() / rk_s_to_ms(n->file.usage_window_s);
    struct window_counts c = {.window = current - USAGE_WINDOWS};
    bool any = false;
    rk_usage_sums(&n->usage, c.window, &c.totals);
    for (int i = 0; i < USAGE_WINDOWS; i++) {
        rk_totals_free(&c.previous);
        c = (struct window_counts){.window = c.window + 1, .previous = c.totals};
        rk_usage_sums(&n->usage, c.window, &c.totals);
        rk_usage_growth_note(&m->growth, c.window, &c.totals);
        rk_buf_addstr(b, i ? "," : "");
        any = append_window(m, &c, b) || any;
    }
    rk_usage_growth_snapshot(&m->growth, rk_mono_ms());
    rk_totals_free(&c.previous);
    rk_totals_free(&c.totals);
    return any;
}

/* Appends the counts and their wall time as members: at the leader the current
 * ones, at an acting node those of the store. Returns true if the leader has
 * counts. */
static bool append_usage(struct rk_persist *m, struct rk_buf *b)
{
    if (m->is_leader) {
        rk_buf_printf(b, ",\"usage_wall_ms\":%" PRId64 ",\"usage\":{",
                      rk_wall_ms());
        bool any = append_windows(m, b);
        rk_buf_addstr(b, "}");
        return any;
    }
    if (m->usage) {
        rk_buf_printf(
            b, ",\"usage_wall_ms\":%" PRId64 ",\"usage\":", m->usage_wall_ms);
        rk_buf_addstr(b, m->usage);
    }
    return false;
}

/* Returns the wall time of an object's counts. Objects of earlier versions have a
 * single time for all their members. */
static int64_t usage_wall_time(struct json_object *spec)
{
    return rk_json_get(spec, "usage_wall_ms")
               ? rk_field_int(spec, QUOTAS_KIND, &record_fields.usage_wall_ms)
               : rk_field_int(spec, QUOTAS_KIND, &record_fields.wall_ms);
}

/* Copies the store's counts, for when this node has to act for the leader. */
static void copy_usage(struct rk_persist *m, struct json_object *spec)
{
    struct json_object *usage = rk_json_get(spec, "usage");
    if (!json_object_is_type(usage, json_type_object))
        return;
    free(m->usage);
    m->usage = rk_strdup(json_object_to_json_string(usage));
    m->usage_wall_ms = usage_wall_time(spec);
}

/* Appends the fleet's size, which gives the read delay after a restart of all
 * nodes. */
static void append_fleet_size(const struct rk_node *n, struct rk_buf *b)
{
    const struct rk_fleet_size size = rk_mesh_fleet_size(n->mesh);
    if (size.nodes)
        rk_buf_printf(b, ",\"nodes\":%d,\"largest\":%d,\"capacity\":%" PRId64,
                      size.nodes, size.largest, size.capacity);
}

/* Appends the shares of the nodes whose usage is known, per window slice. */
static void append_shares(const struct rk_node *n, struct rk_buf *b)
{
    rk_buf_addstr(b, ",\"shares\":[");
    for (size_t i = 0; i < RK_QUOTA_SLICES; i++)
        rk_buf_printf(b, "%s%.4f", i ? "," : "",
                      n->report->quota_history_shares[i]);
    rk_buf_addstr(b, "]");
}

/* Appends the services of which only one version has served lately, the routing of
 * each with which that holds, and the revision of the VM list that this reflects.
 */
static void append_only_versions(const struct rk_node *n, struct rk_buf *b)
{
    const struct rk_only_version *rows = n->report->only_versions;
    rk_buf_printf(b, ",\"vms_revision\":%" PRId64,
                  rk_sync_relay_revision(n->sync, n->report->vms_revision));
    rk_buf_addstr(b, ",\"only\":{");
    for (size_t i = 0; i < n->report->only_versions_len; i++) {
        rk_buf_addstr(b, i ? "," : "");
        rk_buf_json_str(b, rows[i].service);
        rk_buf_addstr(b, ":");
        rk_buf_json_str(b, rows[i].version);
    }
    rk_buf_addstr(b, "},\"routing\":{");
    for (size_t i = 0; i < n->report->only_versions_len; i++) {
        rk_buf_addstr(b, i ? "," : "");
        rk_buf_json_str(b, rows[i].service);
        rk_buf_printf(b, ":%" PRIu64, rows[i].routing);
    }
    rk_buf_addstr(b, "}");
}

/* Builds the object with the use of quotas and demand by organisation. */
static bool build_quotas(struct rk_persist *m, struct rk_buf *b)
{
    struct rk_node *n = m->n;
    struct rk_org_demands demand = {0};
    struct rk_buf demand_text = {0};
    bool any = false;
    /* After a restart, persisted usage is taken to be complete. */
    if (!rk_sync_routes(n->sync) || !n->report ||
        !n->report->quota_history_complete)
        return false;
    rk_mesh_add_demand(n->mesh, &demand);
    rk_buf_printf(b, "{\"wall_ms\":%" PRId64, rk_wall_ms());
    rk_buf_printf(b, ",\"era\":%" PRId64 ",\"restored_wall_ms\":%" PRId64,
                  n->store->era, rk_leader_restores(n->leader)->noticed_ms);
    append_fleet_size(n, b);
    append_shares(n, b);
    append_only_versions(n, b);
    rk_buf_addstr(b, ",\"used\":{");
    for (size_t i = 0; i < n->report->quota_usage_len; i++) {
        const struct rk_org_use *use = &n->report->quota_usage[i];
        if (!is_significant(n, use))
            continue;
        rk_buf_addstr(b, any ? "," : "");
        rk_buf_json_str(b, use->org);
        rk_buf_addstr(b, ":");
        append_slices(b, use);
        rk_buf_addstr(&demand_text, any ? "," : "");
        rk_buf_json_str(&demand_text, use->org);
        const struct rk_org_demand *row = rk_org_demands_find(&demand, use->org);
        rk_buf_printf(&demand_text, ":%.0f",
                      row ? rk_quota_class_sum(row->per_s) : 0);
        any = true;
    }
    rk_buf_printf(b, "},\"asking\":{%s}", any ? demand_text.data : "");
    any = append_usage(m, b) || any;
    rk_buf_addstr(b, "}");
    rk_buf_free(&demand_text);
    rk_org_demands_free(&demand);
    return any;
}

/* Builds the object with the estimate of each engine service. */
static bool build_engines(struct rk_persist *m, struct rk_buf *b)
{
    const struct rk_routes *routes = rk_sync_routes(m->n->sync);
    bool any = false;
    rk_buf_addstr(b, "{");
    for (size_t i = 0; routes && i < routes->services_len; i++) {
        const char *service = routes->services[i].name;
        struct rk_engine_estimate e =
            rk_mesh_service_use(m->n->mesh, service).engine;
        if (!routes->services[i].engine || e.samples < MIN_SAMPLES)
            continue;
        rk_buf_addstr(b, any ? "," : "");
        rk_buf_json_str(b, service);
        rk_buf_printf(b,
                      ":{\"fixed_ms\":%.3f,\"ktoken_ms\":%.3f,"
                      "\"calm_ktoken_ms\":%.3f,\"running_ms\":%.3f,"
                      "\"error_ms\":%.3f,\"samples\":%.0f}",
                      e.fixed_ms, e.ktoken_ms, e.unloaded_ktoken_ms, e.running_ms,
                      e.error_ms, e.samples);
        any = true;
    }
    rk_buf_addstr(b, "}");
    return any;
}

static void on_object_written(void *ctx, enum rk_status st,
                              const struct rk_store_object *o)
{
    struct persisted_object *p = ctx;
    p->busy = false;
    if ((st == RK_OK || st == RK_ECONFLICT) && o)
        p->revision = o->revision;
    else if (st == RK_ENOTFOUND)
        p->revision = 0;
    if (st != RK_ECONFLICT)
        return;
    /* Another node wrote it: write again at once, as the revision is known now. */
    p->written_ms = 0;
    if (o && p == &p->m->quotas)
        copy_usage(p->m, o->spec);
}

static void write_object(struct persisted_object *p)
{
    struct rk_store *store = p->m->n->store;
    int64_t now_ms = rk_mono_ms();
    if (!p->is_read || p->busy ||
        (p->written_ms && now_ms - p->written_ms < p->interval_ms))
        return;
    struct rk_buf b = {0};
    if (p->build(p->m, &b)) {
        p->busy = true;
        p->written_ms = now_ms;
        if (p->revision)
            store->ops->replace(store, p->kind, OBJECT_NAME, p->revision, b.data,
                                on_object_written, p);
        else
            store->ops->create(store, p->kind, OBJECT_NAME, b.data,
                               on_object_written, p);
    }
    rk_buf_free(&b);
}

void rk_persist_tick_acting(struct rk_persist *m)
{
    m->is_leader = false;
    write_object(&m->quotas);
}

void rk_persist_tick(struct rk_persist *m)
{
    m->is_leader = true;
    write_object(&m->quotas);
    write_object(&m->engines);
}

/* ---- reading ---- */

static double slice_at(struct json_object *slices, size_t i)
{
    if (!json_object_is_type(slices, json_type_array))
        return 0;
    return rk_field_value(json_object_array_get_idx(slices, i), QUOTAS_KIND,
                          &record_fields.slice);
}

/* Returns whether a window may still be reported, or is the current one by the
 * clock of another node. Rows of later windows would never be removed. */
static bool is_recent_window(const struct rk_persist *m, int64_t window)
{
    int64_t current = rk_wall_ms() / rk_s_to_ms(m->n->file.usage_window_s);
    return window >= current - RESTORED_WINDOWS && window <= current + 1;
}

static void restore_window(struct rk_persist *m, int64_t window,
                           struct json_object *counts, int64_t counted_wall_ms)
{
    json_object_object_foreach(counts, org, count)
    {
        struct rk_usage_row row = {.node = RK_USAGE_PERSISTED,
                                   .window = window,
                                   .count = (uint64_t)rk_field_value(
                                       count, QUOTAS_KIND, &record_fields.count),
                                   .since_ms = counted_wall_ms};
        if (m->n->usage.len < USAGE_ROWS_MAX &&
            rk_strcpy(row.org, sizeof(row.org), org))
            rk_usage_merge(&m->n->usage, &row);
    }
}

static void restore_usage(struct rk_persist *m, struct json_object *spec)
{
    struct json_object *windows = rk_json_get(spec, "usage");
    int64_t counted_wall_ms = usage_wall_time(spec);
    if (!json_object_is_type(windows, json_type_object))
        return;
    json_object_object_foreach(windows, window, counts)
    {
        int64_t number = strtoll(window, NULL, 10);
        if (json_object_is_type(counts, json_type_object) &&
            is_recent_window(m, number))
            restore_window(m, number, counts, counted_wall_ms);
    }
}

/* Without this, resumes would be rejected for the lifetime of a stream after a kill
 * of all nodes, though one version has served all the time. */
static void restore_only_versions(struct rk_persist *m, struct json_object *spec,
                                  int64_t age_ms)
{
    struct json_object *only = rk_json_get(spec, "only");
    int64_t list_revision = rk_json_int(spec, "vms_revision", 0);
    if (age_ms > ONLY_VERSION_MAX_AGE_MS ||
        !rk_sync_is_plausible(m->n->sync, list_revision) ||
        !json_object_is_type(only, json_type_object))
        return;
    size_t len = 0;
    struct json_object *routings = rk_json_get(spec, "routing");
    struct rk_only_version *rows =
        rk_alloc((size_t)json_object_object_length(only) + 1, sizeof(*rows));
    json_object_object_foreach(only, service, version)
    {
        const char *text = json_object_get_string(version);
        int64_t routing = rk_json_int(routings, service, 0);
        rows[len].routing = routing > 0 ? (uint64_t)routing : 0;
        if (json_object_is_type(version, json_type_string) &&
            rk_strcpy(rows[len].service, sizeof(rows[len].service), service) &&
            rk_strcpy(rows[len].version, sizeof(rows[len].version), text))
            len++;
    }
    rk_version_history_check(m->versions, rows, len, list_revision,
                             ONLY_VERSION_MAX_AGE_MS - (age_ms > 0 ? age_ms : 0));
}

/* The nodes before this one may have believed an era above the one that the store
 * names, and led in it: fencing tokens have to stay above theirs. */
static void restore_era(struct rk_persist *m, int64_t era)
{
    struct rk_store *store = m->n->store;
    if (era > store->era && era - store->era <= RK_REVISION_ERA_STEP_MAX)
        store->ops->note_era(store, era);
}

static void restore_quotas(struct rk_persist *m, struct json_object *spec)
{
    int64_t now_ms = rk_wall_ms();
    struct rk_restores_record record = {
        .era = rk_field_int(spec, QUOTAS_KIND, &record_fields.era),
        .noticed_ms =
            rk_field_int(spec, QUOTAS_KIND, &record_fields.restored_wall_ms)};
    /* With a restore in the future, windows would be skipped until then. */
    if (record.noticed_ms > now_ms)
        record.noticed_ms = now_ms;
    rk_read_delay_set_fleet_size(m->n, spec);
    rk_leader_note_record(m->n->leader, spec ? &record : NULL);
    restore_era(m, record.era);
    restore_usage(m, spec);
    copy_usage(m, spec);
    struct json_object *used = rk_json_get(spec, "used");
    struct json_object *demand = rk_json_get(spec, "asking");
    struct json_object *persisted_shares = rk_json_get(spec, "shares");
    double shares[RK_QUOTA_SLICES];
    for (size_t i = 0; i < RK_QUOTA_SLICES; i++)
        shares[i] = fmin(1, fmax(0, slice_at(persisted_shares, i)));
    int64_t age_ms =
        now_ms - rk_field_int(spec, QUOTAS_KIND, &record_fields.wall_ms);
    restore_only_versions(m, spec, age_ms);
    if (!json_object_is_type(used, json_type_object)) {
        RK_EVENT("quota.nothing_restored", RK_N("object", spec != NULL));
        rk_relay_restore_quota_usage(m->n->relay, NULL, 0, shares, INT64_MAX);
        return;
    }
    size_t len = (size_t)json_object_object_length(used), n = 0;
    struct rk_org_use *uses =
        rk_alloc((len < ORGS_MAX ? len : ORGS_MAX) + 1, sizeof(*uses));
    json_object_object_foreach(used, org, slices)
    {
        if (n == ORGS_MAX || !rk_strcpy(uses[n].org, sizeof(uses[n].org), org))
            continue;
        for (size_t i = 0; i < RK_QUOTA_SLICES; i++)
            uses[n].used_slices[i] = slice_at(slices, i);
        uses[n].demand_per_s = rk_field_value(rk_json_get(demand, org), QUOTAS_KIND,
                                              &record_fields.demand);
        n++;
    }
    RK_EVENT("quota.restored", RK_N("organisations", (int64_t)n),
             RK_N("age_ms", age_ms));
    rk_relay_restore_quota_usage(m->n->relay, uses, n, shares,
                                 age_ms > 0 ? age_ms : 0);
}

static struct rk_engine_estimate parse_estimate(struct json_object *o)
{
    const struct rk_engine_estimate e = {
        .fixed_ms = rk_json_real(o, "fixed_ms"),
        .ktoken_ms = rk_json_real(o, "ktoken_ms"),
        .unloaded_ktoken_ms = rk_json_real(o, "calm_ktoken_ms"),
        .running_ms = rk_json_real(o, "running_ms"),
        .error_ms = rk_json_real(o, "error_ms"),
        .samples = rk_json_real(o, "samples")};
    if (rk_engine_is_valid(&e))
        return e;
    RK_WARN("engines.rejected", RK_S("from", "store"));
    return (struct rk_engine_estimate){0};
}

static void restore_engines(struct rk_persist *m, struct json_object *spec)
{
    if (!json_object_is_type(spec, json_type_object))
        return;
    size_t len = (size_t)json_object_object_length(spec), n = 0;
    len = len < SERVICES_MAX ? len : SERVICES_MAX;
    struct rk_service_load *services = rk_alloc(len + 1, sizeof(*services));
    json_object_object_foreach(spec, service, estimate)
    {
        if (n < len &&
            rk_strcpy(services[n].service, sizeof(services[n].service), service))
            services[n++].engine = parse_estimate(estimate);
    }
    RK_EVENT("engines.restored", RK_N("services", (int64_t)n));
    rk_relay_set_engine_priors(m->n->relay, services, n);
}

static void retry_read(struct persisted_object *p)
{
    int64_t wait_ms = p->read_retry_ms;
    int64_t jitter_ms = rk_rng_below(&p->m->n->rng, (uint32_t)wait_ms);
    rk_timer_start(p->m->n->loop, &p->retry, wait_ms + jitter_ms);
    p->read_retry_ms =
        wait_ms * 2 < READ_RETRY_MAX_MS ? wait_ms * 2 : READ_RETRY_MAX_MS;
}

static void on_object_read(void *ctx, enum rk_status st,
                           const struct rk_store_object *o)
{
    struct persisted_object *p = ctx;
    bool found = st == RK_OK && o;
    if (!found && st != RK_ENOTFOUND) {
        retry_read(p);
        return;
    }
    p->is_read = true;
    p->revision = found ? o->revision : 0;
    p->restore(p->m, found ? o->spec : NULL);
}

static void read_object(void *ctx)
{
    struct persisted_object *p = ctx;
    p->m->n->store->ops->read(p->m->n->store, p->kind, OBJECT_NAME, p->allow_stale,
                              on_object_read, p);
}

void rk_persist_start(struct rk_persist *m)
{
    if (m->n->file.first_start) {
        m->quotas.is_read = m->engines.is_read = true;
        return;
    }
    read_object(&m->quotas);
    read_object(&m->engines);
}

struct rk_persist *rk_persist_create(struct rk_node *n)
{
    struct rk_persist *m = rk_alloc(1, sizeof(*m));
    m->n = n;
    m->versions = rk_version_history_create(n);
    m->quotas = (struct persisted_object){.m = m,
                                          .kind = QUOTAS_KIND,
                                          .interval_ms = QUOTAS_INTERVAL_MS,
                                          .build = build_quotas,
                                          .restore = restore_quotas};
    m->engines = (struct persisted_object){.m = m,
                                           .kind = ENGINES_KIND,
                                           .interval_ms = ENGINES_INTERVAL_MS,
                                           .allow_stale = true,
                                           .build = build_engines,
                                           .restore = restore_engines};
    m->quotas.read_retry_ms = m->engines.read_retry_ms = READ_RETRY_MIN_MS;
    m->quotas.retry = (struct rk_timer){.fn = read_object, .ctx = &m->quotas};
    m->engines.retry = (struct rk_timer){.fn = read_object, .ctx = &m->engines};
    return m;
}

void rk_persist_destroy(struct rk_persist *m)
{
    rk_timer_stop(m->n->loop, &m->quotas.retry);
    rk_timer_stop(m->n->loop, &m->engines.retry);
    rk_version_history_destroy(m->versions);
    rk_usage_growth_free(&m->growth);
    free(m->usage);
    free(m);
}
