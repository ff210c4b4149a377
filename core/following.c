#include "core/following.h"

/* Nodes that start together wait so long to be told: callers come 10 s later. */
#define FIRST_TOLD_MS 3000

bool rk_following_should(const struct rk_following *f)
{
    bool starts = f->first_start && f->up_ms < FIRST_TOLD_MS;
    if (starts && !f->listed)
        return false;
    if (f->waits)
        return f->age_ms > RK_FOLLOWING_STALE_MS; /* told, and not any more */
    if (f->before < 0 || (!f->ready && !f->first_start))
        return true;
    if (f->age_ms < 0)
        return !starts;
    if (f->follows && !f->served)
        return true;
    return f->age_ms >
           RK_FOLLOWING_STALE_MS + (int64_t)f->before * RK_FOLLOWING_STAGGER_MS;
}
