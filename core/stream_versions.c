#include "core/stream_versions.h"

#include <stdlib.h>
#include <string.h>

/* Initial size of the table of streams; a power of two. */
#define INITIAL_SLOTS 64
/* A stream is recorded again if its lifetime has become longer by this. */
#define RECORD_AGAIN_MS RK_MS_PER_S

void rk_stream_versions_init(struct rk_stream_versions *s, int64_t now_ms,
                             bool first_start)
{
    *s = (struct rk_stream_versions){.watching_since_ms = now_ms,
                                     .first_start = first_start,
                                     .confirmed_ms = now_ms};
}

void rk_stream_versions_free(struct rk_stream_versions *s)
{
    free(s->slots);
    free(s->served);
    free(s->routings);
}

void rk_stream_versions_set_lifetime(struct rk_stream_versions *s, int64_t ms)
{
    if (ms > s->lifetime_ms)
        s->lifetime_ms = ms;
}

uint64_t rk_stream_hash(const char *org, const char *service,
                        const char *request_id)
{
    uint64_t hash =
        rk_hash_str(rk_hash_str(rk_hash_str(1, org), service), request_id);
    return hash ? hash : 1;
}

/* ---- streams ---- */

/* Returns the slot of the stream, or the free one where it would be inserted. */
static struct rk_stream_version *slot_of(const struct rk_stream_versions *s,
                                         uint64_t stream)
{
    size_t at = stream & (s->slots_len - 1);
    while (s->slots[at].stream && s->slots[at].stream != stream)
        at = (at + 1) & (s->slots_len - 1);
    return &s->slots[at];
}

/* Moves the streams that have not expired to a table of slots_len slots. */
static void rebuild(struct rk_stream_versions *s, size_t slots_len, int64_t now_ms)
{
    struct rk_stream_version *old = s->slots;
    size_t old_len = s->slots_len;
    s->slots = rk_alloc(slots_len, sizeof(*s->slots));
    s->slots_len = slots_len;
    s->used = 0;
    for (size_t i = 0; i < old_len; i++) {
        if (!old[i].stream || now_ms >= old[i].expires_ms)
            continue;
        *slot_of(s, old[i].stream) = old[i];
        s->used++;
    }
    free(old);
}

/* Makes room for one more stream. Returns false if there are too many. */
static bool reserve(struct rk_stream_versions *s, int64_t now_ms)
{
    if (!s->slots_len)
        rebuild(s, INITIAL_SLOTS, now_ms);
    if ((s->used + 1) * 2 <= s->slots_len)
        return true;
    rk_stream_versions_expire(s, now_ms);
    /* Streams expire all the time. A table that is left just below its limit would
     * be rebuilt for each new one. */
    if (s->used * 4 > s->slots_len && s->slots_len < 2 * RK_STREAMS_MAX)
        rebuild(s, s->slots_len * 2, now_ms);
    return (s->used + 1) * 2 <= s->slots_len;
}

struct rk_stream_version *rk_stream_versions_note(struct rk_stream_versions *s,
                                                  uint64_t stream,
                                                  const char *service,
                                                  const char *version,
                                                  int64_t ttl_ms, int64_t now_ms)
{
    struct rk_stream_version *e = rk_stream_versions_find(s, stream, now_ms);
    if (!e) {
        if (!reserve(s, now_ms))
            return NULL;
        e = slot_of(s, stream);
        s->used += !e->stream;
        *e = (struct rk_stream_version){.stream = stream};
        rk_strcpy(e->version, sizeof(e->version), version);
    }
    if (now_ms + ttl_ms > e->expires_ms + RECORD_AGAIN_MS)
        e->is_recorded = false;
    if (now_ms + ttl_ms > e->expires_ms)
        e->expires_ms = now_ms + ttl_ms;
    if (service)
        e->service_hash = rk_hash_str(0, service);
    else
        e->is_told = true;
    return e;
}

struct rk_stream_version *rk_stream_versions_find(struct rk_stream_versions *s,
                                                  uint64_t stream, int64_t now_ms)
{
    if (!s->slots_len)
        return NULL;
    struct rk_stream_version *e = slot_of(s, stream);
    return e->stream && now_ms < e->expires_ms ? e : NULL;
}

void rk_stream_versions_expire(struct rk_stream_versions *s, int64_t now_ms)
{
    if (s->used)
        rebuild(s, s->slots_len, now_ms);
}

