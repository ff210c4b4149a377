#include "core/send_budget.h"

#define INITIAL_ROUND_BYTES (1024 * 1024) /* 0.4 s of 20 Mbit/s */
#define MAX_ROUND_BYTES     (64 * 1024 * 1024)
#define MIN_ROUND_BYTES     (64 * 1024)
#define GROWTH              2
#define SLOW_GROWTH         1.25
/* Share of the carried bytes that the next round may take: others use the link,
 * too. */
#define CARRIED_SHARE 0.8
/* The link counts as congested if more than 1 / WAITING_DIVISOR of the last round
 * and more than WAITING_MIN_BYTES wait. Less may be due to a few peers that accept
 * no data. */
#define WAITING_DIVISOR   4
#define WAITING_MIN_BYTES (128 * 1024) /* 0.1 s of 10 Mbit/s */

static bool is_congested(const struct rk_send_budget *b, size_t waiting_bytes)
{
    return waiting_bytes > WAITING_MIN_BYTES &&
           waiting_bytes > b->sent_bytes / WAITING_DIVISOR;
}

/* Reduces the budget to a share of what the link carried in the last round. */
static void shrink(struct rk_send_budget *b, size_t waiting_bytes)
{
    size_t carried = b->waiting_before + b->sent_bytes - waiting_bytes;
    size_t budget = (size_t)((double)carried * CARRIED_SHARE);
    if (carried < MIN_ROUND_BYTES)
        return; /* the link is stalled, which shows nothing of its width */
    b->is_link_narrow = true;
    if (budget < b->round_bytes)
        b->round_bytes = budget > MIN_ROUND_BYTES ? budget : MIN_ROUND_BYTES;
}

/* Only a round that used at least half of its budget shows that there is room
 * for more. */
static void grow(struct rk_send_budget *b)
{
    if (b->sent_bytes < b->round_bytes / 2)
        return;
    b->round_bytes = (size_t)((double)b->round_bytes *
                              (b->is_link_narrow ? SLOW_GROWTH : GROWTH));
    if (b->round_bytes > MAX_ROUND_BYTES)
        b->round_bytes = MAX_ROUND_BYTES;
}

void rk_send_queues_add(struct rk_send_queues *q, size_t waiting_bytes,
                        bool has_progressed)
{
    if (!has_progressed) {
        q->stalled_bytes += waiting_bytes;
    } else if (waiting_bytes) {
        q->moving++;
        q->moving_bytes += waiting_bytes;
    } else {
        q->drained++;
    }
}

size_t rk_send_queues_waiting(const struct rk_send_queues *q)
{
    return q->moving_bytes + (q->drained > q->moving ? 0 : q->stalled_bytes);
}

size_t rk_send_budget_begin(struct rk_send_budget *b, size_t waiting_bytes)
{
    if (!b->round_bytes)
        b->round_bytes = INITIAL_ROUND_BYTES;
    else if (is_congested(b, waiting_bytes) &&
             waiting_bytes <= b->waiting_before + b->sent_bytes)
        shrink(b, waiting_bytes);
    else
        grow(b);
    b->waiting_before = waiting_bytes;
    b->sent_bytes = 0;
    return b->round_bytes > waiting_bytes ? b->round_bytes - waiting_bytes : 0;
}

void rk_send_budget_note_sent(struct rk_send_budget *b, size_t len)
{
    b->sent_bytes += len;
}
