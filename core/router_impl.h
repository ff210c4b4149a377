/* State of the router, shared by router.c (rows and the life of a job) and
 * choice.c (where a job goes). Not for others. */
#ifndef RK_CORE_ROUTER_IMPL_H
#define RK_CORE_ROUTER_IMPL_H

#include "core/router.h"

#define MAX_SERVICES 64
#define ROOTS        1024 /* prefixes whose calls in hand are counted */

struct vm {
    char id[RK_ID_MAX];
    char addr[RK_ADDR_MAX];
    uint64_t incarnation;
    struct rk_service *svc;
    bool used;    /* the row is in use */
    bool present; /* in the newest view */
    bool live;
    int in_flight;
    int others;        /* calls of other nodes, from its load row */
    int64_t others_ms; /* when that was true */
    uint64_t load_seq;
    double limit; /* calls this node keeps there at most; adapts */
    int64_t cut_ms;
    int failures;
    int64_t paused_until_ms;
    double slow; /* observed over predicted time to the first token */
};

struct rk_service {
    struct rk_policy policy;
    struct rk_admit *queue;
    bool used;
    int live_vms;
    int in_flight;
    double mean_ms; /* time in a slot */
    double pace;    /* observed over expected time in a slot */
    uint32_t turn;  /* round robin */
};

struct root {
    uint64_t hash;
    int in_hand; /* queued or sent */
};

struct org {
    char name[RK_ID_MAX];
    int64_t in_hand;
};

struct rk_router {
    enum rk_route_policy policy;
    struct rk_rng rng;
    int nodes; /* entry nodes that share the calls */
    struct vm vms[RK_ROUTER_MAX_VMS];
    size_t vms_len;
    struct rk_service services[MAX_SERVICES];
    size_t services_len;
    struct rk_prefixes *prefixes;
    uint64_t clocks[RK_ROUTER_MAX_VMS];       /* tokens prefilled at each vm */
    uint64_t cache_tokens[RK_ROUTER_MAX_VMS]; /* size of its cache */
    uint32_t cached[RK_ROUTER_MAX_VMS];       /* scratch of one choice */
    struct root roots[ROOTS];
    struct org orgs[1024];
    size_t orgs_len;
};

/* router.c: the count of a prefix's calls in hand; NULL when it isn't counted. */
struct root *rk_router_root(struct rk_router *r, const struct rk_job *job);

/* choice.c: the vm for a job, or -1 to let it wait. Fills r->cached for prompts. */
int rk_router_choose(struct rk_router *r, struct rk_job *job, int64_t now_ms);

/* choice.c: calls at a vm, this node's and, as far as trusted, the others'. */
double rk_router_load(const struct vm *v, int64_t now_ms);

/* choice.c: did the vm fail this job? */
bool rk_router_excluded(const struct rk_job *job, int vm);

#endif
