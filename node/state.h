/* State of a node's control thread, shared by the files of node/, and the functions
 * by which its modules call each other. Control thread only. */
#ifndef RK_NODE_STATE_H
#define RK_NODE_STATE_H

#include <stdatomic.h>

#include "common/loop.h"
#include "core/procfile.h"
#include "core/read_delay.h"
#include "core/usage.h"
#include "node/platform.h"
#include "node/resources.h"
#include "peers/peers.pb-c.h"
#include "serve/relay.h"

struct rk_http;
struct rk_store;
struct rk_leader_api;
struct rk_server;
struct rk_sync;
struct rk_mesh;
struct rk_leader;
struct rk_leader_token;
struct rk_restores;
struct rk_restores_record;
struct rk_rollouts;
struct rk_quarantines;
struct rk_signals;
struct rk_brittle_services;

/* The read delay of a restarted node: it leaves the store's long lists to other
 * nodes first, so that a restart of the whole fleet doesn't overload the store. */
struct rk_read_delay {
    int64_t ends_ms; /* by the monotonic clock */
    int nodes;       /* of the fleet, as persisted in the store; 0: not known */
};

struct rk_node {
    struct rk_procfile file;
    struct rk_resources resources; /* at the start */
    const struct rk_platform *platform;
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_store *store;
    struct rk_leader_api *leader_api;
    struct rk_relay *relay;
    struct rk_server *ready_server, *metrics_server;
    struct rk_sync *sync;
    struct rk_mesh *mesh;
    struct rk_leader *leader;
    struct rk_persist *persist;
    struct rk_rollouts *rollouts;
    struct rk_quarantines *quarantines;
    struct rk_stream_records *stream_records;
    struct rk_signals *signals;
    struct rk_usage usage; /* counts of calls: own ones and those received */
    struct rk_relay_report *report; /* the relay's last one; NULL: none yet */
    struct rk_rng rng;
    struct rk_read_delay read_delay;
    uint64_t incarnation;
    uint64_t hash; /* of id and incarnation */
    int64_t started_ms;
    bool leaving; /* in a planned stop */
    int64_t leaving_since_ms;
    struct rk_timer stop;
    struct rk_timer metrics_retry; /* until the metrics listener is bound */
    /* When a planned stop was requested and when it was complete, monotonic; 0: not
     * yet. These three are set and read by any thread. */
    _Atomic int64_t stop_requested_ms, stopped_ms;
    _Atomic int64_t stop_ms; /* longest duration of a stop, of the process file */
};

/* ---- sync.c: settings and the VM list, from the store or from peers ---- */

struct rk_sync *rk_sync_create(struct rk_node *n);
void rk_sync_destroy(struct rk_sync *s);
void rk_sync_start(struct rk_sync *s);
/* To be called when the read delay of this node has changed. */
void rk_sync_read_delay_changed(struct rk_sync *s);
/* Returns whether both the settings and the VM list are known. */
bool rk_sync_ready(const struct rk_sync *s);
/* Returns the version of the settings in use; 0: none. */
int64_t rk_sync_version(const struct rk_sync *s);
/* Returns the revision of the store up to which the VM list is known; 0: none. */
int64_t rk_sync_list_revision(const struct rk_sync *s);
/* Returns the revision of the store up to which the relay had the VM list when it
 * reported that it had applied an update with the revision applied. */
int64_t rk_sync_relay_revision(const struct rk_sync *s, int64_t applied);
/* Returns the routes in use, owned by s; NULL: none. */
const struct rk_routes *rk_sync_routes(const struct rk_sync *s);
/* Sends the VM list to the relay again, as the set of usable VMs has changed. */
void rk_sync_publish(struct rk_sync *s);
/* Returns the number of VMs on the list. */
size_t rk_sync_vms_len(const struct rk_sync *s);
/* Returns the i-th VM of the list; NULL: i is past its end. */
const struct rk_vm_row *rk_sync_vm_at(const struct rk_sync *s, size_t i);
/* Returns the time in ms since the store confirmed, to this node or to a peer, that
 * both settings and list are the newest; -1: it never did. */
int64_t rk_sync_age_ms(const struct rk_sync *s);
/* Returns when the store last confirmed, to this node or to a peer, that the list
 * is the newest; 0: it never did. */
int64_t rk_sync_list_confirmed_ms(const struct rk_sync *s);
/* Asks the store whether settings and list are current. Once they are, the relay is
 * told when the store was asked. */
void rk_sync_check_store(struct rk_sync *s);
/* Takes over a peer's confirmation: settings up to a version and the list up to a
 * revision were the newest age_ms ago. Negative age_ms: never confirmed. */
