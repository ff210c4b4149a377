/* A relay thread: accepts routed calls from callers, chooses a VM for each, passes
 * the bytes through, retries what may be retried, and answers each call exactly
 * once. It takes no locks; the node's control thread sends it settings and peers'
 * state as messages and receives its reports. */
#ifndef RK_SERVE_RELAY_H
#define RK_SERVE_RELAY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/dialect.h"
#include "core/engine_model.h"
#include "core/place.h"
#include "core/quarantine.h"
#include "core/org_usage.h"
#include "core/quota.h"
#include "core/routes.h"
#include "core/stream_records.h"
#include "core/stream_versions.h"
#include "core/totals.h"
#include "core/usage.h"

struct rk_relay;
struct rk_loop;

/* Limits shared by all nodes together, from the process file. */
struct rk_relay_bounds {
    int64_t retry_pct;   /* retries per 100 calls of a service */
    int64_t retry_burst; /* retries of all nodes allowed on top of that share */
    int64_t quota_window_ms;
    double quota_slack;   /* units by which a quota may be exceeded */
    double quota_overrun; /* share of a quota by which it may be exceeded */
    int64_t usage_window_ms;
    /* the deployment starts for the first time, with no usage before */
    bool first_start;
};

/* Demand for a service and its calls in flight, as seen by one node. */
struct rk_service_load {
    char service[RK_ID_MAX];
    /* Uncached prompt tokens requested since the start. Each call counts once, or
     * not at all if its caller resumes a stream. A call that no VM can take counts
     * with its whole prompt. */
    double demand_tokens;
    uint32_t running;
    uint32_t begun;                   /* running calls whose answers have begun */
    struct rk_engine_estimate engine; /* estimate from this node's calls */
};

/* Returns the entry of a service, or NULL if there is none. */
const struct rk_service_load *
rk_service_load_find(const struct rk_service_load *services, size_t len,
                     const char *service);

/* The only version of a service that served for the lifetime of a stream. */
struct rk_only_version {
    uint64_t routing; /* see rk_routes_resumable_hashes(); 0: not known */
    char service[RK_ID_MAX];
    char version[RK_VERSION_MAX];
};

/* Report of a relay to control, made every 200 ms. It owns its arrays. */
struct rk_relay_report {
    struct rk_vm_load *loads; /* load of VMs caused by this node's calls */
    size_t loads_len;
    /* by organisation: units and demand of this node's calls, and what this node
     * knows of the usage of all nodes */
    struct rk_org_use *quota_usage;
    size_t quota_usage_len;
    struct rk_usage_row *usage; /* request counts of recent usage windows */
    size_t usage_len;
    struct rk_service_load *services;
    size_t services_len;
    struct rk_rollout_stats *canaries; /* observed canary results by rollout */
    size_t canaries_len;
    /* rows changed here within the last second */
    struct rk_quarantine_row *suspects;
    size_t suspects_len;
    struct rk_vm_signal *signals; /* state that VMs advertised in their answers */
    size_t signals_len;
    struct rk_place_speed *speeds; /* learnt speeds of VMs that are not 100% */
    size_t speeds_len;
    struct rk_only_version *only_versions; /* of services that have had one */
    size_t only_versions_len;
    /* members of the domain's record of streams, without braces, if this node
     * writes it and it has changed; NULL: none */
    char *stream_record;
    size_t vms_in_cooldown; /* VMs in a cooldown towards this node */
    size_t vms_unreachable; /* VMs to which this node cannot connect */
    /* how far back this node's quota history goes, at most the window */
    int64_t quota_history_ms;
    /* shares of the nodes that it covers, per window slice, newest first */
    double quota_history_shares[RK_QUOTA_SLICES];
    bool quota_history_complete; /* uses[].kept includes all usage within the quota
                                    window */
    int64_t routes_version;      /* of the routes in force; 0: none received yet */
    bool vms_known;              /* a list of VMs has been received */
    int64_t vms_revision;        /* of the object store, which that list reflects */
    /* Calls in flight plus connections with a request, a part of one, or unsent
     * answer bytes, those that are being closed included. A call whose caller waits
     * counts in both; 0 means idle. */
    size_t busy_count;
    size_t connections; /* of callers */
};
/* Frees a report and its arrays. */
void rk_relay_report_free(struct rk_relay_report *r);

