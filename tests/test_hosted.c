/* Unit tests of the data that hosted nodes decide by: routes, usage counts and
 * event streams. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/event_splitter.h"
#include "core/routes.h"
#include "core/usage.h"
#include "core/usage_growth.h"

/* ---- routes ---- */

static void add_route(struct rk_routes *r, const char *name, const char *host,
                      const char *prefix, const char *service)
{
    struct rk_route *route = rk_routes_add_route(r);
    rk_strcpy(route->name, sizeof(route->name), name);
    rk_strcpy(route->host, sizeof(route->host), host);
    rk_strcpy(route->prefix, sizeof(route->prefix), prefix);
    route->timeout_ms = 1000;
    route->max_attempts = 1;
    rk_strcpy(route->shares[0].service, RK_ID_MAX, service);
    route->shares[0].weight = 1;
    route->shares_len = 1;
}

static struct rk_routes *make_routes(void)
{
    struct rk_routes *r = rk_routes_create();
    r->limits = (struct rk_caller_limits){8192, 65536, 1000, 5000};
    rk_strcpy(rk_routes_add_service(r)->name, RK_ID_MAX, "slots");
    add_route(r, "short", "a.example", "/x/", "slots");
    add_route(r, "long", "a.example", "/x/y/", "slots");
    add_route(r, "other", "b.example", "/x/", "slots");
    return r;
}

static const char *found_name(const struct rk_routes *r, const char *host,
                              const char *path)
{
    const struct rk_route *route = rk_routes_find(r, host, path);
    return route ? route->name : "none";
}

/* Guards against requests that follow the route of another host or of a shorter
 * prefix. */
static void longest_prefix_of_the_host_wins(void **state)
{
    (void)state;
    struct rk_routes *r = make_routes();
    assert_int_equal(rk_routes_finish(r), RK_OK);
    assert_string_equal(found_name(r, "a.example", "/x/1"), "short");
    assert_string_equal(found_name(r, "a.example", "/x/y/1"), "long");
    assert_string_equal(found_name(r, "A.Example:80", "/x/y/"), "long");
    assert_string_equal(found_name(r, "b.example", "/x/y/1"), "other");
    assert_string_equal(found_name(r, "a.example", "/x"), "none");
    assert_string_equal(found_name(r, "a.example", "/z/"), "none");
    assert_string_equal(found_name(r, "c.example", "/x/1"), "none");
    assert_string_equal(found_name(r, "a.example.org", "/x/1"), "none");
    rk_routes_unref(r);
}

/* Guards against settings in force with a route to an unknown service, a bad prefix
 * or a limit of 0, on which requests would fail one by one. */
static void unusable_routes_are_refused(void **state)
{
    (void)state;
    struct rk_routes *r = make_routes();
    add_route(r, "lost", "a.example", "/l/", "nowhere");
    assert_int_equal(rk_routes_finish(r), RK_EINVAL);
    assert_non_null(strstr(rk_last_error(), "nowhere"));
    rk_routes_unref(r);
    r = make_routes();
    add_route(r, "bad", "a.example", "no-slash", "slots");
    assert_int_equal(rk_routes_finish(r), RK_EINVAL);
    rk_routes_unref(r);
    r = make_routes();
    r->limits.idle_ms = 0;
    assert_int_equal(rk_routes_finish(r), RK_EINVAL);
    rk_routes_unref(r);
}

/* Guards against API keys that map to another organisation, and unknown keys that
 * map to any. */
static void keys_map_to_their_organisation(void **state)
{
    (void)state;
    struct rk_routes *r = make_routes();
    for (size_t i = 0; i < 40; i++) {
        snprintf(rk_routes_add_org(r)->name, RK_ID_MAX, "org-%zu", i);
        for (int k = 0; k < 3; k++) {
            struct rk_org_key *key = rk_routes_add_key(r);
            snprintf(key->key, sizeof(key->key), "key-%zu-%d", i, k);
            key->org = i;
        }
    }
    assert_int_equal(rk_routes_finish(r), RK_OK);
    assert_string_equal(rk_routes_org_of_key(r, "key-7-2")->name, "org-7");
    assert_string_equal(rk_routes_org_of_key(r, "key-39-0")->name, "org-39");
    assert_null(rk_routes_org_of_key(r, "key-40-0"));
    assert_null(rk_routes_org_of_key(r, ""));
    rk_routes_unref(r);
}

