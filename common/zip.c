#include "common/zip.h"

#include <stdlib.h>
#include <zlib.h>

/* Level 1 compresses JSON of many similar routes as well as level 6 does. */
#define COMPRESSION_LEVEL 1

bool rk_zlib_compress(struct rk_buf *out, const char *text, size_t len)
{
    uLongf size = compressBound(len);
    char *compressed = rk_alloc(1, size);
    bool ok = compress2((Bytef *)compressed, &size, (const Bytef *)text, len,
                        COMPRESSION_LEVEL) == Z_OK;
    ok = ok && rk_buf_add(out, compressed, size);
    free(compressed);
    return ok;
}

char *rk_zlib_decompress(const void *data, size_t len, size_t text_len)
{
    uLongf size = text_len;
    char *text = rk_alloc(1, text_len + 1);
    if (uncompress((Bytef *)text, &size, data, len) == Z_OK && size == text_len)
        return text;
    free(text);
    return NULL;
}
