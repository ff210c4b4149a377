#include "core/quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

/* Share of the slack that admission uses; the rest covers what peers admit before
 * this node receives their reports. */
#define SLACK_SHARE 0.6
/* Share of the allowed overrun that is used while some nodes are unreachable: most
 * of them have failed, but each may still be serving its share. */
#define OVERRUN_SHARE     0.8
#define REPORT_LAG_MS     250   /* assumed age of reports until it is measured */
#define PEERS_RATE_TAU_MS 400.0 /* decay time constant of the peers' rate */
#define PEERS_SLOT_MS     250   /* slot length for detecting a rising rate */
/* Peers that reported anything within this time, but no usage of an organisation,
 * have stopped using its quota. */
#define REPORT_MAX_AGE_MS 600
/* The peers' rate is extrapolated for at most this long without reports. */
#define EXTRAPOLATE_MAX_MS 1500
/* A gap between two sources of reports is filled for at most this long. Bridges are
 * elected and heard within it after a loss of half of a fleet. */
#define GAP_MAX_MS 2500
/* Number of buckets whose content counts as this node's recent admissions. */
#define RECENT_BUCKETS 3
/* Maximum rate assumed of peers, as a multiple of the mean. */
#define PEERS_SURGE_MAX 3.0
/* Maximum age of reliable persisted usage: this, or a part of the window. What was
 * used after a record was written counts as just before the start if the record is
 * older than RESTORED_MAX_MS: how long nodes were down is not known. */
#define RESTORED_MAX_MS   2500
#define RESTORED_MAX_PART 0.5
/* A persisted record lacks the peers' usage of about this time, in ms, as its
 * writer had not received it yet. */
#define UNREPORTED_MS 400.0
/* Share of the age of a persisted record during which calls are assumed to have
 * run; for the rest of it nothing ran any more. */
#define UNSAVED_ACTIVE_SHARE 0.5
/* Usage rate assumed after a record was written, as a multiple of the rate that the
 * record shows. */
#define UNSAVED_SURGE 2.0
/* If the reachable share rises by more than this factor, a partition has ended. */
#define REJOIN_RATIO 1.05
/* The demand of nodes that return is taken to be at most this many times that of
 * the others, which may be few. */
#define REJOIN_RATIO_MAX 3.0
/* Plain calls of this time that other classes leave room for. In a partition they
 * have no other room while the estimate of the peers' usage is too high. */
#define RESERVE_S           1.0
#define PARTITION_RESERVE_S 2.0
/* Time in ms until all bridges have reported the usage of their sides. */
#define REJOIN_SETTLE_MS 1000
/* Time in ms after a partition in which calls of small classes may use the whole
 * slack. */
#define REJOIN_SLACK_MS 2000
/* Nodes that are killed at the same time start again within this time. */
#define STARTED_TOGETHER_MS 1000
#define RESTART_GRACE_MS    1500 /* time for a restarted node to reach its peers */
/* In a larger fleet a node admits about one call per report delay, which says
 * nothing about the other nodes. */
#define SMALL_FLEET_NODES 16
/* Free units are spread over this many report delays. With 1.0 a fleet used 0.91 of
 * a quota under excess demand, with 1.5 only 0.80. In return the limit is exceeded
 * less when reports are a third older than assumed: 1.03 of what is allowed instead
 * of 1.05 (295 nodes, demand of six times the rate). */
#define PACING_LAGS 1.5
/* Time in ms after a start until the total demand can be estimated. */
#define DEMAND_WARMUP_MS 500
/* Share of its rate that an organisation is assumed to use until then. */
#define ASSUMED_RATE_SHARE 0.8

void rk_quota_init(struct rk_quota *q, int64_t window_ms, double slack,
                   int64_t since_ms)
{
    memset(q, 0, sizeof(*q));
    q->window_ms = window_ms > 0 ? window_ms : RK_QUOTA_WINDOW_MS;
    q->slack = slack;
    q->nodes_reachable = 1;
    q->nodes_total = RK_ASSUMED_NODES;
    q->lag_ms = REPORT_LAG_MS;
    q->since_ms = since_ms;
    q->unknown_before_ms = since_ms;
}

