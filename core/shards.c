#include "core/shards.h"

#include <string.h>

#include "common/util.h"
#include "core/members.h"

uint64_t rk_rendezvous_weight(uint64_t number, const char *name)
{
    return rk_hash_str(rk_hash(0, &number, sizeof(number)), name);
}

uint32_t rk_shard_of(const char *organisation, const char *service, const char *key,
                     uint32_t shards)
{
    uint64_t h = rk_hash_str(0, organisation);
    h = rk_hash_str(h, "\n");
    h = rk_hash_str(h, service);
    h = rk_hash_str(h, "\n");
    h = rk_hash_str(h, key);
    return (uint32_t)(h % shards);
}

static int is_serving(const struct rk_member *row)
{
    return row->state != RK_MEMBER_DEAD && !row->leaving;
}

size_t rk_shard_target(const struct rk_members *m, uint32_t shard)
{
    const char *domain = rk_members_self(m)->domain;
    uint64_t best = rk_rendezvous_weight(shard, domain);
    for (size_t i = 0; i < rk_members_count(m); i++) {
        const struct rk_member *row = rk_members_at(m, i);
        uint64_t w = rk_rendezvous_weight(shard, row->domain);
        if (is_serving(row) && w > best) {
            best = w;
            domain = row->domain;
        }
    }
    size_t owner = 0;
    best = 0;
    for (size_t i = 0; i < rk_members_count(m); i++) {
        const struct rk_member *row = rk_members_at(m, i);
        if (!is_serving(row) || strcmp(row->domain, domain) != 0)
            continue;
        uint64_t w = rk_rendezvous_weight(shard, row->id);
        if (w > best) {
            best = w;
            owner = i;
        }
    }
    return owner;
}
