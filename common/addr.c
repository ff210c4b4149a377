#include "common/addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/util.h"

bool rk_addr_parse(const char *s, struct sockaddr_in *out)
{
    char ip[RK_ADDR_MAX];
    const char *colon = strrchr(s, ':');
    if (!colon || (size_t)(colon - s) >= sizeof(ip))
        return false;
    memcpy(ip, s, (size_t)(colon - s));
    ip[colon - s] = '\0';
    char *end;
    long port = strtol(colon + 1, &end, 10);
    *out = (struct sockaddr_in){.sin_family = AF_INET,
                                .sin_port = htons((uint16_t)port)};
    return !*end && port >= 0 && port <= UINT16_MAX &&
           inet_pton(AF_INET, ip, &out->sin_addr) == 1;
}

static enum rk_status fail_bind(const struct sockaddr_in *addr, int err)
{
    char ip[INET_ADDRSTRLEN];
    inet_ntop(AF_INET, &addr->sin_addr, ip, sizeof(ip));
    enum rk_status st =
        err == EADDRINUSE || err == EADDRNOTAVAIL ? RK_ECONFLICT : RK_ESYSTEM;
    return rk_fail(st, "%s:%u: %s", ip, ntohs(addr->sin_port), strerror(err));
}

enum rk_status rk_addr_check_free(const struct sockaddr_in *addr)
{
    if (!addr->sin_port)
        return RK_OK;
    int one = 1;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (fd < 0)
        return fail_bind(addr, errno);
    enum rk_status st = RK_OK;
    if (setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) != 0 ||
        bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) != 0)
        st = fail_bind(addr, errno);
    close(fd);
    return st;
}
