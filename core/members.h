/* What the nodes of the system know of each other and of the upstream vms: two
 * tables of rows, merged by rules that give the same result in any order, and
 * marks that say what a peer hasn't been told yet.
 *
 * A node owns its row. Others may only say worse of it (suspect, dead) at its
 * incarnation; it answers by a higher incarnation. A vm's state only rises
 * within an incarnation, so a lagging list can't bring a leaving vm back.
 *
 * Pure: no clock, no I/O. One thread (control). */
#ifndef RK_CORE_MEMBERS_H
#define RK_CORE_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_MAX_MEMBERS 1024
#define RK_MAX_VMS     4096

enum rk_member_state { RK_MEMBER_ALIVE, RK_MEMBER_SUSPECT, RK_MEMBER_DEAD };

struct rk_member {
    char id[RK_ID_MAX];
    char domain[RK_ID_MAX];
    char control_addr[RK_ADDR_MAX]; /* ip:port of its control thread */
    char forward_addr[RK_ADDR_MAX]; /* ip:port that takes forwarded calls */
    uint64_t incarnation;
    enum rk_member_state state;
    bool leaving;      /* a planned stop; sticky for the incarnation */
    uint64_t attr_seq; /* the owner's count of changes to what follows */
    int64_t head;      /* last change of settings in force there */
    uint32_t spare;    /* calls it could take now */
    /* Local bookkeeping, never sent. */
    uint64_t changed;
    int64_t since_ms; /* when this node saw the state begin */
    int told_by;      /* index of the member that told us; -1 */
};

enum rk_vm_state { RK_VM_LIVE, RK_VM_LEAVING, RK_VM_GONE };

struct rk_vm {
    char id[RK_ID_MAX];
    char addr[RK_ADDR_MAX];
    char domain[RK_ID_MAX];
    char service[RK_ID_MAX];
    char vm_class[RK_ID_MAX];
    uint64_t incarnation;
    enum rk_vm_state state;
    uint64_t load_seq; /* wall clock of the poll, ms; 0: never polled */
    uint32_t running, queued;
    uint64_t leave_at_ms; /* wall clock at which it goes; 0: not told */
    /* Local bookkeeping, never sent. */
    uint32_t id_hash;
    uint64_t changed;      /* anything but the load */
    uint64_t load_changed; /* the load */
    uint64_t load_told;    /* load_seq of the last load passed on */
    int64_t load_ms;       /* when this node learned the load */
    int64_t since_ms;
    int told_by;
};

struct rk_members;

/* self is copied; its state becomes alive. */
struct rk_members *rk_members_create(const struct rk_member *self);
void rk_members_destroy(struct rk_members *m);

const struct rk_member *rk_members_self(const struct rk_members *m);
size_t rk_members_count(const struct rk_members *m);
const struct rk_member *rk_members_at(const struct rk_members *m, size_t i);
const struct rk_member *rk_members_find(const struct rk_members *m, const char *id);

size_t rk_members_vm_count(const struct rk_members *m);
const struct rk_vm *rk_members_vm_at(const struct rk_members *m, size_t i);
const struct rk_vm *rk_members_find_vm(const struct rk_members *m, const char *id);

/* Take a row in. told_by: index of the member that sent it, or -1. True when
 * something changed that this node acts on (state, address, leaving). */
bool rk_members_merge(struct rk_members *m, const struct rk_member *row,
                      int told_by, int64_t now_ms);
bool rk_members_merge_vm(struct rk_members *m, const struct rk_vm *row, int told_by,
                         int64_t now_ms);
void rk_members_merge_load(struct rk_members *m, uint32_t id_hash,
                           uint64_t load_seq, uint32_t running, uint32_t queued,
                           int told_by, int64_t now_ms);

/* Is the member one of its failure domain's bridges, the first RK_BRIDGES of the
 * serving ones by id? Bridges talk to other failure domains, hold the platform's
 * watches, and their keepers stand for the lease. */
#define RK_BRIDGES 2
bool rk_member_is_bridge(const struct rk_members *m, const struct rk_member *row);

/* A poll of a vm's load by this node. Small moves are kept back (a quarter of the
 * load), as they cost more than they tell; an unchanged load is told again now and
 * then, so that the others know it still holds. */
void rk_members_polled(struct rk_members *m, uint32_t id_hash, uint64_t load_seq,
                       uint32_t running, uint32_t queued, int64_t now_ms);

/* This node's own attributes. */
void rk_members_set_head(struct rk_members *m, int64_t head);
void rk_members_set_spare(struct rk_members *m, uint32_t spare);
void rk_members_set_leaving(struct rk_members *m);

/* A probe of a member failed, or it answered. */
void rk_members_suspect(struct rk_members *m, const char *id, int64_t now_ms);
void rk_members_heard(struct rk_members *m, const char *id, int64_t now_ms);

/* Turn members suspected for longer than timeout dead. True if any did. */
bool rk_members_expire(struct rk_members *m, int64_t timeout_ms, int64_t now_ms);

/* Forget rows of the dead and gone after keep_ms. */
void rk_members_forget(struct rk_members *m, int64_t keep_ms, int64_t now_ms);

/* Rows changed after mark, that `peer` (index; -1: anybody) did not tell us, and
 * the mark to use next time. Loads only while they are new: older ones have come
 * round by others. */
struct rk_delta {
    uint64_t next_mark;
    size_t members_len, vms_len, loads_len;
    uint16_t members[RK_MAX_MEMBERS];
    uint16_t vms[RK_MAX_VMS];
    uint16_t loads[RK_MAX_VMS];
};
void rk_members_delta(const struct rk_members *m, uint64_t mark, int peer,
                      int64_t now_ms, struct rk_delta *out);

/* Digests of the rows that matter (not the dead and gone): equal tables have
 * equal digests. */
struct rk_digest {
    uint64_t members, vms;
};
struct rk_digest rk_members_digest(const struct rk_members *m);

/* The mark that a peer starts from which is told only what changes from now on. */
uint64_t rk_members_mark(const struct rk_members *m);

int rk_members_index(const struct rk_members *m, const char *id);

#endif
