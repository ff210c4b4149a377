#include "callers/pages.h"

#include <inttypes.h>
#include <string.h>

#include "common/counters.h"
#include "common/util.h"
#include "core/call.h"
#include "serve/traffic.h"
#include "serve/view.h"

static const char *const member_states[] = {
    [RK_MEMBER_ALIVE] = "alive",
    [RK_MEMBER_SUSPECT] = "suspect",
    [RK_MEMBER_DEAD] = "dead",
};

static const char *const vm_states[] = {
    [RK_VM_LIVE] = "live",
    [RK_VM_LEAVING] = "leaving",
    [RK_VM_GONE] = "gone",
};

void rk_problem_render(struct rk_buf *out, const struct rk_outcome *o,
                       const char *request_id)
{
    rk_buf_printf(
        out, "{\"type\":\"about:blank\",\"title\":\"%s\",\"status\":%d,\"detail\":",
        o->verdict == RK_NOT_RUN ? "The request was not run"
        : o->verdict == RK_RAN   ? "The request ran"
                                 : "The request may have run",
        o->status);
    rk_buf_json_str(out, o->detail ? o->detail : "");
    rk_buf_printf(
        out, ",\"verdict\":\"%s\",\"arrival\":\"%s\",\"request_id\":\"%s\"",
        rk_verdict_str(o->verdict), o->not_sent ? "not-sent" : "sent", request_id);
    if (o->retry_after_ms)
        rk_buf_printf(out, ",\"retry_after_ms\":%" PRId64, o->retry_after_ms);
    rk_buf_addstr(out, "}");
}

/* Returns the HTTP status. It is 503 until the node has settings, and while it is
 * leaving. */
static int render_health(struct rk_buf *out, const struct rk_view *v)
{
    bool ready = v->config->head > 0 && !v->leaving;
    rk_buf_printf(out, "{\"status\":\"%s\",\"settings_head\":%" PRId64 "}\n",
                  v->leaving ? "leaving"
                  : ready    ? "ready"
                             : "starting",
                  v->config->head);
    return ready ? 200 : 503;
}

static void render_members(struct rk_buf *out, const struct rk_view *v)
{
    for (size_t i = 0; i < v->peers_len; i++) {
        const struct rk_member *m = &v->peers[i];
        rk_buf_printf(out,
                      "%s{\"id\":\"%s\",\"failure_domain\":\"%s\",\"state\":\"%s\","
                      "\"leaving\":%s,\"settings_head\":%" PRId64 ",\"spare\":%u}",
                      i ? "," : "", m->id, m->domain, member_states[m->state],
                      m->leaving ? "true" : "false", m->applied_version,
                      m->free_slots);
    }
}

static void render_vms(struct rk_buf *out, const struct rk_view *v)
{
    for (size_t i = 0; i < v->vms_len; i++) {
        const struct rk_vm *vm = &v->vms[i];
        rk_buf_printf(out,
                      "%s{\"id\":\"%s\",\"addr\":\"%s\",\"service\":\"%s\","
                      "\"vm_class\":\"%s\",\"state\":\"%s\",\"running\":%u,"
                      "\"queued\":%u}",
                      i ? "," : "", vm->id, vm->addr, vm->service, vm->vm_class,
                      vm_states[vm->state], vm->running, vm->queued);
    }
}

static int render_status(struct rk_buf *out, const struct rk_view *v)
{
    rk_buf_printf(out,
                  "{\"id\":\"%s\",\"failure_domain\":\"%s\",\"leaving\":%s,"
                  "\"settings_head\":%" PRId64 ",\"members\":[",
                  v->self, v->domain, v->leaving ? "true" : "false",
                  v->config->head);
    render_members(out, v);
    rk_buf_addstr(out, "],\"vms\":[");
    render_vms(out, v);
    rk_buf_addstr(out, "]}\n");
    return 200;
}

bool rk_page_render(struct rk_buf *out, struct rk_traffic *t, const char *path,
                    int *status, const char **type)
{
    const struct rk_view *v = rk_traffic_view(t);
    *type = "application/json";
    *status = 200;
    if (!strcmp(path, "/health")) {
        *status = render_health(out, v);
    } else if (!strcmp(path, "/status")) {
        *status = render_status(out, v);
    } else if (!strcmp(path, "/metrics")) {
        *type = "text/plain; version=0.0.4";
        rk_counters_render(out);
    } else {
        return false;
    }
    return true;
}
