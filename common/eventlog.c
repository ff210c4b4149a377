#include "common/eventlog.h"

#include <inttypes.h>
#include <log4c.h>
#include <poll.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "common/counters.h"
#include "common/process.h"
#include "common/util.h"

#define LINE_MAX_BYTES 4000
#define RING_BYTES     (64 * 1024)
/* A pipe with room takes this many bytes whole or not at all (PIPE_BUF). */
#define WRITE_MAX_BYTES 4096

/* Lines that standard output hasn't taken yet. When the ring is full, new lines are
 * dropped rather than waited for; an event log.dropped reports how many. */
static struct {
    pthread_mutex_t lock;
    char bytes[RING_BYTES];
    size_t start, len;
    uint64_t dropped;
} ring = {.lock = PTHREAD_MUTEX_INITIALIZER};

/* Standard output; see rk_process_open_nonblocking(). */
static int out_fd = STDOUT_FILENO;
static log4c_category_t *category;
static char process_name[RK_ID_MAX];
static char domain_name[RK_ID_MAX];

static const struct {
    int priority;
    const char *name;
} levels[] = {
    [RK_LOG_DEBUG] = {LOG4C_PRIORITY_DEBUG, "debug"},
    [RK_LOG_INFO] = {LOG4C_PRIORITY_INFO, "info"},
    [RK_LOG_WARN] = {LOG4C_PRIORITY_WARN, "warn"},
    [RK_LOG_ERROR] = {LOG4C_PRIORITY_ERROR, "error"},
};

/* The message already is a JSON object; the layout only ends the line. */
static const char *json_line_format(const log4c_layout_t *layout,
                                    const log4c_logging_event_t *event)
{
    (void)layout;
    static _Thread_local char line[LINE_MAX_BYTES + 2];
    snprintf(line, sizeof(line), "%s\n", event->evt_msg);
    return line;
}

static const log4c_layout_type_t json_line_layout = {
    .name = "rillknot_json_lines",
    .format = json_line_format,
};

/* ---- ring buffer; its functions are called with ring.lock held ---- */

/* Returns false, and adds nothing, if the line doesn't fit. */
static bool ring_add(const char *line, size_t len)
{
    if (ring.len + len > RING_BYTES)
        return false;
    for (size_t i = 0; i < len; i++)
        ring.bytes[(ring.start + ring.len + i) % RING_BYTES] = line[i];
    ring.len += len;
    return true;
}

/* Writes as much as standard output takes without blocking. */
static void ring_drain(void)
{
    struct pollfd out = {.fd = out_fd, .events = POLLOUT};
    while (ring.len && poll(&out, 1, 0) == 1 && (out.revents & POLLOUT)) {
        size_t n = RING_BYTES - ring.start;
        n = n < ring.len ? n : ring.len;
        n = n < WRITE_MAX_BYTES ? n : WRITE_MAX_BYTES;
        ssize_t written = write(out_fd, ring.bytes + ring.start, n);
        if (written <= 0)
            return;
        ring.start = (ring.start + (size_t)written) % RING_BYTES;
        ring.len -= (size_t)written;
    }
}

/* Adds an event that reports how many lines were dropped. If it fits, the count
 * restarts at 0. */
static void report_dropped(void)
{
    char line[LINE_MAX_BYTES];
    int len = snprintf(line, sizeof(line),
                       "{\"wall_ms\":%" PRId64 ",\"mono_us\":%" PRId64
                       ",\"level\":\"warn\",\"process\":\"%s\""
                       ",\"failure_domain\":\"%s\",\"event\":\"log.dropped\""
                       ",\"lines\":%" PRIu64 "}\n",
                       rk_wall_ms(), rk_uptime_us(), process_name, domain_name,
                       ring.dropped);
    if (ring_add(line, (size_t)len))
        ring.dropped = 0;
}

/* Appender that adds the rendered line alone: log4c's stream appender adds a
 * prefix. */
static int append_line(log4c_appender_t *appender,
                       const log4c_logging_event_t *event)
{
    (void)appender;
    const char *line = event->evt_rendered_msg;
    pthread_mutex_lock(&ring.lock);
    ring_drain();
    if (ring.dropped)
        report_dropped();
    if (ring.dropped || !ring_add(line, strlen(line))) {
        ring.dropped++;
        rk_counter_add(RK_C_LOG_DROPPED, 1);
    }
    ring_drain();
    pthread_mutex_unlock(&ring.lock);
    return 0;
}

static const log4c_appender_type_t stdout_appender = {
    .name = "rillknot_stdout",
    .append = append_line,
};

void rk_log_init(const char *process, const char *domain, enum rk_log_level min)
{
    rk_strcpy(process_name, sizeof(process_name), process);
    rk_strcpy(domain_name, sizeof(domain_name), domain);
    out_fd = rk_process_open_nonblocking(STDOUT_FILENO);
    log4c_init();
    log4c_layout_type_set(&json_line_layout);
    log4c_layout_t *layout = log4c_layout_get("rillknot");
    log4c_layout_set_type(layout, &json_line_layout);
    log4c_appender_t *appender = log4c_appender_get("rillknot");
    log4c_appender_type_set(&stdout_appender);
    log4c_appender_set_type(appender, &stdout_appender);
    log4c_appender_set_layout(appender, layout);
    category = log4c_category_get("rillknot");
    log4c_category_set_appender(category, appender);
    log4c_category_set_additivity(category, 0);
    log4c_category_set_priority(category, levels[min].priority);
}

void rk_log_set_level(enum rk_log_level min)
{
    log4c_category_set_priority(category, levels[min].priority);
}

void rk_log_flush(void)
{
    pthread_mutex_lock(&ring.lock);
    ring_drain();
    pthread_mutex_unlock(&ring.lock);
}

void rk_log_shutdown(void)
{
    rk_log_flush();
    category = NULL;
    log4c_fini();
}

void rk_log_event(enum rk_log_level level, const char *event,
                  const struct rk_log_field *fields, size_t count)
{
    if (!category ||
        !log4c_category_is_priority_enabled(category, levels[level].priority))
        return;
    struct rk_buf line = {.max = LINE_MAX_BYTES};
    rk_buf_printf(&line, "{\"wall_ms\":%" PRId64 ",\"mono_us\":%" PRId64,
                  rk_wall_ms(), rk_uptime_us());
    rk_buf_printf(&line,
                  ",\"level\":\"%s\",\"process\":\"%s\",\"failure_domain\":\"%s\"",
                  levels[level].name, process_name, domain_name);
    rk_buf_printf(&line, ",\"event\":\"%s\"", event);
    for (size_t i = 0; i < count; i++) {
        /* Each field is built separately, so that one that is too long is left out
         * without losing the line. */
        struct rk_buf field = {.max = LINE_MAX_BYTES / 4};
        bool ok = rk_buf_printf(&field, ",\"%s\":", fields[i].name);
        if (fields[i].str)
            ok = ok && rk_buf_json_str(&field, fields[i].str);
        else
            ok = ok && rk_buf_printf(&field, "%" PRId64, fields[i].num);
        if (ok && line.len + field.len + 2 < LINE_MAX_BYTES)
            rk_buf_add(&line, field.data, field.len);
        rk_buf_free(&field);
    }
    rk_buf_add(&line, "}", 1);
    log4c_category_log(category, levels[level].priority, "%s", line.data);
    rk_buf_free(&line);
}
