#include "core/read_delay.h"

#define INTERVAL_MS 4.0 /* between the reads of two nodes */
/* By then the nodes that read first have sent the state to the others. */
#define PEER_UPDATE_MS 1000
/* In fleets of up to this many nodes all nodes read at once. */
#define SMALL_FLEET_NODES 12

void rk_fleet_size_add(struct rk_fleet_size *size, int64_t capacity)
{
    size->nodes++;
    if (capacity > size->capacity) {
        size->capacity = capacity;
        size->largest = 0;
    }
    size->largest += capacity == size->capacity;
}

int64_t rk_read_delay_ms(const struct rk_fleet_size *size, int64_t capacity,
                         double draw)
{
    if (size->nodes <= SMALL_FLEET_NODES)
        return 0;
    if (capacity >= size->capacity)
        return (int64_t)(draw * size->largest * INTERVAL_MS);
    double others = size->nodes - size->largest;
    return PEER_UPDATE_MS +
           (int64_t)((size->largest + draw * others) * INTERVAL_MS);
}
