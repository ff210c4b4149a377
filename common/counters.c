#include "common/counters.h"

#include <inttypes.h>
#include <stdatomic.h>
#include <stdbool.h>
#include <string.h>

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

/* Returns the length of a name without its labels. */
static int base_len(const char *name)
{
    return (int)strcspn(name, "{");
}

static bool has_same_base(const char *a, const char *b)
{
    return base_len(a) == base_len(b) && !strncmp(a, b, (size_t)base_len(a));
}

void rk_counters_render(struct rk_buf *out)
{
    for (int i = 0; i < RK_C_COUNT; i++) {
        const char *name = metrics[i].name;
        if (!i || !has_same_base(name, metrics[i - 1].name)) {
            rk_buf_printf(out, "# HELP rillknot_%.*s %s.\n", base_len(name), name,
                          metrics[i].help);
            rk_buf_printf(out, "# TYPE rillknot_%.*s counter\n", base_len(name),
                          name);
        }
        rk_buf_printf(out, "rillknot_%s %" PRIu64 "\n", name,
                      rk_counter_value((enum rk_counter)i));
    }
}
