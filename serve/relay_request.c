/* Evaluates a caller's request: route, organisation, deadline and quota. */
#include <ctype.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "common/memory.h"
#include "core/token_usage.h"
#include "serve/relay_call_impl.h"

#define PCT 100

#define BODY_COPIES           2 /* that are held of a body while it is sent to a VM */
#define SHORT_BODY_MAX        (64 * 1024)
#define MEMORY_RETRY_AFTER_MS 1000

/* For this long after a stop began, the balancer may still send calls because it
 * does not know of the stop yet: those are accepted that usually end before the
 * stop does, whatever their deadline. */
#define STOP_NOTICED_MS 2700
/* Such a call may take this much longer than expected. */
#define STOP_SLACK_MS 200

/* Refuses a request for which no call was created. */
static void refuse(struct rk_relay *r, struct rk_client *client, int status,
                   int64_t retry_after_ms, const char *why)
{
    const char *id =
        rk_head_get(rk_client_head(client), r->opt.dialect->request_id);
    RK_EVENT("call.refused", RK_S("request", id ? id : ""), RK_N("status", status),
             RK_S("why", why), RK_N("version", r->routes ? r->routes->version : 0));
    rk_counter_add(RK_C_BAD_INPUT, 1);
    rk_call_answer_problem(client, status, retry_after_ms, why);
}

/* Finds the route by the Host header and the path without its query. Returns NULL
 * if there is none. */
static const struct rk_route *find_route(struct rk_relay *r,
                                         struct rk_client *client)
{
    const struct rk_head *head = rk_client_head(client);
    const char *host = rk_head_get(head, "Host");
    char path[RK_ROUTE_TEXT_MAX * 4];
    rk_strcpy(path, sizeof(path), rk_head_target(head));
    path[strcspn(path, "?#")] = '\0';
    return host ? rk_routes_find(r->routes, host, path) : NULL;
}

/* Finds the organisation of the request's API key; *org is NULL if none is needed.
 * Returns false if the key is missing or unknown. */
static bool find_org(struct rk_relay *r, const struct rk_route *route,
                     const struct rk_head *head, const struct rk_org_info **org)
{
    *org = NULL;
    if (!r->routes->keys_required || route->anonymous)
        return true;
    const char *key = rk_head_get(head, r->opt.dialect->api_key);
    *org = key ? rk_routes_org_of_key(r->routes, key) : NULL;
    return *org != NULL;
}

/* Reads the prompt's size and segments and what the call costs in quota units. */
static void parse_tokens(struct rk_relay_call *x, const struct rk_head *head)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    const char *tokens = rk_head_get(head, d->tokens);
    const char *prefix = rk_head_get(head, d->prefix);
    struct rk_token_usage usage = {0};
    bool counted = tokens && rk_token_usage_parse(tokens, &usage);
    x->query.prompt_tokens = usage.prompt;
    if (prefix) {
        rk_place_parse_segments(&x->query, prefix);
        x->segments = rk_prompt_segments_parse(x->org ? x->org->name : "",
                                               x->query.service, prefix);
        rk_memory_charge(&x->segments_charged,
                         x->segments.len * sizeof(*x->segments.items));
    }
    if (x->org && x->org->counts_tokens)
        x->units =
            counted ? usage.prompt + usage.output : (double)x->org->default_units;
    else
        x->units = 1;
}

/* Returns the time until the call's deadline in ms, at most the route's timeout. */
static int64_t time_left(const struct rk_relay *r, const struct rk_route *route,
                         const struct rk_head *head)
{
    const char *deadline = rk_head_get(head, r->opt.dialect->deadline_ms);
    int64_t ms = deadline ? strtoll(deadline, NULL, 10) : route->timeout_ms;
    return ms < route->timeout_ms ? ms : route->timeout_ms;
}

/* Returns true if the request takes up a stream. */
static bool takes_up_stream(const struct rk_relay *r, const struct rk_route *route,
                            const struct rk_head *head)
{
    return route->kind == RK_CALL_STREAM && route->resumable &&
           rk_head_get(head, r->opt.dialect->resume_after) != NULL;
}

/* Returns the request id of the caller's attempt that brought the first event of
 * the stream that it takes up, "" if the request doesn't name it, or this request's
 * own id if it takes up none. */
static const char *stream_id(const struct rk_relay *r, const struct rk_route *route,
                             const struct rk_head *head)
{
    const struct rk_dialect *d = r->opt.dialect;
    if (!takes_up_stream(r, route, head))
        return rk_head_get(head, d->request_id);
    const char *resumes = rk_head_get(head, d->resumes);
    return resumes ? resumes : "";
}

