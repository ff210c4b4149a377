/* rillknot-load: load over HTTP, open loop (a rate) or with a number of calls in
 * hand, in patterns like the users' work. Reports percentiles and verdicts as
 * one JSON object, and can record a trace that rillknot-replay reads. */
#include <argp.h>
#include <assert.h>
#include <curl/curl.h>
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/http.h"
#include "common/loop.h"
#include "common/util.h"

#define MAX_TARGETS   64
#define URL_MAX       160
#define HEADER_MAX    96
#define CALL_LIMIT_MS 120000
#define MAX_TENANTS   256
#define OWN_WORDS     4     /* of a prompt, that no other call has */
#define GRACE_MS      60000 /* for calls in hand after the last was begun */

/* What one call of a pattern is. */
struct shape {
    const char *org, *cls;
    const char *service; /* NULL: a completion */
    int tenant;
    int prompt_words, max_tokens;
    bool key;
};

struct pattern {
    const char *name, *help;
    void (*shape)(uint64_t n, struct rk_rng *rng, struct shape *out);
};

static struct {
    const char *targets[MAX_TARGETS];
    size_t targets_len;
    const struct pattern *pattern;
    const char *record, *model;
    double rate;
    int concurrency;
    int64_t requests;
    uint64_t seed;
    int prompt_words, tenants, max_tokens;
    bool direct;
} args = {.concurrency = 8,
          .requests = 100,
          .seed = 1,
          .model = "booking",
          .prompt_words = 3800,
          .tenants = 16,
          .max_tokens = 60};

struct call {
    struct call *next;
    int64_t begun_us, first_us, last_us;
    char verdict[24];
    int64_t tokens;
    bool ended_mark;
    bool completion;
    char tail[24]; /* last bytes of the body, for the end mark */
};

static struct {
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_rng rng;
    struct rk_timer arrival, limit;
    int64_t begun, ended, begin_us;
    int64_t whole, refused_not_run, refused_maybe, errors;
    int64_t tokens;
    double *first_ms, *total_ms, *gap_ms;
    size_t measured, gaps;
    FILE *trace;
} run;

/* ---- patterns ---- */

static void shape_tenants(uint64_t n, struct rk_rng *rng, struct shape *out)
{
    /* Drawn, not in turn: in turn, round robin would look sticky. */
    (void)n;
    out->tenant = (int)rk_rng_below(rng, (uint32_t)args.tenants);
}

static void shape_hot(uint64_t n, struct rk_rng *rng, struct shape *out)
{
    (void)n;
    (void)rng;
    out->tenant = 0;
}

static void shape_mix(uint64_t n, struct rk_rng *rng, struct shape *out)
{
    /* Half of the calls are one tenant's, the rest of all. */
    out->tenant =
        n % 2 ? 0 : 1 + (int)rk_rng_below(rng, (uint32_t)args.tenants - 1);
}

static void shape_hospital(uint64_t n, struct rk_rng *rng, struct shape *out)
{
    static const char *const orgs[] = {"khomas-clinics", "call-centre", "patients",
                                       "otjozondjupa", "specialists"};
    (void)n;
    uint32_t dice = rk_rng_below(rng, 100);
    out->org = orgs[dice < 40   ? 0
                    : dice < 70 ? 1
                    : dice < 88 ? 2
                    : dice < 95 ? 3
                                : 4];
    out->tenant = (int)rk_rng_below(rng, 24);
    out->prompt_words = 400 + (int)rk_rng_below(rng, 800);
    out->max_tokens = 20 + (int)rk_rng_below(rng, 60);
    uint32_t kind = rk_rng_below(rng, 100);
    if (kind < 35) {
        out->service = kind < 25 ? "slots/confirm" : "slots/release";
        out->cls = "urgent";
        out->key = true;
    } else if (kind < 50) {
        out->cls = "deferrable";
    }
}

static void shape_taxi(uint64_t n, struct rk_rng *rng, struct shape *out)
{
    static const char *const orgs[] = {"dispatchers", "drivers", "complaints",
                                       "handover", "hotels"};
    (void)n;
    uint32_t dice = rk_rng_below(rng, 100);
    out->org = orgs[dice < 40   ? 0
                    : dice < 80 ? 1
                    : dice < 88 ? 2
                    : dice < 95 ? 3
                                : 4];
    out->tenant = (int)rk_rng_below(rng, 12);
    out->prompt_words = 300 + (int)rk_rng_below(rng, 300);
    out->max_tokens = 30;
    if (rk_rng_below(rng, 100) < 45) {
        out->service = "rides/confirm";
        out->cls = "now";
        out->key = true;
    } else if (dice >= 80 && dice < 95) {
        out->cls = "shift";
        out->prompt_words = 2500;
        out->max_tokens = 200;
    }
}

