/* Log of settings changes. Every node applies the same numbered changes in order to
 * get the settings tree in force. Change n is the object "settings/changes/<n>",
 * which is created only if absent: so there is one order, and no change is lost or
 * replaced. A change that is invalid for the tree that it applies to is skipped by
 * all nodes.
 *
 *   {"id": "...", "author": "...", "wall_ms": n, "base": n,
 *    "set": {"/services/slots/deadline_ms": 5000, "/classes/old": null}}
 *
 * null removes a value or a whole node; an object replaces a node. base is the head
 * of the tree that the author edited. */
#ifndef RK_CORE_CHANGELOG_H
#define RK_CORE_CHANGELOG_H

#include <stdbool.h>
#include <stdint.h>

#include "common/status.h"
#include "core/settings.h"

#define RK_CHANGE_NAME_MAX 48
#define RK_CHANGES_PREFIX  "settings/changes/"
#define RK_SNAPSHOT_NAME   "settings/snapshot"

/* Writes the object name of change n, zero-padded so that names sort as numbers
 * do. */
void rk_change_name(char out[RK_CHANGE_NAME_MAX], int64_t n);
/* Returns the number in the object name of a change; -1: the name is no
 * change's. */
int64_t rk_change_number(const char *object_name);

/* Applies a change, a JSON text, to a copy of tree. On RK_OK, *out is the new tree,
 * which the caller destroys. On RK_EINVAL, *out must not be used, and problems
 * lists what is wrong unless the change has no "set" object. */
enum rk_status rk_change_apply(const struct rk_settings *tree, const char *change,
                               struct rk_settings **out,
                               struct rk_problems *problems);

/* Returns whether two changes set the same path, or one sets a node above a path of
 * the other. */
bool rk_changes_conflict(const char *a, const char *b);

/* The changes that a node has processed: the settings tree in force, and the number
 * of the last change (the head), which only rises. */
struct rk_changelog;

struct rk_changelog *rk_changelog_create(void);
void rk_changelog_destroy(struct rk_changelog *log);

/* Returns the number of the last processed change; 0: none. */
int64_t rk_changelog_head(const struct rk_changelog *log);
/* Returns how many invalid changes were skipped. */
int64_t rk_changelog_skipped(const struct rk_changelog *log);
/* Returns the tree in force: borrowed, until a change or snapshot is applied. */
const struct rk_settings *rk_changelog_tree(const struct rk_changelog *log);

/* Returns the JSON text of change n, to send to a peer; NULL: this node doesn't
 * keep it (any more). Borrowed, until the next change is applied. */
const char *rk_changelog_text(const struct rk_changelog *log, int64_t n);

/* Applies change n, or skips it if it is invalid, and makes n the head. Returns
 * false, and does nothing, unless n is head + 1. */
bool rk_changelog_append(struct rk_changelog *log, int64_t n, const char *change);

/* Replaces tree and head by those of a snapshot {"head": n, "tree": {...}}. Fails,
 * and changes nothing, with RK_ECONFLICT if its head isn't above the current one,
 * with RK_EPROTO if it is no snapshot, and with RK_EINVAL if its tree is
 * invalid. */
enum rk_status rk_changelog_restore(struct rk_changelog *log, const char *snapshot);

/* Returns a snapshot of tree and head as JSON text, which the caller frees. */
char *rk_changelog_snapshot(const struct rk_changelog *log);

#endif
