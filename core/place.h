/* Placement: chooses the upstream VM for each call. It keeps the list of VMs, the
 * calls that this node and its peers have in flight at each, the VMs' health and
 * signals, and rollouts. A call goes to the VM with the lowest cost, which is the
 * predicted time to the first byte plus penalties; for engines, the prediction that
 * is compared weighs waiting and uncached prompt tokens more.
 *
 * Not thread-safe: one thread owns a struct rk_place. Deterministic for a given
 * seed. Times are in ms of the caller's clock, which is passed in as now_ms. */
#ifndef RK_CORE_PLACE_H
#define RK_CORE_PLACE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/rollout.h"
#include "core/service_speed.h"
#include "core/vm_signals.h"
#include "core/vm_speed.h"

/* Most prompt segments of a query, and most VMs that it can exclude. */
#define RK_PLACE_MAX_SEGMENTS 16
#define RK_PLACE_MAX_EXCLUDED 4

/* A VM as listed by the platform. */
struct rk_vm_row {
    char id[RK_ID_MAX];
    int64_t
        started_ms; /* start of this incarnation by the VM's clock; 0: unknown */
    char addr[RK_ADDR_MAX];
    char service[RK_ID_MAX];
    char domain[RK_ID_MAX];
    int64_t slots;
    bool leaving;
    bool reclaimable;
    /* For a leaving VM: time until it leaves; -1: unknown. */
    int64_t leaves_in_ms;
    char version[RK_VERSION_MAX]; /* version of its software */
    /* How much longer it stays slow after its start, as of when it is first listed;
     * 0: not stated. */
    int64_t cold_ms;
    /* Gets no calls: nobody ordered its version, as far as known. */
    bool blocked;
};

/* Calls that a node has in flight at a VM, and the VM's health as that node sees
 * it. */
struct rk_vm_load {
    char id[RK_ID_MAX];
    uint32_t incarnation; /* hash of the incarnation; 0: unknown */
    uint32_t running;
    double waiting_tokens; /* unread prompt tokens of calls without a first token */
    struct rk_vm_health health; /* decayed to the time of the report */
};

/* State of a VM. Other files may read it; only the placement writes it. */
struct rk_place_vm {
    struct rk_vm_row row;
    struct rk_place_vm *next;
    struct rk_place_vm *next_active;
    bool is_active;
    uint64_t hash; /* of the id and the incarnation */
    uint32_t service_hash;
    struct rk_vm_signal *signal; /* what the VM advertises; NULL: nothing so far */
    bool listed;                 /* on the platform's list */
    bool superseded; /* the VM was restarted; kept only for calls still in flight */
    int calls;       /* calls of this node in flight; the record is kept until 0 */
    int running;     /* the same number as calls */
    int awaiting_first_byte; /* calls in running that have no first byte yet */
    double waiting_tokens;   /* unread prompt tokens of this node's calls */
    uint32_t peers_running;  /* calls of the peers in flight */
    double peers_waiting_tokens;
    /* Times in a row that it was unreachable or unresponsive, or broke off. Calls
     * that it answered with an error don't count. */
    int losses_in_row;
    int64_t paused_until_ms;
    struct rk_service_speed *speed; /* speed of its service; not owned */
    struct rk_place_reach *reach;   /* of its service; not owned */
    /* When connecting to it first failed after the last success; 0: it has not. */
    int64_t unreachable_since_ms;
    int64_t heard_ms;   /* when this node last heard from it; 0: never */
    int64_t probed_ms;  /* when it was last probed; 0: never */
    bool probe_pending; /* to be probed, as a call met silence or a reset */
    /* Health as seen by calls of this node, and as reported by peers. */
    struct rk_vm_health health, peers_health;
    struct rk_vm_health recent; /* both together, when peers' loads came last */
    struct rk_vm_speed
        lasting_speed; /* of this incarnation, from all nodes' calls */
    double
        speed_factor;  /* of its times to its service's mean; 1: like the others */
    int speed_step;    /* speed_factor rounded by rk_vm_speed_step() */
    bool trial_due;    /* the next call that it can serve in time measures it */
    int64_t called_ms; /* last report of loads that showed calls there; 0: none */
    int reported_step; /* the last one that rk_place_next_speed_change() returned */
    int64_t step_reported_ms;               /* when that was; 0: never */
    const struct rk_place_rollout *rollout; /* rollout of its service; NULL: none */
    int64_t
        leaving_since_ms; /* when its leaving became known; 0: it isn't leaving */
    bool is_new;          /* runs the rollout's new version */
    /* Among the new VMs that get calls of the rollout now. */
    bool gets_rollout_calls;
    int64_t cold_until_ms; /* its calls don't count in the rollout until then */
};

