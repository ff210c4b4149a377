/* Finds out at which software version a stream goes on that its caller takes up;
 * see core/stream_versions.h. A resume waits for the answers of the peers that are
 * asked; if nobody knows the stream's version and several may be it, the call is
 * rejected as not run. */
#include <stdlib.h>
#include <string.h>

#include "common/counters.h"
#include "common/eventlog.h"
#include "core/revision.h"
#include "serve/relay_versions_impl.h"

/* What the peers have answered that were asked for a call's stream. */
struct rk_call_ask {
    int asked;
    int pending;  /* answers that have not come */
    int answered; /* answers that could be read */
    /* A peer knows of several versions, or routes requests otherwise, but does not
     * know the stream. */
    bool saw_several;
    bool has_only; /* a peer that routes alike knows that there was only one */
    char only[RK_VERSION_MAX];
};

void rk_call_ask_free(struct rk_relay_call *x)
{
    if (!x->ask)
        return;
    rk_version_requests_cancel(x);
    free(x->ask);
    x->ask = NULL;
}

static enum rk_service_versions versions_of(const struct rk_relay_call *x,
                                            const char **only)
{
    return rk_stream_versions_of_service(&x->r->versions->table, x->query.service,
                                         only, rk_mono_ms());
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

/* Decides by the answers that have come. Where this node knows of one version only,
 * its list of VMs or its routes may be old, so that a peer's word counts more. */
static void decide(struct rk_relay_call *x)
{
    const struct rk_call_ask *ask = x->ask;
    struct rk_stream_versions *table = &x->r->versions->table;
    const char *only;
    char version[RK_VERSION_MAX] = "";
    if (!ask->saw_several && ask->has_only)
        rk_stream_versions_note_only(
            table, x->query.service, ask->only,
            rk_stream_versions_routing(table, x->query.service), rk_mono_ms());
    if (!ask->saw_several && versions_of(x, &only) == RK_VERSIONS_ONE &&
        (!ask->has_only || !strcmp(only, ask->only)))
        rk_strcpy(version, sizeof(version), only);
    if (version[0])
        send_at_version(x, "only", version);
    else
        reject_unknown(x);
}

void rk_call_receive_version(struct rk_relay_call *x,
                             const Rillknot__StreamVersion *row)
{
    struct rk_call_ask *ask = x->ask;
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
        ask->saw_several = true;
    if (routes_alike && row->only[0])
        ask->has_only = rk_strcpy(ask->only, sizeof(ask->only), row->only);
    if (!ask->pending)
        decide(x);
}

/* Asks the peers that may know the stream's version. Returns false if there are
 * none. */
static bool ask_peers(struct rk_relay_call *x)
{
    struct rk_relay_versions *v = x->r->versions;
    const struct rk_stream_peer *peers[RK_STREAM_ASKED_MAX];
    size_t n = rk_stream_peers_to_ask(v->peers, v->peers_len, x->stream, peers);
    Rillknot__StreamVersion row = RILLKNOT__STREAM_VERSION__INIT;
    Rillknot__StreamVersion *rows[] = {&row};
    Rillknot__StreamVersions body = RILLKNOT__STREAM_VERSIONS__INIT;
    body.rows = rows;
    body.n_rows = 1;
    row.stream = x->stream;
    row.service = (char *)x->query.service;
    x->ask = rk_alloc(1, sizeof(*x->ask));
    for (size_t i = 0; i < n; i++)
        x->ask->pending += rk_version_request_start(x->r, peers[i]->addr, &body, x);
    x->ask->asked = (int)n;
    if (x->ask->pending)
        return true;
    rk_call_ask_free(x);
    return false;
}

void rk_call_resume(struct rk_relay_call *x)
{
    const char *only;
    const struct rk_stream_version *known =
        x->stream ? rk_stream_versions_find(&x->r->versions->table, x->stream,
                                            rk_mono_ms())
                  : NULL;
    if (known)
        send_at_version(x, "record", known->version);
    else if (x->stream && ask_peers(x))
        return;
    else if (versions_of(x, &only) == RK_VERSIONS_ONE) {
        log_version(x, "only", only);
        rk_call_send(x);
    } else {
        reject_unknown(x);
    }
}
