/* A node that comes back: until when it leaves the long lists of the store to
 * others, and whether they told it all meanwhile. */
#include "common/eventlog.h"
#include "common/json.h"
#include "node/state.h"

/* A store that doesn't tell the fleet's size in time is asked for everything: it
 * may be slow, and the fleet small. */
#define SIZE_MS 1000
#define DRAWS   4096

void rk_returning_start(struct rk_node *n)
{
    if (!n->file.first_start)
        n->returning.until_ms = rk_mono_ms() + SIZE_MS;
}

void rk_returning_know(struct rk_node *n, struct json_object *spec)
{
    const struct rk_fleet_size size = {
        .nodes = (int)rk_json_int(spec, "nodes", 0),
        .largest = (int)rk_json_int(spec, "largest", 0),
        .capacity = rk_json_int(spec, "capacity", 0)};
    int64_t capacity = rk_mesh_capacity(n->mesh);
    double draw = rk_rng_below(&n->rng, DRAWS) / (double)DRAWS;
    int64_t wait_ms = rk_returning_wait_ms(&size, capacity, draw);
    n->returning.nodes = size.nodes;
    n->returning.until_ms = rk_mono_ms() + wait_ms;
    if (wait_ms)
        RK_EVENT("store.awaiting_turn", RK_N("nodes", size.nodes),
                 RK_N("wait_ms", wait_ms));
    rk_mesh_turn(n->mesh);
    rk_sync_turn(n->sync);
}

int64_t rk_returning_wait_left_ms(const struct rk_node *n)
{
    int64_t left_ms = n->returning.until_ms - rk_mono_ms();
    return left_ms > 0 ? left_ms : 0;
}

bool rk_returning_is_told(const struct rk_node *n)
{
    return n->returning.nodes > 0 &&
           2 * rk_mesh_told_total(n->mesh) > n->returning.nodes;
}