void rk_sync_confirm(struct rk_sync *s, int64_t age_ms, int64_t settings_version,
                     int64_t list_revision);
/* Returns whether a peer may know a revision of the store: one that is far above
 * the store's would make the store's answers look old. */
bool rk_sync_is_plausible(const struct rk_sync *s, int64_t revision);
/* Returns for how many ms peers have had settings newer than this node's; 0: they
 * have none. */
int64_t rk_sync_behind_ms(const struct rk_sync *s);
/* Returns whether this node watches the store and gets answers from it. */
bool rk_sync_store_reachable(const struct rk_sync *s);
/* Fills in the reply to a peer's request. Its parts belong to s and are valid until
 * the next call. */
void rk_sync_fill_reply(struct rk_sync *s, const Rillknot__StoreWanted *request,
                        Rillknot__StoreText *out);
/* Applies settings and list changes received from a peer, if they are newer. */
void rk_sync_receive(struct rk_sync *s, const Rillknot__StoreText *text);

/* ---- mesh.c, members.c and others: links to the other nodes ---- */

/* listen_fd: listening socket for the other nodes, owned by the mesh. */
struct rk_mesh *rk_mesh_create(struct rk_node *n, int listen_fd);
void rk_mesh_destroy(struct rk_mesh *m);
/* Returns the address at which peers reach this node. */
const char *rk_mesh_addr(const struct rk_mesh *m);
/* Returns the address that the listener is bound to. */
const char *rk_mesh_bound(const struct rk_mesh *m);
void rk_mesh_start(struct rk_mesh *m);
/* Schedules a report to the peers a few ms from now, ahead of the regular one. */
void rk_mesh_schedule_report(struct rk_mesh *m);
/* Returns how many nodes of this domain should watch the store before this one
 * does; -1: this one always should. */
int rk_mesh_rank(const struct rk_mesh *m);
/* Returns whether one of those nodes watches the store and gets answers. */
bool rk_mesh_has_store_watch(const struct rk_mesh *m);
/* Returns whether this node has the list of nodes. Until then it can't decide who
 * should watch the store or be the leader. */
bool rk_mesh_has_node_list(const struct rk_mesh *m);
/* Returns whether the fleet is small enough for each node to report to each. */
bool rk_mesh_is_direct(const struct rk_mesh *m);
/* Returns whether this node is a bridge of its failure domain. */
bool rk_mesh_is_bridge(const struct rk_mesh *m);
/* Returns whether this node is among those that are told the versions of streams
 * and asked for them. */
bool rk_mesh_keeps_streams(const struct rk_mesh *m);
/* Returns whether this node may run for the leader's lease, and write what all
 * nodes know to the store. */
bool rk_mesh_is_candidate(const struct rk_mesh *m);
/* To be called when newer settings are in use: sends them to the peers that
 * requested them and, from the first bridge of a domain, to all nodes there. */
void rk_mesh_send_settings(struct rk_mesh *m);
/* At a bridge: sends changes of the VM list to the other nodes of its domain and,
 * if they came from the store rather than from a peer, to all other bridges. */
void rk_mesh_push_list(struct rk_mesh *m, const Rillknot__StoreText *text,
                       bool from_store);
/* Returns the number of reachable nodes, this one included. */
int rk_mesh_reachable_count(const struct rk_mesh *m);
/* Returns the number of nodes of the fleet, this one included. */
int rk_mesh_total(const struct rk_mesh *m);
/* Returns the number of nodes of the fleet by the last digest of the bridge that is
 * counted here; 0: there is none. */
int rk_mesh_reported_total(const struct rk_mesh *m);
/* Returns the size of the fleet for the persisted state; nodes is 0 if this node
 * doesn't have the list of nodes. */
struct rk_fleet_size rk_mesh_fleet_size(const struct rk_mesh *m);
/* Returns this node's processor share, in thousandths of a core. */
int64_t rk_mesh_capacity(const struct rk_mesh *m);
/* To be called when the read delay of this node has changed. */
void rk_mesh_read_delay_changed(struct rk_mesh *m);
/* Returns the mean age in ms of the leader's counts of calls. */
int64_t rk_mesh_usage_lag_ms(const struct rk_mesh *m);
/* Adds the demand at all nodes, in quota units/s by organisation and class. */
void rk_mesh_add_demand(const struct rk_mesh *m, struct rk_org_demands *sum);
/* Returns whether a node is reachable from here or by a bridge's report. */
bool rk_mesh_is_reachable(const struct rk_mesh *m, const char *id);
/* Returns whether this node acts for a missing leader: it is the first of the
 * candidates that are reachable, and most of the fleet is reachable. At most one
 * node gets true, except for a short while when reachability changes. */
