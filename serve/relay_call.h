/* State of a relay, and the life cycle of one relayed call up to its single answer.
 * Relay thread only. */
#ifndef RK_SERVE_RELAY_CALL_H
#define RK_SERVE_RELAY_CALL_H

#include "common/loop.h"
#include "core/duration.h"
#include "core/retry_budget.h"
#include "core/event_splitter.h"
#include "core/quarantine.h"
#include "core/quota.h"
#include "serve/relay.h"

struct rk_client;
struct rk_server;
struct rk_upstream_pools;
struct rk_upstream_call;
struct rk_vm_check;
struct rk_vm_probe;
struct rk_forward_table;
struct rk_relay_versions;

/* Bytes that a forwarding peer may add to the headers of a call. */
#define RK_FORWARD_HEADER_BYTES 1024

/* State of a service that calls were made to. */
struct rk_relay_service {
    char name[RK_ID_MAX];
    /* When settings without the service came, by the monotonic clock; 0: it is in
     * the settings. */
    int64_t left_ms;
    struct rk_retry_budget budget;
    struct rk_duration durations[RK_CALL_KINDS]; /* of calls that were served */
    /* uncached prompt tokens requested of engines since the entry was added,
     * refused calls included; see struct rk_service_load */
    double uncached_prompt_tokens;
};

struct rk_relay {
    struct rk_relay_options opt;
    struct rk_loop *loop;
    struct rk_server *server;
    struct rk_upstream_pools *upstreams;
    struct rk_place *place;
    struct rk_quota quota;
    struct rk_usage usage;
    struct rk_routes *routes; /* NULL: none received yet */
    bool vms_known;
    int64_t vms_revision; /* see struct rk_relay_report */
    /* usage persisted before a restart has been applied, or there is none */
    bool quotas_restored;
    /* runs while new connections are held back at start */
    struct rk_timer accept_timer;
    struct rk_relay_service *services;
    size_t services_len, services_cap;
    struct rk_relay_call *calls;
    size_t calls_len;
    struct rk_quarantine quarantine; /* suspected and quarantined requests */
    struct rk_vm_check *vm_checks;   /* checks of VMs at which calls broke off */
    struct rk_vm_probe *vm_probes;   /* probes in progress */
    struct rk_timer probe_timer;
    struct rk_server *forward_server;   /* calls of peers; NULL: none are taken */
    struct rk_forward_table *forwards;  /* peers that take calls of this node */
    struct rk_relay_versions *versions; /* of streams */
    struct rk_rng rng;
    struct rk_timer report_timer;
    int64_t signals_expired_ms; /* last expiry of VM signals, monotonic */
    /* Begin and end of a planned stop, monotonic; 0: none. Set from any thread. */
    _Atomic int64_t stop_began_ms, stop_ends_ms;
};

/* relay.c: returns the number of calls in flight, and of connections with a
 * request, a part of one, or unsent answer bytes. */
size_t rk_relay_busy_count(const struct rk_relay *r);
/* relay_messages.c: begins to accept callers' connections; ctx is the relay. */
void rk_relay_start_accepting(void *ctx);

/* Logs changes of the VMs' speed steps; relay_log.c. */
void rk_relay_log_speed_changes(struct rk_relay *r, int64_t now_ms);

/* Returns how many bytes of requests that are not whole the server for callers, or
 * that for forwarded calls, may hold; 0: no limit. */
size_t rk_relay_unfinished_max(const struct rk_relay *r, bool forwarded);
/* The same of what the kernel holds of requests that were not read. */
size_t rk_relay_unread_max(const struct rk_relay *r, bool forwarded);
/* Returns whether to read the body of a request by what its head says; otherwise
 * the request has been refused. */
bool rk_relay_call_accept_head(struct rk_relay *r, struct rk_client *client);
/* Starts a call for the complete request of a client, or refuses it. */
void rk_relay_call_start(struct rk_relay *r, struct rk_client *client);
/* The same for a call that a peer has taken from its caller and forwards. */
void rk_relay_call_start_forwarded(struct rk_relay *r, struct rk_client *client);

/* Handles the loss of the call's client. A call of the kind RK_CALL_ONCE that is at
 * a VM keeps running; any other call, also a stream, is cancelled and freed. */
void rk_relay_call_caller_gone(struct rk_relay_call *call);

/* Goes on reading the answer if that was stopped for a slow caller, which has now
 * taken what was there. */
