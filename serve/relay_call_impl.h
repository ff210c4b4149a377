/* State of a relayed call, shared by relay_call.c (life cycle and attempts),
 * relay_answer.c (the VM's answer), relay_request.c (the caller's request),
 * relay_kv_move.c (moves between engines), relay_signals.c (what VMs advertise),
 * relay_quarantine.c (requests that crash VMs), relay_head.c (heads of requests),
 * relay_forward.c (calls forwarded to peers), relay_probe.c (reachability of VMs)
 * and relay_log.c. Relay thread only.
 */
#ifndef RK_SERVE_RELAY_CALL_IMPL_H
#define RK_SERVE_RELAY_CALL_IMPL_H

#include "common/http1.h"
#include "core/prompt_segments.h"
#include "serve/relay_call.h"
#include "services/upstream.h"

#define REQUEST_ID_MAX 96 /* including the terminating NUL */
/* Header of a forwarded call: "VERSION ATTEMPTS EARNED SERVICE"; see struct
 * rk_forwarded. */
#define RK_HEADER_FORWARDED "Rillknot-Forwarded"
#define MAX_FORWARDS        5 /* peers to which one call is sent */
/* Header of a forwarded call, and of its answer: the software version at which the
 * stream goes on, or begins. */
#define RK_HEADER_STREAM_VERSION "Rillknot-Stream-Version"
/* Longest silence of a VM within a stream, after which another VM is tried if the
 * stream is resumable. The route's target for the first byte is added until the
 * head has arrived. */
#define STREAM_SILENCE_MS 1500
/* The same of a peer, which may try two VMs, one after the other. */
#define STREAM_PEER_SILENCE_MS (2 * STREAM_SILENCE_MS)
/* Default Retry-After of a refusal. */
#define RETRY_AFTER_MS 300
/* Retry-After of a quarantined request. Its state rarely changes sooner, and after
 * this time an operator may have cleared it. */
#define QUARANTINE_RETRY_AFTER_MS (60 * RK_MS_PER_S)

enum {
    HTTP_OK = 200,
    HTTP_BAD_REQUEST = 400,
    HTTP_UNAUTHORIZED = 401,
    HTTP_NOT_FOUND = 404,
    HTTP_REQUEST_TIMEOUT = 408,
    HTTP_MISDIRECTED_REQUEST = 421,
    HTTP_TOO_MANY_REQUESTS = 429,
    HTTP_SERVER_ERROR = 500, /* and above */
    HTTP_BAD_GATEWAY = 502,
    HTTP_UNAVAILABLE = 503,
    HTTP_GATEWAY_TIMEOUT = 504,
};

/* How the answer of the current attempt is used. */
enum answer_class {
    ANSWER_PENDING, /* its head has not arrived */
    ANSWER_PASS,    /* passed to the caller */
    ANSWER_NOT_RUN, /* proves that the call did not run */
    /* a failure, or a success that is not proved to be of this VM and call; the
     * call may be retried */
    ANSWER_RETRY,
};

