#include "core/json_lines.h"

#include <stdlib.h>
#include <string.h>

#include "common/util.h"

#define MAX_DEPTH    16
#define PATH_MAX_LEN 512
#define BUCKETS      4096

struct key_position {
    char *path;
    int line;
    struct key_position *next; /* in the same bucket */
};

struct rk_jsonlines {
    struct key_position *buckets[BUCKETS];
    const char *duplicate; /* first path that occurred twice; NULL: none */
    int duplicate_line;
};

struct scanner {
    const char *p;
    int line;
    int depth; /* of objects */
    char path[PATH_MAX_LEN];
    size_t path_len[MAX_DEPTH + 1]; /* length of path up to its key at a depth */
};

static void add_key(struct rk_jsonlines *jl, const char *path, int line)
{
    if (!jl->duplicate && rk_jsonlines_find(jl, path)) {
        jl->duplicate = rk_strdup(path);
        jl->duplicate_line = line;
    }
    struct key_position **bucket = &jl->buckets[rk_hash_str(0, path) % BUCKETS];
    struct key_position *p = rk_alloc(1, sizeof(*p));
    *p = (struct key_position){
        .path = rk_strdup(path), .line = line, .next = *bucket};
    *bucket = p;
}

static void skip_comment(struct scanner *s)
{
    if (s->p[1] == '/') {
        while (*s->p && *s->p != '\n')
            s->p++;
        return;
    }
    const char *end = strstr(s->p + 2, "*/");
    for (; *s->p && (!end || s->p < end + 2); s->p++)
        s->line += *s->p == '\n';
}

/* Copies the string that starts at s->p, after its opening quote, and steps behind
 * its closing one. Of an escape sequence, the backslash is dropped and the rest
 * copied. */
static void read_string(struct scanner *s, char *out, size_t size)
{
    size_t n = 0;
    while (*s->p && *s->p != '"') {
        if (*s->p == '\\' && s->p[1])
            s->p++;
        s->line += *s->p == '\n';
        if (n + 1 < size)
            out[n++] = *s->p;
        s->p++;
    }
    out[n] = '\0';
    if (*s->p)
        s->p++;
}

/* Returns whether a colon follows, so that the string before s->p is a key. */
static int is_key(const struct scanner *s)
{
    const char *p = s->p;
    while (*p == ' ' || *p == '\t' || *p == '\n' || *p == '\r')
        p++;
    return *p == ':';
}

/* Steps over a string, and adds it to the index if it is a key. */
static void scan_string(struct rk_jsonlines *jl, struct scanner *s)
{
    char key[RK_ID_MAX * 2];
    int line = s->line;
    s->p++;
    read_string(s, key, sizeof(key));
    if (!is_key(s) || s->depth < 1 || s->depth > MAX_DEPTH)
        return;
    size_t at = s->path_len[s->depth - 1];
    if (at + strlen(key) + 2 > sizeof(s->path))
        return;
    s->path[at] = '/';
    strcpy(s->path + at + 1, key);
    s->path_len[s->depth] = at + 1 + strlen(key);
    add_key(jl, s->path, line);
}

struct rk_jsonlines *rk_jsonlines_create(const char *text)
{
    struct rk_jsonlines *jl = rk_alloc(1, sizeof(*jl));
    struct scanner s = {.p = text, .line = 1};
    while (*s.p) {
        switch (*s.p) {
        case '/':
            skip_comment(&s);
            continue;
        case '"':
            scan_string(jl, &s);
            continue;
        case '{':
            s.depth++;
            break;
        case '}':
            s.depth -= s.depth > 0;
            break;
        case '\n':
            s.line++;
            break;
        default:
            break;
        }
        s.p++;
    }
    return jl;
}

void rk_jsonlines_destroy(struct rk_jsonlines *jl)
{
    if (!jl)
        return;
    for (size_t i = 0; i < BUCKETS; i++) {
        for (struct key_position *p = jl->buckets[i], *next; p; p = next) {
            next = p->next;
            free(p->path);
            free(p);
        }
    }
    free((char *)jl->duplicate);
    free(jl);
}

int rk_jsonlines_find(const struct rk_jsonlines *jl, const char *path)
{
    const struct key_position *p = jl->buckets[rk_hash_str(0, path) % BUCKETS];
    while (p && strcmp(p->path, path) != 0)
        p = p->next;
    return p ? p->line : 0;
}

const char *rk_jsonlines_duplicate(const struct rk_jsonlines *jl, int *line)
{
    *line = jl->duplicate_line;
    return jl->duplicate;
}

int rk_jsonlines_line_at(const char *text, size_t offset)
{
    int line = 1;
    for (size_t i = 0; i < offset && text[i]; i++)
        line += text[i] == '\n';
    return line;
}
