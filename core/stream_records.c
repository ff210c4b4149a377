#include "core/stream_records.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"

#define HASH_DIGITS 16
/* Lifetimes within a group are rounded down to whole steps. */
#define TTL_STEP_MS RK_MS_PER_S
/* Room for the end of a group and one more stream. */
#define RESERVED_BYTES 256

/* ---- writing ---- */

/* A stream that is to be written. */
struct packed_stream {
    const struct rk_stream_version *e;
    int64_t ttl_steps;
};

/* Orders by lifetime, the longest one first, then by version. */
static int compare_streams(const void *a, const void *b)
{
    const struct packed_stream *x = a, *y = b;
    if (x->ttl_steps != y->ttl_steps)
        return x->ttl_steps < y->ttl_steps ? 1 : -1;
    return strcmp(x->e->version, y->e->version);
}

static size_t collect_streams(struct rk_stream_versions *s, int64_t now_ms,
                              struct packed_stream *out)
{
    size_t len = 0, at = 0;
    const struct rk_stream_version *e;
    while ((e = rk_stream_versions_next_shared(s, &at, now_ms))) {
        int64_t ttl_ms = e->expires_ms - now_ms;
        if (ttl_ms > RK_STREAM_RECORD_TTL_MAX_MS)
            ttl_ms = RK_STREAM_RECORD_TTL_MAX_MS;
        int64_t ttl_steps = ttl_ms / TTL_STEP_MS;
        if (ttl_steps > 0)
            out[len++] = (struct packed_stream){.e = e, .ttl_steps = ttl_steps};
    }
    return len;
}

static void begin_group(struct rk_buf *out, const struct packed_stream *first)
{
    rk_buf_addstr(out, "{\"version\":");
    rk_buf_json_str(out, first->e->version);
    rk_buf_printf(out, ",\"ttl_ms\":%" PRId64 ",\"streams\":\"",
                  first->ttl_steps * TTL_STEP_MS);
}

static bool is_same_group(const struct packed_stream *a,
                          const struct packed_stream *b)
{
    return a->ttl_steps == b->ttl_steps && !strcmp(a->e->version, b->e->version);
}

size_t rk_stream_records_pack(struct rk_stream_versions *s, int64_t now_ms,
                              struct rk_buf *out)
{
    struct packed_stream *streams = rk_alloc(s->used + 1, sizeof(*streams));
    size_t len = collect_streams(s, now_ms, streams), n = 0, start = out->len;
    qsort(streams, len, sizeof(*streams), compare_streams);
    rk_buf_addstr(out, "[");
    for (; n < len; n++) {
        if (out->len - start > RK_STREAM_RECORD_MAX_BYTES - RESERVED_BYTES)
            break;
        if (!n || !is_same_group(&streams[n - 1], &streams[n])) {
            rk_buf_addstr(out, n ? "\"}," : "");
            begin_group(out, &streams[n]);
        }
        rk_buf_printf(out, "%016" PRIx64, streams[n].e->stream);
    }
    rk_buf_addstr(out, n ? "\"}]" : "]");
    free(streams);
    return n;
}

/* ---- reading ---- */

/* Reads a hash of HASH_DIGITS digits. Returns false if there are others. */
static bool read_hash(const char *text, uint64_t *hash)
{
    *hash = 0;
    for (int i = 0; i < HASH_DIGITS; i++) {
        const char *digits = "0123456789abcdef";
        const char *digit = text[i] ? strchr(digits, text[i]) : NULL;
        if (!digit)
            return false;
        *hash = *hash << 4 | (uint64_t)(digit - digits);
    }
    return *hash != 0;
}

/* Returns the text of a member, or "" if it is not a string or has a NUL. */
static const char *string_of(struct json_object *group, const char *name)
{
    const char *text = rk_json_text(rk_json_get(group, name));
    return text ? text : "";
}

/* Reads a group into out, which has room. Returns the number of streams, or -1 if
 * the group cannot be read. */
static int64_t unpack_group(struct json_object *group, int64_t age_ms,
                            struct rk_stream_record *out)
{
    const char *streams = string_of(group, "streams");
    struct rk_stream_record row = {.ttl_ms = rk_json_int(group, "ttl_ms", 0)};
    size_t len = strlen(streams) / HASH_DIGITS;
    if (!len || strlen(streams) % HASH_DIGITS || row.ttl_ms <= 0 ||
        row.ttl_ms > RK_STREAM_RECORD_TTL_MAX_MS ||
        !rk_strcpy(row.version, sizeof(row.version), string_of(group, "version")) ||
        !row.version[0])
        return -1;
    for (size_t i = 0; i < len; i++) {
        if (!read_hash(streams + i * HASH_DIGITS, &row.stream))
            return -1;
        out[i] = row;
        out[i].ttl_ms -= age_ms;
    }
    return row.ttl_ms > age_ms ? (int64_t)len : 0;
}

/* Returns the number of streams that a group may have. */
static size_t room_for(struct json_object *group)
{
    return strlen(string_of(group, "streams")) / HASH_DIGITS;
}

size_t rk_stream_records_unpack(struct json_object *groups, int64_t age_ms,
                                struct rk_stream_record **out, size_t *skipped)
{
    size_t room = 0, len = 0;
    if (age_ms < 0)
        age_ms = 0; /* the writer's clock is ahead */
    for (size_t i = 0; i < rk_json_len(groups); i++)
        room += room_for(json_object_array_get_idx(groups, i));
    *out = rk_alloc(room + 1, sizeof(**out));
    *skipped = 0;
    for (size_t i = 0; i < rk_json_len(groups); i++) {
        int64_t n =
            unpack_group(json_object_array_get_idx(groups, i), age_ms, *out + len);
        *skipped += n < 0;
        len += n > 0 ? (size_t)n : 0;
    }
    return len;
}
