/* The form in which versions of streams are kept in the platform's object store, so
 * that streams can be taken up after all nodes have ended: groups of streams with
 * the same version and nearly the same lifetime. A record may have been written by
 * anything that reaches the store; groups that cannot be read are skipped.
 *
 * Pure: no I/O and no clock. Times are in ms. */
#ifndef RK_CORE_STREAM_RECORDS_H
#define RK_CORE_STREAM_RECORDS_H

#include <stddef.h>
#include <stdint.h>

#include "core/stream_versions.h"

/* Largest size of a record in bytes. The store takes objects of up to 1 MB. */
#define RK_STREAM_RECORD_MAX_BYTES (512 * 1024)
/* Longest lifetime that is believed. */
#define RK_STREAM_RECORD_TTL_MAX_MS (10 * 60 * RK_MS_PER_S)

struct json_object;

/* A stream of a record. */
struct rk_stream_record {
    uint64_t stream;
    int64_t ttl_ms; /* rest of its lifetime */
    char version[RK_VERSION_MAX];
};

/* Appends a JSON array of the streams that are shared with peers, those with the
 * longest lifetime first, as far as they fit. Returns their number. */
size_t rk_stream_records_pack(struct rk_stream_versions *s, int64_t now_ms,
                              struct rk_buf *out);

/* Reads such an array, written age_ms ago. Returns the number of streams that can
 * still be taken up; the caller frees *out. *skipped gets the number of groups that
 * could not be read. */
size_t rk_stream_records_unpack(struct json_object *groups, int64_t age_ms,
                                struct rk_stream_record **out, size_t *skipped);

#endif
