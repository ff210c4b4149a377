/* What nodes tell of the use of quotas: rows of organisations, of which only those
 * are told again that changed. A node of a large fleet serves a few of hundreds of
 * organisations a second; a bridge that was told all rows by each node of its
 * domain four times a second did little else. Pure. */
#ifndef RK_CORE_ORG_USES_H
#define RK_CORE_ORG_USES_H

#include <stdbool.h>
#include <stddef.h>

#include "common/util.h"
#include "core/names.h"
#include "core/quota.h"
#include "core/tally.h"

/* What one organisation used since the start of who tells it, in units of its
 * quota.
 */
struct rk_org_use {
    char org[RK_ID_MAX]; /* first: see core/names.h */
    double units;
    double asking; /* units a second that callers ask for, refused ones included */
    /* What all used within the quota's window, as far as the teller knows, by parts
     * of it, the newest first. */
    double known[RK_QUOTA_PARTS];
    /* The same, with what the store remembered; only in reports to control. */
    double kept[RK_QUOTA_PARTS];
};

/* The row of an organisation; NULL: none. */
const struct rk_org_use *rk_org_use_find(const struct rk_org_use *uses, size_t len,
                                         const char *org);

/* ---- telling ---- */

/* Has a row to be told to peers that know the others as they were told last? told:
 * units by organisation as told last; the row is noted there if so. */
bool rk_org_use_is_news(const struct rk_org_use *use, struct rk_tally *told);

/* ---- hearing ---- */

/* What one node told, as it stands now. Zeroed: nothing. */
struct rk_org_uses {
    struct rk_org_use *rows;
    size_t len, cap;
    struct rk_names names;
};

/* A new telling begins: rows that are not in it are asked for nothing now. */
void rk_org_uses_begin(struct rk_org_uses *u);
bool rk_org_uses_has(const struct rk_org_uses *u, const char *org);
/* The row of an organisation, made if it is new; valid until the next is made. */
struct rk_org_use *rk_org_uses_at(struct rk_org_uses *u, const char *org);
/* Its use as told now; by how much it rose. */
double rk_org_uses_rise(struct rk_org_uses *u, const char *org, double units);
void rk_org_uses_clear(struct rk_org_uses *u); /* no row is left */
void rk_org_uses_free(struct rk_org_uses *u);

#endif
