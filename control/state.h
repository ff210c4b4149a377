/* State of the control thread, shared by the files of control/. All functions here
 * are for that thread, except those that rk_claims_io_port() returns. */
#ifndef RK_CONTROL_STATE_H
#define RK_CONTROL_STATE_H

#include "common/loop.h"
#include "control/control.h"
#include "core/changelog.h"
#include "core/claims.h"
#include "core/config.h"
#include "core/members.h"
#include "serve/view.h"

struct rk_http;
struct rk_objects;
struct rk_gossip;
struct rk_settings_sync;
struct rk_vms_sync;
struct rk_claims_io;

struct rk_control {
    struct rk_control_options opt;
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_objects *objects;
    struct rk_members *members;
    struct rk_changelog *changelog;
    struct rk_config *config; /* built from the change log */
    struct rk_traffic *traffic[RK_MAX_TRAFFIC_THREADS];
    size_t traffic_len;
    struct rk_gossip *gossip;
    struct rk_settings_sync *settings_sync;
    struct rk_vms_sync *vms_sync;
    struct rk_claims_io *claims_io;
    struct rk_timer publish_timer;
    uint64_t last_view_serial;
    struct rk_rng rng;
};

/* Returns whether this node is a bridge: one of the nodes of its failure domain
 * that gossip with other domains and watch the platform for all nodes of theirs. */
bool rk_control_is_bridge(const struct rk_control *c);

/* Schedules a new view for the traffic threads: at once if urgent, else after a
 * delay in which further changes are collected. */
void rk_control_schedule_publish(struct rk_control *c, bool urgent);

/* Rebuilds the configuration from the change log, after the log has grown. */
void rk_control_apply_settings(struct rk_control *c);

/* gossip.c */

/* Returns NULL if the control address can't be bound; rk_last_error() then has the
 * reason. */
struct rk_gossip *rk_gossip_create(struct rk_control *c);
void rk_gossip_destroy(struct rk_gossip *g);
/* Returns the control address with the port that was bound. */
const char *rk_gossip_addr(const struct rk_gossip *g);
/* Runs the first round and schedules the others. */
void rk_gossip_start(struct rk_gossip *g);
/* Sends changed rows to all nodes of the failure domain now, without waiting for
 * the next round. A bridge also sends them to a bridge of another domain. */
void rk_gossip_push(struct rk_gossip *g);
/* Sends the settings changes from number on to all nodes of the failure domain. */
void rk_gossip_push_change(struct rk_gossip *g, int64_t number);

/* settings_sync.c */

struct rk_settings_sync *rk_settings_sync_create(struct rk_control *c);
void rk_settings_sync_destroy(struct rk_settings_sync *s);
void rk_settings_sync_start(struct rk_settings_sync *s);
/* Reads the change log if that has not succeeded yet. Then, on a bridge, watches it
 * and writes a snapshot if one is due. Does nothing while a call is in flight or a
 * retry is scheduled. */
void rk_settings_sync_tick(struct rk_settings_sync *s);

/* vms_sync.c */

struct rk_vms_sync *rk_vms_sync_create(struct rk_control *c);
void rk_vms_sync_destroy(struct rk_vms_sync *s);
void rk_vms_sync_start(struct rk_vms_sync *s);
/* On a bridge, watches the VM list and the reclaim notices. */
void rk_vms_sync_tick(struct rk_vms_sync *s);

/* claims_io.c */

struct rk_claims_io *rk_claims_io_create(struct rk_control *c);
void rk_claims_io_destroy(struct rk_claims_io *io);
/* Returns the functions by which traffic threads request claims; any thread may
 * call them. */
struct rk_claim_port rk_claims_io_port(struct rk_claims_io *io);

#endif
