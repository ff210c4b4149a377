/* rillknot-load: an HTTP load generator. It starts calls at a given rate (open
 * loop) or keeps a given number of calls in flight, in patterns that resemble the
 * users' traffic. It reports latency percentiles and counts of verdicts as one JSON
 * object, and can record the calls as a trace for rillknot-replay. */
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

#define MAX_TARGETS     64
#define URL_MAX         160
#define HEADER_MAX      96
#define CALL_TIMEOUT_MS 120000
#define MAX_TENANTS     256 /* tenants whose prompt text is cached */
#define UNIQUE_WORDS    4   /* words of a prompt that occur in no other */
/* Added to the run's time limit, beside the time-out of the last call. */
#define RUN_GRACE_MS 60000

/* The parameters of one call. */
struct call_params {
    const char *org, *cls;
    const char *service; /* "SERVICE/CALL"; NULL: a completion */
    int tenant;
    int prompt_words, max_tokens;
    bool has_key; /* sends an Idempotency-Key */
};

struct pattern {
    const char *name, *help;
    /* Sets the parameters of call number n; the others keep the caller's values. */
    void (*draw)(uint64_t n, struct rk_rng *rng, struct call_params *out);
};

static struct {
    const char *targets[MAX_TARGETS];
    size_t targets_len;
    const struct pattern *pattern;
    const char *record; /* path of the trace to write; NULL: none */
    const char *model;
    double rate;     /* calls per second; 0: closed loop */
    int concurrency; /* calls in flight in the closed loop */
    int64_t requests;
    uint64_t seed;
    int prompt_words, tenants, max_tokens;
    bool direct; /* the targets are services, not entry nodes */
} args = {.concurrency = 8,
          .requests = 100,
          .seed = 1,
          .model = "booking",
          .prompt_words = 3800,
          .tenants = 16,
          .max_tokens = 60};

struct call {
    struct call *next;
    int64_t start_us, first_byte_us, last_data_us;
    char verdict[24];
    int64_t tokens;
    bool ended_mark;
    bool completion;
    char tail[24]; /* last bytes of the body; a completed stream ends in [DONE] */
};

static struct {
    struct rk_loop *loop;
    struct rk_http *http;
    struct rk_rng rng;
    struct rk_timer arrival_timer, limit_timer;
    int64_t started, finished, start_us;
    int64_t completed, refused_not_run, refused_may_have_run, errors;
    int64_t tokens; /* of completed calls */
    /* Latencies of completed calls: time to the first byte and to the end. */
    double *first_ms, *total_ms;
    /* Times between chunks of completions; the first args.requests are kept. */
    double *gap_ms;
    size_t samples_len, gap_samples_len;
    FILE *trace;
} run;

/* ---- patterns ---- */

static void draw_tenants(uint64_t n, struct rk_rng *rng, struct call_params *out)
{
    /* The tenant is drawn at random. With tenants in rotation, round-robin routing
     * could send all calls of a tenant to the same VM, as sticky routing does. */
    (void)n;
    out->tenant = (int)rk_rng_below(rng, (uint32_t)args.tenants);
}

static void draw_hot(uint64_t n, struct rk_rng *rng, struct call_params *out)
{
    (void)n;
    (void)rng;
    out->tenant = 0;
}

static void draw_mix(uint64_t n, struct rk_rng *rng, struct call_params *out)
{
    /* Every other call is tenant 0's; the rest are spread over the others. */
    out->tenant =
        n % 2 ? 0 : 1 + (int)rk_rng_below(rng, (uint32_t)args.tenants - 1);
}

static void draw_hospital(uint64_t n, struct rk_rng *rng, struct call_params *out)
{
    static const char *const orgs[] = {"khomas-clinics", "call-centre", "patients",
                                       "otjozondjupa", "specialists"};
    (void)n;
    uint32_t org_pct = rk_rng_below(rng, 100);
    out->org = orgs[org_pct < 40   ? 0
                    : org_pct < 70 ? 1
                    : org_pct < 88 ? 2
                    : org_pct < 95 ? 3
                                   : 4];
    out->tenant = (int)rk_rng_below(rng, 24);
    out->prompt_words = 400 + (int)rk_rng_below(rng, 800);
    out->max_tokens = 20 + (int)rk_rng_below(rng, 60);
    uint32_t call_pct = rk_rng_below(rng, 100);
    if (call_pct < 35) {
        out->service = call_pct < 25 ? "slots/confirm" : "slots/release";
        out->cls = "urgent";
        out->has_key = true;
    } else if (call_pct < 50) {
        out->cls = "deferrable";
    }
}

