/* Simulation of a fleet without a network in front of brittle VMs of a plain
 * service: whether the nodes together make them refuse more calls than they stand.
 * Where only some nodes share each VM, the others forward their calls. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/place.h"

#define VMS            4
#define SLOTS          6
#define WORK_MS        15
#define REFUSALS_PER_S 10
#define NODES_MAX      96
#define REPORT_MS      250 /* between the reports of the nodes' loads */
#define CALLS_MAX      (VMS * SLOTS)
#define RUN_MS         10000
#define SECOND_MS      1000
#define USUAL_LOAD     0.2
#define MAX_FORWARDS   2 /* of a call that peers have no room for */

struct call {
    int node, vm;
    int64_t ends_ms;
    struct rk_place_job job;
};

struct fleet {
    struct rk_place *nodes[NODES_MAX];
    int nodes_len;
    struct call calls[CALLS_MAX]; /* in flight; ends_ms 0: free */
    int running[VMS];
    int64_t refused_ms[VMS][REFUSALS_PER_S + 1]; /* last refusals, a ring */
    int refused[VMS];
    int served, refused_sum, falls, forwarded;
    uint64_t hashes[NODES_MAX];
    int sharing[VMS * NODES_MAX]; /* nodes that share some VM */
    size_t sharing_len;
};

static struct rk_place_vm *vm_of(struct fleet *f, int node, int vm)
{
    char id[RK_ID_MAX];
    snprintf(id, sizeof(id), "vm-%d", vm);
    return rk_place_find(f->nodes[node], id);
}

static void create(struct fleet *f, int nodes)
{
    struct rk_vm_row rows[VMS];
    memset(f, 0, sizeof(*f));
    f->nodes_len = nodes;
    for (int i = 0; i < VMS; i++) {
        rows[i] = (struct rk_vm_row){.slots = SLOTS, .leaves_in_ms = -1};
        snprintf(rows[i].id, sizeof(rows[i].id), "vm-%d", i);
        rk_strcpy(rows[i].service, RK_ID_MAX, "plain");
        rk_strcpy(rows[i].domain, RK_ID_MAX, "here");
    }
    for (int n = 0; n < nodes; n++) {
        f->nodes[n] = rk_place_create("here", (uint64_t)n + 1);
        f->hashes[n] = rk_hash(0, &n, sizeof(n));
        rk_place_set_node_count(f->nodes[n], nodes);
        rk_place_set_vms(f->nodes[n], rows, VMS, 0);
    }
}

/* Lets some of the nodes share each VM, if there are more than may. */
static void share_vms(struct fleet *f)
{
    size_t chosen[RK_BRITTLE_SENDERS_MAX];
    for (int i = 0; i < VMS; i++) {
        const struct rk_vm_signal *signal = vm_of(f, 0, i)->signal;
        size_t max = rk_vm_brittle_senders_max(signal, SLOTS);
        if ((size_t)f->nodes_len <= max)
            continue;
        size_t len = rk_vm_brittle_senders(signal, f->hashes, (size_t)f->nodes_len,
                                           max, chosen);
        for (int n = 0; n < f->nodes_len; n++)
            vm_of(f, n, i)->signal->brittle_senders = 0;
        for (size_t k = 0; k < len; k++) {
            vm_of(f, (int)chosen[k], i)->signal->brittle_senders = (int)len;
            f->sharing[f->sharing_len++] = (int)chosen[k];
        }
    }
}

static void make_brittle(struct fleet *f, int64_t now_ms)
{
    const struct rk_vm_advertised brittle = {.brittle = true,
                                             .refusals_per_s = REFUSALS_PER_S};
    for (int n = 0; n < f->nodes_len; n++)
        for (int i = 0; i < VMS; i++)
            rk_place_apply_signals(f->nodes[n], vm_of(f, n, i), &brittle, now_ms);
    share_vms(f);
    f->served = f->refused_sum = f->falls = f->forwarded = 0;
}

static void destroy(struct fleet *f)
{
    for (int n = 0; n < f->nodes_len; n++)
        rk_place_destroy(f->nodes[n]);
}

static void end_calls(struct fleet *f, int64_t now_ms)
{
    for (int i = 0; i < CALLS_MAX; i++) {
        struct call *c = &f->calls[i];
        if (!c->ends_ms || c->ends_ms > now_ms)
            continue;
        struct rk_place_vm *vm = vm_of(f, c->node, c->vm);
        rk_place_note_first_byte(vm, &c->job, now_ms);
        rk_place_note_end(f->nodes[c->node], vm, &c->job, RK_PLACE_DONE, now_ms);
        f->running[c->vm]--;
        f->served++;
        c->ends_ms = 0;
    }
}

