/* rillknotctl: the operators' tool. Everything it changes goes through the log
 * of settings changes; everything it shows comes from there or from a node. */
#include <argp.h>
#include <errno.h>
#include <inttypes.h>
#include <json-c/json.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "common/util.h"
#include "core/procfile.h"
#include "core/settings.h"
#include "operators/session.h"

enum exit_code {
    EXIT_DONE = 0,
    EXIT_REFUSED = 1, /* wrong input: nothing was changed */
    EXIT_USAGE = 2,
    EXIT_DOWN = 3,     /* platform or node can't be reached: nothing was changed */
    EXIT_CONFLICT = 4, /* somebody else was first: nothing was changed */
    EXIT_UNKNOWN = 5,  /* it may or may not have been changed */
};

struct context {
    const char *platform;
    const char *entry;
    const char *author;
    bool quiet;
    char **args;
    int args_len;
};

static int exit_of(enum rk_status st)
{
    switch (st) {
    case RK_OK:
        return EXIT_DONE;
    case RK_ECONFLICT:
        return EXIT_CONFLICT;
    case RK_EUNKNOWN:
        return EXIT_UNKNOWN;
    case RK_EUNAVAILABLE:
        return EXIT_DOWN;
    default:
        return EXIT_REFUSED;
    }
}

static int fail(enum rk_status st)
{
    static const char *const words[] = {
        [EXIT_REFUSED] = "refused",
        [EXIT_DOWN] = "not reached",
        [EXIT_CONFLICT] = "conflict",
        [EXIT_UNKNOWN] = "unknown outcome",
    };
    fprintf(stderr, "%s: %s\n", words[exit_of(st)], rk_last_error());
    return exit_of(st);
}

static void print_problems(const char *file, const struct rk_problems *p)
{
    for (size_t i = 0; i < p->count && i < RK_MAX_PROBLEMS; i++) {
        const struct rk_problem *x = &p->items[i];
        if (x->line)
            fprintf(stderr, "%s:%d: %s: %s\n", file, x->line, x->path, x->expected);
        else
            fprintf(stderr, "%s%s%s: %s\n", file, *file ? ": " : "", x->path,
                    x->expected);
    }
    if (p->count > RK_MAX_PROBLEMS)
        fprintf(stderr, "and %zu more\n", p->count - RK_MAX_PROBLEMS);
}

static struct rk_session *open_session(const struct context *c, int *code)
{
    if (!c->platform) {
        fprintf(stderr, "rillknotctl: --platform or RILLKNOT_PLATFORM is needed\n");
        *code = EXIT_USAGE;
        return NULL;
    }
    struct rk_session *s = rk_session_create(c->platform);
    enum rk_status st = rk_session_load(s);
    if (st == RK_OK)
        return s;
    *code = fail(st);
    rk_session_destroy(s);
    return NULL;
}

/* ---- commands ---- */

static int check_file(const char *file, struct rk_settings **out)
{
    char *text = rk_read_file(file);
    if (!text)
        return fail(RK_EINVAL);
    struct rk_problems problems;
    enum rk_status st = rk_settings_parse(text, out, &problems);
    free(text);
    if (st == RK_OK)
        return EXIT_DONE;
    print_problems(file, &problems);
    return EXIT_REFUSED;
}

static int cmd_check(const struct context *c)
{
    int worst = EXIT_DONE;
    for (int i = 0; i < c->args_len; i++) {
        struct rk_settings *tree;
        int code = check_file(c->args[i], &tree);
        if (code == EXIT_DONE) {
            rk_settings_destroy(tree);
            if (!c->quiet)
                printf("%s: good\n", c->args[i]);
        } else {
            worst = code;
        }
    }
    return worst;
}

static int cmd_get(const struct context *c)
{
    int code = EXIT_REFUSED;
    struct rk_session *s = open_session(c, &code);
    if (!s)
        return code;
    const char *path = c->args[0], *slash = strrchr(path, '/');
    char node[RK_SETTING_PATH_MAX] = "", origin[RK_SETTING_PATH_MAX];
    size_t count;
    const struct rk_setting_info *schema = rk_settings_schema(&count);
    code = EXIT_REFUSED;
    if (slash && (size_t)(slash - path) < sizeof(node)) {
        memcpy(node, path, (size_t)(slash - path));
        for (size_t i = 0; i < count; i++) {
            if (strcmp(schema[i].name, slash + 1) != 0)
                continue;
            struct json_object *v = rk_settings_get(
                rk_changelog_tree(rk_session_log(s)), node, schema[i].name, origin);
            printf("%s\n", v ? json_object_to_json_string(v) : "null");
            code = EXIT_DONE;
        }
    }
    if (code != EXIT_DONE)
        fprintf(stderr, "refused: %s: expected /NODE/.../SETTING\n", path);
    rk_session_destroy(s);
    return code;
}