static void shape_find(uint64_t n, struct rk_rng *rng, struct shape *out)
{
    (void)n;
    (void)rng;
    out->service = "slots/find";
}

static const struct pattern patterns[] = {
    {"find", "a plain call that may be repeated", shape_find},
    {"tenants", "many tenants, each with a long prompt of its own", shape_tenants},
    {"hot", "one tenant", shape_hot},
    {"mix", "half of the calls one tenant's, the rest of all", shape_mix},
    {"hospital", "clinics, call centre, patients: letters, chat, slots",
     shape_hospital},
    {"taxi", "rides, fare summaries, reviews, handover notes", shape_taxi},
};

/* ---- calls ---- */

static void begin_call(void);

static void on_header(void *ctx, const char *name, const char *value)
{
    struct call *c = ctx;
    if (!strcmp(name, "rillknot-verdict"))
        rk_strcpy(c->verdict, sizeof(c->verdict), value);
}

static void keep_tail(struct call *c, const char *data, size_t len)
{
    size_t max = sizeof(c->tail) - 1, have = strlen(c->tail);
    if (len >= max) {
        memcpy(c->tail, data + len - max, max);
        return;
    }
    if (have + len > max) {
        size_t drop = have + len - max;
        memmove(c->tail, c->tail + drop, have - drop + 1);
        have -= drop;
    }
    memcpy(c->tail + have, data, len);
    c->tail[have + len] = '\0';
}

static bool on_data(void *ctx, const char *data, size_t len)
{
    struct call *c = ctx;
    int64_t now = rk_mono_us();
    if (!c->first_us)
        c->first_us = now;
    else if (c->completion && run.gaps < (size_t)args.requests)
        run.gap_ms[run.gaps++] = (double)(now - c->last_us) / 1000;
    c->last_us = now;
    for (size_t i = 0; i + 6 <= len; i++)
        c->tokens += !memcmp(data + i, "data: ", 6);
    keep_tail(c, data, len);
    return true;
}

static void count_end(struct call *c, const struct rk_http_result *res)
{
    bool ok = !res->curl_code && res->status == 200;
    if (ok && c->completion)
        ok = strstr(c->tail, "[DONE]") != NULL;
    if (ok) {
        run.whole++;
        run.tokens += c->completion ? c->tokens - 1 : 0;
        run.first_ms[run.measured] = (double)(c->first_us - c->begun_us) / 1000;
        run.total_ms[run.measured++] = (double)(rk_mono_us() - c->begun_us) / 1000;
    } else if (res->curl_code) {
        run.errors++;
    } else if (!strcmp(c->verdict, "not-run")) {
        run.refused_not_run++;
    } else {
        run.refused_maybe++;
    }
}

static void on_done(void *ctx, const struct rk_http_result *res)
{
    struct call *c = ctx;
    count_end(c, res);
    free(c);
    run.ended++;
    if (run.ended == args.requests)
        rk_loop_stop(run.loop);
    else if (!args.rate && run.begun < args.requests)
        begin_call();
}

/* A tenant's words, written once: writing them for each call would hold up the
 * answers of others, and be measured as theirs. */
static const struct rk_buf *tenant_words(int tenant, int words)
{
    static struct rk_buf texts[MAX_TENANTS];
    static int lengths[MAX_TENANTS];
    struct rk_buf *b = &texts[tenant % MAX_TENANTS];
    if (lengths[tenant % MAX_TENANTS] == words)
        return b;
    rk_buf_free(b);
    lengths[tenant % MAX_TENANTS] = words;
    for (int i = 0; i < words; i++)
        rk_buf_printf(b, "t%dw%d ", tenant, i);
    return b;
}

/* The last words are this call's own. */
static void add_prompt(struct rk_buf *b, const struct shape *s, uint64_t n)
{
    const struct rk_buf *words = tenant_words(s->tenant, s->prompt_words);
    rk_buf_add(b, words->data, words->len);
    for (int i = 0; i < OWN_WORDS; i++)
        rk_buf_printf(b, "q%" PRIu64 "x%d ", n, i);
}

