#include "core/watch_policy.h"

/* Nodes that start together wait this long for updates from peers. Callers
 * arrive 10 s later. */
#define START_WAIT_MS 3000

bool rk_watch_policy_is_needed(const struct rk_watch_policy_input *f)
{
    bool starting = f->first_start && f->up_ms < START_WAIT_MS;
    if (starting && !f->listed)
        return false;
    if (f->waits_for_slot)
        return f->age_ms > RK_WATCH_POLICY_STALE_MS; /* updates have stopped */
    if (f->nodes_before < 0 || (!f->ready && !f->first_start))
        return true;
    if (f->age_ms < 0)
        return !starting;
    if (f->watches && !f->has_preceding_watch)
        return true;
    return f->age_ms > RK_WATCH_POLICY_STALE_MS +
                           (int64_t)f->nodes_before * RK_WATCH_POLICY_STAGGER_MS;
}
