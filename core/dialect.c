#include "core/dialect.h"

#include <stdbool.h>
#include <strings.h>

#include "common/util.h"

static bool is_one_of(const char *const *names, size_t len, const char *name)
{
    for (size_t i = 0; i < len; i++)
        if (names[i] && !strcasecmp(names[i], name))
            return true;
    return false;
}

enum rk_header_owner rk_dialect_header_owner(const struct rk_dialect *d,
                                             const char *name)
{
    /* This node answers "Expect" itself: it reads the whole body before it sends a
     * byte to an upstream. */
    const char *const reserved[] = {
        d->api_key, d->deadline_ms, d->organisation,  d->vm_id,
        d->rank,    d->kv_source,   d->kv_moved_from, "Expect"};
    const char *const callers[] = {d->request_id, d->model,        d->tokens,
                                   d->prefix,     d->resume_after, d->resumes};
    if (is_one_of(reserved, RK_ARRAY_LEN(reserved), name) ||
        is_one_of(d->reserved_headers, d->reserved_headers_len, name))
        return RK_HEADER_RESERVED;
    if (is_one_of(callers, RK_ARRAY_LEN(callers), name))
        return RK_HEADER_CALLER;
    return RK_HEADER_OTHER;
}
