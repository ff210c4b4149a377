/* Unit tests of the table of streams' versions: what a node may conclude from its
 * list of VMs, and whether those that are asked include those that were told. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "core/stream_records.h"
#include "core/stream_versions.h"

#define LIFETIME_MS 20000

static void list(struct rk_stream_versions *s, int64_t now_ms, const char *versions)
{
    rk_stream_versions_begin_list(s);
    for (const char *v = versions; *v; v++)
        rk_stream_versions_note_listed(s, "llm", (char[]){*v, 0});
    rk_stream_versions_end_list(s, now_ms);
}

/* Follows the list of VMs without a gap up to now_ms. */
static void follow(struct rk_stream_versions *s, int64_t now_ms)
{
    while (s->confirmed_ms + 1000 < now_ms)
        rk_stream_versions_confirm_list(s, s->confirmed_ms + 1000);
    rk_stream_versions_confirm_list(s, now_ms);
}

static struct rk_stream_versions create(bool first_start)
{
    struct rk_stream_versions s;
    rk_stream_versions_init(&s, 1000, first_start);
    rk_stream_versions_set_lifetime(&s, LIFETIME_MS);
    return s;
}

static void check_state(struct rk_stream_versions *s, int64_t now_ms,
                        enum rk_service_versions state, const char *only)
{
    const char *found = "";
    follow(s, now_ms);
    assert_int_equal(rk_stream_versions_of_service(s, "llm", &found, now_ms),
                     state);
    assert_string_equal(found, only);
}

/* Guards against a version that is guessed while streams of another one can still
 * be taken up. */
static void a_version_counts_for_the_lifetime_of_its_streams(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    check_state(&s, 1000, RK_VERSIONS_UNSURE, "");
    list(&s, 1000, "1");
    check_state(&s, 1000, RK_VERSIONS_ONE, "1");
    list(&s, 2000, "112");
    check_state(&s, 2000, RK_VERSIONS_SEVERAL, "");
    list(&s, 3000, "2");
    check_state(&s, 3000 + LIFETIME_MS - 1, RK_VERSIONS_SEVERAL, "");
    check_state(&s, 3000 + LIFETIME_MS, RK_VERSIONS_ONE, "2");
    list(&s, 50000, "");
    check_state(&s, 50000, RK_VERSIONS_ONE, "2");
    list(&s, 51000, "3");
    check_state(&s, 51000, RK_VERSIONS_SEVERAL, "");
    check_state(&s, 50000 + LIFETIME_MS, RK_VERSIONS_ONE, "3");
    rk_stream_versions_free(&s);
}

/* Guards against a restarted node that takes the one version on its list for the
 * only one that has served. */
static void a_restarted_node_is_unsure_until_it_has_watched(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(false);
    list(&s, 1000, "1");
    check_state(&s, 1000, RK_VERSIONS_UNSURE, "");
    check_state(&s, 1000 + LIFETIME_MS, RK_VERSIONS_ONE, "1");
    rk_stream_versions_note_only(&s, "llm", "1", 0, 2000);
    check_state(&s, 2000, RK_VERSIONS_ONE, "1");
    list(&s, 3000, "12");
    check_state(&s, 3000, RK_VERSIONS_SEVERAL, "");
    rk_stream_versions_free(&s);
    /* The only version before the restart is not the one that is listed. */
    s = create(false);
    rk_stream_versions_note_only(&s, "llm", "1", 0, 1000);
    list(&s, 1100, "2");
    check_state(&s, 1100, RK_VERSIONS_SEVERAL, "");
    rk_stream_versions_free(&s);
}

/* Guards against a restarted node that takes the version on its list for the only
 * one before the settings say how long streams can be taken up, and tells peers so.
 */
static void nothing_is_concluded_before_the_lifetime_is_known(void **state)
{
    (void)state;
    for (int first_start = 0; first_start < 2; first_start++) {
        struct rk_stream_versions s;
        rk_stream_versions_init(&s, 1000, first_start);
        list(&s, 1000, "2");
        check_state(&s, 1001, RK_VERSIONS_UNSURE, "");
        rk_stream_versions_free(&s);
    }
}

/* Guards against a version that is taken for the only one although another one may
 * have come and left while the list of VMs was not followed. */
