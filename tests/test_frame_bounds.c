/* Tests of the bounds of numbers in peers' messages. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>

#include "core/revision.h"
#include "peers/frame_bounds.h"
#include "peers/peers.pb-c.h"

#define ROWS     3
#define REVISION ((INT64_C(5) << RK_REVISION_NUMBER_BITS) + 1000)

/* A report with ROWS loads of VMs and a lease. */
struct report {
    Rillknot__Frame frame;
    Rillknot__NodeReport report;
    Rillknot__LeaseRow lease;
    Rillknot__VmUse rows[ROWS], *refs[ROWS];
    size_t removed;
    struct rk_odd_number odd;
};

static void report_init(struct report *r)
{
    *r = (struct report){.frame = RILLKNOT__FRAME__INIT,
                         .report = RILLKNOT__NODE_REPORT__INIT,
                         .lease = RILLKNOT__LEASE_ROW__INIT};
    r->frame.body_case = RILLKNOT__FRAME__BODY_NODE_REPORT;
    r->frame.node_report = &r->report;
    r->report.store_age_ms = -1;
    r->report.lease = &r->lease;
    r->lease.version = REVISION;
    r->report.vms = r->refs;
    r->report.n_vms = ROWS;
    for (int i = 0; i < ROWS; i++) {
        rillknot__vm_use__init(&r->rows[i]);
        r->rows[i].running = (uint32_t)i;
        r->rows[i].life = UINT32_MAX;
        r->rows[i].waiting_tokens = 1e6;
        r->rows[i].pace_log_sum = -3;
        r->refs[i] = &r->rows[i];
    }
}

static bool check(struct report *r)
{
    return rk_message_check_numbers(&r->frame.base, &r->removed, &r->odd);
}

/* Guards against bounds that leave out what sound nodes send. */
static void test_sound_numbers_are_kept(void **state)
{
    struct report r;
    (void)state;
    report_init(&r);
    r.report.list_revision = REVISION;
    assert_true(check(&r));
    assert_null(r.odd.message);
    assert_int_equal(r.report.n_vms, ROWS);
    assert_ptr_equal(r.report.lease, &r.lease);
}

/* Guards against one odd row that hides the sound ones, or that is used. */
static void test_a_row_with_an_odd_number_is_left_out(void **state)
{
    const double odd[] = {NAN, INFINITY, -INFINITY, 1e300};
    (void)state;
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        struct report r;
        report_init(&r);
        r.rows[1].waiting_tokens = odd[i];
        assert_true(check(&r));
        assert_int_equal(r.report.n_vms, ROWS - 1);
        assert_ptr_equal(r.report.vms[1], &r.rows[2]);
        assert_int_equal(r.removed, 1);
        assert_string_equal(r.odd.message, "VmUse");
        assert_string_equal(r.odd.field, "waiting_tokens");
    }
}

/* Guards against a lease of a version that no store has. */
static void test_a_lease_with_an_odd_version_is_left_out(void **state)
{
    struct report r;
    (void)state;
    report_init(&r);
    r.lease.version = RK_REVISION_MAX + 1;
    assert_true(check(&r));
    assert_null(r.report.lease);
}

/* Guards against a report that is used without the number that it lacks. */
static void test_a_message_with_an_odd_number_is_not_used(void **state)
{
    const int64_t odd[] = {INT64_MIN, -2, RK_REVISION_MAX + 1, INT64_MAX};
    (void)state;
    for (size_t i = 0; i < sizeof(odd) / sizeof(odd[0]); i++) {
        struct report r;
        report_init(&r);
        r.report.list_revision = odd[i];
        assert_false(check(&r));
        report_init(&r);
        r.report.store_age_ms = odd[i];
        assert_false(check(&r));
    }
}

/* Guards against a list of VMs that is taken for complete without one of its rows.
 */
static void test_a_list_with_an_odd_row_is_not_used(void **state)
{
    Rillknot__ListRow row = RILLKNOT__LIST_ROW__INIT, *refs[] = {&row};
    Rillknot__StoreText text = RILLKNOT__STORE_TEXT__INIT;
    struct rk_odd_number odd = {0};
    size_t removed = 0;
    (void)state;
    text.list = refs;
    text.n_list = 1;
    assert_true(rk_message_check_numbers(&text.base, &removed, &odd));
    row.revision = INT64_MAX;
    assert_false(rk_message_check_numbers(&text.base, &removed, &odd));
    assert_int_equal(text.n_list, 1);
}

/* Guards against a revision that makes the store's answers look old. */
static void test_a_revision_far_above_the_known_one_is_not_plausible(void **state)
{
    int64_t known = rk_revision_make(3, 1000);
    (void)state;
    assert_true(rk_revision_is_plausible(0, known, 3));
    assert_true(rk_revision_is_plausible(known + 5000, known, 3));
    assert_true(rk_revision_is_plausible(rk_revision_make(4, 900), known, 3));
    assert_true(rk_revision_is_plausible(rk_revision_make(9, 1 << 30), 0, 0));
    assert_false(rk_revision_is_plausible(known + (INT64_C(1) << 31), known, 3));
    assert_false(rk_revision_is_plausible(INT64_C(1) << 53, known, 3));
    assert_false(rk_revision_is_plausible(INT64_C(1) << 61, 0, 0));
    assert_false(rk_revision_is_plausible(-1, known, 3));
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(test_sound_numbers_are_kept),
        cmocka_unit_test(test_a_row_with_an_odd_number_is_left_out),
        cmocka_unit_test(test_a_lease_with_an_odd_version_is_left_out),
        cmocka_unit_test(test_a_message_with_an_odd_number_is_not_used),
        cmocka_unit_test(test_a_list_with_an_odd_row_is_not_used),
        cmocka_unit_test(test_a_revision_far_above_the_known_one_is_not_plausible),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
