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
    /* Of this node's copy: */
    bool own;           /* what changed last was heard here, not told by a peer */
    int64_t changed_ms; /* when it came to say something else */
    /* Nodes that share the limit, this one among them; 0: this one has no part in
     * it; RK_SENDERS_UNKNOWN: it wasn't told yet. */
    int senders;
    int64_t part_from_ms; /* since when this node has its part */
    int64_t sent_ms;      /* its last request; 0: none */
};

#define RK_SENDERS_UNKNOWN (-1)

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
/* How many nodes share a VM's limit, this one among them, of this one and others
 * that might, by hashes of their ids; 0: this one doesn't. Nodes that know the same
 * others agree. Each that shares it sends at an even pace, so that all of them
 * together exceed it by one request each at the most. They are a few more than
 * requests a second. */
int rk_vm_limit_part(const struct rk_vm_signal *v, uint64_t own,
                     const uint64_t *others, size_t len);
/* Of the nodes that share its limit, this one included; 0: it isn't one of them. */
void rk_vm_signal_set_senders(struct rk_vm_signal *v, int senders, int64_t now_ms);
/* Does the VM get nothing at all from this node, for as long as it says the same?
 */
bool rk_vm_signal_bars(const struct rk_vm_signal *v);
/* Until this node, or where it has no part in a limit another one, may send a
 * request; 0: it may now. */
int64_t rk_vm_signal_wait_ms(const struct rk_vm_signal *v, int64_t now_ms);
/* This node sends a request now. */
void rk_vm_signal_sent(struct rk_vm_signal *v, int64_t now_ms);
/* Was nothing heard of its limit for so long that it may be over? Its next request
 * had better go there. */
bool rk_vm_signal_is_stale(const struct rk_vm_signal *v, int64_t now_ms);

/* What a peer, or another thread of this node, knows of a life, by this node's
 * clock: the later answer decides on the limit. Returns what changed. */
unsigned rk_vm_signal_merge(struct rk_vm_signal *v, const struct rk_vm_signal *told,
                            int64_t now_ms);
/* An answer that came now. Returns what changed. */
unsigned rk_vm_signal_hear(struct rk_vm_signal *v, const struct rk_vm_said *said,
                           int64_t now_ms);
/* Drop those that nothing was heard of for long. */
void rk_vm_signals_forget(struct rk_vm_signals *s, int64_t now_ms);
size_t rk_vm_signals_len(const struct rk_vm_signals *s);
void rk_vm_signals_free(struct rk_vm_signals *s);

#endif
