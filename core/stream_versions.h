/* Software versions of streams. VMs of several versions may serve side by side, and
 * events of two versions do not fit together: a stream may go on only at the
 * version that began it. Its caller may take it up at any node, which has to find
 * out that version.
 *
 * A table keeps the versions of streams that began recently, here or at peers that
 * told this node. Two peers are told of each stream, chosen by rendezvous hashing
 * of the stream, in two failure domains where possible; a node asks the peers that
 * may have been told. Nothing has to be told of a service while only one version
 * serves.
 *
 * Pure: no I/O and no clock. Not thread-safe. Times are in ms of the caller's
 * monotonic clock. */
#ifndef RK_CORE_STREAM_VERSIONS_H
#define RK_CORE_STREAM_VERSIONS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/rollout.h"

/* Most peers that are told of streams. In a larger fleet, the same of its nodes are
 * used by all. */
#define RK_STREAM_PEERS_MAX 64
/* Peers that are told of one stream. */
#define RK_STREAM_HOLDERS 2
/* Most peers that are asked for one stream: some of each failure domain. */
#define RK_STREAM_ASKED_PER_DOMAIN 2
#define RK_STREAM_ASKED_MAX        16
/* Most streams that are kept; further ones are not recorded. */
#define RK_STREAMS_MAX 65536
/* A list of VMs that was not confirmed as current for so long may lack versions
 * that came and left since. */
#define RK_STREAM_LIST_AGE_MAX_MS 4000

/* A peer that can be told of streams and asked for them. */
struct rk_stream_peer {
    uint64_t hash; /* of its id */
    uint64_t domain_hash;
    char addr[RK_ADDR_MAX]; /* of its listener for peers' calls */
};

/* The version of a stream. */
struct rk_stream_version {
    uint64_t stream;       /* see rk_stream_hash(); 0: a free slot */
    uint64_t service_hash; /* 0: told by a peer */
    int64_t expires_ms;
    bool is_told;     /* to peers, or by one */
    bool is_recorded; /* or sent to the peer that does this */
    char version[RK_VERSION_MAX];
};

/* A version of a service that has VMs, or had some. */
struct rk_served_version {
    uint64_t service_hash;
    char version[RK_VERSION_MAX];
    bool is_listed;         /* VMs of it are on the list now */
    int64_t last_listed_ms; /* until when, if there are none */
    bool was_only;          /* was the only one before this node started */
    uint64_t only_routing;  /* with which routing, if was_only */
};

/* Which requests go to a service. */
struct rk_service_routing {
    uint64_t service_hash;
    uint64_t hash;      /* see rk_routes_resumable_hashes() */
    int64_t changed_ms; /* 0: not since the first settings */
};

/* Zero-initialise with rk_stream_versions_init(), release with
 * rk_stream_versions_free(). */
struct rk_stream_versions {
    struct rk_stream_version *slots; /* hash table with open addressing */
    size_t slots_len;                /* 0 or a power of two */
    size_t used;
    struct rk_served_version *served;
    size_t served_len;
    int64_t watching_since_ms; /* the list of VMs was followed since then */
    bool first_start;          /* no stream began before watching_since_ms */
    int64_t confirmed_ms;      /* when the list was last known to be current */
    /* When the store was last asked for all changes that this table reflects. */
    int64_t checked_ms;
    struct rk_service_routing *routings;
    size_t routings_len;
    bool routings_known; /* rk_stream_versions_set_routings() was called */
    /* How long after its first event a stream can be taken up; 0: not known yet. */
    int64_t lifetime_ms;
};

/* first_start: the deployment starts for the first time. */
void rk_stream_versions_init(struct rk_stream_versions *s, int64_t now_ms,
                             bool first_start);
void rk_stream_versions_free(struct rk_stream_versions *s);

/* Raises the lifetime of streams. It never becomes shorter, as streams that have
 * begun keep theirs. */
void rk_stream_versions_set_lifetime(struct rk_stream_versions *s, int64_t ms);

/* Notes which requests go to which services: one row for each service, with its
 * service_hash and hash. Takes over rows. After a change, a stream may have begun
 * at another service than the one that its resume goes to, so that the only version
 * of the latter may be the wrong one. */
void rk_stream_versions_set_routings(struct rk_stream_versions *s,
                                     struct rk_service_routing *rows, size_t len,
                                     int64_t now_ms);
/* Returns the hash of which requests go to a service; 0: none do, or not known. */
uint64_t rk_stream_versions_routing(const struct rk_stream_versions *s,
                                    const char *service);

/* Returns a hash that identifies a stream within the deployment: by its
 * organisation ("": none), its service and the caller's attempt that brought its
 * first event. Never 0. */
uint64_t rk_stream_hash(const char *org, const char *service,
                        const char *request_id);

/* ---- streams ---- */

/* Records the version of a stream for ttl_ms. service: if it began at this node;
 * NULL: a peer told it. Returns its record, which is valid until the next call, or
 * NULL if there are too many. */
struct rk_stream_version *rk_stream_versions_note(struct rk_stream_versions *s,
                                                  uint64_t stream,
                                                  const char *service,
                                                  const char *version,
                                                  int64_t ttl_ms, int64_t now_ms);
/* Returns the record of a stream, or NULL. It is valid until the next call. */
struct rk_stream_version *rk_stream_versions_find(struct rk_stream_versions *s,
                                                  uint64_t stream, int64_t now_ms);
