/* State of a relayed call, shared by relay_call.c (its life, attempts, ends),
 * relay_answer.c (what a vm answers), relay_arrive.c (what a caller asks) and
 * relay_suspect.c (what ends its VMs) and relay_log.c. Not for others. Relay thread
 * only. */
#ifndef RK_SERVE_RELAY_CALL_IMPL_H
#define RK_SERVE_RELAY_CALL_IMPL_H

#include "serve/relay_call.h"
#include "services/upstream.h"

#define REQUEST_ID_MAX   96
#define SILENT_STREAM_MS 1500
#define RETRY_AFTER_MS   300 /* told with a refusal when nothing better is known */
/* Told with a refusal of a request that VMs ended under: sooner nothing will have
 * changed, and later an operator may have let it through. */
#define STOPPED_RETRY_AFTER_MS (60 * RK_MS_PER_S)

enum {
    HTTP_BAD_REQUEST = 400,
    HTTP_UNKNOWN_KEY = 401,
    HTTP_NO_ROUTE = 404,
    HTTP_TIMEOUT = 408,
    HTTP_MISDIRECTED = 421,
    HTTP_QUOTA = 429,
    HTTP_SERVER_ERROR = 500, /* and above */
    HTTP_BROKEN = 502,
    HTTP_REFUSED = 503,
    HTTP_TOO_LATE = 504,
};

/* What becomes of the answer that an attempt is getting. */
enum fate {
    FATE_NONE,    /* no head yet */
    FATE_PASS,    /* goes to the caller */
    FATE_NOT_RUN, /* proves that the call did not run */
    FATE_REPEAT,  /* a failure, but the call may be repeated */
};

struct rk_relay_call {
    struct rk_relay *r;
    struct rk_relay_call *next, **prev;
    struct rk_client *client; /* NULL: gone */
    char id[REQUEST_ID_MAX];
    struct rk_routes *routes; /* the version it is served by */
    const struct rk_route *route;
    const struct rk_service_info *service;
    const struct rk_org_info *org; /* NULL: none */
    uint64_t request;              /* rk_call_request(); 0: not worked out yet */
    struct rk_place_query query;
    double units; /* of the organisation's quota */
    int64_t started_ms, end_ms;
    struct rk_timer end;    /* the deadline or the route's timeout */
    struct rk_timer silent; /* the vm says nothing */
    /* The attempt under way. */
    struct rk_upstream_call *up;
    struct rk_place_vm *vm;
    struct rk_place_job job;
    struct rk_engine_forecast forecast; /* of its first byte */
    /* When this attempt's head, and first byte behind it, came; 0: not yet. */
    int64_t vm_head_ms, vm_first_ms;
    enum fate fate;
    int64_t sent_wall_ms;
    bool counted; /* this attempt's beginning, in usage */
    /* All attempts. */
    int attempts;
    bool may_have_run;
    bool resumes; /* the caller goes on with a stream */
    bool asked;   /* it is counted in what is asked of its service */
    bool ran;     /* it counts for the quota */
    bool begun;   /* the caller has got the head */
    int status;   /* of that head */
    struct rk_events events;
    int64_t first_ms;          /* to the first byte; -1 */
    struct rk_call_move *move; /* its memory is being copied elsewhere; NULL: no */
    bool move_tried;           /* at this vm, already */
    bool silence_noted;        /* of this attempt */
    char moved_from[RK_ADDR_MAX + RK_MOVE_HANDLE_MAX]; /* while it is sent there */
};

/* relay_call.c: ends. The call is gone after them. */
void rk_call_answer_problem(struct rk_client *client, int status,
                            int64_t retry_after_ms, const char *why);
void rk_call_give_up(struct rk_relay_call *x, int status, int64_t retry_after_ms,
                     const char *why);
void rk_call_finish(struct rk_relay_call *x);

/* relay_log.c */
void rk_call_log_sent(const struct rk_relay_call *x);
void rk_call_log_first(const struct rk_relay_call *x, int64_t seen_ms);
void rk_call_log_attempt(const struct rk_relay_call *x, const char *what,
                         bool sent);
void rk_call_log_end(const struct rk_relay_call *x, int status, const char *why);
/* The call's end in the histograms. */
void rk_call_observe(const struct rk_relay_call *x, const char *outcome);

/* relay_call.c: attempts. */
bool rk_call_repeatable(const struct rk_relay_call *x);
void rk_call_earn_retries(struct rk_relay_call *x);
void rk_call_send(struct rk_relay_call *x);
void rk_call_end_attempt(struct rk_relay_call *x, enum rk_place_end end);
void rk_call_cancel_attempt(struct rk_relay_call *x, enum rk_place_end end);
void rk_call_attempt_failed(struct rk_relay_call *x, bool sent,
                            enum rk_place_end end, const char *what);
void rk_call_attempt_not_run(struct rk_relay_call *x, const char *what);

/* Takes a retry from the budget, if there is one. */
bool rk_call_take_retry(struct rk_relay_call *x);
void rk_call_send_moved(struct rk_relay_call *x, const char *vm_id,
                        const char *from_addr, const char *handle);
int rk_call_max_conns(const struct rk_relay_call *x); /* to one vm */

/* relay_move.c */
/* Move the call's run away from its vm, if that leaves and it is worth it. */
void rk_call_move(struct rk_relay_call *x);
void rk_call_move_free(struct rk_relay_call *x);
/* The vm's stream has ended while its memory is being copied; whole: as if it had
 * come to its end. False: nothing is copied, and the end counts. */
bool rk_call_move_takes_end(struct rk_relay_call *x, bool whole);

/* relay_suspect.c */
/* What makes it the same request as an earlier call: core/quarantine.h. */
uint64_t rk_call_request(struct rk_relay_call *x);
/* Is it stopped, as VMs ended under the same request? */
bool rk_call_is_stopped(struct rk_relay_call *x);
/* Its connection to its vm broke off, though the call was sent: was that the vm's
 * end? Before the attempt is ended. */
void rk_call_suspect(struct rk_relay_call *x);
/* Its vm ran it to the end. */
void rk_call_acquit(struct rk_relay_call *x);

/* relay_signals.c */
/* Take in what an answer of the call's vm says of the vm itself. */
void rk_call_hear_vm(struct rk_relay_call *x, const struct rk_head *head);

/* relay_call.c: timers. */
void rk_call_time_over(void *ctx);
void rk_call_silent(void *ctx);

/* relay_answer.c */
/* The vm's answer has come to its end. */
void rk_call_end_whole(struct rk_relay_call *x);
extern const struct rk_upstream_ops rk_call_upstream_ops;
bool rk_call_is_hop_header(const char *name);
/* Is the header named in the Connection header? */
bool rk_call_is_nominated(const char *connection, const char *name);

#endif
