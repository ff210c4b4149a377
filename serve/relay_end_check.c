/* Checks whether a VM lives that has ended an answer without framing, a stream
 * between two events. A crash closes its connections in order, too. A process that
 * has ended refuses connections; while it ends, its listener may outlast its other
 * connections and still take new ones, which are reset a moment later; and once the
 * VM has started again, another incarnation answers. So the VM is asked for its
 * state, on a new connection. A VM that lives may reset that, too, as it has too
 * many; it takes the next one. The end of the caller's answer waits for the result.
 */
#include <stdlib.h>
#include <string.h>

#include "common/eventlog.h"
#include "common/http1.h"
#include "serve/relay_call_impl.h"

#define CONNECT_TIMEOUT_MS 250
/* A VM that has taken the connection and not closed it by then lives; it answers
 * later if it has no slot free. */
#define ANSWER_TIMEOUT_MS 100

struct rk_call_end_check {
    struct rk_relay_call *x;
    struct rk_upstream_call *up;
    bool is_second; /* request; the VM closed the connection of the first one */
    struct rk_timer timer;
    /* The VM's row may change meanwhile. */
    char vm_id[RK_ID_MAX], addr[RK_ADDR_MAX];
};

void rk_call_end_check_free(struct rk_relay_call *x)
{
    struct rk_call_end_check *k = x->end_check;
    if (!k)
        return;
    if (k->up)
        rk_upstream_cancel(k->up);
    rk_timer_stop(x->r->loop, &k->timer);
    free(k);
    x->end_check = NULL;
}

static void end_check(struct rk_call_end_check *k, bool vm_lives, const char *cause)
{
    struct rk_relay_call *x = k->x;
    if (!vm_lives)
        RK_EVENT("call.end_unconfirmed", RK_S("request", x->id),
                 RK_S("vm", k->vm_id), RK_S("cause", cause));
    rk_call_end_check_free(x);
    rk_call_end_checked(x, vm_lives);
}

static void on_timeout(void *ctx)
{
    struct rk_call_end_check *k = ctx;
    if (rk_upstream_may_have_sent(k->up))
        end_check(k, true, "");
    else
        rk_timer_start(k->x->r->loop, &k->timer, ANSWER_TIMEOUT_MS);
}

static enum rk_head_action on_head(void *ctx, const struct rk_head *head)
{
    struct rk_call_end_check *k = ctx;
    const char *id = rk_head_get(head, k->x->r->opt.dialect->answering_vm);
    bool is_other = head->status == HTTP_MISDIRECTED_REQUEST ||
                    (id && strcmp(id, k->vm_id) != 0);
    end_check(k, !is_other, "another vm has its address");
    return RK_HEAD_DISCARD;
}

static void on_body(void *ctx, const char *data, size_t len)
{
    (void)ctx;
    (void)data;
    (void)len;
}

/* Not called, as the head ends the check. */
static void on_end(void *ctx)
{
    (void)ctx;
}

static bool send_request(struct rk_call_end_check *k);

static void on_fail(void *ctx, const struct rk_upstream_failure *f)
{
    struct rk_call_end_check *k = ctx;
    k->up = NULL;
    rk_timer_stop(k->x->r->loop, &k->timer);
    bool is_first = !k->is_second;
    k->is_second = true;
    if (f->may_have_reached && is_first && send_request(k))
        return;
    end_check(k, f->may_have_reached && !is_first, f->cause);
}

static const struct rk_upstream_ops check_ops = {
    .on_head = on_head, .on_body = on_body, .on_end = on_end, .on_fail = on_fail};

static bool send_request(struct rk_call_end_check *k)
{
    const struct rk_relay_call *x = k->x;
    const char *path = x->service->health_path;
    struct rk_buf head = {0};
    /* Without the id of a request, a VM runs nothing, whatever the path. */
    rk_buf_printf(&head,
                  "GET %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\nConnection: close\r\n"
                  "\r\n",
                  path[0] == '/' && !strchr(path, ' ') ? path : "/", k->addr,
                  x->r->opt.dialect->vm_id, k->vm_id);
    const struct rk_upstream_spec spec = {.vm_id = k->vm_id,
                                          .addr = k->addr,
                                          .head = head.data,
                                          .head_len = head.len,
                                          .connect_ms = CONNECT_TIMEOUT_MS,
                                          .max_conns = rk_call_max_conns(x),
                                          .ops = &check_ops,
                                          .ctx = k};
    k->up = rk_upstream_start(x->r->upstreams, &spec);
    rk_buf_free(&head);
    if (k->up)
        rk_timer_start(x->r->loop, &k->timer, ANSWER_TIMEOUT_MS);
    return k->up != NULL;
}

bool rk_call_start_end_check(struct rk_relay_call *x)
{
    struct rk_call_end_check *k = rk_alloc(1, sizeof(*k));
    k->x = x;
    k->timer = (struct rk_timer){.fn = on_timeout, .ctx = k};
    rk_strcpy(k->vm_id, sizeof(k->vm_id), x->vm->row.id);
    rk_strcpy(k->addr, sizeof(k->addr), x->vm->row.addr);
    if (!send_request(k)) {
        free(k);
        return false;
    }
    rk_timer_stop(x->r->loop, &x->silence_timer);
    x->end_check = k;
    return true;
}
