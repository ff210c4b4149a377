/* Server side of HTTP/1.1 on an event loop: whole requests in, answers out as
 * their bytes come. It notices within the loop's turn when a caller is gone, and
 * leaves what is pipelined for later. Own code over http-parser, because a
 * library server doesn't look at the socket of a request that waits. Loop thread
 * only. */
#ifndef RK_CALLERS_SERVER_H
#define RK_CALLERS_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_loop;
struct rk_head;
struct rk_server;
struct rk_client; /* one caller's connection */

struct rk_server_limits {
    size_t header_bytes;
    size_t body_bytes;
    int64_t header_ms; /* from a head's first byte to its end */
    int64_t idle_ms;   /* silence between requests, and within a body */
    int max_clients;
};

struct rk_server_ops {
    /* A whole request is in. Its head and body are valid until it is answered or
     * gone. */
    void (*on_request)(void *ctx, struct rk_client *client);
    /* The caller of a request in hand is gone; user as set. The client must not
     * be used any more. */
    void (*on_gone)(void *ctx, void *user);
};

/* NULL when addr can't be bound: see rk_last_error(). */
struct rk_server *rk_server_create(struct rk_loop *loop, const char *addr,
                                   const struct rk_server_limits *limits,
                                   const struct rk_server_ops *ops, void *ctx);
void rk_server_destroy(struct rk_server *s);
const char *rk_server_addr(const struct rk_server *s);

/* For connections made from now on. */
void rk_server_set_limits(struct rk_server *s, const struct rk_server_limits *l);

/* Take new connections, or let them wait in the system's queue; they are taken from
 * the start on. */
void rk_server_set_accepting(struct rk_server *s, bool on);

/* Answers say that the connection ends. */
void rk_server_set_closing(struct rk_server *s);

/* End connections that have no request in them. */
void rk_server_close_idle(struct rk_server *s);

/* Connections with a request in hand or an answer not all out. */
size_t rk_server_busy(const struct rk_server *s);

/* About the request in hand. */
const struct rk_head *rk_client_head(const struct rk_client *c);
const char *rk_client_body(const struct rk_client *c, size_t *len);
void rk_client_set_user(struct rk_client *c, void *user);

/* A whole answer. headers: lines with their ends, or "". */
void rk_client_answer(struct rk_client *c, int status, const char *headers,
                      const char *body, size_t len);

/* An answer in parts: begin, data..., then end (whole) or cut (it must look
 * broken). length -1: not known. */
void rk_client_begin(struct rk_client *c, int status, const char *headers,
                     int64_t length);
void rk_client_data(struct rk_client *c, const char *data, size_t len);
void rk_client_end(struct rk_client *c);
void rk_client_cut(struct rk_client *c);

/* Bytes of the answer that the caller hasn't taken. */
size_t rk_client_unsent(const struct rk_client *c);

#endif
