/* Signals that VMs advertise in their answers, kept per incarnation of a VM: the
 * request rate that they accept from all nodes together, that they are leaving,
 * that they are brittle, and a cooldown requested of this node. A brittle VM falls
 * over if it has to refuse more than some requests a second for want of room. They
 * are kept independently of the list of VMs, which lags behind and loses entries
 * while the platform's store is unavailable.
 *
 * The nodes that share a limit are its senders. Each sends at an even interval.
 * Does no I/O and reads no clock. */
#ifndef RK_CORE_VM_SIGNALS_H
#define RK_CORE_VM_SIGNALS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

/* Requests or refusals per second beyond which a VM's rate is no limit any more. */
#define RK_VM_RATE_MAX_PER_S 1e9

/* Most incarnations that a table holds. */
#define RK_VM_SIGNALS_MAX 16384
/* Most nodes that share the slots of a brittle VM, if not all nodes do. */
#define RK_BRITTLE_SENDERS_MAX 64

/* Signals of one answer. */
struct rk_vm_advertised {
    bool limited;
    double limit_per_s; /* requests per second, 0 or more; valid if limited */
    bool unlimited;     /* the answer is the VM's own and names no limit */
    bool leaving;
    bool brittle;
    double refusals_per_s; /* that the VM stands, 0 or more; valid if brittle */
    bool
        sturdy; /* the answer is the VM's own and does not say that it is brittle */
    int64_t cooldown_ms; /* requested cooldown; 0: none */
};

/* All signals known of one incarnation of a VM. */
struct rk_vm_signal {
    uint64_t incarnation; /* hash of the VM's id and incarnation */
    char domain[RK_ID_MAX];
    /* Time of the last answer of the VM, or report of a peer about it. */
    int64_t last_received_ms;
    bool limited;
    double limit_per_s;
    /* Time of the last answer that stated the limit, changed or not, or that there
     * is none; 0: no answer yet. */
    int64_t limit_confirmed_ms;
    bool leaving;
    bool brittle;
    double refusals_per_s;        /* from all nodes together; valid if brittle */
    int64_t brittle_confirmed_ms; /* as limit_confirmed_ms */
    int64_t
        cooldown_until_ms; /* end of the cooldown of this node; 0: there was none */
    /* The members below are of this node's copy only. */
    bool is_own; /* the last change came from the VM itself, not from a peer */
    int64_t changed_ms; /* when a signal last changed */
    /* Number of nodes that share the limit, this one included. 0: this node has
     * no share. RK_SENDERS_UNKNOWN: not assigned yet. */
    int senders;
    int64_t share_from_ms; /* since when this node has its share */
    /* The share was given because nobody had confirmed the limit for long. */
    bool is_probe_share;
    int64_t sent_ms; /* last request of this node; 0: none */
    /* Until then this node sends a brittle VM nothing, because it refused a
     * request. */
    int64_t refused_until_ms;
    /* Number of nodes that share the slots of a brittle VM, this one included. 0:
     * this node has no share. RK_SENDERS_UNKNOWN: all nodes have one. */
    int brittle_senders;
};

/* Value of rk_vm_signal's senders before a share was assigned, and of its
 * brittle_senders while all nodes share. */
#define RK_SENDERS_UNKNOWN (-1)

/* Table of signals; zeroed: empty. */
struct rk_vm_signals {
    struct lh_table *by_incarnation; /* owned struct rk_vm_signal; NULL: empty */
};

/* Bits that say which signals an answer or a merge changed. */
enum {
    RK_VM_LIMIT_CHANGED = 1,
    RK_VM_LEAVING_CHANGED = 2,
    RK_VM_COOLDOWN_CHANGED = 4,
    RK_VM_BRITTLE_CHANGED = 8,
};

/* Returns the record of an incarnation, or NULL if there is none. The table owns
 * it; it is valid until rk_vm_signals_expire() or rk_vm_signals_free(). */
struct rk_vm_signal *rk_vm_signals_find(const struct rk_vm_signals *s,
                                        uint64_t incarnation);
/* Returns the record of an incarnation, which is created if needed. Returns NULL
 * if the table is full, or the hash can't be a key. Ownership as above. */
