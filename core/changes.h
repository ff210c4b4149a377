/* Changes of settings: the tree in force is a fold over an ordered log. Change
 * n is the object "settings/changes/<n>", created only if absent, so there is
 * one order and nothing reverts. A change that does not check out on the tree
 * before it is skipped, by every node alike.
 *
 *   {"id": "...", "author": "...", "wall_ms": n, "base": n,
 *    "set": {"/services/slots/deadline_ms": 5000, "/classes/old": null}}
 *
 * null takes a value or a whole node away; an object replaces a node. */
#ifndef RK_CORE_CHANGES_H
#define RK_CORE_CHANGES_H

#include <stdbool.h>
#include <stdint.h>

#include "common/status.h"
#include "core/settings.h"

#define RK_CHANGE_NAME_MAX 48
#define RK_CHANGES_PREFIX  "settings/changes/"
#define RK_SNAPSHOT_NAME   "settings/snapshot"

/* Object name of change n: zero-padded, so names sort as numbers do. */
void rk_change_name(char out[RK_CHANGE_NAME_MAX], int64_t n);
int64_t rk_change_number(const char *object_name); /* -1: not a change's name */

/* Apply a change to a tree: a new tree, or RK_EINVAL with problems. */
enum rk_status rk_change_apply(const struct rk_settings *tree, const char *change,
                               struct rk_settings **out,
                               struct rk_problems *problems);

/* Do two changes touch the same path, or one a node above the other's? */
bool rk_changes_conflict(const char *a, const char *b);

/* A node's settings: the tree in force and the number of the last change taken
 * in (the head). The head only rises. */
struct rk_changelog;

struct rk_changelog *rk_changelog_create(void);
void rk_changelog_destroy(struct rk_changelog *log);

int64_t rk_changelog_head(const struct rk_changelog *log);
int64_t rk_changelog_skipped(const struct rk_changelog *log); /* changes refused */
const struct rk_settings *rk_changelog_tree(const struct rk_changelog *log);

/* Text of change n, for peers that ask; NULL when this node hasn't kept it. */
const char *rk_changelog_text(const struct rk_changelog *log, int64_t n);

/* Take change n in. False (and nothing happens) unless n is head + 1. */
bool rk_changelog_take(struct rk_changelog *log, int64_t n, const char *change);

/* Start from a snapshot {"head": n, "tree": {...}}. RK_ECONFLICT when it is
 * not newer than what is in force. */
enum rk_status rk_changelog_restore(struct rk_changelog *log, const char *snapshot);

/* The snapshot's text. The caller frees it. */
char *rk_changelog_snapshot(const struct rk_changelog *log);

#endif
