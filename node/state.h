/* State of a node's control thread, shared by the files of node/. */
#ifndef RK_NODE_STATE_H
#define RK_NODE_STATE_H

#include "common/loop.h"
#include "core/procfile.h"
#include "core/returning.h"
#include "core/usage.h"
#include "node/platform.h"
#include "peers/peers.pb-c.h"
#include "serve/relay.h"

struct rk_http;
struct rk_store;
struct rk_duties;
struct rk_server;
struct rk_sync;
struct rk_mesh;
struct rk_duty_keeper;
struct rk_duty_token;
struct rk_rollouts;
struct rk_quarantines;
struct rk_signals;

/* Of a node with an earlier life. */
struct rk_returning {
    int64_t until_ms; /* till then others read the store's long lists */
    int nodes;        /* of the fleet, by the store; 0: not known */
};

struct rk_node {
    struct rk_procfile file;
    const struct rk_platform *platform;
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_store *store;
    struct rk_duties *duties;
    struct rk_relay *relay;
    struct rk_server *ready_server, *metrics_server;
    struct rk_sync *sync;
    struct rk_mesh *mesh;
    struct rk_duty_keeper *duty_keeper;
    struct rk_remember *remember;
    struct rk_rollouts *rollouts;
    struct rk_quarantines *quarantines;
    struct rk_signals *signals;
    struct rk_usage usage;          /* of all nodes */
    struct rk_relay_report *report; /* the relay's last */
    struct rk_rng rng;
    struct rk_returning returning;
    uint64_t incarnation;
    uint64_t hash; /* of id and incarnation */
    int64_t started_ms;
    bool leaving;
    int64_t leaving_since_ms;
    struct rk_timer stop;
};

/* sync.c: settings and vms as the store, or a peer, tells them. */
struct rk_sync *rk_sync_create(struct rk_node *n);
void rk_sync_destroy(struct rk_sync *s);
void rk_sync_start(struct rk_sync *s);
/* Until when this node waits for its turn has changed. */
void rk_sync_turn(struct rk_sync *s);
bool rk_sync_ready(const struct rk_sync *s); /* both are known */
int64_t rk_sync_version(const struct rk_sync *s);
int64_t rk_sync_list_revision(const struct rk_sync *s);
const struct rk_routes *rk_sync_routes(const struct rk_sync *s);
/* Tell the relay of the vms again: which may be used has changed. */
void rk_sync_publish(struct rk_sync *s);
size_t rk_sync_vms_len(const struct rk_sync *s); /* on the list */
const struct rk_vm_row *rk_sync_vm_at(const struct rk_sync *s,
                                      size_t i); /* or NULL */
/* Since the store confirmed, here or to a peer, that all this is the newest; -1:
 * never. */
int64_t rk_sync_age_ms(const struct rk_sync *s);
/* By a peer's word: its knowledge, up to a version of the settings and a revision
 * of the list, was the newest age_ms ago. */
void rk_sync_confirm(struct rk_sync *s, int64_t age_ms, int64_t settings_version,
                     int64_t list_revision);
/* For how long peers have had settings that are newer than this node's; 0: none. */
int64_t rk_sync_behind_ms(const struct rk_sync *s);
/* Does this node follow the store, and does the store answer it? */
bool rk_sync_hears_store(const struct rk_sync *s);
/* For a peer that asks; the message's parts belong to s until the next call. */
void rk_sync_tell(struct rk_sync *s, const Rillknot__StoreWanted *wanted,
                  Rillknot__StoreText *out);
void rk_sync_take(struct rk_sync *s, const Rillknot__StoreText *text);

/* mesh.c: the other nodes. */
struct rk_mesh *rk_mesh_create(struct rk_node *n);
void rk_mesh_destroy(struct rk_mesh *m);
const char *rk_mesh_addr(const struct rk_mesh *m);  /* where peers reach it */
const char *rk_mesh_bound(const struct rk_mesh *m); /* the address listened on */
void rk_mesh_start(struct rk_mesh *m);
/* Tell peers a report soon. */
void rk_mesh_report(struct rk_mesh *m);
/* Nodes of this domain that should follow the store before this one does; -1: this
 * one should. */
