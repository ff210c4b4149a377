/* State of rollouts, shared by rollouts.c (announcements, and the versions that may
 * be used), rollouts_leader.c (the rollouts that the leader runs) and
 * rollout_metrics.c. Private to these files; control thread only. */
#ifndef RK_NODE_ROLLOUTS_IMPL_H
#define RK_NODE_ROLLOUTS_IMPL_H

#include "node/store_watch.h"
#include "node/state.h"

#define RK_ROLLOUTS_MAX_SERVICES 32

/* A rollout at the leader. */
struct rollout_run {
    struct rk_rollouts *r;
    bool used;      /* this slot holds a rollout */
    bool started;   /* the time of the order is known and the run goes by it */
    bool cancelled; /* the order was withdrawn */
    bool busy;      /* a call to the store is in flight */
    int64_t retry_at_ms;
    char name[RK_ID_MAX];                 /* of the order's object in the store */
    int64_t revision;                     /* of that object */
    int64_t received_wall_ms;             /* when this node got the order */
    enum rk_rollout_state recorded_state; /* in the store */
    struct rk_rollout rollout;
};

/* The version that serves a service: the first seen or the last committed one. */
struct serving {
    char service[RK_ID_MAX];
    char version[RK_VERSION_MAX];
    char previous[RK_VERSION_MAX]; /* "": not known */
};

struct rk_rollouts {
    struct rk_node *n;
    struct rk_store_watch orders; /* the watch of orders; on at the leader only */
    bool is_leader;
    int64_t epoch; /* of this node's lease */
    struct rollout_run runs[RK_ROLLOUTS];
    struct rk_rollout_announcement announcement; /* the newest; number 0: none */
    bool was_fresh;                              /* as sent to the relay last */
    bool any_blocked;   /* VMs are blocked; a later known_at may unblock them */
    bool relay_updated; /* the relay has the announcement's rules */
    int64_t marked_revision; /* of the orders by which VMs were marked last */
    struct serving serving[RK_ROLLOUTS_MAX_SERVICES];
    size_t serving_len;
    int64_t queried_ms; /* start of the last query of an order's state */
    bool querying;      /* a query is in flight */
};

/* Returns the rule of a service in an announcement; NULL: there is none. */
const struct rk_rollout_rule *
rk_rollout_announced_rule(const struct rk_rollout_announcement *announcement,
                          const char *service);

/* Returns the version that another one replaces or has replaced; "": not known. */
const char *rk_rollouts_previous_version(const struct rk_rollouts *r,
                                         const char *service, const char *version);

/* ---- rollouts_leader.c ---- */

void rk_rollouts_init_order_watch(struct rk_rollouts *r);
/* Drops all runs and lists the orders anew, as this node has just become leader. */
void rk_rollouts_begin_leading(struct rk_rollouts *r);
/* At the leader: advances all runs and records their states in the store. */
void rk_rollouts_update_runs(struct rk_rollouts *r);

#endif