void rk_quota_free(struct rk_quota *q)
{
    free(q->orgs);
    rk_name_index_free(&q->names);
    q->orgs = NULL;
    q->orgs_len = q->orgs_cap = 0;
}

static int64_t bucket_ms(const struct rk_quota *q)
{
    return q->window_ms / (RK_QUOTA_BUCKETS - 1);
}

/* Returns whether a partition ended a moment ago, so that neither the other side's
 * usage nor its demand is known yet. */
static bool is_rejoining(const struct rk_quota *q, int64_t now_ms)
{
    return q->rejoined_ms && now_ms - q->rejoined_ms < REJOIN_SETTLE_MS;
}

/* Returns the entry of an organisation, added if it is new. Valid until the next
 * one is added. */
static struct rk_quota_org *find_or_add(struct rk_quota *q, const char *name)
{
    size_t at = rk_name_index_find(&q->names, q->orgs, sizeof(*q->orgs), name);
    if (at != RK_NO_ROW)
        return &q->orgs[at];
    q->orgs = rk_name_index_append(&q->names, q->orgs, &q->orgs_len, &q->orgs_cap,
                                   sizeof(*q->orgs), name);
    return &q->orgs[q->orgs_len - 1];
}

/* Advances the buckets to now_ms and clears those that have left the window. */
static void advance(const struct rk_quota *q, struct rk_quota_org *o,
                    int64_t now_ms)
{
    int64_t now = now_ms / bucket_ms(q);
    if (now - o->bucket >= RK_QUOTA_BUCKETS) {
        memset(o->used, 0, sizeof(o->used));
        memset(o->own, 0, sizeof(o->own));
        memset(o->restored, 0, sizeof(o->restored));
        o->bucket = now;
    }
    while (o->bucket < now) {
        o->bucket++;
        o->used[o->bucket % RK_QUOTA_BUCKETS] = 0;
        o->own[o->bucket % RK_QUOTA_BUCKETS] = 0;
        o->restored[o->bucket % RK_QUOTA_BUCKETS] = 0;
    }
}

static double sum(const double buckets[RK_QUOTA_BUCKETS])
{
    double total = 0;
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        total += buckets[i];
    return total;
}

double rk_quota_used(const struct rk_quota_org *o)
{
    return sum(o->used);
}

static double peers_recent(const struct rk_quota_org *o, int64_t now_ms)
{
    return o->peers_recent *
           exp(-(double)(now_ms - o->peers_reported_ms) / PEERS_RATE_TAU_MS);
}

/* Starts the slot of now_ms. */
static void advance_slots(struct rk_quota_org *o, int64_t now_ms)
{
    int64_t slot = now_ms / PEERS_SLOT_MS;
    if (slot == o->peers_slot)
        return;
    o->peers_slots[1] = slot == o->peers_slot + 1 ? o->peers_slots[0] : 0;
    o->peers_slots[0] = 0;
    o->peers_slot = slot;
}

/* Returns the peers' usage in units/ms: the decaying average as of their last
 * report, or the rate of the newest slots if that is higher. */
static double peers_rate(const struct rk_quota_org *o, int64_t now_ms)
{
    int64_t slot = now_ms / PEERS_SLOT_MS;
    double newest = slot <= o->peers_slot + 1 ? o->peers_slots[0] : 0;
    double last = slot <= o->peers_slot ? o->peers_slots[1] : 0;
    double rising = (newest > last ? newest : last) / PEERS_SLOT_MS;
    double steady = o->peers_recent / PEERS_RATE_TAU_MS;
    return rising > steady ? rising : steady;
}

/* Estimates the units that peers admitted within age_ms if they acted as this node
 * did. All nodes see the same part of a quota become free, and each of them would
 * use it. */
static double peers_usage_like_own(const struct rk_quota *q,
                                   const struct rk_quota_org *o, double total,
                                   int64_t age_ms)
{
    double own = sum(o->own), recent = 0;
    if (q->nodes_total <= 1 || q->nodes_total > SMALL_FLEET_NODES || own <= 0)
        return 0;
    for (int64_t i = 0; i < RECENT_BUCKETS; i++)
        recent += o->own[(o->bucket + RK_QUOTA_BUCKETS - i) % RK_QUOTA_BUCKETS];
    /* No peer has reported usage yet. All nodes may have started to use the quota
     * at the same time. */
    if (total <= own)
        return recent * (double)(q->nodes_reachable - 1);
    double recent_span_ms = (double)(RECENT_BUCKETS * bucket_ms(q));
    double peers = recent * (total / own - 1) * (double)age_ms / recent_span_ms;
    double peers_max =
        PEERS_SURGE_MAX * total / (double)q->window_ms * (double)age_ms;
    return peers < peers_max ? peers : peers_max;
}

