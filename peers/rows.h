/* Conversion between the tables of core/members.h (member nodes and VMs) and the
 * rows of gossip messages. Used by gossip, by rillknot-keeper and by the tool that
 * measures the cost of gossip. */
#ifndef RK_PEERS_ROWS_H
#define RK_PEERS_ROWS_H

#include <stdbool.h>
#include <stdint.h>

#include "peers/peers.pb-c.h"

struct rk_delta;
struct rk_member;
struct rk_members;
struct rk_vm;

/* A gossip message with the rows of a delta. Its strings point into the table of
 * members, so it is valid only until that changes. */
struct rk_rows {
    Rillknot__Gossip gossip;
    Rillknot__MemberRow *members;
    Rillknot__MemberRow **member_ptrs;
    Rillknot__VmRow *vms;
    Rillknot__VmRow **vm_ptrs;
    Rillknot__VmLoad *loads;
    Rillknot__VmLoad **load_ptrs;
};

/* Sets rows->gossip to a message with the rows that the delta lists; its other
 * fields have their defaults. with_vms: include the rows and loads of VMs, which
 * are sent only within a failure domain. Free it with rk_rows_free(). */
void rk_rows_encode(struct rk_rows *rows, const struct rk_members *m,
                    const struct rk_delta *delta, bool with_vms);

/* Frees the message's arrays, but not *rows itself. */
void rk_rows_free(struct rk_rows *rows);

/* Converts a received row. An unknown state becomes RK_MEMBER_SUSPECT, or
 * RK_VM_GONE for a VM. Returns false if the id is empty or a string is too long. */
bool rk_rows_decode_member(const Rillknot__MemberRow *row, struct rk_member *out);
bool rk_rows_decode_vm(const Rillknot__VmRow *row, struct rk_vm *out);

#endif
