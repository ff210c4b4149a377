/* Parses "ip:port" into a socket address. IPv4 only. */
#ifndef RK_COMMON_ADDR_H
#define RK_COMMON_ADDR_H

#include <stdbool.h>

struct sockaddr_in;

/* Parses s, a numeric IPv4 address, a colon and a port from 0 to 65535. The port is
 * read as strtol() does; an empty one counts as 0. Returns false if s is anything
 * else; *out is then not to be used. */
bool rk_addr_parse(const char *s, struct sockaddr_in *out);

/* Returns whether s, as rk_addr_parse() takes it, can be connected to: neither its
 * IP nor its port is 0. */
bool rk_addr_is_callable(const char *s);

#endif