/* Estimates what peers admitted since their last report, including the age that it
 * had on arrival. If peers report only other organisations, they have stopped using
 * this one. If they report nothing at all, their rate is assumed to go on for a
 * while. */
static double unreported_usage(const struct rk_quota *q,
                               const struct rk_quota_org *o, double total,
                               int64_t now_ms)
{
    int64_t since_ms = now_ms - o->peers_reported_ms;
    int64_t no_report_ms = q->last_report_ms ? now_ms - q->last_report_ms : 0;
    bool inactive =
        no_report_ms <= REPORT_MAX_AGE_MS && since_ms > REPORT_MAX_AGE_MS;
    if (since_ms > EXTRAPOLATE_MAX_MS)
        since_ms = EXTRAPOLATE_MAX_MS;
    double rate = inactive ? peers_recent(o, now_ms) / PEERS_RATE_TAU_MS
                           : peers_rate(o, now_ms);
    int64_t age_ms = inactive ? q->lag_ms : q->lag_ms + since_ms;
    double reported = rate * (double)age_ms;
    double estimate = peers_usage_like_own(q, o, total, age_ms);
    return reported > estimate ? reported : estimate;
}

double rk_quota_demand(const struct rk_quota_org *o, int64_t now_ms)
{
    double demand[RK_QUOTA_CLASSES];
    rk_class_demand_per_s(&o->demand, now_ms, demand);
    return rk_quota_class_sum(demand);
}

/* Returns the units/s requested at all nodes, corrected for the time since the
 * start: the smoothed demand has not seen all of it yet. */
static double demand_since_start(const struct rk_quota *q,
                                 const struct rk_quota_org *o, int64_t now_ms)
{
    double age_ms = (double)(now_ms - q->unknown_before_ms);
    double observed =
        rk_quota_demand(o, now_ms) + rk_quota_class_sum(o->peers_demand);
    return fmax(observed / (1 - exp(-age_ms / RK_QUOTA_DEMAND_TAU_MS)),
                o->restored_demand);
}

/* Returns whether this node has just restarted with recent persisted usage. Its
 * peers restarted at the same time and cannot be reached yet, which does not mean
 * that they are down. When each node acted as if it were alone, each of 295 nodes
 * refused 81 to 100% of the calls of all but the largest organisations for a
 * second, as its share of their quotas is less than one call. A peer that knows a
 * whole window has not restarted: it uses its side's share, so this node must, too.
 */
static bool in_restart_grace(const struct rk_quota *q, int64_t now_ms)
{
    return q->since_ms && q->restored && q->unknown_before_ms &&
           now_ms - q->since_ms < RESTART_GRACE_MS;
}

/* Returns the persisted usage. While a node does not know yet whether other nodes
 * have lived on or are cut off, the nodes that the record's writer did not reach
 * are assumed to have used as much as the others, in each bucket at most an even
 * part of their quota. */
static double restored_usage(const struct rk_quota *q, const struct rk_quota_org *o,
                             double quota, int64_t now_ms)
{
    double restored = sum(o->restored);
    if (!in_restart_grace(q, now_ms))
        return restored;
    double extra = 0;
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++) {
        double share = q->reachable[i];
        if (share <= 0 || share >= 1)
            continue;
        double like_known = o->restored[i] * (1 / share - 1);
        extra += fmin(like_known, (1 - share) * quota / (RK_QUOTA_BUCKETS - 1));
    }
    return restored + extra;
}

/* Returns the usage to assume before a restart of all nodes: the persisted usage if
 * it is recent. Otherwise it is the most that is possible at the present demand: an
 * organisation with a demand below its rate has used its quota evenly, and one with
 * a higher demand may have used all of it just before the restart. When this usage
 * was instead assumed to leave the window at four fifths of the rate for all
 * organisations, 1.01 to 1.05 of a quota was used around a kill, in 7 of 7
 * runs. */
