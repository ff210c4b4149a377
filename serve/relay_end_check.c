/* Checks whether a VM lives that has ended an answer without framing, a stream
 * between two events. A crash closes its connections in order, too, and only the
 * VM's listener then tells: a process that has ended refuses connections. While it
 * ends, its listener may outlast its other connections and still take new ones,
 * which are reset a moment later. A VM that lives may reset a connection, too, as
 * it has too many; it takes the next one. The end of the caller's answer waits for
 * the result. */
#include <stdlib.h>

#include "common/conn.h"
#include "common/eventlog.h"
#include "serve/relay_call_impl.h"

#define CONNECT_TIMEOUT_MS 250
/* A connection that stays open for this long shows that the VM lives. */
#define HOLD_MS 20

struct rk_call_end_check {
    struct rk_relay_call *x;
    struct rk_conn *conn;
    bool is_second; /* connection; the first one was closed by the VM */
    struct rk_timer hold;
    /* of the reserved connection: the VM's row may change meanwhile */
    char vm_id[RK_ID_MAX], addr[RK_ADDR_MAX];
};

void rk_call_end_check_free(struct rk_relay_call *x)
{
    struct rk_call_end_check *k = x->end_check;
    if (!k)
        return;
    rk_conn_abort(k->conn);
    rk_timer_stop(x->r->loop, &k->hold);
    rk_upstream_release_conn(x->r->upstreams, k->vm_id, k->addr);
    free(k);
    x->end_check = NULL;
}

static void end_check(struct rk_call_end_check *k, bool vm_lives)
{
    struct rk_relay_call *x = k->x;
    rk_call_end_check_free(x);
    rk_call_end_checked(x, vm_lives);
}

static void on_held(void *ctx)
{
    end_check(ctx, true);
}

static void on_connected(void *ctx)
{
    struct rk_call_end_check *k = ctx;
    if (k->is_second)
        end_check(k, true);
    else
        rk_timer_start(k->x->r->loop, &k->hold, HOLD_MS);
}

static void on_data(void *ctx, const char *data, size_t len)
{
    (void)data;
    (void)len;
    end_check(ctx, true);
}

static void on_error(void *ctx, int error);
static void on_eof(void *ctx);

static const struct rk_conn_ops check_ops = {.on_connected = on_connected,
                                             .on_data = on_data,
                                             .on_eof = on_eof,
                                             .on_error = on_error};

/* Replaces the connection; returns false, and leaves it, if none can be opened. */
static bool connect_to_vm(struct rk_call_end_check *k)
{
    struct rk_conn *conn =
        rk_conn_connect(k->x->r->loop, k->addr, CONNECT_TIMEOUT_MS, &check_ops, k);
    if (!conn)
        return false;
    if (k->conn)
        rk_conn_abort(k->conn);
    k->conn = conn;
    return true;
}

/* Handles the end of a connection: 0 or an errno. */
static void handle_end(struct rk_call_end_check *k, int error)
{
    bool was_connected = k->hold.slot;
    rk_timer_stop(k->x->r->loop, &k->hold);
    if (was_connected) {
        k->is_second = true;
        if (connect_to_vm(k))
            return;
    }
    RK_EVENT("call.end_unconfirmed", RK_S("request", k->x->id),
             RK_S("vm", k->x->vm->row.id), RK_N("errno", error));
    end_check(k, false);
}

static void on_eof(void *ctx)
{
    handle_end(ctx, 0);
}

static void on_error(void *ctx, int error)
{
    handle_end(ctx, error);
}

bool rk_call_start_end_check(struct rk_relay_call *x)
{
    const struct rk_vm_row *row = &x->vm->row;
    if (!rk_upstream_reserve_conn(x->r->upstreams, row->id, row->addr,
                                  rk_call_max_conns(x)))
        return false;
    struct rk_call_end_check *k = rk_alloc(1, sizeof(*k));
    k->x = x;
    k->hold = (struct rk_timer){.fn = on_held, .ctx = k};
    rk_strcpy(k->vm_id, sizeof(k->vm_id), row->id);
    rk_strcpy(k->addr, sizeof(k->addr), row->addr);
    if (!connect_to_vm(k)) {
        rk_upstream_release_conn(x->r->upstreams, row->id, row->addr);
        free(k);
        return false;
    }
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->end_check = k;
    return true;
}
