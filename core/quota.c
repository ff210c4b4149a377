#include "core/quota.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#define RETRY_MIN_MS 250
#define RETRY_MAX_MS 2000 /* while a share of calls is admitted */
#define SLACK_SHARE                                                                \
    0.6 /* of the slack that is planned with; the rest covers                      \
           what peers admit before this node hears of it */
#define OVERRUN_SHARE                                                              \
    0.8 /* of what is forgiven of a quota, used while some nodes aren't heard:     \
           most of them are gone, but each may be serving its part */
#define REPORT_LAG_MS   250   /* age of what the peers tell, until it is known */
#define RATE_MS         400.0 /* over which the peers' rate is taken */
#define SLOT_MS         250   /* the same, while it rises */
#define WORD_MAX_MS     600  /* their last word is taken to be no older than this */
#define SILENT_MAX_MS   1500 /* without a word their rate goes on for so long */
#define RECENT_SLOTS    3    /* buckets that show what was admitted here lately */
#define SURGE           3.0 /* peers are taken to admit so many times the mean at most */
#define RESTORED_MAX_MS 2500  /* what was kept before is too old to go by */
#define UNHEARD_MS      400.0 /* of use that its writer had not heard of yet */
#define UNKEPT_PART     0.5   /* of its age: the rest, nothing ran any more */
#define UNKEPT_SURGE    2.0   /* times its rate then, it may have been used at */
#define HEALED_TIMES    1.05  /* more nodes than before are heard: a cut is over */
#define HEALED_MS       1000  /* until all bridges have told what their sides did */
#define YOUNG_MS        1500 /* of a process that starts again, until others are heard */
#define FEW_NODES                                                                  \
    16 /* in a larger fleet a node admits a call or so while news is on its way:   \
          that shows nothing of the others */
#define DRAWS    65536  /* of which a share of calls is admitted */
#define ASKED_MS 1000.0 /* over which what a node is asked for is smoothed */
/* What is free is used over so many times the news' age. With 1.0 a fleet uses 0.91
 * of a quota that is pressed, with 1.5 0.80; news that is a third older than taken
 * for then breaks it less (1.03 of what is allowed instead of 1.05; 295 nodes, six
 * times the rate). */
#define PACE_LAGS    1.5
#define ASKED_MIN_MS 500 /* of a start, before what all are asked for shows */
#define USUAL_PART   0.8 /* of its rate an organisation gets until then */

void rk_quota_init(struct rk_quota *q, int64_t window_ms, double slack,
                   int64_t since_ms)
{
    memset(q, 0, sizeof(*q));
    q->window_ms = window_ms > 0 ? window_ms : RK_QUOTA_WINDOW_MS;
    q->slack = slack;
    q->nodes_heard = 1;
    q->nodes_total = RK_UNKNOWN_NODES;
    q->lag_ms = REPORT_LAG_MS;
    q->since_ms = since_ms;
    q->forgot_ms = since_ms;
}

void rk_quota_free(struct rk_quota *q)
{
    free(q->orgs);
    rk_names_free(&q->names);
    q->orgs = NULL;
    q->orgs_len = q->orgs_cap = 0;
}

static int64_t bucket_ms(const struct rk_quota *q)
{
    return q->window_ms / (RK_QUOTA_BUCKETS - 1);
}

/* Made when it is new. Valid until the next is made. */
static struct rk_quota_org *find(struct rk_quota *q, const char *name)
{
    size_t at = rk_names_find(&q->names, q->orgs, sizeof(*q->orgs), name);
    if (at != RK_NO_ROW)
        return &q->orgs[at];
    q->orgs = rk_names_append(&q->names, q->orgs, &q->orgs_len, &q->orgs_cap,
                              sizeof(*q->orgs), name);
    return &q->orgs[q->orgs_len - 1];
}

/* Empty the buckets that time has passed over. */
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

double rk_quota_known(const struct rk_quota_org *o)
{
    return sum(o->used);
}

static double peers_recent(const struct rk_quota_org *o, int64_t now_ms)
{
    return o->peers_recent * exp(-(double)(now_ms - o->peers_recent_ms) / RATE_MS);
}

