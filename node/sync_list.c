/* The VM list: applies changes from the store or from a peer, keeps VMs for a grace
 * period whose entries expired during an outage of the store, records removals, and
 * sends the changes to peers. */
#include <json-c/json.h>
#include <json-c/linkhash.h>
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "common/json_text.h"
#include "common/zip.h"
#include "core/revision.h"
#include "node/sync_impl.h"
#include "peers/frame_bounds.h"

/* Grace period after an outage of the store. VMs whose entries expired
 * during the outage register again within this time. */
#define GRACE_MS 1900

/* Time from the first list until a whole list means that changes were lost. */
#define START_MS 1000

#define REMOVED_INITIAL_CAP 64
#define NAMES_INITIAL_SIZE  64
/* A message with at least this many rows is compressed. The list of 3,000 VMs
 * shrinks from 1.2 MB to 80 KB by that; uncompressed lists filled the link of a
 * bridge with a hundred nodes for seconds. */
#define ZIP_MIN_ROWS   24
#define LIST_MAX_BYTES (16 * 1024 * 1024) /* of a peer's rows, uncompressed */

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
    rk_sync_note_removed(s, e->name);
    lh_table_delete(s->by_name, e->name);
    s->entries[e->index] = last;
    last->index = e->index;
    free_entry(e);
}

static struct entry *add_entry(struct rk_sync *s, const char *name)
{
    if (s->entries_len == s->entries_cap) {
        s->entries_cap = s->entries_cap ? s->entries_cap * 2 : 32;
        s->entries = rk_realloc(s->entries, s->entries_cap * sizeof(*s->entries));
    }
    struct entry *e = rk_alloc(1, sizeof(*e));
    e->index = s->entries_len;
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
             RK_N("born_ms", row->started_ms));
}

static bool same_row(const struct rk_vm_row *a, const struct rk_vm_row *b)
{
    return !strcmp(a->addr, b->addr) && !strcmp(a->service, b->service) &&
           !strcmp(a->domain, b->domain) && a->slots == b->slots &&
           !strcmp(a->version, b->version) && a->leaving == b->leaving &&
           a->started_ms == b->started_ms && a->reclaimable == b->reclaimable &&
           a->leaves_in_ms == b->leaves_in_ms;
}

static bool handle_removal(struct rk_sync *s, const struct removed_vm *vm,
                           const char *from);

/* Handles contents that don't describe a usable VM: removes the entry until there
 * are valid ones. Returns true if the relay lacks the change. */
static bool reject_entry(struct rk_sync *s, const char *name, int64_t revision,
                         const char *from)
{
    struct removed_vm r = {.revision = revision, .store_revision = revision};
    RK_WARN("vm.rejected", RK_S("vm", name), RK_S("why", rk_last_error()),
            RK_S("from", from), RK_N("revision", rk_revision_number(revision)));
    rk_counter_add(RK_C_VMS_REJECTED, 1);
    if (!find_entry(s, name))
        return false;
    rk_strcpy(r.name, sizeof(r.name), name);
    return handle_removal(s, &r, from);
}

/* Completes a VM's new row by what its entry says and the row does not. Returns
 * false if the row is of an earlier incarnation and arrived late. */
static bool complete_row(struct entry *e, struct rk_vm_row *row, int64_t revision)
{
    if (rk_vm_is_restarted(row, &e->row))
        return false;
    if (rk_vm_is_restarted(&e->row, row)) {
        e->first_revision = revision;
        return true;
    }
    if (!row->started_ms)
        row->started_ms = e->row.started_ms;
    row->leaving = row->leaving || e->row.leaving;
    return true;
}

static size_t kept_removals(const struct rk_sync *s)
{
    return s->removed_len < s->removed_cap ? s->removed_len : s->removed_cap;
}

/* Returns whether an entry is an old version of a removed one, which the store has
 * restored. A VM that is in use writes its entry again, under a new number. */