static void draw_taxi(uint64_t n, struct rk_rng *rng, struct call_params *out)
{
    static const char *const orgs[] = {"dispatchers", "drivers", "complaints",
                                       "handover", "hotels"};
    (void)n;
    uint32_t org_pct = rk_rng_below(rng, 100);
    out->org = orgs[org_pct < 40   ? 0
                    : org_pct < 80 ? 1
                    : org_pct < 88 ? 2
                    : org_pct < 95 ? 3
                                   : 4];
    out->tenant = (int)rk_rng_below(rng, 12);
    out->prompt_words = 300 + (int)rk_rng_below(rng, 300);
    out->max_tokens = 30;
    if (rk_rng_below(rng, 100) < 45) {
        out->service = "rides/confirm";
        out->cls = "now";
        out->has_key = true;
    } else if (org_pct >= 80 && org_pct < 95) {
        out->cls = "shift";
        out->prompt_words = 2500;
        out->max_tokens = 200;
    }
}

static void draw_find(uint64_t n, struct rk_rng *rng, struct call_params *out)
{
    (void)n;
    (void)rng;
    out->service = "slots/find";
}

static const struct pattern patterns[] = {
    {"find", "a plain call that may be repeated", draw_find},
    {"tenants", "many tenants, each with a long prompt of its own", draw_tenants},
    {"hot", "one tenant", draw_hot},
    {"mix", "half of the calls are one tenant's, the rest spread over all others",
     draw_mix},
    {"hospital", "clinics, call centre, patients: letters, chat, slots",
     draw_hospital},
    {"taxi", "rides, fare summaries, reviews, handover notes", draw_taxi},
};

/* ---- calls ---- */

static void start_next_call(void);

static void on_header(void *ctx, const char *name, const char *value)
{
    struct call *c = ctx;
    if (!strcmp(name, "rillknot-verdict"))
        rk_strcpy(c->verdict, sizeof(c->verdict), value);
}

/* Keeps the last bytes of the body in c->tail, as a string. */
static void append_tail(struct call *c, const char *data, size_t len)
{
    size_t max = sizeof(c->tail) - 1, tail_len = strlen(c->tail);
    if (len >= max) {
        memcpy(c->tail, data + len - max, max);
        return;
    }
    if (tail_len + len > max) {
        size_t dropped = tail_len + len - max;
        memmove(c->tail, c->tail + dropped, tail_len - dropped + 1);
        tail_len -= dropped;
    }
    memcpy(c->tail + tail_len, data, len);
    c->tail[tail_len + len] = '\0';
}

static bool on_data(void *ctx, const char *data, size_t len)
{
    struct call *c = ctx;
    int64_t now = rk_mono_us();
    if (!c->first_byte_us)
        c->first_byte_us = now;
    else if (c->completion && run.gap_samples_len < (size_t)args.requests)
        run.gap_ms[run.gap_samples_len++] = (double)(now - c->last_data_us) / 1000;
    c->last_data_us = now;
    for (size_t i = 0; i + 6 <= len; i++)
        c->tokens += !memcmp(data + i, "data: ", 6);
    append_tail(c, data, len);
    return true;
}

/* Counts a finished call. Without a transport error, a response that is neither
 * complete nor marked not-run counts as a call that may have run. A completion is
 * complete if its stream ended with [DONE]. */
static void count_result(struct call *c, const struct rk_http_result *res)
{
    bool ok = !res->curl_code && res->status == 200;
    if (ok && c->completion)
        ok = strstr(c->tail, "[DONE]") != NULL;
    if (ok) {
        run.completed++;
        run.tokens += c->completion ? c->tokens - 1 : 0;
        run.first_ms[run.samples_len] =
            (double)(c->first_byte_us - c->start_us) / 1000;
        run.total_ms[run.samples_len++] =
            (double)(rk_mono_us() - c->start_us) / 1000;
    } else if (res->curl_code) {
        run.errors++;
    } else if (!strcmp(c->verdict, "not-run")) {
        run.refused_not_run++;
    } else {
        run.refused_may_have_run++;
    }
}

static void on_done(void *ctx, const struct rk_http_result *res)
{
    struct call *c = ctx;
    count_result(c, res);
    free(c);
    run.finished++;
    if (run.finished == args.requests)
        rk_loop_stop(run.loop);
    else if (!args.rate && run.started < args.requests)
        start_next_call();
}

