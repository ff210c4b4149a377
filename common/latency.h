/* Latency histograms by service and outcome, rendered in the Prometheus text
 * format. Only the traffic thread records values; recording one is a few relaxed
 * atomic operations, so that other threads can render. */
#ifndef RK_COMMON_LATENCY_H
#define RK_COMMON_LATENCY_H

#include <stdint.h>

struct rk_buf;

enum rk_latency_metric {
    RK_LATENCY_FIRST_BYTE, /* from a call's arrival to the head of its response */
    RK_LATENCY_TOTAL,      /* from a call's arrival to its end, with any outcome */
    RK_LATENCY_FIRST_BYTE_ERROR, /* absolute error of the predicted time to first
                        byte; the outcome label is "early" or "late" */
    RK_LATENCY_COUNT
};

/* Adds a value to the histogram's series with these labels, which are copied. A
 * histogram has at most 96 series; values of any further labels are counted in the
 * last one. Only one thread of the process may call this: it creates series without
 * a lock. */
void rk_latency_observe(enum rk_latency_metric what, const char *service,
                        const char *outcome, int64_t ms);

/* Appends all series in the Prometheus text format. Any thread. */
void rk_latency_render(struct rk_buf *out);

#endif
