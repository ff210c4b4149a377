/* Unit tests of placement: which VM gets a call, by load, prefix caches, health and
 * the signals that VMs advertise. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/place.h"

/* ---- choice of a VM ---- */

static struct rk_vm_row vm_row(const char *id, const char *domain, int64_t slots)
{
    struct rk_vm_row row = {.slots = slots, .leaves_in_ms = -1};
    rk_strcpy(row.id, sizeof(row.id), id);
    rk_strcpy(row.service, sizeof(row.service), "llm");
    rk_strcpy(row.domain, sizeof(row.domain), domain);
    return row;
}

/* Creates a placement in domain "here" with three VMs, one of them in another
 * domain. */
static struct rk_place *create_with_three_vms(struct rk_vm_row rows[3])
{
    rows[0] = vm_row("vm-a", "here", 32);
    rows[1] = vm_row("vm-b", "here", 32);
    rows[2] = vm_row("vm-c", "there", 32);
    struct rk_place *p = rk_place_create("here", 1);
    rk_place_set_vms(p, rows, 3, 0);
    return p;
}

/* Returns a query of a model call. segments: of its prompt, "ID:TOKENS,...". */
static struct rk_place_query engine_query(const char *segments, double tokens)
{
    struct rk_place_query q = {
        .service = "llm", .engine = true, .prompt_tokens = tokens};
    rk_place_parse_segments(&q, segments);
    return q;
}

/* Returns the version of the VM that is chosen for a stream of this version; "":
 * none is. */
static const char *chosen_version(struct rk_place *p, const char *version,
                                  bool wants_new_version)
{
    struct rk_engine_forecast forecast;
    struct rk_place_query q = engine_query("aa:100", 100);
    q.wants_new_version = wants_new_version;
    rk_strcpy(q.version, sizeof(q.version), version);
    const struct rk_place_vm *v = rk_place_choose(p, &q, 0, &forecast);
    return v ? v->row.version : "";
}

/* Guards against a stream that has begun and goes on at another software version,
 * with a rollout in any phase or without one. */
static void a_begun_stream_stays_at_its_version(void **state)
{
    (void)state;
    struct rk_vm_row rows[4];
    for (int i = 0; i < 4; i++) {
        char id[] = {'v', 'm', (char)('a' + i), 0};
        rows[i] = vm_row(id, "here", 32);
        rk_strcpy(rows[i].version, sizeof(rows[i].version), i % 2 ? "2" : "1");
    }
    struct rk_place *p = rk_place_create("here", 1);
    rk_place_set_vms(p, rows, 4, 0);
    assert_string_equal(chosen_version(p, "1", false), "1");
    assert_string_equal(chosen_version(p, "2", false), "2");
    assert_string_equal(chosen_version(p, "3", false), "");
    for (enum rk_rollout_phase phase = RK_ROLLOUT_CANARY;
         phase <= RK_ROLLOUT_ROLLED_BACK; phase++) {
        struct rk_rollout_rule rule = {
            .service = "llm", .version = "2", .phase = phase};
        rk_place_set_rollouts(p, &rule, 1, true);
        for (int wants_new = 0; wants_new < 2; wants_new++) {
            const char *expected = phase == RK_ROLLOUT_ROLLED_BACK ? "" : "2";
            assert_string_equal(chosen_version(p, "1", wants_new), "1");
            assert_string_equal(chosen_version(p, "2", wants_new), expected);
        }
    }
    rk_place_destroy(p);
}

/* Guards against a prefix that is prefilled at several VMs without need, and
 * against calls that queue at its VM behind a long prompt. */
static void a_prefix_stays_with_its_vm_until_that_is_busy(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:2000,bb:4000,cc:100", 6100);
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    struct rk_place_vm *first = rk_place_choose(p, &q, 1000, &forecast);
    for (int i = 0; i < 20; i++) {
        struct rk_place_vm *v = rk_place_choose(p, &q, 1000 + i, &forecast);
        assert_ptr_equal(v, first);
        rk_place_note_sent(p, v, &q, 1000 + i, &job);
        rk_place_note_first_byte(v, &job, 1050 + i);
        rk_place_note_end(p, v, &job, RK_PLACE_DONE, 1050 + i);
    }
    struct rk_place_query other = engine_query("dd:1,ee:30000", 30001);
    rk_place_note_sent(p, first, &other, 1020, &job);
    assert_ptr_not_equal(rk_place_choose(p, &q, 1021, &forecast), first);
    rk_place_destroy(p);
}

/* Guards against nodes that send the same prefix to different VMs. */
static void nodes_agree_on_the_vm_of_a_prefix(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *a = create_with_three_vms(rows);
    struct rk_place *b = rk_place_create("there", 99);
    rk_place_set_vms(b, rows, 3, 0);
    for (int i = 0; i < 50; i++) {
        char segments[64];
        struct rk_engine_forecast forecast;
        snprintf(segments, sizeof(segments), "p%d:4000,own%d:50", i, i);
        struct rk_place_query q = engine_query(segments, 4050);
        assert_string_equal(rk_place_choose(a, &q, 1000, &forecast)->row.id,
                            rk_place_choose(b, &q, 1000, &forecast)->row.id);
    }
    rk_place_destroy(a);
    rk_place_destroy(b);
}

