/* What the stand-ins share: a small blocking HTTP server (a thread for each
 * connection, so handlers may sleep), and faults set by POST /_fault. Test
 * equipment: simple before fast. */
#ifndef RK_STANDINS_HTTPD_H
#define RK_STANDINS_HTTPD_H

#include <microhttpd.h>
#include <stdbool.h>
#include <stdint.h>

#include "common/util.h"

struct si_req {
    struct MHD_Connection *conn;
    char method[12];
    char path[512];
    struct rk_buf body;
    void *state; /* the handler's own; given to on_end */
};

struct si_server {
    /* Called once the whole body is here. MHD_NO cuts the connection. */
    enum MHD_Result (*handle)(void *ctx, struct si_req *req);
    /* The exchange is over, whole or cut. May be NULL. */
    void (*on_end)(void *ctx, struct si_req *req, bool whole);
    void *ctx;
};

/* Serve until SIGTERM on 127.0.0.1:port (0: the kernel picks); prints one JSON
 * line with the port. Returns the exit code. */
int si_serve(const struct si_server *server, uint16_t port, const char *name);

enum MHD_Result si_reply(struct si_req *req, unsigned status, const char *body,
                         size_t len, const char *const *headers);
enum MHD_Result si_reply_json(struct si_req *req, unsigned status,
                              struct rk_buf *b);

const char *si_header(struct si_req *req, const char *name);
const char *si_query(struct si_req *req, const char *name);
int64_t si_query_int(struct si_req *req, const char *name, int64_t fallback);

void si_sleep_ms(int64_t ms);

/* A fault that applies to the next `count` requests (-1: until changed). */
struct si_fault {
    char mode[32]; /* "" for none */
    int64_t count;
    int64_t ms; /* for the modes that wait */
};

/* POST /_fault {"mode": ..., "count": n, "ms": n}. */
enum MHD_Result si_set_fault(struct si_req *req, struct si_fault *fault);

/* Take the fault for one request: true and its mode in *mode while it lasts. */
bool si_take_fault(struct si_fault *fault, struct si_fault *taken);

#endif
