/* Event log: one JSON object a line through log4c, on standard output, by way of a
 * ring: a reader that is slow or gone costs lines, never time. The time line is
 * drawn from these lines, so each carries both clocks, the
 * process, its failure domain and the event's fields by name. */
#ifndef RK_COMMON_EVENTLOG_H
#define RK_COMMON_EVENTLOG_H

#include <stddef.h>
#include <stdint.h>

enum rk_log_level { RK_LOG_DEBUG, RK_LOG_INFO, RK_LOG_WARN, RK_LOG_ERROR };

struct rk_field {
    const char *name;
    const char *str; /* NULL: num holds the value */
    int64_t num;
};

#define RK_S(n, s) ((struct rk_field){.name = (n), .str = (s)})
#define RK_N(n, v) ((struct rk_field){.name = (n), .num = (v)})

/* Once, before any thread starts. process and domain are copied. */
void rk_log_init(const char *process, const char *domain, enum rk_log_level min);
void rk_log_shutdown(void);

/* Write what is kept and can be written without waiting. Any thread. */
void rk_log_flush(void);
void rk_log_set_level(enum rk_log_level min);

/* Any thread. fields may be NULL when count is 0. */
void rk_log_event(enum rk_log_level level, const char *event,
                  const struct rk_field *fields, size_t count);

#define RK_LOG(level, event, ...)                                                  \
    rk_log_event((level), (event), (const struct rk_field[]){__VA_ARGS__},         \
                 sizeof((const struct rk_field[]){__VA_ARGS__}) /                  \
                     sizeof(struct rk_field))
#define RK_EVENT(event, ...) RK_LOG(RK_LOG_INFO, event, __VA_ARGS__)
#define RK_WARN(event, ...)  RK_LOG(RK_LOG_WARN, event, __VA_ARGS__)

#endif