/* Guards against calls to a VM that is leaving, that just failed, or that this call
 * excludes. */
static void leaving_excluded_and_paused_vms_are_not_chosen(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("", 100);
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    rows[0].leaving = true;
    rk_place_set_vms(p, rows, 3, 0);
    rows[0].leaving = false; /* an outdated list, which must not matter */
    rk_place_set_vms(p, rows, 3, 0);
    struct rk_place_vm *v = rk_place_choose(p, &q, 1000, &forecast);
    assert_string_equal(v->row.id, "vm-b");
    rk_place_note_sent(p, v, &q, 1000, &job);
    rk_place_note_end(p, v, &job, RK_PLACE_LOST, 1001);
    assert_string_equal(rk_place_choose(p, &q, 1002, &forecast)->row.id, "vm-c");
    q.excluded[q.excluded_len++] = rk_hash_str(0, "vm-c");
    assert_string_equal(rk_place_choose(p, &q, 1002, &forecast)->row.id, "vm-b");
    q.excluded[q.excluded_len++] = rk_hash_str(0, "vm-b");
    assert_null(rk_place_choose(p, &q, 1002, &forecast));
    rk_place_destroy(p);
}

/* Guards against a VM that is freed while calls in flight refer to it, or by the
 * end of an attempt, whose call may go on at the same VM. */
static void a_vm_that_is_not_listed_is_kept_while_it_has_calls(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("", 100);
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    struct rk_place_vm *v = rk_place_choose(p, &q, 1000, &forecast);
    rk_place_note_sent(p, v, &q, 1000, &job);
    rk_place_set_vms(p, rows, 0, 0);
    assert_null(rk_place_choose(p, &q, 1000, &forecast));
    assert_ptr_equal(rk_place_vms(p), v);
    rk_place_sweep(p);
    assert_ptr_equal(rk_place_vms(p), v);
    rk_place_note_end(p, v, &job, RK_PLACE_CANCELLED, 1001);
    assert_ptr_equal(rk_place_vms(p), v);
    rk_place_note_sent(p, v, &q, 1001, &job);
    rk_place_sweep(p);
    assert_ptr_equal(rk_place_vms(p), v);
    rk_place_note_end(p, v, &job, RK_PLACE_DONE, 1002);
    rk_place_sweep(p);
    assert_null(rk_place_vms(p));
    rk_place_destroy(p);
}

/* Guards against a choice that counts only this node's calls. Several peers may
 * report the same VM, or one that is unknown here. */
static void calls_of_peers_count_as_load(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_vm_load loads[] = {
        {.id = "vm-a", .running = 3, .waiting_tokens = 60000},
        {.id = "vm-a", .waiting_tokens = 1000},
        {.id = "gone", .running = 7}};
    struct rk_place_query q = engine_query("", 100);
    struct rk_engine_forecast forecast;
    rk_place_set_loads(p, loads, 3, 1000);
    assert_string_equal(rk_place_choose(p, &q, 1000, &forecast)->row.id, "vm-b");
    rk_place_destroy(p);
}

/* Guards against an index that loses VMs, or keeps removed ones, when hundreds are
 * added and removed. */
static void many_vms_are_added_and_removed(void **state)
{
    (void)state;
    enum { VMS = 700 };
    struct rk_vm_row *rows = rk_alloc(VMS, sizeof(*rows));
    struct rk_place *p = rk_place_create("here", 1);
    struct rk_place_query q = engine_query("", 100);
    struct rk_engine_forecast forecast;
    for (int i = 0; i < VMS; i++) {
        rows[i] = (struct rk_vm_row){
            .service = "llm", .domain = "here", .slots = 8, .leaves_in_ms = -1};
        snprintf(rows[i].id, sizeof(rows[i].id), "vm-%d", i);
    }
    for (int round = 0; round < 7; round++) {
        rk_place_set_vms(p, rows + 100 * round, (size_t)(VMS - 100 * round), 0);
        struct rk_vm_load load = {.running = 5};
        rk_strcpy(load.id, sizeof(load.id), rows[VMS - 1].id);
        rk_place_set_loads(p, &load, 1, 1000);
        int loaded = 0, count = 0;
        for (const struct rk_place_vm *v = rk_place_vms(p); v; v = v->next) {
            count++;
            loaded += v->peers_running == 5;
            assert_true(atoi(v->row.id + 3) >= 100 * round);
        }
        assert_int_equal(count, VMS - 100 * round);
        assert_int_equal(loaded, 1);
        assert_non_null(rk_place_choose(p, &q, 1000, &forecast));
    }
    rk_place_destroy(p);
    free(rows);
}

/* Guards against a node that applies changes of the VM list and ends up with other
 * VMs than one that receives the full list each time. */
