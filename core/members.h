/* Membership: what this node knows of the other nodes and of the upstream VMs. Two
 * tables of rows are merged by rules that give the same result in any order. Change
 * numbers show which rows a peer has not received yet.
 *
 * A node owns its row. Others may only report a worse state of it (suspect, dead)
 * for its incarnation, which it refutes by a higher incarnation. The state of a VM
 * only advances within an incarnation, so an outdated list cannot bring a leaving
 * VM back.
 *
 * Pure: no clock, no I/O. Used by the control thread only. */
#ifndef RK_CORE_MEMBERS_H
#define RK_CORE_MEMBERS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

/* Table sizes; rows beyond them are ignored. */
#define RK_MAX_MEMBERS 1024
#define RK_MAX_VMS     4096

/* Of two reports on one incarnation, the later state in this order prevails. */
enum rk_member_state { RK_MEMBER_ALIVE, RK_MEMBER_SUSPECT, RK_MEMBER_DEAD };

/* A node of the system. */
struct rk_member {
    char id[RK_ID_MAX];
    char domain[RK_ID_MAX];
    char control_addr[RK_ADDR_MAX]; /* ip:port of its control thread */
    char forward_addr[RK_ADDR_MAX]; /* ip:port that accepts forwarded calls */
    uint64_t incarnation;
    enum rk_member_state state;
    bool leaving;      /* planned stop; stays set for the incarnation */
    uint64_t attr_seq; /* incremented by the owner when the two below change */
    int64_t applied_version; /* last settings change in force on that node */
    uint32_t free_slots;     /* calls that it could take now */
    /* Local, never sent: */
    uint64_t changed; /* change number of the row */
    int64_t since_ms; /* when this node saw the current state begin */
    int source;       /* index of the member that reported the row; -1: none */
};

/* In the order in which a VM passes through them. */
enum rk_vm_state { RK_VM_LIVE, RK_VM_LEAVING, RK_VM_GONE };

/* An upstream VM. */
struct rk_vm {
    char id[RK_ID_MAX];
    char addr[RK_ADDR_MAX];
    char domain[RK_ID_MAX];
    char service[RK_ID_MAX];
    char vm_class[RK_ID_MAX];
    uint64_t incarnation;
    enum rk_vm_state state;
    uint64_t load_seq; /* wall clock of the load poll in ms; 0: never polled */
    uint32_t running, queued;
    uint64_t leave_at_ms; /* wall clock in ms at which it leaves; 0: unknown */
    /* Local, never sent: */
    uint32_t id_hash;
    uint64_t changed;       /* change number of everything but the load */
    uint64_t load_changed;  /* change number of the load */
    uint64_t load_sent_seq; /* load_seq of the last load passed on to peers */
    int64_t load_ms;        /* when this node received the load */
    int64_t since_ms;
    int source; /* as in struct rk_member */
};

/* Both tables. Pointers to rows are valid until the next call that changes the
 * tables. */
struct rk_members;

/* Creates the tables with this node as member 0. self is copied; its state becomes
 * alive. The caller frees them with rk_members_destroy(). */
struct rk_members *rk_members_create(const struct rk_member *self);
void rk_members_destroy(struct rk_members *m);

const struct rk_member *rk_members_self(const struct rk_members *m);
/* Members include this node, at index 0, and dead members until they are
 * removed. */
size_t rk_members_count(const struct rk_members *m);
const struct rk_member *rk_members_at(const struct rk_members *m, size_t i);
/* Returns the member, or NULL. */
const struct rk_member *rk_members_find(const struct rk_members *m, const char *id);

size_t rk_members_vm_count(const struct rk_members *m);
const struct rk_vm *rk_members_vm_at(const struct rk_members *m, size_t i);
/* Returns the VM, or NULL. */
const struct rk_vm *rk_members_find_vm(const struct rk_members *m, const char *id);

/* Merges a reported row. source: index of the member that sent it, or -1. Returns
 * whether anything changed that this node acts on (state, address, leaving). */
bool rk_members_merge(struct rk_members *m, const struct rk_member *row, int source,
                      int64_t now_ms);
bool rk_members_merge_vm(struct rk_members *m, const struct rk_vm *row, int source,
                         int64_t now_ms);
/* Merges the load of the VM with the given id hash, unless it is older than the
 * known one. */
void rk_members_merge_load(struct rk_members *m, uint32_t id_hash,
                           uint64_t load_seq, uint32_t running, uint32_t queued,
                           int source, int64_t now_ms);

/* Returns whether a member is a bridge of its failure domain: one of the first
 * RK_BRIDGES serving members by id. Bridges exchange state with other failure
 * domains and watch the platform, and their keepers are candidates for the
 * lease. */
#define RK_BRIDGES 2
bool rk_member_is_bridge(const struct rk_members *m, const struct rk_member *row);

/* Records a load poll by this node. A change of at most a quarter of the recorded
 * load counts as none, as passing it on costs more than it is worth. An unchanged
 * load is passed on now and then, so that peers know it is still valid. */
void rk_members_load_polled(struct rk_members *m, uint32_t id_hash,
                            uint64_t load_seq, uint32_t running, uint32_t queued,
                            int64_t now_ms);

/* Set this node's own attributes. head must not decrease. A number of free slots
 * that differs by at most a quarter from the last one is ignored, which saves
 * messages. */
void rk_members_set_applied_version(struct rk_members *m, int64_t head);
void rk_members_set_free_slots(struct rk_members *m, uint32_t free_slots);
void rk_members_set_leaving(struct rk_members *m);

/* Record that a probe of a member failed, or that the member responded. Calls for
 * unknown members and for this node are ignored. */
void rk_members_suspect(struct rk_members *m, const char *id, int64_t now_ms);
void rk_members_responded(struct rk_members *m, const char *id, int64_t now_ms);

/* Marks members dead that have been suspect for at least timeout_ms. Returns
 * whether there were any. */
bool rk_members_expire(struct rk_members *m, int64_t timeout_ms, int64_t now_ms);

/* Removes rows of dead members and gone VMs after keep_ms. */
void rk_members_remove_old(struct rk_members *m, int64_t keep_ms, int64_t now_ms);

/* Rows to send to a peer: those that changed after `mark` and that this peer
 * (index; -1: include all) did not report itself. next_mark is the mark for the
 * next call. Loads are included only while they are recent; older ones have reached
 * the peer by other nodes. */
struct rk_delta {
    uint64_t next_high_water;
    size_t members_len, vms_len, loads_len;
    uint16_t members[RK_MAX_MEMBERS];
    uint16_t vms[RK_MAX_VMS];
    uint16_t loads[RK_MAX_VMS];
};
void rk_members_delta(const struct rk_members *m, uint64_t mark, int peer,
                      int64_t now_ms, struct rk_delta *out);

/* Digests of the rows that matter (not dead or gone), without attributes and loads:
 * of members the incarnation and whether they are leaving, of VMs the incarnation
 * and the state. Equal tables have equal digests. */
struct rk_digest {
    uint64_t members, vms;
};
struct rk_digest rk_members_digest(const struct rk_members *m);

/* Returns the current change number, the mark for a peer that needs only later
 * changes. */
uint64_t rk_members_high_water(const struct rk_members *m);

/* Returns the index of a member, or -1. Indices change in rk_members_remove_old().
 */
int rk_members_index(const struct rk_members *m, const char *id);

#endif
