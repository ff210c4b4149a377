/* The list of vms: entries as the store or a peer tells them, those that lapsed
 * with the store, those that left. */
#include <json-c/json.h>
#include <json-c/linkhash.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "common/zip.h"
#include "node/sync_impl.h"

#define LAPSED_MS                                                                  \
    1900 /* vms whose entries lapsed with the store are back so soon */

#define GONE_FIRST  64 /* places for vms that left, doubled as they fill */
#define NAMES_FIRST 64
/* So many rows and more are told compressed: 1.2 MB of 3,000 vms is 80 KB then, and
 * a bridge with a hundred nodes filled its link for seconds with them. */
#define ZIP_ROWS 24
#define LIST_MAX (16 * 1024 * 1024) /* bytes of rows that a peer told */

static struct entry *find_entry(struct rk_sync *s, const char *name)
{
    void *e = NULL;
    lh_table_lookup_ex(s->by_name, name, &e);
    return e;
}

static void free_entry(struct entry *e)
{
    free(e->name);
    free(e->text);
    free(e);
}

static void remove_entry(struct rk_sync *s, struct entry *e)
{
    struct entry *last = s->entries[--s->entries_len];
    rk_sync_note_left(s, e->name);
    lh_table_delete(s->by_name, e->name);
    s->entries[e->at] = last;
    last->at = e->at;
    free_entry(e);
}

static struct entry *add_entry(struct rk_sync *s, const char *name)
{
    if (s->entries_len == s->entries_cap) {
        s->entries_cap = s->entries_cap ? s->entries_cap * 2 : 32;
        s->entries = rk_realloc(s->entries, s->entries_cap * sizeof(*s->entries));
    }
    struct entry *e = rk_alloc(1, sizeof(*e));
    e->at = s->entries_len;
    e->name = rk_strdup(name);
    s->entries[s->entries_len++] = e;
    lh_table_insert(s->by_name, e->name, e);
    return e;
}

static void log_vm(const struct rk_sync *s, const struct rk_vm_row *row,
                   const char *what, const char *from)
{
    if (s->in_bulk)
        return;
    RK_EVENT("vm.changed", RK_S("vm", row->id), RK_S("what", what),
             RK_S("from", from), RK_S("service", row->service),
             RK_S("domain", row->domain), RK_S("addr", row->addr),
             RK_N("leaving", row->leaving), RK_N("reclaimable", row->reclaimable),
             RK_N("born_ms", row->born_ms));
}

static bool same_row(const struct rk_vm_row *a, const struct rk_vm_row *b)
{
    return !strcmp(a->addr, b->addr) && !strcmp(a->service, b->service) &&
           !strcmp(a->domain, b->domain) && a->slots == b->slots &&
           !strcmp(a->version, b->version) && a->leaving == b->leaving &&
           a->born_ms == b->born_ms && a->reclaimable == b->reclaimable &&
           a->leaves_in_ms == b->leaves_in_ms;
}

static bool drop_entry(struct rk_sync *s, const struct gone *told,
                       const char *from);

/* What stands there now names no vm: none is used, until it does again. */
static bool reject_entry(struct rk_sync *s, const char *name, int64_t revision,
                         const char *from)
{
    struct gone g = {.revision = revision, .at = revision};
    RK_WARN("vm.rejected", RK_S("vm", name), RK_S("why", rk_last_error()),
            RK_S("from", from), RK_N("revision", revision));
    rk_count(RK_C_VMS_REJECTED, 1);
    if (!find_entry(s, name))
        return false;
    rk_strcpy(g.name, sizeof(g.name), name);
    return drop_entry(s, &g, from);
}

/* Keep what is known of a vm, where that doesn't come with what is told now; false:
 * an earlier life of it told that, and it arrived late. */
static bool keep_known(struct entry *e, struct rk_vm_row *row, int64_t revision)
{
    if (rk_vm_is_reborn(row, &e->row))
        return false;
    if (rk_vm_is_reborn(&e->row, row)) {
        e->first_revision = revision;
        return true;
    }
    if (!row->born_ms)
        row->born_ms = e->row.born_ms;
    row->leaving = row->leaving || e->row.leaving;
    return true;
}

