#include "core/store_era.h"

#include "core/revision.h"

/* A lower era is believed after this many answers within at least this time. The
 * answers of a store that was replaced end sooner, with its connections. */
#define LOWER_MIN_ANSWERS 3
#define LOWER_MIN_MS      3000
#define NONE              INT64_MIN

void rk_store_era_init(struct rk_store_era *e)
{
    *e = (struct rk_store_era){.candidate.era = NONE};
}

int64_t rk_store_era_send(struct rk_store_era *e)
{
    return e->sent++;
}

static void set_newest(struct rk_store_era *e, int64_t era, bool from_peers)
{
    e->known = true;
    e->newest = era;
    e->from_peers = from_peers;
    e->settled_sent = e->sent;
    e->candidate.era = NONE;
}

static void start_candidate(struct rk_store_era *e, int64_t era, int64_t now_ms)
{
    e->candidate = (struct rk_era_candidate){
        .era = era, .first_sent = e->sent, .since_ms = now_ms};
}

/* Handles an answer of the newest era. It disproves that the store is in a higher
 * one only if its request was sent later. */
static void confirm_newest(struct rk_store_era *e, int64_t request)
{
    e->from_peers = false;
    if (e->candidate.era < e->newest || request >= e->candidate.first_sent)
        e->candidate.era = NONE;
}

/* Believes the candidate. Every process counts a restore as the store does. A lower
 * era, or one too far ahead for peers to believe a revision of it, gets a number of
 * its own: the newest one if only peers have used that, as they have believed the
 * same era before this process, or the next. Returns false if there is none left.
 */
static bool believe_candidate(struct rk_store_era *e)
{
    int64_t step = e->candidate.era - e->newest;
    int64_t era = e->candidate.era;
    if (step < 0 || step > RK_REVISION_ERA_STEP_MAX)
        era = e->from_peers ? e->newest : e->newest + 1;
    if (era > RK_REVISION_ERA_MAX)
        return false;
    e->shift += era - e->candidate.era;
    set_newest(e, era, false);
    return true;
}

static bool is_candidate_proven(const struct rk_store_era *e, int64_t now_ms)
{
    const struct rk_era_candidate *c = &e->candidate;
    return c->era > e->newest || (c->answers >= LOWER_MIN_ANSWERS &&
                                  now_ms - c->since_ms >= LOWER_MIN_MS);
}

bool rk_store_era_receive(struct rk_store_era *e, int64_t request, int64_t named,
                          int64_t now_ms)
{
    int64_t era = named + e->shift;
    if (!e->known)
        set_newest(e, era, false);
    if (era == e->newest) {
        confirm_newest(e, request);
        return true;
    }
    if (era < e->newest && request < e->settled_sent)
        return false;
    if (era != e->candidate.era) {
        start_candidate(e, era, now_ms);
        return false;
    }
    if (request < e->candidate.first_sent)
        return false;
    e->candidate.answers++;
    return is_candidate_proven(e, now_ms) && believe_candidate(e);
}

void rk_store_era_refer(struct rk_store_era *e, int64_t era)
{
    if (era > e->newest)
        set_newest(e, era, true);
}
