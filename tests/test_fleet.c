/* Where a whole fleet sends its calls: many nodes, each with its own choice of vms,
 * that hear of each other's calls a quarter of a second late, before simple
 * engines. */
#include <stdarg.h>
#include <stddef.h>
#include <setjmp.h>
#include <stdint.h>
#include <cmocka.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "core/place.h"

#define NODES       295
#define VMS         160
#define DOMAINS     5
#define STEP_MS     10
#define TELL_MS     250
#define RUN_MS      20000
#define TROUBLE_MS  8000 /* from then on some vms are in trouble */
#define CALLS_PER_S 669
#define READ_PER_MS 32.4 /* tokens */
#define FIXED_MS    64
#define STREAM_MS   1200 /* from the first token to the last */
#define SILENT_MS   2500 /* until an attempt without an answer is given up */
#define LATE_MS     1000
#define SHED_PCT    90 /* of what comes to a vm that sheds */
#define ATTEMPTS    2

enum trouble { NO_TROUBLE, SLOW, MUTE, SHED };

struct call {
    struct call *next;
    int node, vm;
    struct rk_place_vm *at;
    struct rk_place_job job;
    enum { READING, STREAMING, LOST } stage;
};

struct engine {
    double busy_until_ms;
    int running;
};

struct second {
    int calls, to_troubled, lost, late;
    int arrivals, refused; /* at vms, of all attempts */
};

struct fleet {
    struct rk_place *places[NODES];
    struct rk_vm_row rows[VMS];
    struct engine engines[VMS];
    struct rk_vm_load told[VMS]; /* of all nodes, a period ago */
    struct call *due[(RUN_MS + 100000) / STEP_MS];
    struct second seconds[RUN_MS / 1000];
    struct rk_rng rng;
    enum trouble trouble;
    int troubled_each; /* one vm of so many is in trouble */
};

static bool in_trouble(const struct fleet *f, int vm, int64_t now_ms)
{
    return f->trouble != NO_TROUBLE && now_ms >= TROUBLE_MS &&
           vm % f->troubled_each == 0;
}

static struct fleet *new_fleet(enum trouble trouble, int troubled_each)
{
    const struct rk_engine_estimate learnt = {.fixed_ms = 75,
                                              .ktoken_ms = 31,
                                              .calm_ktoken_ms = 31,
                                              .running_ms = 0.5,
                                              .error_ms = 20,
                                              .samples = 1000};
    struct fleet *f = rk_alloc(1, sizeof(*f));
    f->rng.state = 5;
    f->trouble = trouble;
    f->troubled_each = troubled_each;
    for (int i = 0; i < VMS; i++) {
        struct rk_vm_row *row = &f->rows[i];
        *row =
            (struct rk_vm_row){.service = "llm", .slots = 48, .leaves_in_ms = -1};
        snprintf(row->id, sizeof(row->id), "vm-%d", i);
        snprintf(row->domain, sizeof(row->domain), "d%d", i % DOMAINS);
        rk_strcpy(f->told[i].id, sizeof(f->told[i].id), row->id);
    }
    for (int i = 0; i < NODES; i++) {
        char domain[RK_ID_MAX];
        snprintf(domain, sizeof(domain), "d%d", i % DOMAINS);
        f->places[i] = rk_place_create(domain, (uint64_t)i + 1);
        rk_place_set_vms(f->places[i], f->rows, VMS, 0);
        rk_engine_set_prior(&rk_place_speed_of(f->places[i], "llm")->engine,
                            &learnt);
    }
    return f;
}

static void free_fleet(struct fleet *f)
{
    for (size_t i = 0; i < RK_ARRAY_LEN(f->due); i++)
        for (struct call *c = f->due[i], *next; c; c = next) {
            next = c->next;
            free(c);
        }
    for (int i = 0; i < NODES; i++)
        rk_place_destroy(f->places[i]);
    free(f);
}

static void call_again(struct fleet *f, struct call *c, double at_ms)
{
    size_t step = (size_t)(at_ms / STEP_MS) + 1;
    if (step >= RK_ARRAY_LEN(f->due))
        step = RK_ARRAY_LEN(f->due) - 1; /* long after the run */
    c->next = f->due[step];
    f->due[step] = c;
}

static void go_on(struct fleet *f, struct call *c, int64_t now_ms)
{
    struct rk_place *p = f->places[c->node];
    double slower = f->trouble == SLOW && in_trouble(f, c->vm, now_ms) ? 5 : 1;
    switch (c->stage) {
    case READING:
        rk_place_first(c->at, &c->job, now_ms);
        c->stage = STREAMING;
        call_again(f, c, (double)now_ms + STREAM_MS * slower);
        return;
    case STREAMING:
        rk_place_ended(p, c->at, &c->job, RK_PLACE_DONE, now_ms);
        break;
    case LOST:
        rk_place_ended(p, c->at, &c->job, RK_PLACE_LOST, now_ms);
        break;
    }
    f->engines[c->vm].running--;
    free(c);
}

