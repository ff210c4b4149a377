/* The keys of one shard as claims.c and claims_table.c know them: the table, the
 * list of those to write, and slots as text. */
#ifndef RK_CORE_CLAIMS_IMPL_H
#define RK_CORE_CLAIMS_IMPL_H

#include "core/claims.h"

#define RK_CLAIM_BUCKETS  1024
#define RK_CLAIM_TEXT_LEN 40 /* 16 + 16 + 8 hex digits */

enum claim_entry_state {
    ENTRY_PENDING,  /* not durable yet */
    ENTRY_RUNNING,  /* granted, its call goes on */
    ENTRY_DONE,     /* it ran; answer may be kept */
    ENTRY_RELEASED, /* durable, proved not to have run */
    ENTRY_FOREIGN,  /* durable, may have run */
};

struct claim_ticket {
    uint64_t id;
    bool local;
    int64_t since_ms;
    struct claim_ticket *next;
};

struct claim_entry {
    struct rk_claim_key key;
    enum claim_entry_state state;
    bool queued;   /* in the list of those to write */
    bool in_batch; /* part of the write that is under way or unresolved */
    int64_t born_ms;
    struct claim_ticket *tickets;
    struct rk_answer answer;
    bool has_answer;
    struct claim_entry *next;      /* in the bucket */
    struct claim_entry *next_wait; /* among the pending */
};

enum claim_owner_state {
    OWNER_NONE,    /* the ring isn't known */
    OWNER_READING, /* read_ring is out */
    OWNER_READY,   /* the ring is known; no I/O is out */
    OWNER_WRITING, /* write_slot is out */
    OWNER_CHECKING /* read_slot is out, to learn a write's fate */
};

struct claim_slot {
    int64_t version; /* 0: absent */
    int64_t seq;
    int64_t newest_wall_ms;
};

struct rk_claims {
    struct rk_claims_config cfg;
    char owner[RK_ID_MAX];
    const struct rk_claims_ops *ops;
    void *ctx;
    enum claim_owner_state state;
    bool unresolved; /* a write's fate is open: read back before all else */
    bool ever_ready; /* the ring was read once by this node */
    bool fenced;     /* our epoch stands in the ring, as far as we know */
    int64_t epoch;
    struct claim_slot slots[RK_CLAIM_SLOTS];
    unsigned current;
    bool sealed;         /* the current slot takes no more keys */
    char **current_keys; /* RK_CLAIM_SLOT_KEYS texts of the current slot */
    size_t current_len;
    /* The write under way. */
    unsigned write_slot;
    int64_t write_expect, write_seq, write_wall_ms;
    uint64_t nonce;
    char *write_value;
    size_t write_new;  /* keys it adds */
    size_t write_base; /* keys it repeats from the current slot */
    int takeovers;
    bool away; /* the platform doesn't answer: claims wait only a little */
    int64_t not_before_ms;
    double credit; /* writes that may go out now */
    int64_t credit_ms;
    struct claim_entry *buckets[RK_CLAIM_BUCKETS];
    struct claim_entry *pending, **pending_end;
    size_t entries, tickets, answer_bytes;
    int64_t swept_ms;
};

/* Where the key is, or would be. */
struct claim_entry **rk_claim_find(struct rk_claims *c,
                                   const struct rk_claim_key *k);
/* A key that isn't there yet. */
struct claim_entry *rk_claim_add(struct rk_claims *c, const struct rk_claim_key *k,
                                 enum claim_entry_state state, int64_t born_ms);
void rk_claim_drop_answer(struct rk_claims *c, struct claim_entry *e);
/* Take an entry out of its bucket. */
void rk_claim_free(struct rk_claims *c, struct claim_entry **p);
/* Queue an entry for the next write; in the list already, it stays there. */
void rk_claim_enqueue(struct rk_claims *c, struct claim_entry *e);
/* Take the whole list; the caller queues again what stays. */
struct claim_entry *rk_claim_take_queue(struct rk_claims *c);
/* Somebody waits for the decision on a key. */
void rk_claim_add_ticket(struct rk_claims *c, struct claim_entry *e, uint64_t id,
                         bool local, int64_t now_ms);
/* The first who waits, to be freed; NULL: nobody does. */
struct claim_ticket *rk_claim_pop_ticket(struct rk_claims *c,
                                         struct claim_entry *e);
/* Tell one who waits, or all. */
void rk_claim_decide(struct rk_claims *c, const struct rk_claim_key *key,
                     uint64_t ticket, enum rk_claim_decision d, enum rk_verdict v,
                     const struct rk_answer *answer, int64_t retry_after_ms,
                     const char *detail);
void rk_claim_decide_all(struct rk_claims *c, struct claim_entry *e,
                         enum rk_claim_decision d, enum rk_verdict v,
                         const struct rk_answer *answer, int64_t retry_after_ms,
                         const char *detail);
/* A key as its slot has it, and back; false: it isn't one. */
void rk_claim_key_text(char out[RK_CLAIM_TEXT_LEN + 1],
                       const struct rk_claim_key *k);
bool rk_claim_parse_key(const char *s, struct rk_claim_key *k);
/* The text of the write under way. */
void rk_claim_build_value(struct rk_claims *c);

#endif
