#include "core/send_budget.h"

#define FIRST       (1024 * 1024) /* bytes of the first round: 0.4 s of 20 Mbit/s */
#define MOST        (64 * 1024 * 1024)
#define LEAST       (64 * 1024)
#define GROWTH      2
#define SLOW_GROWTH 1.25
#define KEPT_SHARE  0.8 /* of what was carried: others use the link, too */
/* Some peers that take nothing are no sign of a narrow link. */
#define WAITING_PART 4            /* of the last round */
#define WAITING_MIN  (128 * 1024) /* bytes: 0.1 s of a link of 10 Mbit/s */

static bool was_too_much(const struct rk_send_budget *b, size_t waiting)
{
    return waiting > WAITING_MIN && waiting > b->sent / WAITING_PART;
}

static void shrink(struct rk_send_budget *b, size_t waiting)
{
    size_t carried = b->before + b->sent - waiting;
    size_t kept = (size_t)((double)carried * KEPT_SHARE);
    if (carried < LEAST)
        return; /* it stands still, which says nothing of its width */
    b->narrow = true;
    if (kept < b->round)
        b->round = kept > LEAST ? kept : LEAST;
}

/* Only a round that was used up shows that there is room for more. */
static void grow(struct rk_send_budget *b)
{
    if (b->sent < b->round / 2)
        return;
    b->round = (size_t)((double)b->round * (b->narrow ? SLOW_GROWTH : GROWTH));
    if (b->round > MOST)
        b->round = MOST;
}

size_t rk_send_budget_begin(struct rk_send_budget *b, size_t waiting)
{
    if (!b->round)
        b->round = FIRST;
    else if (was_too_much(b, waiting) && waiting <= b->before + b->sent)
        shrink(b, waiting);
    else
        grow(b);
    b->before = waiting;
    b->sent = 0;
    return b->round > waiting ? b->round - waiting : 0;
}

void rk_send_budget_note(struct rk_send_budget *b, size_t len)
{
    b->sent += len;
}
