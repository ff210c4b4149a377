/* Unit tests of the core: settings, configuration, prompts and prefixes, the
 * router, the VM plan, retry budgets, leases and process files. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/retry_budget.h"
#include "core/completion.h"
#include "core/config.h"
#include "core/duration.h"
#include "core/lease.h"
#include "core/plan.h"
#include "core/prefix_index.h"
#include "core/procfile.h"
#include "core/router.h"
#include "core/settings.h"

/* ---- settings ---- */

static struct rk_problems problems;

/* Parses settings. Returns NULL on mistakes, which are then in problems. */
static struct rk_settings *parse_settings(const char *text)
{
    struct rk_settings *s = NULL;
    rk_settings_parse(text, &s, &problems);
    return s;
}

/* Guards against a mistake in the settings that is accepted, or reported without
 * its path, its line and what was expected. */
static void mistakes_are_named(void **state)
{
    (void)state;
    static const struct {
        const char *text, *path;
        int line;
        const char *expected;
    } cases[] = {
        {"{\n\"deadline_ms\" 5000\n}", "/", 2, "JSON"},
        {"{\n\"machines\": {}}", "/machines", 2, "services"},
        {"{\n\n\"dead_line\": 5}", "/dead_line", 3, "known setting"},
        {"{\"deadline_ms\":\n \"soon\"}", "/deadline_ms", 1, "whole number"},
        {"{\n\"deadline_ms\": 1}", "/deadline_ms", 2, "from 10"},
        {"{\"services\": {\n\"s\": {\"kind\": \"car\"}}}", "/services/s/kind", 2,
         "engine|service"},
        {"{\"classes\": {\"a\": {\n\"price\": 3}}}", "/classes/a/price", 2,
         "belongs elsewhere"},
        {"{\"organisations\": {\"a\": {\n\"default_class\": \"none\"}}}",
         "/organisations/a/default_class", 2, "member of /classes"},
        {"{\n\"services\": 4}", "/services", 2, "node"},
        {"{\"max_calls\": 5,\n\"max_calls\": 6}", "/max_calls", 2, "once"},
        {"{\"classes\": {\n\"a b\": {}}}", "/classes", 1, "letters"},
        {"{\"services\": {\n\"s\": {\"kind\": \"engine\"}}}", "/services/s", 2,
         "model"},
        {"{\"services\": {\n\"s\": {}}}", "/services/s", 2, "kind"},
        {"{\"vm_classes\": {\n\"v\": {}}}", "/vm_classes/v", 2, "price"},
        {"{\"classes\": {\"a\": {\"rank\": {\n}}}}", "/classes/a/rank", 1, "value"},
        {"{\"claim_retention_s\": 10, \"services\": {\n\"s\": {\"kind\": "
         "\"service\"}}}",
         "/services/s", 2, "outlive"},
    };
    for (size_t i = 0; i < RK_ARRAY_LEN(cases); i++) {
        assert_null(parse_settings(cases[i].text));
        assert_string_equal(problems.items[0].path, cases[i].path);
        assert_int_equal(problems.items[0].line, cases[i].line);
        assert_non_null(strstr(problems.items[0].expected, cases[i].expected));
    }
}

/* Guards against settings that are too large for the object that stores them. */
static void oversized_settings_are_rejected(void **state)
{
    (void)state;
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "{\"organisations\":{\"o\":{}");
    for (int i = 0; b.len <= RK_SETTINGS_MAX_BYTES; i++)
        rk_buf_printf(&b, ",\"organisation-%d\":{\"weight\":%d}", i, 1 + i % 1000);
    rk_buf_addstr(&b, "}}");
    assert_null(parse_settings(b.data));
    assert_non_null(strstr(problems.items[0].expected, "bytes"));
    rk_buf_free(&b);
}

/* Guards against a report of the first mistake only. */
static void all_mistakes_are_reported_at_once(void **state)
{
    (void)state;
    assert_null(parse_settings("{\"a\": 1, \"b\": 2, \"deadline_ms\": 0}"));
    assert_int_equal(problems.count, 3);
}

static const char *const tree_text =
    "{ \"deadline_ms\": 4000, // for all\n"
    "  \"services\": { \"deadline_ms\": 3000,\n"
    "    \"s\": { \"kind\": \"service\", \"go\": { \"deadline_ms\": 100 },\n"
    "           \"look\": { \"repeatable\": true } },\n"
    "    \"e\": { \"kind\": \"engine\", \"model\": \"m\", \"repeatable\": true } "
    "},\n"
    "  \"classes\": { \"c\": { \"rank\": 1 } },\n"
    "  \"organisations\": { \"weight\": 2, \"o\": {}, \"p\": { \"weight\": 5 } } }";

