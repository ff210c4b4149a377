/* What must outlast a kill of all nodes at once: the use of quotas. The holder of
 * the duties writes it to the store while there is any; a process that had an
 * earlier life reads it once. */
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json.h"
#include "node/state.h"
#include "objects/store.h"

#define KIND       "rillknot-quotas"
#define NAME       "recent"
#define WRITE_MS   300  /* between writes: what was used since is guessed */
#define SOME_SHARE 0.02 /* of a quota: less is not written */
#define READ_TRIES 4
#define READ_MS    300

struct rk_remember {
    struct rk_node *n;
    int64_t revision; /* of the object; 0: not known */
    int64_t written_ms;
    bool busy;
    int tries;
    struct rk_timer again;
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

/* What organisations used of their quotas as JSON; false: nothing. */
static bool build(struct rk_remember *m, struct rk_buf *b)
{
    struct rk_node *n = m->n;
    const struct rk_routes *routes = rk_sync_routes(n->sync);
    bool any = false;
    /* What is not all would be taken for it. */
    if (!n->report || !n->report->knows_all)
        return false;
    rk_buf_printf(b, "{\"wall_ms\":%" PRId64 ",\"used\":{", rk_wall_ms());
    for (size_t i = 0; routes && i < n->report->uses_len; i++) {
        const struct rk_org_use *use = &n->report->uses[i];
        const struct rk_org_info *org = rk_routes_org(routes, use->org);
        if (!org || org->rate <= 0 || used_of(use) < quota_of(n, org) * SOME_SHARE)
            continue;
        rk_buf_addstr(b, any ? "," : "");
        rk_buf_json_str(b, use->org);
        rk_buf_addstr(b, ":");
        add_parts(b, use);
        any = true;
    }
    rk_buf_addstr(b, "}}");
    return any;
}

static void on_written(void *ctx, enum rk_status st,
                       const struct rk_store_object *o)
{
    struct rk_remember *m = ctx;
    m->busy = false;
    if ((st == RK_OK || st == RK_ECONFLICT) && o)
        m->revision = o->revision;
    else if (st == RK_ENOTFOUND)
        m->revision = 0;
    if (st == RK_ECONFLICT)
        m->written_ms = 0; /* another node's: now that its revision is known */
}

void rk_remember_tick(struct rk_remember *m)
{
    struct rk_store *store = m->n->store;
    int64_t now_ms = rk_mono_ms();
    if (m->busy || now_ms - m->written_ms < WRITE_MS)
        return;
    struct rk_buf b = {0};
    if (build(m, &b)) {
        m->busy = true;
        m->written_ms = now_ms;
        if (m->revision)
            store->ops->replace(store, KIND, NAME, m->revision, b.data, on_written,
                                m);
        else
            store->ops->create(store, KIND, NAME, b.data, on_written, m);
    }
    rk_buf_free(&b);
}

/* ---- reading ---- */

static double part_at(struct json_object *parts, size_t i)
{
    if (!json_object_is_type(parts, json_type_array))
        return 0;
    return json_object_get_double(json_object_array_get_idx(parts, i));
}

static void restore(struct rk_remember *m, struct json_object *spec)
{
    struct json_object *used = rk_json_get(spec, "used");
    int64_t age_ms = rk_wall_ms() - rk_json_int(spec, "wall_ms", 0);
    if (!json_object_is_type(used, json_type_object))
        return;
    size_t len = (size_t)json_object_object_length(used), n = 0;
    struct rk_org_use *uses = rk_alloc(len + 1, sizeof(*uses));
    json_object_object_foreach(used, org, parts)
    {
        rk_strcpy(uses[n].org, sizeof(uses[n].org), org);
        for (size_t i = 0; i < RK_QUOTA_PARTS; i++)
            uses[n].known[i] = part_at(parts, i);
        n++;
    }
    RK_EVENT("quota.restored", RK_N("organisations", (int64_t)n),
             RK_N("age_ms", age_ms));
    rk_relay_restore(m->n->relay, uses, n, age_ms > 0 ? age_ms : 0);
}

static void on_read(void *ctx, enum rk_status st, const struct rk_store_object *o)
{
    struct rk_remember *m = ctx;
    if (st == RK_OK && o) {
        m->revision = o->revision;
        restore(m, o->spec);
    } else if (st == RK_ENOTFOUND) {
        rk_relay_restore(m->n->relay, NULL, 0, INT64_MAX);
    } else if (++m->tries < READ_TRIES) {
        rk_timer_start(m->n->loop, &m->again, READ_MS);
    }
}

static void on_again(void *ctx)
{
    struct rk_remember *m = ctx;
    m->n->store->ops->read(m->n->store, KIND, NAME, on_read, m);
}

void rk_remember_start(struct rk_remember *m)
{
    if (!m->n->file.first_start)
        on_again(m);
}

struct rk_remember *rk_remember_create(struct rk_node *n)
{
    struct rk_remember *m = rk_alloc(1, sizeof(*m));
    m->n = n;
    m->again = (struct rk_timer){.fn = on_again, .ctx = m};
    return m;
}

void rk_remember_destroy(struct rk_remember *m)
{
    rk_timer_stop(m->n->loop, &m->again);
    free(m);
}
