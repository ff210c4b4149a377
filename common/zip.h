/* Compresses texts in the zlib format (RFC 1950), for messages between nodes that
 * would otherwise saturate a slow link. */
#ifndef RK_COMMON_ZIP_H
#define RK_COMMON_ZIP_H

#include <stdbool.h>
#include <stddef.h>

#include "common/util.h"

/* Appends the compressed text to out. Returns false, and appends nothing, when zlib
 * runs out of memory or out would exceed its limit. */
bool rk_zlib_compress(struct rk_buf *out, const char *text, size_t len);

/* Returns the decompressed text, NUL-terminated; the caller frees it. text_len is
 * its expected length in bytes. Returns NULL when the data is invalid or the length
 * differs. */
char *rk_zlib_decompress(const void *data, size_t len, size_t text_len);

#endif
