/* Probes of VMs: connects to those that this node may not reach, without a request,
 * so that no caller's call has to find out. A probe counts in this node's share of
 * a VM's connections: a VM resets those beyond its limit. */
#include <limits.h>
#include <stdlib.h>
#include <string.h>

#include "common/conn.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "serve/relay_call_impl.h"

#define TICK_MS            100
#define PROBES_PER_TICK    8
#define CONNECT_TIMEOUT_MS 250
/* A connection that is not reset for this long shows that the VM is reachable. */
#define HOLD_MS 20

/* A probe in progress. */
struct rk_vm_probe {
    struct rk_relay *r;
    struct rk_vm_probe *next;
    char vm_id[RK_ID_MAX], addr[RK_ADDR_MAX];
    uint64_t vm_hash; /* of the incarnation */
    struct rk_conn *conn;
    struct rk_timer hold;
};

static void log_changes(struct rk_relay *r)
{
    const struct rk_place_reach *reach;
    while ((reach = rk_place_next_reach_change(r->place)))
        RK_EVENT(reach->lost_ms ? "service.unreachable" : "service.reachable",
                 RK_S("service", reach->service),
                 RK_N("vms_failed", reach->failed_vms));
}

static void free_probe(struct rk_vm_probe *k)
{
    rk_conn_abort(k->conn);
    rk_timer_stop(k->r->loop, &k->hold);
    rk_upstream_release_conn(k->r->upstreams, k->vm_id, k->addr);
    free(k);
}

static void unlink_probe(struct rk_vm_probe *k)
{
    struct rk_vm_probe **at = &k->r->vm_probes;
    while (*at != k)
        at = &(*at)->next;
    *at = k->next;
}

void rk_relay_note_unreachable(struct rk_relay *r, struct rk_place_vm *vm)
{
    rk_place_note_unreachable(r->place, vm, rk_mono_ms());
    rk_upstream_pools_close_idle(r->upstreams, vm->row.id);
    log_changes(r);
    rk_relay_start_probes(r);
}

void rk_relay_note_heard(struct rk_relay *r, struct rk_place_vm *vm, bool connected)
{
    rk_place_note_heard(vm, connected, rk_mono_ms());
    if (connected)
        log_changes(r);
}

void rk_relay_suspect_vm(struct rk_relay *r, struct rk_place_vm *vm)
{
    rk_place_suspect(vm);
    rk_relay_start_probes(r);
}

/* Ends a probe and notes its result. */
static void end_probe(struct rk_vm_probe *k, bool connected)
{
    struct rk_relay *r = k->r;
    struct rk_place_vm *vm = rk_place_find(r->place, k->vm_id);
    bool is_current = vm && vm->hash == k->vm_hash;
    unlink_probe(k);
    free_probe(k);
    if (!is_current)
        return;
    if (connected)
        rk_relay_note_heard(r, vm, true);
    else
        rk_relay_note_unreachable(r, vm);
}

static void on_held(void *ctx)
{
    end_probe(ctx, true);
}

static void on_connected(void *ctx)
{
    struct rk_vm_probe *k = ctx;
    rk_timer_start(k->r->loop, &k->hold, HOLD_MS);
}

static void on_data(void *ctx, const char *data, size_t len)
{
    (void)data;
    (void)len;
    end_probe(ctx, true);
}

static void on_eof(void *ctx)
{
    end_probe(ctx, true);
}

static void on_error(void *ctx, int error)
{
    (void)error;
    end_probe(ctx, false);
}

static const struct rk_conn_ops probe_ops = {.on_connected = on_connected,
                                             .on_data = on_data,
                                             .on_eof = on_eof,
                                             .on_error = on_error};

/* Returns false if all of this node's connections to the VM have calls. */
static bool reserve_conn(struct rk_relay *r, const struct rk_place_vm *vm)
{
    const struct rk_service_info *service =
        r->routes ? rk_routes_service(r->routes, vm->row.service) : NULL;
    int max_conns = service ? rk_relay_max_conns(r, service) : INT_MAX;
    return rk_upstream_reserve_conn(r->upstreams, vm->row.id, vm->row.addr,
                                    max_conns);
}

static void start_probe(struct rk_relay *r, struct rk_place_vm *vm)
{
    if (!reserve_conn(r, vm))
        return;
    struct rk_vm_probe *k = rk_alloc(1, sizeof(*k));
    *k = (struct rk_vm_probe){.r = r, .vm_hash = vm->hash};
    k->hold = (struct rk_timer){.fn = on_held, .ctx = k};
    rk_strcpy(k->vm_id, sizeof(k->vm_id), vm->row.id);
    rk_strcpy(k->addr, sizeof(k->addr), vm->row.addr);
    k->conn =
        rk_conn_connect(r->loop, vm->row.addr, CONNECT_TIMEOUT_MS, &probe_ops, k);
    if (!k->conn) {
        rk_upstream_release_conn(r->upstreams, k->vm_id, k->addr);
        free(k);
        rk_relay_note_unreachable(r, vm);
        return;
    }
    rk_counter_add(RK_C_VM_PROBES, 1);
    k->next = r->vm_probes;
    r->vm_probes = k;
}

static void on_tick(void *ctx)
{
    struct rk_relay *r = ctx;
    struct rk_place_vm *vm = NULL;
    for (int i = 0; i < PROBES_PER_TICK; i++) {
        vm = rk_place_next_probe(r->place, rk_mono_ms());
        if (!vm)
            break;
        start_probe(r, vm);
    }
    log_changes(r);
    if (vm || r->vm_probes || rk_place_unreachable_len(r->place))
        rk_timer_start(r->loop, &r->probe_timer, TICK_MS);
}

void rk_relay_start_probes(struct rk_relay *r)
{
    if (!r->probe_timer.slot)
        rk_timer_start(r->loop, &r->probe_timer, 0);
}

void rk_relay_probes_init(struct rk_relay *r)
{
    r->probe_timer = (struct rk_timer){.fn = on_tick, .ctx = r};
}

void rk_relay_probes_free(struct rk_relay *r)
{
    rk_timer_stop(r->loop, &r->probe_timer);
    for (struct rk_vm_probe *k = r->vm_probes, *next; k; k = next) {
        next = k->next;
        free_probe(k);
    }
    r->vm_probes = NULL;
}