static void list_changes_have_the_effect_of_full_lists(void **state)
{
    (void)state;
    enum { IDS = 40, ROUNDS = 300 };
    struct rk_rng rng = {.state = 11};
    struct rk_place *full = rk_place_create("here", 1);
    struct rk_place *incremental = rk_place_create("here", 1);
    struct rk_vm_row listed_rows[IDS] = {0}; /* without an id: not listed */
    for (int round = 0; round < ROUNDS; round++) {
        struct rk_vm_row list[IDS], updated[IDS];
        char removed[IDS][RK_ID_MAX];
        size_t len = 0, updated_len = 0, removed_len = 0;
        for (int i = 0; i < IDS; i++) {
            struct rk_vm_row before = listed_rows[i];
            uint32_t action = rk_rng_below(&rng, 12);
            if (action == 0 && listed_rows[i].id[0]) {
                rk_strcpy(removed[removed_len++], RK_ID_MAX, listed_rows[i].id);
                listed_rows[i] = (struct rk_vm_row){0};
            }
            if (action == 1 && !listed_rows[i].id[0]) {
                listed_rows[i] = (struct rk_vm_row){.service = "llm",
                                                    .started_ms = round + 1,
                                                    .slots = 4,
                                                    .leaves_in_ms = -1};
                snprintf(listed_rows[i].id, sizeof(listed_rows[i].id), "vm-%d", i);
            }
            if (action == 2 && listed_rows[i].id[0])
                listed_rows[i].leaving = true;
            if (action == 3 && listed_rows[i].id[0])
                listed_rows[i].started_ms = round + 1; /* a new incarnation */
            if (listed_rows[i].id[0])
                list[len++] = listed_rows[i];
            if (listed_rows[i].id[0] &&
                memcmp(&before, &listed_rows[i], sizeof(before)) != 0)
                updated[updated_len++] = listed_rows[i];
        }
        rk_place_set_vms(full, list, len, round);
        rk_place_change_vms(incremental, updated, updated_len, removed, removed_len,
                            round);
        size_t count = 0;
        for (const struct rk_place_vm *v = rk_place_vms(full); v; v = v->next) {
            const struct rk_place_vm *other = rk_place_find(incremental, v->row.id);
            assert_non_null(other);
            assert_true(other->listed == v->listed && other->hash == v->hash);
            assert_true(other->row.leaving == v->row.leaving);
            assert_true(other->row.started_ms == v->row.started_ms);
            count++;
        }
        for (const struct rk_place_vm *v = rk_place_vms(incremental); v;
             v = v->next)
            count--;
        assert_int_equal(count, 0);
    }
    rk_place_destroy(full);
    rk_place_destroy(incremental);
}

/* Guards against reports of peers whose cost grows with the size of the fleet: a
 * node that knew 10,000 VMs went over all of them, with two exponentials each, for
 * each report, some tens of times a second, although only a few hundred VMs had
 * calls in flight. */
static void the_cost_of_peer_reports_depends_on_active_vms(void **state)
{
    (void)state;
    enum { VMS = 10000, ACTIVE = 40 };
    struct rk_vm_row *rows = rk_alloc(VMS, sizeof(*rows));
    struct rk_vm_load loads[ACTIVE] = {0}, *own;
    struct rk_place *p = rk_place_create("here", 1);
    struct rk_place_query q = engine_query("", 100);
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    for (int i = 0; i < VMS; i++) {
        rows[i] = (struct rk_vm_row){
            .service = "llm", .domain = "here", .slots = 8, .leaves_in_ms = -1};
        snprintf(rows[i].id, sizeof(rows[i].id), "vm-%d", i);
    }
    rk_place_set_vms(p, rows, VMS, 0);
    assert_int_equal(rk_place_active_len(p), 0);
    for (int i = 0; i < ACTIVE; i++) {
        loads[i].running = 1;
        rk_strcpy(loads[i].id, sizeof(loads[i].id), rows[i].id);
    }
    rk_place_set_loads(p, loads, ACTIVE, 1000);
    assert_int_equal(rk_place_active_len(p), ACTIVE);
    struct rk_place_vm *v = rk_place_choose(p, &q, 1000, &forecast);
    rk_place_note_sent(p, v, &q, 1000, &job);
    rk_place_set_loads(p, loads, ACTIVE / 2, 1250);
    assert_int_equal(rk_place_active_len(p), ACTIVE / 2 + !v->peers_running);
    assert_int_equal(rk_place_own_loads(p, 1250, &own), 1);
    assert_string_equal(own[0].id, v->row.id);
    free(own);
    assert_int_equal(rk_place_in_flight(p, "llm").running, 1);
    rk_place_set_vms(p, rows, 0, 1300); /* only the one with a call is kept */
    assert_int_equal(rk_place_active_len(p), 1);
    rk_place_note_end(p, v, &job, RK_PLACE_DONE, 1400);
    rk_place_sweep(p);
    assert_int_equal(rk_place_active_len(p), 0);
    rk_place_destroy(p);
    free(rows);
}

/* Guards against a busy prefix that spreads to any idle VM: beyond its preferred VM
 * it must go to a second one, which is the same at all nodes. */
