/* Internals of the quarantine, shared by quarantine.c (the table, whole requests
 * and merging) and quarantine_segments.c (which segment is to blame). */
#ifndef RK_CORE_QUARANTINE_IMPL_H
#define RK_CORE_QUARANTINE_IMPL_H

#include "core/quarantine.h"

/* Returns the row's record of a VM's end, or NULL. */
const struct rk_vm_end *rk_quarantine_find_end(const struct rk_quarantine_row *row,
                                               uint32_t vm);

/* Clears a row's evidence and starts a generation. */
void rk_quarantine_reset_row(struct rk_quarantine_row *row, uint32_t generation);

/* Returns whether the VM had just begun something else that is stopped when it
 * ended, so that its end does not count against the row. */
bool rk_quarantine_is_explained(const struct rk_quarantine *q,
                                const struct rk_quarantine_row *row,
                                const struct rk_vm_end *end);

/* ---- quarantine_segments.c ---- */

/* Returns whether the evidence against a segment suffices to stop it. */
bool rk_quarantine_segment_is_to_blame(const struct rk_quarantine *q,
                                       const struct rk_quarantine_row *row,
                                       int64_t now_ms);

/* Applies to a segment's row what this node observed of VMs that answered on the
 * segment and lived. Returns whether the row changed. */
bool rk_quarantine_apply_sound(const struct rk_quarantine *q,
                               struct rk_quarantine_row *row, int64_t now_ms);

#endif
