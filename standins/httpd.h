/* The HTTP server that the test stand-ins share, with fault injection by POST
 * /_fault. Each connection has a thread of its own, so handlers may block. The
 * server is used in tests and benchmarks only and puts simplicity before speed. */
#ifndef RK_STANDINS_HTTPD_H
#define RK_STANDINS_HTTPD_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/util.h"

/* A request. It is used by its connection's thread and freed after on_end. */
struct si_req {
    struct MHD_Connection *conn;
    char method[12];
    char path[512];     /* without the query */
    struct rk_buf body; /* ends with a NUL that isn't counted */
    void *state;        /* set by the handler, which frees it in on_end */
};

/* The callbacks of a stand-in. They run on the connections' threads. */
struct si_server {
    /* Called once the whole body has been received. Returns MHD_NO to close the
     * connection. */
    enum MHD_Result (*handle)(void *ctx, struct si_req *req);
    /* Called when the response has been sent (whole is true) or the connection has
     * failed before. May be NULL. */
    void (*on_end)(void *ctx, struct si_req *req, bool whole);
    void *ctx;
};

/* Serves on 127.0.0.1:port (0: a free port) until SIGTERM or SIGINT, which end the
 * process. Prints one JSON line with the port. Returns only if it can't listen,
 * with the exit code of the process. */
int si_serve(const struct si_server *server, uint16_t port, const char *name);

/* Queues a response, of which the body is copied. headers: pairs of name and value,
 * ended by NULL; may be NULL. The handler is to return the result. */
enum MHD_Result si_reply(struct si_req *req, unsigned status, const char *body,
                         size_t len, const char *const *headers);

/* Queues a JSON response and frees the buffer's content. */
enum MHD_Result si_reply_json(struct si_req *req, unsigned status,
                              struct rk_buf *b);

/* Returns the value of a header, valid as long as the request; NULL if absent. */
const char *si_header(struct si_req *req, const char *name);

/* Returns the value of a query parameter, valid as long as the request; NULL if
 * absent. */
const char *si_query(struct si_req *req, const char *name);

/* Returns a query parameter as a number; the fallback if it is absent. */
int64_t si_query_int(struct si_req *req, const char *name, int64_t fallback);

/* Blocks the calling thread. */
void si_sleep_ms(int64_t ms);

/* A fault to apply to requests. si_set_fault() and si_take_fault() lock it. */
struct si_fault {
    char mode[32]; /* "": none */
    int64_t count; /* requests that it still applies to; -1: until it is changed */
    int64_t ms;    /* a parameter of the mode, mostly a delay */
};

/* Sets the fault from the request's body {"mode": ..., "count": n, "ms": n} and
 * responds with 200. Without "count", the fault applies until it is changed. */
enum MHD_Result si_set_fault(struct si_req *req, struct si_fault *fault);

/* Takes the fault for one request. Returns true with a copy in *taken if a fault is
 * set, false and *taken unchanged otherwise. */
bool si_take_fault(struct si_fault *fault, struct si_fault *taken);

#endif
