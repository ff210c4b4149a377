/* Tests of the parser for entries of the platform's VM list. Other programs may
 * write entries, too, so a malformed one must be rejected and not used. */
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

/* Parses ENTRY with its member name set to the JSON text value, or removed if value
 * is NULL. */
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

/* Guards against fields that are lost or mixed up; unknown members are ignored. */
static void a_complete_entry_is_parsed(void **state)
{
    (void)state;
    assert_int_equal(parse_with("more", "[1]"), RK_OK);
    assert_string_equal(row.id, "i-1");
    assert_string_equal(row.addr, "10.0.0.1:80");
    assert_string_equal(row.service, "s");
    assert_string_equal(row.domain, "z");
    assert_int_equal(row.slots, 6);
    assert_false(row.leaving);
    assert_true(row.started_ms == 1764740000000);
    assert_int_equal(row.leaves_in_ms, -1);
}

/* Guards against an optional field that is required or ignored. */
static void optional_fields_are_parsed(void **state)
{
    (void)state;
    assert_int_equal(parse_with("born", NULL), RK_OK);
    assert_int_equal(row.started_ms, 0);
    assert_int_equal(parse_with("leaves_ms", "1500.5"), RK_OK);
    assert_int_equal(row.leaves_in_ms, 1500);
    assert_int_equal(parse_with("spot", "true"), RK_OK);
    assert_true(row.reclaimable);
}

/* Guards against entries without a required field, and against an error that does
 * not name it first. */
static void a_missing_field_is_rejected(void **state)
{
    (void)state;
    const char *const names[] = {"service", "address", "zone",       "version",
                                 "slots",   "state",   "coldLeftMs", "seqNo"};
    for (size_t i = 0; i < RK_ARRAY_LEN(names); i++) {
        char prefix[RK_ID_MAX];
        snprintf(prefix, sizeof(prefix), "/%s:", names[i]);
        assert_int_equal(parse_with(names[i], NULL), RK_EINVAL);
        assert_ptr_equal(strstr(rk_last_error(), prefix), rk_last_error());
    }
}

/* Guards against values that would be converted, cut off or passed on as they are.
 * The error must name the field. */
static void a_field_of_wrong_type_or_range_is_rejected(void **state)
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

/* Guards against entries that are no JSON object, or have no id. */
static void a_non_object_or_empty_id_is_rejected(void **state)
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
        cmocka_unit_test(a_complete_entry_is_parsed),
        cmocka_unit_test(optional_fields_are_parsed),
        cmocka_unit_test(a_missing_field_is_rejected),
        cmocka_unit_test(a_field_of_wrong_type_or_range_is_rejected),
        cmocka_unit_test(a_non_object_or_empty_id_is_rejected),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
