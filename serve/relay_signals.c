/* Reads what a VM's answer says about the VM itself (rate limit, leaving, brittle,
 * cooldown) and passes it to placement. */
#include <math.h>
#include <stdlib.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "common/retry_after.h"
#include "serve/relay_call_impl.h"

#define RETRY_AFTER "Retry-After"
#define MILLI       1000.0
/* Longest cooldown that a VM can request at a time. */
#define COOLDOWN_MAX_MS (60 * RK_MS_PER_S)

static void reject_signal(const struct rk_relay_call *x, const char *name,
                          const char *text)
{
    rk_counter_add(RK_C_VM_SIGNALS_REJECTED, 1);
    RK_WARN("vm.signal_rejected", RK_S("vm", x->vm->row.id), RK_S("header", name),
            RK_S("value", text));
}

/* Reads a rate, RK_VM_RATE_MAX_PER_S at most, from the header with this name.
 * Returns false if it is missing or invalid. */
static bool parse_rate(const struct rk_relay_call *x, const struct rk_head *head,
                       const char *name, double *per_s)
{
    const char *text = rk_head_get(head, name);
    if (!text)
        return false;
    if (!rk_parse_decimal(text, per_s)) {
        reject_signal(x, name, text);
        return false;
    }
    *per_s = fmin(*per_s, RK_VM_RATE_MAX_PER_S);
    return true;
}

/* Returns the cooldown that a refusal requests by Retry-After; 0 if none. A longer
 * one is cut: VMs that all ask for a day by mistake would not be used again before
 * they restart. One that still refuses then asks again. */
static int64_t parse_cooldown_ms(const struct rk_relay_call *x,
                                 const struct rk_head *head)
{
    const char *text = rk_head_get(head, RETRY_AFTER);
    bool refused =
        head->status == HTTP_UNAVAILABLE || head->status == HTTP_TOO_MANY_REQUESTS;
    if (!text || !refused)
        return 0;
    int64_t cooldown_ms = rk_retry_after_ms(text);
    if (cooldown_ms >= 0)
        return cooldown_ms < COOLDOWN_MAX_MS ? cooldown_ms : COOLDOWN_MAX_MS;
    reject_signal(x, RETRY_AFTER, text);
    return 0;
}

/* Returns true if the answer was certainly made by the call's VM. Its address may
 * since have been given to another process, which answers 421. */
static bool is_from_vm(const struct rk_relay_call *x, const struct rk_head *head)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    bool named = rk_head_get(head, d->request_id) != NULL;
    return head->status != HTTP_MISDIRECTED_REQUEST &&
           (named || rk_head_get(head, d->not_run));
}

static struct rk_vm_advertised parse_signals(const struct rk_relay_call *x,
                                             const struct rk_head *head)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    const char *leaving = rk_head_get(head, d->leaving);
    struct rk_vm_advertised signals = {.leaving = leaving && atoi(leaving) > 0,
                                       .cooldown_ms = parse_cooldown_ms(x, head)};
    bool is_signed = rk_head_get(head, d->signature) != NULL;
    signals.limited = parse_rate(x, head, d->rate_limit, &signals.limit_per_s);
    signals.unlimited = is_signed && !rk_head_get(head, d->rate_limit);
    signals.brittle = parse_rate(x, head, d->brittle, &signals.refusals_per_s);
    signals.sturdy = is_signed && !rk_head_get(head, d->brittle);
    return signals;
}

static void log_changes(const struct rk_relay_call *x, unsigned changed)
{
    const struct rk_vm_signal *v = x->vm->signal;
    const char *id = x->vm->row.id;
    if (changed & RK_VM_LIMIT_CHANGED)
        RK_EVENT("vm.limit", RK_S("vm", id), RK_N("limited", v->limited),
                 RK_N("limit_per_1000_s", (int64_t)(v->limit_per_s * MILLI)));
    if (changed & RK_VM_LEAVING_CHANGED)
        RK_EVENT("vm.says_leaving", RK_S("vm", id), RK_S("request", x->id));
    if (changed & RK_VM_BRITTLE_CHANGED)
        RK_EVENT("vm.brittle", RK_S("vm", id), RK_N("brittle", v->brittle),
                 RK_N("refusals_per_1000_s", (int64_t)(v->refusals_per_s * MILLI)));
    if (changed & RK_VM_COOLDOWN_CHANGED)
        RK_EVENT("vm.rest", RK_S("vm", id), RK_S("request", x->id),
                 RK_N("rest_ms", v->cooldown_until_ms - rk_mono_ms()));
}

void rk_call_read_signals(struct rk_relay_call *x, const struct rk_head *head)
{
    if (!is_from_vm(x, head))
        return;
    const struct rk_vm_advertised signals = parse_signals(x, head);
    log_changes(x,
                rk_place_apply_signals(x->r->place, x->vm, &signals, rk_mono_ms()));
}
