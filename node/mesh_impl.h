/* State of the mesh, shared by its files: members.c (the nodes that are known, who
 * bridges), mesh.c (links, who is told what), report.c and report_uses.c
 * (what nodes tell of themselves), tell.c (settings to those who lack them),
 * digest.c and digest_tell.c (what bridges tell of several nodes), loads.c (what
 * runs where) and enrol.c (the list of nodes in the store). Not for others. */
#ifndef RK_NODE_MESH_IMPL_H
#define RK_NODE_MESH_IMPL_H

#include "core/send_budget.h"
#include "core/tally.h"
#include "node/state.h"

/* In a fleet of up to so many nodes each tells each; in a larger one the first
 * nodes of each failure domain are its bridges. */
#define RK_MESH_DIRECT  12
#define RK_MESH_BRIDGES 2

/* A peer that is so far behind is told no more for now: news come again, and what
 * it misses of the store it asks for. */
#define RK_MESH_BEHIND (256 * 1024)

/* Lives of a node that are remembered after it started again. */
#define ENDED_LIVES 8

struct lh_table;
struct rk_link;
struct rk_listener;

/* The last digest of a node. */
struct digest {
    int64_t heard_ms; /* 0: none */
    uint64_t incarnation;
    bool is_told; /* more than that it is there */
    bool fleet;
    int nodes_heard, nodes_total;
    int64_t remembers_ms;
    struct rk_vm_load *loads;
    size_t loads_len;
    struct rk_org_uses uses; /* known[] is told now and then */
    struct rk_service_use *services;
    size_t services_len;
    /* Its counters when a digest of its kind was counted last. */
    bool based;
    bool catch_up; /* what was used before that is not counted here */
    struct rk_tally base_uses, base_reads;
};

/* What a link was told. */
struct link_told {
    bool wanted;          /* the peer asked and was not answered yet */
    bool list_wanted;     /* the same, for the whole list of vms */
    bool list_sent;       /* it was told that once */
    int64_t sent_version; /* 0: none */
    int64_t members_ms;   /* it was told who the members are, unasked; 0: never */
    bool has_uses;        /* it was told all rows of uses */
    unsigned digest;      /* the last that it was told whole; 0: none */
};

struct member {
    struct rk_mesh *m;
    struct member *next, *next_contact;
    bool is_contact;
    char id[RK_ID_MAX]; /* "": a seed that has not told its name */
    char addr[RK_ADDR_MAX];
    char domain[RK_ID_MAX]; /* "": not known yet */
    int64_t capacity;       /* thousandths of a core */
    uint64_t hash;          /* of its id */
    bool bridge;            /* of its domain, as elected last */
    bool unproven;          /* listed again after it was forgotten, not heard */
    uint64_t incarnation;
    uint64_t life;               /* the incarnation that spoke last; 0: none did */
    uint64_t ended[ENDED_LIVES]; /* those before it, in a ring */
    size_t ended_len;
    struct rk_link *link;     /* that this node opened */
    struct link_told told;    /* of that link */
    int64_t settings_version; /* as it told itself */
    int64_t dialled_ms;
    int64_t wanted_ms; /* when the link was needed last */
    int64_t heard_ms;  /* itself */
    int64_t told_ms;   /* when a bridge told that it hears it */
    int64_t known_ms;  /* since when it is a member */
    bool heard;        /* as logged last */
    bool leaving;
    bool slow;        /* as it told itself */
    bool hears_store; /* the same */
    int64_t remembers_ms;
    struct rk_vm_load *loads;
    size_t loads_len;
    struct rk_org_uses uses; /* since its start, as told last */
    bool uses_based;         /* uses has all its rows: changes add to them */
    bool knows;              /* uses[].known was told */
    bool takes_changes;      /* it may be told only the rows that changed */
    bool takes_brief;        /* digests */
    int64_t uses_asked_ms;   /* it was asked for all its rows, last */
    struct rk_service_use *services; /* the same */
    size_t services_len;
    struct rk_rollout_seen *trials; /* the same; sum: of its whole domain */
    size_t trials_len;
    bool trials_sum;
    int64_t trials_ms; /* when it told them */
    struct digest digest;
};