/* Most peers to which a node forwards calls. */
#define RK_FORWARD_PEERS_MAX 80

/* A peer that takes forwarded calls. */
struct rk_forward_peer {
    char id[RK_ID_MAX];
    char addr[RK_ADDR_MAX]; /* of its listener for forwarded calls */
    bool same_domain;       /* in this node's failure domain */
    /* Plain service of which it shares brittle VMs; "": it may take any call. */
    char service[RK_ID_MAX];
};

/* Peers' state, sent by control. It owns its arrays. */
struct rk_relay_peers {
    struct rk_vm_load *loads; /* load of VMs caused by all peers' calls */
    size_t loads_len;
    struct rk_org_use
        *quota_usage_added; /* quota units used by peers since the last message */
    size_t quota_usage_added_len;
    /* quota usage of all nodes by organisation, as known to the peer with the
     * longest history or, if catch_up is set, to the new source of digests */
    struct rk_org_use *quota_history;
    size_t quota_history_len;
    struct rk_org_demands quota_demand; /* what callers request at peers */
    struct rk_service_load *services;   /* only the engine estimates are set */
    size_t services_len;
    int64_t quota_history_ms; /* length of that peer's history */
    /* shares of the nodes that it covers, per window slice, newest first */
    double quota_history_shares[RK_QUOTA_SLICES];
    /* apply known[] even if its history is shorter than the quota window, because
     * uses[] did not cover that period */
    bool backfill_history;
    /* time without a counted report, before a new source of reports; 0: none */
    int64_t usage_gap_ms;
    struct rk_forward_peer forward_peers[RK_FORWARD_PEERS_MAX];
    size_t forward_peers_len;
    struct rk_stream_peer stream_peers[RK_STREAM_PEERS_MAX];
    size_t stream_peers_len;
    /* Which node writes the domain's record of streams: this one, or a peer with
     * this address for calls; "": it is not this node that sends streams to it. */
    bool writes_stream_record;
    char stream_writer[RK_ADDR_MAX];
    int nodes_reachable, nodes_total; /* including this node */
    /* Since when a node that may still serve has been silent: the first one of
     * those; 0: none is. */
    int64_t silent_since_ms;
    int64_t list_confirmed_ms; /* when the list of VMs was last current; 0: never */
    int64_t report_lag_ms;     /* typical age of peers' reports on arrival */
    int64_t since_report_ms; /* time since any peer reported usage; -1: none did */
};
/* Frees the message and its arrays. */
void rk_relay_peers_free(struct rk_relay_peers *p);

/* Options of a relay. Its callbacks receive ctx. */
struct rk_relay_options {
    const struct rk_dialect *dialect;
    int listen_fd; /* listening socket for callers; owned by the relay */
    /* The same for calls that peers forward; -1: none are taken. */
    int forward_fd;
    char domain[RK_ID_MAX];
    uint64_t node_hash; /* hash of this node's id and incarnation */
    uint64_t seed;
    int max_clients; /* limit of open connections of callers */
    /* Connections of peers that are kept open for further calls; twice as many are
     * served. */
    int max_forward_clients;
    size_t
        buffer_bytes; /* the process's budget, see common/memory.h; 0: no limit */
    struct rk_relay_bounds bounds;
    /* Called on the relay's thread. The callee owns the report. */
    void (*on_report)(void *ctx, struct rk_relay_report *report);
    /* Called on the relay's thread when it wants to know whether its routes and its
     * list of VMs are current: the store is to be asked from now on, and
     * rk_relay_note_checked() called. */
    void (*on_check_wanted)(void *ctx);
    /* Called on the relay's thread when rk_relay_stop_if_idle() has stopped it. */
    void (*on_stopped)(void *ctx);
    void *ctx;
};

/* Creates the relay; the caller starts the thread. *opt is copied, its dialect must
 * outlive the relay. */
struct rk_relay *rk_relay_create(const struct rk_relay_options *opt);
/* Ends all calls and frees the relay. Call it after the thread has ended. */
void rk_relay_destroy(struct rk_relay *r);
/* Runs the event loop until the relay is stopped. */
void rk_relay_run(struct rk_relay *r);
/* Returns the bound address. Owned by the relay. */
const char *rk_relay_addr(const struct rk_relay *r);
/* Returns the bound address for forwarded calls, "" if there is none. Owned by the
 * relay. */
