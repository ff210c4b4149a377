#include "common/addr.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>

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

bool rk_addr_is_callable(const char *s)
{
    struct sockaddr_in sin;
    return rk_addr_parse(s, &sin) && sin.sin_port && sin.sin_addr.s_addr;
}
