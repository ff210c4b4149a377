#include <assert.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/json_text.h"
#include "core/claims_impl.h"

#define TAKEOVER_BACKOFF_MS 15   /* per race for the shard lost in a row */
#define RETRY_AFTER_MS      1000 /* for callers whose claim is refused */
#define REREAD_DELAY_MS     200  /* after a failed read */
#define DOWN_TIMEOUT_PCT    10   /* of the time-out, while the platform is down */
/* 2024-01-01. A wall clock with an earlier date was not set. */
#define DATE_MIN_MS INT64_C(1704067200000)

/* ---- creation ---- */

struct rk_claims *rk_claims_create(const struct rk_claims_config *cfg,
                                   const struct rk_claims_ops *ops, void *ctx)
{
    struct rk_claims *c = rk_alloc(1, sizeof(*c));
    c->cfg = *cfg;
    rk_strcpy(c->owner, sizeof(c->owner), cfg->owner);
    c->ops = ops;
    c->ctx = ctx;
    c->pending_end = &c->pending;
    c->current_keys = rk_alloc(RK_CLAIM_SLOT_KEYS, sizeof(char *));
    if (!c->cfg.slot_keys || c->cfg.slot_keys > RK_CLAIM_SLOT_KEYS)
        c->cfg.slot_keys = RK_CLAIM_SLOT_KEYS;
    return c;
}

static void clear_current(struct rk_claims *c)
{
    for (size_t i = 0; i < c->current_len; i++)
        free(c->current_keys[i]);
    c->current_len = 0;
}

void rk_claims_destroy(struct rk_claims *c)
{
    if (!c)
        return;
    for (size_t i = 0; i < RK_CLAIM_BUCKETS; i++) {
        while (c->buckets[i]) {
            struct claim_ticket *t;
            while ((t = rk_claim_pop_ticket(c, c->buckets[i])))
                free(t);
            rk_claim_free(c, &c->buckets[i]);
        }
    }
    clear_current(c);
    free(c->current_keys);
    free(c->write_value);
    free(c);
}

size_t rk_claims_key_count(const struct rk_claims *c)
{
    return c->entries;
}

void rk_claims_set_platform_down(struct rk_claims *c, bool away)
{
    c->platform_down = away;
}

bool rk_claims_busy(const struct rk_claims *c)
{
    return c->pending != NULL;
}

/* ---- writes ---- */

static void refuse_pending(struct rk_claims *c, const char *detail);

/* Returns whether a slot is absent or all its keys are past the retention. */
static bool slot_is_reusable(const struct rk_claims *c, unsigned slot,
                             int64_t now_ms)
{
    const struct claim_slot *s = &c->slots[slot];
    return !s->version || now_ms - s->written_ms > c->cfg.retention_ms;
}

/* Chooses the slot of the next write. Returns false if the ring is full of keys
 * that must be retained. */
static bool choose_write_slot(struct rk_claims *c, int64_t now_ms, int64_t wall_ms)
{
    unsigned slot = c->current;
    c->write_base = c->current_len;
    c->write_seq = c->slots[slot].seq;
    if (c->sealed) {
        slot = (slot + 1) % RK_CLAIM_SLOTS;
        if (!slot_is_reusable(c, slot, now_ms))
            return false;
        c->write_base = 0;
        c->write_seq++;
    }
    c->write_slot = slot;
    c->write_expect = c->slots[slot].version;
    c->write_wall_ms = wall_ms;
    return true;
}

static void start_write(struct rk_claims *c, int64_t now_ms, int64_t wall_ms)
{
    if (!choose_write_slot(c, now_ms, wall_ms)) {
        refuse_pending(c, "the shard's ring is full");
        return;
    }
    if (!c->fenced)
        c->epoch++;
    size_t room = c->cfg.slot_keys - c->write_base;
    c->write_new = 0;
    for (struct claim_entry *e = c->pending; e; e = e->next_pending) {
        e->in_batch = c->write_new < room;
        c->write_new += e->in_batch;
    }
    /* Differs from that of any other write, so that a read-back can identify this
     * one. */
    c->nonce = rk_hash_str((uint64_t)wall_ms ^ c->nonce ^ c->cfg.seed, c->owner);
    rk_claim_build_value(c);
    c->state = OWNER_WRITING;
    c->ops->write_slot(c->ctx, c->cfg.shard, c->write_slot, c->write_expect,
                       c->write_value);
}

static void start_read(struct rk_claims *c)
{
    c->state = OWNER_READING;
    c->ops->read_ring(c->ctx, c->cfg.shard);
}

