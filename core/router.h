/* Admits calls, queues them, and chooses the upstream VM that each call is sent to.
 * A job is submitted, dispatched when a VM has room, and ended. The router learns
 * the speed of VMs from its own jobs.
 *
 * Not thread-safe: each traffic thread has a router of its own, which gets its rows
 * from the control thread. Does no I/O and reads no clock: times are passed in as
 * now_ms. Doesn't allocate memory per call.
 *
 * The choice predicts the time to the first token at each VM: the wait for a
 * slot plus the prefill of the tokens that are not cached there. A prefix is
 * copied to one more VM only when the calls that share it need more slots than
 * the VMs holding it have (only then is the copy worth its cost), or when no VM
 * holds it. */
#ifndef RK_CORE_ROUTER_H
#define RK_CORE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/fair_queue.h"
#include "core/config.h"
#include "core/members.h"
#include "core/prefix_index.h"

#define RK_ROUTER_MAX_VMS      512 /* in the node's own failure domain */
#define RK_ROUTER_MAX_EXCLUDED 8   /* VMs that a job can exclude */

/* How the router chooses a VM. */
enum rk_route_policy {
    RK_ROUTE_ADAPTIVE,
    /* Baselines to measure against: no refusal for the expected wait, and no limits
     * per VM. */
    RK_ROUTE_ROUND_ROBIN,
    RK_ROUTE_LEAST_LOADED,
    RK_ROUTE_STICKY,
};

/* Stores the policy with the given name in *out: adaptive, round-robin,
 * least-loaded or sticky. Returns false if there is none. */
bool rk_route_policy_parse(const char *name, enum rk_route_policy *out);

struct rk_router;

/* State of a job. */
enum rk_job_state { RK_JOB_NEW, RK_JOB_QUEUED, RK_JOB_SENT, RK_JOB_ENDED };

/* A call as the router sees it. It is embedded in a struct of the caller, which
 * fills the first group of members before rk_router_submit() and keeps it until
 * the job has ended. */
struct rk_job {
    char service[RK_ID_MAX];
    char org[RK_ID_MAX];
    /* Weight of the organisation, and its limit of queued and sent calls. */
    int64_t org_weight, org_max;
    int rank; /* priority class; 0 goes first */
    bool deferrable;
    /* Time before the deadline at which a deferrable job is promoted, and the
     * longest expected wait with which a job is admitted. */
    int64_t promote_ms, queue_ms;
    int64_t deadline_ms;      /* by the monotonic clock */
    struct rk_prompt *prompt; /* NULL for plain services */
    int64_t max_tokens;       /* tokens requested; 0 for plain services */
    int excluded[RK_ROUTER_MAX_EXCLUDED]; /* handles of VMs that failed this call */
    size_t excluded_len;
    bool is_retry; /* was admitted before: not refused for its expected wait */
    /* Set by the router. */
    struct rk_waiter waiter;
    enum rk_job_state state;
    struct rk_service *svc;
    int vm;                   /* handle of its VM while sent */
    uint32_t uncached_tokens; /* prompt tokens to prefill at its VM */
    int64_t submitted_ms, sent_ms;
    bool first_byte_seen;
};

/* Result of rk_router_submit(). */
enum rk_submit {
    RK_SUBMIT_QUEUED,
    RK_SUBMIT_WAIT_TOO_LONG, /* the expected wait is too long; see retry_after_ms */
    RK_SUBMIT_ORG_LIMIT,     /* the organisation has reached its limit of calls */
    RK_SUBMIT_NO_SERVICE,    /* there is no such service */
    RK_SUBMIT_NO_VM,         /* no usable VM in this failure domain */
};

/* Creates a router without services and VMs. Never returns NULL. */
struct rk_router *rk_router_create(uint64_t seed, enum rk_route_policy policy);
/* Frees the router, in which no jobs may be left; NULL is ignored. */
void rk_router_destroy(struct rk_router *r);

/* Replaces the settings and the VM rows. VMs of other failure domains than
 * domain are ignored. The arguments are copied. */
void rk_router_update(struct rk_router *r, const struct rk_config *cfg,
                      const struct rk_vm *vms, size_t len, const char *domain,
                      int64_t now_ms);

/* Sets the number of entry nodes that serve in the failure domain, this one
 * included (initially 1). A balancer in front of them is assumed to spread the
 * calls of a prefix evenly over them. */
void rk_router_set_node_count(struct rk_router *r, int nodes);

/* Admits and queues a job. Unless it was queued, *retry_after_ms is the time after
 * which the caller may try again, and the job needs no rk_router_end(). */
enum rk_submit rk_router_submit(struct rk_router *r, struct rk_job *job,
                                int64_t now_ms, int64_t *retry_after_ms);

/* Chooses the next job and its VM and counts the job as sent. Returns NULL if no
 * job can be sent now. */
struct rk_job *rk_router_next(struct rk_router *r, int64_t now_ms);

/* Records that the first token, or first byte of the answer, has arrived. */
void rk_router_note_first_byte(struct rk_router *r, struct rk_job *job,
                               int64_t now_ms);

/* Ends a job in whatever state it is. failed: its VM could not be reached or
 * broke off. Several failures in a row pause the VM for new calls. */
void rk_router_end(struct rk_router *r, struct rk_job *job, bool failed,
                   int64_t now_ms);

/* Applies the cooldown that the VM of a sent job requested: no calls for
 * rest_ms. */
void rk_router_set_cooldown(struct rk_router *r, const struct rk_job *job,
                            int64_t rest_ms, int64_t now_ms);

/* Queues a sent job again, excludes its VM and counts a failure of the VM. */
void rk_router_requeue(struct rk_router *r, struct rk_job *job, int64_t now_ms);

/* Properties of a VM by its handle. They are valid while a job is sent there;
 * the strings belong to the router. A VM counts as leaving when it is not live. */
const char *rk_router_vm_addr(const struct rk_router *r, int vm);
const char *rk_router_vm_id(const struct rk_router *r, int vm);
bool rk_router_vm_leaving(const struct rk_router *r, int vm);

/* Returns true if the job's service has a live VM that the job doesn't exclude. */
bool rk_router_can_serve(const struct rk_router *r, const struct rk_job *job);

/* Returns the number of free slots, as reported to peers: that of the service
 * with the fewest. */
uint32_t rk_router_free_slots(const struct rk_router *r);

/* Returns true if a job sent now can still end by its deadline, judged by the
 * duration of past calls. When in doubt it returns true. */
bool rk_router_can_meet_deadline(const struct rk_job *job, int64_t now_ms);

/* Returns the number of queued jobs. While it is not 0, rk_router_next() must be
 * called every few tens of milliseconds, because pauses end and deferrable jobs
 * are promoted without any other event. */
size_t rk_router_queued_len(const struct rk_router *r);

/* Clears the list of VMs that the job excludes. */
void rk_router_clear_excluded(struct rk_job *job);

#endif
