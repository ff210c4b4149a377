/* Settings and vms: watched in the store, one waiting call for each; what a peer
 * knows better is taken from it. Settings only rise in a process's life. */
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "node/state.h"
#include "objects/store.h"

#define WATCH_MS       2500 /* a watch that hangs must be noticed within contact */
#define RETRY_FIRST_MS 100
#define RETRY_MAX_MS   1000

/* One kind of object, followed by list and watch. */
struct follow {
    struct rk_sync *s;
    const char *kind;
    int64_t at; /* the store's revision that is known; 0: none yet */
    int64_t retry_ms;
    bool busy, listing;
    bool lost; /* the store doesn't answer */
    struct rk_timer retry;
    void (*apply)(struct rk_sync *s, const struct rk_store_object *objects,
                  size_t len, bool all);
};

/* A vm's object. */
struct entry {
    char *name;
    char *text; /* its contents, for peers */
    int64_t revision;
    struct rk_vm_row row;
};

struct rk_sync {
    struct rk_node *n;
    struct follow settings, vms;
    struct rk_routes *routes;
    char *settings_text;
    int64_t heard_ms; /* when the store answered last */
    struct entry *entries;
    size_t entries_len, entries_cap;
    bool list_known;
    int64_t list_revision; /* of the last change to the list */
    /* A message to a peer in the making. */
    Rillknot__ListRow *rows, **row_ptrs;
};

/* ---- settings ---- */

static void use_routes(struct rk_sync *s, struct rk_routes *routes,
                       const char *text, const char *from)
{
    RK_EVENT("settings.version", RK_N("version", routes->version),
             RK_N("before", s->routes ? s->routes->version : 0), RK_S("from", from),
             RK_N("routes", (int64_t)routes->routes_len),
             RK_N("organisations", (int64_t)routes->orgs_len));
    rk_routes_unref(s->routes);
    s->routes = routes;
    free(s->settings_text);
    s->settings_text = rk_strdup(text);
    rk_relay_set_routes(s->n->relay, rk_routes_ref(routes));
    rk_mesh_report(s->n->mesh, true);
}

static void take_settings(struct rk_sync *s, struct json_object *spec,
                          const char *from)
{
    struct rk_routes *routes;
    if (s->n->platform->parse_routes(spec, &routes) != RK_OK) {
        RK_WARN("settings.rejected", RK_S("why", rk_last_error()),
                RK_S("from", from),
                RK_N("kept", s->routes ? s->routes->version : 0));
        return;
    }
    if (s->routes && routes->version <= s->routes->version) {
        rk_routes_unref(routes);
        return;
    }
    use_routes(s, routes, json_object_to_json_string(spec), from);
}

static void apply_settings(struct rk_sync *s, const struct rk_store_object *objects,
                           size_t len, bool all)
{
    (void)all;
    for (size_t i = 0; i < len; i++)
        if (!objects[i].gone && objects[i].spec &&
            !strcmp(objects[i].name, s->n->platform->settings_name))
            take_settings(s, objects[i].spec, "store");
}

/* ---- vms ---- */

static struct entry *find_entry(struct rk_sync *s, const char *name)
{
    for (size_t i = 0; i < s->entries_len; i++)
        if (!strcmp(s->entries[i].name, name))
            return &s->entries[i];
    return NULL;
}

static void free_entry(struct entry *e)
{
    free(e->name);
    free(e->text);
}

static void remove_entry(struct rk_sync *s, struct entry *e)
{
    struct entry last = s->entries[--s->entries_len];
    free_entry(e);
    *e = last;
}

static struct entry *add_entry(struct rk_sync *s, const char *name)
{
    if (s->entries_len == s->entries_cap) {
        s->entries_cap = s->entries_cap ? s->entries_cap * 2 : 32;
        s->entries = rk_realloc(s->entries, s->entries_cap * sizeof(*s->entries));
    }
    struct entry *e = &s->entries[s->entries_len++];
    *e = (struct entry){.name = rk_strdup(name)};
    return e;
}

static void log_vm(const struct rk_vm_row *row, const char *what, const char *from)
{
    RK_EVENT("vm.changed", RK_S("vm", row->id), RK_S("what", what),
             RK_S("from", from), RK_S("service", row->service),
             RK_S("domain", row->domain), RK_S("addr", row->addr),
             RK_N("leaving", row->leaving), RK_N("reclaimable", row->reclaimable));
}

static bool same_row(const struct rk_vm_row *a, const struct rk_vm_row *b)
{
    return !strcmp(a->addr, b->addr) && !strcmp(a->service, b->service) &&
           !strcmp(a->domain, b->domain) && a->slots == b->slots &&
           a->leaving == b->leaving && a->reclaimable == b->reclaimable &&
           a->leaves_in_ms == b->leaves_in_ms;
}

