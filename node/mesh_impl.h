/* Private state of the mesh, which links this node to the other nodes, and the
 * functions that the mesh's files share. Each group of functions below names its
 * file. Other modules use node/state.h. Control thread only. */
#ifndef RK_NODE_MESH_IMPL_H
#define RK_NODE_MESH_IMPL_H

#include "core/send_budget.h"
#include "core/totals.h"
#include "node/state.h"

/* Up to this many nodes form a full mesh ("direct"): each reports to each. In a
 * larger fleet each failure domain elects RK_MESH_BRIDGES of its nodes as bridges.
 * A bridge collects the reports of its domain and exchanges digests of them with
 * the bridges of the other domains. */
#define RK_MESH_DIRECT_MAX 12
#define RK_MESH_BRIDGES    2

/* In these files a node's quota history is what it knows of the use of quotas at
 * all nodes within the quotas' window, by window slices. Quota usage is what one
 * node itself, or a sum of nodes, used since its start. */

/* A link with this many unsent bytes gets no further messages for now. Nothing is
 * lost by that: reports repeat, and the peer requests what it misses of the store's
 * data. */
#define RK_MESH_UNSENT_MAX (256 * 1024)

/* Most peers of a group, and most services with brittle VMs that only some nodes
 * use. */
#define RK_PEER_GROUP_MAX       8
#define RK_BRITTLE_SERVICES_MAX 4

/* Number of a node's past incarnations that are kept. */
#define PAST_INCARNATIONS 8

struct lh_table;
struct rk_link;
struct rk_listener;

/* The last digest received from a node. */
struct digest {
    int64_t received_ms; /* 0: none was received */
    uint64_t incarnation;
    bool has_content;   /* a full one was received, not only heartbeats */
    int64_t content_ms; /* when the last full one was received */
    bool fleet;         /* covers the whole fleet, not only the sender's domain */
    int nodes_reachable, nodes_total; /* of what it covers; of the fleet */
    int64_t quota_history_ms;         /* length of the sender's quota history */
    double quota_history_shares[RK_QUOTA_SLICES]; /* of the nodes it covers */
    struct rk_vm_load *loads;
    size_t loads_len;
    /* The usage of quotas, and the quota history, which comes only with some of the
     * digests. */
    struct rk_org_uses uses;
    struct rk_service_load *services;
    size_t services_len;
    /* Whether baseline_uses and baseline_reads are valid: the sender's counters
     * when a digest with the same coverage was last counted here. */
    bool has_baseline;
    /* Usage from before the baseline was not counted here and has to be taken from
     * the sender's quota history. */
    bool needs_catch_up;
    struct rk_totals baseline_uses, baseline_reads;
    int64_t baseline_ms; /* when the baseline's counters were received */
    int64_t counted_ms;  /* up to when usage was counted, from any sender */
};

/* State of one link: what was sent over it, and what the peer requested. */
struct link_state {
    bool settings_requested; /* by the peer, not sent yet */
    bool list_requested;     /* the whole VM list, not sent yet */
    bool list_sent;          /* the whole VM list, at least once */
    int64_t settings_sent;   /* version of the settings sent last; 0: none */
    int64_t members_sent_ms; /* by rk_digest_send_members(), last; 0: never */
    bool uses_sent;          /* all rows of quota usage were sent */
    unsigned digest_round;   /* of the last full digest sent; 0: none */
};

