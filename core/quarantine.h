/* Quarantine of requests that bring down every VM that runs them ("queries of
 * death"), and of prompt segments that do so in whatever request they stand.
 * Callers send such requests again, as new calls at any node, so they have to be
 * stopped, that is refused, on all nodes. A table keeps suspects and the VM
 * incarnations that ended under each. The tables of several nodes can be merged in
 * any order and any number of times.
 *
 * Each VM that ends takes up to a hundred other calls along, which this prevents.
 * It has a cost: a VM's end counts against every call that had just begun there, so
 * one of those may be stopped wrongly. Therefore a request is stopped only after
 * three such ends in a row without a complete response in between, or four while
 * several requests end VMs, and an end that is explained by a stopped request does
 * not count against any other request.
 *
 * Which segment of a prompt is to blame has to be inferred, as most segments are in
 * many prompts; core/quarantine_segments.c has the rules. Two things protect common
 * segments: a VM that answers on a segment and lives clears it, and the segment
 * that accounts for most of the ends is stopped before any other.
 *
 * Pure: no I/O and no clock. Not thread-safe. */
#ifndef RK_CORE_QUARANTINE_H
#define RK_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/prompt_segments.h"

/* 512 rows of 760 bytes. A full table first evicts rows of the organisation with
 * the most rows. */
#define RK_QUARANTINE_ROWS 512
#define RK_QUARANTINE_ENDS 16 /* VM ends kept per row */

/* How strongly a VM's end counts against a call that it was running. */
enum rk_suspicion {
    RK_NOT_SUSPECT = 0,    /* had run there for long, so it does not end VMs */
    RK_MAY_HAVE_BEGUN = 1, /* no response data yet, or it began a while ago */
    RK_HAD_JUST_BEGUN = 2,
};

/* Total suspicion at which a request is stopped: three VMs that ended when they had
 * just begun it, or six VMs of which this is not known, which is three more VMs
 * than a request may end. */
#define RK_QUARANTINE_LIMIT (3 * RK_HAD_JUST_BEGUN)
/* If at least this many other requests have two such ends each, VMs are ending
 * everywhere. A request may then have been present at three ends by chance, so one
 * more end is needed to stop it. */
#define RK_QUARANTINE_CROWD_MIN 3

/* The end of a VM incarnation that was running a request. */
struct rk_vm_end {
    uint32_t vm; /* hash of the VM's id and start time */
    enum rk_suspicion suspicion;
    /* Only in rows of segments: hash of the request that the VM was running, and
     * when it began that and ended, by this node's monotonic clock. */
    uint32_t carrier;
    int64_t began_ms, at_ms;
};

/* Record of one suspected or quarantined request, or segment. */
struct rk_quarantine_row {
    uint64_t request; /* hash of the request, or key of the segment */
    char org[RK_ID_MAX];
    char route[RK_ID_MAX]; /* "" in rows of segments */
    /* Only in rows of segments; "" otherwise. */
    char segment[RK_SEGMENT_ID_MAX], service[RK_ID_MAX];
    /* A VM answered on the segment and lived, at any time before the ends. */
    bool was_sound;
    /* Generation: how often the row was reset, by a complete response or by an
     * operator. Evidence from lower generations is ignored. */
    uint32_t generation;
    bool stopped;
    bool stored; /* saved in the platform's store */
    /* Store era in which `stored` was last found true or false; 0: not known. */
    int64_t stored_era;
    struct rk_vm_end ends[RK_QUARANTINE_ENDS];
    size_t ends_len;
    /* Local, never sent: */
    int64_t changed_ms;   /* when anything in the row last changed */
    int64_t requested_ms; /* when this node last refused it */
    /* The last change was observed by this node, not reported by a peer. */
    bool own;
};

/* A request that a VM completed, as this node observed. It does not bring down VMs,
 * even if many VMs end under it because it is frequent. Stored by hash, 16 bytes
 * each. */
#define RK_QUARANTINE_HARMLESS 1024
struct rk_harmless_request {
    uint64_t request;
    int64_t completed_ms;
};

/* A segment on which VMs answered and lived, as this node observed. Stored by key,
 * 32 bytes each. */
