/* Finds requests and prompt segments that crash VMs. When calls to a VM break off,
 * this node connects to the VM. If the connection is refused the VM has ended, and
 * its calls are recorded as suspects, with the segments of their prompts, except
 * those that it had run for long. Calls that it had just begun count most. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/conn.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "serve/relay_call_impl.h"

/* Delay from the first call that breaks off to the connection: the VM's other calls
 * break off meanwhile, and its process has ended by then. */
#define CHECK_DELAY_MS     30
#define CONNECT_TIMEOUT_MS 150
/* A refused connection shows that the VM has ended only if this node still hears
 * from other VMs. It waits for that at most so long, checking at intervals. */
#define OTHERS_WAIT_MS 400
/* Bytes that were under way when the calls broke off have arrived by then. */
#define OTHERS_MARGIN_MS   10
#define OTHERS_INTERVAL_MS 20
#define SUSPECTS_MAX       64 /* per VM */
/* Ids of a suspect's prompt segments in the log. */
#define SEGMENTS_LOG_MAX 256

/* A VM that is crashed by a request ends soon after it has begun it: 36 to 79 ms
 * were observed. A call counts as just begun for JUST_BEGUN_MS, and is cleared if
 * it has been answered for longer than CLEARED_AFTER_MS; in between, it may be the
 * cause if the VM is slow. In a simulation with ten such requests at once
 * (tests/prop_quarantine.cc, 24 runs), these values quarantined 14 of 461,525 other
 * requests by mistake, compared with 41 of 461,388 if both were 1,000 ms. */
#define JUST_BEGUN_MS    250
#define CLEARED_AFTER_MS 1000

/* Check whether a VM has ended after calls to it broke off. */
struct rk_vm_check {
    struct rk_relay *r;
    struct rk_vm_check *next;
    char vm_id[RK_ID_MAX], addr[RK_ADDR_MAX];
    uint32_t vm_incarnation; /* hash of the VM's incarnation */
    struct rk_timer timer;
    struct rk_conn *conn; /* NULL until the timer has fired, and while it waits */
    int64_t started_ms;
    struct suspect {
        struct rk_quarantine_row identity; /* request, organisation and route */
        char call_id[REQUEST_ID_MAX];
        struct rk_prompt_segments segments;
        char service[RK_ID_MAX];
        enum rk_suspicion suspicion;
        int64_t began_ms, at_ms; /* when the VM began it, and broke it off */
    } suspects[SUSPECTS_MAX];
    size_t suspects_len;
};

uint64_t rk_call_fingerprint(struct rk_relay_call *x)
{
    if (x->fingerprint || !x->client)
        return x->fingerprint;
    const struct rk_head *head = rk_client_head(x->client);
    const char *host = rk_head_get(head, "Host");
    struct rk_request_identity parts = {.org = x->org ? x->org->name : "",
                                        .method = http_method_str(head->method),
                                        .host = host ? host : "",
                                        .target = rk_head_target(head)};
    parts.body = rk_client_body(x->client, &parts.body_len);
    x->fingerprint = rk_quarantine_hash(&parts);
    return x->fingerprint;
}

static bool has_stopped_segment(const struct rk_relay_call *x, int64_t now_ms)
{
    for (size_t i = 0; i < x->segments.len; i++)
        if (rk_quarantine_is_stopped(&x->r->quarantine, x->segments.items[i].key,
                                     now_ms))
            return true;
    return false;
}

bool rk_call_is_quarantined(struct rk_relay_call *x)
{
    struct rk_quarantine *q = &x->r->quarantine;
    int64_t now_ms = rk_mono_ms();
    return q->len && (has_stopped_segment(x, now_ms) ||
                      rk_quarantine_is_stopped(q, rk_call_fingerprint(x), now_ms));
}

/* Returns when the VM began the call, as far as is known. */
static int64_t begun_ms(const struct rk_relay_call *x)
{
    return x->vm_first_ms ? x->vm_first_ms : x->vm_head_ms;
}

static void clear_segments(struct rk_relay_call *x, int64_t now_ms)
{
    x->segments_cleared = true;
    for (size_t i = 0; i < x->segments.len; i++)
        rk_quarantine_segment_survived(&x->r->quarantine, x->segments.items[i].key,
                                       begun_ms(x), now_ms);
}

static void clear_request(struct rk_relay_call *x, int64_t now_ms)
{
    if (rk_call_fingerprint(x))
        rk_quarantine_completed(&x->r->quarantine, x->fingerprint, now_ms);
}

void rk_call_clear_suspicion(struct rk_relay_call *x)
{
    int64_t now_ms = rk_mono_ms();
    clear_request(x, now_ms);
    if (x->status < HTTP_BAD_REQUEST)
        clear_segments(x, now_ms);
}

void rk_call_check_survival(struct rk_relay_call *x)
{
    int64_t now_ms = rk_mono_ms();
    if (!x->segments_cleared && x->segments.len && x->vm_first_ms &&
        now_ms - x->vm_first_ms > CLEARED_AFTER_MS)
        clear_segments(x, now_ms);
}

