/* rillknot-replay: runs a recorded trace through the core in simulated time,
 * against engines modelled by the settings' own figures, and compares what came
 * out with the outcomes the trace states. The same trace gives the same verdict
 * each time.
 *
 * A trace has one JSON object a line:
 *   {"settings": TREE}                                       first
 *   {"at_ms", "vm": ID, "service", "vm_class", "state"}      a vm's row
 *   {"at_ms", "reclaim": ID, "in_ms"}                        a notice
 *   {"at_ms", "kill": ID}                                    a vm is gone,
 * unannounced
 *   {"at_ms", "fault": ID, "mode"}     of its next call: "refuse" (503),
 *                                      "cut" (broken off halfway), "silent"
 *   {"at_ms", "call": N, "organisation", "class", "service", "tenant",
 *    "prompt_tokens", "max_tokens", "key"}
 *   {"expect": {NAME: {"min", "max"}}}                       last; names below */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/util.h"
#include "core/budget.h"
#include "core/config.h"
#include "core/members.h"
#include "core/router.h"
#include "core/settings.h"
#include "core/verdict.h"

#define MAX_VMS      256
#define MAX_CALLS    100000
#define MAX_ATTEMPTS 8
#define STEP_MS      25
#define PLAIN_MS     8 /* of a plain service's call */
#define LINE_LIMIT   65536
#define DOMAIN_NAME  "trace"
#define MS_PER_HOUR  3600000.0

enum call_end { CALL_OPEN, CALL_WHOLE, CALL_NOT_RUN, CALL_MAYBE };

struct call {
    int64_t at_ms;
    struct rk_job job;
    struct rk_prompt prompt;
    const struct rk_policy *policy;
    char org[RK_ID_MAX], cls[RK_ID_MAX], key[RK_ID_MAX];
    int64_t deadline_ms;
    int64_t done_tokens; /* the caller has */
    int64_t begin_ms;    /* of the attempt: when its first token is due */
    int64_t end_ms;
    int64_t first_ms; /* when the first token came; -1 */
    int attempts, runs;
    enum call_end end;
    enum rk_verdict verdict;
    bool cut, silent, refuse;
    bool unreachable; /* its vm was gone when it was sent */
    int vm;           /* index in sim.vms while sent */
};

struct sim_vm {
    struct rk_vm row;
    int64_t live_from_ms, gone_ms; /* gone_ms -1: not yet */
    int64_t reclaim_ms;            /* -1: none announced */
    char fault[16];
};

static struct {
    struct rk_config *cfg;
    struct rk_settings *tree;
    struct rk_router *router;
    struct sim_vm vms[MAX_VMS];
    size_t vms_len;
    struct call *calls;
    size_t calls_len, next_call;
    struct json_object **events;
    size_t events_len, next_event;
    struct json_object *expect;
    struct rk_budget budget;
    int64_t now_ms;
    int64_t recomputed, attempts, late_work_at_leaving;
} sim;

static struct {
    const char *file;
    bool decisions;
    enum rk_route_policy policy;
} args;

static bool has(struct json_object *o, const char *name)
{
    return json_object_object_get_ex(o, name, NULL);
}

static void say(const struct call *c, const char *what, const char *where)
{
    if (args.decisions)
        printf("%8" PRId64 " ms  call %-6zu %-14s %-12s %s\n", sim.now_ms,
               (size_t)(c - sim.calls), c->policy ? c->policy->service : "?", what,
               where);
}

/* ---- vms ---- */

static struct sim_vm *find_vm(const char *id)
{
    for (size_t i = 0; i < sim.vms_len; i++)
        if (!strcmp(sim.vms[i].row.id, id))
            return &sim.vms[i];
    return NULL;
}

static void tell_router(void)
{
    static struct rk_vm rows[MAX_VMS];
    for (size_t i = 0; i < sim.vms_len; i++)
        rows[i] = sim.vms[i].row;
    rk_router_update(sim.router, sim.cfg, rows, sim.vms_len, DOMAIN_NAME,
                     sim.now_ms);
}

