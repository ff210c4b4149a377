/* The settings tree resolved for the traffic path: flat, sorted tables without
 * pointers into the tree. Immutable; control makes a new one for each head. */
#ifndef RK_CORE_CONFIG_H
#define RK_CORE_CONFIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"

struct rk_settings;

/* How calls of one service (or one named call of it) are handled. */
struct rk_policy {
    char service[RK_ID_MAX];
    char call[RK_ID_MAX]; /* "": every call without a node of its own */
    bool engine;
    char model[RK_ID_MAX];
    bool repeatable, refusal_not_run, checks_fences, key_required, claims_local,
        kv_move;
    int64_t deadline_ms, connect_ms, attempt_ms;
    int64_t target_first_ms, target_token_ms;
    int64_t slots, cache_tokens, min_vms;
    double prefill_base_ms, prefill_token_ms, token_ms;
};

struct rk_class {
    char name[RK_ID_MAX];
    int rank;
    bool deferrable;
    int64_t promote_ms, queue_ms;
    int64_t deadline_ms; /* 0: the service's */
};

struct rk_org {
    char name[RK_ID_MAX];
    char default_class[RK_ID_MAX];
    int64_t weight, max_in_flight;
};

struct rk_vm_class {
    char name[RK_ID_MAX];
    double price;
    bool reclaimable;
};

struct rk_domain {
    char name[RK_ID_MAX];
    char region[RK_ID_MAX];
};

struct rk_config {
    int refs; /* of one thread: control's */
    int64_t head;
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

struct rk_config *rk_config_create(const struct rk_settings *s, int64_t head);
/* One more owner; each calls rk_config_destroy(). Control thread only. */
struct rk_config *rk_config_ref(struct rk_config *c);
void rk_config_destroy(struct rk_config *c);

/* The policy of a call; falls back to its service's. NULL: no such service. */
const struct rk_policy *rk_config_policy(const struct rk_config *c,
                                         const char *service, const char *call);

/* The policy of the engine service that serves a model; NULL: none does. */
const struct rk_policy *rk_config_model(const struct rk_config *c,
                                        const char *model);

const struct rk_org *rk_config_org(const struct rk_config *c, const char *name);
const struct rk_class *rk_config_class(const struct rk_config *c, const char *name);

#endif