/* ---- versions of services ---- */

static struct rk_served_version *find_served(struct rk_stream_versions *s,
                                             uint64_t service_hash,
                                             const char *version)
{
    for (size_t i = 0; i < s->served_len; i++)
        if (s->served[i].service_hash == service_hash &&
            !strcmp(s->served[i].version, version))
            return &s->served[i];
    return NULL;
}

static struct rk_served_version *
get_served(struct rk_stream_versions *s, uint64_t service_hash, const char *version)
{
    struct rk_served_version *found = find_served(s, service_hash, version);
    if (found)
        return found;
    s->served = rk_realloc(s->served, (s->served_len + 1) * sizeof(*s->served));
    struct rk_served_version *v = &s->served[s->served_len++];
    *v = (struct rk_served_version){.service_hash = service_hash};
    rk_strcpy(v->version, sizeof(v->version), version);
    return v;
}

/* The list's VMs are marked anew: is_listed becomes false, and last_listed_ms -1
 * for those that were listed. */
void rk_stream_versions_begin_list(struct rk_stream_versions *s)
{
    for (size_t i = 0; i < s->served_len; i++) {
        struct rk_served_version *v = &s->served[i];
        if (v->is_listed)
            v->last_listed_ms = -1;
        v->is_listed = false;
    }
}

void rk_stream_versions_note_listed(struct rk_stream_versions *s,
                                    const char *service, const char *version)
{
    get_served(s, rk_hash_str(0, service), version)->is_listed = true;
}

/* Returns true if streams that began at the version can still be taken up. */
static bool is_in_use(const struct rk_stream_versions *s,
                      const struct rk_served_version *v, int64_t now_ms)
{
    return v->is_listed || now_ms - v->last_listed_ms < s->lifetime_ms;
}

void rk_stream_versions_end_list(struct rk_stream_versions *s, int64_t now_ms)
{
    size_t kept = 0;
    for (size_t i = 0; i < s->served_len; i++) {
        struct rk_served_version *v = &s->served[i];
        if (!v->is_listed && v->last_listed_ms < 0)
            v->last_listed_ms = now_ms;
        if (is_in_use(s, v, now_ms))
            s->served[kept++] = *v;
    }
    s->served_len = kept;
}

void rk_stream_versions_note_gap(struct rk_stream_versions *s, int64_t now_ms)
{
    s->watching_since_ms = now_ms;
    s->first_start = false;
    for (size_t i = 0; i < s->served_len; i++)
        s->served[i].was_only = false;
}

void rk_stream_versions_confirm_list(struct rk_stream_versions *s, int64_t at_ms)
{
    if (at_ms <= s->confirmed_ms)
        return;
    bool has_gap = at_ms - s->confirmed_ms > RK_STREAM_LIST_AGE_MAX_MS;
    s->confirmed_ms = at_ms;
    if (has_gap)
        rk_stream_versions_note_gap(s, at_ms);
}

static const struct rk_service_routing *
find_routing(const struct rk_stream_versions *s, uint64_t service_hash)
{
    for (size_t i = 0; i < s->routings_len; i++)
        if (s->routings[i].service_hash == service_hash)
            return &s->routings[i];
    return NULL;
}

static void forget_only(struct rk_stream_versions *s, uint64_t service_hash)
{
    for (size_t i = 0; i < s->served_len; i++)
        if (s->served[i].service_hash == service_hash)
            s->served[i].was_only = false;
}

void rk_stream_versions_set_routings(struct rk_stream_versions *s,
                                     struct rk_service_routing *rows, size_t len,
                                     int64_t now_ms)
{
    for (size_t i = 0; i < len && s->routings_known; i++) {
        const struct rk_service_routing *old =
            find_routing(s, rows[i].service_hash);
        if (old && old->hash == rows[i].hash) {
            rows[i].changed_ms = old->changed_ms;
            continue;
        }
        rows[i].changed_ms = now_ms;
        forget_only(s, rows[i].service_hash);
    }
    free(s->routings);
    s->routings = rows;
    s->routings_len = len;
    s->routings_known = true;
}

uint64_t rk_stream_versions_routing(const struct rk_stream_versions *s,
                                    const char *service)
{
    const struct rk_service_routing *routing =
        find_routing(s, rk_hash_str(0, service));
    return routing ? routing->hash : 0;
}