/* Returns the tenant's prompt. It is cached and rebuilt only if its number of words
 * changes: building it for each call would delay the handling of other calls'
 * responses on this thread, and the delay would be measured as their latency.
 * Tenants whose numbers are equal modulo MAX_TENANTS share an entry. */
static const struct rk_buf *tenant_prompt(int tenant, int words)
{
    static struct rk_buf prompts[MAX_TENANTS];
    static int prompt_lens[MAX_TENANTS];
    struct rk_buf *b = &prompts[tenant % MAX_TENANTS];
    if (prompt_lens[tenant % MAX_TENANTS] == words)
        return b;
    rk_buf_free(b);
    prompt_lens[tenant % MAX_TENANTS] = words;
    for (int i = 0; i < words; i++)
        rk_buf_printf(b, "t%dw%d ", tenant, i);
    return b;
}

/* Appends the tenant's prompt and UNIQUE_WORDS words that only this call has. */
static void add_prompt(struct rk_buf *b, const struct call_params *params,
                       uint64_t n)
{
    const struct rk_buf *words =
        tenant_prompt(params->tenant, params->prompt_words);
    rk_buf_add(b, words->data, words->len);
    for (int i = 0; i < UNIQUE_WORDS; i++)
        rk_buf_printf(b, "q%" PRIu64 "x%d ", n, i);
}

/* Writes the call to the trace, if one is recorded. */
static void record_call(const struct call_params *params, uint64_t n)
{
    if (!run.trace)
        return;
    fprintf(run.trace,
            "{\"at_ms\":%" PRId64 ",\"call\":%" PRIu64
            ",\"organisation\":\"%s\",\"class\":\"%s\",\"service\":\"%s\","
            "\"tenant\":%d,\"prompt_tokens\":%d,\"max_tokens\":%d}\n",
            (rk_mono_us() - run.start_us) / 1000, n, params->org, params->cls,
            params->service ? params->service : args.model, params->tenant,
            params->service ? 0 : params->prompt_words,
            params->service ? 0 : params->max_tokens);
}

/* Sends call number n. */
static void send_call(const struct call_params *params, uint64_t n)
{
    struct call *c = rk_alloc(1, sizeof(*c));
    c->completion = !params->service;
    char url[URL_MAX], org[HEADER_MAX], cls[HEADER_MAX], key[HEADER_MAX];
    const char *target = args.targets[n % args.targets_len];
    struct rk_buf body = {0};
    if (params->service) {
        snprintf(url, sizeof(url), "http://%s%s%s", target,
                 args.direct ? "/" : "/services/", params->service);
        rk_buf_printf(&body, "{\"n\":%" PRIu64 "}", n);
    } else {
        snprintf(url, sizeof(url), "http://%s/v1/completions", target);
        rk_buf_printf(
            &body,
            "{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%d,\"prompt\":\"",
            args.model, params->max_tokens);
        add_prompt(&body, params, n);
        rk_buf_addstr(&body, "\"}");
    }
    snprintf(org, sizeof(org), "Rillknot-Organisation: %s", params->org);
    snprintf(cls, sizeof(cls), "Rillknot-Class: %s", params->cls);
    snprintf(key, sizeof(key), "Idempotency-Key: load-%" PRIu64 "-%" PRIu64,
             args.seed, n);
    const char *headers[5] = {org, "Content-Type: application/json"};
    size_t headers_len = 2;
    if (params->cls[0])
        headers[headers_len++] = cls;
    if (params->has_key)
        headers[headers_len++] = key;
    record_call(params, n);
    c->start_us = rk_mono_us();
    const struct rk_http_spec spec = {
        .method = "POST",
        .url = url,
        .headers = headers,
        .body = body.data,
        .body_len = body.len,
        .connect_timeout_ms = 5000,
        .timeout_ms = CALL_TIMEOUT_MS,
        .handlers = {.on_header = on_header,
                     .on_data = on_data,
                     .on_done = on_done},
        .ctx = c,
    };
    rk_http_start(run.http, &spec);
    rk_buf_free(&body);
}

static void start_next_call(void)
{
    assert(args.pattern);
    uint64_t n = (uint64_t)run.started++;
    struct call_params params = {.org = "khomas-clinics",
                                 .cls = "",
                                 .prompt_words = args.prompt_words,
                                 .max_tokens = args.max_tokens};
    args.pattern->draw(n, &run.rng, &params);
    send_call(&params, n);
}

