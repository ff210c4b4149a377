/* Stand-in for a model engine behind the OpenAI completion paths: continuous
 * batching with a few slots, a prefix cache of limited size, prefill paid only
 * for uncached tokens, resume, cancel (by closing), KV import, a load report
 * and fenced orders. Tokens are a function of the prompt and the index, so an
 * answer resumed anywhere must equal the one never cut, byte for byte.
 *
 *   POST /v1/completions, /v1/chat/completions   always streams
 *        X-Request-Id echoed; X-Priority: lower runs first;
 *        X-Resume-From: first token index wanted
 *   GET  /load            {"running","queued"}
 *   POST /kv/import       {"from","request_id","completion"}  the request's
 *                         prompt and tokens so far count as cached
 *   POST /orders          {"order","epoch"}; 409 below the highest epoch seen
 *   GET  /_runs           {"prefill_tokens","hit_tokens","tokens","calls",
 *                          "orders"}
 *   POST /_fault          cut-before, cut-mid (after ms tokens), crossed, twice
 *                         (a token sent twice), gap (a token left out), late
 *                         (ms before the first token), refuse (503) */
#include <argp.h>
#include <inttypes.h>
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include "common/json.h"

#include "standins/httpd.h"

#define BLOCK_TOKENS       16
#define MAX_BLOCKS         65536
#define DEFAULT_MAX_TOKENS 16
#define MAX_IMPORTED       64

struct block {
    uint64_t hash;
    int64_t used; /* logical time of the last use; 0: free */
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t freed;
    struct block *blocks;
    size_t max_blocks;
    int64_t tick;
    int slots, running, queued;
    int64_t waiting[8]; /* queued calls by priority */
    int64_t epoch, orders;
    int64_t prefill_tokens, hit_tokens, tokens, calls;
    double base_ms, per_token_ms, step_ms;
    bool checks_fences;
    struct si_fault fault;
    char imported[MAX_IMPORTED][RK_ID_MAX]; /* requests whose KV cache is here */
    size_t imports;
} eng = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .freed = PTHREAD_COND_INITIALIZER,
    .slots = 4,
    .max_blocks = 16000 / BLOCK_TOKENS,
    .base_ms = 20,
    .per_token_ms = 0.2,
    .step_ms = 15,
    .checks_fences = true,
};

struct stream {
    char id[RK_ID_MAX];
    uint64_t prompt_hash;
    int64_t next, max_tokens;
    int priority;
    bool has_slot, done;
    struct si_fault fault;
    int64_t sent;
    int64_t due_us; /* when the next token is ready */
};

/* Find the block or take the least recently used place. True if it was there. */
static bool touch_block(uint64_t hash)
{
    size_t oldest = 0;
    for (size_t i = 0; i < eng.max_blocks; i++) {
        if (eng.blocks[i].hash == hash && eng.blocks[i].used) {
            eng.blocks[i].used = ++eng.tick;
            return true;
        }
        if (eng.blocks[i].used < eng.blocks[oldest].used)
            oldest = i;
    }
    eng.blocks[oldest] = (struct block){.hash = hash, .used = ++eng.tick};
    return false;
}

/* Walk the prompt's blocks of words; returns the words not cached. */
static int64_t prefill(const char *prompt, int64_t extra_tokens)
{
    int64_t words = 0, missed = 0;
    bool hit = true;
    uint64_t h = 0;
    const char *p = prompt;
    while (*p) {
        const char *start = p;
        int64_t n = 0;
        while (*p && n < BLOCK_TOKENS) {
            while (*p == ' ')
                p++;
            if (*p)
                n++;
            while (*p && *p != ' ')
                p++;
        }
        h = rk_hash(h, start, (size_t)(p - start));
        if (n < BLOCK_TOKENS) {
            missed += n; /* a part block is never cached */
        } else if (!touch_block(h) || !hit) {
            hit = false;
            missed += n;
        }
        words += n;
    }
    eng.prefill_tokens += missed + extra_tokens;
    eng.hit_tokens += words - missed;
    return missed + extra_tokens;
}

static void take_slot(struct stream *s)
{
    eng.queued++;
    eng.waiting[s->priority]++;
    for (;;) {
        bool first = true;
        for (int p = 0; p < s->priority; p++)
            first = first && !eng.waiting[p];
        if (first && eng.running < eng.slots)
            break;
        pthread_cond_wait(&eng.freed, &eng.lock);
    }
    eng.queued--;
    eng.waiting[s->priority]--;
    eng.running++;
    s->has_slot = true;
}

static void give_slot(struct stream *s)
{
    pthread_mutex_lock(&eng.lock);
    if (s->has_slot)
        eng.running--;
    s->has_slot = false;
    pthread_cond_broadcast(&eng.freed);
    pthread_mutex_unlock(&eng.lock);
}