static void a_gap_in_the_list_leaves_versions_unsure(void **state)
{
    (void)state;
    const char *only;
    for (int first_start = 0; first_start < 2; first_start++) {
        struct rk_stream_versions s = create(first_start);
        list(&s, 1000, "1");
        rk_stream_versions_note_only(&s, "llm", "1", 0, 1000);
        check_state(&s, 1500, RK_VERSIONS_ONE, "1");
        int64_t old_ms = 1500 + RK_STREAM_LIST_AGE_MAX_MS;
        assert_int_equal(rk_stream_versions_of_service(&s, "llm", &only, old_ms),
                         RK_VERSIONS_ONE);
        assert_int_equal(
            rk_stream_versions_of_service(&s, "llm", &only, old_ms + 1),
            RK_VERSIONS_UNSURE);
        rk_stream_versions_confirm_list(&s, 10000);
        check_state(&s, 10000, RK_VERSIONS_UNSURE, "");
        check_state(&s, 9999 + LIFETIME_MS, RK_VERSIONS_UNSURE, "");
        check_state(&s, 10000 + LIFETIME_MS, RK_VERSIONS_ONE, "1");
        rk_stream_versions_free(&s);
    }
}

/* Sets the routing of "llm", and that of "other" unless its hash is 0. */
static void set_routings(struct rk_stream_versions *s, uint64_t hash,
                         uint64_t other_hash, int64_t now_ms)
{
    struct rk_service_routing *rows = rk_alloc(2, sizeof(*rows));
    rows[0].service_hash = rk_hash_str(0, "llm");
    rows[0].hash = hash;
    rows[1].service_hash = rk_hash_str(0, "other");
    rows[1].hash = other_hash;
    rk_stream_versions_set_routings(s, rows, other_hash ? 2 : 1, now_ms);
}

static void set_routing(struct rk_stream_versions *s, uint64_t hash, int64_t now_ms)
{
    set_routings(s, hash, 0, now_ms);
}

/* Guards against a service's only version that is taken for that of a stream which
 * began at another service, as requests were routed there before. */
static void a_change_of_routing_leaves_versions_unsure(void **state)
{
    (void)state;
    for (int first_start = 0; first_start < 2; first_start++) {
        struct rk_stream_versions s = create(first_start);
        set_routing(&s, 7, 1000);
        list(&s, 1000, "1");
        rk_stream_versions_note_only(&s, "llm", "1", 7, 1000);
        check_state(&s, 1500, RK_VERSIONS_ONE, "1");
        set_routing(&s, 7, 2000);
        check_state(&s, 2000, RK_VERSIONS_ONE, "1");
        set_routing(&s, 8, 3000);
        check_state(&s, 3000, RK_VERSIONS_UNSURE, "");
        set_routing(&s, 7, 4000);
        check_state(&s, 3999 + LIFETIME_MS, RK_VERSIONS_UNSURE, "");
        check_state(&s, 4000 + LIFETIME_MS, RK_VERSIONS_ONE, "1");
        rk_stream_versions_free(&s);
    }
}

/* Guards against streams that are rejected after a change of another service's
 * routes, and against a service that came with a change of routes and is taken for
 * one that nothing has changed for. */
static void a_change_of_routing_is_that_of_a_service(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    const char *only;
    list(&s, 1000, "1");
    set_routing(&s, 7, 1000);
    set_routings(&s, 7, 5, 2000);
    check_state(&s, 2000, RK_VERSIONS_ONE, "1");
    rk_stream_versions_begin_list(&s);
    rk_stream_versions_note_listed(&s, "llm", "1");
    rk_stream_versions_note_listed(&s, "other", "2");
    rk_stream_versions_end_list(&s, 2000);
    assert_int_equal(rk_stream_versions_of_service(&s, "other", &only, 2000),
                     RK_VERSIONS_UNSURE);
    /* A service that left the settings and returned has changed, too. */
    rk_stream_versions_set_routings(&s, NULL, 0, 2200);
    set_routing(&s, 7, 2500);
    check_state(&s, 2500, RK_VERSIONS_UNSURE, "");
    rk_stream_versions_free(&s);
}

/* Guards against a peer's or a record's only version that is believed although it
 * was observed with other routes, or with routes that it does not name. */
static void an_only_version_holds_with_the_routing_it_was_seen_with(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(false);
    rk_stream_versions_note_only(&s, "llm", "1", 7, 1000);
    list(&s, 1000, "1");
    set_routing(&s, 8, 1000);
    check_state(&s, 1100, RK_VERSIONS_UNSURE, "");
    rk_stream_versions_note_only(&s, "llm", "1", 0, 1200);
    check_state(&s, 1200, RK_VERSIONS_UNSURE, "");
    rk_stream_versions_note_only(&s, "llm", "1", 8, 1300);
    check_state(&s, 1300, RK_VERSIONS_ONE, "1");
    rk_stream_versions_free(&s);
}

