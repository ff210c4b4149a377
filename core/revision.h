/* Revisions of the object store in one order over all its eras. A store that comes
 * back from an older copy counts on from the copy's revision, so it gives the same
 * numbers out again, in a new era. A revision here holds the era above the number
 * and compares as a single integer. The platform's driver translates; no other code
 * takes a revision apart, except for logs and metrics. Pure. */
#ifndef RK_CORE_REVISION_H
#define RK_CORE_REVISION_H

#include <stdbool.h>
#include <stdint.h>

/* Bits of the store's own number, and the largest era that fits beside it. */
#define RK_REVISION_NUMBER_BITS 40
#define RK_REVISION_ERA_MAX     ((INT64_C(1) << 22) - 1)
#define RK_REVISION_NUMBER_MAX  ((INT64_C(1) << RK_REVISION_NUMBER_BITS) - 1)
#define RK_REVISION_MAX                                                            \
    ((RK_REVISION_ERA_MAX << RK_REVISION_NUMBER_BITS) + RK_REVISION_NUMBER_MAX)

/* Returns the revision of a number in an era. Returns 0, which means that there is
 * no revision, if number is 0. */
static inline int64_t rk_revision_make(int64_t era, int64_t number)
{
    return number ? (era << RK_REVISION_NUMBER_BITS) + number : 0;
}

/* Returns whether a number can be a revision. */
static inline bool rk_revision_is_valid(int64_t revision)
{
    return revision >= 0 && revision <= RK_REVISION_MAX;
}

/* Returns the era of a revision; 0 if the store sends none. */
static inline int64_t rk_revision_era(int64_t revision)
{
    return revision >> RK_REVISION_NUMBER_BITS;
}

/* Returns a revision's number, as the store knows it. */
static inline int64_t rk_revision_number(int64_t revision)
{
    return revision & RK_REVISION_NUMBER_MAX;
}

/* How far a peer's revision may be ahead of the newest one that is known here. A
 * node that is further behind reads the store itself. */
#define RK_REVISION_ERA_STEP_MAX    1024
#define RK_REVISION_NUMBER_STEP_MAX (INT64_C(1) << 24)

/* Returns whether a peer may know a revision. known: the newest one that is known
 * here; 0: none. era: the newest one that is known here. */
static inline bool rk_revision_is_plausible(int64_t revision, int64_t known,
                                            int64_t era)
{
    return rk_revision_is_valid(revision) &&
           rk_revision_era(revision) - era <= RK_REVISION_ERA_STEP_MAX &&
           (!known || rk_revision_number(revision) - rk_revision_number(known) <=
                          RK_REVISION_NUMBER_STEP_MAX);
}

#endif