static void take_vm(struct json_object *o)
{
    struct sim_vm *v = find_vm(rk_json_str(o, "vm"));
    if (!v) {
        if (sim.vms_len == MAX_VMS)
            return;
        v = &sim.vms[sim.vms_len++];
        *v = (struct sim_vm){
            .live_from_ms = sim.now_ms, .gone_ms = -1, .reclaim_ms = -1};
        v->row.incarnation = 1;
        rk_strcpy(v->row.id, RK_ID_MAX, rk_json_str(o, "vm"));
        rk_strcpy(v->row.addr, RK_ADDR_MAX, "trace:0");
        rk_strcpy(v->row.domain, RK_ID_MAX, DOMAIN_NAME);
        rk_strcpy(v->row.service, RK_ID_MAX, rk_json_str(o, "service"));
        rk_strcpy(v->row.vm_class, RK_ID_MAX, rk_json_str(o, "vm_class"));
    }
    /* As in the members' table: a state never falls. */
    enum rk_vm_state state =
        !strcmp(rk_json_str(o, "state"), "leaving") ? RK_VM_LEAVING : RK_VM_LIVE;
    if (state > v->row.state)
        v->row.state = state;
}

/* ---- the life of a call ---- */

static void finish(struct call *c, enum call_end end, enum rk_verdict v,
                   bool vm_failed)
{
    rk_router_end(sim.router, &c->job, vm_failed, sim.now_ms);
    c->end = end;
    c->verdict = v;
    c->end_ms = sim.now_ms;
    say(c, end == CALL_WHOLE ? "whole" : "given up", rk_verdict_str(v));
}

static void give_up(struct call *c)
{
    finish(c, c->verdict == RK_NOT_RUN ? CALL_NOT_RUN : CALL_MAYBE, c->verdict,
           false);
}

static void attempt_failed(struct call *c, struct rk_attempt_end end)
{
    const struct rk_refusal_contract contract = {c->policy->refusal_not_run};
    enum rk_verdict v = rk_verdict_of(&end, &contract);
    c->verdict = rk_verdict_join(c->verdict, v);
    say(c, "failed", rk_verdict_str(v));
    bool overload = end.http_status != 0;
    bool may = c->attempts < MAX_ATTEMPTS &&
               rk_verdict_allows_retry(v, c->policy->repeatable) &&
               (!overload || rk_budget_spend(&sim.budget));
    if (!may) {
        give_up(c);
        return;
    }
    rk_router_retry(sim.router, &c->job, sim.now_ms);
    if (!rk_router_can_serve(sim.router, &c->job)) {
        if (!c->policy->repeatable && v != RK_NOT_RUN) {
            give_up(c);
            return;
        }
        rk_router_forgive(&c->job);
        if (!rk_router_can_serve(sim.router, &c->job))
            give_up(c);
    }
}

static int vm_index(const char *id)
{
    for (size_t i = 0; i < sim.vms_len; i++)
        if (!strcmp(sim.vms[i].row.id, id))
            return (int)i;
    return -1;
}

/* The attempt's times, by the settings' model of an engine. */
static void begin_attempt(struct call *c)
{
    struct sim_vm *v = &sim.vms[c->vm];
    const struct rk_policy *p = c->policy;
    c->attempts++;
    sim.attempts++;
    say(c, "sent to", v->row.id);
    if (v->row.state != RK_VM_LIVE)
        sim.late_work_at_leaving++;
    if (c->done_tokens)
        sim.recomputed += c->job.uncached_tokens + c->done_tokens;
    double prefill = p->engine ? p->prefill_base_ms +
                                     p->prefill_token_ms * c->job.uncached_tokens
                               : PLAIN_MS;
    int64_t left = p->engine ? c->job.max_tokens - c->done_tokens : 0;
    c->begin_ms = sim.now_ms + (int64_t)prefill;
    c->end_ms = c->begin_ms + (int64_t)(p->token_ms * (double)left);
    c->cut = !strcmp(v->fault, "cut");
    c->silent = !strcmp(v->fault, "silent");
    c->refuse = !strcmp(v->fault, "refuse");
    v->fault[0] = '\0';
    c->unreachable = v->gone_ms >= 0 && sim.now_ms >= v->gone_ms;
    if (!c->refuse && !c->unreachable)
        c->runs++;
}

static void dispatch(void)
{
    struct rk_job *job;
    while ((job = rk_router_next(sim.router, sim.now_ms))) {
        struct call *c = (struct call *)((char *)job - offsetof(struct call, job));
        c->vm = vm_index(rk_router_vm_id(sim.router, job->vm));
        begin_attempt(c);
    }
}

