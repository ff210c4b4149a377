/* Heads of the requests that a relayed call sends to VMs and to peers. */
#include <inttypes.h>
#include <strings.h>

#include "callers/server.h"
#include "common/http1.h"
#include "core/engine_rank.h"
#include "serve/relay_call_impl.h"

static void add_line(struct rk_buf *b, const char *name, const char *value)
{
    rk_buf_printf(b, "%s: %s\r\n", name, value);
}

/* Returns true if a header of the caller's request is passed on to the VM. Headers
 * that Connection lists concern only the caller's connection and are dropped,
 * except the dialect's headers that are meant for the VM. */
static bool is_passed_on(const struct rk_relay_call *x, const char *connection,
                         const char *name)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    if (!strcasecmp(name, RK_HEADER_FORWARDED) ||
        !strcasecmp(name, RK_HEADER_STREAM_VERSION))
        return false; /* from a peer, or made up by a caller */
    switch (rk_dialect_header_owner(d, name)) {
    case RK_HEADER_RESERVED:
        return false;
    case RK_HEADER_CALLER:
        /* After the first event of a VM, this node sets the point of resumption
         * itself. */
        return !(x->begun && x->events.last_id[0] &&
                 !strcasecmp(name, d->resume_after));
    case RK_HEADER_OTHER:
        break;
    }
    return !rk_call_is_hop_header(name) && !rk_call_is_nominated(connection, name);
}

static void copy_headers(const struct rk_relay_call *x, bool key, struct rk_buf *b)
{
    const struct rk_head *head = rk_client_head(x->client);
    const char *connection = rk_head_get(head, "Connection");
    for (size_t i = 0; i < head->lines_len; i++) {
        const char *name = rk_head_name(head, i);
        bool is_key = key && !strcasecmp(name, x->r->opt.dialect->api_key);
        if (is_key || is_passed_on(x, connection, name))
            add_line(b, name, rk_head_value(head, i));
    }
}

int rk_call_base_rank(const struct rk_relay_call *x)
{
    return x->org && x->org->rank >= 0 ? x->org->rank : x->route->rank;
}

/* Returns the rank at the engine. The prompt size counts only until the caller has
 * received the head: the caller of a resumed stream is already reading it. */
static int engine_rank(const struct rk_relay_call *x)
{
    return rk_engine_rank(rk_call_base_rank(x),
                          x->begun ? 0 : x->job.load.uncached_tokens);
}

void rk_call_end_head(const struct rk_relay_call *x, struct rk_buf *b)
{
    const struct rk_head *head = rk_client_head(x->client);
    size_t body_len;
    rk_client_body(x->client, &body_len);
    if (body_len || head->body_length >= 0 || head->chunked)
        rk_buf_printf(b, "Content-Length: %zu\r\n", body_len);
    rk_buf_addstr(b, "\r\n");
}

void rk_call_begin_head(const struct rk_relay_call *x, bool key, struct rk_buf *b)
{
    const struct rk_head *head = rk_client_head(x->client);
    const struct rk_dialect *d = x->r->opt.dialect;
    int64_t left_ms = x->deadline_ms - rk_mono_ms();
    rk_buf_printf(b, "%s %s HTTP/1.1\r\n", http_method_str(head->method),
                  rk_head_target(head));
    copy_headers(x, key, b);
    rk_buf_printf(b, "%s: %" PRId64 "\r\n", d->deadline_ms,
                  left_ms > 1 ? left_ms : 1);
    if (x->begun && x->events.last_id[0])
        add_line(b, d->resume_after, x->events.last_id);
}

void rk_call_build_head(const struct rk_relay_call *x, struct rk_buf *b)
{
    const struct rk_dialect *d = x->r->opt.dialect;
    rk_call_begin_head(x, false, b);
    add_line(b, d->vm_id, x->vm->row.id);
    if (x->org)
        add_line(b, d->organisation, x->org->name);
    if (x->service->engine)
        rk_buf_printf(b, "%s: %d\r\n", d->rank, engine_rank(x));
    const struct rk_place_vm *source =
        x->service->can_move_kv
            ? rk_place_copy_source(x->r->place, &x->query, x->vm, rk_mono_ms())
            : NULL;
    if (source)
        add_line(b, d->kv_source, source->row.addr);
    if (x->kv_source[0])
        add_line(b, d->kv_moved_from, x->kv_source);
    rk_call_end_head(x, b);
}
