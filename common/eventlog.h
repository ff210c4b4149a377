/* Event log: one JSON object per line, written through log4c to standard output.
 * Lines pass through a ring buffer, so a reader that is slow or gone costs lines,
 * but never blocks the process. rillknot-timeline merges the logs of several
 * processes, so each line carries both clocks, the process, its failure domain and
 * named fields. */
#ifndef RK_COMMON_EVENTLOG_H
#define RK_COMMON_EVENTLOG_H

#include <stddef.h>
#include <stdint.h>

enum rk_log_level { RK_LOG_DEBUG, RK_LOG_INFO, RK_LOG_WARN, RK_LOG_ERROR };

/* A named field of an event: a string, or a number where str is NULL. */
struct rk_log_field {
    const char *name;
    const char *str;
    int64_t num;
};

/* Make a string field and a number field. */
#define RK_S(n, s) ((struct rk_log_field){.name = (n), .str = (s)})
#define RK_N(n, v) ((struct rk_log_field){.name = (n), .num = (v)})

/* Initialises the log; events below level min are dropped. Call it once, before any
 * thread starts. process and domain are copied. */
void rk_log_init(const char *process, const char *domain, enum rk_log_level min);
/* Writes the buffered lines as rk_log_flush() does, so that some may be lost, and
 * frees the log. Later events are dropped. */
void rk_log_shutdown(void);

/* Writes as many buffered lines as standard output takes without blocking. Any
 * thread. */
void rk_log_flush(void);
/* Sets the level below which events are dropped. */
void rk_log_set_level(enum rk_log_level min);

/* Logs an event. Any thread. A field that takes more than 1000 bytes, or for
 * which a line of 4000 bytes has no room left, is left out. fields may be NULL if
 * count is 0. */
void rk_log_event(enum rk_log_level level, const char *event,
                  const struct rk_log_field *fields, size_t count);

/* Log an event with fields made by RK_S() and RK_N(); RK_EVENT() at level info. */
#define RK_LOG(level, event, ...)                                                  \
    rk_log_event((level), (event), (const struct rk_log_field[]){__VA_ARGS__},     \
                 sizeof((const struct rk_log_field[]){__VA_ARGS__}) /              \
                     sizeof(struct rk_log_field))
#define RK_EVENT(event, ...) RK_LOG(RK_LOG_INFO, event, __VA_ARGS__)
#define RK_WARN(event, ...)  RK_LOG(RK_LOG_WARN, event, __VA_ARGS__)

#endif
