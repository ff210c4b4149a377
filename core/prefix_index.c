#include "core/prefix_index.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

#include "common/util.h"

#define BUCKETS           16384 /* a power of two */
#define BLOCKS_PER_BUCKET 4
#define HOLDERS_PER_BLOCK 8 /* VMs recorded for a block */
#define NO_VM             UINT16_MAX

struct holder {
    uint16_t vm;
    uint64_t prefilled_tokens; /* of the VM, at its last use of the block */
};

struct block {
    uint64_t hash;
    /* Value of use_counter at its last use, for replacement within the bucket;
     * 0: free. */
    uint64_t last_use;
    struct holder holders[HOLDERS_PER_BLOCK];
};

struct rk_prefix_index {
    struct block *blocks; /* BUCKETS x BLOCKS_PER_BUCKET */
    uint64_t use_counter;
};

void rk_prompt_begin(struct rk_prompt_builder *r, struct rk_prompt *out)
{
    *r = (struct rk_prompt_builder){.prompt = out};
    out->blocks_len = out->tokens = 0;
    out->root = 0;
}

static void end_word(struct rk_prompt_builder *r)
{
    struct rk_prompt *p = r->prompt;
    p->tokens++;
    r->in_word = 0;
    if (++r->words_in_block < RK_BLOCK_WORDS)
        return;
    r->words_in_block = 0;
    if (p->blocks_len == RK_MAX_BLOCKS)
        return;
    p->blocks[p->blocks_len++] = r->hash;
    if (p->blocks_len == RK_ROOT_BLOCKS)
        p->root = r->hash;
}

void rk_prompt_add(struct rk_prompt_builder *r, const char *text, size_t len)
{
    for (size_t i = 0; i < len;) {
        size_t start = i;
        while (i < len && !isspace((unsigned char)text[i]))
            i++;
        if (i > start) {
            r->hash = rk_hash(r->hash, text + start, i - start);
            r->in_word = 1;
        }
        if (i < len) {
            if (r->in_word)
                end_word(r);
            i++;
        }
    }
}

void rk_prompt_end(struct rk_prompt_builder *r)
{
    if (r->in_word)
        end_word(r);
    if (!r->prompt->root && r->prompt->blocks_len)
        r->prompt->root = r->prompt->blocks[r->prompt->blocks_len - 1];
}

struct rk_prefix_index *rk_prefix_index_create(void)
{
    struct rk_prefix_index *p = rk_alloc(1, sizeof(*p));
    p->blocks = rk_alloc((size_t)BUCKETS * BLOCKS_PER_BUCKET, sizeof(*p->blocks));
    return p;
}

void rk_prefix_index_destroy(struct rk_prefix_index *p)
{
    if (!p)
        return;
    free(p->blocks);
    free(p);
}

static struct block *bucket_of(const struct rk_prefix_index *p, uint64_t hash)
{
    return &p->blocks[(hash % BUCKETS) * BLOCKS_PER_BUCKET];
}

static struct block *find_block(const struct rk_prefix_index *p, uint64_t hash)
{
    struct block *b = bucket_of(p, hash);
    for (size_t i = 0; i < BLOCKS_PER_BUCKET; i++)
        if (b[i].last_use && b[i].hash == hash)
            return &b[i];
    return NULL;
}

/* Returns the block's entry, or else that of the least recently used block in
 * the bucket, without holders. */
static struct block *find_or_evict_block(struct rk_prefix_index *p, uint64_t hash)
{
    struct block *b = find_block(p, hash);
    if (!b) {
        b = bucket_of(p, hash);
        for (size_t i = 1; i < BLOCKS_PER_BUCKET; i++)
            if (bucket_of(p, hash)[i].last_use < b->last_use)
                b = &bucket_of(p, hash)[i];
        b->hash = hash;
        for (size_t i = 0; i < HOLDERS_PER_BLOCK; i++)
            b->holders[i].vm = NO_VM;
    }
    b->last_use = ++p->use_counter;
    return b;
}

void rk_prefix_index_match(const struct rk_prefix_index *p,
                           const struct rk_prompt *prompt,
                           const uint64_t *prefilled_tokens,
                           const uint64_t *cache_tokens, uint32_t *cached,
                           size_t len)
{
    memset(cached, 0, len * sizeof(*cached));
    for (uint32_t n = 0; n < prompt->blocks_len; n++) {
        const struct block *b = find_block(p, prompt->blocks[n]);
        bool any = false;
        for (size_t i = 0; b && i < HOLDERS_PER_BLOCK; i++) {
            uint16_t vm = b->holders[i].vm;
            /* A block counts only if all blocks before it are cached there, too. */
            if (vm >= len || cached[vm] != n * RK_BLOCK_WORDS)
                continue;
            if (prefilled_tokens[vm] - b->holders[i].prefilled_tokens >=
                cache_tokens[vm])
                continue;
            cached[vm] += RK_BLOCK_WORDS;
            any = true;
        }
        if (!any)
            return;
    }
}

/* Records the VM as a holder of the block. If all slots are taken, it replaces the
 * holder whose VM had prefilled the fewest tokens at its last use of the block. */
static void set_holder(struct block *b, uint16_t vm, uint64_t prefilled_tokens)
{
    struct holder *slot = &b->holders[0];
    for (size_t i = 0; i < HOLDERS_PER_BLOCK; i++) {
        struct holder *h = &b->holders[i];
        if (h->vm == vm) {
            slot = h;
            break;
        }
        if (slot->vm != NO_VM &&
            (h->vm == NO_VM || h->prefilled_tokens < slot->prefilled_tokens))
            slot = h;
    }
    *slot = (struct holder){.vm = vm, .prefilled_tokens = prefilled_tokens};
}

void rk_prefix_index_insert(struct rk_prefix_index *p,
                            const struct rk_prompt *prompt, uint16_t vm,
                            uint64_t prefilled_tokens)
{
    for (uint32_t n = 0; n < prompt->blocks_len; n++)
        set_holder(find_or_evict_block(p, prompt->blocks[n]), vm, prefilled_tokens);
}

void rk_prefix_index_remove_vm(struct rk_prefix_index *p, uint16_t vm)
{
    for (size_t i = 0; i < (size_t)BUCKETS * BLOCKS_PER_BUCKET; i++)
        for (size_t k = 0; k < HOLDERS_PER_BLOCK; k++)
            if (p->blocks[i].holders[k].vm == vm)
                p->blocks[i].holders[k].vm = NO_VM;
}