/* Guards against a value that is taken from the wrong level of the settings, and
 * against a wrong origin: it is the path of the value, or empty for a built-in
 * default. */
static void values_are_inherited(void **state)
{
    (void)state;
    struct rk_settings *s = parse_settings(tree_text);
    char origin[RK_SETTING_PATH_MAX];
    assert_non_null(s);
    assert_int_equal(rk_settings_int(s, "/services/s/go", "deadline_ms"), 100);
    assert_int_equal(rk_settings_int(s, "/services/s/look", "deadline_ms"), 3000);
    assert_int_equal(rk_settings_int(s, "/organisations/o", "weight"), 2);
    rk_settings_get(s, "/services/s/look", "deadline_ms", origin);
    assert_string_equal(origin, "/services/deadline_ms");
    rk_settings_get(s, "/services/s", "vm_slots", origin);
    assert_string_equal(origin, "");
    rk_settings_destroy(s);
}

/* Guards against a call that runs under another call's policy; calls that the
 * settings do not name have that of their service. */
static void config_finds_policies(void **state)
{
    (void)state;
    struct rk_settings *s = parse_settings(tree_text);
    struct rk_config *c = rk_config_create(s, 7);
    assert_int_equal(rk_config_policy(c, "s", "go")->deadline_ms, 100);
    assert_true(rk_config_policy(c, "s", "look")->repeatable);
    assert_string_equal(rk_config_policy(c, "s", "other")->call, "");
    assert_null(rk_config_policy(c, "x", ""));
    assert_string_equal(rk_config_policy_of_model(c, "m")->service, "e");
    assert_int_equal(rk_config_org(c, "p")->weight, 5);
    assert_null(rk_config_org(c, "nobody"));
    assert_int_equal(rk_config_class(c, "c")->rank, 1);
    rk_config_destroy(c);
    rk_settings_destroy(s);
}

/* ---- prompts and prefixes ---- */

/* Builds a prompt of numbered words that begin with head, and a last word from
 * tail. */
static void make_prompt(struct rk_prompt *p, const char *head, int words, int tail)
{
    struct rk_prompt_builder r;
    char word[64];
    rk_prompt_begin(&r, p);
    for (int i = 0; i < words; i++) {
        snprintf(word, sizeof(word), "%s%d ", head, i);
        rk_prompt_add(&r, word, strlen(word));
    }
    snprintf(word, sizeof(word), "tail%d", tail);
    rk_prompt_add(&r, word, strlen(word));
    rk_prompt_end(&r);
}

/* Guards against predictions from blocks that a VM no longer caches: after as many
 * tokens were prefilled there as its cache holds, or after the VM was removed. */
static void prefixes_are_matched_and_evicted(void **state)
{
    (void)state;
    static struct rk_prompt a, b;
    struct rk_prefix_index *p = rk_prefix_index_create();
    uint64_t clocks[3] = {0}, sizes[3] = {1000, 1000, 1000};
    uint32_t cached[3];
    make_prompt(&a, "x", 320, 1);
    make_prompt(&b, "x", 320, 2);
    assert_int_equal(a.tokens, 321);
    assert_int_equal(a.root, b.root);
    rk_prefix_index_insert(p, &a, 1, clocks[1]);
    rk_prefix_index_match(p, &b, clocks, sizes, cached, 3);
    assert_int_equal(cached[0], 0);
    assert_int_equal(cached[1], 320);
    clocks[1] = 1000; /* as many tokens as its cache holds */
    rk_prefix_index_match(p, &b, clocks, sizes, cached, 3);
    assert_int_equal(cached[1], 0);
    rk_prefix_index_insert(p, &a, 2, 0);
    rk_prefix_index_remove_vm(p, 2);
    rk_prefix_index_match(p, &b, clocks, sizes, cached, 3);
    assert_int_equal(cached[2], 0);
    rk_prefix_index_destroy(p);
}

/* Guards against request fields that are lost on the way to the upstream, which is
 * always asked for a stream, and against bodies that are no object. */
