/* Sizes the kernel's buffers for what callers send. */
#include <sys/socket.h>

#include "callers/client.h"
#include "common/eventlog.h"

/* What the kernel takes from a connection that is not read, by Linux's defaults. */
#define USUAL_UNREAD_BYTES ((size_t)64 * 1024)
#define CROWDED_BUFFER     (16 * 1024)

void rk_server_init_receive_buffer(struct rk_server *s, int fd)
{
    int bytes = 0;
    socklen_t len = sizeof(bytes);
    getsockopt(fd, SOL_SOCKET, SO_RCVBUF, &bytes, &len);
    s->receive_buffer = bytes / 2; /* Linux doubles what is set */
}

/* Gives new connections a small buffer in the kernel while there are so many that
 * usual ones, full of bytes that are not read, would exceed the limit. Accepted
 * sockets inherit the listener's; that of an open connection is left as it is,
 * since the kernel would drop bytes that its peer has been allowed to send. */
void rk_server_update_receive_buffer(struct rk_server *s)
{
    size_t full = s->clients_len * USUAL_UNREAD_BYTES;
    bool crowded = full > s->limits.unread_bytes / (s->is_crowded ? 2 : 1);
    if (!s->limits.unread_bytes || crowded == s->is_crowded || s->acceptor.fd < 0)
        return;
    int bytes = crowded ? CROWDED_BUFFER : s->receive_buffer;
    int unlocked = 0;
    s->is_crowded = crowded;
    setsockopt(s->acceptor.fd, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof(bytes));
    if (!crowded) /* fails on kernels before 5.14, where the size stays fixed */
        setsockopt(s->acceptor.fd, SOL_SOCKET, SO_BUF_LOCK, &unlocked,
                   sizeof(unlocked));
    RK_EVENT("callers.receive_buffer", RK_S("address", s->addr),
             RK_N("bytes", bytes), RK_N("connections", (int64_t)s->clients_len));
}