static double usage_before_restart(const struct rk_quota *q,
                                   const struct rk_quota_org *o, double quota,
                                   double rate, int64_t now_ms)
{
    int64_t age_ms = now_ms - q->unknown_before_ms;
    if (!q->unknown_before_ms || age_ms >= q->window_ms)
        return 0;
    double restored = restored_usage(q, o, quota, now_ms);
    if (q->restored)
        return restored;
    if (age_ms < DEMAND_WARMUP_MS)
        return fmax(quota -
                        rate * ASSUMED_RATE_SHARE * (double)age_ms / RK_MS_PER_S,
                    restored);
    double demand = demand_since_start(q, o, now_ms);
    double left_ms = (double)(q->window_ms - age_ms);
    double used = demand > rate ? quota : demand * left_ms / RK_MS_PER_S;
    return fmax(used, restored);
}

int64_t rk_quota_history_ms(const struct rk_quota *q, int64_t now_ms)
{
    int64_t age_ms = now_ms - q->since_ms;
    return q->since_ms && age_ms < q->window_ms ? age_ms : q->window_ms;
}

bool rk_quota_started_together(int64_t own_ms, int64_t peer_ms, int64_t window_ms)
{
    return peer_ms < window_ms && peer_ms < own_ms + STARTED_TOGETHER_MS;
}

void rk_quota_peer_history(struct rk_quota *q, int64_t remembers_ms)
{
    if (remembers_ms >= q->window_ms)
        q->unknown_before_ms = 0;
}

/* Returns the window slice of a bucket of the given age, in buckets. */
static size_t slice_of_age(size_t age)
{
    size_t slice = age * RK_QUOTA_SLICES / (RK_QUOTA_BUCKETS - 1);
    return slice < RK_QUOTA_SLICES ? slice : RK_QUOTA_SLICES - 1;
}

/* Returns the window slice of a bucket, by the bucket's age. */
static size_t slice_of(const struct rk_quota_org *o, size_t index)
{
    size_t newest = (size_t)(o->bucket % RK_QUOTA_BUCKETS);
    return slice_of_age((newest + RK_QUOTA_BUCKETS - index) % RK_QUOTA_BUCKETS);
}

void rk_quota_report(const struct rk_quota *q, struct rk_quota_org *o,
                     double slices[RK_QUOTA_SLICES], int64_t now_ms)
{
    advance(q, o, now_ms);
    memset(slices, 0, RK_QUOTA_SLICES * sizeof(*slices));
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        slices[slice_of(o, i)] += o->used[i];
}

bool rk_quota_is_complete(const struct rk_quota *q, int64_t now_ms)
{
    return !q->unknown_before_ms || q->restore_read ||
           now_ms - q->unknown_before_ms >= q->window_ms;
}

/* Adds unknown usage before a start at the latest possible time, which is just
 * before the start. */
static void add_unknown_usage(const struct rk_quota *q, double before,
                              double slices[RK_QUOTA_SLICES], int64_t now_ms)
{
    int64_t slice =
        (now_ms - q->unknown_before_ms) * RK_QUOTA_SLICES / q->window_ms;
    if (slice < RK_QUOTA_SLICES)
        slices[slice] += before;
}

void rk_quota_persist(const struct rk_quota *q, struct rk_quota_org *o,
                      double quota, double rate, double slices[RK_QUOTA_SLICES],
                      int64_t now_ms)
{
    rk_quota_report(q, o, slices, now_ms);
    if (!q->unknown_before_ms)
        return;
    if (!q->restored) {
        add_unknown_usage(q, usage_before_restart(q, o, quota, rate, now_ms),
                          slices, now_ms);
        return;
    }
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        slices[slice_of(o, i)] += o->restored[i];
}

/* Computes what has to be added to each slice so that, of the usage of any age and
 * older, not less is known than is reported. Slices are not compared one by one:
 * the same usage may lie in two neighbouring slices, as the nodes' clocks and the
 * times of their reports differ, and would count twice. */
