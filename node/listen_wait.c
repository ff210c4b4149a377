#include "node/listen_wait.h"

#include <netinet/in.h>
#include <stdbool.h>

#include "common/addr.h"
#include "common/eventlog.h"
#include "common/process.h"
#include "common/util.h"
#include "core/procfile.h"

#define RETRY_MS 200
/* Time beyond stop_s, for a process that is killed at its end. */
#define MARGIN_MS 2000
/* A client's port stays taken for 60 s after its connection's end (TIME_WAIT). */
#define WAIT_MIN_MS 65000

struct listener {
    const char *name, *addr;
    bool waiting, is_free;
};

int64_t rk_listen_deadline_ms(const struct rk_procfile *file)
{
    int64_t wait_ms = rk_s_to_ms(file->stop_s) + MARGIN_MS;
    return rk_mono_ms() + (wait_ms > WAIT_MIN_MS ? wait_ms : WAIT_MIN_MS);
}

static enum rk_status check_free(struct listener *l, int64_t since_ms,
                                 int64_t deadline_ms)
{
    struct sockaddr_in addr;
    if (!rk_addr_parse(l->addr, &addr))
        return rk_fail(RK_EINVAL, "%s: expected ip:port", l->addr);
    enum rk_status st = rk_addr_check_free(&addr);
    if (st != RK_OK && st != RK_ECONFLICT)
        return st;
    l->is_free = st == RK_OK;
    if (l->is_free && l->waiting)
        RK_EVENT("listener.free", RK_S("listener", l->name), RK_S("addr", l->addr),
                 RK_N("waited_ms", rk_mono_ms() - since_ms));
    if (!l->is_free && !l->waiting)
        RK_WARN("listener.waiting", RK_S("listener", l->name),
                RK_S("addr", l->addr), RK_S("why", rk_last_error()),
                RK_N("limit_ms", deadline_ms - since_ms));
    l->waiting = !l->is_free;
    return RK_OK;
}

enum rk_status rk_listen_wait(const struct rk_procfile *file, int64_t deadline_ms)
{
    struct listener listeners[] = {
        {.name = "callers", .addr = file->listen},
        {.name = "forward", .addr = file->forward_listen},
        {.name = "control", .addr = file->control_listen},
        {.name = "ready", .addr = file->ready_listen}};
    int64_t since_ms = rk_mono_ms();
    for (;;) {
        bool all_free = true;
        for (size_t i = 0; i < RK_ARRAY_LEN(listeners); i++) {
            struct listener *l = &listeners[i];
            bool is_used = l->addr != file->forward_listen || l->addr[0];
            if (!is_used || l->is_free)
                continue;
            enum rk_status st = check_free(l, since_ms, deadline_ms);
            if (st != RK_OK)
                return st;
            all_free = all_free && l->is_free;
        }
        if (all_free)
            return RK_OK;
        if (rk_mono_ms() >= deadline_ms)
            return RK_ECONFLICT;
        if (rk_process_wait_stop_signal_for(RETRY_MS))
            return rk_fail(RK_EGONE, "told to stop while waiting for an address");
    }
}