static void completion_requests_are_parsed(void **state)
{
    (void)state;
    static struct rk_prompt p;
    struct rk_completion c;
    const char *body = "{\"model\":\"m\",\"max_tokens\":7,\"temperature\":0.5,"
                       "\"messages\":[{\"content\":\"a b\"},{\"content\":\"c\"}]}";
    assert_int_equal(rk_completion_parse(body, strlen(body), true, &p, &c), RK_OK);
    assert_int_equal(c.max_tokens, 7);
    assert_false(c.stream);
    assert_int_equal(p.tokens, 3);
    assert_non_null(strstr(c.upstream_body, "temperature"));
    assert_non_null(strstr(c.upstream_body, "\"stream\": true"));
    free(c.upstream_body);
    assert_int_equal(rk_completion_parse("[]", 2, true, &p, &c), RK_EINVAL);
}

/* ---- router ---- */

struct fixture {
    struct rk_router *r;
    struct rk_config *cfg;
    struct rk_settings *tree;
    struct rk_vm vms[4];
};

static void router_setup(struct fixture *f, int vms, const char *service)
{
    f->tree = parse_settings(tree_text);
    f->cfg = rk_config_create(f->tree, 1);
    f->r = rk_router_create(1, RK_ROUTE_ADAPTIVE);
    for (int i = 0; i < vms; i++) {
        f->vms[i] = (struct rk_vm){.incarnation = 1};
        snprintf(f->vms[i].id, RK_ID_MAX, "vm%d", i);
        rk_strcpy(f->vms[i].service, RK_ID_MAX, service);
        rk_strcpy(f->vms[i].domain, RK_ID_MAX, "d");
    }
    rk_router_update(f->r, f->cfg, f->vms, (size_t)vms, "d", 0);
}

static void router_teardown(struct fixture *f)
{
    rk_router_destroy(f->r);
    rk_config_destroy(f->cfg);
    rk_settings_destroy(f->tree);
}

static struct rk_job job_for(const char *service, struct rk_prompt *prompt)
{
    struct rk_job j = {.org_weight = 1,
                       .org_max = 100,
                       .rank = 3,
                       .queue_ms = 100000,
                       .deadline_ms = 200000,
                       .prompt = prompt,
                       .max_tokens = prompt ? 60 : 0};
    rk_strcpy(j.service, RK_ID_MAX, service);
    rk_strcpy(j.org, RK_ID_MAX, "o");
    return j;
}

static struct rk_job *submit_and_send(struct fixture *f, struct rk_job *j,
                                      int64_t now)
{
    int64_t after;
    assert_int_equal(rk_router_submit(f->r, j, now, &after), RK_SUBMIT_QUEUED);
    return rk_router_next(f->r, now);
}

/* Guards against a prefix that is computed at several VMs without need, and against
 * a queue at its VM while others have free slots. */
static void a_prefix_stays_at_its_vm_until_that_is_full(void **state)
{
    (void)state;
    struct fixture f;
    static struct rk_prompt p;
    struct rk_job jobs[8];
    router_setup(&f, 2, "e");
    make_prompt(&p, "x", 640, 1);
    /* Calls in sequence all go to the same VM. */
    for (int i = 0; i < 3; i++) {
        jobs[i] = job_for("e", &p);
        assert_ptr_equal(submit_and_send(&f, &jobs[i], i), &jobs[i]);
        assert_int_equal(jobs[i].vm, jobs[0].vm);
        rk_router_end(f.r, &jobs[i], false, i + 10);
    }
    /* More concurrent calls than the VM has slots: the prefix is copied. */
    int elsewhere = 0;
    for (int i = 0; i < 8; i++) {
        jobs[i] = job_for("e", &p);
        assert_ptr_equal(submit_and_send(&f, &jobs[i], 100), &jobs[i]);
        elsewhere += jobs[i].vm != jobs[0].vm;
    }
    assert_int_equal(elsewhere, 4);
    for (int i = 0; i < 8; i++)
        rk_router_end(f.r, &jobs[i], false, 200);
    router_teardown(&f);
}

/* Guards against calls to a VM that is leaving. A call whose last VM leaves cannot
 * be served, and a new one is refused with a time to retry. */
