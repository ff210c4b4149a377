/* A command-line tool's access to the settings: reads the change log from the
 * platform, validates a change against the newest tree, and commits it. All calls
 * block; nodes don't use this module. */
#ifndef RK_OPERATORS_SETTINGS_SESSION_H
#define RK_OPERATORS_SETTINGS_SESSION_H

#include <stdint.h>

#include "common/status.h"
#include "core/changelog.h"

struct rk_session;
struct rk_buf;

/* platform is the object API's URL, "http://ip:port". Initialises libcurl. */
struct rk_session *rk_session_create(const char *platform);
void rk_session_destroy(struct rk_session *s);

/* Reads all changes. Returns RK_EUNAVAILABLE if the platform doesn't answer. */
enum rk_status rk_session_load(struct rk_session *s);

/* Returns the log as read so far; owned by the session. */
const struct rk_changelog *rk_session_log(const struct rk_session *s);

/* Commits a change. set is a JSON object that maps paths to values. On RK_OK,
 * *number is the number of the change. Errors:
 * RK_EINVAL: the change is invalid for the reasons in problems; nothing was done.
 * RK_ECONFLICT: another change set the same paths meanwhile, or other changes came
 * first at every try; nothing was done.
 * RK_EUNAVAILABLE: the platform was not reached; nothing was done.
 * RK_EUNKNOWN: the change may be in the log. rk_last_error() names its id, by
 * which it can be looked up. */
enum rk_status rk_session_commit(struct rk_session *s, const char *author,
                                 const char *set, int64_t *number,
                                 struct rk_problems *problems);

/* Appends to set the JSON object that, committed as a change, turns the tree in
 * force into tree; "{}" if they are equal. */
void rk_session_diff(const struct rk_session *s, const struct rk_settings *tree,
                     struct rk_buf *set);

/* Fetches a path, e.g. "/status", from the entry node at the address entry. On
 * RK_OK, whatever the HTTP status, the caller frees *body. Returns RK_EUNAVAILABLE
 * if the node doesn't answer. */
enum rk_status rk_session_fetch(struct rk_session *s, const char *entry,
                                const char *path, char **body);

#endif