int rk_mesh_rank(const struct rk_mesh *m);
/* Does a node that should do so first follow the store, and hear it? */
bool rk_mesh_is_served(const struct rk_mesh *m);
/* Does this node know who the others are? Until then it can't tell who should
 * follow the store or hold the duties. */
bool rk_mesh_is_listed(const struct rk_mesh *m);
bool rk_mesh_is_direct(
    const struct rk_mesh *m); /* a small fleet: each tells each */
bool rk_mesh_is_bridge(const struct rk_mesh *m); /* of its failure domain */
/* May this node stand for the lease of the duties, or write to the store what all
 * know? */
bool rk_mesh_stands(const struct rk_mesh *m);
/* Newer settings are here: tell those who lack them. */
void rk_mesh_tell_settings(struct rk_mesh *m);
/* Changes of the list, to the nodes that a bridge tells of it; from_store: they are
 * known first hand. */
void rk_mesh_push(struct rk_mesh *m, const Rillknot__StoreText *text,
                  bool from_store);
int rk_mesh_heard(const struct rk_mesh *m); /* nodes heard lately, with this one */
int rk_mesh_total(const struct rk_mesh *m);
/* Nodes of the fleet by the word of the bridge that tells this one of it; 0: none
 * does. */
int rk_mesh_told_total(const struct rk_mesh *m);
/* The fleet as it is to be remembered; not known: nodes is 0. */
struct rk_fleet_size rk_mesh_size(const struct rk_mesh *m);
/* Of this node's machine, in thousandths of a core. */
int64_t rk_mesh_capacity(const struct rk_mesh *m);
/* Until when this node waits for its turn has changed. */
void rk_mesh_turn(struct rk_mesh *m);
/* Mean age of the counts of calls that the holder of the duties has. */
int64_t rk_mesh_usage_lag_ms(const struct rk_mesh *m);
/* Add what callers ask of all nodes, in units of quotas a second. */
void rk_mesh_add_asking(const struct rk_mesh *m, struct rk_tally *sum);
/* Is a node heard, by itself or by a bridge? */
bool rk_mesh_hears(const struct rk_mesh *m, const char *id);
/* Is this node the first of those that are heard, and are these most of the fleet?
 * At most one node takes itself for that, but for a short while. */
bool rk_mesh_is_first(const struct rk_mesh *m);
/* Tell peers the holder's word on roll-outs, if this node is to. */
void rk_mesh_tell_rollouts(struct rk_mesh *m);
/* What calls to both versions showed at all nodes. */
void rk_mesh_add_trials(const struct rk_mesh *m, struct rk_rollout_seen *sum);
/* What the peers asked of a service: tokens since this node's start, calls in
 * hand; and what all nodes learnt of its engines. */
struct rk_service_use rk_mesh_service_use(const struct rk_mesh *m,
                                          const char *service);

/* orders.c: how many vms to hold. */
struct rk_orders;
struct rk_orders *rk_orders_create(struct rk_node *n);
void rk_orders_destroy(struct rk_orders *o);
/* While this node holds the duties: look at demand and the list, order what is
 * missing. refused: called when a higher fencing token was seen. */
void rk_orders_tick(struct rk_orders *o, const struct rk_duty_token *token);
/* The rest of the time: demand is followed, nothing is ordered. */
void rk_orders_watch(struct rk_orders *o);

/* remember.c: what must outlast a kill of all nodes at once. */
struct rk_remember;
struct rk_remember *rk_remember_create(struct rk_node *n);
void rk_remember_destroy(struct rk_remember *m);
void rk_remember_start(struct rk_remember *m); /* read what there is */
void rk_remember_tick(struct rk_remember *m); /* while this node holds the duties */
/* While nobody holds them, and this node stands in. */
void rk_remember_stand_in(struct rk_remember *m);
/* Is what an earlier life kept known, or can't it be had? */
bool rk_remember_is_read(const struct rk_remember *m);

/* returning.c: a node that comes back leaves the long lists of the store to others
 * until its turn. */
struct json_object;
void rk_returning_start(struct rk_node *n);
/* What the store has of the fleet; NULL: nothing. */
void rk_returning_know(struct rk_node *n, struct json_object *spec);
int64_t rk_returning_wait_left_ms(const struct rk_node *n);
/* Is it told by a bridge that knows most of the nodes that there were? */
bool rk_returning_is_told(const struct rk_node *n);