static void check_verdict(struct rk_stream_versions *s,
                          const struct rk_stream_inquiry *q, int64_t now_ms,
                          enum rk_stream_verdict verdict)
{
    const char *only = "";
    assert_int_equal(rk_stream_versions_judge(s, "llm", q, &only, now_ms), verdict);
    if (verdict == RK_STREAM_GOES_ON)
        assert_string_equal(only, "1");
}

/* Guards against a stream that goes on at another version because peers did not
 * answer and the list of VMs is older than the stream. */
static void silence_of_peers_is_no_proof_of_one_version(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    struct rk_stream_inquiry q = {.arrived_ms = 2000};
    list(&s, 1000, "1");
    check_verdict(&s, &q, 2000, RK_STREAM_UNCHECKED);
    /* What counts is when the store was asked, not when it has answered. */
    rk_stream_versions_confirm_list(&s, 2005);
    check_verdict(&s, &q, 2010, RK_STREAM_UNCHECKED);
    rk_stream_versions_note_checked(&s, 1999);
    check_verdict(&s, &q, 2010, RK_STREAM_UNCHECKED);
    rk_stream_versions_note_checked(&s, 2000);
    check_verdict(&s, &q, 2010, RK_STREAM_GOES_ON);
    list(&s, 2020, "12");
    check_verdict(&s, &q, 2020, RK_STREAM_UNKNOWN);
    rk_stream_versions_free(&s);
}

/* Guards against a peer's word that counts less than this node's own list. */
static void a_peer_that_knows_more_is_believed(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    struct rk_stream_inquiry q = {.arrived_ms = 1000};
    list(&s, 1000, "1");
    rk_stream_versions_note_checked(&s, 1000);
    q.saw_several = true;
    check_verdict(&s, &q, 1000, RK_STREAM_UNKNOWN);
    q.saw_several = false;
    rk_strcpy(q.only, sizeof(q.only), "1");
    check_verdict(&s, &q, 1000, RK_STREAM_GOES_ON);
    rk_strcpy(q.only, sizeof(q.only), "2");
    check_verdict(&s, &q, 1000, RK_STREAM_UNKNOWN);
    rk_stream_versions_free(&s);
}

/* Guards against versions that served unnoticed between two updates of the list. */
static void versions_between_two_updates_are_noted(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    list(&s, 1000, "1");
    rk_stream_versions_note_past(&s, "llm", "1", 1500);
    check_state(&s, 1500, RK_VERSIONS_ONE, "1");
    rk_stream_versions_note_past(&s, "llm", "2", 2000);
    check_state(&s, 1999 + LIFETIME_MS, RK_VERSIONS_SEVERAL, "");
    check_state(&s, 2000 + LIFETIME_MS, RK_VERSIONS_ONE, "1");
    rk_stream_versions_note_gap(&s, 30000);
    check_state(&s, 30000, RK_VERSIONS_UNSURE, "");
    check_state(&s, 30000 + LIFETIME_MS, RK_VERSIONS_ONE, "1");
    rk_stream_versions_free(&s);
}

/* Guards against a version that is taken for the only one while a silent node may
 * still begin streams by the list, or the routes, from before a change. */
static void a_silent_node_may_serve_by_an_old_list(void **state)
{
    (void)state;
    const int64_t long_ms = 100000, back_ms = 3000 + long_ms;
    struct rk_stream_versions s = create(true);
    list(&s, 1000, "12");
    set_routing(&s, 7, 1000);
    list(&s, 3000, "2");
    for (int64_t t = 3000; t <= back_ms; t += 250)
        rk_stream_versions_note_silent(&s, 2000, t);
    check_state(&s, back_ms, RK_VERSIONS_SEVERAL, "");
    check_state(&s, back_ms + LIFETIME_MS, RK_VERSIONS_ONE, "2");
    /* It has heard of what came long before. */
    int64_t now_ms = back_ms + LIFETIME_MS;
    rk_stream_versions_note_silent(&s, now_ms, now_ms);
    check_state(&s, now_ms, RK_VERSIONS_ONE, "2");
    set_routing(&s, 8, now_ms + 1000);
    for (int64_t t = now_ms + 1000; t <= now_ms + long_ms; t += 250)
        rk_stream_versions_note_silent(&s, now_ms, t);
    check_state(&s, now_ms + long_ms, RK_VERSIONS_UNSURE, "");
    check_state(&s, now_ms + long_ms + LIFETIME_MS, RK_VERSIONS_ONE, "2");
    rk_stream_versions_free(&s);
}