static void a_busy_prefix_overflows_to_one_more_vm(void **state)
{
    (void)state;
    struct rk_vm_row rows[12];
    for (int i = 0; i < 12; i++) {
        rows[i] = (struct rk_vm_row){
            .service = "llm", .domain = "here", .slots = 32, .leaves_in_ms = -1};
        snprintf(rows[i].id, sizeof(rows[i].id), "vm-%d", i);
    }
    struct rk_place_query q = engine_query("aa:2000,bb:6000,cc:100", 8100);
    char first[RK_ID_MAX] = "", second[RK_ID_MAX] = "";
    struct rk_engine_forecast forecast;
    for (uint64_t node = 1; node <= 5; node++) {
        struct rk_place *p = rk_place_create("here", node);
        rk_place_set_vms(p, rows, 12, 0);
        const char *id = rk_place_choose(p, &q, 1000, &forecast)->row.id;
        assert_true(node == 1 || !strcmp(id, first));
        rk_strcpy(first, sizeof(first), id);
        struct rk_vm_load load = {.running = 4, .waiting_tokens = 6000};
        rk_strcpy(load.id, sizeof(load.id), first);
        rk_place_set_loads(p, &load, 1, 1000);
        id = rk_place_choose(p, &q, 1000, &forecast)->row.id;
        assert_string_not_equal(id, first);
        assert_true(node == 1 || !strcmp(id, second));
        rk_strcpy(second, sizeof(second), id);
        rk_place_destroy(p);
    }
}

/* Guards against a preferred VM whose load is overestimated, because each call sent
 * to it counts as if the whole prompt had to be prefilled. */
static void the_preferred_vm_is_assumed_to_cache_its_prefix(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:2000,bb:6000,cc:100", 8100);
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    struct rk_place_vm *preferred = rk_place_choose(p, &q, 1000, &forecast);
    rk_place_note_sent(p, preferred, &q, 1000, &job);
    assert_true(job.load.uncached_tokens < 1000);
    rk_place_destroy(p);
}

/* Guards against prefixes that are lost with their VM: after a reclaim, the prompts
 * of a third of all calls were prefilled again when VMs were fewest, although the
 * leaving VMs kept them cached for two more seconds. A VM that was lost is no
 * source. */
static void a_prefix_is_copied_from_a_leaving_vm(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("a:3000,b:100", 3100);
    struct rk_engine_forecast forecast;
    struct rk_place_vm *preferred = rk_place_choose(p, &q, 1000, &forecast);
    assert_int_equal(rk_place_preferred_index(p, &q, preferred), 0);
    const struct rk_place_vm *second = rk_place_copy_source(p, &q, preferred, 1000);
    assert_non_null(second);
    assert_int_equal(rk_place_preferred_index(p, &q, second), 1);
    assert_ptr_equal(rk_place_copy_source(p, &q, second, 1000), preferred);
    for (int i = 0; i < 3; i++)
        rows[i].leaving = !strcmp(rows[i].id, preferred->row.id);
    rk_place_set_vms(p, rows, 3, 0);
    struct rk_place_vm *next = rk_place_choose(p, &q, 1000, &forecast);
    assert_ptr_not_equal(next, preferred);
    assert_ptr_equal(rk_place_copy_source(p, &q, next, 1000), preferred);
    preferred->paused_until_ms = 2000; /* as after a loss */
    assert_ptr_not_equal(rk_place_copy_source(p, &q, next, 1000), preferred);
    rk_place_destroy(p);
}

/* Guards against copies that cost more than the prefill of a short prefix. */
static void short_prefixes_are_not_copied(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("a:100,b:3000", 3100);
    struct rk_engine_forecast forecast;
    struct rk_place_vm *vm = rk_place_choose(p, &q, 1000, &forecast);
    assert_null(rk_place_copy_source(p, &q, vm, 1000));
    rk_place_destroy(p);
}

/* ---- latency ---- */

#define CHOICES 300

/* Returns how often, of CHOICES times, the VM is chosen. */
static int count_choices(struct rk_place *p, const struct rk_place_query *q,
                         const struct rk_place_vm *vm, int64_t now_ms)
{
    struct rk_engine_forecast forecast;
    int count = 0;
    for (int i = 0; i < CHOICES; i++)
        count += rk_place_choose(p, q, now_ms, &forecast) == vm;
    return count;
}

/* Guards against equal VMs of which the one that was listed last gets most calls:
 * of six engines it got 1.6 times the calls of the first one. */
static void equal_vms_get_equal_calls(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("", 2000);
    /* The third one is in another domain. */
    for (int i = 0; i < 2; i++)
        assert_in_range(count_choices(p, &q, rk_place_find(p, rows[i].id), 1000),
                        CHOICES * 2 / 5, CHOICES * 3 / 5);
    rk_place_destroy(p);
}

/* Guards against calls to a VM that is much slower than its service, and against
 * one that is never tried again. */
static void a_slow_vm_is_avoided_for_a_while(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("", 2000);
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    struct rk_place_vm *slow = rk_place_choose(p, &q, 1000, &forecast);
    for (int i = 0; i < 5; i++) {
        rk_place_note_sent(p, slow, &q, 1000, &job);
        rk_place_note_first_byte(slow, &job, 1000 + (int64_t)(job.expected_ms * 6));
        rk_place_note_end(p, slow, &job, RK_PLACE_DONE, 1600);
    }
    assert_int_equal(count_choices(p, &q, slow, 1700), 0);
    assert_in_range(count_choices(p, &q, slow, 60000), CHOICES / 3, CHOICES);
    rk_place_destroy(p);
}

#define REPORT_MS 250

