/* The eras that a store's answers name, and which of them this process believes.
 * The order in which eras are believed only rises, as all revisions depend on it
 * (core/revision.h).
 *
 * A single answer may name an era that the store is not in. A higher era is
 * believed once the answer to a later request names it too. If answers name a lower
 * era for seconds, and none the newest one, the newest one was wrong, or the store
 * has lost its count of eras: the lower one is then counted as a further era, like
 * that of a store that came back from a copy, and the store's later eras count on
 * from there. Answers to requests that were sent before the newest era was known
 * prove nothing: they may have been under way since the era before.
 *
 * Pure: no I/O, no clock. */
#ifndef RK_CORE_STORE_ERA_H
#define RK_CORE_STORE_ERA_H

#include <stdbool.h>
#include <stdint.h>

/* An era other than the newest one that answers name. */
struct rk_era_candidate {
    int64_t era;        /* less than all eras: none */
    int64_t first_sent; /* number of the first request that was sent after it */
    int64_t since_ms;   /* time of the first answer */
    int answers;        /* further ones, to requests from first_sent on */
};

struct rk_store_era {
    bool known;      /* the newest era is known */
    int64_t newest;  /* era that is believed; 0: none, or the store has no eras */
    int64_t shift;   /* newest less the store's own number of that era */
    bool from_peers; /* newest is known by revisions of peers only */
    int64_t sent;    /* number of requests so far */
    /* Number of the first request that was sent after newest was known. */
    int64_t settled_sent;
    struct rk_era_candidate candidate;
};

void rk_store_era_init(struct rk_store_era *e);

/* Counts a request and returns its number. */
int64_t rk_store_era_send(struct rk_store_era *e);

/* Handles the answer to a request, which names an era by the store's own number.
 * Returns whether the answer is of the newest era, which may have changed. */
bool rk_store_era_receive(struct rk_store_era *e, int64_t request, int64_t named,
                          int64_t now_ms);

/* Notes the era of a revision, which may be one that only peers have seen yet. */
void rk_store_era_refer(struct rk_store_era *e, int64_t era);

#endif
