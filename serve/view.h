/* The state that control publishes to the traffic threads: one immutable snapshot,
 * replaced as a whole and reclaimed by epochs, so that readers take no lock. */
#ifndef RK_SERVE_VIEW_H
#define RK_SERVE_VIEW_H

#include <ck_epoch.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "core/config.h"
#include "core/members.h"

#define RK_MAX_SHARDS 256 /* of claims */

struct rk_view_cell;
struct rk_view_reader;

/* Owns config, vms and peers. Immutable once published. */
struct rk_view {
    /* Increases with each published view. */
    uint64_t serial;
    struct rk_config *config;
    char self[RK_ID_MAX];
    char domain[RK_ID_MAX];
    bool leaving;
    struct rk_vm *vms; /* VMs of this failure domain */
    size_t vms_len;
    struct rk_member *peers; /* other nodes that are not dead */
    size_t peers_len;
    /* Owner of each claim shard: an index into peers, or -1 for this node. */
    int shard_owner[RK_MAX_SHARDS];
    struct rk_view_cell *cell; /* set by rk_view_publish() */
    ck_epoch_entry_t reclaim;
};

/* The cell holds the current view. Destroy it after its readers' threads have
 * ended; this frees the current view and all readers. */
struct rk_view_cell *rk_view_cell_create(void);
void rk_view_cell_destroy(struct rk_view_cell *cell);

/* Control thread: replaces the current view. Takes ownership of view; the old one
 * is freed when no reader uses it any more. */
void rk_view_publish(struct rk_view_cell *cell, struct rk_view *view);

/* Each traffic thread has a reader of its own. Readers must not be created
 * concurrently. Destroying one only unregisters it; the cell frees its memory. */
struct rk_view_reader *rk_view_reader_create(struct rk_view_cell *cell);
void rk_view_reader_destroy(struct rk_view_reader *r);

/* rk_view_get() returns the current view, which stays valid until rk_view_leave().
 * It must be called between rk_view_enter() and rk_view_leave(). */
void rk_view_enter(struct rk_view_reader *r);
void rk_view_leave(struct rk_view_reader *r);
const struct rk_view *rk_view_get(struct rk_view_reader *r);

#endif