/* Returns whether the write rate allows a write now. Keys that have to wait share
 * the next write. */
static bool may_write(struct rk_claims *c, int64_t now_ms)
{
    if (!c->cfg.writes_per_s)
        return true;
    double earned =
        (double)(now_ms - c->refilled_ms) * c->cfg.writes_per_s / RK_MS_PER_S;
    c->write_tokens = c->refilled_ms
                          ? fmin(RK_CLAIM_BURST, c->write_tokens + earned)
                          : RK_CLAIM_BURST;
    c->refilled_ms = now_ms;
    return c->write_tokens >= 1;
}

/* Starts the next I/O if keys wait to be written and none is in flight. */
static void advance(struct rk_claims *c, int64_t now_ms, int64_t wall_ms)
{
    if (!c->pending || now_ms < c->not_before_ms)
        return;
    /* The write rate is checked before the ring is read, so that the write follows
     * the read at once: what was read soon becomes outdated. */
    bool leads_to_write =
        c->state == OWNER_NONE || (c->state == OWNER_READY && !c->unresolved);
    if (leads_to_write && !may_write(c, now_ms))
        return;
    if (c->state == OWNER_NONE) {
        start_read(c);
    } else if (c->state == OWNER_READY && c->unresolved) {
        c->state = OWNER_CHECKING;
        c->ops->read_slot(c->ctx, c->cfg.shard, c->write_slot);
    } else if (c->state == OWNER_READY) {
        c->write_tokens -= 1;
        start_write(c, now_ms, wall_ms);
    }
}

/* Gives up the shard, because another node owns it: forgets the ring, but not the
 * table of keys. */
static void step_down(struct rk_claims *c, int64_t now_ms)
{
    c->state = OWNER_NONE;
    c->fenced = false;
    c->unresolved = false;
    clear_current(c);
    for (struct claim_entry *e = c->pending; e; e = e->next_pending)
        e->in_batch = false;
    /* Two nodes may both believe that they own the shard until their views of the
     * members agree. So that they don't keep fencing each other, the back-off grows
     * with each lost race, and has jitter. */
    c->lost_races++;
    int64_t backoff = c->lost_races * TAKEOVER_BACKOFF_MS;
    c->not_before_ms = now_ms + backoff + (int64_t)(c->nonce % TAKEOVER_BACKOFF_MS);
}

/* Grants a key to its oldest ticket, when it is durable or granted from memory. */
static void grant(struct rk_claims *c, struct claim_entry *e)
{
    struct claim_ticket *t = rk_claim_pop_ticket(c, e);
    if (!t) {
        e->state = ENTRY_RELEASED; /* all tickets were cancelled during the write */
        return;
    }
    e->state = ENTRY_RUNNING;
    uint64_t id = t->id;
    free(t);
    rk_claim_decide(c, &e->key, id, RK_CLAIM_GRANTED, RK_NOT_RUN, NULL, 0, "");
}

/* Records that a write took effect: its slot and keys are durable, and its claims
 * are granted. */
static void commit_write(struct rk_claims *c, int64_t version, int64_t now_ms)
{
    c->slots[c->write_slot] = (struct claim_slot){
        .version = version, .seq = c->write_seq, .written_ms = now_ms};
    if (c->write_slot != c->current || c->write_base == 0)
        clear_current(c);
    c->current = c->write_slot;
    c->sealed = c->write_base + c->write_new == c->cfg.slot_keys;
    c->state = OWNER_READY;
    c->unresolved = false;
    c->fenced = true;
    c->lost_races = 0;
    struct claim_entry *e = rk_claim_take_queue(c);
    for (struct claim_entry *next; e; e = next) {
        next = e->next_pending;
        if (!e->in_batch) {
            rk_claim_enqueue(c, e);
            continue;
        }
        char text[RK_CLAIM_TEXT_LEN + 1];
        rk_claim_key_text(text, &e->key);
        c->current_keys[c->current_len++] = rk_strdup(text);
        e->in_batch = false;
        if (e->state == ENTRY_PENDING)
            grant(c, e);
    }
}

void rk_claims_on_written(struct rk_claims *c, enum rk_status st, int64_t version,
                          int64_t now_ms, int64_t wall_ms)
{
    assert(c->state == OWNER_WRITING);
    if (st == RK_OK) {
        commit_write(c, version, now_ms);
    } else if (st == RK_ECONFLICT && !c->unresolved) {
        step_down(c, now_ms);
    } else {
        /* No answer was received, or the conflict may be with an earlier attempt of
         * this very write. */
        c->unresolved = true;
        c->state = OWNER_READY;
    }
    advance(c, now_ms, wall_ms);
}

