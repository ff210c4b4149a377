#include "core/rollout.h"

#include <math.h>
#include <string.h>

/* Shares of the ordered time by which each phase ends. A version may turn bad some
 * seconds after its start, so most of the time goes to the canary phase. The rest
 * must suffice for old VMs to finish their calls and for the store to be
 * unavailable for a while. */
#define CANARY_MIN  0.5 /* minimum, however good the results */
#define CANARY_END  0.65
#define CUTOVER_END 0.85
/* Time kept free at the end of the ordered time, however long that is: the leader
 * reads an order from the store and records its end there. Without it 3 of 96 good
 * versions ordered for 9 s were committed up to 0.3 s too late, by nodes on a
 * machine with twice as much work as it could do. */
#define RESERVE_MS 1000

/* Shares of what a bad version may get (bounds.share and bounds.slack): in the
 * canary phase, and in total. The rest covers calls on their way at the time of a
 * rollback. */
#define CANARY_PART      0.4
#define MAX_PART         0.85
#define CANARY_SHARE_MIN 0.02
#define CANARY_SHARE_MAX 0.3
#define RATE_MIN_MS      1000 /* minimum time over which a call rate is computed */

/* The VM under test briefly gets a little more than an old VM: a second of a third
 * of all calls is 3% of the calls of 12 s. */
#define LOAD_EXCESS 1.2
#define LOAD_SHARE  0.4
#define LOAD_MS     1000

/* Evidence above which the version is rolled back when the time for the canary
 * phase is over. With few calls one good version in twenty reaches it, and few bad
 * ones remain below it. */
#define LATE_EVIDENCE_MAX 3.0

#define CANARY_CALLS_MIN 10 /* canary calls needed to judge a version */

/* How long the same VMs serve the canary calls; then others do, which may be in
 * other failure domains. */
#define ROTATION_MS 1500
/* After all calls have moved, until every node knows and has reported what is still
 * running on the old VMs. With 500 ms, streams of 0.6 s were cut off. */
#define DRAIN_MS 1500

struct rk_rollout_stats *rk_rollout_stats_find(struct rk_rollout_stats *all,
                                               size_t len, const char *service,
                                               const char *version)
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

size_t rk_rollout_add(struct rk_canary_rows *sum, const struct rk_canary_rows *more)
{
    size_t skipped = 0;
    for (size_t i = 0; i < more->len; i++) {
        const struct rk_canary_row *row = &more->rows[i];
        struct rk_canary_row *to =
            rk_canary_is_valid(&row->stats)
                ? rk_canary_get_row(sum, row->route, row->domain,
                                    row->of_new_version)
                : NULL;
        if (to)
            rk_canary_merge(&to->stats, &row->stats);
        skipped += !to;
    }
    return skipped;
}

void rk_rollout_begin(struct rk_rollout *r, const struct rk_rollout_order *order,
                      const struct rk_rollout_bounds *bounds, int64_t now_ms,
                      int64_t elapsed_ms)
{
    int64_t revision = r->rule.revision;
    *r = (struct rk_rollout){.order = *order,
                             .bounds = *bounds,
                             .ordered_ms = now_ms - elapsed_ms,
                             .rotated_ms = now_ms,
                             .phase_ms = now_ms};
    rk_strcpy(r->rule.service, sizeof(r->rule.service), order->service);
    rk_strcpy(r->rule.version, sizeof(r->rule.version), order->version);
    r->rule.revision = revision + 1;
    if (order->state == RK_ROLLOUT_DONE)
        r->rule.phase = RK_ROLLOUT_COMMITTED;
    if (order->state == RK_ROLLOUT_REVERTED)
        r->rule.phase = RK_ROLLOUT_ROLLED_BACK;
    if (order->state == RK_ROLLOUT_DONE)
        r->rule.share = RK_ROLLOUT_SHARE_ALL;
}

static bool is_over(const struct rk_rollout *r)
{
    return r->rule.phase == RK_ROLLOUT_COMMITTED ||
           r->rule.phase == RK_ROLLOUT_ROLLED_BACK;
}

/* Returns the time since the order, in ms. */
static double elapsed_ms(const struct rk_rollout *r, int64_t now_ms)
{
    return (double)(now_ms - r->ordered_ms);
}

/* Returns the elapsed share of the ordered time; 1 if no time was ordered. */
static double elapsed_share(const struct rk_rollout *r, int64_t now_ms)
{
    if (r->order.duration_ms <= 0)
        return 1;
    return elapsed_ms(r, now_ms) / (double)r->order.duration_ms;
}

static void enter_phase(struct rk_rollout *r, enum rk_rollout_phase phase,
                        int64_t now_ms)
{
    r->rule.phase = phase;
    r->phase_ms = now_ms;
}

/* ---- share of calls ---- */

