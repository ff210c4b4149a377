/* Measures the CPU time that a bridge's digest costs: to pack and unpack it, and,
 * for several fleet sizes, to merge it into a node's state. A bridge is the elected
 * relay node of a failure domain; its digest aggregates the reports of the domain's
 * nodes. Runs in one process and prints one line per measurement. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/arena.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define DOMAINS        5
#define ORGS           333
#define VMS            250
#define ITERATIONS     400    /* repetitions of each measurement */
#define UNITS_PER_CALL 4000.0 /* quota units, in tokens, that one call uses */

/* Numbers of nodes in the fleet. */
static const int fleet_sizes[] = {100, 985, 1776, 3552};

/* A digest with all the records it points to. */
struct digest_input {
    Rillknot__OrgUse uses[ORGS], *use_ptrs[ORGS];
    Rillknot__VmUse vms[VMS], *vm_ptrs[VMS];
    char orgs[ORGS][RK_ID_MAX], vm_ids[VMS][RK_ID_MAX];
    Rillknot__Digest digest;
};

/* Writes the id and the control address of the peer with this number. */
static void format_peer(char *id, char *addr, int number)
{
    snprintf(id, RK_ID_MAX, "edge-%d", number);
    snprintf(addr, RK_ADDR_MAX, "10.0.%d.%d:1", number / 250, number % 250);
}

/* Fills the digest with usage of ORGS organisations and VMS VMs. */
static void fill_digest(struct digest_input *in)
{
    rillknot__digest__init(&in->digest);
    for (int i = 0; i < ORGS; i++) {
        snprintf(in->orgs[i], RK_ID_MAX, "org-%d", i);
        rillknot__org_use__init(&in->uses[i]);
        in->uses[i].units = UNITS_PER_CALL * i;
        in->uses[i].asking = (float)UNITS_PER_CALL;
        in->uses[i].org = in->orgs[i];
        in->use_ptrs[i] = &in->uses[i];
    }
    for (int i = 0; i < VMS; i++) {
        snprintf(in->vm_ids[i], RK_ID_MAX, "i-%010x", i);
        rillknot__vm_use__init(&in->vms[i]);
        in->vms[i].running = 1;
        in->vms[i].waiting_tokens = UNITS_PER_CALL;
        in->vms[i].pace_calls = in->vms[i].pace_log_sum = 1;
        in->vms[i].life = (uint32_t)i;
        in->vms[i].id = in->vm_ids[i];
        in->vm_ptrs[i] = &in->vms[i];
    }
    in->digest.n_uses = ORGS;
    in->digest.uses = in->use_ptrs;
    in->digest.n_vms = VMS;
    in->digest.vms = in->vm_ptrs;
    in->digest.vms_told = true;
    in->digest.domain = "hall-0";
    in->digest.incarnation = 1;
    in->digest.fleet = true;
}

/* Adds nodes - 1 peers, spread over DOMAINS failure domains, to the mesh. */
static void add_members(struct rk_mesh *m, int nodes)
{
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    for (int i = 1; i < nodes; i++) {
        format_peer(id, addr, i);
        struct member *k = rk_mesh_find_or_add(m, id, addr);
        snprintf(k->domain, sizeof(k->domain), "hall-%d", i % DOMAINS);
    }
}

/* Returns the node's own report. It has a record of every organisation in the
 * digest, because a node keeps one for each organisation that a peer reported. The
 * caller frees it with rk_relay_report_free(). */
static struct rk_relay_report *make_report(const struct digest_input *in)
{
    struct rk_relay_report *r = rk_alloc(1, sizeof(*r));
    r->quota_usage = rk_alloc(ORGS, sizeof(*r->quota_usage));
    r->quota_usage_len = ORGS;
    for (int i = 0; i < ORGS; i++)
        rk_strcpy(r->quota_usage[i].org, sizeof(r->quota_usage[i].org),
                  in->orgs[i]);
    return r;
}

/* Returns the CPU time used by this process, in microseconds. */
static double cpu_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Returns the CPU time, in microseconds, to merge one digest at a node of a fleet
 * of this size and to fill in the VM loads for the relay. The RK_MESH_BRIDGES
 * bridges of the domain send alternately, as in production. */
static double merge_us(struct digest_input *in, int nodes)
{
    struct rk_node *n = rk_alloc(1, sizeof(*n));
    struct rk_mesh *m = rk_alloc(1, sizeof(*m));
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    m->n = n;
    n->mesh = m;
    rk_strcpy(n->file.failure_domain, sizeof(n->file.failure_domain), "hall-0");
    n->report = make_report(in);
    rk_mesh_init_members(m);
    add_members(m, nodes);
    double start = cpu_us();
    for (int i = 0; i < ITERATIONS; i++) {
        format_peer(id, addr, (1 + i % RK_MESH_BRIDGES) * DOMAINS);
        in->uses[i % ORGS].units += UNITS_PER_CALL;
        struct rk_relay_peers peers = {0};
        rk_digest_receive(rk_mesh_find(m, id), &in->digest);
        rk_loads_fill(m, &peers, rk_mono_ms());
        free(peers.loads);
    }
    double us = (cpu_us() - start) / ITERATIONS;
    rk_mesh_free_members(m);
    free(m->peer_uses);
    free(m);
    rk_relay_report_free(n->report);
    free(n);
    return us;
}

/* Returns the CPU time, in microseconds, to pack a digest, and its size in *len. */
static double pack_us(struct digest_input *in, size_t *len)
{
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &in->digest;
    double start = cpu_us();
    for (int i = 0; i < ITERATIONS; i++) {
        struct rk_packed_frame packed = rk_frame_pack(&frame);
        *len = packed.len;
        rk_packed_frame_free(&packed);
    }
    return (cpu_us() - start) / ITERATIONS;
}

/* Returns the CPU time to unpack one digest, in microseconds. */
static double unpack_us(struct digest_input *in)
{
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT, *got;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &in->digest;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    struct rk_arena *arena = rk_arena_create();
    double start = cpu_us();
    for (int i = 0; i < ITERATIONS; i++) {
        rk_frame_decode_in(packed.data, packed.len, arena, &got);
        rk_arena_reset(arena);
    }
    double us = (cpu_us() - start) / ITERATIONS;
    rk_arena_destroy(arena);
    rk_packed_frame_free(&packed);
    return us;
}

int main(void)
{
    struct digest_input *in = rk_alloc(1, sizeof(*in));
    fill_digest(in);
    size_t len = 0;
    double us = pack_us(in, &len);
    printf("packed: %.0f us of processor, %zu bytes\n", us, len);
    printf("unpacked: %.0f us of processor\n", unpack_us(in));
    for (size_t i = 0; i < RK_ARRAY_LEN(fleet_sizes); i++)
        printf("%d nodes: %.0f us of processor a digest\n", fleet_sizes[i],
               merge_us(in, fleet_sizes[i]));
    free(in);
    return 0;
}
