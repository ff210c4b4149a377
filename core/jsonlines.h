/* Where each key of a commented JSON text stands, so that a wrong setting can
 * be named by line: json-c keeps no positions. Also finds keys given twice,
 * which json-c lets pass. */
#ifndef RK_CORE_JSONLINES_H
#define RK_CORE_JSONLINES_H

#include <stddef.h>

struct rk_jsonlines;

/* Index text (which json-c has accepted). Never fails. */
struct rk_jsonlines *rk_jsonlines_create(const char *text);
void rk_jsonlines_destroy(struct rk_jsonlines *jl);

/* Line (from 1) of the key at "/a/b"; 0 when unknown. */
int rk_jsonlines_find(const struct rk_jsonlines *jl, const char *path);

/* The first path given twice and the line of its second place; NULL if none. */
const char *rk_jsonlines_duplicate(const struct rk_jsonlines *jl, int *line);

/* Line of the byte at offset. */
int rk_jsonlines_line_at(const char *text, size_t offset);

#endif