/* Returns false if the request names the stream that it takes up in a way that
 * can't be the id of one. */
static bool names_stream_well(const struct rk_relay *r, const struct rk_head *head)
{
    const char *name = r->opt.dialect->resumes;
    size_t times = 0;
    for (size_t i = 0; i < head->lines_len; i++)
        times += !strcasecmp(rk_head_name(head, i), name);
    if (!times)
        return true;
    const char *value = rk_head_get(head, name);
    size_t len = strlen(value);
    for (size_t i = 0; i < len; i++)
        if (!isgraph((unsigned char)value[i]) || value[i] == ',')
            return false;
    return times == 1 && len > 0 && len < REQUEST_ID_MAX;
}

/* Notes which stream the call begins or takes up. */
static void identify_stream(struct rk_relay_call *x, const struct rk_head *head)
{
    const char *id = stream_id(x->r, x->route, head);
    x->is_resume = rk_head_get(head, x->r->opt.dialect->resume_after) != NULL;
    if (x->route->kind == RK_CALL_STREAM && x->route->resumable && id[0])
        x->stream =
            rk_stream_hash(x->org ? x->org->name : "", x->query.service, id);
}

/* Returns the service to which the request is routed. */
static const char *pick_service(const struct rk_relay *r,
                                const struct rk_route *route,
                                const struct rk_head *head)
{
    return rk_route_pick_service(
        route, (uint32_t)rk_hash_str(0, stream_id(r, route, head)));
}

static struct rk_relay_call *create_call(struct rk_relay *r,
                                         struct rk_client *client,
                                         const struct rk_route *route,
                                         const struct rk_org_info *org)
{
    const struct rk_head *head = rk_client_head(client);
    struct rk_relay_call *x = rk_alloc(1, sizeof(*x));
    *x = (struct rk_relay_call){.r = r,
                                .client = client,
                                .routes = rk_routes_ref(r->routes),
                                .route = route,
                                .org = org,
                                .started_ms = rk_mono_ms(),
                                .first_ms = -1};
    rk_strcpy(x->id, sizeof(x->id), rk_head_get(head, r->opt.dialect->request_id));
    x->query.service = pick_service(r, route, head);
    x->service = rk_routes_service(r->routes, x->query.service);
    x->query.engine = x->service->engine;
    x->query.request_hash = rk_hash_str(0, x->id);
    x->query.route = route->name;
    x->query.target_ms = (double)route->target_first_byte_ms;
    x->query.wants_new_version = rk_place_wants_new_version(r->place, &x->query);
    x->deadline_timer = (struct rk_timer){.fn = rk_call_on_deadline, .ctx = x};
    x->silence_timer = (struct rk_timer){.fn = rk_call_on_silence, .ctx = x};
    x->next = r->calls;
    x->prev = &r->calls;
    if (x->next)
        x->next->prev = &x->next;
    r->calls = x;
    r->calls_len++;
    parse_tokens(x, head);
    identify_stream(x, head);
    rk_client_set_user(client, x);
    return x;
}

/* Sends the call to a VM or a peer, or ends it if that is impossible. */
static void send_call(struct rk_relay_call *x)
{
    bool takes_up = takes_up_stream(x->r, x->route, rk_client_head(x->client));
    if (takes_up && !x->query.version[0])
        rk_call_resume(x);
    else
        rk_call_send(x);
}

/* Returns true if the call might outlast the planned stop of this process. */
static bool outlasts_stop(struct rk_relay *r, const struct rk_route *route,
                          int64_t left_ms)
{
    int64_t began_ms = atomic_load(&r->stop_began_ms), now_ms = rk_mono_ms();
    int64_t stop_left_ms = atomic_load(&r->stop_ends_ms) - now_ms;
    if (!began_ms || left_ms <= stop_left_ms)
        return false;
    int64_t expected_ms = rk_relay_expected_duration_ms(r, route);
    return now_ms - began_ms >= STOP_NOTICED_MS || expected_ms < 0 ||
           expected_ms + STOP_SLACK_MS > stop_left_ms;
}

/* Counts a call of an organisation that has a quota. */
static void count_decision(const struct rk_org_info *org, int call_class,
                           bool admitted)
{
    static const enum rk_counter by_class[RK_QUOTA_CLASSES][2] = {
        {RK_C_QUOTA_REFUSED_0, RK_C_QUOTA_ADMITTED_0},
        {RK_C_QUOTA_REFUSED_1, RK_C_QUOTA_ADMITTED_1},
        {RK_C_QUOTA_REFUSED_2, RK_C_QUOTA_ADMITTED_2},
        {RK_C_QUOTA_REFUSED_3, RK_C_QUOTA_ADMITTED_3},
    };
    if (org->rate > 0)
        rk_counter_add(by_class[call_class][admitted], 1);
    if (!admitted)
        rk_counter_add(RK_C_QUOTA_REFUSED, 1);
}

