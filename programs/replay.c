/* rillknot-replay: runs a recorded trace through the core in simulated time and
 * compares the outcomes with those that the trace expects. Engines are modelled by
 * the latency figures in the settings. The simulation is deterministic: the same
 * trace always gives the same outcomes.
 *
 * A trace holds one JSON object per line:
 *   {"settings": TREE}              must come first
 *   {"at_ms", "vm": ID, "service", "vm_class", "state"}
 *                                   a VM is listed, or its state changes
 *   {"at_ms", "reclaim": ID, "in_ms"}
 *                                   a notice that the VM is reclaimed in in_ms
 *   {"at_ms", "kill": ID}           the VM is gone without a notice
 *   {"at_ms", "fault": ID, "mode"}  a fault of the next attempt sent to the VM:
 *                                   "refuse" (503), "cut" (the response breaks
 *                                   off halfway) or "silent" (no response)
 *   {"at_ms", "call": N, "organisation", "class", "service", "tenant",
 *    "prompt_tokens", "max_tokens", "key", "deadline_ms"}
 *   {"expect": {NAME: {"min", "max"}}}
 *                                   comes last; the names are those of
 *                                   compute_outcomes() */
#include <argp.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/json.h"
#include "common/util.h"
#include "core/retry_budget.h"
#include "core/config.h"
#include "core/members.h"
#include "core/router.h"
#include "core/settings.h"
#include "core/verdict.h"

#define MAX_VMS          256
#define MAX_EVENTS       100000
#define MAX_ATTEMPTS     8
#define STEP_MS          25 /* resolution of simulated time */
#define PLAIN_SERVICE_MS 8  /* time that a plain service takes for a call */
#define MAX_LINE         65536
#define DOMAIN_NAME      "trace"
#define MS_PER_HOUR      3600000.0

enum call_result { CALL_PENDING, CALL_COMPLETED, CALL_NOT_RUN, CALL_MAY_HAVE_RUN };

struct call {
    int64_t at_ms;
    struct rk_job job;
    struct rk_prompt prompt;
    const struct rk_policy *policy;
    char org[RK_ID_MAX], cls[RK_ID_MAX], key[RK_ID_MAX];
    int64_t deadline_ms;
    int64_t received_tokens; /* tokens that the caller has received */
    int64_t first_due_ms;    /* when the attempt's first token is due */
    int64_t end_ms; /* when the response is due in full, or the call ended */
    int64_t first_token_ms; /* when the first token came; -1: not yet */
    int attempts;
    int runs; /* attempts that ran at a VM */
    enum call_result result;
    enum rk_verdict verdict;
    bool cut_halfway, unresponsive, refuse; /* fault of the current attempt */
    bool unreachable; /* the VM was gone when the attempt was sent */
    int vm;           /* index in sim.vms while sent */
};

struct sim_vm {
    struct rk_vm row;
    int64_t live_from_ms;
    int64_t gone_ms;    /* when the VM is gone; -1: not known */
    int64_t reclaim_ms; /* when an announced reclaim takes place; -1: none */
    char fault[16];     /* mode for the next attempt; "": none */
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
    struct rk_retry_budget budget;
    int64_t now_ms;
    int64_t recomputed_tokens; /* tokens computed again after a broken attempt */
    int64_t attempts;
    int64_t sent_to_leaving; /* attempts sent to VMs that weren't listed as live */
} sim;

static struct {
    const char *file;
    bool decisions; /* print each decision */
    enum rk_route_policy policy;
} args;

static bool has_member(struct json_object *o, const char *name)
{
    return json_object_object_get_ex(o, name, NULL);
}

static void print_decision(const struct call *c, const char *what,
                           const char *where)
{
    if (args.decisions)
        printf("%8" PRId64 " ms  call %-6zu %-14s %-12s %s\n", sim.now_ms,
               (size_t)(c - sim.calls), c->policy ? c->policy->service : "?", what,
               where);
}

/* ---- VMs ---- */

static struct sim_vm *find_vm(const char *id)
{
    for (size_t i = 0; i < sim.vms_len; i++)
        if (!strcmp(sim.vms[i].row.id, id))
            return &sim.vms[i];
    return NULL;
}

/* Passes all VM rows to the router. */
static void update_router(void)
{
    static struct rk_vm rows[MAX_VMS];
    for (size_t i = 0; i < sim.vms_len; i++)
        rows[i] = sim.vms[i].row;
    rk_router_update(sim.router, sim.cfg, rows, sim.vms_len, DOMAIN_NAME,
                     sim.now_ms);
}

