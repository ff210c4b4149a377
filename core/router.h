/* Where each call runs: admission, the choice of an upstream vm, and what this
 * node has learned from its own calls. A job is queued, dispatched when a vm
 * has room, and finished. Pure and single-threaded: one router per traffic
 * thread, fed with rows by control; time is passed in. No allocation per call.
 *
 * The choice predicts the time to the first token at each vm: wait for a slot,
 * plus prefill of the tokens not cached there. A prefix is copied to one more
 * vm only when the calls in hand that share it need more slots than its holders
 * have (the copy pays for itself), or when nothing holds it. */
#ifndef RK_CORE_ROUTER_H
#define RK_CORE_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/admit.h"
#include "core/config.h"
#include "core/members.h"
#include "core/prefix.h"

#define RK_ROUTER_MAX_VMS 512 /* of the node's own failure domain */
#define RK_MAX_EXCLUDED   8

enum rk_route_policy {
    RK_ROUTE_ADAPTIVE,
    /* Baselines, to measure against: no admission, no limits. */
    RK_ROUTE_ROUND_ROBIN,
    RK_ROUTE_LEAST_LOADED,
    RK_ROUTE_STICKY,
};

/* A policy by its name: adaptive, round-robin, least-loaded, sticky. False: none
 * has it. */
bool rk_route_policy_parse(const char *name, enum rk_route_policy *out);

struct rk_router;

enum rk_job_state { RK_JOB_NEW, RK_JOB_QUEUED, RK_JOB_SENT, RK_JOB_ENDED };

/* One call as the router sees it. Embedded in the caller's struct, which fills
 * the first part before rk_router_submit(). */
struct rk_job {
    char service[RK_ID_MAX];
    char org[RK_ID_MAX];
    int64_t org_weight, org_max;
    int rank;
    bool deferrable;
    int64_t promote_ms, queue_ms;
    int64_t deadline_ms;           /* monotonic */
    struct rk_prompt *prompt;      /* NULL for plain services */
    int64_t max_tokens;            /* tokens asked for; 0 for plain services */
    int excluded[RK_MAX_EXCLUDED]; /* vm handles that failed this call */
    size_t excluded_len;
    bool retry; /* admitted before: not refused for time again */
    /* Set by the router. */
    struct rk_waiter waiter;
    enum rk_job_state state;
    struct rk_service *svc;
    int vm; /* handle while sent */
    uint32_t uncached_tokens;
    int64_t submitted_ms, sent_ms;
    bool first_seen;
};

enum rk_submit {
    RK_SUBMIT_QUEUED,
    RK_SUBMIT_REFUSED,    /* can't make its time: retry_after_ms */
    RK_SUBMIT_ORG_FULL,   /* the organisation's limit */
    RK_SUBMIT_NO_SERVICE, /* no such service */
    RK_SUBMIT_NO_VM,      /* none live in this failure domain */
};

struct rk_router *rk_router_create(uint64_t seed, enum rk_route_policy policy);
void rk_router_destroy(struct rk_router *r); /* no jobs in hand */

/* New rows or settings. vms of other failure domains are passed over. */
void rk_router_update(struct rk_router *r, const struct rk_config *cfg,
                      const struct rk_vm *vms, size_t len, const char *domain,
                      int64_t now_ms);

/* Entry nodes of the failure domain that serve, this one included: a balancer
 * spreads a prefix's calls over all of them (1 until told). */
void rk_router_set_nodes(struct rk_router *r, int nodes);

enum rk_submit rk_router_submit(struct rk_router *r, struct rk_job *job,
                                int64_t now_ms, int64_t *retry_after_ms);

/* The next job to send, chosen and counted as sent; NULL when none can go. */
struct rk_job *rk_router_next(struct rk_router *r, int64_t now_ms);

/* The first token or answer byte came. */
void rk_router_first(struct rk_router *r, struct rk_job *job, int64_t now_ms);

/* The job is over or given up, in whatever state. failed: its vm could not be
 * reached or broke off (a few in a row keep new work away for a while). */
void rk_router_end(struct rk_router *r, struct rk_job *job, bool failed,
                   int64_t now_ms);

/* The vm of a sent job wants nothing for so long. */
void rk_router_rest(struct rk_router *r, const struct rk_job *job, int64_t rest_ms,
                    int64_t now_ms);

/* A sent job goes back to the queue, its vm excluded. */
void rk_router_retry(struct rk_router *r, struct rk_job *job, int64_t now_ms);

/* About a vm handle; valid while a job is sent there. */
const char *rk_router_vm_addr(const struct rk_router *r, int vm);
const char *rk_router_vm_id(const struct rk_router *r, int vm);
bool rk_router_vm_leaving(const struct rk_router *r, int vm);

/* Has a job's service a live vm that has not failed this job? */
bool rk_router_can_serve(const struct rk_router *r, const struct rk_job *job);

/* Free slots of all services, as the node tells its peers. */
uint32_t rk_router_spare(const struct rk_router *r);

/* Can a job sent now still end by its deadline, by what calls took so far? Errs
 * towards yes. */
bool rk_router_in_time(const struct rk_job *job, int64_t now_ms);

/* Jobs that wait. While there are any, rk_router_next() is to be called every
 * few tens of milliseconds: a pause ends, deferred work is promoted. */
size_t rk_router_waiting(const struct rk_router *r);

/* Let a job go to vms that failed it before. */
void rk_router_forgive(struct rk_job *job);

#endif
