#include "operators/settings_session.h"

#include <curl/curl.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http.h"
#include "common/loop.h"
#include "common/rest.h"
#include "common/util.h"
#include "objects/objects.h"

#define WRITE_TRIES    5
#define CONFLICT_TRIES 64 /* conflicts with changes to other paths */
#define LOOP_STEP_MS   1000
#define URL_MAX        256

struct rk_session {
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_objects *objects;
    struct rk_changelog *log;
    struct rk_rng rng;
    /* Result of the call in flight. */
    bool done;
    enum rk_status status;
    char *value;
};

struct rk_session *rk_session_create(const char *platform)
{
    struct rk_session *s = rk_alloc(1, sizeof(*s));
    curl_global_init(CURL_GLOBAL_DEFAULT);
    s->loop = rk_loop_create();
    s->http = rk_http_create(s->loop);
    s->objects = rk_objects_create(s->http, platform);
    s->log = rk_changelog_create();
    s->rng.state = (uint64_t)rk_mono_us() ^ (uint64_t)(uintptr_t)s;
    return s;
}

void rk_session_destroy(struct rk_session *s)
{
    if (!s)
        return;
    rk_http_destroy(s->http);
    rk_objects_destroy(s->objects);
    rk_loop_destroy(s->loop);
    rk_changelog_destroy(s->log);
    free(s->value);
    free(s);
    curl_global_cleanup();
}

const struct rk_changelog *rk_session_log(const struct rk_session *s)
{
    return s->log;
}

/* Runs the loop until the call in flight has ended. */
static enum rk_status wait_for_result(struct rk_session *s)
{
    while (!s->done)
        rk_loop_step(s->loop, LOOP_STEP_MS);
    return s->status;
}

static void clear_result(struct rk_session *s)
{
    s->done = false;
    free(s->value);
    s->value = NULL;
}

/* ---- reading ---- */

static void on_read(void *ctx, enum rk_status st, const struct rk_object *o)
{
    struct rk_session *s = ctx;
    s->status = st;
    s->value = rk_strdup(o->value);
    s->done = true;
}

static enum rk_status read_object(struct rk_session *s, const char *name)
{
    clear_result(s);
    rk_objects_read(s->objects, name, on_read, s);
    return wait_for_result(s);
}

static void on_list(void *ctx, enum rk_status st, const struct rk_object *objects,
                    size_t len, int64_t revision)
{
    (void)revision;
    struct rk_session *s = ctx;
    s->status = st;
    for (size_t i = 0; i < len; i++)
        rk_changelog_append(s->log, rk_change_number(objects[i].name),
                            objects[i].value);
    s->done = true;
}

/* Reads the changes that follow the log's head. */
static enum rk_status read_changes(struct rk_session *s)
{
    char after[RK_CHANGE_NAME_MAX];
    rk_change_name(after, rk_changelog_head(s->log));
    clear_result(s);
    rk_objects_list(s->objects, RK_CHANGES_PREFIX, after, on_list, s);
    if (wait_for_result(s) != RK_OK)
        return rk_fail(RK_EUNAVAILABLE, "the platform doesn't answer");
    return RK_OK;
}

enum rk_status rk_session_load(struct rk_session *s)
{
    enum rk_status st = read_object(s, RK_SNAPSHOT_NAME);
    if (st == RK_OK)
        rk_changelog_restore(s->log, s->value);
    else if (st != RK_ENOTFOUND)
        return rk_fail(RK_EUNAVAILABLE, "the platform doesn't answer");
    return read_changes(s);
}

/* ---- committing ---- */

static void on_written(void *ctx, enum rk_status st, int64_t version)
{
    (void)version;
    struct rk_session *s = ctx;
    s->status = st;
    s->done = true;
}

/* Returns whether a change's text has the id. */
static bool has_id(const char *change, const char *id)
{
    struct json_object *o = json_tokener_parse(change), *v;
    bool same = json_object_object_get_ex(o, "id", &v) &&
                !strcmp(json_object_get_string(v), id);
    json_object_put(o);
    return same;
}

/* Creates change n. Returns RK_ECONFLICT if there is another change n already,
 * whose text is then in s->value. If the response to the write was lost, reading n
 * back tells whether it took effect. */
static enum rk_status write_change(struct rk_session *s, int64_t n,
                                   const char *text, const char *id)
{
    char name[RK_CHANGE_NAME_MAX];
    rk_change_name(name, n);
    bool may_be_written = false; /* an earlier try may have taken effect */
    for (int i = 0; i < WRITE_TRIES; i++) {
        clear_result(s);
        rk_objects_write(s->objects, name, 0, text, on_written, s);
        enum rk_status st = wait_for_result(s);
        if (st == RK_OK)
            return RK_OK;
        may_be_written = may_be_written || st == RK_EUNKNOWN;
        if (st == RK_EUNAVAILABLE)
            continue;
        st = read_object(s, name);
        if (st == RK_OK)
            return has_id(s->value, id) ? RK_OK : RK_ECONFLICT;
        /* A read may be stale, so absence proves nothing. Repeating the write is
         * safe. */
    }
    return may_be_written ? RK_EUNKNOWN : RK_EUNAVAILABLE;
}