struct rk_relay_call {
    struct rk_relay *r;
    struct rk_relay_call *next, **prev;
    struct rk_client *client; /* NULL: the caller is gone */
    char id[REQUEST_ID_MAX];
    struct rk_routes *routes; /* the version that serves this call */
    const struct rk_route *route;
    const struct rk_service_info *service;
    const struct rk_org_info *org; /* NULL: none */
    uint64_t fingerprint; /* see rk_call_fingerprint(); 0: not computed yet */
    struct rk_prompt_segments segments; /* of the prompt, without the last */
    size_t segments_charged;            /* bytes of them in the account of memory */
    bool segments_cleared;              /* a VM answered on them and lived */
    struct rk_place_query query;
    double units; /* cost in the organisation's quota */
    int64_t started_ms, deadline_ms;
    /* fires at the call's deadline or the route's time-out, whichever is earlier */
    struct rk_timer deadline_timer;
    /* fires when the VM sends nothing for too long */
    struct rk_timer silence_timer;
    /* A peer has taken the call from its caller, admitted it and forwards it. */
    bool is_forwarded;
    /* ---- the current attempt ---- */
    struct rk_upstream_call *up; /* NULL: none in progress */
    struct rk_place_vm *vm;
    struct rk_place_job job;
    struct rk_engine_forecast forecast; /* predicted time to first byte */
    /* Arrival of the answer's head and of its first body byte, monotonic; 0: not
     * yet. */
    int64_t vm_head_ms, vm_first_ms;
    enum answer_class answer_class;
    enum rk_framing framing; /* of the answer, once its head has arrived */
    bool is_event_stream;    /* the answer is one */
    struct rk_event_position position; /* of that stream, if it has no framing */
    /* When it was sent, by the wall clock and by the monotonic one. */
    int64_t sent_wall_ms, sent_ms;
    /* The request is counted in its organisation's usage, once in all attempts. */
    bool usage_counted;
    /* The peer to which the attempt is forwarded; "": it is sent to a VM. */
    char peer[RK_ID_MAX];
    /* Version of the VM to which that peer sent it, as its answer says; "": not
     * known. */
    char peer_version[RK_VERSION_MAX];
    /* ---- all attempts ---- */
    int attempts;
    int unsent; /* attempts that failed before a byte was sent */
    /* Hashes of the ids of the peers to which the call was forwarded. */
    uint64_t tried_peers[MAX_FORWARDS];
    size_t tried_peers_len;
    int peers_without_room; /* of those, that refused it for want of room */
    bool lacks_conns;    /* this node's share of a VM's connections was used up */
    bool retries_earned; /* credited in a retry budget, here or at a peer */
    bool may_have_run;
    bool is_resume;          /* the caller resumes a stream */
    uint64_t stream;         /* see rk_stream_hash(); 0: it can't be resumed */
    bool version_bound;      /* the caller got an event: query.version is final */
    struct rk_call_ask *ask; /* question to peers in progress; NULL: none */
    struct rk_call_end_check *end_check; /* of the attempt's VM; NULL: none */
    bool demand_counted;                 /* counted in the demand for its service */
    bool ran;   /* an attempt has run, so the quota is not refunded */
    bool begun; /* the caller has received the answer's head */
    int status; /* HTTP status of that head */
    struct rk_event_splitter events;
    int64_t first_ms; /* time to first byte as the caller sees it; -1: none yet */
    int64_t last_data_ms; /* when data last arrived for the caller, monotonic */
    int64_t pause_ms;     /* longest time between two arrivals of data */
    /* Id and failure domain of the VM of the last attempt, kept for the log after
     * the attempt has ended; "": none yet. */
    char last_vm[RK_ID_MAX], last_vm_domain[RK_ID_MAX];
    /* copy of the call's KV cache in progress; NULL: none */
    struct rk_call_move *move;
    bool move_tried;       /* a move away from the current VM was tried */
    bool may_be_stopped;   /* the current VM may have stopped the run for a move */
    bool silence_reported; /* for the current attempt */
    bool is_held; /* the current attempt is not read until the caller has read more
                   */
    /* "ADDRESS/HANDLE" of the KV cache copy, set while the attempt that uses it is
     * sent; else "" */
    char kv_source[RK_ADDR_MAX + RK_MOVE_HANDLE_MAX];
};

/* ---- relay_call.c: ends ----
 *
 * rk_call_give_up() and rk_call_finish() free the call, and so may every function
 * that can end it. */
/* Answers a client with an error and a problem document (RFC 9457). why goes into
 * its detail member as it stands, so it must need no JSON escapes. */
void rk_call_answer_problem(struct rk_client *client, int status,
                            int64_t retry_after_ms, const char *why);
/* Ends the call with an error answer of this node, or cuts the connection if the
 * answer has begun. Refunds the quota if the call has certainly not run. The call
 * must have no attempt in progress. retry_after_ms 0: no Retry-After. */
void rk_call_give_up(struct rk_relay_call *x, int status, int64_t retry_after_ms,
                     const char *why);
/* Ends the call after the VM's complete answer was passed to the caller. */
void rk_call_finish(struct rk_relay_call *x);

/* ---- relay_log.c ---- */
/* Log the events of a call: it was sent, it was sent to go on with a stream, it was
 * forwarded to a peer, its first byte came after observed_ms, an attempt failed, it
 * ended. */
void rk_call_log_sent(const struct rk_relay_call *x);
void rk_call_log_resumed(const struct rk_relay_call *x);
void rk_call_log_forwarded(const struct rk_relay_call *x);
void rk_call_log_first_byte(const struct rk_relay_call *x, int64_t observed_ms);
void rk_call_log_attempt_failed(const struct rk_relay_call *x, const char *what,
                                bool sent);
void rk_call_log_end(const struct rk_relay_call *x, int status, const char *why);
/* Records the call's latency histograms under an outcome. */
void rk_call_record_latency(const struct rk_relay_call *x, const char *outcome);

/* ---- relay_call.c: attempts ---- */
/* Returns true if the call may run more than once. */
bool rk_call_repeatable(const struct rk_relay_call *x);
/* Returns false if this node can send the call only to a peer: it has lost its path
 * to the service, or has no share of its brittle VMs. */