struct rk_vm_signal *rk_vm_signals_get_or_add(struct rk_vm_signals *s,
                                              uint64_t incarnation,
                                              const char *domain, int64_t now_ms);
/* Returns the number of nodes that share the VM's limit, or 0 if this node is
 * not one of them. own is the hash of this node's id, others the hashes of the
 * other nodes that may be chosen. Nodes that know the same set agree on the
 * result. There are a few more senders than requests per second, or all nodes if
 * these are fewer, each of which sends at an even interval, so that all together
 * exceed the limit by at most one request each. */
int rk_vm_limit_senders(const struct rk_vm_signal *v, uint64_t own,
                        const uint64_t *others, size_t len);
/* Sets the number of nodes that share the limit, this one included; 0: this one
 * has no share. */
void rk_vm_signal_set_senders(struct rk_vm_signal *v, int senders, int64_t now_ms);
/* Returns how many nodes may share a brittle VM's slots. If each of them sends a
 * request at the same time, the VM refuses no more than nodes may cause. Returns 0
 * if the number of its slots is not known. */
size_t rk_vm_brittle_senders_max(const struct rk_vm_signal *v, int64_t slots);
/* Chooses at most max nodes, given by the hashes of their ids, that share a brittle
 * VM's slots, and writes their indexes to out. max: RK_BRITTLE_SENDERS_MAX at most.
 * Nodes that know the same set agree on the result. Returns the number of nodes
 * chosen. */
size_t rk_vm_brittle_senders(const struct rk_vm_signal *v, const uint64_t *nodes,
                             size_t len, size_t max, size_t *out);
/* Returns true if no answer confirmed the limit for the time of some requests at
 * the limit. Whoever knew that it was lifted may have ended, and the nodes without
 * a share would never ask the VM. */
bool rk_vm_limit_is_unconfirmed(const struct rk_vm_signal *v, int64_t now_ms);
/* Moves the node's next request forward by a part (0 to 1) of its send interval, so
 * that nodes which got their shares together don't send at the same time. */
void rk_vm_signal_advance_share(struct rk_vm_signal *v, double part);
/* Returns true if this node may send the VM nothing as long as its signals and
 * shares stay the same. */
bool rk_vm_signal_blocks(const struct rk_vm_signal *v);
/* Returns the time in ms until this node may send a request, or, if it has no
 * share in the limit, until another node may. Returns 0 if this node may send
 * now. */
int64_t rk_vm_signal_wait_ms(const struct rk_vm_signal *v, int64_t now_ms);
/* Records that the VM refused a request of this node. If it is brittle, this node
 * sends it nothing until its share of the refusals allows one more. nodes: that
 * share it. */
void rk_vm_signal_note_refused(struct rk_vm_signal *v, int nodes, int64_t now_ms);
/* Records that this node sends a request now. */
void rk_vm_signal_note_sent(struct rk_vm_signal *v, int64_t now_ms);
/* Returns true if the limit was not confirmed for so long that it may be lifted.
 * The next request should go to this VM to find out. */
bool rk_vm_signal_is_stale(const struct rk_vm_signal *v, int64_t now_ms);

/* Merges what a peer, or another thread of this node, knows of the incarnation.
 * Its times are by this node's clock. The later answer decides on the limit.
 * Cooldowns are not merged. Returns RK_VM_..._CHANGED bits. */
unsigned rk_vm_signal_merge(struct rk_vm_signal *v,
                            const struct rk_vm_signal *reported, int64_t now_ms);
/* Applies the signals of an answer that has just arrived. Returns
 * RK_VM_..._CHANGED bits. */
unsigned rk_vm_signal_apply(struct rk_vm_signal *v,
                            const struct rk_vm_advertised *advertised,
                            int64_t now_ms);
/* Removes records of VMs from which no answer, and about which no report, was
 * received for 120 s and whose cooldown has ended. */
void rk_vm_signals_expire(struct rk_vm_signals *s, int64_t now_ms);
/* Returns the number of records. */
size_t rk_vm_signals_len(const struct rk_vm_signals *s);
/* Frees all records and leaves the table empty. */
void rk_vm_signals_free(struct rk_vm_signals *s);

#endif
