#include "core/changelog.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/util.h"

/* Latest changes kept for peers. A peer that lacks older ones takes a snapshot. */
#define KEPT_CHANGES 256

struct rk_changelog {
    struct rk_settings *tree;
    int64_t head;
    int64_t skipped;
    char *kept[KEPT_CHANGES]; /* text of change n at n % KEPT_CHANGES */
    int64_t kept_number[KEPT_CHANGES];
};

void rk_change_name(char out[RK_CHANGE_NAME_MAX], int64_t n)
{
    snprintf(out, RK_CHANGE_NAME_MAX, RK_CHANGES_PREFIX "%010" PRId64, n);
}

int64_t rk_change_number(const char *name)
{
    size_t len = strlen(RK_CHANGES_PREFIX);
    if (strncmp(name, RK_CHANGES_PREFIX, len) != 0)
        return -1;
    char *end;
    int64_t n = strtoll(name + len, &end, 10);
    return *end || n <= 0 ? -1 : n;
}

/* Sets a path in the tree root to a copy of v, or deletes it if v is NULL, and adds
 * the nodes above it. Returns false if path isn't absolute, has an overlong name
 * above its last one or leads through a value. */
static bool set_path(struct json_object *root, const char *path,
                     struct json_object *v)
{
    struct json_object *at = root;
    if (*path != '/' || !path[1])
        return false;
    const char *p = path + 1;
    for (const char *slash; (slash = strchr(p, '/')); p = slash + 1) {
        char segment[RK_ID_MAX];
        if ((size_t)(slash - p) >= sizeof(segment))
            return false;
        memcpy(segment, p, (size_t)(slash - p));
        segment[slash - p] = '\0';
        struct json_object *next = rk_json_get(at, segment);
        if (!next) {
            next = json_object_new_object();
            json_object_object_add(at, segment, next);
        }
        if (!json_object_is_type(next, json_type_object))
            return false;
        at = next;
    }
    if (!v) {
        json_object_object_del(at, p);
        return true;
    }
    struct json_object *copy = NULL;
    json_object_deep_copy(v, &copy, NULL);
    json_object_object_add(at, p, copy);
    return true;
}

/* Returns whether a change of claim_shards would send keys to other shards, which
 * don't know that they were claimed. The number can be chosen only while the tree
 * has no services. */
static bool remaps_claimed_keys(const struct rk_settings *from,
                                const struct rk_settings *to)
{
    return rk_json_get(rk_settings_json(from), "services") &&
           rk_settings_int(from, "", "claim_shards") !=
               rk_settings_int(to, "", "claim_shards");
}

enum rk_status rk_change_apply(const struct rk_settings *tree, const char *change,
                               struct rk_settings **out,
                               struct rk_problems *problems)
{
    struct json_object *root = NULL;
    struct json_object *c = json_tokener_parse(change);
    struct json_object *set = rk_json_get(c, "set");
    enum rk_status st = RK_OK;
    problems->count = 0;
    if (!json_object_is_type(set, json_type_object)) {
        st = rk_fail(RK_EINVAL, "a change needs a \"set\" object");
        goto done;
    }
    json_object_deep_copy(rk_settings_json(tree), &root, NULL);
    json_object_object_foreach(set, path, v)
    {
        if (!set_path(root, path, v)) {
            problems->count = 1;
            problems->items[0] =
                (struct rk_problem){.expected = "expected a path /a/b"};
            rk_strcpy(problems->items[0].path, RK_SETTING_PATH_MAX, path);
            st = rk_fail(RK_EINVAL, "%s: expected a path below a node", path);
            goto done;
        }
    }
    st = rk_settings_from_json(root, out, problems);
    if (st == RK_OK && remaps_claimed_keys(tree, *out)) {
        rk_settings_destroy(*out);
        problems->count = 1;
        problems->items[0] = (struct rk_problem){
            .path = "/claim_shards",
            .expected = "expected no change: keys claimed before "
                        "would be forgotten and could run again"};
        st = rk_fail(RK_EINVAL, "/claim_shards: can't be changed in service");
    }
done:
    json_object_put(root);
    json_object_put(c);
    return st;
}