struct member {
    struct rk_mesh *m;
    struct member *next, *next_contact;
    bool is_contact;
    char id[RK_ID_MAX]; /* "": a seed address whose node is not known yet */
    char addr[RK_ADDR_MAX];
    char domain[RK_ID_MAX]; /* "": not known yet */
    int64_t capacity;       /* processor share in thousandths of a core */
    uint64_t hash;          /* of its id */
    bool bridge;            /* of its domain, by the last election */
    bool unconfirmed;       /* listed again after removal, but not reachable yet */
    uint64_t incarnation;   /* of its last report; 0: its next one sets baselines */
    uint64_t last_incarnation; /* that a message came from; 0: none */
    uint64_t past_incarnations[PAST_INCARNATIONS]; /* before that, a ring */
    size_t past_len;
    struct rk_link *link;         /* opened by this node */
    struct link_state link_state; /* of that link */
    int64_t settings_version;     /* as it reported */
    int64_t connect_started_ms;   /* 0: never */
    int64_t needed_ms;            /* when the link was needed last */
    int64_t last_received_ms;     /* its last message; 0: none */
    /* When a bridge last reported it reachable; 0: never, or a bridge has reported
     * it unreachable since. */
    int64_t reported_ms;
    int64_t last_alive_ms; /* like reported_ms, but kept when it is unreachable */
    int64_t added_ms;      /* when it became a member */
    bool was_reachable;    /* as logged last */
    uint32_t forward_port; /* at which it takes forwarded calls; 0: none */
    bool leaving;          /* in a planned stop */
    bool slow;             /* as it reported: others are preferred as bridges */
    bool
        store_reachable; /* as it reported: it watches the store and gets answers */
    int64_t quota_history_ms;                     /* length of its quota history */
    double quota_history_shares[RK_QUOTA_SLICES]; /* of the nodes it covers */
    struct rk_vm_load *loads;
    size_t loads_len;
    struct rk_org_uses uses;  /* since its start, by its last reports */
    bool has_all_uses;        /* uses has all its rows: changes can be applied */
    bool has_quota_history;   /* its quota history was received */
    int64_t reports_since_ms; /* when its first report arrived; 0: none */
    bool accepts_changes;     /* it accepts reports of only the rows that changed */
    bool accepts_brief;       /* it accepts digests that are only heartbeats */
    int64_t uses_requested_ms;        /* when all its rows were requested last */
    struct rk_service_load *services; /* since its start */
    size_t services_len;
    struct rk_rollout_stats *canary_stats; /* since its start */
    size_t canary_stats_len;
    bool canary_stats_of_domain; /* a sum over its whole domain */
    int64_t canary_stats_ms;     /* when they were received */
    struct digest digest;
};

/* A node that ended, or was cut off, without a planned stop. It is kept after its
 * member was removed, as it may serve on. */
struct silent_node {
    uint64_t hash; /* of its id */
    int64_t since_ms;
    int64_t heard_ms; /* when it was heard again; 0: it wasn't */
};

/* A link that a peer opened to this node. */
struct inbound_link {
    struct rk_mesh *m;
    struct rk_link *link;
    struct link_state state;
    struct inbound_link *next;
};

/* Peers of one failure domain, or of all others, to which calls can be forwarded:
 * the ones with the highest weights, highest first. */
struct rk_peer_group {
    char ids[RK_PEER_GROUP_MAX][RK_ID_MAX];
    uint64_t weights[RK_PEER_GROUP_MAX];
    size_t len;
};

/* A plain service whose brittle VMs are each shared by some of the nodes, and such
 * nodes of this failure domain and of others. */
struct rk_brittle_service {
    char service[RK_ID_MAX];
    struct rk_peer_group near, far;
};

struct rk_brittle_services {
    struct rk_brittle_service rows[RK_BRITTLE_SERVICES_MAX];
    size_t len;
};

/* When counts of calls were sent last: of windows that still fill, and of all. */
struct rk_usage_sent {
    int64_t current_ms, all_ms;
};

