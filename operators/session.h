/* What an operator's tool does with the settings: read the log of changes from
 * the platform, check a change on the newest tree, and commit it. Blocking; for
 * command-line tools, not for the nodes. */
#ifndef RK_OPERATORS_SESSION_H
#define RK_OPERATORS_SESSION_H

#include <stdint.h>

#include "common/status.h"
#include "core/changes.h"

struct rk_session;
struct rk_buf;

struct rk_session *rk_session_create(const char *platform);
void rk_session_destroy(struct rk_session *s);

/* Read all changes there are. RK_EUNAVAILABLE: the platform can't be reached. */
enum rk_status rk_session_load(struct rk_session *s);

/* The log as read; borrowed. */
const struct rk_changelog *rk_session_log(const struct rk_session *s);

/* Commit a change: set is the JSON object of paths and values. On RK_OK *number
 * is its place in the log. RK_EINVAL: refused, problems say why, nothing was
 * done. RK_ECONFLICT: somebody changed the same paths meanwhile, nothing was
 * done. RK_EUNAVAILABLE: nothing was done. RK_EUNKNOWN: it may be in the log;
 * its id, for looking it up, is in rk_last_error(). */
enum rk_status rk_session_commit(struct rk_session *s, const char *author,
                                 const char *set, int64_t *number,
                                 struct rk_problems *problems);

/* The changes that turn the tree in force into a whole new one, as the "set" of
 * a change. "{}" when they are equal. */
void rk_session_diff(const struct rk_session *s, const struct rk_settings *tree,
                     struct rk_buf *set);

/* A page of an entry node, e.g. /status. The caller frees *body. */
enum rk_status rk_session_page(struct rk_session *s, const char *entry,
                               const char *path, char **body);

#endif
