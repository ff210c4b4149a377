#include "standins/httpd.h"

#include <json-c/json.h>
#include <netinet/in.h>
#include <arpa/inet.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

static pthread_mutex_t fault_lock = PTHREAD_MUTEX_INITIALIZER;

static enum MHD_Result on_access(void *cls, struct MHD_Connection *conn,
                                 const char *url, const char *method,
                                 const char *version, const char *data, size_t *len,
                                 void **con_cls)
{
    (void)version;
    const struct si_server *s = cls;
    struct si_req *req = *con_cls;
    if (!req) {
        req = rk_alloc(1, sizeof(*req));
        req->conn = conn;
        rk_strcpy(req->method, sizeof(req->method), method);
        rk_strcpy(req->path, sizeof(req->path), url);
        *con_cls = req;
        return MHD_YES;
    }
    if (*len) {
        rk_buf_add(&req->body, data, *len);
        *len = 0;
        return MHD_YES;
    }
    if (!req->body.data)
        rk_buf_addstr(&req->body, "");
    return s->handle(s->ctx, req);
}

static void on_completed(void *cls, struct MHD_Connection *conn, void **con_cls,
                         enum MHD_RequestTerminationCode code)
{
    (void)conn;
    const struct si_server *s = cls;
    struct si_req *req = *con_cls;
    if (!req)
        return;
    if (s->on_end)
        s->on_end(s->ctx, req, code == MHD_REQUEST_TERMINATED_COMPLETED_OK);
    rk_buf_free(&req->body);
    free(req);
}

int si_serve(const struct si_server *server, uint16_t port, const char *name)
{
    sigset_t set;
    sigemptyset(&set);
    sigaddset(&set, SIGTERM);
    sigaddset(&set, SIGINT);
    pthread_sigmask(SIG_BLOCK, &set, NULL);
    signal(SIGPIPE, SIG_IGN);
    struct sockaddr_in addr = {.sin_family = AF_INET, .sin_port = htons(port)};
    addr.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    struct MHD_Daemon *daemon = MHD_start_daemon(
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD, port, NULL,
        NULL, on_access, (void *)server, MHD_OPTION_SOCK_ADDR, &addr,
        MHD_OPTION_NOTIFY_COMPLETED, on_completed, (void *)server,
        MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
    if (!daemon) {
        fprintf(stderr, "%s: can't listen on port %u\n", name, port);
        return 1;
    }
    const union MHD_DaemonInfo *info =
        MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT);
    printf("{\"event\":\"listening\",\"process\":\"%s\",\"port\":%u}\n", name,
           info->port);
    fflush(stdout);
    int sig;
    sigwait(&set, &sig);
    /* MHD_stop_daemon() would wait for handlers that sleep. */
    _Exit(0);
}

enum MHD_Result si_reply(struct si_req *req, unsigned status, const char *body,
                         size_t len, const char *const *headers)
{
    struct MHD_Response *r =
        MHD_create_response_from_buffer(len, (void *)body, MHD_RESPMEM_MUST_COPY);
    for (size_t i = 0; headers && headers[i]; i += 2)
        MHD_add_response_header(r, headers[i], headers[i + 1]);
    enum MHD_Result ret = MHD_queue_response(req->conn, status, r);
    MHD_destroy_response(r);
    return ret;
}

enum MHD_Result si_reply_json(struct si_req *req, unsigned status, struct rk_buf *b)
{
    static const char *const headers[] = {"Content-Type", "application/json", NULL};
    enum MHD_Result ret =
        si_reply(req, status, b->data ? b->data : "", b->len, headers);
    rk_buf_free(b);
    return ret;
}

const char *si_header(struct si_req *req, const char *name)
{
    return MHD_lookup_connection_value(req->conn, MHD_HEADER_KIND, name);
}

const char *si_query(struct si_req *req, const char *name)
{
    return MHD_lookup_connection_value(req->conn, MHD_GET_ARGUMENT_KIND, name);
}

int64_t si_query_int(struct si_req *req, const char *name, int64_t fallback)
{
    const char *s = si_query(req, name);
    return s ? strtoll(s, NULL, 10) : fallback;
}

void si_sleep_ms(int64_t ms)
{
    struct timespec ts = {.tv_sec = ms / 1000, .tv_nsec = ms % 1000 * 1000000};
    nanosleep(&ts, NULL);
}

enum MHD_Result si_set_fault(struct si_req *req, struct si_fault *fault)
{
    struct json_object *o = json_tokener_parse(req->body.data), *v;
    struct si_fault f = {.count = -1};
    if (json_object_object_get_ex(o, "mode", &v))
        rk_strcpy(f.mode, sizeof(f.mode), json_object_get_string(v));
    if (json_object_object_get_ex(o, "count", &v))
        f.count = json_object_get_int64(v);
    if (json_object_object_get_ex(o, "ms", &v))
        f.ms = json_object_get_int64(v);
    json_object_put(o);
    pthread_mutex_lock(&fault_lock);
    *fault = f;
    pthread_mutex_unlock(&fault_lock);
    return si_reply(req, 200, "", 0, NULL);
}

bool si_take_fault(struct si_fault *fault, struct si_fault *taken)
{
    pthread_mutex_lock(&fault_lock);
    bool active = fault->mode[0] && fault->count != 0;
    if (active) {
        *taken = *fault;
        if (fault->count > 0)
            fault->count--;
    }
    pthread_mutex_unlock(&fault_lock);
    return active;
}
