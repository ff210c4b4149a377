/* Parses "ip:port" into a socket address, and checks whether an address is free to
 * listen at. IPv4 only. */
#ifndef RK_COMMON_ADDR_H
#define RK_COMMON_ADDR_H

#include <stdbool.h>

struct sockaddr_in;

/* Parses s, a numeric IPv4 address, a colon and a port from 0 to 65535. The port is
 * read as strtol() does; an empty one counts as 0. Returns false if s is anything
 * else; *out is then not to be used. */
bool rk_addr_parse(const char *s, struct sockaddr_in *out);

/* Returns whether a socket can be bound to the address; if not, rk_last_error()
 * says why. Port 0 always counts as free. Processes whose sockets use SO_REUSEPORT
 * can take the same port without an error, so a process calls this once before its
 * threads open such sockets. */
bool rk_addr_is_free(const struct sockaddr_in *addr);

#endif