/* Returns true if traffic has to know. */
static bool set_entry(struct rk_sync *s, const char *name, int64_t revision,
                      struct json_object *spec, const char *from)
{
    struct rk_vm_row row;
    struct entry *e = find_entry(s, name);
    if (e && e->revision >= revision)
        return false;
    if (s->n->platform->parse_vm(name, spec, &row) != RK_OK)
        return reject_entry(s, name, revision, from);
    const char *what = e ? "updated" : "added";
    if (!e) {
        e = add_entry(s, name);
        e->first_revision = revision;
    } else if (!keep_known(e, &row, revision)) {
        e->revision = revision;
        return false;
    }
    bool changed = !same_row(&e->row, &row);
    free(e->text);
    e->text = rk_strdup(json_object_to_json_string(spec));
    e->revision = revision;
    e->lapse_ends_ms = 0;
    e->row = row;
    e->is_news = e->is_news || changed;
    if (changed)
        log_vm(s, &row, what, from);
    return changed;
}

/* Until when entries that go now count as lapsed with the store, rather than as
 * ends of their vms; 0: they don't. */
static int64_t lapse_ends_ms(const struct rk_sync *s)
{
    int64_t ends_ms = s->back_ms + LAPSED_MS;
    return s->back_ms && rk_mono_ms() < ends_ms ? ends_ms : 0;
}

/* Wake up when the first of the lapsed entries is to go. */
static void await_lapses(struct rk_sync *s)
{
    int64_t first_ms = 0, now_ms = rk_mono_ms();
    for (size_t i = 0; i < s->entries_len; i++) {
        int64_t ends_ms = s->entries[i]->lapse_ends_ms;
        if (ends_ms && (!first_ms || ends_ms < first_ms))
            first_ms = ends_ms;
    }
    if (first_ms)
        rk_timer_start(s->n->loop, &s->lapses,
                       first_ms > now_ms ? first_ms - now_ms : 0);
}

static void remember_gone(struct rk_sync *s, const struct gone *gone)
{
    if (s->gone_len == s->gone_cap && s->gone_cap < RK_SYNC_GONE_KEPT) {
        s->gone_cap = s->gone_cap ? s->gone_cap * 2 : GONE_FIRST;
        s->gone = rk_realloc(s->gone, s->gone_cap * sizeof(*s->gone));
    }
    struct gone *g = &s->gone[s->gone_len++ % s->gone_cap];
    if (s->gone_len > RK_SYNC_GONE_KEPT && g->at > s->gone_since)
        s->gone_since = g->at;
    *g = *gone;
}

/* A vm is off the list. One that lapsed while the store was away is kept a little:
 * it comes back, under a higher revision, if it lives. */
static bool drop_entry(struct rk_sync *s, const struct gone *told, const char *from)
{
    struct entry *e = find_entry(s, told->name);
    if (e && e->revision > told->revision)
        return false;
    /* Also of one that came and went unseen here: a peer may have seen it come. */
    remember_gone(s, told);
    if (!e)
        return false;
    if (told->lapse_ends_ms && !e->row.leaving) {
        if (e->lapse_ends_ms)
            return false;
        log_vm(s, &e->row, "lapsed", from);
        e->lapse_ends_ms = told->lapse_ends_ms;
        await_lapses(s);
        return false;
    }
    log_vm(s, &e->row, "removed", from);
    remove_entry(s, e);
    return true;
}

/* What the store tells of a vm that is gone may carry the revision of its last
 * change: its end has none of its own then. */
static bool drop_told(struct rk_sync *s, const struct rk_store_object *o,
                      int64_t at)
{
    const struct entry *e = find_entry(s, o->name);
    struct gone g = {
        .revision = o->revision, .at = at, .lapse_ends_ms = lapse_ends_ms(s)};
    if (e && e->revision > g.revision)
        g.revision = e->revision;
    rk_strcpy(g.name, sizeof(g.name), o->name);
    return drop_entry(s, &g, "store");
}

/* The names that a list has, for look-ups. */
static struct lh_table *index_names(const struct rk_store_object *objects,
                                    size_t len)
{
    struct lh_table *names = lh_kchar_table_new((int)len + 1, NULL);
    for (size_t i = 0; i < len; i++)
        lh_table_insert(names, objects[i].name, objects[i].name);
    return names;
}

