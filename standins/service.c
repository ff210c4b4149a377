/* standin-service: a stand-in for a plain service. It runs any call and counts the
 * runs by key, so that a test can compare what ran with what the system reports.
 *
 *   any other path   runs the call; echoes X-Request-Id and the body
 *   GET  /_runs      {"key": runs, ...}; the key is the call's Idempotency-Key, or
 *                    its X-Request-Id if it has none
 *   GET  /_times     {"key": start of the first run in ms, ...}
 *   POST /_fault     {"mode", "count", "ms"}; modes:
 *        refuse      503, not run
 *        refuse-run  503 after the run
 *        cut-before  the connection is closed, not run
 *        cut-after   run, then the connection is closed without a response
 *        late        run, the response is sent `ms` later (other modes that run
 *                    the call wait for `ms`, too, except refuse-run)
 *        crossed     run, the response has another request's id
 *        short       run, the connection is closed in the middle of the response */
#include <argp.h>
#include <pthread.h>
#include <stdlib.h>
#include <string.h>

#include "standins/httpd.h"

#define MAX_KEYS 200000
#define KEY_MAX  160

/* The runs of one key. */
struct run {
    char key[KEY_MAX];
    int count;
    int64_t first_run_ms; /* by the machine's monotonic clock */
};

static struct {
    pthread_mutex_t lock;
    struct run *runs;
    size_t len;
    struct si_fault fault;
    int64_t work_ms; /* how long a call takes */
} svc = {.lock = PTHREAD_MUTEX_INITIALIZER};

static void count_run(struct si_req *req)
{
    const char *key = si_header(req, "Idempotency-Key");
    if (!key)
        key = si_header(req, "X-Request-Id");
    if (!key)
        key = "none";
    pthread_mutex_lock(&svc.lock);
    size_t i = 0;
    while (i < svc.len && strcmp(svc.runs[i].key, key) != 0)
        i++;
    if (i == svc.len && svc.len < MAX_KEYS) {
        svc.runs[i].first_run_ms = rk_mono_ms();
        rk_strcpy(svc.runs[svc.len++].key, KEY_MAX, key);
    }
    if (i < svc.len)
        svc.runs[i].count++;
    pthread_mutex_unlock(&svc.lock);
}

static enum MHD_Result reply_runs(struct si_req *req, bool times)
{
    struct rk_buf b = {0};
    rk_buf_addstr(&b, "{");
    pthread_mutex_lock(&svc.lock);
    for (size_t i = 0; i < svc.len; i++) {
        rk_buf_addstr(&b, i ? ",\n" : "");
        rk_buf_json_str(&b, svc.runs[i].key);
        rk_buf_printf(&b, ":%lld",
                      times ? (long long)svc.runs[i].first_run_ms
                            : (long long)svc.runs[i].count);
    }
    pthread_mutex_unlock(&svc.lock);
    rk_buf_addstr(&b, "}\n");
    return si_reply_json(req, 200, &b);
}

/* libmicrohttpd's content reader: writes a few bytes and then breaks off. */
static ssize_t read_truncated_body(void *cls, uint64_t pos, char *buf, size_t max)
{
    (void)cls;
    (void)max;
    if (pos > 0)
        return MHD_CONTENT_READER_END_WITH_ERROR;
    memcpy(buf, "{\"par", 5);
    return 5;
}

/* Announces 1000 bytes and breaks off after a few. */
static enum MHD_Result reply_truncated(struct si_req *req)
{
    struct MHD_Response *r = MHD_create_response_from_callback(
        1000, 64, read_truncated_body, NULL, NULL);
    MHD_add_response_header(r, "X-Request-Id", si_header(req, "X-Request-Id"));
    enum MHD_Result ret = MHD_queue_response(req->conn, 200, r);
    MHD_destroy_response(r);
    return ret;
}

static enum MHD_Result handle(void *ctx, struct si_req *req)
{
    (void)ctx;
    if (!strcmp(req->path, "/_fault"))
        return si_set_fault(req, &svc.fault);
    if (!strcmp(req->path, "/_runs") || !strcmp(req->path, "/_times"))
        return reply_runs(req, req->path[1 + 1] == 't');
    struct si_fault fault = {0};
    si_take_fault(&svc.fault, &fault);
    if (!strcmp(fault.mode, "refuse"))
        return si_reply(req, 503, "busy", 4, NULL);
    if (!strcmp(fault.mode, "cut-before"))
        return MHD_NO;
    count_run(req);
    if (!strcmp(fault.mode, "refuse-run"))
        return si_reply(req, 503, "busy", 4, NULL);
    si_sleep_ms(svc.work_ms + fault.ms);
    if (!strcmp(fault.mode, "cut-after"))
        return MHD_NO;
    if (!strcmp(fault.mode, "short"))
        return reply_truncated(req);
    const char *request_id = si_header(req, "X-Request-Id");
    if (!strcmp(fault.mode, "crossed"))
        request_id = "somebody-elses";
    const char *headers[] = {"X-Request-Id", request_id ? request_id : "",
                             "Content-Type", "application/json", NULL};
    struct rk_buf b = {0};
    rk_buf_printf(&b, "{\"done\":\"%s\",\"echo\":", req->path);
    rk_buf_json_str(&b, req->body.data);
    rk_buf_addstr(&b, "}\n");
    enum MHD_Result ret = si_reply(req, 200, b.data, b.len, headers);
    rk_buf_free(&b);
    return ret;
}

static uint16_t port;

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    (void)state;
    if (key == 'p')
        port = (uint16_t)atoi(arg);
    else if (key == 'w')
        svc.work_ms = atoi(arg);
    else
        return ARGP_ERR_UNKNOWN;
    return 0;
}

int main(int argc, char **argv)
{
    static const struct argp_option options[] = {
        {"port", 'p', "PORT", 0, "Listen on 127.0.0.1:PORT (0: any)", 0},
        {"work-ms", 'w', "MS", 0, "How long a call takes", 0},
        {0},
    };
    static const struct argp argp = {
        options, parse_opt, NULL, "Stand-in for a plain service", 0, 0, 0};
    svc.work_ms = 5;
    argp_parse(&argp, argc, argv, 0, NULL, NULL);
    svc.runs = rk_alloc(MAX_KEYS, sizeof(*svc.runs));
    const struct si_server server = {.handle = handle};
    return si_serve(&server, port, "standin-service");
}