void rk_claims_on_slot(struct rk_claims *c, enum rk_status st, int64_t version,
                       const char *value, int64_t now_ms, int64_t wall_ms)
{
    assert(c->state == OWNER_CHECKING);
    c->state = OWNER_READY;
    if (st == RK_ENOTFOUND) {
        version = 0;
        st = RK_OK;
        value = "{}";
    }
    if (st != RK_OK) {
        c->not_before_ms = now_ms + REREAD_DELAY_MS;
        return;
    }
    struct json_object *o = rk_json_parse(value, strlen(value));
    char own_nonce[24];
    snprintf(own_nonce, sizeof(own_nonce), "%" PRIx64, c->nonce);
    bool took_effect = !strcmp(rk_json_str(o, "nonce"), own_nonce);
    json_object_put(o);
    if (took_effect) {
        commit_write(c, version, now_ms);
    } else if (version == c->write_expect) {
        /* The write did not take effect yet, but still may: only the same write can
         * be sent safely. */
        c->state = OWNER_WRITING;
        c->ops->write_slot(c->ctx, c->cfg.shard, c->write_slot, c->write_expect,
                           c->write_value);
        return;
    } else {
        step_down(c, now_ms);
    }
    advance(c, now_ms, wall_ms);
}

/* ---- takeover of a shard ---- */

/* Adds a key that was read from a slot, and decides the claims that wait on it. */
static void load_key(struct rk_claims *c, const char *text, int64_t claimed_ms)
{
    struct rk_claim_key k;
    if (!rk_claim_parse_key(text, &k))
        return;
    struct claim_entry *e = *rk_claim_find(c, &k);
    if (!e) {
        rk_claim_add(c, &k, ENTRY_IN_DOUBT, claimed_ms);
        return;
    }
    if (e->state != ENTRY_PENDING)
        return;
    /* Claims on it wait here, but it is in a slot already, written by another owner
     * or earlier by this node: it must not be written again. */
    struct claim_entry *all = rk_claim_take_queue(c);
    for (struct claim_entry *next; all; all = next) {
        next = all->next_pending;
        if (all != e)
            rk_claim_enqueue(c, all);
    }
    e->state = ENTRY_IN_DOUBT;
    e->in_batch = false;
    rk_claim_decide_all(c, e, RK_CLAIM_IN_DOUBT, RK_MAY_HAVE_RUN, NULL, 0,
                        "the key may have run under another node");
}

/* Returns the age of the newest key of a slot, as far as the wall clocks of its
 * writer and of this node prove it: 0 if either was not set or they disagree. */
static int64_t proved_age_ms(int64_t newest_ms, int64_t wall_ms)
{
    if (newest_ms < DATE_MIN_MS || wall_ms < newest_ms)
        return 0;
    return wall_ms - newest_ms;
}

/* Returns a key of a slot, which the list owns; "" for one that is null. */
static const char *slot_key(struct json_object *keys, size_t i)
{
    struct json_object *key = json_object_array_get_idx(keys, i);
    return key ? json_object_get_string(key) : "";
}

/* Takes over a slot that was read, and its keys unless they are past the
 * retention. */
static void load_slot(struct rk_claims *c, const struct rk_claim_slot_value *r,
                      int64_t now_ms, int64_t wall_ms)
{
    struct json_object *o = rk_json_parse(r->value, strlen(r->value));
    struct json_object *keys = rk_json_get(o, "keys");
    struct claim_slot *s = &c->slots[r->slot];
    int64_t age = proved_age_ms(rk_json_int(o, "newest_ms", 0), wall_ms);
    *s = (struct claim_slot){.version = r->version,
                             .seq = rk_json_int(o, "seq", 0),
                             .written_ms = now_ms - age};
    int64_t epoch = rk_json_int(o, "epoch", 0);
    if (epoch > c->epoch)
        c->epoch = epoch;
    size_t len = rk_json_len(keys);
    if (len > c->cfg.slot_keys)
        len = c->cfg.slot_keys;
    bool retained = age <= c->cfg.retention_ms;
    for (size_t i = 0; retained && i < len; i++)
        load_key(c, slot_key(keys, i), s->written_ms);
    if (s->seq >= c->slots[c->current].seq) {
        c->current = r->slot;
        c->sealed = json_object_get_boolean(rk_json_get(o, "sealed"));
        clear_current(c);
        for (; c->current_len < len; c->current_len++)
            c->current_keys[c->current_len] =
                rk_strdup(slot_key(keys, c->current_len));
    }
    json_object_put(o);
}