/* A prompt of one of three sizes; the long ones share their beginning with others.
 */
static struct rk_place_query make_query(struct fleet *f)
{
    static const int shared[] = {6300, 568, 172}, own[] = {2890, 1800, 543};
    uint32_t kind = rk_rng_below(&f->rng, 3), subject = rk_rng_below(&f->rng, 900);
    struct rk_place_query q = {.service = "llm", .engine = true};
    char parts[128];
    q.request = rk_rng_next(&f->rng);
    q.tokens_in = shared[kind] + own[kind];
    snprintf(parts, sizeof(parts), "s%u-%u:%d,own%llx:%d", kind, subject,
             shared[kind], (unsigned long long)q.request, own[kind]);
    rk_place_parse_parts(&q, parts);
    return q;
}

static void send_to_best(struct fleet *f, struct call *c, struct rk_place_query *q,
                         int64_t now_ms)
{
    struct rk_engine_forecast forecast;
    c->at = rk_place_choose(f->places[c->node], q, now_ms, &forecast);
    c->vm = atoi(c->at->row.id + strlen("vm-"));
    rk_place_sent(f->places[c->node], c->at, q, now_ms, &c->job);
    f->seconds[now_ms / RK_MS_PER_S].arrivals++;
}

static bool sheds(struct fleet *f, const struct call *c, int64_t now_ms)
{
    return f->trouble == SHED && in_trouble(f, c->vm, now_ms) &&
           rk_rng_below(&f->rng, 100) < SHED_PCT;
}

/* Sent to another vm where one turns it away. False: all attempts were. */
static bool is_taken(struct fleet *f, struct call *c, int64_t now_ms)
{
    struct rk_place_query q = make_query(f);
    for (int i = 0; i < ATTEMPTS; i++) {
        send_to_best(f, c, &q, now_ms);
        if (!sheds(f, c, now_ms))
            return true;
        f->seconds[now_ms / RK_MS_PER_S].refused++;
        q.excluded[q.excluded_len++] = c->at->hash;
        rk_place_ended(f->places[c->node], c->at, &c->job, RK_PLACE_REFUSED,
                       now_ms);
    }
    return false;
}

static void send(struct fleet *f, int64_t now_ms)
{
    struct second *second = &f->seconds[now_ms / RK_MS_PER_S];
    struct call *c = rk_alloc(1, sizeof(*c));
    c->node = (int)rk_rng_below(&f->rng, NODES);
    if (!is_taken(f, c, now_ms)) {
        second->calls++;
        second->lost++;
        free(c);
        return;
    }
    struct engine *e = &f->engines[c->vm];
    bool troubled = in_trouble(f, c->vm, now_ms);
    double slower = troubled && f->trouble == SLOW ? 5 : 1;
    if (e->busy_until_ms < (double)now_ms)
        e->busy_until_ms = (double)now_ms;
    e->busy_until_ms += c->job.load.unread / READ_PER_MS * slower;
    e->running++;
    double first_ms = e->busy_until_ms + FIXED_MS * slower;
    second->calls++;
    second->to_troubled += troubled;
    second->late += first_ms - (double)now_ms > LATE_MS;
    if (troubled && f->trouble == MUTE && rk_rng_below(&f->rng, 100) < 45) {
        second->lost++;
        c->stage = LOST;
        first_ms = (double)now_ms + SILENT_MS;
    }
    call_again(f, c, first_ms);
}

static void add(struct rk_vm_load *sum, const struct rk_vm_load *more, int sign)
{
    sum->running += (uint32_t)sign * more->running;
    sum->waiting_tokens += sign * more->waiting_tokens;
    sum->pace.log_sum += sign * more->pace.log_sum;
    sum->pace.failed += sign * more->pace.failed;
    sum->pace.calls += sign * more->pace.calls;
    sum->pace.refused += sign * more->pace.refused;
}

/* Each node hears what the others had in hand a period ago. */
static void tell(struct fleet *f, int64_t now_ms)
{
    struct rk_vm_load now[VMS] = {0}, others[VMS];
    for (int i = 0; i < VMS; i++)
        rk_strcpy(now[i].id, sizeof(now[i].id), f->rows[i].id);
    for (int i = 0; i < NODES; i++) {
        struct rk_vm_load *own;
        size_t len = rk_place_own_loads(f->places[i], now_ms, &own);
        memcpy(others, f->told, sizeof(others));
        for (size_t j = 0; j < len; j++)
            add(&now[atoi(own[j].id + strlen("vm-"))], &own[j], 1);
        rk_place_set_loads(f->places[i], others, VMS, now_ms);
        free(own);
    }
    memcpy(f->told, now, sizeof(now));
}