static int64_t tokens_by_now(const struct call *c)
{
    if (!c->policy->engine || sim.now_ms <= c->begin_ms)
        return c->done_tokens;
    int64_t made =
        (int64_t)((double)(sim.now_ms - c->begin_ms) / c->policy->token_ms);
    int64_t left = c->job.max_tokens - c->done_tokens;
    return c->done_tokens + (made < left ? made : left);
}

/* Must the rest of it move before its vm goes? */
static bool must_move(const struct call *c, const struct sim_vm *v)
{
    return v->reclaim_ms >= 0 && c->policy->engine && c->policy->repeatable &&
           c->end_ms + 500 > v->reclaim_ms;
}

static void step_call(struct call *c)
{
    struct sim_vm *v = &sim.vms[c->vm];
    const struct rk_policy *p = c->policy;
    if (c->first_ms < 0 && sim.now_ms >= c->begin_ms && !c->refuse && !c->silent) {
        c->first_ms = sim.now_ms;
        rk_router_first(sim.router, &c->job, sim.now_ms);
    }
    bool gone = v->gone_ms >= 0 && sim.now_ms >= v->gone_ms;
    bool half = c->cut && sim.now_ms >= (c->begin_ms + c->end_ms) / 2;
    if (c->refuse) {
        attempt_failed(c, (struct rk_attempt_end){.handed = true,
                                                  .answered = true,
                                                  .http_status = 503});
    } else if (c->unreachable) {
        attempt_failed(c, (struct rk_attempt_end){0});
    } else if (gone || half || (must_move(c, v) && sim.now_ms < v->reclaim_ms) ||
               (c->silent && sim.now_ms - (c->begin_ms - 20) > p->attempt_ms)) {
        c->done_tokens = c->silent ? c->done_tokens : tokens_by_now(c);
        attempt_failed(c, (struct rk_attempt_end){.handed = true});
    } else if (sim.now_ms >= c->end_ms && !c->silent) {
        c->done_tokens = c->job.max_tokens;
        finish(c, CALL_WHOLE, RK_RAN, false);
    }
}

static void step_calls(void)
{
    for (size_t i = 0; i < sim.next_call; i++) {
        struct call *c = &sim.calls[i];
        if (c->end != CALL_OPEN)
            continue;
        if (c->job.state == RK_JOB_SENT)
            step_call(c);
        if (c->end == CALL_OPEN && sim.now_ms >= c->deadline_ms) {
            if (c->job.state == RK_JOB_SENT)
                c->verdict = rk_verdict_join(c->verdict, RK_MAY_HAVE_RUN);
            give_up(c);
        }
    }
}

/* ---- arrivals ---- */

/* Words of a tenant stand for its prompt; the last block is the call's own. */
static void make_prompt(struct rk_prompt *p, int64_t tenant, int64_t tokens,
                        size_t n)
{
    struct rk_prompt_reader r;
    char word[48];
    rk_prompt_begin(&r, p);
    for (int64_t i = 0; i < tokens; i++) {
        snprintf(word, sizeof(word), "t%" PRId64 "w%" PRId64 " ", tenant, i);
        rk_prompt_add(&r, word, strlen(word));
    }
    snprintf(word, sizeof(word), "own%zu", n);
    rk_prompt_add(&r, word, strlen(word));
    rk_prompt_end(&r);
}

static void fill_job(struct call *c, struct json_object *o)
{
    const struct rk_org *org = rk_config_org(sim.cfg, c->org);
    const struct rk_class *cls = rk_config_class(sim.cfg, c->cls);
    struct rk_job *j = &c->job;
    int64_t limit =
        cls && cls->deadline_ms ? cls->deadline_ms : c->policy->deadline_ms;
    int64_t asked = rk_json_int(o, "deadline_ms", limit);
    c->deadline_ms = sim.now_ms + (asked < limit ? asked : limit);
    rk_strcpy(j->service, RK_ID_MAX, c->policy->service);
    rk_strcpy(j->org, RK_ID_MAX, c->org);
    j->org_weight = org ? org->weight : 1;
    j->org_max = org ? org->max_in_flight : 1;
    j->rank = cls ? cls->rank : RK_RANKS / 2;
    j->deferrable = cls && cls->deferrable;
    j->promote_ms = cls ? cls->promote_ms : 0;
    j->queue_ms = cls ? cls->queue_ms : c->policy->deadline_ms;
    j->deadline_ms = c->deadline_ms;
    j->prompt = c->policy->engine ? &c->prompt : NULL;
    j->max_tokens = c->policy->engine ? rk_json_int(o, "max_tokens", 16) : 0;
}

