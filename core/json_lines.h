/* Line numbers of the keys in a JSON text with comments, so that messages about a
 * wrong setting can name its line: json-c keeps no positions. Also finds duplicate
 * keys, which json-c accepts. Paths are "/a/b" for key "b" in the object of key
 * "a". */
#ifndef RK_CORE_JSON_LINES_H
#define RK_CORE_JSON_LINES_H

#include <stddef.h>

struct rk_jsonlines;

/* Indexes the keys of text, which json-c must have accepted. Never fails. Keys
 * deeper than 16 objects and paths of 512 bytes or more are left out; a name is cut
 * to 2 * RK_ID_MAX - 1 bytes. */
struct rk_jsonlines *rk_jsonlines_create(const char *text);
/* Frees the index. NULL is allowed. */
void rk_jsonlines_destroy(struct rk_jsonlines *jl);

/* Returns the line, from 1 on, of the key at a path; 0: unknown. */
int rk_jsonlines_find(const struct rk_jsonlines *jl, const char *path);

/* Returns the first path that occurs twice, and sets *line to the line of its
 * second occurrence; NULL: there is none. Borrowed from the index. */
const char *rk_jsonlines_duplicate(const struct rk_jsonlines *jl, int *line);

/* Returns the line, from 1 on, of the byte at offset in text. */
int rk_jsonlines_line_at(const char *text, size_t offset);

#endif
