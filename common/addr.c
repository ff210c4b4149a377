#include "common/addr.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "common/status.h"
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

bool rk_addr_is_free(const struct sockaddr_in *addr)
{
    if (!addr->sin_port)
        return true;
    int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    int one = 1;
    bool is_free =
        fd >= 0 &&
        setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one)) == 0 &&
        bind(fd, (const struct sockaddr *)addr, sizeof(*addr)) == 0;
    if (!is_free) {
        char ip[INET_ADDRSTRLEN];
        int err = errno;
        inet_ntop(AF_INET, &addr->sin_addr, ip, sizeof(ip));
        rk_fail(RK_ESYSTEM, "%s:%u: %s", ip, ntohs(addr->sin_port), strerror(err));
    }
    if (fd >= 0)
        close(fd);
    return is_free;
}