/* Returns a stream that began here at a service that needs it to be told, and of
 * which no peer was told; NULL if there is none. *at is the position to go on from,
 * 0 at first. */
struct rk_stream_version *
rk_stream_versions_next_pending(struct rk_stream_versions *s, size_t *at,
                                int64_t now_ms);
/* Returns the next stream whose version peers know or have to know, or NULL. *at is
 * the position to go on from, 0 at first. */
struct rk_stream_version *
rk_stream_versions_next_shared(struct rk_stream_versions *s, size_t *at,
                               int64_t now_ms);
/* Marks all streams as not recorded. */
void rk_stream_versions_forget_recorded(struct rk_stream_versions *s);
/* Removes expired streams. */
void rk_stream_versions_expire(struct rk_stream_versions *s, int64_t now_ms);

/* ---- versions of services ---- */

/* Which versions of a service may have begun streams that can still be taken up. */
enum rk_service_versions {
    RK_VERSIONS_ONE,
    RK_VERSIONS_SEVERAL,
    /* one or none that this node knows of, but it has not watched for long enough
     */
    RK_VERSIONS_UNSURE,
};

/* Update what is listed: begin, one note for each listed VM, end. */
void rk_stream_versions_begin_list(struct rk_stream_versions *s);
void rk_stream_versions_note_listed(struct rk_stream_versions *s,
                                    const char *service, const char *version);
void rk_stream_versions_end_list(struct rk_stream_versions *s, int64_t now_ms);

/* Notes that the list of VMs was current at at_ms, by the store's word. After a
 * gap, versions may have served unnoticed. */
void rk_stream_versions_confirm_list(struct rk_stream_versions *s, int64_t at_ms);

/* *only gets the version if it is RK_VERSIONS_ONE; it is valid until the next
 * call. */
enum rk_service_versions rk_stream_versions_of_service(struct rk_stream_versions *s,
                                                       const char *service,
                                                       const char **only,
                                                       int64_t now_ms);

/* Records that no other version of the service has served for the lifetime of a
 * stream, as a peer has observed, or this node before a restart. That holds while
 * requests are routed to it as they were then; routing 0: not known. */
void rk_stream_versions_note_only(struct rk_stream_versions *s, const char *service,
                                  const char *version, uint64_t routing,
                                  int64_t now_ms);

/* Notes that a version of a service may have begun streams although the list never
 * showed it: its VMs came and left between two updates. */
void rk_stream_versions_note_past(struct rk_stream_versions *s, const char *service,
                                  const char *version, int64_t now_ms);

/* Notes that VMs of any service and version may have come and left unnoticed until
 * now_ms. */
void rk_stream_versions_note_gap(struct rk_stream_versions *s, int64_t now_ms);

/* Notes that a node has been silent since silent_since_ms and may still begin
 * streams by the list and the routes that it had then. To be called again while it
 * is. */
void rk_stream_versions_note_silent(struct rk_stream_versions *s,
                                    int64_t silent_since_ms, int64_t now_ms);

/* Notes that the table has all changes of the list and of the routes that the store
 * returned when it was asked at asked_ms. */
void rk_stream_versions_note_checked(struct rk_stream_versions *s,
                                     int64_t asked_ms);

/* ---- streams that are taken up ---- */

/* What peers know of a stream that is taken up here and whose version neither they
 * nor this node have a record of. */
struct rk_stream_inquiry {
    int64_t arrived_ms; /* of the request that takes it up */
    /* A peer knows of several versions, or routes requests otherwise. */
    bool saw_several;
    char only[RK_VERSION_MAX]; /* according to a peer that routes alike; "": none */
};

enum rk_stream_verdict {
    RK_STREAM_GOES_ON, /* at the only version */
    RK_STREAM_UNKNOWN, /* several versions may have begun it */
    /* It goes on at the only version if the store shows no other one. The peers
     * that were told of the stream may have ended, those that answer may not have
     * heard of it, and the list that this node has may be older than the stream: it
     * decides once the store was asked after the request arrived. */
    RK_STREAM_UNCHECKED,
};

/* *only gets the version if the stream goes on; it is valid until the next call. */
enum rk_stream_verdict rk_stream_versions_judge(struct rk_stream_versions *s,
                                                const char *service,
                                                const struct rk_stream_inquiry *q,
                                                const char **only, int64_t now_ms);

/* Returns true if what a peer says of an only version covers the time before this
 * node followed the list. list_age_ms: how long ago the peer's list was confirmed
 * as current. Without this, a node that has just started believes a peer whose list
 * is older than the streams. */
bool rk_stream_versions_trusts(const struct rk_stream_versions *s,
                               int64_t list_age_ms, int64_t now_ms);

/* ---- peers ---- */

/* Chooses the peers to be told of a stream that began in own_domain. Returns their
 * number. */
size_t rk_stream_holders(const struct rk_stream_peer *peers, size_t len,
                         uint64_t stream, uint64_t own_domain,
                         const struct rk_stream_peer *out[RK_STREAM_HOLDERS]);
/* Chooses the peers to be asked for a stream, wherever it began. Returns their
 * number. */
size_t
rk_stream_peers_to_ask(const struct rk_stream_peer *peers, size_t len,
                       uint64_t stream,
                       const struct rk_stream_peer *out[RK_STREAM_ASKED_MAX]);

#endif