static void find_missing(const double known[RK_QUOTA_SLICES],
                         const double reported[RK_QUOTA_SLICES],
                         double missing[RK_QUOTA_SLICES])
{
    double ahead = 0; /* of the usage so far, known less reported */
    for (size_t i = RK_QUOTA_SLICES; i-- > 0;) {
        ahead += known[i] - reported[i];
        missing[i] = ahead < 0 ? -ahead : 0;
        ahead += missing[i];
    }
}

void rk_quota_merge(struct rk_quota *q, const char *org,
                    const double slices[RK_QUOTA_SLICES], int64_t now_ms)
{
    struct rk_quota_org *o = find_or_add(q, org);
    double known[RK_QUOTA_SLICES], missing[RK_QUOTA_SLICES];
    size_t buckets[RK_QUOTA_SLICES] = {0};
    rk_quota_report(q, o, known, now_ms);
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        buckets[slice_of(o, i)]++;
    find_missing(known, slices, missing);
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++) {
        size_t slice = slice_of(o, i);
        o->used[i] += missing[slice] / (double)buckets[slice];
    }
}

/* Adds restored usage of the given age, unless it has already left the window. */
static void add_restored(const struct rk_quota *q, struct rk_quota_org *o,
                         double units, int64_t age_ms)
{
    int64_t age = age_ms / bucket_ms(q);
    if (age < RK_QUOTA_BUCKETS)
        o->restored[(o->bucket + RK_QUOTA_BUCKETS - age) % RK_QUOTA_BUCKETS] +=
            units;
}

void rk_quota_restore(struct rk_quota *q, const char *org,
                      const double slices[RK_QUOTA_SLICES], double demand_per_s,
                      int64_t age_ms, int64_t now_ms)
{
    struct rk_quota_org *o = find_or_add(q, org);
    if (!q->unknown_before_ms)
        return; /* own or a peer's data is more complete */
    advance(q, o, now_ms);
    o->restored_demand = demand_per_s;
    double all = 0, newest = slices[0] > slices[1] ? slices[0] : slices[1];
    int64_t slice_ms = q->window_ms / RK_QUOTA_SLICES;
    /* A persisted record does not say when within a slice the units were used. They
     * are counted as late as possible, so they leave the window up to a slice too
     * late. When they were spread over the slice, a burst left half a slice too
     * soon and 1.08 of a quota was admitted around a kill of all nodes. */
    for (int64_t i = 0; i < RK_QUOTA_SLICES; i++) {
        add_restored(q, o, slices[i], age_ms + i * slice_ms);
        all += slices[i];
    }
    double mean = all / RK_QUOTA_SLICES;
    double rate = (newest > mean ? newest : mean) / (double)slice_ms;
    /* A slice may hold what the other side of a partition used for seconds,
     * received all at once. Nobody uses more than is requested. */
    if (demand_per_s > 0)
        rate = fmin(rate, demand_per_s / RK_MS_PER_S);
    double unsaved_ms = (double)age_ms * UNSAVED_ACTIVE_SHARE + UNREPORTED_MS;
    int64_t unsaved_age_ms = age_ms <= RESTORED_MAX_MS ? age_ms / 2 : 0;
    add_restored(q, o, rate * UNSAVED_SURGE * unsaved_ms, unsaved_age_ms);
}

void rk_quota_restore_done(struct rk_quota *q, int64_t age_ms)
{
    q->restore_read = true;
    q->restored = age_ms <= RESTORED_MAX_MS ||
                  (double)age_ms <= (double)q->window_ms * RESTORED_MAX_PART;
}

/* Returns the quota in force: the highest one of the past window. */
static double effective_quota(const struct rk_quota *q, struct rk_quota_org *o,
                              double quota, int64_t now_ms)
{
    if (now_ms >= o->old_quota_until_ms)
        o->old_quota = 0;
    if (quota < o->quota) {
        if (o->quota > o->old_quota)
            o->old_quota = o->quota;
        o->old_quota_until_ms = now_ms + q->window_ms;
    }
    o->quota = quota;
    return quota > o->old_quota ? quota : o->old_quota;
}