/* A whole list: what it doesn't have is gone. */
static bool drop_missing(struct rk_sync *s, const struct rk_store_object *objects,
                         size_t len, int64_t at, const char *from)
{
    bool changed = false;
    struct lh_table *told = index_names(objects, len);
    for (size_t i = s->entries_len; i-- > 0;) {
        const struct entry *e = s->entries[i];
        if (e->lapse_ends_ms || e->revision > at ||
            lh_table_lookup_ex(told, e->name, NULL))
            continue;
        struct gone g = {
            .revision = e->revision, .at = at, .lapse_ends_ms = lapse_ends_ms(s)};
        rk_strcpy(g.name, sizeof(g.name), e->name);
        changed |= drop_entry(s, &g, from);
    }
    lh_table_free(told);
    return changed;
}

/* A whole list tells nothing of what came and went between what was known before
 * and it: a peer that knows a part of that is told the whole, too. Told only what
 * changed, it went on calling vms that had left while this node was down. */
static void note_hole(struct rk_sync *s, int64_t before, int64_t at)
{
    if (s->hole_to > before && s->hole_from < before)
        before = s->hole_from; /* they overlap: one hole */
    else if (s->hole_to > s->gone_since)
        s->gone_since = s->hole_to;
    s->hole_from = before;
    s->hole_to = at;
}

/* Those that lapsed and did not come back. */
static bool drop_lapsed(struct rk_sync *s)
{
    int64_t now_ms = rk_mono_ms();
    bool changed = false;
    for (size_t i = s->entries_len; i-- > 0;) {
        struct entry *e = s->entries[i];
        if (!e->lapse_ends_ms || now_ms < e->lapse_ends_ms)
            continue;
        log_vm(s, &e->row, "removed", "time");
        remove_entry(s, e);
        changed = true;
    }
    return changed;
}

/* Tell peers what changed since a revision of the list. */
static void push_list(struct rk_sync *s, int64_t since, const char *from)
{
    const Rillknot__StoreWanted wanted = {.list = true, .list_since = since};
    Rillknot__StoreText text = RILLKNOT__STORE_TEXT__INIT;
    if (rk_mesh_is_bridge(s->n->mesh))
        rk_sync_tell(s, &wanted, &text);
    if (text.list_revision || text.zip_revision)
        rk_mesh_push(s->n->mesh, &text, !strcmp(from, "store"));
    rk_mesh_report(s->n->mesh);
}

/* The last change to the list that an answer tells. One that removed something may
 * have no revision of its own. */
static int64_t known_by(const struct rk_store_object *objects, size_t len, bool all,
                        int64_t at)
{
    int64_t known = all ? at : 0;
    for (size_t i = 0; i < len; i++) {
        if (objects[i].gone)
            known = at;
        else if (objects[i].revision > known)
            known = objects[i].revision;
    }
    return known < at ? known : at;
}

void rk_sync_apply_list(void *ctx, const struct rk_store_object *objects,
                        size_t len, bool all, int64_t at)
{
    struct rk_sync *s = ctx;
    int64_t before = s->list_known ? s->list_revision : 0;
    bool changed = !s->list_known;
    s->list_zip.len = 0;
    if (all) {
        changed |= drop_missing(s, objects, len, at, "store");
        note_hole(s, before, at);
    }
    for (size_t i = 0; i < len; i++) {
        if (!objects[i].name[0])
            continue; /* no name that can be read: it is no vm's */
        if (objects[i].gone)
            changed |= drop_told(s, &objects[i], at);
        else
            changed |= set_entry(s, objects[i].name, objects[i].revision,
                                 objects[i].spec, "store");
    }
    int64_t known = known_by(objects, len, all, at);
    if (known > s->list_revision)
        s->list_revision = known;
    s->list_known = true;
    if (changed)
        rk_sync_publish_changes(s);
    if (s->list_revision > before)
        push_list(s, before, "store");
}

/* ---- peers ---- */

