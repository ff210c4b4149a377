/* Start and end of calls at VMs, and what the placement learns from them. */
#include "core/place_impl.h"

/* Pause after a VM was unreachable or unresponsive once. It doubles each further
 * time in a row. */
#define PAUSE_FIRST_MS 250
#define PAUSE_MAX_MS   2000
/* Pause after a refusal: the VM is full for a moment. */
#define PAUSE_REFUSED_MS 100

/* The call's prompt no longer waits at the VM: it was read, or the call has
 * ended. */
static void end_prompt_wait(struct rk_place_vm *vm, struct rk_place_job *job)
{
    if (job->got_first_byte)
        return;
    job->got_first_byte = true;
    vm->awaiting_first_byte--;
    vm->waiting_tokens -= job->load.uncached_tokens;
    if (vm->waiting_tokens < 0)
        vm->waiting_tokens = 0;
}

void rk_place_note_first_byte(struct rk_place_vm *vm, struct rk_place_job *job,
                              int64_t now_ms)
{
    double took_ms = (double)(now_ms - job->sent_ms);
    if (job->got_first_byte)
        return;
    end_prompt_wait(vm, job);
    if (job->resumes_stream)
        return;
    rk_vm_health_note_time(&vm->health, took_ms, job->expected_ms, now_ms);
    struct rk_canary_stats *canary =
        rk_place_canary_stats(vm, job->canary_route, now_ms);
    if (canary)
        rk_canary_add_time(canary, took_ms, job->expected_ms);
    /* The speed of the service is that of its mean VM. */
    double mean_vm_ms = took_ms / vm->speed_factor;
    if (job->engine)
        rk_engine_learn(&vm->speed->engine, &job->load, mean_vm_ms);
    else
        rk_service_speed_note_plain(vm->speed, job->in_flight_per_slot, mean_vm_ms);
}

/* The duration counts only before the first byte of a new call. A resumed
 * stream, or one that broke off, shows just that it failed. */
static void note_failure(struct rk_place_vm *vm, const struct rk_place_job *job,
                         int64_t now_ms)
{
    bool timed = !job->got_first_byte && !job->resumes_stream;
    double took_ms = timed ? (double)(now_ms - job->sent_ms) : 0;
    rk_vm_health_note_failure(&vm->health, took_ms, job->expected_ms, now_ms);
}

static void pause_vm(struct rk_place_vm *vm, int64_t now_ms)
{
    int64_t ms = PAUSE_FIRST_MS;
    for (int i = 0; i < vm->losses_in_row && ms < PAUSE_MAX_MS; i++)
        ms *= 2;
    vm->losses_in_row++;
    vm->paused_until_ms = now_ms + (ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS);
}

void rk_place_note_unresponsive(struct rk_place_vm *vm,
                                const struct rk_place_job *job, int64_t now_ms)
{
    note_failure(vm, job, now_ms);
    pause_vm(vm, now_ms);
}

/* Returns true if the refusal is explained by full slots or by the VM's own
 * limit or cooldown. Such a VM is avoided for that reason already, and no longer
 * than the reason lasts. */
static bool is_refusal_expected(const struct rk_place_vm *vm, int64_t now_ms)
{
    return rk_place_is_full(vm) || !rk_place_may_send(vm, now_ms);
}

void rk_place_note_end(struct rk_place *p, struct rk_place_vm *vm,
                       struct rk_place_job *job, enum rk_place_outcome end,
                       int64_t now_ms)
{
    vm->calls--;
    vm->running--;
    bool failed = end == RK_PLACE_LOST || end == RK_PLACE_ERROR;
    /* What a node observes that has lost its own path says nothing about the VM. */
    if (!vm->reach->lost_ms && (failed || end == RK_PLACE_UNREACHED)) {
        if (failed)
            note_failure(vm, job, now_ms);
        struct rk_canary_stats *canary =
            rk_place_canary_stats(vm, job->canary_route, now_ms);
        if (canary)
            rk_canary_add_failure(canary,
                                  job->got_first_byte && !job->resumes_stream);
    }
    end_prompt_wait(vm, job);
    switch (end) {
    case RK_PLACE_DONE:
        vm->losses_in_row = 0;
        vm->paused_until_ms = 0;
        break;
    case RK_PLACE_LOST:
        pause_vm(vm, now_ms);
        break;
    case RK_PLACE_REFUSED:
        if (!is_refusal_expected(vm, now_ms))
            rk_vm_health_note_refusal(&vm->health, now_ms);
        if (vm->signal)
            rk_vm_signal_note_refused(
                vm->signal, rk_place_sharing_nodes(p, vm, job->engine), now_ms);
        if (vm->paused_until_ms < now_ms + PAUSE_REFUSED_MS)
            vm->paused_until_ms = now_ms + PAUSE_REFUSED_MS;
        break;
    case RK_PLACE_ERROR:
    case RK_PLACE_UNREACHED:
    case RK_PLACE_CANCELLED:
        break;
    }
    p->has_removable = p->has_removable || rk_place_is_removable(vm);
}