/* Returns true if no other version can have served for the lifetime of a stream
 * unnoticed. */
static bool has_watched(const struct rk_stream_versions *s,
                        const struct rk_served_version *v, int64_t now_ms)
{
    static const struct rk_service_routing none;
    const struct rk_service_routing *routing = find_routing(s, v->service_hash);
    int64_t since_ms = s->watching_since_ms;
    if (!routing)
        routing = &none;
    if (!s->lifetime_ms || now_ms - s->confirmed_ms > RK_STREAM_LIST_AGE_MAX_MS)
        return false;
    if (routing->changed_ms > since_ms)
        since_ms = routing->changed_ms;
    return (s->first_start && !routing->changed_ms) ||
           (v->was_only && v->only_routing == routing->hash) ||
           now_ms - since_ms >= s->lifetime_ms;
}

static enum rk_service_versions state_of(const struct rk_stream_versions *s,
                                         uint64_t service_hash, const char **only,
                                         int64_t now_ms)
{
    const struct rk_served_version *found = NULL;
    for (size_t i = 0; i < s->served_len; i++) {
        const struct rk_served_version *v = &s->served[i];
        if (v->service_hash != service_hash || !is_in_use(s, v, now_ms))
            continue;
        if (found)
            return RK_VERSIONS_SEVERAL;
        found = v;
    }
    if (!found || !has_watched(s, found, now_ms))
        return RK_VERSIONS_UNSURE;
    *only = found->version;
    return RK_VERSIONS_ONE;
}

enum rk_service_versions rk_stream_versions_of_service(struct rk_stream_versions *s,
                                                       const char *service,
                                                       const char **only,
                                                       int64_t now_ms)
{
    return state_of(s, rk_hash_str(0, service), only, now_ms);
}

void rk_stream_versions_note_only(struct rk_stream_versions *s, const char *service,
                                  const char *version, uint64_t routing,
                                  int64_t now_ms)
{
    uint64_t service_hash = rk_hash_str(0, service);
    struct rk_served_version *v = find_served(s, service_hash, version);
    if (!v) {
        v = get_served(s, service_hash, version);
        v->last_listed_ms = now_ms; /* it served until now, as far as known */
    }
    v->was_only = true;
    v->only_routing = routing;
}

void rk_stream_versions_note_past(struct rk_stream_versions *s, const char *service,
                                  const char *version, int64_t now_ms)
{
    struct rk_served_version *v = get_served(s, rk_hash_str(0, service), version);
    if (!v->is_listed)
        v->last_listed_ms = now_ms;
}

void rk_stream_versions_note_silent(struct rk_stream_versions *s,
                                    int64_t silent_since_ms, int64_t now_ms)
{
    /* It may not have heard of changes that came shortly before. */
    int64_t known_ms = silent_since_ms - RK_STREAM_LIST_AGE_MAX_MS;
    for (size_t i = 0; i < s->served_len; i++) {
        struct rk_served_version *v = &s->served[i];
        if (!v->is_listed && v->last_listed_ms >= known_ms &&
            is_in_use(s, v, now_ms))
            v->last_listed_ms = now_ms;
    }
    for (size_t i = 0; i < s->routings_len; i++) {
        struct rk_service_routing *routing = &s->routings[i];
        if (routing->changed_ms && routing->changed_ms >= known_ms)
            routing->changed_ms = now_ms;
    }
}

void rk_stream_versions_note_checked(struct rk_stream_versions *s, int64_t asked_ms)
{
    rk_stream_versions_confirm_list(s, asked_ms);
    if (asked_ms > s->checked_ms)
        s->checked_ms = asked_ms;
}

/* ---- streams that are taken up ---- */

enum rk_stream_verdict rk_stream_versions_judge(struct rk_stream_versions *s,
                                                const char *service,
                                                const struct rk_stream_inquiry *q,
                                                const char **only, int64_t now_ms)
{
    if (q->saw_several)
        return RK_STREAM_UNKNOWN;
    if (q->only[0])
        rk_stream_versions_note_only(
            s, service, q->only, rk_stream_versions_routing(s, service), now_ms);
    if (rk_stream_versions_of_service(s, service, only, now_ms) !=
            RK_VERSIONS_ONE ||
        (q->only[0] && strcmp(*only, q->only) != 0))
        return RK_STREAM_UNKNOWN;
    return s->checked_ms >= q->arrived_ms ? RK_STREAM_GOES_ON : RK_STREAM_UNCHECKED;
}