void rk_quota_add_peers(struct rk_quota *q, const char *org, double units,
                        int64_t now_ms)
{
    struct rk_quota_org *o = find_or_add(q, org);
    advance(q, o, now_ms);
    o->used[o->bucket % RK_QUOTA_BUCKETS] += units;
    /* After a partition the other side's usage arrives all at once, which says
     * nothing about its rate. */
    if (is_rejoining(q, now_ms))
        return;
    o->peers_recent = peers_recent(o, now_ms) + units;
    o->peers_reported_ms = now_ms;
    advance_slots(o, now_ms);
    o->peers_slots[0] += units;
}

void rk_quota_fill_gap(struct rk_quota *q, int64_t gap_ms, int64_t now_ms)
{
    int64_t filled_ms = gap_ms < GAP_MAX_MS ? gap_ms : GAP_MAX_MS;
    for (size_t i = 0; i < q->orgs_len; i++) {
        struct rk_quota_org *o = &q->orgs[i];
        advance(q, o, now_ms);
        bool inactive = now_ms - o->peers_reported_ms > gap_ms + REPORT_MAX_AGE_MS;
        if (inactive)
            continue;
        o->used[o->bucket % RK_QUOTA_BUCKETS] +=
            peers_rate(o, now_ms) * (double)filled_ms;
        o->peers_recent = peers_recent(o, now_ms);
        o->peers_reported_ms = now_ms;
    }
}

/* Returns the time in ms until enough old usage leaves the window to free `need`
 * units. */
static int64_t ms_until_free(const struct rk_quota *q, const struct rk_quota_org *o,
                             double need)
{
    int64_t ms = 0;
    for (int64_t i = 1; i <= RK_QUOTA_BUCKETS && need > 0; i++) {
        need -= o->used[(o->bucket + i) % RK_QUOTA_BUCKETS];
        ms += bucket_ms(q);
    }
    return ms > RK_QUOTA_RETRY_MIN_MS ? ms : RK_QUOTA_RETRY_MIN_MS;
}

/* Returns the share of each quota that the reachable nodes may use together. */
static double reachable_share(const struct rk_quota *q, int64_t now_ms)
{
    if (q->nodes_total <= 0 || q->nodes_reachable >= q->nodes_total ||
        in_restart_grace(q, now_ms))
        return 1;
    return (double)q->nodes_reachable / q->nodes_total;
}

/* Returns whether this node is the only one that uses its share of the quotas. */
static bool is_alone(const struct rk_quota *q, int64_t now_ms)
{
    return q->nodes_reachable <= 1 && !in_restart_grace(q, now_ms);
}

/* Fills demand with the units/s requested per class at all reachable nodes. */
static void demand_of_all(const struct rk_quota *q, const struct rk_quota_org *o,
                          int call_class, int64_t now_ms,
                          double demand[RK_QUOTA_CLASSES])
{
    rk_class_demand_per_s(&o->demand, now_ms, demand);
    double peers_demand = rk_quota_class_sum(o->peers_demand);
    if (in_restart_grace(q, now_ms) && o->restored_demand > peers_demand) {
        /* The classes of all nodes' demand are not known. A node's own few calls
         * say nothing of them: with their mix, half of 67 nodes restarted beside
         * the others admitted 1 to 8% more than the quota allows. */
        double total = rk_quota_class_sum(demand) + o->restored_demand;
        memset(demand, 0, RK_QUOTA_CLASSES * sizeof(*demand));
        demand[call_class] = total;
        return;
    }
    for (size_t c = 0; c < RK_QUOTA_CLASSES; c++)
        demand[c] += o->peers_demand[c];
}

/* Sets the shares of calls to admit while free_units are free. demand: units/s of
 * all nodes per class; it becomes what they request until the next reports. All
 * nodes see the same units become free, and learn only later what the others used
 * of them. So every node admits calls of a class with the same probability, chosen
 * so that all nodes together use no more than that until the next reports arrive.
 * This holds for any number of nodes and for nodes with few calls each, and refuses
 * nothing while free_units cover the demand. */
