/* The operators' settings tree. A JSON object is a node, anything else is a value;
 * a node inherits each value of its parent that it doesn't override.
 *
 *   { "deadline_ms": 30000,              inherited by all nodes below
 *     "services": { "slots": { "kind": "service",
 *                              "confirm": { "deadline_ms": 5000 } } },
 *     "organisations": {...}, "classes": {...}, "vm_classes": {...},
 *     "failure_domains": {...} }
 *
 * A tree is immutable. rillknotctl and all nodes run the same checks, so that they
 * accept and skip the same changes. */
#ifndef RK_CORE_SETTINGS_H
#define RK_CORE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct json_object;
struct rk_settings;
struct rk_buf;

#define RK_SETTING_PATH_MAX 256 /* bytes, the NUL included */
#define RK_MAX_PROBLEMS     32  /* problems kept of one check */
#define RK_SETTINGS_MAX_BYTES                                                      \
    (900 * 1024) /* of a tree: its snapshot must fit an object of the platform */

/* Sections of the tree, as bits. All settings may also be set at the root. */
enum rk_section {
    RK_SEC_ROOT = 1 << 0,
    RK_SEC_SERVICES = 1 << 1,
    RK_SEC_ORGANISATIONS = 1 << 2,
    RK_SEC_CLASSES = 1 << 3,
    RK_SEC_VM_CLASSES = 1 << 4,
    RK_SEC_DOMAINS = 1 << 5,
};

enum rk_setting_type { RK_TYPE_BOOL, RK_TYPE_INT, RK_TYPE_NUMBER, RK_TYPE_STRING };

/* A row of the schema. All texts are static. */
struct rk_setting_info {
    const char *name;
    enum rk_setting_type type;
    unsigned sections;     /* enum rk_section bits */
    double min, max;       /* range of a number, both included */
    const char *choices;   /* allowed strings, "a|b"; NULL: any name */
    const char *reference; /* section in which the string must name a member;
                              NULL: none */
    const char *fallback;  /* JSON text of the built-in default; NULL: none */
    const char *help;      /* one line for operators */
};

/* Returns the schema, a static array of all known settings, and sets *count to its
 * length. */
const struct rk_setting_info *rk_settings_schema(size_t *count);

/* A place where a tree is invalid. */
struct rk_problem {
    char path[RK_SETTING_PATH_MAX];
    int line;           /* from 1 on; 0: unknown, as for a change */
    char expected[192]; /* what is expected there: one line for operators */
};

/* The problems that a check found. */
struct rk_problems {
    struct rk_problem items[RK_MAX_PROBLEMS];
    size_t count; /* those beyond RK_MAX_PROBLEMS are counted, not kept */
};

/* Parses and checks the JSON text of a whole tree. On RK_OK, *out is the tree,
 * which the caller destroys. On RK_EINVAL, *out is unchanged, and problems and
 * rk_last_error() say what is wrong. problems need not be initialised. */
enum rk_status rk_settings_parse(const char *text, struct rk_settings **out,
                                 struct rk_problems *problems);

/* Does the same with a JSON object. The tree takes a reference to root, which must
 * not be changed any more. */
enum rk_status rk_settings_from_json(struct json_object *root,
                                     struct rk_settings **out,
                                     struct rk_problems *problems);

/* Returns an empty tree, in which every setting has its built-in default. */
struct rk_settings *rk_settings_empty(void);
/* Frees a tree. NULL is allowed. */
void rk_settings_destroy(struct rk_settings *s);

/* Returns the tree as a JSON object; borrowed. */
struct json_object *rk_settings_json(const struct rk_settings *s);

/* Returns the effective value of a setting at a node ("/services/slots/confirm";
 * "": the root); NULL: neither the tree nor the schema gives one. name must be a
 * known setting. A node that doesn't exist gets the values of the nearest existing
 * one above it. origin, unless NULL, gets the path that the value comes from; "":
 * it is the built-in default or missing. The value is borrowed: from the tree, or,
 * if it is a built-in default, from the calling thread. */
struct json_object *rk_settings_get(const struct rk_settings *s, const char *node,
                                    const char *name,
                                    char origin[RK_SETTING_PATH_MAX]);

/* Each of these returns the effective value as a type; false, 0 or NULL: there is
 * none. A string is borrowed like the value. */
bool rk_settings_bool(const struct rk_settings *s, const char *node,
                      const char *name);
int64_t rk_settings_int(const struct rk_settings *s, const char *node,
                        const char *name);
double rk_settings_num(const struct rk_settings *s, const char *node,
                       const char *name);
const char *rk_settings_str(const struct rk_settings *s, const char *node,
                            const char *name);

/* Appends a line with value and origin for each setting that may be set at a node.
 * Returns RK_ENOTFOUND if there is no such node. */
enum rk_status rk_settings_explain(const struct rk_settings *s, const char *node,
                                   struct rk_buf *out);

#endif
