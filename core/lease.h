/* A lease kept by conditional updates of one object. No wall clock: a candidate
 * takes the lease when it has seen the same version for a whole lease time by
 * its own clock; the holder counts from before its last write that stood, less
 * a margin, and checks that before each order. Every order carries the epoch. A
 * process that finds the lease held by its own earlier life takes it at once.
 *
 * Pure; the caller reads and writes the object. */
#ifndef RK_CORE_LEASE_H
#define RK_CORE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

#define RK_LEASE_MARGIN_PCT 20
#define RK_LEASE_VALUE_MAX  192

struct rk_lease {
    char holder[RK_ID_MAX]; /* this process: "NAME/LIFE", or a name alone */
    int64_t life_ms;
    /* What the object said last. */
    int64_t version; /* 0: absent */
    int64_t epoch;
    char seen_holder[RK_ID_MAX];
    int64_t seen_ms; /* when this version was first seen */
    /* What this process holds. */
    bool held;
    int64_t held_epoch;
    int64_t held_from_ms; /* start of the last write that stood */
    int64_t try_ms;       /* start of the write under way */
};

/* The object was read; version 0 when absent. */
void rk_lease_seen(struct rk_lease *l, int64_t version, const char *value,
                   int64_t now_ms);

/* Should this process write now (renew or take)? Fills value and the version
 * the write must be conditional on. */
bool rk_lease_wants(struct rk_lease *l, int64_t now_ms,
                    char value[RK_LEASE_VALUE_MAX], int64_t *expect);

/* The write's end. RK_EUNKNOWN: read the object before anything else. */
void rk_lease_written(struct rk_lease *l, enum rk_status st, int64_t version,
                      int64_t now_ms);

/* May an order go out now? Its epoch is *epoch. */
bool rk_lease_valid(const struct rk_lease *l, int64_t now_ms, int64_t *epoch);

#endif
