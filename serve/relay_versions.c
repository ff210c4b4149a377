/* Versions of streams that began here: tells peers, answers their questions and
 * writes records; see core/stream_versions.h. Peers are asked and told over their
 * listeners for forwarded calls. */
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "callers/server.h"
#include "common/counters.h"
#include "common/http1.h"
#include "serve/relay_versions_impl.h"

#define STREAM_VERSIONS_PATH "/stream-versions"
#define CONTENT_TYPE         "application/x-protobuf"
/* A stream can be taken up for so long after the route's time-out. */
#define RESUME_GRACE_MS (10 * RK_MS_PER_S)
/* Longest wait for the peers that are asked. */
#define ASK_TIMEOUT_MS     150
#define CONNECT_TIMEOUT_MS 100
#define TELL_TIMEOUT_MS    1000
#define MAX_CONNS          16 /* to one peer */
/* Idle time after which a connection is not used again. Peers close theirs after
 * 15 s. */
#define MAX_IDLE_MS 10000
/* Rows of a request, and pending streams that are told in one round. */
#define MAX_ROWS      256
#define BODY_MAX      (256 * 1024) /* bytes of an answer */
#define MAX_IN_FLIGHT 512          /* requests to peers */
/* Longest time for which a peer may have a stream kept. */
#define TTL_MAX_MS (10 * 60 * RK_MS_PER_S)
/* A large record is written less often. */
#define RECORD_BYTES_PER_S (128 * 1024)

void rk_relay_versions_init(struct rk_relay *r)
{
    struct rk_relay_versions *v = rk_alloc(1, sizeof(*v));
    rk_stream_versions_init(&v->table, rk_mono_ms(), r->opt.bounds.first_start);
    v->domain_hash = rk_hash_str(0, r->opt.domain);
    r->versions = v;
}

static void free_request(struct rk_version_request *q)
{
    if (q->up)
        rk_upstream_cancel(q->up);
    rk_timer_stop(q->r->loop, &q->timer);
    *q->prev = q->next;
    if (q->next)
        q->next->prev = q->prev;
    q->r->versions->requests_len--;
    rk_buf_free(&q->sent);
    rk_buf_free(&q->answer);
    free(q);
}

void rk_relay_versions_free(struct rk_relay *r)
{
    struct rk_relay_versions *v = r->versions;
    for (struct rk_version_request *q = v->requests, *next; q; q = next) {
        next = q->next;
        free_request(q);
    }
    rk_stream_versions_free(&v->table);
    free(v);
}

void rk_relay_versions_set_peers(struct rk_relay *r, const struct rk_relay_peers *p)
{
    struct rk_relay_versions *v = r->versions;
    memcpy(v->peers, p->stream_peers, p->stream_peers_len * sizeof(*v->peers));
    v->peers_len = p->stream_peers_len;
    rk_stream_versions_confirm_list(&v->table, p->list_confirmed_ms);
    if (p->silent_since_ms)
        rk_stream_versions_note_silent(&v->table, p->silent_since_ms, rk_mono_ms());
    if (v->writes_record == p->writes_stream_record &&
        !strcmp(v->record_writer, p->stream_writer))
        return;
    v->writes_record = p->writes_stream_record;
    rk_strcpy(v->record_writer, sizeof(v->record_writer), p->stream_writer);
    rk_stream_versions_forget_recorded(&v->table); /* the new writer needs them */
}

static void set_routings(struct rk_stream_versions *table,
                         const struct rk_routes *routes)
{
    uint64_t *hashes = rk_routes_resumable_hashes(routes);
    struct rk_service_routing *rows =
        rk_alloc(routes->services_len + 1, sizeof(*rows));
    for (size_t i = 0; i < routes->services_len; i++) {
        rows[i].service_hash = rk_hash_str(0, routes->services[i].name);
        rows[i].hash = hashes[i];
    }
    rk_stream_versions_set_routings(table, rows, routes->services_len,
                                    rk_mono_ms());
    free(hashes);
}

