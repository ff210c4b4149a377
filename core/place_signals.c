/* What vms say of themselves, as the choice of vms goes by it. */
#include "core/place_impl.h"

unsigned rk_place_hear(struct rk_place *p, struct rk_place_vm *vm,
                       const struct rk_vm_said *said, int64_t now_ms)
{
    bool says = said->limited || said->leaving || said->rest_ms > 0;
    if (!vm->signal && !says)
        return 0;
    if (!vm->signal)
        vm->signal =
            rk_vm_signals_at(&p->signals, vm->hash, vm->row.domain, now_ms);
    if (!vm->signal)
        return 0;
    return rk_vm_signal_hear(vm->signal, said, now_ms);
}

void rk_place_forget_signals(struct rk_place *p, int64_t now_ms)
{
    if (!rk_vm_signals_len(&p->signals))
        return;
    rk_vm_signals_forget(&p->signals, now_ms);
    for (struct rk_place_vm *v = p->vms; v; v = v->next)
        v->signal = rk_vm_signals_find(&p->signals, v->hash);
}
