/* Hash index over an array of rows that each begin with their name, for look-ups in
 * constant time. The caller owns the rows. Rows are only added: they are removed
 * all at once, by rk_name_index_clear(). */
#ifndef RK_CORE_NAME_INDEX_H
#define RK_CORE_NAME_INDEX_H

#include <stddef.h>
#include <stdint.h>

#define RK_NO_ROW SIZE_MAX

/* An index; zeroed, it is empty and ready for use. */
struct rk_name_index {
    uint32_t *slots; /* hash table of row numbers plus one; 0: free slot */
    size_t cap;      /* number of slots: a power of two, or 0 */
    size_t len;      /* number of rows */
};

/* Returns the number of the row that has a name; RK_NO_ROW: none has it. row_size:
 * size of a row in bytes. */
size_t rk_name_index_find(const struct rk_name_index *n, const void *rows,
                          size_t row_size, const char *name);
/* Adds row number `at` to the index. Rows must be added in the order of the array,
 * from number 0 on. Of two rows with the same name, the later one is found. */
void rk_name_index_add(struct rk_name_index *n, const void *rows, size_t row_size,
                       size_t at);
/* Appends a row to an array whose rows are all indexed, and indexes the new row. It
 * is zeroed, but for its name, which is cut to fit RK_ID_MAX bytes. *len and *cap
 * are the used and the allocated rows, and are updated. Returns the array, which
 * may have moved. */
void *rk_name_index_append(struct rk_name_index *n, void *rows, size_t *len,
                           size_t *cap, size_t row_size, const char *name);
/* Empties the index and keeps its memory. */
void rk_name_index_clear(struct rk_name_index *n);
/* Empties the index and frees its memory. */
void rk_name_index_free(struct rk_name_index *n);

#endif