static int format_token(struct stream *s, char *buf, size_t max)
{
    uint64_t word = rk_hash(s->prompt_hash, &s->next, sizeof(s->next)) % 9973;
    return snprintf(buf, max,
                    "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":"
                    "{\"content\":\"w%" PRIu64 " \"}}],\"rk_index\":%" PRId64
                    "}\n\n",
                    s->id, word, s->next);
}

/* Blocks until the next token is ready: the step time is the batch's. */
static ssize_t next_token(void *cls, uint64_t pos, char *buf, size_t max)
{
    (void)pos;
    struct stream *s = cls;
    if (s->done)
        return MHD_CONTENT_READER_END_OF_STREAM;
    if (s->next >= s->max_tokens) {
        s->done = true;
        memcpy(buf, "data: [DONE]\n\n", 14);
        return 14;
    }
    if (!strcmp(s->fault.mode, "cut-mid") && s->sent >= s->fault.ms)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    s->due_us += (int64_t)(eng.step_ms * 1000);
    int64_t left = s->due_us - rk_mono_us();
    if (left > 0)
        si_sleep_ms((left + 999) / 1000);
    if (!strcmp(s->fault.mode, "gap") && s->sent == 2)
        s->next++;
    int n = format_token(s, buf, max);
    bool again = !strcmp(s->fault.mode, "twice") && s->sent == 2;
    s->sent++;
    if (!again)
        s->next++;
    pthread_mutex_lock(&eng.lock);
    eng.tokens++;
    pthread_mutex_unlock(&eng.lock);
    return n;
}

static char *prompt_of(struct json_object *o)
{
    struct json_object *v, *content;
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "");
    if (json_object_object_get_ex(o, "prompt", &v)) {
        rk_buf_addstr(&b, json_object_get_string(v));
    } else if (json_object_object_get_ex(o, "messages", &v)) {
        for (size_t i = 0; i < json_object_array_length(v); i++) {
            if (json_object_object_get_ex(json_object_array_get_idx(v, i),
                                          "content", &content))
                rk_buf_addstr(&b, json_object_get_string(content));
            rk_buf_addstr(&b, " ");
        }
    }
    return b.data;
}

static enum MHD_Result reply_stream(struct si_req *req, struct stream *s)
{
    struct MHD_Response *r = MHD_create_response_from_callback(
        MHD_SIZE_UNKNOWN, 512, next_token, s, NULL);
    MHD_add_response_header(r, "Content-Type", "text/event-stream");
    MHD_add_response_header(r, "X-Request-Id", s->id);
    enum MHD_Result ret = MHD_queue_response(req->conn, 200, r);
    MHD_destroy_response(r);
    return ret;
}

static bool was_imported(const char *id)
{
    for (size_t i = 0; i < MAX_IMPORTED; i++)
        if (!strcmp(eng.imported[i], id))
            return true;
    return false;
}

static enum MHD_Result complete(struct si_req *req)
{
    struct si_fault fault = {0};
    si_take_fault(&eng.fault, &fault);
    if (!strcmp(fault.mode, "refuse"))
        return si_reply(req, 503, "busy", 4, NULL);
    if (!strcmp(fault.mode, "cut-before"))
        return MHD_NO;
    struct json_object *o = json_tokener_parse(req->body.data);
    if (!o)
        return si_reply(req, 400, "not JSON", 8, NULL);
    struct stream *s = rk_alloc(1, sizeof(*s));
    const char *id = si_header(req, "X-Request-Id");
    const char *from = si_header(req, "X-Resume-From");
    const char *priority = si_header(req, "X-Priority");
    bool crossed = !strcmp(fault.mode, "crossed");
    rk_strcpy(s->id, sizeof(s->id), crossed ? "somebody-elses" : id ? id : "none");
    s->fault = fault;
    s->next = from ? atoll(from) : 0;
    s->priority = priority ? atoi(priority) & 7 : 4;
    s->max_tokens = rk_json_int(o, "max_tokens", DEFAULT_MAX_TOKENS);
    char *prompt = prompt_of(o);
    s->prompt_hash = rk_hash_str(0, prompt);
    req->state = s;
    pthread_mutex_lock(&eng.lock);
    eng.calls++;
    take_slot(s);
    int64_t uncached = prefill(prompt, was_imported(s->id) ? 0 : s->next);
    pthread_mutex_unlock(&eng.lock);
    free(prompt);
    json_object_put(o);
    si_sleep_ms((int64_t)(eng.base_ms + eng.per_token_ms * (double)uncached));
    if (!strcmp(fault.mode, "late"))
        si_sleep_ms(fault.ms);
    s->due_us = rk_mono_us();
    return reply_stream(req, s);
}

