/* Which nodes follow the store: the first of a failure domain always, any other
 * when nobody has confirmed to it for a while that what it knows is the newest,
 * those that come first sooner. So few ask the store, and news find a way when
 * those are killed, frozen or turned away. Pure. */
#ifndef RK_CORE_FOLLOWING_H
#define RK_CORE_FOLLOWING_H

#include <stdbool.h>
#include <stdint.h>

#define RK_FOLLOWING_TICK_MS 250 /* between decisions */
/* A watch of the store ends after so long without news, and confirms the rest. It
 * must be noticed within the time in which nodes stay in touch if it hangs; and an
 * answer a watch and a report ago must not look like a store that was away for as
 * long as entries need to lapse, 2.4 s: with watches of 2.5 s it did, in 1 of 3
 * runs of a test beside others. */
#define RK_FOLLOWING_WATCH_MS 1400
/* What is not confirmed for so long is followed here: a watch and the way of its
 * news are shorter. */
#define RK_FOLLOWING_STALE_MS   1950
#define RK_FOLLOWING_STAGGER_MS 100 /* more for each node that comes before */

/* What a node knows when it decides. */
struct rk_following {
    bool first_start; /* the deployment starts, nothing runs yet */
    int64_t up_ms;    /* since this node's start */
    bool listed;      /* it knows who the other nodes are */
    bool ready;       /* it has settings and vms */
    bool waits;       /* it comes back, and others read the store first */
    int before;       /* nodes that should follow first; below 0: it always does */
    bool follows;     /* it follows the store now */
    bool served;      /* one of those does, and the store answers it */
    int64_t age_ms;   /* since what it knows was confirmed; below 0: never was */
};

/* Who follows because nobody told it anything goes on until one that comes first
 * hears the store: what it hears itself makes all it knows look fresh. When it
 * stopped by that, a domain of 9 whose first two nodes the store turned away got no
 * news in 0.44 of the time, and in 0.00 since (tests/prop_following.cc). */
bool rk_following_should(const struct rk_following *f);

#endif