/* Reports recent calls of peers at the second VM and, unless slow_calls is 0, so
 * many at the first one, where they take exp(1) times as long. */
static void report_recent(struct rk_place *p, double slow_calls, int64_t now_ms)
{
    struct rk_vm_load loads[2];
    memset(loads, 0, sizeof(loads));
    rk_strcpy(loads[0].id, sizeof(loads[0].id), "vm-b");
    rk_strcpy(loads[1].id, sizeof(loads[1].id), "vm-a");
    loads[0].health = (struct rk_vm_health){.calls = 40, .at_ms = now_ms};
    loads[1].health = (struct rk_vm_health){
        .calls = slow_calls, .log_sum = slow_calls, .at_ms = now_ms};
    rk_place_set_loads(p, loads, slow_calls > 0 ? 2 : 1, now_ms);
}

/* Does so for a time, with ten calls at the first VM if slow_too is set. */
static void report_calls(struct rk_place *p, bool slow_too, int64_t from_ms,
                         int64_t to_ms)
{
    for (int64_t now_ms = from_ms; now_ms < to_ms; now_ms += REPORT_MS)
        report_recent(p, slow_too ? 10 : 0, now_ms);
}

/* Sends a call, which takes exp(1) times as long at the slow VM. Returns whether it
 * was sent there. */
static bool send_call(struct rk_place *p, const struct rk_place_query *q,
                      const struct rk_place_vm *slow, int64_t now_ms)
{
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    struct rk_place_vm *to = rk_place_choose(p, q, now_ms, &forecast);
    rk_place_note_sent(p, to, q, now_ms, &job);
    double took_ms = job.expected_ms * (to == slow ? exp(1) : 1);
    rk_place_note_first_byte(to, &job, now_ms + (int64_t)took_ms);
    rk_place_note_end(p, to, &job, RK_PLACE_DONE, now_ms + (int64_t)took_ms);
    return to == slow;
}

/* Returns how many of the calls that this node sends in ten seconds, one in each
 * report's time, go to the slow VM. */
static int count_sent(struct rk_place *p, const struct rk_place_query *q,
                      const struct rk_place_vm *slow, int64_t from_ms)
{
    int count = 0;
    for (int64_t now_ms = from_ms; now_ms < from_ms + 10000; now_ms += REPORT_MS) {
        report_recent(p, 0, now_ms);
        count += send_call(p, q, slow, now_ms);
    }
    return count;
}

/* Guards against a slow VM that gets no calls, so that nobody learns when it is
 * fast again. Calls that would be late there must not measure it. */
static void a_slow_vm_without_calls_is_tried(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    const struct rk_place_vm *slow = rk_place_find(p, "vm-a");
    struct rk_place_query q = engine_query("", 8000);
    rk_place_set_node_count(p, 1);
    report_calls(p, true, 0, 20000);
    assert_true(slow->speed_factor > 1.5);
    q.target_ms = 1;
    assert_int_equal(count_sent(p, &q, slow, 20000), 0);
    report_calls(p, true, 30000, 50000);
    q.target_ms = 10000;
    assert_in_range(count_sent(p, &q, slow, 50000), 2, 20);
    rk_place_destroy(p);
}

/* Guards against a VM that gets no calls for seconds once it counts as slow, as the
 * many that it had before still count. The other one gets some 18 calls a second.
 */
static void a_slow_vm_is_tried_soon_after_its_last_call(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    const struct rk_place_vm *slow = rk_place_find(p, "vm-a");
    struct rk_place_query q = engine_query("", 8000);
    int count = 0;
    q.target_ms = 10000;
    rk_place_set_node_count(p, 1);
    report_calls(p, true, 0, 20000);
    assert_true(slow->speed_factor > 1.5);
    for (int64_t ms = 0; ms < 2500; ms += REPORT_MS) {
        report_recent(p, 10 * exp2(-(double)ms / RK_VM_HEALTH_HALF_LIFE_MS),
                      20000 + ms);
        count += send_call(p, &q, slow, 20000 + ms);
    }
    assert_in_range(count, 1, 4);
    rk_place_destroy(p);
}

/* Guards against a VM at which a single call failed and that gets no calls for over
 * ten seconds: in one of eight cases no trial had begun when its record was so
 * small that it counted as idle. */
static void a_vm_at_which_a_call_failed_is_tried_whatever_is_drawn(void **state)
{
    (void)state;
    for (uint64_t seed = 1; seed <= 200; seed++) {
        struct rk_vm_row rows[2] = {vm_row("vm-a", "here", 32),
                                    vm_row("vm-b", "here", 32)};
        struct rk_place *p = rk_place_create("here", seed);
        struct rk_place_query q = engine_query("", 8000);
        struct rk_place_job job;
        bool tried = false;
        q.target_ms = 10000;
        rk_place_set_vms(p, rows, 2, 0);
        rk_place_set_node_count(p, 1);
        struct rk_place_vm *failing = rk_place_find(p, "vm-a");
        rk_place_note_sent(p, failing, &q, 20000, &job);
        rk_place_note_end(p, failing, &job, RK_PLACE_LOST, 20000);
        for (int64_t now_ms = 20000; now_ms < 30000; now_ms += 2 * REPORT_MS) {
            report_recent(p, 0, now_ms);
            tried = tried || send_call(p, &q, failing, now_ms);
        }
        assert_true(tried);
        rk_place_destroy(p);
    }
}