/* A key seen before is answered from its first call: it never runs again. */
static bool key_is_taken(const struct call *c)
{
    if (!c->key[0] || c->policy->repeatable)
        return false;
    for (const struct call *o = sim.calls; o < c; o++)
        if (!strcmp(o->key, c->key) && !strcmp(o->org, c->org) &&
            o->end != CALL_NOT_RUN)
            return true;
    return false;
}

static void arrive(struct json_object *o)
{
    struct call *c = &sim.calls[sim.next_call++];
    char service[RK_ID_MAX], *slash;
    rk_strcpy(service, sizeof(service), rk_json_str(o, "service"));
    if ((slash = strchr(service, '/')))
        *slash++ = '\0';
    *c = (struct call){.at_ms = sim.now_ms, .first_ms = -1, .vm = -1};
    rk_strcpy(c->org, RK_ID_MAX, rk_json_str(o, "organisation"));
    rk_strcpy(c->cls, RK_ID_MAX, rk_json_str(o, "class"));
    rk_strcpy(c->key, RK_ID_MAX, rk_json_str(o, "key"));
    const struct rk_org *org = rk_config_org(sim.cfg, c->org);
    if (!c->cls[0] && org)
        rk_strcpy(c->cls, RK_ID_MAX, org->default_class);
    c->policy = rk_config_policy(sim.cfg, service, slash ? slash : "");
    if (!c->policy)
        c->policy = rk_config_model(sim.cfg, service);
    if (!c->policy || !org) {
        c->end = CALL_NOT_RUN;
        return;
    }
    if (key_is_taken(c)) {
        c->end = CALL_MAYBE;
        c->verdict = RK_MAY_HAVE_RUN;
        say(c, "key is taken", c->key);
        return;
    }
    make_prompt(&c->prompt, rk_json_int(o, "tenant", 0),
                rk_json_int(o, "prompt_tokens", 0), sim.next_call);
    fill_job(c, o);
    rk_budget_earn(&sim.budget, sim.cfg->retry_budget_pct);
    int64_t after;
    enum rk_submit s = rk_router_submit(sim.router, &c->job, sim.now_ms, &after);
    if (s == RK_SUBMIT_QUEUED) {
        say(c, "queued", "");
        return;
    }
    c->end = CALL_NOT_RUN;
    c->end_ms = sim.now_ms;
    say(c, "refused", "not-run");
}

static void take_event(struct json_object *o)
{
    struct sim_vm *v = NULL;
    if (has(o, "vm"))
        take_vm(o);
    else if (has(o, "call"))
        arrive(o);
    else if (has(o, "reclaim") && (v = find_vm(rk_json_str(o, "reclaim")))) {
        v->row.state = RK_VM_LEAVING;
        v->reclaim_ms = sim.now_ms + rk_json_int(o, "in_ms", 30000);
        v->gone_ms = v->reclaim_ms;
    } else if (has(o, "kill") && (v = find_vm(rk_json_str(o, "kill")))) {
        v->gone_ms = sim.now_ms;
    } else if (has(o, "fault") && (v = find_vm(rk_json_str(o, "fault")))) {
        rk_strcpy(v->fault, sizeof(v->fault), rk_json_str(o, "mode"));
    }
    if (!has(o, "call"))
        tell_router();
}

static bool all_over(void)
{
    if (sim.next_event < sim.events_len)
        return false;
    for (size_t i = 0; i < sim.next_call; i++)
        if (sim.calls[i].end == CALL_OPEN)
            return false;
    return true;
}

/* An announced reclaim is over. Of a crash nobody tells the router. */
static void forget_if_gone(struct sim_vm *v)
{
    if (v->row.state != RK_VM_LEAVING || v->gone_ms < 0 || sim.now_ms < v->gone_ms)
        return;
    v->row.state = RK_VM_GONE;
    tell_router();
}

