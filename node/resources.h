/* Divides what the process may use of its machine: descriptors and memory. */
#ifndef RK_NODE_RESOURCES_H
#define RK_NODE_RESOURCES_H

#include <stdint.h>

struct rk_procfile;

struct rk_resources {
    int64_t descriptor_limit;    /* of the system; -1: none */
    int64_t address_space_limit; /* of the system, bytes; -1: none */
    int64_t descriptors;         /* that the process may have open */
    int callers;                 /* most open connections of callers */
    int64_t buffer_bytes; /* buffered for callers, VMs and peers, see memory.h */
    int lingering;        /* most closed connections that wait for their peers */
    int forwards; /* connections of peers to keep open; twice as many serve */
};

/* Divides the lower of the process file's limits and the system's. What callers and
 * peers don't get is left for files, VMs, control links and the store. Each share
 * is at least one. */
struct rk_resources rk_resources_get(const struct rk_procfile *file);

#endif