/* A link that a peer opened. */
struct guest {
    struct rk_mesh *m;
    struct rk_link *link;
    struct link_told told;
    struct guest *next;
};

/* When counts of calls were told last: those of windows that still fill, all. */
struct rk_usage_told {
    int64_t new_ms, all_ms;
};

struct rk_mesh {
    struct rk_node *n;
    struct rk_listener *listener;
    struct member *members;
    size_t members_len;
    /* Of these, the ones that were heard or dialled themselves. In a large fleet
     * they are few at most nodes, and what is done with each message goes over
     * these. */
    struct member *contacts;
    struct lh_table *by_id; /* of members that told their names */
    struct guest *guests;
    struct rk_timer tick, soon, relay_soon, enrol, tell;
    int64_t due_ms;              /* when the tick is next */
    double late_ms;              /* how late ticks come, smoothed */
    bool slow;                   /* too late to do more than it has to */
    int64_t told_ms;             /* the peers, last */
    int64_t digest_ms;           /* the same, a digest */
    unsigned digests;            /* made so far */
    struct rk_send_budget whole; /* of digests that aren't brief */
    struct rk_usage_told own_told, counts_told;
    struct rk_tally uses_told;      /* own units by organisation, as told last */
    bool uses_wanted, known_wanted; /* the next report tells all rows, with that */
    int64_t known_asked_ms;         /* a node was asked what it knows, last */
    char counts_to[RK_ID_MAX]; /* the holder of the duties that got counts last */
    int64_t word_ms;           /* the word on roll-outs told, last */
    int64_t trials_ms;         /* what calls showed of them, last */
    int64_t quarantine_ms; /* requests that VMs end under, those that stay, last */
    int64_t limits_ms;     /* limits of VMs that stay, last */
    size_t limits_from;    /* how many of these were told before */
    int64_t enrol_ms;
    int lists_left;       /* how often the store's list of nodes is read again */
    int64_t forgotten_ms; /* a member was forgotten last; 0: never */
    bool enrolled, listed;
    int64_t asked_ms;                   /* for changes of the list, last */
    const struct link_told *asked_last; /* compared only */
    int64_t wanted_ms;                  /* settings were asked for, last */
    int64_t fleet_ms; /* when the members of the fleet were told last */
    /* As elected last. */
    bool direct;  /* each node tells each */
    int total;    /* nodes of the fleet, this one included */
    bool bridge;  /* this node bridges its domain */
    int preceded; /* nodes of this domain that come before this one */
    bool served;  /* one of them hears the store */
    const struct member *catch_up; /* whose knowledge the relay is to take over */
    /* Used by peers since the relay was told. */
    struct rk_org_use *news;
    size_t news_len;
    struct rk_tally peer_reads; /* tokens read for the peers, by service */
    /* Of a bridge: what its domain, and the fleet, used and read since its start,
     * and how much of this node's own is in that. */
    struct rk_tally domain_uses, fleet_uses, domain_reads, fleet_reads;
    struct rk_tally own_uses, own_reads;
    /* Own counters as counted with the last digest of a bridge. */
    struct rk_tally based_uses, based_reads;
};

/* A report in the making. */
struct rk_report {
    Rillknot__NodeReport report;
    Rillknot__LeaseRow lease;
    Rillknot__VmUse *vms, **vm_ptrs;
    Rillknot__OrgUse *uses, **use_ptrs;
    uint64_t *known;
    Rillknot__UsageRow *usage, **usage_ptrs;
    Rillknot__ServiceUse *services, **service_ptrs;
    Rillknot__EngineEstimate *engines;
    char **peers;
};

/* members.c */
size_t rk_mesh_count(const struct rk_mesh *m); /* members, this node not counted */
bool rk_mesh_is_heard(const struct member *k, int64_t now_ms); /* itself */
/* Heard itself or by a bridge, or too new to say. */
bool rk_mesh_is_alive(const struct member *k, int64_t now_ms);
bool rk_mesh_is_self(const struct rk_mesh *m, const char *id, const char *addr);
bool rk_mesh_is_near(const struct member *k); /* in this node's domain */
struct member *rk_mesh_find(const struct rk_mesh *m, const char *id);
struct member *rk_mesh_find_addr(const struct rk_mesh *m, const char *addr);
/* A node at an address; it may be known by that address only. */
struct member *rk_mesh_learn(struct rk_mesh *m, const char *id, const char *addr);
/* Does what was said by an incarnation still count? What a node sent before it
 * started again may arrive after its new life has spoken. */
