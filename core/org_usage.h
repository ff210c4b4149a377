/* Quota usage per organisation as nodes report it to each other. Only records that
 * changed are sent again, as a node of a large fleet serves a few out of hundreds
 * of organisations in any second. When each node of a domain sent all records to
 * its bridge four times a second, the bridge had little time for anything else.
 * Pure: no I/O, no clock. */
#ifndef RK_CORE_ORG_USAGE_H
#define RK_CORE_ORG_USAGE_H

#include <stdbool.h>
#include <stddef.h>

#include "common/util.h"
#include "core/name_index.h"
#include "core/quota.h"
#include "core/totals.h"

/* Usage of one organisation since the start of the reporting node, in quota
 * units. */
struct rk_org_use {
    char org[RK_ID_MAX]; /* must be first: see core/name_index.h */
    double units;
    double demand_per_s; /* units/s requested by callers, refused calls included */
    double class_demand_per_s[RK_QUOTA_CLASSES]; /* its parts by class */
    /* Units that all nodes used within the quota window, as far as the reporting
     * node knows, per window slice, newest first. */
    double used_slices[RK_QUOTA_SLICES];
    /* Like known, plus persisted usage from before a restart; set only in reports
     * to the control thread. */
    double persisted_slices[RK_QUOTA_SLICES];
};

/* Returns the record of an organisation among len records, or NULL. */
const struct rk_org_use *rk_org_use_find(const struct rk_org_use *uses, size_t len,
                                         const char *org);

/* ---- demand by organisation ---- */

/* Demand of one organisation at several nodes. */
struct rk_org_demand {
    char org[RK_ID_MAX];            /* must be first: see core/name_index.h */
    double per_s[RK_QUOTA_CLASSES]; /* units/s per class, refused calls included */
};

/* Demand by organisation. All zero: empty. */
struct rk_org_demands {
    struct rk_org_demand *rows;
    size_t len, cap;
    struct rk_name_index names;
};

/* Returns the demand of an organisation, or NULL if there is none. */
const struct rk_org_demand *rk_org_demands_find(const struct rk_org_demands *d,
                                                const char *org);
/* Adds the demand of len records, multiplied by sign, to the rows of their
 * organisations. sign: 1, or -1 to subtract. Skips records without demand. */
void rk_org_demands_add(struct rk_org_demands *d, const struct rk_org_use *uses,
                        size_t len, double sign);
/* Sets negative values to 0. */
void rk_org_demands_clamp(struct rk_org_demands *d);
/* Sets the peers' demand of all organisations of a quota; those without a row have
 * none. */
void rk_org_demands_apply(const struct rk_org_demands *d, struct rk_quota *q);
/* Frees what d owns and resets it to empty. */
void rk_org_demands_free(struct rk_org_demands *d);

/* ---- sending ---- */

/* Returns whether a record has to be sent to peers that have received all earlier
 * updates. sent_units holds the units per organisation that were sent last; it is
 * updated if the units changed. */
bool rk_org_use_changed(const struct rk_org_use *use, struct rk_totals *sent_units);

/* ---- receiving ---- */

/* Latest records of one reporting node. All zero: empty. */
struct rk_org_uses {
    struct rk_org_use *rows;
    size_t len, cap;
    struct rk_name_index names;
};

/* Starts a new report: sets the demand of every record to 0, as records missing
 * from the report have none. */
void rk_org_uses_begin(struct rk_org_uses *u);
/* Returns whether an organisation has a record. */
bool rk_org_uses_has(const struct rk_org_uses *u, const char *org);
/* Returns the record of an organisation, added if it is new. Valid until the next
 * one is added. */
struct rk_org_use *rk_org_uses_get(struct rk_org_uses *u, const char *org);
/* Sets an organisation's units as reported and returns by how much they rose. */
double rk_org_uses_set_units(struct rk_org_uses *u, const char *org, double units);
/* Removes all records. */
void rk_org_uses_clear(struct rk_org_uses *u);
/* Frees what u owns and resets it to empty. */
void rk_org_uses_free(struct rk_org_uses *u);

#endif
