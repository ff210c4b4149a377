/* Reachability of the VMs from this node, and which of them to probe. */
#include <stdlib.h>
#include <string.h>

#include "core/place_impl.h"

/* VMs of a service that may become unreachable, with no successful connect in
 * between, before the path to the whole service counts as lost. */
#define FAILED_VMS_MAX 4
/* VMs without a failure that are probed after the first failure. */
#define OTHER_PROBES 3
/* Between probes of an unreachable VM. The interval grows with the time for which
 * it has been unreachable, to the longest one after 16 s. */
#define PROBE_INTERVAL_MIN_MS 400
#define PROBE_INTERVAL_MAX_MS 2000
#define PROBE_AGE_DIVISOR     10

static struct rk_place_reach *find_reach(const struct rk_place *p,
                                         const char *service)
{
    struct rk_place_reach *r = p->reaches;
    while (r && strcmp(r->service, service) != 0)
        r = r->next;
    return r;
}

struct rk_place_reach *rk_place_reach_get(struct rk_place *p, const char *service)
{
    struct rk_place_reach *r = find_reach(p, service);
    if (r)
        return r;
    r = rk_alloc(1, sizeof(*r));
    rk_strcpy(r->service, sizeof(r->service), service);
    r->next = p->reaches;
    p->reaches = r;
    return r;
}

void rk_place_reaches_trim(struct rk_place *p)
{
    size_t idle = 0;
    for (struct rk_place_reach **at = &p->reaches; *at;) {
        struct rk_place_reach *r = *at;
        if (r->vms || ++idle <= RK_IDLE_SERVICES_MAX) {
            at = &r->next;
            continue;
        }
        *at = r->next;
        free(r);
    }
}

void rk_place_reaches_free(struct rk_place *p)
{
    for (struct rk_place_reach *r = p->reaches, *next; r; r = next) {
        next = r->next;
        free(r);
    }
    p->reaches = NULL;
}

/* Returns true if all usable VMs of the service are unreachable. */
static bool are_all_unreachable(const struct rk_place *p,
                                const struct rk_place_reach *r)
{
    bool any = false;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next) {
        if (v->reach != r || !rk_place_is_usable(v))
            continue;
        if (!v->unreachable_since_ms)
            return false;
        any = true;
    }
    return any;
}

void rk_place_note_heard(struct rk_place_vm *vm, bool connected, int64_t now_ms)
{
    vm->heard_ms = now_ms;
    if (!connected)
        return;
    struct rk_place_reach *r = vm->reach;
    r->connected_ms = now_ms;
    r->failed_vms = 0;
    r->lost_ms = 0;
    if (!vm->unreachable_since_ms)
        return;
    vm->unreachable_since_ms = 0;
    vm->losses_in_row = 0;
    vm->paused_until_ms = 0;
}

void rk_place_note_unreachable(struct rk_place *p, struct rk_place_vm *vm,
                               int64_t now_ms)
{
    struct rk_place_reach *r = vm->reach;
    if (vm->unreachable_since_ms)
        return;
    vm->unreachable_since_ms = now_ms;
    if (!r->failed_vms++)
        r->probes_left = OTHER_PROBES;
    if (!r->lost_ms &&
        (r->failed_vms >= FAILED_VMS_MAX || are_all_unreachable(p, r)))
        r->lost_ms = now_ms;
}

void rk_place_suspect(struct rk_place_vm *vm)
{
    vm->probe_pending = true;
}

bool rk_place_reaches_service(const struct rk_place *p, const char *service)
{
    const struct rk_place_reach *r = find_reach(p, service);
    return !r || !r->lost_ms;
}

static bool has_unreachable(const struct rk_place *p,
                            const struct rk_place_reach *r)
{
    for (const struct rk_place_vm *v = p->vms; v; v = v->next)
        if (v->reach == r && rk_place_is_usable(v) && v->unreachable_since_ms)
            return true;
    return false;
}

bool rk_place_has_unreachable(const struct rk_place *p, const char *service)
{
    const struct rk_place_reach *r = find_reach(p, service);
    return r && has_unreachable(p, r);
}

size_t rk_place_unreachable_len(const struct rk_place *p)
{
    size_t len = 0;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next)
        len += rk_place_is_usable(v) && v->unreachable_since_ms;
    return len;
}

bool rk_place_heard_other(const struct rk_place *p, const struct rk_place_vm *vm,
                          int64_t since_ms)
{
    bool has_other = false, heard_any = false;
    for (const struct rk_place_vm *v = p->vms; v; v = v->next) {
        if (v == vm || !v->listed)
            continue;
        bool heard = v->heard_ms >= since_ms;
        heard_any = heard_any || heard;
        if (v->reach != vm->reach)
            continue;
        if (heard)
            return true;
        has_other = true;
    }
    return heard_any && !has_other;
}

/* ---- probes ---- */

/* Returns true if the VM is probed because another one of its service has become
 * unreachable: the answer tells whether the path or that VM is lost. */
static bool shows_whether_lost(const struct rk_place_vm *v)
{
    const struct rk_place_reach *r = v->reach;
    return r->failed_vms && r->probes_left && v->probed_ms <= r->connected_ms;
}

static int64_t probe_interval_ms(int64_t unreachable_ms)
{
    int64_t ms = PROBE_INTERVAL_MIN_MS + unreachable_ms / PROBE_AGE_DIVISOR;
    return ms < PROBE_INTERVAL_MAX_MS ? ms : PROBE_INTERVAL_MAX_MS;
}

/* While the path to a service is lost, its VMs that have not failed are probed like
 * those that have. */
static bool is_probe_due(const struct rk_place_vm *v, int64_t now_ms)
{
    if (!rk_place_is_usable(v))
        return false;
    int64_t since_ms =
        v->unreachable_since_ms ? v->unreachable_since_ms : v->reach->lost_ms;
    if (since_ms)
        return now_ms - v->probed_ms >= probe_interval_ms(now_ms - since_ms);
    return v->probe_pending || shows_whether_lost(v);
}

/* VMs that get no calls anyway are not probed, so what is known of them is dropped,
 * and with the last unreachable VM the loss of a service. Otherwise a service whose
 * VMs were all replaced, or a VM that is used again later, would stay lost. */
static void drop_unusable(struct rk_place *p)
{
    for (struct rk_place_vm *v = p->vms; v; v = v->next)
        if (!rk_place_is_usable(v))
            v->unreachable_since_ms = 0;
    for (struct rk_place_reach *r = p->reaches; r; r = r->next) {
        if (!r->lost_ms || has_unreachable(p, r))
            continue;
        r->lost_ms = 0;
        r->failed_vms = 0;
    }
}

struct rk_place_vm *rk_place_next_probe(struct rk_place *p, int64_t now_ms)
{
    struct rk_place_vm *due = NULL;
    drop_unusable(p);
    for (struct rk_place_vm *v = p->vms; v; v = v->next)
        if (is_probe_due(v, now_ms) && (!due || v->probed_ms < due->probed_ms))
            due = v;
    if (!due)
        return NULL;
    if (!due->unreachable_since_ms && due->reach->probes_left)
        due->reach->probes_left--;
    due->probe_pending = false;
    due->probed_ms = now_ms;
    return due;
}

const struct rk_place_reach *rk_place_next_reach_change(struct rk_place *p)
{
    struct rk_place_reach *r = p->reaches;
    while (r && r->reported_lost == (r->lost_ms != 0))
        r = r->next;
    if (r)
        r->reported_lost = r->lost_ms != 0;
    return r;
}
