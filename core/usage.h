/* How many calls of each organisation began to run in each window of the wall
 * clock, as told by each node. Counts of one node only rise, so they may be told
 * any number of times, in any order. Pure. */
#ifndef RK_CORE_USAGE_H
#define RK_CORE_USAGE_H

#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/tally.h"

/* One node's count. node: a hash of its id and incarnation; or RK_USAGE_KEPT: what
 * all nodes had counted when that was kept, for a kill of all. */
#define RK_USAGE_KEPT 0
struct rk_usage_row {
    uint64_t node;
    int64_t window;
    char org[RK_ID_MAX];
    uint64_t count;
    int64_t
        since_ms; /* by the wall clock: since when it counts; when it was kept */
};

/* Rows in no order, found by an index: a fleet has thousands. */
struct rk_usage {
    struct rk_usage_row *rows;
    uint32_t *index; /* hash table of row numbers plus one; 0: free */
    size_t len, cap;
    int64_t since_ms; /* of the rows that are counted here */
};

/* Add one at this node. */
void rk_usage_count(struct rk_usage *u, uint64_t node, int64_t window,
                    const char *org);

/* A node's count as told: taken if it is more than what was known; what was kept,
 * if it was later. */
void rk_usage_merge(struct rk_usage *u, const struct rk_usage_row *row);

/* Sum over all nodes. What was kept counts for the nodes that had begun by then,
 * where it is more than what they told: who was killed before it could tell told
 * nothing. */
uint64_t rk_usage_sum(const struct rk_usage *u, int64_t window, const char *org);
/* The same of all organisations that have any, in one pass: a holder of the duties
 * has rows of each node for each organisation that it serves. sums: empty before.
 */
void rk_usage_sums(const struct rk_usage *u, int64_t window, struct rk_tally *sums);

/* Forget windows before `window`. */
void rk_usage_forget(struct rk_usage *u, int64_t window);
void rk_usage_free(struct rk_usage *u);

#endif
