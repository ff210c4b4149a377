#include "core/rollout.h"

#include <math.h>
#include <string.h>

/* Parts of the time ordered, by which each phase ends. A version may turn bad some
 * seconds after its start, so most of the time is trial; what is left must do for
 * the old vms to end what they run and for a store that is away. */
#define TRIAL_MIN 0.5 /* not before it, however good it looks */
#define TRIAL_END 0.65
#define SHIFT_END 0.85
/* Whatever the time ordered, so much of it is left at the end: the holder hears of
 * an order and records its end by calls to the store. Without it 3 of 96 good
 * versions ordered for 9 s were taken up to 0.3 s too late, by nodes on a machine
 * that had twice as much to do as it could. */
#define SPARE_MS 1000

/* Of what a bad version may get (bounds.share and slack): trial, and the most. The
 * rest is for calls on their way when it is given back. */
#define TRIAL_PART      0.4
#define MOST_PART       0.85
#define TRIAL_SHARE_MIN 0.02
#define TRIAL_SHARE_MAX 0.3
#define RATE_MS         1000 /* calls are counted for so long before they are a rate */

/* A vm under load gets a little more than an old one does, for a moment: a second
 * of a third of all calls is 3% of what 12 s bring. */
#define LOAD_OVER  1.2
#define LOAD_SHARE 0.4
#define LOAD_MS    1000

/* When there is no time for more: one good version in twenty tries of few calls,
 * and few bad ones are left by then. */
#define LATE_BAD_AT 3.0

#define TRIED_MIN 10 /* calls that say something of a version */

#define TURN_MS 1500 /* the same vms try it: others may be in other domains */
/* After all calls have moved: until every node knows, and has told what runs on the
 * old vms. With 500 ms streams of 0.6 s were cut. */
#define DRAIN_MS 1500

struct rk_rollout_seen *rk_rollout_seen_of(struct rk_rollout_seen *all, size_t len,
                                           const char *service, const char *version)
{
    for (size_t i = 0; i < len; i++)
        if (!strcmp(all[i].service, service) && !strcmp(all[i].version, version))
            return &all[i];
    return NULL;
}

const struct rk_rollout_rule *
rk_rollout_rule_find(const struct rk_rollout_rule *rules, size_t len,
                     const char *service)
{
    for (size_t i = 0; i < len; i++)
        if (!strcmp(rules[i].service, service))
            return &rules[i];
    return NULL;
}

size_t rk_rollout_add(struct rk_trial_rows *sum, const struct rk_trial_rows *more)
{
    size_t left_out = 0;
    for (size_t i = 0; i < more->len; i++) {
        const struct rk_trial_row *row = &more->rows[i];
        struct rk_trial_row *to =
            rk_trial_is_sound(&row->seen)
                ? rk_trial_row_at(sum, row->route, row->domain, row->tried)
                : NULL;
        if (to)
            rk_trial_add(&to->seen, &row->seen);
        left_out += !to;
    }
    return left_out;
}

void rk_rollout_begin(struct rk_rollout *r, const struct rk_rollout_order *order,
                      const struct rk_rollout_bounds *bounds, int64_t now_ms,
                      int64_t passed_ms)
{
    int64_t revision = r->rule.revision;
    *r = (struct rk_rollout){.order = *order,
                             .bounds = *bounds,
                             .begun_ms = now_ms - passed_ms,
                             .turned_ms = now_ms,
                             .phase_ms = now_ms};
    rk_strcpy(r->rule.service, sizeof(r->rule.service), order->service);
    rk_strcpy(r->rule.version, sizeof(r->rule.version), order->version);
    r->rule.revision = revision + 1;
    if (order->state == RK_ROLLOUT_DONE)
        r->rule.phase = RK_ROLLOUT_TAKEN;
    if (order->state == RK_ROLLOUT_UNDONE)
        r->rule.phase = RK_ROLLOUT_GIVEN_BACK;
    if (order->state == RK_ROLLOUT_DONE)
        r->rule.share = RK_ROLLOUT_ALL;
}

static bool is_over(const struct rk_rollout *r)
{
    return r->rule.phase == RK_ROLLOUT_TAKEN ||
           r->rule.phase == RK_ROLLOUT_GIVEN_BACK;
}

/* Of the time ordered, what has passed. */
static double passed_ms(const struct rk_rollout *r, int64_t now_ms)
{
    return (double)(now_ms - r->begun_ms);
}

/* The same as a part of it; no time at all is over at once. */
static double passed(const struct rk_rollout *r, int64_t now_ms)
{
    if (r->order.duration_ms <= 0)
        return 1;
    return passed_ms(r, now_ms) / (double)r->order.duration_ms;
}

