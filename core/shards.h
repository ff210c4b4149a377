/* Who answers for a shard of idempotency keys: first a failure domain, then a
 * node in it, each by rendezvous hashing over those alive. So only the keys of
 * a lost node or domain move, and no node needs another domain's rows. */
#ifndef RK_CORE_SHARDS_H
#define RK_CORE_SHARDS_H

#include <stddef.h>
#include <stdint.h>

struct rk_members;

/* Shard of a key; scope is organisation and service, so keys don't collide. */
uint32_t rk_shard_of(const char *organisation, const char *service, const char *key,
                     uint32_t shards);

/* Index in rk_members of the node that owns the shard, or, when the shard is
 * another domain's, of the node there to hand a call to. Never fails: this node
 * is always alive to itself. */
size_t rk_shard_owner(const struct rk_members *m, uint32_t shard);

/* Rendezvous weight of a name for a number. */
uint64_t rk_rendezvous(uint64_t number, const char *name);

#endif
