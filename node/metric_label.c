#include "node/metric_label.h"

void rk_metric_put_label(struct rk_buf *out, const char *name, const char *value)
{
    rk_buf_printf(out, "%s=\"", name);
    for (const char *c = value; *c; c++) {
        if (*c == '\\' || *c == '"')
            rk_buf_printf(out, "\\%c", *c);
        else if (*c == '\n')
            rk_buf_addstr(out, "\\n");
        else
            rk_buf_printf(out, "%c", *c);
    }
    rk_buf_addstr(out, "\"");
}