static bool is_restored_removal(const struct rk_sync *s, const char *name,
                                int64_t revision)
{
    size_t kept = kept_removals(s);
    for (size_t i = 0; i < kept; i++) {
        const struct removed_vm *r = &s->removed[i];
        if (rk_revision_era(r->store_revision) < rk_revision_era(revision) &&
            rk_revision_number(r->last_revision) >= rk_revision_number(revision) &&
            !r->grace_until_ms && !strcmp(r->name, name))
            return true;
    }
    return false;
}

/* Parses a VM's entry, whose JSON text is returned in *text. */
static enum rk_status parse_entry(const struct rk_sync *s, const char *name,
                                  struct json_object *spec, struct rk_vm_row *row,
                                  const char **text)
{
    enum rk_status st = s->n->platform->parse_vm(name, spec, row);
    if (st != RK_OK)
        return st;
    *text = json_object_to_json_string_ext(spec, JSON_C_TO_STRING_PLAIN);
    if (strlen(*text) > RK_STORE_TEXT_MAX_BYTES) /* lists leave it out, too */
        return rk_fail(RK_EINVAL, "expected a text of at most %d bytes",
                       RK_STORE_TEXT_MAX_BYTES);
    return RK_OK;
}

/* Adds or updates a VM's entry. Returns true if the relay lacks the change. */
static bool set_entry(struct rk_sync *s, const char *name, int64_t revision,
                      struct json_object *spec, const char *from)
{
    struct rk_vm_row row;
    const char *text;
    struct entry *e = find_entry(s, name);
    if (e ? e->revision >= revision : is_restored_removal(s, name, revision))
        return false;
    if (parse_entry(s, name, spec, &row, &text) != RK_OK)
        return reject_entry(s, name, revision, from);
    const char *what = e ? "updated" : "added";
    if (!e) {
        e = add_entry(s, name);
        e->first_revision = revision;
    } else if (!complete_row(e, &row, revision)) {
        e->revision = revision;
        return false;
    }
    bool changed = !same_row(&e->row, &row);
    if (e->needs_publish && strcmp(e->row.version, row.version) != 0)
        rk_sync_note_past_vm(s, &e->row);
    free(e->text);
    e->text = rk_strdup(text);
    e->revision = revision;
    e->grace_until_ms = 0;
    e->row = row;
    e->needs_publish = e->needs_publish || changed;
    if (changed)
        log_vm(s, &row, what, from);
    return changed;
}

static bool set_store_entry(struct rk_sync *s, const struct rk_store_object *o)
{
    const struct entry *e = find_entry(s, o->name);
    if (!o->spec_text)
        return set_entry(s, o->name, o->revision, o->spec, "store");
    if (e && e->revision >= o->revision)
        return false;
    struct json_object *spec = rk_json_parse(o->spec_text, strlen(o->spec_text));
    bool changed = set_entry(s, o->name, o->revision, spec, "store");
    json_object_put(spec);
    return changed;
}

/* Returns the end of the grace period for entries that are removed now. 0: there is
 * no grace period, so their VMs are taken to have ended. */
static int64_t grace_until_ms(const struct rk_sync *s)
{
    int64_t ends_ms = s->recovered_ms + GRACE_MS;
    return s->recovered_ms && rk_mono_ms() < ends_ms ? ends_ms : 0;
}

/* Schedules the timer for the first end of a grace period. */
static void schedule_grace_timer(struct rk_sync *s)
{
    int64_t first_ms = 0, now_ms = rk_mono_ms();
    for (size_t i = 0; i < s->entries_len; i++) {
        int64_t ends_ms = s->entries[i]->grace_until_ms;
        if (ends_ms && (!first_ms || ends_ms < first_ms))
            first_ms = ends_ms;
    }
    if (first_ms)
        rk_timer_start(s->n->loop, &s->grace_timer,
                       first_ms > now_ms ? first_ms - now_ms : 0);
}