const char *rk_relay_forward_addr(const struct rk_relay *r);

/* ---- messages to the relay ----
 *
 * The functions up to rk_relay_set_signals() may be called from any thread. They
 * take ownership of pointer arguments other than r and bounds. They return false if
 * the relay's message queue is full or the relay was stopped; the arguments are
 * then freed. */

/* Replaces the routes. */
bool rk_relay_set_routes(struct rk_relay *r, struct rk_routes *routes);
/* Replaces the whole list of VMs. revision: of the object store that it reflects.
 */
bool rk_relay_set_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len,
                      int64_t revision);
/* Applies changes to the list of VMs: first removes the VMs with the ids in
 * removed, then adds or replaces rows. revision: as for rk_relay_set_vms(). */
bool rk_relay_update_vms(struct rk_relay *r, struct rk_vm_row *rows, size_t len,
                         char (*removed)[RK_ID_MAX], size_t removed_len,
                         int64_t revision);
/* Tells the relay that it has all changes of the routes and of the list of VMs that
 * the store returned when it was asked at asked_ms. Call it after these were
 * sent. */
bool rk_relay_note_checked(struct rk_relay *r, int64_t asked_ms);
/* Tells the relay of a VM that came and left between two updates of the list. Its
 * service is "" if it is not known. */
bool rk_relay_note_past_vm(struct rk_relay *r, const struct rk_vm_row *vm);
/* Updates the peers' state. */
bool rk_relay_set_peers(struct rk_relay *r, struct rk_relay_peers *peers);

/* Replaces the rollout rules. is_fresh: the leader has confirmed them recently. */
bool rk_relay_set_rollouts(struct rk_relay *r, struct rk_rollout_rule *rules,
                           size_t len, bool is_fresh);

/* Updates the limits on retries and the tolerance of quotas; other members are
 * ignored. *bounds is copied. */
bool rk_relay_set_bounds(struct rk_relay *r, const struct rk_relay_bounds *bounds);

/* Restores the quota usage persisted before a restart. shares: of the nodes that it
 * covers, per window slice, newest first. age_ms: how old it is. len 0: nothing was
 * persisted. */
bool rk_relay_restore_quota_usage(struct rk_relay *r, struct rk_org_use *uses,
                                  size_t len, const double shares[RK_QUOTA_SLICES],
                                  int64_t age_ms);

/* Restores which services had only one version before a restart. */
bool rk_relay_restore_only_versions(struct rk_relay *r,
                                    struct rk_only_version *rows, size_t len);

/* Restores versions of streams from the records that nodes have written. */
bool rk_relay_restore_streams(struct rk_relay *r, struct rk_stream_record *rows,
                              size_t len);

/* Sets the persisted estimates of engine speed, used until peers report newer
 * ones. */
bool rk_relay_set_engine_priors(struct rk_relay *r,
                                struct rk_service_load *services, size_t len);

/* Merges suspected requests reported by peers or read from the store, and cancels
 * calls that wait at engines and are quarantined now. */
bool rk_relay_set_suspects(struct rk_relay *r, struct rk_quarantine_row *rows,
                           size_t len);

/* Merges the state that VMs advertised to other nodes, and sets this node's share
 * of their rate limits. */
bool rk_relay_set_signals(struct rk_relay *r, struct rk_vm_signal *rows,
                          size_t len);

/* Any thread: begins a planned stop that ends in ends_in_ms. Each connection is
 * closed after its next answer. Calls that might outlast the stop are refused. In
 * the first 2.7 s, in which the balancer learns of the stop, a call is expected to
 * take no longer than others of its kind did; after that, as long as it may. */
void rk_relay_begin_stop(struct rk_relay *r, int64_t ends_in_ms);
/* Any thread: answers all callers that still wait in a planned stop. */
void rk_relay_end_calls(struct rk_relay *r);
/* Any thread: closes idle client connections. */
void rk_relay_close_idle_clients(struct rk_relay *r);
/* Any thread: stops the relay if no call is in flight and no connection has a
 * request, a part of one, or unsent answer bytes. The check runs on the relay's
 * thread, so no call can start between the check and the stop. */
void rk_relay_stop_if_idle(struct rk_relay *r);
/* Any thread: makes rk_relay_run() return. */
void rk_relay_stop(struct rk_relay *r);

#endif