static void set_shares(const struct rk_quota *q, const struct rk_quota_org *o,
                       double demand[RK_QUOTA_CLASSES], double free_units,
                       int call_class, int64_t now_ms,
                       struct rk_quota_decision *answer)
{
    double shares[RK_QUOTA_CLASSES];
    double demand_per_ms = rk_quota_class_sum(demand) / RK_MS_PER_S;
    /* The peers' rate of usage follows a rise sooner than their demand. The rate
     * does not decay without reports, so a node without peers ignores it. */
    double peers_per_ms = is_alone(q, now_ms) ? 0 : peers_rate(o, now_ms);
    if (peers_per_ms > demand_per_ms)
        demand_per_ms = peers_per_ms;
    /* The other side of a partition that has just ended sees the same free units,
     * and neither what it used nor the demand of its restarted nodes is known. */
    if (is_rejoining(q, now_ms))
        demand_per_ms *= fmin(q->rejoin_ratio, REJOIN_RATIO_MAX);
    double total = demand_per_ms * PACING_LAGS * (double)q->lag_ms;
    rk_quota_class_scale(demand, total, call_class);
    rk_quota_class_shares(demand, free_units, shares);
    answer->share = free_units < total ? free_units / total : 1;
    answer->class_share = shares[call_class];
}

/* Returns the share of the nodes that was reachable in a bucket; 0: not known. */
static double share_at(const struct rk_quota *q, int64_t bucket)
{
    if (bucket > q->reachable_bucket)
        bucket = q->reachable_bucket;
    bool known = bucket > q->reachable_bucket - RK_QUOTA_BUCKETS;
    return known ? q->reachable[bucket % RK_QUOTA_BUCKETS] : 0;
}

/* Records the share of the nodes that is reachable now; the buckets since the last
 * record get the previous share. */
static void record_reachable_share(struct rk_quota *q, double share, int64_t now_ms)
{
    int64_t now = now_ms / bucket_ms(q);
    double before = q->reachable[q->reachable_bucket % RK_QUOTA_BUCKETS];
    if (now - q->reachable_bucket >= RK_QUOTA_BUCKETS)
        q->reachable_bucket = now - RK_QUOTA_BUCKETS;
    while (++q->reachable_bucket < now)
        q->reachable[q->reachable_bucket % RK_QUOTA_BUCKETS] = before;
    q->reachable_bucket = now;
    q->reachable[now % RK_QUOTA_BUCKETS] = share;
}

/* ratio: how many times more nodes are reachable than before. */
static void begin_rejoin(struct rk_quota *q, double ratio, int64_t now_ms)
{
    if (!is_rejoining(q, now_ms))
        q->rejoin_ratio = 1;
    q->rejoin_ratio *= ratio;
    q->rejoined_ms = now_ms;
}

void rk_quota_set_reachable(struct rk_quota *q, int nodes_reachable,
                            int nodes_total, int64_t now_ms)
{
    double before = reachable_share(q, now_ms);
    q->nodes_reachable = nodes_reachable;
    q->nodes_total = nodes_total;
    double share = reachable_share(q, now_ms);
    if (share > before * REJOIN_RATIO)
        begin_rejoin(q, share / before, now_ms);
    record_reachable_share(q, share, now_ms);
}

void rk_quota_report_shares(const struct rk_quota *q,
                            double shares[RK_QUOTA_SLICES], int64_t now_ms)
{
    int64_t now = now_ms / bucket_ms(q);
    for (size_t i = 0; i < RK_QUOTA_SLICES; i++)
        shares[i] = 1;
    for (int64_t age = 0; age < RK_QUOTA_BUCKETS; age++) {
        size_t slice = slice_of_age((size_t)age);
        shares[slice] = fmin(shares[slice], share_at(q, now - age));
    }
}

void rk_quota_merge_shares(struct rk_quota *q, const double shares[RK_QUOTA_SLICES],
                           int64_t age_ms, int64_t now_ms)
{
    record_reachable_share(q, reachable_share(q, now_ms), now_ms);
    int64_t now = now_ms / bucket_ms(q), since = q->since_ms / bucket_ms(q);
    int64_t offset = age_ms / bucket_ms(q);
    for (int64_t age = 0; age < RK_QUOTA_BUCKETS; age++) {
        double *known = &q->reachable[(now - age) % RK_QUOTA_BUCKETS];
        double share =
            shares[slice_of_age((size_t)(age < offset ? 0 : age - offset))];
        *known = now - age < since ? share : fmin(*known, share);
    }
}

