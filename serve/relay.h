/* A traffic thread that relays calls by routes: takes them from callers, chooses
 * a vm, passes bytes on, repeats what may be repeated, and answers each call
 * once. It holds no lock; control tells it what to believe by messages. */
#ifndef RK_SERVE_RELAY_H
#define RK_SERVE_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/dialect.h"
#include "core/engine.h"
#include "core/place.h"
#include "core/quarantine.h"
#include "core/org_uses.h"
#include "core/quota.h"
#include "core/routes.h"
#include "core/tally.h"
#include "core/usage.h"

struct rk_relay;
struct rk_loop;

/* What bounds the calls of all nodes together; from the process file. */
struct rk_relay_bounds {
    int64_t retry_pct;   /* retries, in hundredths of a service's calls */
    int64_t retry_burst; /* on top, of all nodes */
    int64_t quota_window_ms;
    double quota_slack;   /* units that the deployment forgives */
    double quota_overrun; /* and a share of the quota */
    int64_t usage_window_ms;
    bool first_start; /* nothing was used before */
};

/* What was asked of an engine service here since the start, and is in hand. */
struct rk_service_use {
    char service[RK_ID_MAX];
    double read_tokens; /* of prompts, not found cached, each call's once */
    uint32_t running;
    uint32_t begun; /* of these, the ones whose answers have begun */
    struct rk_engine_estimate engine; /* learnt here */
};

/* The row of a service; NULL: none. */
const struct rk_service_use *
rk_service_use_find(const struct rk_service_use *services, size_t len,
                    const char *service);

/* What a relay tells control, a few times a second. */
struct rk_relay_report {
    struct rk_vm_load *loads;
    size_t loads_len;
    struct rk_org_use *uses;
    size_t uses_len;
    struct rk_usage_row *usage; /* counts so far of recent windows */
    size_t usage_len;
    struct rk_service_use *services;
    size_t services_len;
    struct rk_rollout_seen *trials; /* of versions that are tried */
    size_t trials_len;
    struct rk_quarantine_row *suspects; /* of what was seen here lately */
    size_t suspects_len;
    struct rk_vm_signal *signals; /* what vms say of themselves */
    size_t signals_len;
    size_t vms_resting;   /* that want nothing from this node now */
    int64_t remembers_ms; /* how far back the knowledge of quotas goes */
    bool knows_all;       /* uses[].kept is all that was used in the window */
    int64_t version;      /* of the routes in force; 0: none */
    bool vms_known;
    size_t in_hand;
};
void rk_relay_report_free(struct rk_relay_report *r);

/* What control tells of the peers. */
struct rk_relay_peers {
    struct rk_vm_load *loads; /* all peers' */
    size_t loads_len;
    struct rk_org_use *uses; /* used by them since the last telling */
    size_t uses_len;
    struct rk_org_use *known; /* by the peer with the longest memory */
    size_t known_len;
    struct rk_tally asking;          /* units a second that they are asked for */
    struct rk_service_use *services; /* only what is known of engines' speed */
    size_t services_len;
    int64_t remembers_ms;         /* that peer's memory */
    bool catch_up;                /* what it knows was not told while it was used */
    int nodes_heard, nodes_total; /* this one included */
    int64_t lag_ms;               /* age of what they tell, when it comes */
    int64_t silent_ms;            /* since any of them told something; -1: never */
};
void rk_relay_peers_free(struct rk_relay_peers *p);

struct rk_relay_options {
    const struct rk_dialect *dialect;
    const char *listen; /* for callers */
    char domain[RK_ID_MAX];
    uint64_t node; /* hash of this node's id and incarnation */
    uint64_t seed;
    int max_clients;
    struct rk_relay_bounds bounds;
    /* On the relay's thread; the receiver owns the report. */
    void (*on_report)(void *ctx, struct rk_relay_report *report);
    /* On the relay's thread: it stopped, as asked by rk_relay_stop_idle(). */
    void (*on_stopped)(void *ctx);
    void *ctx;
};

/* NULL when the address can't be bound: see rk_last_error(). */
struct rk_relay *rk_relay_create(const struct rk_relay_options *opt);
void rk_relay_destroy(struct rk_relay *r); /* after its thread ended */
void rk_relay_run(struct rk_relay *r);     /* until rk_relay_stop() */
const char *rk_relay_addr(const struct rk_relay *r);

/* Any thread. What is passed in is taken over. False: the relay's queue is full,
 * and what was passed is freed. */
bool rk_relay_set_routes(struct rk_relay *r, struct rk_routes *routes);
bool rk_relay_set_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len);
/* What changed since: ids of vms that are off the list, then rows. */
bool rk_relay_change_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len,
                         char (*gone)[RK_ID_MAX], size_t gone_len);
bool rk_relay_set_peers(struct rk_relay *r, struct rk_relay_peers *peers);

/* Roll-outs; is_fresh: their holder told of them lately. */
bool rk_relay_set_rollouts(struct rk_relay *r, struct rk_rollout_rule *rules,
                           size_t len, bool is_fresh);

/* Of the bounds, those of retries, and what is forgiven of quotas, change. */
bool rk_relay_set_bounds(struct rk_relay *r, const struct rk_relay_bounds *bounds);

/* What the store remembers of quotas, so old; len 0: nothing. */
bool rk_relay_restore(struct rk_relay *r, struct rk_org_use *uses, size_t len,
                      int64_t age_ms);

/* What the store remembers of engines' speed: a start, until peers tell more. */
bool rk_relay_set_engines(struct rk_relay *r, struct rk_service_use *services,
                          size_t len);

/* Requests under which VMs ended, as peers and the store tell of them. */
bool rk_relay_set_suspects(struct rk_relay *r, struct rk_quarantine_row *rows,
                           size_t len);

/* What vms say of themselves, and this node's part in their limits. */
bool rk_relay_set_signals(struct rk_relay *r, struct rk_vm_signal *rows,
                          size_t len);

/* Any thread: this process ends in so many ms. Connections end with their next
 * answer; calls that can't end by then are refused. */
void rk_relay_close(struct rk_relay *r, int64_t ends_in_ms);
/* Any thread: end connections that are idle. */
void rk_relay_close_idle(struct rk_relay *r);
/* Any thread: stop if nothing is in hand; nothing can come in between. */
void rk_relay_stop_idle(struct rk_relay *r);
void rk_relay_stop(struct rk_relay *r);

#endif
