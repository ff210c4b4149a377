/* Status codes with a last message, for failures of the outside world.
 * Invariants of our own are asserts, never status codes. */
#ifndef RK_COMMON_STATUS_H
#define RK_COMMON_STATUS_H

enum rk_status {
    RK_OK = 0,
    RK_EINVAL,       /* malformed input: message says what was expected */
    RK_ENOTFOUND,    /* the named thing does not exist */
    RK_ECONFLICT,    /* somebody else changed it first */
    RK_EUNAVAILABLE, /* the peer can't be reached; nothing was done */
    RK_EUNKNOWN,     /* the request was sent, its outcome is not known */
    RK_EFULL,        /* a bounded queue or table is at its limit */
    RK_EPROTO,       /* the peer broke its protocol */
    RK_EGONE,        /* what was asked for was known once and is forgotten */
    RK_ESYSTEM,      /* an operating system call failed */
};

/* Name of a status code, for logs and messages. Never NULL. */
const char *rk_status_str(enum rk_status st);

/* Record the calling thread's last message and return st. */
enum rk_status rk_fail(enum rk_status st, const char *fmt, ...)
    __attribute__((format(printf, 2, 3)));

/* The calling thread's last message; valid until its next rk_fail(). */
const char *rk_last_error(void);

#endif