void rk_relay_cancel_quarantined(struct rk_relay *r)
{
    for (struct rk_relay_call *x = r->calls, *next; x; x = next) {
        next = x->next;
        /* Only calls that wait at engines are cancelled: a plain service may be
         * running the call, and a cancelled call may still run. */
        bool waiting = x->query.engine && x->up && !x->vm_first_ms;
        if (!waiting || !rk_call_is_quarantined(x))
            continue;
        if (rk_upstream_may_have_sent(x->up))
            x->may_have_run = true;
        rk_call_cancel_attempt(x, RK_PLACE_CANCELLED);
        rk_call_send(x); /* ends the call, as it is quarantined */
    }
}

/* ---- end of a VM ---- */

static void log_suspect(const struct rk_vm_check *k, const struct suspect *s)
{
    char name[RK_QUARANTINE_NAME_MAX], segments[SEGMENTS_LOG_MAX];
    rk_quarantine_format(s->identity.request, name);
    rk_prompt_segments_format(&s->segments, segments, sizeof(segments));
    RK_EVENT("request.suspected", RK_S("request", s->call_id),
             RK_S("fingerprint", name), RK_S("organisation", s->identity.org),
             RK_S("route", s->identity.route), RK_S("segments", segments),
             RK_S("vm", k->vm_id), RK_N("suspicion", s->suspicion));
}

/* Records the end against the request and against the segments of its prompt.
 * Returns whether one of them is stopped as a result. */
static bool add_end(struct rk_vm_check *k, const struct suspect *s)
{
    struct rk_quarantine *q = &k->r->quarantine;
    int64_t now_ms = rk_mono_ms();
    const struct rk_vm_end end = {.vm = k->vm_incarnation,
                                  .suspicion = s->suspicion,
                                  .carrier = (uint32_t)s->identity.request,
                                  .began_ms = s->began_ms,
                                  .at_ms = s->at_ms};
    bool stops = false;
    for (size_t i = 0; i < s->segments.len; i++) {
        const struct rk_prompt_segment *segment = &s->segments.items[i];
        struct rk_quarantine_row row = {.request = segment->key};
        rk_strcpy(row.org, sizeof(row.org), s->identity.org);
        rk_strcpy(row.segment, sizeof(row.segment), segment->id);
        rk_strcpy(row.service, sizeof(row.service), s->service);
        stops = rk_quarantine_add_end(q, &row, end, now_ms) || stops;
    }
    return rk_quarantine_add_end(q, &s->identity, end, now_ms) || stops;
}

static void record_vm_end(struct rk_vm_check *k)
{
    bool stops = false;
    RK_EVENT("vm.ended_under_calls", RK_S("vm", k->vm_id),
             RK_N("suspects", (int64_t)k->suspects_len));
    for (size_t i = 0; i < k->suspects_len; i++) {
        const struct suspect *s = &k->suspects[i];
        log_suspect(k, s);
        stops = add_end(k, s) || stops;
    }
    if (stops)
        rk_relay_cancel_quarantined(k->r);
}

static void destroy_check(struct rk_vm_check *k)
{
    rk_timer_stop(k->r->loop, &k->timer);
    for (size_t i = 0; i < k->suspects_len; i++)
        rk_prompt_segments_free(&k->suspects[i].segments);
    free(k);
}

static void free_check(struct rk_vm_check *k)
{
    struct rk_vm_check **at = &k->r->vm_checks;
    while (*at != k)
        at = &(*at)->next;
    *at = k->next;
    destroy_check(k);
}

/* Decides on a refused connection as soon as another VM was heard since the calls
 * broke off. If none is, the path is lost, and nothing is known of the VM. */
static void wait_for_others(void *ctx)
{
    struct rk_vm_check *k = ctx;
    struct rk_place_vm *vm = rk_place_find(k->r->place, k->vm_id);
    bool is_current = vm && (uint32_t)vm->hash == k->vm_incarnation;
    if (!is_current ||
        rk_place_heard_other(k->r->place, vm, k->started_ms + OTHERS_MARGIN_MS)) {
        record_vm_end(k);
        free_check(k);
        return;
    }
    if (rk_mono_ms() - k->started_ms >= OTHERS_WAIT_MS) {
        RK_EVENT("vm.end_unknown", RK_S("vm", k->vm_id),
                 RK_N("suspects", (int64_t)k->suspects_len));
        free_check(k);
        return;
    }
    rk_timer_start(k->r->loop, &k->timer, OTHERS_INTERVAL_MS);
}

/* The VM is running, so the calls broke off for another reason. */
static void on_up(void *ctx)
{
    struct rk_vm_check *k = ctx;
    rk_conn_abort(k->conn);
    free_check(k);
}

