/* Computes the scheduling rank of a call at its engine, which admits lower ranks
 * first. The rank is the one promised to the caller, plus one for each 1,500
 * prompt tokens that the engine has to read for the call. This is shortest job
 * first (Conway, Maxwell, Miller, "Theory of Scheduling", 1967, ch. 8) within
 * the promised ranks: a long prompt would delay short calls behind it for longer
 * than is acceptable, while it is hardly delayed when they overtake it. No I/O,
 * no state. */
#ifndef RK_CORE_ENGINE_RANK_H
#define RK_CORE_ENGINE_RANK_H

#define RK_ENGINE_RANK_MAX 9 /* least urgent rank that engines support */

/* Returns a rank from 0, the most urgent, to RK_ENGINE_RANK_MAX. promised: rank of
 * the call's organisation or route. unread_tokens: prompt tokens that are not
 * cached at the engine. */
int rk_engine_rank(int promised, double unread_tokens);

#endif
