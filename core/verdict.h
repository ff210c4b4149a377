/* Verdicts: whether a request ran at an upstream, as far as it is proved. Each
 * attempt ends with one; the caller gets the one of the request, and it decides
 * whether the request may be sent again. */
#ifndef RK_CORE_VERDICT_H
#define RK_CORE_VERDICT_H

#include <stdbool.h>
#include <stdint.h>

/* Ordered from the best to the worst for a retry. */
enum rk_verdict {
    RK_NOT_RUN,      /* proved: it did not run and will not */
    RK_MAY_HAVE_RUN, /* nothing is proved */
    RK_RAN,          /* proved: it ran */
};

/* How an attempt ended, as far as the transport can know. */
struct rk_attempt_end {
    bool may_have_reached; /* a byte may have reached the upstream */
    bool answered;   /* a whole answer that belongs to the attempt was received */
    int http_status; /* 0: no answer head was received */
    int64_t cooldown_ms; /* cooldown that the upstream requested; 0: none */
};

/* Guarantees of the settings about the refusals of a service's upstreams. */
struct rk_refusal_contract {
    bool refusal_not_run; /* a 429 or 503 proves that the request did not run */
};

/* Returns the cooldown in ms that an answer requests by Retry-After, which counts
 * only on a 429 or 503; 0: none. requested_ms: the header's value; below 0: it is
 * unreadable. */
int64_t rk_attempt_cooldown_ms(long http_status, int64_t requested_ms);

/* Returns a verdict's text on the wire; static. */
const char *rk_verdict_str(enum rk_verdict v);

/* Parses that text; RK_MAY_HAVE_RUN for an unknown text or NULL. */
enum rk_verdict rk_verdict_parse(const char *s);

/* Returns the verdict of one attempt. */
enum rk_verdict rk_verdict_of(const struct rk_attempt_end *end,
                              const struct rk_refusal_contract *contract);

/* Returns the verdict of a request after two attempts: the one that is worse for a
 * retry. */
enum rk_verdict rk_verdict_worst(enum rk_verdict a, enum rk_verdict b);

/* Returns whether the request may be sent again. repeatable: its service allows it
 * to run more than once. */
bool rk_verdict_allows_retry(enum rk_verdict v, bool repeatable);

#endif