bool rk_mesh_is_acting_leader(const struct rk_mesh *m);
/* At the leader: sends the rollout announcement to the peers if it is due. */
void rk_mesh_announce_rollouts(struct rk_mesh *m);
/* Sets sum->rows to the canary statistics of all nodes for sum's service and
 * version; leaves them as they are if there are none. */
void rk_mesh_sum_canary_stats(const struct rk_mesh *m,
                              struct rk_rollout_stats *sum);
/* Returns the peers' use of a service: tokens read since this node's start and
 * calls in flight. engine is the estimate of all nodes, this one included. */
struct rk_service_load rk_mesh_service_use(const struct rk_mesh *m,
                                           const char *service);

/* ---- orders.c: orders for VMs ---- */

struct rk_orders;
struct rk_orders *rk_orders_create(struct rk_node *n);
void rk_orders_destroy(struct rk_orders *o);
/* token: of the leader; NULL if this node isn't the leader. The leader compares
 * demand with the VM list and orders what is missing; other nodes only track the
 * demand. */
void rk_orders_tick(struct rk_orders *o, const struct rk_leader_token *token);
/* Tracks demand without ordering. */
void rk_orders_track_demand(struct rk_orders *o);

/* ---- persist.c: state that has to survive a kill of all nodes at once ---- */

struct rk_persist;
struct rk_persist *rk_persist_create(struct rk_node *n);
void rk_persist_destroy(struct rk_persist *m);
/* Starts to read the persisted state. It is read until the store has answered,
 * however long that takes, and nothing is persisted before. */
void rk_persist_start(struct rk_persist *m);
/* At the leader: persists what is due. */
void rk_persist_tick(struct rk_persist *m);
/* At the node that acts for a missing leader: persists the use of quotas and the
 * fleet's size if that is due. */
void rk_persist_tick_acting(struct rk_persist *m);

/* ---- stream_records.c: versions of streams, in the store ---- */

struct rk_stream_records;
struct rk_stream_records *rk_stream_records_create(struct rk_node *n);
void rk_stream_records_destroy(struct rk_stream_records *s);
/* Starts to read the records of all failure domains. */
void rk_stream_records_start(struct rk_stream_records *s);
/* Takes the domain's record from a report of the relay, and writes what is due. */
void rk_stream_records_tick(struct rk_stream_records *s,
                            struct rk_relay_report *report);

/* ---- version_history.c: the only versions of services before a restart ---- */

struct rk_version_history;
struct rk_version_history *rk_version_history_create(struct rk_node *n);
void rk_version_history_destroy(struct rk_version_history *h);
/* Tells the relay those of the rows that still held when this node started. They
 * reflect the VM list of a revision of the store and are believed for for_ms more.
 * Takes ownership of rows. */
void rk_version_history_check(struct rk_version_history *h,
                              struct rk_only_version *rows, size_t len,
                              int64_t since, int64_t for_ms);

/* ---- read_delay.c: the read delay of a restarted node ---- */

struct json_object;
/* Starts a read delay of limited length, until the fleet's size is known. */
void rk_read_delay_start(struct rk_node *n);
/* Sets the read delay by the fleet's size in the persisted state; spec NULL: there
 * is no such state. */
void rk_read_delay_set_fleet_size(struct rk_node *n, struct json_object *spec);
/* Returns the rest of the read delay in ms; 0: it is over. */
int64_t rk_read_delay_left_ms(const struct rk_node *n);
/* Returns whether this node gets the digests of a bridge that knows more than half
 * of the persisted number of nodes, so that it needn't read the list of nodes. */
bool rk_read_delay_has_digests(const struct rk_node *n);

/* ---- quarantines.c: requests and prompt segments under which VMs ended, merged
 * over all nodes ---- */

struct rk_quarantines *rk_quarantines_create(struct rk_node *n);
void rk_quarantines_destroy(struct rk_quarantines *q);
/* Schedules the reading of what is stopped from the store. */
void rk_quarantines_start(struct rk_quarantines *q);
/* Writes a row to the store, or removes one, if that is due and this node's job. */
void rk_quarantines_tick(struct rk_quarantines *q);
/* At the leader: checks now and then whether an operator let a stopped request
 * through again. */
void rk_quarantines_check_store(struct rk_quarantines *q);
/* Merges rows of this node's relay (own) or of a peer. */
void rk_quarantines_merge(struct rk_quarantines *q,
                          const struct rk_quarantine_row *rows, size_t len,
                          bool own);
/* Returns the table, owned by q. */
const struct rk_quarantine *rk_quarantines_table(const struct rk_quarantines *q);
/* Returns the number of stopped requests. */
size_t rk_quarantines_stopped(const struct rk_quarantines *q);
/* Returns the number of prompt segments that are stopped. */
size_t rk_quarantines_stopped_segments(const struct rk_quarantines *q);