/* Charges the call to its organisation's quota. Returns false if the quota is used
 * up; the call is then refused and freed. */
static bool admit(struct rk_relay_call *x)
{
    struct rk_quota *q = &x->r->quota;
    struct rk_quota_decision answer;
    if (!x->org)
        return true;
    /* The organisation's own rank orders organisations at engines; the class
     * orders the calls within one organisation. */
    int call_class = rk_quota_class(x->query.engine, x->route->rank);
    bool admitted = rk_quota_admit(q, x->org->name, x->org->rate, x->org->burst,
                                   x->units, call_class, x->started_ms, &answer);
    count_decision(x->org, call_class, admitted);
    if (admitted)
        return true;
    RK_EVENT(
        "quota.refused", RK_S("request", x->id), RK_S("organisation", x->org->name),
        RK_N("units", (int64_t)x->units), RK_N("used", (int64_t)answer.used),
        RK_N("before", (int64_t)answer.used_before_restart),
        RK_N("limit", (int64_t)answer.limit),
        RK_N("share_pct", (int64_t)(answer.share * PCT)), RK_N("class", call_class),
        RK_N("class_share_pct", (int64_t)(answer.class_share * PCT)),
        RK_N("nodes_heard", q->nodes_reachable),
        RK_N("nodes_total", q->nodes_total));
    x->units = 0;
    rk_call_give_up(x, HTTP_TOO_MANY_REQUESTS, answer.retry_after_ms,
                    "the organisation's quota is used up");
    return false;
}

/* What a request's head says of its call. */
struct call_spec {
    const struct rk_route *route;
    const struct rk_org_info *org; /* NULL: none is needed */
    int64_t left_ms;               /* until its deadline */
};

/* Returns whether a stream that can be taken up would go to another service than
 * the peer's routes say, where versions have other meanings. */
static bool goes_elsewhere(const struct rk_relay *r, const struct rk_route *route,
                           const struct rk_head *head, const char *service)
{
    return service[0] && route->kind == RK_CALL_STREAM && route->resumable &&
           strcmp(service, pick_service(r, route, head)) != 0;
}

/* Fills in *call. Returns false, with the refusal in *why, if this node can't take
 * the call. */
static bool can_take_forwarded(struct rk_relay *r, struct rk_client *client,
                               const struct rk_forwarded *forwarded,
                               struct call_spec *call, enum rk_forward_refusal *why)
{
    const struct rk_head *head = rk_client_head(client);
    *why = RK_FORWARD_BEHIND;
    if (!r->routes || !r->vms_known ||
        r->routes->version < forwarded->routes_version)
        return false;
    call->route = find_route(r, client);
    if (!call->route || !find_org(r, call->route, head, &call->org) ||
        goes_elsewhere(r, call->route, head, forwarded->service))
        return false;
    call->left_ms = time_left(r, call->route, head);
    *why = RK_FORWARD_STOPS;
    return !outlasts_stop(r, call->route, call->left_ms);
}

/* Returns whether there are connections to spare for a peer's call. Beyond their
 * limit, each ends with its answer; beyond twice the limit, calls are refused. A
 * connection that is closed unread would not do: the peer, which has sent its
 * request by then, could not tell whether the call ran. */
static bool has_room_for_forwarded(const struct rk_relay *r,
                                   struct rk_client *client)
{
    size_t len = rk_server_client_count(r->forward_server);
    size_t most = (size_t)r->opt.max_forward_clients;
    if (len > most)
        rk_client_close_after_answer(client);
    return len <= 2 * most;
}

/* The peer has admitted the call: it is not charged to the organisation's quota
 * again. */
