/* What is known of an engine service's speed, learnt from the calls that a node
 * sent there: the time to the first token as a linear function of the prompt tokens
 * that have to be read first and of the calls that run beside them. Pure.
 *
 * Method: weighted least squares with exponential forgetting (Ljung, "System
 * Identification", 1999, ch. 11) and Huber's weights (1964) against outliers such
 * as frozen vms; ridge towards a prior, which is what peers have learnt, if they
 * told it. */
#ifndef RK_CORE_ENGINE_H
#define RK_CORE_ENGINE_H

#include <stdbool.h>

#define RK_ENGINE_TERMS 3 /* fixed, reading, running */

/* What a call met at its vm when it was sent, as far as the node knew. */
struct rk_engine_load {
    double unread;  /* tokens of its own prompt that were not cached */
    double waiting; /* tokens of other prompts that were not read yet */
    double running; /* calls in hand there */
};

/* An estimate, as nodes tell each other. */
struct rk_engine_estimate {
    double fixed_ms;       /* of every first token */
    double ktoken_ms;      /* more for each 1,000 tokens to be read */
    double calm_ktoken_ms; /* the same by its fastest times: what it can read */
    double running_ms;     /* more for each call in hand */
    double error_ms;       /* typical size of what it misses by */
    double samples;        /* calls that it rests on; 0: nothing is known */
};

struct rk_engine {
    double gram[RK_ENGINE_TERMS][RK_ENGINE_TERMS]; /* sums of products, forgotten */
    double moment[RK_ENGINE_TERMS];                /* the same with the outcome */
    double cov[RK_ENGINE_TERMS][RK_ENGINE_TERMS]; /* of coef, in units of error² */
    double coef[RK_ENGINE_TERMS];
    double prior[RK_ENGINE_TERMS];
    double prior_weight;   /* in calls */
    double samples;        /* calls that are remembered */
    double learnt;         /* calls ever */
    double calm_ktoken_ms; /* follows coef down soon, and up slowly */
    double error_ms;       /* smoothed absolute error, outliers cut */
    double drift;          /* smoothed error in units of error_ms: 0 if it fits */
    double worsening;      /* the same of its size: about 1 if it fits */
};

struct rk_engine_forecast {
    double ms;       /* expected time to the first token */
    double doubt_ms; /* standard error of that, for want of knowledge */
};

void rk_engine_init(struct rk_engine *e);

/* A call of that load got its first token after so long. */
void rk_engine_learn(struct rk_engine *e, const struct rk_engine_load *load,
                     double first_ms);

/* Expected time to the first token, in ms, and the same with its doubt. */
double rk_engine_first_ms(const struct rk_engine *e,
                          const struct rk_engine_load *load);
struct rk_engine_forecast rk_engine_first(const struct rk_engine *e,
                                          const struct rk_engine_load *load);

/* What others learnt, with samples > 0: the new prior. */
void rk_engine_set_prior(struct rk_engine *e,
                         const struct rk_engine_estimate *told);

/* Can it be one? A peer or the store may tell anything. */
bool rk_engine_is_sound(const struct rk_engine_estimate *estimate);

/* samples counts this node's own calls only: what was told isn't told on. */
struct rk_engine_estimate rk_engine_learnt(const struct rk_engine *e);

/* Prompt tokens a second that such an engine reads. */
double rk_engine_read_per_s(const struct rk_engine_estimate *estimate);

/* The mean of estimates, by their samples. */
void rk_engine_merge(struct rk_engine_estimate *sum,
                     const struct rk_engine_estimate *more);

#endif
