/* Restores of the store from an older copy, as far as a process knows of them, and
 * what follows for the counts of usage windows. A restore loses the counts that a
 * leader had written and then reported. Whoever writes such a window anew would
 * report it with other counts.
 *
 * A process that lives through a restore notices the store's new era. One that
 * starts later has only the persisted record as a witness, which names the era in
 * which it was written. Until the record has been read, the process must not report
 * windows, and must not write the record, as that would destroy the witness for the
 * others.
 *
 * Pure: no I/O, no clock. Times are in ms of the wall clock, 0: never. */
#ifndef RK_CORE_RESTORES_H
#define RK_CORE_RESTORES_H

#include <stdbool.h>
#include <stdint.h>

struct rk_restores {
    int64_t era;             /* of the store, as noted last; 0: none yet */
    bool record_read;        /* the record was read, or the store has none */
    int64_t report_delay_ms; /* see rk_restores_init() */
    int64_t noticed_ms;      /* time at which the last restore was noticed */
    /* Windows that ended before this may have been reported by another process,
     * with counts that the store has lost. */
    int64_t unsafe_ms;
};

/* What the persisted record says of restores. */
struct rk_restores_record {
    int64_t era;        /* of the store when it was written; 0: it had none */
    int64_t noticed_ms; /* as its writer knew it */
};

/* Sets up *r. first_start: the deployment starts for the first time, so that there
 * is no record to read. report_delay_ms: no process reports a window sooner after
 * the window's end, by any process's clock. */
void rk_restores_init(struct rk_restores *r, bool first_start,
                      int64_t report_delay_ms);

/* Notes the store's era. Returns whether the store was restored since the last
 * call. only_leader_since_ms: no other process can have reported a window since
 * then; 0: that is not known of any time. */
bool rk_restores_note_era(struct rk_restores *r, int64_t era,
                          int64_t only_leader_since_ms, int64_t now_ms);

/* Notes the record as read. record NULL: the store has none. era: of the store's
 * answer. */
void rk_restores_note_record(struct rk_restores *r,
                             const struct rk_restores_record *record, int64_t era,
                             int64_t now_ms);

/* Returns whether the counts of a window that ended at a time may have been
 * reported and lost. The window must then be reported only if the store still has
 * them. */
bool rk_restores_may_be_lost(const struct rk_restores *r, int64_t window_end_ms);

#endif