/* Begin the slot of now_ms. */
static void turn_slots(struct rk_quota_org *o, int64_t now_ms)
{
    int64_t slot = now_ms / SLOT_MS;
    if (slot == o->peers_slot)
        return;
    o->peers_slots[1] = slot == o->peers_slot + 1 ? o->peers_slots[0] : 0;
    o->peers_slots[0] = 0;
    o->peers_slot = slot;
}

/* Units a ms that the peers use: by their last words, or more while it rises. */
static double peers_rate(const struct rk_quota_org *o, int64_t now_ms)
{
    int64_t slot = now_ms / SLOT_MS;
    double newest = slot <= o->peers_slot + 1 ? o->peers_slots[0] : 0;
    double last = slot <= o->peers_slot ? o->peers_slots[1] : 0;
    double rising = (newest > last ? newest : last) / SLOT_MS;
    double steady = o->peers_recent / RATE_MS;
    return rising > steady ? rising : steady;
}

/* Units that the peers admitted in so many ms if they did as this node did: all see
 * the same part of a quota get free, and would use it each for itself. */
static double as_here(const struct rk_quota *q, const struct rk_quota_org *o,
                      double total, int64_t age_ms)
{
    double own = sum(o->own), lately = 0;
    if (q->nodes_total <= 1 || q->nodes_total > FEW_NODES || own <= 0)
        return 0;
    for (int64_t i = 0; i < RECENT_SLOTS; i++)
        lately += o->own[(o->bucket + RK_QUOTA_BUCKETS - i) % RK_QUOTA_BUCKETS];
    if (total <= own) /* nothing was heard of it yet: all may have begun at once */
        return lately * (double)(q->nodes_heard - 1);
    double spread_ms = (double)(RECENT_SLOTS * bucket_ms(q));
    double others = lately * (total / own - 1) * (double)age_ms / spread_ms;
    double most = SURGE * total / (double)q->window_ms * (double)age_ms;
    return others < most ? others : most;
}

/* What the peers probably admitted since their last word, which was old when it
 * came. Peers that tell of other organisations only have gone quiet; when none
 * tells anything, their rate is taken to go on for a while. */
static double unheard(const struct rk_quota *q, const struct rk_quota_org *o,
                      double total, int64_t now_ms)
{
    int64_t since_ms = now_ms - o->peers_recent_ms;
    int64_t silent_ms = q->word_ms ? now_ms - q->word_ms : 0;
    bool quiet = silent_ms <= WORD_MAX_MS && since_ms > WORD_MAX_MS;
    if (since_ms > SILENT_MAX_MS)
        since_ms = SILENT_MAX_MS;
    double rate = quiet ? peers_recent(o, now_ms) / RATE_MS : peers_rate(o, now_ms);
    int64_t age_ms = quiet ? q->lag_ms : q->lag_ms + since_ms;
    double told = rate * (double)age_ms;
    double guess = as_here(q, o, total, age_ms);
    return told > guess ? told : guess;
}

static double asked_lately(const struct rk_quota_org *o, int64_t now_ms)
{
    return o->asked * exp(-(double)(now_ms - o->asked_ms) / ASKED_MS);
}

double rk_quota_asking(const struct rk_quota_org *o, int64_t now_ms)
{
    return asked_lately(o, now_ms) * RK_MS_PER_S / ASKED_MS;
}

/* Units a second that all nodes are asked for, after a start: what is smoothed has
 * not seen all of it yet. */
static double asked_since_start(const struct rk_quota *q,
                                const struct rk_quota_org *o, int64_t now_ms)
{
    double age_ms = (double)(now_ms - q->forgot_ms);
    double seen = rk_quota_asking(o, now_ms) + o->peers_asking;
    return fmax(seen / (1 - exp(-age_ms / ASKED_MS)), o->restored_asking);
}

/* What is taken as used before a restart of all nodes: what was kept. Without that,
 * as much as can have been if it was asked for as it is now: an organisation that
 * asks for less than its rate used it evenly; one that asks for more may have used
 * all of its quota just before. Taken to leave the window at four fifths of its
 * rate for all, 1.01 to 1.05 of a quota ran around a kill, in 7 of 7 plays. */