struct rk_mesh {
    struct rk_node *n;
    struct rk_listener *listener;
    struct member *members;
    size_t members_len;
    /* Members that this node got a message from or connected to. In a large fleet
     * these are few at most nodes, so per-message work goes over this list only. */
    struct member *contacts;
    struct lh_table *by_id; /* members whose ids are known */
    struct silent_node *silent;
    size_t silent_len, silent_cap;
    struct inbound_link *inbound;
    struct rk_timer tick, report_timer, relay_timer, registration_timer,
        transfer_timer;
    int64_t next_tick_ms; /* when the next tick is due */
    double late_ms;       /* delay of ticks, exponentially smoothed */
    bool slow;            /* ticks are late: others are preferred as bridges */
    int64_t report_sent_ms;
    int64_t digest_sent_ms;
    unsigned digest_rounds;                   /* completed so far */
    struct rk_send_budget full_digest_budget; /* for digests with content */
    struct rk_usage_sent own_usage_sent, domain_usage_sent;
    struct rk_totals
        uses_reported; /* own units by organisation, as reported last */
    /* Whether the next report has to contain all rows of quota usage, and the quota
     * history. */
    bool uses_requested, history_requested;
    int64_t
        history_requested_ms; /* when a node's quota history was requested last */
    char usage_leader[RK_ID_MAX]; /* the leader that got the last counts */
    int64_t announcement_sent_ms; /* of rollouts, by this node as leader */
    int64_t canary_stats_sent_ms;
    /* When quarantine rows, and VMs' limits, were repeated last, as is done for as
     * long as they hold. */
    int64_t quarantine_sent_ms, limits_sent_ms;
    size_t limits_offset; /* number of limits to skip in the next message */
    int64_t registration_retry_ms; /* mean delay before the next retry */
    int lists_left;                /* further reads of the store's list of nodes */
    int64_t member_removed_ms;     /* when a member was removed last; 0: never */
    bool registered;               /* this node is in the store's list of nodes */
    bool has_node_list;            /* this node knows who is in that list */
    int64_t list_requested_ms;     /* when changes of the VM list were requested */
    /* The link over which settings were requested last; compared, never read. */
    const struct link_state *settings_source;
    int64_t settings_requested_ms; /* 0: never, or newer ones arrived since */
    int64_t fleet_members_ms; /* when a digest last listed the fleet's members */
    /* Results of the last election. */
    bool direct;          /* a small fleet: each node reports to each */
    int total;            /* nodes of the fleet, this one included */
    bool bridge;          /* this node is a bridge of its domain */
    int rank;             /* nodes of this domain that precede this one */
    bool has_store_watch; /* one of those watches the store and gets answers */
    /* The member whose quota history the relay takes over with its next update;
     * NULL: none. */
    const struct member *catch_up_source;
    /* When the fleet's usage was counted last: by a digest of the fleet, or by the
     * reports and digests that a bridge gets; 0: never. */
    int64_t fleet_counted_ms;
    /* Time for which it was not counted, to be passed to the relay; 0: none. */
    int64_t usage_gap_ms;
    /* When to take over a peer's history once more; 0: not due. */
    int64_t catch_up_at_ms;
    /* Units used by peers since the relay's last update. */
    struct rk_org_use *peer_uses;
    size_t peer_uses_len;
    struct rk_totals peer_reads; /* tokens read for the peers, by service */
    /* At a bridge: what its domain and the fleet used and read since its start, and
     * how much of this node's own counters is included. */
    struct rk_totals domain_uses, fleet_uses, domain_reads, fleet_reads;
    struct rk_totals included_uses, included_reads;
    int64_t revision_logged_ms; /* last log line on an implausible revision */
    /* At other nodes: own counters at the last fleet digest that was counted. */
    struct rk_totals baseline_uses, baseline_reads;
};

/* A report being built. */
struct rk_report {
    float known_shares[RK_QUOTA_SLICES];
    Rillknot__NodeReport report;
    Rillknot__LeaseRow lease;
    Rillknot__VmUse *vms, **vm_ptrs;
    Rillknot__OrgUse *uses, **use_ptrs;
    uint64_t *known;
    float *class_demand;
    Rillknot__UsageRow *usage, **usage_ptrs;
    Rillknot__ServiceUse *services, **service_ptrs;
    Rillknot__EngineEstimate *engines;
    char **peers;
};

/* ---- members.c ---- */

/* Returns the number of members, not counting this node. */
size_t rk_mesh_count(const struct rk_mesh *m);
/* Returns whether this node itself got a message from the member recently. */
bool rk_mesh_is_reachable_directly(const struct member *k, int64_t now_ms);
/* Returns whether the member is reachable from this node or by a bridge's report,
 * or was added too recently to tell. */
bool rk_mesh_is_alive(const struct member *k, int64_t now_ms);
/* Returns whether a node can have this id and this address; id "": not known. What
 * the store or a peer says of another one is not used. */
bool rk_mesh_is_identity(const char *id, const char *addr);
bool rk_mesh_is_self(const struct rk_mesh *m, const char *id, const char *addr);
/* Returns whether the member is in this node's failure domain. */
bool rk_mesh_is_same_domain(const struct member *k);
/* Both return NULL if there is no such member. */
struct member *rk_mesh_find(const struct rk_mesh *m, const char *id);
struct member *rk_mesh_find_addr(const struct rk_mesh *m, const char *addr);
/* Returns the member with an id or else with an address, adding it if it is new.
 * id: "" if only the address is known. A new address of a known member is taken
 * over, which closes its link. The mesh owns the member. */
struct member *rk_mesh_find_or_add(struct rk_mesh *m, const char *id,
                                   const char *addr);
