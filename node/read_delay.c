/* The read delay of a restarted node: how long it waits before it reads the
 * store's long lists, and whether other nodes' digests have meanwhile sent it what
 * it needs. */
#include "common/eventlog.h"
#include "common/json.h"
#include "common/number_field.h"
#include "node/state.h"

/* If the store doesn't return the fleet's size within this time, the node reads
 * everything: the store may be slow and the fleet small. */
#define FLEET_SIZE_TIMEOUT_MS 1000
#define NODES_MAX             20000 /* a record with this many is not believed */
#define RECORD_KIND           "rillknot-quotas"
#define DRAW_STEPS            4096 /* resolution of the random draw */

/* A delay grows with the number of nodes: with a number that no fleet has, a
 * restarted node would never read the lists. */
static const struct rk_number_field nodes_field = {.name = "nodes",
                                                   .max = NODES_MAX};
static const struct rk_number_field largest_field = {.name = "largest",
                                                     .max = NODES_MAX};
static const struct rk_number_field capacity_field = {.name = "capacity",
                                                      .max = 9e15};

void rk_read_delay_start(struct rk_node *n)
{
    if (!n->file.first_start)
        n->read_delay.ends_ms = rk_mono_ms() + FLEET_SIZE_TIMEOUT_MS;
}

void rk_read_delay_set_fleet_size(struct rk_node *n, struct json_object *spec)
{
    /* The record came late, and the lists have been read without it. */
    if (!rk_read_delay_left_ms(n) && rk_sync_ready(n->sync))
        return;
    struct rk_fleet_size size = {
        .nodes = (int)rk_field_int(spec, RECORD_KIND, &nodes_field),
        .largest = (int)rk_field_int(spec, RECORD_KIND, &largest_field),
        .capacity = rk_field_int(spec, RECORD_KIND, &capacity_field)};
    if (size.nodes == NODES_MAX || size.largest > size.nodes)
        size = (struct rk_fleet_size){0};
    int64_t capacity = rk_mesh_capacity(n->mesh);
    double draw = rk_rng_below(&n->rng, DRAW_STEPS) / (double)DRAW_STEPS;
    int64_t wait_ms = rk_read_delay_ms(&size, capacity, draw);
    n->read_delay.nodes = size.nodes;
    n->read_delay.ends_ms = rk_mono_ms() + wait_ms;
    if (wait_ms)
        RK_EVENT("store.awaiting_turn", RK_N("nodes", size.nodes),
                 RK_N("wait_ms", wait_ms));
    rk_mesh_read_delay_changed(n->mesh);
    rk_sync_read_delay_changed(n->sync);
}

int64_t rk_read_delay_left_ms(const struct rk_node *n)
{
    int64_t left_ms = n->read_delay.ends_ms - rk_mono_ms();
    return left_ms > 0 ? left_ms : 0;
}

bool rk_read_delay_has_digests(const struct rk_node *n)
{
    return n->read_delay.nodes > 0 &&
           2 * rk_mesh_reported_total(n->mesh) > n->read_delay.nodes;
}