void rk_relay_versions_set_routes(struct rk_relay *r,
                                  const struct rk_routes *routes)
{
    int64_t longest_ms = 0;
    for (size_t i = 0; i < routes->routes_len; i++) {
        const struct rk_route *route = &routes->routes[i];
        if (route->kind == RK_CALL_STREAM && route->resumable &&
            route->timeout_ms > longest_ms)
            longest_ms = route->timeout_ms;
    }
    rk_stream_versions_set_lifetime(&r->versions->table,
                                    longest_ms + RESUME_GRACE_MS);
    set_routings(&r->versions->table, routes);
}

void rk_relay_versions_update_list(struct rk_relay *r)
{
    struct rk_stream_versions *table = &r->versions->table;
    rk_stream_versions_begin_list(table);
    for (const struct rk_place_vm *vm = rk_place_vms(r->place); vm; vm = vm->next)
        if (vm->listed)
            rk_stream_versions_note_listed(table, vm->row.service, vm->row.version);
    rk_stream_versions_end_list(table, rk_mono_ms());
    rk_relay_resumes_judge(r);
}

size_t rk_relay_versions_copy_only(struct rk_relay *r, struct rk_only_version **out)
{
    size_t len = 0;
    *out = rk_alloc(r->services_len + 1, sizeof(**out));
    for (size_t i = 0; i < r->services_len; i++) {
        struct rk_only_version *row = &(*out)[len];
        const char *only;
        if (rk_stream_versions_of_service(&r->versions->table, r->services[i].name,
                                          &only, rk_mono_ms()) != RK_VERSIONS_ONE)
            continue;
        rk_strcpy(row->service, sizeof(row->service), r->services[i].name);
        rk_strcpy(row->version, sizeof(row->version), only);
        row->routing =
            rk_stream_versions_routing(&r->versions->table, row->service);
        len++;
    }
    return len;
}

void rk_relay_versions_note_only(struct rk_relay *r,
                                 const struct rk_only_version *row)
{
    rk_stream_versions_note_only(&r->versions->table, row->service, row->version,
                                 row->routing, rk_mono_ms());
}

void rk_relay_versions_note_past_vm(struct rk_relay *r, const struct rk_vm_row *vm)
{
    struct rk_stream_versions *table = &r->versions->table;
    if (vm->service[0])
        rk_stream_versions_note_past(table, vm->service, vm->version, rk_mono_ms());
    else
        rk_stream_versions_note_gap(table, rk_mono_ms());
    rk_relay_resumes_judge(r);
}

/* ---- requests to peers ---- */

static const struct rk_upstream_ops request_ops;
static void finish_request(struct rk_version_request *q);

static void on_timeout(void *ctx)
{
    struct rk_version_request *q = ctx;
    q->status = 0;
    finish_request(q);
}

/* Returns false if nothing was sent. */
static bool send_request(struct rk_version_request *q)
{
    struct rk_buf head = {0};
    rk_buf_printf(&head,
                  "POST " STREAM_VERSIONS_PATH " HTTP/1.1\r\nHost: %s\r\n"
                  "Content-Type: " CONTENT_TYPE "\r\nContent-Length: %zu\r\n\r\n",
                  q->addr, q->sent.len);
    const struct rk_upstream_spec spec = {
        .vm_id = q->addr,
        .addr = q->addr,
        .head = head.data,
        .head_len = head.len,
        .body = q->sent.data,
        .body_len = q->sent.len,
        .max_idle_ms = MAX_IDLE_MS,
        .connect_ms = CONNECT_TIMEOUT_MS,
        .max_conns = MAX_CONNS,
        .ops = &request_ops,
        .ctx = q,
    };
    q->answer.len = 0;
    q->answer.max = BODY_MAX;
    q->up = rk_upstream_start(q->r->upstreams, &spec);
    rk_buf_free(&head);
    return q->up != NULL;
}

bool rk_version_request_start(struct rk_relay *r, const char *addr,
                              Rillknot__StreamVersions *rows,
                              struct rk_relay_call *call)
{
    struct rk_relay_versions *v = r->versions;
    if (v->requests_len >= MAX_IN_FLIGHT)
        return false;
    struct rk_version_request *q = rk_alloc(1, sizeof(*q));
    *q = (struct rk_version_request){.r = r, .call = call, .next = v->requests};
    rk_strcpy(q->addr, sizeof(q->addr), addr);
    if (rows->n_rows == 1)
        rk_strcpy(q->service, sizeof(q->service), rows->rows[0]->service);
    q->timer = (struct rk_timer){.fn = on_timeout, .ctx = q};
    q->prev = &v->requests;
    if (q->next)
        q->next->prev = &q->next;
    v->requests = q;
    v->requests_len++;
    q->sent.len = rillknot__stream_versions__get_packed_size(rows);
    q->sent.data = rk_alloc(q->sent.len + 1, 1);
    q->sent.cap = q->sent.len + 1;
    rillknot__stream_versions__pack(rows, (uint8_t *)q->sent.data);
    if (!send_request(q)) {
        free_request(q);
        return false;
    }
    rk_timer_start(r->loop, &q->timer, call ? ASK_TIMEOUT_MS : TELL_TIMEOUT_MS);
    return true;
}

