/* "ip:port" as a socket address. */
#ifndef RK_COMMON_ADDR_H
#define RK_COMMON_ADDR_H

#include <stdbool.h>

struct sockaddr_in;

/* False when s is not an IPv4 address and a port. */
bool rk_addr_parse(const char *s, struct sockaddr_in *out);

#endif
