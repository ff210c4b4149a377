/* Internal state of the router, shared by router.c (rows and the lifecycle of
 * jobs) and router_choice.c (choice of the VM). Not to be included by other files.
 */
#ifndef RK_CORE_ROUTER_IMPL_H
#define RK_CORE_ROUTER_IMPL_H

#include "core/router.h"

#define MAX_SERVICES 64
/* Prefixes whose calls are counted. A prefix whose slot is taken is not counted. */
#define PREFIX_COUNTERS 1024

/* A VM of the failure domain. Its handle is its index in the router's vms. */
struct vm {
    char id[RK_ID_MAX];
    char addr[RK_ADDR_MAX];
    uint64_t incarnation;
    struct rk_service *svc;
    bool used;    /* this slot is in use */
    bool present; /* listed in the newest rows */
    bool live;
    int in_flight;
    /* Calls of other nodes and of other threads of this node, by its load row. */
    int peer_calls;
    int64_t peer_calls_ms; /* time of that load row */
    uint64_t load_seq;
    double limit;         /* calls are sent while rk_router_load() is below it */
    int64_t limit_cut_ms; /* when limit was last reduced */
    int failures;         /* failures in a row */
    int64_t paused_until_ms;
    /* Smoothed ratio of actual to expected time to the first token. */
    double latency_ratio;
};

/* A service and its queue. */
struct rk_service {
    struct rk_policy policy;
    struct rk_fair_queue *queue;
    bool used;
    int live_vms;
    int in_flight;
    double mean_ms; /* smoothed time that a call occupies a slot */
    /* Smoothed ratio of actual to expected time in a slot. */
    double slot_time_ratio;
    uint32_t round_robin_next; /* next slot for RK_ROUTE_ROUND_ROBIN */
};

/* Calls that share a prompt prefix. */
struct prefix_calls {
    uint64_t hash;
    int outstanding; /* calls queued or sent */
};

/* Calls of an organisation. */
struct org {
    char name[RK_ID_MAX];
    int64_t outstanding; /* calls queued or sent */
};

struct rk_router {
    enum rk_route_policy policy;
    struct rk_rng rng;
    int nodes; /* entry nodes that share the calls */
    struct vm vms[RK_ROUTER_MAX_VMS];
    size_t vms_len;
    struct rk_service services[MAX_SERVICES];
    size_t services_len;
    struct rk_prefix_index *prefixes;
    /* Tokens prefilled at each VM so far. */
    uint64_t prefilled_tokens[RK_ROUTER_MAX_VMS];
    uint64_t cache_tokens[RK_ROUTER_MAX_VMS]; /* cache size of each VM in tokens */
    /* Cached tokens of the prompt at each VM; scratch of one choice. */
    uint32_t cached[RK_ROUTER_MAX_VMS];
    struct prefix_calls prefix_calls[PREFIX_COUNTERS];
    struct org orgs[1024];
    size_t orgs_len;
};

/* Returns the counter of calls with the prefix of the job, or NULL if it is not
 * counted. In router.c. */
struct prefix_calls *rk_router_prefix_calls(struct rk_router *r,
                                            const struct rk_job *job);

/* Returns the VM for a job, or -1 if the job has to wait. Fills r->cached for
 * prompts. In router_choice.c. */
int rk_router_choose(struct rk_router *r, struct rk_job *job, int64_t now_ms);

/* Returns the calls at a VM: those of this router and, discounted by the age of the
 * load row, all others. In router_choice.c. */
double rk_router_load(const struct vm *v, int64_t now_ms);

/* Returns true if the job excludes the VM. In router_choice.c. */
bool rk_router_is_excluded(const struct rk_job *job, int vm);

#endif