void rk_claims_on_ring(struct rk_claims *c, enum rk_status st,
                       const struct rk_claim_slot_value *slots, size_t len,
                       int64_t now_ms, int64_t wall_ms)
{
    assert(c->state == OWNER_READING);
    if (st != RK_OK) {
        c->state = OWNER_NONE;
        c->not_before_ms = now_ms + REREAD_DELAY_MS;
        return;
    }
    memset(c->slots, 0, sizeof(c->slots));
    c->current = 0;
    c->sealed = false;
    clear_current(c);
    for (size_t i = 0; i < len; i++)
        if (slots[i].slot < RK_CLAIM_SLOTS)
            load_slot(c, &slots[i], now_ms, wall_ms);
    c->state = OWNER_READY;
    c->ring_was_read = true;
    advance(c, now_ms, wall_ms);
}

/* ---- claims and their ends ---- */

/* Decides a claim on a key that is in the table, or lets it wait. */
static bool decide_known_key(struct rk_claims *c, struct claim_entry *e,
                             uint64_t ticket, bool local,
                             const struct rk_claim_key *key, int64_t now_ms)
{
    if (e->key.fingerprint != key->fingerprint) {
        rk_claim_decide(c, key, ticket, RK_CLAIM_MISMATCH, RK_MAY_HAVE_RUN, NULL, 0,
                        "the key was used for a different request");
        return true;
    }
    switch (e->state) {
    case ENTRY_DONE:
        rk_claim_decide(c, key, ticket, RK_CLAIM_REPLAY, RK_RAN,
                        e->has_answer ? &e->answer : NULL, 0, "the key ran before");
        return true;
    case ENTRY_IN_DOUBT:
        rk_claim_decide(c, key, ticket, RK_CLAIM_IN_DOUBT, RK_MAY_HAVE_RUN, NULL, 0,
                        "the key may have run before");
        return true;
    case ENTRY_RUNNING:
    case ENTRY_PENDING:
        rk_claim_add_ticket(c, e, ticket, local, now_ms);
        return true;
    case ENTRY_RELEASED:
        /* The key is written again, which proves that this node still owns the
         * shard. */
        rk_claim_add_ticket(c, e, ticket, local, now_ms);
        e->state = ENTRY_PENDING;
        rk_claim_enqueue(c, e);
        return true;
    }
    return false;
}

void rk_claims_request(struct rk_claims *c, uint64_t ticket,
                       struct rk_claim_key key, bool local, int64_t now_ms)
{
    if (c->tickets >= c->cfg.max_tickets) {
        rk_claim_decide(c, &key, ticket, RK_CLAIM_REFUSED, RK_MAY_HAVE_RUN, NULL,
                        RETRY_AFTER_MS, "too many claims wait");
        return;
    }
    struct claim_entry *e = *rk_claim_find(c, &key);
    if (e) {
        decide_known_key(c, e, ticket, local, &key, now_ms);
    } else {
        e = rk_claim_add(c, &key, ENTRY_PENDING, now_ms);
        rk_claim_add_ticket(c, e, ticket, local, now_ms);
        rk_claim_enqueue(c, e);
    }
}

void rk_claims_cancel(struct rk_claims *c, uint64_t ticket)
{
    for (size_t i = 0; i < RK_CLAIM_BUCKETS; i++) {
        for (struct claim_entry *e = c->buckets[i]; e; e = e->next) {
            struct claim_ticket **p = &e->tickets;
            while (*p && (*p)->id != ticket)
                p = &(*p)->next;
            if (!*p)
                continue;
            struct claim_ticket *t = *p;
            *p = t->next;
            free(t);
            c->tickets--;
            return;
        }
    }
}

/* Copies an answer, unless the limit on kept bytes is reached. a may be NULL. */
static void keep_answer(struct rk_claims *c, struct claim_entry *e,
                        const struct rk_answer *a)
{
    if (!a || c->answer_bytes + a->len > c->cfg.answer_bytes)
        return;
    e->answer = *a;
    e->answer.body = rk_alloc(1, a->len + 1);
    memcpy(e->answer.body, a->body ? a->body : "", a->len);
    e->has_answer = true;
    c->answer_bytes += a->len;
}

