/* The operators' tree of settings. A JSON object is a node, anything else a
 * value; a node inherits each value from its parent unless it overrides it.
 *
 *   { "deadline_ms": 30000,              values for everything below
 *     "services": { "slots": { "kind": "service",
 *                              "confirm": { "deadline_ms": 5000 } } },
 *     "organisations": {...}, "classes": {...}, "vm_classes": {...},
 *     "failure_domains": {...} }
 *
 * A tree is immutable once made. The same checks run in rillknotctl and in
 * every node, so that all accept and all skip the same changes. */
#ifndef RK_CORE_SETTINGS_H
#define RK_CORE_SETTINGS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "common/status.h"

struct json_object;
struct rk_settings;
struct rk_buf;

#define RK_SETTING_PATH_MAX   256
#define RK_MAX_PROBLEMS       32
#define RK_SETTINGS_MAX_BYTES (900 * 1024)

/* The parts of the tree a setting may stand in (besides the root). */
enum rk_section {
    RK_SEC_ROOT = 1 << 0,
    RK_SEC_SERVICES = 1 << 1,
    RK_SEC_ORGANISATIONS = 1 << 2,
    RK_SEC_CLASSES = 1 << 3,
    RK_SEC_VM_CLASSES = 1 << 4,
    RK_SEC_DOMAINS = 1 << 5,
};

enum rk_setting_type { RK_TYPE_BOOL, RK_TYPE_INT, RK_TYPE_NUMBER, RK_TYPE_STRING };

struct rk_setting_info {
    const char *name;
    enum rk_setting_type type;
    unsigned sections;     /* enum rk_section bits */
    double min, max;       /* of numbers */
    const char *choices;   /* "a|b" for strings; NULL: free */
    const char *reference; /* section whose member the string must name */
    const char *fallback;  /* JSON of the built-in default; NULL: none */
    const char *help;
};

/* All known settings; *count gets their number. */
const struct rk_setting_info *rk_settings_schema(size_t *count);

struct rk_problem {
    char path[RK_SETTING_PATH_MAX];
    int line; /* 0: the text has no lines (a change) */
    char expected[192];
};

struct rk_problems {
    struct rk_problem items[RK_MAX_PROBLEMS];
    size_t count; /* beyond RK_MAX_PROBLEMS they are counted, not kept */
};

/* Parse and check a whole tree. On RK_EINVAL nothing is made and problems says
 * what is wrong. The caller destroys *out. */
enum rk_status rk_settings_parse(const char *text, struct rk_settings **out,
                                 struct rk_problems *problems);

/* The same from a JSON object, of which the tree takes a reference. */
enum rk_status rk_settings_from_json(struct json_object *root,
                                     struct rk_settings **out,
                                     struct rk_problems *problems);

/* A tree with nothing in it: every setting has its built-in default. */
struct rk_settings *rk_settings_empty(void);
void rk_settings_destroy(struct rk_settings *s);

/* The JSON behind the tree; borrowed. */
struct json_object *rk_settings_json(const struct rk_settings *s);

/* Effective value of a setting at a node ("/services/slots/confirm"), with the
 * path it comes from in origin ("" for the built-in default). NULL: no value
 * anywhere. Borrowed. */
struct json_object *rk_settings_get(const struct rk_settings *s, const char *node,
                                    const char *name,
                                    char origin[RK_SETTING_PATH_MAX]);

bool rk_settings_bool(const struct rk_settings *s, const char *node,
                      const char *name);
int64_t rk_settings_int(const struct rk_settings *s, const char *node,
                        const char *name);
double rk_settings_num(const struct rk_settings *s, const char *node,
                       const char *name);
const char *rk_settings_str(const struct rk_settings *s, const char *node,
                            const char *name);

/* Every setting that means something at the node: value and origin, a line
 * each. RK_ENOTFOUND when there is no such node. */
enum rk_status rk_settings_explain(const struct rk_settings *s, const char *node,
                                   struct rk_buf *out);

#endif