bool rk_stream_versions_trusts(const struct rk_stream_versions *s,
                               int64_t list_age_ms, int64_t now_ms)
{
    return list_age_ms >= 0 && now_ms - list_age_ms >= s->watching_since_ms;
}

/* ---- streams that peers have to know ---- */

struct rk_stream_version *
rk_stream_versions_next_pending(struct rk_stream_versions *s, size_t *at,
                                int64_t now_ms)
{
    const char *only;
    for (; *at < s->slots_len; ++*at) {
        struct rk_stream_version *e = &s->slots[*at];
        if (!e->stream || e->is_told || now_ms >= e->expires_ms ||
            state_of(s, e->service_hash, &only, now_ms) == RK_VERSIONS_ONE)
            continue;
        ++*at;
        return e;
    }
    return NULL;
}

struct rk_stream_version *
rk_stream_versions_next_shared(struct rk_stream_versions *s, size_t *at,
                               int64_t now_ms)
{
    const char *only;
    while (*at < s->slots_len) {
        struct rk_stream_version *e = &s->slots[(*at)++];
        if (e->stream && now_ms < e->expires_ms &&
            (e->is_told ||
             state_of(s, e->service_hash, &only, now_ms) != RK_VERSIONS_ONE))
            return e;
    }
    return NULL;
}

void rk_stream_versions_forget_recorded(struct rk_stream_versions *s)
{
    for (size_t i = 0; i < s->slots_len; i++)
        s->slots[i].is_recorded = false;
}

/* ---- peers ---- */

/* Returns the peer with the highest rank for the stream among those that belong to
 * the domain (is_inside) or to others; NULL if there is none. skip: not this one.
 */
static const struct rk_stream_peer *best_peer(const struct rk_stream_peer *peers,
                                              size_t len, uint64_t stream,
                                              uint64_t domain, bool is_inside,
                                              const struct rk_stream_peer *skip)
{
    const struct rk_stream_peer *best = NULL;
    uint64_t best_rank = 0;
    for (size_t i = 0; i < len; i++) {
        const struct rk_stream_peer *p = &peers[i];
        uint64_t rank = rk_hash(stream, &p->hash, sizeof(p->hash));
        if (p == skip || (p->domain_hash == domain) != is_inside ||
            (best && rank <= best_rank))
            continue;
        best = p;
        best_rank = rank;
    }
    return best;
}

size_t rk_stream_holders(const struct rk_stream_peer *peers, size_t len,
                         uint64_t stream, uint64_t own_domain,
                         const struct rk_stream_peer *out[RK_STREAM_HOLDERS])
{
    size_t n = 0;
    const struct rk_stream_peer *near =
        best_peer(peers, len, stream, own_domain, true, NULL);
    const struct rk_stream_peer *far =
        best_peer(peers, len, stream, own_domain, false, NULL);
    if (near && !far)
        far = best_peer(peers, len, stream, own_domain, true, near);
    else if (far && !near)
        near = best_peer(peers, len, stream, far->domain_hash, false, NULL);
    if (far && !near)
        near = best_peer(peers, len, stream, far->domain_hash, true, far);
    if (near)
        out[n++] = near;
    if (far)
        out[n++] = far;
    return n;
}

/* Returns true if an earlier peer has the same domain. */
static bool is_domain_seen(const struct rk_stream_peer *peers, size_t at)
{
    for (size_t i = 0; i < at; i++)
        if (peers[i].domain_hash == peers[at].domain_hash)
            return true;
    return false;
}

size_t rk_stream_peers_to_ask(const struct rk_stream_peer *peers, size_t len,
                              uint64_t stream,
                              const struct rk_stream_peer *out[RK_STREAM_ASKED_MAX])
{
    size_t n = 0;
    for (size_t i = 0; i < len; i++) {
        if (is_domain_seen(peers, i) ||
            n + RK_STREAM_ASKED_PER_DOMAIN > RK_STREAM_ASKED_MAX)
            continue;
        uint64_t domain = peers[i].domain_hash;
        const struct rk_stream_peer *first =
            best_peer(peers, len, stream, domain, true, NULL);
        const struct rk_stream_peer *second =
            best_peer(peers, len, stream, domain, true, first);
        out[n++] = first;
        if (second)
            out[n++] = second;
    }
    return n;
}
