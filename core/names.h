/* An index of rows by the name that each of them begins with: a look-up costs the
 * same however many rows there are. Rows are added, never taken out one by one.
 * Pure. */
#ifndef RK_CORE_NAMES_H
#define RK_CORE_NAMES_H

#include <stddef.h>
#include <stdint.h>

#define RK_NO_ROW SIZE_MAX

/* Zeroed: empty. */
struct rk_names {
    uint32_t *slots; /* hash table of places plus one; 0: free */
    size_t cap;      /* a power of two, or 0 */
    size_t len;
};

/* The place of a name among rows of so many bytes each; RK_NO_ROW: it has none. */
size_t rk_names_find(const struct rk_names *n, const void *rows, size_t row_size,
                     const char *name);
/* The row at a place is new; places are added in order, from 0 on. Of two with one
 * name, the later is found. */
void rk_names_add(struct rk_names *n, const void *rows, size_t row_size, size_t at);
/* Add a row, zeroed but for its name of RK_ID_MAX bytes at most, to rows that are
 * indexed in the order in which they stand. Returns the rows, which may have moved;
 * the new one is the last of *len. */
void *rk_names_append(struct rk_names *n, void *rows, size_t *len, size_t *cap,
                      size_t row_size, const char *name);
void rk_names_clear(struct rk_names *n); /* no row is left */
void rk_names_free(struct rk_names *n);

#endif