static void leaving_vms_get_no_calls(void **state)
{
    (void)state;
    struct fixture f;
    struct rk_job j = job_for("s", NULL);
    int64_t after;
    router_setup(&f, 2, "s");
    f.vms[0].state = RK_VM_LEAVING;
    rk_router_update(f.r, f.cfg, f.vms, 2, "d", 1);
    assert_ptr_equal(submit_and_send(&f, &j, 1), &j);
    assert_string_equal(rk_router_vm_id(f.r, j.vm), "vm1");
    f.vms[1].state = RK_VM_LEAVING;
    rk_router_update(f.r, f.cfg, f.vms, 2, "d", 2);
    assert_true(rk_router_vm_leaving(f.r, j.vm));
    rk_router_requeue(f.r, &j, 3);
    assert_false(rk_router_can_serve(f.r, &j));
    rk_router_end(f.r, &j, false, 4);
    j = job_for("s", NULL);
    assert_int_equal(rk_router_submit(f.r, &j, 5, &after), RK_SUBMIT_NO_VM);
    assert_true(after > 0);
    router_teardown(&f);
}

/* Guards against calls that wait in the queue only to miss their deadline. */
static void calls_that_would_miss_their_deadline_are_refused(void **state)
{
    (void)state;
    struct fixture f;
    static struct rk_prompt p;
    struct rk_job jobs[40];
    int64_t after;
    int refused = 0, queued = 0;
    router_setup(&f, 1, "e");
    make_prompt(&p, "x", 64, 1);
    for (int i = 0; i < 40; i++) {
        jobs[i] = job_for("e", &p);
        jobs[i].deadline_ms = 3000;
        if (rk_router_submit(f.r, &jobs[i], 0, &after) == RK_SUBMIT_QUEUED)
            queued++;
        else
            refused += after > 0;
        rk_router_next(f.r, 0);
    }
    /* The VM has four slots and a call takes 920 ms, so that about eight more calls
     * end within 3 s. */
    assert_in_range(queued, 8, 14);
    assert_int_equal(refused, 40 - queued);
    for (int i = 0; i < 40; i++)
        rk_router_end(f.r, &jobs[i], false, 10);
    router_teardown(&f);
}

/* Guards against an organisation that has more calls in flight than its limit, and
 * against a call that ends and still counts. */
static void an_organisations_limit_holds(void **state)
{
    (void)state;
    struct fixture f;
    struct rk_job a = job_for("s", NULL), b = job_for("s", NULL);
    int64_t after;
    router_setup(&f, 1, "s");
    a.org_max = b.org_max = 1;
    assert_int_equal(rk_router_submit(f.r, &a, 0, &after), RK_SUBMIT_QUEUED);
    assert_int_equal(rk_router_submit(f.r, &b, 0, &after), RK_SUBMIT_ORG_LIMIT);
    rk_router_end(f.r, &a, false, 1);
    assert_int_equal(rk_router_submit(f.r, &b, 2, &after), RK_SUBMIT_QUEUED);
    rk_router_end(f.r, &b, false, 3);
    router_teardown(&f);
}

/* ---- plan ---- */

static struct rk_plan_input plan_input(void)
{
    struct rk_plan_input in = {.classes_len = 2,
                               .slots_per_vm = 4,
                               .headroom = 0.25,
                               .weight_cost = 1,
                               .weight_recompute = 1,
                               .tokens_per_reclaim = 8000,
                               .price_per_mtoken = 100,
                               .now_ms = 1000};
    rk_strcpy(in.classes[0].name, RK_ID_MAX, "spot");
    in.classes[0].price = 1;
    in.classes[0].reclaimable = true;
    rk_strcpy(in.classes[1].name, RK_ID_MAX, "fixed");
    in.classes[1].price = 3;
    return in;
}

/* Guards against a plan that leaves urgent work to reclaimable VMs, which may all
 * be lost at once, unless other failure domains have free slots for it. */
static void urgent_work_gets_on_demand_vms(void **state)
{
    (void)state;
    struct rk_plan_input in = plan_input();
    struct rk_plan plan;
    in.demand_slots = 12;
    in.urgent_slots = 6;
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.want_floor, 2);
    assert_int_equal(plan.want_total, 4);
    assert_int_equal(plan.len, 2);
    assert_int_equal(plan.actions[0].cls, 1);
    assert_int_equal(plan.actions[0].count, 2);
    assert_int_equal(plan.actions[1].cls, 0);
    assert_int_equal(plan.actions[1].count, 2);
    in.elsewhere_slots = 6; /* enough in the other domains */
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.want_floor, 0);
}

/* Guards against a plan that insists on a class whose starts are refused: it must
 * use another class meanwhile, and wait longer after each refusal. */
