#include "core/engine_rank.h"

/* Unread prompt tokens that raise the rank by one. */
#define TOKENS_PER_STEP 1500

int rk_engine_rank(int promised, double unread_tokens)
{
    double rank = promised;
    if (unread_tokens > 0)
        rank += (int)(unread_tokens / TOKENS_PER_STEP);
    if (rank < 0)
        return 0;
    return rank < RK_ENGINE_RANK_MAX ? (int)rank : RK_ENGINE_RANK_MAX;
}
