/* standin-engine: a stand-in for a model engine with the OpenAI completion paths.
 * It has a limited number of slots and a prefix cache of limited size, takes time
 * for the prefill of uncached tokens only, besides a fixed part, and supports
 * resuming, cancelling (by closing the connection), KV import, a load report and
 * fenced orders. A token is a function of the prompt and its index only, so a
 * response that was resumed at another engine must equal an uninterrupted one byte
 * for byte.
 *
 *   POST /v1/completions, /v1/chat/completions   always streams
 *        X-Request-Id is echoed; X-Priority: lower runs first;
 *        X-Resume-From: index of the first token to send
 *   GET  /load        {"running","queued"}
 *   POST /kv/import   {"from","request_id","completion"}: the request's prompt
 *                     and the tokens sent so far count as cached
 *   POST /orders      {"order","epoch"}; 409 below the highest epoch accepted
 *   GET  /_runs       {"prefill_tokens","hit_tokens","tokens","calls",
 *                     "orders","epoch"}
 *   POST /_fault      modes:
 *        cut-before   the connection is closed, nothing is run
 *        cut-mid      the connection is closed after `ms` tokens
 *        crossed      the response has another request's id
 *        twice        a token is sent twice
 *        gap          a token is left out
 *        late         the first token is sent `ms` later
 *        refuse       503, nothing is run */
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

/* A block of BLOCK_TOKENS prompt tokens in the prefix cache. */
struct block {
    uint64_t hash;     /* of the prompt up to the end of the block */
    int64_t last_used; /* logical time of the last use; 0: free */
};

static struct {
    pthread_mutex_t lock;
    pthread_cond_t slot_freed;
    struct block *blocks;
    size_t max_blocks;
    int64_t use_clock; /* logical time of the cache */
    int slots, running, queued;
    int64_t waiting[8]; /* queued calls by priority */
    int64_t epoch;      /* highest epoch of an accepted order */
    int64_t orders;
    int64_t prefill_tokens, hit_tokens, tokens, calls;
    /* Time of a prefill: a fixed part and a part for each uncached token. */
    double prefill_base_ms, prefill_token_ms;
    double token_ms; /* time between tokens of a response */
    bool checks_fences;
    struct si_fault fault;
    /* Ids of the last requests whose KV cache was imported; a ring. */
    char imported[MAX_IMPORTED][RK_ID_MAX];
    size_t imports;
} eng = {
    .lock = PTHREAD_MUTEX_INITIALIZER,
    .slot_freed = PTHREAD_COND_INITIALIZER,
    .slots = 4,
    .max_blocks = 16000 / BLOCK_TOKENS,
    .prefill_base_ms = 20,
    .prefill_token_ms = 0.2,
    .token_ms = 15,
    .checks_fences = true,
};

/* The response to one request. */
struct stream {
    char id[RK_ID_MAX];
    uint64_t prompt_hash;
    int64_t next_index; /* index of the next token */
    int64_t max_tokens;
    int priority;
    bool has_slot, done;
    struct si_fault fault;
    int64_t sent;   /* tokens sent in this response */
    int64_t due_us; /* when the last token was ready */
};

/* Marks the block as used now. If it isn't cached, it replaces the least recently
 * used one. Returns whether it was cached. Call with eng.lock held. */
static bool use_block(uint64_t hash)
{
    size_t oldest = 0;
    for (size_t i = 0; i < eng.max_blocks; i++) {
        if (eng.blocks[i].hash == hash && eng.blocks[i].last_used) {
            eng.blocks[i].last_used = ++eng.use_clock;
            return true;
        }
        if (eng.blocks[i].last_used < eng.blocks[oldest].last_used)
            oldest = i;
    }
    eng.blocks[oldest] = (struct block){.hash = hash, .last_used = ++eng.use_clock};
    return false;
}

/* Looks up the prompt's blocks in the cache and adds those that are missing. Each
 * word counts as a token. Returns the tokens to compute: uncached ones and
 * extra_tokens. Call with eng.lock held. */
static int64_t prefill(const char *prompt, int64_t extra_tokens)
{
    int64_t words = 0, uncached = 0;
    bool prefix_cached = true;
    uint64_t prefix_hash = 0;
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
        prefix_hash = rk_hash(prefix_hash, start, (size_t)(p - start));
        if (n < BLOCK_TOKENS) {
            uncached += n; /* an incomplete block is never cached */
        } else if (!use_block(prefix_hash) || !prefix_cached) {
            prefix_cached = false;
            uncached += n;
        }
        words += n;
    }
    eng.prefill_tokens += uncached + extra_tokens;
    eng.hit_tokens += words - uncached;
    return uncached + extra_tokens;
}

/* Waits for a free slot, behind requests of higher priority. Call with eng.lock
 * held. */
static void acquire_slot(struct stream *s)
{
    eng.queued++;
    eng.waiting[s->priority]++;
    for (;;) {
        bool is_first = true;
        for (int p = 0; p < s->priority; p++)
            is_first = is_first && !eng.waiting[p];
        if (is_first && eng.running < eng.slots)
            break;
        pthread_cond_wait(&eng.slot_freed, &eng.lock);
    }
    eng.queued--;
    eng.waiting[s->priority]--;
    eng.running++;
    s->has_slot = true;
}

static void release_slot(struct stream *s)
{
    pthread_mutex_lock(&eng.lock);
    if (s->has_slot)
        eng.running--;
    s->has_slot = false;
    pthread_cond_broadcast(&eng.slot_freed);
    pthread_mutex_unlock(&eng.lock);
}

