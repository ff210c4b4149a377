/* Organisation quotas across all nodes. Tracks what each organisation used within a
 * sliding window, from this node's own admissions and from peers' reports, and
 * decides whether a call is admitted. A node that can reach only some of its peers
 * uses only the reachable nodes' share of each quota, so that all sides of a
 * network partition together stay within it. Pure: no I/O, no clock; the caller
 * passes the time. Not thread-safe. */
#ifndef RK_CORE_QUOTA_H
#define RK_CORE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/name_index.h"
#include "core/quota_classes.h"

/* One bucket more than a window, as the oldest bucket lies only partly within
 * it. */
#define RK_QUOTA_BUCKETS   33
#define RK_QUOTA_SLICES    8    /* window slices in reports between nodes */
#define RK_QUOTA_WINDOW_MS 8000 /* default, when the deployment sets none */
#define RK_ASSUMED_NODES   8    /* assumed until the node list is known */

/* Usage and demand of one organisation. */
struct rk_quota_org {
    char name[RK_ID_MAX];          /* must be first: see core/name_index.h */
    double used[RK_QUOTA_BUCKETS]; /* units used by all nodes, per bucket */
    double own[RK_QUOTA_BUCKETS];  /* units admitted by this node, part of used */
    int64_t bucket;                /* number of the newest bucket */
    /* Units admitted by this node since its start, less refunds. */
    double own_net_units;
    double peers_recent;       /* peers' units, decaying exponentially */
    int64_t peers_reported_ms; /* time of the peers' last report of usage */
    double peers_slots[2]; /* peers' units in the current and the previous slot */
    int64_t peers_slot;    /* number of the current slot */
    struct rk_class_demand demand; /* requested here, per class */
    /* Units/s requested at the peers per class; set by the owner. */
    double peers_demand[RK_QUOTA_CLASSES];
    double quota;     /* units per window, as last set */
    double old_quota; /* higher quota still in force after a reduction */
    int64_t old_quota_until_ms;
    /* Units used by all nodes before a restart. */
    double restored[RK_QUOTA_BUCKETS];
    double restored_demand; /* units/s requested at all nodes before it */
};

/* Quota state of one node. */
struct rk_quota {
    int64_t window_ms;
    struct rk_quota_org *orgs;
    size_t orgs_len, orgs_cap;
    struct rk_name_index names;       /* index of orgs */
    int nodes_reachable, nodes_total; /* both include this node */
    /* Share of the nodes that was reachable, per bucket. */
    double reachable[RK_QUOTA_BUCKETS];
    int64_t reachable_bucket; /* number of the newest bucket of reachable */
    int64_t rejoined_ms;      /* when a partition last ended; 0: never */
    double rejoin_ratio; /* reachable nodes since then, as a multiple of before */
    double slack;        /* units that may be used beyond a quota */
    /* Share of a quota by which it may be exceeded while some nodes are
     * unreachable; 0 by default. */
    double overrun;
    int64_t lag_ms;         /* age of peers' reports when they arrive */
    int64_t last_report_ms; /* when a peer's report last arrived; 0: never */
    int64_t since_ms;       /* start of this node's own usage data; 0: complete */
    int64_t unknown_before_ms; /* like since_ms; 0 once a peer has sent a whole
                                  window */
    bool restore_read;         /* persisted usage was read, or there is none */
    bool restored;             /* persisted usage is recent enough to be used */
    /* Draws which calls are admitted. Its state differs between nodes; the owner
     * seeds it. */
    struct rk_rng rng;
};

/* Initialises q. window_ms: 0 selects RK_QUOTA_WINDOW_MS. slack: units that may be
 * used beyond a quota. since_ms: when this process restarted, as it knows no older
 * usage; 0 on the first start of the deployment. */
void rk_quota_init(struct rk_quota *q, int64_t window_ms, double slack,
                   int64_t since_ms);

/* Frees what q owns, but not q itself. */
void rk_quota_free(struct rk_quota *q);

/* Figures behind an admission decision. */
struct rk_quota_decision {
    /* In units: usage known and estimated within the window, usage assumed before a
     * restart, and the limit for both. */
    double used, used_before_restart, limit;
    double share; /* share that can be admitted of all calls while little is free */
    double class_share;     /* share of the calls of this call's class */
    int64_t retry_after_ms; /* when units are expected to be free again */
};

/* Sets how many nodes are reachable out of all nodes, both including this one. */
void rk_quota_set_reachable(struct rk_quota *q, int nodes_reachable,
                            int nodes_total, int64_t now_ms);

