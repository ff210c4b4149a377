/* A framed TCP connection between two processes of the system: each frame is a
 * protobuf message behind its length. Non-blocking, on one event loop, with a
 * bounded send buffer. Loop thread only. */
#ifndef RK_PEERS_LINK_H
#define RK_PEERS_LINK_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"
#include "peers/peers.pb-c.h"

#define RK_FRAME_MAX (2 * 1024 * 1024)

struct rk_arena;
struct rk_loop;
struct rk_link;
struct rk_listener;

struct rk_link_ops {
    /* The frame is freed after the call. */
    void (*on_frame)(void *ctx, struct rk_link *link, const Rillknot__Frame *frame);
    void (*on_up)(void *ctx, struct rk_link *link); /* may be NULL */
    /* The link is dead; the owner destroys it, now or later. */
    void (*on_down)(void *ctx, struct rk_link *link);
};

/* addr: "ip:port". Connects in the background. NULL when addr is malformed. */
struct rk_link *rk_link_connect(struct rk_loop *loop, const char *addr,
                                const struct rk_link_ops *ops, void *ctx);
void rk_link_destroy(struct rk_link *link);

/* False when the link is dead, its buffer is full or the frame too long: nothing
 * was sent. */
bool rk_link_send(struct rk_link *link, const Rillknot__Frame *frame);

/* A frame as it goes over a link, its length before it. Packed once where many
 * links get the same: a bridge of a large domain did little else. */
struct rk_packed_frame {
    uint8_t *data;
    size_t len; /* 0: the frame was longer than RK_FRAME_MAX */
};
struct rk_packed_frame rk_frame_pack(const Rillknot__Frame *frame);
void rk_packed_frame_free(struct rk_packed_frame *p);
bool rk_link_send_packed(struct rk_link *link, const struct rk_packed_frame *p);

/* Bytes that wait for the peer to read. */
size_t rk_link_unsent(const struct rk_link *l);
/* Bytes that wait on this machine, the kernel's included; 0 for a link on which
 * none has moved for a while: the way is gone and takes nothing from the others. */
size_t rk_link_waiting(struct rk_link *l);

/* Did the connection ever stand? If not, nothing sent on it has left. */
bool rk_link_was_up(const struct rk_link *link);
void rk_link_set_ctx(struct rk_link *link, void *ctx);

/* Accept links. on_accept sets the link's ctx by rk_link_set_ctx(). shared: threads
 * of this process listen at the same address; see rk_addr_is_free(). */
struct rk_listener *
rk_listener_create(struct rk_loop *loop, const char *addr, bool shared,
                   const struct rk_link_ops *ops,
                   void (*on_accept)(void *ctx, struct rk_link *l), void *ctx);
void rk_listener_destroy(struct rk_listener *l);

/* The address it is bound to, with the port the kernel gave. */
const char *rk_listener_addr(const struct rk_listener *l);

/* Read frames out of bytes; exposed for tests. Returns the bytes used by the
 * first whole frame and the frame (NULL: none yet), or -1 for garbage. */
long rk_frame_decode(const uint8_t *data, size_t len, Rillknot__Frame **frame);
/* The same; the frame lies in the arena and isn't freed by itself. */
long rk_frame_decode_in(const uint8_t *data, size_t len, struct rk_arena *arena,
                        Rillknot__Frame **frame);

#endif
