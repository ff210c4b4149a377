/* Decides whether a node watches the store. The first node of a failure domain
 * always does. Any other node does when its settings and list of VMs were not
 * confirmed as current for a while; the nodes that come first in the domain's order
 * start sooner. This way few nodes load the store, and changes still arrive when
 * those nodes are killed, frozen or refused by the store. No I/O. */
#ifndef RK_CORE_WATCH_POLICY_H
#define RK_CORE_WATCH_POLICY_H

#include <stdbool.h>
#include <stdint.h>

/* Interval between two decisions. */
#define RK_WATCH_POLICY_CHECK_MS 250
/* A watch of the store ends after this time without a change, which confirms
 * that there was none. A watch that hangs must be noticed within the time in
 * which nodes detect lost peers. And an answer that is one watch and one report
 * old must not look like a store that was unavailable for as long as list
 * entries need to expire, 2.4 s: with watches of 2.5 s it did in 1 of 3 runs of
 * a test that ran beside others. */
#define RK_WATCH_POLICY_TIMEOUT_MS 1400
/* A node starts to watch when its knowledge was not confirmed for so long. A
 * watch plus the transfer of its result to peers takes less. */
#define RK_WATCH_POLICY_STALE_MS 1950
/* Additional time for each node that ranks before it. */
#define RK_WATCH_POLICY_STAGGER_MS 100

/* State of a node on which the decision is based. */
struct rk_watch_policy_input {
    bool first_start;    /* first start of the deployment: nothing runs yet */
    int64_t up_ms;       /* time since this node's start */
    bool listed;         /* knows which other nodes exist */
    bool ready;          /* has settings and the list of VMs */
    bool waits_for_slot; /* restarts, and other nodes read the store before it */
    int nodes_before; /* nodes that start to watch sooner; below 0: always watches
                       */
    bool watches;     /* watches the store now */
    bool has_preceding_watch; /* one of the nodes before it watches and gets answers
                               */
    int64_t age_ms; /* time since its knowledge was confirmed; below 0: never */
};

/* Returns true if the node should watch the store.
 *
 * A node that watches because it received no updates continues until a node that
 * ranks before it gets answers from the store. The node's own watch makes its
 * knowledge look current, so it must not stop for that. When it did, a domain of
 * 9 nodes, the first two of which the store refused, got no changes for 0.44 of
 * the time; now it is 0.00 of the time (tests/prop_watch_policy.cc). */
bool rk_watch_policy_is_needed(const struct rk_watch_policy_input *f);

#endif
