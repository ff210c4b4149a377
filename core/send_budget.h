/* Limits the bytes that a node sends to its peers in a round, by what its link
 * carried in earlier rounds. On a link that is too narrow for everything, this
 * keeps the send queue short, so that heartbeats queued behind it arrive in
 * time. The budget grows as long as nothing waits: it doubles until it was too
 * much for the first time, and grows by a quarter from then on. No I/O. */
#ifndef RK_CORE_SEND_BUDGET_H
#define RK_CORE_SEND_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/* State of the limiter. Zeroed: nothing was sent yet. */
struct rk_send_budget {
    size_t round_bytes;    /* bytes that a round may take */
    size_t sent_bytes;     /* bytes sent since the last round began */
    size_t waiting_before; /* bytes that waited when that round began */
    bool is_link_narrow;   /* a round was too much for the link at least once */
};

/* The peers' send queues as of now, and what became of them since the last round.
 * Zeroed: none. */
struct rk_send_queues {
    size_t drained;       /* number that progressed and are empty */
    size_t moving;        /* number that progressed and are not empty */
    size_t moving_bytes;  /* that wait in those */
    size_t stalled_bytes; /* that wait in the ones without progress */
};

/* Adds the queue of a peer. */
void rk_send_queues_add(struct rk_send_queues *q, size_t waiting_bytes,
                        bool has_progressed);

/* Returns how many bytes wait for this node's own link. A peer that was lost
 * acknowledges nothing, which says nothing of that link while most queues drain. */
size_t rk_send_queues_waiting(const struct rk_send_queues *q);

/* Begins a round. waiting_bytes: bytes of earlier rounds that still wait on this
 * machine. Returns the bytes that may be sent in the round. */
size_t rk_send_budget_begin(struct rk_send_budget *b, size_t waiting_bytes);
/* Records that len bytes were sent in the round. */
void rk_send_budget_note_sent(struct rk_send_budget *b, size_t len);

#endif