static void count_calls(const struct rk_canary_rows *t, double *all, double *canary)
{
    *all = *canary = 0;
    for (size_t i = 0; i < t->len; i++) {
        *all += t->rows[i].stats.calls;
        *canary += t->rows[i].of_new_version ? t->rows[i].stats.calls : 0;
    }
}

/* Returns how many calls the new version may still get, if it may use the given
 * part of its bounds. */
static double remaining_calls(const struct rk_rollout *r,
                              const struct rk_rollout_input *v, double part)
{
    double all, canary;
    count_calls(v->canary_rows, &all, &canary);
    return part * (r->bounds.share * all + r->bounds.slack) - canary;
}

/* Returns how many VMs to use so that each gets about as many calls as an old one.
 * One VM per domain would get too few calls to show anything under load. */
static uint32_t vms_for_share(double share, size_t old_vms)
{
    double vms = floor(share * (double)old_vms);
    return vms > 1 ? (uint32_t)vms : 1;
}

static uint32_t to_rule_share(double part)
{
    return (uint32_t)(part * RK_ROLLOUT_SHARE_ALL);
}

static bool can_load_test(const struct rk_rollout *r,
                          const struct rk_rollout_input *v)
{
    double all, canary;
    count_calls(v->canary_rows, &all, &canary);
    double per_ms = all / fmax(1, (double)(v->now_ms - r->ordered_ms));
    double share = fmin(LOAD_SHARE, LOAD_EXCESS / fmax(1, (double)v->old_vms));
    return remaining_calls(r, v, MAX_PART) > per_ms * LOAD_MS * share;
}

/* Returns whether one VM gets full load before all calls move. This is unnecessary
 * if each canary VM gets about that much already. */
static bool needs_load_test(const struct rk_rollout *r,
                            const struct rk_rollout_input *v)
{
    bool full_load_in_canary = (double)v->old_vms * CANARY_SHARE_MIN >= 1;
    return !r->load_tested && !full_load_in_canary && can_load_test(r, v);
}

/* Returns when the canary phase ends regardless of its results, in ms since the
 * order, leaving time for the later phases. */
static double canary_end_ms(const struct rk_rollout *r,
                            const struct rk_rollout_input *v)
{
    double all_ms = (double)r->order.duration_ms;
    double after_ms = DRAIN_MS + RESERVE_MS + (needs_load_test(r, v) ? LOAD_MS : 0);
    return fmax(CANARY_MIN * all_ms, fmin(CANARY_END * all_ms, all_ms - after_ms));
}

/* Returns the share of calls that uses up the canary budget by the end of the
 * phase. The slack lets a small service get meaningful results, too. */
static double canary_share(const struct rk_rollout *r,
                           const struct rk_rollout_input *v)
{
    double all, canary;
    count_calls(v->canary_rows, &all, &canary);
    double counted_ms = fmax(RATE_MIN_MS, (double)(v->now_ms - r->phase_ms));
    double per_ms = fmax(all / counted_ms, 1e-6);
    double remaining_ms =
        fmax(RATE_MIN_MS, canary_end_ms(r, v) - elapsed_ms(r, v->now_ms));
    double budget = CANARY_PART * (r->bounds.share * (all + per_ms * remaining_ms) +
                                   r->bounds.slack) -
                    canary;
    if (all <= 0)
        return r->bounds.share * CANARY_PART;
    return fmax(CANARY_SHARE_MIN,
                fmin(CANARY_SHARE_MAX, budget / (per_ms * remaining_ms)));
}

static void update_canary(struct rk_rollout *r, const struct rk_rollout_input *v)
{
    double share = canary_share(r, v);
    bool has_budget = remaining_calls(r, v, CANARY_PART) > 0;
    uint32_t new_share = v->new_vms && has_budget ? to_rule_share(share) : 0;
    /* Changes of up to a fifth are not worth publishing. */
    if (!new_share || fabs((double)new_share - r->rule.share) > r->rule.share * 0.2)
        r->rule.share = new_share;
    r->rule.vms = vms_for_share(share, v->old_vms);
    int64_t since_rotation_ms = v->now_ms - r->rotated_ms;
    bool suspect = r->finding.verdict == RK_CANARY_SUSPECT;
    if (since_rotation_ms < (suspect ? ROTATION_MS / 3 : ROTATION_MS))
        return;
    r->rule.rotation++;
    r->rotated_ms = v->now_ms;
}

/* ---- phases ---- */

static void begin_load_test(struct rk_rollout *r, const struct rk_rollout_input *v)
{
    enter_phase(r, RK_ROLLOUT_LOAD_TEST, v->now_ms);
    r->load_tested = true;
    r->rule.vms = 1;
    r->rule.rotation++;
    r->rule.share =
        to_rule_share(fmin(LOAD_SHARE, LOAD_EXCESS / fmax(1, (double)v->old_vms)));
}