/* The sum of quotas bounds the demand only if every organisation has a quota in
 * tokens. Otherwise too few VMs would be held for an organisation without one. */
static void quotas_bound_demand_only_if_all_organisations_have_one(void **state)
{
    (void)state;
    struct rk_routes *r = rk_routes_create();
    assert_true(isinf(rk_routes_quota_tokens_per_s(r)));
    for (int i = 0; i < 3; i++) {
        struct rk_org_info *org = rk_routes_add_org(r);
        snprintf(org->name, sizeof(org->name), "org-%d", i);
        org->counts_tokens = true;
        org->rate = 100;
    }
    assert_true(rk_routes_quota_tokens_per_s(r) == 300);
    r->orgs[1].counts_tokens = false; /* counts requests, of any size */
    assert_true(isinf(rk_routes_quota_tokens_per_s(r)));
    r->orgs[1].counts_tokens = true;
    r->orgs[2].rate = 0;
    assert_true(isinf(rk_routes_quota_tokens_per_s(r)));
    rk_routes_unref(r);
}

/* Guards against calls that are split between services in other proportions than
 * the weights. */
static void shares_follow_their_weights(void **state)
{
    (void)state;
    struct rk_route route = {.shares = {{"a", 90}, {"b", 10}}, .shares_len = 2};
    int b = 0;
    for (uint32_t i = 0; i < 1000; i++)
        b += !strcmp(rk_route_pick_service(&route, i * 7919), "b");
    assert_in_range(b, 80, 120);
    route.shares[0].weight = 0;
    assert_string_equal(rk_route_pick_service(&route, 5), "b");
}

static struct rk_routes *routes_of_services_a_to_c(void)
{
    struct rk_routes *r = rk_routes_create();
    for (char name = 'a'; name <= 'c'; name++)
        rk_routes_add_service(r)->name[0] = name;
    return r;
}

static uint64_t resumable_hash(const struct rk_routes *r, char service)
{
    uint64_t *hashes = rk_routes_resumable_hashes(r);
    uint64_t hash = hashes[service - 'a'];
    free(hashes);
    return hash;
}

static struct rk_route stream_route(const char *prefix, const char *service)
{
    struct rk_route route = {.host = "h",
                             .kind = RK_CALL_STREAM,
                             .resumable = true,
                             .shares = {{"", 90}, {"b", 10}},
                             .shares_len = 2};
    rk_strcpy(route.prefix, sizeof(route.prefix), prefix);
    rk_strcpy(route.shares[0].service, sizeof(route.shares[0].service), service);
    return route;
}

/* Guards against streams that are rejected after a reload of settings which list
 * the same routes in another order. */
static void the_hash_of_routes_does_not_depend_on_their_order(void **state)
{
    (void)state;
    struct rk_routes *r = routes_of_services_a_to_c();
    const struct rk_route a = stream_route("/s/", "a"),
                          c = stream_route("/t/", "c");
    *rk_routes_add_route(r) = a;
    *rk_routes_add_route(r) = c;
    uint64_t hashes[] = {resumable_hash(r, 'a'), resumable_hash(r, 'b'),
                         resumable_hash(r, 'c')};
    r->routes[0] = c;
    r->routes[1] = a;
    for (char name = 'a'; name <= 'c'; name++)
        assert_true(resumable_hash(r, name) == hashes[name - 'a']);
    /* Two routes that exchange their services are a change for all of these. */
    strcpy(r->routes[0].shares[0].service, "a");
    strcpy(r->routes[1].shares[0].service, "c");
    for (char name = 'a'; name <= 'c'; name++)
        assert_true(resumable_hash(r, name) != hashes[name - 'a']);
    /* Of two routes for the same requests, the first counts. */
    r->routes[0] = a;
    r->routes[1] = stream_route("/s/", "c");
    assert_true(resumable_hash(r, 'a'));
    assert_true(!resumable_hash(r, 'c'));
    rk_routes_unref(r);
}