static void refused_starts_back_off_and_use_another_class(void **state)
{
    (void)state;
    struct rk_plan_input in = plan_input();
    struct rk_plan plan;
    in.demand_slots = 3;
    rk_plan_start_refused(&in.classes[0], in.now_ms);
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.actions[0].cls, 1);
    int64_t first = in.classes[0].refused_until_ms;
    rk_plan_start_refused(&in.classes[0], in.now_ms);
    assert_true(in.classes[0].refused_until_ms - in.now_ms > first - in.now_ms);
    rk_plan_start_granted(&in.classes[0]);
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.actions[0].cls, 0);
}

/* Guards against a choice of class that ignores the weights of price and of the
 * tokens that are computed again after reclaims. */
static void weights_decide_between_price_and_recompute(void **state)
{
    (void)state;
    struct rk_plan_input in = plan_input();
    in.classes[0].reclaims_per_hour = 4; /* recomputed tokens cost 3.2 an hour */
    in.weight_recompute = 0.1;
    assert_true(rk_plan_effective_price(&in, &in.classes[0]) <
                rk_plan_effective_price(&in, &in.classes[1]));
    in.weight_recompute = 1;
    assert_true(rk_plan_effective_price(&in, &in.classes[0]) >
                rk_plan_effective_price(&in, &in.classes[1]));
}

/* Guards against a loss of capacity while expensive VMs are replaced: one is
 * stopped only when the cheaper one is ready, and only for a price that is much
 * lower. */
static void expensive_vms_are_replaced(void **state)
{
    (void)state;
    struct rk_plan_input in = plan_input();
    struct rk_plan plan;
    in.classes[1].held = in.classes[1].ready = 2;
    in.demand_slots = 6;
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.len, 1);
    assert_int_equal(plan.actions[0].kind, RK_PLAN_START);
    assert_int_equal(plan.actions[0].cls, 0);
    in.classes[0].held = plan.actions[0].count;
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.len, 0); /* the cheaper ones are starting */
    in.classes[0].ready = in.classes[0].held;
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.len, 1);
    assert_int_equal(plan.actions[0].kind, RK_PLAN_STOP);
    assert_int_equal(plan.actions[0].cls, 1);
    in.classes[0].price = 2.9; /* too little is saved */
    in.classes[0].held = in.classes[0].ready = 0;
    rk_plan_make(&in, &plan);
    assert_int_equal(plan.len, 0);
}

/* Guards against stopping the on-demand VMs that urgent work needs. */
static void stops_keep_the_on_demand_vms(void **state)
{
    (void)state;
    struct rk_plan_input in = plan_input();
    struct rk_plan plan;
    in.classes[0].held = in.classes[0].ready = 6;
    in.classes[1].held = in.classes[1].ready = 2;
    in.demand_slots = 6;
    in.urgent_slots = 6;
    rk_plan_make(&in, &plan);
    for (size_t i = 0; i < plan.len; i++) {
        assert_int_equal(plan.actions[i].kind, RK_PLAN_STOP);
        assert_int_equal(plan.actions[i].cls, 0);
    }
    assert_int_equal(plan.len, 1);
}

/* ---- retry budgets, leases, process files ---- */

/* Guards against retries that amplify an overload: their number is bounded by a
 * tenth of the calls plus an initial burst. */
static void the_budget_bounds_retries(void **state)
{
    (void)state;
    struct rk_retry_budget b = {0};
    int spent = 0;
    for (int i = 0; i < 1000; i++) {
        rk_retry_budget_earn(&b, 10);
        spent += rk_retry_budget_spend(&b);
    }
    assert_in_range(spent, 100, 100 + RK_RETRY_BUDGET_BURST);
}

/* Guards against a restart that renews the budget: 295 nodes use up their retries,
 * are all killed and use up again what they get. Together they may send the 630
 * retries that the deployment allows and a fifth of the calls. Each must still have
 * some at its first start: with a single one, a node needed 6 s to earn another,
 * and one in six of its repeatable calls that failed was not retried. */
static void a_restart_of_all_nodes_renews_no_retries(void **state)
{
    (void)state;
    const int nodes = 295, calls = 8, burst = 630, pct = 20;
    int sent = 0;
    for (int restart = 0; restart < 2; restart++)
        for (int node = 0; node < nodes; node++) {
            struct rk_retry_budget b = {0};
            for (int call = 0; call < calls; call++) {
                rk_retry_budget_set_share(&b, burst, nodes, restart == 0);
                rk_retry_budget_earn(&b, pct);
                while (rk_retry_budget_spend(&b))
                    sent++;
            }
        }
    assert_true(sent <= burst + 2 * nodes * calls * pct / 100);
    assert_true(sent >= 2 * nodes);
}