/* Records a removal, for peers. A full ring loses the oldest record. */
static void record_removal(struct rk_sync *s, const struct removed_vm *vm)
{
    if (s->removed_len == s->removed_cap && s->removed_cap < RK_SYNC_REMOVED_MAX) {
        s->removed_cap = s->removed_cap ? s->removed_cap * 2 : REMOVED_INITIAL_CAP;
        s->removed = rk_realloc(s->removed, s->removed_cap * sizeof(*s->removed));
    }
    struct removed_vm *r = &s->removed[s->removed_len++ % s->removed_cap];
    if (s->removed_len > RK_SYNC_REMOVED_MAX &&
        r->store_revision > s->removed_since)
        s->removed_since = r->store_revision;
    *r = *vm;
}

/* Handles the removal of a VM from the list. If its entry expired during an outage
 * of the store, the VM is used for a grace period: if it is alive, it registers
 * again, under a higher revision. Returns true if the relay lacks the change. */
static bool handle_removal(struct rk_sync *s, const struct removed_vm *vm,
                           const char *from)
{
    struct entry *e = find_entry(s, vm->name);
    if (e && e->revision > vm->revision)
        return false;
    /* Even if this node never saw the VM: a peer may have seen it being added. */
    struct removed_vm r = *vm;
    r.last_revision = e ? e->revision : 0;
    record_removal(s, &r);
    if (!e)
        return false;
    if (vm->grace_until_ms && !e->row.leaving) {
        if (e->grace_until_ms)
            return false;
        log_vm(s, &e->row, "lapsed", from);
        e->grace_until_ms = vm->grace_until_ms;
        schedule_grace_timer(s);
        return false;
    }
    log_vm(s, &e->row, "removed", from);
    remove_entry(s, e);
    return true;
}

/* Returns whether a removal of the VM is recorded. */
static bool is_removed(const struct rk_sync *s, const char *name)
{
    size_t kept = kept_removals(s);
    for (size_t i = 0; i < kept; i++)
        if (!strcmp(s->removed[i].name, name))
            return true;
    return false;
}

/* Notes a VM that is removed and that the relay has not been told of. spec: its
 * last contents; NULL: not known. */
static void note_unseen(struct rk_sync *s, const char *name,
                        struct json_object *spec)
{
    const struct entry *e = find_entry(s, name);
    struct rk_vm_row row;
    if (e && e->needs_publish)
        rk_sync_note_past_vm(s, &e->row);
    else if (e || is_removed(s, name))
        return;
    else if (spec && s->n->platform->parse_vm(name, spec, &row) == RK_OK)
        rk_sync_note_past_vm(s, &row);
    else
        rk_sync_note_past_vm(s, NULL);
}

/* Returns whether a VM may have this name. A longer one would be cut where it is
 * recorded, and then may be another VM's. */
static bool is_vm_name(const char *name)
{
    return name[0] && strlen(name) < RK_ID_MAX;
}

/* Handles a removal that the store reports. It may have the revision of the VM's
 * last change, when the removal has none of its own. */
static bool handle_store_removal(struct rk_sync *s, const struct rk_store_object *o,
                                 int64_t store_revision)
{
    const struct entry *e = find_entry(s, o->name);
    struct removed_vm r = {.revision = o->revision,
                           .store_revision = store_revision,
                           .grace_until_ms = grace_until_ms(s)};
    if (!is_vm_name(o->name))
        return false;
    note_unseen(s, o->name, o->spec);
    if (e && e->revision > r.revision)
        r.revision = e->revision;
    rk_strcpy(r.name, sizeof(r.name), o->name);
    return handle_removal(s, &r, "store");
}

/* Returns a hash table of the names of a list. The caller frees it. */
static struct lh_table *index_names(const struct rk_store_object *objects,
                                    size_t len)
{
    struct lh_table *names = lh_kchar_table_new((int)len + 1, NULL);
    for (size_t i = 0; i < len; i++)
        lh_table_insert(names, objects[i].name, objects[i].name);
    return names;
}