static int commit(const struct context *c, struct rk_session *s, const char *set)
{
    struct rk_problems problems;
    int64_t number;
    enum rk_status st = rk_session_commit(s, c->author, set, &number, &problems);
    if (st == RK_EINVAL) {
        print_problems("", &problems);
        return fail(st);
    }
    if (st != RK_OK)
        return fail(st);
    printf("accepted as change %" PRId64 "\n", number);
    return EXIT_DONE;
}

/* A value as JSON; a bare word is a string. */
static struct json_object *parse_value(const char *s)
{
    struct json_object *v = json_tokener_parse(s);
    return v || !strcmp(s, "null") ? v : json_object_new_string(s);
}

static int cmd_set(const struct context *c)
{
    struct json_object *set = json_object_new_object();
    for (int i = 0; i < c->args_len; i++) {
        char *eq = strchr(c->args[i], '=');
        if (!eq) {
            fprintf(stderr, "rillknotctl: expected PATH=VALUE, found %s\n",
                    c->args[i]);
            json_object_put(set);
            return EXIT_USAGE;
        }
        *eq = '\0';
        json_object_object_add(set, c->args[i], parse_value(eq + 1));
    }
    int code = EXIT_REFUSED;
    struct rk_session *s = open_session(c, &code);
    if (s) {
        code = commit(c, s, json_object_to_json_string(set));
        rk_session_destroy(s);
    }
    json_object_put(set);
    return code;
}

static int cmd_apply(const struct context *c)
{
    struct rk_settings *tree;
    int code = check_file(c->args[0], &tree);
    if (code != EXIT_DONE)
        return code;
    struct rk_session *s = open_session(c, &code);
    if (s) {
        struct rk_buf set = {0};
        rk_session_diff(s, tree, &set);
        if (!strcmp(set.data, "{}"))
            printf("nothing to change\n");
        else
            code = commit(c, s, set.data);
        rk_buf_free(&set);
        rk_session_destroy(s);
    }
    rk_settings_destroy(tree);
    return code;
}

static int cmd_explain(const struct context *c)
{
    int code = EXIT_REFUSED;
    struct rk_session *s = open_session(c, &code);
    if (!s)
        return code;
    struct rk_buf b = {0};
    enum rk_status st =
        rk_settings_explain(rk_changelog_tree(rk_session_log(s)), c->args[0], &b);
    code = st == RK_OK ? EXIT_DONE : fail(st);
    if (st == RK_OK)
        fputs(b.data, stdout);
    rk_buf_free(&b);
    rk_session_destroy(s);
    return code;
}

static int cmd_history(const struct context *c)
{
    int code = EXIT_REFUSED;
    struct rk_session *s = open_session(c, &code);
    if (!s)
        return code;
    const struct rk_changelog *log = rk_session_log(s);
    for (int64_t n = rk_changelog_head(log); n > 0; n--) {
        const char *text = rk_changelog_text(log, n);
        if (!text)
            break;
        printf("%" PRId64 " %s\n", n, text);
    }
    rk_session_destroy(s);
    return EXIT_DONE;
}

static const char *member(struct json_object *o, const char *name)
{
    struct json_object *v;
    return json_object_object_get_ex(o, name, &v) ? json_object_get_string(v) : "?";
}

static void print_status(struct json_object *o)
{
    struct json_object *members, *vms;
    printf("%-20s %-14s %-8s %-8s head %s (asked)\n", member(o, "id"),
           member(o, "failure_domain"), "alive", "", member(o, "settings_head"));
    json_object_object_get_ex(o, "members", &members);
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *m = json_object_array_get_idx(members, i);
        printf("%-20s %-14s %-8s %-8s head %s spare %s\n", member(m, "id"),
               member(m, "failure_domain"), member(m, "state"),
               !strcmp(member(m, "leaving"), "true") ? "leaving" : "",
               member(m, "settings_head"), member(m, "spare"));
    }
    json_object_object_get_ex(o, "vms", &vms);
    for (size_t i = 0; i < json_object_array_length(vms); i++) {
        struct json_object *v = json_object_array_get_idx(vms, i);
        printf("%-20s %-14s %-8s %-8s running %s queued %s\n", member(v, "id"),
               member(v, "service"), member(v, "state"), member(v, "vm_class"),
               member(v, "running"), member(v, "queued"));
    }
}

