/* Running totals by name. Callers add only the rise of what a source reports, so a
 * sum does not jump when a source restarts or takes over from another one. Pure: no
 * I/O, no clock. */
#ifndef RK_CORE_TOTALS_H
#define RK_CORE_TOTALS_H

#include <stddef.h>

#include "common/util.h"
#include "core/name_index.h"

struct rk_totals_row {
    char name[RK_ID_MAX]; /* must be first: see core/name_index.h */
    double total;
};

/* Counters with an index by name. All zero: empty. */
struct rk_totals {
    struct rk_totals_row *rows;
    size_t len, cap;
    struct rk_name_index index;
};

/* Returns the counter of a name, added at 0 if it is new. Valid until the next one
 * is added. */
double *rk_totals_get(struct rk_totals *t, const char *name);
/* Returns the total of a name; 0 if there is none. */
double rk_totals_value(const struct rk_totals *t, const char *name);
/* Sets a counter and returns by how much it rose. */
double rk_totals_set(struct rk_totals *t, const char *name, double now);
/* Removes all counters. */
void rk_totals_clear(struct rk_totals *t);
/* Frees what t owns and resets it to empty. */
void rk_totals_free(struct rk_totals *t);

#endif