static double forgotten(const struct rk_quota *q, const struct rk_quota_org *o,
                        double quota, double rate, int64_t now_ms)
{
    int64_t age_ms = now_ms - q->forgot_ms;
    if (!q->forgot_ms || age_ms >= q->window_ms)
        return 0;
    double restored = sum(o->restored);
    if (q->restored)
        return restored;
    if (age_ms < ASKED_MIN_MS)
        return fmax(quota - rate * USUAL_PART * (double)age_ms / RK_MS_PER_S,
                    restored);
    double asking = asked_since_start(q, o, now_ms);
    double left_ms = (double)(q->window_ms - age_ms);
    double used = asking > rate ? quota : asking * left_ms / RK_MS_PER_S;
    return fmax(used, restored);
}

int64_t rk_quota_remembers_ms(const struct rk_quota *q, int64_t now_ms)
{
    int64_t age_ms = now_ms - q->since_ms;
    return q->since_ms && age_ms < q->window_ms ? age_ms : q->window_ms;
}

void rk_quota_remind(struct rk_quota *q, int64_t remembers_ms)
{
    if (remembers_ms >= q->window_ms)
        q->forgot_ms = 0;
}

/* The part of the window that a bucket lies in, by its age. */
static size_t part_of(const struct rk_quota_org *o, size_t index)
{
    size_t newest = (size_t)(o->bucket % RK_QUOTA_BUCKETS);
    size_t age = (newest + RK_QUOTA_BUCKETS - index) % RK_QUOTA_BUCKETS;
    size_t part = age * RK_QUOTA_PARTS / (RK_QUOTA_BUCKETS - 1);
    return part < RK_QUOTA_PARTS ? part : RK_QUOTA_PARTS - 1;
}

void rk_quota_tell(const struct rk_quota *q, struct rk_quota_org *o,
                   double parts[RK_QUOTA_PARTS], int64_t now_ms)
{
    advance(q, o, now_ms);
    memset(parts, 0, RK_QUOTA_PARTS * sizeof(*parts));
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        parts[part_of(o, i)] += o->used[i];
}

bool rk_quota_knows_all(const struct rk_quota *q, int64_t now_ms)
{
    return !q->forgot_ms || q->read || now_ms - q->forgot_ms >= q->window_ms;
}

/* Use before a start that isn't known: as much as may have been, just before it. */
static void keep_unknown(const struct rk_quota *q, double before,
                         double parts[RK_QUOTA_PARTS], int64_t now_ms)
{
    int64_t part = (now_ms - q->forgot_ms) * RK_QUOTA_PARTS / q->window_ms;
    if (part < RK_QUOTA_PARTS)
        parts[part] += before;
}

void rk_quota_keep(const struct rk_quota *q, struct rk_quota_org *o, double quota,
                   double rate, double parts[RK_QUOTA_PARTS], int64_t now_ms)
{
    rk_quota_tell(q, o, parts, now_ms);
    if (!q->forgot_ms)
        return;
    if (!q->restored) {
        keep_unknown(q, forgotten(q, o, quota, rate, now_ms), parts, now_ms);
        return;
    }
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        parts[part_of(o, i)] += o->restored[i];
}

void rk_quota_know(struct rk_quota *q, const char *org,
                   const double parts[RK_QUOTA_PARTS], int64_t now_ms)
{
    struct rk_quota_org *o = find(q, org);
    double mine[RK_QUOTA_PARTS];
    size_t buckets[RK_QUOTA_PARTS] = {0};
    rk_quota_tell(q, o, mine, now_ms);
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++)
        buckets[part_of(o, i)]++;
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++) {
        size_t part = part_of(o, i);
        double missing = parts[part] - mine[part];
        if (missing > 0)
            o->used[i] += missing / (double)buckets[part];
    }
}

/* Used so long ago; what has left the window is passed over. */
static void add_restored(const struct rk_quota *q, struct rk_quota_org *o,
                         double units, int64_t age_ms)
{
    int64_t age = age_ms / bucket_ms(q);
    if (age < RK_QUOTA_BUCKETS)
        o->restored[(o->bucket + RK_QUOTA_BUCKETS - age) % RK_QUOTA_BUCKETS] +=
            units;
}