void rk_relay_call_resume_reading(struct rk_relay_call *call);

/* Answers all callers that wait, because a planned stop ends before their calls
 * have. Answers that have begun are broken off. */
void rk_relay_calls_end_for_stop(struct rk_relay *r);

/* Ends the call and its connections because the relay shuts down. */
void rk_relay_call_abort(struct rk_relay_call *call);

/* relay_quarantine.c: cancels quarantined calls that wait at engines. */
void rk_relay_cancel_quarantined(struct rk_relay *r);
/* relay_quarantine.c: cancels and frees all checks of VMs. */
void rk_relay_vm_checks_free(struct rk_relay *r);

/* ---- relay_services.c ---- */
/* Returns the service's state, which is added if there is none. It is valid until
 * the next service is added. */
struct rk_relay_service *rk_relay_get_service(struct rk_relay *r, const char *name);
/* Removes what is known of services that left the settings a while ago. To be
 * called after each change of the settings. */
void rk_relay_remove_services(struct rk_relay *r);
/* Records how long a call took that was served. */
void rk_relay_note_duration(struct rk_relay *r, const char *service,
                            enum rk_call_kind kind, int64_t ms);
/* Returns a time that few calls of the route exceed, going by those that were
 * served; -1: none was. */
int64_t rk_relay_expected_duration_ms(const struct rk_relay *r,
                                      const struct rk_route *route);

/* ---- relay_probe.c ---- */
void rk_relay_probes_init(struct rk_relay *r);
void rk_relay_probes_free(struct rk_relay *r);
/* Starts the probes that are due, now or within 100 ms. */
void rk_relay_start_probes(struct rk_relay *r);
/* Record what this node observed of a VM; see rk_place_note_heard(),
 * rk_place_note_unreachable() and rk_place_suspect(). */
void rk_relay_note_heard(struct rk_relay *r, struct rk_place_vm *vm,
                         bool connected);
void rk_relay_note_unreachable(struct rk_relay *r, struct rk_place_vm *vm);
void rk_relay_suspect_vm(struct rk_relay *r, struct rk_place_vm *vm);

/* ---- relay_forward.c ---- */
void rk_relay_forwards_init(struct rk_relay *r);
void rk_relay_forwards_free(struct rk_relay *r);
/* Replaces the peers to which calls can be forwarded. */
void rk_relay_forwards_set(struct rk_relay *r, const struct rk_forward_peer *peers,
                           size_t len);

/* ---- relay_versions.c ---- */
void rk_relay_versions_init(struct rk_relay *r);
void rk_relay_versions_free(struct rk_relay *r);
/* Replaces the peers that are told of streams and asked for them. */
void rk_relay_versions_set_peers(struct rk_relay *r,
                                 const struct rk_relay_peers *p);
/* Called after the routes, or the list of VMs, have changed. */
void rk_relay_versions_set_routes(struct rk_relay *r,
                                  const struct rk_routes *routes);
void rk_relay_versions_update_list(struct rk_relay *r);
/* Stores the services that have had only one version in *out. Returns their number.
 * The caller frees *out. */
size_t rk_relay_versions_copy_only(struct rk_relay *r,
                                   struct rk_only_version **out);
void rk_relay_versions_note_only(struct rk_relay *r,
                                 const struct rk_only_version *row);
/* Tells peers of streams that began here before that was needed. */
void rk_relay_versions_tell_pending(struct rk_relay *r);
/* Sends new streams to the peer that writes the domain's record of them. At that
 * node, returns the changed record's members, which the caller frees; NULL: it has
 * not changed, or is not due yet. */
char *rk_relay_versions_record(struct rk_relay *r);
/* Adds streams of records that were read. */
void rk_relay_versions_restore(struct rk_relay *r,
                               const struct rk_stream_record *rows, size_t len);
/* Notes that the list of VMs and the routes have all changes that the store
 * returned when it was asked at asked_ms. */
void rk_relay_versions_note_checked(struct rk_relay *r, int64_t asked_ms);
/* Notes a VM that came and left between two updates of the list. Its service is ""
 * if it is not known. */
void rk_relay_versions_note_past_vm(struct rk_relay *r, const struct rk_vm_row *vm);
/* Returns true if a peer's request is about versions of streams. */
bool rk_relay_versions_is_request(struct rk_client *client);
/* Answers such a request. */
void rk_relay_versions_answer(struct rk_relay *r, struct rk_client *client);

#endif
