/* State of roll-outs, shared by rollouts.c (the word, and going by it) and
 * rollouts_hold.c (the holder's part). Not for others. */
#ifndef RK_NODE_ROLLOUTS_IMPL_H
#define RK_NODE_ROLLOUTS_IMPL_H

#include "node/follow.h"
#include "node/state.h"

#define RK_ROLLOUTS_SERVICES 32

/* One roll-out at its holder. */
struct course {
    struct rk_rollouts *r;
    bool used;
    bool begun;   /* when it was ordered is known */
    bool dropped; /* the order was taken back */
    bool busy;    /* a call to the store is under way */
    int64_t again_ms;
    char name[RK_ID_MAX];  /* of its object */
    int64_t revision;      /* of its object */
    int64_t heard_wall_ms; /* when this node heard of the order */
    enum rk_rollout_state recorded;
    struct rk_rollout rollout;
};

/* Which version serves, as seen first or moved to since. */
struct serving {
    char service[RK_ID_MAX];
    char version[RK_VERSION_TEXT];
    char before[RK_VERSION_TEXT]; /* "": not known */
};

struct rk_rollouts {
    struct rk_node *n;
    struct rk_follow orders;
    bool holds;
    int64_t epoch;
    struct course courses[RK_ROLLOUTS];
    struct rk_rollout_word word; /* number 0: none */
    bool was_fresh;
    bool bars;       /* some vms get no calls until more is known */
    bool told;       /* the relay has the word as it stands */
    int64_t told_at; /* known_at of the word that vms were marked by */
    struct serving serving[RK_ROLLOUTS_SERVICES];
    size_t serving_len;
    int64_t asked_ms; /* the store, what became of one */
    bool asking;
};

/* The rule of a service in a word; NULL: none. */
const struct rk_rollout_rule *rk_rollout_rule_of(const struct rk_rollout_word *word,
                                                 const char *service);

/* The version that serves beside one that is tried or was taken; "": not known. */
const char *rk_rollouts_before(const struct rk_rollouts *r, const char *service,
                               const char *version);

/* rollouts_hold.c */
void rk_rollouts_init_orders(struct rk_rollouts *r);
/* This node holds the duties from now on. */
void rk_rollouts_begin_holding(struct rk_rollouts *r);
/* Decide on each, and record it. */
void rk_rollouts_hold(struct rk_rollouts *r);

#endif