static void tell_rows(struct rk_sync *s, int64_t since, Rillknot__StoreText *out)
{
    size_t size = s->entries_len + 1;
    s->rows = rk_realloc(s->rows, size * sizeof(*s->rows));
    s->row_ptrs = rk_realloc(s->row_ptrs, size * sizeof(*s->row_ptrs));
    for (size_t i = 0; i < s->entries_len; i++) {
        const struct entry *e = s->entries[i];
        if (e->lapse_ends_ms || e->revision <= since)
            continue;
        Rillknot__ListRow *row = &s->rows[out->n_list];
        rillknot__list_row__init(row);
        row->name = e->name;
        row->revision = e->revision;
        row->text = e->text;
        s->row_ptrs[out->n_list++] = row;
    }
    out->list = s->row_ptrs;
}

static void tell_gone(struct rk_sync *s, int64_t since, Rillknot__StoreText *out)
{
    size_t kept = s->gone_len < s->gone_cap ? s->gone_len : s->gone_cap;
    int64_t now_ms = rk_mono_ms();
    s->gone_rows = rk_realloc(s->gone_rows, (kept + 1) * sizeof(*s->gone_rows));
    s->gone_ptrs = rk_realloc(s->gone_ptrs, (kept + 1) * sizeof(*s->gone_ptrs));
    for (size_t i = 0; i < kept; i++) {
        struct gone *g = &s->gone[i];
        if (g->at <= since)
            continue;
        Rillknot__GoneRow *row = &s->gone_rows[out->n_gone];
        rillknot__gone_row__init(row);
        row->name = g->name;
        row->revision = g->revision;
        row->lapse_left_ms =
            g->lapse_ends_ms > now_ms ? g->lapse_ends_ms - now_ms : 0;
        s->gone_ptrs[out->n_gone++] = row;
    }
    out->gone = s->gone_ptrs;
}

/* What is told, compressed: false if it can't be. */
static bool zip_list(struct rk_sync *s, const Rillknot__StoreText *rows)
{
    s->zip_len = (uint32_t)rillknot__store_text__get_packed_size(rows);
    s->zip_since = rows->list_since;
    uint8_t *packed = rk_alloc(1, s->zip_len);
    rillknot__store_text__pack(rows, packed);
    bool zipped = rk_zip(&s->list_zip, (char *)packed, s->zip_len);
    free(packed);
    if (!zipped)
        s->list_zip.len = 0;
    return zipped;
}

static void put_zip(const struct rk_sync *s, Rillknot__StoreText *out)
{
    out->list_zip.data = (uint8_t *)s->list_zip.data;
    out->list_zip.len = s->list_zip.len;
    out->list_len = s->zip_len;
    out->zip_revision = s->list_revision;
    out->list_revision = 0;
    out->list_since = 0;
    out->n_list = 0;
    out->n_gone = 0;
}

void rk_sync_tell_list(struct rk_sync *s, int64_t since, Rillknot__StoreText *out)
{
    bool in_hole = since > s->hole_from && since < s->hole_to;
    if (since < s->gone_since || since > s->list_revision || in_hole)
        since = 0; /* the whole list */
    out->list_revision = s->list_revision;
    out->list_since = since;
    if (s->list_zip.len && s->zip_since == since) {
        put_zip(s, out);
        return;
    }
    tell_rows(s, since, out);
    if (since)
        tell_gone(s, since, out);
    s->list_zip.len = 0;
    if (out->n_list + out->n_gone >= ZIP_ROWS && zip_list(s, out))
        put_zip(s, out);
}

/* The message's rows as objects of the store, without their contents. */
static struct rk_store_object *read_rows(const Rillknot__StoreText *text)
{
    struct rk_store_object *objects = rk_alloc(text->n_list + 1, sizeof(*objects));
    for (size_t i = 0; i < text->n_list; i++)
        objects[i] = (struct rk_store_object){.name = text->list[i]->name,
                                              .revision = text->list[i]->revision};
    return objects;
}

static bool drop_by_peer(struct rk_sync *s, const Rillknot__GoneRow *row,
                         int64_t at)
{
    struct gone g = {.revision = row->revision, .at = at};
    if (row->lapse_left_ms > 0)
        g.lapse_ends_ms = rk_mono_ms() + row->lapse_left_ms;
    rk_strcpy(g.name, sizeof(g.name), row->name);
    return drop_entry(s, &g, "peer");
}

