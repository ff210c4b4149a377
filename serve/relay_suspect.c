/* Which request ended a VM: when calls break off, their VM is connected to; if it
 * refuses, it has ended, and what it had just begun is suspected. */
#include <errno.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/conn.h"
#include "common/counters.h"
#include "common/eventlog.h"
#include "common/http1.h"
#include "serve/relay_call_impl.h"

/* From the first call that breaks off until the VM is connected to: its other calls
 * break off meanwhile, and its own end is over. */
#define CHECK_AFTER_MS 30
#define CONNECT_MS     150
#define SUSPECTS_MAX   64

/* A VM ends soon after it has begun such a request: 36 to 79 ms were seen. What has
 * been answered for so long isn't what ended it; in between it may be, at a slow
 * one. Simulated with ten such requests at once (tests/prop_quarantine.cc, 24
 * plays): 14 of 461,525 others are stopped for nothing, 41 of 461,388 with 1,000
 * for both. */
#define JUST_BEGUN_MS 250
#define INNOCENT_MS   1000

struct rk_vm_check {
    struct rk_relay *r;
    struct rk_vm_check *next;
    char vm_id[RK_ID_MAX], addr[RK_ADDR_MAX];
    uint32_t vm; /* this life of it */
    struct rk_timer timer;
    struct rk_conn *conn;
    struct suspect {
        struct rk_quarantine_row names;
        char call[REQUEST_ID_MAX];
        enum rk_suspicion suspicion;
    } suspects[SUSPECTS_MAX];
    size_t suspects_len;
};

uint64_t rk_call_request(struct rk_relay_call *x)
{
    if (x->request || !x->client)
        return x->request;
    const struct rk_head *head = rk_client_head(x->client);
    const char *host = rk_head_get(head, "Host");
    struct rk_request_parts parts = {.org = x->org ? x->org->name : "",
                                     .method = http_method_str(head->method),
                                     .host = host ? host : "",
                                     .target = rk_head_target(head)};
    parts.body = rk_client_body(x->client, &parts.body_len);
    x->request = rk_quarantine_request(&parts);
    return x->request;
}

bool rk_call_is_stopped(struct rk_relay_call *x)
{
    struct rk_quarantine *q = &x->r->quarantine;
    return q->len && rk_quarantine_stops(q, rk_call_request(x), rk_mono_ms());
}

void rk_call_acquit(struct rk_relay_call *x)
{
    if (rk_call_request(x))
        rk_quarantine_ran(&x->r->quarantine, x->request, rk_mono_ms());
}

void rk_relay_call_off_stopped(struct rk_relay *r)
{
    for (struct rk_relay_call *x = r->calls, *next; x; x = next) {
        next = x->next;
        /* A plain service may be at work on it, and what was called off may run. */
        bool waits = x->query.engine && x->up && !x->vm_first_ms;
        if (!waits || !rk_call_is_stopped(x))
            continue;
        if (rk_upstream_sent(x->up))
            x->may_have_run = true;
        rk_call_cancel_attempt(x, RK_PLACE_CALLED_OFF);
        rk_call_send(x); /* which ends it */
    }
}

/* ---- the VM's end ---- */

static void log_suspect(const struct rk_vm_check *k, const struct suspect *s)
{
    char name[RK_QUARANTINE_NAME];
    rk_quarantine_name(s->names.request, name);
    RK_EVENT("request.suspected", RK_S("request", s->call),
             RK_S("fingerprint", name), RK_S("organisation", s->names.org),
             RK_S("route", s->names.route), RK_S("vm", k->vm_id),
             RK_N("suspicion", s->suspicion));
}

