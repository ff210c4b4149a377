#include "core/settings.h"

#include <assert.h>
#include <ctype.h>
#include <json-c/json.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "common/util.h"
#include "core/json_lines.h"

#define SVC     RK_SEC_SERVICES
#define ORG     RK_SEC_ORGANISATIONS
#define CLS     RK_SEC_CLASSES
#define VMC     RK_SEC_VM_CLASSES
#define DOM     RK_SEC_DOMAINS
#define HOUR_MS 3600000
#define DAY_MS  86400000

static const struct {
    const char *name;
    unsigned bit;
} sections[] = {
    {"services", SVC},   {"organisations", ORG},   {"classes", CLS},
    {"vm_classes", VMC}, {"failure_domains", DOM},
};

#define BOOLEAN(n, sec, def, h)                                                    \
    {                                                                              \
        .name = n, .type = RK_TYPE_BOOL, .sections = sec, .fallback = def,         \
        .help = h                                                                  \
    }
#define INTEGER(n, sec, lo, hi, def, h)                                            \
    {                                                                              \
        .name = n, .type = RK_TYPE_INT, .sections = sec, .min = lo, .max = hi,     \
        .fallback = def, .help = h                                                 \
    }
#define NUMBER(n, sec, lo, hi, def, h)                                             \
    {                                                                              \
        .name = n, .type = RK_TYPE_NUMBER, .sections = sec, .min = lo, .max = hi,  \
        .fallback = def, .help = h                                                 \
    }
#define CHOICE(n, sec, c, def, h)                                                  \
    {                                                                              \
        .name = n, .type = RK_TYPE_STRING, .sections = sec, .choices = c,          \
        .fallback = def, .help = h                                                 \
    }
#define REFERENCE(n, sec, ref, h)                                                  \
    {                                                                              \
        .name = n, .type = RK_TYPE_STRING, .sections = sec, .reference = ref,      \
        .help = h                                                                  \
    }
#define TEXT(n, sec, h)                                                            \
    {                                                                              \
        .name = n, .type = RK_TYPE_STRING, .sections = sec, .help = h              \
    }

static const struct rk_setting_info schema[] = {
    CHOICE("kind", SVC, "engine|service", NULL,
           "what the upstreams of a service are"),
    TEXT("model", SVC, "model an engine service serves, as callers name it"),
    BOOLEAN("repeatable", SVC, "false",
            "a call may be sent again after it may have run"),
    BOOLEAN("refusal_not_run", SVC, "false",
            "a 429 or 503 of the upstream proves: not run"),
    BOOLEAN("checks_fences", SVC, "false",
            "upstreams refuse orders of an older epoch"),
    BOOLEAN("kv_move", SVC, "true",
            "streams take their KV cache along when they move"),
    BOOLEAN("key_required", SVC, "false", "calls must carry an Idempotency-Key"),
    CHOICE("claims_when_down", SVC, "refuse|local", "\"refuse\"",
           "keyed calls while the platform is unreachable"),
    INTEGER("deadline_ms", SVC, 10, DAY_MS, "30000",
            "longest time a call may take"),
    INTEGER("connect_ms", SVC, 1, 60000, "500",
            "longest time to connect to an upstream"),
    INTEGER("attempt_ms", SVC, 10, DAY_MS, "10000",
            "silence after which an attempt is given up"),
    INTEGER("target_first_ms", SVC, 1, HOUR_MS, "1600",
            "latency target of the first token or answer"),
    INTEGER("target_token_ms", SVC, 1, 60000, "28",
            "latency target between tokens"),
    INTEGER("vm_slots", SVC, 1, 4096, "4", "calls one upstream vm runs at once"),
    INTEGER("cache_tokens", SVC, 0, 1e9, "16000", "prefix cache of one engine"),
    NUMBER("prefill_base_ms", SVC, 0, 10000, "20",
           "prefill time of an empty prompt"),
    NUMBER("prefill_token_ms", SVC, 0, 1000, "0.2",
           "prefill time of an uncached token"),
    NUMBER("token_ms", SVC, 0, 1000, "15", "time between tokens of an idle engine"),
    INTEGER("min_vms", SVC | DOM, 0, 10000, "0",
            "upstream vms to hold in each failure domain"),
    INTEGER("rank", CLS, 0, 7, "4", "0 is served first"),
    BOOLEAN("deferrable", CLS, "false", "may wait until its deadline is near"),
    INTEGER("promote_ms", CLS, 0, DAY_MS, "60000",
            "time before the deadline at which deferred work turns urgent"),
    INTEGER("queue_ms", CLS, 1, DAY_MS, "10000",
            "longest time a call may wait for a slot"),
    INTEGER("class_deadline_ms", CLS, 10, DAY_MS, NULL,
            "deadline of the class; goes before the service's"),
    INTEGER("weight", ORG, 1, 1000, "1", "share among organisations of one class"),
    INTEGER("max_in_flight", ORG, 1, 100000, "1000",
            "calls of an organisation at one entry vm"),
    REFERENCE("default_class", ORG, "classes", "class of calls that name none"),
    NUMBER("price", VMC, 0, 10000, NULL, "price of a vm hour"),
    BOOLEAN("reclaimable", VMC, "true", "the platform may take the vm back"),
    TEXT("region", DOM, "region the failure domain lies in"),
    INTEGER("retry_budget_pct", RK_SEC_ROOT, 0, 100, "10",
            "retries, as a share of calls"),
    INTEGER("claim_shards", RK_SEC_ROOT, 1, 256, "8", "shards of idempotency keys"),
    INTEGER("claim_commit_ms", RK_SEC_ROOT, 0, 10000, "10",
            "time a claim waits for others to share its write"),
    INTEGER("claim_writes_per_s", RK_SEC_ROOT, 1, 10000, "60",
            "writes at the platform that all claims together may make"),
    INTEGER("claim_retention_s", RK_SEC_ROOT, 10, 86400, "900",
            "how long a key is remembered"),
    INTEGER("lease_ms", RK_SEC_ROOT, 200, 600000, "6000",
            "life of a keeper's lease"),
    INTEGER("max_calls", RK_SEC_ROOT, 1, 1000000, "4000",
            "calls in flight at one entry vm"),
    NUMBER("weight_cost", RK_SEC_ROOT, 0, 1000, "1",
           "weight of cost when vms are chosen"),
    NUMBER("weight_recompute", RK_SEC_ROOT, 0, 1000, "1",
           "weight of recomputed tokens when vms are chosen"),
};

