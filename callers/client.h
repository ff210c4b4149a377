/* Internals of the server: its connections, and what its modules do with them. */
#ifndef RK_CALLERS_CLIENT_H
#define RK_CALLERS_CLIENT_H

#include <stdbool.h>
#include <stddef.h>
#include <sys/queue.h>

#include "callers/server.h"
#include "common/acceptor.h"
#include "common/http1.h"
#include "common/loop.h"
#include "common/util.h"

struct rk_conn;

#define RK_CLIENT_SIZE_CLASSES 32 /* of requests that are not whole */

enum client_state {
    CLIENT_READING,   /* waits for a request, or has a part of one */
    CLIENT_IN_FLIGHT, /* has a complete request and no response yet */
    CLIENT_ANSWERING, /* the response has begun and not ended */
};

struct rk_client {
    struct rk_server *s;
    struct rk_client *next, **prev;
    TAILQ_ENTRY(rk_client) idle_entry;
    bool in_idle_list;
    TAILQ_ENTRY(rk_client) unfinished_entry, begun_entry;
    size_t unfinished; /* bytes held of a request that is not whole */
    size_t charged;    /* bytes in the account of memory */
    size_t announced;  /* bytes that the request will take once it is whole */
    size_t expected;   /* how many of them are not held yet, in the same account */
    struct rk_conn *conn;
    struct rk_http1 reader;
    struct rk_server_limits limits;
    enum client_state state;
    struct rk_buf body;
    int64_t body_until_ms;   /* when the body must be whole; 0: not bounded */
    struct rk_buf pipelined; /* bytes after the current request */
    size_t pipelined_pos;    /* how many of them were read */
    bool feeding;            /* feed_pipelined() is on the stack */
    bool head_accepted;      /* the rest of the body is read */
    bool closed;             /* will be freed in the loop's next iteration */
    struct rk_timer timer;
    void *user;
    bool chunked;            /* the response's body is sent in chunks */
    bool no_body;            /* the response has no body (HEAD, 204, 304) */
    bool close_after_answer; /* the connection ends with the response */
    int refuse_status;       /* HTTP status to refuse the request with; 0: none */
};

struct rk_server {
    struct rk_loop *loop;
    int receive_buffer; /* SO_RCVBUF of new connections while there are few */
    bool is_crowded;    /* they get a smaller one */
    struct rk_acceptor acceptor;
    char addr[RK_ADDR_MAX];
    struct rk_server_limits limits;
    const struct rk_server_ops *ops;
    void *ctx;
    struct rk_client *clients;
    size_t clients_len;
    /* Connections without a part of a request, the one that waits longest first. */
    TAILQ_HEAD(, rk_client) idle;
    /* Connections with a part of a request, by the binary logarithm of the bytes
     * held of it; in each class the one that reached it first is the first. */
    TAILQ_HEAD(, rk_client) unfinished[RK_CLIENT_SIZE_CLASSES];
    size_t unfinished_bytes;
    /* The same connections, the one whose request began first is the first. */
    TAILQ_HEAD(, rk_client) begun;
    bool closing; /* every response closes its connection */
};

/* accounts.c: puts the connection at the end of the idle ones, or takes it out. */
void rk_client_set_idle(struct rk_client *c, bool on);
/* Brings the accounts of the client's buffers up to date. */
void rk_client_update_accounts(struct rk_client *c);
/* Takes the client out of the idle ones and of what is held or expected of requests
 * that are not whole. */
void rk_client_leave_accounts(struct rk_client *c);
/* Returns one of the largest requests that are not whole, or NULL. */
struct rk_client *rk_server_largest_unfinished(const struct rk_server *s);

/* response.c: sends what ends the body. */
void rk_client_end_body(struct rk_client *c);

/* receive_buffer.c: notes what new connections get. Called when it listens. */
void rk_server_init_receive_buffer(struct rk_server *s, int fd);
/* Adapts that to the number of connections. */
void rk_server_update_receive_buffer(struct rk_server *s);

#endif