/* Guards against a candidate that lost the race for a lease and writes again
 * without reading it: it must read the lease, and wait until that has expired. */
static void a_candidate_reads_the_lease_after_a_lost_race(void **state)
{
    (void)state;
    struct rk_lease l = {.self = {.name = "me"}, .ttl_ms = 1000};
    char value[RK_LEASE_VALUE_MAX];
    int64_t expect;
    rk_lease_read_done(&l, 0, "", 1);
    assert_true(rk_lease_next_write(&l, 2, value, &expect));
    assert_int_equal(expect, 0);
    rk_lease_write_done(&l, RK_ECONFLICT, 0, 3);
    assert_false(rk_lease_next_write(&l, 4, value, &expect));
    rk_lease_read_done(&l, 1, "{\"holder\":\"x\",\"epoch\":1,\"beat\":2}", 5);
    assert_false(rk_lease_next_write(&l, 900, value, &expect));
    assert_true(rk_lease_next_write(&l, 1100, value, &expect));
    assert_int_equal(expect, 1);
}

/* Writes a process file and loads it. */
static enum rk_status load_process_file(const char *text,
                                        const struct rk_procfile *in_force,
                                        struct rk_procfile *out)
{
    char path[] = "/tmp/rillknot-procfile-XXXXXX";
    FILE *f = fdopen(mkstemp(path), "w");
    fputs(text, f);
    fclose(f);
    enum rk_status st = rk_procfile_load(path, in_force, out);
    remove(path);
    return st;
}

#define REQUIRED_TEXTS "\"id\":\"a\",\"failure_domain\":\"b\",\"platform\":\"c\""

/* Guards against a mistake in a process file that is accepted without a word, or
 * reported without line and path, and against a missing file that is taken for a
 * mistake. */
static void process_files_are_checked(void **state)
{
    (void)state;
    struct rk_procfile f;
    assert_int_equal(load_process_file(
                         "{ // one\n \"id\": \"a\",\n \"platform\": 9 }", NULL, &f),
                     RK_EINVAL);
    assert_non_null(strstr(rk_last_error(), ":3: /platform: expected a string"));
    assert_int_equal(load_process_file("{\"id\": \"a\"}", NULL, &f), RK_EINVAL);
    assert_non_null(strstr(rk_last_error(), ": /failure_domain: expected a value"));
    assert_int_equal(load_process_file("{" REQUIRED_TEXTS
                                       ",\n\"traffic_threads\": 99}",
                                       NULL, &f),
                     RK_OK);
    assert_int_equal(f.problems_len, 1);
    assert_non_null(strstr(f.problems[0],
                           "2: /traffic_threads: expected a whole "
                           "number from 1 to 16, found 99; 16 is used"));
    assert_int_equal(f.traffic_threads, 16);
    assert_int_equal(rk_procfile_load("/nonexistent", NULL, &f), RK_ENOTFOUND);
}

/* Guards against a figure out of range that is taken as it stands, or replaced by
 * something further from it than need be. */
static void bad_figures_are_replaced(void **state)
{
    (void)state;
    const struct {
        const char *text;
        double stop_s;
        int64_t notice_ms;
        size_t problems;
    } cases[] = {
        {"", 20, 20000, 0},
        {",\"stop_s\":\"2.5\",\"notice_ms\":\"7\"", 2.5, 7, 0},
        {",\"stop_s\":0.5,\"notice_ms\":7.9", 1, 7, 2},
        {",\"stop_s\":1e18,\"notice_ms\":1e300", 3600, 600000, 2},
        {",\"stop_s\":0,\"notice_ms\":-1", 20, 20000, 2},
        {",\"stop_s\":NaN,\"notice_ms\":\"nan\"", 20, 20000, 2},
        {",\"stop_s\":-Infinity,\"notice_ms\":\"7s\"", 20, 20000, 2},
        {",\"stop_s\":null,\"notice_ms\":{}", 20, 20000, 2},
        {",\"stop_s\":\"\",\"notice_ms\":false", 20, 20000, 2},
    };
    const struct rk_procfile in_force = {.stop_s = 8, .notice_ms = 9};
    for (size_t i = 0; i < RK_ARRAY_LEN(cases); i++) {
        char text[256];
        struct rk_procfile f;
        snprintf(text, sizeof(text), "{" REQUIRED_TEXTS "%s}", cases[i].text);
        assert_int_equal(load_process_file(text, NULL, &f), RK_OK);
        assert_true(f.stop_s == cases[i].stop_s);
        assert_int_equal(f.notice_ms, cases[i].notice_ms);
        assert_int_equal(f.problems_len, cases[i].problems);
        assert_int_equal(load_process_file(text, &in_force, &f), RK_OK);
        assert_true(f.stop_s == (cases[i].problems ? 8 : cases[i].stop_s));
        assert_int_equal(f.notice_ms, cases[i].problems ? 9 : cases[i].notice_ms);
    }
}

