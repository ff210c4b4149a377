#include "core/engine.h"

#include <math.h>
#include <string.h>

#define KTOKEN 1000.0

/* Until anything is known: between the engines that were measured, which read 20
 * to 90 tokens a ms as callers see it. It weighs as much as one call. */
#define PRIOR_FIXED_MS   50.0
#define PRIOR_KTOKEN_MS  20.0
#define PRIOR_RUNNING_MS 0.4
#define PRIOR_ERROR_MS   30.0

/* How far the prior may be off, in the terms' own units: wider than the spread
 * of the engines measured. */
static const double prior_off[RK_ENGINE_TERMS] = {60.0, 30.0, 1.0};

#define TOLD_WEIGHT     4.0   /* calls that peers' estimates weigh at most */
#define MEMORY          120.0 /* calls: seconds of a busy node's, a minute's else */
#define MEMORY_DRIFTING 12.0  /* calls, while the estimate doesn't fit any more */
#define DRIFTS          1.2   /* errors all to one side, in units of error_ms */
#define WORSENS         1.8   /* errors of any sign, the same way */
#define DRIFT_SHARE     0.1   /* weight of a new error in drift and worsening */
#define ERROR_SHARE     0.03  /* weight of a new error in error_ms */
#define ERROR_CUT       5.0   /* an outlier counts as so many times error_ms */
#define HUBER           2.0   /* errors above so many times error_ms weigh less */
#define ERROR_MIN_MS    3.0   /* clocks and loops are no finer */
/* What an engine can read shows while little waits there: overload looks like slow
 * reading, and must not ask for ever more vms. Weights of a new estimate: */
#define CALM_DOWN     0.1
#define CALM_UP       0.005 /* some hundred calls for engines that became slower */
#define FIRST_CALLS   30    /* before them nothing is known */
#define READING_LEFT  0.5   /* of a prompt that is being read, at a random moment */
#define SOUND_MAX     1e6 /* ms, or samples: what is told above it is no estimate */
#define KTOKEN_MIN_MS 0.5 /* no engine reads more than 2,000 tokens a ms */

static void terms_of(const struct rk_engine_load *load, double x[RK_ENGINE_TERMS])
{
    x[0] = 1;
    x[1] = (load->unread + load->waiting * READING_LEFT) / KTOKEN;
    x[2] = load->running;
}

static double dot(const double a[RK_ENGINE_TERMS], const double b[RK_ENGINE_TERMS])
{
    double sum = 0;
    for (int i = 0; i < RK_ENGINE_TERMS; i++)
        sum += a[i] * b[i];
    return sum;
}

/* The inverse of a symmetric positive matrix, by its cofactors. */
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

/* Coefficients out of what is remembered and the prior. */
static void solve(struct rk_engine *e)
{
    double gram[RK_ENGINE_TERMS][RK_ENGINE_TERMS], moment[RK_ENGINE_TERMS];
    memcpy(gram, e->gram, sizeof(gram));
    memcpy(moment, e->moment, sizeof(moment));
    for (int i = 0; i < RK_ENGINE_TERMS; i++) {
        double off = PRIOR_ERROR_MS / prior_off[i];
        double weight = e->prior_weight * off * off;
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
        .calm_ktoken_ms = PRIOR_KTOKEN_MS,
        .error_ms = PRIOR_ERROR_MS};
    solve(e);
}

bool rk_engine_is_sound(const struct rk_engine_estimate *estimate)
{
    const double values[] = {estimate->fixed_ms,       estimate->ktoken_ms,
                             estimate->calm_ktoken_ms, estimate->running_ms,
                             estimate->error_ms,       estimate->samples};
    for (size_t i = 0; i < sizeof(values) / sizeof(values[0]); i++)
        if (!isfinite(values[i]) || values[i] < 0 || values[i] > SOUND_MAX)
            return false;
    return true;
}