/* Guards against streams that are forgotten, kept for ever, or confused. */
static void streams_are_kept_until_they_expire(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    char id[16];
    for (int i = 0; i < 5000; i++) {
        snprintf(id, sizeof(id), "r%d", i);
        rk_stream_versions_note(&s, rk_stream_hash("a", "llm", id), "llm",
                                i % 2 ? "1" : "2", 1000 + i, 0);
    }
    for (int i = 0; i < 5000; i++) {
        snprintf(id, sizeof(id), "r%d", i);
        uint64_t stream = rk_stream_hash("a", "llm", id);
        const struct rk_stream_version *e =
            rk_stream_versions_find(&s, stream, 3000);
        assert_int_equal(e != NULL, 1000 + i > 3000);
        if (e)
            assert_string_equal(e->version, i % 2 ? "1" : "2");
        assert_null(rk_stream_versions_find(&s, rk_stream_hash("b", "llm", id), 0));
        assert_null(
            rk_stream_versions_find(&s, rk_stream_hash("a", "other", id), 0));
    }
    rk_stream_versions_expire(&s, 3000);
    assert_int_equal(s.used, 5000 - 2001);
    rk_stream_versions_expire(&s, 6000);
    assert_int_equal(s.used, 0);
    rk_stream_versions_free(&s);
}

/* Guards against streams that began before another version came, and that no peer
 * is told of. */
static void streams_are_pending_once_another_version_comes(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    size_t at = 0;
    list(&s, 1000, "1");
    rk_stream_versions_note(&s, 7, "llm", "1", LIFETIME_MS, 1000);
    rk_stream_versions_note(&s, 8, NULL, "1", LIFETIME_MS, 1000); /* a peer's */
    assert_null(rk_stream_versions_next_pending(&s, &at, 1000));
    list(&s, 2000, "12");
    at = 0;
    struct rk_stream_version *e = rk_stream_versions_next_pending(&s, &at, 2000);
    assert_non_null(e);
    assert_int_equal(e->stream, 7);
    assert_null(rk_stream_versions_next_pending(&s, &at, 2000));
    e->is_told = true;
    at = 0;
    assert_null(rk_stream_versions_next_pending(&s, &at, 2000));
    rk_stream_versions_free(&s);
}

/* Fills in the peers of one node: all nodes but itself. Returns their number. */
static size_t peers_of(int node, int nodes, int domains, struct rk_stream_peer *out)
{
    size_t len = 0;
    for (int i = 0; i < nodes; i++) {
        uint64_t domain = (uint64_t)(i % domains) + 1;
        if (i != node)
            out[len++] = (struct rk_stream_peer){.hash = rk_hash(5, &i, sizeof(i)),
                                                 .domain_hash = domain};
    }
    return len;
}

static bool is_asked(uint64_t holder, const struct rk_stream_peer *const *asked,
                     size_t len)
{
    for (size_t i = 0; i < len; i++)
        if (asked[i]->hash == holder)
            return true;
    return false;
}

/* Guards against a node that doesn't ask the peers that were told, in fleets of any
 * size and number of failure domains, and against both being in one domain. */
static void those_that_were_told_are_asked(void **state)
{
    (void)state;
    struct rk_stream_peer peers[RK_STREAM_PEERS_MAX];
    const struct rk_stream_peer *holders[RK_STREAM_HOLDERS];
    const struct rk_stream_peer *asked[RK_STREAM_ASKED_MAX];
    for (int domains = 1; domains <= 7; domains++) {
        for (int nodes = 2; nodes <= 24; nodes++) {
            for (uint64_t stream = 1; stream < 40; stream++) {
                int origin = (int)(stream % (uint64_t)nodes);
                int asker = (origin + 1 + (int)stream) % nodes;
                size_t len = peers_of(origin, nodes, domains, peers);
                size_t told = rk_stream_holders(
                    peers, len, stream, (uint64_t)(origin % domains) + 1, holders);
                assert_int_equal(told, nodes > 2 ? 2 : 1);
                if (domains > 1 && nodes > 3)
                    assert_int_not_equal(holders[0]->domain_hash,
                                         holders[1]->domain_hash);
                uint64_t hashes[RK_STREAM_HOLDERS];
                for (size_t i = 0; i < told; i++)
                    hashes[i] = holders[i]->hash;
                len = peers_of(asker, nodes, domains, peers);
                size_t n = rk_stream_peers_to_ask(peers, len, stream, asked);
                uint64_t own = rk_hash(5, &asker, sizeof(asker));
                /* In a single domain, the origin may take the place of the second
                 * one, and knows the stream. */
                for (size_t i = 0; i < (domains > 1 ? told : 1); i++)
                    assert_true(asker == origin || hashes[i] == own ||
                                is_asked(hashes[i], asked, n));
            }
        }
    }
}

