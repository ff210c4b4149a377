/* Tests of engine ranks against a simulated engine that serves lower ranks first.
 * The load is a mix of short and long prompts; the engine spends three quarters of
 * its time on prefill. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "common/util.h"
#include "core/engine_rank.h"

/* The mix of a deployment with three kinds of model calls: share of all calls, mean
 * number of prompt tokens to prefill, target for the first token, base rank. */
static const struct kind {
    double share, tokens, target_ms;
    int base_rank;
} kinds[] = {{0.21, 3900, 1200, 1}, {0.50, 1900, 800, 0}, {0.29, 550, 600, 2}};

#define CALLS          20000
#define PREFILL_PER_MS 32.4 /* tokens */
#define CHUNK_TOKENS   2048 /* tokens prefilled before the next call is chosen */
#define FIXED_MS       64   /* added to the first-token time of each call */
#define UTILISATION    0.75 /* share of the engine's time spent on prefill */
#define LONG_TOKENS    8000

struct call {
    double arrival_ms, remaining_tokens, tokens, first_token_ms;
    int kind, rank;
};

/* Returns a uniformly distributed number between 0 and 1, both exclusive. */
static double uniform(struct rk_rng *rng)
{
    return ((double)rk_rng_below(rng, 1000000) + 0.5) / 1e6;
}

/* Generates calls with exponentially distributed gaps and prompt sizes. */
static void generate_calls(struct call *calls)
{
    struct rk_rng rng = {.state = 11};
    double mean_tokens = 0, arrival_ms = 0;
    for (size_t i = 0; i < RK_ARRAY_LEN(kinds); i++)
        mean_tokens += kinds[i].share * kinds[i].tokens;
    double gap_ms = mean_tokens / PREFILL_PER_MS / UTILISATION;
    for (int i = 0; i < CALLS; i++) {
        double u = uniform(&rng);
        int kind = u < kinds[0].share                    ? 0
                   : u < kinds[0].share + kinds[1].share ? 1
                                                         : 2;
        arrival_ms -= log(uniform(&rng)) * gap_ms;
        double tokens = -log(uniform(&rng)) * kinds[kind].tokens;
        calls[i] = (struct call){.arrival_ms = arrival_ms,
                                 .remaining_tokens = tokens,
                                 .tokens = tokens,
                                 .kind = kind};
    }
}

/* Returns the unfinished call of the lowest rank among the arrived calls [from,
 * to), the earliest one of equal rank, or NULL. */
static struct call *next_call(struct call *calls, int from, int to)
{
    struct call *best = NULL;
    for (int i = from; i < to; i++)
        if (calls[i].remaining_tokens > 0 && (!best || calls[i].rank < best->rank))
            best = &calls[i];
    return best;
}

/* Prefills all calls in chunks and sets their first-token times. */
static void prefill_all(struct call *calls)
{
    double now_ms = 0;
    int from = 0, to = 0;
    while (from < CALLS) {
        while (to < CALLS && calls[to].arrival_ms <= now_ms)
            to++;
        struct call *c = next_call(calls, from, to);
        if (!c) {
            now_ms = calls[to].arrival_ms;
            continue;
        }
        double prefilled =
            c->remaining_tokens < CHUNK_TOKENS ? c->remaining_tokens : CHUNK_TOKENS;
        now_ms += prefilled / PREFILL_PER_MS;
        c->remaining_tokens -= prefilled;
        if (c->remaining_tokens <= 0)
            c->first_token_ms = now_ms - c->arrival_ms + FIXED_MS;
        while (from < to && calls[from].remaining_tokens <= 0)
            from++;
    }
}

/* Shares of calls that miss their first-token target. */
struct late_shares {
    double of_all, of_long; /* long: more than LONG_TOKENS prompt tokens */
};

/* Simulates all calls, ranked by base rank and, if by_size is set, prompt size. */
static struct late_shares simulate(bool by_size)
{
    static struct call calls[CALLS];
    int late = 0, long_calls = 0, long_late = 0;
    generate_calls(calls);
    for (int i = 0; i < CALLS; i++) {
        int base_rank = kinds[calls[i].kind].base_rank;
        calls[i].rank =
            by_size ? rk_engine_rank(base_rank, calls[i].tokens) : base_rank;
    }
    prefill_all(calls);
    for (int i = 0; i < CALLS; i++) {
        bool is_late = calls[i].first_token_ms > kinds[calls[i].kind].target_ms;
        late += is_late;
        long_calls += calls[i].tokens > LONG_TOKENS;
        long_late += is_late && calls[i].tokens > LONG_TOKENS;
    }
    return (struct late_shares){(double)late / CALLS,
                                (double)long_late / long_calls};
}

/* Guards against short prompts that miss their targets because they wait behind a
 * long one. Ranks that include the prompt size must avoid most of that. The long
 * prompts that are overtaken miss their targets more often, but within a bound. */
static void short_prompts_overtake_long_ones(void **state)
{
    (void)state;
    struct late_shares base = simulate(false), sized = simulate(true);
    print_message("late: %.4f without sizes, %.4f ranked by size; of long ones "
                  "%.3f and %.3f\n",
                  base.of_all, sized.of_all, base.of_long, sized.of_long);
    assert_true(sized.of_all < 0.3 * base.of_all);
    assert_true(sized.of_long < 0.55); /* 0.19 by base rank alone */
}

/* Guards against ranks that fall as the base rank or the prompt size grows, or that
 * are out of range, also for negative input. */
static void ranks_grow_with_base_rank_and_prompt_size(void **state)
{
    (void)state;
    assert_int_equal(rk_engine_rank(0, 0), 0);
    assert_int_equal(rk_engine_rank(2, 0), 2);
    for (int base_rank = 0; base_rank <= 12; base_rank++) {
        int lowest = rk_engine_rank(base_rank, 0);
        assert_true(rk_engine_rank(base_rank + 1, 700) >=
                    rk_engine_rank(base_rank, 700));
        for (double tokens = 0; tokens < 60000; tokens += 500) {
            int rank = rk_engine_rank(base_rank, tokens);
            assert_true(rank >= lowest && rank <= RK_ENGINE_RANK_MAX);
            lowest = rank;
        }
    }
    assert_int_equal(rk_engine_rank(-3, -1), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(short_prompts_overtake_long_ones),
        cmocka_unit_test(ranks_grow_with_base_rank_and_prompt_size),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
