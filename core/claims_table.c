#include <assert.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/claims_impl.h"

#define SECOND_HASH_SEED 0x5bd1e995 /* makes lo independent of hi */

struct rk_claim_key rk_claim_key_make(const char *organisation, const char *service,
                                      const char *key, const char *path,
                                      const void *body, size_t body_len)
{
    struct rk_claim_key k;
    uint64_t seeds[2] = {0, SECOND_HASH_SEED}, out[2];
    for (int i = 0; i < 2; i++) {
        uint64_t h = rk_hash_str(seeds[i], organisation);
        h = rk_hash_str(rk_hash_str(h, "\n"), service);
        out[i] = rk_hash_str(rk_hash_str(h, "\n"), key);
    }
    k.hi = out[0];
    k.lo = out[1];
    k.fingerprint = (uint32_t)rk_hash(rk_hash_str(0, path), body, body_len);
    return k;
}

/* ---- table of keys ---- */

struct claim_entry **rk_claim_find(struct rk_claims *c,
                                   const struct rk_claim_key *k)
{
    struct claim_entry **p = &c->buckets[k->lo % RK_CLAIM_BUCKETS];
    while (*p && ((*p)->key.hi != k->hi || (*p)->key.lo != k->lo))
        p = &(*p)->next;
    return p;
}

struct claim_entry *rk_claim_add(struct rk_claims *c, const struct rk_claim_key *k,
                                 enum claim_entry_state state, int64_t claimed_ms)
{
    struct claim_entry **p = rk_claim_find(c, k);
    assert(!*p);
    struct claim_entry *e = rk_alloc(1, sizeof(*e));
    *e = (struct claim_entry){.key = *k, .state = state, .claimed_ms = claimed_ms};
    *p = e;
    c->entries++;
    return e;
}

void rk_claim_drop_answer(struct rk_claims *c, struct claim_entry *e)
{
    if (!e->has_answer)
        return;
    c->answer_bytes -= e->answer.len;
    free(e->answer.body);
    e->has_answer = false;
}

void rk_claim_free(struct rk_claims *c, struct claim_entry **p)
{
    struct claim_entry *e = *p;
    assert(e);
    *p = e->next;
    rk_claim_drop_answer(c, e);
    free(e);
    c->entries--;
}

void rk_claim_enqueue(struct rk_claims *c, struct claim_entry *e)
{
    if (e->queued)
        return;
    e->queued = true;
    e->next_pending = NULL;
    *c->pending_end = e;
    c->pending_end = &e->next_pending;
}

struct claim_entry *rk_claim_take_queue(struct rk_claims *c)
{
    struct claim_entry *first = c->pending;
    for (struct claim_entry *e = first; e; e = e->next_pending)
        e->queued = false;
    c->pending = NULL;
    c->pending_end = &c->pending;
    return first;
}

void rk_claim_add_ticket(struct rk_claims *c, struct claim_entry *e, uint64_t id,
                         bool local, int64_t now_ms)
{
    struct claim_ticket *t = rk_alloc(1, sizeof(*t));
    *t = (struct claim_ticket){.id = id, .local = local, .since_ms = now_ms};
    struct claim_ticket **end = &e->tickets;
    while (*end)
        end = &(*end)->next;
    *end = t;
    c->tickets++;
}

struct claim_ticket *rk_claim_pop_ticket(struct rk_claims *c, struct claim_entry *e)
{
    struct claim_ticket *t = e->tickets;
    if (t) {
        e->tickets = t->next;
        c->tickets--;
    }
    return t;
}

void rk_claim_decide(struct rk_claims *c, const struct rk_claim_key *key,
                     uint64_t ticket, enum rk_claim_decision d, enum rk_verdict v,
                     const struct rk_answer *answer, int64_t retry_after_ms,
                     const char *detail)
{
    struct rk_claim_result r = {.decision = d,
                                .verdict = v,
                                .key = key,
                                .answer = answer,
                                .retry_after_ms = retry_after_ms,
                                .detail = detail};
    c->ops->decided(c->ctx, ticket, &r);
}

void rk_claim_decide_all(struct rk_claims *c, struct claim_entry *e,
                         enum rk_claim_decision d, enum rk_verdict v,
                         const struct rk_answer *answer, int64_t retry_after_ms,
                         const char *detail)
{
    struct claim_ticket *t;
    while ((t = rk_claim_pop_ticket(c, e))) {
        rk_claim_decide(c, &e->key, t->id, d, v, answer, retry_after_ms, detail);
        free(t);
    }
}

/* ---- slots as text ---- */

void rk_claim_key_text(char out[RK_CLAIM_TEXT_LEN + 1],
                       const struct rk_claim_key *k)
{
    snprintf(out, RK_CLAIM_TEXT_LEN + 1, "%016" PRIx64 "%016" PRIx64 "%08" PRIx32,
             k->hi, k->lo, k->fingerprint);
}

bool rk_claim_parse_key(const char *s, struct rk_claim_key *k)
{
    return s && strlen(s) == RK_CLAIM_TEXT_LEN &&
           sscanf(s, "%16" SCNx64 "%16" SCNx64 "%8" SCNx32, &k->hi, &k->lo,
                  &k->fingerprint) == 3;
}

void rk_claim_build_value(struct rk_claims *c)
{
    struct rk_buf b = {0};
    bool full = c->write_base + c->write_new == c->cfg.slot_keys;
    rk_buf_printf(&b,
                  "{\"epoch\":%" PRId64 ",\"owner\":\"%s\",\"seq\":%" PRId64
                  ",\"sealed\":%s,\"newest_ms\":%" PRId64 ",\"nonce\":\"%" PRIx64
                  "\",\"keys\":[",
                  c->epoch, c->owner, c->write_seq, full ? "true" : "false",
                  c->write_wall_ms, c->nonce);
    size_t n = 0;
    for (; n < c->write_base; n++)
        rk_buf_printf(&b, "%s\"%s\"", n ? "," : "", c->current_keys[n]);
    for (struct claim_entry *e = c->pending; e; e = e->next_pending) {
        char text[RK_CLAIM_TEXT_LEN + 1];
        if (!e->in_batch)
            continue;
        rk_claim_key_text(text, &e->key);
        rk_buf_printf(&b, "%s\"%s\"", n++ ? "," : "", text);
    }
    rk_buf_addstr(&b, "]}");
    free(c->write_value);
    c->write_value = b.data;
}