/* Guards against a change of which requests go to which services that is not
 * noticed, so that a stream goes on at another service's version. */
static void the_hash_of_routes_shows_where_streams_go(void **state)
{
    (void)state;
    struct rk_routes *r = routes_of_services_a_to_c();
    uint64_t hashes[5];
    assert_true(!resumable_hash(r, 'a'));
    rk_routes_add_route(r)->kind = RK_CALL_ONCE;
    struct rk_route *route = rk_routes_add_route(r);
    *route = stream_route("/s/", "a");
    hashes[0] = resumable_hash(r, 'a');
    route->shares[0].weight = 80;
    hashes[1] = resumable_hash(r, 'a');
    route->shares_len = 1;
    hashes[2] = resumable_hash(r, 'a');
    strcpy(route->prefix, "/");
    hashes[3] = resumable_hash(r, 'a');
    route->resumable = false;
    hashes[4] = resumable_hash(r, 'a');
    for (size_t i = 0; i < 5; i++) {
        assert_in_range(hashes[i], 0, INT64_MAX);
        for (size_t j = 0; j < i; j++)
            assert_true(hashes[i] != hashes[j]);
    }
    /* Changes of other routes leave it as it was. */
    route->resumable = true;
    strcpy(r->routes[0].prefix, "/plain/");
    assert_true(resumable_hash(r, 'a') == hashes[3]);
    rk_routes_unref(r);
}

/* Guards against streams that are rejected as the routes of another service
 * changed, and against those of a removed route that go on at the version of the
 * service whose route has a shorter prefix. */
static void the_hash_of_routes_is_that_of_a_service(void **state)
{
    (void)state;
    struct rk_routes *r = routes_of_services_a_to_c();
    *rk_routes_add_route(r) = stream_route("/s/", "a");
    uint64_t alone = resumable_hash(r, 'a');
    *rk_routes_add_route(r) = stream_route("/t/", "c");
    assert_true(resumable_hash(r, 'a') == alone);
    strcpy(r->routes[1].prefix, "/s/x/");
    uint64_t above = resumable_hash(r, 'a');
    assert_true(above != alone);
    r->routes[1].shares[0].weight = 5;
    assert_true(resumable_hash(r, 'a') == above);
    strcpy(r->routes[1].host, "h2");
    assert_true(resumable_hash(r, 'a') == alone);
    rk_routes_unref(r);
}

/* ---- usage ---- */

/* Guards against rows that the index loses as it grows, or after old windows are
 * removed: 300 nodes, 16 organisations, 4 windows. */
static void usage_of_a_large_fleet_is_kept_by_row(void **state)
{
    (void)state;
    struct rk_usage u = {0};
    for (int round = 0; round < 2; round++)
        for (uint64_t node = 1; node <= 300; node++)
            for (int window = 0; window < 4; window++)
                for (int org = 0; org < 16; org++) {
                    struct rk_usage_row row = {
                        .node = node, .window = window, .count = node};
                    snprintf(row.org, sizeof(row.org), "org-%d", org);
                    rk_usage_merge(&u, &row);
                }
    assert_int_equal(u.len, 300 * 16 * 4);
    rk_usage_remove_before(&u, 2);
    assert_int_equal(u.len, 300 * 16 * 2);
    assert_int_equal(rk_usage_sum(&u, 3, "org-7"), 300 * 301 / 2);
    rk_usage_count(&u, 300, 3, "org-7");
    assert_int_equal(rk_usage_sum(&u, 3, "org-7"), 300 * 301 / 2 + 1);
    rk_usage_free(&u);
}

/* Guards against counts that are lost when all nodes are killed. Windows that had
 * ended but were not reported yet, for up to 4 s while a node is unresponsive, were
 * reported as 0, and the window of the kill with only the calls after it. */
