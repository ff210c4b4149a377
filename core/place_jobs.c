/* How calls at vms begin and end, and what the choice of vms learns of it. */
#include "core/place_impl.h"

#define PAUSE_FIRST_MS   250 /* after a failure, doubling */
#define PAUSE_MAX_MS     2000
#define PAUSE_REFUSED_MS 100 /* after a refusal: it is full for a moment */

/* Its prompt is read, or will not be. */
static void stop_waiting(struct rk_place_vm *vm, struct rk_place_job *job)
{
    if (job->first)
        return;
    job->first = true;
    vm->unbegun--;
    vm->waiting_tokens -= job->load.unread;
    if (vm->waiting_tokens < 0)
        vm->waiting_tokens = 0;
}

void rk_place_first(struct rk_place_vm *vm, struct rk_place_job *job,
                    int64_t now_ms)
{
    double took_ms = (double)(now_ms - job->sent_ms);
    if (job->first)
        return;
    stop_waiting(vm, job);
    if (job->odd)
        return;
    rk_pace_learn(&vm->pace, took_ms, job->expected_ms, now_ms);
    struct rk_trial_seen *trial = rk_place_trial_of(vm, job->route, now_ms);
    if (trial)
        rk_trial_note_time(trial, took_ms, job->expected_ms);
    if (job->engine)
        rk_engine_learn(&vm->speed->engine, &job->load, took_ms);
    else
        rk_speed_plain_learn(vm->speed, job->in_hand_per_slot, took_ms);
}

/* A stream that is gone on with, or that broke off, tells only that it failed. */
static void note_failure(struct rk_place_vm *vm, const struct rk_place_job *job,
                         int64_t now_ms)
{
    bool timed = !job->first && !job->odd;
    double took_ms = timed ? (double)(now_ms - job->sent_ms) : 0;
    rk_pace_fail(&vm->pace, took_ms, job->expected_ms, now_ms);
}

static void pause_vm(struct rk_place_vm *vm, int64_t now_ms)
{
    int64_t ms = PAUSE_FIRST_MS;
    for (int i = 0; i < vm->failures && ms < PAUSE_MAX_MS; i++)
        ms *= 2;
    vm->failures++;
    vm->paused_until_ms = now_ms + (ms < PAUSE_MAX_MS ? ms : PAUSE_MAX_MS);
}

void rk_place_silent(struct rk_place_vm *vm, const struct rk_place_job *job,
                     int64_t now_ms)
{
    note_failure(vm, job, now_ms);
    pause_vm(vm, now_ms);
}

/* Is it known anyway why the vm turned a call away? Then it is passed over for
 * that, and no longer than that. */
static bool is_explained(const struct rk_place_vm *vm, int64_t now_ms)
{
    return rk_place_is_full(vm) || !rk_place_may_send(vm, now_ms);
}

void rk_place_ended(struct rk_place *p, struct rk_place_vm *vm,
                    struct rk_place_job *job, enum rk_place_end end, int64_t now_ms)
{
    vm->calls--;
    vm->running--;
    if (end == RK_PLACE_LOST || end == RK_PLACE_ERROR) {
        note_failure(vm, job, now_ms);
        struct rk_trial_seen *trial = rk_place_trial_of(vm, job->route, now_ms);
        if (trial)
            rk_trial_note_failure(trial, job->first && !job->odd);
    }
    stop_waiting(vm, job);
    switch (end) {
    case RK_PLACE_DONE:
        vm->failures = 0;
        vm->paused_until_ms = 0;
        break;
    case RK_PLACE_LOST:
        pause_vm(vm, now_ms);
        break;
    case RK_PLACE_REFUSED:
        if (!is_explained(vm, now_ms))
            rk_pace_refuse(&vm->pace, now_ms);
        if (vm->paused_until_ms < now_ms + PAUSE_REFUSED_MS)
            vm->paused_until_ms = now_ms + PAUSE_REFUSED_MS;
        break;
    case RK_PLACE_ERROR:
    case RK_PLACE_CALLED_OFF:
        break;
    }
    if (!vm->listed && !vm->calls)
        rk_place_sweep(p);
}
