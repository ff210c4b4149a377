/* Lease kept in a single object by conditional updates. It needs no synchronised
 * clocks: a candidate takes the lease after it has seen the same version for a
 * whole lease duration by its own clock. The holder may rely on the lease
 * from the start of its last successful write, for the lease duration less a
 * margin, and checks this before each order. Every order carries the epoch of the
 * lease. A process that finds the lease held by its own past incarnation, which had
 * the same name and the same address, takes it at once.
 *
 * A store that comes back from an older copy forgets leases. A new epoch is one
 * more than the revision on which its write is conditional, which contains the
 * store's era, so that none is given out twice. A lease ends with the era in which
 * it was taken.
 *
 * Pure: no I/O, no clock; the caller reads and writes the object. Times are in ms
 * of the caller's monotonic clock. */
#ifndef RK_CORE_LEASE_H
#define RK_CORE_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "common/status.h"
#include "common/util.h"

/* Percentage of the lease duration, at its end, during which the holder sends no
 * orders. */
#define RK_LEASE_MARGIN_PCT 20
/* Bytes of the object's value, with the NUL. The longest identity fits, also with
 * each of its bytes escaped. */
#define RK_LEASE_VALUE_MAX 512

/* A process as holder of the lease. A name alone does not identify a machine: a
 * machine and its replacement may run at the same time under the same name. */
struct rk_lease_identity {
    char name[RK_ID_MAX]; /* of the machine */
    /* The process listens there alone, so that no other running process has the
     * same one; "": not known, and then past incarnations are not recognised. */
    char addr[RK_ADDR_MAX];
    uint64_t incarnation; /* random number of the process */
};

/* A process's view of a lease. The owner sets self and ttl_ms; everything else
 * starts at zero. */
struct rk_lease {
    struct rk_lease_identity self; /* this process */
    int64_t ttl_ms;                /* lease duration */
    int64_t era;      /* the store's; 0: it has none, or not known yet */
    bool was_present; /* the object was there once in this process's life */
    /* Last known state of the object. */
    int64_t version; /* 0: absent */
    int64_t epoch;
    struct rk_lease_identity observed_holder;
    int64_t observed_ms; /* when this version was first observed; 0: must be read */
    /* State of this process as holder. */
    bool held;
    int64_t held_epoch;
    int64_t renewed_ms;       /* start of the last successful write */
    int64_t write_started_ms; /* start of the write in progress */
};

/* Sets the store's era. A higher one than before ends this process's lease, and the
 * object must be read. */
void rk_lease_set_era(struct rk_lease *l, int64_t era);

/* Processes a read of the object; version 0 if it is absent, and then value is not
 * used. version is a revision as of core/revision.h, at most RK_REVISION_MAX.
 * Returns false if the value's epoch can't be that of a lease: an epoch is never
 * above the version of its object. Nobody holds the lease then, and its epoch is as
 * known before. */
bool rk_lease_read_done(struct rk_lease *l, int64_t version, const char *value,
                        int64_t now_ms);

/* Returns whether to write the object now, to renew or take the lease. If so, fills
 * value, and *expect with the version on which the write must be conditional. */
bool rk_lease_next_write(struct rk_lease *l, int64_t now_ms,
                         char value[RK_LEASE_VALUE_MAX], int64_t *expect);

/* Processes the result of that write; version is the new one if st is RK_OK. After
 * RK_EUNKNOWN the caller must read the object before anything else. */
void rk_lease_write_done(struct rk_lease *l, enum rk_status st, int64_t version,
                         int64_t now_ms);

/* Returns whether orders may be sent now; if so, sets *epoch to their epoch. */
bool rk_lease_valid(const struct rk_lease *l, int64_t now_ms, int64_t *epoch);

#endif
