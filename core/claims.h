/* Claims: an idempotency key is written to the platform before the first byte
 * of its call goes to an upstream, so that whatever is paused, cut off or
 * killed, a key runs at most once.
 *
 * One struct rk_claims answers for one shard. The shard's keys lie in a ring of
 * objects ("slots"). The owner adds keys by rewriting the current slot, each
 * write conditional on the slot's version; a full slot is sealed by the write
 * that fills it, and the next slot, if older than the retention, is taken. A
 * new owner reads the ring and writes its epoch to the very slot an old owner
 * would write next, so the old one's next write fails: the write is the fence.
 * No clock, lease or pause can break that. A write whose answer was lost is
 * read back before anything is decided.
 *
 * Pure: I/O is asked for through ops and answered through rk_claims_on_*().
 * One thread (control). */
#ifndef RK_CORE_CLAIMS_H
#define RK_CORE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"
#include "core/verdict.h"

#define RK_CLAIM_SLOTS     32
#define RK_CLAIM_SLOT_KEYS 1024

/* Writes a shard may make from standing, above its rate: while little is asked, a
 * claim waits for no other. */
#define RK_CLAIM_BURST 10

struct rk_claims;

/* A key with its scope, and the fingerprint of the request it stands for. */
struct rk_claim_key {
    uint64_t hi, lo;
    uint32_t fingerprint;
};

struct rk_claim_key rk_claim_key_make(const char *organisation, const char *service,
                                      const char *key, const char *path,
                                      const void *body, size_t body_len);

/* The final answer of a call, kept for repeats of its key. */
struct rk_answer {
    int status;
    char content_type[RK_ID_MAX];
    char *body;
    size_t len;
};

enum rk_claim_decision {
    RK_CLAIM_GRANTED,  /* run it: nobody else ever will */
    RK_CLAIM_REPLAY,   /* it ran; answer (NULL: no longer kept) and verdict */
    RK_CLAIM_MISMATCH, /* the key was used for a different request */
    RK_CLAIM_FOREIGN,  /* it may have run under an earlier owner */
    RK_CLAIM_REFUSED,  /* no claim could be made; this arrival was not sent */
};

struct rk_claim_result {
    enum rk_claim_decision decision;
    enum rk_verdict verdict; /* about the key, not just this arrival */
    const struct rk_claim_key *key;
    const struct rk_answer *answer;
    int64_t retry_after_ms;
    const char *detail;
};

struct rk_claims_ops {
    /* Read all slots of the shard: rk_claims_on_ring(). */
    void (*read_ring)(void *ctx, uint32_t shard);
    /* Write a slot if its version is expect (0: if absent):
     * rk_claims_on_written(). */
    void (*write_slot)(void *ctx, uint32_t shard, unsigned slot, int64_t expect,
                       const char *value);
    /* Read one slot: rk_claims_on_slot(). */
    void (*read_slot)(void *ctx, uint32_t shard, unsigned slot);
    /* A ticket's end; called once for each that wasn't cancelled. */
    void (*decided)(void *ctx, uint64_t ticket,
                    const struct rk_claim_result *result);
};

struct rk_claims_config {
    uint32_t shard;
    const char *owner; /* this node's id */
    int64_t retention_ms;
    int64_t patience_ms; /* how long a claim waits for the platform */
    size_t answer_bytes; /* answers kept, at most */
    size_t max_tickets;  /* calls waiting, at most */
    uint64_t seed;       /* differs between runs of one node */
    size_t slot_keys;    /* keys in a slot; 0: RK_CLAIM_SLOT_KEYS */
    double writes_per_s; /* the shard's share of the platform's; 0: no limit */
};

struct rk_claims *rk_claims_create(const struct rk_claims_config *cfg,
                                   const struct rk_claims_ops *ops, void *ctx);
void rk_claims_destroy(struct rk_claims *c);

/* Ask for a key. `local`: go on from memory while the platform is away. Decides
 * by ops.decided, maybe before this returns. Times: now_ms is monotonic, wall_ms
 * the wall clock. */
void rk_claims_ask(struct rk_claims *c, uint64_t ticket, struct rk_claim_key key,
                   bool local, int64_t now_ms);

/* The caller of a ticket is gone. */
void rk_claims_cancel(struct rk_claims *c, uint64_t ticket);

/* How a granted call ended. answer may be NULL. It is copied. */
void rk_claims_finish(struct rk_claims *c, struct rk_claim_key key,
                      enum rk_verdict v, const struct rk_answer *answer,
                      int64_t retry_after_ms);

/* Start a commit if claims wait, give up those out of patience, forget old
 * keys. Call every few milliseconds while rk_claims_busy(). */
void rk_claims_tick(struct rk_claims *c, int64_t now_ms, int64_t wall_ms);
bool rk_claims_busy(const struct rk_claims *c);

/* The platform answers none of this node's calls (or does again): claims then
 * wait for it only a little. */
void rk_claims_set_away(struct rk_claims *c, bool away);

struct rk_slot_read {
    unsigned slot;
    int64_t version;
    const char *value;
};

/* Answers to ops. RK_EUNKNOWN or RK_EUNAVAILABLE: no answer came. */
void rk_claims_on_ring(struct rk_claims *c, enum rk_status st,
                       const struct rk_slot_read *slots, size_t len, int64_t now_ms,
                       int64_t wall_ms);
void rk_claims_on_written(struct rk_claims *c, enum rk_status st, int64_t version,
                          int64_t now_ms, int64_t wall_ms);
void rk_claims_on_slot(struct rk_claims *c, enum rk_status st, int64_t version,
                       const char *value, int64_t now_ms, int64_t wall_ms);

size_t rk_claims_keys(const struct rk_claims *c); /* keys remembered */

#endif