static void usage_outlasts_a_kill_of_all(void **state)
{
    (void)state;
    struct rk_usage u = {.since_ms = 9000};
    struct rk_usage_row persisted = {.node = RK_USAGE_PERSISTED,
                                     .window = 7,
                                     .org = "a",
                                     .count = 100,
                                     .since_ms = 8000};
    rk_usage_merge(&u, &persisted);
    assert_int_equal(rk_usage_sum(&u, 7, "a"), 100);
    for (int i = 0; i < 20; i++)
        rk_usage_count(&u, 1, 7, "a"); /* at a node that was started later */
    assert_int_equal(rk_usage_sum(&u, 7, "a"), 120);
    /* After a second kill: the later record includes these calls. */
    persisted.since_ms = 9500;
    persisted.count = 110;
    rk_usage_merge(&u, &persisted);
    assert_int_equal(rk_usage_sum(&u, 7, "a"), 110);
    rk_usage_free(&u);
}

/* Guards against calls that are billed and were never made: the calls that a record
 * for a kill adds for the time that its counts lag behind must end soon after the
 * callers have stopped. */
static void growth_follows_callers_that_stop(void **state)
{
    (void)state;
    struct rk_usage_growth g = {0};
    struct rk_totals counts = {0};
    assert_true(rk_usage_growth_value(&g, "a", 400, 1000) < 0);
    for (int64_t ms = 1000; ms <= 4000; ms += 300) {
        *rk_totals_get(&counts, "a") = (double)ms / 10;
        rk_usage_growth_note(&g, 7, &counts);
        rk_usage_growth_snapshot(&g, ms);
    }
    /* 100 calls a second; a new window starts at 0. */
    assert_float_equal(rk_usage_growth_value(&g, "a", 400, 4000), 40, 0.001);
    assert_float_equal(rk_usage_growth_value(&g, "b", 400, 4000), 0, 0.001);
    *rk_totals_get(&counts, "a") = 30;
    rk_usage_growth_note(&g, 8, &counts);
    rk_usage_growth_snapshot(&g, 4300);
    assert_float_equal(rk_usage_growth_value(&g, "a", 400, 4300), 40, 0.001);
    for (int64_t ms = 4600; ms <= 5200; ms += 300) {
        rk_usage_growth_note(&g, 8, &counts);
        rk_usage_growth_snapshot(&g, ms);
    }
    assert_float_equal(rk_usage_growth_value(&g, "a", 400, 5200), 0, 0.001);
    rk_totals_free(&counts);
    rk_usage_growth_free(&g);
}

/* Guards against a count that is too low after some nodes were killed: the nodes
 * still running have reported more than the persisted sum, and the higher one
 * counts. */
static void reported_counts_win_where_they_are_higher(void **state)
{
    (void)state;
    struct rk_usage u = {0};
    struct rk_usage_row rows[] = {
        {.node = RK_USAGE_PERSISTED,
         .window = 7,
         .org = "a",
         .count = 100,
         .since_ms = 8000},
        {.node = 1, .window = 7, .org = "a", .count = 75, .since_ms = 1000},
        {.node = 2, .window = 7, .org = "a", .count = 60, .since_ms = 1000},
        {.node = 3, .window = 7, .org = "a", .count = 5, .since_ms = 9000}};
    for (size_t i = 0; i < RK_ARRAY_LEN(rows); i++)
        rk_usage_merge(&u, &rows[i]);
    assert_int_equal(rk_usage_sum(&u, 7, "a"), 140);
    rk_usage_free(&u);
}

/* The leader sums the rows of 985 nodes every 300 ms. Summing them for one
 * organisation after the other, 333 of them, took most of its CPU time. The sums of
 * a single pass must equal those computed here organisation by organisation. */
