/* The identity of a lease's holder: which holder is taken for a past incarnation of
 * a process, whose lease that process takes without waiting. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <string.h>

#include <cmocka.h>

#include "core/lease.h"

#define TTL_MS 1000
#define ADDR_A "10.1.0.14:8229"
#define ADDR_B "10.1.0.15:8229"

/* 47 bytes, the longest name that fits. */
#define LONGEST_NAME "edge-olympia-hall-katutura-state-hospital-00006"

static struct rk_lease new_lease(const char *name, const char *addr,
                                 uint64_t incarnation)
{
    struct rk_lease l = {.ttl_ms = TTL_MS};
    assert_true(rk_strcpy(l.self.name, sizeof(l.self.name), name));
    assert_true(rk_strcpy(l.self.addr, sizeof(l.self.addr), addr));
    l.self.incarnation = incarnation;
    return l;
}

/* Lets a holder take the lease. Returns the object's version and its value. */
static int64_t take_lease(struct rk_lease *l, char value[RK_LEASE_VALUE_MAX])
{
    int64_t expect, epoch;
    rk_lease_read_done(l, 0, "", 1);
    assert_true(rk_lease_next_write(l, 2, value, &expect));
    rk_lease_write_done(l, RK_OK, 1, 3);
    assert_true(rk_lease_valid(l, 4, &epoch));
    return 1;
}

/* Returns whether a process that reads the holder's lease takes it at once. */
static bool takes_at_once(const char *holder_name, const char *holder_addr,
                          const char *name, const char *addr)
{
    struct rk_lease holder = new_lease(holder_name, holder_addr, 1);
    struct rk_lease other = new_lease(name, addr, 2);
    char value[RK_LEASE_VALUE_MAX], own[RK_LEASE_VALUE_MAX];
    int64_t expect, version = take_lease(&holder, value);
    rk_lease_read_done(&other, version, value, 10);
    assert_string_equal(other.observed_holder.name, holder_name);
    assert_string_equal(other.observed_holder.addr, holder_addr);
    bool at_once = rk_lease_next_write(&other, 11, own, &expect);
    assert_true(at_once || rk_lease_next_write(&other, 12 + TTL_MS, own, &expect));
    return at_once;
}

/* Guards against a lease that is taken from a running machine whose name begins
 * like this one's: both then hold it in turn, and both order VMs. */
static void names_that_begin_alike_are_different_holders(void **state)
{
    (void)state;
    const char *first = "edge-klein-hall-windhoek-central-hospital-1";
    const char *second = "edge-klein-hall-windhoek-central-hospital-4";
    assert_false(takes_at_once(first, ADDR_A, second, ADDR_B));
    assert_false(takes_at_once(second, ADDR_A, first, ADDR_B));
    assert_false(takes_at_once("edge-1", ADDR_A, "edge-10", ADDR_B));
    assert_false(takes_at_once("edge-10", ADDR_A, "edge-1", ADDR_B));
    assert_false(takes_at_once("edge/1", ADDR_A, "edge/2", ADDR_B));
    assert_false(takes_at_once("edge", ADDR_A, "edge/2", ADDR_B));
    assert_false(takes_at_once(LONGEST_NAME, ADDR_A, "edge", ADDR_B));
}

/* Guards against a lease that is taken from a machine by its replacement, which has
 * the same name, while both run. */
static void a_name_at_another_address_is_another_holder(void **state)
{
    (void)state;
    assert_false(takes_at_once("edge-1", ADDR_A, "edge-1", ADDR_B));
    assert_false(takes_at_once("edge-1", "", "edge-1", ADDR_B));
    assert_false(takes_at_once("edge-1", "", "edge-1", ""));
    assert_false(takes_at_once("", ADDR_A, "", ADDR_B));
}

/* Guards against a restarted holder that waits for the lease of its past
 * incarnation to expire, whatever its name has in it. */
static void a_past_incarnation_is_recognised(void **state)
{
    (void)state;
    const char *names[] = {"edge-1",          "edge/1",     "/",
                           "a \"b\" \\ \x01", LONGEST_NAME, ""};
    for (size_t i = 0; i < RK_ARRAY_LEN(names); i++)
        assert_true(takes_at_once(names[i], ADDR_A, names[i], ADDR_A));
}

