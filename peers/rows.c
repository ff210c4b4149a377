#include "peers/rows.h"

#include <stdlib.h>

#include "common/util.h"
#include "core/members.h"

static void fill_member(Rillknot__MemberRow *row, const struct rk_member *m)
{
    *row = (Rillknot__MemberRow)RILLKNOT__MEMBER_ROW__INIT;
    row->id = (char *)m->id;
    row->domain = (char *)m->domain;
    row->control_addr = (char *)m->control_addr;
    row->forward_addr = (char *)m->forward_addr;
    row->incarnation = m->incarnation;
    row->state = m->state;
    row->attr_seq = m->attr_seq;
    row->head = m->applied_version;
    row->spare = m->free_slots;
    row->leaving = m->leaving;
}

static void fill_vm(Rillknot__VmRow *row, const struct rk_vm *v)
{
    *row = (Rillknot__VmRow)RILLKNOT__VM_ROW__INIT;
    row->id = (char *)v->id;
    row->addr = (char *)v->addr;
    row->domain = (char *)v->domain;
    row->service = (char *)v->service;
    row->vm_class = (char *)v->vm_class;
    row->incarnation = v->incarnation;
    row->state = v->state;
    row->load_seq = v->load_seq;
    row->running = v->running;
    row->queued = v->queued;
    row->leave_at_ms = v->leave_at_ms;
}

static void fill_load(Rillknot__VmLoad *row, const struct rk_vm *v)
{
    *row = (Rillknot__VmLoad)RILLKNOT__VM_LOAD__INIT;
    row->id_hash = v->id_hash;
    row->load_seq = v->load_seq;
    row->running = v->running;
    row->queued = v->queued;
}

void rk_rows_encode(struct rk_rows *r, const struct rk_members *m,
                    const struct rk_delta *delta, bool with_vms)
{
    size_t members = delta->members_len;
    size_t vms = with_vms ? delta->vms_len : 0;
    size_t loads = with_vms ? delta->loads_len : 0;
    r->members = rk_alloc(members + 1, sizeof(*r->members));
    r->member_ptrs = rk_alloc(members + 1, sizeof(*r->member_ptrs));
    r->vms = rk_alloc(vms + 1, sizeof(*r->vms));
    r->vm_ptrs = rk_alloc(vms + 1, sizeof(*r->vm_ptrs));
    r->loads = rk_alloc(loads + 1, sizeof(*r->loads));
    r->load_ptrs = rk_alloc(loads + 1, sizeof(*r->load_ptrs));
    for (size_t i = 0; i < members; i++) {
        fill_member(&r->members[i], rk_members_at(m, delta->members[i]));
        r->member_ptrs[i] = &r->members[i];
    }
    for (size_t i = 0; i < vms; i++) {
        fill_vm(&r->vms[i], rk_members_vm_at(m, delta->vms[i]));
        r->vm_ptrs[i] = &r->vms[i];
    }
    for (size_t i = 0; i < loads; i++) {
        fill_load(&r->loads[i], rk_members_vm_at(m, delta->loads[i]));
        r->load_ptrs[i] = &r->loads[i];
    }
    r->gossip = (Rillknot__Gossip)RILLKNOT__GOSSIP__INIT;
    r->gossip.n_members = members;
    r->gossip.members = r->member_ptrs;
    r->gossip.n_vms = vms;
    r->gossip.vms = r->vm_ptrs;
    r->gossip.n_loads = loads;
    r->gossip.loads = r->load_ptrs;
}

void rk_rows_free(struct rk_rows *r)
{
    free(r->members);
    free(r->member_ptrs);
    free(r->vms);
    free(r->vm_ptrs);
    free(r->loads);
    free(r->load_ptrs);
}

bool rk_rows_decode_member(const Rillknot__MemberRow *row, struct rk_member *out)
{
    *out = (struct rk_member){
        .incarnation = row->incarnation,
        .state = row->state <= RK_MEMBER_DEAD ? (enum rk_member_state)row->state
                                              : RK_MEMBER_SUSPECT,
        .leaving = row->leaving,
        .attr_seq = row->attr_seq,
        .applied_version = row->head,
        .free_slots = row->spare,
    };
    return row->id[0] && rk_strcpy(out->id, sizeof(out->id), row->id) &&
           rk_strcpy(out->domain, sizeof(out->domain), row->domain) &&
           rk_strcpy(out->control_addr, RK_ADDR_MAX, row->control_addr) &&
           rk_strcpy(out->forward_addr, RK_ADDR_MAX, row->forward_addr);
}

bool rk_rows_decode_vm(const Rillknot__VmRow *row, struct rk_vm *out)
{
    *out = (struct rk_vm){
        .incarnation = row->incarnation,
        .state =
            row->state <= RK_VM_GONE ? (enum rk_vm_state)row->state : RK_VM_GONE,
        .load_seq = row->load_seq,
        .running = row->running,
        .queued = row->queued,
        .leave_at_ms = row->leave_at_ms,
    };
    return row->id[0] && rk_strcpy(out->id, sizeof(out->id), row->id) &&
           rk_strcpy(out->addr, sizeof(out->addr), row->addr) &&
           rk_strcpy(out->domain, sizeof(out->domain), row->domain) &&
           rk_strcpy(out->service, sizeof(out->service), row->service) &&
           rk_strcpy(out->vm_class, sizeof(out->vm_class), row->vm_class);
}
