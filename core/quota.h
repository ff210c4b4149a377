/* Quotas of organisations over all nodes: what each organisation used within a
 * sliding window, by this node's count and by what peers tell. A node that hears
 * only some of its peers holds to their part. Pure. */
#ifndef RK_CORE_QUOTA_H
#define RK_CORE_QUOTA_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/util.h"
#include "core/names.h"

#define RK_QUOTA_BUCKETS   33   /* one more than a window: the oldest is part */
#define RK_QUOTA_PARTS     8    /* of a window, as nodes tell each other */
#define RK_QUOTA_WINDOW_MS 8000 /* when the deployment tells none */
#define RK_UNKNOWN_NODES   8    /* taken to exist until a list of them is known */

/* One organisation's use. peers_asking is set by the owner. */
struct rk_quota_org {
    char name[RK_ID_MAX];          /* first: see core/names.h */
    double used[RK_QUOTA_BUCKETS]; /* units, by time */
    double own[RK_QUOTA_BUCKETS];  /* of that, admitted here */
    int64_t bucket;                /* number of the newest */
    double own_total;              /* admitted here since the start */
    double peers_recent;           /* of the peers, decaying: shows their rate */
    int64_t peers_recent_ms;       /* when it was reckoned: at their last word */
    double peers_slots[2]; /* of the peers: this short while, the last one */
    int64_t peers_slot;    /* number of this one */
    double asked;          /* units that this node was asked for, decaying */
    int64_t asked_ms;      /* when that was reckoned */
    double peers_asking; /* units a second that the peers are asked for, as told */
    double quota;        /* units a window, as asked for last */
    double old_quota;    /* a higher one that still counts */
    int64_t old_until_ms;
    double restored[RK_QUOTA_BUCKETS]; /* by all before a restart, as was kept */
    double restored_asking; /* units a second that all were asked for then */
};

struct rk_quota {
    int64_t window_ms;
    struct rk_quota_org *orgs;
    size_t orgs_len, orgs_cap;
    struct rk_names names;          /* of orgs */
    int nodes_heard, nodes_total;   /* this one included */
    double heard[RK_QUOTA_BUCKETS]; /* part of the nodes that was heard, by time */
    int64_t heard_bucket;           /* number of the newest */
    int64_t healed_ms; /* when many more were heard again, last; 0: never */
    double slack;      /* units that the deployment forgives */
    double overrun; /* share of a quota that it forgives; 0 after rk_quota_init() */
    int64_t lag_ms; /* age of what the peers tell */
    int64_t word_ms;   /* when any of them told something last; 0: never */
    int64_t since_ms;  /* own knowledge goes back to then; 0: to the first start */
    int64_t forgot_ms; /* the same until a peer told what was used before */
    bool read;         /* what the store kept is known, or that there is nothing */
    bool restored;     /* it is new enough to go by */
    struct rk_rng rng; /* who of many is admitted; its state differs by node */
};

/* since_ms: see above. */
void rk_quota_init(struct rk_quota *q, int64_t window_ms, double slack,
                   int64_t since_ms);

void rk_quota_free(struct rk_quota *q);

/* What decided about a call. */
struct rk_quota_answer {
    double used, before,
        limit;              /* units: known, guessed of an earlier life, allowed */
    double share;           /* of calls that are admitted while little is free */
    int64_t retry_after_ms; /* when some are free again */
};

/* So many nodes are heard of all that there are, this one included. */
void rk_quota_hear(struct rk_quota *q, int nodes_heard, int nodes_total,
                   int64_t now_ms);

/* A lowered quota takes effect after one window: until then the higher one counts.
 * May units be used? Counts them if so. rate 0: no limit. */
bool rk_quota_admit(struct rk_quota *q, const char *org, double rate, double burst,
                    double units, int64_t now_ms, struct rk_quota_answer *answer);

/* Units that were admitted elsewhere since the peers' last word, or given back
 * (negative). */
void rk_quota_add(struct rk_quota *q, const char *org, double units,
                  int64_t now_ms);

/* How far back this node's own knowledge goes, at most the window. */
int64_t rk_quota_remembers_ms(const struct rk_quota *q, int64_t now_ms);

/* A peer remembers a whole window; rk_quota_know() was called for each of its
 * organisations. */
void rk_quota_remind(struct rk_quota *q, int64_t remembers_ms);

/* What all nodes used by what a peer remembers, the newest part of the window
 * first. Kept where it is more than what is known here. */
void rk_quota_know(struct rk_quota *q, const char *org,
                   const double parts[RK_QUOTA_PARTS], int64_t now_ms);

/* What is known here, the same way. */
void rk_quota_tell(const struct rk_quota *q, struct rk_quota_org *o,
                   double parts[RK_QUOTA_PARTS], int64_t now_ms);

/* The same, with what was used before this start, or may have been: to be kept in
 * the store. quota: units a window, rate: units a second. */
void rk_quota_keep(const struct rk_quota *q, struct rk_quota_org *o, double quota,
                   double rate, double parts[RK_QUOTA_PARTS], int64_t now_ms);
/* Is that no less than what was used within the window? */
bool rk_quota_knows_all(const struct rk_quota *q, int64_t now_ms);

/* What all nodes used by what was kept in the store, the newest part of the window
 * first, and the units a second that they were asked for; it was true so long ago,
 * and what may have been used since is added. It counts until a peer tells what it
 * remembers itself. */
void rk_quota_restore(struct rk_quota *q, const char *org,
                      const double parts[RK_QUOTA_PARTS], double asking,
                      int64_t age_ms, int64_t now_ms);

/* That was all. What was kept just before this start is gone by; else any more may
 * have been used up to the quota. */
void rk_quota_restored(struct rk_quota *q, int64_t age_ms);

/* Units used by all within the window, as far as known here. */
double rk_quota_known(const struct rk_quota_org *o);

/* Units a second that this node is asked for, refused ones included. */
double rk_quota_asking(const struct rk_quota_org *o, int64_t now_ms);
/* Give back what was admitted here and did not run. */
void rk_quota_refund(struct rk_quota *q, const char *org, double units,
                     int64_t now_ms);

#endif