/* Guards against a VM that gets no calls for long because a few failed there, and
 * against calls to it while it still fails. */
static void a_vm_at_which_calls_failed_is_tried_after_seconds(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_vm *failing = rk_place_find(p, "vm-a");
    struct rk_place_query q = engine_query("", 8000);
    q.target_ms = 10000;
    rk_place_set_node_count(p, 1);
    report_calls(p, false, 0, 20000);
    for (int i = 0; i < 2; i++) {
        struct rk_place_job job;
        rk_place_note_sent(p, failing, &q, 20000, &job);
        rk_place_note_end(p, failing, &job, RK_PLACE_LOST, 20000);
    }
    for (int64_t now_ms = 20000; now_ms < 24000; now_ms += REPORT_MS) {
        struct rk_engine_forecast forecast;
        report_calls(p, false, now_ms, now_ms + 1);
        assert_ptr_not_equal(rk_place_choose(p, &q, now_ms, &forecast), failing);
    }
    assert_true(failing->speed_factor <= 1);
    assert_in_range(count_sent(p, &q, failing, 24000), 1, 10);
    rk_place_destroy(p);
}

/* Guards against an unresponsive VM that does not count as slow, because calls that
 * are given up without a first byte leave no measurement. */
static void unanswered_calls_count_as_slow(void **state)
{
    (void)state;
    struct rk_vm_health health = {0};
    assert_true(rk_vm_health_slowdown(&health, 0) == 1);
    for (int i = 0; i < 3; i++)
        rk_vm_health_note_failure(&health, 4000, 100, 1000);
    assert_true(rk_vm_health_slowdown(&health, 0) > 1.5);
    struct rk_vm_health later = rk_vm_health_decayed(&health, 30000);
    assert_true(rk_vm_health_slowdown(&later, 0) < 1.01);
}

/* Guards against estimates for plain services that do not follow the measured
 * times, or that ignore the load. */
static void plain_call_times_are_learned(void **state)
{
    (void)state;
    struct rk_service_speeds speeds = {0};
    struct rk_service_speed *s = rk_service_speeds_get(&speeds, "slots");
    assert_ptr_equal(rk_service_speeds_get(&speeds, "slots"), s);
    for (int i = 0; i < 100; i++)
        rk_service_speed_note_plain(s, 0.5, 90);
    assert_true(s->plain_ms > 55 && s->plain_ms < 65);
    assert_true(rk_service_speed_plain_ms(s, 1) > rk_service_speed_plain_ms(s, 0));
    rk_service_speeds_free(&speeds);
}

/* Adds a VM of a new service, and returns the service's record. The older records
 * follow it. */
static const struct rk_place_reach *newest_reach(struct rk_place *p,
                                                 struct rk_vm_row rows[2])
{
    rk_strcpy(rows[1].id, RK_ID_MAX, "newest");
    rk_strcpy(rows[1].service, RK_ID_MAX, "newest");
    rk_place_set_vms(p, rows, 2, 0);
    return rk_place_find(p, "newest")->reach;
}

/* Guards against records of services that are never freed: 480 bytes were kept of
 * each service that had ever had a VM. */
static void services_without_vms_are_forgotten(void **state)
{
    (void)state;
    struct rk_place *p = rk_place_create("here", 1);
    struct rk_vm_row rows[2] = {{.slots = 8, .leaves_in_ms = -1}};
    rk_strcpy(rows[0].id, RK_ID_MAX, "lasting");
    rk_strcpy(rows[0].service, RK_ID_MAX, "lasting");
    for (int i = 0; i < 10 * RK_IDLE_SERVICES_MAX; i++) {
        rows[1] = rows[0];
        snprintf(rows[1].id, sizeof(rows[1].id), "vm-%d", i);
        snprintf(rows[1].service, sizeof(rows[1].service), "service-%d", i);
        rk_place_set_vms(p, rows, 2, i);
    }
    rk_place_set_vms(p, rows, 1, 0);
    const struct rk_place_vm *lasting = rk_place_find(p, "lasting");
    assert_ptr_equal(rk_place_service_speed(p, "lasting"), lasting->speed);
    size_t speeds = 0, reaches = 0;
    for (const struct rk_service_speed *s = lasting->speed; s; s = s->next)
        assert_string_equal(s->service, "lasting"); /* the oldest record */
    for (const struct rk_service_speed *s = rk_place_service_speed(p, "newest"); s;
         s = s->next)
        speeds++;
    for (const struct rk_place_reach *r = newest_reach(p, rows); r; r = r->next)
        reaches++;
    assert_in_range(speeds, 1, RK_IDLE_SERVICES_MAX + 2);
    assert_in_range(reaches, 1, RK_IDLE_SERVICES_MAX + 2);
    rk_place_destroy(p);
}

/* ---- refusals ---- */

/* Simulates a call that the VM refuses. */
static void refuse_call(struct rk_place *p, struct rk_place_vm *v,
                        const struct rk_place_query *q, int64_t now_ms)
{
    struct rk_place_job job;
    rk_place_note_sent(p, v, q, now_ms, &job);
    rk_place_note_end(p, v, &job, RK_PLACE_REFUSED, now_ms);
}