static void record(const struct shape *s, uint64_t n)
{
    if (!run.trace)
        return;
    fprintf(run.trace,
            "{\"at_ms\":%" PRId64 ",\"call\":%" PRIu64
            ",\"organisation\":\"%s\",\"class\":\"%s\",\"service\":\"%s\","
            "\"tenant\":%d,\"prompt_tokens\":%d,\"max_tokens\":%d}\n",
            (rk_mono_us() - run.begin_us) / 1000, n, s->org, s->cls,
            s->service ? s->service : args.model, s->tenant,
            s->service ? 0 : s->prompt_words, s->service ? 0 : s->max_tokens);
}

static void start(const struct shape *s, uint64_t n)
{
    struct call *c = rk_alloc(1, sizeof(*c));
    c->completion = !s->service;
    char url[URL_MAX], org[HEADER_MAX], cls[HEADER_MAX], key[HEADER_MAX];
    const char *target = args.targets[n % args.targets_len];
    struct rk_buf body = {0};
    if (s->service) {
        snprintf(url, sizeof(url), "http://%s%s%s", target,
                 args.direct ? "/" : "/services/", s->service);
        rk_buf_printf(&body, "{\"n\":%" PRIu64 "}", n);
    } else {
        snprintf(url, sizeof(url), "http://%s/v1/completions", target);
        rk_buf_printf(
            &body,
            "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"prompt\":\"",
            args.model, s->max_tokens);
        add_prompt(&body, s, n);
        rk_buf_addstr(&body, "\"}");
    }
    snprintf(org, sizeof(org), "Rillknot-Organisation: %s", s->org);
    snprintf(cls, sizeof(cls), "Rillknot-Class: %s", s->cls);
    snprintf(key, sizeof(key), "Idempotency-Key: load-%" PRIu64 "-%" PRIu64,
             args.seed, n);
    const char *headers[5] = {org, "Content-Type: application/json"};
    size_t h = 2;
    if (s->cls[0])
        headers[h++] = cls;
    if (s->key)
        headers[h++] = key;
    record(s, n);
    c->begun_us = rk_mono_us();
    const struct rk_http_spec spec = {
        .method = "POST",
        .url = url,
        .headers = headers,
        .body = body.data,
        .body_len = body.len,
        .connect_timeout_ms = 5000,
        .timeout_ms = CALL_LIMIT_MS,
        .handlers = {.on_header = on_header,
                     .on_data = on_data,
                     .on_done = on_done},
        .ctx = c,
    };
    rk_http_start(run.http, &spec);
    rk_buf_free(&body);
}

static void begin_call(void)
{
    assert(args.pattern);
    uint64_t n = (uint64_t)run.begun++;
    struct shape s = {.org = "khomas-clinics",
                      .cls = "",
                      .prompt_words = args.prompt_words,
                      .max_tokens = args.max_tokens};
    args.pattern->shape(n, &run.rng, &s);
    start(&s, n);
}

/* Open loop: arrivals at a rate, whatever the answers do. */
static void on_arrival(void *ctx)
{
    (void)ctx;
    double due = (double)(rk_mono_us() - run.begin_us) / 1e6 * args.rate;
    while (run.begun < args.requests && (double)run.begun <= due)
        begin_call();
    if (run.begun < args.requests)
        rk_timer_start(run.loop, &run.arrival, 1);
}

static void on_limit(void *ctx)
{
    (void)ctx;
    rk_loop_stop(run.loop);
}

/* ---- report ---- */

static int by_value(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : x > y;
}

static double percentile(double *v, size_t n, double p)
{
    if (!n)
        return 0;
    qsort(v, n, sizeof(*v), by_value);
    size_t i = (size_t)((double)n * p);
    return v[i < n ? i : n - 1];
}

static void report(void)
{
    assert(args.pattern);
    double seconds = (double)(rk_mono_us() - run.begin_us) / 1e6;
    size_t n = run.measured;
    printf("{\"pattern\":\"%s\",\"requests\":%" PRId64 ",\"whole\":%" PRId64
           ",\"not_run\":%" PRId64 ",\"may_have_run\":%" PRId64
           ",\"errors\":%" PRId64 ",\"unfinished\":%" PRId64,
           args.pattern->name, run.begun, run.whole, run.refused_not_run,
           run.refused_maybe, run.errors, run.begun - run.ended);
    printf(",\"seconds\":%.3f,\"requests_per_s\":%.2f,\"tokens_per_s\":%.1f",
           seconds, (double)run.whole / seconds, (double)run.tokens / seconds);
    printf(",\"first_ms\":{\"p50\":%.2f,\"p90\":%.2f,\"p95\":%.2f,\"p99\":%.2f}",
           percentile(run.first_ms, n, 0.5), percentile(run.first_ms, n, 0.9),
           percentile(run.first_ms, n, 0.95), percentile(run.first_ms, n, 0.99));
    printf(",\"total_ms\":{\"p50\":%.2f,\"p90\":%.2f,\"p99\":%.2f}",
           percentile(run.total_ms, n, 0.5), percentile(run.total_ms, n, 0.9),
           percentile(run.total_ms, n, 0.99));
    printf(",\"token_gap_ms\":{\"p50\":%.2f,\"p95\":%.2f}}\n",
           percentile(run.gap_ms, run.gaps, 0.5),
           percentile(run.gap_ms, run.gaps, 0.95));
}