static void enter(struct rk_rollout *r, enum rk_rollout_phase phase, int64_t now_ms)
{
    r->rule.phase = phase;
    r->phase_ms = now_ms;
}

/* ---- how much it gets ---- */

static void count_calls(const struct rk_trial_rows *t, double *all, double *tried)
{
    *all = *tried = 0;
    for (size_t i = 0; i < t->len; i++) {
        *all += t->rows[i].seen.calls;
        *tried += t->rows[i].tried ? t->rows[i].seen.calls : 0;
    }
}

/* Calls that it may still get, of a part of what a bad one may. */
static double left(const struct rk_rollout *r, const struct rk_rollout_view *v,
                   double part)
{
    double all, tried;
    count_calls(v->seen, &all, &tried);
    return part * (r->bounds.share * all + r->bounds.slack) - tried;
}

/* As many vms as get about what an old one gets; one in each domain would get too
 * little to show anything under load. */
static uint32_t vms_for(double share, size_t old_vms)
{
    double vms = floor(share * (double)old_vms);
    return vms > 1 ? (uint32_t)vms : 1;
}

static uint32_t share_of(double part)
{
    return (uint32_t)(part * RK_ROLLOUT_ALL);
}

static bool may_load(const struct rk_rollout *r, const struct rk_rollout_view *v)
{
    double all, tried;
    count_calls(v->seen, &all, &tried);
    double per_ms = all / fmax(1, (double)(v->now_ms - r->begun_ms));
    double share = fmin(LOAD_SHARE, LOAD_OVER / fmax(1, (double)v->old_vms));
    return left(r, v, MOST_PART) > per_ms * LOAD_MS * share;
}

/* Does one vm get full load before all calls move? Where each that tries it gets
 * about that anyway, it needn't. */
static bool is_to_load(const struct rk_rollout *r, const struct rk_rollout_view *v)
{
    bool tried_at_load = (double)v->old_vms * TRIAL_SHARE_MIN >= 1;
    return !r->loaded && !tried_at_load && may_load(r, v);
}

/* When the trial is over whatever it showed: what follows it has its time, too. */
static double trial_end_ms(const struct rk_rollout *r,
                           const struct rk_rollout_view *v)
{
    double all_ms = (double)r->order.duration_ms;
    double after_ms = DRAIN_MS + SPARE_MS + (is_to_load(r, v) ? LOAD_MS : 0);
    return fmax(TRIAL_MIN * all_ms, fmin(TRIAL_END * all_ms, all_ms - after_ms));
}

/* As much as uses up, by the end of the trial, what it may get: the slack lets a
 * small service show something, too. */
static double trial_share(const struct rk_rollout *r,
                          const struct rk_rollout_view *v)
{
    double all, tried;
    count_calls(v->seen, &all, &tried);
    double gone_ms = fmax(RATE_MS, (double)(v->now_ms - r->phase_ms));
    double per_ms = fmax(all / gone_ms, 1e-6);
    double left_ms = fmax(RATE_MS, trial_end_ms(r, v) - passed_ms(r, v->now_ms));
    double may = TRIAL_PART * (r->bounds.share * (all + per_ms * left_ms) +
                               r->bounds.slack) -
                 tried;
    if (all <= 0)
        return r->bounds.share * TRIAL_PART;
    return fmax(TRIAL_SHARE_MIN, fmin(TRIAL_SHARE_MAX, may / (per_ms * left_ms)));
}

static void set_trial(struct rk_rollout *r, const struct rk_rollout_view *v)
{
    double share = trial_share(r, v);
    bool some = left(r, v, TRIAL_PART) > 0;
    uint32_t told = v->new_vms && some ? share_of(share) : 0;
    /* Small changes aren't told. */
    if (!told || fabs((double)told - r->rule.share) > r->rule.share * 0.2)
        r->rule.share = told;
    r->rule.vms = vms_for(share, v->old_vms);
    int64_t turn_ms = v->now_ms - r->turned_ms;
    bool suspect = r->finding.verdict == RK_TRIAL_SUSPECT;
    if (turn_ms < (suspect ? TURN_MS / 3 : TURN_MS))
        return;
    r->rule.turn++;
    r->turned_ms = v->now_ms;
}

/* ---- phases ---- */

static void begin_load(struct rk_rollout *r, const struct rk_rollout_view *v)
{
    enter(r, RK_ROLLOUT_LOAD, v->now_ms);
    r->loaded = true;
    r->rule.vms = 1;
    r->rule.turn++;
    r->rule.share =
        share_of(fmin(LOAD_SHARE, LOAD_OVER / fmax(1, (double)v->old_vms)));
}