/* Guards against calls to a VM that refuses them, at the node that saw the refusals
 * and at those that it reports them to, and against a VM that stays unused for long
 * because it refused many. */
static void a_vm_that_refused_calls_is_tried_again_after_seconds(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows),
                    *other = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:4000,bb:100", 4100);
    struct rk_engine_forecast forecast;
    struct rk_vm_load *loads;
    struct rk_place_vm *first = rk_place_choose(p, &q, 1000, &forecast);
    struct rk_place_vm *same = rk_place_find(other, first->row.id);
    assert_ptr_equal(rk_place_choose(other, &q, 1000, &forecast), same);
    for (int i = 0; i < 50; i++)
        refuse_call(p, first, &q, 1000);
    size_t len = rk_place_own_loads(p, 1200, &loads);
    rk_place_set_loads(other, loads, len, 1200);
    free(loads);
    assert_ptr_not_equal(rk_place_choose(p, &q, 2500, &forecast), first);
    assert_ptr_not_equal(rk_place_choose(other, &q, 2500, &forecast), same);
    assert_ptr_equal(rk_place_choose(p, &q, 9000, &forecast), first);
    assert_ptr_equal(rk_place_choose(other, &q, 9000, &forecast), same);
    rk_place_destroy(p);
    rk_place_destroy(other);
}

/* Guards against a VM that is avoided beyond the cooldown that it asked for,
 * because the refusals in it count as well. */
static void a_refusal_with_a_cooldown_has_no_other_effect(void **state)
{
    (void)state;
    const struct rk_vm_advertised cooldown = {.cooldown_ms = 1000};
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:4000,bb:100", 4100);
    struct rk_engine_forecast forecast;
    struct rk_place_vm *first = rk_place_choose(p, &q, 1000, &forecast);
    for (int i = 0; i < 8; i++) {
        rk_place_apply_signals(p, first, &cooldown, 1000);
        refuse_call(p, first, &q, 1000);
    }
    assert_ptr_not_equal(rk_place_choose(p, &q, 1999, &forecast), first);
    assert_ptr_equal(rk_place_choose(p, &q, 2000, &forecast), first);
    rk_place_destroy(p);
}

/* ---- signals of VMs ---- */

/* Guards against calls beyond the limit that a VM advertised. */
static void a_limited_vm_is_chosen_only_at_its_rate(void **state)
{
    (void)state;
    const struct rk_vm_advertised one_per_s = {.limited = true, .limit_per_s = 1};
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:4000,bb:100", 4100);
    struct rk_engine_forecast forecast;
    struct rk_place_job job;
    struct rk_place_vm *first = rk_place_choose(p, &q, 1000, &forecast);
    rk_place_set_node_count(p, 1);
    rk_place_apply_signals(p, first, &one_per_s, 1000);
    assert_ptr_not_equal(rk_place_choose(p, &q, 1999, &forecast), first);
    assert_ptr_equal(rk_place_choose(p, &q, 2000, &forecast), first);
    rk_place_note_sent(p, first, &q, 2000, &job);
    assert_ptr_not_equal(rk_place_choose(p, &q, 2999, &forecast), first);
    assert_ptr_equal(rk_place_choose(p, &q, 3000, &forecast), first);
    rk_place_destroy(p);
}

/* Guards against a limit that is lost when the VM is missing from a list and then
 * listed again. Only a new incarnation has no limit. */
static void a_limit_outlasts_gaps_in_the_list(void **state)
{
    (void)state;
    const struct rk_vm_advertised one_per_s = {.limited = true, .limit_per_s = 1};
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:4000", 4000);
    struct rk_engine_forecast forecast;
    rows[0].started_ms = 1;
    rk_place_set_vms(p, rows, 3, 500);
    rk_place_set_vms(p, rows, 0, 600); /* nothing was advertised yet */
    rk_place_set_vms(p, rows, 3, 700);
    for (size_t i = 0; i < 3; i++)
        rk_place_apply_signals(p, rk_place_find(p, rows[i].id), &one_per_s, 1000);
    assert_null(rk_place_choose(p, &q, 1500, &forecast));
    rk_place_set_vms(p, rows, 0, 1600);
    rk_place_set_vms(p, rows, 3, 1700);
    assert_null(rk_place_choose(p, &q, 1800, &forecast));
    assert_true(rk_place_retry_after_ms(p, &q, 1800) > 0);
    rows[0].started_ms = 5; /* another incarnation */
    rk_place_set_vms(p, rows, 3, 1900);
    assert_string_equal(rk_place_choose(p, &q, 1900, &forecast)->row.id, "vm-a");
    assert_int_equal(rk_place_retry_after_ms(p, &q, 1900), 0);
    rk_place_destroy(p);
}

/* Guards against calls to a VM that advertised that it leaves, because an outdated
 * list shows it as ready, or because it was missing from a list. */