/* Returns whether the paths are equal or one is above the other. */
static bool paths_overlap(const char *a, const char *b)
{
    size_t la = strlen(a), lb = strlen(b), n = la < lb ? la : lb;
    if (strncmp(a, b, n) != 0)
        return false;
    return la == lb || (la < lb ? b[n] : a[n]) == '/';
}

bool rk_changes_conflict(const char *a, const char *b)
{
    struct json_object *x = json_tokener_parse(a), *y = json_tokener_parse(b);
    struct json_object *sx = rk_json_get(x, "set"), *sy = rk_json_get(y, "set");
    bool conflict = false;
    if (sx && sy) {
        json_object_object_foreach(sx, px, vx)
        {
            (void)vx;
            json_object_object_foreach(sy, py, vy)
            {
                (void)vy;
                conflict = conflict || paths_overlap(px, py);
            }
        }
    }
    json_object_put(x);
    json_object_put(y);
    return conflict;
}

struct rk_changelog *rk_changelog_create(void)
{
    struct rk_changelog *log = rk_alloc(1, sizeof(*log));
    log->tree = rk_settings_empty();
    return log;
}

void rk_changelog_destroy(struct rk_changelog *log)
{
    if (!log)
        return;
    for (size_t i = 0; i < KEPT_CHANGES; i++)
        free(log->kept[i]);
    rk_settings_destroy(log->tree);
    free(log);
}

int64_t rk_changelog_head(const struct rk_changelog *log)
{
    return log->head;
}

int64_t rk_changelog_skipped(const struct rk_changelog *log)
{
    return log->skipped;
}

const struct rk_settings *rk_changelog_tree(const struct rk_changelog *log)
{
    return log->tree;
}

const char *rk_changelog_text(const struct rk_changelog *log, int64_t n)
{
    size_t i = (size_t)(n % KEPT_CHANGES);
    return n > 0 && log->kept_number[i] == n ? log->kept[i] : NULL;
}

bool rk_changelog_append(struct rk_changelog *log, int64_t n, const char *change)
{
    if (n != log->head + 1)
        return false;
    struct rk_settings *tree = NULL;
    struct rk_problems problems;
    if (rk_change_apply(log->tree, change, &tree, &problems) == RK_OK) {
        rk_settings_destroy(log->tree);
        log->tree = tree;
    } else {
        log->skipped++;
    }
    log->head = n;
    size_t i = (size_t)(n % KEPT_CHANGES);
    free(log->kept[i]);
    log->kept[i] = rk_strdup(change);
    log->kept_number[i] = n;
    return true;
}

enum rk_status rk_changelog_restore(struct rk_changelog *log, const char *snapshot)
{
    struct json_object *o = json_tokener_parse(snapshot);
    struct json_object *tree = rk_json_get(o, "tree");
    int64_t head = json_object_get_int64(rk_json_get(o, "head"));
    struct rk_settings *s = NULL;
    struct rk_problems problems;
    enum rk_status st = RK_OK;
    if (!tree || head <= 0) {
        st = rk_fail(RK_EPROTO, "not a snapshot of settings");
        goto done;
    }
    if (head <= log->head) {
        st = rk_fail(RK_ECONFLICT, "snapshot is not newer");
        goto done;
    }
    st = rk_settings_from_json(tree, &s, &problems);
    if (st != RK_OK)
        goto done;
    rk_settings_destroy(log->tree);
    log->tree = s;
    log->head = head;
done:
    json_object_put(o);
    return st;
}

char *rk_changelog_snapshot(const struct rk_changelog *log)
{
    struct rk_buf b = {0};
    rk_buf_printf(&b, "{\"head\":%" PRId64 ",\"tree\":%s}", log->head,
                  json_object_to_json_string(rk_settings_json(log->tree)));
    return b.data;
}
