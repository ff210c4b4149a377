/* What a vm's answer says of the vm itself: read, and passed on to the choice of
 * vms. */
#include <stdlib.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "common/retry_after.h"
#include "serve/relay_call_impl.h"

#define RETRY_AFTER "Retry-After"
#define MILLI       1000.0

static void reject(const struct rk_relay_call *x, const char *name,
                   const char *text)
{
    rk_count(RK_C_VM_SIGNALS_BAD, 1);
    RK_WARN("vm.signal_rejected", RK_S("vm", x->vm->row.id), RK_S("header", name),
            RK_S("value", text));
}

static bool read_limit(const struct rk_relay_call *x, const struct rk_head *head,
                       double *per_s)
{
    const char *name = x->r->opt.dialect->limit;
    const char *text = rk_head_get(head, name);
    if (!text)
        return false;
    if (rk_parse_decimal(text, per_s))
        return true;
    reject(x, name, text);
    return false;
}

static int64_t read_rest_ms(const struct rk_relay_call *x,
                            const struct rk_head *head)
{
    const char *text = rk_head_get(head, RETRY_AFTER);
    bool turned_away = head->status == HTTP_REFUSED || head->status == HTTP_QUOTA;
    if (!text || !turned_away)
        return 0;
    int64_t rest_ms = rk_retry_after_ms(text);
    if (rest_ms >= 0)
        return rest_ms;
    reject(x, RETRY_AFTER, text);
    return 0;
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
    said.limited = read_limit(x, head, &said.limit_per_s);
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