#define RK_QUARANTINE_SOUND 4096
struct rk_sound_segment {
    uint64_t key;
    int64_t began_ms; /* latest begin of such an answer */
    int64_t seen_ms;  /* when that was observed */
    uint32_t answers; /* observed since the key was first stored */
};

/* Table of suspected and stopped requests. All zero but for started_ms: empty.
 * harmless and sound are indexed by hash. A collision overwrites the older entry,
 * of sound only if that was not seen lately, so that common segments keep theirs.
 */
struct rk_quarantine {
    struct rk_quarantine_row rows[RK_QUARANTINE_ROWS];
    size_t len;
    struct rk_harmless_request harmless[RK_QUARANTINE_HARMLESS];
    struct rk_sound_segment sound[RK_QUARANTINE_SOUND];
    int64_t started_ms; /* when this node started */
};

static inline bool rk_quarantine_is_segment(const struct rk_quarantine_row *row)
{
    return row->segment[0] != '\0';
}

/* Fields that identify a request: two calls are the same request if all are
 * equal. */
struct rk_request_identity {
    const char *org, *method, *host, *target;
    const char *body;
    size_t body_len;
};
/* Returns the hash of a request; never 0. */
uint64_t rk_quarantine_hash(const struct rk_request_identity *parts);

/* Formats a request hash for logs and the store, as 16 hexadecimal digits and a
 * NUL. */
#define RK_QUARANTINE_NAME_MAX 17
void rk_quarantine_format(uint64_t request, char out[RK_QUARANTINE_NAME_MAX]);

/* Returns the row of a request, valid until the table next changes, or NULL. */
struct rk_quarantine_row *rk_quarantine_find(struct rk_quarantine *q,
                                             uint64_t request);

/* Records that a VM incarnation ended under a request, or under one with a segment,
 * as observed by this node. names: a row of which only request, org, route, segment
 * and service are read. Returns whether that is stopped as a result. Ignored if the
 * request was completed here within the last minute. */
bool rk_quarantine_add_end(struct rk_quarantine *q,
                           const struct rk_quarantine_row *names,
                           struct rk_vm_end end, int64_t now_ms);

/* Stops segments against which the evidence suffices now. Some ends count only from
 * an age on, so this is called at intervals. Returns whether one was stopped. */
bool rk_quarantine_judge_segments(struct rk_quarantine *q, int64_t now_ms);

/* Returns whether the request is stopped, and if so notes that a caller sent it
 * now. */
bool rk_quarantine_is_stopped(struct rk_quarantine *q, uint64_t request,
                              int64_t now_ms);

/* Records that a VM completed the request, or ran it for so long that it cannot be
 * the cause, and clears its row. */
void rk_quarantine_completed(struct rk_quarantine *q, uint64_t request,
                             int64_t now_ms);

/* Records that a VM answered on a segment and lived: it completed the answer, or
 * has been sending it for long. began_ms: when the answer began. This clears the
 * segment of ends before that. */
void rk_quarantine_segment_survived(struct rk_quarantine *q, uint64_t key,
                                    int64_t began_ms, int64_t now_ms);

/* Resets the row of a request, so that it runs again and earlier evidence no longer
 * counts. */
void rk_quarantine_reset(struct rk_quarantine *q, uint64_t request, int64_t now_ms);

/* Records that the store, in the given era, has the row's object or lacks it. */
void rk_quarantine_set_stored(struct rk_quarantine_row *row, bool stored,
                              int64_t era);

/* Merges a row of another table. own: the row comes from this node. Returns whether
 * anything changed. */
bool rk_quarantine_merge(struct rk_quarantine *q,
                         const struct rk_quarantine_row *row, bool own,
                         int64_t now_ms);

/* Returns whether a row has at least half the suspicion that stops a request. All
 * nodes keep such rows. */
bool rk_quarantine_is_near_limit(const struct rk_quarantine_row *row);

/* Returns whether a row has been neither requested nor changed for so long that it
 * no longer counts. */
bool rk_quarantine_is_expired(const struct rk_quarantine_row *row, int64_t now_ms);
/* Removes expired rows. */
void rk_quarantine_expire(struct rk_quarantine *q, int64_t now_ms);

#endif
