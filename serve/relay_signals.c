/* What a vm's answer says of the vm itself: read, and passed on to the choice of
 * vms. */
#include <math.h>
#include <stdlib.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "serve/relay_call_impl.h"

#define REST_MAX_MS (24 * 3600 * RK_MS_PER_S)
#define MILLI       1000.0

/* A number of 0 or more. False: there is none, or none that can be read. */
static bool read_number(const struct rk_relay_call *x, const struct rk_head *head,
                        const char *name, double *out)
{
    const char *text = rk_head_get(head, name);
    char *end;
    if (!text)
        return false;
    *out = strtod(text, &end);
    if (end != text && !*end && isfinite(*out) && *out >= 0)
        return true;
    rk_count(RK_C_VM_SIGNALS_BAD, 1);
    RK_WARN("vm.signal_rejected", RK_S("vm", x->vm->row.id), RK_S("header", name),
            RK_S("value", text));
    return false;
}

static bool is_turned_away(const struct rk_head *head)
{
    return head->status == HTTP_REFUSED || head->status == HTTP_QUOTA;
}

static int64_t read_rest_ms(const struct rk_relay_call *x,
                            const struct rk_head *head)
{
    double s;
    if (!is_turned_away(head) || !read_number(x, head, "Retry-After", &s))
        return 0;
    return s * RK_MS_PER_S < REST_MAX_MS ? rk_s_to_ms(s) : REST_MAX_MS;
}

/* Is it certain that the call's vm made the answer? Another process may have got
 * its address, and says so by 421. */
static bool is_of_vm(const struct rk_relay_call *x, const struct rk_head *head)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    bool named = rk_head_get(head, d->request_id) != NULL;
    return head->status != HTTP_MISDIRECTED &&
           (named || rk_head_get(head, d->not_run));
}

static struct rk_vm_said read_said(const struct rk_relay_call *x,
                                   const struct rk_head *head)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    const char *leaving = rk_head_get(head, d->leaving);
    struct rk_vm_said said = {.leaving = leaving && atoi(leaving) > 0,
                              .rest_ms = read_rest_ms(x, head)};
    said.limited = read_number(x, head, d->limit, &said.limit_per_s);
    said.unlimited =
        !rk_head_get(head, d->limit) && rk_head_get(head, d->signature);
    return said;
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
    if (changed & RK_VM_REST_CHANGED)
        RK_EVENT("vm.rest", RK_S("vm", id), RK_S("request", x->id),
                 RK_N("rest_ms", v->rest_until_ms - rk_mono_ms()));
}

void rk_call_hear_vm(struct rk_relay_call *x, const struct rk_head *head)
{
    if (!is_of_vm(x, head))
        return;
    const struct rk_vm_said said = read_said(x, head);
    log_changes(x, rk_place_hear(x->r->place, x->vm, &said, rk_mono_ms()));
}
