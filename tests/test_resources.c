/* Tests of the division of a machine's descriptors and memory. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <sys/resource.h>

#include <cmocka.h>

#include "core/procfile.h"
#include "node/resources.h"

#define FEWEST_DESCRIPTORS 13 /* with which a node starts */
#define MANY_DESCRIPTORS   3075

static const struct rk_procfile file = {
    .max_connections = 3000, .max_fds = MANY_DESCRIPTORS, .memory_mb = 120};

static struct rk_resources get_with_limit(rlim_t descriptors)
{
    struct rlimit before, limit;
    getrlimit(RLIMIT_NOFILE, &before);
    limit = before;
    limit.rlim_cur = descriptors;
    assert_int_equal(setrlimit(RLIMIT_NOFILE, &limit), 0);
    const struct rk_resources r = rk_resources_get(&file);
    setrlimit(RLIMIT_NOFILE, &before);
    return r;
}

/* Guards against a node with so few descriptors that it serves callers, but refuses
 * each call that a peer forwards. */
static void each_share_is_at_least_one(void **state)
{
    (void)state;
    for (rlim_t n = FEWEST_DESCRIPTORS; n < 100; n++) {
        const struct rk_resources r = get_with_limit(n);
        assert_int_equal(r.descriptors, n);
        assert_int_equal(r.descriptor_limit, n);
        assert_true(r.callers >= 1 && r.forwards >= 1 && r.lingering >= 1);
        assert_true(r.callers + r.forwards < (int)n);
    }
}

/* Guards against shares of descriptors that the system doesn't give. */
static void the_lower_limit_is_divided(void **state)
{
    (void)state;
    struct rk_procfile small = file;
    small.max_fds = 100;
    assert_int_equal(get_with_limit(1000).descriptors, 1000);
    assert_int_equal(rk_resources_get(&small).descriptors, 100);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(each_share_is_at_least_one),
        cmocka_unit_test(the_lower_limit_is_divided),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
