#include "common/json.h"
#include "core/lease.h"
#include "core/revision.h"

#include <assert.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

/* In a later era, an absent lease may have been lost in a restore. */
#define FIRST_ERA 1

static int64_t usable_ms(const struct rk_lease *l)
{
    return l->ttl_ms - l->ttl_ms * RK_LEASE_MARGIN_PCT / 100;
}

void rk_lease_set_era(struct rk_lease *l, int64_t era)
{
    if (era <= l->era)
        return;
    l->era = era;
    l->held = false;
    l->observed_ms = 0;
}

static int64_t next_epoch(const struct rk_lease *l)
{
    int64_t epoch = l->version ? l->version + 1 : rk_revision_make(l->era, 1);
    return epoch > l->epoch ? epoch : l->epoch + 1;
}

/* Parses the members "holder", which is "NAME/INCARNATION" with the incarnation in
 * hexadecimal, and "addr", which values of earlier versions lack. */
static struct rk_lease_identity parse_identity(struct json_object *o)
{
    struct rk_lease_identity id = {0};
    const char *holder = rk_json_str(o, "holder");
    const char *slash = strrchr(holder, '/');
    size_t name_len = slash ? (size_t)(slash - holder) : strlen(holder);
    /* Without its end, a longer name or address would be another machine's. */
    if (name_len >= sizeof(id.name) ||
        !rk_strcpy(id.addr, sizeof(id.addr), rk_json_str(o, "addr")))
        return (struct rk_lease_identity){0};
    memcpy(id.name, holder, name_len);
    id.incarnation = slash ? strtoull(slash + 1, NULL, 16) : 0;
    return id;
}

static void format_value(const struct rk_lease *l, int64_t now_ms,
                         char value[RK_LEASE_VALUE_MAX])
{
    struct rk_buf holder = {0}, b = {0};
    rk_buf_printf(&holder, "%s/%016" PRIx64, l->self.name, l->self.incarnation);
    rk_buf_addstr(&b, "{\"holder\":");
    rk_buf_json_str(&b, holder.data);
    rk_buf_addstr(&b, ",\"addr\":");
    rk_buf_json_str(&b, l->self.addr);
    rk_buf_printf(&b, ",\"epoch\":%" PRId64 ",\"beat\":%" PRId64 "}", l->held_epoch,
                  now_ms);
    bool fits = rk_strcpy(value, RK_LEASE_VALUE_MAX, b.data);
    assert(fits);
    (void)fits;
    rk_buf_free(&holder);
    rk_buf_free(&b);
}

static bool is_same_machine(const struct rk_lease_identity *a,
                            const struct rk_lease_identity *b)
{
    return !strcmp(a->name, b->name) && !strcmp(a->addr, b->addr);
}

static bool is_same_process(const struct rk_lease_identity *a,
                            const struct rk_lease_identity *b)
{
    return is_same_machine(a, b) && a->incarnation == b->incarnation;
}

/* Takes over a value of the current version. Returns false if its epoch can't be
 * that of a lease. */
static bool read_value(struct rk_lease *l, struct json_object *o, int64_t now_ms)
{
    int64_t epoch = rk_json_int(o, "epoch", 0);
    l->held = false;
    l->observed_holder = (struct rk_lease_identity){0};
    if (epoch < 0 || epoch > l->version)
        return false;
    l->epoch = epoch;
    l->observed_holder = parse_identity(o);
    /* Possibly by a write whose response was lost. The lease counts from the start
     * of that write, which the value contains; the start of a later attempt proves
     * nothing. */
    int64_t written_ms = rk_json_int(o, "beat", 0);
    l->held = l->version && is_same_process(&l->observed_holder, &l->self) &&
              l->epoch == l->held_epoch && rk_revision_era(l->epoch) == l->era &&
              written_ms >= 0 && written_ms <= now_ms;
    if (l->held)
        l->renewed_ms = written_ms;
    return true;
}

bool rk_lease_read_done(struct rk_lease *l, int64_t version, const char *value,
                        int64_t now_ms)
{
    rk_lease_set_era(l, rk_revision_era(version));
    bool first = !l->observed_ms;
    /* Versions only rise: a read without a higher version is stale or has nothing
     * new. */
    if (version <= l->version && !first)
        return true;
    l->version = version;
    l->observed_ms = now_ms;
    l->was_present = l->was_present || version;
    struct json_object *o = version ? json_tokener_parse(value) : NULL;
    bool valid = read_value(l, o, now_ms);
    json_object_put(o);
    return valid;
}

/* Returns whether the holder is a past incarnation of this process. That one has
 * ended, since this one listens at its address. Orders that it sent last carry its
 * own epoch, and nobody else can have taken the lease since, unless the store has
 * been restored since. */
static bool held_by_past_incarnation(const struct rk_lease *l)
{
    return l->self.addr[0] && l->version && rk_revision_era(l->epoch) == l->era &&
           is_same_machine(&l->observed_holder, &l->self) &&
           !is_same_process(&l->observed_holder, &l->self);
}

bool rk_lease_next_write(struct rk_lease *l, int64_t now_ms,
                         char value[RK_LEASE_VALUE_MAX], int64_t *expect)
{
    bool renew = l->held && now_ms - l->renewed_ms >= l->ttl_ms / 3;
    bool never_taken = !l->version && !l->was_present && l->era <= FIRST_ERA;
    bool expired = l->observed_ms && (never_taken || held_by_past_incarnation(l) ||
                                      now_ms - l->observed_ms > l->ttl_ms);
    if (!renew && (l->held || !expired))
        return false;
    /* A holder that was suspended past its lease starts over, with a new epoch. */
    int64_t epoch;
    bool still_valid = l->held && rk_lease_valid(l, now_ms, &epoch);
    if (l->held && !still_valid) {
        l->held = false;
        l->observed_ms = now_ms;
        return false;
    }
    l->held_epoch = still_valid ? l->held_epoch : next_epoch(l);
    l->write_started_ms = now_ms;
    *expect = l->version;
    format_value(l, now_ms, value);
    return true;
}

void rk_lease_write_done(struct rk_lease *l, enum rk_status st, int64_t version,
                         int64_t now_ms)
{
    if (st == RK_OK && rk_revision_era(version) > l->era) {
        rk_lease_set_era(l, rk_revision_era(version));
    } else if (st == RK_OK) {
        l->held = true;
        l->renewed_ms = l->write_started_ms;
        l->version = version;
        l->epoch = l->held_epoch;
        l->observed_ms = now_ms;
        l->observed_holder = l->self;
    } else if (st == RK_ECONFLICT) {
        l->held = false;
        /* The known state is outdated: read before the next attempt. */
        l->observed_ms = 0;
    }
}

bool rk_lease_valid(const struct rk_lease *l, int64_t now_ms, int64_t *epoch)
{
    if (!l->held || now_ms - l->renewed_ms >= usable_ms(l))
        return false;
    *epoch = l->held_epoch;
    return true;
}