static void run(void)
{
    while (!all_over()) {
        while (sim.next_event < sim.events_len &&
               rk_json_int(sim.events[sim.next_event], "at_ms", 0) <= sim.now_ms)
            take_event(sim.events[sim.next_event++]);
        for (size_t i = 0; i < sim.vms_len; i++)
            forget_if_gone(&sim.vms[i]);
        step_calls();
        dispatch();
        sim.now_ms += STEP_MS;
    }
}

/* ---- outcomes ---- */

struct outcome {
    const char *name;
    double value;
};

static double vm_cost(void)
{
    double cost = 0;
    for (size_t i = 0; i < sim.vms_len; i++) {
        const struct sim_vm *v = &sim.vms[i];
        int64_t end =
            v->gone_ms >= 0 && v->gone_ms < sim.now_ms ? v->gone_ms : sim.now_ms;
        for (size_t k = 0; k < sim.cfg->vm_classes_len; k++)
            if (!strcmp(sim.cfg->vm_classes[k].name, v->row.vm_class))
                cost += sim.cfg->vm_classes[k].price *
                        (double)(end - v->live_from_ms) / MS_PER_HOUR;
    }
    return cost;
}

/* Whole, its first token or answer within the target, and its deadline kept. */
static bool met_target(const struct call *c)
{
    if (!c->policy || c->end != CALL_WHOLE || c->end_ms > c->deadline_ms)
        return false;
    return c->job.deferrable ||
           c->first_ms - c->at_ms <= c->policy->target_first_ms;
}

static size_t outcomes(struct outcome *out)
{
    double whole = 0, not_run = 0, maybe = 0, on_target = 0, twice = 0, lies = 0,
           late = 0, most = 0;
    for (size_t i = 0; i < sim.next_call; i++) {
        const struct call *c = &sim.calls[i];
        bool once = c->policy && !c->policy->repeatable;
        whole += c->end == CALL_WHOLE;
        not_run += c->end == CALL_NOT_RUN;
        maybe += c->end == CALL_MAYBE;
        on_target += c->end == CALL_WHOLE && met_target(c);
        twice += once && c->runs > 1;
        lies += c->end == CALL_NOT_RUN && c->runs > 0;
        late += c->end == CALL_WHOLE && c->end_ms > c->deadline_ms + STEP_MS;
        most = c->attempts > most ? c->attempts : most;
    }
    double cost = vm_cost();
    const struct outcome all[] = {
        {"calls", (double)sim.next_call},
        {"whole", whole},
        {"not_run", not_run},
        {"may_have_run", maybe},
        {"on_target", on_target},
        {"ran_twice", twice},
        {"false_not_run", lies},
        {"past_deadline", late},
        {"attempts_per_call",
         sim.next_call ? (double)sim.attempts / (double)sim.next_call : 0},
        {"most_attempts", most},
        {"recomputed_tokens", (double)sim.recomputed},
        {"new_work_at_leaving", (double)sim.late_work_at_leaving},
        {"cost", cost},
        {"cost_per_1000_on_target", on_target ? cost / on_target * 1000 : 0},
    };
    memcpy(out, all, sizeof(all));
    return RK_ARRAY_LEN(all);
}

static void print_by(const char *what, size_t offset)
{
    for (size_t i = 0; i < sim.next_call; i++) {
        const char *name = (const char *)&sim.calls[i] + offset;
        bool seen = false;
        for (size_t k = 0; k < i && !seen; k++)
            seen = !strcmp((const char *)&sim.calls[k] + offset, name);
        if (seen)
            continue;
        int calls = 0, whole = 0, target = 0;
        for (size_t k = i; k < sim.next_call; k++) {
            const struct call *c = &sim.calls[k];
            if (strcmp((const char *)c + offset, name) != 0)
                continue;
            calls++;
            whole += c->end == CALL_WHOLE;
            target += c->end == CALL_WHOLE && met_target(c);
        }
        printf("  %s %-18s calls %5d whole %5d on target %5d\n", what, name, calls,
               whole, target);
    }
}

static bool check_one(const struct outcome *o, struct json_object *bounds)
{
    double low = has(bounds, "min")
                     ? json_object_get_double(json_object_object_get(bounds, "min"))
                     : -1e300;
    double high =
        has(bounds, "max")
            ? json_object_get_double(json_object_object_get(bounds, "max"))
            : 1e300;
    bool ok = o->value >= low && o->value <= high;
    if (!ok)
        printf("NOT AS STATED: %s is %g\n", o->name, o->value);
    return ok;
}