/* Returns the streams of a table's record, as read age_ms later. */
static size_t pack_and_unpack(struct rk_stream_versions *s, int64_t now_ms,
                              int64_t age_ms, struct rk_stream_record **out)
{
    struct rk_buf b = {0};
    size_t skipped, packed = rk_stream_records_pack(s, now_ms, &b);
    assert_true(b.len <= RK_STREAM_RECORD_MAX_BYTES);
    struct json_object *groups = json_tokener_parse(b.data);
    size_t len = rk_stream_records_unpack(groups, age_ms, out, &skipped);
    assert_int_equal(skipped, 0);
    assert_true(len <= packed);
    json_object_put(groups);
    rk_buf_free(&b);
    return len;
}

/* Guards against records that change a stream's version or make it live longer, and
 * that list streams which nobody needs to be told. */
static void a_record_keeps_version_and_lifetime(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    struct rk_stream_record *out;
    list(&s, 0, "1");
    rk_stream_versions_note(&s, 1, "llm", "1", LIFETIME_MS, 0);
    assert_int_equal(pack_and_unpack(&s, 0, 0, &out), 0); /* one version only */
    free(out);
    list(&s, 0, "12");
    rk_stream_versions_note(&s, UINT64_MAX, NULL, "\"\\", 5999, 0);
    rk_stream_versions_note(&s, 3, NULL, "1", LIFETIME_MS - 1, 0);
    rk_stream_versions_note(&s, 4, NULL, "1", RK_MS_PER_S - 1, 0); /* too short */
    assert_int_equal(pack_and_unpack(&s, 1, 2000, &out), 3);
    for (size_t i = 0; i < 3; i++) {
        const struct rk_stream_version *e =
            rk_stream_versions_find(&s, out[i].stream, 0);
        assert_string_equal(out[i].version, e->version);
        assert_true(out[i].ttl_ms > 0 && out[i].ttl_ms <= e->expires_ms - 2001);
    }
    free(out);
    assert_int_equal(pack_and_unpack(&s, 1, 5000, &out), 2);
    free(out);
    assert_int_equal(pack_and_unpack(&s, 1, LIFETIME_MS, &out), 0);
    free(out);
    /* The clock of the writer is ahead. */
    assert_int_equal(pack_and_unpack(&s, 1, -60000, &out), 3);
    assert_true(out[0].ttl_ms <= LIFETIME_MS);
    free(out);
    rk_stream_versions_free(&s);
}

/* Guards against a record that the store refuses for its size, and one that then
 * lacks the newest streams. */
static void a_record_is_bounded_and_keeps_the_newest(void **state)
{
    (void)state;
    struct rk_stream_versions s = create(true);
    struct rk_stream_record *out;
    for (uint64_t i = 1; i <= RK_STREAMS_MAX; i++)
        rk_stream_versions_note(&s, i << 32 | i, NULL, i % 2 ? "1" : "2",
                                2000 + (int64_t)i, 0);
    size_t len = pack_and_unpack(&s, 0, 0, &out);
    assert_true(len > RK_STREAMS_MAX / 4 && len < RK_STREAMS_MAX);
    for (size_t i = 0; i < len; i++)
        assert_true((out[i].stream >> 32) > RK_STREAMS_MAX - len - RK_MS_PER_S);
    free(out);
    rk_stream_versions_free(&s);
}

/* Guards against streams that are written with a lifetime which no reader takes. */
static void long_lifetimes_are_recorded_as_the_longest_one(void **state)
{
    (void)state;
    const int64_t day_ms = 24 * 3600 * RK_MS_PER_S;
    struct rk_stream_versions s = create(true);
    struct rk_stream_record *rows;
    rk_stream_versions_note(&s, 7, NULL, "1", day_ms, 0);
    assert_int_equal(pack_and_unpack(&s, 1, 0, &rows), 1);
    assert_int_equal(rows[0].ttl_ms, RK_STREAM_RECORD_TTL_MAX_MS);
    free(rows);
    rk_stream_versions_free(&s);
}

