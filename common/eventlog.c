#include "common/eventlog.h"

#include <inttypes.h>
#include <log4c.h>
#include <stdio.h>

#include "common/util.h"

#define LINE_MAX_BYTES 4096

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

/* Only the rendered line: log4c's own stream appender adds a prefix. */
static int write_line(log4c_appender_t *appender,
                      const log4c_logging_event_t *event)
{
    (void)appender;
    return fputs(event->evt_rendered_msg, stdout);
}

static const log4c_appender_type_t stdout_appender = {
    .name = "rillknot_stdout",
    .append = write_line,
};

void rk_log_init(const char *process, const char *domain, enum rk_log_level min)
{
    rk_strcpy(process_name, sizeof(process_name), process);
    rk_strcpy(domain_name, sizeof(domain_name), domain);
    setvbuf(stdout, NULL, _IOLBF, 0);
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

void rk_log_shutdown(void)
{
    category = NULL;
    log4c_fini();
}

void rk_log_event(enum rk_log_level level, const char *event,
                  const struct rk_field *fields, size_t count)
{
    if (!category ||
        !log4c_category_is_priority_enabled(category, levels[level].priority))
        return;
    struct rk_buf b = {.max = LINE_MAX_BYTES};
    rk_buf_printf(&b, "{\"wall_ms\":%" PRId64 ",\"mono_us\":%" PRId64, rk_wall_ms(),
                  rk_mono_us());
    rk_buf_printf(&b,
                  ",\"level\":\"%s\",\"process\":\"%s\",\"failure_domain\":\"%s\"",
                  levels[level].name, process_name, domain_name);
    rk_buf_printf(&b, ",\"event\":\"%s\"", event);
    for (size_t i = 0; i < count; i++) {
        /* One field at a time, so that a long one drops itself, not the line. */
        struct rk_buf f = {.max = LINE_MAX_BYTES / 4};
        bool ok = rk_buf_printf(&f, ",\"%s\":", fields[i].name);
        if (fields[i].str)
            ok = ok && rk_buf_json_str(&f, fields[i].str);
        else
            ok = ok && rk_buf_printf(&f, "%" PRId64, fields[i].num);
        if (ok && b.len + f.len + 2 < LINE_MAX_BYTES)
            rk_buf_add(&b, f.data, f.len);
        rk_buf_free(&f);
    }
    rk_buf_add(&b, "}", 1);
    log4c_category_log(category, levels[level].priority, "%s", b.data);
    rk_buf_free(&b);
}
