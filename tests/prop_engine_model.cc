// Properties of the latency model of engines: for any engine, forecasts come close
// after a few seconds of calls, outliers do not distort them, a changed engine is
// learnt again, and an unknown one is not assumed to be slow.
#include "tests/props.h"

#include <algorithm>
#include <cmath>
#include <random>

extern "C" {
#include "core/engine_model.h"
}

namespace {

constexpr int LEARNT_CALLS = 80;
// A forecast may differ by this share of the true time and this many ms more.
constexpr double BAND_SHARE = 0.25;
constexpr double BAND_MS = 15;
constexpr double TYPICAL_TOKENS = 2000; // of a prompt, the median

// A simulated engine. Its time to the first token is a fixed part, the time to read
// the prompt, and a part that grows with the number of running calls.
struct Engine {
    double fixed_ms, tokens_per_ms, running_ms;

    double first_ms(const rk_engine_load &load) const
    {
        return fixed_ms +
               (load.uncached_tokens + load.waiting_tokens / 2) / tokens_per_ms +
               load.running * running_ms;
    }
};

Engine any_engine()
{
    return {static_cast<double>(*rc::gen::inRange(10, 150)),
            static_cast<double>(*rc::gen::inRange(10, 400)),
            *rc::gen::inRange(0, 200) / 100.0};
}

using Random = std::mt19937_64;

rk_engine_load any_load(Random &random)
{
    std::lognormal_distribution<double> tokens(std::log(TYPICAL_TOKENS), 1.0);
    std::uniform_real_distribution<double> fraction(0, 1);
    return {std::min(tokens(random), 40000.0),
            fraction(random) < 0.3 ? tokens(random) : 0, 20 * fraction(random)};
}

// Feeds the times of random calls to a model, with 10% noise; `outliers` is the
// share of calls that take ten times as long.
void learn_calls(rk_engine *e, const Engine &engine, int calls, double outliers,
                 Random &random)
{
    std::lognormal_distribution<double> noise(0, 0.1);
    std::uniform_real_distribution<double> fraction(0, 1);
    for (int i = 0; i < calls; i++) {
        rk_engine_load load = any_load(random);
        double ms = engine.first_ms(load) * noise(random);
        rk_engine_learn(e, &load, fraction(random) < outliers ? ms * 10 : ms);
    }
}

void assert_close(const rk_engine &e, const Engine &engine)
{
    for (double tokens : {300.0, 2000.0, 8000.0}) {
        const rk_engine_load load = {tokens, 0, 5};
        double true_ms = engine.first_ms(load),
               predicted_ms = rk_engine_predict(&e, &load).ms;
        RC_LOG() << tokens << " tokens: " << predicted_ms << " of " << true_ms
                 << " ms";
        RC_ASSERT(std::fabs(predicted_ms - true_ms) <
                  true_ms * BAND_SHARE + BAND_MS);
    }
}

// Guards against a model that needs too many calls to predict an engine.
void any_engine_is_learnt()
{
    Random random(*rc::gen::arbitrary<uint64_t>());
    Engine engine = any_engine();
    rk_engine e;
    rk_engine_init(&e);
    learn_calls(&e, engine, LEARNT_CALLS, 0, random);
    assert_close(e, engine);
}

// Guards against estimates that follow a few slow calls: 3% take ten times as long.
void outliers_do_not_distort_the_model()
{
    Random random(*rc::gen::arbitrary<uint64_t>());
    Engine engine = any_engine();
    rk_engine e;
    rk_engine_init(&e);
    learn_calls(&e, engine, 3 * LEARNT_CALLS, 0.03, random);
    assert_close(e, engine);
}

// Guards against a model with so many samples that it no longer follows an engine
// that got faster or slower.
void a_changed_engine_is_learnt_again()
{
    Random random(*rc::gen::arbitrary<uint64_t>());
    Engine before = any_engine(), after = any_engine();
    rk_engine e;
    rk_engine_init(&e);
    learn_calls(&e, before, 5 * LEARNT_CALLS, 0, random);
    learn_calls(&e, after, 3 * LEARNT_CALLS, 0, random);
    assert_close(e, after);
}

// Guards against an engine that gets no calls, and so is never measured, because it
// is assumed to be slow: the uncertainty must include a time of 0.
void an_unknown_engine_has_a_wide_uncertainty()
{
    rk_engine e;
    rk_engine_init(&e);
    const rk_engine_load load = {*rc::gen::inRange(0, 60000) * 1.0, 0, 0};
    rk_engine_forecast f = rk_engine_predict(&e, &load);
    RC_ASSERT(f.ms - 2 * f.std_error_ms <= 0);
}

// An estimate received from peers must be used until own calls replace it.
void an_estimate_of_peers_is_the_prior()
{
    Random random(*rc::gen::arbitrary<uint64_t>());
    Engine engine = any_engine(), other = any_engine();
    rk_engine peer_model, e;
    rk_engine_init(&peer_model);
    rk_engine_init(&e);
    learn_calls(&peer_model, engine, LEARNT_CALLS, 0, random);
    rk_engine_estimate from_peer = rk_engine_get_estimate(&peer_model);
    rk_engine_set_prior(&e, &from_peer);
    assert_close(e, engine);
    learn_calls(&e, other, 2 * LEARNT_CALLS, 0, random);
    assert_close(e, other);
}

// Guards against a capacity estimate that falls in an overload: its queueing looks
// like slow reading, and more engines would be ordered than are needed.
void an_overload_keeps_the_read_rate()
{
    Random random(*rc::gen::arbitrary<uint64_t>());
    Engine engine = any_engine(), overloaded = engine;
    // Where reading takes less time than this, the noise of the fixed part hides
    // the read rate.
    RC_PRE(TYPICAL_TOKENS / engine.tokens_per_ms > engine.fixed_ms / 5);
    overloaded.tokens_per_ms /= 3;
    rk_engine e;
    rk_engine_init(&e);
    learn_calls(&e, engine, LEARNT_CALLS, 0, random);
    rk_engine_estimate before = rk_engine_get_estimate(&e);
    learn_calls(&e, overloaded, LEARNT_CALLS / 2, 0, random);
    learn_calls(&e, engine, LEARNT_CALLS, 0, random);
    rk_engine_estimate after = rk_engine_get_estimate(&e);
    RC_ASSERT(rk_engine_read_per_s(&after) > 0.5 * rk_engine_read_per_s(&before));
}

// Guards against an estimate from few samples, or none, that outweighs one from
// many.
void estimates_merge_by_their_samples()
{
    double samples = *rc::gen::inRange(1, 100);
    rk_engine_estimate sum = {}, none = {}, more = {};
    sum.fixed_ms = 10;
    sum.samples = 100;
    more.fixed_ms = 30;
    more.samples = samples;
    rk_engine_merge(&sum, &none);
    RC_ASSERT(sum.fixed_ms == 10 && sum.samples == 100);
    rk_engine_merge(&sum, &more);
    RC_ASSERT(sum.fixed_ms > 10 && sum.fixed_ms < 20);
    RC_ASSERT(sum.samples == 100 + samples);
}

} // namespace

int main()
{
    static const Property properties[] = {
        {"any_engine_is_learnt", any_engine_is_learnt},
        {"outliers_do_not_distort_the_model", outliers_do_not_distort_the_model},
        {"a_changed_engine_is_learnt_again", a_changed_engine_is_learnt_again},
        {"an_unknown_engine_has_a_wide_uncertainty",
         an_unknown_engine_has_a_wide_uncertainty},
        {"an_estimate_of_peers_is_the_prior", an_estimate_of_peers_is_the_prior},
        {"an_overload_keeps_the_read_rate", an_overload_keeps_the_read_rate},
        {"estimates_merge_by_their_samples", estimates_merge_by_their_samples},
    };
    return run_properties(properties);
}
