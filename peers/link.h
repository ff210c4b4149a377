/* Framed TCP connections between rillknot processes. A frame is a protobuf message
 * (peers.proto) behind its length in four bytes, big-endian. Links are
 * non-blocking, belong to one event loop and have a bounded send buffer. All
 * functions are called on the loop's thread. */
#ifndef RK_PEERS_LINK_H
#define RK_PEERS_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "peers/peers.pb-c.h"

/* Longest message of a frame in bytes, without its length prefix. */
#define RK_FRAME_MAX (2 * 1024 * 1024)

struct rk_arena;
struct rk_loop;
struct rk_link;
struct rk_listener;

struct rk_link_ops {
    /* Called with each received frame, which is valid during the call only. */
    void (*on_frame)(void *ctx, struct rk_link *link, const Rillknot__Frame *frame);
    /* Called when an outgoing connection is established. May be NULL. */
    void (*on_up)(void *ctx, struct rk_link *link);
    /* Called once when the connection fails, the peer closes it or its input is
     * malformed. The owner must destroy the link, in the callback or later. */
    void (*on_down)(void *ctx, struct rk_link *link);
};

/* Starts to connect to addr ("ip:port"). Frames can be sent at once; they are
 * buffered until the connection is established. Returns NULL if addr is malformed
 * or the connection attempt fails at once. The caller owns the link; ops must
 * outlive it. */
struct rk_link *rk_link_connect(struct rk_loop *loop, const char *addr,
                                const struct rk_link_ops *ops, void *ctx);

/* Closes the link and frees it, without a call of on_down(). May be called from the
 * link's own callbacks. Does nothing if link is NULL. */
void rk_link_destroy(struct rk_link *link);

/* Queues a frame. Returns false, and queues nothing, if the link is down, its send
 * buffer is full, all links together buffer a quarter of the memory's budget and
 * this one some of it, or the frame is longer than RK_FRAME_MAX. Never calls back.
 */
bool rk_link_send(struct rk_link *link, const Rillknot__Frame *frame);

/* A serialized frame with its length in front. It serves to send one frame over
 * many links: packing it for each link took most of the time of a bridge (the node
 * that relays for a failure domain) of a large domain. */
struct rk_packed_frame {
    uint8_t *data; /* owned; freed by rk_packed_frame_free() */
    size_t len;    /* 0: the frame was longer than RK_FRAME_MAX */
};

/* Serializes a frame. */
struct rk_packed_frame rk_frame_pack(const Rillknot__Frame *frame);

/* Frees the data and zeroes *p. */
void rk_packed_frame_free(struct rk_packed_frame *p);

/* Queues a copy of a packed frame; see rk_link_send(). Returns false also if p is
 * empty. */
bool rk_link_send_packed(struct rk_link *link, const struct rk_packed_frame *p);

/* Returns the bytes in the link's own send buffer, not yet taken by the kernel. */
size_t rk_link_unsent_len(const struct rk_link *l);

/* Returns the bytes that wait on this machine: those in the link's own send buffer
 * and those in the kernel's that the peer has not acknowledged. Returns 0 if the
 * peer has acknowledged none of them for 500 ms: the path is broken then, and its
 * bytes take no bandwidth from other links. Progress is measured from call to call,
 * so the result is late by the time between calls. */
size_t rk_link_queued_len(struct rk_link *l);
/* Returns whether the peer acknowledged anything between the last two calls of
 * rk_link_queued_len(). */
bool rk_link_has_progressed(const struct rk_link *l);

/* Returns whether the connection was ever established. If not, no byte has left
 * this process. */
bool rk_link_was_up(const struct rk_link *link);

/* Sets the ctx that the link's callbacks get. */
void rk_link_set_ctx(struct rk_link *link, void *ctx);

/* Accepts links at fd, a listening socket that the listener owns from then on, see
 * common/listen.h. The links use `ops`. on_accept() gets each new link, owns it
 * from then on and sets the ctx of its callbacks by rk_link_set_ctx(). */
struct rk_listener *
rk_listener_create(struct rk_loop *loop, int fd, const struct rk_link_ops *ops,
                   void (*on_accept)(void *ctx, struct rk_link *l), void *ctx);

/* Stops listening and frees l; accepted links stay. Does nothing if l is NULL. */
void rk_listener_destroy(struct rk_listener *l);

/* Returns the bound address as "ip:port". The listener owns the string. */
const char *rk_listener_addr(const struct rk_listener *l);

/* Decodes the first frame in data; exposed for tests. Returns the number of bytes
 * that it took, 0 if it is not complete yet, or -1 if the bytes are not a frame.
 * *frame is NULL unless the result is positive; the caller frees it with
 * rillknot__frame__free_unpacked(). */
long rk_frame_decode(const uint8_t *data, size_t len, Rillknot__Frame **frame);

/* Like rk_frame_decode(), but allocates the frame in `arena`. It is released with
 * the arena and must not be freed. */
long rk_frame_decode_in(const uint8_t *data, size_t len, struct rk_arena *arena,
                        Rillknot__Frame **frame);

#endif