/* What this node knows of its paths to the VMs of a service. */
struct rk_place_reach {
    char service[RK_ID_MAX];
    struct rk_place_reach *next;
    size_t vms;           /* VMs that use the record */
    int64_t connected_ms; /* last successful connect to any of its VMs; 0: none */
    int64_t lost_ms;      /* when the service became unreachable; 0: it is not */
    int failed_vms;       /* VMs that became unreachable since the last success */
    int probes_left;      /* of VMs that have not failed, after the first failure */
    bool reported_lost;   /* as rk_place_next_reach_change() returned it last */
};

/* A rollout as this node applies it, and statistics of its calls. */
struct rk_place_rollout {
    struct rk_rollout_rule rule; /* no service: this entry is free */
    /* Announced recently; otherwise no call uses a version that is still limited to
     * a share of the calls or to one VM. */
    bool is_fresh;
    struct rk_canary_rows canary_rows;
};

/* A segment of a prompt. */
struct rk_place_segment {
    uint64_t prefix_hash; /* hash of this segment and all before it */
    uint32_t tokens;
};

/* A call that needs a VM. */
struct rk_place_query {
    const char *service;
    bool engine; /* calls an engine, not a plain service */
    struct rk_place_segment segments[RK_PLACE_MAX_SEGMENTS];
    size_t segments_len;
    double prompt_tokens; /* tokens of the whole prompt */
    uint64_t
        request_hash;  /* hash of the request; spreads calls that share little */
    const char *route; /* name of the route; must stay valid until the call ends */
    double target_ms;  /* by which the first byte should come; 0: none */
    bool wants_new_version; /* uses the new version of a service in rollout */
    /* Software version of the VMs that may take it; "": any. */
    char version[RK_VERSION_MAX];
    /* Hashes of the VMs that failed the call. */
    uint64_t excluded[RK_PLACE_MAX_EXCLUDED];
    size_t excluded_len;
};

/* Returns true if now is a later incarnation of the VM than before. */
bool rk_vm_is_restarted(const struct rk_vm_row *before,
                        const struct rk_vm_row *now);
/* Returns a hash of the VM's id and incarnation. */
uint64_t rk_vm_incarnation_hash(const struct rk_vm_row *row);

struct rk_place;

/* Creates the placement of a node in the failure domain; seed: of the random part
 * of the costs. Never returns NULL; free with rk_place_destroy(). */
struct rk_place *rk_place_create(const char *domain, uint64_t seed);
/* Frees the placement and all records that belong to it. */
void rk_place_destroy(struct rk_place *p);

/* Replaces the list of VMs. The rows are copied. VMs that are missing from it
 * get no new calls; their records are freed when their last call ends. */
void rk_place_set_vms(struct rk_place *p, const struct rk_vm_row *rows, size_t len,
                      int64_t now_ms);
/* Applies changes to the list of VMs: removed holds the ids of VMs that were
 * removed, rows those that were added or changed. Unlike rk_place_set_vms(), the
 * cost grows with the number of changes. */
void rk_place_change_vms(struct rk_place *p, const struct rk_vm_row *rows,
                         size_t len, const char (*removed)[RK_ID_MAX],
                         size_t removed_len, int64_t now_ms);