/* Notes the incarnation of a message. Returns false if it is a past one: a message
 * that a node sent before its restart may arrive after one from its new
 * incarnation. */
bool rk_mesh_accepts_incarnation(struct member *k, uint64_t incarnation);
/* Adds the member to the contacts. */
void rk_mesh_add_contact(struct member *k);
void rk_mesh_init_members(struct rk_mesh *m);
void rk_mesh_free_members(struct rk_mesh *m);
/* Removes members that have been unreachable for long, and logs members that became
 * reachable or unreachable. */
void rk_mesh_expire_members(struct rk_mesh *m, int64_t now_ms);
/* Elects the bridges of each failure domain, and updates this node's own role and
 * rank. All nodes that know the same members elect the same bridges. */
void rk_mesh_elect(struct rk_mesh *m, int64_t now_ms);

/* ---- forward_peers.c: peers that take forwarded calls ---- */

/* Returns whether calls can be forwarded to the member now. */
bool rk_mesh_may_take_calls(const struct member *k, int64_t now_ms);
/* Adds a peer to the group if its weight is among the highest, once. */
void rk_peer_group_offer(struct rk_peer_group *g, const char *id, uint64_t weight);
/* Returns the port at which this node takes forwarded calls; 0: none. */
uint32_t rk_mesh_forward_port(const struct rk_mesh *m);
/* Fills in the peers to which the relay can forward calls. */
void rk_mesh_fill_forward_peers(const struct rk_mesh *m, struct rk_relay_peers *p,
                                int64_t now_ms);
/* Fills in the peers that are told of streams and asked for them. */
void rk_mesh_fill_stream_peers(const struct rk_mesh *m, struct rk_relay_peers *p,
                               int64_t now_ms);

/* ---- brittle_shares.c: the nodes that share brittle VMs ---- */

/* Sets brittle_senders of the brittle VMs in the table, and the peers that share
 * them. */
void rk_brittle_share(struct rk_node *n, struct rk_vm_signals *table,
                      struct rk_brittle_services *services);

/* ---- mesh.c ---- */

/* Returns whether this node sends its reports to the member. */
bool rk_mesh_reports_to(const struct member *k);
/* Returns whether a link can take a message now; link may be NULL. */
bool rk_mesh_link_is_ready(const struct rk_link *link);
/* Sends a frame to each contact that wants() selects and whose link can take it. */
void rk_mesh_send(struct rk_mesh *m, const Rillknot__Frame *frame,
                  bool (*wants)(const struct member *k, const void *ctx),
                  const void *ctx);
/* Opens links to members that need one, and closes links not needed any more. */
void rk_mesh_connect(struct rk_mesh *m, int64_t now_ms);
/* For rk_mesh_send(): selects the next hops of data that has to reach all nodes,
 * sent by the nodes that observed it and forwarded by bridges. */
bool rk_mesh_forwards_to(const struct member *k, const void *ctx);
/* Requests all rows of quota usage from a peer; with_history: also its
 * quota history. */
void rk_mesh_request_uses(struct rk_link *link, bool with_history);
/* Requests settings or VM list changes from a peer that has newer ones. */
void rk_mesh_request_if_behind(struct rk_mesh *m, struct rk_link *link,
                               const struct link_state *state,
                               int64_t settings_version, int64_t list_revision);
/* Adds units that peers used of an organisation's quota to the relay's next update.
 * Negative units correct earlier ones. */
void rk_mesh_add_peer_use(struct rk_mesh *m, const char *org, double units);

/* ---- report.c ---- */

/* Builds this node's report. It refers to m and its node; free it with
 * rk_report_free() before either changes. */
void rk_report_fill(struct rk_report *p, struct rk_mesh *m);
void rk_report_free(struct rk_report *p);
/* Applies a member's report. Returns false if it is from a past incarnation. */
bool rk_report_receive(struct member *k, const Rillknot__NodeReport *r);

/* ---- report_quota_usage.c: quota usage in reports ---- */

void rk_report_fill_uses(struct rk_report *p, struct rk_mesh *m,
                         const struct rk_relay_report *r);
/* To be called after a report was sent: notes which members could not take it, as
 * they need all rows next time. */
void rk_report_uses_sent(struct rk_mesh *m, const struct rk_report *p);
/* Usage before a member's first report is not counted, unless has_all_uses is set.
 */