static bool compare(void)
{
    struct outcome out[32];
    size_t n = outcomes(out);
    bool ok = true;
    for (size_t i = 0; i < n; i++)
        printf("  %-24s %g\n", out[i].name, out[i].value);
    print_by("organisation", offsetof(struct call, org));
    print_by("class", offsetof(struct call, cls));
    if (!sim.expect)
        return true;
    json_object_object_foreach(sim.expect, name, bounds)
    {
        size_t i = 0;
        while (i < n && strcmp(out[i].name, name) != 0)
            i++;
        if (i == n) {
            printf("NOT AS STATED: no outcome is called %s\n", name);
            ok = false;
        } else {
            ok = check_one(&out[i], bounds) && ok;
        }
    }
    return ok;
}

/* ---- reading ---- */

static bool load_settings(struct json_object *tree)
{
    static struct rk_problems problems;
    if (rk_settings_from_json(tree, &sim.tree, &problems) != RK_OK) {
        fprintf(stderr, "%s: settings: %s\n", args.file, rk_last_error());
        return false;
    }
    sim.cfg = rk_config_create(sim.tree, 1);
    return true;
}

static bool take_line(struct json_object *o, int line)
{
    struct json_object *v;
    if (!json_object_is_type(o, json_type_object)) {
        fprintf(stderr, "%s:%d: expected a JSON object\n", args.file, line);
        return false;
    }
    if (json_object_object_get_ex(o, "settings", &v))
        return load_settings(v);
    if (json_object_object_get_ex(o, "expect", &v)) {
        sim.expect = json_object_get(v);
        return true;
    }
    if (sim.events_len == MAX_CALLS)
        return false;
    sim.events[sim.events_len++] = json_object_get(o);
    sim.calls_len += has(o, "call");
    return true;
}

static bool read_trace(void)
{
    FILE *f = fopen(args.file, "r");
    if (!f) {
        perror(args.file);
        return false;
    }
    static char line[LINE_LIMIT];
    bool ok = true;
    sim.events = rk_alloc(MAX_CALLS, sizeof(struct json_object *));
    for (int n = 1; ok && fgets(line, sizeof(line), f); n++) {
        if (line[0] == '#' || line[0] == '\n')
            continue;
        struct json_object *o = json_tokener_parse(line);
        ok = take_line(o, n);
        json_object_put(o);
    }
    fclose(f);
    if (ok && !sim.cfg)
        fprintf(stderr, "%s: expected settings in the first line\n", args.file);
    return ok && sim.cfg;
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 'd':
        args.decisions = true;
        return 0;
    case 'r':
        if (!rk_route_policy_parse(arg, &args.policy))
            argp_error(state, "unknown routing policy '%s'", arg);
        return 0;
    case ARGP_KEY_ARG:
        if (args.file)
            argp_usage(state);
        args.file = arg;
        return 0;
    case ARGP_KEY_END:
        if (!args.file)
            argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"decisions", 'd', NULL, 0, "Print each decision", 0},
    {"routing", 'r', "POLICY", 0, "adaptive, round-robin, least-loaded or sticky",
     0},
    {0},
};

static const struct argp argp = {
    options,
    parse_opt,
    "TRACE",
    "Run a recorded trace through the core and compare the "
    "outcomes with those it states.",
    0,
    0,
    0};

int main(int argc, char **argv)
{
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    if (!read_trace())
        return 2;
    sim.calls = rk_alloc(sim.calls_len + 1, sizeof(*sim.calls));
    sim.router = rk_router_create(1, args.policy);
    run();
    printf("%s: %zu calls over %.1f s of trace time\n", args.file, sim.next_call,
           (double)sim.now_ms / RK_MS_PER_S);
    bool ok = compare();
    printf("%s\n", ok ? "as stated" : "NOT as stated");
    rk_router_destroy(sim.router);
    for (size_t i = 0; i < sim.events_len; i++)
        json_object_put(sim.events[i]);
    free(sim.events);
    json_object_put(sim.expect);
    free(sim.calls);
    rk_config_destroy(sim.cfg);
    rk_settings_destroy(sim.tree);
    return ok ? 0 : 1;
}
