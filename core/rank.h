/* The rank of a call at its engine, which admits lower ranks first: what the call
 * is promised, and a step more for each thousand or so prompt tokens that it makes
 * the engine read. Shortest job first (Conway, Maxwell, Miller, "Theory of
 * Scheduling", 1967, ch. 8) within the promises: a long prompt keeps the short ones
 * behind it waiting for longer than they may, and hardly notices when they pass.
 * Pure. */
#ifndef RK_CORE_RANK_H
#define RK_CORE_RANK_H

#define RK_RANK_LAST 9 /* the least urgent that engines know */

/* promised: of the call's organisation or route, 0 first. unread_tokens: of its
 * prompt, that aren't cached at the engine. */
int rk_rank(int promised, double unread_tokens);

#endif