static char *change_text(const char *id, const char *author, int64_t base,
                         const char *set)
{
    struct rk_buf b = {0};
    rk_buf_printf(&b, "{\"id\":\"%s\",\"author\":", id);
    rk_buf_json_str(&b, author);
    rk_buf_printf(&b, ",\"wall_ms\":%" PRId64 ",\"base\":%" PRId64 ",\"set\":%s}",
                  rk_wall_ms(), base, set);
    return b.data;
}

/* Validates the change against the newest tree known. */
static enum rk_status validate(const struct rk_session *s, const char *text,
                               struct rk_problems *problems)
{
    struct rk_settings *tree;
    enum rk_status st =
        rk_change_apply(rk_changelog_tree(s->log), text, &tree, problems);
    if (st == RK_OK)
        rk_settings_destroy(tree);
    return st;
}

enum rk_status rk_session_commit(struct rk_session *s, const char *author,
                                 const char *set, int64_t *number,
                                 struct rk_problems *problems)
{
    char id[40];
    snprintf(id, sizeof(id), "%016" PRIx64 "%016" PRIx64, rk_rng_next(&s->rng),
             rk_rng_next(&s->rng) ^ (uint64_t)rk_wall_ms());
    char *text = change_text(id, author, rk_changelog_head(s->log), set);
    enum rk_status st = RK_ECONFLICT;
    for (int i = 0; i < CONFLICT_TRIES && st == RK_ECONFLICT; i++) {
        st = validate(s, text, problems);
        if (st != RK_OK)
            break;
        *number = rk_changelog_head(s->log) + 1;
        st = write_change(s, *number, text, id);
        if (st != RK_ECONFLICT)
            break;
        bool same_paths = rk_changes_conflict(text, s->value);
        rk_changelog_append(s->log, *number, s->value);
        if (same_paths) {
            st = rk_fail(RK_ECONFLICT,
                         "change %" PRId64 " set the same paths first", *number);
            break;
        }
    }
    if (st == RK_EUNKNOWN)
        rk_fail(st,
                "no response: the change may have been accepted as change %" PRId64
                ", id %s",
                *number, id);
    else if (st == RK_EUNAVAILABLE)
        rk_fail(st, "the platform can't be reached; nothing was changed");
    free(text);
    return st;
}

/* ---- difference of two trees ---- */

/* Appends a path and its value, or null if v is NULL, to a JSON object. */
static void add_path(struct rk_buf *out, const char *path, struct json_object *v)
{
    rk_buf_addstr(out, out->len > 1 ? "," : "");
    rk_buf_json_str(out, path);
    rk_buf_printf(out, ":%s", v ? json_object_to_json_string(v) : "null");
}

/* Appends the paths and values of the change that turns the node `from` into the
 * node `to`. Both are at path. */
static void diff_node(const char *path, struct json_object *from,
                      struct json_object *to, struct rk_buf *out)
{
    char sub[RK_SETTING_PATH_MAX];
    struct json_object *other;
    json_object_object_foreach(from, removed, old)
    {
        (void)old;
        if (json_object_object_get_ex(to, removed, &other))
            continue;
        snprintf(sub, sizeof(sub), "%s/%s", path, removed);
        add_path(out, sub, NULL);
    }
    json_object_object_foreach(to, key, v)
    {
        snprintf(sub, sizeof(sub), "%s/%s", path, key);
        bool had = json_object_object_get_ex(from, key, &other);
        bool nodes = had && json_object_is_type(v, json_type_object) &&
                     json_object_is_type(other, json_type_object);
        if (nodes)
            diff_node(sub, other, v, out);
        else if (!had || !json_object_equal(v, other))
            add_path(out, sub, v);
    }
}

void rk_session_diff(const struct rk_session *s, const struct rk_settings *tree,
                     struct rk_buf *set)
{
    rk_buf_addstr(set, "{");
    diff_node("", rk_settings_json(rk_changelog_tree(s->log)),
              rk_settings_json(tree), set);
    rk_buf_addstr(set, "}");
}

/* ---- pages ---- */

static void on_page_read(void *ctx, const struct rk_rest_response *response)
{
    struct rk_session *s = ctx;
    s->status = response->http_status ? RK_OK : response->status;
    s->value = rk_strdup(response->body);
    s->done = true;
}

enum rk_status rk_session_fetch(struct rk_session *s, const char *entry,
                                const char *path, char **body)
{
    char url[URL_MAX];
    snprintf(url, sizeof(url), "http://%s%s", entry, path);
    const struct rk_rest_call call = {.method = "GET", .url = url};
    clear_result(s);
    rk_rest_start(s->http, &call, on_page_read, s);
    if (wait_for_result(s) != RK_OK)
        return rk_fail(RK_EUNAVAILABLE, "%s doesn't answer", entry);
    *body = s->value;
    s->value = NULL;
    return RK_OK;
}