static enum rk_head_action on_head(void *ctx, const struct rk_head *head)
{
    struct rk_version_request *q = ctx;
    q->status = head->status;
    return RK_HEAD_ACCEPT;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    struct rk_version_request *q = ctx;
    rk_buf_add(&q->answer, data, len); /* one that is too long can't be read */
}

static void on_end(void *ctx)
{
    struct rk_version_request *q = ctx;
    q->up = NULL;
    finish_request(q);
}

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_version_request *q = ctx;
    q->up = NULL;
    q->status = 0;
    /* The peer may have closed the connection while it was idle. */
    if (f->reused && !q->is_repeated) {
        q->is_repeated = true;
        if (send_request(q))
            return;
    }
    finish_request(q);
}

static const struct rk_upstream_ops request_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};

bool rk_version_row_names_only(const struct rk_relay *r,
                               const Rillknot__StreamVersion *row)
{
    return row->only[0] && row->list_age_ms &&
           rk_stream_versions_trusts(&r->versions->table,
                                     (int64_t)row->list_age_ms - 1, rk_mono_ms());
}

void rk_version_requests_cancel(struct rk_relay_call *call)
{
    for (struct rk_version_request *q = call->r->versions->requests, *next; q;
         q = next) {
        next = q->next;
        if (q->call == call)
            free_request(q);
    }
}

/* Ends a request to a peer. */
static void finish_request(struct rk_version_request *q)
{
    struct rk_relay *r = q->r;
    struct rk_relay_call *call = q->call;
    char service[RK_ID_MAX];
    rk_strcpy(service, sizeof(service), q->service);
    Rillknot__StreamVersions *rows =
        q->status == 200 ? rillknot__stream_versions__unpack(
                               NULL, q->answer.len, (uint8_t *)q->answer.data)
                         : NULL;
    const Rillknot__StreamVersion *row =
        rows && rows->n_rows ? rows->rows[0] : NULL;
    free_request(q);
    if (call)
        rk_call_receive_version(call, row);
    else if (row && service[0] && rk_version_row_names_only(r, row))
        rk_stream_versions_note_only(&r->versions->table, service, row->only,
                                     row->routing, rk_mono_ms());
    if (rows)
        rillknot__stream_versions__free_unpacked(rows, NULL);
}

/* ---- telling peers ---- */

static void fill_row(Rillknot__StreamVersion *row,
                     const struct rk_stream_version *e, int64_t now_ms)
{
    *row = (Rillknot__StreamVersion)RILLKNOT__STREAM_VERSION__INIT;
    row->stream = e->stream;
    row->version = (char *)e->version;
    row->ttl_ms = e->expires_ms - now_ms;
}

/* A stream that peers are told, and these peers. */
struct told_stream {
    struct rk_stream_version *row;
    const struct rk_stream_peer *holders[RK_STREAM_HOLDERS];
    size_t holders_len;
};

static bool has_holder(const struct told_stream *t,
                       const struct rk_stream_peer *peer)
{
    for (size_t i = 0; i < t->holders_len; i++)
        if (t->holders[i] == peer)
            return true;
    return false;
}

/* Tells a peer those of the streams of which it is a holder. */
static void tell_peer(struct rk_relay *r, const struct rk_stream_peer *peer,
                      const struct told_stream *streams, size_t len,
                      const char *service)
{
    Rillknot__StreamVersion rows[MAX_ROWS], *refs[MAX_ROWS];
    Rillknot__StreamVersions body = RILLKNOT__STREAM_VERSIONS__INIT;
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < len; i++) {
        if (!has_holder(&streams[i], peer))
            continue;
        fill_row(&rows[body.n_rows], streams[i].row, now_ms);
        rows[body.n_rows].service = (char *)service;
        refs[body.n_rows] = &rows[body.n_rows];
        body.n_rows++;
    }
    body.rows = refs;
    if (body.n_rows && rk_version_request_start(r, peer->addr, &body, NULL))
        rk_counter_add(RK_C_STREAM_VERSIONS_TOLD, body.n_rows);
}