/* ---- command line ---- */

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    switch (key) {
    case 't':
        if (args.targets_len == MAX_TARGETS)
            argp_error(state, "at most %d targets", MAX_TARGETS);
        args.targets[args.targets_len++] = arg;
        return 0;
    case 'p':
        for (size_t i = 0; i < RK_ARRAY_LEN(patterns); i++)
            if (!strcmp(patterns[i].name, arg))
                args.pattern = &patterns[i];
        if (!args.pattern)
            argp_error(state, "unknown pattern '%s'", arg);
        return 0;
    case 'r':
        args.rate = atof(arg);
        return 0;
    case 'c':
        args.concurrency = atoi(arg);
        return 0;
    case 'n':
        args.requests = atoll(arg);
        return 0;
    case 's':
        args.seed = strtoull(arg, NULL, 10);
        return 0;
    case 'm':
        args.model = arg;
        return 0;
    case 'w':
        args.prompt_words = atoi(arg);
        return 0;
    case 'k':
        args.max_tokens = atoi(arg);
        return 0;
    case 'T':
        args.tenants = atoi(arg);
        return 0;
    case 'd':
        args.direct = true;
        return 0;
    case 'o':
        args.record = arg;
        return 0;
    case ARGP_KEY_END:
        if (!args.targets_len || !args.pattern || args.requests < 1 ||
            args.tenants < 2)
            argp_usage(state);
        return 0;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"target", 't', "IP:PORT", 0, "Where calls go, in turn; may be given often", 0},
    {"pattern", 'p', "NAME", 0, "tenants, hot, mix, hospital, taxi or find", 0},
    {"requests", 'n', "N", 0, "Calls to make (100)", 0},
    {"concurrency", 'c', "N", 0, "Calls in hand (8), unless a rate is given", 0},
    {"rate", 'r', "PER-S", 0, "Open loop: calls begun a second", 0},
    {"prompt-words", 'w', "N", 0, "Words of a tenant's prompt (3800)", 0},
    {"max-tokens", 'k', "N", 0, "Tokens of an answer (60)", 0},
    {"tenants", 'T', "N", 0, "Tenants (16)", 0},
    {"model", 'm', "NAME", 0, "Model asked for (booking)", 0},
    {"seed", 's', "N", 0, "Of everything drawn (1)", 0},
    {"direct", 'd', NULL, 0, "The targets are plain services, not entry nodes", 0},
    {"record", 'o', "FILE", 0, "Write a trace for rillknot-replay", 0},
    {0},
};

static const struct argp argp = {
    options, parse_opt, NULL, "Put load on entry nodes and report what came back.",
    0,       0,         0};

int main(int argc, char **argv)
{
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    curl_global_init(CURL_GLOBAL_DEFAULT);
    run.rng.state = args.seed;
    run.loop = rk_loop_create();
    run.http = rk_http_create(run.loop);
    run.first_ms = rk_alloc((size_t)args.requests, sizeof(double));
    run.total_ms = rk_alloc((size_t)args.requests, sizeof(double));
    run.gap_ms = rk_alloc((size_t)args.requests, sizeof(double));
    run.trace = args.record ? fopen(args.record, "w") : NULL;
    if (args.record && !run.trace) {
        perror(args.record);
        return 2;
    }
    run.begin_us = rk_mono_us();
    run.arrival = (struct rk_timer){.fn = on_arrival};
    run.limit = (struct rk_timer){.fn = on_limit};
    double expected_s = args.rate ? (double)args.requests / args.rate : 0;
    rk_timer_start(run.loop, &run.limit,
                   (int64_t)(expected_s * RK_MS_PER_S) + CALL_LIMIT_MS + GRACE_MS);
    if (args.rate)
        on_arrival(NULL);
    for (int i = 0; !args.rate && i < args.concurrency && run.begun < args.requests;
         i++)
        begin_call();
    rk_loop_run(run.loop);
    report();
    if (run.trace)
        fclose(run.trace);
    return run.whole == args.requests ? 0 : 1;
}
