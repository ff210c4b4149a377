/* Whether a request may have run at an upstream: what every failed attempt
 * ends with, and what the caller is told. */
#ifndef RK_CORE_VERDICT_H
#define RK_CORE_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

enum rk_verdict {
    RK_NOT_RUN,      /* proved: it did not run and will not */
    RK_MAY_HAVE_RUN, /* nothing is proved */
    RK_RAN,          /* proved: it ran */
};

/* How an attempt ended, as far as the transport can tell. */
struct rk_attempt_end {
    bool handed;     /* a byte may have reached the upstream */
    bool answered;   /* a whole answer that matches the attempt came */
    int http_status; /* 0 when no answer head came */
    int64_t rest_ms; /* for which the upstream wants nothing more; 0: not said */
};

/* What the upstream's contract says about its refusals. */
struct rk_refusal_contract {
    bool refusal_not_run; /* a 429 or 503 of this upstream means: not run */
};

/* What an answer's Retry-After asks for: only one that turns the request away does.
 * asked_ms: as read, under 0: it can't be. */
int64_t rk_attempt_rest_ms(long http_status, int64_t asked_ms);

const char *rk_verdict_str(enum rk_verdict v);

/* Parse the header's word; unknown words count as RK_MAY_HAVE_RUN. */
enum rk_verdict rk_verdict_parse(const char *s);

/* The verdict of one attempt. */
enum rk_verdict rk_verdict_of(const struct rk_attempt_end *end,
                              const struct rk_refusal_contract *contract);

/* The verdict of a request after several attempts: the worst for a retry. */
enum rk_verdict rk_verdict_join(enum rk_verdict a, enum rk_verdict b);

/* May the request be sent again after this verdict? */
bool rk_verdict_allows_retry(enum rk_verdict v, bool repeatable);

#endif