bool rk_call_may_use_vms(const struct rk_relay_call *x);
/* Chooses a VM and sends the call to it, or ends the call if that is impossible. */
void rk_call_send(struct rk_relay_call *x);
/* Reports the end of the current attempt to placement, without touching the
 * connection. */
void rk_call_end_attempt(struct rk_relay_call *x, enum rk_place_outcome end);
/* Cancels the current attempt's upstream call, then ends the attempt. */
void rk_call_cancel_attempt(struct rk_relay_call *x, enum rk_place_outcome end);
/* Handles an attempt that ended without a final answer: the call is retried,
 * resumed or ended. Its upstream call must have ended or been cancelled. sent: a
 * byte of the request may have reached the VM. what: reason for the log. */
void rk_call_attempt_failed(struct rk_relay_call *x, bool sent,
                            enum rk_place_outcome end, const char *what);
/* Starts the timer of the attempt's silence, if another attempt is possible.
 * plain_ms, stream_ms: the longest silence of each kind. */
void rk_call_start_silence_timer(struct rk_relay_call *x, int64_t plain_ms,
                                 int64_t stream_ms);
/* Returns true if the call may be sent once more. Takes a retry from the budget. */
bool rk_call_take_attempt(struct rk_relay_call *x);
/* Sends the caller's request with this head to the VM or peer that *spec names; the
 * rest of *spec is filled in. Frees the head. Returns false if no byte can have
 * been sent. */
bool rk_call_start_upstream(struct rk_relay_call *x, struct rk_upstream_spec *spec,
                            struct rk_buf *head);
/* Handles an attempt whose VM proved that the call did not run there. */
void rk_call_attempt_not_run(struct rk_relay_call *x, const char *what);

/* Takes a retry from the service's budget. Returns false if there is none. */
bool rk_call_take_retry(struct rk_relay_call *x);
/* Gives back a retry that was taken and not sent. */
void rk_call_return_retry(struct rk_relay_call *x);
/* Returns true if the service's budget has a retry. */
bool rk_call_has_retry(struct rk_relay_call *x);
/* Resumes a stream at the VM that has received a copy of its KV cache, or at its
 * own VM, which still has it. Falls back to rk_call_attempt_failed() if the VM
 * cannot take the call. */
void rk_call_resume_moved(struct rk_relay_call *x, const char *vm_id,
                          const char *from_addr, const char *handle);
/* Resumes a stream, whose run has stopped, at a VM that is neither its own nor
 * `full_id`, for a retry that was taken before. Returns false, and does nothing, if
 * the stream may not run again or no such VM can take it. */
bool rk_call_resume_elsewhere(struct rk_relay_call *x, const char *full_id);
/* Returns this node's share of the connections that the service allows per VM, or a
 * default if the service states no limit or the share is below one. */
int rk_relay_max_conns(const struct rk_relay *r,
                       const struct rk_service_info *service);
/* Returns the same for the service of a call. */
int rk_call_max_conns(const struct rk_relay_call *x);

/* ---- relay_head.c ---- */
/* Returns the rank promised to the organisation or, without one, the route's. */
int rk_call_base_rank(const struct rk_relay_call *x);
/* Builds the head of the request to x->vm. */
void rk_call_build_head(const struct rk_relay_call *x, struct rk_buf *b);
/* Adds the request line, the caller's headers that are passed on, and those that
 * are the same at a VM and at a peer. key: the API key, too. */
void rk_call_begin_head(const struct rk_relay_call *x, bool key, struct rk_buf *b);
/* Adds the length of the body and the end of the head. */
void rk_call_end_head(const struct rk_relay_call *x, struct rk_buf *b);

/* ---- relay_end_check.c ---- */
/* Starts to check whether the VM lives that has ended an answer in order. The end
 * of the call then waits for rk_call_end_checked(). Returns false if that is not
 * possible. */
bool rk_call_start_end_check(struct rk_relay_call *x);
/* Ends a check in progress, if any, without a result. */
void rk_call_end_check_free(struct rk_relay_call *x);

/* ---- relay_kv_move.c ---- */
/* Starts to move the stream away from its VM if that VM is leaving, another one can
 * take it, and the retry budget allows it. */
void rk_call_try_move(struct rk_relay_call *x);
/* Cancels a move in progress, if any. */
void rk_call_move_free(struct rk_relay_call *x);
/* Handles the end of the VM's stream while a move is in progress. stream_complete:
 * the answer ended regularly. Returns false if no move is in progress; the caller
 * then handles the end. */
bool rk_call_move_stream_ended(struct rk_relay_call *x, bool stream_complete);

/* ---- relay_quarantine.c ---- */
/* Returns the fingerprint that identifies repeats of the same request, as defined
 * by core/quarantine.h. 0 if it was not computed before the client went away. */