/* Guards against a value that does not fit, which would be stored without its end:
 * each byte of the name is escaped to six. */
static void the_longest_value_fits(void **state)
{
    (void)state;
    char name[RK_ID_MAX];
    memset(name, 1, sizeof(name) - 1);
    name[sizeof(name) - 1] = '\0';
    assert_true(takes_at_once(name, "255.255.255.255:65535", name,
                              "255.255.255.255:65535"));
}

/* Guards against a holder of an earlier or later version, or a damaged value, that
 * is taken for a past incarnation or for this process. */
static void other_values_belong_to_another_holder(void **state)
{
    (void)state;
    const char *values[] = {
        "{\"holder\":\"edge-1/0000000b\",\"epoch\":1,\"beat\":2}",
        "{\"holder\":\"edge-1\",\"addr\":\"10.1.0.14:82299\",\"epoch\":1,\"beat\":"
        "2}",
        "{\"holder\":7,\"addr\":[],\"epoch\":1,\"beat\":2}",
        "{\"holder\":null,\"epoch\":1,\"beat\":2}",
        "{\"holder\":\"" LONGEST_NAME LONGEST_NAME "/1\",\"addr\":\"" ADDR_A "\"}",
        "no JSON",
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(values); i++) {
        struct rk_lease l = new_lease("edge-1", ADDR_A, 2);
        char own[RK_LEASE_VALUE_MAX];
        int64_t expect, epoch;
        rk_lease_read_done(&l, 7, values[i], 10);
        assert_false(rk_lease_valid(&l, 11, &epoch));
        assert_false(rk_lease_next_write(&l, 11, own, &expect));
        assert_true(rk_lease_next_write(&l, 12 + TTL_MS, own, &expect));
    }
}

/* Guards against an epoch that overflows when the next one is made of it, and
 * against a write time in the future, by which a lease would never end. */
static void values_out_of_range_end_no_lease_and_overflow_nothing(void **state)
{
    (void)state;
    const char *values[] = {
        "{\"holder\":\"edge-9/1\",\"epoch\":9223372036854775807,\"beat\":2}",
        "{\"holder\":\"edge-9/1\",\"epoch\":1e300,\"beat\":2}",
        "{\"holder\":\"edge-9/1\",\"epoch\":-9223372036854775808,\"beat\":2}",
        "{\"holder\":\"edge-9/1\",\"epoch\":8,\"beat\":2}",
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(values); i++) {
        struct rk_lease l = new_lease("edge-1", ADDR_A, 2);
        char own[RK_LEASE_VALUE_MAX];
        int64_t expect, epoch;
        assert_true(rk_lease_read_done(&l, 5, "{\"epoch\":5}", 10));
        assert_false(rk_lease_read_done(&l, 7, values[i], 11));
        assert_false(rk_lease_next_write(&l, 12, own, &expect));
        assert_true(rk_lease_next_write(&l, 13 + TTL_MS, own, &expect));
        rk_lease_write_done(&l, RK_OK, 8, 14 + TTL_MS);
        assert_true(rk_lease_valid(&l, 15 + TTL_MS, &epoch));
        assert_int_equal(epoch, 8);
    }
    struct rk_lease l = new_lease("edge-1", ADDR_A, 2);
    int64_t epoch;
    l.held_epoch = 1;
    assert_true(rk_lease_read_done(&l, 1,
                                   "{\"holder\":\"edge-1/0000000000000002\","
                                   "\"addr\":\"" ADDR_A
                                   "\",\"epoch\":1,\"beat\":9223372036854775807}",
                                   10));
    assert_false(rk_lease_valid(&l, 11, &epoch));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(names_that_begin_alike_are_different_holders),
        cmocka_unit_test(a_name_at_another_address_is_another_holder),
        cmocka_unit_test(a_past_incarnation_is_recognised),
        cmocka_unit_test(the_longest_value_fits),
        cmocka_unit_test(other_values_belong_to_another_holder),
        cmocka_unit_test(values_out_of_range_end_no_lease_and_overflow_nothing),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