/* Tells the holders of these streams, which began here. service: of all of them, or
 * "". */
static void tell(struct rk_relay *r, struct rk_stream_version **rows, size_t len,
                 const char *service)
{
    const struct rk_relay_versions *v = r->versions;
    struct told_stream streams[MAX_ROWS];
    for (size_t i = 0; i < len; i++) {
        struct told_stream *t = &streams[i];
        t->row = rows[i];
        t->holders_len = rk_stream_holders(v->peers, v->peers_len, rows[i]->stream,
                                           v->domain_hash, t->holders);
        rows[i]->is_told = t->holders_len > 0;
    }
    for (size_t p = 0; p < v->peers_len; p++)
        tell_peer(r, &v->peers[p], streams, len, service);
}

void rk_call_bind_version(struct rk_relay_call *x)
{
    const char *version = x->vm ? x->vm->row.version : x->peer_version;
    const char *only;
    if (x->version_bound || !version[0])
        return;
    x->version_bound = true;
    if (!x->query.version[0])
        rk_strcpy(x->query.version, sizeof(x->query.version), version);
    if (!x->stream || x->is_forwarded)
        return; /* the peer that has the caller records it */
    struct rk_stream_versions *table = &x->r->versions->table;
    struct rk_stream_version *e =
        rk_stream_versions_note(table, x->stream, x->query.service, version,
                                table->lifetime_ms, rk_mono_ms());
    if (e && rk_stream_versions_of_service(table, x->query.service, &only,
                                           rk_mono_ms()) != RK_VERSIONS_ONE)
        tell(x->r, &e, 1, x->query.service);
}

void rk_relay_versions_tell_pending(struct rk_relay *r)
{
    struct rk_stream_versions *table = &r->versions->table;
    struct rk_stream_version *streams[MAX_ROWS];
    size_t len = 0, at = 0;
    int64_t now_ms = rk_mono_ms();
    while (len < MAX_ROWS &&
           (streams[len] = rk_stream_versions_next_pending(table, &at, now_ms)))
        len++;
    if (len && r->versions->peers_len)
        tell(r, streams, len, "");
}

/* ---- records ---- */

/* Takes streams that are not recorded yet and marks them. Returns their number. */
static size_t take_unrecorded(struct rk_stream_versions *table, int64_t now_ms,
                              Rillknot__StreamVersion *rows, size_t max)
{
    struct rk_stream_version *e;
    size_t len = 0, at = 0;
    while (len < max && (e = rk_stream_versions_next_shared(table, &at, now_ms))) {
        if (e->is_recorded)
            continue;
        e->is_recorded = true;
        fill_row(&rows[len++], e, now_ms);
    }
    return len;
}

/* Returns the members of the record; NULL if it lists no streams. */
static char *pack_record(struct rk_relay_versions *v)
{
    struct rk_buf b = {0};
    rk_buf_printf(&b, "\"wall_ms\":%" PRId64 ",\"groups\":", rk_wall_ms());
    if (rk_stream_records_pack(&v->table, rk_mono_ms(), &b)) {
        int64_t wait_ms = (int64_t)b.len * RK_MS_PER_S / RECORD_BYTES_PER_S;
        v->next_record_ms = rk_mono_ms() + wait_ms;
        return b.data;
    }
    rk_buf_free(&b);
    return NULL;
}

