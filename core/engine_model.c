#include "core/engine_model.h"

#include <math.h>
#include <string.h>

#define KTOKEN 1000.0

/* Prior until anything is known: within the range of the measured engines, which
 * read 20 to 90 tokens/ms as seen by callers. It weighs as much as one call. */
#define PRIOR_FIXED_MS   50.0
#define PRIOR_KTOKEN_MS  20.0
#define PRIOR_RUNNING_MS 0.4
#define PRIOR_ERROR_MS   30.0

/* Uncertainty of the prior, in the units of the terms: wider than the spread of the
 * measured engines. */
static const double prior_spread[RK_ENGINE_TERMS] = {60.0, 30.0, 1.0};

#define PEER_WEIGHT_MAX 4.0 /* maximum weight of peers' estimates, in calls */
/* Calls that are remembered: those of some seconds on a busy node, of a minute on
 * others. */
#define MEMORY_CALLS          120.0
#define MEMORY_CALLS_DRIFTING 12.0 /* the same while the estimate does not fit */
/* Limits beyond which the estimate does not fit any more, in units of error_ms. */
#define DRIFT_MAX        1.2  /* of drift, for errors of one sign */
#define ERROR_GROWTH_MAX 1.8  /* of error_growth, for errors of either sign */
#define DRIFT_WEIGHT     0.1  /* weight of an error in drift, error_growth */
#define ERROR_WEIGHT     0.03 /* weight of an error in error_ms */
#define ERROR_CLIP       5.0  /* multiple of error_ms to clip errors at */
#define HUBER_LIMIT      2.0  /* multiple of error_ms; larger errors weigh less */
/* Lower limit of error_ms, as clocks and event loops are no finer. */
#define ERROR_MIN_MS 3.0
/* The reading capacity of an engine shows while little is waiting there. Overload
 * looks like slow reading and must not lead to orders for ever more VMs. So the
 * smoothing follows a lower estimate with this weight, and a higher one with
 * UNLOADED_WEIGHT_UP. */
#define UNLOADED_WEIGHT_DOWN 0.1
/* At this weight a slower engine shows after some hundred calls. */
#define UNLOADED_WEIGHT_UP 0.005
#define WARMUP_CALLS       30 /* calls to average before the smoothing */
/* Part of other calls' waiting tokens that a call waits for: of a prompt that is
 * being read, half is left at a random moment. */
#define UNREAD_SHARE  0.5
#define VALUE_MAX     1e6 /* ms or samples; larger values are invalid */
#define KTOKEN_MIN_MS 0.5 /* no engine reads more than 2,000 tokens/ms */

static void terms_of(const struct rk_engine_load *load, double x[RK_ENGINE_TERMS])
{
    x[0] = 1;
    x[1] = (load->uncached_tokens + load->waiting_tokens * UNREAD_SHARE) / KTOKEN;
    x[2] = load->running;
}

static double dot(const double a[RK_ENGINE_TERMS], const double b[RK_ENGINE_TERMS])
{
    double sum = 0;
    for (int i = 0; i < RK_ENGINE_TERMS; i++)
        sum += a[i] * b[i];
    return sum;
}

/* Inverts a symmetric positive definite matrix by its cofactors. */
static void invert(const double m[RK_ENGINE_TERMS][RK_ENGINE_TERMS],
                   double out[RK_ENGINE_TERMS][RK_ENGINE_TERMS])
{
    double det = 0;
    for (int i = 0; i < RK_ENGINE_TERMS; i++)
        for (int j = 0; j < RK_ENGINE_TERMS; j++) {
            int a = (i + 1) % 3, b = (i + 2) % 3, c = (j + 1) % 3, d = (j + 2) % 3;
            out[j][i] = m[a][c] * m[b][d] - m[a][d] * m[b][c];
        }
    for (int j = 0; j < RK_ENGINE_TERMS; j++)
        det += m[0][j] * out[j][0];
    for (int i = 0; i < RK_ENGINE_TERMS; i++)
        for (int j = 0; j < RK_ENGINE_TERMS; j++)
            out[i][j] /= det;
}

/* Computes the coefficients from the decayed sums and the prior. */
static void solve(struct rk_engine *e)
{
    double gram[RK_ENGINE_TERMS][RK_ENGINE_TERMS], moment[RK_ENGINE_TERMS];
    memcpy(gram, e->gram, sizeof(gram));
    memcpy(moment, e->moment, sizeof(moment));
    for (int i = 0; i < RK_ENGINE_TERMS; i++) {
        double scale = PRIOR_ERROR_MS / prior_spread[i];
        double weight = e->prior_weight * scale * scale;
        gram[i][i] += weight;
        moment[i] += weight * e->prior[i];
    }
    invert(gram, e->cov);
    for (int i = 0; i < RK_ENGINE_TERMS; i++) {
        e->coef[i] = dot(e->cov[i], moment);
        if (e->coef[i] < 0)
            e->coef[i] = 0;
    }
    if (e->coef[1] < KTOKEN_MIN_MS)
        e->coef[1] = KTOKEN_MIN_MS;
}

void rk_engine_init(struct rk_engine *e)
{
    *e = (struct rk_engine){
        .prior = {PRIOR_FIXED_MS, PRIOR_KTOKEN_MS, PRIOR_RUNNING_MS},
        .prior_weight = 1,
        .unloaded_ktoken_ms = PRIOR_KTOKEN_MS,
        .error_ms = PRIOR_ERROR_MS};
    solve(e);
}