/* ---- signals.c: signals that VMs advertise, merged over all nodes ---- */

struct rk_signals *rk_signals_create(struct rk_node *n);
void rk_signals_destroy(struct rk_signals *s);
/* Merges rows of this node's relay or of a peer. */
void rk_signals_merge(struct rk_signals *s, const struct rk_vm_signal *rows,
                      size_t len);
/* Sends changed signals and changed shares of limits to the relay. */
void rk_signals_tick(struct rk_signals *s);
/* Returns the table, owned by s. */
const struct rk_vm_signals *rk_signals_table(const struct rk_signals *s);
/* Returns the services whose brittle VMs only some nodes use, owned by s. */
const struct rk_brittle_services *
rk_signals_brittle_services(const struct rk_signals *s);
/* Returns the number of VMs that advertise a limit. */
size_t rk_signals_limited(const struct rk_signals *s);
/* Returns the number of VMs that advertise that they leave. */
size_t rk_signals_leaving(const struct rk_signals *s);

/* ---- rollouts.c: rollouts of service versions that operators order ---- */

struct rk_rollouts *rk_rollouts_create(struct rk_node *n);
void rk_rollouts_destroy(struct rk_rollouts *r);
/* token: of the leader; NULL if this node isn't the leader. */
void rk_rollouts_tick(struct rk_rollouts *r, const struct rk_leader_token *token);
/* Marks the rows that may get no calls: their version was rolled back, or nobody is
 * known to have ordered it. since[i]: the store's revision at which row i was seen
 * first. */
void rk_rollouts_mark_blocked(struct rk_rollouts *r, struct rk_vm_row *rows,
                              const int64_t *since, size_t len);
/* A rollout announcement of the leader: a rule for each ordered rollout. Those of a
 * higher epoch, and within an epoch of a higher number, are newer. */
struct rk_rollout_announcement {
    int64_t epoch, number;
    int64_t announced_ms; /* when the leader made it, by this node's clock */
    int64_t
        orders_revision; /* revision up to which every order has its rule here */
    struct rk_rollout_rule rules[RK_ROLLOUTS];
    size_t len;
};
/* Applies an announcement received from a peer. Returns false if it isn't newer
 * than the current one, this node is the leader, or rollouts are disabled here. */
bool rk_rollouts_receive(struct rk_rollouts *r,
                         const struct rk_rollout_announcement *announcement);
/* Returns the newest announcement, owned by r; NULL: there is none. */
const struct rk_rollout_announcement *
rk_rollouts_announcement(const struct rk_rollouts *r);
/* Returns the rule of a service's rollout in progress, owned by r; NULL: there is
 * none. */
const struct rk_rollout_rule *rk_rollouts_active_rule(const struct rk_rollouts *r,
                                                      const char *service);
/* Returns whether rollouts are enabled at this node. */
bool rk_rollouts_are_enabled(const struct rk_rollouts *r);

/* ---- rollout_metrics.c ---- */

struct rk_buf;
/* Appends the metrics of rollouts in Prometheus' text format. */
void rk_rollouts_render(const struct rk_rollouts *r, struct rk_buf *out);

/* ---- leader.c: the leader's lease, usage reports and orders for VMs ---- */

struct rk_leader *rk_leader_create(struct rk_node *n);
void rk_leader_destroy(struct rk_leader *k);
void rk_leader_start(struct rk_leader *k);
/* Gets this node's own lease, for its reports to peers. Returns false if this node
 * doesn't hold the lease now. *value belongs to k and is valid until the next write
 * of the lease. */
bool rk_leader_own_lease(const struct rk_leader *k, int64_t *version,
                         const char **value);
/* Notes a version of the lease that a peer reported. */
void rk_leader_note_lease(struct rk_leader *k, int64_t version, const char *value);
/* At the leader: schedules a tick soon, as something that orders depend on has
 * changed. */
void rk_leader_schedule_tick(struct rk_leader *k);
/* Returns what is known of restores of the store. */
const struct rk_restores *rk_leader_restores(const struct rk_leader *k);
/* Notes what the persisted record says of restores; NULL: the store has none. No
 * window is reported before that. */
void rk_leader_note_record(struct rk_leader *k,
                           const struct rk_restores_record *record);
/* Gets the newest version of the lease that is known here, whoever is the leader.
 * Returns false if none is known. *value belongs to k and is valid until a newer
 * version is known. */
bool rk_leader_newest_lease(const struct rk_leader *k, int64_t *version,
                            const char **value);
/* Gets the leader's node id by that version; "": not known. */
void rk_leader_id(const struct rk_leader *k, char id[RK_ID_MAX]);

#endif