uint64_t rk_call_fingerprint(struct rk_relay_call *x);
/* Returns true if the request, or a segment of its prompt, is quarantined because
 * VMs ended while running it. */
bool rk_call_is_quarantined(struct rk_relay_call *x);
/* Called when the VM's connection broke off after the call was sent, before the
 * attempt is ended: starts a check whether the VM has ended, with this call as a
 * suspect. If the VM had been answering the call for long, the request is cleared
 * of suspicion instead. */
void rk_call_suspect(struct rk_relay_call *x);
/* Records that a VM ran the request to its end. This clears it, and the segments of
 * its prompt, of suspicion. */
void rk_call_clear_suspicion(struct rk_relay_call *x);
/* Called when a part of the answer arrives: clears the prompt's segments of
 * suspicion once the VM has been answering for long. */
void rk_call_check_survival(struct rk_relay_call *x);

/* ---- relay_versions.c ---- */
/* Called when the caller gets an event: from the first one on, the stream may only
 * go on at VMs of the same software version. */
void rk_call_bind_version(struct rk_relay_call *x);

/* ---- relay_resume.c ---- */
/* Sends a call that takes up a stream, once the stream's version is known, or
 * rejects it. */
void rk_call_resume(struct rk_relay_call *x);
/* Ends a question to peers, if there is one. */
void rk_call_ask_free(struct rk_relay_call *x);

/* ---- relay_signals.c ---- */
/* Evaluates what the headers of an answer say about the state of its VM. */
void rk_call_read_signals(struct rk_relay_call *x, const struct rk_head *head);

/* ---- relay_call.c: timer callbacks; ctx is the call ---- */
void rk_call_on_deadline(void *ctx);
void rk_call_on_silence(void *ctx);

/* ---- relay_forward.c ---- */
/* Forwards the call to a peer that may reach a VM. Returns false if there is no
 * such peer, or if the call was forwarded to this node. */
bool rk_call_forward(struct rk_relay_call *x);
/* Handles a peer that is silent about the call. */
void rk_call_forward_silent(struct rk_relay_call *x);
/* Why a node does not take a forwarded call. */
enum rk_forward_refusal {
    RK_FORWARD_NO_VM,   /* it reaches no VM that can take it */
    RK_FORWARD_NO_ROOM, /* its share of what VMs take is used up */
    RK_FORWARD_BEHIND,  /* its routes are older, or differ */
    RK_FORWARD_STOPS,   /* it stops soon */
};
/* Answers a forwarded call that this node does not take; the peer tries another
 * node. retry_after_ms: until this node may take one; 0: not known. */
void rk_call_refuse_forwarded(struct rk_client *client, enum rk_forward_refusal why,
                              int64_t retry_after_ms);
/* What the header of a forwarded call says. */
struct rk_forwarded {
    int64_t routes_version;  /* of the routes by which it was admitted */
    int attempts;            /* to be counted as made */
    bool retries_earned;     /* credited in a retry budget; older nodes don't say */
    char service[RK_ID_MAX]; /* that it goes to; "": older nodes don't say */
};
/* Reads that header. Returns false if it is missing or invalid. */
bool rk_call_parse_forwarded(const struct rk_head *head, struct rk_forwarded *out);

/* ---- relay_answer.c ---- */
/* Passes the head of an answer on to the caller. */
void rk_call_begin_answer(struct rk_relay_call *x, const struct rk_head *head);
/* Passes a part of the body on to the caller. Returns false if that ended the
 * attempt, as an event exceeds RK_EVENT_MAX; it may have ended the call, too. */
bool rk_call_pass_body(struct rk_relay_call *x, const char *data, size_t len);
/* Ends the call after the whole answer was passed on. */
void rk_call_finish_answer(struct rk_relay_call *x);
/* Returns true for statuses from which a caller concludes that its call did not
 * run. */
bool rk_call_implies_not_run(int status);
/* Ends the call after the VM has ended its answer in order, unless that may have
 * been because the run was stopped for a move. */
void rk_call_answer_ended(struct rk_relay_call *x);
/* Ends the attempt after that VM was checked: if it does not live, it has broken
 * its answer off. */
void rk_call_end_checked(struct rk_relay_call *x, bool vm_lives);
/* Callbacks of a relayed call's upstream call. */
extern const struct rk_upstream_ops rk_call_upstream_ops;
/* Returns true for headers that concern only one connection, and for
 * Content-Length. */
bool rk_call_is_hop_header(const char *name);
/* Returns true if the Connection header lists the header name. connection may be
 * NULL. */
bool rk_call_is_nominated(const char *connection, const char *name);

#endif