/* A VM falls over at the refusal that is one too many in a second. */
static void refuse(struct fleet *f, int vm, int64_t now_ms)
{
    int64_t *last = &f->refused_ms[vm][f->refused[vm]++ % (REFUSALS_PER_S + 1)];
    f->refused_sum++;
    if (*last && now_ms - *last < SECOND_MS)
        f->falls++;
    *last = now_ms;
}

/* Returns false if the node has no room for a call. */
static bool send(struct fleet *f, int node, int64_t now_ms)
{
    struct rk_place_query q = {.service = "plain"};
    struct rk_engine_forecast forecast;
    struct rk_place_vm *vm = rk_place_choose(f->nodes[node], &q, now_ms, &forecast);
    struct rk_place_job job;
    if (!vm)
        return false;
    int number = vm->row.id[3] - '0';
    rk_place_note_sent(f->nodes[node], vm, &q, now_ms, &job);
    if (f->running[number] >= SLOTS) {
        rk_place_note_end(f->nodes[node], vm, &job, RK_PLACE_REFUSED, now_ms);
        refuse(f, number, now_ms);
        return true;
    }
    f->running[number]++;
    for (int i = 0; i < CALLS_MAX; i++)
        if (!f->calls[i].ends_ms) {
            f->calls[i] = (struct call){node, number, now_ms + WORK_MS, job};
            break;
        }
    return true;
}

/* Sends a call of a caller at the node. Nodes that share VMs take it if the node
 * itself does not. */
static void take(struct fleet *f, struct rk_rng *rng, int node, int64_t now_ms)
{
    bool taken = send(f, node, now_ms);
    for (int i = 0; i < MAX_FORWARDS && !taken && f->sharing_len; i++) {
        int peer = f->sharing[rk_rng_below(rng, (uint32_t)f->sharing_len)];
        f->forwarded++;
        taken = send(f, peer, now_ms);
    }
}

/* Each node gets what its peers reported last. */
static void report(struct fleet *f, int64_t now_ms)
{
    for (int n = 0; n < f->nodes_len; n++) {
        struct rk_vm_load loads[VMS];
        memset(loads, 0, sizeof(loads));
        for (int i = 0; i < VMS; i++) {
            const struct rk_place_vm *vm = vm_of(f, n, i);
            rk_strcpy(loads[i].id, RK_ID_MAX, vm->row.id);
            loads[i].running = (uint32_t)(f->running[i] - vm->running);
        }
        rk_place_set_loads(f->nodes[n], loads, VMS, now_ms);
    }
}

/* Runs the fleet for RUN_MS at a multiple of what all VMs can serve. */
static void run(struct fleet *f, double load, int64_t start_ms)
{
    struct rk_rng rng = {.state = 1};
    double calls_per_ms = load * VMS * SLOTS / WORK_MS;
    double due = 0;
    for (int64_t now_ms = start_ms; now_ms < start_ms + RUN_MS; now_ms++) {
        end_calls(f, now_ms);
        if (now_ms % REPORT_MS == 0)
            report(f, now_ms);
        for (due += calls_per_ms * 2 * rk_rng_below(&rng, 1000) / 1000.0; due >= 1;
             due--)
            take(f, &rng, (int)rk_rng_below(&rng, (uint32_t)f->nodes_len), now_ms);
    }
}

static void check(int nodes, double load, double served_min)
{
    struct fleet f;
    create(&f, nodes);
    run(&f, USUAL_LOAD, 1000); /* the nodes learn how long calls take */
    make_brittle(&f, 1000 + RUN_MS);
    run(&f, load, 1000 + RUN_MS);
    double capacity = (double)VMS * SLOTS * RUN_MS / WORK_MS;
    double offered = load < 1 ? load * capacity : capacity;
    printf("%d nodes, load %.1f: %d falls, %d refused, %d forwarded, %.2f served\n",
           nodes, load, f.falls, f.refused_sum, f.forwarded, f.served / offered);
    assert_in_range(f.falls, 0, 2);
    assert_true(f.served >= served_min * offered);
    destroy(&f);
}

/* Guards against VMs that fall over because each node, knowing only its own calls
 * and old reports, sends them what all nodes together have no room for. */
static void brittle_vms_stand_an_overload(void **state)
{
    (void)state;
    check(4, 3, 0.2);
    check(8, 3, 0.2);
}

/* Guards against the same where there are more nodes than slots: one call of each
 * node is more than a VM has room for. */
static void brittle_vms_stand_an_overload_of_many_nodes(void **state)
{
    (void)state;
    check(24, 3, 0.2);
    check(96, 3, 0.2);
}

/* Guards against brittle VMs that get little of a load which they can bear. */
static void brittle_vms_serve_a_usual_load(void **state)
{
    (void)state;
    check(8, USUAL_LOAD, 0.9);
    check(96, USUAL_LOAD, 0.9);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(brittle_vms_stand_an_overload),
        cmocka_unit_test(brittle_vms_stand_an_overload_of_many_nodes),
        cmocka_unit_test(brittle_vms_serve_a_usual_load),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