bool rk_mesh_hears_life(struct member *k, uint64_t incarnation);
/* Words are exchanged with it from now on. */
void rk_mesh_meet(struct member *k);
void rk_mesh_init_members(struct rk_mesh *m);
void rk_mesh_free_members(struct rk_mesh *m);
/* Forget who was silent for long, and log who came and went. */
void rk_mesh_review(struct rk_mesh *m, int64_t now_ms);
/* Say who bridges which domain. */
void rk_mesh_elect(struct rk_mesh *m, int64_t now_ms);

/* mesh.c */
/* Does this node tell a member its report? */
bool rk_mesh_is_told(const struct member *k);
/* Is there a link that takes a message now? */
bool rk_mesh_takes(const struct rk_link *link);
/* Send to each member that wants it, where there is a link that takes it. */
void rk_mesh_send(struct rk_mesh *m, const Rillknot__Frame *frame,
                  bool (*wants)(const struct member *k, const void *ctx),
                  const void *ctx);
void rk_mesh_dial(struct rk_mesh *m, int64_t now_ms);
/* For rk_mesh_send(): is a member told what all nodes are to know of, by those who
 * saw it and by bridges? */
bool rk_mesh_passes_on(const struct member *k, const void *ctx);
/* Ask a peer for all its rows of uses, known: with what it knows of all. */
void rk_mesh_want_uses(struct rk_link *link, bool known);
/* Ask a peer that knows more of the store. */
void rk_mesh_ask_if_behind(struct rk_mesh *m, struct rk_link *link,
                           const struct link_told *told, int64_t settings_version,
                           int64_t list_revision);
/* Peers used units of an organisation, or gave some back: told to the relay. */
void rk_mesh_add_news(struct rk_mesh *m, const char *org, double units);

/* report.c: make a report of this node; take in what a member told. */
void rk_report_fill(struct rk_report *p, struct rk_mesh *m);
void rk_report_free(struct rk_report *p);
/* False: it is of a life that has ended. */
bool rk_report_take(struct member *k, const Rillknot__NodeReport *r);

/* report_uses.c: the use of quotas, in reports. */
void rk_report_fill_uses(struct rk_report *p, struct rk_mesh *m,
                         const struct rk_relay_report *r);
/* After a report was sent: who could not take it has to be told all. */
void rk_report_note_uses(struct rk_mesh *m, const struct rk_report *p);
void rk_report_take_uses(struct member *k, const Rillknot__NodeReport *r,
                         bool first);
/* Does a bridge lack rows of a member? It asks for them then. */
bool rk_report_lacks_uses(struct member *k, int64_t now_ms);
/* A bridge that remembers less than a node of its domain asks one. */
void rk_report_ask_known(struct rk_mesh *m, int64_t now_ms);
/* Units a second that callers ask for, as told; 0 for what can't be. */
double rk_report_asking(const Rillknot__OrgUse *told);
/* Does what a member tells of itself count here? In a larger fleet the bridges of
 * its domain count it, and the others hear of it by their digests. */
bool rk_report_counts(const struct member *k);

/* usage_tell.c: counts of calls by window, if they are due. */
void rk_usage_fill_report(struct rk_report *p, struct rk_mesh *m);
void rk_usage_take(struct rk_node *n, Rillknot__UsageRow *const *rows, size_t len);
/* A bridge tells the holder of the duties what its domain counted. */
void rk_usage_tell_holder(struct rk_mesh *m, int64_t now_ms);

/* tell.c: settings and whole lists of vms, to one peer after the other. */
/* Bytes that wait on this machine, on all links. */
size_t rk_mesh_waiting(const struct rk_mesh *m);
void rk_tell_init(struct rk_mesh *m);
/* A peer told of a version: is it time to ask it for the settings? */
bool rk_tell_should_ask(struct rk_mesh *m, const struct link_told *from,
                        int64_t version, int64_t now_ms);