/* Removes the entries that a whole list doesn't have. Returns true if the relay
 * lacks the change. */
static bool remove_missing(struct rk_sync *s, const struct rk_store_object *objects,
                           size_t len, int64_t store_revision, const char *from)
{
    bool changed = false;
    struct lh_table *listed = index_names(objects, len);
    for (size_t i = s->entries_len; i-- > 0;) {
        const struct entry *e = s->entries[i];
        if (e->grace_until_ms || e->revision > store_revision ||
            lh_table_lookup_ex(listed, e->name, NULL))
            continue;
        struct removed_vm r = {.revision = e->revision,
                               .store_revision = store_revision,
                               .grace_until_ms = grace_until_ms(s)};
        rk_strcpy(r.name, sizeof(r.name), e->name);
        changed |= handle_removal(s, &r, from);
    }
    lh_table_free(listed);
    return changed;
}

/* Notes that removals between two revisions may be missing from the records: a
 * whole list doesn't show the VMs that were added and removed since the revision
 * known before. A peer whose revision lies in this gap is sent the whole list. When
 * it was sent only changes, it went on calling VMs that had left while this node
 * was down. */
static void note_gap(struct rk_sync *s, int64_t from, int64_t to)
{
    if (s->gap_to > from && s->gap_from < from)
        from = s->gap_from; /* the gaps overlap, so they become one */
    else if (s->gap_to > s->removed_since)
        s->removed_since = s->gap_to; /* only one gap is kept */
    s->gap_from = from;
    s->gap_to = to;
}

/* Tells the relay that VMs may have come and left unnoticed, as a whole list came
 * in place of the changes since a revision. At a start, peers and the store both
 * send one. */
static void note_unseen_changes(struct rk_sync *s, int64_t from, int64_t to)
{
    if (from && from < to && rk_mono_ms() - s->list_known_ms >= START_MS)
        rk_sync_note_past_vm(s, NULL);
}

static void set_list_known(struct rk_sync *s)
{
    if (!s->list_known)
        s->list_known_ms = rk_mono_ms();
    s->list_known = true;
}

/* Removes the entries whose grace period has ended. Returns true if the relay lacks
 * the change. */
static bool remove_expired(struct rk_sync *s)
{
    int64_t now_ms = rk_mono_ms();
    bool changed = false;
    for (size_t i = s->entries_len; i-- > 0;) {
        struct entry *e = s->entries[i];
        if (!e->grace_until_ms || now_ms < e->grace_until_ms)
            continue;
        log_vm(s, &e->row, "removed", "time");
        remove_entry(s, e);
        changed = true;
    }
    return changed;
}

/* Reports the new revision. A bridge also sends the changes after `since`. */
static void push_list(struct rk_sync *s, int64_t since, const char *from)
{
    const Rillknot__StoreWanted request = {.list = true, .list_since = since};
    Rillknot__StoreText text = RILLKNOT__STORE_TEXT__INIT;
    if (rk_mesh_is_bridge(s->n->mesh))
        rk_sync_fill_reply(s, &request, &text);
    if (text.list_revision || text.zip_revision)
        rk_mesh_push_list(s->n->mesh, &text, !strcmp(from, "store"));
    rk_mesh_schedule_report(s->n->mesh);
}

/* Returns the revision up to which an answer of the store covers all changes of the
 * list. For a removal, which may have no revision of its own, it is the answer's.
 */
static int64_t known_revision(const struct rk_store_object *objects, size_t len,
                              bool all, int64_t store_revision)
{
    int64_t known = all ? store_revision : 0;
    for (size_t i = 0; i < len; i++) {
        if (objects[i].removed)
            known = store_revision;
        else if (objects[i].revision > known)
            known = objects[i].revision;
    }
    return known < store_revision ? known : store_revision;
}

/* Notes the first list of a new era of the store. The copy lacks the VMs that
 * registered after it was taken; they register again within the grace period. */