void rk_relay_call_start_forwarded(struct rk_relay *r, struct rk_client *client)
{
    const struct rk_head *head = rk_client_head(client);
    const char *id = rk_head_get(head, r->opt.dialect->request_id);
    struct call_spec call;
    enum rk_forward_refusal why;
    struct rk_forwarded forwarded;
    if (!id || strlen(id) >= REQUEST_ID_MAX ||
        !rk_call_parse_forwarded(head, &forwarded)) {
        refuse(r, client, HTTP_BAD_REQUEST, 0, "expected a forwarded call");
        return;
    }
    rk_counter_add(RK_C_FORWARDED_IN, 1);
    if (!can_take_forwarded(r, client, &forwarded, &call, &why)) {
        rk_call_refuse_forwarded(client, why, 0);
        return;
    }
    if (call.left_ms <= 0) {
        refuse(r, client, HTTP_REQUEST_TIMEOUT, 0, "the deadline has passed");
        return;
    }
    size_t body_len;
    rk_client_body(client, &body_len);
    if (!has_room_for_forwarded(r, client)) {
        rk_call_refuse_forwarded(client, RK_FORWARD_NO_ROOM, RETRY_AFTER_MS);
        return;
    }
    if (!rk_memory_has_room(body_len)) {
        rk_memory_count_refusal();
        rk_call_refuse_forwarded(client, RK_FORWARD_NO_ROOM, MEMORY_RETRY_AFTER_MS);
        return;
    }
    struct rk_relay_call *x = create_call(r, client, call.route, call.org);
    x->is_forwarded = true;
    x->units = 0;
    x->attempts = forwarded.attempts;
    x->deadline_ms = x->started_ms + call.left_ms;
    rk_timer_start(r->loop, &x->deadline_timer, call.left_ms);
    const char *version = rk_head_get(head, RK_HEADER_STREAM_VERSION);
    if (version)
        rk_strcpy(x->query.version, sizeof(x->query.version), version);
    x->retries_earned = forwarded.retries_earned;
    send_call(x);
}

/* Evaluates a request's head and fills in *call. Returns false if the request was
 * refused. */
static bool accept_head(struct rk_relay *r, struct rk_client *client,
                        struct call_spec *call)
{
    const struct rk_head *head = rk_client_head(client);
    const char *id = rk_head_get(head, r->opt.dialect->request_id);
    if (!r->routes) {
        refuse(r, client, HTTP_UNAVAILABLE, RETRY_AFTER_MS,
               "no routes are known yet");
        return false;
    }
    call->route = find_route(r, client);
    if (!call->route) {
        refuse(r, client, HTTP_NOT_FOUND, 0, "no such route");
        return false;
    }
    if (!find_org(r, call->route, head, &call->org)) {
        refuse(r, client, HTTP_UNAUTHORIZED, 0, "the key is not known");
        return false;
    }
    if (!id || strlen(id) >= REQUEST_ID_MAX) {
        refuse(r, client, HTTP_BAD_REQUEST, 0, "expected a request id");
        return false;
    }
    if (takes_up_stream(r, call->route, head) && !names_stream_well(r, head)) {
        refuse(r, client, HTTP_BAD_REQUEST, 0, "expected the id of one stream");
        return false;
    }
    call->left_ms = time_left(r, call->route, head);
    if (call->left_ms <= 0) {
        refuse(r, client, HTTP_REQUEST_TIMEOUT, 0, "the deadline has passed");
        return false;
    }
    if (outlasts_stop(r, call->route, call->left_ms)) {
        refuse(r, client, HTTP_UNAVAILABLE, 1, "this node stops");
        return false;
    }
    return true;
}

static void refuse_for_memory(struct rk_relay *r, struct rk_client *client)
{
    rk_memory_count_refusal();
    refuse(r, client, HTTP_UNAVAILABLE, MEMORY_RETRY_AFTER_MS,
           "this node has no memory for it");
}

/* Returns whether the body that a request's head announces can be held. Only long
 * bodies claim memory that they do not hold yet, and only long ones are refused for
 * such claims: they may come slowly. */
static bool claim_memory(struct rk_client *client)
{
    int64_t length = rk_client_head(client)->body_length;
    size_t bytes = length > 0 ? BODY_COPIES * (size_t)length : 0;
    if (length <= SHORT_BODY_MAX)
        return rk_memory_has_room(bytes);
    if (!rk_memory_has_unclaimed(bytes))
        return false;
    rk_client_announce(client, bytes);
    return true;
}

bool rk_relay_call_accept_head(struct rk_relay *r, struct rk_client *client)
{
    struct call_spec call;
    if (accept_head(r, client, &call)) {
        rk_client_limit_body_time(client, call.route->timeout_ms);
        if (claim_memory(client))
            return true;
        refuse_for_memory(r, client);
    }
    rk_counter_add(RK_C_CALLS, 1);
    return false;
}

void rk_relay_call_start(struct rk_relay *r, struct rk_client *client)
{
    struct call_spec call;
    rk_counter_add(RK_C_CALLS, 1);
    size_t body_len;
    rk_client_body(client, &body_len);
    if (!accept_head(r, client, &call))
        return;
    if (!rk_memory_has_room(body_len)) {
        refuse_for_memory(r, client);
        return;
    }
    struct rk_relay_call *x = create_call(r, client, call.route, call.org);
    x->deadline_ms = x->started_ms + call.left_ms;
    rk_timer_start(r->loop, &x->deadline_timer, call.left_ms);
    if (!admit(x))
        return;
    send_call(x);
}
