/* A TCP connection on an event loop. Writes are buffered, received data is passed
 * on by a callback, and there are three ways to end the connection: an orderly
 * close, the close of an idle connection, and a reset. All functions run on the
 * loop's thread. */
#ifndef RK_COMMON_CONN_H
#define RK_COMMON_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct rk_loop;
struct rk_conn;

/* Callbacks of a connection's owner. Each may end the connection. No callback
 * follows on_eof or on_error, but the owner must still end the connection, which
 * frees it. */
struct rk_conn_ops {
    void (*on_connected)(void *ctx); /* a connect succeeded; may be NULL */
    void (*on_data)(void *ctx, const char *data, size_t len);
    void (*on_eof)(void *ctx);              /* the peer closed in order */
    void (*on_error)(void *ctx, int error); /* errno: reset, refused or timed out */
    void (*on_drained)(void *ctx); /* all queued bytes have been passed to the
                                    kernel; may be NULL */
};

/* Starts connecting to addr, "ip:port". Returns NULL if addr is malformed or the
 * system refuses at once. on_error gets ETIMEDOUT if the connect takes longer than
 * timeout_ms. The caller keeps ops valid and ends the connection by one of the
 * functions below. */
struct rk_conn *rk_conn_connect(struct rk_loop *loop, const char *addr,
                                int64_t timeout_ms, const struct rk_conn_ops *ops,
                                void *ctx);

/* Takes ownership of an accepted, non-blocking socket. Never returns NULL. */
struct rk_conn *rk_conn_adopt(struct rk_loop *loop, int fd,
                              const struct rk_conn_ops *ops, void *ctx);

/* Replaces the callbacks and their context. */
void rk_conn_set_owner(struct rk_conn *c, const struct rk_conn_ops *ops, void *ctx);

/* Sends bytes, or queues a copy of those that can't be sent yet. The queue has no
 * limit: callers check rk_conn_unsent_len(). */
void rk_conn_write(struct rk_conn *c, const void *data, size_t len);

/* Returns how many written bytes have not been passed to the kernel yet. */
size_t rk_conn_unsent_len(const struct rk_conn *c);

/* Returns whether all written bytes have been passed to the kernel. */
bool rk_conn_has_sent_all(const struct rk_conn *c);

/* Returns whether any byte has been passed to the kernel. Until the connection is
 * established, written bytes stay in the queue. */
bool rk_conn_has_sent(const struct rk_conn *c);

/* Stops (true) or resumes reading. The peer's close is noticed in either case:
 * while reading is stopped, on_eof is called even if received bytes have not been
 * read, and on_data is not called for them any more. */
void rk_conn_set_paused(struct rk_conn *c, bool paused);

/* Stops (true) or resumes reading, so that the peer can't send more than the kernel
 * buffers. Unlike a paused connection, a held one loses no received bytes: the
 * peer's close is noticed once they have been read. */
void rk_conn_set_held(struct rk_conn *c, bool held);

/* Leaves the kernel's buffer for received bytes as it is, however much the
 * connection carries: its owner has bounded it. */
void rk_conn_keep_receive_buffer(struct rk_conn *c);

/* Sets how many closed connections of a thread may wait for their peers to close;
 * 0, the initial value: no limit. Beyond it, the one that waits longest is ended.
 */
void rk_conn_set_linger_max(int count);

/* Closes the connection in order and frees c: sends the queued bytes as long as the
 * peer reads some of them each second, and gives it a second to close after that. A
 * connection that has ended already or is still connecting is closed at once. No
 * callback follows. */
void rk_conn_close(struct rk_conn *c);

/* Returns how many closed connections of this thread still have bytes to send. */
size_t rk_conn_flushing_count(void);

/* Closes an idle connection at once and frees c. Data that arrives after the close
 * is answered by the kernel with a reset, so the peer knows that it was not read.
 * Returns false, and changes nothing, if received bytes are waiting to be read. */
bool rk_conn_close_idle(struct rk_conn *c);

/* Resets the connection and frees c. By the reset the peer knows that what it
 * received is incomplete. */
void rk_conn_abort(struct rk_conn *c);

#endif
