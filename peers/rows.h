/* Rows of core/members.h as frames, and back. Used by gossip, by the keeper and
 * by the tool that measures what gossip costs. */
#ifndef RK_PEERS_ROWS_H
#define RK_PEERS_ROWS_H

#include <stdbool.h>
#include <stdint.h>

#include "peers/peers.pb-c.h"

struct rk_delta;
struct rk_member;
struct rk_members;
struct rk_vm;

/* A gossip message with the rows of a delta. Points into the members' table:
 * valid until it changes. */
struct rk_rows {
    Rillknot__Gossip gossip;
    Rillknot__MemberRow *members;
    Rillknot__MemberRow **member_ptrs;
    Rillknot__VmRow *vms;
    Rillknot__VmRow **vm_ptrs;
    Rillknot__VmLoad *loads;
    Rillknot__VmLoad **load_ptrs;
};

/* with_vms: rows of vms go along (they stay in their failure domain). */
void rk_rows_fill(struct rk_rows *rows, const struct rk_members *m,
                  const struct rk_delta *delta, bool with_vms);
void rk_rows_free(struct rk_rows *rows);

/* False when the row names nobody or too long a name. */
bool rk_rows_member(const Rillknot__MemberRow *row, struct rk_member *out);
bool rk_rows_vm(const Rillknot__VmRow *row, struct rk_vm *out);

#endif