/* Replaces the rollout rules. Statistics of rollouts that continue are kept.
 * is_fresh: the rules were announced recently. Rules beyond the first RK_ROLLOUTS
 * are ignored. */
void rk_place_set_rollouts(struct rk_place *p, const struct rk_rollout_rule *rules,
                           size_t len, bool is_fresh);
/* Returns an array of RK_ROLLOUTS entries, some unused. It belongs to p. */
const struct rk_place_rollout *rk_place_rollouts(const struct rk_place *p);

/* Returns true if the VM runs a new version that only a share of the calls or one
 * VM uses so far. */
bool rk_place_is_canary(const struct rk_place_vm *vm);

/* Returns the number of calls, of all nodes, in flight at VMs that the rollout
 * replaces. */
double rk_place_old_version_running(const struct rk_place_rollout *r,
                                    const struct rk_place *p);

/* Returns true if the query may use the new version when no other VM can take
 * it: when the leader's last rollout announcement is old, the VMs of the old
 * version may be gone by now. */
bool rk_place_may_use_new_version(const struct rk_place *p,
                                  const struct rk_place_query *q);

/* Returns true if the query should use a new version. To be called once per
 * call, so that all its attempts use the same version. */
bool rk_place_wants_new_version(const struct rk_place *p,
                                const struct rk_place_query *q);

/* Sets the typical age of peers' loads on arrival; 0 until it is set. */
void rk_place_set_report_lag(struct rk_place *p, int64_t lag_ms);
/* Replaces the loads that peers reported. A VM may occur more than once: its
 * rows are added up. Rows of unknown VMs or of other incarnations are ignored. */
void rk_place_set_loads(struct rk_place *p, const struct rk_vm_load *loads,
                        size_t len, int64_t now_ms);
/* Stores this node's own loads, to be sent to peers, in *out. Returns their
 * number. The caller frees *out. */
size_t rk_place_own_loads(const struct rk_place *p, int64_t now_ms,
                          struct rk_vm_load **out);
/* Calls of this node in flight at all VMs of a service. */
struct rk_place_in_flight {
    uint32_t running;
    uint32_t
        first_byte_received; /* calls in running that have got their first byte */
};
struct rk_place_in_flight rk_place_in_flight(const struct rk_place *p,
                                             const char *service);
/* Returns the number of VMs with calls in flight, here or at peers, now or
 * recently. */
size_t rk_place_active_len(const struct rk_place *p);

/* Returns an active VM whose speed step differs from the one that this function
 * returned last for the VM (0 at first), and marks it as returned; NULL if there is
 * none. A VM is returned at most once in 5 s. */
const struct rk_place_vm *rk_place_next_speed_change(struct rk_place *p,
                                                     int64_t now_ms);

/* The learnt speed of a VM. */
struct rk_place_speed {
    char vm[RK_ID_MAX];
    int factor_pct; /* the VM's times in percent of its service's mean */
};
/* Stores the speeds that are not 100% in *out. Returns their number. The caller
 * frees *out. */
size_t rk_place_copy_speeds(const struct rk_place *p, struct rk_place_speed **out);
/* Returns the VM's speed factor in percent. */
int rk_place_speed_pct(const struct rk_place_vm *vm);

/* Returns the current incarnation of the VM with this id, or NULL if it is
 * unknown. The record belongs to p. */
struct rk_place_vm *rk_place_find(struct rk_place *p, const char *id);

/* Parses "ID:TOKENS,...", the segments of a prompt, into the query. Segments
 * beyond RK_PLACE_MAX_SEGMENTS are ignored. */
void rk_place_parse_segments(struct rk_place_query *q, const char *text);

/* Returns the VM with the lowest cost, or NULL if none can take the call. *first
 * gets the predicted time to the first byte there, without penalties. */
struct rk_place_vm *rk_place_choose(struct rk_place *p,
                                    const struct rk_place_query *q, int64_t now_ms,
                                    struct rk_engine_forecast *first);

/* Returns the tokens of the query's prompt that are not cached at the VM and
 * would have to be read. */
