#include "common/listen.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdbool.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/addr.h"
#include "common/eventlog.h"
#include "common/process.h"

#define BACKLOG  1024
#define RETRY_MS 200
/* Time beyond the planned stop, for a process that is killed at its end. */
#define MARGIN_MS 2000
/* A client's port stays taken for 60 s after its connection's end (TIME_WAIT). */
#define WAIT_MIN_MS 65000

/* Returns whether a failed call may succeed later: the address is taken, or the
 * kernel is short of files or memory, which all processes share. */
static bool may_pass(int err)
{
    return err == EADDRINUSE || err == EADDRNOTAVAIL || err == ENFILE ||
           err == ENOBUFS || err == ENOMEM;
}

static enum rk_status fail(const char *addr, int err)
{
    return rk_fail(may_pass(err) ? RK_ECONFLICT : RK_ESYSTEM, "%s: %s", addr,
                   strerror(err));
}

/* Returns a socket bound to addr, or -1 with *st set. */
static int bind_at(const char *addr, int reuse_option, enum rk_status *st)
{
    struct sockaddr_in sin;
    int one = 1;
    if (!rk_addr_parse(addr, &sin)) {
        *st = rk_fail(RK_EINVAL, "%s: expected ip:port", addr);
        return -1;
    }
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    if (fd < 0) {
        *st = fail(addr, errno);
        return -1;
    }
    setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
    if (setsockopt(fd, SOL_SOCKET, reuse_option, &one, sizeof(one)) == 0 &&
        bind(fd, (struct sockaddr *)&sin, sizeof(sin)) == 0)
        return fd;
    *st = fail(addr, errno);
    close(fd);
    return -1;
}

static int listen_at(const char *addr, int reuse_option, enum rk_status *st)
{
    int fd = bind_at(addr, reuse_option, st);
    if (fd < 0 || listen(fd, BACKLOG) == 0)
        return fd;
    *st = fail(addr, errno);
    close(fd);
    return -1;
}

int rk_listen_open(const char *addr, enum rk_status *st)
{
    return listen_at(addr, SO_REUSEADDR, st);
}

int rk_listen_open_shared(int first_fd)
{
    char addr[RK_ADDR_MAX];
    enum rk_status st;
    int one = 1;
    rk_listen_addr(first_fd, addr);
    /* Set after listen(): a first socket that had it before would not conflict with
     * that of another process. */
    if (setsockopt(first_fd, SOL_SOCKET, SO_REUSEPORT, &one, sizeof(one)) != 0) {
        fail(addr, errno);
        return -1;
    }
    return listen_at(addr, SO_REUSEPORT, &st);
}

void rk_listen_addr(int fd, char addr[RK_ADDR_MAX])
{
    struct sockaddr_in sin = {0};
    socklen_t len = sizeof(sin);
    char ip[INET_ADDRSTRLEN];
    getsockname(fd, (struct sockaddr *)&sin, &len);
    inet_ntop(AF_INET, &sin.sin_addr, ip, sizeof(ip));
    snprintf(addr, RK_ADDR_MAX, "%s:%u", ip, ntohs(sin.sin_port));
}

int64_t rk_listen_deadline_ms(int64_t stop_ms)
{
    int64_t wait_ms = stop_ms + MARGIN_MS;
    return rk_mono_ms() + (wait_ms > WAIT_MIN_MS ? wait_ms : WAIT_MIN_MS);
}

static void close_all(struct rk_listen_socket *sockets, size_t len)
{
    for (size_t i = 0; i < len; i++) {
        if (sockets[i].fd >= 0)
            close(sockets[i].fd);
        sockets[i].fd = -1;
    }
}

struct wait {
    struct rk_listen_socket *sockets;
    size_t len;
    int64_t since_ms, deadline_ms;
};

static void set_waiting(const struct wait *w, struct rk_listen_socket *s, bool on)
{
    if (on && !s->waiting)
        RK_WARN("listener.waiting", RK_S("listener", s->name),
                RK_S("addr", s->addr), RK_S("why", rk_last_error()),
                RK_N("limit_ms", w->deadline_ms - w->since_ms));
    else if (!on && s->waiting)
        RK_EVENT("listener.free", RK_S("listener", s->name), RK_S("addr", s->addr),
                 RK_N("waited_ms", rk_mono_ms() - w->since_ms));
    s->waiting = on;
}

/* Binds the sockets that aren't. Returns RK_ECONFLICT if that may succeed later. */
static enum rk_status bind_all(const struct wait *w)
{
    enum rk_status result = RK_OK;
    for (size_t i = 0; i < w->len; i++) {
        struct rk_listen_socket *s = &w->sockets[i];
        enum rk_status st = RK_OK;
        if (s->fd < 0)
            s->fd = bind_at(s->addr, SO_REUSEADDR, &st);
        if (st != RK_OK && st != RK_ECONFLICT)
            return st;
        set_waiting(w, s, st == RK_ECONFLICT);
        result = st == RK_OK ? result : st;
    }
    return result;
}

/* Sockets with SO_REUSEADDR can be bound to the same address, but only one of them
 * can listen. If another process was first, all are closed: callers would wait at
 * those that listen. */
static enum rk_status listen_all(const struct wait *w)
{
    for (size_t i = 0; i < w->len; i++) {
        struct rk_listen_socket *s = &w->sockets[i];
        if (listen(s->fd, BACKLOG) == 0)
            continue;
        enum rk_status st = fail(s->addr, errno);
        if (st == RK_ECONFLICT)
            set_waiting(w, s, true);
        close_all(w->sockets, w->len);
        return st;
    }
    return RK_OK;
}

enum rk_status rk_listen_wait(struct rk_listen_socket *sockets, size_t len,
                              int64_t deadline_ms)
{
    const struct wait w = {sockets, len, rk_mono_ms(), deadline_ms};
    for (size_t i = 0; i < len; i++)
        sockets[i].fd = -1;
    for (;;) {
        enum rk_status st = bind_all(&w);
        if (st == RK_OK)
            st = listen_all(&w);
        if (st == RK_OK)
            return RK_OK;
        if (st == RK_ECONFLICT && rk_mono_ms() < deadline_ms) {
            if (!rk_process_wait_stop_signal_for(RETRY_MS))
                continue;
            st = rk_fail(RK_EGONE, "told to stop while waiting for an address");
        }
        close_all(sockets, len);
        return st;
    }
}