void rk_quota_restore(struct rk_quota *q, const char *org,
                      const double parts[RK_QUOTA_PARTS], double asking,
                      int64_t age_ms, int64_t now_ms)
{
    struct rk_quota_org *o = find(q, org);
    if (!q->forgot_ms)
        return; /* it, or a peer, remembers itself */
    advance(q, o, now_ms);
    o->restored_asking = asking;
    double all = 0, newest = parts[0] > parts[1] ? parts[0] : parts[1];
    int64_t part_ms = q->window_ms / RK_QUOTA_PARTS;
    /* When in its part it was used isn't kept: taken as late as it can have been,
     * it leaves the window up to a part too late. Spread over the part, a burst
     * left half a part too soon, and 1.08 of a quota was admitted around a kill of
     * all. */
    for (int64_t i = 0; i < RK_QUOTA_PARTS; i++) {
        add_restored(q, o, parts[i], age_ms + i * part_ms);
        all += parts[i];
    }
    double mean = all / RK_QUOTA_PARTS;
    double rate = (newest > mean ? newest : mean) / (double)part_ms;
    double unkept_ms = (double)age_ms * UNKEPT_PART + UNHEARD_MS;
    add_restored(q, o, rate * UNKEPT_SURGE * unkept_ms, age_ms / 2);
}

void rk_quota_restored(struct rk_quota *q, int64_t age_ms)
{
    q->read = true;
    q->restored = age_ms <= RESTORED_MAX_MS;
}

/* The quota that counts now. */
static double effective(const struct rk_quota *q, struct rk_quota_org *o,
                        double quota, int64_t now_ms)
{
    if (now_ms >= o->old_until_ms)
        o->old_quota = 0;
    if (quota < o->quota) {
        if (o->quota > o->old_quota)
            o->old_quota = o->quota;
        o->old_until_ms = now_ms + q->window_ms;
    }
    o->quota = quota;
    return quota > o->old_quota ? quota : o->old_quota;
}

void rk_quota_add(struct rk_quota *q, const char *org, double units, int64_t now_ms)
{
    struct rk_quota_org *o = find(q, org);
    advance(q, o, now_ms);
    o->used[o->bucket % RK_QUOTA_BUCKETS] += units;
    /* What another side used while it wasn't heard comes at once: it shows no rate.
     */
    if (q->healed_ms && now_ms - q->healed_ms < HEALED_MS)
        return;
    o->peers_recent = peers_recent(o, now_ms) + units;
    o->peers_recent_ms = now_ms;
    turn_slots(o, now_ms);
    o->peers_slots[0] += units;
}

/* When the oldest use that must leave the window for `need` has left it. */
static int64_t free_in_ms(const struct rk_quota *q, const struct rk_quota_org *o,
                          double need)
{
    int64_t ms = 0;
    for (int64_t i = 1; i <= RK_QUOTA_BUCKETS && need > 0; i++) {
        need -= o->used[(o->bucket + i) % RK_QUOTA_BUCKETS];
        ms += bucket_ms(q);
    }
    return ms > RETRY_MIN_MS ? ms : RETRY_MIN_MS;
}

/* A node that came back and knows what was used before has had no time yet to hear
 * the others, who came back with it: that they are silent says nothing. Taken for
 * alone, each of 295 nodes refused 81 to 100% of the calls of all but the largest
 * organisations for a second, as its part of their quotas is less than one call. */
static bool is_young(const struct rk_quota *q, int64_t now_ms)
{
    return q->since_ms && q->restored && now_ms - q->since_ms < YOUNG_MS;
}

/* The part of a quota that the nodes which are heard may use. */
static double part_here(const struct rk_quota *q, int64_t now_ms)
{
    if (q->nodes_total <= 0 || q->nodes_heard >= q->nodes_total ||
        is_young(q, now_ms))
        return 1;
    return (double)q->nodes_heard / q->nodes_total;
}

static void note_asked(struct rk_quota_org *o, double units, int64_t now_ms)
{
    o->asked = asked_lately(o, now_ms) + units;
    o->asked_ms = now_ms;
}

/* The share of calls that is admitted while `room` units are free. All nodes see
 * the same room get free and hear only later what the others took of it. So each
 * admits calls with the same chance, by which all of them together take no more
 * than the room until they hear: however many nodes there are and however few calls
 * each of them gets, and without a refusal while there is room for what is asked.
 */
static double share_admitted(const struct rk_quota *q, const struct rk_quota_org *o,
                             double room, int64_t now_ms)
{
    double peers_asking = o->peers_asking;
    if (is_young(q, now_ms) && o->restored_asking > peers_asking)
        peers_asking = o->restored_asking;
    double per_ms = (rk_quota_asking(o, now_ms) + peers_asking) / RK_MS_PER_S;
    double taken_per_ms = peers_rate(o, now_ms); /* known sooner while it rises */
    if (taken_per_ms > per_ms)
        per_ms = taken_per_ms;
    double asked = per_ms * PACE_LAGS * (double)q->lag_ms;
    return room < asked ? room / asked : 1;
}