/* Returns true if traffic has to know. */
static bool set_entry(struct rk_sync *s, const char *name, int64_t revision,
                      struct json_object *spec, const char *from)
{
    struct rk_vm_row row;
    struct entry *e = find_entry(s, name);
    if ((e && e->revision >= revision) ||
        !s->n->platform->parse_vm(name, spec, &row))
        return false;
    const char *what = e ? "updated" : "added";
    bool was_leaving = e && e->row.leaving;
    if (!e)
        e = add_entry(s, name);
    bool changed = !same_row(&e->row, &row);
    row.leaving = row.leaving || was_leaving;
    free(e->text);
    e->text = rk_strdup(json_object_to_json_string(spec));
    e->revision = revision;
    e->row = row;
    if (revision > s->list_revision)
        s->list_revision = revision;
    if (changed)
        log_vm(&row, what, from);
    return changed;
}

static bool drop_entry(struct rk_sync *s, const char *name, int64_t revision,
                       const char *from)
{
    struct entry *e = find_entry(s, name);
    if (revision > s->list_revision)
        s->list_revision = revision;
    if (!e)
        return false;
    log_vm(&e->row, "removed", from);
    remove_entry(s, e);
    return true;
}

static bool is_told(const struct rk_store_object *objects, size_t len,
                    const char *name)
{
    for (size_t i = 0; i < len; i++)
        if (!strcmp(objects[i].name, name))
            return true;
    return false;
}

/* A whole list: what it doesn't have is gone. */
static bool drop_missing(struct rk_sync *s, const struct rk_store_object *objects,
                         size_t len, const char *from)
{
    bool changed = false;
    for (size_t i = s->entries_len; i-- > 0;)
        if (!is_told(objects, len, s->entries[i].name))
            changed |= drop_entry(s, s->entries[i].name, 0, from);
    return changed;
}

static void publish_vms(struct rk_sync *s)
{
    struct rk_vm_row *rows = rk_alloc(s->entries_len + 1, sizeof(*rows));
    for (size_t i = 0; i < s->entries_len; i++)
        rows[i] = s->entries[i].row;
    rk_relay_set_vms(s->n->relay, rows, s->entries_len);
    rk_mesh_report(s->n->mesh, true);
}

static void take_vms(struct rk_sync *s, const struct rk_store_object *objects,
                     size_t len, bool all, const char *from)
{
    bool changed = !s->list_known;
    if (all)
        changed |= drop_missing(s, objects, len, from);
    for (size_t i = 0; i < len; i++) {
        if (objects[i].gone)
            changed |= drop_entry(s, objects[i].name, objects[i].revision, from);
        else if (objects[i].spec)
            changed |= set_entry(s, objects[i].name, objects[i].revision,
                                 objects[i].spec, from);
    }
    s->list_known = true;
    if (changed)
        publish_vms(s);
}

static void apply_vms(struct rk_sync *s, const struct rk_store_object *objects,
                      size_t len, bool all)
{
    take_vms(s, objects, len, all, "store");
}

/* ---- following ---- */

static void follow_next(struct follow *f);

static void note_store(struct follow *f, enum rk_status st)
{
    bool lost = st != RK_OK && st != RK_EGONE;
    if (!lost)
        f->s->heard_ms = rk_mono_ms();
    if (lost == f->lost)
        return;
    f->lost = lost;
    RK_EVENT(lost ? "store.lost" : "store.back", RK_S("kind", f->kind),
             RK_S("status", rk_status_str(st)), RK_N("at", f->at));
}

static void retry_later(struct follow *f)
{
    int64_t jitter = rk_rng_below(&f->s->n->rng, (uint32_t)f->retry_ms + 1);
    rk_timer_start(f->s->n->loop, &f->retry, f->retry_ms / 2 + jitter);
    f->retry_ms = f->retry_ms * 2 < RETRY_MAX_MS ? f->retry_ms * 2 : RETRY_MAX_MS;
}

static void on_answer(void *ctx, enum rk_status st,
                      const struct rk_store_object *objects, size_t len, int64_t at)
{
    struct follow *f = ctx;
    f->busy = false;
    note_store(f, st);
    if (st == RK_EGONE) {
        RK_EVENT("store.history_gone", RK_S("kind", f->kind), RK_N("at", f->at));
        f->at = 0;
        follow_next(f);
        return;
    }
    if (st != RK_OK) {
        retry_later(f);
        return;
    }
    f->retry_ms = RETRY_FIRST_MS;
    /* A peer may have told more meanwhile. */
    if (at >= f->at) {
        f->apply(f->s, objects, len, f->listing);
        f->at = at;
    }
    follow_next(f);
}