/* Look who lacks the settings. */
void rk_tell_soon(struct rk_mesh *m);
/* A peer asked over a link. */
void rk_tell_wanted(struct rk_mesh *m, struct link_told *told);
/* The same, for the list of vms as it changed since a revision; 0: all of it. */
void rk_tell_list_wanted(struct rk_mesh *m, struct rk_link *link,
                         struct link_told *told, int64_t since);

/* loads.c: what the peers have in hand, and how vms serve them. */
void rk_loads_put(Rillknot__VmUse *out, struct rk_vm_load *load);
/* What a peer told; *loads is made anew. */
void rk_loads_take(struct rk_vm_load **loads, size_t *len, Rillknot__VmUse **told,
                   size_t told_len);
void rk_loads_sum(struct rk_vm_load *sum, const struct rk_vm_load *more);
void rk_loads_fill(const struct rk_mesh *m, struct rk_relay_peers *p,
                   int64_t now_ms);
/* Calls of a service that the peers have in hand. */
struct rk_in_hand {
    uint32_t running;
    uint32_t begun; /* of these, the ones whose answers have begun */
};
struct rk_in_hand rk_loads_in_hand(const struct rk_mesh *m, const char *service,
                                   int64_t now_ms);
/* Add what callers ask for, in units of quotas a second: at the nodes that report
 * to this one, and if fleet, of the other domains by their digests. */
void rk_loads_add_asking(const struct rk_mesh *m, bool fleet, struct rk_tally *sum,
                         int64_t now_ms);
/* The same of all peers, by the best source there is. */
void rk_loads_peers_asking(const struct rk_mesh *m, struct rk_tally *sum,
                           int64_t now_ms);

/* engines.c: what the nodes learnt of engines' speed. */
void rk_engines_put(Rillknot__EngineEstimate *out,
                    const struct rk_engine_estimate *e);
struct rk_engine_estimate rk_engines_get(const Rillknot__EngineEstimate *told);
/* The mean of this domain's nodes, or of the whole fleet's; this one's included. */
struct rk_engine_estimate rk_engines_of(const struct rk_mesh *m,
                                        const char *service, bool fleet);
void rk_engines_fill(const struct rk_mesh *m, struct rk_relay_peers *p);

/* digest.c: what bridges tell. */
/* True: it is the one of its kind that counts, and the relay has to hear of it. */
bool rk_digest_take(struct member *k, const Rillknot__Digest *d);
void rk_digest_free(struct digest *d);
/* The node whose digest of the fleet counts here; NULL: none is fresh enough. */
const struct member *rk_digest_of_fleet(const struct rk_mesh *m, int64_t now_ms);
/* The node whose digest of another domain counts here. */
const struct member *rk_digest_of_domain(const struct rk_mesh *m,
                                         const char *domain, int64_t now_ms);
/* Does a member's digest count now? */
bool rk_digest_counts(const struct member *k, int64_t now_ms);

/* digest_tell.c */
/* Tell a digest to those who need it, if this node is a bridge. */
void rk_digest_tell(struct rk_mesh *m);
/* Tell who the members are to a node that just knows this one's address. */
void rk_digest_answer(struct rk_mesh *m, struct rk_link *link,
                      struct link_told *told);
/* Begin to count as a bridge. */
void rk_digest_begin(struct rk_mesh *m);

/* rollout_tell.c: the holder's word on roll-outs, and what calls showed. */
void rk_rollout_tell_take_word(struct rk_mesh *m,
                               const Rillknot__RolloutWord *word);
void rk_rollout_tell_take_seen(struct rk_mesh *m,
                               const Rillknot__RolloutSeen *seen);
/* Tell what calls showed to those who sum it. */
void rk_rollout_tell_seen(struct rk_mesh *m, int64_t now_ms);

/* quarantine_tell.c: requests under which VMs ended. */
void rk_quarantine_tell(struct rk_mesh *m, int64_t now_ms);
void rk_quarantine_take(struct rk_mesh *m, const Rillknot__Quarantine *told);

/* signal_tell.c: what VMs say of themselves. */
void rk_signal_tell(struct rk_mesh *m, int64_t now_ms);
void rk_signal_take(struct rk_mesh *m, const Rillknot__VmSignals *told);

/* enrol.c: write this node to the list, read who is there. */
void rk_enrol_init(struct rk_mesh *m);
void rk_enrol_start(struct rk_mesh *m);

#endif