/* quarantines.c: requests under which VMs ended, as all nodes know them. */
struct rk_quarantines *rk_quarantines_create(struct rk_node *n);
void rk_quarantines_destroy(struct rk_quarantines *q);
void rk_quarantines_start(struct rk_quarantines *q); /* read what the store has */
void rk_quarantines_tick(struct rk_quarantines *q);
/* Look whether an operator let some through; while this node holds the duties. */
void rk_quarantines_hold(struct rk_quarantines *q);
/* Rows of this node's relay, or of a peer. */
void rk_quarantines_take(struct rk_quarantines *q,
                         const struct rk_quarantine_row *rows, size_t len,
                         bool own);
const struct rk_quarantine *rk_quarantines_table(const struct rk_quarantines *q);
size_t rk_quarantines_stopped(const struct rk_quarantines *q); /* how many */

/* signals.c: what VMs say of themselves, as all nodes know it. */
struct rk_signals *rk_signals_create(struct rk_node *n);
void rk_signals_destroy(struct rk_signals *s);
/* Rows of this node's relay, or of a peer. */
void rk_signals_take(struct rk_signals *s, const struct rk_vm_signal *rows,
                     size_t len);
/* Tell the relay what changed, and its part in limits. */
void rk_signals_tick(struct rk_signals *s);
const struct rk_vm_signals *rk_signals_table(const struct rk_signals *s);
size_t rk_signals_limited(const struct rk_signals *s); /* VMs that name a limit */
size_t rk_signals_leaving(const struct rk_signals *s); /* that say they leave */

/* rollouts.c: versions that operators order for services. */
struct rk_rollouts *rk_rollouts_create(struct rk_node *n);
void rk_rollouts_destroy(struct rk_rollouts *r);
/* token: while this node holds the duties; else NULL. */
void rk_rollouts_tick(struct rk_rollouts *r, const struct rk_duty_token *token);
/* Mark the rows of versions that nobody ordered, as far as is known. since[i]: the
 * store's revision at which row i was seen first. */
void rk_rollouts_mark(struct rk_rollouts *r, struct rk_vm_row *rows,
                      const int64_t *since, size_t len);
/* What the holder says, here or by a peer; false: it is no news. */
struct rk_rollout_word {
    int64_t epoch, number;
    int64_t said_ms;  /* by this node's clock */
    int64_t known_at; /* every order up to this revision is among the rules */
    struct rk_rollout_rule rules[RK_ROLLOUTS];
    size_t len;
};
bool rk_rollouts_take(struct rk_rollouts *r, const struct rk_rollout_word *word);
/* The newest word that is known here; NULL: none. */
const struct rk_rollout_word *rk_rollouts_word(const struct rk_rollouts *r);
/* The rule of a service that is moving to another version; NULL: it isn't. */
const struct rk_rollout_rule *rk_rollouts_moving(const struct rk_rollouts *r,
                                                 const char *service);
/* Are versions tried at all here? */
bool rk_rollouts_are_on(const struct rk_rollouts *r);

/* rollout_metrics.c: what is known of versions, in the text format of Prometheus.
 */
struct rk_buf;
void rk_rollouts_render(const struct rk_rollouts *r, struct rk_buf *out);

/* duties.c: the lease, usage, orders for vms. */
struct rk_duty_keeper *rk_duty_keeper_create(struct rk_node *n);
void rk_duty_keeper_destroy(struct rk_duty_keeper *k);
void rk_duty_keeper_start(struct rk_duty_keeper *k);
/* What a peer holds; false: nothing to tell. value is valid until the next call. */
bool rk_duty_keeper_lease(const struct rk_duty_keeper *k, int64_t *version,
                          const char **value);
void rk_duty_keeper_seen(struct rk_duty_keeper *k, int64_t version,
                         const char *value);
/* Something that orders go by changed: look at it soon, if this node holds the
 * duties. */
void rk_duty_keeper_look(struct rk_duty_keeper *k);
/* The newest version of the lease that is known here, whoever holds it. */
bool rk_duty_keeper_newest(const struct rk_duty_keeper *k, int64_t *version,
                           const char **value);
/* The id of the node that holds the duties by that; "": not known. */
void rk_duty_keeper_holder(const struct rk_duty_keeper *k, char id[RK_ID_MAX]);

#endif