char *rk_relay_versions_record(struct rk_relay *r)
{
    struct rk_relay_versions *v = r->versions;
    Rillknot__StreamVersion rows[MAX_ROWS], *refs[MAX_ROWS];
    Rillknot__StreamVersions body = RILLKNOT__STREAM_VERSIONS__INIT;
    int64_t now_ms = rk_mono_ms();
    if (!v->writes_record && !v->record_writer[0])
        return NULL;
    body.rows = refs;
    body.n_rows = take_unrecorded(&v->table, now_ms, rows, MAX_ROWS);
    for (size_t i = 0; i < body.n_rows; i++)
        refs[i] = &rows[i];
    if (body.n_rows && !v->writes_record &&
        !rk_version_request_start(r, v->record_writer, &body, NULL))
        rk_stream_versions_forget_recorded(&v->table);
    v->record_changed = v->record_changed || body.n_rows;
    if (!v->writes_record || !v->record_changed || now_ms < v->next_record_ms)
        return NULL;
    v->record_changed = false;
    return pack_record(v);
}

void rk_relay_versions_restore(struct rk_relay *r,
                               const struct rk_stream_record *rows, size_t len)
{
    struct rk_relay_versions *v = r->versions;
    int64_t now_ms = rk_mono_ms();
    for (size_t i = 0; i < len; i++)
        rk_stream_versions_note(&v->table, rows[i].stream, NULL, rows[i].version,
                                rows[i].ttl_ms, now_ms);
    v->record_changed = true;
}

/* ---- questions of peers ---- */

bool rk_relay_versions_is_request(struct rk_client *client)
{
    return !strcmp(rk_head_target(rk_client_head(client)), STREAM_VERSIONS_PATH);
}

/* Handles a peer's row and fills in the answer. version gets the stream's. */
static void answer_row(struct rk_relay *r, const Rillknot__StreamVersion *row,
                       Rillknot__StreamVersion *out, char version[RK_VERSION_MAX])
{
    struct rk_stream_versions *table = &r->versions->table;
    int64_t now_ms = rk_mono_ms();
    const char *only = "";
    *out = (Rillknot__StreamVersion)RILLKNOT__STREAM_VERSION__INIT;
    if (row->stream && row->version[0] && strlen(row->version) < RK_VERSION_MAX &&
        row->ttl_ms > 0) {
        int64_t ttl_ms = row->ttl_ms < TTL_MAX_MS ? row->ttl_ms : TTL_MAX_MS;
        rk_stream_versions_note(table, row->stream, NULL, row->version, ttl_ms,
                                now_ms);
    } else if (!row->version[0]) {
        const struct rk_stream_version *known =
            rk_stream_versions_find(table, row->stream, now_ms);
        if (known) {
            rk_strcpy(version, RK_VERSION_MAX, known->version);
            out->version = version;
        }
    }
    if (!row->service[0])
        return;
    enum rk_service_versions state =
        rk_stream_versions_of_service(table, row->service, &only, now_ms);
    out->several = state == RK_VERSIONS_SEVERAL;
    out->routing = rk_stream_versions_routing(table, row->service);
    if (state == RK_VERSIONS_ONE) {
        out->only = (char *)only;
        out->list_age_ms = (uint32_t)(now_ms - table->confirmed_ms) + 1;
    }
}

void rk_relay_versions_answer(struct rk_relay *r, struct rk_client *client)
{
    size_t len;
    const char *data = rk_client_body(client, &len);
    Rillknot__StreamVersions *rows =
        rillknot__stream_versions__unpack(NULL, len, (const uint8_t *)data);
    if (!rows || rows->n_rows > MAX_ROWS) {
        if (rows)
            rillknot__stream_versions__free_unpacked(rows, NULL);
        rk_call_answer_problem(client, HTTP_BAD_REQUEST, 0, "expected streams");
        return;
    }
    Rillknot__StreamVersion out[MAX_ROWS], *refs[MAX_ROWS];
    char versions[MAX_ROWS][RK_VERSION_MAX];
    Rillknot__StreamVersions body = RILLKNOT__STREAM_VERSIONS__INIT;
    body.n_rows = rows->n_rows;
    body.rows = refs;
    for (size_t i = 0; i < rows->n_rows; i++) {
        answer_row(r, rows->rows[i], &out[i], versions[i]);
        refs[i] = &out[i];
    }
    size_t packed_len = rillknot__stream_versions__get_packed_size(&body);
    uint8_t *packed = rk_alloc(packed_len + 1, 1);
    rillknot__stream_versions__pack(&body, packed);
    rk_client_answer(client, 200, "Content-Type: " CONTENT_TYPE "\r\n",
                     (const char *)packed, packed_len);
    free(packed);
    rillknot__stream_versions__free_unpacked(rows, NULL);
}