static int cmd_status(const struct context *c)
{
    if (!c->entry) {
        fprintf(stderr, "rillknotctl: --entry or RILLKNOT_ENTRY is needed\n");
        return EXIT_USAGE;
    }
    struct rk_session *s =
        rk_session_create(c->platform ? c->platform : "http://0:0");
    char *body = NULL;
    enum rk_status st = rk_session_page(s, c->entry, "/status", &body);
    struct json_object *o = st == RK_OK ? json_tokener_parse(body) : NULL;
    int code = EXIT_DONE;
    if (st != RK_OK)
        code = fail(st);
    else if (!o)
        code = fail(rk_fail(RK_EPROTO, "%s: not a status page", c->entry));
    else
        print_status(o);
    json_object_put(o);
    free(body);
    rk_session_destroy(s);
    return code;
}

static const struct command {
    const char *group, *name, *args, *help;
    int min_args, max_args;
    int (*run)(const struct context *c);
} commands[] = {
    {"settings", "check", "FILE...", "check trees; change nothing", 1, 1000,
     cmd_check},
    {"settings", "get", "PATH", "the value in force at PATH", 1, 1, cmd_get},
    {"settings", "set", "PATH=VALUE...", "change values; null takes one away", 1,
     1000, cmd_set},
    {"settings", "apply", "FILE", "change the tree into FILE's", 1, 1, cmd_apply},
    {"settings", "explain", "NODE", "each value at NODE and where it comes from", 1,
     1, cmd_explain},
    {"settings", "history", "", "accepted changes, newest first", 0, 0,
     cmd_history},
    {"status", NULL, "", "nodes, their settings and vms, as one node sees them", 0,
     0, cmd_status},
};

static char *help_filter(int key, const char *text, void *input)
{
    (void)input;
    if (key != ARGP_KEY_HELP_PRE_DOC)
        return (char *)text;
    struct rk_buf b = {0};
    rk_buf_addstr(
        &b, "Read and change the settings, and look at the nodes.\n\nCommands:\n");
    for (size_t i = 0; i < RK_ARRAY_LEN(commands); i++) {
        const struct command *c = &commands[i];
        char head[64];
        snprintf(head, sizeof(head), "%s %s%s%s", c->group, c->name ? c->name : "",
                 c->name ? " " : "", c->args);
        rk_buf_printf(&b, "  %-28s %s\n", head, c->help);
    }
    return b.data;
}

static error_t parse_opt(int key, char *arg, struct argp_state *state)
{
    struct context *c = state->input;
    switch (key) {
    case 'p':
        c->platform = arg;
        return 0;
    case 'e':
        c->entry = arg;
        return 0;
    case 'a':
        c->author = arg;
        return 0;
    case 'q':
        c->quiet = true;
        return 0;
    case ARGP_KEY_ARGS:
        c->args = state->argv + state->next;
        c->args_len = state->argc - state->next;
        return 0;
    case ARGP_KEY_NO_ARGS:
        argp_usage(state);
        return EINVAL;
    default:
        return ARGP_ERR_UNKNOWN;
    }
}

static const struct argp_option options[] = {
    {"platform", 'p', "URL", 0, "The platform's API (RILLKNOT_PLATFORM)", 0},
    {"entry", 'e', "IP:PORT", 0, "An entry node (RILLKNOT_ENTRY)", 0},
    {"author", 'a', "NAME", 0, "Who makes the change (USER)", 0},
    {"quiet", 'q', NULL, 0, "Say only what is wrong", 0},
    {0},
};

static const struct argp argp = {
    options,
    parse_opt,
    "COMMAND [ARG...]",
    "\vExit status: 0 done; 1 refused, nothing was changed; 2 wrong use; 3 not "
    "reached, nothing was changed; 4 conflict, nothing was changed; 5 unknown "
    "outcome: look with 'settings history' before trying again.",
    0,
    help_filter,
    0};

int main(int argc, char **argv)
{
    struct context c = {.platform = getenv("RILLKNOT_PLATFORM"),
                        .entry = getenv("RILLKNOT_ENTRY"),
                        .author = getenv("USER")};
    argp_parse(&argp, argc, argv, 0, NULL, &c);
    if (!c.author)
        c.author = "unknown";
    for (size_t i = 0; i < RK_ARRAY_LEN(commands); i++) {
        const struct command *cmd = &commands[i];
        int used = cmd->name ? 2 : 1;
        if (c.args_len < used || strcmp(cmd->group, c.args[0]) != 0 ||
            (cmd->name && strcmp(cmd->name, c.args[1]) != 0))
            continue;
        c.args += used;
        c.args_len -= used;
        if (c.args_len >= cmd->min_args && c.args_len <= cmd->max_args)
            return cmd->run(&c);
        fprintf(stderr, "rillknotctl: usage: %s %s %s\n", cmd->group,
                cmd->name ? cmd->name : "", cmd->args);
        return EXIT_USAGE;
    }
    fprintf(stderr, "rillknotctl: unknown command; see --help\n");
    return EXIT_USAGE;
}