static void run(struct fleet *f)
{
    double owed = 0;
    for (int64_t now_ms = 0; now_ms < RUN_MS; now_ms += STEP_MS) {
        struct call *due = f->due[now_ms / STEP_MS];
        f->due[now_ms / STEP_MS] = NULL;
        for (struct call *next; due; due = next) {
            next = due->next;
            go_on(f, due, now_ms);
        }
        if (now_ms % TELL_MS == 0)
            tell(f, now_ms);
        owed += (double)CALLS_PER_S * STEP_MS / RK_MS_PER_S;
        for (; owed >= 1; owed--)
            send(f, now_ms);
    }
}

static struct second sum(const struct fleet *f, int from_s, int to_s)
{
    struct second all = {0};
    for (int i = from_s; i < to_s; i++) {
        all.calls += f->seconds[i].calls;
        all.to_troubled += f->seconds[i].to_troubled;
        all.lost += f->seconds[i].lost;
        all.late += f->seconds[i].late;
        all.arrivals += f->seconds[i].arrivals;
        all.refused += f->seconds[i].refused;
    }
    return all;
}

/* Seen: 295 nodes went on sending to vms that did not answer half of their calls.
 * Each node went by its own calls, and sends one to each of 160 vms in a minute.
 * Proof: here 2.6% of the calls were lost from the third second on, where nobody
 * minding would lose 6.4%; what peers see of a vm counts now. */
static void a_fleet_spares_vms_that_lose_calls(void **state)
{
    (void)state;
    struct fleet *f = new_fleet(MUTE, 7);
    run(f);
    struct second after = sum(f, TROUBLE_MS / 1000 + 3, RUN_MS / 1000);
    print_message("lost %.4f\n", (double)after.lost / after.calls);
    assert_true(after.lost < 0.015 * after.calls);
    free_fleet(f);
}

static void a_fleet_spares_slow_vms(void **state)
{
    (void)state;
    struct fleet *f = new_fleet(SLOW, 10);
    run(f);
    struct second before = sum(f, 4, TROUBLE_MS / 1000);
    struct second after = sum(f, TROUBLE_MS / 1000 + 2, RUN_MS / 1000);
    print_message("sent %.4f late %.4f before %.4f\n",
                  (double)after.to_troubled / after.calls,
                  (double)after.late / after.calls,
                  (double)before.late / before.calls);
    assert_true(after.to_troubled < 0.04 * after.calls); /* of a tenth */
    assert_true(after.late < 0.02 * after.calls);
    free_fleet(f);
}

/* Seen: of 2,900 to 3,200 calls on a day with two fifths of the engines turning
 * most away, 10 to 20% arrived at one that did, and 41 to 106 callers got that as
 * their last answer: a refusal was forgotten after 100 ms, by one node. */
static void a_fleet_spares_vms_that_turn_calls_away(void **state)
{
    (void)state;
    struct fleet *f = new_fleet(SHED, 3);
    run(f);
    struct second after = sum(f, TROUBLE_MS / 1000 + 1, RUN_MS / 1000);
    print_message("refused %.4f lost %.4f late %.4f\n",
                  (double)after.refused / after.arrivals,
                  (double)after.lost / after.calls,
                  (double)after.late / after.calls);
    assert_true(after.refused < 0.03 * after.arrivals);
    assert_true(after.lost < 0.005 * after.calls);
    free_fleet(f);
}

/* Slow together is load, not sickness: the domains keep their shares. */
static void a_fleet_whose_vms_are_all_slow_goes_on_using_all(void **state)
{
    (void)state;
    struct fleet *f = new_fleet(SLOW, 1);
    run(f);
    int by_domain[DOMAINS] = {0};
    for (int i = 0; i < VMS; i++)
        by_domain[i % DOMAINS] += f->engines[i].running;
    for (int i = 1; i < DOMAINS; i++)
        assert_true(by_domain[i] * 2 > by_domain[0]);
    free_fleet(f);
}

int main(void)
{
    const struct CMUnitTest tests[] = {
        cmocka_unit_test(a_fleet_spares_vms_that_lose_calls),
        cmocka_unit_test(a_fleet_spares_slow_vms),
        cmocka_unit_test(a_fleet_spares_vms_that_turn_calls_away),
        cmocka_unit_test(a_fleet_whose_vms_are_all_slow_goes_on_using_all),
    };
    return cmocka_run_group_tests(tests, NULL, NULL);
}
