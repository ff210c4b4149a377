/* Which upstream vm is believed to hold which prompt prefix. A prompt is cut
 * into blocks of words; a block's hash covers all before it. The table is
 * bounded; a vm's cache is modelled by a clock that counts the tokens prefilled
 * there: a block is forgotten once the cache's size has been prefilled after
 * its last use. Pure; one per traffic thread. */
#ifndef RK_CORE_PREFIX_H
#define RK_CORE_PREFIX_H

#include <stddef.h>
#include <stdint.h>

#define RK_BLOCK_WORDS 32
#define RK_MAX_BLOCKS  256
#define RK_ROOT_BLOCKS 4 /* prompts that share these count as one tenant */

/* A prompt as routing sees it. */
struct rk_prompt {
    uint64_t blocks[RK_MAX_BLOCKS];
    uint32_t blocks_len;
    uint32_t tokens; /* words, as an estimate of tokens */
    uint64_t root;   /* hash of the first blocks; 0 for a short prompt */
};

/* Add text to a prompt under construction; start from a zeroed struct. */
struct rk_prompt_reader {
    struct rk_prompt *prompt;
    uint64_t hash;
    uint32_t words_in_block;
    int in_word;
};
void rk_prompt_begin(struct rk_prompt_reader *r, struct rk_prompt *out);
void rk_prompt_add(struct rk_prompt_reader *r, const char *text, size_t len);
void rk_prompt_end(struct rk_prompt_reader *r);

struct rk_prefixes;

struct rk_prefixes *rk_prefixes_create(void);
void rk_prefixes_destroy(struct rk_prefixes *p);

/* Tokens of the prompt believed cached at each of the vms [0, len); vms are
 * small integers, clocks their prefilled tokens. */
void rk_prefixes_match(const struct rk_prefixes *p, const struct rk_prompt *prompt,
                       const uint64_t *clocks, const uint64_t *cache_tokens,
                       uint32_t *cached, size_t len);

/* The prompt was sent to vm: its blocks are there now, used at clock. */
void rk_prefixes_insert(struct rk_prefixes *p, const struct rk_prompt *prompt,
                        uint16_t vm, uint64_t clock);

/* The vm's cache is gone or unknown: forget all it held. */
void rk_prefixes_forget(struct rk_prefixes *p, uint16_t vm);

#endif
