/* What control lets the traffic threads see: one immutable snapshot, replaced
 * as a whole and reclaimed by epochs, so that traffic takes no lock. */
#ifndef RK_SERVE_VIEW_H
#define RK_SERVE_VIEW_H

#include <ck_epoch.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/config.h"
#include "core/members.h"

#define RK_MAX_SHARDS 256

struct rk_view_cell;
struct rk_view_reader;

struct rk_view {
    uint64_t serial;
    struct rk_config *config;
    char self[RK_ID_MAX];
    char domain[RK_ID_MAX];
    bool leaving;
    struct rk_vm *vms; /* of this failure domain */
    size_t vms_len;
    struct rk_member *peers; /* others that aren't dead */
    size_t peers_len;
    /* Owner of each shard: index in peers, or -1 for this node. */
    int shard_owner[RK_MAX_SHARDS];
    struct rk_view_cell *cell; /* set when published */
    ck_epoch_entry_t reclaim;
};

struct rk_view_cell *rk_view_cell_create(void);
void rk_view_cell_destroy(struct rk_view_cell *cell);

/* Control thread: publish a view, which the cell now owns. */
void rk_view_publish(struct rk_view_cell *cell, struct rk_view *view);

/* One reader for each traffic thread. */
struct rk_view_reader *rk_view_reader_create(struct rk_view_cell *cell);
void rk_view_reader_destroy(struct rk_view_reader *r);

/* A view got between enter and leave is valid until leave. */
void rk_view_enter(struct rk_view_reader *r);
void rk_view_leave(struct rk_view_reader *r);
const struct rk_view *rk_view_get(struct rk_view_reader *r);

#endif