static void follow_next(struct follow *f)
{
    struct rk_store *store = f->s->n->store;
    if (f->busy)
        return;
    f->busy = true;
    f->listing = !f->at;
    if (f->listing)
        store->ops->list(store, f->kind, on_answer, f);
    else
        store->ops->watch(store, f->kind, f->at, WATCH_MS, on_answer, f);
}

static void on_retry(void *ctx)
{
    follow_next(ctx);
}

/* ---- peers ---- */

void rk_sync_tell(struct rk_sync *s, const Rillknot__StoreWanted *wanted,
                  Rillknot__StoreText *out)
{
    rillknot__store_text__init(out);
    if (wanted->settings && s->routes) {
        out->settings_revision = s->routes->version;
        out->settings = s->settings_text;
    }
    if (!wanted->list || !s->list_known)
        return;
    size_t size = s->entries_len + 1;
    s->rows = rk_realloc(s->rows, size * sizeof(*s->rows));
    s->row_ptrs = rk_realloc(s->row_ptrs, size * sizeof(*s->row_ptrs));
    for (size_t i = 0; i < s->entries_len; i++) {
        rillknot__list_row__init(&s->rows[i]);
        s->rows[i].name = s->entries[i].name;
        s->rows[i].revision = s->entries[i].revision;
        s->rows[i].text = s->entries[i].text;
        s->row_ptrs[i] = &s->rows[i];
    }
    out->list_revision = s->list_revision;
    out->n_list = s->entries_len;
    out->list = s->row_ptrs;
}

static void take_list_text(struct rk_sync *s, const Rillknot__StoreText *text)
{
    size_t len = text->n_list;
    struct rk_store_object *objects = rk_alloc(len + 1, sizeof(*objects));
    for (size_t i = 0; i < len; i++)
        objects[i] = (struct rk_store_object){
            .name = text->list[i]->name,
            .revision = text->list[i]->revision,
            .spec = json_tokener_parse(text->list[i]->text)};
    take_vms(s, objects, len, true, "peer");
    for (size_t i = 0; i < len; i++)
        json_object_put(objects[i].spec);
    free(objects);
    s->list_revision = text->list_revision;
    if (text->list_revision > s->vms.at)
        s->vms.at = text->list_revision;
}

void rk_sync_take(struct rk_sync *s, const Rillknot__StoreText *text)
{
    if (text->settings && text->settings[0]) {
        struct json_object *spec = json_tokener_parse(text->settings);
        if (spec)
            take_settings(s, spec, "peer");
        json_object_put(spec);
    }
    if (text->list_revision > s->list_revision)
        take_list_text(s, text);
}

/* ---- making ---- */

struct rk_sync *rk_sync_create(struct rk_node *n)
{
    struct rk_sync *s = rk_alloc(1, sizeof(*s));
    s->n = n;
    s->settings = (struct follow){.s = s,
                                  .kind = n->platform->settings_kind,
                                  .retry_ms = RETRY_FIRST_MS,
                                  .apply = apply_settings};
    s->vms = (struct follow){.s = s,
                             .kind = n->platform->vms_kind,
                             .retry_ms = RETRY_FIRST_MS,
                             .apply = apply_vms};
    s->settings.retry = (struct rk_timer){.fn = on_retry, .ctx = &s->settings};
    s->vms.retry = (struct rk_timer){.fn = on_retry, .ctx = &s->vms};
    return s;
}

void rk_sync_destroy(struct rk_sync *s)
{
    rk_timer_stop(s->n->loop, &s->settings.retry);
    rk_timer_stop(s->n->loop, &s->vms.retry);
    for (size_t i = 0; i < s->entries_len; i++)
        free_entry(&s->entries[i]);
    free(s->entries);
    free(s->rows);
    free(s->row_ptrs);
    free(s->settings_text);
    rk_routes_unref(s->routes);
    free(s);
}

void rk_sync_start(struct rk_sync *s)
{
    follow_next(&s->settings);
    follow_next(&s->vms);
}

bool rk_sync_ready(const struct rk_sync *s)
{
    return s->routes && s->list_known;
}

int64_t rk_sync_version(const struct rk_sync *s)
{
    return s->routes ? s->routes->version : 0;
}

int64_t rk_sync_list_revision(const struct rk_sync *s)
{
    return s->list_known ? s->list_revision : 0;
}

const struct rk_routes *rk_sync_routes(const struct rk_sync *s)
{
    return s->routes;
}

const struct rk_vm_row *rk_sync_vm_at(const struct rk_sync *s, size_t i)
{
    return i < s->entries_len ? &s->entries[i].row : NULL;
}

int64_t rk_sync_settings_age_ms(const struct rk_sync *s)
{
    return s->heard_ms ? rk_mono_ms() - s->heard_ms : -1;
}
