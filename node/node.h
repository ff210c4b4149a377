/* A node: the process that relays calls to VMs. The control thread reads settings
 * and the VM list from the platform's store, exchanges reports with peers, runs for
 * the leader's lease, answers readiness checks and carries out planned stops. A
 * relay (serve/relay.h) handles the traffic on a thread of its own. */
#ifndef RK_NODE_NODE_H
#define RK_NODE_NODE_H

#include <stdbool.h>

#include "common/status.h"

struct rk_node;
struct rk_procfile;

/* Creates a node with a copy of the process file and binds its addresses, after
 * waiting for those that are taken (node/listen_wait.h); that of the metrics may be
 * bound later. The caller owns *out. On failure, *out is not set and
 * rk_last_error() gives the reason (RK_EGONE: the process was told to stop
 * meanwhile); the process has to end, as what was created so far is not freed. */
enum rk_status rk_node_create(const struct rk_procfile *file, struct rk_node **out);
/* Frees a node. To be called after rk_node_run() has returned. */
void rk_node_destroy(struct rk_node *n);

/* Runs the control loop on the calling thread and the relay on another one. Returns
 * RK_OK when a planned stop is complete, and RK_ESYSTEM at once if the other thread
 * can't be created: see rk_last_error(). */
enum rk_status rk_node_run(struct rk_node *n);

/* Any thread. Begins a planned stop: the node is no longer ready, removes itself
 * from the store's node list, closes its connections and ends within the process
 * file's stop_s. */
void rk_node_begin_stop(struct rk_node *n);
/* Any thread. Returns true if a planned stop takes longer than stop_s allows, or
 * the process has not ended soon after it. */
bool rk_node_stop_hangs(const struct rk_node *n);
/* Any thread. Applies those members of a copy of the process file that can change
 * while the process runs; the others are ignored. */
void rk_node_reload(struct rk_node *n, const struct rk_procfile *file);

#endif
