/* rillknotctl: the operators' command-line tool. It changes settings only by
 * appending to the settings change log in the platform's store. Settings and
 * their history are read from that log; the status is read from an entry node. */
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
#include "operators/settings_session.h"

enum exit_code {
    EXIT_OK = 0,
    EXIT_REFUSED = 1, /* invalid input or another failure; nothing was changed */
    EXIT_USAGE = 2,
    EXIT_UNREACHABLE = 3, /* platform or node unreachable; nothing was changed */
    EXIT_CONFLICT = 4,    /* a concurrent change was first; nothing was changed */
    EXIT_OUTCOME_UNKNOWN = 5, /* the change may or may not have taken effect */
};

struct invocation {
    const char *platform;
    const char *entry;
    const char *author;
    bool quiet;
    char **args;
    int args_len;
};

static int exit_code_for(enum rk_status st)
{
    switch (st) {
    case RK_OK:
        return EXIT_OK;
    case RK_ECONFLICT:
        return EXIT_CONFLICT;
    case RK_EUNKNOWN:
        return EXIT_OUTCOME_UNKNOWN;
    case RK_EUNAVAILABLE:
        return EXIT_UNREACHABLE;
    default:
        return EXIT_REFUSED;
    }
}

/* Prints rk_last_error() with the label of the exit code. Returns the exit code. */
static int print_failure(enum rk_status st)
{
    static const char *const labels[] = {
        [EXIT_REFUSED] = "refused",
        [EXIT_UNREACHABLE] = "not reached",
        [EXIT_CONFLICT] = "conflict",
        [EXIT_OUTCOME_UNKNOWN] = "unknown outcome",
    };
    fprintf(stderr, "%s: %s\n", labels[exit_code_for(st)], rk_last_error());
    return exit_code_for(st);
}

/* Prints each problem with its file, line (if known) and settings path. */
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

/* Connects to the platform and loads the change log. Returns NULL on failure, with
 * the error printed and the exit code in *code. The caller destroys the session. */
static struct rk_session *open_session(const struct invocation *c, int *code)
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
    *code = print_failure(st);
    rk_session_destroy(s);
    return NULL;
}

/* ---- commands ---- */

/* Parses and validates a settings file, and prints its problems. Returns an exit
 * code; on EXIT_OK the caller owns *out. */
static int check_file(const char *file, struct rk_settings **out)
{
    char *text = rk_read_file(file);
    if (!text)
        return print_failure(RK_EINVAL);
    struct rk_problems problems;
    enum rk_status st = rk_settings_parse(text, out, &problems);
    free(text);
    if (st == RK_OK)
        return EXIT_OK;
    print_problems(file, &problems);
    return EXIT_REFUSED;
}

static int cmd_check(const struct invocation *c)
{
    int result = EXIT_OK;
    for (int i = 0; i < c->args_len; i++) {
        struct rk_settings *tree;
        int code = check_file(c->args[i], &tree);
        if (code == EXIT_OK) {
            rk_settings_destroy(tree);
            if (!c->quiet)
                printf("%s: good\n", c->args[i]);
        } else {
            result = code;
        }
    }
    return result;
}

static int cmd_get(const struct invocation *c)
{
    int code = EXIT_REFUSED;
    struct rk_session *s = open_session(c, &code);
    if (!s)
        return code;
    const char *path = c->args[0], *last_slash = strrchr(path, '/');
    char node[RK_SETTING_PATH_MAX] = "", origin[RK_SETTING_PATH_MAX];
    size_t count;
    const struct rk_setting_info *schema = rk_settings_schema(&count);
    code = EXIT_REFUSED;
    if (last_slash && (size_t)(last_slash - path) < sizeof(node)) {
        memcpy(node, path, (size_t)(last_slash - path));
        for (size_t i = 0; i < count; i++) {
            if (strcmp(schema[i].name, last_slash + 1) != 0)
                continue;
            struct json_object *v = rk_settings_get(
                rk_changelog_tree(rk_session_log(s)), node, schema[i].name, origin);
            printf("%s\n", v ? json_object_to_json_string(v) : "null");
            code = EXIT_OK;
        }
    }
    if (code != EXIT_OK)
        fprintf(stderr, "refused: %s: expected /NODE/.../SETTING\n", path);
    rk_session_destroy(s);
    return code;
}

/* Appends a change to the log and prints its number. `set` is a JSON object from
 * paths to values. Returns an exit code. */
static int commit_change(const struct invocation *c, struct rk_session *s,
                         const char *set)
{
    struct rk_problems problems;
    int64_t number;
    enum rk_status st = rk_session_commit(s, c->author, set, &number, &problems);
    if (st == RK_EINVAL) {
        print_problems("", &problems);
        return print_failure(st);
    }
    if (st != RK_OK)
        return print_failure(st);
    printf("accepted as change %" PRId64 "\n", number);
    return EXIT_OK;
}

/* Parses a value as JSON. Text that isn't valid JSON is taken as a string. */
static struct json_object *parse_value(const char *s)
{
    struct json_object *v = json_tokener_parse(s);
    return v || !strcmp(s, "null") ? v : json_object_new_string(s);
}

static int cmd_set(const struct invocation *c)
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
        code = commit_change(c, s, json_object_to_json_string(set));
        rk_session_destroy(s);
    }
    json_object_put(set);
    return code;
}