struct rk_settings {
    struct json_object *root;
};

const struct rk_setting_info *rk_settings_schema(size_t *count)
{
    *count = RK_ARRAY_LEN(schema);
    return schema;
}

static const struct rk_setting_info *find_info(const char *name)
{
    for (size_t i = 0; i < RK_ARRAY_LEN(schema); i++)
        if (!strcmp(schema[i].name, name))
            return &schema[i];
    return NULL;
}

static unsigned section_bit(const char *name)
{
    for (size_t i = 0; i < RK_ARRAY_LEN(sections); i++)
        if (!strcmp(sections[i].name, name))
            return sections[i].bit;
    return 0;
}

/* ---- checks ---- */

struct check {
    struct rk_problems *problems;
    const struct rk_jsonlines *lines; /* line numbers; NULL: unknown */
    struct json_object *root;
};

/* Adds a problem; the message says what is expected at path. */
static void add_problem(struct check *c, const char *path, const char *fmt, ...)
    __attribute__((format(printf, 3, 4)));

static void add_problem(struct check *c, const char *path, const char *fmt, ...)
{
    size_t at = c->problems->count++;
    if (at >= RK_MAX_PROBLEMS)
        return;
    struct rk_problem *p = &c->problems->items[at];
    *p = (struct rk_problem){0};
    rk_strcpy(p->path, sizeof(p->path), path);
    p->line = c->lines ? rk_jsonlines_find(c->lines, path) : 0;
    va_list ap;
    va_start(ap, fmt);
    vsnprintf(p->expected, sizeof(p->expected), fmt, ap);
    va_end(ap);
}

/* Returns whether s is a valid name of a node, or a valid string value. */
static bool valid_name(const char *s)
{
    size_t len = strlen(s);
    if (!len || len >= RK_ID_MAX)
        return false;
    for (; *s; s++)
        if (!isalnum((unsigned char)*s) && !strchr("-_.", *s))
            return false;
    return true;
}

/* Returns whether s is one of choices, "a|b". */
static bool in_choices(const char *choices, const char *s)
{
    size_t len = strlen(s);
    for (const char *p = choices; p; p = strchr(p, '|')) {
        p += *p == '|';
        if (!strncmp(p, s, len) && (p[len] == '|' || !p[len]))
            return true;
    }
    return false;
}

