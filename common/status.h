/* Status codes for failures outside the program (input, network, operating system),
 * with one last error message per thread. Violations of the program's own
 * invariants are asserts, never status codes. */
#ifndef RK_COMMON_STATUS_H
#define RK_COMMON_STATUS_H

enum rk_status {
    RK_OK = 0,
    RK_EINVAL,       /* malformed input; the message says what was expected */
    RK_ENOTFOUND,    /* the named object does not exist */
    RK_ECONFLICT,    /* the object was changed concurrently */
    RK_EUNAVAILABLE, /* the peer can't be reached, or refused the request for
                        lack of capacity; the request had no effect */
    RK_EUNKNOWN,     /* the request was sent, but its outcome is unknown */
    RK_EFULL,        /* a bounded queue or table is full */
    RK_EPROTO,       /* the peer violated the protocol */
    RK_EGONE,        /* the requested data existed, but is no longer retained */
    RK_ESYSTEM,      /* an operating system call failed */
};

/* Returns the name of a status code for logs and messages, a static string. */
const char *rk_status_str(enum rk_status st);

/* Formats the calling thread's last error message, truncated to 511 bytes, and
 * returns st. */
enum rk_status rk_fail(enum rk_status st, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* Returns the calling thread's last error message, valid until its next rk_fail();
 * "" before the first. */
const char *rk_last_error(void);

#endif
