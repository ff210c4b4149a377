/* What VMs say of themselves in their answers, kept for each life of a VM: how many
 * requests a second they take from all nodes together, that they leave, and that
 * they want nothing from this node for a while. It outlasts the list of VMs, which
 * lags behind and loses entries while the platform's store is away. Pure. */
#ifndef RK_CORE_VM_SIGNALS_H
#define RK_CORE_VM_SIGNALS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

#define RK_VM_SIGNALS_MAX 16384 /* rows */

/* What one answer says. */
struct rk_vm_said {
    bool limited;
    double limit_per_s; /* requests, 0 or more; if limited */
    bool unlimited;     /* it is the VM's answer, and names no limit */
    bool leaving;
    int64_t rest_ms; /* 0: none is asked for */
};

/* All that is known of one life of a VM. */
struct rk_vm_signal {
    uint64_t life; /* rk_vm_life() */
    char domain[RK_ID_MAX];
    int64_t heard_ms; /* anything, here or by a peer, last */
    bool limited;
    double limit_per_s;
    int64_t limit_ms; /* when the VM gave the answer that decides; 0: none did */
    bool leaving;
    int64_t rest_until_ms; /* of this node alone; 0: never asked for */
};

struct rk_vm_signals {
    struct lh_table *by_life; /* of struct rk_vm_signal; NULL: empty */
};

/* Bits of what changed by an answer. */
enum {
    RK_VM_LIMIT_CHANGED = 1,
    RK_VM_LEAVING_CHANGED = 2,
    RK_VM_REST_CHANGED = 4,
};

/* NULL: nothing is known of it. Valid until rk_vm_signals_forget(). */
struct rk_vm_signal *rk_vm_signals_find(const struct rk_vm_signals *s,
                                        uint64_t life);
/* The row of a life, made if need be; NULL: there is no room for it. */
struct rk_vm_signal *rk_vm_signals_at(struct rk_vm_signals *s, uint64_t life,
                                      const char *domain, int64_t now_ms);
/* An answer that came now. Returns what changed. */
unsigned rk_vm_signal_hear(struct rk_vm_signal *v, const struct rk_vm_said *said,
                           int64_t now_ms);
/* Drop those that nothing was heard of for long. */
void rk_vm_signals_forget(struct rk_vm_signals *s, int64_t now_ms);
size_t rk_vm_signals_len(const struct rk_vm_signals *s);
void rk_vm_signals_free(struct rk_vm_signals *s);

#endif
