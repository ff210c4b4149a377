#include "common/counters.h"

#include <inttypes.h>
#include <stdatomic.h>

#include "common/util.h"

static _Atomic uint64_t values[RK_C_COUNT];

static const struct {
    const char *name;
    const char *help;
} metrics[] = {
#define RK_COUNTER_INFO(id, name, help) {name, help},
    RK_COUNTERS(RK_COUNTER_INFO)
#undef RK_COUNTER_INFO
};

void rk_counter_add(enum rk_counter c, uint64_t n)
{
    atomic_fetch_add_explicit(&values[c], n, memory_order_relaxed);
}

uint64_t rk_counter_value(enum rk_counter c)
{
    return atomic_load_explicit(&values[c], memory_order_relaxed);
}

void rk_counters_render(struct rk_buf *out)
{
    for (int i = 0; i < RK_C_COUNT; i++) {
        rk_buf_printf(out, "# HELP rillknot_%s %s.\n", metrics[i].name,
                      metrics[i].help);
        rk_buf_printf(out, "# TYPE rillknot_%s counter\n", metrics[i].name);
        rk_buf_printf(out, "rillknot_%s %" PRIu64 "\n", metrics[i].name,
                      rk_counter_value((enum rk_counter)i));
    }
}