/* Returns the part of the known usage that counts for a side of a partition with
 * the given share of the nodes. Usage from times when more nodes were reachable
 * counts in proportion to that share, as the other sides count theirs, so all sides
 * together stay within the limit. When it was counted in full, a domain that was
 * cut off refused all calls for four seconds, until the earlier total usage had
 * fallen below its share. */
static double charged_usage(const struct rk_quota *q, const struct rk_quota_org *o,
                            double share)
{
    double total = 0;
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++) {
        double share_then = q->reachable[i] > 0 ? q->reachable[i] : 1;
        total += o->used[i] * (share_then > share ? share / share_then : 1);
    }
    return total;
}

/* Returns the units that calls of small classes may still use, by the usage that is
 * known; 0: it is not known of all nodes, as in a partition or after a restart. For
 * a moment after a partition such calls may use the rest of the slack, too: what
 * its sides used together fills the window then. */
static double small_class_room(const struct rk_quota *q, double share,
                               double free_units, int64_t now_ms)
{
    bool rejoined = q->rejoined_ms && now_ms - q->rejoined_ms < REJOIN_SLACK_MS;
    if (q->unknown_before_ms || (share < 1 && !rejoined))
        return 0;
    return free_units + (rejoined ? q->slack * (1 - SLACK_SHARE) * share : 0);
}

bool rk_quota_admit(struct rk_quota *q, const char *org, double rate, double burst,
                    double units, int call_class, int64_t now_ms,
                    struct rk_quota_decision *answer)
{
    *answer = (struct rk_quota_decision){
        .share = 1, .class_share = 1, .retry_after_ms = RK_QUOTA_RETRY_MIN_MS};
    struct rk_quota_org *o = find_or_add(q, org);
    advance(q, o, now_ms);
    double share = reachable_share(q, now_ms);
    record_reachable_share(q, share, now_ms);
    double quota = effective_quota(
        q, o, rate * (double)q->window_ms / RK_MS_PER_S + burst, now_ms);
    double limit = (quota + q->slack * SLACK_SHARE) * share;
    if (share < 1)
        limit += quota * q->overrun * OVERRUN_SHARE * share;
    /* A call that can never be admitted takes no share from others. */
    if (rate <= 0 || units <= limit)
        rk_class_demand_add(&o->demand, call_class, units, now_ms);
    double known = sum(o->used);
    double charged = charged_usage(q, o, share);
    double used = charged + unreported_usage(q, o, known, now_ms) * share;
    double before = usage_before_restart(q, o, quota, rate, now_ms) * share;
    double excess = used + before + units - limit;
    answer->used = used;
    answer->used_before_restart = before;
    answer->limit = limit;
    double demand[RK_QUOTA_CLASSES];
    demand_of_all(q, o, call_class, now_ms, demand);
    double room =
        small_class_room(q, share, limit - charged - before - units, now_ms);
    bool fits = rate > 0 && rk_quota_class_fits(demand, call_class, limit, room,
                                                q->lag_ms + REPORT_LAG_MS);
    if (rate > 0 && !fits &&
        excess + rk_quota_class_reserve(demand, call_class, limit,
                                        share < 1 ? PARTITION_RESERVE_S
                                                  : RESERVE_S) >
            0) {
        answer->retry_after_ms =
            rk_quota_vary_delay(&q->rng, ms_until_free(q, o, excess));
        return false;
    }
    if (rate > 0 && !fits &&
        (!is_alone(q, now_ms) || rk_quota_classes_mixed(o->demand.units))) {
        set_shares(q, o, demand, units - excess, call_class, now_ms, answer);
        if (!rk_quota_class_draw(&q->rng, answer->class_share,
                                 &answer->retry_after_ms))
            return false;
    }
    o->used[o->bucket % RK_QUOTA_BUCKETS] += units;
    o->own[o->bucket % RK_QUOTA_BUCKETS] += units;
    o->own_net_units += units;
    return true;
}

void rk_quota_refund(struct rk_quota *q, const char *org, double units,
                     int64_t now_ms)
{
    struct rk_quota_org *o = find_or_add(q, org);
    advance(q, o, now_ms);
    o->used[o->bucket % RK_QUOTA_BUCKETS] -= units;
    o->own_net_units -= units;
}
