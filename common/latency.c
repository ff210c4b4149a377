#include "common/latency.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <string.h>

#include "common/util.h"

/* Per histogram. Values of further labels are counted in the last series. */
#define MAX_SERIES 96

static const int64_t bucket_bounds_ms[] = {5,   10,  25,  50,   100,  150,  250,
                                           400, 600, 800, 1000, 1500, 2500, 5000};
#define BUCKETS (RK_ARRAY_LEN(bucket_bounds_ms) + 1)

static const char *const metric_names[RK_LATENCY_COUNT] = {
    [RK_LATENCY_FIRST_BYTE] = "first_byte_ms",
    [RK_LATENCY_TOTAL] = "whole_ms",
    [RK_LATENCY_FIRST_BYTE_ERROR] = "first_byte_error_ms"};

struct series {
    char service[RK_ID_MAX];
    char outcome[RK_ID_MAX];
    atomic_uint_fast64_t buckets[BUCKETS];
    atomic_uint_fast64_t sum_ms;
};

static struct series series[RK_LATENCY_COUNT][MAX_SERIES];
static atomic_size_t series_lens[RK_LATENCY_COUNT];

static struct series *find_or_add_series(enum rk_latency_metric metric,
                                         const char *service, const char *outcome)
{
    size_t len = atomic_load(&series_lens[metric]);
    for (size_t i = 0; i < len; i++) {
        struct series *s = &series[metric][i];
        if (!strcmp(s->service, service) && !strcmp(s->outcome, outcome))
            return s;
    }
    if (len == MAX_SERIES)
        return &series[metric][len - 1];
    struct series *s = &series[metric][len];
    rk_strcpy(s->service, sizeof(s->service), service);
    rk_strcpy(s->outcome, sizeof(s->outcome), outcome);
    atomic_store(&series_lens[metric], len + 1);
    return s;
}

void rk_latency_observe(enum rk_latency_metric metric, const char *service,
                        const char *outcome, int64_t ms)
{
    struct series *s = find_or_add_series(metric, service, outcome);
    size_t i = 0;
    while (i < RK_ARRAY_LEN(bucket_bounds_ms) && ms > bucket_bounds_ms[i])
        i++;
    atomic_fetch_add_explicit(&s->buckets[i], 1, memory_order_relaxed);
    atomic_fetch_add_explicit(&s->sum_ms, (uint64_t)(ms > 0 ? ms : 0),
                              memory_order_relaxed);
}

static void render_series(struct rk_buf *out, const char *name,
                          const struct series *s)
{
    uint64_t count = 0;
    for (size_t i = 0; i < BUCKETS; i++) {
        count += atomic_load_explicit(&s->buckets[i], memory_order_relaxed);
        rk_buf_printf(out, "rillknot_%s_bucket{service=\"%s\",outcome=\"%s\",le=\"",
                      name, s->service, s->outcome);
        if (i < RK_ARRAY_LEN(bucket_bounds_ms))
            rk_buf_printf(out, "%" PRId64, bucket_bounds_ms[i]);
        else
            rk_buf_addstr(out, "+Inf");
        rk_buf_printf(out, "\"} %" PRIu64 "\n", count);
    }
    rk_buf_printf(
        out, "rillknot_%s_sum{service=\"%s\",outcome=\"%s\"} %" PRIuFAST64 "\n",
        name, s->service, s->outcome,
        atomic_load_explicit(&s->sum_ms, memory_order_relaxed));
    rk_buf_printf(out,
                  "rillknot_%s_count{service=\"%s\",outcome=\"%s\"} %" PRIu64 "\n",
                  name, s->service, s->outcome, count);
}

void rk_latency_render(struct rk_buf *out)
{
    for (int metric = 0; metric < RK_LATENCY_COUNT; metric++) {
        size_t len = atomic_load(&series_lens[metric]);
        if (len)
            rk_buf_printf(out, "# TYPE rillknot_%s histogram\n",
                          metric_names[metric]);
        for (size_t i = 0; i < len; i++)
            render_series(out, metric_names[metric], &series[metric][i]);
    }
}