bool rk_engine_is_valid(const struct rk_engine_estimate *estimate)
{
    const double values[] = {estimate->fixed_ms,           estimate->ktoken_ms,
                             estimate->unloaded_ktoken_ms, estimate->running_ms,
                             estimate->error_ms,           estimate->samples};
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
        if (!isfinite(values[i]) || values[i] < 0 || values[i] > VALUE_MAX)
            return false;
    return true;
}

void rk_engine_set_prior(struct rk_engine *e,
                         const struct rk_engine_estimate *reported)
{
    if (reported->samples <= 0)
        return;
    e->prior[0] = reported->fixed_ms;
    e->prior[1] = reported->ktoken_ms;
    e->prior[2] = reported->running_ms;
    e->prior_weight = fmax(1, fmin(reported->samples, PEER_WEIGHT_MAX));
    if (e->samples < 1) {
        e->error_ms = fmax(reported->error_ms, ERROR_MIN_MS);
        e->unloaded_ktoken_ms = fmax(reported->unloaded_ktoken_ms, KTOKEN_MIN_MS);
    }
    solve(e);
}

/* Decays the sums: slowly, or fast while errors indicate that the engines have
 * changed. */
static void decay_sums(struct rk_engine *e)
{
    bool drifting =
        fabs(e->drift) > DRIFT_MAX || e->error_growth > ERROR_GROWTH_MAX;
    double memory = drifting ? MEMORY_CALLS_DRIFTING : MEMORY_CALLS;
    double keep = 1 - 1 / memory;
    for (int i = 0; i < RK_ENGINE_TERMS; i++) {
        e->moment[i] *= keep;
        for (int j = 0; j < RK_ENGINE_TERMS; j++)
            e->gram[i][j] *= keep;
    }
    e->samples *= keep;
}

static void update_unloaded(struct rk_engine *e)
{
    double share = e->coef[1] < e->unloaded_ktoken_ms ? UNLOADED_WEIGHT_DOWN
                                                      : UNLOADED_WEIGHT_UP;
    if (e->total_calls < WARMUP_CALLS)
        share = fmax(share, 1 / (e->total_calls + 1)); /* plain mean at first */
    e->unloaded_ktoken_ms += share * (e->coef[1] - e->unloaded_ktoken_ms);
}

void rk_engine_learn(struct rk_engine *e, const struct rk_engine_load *load,
                     double first_ms)
{
    double x[RK_ENGINE_TERMS];
    terms_of(load, x);
    double error = first_ms - dot(e->coef, x);
    double clipped = fmax(-ERROR_CLIP, fmin(ERROR_CLIP, error / e->error_ms));
    double weight =
        fabs(clipped) > HUBER_LIMIT ? HUBER_LIMIT * e->error_ms / fabs(error) : 1;
    e->drift += DRIFT_WEIGHT * (clipped - e->drift);
    e->error_growth += DRIFT_WEIGHT * (fabs(clipped) - e->error_growth);
    e->error_ms += ERROR_WEIGHT * (fabs(clipped) - 1) * e->error_ms;
    e->error_ms = fmax(e->error_ms, ERROR_MIN_MS);
    decay_sums(e);
    e->samples += 1;
    for (int i = 0; i < RK_ENGINE_TERMS; i++) {
        e->moment[i] += weight * x[i] * first_ms;
        for (int j = 0; j < RK_ENGINE_TERMS; j++)
            e->gram[i][j] += weight * x[i] * x[j];
    }
    solve(e);
    e->total_calls++;
    update_unloaded(e);
}

double rk_engine_predict_ms(const struct rk_engine *e,
                            const struct rk_engine_load *load)
{
    double x[RK_ENGINE_TERMS];
    terms_of(load, x);
    return dot(e->coef, x);
}

struct rk_engine_forecast rk_engine_predict(const struct rk_engine *e,
                                            const struct rk_engine_load *load)
{
    double x[RK_ENGINE_TERMS], variance = 0;
    terms_of(load, x);
    for (int i = 0; i < RK_ENGINE_TERMS; i++)
        variance += x[i] * dot(e->cov[i], x);
    return (struct rk_engine_forecast){
        .ms = dot(e->coef, x),
        .std_error_ms = e->error_ms * sqrt(fmax(variance, 0)),
    };
}

struct rk_engine_estimate rk_engine_get_estimate(const struct rk_engine *e)
{
    return (struct rk_engine_estimate){.fixed_ms = e->coef[0],
                                       .ktoken_ms = e->coef[1],
                                       .unloaded_ktoken_ms = e->unloaded_ktoken_ms,
                                       .running_ms = e->coef[2],
                                       .error_ms = e->error_ms,
                                       .samples = e->samples};
}

double rk_engine_read_per_s(const struct rk_engine_estimate *estimate)
{
    double ktoken_ms = estimate->unloaded_ktoken_ms > 0
                           ? estimate->unloaded_ktoken_ms
                           : PRIOR_KTOKEN_MS;
    return KTOKEN * KTOKEN / fmax(ktoken_ms, KTOKEN_MIN_MS);
}

void rk_engine_merge(struct rk_engine_estimate *sum,
                     const struct rk_engine_estimate *more)
{
    double all = sum->samples + more->samples;
    if (more->samples <= 0)
        return;
    double share = more->samples / all;
    sum->fixed_ms += share * (more->fixed_ms - sum->fixed_ms);
    sum->ktoken_ms += share * (more->ktoken_ms - sum->ktoken_ms);
    sum->unloaded_ktoken_ms +=
        share * (more->unloaded_ktoken_ms - sum->unloaded_ktoken_ms);
    sum->running_ms += share * (more->running_ms - sum->running_ms);
    sum->error_ms += share * (more->error_ms - sum->error_ms);
    sum->samples = all;
}
