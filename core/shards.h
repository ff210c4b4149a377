/* Maps idempotency keys to shards, and shards to the nodes that own them. A
 * shard belongs to a failure domain and, within it, to a node, both chosen by
 * rendezvous hashing over the nodes that are neither dead nor leaving. When a node
 * or a domain is lost, only its keys move, and no node needs the rows of another
 * domain. */
#ifndef RK_CORE_SHARDS_H
#define RK_CORE_SHARDS_H

#include <stddef.h>
#include <stdint.h>

struct rk_members;

/* Returns the shard of a key, in [0, shards). Organisation and service are
 * hashed with the key, so that equal keys of different callers don't collide. */
uint32_t rk_shard_of(const char *organisation, const char *service, const char *key,
                     uint32_t shards);

/* Returns the index in rk_members of the node that owns the shard, or, if
 * another domain owns it, of the node in that domain to forward a call to.
 * Always succeeds, because this node is always alive to itself. */
size_t rk_shard_target(const struct rk_members *m, uint32_t shard);

/* Returns the rendezvous hashing weight of a name for a number: of the
 * candidates, the one with the highest weight is chosen. */
uint64_t rk_rendezvous_weight(uint64_t number, const char *name);

#endif