static void on_error(void *ctx, int error)
{
    struct rk_vm_check *k = ctx;
    rk_conn_abort(k->conn);
    k->conn = NULL;
    struct rk_place_vm *vm = rk_place_find(k->r->place, k->vm_id);
    if (vm && (uint32_t)vm->hash == k->vm_incarnation)
        rk_relay_note_unreachable(k->r, vm);
    /* Other errors may come from a network partition, so the VM may be running. */
    if (error != ECONNREFUSED && error != ECONNRESET) {
        free_check(k);
        return;
    }
    k->timer.fn = wait_for_others;
    wait_for_others(k);
}

static void on_data(void *ctx, const char *data, size_t len)
{
    (void)data;
    (void)len;
    on_up(ctx);
}

static void on_eof(void *ctx)
{
    on_up(ctx);
}

static const struct rk_conn_ops check_ops = {.on_connected = on_up,
                                             .on_data = on_data,
                                             .on_eof = on_eof,
                                             .on_error = on_error};

static void connect_to_vm(void *ctx)
{
    struct rk_vm_check *k = ctx;
    k->conn =
        rk_conn_connect(k->r->loop, k->addr, CONNECT_TIMEOUT_MS, &check_ops, k);
    if (!k->conn)
        free_check(k);
}

void rk_relay_vm_checks_free(struct rk_relay *r)
{
    struct rk_vm_check *next;
    for (struct rk_vm_check *k = r->vm_checks; k; k = next) {
        next = k->next;
        if (k->conn)
            rk_conn_abort(k->conn);
        destroy_check(k);
    }
    r->vm_checks = NULL;
}

/* ---- calls that broke off ---- */

static struct rk_vm_check *find_or_start_check(struct rk_relay *r,
                                               const struct rk_place_vm *vm)
{
    uint32_t incarnation = (uint32_t)vm->hash;
    for (struct rk_vm_check *k = r->vm_checks; k; k = k->next)
        if (k->vm_incarnation == incarnation)
            return k;
    struct rk_vm_check *k = rk_alloc(1, sizeof(*k));
    *k = (struct rk_vm_check){.r = r,
                              .vm_incarnation = incarnation,
                              .started_ms = rk_mono_ms(),
                              .next = r->vm_checks};
    k->timer = (struct rk_timer){.fn = connect_to_vm, .ctx = k};
    rk_strcpy(k->vm_id, sizeof(k->vm_id), vm->row.id);
    rk_strcpy(k->addr, sizeof(k->addr), vm->row.addr);
    r->vm_checks = k;
    rk_timer_start(r->loop, &k->timer, CHECK_DELAY_MS);
    return k;
}

/* An engine sends the first byte of the body when it has begun the call; some
 * engines send the head earlier, while the call is queued. A plain service begins
 * the call at once and answers at its end. */
static enum rk_suspicion suspicion_of(const struct rk_relay_call *x)
{
    int64_t now_ms = rk_mono_ms();
    if (x->vm_first_ms && now_ms - x->vm_first_ms > CLEARED_AFTER_MS)
        return RK_NOT_SUSPECT;
    if (begun_ms(x))
        return now_ms - begun_ms(x) <= JUST_BEGUN_MS ? RK_HAD_JUST_BEGUN
                                                     : RK_MAY_HAVE_BEGUN;
    return x->query.engine ? RK_MAY_HAVE_BEGUN : RK_HAD_JUST_BEGUN;
}

/* Returns the slot for another suspect: a free one, or one of lower suspicion. NULL
 * if there is none. */
static struct suspect *suspect_slot(struct rk_vm_check *k,
                                    enum rk_suspicion suspicion)
{
    if (k->suspects_len < SUSPECTS_MAX)
        return &k->suspects[k->suspects_len++];
    for (size_t i = 0; i < k->suspects_len; i++)
        if (k->suspects[i].suspicion < suspicion)
            return &k->suspects[i];
    return NULL;
}

void rk_call_suspect(struct rk_relay_call *x)
{
    enum rk_suspicion suspicion = suspicion_of(x);
    /* The VM has not lived on, so this says nothing for the prompt's segments. */
    if (suspicion == RK_NOT_SUSPECT)
        clear_request(x, rk_mono_ms());
    /* A VM that is leaving ends anyway, with all its calls. */
    if (!x->vm || x->vm->row.leaving || suspicion == RK_NOT_SUSPECT ||
        !rk_call_fingerprint(x))
        return;
    struct rk_vm_check *k = find_or_start_check(x->r, x->vm);
    struct suspect *s = suspect_slot(k, suspicion);
    if (!s)
        return;
    rk_prompt_segments_free(&s->segments);
    *s = (struct suspect){.suspicion = suspicion,
                          .identity.request = x->fingerprint,
                          .segments = rk_prompt_segments_copy(&x->segments),
                          .began_ms = begun_ms(x) ? begun_ms(x) : x->sent_ms,
                          .at_ms = rk_mono_ms()};
    rk_strcpy(s->call_id, sizeof(s->call_id), x->id);
    rk_strcpy(s->service, sizeof(s->service), x->query.service);
    rk_strcpy(s->identity.org, sizeof(s->identity.org), x->org ? x->org->name : "");
    rk_strcpy(s->identity.route, sizeof(s->identity.route), x->route->name);
}