static struct json_object *member(struct json_object *o, const char *name)
{
    struct json_object *v;
    return o && json_object_object_get_ex(o, name, &v) ? v : NULL;
}

static void check_number(struct check *c, const char *path,
                         const struct rk_setting_info *info, struct json_object *v)
{
    bool is_int = json_object_is_type(v, json_type_int);
    if (!is_int &&
        (info->type == RK_TYPE_INT || !json_object_is_type(v, json_type_double))) {
        add_problem(c, path, "expected %s from %g to %g",
                    info->type == RK_TYPE_INT ? "a whole number" : "a number",
                    info->min, info->max);
        return;
    }
    double x = json_object_get_double(v);
    if (!(x >= info->min && x <= info->max))
        add_problem(c, path, "expected a number from %g to %g, found %g", info->min,
                    info->max, x);
}

static void check_string(struct check *c, const char *path,
                         const struct rk_setting_info *info, struct json_object *v)
{
    if (!json_object_is_type(v, json_type_string)) {
        add_problem(c, path, "expected a string%s%s", info->choices ? " of " : "",
                    info->choices ? info->choices : "");
        return;
    }
    const char *s = json_object_get_string(v);
    if (info->choices && !in_choices(info->choices, s))
        add_problem(c, path, "expected one of %s, found '%.40s'", info->choices, s);
    else if (!valid_name(s))
        add_problem(c, path, "expected a name of at most %d letters, digits, '-_.'",
                    RK_ID_MAX - 1);
    else if (info->reference && !member(member(c->root, info->reference), s))
        add_problem(c, path, "expected a member of /%s, found '%s'",
                    info->reference, s);
}

static void check_value(struct check *c, const char *path, const char *name,
                        unsigned section, struct json_object *v)
{
    const struct rk_setting_info *info = find_info(name);
    if (!info) {
        add_problem(c, path, "expected a known setting; '%.40s' is none", name);
        return;
    }
    if (section != RK_SEC_ROOT && !(info->sections & section)) {
        add_problem(c, path,
                    "expected a setting of this section; '%s' belongs elsewhere",
                    name);
        return;
    }
    if (info->type == RK_TYPE_BOOL && !json_object_is_type(v, json_type_boolean))
        add_problem(c, path, "expected true or false");
    else if (info->type == RK_TYPE_INT || info->type == RK_TYPE_NUMBER)
        check_number(c, path, info, v);
    else if (info->type == RK_TYPE_STRING)
        check_string(c, path, info, v);
}

/* Checks a node and those below it. depth: 0 for a section, 1 for its members, 2
 * for the calls of a service. */
static void check_node(struct check *c, const char *path, unsigned section,
                       int depth, struct json_object *node)
{
    int deepest = section == SVC ? 2 : 1;
    json_object_object_foreach(node, key, v)
    {
        char sub[RK_SETTING_PATH_MAX];
        int n = snprintf(sub, sizeof(sub), "%s/%s", path, key);
        if (n >= (int)sizeof(sub) || !valid_name(key)) {
            add_problem(c, path,
                        "expected names of letters, digits, '-_.', found '%.40s'",
                        key);
        } else if (!json_object_is_type(v, json_type_object)) {
            check_value(c, sub, key, section, v);
        } else if (depth >= deepest) {
            add_problem(c, sub, "expected a value: no nodes stand this deep");
        } else if (depth > 0 && find_info(key)) {
            add_problem(c, sub, "expected a value: '%s' is a setting, not a node",
                        key);
        } else {
            check_node(c, sub, section, depth + 1, v);
        }
    }
}

static void check_root(struct check *c)
{
    json_object_object_foreach(c->root, key, v)
    {
        char path[RK_SETTING_PATH_MAX];
        snprintf(path, sizeof(path), "/%.200s", key);
        unsigned bit = section_bit(key);
        if (!json_object_is_type(v, json_type_object)) {
            if (bit)
                add_problem(c, path, "expected a node of settings: { ... }");
            else
                check_value(c, path, key, RK_SEC_ROOT, v);
        } else if (!bit) {
            add_problem(c, path,
                        "expected services, organisations, classes, vm_classes or "
                        "failure_domains");
        } else {
            check_node(c, path, bit, 0, v);
        }
    }
}

