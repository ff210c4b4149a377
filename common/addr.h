/* "ip:port" as a socket address, and listening at one. */
#ifndef RK_COMMON_ADDR_H
#define RK_COMMON_ADDR_H

#include <stdbool.h>

struct sockaddr_in;

/* False when s is not an IPv4 address and a port. */
bool rk_addr_parse(const char *s, struct sockaddr_in *out);

/* Does no process listen there? Sockets that share a port (SO_REUSEPORT) don't
 * notice each other: a process asks this once before its threads share one. Port 0
 * is always free. False: rk_last_error() says why. */
bool rk_addr_is_free(const struct sockaddr_in *addr);

#endif
