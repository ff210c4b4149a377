#include "core/rank.h"

/* Tokens for one step. */
#define STEP_TOKENS 1500

int rk_rank(int promised, double unread_tokens)
{
    double rank = promised;
    if (unread_tokens > 0)
        rank += (int)(unread_tokens / STEP_TOKENS);
    if (rank < 0)
        return 0;
    return rank < RK_RANK_LAST ? (int)rank : RK_RANK_LAST;
}