/* Decides whether a call that costs `units` is admitted, and counts it if so. rate:
 * units/s, 0: no limit; burst: units on top of the rate in each window. call_class:
 * see rk_quota_class(). A lowered quota takes effect after one window; until then
 * the higher one is in force. *answer is filled in either case. */
bool rk_quota_admit(struct rk_quota *q, const char *org, double rate, double burst,
                    double units, int call_class, int64_t now_ms,
                    struct rk_quota_decision *answer);

/* Adds units that peers admitted since their previous report; negative for
 * refunds. */
void rk_quota_add_peers(struct rk_quota *q, const char *org, double units,
                        int64_t now_ms);

/* Counts an estimate of what peers used in the last gap_ms, which no report covers:
 * its source has ended, and the next one reports from now on. */
void rk_quota_fill_gap(struct rk_quota *q, int64_t gap_ms, int64_t now_ms);

/* Returns how far back this node's own usage data goes, in ms, at most one
 * window. */
int64_t rk_quota_history_ms(const struct rk_quota *q, int64_t now_ms);

/* Returns whether a peer whose usage data goes back peer_ms started at about the
 * same time as this node, whose data goes back own_ms. No record and no history has
 * what the peer used since then. */
bool rk_quota_started_together(int64_t own_ms, int64_t peer_ms, int64_t window_ms);

/* Notes that a peer's usage data goes back remembers_ms. If that is a whole window,
 * nothing has to be assumed about usage before the restart. The peer's usage of
 * every organisation must have been merged by rk_quota_merge() before. */
void rk_quota_peer_history(struct rk_quota *q, int64_t remembers_ms);

/* Merges what a peer knows of the usage of all nodes, in units per window slice,
 * newest first: afterwards, of the usage of any age and older, this node knows no
 * less than the peer. */
void rk_quota_merge(struct rk_quota *q, const char *org,
                    const double slices[RK_QUOTA_SLICES], int64_t now_ms);

/* Fills shares with the share of the nodes whose usage this node knows, per window
 * slice, newest first; 0: nothing is known. */
void rk_quota_report_shares(const struct rk_quota *q,
                            double shares[RK_QUOTA_SLICES], int64_t now_ms);

/* Takes over such shares from a peer, or of age_ms from the store, for the time
 * before this node's start. */
void rk_quota_merge_shares(struct rk_quota *q, const double shares[RK_QUOTA_SLICES],
                           int64_t age_ms, int64_t now_ms);

/* Fills slices with what this node knows of the usage of all nodes, in units per
 * window slice, newest first. */
void rk_quota_report(const struct rk_quota *q, struct rk_quota_org *o,
                     double slices[RK_QUOTA_SLICES], int64_t now_ms);

/* Like rk_quota_report(), plus what was used, or may have been used, before this
 * node's restart. The result is meant for the store. quota: units per window; rate:
 * units/s. */
void rk_quota_persist(const struct rk_quota *q, struct rk_quota_org *o,
                      double quota, double rate, double slices[RK_QUOTA_SLICES],
                      int64_t now_ms);

/* Returns whether rk_quota_persist() reports at least what was used within the
 * window. It does not while the persisted usage has not been read after a restart.
 */
bool rk_quota_is_complete(const struct rk_quota *q, int64_t now_ms);

/* Adds usage persisted before a restart. slices is what all nodes used, in units
 * per window slice, newest first; demand_per_s is their demand in units/s; age_ms
 * is the age of this record. Also adds an estimate of what was used after the
 * record was written. All of it counts until a peer reports its own data. */
void rk_quota_restore(struct rk_quota *q, const char *org,
                      const double slices[RK_QUOTA_SLICES], double demand_per_s,
                      int64_t age_ms, int64_t now_ms);

/* Ends a series of rk_quota_restore() calls. If the record is recent enough
 * (age_ms), only what was restored counts as used before the restart; otherwise up
 * to the whole quota may have been used. */
void rk_quota_restore_done(struct rk_quota *q, int64_t age_ms);

/* Returns units used by all nodes within the window, as far as this node knows. */
double rk_quota_used(const struct rk_quota_org *o);

/* Returns units/s requested at this node, refused calls included. */
double rk_quota_demand(const struct rk_quota_org *o, int64_t now_ms);

/* Gives back units that this node admitted for a call that did not run. */
void rk_quota_refund(struct rk_quota *q, const char *org, double units,
                     int64_t now_ms);

#endif
