/* The settings tree resolved for the traffic path: flat tables without pointers
 * into the tree, sorted where they are searched by name. Immutable, but for its
 * reference count; the control thread makes a new one for each settings version. */
#ifndef RK_CORE_CONFIG_H
#define RK_CORE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

struct rk_settings;

/* How the calls of a service, or those of one name, are handled. The schema in
 * core/settings.c explains the settings of the same names. */
struct rk_policy {
    char service[RK_ID_MAX];
    char call[RK_ID_MAX]; /* "": all calls without a policy of their own */
    bool engine;          /* the upstreams are model engines */
    char model[RK_ID_MAX];
    bool repeatable, refusal_not_run, checks_fences, key_required;
    bool claims_local; /* without the platform, claims are granted from memory */
    bool kv_move;
    int64_t deadline_ms, connect_ms, attempt_ms;
    int64_t target_first_ms, target_token_ms;
    int64_t slots; /* calls that one VM runs at once */
    int64_t cache_tokens, min_vms;
    double prefill_base_ms, prefill_token_ms, token_ms;
};

/* A priority class. */
struct rk_class {
    char name[RK_ID_MAX];
    int rank; /* 0 is the most urgent */
    bool deferrable;
    int64_t promote_ms, queue_ms;
    int64_t deadline_ms; /* 0: the service's */
};

/* An organisation. */
struct rk_org {
    char name[RK_ID_MAX];
    char default_class[RK_ID_MAX];
    int64_t weight, max_in_flight;
};

/* A kind of VM that the platform offers. */
struct rk_vm_class {
    char name[RK_ID_MAX];
    double price; /* per VM hour */
    bool reclaimable;
};

/* A failure domain. */
struct rk_domain {
    char name[RK_ID_MAX];
    char region[RK_ID_MAX];
};

struct rk_config {
    int refs;     /* control thread only */
    int64_t head; /* number of the last settings change in it */
    struct rk_policy *policies;
    size_t policies_len;
    struct rk_class *classes;
    size_t classes_len;
    struct rk_org *orgs;
    size_t orgs_len;
    struct rk_vm_class *vm_classes;
    size_t vm_classes_len;
    struct rk_domain *domains;
    size_t domains_len;
    int64_t retry_budget_pct, claim_shards, claim_commit_ms, claim_retention_s;
    int64_t claim_writes_per_s;
    int64_t lease_ms, max_calls;
    double weight_cost, weight_recompute;
};

/* Resolves a tree whose last change is number head. The caller holds the only
 * reference. */
struct rk_config *rk_config_create(const struct rk_settings *s, int64_t head);
/* Adds a reference, which rk_config_destroy() drops, and returns c. Control thread
 * only. */
struct rk_config *rk_config_ref(struct rk_config *c);
/* Drops a reference and frees c with the last one. NULL is allowed. Control thread
 * only. */
void rk_config_destroy(struct rk_config *c);

/* Returns the policy of a call, or that of its service if the call has none of its
 * own; NULL: no such service. This look-up and those below return borrowed rows. */
const struct rk_policy *rk_config_policy(const struct rk_config *c,
                                         const char *service, const char *call);

/* Returns the policy of the engine service that serves a model; NULL: none does. */
const struct rk_policy *rk_config_policy_of_model(const struct rk_config *c,
                                                  const char *model);

/* Returns an organisation by name; NULL: unknown. */
const struct rk_org *rk_config_org(const struct rk_config *c, const char *name);
/* Returns a priority class by name; NULL: unknown. */
const struct rk_class *rk_config_class(const struct rk_config *c, const char *name);

#endif