static void note_end(struct rk_vm_check *k)
{
    struct rk_quarantine *q = &k->r->quarantine;
    bool stops = false;
    RK_EVENT("vm.ended_under_calls", RK_S("vm", k->vm_id),
             RK_N("suspects", (int64_t)k->suspects_len));
    for (size_t i = 0; i < k->suspects_len; i++) {
        const struct suspect *s = &k->suspects[i];
        const struct rk_vm_end end = {.vm = k->vm, .suspicion = s->suspicion};
        log_suspect(k, s);
        if (!rk_quarantine_note(q, &s->names, end, rk_mono_ms()))
            continue;
        stops = true;
    }
    if (stops)
        rk_relay_call_off_stopped(k->r);
}

static void free_check(struct rk_vm_check *k)
{
    struct rk_vm_check **at = &k->r->vm_checks;
    while (*at != k)
        at = &(*at)->next;
    *at = k->next;
    rk_timer_stop(k->r->loop, &k->timer);
    free(k);
}

/* It lives: calls broke off for another reason. */
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
    /* What can't be reached may live behind a cut. */
    if (error == ECONNREFUSED || error == ECONNRESET)
        note_end(k);
    free_check(k);
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

static const struct rk_conn_ops check_ops = {
    .on_up = on_up, .on_data = on_data, .on_eof = on_eof, .on_error = on_error};

static void connect_to_vm(void *ctx)
{
    struct rk_vm_check *k = ctx;
    k->conn = rk_conn_connect(k->r->loop, k->addr, CONNECT_MS, &check_ops, k);
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
        rk_timer_stop(r->loop, &k->timer);
        free(k);
    }
    r->vm_checks = NULL;
}

/* ---- what broke off there ---- */

static struct rk_vm_check *check_of(struct rk_relay *r,
                                    const struct rk_place_vm *vm)
{
    uint32_t life = (uint32_t)vm->hash;
    for (struct rk_vm_check *k = r->vm_checks; k; k = k->next)
        if (k->vm == life)
            return k;
    struct rk_vm_check *k = rk_alloc(1, sizeof(*k));
    *k = (struct rk_vm_check){.r = r, .vm = life, .next = r->vm_checks};
    k->timer = (struct rk_timer){.fn = connect_to_vm, .ctx = k};
    rk_strcpy(k->vm_id, sizeof(k->vm_id), vm->row.id);
    rk_strcpy(k->addr, sizeof(k->addr), vm->row.addr);
    r->vm_checks = k;
    rk_timer_start(r->loop, &k->timer, CHECK_AFTER_MS);
    return k;
}

/* An engine answers when it has begun, some with the head alone while the call
 * waits; a plain service begins at once and answers at its end. */
static enum rk_suspicion suspicion_of(const struct rk_relay_call *x)
{
    int64_t begun_ms = x->vm_first_ms ? x->vm_first_ms : x->vm_head_ms;
    int64_t now_ms = rk_mono_ms();
    if (x->vm_first_ms && now_ms - x->vm_first_ms > INNOCENT_MS)
        return RK_NOT_SUSPECT;
    if (begun_ms)
        return now_ms - begun_ms <= JUST_BEGUN_MS ? RK_HAD_JUST_BEGUN
                                                  : RK_MAY_HAVE_BEGUN;
    return x->query.engine ? RK_MAY_HAVE_BEGUN : RK_HAD_JUST_BEGUN;
}

/* Where another goes; NULL: what is known says as much. */
static struct suspect *place_for(struct rk_vm_check *k, enum rk_suspicion suspicion)
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
    if (suspicion == RK_NOT_SUSPECT)
        rk_call_acquit(x);
    /* What runs at a VM that leaves ends with it. */
    if (!x->vm || x->vm->row.leaving || suspicion == RK_NOT_SUSPECT ||
        !rk_call_request(x))
        return;
    struct rk_vm_check *k = check_of(x->r, x->vm);
    struct suspect *s = place_for(k, suspicion);
    if (!s)
        return;
    *s = (struct suspect){.suspicion = suspicion, .names.request = x->request};
    rk_strcpy(s->call, sizeof(s->call), x->id);
    rk_strcpy(s->names.org, sizeof(s->names.org), x->org ? x->org->name : "");
    rk_strcpy(s->names.route, sizeof(s->names.route), x->route->name);
}