/* Guards against a peer that is no text and costs the peers beside it, and against
 * more problems than the list of them holds. */
static void bad_peers_and_many_problems_are_listed(void **state)
{
    (void)state;
    struct rk_procfile f;
    assert_int_equal(load_process_file("{" REQUIRED_TEXTS
                                       ",\"peers\":[\"a:1\",7,\"b:2\"],\"new\":{}}",
                                       NULL, &f),
                     RK_OK);
    assert_int_equal(f.peers_len, 2);
    assert_string_equal(f.peers[1], "b:2");
    assert_int_equal(f.problems_len, 2);
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "{" REQUIRED_TEXTS);
    for (int i = 0; i < 2 * RK_PROCFILE_PROBLEMS; i++)
        rk_buf_printf(&b, ",\"%0*d\":1", RK_PROCFILE_PROBLEM_MAX, i);
    rk_buf_addstr(&b, "}");
    assert_int_equal(load_process_file(b.data, NULL, &f), RK_OK);
    assert_int_equal(f.problems_len, RK_PROCFILE_PROBLEMS);
    rk_buf_free(&b);
}

/* Guards against calls that are cut at the end of a stop because their expected
 * duration is that of the average call, or one of long ago. */
static void few_calls_exceed_the_expected_duration(void **state)
{
    (void)state;
    struct rk_duration d = {0};
    assert_int_equal(rk_duration_expected_ms(&d), -1);
    rk_duration_add(&d, 1500);
    assert_int_equal(rk_duration_expected_ms(&d), 1500);
    int exceeded = 0;
    for (int i = 0; i < 1000; i++) {
        int64_t ms = 100 + i * 7919 % 1901;
        exceeded += ms > rk_duration_expected_ms(&d);
        assert_true(rk_duration_expected_ms(&d) <= 2000);
        rk_duration_add(&d, ms);
    }
    assert_true(exceeded <= 50);
    for (int i = 0; i < 50; i++)
        rk_duration_add(&d, 20);
    int64_t ms = rk_duration_expected_ms(&d);
    assert_true(ms >= 20 && ms < 40);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(mistakes_are_named),
        cmocka_unit_test(oversized_settings_are_rejected),
        cmocka_unit_test(all_mistakes_are_reported_at_once),
        cmocka_unit_test(values_are_inherited),
        cmocka_unit_test(config_finds_policies),
        cmocka_unit_test(prefixes_are_matched_and_evicted),
        cmocka_unit_test(completion_requests_are_parsed),
        cmocka_unit_test(a_prefix_stays_at_its_vm_until_that_is_full),
        cmocka_unit_test(leaving_vms_get_no_calls),
        cmocka_unit_test(calls_that_would_miss_their_deadline_are_refused),
        cmocka_unit_test(an_organisations_limit_holds),
        cmocka_unit_test(urgent_work_gets_on_demand_vms),
        cmocka_unit_test(refused_starts_back_off_and_use_another_class),
        cmocka_unit_test(weights_decide_between_price_and_recompute),
        cmocka_unit_test(expensive_vms_are_replaced),
        cmocka_unit_test(stops_keep_the_on_demand_vms),
        cmocka_unit_test(the_budget_bounds_retries),
        cmocka_unit_test(a_restart_of_all_nodes_renews_no_retries),
        cmocka_unit_test(a_candidate_reads_the_lease_after_a_lost_race),
        cmocka_unit_test(few_calls_exceed_the_expected_duration),
        cmocka_unit_test(process_files_are_checked),
        cmocka_unit_test(bad_figures_are_replaced),
        cmocka_unit_test(bad_peers_and_many_problems_are_listed),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