void rk_report_receive_uses(struct member *k, const Rillknot__NodeReport *r);
/* Returns whether rows of a member are missing here, so that all of them should be
 * requested now. Notes the request, which the caller makes. */
bool rk_report_lacks_uses(struct member *k, int64_t now_ms);
/* At a bridge with a shorter quota history than a node of its domain: requests that
 * node's. */
void rk_report_request_history(struct rk_mesh *m, int64_t now_ms);
/* Reads the demand per class, in units/s, from a received row; see
 * rk_quota_class_decode() for rows without classes and with invalid values. */
void rk_report_receive_demand(struct rk_org_use *row, const Rillknot__OrgUse *in);
/* Fills out with the shares of nodes that this node's quota history covers, as they
 * are sent, and returns their number. */
size_t rk_report_put_shares(const struct rk_relay_report *r,
                            float out[RK_QUOTA_SLICES]);
/* Reads such shares; 0 where one is missing or invalid. */
void rk_report_receive_shares(double shares[RK_QUOTA_SLICES], const float *in,
                              size_t len);
/* Sets the demand of a row that is sent. classes: room for RK_QUOTA_CLASSES values
 * that must outlive the row. */
void rk_report_put_demand(Rillknot__OrgUse *out,
                          const double demand[RK_QUOTA_CLASSES], float *classes);
/* Returns whether a member's own report is counted here. In a larger fleet only the
 * bridges of its domain count it; the other nodes count their digests. */
bool rk_report_is_counted(const struct member *k);

/* ---- usage_messages.c: counts of calls by window ---- */

/* Adds this node's counts to its report if they are due. */
void rk_usage_fill_report(struct rk_report *p, struct rk_mesh *m);
void rk_usage_receive(struct rk_node *n, Rillknot__UsageRow *const *rows,
                      size_t len);
/* At a bridge: sends the counts of its domain to the leader if they are due. */
void rk_usage_send_to_leader(struct rk_mesh *m, int64_t now_ms);

/* ---- transfer.c: settings and whole VM lists, sent to one peer at a time ---- */

/* Returns the bytes that wait on this machine, on all links. */
size_t rk_mesh_waiting_bytes(const struct rk_mesh *m);
void rk_transfer_init(struct rk_mesh *m);
/* Returns whether to request the settings now from a peer that has `version`; if
 * so, notes the request. from: identifies the peer's link. */
bool rk_transfer_should_request(struct rk_mesh *m, const struct link_state *from,
                                int64_t version, int64_t now_ms);
/* Schedules a pass over the peers that lack settings or the VM list. */
void rk_transfer_schedule(struct rk_mesh *m);
/* Handles a peer's request for the settings. */
void rk_transfer_on_settings_request(struct rk_mesh *m, struct link_state *state);
/* Handles a peer's request for the changes of the VM list since a revision; 0: for
 * the whole list. */
void rk_transfer_on_list_request(struct rk_mesh *m, struct rk_link *link,
                                 struct link_state *state, int64_t since);

/* ---- loads.c: calls in flight, VMs' health and demand at the peers ---- */

/* Encodes a load. out refers to load. */
void rk_loads_encode(Rillknot__VmUse *out, struct rk_vm_load *load);
/* Decodes received loads into *loads, which is reallocated. */
void rk_loads_decode(struct rk_vm_load **loads, size_t *len, Rillknot__VmUse **from,
                     size_t from_len);
void rk_loads_sum(struct rk_vm_load *sum, const struct rk_vm_load *more);
/* Fills in the loads of all peers for the relay. */
void rk_loads_fill(const struct rk_mesh *m, struct rk_relay_peers *p,
                   int64_t now_ms);
/* Calls of a service in flight at the peers. */
struct rk_in_flight {
    uint32_t running;
    uint32_t begun; /* of these, calls whose answers have begun */
};
struct rk_in_flight rk_loads_in_flight(const struct rk_mesh *m, const char *service,
                                       int64_t now_ms);
/* Adds the demand, in quota units/s by organisation and class, of the members whose
 * reports are counted here and, if fleet, of the other domains by their digests. */
void rk_loads_add_demand(const struct rk_mesh *m, bool fleet,
                         struct rk_org_demands *sum, int64_t now_ms);
/* Adds the demand of all peers, by the best source available. */
void rk_loads_add_peer_demand(const struct rk_mesh *m, struct rk_org_demands *sum,
                              int64_t now_ms);

