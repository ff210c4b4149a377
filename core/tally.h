/* Counters by name that only add up what sources told, so that a source that starts
 * again, or takes over from another, doesn't make a sum jump. Pure. */
#ifndef RK_CORE_TALLY_H
#define RK_CORE_TALLY_H

#include <stddef.h>

#include "common/util.h"
#include "core/names.h"

struct rk_tally_row {
    char name[RK_ID_MAX]; /* first: see core/names.h */
    double total;
};

struct rk_tally {
    struct rk_tally_row *rows;
    size_t len, cap;
    struct rk_names index;
};

/* The counter of a name, made if need be; valid until the next is made. */
double *rk_tally_at(struct rk_tally *t, const char *name);
double rk_tally_total(const struct rk_tally *t, const char *name); /* 0: none */
/* Set a counter; by how much it rose. */
double rk_tally_rise(struct rk_tally *t, const char *name, double now);
void rk_tally_clear(struct rk_tally *t); /* no counter is left */
void rk_tally_free(struct rk_tally *t);

#endif