void rk_engine_set_prior(struct rk_engine *e, const struct rk_engine_estimate *told)
{
    if (told->samples <= 0)
        return;
    e->prior[0] = told->fixed_ms;
    e->prior[1] = told->ktoken_ms;
    e->prior[2] = told->running_ms;
    e->prior_weight = fmax(1, fmin(told->samples, TOLD_WEIGHT));
    if (e->samples < 1) {
        e->error_ms = fmax(told->error_ms, ERROR_MIN_MS);
        e->calm_ktoken_ms = fmax(told->calm_ktoken_ms, KTOKEN_MIN_MS);
    }
    solve(e);
}

/* Forget a little; quickly while errors say that the engines have changed. */
static void forget(struct rk_engine *e)
{
    bool changed = fabs(e->drift) > DRIFTS || e->worsening > WORSENS;
    double memory = changed ? MEMORY_DRIFTING : MEMORY;
    double keep = 1 - 1 / memory;
    for (int i = 0; i < RK_ENGINE_TERMS; i++) {
        e->moment[i] *= keep;
        for (int j = 0; j < RK_ENGINE_TERMS; j++)
            e->gram[i][j] *= keep;
    }
    e->samples *= keep;
}

static void follow_calm(struct rk_engine *e)
{
    double share = e->coef[1] < e->calm_ktoken_ms ? CALM_DOWN : CALM_UP;
    if (e->learnt < FIRST_CALLS)
        share = fmax(share, 1 / (e->learnt + 1)); /* the mean, at first */
    e->calm_ktoken_ms += share * (e->coef[1] - e->calm_ktoken_ms);
}

void rk_engine_learn(struct rk_engine *e, const struct rk_engine_load *load,
                     double first_ms)
{
    double x[RK_ENGINE_TERMS];
    terms_of(load, x);
    double error = first_ms - dot(e->coef, x);
    double cut = fmax(-ERROR_CUT, fmin(ERROR_CUT, error / e->error_ms));
    double weight = fabs(cut) > HUBER ? HUBER * e->error_ms / fabs(error) : 1;
    e->drift += DRIFT_SHARE * (cut - e->drift);
    e->worsening += DRIFT_SHARE * (fabs(cut) - e->worsening);
    e->error_ms += ERROR_SHARE * (fabs(cut) - 1) * e->error_ms;
    e->error_ms = fmax(e->error_ms, ERROR_MIN_MS);
    forget(e);
    e->samples += 1;
    for (int i = 0; i < RK_ENGINE_TERMS; i++) {
        e->moment[i] += weight * x[i] * first_ms;
        for (int j = 0; j < RK_ENGINE_TERMS; j++)
            e->gram[i][j] += weight * x[i] * x[j];
    }
    solve(e);
    e->learnt++;
    follow_calm(e);
}

double rk_engine_first_ms(const struct rk_engine *e,
                          const struct rk_engine_load *load)
{
    double x[RK_ENGINE_TERMS];
    terms_of(load, x);
    return dot(e->coef, x);
}

struct rk_engine_forecast rk_engine_first(const struct rk_engine *e,
                                          const struct rk_engine_load *load)
{
    double x[RK_ENGINE_TERMS], variance = 0;
    terms_of(load, x);
    for (int i = 0; i < RK_ENGINE_TERMS; i++)
        variance += x[i] * dot(e->cov[i], x);
    return (struct rk_engine_forecast){
        .ms = dot(e->coef, x),
        .doubt_ms = e->error_ms * sqrt(fmax(variance, 0)),
    };
}

struct rk_engine_estimate rk_engine_learnt(const struct rk_engine *e)
{
    return (struct rk_engine_estimate){.fixed_ms = e->coef[0],
                                       .ktoken_ms = e->coef[1],
                                       .calm_ktoken_ms = e->calm_ktoken_ms,
                                       .running_ms = e->coef[2],
                                       .error_ms = e->error_ms,
                                       .samples = e->samples};
}

double rk_engine_read_per_s(const struct rk_engine_estimate *estimate)
{
    double ktoken_ms =
        estimate->calm_ktoken_ms > 0 ? estimate->calm_ktoken_ms : PRIOR_KTOKEN_MS;
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
    sum->calm_ktoken_ms += share * (more->calm_ktoken_ms - sum->calm_ktoken_ms);
    sum->running_ms += share * (more->running_ms - sum->running_ms);
    sum->error_ms += share * (more->error_ms - sum->error_ms);
    sum->samples = all;
}
