/* Parses "ip:port" into a socket address, and checks whether an address is free to
 * listen at. IPv4 only. */
#ifndef RK_COMMON_ADDR_H
#define RK_COMMON_ADDR_H

#include <stdbool.h>

#include "common/status.h"

struct sockaddr_in;

/* Parses s, a numeric IPv4 address, a colon and a port from 0 to 65535. The port is
 * read as strtol() does; an empty one counts as 0. Returns false if s is anything
 * else; *out is then not to be used. */
bool rk_addr_parse(const char *s, struct sockaddr_in *out);

/* Returns RK_OK if a socket can be bound to the address, RK_ECONFLICT if the
 * address is taken or this machine doesn't have it, and RK_ESYSTEM if the system
 * fails otherwise; rk_last_error() names the address. Port 0 is always free.
 * Processes whose sockets use SO_REUSEPORT can take the same port without an error,
 * so a process calls this once before its threads open such sockets. */
enum rk_status rk_addr_check_free(const struct sockaddr_in *addr);

#endif