/* Is the call among those that are admitted? */
static bool is_drawn(struct rk_quota *q, double share,
                     struct rk_quota_answer *answer)
{
    answer->share = share;
    if (share >= 1 || rk_rng_below(&q->rng, DRAWS) < share * DRAWS)
        return true;
    double wait_ms = RETRY_MIN_MS / share;
    answer->retry_after_ms =
        wait_ms < RETRY_MAX_MS ? (int64_t)wait_ms : RETRY_MAX_MS;
    return false;
}

/* Keep which part of the nodes was heard when; it was as before until now. */
static void note_heard(struct rk_quota *q, double part, int64_t now_ms)
{
    int64_t now = now_ms / bucket_ms(q);
    double before = q->heard[q->heard_bucket % RK_QUOTA_BUCKETS];
    if (now - q->heard_bucket >= RK_QUOTA_BUCKETS)
        q->heard_bucket = now - RK_QUOTA_BUCKETS;
    while (++q->heard_bucket < now)
        q->heard[q->heard_bucket % RK_QUOTA_BUCKETS] = before;
    q->heard_bucket = now;
    q->heard[now % RK_QUOTA_BUCKETS] = part;
}

void rk_quota_hear(struct rk_quota *q, int nodes_heard, int nodes_total,
                   int64_t now_ms)
{
    double before = part_here(q, now_ms);
    q->nodes_heard = nodes_heard;
    q->nodes_total = nodes_total;
    double part = part_here(q, now_ms);
    if (part > before * HEALED_TIMES)
        q->healed_ms = now_ms;
    note_heard(q, part, now_ms);
}

/* What counts of the known use for a side that hears `part` of the nodes: its own
 * use, and of what all used while more of them were heard its part, as the other
 * sides count theirs. All sides together stay within the limit. Counted whole, a
 * domain that was cut off refused all calls for four seconds, until what all had
 * used before was less than its part. */
static double charged(const struct rk_quota *q, const struct rk_quota_org *o,
                      double part)
{
    double total = 0;
    for (size_t i = 0; i < RK_QUOTA_BUCKETS; i++) {
        double then = q->heard[i];
        total += o->used[i] * (then > part ? part / then : 1);
    }
    return total;
}

bool rk_quota_admit(struct rk_quota *q, const char *org, double rate, double burst,
                    double units, int64_t now_ms, struct rk_quota_answer *answer)
{
    *answer = (struct rk_quota_answer){.share = 1, .retry_after_ms = RETRY_MIN_MS};
    struct rk_quota_org *o = find(q, org);
    advance(q, o, now_ms);
    note_asked(o, units, now_ms);
    double part = part_here(q, now_ms);
    note_heard(q, part, now_ms);
    double quota =
        effective(q, o, rate * (double)q->window_ms / RK_MS_PER_S + burst, now_ms);
    double limit = (quota + q->slack * SLACK_SHARE) * part;
    if (part < 1)
        limit += quota * q->overrun * OVERRUN_SHARE * part;
    double known = sum(o->used);
    double used = charged(q, o, part) + unheard(q, o, known, now_ms) * part;
    double before = forgotten(q, o, quota, rate, now_ms) * part;
    double over = used + before + units - limit;
    answer->used = used;
    answer->before = before;
    answer->limit = limit;
    if (rate > 0 && over > 0) {
        answer->retry_after_ms = free_in_ms(q, o, over);
        return false;
    }
    if (rate > 0 && (q->nodes_heard > 1 || is_young(q, now_ms)) &&
        !is_drawn(q, share_admitted(q, o, units - over, now_ms), answer))
        return false;
    o->used[o->bucket % RK_QUOTA_BUCKETS] += units;
    o->own[o->bucket % RK_QUOTA_BUCKETS] += units;
    o->own_total += units;
    return true;
}

void rk_quota_refund(struct rk_quota *q, const char *org, double units,
                     int64_t now_ms)
{
    struct rk_quota_org *o = find(q, org);
    advance(q, o, now_ms);
    o->used[o->bucket % RK_QUOTA_BUCKETS] -= units;
    o->own_total -= units;
}