/* Checks rules on the effective values of a service. */
static void check_service(struct check *c, const struct rk_settings *s,
                          const char *name)
{
    char node[RK_SETTING_PATH_MAX];
    snprintf(node, sizeof(node), "/services/%s", name);
    const char *kind = rk_settings_str(s, node, "kind");
    if (!kind)
        add_problem(c, node, "expected a kind (engine or service) here or above");
    else if (!strcmp(kind, "engine") && !rk_settings_str(s, node, "model"))
        add_problem(c, node, "expected a model: the kind is engine");
    int64_t retention = rk_settings_int(s, "", "claim_retention_s") * 1000;
    if (rk_settings_int(s, node, "deadline_ms") > retention &&
        !rk_settings_bool(s, node, "repeatable"))
        add_problem(c, node,
                    "expected deadline_ms within claim_retention_s: a key must "
                    "outlive its call");
}

/* Checks rules on effective values, for which the tree's own values must be
 * valid. */
static void check_effective_values(struct check *c, const struct rk_settings *s)
{
    struct json_object *services = member(c->root, "services");
    if (services) {
        json_object_object_foreach(services, name, v)
        {
            if (json_object_is_type(v, json_type_object))
                check_service(c, s, name);
        }
    }
    struct json_object *classes = member(c->root, "vm_classes");
    if (classes) {
        json_object_object_foreach(classes, name, v)
        {
            char node[RK_SETTING_PATH_MAX];
            snprintf(node, sizeof(node), "/vm_classes/%s", name);
            if (json_object_is_type(v, json_type_object) &&
                !rk_settings_get(s, node, "price", NULL))
                add_problem(c, node, "expected a price here or above");
        }
    }
}

static enum rk_status make_checked(struct json_object *root,
                                   const struct rk_jsonlines *lines,
                                   struct rk_settings **out,
                                   struct rk_problems *problems)
{
    struct check c = {.problems = problems, .lines = lines, .root = root};
    if (!json_object_is_type(root, json_type_object)) {
        add_problem(&c, "/", "expected a tree: { ... }");
        return rk_fail(RK_EINVAL, "not a tree of settings");
    }
    check_root(&c);
    struct rk_settings *s = rk_alloc(1, sizeof(*s));
    s->root = json_object_get(root);
    if (!problems->count)
        check_effective_values(&c, s);
    /* A snapshot of the tree must fit into one object of the platform. */
    if (strlen(json_object_to_json_string(root)) > RK_SETTINGS_MAX_BYTES)
        add_problem(&c, "/", "expected at most %d bytes in all",
                    RK_SETTINGS_MAX_BYTES);
    if (problems->count) {
        rk_settings_destroy(s);
        return rk_fail(RK_EINVAL, "%s:%d: %s", problems->items[0].path,
                       problems->items[0].line, problems->items[0].expected);
    }
    *out = s;
    return RK_OK;
}

enum rk_status rk_settings_from_json(struct json_object *root,
                                     struct rk_settings **out,
                                     struct rk_problems *problems)
{
    problems->count = 0;
    return make_checked(root, NULL, out, problems);
}

enum rk_status rk_settings_parse(const char *text, struct rk_settings **out,
                                 struct rk_problems *problems)
{
    problems->count = 0;
    struct json_tokener *tok = json_tokener_new();
    struct json_object *root =
        json_tokener_parse_ex(tok, text, (int)strlen(text) + 1);
    enum json_tokener_error err = json_tokener_get_error(tok);
    size_t end = json_tokener_get_parse_end(tok);
    json_tokener_free(tok);
    if (err != json_tokener_success) {
        json_object_put(root);
        problems->count = 1;
        problems->items[0] = (struct rk_problem){.path = "/"};
        problems->items[0].line = rk_jsonlines_line_at(text, end);
        snprintf(problems->items[0].expected, sizeof(problems->items[0].expected),
                 "expected JSON: %s", json_tokener_error_desc(err));
        return rk_fail(RK_EINVAL, "line %d: %s", problems->items[0].line,
                       json_tokener_error_desc(err));
    }
    struct rk_jsonlines *lines = rk_jsonlines_create(text);
    int line;
    const char *duplicate = rk_jsonlines_duplicate(lines, &line);
    enum rk_status st;
    if (duplicate) {
        struct check c = {.problems = problems, .lines = lines};
        add_problem(&c, duplicate, "expected each name once");
        problems->items[0].line = line;
        st = rk_fail(RK_EINVAL, "%s:%d: given twice", duplicate, line);
    } else {
        st = make_checked(root, lines, out, problems);
    }
    rk_jsonlines_destroy(lines);
    json_object_put(root);
    return st;
}

