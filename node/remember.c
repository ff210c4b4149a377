/* What must outlast a kill of all nodes at once: the use of quotas, the counts of
 * windows that aren't reported yet, what was learnt of engines. The holder of the
 * duties writes it to the store while there is any; a process that had an earlier
 * life reads it once.
 *
 * While nobody holds the duties (for a lease and more after the holder's end, or
 * the store's return) another node writes the use of quotas in its place: two kills
 * of all nodes 4 s apart let an organisation use up to 1.32 of its quota, when what
 * was used between them stood nowhere. It passes on the counts of windows as they
 * were written last: only the holder is told them. */
#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "node/state.h"
#include "objects/store.h"

#define QUOTAS_KIND   "rillknot-quotas"
#define ENGINES_KIND  "rillknot-engines"
#define NAME          "recent"
#define QUOTAS_MS     300   /* between writes: what was used since is guessed */
#define ENGINES_MS    10000 /* the same: what is older is unlearnt by then */
#define SOME_SHARE    0.02  /* of a quota: less is not written */
#define SOME_SAMPLES  20    /* calls that an estimate rests on: fewer say little */
#define USAGE_WINDOWS 4     /* kept; those before are reported */
#define READ_TRIES    4
#define READ_MS       300

/* One object. */
struct kept {
    struct rk_remember *m;
    const char *kind;
    int64_t every_ms;
    bool stale; /* what was true seconds ago will do */
    bool (*build)(struct rk_remember *m, struct rk_buf *b); /* false: nothing */
    void (*restore)(struct rk_remember *m, struct json_object *spec); /* or NULL */
    int64_t revision; /* of the object; 0: not known */
    int64_t written_ms;
    bool busy;
    int tries;
    struct rk_timer again;
};

struct rk_remember {
    struct rk_node *n;
    struct kept quotas, engines;
    bool is_read; /* quotas and usage */
    bool holds;   /* what is written now is the holder's */
    /* Counts of windows as the store's object had them last, and when they were
     * counted; NULL: not known. */
    char *usage;
    int64_t usage_wall_ms;
};

/* ---- writing ---- */

static double quota_of(const struct rk_node *n, const struct rk_org_info *org)
{
    return org->rate * n->file.quota_window_s + org->burst;
}

/* What all nodes used of it within the window. */
static double used_of(const struct rk_org_use *use)
{
    double sum = 0;
    for (size_t i = 0; i < RK_QUOTA_PARTS; i++)
        sum += use->kept[i];
    return sum;
}

static void add_parts(struct rk_buf *b, const struct rk_org_use *use)
{
    for (size_t i = 0; i < RK_QUOTA_PARTS; i++)
        rk_buf_printf(b, "%s%.0f", i ? "," : "[", use->kept[i]);
    rk_buf_addstr(b, "]");
}

/* Was enough of it used to be kept? */
static bool is_kept(const struct rk_node *n, const struct rk_org_use *use)
{
    const struct rk_org_info *org =
        rk_routes_org(rk_sync_routes(n->sync), use->org);
    return org && org->rate > 0 && used_of(use) >= quota_of(n, org) * SOME_SHARE;
}

/* Counts of one window, and of the one before it. */
struct counts {
    int64_t window;
    struct rk_tally now, before;
};

/* What an organisation's calls of a window come to by the time of a kill, on
 * average: those of the current window go on as they came since the one before
 * began, while counts are on their way and for half of the time between writes. */
static double expected_count(const struct rk_node *n, const struct counts *c,
                             const char *org)
{
    int64_t size_ms = rk_s_to_ms(n->file.usage_window_s), wall_ms = rk_wall_ms();
    double count = rk_tally_total(&c->now, org);
    if (c->window != wall_ms / size_ms)
        return count;
    double before = rk_tally_total(&c->before, org);
    double passed_ms = (double)(size_ms + wall_ms % size_ms);
    double lag_ms = (double)rk_mesh_usage_lag_ms(n->mesh) + QUOTAS_MS / 2.0;
    return floor(count + (count + before) * lag_ms / passed_ms);
}

