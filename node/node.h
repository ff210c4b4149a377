/* The control thread of a node that a platform hosts: settings and vms from the
 * platform's store, peers, duties, readiness, planned stops. Traffic is a relay's
 * (serve/relay.h), on a thread of its own. */
#ifndef RK_NODE_NODE_H
#define RK_NODE_NODE_H

#include "common/status.h"

struct rk_node;
struct rk_procfile;

/* On failure rk_last_error() says why. */
enum rk_status rk_node_create(const struct rk_procfile *file, struct rk_node **out);
void rk_node_destroy(struct rk_node *n);

/* Runs control and traffic until the stop is over. */
void rk_node_run(struct rk_node *n);

/* Any thread. Begin a planned stop; read the process file again. */
void rk_node_leave(struct rk_node *n);
void rk_node_reload(struct rk_node *n, const struct rk_procfile *file);

#endif
