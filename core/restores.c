#include "core/restores.h"

/* A store in its first era was never restored. */
#define FIRST_ERA 1

void rk_restores_init(struct rk_restores *r, bool first_start,
                      int64_t report_delay_ms)
{
    *r = (struct rk_restores){.record_read = first_start,
                              .report_delay_ms = report_delay_ms};
}

/* Notes a restore that was noticed at a time. Windows that ended less than the
 * delay of reports before had not been reported when it came. */
static void note_restore(struct rk_restores *r, int64_t noticed_ms)
{
    r->noticed_ms = noticed_ms;
    r->unsafe_ms = noticed_ms - r->report_delay_ms;
}

bool rk_restores_note_era(struct rk_restores *r, int64_t era,
                          int64_t only_leader_since_ms, int64_t now_ms)
{
    bool restored = r->era && era > r->era;
    if (restored) {
        note_restore(r, now_ms);
        if (only_leader_since_ms && only_leader_since_ms < r->unsafe_ms)
            r->unsafe_ms = only_leader_since_ms;
    }
    r->era = era;
    return restored;
}

void rk_restores_note_record(struct rk_restores *r,
                             const struct rk_restores_record *record, int64_t era,
                             int64_t now_ms)
{
    int64_t noticed_ms = record ? record->noticed_ms : 0;
    int64_t written_era = record && record->era ? record->era : FIRST_ERA;
    /* The copy had an older record, or none yet. */
    if (written_era < era)
        noticed_ms = now_ms;
    r->record_read = true;
    if (noticed_ms > r->noticed_ms)
        note_restore(r, noticed_ms);
}

bool rk_restores_may_be_lost(const struct rk_restores *r, int64_t window_end_ms)
{
    return window_end_ms < r->unsafe_ms;
}