/* Open loop: starts the calls that are due by the rate, whether or not earlier
 * calls have finished. */
static void on_arrival(void *ctx)
{
    (void)ctx;
    double calls_due = (double)(rk_mono_us() - run.start_us) / 1e6 * args.rate;
    while (run.started < args.requests && (double)run.started <= calls_due)
        start_next_call();
    if (run.started < args.requests)
        rk_timer_start(run.loop, &run.arrival_timer, 1);
}

static void on_time_limit(void *ctx)
{
    (void)ctx;
    rk_loop_stop(run.loop);
}

/* ---- report ---- */

static int compare_doubles(const void *a, const void *b)
{
    double x = *(const double *)a, y = *(const double *)b;
    return x < y ? -1 : x > y;
}

/* Returns the p-quantile of the n values in v (0 if n is 0), and sorts v. */
static double percentile(double *v, size_t n, double p)
{
    if (!n)
        return 0;
    qsort(v, n, sizeof(*v), compare_doubles);
    size_t i = (size_t)((double)n * p);
    return v[i < n ? i : n - 1];
}

static void print_report(void)
{
    assert(args.pattern);
    double seconds = (double)(rk_mono_us() - run.start_us) / 1e6;
    size_t n = run.samples_len;
    printf("{\"pattern\":\"%s\",\"requests\":%" PRId64 ",\"whole\":%" PRId64
           ",\"not_run\":%" PRId64 ",\"may_have_run\":%" PRId64
           ",\"errors\":%" PRId64 ",\"unfinished\":%" PRId64,
           args.pattern->name, run.started, run.completed, run.refused_not_run,
           run.refused_may_have_run, run.errors, run.started - run.finished);
    printf(",\"seconds\":%.3f,\"requests_per_s\":%.2f,\"tokens_per_s\":%.1f",
           seconds, (double)run.completed / seconds, (double)run.tokens / seconds);
    printf(",\"first_ms\":{\"p50\":%.2f,\"p90\":%.2f,\"p95\":%.2f,\"p99\":%.2f}",
           percentile(run.first_ms, n, 0.5), percentile(run.first_ms, n, 0.9),
           percentile(run.first_ms, n, 0.95), percentile(run.first_ms, n, 0.99));
    printf(",\"total_ms\":{\"p50\":%.2f,\"p90\":%.2f,\"p99\":%.2f}",
           percentile(run.total_ms, n, 0.5), percentile(run.total_ms, n, 0.9),
           percentile(run.total_ms, n, 0.99));
    printf(",\"token_gap_ms\":{\"p50\":%.2f,\"p95\":%.2f}}\n",
           percentile(run.gap_ms, run.gap_samples_len, 0.5),
           percentile(run.gap_ms, run.gap_samples_len, 0.95));
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
    {"target", 't', "IP:PORT", 0, "Where calls go, in turn; may be repeated", 0},
    {"pattern", 'p', "NAME", 0, "tenants, hot, mix, hospital, taxi or find", 0},
    {"requests", 'n', "N", 0, "Calls to make (100)", 0},
    {"concurrency", 'c', "N", 0, "Calls in flight (8), unless a rate is given", 0},
    {"rate", 'r', "PER-S", 0, "Open loop: calls begun per second", 0},
    {"prompt-words", 'w', "N", 0, "Words of a tenant's prompt (3800)", 0},
    {"max-tokens", 'k', "N", 0, "Tokens of an answer (60)", 0},
    {"tenants", 'T', "N", 0, "Tenants (16)", 0},
    {"model", 'm', "NAME", 0, "Model for completions (booking)", 0},
    {"seed", 's', "N", 0, "For random numbers (1)", 0},
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
    run.start_us = rk_mono_us();
    run.arrival_timer = (struct rk_timer){.fn = on_arrival};
    run.limit_timer = (struct rk_timer){.fn = on_time_limit};
    double expected_s = args.rate ? (double)args.requests / args.rate : 0;
    rk_timer_start(run.loop, &run.limit_timer,
                   (int64_t)(expected_s * RK_MS_PER_S) + CALL_TIMEOUT_MS +
                       RUN_GRACE_MS);
    if (args.rate)
        on_arrival(NULL);
    for (int i = 0;
         !args.rate && i < args.concurrency && run.started < args.requests; i++)
        start_next_call();
    rk_loop_run(run.loop);
    print_report();
    if (run.trace)
        fclose(run.trace);
    return run.completed == args.requests ? 0 : 1;
}
