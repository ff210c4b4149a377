/* State of one shard's claims, private to claims.c and claims_table.c: the table of
 * keys, the list of keys to write, and the ring of slots; and the text format of
 * slots. */
#ifndef RK_CORE_CLAIMS_IMPL_H
#define RK_CORE_CLAIMS_IMPL_H

#include "core/claims.h"

#define RK_CLAIM_BUCKETS  1024
#define RK_CLAIM_TEXT_LEN 40 /* 16 + 16 + 8 hex digits */

/* State of a key. "Durable": the key is in a slot on the platform, or, after a
 * grant from memory, still queued to be written there. */
enum claim_entry_state {
    ENTRY_PENDING,  /* not durable, or to be written again */
    ENTRY_RUNNING,  /* granted; its call is in flight */
    ENTRY_DONE,     /* ran; its answer may be kept */
    ENTRY_RELEASED, /* durable; proved not to have run */
    ENTRY_IN_DOUBT, /* durable; may have run */
};

/* A call that waits for the decision on a key. */
struct claim_ticket {
    uint64_t id;
    bool local; /* may be granted from memory */
    int64_t since_ms;
    struct claim_ticket *next;
};

struct claim_entry {
    struct rk_claim_key key;
    enum claim_entry_state state;
    bool queued;        /* in the list of keys to write */
    bool in_batch;      /* part of the write that is in flight or unresolved */
    int64_t claimed_ms; /* monotonic */
    struct claim_ticket *tickets; /* oldest first */
    struct rk_answer answer;
    bool has_answer;
    struct claim_entry *next;         /* in the same bucket */
    struct claim_entry *next_pending; /* in the list of keys to write */
};

enum claim_owner_state {
    OWNER_NONE,    /* the ring is not known */
    OWNER_READING, /* read_ring is in flight */
    OWNER_READY,   /* the ring is known; no I/O is in flight */
    OWNER_WRITING, /* write_slot is in flight */
    OWNER_CHECKING /* read_slot is in flight, to see whether a write took effect */
};

struct claim_slot {
    int64_t version;    /* 0: absent */
    int64_t seq;        /* the current slot has the highest */
    int64_t written_ms; /* monotonic: no key in it is newer */
};

struct rk_claims {
    struct rk_claims_config cfg;
    char owner[RK_ID_MAX];
    const struct rk_claims_ops *ops;
    void *ctx;
    enum claim_owner_state state;
    bool unresolved;    /* a write may have taken effect: read it back first */
    bool ring_was_read; /* at least once since the start */
    bool fenced;        /* a write of this node set the ring's epoch */
    int64_t epoch;      /* highest known one of an owner */
    struct claim_slot slots[RK_CLAIM_SLOTS];
    unsigned current;    /* index of the slot that takes new keys */
    bool sealed;         /* the current slot takes no more keys */
    char **current_keys; /* texts of the current slot's keys */
    size_t current_len;
    /* The write that is in flight or unresolved. */
    unsigned write_slot;
    int64_t write_expect, write_seq, write_wall_ms;
    uint64_t nonce; /* identifies the write when it is read back */
    char *write_value;
    size_t write_new;      /* number of keys it adds */
    size_t write_base;     /* number of keys it repeats from the current slot */
    int lost_races;        /* takeovers in a row that another owner won */
    bool platform_down;    /* claims wait for the platform only for a short time */
    int64_t not_before_ms; /* no I/O is started before this time */
    double write_tokens;   /* writes that may be started now */
    int64_t refilled_ms;   /* last update of write_tokens; 0: never */
    struct claim_entry *buckets[RK_CLAIM_BUCKETS];
    struct claim_entry *pending, **pending_end; /* list of keys to write */
    size_t entries, tickets, answer_bytes;
    int64_t last_sweep_ms;
};

/* Returns the link to a key's entry, or the link at which it has to be added. */
struct claim_entry **rk_claim_find(struct rk_claims *c,
                                   const struct rk_claim_key *k);
/* Adds a key, which must not be in the table, and returns its entry. */
struct claim_entry *rk_claim_add(struct rk_claims *c, const struct rk_claim_key *k,
                                 enum claim_entry_state state, int64_t claimed_ms);
/* Frees the answer of an entry, if it has one. */
void rk_claim_drop_answer(struct rk_claims *c, struct claim_entry *e);
/* Takes the entry at link p out of its bucket and frees it. It must neither be
 * queued nor have tickets. */
void rk_claim_free(struct rk_claims *c, struct claim_entry **p);
/* Appends an entry to the list of keys to write, unless it is in it. */
void rk_claim_enqueue(struct rk_claims *c, struct claim_entry *e);
/* Empties the list and returns its entries, linked by next_pending. The caller
 * queues those again that are to stay. */
struct claim_entry *rk_claim_take_queue(struct rk_claims *c);
/* Adds a call that waits for the decision on a key. */
void rk_claim_add_ticket(struct rk_claims *c, struct claim_entry *e, uint64_t id,
                         bool local, int64_t now_ms);
/* Takes out the oldest ticket, which the caller frees; NULL: there is none. */
struct claim_ticket *rk_claim_pop_ticket(struct rk_claims *c,
                                         struct claim_entry *e);
/* Report a decision by ops.decided: on one ticket, or on all tickets of an entry,
 * which are freed. */
void rk_claim_decide(struct rk_claims *c, const struct rk_claim_key *key,
                     uint64_t ticket, enum rk_claim_decision d, enum rk_verdict v,
                     const struct rk_answer *answer, int64_t retry_after_ms,
                     const char *detail);
void rk_claim_decide_all(struct rk_claims *c, struct claim_entry *e,
                         enum rk_claim_decision d, enum rk_verdict v,
                         const struct rk_answer *answer, int64_t retry_after_ms,
                         const char *detail);
/* Writes a key as text of a slot. */
void rk_claim_key_text(char out[RK_CLAIM_TEXT_LEN + 1],
                       const struct rk_claim_key *k);
/* Parses the text of a key; returns false if it is none. s may be NULL. */
bool rk_claim_parse_key(const char *s, struct rk_claim_key *k);
/* Sets write_value to the text of the slot to write: the keys of the current slot
 * that are repeated, and those of the batch. */
void rk_claim_build_value(struct rk_claims *c);

#endif
