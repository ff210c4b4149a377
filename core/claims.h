/* Claims on idempotency keys. A key is written to the platform before the first
 * byte of its call goes to an upstream, so that it runs at most once, whichever
 * nodes are paused, cut off or killed.
 *
 * A struct rk_claims handles one shard of the keys. The shard's keys are stored in
 * a ring of objects ("slots"). The owner adds keys by rewriting the current slot;
 * each write is conditional on the slot's version. The write that fills a slot also
 * seals it; the owner then continues in the next slot, whose keys must all be older
 * than the retention. A new owner reads the ring and writes its epoch to the slot
 * that the old owner would write next, so the next write of the old owner fails:
 * the write is the fence. This doesn't depend on clocks, leases or pauses. A write
 * whose answer was lost is read back before its claims are granted; those that time
 * out meanwhile are refused, or granted from memory (see rk_claims_request()).
 *
 * Does no I/O: requests it through ops and gets the answers by rk_claims_on_*().
 * Control thread only. */
#ifndef RK_CORE_CLAIMS_H
#define RK_CORE_CLAIMS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"
#include "core/verdict.h"

#define RK_CLAIM_SLOTS     32   /* slots of a shard's ring */
#define RK_CLAIM_SLOT_KEYS 1024 /* keys of a slot, at most */

/* Writes that an idle shard may make above its rate, so that under low load a claim
 * doesn't wait to share a write with others. */
#define RK_CLAIM_BURST 10

struct rk_claims;

/* The hash of a key and its scope (hi, lo), and that of the request it was sent
 * with. */
struct rk_claim_key {
    uint64_t hi, lo;
    uint32_t fingerprint;
};

/* Hashes a key, its organisation and service to hi and lo, and path and body to the
 * fingerprint. */
struct rk_claim_key rk_claim_key_make(const char *organisation, const char *service,
                                      const char *key, const char *path,
                                      const void *body, size_t body_len);

/* The final answer of a call, kept for later calls with the same key. body has len
 * bytes and belongs to whoever fills the struct. */
struct rk_answer {
    int status;
    char content_type[RK_ID_MAX];
    char *body;
    size_t len;
};

enum rk_claim_decision {
    /* Run the call. No other call with the key runs, unless this one ends as
     * RK_NOT_RUN or the claim was granted from memory. */
    RK_CLAIM_GRANTED,
    RK_CLAIM_REPLAY,   /* the key ran: send its answer, if there is one */
    RK_CLAIM_MISMATCH, /* the key was used for a different request */
    RK_CLAIM_IN_DOUBT, /* the key may have run, under an earlier owner or here */
    RK_CLAIM_REFUSED,  /* the key was not claimed for this call: don't run it */
};

/* The decision on a call's claim. Pointers are borrowed for the call of
 * decided(). */
struct rk_claim_result {
    enum rk_claim_decision decision;
    enum rk_verdict verdict; /* on the key, whichever call ran it */
    const struct rk_claim_key *key;
    const struct rk_answer *answer; /* of a replay; NULL: it is no longer kept */
    int64_t retry_after_ms;         /* 0: none */
    const char *detail;             /* one line for the caller; static */
};

/* Requests that the claims make of their creator. Each of the first three must be
 * answered exactly once. value is borrowed for the call. */
struct rk_claims_ops {
    /* Reads all slots of the shard; answered by rk_claims_on_ring(). */
    void (*read_ring)(void *ctx, uint32_t shard);
    /* Writes a slot if its version is expect (0: if it is absent); answered by
     * rk_claims_on_written(). */
    void (*write_slot)(void *ctx, uint32_t shard, unsigned slot, int64_t expect,
                       const char *value);
    /* Reads one slot; answered by rk_claims_on_slot(). */
    void (*read_slot)(void *ctx, uint32_t shard, unsigned slot);
    /* Gets the decision on a ticket, once for each that isn't cancelled. */
    void (*decided)(void *ctx, uint64_t ticket,
                    const struct rk_claim_result *result);
};

struct rk_claims_config {
    uint32_t shard;
    const char *owner;        /* this node's id; copied */
    int64_t retention_ms;     /* time for which a key is remembered */
    int64_t claim_timeout_ms; /* longest time that a claim waits for the platform */
    size_t answer_bytes;      /* most bytes of answers kept for replays */
    size_t max_tickets;       /* most calls that may wait */
    uint64_t seed;            /* must differ between incarnations of a node */
    size_t slot_keys;    /* keys of a slot; 0: RK_CLAIM_SLOT_KEYS, the maximum */
    double writes_per_s; /* this shard's share of claim_writes_per_s; 0: no limit */
};

/* Creates the claims of one shard. cfg is copied; ops must outlive the claims. */
struct rk_claims *rk_claims_create(const struct rk_claims_config *cfg,
                                   const struct rk_claims_ops *ops, void *ctx);
/* Frees the claims; no ticket is decided any more. NULL is allowed. */
void rk_claims_destroy(struct rk_claims *c);

/* Claims a key for a call, which the caller names by ticket. ops.decided gets the
 * decision, maybe before this returns. local: if the platform doesn't answer in
 * time, the claim may be granted from memory. Here and below, now_ms is the
 * monotonic clock and wall_ms the wall clock. */
void rk_claims_request(struct rk_claims *c, uint64_t ticket,
                       struct rk_claim_key key, bool local, int64_t now_ms);

/* Cancels a ticket that was not decided yet; does nothing otherwise. */
void rk_claims_cancel(struct rk_claims *c, uint64_t ticket);

/* Records how a granted call ended, and decides the calls with the same key that
 * waited for it. answer is copied, and may be NULL. */
void rk_claims_finish(struct rk_claims *c, struct rk_claim_key key,
                      enum rk_verdict v, const struct rk_answer *answer,
                      int64_t retry_after_ms);

/* Times out claims that waited too long, forgets keys past their retention, and
 * starts the next read or write if claims wait. To be called every few milliseconds
 * while rk_claims_busy(). */
void rk_claims_tick(struct rk_claims *c, int64_t now_ms, int64_t wall_ms);
/* Returns whether keys wait to be written. */
bool rk_claims_busy(const struct rk_claims *c);

/* Sets whether the platform answers none of this node's calls. While it doesn't,
 * claims wait for it only a tenth of the usual time. */
void rk_claims_set_platform_down(struct rk_claims *c, bool away);

/* A slot as the platform has it. */
struct rk_claim_slot_value {
    unsigned slot;
    int64_t version;
    const char *value;
};

/* Answers to ops. RK_EUNKNOWN and RK_EUNAVAILABLE mean that no answer was received,
 * RK_ECONFLICT that a slot's version was not the expected one, and RK_ENOTFOUND
 * that the slot read is absent. slots and value are borrowed for the call. */
void rk_claims_on_ring(struct rk_claims *c, enum rk_status st,
                       const struct rk_claim_slot_value *slots, size_t len,
                       int64_t now_ms, int64_t wall_ms);
void rk_claims_on_written(struct rk_claims *c, enum rk_status st, int64_t version,
                          int64_t now_ms, int64_t wall_ms);
void rk_claims_on_slot(struct rk_claims *c, enum rk_status st, int64_t version,
                       const char *value, int64_t now_ms, int64_t wall_ms);

/* Returns the number of keys in memory. */
size_t rk_claims_key_count(const struct rk_claims *c);

#endif
