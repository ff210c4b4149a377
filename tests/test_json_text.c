/* Tests of common/json_text.h: what one value takes must not keep the others of a
 * text from being read. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/json_text.h"
#include "common/util.h"

#define MEMBER_LEVEL 4 /* of {"entries":[{"spec":...}]} */
#define BUDGET       (4 * 1024 * 1024)

static void add_nested(struct rk_buf *b, const char *opening, const char *closing,
                       int depth)
{
    for (int i = 0; i < depth; i++)
        rk_buf_addstr(b, opening);
    rk_buf_addstr(b, "1");
    for (int i = 0; i < depth; i++)
        rk_buf_addstr(b, closing);
}

static void add_repeated(struct rk_buf *b, const char *text, int count)
{
    rk_buf_addstr(b, "[");
    for (int i = 0; i < count; i++)
        rk_buf_addstr(b, text);
    rk_buf_addstr(b, "0]");
}

/* Builds a list of a sound entry, the odd one, and another sound one. */
static struct rk_buf build_list(const struct rk_buf *odd_spec)
{
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "{\"entries\":[{\"metadata\":{\"name\":\"a\"},\"spec\":"
                      "{\"x\":[1,{\"y\":2}]}},"
                      "{\"metadata\":{\"name\":\"odd\"},\"spec\":");
    rk_buf_add(&b, odd_spec->data, odd_spec->len);
    rk_buf_addstr(
        &b, "},{\"spec\":{\"x\":[1,{\"y\":2}]},\"metadata\":{\"name\":\"z\"}}],"
            "\"more\":true}");
    return b;
}

static void check_list(struct rk_buf *odd_spec)
{
    static const char *const names[] = {"a", "odd", "z"};
    struct rk_buf b = build_list(odd_spec);
    assert_true(rk_json_trim(b.data, b.len, MEMBER_LEVEL, BUDGET) <= BUDGET);
    struct json_object *o = rk_json_parse(b.data, b.len);
    struct json_object *rows = rk_json_get(o, "entries");
    assert_int_equal(rk_json_len(rows), RK_ARRAY_LEN(names));
    for (size_t i = 0; i < RK_ARRAY_LEN(names); i++) {
        struct json_object *row = json_object_array_get_idx(rows, i);
        assert_string_equal(rk_json_str(rk_json_get(row, "metadata"), "name"),
                            names[i]);
        if (i != 1)
            assert_string_equal(
                json_object_to_json_string_ext(rk_json_get(row, "spec"),
                                               JSON_C_TO_STRING_PLAIN),
                "{\"x\":[1,{\"y\":2}]}");
    }
    assert_true(json_object_get_boolean(rk_json_get(o, "more")));
    json_object_put(o);
    rk_buf_free(&b);
    odd_spec->len = 0;
}

/* Guards against a deep value that has the whole list counted as too large. */
static void deep_values_hide_no_others(void **state)
{
    (void)state;
    static const int depths[] = {30,  508, 509,   510,   511,    512,
                                 513, 514, 10000, 80000, 170000, 500000};
    struct rk_buf b = {0};
    for (size_t i = 0; i < RK_ARRAY_LEN(depths); i++) {
        add_nested(&b, "[", "]", depths[i]);
        check_list(&b);
        add_nested(&b, "{\"a\":", "}", depths[i]);
        check_list(&b);
        add_nested(&b, "[0,{\"]\\\"}\":[", "]}]", depths[i]);
        check_list(&b);
    }
    rk_buf_free(&b);
}

/* Guards against the same by flat values, and by members of the metadata. */
static void dense_values_hide_no_others(void **state)
{
    (void)state;
    struct rk_buf b = {0};
    for (int count = 10; count <= 1000000; count *= 10) {
        add_repeated(&b, "{},", count);
        check_list(&b);
        add_repeated(&b, "[],", count);
        check_list(&b);
        add_repeated(&b, "0,", count);
        check_list(&b);
        rk_buf_addstr(&b, "1,\"metadata\":{\"finalizers\":");
        add_repeated(&b, "{},", count);
        rk_buf_addstr(&b, ",\"name\":\"odd\"}");
        check_list(&b);
    }
    rk_buf_free(&b);
}

/* Guards against brackets and commas inside texts that are taken for values. */
static void texts_are_no_values(void **state)
{
    (void)state;
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "[\"\\\\\",\"\\\"");
    for (int i = 0; i < 1000000; i++)
        rk_buf_addstr(&b, "{");
    rk_buf_addstr(&b, "\"]");
    assert_true(rk_json_parsed_size(b.data, b.len) < 2 * b.len);
    check_list(&b);
    rk_buf_free(&b);
}

/* Guards against an end of a text inside a string or a value. */
static void texts_may_end_anywhere(void **state)
{
    (void)state;
    static const char text[] = "{\"entries\":[{\"metadata\":{\"name\":\"a\\\\\"},"
                               "\"spec\":[[[[{\"x\":\"]\\\"\"}]]]]}]}";
    for (size_t len = 0; len < sizeof(text); len++) {
        char *copy = memcpy(rk_alloc(1, len + 1), text, len);
        rk_json_trim(copy, len, MEMBER_LEVEL, 0);
        json_object_put(rk_json_parse(copy, len));
        free(copy);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(deep_values_hide_no_others),
        cmocka_unit_test(dense_values_hide_no_others),
        cmocka_unit_test(texts_are_no_values),
        cmocka_unit_test(texts_may_end_anywhere),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