static void begin_shift(struct rk_rollout *r, const struct rk_rollout_view *v)
{
    enter(r, RK_ROLLOUT_SHIFT, v->now_ms);
    r->rule.share = RK_ROLLOUT_ALL;
    r->rule.vms = 0;
}

static void give_back(struct rk_rollout *r, int64_t now_ms)
{
    enter(r, RK_ROLLOUT_GIVEN_BACK, now_ms);
    r->rule.share = 0;
}

void rk_rollout_drop(struct rk_rollout *r, int64_t now_ms)
{
    if (is_over(r))
        return;
    give_back(r, now_ms);
    r->rule.revision++;
}

/* Calls came, and next to none of them tried it. */
static bool is_unknown(const struct rk_rollout_view *v)
{
    double all, tried;
    count_calls(v->seen, &all, &tried);
    return all >= TRIED_MIN && tried < TRIED_MIN;
}

/* Was it found good, and not too soon? */
static bool is_tried(const struct rk_rollout *r, const struct rk_rollout_view *v)
{
    return passed(r, v->now_ms) >= TRIAL_MIN && r->finding.verdict == RK_TRIAL_GOOD;
}

static void step_trial(struct rk_rollout *r, const struct rk_rollout_view *v)
{
    bool late = passed_ms(r, v->now_ms) >= trial_end_ms(r, v);
    set_trial(r, v);
    /* Time is over and it hasn't come, hardly was tried, or more speaks against it
     * than for it. */
    bool over = passed(r, v->now_ms) >= 1;
    if (over || (late && (!v->new_vms || is_unknown(v) ||
                          r->finding.evidence > LATE_BAD_AT))) {
        give_back(r, v->now_ms);
        return;
    }
    if ((!late && !is_tried(r, v)) || !v->new_vms)
        return;
    if (is_to_load(r, v))
        begin_load(r, v);
    else
        begin_shift(r, v);
}

static void step_shift(struct rk_rollout *r, const struct rk_rollout_view *v)
{
    double all_ms = (double)r->order.duration_ms;
    double end_ms = fmin(SHIFT_END * all_ms, all_ms - SPARE_MS);
    bool quiet = v->old_running <= 0 || passed_ms(r, v->now_ms) >= end_ms;
    if (quiet && v->now_ms - r->phase_ms >= DRAIN_MS)
        enter(r, RK_ROLLOUT_TAKEN, v->now_ms);
}

static bool is_same(const struct rk_rollout_rule *a,
                    const struct rk_rollout_rule *b)
{
    return a->phase == b->phase && a->share == b->share && a->vms == b->vms &&
           a->turn == b->turn;
}

bool rk_rollout_step(struct rk_rollout *r, const struct rk_rollout_view *v)
{
    struct rk_rollout_rule before = r->rule;
    if (is_over(r))
        return false;
    r->finding = rk_trial_judge(v->seen, v->new_domains);
    if (r->finding.verdict == RK_TRIAL_BAD)
        give_back(r, v->now_ms);
    switch (r->rule.phase) {
    case RK_ROLLOUT_TRIAL:
        step_trial(r, v);
        break;
    case RK_ROLLOUT_LOAD:
        if (v->now_ms - r->phase_ms >= LOAD_MS)
            begin_shift(r, v);
        break;
    case RK_ROLLOUT_SHIFT:
        step_shift(r, v);
        break;
    case RK_ROLLOUT_TAKEN:
    case RK_ROLLOUT_GIVEN_BACK:
        break;
    }
    if (is_same(&before, &r->rule))
        return false;
    r->rule.revision++;
    return true;
}

enum rk_rollout_state rk_rollout_state_of(const struct rk_rollout *r)
{
    switch (r->rule.phase) {
    case RK_ROLLOUT_TAKEN:
        return RK_ROLLOUT_DONE;
    case RK_ROLLOUT_GIVEN_BACK:
        return RK_ROLLOUT_UNDONE;
    default:
        return RK_ROLLOUT_RUNNING;
    }
}

bool rk_rollout_tries(const struct rk_rollout_rule *rule, uint64_t request)
{
    uint64_t hash = rk_hash(request, rule->version, strlen(rule->version));
    return hash % RK_ROLLOUT_ALL < rule->share;
}

const char *rk_rollout_phase_str(enum rk_rollout_phase phase)
{
    static const char *const names[] = {"trial", "load", "shift", "taken",
                                        "given back"};
    return names[phase];
}
