/* Latency histograms in Prometheus text, by service and outcome. Observing is a few
 * relaxed atomics; series are made by one thread, the traffic's. */
#ifndef RK_COMMON_LATENCY_H
#define RK_COMMON_LATENCY_H

#include <stdint.h>

struct rk_buf;

enum rk_latency {
    RK_LATENCY_FIRST, /* from a call's arrival to its answer's head */
    RK_LATENCY_WHOLE, /* to the answer's end, whatever it was */
    RK_LATENCY_MISS,  /* by how much the predicted first byte was off; the outcome
                         says which way: early or late */
    RK_LATENCY_COUNT
};

/* service and outcome label the series; both are copied. Traffic thread only. */
void rk_latency_observe(enum rk_latency what, const char *service,
                        const char *outcome, int64_t ms);

/* Append all series. Any thread. */
void rk_latency_render(struct rk_buf *out);

#endif
