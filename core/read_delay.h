/* Staggers the reads of restarting nodes, which read the whole fleet state from the
 * store: nodes, settings and VMs. After a kill of all nodes, all of them would read
 * all of it at once. That load grows with the square of the fleet size: at a
 * thousand nodes it is more than the store's link carries before the calls time
 * out, so all nodes retry and none gets an answer. Therefore only a few nodes read
 * at once: those with the largest machines, as they become bridges (the relay nodes
 * of their failure domains). The others delay their read, and most of them receive
 * the state from peers before that. Pure: no I/O, no clock. */
#ifndef RK_CORE_READ_DELAY_H
#define RK_CORE_READ_DELAY_H

#include <stdint.h>

/* Size of the fleet, from the node list in the store. All zero: unknown. */
struct rk_fleet_size {
    int nodes;
    int largest;      /* number of nodes with the largest machines */
    int64_t capacity; /* capacity of each of those, in thousandths of a core */
};

/* Adds one node; capacity in thousandths of a core. */
void rk_fleet_size_add(struct rk_fleet_size *size, int64_t capacity);

/* Returns the read delay of a node in ms. capacity: of this node, in thousandths of
 * a core; draw: random number from 0 to 1, drawn independently by each node. */
int64_t rk_read_delay_ms(const struct rk_fleet_size *size, int64_t capacity,
                         double draw);

#endif