/* Adds the VM if it is new, and applies its state. */
static void apply_vm_event(struct json_object *o)
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
    /* The state never goes back, as in the members' table. */
    enum rk_vm_state state =
        !strcmp(rk_json_str(o, "state"), "leaving") ? RK_VM_LEAVING : RK_VM_LIVE;
    if (state > v->row.state)
        v->row.state = state;
}

/* ---- calls ---- */

static void end_call(struct call *c, enum call_result result, enum rk_verdict v,
                     bool vm_failed)
{
    rk_router_end(sim.router, &c->job, vm_failed, sim.now_ms);
    c->result = result;
    c->verdict = v;
    c->end_ms = sim.now_ms;
    print_decision(c, result == CALL_COMPLETED ? "whole" : "given up",
                   rk_verdict_str(v));
}

/* Ends a failed call with the verdict of all its attempts. */
static void end_failed_call(struct call *c)
{
    end_call(c, c->verdict == RK_NOT_RUN ? CALL_NOT_RUN : CALL_MAY_HAVE_RUN,
             c->verdict, false);
}

/* Retries the call at another VM, if the attempt's verdict and the limit of
 * attempts allow that, and ends it otherwise. After a refusal, a retry also takes
 * from the retry budget. If all VMs are excluded, a call that is repeatable or
 * whose attempt was not run may go to them again. */
static void handle_failed_attempt(struct call *c, struct rk_attempt_end end)
{
    const struct rk_refusal_contract contract = {c->policy->refusal_not_run};
    enum rk_verdict v = rk_verdict_of(&end, &contract);
    c->verdict = rk_verdict_worst(c->verdict, v);
    print_decision(c, "failed", rk_verdict_str(v));
    bool overload = end.http_status != 0;
    bool may_retry = c->attempts < MAX_ATTEMPTS &&
                     rk_verdict_allows_retry(v, c->policy->repeatable) &&
                     (!overload || rk_retry_budget_spend(&sim.budget));
    if (!may_retry) {
        end_failed_call(c);
        return;
    }
    rk_router_requeue(sim.router, &c->job, sim.now_ms);
    if (!rk_router_can_serve(sim.router, &c->job)) {
        if (!c->policy->repeatable && v != RK_NOT_RUN) {
            end_failed_call(c);
            return;
        }
        rk_router_clear_excluded(&c->job);
        if (!rk_router_can_serve(sim.router, &c->job))
            end_failed_call(c);
    }
}

static int vm_index(const char *id)
{
    for (size_t i = 0; i < sim.vms_len; i++)
        if (!strcmp(sim.vms[i].row.id, id))
            return (int)i;
    return -1;
}

/* Sets when the attempt's first token and end are due, by the policy's prefill and
 * token times, and applies the VM's fault. */