double rk_place_unread_tokens(struct rk_place *p, const struct rk_place_query *q,
                              const struct rk_place_vm *vm, int64_t now_ms);

/* Returns another VM of the same software version that probably has the query's
 * prefix cached, so that vm can copy what it lacks. Returns NULL if there is none,
 * or if the prefix is too short to be worth a copy. */
const struct rk_place_vm *rk_place_copy_source(const struct rk_place *p,
                                               const struct rk_place_query *q,
                                               const struct rk_place_vm *vm,
                                               int64_t now_ms);

/* Returns the VM's index among the preferred VMs of the query's prefix, or of the
 * request if its shared prefix is short. Returns -1 if it is none of them, and for
 * plain services. */
int rk_place_preferred_index(const struct rk_place *p,
                             const struct rk_place_query *q,
                             const struct rk_place_vm *vm);

/* An attempt of a call at a VM, from when it is sent until it ends. */
struct rk_place_job {
    struct rk_engine_load load; /* load of the VM when it was sent; engines only */
    /* Calls in flight per slot when it was sent; plain services only. */
    double in_flight_per_slot;
    /* Expected time to the first byte, by the service's speed. */
    double expected_ms;
    int64_t sent_ms;
    bool engine;
    bool got_first_byte; /* got its first byte, or ended without one */
    bool resumes_stream; /* resumes a stream: excluded from latency measurement */
    /* Route of the call in the rollout's statistics; NULL: it isn't counted there.
     */
    const char *canary_route;
};

/* Starts an attempt: counts the call at the VM and fills *job, which the caller
 * owns and passes to rk_place_note_end() exactly once. */
void rk_place_note_sent(struct rk_place *p, struct rk_place_vm *vm,
                        const struct rk_place_query *q, int64_t now_ms,
                        struct rk_place_job *job);
/* Records the first byte of the attempt. Further calls for the same attempt do
 * nothing. */
void rk_place_note_first_byte(struct rk_place_vm *vm, struct rk_place_job *job,
                              int64_t now_ms);

/* How an attempt ended. */
enum rk_place_outcome {
    RK_PLACE_DONE,
    RK_PLACE_ERROR,     /* the VM answered that the call failed */
    RK_PLACE_LOST,      /* the VM was unresponsive, or broke off */
    RK_PLACE_UNREACHED, /* no connection to the VM could be made */
    RK_PLACE_REFUSED,   /* the VM proved that it did not run the call */
    RK_PLACE_CANCELLED,
};

/* Records a failure of a VM that is unresponsive, and pauses it for other calls.
 * The job itself goes on waiting. */
void rk_place_note_unresponsive(struct rk_place_vm *vm,
                                const struct rk_place_job *job, int64_t now_ms);

/* Frees the VMs that are no longer listed and have no call of this node in flight.
 * They are kept until then, as a call that goes on to its next attempt may still
 * refer to the VM of the last one. To be called where no VM is in use; so are
 * rk_place_set_vms() and rk_place_change_vms(). */
void rk_place_sweep(struct rk_place *p);

/* Ends an attempt and updates the VM's health and pauses. vm stays valid until the
 * next sweep. */
void rk_place_note_end(struct rk_place *p, struct rk_place_vm *vm,
                       struct rk_place_job *job, enum rk_place_outcome end,
                       int64_t now_ms);

/* Returns the speed record of the service, which is created if needed. It
 * belongs to p. */
struct rk_service_speed *rk_place_service_speed(struct rk_place *p,
                                                const char *service);

/* Applies the signals of an answer that the VM sent just now. Returns what
 * changed, as bits RK_VM_..._CHANGED. */
unsigned rk_place_apply_signals(struct rk_place *p, struct rk_place_vm *vm,
                                const struct rk_vm_advertised *advertised,
                                int64_t now_ms);
/* Merges the signals that the control thread knows, and sets this node's share of
 * each limit. */
void rk_place_set_signals(struct rk_place *p, const struct rk_vm_signal *rows,
                          size_t len, int64_t now_ms);