static enum MHD_Result take_order(struct si_req *req)
{
    struct json_object *o = json_tokener_parse(req->body.data);
    int64_t epoch = rk_json_int(o, "epoch", 0);
    json_object_put(o);
    pthread_mutex_lock(&eng.lock);
    bool stale = eng.checks_fences && epoch < eng.epoch;
    if (!stale) {
        eng.epoch = epoch > eng.epoch ? epoch : eng.epoch;
        eng.orders++;
    }
    pthread_mutex_unlock(&eng.lock);
    return si_reply(req, stale ? 409 : 200, "", 0, NULL);
}

static enum MHD_Result import_kv(struct si_req *req)
{
    struct json_object *o = json_tokener_parse(req->body.data), *completion, *id;
    if (!json_object_object_get_ex(o, "completion", &completion) ||
        !json_object_object_get_ex(o, "request_id", &id)) {
        json_object_put(o);
        return si_reply(req, 400, "", 0, NULL);
    }
    char *prompt = prompt_of(completion);
    pthread_mutex_lock(&eng.lock);
    rk_strcpy(eng.imported[eng.imports++ % MAX_IMPORTED], RK_ID_MAX,
              json_object_get_string(id));
    int64_t before = eng.prefill_tokens, hits = eng.hit_tokens;
    prefill(prompt, 0);
    eng.prefill_tokens = before;
    eng.hit_tokens = hits;
    pthread_mutex_unlock(&eng.lock);
    free(prompt);
    json_object_put(o);
    return si_reply(req, 200, "", 0, NULL);
}

static enum MHD_Result show(struct si_req *req, const char *what)
{
    struct rk_buf b = {0};
    pthread_mutex_lock(&eng.lock);
    if (!strcmp(what, "/load"))
        rk_buf_printf(&b, "{\"running\":%d,\"queued\":%d}\n", eng.running,
                      eng.queued);
    else
        rk_buf_printf(&b,
                      "{\"prefill_tokens\":%" PRId64 ",\"hit_tokens\":%" PRId64
                      ",\"tokens\":%" PRId64 ",\"calls\":%" PRId64
                      ",\"orders\":%" PRId64 ",\"epoch\":%" PRId64 "}\n",
                      eng.prefill_tokens, eng.hit_tokens, eng.tokens, eng.calls,
                      eng.orders, eng.epoch);
    pthread_mutex_unlock(&eng.lock);
    return si_reply_json(req, 200, &b);
}

static enum MHD_Result handle(void *ctx, struct si_req *req)
{
    (void)ctx;
    if (!strcmp(req->path, "/_fault"))
        return si_set_fault(req, &eng.fault);
    if (!strcmp(req->path, "/load") || !strcmp(req->path, "/_runs"))
        return show(req, req->path);
    if (!strcmp(req->path, "/orders"))
        return take_order(req);
    if (!strcmp(req->path, "/kv/import"))
        return import_kv(req);
    if (!strncmp(req->path, "/v1/", 4))
        return complete(req);
    return si_reply(req, 404, "", 0, NULL);
}

static void on_end(void *ctx, struct si_req *req, bool whole)
{
    (void)ctx;
    (void)whole;
    struct stream *s = req->state;
    if (!s)
        return;
    give_slot(s);
    free(s);
}

static uint16_t port;

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    (void)state;
    if (key == 'p')
        port = (uint16_t)atoi(arg);
    else if (key == 's')
        eng.slots = atoi(arg);
    else if (key == 'c')
        eng.max_blocks = (size_t)atoi(arg) / BLOCK_TOKENS;
    else if (key == 'b')
        eng.base_ms = atof(arg);
    else if (key == 't')
        eng.step_ms = atof(arg);
    else if (key == 'n')
        eng.checks_fences = false;
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"port", 'p', "PORT", 0, "Listen on 127.0.0.1:PORT (0: any)", 0},
        {"slots", 's', "N", 0, "Streams in one batch", 0},
        {"cache-tokens", 'c', "N", 0, "Size of the prefix cache", 0},
        {"base-ms", 'b', "MS", 0, "Prefill time of an empty prompt", 0},
        {"step-ms", 't', "MS", 0, "Time between tokens", 0},
        {"no-fences", 'n', NULL, 0, "Obey orders of any epoch", 0},
        {0},
    };
    static const struct argp argp = {
        options, parse_opt, NULL, "Stand-in for a model engine", 0, 0, 0};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    eng.blocks = rk_alloc(MAX_BLOCKS, sizeof(*eng.blocks));
    const struct si_server server = {.handle = handle, .on_end = on_end};
    return si_serve(&server, port, "standin-engine");
}
