#include "common/json.h"
#include "core/lease.h"

#include <inttypes.h>
#include <stdio.h>
#include <string.h>

static int64_t usable_ms(const struct rk_lease *l)
{
    return l->life_ms - l->life_ms * RK_LEASE_MARGIN_PCT / 100;
}

void rk_lease_seen(struct rk_lease *l, int64_t version, const char *value,
                   int64_t now_ms)
{
    bool first = !l->seen_ms;
    /* A read may be stale: versions only rise. */
    if (version <= l->version && !first)
        return;
    l->version = version;
    l->seen_ms = now_ms;
    struct json_object *o = version ? json_tokener_parse(value) : NULL;
    l->epoch = rk_json_int(o, "epoch", 0);
    rk_strcpy(l->seen_holder, sizeof(l->seen_holder), rk_json_str(o, "holder"));
    l->held =
        version && !strcmp(l->seen_holder, l->holder) && l->epoch == l->held_epoch;
    /* Maybe by a write whose answer was lost. The lease counts from when that
     * very write began, which the value tells: a later try proves nothing. */
    if (l->held)
        l->held_from_ms = rk_json_int(o, "beat", 0);
    json_object_put(o);
}

/* Is the holder an earlier life of this process? It has ended, as this one began;
 * what it sent last carries its own epoch. Nobody else can have taken the lease
 * since. */
static bool is_own_earlier(const struct rk_lease *l)
{
    const char *slash = strrchr(l->holder, '/');
    size_t name = slash ? (size_t)(slash - l->holder) + 1 : 0;
    return name && l->version && strcmp(l->seen_holder, l->holder) != 0 &&
           !strncmp(l->seen_holder, l->holder, name);
}

bool rk_lease_wants(struct rk_lease *l, int64_t now_ms,
                    char value[RK_LEASE_VALUE_MAX], int64_t *expect)
{
    bool renew = l->held && now_ms - l->held_from_ms >= l->life_ms / 3;
    bool lapsed = l->seen_ms && (!l->version || is_own_earlier(l) ||
                                 now_ms - l->seen_ms > l->life_ms);
    if (!renew && (l->held || !lapsed))
        return false;
    /* A holder that slept past its lease starts over, under a new epoch. */
    int64_t epoch;
    bool still = l->held && rk_lease_valid(l, now_ms, &epoch);
    if (l->held && !still) {
        l->held = false;
        l->seen_ms = now_ms;
        return false;
    }
    l->held_epoch = still ? l->held_epoch : l->epoch + 1;
    l->try_ms = now_ms;
    *expect = l->version;
    snprintf(value, RK_LEASE_VALUE_MAX,
             "{\"holder\":\"%s\",\"epoch\":%" PRId64 ",\"beat\":%" PRId64 "}",
             l->holder, l->held_epoch, now_ms);
    return true;
}

void rk_lease_written(struct rk_lease *l, enum rk_status st, int64_t version,
                      int64_t now_ms)
{
    if (st == RK_OK) {
        l->held = true;
        l->held_from_ms = l->try_ms;
        l->version = version;
        l->epoch = l->held_epoch;
        l->seen_ms = now_ms;
        rk_strcpy(l->seen_holder, sizeof(l->seen_holder), l->holder);
    } else if (st == RK_ECONFLICT) {
        l->held = false;
        l->seen_ms = 0; /* what we knew is old: read before the next try */
    }
}

bool rk_lease_valid(const struct rk_lease *l, int64_t now_ms, int64_t *epoch)
{
    if (!l->held || now_ms - l->held_from_ms >= usable_ms(l))
        return false;
    *epoch = l->held_epoch;
    return true;
}