static void note_era(struct rk_sync *s, int64_t store_revision, const char *from)
{
    if (!s->list_known ||
        rk_revision_era(store_revision) <= rk_revision_era(s->list_revision))
        return;
    RK_EVENT("store.restored", RK_S("from", from),
             RK_N("era", rk_revision_era(store_revision)),
             RK_N("era_before", rk_revision_era(s->list_revision)),
             RK_N("at", rk_revision_number(store_revision)),
             RK_N("at_before", rk_revision_number(s->list_revision)));
    s->recovered_ms = rk_mono_ms();
}

void rk_sync_apply_list(void *ctx, const struct rk_store_object *objects,
                        size_t len, bool all, int64_t store_revision)
{
    struct rk_sync *s = ctx;
    int64_t before = s->list_known ? s->list_revision : 0;
    bool changed = !s->list_known;
    s->list_zip.len = 0;
    note_era(s, store_revision, "store");
    if (all) {
        changed |= remove_missing(s, objects, len, store_revision, "store");
        note_gap(s, before, store_revision);
        note_unseen_changes(s, before, store_revision);
    }
    for (size_t i = 0; i < len; i++) {
        if (!objects[i].name[0])
            continue; /* an object without a readable name is no VM's */
        if (objects[i].removed)
            changed |= handle_store_removal(s, &objects[i], store_revision);
        else
            changed |= set_store_entry(s, &objects[i]);
    }
    int64_t known = known_revision(objects, len, all, store_revision);
    if (known > s->list_revision)
        s->list_revision = known;
    set_list_known(s);
    if (changed)
        rk_sync_publish_changes(s);
    if (s->list_revision > before)
        push_list(s, before, "store");
}

/* ---- peers ---- */

