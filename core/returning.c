#include "core/returning.h"

#define EACH_MS 4.0 /* between two nodes that read */
/* By then those that read first have told the others. */
#define TOLD_MS 1000
/* So many may read at once whatever they are. */
#define FEW 12

void rk_fleet_size_add(struct rk_fleet_size *size, int64_t capacity)
{
    size->nodes++;
    if (capacity > size->capacity) {
        size->capacity = capacity;
        size->largest = 0;
    }
    size->largest += capacity == size->capacity;
}

int64_t rk_returning_wait_ms(const struct rk_fleet_size *size, int64_t capacity,
                             double draw)
{
    if (size->nodes <= FEW)
        return 0;
    if (capacity >= size->capacity)
        return (int64_t)(draw * size->largest * EACH_MS);
    double others = size->nodes - size->largest;
    return TOLD_MS + (int64_t)((size->largest + draw * others) * EACH_MS);
}