static void begin_attempt(struct call *c)
{
    struct sim_vm *v = &sim.vms[c->vm];
    const struct rk_policy *p = c->policy;
    c->attempts++;
    sim.attempts++;
    print_decision(c, "sent to", v->row.id);
    if (v->row.state != RK_VM_LIVE)
        sim.sent_to_leaving++;
    if (c->received_tokens)
        sim.recomputed_tokens += c->job.uncached_tokens + c->received_tokens;
    double prefill = p->engine ? p->prefill_base_ms +
                                     p->prefill_token_ms * c->job.uncached_tokens
                               : PLAIN_SERVICE_MS;
    int64_t remaining = p->engine ? c->job.max_tokens - c->received_tokens : 0;
    c->first_due_ms = sim.now_ms + (int64_t)prefill;
    c->end_ms = c->first_due_ms + (int64_t)(p->token_ms * (double)remaining);
    c->cut_halfway = !strcmp(v->fault, "cut");
    c->unresponsive = !strcmp(v->fault, "silent");
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

/* Returns how many tokens the caller has by now, earlier attempts included. */
static int64_t tokens_by_now(const struct call *c)
{
    if (!c->policy->engine || sim.now_ms <= c->first_due_ms)
        return c->received_tokens;
    int64_t generated =
        (int64_t)((double)(sim.now_ms - c->first_due_ms) / c->policy->token_ms);
    int64_t remaining = c->job.max_tokens - c->received_tokens;
    return c->received_tokens + (generated < remaining ? generated : remaining);
}

/* Returns whether the rest of a response must be resumed at another VM: less than
 * 500 ms would be left between its end and the announced reclaim of its VM. Only
 * repeatable engine calls are moved. */
static bool must_move(const struct call *c, const struct sim_vm *v)
{
    return v->reclaim_ms >= 0 && c->policy->engine && c->policy->repeatable &&
           c->end_ms + 500 > v->reclaim_ms;
}

/* Advances a sent call to sim.now_ms. The time-out of an unresponsive attempt
 * counts from 20 ms before its first token was due. */
static void step_call(struct call *c)
{
    struct sim_vm *v = &sim.vms[c->vm];
    const struct rk_policy *p = c->policy;
    if (c->first_token_ms < 0 && sim.now_ms >= c->first_due_ms && !c->refuse &&
        !c->unresponsive) {
        c->first_token_ms = sim.now_ms;
        rk_router_note_first_byte(sim.router, &c->job, sim.now_ms);
    }
    bool gone = v->gone_ms >= 0 && sim.now_ms >= v->gone_ms;
    bool cut_now =
        c->cut_halfway && sim.now_ms >= (c->first_due_ms + c->end_ms) / 2;
    if (c->refuse) {
        handle_failed_attempt(c, (struct rk_attempt_end){.may_have_reached = true,
                                                         .answered = true,
                                                         .http_status = 503});
    } else if (c->unreachable) {
        handle_failed_attempt(c, (struct rk_attempt_end){0});
    } else if (gone || cut_now || (must_move(c, v) && sim.now_ms < v->reclaim_ms) ||
               (c->unresponsive &&
                sim.now_ms - (c->first_due_ms - 20) > p->attempt_ms)) {
        c->received_tokens =
            c->unresponsive ? c->received_tokens : tokens_by_now(c);
        handle_failed_attempt(c, (struct rk_attempt_end){.may_have_reached = true});
    } else if (sim.now_ms >= c->end_ms && !c->unresponsive) {
        c->received_tokens = c->job.max_tokens;
        end_call(c, CALL_COMPLETED, RK_RAN, false);
    }
}

static void step_calls(void)
{
    for (size_t i = 0; i < sim.next_call; i++) {
        struct call *c = &sim.calls[i];
        if (c->result != CALL_PENDING)
            continue;
        if (c->job.state == RK_JOB_SENT)
            step_call(c);
        if (c->result == CALL_PENDING && sim.now_ms >= c->deadline_ms) {
            if (c->job.state == RK_JOB_SENT)
                c->verdict = rk_verdict_worst(c->verdict, RK_MAY_HAVE_RUN);
            end_failed_call(c);
        }
    }
}

/* ---- arrivals ---- */

/* Makes a prompt of `tokens` words that all calls of the tenant share, and one word
 * that only this call has. */
static void make_prompt(struct rk_prompt *p, int64_t tenant, int64_t tokens,
                        size_t n)
{
    struct rk_prompt_builder r;
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
    int64_t requested = rk_json_int(o, "deadline_ms", limit);
    c->deadline_ms = sim.now_ms + (requested < limit ? requested : limit);
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

/* Returns whether an earlier call of the organisation has the same key and may have
 * run. Such a call is not run again. */
static bool is_repeated_key(const struct call *c)
{
    if (!c->key[0] || c->policy->repeatable)
        return false;
    for (const struct call *o = sim.calls; o < c; o++)
        if (!strcmp(o->key, c->key) && !strcmp(o->org, c->org) &&
            o->result != CALL_NOT_RUN)
            return true;
    return false;
}

static void apply_call_event(struct json_object *o)
{
    struct call *c = &sim.calls[sim.next_call++];
    char service[RK_ID_MAX], *slash;
    rk_strcpy(service, sizeof(service), rk_json_str(o, "service"));
    if ((slash = strchr(service, '/')))
        *slash++ = '\0';
    *c = (struct call){.at_ms = sim.now_ms, .first_token_ms = -1, .vm = -1};
    rk_strcpy(c->org, RK_ID_MAX, rk_json_str(o, "organisation"));
    rk_strcpy(c->cls, RK_ID_MAX, rk_json_str(o, "class"));
    rk_strcpy(c->key, RK_ID_MAX, rk_json_str(o, "key"));
    const struct rk_org *org = rk_config_org(sim.cfg, c->org);
    if (!c->cls[0] && org)
        rk_strcpy(c->cls, RK_ID_MAX, org->default_class);
    c->policy = rk_config_policy(sim.cfg, service, slash ? slash : "");
    if (!c->policy)
        c->policy = rk_config_policy_of_model(sim.cfg, service);
    if (!c->policy || !org) {
        c->result = CALL_NOT_RUN;
        return;
    }
    if (is_repeated_key(c)) {
        c->result = CALL_MAY_HAVE_RUN;
        c->verdict = RK_MAY_HAVE_RUN;
        print_decision(c, "key is taken", c->key);
        return;
    }
    make_prompt(&c->prompt, rk_json_int(o, "tenant", 0),
                rk_json_int(o, "prompt_tokens", 0), sim.next_call);
    fill_job(c, o);
    rk_retry_budget_earn(&sim.budget, sim.cfg->retry_budget_pct);
    int64_t retry_after_ms;
    enum rk_submit admission =
        rk_router_submit(sim.router, &c->job, sim.now_ms, &retry_after_ms);
    if (admission == RK_SUBMIT_QUEUED) {
        print_decision(c, "queued", "");
        return;
    }
    c->result = CALL_NOT_RUN;
    c->end_ms = sim.now_ms;
    print_decision(c, "refused", "not-run");
}

static void apply_event(struct json_object *o)
{
    struct sim_vm *v = NULL;
    if (has_member(o, "vm"))
        apply_vm_event(o);
    else if (has_member(o, "call"))
        apply_call_event(o);
    else if (has_member(o, "reclaim") && (v = find_vm(rk_json_str(o, "reclaim")))) {
        v->row.state = RK_VM_LEAVING;
        v->reclaim_ms = sim.now_ms + rk_json_int(o, "in_ms", 30000);
        v->gone_ms = v->reclaim_ms;
    } else if (has_member(o, "kill") && (v = find_vm(rk_json_str(o, "kill")))) {
        v->gone_ms = sim.now_ms;
    } else if (has_member(o, "fault") && (v = find_vm(rk_json_str(o, "fault")))) {
        rk_strcpy(v->fault, sizeof(v->fault), rk_json_str(o, "mode"));
    }
    if (!has_member(o, "call"))
        update_router();
}

static bool is_finished(void)
{
    if (sim.next_event < sim.events_len)
        return false;
    for (size_t i = 0; i < sim.next_call; i++)
        if (sim.calls[i].result == CALL_PENDING)
            return false;
    return true;
}

/* Removes a VM whose announced reclaim has taken place. The router isn't
 * informed of a crash; it notices failed attempts. */
static void remove_if_reclaimed(struct sim_vm *v)
{
    if (v->row.state != RK_VM_LEAVING || v->gone_ms < 0 || sim.now_ms < v->gone_ms)
        return;
    v->row.state = RK_VM_GONE;
    update_router();
}

static void run_simulation(void)
{
    while (!is_finished()) {
        while (sim.next_event < sim.events_len &&
               rk_json_int(sim.events[sim.next_event], "at_ms", 0) <= sim.now_ms)
            apply_event(sim.events[sim.next_event++]);
        for (size_t i = 0; i < sim.vms_len; i++)
            remove_if_reclaimed(&sim.vms[i]);
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

/* Returns the cost of all VMs, each from its first row until it was gone. */
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

/* Returns whether the call completed by its deadline and, unless it is deferrable,
 * its first token, or a plain service's response, came within the target. */
static bool met_target(const struct call *c)
{
    if (!c->policy || c->result != CALL_COMPLETED || c->end_ms > c->deadline_ms)
        return false;
    return c->job.deferrable ||
           c->first_token_ms - c->at_ms <= c->policy->target_first_ms;
}

/* Fills out, which has room for all outcomes. Returns their number. */
static size_t compute_outcomes(struct outcome *out)
{
    double completed = 0, not_run = 0, may_have_run = 0, on_target = 0,
           ran_twice = 0, false_not_run = 0, past_deadline = 0, most_attempts = 0;
    for (size_t i = 0; i < sim.next_call; i++) {
        const struct call *c = &sim.calls[i];
        bool non_repeatable = c->policy && !c->policy->repeatable;
        completed += c->result == CALL_COMPLETED;
        not_run += c->result == CALL_NOT_RUN;
        may_have_run += c->result == CALL_MAY_HAVE_RUN;
        on_target += c->result == CALL_COMPLETED && met_target(c);
        ran_twice += non_repeatable && c->runs > 1;
        false_not_run += c->result == CALL_NOT_RUN && c->runs > 0;
        past_deadline +=
            c->result == CALL_COMPLETED && c->end_ms > c->deadline_ms + STEP_MS;
        most_attempts = c->attempts > most_attempts ? c->attempts : most_attempts;
    }
    double cost = vm_cost();
    const struct outcome all[] = {
        {"calls", (double)sim.next_call},
        {"whole", completed},
        {"not_run", not_run},
        {"may_have_run", may_have_run},
        {"on_target", on_target},
        {"ran_twice", ran_twice},
        {"false_not_run", false_not_run},
        {"past_deadline", past_deadline},
        {"attempts_per_call",
         sim.next_call ? (double)sim.attempts / (double)sim.next_call : 0},
        {"most_attempts", most_attempts},
        {"recomputed_tokens", (double)sim.recomputed_tokens},
        {"new_work_at_leaving", (double)sim.sent_to_leaving},
        {"cost", cost},
        {"cost_per_1000_on_target", on_target ? cost / on_target * 1000 : 0},
    };
    memcpy(out, all, sizeof(all));
    return RK_ARRAY_LEN(all);
}

/* Prints counts of calls by the string member of struct call at `offset`. */
static void print_counts_by(const char *what, size_t offset)
{
    for (size_t i = 0; i < sim.next_call; i++) {
        const char *name = (const char *)&sim.calls[i] + offset;
        bool seen = false;
        for (size_t k = 0; k < i && !seen; k++)
            seen = !strcmp((const char *)&sim.calls[k] + offset, name);
        if (seen)
            continue;
        int calls = 0, completed = 0, on_target = 0;
        for (size_t k = i; k < sim.next_call; k++) {
            const struct call *c = &sim.calls[k];
            if (strcmp((const char *)c + offset, name) != 0)
                continue;
            calls++;
            completed += c->result == CALL_COMPLETED;
            on_target += c->result == CALL_COMPLETED && met_target(c);
        }
        printf("  %s %-18s calls %5d whole %5d on target %5d\n", what, name, calls,
               completed, on_target);
    }
}

static bool check_bounds(const struct outcome *o, struct json_object *bounds)
{
    double low = has_member(bounds, "min")
                     ? json_object_get_double(json_object_object_get(bounds, "min"))
                     : -1e300;
    double high =
        has_member(bounds, "max")
            ? json_object_get_double(json_object_object_get(bounds, "max"))
            : 1e300;
    bool ok = o->value >= low && o->value <= high;
    if (!ok)
        printf("NOT AS STATED: %s is %g\n", o->name, o->value);
    return ok;
}

/* Prints all outcomes. Returns whether they are within the bounds that the trace
 * expects. */
static bool check_outcomes(void)
{
    struct outcome out[32];
    size_t n = compute_outcomes(out);
    bool ok = true;
    for (size_t i = 0; i < n; i++)
        printf("  %-24s %g\n", out[i].name, out[i].value);
    print_counts_by("organisation", offsetof(struct call, org));
    print_counts_by("class", offsetof(struct call, cls));
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
            ok = check_bounds(&out[i], bounds) && ok;
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

/* Handles one line of the trace: the settings, the expected outcomes, or an event
 * that is kept until its time. */
static bool parse_line(struct json_object *o, int line)
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
    if (sim.events_len == MAX_EVENTS)
        return false;
    sim.events[sim.events_len++] = json_object_get(o);
    sim.calls_len += has_member(o, "call");
    return true;
}

static bool read_trace(void)
{
    FILE *f = fopen(args.file, "r");
    if (!f) {
        perror(args.file);
        return false;
    }
    static char line[MAX_LINE];
    bool ok = true;
    sim.events = rk_alloc(MAX_EVENTS, sizeof(struct json_object *));
    for (int n = 1; ok && fgets(line, sizeof(line), f); n++) {
        if (line[0] == '#' || line[0] == '\n')
            continue;
        struct json_object *o = json_tokener_parse(line);
        ok = parse_line(o, n);
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
    "outcomes with those it expects.",
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
    run_simulation();
    printf("%s: %zu calls over %.1f s of trace time\n", args.file, sim.next_call,
           (double)sim.now_ms / RK_MS_PER_S);
    bool ok = check_outcomes();
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
