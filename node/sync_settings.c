/* Settings: uses the newest valid version that the store or a peer has sent. The
 * version in use never falls while the process runs. */
#include <json-c/json.h>
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/json_text.h"
#include "common/zip.h"
#include "node/sync_impl.h"

#define SETTINGS_MAX_BYTES (4 * 1024 * 1024) /* of a peer's text, uncompressed */

/* Compresses settings that came from the store, to be sent to peers. */
static void zip_text(struct rk_sync *s, const char *text)
{
    s->settings_zip.len = 0;
    s->settings_plain_len = strlen(text);
    if (!rk_zlib_compress(&s->settings_zip, text, s->settings_plain_len))
        RK_WARN("settings.not_told", RK_N("bytes", (int64_t)s->settings_plain_len));
}

/* Copies settings that came from a peer, to be sent on as they are. */
static void copy_zip(struct rk_sync *s, const Rillknot__StoreText *text)
{
    s->settings_zip.len = 0;
    s->settings_plain_len = text->settings_len;
    rk_buf_add(&s->settings_zip, text->settings_zip.data, text->settings_zip.len);
}

static void note_caught_up(struct rk_sync *s)
{
    if (!s->behind_since_ms || rk_sync_version(s) < s->newest_reported)
        return;
    RK_EVENT("settings.caught_up", RK_N("version", rk_sync_version(s)),
             RK_N("behind_ms", rk_mono_ms() - s->behind_since_ms));
    s->behind_since_ms = 0;
}

static void use_routes(struct rk_sync *s, struct rk_routes *routes,
                       const char *from)
{
    RK_EVENT("settings.version", RK_N("version", routes->version),
             RK_N("before", s->routes ? s->routes->version : 0), RK_S("from", from),
             RK_N("routes", (int64_t)routes->routes_len),
             RK_N("organisations", (int64_t)routes->orgs_len));
    rk_routes_unref(s->routes);
    s->routes = routes;
    rk_relay_set_routes(s->n->relay, rk_routes_ref(routes));
    note_caught_up(s);
    rk_mesh_schedule_report(s->n->mesh);
    rk_mesh_send_settings(s->n->mesh);
}

enum settings_result { SETTINGS_APPLIED, SETTINGS_NOT_NEWER, SETTINGS_INVALID };

static enum settings_result
apply_settings(struct rk_sync *s, struct json_object *spec, const char *from)
{
    struct rk_routes *routes;
    if (s->n->platform->parse_routes(spec, &routes) != RK_OK) {
        RK_WARN("settings.rejected", RK_S("why", rk_last_error()),
                RK_S("from", from),
                RK_N("kept", s->routes ? s->routes->version : 0));
        return SETTINGS_INVALID;
    }
    if (s->routes && routes->version <= s->routes->version) {
        rk_routes_unref(routes);
        return SETTINGS_NOT_NEWER;
    }
    use_routes(s, routes, from);
    return SETTINGS_APPLIED;
}

static bool is_settings(const struct rk_sync *s, const struct rk_store_object *o)
{
    return !o->removed && o->spec &&
           !strcmp(o->name, s->n->platform->settings_name);
}

/* Applies the newest valid settings and parses none of the older ones. Changes are
 * in the order of their revisions. */
void rk_sync_apply_settings(void *ctx, const struct rk_store_object *objects,
                            size_t len, bool all, int64_t store_revision)
{
    struct rk_sync *s = ctx;
    (void)all;
    (void)store_revision;
    for (size_t i = len; i-- > 0;) {
        if (!is_settings(s, &objects[i]))
            continue;
        enum settings_result result = apply_settings(s, objects[i].spec, "store");
        if (result == SETTINGS_APPLIED)
            zip_text(s, json_object_to_json_string(objects[i].spec));
        if (result != SETTINGS_INVALID)
            return;
    }
}

/* ---- peers ---- */

void rk_sync_fill_settings(struct rk_sync *s, Rillknot__StoreText *out)
{
    out->settings_revision = s->routes->version;
    out->settings_zip.data = (uint8_t *)s->settings_zip.data;
    out->settings_zip.len = s->settings_zip.len;
    out->settings_len = (uint32_t)s->settings_plain_len;
}

void rk_sync_receive_settings(struct rk_sync *s, const Rillknot__StoreText *text)
{
    char *plain =
        text->settings_len > SETTINGS_MAX_BYTES
            ? NULL
            : rk_zlib_decompress(text->settings_zip.data, text->settings_zip.len,
                                 text->settings_len);
    struct json_object *spec = plain ? rk_json_parse(plain, strlen(plain)) : NULL;
    free(plain);
    if (!spec)
        RK_WARN("settings.unreadable", RK_N("version", text->settings_revision),
                RK_N("bytes", (int64_t)text->settings_zip.len));
    else if (apply_settings(s, spec, "peer") == SETTINGS_APPLIED)
        copy_zip(s, text);
    rk_store_watch_relist(&s->settings);
    json_object_put(spec);
}
