/* Index of the prompt prefixes that are assumed to be cached at each upstream VM. A
 * prompt is cut into blocks of words; the hash of a block covers all blocks before
 * it, too. The index has a fixed size.
 *
 * The cache of a VM is modelled by the number of tokens prefilled there: a block
 * is assumed to be evicted once as many tokens as the cache holds were prefilled
 * after its last use. Does no I/O; each traffic thread has its own index. */
#ifndef RK_CORE_PREFIX_INDEX_H
#define RK_CORE_PREFIX_INDEX_H

#include <stddef.h>
#include <stdint.h>

#define RK_BLOCK_WORDS 32
#define RK_MAX_BLOCKS  256 /* words after these blocks are counted, not indexed */
#define RK_ROOT_BLOCKS 4   /* prompts that share these have the same root */

/* A prompt, reduced to what routing needs. */
struct rk_prompt {
    uint64_t blocks[RK_MAX_BLOCKS];
    uint32_t blocks_len;
    uint32_t tokens; /* number of words, as an estimate of tokens */
    /* Hash of the first RK_ROOT_BLOCKS blocks, or of all blocks if there are
     * fewer; 0: not a single block. */
    uint64_t root;
};

/* State while a prompt is built from text that arrives in pieces. */
struct rk_prompt_builder {
    struct rk_prompt *prompt;
    uint64_t hash;
    uint32_t words_in_block;
    int in_word;
};
/* Starts building *out, which the caller owns. */
void rk_prompt_begin(struct rk_prompt_builder *r, struct rk_prompt *out);
/* Appends a piece of text, which may end within a word. */
void rk_prompt_add(struct rk_prompt_builder *r, const char *text, size_t len);
/* Ends the last word and completes the prompt. */
void rk_prompt_end(struct rk_prompt_builder *r);

struct rk_prefix_index;

/* Creates an empty index. Never returns NULL; free with rk_prefix_index_destroy().
 */
struct rk_prefix_index *rk_prefix_index_create(void);
/* Frees the index; NULL is ignored. */
void rk_prefix_index_destroy(struct rk_prefix_index *p);

/* Fills cached[i] with the number of prompt tokens assumed to be cached at VM i,
 * for i in [0, len). prefilled_tokens[i] and cache_tokens[i] are the tokens
 * prefilled at the VM so far and the size of its cache. */
void rk_prefix_index_match(const struct rk_prefix_index *p,
                           const struct rk_prompt *prompt,
                           const uint64_t *prefilled_tokens,
                           const uint64_t *cache_tokens, uint32_t *cached,
                           size_t len);

/* Records that the prompt was sent to the VM, so that its blocks are cached there.
 * prefilled_tokens: tokens prefilled at the VM so far, this prompt included. */
void rk_prefix_index_insert(struct rk_prefix_index *p,
                            const struct rk_prompt *prompt, uint16_t vm,
                            uint64_t prefilled_tokens);

/* Removes all blocks of a VM whose cache is gone or unknown. */
void rk_prefix_index_remove_vm(struct rk_prefix_index *p, uint16_t vm);

#endif