static int cmd_apply(const struct invocation *c)
{
    struct rk_settings *tree;
    int code = check_file(c->args[0], &tree);
    if (code != EXIT_OK)
        return code;
    struct rk_session *s = open_session(c, &code);
    if (s) {
        struct rk_buf set = {0};
        rk_session_diff(s, tree, &set);
        if (!strcmp(set.data, "{}"))
            printf("nothing to change\n");
        else
            code = commit_change(c, s, set.data);
        rk_buf_free(&set);
        rk_session_destroy(s);
    }
    rk_settings_destroy(tree);
    return code;
}

static int cmd_explain(const struct invocation *c)
{
    int code = EXIT_REFUSED;
    struct rk_session *s = open_session(c, &code);
    if (!s)
        return code;
    struct rk_buf b = {0};
    enum rk_status st =
        rk_settings_explain(rk_changelog_tree(rk_session_log(s)), c->args[0], &b);
    code = st == RK_OK ? EXIT_OK : print_failure(st);
    if (st == RK_OK)
        fputs(b.data, stdout);
    rk_buf_free(&b);
    rk_session_destroy(s);
    return code;
}

static int cmd_history(const struct invocation *c)
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
    return EXIT_OK;
}

/* Returns a member of a JSON object as text, or "?" if it is absent. */
static const char *member_text(struct json_object *o, const char *name)
{
    struct json_object *v;
    return json_object_object_get_ex(o, name, &v) ? json_object_get_string(v) : "?";
}

static void print_status(struct json_object *o)
{
    struct json_object *members, *vms;
    printf("%-20s %-14s %-8s %-8s head %s (asked)\n", member_text(o, "id"),
           member_text(o, "failure_domain"), "alive", "",
           member_text(o, "settings_head"));
    json_object_object_get_ex(o, "members", &members);
    for (size_t i = 0; i < json_object_array_length(members); i++) {
        struct json_object *m = json_object_array_get_idx(members, i);
        printf("%-20s %-14s %-8s %-8s head %s spare %s\n", member_text(m, "id"),
               member_text(m, "failure_domain"), member_text(m, "state"),
               !strcmp(member_text(m, "leaving"), "true") ? "leaving" : "",
               member_text(m, "settings_head"), member_text(m, "spare"));
    }
    json_object_object_get_ex(o, "vms", &vms);
    for (size_t i = 0; i < json_object_array_length(vms); i++) {
        struct json_object *v = json_object_array_get_idx(vms, i);
        printf("%-20s %-14s %-8s %-8s running %s queued %s\n", member_text(v, "id"),
               member_text(v, "service"), member_text(v, "state"),
               member_text(v, "vm_class"), member_text(v, "running"),
               member_text(v, "queued"));
    }
}

static int cmd_status(const struct invocation *c)
{
    if (!c->entry) {
        fprintf(stderr, "rillknotctl: --entry or RILLKNOT_ENTRY is needed\n");
        return EXIT_USAGE;
    }
    struct rk_session *s =
        rk_session_create(c->platform ? c->platform : "http://0:0");
    char *body = NULL;
    enum rk_status st = rk_session_fetch(s, c->entry, "/status", &body);
    struct json_object *o = st == RK_OK ? json_tokener_parse(body) : NULL;
    int code = EXIT_OK;
    if (st != RK_OK)
        code = print_failure(st);
    else if (!o)
        code = print_failure(rk_fail(RK_EPROTO, "%s: not a status page", c->entry));
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
    int (*run)(const struct invocation *c);
} commands[] = {
    {"settings", "check", "FILE...", "check trees; change nothing", 1, 1000,
     cmd_check},
    {"settings", "get", "PATH", "the effective value at PATH", 1, 1, cmd_get},
    {"settings", "set", "PATH=VALUE...", "change values; null removes one", 1, 1000,
     cmd_set},
    {"settings", "apply", "FILE", "change the tree so that it equals FILE's", 1, 1,
     cmd_apply},
    {"settings", "explain", "NODE", "each value at NODE and where it comes from", 1,
     1, cmd_explain},
    {"settings", "history", "", "accepted changes, newest first", 0, 0,
     cmd_history},
    {"status", NULL, "", "nodes, their settings and vms, as one node sees them", 0,
     0, cmd_status},
};

/* Argp help filter: puts the list of commands before the options. */
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
    struct invocation *c = state->input;
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
    {"quiet", 'q', NULL, 0, "Print only what is wrong", 0},
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
    struct invocation c = {.platform = getenv("RILLKNOT_PLATFORM"),
                           .entry = getenv("RILLKNOT_ENTRY"),
                           .author = getenv("USER")};
    argp_parse(&argp, argc, argv, 0, NULL, &c);
    if (!c.author)
        c.author = "unknown";
    for (size_t i = 0; i < RK_ARRAY_LEN(commands); i++) {
        const struct command *cmd = &commands[i];
        int name_args = cmd->name ? 2 : 1;
        if (c.args_len < name_args || strcmp(cmd->group, c.args[0]) != 0 ||
            (cmd->name && strcmp(cmd->name, c.args[1]) != 0))
            continue;
        c.args += name_args;
        c.args_len -= name_args;
        if (c.args_len >= cmd->min_args && c.args_len <= cmd->max_args)
            return cmd->run(&c);
        fprintf(stderr, "rillknotctl: usage: %s %s %s\n", cmd->group,
                cmd->name ? cmd->name : "", cmd->args);
        return EXIT_USAGE;
    }
    fprintf(stderr, "rillknotctl: unknown command; see --help\n");
    return EXIT_USAGE;
}