static void sums_of_all_organisations_match_single_sums(void **state)
{
    (void)state;
    struct rk_usage u = {0};
    struct rk_totals sums = {0};
    struct rk_rng rng = {.state = 7};
    for (int i = 0; i < 4000; i++) {
        uint64_t node = rk_rng_below(&rng, 60); /* 0: RK_USAGE_PERSISTED */
        struct rk_usage_row row = {.node = node,
                                   .window = rk_rng_below(&rng, 2),
                                   .count = rk_rng_below(&rng, node ? 20 : 300),
                                   .since_ms = 1 + rk_rng_below(&rng, 5)};
        snprintf(row.org, sizeof(row.org), "org-%u", rk_rng_below(&rng, 30));
        rk_usage_merge(&u, &row);
    }
    rk_usage_sums(&u, 1, &sums);
    assert_int_equal(sums.len, 30);
    for (size_t i = 0; i < sums.len; i++) {
        const char *org = sums.rows[i].name;
        const struct rk_usage_row *record = NULL;
        uint64_t reported = 0, counted_after = 0;
        for (size_t j = 0; j < u.len; j++)
            if (u.rows[j].node == RK_USAGE_PERSISTED && u.rows[j].window == 1 &&
                !strcmp(u.rows[j].org, org))
                record = &u.rows[j];
        for (size_t j = 0; j < u.len; j++) {
            const struct rk_usage_row *row = &u.rows[j];
            if (row == record || row->window != 1 || strcmp(row->org, org) != 0)
                continue;
            reported += row->count;
            counted_after +=
                record && row->since_ms > record->since_ms ? row->count : 0;
        }
        uint64_t all = record ? record->count + counted_after : 0;
        assert_int_equal((uint64_t)sums.rows[i].total,
                         reported > all ? reported : all);
    }
    rk_totals_free(&sums);
    rk_usage_free(&u);
}

/* Guards against counts that fall or are counted twice when older reports arrive
 * late or again. */
static void usage_merges_in_any_order(void **state)
{
    (void)state;
    struct rk_usage u = {0};
    rk_usage_count(&u, 1, 7, "a");
    rk_usage_count(&u, 1, 7, "a");
    struct rk_usage_row row = {.node = 2, .window = 7, .org = "a", .count = 5};
    rk_usage_merge(&u, &row);
    row.count = 3; /* an older report */
    rk_usage_merge(&u, &row);
    rk_usage_merge(&u, &row);
    assert_int_equal(rk_usage_sum(&u, 7, "a"), 7);
    assert_int_equal(rk_usage_sum(&u, 8, "a"), 0);
    assert_int_equal(rk_usage_sum(&u, 7, "b"), 0);
    rk_usage_remove_before(&u, 8);
    assert_int_equal(rk_usage_sum(&u, 7, "a"), 0);
    rk_usage_free(&u);
}

/* ---- events ---- */

static void collect_event(void *ctx, const char *data, size_t len)
{
    rk_buf_add(ctx, data, len);
    rk_buf_addstr(ctx, "|");
}

/* Guards against an end inside an event that is taken for one between events, and
 * the reverse, at each byte of a stream and in reads of any size. */
static void the_position_tells_where_a_stream_may_end(void **state)
{
    (void)state;
    /* '|' marks where the stream may end; it isn't part of it. */
    static const char marked[] = "\n|: hi\n|\n|id: 1\ndata: a\n\n|"
                                 "id:2\r\ndata: b\r\n\r\n|\r|\n|: bye\n|";
    char text[sizeof(marked)];
    bool may_end[sizeof(marked)] = {0}; /* after so many bytes */
    size_t len = 0;
    for (const char *at = marked; *at; at++) {
        if (*at == '|')
            may_end[len] = true;
        else
            text[len++] = *at;
    }
    for (size_t cut = 1; cut <= len; cut++) {
        struct rk_event_position p = {0};
        for (size_t at = 0; at < len;) {
            size_t n = cut < len - at ? cut : len - at;
            rk_event_position_add(&p, text + at, n);
            at += n;
            assert_int_equal(!rk_event_position_is_inside(&p), may_end[at]);
        }
        assert_true(p.has_events);
    }
    struct rk_event_position comments = {0};
    rk_event_position_add(&comments, ": hi\n\n", strlen(": hi\n\n"));
    assert_false(comments.has_events);
}

/* Guards against a splitter that depends on where reads end: bytes in pieces of any
 * size must give the same events, and only whole ones. */