static void begin_cutover(struct rk_rollout *r, const struct rk_rollout_input *v)
{
    enter_phase(r, RK_ROLLOUT_CUTOVER, v->now_ms);
    r->at_cutover = *v->canary_rows;
    r->rule.share = RK_ROLLOUT_SHARE_ALL;
    r->rule.vms = 0;
}

static void roll_back(struct rk_rollout *r, int64_t now_ms)
{
    enter_phase(r, RK_ROLLOUT_ROLLED_BACK, now_ms);
    r->rule.share = 0;
}

void rk_rollout_cancel(struct rk_rollout *r, int64_t now_ms)
{
    if (is_over(r))
        return;
    roll_back(r, now_ms);
    r->rule.revision++;
}

/* Returns whether calls arrived, but next to none of them went to the new
 * version. */
static bool lacks_canary_calls(const struct rk_rollout_input *v)
{
    double all, canary;
    count_calls(v->canary_rows, &all, &canary);
    return all >= CANARY_CALLS_MIN && canary < CANARY_CALLS_MIN;
}

/* Returns whether the version was found good after the minimum time. */
static bool passed_canary(const struct rk_rollout *r,
                          const struct rk_rollout_input *v)
{
    return elapsed_share(r, v->now_ms) >= CANARY_MIN &&
           r->finding.verdict == RK_CANARY_GOOD;
}

static void step_canary(struct rk_rollout *r, const struct rk_rollout_input *v)
{
    bool late = elapsed_ms(r, v->now_ms) >= canary_end_ms(r, v);
    update_canary(r, v);
    /* Either the ordered time is over; or the canary phase is, and the new version
     * has no VMs, has hardly had any calls, or has too much evidence against it. */
    bool out_of_time = elapsed_share(r, v->now_ms) >= 1;
    if (out_of_time || (late && (!v->new_vms || lacks_canary_calls(v) ||
                                 r->finding.evidence > LATE_EVIDENCE_MAX))) {
        roll_back(r, v->now_ms);
        return;
    }
    if ((!late && !passed_canary(r, v)) || !v->new_vms)
        return;
    if (needs_load_test(r, v))
        begin_load_test(r, v);
    else
        begin_cutover(r, v);
}

static void step_cutover(struct rk_rollout *r, const struct rk_rollout_input *v)
{
    double all_ms = (double)r->order.duration_ms;
    double end_ms = fmin(CUTOVER_END * all_ms, all_ms - RESERVE_MS);
    bool drained = v->old_running <= 0 || elapsed_ms(r, v->now_ms) >= end_ms;
    if (drained && v->now_ms - r->phase_ms >= DRAIN_MS)
        enter_phase(r, RK_ROLLOUT_COMMITTED, v->now_ms);
}

static bool same_rule(const struct rk_rollout_rule *a,
                      const struct rk_rollout_rule *b)
{
    return a->phase == b->phase && a->share == b->share && a->vms == b->vms &&
           a->rotation == b->rotation;
}

bool rk_rollout_step(struct rk_rollout *r, const struct rk_rollout_input *v)
{
    struct rk_rollout_rule before = r->rule;
    if (is_over(r))
        return false;
    bool is_cut_over = r->rule.phase == RK_ROLLOUT_CUTOVER;
    r->finding = rk_canary_judge(
        v->canary_rows, is_cut_over ? &r->at_cutover : NULL, v->new_domains);
    if (r->finding.verdict == RK_CANARY_BAD)
        roll_back(r, v->now_ms);
    switch (r->rule.phase) {
    case RK_ROLLOUT_CANARY:
        step_canary(r, v);
        break;
    case RK_ROLLOUT_LOAD_TEST:
        if (v->now_ms - r->phase_ms >= LOAD_MS)
            begin_cutover(r, v);
        break;
    case RK_ROLLOUT_CUTOVER:
        step_cutover(r, v);
        break;
    case RK_ROLLOUT_COMMITTED:
    case RK_ROLLOUT_ROLLED_BACK:
        break;
    }
    if (same_rule(&before, &r->rule))
        return false;
    r->rule.revision++;
    return true;
}

enum rk_rollout_state rk_rollout_state_of(const struct rk_rollout *r)
{
    switch (r->rule.phase) {
    case RK_ROLLOUT_COMMITTED:
        return RK_ROLLOUT_DONE;
    case RK_ROLLOUT_ROLLED_BACK:
        return RK_ROLLOUT_REVERTED;
    default:
        return RK_ROLLOUT_RUNNING;
    }
}

bool rk_rollout_uses_new(const struct rk_rollout_rule *rule, uint64_t request)
{
    uint64_t hash = rk_hash(request, rule->version, strlen(rule->version));
    return hash % RK_ROLLOUT_SHARE_ALL < rule->share;
}

const char *rk_rollout_phase_str(enum rk_rollout_phase phase)
{
    static const char *const names[] = {"trial", "load", "shift", "taken",
                                        "given back"};
    return names[phase];
}
