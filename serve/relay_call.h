/* One relayed call, from its arrival to its one answer. Relay thread only. */
#ifndef RK_SERVE_RELAY_CALL_H
#define RK_SERVE_RELAY_CALL_H

#include "common/loop.h"
#include "core/budget.h"
#include "core/events.h"
#include "core/quarantine.h"
#include "core/quota.h"
#include "serve/relay.h"

struct rk_client;
struct rk_server;
struct rk_upstreams;
struct rk_upstream_call;
struct rk_vm_check;

#define RK_RELAY_SERVICES 32

/* What a relay keeps for a service. */
struct rk_relay_service {
    char name[RK_ID_MAX];
    struct rk_budget budget; /* of retries */
    double read_tokens;      /* asked of engines since the start */
};

struct rk_relay {
    struct rk_relay_options opt;
    struct rk_loop *loop;
    struct rk_server *server;
    struct rk_upstreams *upstreams;
    struct rk_place *place;
    struct rk_quota quota;
    struct rk_usage usage;
    struct rk_routes *routes; /* NULL: none known yet */
    bool vms_known;
    bool store_read; /* what it remembers of an earlier life is known, or nothing */
    struct rk_timer accept;
    struct rk_relay_service services[RK_RELAY_SERVICES];
    size_t services_len;
    struct rk_relay_call *calls;
    size_t calls_len;
    struct rk_quarantine quarantine; /* requests under which VMs ended */
    struct rk_vm_check *vm_checks;   /* VMs at which calls broke off just now */
    struct rk_rng rng;
    struct rk_timer report;
    int64_t forgot_ms; /* when old signals of vms were dropped last */
    /* Of a planned stop; 0: none. */
    _Atomic int64_t close_began_ms, close_ends_ms;
};

/* Take a request that a caller sent. */
void rk_relay_call_start(struct rk_relay *r, struct rk_client *client);

/* Its caller is gone. */
void rk_relay_call_gone(struct rk_relay_call *call);

/* The relay ends. */
void rk_relay_call_abort(struct rk_relay_call *call);

/* relay_suspect.c: call off what waits at engines and is a stopped request. */
void rk_relay_call_off_stopped(struct rk_relay *r);
void rk_relay_vm_checks_free(struct rk_relay *r);

#endif
