/* Ranks at an engine, before a simple one: the pattern is a mix of short and long
 * prompts at an engine that reads for three quarters of its time. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <string.h>

#include "common/util.h"
#include "core/rank.h"

/* As on a deployment with three kinds of model calls: parts of all calls, mean
 * tokens to be read, targets of the first token. */
static const struct kind {
    double part, tokens, target_ms;
    int promised;
} kinds[] = {{0.21, 3900, 1200, 1}, {0.50, 1900, 800, 0}, {0.29, 550, 600, 2}};

#define CALLS       20000
#define READ_PER_MS 32.4
#define CHUNK       2048 /* tokens read before the next call is chosen anew */
#define FIXED_MS    64
#define BUSY        0.75 /* of the engine's time */
#define LONG_TOKENS 8000

struct call {
    double at_ms, left, tokens, first_ms;
    int kind, rank;
};

static double drawn(struct rk_rng *rng)
{
    return ((double)rk_rng_below(rng, 1000000) + 0.5) / 1e6;
}

static void draw_calls(struct call *calls)
{
    struct rk_rng rng = {.state = 11};
    double mean_tokens = 0, at_ms = 0;
    for (size_t i = 0; i < RK_ARRAY_LEN(kinds); i++)
        mean_tokens += kinds[i].part * kinds[i].tokens;
    double gap_ms = mean_tokens / READ_PER_MS / BUSY;
    for (int i = 0; i < CALLS; i++) {
        double u = drawn(&rng);
        int kind = u < kinds[0].part                   ? 0
                   : u < kinds[0].part + kinds[1].part ? 1
                                                       : 2;
        at_ms -= log(drawn(&rng)) * gap_ms;
        double tokens = -log(drawn(&rng)) * kinds[kind].tokens;
        calls[i] = (struct call){
            .at_ms = at_ms, .left = tokens, .tokens = tokens, .kind = kind};
    }
}

/* The first by rank, then by arrival, of those that have come. */
static struct call *next_call(struct call *calls, int from, int to)
{
    struct call *best = NULL;
    for (int i = from; i < to; i++)
        if (calls[i].left > 0 && (!best || calls[i].rank < best->rank))
            best = &calls[i];
    return best;
}

static void read_all(struct call *calls)
{
    double now_ms = 0;
    int from = 0, to = 0;
    while (from < CALLS) {
        while (to < CALLS && calls[to].at_ms <= now_ms)
            to++;
        struct call *c = next_call(calls, from, to);
        if (!c) {
            now_ms = calls[to].at_ms;
            continue;
        }
        double read = c->left < CHUNK ? c->left : CHUNK;
        now_ms += read / READ_PER_MS;
        c->left -= read;
        if (c->left <= 0)
            c->first_ms = now_ms - c->at_ms + FIXED_MS;
        while (from < to && calls[from].left <= 0)
            from++;
    }
}

struct late {
    double share, longest; /* of all calls; of those with many tokens */
};

static struct late run(bool by_size)
{
    static struct call calls[CALLS];
    int late = 0, longest = 0, longest_late = 0;
    draw_calls(calls);
    for (int i = 0; i < CALLS; i++) {
        int promised = kinds[calls[i].kind].promised;
        calls[i].rank = by_size ? rk_rank(promised, calls[i].tokens) : promised;
    }
    read_all(calls);
    for (int i = 0; i < CALLS; i++) {
        bool is_late = calls[i].first_ms > kinds[calls[i].kind].target_ms;
        late += is_late;
        longest += calls[i].tokens > LONG_TOKENS;
        longest_late += is_late && calls[i].tokens > LONG_TOKENS;
    }
    return (struct late){(double)late / CALLS, (double)longest_late / longest};
}

static void short_prompts_pass_long_ones(void **state)
{
    (void)state;
    struct late before = run(false), now = run(true);
    print_message("late: %.4f by promise alone, %.4f by size, too; of long ones "
                  "%.3f and %.3f\n",
                  before.share, now.share, before.longest, now.longest);
    assert_true(now.share < 0.3 * before.share);
    assert_true(now.longest < 0.55); /* what it costs: 0.19 before */
}

static void what_is_promised_counts_first(void **state)
{
    (void)state;
    assert_int_equal(rk_rank(0, 0), 0);
    assert_int_equal(rk_rank(2, 0), 2);
    for (int promised = 0; promised <= 12; promised++) {
        int before = rk_rank(promised, 0);
        assert_true(rk_rank(promised + 1, 700) >= rk_rank(promised, 700));
        for (double tokens = 0; tokens < 60000; tokens += 500) {
            int rank = rk_rank(promised, tokens);
            assert_true(rank >= before && rank <= RK_RANK_LAST);
            before = rank;
        }
    }
    assert_int_equal(rk_rank(-3, -1), 0);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(short_prompts_pass_long_ones),
        cmocka_unit_test(what_is_promised_counts_first),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