/* Writes the next token as a server-sent event. Returns its length in bytes. */
static int format_token(struct stream *s, char *buf, size_t max)
{
    uint64_t word =
        rk_hash(s->prompt_hash, &s->next_index, sizeof(s->next_index)) % 9973;
    return snprintf(buf, max,
                    "data: {\"id\":\"%s\",\"choices\":[{\"index\":0,\"delta\":"
                    "{\"content\":\"w%" PRIu64 " \"}}],\"rk_index\":%" PRId64
                    "}\n\n",
                    s->id, word, s->next_index);
}

/* libmicrohttpd's content reader: writes one token, or the end mark. Blocks until
 * the token is ready, token_ms after the last one. */
static ssize_t next_token(void *cls, uint64_t pos, char *buf, size_t max)
{
    (void)pos;
    struct stream *s = cls;
    if (s->done)
        return MHD_CONTENT_READER_END_OF_STREAM;
    if (s->next_index >= s->max_tokens) {
        s->done = true;
        memcpy(buf, "data: [DONE]\n\n", 14);
        return 14;
    }
    if (!strcmp(s->fault.mode, "cut-mid") && s->sent >= s->fault.ms)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    s->due_us += (int64_t)(eng.token_ms * 1000);
    int64_t remaining_us = s->due_us - rk_mono_us();
    if (remaining_us > 0)
        si_sleep_ms((remaining_us + 999) / 1000);
    if (!strcmp(s->fault.mode, "gap") && s->sent == 2)
        s->next_index++;
    int n = format_token(s, buf, max);
    bool repeat = !strcmp(s->fault.mode, "twice") && s->sent == 2;
    s->sent++;
    if (!repeat)
        s->next_index++;
    pthread_mutex_lock(&eng.lock);
    eng.tokens++;
    pthread_mutex_unlock(&eng.lock);
    return n;
}

/* Returns the prompt of a completion request, or the joined contents of its
 * messages. The caller frees it. */
static char *join_prompt(struct json_object *o)
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

/* Responds to a completion request. Waits for a slot and for the prefill. */
static enum MHD_Result handle_completion(struct si_req *req)
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
    s->next_index = from ? atoll(from) : 0;
    s->priority = priority ? atoi(priority) & 7 : 4;
    s->max_tokens = rk_json_int(o, "max_tokens", DEFAULT_MAX_TOKENS);
    char *prompt = join_prompt(o);
    s->prompt_hash = rk_hash_str(0, prompt);
    req->state = s;
    pthread_mutex_lock(&eng.lock);
    eng.calls++;
    acquire_slot(s);
    int64_t uncached = prefill(prompt, was_imported(s->id) ? 0 : s->next_index);
    pthread_mutex_unlock(&eng.lock);
    free(prompt);
    json_object_put(o);
    si_sleep_ms(
        (int64_t)(eng.prefill_base_ms + eng.prefill_token_ms * (double)uncached));
    if (!strcmp(fault.mode, "late"))
        si_sleep_ms(fault.ms);
    s->due_us = rk_mono_us();
    return reply_stream(req, s);
}

/* Accepts an order. With checks_fences, orders below the highest epoch accepted so
 * far are rejected. */
static enum MHD_Result handle_order(struct si_req *req)
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

/* Puts the prompt into the cache. The counts of prefill and hit tokens don't
 * change, as nothing is computed. */
static enum MHD_Result handle_kv_import(struct si_req *req)
{
    struct json_object *o = json_tokener_parse(req->body.data), *completion, *id;
    if (!json_object_object_get_ex(o, "completion", &completion) ||
        !json_object_object_get_ex(o, "request_id", &id)) {
        json_object_put(o);
        return si_reply(req, 400, "", 0, NULL);
    }
    char *prompt = join_prompt(completion);
    pthread_mutex_lock(&eng.lock);
    rk_strcpy(eng.imported[eng.imports++ % MAX_IMPORTED], RK_ID_MAX,
              json_object_get_string(id));
    int64_t saved_prefill = eng.prefill_tokens, saved_hits = eng.hit_tokens;
    prefill(prompt, 0);
    eng.prefill_tokens = saved_prefill;
    eng.hit_tokens = saved_hits;
    pthread_mutex_unlock(&eng.lock);
    free(prompt);
    json_object_put(o);
    return si_reply(req, 200, "", 0, NULL);
}

static enum MHD_Result reply_counts(struct si_req *req, const char *path)
{
    struct rk_buf b = {0};
    pthread_mutex_lock(&eng.lock);
    if (!strcmp(path, "/load"))
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
        return reply_counts(req, req->path);
    if (!strcmp(req->path, "/orders"))
        return handle_order(req);
    if (!strcmp(req->path, "/kv/import"))
        return handle_kv_import(req);
    if (!strncmp(req->path, "/v1/", 4))
        return handle_completion(req);
    return si_reply(req, 404, "", 0, NULL);
}

static void on_end(void *ctx, struct si_req *req, bool whole)
{
    (void)ctx;
    (void)whole;
    struct stream *s = req->state;
    if (!s)
        return;
    release_slot(s);
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
        eng.prefill_base_ms = atof(arg);
    else if (key == 't')
        eng.token_ms = atof(arg);
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
        {"no-fences", 'n', NULL, 0, "Accept orders of any epoch", 0},
        {0},
    };
    static const struct argp argp = {
        options, parse_opt, NULL, "Stand-in for a model engine", 0, 0, 0};
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    eng.blocks = rk_alloc(MAX_BLOCKS, sizeof(*eng.blocks));
    const struct si_server server = {.handle = handle, .on_end = on_end};
    return si_serve(&server, port, "standin-engine");
}
