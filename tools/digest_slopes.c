/* Measures what a bridge's digest costs, in one process: to pack it, and for a node
 * to take it in, by the size of the fleet. Prints one line each. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "common/arena.h"
#include "node/mesh_impl.h"
#include "peers/link.h"

#define DOMAINS  5
#define ORGS     333
#define VMS      250
#define DIGESTS  400
#define PER_CALL 4000.0

static const int sizes[] = {100, 985, 1776, 3552};

struct words {
    Rillknot__OrgUse uses[ORGS], *use_ptrs[ORGS];
    Rillknot__VmUse vms[VMS], *vm_ptrs[VMS];
    char orgs[ORGS][RK_ID_MAX], vm_ids[VMS][RK_ID_MAX];
    Rillknot__Digest digest;
};

static void name(char *id, char *addr, int number)
{
    snprintf(id, RK_ID_MAX, "edge-%d", number);
    snprintf(addr, RK_ADDR_MAX, "10.0.%d.%d:1", number / 250, number % 250);
}

static void fill(struct words *w)
{
    rillknot__digest__init(&w->digest);
    for (int i = 0; i < ORGS; i++) {
        snprintf(w->orgs[i], RK_ID_MAX, "org-%d", i);
        rillknot__org_use__init(&w->uses[i]);
        w->uses[i].units = PER_CALL * i;
        w->uses[i].asking = (float)PER_CALL;
        w->uses[i].org = w->orgs[i];
        w->use_ptrs[i] = &w->uses[i];
    }
    for (int i = 0; i < VMS; i++) {
        snprintf(w->vm_ids[i], RK_ID_MAX, "i-%010x", i);
        rillknot__vm_use__init(&w->vms[i]);
        w->vms[i].running = 1;
        w->vms[i].waiting_tokens = PER_CALL;
        w->vms[i].pace_calls = w->vms[i].pace_log_sum = 1;
        w->vms[i].life = (uint32_t)i;
        w->vms[i].id = w->vm_ids[i];
        w->vm_ptrs[i] = &w->vms[i];
    }
    w->digest.n_uses = ORGS;
    w->digest.uses = w->use_ptrs;
    w->digest.n_vms = VMS;
    w->digest.vms = w->vm_ptrs;
    w->digest.vms_told = true;
    w->digest.domain = "hall-0";
    w->digest.incarnation = 1;
    w->digest.fleet = true;
}

static void learn_members(struct rk_mesh *m, int nodes)
{
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    for (int i = 1; i < nodes; i++) {
        name(id, addr, i);
        struct member *k = rk_mesh_learn(m, id, addr);
        snprintf(k->domain, sizeof(k->domain), "hall-%d", i % DOMAINS);
    }
}

/* A node knows of all organisations that peers told of, and used some. */
static struct rk_relay_report *make_report(const struct words *w)
{
    struct rk_relay_report *r = rk_alloc(1, sizeof(*r));
    r->uses = rk_alloc(ORGS, sizeof(*r->uses));
    r->uses_len = ORGS;
    for (int i = 0; i < ORGS; i++)
        rk_strcpy(r->uses[i].org, sizeof(r->uses[i].org), w->orgs[i]);
    return r;
}

static double cpu_us(void)
{
    struct timespec ts;
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ts);
    return (double)ts.tv_sec * 1e6 + (double)ts.tv_nsec / 1e3;
}

/* Two bridges tell in turn, as they do. */
static double digest_us(struct words *w, int nodes)
{
    struct rk_node *n = rk_alloc(1, sizeof(*n));
    struct rk_mesh *m = rk_alloc(1, sizeof(*m));
    char id[RK_ID_MAX], addr[RK_ADDR_MAX];
    m->n = n;
    n->mesh = m;
    rk_strcpy(n->file.failure_domain, sizeof(n->file.failure_domain), "hall-0");
    n->report = make_report(w);
    rk_mesh_init_members(m);
    learn_members(m, nodes);
    double start = cpu_us();
    for (int i = 0; i < DIGESTS; i++) {
        name(id, addr, (1 + i % RK_MESH_BRIDGES) * DOMAINS);
        w->uses[i % ORGS].units += PER_CALL;
        struct rk_relay_peers peers = {0};
        rk_digest_take(rk_mesh_find(m, id), &w->digest);
        rk_loads_fill(m, &peers, rk_mono_ms());
        free(peers.loads);
    }
    double us = (cpu_us() - start) / DIGESTS;
    rk_mesh_free_members(m);
    free(m->news);
    free(m);
    rk_relay_report_free(n->report);
    free(n);
    return us;
}

static double pack_us(struct words *w, size_t *len)
{
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &w->digest;
    double start = cpu_us();
    for (int i = 0; i < DIGESTS; i++) {
        struct rk_packed_frame packed = rk_frame_pack(&frame);
        *len = packed.len;
        rk_packed_frame_free(&packed);
    }
    return (cpu_us() - start) / DIGESTS;
}

static double unpack_us(struct words *w)
{
    Rillknot__Frame frame = RILLKNOT__FRAME__INIT, *got;
    frame.body_case = RILLKNOT__FRAME__BODY_DIGEST;
    frame.digest = &w->digest;
    struct rk_packed_frame packed = rk_frame_pack(&frame);
    struct rk_arena *arena = rk_arena_create();
    double start = cpu_us();
    for (int i = 0; i < DIGESTS; i++) {
        rk_frame_decode_in(packed.data, packed.len, arena, &got);
        rk_arena_reset(arena);
    }
    double us = (cpu_us() - start) / DIGESTS;
    rk_arena_destroy(arena);
    rk_packed_frame_free(&packed);
    return us;
}

int main(void)
{
    struct words *w = rk_alloc(1, sizeof(*w));
    fill(w);
    size_t len = 0;
    double us = pack_us(w, &len);
    printf("packed: %.0f us of processor, %zu bytes\n", us, len);
    printf("unpacked: %.0f us of processor\n", unpack_us(w));
    for (size_t i = 0; i < RK_ARRAY_LEN(sizes); i++)
        printf("%d nodes: %.0f us of processor a digest\n", sizes[i],
               digest_us(w, sizes[i]));
    free(w);
    return 0;
}
