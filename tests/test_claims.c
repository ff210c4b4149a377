/* Tests of claims on keys whose owner's wall clock is wrong. */
#include <setjmp.h>
#include <stdarg.h>
#include <stddef.h>
#include <stdint.h>
#include <stdio.h>

#include <cmocka.h>

#include "core/claims.h"

#define RETENTION_MS INT64_C(86400000)
#define SET_RIGHT_MS INT64_C(1800000000000) /* a date of 2027 */
#define NOW_MS       INT64_C(10000000000)   /* of the monotonic clock */

/* A store with one slot, and the last decision. */
struct fixture {
    struct rk_claims *claims;
    unsigned slot;
    int64_t version;
    char value[4096];
    bool reads, writes;
    enum rk_claim_decision decision;
    int decisions;
};

static void read_ring(void *ctx, uint32_t shard)
{
    (void)shard;
    struct fixture *f = ctx;
    f->reads = true;
}

static void write_slot(void *ctx, uint32_t shard, unsigned slot, int64_t expect,
                       const char *value)
{
    (void)shard;
    (void)expect;
    struct fixture *f = ctx;
    f->slot = slot;
    snprintf(f->value, sizeof(f->value), "%s", value);
    f->writes = true;
}

static void read_slot(void *ctx, uint32_t shard, unsigned slot)
{
    (void)ctx;
    (void)shard;
    (void)slot;
}

static void decided(void *ctx, uint64_t ticket,
                    const struct rk_claim_result *result)
{
    (void)ticket;
    struct fixture *f = ctx;
    f->decision = result->decision;
    f->decisions++;
}

static const struct rk_claims_ops ops = {read_ring, write_slot, read_slot, decided};

static void start(struct fixture *f, uint64_t seed, size_t slot_keys)
{
    const struct rk_claims_config cfg = {.owner = "a",
                                         .retention_ms = RETENTION_MS,
                                         .claim_timeout_ms = 1000,
                                         .answer_bytes = 1000,
                                         .max_tickets = 10,
                                         .seed = seed,
                                         .slot_keys = slot_keys};
    f->claims = rk_claims_create(&cfg, &ops, f);
}

static enum rk_claim_decision claim(struct fixture *f, struct rk_claim_key key,
                                    int64_t now_ms, int64_t wall_ms)
{
    const struct rk_claim_slot_value slot = {f->slot, f->version, f->value};
    f->reads = f->writes = false;
    rk_claims_request(f->claims, 1, key, false, now_ms);
    rk_claims_tick(f->claims, now_ms, wall_ms);
    if (f->reads)
        rk_claims_on_ring(f->claims, RK_OK, &slot, f->version ? 1 : 0, now_ms,
                          wall_ms);
    if (f->writes)
        rk_claims_on_written(f->claims, RK_OK, ++f->version, now_ms, wall_ms);
    assert_true(f->decisions > 0);
    return f->decision;
}

/* Returns what a claim on a key gets at an owner that has restarted and has another
 * date by then, a second after the key ran. */
static enum rk_claim_decision claim_again(int64_t first_wall_ms, int64_t wall_ms)
{
    struct fixture f = {0};
    const struct rk_claim_key key = {.lo = 1, .hi = 2, .fingerprint = 3};
    start(&f, 1, RK_CLAIM_SLOT_KEYS);
    assert_int_equal(claim(&f, key, NOW_MS, first_wall_ms), RK_CLAIM_GRANTED);
    rk_claims_finish(f.claims, key, RK_RAN, NULL, 0);
    rk_claims_destroy(f.claims);
    f.decisions = 0;
    start(&f, 2, RK_CLAIM_SLOT_KEYS);
    enum rk_claim_decision decision = claim(&f, key, NOW_MS + 1000, wall_ms);
    rk_claims_destroy(f.claims);
    return decision;
}

/* Guards against a key that runs twice within its retention, as its owner's date
 * was that of 1970 at one of its claims. */
static void a_date_of_1970_does_not_free_keys(void **state)
{
    (void)state;
    assert_int_not_equal(claim_again(SET_RIGHT_MS, SET_RIGHT_MS + 1000),
                         RK_CLAIM_GRANTED);
    assert_int_not_equal(claim_again(SET_RIGHT_MS, 5000), RK_CLAIM_GRANTED);
    assert_int_not_equal(claim_again(5000, SET_RIGHT_MS), RK_CLAIM_GRANTED);
}

