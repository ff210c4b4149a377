/* Latency model of an engine service, learned from the calls that a node sent to
 * it. The time to first token is modelled as a linear function of the prompt tokens
 * to be read before it and of the calls that run on the same VM. Pure: no I/O, no
 * clock. Not thread-safe.
 *
 * Method: weighted least squares with exponential forgetting (Ljung, "System
 * Identification", 1999, ch. 11). Huber's weights (1964) limit the effect of
 * outliers such as frozen VMs. Ridge regularisation pulls the estimate towards a
 * prior, which is the estimate of peers where they have reported one. */
#ifndef RK_CORE_ENGINE_MODEL_H
#define RK_CORE_ENGINE_MODEL_H

#include <stdbool.h>

#define RK_ENGINE_TERMS 3 /* fixed, reading, running */

/* Load on the VM when a call was sent to it, as far as the node knew. */
struct rk_engine_load {
    double uncached_tokens; /* prompt tokens of the call that were not cached */
    double waiting_tokens;  /* prompt tokens of other calls, not read yet */
    double running;         /* calls in flight there */
};

/* An estimate, as nodes report it to each other. */
struct rk_engine_estimate {
    double fixed_ms;  /* fixed part of every time to first token */
    double ktoken_ms; /* additional time per 1,000 tokens to be read */
    /* ktoken_ms without load, which shows the reading capacity. */
    double unloaded_ktoken_ms;
    double running_ms; /* additional time per call in flight */
    double error_ms;   /* typical absolute error of the estimate */
    double samples;    /* calls that it is based on; 0: nothing is known */
};

/* The model. */
struct rk_engine {
    /* Sums of products of the terms, decaying. */
    double gram[RK_ENGINE_TERMS][RK_ENGINE_TERMS];
    /* Sums of the terms times the time to first token, decaying. */
    double moment[RK_ENGINE_TERMS];
    /* Covariance of coef, in units of error_ms². */
    double cov[RK_ENGINE_TERMS][RK_ENGINE_TERMS];
    double coef[RK_ENGINE_TERMS];
    double prior[RK_ENGINE_TERMS];
    double prior_weight;       /* in calls */
    double samples;            /* effective number of calls, decaying */
    double total_calls;        /* calls learned from in total */
    double unloaded_ktoken_ms; /* follows coef fast downwards and slowly upwards */
    double error_ms;           /* smoothed absolute error, with outliers clipped */
    double drift;        /* smoothed error / error_ms; near 0 if the model fits */
    double error_growth; /* smoothed absolute error / error_ms; near 1 if it fits */
};

/* A prediction for one call. */
struct rk_engine_forecast {
    double ms;           /* expected time to first token */
    double std_error_ms; /* standard error of ms, due to few samples */
};

/* Resets the model to the built-in prior. */
void rk_engine_init(struct rk_engine *e);

/* Learns from a call: first_ms is its time to first token, in ms, under that
 * load. */
void rk_engine_learn(struct rk_engine *e, const struct rk_engine_load *load,
                     double first_ms);

/* Returns the expected time to first token in ms; rk_engine_predict() also returns
 * its standard error. */
double rk_engine_predict_ms(const struct rk_engine *e,
                            const struct rk_engine_load *load);
struct rk_engine_forecast rk_engine_predict(const struct rk_engine *e,
                                            const struct rk_engine_load *load);

/* Sets the prior to the estimate of peers; ignored if it has no samples. */
void rk_engine_set_prior(struct rk_engine *e,
                         const struct rk_engine_estimate *reported);

/* Returns whether the values are possible. A peer or the store may send
 * anything. */
bool rk_engine_is_valid(const struct rk_engine_estimate *estimate);

/* Returns the estimate. samples counts this node's own calls only, so estimates of
 * peers are not reported again. */
struct rk_engine_estimate rk_engine_get_estimate(const struct rk_engine *e);

/* Returns the prompt tokens/s that an engine with this estimate reads. */
double rk_engine_read_per_s(const struct rk_engine_estimate *estimate);

/* Merges an estimate into a mean weighted by samples. */
void rk_engine_merge(struct rk_engine_estimate *sum,
                     const struct rk_engine_estimate *more);

#endif