static void a_vm_that_advertised_leaving_is_not_chosen_again(void **state)
{
    (void)state;
    const struct rk_vm_advertised leaving_signal = {.leaving = true};
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:4000", 4000);
    struct rk_engine_forecast forecast;
    struct rk_place_vm *first = rk_place_choose(p, &q, 1000, &forecast);
    char id[RK_ID_MAX];
    rk_strcpy(id, sizeof(id), first->row.id);
    rk_place_apply_signals(p, first, &leaving_signal, 1000);
    assert_true(first->row.leaving);
    rk_place_set_vms(p, rows, 3, 1100); /* listed as ready */
    assert_string_not_equal(rk_place_choose(p, &q, 1100, &forecast)->row.id, id);
    rk_place_set_vms(p, rows, 0, 1200);
    rk_place_set_vms(p, rows, 3, 1300);
    assert_true(rk_place_find(p, id)->row.leaving);
    rk_place_destroy(p);
}

/* Guards against signals that are lost when a peer sends them before the list has
 * the VM. */
static void signals_of_a_vm_not_listed_yet_count(void **state)
{
    (void)state;
    struct rk_vm_row rows[3];
    struct rk_place *p = rk_place_create("here", 1);
    struct rk_place *other = create_with_three_vms(rows);
    const struct rk_vm_signal update = {
        .incarnation = rk_vm_incarnation_hash(&rows[1]), .leaving = true};
    rk_place_set_signals(p, &update, 1, 100);
    rk_place_set_signals(other, &update, 1, 100);
    rk_place_set_vms(p, rows, 3, 200);
    assert_true(rk_place_find(p, "vm-b")->row.leaving);
    assert_false(rk_place_find(p, "vm-a")->row.leaving);
    assert_true(rk_place_find(other, "vm-b")->row.leaving);
    rk_place_destroy(p);
    rk_place_destroy(other);
}

/* Guards against calls to a VM that asked for a cooldown, also if no other VM is
 * left or it was missing from a list. Callers must learn when it ends. */
static void a_vm_gets_no_calls_until_its_cooldown_ends(void **state)
{
    (void)state;
    const struct rk_vm_advertised cooldown = {.cooldown_ms = 3000};
    struct rk_vm_row rows[3];
    struct rk_place *p = create_with_three_vms(rows);
    struct rk_place_query q = engine_query("aa:4000", 4000);
    struct rk_engine_forecast forecast;
    for (size_t i = 0; i < 3; i++)
        rk_place_apply_signals(p, rk_place_find(p, rows[i].id), &cooldown,
                               1000 + 100 * (int64_t)i);
    assert_null(rk_place_choose(p, &q, 1300, &forecast));
    assert_int_equal(rk_place_retry_after_ms(p, &q, 1300), 2700);
    rk_place_set_vms(p, rows, 0, 1400);
    rk_place_set_vms(p, rows, 3, 1500);
    assert_null(rk_place_choose(p, &q, 3999, &forecast));
    assert_string_equal(rk_place_choose(p, &q, 4000, &forecast)->row.id, "vm-a");
    rk_place_destroy(p);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_vm_that_refused_calls_is_tried_again_after_seconds),
        cmocka_unit_test(a_refusal_with_a_cooldown_has_no_other_effect),
        cmocka_unit_test(a_vm_gets_no_calls_until_its_cooldown_ends),
        cmocka_unit_test(a_vm_that_advertised_leaving_is_not_chosen_again),
        cmocka_unit_test(signals_of_a_vm_not_listed_yet_count),
        cmocka_unit_test(a_limited_vm_is_chosen_only_at_its_rate),
        cmocka_unit_test(a_limit_outlasts_gaps_in_the_list),
        cmocka_unit_test(a_begun_stream_stays_at_its_version),
        cmocka_unit_test(a_prefix_stays_with_its_vm_until_that_is_busy),
        cmocka_unit_test(nodes_agree_on_the_vm_of_a_prefix),
        cmocka_unit_test(leaving_excluded_and_paused_vms_are_not_chosen),
        cmocka_unit_test(a_vm_that_is_not_listed_is_kept_while_it_has_calls),
        cmocka_unit_test(calls_of_peers_count_as_load),
        cmocka_unit_test(many_vms_are_added_and_removed),
        cmocka_unit_test(list_changes_have_the_effect_of_full_lists),
        cmocka_unit_test(the_cost_of_peer_reports_depends_on_active_vms),
        cmocka_unit_test(a_busy_prefix_overflows_to_one_more_vm),
        cmocka_unit_test(the_preferred_vm_is_assumed_to_cache_its_prefix),
        cmocka_unit_test(a_prefix_is_copied_from_a_leaving_vm),
        cmocka_unit_test(short_prefixes_are_not_copied),
        cmocka_unit_test(equal_vms_get_equal_calls),
        cmocka_unit_test(a_slow_vm_is_avoided_for_a_while),
        cmocka_unit_test(a_slow_vm_without_calls_is_tried),
        cmocka_unit_test(a_slow_vm_is_tried_soon_after_its_last_call),
        cmocka_unit_test(a_vm_at_which_calls_failed_is_tried_after_seconds),
        cmocka_unit_test(a_vm_at_which_a_call_failed_is_tried_whatever_is_drawn),
        cmocka_unit_test(unanswered_calls_count_as_slow),
        cmocka_unit_test(plain_call_times_are_learned),
        cmocka_unit_test(services_without_vms_are_forgotten),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