/* Guards against a node that ends at a record of odd contents, or believes it. */
static void odd_records_are_skipped(void **state)
{
    (void)state;
    static const char *const odd[] = {
        "null",
        "{}",
        "[]",
        "\"x\"",
        "[null, 1, [], {}, \"x\"]",
        "[{\"version\":\"1\",\"ttl_ms\":5000,\"streams\":\"\"}]",
        "[{\"version\":\"1\",\"ttl_ms\":5000,\"streams\":[1]}]",
        "[{\"version\":\"1\",\"ttl_ms\":5000,\"streams\":\"00000000000000a\"}]",
        "[{\"version\":\"1\",\"ttl_ms\":5000,\"streams\":\"00000000000000aG\"}]",
        "[{\"version\":\"1\",\"ttl_ms\":5000,\"streams\":\"0000000000000000\"}]",
        "[{\"version\":\"\",\"ttl_ms\":5000,\"streams\":\"00000000000000ab\"}]",
        "[{\"version\":7,\"ttl_ms\":5000,\"streams\":\"00000000000000ab\"}]",
        "[{\"version\":\"12345678901234567890123456789012345\",\"ttl_ms\":5000,"
        "\"streams\":\"00000000000000ab\"}]",
        "[{\"version\":\"1\",\"streams\":\"00000000000000ab\"}]",
        "[{\"version\":\"1\",\"ttl_ms\":-1,\"streams\":\"00000000000000ab\"}]",
        "[{\"version\":\"1\",\"ttl_ms\":9223372036854775807,"
        "\"streams\":\"00000000000000ab\"}]",
        "[{\"version\":\"1\",\"ttl_ms\":5000,"
        "\"streams\":\"00000000000000ab\\u000000000000000ac\"}]",
    };
    struct rk_stream_record *out;
    size_t skipped;
    for (size_t i = 0; i < RK_ARRAY_LEN(odd); i++) {
        struct json_object *groups = json_tokener_parse(odd[i]);
        int64_t age_ms = i % 2 ? INT64_MAX : INT64_MIN;
        size_t len = rk_stream_records_unpack(groups, age_ms, &out, &skipped);
        assert_int_equal(skipped, rk_json_len(groups));
        assert_int_equal(len, 0);
        free(out);
        json_object_put(groups);
    }
    struct json_object *groups = json_tokener_parse(
        "[1, "
        "{\"version\":\"1\",\"ttl_ms\":5000,\"streams\":\"00000000000000ab\"}]");
    assert_int_equal(rk_stream_records_unpack(groups, 0, &out, &skipped), 1);
    assert_int_equal(out[0].stream, 0xab);
    assert_int_equal(skipped, 1);
    free(out);
    json_object_put(groups);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_version_counts_for_the_lifetime_of_its_streams),
        cmocka_unit_test(a_restarted_node_is_unsure_until_it_has_watched),
        cmocka_unit_test(nothing_is_concluded_before_the_lifetime_is_known),
        cmocka_unit_test(a_gap_in_the_list_leaves_versions_unsure),
        cmocka_unit_test(a_change_of_routing_leaves_versions_unsure),
        cmocka_unit_test(a_change_of_routing_is_that_of_a_service),
        cmocka_unit_test(an_only_version_holds_with_the_routing_it_was_seen_with),
        cmocka_unit_test(silence_of_peers_is_no_proof_of_one_version),
        cmocka_unit_test(a_peer_that_knows_more_is_believed),
        cmocka_unit_test(versions_between_two_updates_are_noted),
        cmocka_unit_test(a_silent_node_may_serve_by_an_old_list),
        cmocka_unit_test(streams_are_kept_until_they_expire),
        cmocka_unit_test(streams_are_pending_once_another_version_comes),
        cmocka_unit_test(those_that_were_told_are_asked),
        cmocka_unit_test(a_record_keeps_version_and_lifetime),
        cmocka_unit_test(a_record_is_bounded_and_keeps_the_newest),
        cmocka_unit_test(long_lifetimes_are_recorded_as_the_longest_one),
        cmocka_unit_test(odd_records_are_skipped),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