struct rk_settings *rk_settings_empty(void)
{
    struct rk_settings *s = rk_alloc(1, sizeof(*s));
    s->root = json_object_new_object();
    return s;
}

void rk_settings_destroy(struct rk_settings *s)
{
    if (!s)
        return;
    json_object_put(s->root);
    free(s);
}

struct json_object *rk_settings_json(const struct rk_settings *s)
{
    return s->root;
}

/* ---- look-up ---- */

/* Returns the built-in default of a setting, parsed once per thread; NULL: none. */
static struct json_object *fallback_value(const struct rk_setting_info *info)
{
    static _Thread_local struct json_object *cache[RK_ARRAY_LEN(schema)];
    size_t i = (size_t)(info - schema);
    if (!info->fallback)
        return NULL;
    if (!cache[i])
        cache[i] = json_tokener_parse(info->fallback);
    return cache[i];
}

/* Copies the next segment of a path, cut to size, and returns the position behind
 * it. */
static const char *next_segment(const char *p, char *segment, size_t size)
{
    size_t n = 0;
    p += *p == '/';
    while (*p && *p != '/') {
        if (n + 1 < size)
            segment[n++] = *p;
        p++;
    }
    segment[n] = '\0';
    return p;
}

struct json_object *rk_settings_get(const struct rk_settings *s, const char *node,
                                    const char *name,
                                    char origin[RK_SETTING_PATH_MAX])
{
    const struct rk_setting_info *info = find_info(name);
    assert(info);
    struct json_object *at = s->root, *found = member(at, name);
    size_t found_len = 0;
    const char *p = node;
    while (*p) {
        char segment[RK_ID_MAX];
        p = next_segment(p, segment, sizeof(segment));
        at = member(at, segment);
        if (!json_object_is_type(at, json_type_object))
            break;
        struct json_object *v = member(at, name);
        if (v) {
            found = v;
            found_len = (size_t)(p - node);
        }
    }
    if (origin && found)
        snprintf(origin, RK_SETTING_PATH_MAX, "%.*s/%s", (int)found_len, node,
                 name);
    else if (origin)
        origin[0] = '\0';
    return found ? found : fallback_value(info);
}

bool rk_settings_bool(const struct rk_settings *s, const char *node,
                      const char *name)
{
    return json_object_get_boolean(rk_settings_get(s, node, name, NULL));
}

int64_t rk_settings_int(const struct rk_settings *s, const char *node,
                        const char *name)
{
    return json_object_get_int64(rk_settings_get(s, node, name, NULL));
}

double rk_settings_num(const struct rk_settings *s, const char *node,
                       const char *name)
{
    return json_object_get_double(rk_settings_get(s, node, name, NULL));
}

const char *rk_settings_str(const struct rk_settings *s, const char *node,
                            const char *name)
{
    struct json_object *v = rk_settings_get(s, node, name, NULL);
    return v ? json_object_get_string(v) : NULL;
}

/* Returns the node at a path, and sets *section to its section's bit, 0 for the
 * root; NULL: there is no such node. */
static struct json_object *find_node(const struct rk_settings *s, const char *node,
                                     unsigned *section)
{
    struct json_object *at = s->root;
    *section = 0;
    for (const char *p = node; *p;) {
        char segment[RK_ID_MAX];
        p = next_segment(p, segment, sizeof(segment));
        if (!*section)
            *section = section_bit(segment);
        if (segment[0])
            at = member(at, segment);
    }
    return json_object_is_type(at, json_type_object) ? at : NULL;
}

enum rk_status rk_settings_explain(const struct rk_settings *s, const char *node,
                                   struct rk_buf *out)
{
    unsigned section;
    if (!strcmp(node, "/"))
        node = "";
    if (!find_node(s, node, &section))
        return rk_fail(RK_ENOTFOUND, "%s: no such node", node);
    for (size_t i = 0; i < RK_ARRAY_LEN(schema); i++) {
        if (section && !(schema[i].sections & section))
            continue;
        char origin[RK_SETTING_PATH_MAX];
        struct json_object *v = rk_settings_get(s, node, schema[i].name, origin);
        rk_buf_printf(out, "%-18s = %-12s  from %s\n", schema[i].name,
                      v ? json_object_to_json_string(v) : "(none)",
                      origin[0] ? origin : "built-in default");
    }
    return RK_OK;
}
