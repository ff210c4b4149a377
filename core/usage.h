/* Number of calls of each organisation that started in each window of the wall
 * clock, as reported by each node. A node's count only rises, so reports may be
 * merged any number of times and in any order. Pure: no I/O, no clock. */
#ifndef RK_CORE_USAGE_H
#define RK_CORE_USAGE_H

#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/totals.h"

/* One node's count. node: hash of its id and incarnation, or RK_USAGE_PERSISTED for
 * a persisted record of what all nodes had counted, which survives a kill of all
 * nodes. */
#define RK_USAGE_PERSISTED 0
struct rk_usage_row {
    uint64_t node;
    int64_t window;
    char org[RK_ID_MAX];
    uint64_t count;
    /* Wall clock: since when the node counts, or when the record was persisted. */
    int64_t since_ms;
};

/* Counts in no order, with a hash index, as a fleet has thousands of them. */
struct rk_usage {
    struct rk_usage_row *rows;
    uint32_t *index; /* hash table of row index plus one; 0: free */
    size_t len, cap;
    int64_t since_ms; /* since_ms of the rows counted by this node */
};

/* Adds one call that started at this node. */
void rk_usage_count(struct rk_usage *u, uint64_t node, int64_t window,
                    const char *org);

/* Merges a reported count: the higher count of a node wins. A later persisted
 * record also replaces one with a higher count. */
void rk_usage_merge(struct rk_usage *u, const struct rk_usage_row *row);

/* Returns the sum over all nodes. A persisted record covers the nodes that had
 * started before it was written, and is used where it exceeds their reports: a node
 * that was killed before it could report is missing from those. */
uint64_t rk_usage_sum(const struct rk_usage *u, int64_t window, const char *org);
/* Adds the sums of all organisations with calls in the window to sums, which must
 * be empty. Takes one pass, as the leader has a row per node and organisation that
 * the node serves. */
void rk_usage_sums(const struct rk_usage *u, int64_t window,
                   struct rk_totals *sums);

/* Removes the counts of windows before `window`. */
void rk_usage_remove_before(struct rk_usage *u, int64_t window);
/* Frees what u owns and resets it to empty. */
void rk_usage_free(struct rk_usage *u);

#endif
