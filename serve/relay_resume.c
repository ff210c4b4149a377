/* Finds out at which software version a stream goes on that its caller takes up;
 * see core/stream_versions.h. A resume waits for the answers of the peers that are
 * asked. If nobody knows the stream's version, it also waits until the store was
 * asked for changes of the settings and the VM list, as one that has joined of late
 * may be unknown to all. If several may be it then, or the store was not reached,
 * the call is rejected as not run. */
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "core/revision.h"
#include "serve/relay_versions_impl.h"

/* Longest time from a resume to its decision. */
#define RESUME_WAIT_MS 300

/* A resume that waits for peers, or for the store. */
struct rk_call_ask {
    struct rk_relay_call *x;
    struct rk_call_ask *next, **prev; /* of those that wait for the store */
    struct rk_timer timer;
    struct rk_stream_inquiry inquiry;
    int asked;
    int pending;  /* answers that have not come */
    int answered; /* answers that could be read */
};

static void stop_waiting(struct rk_call_ask *ask)
{
    if (!ask->prev)
        return;
    *ask->prev = ask->next;
    if (ask->next)
        ask->next->prev = ask->prev;
    ask->prev = NULL;
}

void rk_call_ask_free(struct rk_relay_call *x)
{
    if (!x->ask)
        return;
    rk_version_requests_cancel(x);
    rk_timer_stop(x->r->loop, &x->ask->timer);
    stop_waiting(x->ask);
    free(x->ask);
    x->ask = NULL;
}

/* from: who named the version, "": nobody. */
static void log_version(const struct rk_relay_call *x, const char *from,
                        const char *version)
{
    const struct rk_relay_versions *v = x->r->versions;
    RK_EVENT("stream.version", RK_S("request", x->id),
             RK_S("service", x->query.service), RK_S("from", from),
             RK_S("version", version), RK_N("asked", x->ask ? x->ask->asked : 0),
             RK_N("answered", x->ask ? x->ask->answered : 0),
             RK_N("list_age_ms", rk_mono_ms() - v->table.confirmed_ms),
             RK_N("list_revision", rk_revision_number(x->r->vms_revision)));
}

static void reject_unknown(struct rk_relay_call *x)
{
    log_version(x, "", "");
    rk_call_ask_free(x);
    rk_counter_add(RK_C_RESUMES_UNKNOWN, 1);
    rk_call_give_up(x, HTTP_UNAVAILABLE, RETRY_AFTER_MS,
                    "the version of the stream is not known");
}

static void send_at_version(struct rk_relay_call *x, const char *from,
                            const char *version)
{
    log_version(x, from, version);
    rk_call_ask_free(x);
    rk_strcpy(x->query.version, sizeof(x->query.version), version);
    rk_call_send(x);
}

/* Has the resume wait until the store has been asked. */
static void wait_for_check(struct rk_relay_call *x)
{
    struct rk_relay_versions *v = x->r->versions;
    struct rk_call_ask *ask = x->ask;
    if (ask->prev)
        return;
    ask->next = v->checks;
    ask->prev = &v->checks;
    if (ask->next)
        ask->next->prev = &ask->next;
    v->checks = ask;
    x->r->opt.on_check_wanted(x->r->opt.ctx);
}

/* Decides by the answers that have come and by what this node knows. */
static void decide(struct rk_relay_call *x)
{
    struct rk_relay_versions *v = x->r->versions;
    const char *only;
    enum rk_stream_verdict verdict = rk_stream_versions_judge(
        &v->table, x->query.service, &x->ask->inquiry, &only, rk_mono_ms());
    if (verdict == RK_STREAM_GOES_ON)
        send_at_version(x, "only", only);
    else if (verdict == RK_STREAM_UNCHECKED)
        wait_for_check(x);
    else
        reject_unknown(x);
}

static void on_resume_timeout(void *ctx)
{
    struct rk_call_ask *ask = ctx;
    reject_unknown(ask->x);
}

void rk_relay_resumes_judge(struct rk_relay *r)
{
    for (struct rk_call_ask *ask = r->versions->checks, *next; ask; ask = next) {
        next = ask->next;
        if (!ask->pending)
            decide(ask->x);
    }
}

void rk_relay_versions_note_checked(struct rk_relay *r, int64_t asked_ms)
{
    struct rk_relay_versions *v = r->versions;
    rk_stream_versions_note_checked(&v->table, asked_ms);
    rk_relay_resumes_judge(r);
    for (const struct rk_call_ask *ask = v->checks; ask; ask = ask->next) {
        if (ask->inquiry.arrived_ms <= asked_ms)
            continue;
        r->opt.on_check_wanted(r->opt.ctx);
        return;
    }
}

void rk_call_receive_version(struct rk_relay_call *x,
                             const Rillknot__StreamVersion *row)
{
    struct rk_call_ask *ask = x->ask;
    struct rk_stream_inquiry *q = &ask->inquiry;
    ask->pending--;
    ask->answered += row != NULL;
    if (row && row->version[0] && strlen(row->version) < RK_VERSION_MAX) {
        send_at_version(x, "peer", row->version);
        return;
    }
    bool routes_alike =
        row && row->routing == rk_stream_versions_routing(&x->r->versions->table,
                                                          x->query.service);
    if (row && (row->several || (row->routing && !routes_alike)))
        q->saw_several = true;
    if (routes_alike && rk_version_row_names_only(x->r, row))
        rk_strcpy(q->only, sizeof(q->only), row->only);
    if (!ask->pending)
        decide(x);
}

/* Asks the peers that may know the stream's version. */
static void ask_peers(struct rk_relay_call *x)
{
    struct rk_relay_versions *v = x->r->versions;
    struct rk_call_ask *ask = x->ask;
    const struct rk_stream_peer *peers[RK_STREAM_ASKED_MAX];
    size_t n = rk_stream_peers_to_ask(v->peers, v->peers_len, x->stream, peers);
    Rillknot__StreamVersion row = RILLKNOT__STREAM_VERSION__INIT;
    Rillknot__StreamVersion *rows[] = {&row};
    Rillknot__StreamVersions body = RILLKNOT__STREAM_VERSIONS__INIT;
    body.rows = rows;
    body.n_rows = 1;
    row.stream = x->stream;
    row.service = (char *)x->query.service;
    for (size_t i = 0; i < n; i++)
        ask->pending += rk_version_request_start(x->r, peers[i]->addr, &body, x);
    ask->asked = (int)n;
}

static void inquire(struct rk_relay_call *x)
{
    struct rk_call_ask *ask = rk_alloc(1, sizeof(*ask));
    x->ask = ask;
    ask->x = x;
    ask->inquiry.arrived_ms = rk_mono_ms();
    ask->timer = (struct rk_timer){.fn = on_resume_timeout, .ctx = ask};
    rk_timer_start(x->r->loop, &ask->timer, RESUME_WAIT_MS);
    if (x->stream)
        ask_peers(x);
    if (ask->pending)
        wait_for_check(x); /* while the peers answer */
    else
        decide(x);
}

void rk_call_resume(struct rk_relay_call *x)
{
    const struct rk_stream_version *known =
        x->stream ? rk_stream_versions_find(&x->r->versions->table, x->stream,
                                            rk_mono_ms())
                  : NULL;
    if (known)
        send_at_version(x, "record", known->version);
    else
        inquire(x);
}
