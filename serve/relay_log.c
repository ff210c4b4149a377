/* Log events and histograms of relayed calls, and of what they show about VMs. */
#include "callers/server.h"
#include "common/eventlog.h"
#include "common/latency.h"
#include "serve/relay_call_impl.h"

#define LOG_SAMPLE_ONE_IN 16 /* of successful calls */

/* Successful calls are logged as a sample. The choice depends on the request id
 * only, so all events of a sampled call are logged. */
static bool is_sampled(const struct rk_relay_call *x)
{
    return rk_hash_str(0, x->id) % LOG_SAMPLE_ONE_IN == 0;
}

void rk_call_log_sent(const struct rk_relay_call *x)
{
    if (!is_sampled(x))
        return;
    RK_EVENT("call.sent", RK_S("request", x->id), RK_S("vm", x->vm->row.id),
             RK_S("vm_version", x->vm->row.version), RK_N("attempt", x->attempts),
             RK_N("first_ms", (int64_t)x->forecast.ms),
             RK_N("doubt_ms", (int64_t)x->forecast.std_error_ms),
             RK_N("read_tokens", (int64_t)x->job.load.uncached_tokens),
             RK_N("waiting_tokens", (int64_t)x->job.load.waiting_tokens),
             RK_N("running", (int64_t)x->job.load.running),
             RK_N("home", rk_place_preferred_index(x->r->place, &x->query, x->vm)),
             RK_N("speed_pct", rk_place_speed_pct(x->vm)));
}

/* Returns the value of a header of the caller's request; "": there is none. */
static const char *caller_header(const struct rk_relay_call *x, const char *name)
{
    const char *value =
        x->client ? rk_head_get(rk_client_head(x->client), name) : "";
    return value ? value : "";
}

void rk_call_log_resumed(const struct rk_relay_call *x)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    RK_EVENT("call.resumed", RK_S("request", x->id),
             RK_S("resumes", caller_header(x, d->resumes)),
             RK_S("by", x->begun ? "node" : "caller"),
             RK_S("after",
                  x->begun ? x->events.last_id : caller_header(x, d->resume_after)),
             RK_S("vm", x->vm->row.id), RK_S("vm_version", x->vm->row.version));
}

void rk_call_log_forwarded(const struct rk_relay_call *x)
{
    if (is_sampled(x))
        RK_EVENT("forward.start", RK_S("request", x->id), RK_S("peer", x->peer),
                 RK_N("attempt", x->attempts));
}

void rk_call_log_first_byte(const struct rk_relay_call *x, int64_t observed_ms)
{
    if (is_sampled(x))
        RK_EVENT("call.first", RK_S("request", x->id), RK_S("vm", x->vm->row.id),
                 RK_N("expected_ms", (int64_t)x->job.expected_ms),
                 RK_N("seen_ms", observed_ms));
}

/* Returns the framing of the attempt's answer; "": its head has not arrived. */
static const char *framing_name(const struct rk_relay_call *x)
{
    return x->vm_head_ms ? rk_framing_name(x->framing) : "";
}

void rk_call_log_end(const struct rk_relay_call *x, int status, const char *why)
{
    bool success = status && status < HTTP_BAD_REQUEST && !why[0];
    if (success && !is_sampled(x))
        return;
    RK_EVENT("call.end", RK_S("request", x->id), RK_S("route", x->route->name),
             RK_S("organisation", x->org ? x->org->name : ""),
             RK_S("vm", x->last_vm), RK_S("domain", x->last_vm_domain),
             RK_N("version", x->routes->version), RK_N("status", status),
             RK_S("why", why), RK_S("framing", framing_name(x)),
             RK_N("attempts", x->attempts), RK_N("may_have_run", x->may_have_run),
             RK_N("first_ms", x->first_ms), RK_N("pause_ms", x->pause_ms),
             RK_N("target_ms", x->route->target_first_byte_ms),
             RK_N("target_gap_ms", x->route->target_gap_ms),
             RK_N("took_ms", rk_mono_ms() - x->started_ms));
}

void rk_call_record_latency(const struct rk_relay_call *x, const char *outcome)
{
    if (x->first_ms >= 0)
        rk_latency_observe(RK_LATENCY_FIRST_BYTE, x->query.service, outcome,
                           x->first_ms);
    rk_latency_observe(RK_LATENCY_TOTAL, x->query.service, outcome,
                       rk_mono_ms() - x->started_ms);
}

void rk_call_log_attempt_failed(const struct rk_relay_call *x, const char *what,
                                bool sent)
{
    RK_EVENT("call.attempt_failed", RK_S("request", x->id),
             RK_S("vm", x->vm ? x->vm->row.id : ""),
             RK_S("vm_version", x->vm ? x->vm->row.version : ""),
             RK_S("what", what), RK_N("sent", sent), RK_N("attempt", x->attempts),
             RK_N("begun", x->begun), RK_S("framing", framing_name(x)),
             RK_N("after_ms", rk_mono_ms() - x->started_ms));
}

void rk_relay_log_speed_changes(struct rk_relay *r, int64_t now_ms)
{
    const struct rk_place_vm *vm;
    while ((vm = rk_place_next_speed_change(r->place, now_ms)))
        RK_EVENT("vm.speed", RK_S("vm", vm->row.id),
                 RK_S("service", vm->row.service), RK_N("step", vm->speed_step),
                 RK_N("speed_pct", rk_place_speed_pct(vm)),
                 RK_N("calls", (int64_t)vm->lasting_speed.calls));
}