/* Counts of a window as an object; false: there are none. */
static bool add_window(const struct rk_node *n, const struct counts *c,
                       struct rk_buf *b)
{
    const struct rk_routes *routes = rk_sync_routes(n->sync);
    bool any = false;
    rk_buf_printf(b, "\"%" PRId64 "\":{", c->window);
    for (size_t i = 0; i < routes->orgs_len; i++) {
        double count = expected_count(n, c, routes->orgs[i].name);
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

/* Counts of the last windows, as members of an object; false: there are none. */
static bool add_usage(const struct rk_node *n, struct rk_buf *b)
{
    int64_t current = rk_wall_ms() / rk_s_to_ms(n->file.usage_window_s);
    struct counts c = {.window = current - USAGE_WINDOWS};
    bool any = false;
    rk_usage_sums(&n->usage, c.window, &c.now);
    for (int i = 0; i < USAGE_WINDOWS; i++) {
        rk_tally_free(&c.before);
        c = (struct counts){.window = c.window + 1, .before = c.now};
        rk_usage_sums(&n->usage, c.window, &c.now);
        rk_buf_addstr(b, i ? "," : "");
        any = add_window(n, &c, b) || any;
    }
    rk_tally_free(&c.before);
    rk_tally_free(&c.now);
    return any;
}

/* The counts as a member of an object; false: there are none. */
static bool put_usage(const struct rk_remember *m, struct rk_buf *b)
{
    if (m->holds) {
        rk_buf_printf(b, ",\"usage_wall_ms\":%" PRId64 ",\"usage\":{",
                      rk_wall_ms());
        bool any = add_usage(m->n, b);
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

/* When the counts of an object were true; older nodes tell one time for all. */
static int64_t usage_time(struct json_object *spec)
{
    return rk_json_int(spec, "usage_wall_ms", rk_json_int(spec, "wall_ms", 0));
}

/* Note what the store has, for the case that this node is to write it. */
static void note_usage(struct rk_remember *m, struct json_object *spec)
{
    struct json_object *usage = rk_json_get(spec, "usage");
    if (!json_object_is_type(usage, json_type_object))
        return;
    free(m->usage);
    m->usage = rk_strdup(json_object_to_json_string(usage));
    m->usage_wall_ms = usage_time(spec);
}

/* For nodes that come back all at once. */
static void add_size(const struct rk_node *n, struct rk_buf *b)
{
    const struct rk_fleet_size size = rk_mesh_size(n->mesh);
    if (size.nodes)
        rk_buf_printf(b, ",\"nodes\":%d,\"largest\":%d,\"capacity\":%" PRId64,
                      size.nodes, size.largest, size.capacity);
}

/* What organisations used of their quotas, and ask for, as JSON; false: nothing. */
static bool build_quotas(struct rk_remember *m, struct rk_buf *b)
{
    struct rk_node *n = m->n;
    struct rk_tally asking = {0};
    struct rk_buf asked = {0};
    bool any = false;
    /* What is not all would be taken for it. */
    if (!rk_sync_routes(n->sync) || !n->report || !n->report->knows_all)
        return false;
    rk_mesh_add_asking(n->mesh, &asking);
    rk_buf_printf(b, "{\"wall_ms\":%" PRId64, rk_wall_ms());
    add_size(n, b);
    rk_buf_addstr(b, ",\"used\":{");
    for (size_t i = 0; i < n->report->uses_len; i++) {
        const struct rk_org_use *use = &n->report->uses[i];
        if (!is_kept(n, use))
            continue;
        rk_buf_addstr(b, any ? "," : "");
        rk_buf_json_str(b, use->org);
        rk_buf_addstr(b, ":");
        add_parts(b, use);
        rk_buf_addstr(&asked, any ? "," : "");
        rk_buf_json_str(&asked, use->org);
        rk_buf_printf(&asked, ":%.0f", rk_tally_total(&asking, use->org));
        any = true;
    }
    rk_buf_printf(b, "},\"asking\":{%s}", any ? asked.data : "");
    any = put_usage(m, b) || any;
    rk_buf_addstr(b, "}");
    rk_buf_free(&asked);
    rk_tally_free(&asking);
    return any;
}

/* What the nodes learnt of each engine service as JSON; false: too little. */
static bool build_engines(struct rk_remember *m, struct rk_buf *b)
{
    const struct rk_routes *routes = rk_sync_routes(m->n->sync);
    bool any = false;
    rk_buf_addstr(b, "{");
    for (size_t i = 0; routes && i < routes->services_len; i++) {
        const char *service = routes->services[i].name;
        struct rk_engine_estimate e =
            rk_mesh_service_use(m->n->mesh, service).engine;
        if (!routes->services[i].engine || e.samples < SOME_SAMPLES)
            continue;
        rk_buf_addstr(b, any ? "," : "");
        rk_buf_json_str(b, service);
        rk_buf_printf(b,
                      ":{\"fixed_ms\":%.3f,\"ktoken_ms\":%.3f,"
                      "\"calm_ktoken_ms\":%.3f,\"running_ms\":%.3f,"
                      "\"error_ms\":%.3f,\"samples\":%.0f}",
                      e.fixed_ms, e.ktoken_ms, e.calm_ktoken_ms, e.running_ms,
                      e.error_ms, e.samples);
        any = true;
    }
    rk_buf_addstr(b, "}");
    return any;
}

static void on_written(void *ctx, enum rk_status st,
                       const struct rk_store_object *o)
{
    struct kept *k = ctx;
    k->busy = false;
    if ((st == RK_OK || st == RK_ECONFLICT) && o)
        k->revision = o->revision;
    else if (st == RK_ENOTFOUND)
        k->revision = 0;
    if (st != RK_ECONFLICT)
        return;
    k->written_ms = 0; /* another node's: now that its revision is known */
    if (o && k == &k->m->quotas)
        note_usage(k->m, o->spec);
}

static void write_kept(struct kept *k)
{
    struct rk_store *store = k->m->n->store;
    int64_t now_ms = rk_mono_ms();
    if (k->busy || (k->written_ms && now_ms - k->written_ms < k->every_ms))
        return;
    struct rk_buf b = {0};
    if (k->build(k->m, &b)) {
        k->busy = true;
        k->written_ms = now_ms;
        if (k->revision)
            store->ops->replace(store, k->kind, NAME, k->revision, b.data,
                                on_written, k);
        else
            store->ops->create(store, k->kind, NAME, b.data, on_written, k);
    }
    rk_buf_free(&b);
}

void rk_remember_stand_in(struct rk_remember *m)
{
    m->holds = false;
    write_kept(&m->quotas);
}

void rk_remember_tick(struct rk_remember *m)
{
    m->holds = true;
    write_kept(&m->quotas);
    write_kept(&m->engines);
}

/* ---- reading ---- */

static double part_at(struct json_object *parts, size_t i)
{
    if (!json_object_is_type(parts, json_type_array))
        return 0;
    return json_object_get_double(json_object_array_get_idx(parts, i));
}

static void restore_usage(struct rk_remember *m, struct json_object *spec)
{
    struct json_object *windows = rk_json_get(spec, "usage");
    int64_t kept_ms = usage_time(spec);
    if (!json_object_is_type(windows, json_type_object))
        return;
    json_object_object_foreach(windows, window, counts)
    {
        if (!json_object_is_type(counts, json_type_object))
            continue;
        json_object_object_foreach(counts, org, count)
        {
            struct rk_usage_row row = {.node = RK_USAGE_KEPT,
                                       .window = strtoll(window, NULL, 10),
                                       .since_ms = kept_ms};
            int64_t n = json_object_get_int64(count);
            row.count = n > 0 ? (uint64_t)n : 0;
            rk_strcpy(row.org, sizeof(row.org), org);
            rk_usage_merge(&m->n->usage, &row);
        }
    }
}

static void restore_quotas(struct rk_remember *m, struct json_object *spec)
{
    rk_returning_know(m->n, spec);
    restore_usage(m, spec);
    note_usage(m, spec);
    struct json_object *used = rk_json_get(spec, "used");
    struct json_object *asking = rk_json_get(spec, "asking");
    int64_t age_ms = rk_wall_ms() - rk_json_int(spec, "wall_ms", 0);
    if (!json_object_is_type(used, json_type_object)) {
        RK_EVENT("quota.nothing_restored", RK_N("object", spec != NULL));
        rk_relay_restore(m->n->relay, NULL, 0, INT64_MAX);
        return;
    }
    size_t len = (size_t)json_object_object_length(used), n = 0;
    struct rk_org_use *uses = rk_alloc(len + 1, sizeof(*uses));
    json_object_object_foreach(used, org, parts)
    {
        rk_strcpy(uses[n].org, sizeof(uses[n].org), org);
        for (size_t i = 0; i < RK_QUOTA_PARTS; i++)
            uses[n].known[i] = part_at(parts, i);
        uses[n].asking = fmax(0, rk_json_real(asking, org));
        n++;
    }
    RK_EVENT("quota.restored", RK_N("organisations", (int64_t)n),
             RK_N("age_ms", age_ms));
    rk_relay_restore(m->n->relay, uses, n, age_ms > 0 ? age_ms : 0);
}

static struct rk_engine_estimate parse_estimate(struct json_object *o)
{
    const struct rk_engine_estimate e = {
        .fixed_ms = rk_json_real(o, "fixed_ms"),
        .ktoken_ms = rk_json_real(o, "ktoken_ms"),
        .calm_ktoken_ms = rk_json_real(o, "calm_ktoken_ms"),
        .running_ms = rk_json_real(o, "running_ms"),
        .error_ms = rk_json_real(o, "error_ms"),
        .samples = rk_json_real(o, "samples")};
    if (rk_engine_is_sound(&e))
        return e;
    RK_WARN("engines.rejected", RK_S("from", "store"));
    return (struct rk_engine_estimate){0};
}

static void restore_engines(struct rk_remember *m, struct json_object *spec)
{
    if (!json_object_is_type(spec, json_type_object))
        return;
    size_t len = (size_t)json_object_object_length(spec), n = 0;
    struct rk_service_use *services = rk_alloc(len + 1, sizeof(*services));
    json_object_object_foreach(spec, service, estimate)
    {
        rk_strcpy(services[n].service, sizeof(services[n].service), service);
        services[n++].engine = parse_estimate(estimate);
    }
    RK_EVENT("engines.restored", RK_N("services", (int64_t)n));
    rk_relay_set_engines(m->n->relay, services, n);
}

static void on_read(void *ctx, enum rk_status st, const struct rk_store_object *o)
{
    struct kept *k = ctx;
    if (st == RK_OK && o) {
        k->revision = o->revision;
        k->restore(k->m, o->spec);
    } else if (st == RK_ENOTFOUND) {
        k->restore(k->m, NULL);
    } else if (++k->tries < READ_TRIES) {
        rk_timer_start(k->m->n->loop, &k->again, READ_MS);
        return;
    }
    if (k == &k->m->quotas)
        k->m->is_read = true;
}

bool rk_remember_is_read(const struct rk_remember *m)
{
    return m->is_read || m->n->file.first_start;
}

static void on_again(void *ctx)
{
    struct kept *k = ctx;
    k->m->n->store->ops->read(k->m->n->store, k->kind, NAME, k->stale, on_read, k);
}

void rk_remember_start(struct rk_remember *m)
{
    if (m->n->file.first_start)
        return;
    on_again(&m->quotas);
    on_again(&m->engines);
}

struct rk_remember *rk_remember_create(struct rk_node *n)
{
    struct rk_remember *m = rk_alloc(1, sizeof(*m));
    m->n = n;
    m->quotas = (struct kept){.m = m,
                              .kind = QUOTAS_KIND,
                              .every_ms = QUOTAS_MS,
                              .build = build_quotas,
                              .restore = restore_quotas};
    m->engines = (struct kept){.m = m,
                               .kind = ENGINES_KIND,
                               .every_ms = ENGINES_MS,
                               .stale = true,
                               .build = build_engines,
                               .restore = restore_engines};
    m->quotas.again = (struct rk_timer){.fn = on_again, .ctx = &m->quotas};
    m->engines.again = (struct rk_timer){.fn = on_again, .ctx = &m->engines};
    return m;
}

void rk_remember_destroy(struct rk_remember *m)
{
    rk_timer_stop(m->n->loop, &m->quotas.again);
    rk_timer_stop(m->n->loop, &m->engines.again);
    free(m->usage);
    free(m);
}
