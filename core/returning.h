/* When a node that comes back may read what the store has of everybody: the nodes,
 * the settings, the vms. After a kill of all each of them would read all of it at
 * once, which grows with the square of the fleet: at a thousand nodes more than the
 * store's link carries before the calls time out, so that all ask again, and nobody
 * is told anything. A few read it at once, those with the largest machines, as they
 * will bridge; the others wait for their turn, and most are told by peers before.
 * Pure. */
#ifndef RK_CORE_RETURNING_H
#define RK_CORE_RETURNING_H

#include <stdint.h>

/* The fleet as nodes keep it in the store. Zeroed: not known. */
struct rk_fleet_size {
    int nodes;
    int largest;      /* nodes whose machines are the largest there are */
    int64_t capacity; /* of each of those, in thousandths of a core */
};

/* Count one more node. */
void rk_fleet_size_add(struct rk_fleet_size *size, int64_t capacity);

/* How long a node waits, in ms; draw: from 0 to 1, other nodes draw others. */
int64_t rk_returning_wait_ms(const struct rk_fleet_size *size, int64_t capacity,
                             double draw);

#endif
