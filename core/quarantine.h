/* Requests under which VMs ended: one that ends each VM that begins to run it comes
 * again, as new calls at any node, and must be stopped for all of them. A table of
 * such requests and of the lives of VMs that ended under each; tables of several
 * nodes are merged, in any order and any number of times. Pure.
 *
 * What it protects: each VM that ends takes up to a hundred other calls along.
 * What it costs: a VM's end speaks against every call that it had just begun, so
 * one of these may be stopped for nothing. It takes three such ends in a row
 * without a whole answer in between, four while several requests end VMs, and an
 * end that a stopped request explains speaks against no other. */
#ifndef RK_CORE_QUARANTINE_H
#define RK_CORE_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

/* 256 rows of 220 bytes. The first to go, when it is full, are of the organisation
 * that has most. */
#define RK_QUARANTINE_ROWS 256
#define RK_QUARANTINE_ENDS 8 /* of VMs, kept for a row */

/* How much the end of a VM speaks against a call that was there. */
enum rk_suspicion {
    RK_NOT_SUSPECT = 0,    /* it ran there for long: it doesn't end VMs */
    RK_MAY_HAVE_BEGUN = 1, /* nothing of its answer had come, or a while ago */
    RK_HAD_JUST_BEGUN = 2,
};

/* A request is stopped when the ends under it come to this: three VMs that had just
 * begun it. Of six of which that isn't known, three are beyond what is allowed. */
#define RK_QUARANTINE_LIMIT (3 * RK_HAD_JUST_BEGUN)
/* While so many others have two such ends, VMs end everywhere, and to have been
 * there when three of them did is no rare chance: then it takes one more. */
#define RK_QUARANTINE_CROWD 3

/* A VM's life that ended under a request. */
struct rk_vm_end {
    uint32_t vm; /* a hash of its id and of when it was started */
    enum rk_suspicion suspicion;
};

struct rk_quarantine_row {
    uint64_t request; /* rk_quarantine_request() */
    char org[RK_ID_MAX], route[RK_ID_MAX];
    /* How often it was found innocent by a whole answer, or was let through again
     * by an operator: what was known before doesn't count. */
    uint32_t cleared;
    bool stopped;
    bool stored; /* the platform's store has it */
    struct rk_vm_end ends[RK_QUARANTINE_ENDS];
    size_t ends_len;
    /* Of this table, not told: */
    int64_t changed_ms; /* when something of it was learnt here last */
    int64_t asked_ms;   /* when it was asked for here last */
    bool own;           /* what was learnt last was seen here, not told by a peer */
};

/* A request that a VM ran to its end here: it doesn't end VMs, though many may end
 * under it when it is asked for often. Kept by its hash, 16 bytes each. */
#define RK_QUARANTINE_SOUND 1024
struct rk_sound_request {
    uint64_t request;
    int64_t ran_ms;
};

struct rk_quarantine {
    struct rk_quarantine_row rows[RK_QUARANTINE_ROWS];
    size_t len;
    struct rk_sound_request sound[RK_QUARANTINE_SOUND];
};

/* What makes two calls the same request. */
struct rk_request_parts {
    const char *org, *method, *host, *target;
    const char *body;
    size_t body_len;
};
uint64_t rk_quarantine_request(const struct rk_request_parts *parts); /* not 0 */

/* A request in logs and in the store: 16 hexadecimal digits. */
#define RK_QUARANTINE_NAME 17
void rk_quarantine_name(uint64_t request, char out[RK_QUARANTINE_NAME]);

/* The row of a request, valid until the next change; NULL: nothing is known. */
struct rk_quarantine_row *rk_quarantine_find(struct rk_quarantine *q,
                                             uint64_t request);

/* A VM's life ended under the request, as seen here. True if that stops it now. */
bool rk_quarantine_note(struct rk_quarantine *q,
                        const struct rk_quarantine_row *names, struct rk_vm_end end,
                        int64_t now_ms);

/* Is the request stopped? It is asked for. */
bool rk_quarantine_stops(struct rk_quarantine *q, uint64_t request, int64_t now_ms);

/* A VM ran it to its end, or for so long that it isn't what ends VMs. */
void rk_quarantine_ran(struct rk_quarantine *q, uint64_t request, int64_t now_ms);

/* It is let through again: what was known of it counts no more. */
void rk_quarantine_clear(struct rk_quarantine *q, uint64_t request, int64_t now_ms);

/* A row of another table; own: of this node's. True if something of it was news. */
bool rk_quarantine_merge(struct rk_quarantine *q,
                         const struct rk_quarantine_row *row, bool own,
                         int64_t now_ms);

/* Is a row halfway to being stopped? Then all nodes keep knowing it. */
bool rk_quarantine_is_near(const struct rk_quarantine_row *row);

/* Was a row not asked for, nor anything learnt of it, for so long that it says
 * nothing any more? */
bool rk_quarantine_is_over(const struct rk_quarantine_row *row, int64_t now_ms);
/* Forget such rows. */
void rk_quarantine_expire(struct rk_quarantine *q, int64_t now_ms);

#endif