/* Sets the number of nodes in the fleet. They share a newly advertised limit
 * equally until the control thread assigns the shares. */
void rk_place_set_node_count(struct rk_place *p, int nodes);
/* Stores copies of all limits and of signals that changed recently in *out.
 * Returns their number. The caller frees *out. */
size_t rk_place_copy_signals(const struct rk_place *p, int64_t now_ms,
                             struct rk_vm_signal **out);
/* Returns true if the VM's limit and cooldown permit a call now. */
bool rk_place_may_send(const struct rk_place_vm *vm, int64_t now_ms);
/* Whether this node may use the VMs of a service, if these are brittle or advertise
 * limits, and only some nodes share each of them. */
enum rk_place_share {
    RK_PLACE_NOT_SHARED,  /* all nodes may use some VM */
    RK_PLACE_HAS_SHARE,   /* this node may use some of them */
    RK_PLACE_LACKS_SHARE, /* only peers may use those that this node reaches */
};
enum rk_place_share rk_place_brittle_share(const struct rk_place *p,
                                           const struct rk_place_query *q);
/* Returns the same for the limits that the VMs of the query's service advertise:
 * RK_PLACE_NOT_SHARED if some VM has none, or if there are no peers. */
enum rk_place_share rk_place_limit_share(const struct rk_place *p,
                                         const struct rk_place_query *q);
/* Returns the time in ms until the limit or cooldown of some VM of the query's
 * service permits the call. Returns 0 if one permits it now, if there is no such
 * VM, or if no VM has advertised anything. */
int64_t rk_place_retry_after_ms(const struct rk_place *p,
                                const struct rk_place_query *q, int64_t now_ms);
/* Returns the number of VMs that are in a cooldown for this node. */
size_t rk_place_cooldown_len(const struct rk_place *p, int64_t now_ms);
/* Drops the signals of VMs from which no answer, and about which no report, was
 * received for 120 s. Limits and leaving signals of listed VMs are kept. */
void rk_place_expire_signals(struct rk_place *p, int64_t now_ms);

/* ---- reachability (place_reach.c) ----
 *
 * A VM to which this node cannot connect gets no calls until a probe connects to
 * it. If that happens at all VMs of a service, or at several with no success in
 * between, the node itself has lost its path to the service. */

/* Records a sign of life of the VM: a new connection to it was established and
 * stayed open (connected), or bytes arrived. */
void rk_place_note_heard(struct rk_place_vm *vm, bool connected, int64_t now_ms);
/* Records that connecting to the VM failed. */
void rk_place_note_unreachable(struct rk_place *p, struct rk_place_vm *vm,
                               int64_t now_ms);
/* Requests a probe of the VM, because an open connection to it was silent or was
 * reset. */
void rk_place_suspect(struct rk_place_vm *vm);
/* Returns false if this node has lost its path to the service. */
bool rk_place_reaches_service(const struct rk_place *p, const char *service);
/* Returns true if a VM of the service is unreachable. */
bool rk_place_has_unreachable(const struct rk_place *p, const char *service);
/* Returns the number of unreachable VMs of all services. */
size_t rk_place_unreachable_len(const struct rk_place *p);
/* Returns true if this node heard from a VM other than vm since since_ms: from one
 * of the same service, or from any if the service has no other. */
bool rk_place_heard_other(const struct rk_place *p, const struct rk_place_vm *vm,
                          int64_t since_ms);
/* Returns a VM to probe now and marks it as probed; NULL if none is due. Drops what
 * is known of VMs that get no calls. */
struct rk_place_vm *rk_place_next_probe(struct rk_place *p, int64_t now_ms);
/* Returns a service that was lost or reached again since this function returned it
 * last; NULL if there is none. Its lost_ms tells which. */
const struct rk_place_reach *rk_place_next_reach_change(struct rk_place *p);

/* Returns the linked list (by next) of all VMs. It belongs to p. */
const struct rk_place_vm *rk_place_vms(const struct rk_place *p);

#endif