/* ---- engines.c: the nodes' estimates of engine speed ---- */

void rk_engines_encode(Rillknot__EngineEstimate *out,
                       const struct rk_engine_estimate *e);
struct rk_engine_estimate rk_engines_decode(const Rillknot__EngineEstimate *in);
/* Returns the mean estimate over the nodes of this domain or, if fleet, of the
 * whole fleet; this node is included. */
struct rk_engine_estimate rk_engines_mean(const struct rk_mesh *m,
                                          const char *service, bool fleet);
void rk_engines_fill(const struct rk_mesh *m, struct rk_relay_peers *p);

/* ---- digest_receive.c: received digests ---- */

/* Stores a digest of k. Returns true if it was counted, so that the relay needs an
 * update. */
bool rk_digest_receive(struct member *k, const Rillknot__Digest *d);
/* Frees what the digest holds, not d itself. */
void rk_digest_free(struct digest *d);
/* Returns the member whose word on reachable nodes holds here, by its digests of
 * the fleet or its heartbeats; NULL if none is recent, or if this node is a bridge.
 */
const struct member *rk_digest_reachability_source(const struct rk_mesh *m,
                                                   int64_t now_ms);
/* Returns the member whose fleet digest is counted here: one whose digests have
 * content, if there is one. NULL if none is recent, or if this node is a bridge. */
const struct member *rk_digest_fleet_source(const struct rk_mesh *m,
                                            int64_t now_ms);
/* Returns the member whose digest of a domain is counted here; NULL if none is
 * recent. */
const struct member *rk_digest_domain_source(const struct rk_mesh *m,
                                             const char *domain, int64_t now_ms);
/* Returns whether the member's digest of its domain is counted here; never true for
 * this node's own domain. */
bool rk_digest_is_counted(const struct member *k, int64_t now_ms);

/* ---- digest_send.c: sent digests ---- */

/* At a bridge: sends a round of digests if it is due. */
void rk_digest_send(struct rk_mesh *m);
/* Sends the member list to a node that knows only this one's address, over the link
 * on which its report came. */
void rk_digest_send_members(struct rk_mesh *m, struct rk_link *link,
                            struct link_state *state);
/* Starts counting as a bridge: sets all baselines to what has been used so far. */
void rk_digest_start_counting(struct rk_mesh *m);
/* Notes for how long the fleet's usage was not counted: its source has ended, and
 * the next one's first digest only sets a baseline. */
void rk_digest_note_gap(struct rk_mesh *m, int64_t now_ms);

/* ---- rollout_messages.c: rollout announcements and canary statistics ---- */

void rk_rollout_receive_announcement(struct rk_mesh *m,
                                     const Rillknot__RolloutWord *msg);
void rk_rollout_receive_stats(struct rk_mesh *m, const Rillknot__RolloutSeen *msg);
/* Sends canary statistics, if due, to the nodes that sum them. */
void rk_rollout_send_stats(struct rk_mesh *m, int64_t now_ms);

/* ---- quarantine_messages.c: requests and segments under which VMs ended ---- */

void rk_quarantine_send(struct rk_mesh *m, int64_t now_ms);
void rk_quarantine_receive(struct rk_mesh *m, const Rillknot__Quarantine *msg);

/* ---- signal_messages.c: signals that VMs advertise in their answers ---- */

void rk_signal_send(struct rk_mesh *m, int64_t now_ms);
void rk_signal_receive(struct rk_mesh *m, const Rillknot__VmSignals *msg);

/* ---- registration.c: registers this node in the store's node list and reads the
 * list */

void rk_registration_init(struct rk_mesh *m);
void rk_registration_start(struct rk_mesh *m);

/* ---- silent_nodes.c ---- */

/* Notes whether a member is alive; last_alive_ms: when it was last known to be. */
void rk_mesh_note_silence(struct rk_mesh *m, const struct member *k,
                          int64_t last_alive_ms, int64_t now_ms);
/* Forgets the silent nodes that are back, or have been silent for very long. */
void rk_mesh_expire_silent(struct rk_mesh *m, int64_t now_ms);
/* Returns since when a node that may still serve has been silent: the first one of
 * those; 0: none is. */
int64_t rk_mesh_silent_since_ms(const struct rk_mesh *m);

#endif
