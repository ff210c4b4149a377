/* Entries of the platform's list of vms, some of another writer: which name a vm.
 */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#include <cmocka.h>
#include <json-c/json.h>

#include "common/status.h"
#include "core/place.h"
#include "platform/drivers.h"

#define ENTRY                                                                      \
    "{\"service\":\"s\",\"address\":\"10.0.0.1:80\",\"zone\":\"z\","               \
    "\"version\":\"v1\",\"slots\":6,\"state\":\"ready\",\"coldLeftMs\":0,"         \
    "\"seqNo\":4,\"born\":1764740000000}"

static struct rk_vm_row row;

/* The entry with a member in place of its own; value NULL: without it. */
static enum rk_status parse_with(const char *name, const char *value)
{
    struct json_object *o = json_tokener_parse(ENTRY);
    assert_non_null(o);
    if (value)
        json_object_object_add(o, name, json_tokener_parse(value));
    else
        json_object_object_del(o, name);
    enum rk_status st = rk_hosted_parse_vm("i-1", o, &row);
    json_object_put(o);
    return st;
}

static void an_entry_as_the_platform_says_names_a_vm(void **state)
{
    (void)state;
    assert_int_equal(parse_with("more", "[1]"), RK_OK);
    assert_string_equal(row.id, "i-1");
    assert_string_equal(row.addr, "10.0.0.1:80");
    assert_string_equal(row.service, "s");
    assert_string_equal(row.domain, "z");
    assert_int_equal(row.slots, 6);
    assert_false(row.leaving);
    assert_true(row.born_ms == 1764740000000);
    assert_int_equal(row.leaves_in_ms, -1);
}

static void what_may_be_left_out(void **state)
{
    (void)state;
    assert_int_equal(parse_with("born", NULL), RK_OK);
    assert_int_equal(row.born_ms, 0);
    assert_int_equal(parse_with("leaves_ms", "1500.5"), RK_OK);
    assert_int_equal(row.leaves_in_ms, 1500);
    assert_int_equal(parse_with("spot", "true"), RK_OK);
    assert_true(row.reclaimable);
}

static void a_field_that_is_missing_names_none(void **state)
{
    (void)state;
    const char *const names[] = {"service", "address", "zone",       "version",
                                 "slots",   "state",   "coldLeftMs", "seqNo"};
    for (size_t i = 0; i < RK_ARRAY_LEN(names); i++) {
        char start[RK_ID_MAX];
        snprintf(start, sizeof(start), "/%s:", names[i]);
        assert_int_equal(parse_with(names[i], NULL), RK_EINVAL);
        assert_ptr_equal(strstr(rk_last_error(), start), rk_last_error());
    }
}

static void a_field_of_another_type_or_range_names_none(void **state)
{
    (void)state;
    const struct {
        const char *name, *value;
    } bad[] = {
        {"service", "5"},
        {"service", "\"\""},
        {"service", "\"a\\u0000b\""},
        {"service", "\"01234567890123456789012345678901234567890123456789\""},
        {"address", "\"10.0.0.1\""},
        {"address", "\"10.0.0.1:0\""},
        {"address", "\"0.0.0.0:80\""},
        {"address", "\"10.0.0.1:70000\""},
        {"address", "\"nowhere:80\""},
        {"address", "[\"10.0.0.1:80\"]"},
        {"zone", "{}"},
        {"version", "2"},
        {"state", "\"starting\""},
        {"state", "true"},
        {"slots", "0"},
        {"slots", "-3"},
        {"slots", "1.5"},
        {"slots", "1e300"},
        {"slots", "\"6\""},
        {"slots", "9223372036854775807"},
        {"coldLeftMs", "-1"},
        {"coldLeftMs", "\"0\""},
        {"coldLeftMs", "1e30"},
        {"seqNo", "\"x\""},
        {"spot", "1"},
        {"leaves_ms", "\"soon\""},
        {"leaves_ms", "-5"},
        {"born", "1.5"},
        {"born", "-1"},
        {"born", "\"1764740000000\""},
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(bad); i++) {
        if (parse_with(bad[i].name, bad[i].value) != RK_EINVAL)
            fail_msg("%s: %s was taken", bad[i].name, bad[i].value);
        assert_non_null(strstr(rk_last_error(), bad[i].name));
    }
}

static void what_is_no_object_names_none(void **state)
{
    (void)state;
    const char *const specs[] = {"[]", "\"ready\"", "5", "null", "true"};
    for (size_t i = 0; i < RK_ARRAY_LEN(specs); i++) {
        struct json_object *o = json_tokener_parse(specs[i]);
        assert_int_equal(rk_hosted_parse_vm("i-1", o, &row), RK_EINVAL);
        json_object_put(o);
    }
    struct json_object *o = json_tokener_parse(ENTRY);
    assert_int_equal(rk_hosted_parse_vm("", o, &row), RK_EINVAL);
    json_object_put(o);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(an_entry_as_the_platform_says_names_a_vm),
        cmocka_unit_test(what_may_be_left_out),
        cmocka_unit_test(a_field_that_is_missing_names_none),
        cmocka_unit_test(a_field_of_another_type_or_range_names_none),
        cmocka_unit_test(what_is_no_object_names_none),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
