/* Labels in the text format of Prometheus. */
#ifndef RK_NODE_METRIC_LABEL_H
#define RK_NODE_METRIC_LABEL_H

#include "common/util.h"

/* Appends a label. Backslash, quote and line feed in the value are escaped. */
void rk_metric_put_label(struct rk_buf *out, const char *name, const char *value);

#endif
