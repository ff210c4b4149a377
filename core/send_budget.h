/* How many bytes a node may send to its peers in a round, by what its link carried
 * of the rounds before: on a link that is too narrow for all, what waits stays
 * short, so that heartbeats behind it come in time. It grows as long as nothing
 * waits, doubling until it was too much once, and by a quarter after that. Pure. */
#ifndef RK_CORE_SEND_BUDGET_H
#define RK_CORE_SEND_BUDGET_H

#include <stdbool.h>
#include <stddef.h>

/* Zeroed: nothing was sent yet. */
struct rk_send_budget {
    size_t round;  /* bytes that a round may take */
    size_t sent;   /* in the last round */
    size_t before; /* that waited when it began */
    bool narrow;   /* it was too much once */
};

/* A round begins while so many bytes of earlier ones wait on this machine; bytes
 * that may be sent in it. */
size_t rk_send_budget_begin(struct rk_send_budget *b, size_t waiting);
/* So many were sent in the round. */
void rk_send_budget_note(struct rk_send_budget *b, size_t len);

#endif