/* Guards against a key that runs twice within its retention, as its owner's date
 * was set back by more than that when another key of its slot was written. */
static void a_date_that_is_set_back_does_not_free_keys(void **state)
{
    (void)state;
    struct fixture f = {0};
    const struct rk_claim_key key = {.lo = 1, .hi = 2, .fingerprint = 3};
    const struct rk_claim_key other = {.lo = 7, .hi = 2, .fingerprint = 3};
    start(&f, 1, RK_CLAIM_SLOT_KEYS);
    assert_int_equal(claim(&f, key, NOW_MS, SET_RIGHT_MS), RK_CLAIM_GRANTED);
    assert_int_equal(
        claim(&f, other, NOW_MS + 1000, SET_RIGHT_MS - 2 * RETENTION_MS),
        RK_CLAIM_GRANTED);
    rk_claims_destroy(f.claims);
    f.decisions = 0;
    start(&f, 2, RK_CLAIM_SLOT_KEYS);
    enum rk_claim_decision decision =
        claim(&f, key, NOW_MS + 2000, SET_RIGHT_MS + 2000);
    rk_claims_destroy(f.claims);
    assert_int_not_equal(decision, RK_CLAIM_GRANTED);
}

/* Guards against keys that are never free again. */
static void a_key_past_its_retention_is_free(void **state)
{
    (void)state;
    assert_int_not_equal(claim_again(SET_RIGHT_MS, SET_RIGHT_MS + RETENTION_MS),
                         RK_CLAIM_GRANTED);
    assert_int_equal(claim_again(SET_RIGHT_MS, SET_RIGHT_MS + RETENTION_MS + 1),
                     RK_CLAIM_GRANTED);
}

/* Guards against an owner that replaces slots whose keys it has just written, as
 * its date was that of 1970 then and has been set since. */
static void a_date_that_is_set_does_not_free_slots(void **state)
{
    (void)state;
    struct fixture f = {0};
    struct rk_claim_key key = {.lo = 1, .hi = 2, .fingerprint = 3};
    start(&f, 1, 1);
    for (; key.lo <= RK_CLAIM_SLOTS; key.lo++)
        assert_int_equal(claim(&f, key, NOW_MS, 5000), RK_CLAIM_GRANTED);
    assert_int_equal(claim(&f, key, NOW_MS + 1000, SET_RIGHT_MS), RK_CLAIM_REFUSED);
    key.lo++;
    assert_int_equal(
        claim(&f, key, NOW_MS + RETENTION_MS + 1, SET_RIGHT_MS + RETENTION_MS),
        RK_CLAIM_GRANTED);
    rk_claims_destroy(f.claims);
}

/* Guards against an owner that ends by what another writer has put into a slot. */
static void odd_slots_end_no_owner(void **state)
{
    (void)state;
    static const char *const values[] = {
        "",
        "null",
        "7",
        "[]",
        "{\"keys\":7}",
        "{\"keys\":{}}",
        "{\"keys\":\"x\"}",
        "{\"keys\":[null,7,{},[],\"x\"],\"seq\":9}",
        "{\"keys\":null,\"nonce\":null,\"sealed\":[]}",
        "{\"seq\":99999999999999999999999,\"epoch\":1e999}",
    };
    const struct rk_claim_key key = {.lo = 1, .hi = 2, .fingerprint = 3};
    for (size_t i = 0; i < RK_ARRAY_LEN(values); i++) {
        struct fixture f = {.version = 1};
        rk_strcpy(f.value, sizeof(f.value), values[i]);
        start(&f, 1, RK_CLAIM_SLOT_KEYS);
        claim(&f, key, NOW_MS, SET_RIGHT_MS);
        rk_claims_destroy(f.claims);
    }
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_date_of_1970_does_not_free_keys),
        cmocka_unit_test(a_date_that_is_set_back_does_not_free_keys),
        cmocka_unit_test(a_key_past_its_retention_is_free),
        cmocka_unit_test(a_date_that_is_set_does_not_free_slots),
        cmocka_unit_test(odd_slots_end_no_owner),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