/* Rows that came compressed; NULL: they can't be read. */
static Rillknot__StoreText *unzip_list(const Rillknot__StoreText *text)
{
    Rillknot__StoreText *rows = NULL;
    char *packed =
        text->list_len > LIST_MAX
            ? NULL
            : rk_unzip(text->list_zip.data, text->list_zip.len, text->list_len);
    if (packed)
        rows = rillknot__store_text__unpack(NULL, text->list_len,
                                            (const uint8_t *)packed);
    free(packed);
    if (!rows)
        RK_WARN("vms.unreadable", RK_N("revision", text->zip_revision),
                RK_N("bytes", (int64_t)text->list_zip.len));
    return rows;
}

static bool take_row(struct rk_sync *s, const Rillknot__ListRow *row)
{
    struct json_object *spec = json_tokener_parse(row->text);
    bool changed = spec && set_entry(s, row->name, row->revision, spec, "peer");
    json_object_put(spec);
    return changed;
}

/* Many changes at once are a line each in the logs of who follows the store; of the
 * hundreds of nodes that it tells, each logs that it was told. */
static void begin_bulk(struct rk_sync *s, const Rillknot__StoreText *text)
{
    s->in_bulk = text->n_list + text->n_gone >= ZIP_ROWS;
    if (s->in_bulk)
        RK_EVENT("vms.told", RK_N("listed", (int64_t)text->n_list),
                 RK_N("gone", (int64_t)text->n_gone),
                 RK_N("since", text->list_since),
                 RK_N("revision", text->list_revision));
}

static void take_rows(struct rk_sync *s, const Rillknot__StoreText *text)
{
    int64_t known = s->list_known ? s->list_revision : 0;
    /* What begins after what is known here has a gap: a report makes us ask. */
    if (text->list_revision <= known || text->list_since > known)
        return;
    s->list_zip.len = 0;
    struct rk_store_object *objects = read_rows(text);
    bool changed = !s->list_known;
    begin_bulk(s, text);
    if (!text->list_since) {
        changed |=
            drop_missing(s, objects, text->n_list, text->list_revision, "peer");
        note_hole(s, known, text->list_revision);
    }
    for (size_t i = 0; i < text->n_gone; i++)
        changed |= drop_by_peer(s, text->gone[i], text->list_revision);
    for (size_t i = 0; i < text->n_list; i++)
        changed |= take_row(s, text->list[i]);
    free(objects);
    s->in_bulk = false;
    s->list_known = true;
    s->list_revision = text->list_revision;
    rk_follow_skip(&s->vms, text->list_revision);
    if (changed)
        rk_sync_publish_changes(s);
    push_list(s, known, "peer");
}

void rk_sync_take_list(struct rk_sync *s, const Rillknot__StoreText *text)
{
    int64_t known = s->list_known ? s->list_revision : 0;
    if (!text->list_zip.len) {
        take_rows(s, text);
        return;
    }
    Rillknot__StoreText *rows =
        text->zip_revision > known ? unzip_list(text) : NULL;
    if (!rows)
        return;
    take_rows(s, rows);
    rillknot__store_text__free_unpacked(rows, NULL);
}

/* ---- making ---- */

static void on_lapses(void *ctx)
{
    struct rk_sync *s = ctx;
    s->list_zip.len = 0;
    if (drop_lapsed(s))
        rk_sync_publish_changes(s);
    await_lapses(s);
}

void rk_sync_list_init(struct rk_sync *s)
{
    s->lapses = (struct rk_timer){.fn = on_lapses, .ctx = s};
    s->by_name = lh_kchar_table_new(NAMES_FIRST, NULL);
}

void rk_sync_list_free(struct rk_sync *s)
{
    rk_timer_stop(s->n->loop, &s->lapses);
    for (size_t i = 0; i < s->entries_len; i++)
        free_entry(s->entries[i]);
    free(s->entries);
    free(s->left);
    lh_table_free(s->by_name);
    free(s->rows);
    free(s->row_ptrs);
    free(s->gone);
    free(s->gone_rows);
    free(s->gone_ptrs);
    rk_buf_free(&s->list_zip);
}
