/* State of the control thread, shared by the files of control/. */
#ifndef RK_CONTROL_STATE_H
#define RK_CONTROL_STATE_H

#include "common/loop.h"
#include "control/control.h"
#include "core/changes.h"
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
    struct rk_changelog *changes;
    struct rk_config *config; /* of the changes in force */
    struct rk_traffic *traffic[RK_MAX_TRAFFIC];
    size_t traffic_len;
    struct rk_gossip *gossip;
    struct rk_settings_sync *settings;
    struct rk_vms_sync *vms;
    struct rk_claims_io *claims;
    struct rk_timer publish;
    uint64_t serial;
    struct rk_rng rng;
};

/* Bridges hold the platform's watches, too: does this node? */
bool rk_control_is_watcher(const struct rk_control *c);

/* Something traffic should see changed: publish soon (urgent: at once). */
void rk_control_dirty(struct rk_control *c, bool urgent);

/* New changes of settings are in force. */
void rk_control_settings_moved(struct rk_control *c);

/* gossip.c */
struct rk_gossip *rk_gossip_create(struct rk_control *c);
void rk_gossip_destroy(struct rk_gossip *g);
const char *rk_gossip_addr(const struct rk_gossip *g);
void rk_gossip_start(struct rk_gossip *g);
/* Tell all of the failure domain now (a leaving mark, a stop). */
void rk_gossip_push(struct rk_gossip *g);
/* Send a change of settings to all of the failure domain. */
void rk_gossip_push_change(struct rk_gossip *g, int64_t number);

/* settings_sync.c */
struct rk_settings_sync *rk_settings_sync_create(struct rk_control *c);
void rk_settings_sync_destroy(struct rk_settings_sync *s);
void rk_settings_sync_start(struct rk_settings_sync *s);
void rk_settings_sync_tick(struct rk_settings_sync *s);

/* vms_sync.c */
struct rk_vms_sync *rk_vms_sync_create(struct rk_control *c);
void rk_vms_sync_destroy(struct rk_vms_sync *s);
void rk_vms_sync_start(struct rk_vms_sync *s);
void rk_vms_sync_tick(struct rk_vms_sync *s);

/* claims_io.c */
struct rk_claims_io *rk_claims_io_create(struct rk_control *c);
void rk_claims_io_destroy(struct rk_claims_io *io);
struct rk_claim_port rk_claims_io_port(struct rk_claims_io *io);

#endif