static void fill_rows(struct rk_sync *s, int64_t since, Rillknot__StoreText *out)
{
    size_t size = s->entries_len + 1;
    s->rows = rk_realloc(s->rows, size * sizeof(*s->rows));
    s->row_ptrs = rk_realloc(s->row_ptrs, size * sizeof(*s->row_ptrs));
    for (size_t i = 0; i < s->entries_len; i++) {
        const struct entry *e = s->entries[i];
        if (e->grace_until_ms || e->revision <= since)
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

static void fill_removals(struct rk_sync *s, int64_t since,
                          Rillknot__StoreText *out)
{
    size_t kept = kept_removals(s);
    int64_t now_ms = rk_mono_ms();
    s->removed_rows =
        rk_realloc(s->removed_rows, (kept + 1) * sizeof(*s->removed_rows));
    s->removed_ptrs =
        rk_realloc(s->removed_ptrs, (kept + 1) * sizeof(*s->removed_ptrs));
    for (size_t i = 0; i < kept; i++) {
        struct removed_vm *r = &s->removed[i];
        if (r->store_revision <= since)
            continue;
        Rillknot__GoneRow *row = &s->removed_rows[out->n_gone];
        rillknot__gone_row__init(row);
        row->name = r->name;
        row->revision = r->revision;
        row->lapse_left_ms =
            r->grace_until_ms > now_ms ? r->grace_until_ms - now_ms : 0;
        s->removed_ptrs[out->n_gone++] = row;
    }
    out->gone = s->removed_ptrs;
}

/* Compresses a message into s->list_zip. Returns false on failure. */
static bool zip_list(struct rk_sync *s, const Rillknot__StoreText *rows)
{
    s->zip_plain_len = (uint32_t)rillknot__store_text__get_packed_size(rows);
    s->zip_since = rows->list_since;
    uint8_t *packed = rk_alloc(1, s->zip_plain_len);
    rillknot__store_text__pack(rows, packed);
    bool zipped = rk_zlib_compress(&s->list_zip, (char *)packed, s->zip_plain_len);
    free(packed);
    if (!zipped)
        s->list_zip.len = 0;
    return zipped;
}

static void put_zip(const struct rk_sync *s, Rillknot__StoreText *out)
{
    out->list_zip.data = (uint8_t *)s->list_zip.data;
    out->list_zip.len = s->list_zip.len;
    out->list_len = s->zip_plain_len;
    out->zip_revision = s->list_revision;
    out->list_revision = 0;
    out->list_since = 0;
    out->n_list = 0;
    out->n_gone = 0;
}

void rk_sync_fill_list(struct rk_sync *s, int64_t since, Rillknot__StoreText *out)
{
    bool in_gap = since > s->gap_from && since < s->gap_to;
    if (since < s->removed_since || since > s->list_revision || in_gap)
        since = 0; /* the whole list */
    out->list_revision = s->list_revision;
    out->list_since = since;
    if (s->list_zip.len && s->zip_since == since) {
        put_zip(s, out);
        return;
    }
    fill_rows(s, since, out);
    if (since)
        fill_removals(s, since, out);
    s->list_zip.len = 0;
    if (out->n_list + out->n_gone >= ZIP_MIN_ROWS && zip_list(s, out))
        put_zip(s, out);
}

/* Returns the message's rows as objects of the store, without contents. The caller
 * frees the array; the names belong to the message. */
static struct rk_store_object *rows_as_objects(const Rillknot__StoreText *text)
{
    struct rk_store_object *objects = rk_alloc(text->n_list + 1, sizeof(*objects));
    for (size_t i = 0; i < text->n_list; i++)
        objects[i] = (struct rk_store_object){.name = text->list[i]->name,
                                              .revision = text->list[i]->revision};
    return objects;
}

static bool handle_peer_removal(struct rk_sync *s, const Rillknot__GoneRow *row,
                                int64_t store_revision)
{
    struct removed_vm r = {.revision = row->revision,
                           .store_revision = store_revision};
    if (!is_vm_name(row->name))
        return false;
    note_unseen(s, row->name, NULL);
    if (row->lapse_left_ms > 0)
        r.grace_until_ms = rk_mono_ms() + row->lapse_left_ms;
    rk_strcpy(r.name, sizeof(r.name), row->name);
    return handle_removal(s, &r, "peer");
}

/* Returns the rows of a compressed message, owned by the caller; NULL: they are not
 * readable. */
static Rillknot__StoreText *unzip_list(const Rillknot__StoreText *text)
{
    Rillknot__StoreText *rows = NULL;
    char *packed = text->list_len > LIST_MAX_BYTES
                       ? NULL
                       : rk_zlib_decompress(text->list_zip.data, text->list_zip.len,
                                            text->list_len);
    if (packed)
        rows = rillknot__store_text__unpack(NULL, text->list_len,
                                            (const uint8_t *)packed);
    free(packed);
    struct rk_odd_number odd = {0};
    size_t removed = 0;
    if (rows && !rk_message_check_numbers(&rows->base, &removed, &odd)) {
        rillknot__store_text__free_unpacked(rows, NULL);
        rows = NULL;
    }
    if (!rows)
        RK_WARN("vms.unreadable",
                RK_N("revision", rk_revision_number(text->zip_revision)),
                RK_N("bytes", (int64_t)text->list_zip.len));
    return rows;
}

static bool apply_row(struct rk_sync *s, const Rillknot__ListRow *row)
{
    struct json_object *spec = rk_json_parse(row->text, strlen(row->text));
    bool changed = spec && set_entry(s, row->name, row->revision, spec, "peer");
    json_object_put(spec);
    return changed;
}

/* Replaces the log lines of single VMs by one line if a peer sends many changes at
 * once. The node that watches the store logs each VM; the hundreds of nodes that
 * get the changes from it needn't. */
static void begin_bulk(struct rk_sync *s, const Rillknot__StoreText *text)
{
    s->in_bulk = text->n_list + text->n_gone >= ZIP_MIN_ROWS;
    if (s->in_bulk)
        RK_EVENT("vms.told", RK_N("listed", (int64_t)text->n_list),
                 RK_N("gone", (int64_t)text->n_gone),
                 RK_N("since", rk_revision_number(text->list_since)),
                 RK_N("revision", rk_revision_number(text->list_revision)));
}

/* Returns whether the list and all of its rows have revisions that a peer may know.
 * Rows can't be left out: the list is complete up to its revision. */
static bool has_plausible_rows(const struct rk_sync *s,
                               const Rillknot__StoreText *text)
{
    bool plausible = rk_sync_is_plausible(s, text->list_revision);
    for (size_t i = 0; i < text->n_list; i++)
        plausible = plausible && rk_sync_is_plausible(s, text->list[i]->revision);
    for (size_t i = 0; i < text->n_gone; i++)
        plausible = plausible && rk_sync_is_plausible(s, text->gone[i]->revision);
    if (!plausible)
        RK_WARN("vms.revision_rejected", RK_N("revision", text->list_revision),
                RK_N("known", s->list_revision));
    return plausible;
}

static void apply_rows(struct rk_sync *s, const Rillknot__StoreText *text)
{
    int64_t known = s->list_known ? s->list_revision : 0;
    /* Changes after a later revision than the one known here would leave a gap. The
     * peer's next report makes this node request what it lacks. */
    if (text->list_revision <= known || text->list_since > known ||
        !has_plausible_rows(s, text))
        return;
    s->list_zip.len = 0;
    note_era(s, text->list_revision, "peer");
    struct rk_store_object *objects = rows_as_objects(text);
    bool changed = !s->list_known;
    begin_bulk(s, text);
    if (!text->list_since) {
        changed |=
            remove_missing(s, objects, text->n_list, text->list_revision, "peer");
        note_gap(s, known, text->list_revision);
        if (!s->vms.enabled || s->vms.lost) /* else the watch brings the changes */
            note_unseen_changes(s, known, text->list_revision);
    }
    for (size_t i = 0; i < text->n_gone; i++)
        changed |= handle_peer_removal(s, text->gone[i], text->list_revision);
    for (size_t i = 0; i < text->n_list; i++)
        changed |= apply_row(s, text->list[i]);
    free(objects);
    s->in_bulk = false;
    set_list_known(s);
    s->list_revision = text->list_revision;
    rk_store_watch_skip_to(&s->vms, text->list_revision);
    if (changed)
        rk_sync_publish_changes(s);
    push_list(s, known, "peer");
}

void rk_sync_receive_list(struct rk_sync *s, const Rillknot__StoreText *text)
{
    int64_t known = s->list_known ? s->list_revision : 0;
    if (!text->list_zip.len) {
        apply_rows(s, text);
        return;
    }
    Rillknot__StoreText *rows =
        text->zip_revision > known ? unzip_list(text) : NULL;
    if (!rows)
        return;
    apply_rows(s, rows);
    rillknot__store_text__free_unpacked(rows, NULL);
}

/* ---- creation ---- */

static void on_grace_timer(void *ctx)
{
    struct rk_sync *s = ctx;
    s->list_zip.len = 0;
    if (remove_expired(s))
        rk_sync_publish_changes(s);
    schedule_grace_timer(s);
}

void rk_sync_list_init(struct rk_sync *s)
{
    s->grace_timer = (struct rk_timer){.fn = on_grace_timer, .ctx = s};
    s->by_name = lh_kchar_table_new(NAMES_INITIAL_SIZE, NULL);
}

void rk_sync_list_free(struct rk_sync *s)
{
    rk_timer_stop(s->n->loop, &s->grace_timer);
    for (size_t i = 0; i < s->entries_len; i++)
        free_entry(s->entries[i]);
    free(s->entries);
    free(s->unsent_removed);
    lh_table_free(s->by_name);
    free(s->rows);
    free(s->row_ptrs);
    free(s->removed);
    free(s->removed_rows);
    free(s->removed_ptrs);
    rk_buf_free(&s->list_zip);
}