void rk_claims_finish(struct rk_claims *c, struct rk_claim_key key,
                      enum rk_verdict v, const struct rk_answer *answer,
                      int64_t retry_after_ms)
{
    struct claim_entry *e = *rk_claim_find(c, &key);
    if (!e || e->state != ENTRY_RUNNING)
        return;
    switch (v) {
    case RK_NOT_RUN:
        e->state = ENTRY_RELEASED;
        rk_claim_decide_all(c, e, RK_CLAIM_REFUSED, RK_NOT_RUN, NULL,
                            retry_after_ms, "the call this one joined did not run");
        break;
    case RK_RAN:
        e->state = ENTRY_DONE;
        keep_answer(c, e, answer);
        rk_claim_decide_all(c, e, RK_CLAIM_REPLAY, RK_RAN,
                            e->has_answer ? &e->answer : answer, 0,
                            "the key ran once, for both");
        break;
    case RK_MAY_HAVE_RUN:
        e->state = ENTRY_IN_DOUBT;
        rk_claim_decide_all(c, e, RK_CLAIM_IN_DOUBT, RK_MAY_HAVE_RUN, NULL, 0,
                            "the call this one joined may have run");
        break;
    }
}

/* ---- time-outs ---- */

/* Queues an entry again if calls wait for it, if its write may have taken effect,
 * or if it was granted from memory and is still to be written; otherwise frees
 * it. */
static void requeue_or_drop(struct rk_claims *c, struct claim_entry *e)
{
    if (e->tickets || e->in_batch || e->state != ENTRY_PENDING)
        rk_claim_enqueue(c, e);
    else
        rk_claim_free(c, rk_claim_find(c, &e->key));
}

/* Refuses all claims that wait for a write. Their verdict is not RK_NOT_RUN:
 * without a write that took effect, it is unknown what another owner did with the
 * key. */
static void refuse_pending(struct rk_claims *c, const char *detail)
{
    struct claim_entry *e = rk_claim_take_queue(c);
    for (struct claim_entry *next; e; e = next) {
        next = e->next_pending;
        if (e->state == ENTRY_PENDING)
            rk_claim_decide_all(c, e, RK_CLAIM_REFUSED, RK_MAY_HAVE_RUN, NULL,
                                RETRY_AFTER_MS, detail);
        requeue_or_drop(c, e);
    }
}

/* Ends the wait of a key's claims if the platform didn't answer the oldest of them
 * in time. If that one may be granted from memory it is, provided that this node
 * has read the ring before; its key stays queued and is written when the platform
 * answers again. */
static void time_out_key(struct rk_claims *c, struct claim_entry *e, int64_t now_ms)
{
    struct claim_ticket *t = e->tickets;
    int64_t timeout_ms = c->cfg.claim_timeout_ms;
    if (c->platform_down)
        timeout_ms = timeout_ms * DOWN_TIMEOUT_PCT / 100;
    if (!t || e->state != ENTRY_PENDING || now_ms - t->since_ms < timeout_ms)
        return;
    if (t->local && c->ring_was_read) {
        grant(c, e);
        return;
    }
    rk_claim_decide_all(c, e, RK_CLAIM_REFUSED, RK_MAY_HAVE_RUN, NULL,
                        RETRY_AFTER_MS, "the platform can't take the claim");
}

static void time_out_pending(struct rk_claims *c, int64_t now_ms)
{
    struct claim_entry *e = rk_claim_take_queue(c);
    for (struct claim_entry *next; e; e = next) {
        next = e->next_pending;
        time_out_key(c, e, now_ms);
        requeue_or_drop(c, e);
    }
}

/* Once a second, drops the keys past their retention. */
static void drop_expired(struct rk_claims *c, int64_t now_ms)
{
    if (now_ms - c->last_sweep_ms < 1000)
        return;
    c->last_sweep_ms = now_ms;
    for (size_t i = 0; i < RK_CLAIM_BUCKETS; i++) {
        for (struct claim_entry **p = &c->buckets[i]; *p;) {
            bool idle = !(*p)->queued && (*p)->state != ENTRY_RUNNING;
            if (idle && now_ms - (*p)->claimed_ms > c->cfg.retention_ms)
                rk_claim_free(c, p);
            else
                p = &(*p)->next;
        }
    }
}

void rk_claims_tick(struct rk_claims *c, int64_t now_ms, int64_t wall_ms)
{
    time_out_pending(c, now_ms);
    drop_expired(c, now_ms);
    advance(c, now_ms, wall_ms);
}
