/* HTTP/1.1 server on an event loop. It passes on complete requests and streams
 * their responses. A caller's disconnect is noticed as soon as the loop handles the
 * socket's event, also while the request waits for its response. Library servers do
 * not watch the socket then, which is why this is built on http-parser. Pipelined
 * requests are buffered and handled one after the other. All functions are called
 * on the loop's thread. */
#ifndef RK_CALLERS_SERVER_H
#define RK_CALLERS_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_loop;
struct rk_head;
struct rk_server;
struct rk_client; /* a caller's connection; owned by its server */

struct rk_server_limits {
    size_t header_bytes; /* of a request line and its headers */
    size_t body_bytes;   /* of a request body */
    /* Bytes held of requests that are not whole; 0: no limit. Beyond it, the
     * largest of them are refused with 503. */
    size_t unfinished_bytes;
    /* Bytes that the kernel may hold of what all connections have sent and the
     * server has not read; 0: no limit. Takes effect by the number of connections,
     * for those that are accepted later. */
    size_t unread_bytes;
    int64_t header_ms; /* time-out from the first byte of a head to its end */
    int64_t idle_ms;   /* time-out between requests, and without data in a body */
    int max_clients; /* open connections; for a further one, an idle one is closed,
                        or that one itself at once */
};

struct rk_server_ops {
    /* Called with the head of a request whose body has not been received whole.
     * Returns whether to read the body; otherwise the callee has answered, and the
     * connection ends with that answer. May be NULL: all bodies are read. */
    bool (*on_head)(void *ctx, struct rk_client *client);
    /* Called with each complete request. Its head and body stay valid until its
     * response ends or the caller disconnects. */
    void (*on_request)(void *ctx, struct rk_client *client);
    /* Called when the caller disconnects before its response has ended. `user` is
     * the value of rk_client_set_user(). The client must not be used any more. */
    void (*on_disconnect)(void *ctx, void *user);
    /* Called when all bytes of a response that has not ended have been passed to
     * the kernel, after some had to wait; may be NULL. */
    void (*on_drained)(void *ctx, void *user);
};

/* Accepts connections at fd, a listening socket that the server owns from then on,
 * see common/listen.h. Copies *limits; ops and loop must outlive the server. */
struct rk_server *rk_server_create(struct rk_loop *loop, int fd,
                                   const struct rk_server_limits *limits,
                                   const struct rk_server_ops *ops, void *ctx);

/* Closes the listener, resets all connections and frees s. Reports a disconnect for
 * each request in flight. Does nothing if s is NULL. */
void rk_server_destroy(struct rk_server *s);

/* Returns the bound address as "ip:port". The server owns the string. */
const char *rk_server_addr(const struct rk_server *s);

/* Sets the limits of connections that are accepted from now on. */
void rk_server_set_limits(struct rk_server *s, const struct rk_server_limits *l);

/* Starts or stops accepting connections. New connections wait in the kernel's queue
 * while it is off. It is on initially. */
void rk_server_set_accepting(struct rk_server *s, bool on);

/* Makes each response that begins from now on close its connection, and announce
 * that with "Connection: close", unless more was received behind its request. */
void rk_server_set_closing(struct rk_server *s);

/* Closes the connections that have neither a request, nor a part of one, nor unsent
 * response bytes. Connections with bytes that were not read yet stay open. */
void rk_server_close_idle(struct rk_server *s);

/* Returns the number of connections with a request or a part of one, or with unsent
 * response bytes. */
size_t rk_server_busy_count(const struct rk_server *s);

/* Return the head and the body ("" if there is none) of the current request. They
 * are owned by the client and valid as long as the request, see on_request(). */
const struct rk_head *rk_client_head(const struct rk_client *c);
const char *rk_client_body(const struct rk_client *c, size_t *len);

/* Announces how many bytes the current request will take once its body is whole.
 * Until then, those that are not held yet are expected in the account of memory
 * (rk_memory_expect()). Called by on_head(). */
void rk_client_announce(struct rk_client *c, size_t bytes);
/* Bounds the time until the request's body is whole, from now on: to timeout_ms,
 * and to the idle time-out at least. The request is refused with 408 then. */
void rk_client_limit_body_time(struct rk_client *c, int64_t timeout_ms);

/* Sets the value that is passed on when the caller disconnects. It is reset to NULL
 * with the next request. */
void rk_client_set_user(struct rk_client *c, void *user);
/* Ends the client's connection with the response to its request. */
void rk_client_close_after_answer(struct rk_client *client);

/* Sends a complete response with a body of `len` bytes. `headers` is "" or header
 * lines that each end with CRLF. The client must not be used for this request any
 * more. */
void rk_client_answer(struct rk_client *c, int status, const char *headers,
                      const char *body, size_t len);

/* Send a response in pieces: begin, any number of data, then either end or cut.
 * `headers` is as above; `length` is the body's length in bytes, or -1 if it is not
 * known yet. Bytes are copied. rk_client_end() completes the response; it may call
 * on_request() with a pipelined request before it returns. rk_client_abort() resets
 * the connection, so that the caller can't take the response for complete. The
 * client must not be used for this request after either of them. */
void rk_client_begin(struct rk_client *c, int status, const char *headers,
                     int64_t length);
void rk_client_data(struct rk_client *c, const char *data, size_t len);
void rk_client_end(struct rk_client *c);
void rk_client_abort(struct rk_client *c);

/* Returns the bytes of responses that the kernel has not taken yet. */
size_t rk_client_unsent_len(const struct rk_client *c);

/* Returns how many connections are open. */
size_t rk_server_client_count(const struct rk_server *s);

#endif