static void events_do_not_depend_on_read_sizes(void **state)
{
    (void)state;
    static const char text[] = "id: 1\ndata: a\n\nid:22\r\ndata: b\r\n\r\n"
                               ": comment\n\ndata: no id\n\nid: 3\ndata: half";
    for (size_t cut = 1; cut < sizeof(text); cut++) {
        struct rk_event_splitter e = {0};
        struct rk_buf out = {0};
        for (size_t at = 0; at < sizeof(text) - 1; at += cut) {
            size_t left = sizeof(text) - 1 - at;
            rk_event_splitter_feed(&e, text + at, cut < left ? cut : left,
                                   collect_event, &out);
        }
        assert_string_equal(out.data, "id: 1\ndata: a\n\n|id:22\r\ndata: b\r\n\r\n|"
                                      ": comment\n\n|data: no id\n\n|");
        assert_string_equal(e.last_id, "22");
        assert_int_equal(e.partial.len, strlen("id: 3\ndata: half"));
        rk_event_splitter_restart(&e);
        rk_event_splitter_feed(&e, "id: 4\n\n", 7, collect_event, &out);
        assert_string_equal(e.last_id, "4");
        rk_event_splitter_free(&e);
        rk_buf_free(&out);
    }
}

/* Feeds one event with an id of so many bytes, and returns whether the stream can
 * go on after it. */
static bool may_resume_after_id(size_t id_len, char byte)
{
    struct rk_event_splitter e = {0};
    struct rk_buf out = {0}, text = {0};
    rk_buf_addstr(&text, "id: 7\ndata: a\n\n");
    rk_event_splitter_feed(&e, text.data, text.len, collect_event, &out);
    assert_true(rk_event_splitter_may_resume(&e));
    text.len = 0;
    rk_buf_addstr(&text, "id: ");
    for (size_t i = 0; i < id_len; i++)
        rk_buf_add(&text, &byte, 1);
    rk_buf_addstr(&text, "\ndata: b\n\n");
    rk_event_splitter_feed(&e, text.data, text.len, collect_event, &out);
    bool may_resume = rk_event_splitter_may_resume(&e);
    assert_int_equal(strlen(e.last_id), may_resume ? id_len : 0);
    rk_event_splitter_free(&e);
    rk_buf_free(&out);
    rk_buf_free(&text);
    return may_resume;
}

/* Guards against a stream that goes on after an older event than the last one, as
 * the last one's id is long: events would come twice. An id that is a header of its
 * own must not be sent. */
static void a_stream_goes_on_only_after_a_known_id(void **state)
{
    (void)state;
    assert_true(may_resume_after_id(1, 'a'));
    assert_true(may_resume_after_id(36, 'a'));
    assert_true(may_resume_after_id(RK_EVENT_ID_MAX - 1, 'a'));
    assert_false(may_resume_after_id(RK_EVENT_ID_MAX, 'a'));
    assert_false(may_resume_after_id(RK_EVENT_ID_MAX + 100, 'a'));
    assert_false(may_resume_after_id(3, '\r'));
    assert_false(may_resume_after_id(3, '\0'));
    struct rk_event_splitter e = {0};
    struct rk_buf out = {0};
    rk_event_splitter_feed(&e, ": comment\n\n", 11, collect_event, &out);
    assert_true(rk_event_splitter_may_resume(&e));
    rk_event_splitter_feed(&e, "data: no id\n\n", 13, collect_event, &out);
    assert_false(rk_event_splitter_may_resume(&e));
    rk_event_splitter_free(&e);
    rk_buf_free(&out);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(longest_prefix_of_the_host_wins),
        cmocka_unit_test(unusable_routes_are_refused),
        cmocka_unit_test(keys_map_to_their_organisation),
        cmocka_unit_test(quotas_bound_demand_only_if_all_organisations_have_one),
        cmocka_unit_test(shares_follow_their_weights),
        cmocka_unit_test(the_hash_of_routes_shows_where_streams_go),
        cmocka_unit_test(the_hash_of_routes_does_not_depend_on_their_order),
        cmocka_unit_test(the_hash_of_routes_is_that_of_a_service),
        cmocka_unit_test(usage_outlasts_a_kill_of_all),
        cmocka_unit_test(growth_follows_callers_that_stop),
        cmocka_unit_test(reported_counts_win_where_they_are_higher),
        cmocka_unit_test(usage_merges_in_any_order),
        cmocka_unit_test(usage_of_a_large_fleet_is_kept_by_row),
        cmocka_unit_test(sums_of_all_organisations_match_single_sums),
        cmocka_unit_test(the_position_tells_where_a_stream_may_end),
        cmocka_unit_test(events_do_not_depend_on_read_sizes),
        cmocka_unit_test(a_stream_goes_on_only_after_a_known_id),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
